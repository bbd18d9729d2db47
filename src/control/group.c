/* group.c -- the daemon of a control host that is one of a group.

   Threads: receive, send, decide (this file), disk, the HTTP server, log.  */

#include "control/group.h"
#include "base/auto.h"
#include "base/duty.h"
#include "control/group_api.h"
#include "control/log_disk.h"
#include "control/roster.h"
#include "daemon/datagrams.h"
#include "wire/configuration_message.h"
#include "wire/inner.h"
#include "wire/replica_message.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

/* Types.  */

#define DATAGRAMS_QUEUED 4096
#define CALLS_QUEUED 256
#define JOBS_QUEUED 1024
#define COMMANDS_QUEUED 16

#define STATUS_OK 200
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503

/* How long a call may wait for a majority.  Operators try another host after
   a second without an answer.  */
#define CALL_LIFE_MS 2000

/* Size at which the journal is written anew: some two hundred
   configurations, a small part of the disk.  */
#define JOURNAL_MAX (4 * 1024 * 1024)

/* Between two tries to write to a disk that has failed.  */
#define DISK_RETRY_MS 500

/* For the lead to pass to another host before this one stops.  */
#define HAND_OVER_MS 400

/* A part of the seeds' addresses that the decide thread takes over.  */
struct command
{
  bool stops;
  struct hs_addrs seeds;
};

struct group_counters
{
  struct hs_counter *accepted;
  struct hs_counter *redirected;
  struct hs_counter *unavailable;
  struct hs_counter *reads;
  struct hs_counter *syncs;
  struct hs_counter *malformed;
  struct hs_counter *term;
  struct hs_counter *leads;
  struct hs_counter *applied;
  struct hs_counter *version;
  struct hs_counter *journal;
  struct hs_histogram *acknowledge;
  struct hs_histogram *sync;
};

struct hs_group
{
  struct hs_group_settings settings;
  struct hs_log *log;
  struct hs_counters *counters;
  struct group_counters counts;
  struct hs_ring *received; /* Of struct hs_datagram.  */
  struct hs_ring *calls;    /* Of struct hs_group_call.  */
  struct hs_ring *jobs;     /* Of struct hs_log_job, finished.  */
  struct hs_ring *commands; /* Of struct command.  */
  struct hs_ring *done;     /* An item: the lead was given away.  */
  struct hs_datagrams *datagrams;
  struct hs_group_api *api;
  struct hs_journal *journal;
  struct hs_log_disk *disk;
  struct hs_duty *decide;

  /* Of the decide thread alone.  */
  struct hs_timers *timers;
  struct hs_timer tick;
  struct hs_timer disk_retry;
  struct hs_timer stop;
  struct hs_replica *replica;
  struct hs_roster *roster;
  struct hs_list waiting; /* struct hs_group_call, oldest first.  */
  struct hs_log_job *job; /* Being filled, or NULL.  */
  bool replaces;          /* What is written now is a whole image.  */
  bool disk_failed;
  bool image_asked; /* A new journal is on its way.  */
  bool stopping;
  bool led;
  uint64_t proposed; /* Version of the newest configuration in the log.  */
  struct hs_stored_configuration *stored; /* In force; NULL: none.  */
  uint64_t told;    /* Version that the nodes were told of.  */
  bool entry_heard; /* One that the agents do not know yet.  */
};

/* Private functions.  */

static void create_counters (struct hs_group *group);
static bool open_files (struct hs_group *group, GError **error);
static void create_decide (struct hs_group *group);
static void create_replica (struct hs_group *group);
static void found_group (struct hs_group *group);
static bool on_replay (void *ctx, const uint8_t *data, size_t len,
                       GError **error);
static struct hs_addr inner_of (const struct hs_group *group,
                                const struct hs_addr *seed);
static void set_contacts (struct hs_group *group,
                          const struct hs_addrs *seeds);
static void on_datagram (void *ctx, void *item);
static void on_replica_message (struct hs_group *group,
                                const struct hs_datagram *datagram,
                                uint64_t now);
static void on_sync (struct hs_group *group, const struct hs_addr *from,
                     const struct hs_inner_sync *sync, uint64_t now);
static void on_fetch (struct hs_group *group, const struct hs_addr *from,
                      const struct hs_inner_part *wanted);
