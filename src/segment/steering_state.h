/* steering_state.h -- the state of an entry's steering, for the files of this
   package.  */

#ifndef HS_SEGMENT_STEERING_STATE_H
#define HS_SEGMENT_STEERING_STATE_H

#include "segment/flow_table.h"

/* Types.  */

/* Who is asked for a flow.  */
enum scope
{
  SCOPE_HOME,
  SCOPE_ZONE, /* Agents of the own availability zone.  */
  SCOPE_ALL
};

struct hs_steered
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

/* steering.c  */

struct hs_steer hs_steering_without (enum hs_steer_kind kind,
                                     enum hs_reason reason);
struct hs_steered *hs_steering_get (struct hs_steering *steering,
                                    const struct hs_segment_key *key,
                                    uint64_t now); /* Known, or new.  */
void hs_steering_untry (struct hs_steered *flow,
                        uint64_t slot); /* It was not offered the SYN.  */

/* asking.c: who holds a flow  */

struct hs_steer hs_asking_hold (struct hs_steering *steering,
                                struct hs_steered *flow,
                                const struct hs_segment *segment,
                                uint64_t now);
void hs_asking_note (struct hs_steering *steering, struct hs_steered *flow,
                     uint64_t now); /* Its home is told.  */
void hs_asking_stop (struct hs_steered *flow);
void hs_asking_tick (struct hs_steering *steering, uint64_t now);
void hs_asking_reset_if_denied (struct hs_steering *steering,
                                struct hs_steered *flow, uint64_t now);

#endif /* HS_SEGMENT_STEERING_STATE_H */
