/* follower.c -- how an entry or an agent follows the control group.  */

#include "daemon/follower.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Minimum number of heartbeats in a round, and number of rounds within which
   every control host is sent one.  These rounds take 1.5 s, which must be
   shorter than the time that an entry waits after its start before it regards
   its agent pool as complete.  */
#define MIN_HEARTBEATS_PER_ROUND 2
#define ROUNDS_TO_REACH_ALL 3
#define ROUND_MS 500

/* Heartbeats in a round, and its length, until the node has a configuration
   (entries) or knows an entry (agents).  */
#define STARTUP_HEARTBEATS_PER_ROUND 3
#define STARTUP_ROUND_MS 100

/* Maximum number of chunks requested at once.  */
#define CHUNK_REQUESTS_MAX 8

/* An entry that no control host has listed for this long is removed.  The
   period is longer than a control host needs after its start to receive a
   heartbeat from every entry.  */
#define ENTRY_EXPIRY_MS 12000

/* The group is lost once no control host has replied for this long.  */
#define GROUP_LOST_TIMEOUT_MS 3000

#define TARGETS_MAX (HS_SETTINGS_ADDRS_MAX + HS_INNER_ADDRS_MAX)
#define CONFIGURATION_SIZE_MAX 1048576 /* Bytes, encoded.  */

struct entry_record
{
  struct hs_addr address;
  uint64_t last_listed_at; /* ms.  */
  uint64_t entries_digest; /* Digest of the latest list with this entry.  */
};

/* A configuration that is being fetched in chunks.  */
struct fetch
{
  struct hs_addr from;
  uint64_t version;       /* 0: no fetch in progress.  */
  uint64_t base_version;  /* Version that the fetched patch applies to; 0: the
                             whole configuration is fetched.  */
  uint32_t total_len;     /* Bytes; 0: no chunk received yet.  */
  uint32_t requested_len; /* Chunks below this offset were requested.  */
  uint32_t missing_chunks;
  uint8_t *bytes;
  bool *chunk_received; /* Indexed by chunk number.  */
};

struct hs_follower
{
  struct hs_inner_heartbeat self;
  struct hs_follower_ops ops;
  void *ctx;
  size_t seeds_len;
  struct hs_addr seeds[HS_SETTINGS_ADDRS_MAX];
  struct hs_inner_addrs control_hosts; /* From status replies.  */
  size_t next_target;
  uint64_t next_round_at; /* ms.  */
  uint64_t last_heard_at; /* ms, of a status reply; 0: never.  */
  bool group_lost;
  size_t entry_records_len;
  struct entry_record entry_records[HS_FOLLOWER_ENTRIES_MAX];
  struct hs_follower_entries entry_addrs; /* Addresses in entry_records.  */
  struct fetch fetch;
  bool needs_whole; /* The last patch could not be applied: fetch the whole
                       configuration.  */
};

/* Private functions.  */

static bool is_starting (const struct hs_follower *follower);
static size_t heartbeats_per_round (const struct hs_follower *follower);
static void send_heartbeat (struct hs_follower *follower);
static size_t collect_targets (const struct hs_follower *follower,
                               struct hs_addr *targets);
static void handle_status (struct hs_follower *follower,
                           const struct hs_addr *from,
                           const struct hs_inner_status *status, uint64_t now);
static void handle_entries (struct hs_follower *follower,
                            const struct hs_inner_status *status,
                            uint64_t now);
static bool update_entry (struct hs_follower *follower,
                          const struct hs_addr *address,
                          uint64_t entries_digest, uint64_t now);
static size_t count_entries_with_digest (const struct hs_follower *follower,
                                         uint64_t entries_digest);
static void expire_entries (struct hs_follower *follower, uint64_t now);
static void start_fetch (struct hs_follower *follower,
                         const struct hs_addr *from, uint64_t version);
static void request_chunks (struct hs_follower *follower);
static void request_chunk (struct hs_follower *follower, uint32_t offset);
static void request_missing_chunks (struct hs_follower *follower);
static void handle_chunk (struct hs_follower *follower,
                          const struct hs_addr *from,
                          const struct hs_inner_chunk *chunk);
