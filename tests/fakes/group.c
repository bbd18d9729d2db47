/* group.c -- simulation of a control group in virtual time.  */

#include "fakes/group.h"
#include "base/addr.h"
#include "base/auto.h"
#include "wire/group_command.h"

#include <string.h>

/* Types.  */

/* Times are in ms of virtual time.  */

#define SIMULATED_HOSTS_MAX 10 /* Including replacements.  */
#define SEED_HOSTS 3
#define END_MS 16000      /* End of a run; a leader must exist then.  */
#define QUIET_END_MS 4000 /* Operators stop that long before the end.  */
#define CHANGE_INTERVAL_MS 70
#define FAULTS_UNTIL_MS 7000 /* Later ones are ignored.  */
/* A leader should exist by then; not checked.  */
#define LEADER_EXPECTED_MS 15000
#define SYNC_MS 5
#define RESTART_DELAY_MS 1000
#define FREEZE_MS 4000
#define BLOCK_MS 4000
#define SHORT_FAULT_MS 3000 /* Faults of disks, loss and duplicates.  */
#define DISK_RETRY_MS 500
#define DUPLICATE_DELAY_MAX_MS 2500 /* Longest delay of the second copy.  */
#define INDEX_MAX 4096
#define TERM_MAX 512
#define PENDING_MAX 64

/* Each change with a number that this divides is an evacuation order; the
   others set the version.  */
#define ORDER_EVERY 3
#define ORDER_ZONES 2

enum event_kind
{
  EVENT_TICK,
  EVENT_MESSAGE,
  EVENT_SYNCED, /* A sync completes or fails.  */
  EVENT_RESTART,
  EVENT_HOST_CHANGE, /* The next change of the plan.  */
  EVENT_CHANGE,      /* An operator sends a change and a read.  */
  EVENT_DISK_RETRY   /* A failed disk is tried again with a rewrite.  */
};

struct event
{
  struct hs_list link; /* Sorted by time.  */
  uint64_t at;         /* ms  */
  enum event_kind kind;
  size_t host;
  uint64_t generation; /* Generation of the host when the event was added.  */
  size_t from;         /* MESSAGE: the sending host.  */
  size_t len;          /* MESSAGE  */
  uint8_t *data;       /* MESSAGE  */
  uint64_t seq;        /* SYNCED  */
  bool is_rewrite;     /* SYNCED: replaces all records.  */
};

struct record
{
  struct hs_list link;
  size_t len;
  uint8_t *data;
};

/* An operator's change or read that has no answer yet.  */
struct pending
{
  uint64_t index;       /* Index of a change's log entry.  */
  uint64_t term;        /* Answered only while the host leads that term.  */
  uint64_t version;     /* Number of a change; 0: this is a read.  */
  uint64_t round;       /* Round of a read.  */
  uint64_t min_version; /* Highest one acknowledged before the read began.  */
};

struct host
{
  struct simulation *simulation;
  size_t number; /* Index in hosts.  */
  struct hs_control_host self;
  struct hs_replica *replica; /* NULL: the process is down.  */
  uint64_t generation;        /* Incremented by each start and stop.  */
  uint64_t version;           /* The replicated state, with the next one.  */
  struct hs_evacuations evacuations;
  uint64_t frozen_until;
  uint64_t inbound_blocked_until;
  uint64_t outbound_blocked_until;
  uint64_t disk_stalled_until;
  uint64_t disk_full_until;
  bool is_removed;
  bool disk_failed;
  bool next_sync_is_rewrite; /* It replaces all records.  */
  bool rewrite_in_progress;
  struct hs_list durable;  /* struct record  */
  struct hs_list unsynced; /* struct record  */
  size_t pending_len;
  struct pending pending[PENDING_MAX];
};

