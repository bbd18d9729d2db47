/* group.c -- the daemon hibiscusspan-control-group: one host of a control
   group.

   Threads: receive, send, decision worker (named "decide"; this file and the
   other group_*.c files), disk, the HTTP server, log.  */

#include "base/addr.h"
#include "base/auto.h"
#include "control/group_state.h"

#include <sys/random.h>

/* Types.  */

/* Capacities of the rings.  */
#define DATAGRAMS_QUEUED 4096
#define CALLS_QUEUED 256
#define FINISHED_JOBS_QUEUED 1024
#define COMMANDS_QUEUED 16

/* Time for another host to win the election after a leader has begun to
   transfer leadership.  */
#define TRANSFER_MS 400

/* A call of hs_group_set_seeds or hs_group_drain, passed to the decision
   worker.  */
struct group_command
{
  bool drain; /* Else set the seeds.  */
  struct hs_addrs seeds;
};

/* Private functions.  */

static void create_metrics (struct hs_group *group);
static bool open_files (struct hs_group *group, GError **error);
static void create_decision_worker (struct hs_group *group);
static void create_replica (struct hs_group *group);
static void bootstrap_group (struct hs_group *group);
static bool on_replay (void *ctx, const uint8_t *data, size_t len,
                       GError **error);
static struct hs_addr inner_address_of (const struct hs_group *group,
                                        const struct hs_addr *seed);
static void set_seeds (struct hs_group *group, const struct hs_addrs *seeds);
static void on_datagram (void *ctx, void *item);
static void on_replica_message (struct hs_group *group,
                                const struct hs_datagram *datagram,
                                uint64_t now);
static bool push_call (void *ctx, struct hs_group_call *call);
static void on_command (void *ctx, void *item);
static void after_items (void *ctx);
static void on_tick (void *ctx, uint64_t now);
static void on_drain_timeout (void *ctx, uint64_t now);
static void on_send (void *ctx, const struct hs_addr *to,
                     const struct hs_replica_message *message);
static void on_state_changed (void *ctx);

/* Public definitions.  */

struct hs_group *
hs_group_create (const struct hs_group_settings *settings, struct hs_log *log,
                 GError **error)
{
  struct hs_group *group = talloc_zero (NULL, struct hs_group);

  group->settings = *settings;
  group->log = log;
  group->received = hs_ring_create (group, DATAGRAMS_QUEUED);
  group->calls = hs_ring_create (group, CALLS_QUEUED);
  group->finished_jobs = hs_ring_create (group, FINISHED_JOBS_QUEUED);
  group->commands = hs_ring_create (group, COMMANDS_QUEUED);
  group->drained = hs_ring_create (group, 1);
  hs_list_init (&group->pending_calls);
  create_metrics (group);
  create_decision_worker (group);
  group->region_map = hs_region_map_create (group, settings->zones, error);
  if (group->region_map == NULL)
    goto fail;
  if (!open_files (group, error))
    goto fail;
  group->datagrams = hs_datagrams_create (
      hs_addr_or (&settings->inner_bind_address, &settings->inner_address),
      group->received, group->metric_set, error);
  if (group->datagrams == NULL)
    goto fail;
  group->api
      = hs_group_api_create (&settings->api_address, settings->adapter,
                             group->metric_set, push_call, group, error);
  if (group->api != NULL)
    return group;
fail:
  if (group->datagrams != NULL)
    hs_datagrams_destroy (group->datagrams);
  if (group->journal_writer != NULL)
    hs_journal_writer_destroy (group->journal_writer);
  hs_worker_destroy (group->decision_worker);
  talloc_free (group);
  return NULL;
}

void
hs_group_destroy (struct hs_group *group)
{
  void *item;

  hs_group_api_close (group->api);
  hs_datagrams_stop (group->datagrams);
  hs_worker_stop (group->decision_worker);
  hs_journal_writer_stop (group->journal_writer);
  while ((item = hs_ring_pop (group->calls)) != NULL)
    hs_group_call_answer (item, STATUS_UNAVAILABLE, HS_OUTCOME_NOT_RUN,
                          "control host is stopping");
  HS_LIST_FOREACH (link, &group->pending_calls)
    hs_group_call_answer (
        HS_LIST_ENTRY (link, struct hs_group_call, link), STATUS_UNAVAILABLE,
        HS_OUTCOME_MAY_HAVE_RUN,
        "control host is stopping; a change may have been accepted");
  hs_group_api_destroy (group->api);
  while ((item = hs_ring_pop (group->received)) != NULL)
    talloc_free (item);
  while ((item = hs_ring_pop (group->finished_jobs)) != NULL)
    talloc_free (item);
  hs_datagrams_destroy (group->datagrams);
  hs_journal_writer_destroy (group->journal_writer);
  hs_worker_destroy (group->decision_worker);
  talloc_free (group);
}

