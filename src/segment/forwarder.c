/* forwarder.c -- decides what an entry does with a segment of a caller.

   Only a SYN is placed on an agent by load.  Every other segment goes to the
   agent that owns its flow: the one that the flow was placed on or, if this
   entry has not seen the flow before, the one that an owner lookup finds
   (owner_lookup.c); the segment is queued until then.

   A retransmitted SYN may be sent to a second agent if the first does not seem
   to answer.  The agent whose handshake the caller has acknowledged then owns
   the flow: later segments go to all of these agents until one of them reports
   that it is the owner.  */

#include "segment/forwarder_state.h"

#include <talloc.h>

/* Types.  */

/* From this retransmission on, a SYN goes to another agent as well: by then,
   the SYN and its first retransmission have gone unanswered.  */
#define SYN_RETRANSMISSION_OTHER_AGENT 2

/* Age at which a flow's owner is reported to the directory: most flows have
   ended by then and need no directory entry.  */
#define RECORD_OWNER_AFTER_MS 500

/* Interval at which it is checked whether the directory agents of an active
   flow have changed.  */
#define RECORD_CHECK_INTERVAL_MS 1000

/* Private functions.  */

static struct hs_forward_decision route_syn (struct hs_forwarder *forwarder,
                                             const struct hs_segment *segment,
                                             uint64_t now);
static struct hs_forward_decision
route_syn_retransmission (struct hs_forwarder *forwarder,
                          struct hs_forwarder_flow *flow,
                          const struct hs_flow_demand *demand,
                          const struct hs_segment *segment, uint64_t now);
static uint64_t pick_service (const struct hs_routing_rule *rule,
                              const struct hs_forwarder_flow *flow,
                              uint32_t seq);
static void follow_route (struct hs_forwarder_flow *flow,
                          const struct hs_routing_rule *rule);
static struct hs_flow_demand demand_of (const struct hs_forwarder_flow *flow,
                                        const struct hs_routing_rule *rule);
static const struct hs_pool_agent *
find_last_syn_agent (const struct hs_forwarder *forwarder,
                     const struct hs_forwarder_flow *flow,
                     const struct hs_flow_demand *demand, uint64_t now);
static struct hs_forward_decision
place_flow (struct hs_forwarder *forwarder, struct hs_forwarder_flow *flow,
            const struct hs_flow_demand *demand, uint64_t now);
static struct hs_forward_decision
send_to_another_agent (struct hs_forwarder *forwarder,
                       struct hs_forwarder_flow *flow,
                       const struct hs_flow_demand *demand, uint64_t now);
static struct hs_forward_decision
forward_to_owner (struct hs_forwarder *forwarder,
                  struct hs_forwarder_flow *flow);
static struct hs_forward_decision
forward_to_syn_agents (struct hs_forwarder *forwarder,
                       const struct hs_forwarder_flow *flow);
static void on_flow_removed (void *ctx, struct hs_segment_flow *base);
static void on_pool_complete (void *ctx, struct hs_segment_flow *base);
static struct hs_forward_decision
forward_to_agent (const struct hs_pool_agent *agent, bool is_placement);
static struct hs_forward_decision forward_syn (
    const struct hs_forwarder *forwarder, const struct hs_forwarder_flow *flow,
    const struct hs_pool_agent *agent, bool is_placement, uint64_t now);
static uint32_t hold_max_ms (const struct hs_forwarder_flow *flow,
                             uint64_t now);
static struct hs_forward_decision
refuse_unplaced (const struct hs_forwarder *forwarder,
                 const struct hs_forwarder_flow *flow,
                 const struct hs_flow_demand *demand, uint64_t now);
static struct hs_forward_decision
refuse_flow (const struct hs_forwarder *forwarder,
             const struct hs_flow_demand *demand, enum hs_reason reason,
             uint64_t now);
static struct hs_forward_decision
refuse_uplink_full (const struct hs_forwarder *forwarder, uint64_t now);

/* Public definitions.  */