static void on_call (void *ctx, void *item);
static bool on_call_made (void *ctx, struct hs_group_call *call);
static void begin_replace (struct hs_group *group, struct hs_group_call *call,
                           uint64_t now);
static uint64_t propose (struct hs_group *group,
                         const struct hs_group_call *call, uint64_t now);
static void on_job (void *ctx, void *item);
static void on_command (void *ctx, void *item);
static void after_items (void *ctx);
static void answer_waiting (struct hs_group *group, uint64_t now);
static bool is_lost (const struct hs_group *group,
                     const struct hs_group_call *call, uint64_t now);
static bool is_done (const struct hs_group *group,
                     const struct hs_group_call *call);
static void answer_one (struct hs_group *group, struct hs_group_call *call,
                        uint64_t now);
static void answer_show (struct hs_group *group, struct hs_group_call *call);
static void answer_cluster (struct hs_group *group,
                            struct hs_group_call *call);
static json_t *host_json (const struct hs_control_host *host, bool votes,
                          bool leads);
static void add_node (void *ctx, const struct hs_inner_sync *node);
static void tell_nodes (struct hs_group *group);
static void tell_entry (void *ctx, const struct hs_inner_sync *node);
static void tell_agent (void *ctx, const struct hs_inner_sync *node);
static void fill_status (struct hs_group *group,
                         struct hs_inner_status *status);
static void send_inner (struct hs_group *group, const struct hs_addr *to,
                        const struct hs_inner *inner);
static void on_tick (void *ctx, uint64_t now);
static void on_node_lost (void *ctx, const struct hs_inner_sync *node);
static void on_disk_retry (void *ctx, uint64_t now);
static void on_stop (void *ctx, uint64_t now);
static void on_send (void *ctx, const struct hs_addr *to,
                     const struct hs_replica_message *message);
static void on_write (void *ctx, const struct hs_replica_record *record);
static void on_disk_sync (void *ctx, uint64_t seq);
static void on_apply (void *ctx, const struct hs_log_entry *entry);
static void on_restore (void *ctx, const uint8_t *data, size_t len);
static uint8_t *on_save (void *ctx, void *parent, size_t *len);
static void on_changed (void *ctx);
static void set_stored (struct hs_group *group, const uint8_t *data,
                        size_t len);
static void fail_disk (struct hs_group *group, const char *problem);

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
  group->jobs = hs_ring_create (group, JOBS_QUEUED);
  group->commands = hs_ring_create (group, COMMANDS_QUEUED);
  group->done = hs_ring_create (group, 1);
  hs_list_init (&group->waiting);
  create_counters (group);
  create_decide (group);
  if (!open_files (group, error))
    goto fail;
  group->datagrams = hs_datagrams_create (&settings->inner, group->received,
                                          group->counters, error);
  if (group->datagrams == NULL)
    goto fail;
  group->api
      = hs_group_api_create (&settings->api, settings->dialect,
                             group->counters, on_call_made, group, error);
  if (group->api != NULL)
    return group;
fail:
  if (group->datagrams != NULL)
    hs_datagrams_destroy (group->datagrams);
  if (group->disk != NULL)
    hs_log_disk_destroy (group->disk);
  hs_duty_destroy (group->decide);
  talloc_free (group);
  return NULL;
}

void
hs_group_destroy (struct hs_group *group)
{
  void *item;

  hs_datagrams_stop (group->datagrams);
  hs_duty_stop (group->decide);
  hs_log_disk_stop (group->disk);
  while ((item = hs_ring_pop (group->calls)) != NULL)
    hs_group_answer (item, STATUS_UNAVAILABLE, HS_NOT_RUN, "this host stops");
  HS_LIST_FOREACH (link, &group->waiting)
    hs_group_answer (HS_LIST_ENTRY (link, struct hs_group_call, link),
                     STATUS_UNAVAILABLE, HS_MAY_HAVE_RUN,
                     "this host stops; the change may have been accepted");
  hs_group_api_destroy (group->api);
  while ((item = hs_ring_pop (group->received)) != NULL)
    talloc_free (item);
  while ((item = hs_ring_pop (group->jobs)) != NULL)
    talloc_free (item);
  hs_datagrams_destroy (group->datagrams);
  hs_log_disk_destroy (group->disk);
  hs_duty_destroy (group->decide);
  talloc_free (group);
}

