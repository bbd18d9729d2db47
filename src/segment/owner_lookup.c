/* owner_lookup.c -- how an entry finds the agent that holds a flow.

   The flow's home is asked first, the first agent in its ranking, which
   entries tell of flows that stay; then the agents of the own availability
   zone, and last all.  The load answered here is the flows of an entry that
   has stopped, which come to the others all at once, and after a loss of
   power those of everybody, which nobody holds any more: a question is small,
   and the link bounds their number.  */

#include "segment/forwarder_state.h"

#include <talloc.h>

/* Types.  */

/* Until agents that have not answered are asked again, the first time; it
   doubles.  A round trip between availability zones takes 3 ms.  */
#define ASK_AGAIN_MS 50

/* Times that a flow is asked for, until its caller sends a segment again.  */
#define ASK_ROUNDS 5

/* How long the word of all agents that they do not hold a flow is taken. */
#define LOST_MS 1500

/* Private functions.  */

static size_t ask_round (struct hs_forwarder *steering,
                         struct hs_forwarder_flow *flow, uint64_t now);
static size_t collect (struct hs_forwarder *steering,
                       const struct hs_forwarder_flow *flow,
                       const struct hs_pool_agent **wanted, uint64_t now);
static void widen (struct hs_forwarder *steering,
                   struct hs_forwarder_flow *flow, uint64_t now);
static void set_asked_service (const struct hs_forwarder *steering,
                               struct hs_forwarder_flow *flow);
static const struct hs_pool_agent *
home_of (const struct hs_forwarder_flow *flow,
         const struct hs_pool_agent **backends, size_t len);
static bool is_in_scope (enum scope scope, const struct hs_pool_agent *backend,
                         const struct hs_pool_agent *home);
static struct hs_segment segment_of (const struct hs_forwarder_flow *flow);
static bool is_denied_by (const struct hs_forwarder_flow *flow, uint64_t slot);
static bool is_denied_by_all (const struct hs_forwarder *steering,
                              const struct hs_forwarder_flow *flow,
                              enum scope scope, uint64_t now);

/* Public definitions.  */

void
hs_forwarder_handle_owned (struct hs_forwarder *steering,
                           const struct hs_segment_key *key, uint64_t slot,
                           uint64_t now)
{
  struct hs_forwarder_flow *flow
      = hs_forwarder_find_or_add_flow (steering, key, now);
  const struct hs_pool_agent *backend
      = hs_agent_pool_find (steering->pool, slot);

  flow->owner_id = slot;
  flow->is_unowned = false;
  if (!flow->is_looked_up || backend == NULL)
    return;
  hs_owner_lookup_stop (flow);
  if (flow->scope != SCOPE_HOME)
    hs_owner_lookup_record_owner (steering, flow, now);
  flow->is_recorded = true;
  steering->ops.send_pending (steering->ctx, key, backend, false);
}

void
hs_forwarder_handle_not_owned (struct hs_forwarder *steering,
                               const struct hs_segment_key *key, uint64_t slot,
                               uint64_t now)
{
  struct hs_forwarder_flow *flow = hs_flow_table_find (steering->flows, key);

  if (flow == NULL)
    return;
  hs_forwarder_remove_syn_agent (flow, slot);
  if (flow->owner_id == slot)
    flow->owner_id = 0;
  if (flow->owner_id != 0 || flow->syn_agent_ids_len > 0)
    return;
  if (!is_denied_by (flow, slot)
      && flow->non_owner_ids_len < HS_LOOKUP_AGENTS_MAX)
    {
      flow->non_owner_ids = talloc_realloc (
          flow, flow->non_owner_ids, uint64_t, flow->non_owner_ids_len + 1);
      flow->non_owner_ids[flow->non_owner_ids_len++] = slot;
    }
  if (flow->is_looked_up && flow->scope != SCOPE_ALL
      && (slot == flow->recorded_owner_id
          || is_denied_by_all (steering, flow, flow->scope, now)))
    widen (steering, flow, now);
  if (steering->pool_complete)
    hs_owner_lookup_reset_if_unowned (steering, flow, now);
}

void
hs_forwarder_handle_unknown (struct hs_forwarder *steering,
                             const struct hs_segment_key *key, uint64_t slot,
                             uint64_t now)
{
  struct hs_forwarder_flow *flow = hs_flow_table_find (steering->flows, key);
  const struct hs_pool_agent *backend
      = hs_agent_pool_find (steering->pool, slot);

  if (flow == NULL || !flow->is_looked_up)
    return;
  if (backend != NULL)
    steering->ops.send_pending (steering->ctx, key, backend, true);
  if (flow->scope == SCOPE_HOME)
    widen (steering, flow, now);
}

