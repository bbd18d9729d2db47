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
   and knows an agent (entries) or a control host has replied (agents).  */
#define STARTUP_HEARTBEATS_PER_ROUND 3
#define STARTUP_ROUND_MS 100

/* Maximum number of chunks requested at once.  */
#define CHUNK_REQUESTS_MAX 8

/* Rounds without a chunk after which a fetch is dropped.  */
#define FETCH_IDLE_ROUNDS_MAX 2

/* An agent that no control host has listed for this long is removed.  The
   period is longer than a control host needs after its start to receive a
   heartbeat from every agent.  */
#define AGENT_EXPIRY_MS 12000

/* The whole list of agents is requested if its digest has differed for
   LIST_MISMATCH_MS, as a new agent takes a while to reach all control hosts;
   again after LIST_REQUEST_INTERVAL_MS, or LIST_REQUEST_STARTUP_MS while the
   node has been up for less than LIST_STARTUP_MS.  */
#define LIST_MISMATCH_MS 500
#define LIST_REQUEST_INTERVAL_MS 2000
#define LIST_REQUEST_STARTUP_MS 300
#define LIST_STARTUP_MS 5000

/* The group is lost once no control host has replied for this long.  */
#define GROUP_LOST_TIMEOUT_MS 3000

#define TARGETS_MAX (HS_SETTINGS_ADDRS_MAX + HS_INNER_ADDRS_MAX)
#define CONFIGURATION_SIZE_MAX 1048576 /* Bytes, encoded.  */

struct listed_agent
{
  struct hs_table_node node; /* By address.  */
  struct hs_list link;
  struct hs_addr address;
  uint64_t last_listed_at; /* ms.  */
};

/* A configuration that is being fetched in chunks.  */
struct fetch
{
  struct hs_addr from;
  uint64_t generation;      /* 0: no fetch in progress.  */
  uint64_t base_generation; /* What the fetched patch applies to; 0: the whole
                               configuration is fetched.  */
  uint32_t total_len;       /* Bytes; 0: no chunk received yet.  */
  uint32_t requested_len;   /* Chunks below this offset were requested.  */
  uint32_t missing_chunks;
  uint32_t idle_rounds; /* Since the last chunk.  */
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
  struct hs_table *agents_by_address; /* struct listed_agent.  */
  struct hs_list agents;
  struct hs_follower_agents agent_addrs; /* Their addresses.  */
  uint64_t agents_digest;     /* XOR of hs_addr_hash of the addresses.  */
  uint64_t all_listed_at;     /* ms, when a control host last had the same
                                 digest.  */
  uint64_t mismatch_since;    /* ms; 0: it is the same.  */
  uint64_t list_requested_at; /* ms.  */
  uint64_t first_tick_at;     /* ms; 0: not yet.  */
  struct hs_evacuations evacuations;
  struct fetch fetch;
  bool needs_whole; /* The last patch could not be applied: fetch the whole
                       configuration.  */
};

/* Private functions.  */

static bool is_starting (const struct hs_follower *follower);
static size_t heartbeats_per_round (const struct hs_follower *follower);
static void send_heartbeat (struct hs_follower *follower, uint64_t now);
static size_t collect_targets (const struct hs_follower *follower,
                               struct hs_addr *targets);
static void handle_status (struct hs_follower *follower,
                           const struct hs_addr *from,
                           const struct hs_inner_status *status, uint64_t now);
static void handle_agents (struct hs_follower *follower,
                           const struct hs_inner_status *status, uint64_t now);
static bool wants_agents (const struct hs_follower *follower, uint64_t now);
static bool add_or_refresh_agent (struct hs_follower *follower,
                                  const struct hs_addr *address, uint64_t now);
static bool expire_agents (struct hs_follower *follower, uint64_t now);
static void update_agent_addrs (struct hs_follower *follower);
static bool match_address (const struct hs_table_node *node, const void *key);
static void start_fetch (struct hs_follower *follower,
                         const struct hs_addr *from, uint64_t generation);
static void request_chunks (struct hs_follower *follower);
static void request_chunk (struct hs_follower *follower, uint32_t offset);
static void request_missing_chunks (struct hs_follower *follower);
static void handle_chunk (struct hs_follower *follower,
                          const struct hs_addr *from,
                          const struct hs_inner_chunk *chunk);
static void reset_fetch (struct hs_follower *follower);
static uint32_t chunk_count (uint32_t total_len);
static uint32_t chunk_len (uint32_t total_len, uint32_t offset);

/* Public definitions.  */

struct hs_follower *
hs_follower_create (void *parent, const struct hs_inner_heartbeat *self,
                    const struct hs_follower_ops *ops, void *ctx)
{
  struct hs_follower *follower = talloc_zero (parent, struct hs_follower);

  follower->self = *self;
  follower->ops = *ops;
  follower->ctx = ctx;
  follower->agents_by_address = hs_table_create (follower);
  hs_list_init (&follower->agents);
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
  else if (inner->type == HS_INNER_EVACUATIONS
           && hs_evacuations_update (&follower->evacuations,
                                     &inner->evacuations))
    {
      follower->self.evacuation_revision = follower->evacuations.revision;
      follower->ops.evacuations_changed (follower->ctx,
                                         &follower->evacuations);
    }
}