struct simulation
{
  void *root;
  uint64_t now;
  uint64_t random;
  struct hs_list events;
  struct host hosts[SIMULATED_HOSTS_MAX];
  size_t hosts_len;
  struct hs_control_members seeds;
  struct hs_addr seed_addresses[SEED_HOSTS]; /* For hosts that start.  */
  const struct group_scheduled_fault *faults;
  size_t faults_len;
  const struct group_scheduled_change *changes; /* Those to come.  */
  uint64_t end_ms;
  size_t tolerated_losses;
  size_t max_members; /* Largest group so far.  */
  uint64_t packet_loss_until;
  uint64_t duplicates_until;
  uint64_t partition_until;
  bool has_synced[SEED_HOSTS]; /* The host's disk has had records.  */
  uint64_t next_version;
  uint64_t max_acknowledged; /* Highest version.  */
  uint64_t last_acknowledged_at;
  uint64_t leader_ids[TERM_MAX];      /* Indexed by term; 0: none seen.  */
  uint64_t entry_versions[INDEX_MAX]; /* Indexed by log index; 0: none.  */
  struct hs_evacuation_order entry_orders[INDEX_MAX]; /* The same.  */
  uint64_t max_acknowledged_order;                    /* Log index.  */
  struct group_report report;
};

static const char *const fault_names[GROUP_FAULT_COUNT]
    = { "none",       "kill",      "kill-all", "power",  "power-all", "wipe",
        "replace",    "freeze",    "cut",      "cut-in", "cut-out",   "halves",
        "disk-stall", "disk-full", "lose",     "double" };

/* Private functions.  */

static void start_host (struct host *host, bool bootstrap);
static void stop_host (struct host *host);

static uint64_t
next_random (struct simulation *simulation)
{
  simulation->random ^= simulation->random << 13;
  simulation->random ^= simulation->random >> 7;
  simulation->random ^= simulation->random << 17;
  return simulation->random;
}

static struct event *
add_event (struct simulation *simulation, uint64_t at, enum event_kind kind,
           size_t host)
{
  struct event *event = talloc_zero (simulation->root, struct event);
  struct hs_list *before = &simulation->events;

  event->at = at;
  event->kind = kind;
  event->host = host;
  event->generation = simulation->hosts[host].generation;
  /* After events of the same time.  */
  while (before->prev != &simulation->events
         && HS_LIST_ENTRY (before->prev, struct event, link)->at > at)
    before = before->prev;
  hs_list_append (before, &event->link);
  return event;
}

static void
clear_records (struct hs_list *list)
{
  HS_LIST_FOREACH (link, list)
    {
      hs_list_remove (link);
      talloc_free (HS_LIST_ENTRY (link, struct record, link));
    }
}

static void
move_records (struct hs_list *from, struct hs_list *to, size_t max)
{
  for (size_t i = 0; i < max && !hs_list_is_empty (from); i++)
    {
      struct hs_list *link = from->next;

      hs_list_remove (link);
      hs_list_append (to, link);
    }
}

/* Applies a power loss to the unsynced records: keeps none or the first
   few.  */
static void
drop_unsynced (struct host *host, bool drop_all)
{
  /* A rewrite replaces all records at once or not at all.  */
  size_t kept = host->rewrite_in_progress || drop_all
                    ? 0
                    : next_random (host->simulation) % 4;

  move_records (&host->unsynced, &host->durable, kept);

  clear_records (&host->unsynced);
}

/* Removes HOST for good.  */
static void
remove_host (struct host *host)
{
  stop_host (host);
  host->is_removed = true;
}

/* Starts a host with an empty disk after a delay.  It takes the place of
   REMOVED, unless that is NULL, among the seeds of hosts that start.  */
static void
add_host (struct simulation *simulation, const struct host *removed)
{
  const struct host *host = &simulation->hosts[simulation->hosts_len];

  if (simulation->hosts_len == SIMULATED_HOSTS_MAX)
    return;
  simulation->hosts_len++;
  for (size_t i = 0; removed != NULL && i < SEED_HOSTS; i++)
    if (hs_addr_equal (&simulation->seed_addresses[i],
                       &removed->self.inner_address))
      simulation->seed_addresses[i] = host->self.inner_address;
  add_event (simulation, simulation->now + RESTART_DELAY_MS, EVENT_RESTART,
             host->number);
}

