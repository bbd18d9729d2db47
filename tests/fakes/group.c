/* group.c -- a control group in one process, in virtual time.  */

#include "fakes/group.h"
#include "base/addr.h"
#include "base/auto.h"
#include "wire/replica_message.h"

#include <string.h>

/* Types.  */

#define HOSTS_MAX 8 /* With those that replace others.  */
#define SEEDS 3
#define END_MS 16000     /* Of a play.  */
#define CHANGES_MS 12000 /* Until then operators change the number.  */
#define CHANGE_EVERY_MS 70
#define FAULTS_UNTIL_MS 7000
#define SETTLED_MS 15000 /* By then there must be a leader.  */
#define SYNC_MS 5
#define DOWN_MS 1000
#define FREEZE_MS 4000
#define CUT_MS 4000
#define DISK_MS 3000
#define RETRY_MS 500
#define LATE_MS 2500
#define INDEX_MAX 4096
#define TERM_MAX 512
#define PENDING_MAX 64

enum event_kind
{
  EVENT_TICK,
  EVENT_MESSAGE,
  EVENT_SYNCED,
  EVENT_RESTART,
  EVENT_CHANGE,
  EVENT_DISK_RETRY
};

struct event
{
  struct hs_list link; /* In order of time.  */
  uint64_t at;
  enum event_kind kind;
  size_t host;
  uint64_t lifetime; /* Of the host, when it was made.  */
  size_t from;
  size_t len;
  uint8_t *data;
  uint64_t seq;
  bool replaces;
};

struct record
{
  struct hs_list link;
  size_t len;
  uint8_t *data;
};

/* A change or a read that waits.  */
struct pending
{
  uint64_t index;
  uint64_t term;
  uint64_t version; /* 0: a read.  */
  uint64_t round;
  uint64_t floor; /* Acknowledged before it began.  */
};

struct host
{
  struct world *world;
  size_t number;
  struct hs_control_host self;
  struct hs_replica *replica; /* NULL: down.  */
  uint64_t lifetime;
  uint64_t value; /* The state.  */
  uint64_t frozen_until;
  uint64_t cut_in_until;
  uint64_t cut_out_until;
  uint64_t stalled_until;
  uint64_t full_until;
  bool gone;
  bool disk_failed;
  bool replaces;
  bool image_pending;
  struct hs_list durable;  /* struct record  */
  struct hs_list unsynced; /* struct record  */
  size_t pending_len;
  struct pending pending[PENDING_MAX];
};

struct world
{
  void *root;
  uint64_t now;
  uint64_t random;
  struct hs_list events;
  struct host hosts[HOSTS_MAX];
  size_t hosts_len;
  struct hs_control_members seeds;
  const struct group_scheduled_fault *faults;
  size_t faults_len;
  uint64_t lossy_until;
  uint64_t doubled_until;
  uint64_t halves_until;
  bool founded[SEEDS]; /* Its disk has held something.  */
  uint64_t next_version;
  uint64_t acknowledged; /* The highest.  */
  uint64_t acknowledged_at;
  uint64_t terms[TERM_MAX];    /* Leader of each; 0: none seen.  */
  uint64_t entries[INDEX_MAX]; /* Version of each index; 0: none.  */
  struct group_report report;
};

static const char *const names[GROUP_FAULT_COUNT]
    = { "none",       "kill",      "kill-all", "power",  "power-all", "wipe",
        "replace",    "freeze",    "cut",      "cut-in", "cut-out",   "halves",
        "disk-stall", "disk-full", "lose",     "double" };

/* Private functions.  */

static void start_host (struct host *host, bool bootstrap);
static void stop_host (struct host *host);

static uint64_t
next_random (struct world *world)
{
  world->random ^= world->random << 13;
  world->random ^= world->random >> 7;
  world->random ^= world->random << 17;
  return world->random;
}