struct hs_forwarder *
hs_forwarder_create (void *parent, struct hs_agent_pool *pool,
                     struct hs_uplink *uplink,
                     const struct hs_forwarder_ops *ops, void *ctx)
{
  struct hs_forwarder *forwarder = talloc_zero (parent, struct hs_forwarder);

  forwarder->pool = pool;
  forwarder->uplink = uplink;
  forwarder->ops = *ops;
  forwarder->ctx = ctx;
  forwarder->flow_lifetime_ms = HS_FLOW_LIFETIME_DEFAULT_MS;
  forwarder->flows = hs_segment_flow_table_create (
      forwarder, sizeof (struct hs_forwarder_flow), HS_FORWARDER_FLOWS_MAX,
      on_flow_removed, NULL);
  hs_list_init (&forwarder->lookups);
  return forwarder;
}

void
hs_forwarder_destroy (struct hs_forwarder *forwarder)
{
  talloc_free (forwarder);
}

void
hs_forwarder_set_flow_lifetime (struct hs_forwarder *forwarder,
                                uint64_t lifetime_ms)
{
  forwarder->flow_lifetime_ms = lifetime_ms;
}

void
hs_forwarder_set_pool_complete (struct hs_forwarder *forwarder, bool complete,
                                uint64_t now)
{
  bool becomes_complete = complete && !forwarder->pool_complete;

  forwarder->pool_complete = complete;
  forwarder->pool_complete_at = now;
  if (becomes_complete)
    hs_segment_flow_table_foreach (forwarder->flows, on_pool_complete,
                                   forwarder);
}

void
hs_forwarder_set_routing (struct hs_forwarder *forwarder,
                          const struct hs_routing *routing)
{
  forwarder->routing = routing;
}

struct hs_forward_decision
hs_forwarder_route (struct hs_forwarder *forwarder,
                    const struct hs_segment *segment, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_forwarder_flow *flow;

  if (hs_segment_is_syn (segment))
    return route_syn (forwarder, segment, now);
  flow = hs_segment_flow_table_find (forwarder->flows, &key);
  if (flow == NULL)
    flow = hs_forwarder_find_or_add_flow (forwarder, &key, now);
  hs_segment_flow_table_touch (forwarder->flows, &flow->base, now);
  if (flow->owner_id == 0 && flow->syn_agent_ids_len == 1)
    flow->owner_id = flow->syn_agent_ids[0];
  if (flow->owner_id != 0
      && hs_agent_pool_find (forwarder->pool, flow->owner_id) != NULL)
    {
      if (now - flow->opened_at >= RECORD_OWNER_AFTER_MS
          && (flow->directories_checked_at == 0
              || now - flow->directories_checked_at
                     >= RECORD_CHECK_INTERVAL_MS))
        hs_owner_lookup_record_owner (forwarder, flow, now);
      return forward_to_owner (forwarder, flow);
    }
  if (flow->owner_id == 0 && flow->syn_agent_ids_len > 1)
    return forward_to_syn_agents (forwarder, flow);
  return hs_owner_lookup_queue_segment (forwarder, flow, segment, now);
}