void
hs_group_start (struct hs_group *group)
{
  hs_log_disk_start (group->disk);
  hs_datagrams_start (group->datagrams);
  hs_duty_start (group->decide);
  hs_group_api_set_healthy (group->api, NULL);
}

void
hs_group_set_seeds (struct hs_group *group, const struct hs_addrs *seeds)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->seeds = *seeds;
  if (!hs_ring_push (group->commands, command))
    talloc_free (command);
}

void
hs_group_drain (struct hs_group *group)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->stops = true;
  if (hs_ring_push (group->commands, command))
    hs_ring_wait (group->done);
  else
    talloc_free (command);
}

/* Private definitions.  */

static void
create_counters (struct hs_group *group)
{
  struct hs_counters *all = hs_counters_create (group, "hibiscusspan_control");
  struct group_counters *counts = &group->counts;

  group->counters = all;
  counts->accepted = hs_counter_create (all, "configurations_accepted_total",
                                        "Configurations acknowledged.");
  counts->redirected = hs_counter_create (all, "calls_redirected_total",
                                          "Calls sent on to the leader.");
  counts->unavailable
      = hs_counter_create (all, "calls_unavailable_total",
                           "Calls answered 503 for want of a majority.");
  counts->reads = hs_counter_create (all, "reads_total",
                                     "Configurations shown to operators.");
  counts->syncs = hs_counter_create (all, "syncs_total",
                                     "Heartbeats of entries and agents.");
  counts->malformed = hs_counter_create (
      all, "malformed_total", "Datagrams that do not decode, dropped.");
  counts->term = hs_gauge_create (all, "term", "Term of the replica.");
  counts->leads = hs_gauge_create (all, "leads", "1: this host leads.");
  counts->applied
      = hs_gauge_create (all, "applied_index", "Entries of the log applied.");
  counts->version = hs_gauge_create (all, "configuration_version",
                                     "Version of the configuration here.");
  counts->journal
      = hs_gauge_create (all, "journal_bytes", "Size of the journal.");
  counts->acknowledge
      = hs_histogram_create (all, "acknowledge_ms",
                             "From a change of the configuration to its "
                             "acknowledgement.");
  counts->sync = hs_histogram_create (
      all, "sync_ms", "From a write of the log until it is synced.");
}

static bool
open_files (struct hs_group *group, GError **error)
{
  create_replica (group);
  group->journal = hs_journal_open (group, group->settings.folder, on_replay,
                                    group, error);
  if (group->journal == NULL)
    return false;
  group->disk = hs_log_disk_create (group->journal, group->jobs);
  /* The first image is there as a whole, or not at all.  */
  group->replaces = hs_journal_size (group->journal) == 0;
  if (group->replaces)
    found_group (group);
  set_contacts (group, &group->settings.seeds);
  hs_replica_start (group->replica, hs_clock_now ());
  return true;
}

static void
create_decide (struct hs_group *group)
{
  void *root;

  group->decide = hs_duty_create ("decide");
  root = group->decide;
  group->timers = hs_timers_create (root, hs_clock_now ());
  group->roster = hs_roster_create (root);
  hs_timer_init (&group->tick, on_tick, group);
  hs_timer_init (&group->disk_retry, on_disk_retry, group);
  hs_timer_init (&group->stop, on_stop, group);
  hs_timer_start (group->timers, &group->tick, hs_clock_now ());
  hs_duty_watch_ring (group->decide, group->received, on_datagram, group);
  hs_duty_watch_ring (group->decide, group->calls, on_call, group);
  hs_duty_watch_ring (group->decide, group->jobs, on_job, group);
  hs_duty_watch_ring (group->decide, group->commands, on_command, group);
  hs_duty_after_items (group->decide, after_items, group);
  hs_duty_drive_timers (group->decide, group->timers);
}

static void
create_replica (struct hs_group *group)
{
  struct hs_replica_ops ops = { on_send,    on_write, on_disk_sync, on_apply,
                                on_restore, on_save,  on_changed };
  struct hs_control_host self
      = { .inner = group->settings.inner, .api = group->settings.api };
  uint64_t seed = 0;

  if (getrandom (&seed, sizeof seed, 0) != sizeof seed
      || getrandom (&self.id, sizeof self.id, 0) != sizeof self.id)
    {
      seed = hs_clock_wall ();
      self.id = hs_rank_score (seed, hs_clock_now ());
    }
  group->replica = hs_replica_create (group->decide, &self, seed, &ops, group);
}