static void
inject_fault (struct simulation *simulation, enum group_fault fault,
              size_t number)
{
  struct host *host = &simulation->hosts[number];
  uint64_t now = simulation->now;
  bool drop_all = next_random (simulation) % 2 == 0;

  switch (fault)
    {
    case GROUP_FAULT_KILL:
      move_records (&host->unsynced, &host->durable, SIZE_MAX);
      stop_host (host);
      break;
    case GROUP_FAULT_KILL_ALL:
    case GROUP_FAULT_POWER_LOSS_ALL:
      for (size_t i = 0; i < simulation->hosts_len; i++)
        {
          if (simulation->hosts[i].is_removed)
            continue;
          if (fault == GROUP_FAULT_POWER_LOSS_ALL)
            drop_unsynced (&simulation->hosts[i], drop_all);
          else
            move_records (&simulation->hosts[i].unsynced,
                          &simulation->hosts[i].durable, SIZE_MAX);
          stop_host (&simulation->hosts[i]);
        }
      break;
    case GROUP_FAULT_POWER_LOSS:
      drop_unsynced (host, drop_all);
      stop_host (host);
      break;
    case GROUP_FAULT_WIPE_DISK:
      clear_records (&host->unsynced);
      clear_records (&host->durable);
      stop_host (host);
      break;
    case GROUP_FAULT_REPLACE_HOST:
      remove_host (host);
      add_host (simulation, host);
      break;
    case GROUP_FAULT_FREEZE:
      host->frozen_until = now + FREEZE_MS;
      break;
    case GROUP_FAULT_ISOLATE:
    case GROUP_FAULT_BLOCK_INBOUND:
      host->inbound_blocked_until = now + BLOCK_MS;
      if (fault == GROUP_FAULT_ISOLATE)
        host->outbound_blocked_until = now + BLOCK_MS;
      break;
    case GROUP_FAULT_BLOCK_OUTBOUND:
      host->outbound_blocked_until = now + BLOCK_MS;
      break;
    case GROUP_FAULT_PARTITION:
      simulation->partition_until = now + BLOCK_MS;
      break;
    case GROUP_FAULT_DISK_STALL:
      host->disk_stalled_until = now + SHORT_FAULT_MS;
      break;
    case GROUP_FAULT_DISK_FULL:
      host->disk_full_until = now + SHORT_FAULT_MS;
      break;
    case GROUP_FAULT_PACKET_LOSS:
      simulation->packet_loss_until = now + SHORT_FAULT_MS;
      break;
    case GROUP_FAULT_DUPLICATE:
      simulation->duplicates_until = now + SHORT_FAULT_MS;
      break;
    case GROUP_FAULT_NONE:
    case GROUP_FAULT_COUNT:
      break;
    }
}

/* Counts a step of HOST and injects the faults scheduled for it.  True if
   HOST went down.  */
static bool
count_step (struct host *host)
{
  struct simulation *simulation = host->simulation;
  uint64_t generation = host->generation;
  unsigned int number = simulation->report.steps++;

  for (size_t i = 0; i < simulation->faults_len; i++)
    if (simulation->faults[i].step == number
        && simulation->now < FAULTS_UNTIL_MS)
      inject_fault (simulation, simulation->faults[i].fault, host->number);
  return host->generation != generation;
}

static bool
is_blocked (const struct simulation *simulation, size_t from, size_t to)
{
  const struct host *a = &simulation->hosts[from];
  const struct host *b = &simulation->hosts[to];

  if (a->outbound_blocked_until > simulation->now
      || b->inbound_blocked_until > simulation->now)
    return true;
  return simulation->partition_until > simulation->now
         && (from < 2) != (to < 2);
}

static size_t
find_host (const struct simulation *simulation, const struct hs_addr *address)
{
  for (size_t i = 0; i < simulation->hosts_len; i++)
    if (hs_addr_equal (&simulation->hosts[i].self.inner_address, address))
      return i;
  return SIZE_MAX;
}

static void
send_to (struct host *host, size_t to, const uint8_t *data, size_t len,
         uint64_t delay)
{
  struct simulation *simulation = host->simulation;
  struct event *event
      = add_event (simulation, simulation->now + delay, EVENT_MESSAGE, to);

  event->from = host->number;
  event->data = talloc_memdup (event, data, len);
  event->len = len;
}