void
hs_group_start (struct hs_group *group)
{
  hs_journal_writer_start (group->journal_writer);
  hs_datagrams_start (group->datagrams);
  hs_worker_start (group->decision_worker);
  hs_group_api_set_unhealthy (group->api, NULL);
}

void
hs_group_set_seeds (struct hs_group *group, const struct hs_addrs *seeds)
{
  struct group_command *command = talloc_zero (NULL, struct group_command);

  command->seeds = *seeds;
  talloc_free (hs_ring_push_displacing (group->commands, command));
}

void
hs_group_drain (struct hs_group *group)
{
  struct group_command *command = talloc_zero (NULL, struct group_command);

  command->drain = true;
  hs_group_api_set_draining (group->api);
  talloc_free (hs_ring_push_displacing (group->commands, command));
  hs_ring_wait (group->drained);
}

/* Private definitions.  */

static void
create_metrics (struct hs_group *group)
{
  struct hs_metrics *set = hs_metrics_create (group, "hibiscusspan_control");
  struct hs_group_metrics *metrics = &group->metrics;

  group->metric_set = set;
  metrics->accepted = hs_counter_create (set, "configurations_accepted_total",
                                         "Configurations acknowledged.");
  metrics->redirected = hs_counter_create (set, "calls_redirected_total",
                                           "Calls redirected to the leader.");
  metrics->unavailable = hs_counter_create (
      set, "calls_unavailable_total",
      "Calls answered with status 503: no leader or majority.");
  metrics->reads = hs_counter_create (set, "reads_total",
                                      "Configurations returned to operators.");
  metrics->heartbeats = hs_counter_create (
      set, "syncs_total", "Heartbeats received from entries and agents.");
  metrics->orders = hs_counter_create (set, "evacuation_orders_total",
                                       "Evacuation orders acknowledged.");
  metrics->evacuated_zones = hs_gauge_create (
      set, "evacuated_zones", "Availability zones that are evacuated.");
  metrics->malformed = hs_counter_create (
      set, "malformed_total", "Datagrams dropped because they do not decode.");
  metrics->term
      = hs_gauge_create (set, "term", "Current term of the replica.");
  metrics->is_leader = hs_gauge_create (
      set, "leads", "1 if this host is the leader, else 0.");
  metrics->applied_index = hs_gauge_create (
      set, "applied_index", "Index of the last log entry applied.");
  metrics->configuration_version = hs_gauge_create (
      set, "configuration_version",
      "Version of the configuration in force on this host.");
  metrics->journal_bytes = hs_gauge_create (set, "journal_bytes",
                                            "Size of the journal in bytes.");
  metrics->acknowledge_ms
      = hs_histogram_create (set, "acknowledge_ms",
                             "Time from receiving a configuration to its "
                             "acknowledgement.");
  metrics->sync_ms = hs_histogram_create (
      set, "sync_ms", "Time from queueing a write of the log to its sync.");
}

static bool
open_files (struct hs_group *group, GError **error)
{
  create_replica (group);
  group->journal = hs_journal_open (group, group->settings.data_folder,
                                    on_replay, group, error);
  if (group->journal == NULL)
    return false;
  group->journal_writer
      = hs_journal_writer_create (group->journal, group->finished_jobs);
  /* The first write to an empty journal is a rewrite, so that its records are
     on disk either as a whole or not at all.  */
  group->rewrite_next = hs_journal_size (group->journal) == 0;
  if (group->rewrite_next)
    bootstrap_group (group);
  set_seeds (group, &group->settings.seeds);
  hs_replica_start (group->replica, hs_clock_monotonic ());
  return true;
}