/* On an empty disk.  Hosts of the first group know each other's ids from
   their addresses; any later disk has an id of its own, so that it cannot
   vote on what an earlier one had promised.  */
static void
found_group (struct hs_group *group)
{
  struct hs_members members = { 0 };
  const struct hs_addrs *seeds = &group->settings.seeds;
  uint64_t id = 0;

  if (!group->settings.bootstrap)
    return;
  for (size_t i = 0; i < seeds->len && members.len < HS_GROUP_MAX; i++)
    {
      struct hs_control_host *host = &members.hosts[members.len++];
      char text[HS_ADDR_TEXT_SIZE];

      host->inner = inner_of (group, &seeds->values[i]);
      host->api = seeds->values[i];
      hs_addr_format (&host->inner, text);
      host->id = hs_slot_from_name (text);
      if (hs_addr_equal (&host->inner, &group->settings.inner))
        id = host->id;
    }
  if (id == 0)
    return;
  hs_replica_found (group->replica, id, &members);
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
  hs_replica_load (group->replica, record);
  return true;
}

static struct hs_addr
inner_of (const struct hs_group *group, const struct hs_addr *seed)
{
  struct hs_addr inner = *seed;

  inner.port = (uint16_t)group->settings.seed_port;
  return inner;
}

static void
set_contacts (struct hs_group *group, const struct hs_addrs *seeds)
{
  struct hs_addr contacts[HS_SETTINGS_ADDRS_MAX];

  for (size_t i = 0; i < seeds->len; i++)
    contacts[i] = inner_of (group, &seeds->values[i]);
  hs_replica_set_contacts (group->replica, contacts, seeds->len);
}

static void
on_datagram (void *ctx, void *item)
{
  struct hs_group *group = ctx;
  HS_AUTO_TALLOC struct hs_datagram *datagram = item;
  uint64_t now = hs_clock_now ();
  struct hs_inner inner;

  if (hs_inner_type (datagram->data, datagram->len) == HS_INNER_REPLICA)
    {
      on_replica_message (group, datagram, now);
      return;
    }
  if (hs_inner_decode (datagram->data, datagram->len, &inner) == 0)
    {
      hs_counter_add (group->counts.malformed, 1);
      return;
    }
  if (inner.type == HS_INNER_SYNC)
    on_sync (group, &datagram->peer, &inner.sync, now);
  else if (inner.type == HS_INNER_FETCH)
    on_fetch (group, &datagram->peer, &inner.part);
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
    hs_counter_add (group->counts.malformed, 1);
}

static void
on_sync (struct hs_group *group, const struct hs_addr *from,
         const struct hs_inner_sync *sync, uint64_t now)
{
  struct hs_inner answer = { .type = HS_INNER_STATUS };

  hs_counter_add (group->counts.syncs, 1);
  if (hs_roster_note (group->roster, sync, now))
    {
      hs_log_write (group->log, HS_LOG_INFO, "node-heard", "{s:s, s:s, s:I}",
                    "name", sync->name, "zone", sync->zone, "version",
                    (json_int_t)sync->version);
      group->entry_heard = group->entry_heard || sync->role == HS_ROLE_ENTRY;
    }
  fill_status (group, &answer.status);
  if (answer.status.roster != sync->roster)
    {
      answer.status.has_entries = true;
      hs_roster_entries (group->roster, &answer.status.entries);
    }
  send_inner (group, from, &answer);
}

static void
on_fetch (struct hs_group *group, const struct hs_addr *from,
          const struct hs_inner_part *wanted)
{
  struct hs_inner answer = { .type = HS_INNER_PART };
  const struct hs_stored_configuration *stored = group->stored;
  size_t len;

  answer.part.version = wanted->version;
  if (stored != NULL && wanted->offset < stored->routes_len)
    {
      len = stored->routes_len - wanted->offset;
      answer.part.version = stored->version;
      answer.part.total = (uint32_t)stored->routes_len;
      answer.part.offset = wanted->offset;
      answer.part.len
          = (uint32_t)(len < HS_INNER_PART_MAX ? len : HS_INNER_PART_MAX);
      memcpy (answer.part.bytes, stored->routes + wanted->offset,
              answer.part.len);
    }
  send_inner (group, from, &answer);
}

