/* ownership_state.h -- the state of struct hs_ownership and the functions
   that its source files share.  */

#ifndef HS_FLOW_OWNERSHIP_STATE_H
#define HS_FLOW_OWNERSHIP_STATE_H

#include "flow/peer.h"

/* Types.  */

/* Time after which a push without acknowledgement is resent: the minimum at
   first, doubled with each resend up to the maximum.  */
#define RESEND_MIN_MS 200
#define RESEND_MAX_MS 6400
#define BACKUPS_NORMAL 2 /* Backups if none of them is draining.  */
#define CONFIRM_TIMEOUT_MS 1500
/* A suspect owner that has not answered a query for this long loses the
   flow.  */
#define SUSPECT_OWNER_TIMEOUT_MS 3000
#define LOOKUPS_MAX 4096
#define LOOKUP_LIFETIME_MS 5000 /* Lifetime of an unused result.  */
#define STORED_RECORDS_MAX (2 * HS_FLOWS_MAX)

/* Ownership record of a flow that another agent owns.  */
struct stored_record
{
  struct hs_table_node node;
  struct hs_list link; /* Oldest first.  */
  struct hs_flow_key key;
  uint64_t owner_id;
  uint64_t opened_view; /* Number of the view it was opened in.  */
  bool uncertain;       /* This directory assigned the flow as uncertain, and
                           the owner has not yet reported opening it.  */
};

enum lookup_result
{
  LOOKUP_PENDING,
  LOOKUP_UNOWNED,  /* No member owns the flow.  */
  LOOKUP_UNCERTAIN /* A member that may own it has not answered.  */
};

/* A flow whose owner this directory looks up at the other members.  */
struct lookup
{
  struct hs_table_node node;
  struct hs_list link; /* Oldest first.  */
  struct hs_flow_key key;
  uint64_t queried_at; /* ms; start of the current timeout.  */
  enum lookup_result result;
  uint64_t missing_id;      /* The only member that gave no answer, set when
                               the others are queried to rule it out as the
                               owner; 0: not set yet.  */
  size_t unresponsive_len;  /* Members that are not waited for, because they
                               left an earlier query unanswered.  */
  uint64_t unresponsive_id; /* The last of them.  */
  size_t pending_len;
  uint64_t *pending_ids; /* Members that have not answered.  */
};

/* Non-idempotent work that waits until the backups of its flow confirm that
   no other agent owns the flow.  */
struct confirmation
{
  struct hs_list link; /* Oldest first.  */
  struct hs_flow_key key;
  uint64_t id;
  uint64_t started_at; /* ms  */
  size_t pending_len;
  uint64_t pending_ids[HS_BACKUPS_MAX]; /* Backups that have not answered.  */
};

struct hs_ownership
{
  const struct hs_catalog *catalog;
  uint32_t service_id; /* 0: not known yet.  */
  uint64_t self_id;
  uint64_t incarnation;
  bool draining;
  struct hs_ownership_ops ops;
  void *ctx;
  struct hs_view *view;          /* In force here; NULL: none.  */
  struct hs_view *previous_view; /* In force before VIEW; NULL: none.  */
  uint64_t fenced_view;          /* Highest view number seen in a packet or a
                                    message.  No flow is opened in an earlier
                                    view.  */
  bool was_suspect;              /* Suspect in the last view applied.  */
  bool had_all_transfers;        /* Has at some time received the complete
                                    state transfer of every reachable member
                                    in one view.  */
  struct hs_list peers;
  struct hs_entry_path last_path; /* Path of the last packet, of any flow, that
                                     came directly from an entry.  */
  struct hs_table *flows;         /* Owned here.  */
  struct hs_list flows_lru;       /* Least recently active first.  */
  struct hs_table *records;       /* Owned by others.  */
  struct hs_list record_list;
  struct hs_table *lookups;
  struct hs_list lookup_list;
  struct hs_list confirmations;
  uint64_t last_confirmation_id;
  struct hs_ownership_stats stats;
};

/* ownership.c: flows owned here  */

bool hs_ownership_is_directory (const struct hs_ownership *ownership,
                                const struct hs_flow_key *key);

/* Opens a flow and queues its ownership record for the backups.  The flow
   belongs to OWNERSHIP.  NULL: HS_FLOWS_MAX is reached.  */
struct hs_flow *hs_ownership_open_flow (struct hs_ownership *ownership,
                                        const struct hs_flow_key *key,
                                        uint64_t opened_view, bool uncertain,
                                        uint64_t now);

/* Queues the removal of the ownership record for the backups, calls "closed"
   and frees FLOW.  */
void hs_ownership_close_flow (struct hs_ownership *ownership,
                              struct hs_flow *flow);

/* ownership_records.c: ownership records of flows that other agents own  */

/* NULL: there is no record.  */
struct stored_record *
hs_ownership_find_record (const struct hs_ownership *ownership,
                          const struct hs_flow_key *key);

/* Adds or replaces a record.  Once STORED_RECORDS_MAX is reached, a new record
   evicts the oldest.  */
void hs_ownership_put_record (struct hs_ownership *ownership,
                              const struct hs_flow_key *key, uint64_t owner_id,
                              uint64_t opened_view);
void hs_ownership_remove_record (struct hs_ownership *ownership,
                                 struct stored_record *record);

/* Removes the records of owners that are not in the view.  */
void hs_ownership_remove_stale_records (struct hs_ownership *ownership);