struct hs_forward_decision
hs_forwarder_handle_refused_syn (struct hs_forwarder *forwarder,
                                 const struct hs_segment *syn,
                                 uint64_t agent_id, enum hs_reason reason,
                                 uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (syn, true);
  struct hs_forwarder_flow *flow
      = hs_segment_flow_table_find (forwarder->flows, &key);
  struct hs_forward_decision decision;
  const struct hs_routing_rule *rule;
  struct hs_flow_demand demand;

  if (reason == HS_REASON_DRAINING)
    hs_agent_pool_set_state (forwarder->pool, agent_id, HS_AGENT_DRAINING);
  if (reason == HS_REASON_NO_UPSTREAM)
    hs_agent_pool_set_state (forwarder->pool, agent_id,
                             HS_AGENT_UPSTREAM_SILENT);
  if (flow == NULL || flow->syn_seq != syn->seq || forwarder->routing == NULL)
    return hs_forward_decision_without_agents (HS_FORWARD_DROP, reason);
  if (flow->owner_id == agent_id)
    flow->owner_id = 0;
  hs_forwarder_remove_syn_agent (flow, agent_id);
  flow->is_syn_held = false;
  if (flow->refused_ids_len < HS_SYN_AGENTS_MAX)
    flow->refused_ids[flow->refused_ids_len++] = agent_id;
  /* Another agent has the SYN as well, and may accept it.  */
  if (flow->syn_agent_ids_len > 0)
    return hs_forward_decision_without_agents (HS_FORWARD_DROP, reason);
  rule = hs_routing_find (forwarder->routing, &syn->to);
  if (rule == NULL)
    return hs_forward_decision_without_agents (HS_FORWARD_RESET,
                                               HS_REASON_NO_SERVICE);
  follow_route (flow, rule);
  demand = demand_of (flow, rule);
  decision = place_flow (forwarder, flow, &demand, now);
  /* The agents that are left could not take another flow either.  */
  if (decision.action != HS_FORWARD_DROP)
    return decision;
  if (reason == HS_REASON_OVERLOADED || reason == HS_REASON_SHED)
    return refuse_flow (forwarder, &demand, HS_REASON_OVERLOADED, now);
  if (reason == HS_REASON_WARMING_UP)
    return refuse_flow (forwarder, &demand, HS_REASON_WARMING_UP, now);
  return decision;
}

void
hs_forwarder_handle_held_syn (struct hs_forwarder *forwarder,
                              const struct hs_segment_key *key,
                              uint64_t agent_id)
{
  struct hs_forwarder_flow *flow
      = hs_segment_flow_table_find (forwarder->flows, key);

  if (flow != NULL && flow->syn_agent_ids_len > 0
      && flow->syn_agent_ids[flow->syn_agent_ids_len - 1] == agent_id)
    flow->is_syn_held = true;
}

void
hs_forwarder_tick (struct hs_forwarder *forwarder, uint64_t now)
{
  uint32_t idle_ms = forwarder->routing != NULL
                         ? hs_routing_flow_idle_ms (forwarder->routing)
                         : 0;

  hs_segment_flow_table_expire (
      forwarder->flows,
      hs_flow_expiry_ms (idle_ms, forwarder->flow_lifetime_ms), now);
  hs_owner_lookup_tick (forwarder, now);
}

size_t
hs_forwarder_flows_len (const struct hs_forwarder *forwarder)
{
  return hs_segment_flow_table_len (forwarder->flows);
}

struct hs_forward_decision
hs_forward_decision_without_agents (enum hs_forward_action action,
                                    enum hs_reason reason)
{
  return (struct hs_forward_decision){ .action = action, .reason = reason };
}

struct hs_forwarder_flow *
hs_forwarder_find_or_add_flow (struct hs_forwarder *forwarder,
                               const struct hs_segment_key *key, uint64_t now)
{
  struct hs_forwarder_flow *flow
      = hs_segment_flow_table_find (forwarder->flows, key);

  if (flow == NULL)
    return hs_segment_flow_table_add (forwarder->flows, key, now);
  hs_segment_flow_table_touch (forwarder->flows, &flow->base, now);
  return flow;
}

void
hs_forwarder_remove_syn_agent (struct hs_forwarder_flow *flow,
                               uint64_t agent_id)
{
  size_t len = 0;

  for (size_t i = 0; i < flow->syn_agent_ids_len; i++)
    if (flow->syn_agent_ids[i] != agent_id)
      flow->syn_agent_ids[len++] = flow->syn_agent_ids[i];
  flow->syn_agent_ids_len = len;
}

/* Private definitions.  */