static bool
on_call_made (void *ctx, struct hs_group_call *call)
{
  struct hs_group *group = ctx;

  return hs_ring_push (group->calls, call);
}

static void
on_call (void *ctx, void *item)
{
  struct hs_group *group = ctx;
  struct hs_group_call *call = item;
  uint64_t now = hs_clock_now ();
  struct hs_control_host leader;

  if (call->operation == HS_OPERATION_CLUSTER)
    {
      answer_cluster (group, call);
      return;
    }
  if (!group->stopping && !hs_replica_leads (group->replica)
      && hs_replica_leader (group->replica, &leader))
    {
      hs_counter_add (group->counts.redirected, 1);
      hs_group_redirect (call, &leader.api);
      return;
    }
  if (group->stopping || !hs_replica_leads (group->replica))
    {
      hs_counter_add (group->counts.unavailable, 1);
      hs_group_answer (call, STATUS_UNAVAILABLE, HS_NOT_RUN,
                       "no leader is known");
      return;
    }
  call->term = hs_replica_term (group->replica);
  hs_list_append (&group->waiting, &call->link);
  if (call->operation == HS_OPERATION_SHOW)
    call->round = hs_replica_read (group->replica, now);
  else
    begin_replace (group, call, now);
}

/* A version that is not higher than the newest changes nothing, and is
   acknowledged as soon as that one is committed.  */
static void
begin_replace (struct hs_group *group, struct hs_group_call *call,
               uint64_t now)
{
  uint64_t version = call->configuration->version;

  call->index = hs_replica_last (group->replica);
  if (version <= group->proposed)
    return;
  call->index = propose (group, call, now);
  if (call->index != 0)
    {
      group->proposed = version;
      return;
    }
  hs_list_remove (&call->link);
  hs_group_answer (call, STATUS_TOO_LARGE, HS_NOT_RUN,
                   "configuration is too large");
}

static uint64_t
propose (struct hs_group *group, const struct hs_group_call *call,
         uint64_t now)
{
  void *scratch = talloc_new (NULL);
  struct hs_stored_configuration stored
      = { .version = call->configuration->version };
  size_t body_len;
  const char *body = hs_http_body (call->request, &body_len);
  size_t len;
  uint8_t *data;
  uint64_t index;

  stored.source = hs_bytes_compress (scratch, (const uint8_t *)body, body_len,
                                     &stored.source_len);
  stored.routes = hs_configuration_encode (scratch, call->configuration,
                                           &stored.routes_len);
  data = hs_stored_configuration_encode (scratch, &stored, &len);
  index = hs_replica_propose (group->replica, data, len, now);
  talloc_free (scratch);
  return index;
}

static void
on_job (void *ctx, void *item)
{
  struct hs_group *group = ctx;
  HS_AUTO_TALLOC struct hs_log_job *job = item;

  hs_counter_set (group->counts.journal, job->journal_size);
  if (job->replaces)
    group->image_asked = false;
  if (!job->synced)
    {
      fail_disk (group, job->problem);
      return;
    }
  /* Appends behind a failed one say nothing; only a whole image does.  */
  if (group->disk_failed && !job->replaces)
    return;
  if (group->disk_failed)
    {
      group->disk_failed = false;
      hs_log_write (group->log, HS_LOG_INFO, "disk-regained", NULL);
      hs_replica_set_disk (group->replica, true);
    }
  hs_histogram_add (group->counts.sync, hs_clock_now () - job->asked_at);
  hs_replica_synced (group->replica, job->seq, hs_clock_now ());
  if (job->journal_size > JOURNAL_MAX && !group->image_asked)
    {
      group->replaces = true;
      hs_replica_image (group->replica);
    }
}

static void
on_command (void *ctx, void *item)
{
  struct hs_group *group = ctx;
  HS_AUTO_TALLOC struct command *command = item;
  uint64_t now = hs_clock_now ();

  if (!command->stops)
    {
      set_contacts (group, &command->seeds);
      return;
    }
  group->stopping = true;
  hs_log_write (group->log, HS_LOG_INFO, "draining", "{s:b}", "leads",
                hs_replica_leads (group->replica));
  hs_timer_start (group->timers, &group->stop,
                  hs_replica_leads (group->replica) ? now + HAND_OVER_MS
                                                    : now);
  hs_replica_hand_over (group->replica, now);
}

