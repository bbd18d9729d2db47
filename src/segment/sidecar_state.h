/* sidecar_state.h -- the state of a sidecar, shared by the sidecar*.c files.
 */

#ifndef HS_SEGMENT_SIDECAR_STATE_H
#define HS_SEGMENT_SIDECAR_STATE_H

#include "segment/segment_flow_table.h"

/* Heartbeat intervals without a heartbeat after which the upstream counts as
   silent.  */
#define HS_HEARTBEATS_MISSED_MAX 3

enum hs_sidecar_flow_state
{
  FLOW_SYN_SENT,        /* The SYN was delivered to the upstream.  */
  FLOW_SYN_ANSWERED,    /* The upstream has sent a SYN+ACK; the caller may
                           still complete the handshake of another upstream
                           that got a copy of the SYN.  */
  FLOW_OPEN,            /* The handshake is complete.  */
  FLOW_PRESUMED_CLOSED, /* Not recorded, but an entry knows this agent as
                           the owner: most likely both ends have closed
                           it.  */
  FLOW_PROBING,         /* Not recorded; a segment was delivered to find out
                           whether the upstream owns the flow.  */
  FLOW_NOT_OWNED        /* The upstream has returned or reset a segment.  */
};

struct hs_sidecar_flow
{
  struct hs_segment_flow base;
  enum hs_sidecar_flow_state state;
  struct hs_addr entry; /* Entry that sent the latest segment.  */
  uint32_t syn_seq;
  uint32_t upstream_isn; /* Sequence number of the SYN+ACK.  */
  bool has_upstream_isn; /* The next field is set, too.  */
  uint32_t upstream_end; /* Sequence number after all that the upstream
                            has sent.  */
  uint32_t last_caller_ack;
  bool owes_lookup_answer;     /* FLOW_PROBING: the entry waits for one.  */
  bool is_recovered;           /* Was open before this agent started.  */
  bool has_caller_end;         /* CALLER_END is set.  */
  uint32_t caller_end;         /* Sequence number after the caller's payload
                                  so far.  */
  bool request_active;         /* A request is in progress.  */
  struct hs_list request_link; /* In active_requests, if REQUEST_ACTIVE.  */
  bool is_uncertain_request;   /* It may be a copy of an answered one.  */
  uint64_t request_started_at; /* ms  */
  uint32_t requests_at_start;  /* Requests in progress when it started,
                                  including it.  */
  bool has_slot;               /* The request occupies a slot.  */
  uint64_t slot_since;         /* ms, if HAS_SLOT.  */
  struct hs_list wait_link;    /* In waiting_requests, if REQUEST_ACTIVE and
                                  not HAS_SLOT.  */
  bool is_open;                /* Counted in open_flows of the sidecar.  */
  uint64_t opened_at;          /* ms, if IS_OPEN.  */
  uint64_t answered_at;        /* Latest segment of the upstream but a reset,
                                  ms; 0: none.  */
  bool is_dormant;             /* Open, and silent for longer than the idle
                                  timeout; counted in dormant_flows.  */
  struct hs_list pending_link; /* In pending_syns of the sidecar.  */
  bool is_pending;             /* PENDING_LINK is in that list.  */
  uint64_t syn_at;             /* ms, if IS_PENDING.  */
  bool caller_closed;
  bool upstream_closed;
};

struct hs_sidecar
{
  char service_name[HS_NAME_SIZE];
  uint64_t service_id;
  struct hs_addr upstream;
  uint64_t heartbeat_ms;         /* Interval of the heartbeats.  */
  uint64_t started_at;           /* Wall clock of the agent's start, ms.  */
  uint64_t first_tick_at;        /* ms; 0: not yet.  */
  uint64_t flow_lifetime_ms;     /* Longest lifetime of a flow.  */
  uint64_t flow_idle_generation; /* Of the configuration that FLOW_IDLE_MS is
                                    from; 0: none yet.  */
  uint32_t flow_idle_ms;
  struct hs_sidecar_ops ops;
  void *ctx;
  struct hs_segment_flow_table *flows;
  bool is_draining; /* The agent stops.  */
  bool is_evacuated;
  struct hs_warm_up *warm_up; /* Counts the new flows.  */
  uint32_t cold_flow_rate;    /* Of the latest SYN.  */