static struct hs_forward_decision
route_syn (struct hs_forwarder *forwarder, const struct hs_segment *segment,
           uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_forwarder_flow *flow
      = hs_segment_flow_table_find (forwarder->flows, &key);
  const struct hs_routing_rule *rule;
  struct hs_flow_demand demand;

  if (forwarder->routing == NULL)
    return hs_forward_decision_without_agents (HS_FORWARD_DROP,
                                               HS_REASON_OWNER_UNKNOWN);
  rule = hs_routing_find (forwarder->routing, &segment->to);
  if (rule == NULL)
    return hs_forward_decision_without_agents (HS_FORWARD_RESET,
                                               HS_REASON_NO_SERVICE);
  if (flow != NULL && flow->syn_seq == segment->seq
      && flow->syn_agent_ids_len > 0)
    {
      hs_segment_flow_table_touch (forwarder->flows, &flow->base, now);
      follow_route (flow, rule);
      demand = demand_of (flow, rule);
      return route_syn_retransmission (forwarder, flow, &demand, segment, now);
    }
  flow = hs_forwarder_find_or_add_flow (forwarder, &key, now);
  flow->service_id = pick_service (rule, flow, segment->seq);
  flow->request_class = rule->request_class;
  flow->slo_ms = rule->slo_ms;
  flow->priority = rule->priority;
  flow->timeout_ms = rule->timeout_ms;
  flow->first_syn_at = now - hs_segment_syn_age_ms (segment);
  flow->syn_seq = segment->seq;
  flow->owner_id = 0;
  flow->syn_agent_ids_len = 0;
  flow->refused_ids_len = 0;
  flow->non_owner_ids_len = 0;
  flow->opened_at = now;
  flow->directories_digest = 0;
  flow->directories_checked_at = 0;
  flow->is_unowned = false;
  flow->is_syn_held = false;
  hs_owner_lookup_stop (flow);
  demand = demand_of (flow, rule);
  return place_flow (forwarder, flow, &demand, now);
}

/* Each entry with the same routes picks the same service for a SYN.  */
static uint64_t
pick_service (const struct hs_routing_rule *rule,
              const struct hs_forwarder_flow *flow, uint32_t seq)
{
  return hs_routing_pick_service (
      rule, hs_rendezvous_score (flow->base.node.hash, seq));
}

/* Picks another service for the flow, whose SYN has been placed, if its route
   no longer leads to that one.  */
static void
follow_route (struct hs_forwarder_flow *flow,
              const struct hs_routing_rule *rule)
{
  for (size_t i = 0; i < rule->splits_len; i++)
    if (rule->splits[i].service_id == flow->service_id
        && rule->splits[i].weight > 0)
      return;
  flow->service_id = pick_service (rule, flow, flow->syn_seq);
}

/* A caller numbers the retransmissions of a SYN in the ACK field.  One that
   comes after the flow has been opened is late.  */
static struct hs_forward_decision
route_syn_retransmission (struct hs_forwarder *forwarder,
                          struct hs_forwarder_flow *flow,
                          const struct hs_flow_demand *demand,
                          const struct hs_segment *segment, uint64_t now)
{
  const struct hs_pool_agent *agent
      = find_last_syn_agent (forwarder, flow, demand, now);

  if (flow->owner_id != 0)
    return hs_forward_decision_without_agents (HS_FORWARD_DROP,
                                               HS_REASON_NONE);
  if (agent != NULL
      && (flow->is_syn_held || segment->ack < SYN_RETRANSMISSION_OTHER_AGENT))
    return forward_syn (forwarder, flow, agent, false, now);
  return place_flow (forwarder, flow, demand, now);
}

/* Returns what the agent has to meet that the SYN is to be sent to next.  */
static struct hs_flow_demand
demand_of (const struct hs_forwarder_flow *flow,
           const struct hs_routing_rule *rule)
{
  struct hs_flow_demand demand
      = { .service_id = flow->service_id, .regions = &rule->regions };

  for (size_t i = 0; i < flow->syn_agent_ids_len; i++)
    demand.excluded[demand.excluded_len++] = flow->syn_agent_ids[i];
  for (size_t i = 0; i < flow->refused_ids_len; i++)
    demand.excluded[demand.excluded_len++] = flow->refused_ids[i];
  return demand;
}