static void
after_items (void *ctx)
{
  struct hs_group *group = ctx;

  answer_waiting (group, hs_clock_now ());
  tell_nodes (group);
  hs_counter_set (group->counts.term, hs_replica_term (group->replica));
  hs_counter_set (group->counts.leads, hs_replica_leads (group->replica));
  hs_counter_set (group->counts.applied, hs_replica_applied (group->replica));
}

static void
answer_waiting (struct hs_group *group, uint64_t now)
{
  HS_LIST_FOREACH (link, &group->waiting)
    {
      struct hs_group_call *call
          = HS_LIST_ENTRY (link, struct hs_group_call, link);

      if (!is_lost (group, call, now) && !is_done (group, call))
        continue;
      hs_list_remove (link);
      answer_one (group, call, now);
    }
}

static bool
is_lost (const struct hs_group *group, const struct hs_group_call *call,
         uint64_t now)
{
  return !hs_replica_leads (group->replica)
         || hs_replica_term (group->replica) != call->term
         || now - call->asked_at > CALL_LIFE_MS;
}

static bool
is_done (const struct hs_group *group, const struct hs_group_call *call)
{
  if (call->operation == HS_OPERATION_SHOW)
    return hs_replica_confirmed (group->replica) >= call->round;
  return hs_replica_applied (group->replica) >= call->index;
}

static void
answer_one (struct hs_group *group, struct hs_group_call *call, uint64_t now)
{
  if (is_lost (group, call, now))
    {
      hs_counter_add (group->counts.unavailable, 1);
      hs_log_write (group->log, HS_LOG_WARNING, "call-unanswered",
                    "{s:b, s:I, s:I}", "leads",
                    hs_replica_leads (group->replica), "index",
                    (json_int_t)call->index, "waited_ms",
                    (json_int_t)(now - call->asked_at));
      hs_group_answer (call, STATUS_UNAVAILABLE, HS_MAY_HAVE_RUN,
                       "no majority in time; a change may have been accepted");
      return;
    }
  if (call->operation == HS_OPERATION_SHOW)
    {
      answer_show (group, call);
      return;
    }
  hs_counter_add (group->counts.accepted, 1);
  hs_histogram_add (group->counts.acknowledge, now - call->asked_at);
  hs_log_write (
      group->log, HS_LOG_INFO, "configuration-acknowledged",
      "{s:I, s:I, s:I, s:I}", "version",
      (json_int_t)call->configuration->version, "in_force",
      (json_int_t)(group->stored != NULL ? group->stored->version : 0),
      "index", (json_int_t)call->index, "took_ms",
      (json_int_t)(now - call->asked_at));
  hs_group_answer (call, STATUS_OK, HS_RAN, "accepted");
}

static void
answer_show (struct hs_group *group, struct hs_group_call *call)
{
  HS_AUTO_TALLOC uint8_t *source = NULL;
  size_t len;

  if (group->stored == NULL)
    {
      hs_group_answer (call, STATUS_UNAVAILABLE, HS_NOT_RUN,
                       "no configuration yet");
      return;
    }
  source = hs_bytes_uncompress (NULL, group->stored->source,
                                group->stored->source_len, &len, NULL);
  hs_counter_add (group->counts.reads, 1);
  hs_group_answer_body (call, (const char *)source);
}