static void
on_send (void *ctx, const struct hs_addr *to,
         const struct hs_replica_message *message)
{
  struct host *host = ctx;
  struct simulation *simulation = host->simulation;
  size_t number = find_host (simulation, to);
  size_t len;
  HS_AUTO_TALLOC uint8_t *data
      = hs_replica_message_encode (NULL, message, &len);

  if (host->replica == NULL || count_step (host) || number == SIZE_MAX
      || is_blocked (simulation, host->number, number))
    return;
  if (simulation->packet_loss_until > simulation->now
      && next_random (simulation) % 10 == 0)
    return;
  send_to (host, number, data, len, 1 + next_random (simulation) % 3);
  if (simulation->duplicates_until > simulation->now
      && next_random (simulation) % 4 == 0)
    send_to (host, number, data, len,
             next_random (simulation) % DUPLICATE_DELAY_MAX_MS);
}

static void
on_write (void *ctx, const struct hs_replica_record *record)
{
  struct host *host = ctx;
  struct record *copy = talloc_zero (host->simulation->root, struct record);

  copy->data = hs_replica_record_encode (copy, record, &copy->len);
  hs_list_init (&copy->link);
  hs_list_append (&host->unsynced, &copy->link);
}

static void
on_sync (void *ctx, uint64_t seq)
{
  struct host *host = ctx;
  struct simulation *simulation = host->simulation;
  uint64_t at = simulation->now + SYNC_MS;
  struct event *event;

  if (host->replica == NULL || count_step (host))
    return;
  if (host->disk_stalled_until > at)
    at = host->disk_stalled_until;
  event = add_event (simulation, at, EVENT_SYNCED, host->number);
  event->seq = seq;
  event->is_rewrite = host->next_sync_is_rewrite;
  host->rewrite_in_progress
      = host->rewrite_in_progress || host->next_sync_is_rewrite;
  host->next_sync_is_rewrite = false;
}

static void
apply_order (struct host *host, const struct hs_replica_log_entry *entry)
{
  struct simulation *simulation = host->simulation;
  HS_AUTO_TALLOC struct hs_group_command *command
      = hs_group_command_decode (NULL, entry->data, entry->len, NULL);
  struct hs_evacuation_order *seen;

  g_assert_nonnull (command);
  g_assert_true (hs_evacuations_apply (&host->evacuations, &command->order,
                                       entry->index, NULL));
  g_assert_cmpuint (entry->index, <, INDEX_MAX);
  seen = &simulation->entry_orders[entry->index];
  if (simulation->entry_versions[entry->index] != 0
      || (seen->zone[0] != '\0'
          && memcmp (seen, &command->order, sizeof *seen) != 0))
    simulation->report.conflicting_entries++;
  *seen = command->order;
}

static void
on_apply (void *ctx, const struct hs_replica_log_entry *entry)
{
  struct host *host = ctx;
  struct simulation *simulation = host->simulation;
  uint64_t version;

  if (entry->len != sizeof version)
    {
      apply_order (host, entry);
      return;
    }
  memcpy (&version, entry->data, sizeof version);
  if (entry->index < INDEX_MAX)
    {
      uint64_t *seen = &simulation->entry_versions[entry->index];

      if (*seen != 0 && *seen != version)
        simulation->report.conflicting_entries++;
      *seen = version;
    }
  if (version > host->version)
    host->version = version;
}

static void
on_restore (void *ctx, const uint8_t *data, size_t len)
{
  struct host *host = ctx;
  HS_AUTO_TALLOC struct hs_group_snapshot *snapshot
      = hs_group_snapshot_decode (NULL, data, len, NULL);

  g_assert_nonnull (snapshot);
  if (snapshot->configuration->version < host->version
      || snapshot->evacuations.revision < host->evacuations.revision)
    host->simulation->report.state_regressions++;
  host->version = snapshot->configuration->version;
  host->evacuations = snapshot->evacuations;
}

static uint8_t *
on_save (void *ctx, void *parent, size_t *len)
{
  struct host *host = ctx;

  struct hs_stored_configuration configuration
      = { .version = host->version,
          .source = (const uint8_t *)"",
          .encoded = (const uint8_t *)"" };
  struct hs_group_snapshot snapshot
      = { .configuration = &configuration, .evacuations = host->evacuations };

  return hs_group_snapshot_encode (parent, &snapshot, len);
}

/* Keeps the size of the smallest group after the largest one.  */
static void
note_members (struct simulation *simulation, size_t members)
{
  if (members > simulation->max_members)
    {
      simulation->max_members = members;
      simulation->report.min_members = members;
    }
  else if (members < simulation->report.min_members)
    simulation->report.min_members = members;
}