/* ownership_lookups.c: owner lookups and confirmations  */

/* NULL: no lookup of the flow is in progress.  */
struct lookup *hs_ownership_find_lookup (const struct hs_ownership *ownership,
                                         const struct hs_flow_key *key);

/* Queries every member whose state transfer is not complete.  If there is
   none, the result is set on return.  NULL: LOOKUPS_MAX is reached.  */
struct lookup *hs_ownership_start_lookup (struct hs_ownership *ownership,
                                          const struct hs_flow_key *key,
                                          uint64_t now);

/* Whether this agent, without a record of the flow, can rule out that PEER
   owns it: this agent was a backup of the flow when the last state transfer
   of PEER was completed, and has been running since.  */
bool hs_ownership_can_rule_out (const struct hs_ownership *ownership,
                                const struct hs_peer *peer,
                                const struct hs_flow_key *key);

/* Handles the answer of member AGENT_ID that it does not own the flow; the end
   of its state transfer counts as one.  RULED_OUT: it also rules out the
   missing member as the owner.  */
void hs_ownership_handle_not_owned (struct hs_ownership *ownership,
                                    struct lookup *lookup, uint64_t agent_id,
                                    bool ruled_out);
void hs_ownership_expire_lookups (struct hs_ownership *ownership,
                                  uint64_t now);
void hs_ownership_remove_lookup (struct hs_ownership *ownership,
                                 struct lookup *lookup);

/* Sends CONFIRM to the backups that have not answered.  Does nothing until
   every reachable member has acknowledged the state transfer from this
   agent.  */
void hs_ownership_send_confirm (struct hs_ownership *ownership,
                                const struct confirmation *confirmation);

/* Frees CONFIRMATION and reports it to the "confirmed" callback.  */
void hs_ownership_finish_confirmation (struct hs_ownership *ownership,
                                       struct confirmation *confirmation,
                                       bool may_run);
void hs_ownership_expire_confirmations (struct hs_ownership *ownership,
                                        uint64_t now);

/* Whether every reachable member has completed its state transfer to this
   agent in the view in force.  */
bool hs_ownership_has_all_transfers (const struct hs_ownership *ownership);
void hs_ownership_handle_confirm (struct hs_ownership *ownership,
                                  struct hs_peer *peer,
                                  const struct hs_flow_message *message);
void hs_ownership_handle_confirmed (struct hs_ownership *ownership,
                                    const struct hs_peer *peer,
                                    const struct hs_flow_message *message);

/* ownership_peers.c: state transfer to the other members  */

/* Makes the list of peers match the view and restarts their streams.  */
void hs_ownership_update_peers (struct hs_ownership *ownership);

/* Queues for each member the records that it needs in a new view.  */
void hs_ownership_requeue_records (struct hs_ownership *ownership);

/* Fills BACKUPS, of HS_BACKUPS_MAX, with the members of VIEW that keep the
   ownership record of a flow, by rank; returns how many.  */
size_t hs_ownership_select_backups (const struct hs_view *view, uint64_t hash,
                                    const struct hs_member **backups);
bool hs_ownership_is_backup (const struct hs_view *view, uint64_t hash,
                             uint64_t agent_id);

/* Queues the ownership record of FLOW for the backups that lack it.  */
void hs_ownership_update_backups (struct hs_ownership *ownership,
                                  struct hs_flow *flow);
void hs_ownership_handle_push_acked (struct hs_ownership *ownership,
                                     struct hs_peer *peer);

/* NULL: no other member of the view has that id.  */
struct hs_peer *hs_ownership_find_peer (const struct hs_ownership *ownership,
                                        uint64_t agent_id);

/* Sends the next push to PEER, or resends the outstanding one if due.  */
void hs_ownership_send_next_push (struct hs_ownership *ownership,
                                  struct hs_peer *peer, uint64_t now);

/* Sends a message with at most one record; RECORD may be NULL.  */
void hs_ownership_send (struct hs_ownership *ownership,
                        const struct hs_member *to,
                        enum hs_flow_message_type type, uint64_t seq,
                        const struct hs_ownership_record *record);

/* Like hs_ownership_send; RULED_OUT: see rules_out_missing in struct
   hs_flow_message.  */
void hs_ownership_send_reply (struct hs_ownership *ownership,
                              const struct hs_member *to,
                              enum hs_flow_message_type type, uint64_t seq,
                              const struct hs_ownership_record *record,
                              bool ruled_out);

/* ownership_messages.c: messages received from other members  */

void hs_ownership_handle_push (struct hs_ownership *ownership,
                               struct hs_peer *peer,
                               const struct hs_flow_message *message);
void hs_ownership_handle_query (struct hs_ownership *ownership,
                                const struct hs_flow_message *message);
void hs_ownership_handle_reply (struct hs_ownership *ownership,
                                struct hs_peer *peer,
                                const struct hs_flow_message *message);
void hs_ownership_handle_retry_later (struct hs_ownership *ownership,
                                      const struct hs_flow_message *message,
                                      uint64_t now);
void hs_ownership_handle_release (struct hs_ownership *ownership,
                                  const struct hs_flow_message *message);
struct hs_flow_key
hs_ownership_record_key (const struct hs_ownership *ownership,
                         const struct hs_ownership_record *record);

#endif /* HS_FLOW_OWNERSHIP_STATE_H */
