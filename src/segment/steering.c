/* steering.c -- what an entry does with a segment of a caller.

   Only a SYN is placed.  Every other segment goes to the agent that holds
   its flow: the one it was placed on, or, where this entry has not seen the
   flow before, agents are asked, and the segment is kept until one says that
   it holds the flow.  The load answered here is the flows of an entry that
   has stopped, which come all at once and would fill the links of the
   others, were all agents asked for each.  The first one asked is therefore
   the flow's home, the first in its ranking, which entries tell of flows
   that stay; then the agents of the own availability zone, and last all.  A
   copy of a SYN may be offered to a second agent when the first one is in
   doubt; the flow is then where the caller acknowledged the handshake, and
   asking tells.  */

#include "segment/flow_table.h"

#include <talloc.h>

/* Types.  */

/* Silence after which a flow is forgotten: twice the idle time of flows.  */
#define FLOW_IDLE_MS 30000

/* The copy of a SYN from which on the agent that got the others is doubted. */
#define COPY_DOUBTED 2

/* Until agents that have not answered are asked again, the first time; it
   doubles.  A round trip between availability zones takes 3 ms.  */
#define ASK_AGAIN_MS 50

/* Age from which on the home of a flow is told of it: most have ended by
   then.  */
#define NOTE_AFTER_MS 500

/* Times that a flow is asked for, until its caller sends a segment again.  */
#define ASK_ROUNDS 5

/* How long the word of all agents that they do not hold a flow is taken. */
#define LOST_MS 1500

/* Who is asked for a flow.  */
enum scope
{
  SCOPE_HOME,
  SCOPE_ZONE, /* Agents of the own availability zone.  */
  SCOPE_ALL
};

struct flow
{
  struct hs_segment_flow base;
  uint64_t holder;    /* Slot; 0: not known.  */
  uint64_t placed_at; /* ms  */
  bool noted;         /* Its home knows of it.  */
  uint64_t service;
  enum hs_work work; /* Of its route.  */
  uint32_t slo_ms;   /* Latency objective of its route.  */
  uint32_t priority; /* Of its route.  */
  uint32_t syn_seq;
  size_t tried_len;
  uint64_t tried[HS_STEER_TRIES]; /* Slots that were offered the SYN.  */

  /* Of a flow that was asked for.  */
  struct hs_list asking; /* While agents are asked.  */
  bool is_asked_for;     /* It is in that list.  */
  enum scope scope;
  uint64_t presumed;   /* Slot; said by its home, not yet by itself.  */
  unsigned int rounds; /* Times it was asked for.  */
  uint64_t asked_at;   /* ms  */
  uint32_t caller_seq; /* The latest of the caller.  */
  uint32_t caller_ack;
  uint64_t asked_service; /* 0: any.  */
  size_t denied_len;
  uint64_t *denied; /* Slots of agents that do not hold it; a child.  */
  bool is_lost;     /* All had denied it, ...  */
  uint64_t lost_at; /* ... at that time, ms.  */
};

struct hs_steering
{
  struct hs_fleet *fleet;
  struct hs_link *link;
  struct hs_steering_ops ops;
  void *ctx;
  const struct hs_routing *routing; /* NULL: none yet.  */
  bool complete; /* No agent that lives is missing in the fleet.  */
  uint64_t now;  /* When that was said, ms.  */
  struct hs_flow_table *flows;
  struct hs_list asking; /* Flows that agents are asked for.  */
};

/* Private functions.  */

static struct hs_steer steer_syn (struct hs_steering *steering,
                                  const struct hs_segment *segment,
                                  uint64_t now);
static struct hs_steer repeat_syn (struct hs_steering *steering,
                                   struct flow *flow,
                                   const struct hs_segment *segment,
                                   uint64_t now);
static struct hs_steer place (struct hs_steering *steering, struct flow *flow,
                              uint64_t now);
static struct hs_steer to_holder (struct hs_steering *steering,
                                  struct flow *flow);
static struct hs_steer to_tried (struct hs_steering *steering,
                                 const struct flow *flow);
static struct hs_steer hold (struct hs_steering *steering, struct flow *flow,
                             const struct hs_segment *segment, uint64_t now);
static size_t ask_round (struct hs_steering *steering, struct flow *flow,
                         uint64_t now);
static size_t collect (struct hs_steering *steering, const struct flow *flow,
                       const struct hs_backend **wanted, uint64_t now);