static void
on_changed (void *ctx)
{
  struct host *host = ctx;
  struct simulation *simulation = host->simulation;
  uint64_t term;

  if (host->replica == NULL || !hs_replica_is_leader (host->replica))
    return;
  note_members (simulation, hs_replica_members (host->replica)->len);
  term = hs_replica_term (host->replica);
  if (term >= TERM_MAX)
    return;
  if (simulation->leader_ids[term] != 0
      && simulation->leader_ids[term] != host->self.id)
    simulation->report.two_leaders++;
  simulation->leader_ids[term] = host->self.id;
}

static void
start_host (struct host *host, bool bootstrap)
{
  struct simulation *simulation = host->simulation;
  struct hs_replica_ops ops = { on_send,    on_write, on_sync,   on_apply,
                                on_restore, on_save,  on_changed };
  struct hs_replica *replica;
  uint64_t generation;

  host->generation++;
  host->version = 0;
  host->evacuations = (struct hs_evacuations){ .revision = 0 };
  host->pending_len = 0;
  host->disk_failed = false;
  host->next_sync_is_rewrite = hs_list_is_empty (&host->durable);
  host->rewrite_in_progress = false;
  host->self.id = next_random (simulation);
  replica = hs_replica_create (simulation->root, &host->self,
                               next_random (simulation), &ops, host);
  HS_LIST_FOREACH (link, &host->durable)
    {
      const struct record *stored = HS_LIST_ENTRY (link, struct record, link);
      HS_AUTO_TALLOC struct hs_replica_record *record
          = hs_replica_record_decode (NULL, stored->data, stored->len, NULL);

      g_assert_nonnull (record);
      if (record->type == HS_REPLICA_RECORD_HOST_ID)
        host->self.id = record->value;
      hs_replica_load_record (replica, record);
    }
  if (bootstrap && host->number < SEED_HOSTS
      && hs_list_is_empty (&host->durable))
    {
      host->self.id = simulation->seeds.hosts[host->number].id;
      hs_replica_bootstrap (replica, host->self.id, &simulation->seeds);
    }
  hs_replica_set_seeds (replica, simulation->seed_addresses, SEED_HOSTS);
  hs_replica_set_tolerated_losses (replica, simulation->tolerated_losses);
  host->replica = replica;
  generation = host->generation;
  hs_replica_start (replica, simulation->now);
  if (host->generation == generation)
    add_event (simulation, simulation->now, EVENT_TICK, host->number);
}

static void
stop_host (struct host *host)
{
  if (host->is_removed)
    return;
  host->generation++;
  /* A callback of the replica may be running, so the replica is not freed
     before the end of the run.  */
  host->replica = NULL;
  add_event (host->simulation, host->simulation->now + RESTART_DELAY_MS,
             EVENT_RESTART, host->number);
}

static void
fail_disk (struct host *host)
{
  host->disk_failed = true;
  clear_records (&host->unsynced);
  hs_replica_set_disk_usable (host->replica, false);
  add_event (host->simulation, host->simulation->now + DISK_RETRY_MS,
             EVENT_DISK_RETRY, host->number);
}

static void
complete_sync (struct host *host, const struct event *event)
{
  if (host->disk_full_until > host->simulation->now)
    {
      if (!host->disk_failed || event->is_rewrite)
        fail_disk (host);
      return;
    }
  if (host->disk_failed && !event->is_rewrite)
    return;
  if (event->is_rewrite)
    {
      clear_records (&host->durable);
      host->rewrite_in_progress = false;
    }
  /* A sync covers all records written before it was requested, and may cover
     later ones.  */
  move_records (&host->unsynced, &host->durable, SIZE_MAX);
  if (host->number < SEED_HOSTS)
    host->simulation->has_synced[host->number] = true;
  if (host->disk_failed)
    hs_replica_set_disk_usable (host->replica, true);
  host->disk_failed = false;
  hs_replica_synced (host->replica, event->seq, host->simulation->now);
}

/* Returns the host to which HOST redirects operators: the leader that it
   knows, or HOST itself.  */