  /* State of the upstream's present incarnation.  */
  enum hs_upstream_state state;
  bool began_here; /* It started in the agent's life: the agent knows all of
                      its flows.  */
  struct hs_heartbeat last_heartbeat;
  uint64_t last_heard_at; /* Time of last_heartbeat, ms.  */
  uint64_t last_sent_at;  /* ms, when it was sent at the latest.  */
  struct hs_heartbeat previous_heartbeat; /* Latest of the incarnation that was
                                             followed before; started_at 0:
                                             none.  */
  uint64_t previous_sent_at; /* ms, when it was sent at the latest.  */
  uint64_t last_answer_at; /* Its latest segment of a flow that was open before
                              last_heard_at, ms; 0: none.  */
  bool lost_flow;          /* It has returned a segment of a flow that it owned
                              since LAST_HEARD_AT.  */
  uint64_t cold_until;     /* End of the slow phase after a start, ms.  */
  bool is_assumed_cold;    /* An evacuation has ended, and no heartbeat has
                              told since whether the upstream is cold.  */
  uint64_t evacuated_until; /* ms, if IS_ASSUMED_COLD.  */
  uint64_t recovery_until;  /* End of the flow recovery, ms; 0: ended.  */
  uint64_t last_segment_at; /* Time of the upstream's last segment, ms.  */
  uint32_t initial_resets;  /* Resets before any other segment.  */
  bool sent_non_reset;      /* Some segment was not a reset.  */
  uint64_t syn_unanswered_since; /* First SYN after the upstream's last
                                    segment, ms; 0: none.  */
  bool rejects_syns;             /* The upstream has returned the latest SYN
                                    and sent no other segment or heartbeat
                                    since.  */

  /* Another incarnation that a heartbeat has claimed.  */
  struct hs_heartbeat claim; /* Its latest; started_at 0: none.  */
  uint64_t claimed_since;    /* ms, arrival of its first heartbeat.  */
  uint64_t claim_heard_at;   /* ms, arrival of CLAIM.  */
  uint64_t claim_start;      /* ms, its earliest possible start.  */

  uint32_t requests_in_progress;
  struct hs_list active_requests;  /* Flows with a request in progress, oldest
                                      request first.  */
  struct hs_list waiting_requests; /* Those of them whose request waits for a
                                      slot, oldest first.  */
  uint32_t slots_taken;            /* By the other ones.  */
  struct hs_list pending_syns; /* Flows whose first request is about to come,
                                  oldest first.  */
  uint32_t pending_syns_len;
  double abandoned_share; /* Of the SYNs, those whose request never came.  */
  double handshake_ms; /* Mean time from a SYN to its request; 0: not known. */
  uint32_t capacity; /* Requests that the upstream takes, queued ones included;
                        0: not known.  */
  uint64_t capacity_changed_at; /* ms  */
  uint32_t open_flows;
  uint32_t dormant_flows; /* Of OPEN_FLOWS.  */
  uint32_t mean_work_us;  /* Mean time that a request occupies a slot.  */
  struct hs_cost_model *costs;
};

/* sidecar_incarnation.c: the incarnation of the upstream.  */

/* Believes a claim that the present incarnation no longer disproves.  */
void hs_sidecar_check_claim (struct hs_sidecar *sidecar, uint64_t now);

/* The upstream has returned a segment of a flow that it owned.  */
void hs_sidecar_note_lost_flow (struct hs_sidecar *sidecar);

/* The upstream has sent a segment of FLOW that is no reset.  */
void hs_sidecar_note_answer (struct hs_sidecar *sidecar,
                             struct hs_sidecar_flow *flow, uint64_t now);

/* sidecar.c: segments and flows.  */

/* Returns the time in ms for which the upstream is cold, or counts as such; 0:
   it is warm.  */
uint32_t hs_sidecar_cold_ms (const struct hs_sidecar *sidecar, uint64_t now);

/* sidecar_requests.c: requests, the slots that they occupy, and the work that
   is left.  */

/* Returns whether the request of a new flow would wait for a slot for longer
   than WAIT_MAX_MS (0: no limit).  */
bool hs_sidecar_would_wait_too_long (struct hs_sidecar *sidecar,
                                     uint32_t wait_max_ms, uint64_t now);

/* Records whether the first request of FLOW is about to come.  */
void hs_sidecar_set_syn_pending (struct hs_sidecar *sidecar,
                                 struct hs_sidecar_flow *flow, bool pending,
                                 uint64_t now);

/* SEGMENT of the caller has payload.  It begins a request unless one is in
   progress or all of its payload was seen before.  */
void hs_sidecar_begin_request (struct hs_sidecar *sidecar,
                               struct hs_sidecar_flow *flow,
                               const struct hs_segment *segment, uint64_t now);

/* The upstream has begun to answer on FLOW: learns from its request, if one is
   in progress, and ends it.  */
void hs_sidecar_end_request (struct hs_sidecar *sidecar,
                             struct hs_sidecar_flow *flow, uint64_t now);
void hs_sidecar_set_request_active (struct hs_sidecar *sidecar,
                                    struct hs_sidecar_flow *flow, bool active);

/* Gives free slots to the requests that have waited longest, as the upstream
   does.  */
void hs_sidecar_assign_slots (struct hs_sidecar *sidecar, uint64_t now);

/* Ends the requests that have been in progress for too long.  */
void hs_sidecar_expire_requests (struct hs_sidecar *sidecar, uint64_t now);

/* Raises the number of requests that the upstream is known to take, once in a
   while.  */
void hs_sidecar_raise_capacity (struct hs_sidecar *sidecar, uint64_t now);

/* Returns the expected time in slots that the upstream still needs for the
   requests in progress and those about to come, us.  */
uint32_t hs_sidecar_work_left_us (const struct hs_sidecar *sidecar,
                                  uint64_t now);

#endif /* HS_SEGMENT_SIDECAR_STATE_H */
