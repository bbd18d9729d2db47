/* forwarder_state.h -- the state of a forwarder, which forwarder.c and
   owner_lookup.c share.  */

#ifndef HS_SEGMENT_FORWARDER_STATE_H
#define HS_SEGMENT_FORWARDER_STATE_H

#include "segment/segment_flow_table.h"

/* Types.  */

/* Scope of an owner lookup: the agents that it queries.  A lookup starts with
   the first scope and widens it step by step.  */
enum lookup_scope
{
  LOOKUP_DIRECTORY,          /* The directory agent of the flow.  */
  LOOKUP_BACKUP_DIRECTORIES, /* Its backups, the next in the ranking.  */
  LOOKUP_ZONE,               /* Agents of the entry's availability zone.  */
  LOOKUP_SERVICE,            /* All agents of the route's service.  */
  LOOKUP_ALL                 /* The agents of every service.  */
};

/* Agents that keep the directory entry of a flow.  With one, a flow would have
   to be looked up at all agents once an agent that starts ranks first.  */
#define DIRECTORIES_MAX 3

struct hs_forwarder_flow
{
  struct hs_segment_flow base;
  uint64_t owner_id;  /* 0: not known.  */
  uint64_t opened_at; /* ms, of the latest SYN that was not a retransmission;
                         0: none was seen here.  */
  uint64_t directories_digest;     /* Of the agents that the owner was recorded
                                      at, and their incarnations, which lose
                                      their records; 0: none.  */
  uint64_t directories_checked_at; /* ms, when it was last compared.  */
  uint64_t service_id;
  enum hs_request_class request_class; /* Taken from the route.  */
  uint32_t slo_ms;                     /* Latency objective of the route.  */
  uint32_t priority;                   /* Taken from the route.  */
  uint32_t timeout_ms;                 /* Time limit of the route.  */
  uint64_t first_syn_at; /* ms, when the caller sent the first copy of the
                            latest SYN.  */
  uint32_t syn_seq;
  size_t syn_agent_ids_len;
  uint64_t syn_agent_ids[HS_SYN_AGENTS_MAX]; /* Agents that the SYN was sent
                                                to and that have not refused
                                                it.  */
  bool is_syn_held; /* The last of these agents holds the SYN.  */
  size_t refused_ids_len;
  uint64_t refused_ids[HS_SYN_AGENTS_MAX]; /* Agents that refused it.  */

  /* The owner lookup.  */
  struct hs_list lookup_link; /* In lookups of the forwarder.  */
  bool lookup_active;         /* LOOKUP_LINK is in that list.  */
  enum lookup_scope scope;
  uint64_t recorded_owner_id; /* Owner according to the directory, not yet
                                 confirmed by that agent; 0: none.  */
  unsigned int query_rounds;
  uint64_t queried_at; /* ms, of the latest round, also if the uplink refused
                          it.  */
  uint32_t caller_seq; /* Seq of the caller's latest queued segment.  */
  uint32_t caller_ack;
  uint64_t lookup_service_id; /* Up to LOOKUP_SERVICE, only agents of this
                                 service are queried; 0: of every service.  */
  size_t unknown_ids_len;
  uint64_t unknown_ids[DIRECTORIES_MAX]; /* Directory agents that have no entry
                                            and do not know whether they own
                                            the flow.  */
  size_t non_owner_ids_len;
  uint64_t *non_owner_ids; /* Agents that do not own the flow.  A child of the
                              flow.  */
  bool is_unowned;         /* No agent owned the flow at UNOWNED_AT.  */
  uint64_t unowned_at;     /* ms  */
};

struct hs_forwarder
{
  struct hs_agent_pool *pool;
  struct hs_uplink *uplink;
  struct hs_forwarder_ops ops;
  void *ctx;
  const struct hs_routing *routing; /* NULL: none yet.  */
  uint64_t flow_lifetime_ms;        /* Longest lifetime of a flow.  */
  bool pool_complete;               /* Every running agent has reported.  */
  uint64_t pool_complete_at; /* ms, of the latest update of POOL_COMPLETE.  */
  struct hs_segment_flow_table *flows;
  struct hs_list lookups; /* Flows whose owner is being looked up.  */
};

/* forwarder.c  */

/* Returns the decision to queue, reset or drop a segment.  */
struct hs_forward_decision
hs_forward_decision_without_agents (enum hs_forward_action action,
                                    enum hs_reason reason);

/* Returns the flow KEY, which is added if it is not known, and marks it as
   active at NOW.  */
struct hs_forwarder_flow *
hs_forwarder_find_or_add_flow (struct hs_forwarder *forwarder,
                               const struct hs_segment_key *key, uint64_t now);

/* Removes an agent that does not own the flow from those that the SYN was
   sent to.  */
void hs_forwarder_remove_syn_agent (struct hs_forwarder_flow *flow,
                                    uint64_t agent_id);

/* owner_lookup.c: finds the agent that owns a flow.  */

/* Decides on a segment of a flow without a known owner: queues it and starts a
   lookup, unless one is in progress.  The decision is to reset the caller if a
   recent lookup found no owner, and to drop the segment if there is no agent
   to query.  */
struct hs_forward_decision
hs_owner_lookup_queue_segment (struct hs_forwarder *forwarder,
                               struct hs_forwarder_flow *flow,
                               const struct hs_segment *segment, uint64_t now);

/* Reports the flow's owner to its directory agents, unless it was recorded at
   the same agents before.  */
void hs_owner_lookup_record_owner (struct hs_forwarder *forwarder,
                                   struct hs_forwarder_flow *flow,
                                   uint64_t now);
void hs_owner_lookup_stop (struct hs_forwarder_flow *flow);
void hs_owner_lookup_tick (struct hs_forwarder *forwarder, uint64_t now);

/* Resets the flow's caller if all possible owners have answered that they do
   not own the flow.  */
void hs_owner_lookup_reset_if_unowned (struct hs_forwarder *forwarder,
                                       struct hs_forwarder_flow *flow,
                                       uint64_t now);

#endif /* HS_SEGMENT_FORWARDER_STATE_H */