static struct event *
add_event (struct world *world, uint64_t at, enum event_kind kind, size_t host)
{
  struct event *event = talloc_zero (world->root, struct event);
  struct hs_list *before = &world->events;

  event->at = at;
  event->kind = kind;
  event->host = host;
  event->lifetime = world->hosts[host].lifetime;
  /* Behind those of the same time.  */
  while (before->prev != &world->events
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

/* What a power loss leaves of unsynced writes: a prefix, or nothing.  */
static void
lose_power (struct host *host, bool all_gone)
{
  /* A whole image takes the place of the old one at once, or not at all.  */
  size_t kept
      = host->image_pending || all_gone ? 0 : next_random (host->world) % 4;

  move_records (&host->unsynced, &host->durable, kept);

  clear_records (&host->unsynced);
}

static void
strike (struct world *world, enum group_fault fault, size_t number)
{
  struct host *host = &world->hosts[number];
  uint64_t now = world->now;
  bool all_gone = next_random (world) % 2 == 0;

  switch (fault)
    {
    case GROUP_FAULT_KILL:
      move_records (&host->unsynced, &host->durable, SIZE_MAX);
      stop_host (host);
      break;
    case GROUP_FAULT_KILL_ALL:
    case GROUP_FAULT_POWER_LOSS_ALL:
      for (size_t i = 0; i < world->hosts_len; i++)
        {
          if (world->hosts[i].gone)
            continue;
          if (fault == GROUP_FAULT_POWER_LOSS_ALL)
            lose_power (&world->hosts[i], all_gone);
          else
            move_records (&world->hosts[i].unsynced, &world->hosts[i].durable,
                          SIZE_MAX);
          stop_host (&world->hosts[i]);
        }
      break;
    case GROUP_FAULT_POWER_LOSS:
      lose_power (host, all_gone);
      stop_host (host);
      break;
    case GROUP_FAULT_WIPE_DISK:
      clear_records (&host->unsynced);
      clear_records (&host->durable);
      stop_host (host);
      break;
    case GROUP_FAULT_REPLACE_HOST:
      stop_host (host);
      host->gone = true;
      if (world->hosts_len < HOSTS_MAX)
        add_event (world, now + DOWN_MS, EVENT_RESTART, world->hosts_len++);
      break;
    case GROUP_FAULT_FREEZE:
      host->frozen_until = now + FREEZE_MS;
      break;
    case GROUP_FAULT_ISOLATE:
    case GROUP_FAULT_BLOCK_INBOUND:
      host->cut_in_until = now + CUT_MS;
      if (fault == GROUP_FAULT_ISOLATE)
        host->cut_out_until = now + CUT_MS;
      break;
    case GROUP_FAULT_BLOCK_OUTBOUND:
      host->cut_out_until = now + CUT_MS;
      break;
    case GROUP_FAULT_PARTITION:
      world->halves_until = now + CUT_MS;
      break;
    case GROUP_FAULT_DISK_STALL:
      host->stalled_until = now + DISK_MS;
      break;
    case GROUP_FAULT_DISK_FULL:
      host->full_until = now + DISK_MS;
      break;
    case GROUP_FAULT_PACKET_LOSS:
      world->lossy_until = now + DISK_MS;
      break;
    case GROUP_FAULT_DUPLICATE:
      world->doubled_until = now + DISK_MS;
      break;
    case GROUP_FAULT_NONE:
    case GROUP_FAULT_COUNT:
      break;
    }
}

/* Counts a step of HOST; true: it went down at it.  */
static bool
step (struct host *host)
{
  struct world *world = host->world;
  uint64_t lifetime = host->lifetime;
  unsigned int number = world->report.steps++;

  for (size_t i = 0; i < world->faults_len; i++)
    if (world->faults[i].step == number && world->now < FAULTS_UNTIL_MS)
      strike (world, world->faults[i].fault, host->number);
  return host->lifetime != lifetime;
}

static bool
is_cut (const struct world *world, size_t from, size_t to)
{
  const struct host *a = &world->hosts[from];
  const struct host *b = &world->hosts[to];

  if (a->cut_out_until > world->now || b->cut_in_until > world->now)
    return true;
  return world->halves_until > world->now && (from < 2) != (to < 2);
}

static size_t
host_at (const struct world *world, const struct hs_addr *address)
{
  for (size_t i = 0; i < world->hosts_len; i++)
    if (hs_addr_equal (&world->hosts[i].self.inner, address))
      return i;
  return SIZE_MAX;
}

static void
send_to (struct host *host, size_t to, const uint8_t *data, size_t len,
         uint64_t delay)
{
  struct world *world = host->world;
  struct event *event
      = add_event (world, world->now + delay, EVENT_MESSAGE, to);

  event->from = host->number;
  event->data = talloc_memdup (event, data, len);
  event->len = len;
}

static void
on_send (void *ctx, const struct hs_addr *to,
         const struct hs_replica_message *message)
{
  struct host *host = ctx;
  struct world *world = host->world;
  size_t number = host_at (world, to);
  size_t len;
  HS_AUTO_TALLOC uint8_t *data
      = hs_replica_message_encode (NULL, message, &len);

  if (host->replica == NULL || step (host) || number == SIZE_MAX
      || is_cut (world, host->number, number))
    return;
  if (world->lossy_until > world->now && next_random (world) % 10 == 0)
    return;
  send_to (host, number, data, len, 1 + next_random (world) % 3);
  if (world->doubled_until > world->now && next_random (world) % 4 == 0)
    send_to (host, number, data, len, next_random (world) % LATE_MS);
}

static void
on_write (void *ctx, const struct hs_replica_record *record)
{
  struct host *host = ctx;
  struct record *copy = talloc_zero (host->world->root, struct record);

  copy->data = hs_replica_record_encode (copy, record, &copy->len);
  hs_list_init (&copy->link);
  hs_list_append (&host->unsynced, &copy->link);
}

static void
on_sync (void *ctx, uint64_t seq)
{
  struct host *host = ctx;
  struct world *world = host->world;
  uint64_t at = world->now + SYNC_MS;
  struct event *event;

  if (host->replica == NULL || step (host))
    return;
  if (host->stalled_until > at)
    at = host->stalled_until;
  event = add_event (world, at, EVENT_SYNCED, host->number);
  event->seq = seq;
  event->replaces = host->replaces;
  host->image_pending = host->image_pending || host->replaces;
  host->replaces = false;
}

static void
on_apply (void *ctx, const struct hs_replica_log_entry *entry)
{
  struct host *host = ctx;
  struct world *world = host->world;
  uint64_t version;

  memcpy (&version, entry->data, sizeof version);
  if (entry->index < INDEX_MAX)
    {
      uint64_t *seen = &world->entries[entry->index];

      if (*seen != 0 && *seen != version)
        world->report.conflicting_entries++;
      *seen = version;
    }
  if (version > host->value)
    host->value = version;
}

static void
on_restore (void *ctx, const uint8_t *data, size_t len)
{
  struct host *host = ctx;
  uint64_t value;

  g_assert_cmpuint (len, ==, sizeof value);
  memcpy (&value, data, sizeof value);
  if (value < host->value)
    host->world->report.state_regressions++;
  host->value = value;
}

static uint8_t *
on_save (void *ctx, void *parent, size_t *len)
{
  struct host *host = ctx;

  *len = sizeof host->value;
  return talloc_memdup (parent, &host->value, sizeof host->value);
}

static void
on_changed (void *ctx)
{
  struct host *host = ctx;
  struct world *world = host->world;
  uint64_t term;

  if (host->replica == NULL || !hs_replica_is_leader (host->replica))
    return;
  term = hs_replica_term (host->replica);
  if (term >= TERM_MAX)
    return;
  if (world->terms[term] != 0 && world->terms[term] != host->self.id)
    world->report.two_leaders++;
  world->terms[term] = host->self.id;
}

static void
start_host (struct host *host, bool bootstrap)
{
  struct world *world = host->world;
  struct hs_replica_ops ops = { on_send,    on_write, on_sync,   on_apply,
                                on_restore, on_save,  on_changed };
  struct hs_addr contacts[SEEDS];
  struct hs_replica *replica;
  uint64_t lifetime;

  host->lifetime++;
  host->value = 0;
  host->pending_len = 0;
  host->disk_failed = false;
  host->replaces = hs_list_is_empty (&host->durable);
  host->image_pending = false;
  host->self.id = next_random (world);
  replica = hs_replica_create (world->root, &host->self, next_random (world),
                               &ops, host);
  HS_LIST_FOREACH (link, &host->durable)
    {
      const struct record *kept = HS_LIST_ENTRY (link, struct record, link);
      HS_AUTO_TALLOC struct hs_replica_record *record
          = hs_replica_record_decode (NULL, kept->data, kept->len, NULL);

      g_assert_nonnull (record);
      if (record->type == HS_REPLICA_RECORD_HOST_ID)
        host->self.id = record->value;
      hs_replica_load_record (replica, record);
    }
  if (bootstrap && host->number < SEEDS && hs_list_is_empty (&host->durable))
    {
      host->self.id = world->seeds.hosts[host->number].id;
      hs_replica_bootstrap (replica, host->self.id, &world->seeds);
    }
  for (size_t i = 0; i < SEEDS; i++)
    contacts[i] = world->seeds.hosts[i].inner;
  hs_replica_set_seeds (replica, contacts, SEEDS);
  host->replica = replica;
  lifetime = host->lifetime;
  hs_replica_start (replica, world->now);
  if (host->lifetime == lifetime)
    add_event (world, world->now, EVENT_TICK, host->number);
}

static void
stop_host (struct host *host)
{
  if (host->gone)
    return;
  host->lifetime++;
  /* It may be in the middle of a call: its memory stays.  */
  host->replica = NULL;
  add_event (host->world, host->world->now + DOWN_MS, EVENT_RESTART,
             host->number);
}

static void
fail_disk (struct host *host)
{
  host->disk_failed = true;
  clear_records (&host->unsynced);
  hs_replica_set_disk_usable (host->replica, false);
  add_event (host->world, host->world->now + RETRY_MS, EVENT_DISK_RETRY,
             host->number);
}

static void
on_synced (struct host *host, const struct event *event)
{
  if (host->full_until > host->world->now)
    {
      if (!host->disk_failed || event->replaces)
        fail_disk (host);
      return;
    }
  if (host->disk_failed && !event->replaces)
    return;
  if (event->replaces)
    {
      clear_records (&host->durable);
      host->image_pending = false;
    }
  /* The sync may cover later writes, too: never fewer.  */
  move_records (&host->unsynced, &host->durable, SIZE_MAX);
  if (host->number < SEEDS)
    host->world->founded[host->number] = true;
  if (host->disk_failed)
    hs_replica_set_disk_usable (host->replica, true);
  host->disk_failed = false;
  hs_replica_synced (host->replica, event->seq, host->world->now);
}

/* The host that answers an operator who tries HOST.  */
static struct host *
redirect (struct host *host)
{
  struct hs_control_host leader;

  if (host->replica != NULL && hs_replica_leader (host->replica, &leader)
      && host_at (host->world, &leader.inner) != SIZE_MAX)
    return &host->world->hosts[host_at (host->world, &leader.inner)];
  return host;
}

/* An operator tries any host, and is answered by the leader alone.  */
static void
on_change (struct world *world)
{
  struct host *host
      = redirect (&world->hosts[next_random (world) % world->hosts_len]);
  struct pending *pending;
  uint64_t lifetime = host->lifetime;
  uint64_t version = ++world->next_version;

  if (world->now < CHANGES_MS)
    add_event (world, world->now + CHANGE_EVERY_MS, EVENT_CHANGE, 0);
  if (host->replica == NULL || host->frozen_until > world->now
      || !hs_replica_is_leader (host->replica)
      || host->pending_len + 2 > PENDING_MAX)
    return;
  pending = &host->pending[host->pending_len++];
  *pending = (struct pending){ .version = version,
                               .term = hs_replica_term (host->replica) };
  pending->index = hs_replica_propose (
      host->replica, (const uint8_t *)&version, sizeof version, world->now);
  if (host->lifetime != lifetime)
    return;
  pending = &host->pending[host->pending_len++];
  *pending = (struct pending){ .floor = world->acknowledged,
                               .term = hs_replica_term (host->replica) };
  pending->round = hs_replica_begin_read (host->replica, world->now);
}

static void
answer (struct host *host, const struct pending *pending)
{
  struct world *world = host->world;

  if (pending->version == 0)
    {
      world->report.reads++;
      world->report.stale_reads += host->value < pending->floor;
      return;
    }
  world->report.acknowledged++;
  if (world->now - world->acknowledged_at > world->report.longest_gap_ms)
    world->report.longest_gap_ms = world->now - world->acknowledged_at;
  world->acknowledged_at = world->now;
  if (pending->version > world->acknowledged)
    world->acknowledged = pending->version;
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
        answer (host, pending);
      else
        host->pending[len++] = *pending;
    }
  host->pending_len = len;
}

/* The system starts for the first time until a majority of the first group
   has anything on disk.  */
static bool
is_first_start (const struct world *world)
{
  size_t founded = 0;

  for (size_t i = 0; i < SEEDS; i++)
    founded += world->founded[i];
  return founded <= SEEDS / 2;
}

static void
handle (struct world *world, struct event *event)
{
  struct host *host = &world->hosts[event->host];

  if (event->kind == EVENT_CHANGE)
    {
      on_change (world);
      return;
    }
  if (event->kind == EVENT_RESTART)
    {
      if (!host->gone && host->replica == NULL)
        start_host (host, is_first_start (world));
      return;
    }
  if (host->replica == NULL
      || (event->kind != EVENT_MESSAGE && event->lifetime != host->lifetime))
    return;
  if (host->frozen_until > world->now)
    {
      struct event *later
          = add_event (world, host->frozen_until, event->kind, event->host);

      later->from = event->from;
      later->seq = event->seq;
      later->replaces = event->replaces;
      later->len = event->len;
      later->data = talloc_steal (later, event->data);
      return;
    }
  if (event->kind == EVENT_TICK)
    {
      add_event (world, world->now + HS_REPLICA_TICK_MS, EVENT_TICK,
                 event->host);
      hs_replica_tick (host->replica, world->now);
    }
  else if (event->kind == EVENT_SYNCED)
    on_synced (host, event);
  else if (event->kind == EVENT_DISK_RETRY)
    {
      host->replaces = true;
      hs_replica_rewrite (host->replica);
    }
  else
    {
      HS_AUTO_TALLOC struct hs_replica_message *message
          = hs_replica_message_decode (NULL, event->data, event->len, NULL);

      g_assert_nonnull (message);
      hs_replica_receive (host->replica, message, world->now);
    }
  answer_pending (host);
}

static void
check_end (struct world *world)
{
  const struct host *leader = NULL;

  for (size_t i = 0; i < world->hosts_len; i++)
    if (world->hosts[i].replica != NULL
        && hs_replica_is_leader (world->hosts[i].replica)
        && hs_replica_confirmed_round (world->hosts[i].replica) > 0)
      leader = &world->hosts[i];
  if (leader == NULL)
    world->report.no_leader++;
  else if (leader->value < world->acknowledged)
    world->report.lost_writes++;
}

/* Public definitions.  */

const char *
group_fault_name (enum group_fault fault)
{
  return names[fault];
}

struct group_report
group_simulate (uint64_t seed, const struct group_scheduled_fault *faults,
                size_t len)
{
  struct world world = { .root = talloc_new (NULL),
                         .random = seed * 2 + 1,
                         .faults = faults,
                         .faults_len = len,
                         .hosts_len = GROUP_HOSTS };

  hs_list_init (&world.events);
  for (size_t i = 0; i < HOSTS_MAX; i++)
    {
      struct host *host = &world.hosts[i];

      host->world = &world;
      host->number = i;
      host->self.inner = hs_addr_from_ipv4 (0x0a000001 + (uint32_t)i, 7000);
      host->self.api = hs_addr_from_ipv4 (0x0a000001 + (uint32_t)i, 8000);
      hs_list_init (&host->durable);
      hs_list_init (&host->unsynced);
    }
  for (size_t i = 0; i < SEEDS; i++)
    {
      world.seeds.hosts[i] = world.hosts[i].self;
      world.seeds.hosts[i].id = 100 + i;
    }
  world.seeds.len = SEEDS;
  for (size_t i = 0; i < GROUP_HOSTS; i++)
    start_host (&world.hosts[i], true);
  add_event (&world, 0, EVENT_CHANGE, 0);
  while (!hs_list_is_empty (&world.events) && world.now < END_MS)
    {
      HS_AUTO_TALLOC struct event *event
          = HS_LIST_ENTRY (hs_list_pop (&world.events), struct event, link);

      world.now = event->at;
      handle (&world, event);
    }
  check_end (&world);
  talloc_free (world.root);
  return world.report;
}

bool
group_report_passed (const struct group_report *report)
{
  return report->two_leaders == 0 && report->conflicting_entries == 0
         && report->lost_writes == 0 && report->stale_reads == 0
         && report->state_regressions == 0 && report->no_leader == 0
         && report->acknowledged > 0;
}