static void
create_decision_worker (struct hs_group *group)
{
  void *root;

  group->decision_worker = hs_worker_create ("decide");
  root = group->decision_worker;
  group->timers = hs_timers_create (root, hs_clock_monotonic ());
  group->nodes = hs_node_table_create (root);
  hs_timer_init (&group->tick, on_tick, group);
  hs_timer_init (&group->disk_retry, hs_group_on_disk_retry, group);
  hs_timer_init (&group->drain_timer, on_drain_timeout, group);
  hs_timer_start (group->timers, &group->tick, hs_clock_monotonic ());
  hs_worker_watch_ring (group->decision_worker, group->received, on_datagram,
                        group);
  hs_worker_watch_ring (group->decision_worker, group->calls, hs_group_on_call,
                        group);
  hs_worker_watch_ring (group->decision_worker, group->finished_jobs,
                        hs_group_on_job_done, group);
  hs_worker_watch_ring (group->decision_worker, group->commands, on_command,
                        group);
  hs_worker_set_after_items (group->decision_worker, after_items, group);
  hs_worker_set_timers (group->decision_worker, group->timers);
}

static void
create_replica (struct hs_group *group)
{
  struct hs_replica_ops ops = {
    on_send,           hs_group_on_write_record,     hs_group_on_sync_log,
    hs_group_on_apply, hs_group_on_restore_snapshot, hs_group_on_save_snapshot,
    on_state_changed
  };
  struct hs_control_host self
      = { .inner_address = group->settings.inner_address,
          .api_address = group->settings.api_address };
  uint64_t seed = 0;

  if (getrandom (&seed, sizeof seed, 0) != sizeof seed
      || getrandom (&self.id, sizeof self.id, 0) != sizeof self.id)
    {
      seed = hs_clock_wall ();
      self.id = hs_rendezvous_score (seed, hs_clock_monotonic ());
    }
  group->replica
      = hs_replica_create (group->decision_worker, &self, seed, &ops, group);
  hs_replica_set_tolerated_losses (group->replica,
                                   group->settings.tolerated_losses);
}

/* Starts a new group of the seeds; called only if the journal is empty.  The
   hosts of the first group derive their ids from the inner addresses, and so
   know each other's ids.  A host that starts with an empty disk later,
   without the bootstrap setting, gets a random id: a host that has lost its
   disk must not vote under its earlier id, because it could contradict a vote
   that it no longer knows of.  */
static void
bootstrap_group (struct hs_group *group)
{
  struct hs_control_members members = { 0 };
  const struct hs_addrs *seeds = &group->settings.seeds;
  uint64_t id = 0;

  if (!group->settings.bootstrap)
    return;
  for (size_t i = 0; i < seeds->len && members.len < HS_CONTROL_MEMBERS_MAX;
       i++)
    {
      struct hs_control_host *host = &members.hosts[members.len++];
      char text[HS_ADDR_TEXT_SIZE];

      host->inner_address = inner_address_of (group, &seeds->values[i]);
      host->api_address = seeds->values[i];
      hs_addr_format (&host->inner_address, text);
      host->id = hs_id_from_name (text);
      if (hs_addr_equal (&host->inner_address, &group->settings.inner_address))
        id = host->id;
    }
  if (id == 0)
    return;
  hs_replica_bootstrap (group->replica, id, &members);
  hs_log_write (group->log, HS_LOG_INFO, "group-founded", "{s:i}", "hosts",
                (int)members.len);
}

static bool
on_replay (void *ctx, const uint8_t *data, size_t len, GError **error)
{
  struct hs_group *group = ctx;
  HS_AUTO_TALLOC struct hs_replica_record *record
      = hs_replica_record_decode (NULL, data, len, error);

  if (record == NULL)
    return false;
  hs_replica_load_record (group->replica, record);
  return true;
}

/* SEED is an API address.  The control hosts of all seeds use the same inner
   port.  */
static struct hs_addr
inner_address_of (const struct hs_group *group, const struct hs_addr *seed)
{
  struct hs_addr inner = *seed;

  inner.port = (uint16_t)group->settings.seed_port;
  return inner;
}

static void
set_seeds (struct hs_group *group, const struct hs_addrs *seeds)
{
  struct hs_addr addresses[HS_SETTINGS_ADDRS_MAX];

  for (size_t i = 0; i < seeds->len; i++)
    addresses[i] = inner_address_of (group, &seeds->values[i]);
  hs_replica_set_seeds (group->replica, addresses, seeds->len);
}

