/* steering.c -- what an entry does with a segment of a caller.

   Only a SYN is placed.  Every other segment goes to the agent that holds
   its flow: the one it was placed on, or, where this entry has not seen the
   flow before, agents are asked (asking.c), and the segment is kept until one
   says that it holds the flow.  A copy of a SYN may be offered to a second
   agent when the first one is in doubt; the flow is then where the caller
   acknowledged the handshake, and asking tells.  */

#include "segment/steering_state.h"

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

static struct hs_steer steer_syn (struct hs_steering *steering,
                                  const struct hs_segment *segment,
                                  uint64_t now);
static struct hs_steer repeat_syn (struct hs_steering *steering,
                                   struct hs_steered *flow,
                                   const struct hs_segment *segment,
                                   uint64_t now);
static struct hs_steer place (struct hs_steering *steering,
                              struct hs_steered *flow, uint64_t now);
static struct hs_steer to_holder (struct hs_steering *steering,
                                  struct hs_steered *flow);
static struct hs_steer to_tried (struct hs_steering *steering,
                                 const struct hs_steered *flow);
static void on_flow_gone (void *ctx, struct hs_segment_flow *base);
static void on_complete (void *ctx, struct hs_segment_flow *base);
static struct hs_steer to_one (const struct hs_backend *backend, bool placed);
static struct hs_steer overloaded (const struct hs_steering *steering,
                                   const struct hs_steered *flow,
                                   uint64_t now);
static struct hs_steer link_full (const struct hs_steering *steering,
                                  uint64_t now);

/* Public definitions.  */

struct hs_steering *
hs_steering_create (void *parent, struct hs_fleet *fleet, struct hs_link *link,
                    const struct hs_steering_ops *ops, void *ctx)
{
  struct hs_steering *steering = talloc_zero (parent, struct hs_steering);

  steering->fleet = fleet;
  steering->link = link;
  steering->ops = *ops;
  steering->ctx = ctx;
  steering->flows
      = hs_flow_table_create (steering, sizeof (struct hs_steered),
                              HS_STEERING_FLOWS_MAX, on_flow_gone, NULL);
  hs_list_init (&steering->asking);
  return steering;
}

void
hs_steering_destroy (struct hs_steering *steering)
{
  talloc_free (steering);
}

void
hs_steering_set_complete (struct hs_steering *steering, bool complete,
                          uint64_t now)
{
  bool now_complete = complete && !steering->complete;

  steering->complete = complete;
  steering->now = now;
  if (now_complete)
    hs_flow_table_each (steering->flows, on_complete, steering);
}

void
hs_steering_set_routing (struct hs_steering *steering,
                         const struct hs_routing *routing)
{
  steering->routing = routing;
}

struct hs_steer
hs_steering_route (struct hs_steering *steering,
                   const struct hs_segment *segment, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_steered *flow;

  if (hs_segment_opens (segment))
    return steer_syn (steering, segment, now);
  flow = hs_flow_table_find (steering->flows, &key);
  if (flow == NULL)
    flow = hs_steering_get (steering, &key, now);
  hs_flow_table_touch (steering->flows, &flow->base, now);
  if (flow->holder == 0 && flow->tried_len == 1)
    flow->holder = flow->tried[0];
  if (flow->holder != 0
      && hs_fleet_find (steering->fleet, flow->holder) != NULL)
    {
      if (!flow->noted && now - flow->placed_at >= NOTE_AFTER_MS)
        hs_asking_note (steering, flow, now);
      return to_holder (steering, flow);
    }
  if (flow->holder == 0 && flow->tried_len > 1)
    return to_tried (steering, flow);
  return hs_asking_hold (steering, flow, segment, now);
}

struct hs_steer
hs_steering_refused (struct hs_steering *steering,
                     const struct hs_segment *syn, uint64_t slot,
                     enum hs_reason reason, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (syn, true);
  struct hs_steered *flow = hs_flow_table_find (steering->flows, &key);

  if (reason == HS_REASON_LEAVING)
    hs_fleet_set_state (steering->fleet, slot, HS_BACKEND_LEAVING);
  if (reason == HS_REASON_NO_UPSTREAM)
    hs_fleet_set_state (steering->fleet, slot, HS_BACKEND_ABSENT);
  if (flow == NULL || flow->syn_seq != syn->seq)
    return hs_steering_without (HS_STEER_DROP, reason);
  if (flow->holder == slot)
    flow->holder = 0;
  /* Another agent has it, too, and may yet take it.  */
  if (flow->tried_len > 1 && flow->tried[flow->tried_len - 1] != slot)
    {
      hs_steering_untry (flow, slot);
      return hs_steering_without (HS_STEER_DROP, reason);
    }
  if (hs_fleet_is_overloaded (steering->fleet, flow->service, flow->slo_ms,
                              flow->priority, now))
    return overloaded (steering, flow, now);
  return place (steering, flow, now);
}

void
hs_steering_tick (struct hs_steering *steering, uint64_t now)
{
  hs_flow_table_expire (steering->flows, FLOW_IDLE_MS, now);
  hs_asking_tick (steering, now);
}

size_t
hs_steering_flows (const struct hs_steering *steering)
{
  return hs_flow_table_len (steering->flows);
}

struct hs_steer
hs_steering_without (enum hs_steer_kind kind, enum hs_reason reason)
{
  return (struct hs_steer){ .kind = kind, .reason = reason };
}

struct hs_steered *
hs_steering_get (struct hs_steering *steering,
                 const struct hs_segment_key *key, uint64_t now)
{
  struct hs_steered *flow = hs_flow_table_find (steering->flows, key);

  if (flow == NULL)
    return hs_flow_table_add (steering->flows, key, now);
  hs_flow_table_touch (steering->flows, &flow->base, now);
  return flow;
}