static void widen (struct hs_steering *steering, struct flow *flow,
                   uint64_t now);
static void note (struct hs_steering *steering, struct flow *flow,
                  uint64_t now);
static void set_asked_service (const struct hs_steering *steering,
                               struct flow *flow);
static const struct hs_backend *home_of (const struct flow *flow,
                                         const struct hs_backend **backends,
                                         size_t len);
static bool is_in_scope (enum scope scope, const struct hs_backend *backend,
                         const struct hs_backend *home);
static void stop_asking (struct flow *flow);
static void on_flow_gone (void *ctx, struct hs_segment_flow *base);
static struct hs_segment segment_of (const struct flow *flow);
static void on_complete (void *ctx, struct hs_segment_flow *base);
static void reset_if_denied (struct hs_steering *steering, struct flow *flow,
                             uint64_t now);
static bool is_denied_by (const struct flow *flow, uint64_t slot);
static bool is_denied_by_all (const struct hs_steering *steering,
                              const struct flow *flow, enum scope scope,
                              uint64_t now);
static struct hs_steer to_one (const struct hs_backend *backend, bool placed);
static struct hs_steer without (enum hs_steer_kind kind,
                                enum hs_reason reason);
static struct hs_steer overloaded (const struct hs_steering *steering,
                                   const struct flow *flow, uint64_t now);
static struct hs_steer link_full (const struct hs_steering *steering,
                                  uint64_t now);
static struct flow *get_flow (struct hs_steering *steering,
                              const struct hs_segment_key *key, uint64_t now);
static void untry (struct flow *flow, uint64_t slot);

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
      = hs_flow_table_create (steering, sizeof (struct flow),
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
  struct flow *flow;

  if (hs_segment_opens (segment))
    return steer_syn (steering, segment, now);
  flow = hs_flow_table_find (steering->flows, &key);
  if (flow == NULL)
    flow = get_flow (steering, &key, now);
  hs_flow_table_touch (steering->flows, &flow->base, now);
  if (flow->holder == 0 && flow->tried_len == 1)
    flow->holder = flow->tried[0];
  if (flow->holder != 0
      && hs_fleet_find (steering->fleet, flow->holder) != NULL)
    {
      if (!flow->noted && now - flow->placed_at >= NOTE_AFTER_MS)
        note (steering, flow, now);
      return to_holder (steering, flow);
    }
  if (flow->holder == 0 && flow->tried_len > 1)
    return to_tried (steering, flow);
  return hold (steering, flow, segment, now);
}

struct hs_steer
hs_steering_refused (struct hs_steering *steering,
                     const struct hs_segment *syn, uint64_t slot,
                     enum hs_reason reason, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (syn, true);
  struct flow *flow = hs_flow_table_find (steering->flows, &key);

  if (reason == HS_REASON_LEAVING)
    hs_fleet_set_state (steering->fleet, slot, HS_BACKEND_LEAVING);
  if (reason == HS_REASON_NO_UPSTREAM)
    hs_fleet_set_state (steering->fleet, slot, HS_BACKEND_ABSENT);
  if (flow == NULL || flow->syn_seq != syn->seq)
    return without (HS_STEER_DROP, reason);
  if (flow->holder == slot)
    flow->holder = 0;
  /* Another agent has it, too, and may yet take it.  */
  if (flow->tried_len > 1 && flow->tried[flow->tried_len - 1] != slot)
    {
      untry (flow, slot);
      return without (HS_STEER_DROP, reason);
    }
  if (hs_fleet_is_overloaded (steering->fleet, flow->service, flow->slo_ms,
                              flow->priority, now))
    return overloaded (steering, flow, now);
  return place (steering, flow, now);
}

void
hs_steering_held (struct hs_steering *steering,
                  const struct hs_segment_key *key, uint64_t slot,
                  uint64_t now)
{
  struct flow *flow = get_flow (steering, key, now);
  const struct hs_backend *backend = hs_fleet_find (steering->fleet, slot);

  flow->holder = slot;
  if (!flow->is_asked_for || backend == NULL)
    return;
  stop_asking (flow);
  if (flow->scope != SCOPE_HOME)
    note (steering, flow, now);
  flow->noted = true;
  steering->ops.release (steering->ctx, key, backend, false);
}