/* Returns the agent that the SYN was sent to last, or NULL if it accepts no
   flows of the service or is in a region that is not allowed.  */
static const struct hs_pool_agent *
find_last_syn_agent (const struct hs_forwarder *forwarder,
                     const struct hs_forwarder_flow *flow,
                     const struct hs_flow_demand *demand, uint64_t now)
{
  const struct hs_pool_agent *agent
      = flow->syn_agent_ids_len > 0 ? hs_agent_pool_find (
            forwarder->pool, flow->syn_agent_ids[flow->syn_agent_ids_len - 1])
                                    : NULL;

  return agent != NULL && hs_pool_agent_accepts_flows (agent, now)
                 && agent->report.service_id == demand->service_id
                 && hs_region_set_allows (demand->regions, agent->region_id)
             ? agent
             : NULL;
}

/* Sends the SYN to one more agent, or refuses the flow.  The first SYN of a
   flow is refused if the uplink or the agents are overloaded.  */
static struct hs_forward_decision
place_flow (struct hs_forwarder *forwarder, struct hs_forwarder_flow *flow,
            const struct hs_flow_demand *demand, uint64_t now)
{
  if (flow->syn_agent_ids_len == 0
      && hs_uplink_refuses_flow (forwarder->uplink, flow->request_class,
                                 flow->slo_ms, flow->priority, now))
    return refuse_uplink_full (forwarder, now);
  if (flow->syn_agent_ids_len == 0
      && hs_agent_pool_is_overloaded (forwarder->pool, demand, flow->slo_ms,
                                      flow->priority, now)
      && (hold_max_ms (flow, now) == 0
          || !hs_agent_pool_may_hold (forwarder->pool, demand, now)))
    return refuse_flow (forwarder, demand, HS_REASON_OVERLOADED, now);
  return send_to_another_agent (forwarder, flow, demand, now);
}

/* Sends the SYN to one more agent or, if no other agent accepts flows, to the
   latest one again, if that one does.  */
static struct hs_forward_decision
send_to_another_agent (struct hs_forwarder *forwarder,
                       struct hs_forwarder_flow *flow,
                       const struct hs_flow_demand *demand, uint64_t now)
{
  const struct hs_pool_agent *agent = NULL;

  if (demand->excluded_len < HS_SYN_AGENTS_MAX)
    agent = hs_agent_pool_place_flow (forwarder->pool, demand, now);
  if (agent != NULL)
    {
      flow->syn_agent_ids[flow->syn_agent_ids_len++] = agent->report.agent_id;
      return forward_syn (forwarder, flow, agent, true, now);
    }
  agent = find_last_syn_agent (forwarder, flow, demand, now);
  if (agent != NULL)
    return forward_syn (forwarder, flow, agent, false, now);
  return refuse_unplaced (forwarder, flow, demand, now);
}

static struct hs_forward_decision
forward_syn (const struct hs_forwarder *forwarder,
             const struct hs_forwarder_flow *flow,
             const struct hs_pool_agent *agent, bool is_placement,
             uint64_t now)
{
  struct hs_forward_decision decision = forward_to_agent (agent, is_placement);

  decision.hold_max_ms = hold_max_ms (flow, now);
  decision.priority = flow->priority;
  decision.wait_max_ms = hs_overload_wait_max_ms (flow->slo_ms, flow->priority,
                                                  agent->report.mean_work_us);
  decision.cold_flow_rate
      = hs_routing_cold_flow_rate (forwarder->routing, flow->service_id);
  return decision;
}

static struct hs_forward_decision
forward_to_owner (struct hs_forwarder *forwarder,
                  struct hs_forwarder_flow *flow)
{
  return forward_to_agent (
      hs_agent_pool_find (forwarder->pool, flow->owner_id), false);
}