static struct host *
find_responder (struct host *host)
{
  struct hs_control_host leader;

  if (host->replica != NULL && hs_replica_leader (host->replica, &leader)
      && find_host (host->simulation, &leader.inner_address) != SIZE_MAX)
    return &host->simulation
                ->hosts[find_host (host->simulation, &leader.inner_address)];
  return host;
}

/* Returns the log index of the change NUMBER.  Orders start and end the
   evacuations of all zones in turn.  */
static uint64_t
propose_change (struct host *host, uint64_t number)
{
  uint64_t order_number = number / ORDER_EVERY;
  struct hs_evacuation_order order
      = { .start = order_number / ORDER_ZONES % 2 == 0 };
  HS_AUTO_TALLOC uint8_t *data = NULL;
  size_t len;

  if (number % ORDER_EVERY != 0)
    return hs_replica_propose (host->replica, (const uint8_t *)&number,
                               sizeof number, host->simulation->now);
  g_snprintf (order.zone, sizeof order.zone, "zone-%u",
              (unsigned int)(order_number % ORDER_ZONES));
  data = hs_evacuation_order_encode (NULL, &order, &len);
  return hs_replica_propose (host->replica, data, len, host->simulation->now);
}

/* An operator sends a change and a read to a random host.  Only a leader
   accepts them.  */
static void
send_operator_requests (struct simulation *simulation)
{
  struct host *host = find_responder (
      &simulation->hosts[next_random (simulation) % simulation->hosts_len]);
  struct pending *pending;
  uint64_t generation = host->generation;
  uint64_t version = ++simulation->next_version;

  if (simulation->now + QUIET_END_MS < simulation->end_ms)
    add_event (simulation, simulation->now + CHANGE_INTERVAL_MS, EVENT_CHANGE,
               0);
  if (host->replica == NULL || host->frozen_until > simulation->now
      || !hs_replica_is_leader (host->replica)
      || host->pending_len + 2 > PENDING_MAX)
    return;
  pending = &host->pending[host->pending_len++];
  *pending = (struct pending){ .version = version,
                               .term = hs_replica_term (host->replica) };
  pending->index = propose_change (host, version);
  if (host->generation != generation)
    return;
  pending = &host->pending[host->pending_len++];
  *pending = (struct pending){ .min_version = simulation->max_acknowledged,
                               .term = hs_replica_term (host->replica) };
  pending->round = hs_replica_begin_read (host->replica, simulation->now);
}

/* Ends the time without an acknowledgement at AT.  */
static void
end_gap (struct simulation *simulation, uint64_t at)
{
  if (at
      > simulation->last_acknowledged_at + simulation->report.longest_gap_ms)
    simulation->report.longest_gap_ms = at - simulation->last_acknowledged_at;
  simulation->last_acknowledged_at = at;
}

static void
acknowledge (struct host *host, const struct pending *pending)
{
  struct simulation *simulation = host->simulation;

  if (pending->version == 0)
    {
      simulation->report.reads++;
      simulation->report.stale_reads += host->version < pending->min_version;
      return;
    }
  simulation->report.acknowledged++;
  end_gap (simulation, simulation->now);
  if (pending->version % ORDER_EVERY == 0)
    {
      if (pending->index > simulation->max_acknowledged_order)
        simulation->max_acknowledged_order = pending->index;
    }
  else if (pending->version > simulation->max_acknowledged)
    simulation->max_acknowledged = pending->version;
}

static void
answer_pending (struct host *host)
{
  size_t len = 0;

  if (host->replica == NULL)
    return;
  for (size_t i = 0; i < host->pending_len; i++)
    {
      const struct pending *pending = &host->pending[i];
      bool done
          = pending->version == 0
                ? hs_replica_confirmed_round (host->replica) >= pending->round
                : hs_replica_applied_index (host->replica) >= pending->index;

      if (!hs_replica_is_leader (host->replica)
          || hs_replica_term (host->replica) != pending->term)
        continue;
      if (done)
        acknowledge (host, pending);
      else
        host->pending[len++] = *pending;
    }
  host->pending_len = len;
}

/* Hosts with an empty disk bootstrap a group until a majority of the seeds
   have had records on disk.  */
