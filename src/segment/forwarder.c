/* forwarder.c -- what an entry does with a segment of a caller.

   Only a SYN is placed.  Every other segment goes to the agent that holds
   its flow: the one it was placed on, or, where this entry has not seen the
   flow before, agents are asked (owner_lookup.c), and the segment is kept
   until one says that it holds the flow.  A copy of a SYN may be offered to a
   second agent when the first one is in doubt; the flow is then where the
   caller acknowledged the handshake, and asking tells.  */

#include "segment/forwarder_state.h"

#include <talloc.h>

/* Types.  */

/* Silence after which a flow is forgotten: twice the idle time of flows.  */
#define FLOW_IDLE_MS 30000

/* The copy of a SYN from which on the agent that got the others is doubted. */
#define COPY_DOUBTED 2

/* Age from which on the home of a flow is told of it: most have ended by
   then.  */
#define NOTE_AFTER_MS 500

/* Private functions.  */

static struct hs_forward_decision steer_syn (struct hs_forwarder *steering,
                                             const struct hs_segment *segment,
                                             uint64_t now);
static struct hs_forward_decision repeat_syn (struct hs_forwarder *steering,
                                              struct hs_forwarder_flow *flow,
                                              const struct hs_segment *segment,
                                              uint64_t now);
static struct hs_forward_decision place (struct hs_forwarder *steering,
                                         struct hs_forwarder_flow *flow,
                                         uint64_t now);
static struct hs_forward_decision to_holder (struct hs_forwarder *steering,
                                             struct hs_forwarder_flow *flow);
static struct hs_forward_decision
to_tried (struct hs_forwarder *steering, const struct hs_forwarder_flow *flow);
static void on_flow_gone (void *ctx, struct hs_segment_flow *base);
static void on_complete (void *ctx, struct hs_segment_flow *base);
static struct hs_forward_decision to_one (const struct hs_pool_agent *backend,
                                          bool placed);
static struct hs_forward_decision
overloaded (const struct hs_forwarder *steering,
            const struct hs_forwarder_flow *flow, uint64_t now);
static struct hs_forward_decision
link_full (const struct hs_forwarder *steering, uint64_t now);

/* Public definitions.  */

struct hs_forwarder *
hs_forwarder_create (void *parent, struct hs_agent_pool *fleet,
                     struct hs_uplink *link,
                     const struct hs_forwarder_ops *ops, void *ctx)
{
  struct hs_forwarder *steering = talloc_zero (parent, struct hs_forwarder);

  steering->pool = fleet;
  steering->uplink = link;
  steering->ops = *ops;
  steering->ctx = ctx;
  steering->flows
      = hs_flow_table_create (steering, sizeof (struct hs_forwarder_flow),
                              HS_FORWARDER_FLOWS_MAX, on_flow_gone, NULL);
  hs_list_init (&steering->lookups);
  return steering;
}

void
hs_forwarder_destroy (struct hs_forwarder *steering)
{
  talloc_free (steering);
}

void
hs_forwarder_set_pool_complete (struct hs_forwarder *steering, bool complete,
                                uint64_t now)
{
  bool now_complete = complete && !steering->pool_complete;

  steering->pool_complete = complete;
  steering->pool_complete_at = now;
  if (now_complete)
    hs_flow_table_each (steering->flows, on_complete, steering);
}

void
hs_forwarder_set_routing (struct hs_forwarder *steering,
                          const struct hs_routing *routing)
{
  steering->routing = routing;
}

struct hs_forward_decision
hs_forwarder_route (struct hs_forwarder *steering,
                    const struct hs_segment *segment, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_forwarder_flow *flow;

  if (hs_segment_is_syn (segment))
    return steer_syn (steering, segment, now);
  flow = hs_flow_table_find (steering->flows, &key);
  if (flow == NULL)
    flow = hs_forwarder_find_or_add_flow (steering, &key, now);
  hs_flow_table_touch (steering->flows, &flow->base, now);
  if (flow->owner_id == 0 && flow->syn_agent_ids_len == 1)
    flow->owner_id = flow->syn_agent_ids[0];
  if (flow->owner_id != 0
      && hs_agent_pool_find (steering->pool, flow->owner_id) != NULL)
    {
      if (!flow->is_recorded && now - flow->opened_at >= NOTE_AFTER_MS)
        hs_owner_lookup_record_owner (steering, flow, now);
      return to_holder (steering, flow);
    }
  if (flow->owner_id == 0 && flow->syn_agent_ids_len > 1)
    return to_tried (steering, flow);
  return hs_owner_lookup_queue_segment (steering, flow, segment, now);
}

