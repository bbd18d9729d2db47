/* holder_state.h -- the state of a holder, for the files of this package.  */

#ifndef HS_FLOW_HOLDER_STATE_H
#define HS_FLOW_HOLDER_STATE_H

#include "flow/peer.h"

/* Types.  */

#define RESEND_MIN_MS 200
#define RESEND_MAX_MS 6400
#define WITNESSES_STEADY 2
#define CONFIRM_TIMEOUT_MS 1500
#define LOST_MS 3000 /* Without an answer of a suspect holder.  */
#define QUESTIONS_MAX 4096
#define QUESTION_LIFE_MS 5000
#define RECORDS_KEPT_MAX (2 * HS_FLOWS_MAX)

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
  ANSWER_PENDING,
  ANSWER_NEW,      /* Nobody holds the flow.  */
  ANSWER_UNCERTAIN /* Somebody could not be asked.  */
};

/* A flow that this home asks other members about.  */
struct question
{
  struct hs_table_node node;
  struct hs_list link; /* Oldest first.  */
  struct hs_flow_key key;
  uint64_t asked_at; /* ms  */
  enum answer answer;
  uint64_t missing;  /* Slot of the one that is done without, while members
                        that are settled are asked to vouch.  */
  size_t silent_len; /* Members not asked, as they do not answer.  */
  uint64_t silent;   /* Slot of the last of them.  */
  size_t pending_len;
  uint64_t *pending; /* Slots that have not answered.  */
};

/* Work that waits for the witnesses of its flow.  */
struct confirm
{
  struct hs_list link; /* Oldest first.  */
  struct hs_flow_key key;
  uint64_t id;
  uint64_t asked_at; /* ms  */
  size_t pending_len;
  uint64_t pending[HS_WITNESSES]; /* Slots.  */
};

struct hs_holder
{
  const struct hs_catalog *catalog;
  uint32_t service;
  uint64_t slot;
  uint64_t incarnation;
  bool leaving;
  struct hs_holder_ops ops;
  void *ctx;
  struct hs_view *view;     /* Adopted; NULL: none.  */
  struct hs_view *previous; /* Adopted before it; NULL: none.  */
  uint64_t promised;        /* Latest view heard of.  */
  bool was_suspect;         /* In the view before.  */
  bool informed;            /* Every member has told all it had to, once.  */
  struct hs_list peers;
  struct hs_entry_path heard;
  struct hs_table *flows;
  struct hs_list flow_ages;
  struct hs_table *records;
  struct hs_list record_list;
  struct hs_table *questions;
  struct hs_list question_list;
  struct hs_list confirms;
  uint64_t last_confirm;
  struct hs_holder_stats stats;
};

/* holder.c: flows held here  */

bool hs_holder_is_home (const struct hs_holder *holder,
                        const struct hs_flow_key *key);
struct hs_flow *hs_holder_open_flow (struct hs_holder *holder,
                                     const struct hs_flow_key *key,
                                     uint64_t opened_view, bool uncertain,
                                     uint64_t now);
void hs_holder_close_flow (struct hs_holder *holder, struct hs_flow *flow);

/* holder_records.c: flows that others hold  */

struct record *hs_holder_find_record (const struct hs_holder *holder,
                                      const struct hs_flow_key *key);
void hs_holder_put_record (struct hs_holder *holder,
                           const struct hs_flow_key *key, uint64_t slot,
                           uint64_t opened_view);
void hs_holder_drop_record (struct hs_holder *holder, struct record *record);
void hs_holder_drop_records_of_gone (struct hs_holder *holder);

/* holder_questions.c: what is asked of other members  */

struct question *hs_holder_find_question (const struct hs_holder *holder,
                                          const struct hs_flow_key *key);
struct question *hs_holder_ask (struct hs_holder *holder,
                                const struct hs_flow_key *key, uint64_t now);
bool hs_holder_vouches (const struct hs_holder *holder,
                        const struct hs_peer *peer,
                        const struct hs_flow_key *key);
void hs_holder_answer_question (struct hs_holder *holder,
                                struct question *question, uint64_t slot,
                                bool vouched);
void hs_holder_expire_questions (struct hs_holder *holder, uint64_t now);
void hs_holder_forget_question (struct hs_holder *holder,
                                struct question *question);
void hs_holder_ask_witnesses (struct hs_holder *holder,
                              const struct confirm *confirm);
void hs_holder_finish_confirm (struct hs_holder *holder,
                               struct confirm *confirm, bool may_run);
void hs_holder_expire_confirms (struct hs_holder *holder, uint64_t now);
bool hs_holder_knows_all (const struct hs_holder *holder);
void hs_holder_handle_confirm (struct hs_holder *holder, struct hs_peer *peer,
                               const struct hs_flow_message *message);
void hs_holder_handle_confirmed (struct hs_holder *holder,
                                 const struct hs_peer *peer,
                                 const struct hs_flow_message *message);

/* holder_peers.c: what other members must know  */

void hs_holder_update_peers (struct hs_holder *holder);
void hs_holder_requeue_flows (struct hs_holder *holder);
size_t hs_holder_find_witnesses (const struct hs_view *view, uint64_t hash,
                                 const struct hs_member **witnesses);
bool hs_holder_is_witness (const struct hs_view *view, uint64_t hash,
                           uint64_t slot);
void hs_holder_tell_witnesses (struct hs_holder *holder, struct hs_flow *flow);
void hs_holder_note_told (struct hs_holder *holder, struct hs_peer *peer);
struct hs_peer *hs_holder_find_peer (const struct hs_holder *holder,
                                     uint64_t slot);
void hs_holder_pump (struct hs_holder *holder, struct hs_peer *peer,
                     uint64_t now);
void hs_holder_send_one (struct hs_holder *holder, const struct hs_member *to,
                         enum hs_flow_message_type type, uint64_t seq,
                         const struct hs_flow_record *record);
void hs_holder_send_vouched (struct hs_holder *holder,
                             const struct hs_member *to,
                             enum hs_flow_message_type type, uint64_t seq,
                             const struct hs_flow_record *record,
                             bool vouched);

/* holder_messages.c: what other members say  */

void hs_holder_handle_push (struct hs_holder *holder, struct hs_peer *peer,
                            const struct hs_flow_message *message);
void hs_holder_handle_ask (struct hs_holder *holder,
                           const struct hs_flow_message *message);
void hs_holder_handle_tell (struct hs_holder *holder, struct hs_peer *peer,
                            const struct hs_flow_message *message);
void hs_holder_handle_later (struct hs_holder *holder,
                             const struct hs_flow_message *message,
                             uint64_t now);
void hs_holder_handle_release (struct hs_holder *holder,
                               const struct hs_flow_message *message);
struct hs_flow_key hs_holder_key_of (const struct hs_holder *holder,
                                     const struct hs_flow_record *record);

#endif /* HS_FLOW_HOLDER_STATE_H */