/* The holder says itself whether it is one.  */
void
hs_forwarder_handle_recorded (struct hs_forwarder *steering,
                              const struct hs_segment_key *key, uint64_t slot,
                              uint64_t now)
{
  struct hs_forwarder_flow *flow = hs_flow_table_find (steering->flows, key);
  const struct hs_pool_agent *backend
      = hs_agent_pool_find (steering->pool, slot);

  if (flow == NULL || !flow->is_looked_up || flow->recorded_owner_id == slot)
    return;
  if (backend == NULL || is_denied_by (flow, slot))
    {
      if (flow->scope == SCOPE_HOME)
        widen (steering, flow, now);
      return;
    }
  flow->recorded_owner_id = slot;
  steering->ops.send_pending (steering->ctx, key, backend, true);
}

/* While agents are asked, SEGMENT waits with those before it.  */
struct hs_forward_decision
hs_owner_lookup_queue_segment (struct hs_forwarder *steering,
                               struct hs_forwarder_flow *flow,
                               const struct hs_segment *segment, uint64_t now)
{
  struct hs_forward_decision steer
      = hs_forward_decision_without_agents (HS_FORWARD_QUEUE, HS_REASON_NONE);

  flow->caller_seq = segment->seq;
  if ((segment->flags & HS_SEGMENT_ACK) != 0)
    flow->caller_ack = segment->ack;
  if (flow->is_looked_up)
    return steer;
  if (flow->is_unowned && now - flow->unowned_at < LOST_MS)
    return hs_forward_decision_without_agents (HS_FORWARD_RESET,
                                               HS_REASON_WRONG_HOST);
  set_asked_service (steering, flow);
  flow->owner_id = 0;
  flow->syn_agent_ids_len = 0;
  flow->non_owner_ids_len = 0;
  flow->scope = SCOPE_HOME;
  flow->recorded_owner_id = 0;
  flow->rounds = 0;
  steer.queried_agents = ask_round (steering, flow, now);
  if (steer.queried_agents == 0)
    return hs_forward_decision_without_agents (HS_FORWARD_DROP,
                                               HS_REASON_NO_UPSTREAM);
  flow->is_looked_up = true;
  hs_list_append (&steering->lookups, &flow->lookup_link);
  return steer;
}

void
hs_owner_lookup_record_owner (struct hs_forwarder *steering,
                              struct hs_forwarder_flow *flow, uint64_t now)
{
  const struct hs_pool_agent *backends[HS_LOOKUP_AGENTS_MAX];
  const struct hs_pool_agent *home;
  size_t len;

  flow->is_recorded = true;
  set_asked_service (steering, flow);
  len = hs_agent_pool_possible_owners (steering->pool, flow->lookup_service_id,
                                       backends, HS_LOOKUP_AGENTS_MAX, now);
  home = home_of (flow, backends, len);
  if (home != NULL && home->report.agent_id != flow->owner_id)
    steering->ops.record_owner (steering->ctx, home, &flow->base.key,
                                flow->owner_id);
}

void
hs_owner_lookup_stop (struct hs_forwarder_flow *flow)
{
  if (!flow->is_looked_up)
    return;
  flow->is_looked_up = false;
  hs_list_remove (&flow->lookup_link);
}

/* A flow that was reset is asked for anew if its caller goes on.  */
void
hs_owner_lookup_reset_if_unowned (struct hs_forwarder *steering,
                                  struct hs_forwarder_flow *flow, uint64_t now)
{
  struct hs_segment segment = segment_of (flow);

  if (flow->non_owner_ids_len == 0 || flow->owner_id != 0
      || flow->syn_agent_ids_len > 0
      || !is_denied_by_all (steering, flow, SCOPE_ALL, now))
    return;
  flow->non_owner_ids_len = 0;
  flow->is_unowned = true;
  flow->unowned_at = now;
  hs_owner_lookup_stop (flow);
  steering->ops.reset_caller (steering->ctx, &segment);
}

void
hs_owner_lookup_tick (struct hs_forwarder *steering, uint64_t now)
{
  HS_LIST_FOREACH (link, &steering->lookups)
    {
      struct hs_forwarder_flow *flow
          = HS_LIST_ENTRY (link, struct hs_forwarder_flow, lookup_link);
      uint64_t wait_ms = flow->rounds > 0
                             ? (uint64_t)ASK_AGAIN_MS << (flow->rounds - 1)
                             : 0;

      if (now - flow->queried_at < wait_ms)
        continue;
      if (flow->rounds < ASK_ROUNDS)
        widen (steering, flow, now);
      else
        hs_owner_lookup_stop (flow);
    }
}

/* Private definitions.  */

/* Asks those of the narrowest scope in which anybody is left to ask, as far
   as the link takes questions; returns how many there are.  */
