/* forwarder_state.h -- the state of an entry's steering, for the files of this
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

struct hs_forwarder_flow
{
  struct hs_segment_flow base;
  uint64_t owner_id;  /* Slot; 0: not known.  */
  uint64_t opened_at; /* ms  */
  bool is_recorded;   /* Its home knows of it.  */
  uint64_t service_id;
  enum hs_request_class request_class; /* Of its route.  */
  uint32_t slo_ms;                     /* Latency objective of its route.  */
  uint32_t priority;                   /* Of its route.  */
  uint32_t syn_seq;
  size_t syn_agent_ids_len;
  uint64_t
      syn_agent_ids[HS_SYN_AGENTS_MAX]; /* Slots that were offered the SYN.  */

  /* Of a flow that was asked for.  */
  struct hs_list lookup_link; /* While agents are asked.  */
  bool is_looked_up;          /* It is in that list.  */
  enum scope scope;
  uint64_t recorded_owner_id; /* Slot; said by its home, not yet by itself.  */
  unsigned int rounds;        /* Times it was asked for.  */
  uint64_t queried_at;        /* ms  */
  uint32_t caller_seq;        /* The latest of the caller.  */
  uint32_t caller_ack;
  uint64_t lookup_service_id; /* 0: any.  */
  size_t non_owner_ids_len;
  uint64_t *non_owner_ids; /* Slots of agents that do not hold it; a child.  */
  bool is_unowned;         /* All had denied it, ...  */
  uint64_t unowned_at;     /* ... at that time, ms.  */
};

struct hs_forwarder
{
  struct hs_agent_pool *pool;
  struct hs_uplink *uplink;
  struct hs_forwarder_ops ops;
  void *ctx;
  const struct hs_routing *routing; /* NULL: none yet.  */
  bool pool_complete; /* No agent that lives is missing in the fleet.  */
  uint64_t pool_complete_at; /* When that was said, ms.  */
  struct hs_flow_table *flows;
  struct hs_list lookups; /* Flows that agents are asked for.  */
};

/* forwarder.c  */

struct hs_forward_decision
hs_forward_decision_without_agents (enum hs_forward_action kind,
                                    enum hs_reason reason);
struct hs_forwarder_flow *
hs_forwarder_find_or_add_flow (struct hs_forwarder *steering,
                               const struct hs_segment_key *key,
                               uint64_t now); /* Known, or new.  */
void hs_forwarder_remove_syn_agent (
    struct hs_forwarder_flow *flow,
    uint64_t slot); /* It was not offered the SYN.  */

/* owner_lookup.c: who holds a flow  */

struct hs_forward_decision
hs_owner_lookup_queue_segment (struct hs_forwarder *steering,
                               struct hs_forwarder_flow *flow,
                               const struct hs_segment *segment, uint64_t now);
void hs_owner_lookup_record_owner (struct hs_forwarder *steering,
                                   struct hs_forwarder_flow *flow,
                                   uint64_t now); /* Its home is told.  */
void hs_owner_lookup_stop (struct hs_forwarder_flow *flow);
void hs_owner_lookup_tick (struct hs_forwarder *steering, uint64_t now);
void hs_owner_lookup_reset_if_unowned (struct hs_forwarder *steering,
                                       struct hs_forwarder_flow *flow,
                                       uint64_t now);

#endif /* HS_SEGMENT_STEERING_STATE_H */
