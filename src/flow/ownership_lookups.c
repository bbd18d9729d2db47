/* ownership_lookups.c -- what a home asks other members before it opens a
   flow, and a holder before it lets work run.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static void answer_without (struct hs_ownership *holder,
                            struct question *question);
static void ask_pending (struct hs_ownership *holder,
                         const struct question *question);
static bool match_question (const struct hs_table_node *node, const void *key);
static bool is_settled_with_all (const struct hs_ownership *holder);

/* Public definitions.  */

struct question *
hs_ownership_find_lookup (const struct hs_ownership *holder,
                          const struct hs_flow_key *key)
{
  struct hs_table_node *node = hs_table_find (
      holder->lookups, hs_flow_key_hash (key), match_question, key);

  return node != NULL ? HS_LIST_ENTRY (node, struct question, node) : NULL;
}

/* Asks every member that this home is not settled with.  Where that is none,
   the answer is there at once.  */
struct question *
hs_ownership_start_lookup (struct hs_ownership *holder,
                           const struct hs_flow_key *key, uint64_t now)
{
  struct hs_ownership_record asked = { .caller = key->caller };
  struct question *question;

  if (hs_table_len (holder->lookups) >= LOOKUPS_MAX)
    return NULL;
  question = talloc_zero (holder, struct question);
  question->key = *key;
  question->queried_at = now;
  question->pending_ids
      = talloc_array (question, uint64_t, holder->view->members_len);
  hs_table_insert (holder->lookups, &question->node, hs_flow_key_hash (key));
  hs_list_append (&holder->lookup_list, &question->link);
  HS_LIST_FOREACH (link, &holder->peers)
    {
      struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (peer->transfer_complete)
        continue;
      /* One that does not answer is not waited for again.  */
      if (hs_peer_is_unresponsive (peer, now))
        {
          question->unresponsive_len++;
          question->unresponsive_id = peer->member.id;
        }
      else
        question->pending_ids[question->pending_len++] = peer->member.id;
      hs_peer_mark_queried (peer, now);
      hs_ownership_send (holder, &peer->member, HS_FLOW_QUERY, 0, &asked);
      holder->stats.queries_sent++;
    }
  question->result = LOOKUP_PENDING;
  if (question->pending_len == 0)
    answer_without (holder, question);
  return question;
}

/* Whether this agent was a witness of PEER for the flow of KEY, and has been
   running ever since.  */
bool
hs_ownership_can_rule_out (const struct hs_ownership *holder,
                           const struct hs_peer *peer,
                           const struct hs_flow_key *key)
{
  return peer->transfer_view != NULL
         && hs_ownership_is_backup (peer->transfer_view,
                                    hs_flow_key_hash (key), holder->self_id);
}

void
hs_ownership_handle_answer (struct hs_ownership *holder,
                            struct question *question, uint64_t slot,
                            bool vouched)
{
  if (question->result != LOOKUP_PENDING)
    return;
  for (size_t i = 0; i < question->pending_len; i++)
    if (question->pending_ids[i] == slot)
      question->pending_ids[i]
          = question->pending_ids[--question->pending_len];
  if (question->missing_id != 0 && vouched)
    question->result = LOOKUP_UNOWNED;
  else if (question->pending_len == 0 && question->missing_id != 0)
    question->result = LOOKUP_UNCERTAIN;
  else if (question->pending_len == 0)
    answer_without (holder, question);
  if (question->result != LOOKUP_PENDING)
    holder->ops.resolved (holder->ctx);
}

void
hs_ownership_expire_lookups (struct hs_ownership *holder, uint64_t now)
{
  bool resolved = false;

  HS_LIST_FOREACH (link, &holder->lookup_list)
    {
      struct question *question = HS_LIST_ENTRY (link, struct question, link);

      if (now - question->queried_at >= LOOKUP_LIFETIME_MS)
        hs_ownership_remove_lookup (holder, question);
      else if (question->result == LOOKUP_PENDING
               && now - question->queried_at >= HS_QUERY_TIMEOUT_MS)
        {
          if (question->missing_id != 0)
            question->result = LOOKUP_UNCERTAIN;
          else
            answer_without (holder, question);
          question->queried_at = now;
          resolved = resolved || question->result != LOOKUP_PENDING;
        }
      else if (question->result == LOOKUP_PENDING)
        ask_pending (holder, question);
    }
  if (resolved)
    holder->ops.resolved (holder->ctx);
}

void
hs_ownership_remove_lookup (struct hs_ownership *holder,
                            struct question *question)
{
  hs_table_remove (holder->lookups, &question->node);
  hs_list_remove (&question->link);
  talloc_free (question);
}

void
hs_ownership_query_backups (struct hs_ownership *holder,
                            const struct confirm *confirm)
{
  const struct hs_flow *flow = hs_ownership_find_flow (holder, &confirm->key);
  struct hs_ownership_record claim
      = { .caller = confirm->key.caller, .owner_id = holder->self_id };

  if (flow == NULL || !is_settled_with_all (holder))
    return;
  claim.opened_view = flow->opened_view;
  for (size_t i = 0; i < confirm->pending_len; i++)
    {
      const struct hs_peer *peer
          = hs_ownership_find_peer (holder, confirm->pending_ids[i]);

      if (peer != NULL)
        hs_ownership_send (holder, &peer->member, HS_FLOW_CONFIRM, confirm->id,
                           &claim);
    }
}

void
hs_ownership_finish_confirmation (struct hs_ownership *holder,
                                  struct confirm *confirm, bool may_run)
{
  uint64_t id = confirm->id;