void
hs_steering_denied (struct hs_steering *steering,
                    const struct hs_segment_key *key, uint64_t slot,
                    uint64_t now)
{
  struct flow *flow = hs_flow_table_find (steering->flows, key);

  if (flow == NULL)
    return;
  untry (flow, slot);
  if (flow->holder == slot)
    flow->holder = 0;
  if (flow->holder != 0 || flow->tried_len > 0)
    return;
  if (!is_denied_by (flow, slot) && flow->denied_len < HS_STEER_ASKED_MAX)
    {
      flow->denied = talloc_realloc (flow, flow->denied, uint64_t,
                                     flow->denied_len + 1);
      flow->denied[flow->denied_len++] = slot;
    }
  if (flow->is_asked_for && flow->scope != SCOPE_ALL
      && (slot == flow->presumed
          || is_denied_by_all (steering, flow, flow->scope, now)))
    widen (steering, flow, now);
  if (steering->complete)
    reset_if_denied (steering, flow, now);
}

void
hs_steering_unsure (struct hs_steering *steering,
                    const struct hs_segment_key *key, uint64_t slot,
                    uint64_t now)
{
  struct flow *flow = hs_flow_table_find (steering->flows, key);
  const struct hs_backend *backend = hs_fleet_find (steering->fleet, slot);

  if (flow == NULL || !flow->is_asked_for)
    return;
  if (backend != NULL)
    steering->ops.release (steering->ctx, key, backend, true);
  if (flow->scope == SCOPE_HOME)
    widen (steering, flow, now);
}

/* The holder says itself whether it is one.  */
void
hs_steering_noted (struct hs_steering *steering,
                   const struct hs_segment_key *key, uint64_t slot,
                   uint64_t now)
{
  struct flow *flow = hs_flow_table_find (steering->flows, key);
  const struct hs_backend *backend = hs_fleet_find (steering->fleet, slot);

  if (flow == NULL || !flow->is_asked_for || flow->presumed == slot)
    return;
  if (backend == NULL || is_denied_by (flow, slot))
    {
      if (flow->scope == SCOPE_HOME)
        widen (steering, flow, now);
      return;
    }
  flow->presumed = slot;
  steering->ops.release (steering->ctx, key, backend, true);
}

void
hs_steering_tick (struct hs_steering *steering, uint64_t now)
{
  hs_flow_table_expire (steering->flows, FLOW_IDLE_MS, now);
  HS_LIST_FOREACH (link, &steering->asking)
    {
      struct flow *flow = HS_LIST_ENTRY (link, struct flow, asking);

      uint64_t wait_ms = flow->rounds > 0
                             ? (uint64_t)ASK_AGAIN_MS << (flow->rounds - 1)
                             : 0;

      if (now - flow->asked_at < wait_ms)
        continue;
      if (flow->rounds < ASK_ROUNDS)
        widen (steering, flow, now);
      else
        stop_asking (flow);
    }
}

size_t
hs_steering_flows (const struct hs_steering *steering)
{
  return hs_flow_table_len (steering->flows);
}

/* Private definitions.  */

static struct hs_steer
steer_syn (struct hs_steering *steering, const struct hs_segment *segment,
           uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct flow *flow = hs_flow_table_find (steering->flows, &key);
  const struct hs_routing_rule *rule;

  if (steering->routing == NULL)
    return without (HS_STEER_DROP, HS_REASON_NOT_SETTLED);
  rule = hs_routing_find (steering->routing, &segment->to);
  if (rule == NULL)
    return without (HS_STEER_RESET, HS_REASON_NO_SERVICE);
  if (flow != NULL && flow->syn_seq == segment->seq && flow->tried_len > 0)
    {
      hs_flow_table_touch (steering->flows, &flow->base, now);
      return repeat_syn (steering, flow, segment, now);
    }
  flow = get_flow (steering, &key, now);
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
  stop_asking (flow);
  return place (steering, flow, now);
}

/* The caller counts its copies in the field ACK.  */
static struct hs_steer
repeat_syn (struct hs_steering *steering, struct flow *flow,
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
place (struct hs_steering *steering, struct flow *flow, uint64_t now)
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
  return without (HS_STEER_DROP, HS_REASON_NO_UPSTREAM);
}

static struct hs_steer
to_holder (struct hs_steering *steering, struct flow *flow)
{
  return to_one (hs_fleet_find (steering->fleet, flow->holder), false);
}

static struct hs_steer
to_tried (struct hs_steering *steering, const struct flow *flow)
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