static void reset_fetch (struct hs_follower *follower);
static uint32_t chunk_count (uint32_t total_len);

/* Public definitions.  */

struct hs_follower *
hs_follower_create (void *parent, const struct hs_inner_heartbeat *self,
                    const struct hs_follower_ops *ops, void *ctx)
{
  struct hs_follower *follower = talloc_zero (parent, struct hs_follower);

  follower->self = *self;
  follower->ops = *ops;
  follower->ctx = ctx;
  return follower;
}

void
hs_follower_destroy (struct hs_follower *follower)
{
  talloc_free (follower);
}

void
hs_follower_set_seeds (struct hs_follower *follower,
                       const struct hs_addrs *seeds, uint16_t port)
{
  follower->seeds_len = seeds->len;
  for (size_t i = 0; i < seeds->len; i++)
    {
      follower->seeds[i] = seeds->values[i];
      follower->seeds[i].port = port;
    }
}

void
hs_follower_receive (struct hs_follower *follower, const struct hs_addr *from,
                     const struct hs_inner *inner, uint64_t now)
{
  if (inner->type == HS_INNER_STATUS)
    handle_status (follower, from, &inner->status, now);
  else if (inner->type == HS_INNER_CHUNK)
    handle_chunk (follower, from, &inner->chunk);
}

void
hs_follower_tick (struct hs_follower *follower, uint64_t now)
{
  bool lost = follower->last_heard_at != 0
              && now - follower->last_heard_at > GROUP_LOST_TIMEOUT_MS;

  if (now < follower->next_round_at)
    return;
  follower->next_round_at
      = now + (is_starting (follower) ? STARTUP_ROUND_MS : ROUND_MS);
  for (size_t i = heartbeats_per_round (follower); i > 0; i--)
    send_heartbeat (follower);
  if (follower->fetch.version != 0)
    request_missing_chunks (follower);
  /* While no control host replies, no list refreshes the entries: keep them
     all.  */
  if (!lost)
    expire_entries (follower, now);
  if (lost != follower->group_lost)
    {
      follower->group_lost = lost;
      follower->ops.group_lost_changed (follower->ctx, lost);
    }
}

void
hs_follower_set_version (struct hs_follower *follower, uint64_t version)
{
  follower->self.configuration_version = version;
}

const struct hs_follower_entries *
hs_follower_entries (const struct hs_follower *follower)
{
  return &follower->entry_addrs;
}

/* Private definitions.  */

static bool
is_starting (const struct hs_follower *follower)
{
  return follower->self.role == HS_ROLE_ENTRY
             ? follower->self.configuration_version == 0
             : follower->entry_records_len == 0;
}

static size_t
heartbeats_per_round (const struct hs_follower *follower)
{
  size_t share = (follower->control_hosts.len + ROUNDS_TO_REACH_ALL - 1)
                 / ROUNDS_TO_REACH_ALL;

  if (is_starting (follower))
    return STARTUP_HEARTBEATS_PER_ROUND;
  return share > MIN_HEARTBEATS_PER_ROUND ? share : MIN_HEARTBEATS_PER_ROUND;
}

static void
send_heartbeat (struct hs_follower *follower)
{
  struct hs_addr targets[TARGETS_MAX];
  size_t len = collect_targets (follower, targets);
  struct hs_inner message
      = { .type = HS_INNER_HEARTBEAT, .heartbeat = follower->self };

  if (len > 0)
    follower->ops.send (follower->ctx, &targets[follower->next_target++ % len],
                        &message);
}

/* Fills TARGETS with the known control hosts and the seeds that are not among
   them.  Returns their number.  */
static size_t
collect_targets (const struct hs_follower *follower, struct hs_addr *targets)
{
  size_t len = follower->control_hosts.len;

  memcpy (targets, follower->control_hosts.values, len * sizeof *targets);
  for (size_t i = 0; i < follower->seeds_len; i++)
    {
      bool known = false;

      for (size_t k = 0; k < follower->control_hosts.len; k++)
        known = known || hs_addr_equal (&targets[k], &follower->seeds[i]);
      if (!known)
        targets[len++] = follower->seeds[i];
    }
  return len;
}

