/* asking.c -- how an entry finds the agent that holds a flow.

   The flow's home is asked first, the first agent in its ranking, which
   entries tell of flows that stay; then the agents of the own availability
   zone, and last all.  The load answered here is the flows of an entry that
   has stopped, which come to the others all at once, and after a loss of
   power those of everybody, which nobody holds any more: a question is small,
   and the link bounds their number.  */

#include "segment/steering_state.h"

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

static size_t ask_round (struct hs_steering *steering, struct hs_steered *flow,
                         uint64_t now);
static size_t collect (struct hs_steering *steering,
                       const struct hs_steered *flow,
                       const struct hs_backend **wanted, uint64_t now);
static void widen (struct hs_steering *steering, struct hs_steered *flow,
                   uint64_t now);
static void set_asked_service (const struct hs_steering *steering,
                               struct hs_steered *flow);
static const struct hs_backend *home_of (const struct hs_steered *flow,
                                         const struct hs_backend **backends,
                                         size_t len);
static bool is_in_scope (enum scope scope, const struct hs_backend *backend,
                         const struct hs_backend *home);
static struct hs_segment segment_of (const struct hs_steered *flow);
static bool is_denied_by (const struct hs_steered *flow, uint64_t slot);
static bool is_denied_by_all (const struct hs_steering *steering,
                              const struct hs_steered *flow, enum scope scope,
                              uint64_t now);

/* Public definitions.  */

void
hs_steering_held (struct hs_steering *steering,
                  const struct hs_segment_key *key, uint64_t slot,
                  uint64_t now)
{
  struct hs_steered *flow = hs_steering_get (steering, key, now);
  const struct hs_backend *backend = hs_fleet_find (steering->fleet, slot);

  flow->holder = slot;
  flow->is_lost = false;
  if (!flow->is_asked_for || backend == NULL)
    return;
  hs_asking_stop (flow);
  if (flow->scope != SCOPE_HOME)
    hs_asking_note (steering, flow, now);
  flow->noted = true;
  steering->ops.release (steering->ctx, key, backend, false);
}

void
hs_steering_denied (struct hs_steering *steering,
                    const struct hs_segment_key *key, uint64_t slot,
                    uint64_t now)
{
  struct hs_steered *flow = hs_flow_table_find (steering->flows, key);

  if (flow == NULL)
    return;
  hs_steering_untry (flow, slot);
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
    hs_asking_reset_if_denied (steering, flow, now);
}

void
hs_steering_unsure (struct hs_steering *steering,
                    const struct hs_segment_key *key, uint64_t slot,
                    uint64_t now)
{
  struct hs_steered *flow = hs_flow_table_find (steering->flows, key);
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
  struct hs_steered *flow = hs_flow_table_find (steering->flows, key);
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

/* While agents are asked, SEGMENT waits with those before it.  */
struct hs_steer
hs_asking_hold (struct hs_steering *steering, struct hs_steered *flow,
                const struct hs_segment *segment, uint64_t now)
{
  struct hs_steer steer = hs_steering_without (HS_STEER_HOLD, HS_REASON_NONE);

  flow->caller_seq = segment->seq;
  if ((segment->flags & HS_SEGMENT_ACK) != 0)
    flow->caller_ack = segment->ack;
  if (flow->is_asked_for)
    return steer;
  if (flow->is_lost && now - flow->lost_at < LOST_MS)
    return hs_steering_without (HS_STEER_RESET, HS_REASON_WRONG_HOST);
  set_asked_service (steering, flow);
  flow->holder = 0;
  flow->tried_len = 0;
  flow->denied_len = 0;
  flow->scope = SCOPE_HOME;
  flow->presumed = 0;
  flow->rounds = 0;
  steer.asked = ask_round (steering, flow, now);
  if (steer.asked == 0)
    return hs_steering_without (HS_STEER_DROP, HS_REASON_NO_UPSTREAM);
  flow->is_asked_for = true;
  hs_list_append (&steering->asking, &flow->asking);
  return steer;
}

void
hs_asking_note (struct hs_steering *steering, struct hs_steered *flow,
                uint64_t now)
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

void
hs_asking_stop (struct hs_steered *flow)
{
  if (!flow->is_asked_for)
    return;
  flow->is_asked_for = false;
  hs_list_remove (&flow->asking);
}

/* A flow that was reset is asked for anew if its caller goes on.  */
void
hs_asking_reset_if_denied (struct hs_steering *steering,
                           struct hs_steered *flow, uint64_t now)
{
  struct hs_segment segment = segment_of (flow);

  if (flow->denied_len == 0 || flow->holder != 0 || flow->tried_len > 0
      || !is_denied_by_all (steering, flow, SCOPE_ALL, now))
    return;
  flow->denied_len = 0;
  flow->is_lost = true;
  flow->lost_at = now;
  hs_asking_stop (flow);
  steering->ops.reset (steering->ctx, &segment);
}

void
hs_asking_tick (struct hs_steering *steering, uint64_t now)
{
  HS_LIST_FOREACH (link, &steering->asking)
    {
      struct hs_steered *flow
          = HS_LIST_ENTRY (link, struct hs_steered, asking);
      uint64_t wait_ms = flow->rounds > 0
                             ? (uint64_t)ASK_AGAIN_MS << (flow->rounds - 1)
                             : 0;

      if (now - flow->asked_at < wait_ms)
        continue;
      if (flow->rounds < ASK_ROUNDS)
        widen (steering, flow, now);
      else
        hs_asking_stop (flow);
    }
}

/* Private definitions.  */

/* Asks those of the narrowest scope in which anybody is left to ask, as far
   as the link takes questions; returns how many there are.  */
static size_t
ask_round (struct hs_steering *steering, struct hs_steered *flow, uint64_t now)
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
collect (struct hs_steering *steering, const struct hs_steered *flow,
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
widen (struct hs_steering *steering, struct hs_steered *flow, uint64_t now)
{
  if (flow->scope != SCOPE_ALL)
    flow->scope++;
  ask_round (steering, flow, now);
}

/* The route may have been moved or dropped since the flow was opened.  */
static void
set_asked_service (const struct hs_steering *steering, struct hs_steered *flow)
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
home_of (const struct hs_steered *flow, const struct hs_backend **backends,
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

/* What the caller of FLOW sent last, without payload.  */
static struct hs_segment
segment_of (const struct hs_steered *flow)
{
  return (struct hs_segment){ .from = flow->base.key.caller,
                              .to = flow->base.key.address,
                              .flags = HS_SEGMENT_ACK,
                              .seq = flow->caller_seq,
                              .ack = flow->caller_ack };
}

static bool
is_denied_by (const struct hs_steered *flow, uint64_t slot)
{
  for (size_t i = 0; i < flow->denied_len; i++)
    if (flow->denied[i] == slot)
      return true;
  return false;
}

/* By all in SCOPE.  An agent that is not heard of at present may hold the
   flow.  */
static bool
is_denied_by_all (const struct hs_steering *steering,
                  const struct hs_steered *flow, enum scope scope,
                  uint64_t now)
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