/* While agents are asked, SEGMENT waits with those before it.  */
static struct hs_steer
hold (struct hs_steering *steering, struct flow *flow,
      const struct hs_segment *segment, uint64_t now)
{
  struct hs_steer steer = without (HS_STEER_HOLD, HS_REASON_NONE);

  flow->caller_seq = segment->seq;
  if ((segment->flags & HS_SEGMENT_ACK) != 0)
    flow->caller_ack = segment->ack;
  if (flow->is_asked_for)
    return steer;
  if (flow->is_lost && now - flow->lost_at < LOST_MS)
    return without (HS_STEER_RESET, HS_REASON_WRONG_HOST);
  set_asked_service (steering, flow);
  flow->holder = 0;
  flow->tried_len = 0;
  flow->denied_len = 0;
  flow->scope = SCOPE_HOME;
  flow->presumed = 0;
  flow->rounds = 0;
  steer.asked = ask_round (steering, flow, now);
  if (steer.asked == 0)
    return without (HS_STEER_DROP, HS_REASON_NO_UPSTREAM);
  flow->is_asked_for = true;
  hs_list_append (&steering->asking, &flow->asking);
  return steer;
}

/* Asks those of the narrowest scope in which anybody is left to ask, as far
   as the link takes questions; returns how many there are.  */
static size_t
ask_round (struct hs_steering *steering, struct flow *flow, uint64_t now)
{
  const struct hs_backend *wanted[HS_STEER_ASKED_MAX];
  size_t len = collect (steering, flow, wanted, now);
  struct hs_segment segment = segment_of (flow);

  while (len == 0 && flow->scope != SCOPE_ALL)
    {
      flow->scope++;
      len = collect (steering, flow, wanted, now);
    }
  flow->asked_at = now;
  if (!hs_link_takes_questions (steering->link, len, now))
    return len;
  flow->rounds++;
  for (size_t i = 0; i < len; i++)
    steering->ops.ask (steering->ctx, wanted[i], &segment);
  return len;
}

/* Those in scope that have not denied it.  */
static size_t
collect (struct hs_steering *steering, const struct flow *flow,
         const struct hs_backend **wanted, uint64_t now)
{
  const struct hs_backend *backends[HS_STEER_ASKED_MAX];
  size_t len = hs_fleet_of_service (steering->fleet, flow->asked_service,
                                    backends, HS_STEER_ASKED_MAX, now);
  const struct hs_backend *home = home_of (flow, backends, len);
  size_t wanted_len = 0;

  for (size_t i = 0; i < len; i++)
    if (is_in_scope (flow->scope, backends[i], home)
        && !is_denied_by (flow, backends[i]->report.slot))
      wanted[wanted_len++] = backends[i];
  return wanted_len;
}

/* Those asked do not know, or a question or its answer was lost.  */
static void
widen (struct hs_steering *steering, struct flow *flow, uint64_t now)
{
  if (flow->scope != SCOPE_ALL)
    flow->scope++;
  ask_round (steering, flow, now);
}

static void
note (struct hs_steering *steering, struct flow *flow, uint64_t now)
{
  const struct hs_backend *backends[HS_STEER_ASKED_MAX];
  const struct hs_backend *home;
  size_t len;

  flow->noted = true;
  set_asked_service (steering, flow);
  len = hs_fleet_of_service (steering->fleet, flow->asked_service, backends,
                             HS_STEER_ASKED_MAX, now);
  home = home_of (flow, backends, len);
  if (home != NULL && home->report.slot != flow->holder)
    steering->ops.note (steering->ctx, home, &flow->base.key, flow->holder);
}

/* The route may have been moved or dropped since the flow was opened.  */
static void
set_asked_service (const struct hs_steering *steering, struct flow *flow)
{
  const struct hs_routing_rule *rule
      = steering->routing != NULL
            ? hs_routing_find (steering->routing, &flow->base.key.address)
            : NULL;

  flow->asked_service
      = rule != NULL && rule->splits_len == 1 ? rule->splits[0].service : 0;
}

/* The same at every entry that knows the same agents.  */
static const struct hs_backend *
home_of (const struct flow *flow, const struct hs_backend **backends,
         size_t len)
{
  const struct hs_backend *home = NULL;
  uint64_t best = 0;

  for (size_t i = 0; i < len; i++)
    {
      uint64_t score
          = hs_rank_score (flow->base.node.hash, backends[i]->report.slot);

      if (home != NULL && score <= best)
        continue;
      home = backends[i];
      best = score;
    }
  return home;
}