static void
handle_status (struct hs_follower *follower, const struct hs_addr *from,
               const struct hs_inner_status *status, uint64_t now)
{
  follower->last_heard_at = now;
  if (status->control_hosts.len > 0)
    follower->control_hosts = status->control_hosts;
  if (status->has_entries)
    handle_entries (follower, status, now);
  else if (status->entries_digest == follower->self.entries_digest)
    for (size_t i = 0; i < follower->entry_records_len; i++)
      follower->entry_records[i].last_listed_at = now;
  /* Agents need no configuration.  */
  if (follower->self.role == HS_ROLE_ENTRY
      && status->configuration_version > follower->self.configuration_version
      && status->configuration_version > follower->fetch.version)
    start_fetch (follower, from, status->configuration_version);
}

/* A list may take several messages.  Its digest is stored only once all
   have arrived; until then heartbeats carry the old digest, which requests the
   list again.  */
static void
handle_entries (struct hs_follower *follower,
                const struct hs_inner_status *status, uint64_t now)
{
  const struct hs_inner_addrs *entries = &status->entries;
  bool added = false;

  for (size_t i = 0; i < entries->len; i++)
    added |= update_entry (follower, &entries->values[i],
                           status->entries_digest, now);
  if (count_entries_with_digest (follower, status->entries_digest)
      >= status->entries_total)
    follower->self.entries_digest = status->entries_digest;
  expire_entries (follower, now);
  if (added)
    follower->ops.entries_added (follower->ctx);
}

/* Adds or refreshes the entry at ADDRESS.  Returns whether it is new.  */
static bool
update_entry (struct hs_follower *follower, const struct hs_addr *address,
              uint64_t entries_digest, uint64_t now)
{
  struct entry_record record = { *address, now, entries_digest };

  for (size_t i = 0; i < follower->entry_records_len; i++)
    if (hs_addr_equal (&follower->entry_records[i].address, address))
      {
        follower->entry_records[i] = record;
        return false;
      }
  if (follower->entry_records_len == HS_FOLLOWER_ENTRIES_MAX)
    return false;
  follower->entry_records[follower->entry_records_len++] = record;
  return true;
}

static size_t
count_entries_with_digest (const struct hs_follower *follower,
                           uint64_t entries_digest)
{
  size_t count = 0;

  for (size_t i = 0; i < follower->entry_records_len; i++)
    count += follower->entry_records[i].entries_digest == entries_digest;
  return count;
}

/* A control host that has just started lists only the few entries that have
   sent it a heartbeat, so an entry missing from a list stays until
   ENTRY_EXPIRY_MS after the last list with this entry.  */
static void
expire_entries (struct hs_follower *follower, uint64_t now)
{
  size_t len = 0;

  for (size_t i = 0; i < follower->entry_records_len; i++)
    if (now - follower->entry_records[i].last_listed_at <= ENTRY_EXPIRY_MS)
      follower->entry_records[len++] = follower->entry_records[i];
  follower->entry_records_len = len;
  follower->entry_addrs.len = len;
  for (size_t i = 0; i < len; i++)
    follower->entry_addrs.values[i] = follower->entry_records[i].address;
}

static void
start_fetch (struct hs_follower *follower, const struct hs_addr *from,
             uint64_t version)
{
  reset_fetch (follower);
  follower->fetch.from = *from;
  follower->fetch.version = version;
  request_chunk (follower, 0);
  follower->fetch.requested_len = HS_INNER_CHUNK_SIZE_MAX;
}

static void
request_chunks (struct hs_follower *follower)
{
  struct fetch *fetch = &follower->fetch;
  uint32_t requests = 0;

  while (fetch->requested_len < fetch->total_len
         && requests++ < CHUNK_REQUESTS_MAX)
    {
      request_chunk (follower, fetch->requested_len);
      fetch->requested_len += HS_INNER_CHUNK_SIZE_MAX;
    }
}