void
hs_steering_untry (struct hs_steered *flow, uint64_t slot)
{
  size_t len = 0;

  for (size_t i = 0; i < flow->tried_len; i++)
    if (flow->tried[i] != slot)
      flow->tried[len++] = flow->tried[i];
  flow->tried_len = len;
}

/* Private definitions.  */

static struct hs_steer
steer_syn (struct hs_steering *steering, const struct hs_segment *segment,
           uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_steered *flow = hs_flow_table_find (steering->flows, &key);
  const struct hs_routing_rule *rule;

  if (steering->routing == NULL)
    return hs_steering_without (HS_STEER_DROP, HS_REASON_NOT_SETTLED);
  rule = hs_routing_find (steering->routing, &segment->to);
  if (rule == NULL)
    return hs_steering_without (HS_STEER_RESET, HS_REASON_NO_SERVICE);
  if (flow != NULL && flow->syn_seq == segment->seq && flow->tried_len > 0)
    {
      hs_flow_table_touch (steering->flows, &flow->base, now);
      return repeat_syn (steering, flow, segment, now);
    }
  flow = hs_steering_get (steering, &key, now);
  flow->service = hs_routing_pick (
      rule, hs_rank_score (flow->base.node.hash, segment->seq));
  flow->work = rule->work;
  flow->slo_ms = rule->slo_ms;
  flow->priority = rule->priority;
  flow->syn_seq = segment->seq;
  flow->holder = 0;
  flow->tried_len = 0;
  flow->denied_len = 0;
  flow->placed_at = now;
  flow->noted = false;
  flow->is_lost = false;
  hs_asking_stop (flow);
  return place (steering, flow, now);
}

/* The caller counts its copies in the field ACK.  */
static struct hs_steer
repeat_syn (struct hs_steering *steering, struct hs_steered *flow,
            const struct hs_segment *segment, uint64_t now)
{
  uint64_t last = flow->tried[flow->tried_len - 1];
  const struct hs_backend *backend = hs_fleet_find (steering->fleet, last);

  if (backend != NULL && hs_fleet_takes_flows (backend, now)
      && segment->ack < COPY_DOUBTED)
    return to_one (backend, false);
  return place (steering, flow, now);
}

/* Offers the SYN to one agent more.  Where none takes flows now, one may
   before the caller's next copy.  */
static struct hs_steer
place (struct hs_steering *steering, struct hs_steered *flow, uint64_t now)
{
  const struct hs_backend *backend = NULL;

  if (flow->tried_len == 0
      && hs_link_refuses (steering->link, flow->work, flow->priority, now))
    return link_full (steering, now);
  if (flow->tried_len == 0
      && hs_fleet_is_overloaded (steering->fleet, flow->service, flow->slo_ms,
                                 flow->priority, now))
    return overloaded (steering, flow, now);
  if (flow->tried_len < HS_STEER_TRIES)
    backend = hs_fleet_choose (steering->fleet, flow->service, flow->tried,
                               flow->tried_len, now);
  if (backend != NULL)
    {
      flow->tried[flow->tried_len++] = backend->report.slot;
      return to_one (backend, true);
    }
  if (flow->tried_len > 0)
    backend
        = hs_fleet_find (steering->fleet, flow->tried[flow->tried_len - 1]);
  if (backend != NULL && hs_fleet_takes_flows (backend, now))
    return to_one (backend, false);
  return hs_steering_without (HS_STEER_DROP, HS_REASON_NO_UPSTREAM);
}

static struct hs_steer
to_holder (struct hs_steering *steering, struct hs_steered *flow)
{
  return to_one (hs_fleet_find (steering->fleet, flow->holder), false);
}

static struct hs_steer
to_tried (struct hs_steering *steering, const struct hs_steered *flow)
{
  struct hs_steer steer = { .kind = HS_STEER_FORWARD, .ask = true };

  for (size_t i = 0; i < flow->tried_len; i++)
    {
      const struct hs_backend *backend
          = hs_fleet_find (steering->fleet, flow->tried[i]);

      if (backend != NULL)
        steer.to[steer.len++] = backend;
    }
  return steer;
}

static void
on_flow_gone (void *ctx, struct hs_segment_flow *base)
{
  (void)ctx;
  hs_asking_stop ((struct hs_steered *)base);
}

/* What was denied before all agents were known counts now.  */
static void
on_complete (void *ctx, struct hs_segment_flow *base)
{
  struct hs_steering *steering = ctx;

  hs_asking_reset_if_denied (steering, (struct hs_steered *)base,
                             steering->now);
}

static struct hs_steer
to_one (const struct hs_backend *backend, bool placed)
{
  struct hs_steer steer
      = { .kind = HS_STEER_FORWARD, .placed = placed, .len = 1 };

  steer.to[0] = backend;
  return steer;
}

static struct hs_steer
overloaded (const struct hs_steering *steering, const struct hs_steered *flow,
            uint64_t now)
{
  struct hs_steer steer
      = hs_steering_without (HS_STEER_RESET, HS_REASON_OVERLOADED);

  steer.least_busy = hs_fleet_least_busy (steering->fleet, flow->service, now);
  return steer;
}

static struct hs_steer
link_full (const struct hs_steering *steering, uint64_t now)
{
  struct hs_steer steer
      = hs_steering_without (HS_STEER_RESET, HS_REASON_OVERLOADED);

  steer.link_ms = hs_link_queue_ms (steering->link, now);
  return steer;
}