static void
on_datagram (void *ctx, void *item)
{
  struct hs_group *group = ctx;
  HS_AUTO_TALLOC struct hs_datagram *datagram = item;
  uint64_t now = hs_clock_monotonic ();
  struct hs_inner inner;

  if (hs_inner_peek_type (datagram->data, datagram->len) == HS_INNER_REPLICA)
    {
      on_replica_message (group, datagram, now);
      return;
    }
  if (hs_inner_decode (datagram->data, datagram->len, &inner) == 0)
    {
      hs_counter_add (group->metrics.malformed, 1);
      return;
    }
  if (inner.type == HS_INNER_HEARTBEAT)
    hs_group_on_heartbeat (group, &datagram->peer, &inner.heartbeat, now);
  else if (inner.type == HS_INNER_FETCH)
    hs_group_on_fetch (group, &datagram->peer, &inner.chunk);
}

static void
on_replica_message (struct hs_group *group, const struct hs_datagram *datagram,
                    uint64_t now)
{
  HS_AUTO_TALLOC struct hs_replica_message *message
      = hs_replica_message_decode (NULL, datagram->data, datagram->len, NULL);

  if (message != NULL)
    hs_replica_receive (group->replica, message, now);
  else
    hs_counter_add (group->metrics.malformed, 1);
}

static bool
push_call (void *ctx, struct hs_group_call *call)
{
  struct hs_group *group = ctx;

  return hs_ring_push (group->calls, call);
}

static void
on_command (void *ctx, void *item)
{
  struct hs_group *group = ctx;
  HS_AUTO_TALLOC struct group_command *command = item;
  uint64_t now = hs_clock_monotonic ();

  if (!command->drain)
    {
      set_seeds (group, &command->seeds);
      return;
    }
  group->draining = true;
  hs_log_write (group->log, HS_LOG_INFO, "draining", "{s:b}", "leads",
                hs_replica_is_leader (group->replica));
  hs_timer_start (group->timers, &group->drain_timer,
                  hs_replica_is_leader (group->replica) ? now + TRANSFER_MS
                                                        : now);
  hs_replica_transfer_leadership (group->replica, now);
}

static void
after_items (void *ctx)
{
  struct hs_group *group = ctx;

  uint64_t now = hs_clock_monotonic ();

  hs_group_answer_pending (group, now);
  hs_group_notify_nodes (group, now);
  hs_group_notify_evacuations (group);
  hs_counter_set (group->metrics.term, hs_replica_term (group->replica));
  hs_counter_set (group->metrics.is_leader,
                  hs_replica_is_leader (group->replica));
  hs_counter_set (group->metrics.applied_index,
                  hs_replica_applied_index (group->replica));
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_group *group = ctx;

  hs_replica_tick (group->replica, now);
  hs_node_table_expire (group->nodes, now, hs_group_on_node_expired, group);
  hs_timer_start (group->timers, &group->tick, now + HS_REPLICA_TICK_MS);
}

static void
on_drain_timeout (void *ctx, uint64_t now)
{
  struct hs_group *group = ctx;

  (void)now;
  hs_ring_push (group->drained, group);
}

static void
on_send (void *ctx, const struct hs_addr *to,
         const struct hs_replica_message *message)
{
  struct hs_group *group = ctx;
  size_t len;
  HS_AUTO_TALLOC uint8_t *data
      = hs_replica_message_encode (NULL, message, &len);

  hs_datagrams_send (group->datagrams, hs_datagram_create (to, data, len));
}

static void
on_state_changed (void *ctx)
{
  struct hs_group *group = ctx;
  struct hs_control_host leader = { 0 };
  char text[HS_ADDR_TEXT_SIZE] = "";
  bool is_leader = hs_replica_is_leader (group->replica);

  if (hs_replica_leader (group->replica, &leader))
    hs_addr_format (&leader.inner_address, text);
  /* Log entries of an earlier leader may still be committed, but only the
     version in force is certain to be: a call with a higher version must
     propose it again.  */
  if (is_leader && !group->was_leader)
    group->proposed_generation = hs_group_generation (group);
  group->was_leader = is_leader;
  hs_log_write (group->log, HS_LOG_INFO, "group-changed",
                "{s:b, s:s, s:I, s:i, s:I}", "leads", is_leader, "leader",
                text, "term", (json_int_t)hs_replica_term (group->replica),
                "members", (int)hs_replica_members (group->replica)->len,
                "applied",
                (json_int_t)hs_replica_applied_index (group->replica));
}