static bool
is_first_start (const struct simulation *simulation)
{
  size_t synced = 0;

  for (size_t i = 0; i < SEED_HOSTS; i++)
    synced += simulation->has_synced[i];
  return synced <= SEED_HOSTS / 2;
}

/* Returns the leader or, unless IS_LEADER, the first running host that is
   none and is not isolated.  NULL if there is none.  */
static struct host *
find_running_host (struct simulation *simulation, bool is_leader)
{
  for (size_t i = 0; i < simulation->hosts_len; i++)
    {
      struct host *host = &simulation->hosts[i];

      if (host->replica != NULL
          && host->inbound_blocked_until <= simulation->now
          && hs_replica_is_leader (host->replica) == is_leader)
        return host;
    }
  return NULL;
}

/* Makes the next change of the plan.  */
static void
change_hosts (struct simulation *simulation)
{
  const struct group_scheduled_change *change = simulation->changes++;
  struct host *host = find_running_host (
      simulation, change->kind == GROUP_CHANGE_REPLACE_LEADER);

  g_assert_nonnull (host);
  switch (change->kind)
    {
    case GROUP_CHANGE_REPLACE_LEADER:
    case GROUP_CHANGE_REPLACE_FOLLOWER:
      remove_host (host);
      add_host (simulation, host);
      break;
    case GROUP_CHANGE_REMOVE_FOLLOWER:
      remove_host (host);
      break;
    case GROUP_CHANGE_ADD:
      add_host (simulation, NULL);
      break;
    case GROUP_CHANGE_ISOLATE_FOLLOWER:
      host->inbound_blocked_until = simulation->now + change->for_ms;
      host->outbound_blocked_until = simulation->now + change->for_ms;
      break;
    case GROUP_CHANGE_FILL_DISK:
      simulation->hosts[change->host].disk_full_until
          = simulation->now + change->for_ms;
      break;
    }
}

static void
handle_event (struct simulation *simulation, struct event *event)
{
  struct host *host = &simulation->hosts[event->host];

  if (event->kind == EVENT_CHANGE)
    {
      send_operator_requests (simulation);
      return;
    }
  if (event->kind == EVENT_HOST_CHANGE)
    {
      change_hosts (simulation);
      return;
    }
  if (event->kind == EVENT_RESTART)
    {
      if (!host->is_removed && host->replica == NULL)
        start_host (host, is_first_start (simulation));
      return;
    }
  if (host->replica == NULL
      || (event->kind != EVENT_MESSAGE
          && event->generation != host->generation))
    return;
  if (host->frozen_until > simulation->now)
    {
      struct event *deferred = add_event (simulation, host->frozen_until,
                                          event->kind, event->host);

      deferred->from = event->from;
      deferred->seq = event->seq;
      deferred->is_rewrite = event->is_rewrite;
      deferred->len = event->len;
      deferred->data = talloc_steal (deferred, event->data);
      return;
    }
  if (event->kind == EVENT_TICK)
    {
      add_event (simulation, simulation->now + HS_REPLICA_TICK_MS, EVENT_TICK,
                 event->host);
      hs_replica_tick (host->replica, simulation->now);
    }
  else if (event->kind == EVENT_SYNCED)
    complete_sync (host, event);
  else if (event->kind == EVENT_DISK_RETRY)
    {
      host->next_sync_is_rewrite = true;
      hs_replica_rewrite (host->replica);
    }
  else
    {
      HS_AUTO_TALLOC struct hs_replica_message *message
          = hs_replica_message_decode (NULL, event->data, event->len, NULL);

      g_assert_nonnull (message);
      hs_replica_receive (host->replica, message, simulation->now);
    }
  answer_pending (host);
}

/* Returns whether HOST has the state that follows from all orders, the
   acknowledged ones among them.  */
static bool
has_all_orders (const struct simulation *simulation, const struct host *host)
{
  struct hs_evacuations expected = { .revision = 0 };
  uint64_t applied = hs_replica_applied_index (host->replica);

  for (uint64_t i = 1; i < INDEX_MAX && i <= applied; i++)
    if (simulation->entry_orders[i].zone[0] != '\0')
      hs_evacuations_apply (&expected, &simulation->entry_orders[i], i, NULL);
  return applied >= simulation->max_acknowledged_order
         && expected.revision == host->evacuations.revision
         && expected.len == host->evacuations.len
         && memcmp (expected.zones, host->evacuations.zones,
                    expected.len * HS_NAME_SIZE)
                == 0;
}