static void
answer_cluster (struct hs_group *group, struct hs_group_call *call)
{
  HS_AUTO_JSON json_t *json = NULL;
  json_t *hosts = json_array ();
  json_t *nodes = json_array ();
  struct hs_control_host known[HS_INNER_ADDRS_MAX];
  struct hs_control_host leader = { 0 };
  size_t len = hs_replica_hosts (group->replica, known, HS_INNER_ADDRS_MAX);
  char *text;

  hs_replica_leader (group->replica, &leader);
  for (size_t i = 0; i < len; i++)
    json_array_append_new (
        hosts,
        host_json (&known[i], i < hs_replica_members (group->replica)->len,
                   known[i].id == leader.id));
  hs_roster_each (group->roster, HS_ROLE_ENTRY, add_node, nodes);
  hs_roster_each (group->roster, HS_ROLE_AGENT, add_node, nodes);
  json = json_pack (
      "{s:s, s:b, s:I, s:I, s:I, s:I, s:b, s:o, s:o}", "name",
      group->settings.name, "leads", hs_replica_leads (group->replica), "term",
      (json_int_t)hs_replica_term (group->replica), "applied",
      (json_int_t)hs_replica_applied (group->replica), "last",
      (json_int_t)hs_replica_last (group->replica), "version",
      (json_int_t)(group->stored != NULL ? group->stored->version : 0),
      "disk_works", !group->disk_failed, "hosts", hosts, "nodes", nodes);
  text = json_dumps (json, JSON_INDENT (2));
  hs_group_answer_body (call, text);
  free (text);
}

static json_t *
host_json (const struct hs_control_host *host, bool votes, bool leads)
{
  char inner[HS_ADDR_TEXT_SIZE];
  char api[HS_ADDR_TEXT_SIZE];

  hs_addr_format (&host->inner, inner);
  hs_addr_format (&host->api, api);
  return json_pack ("{s:s, s:s, s:b, s:b}", "inner", inner, "api", api,
                    "votes", votes, "leads", leads);
}

static void
add_node (void *ctx, const struct hs_inner_sync *node)
{
  char address[HS_ADDR_TEXT_SIZE];

  hs_addr_format (&node->address, address);
  json_array_append_new (
      ctx, json_pack ("{s:s, s:s, s:s, s:s, s:I}", "name", node->name, "role",
                      node->role == HS_ROLE_ENTRY ? "entry" : "agent", "zone",
                      node->zone, "address", address, "version_in_force",
                      (json_int_t)node->version));
}

/* Entries hear of a new configuration from the leader at once, once for all
   that was accepted in a run, and agents of a new entry from every host; both
   hear again in answer to their heartbeats.  */
static void
tell_nodes (struct hs_group *group)
{
  if (group->entry_heard)
    hs_roster_each (group->roster, HS_ROLE_AGENT, tell_agent, group);
  group->entry_heard = false;
  if (group->stored == NULL || group->told == group->stored->version)
    return;
  group->told = group->stored->version;
  if (hs_replica_leads (group->replica))
    hs_roster_each (group->roster, HS_ROLE_ENTRY, tell_entry, group);
}

static void
tell_entry (void *ctx, const struct hs_inner_sync *node)
{
  struct hs_group *group = ctx;
  struct hs_inner news = { .type = HS_INNER_STATUS };

  fill_status (group, &news.status);
  send_inner (group, &node->address, &news);
}

static void
tell_agent (void *ctx, const struct hs_inner_sync *node)
{
  struct hs_group *group = ctx;
  struct hs_inner news = { .type = HS_INNER_STATUS };

  fill_status (group, &news.status);
  news.status.has_entries = true;
  hs_roster_entries (group->roster, &news.status.entries);
  send_inner (group, &node->address, &news);
}

static void
fill_status (struct hs_group *group, struct hs_inner_status *status)
{
  struct hs_control_host hosts[HS_INNER_ADDRS_MAX];

  status->version = group->stored != NULL ? group->stored->version : 0;
  status->roster = hs_roster_digest (group->roster);
  status->controls.len
      = hs_replica_hosts (group->replica, hosts, HS_INNER_ADDRS_MAX);
  for (size_t i = 0; i < status->controls.len; i++)
    status->controls.values[i] = hosts[i].inner;
}

static void
send_inner (struct hs_group *group, const struct hs_addr *to,
            const struct hs_inner *inner)
{
  uint8_t bytes[HS_INNER_SIZE_MAX];
  size_t len = hs_inner_encode (inner, bytes);

  hs_datagrams_send (group->datagrams, hs_datagram_create (to, bytes, len));
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_group *group = ctx;

  hs_replica_tick (group->replica, now);
  hs_roster_expire (group->roster, now, on_node_lost, group);
  hs_timer_start (group->timers, &group->tick, now + HS_REPLICA_TICK_MS);
}

static void
on_node_lost (void *ctx, const struct hs_inner_sync *node)
{
  struct hs_group *group = ctx;

  hs_log_write (group->log, HS_LOG_WARNING, "node-silent", "{s:s, s:s}",
                "name", node->name, "zone", node->zone);
}

