/* ownership_state.h -- the state of a holder, for the files of this package.
 */

#ifndef HS_FLOW_HOLDER_STATE_H
#define HS_FLOW_HOLDER_STATE_H

#include "flow/peer.h"

/* Types.  */

#define RESEND_MIN_MS 200
#define RESEND_MAX_MS 6400
#define BACKUPS_NORMAL 2
#define CONFIRM_TIMEOUT_MS 1500
#define LOST_MS 3000 /* Without an answer of a suspect holder.  */
#define LOOKUPS_MAX 4096
#define LOOKUP_LIFETIME_MS 5000
#define STORED_RECORDS_MAX (2 * HS_FLOWS_MAX)

/* A flow that another agent holds.  */
struct record
{
  struct hs_table_node node;
  struct hs_list link;
  struct hs_flow_key key;
  uint64_t holder; /* Slot.  */
  uint64_t opened_view;
  bool uncertain; /* Placed here, as such, and the holder has not told yet
                     that it has opened it.  */
};

enum answer
{
  LOOKUP_PENDING,
  LOOKUP_UNOWNED,  /* Nobody holds the flow.  */
  LOOKUP_UNCERTAIN /* Somebody could not be asked.  */
};

/* A flow that this home asks other members about.  */
struct question
{
  struct hs_table_node node;
  struct hs_list link; /* Oldest first.  */
  struct hs_flow_key key;
  uint64_t queried_at; /* ms  */
  enum answer result;
  uint64_t missing_id; /* Slot of the one that is done without, while members
                       that are settled are asked to vouch.  */
  size_t unresponsive_len;  /* Members not asked, as they do not answer.  */
  uint64_t unresponsive_id; /* Slot of the last of them.  */
  size_t pending_len;
  uint64_t *pending_ids; /* Slots that have not answered.  */
};

/* Work that waits for the witnesses of its flow.  */
struct confirm
{
  struct hs_list link; /* Oldest first.  */
  struct hs_flow_key key;
  uint64_t id;
  uint64_t started_at; /* ms  */
  size_t pending_len;
  uint64_t pending_ids[HS_BACKUPS_MAX]; /* Slots.  */
};

struct hs_ownership
{
  const struct hs_catalog *catalog;
  uint32_t service_id;
  uint64_t self_id;
  uint64_t incarnation;
  bool draining;
  struct hs_ownership_ops ops;
  void *ctx;
  struct hs_view *view;          /* Adopted; NULL: none.  */
  struct hs_view *previous_view; /* Adopted before it; NULL: none.  */
  uint64_t fenced_view;          /* Latest view heard of.  */
  bool was_suspect;              /* In the view before.  */
  bool had_all_transfers; /* Every member has told all it had to, once.  */
  struct hs_list peers;
  struct hs_entry_path last_path;
  struct hs_table *flows;
  struct hs_list flows_lru;
  struct hs_table *records;
  struct hs_list record_list;
  struct hs_table *lookups;
  struct hs_list lookup_list;
  struct hs_list confirmations;
  uint64_t last_confirmation_id;
  struct hs_ownership_stats stats;
};

/* ownership.c: flows held here  */

bool hs_ownership_is_directory (const struct hs_ownership *holder,
                                const struct hs_flow_key *key);
struct hs_flow *hs_ownership_open_flow (struct hs_ownership *holder,
                                        const struct hs_flow_key *key,
                                        uint64_t opened_view, bool uncertain,
                                        uint64_t now);
void hs_ownership_close_flow (struct hs_ownership *holder,
                              struct hs_flow *flow);

/* ownership_records.c: flows that others hold  */

struct record *hs_ownership_find_record (const struct hs_ownership *holder,
                                         const struct hs_flow_key *key);
void hs_ownership_put_record (struct hs_ownership *holder,
                              const struct hs_flow_key *key, uint64_t slot,
                              uint64_t opened_view);
void hs_ownership_remove_record (struct hs_ownership *holder,
                                 struct record *record);
void hs_ownership_remove_stale_records (struct hs_ownership *holder);

/* ownership_lookups.c: what is asked of other members  */

struct question *hs_ownership_find_lookup (const struct hs_ownership *holder,
                                           const struct hs_flow_key *key);
struct question *hs_ownership_start_lookup (struct hs_ownership *holder,
                                            const struct hs_flow_key *key,
                                            uint64_t now);
bool hs_ownership_can_rule_out (const struct hs_ownership *holder,
                                const struct hs_peer *peer,
                                const struct hs_flow_key *key);
void hs_ownership_handle_answer (struct hs_ownership *holder,
                                 struct question *question, uint64_t slot,
                                 bool vouched);
void hs_ownership_expire_lookups (struct hs_ownership *holder, uint64_t now);
void hs_ownership_remove_lookup (struct hs_ownership *holder,
                                 struct question *question);
void hs_ownership_query_backups (struct hs_ownership *holder,
                                 const struct confirm *confirm);
void hs_ownership_finish_confirmation (struct hs_ownership *holder,
                                       struct confirm *confirm, bool may_run);
void hs_ownership_expire_confirmations (struct hs_ownership *holder,
                                        uint64_t now);
bool hs_ownership_has_all_transfers (const struct hs_ownership *holder);
void hs_ownership_handle_confirm (struct hs_ownership *holder,
                                  struct hs_peer *peer,
                                  const struct hs_flow_message *message);
void hs_ownership_handle_confirmed (struct hs_ownership *holder,
                                    const struct hs_peer *peer,
                                    const struct hs_flow_message *message);

/* ownership_peers.c: what other members must know  */

void hs_ownership_update_peers (struct hs_ownership *holder);
void hs_ownership_requeue_records (struct hs_ownership *holder);
size_t hs_ownership_select_backups (const struct hs_view *view, uint64_t hash,
                                    const struct hs_member **witnesses);
bool hs_ownership_is_backup (const struct hs_view *view, uint64_t hash,
                             uint64_t slot);
void hs_ownership_update_backups (struct hs_ownership *holder,
                                  struct hs_flow *flow);
void hs_ownership_handle_push_acked (struct hs_ownership *holder,
                                     struct hs_peer *peer);
struct hs_peer *hs_ownership_find_peer (const struct hs_ownership *holder,
                                        uint64_t slot);
void hs_ownership_send_next_push (struct hs_ownership *holder,
                                  struct hs_peer *peer, uint64_t now);
void hs_ownership_send (struct hs_ownership *holder,
                        const struct hs_member *to,
                        enum hs_flow_message_type type, uint64_t seq,
                        const struct hs_ownership_record *record);
void hs_ownership_send_reply (struct hs_ownership *holder,
                              const struct hs_member *to,
                              enum hs_flow_message_type type, uint64_t seq,
                              const struct hs_ownership_record *record,
                              bool vouched);

/* ownership_messages.c: what other members say  */

void hs_ownership_handle_push (struct hs_ownership *holder,
                               struct hs_peer *peer,
                               const struct hs_flow_message *message);
void hs_ownership_handle_query (struct hs_ownership *holder,
                                const struct hs_flow_message *message);
void hs_ownership_handle_reply (struct hs_ownership *holder,
                                struct hs_peer *peer,
                                const struct hs_flow_message *message);
void hs_ownership_handle_retry_later (struct hs_ownership *holder,
                                      const struct hs_flow_message *message,
                                      uint64_t now);
void hs_ownership_handle_release (struct hs_ownership *holder,
                                  const struct hs_flow_message *message);
struct hs_flow_key
hs_ownership_record_key (const struct hs_ownership *holder,
                         const struct hs_ownership_record *record);

#endif /* HS_FLOW_HOLDER_STATE_H */