struct hs_forward_decision
hs_forwarder_handle_refused_syn (struct hs_forwarder *steering,
                                 const struct hs_segment *syn, uint64_t slot,
                                 enum hs_reason reason, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (syn, true);
  struct hs_forwarder_flow *flow = hs_flow_table_find (steering->flows, &key);

  if (reason == HS_REASON_DRAINING)
    hs_agent_pool_set_state (steering->pool, slot, HS_AGENT_DRAINING);
  if (reason == HS_REASON_NO_UPSTREAM)
    hs_agent_pool_set_state (steering->pool, slot, HS_AGENT_UPSTREAM_SILENT);
  if (flow == NULL || flow->syn_seq != syn->seq)
    return hs_forward_decision_without_agents (HS_FORWARD_DROP, reason);
  if (flow->owner_id == slot)
    flow->owner_id = 0;
  /* Another agent has it, too, and may yet take it.  */
  if (flow->syn_agent_ids_len > 1
      && flow->syn_agent_ids[flow->syn_agent_ids_len - 1] != slot)
    {
      hs_forwarder_remove_syn_agent (flow, slot);
      return hs_forward_decision_without_agents (HS_FORWARD_DROP, reason);
    }
  if (hs_agent_pool_is_overloaded (steering->pool, flow->service_id,
                                   flow->slo_ms, flow->priority, now))
    return overloaded (steering, flow, now);
  return place (steering, flow, now);
}

void
hs_forwarder_tick (struct hs_forwarder *steering, uint64_t now)
{
  hs_flow_table_expire (steering->flows, FLOW_IDLE_MS, now);
  hs_owner_lookup_tick (steering, now);
}

size_t
hs_forwarder_flows_len (const struct hs_forwarder *steering)
{
  return hs_flow_table_len (steering->flows);
}

struct hs_forward_decision
hs_forward_decision_without_agents (enum hs_forward_action kind,
                                    enum hs_reason reason)
{
  return (struct hs_forward_decision){ .action = kind, .reason = reason };
}

struct hs_forwarder_flow *
hs_forwarder_find_or_add_flow (struct hs_forwarder *steering,
                               const struct hs_segment_key *key, uint64_t now)
{
  struct hs_forwarder_flow *flow = hs_flow_table_find (steering->flows, key);

  if (flow == NULL)
    return hs_flow_table_add (steering->flows, key, now);
  hs_flow_table_touch (steering->flows, &flow->base, now);
  return flow;
}

void
hs_forwarder_remove_syn_agent (struct hs_forwarder_flow *flow, uint64_t slot)
{
  size_t len = 0;

  for (size_t i = 0; i < flow->syn_agent_ids_len; i++)
    if (flow->syn_agent_ids[i] != slot)
      flow->syn_agent_ids[len++] = flow->syn_agent_ids[i];
  flow->syn_agent_ids_len = len;
}

/* Private definitions.  */

static struct hs_forward_decision
steer_syn (struct hs_forwarder *steering, const struct hs_segment *segment,
           uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_forwarder_flow *flow = hs_flow_table_find (steering->flows, &key);
  const struct hs_routing_rule *rule;

  if (steering->routing == NULL)
    return hs_forward_decision_without_agents (HS_FORWARD_DROP,
                                               HS_REASON_OWNER_UNKNOWN);
  rule = hs_routing_find (steering->routing, &segment->to);
  if (rule == NULL)
    return hs_forward_decision_without_agents (HS_FORWARD_RESET,
                                               HS_REASON_NO_SERVICE);
  if (flow != NULL && flow->syn_seq == segment->seq
      && flow->syn_agent_ids_len > 0)
    {
      hs_flow_table_touch (steering->flows, &flow->base, now);
      return repeat_syn (steering, flow, segment, now);
    }
  flow = hs_forwarder_find_or_add_flow (steering, &key, now);
  flow->service_id = hs_routing_pick_service (
      rule, hs_rendezvous_score (flow->base.node.hash, segment->seq));
  flow->request_class = rule->request_class;
  flow->slo_ms = rule->slo_ms;
  flow->priority = rule->priority;
  flow->syn_seq = segment->seq;
  flow->owner_id = 0;
  flow->syn_agent_ids_len = 0;
  flow->non_owner_ids_len = 0;
  flow->opened_at = now;
  flow->is_recorded = false;
  flow->is_unowned = false;
  hs_owner_lookup_stop (flow);
  return place (steering, flow, now);
}