static bool
is_in_scope (enum scope scope, const struct hs_backend *backend,
             const struct hs_backend *home)
{
  switch (scope)
    {
    case SCOPE_HOME:
      return backend == home;
    case SCOPE_ZONE:
      return backend->in_zone;
    case SCOPE_ALL:
      break;
    }
  return true;
}

static void
stop_asking (struct flow *flow)
{
  if (!flow->is_asked_for)
    return;
  flow->is_asked_for = false;
  hs_list_remove (&flow->asking);
}

static void
on_flow_gone (void *ctx, struct hs_segment_flow *base)
{
  (void)ctx;
  stop_asking ((struct flow *)base);
}

/* What the caller of FLOW sent last, without payload.  */
static struct hs_segment
segment_of (const struct flow *flow)
{
  return (struct hs_segment){ .from = flow->base.key.caller,
                              .to = flow->base.key.address,
                              .flags = HS_SEGMENT_ACK,
                              .seq = flow->caller_seq,
                              .ack = flow->caller_ack };
}

/* What was denied before all agents were known counts now.  */
static void
on_complete (void *ctx, struct hs_segment_flow *base)
{
  struct hs_steering *steering = ctx;

  reset_if_denied (steering, (struct flow *)base, steering->now);
}

/* A flow that was reset is asked for anew if its caller goes on.  */
static void
reset_if_denied (struct hs_steering *steering, struct flow *flow, uint64_t now)
{
  struct hs_segment segment = segment_of (flow);

  if (flow->denied_len == 0 || flow->holder != 0 || flow->tried_len > 0
      || !is_denied_by_all (steering, flow, SCOPE_ALL, now))
    return;
  flow->denied_len = 0;
  flow->is_lost = true;
  flow->lost_at = now;
  stop_asking (flow);
  steering->ops.reset (steering->ctx, &segment);
}

static bool
is_denied_by (const struct flow *flow, uint64_t slot)
{
  for (size_t i = 0; i < flow->denied_len; i++)
    if (flow->denied[i] == slot)
      return true;
  return false;
}

/* By all in SCOPE.  An agent that is not heard of at present may hold the
   flow.  */
static bool
is_denied_by_all (const struct hs_steering *steering, const struct flow *flow,
                  enum scope scope, uint64_t now)
{
  const struct hs_backend *backends[HS_STEER_ASKED_MAX];
  size_t len = hs_fleet_of_service (steering->fleet, flow->asked_service,
                                    backends, HS_STEER_ASKED_MAX, now);
  const struct hs_backend *home = home_of (flow, backends, len);

  for (size_t i = 0; i < len; i++)
    if (is_in_scope (scope, backends[i], home)
        && !is_denied_by (flow, backends[i]->report.slot))
      return false;
  return len > 0 && len < HS_STEER_ASKED_MAX;
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
without (enum hs_steer_kind kind, enum hs_reason reason)
{
  return (struct hs_steer){ .kind = kind, .reason = reason };
}

static struct hs_steer
overloaded (const struct hs_steering *steering, const struct flow *flow,
            uint64_t now)
{
  struct hs_steer steer = without (HS_STEER_RESET, HS_REASON_OVERLOADED);

  steer.least_busy = hs_fleet_least_busy (steering->fleet, flow->service, now);
  return steer;
}

static struct hs_steer
link_full (const struct hs_steering *steering, uint64_t now)
{
  struct hs_steer steer = without (HS_STEER_RESET, HS_REASON_OVERLOADED);

  steer.link_ms = hs_link_queue_ms (steering->link, now);
  return steer;
}

static struct flow *
get_flow (struct hs_steering *steering, const struct hs_segment_key *key,
          uint64_t now)
{
  struct flow *flow = hs_flow_table_find (steering->flows, key);

  if (flow == NULL)
    return hs_flow_table_add (steering->flows, key, now);
  hs_flow_table_touch (steering->flows, &flow->base, now);
  return flow;
}

static void
untry (struct flow *flow, uint64_t slot)
{
  size_t len = 0;

  for (size_t i = 0; i < flow->tried_len; i++)
    if (flow->tried[i] != slot)
      flow->tried[len++] = flow->tried[i];
  flow->tried_len = len;
}