void
hs_follower_tick (struct hs_follower *follower, uint64_t now)
{
  bool lost = follower->last_heard_at != 0
              && now - follower->last_heard_at > GROUP_LOST_TIMEOUT_MS;

  if (follower->first_tick_at == 0)
    follower->first_tick_at = now;
  if (now < follower->next_round_at)
    return;
  follower->next_round_at
      = now + (is_starting (follower) ? STARTUP_ROUND_MS : ROUND_MS);
  for (size_t i = heartbeats_per_round (follower); i > 0; i--)
    send_heartbeat (follower, now);
  if (follower->fetch.generation != 0)
    request_missing_chunks (follower);
  /* While no control host replies, no list refreshes the agents: keep them
     all.  */
  if (!lost && expire_agents (follower, now))
    {
      update_agent_addrs (follower);
      follower->ops.agents_changed (follower->ctx);
    }
  if (lost != follower->group_lost)
    {
      follower->group_lost = lost;
      follower->ops.group_lost_changed (follower->ctx, lost);
    }
}

void
hs_follower_set_generation (struct hs_follower *follower, uint64_t generation)
{
  follower->self.configuration_generation = generation;
}

const struct hs_follower_agents *
hs_follower_agents (const struct hs_follower *follower)
{
  return &follower->agent_addrs;
}

/* Private definitions.  */