  /* The flow may have been given up while the answer was on its way.  */
  may_run = may_run && hs_ownership_find_flow (holder, &confirm->key) != NULL;
  hs_list_remove (&confirm->link);
  talloc_free (confirm);
  holder->ops.confirmed (holder->ctx, id, may_run);
}

void
hs_ownership_expire_confirmations (struct hs_ownership *holder, uint64_t now)
{
  HS_LIST_FOREACH (link, &holder->confirmations)
    {
      struct confirm *confirm = HS_LIST_ENTRY (link, struct confirm, link);

      if (now - confirm->started_at >= CONFIRM_TIMEOUT_MS)
        hs_ownership_finish_confirmation (holder, confirm, false);
      else
        hs_ownership_query_backups (holder, confirm);
    }
}

/* Whether every member that may be reached has told this agent all it had to
   tell in this view.  */
bool
hs_ownership_has_all_transfers (const struct hs_ownership *holder)
{
  HS_LIST_FOREACH (link, &holder->peers)
    {
      const struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (!peer->transfer_complete && peer->member.state != HS_MEMBER_SUSPECT)
        return false;
    }
  return true;
}

/* A witness that knows of a later view, or of another holder, or may not
   know yet, keeps quiet.  Otherwise it knows of the flow from here on.  */
void
hs_ownership_handle_confirm (struct hs_ownership *holder, struct hs_peer *peer,
                             const struct hs_flow_message *message)
{
  const struct hs_ownership_record *claim = &message->records[0];
  struct hs_flow_key key = hs_ownership_record_key (holder, claim);
  const struct record *known = hs_ownership_find_record (holder, &key);

  if (message->len == 0 || claim->owner_id != peer->member.id
      || holder->fenced_view > holder->view->number
      || !hs_ownership_has_all_transfers (holder)
      || hs_ownership_find_flow (holder, &key) != NULL
      || (known != NULL && known->holder != claim->owner_id
          && known->opened_view > claim->opened_view))
    return;
  hs_ownership_put_record (holder, &key, claim->owner_id, claim->opened_view);
  hs_ownership_send (holder, &peer->member, HS_FLOW_CONFIRMED, message->seq,
                     NULL);
}

void
hs_ownership_handle_confirmed (struct hs_ownership *holder,
                               const struct hs_peer *peer,
                               const struct hs_flow_message *message)
{
  HS_LIST_FOREACH (link, &holder->confirmations)
    {
      struct confirm *confirm = HS_LIST_ENTRY (link, struct confirm, link);

      if (confirm->id != message->seq)
        continue;
      for (size_t i = 0; i < confirm->pending_len; i++)
        if (confirm->pending_ids[i] == peer->member.id)
          confirm->pending_ids[i]
              = confirm->pending_ids[--confirm->pending_len];
      if (confirm->pending_len == 0)
        hs_ownership_finish_confirmation (holder, confirm, true);
      return;
    }
}

/* Private definitions.  */

/* Those that are not settled have not answered.  One alone may be done
   without if somebody vouches that it was its witness: on a flow that its
   witnesses have no record of, it cannot have run what is not idempotent.
   Two may be each other's only witnesses.  */
static void
answer_without (struct hs_ownership *holder, struct question *question)
{
  struct hs_ownership_record asked = { .caller = question->key.caller };
  size_t missing_len = question->pending_len + question->unresponsive_len;
  uint64_t missing = question->pending_len > 0 ? question->pending_ids[0]
                                               : question->unresponsive_id;
  const struct hs_peer *peer = hs_ownership_find_peer (holder, missing);
  bool vouched_for
      = peer != NULL
        && (peer->transfer_complete
            || hs_ownership_can_rule_out (holder, peer, &question->key));

  question->result = LOOKUP_UNCERTAIN;
  if (missing_len == 0 || (missing_len == 1 && vouched_for))
    question->result = LOOKUP_UNOWNED;
  if (missing_len != 1 || vouched_for || question->missing_id != 0)
    return;
  question->missing_id = missing;
  question->pending_len = 0;
  asked.owner_id = missing;
  HS_LIST_FOREACH (link, &holder->peers)
    {
      const struct hs_peer *other = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (!other->transfer_complete)
        continue;
      question->pending_ids[question->pending_len++] = other->member.id;
      hs_ownership_send (holder, &other->member, HS_FLOW_QUERY, 0, &asked);
    }
  if (question->pending_len > 0)
    question->result = LOOKUP_PENDING;
}

/* Asks again: the question or its answer may have been lost.  */
static void
ask_pending (struct hs_ownership *holder, const struct question *question)
{
  struct hs_ownership_record asked
      = { .caller = question->key.caller, .owner_id = question->missing_id };

  for (size_t i = 0; i < question->pending_len; i++)
    {
      const struct hs_peer *peer
          = hs_ownership_find_peer (holder, question->pending_ids[i]);

      if (peer != NULL)
        hs_ownership_send (holder, &peer->member, HS_FLOW_QUERY, 0, &asked);
    }
}

static bool
match_question (const struct hs_table_node *node, const void *key)
{
  return hs_flow_key_equal (&HS_LIST_ENTRY (node, struct question, node)->key,
                            key);
}

/* Whether every member that may be reached has taken all this agent had to
   tell it in this view.  */
static bool
is_settled_with_all (const struct hs_ownership *holder)
{
  HS_LIST_FOREACH (link, &holder->peers)
    {
      const struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (!peer->transfer_acked && peer->member.state != HS_MEMBER_SUSPECT)
        return false;
    }
  return true;
}