static struct hs_forward_decision
forward_to_syn_agents (struct hs_forwarder *forwarder,
                       const struct hs_forwarder_flow *flow)
{
  struct hs_forward_decision decision
      = { .action = HS_FORWARD_TO_AGENTS, .owner_only = true };

  for (size_t i = 0; i < flow->syn_agent_ids_len; i++)
    {
      const struct hs_pool_agent *agent
          = hs_agent_pool_find (forwarder->pool, flow->syn_agent_ids[i]);

      if (agent != NULL)
        decision.agents[decision.agents_len++] = agent;
    }
  return decision;
}

static void
on_flow_removed (void *ctx, struct hs_segment_flow *base)
{
  (void)ctx;
  hs_owner_lookup_stop ((struct hs_forwarder_flow *)base);
}

/* Answers that came before all agents were known did not count yet.  */
static void
on_pool_complete (void *ctx, struct hs_segment_flow *base)
{
  struct hs_forwarder *forwarder = ctx;

  hs_owner_lookup_reset_if_unowned (forwarder,
                                    (struct hs_forwarder_flow *)base,
                                    forwarder->pool_complete_at);
}

static struct hs_forward_decision
forward_to_agent (const struct hs_pool_agent *agent, bool is_placement)
{
  struct hs_forward_decision decision = { .action = HS_FORWARD_TO_AGENTS,
                                          .is_placement = is_placement,
                                          .agents_len = 1 };

  decision.agents[0] = agent;
  return decision;
}

static uint32_t
hold_max_ms (const struct hs_forwarder_flow *flow, uint64_t now)
{
  return hs_overload_hold_max_ms (flow->slo_ms, flow->timeout_ms,
                                  now - flow->first_syn_at);
}

/* Decides on a SYN for which there is no agent.  If the agents of the regions
   that the route allows are all gone, their zones are evacuated, or those that
   accept flows have no room since their upstreams are cold, the caller is
   reset: its retransmissions would find none either.  Else the SYN is dropped:
   the caller's next retransmission may find an agent.  It is also dropped if
   an agent that has the SYN may have accepted it, since a reset means that
   nothing has run.  */
static struct hs_forward_decision
refuse_unplaced (const struct hs_forwarder *forwarder,
                 const struct hs_forwarder_flow *flow,
                 const struct hs_flow_demand *demand, uint64_t now)
{
  bool evacuated = hs_agent_pool_is_evacuated (forwarder->pool, demand, now);

  if (flow->syn_agent_ids_len == 0
      && hs_agent_pool_lacks_room (forwarder->pool, demand, now))
    return refuse_flow (forwarder, demand, HS_REASON_WARMING_UP, now);
  if (!evacuated && !hs_agent_pool_lacks_region (forwarder->pool, demand, now))
    return hs_forward_decision_without_agents (HS_FORWARD_DROP,
                                               HS_REASON_NO_UPSTREAM);
  return hs_forward_decision_without_agents (
      flow->syn_agent_ids_len == 0 ? HS_FORWARD_RESET : HS_FORWARD_DROP,
      evacuated ? HS_REASON_EVACUATED : HS_REASON_REGION);
}

static struct hs_forward_decision
refuse_flow (const struct hs_forwarder *forwarder,
             const struct hs_flow_demand *demand, enum hs_reason reason,
             uint64_t now)
{
  struct hs_forward_decision decision
      = hs_forward_decision_without_agents (HS_FORWARD_RESET, reason);

  decision.least_busy
      = hs_agent_pool_least_busy (forwarder->pool, demand, now);
  return decision;
}

static struct hs_forward_decision
refuse_uplink_full (const struct hs_forwarder *forwarder, uint64_t now)
{
  struct hs_forward_decision decision = hs_forward_decision_without_agents (
      HS_FORWARD_RESET, HS_REASON_OVERLOADED);

  decision.uplink_wait_ms
      = hs_uplink_wait_ms (forwarder->uplink, HS_EGRESS_BULK, now);
  return decision;
}