static size_t
ask_round (struct hs_forwarder *steering, struct hs_forwarder_flow *flow,
           uint64_t now)
{
  const struct hs_pool_agent *wanted[HS_LOOKUP_AGENTS_MAX];
  size_t len = collect (steering, flow, wanted, now);
  struct hs_segment segment = segment_of (flow);

  while (len == 0 && flow->scope != SCOPE_ALL)
    {
      flow->scope++;
      len = collect (steering, flow, wanted, now);
    }
  flow->queried_at = now;
  if (!hs_uplink_take_query_tokens (steering->uplink, len, now))
    return len;
  flow->rounds++;
  for (size_t i = 0; i < len; i++)
    steering->ops.query_owner (steering->ctx, wanted[i], &segment);
  return len;
}

/* Those in scope that have not denied it.  */
static size_t
collect (struct hs_forwarder *steering, const struct hs_forwarder_flow *flow,
         const struct hs_pool_agent **wanted, uint64_t now)
{
  const struct hs_pool_agent *backends[HS_LOOKUP_AGENTS_MAX];
  size_t len
      = hs_agent_pool_possible_owners (steering->pool, flow->lookup_service_id,
                                       backends, HS_LOOKUP_AGENTS_MAX, now);
  const struct hs_pool_agent *home = home_of (flow, backends, len);
  size_t wanted_len = 0;

  for (size_t i = 0; i < len; i++)
    if (is_in_scope (flow->scope, backends[i], home)
        && !is_denied_by (flow, backends[i]->report.agent_id))
      wanted[wanted_len++] = backends[i];
  return wanted_len;
}

/* Those asked do not know, or a question or its answer was lost.  */
static void
widen (struct hs_forwarder *steering, struct hs_forwarder_flow *flow,
       uint64_t now)
{
  if (flow->scope != SCOPE_ALL)
    flow->scope++;
  ask_round (steering, flow, now);
}

/* The route may have been moved or dropped since the flow was opened.  */
static void
set_asked_service (const struct hs_forwarder *steering,
                   struct hs_forwarder_flow *flow)
{
  const struct hs_routing_rule *rule
      = steering->routing != NULL
            ? hs_routing_find (steering->routing, &flow->base.key.address)
            : NULL;

  flow->lookup_service_id
      = rule != NULL && rule->splits_len == 1 ? rule->splits[0].service_id : 0;
}

/* The same at every entry that knows the same agents.  */
static const struct hs_pool_agent *
home_of (const struct hs_forwarder_flow *flow,
         const struct hs_pool_agent **backends, size_t len)
{
  const struct hs_pool_agent *home = NULL;
  uint64_t best = 0;

  for (size_t i = 0; i < len; i++)
    {
      uint64_t score = hs_rendezvous_score (flow->base.node.hash,
                                            backends[i]->report.agent_id);

      if (home != NULL && score <= best)
        continue;
      home = backends[i];
      best = score;
    }
  return home;
}

static bool
is_in_scope (enum scope scope, const struct hs_pool_agent *backend,
             const struct hs_pool_agent *home)
{
  switch (scope)
    {
    case SCOPE_HOME:
      return backend == home;
    case SCOPE_ZONE:
      return backend->is_same_zone;
    case SCOPE_ALL:
      break;
    }
  return true;
}

/* What the caller of FLOW sent last, without payload.  */
static struct hs_segment
segment_of (const struct hs_forwarder_flow *flow)
{
  return (struct hs_segment){ .from = flow->base.key.caller,
                              .to = flow->base.key.address,
                              .flags = HS_SEGMENT_ACK,
                              .seq = flow->caller_seq,
                              .ack = flow->caller_ack };
}

static bool
is_denied_by (const struct hs_forwarder_flow *flow, uint64_t slot)
{
  for (size_t i = 0; i < flow->non_owner_ids_len; i++)
    if (flow->non_owner_ids[i] == slot)
      return true;
  return false;
}

/* By all in SCOPE.  An agent that is not heard of at present may hold the
   flow.  */
static bool
is_denied_by_all (const struct hs_forwarder *steering,
                  const struct hs_forwarder_flow *flow, enum scope scope,
                  uint64_t now)
{
  const struct hs_pool_agent *backends[HS_LOOKUP_AGENTS_MAX];
  size_t len
      = hs_agent_pool_possible_owners (steering->pool, flow->lookup_service_id,
                                       backends, HS_LOOKUP_AGENTS_MAX, now);
  const struct hs_pool_agent *home = home_of (flow, backends, len);

  for (size_t i = 0; i < len; i++)
    if (is_in_scope (scope, backends[i], home)
        && !is_denied_by (flow, backends[i]->report.agent_id))
      return false;
  return len > 0 && len < HS_LOOKUP_AGENTS_MAX;
}