static bool
is_starting (const struct hs_follower *follower)
{
  return follower->self.role == HS_ROLE_ENTRY
             ? follower->self.configuration_generation == 0
                   || hs_list_is_empty (&follower->agents)
             : follower->last_heard_at == 0;
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
send_heartbeat (struct hs_follower *follower, uint64_t now)
{
  struct hs_addr targets[TARGETS_MAX];
  size_t len = collect_targets (follower, targets);
  struct hs_inner message
      = { .type = HS_INNER_HEARTBEAT, .heartbeat = follower->self };

  message.heartbeat.wants_agents = wants_agents (follower, now);
  if (message.heartbeat.wants_agents)
    follower->list_requested_at = now;
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
  /* Agents need no configuration, and no list of agents.  */
  if (follower->self.role != HS_ROLE_ENTRY)
    return;
  handle_agents (follower, status, now);
  if (status->configuration_generation
          > follower->self.configuration_generation
      && status->configuration_generation > follower->fetch.generation)
    start_fetch (follower, from, status->configuration_generation);
}

/* STATUS lists all agents, some, or none.  Agents that it does not list stay:
   a control host that has just started knows only the few agents that have
   sent it a heartbeat.  */
static void
handle_agents (struct hs_follower *follower,
               const struct hs_inner_status *status, uint64_t now)
{
  bool changed = false;

  for (size_t i = 0; i < status->agents.len; i++)
    changed |= add_or_refresh_agent (follower, &status->agents.values[i], now);
  if (status->agents_digest == follower->agents_digest)
    {
      follower->all_listed_at = now;
      follower->mismatch_since = 0;
    }
  else if (follower->mismatch_since == 0)
    follower->mismatch_since = now;
  if (!changed)
    return;
  update_agent_addrs (follower);
  follower->ops.agents_changed (follower->ctx);
}

static bool
wants_agents (const struct hs_follower *follower, uint64_t now)
{
  uint64_t interval_ms = now - follower->first_tick_at < LIST_STARTUP_MS
                             ? LIST_REQUEST_STARTUP_MS
                             : LIST_REQUEST_INTERVAL_MS;

  if (follower->self.role != HS_ROLE_ENTRY)
    return false;
  return hs_list_is_empty (&follower->agents)
         || (follower->mismatch_since != 0
             && now - follower->mismatch_since >= LIST_MISMATCH_MS
             && now - follower->list_requested_at >= interval_ms);
}

/* Returns whether the agent at ADDRESS is new.  */
static bool
add_or_refresh_agent (struct hs_follower *follower,
                      const struct hs_addr *address, uint64_t now)
{
  uint64_t hash = hs_addr_hash (address);
  struct hs_table_node *node = hs_table_find (follower->agents_by_address,
                                              hash, match_address, address);
  struct listed_agent *agent
      = node != NULL ? HS_LIST_ENTRY (node, struct listed_agent, node) : NULL;

  if (agent == NULL
      && hs_table_len (follower->agents_by_address) >= HS_FOLLOWER_AGENTS_MAX)
    return false;
  if (agent == NULL)
    {
      agent = talloc_zero (follower, struct listed_agent);
      agent->address = *address;
      hs_table_insert (follower->agents_by_address, &agent->node, hash);
      hs_list_append (&follower->agents, &agent->link);
      follower->agents_digest ^= hash;
    }
  agent->last_listed_at = now;
  return node == NULL;
}

/* Returns whether an agent was removed.  */
static bool
expire_agents (struct hs_follower *follower, uint64_t now)
{
  bool removed = false;

  HS_LIST_FOREACH (link, &follower->agents)
    {
      struct listed_agent *agent
          = HS_LIST_ENTRY (link, struct listed_agent, link);

      if (now - agent->last_listed_at <= AGENT_EXPIRY_MS
          || now - follower->all_listed_at <= AGENT_EXPIRY_MS)
        continue;
      follower->agents_digest ^= hs_addr_hash (&agent->address);
      hs_table_remove (follower->agents_by_address, &agent->node);
      hs_list_remove (link);
      talloc_free (agent);
      removed = true;
    }
  return removed;
}

static void
update_agent_addrs (struct hs_follower *follower)
{
  struct hs_follower_agents *addrs = &follower->agent_addrs;

  addrs->len = 0;
  addrs->values = talloc_realloc (follower, addrs->values, struct hs_addr,
                                  hs_table_len (follower->agents_by_address));
  HS_LIST_FOREACH (link, &follower->agents)
    addrs->values[addrs->len++]
        = HS_LIST_ENTRY (link, struct listed_agent, link)->address;
}

static bool
match_address (const struct hs_table_node *node, const void *key)
{
  return hs_addr_equal (
      &HS_LIST_ENTRY (node, struct listed_agent, node)->address, key);
}

static void
start_fetch (struct hs_follower *follower, const struct hs_addr *from,
             uint64_t generation)
{
  reset_fetch (follower);
  follower->fetch.from = *from;
  follower->fetch.generation = generation;
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

  message.chunk.generation = follower->fetch.generation;
  message.chunk.base_generation
      = follower->needs_whole ? 0 : follower->self.configuration_generation;
  message.chunk.offset = offset;
  follower->ops.send (follower->ctx, &follower->fetch.from, &message);
}

/* Called once a round.  Chunks may be lost, and the host that serves them
   may fail.  If no chunk has arrived yet, or none for a while, the fetch is
   dropped, so that the next status of any host starts a new one; otherwise
   missing chunks are requested again.  */
static void
request_missing_chunks (struct hs_follower *follower)
{
  struct fetch *fetch = &follower->fetch;
  uint32_t requests = 0;

  if (fetch->total_len == 0 || fetch->idle_rounds++ >= FETCH_IDLE_ROUNDS_MAX)
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

  if (fetch->generation == 0 || !hs_addr_equal (from, &fetch->from)
      || chunk->generation < fetch->generation
      || chunk->total_len > CONFIGURATION_SIZE_MAX)
    return;
  if (chunk->total_len == 0)
    {
      reset_fetch (follower);
      return;
    }
  /* The host now has a later generation, or no longer has the patch for this
     node's.  Chunks of the two must not be mixed: start over.  */
  if (fetch->total_len != 0
      && (chunk->generation > fetch->generation
          || chunk->base_generation != fetch->base_generation))
    {
      start_fetch (follower, from, chunk->generation);
      return;
    }
  if (fetch->total_len == 0)
    {
      fetch->generation = chunk->generation;
      fetch->base_generation = chunk->base_generation;
      fetch->total_len = chunk->total_len;
      fetch->missing_chunks = chunk_count (chunk->total_len);
      fetch->bytes = talloc_array (follower, uint8_t, chunk->total_len);
      fetch->chunk_received
          = talloc_zero_array (follower, bool, fetch->missing_chunks);
    }
  if (chunk->total_len != fetch->total_len
      || chunk->offset % HS_INNER_CHUNK_SIZE_MAX != 0
      || chunk->offset >= fetch->total_len
      || chunk->len != chunk_len (fetch->total_len, chunk->offset)
      || fetch->chunk_received[index])
    return;
  fetch->idle_rounds = 0;
  memcpy (fetch->bytes + chunk->offset, chunk->bytes, chunk->len);
  fetch->chunk_received[index] = true;
  fetch->missing_chunks--;
  if (fetch->missing_chunks > 0)
    {
      request_chunks (follower);
      return;
    }
  follower->needs_whole = !follower->ops.apply_configuration (
      follower->ctx, fetch->base_generation, fetch->bytes, fetch->total_len);
  reset_fetch (follower);
}

static void
reset_fetch (struct hs_follower *follower)
{
  talloc_free (follower->fetch.bytes);
  talloc_free (follower->fetch.chunk_received);
  follower->fetch = (struct fetch){ .generation = 0 };
}

static uint32_t
chunk_count (uint32_t total_len)
{
  return (total_len + HS_INNER_CHUNK_SIZE_MAX - 1) / HS_INNER_CHUNK_SIZE_MAX;
}

/* Returns the length of the chunk at OFFSET, which is below TOTAL_LEN.  */
static uint32_t
chunk_len (uint32_t total_len, uint32_t offset)
{
  uint32_t left = total_len - offset;

  return left < HS_INNER_CHUNK_SIZE_MAX ? left : HS_INNER_CHUNK_SIZE_MAX;
}