static void
on_disk_retry (void *ctx, uint64_t now)
{
  struct hs_group *group = ctx;

  (void)now;
  if (!group->disk_failed || group->image_asked)
    return;
  group->replaces = true;
  hs_replica_image (group->replica);
}

static void
on_stop (void *ctx, uint64_t now)
{
  struct hs_group *group = ctx;

  (void)now;
  hs_ring_push (group->done, group);
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
on_write (void *ctx, const struct hs_replica_record *record)
{
  struct hs_group *group = ctx;
  size_t len;
  uint8_t *data;

  if (group->job == NULL)
    group->job = hs_log_job_create ();
  data = hs_replica_record_encode (group->job, record, &len);
  hs_log_job_add (group->job, data, len);
}

static void
on_disk_sync (void *ctx, uint64_t seq)
{
  struct hs_group *group = ctx;
  struct hs_log_job *job = group->job;

  if (job == NULL)
    job = hs_log_job_create ();
  group->job = NULL;
  job->seq = seq;
  job->asked_at = hs_clock_now ();
  job->replaces = group->replaces;
  group->image_asked = group->image_asked || group->replaces;
  group->replaces = false;
  if (hs_log_disk_push (group->disk, job))
    return;
  if (job->replaces)
    group->image_asked = false;
  talloc_free (job);
  fail_disk (group, "too many writes wait for the disk");
}

static void
on_apply (void *ctx, const struct hs_log_entry *entry)
{
  struct hs_group *group = ctx;

  set_stored (group, entry->data, entry->len);
}

static void
on_restore (void *ctx, const uint8_t *data, size_t len)
{
  struct hs_group *group = ctx;

  set_stored (group, data, len);
}

static uint8_t *
on_save (void *ctx, void *parent, size_t *len)
{
  struct hs_group *group = ctx;

  *len = 0;
  if (group->stored == NULL)
    return NULL;
  return hs_stored_configuration_encode (parent, group->stored, len);
}

static void
on_changed (void *ctx)
{
  struct hs_group *group = ctx;
  struct hs_control_host leader = { 0 };
  char text[HS_ADDR_TEXT_SIZE] = "";
  bool leads = hs_replica_leads (group->replica);

  if (hs_replica_leader (group->replica, &leader))
    hs_addr_format (&leader.inner, text);
  /* What an earlier leader left in the log may yet be committed.  */
  if (leads && !group->led)
    group->proposed = group->stored != NULL ? group->stored->version : 0;
  group->led = leads;
  hs_log_write (group->log, HS_LOG_INFO, "group-changed",
                "{s:b, s:s, s:I, s:i, s:I}", "leads", leads, "leader", text,
                "term", (json_int_t)hs_replica_term (group->replica),
                "members", (int)hs_replica_members (group->replica)->len,
                "applied", (json_int_t)hs_replica_applied (group->replica));
}

static void
set_stored (struct hs_group *group, const uint8_t *data, size_t len)
{
  g_autoptr (GError) error = NULL;
  struct hs_stored_configuration *stored
      = hs_stored_configuration_decode (group->decide, data, len, &error);

  if (stored == NULL)
    {
      hs_log_write (group->log, HS_LOG_ERROR, "configuration-unreadable",
                    "{s:s}", "error", error->message);
      return;
    }
  if (group->stored != NULL && stored->version <= group->stored->version)
    {
      talloc_free (stored);
      return;
    }
  talloc_free (group->stored);
  group->stored = stored;
  if (stored->version > group->proposed)
    group->proposed = stored->version;
  hs_counter_set (group->counts.version, stored->version);
  hs_log_write (group->log, HS_LOG_INFO, "configuration-in-force",
                "{s:I, s:I}", "version", (json_int_t)stored->version, "bytes",
                (json_int_t)stored->routes_len);
}

static void
fail_disk (struct hs_group *group, const char *problem)
{
  if (!group->disk_failed)
    hs_log_write (group->log, HS_LOG_ERROR, "disk-lost", "{s:s}", "error",
                  problem);
  group->disk_failed = true;
  hs_replica_set_disk (group->replica, false);
  hs_timer_start (group->timers, &group->disk_retry,
                  hs_clock_now () + DISK_RETRY_MS);
}