static void
request_chunk (struct hs_follower *follower, uint32_t offset)
{
  struct hs_inner message = { .type = HS_INNER_FETCH };

  message.chunk.version = follower->fetch.version;
  message.chunk.base_version
      = follower->needs_whole ? 0 : follower->self.configuration_version;
  message.chunk.offset = offset;
  follower->ops.send (follower->ctx, &follower->fetch.from, &message);
}

/* Called once a round.  Chunks may be lost, and the host that serves them
   may fail.  If no chunk has arrived yet, the fetch is dropped, so that the
   next status of any host starts a new one; otherwise missing chunks are
   requested again.  */
static void
request_missing_chunks (struct hs_follower *follower)
{
  struct fetch *fetch = &follower->fetch;
  uint32_t requests = 0;

  if (fetch->total_len == 0)
    {
      reset_fetch (follower);
      return;
    }
  for (uint32_t i = 0; i < chunk_count (fetch->total_len); i++)
    if (!fetch->chunk_received[i] && requests++ < CHUNK_REQUESTS_MAX)
      request_chunk (follower, i * HS_INNER_CHUNK_SIZE_MAX);
  /* From here on chunks are requested once a round, no longer on the arrival
     of others.  Drop the fetch if no chunk has been accepted.  */
  fetch->requested_len = fetch->total_len;
  if (fetch->missing_chunks == chunk_count (fetch->total_len))
    reset_fetch (follower);
}

static void
handle_chunk (struct hs_follower *follower, const struct hs_addr *from,
              const struct hs_inner_chunk *chunk)
{
  struct fetch *fetch = &follower->fetch;
  uint32_t index = chunk->offset / HS_INNER_CHUNK_SIZE_MAX;

  if (fetch->version == 0 || !hs_addr_equal (from, &fetch->from)
      || chunk->version < fetch->version
      || chunk->total_len > CONFIGURATION_SIZE_MAX)
    return;
  if (chunk->total_len == 0)
    {
      reset_fetch (follower);
      return;
    }
  /* The host now has a later version, or no longer has the patch for this
     node's version.  Chunks of the two must not be mixed: start over.  */
  if (fetch->total_len != 0
      && (chunk->version > fetch->version
          || chunk->base_version != fetch->base_version))
    {
      start_fetch (follower, from, chunk->version);
      return;
    }
  if (fetch->total_len == 0)
    {
      fetch->version = chunk->version;
      fetch->base_version = chunk->base_version;
      fetch->total_len = chunk->total_len;
      fetch->missing_chunks = chunk_count (chunk->total_len);
      fetch->bytes = talloc_array (follower, uint8_t, chunk->total_len);
      fetch->chunk_received
          = talloc_zero_array (follower, bool, fetch->missing_chunks);
    }
  if (chunk->total_len != fetch->total_len
      || chunk->offset % HS_INNER_CHUNK_SIZE_MAX != 0
      || chunk->offset + chunk->len > fetch->total_len
      || fetch->chunk_received[index])
    return;
  memcpy (fetch->bytes + chunk->offset, chunk->bytes, chunk->len);
  fetch->chunk_received[index] = true;
  fetch->missing_chunks--;
  if (fetch->missing_chunks > 0)
    {
      request_chunks (follower);
      return;
    }
  follower->needs_whole = !follower->ops.apply_configuration (
      follower->ctx, fetch->base_version, fetch->bytes, fetch->total_len);
  reset_fetch (follower);
}

static void
reset_fetch (struct hs_follower *follower)
{
  talloc_free (follower->fetch.bytes);
  talloc_free (follower->fetch.chunk_received);
  follower->fetch = (struct fetch){ .version = 0 };
}

static uint32_t
chunk_count (uint32_t total_len)
{
  return (total_len + HS_INNER_CHUNK_SIZE_MAX - 1) / HS_INNER_CHUNK_SIZE_MAX;
}