static void
check_final_state (struct simulation *simulation)
{
  const struct host *leader = NULL;
  struct hs_control_host known;

  end_gap (simulation, simulation->end_ms - QUIET_END_MS);
  for (size_t i = 0; i < simulation->hosts_len; i++)
    if (simulation->hosts[i].replica != NULL
        && hs_replica_is_leader (simulation->hosts[i].replica)
        && hs_replica_confirmed_round (simulation->hosts[i].replica) > 0)
      leader = &simulation->hosts[i];
  for (size_t i = 0; i < simulation->hosts_len; i++)
    simulation->report.without_leader
        += simulation->hosts[i].replica != NULL
           && !hs_replica_leader (simulation->hosts[i].replica, &known);
  if (leader == NULL)
    simulation->report.no_leader++;
  else if (leader->version < simulation->max_acknowledged
           || !has_all_orders (simulation, leader))
    simulation->report.lost_writes++;
}

static struct group_report
run (struct simulation *simulation)
{
  size_t len = simulation->hosts_len;

  for (size_t i = 0; i < SIMULATED_HOSTS_MAX; i++)
    {
      struct host *host = &simulation->hosts[i];

      host->simulation = simulation;
      host->number = i;
      host->self.inner_address
          = hs_addr_from_ipv4 (0x0a000001 + (uint32_t)i, 7000);
      host->self.api_address
          = hs_addr_from_ipv4 (0x0a000001 + (uint32_t)i, 8000);
      hs_list_init (&host->durable);
      hs_list_init (&host->unsynced);
    }
  for (size_t i = 0; i < SEED_HOSTS; i++)
    {
      simulation->seeds.hosts[i] = simulation->hosts[i].self;
      simulation->seeds.hosts[i].id = 100 + i;
      simulation->seed_addresses[i] = simulation->hosts[i].self.inner_address;
    }
  simulation->seeds.len = SEED_HOSTS;
  for (size_t i = 0; i < len; i++)
    start_host (&simulation->hosts[i], true);
  add_event (simulation, 0, EVENT_CHANGE, 0);
  while (!hs_list_is_empty (&simulation->events)
         && simulation->now < simulation->end_ms)
    {
      HS_AUTO_TALLOC struct event *event = HS_LIST_ENTRY (
          hs_list_pop (&simulation->events), struct event, link);

      simulation->now = event->at;
      handle_event (simulation, event);
    }
  check_final_state (simulation);
  talloc_free (simulation->root);
  return simulation->report;
}

/* Public definitions.  */

const char *
group_fault_name (enum group_fault fault)
{
  return fault_names[fault];
}

struct group_report
group_simulate (uint64_t seed, const struct group_scheduled_fault *faults,
                size_t len)
{
  struct simulation simulation = { .root = talloc_new (NULL),
                                   .random = seed * 2 + 1,
                                   .faults = faults,
                                   .faults_len = len,
                                   .hosts_len = GROUP_HOSTS,
                                   .end_ms = END_MS };

  hs_list_init (&simulation.events);
  return run (&simulation);
}

struct group_report
group_simulate_plan (uint64_t seed, const struct group_plan *plan)
{
  struct simulation simulation = { .root = talloc_new (NULL),
                                   .random = seed * 2 + 1,
                                   .hosts_len = plan->hosts,
                                   .changes = plan->changes,
                                   .faults = plan->faults,
                                   .faults_len = plan->faults_len,
                                   .tolerated_losses = plan->tolerated_losses,
                                   .end_ms = plan->end_ms };

  hs_list_init (&simulation.events);
  for (size_t i = 0; i < plan->changes_len; i++)
    add_event (&simulation, plan->changes[i].at, EVENT_HOST_CHANGE, 0);
  return run (&simulation);
}

bool
group_report_passed (const struct group_report *report)
{
  return report->two_leaders == 0 && report->conflicting_entries == 0
         && report->lost_writes == 0 && report->stale_reads == 0
         && report->state_regressions == 0 && report->no_leader == 0
         && report->without_leader == 0 && report->acknowledged > 0;
}