/* The caller counts its copies in the field ACK.  */
static struct hs_forward_decision
repeat_syn (struct hs_forwarder *steering, struct hs_forwarder_flow *flow,
            const struct hs_segment *segment, uint64_t now)
{
  uint64_t last = flow->syn_agent_ids[flow->syn_agent_ids_len - 1];
  const struct hs_pool_agent *backend
      = hs_agent_pool_find (steering->pool, last);

  if (backend != NULL && hs_pool_agent_accepts_flows (backend, now)
      && segment->ack < COPY_DOUBTED)
    return to_one (backend, false);
  return place (steering, flow, now);
}

/* Offers the SYN to one agent more.  Where none takes flows now, one may
   before the caller's next copy.  */
static struct hs_forward_decision
place (struct hs_forwarder *steering, struct hs_forwarder_flow *flow,
       uint64_t now)
{
  const struct hs_pool_agent *backend = NULL;

  if (flow->syn_agent_ids_len == 0
      && hs_uplink_refuses_flow (steering->uplink, flow->request_class,
                                 flow->priority, now))
    return link_full (steering, now);
  if (flow->syn_agent_ids_len == 0
      && hs_agent_pool_is_overloaded (steering->pool, flow->service_id,
                                      flow->slo_ms, flow->priority, now))
    return overloaded (steering, flow, now);
  if (flow->syn_agent_ids_len < HS_SYN_AGENTS_MAX)
    backend = hs_agent_pool_place_flow (steering->pool, flow->service_id,
                                        flow->syn_agent_ids,
                                        flow->syn_agent_ids_len, now);
  if (backend != NULL)
    {
      flow->syn_agent_ids[flow->syn_agent_ids_len++]
          = backend->report.agent_id;
      return to_one (backend, true);
    }
  if (flow->syn_agent_ids_len > 0)
    backend = hs_agent_pool_find (
        steering->pool, flow->syn_agent_ids[flow->syn_agent_ids_len - 1]);
  if (backend != NULL && hs_pool_agent_accepts_flows (backend, now))
    return to_one (backend, false);
  return hs_forward_decision_without_agents (HS_FORWARD_DROP,
                                             HS_REASON_NO_UPSTREAM);
}

static struct hs_forward_decision
to_holder (struct hs_forwarder *steering, struct hs_forwarder_flow *flow)
{
  return to_one (hs_agent_pool_find (steering->pool, flow->owner_id), false);
}

static struct hs_forward_decision
to_tried (struct hs_forwarder *steering, const struct hs_forwarder_flow *flow)
{
  struct hs_forward_decision steer
      = { .action = HS_FORWARD_TO_AGENTS, .owner_only = true };

  for (size_t i = 0; i < flow->syn_agent_ids_len; i++)
    {
      const struct hs_pool_agent *backend
          = hs_agent_pool_find (steering->pool, flow->syn_agent_ids[i]);

      if (backend != NULL)
        steer.agents[steer.agents_len++] = backend;
    }
  return steer;
}

static void
on_flow_gone (void *ctx, struct hs_segment_flow *base)
{
  (void)ctx;
  hs_owner_lookup_stop ((struct hs_forwarder_flow *)base);
}

/* What was denied before all agents were known counts now.  */
static void
on_complete (void *ctx, struct hs_segment_flow *base)
{
  struct hs_forwarder *steering = ctx;

  hs_owner_lookup_reset_if_unowned (steering, (struct hs_forwarder_flow *)base,
                                    steering->pool_complete_at);
}

static struct hs_forward_decision
to_one (const struct hs_pool_agent *backend, bool placed)
{
  struct hs_forward_decision steer = { .action = HS_FORWARD_TO_AGENTS,
                                       .is_placement = placed,
                                       .agents_len = 1 };

  steer.agents[0] = backend;
  return steer;
}

static struct hs_forward_decision
overloaded (const struct hs_forwarder *steering,
            const struct hs_forwarder_flow *flow, uint64_t now)
{
  struct hs_forward_decision steer = hs_forward_decision_without_agents (
      HS_FORWARD_RESET, HS_REASON_OVERLOADED);

  steer.least_busy
      = hs_agent_pool_least_busy (steering->pool, flow->service_id, now);
  return steer;
}

static struct hs_forward_decision
link_full (const struct hs_forwarder *steering, uint64_t now)
{
  struct hs_forward_decision steer = hs_forward_decision_without_agents (
      HS_FORWARD_RESET, HS_REASON_OVERLOADED);

  steer.uplink_queue_ms = hs_uplink_queue_ms (steering->uplink, now);
  return steer;
}
