/* held_syns.c -- the SYNs that an agent holds until its upstream has room.  */

#include "agent/held_syns.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Time for which a SYN is held at most, by which the room for more is
   reported.  */
#define TYPICAL_HOLD_MS 1000

/* SYNs released at once: each slot of an upstream takes one.  */
#define RELEASES_MAX 16

struct held_syn
{
  struct hs_held_syn base;
  struct hs_segment segment;
  struct hs_syn_terms terms;
  size_t len; /* Bytes.  */
  uint8_t bytes[HS_HELD_SYN_SIZE_MAX];
};

struct hs_held_syns
{
  struct hs_sidecar *sidecar;
  struct hs_syn_queue *queue;
  struct hs_held_syns_ops ops;
  void *ctx;
};

/* Private functions.  */

static bool may_hold (struct hs_held_syns *held, size_t len,
                      const struct hs_syn_terms *terms,
                      const struct hs_sidecar_decision *decision,
                      uint64_t now);
static bool is_for_want_of_room (const struct hs_sidecar_decision *decision);
static bool release_next (struct hs_held_syns *held, uint64_t now);
static struct hs_sidecar_decision
decide (struct hs_held_syns *held, const struct held_syn *syn, uint64_t now);
static void finish (struct hs_held_syns *held, struct held_syn *syn,
                    struct hs_sidecar_decision *decision, uint64_t now);

/* Public definitions.  */

struct hs_held_syns *
hs_held_syns_create (void *parent, struct hs_sidecar *sidecar,
                     const struct hs_held_syns_ops *ops, void *ctx)
{
  struct hs_held_syns *held = talloc_zero (parent, struct hs_held_syns);

  held->sidecar = sidecar;
  held->queue = hs_syn_queue_create (held);
  held->ops = *ops;
  held->ctx = ctx;
  return held;
}

void
hs_held_syns_destroy (struct hs_held_syns *held)
{
  talloc_free (held);
}

/* A copy of a held SYN takes no second place.  */
bool
hs_held_syns_filter (struct hs_held_syns *held,
                     const struct hs_segment *segment, const uint8_t *bytes,
                     size_t len, const struct hs_syn_terms *terms,
                     const struct hs_sidecar_decision *decision, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_held_syn *earlier = hs_syn_queue_find (held->queue, &key);
  struct held_syn *syn;

  if (earlier != NULL && is_for_want_of_room (decision)
      && ((struct held_syn *)earlier)->segment.seq == segment->seq)
    return true;
  if (earlier != NULL)
    {
      hs_syn_queue_remove (held->queue, earlier);
      talloc_free (earlier);
    }
  if (!may_hold (held, len, terms, decision, now))
    return false;
  syn = talloc_zero (held, struct held_syn);
  syn->base.key = key;
  syn->base.priority = terms->priority;
  syn->segment = *segment;
  syn->terms = *terms;
  syn->len = len;
  memcpy (syn->bytes, bytes, len);
  hs_syn_queue_hold (held->queue, &syn->base, terms->wait_max_ms,
                     terms->hold_max_ms, now);
  return true;
}

void
hs_held_syns_release (struct hs_held_syns *held, uint64_t now)
{
  for (size_t i = 0; i < RELEASES_MAX && release_next (held, now); i++)
    ;
}

void
hs_held_syns_tick (struct hs_held_syns *held, uint64_t now)
{
  struct hs_sidecar_decision refusal
      = { .action = HS_SIDECAR_REFUSE, .reason = HS_REASON_OVERLOADED };
  struct hs_held_syn *syn;

  hs_held_syns_release (held, now);
  while ((syn = hs_syn_queue_take_expired (held->queue, now)) != NULL)
    finish (held, (struct held_syn *)syn, &refusal, now);
  while (!hs_sidecar_accepts_flows (held->sidecar)
         && (syn = hs_syn_queue_take_any (held->queue)) != NULL)
    {
      struct hs_sidecar_decision decision
          = decide (held, (struct held_syn *)syn, now);

      finish (held, (struct held_syn *)syn, &decision, now);
    }
}

size_t
hs_held_syns_len (const struct hs_held_syns *held)
{
  return hs_syn_queue_len (held->queue);
}

uint32_t
hs_held_syns_room (struct hs_held_syns *held, uint64_t now)
{
  if (!hs_sidecar_accepts_flows (held->sidecar))
    return 0;
  return hs_syn_queue_room (held->queue, hs_sidecar_slots (held->sidecar),
                            hs_sidecar_learned_work_us (held->sidecar),
                            TYPICAL_HOLD_MS, now);
}

/* Private definitions.  */

/* A SYN that is refused since the upstream is cold goes to another agent: the
   room for it comes at the rate that the upstream bears, not as slots get
   free.  */
static bool
may_hold (struct hs_held_syns *held, size_t len,
          const struct hs_syn_terms *terms,
          const struct hs_sidecar_decision *decision, uint64_t now)
{
  return decision->action == HS_SIDECAR_REFUSE
         && decision->reason == HS_REASON_OVERLOADED && terms->hold_max_ms > 0
         && len <= HS_HELD_SYN_SIZE_MAX
         && hs_syn_queue_room (held->queue, hs_sidecar_slots (held->sidecar),
                               hs_sidecar_learned_work_us (held->sidecar),
                               terms->hold_max_ms, now)
                > 0;
}

static bool
is_for_want_of_room (const struct hs_sidecar_decision *decision)
{
  return decision->action == HS_SIDECAR_REFUSE
         && (decision->reason == HS_REASON_OVERLOADED
             || decision->reason == HS_REASON_WARMING_UP);
}

/* Returns whether a SYN was released.  */
static bool
release_next (struct hs_held_syns *held, uint64_t now)
{
  struct hs_held_syn *next = hs_syn_queue_next (
      held->queue, hs_sidecar_has_idle_slot (held->sidecar, now), now);
  struct hs_sidecar_decision decision;

  if (next == NULL)
    return false;
  decision = decide (held, (struct held_syn *)next, now);
  if (is_for_want_of_room (&decision))
    return false;
  hs_syn_queue_release (held->queue, next, now);
  finish (held, (struct held_syn *)next, &decision, now);
  return true;
}

/* A request that will be late in any case may wait as long as it takes: it is
   offered to an idle slot only.  */
static struct hs_sidecar_decision
decide (struct hs_held_syns *held, const struct held_syn *syn, uint64_t now)
{
  uint32_t wait_max_ms = now < syn->base.in_time_until
                             ? (uint32_t)(syn->base.in_time_until - now)
                             : 0;

  return hs_sidecar_handle_entry_segment (
      held->sidecar, &syn->segment, &syn->terms.entry, syn->terms.service_id,
      wait_max_ms, syn->terms.cold_flow_rate, false, now);
}

/* SYN is no longer in the queue.  */
static void
finish (struct hs_held_syns *held, struct held_syn *syn,
        struct hs_sidecar_decision *decision, uint64_t now)
{
  struct hs_released_syn released = { .segment = syn->segment,
                                      .terms = syn->terms,
                                      .bytes = syn->bytes,
                                      .len = syn->len,
                                      .held_ms = now - syn->base.held_since };

  decision->entry = syn->terms.entry;
  held->ops.released (held->ctx, &released, decision);
  talloc_free (syn);
}
