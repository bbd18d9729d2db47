/* ownership_messages.c -- what other members say.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static bool take_record (struct hs_ownership *holder, struct hs_peer *peer,
                         const struct hs_ownership_record *record,
                         uint64_t now);

/* Public definitions.  */

void
hs_ownership_handle_push (struct hs_ownership *holder, struct hs_peer *peer,
                          const struct hs_flow_message *message)
{
  bool taken = true;

  if (message->seq == peer->received_seq + 1)
    {
      for (size_t i = 0; i < message->len; i++)
        taken = take_record (holder, peer, &message->records[i],
                             peer->last_heard_at)
                && taken;
      /* Not acknowledged until the sender has given up what it must.  */
      if (!taken)
        return;
      peer->received_seq++;
      if (message->transfer_complete && !peer->transfer_complete)
        {
          peer->transfer_complete = true;
          holder->had_all_transfers
              = holder->had_all_transfers
                || hs_ownership_has_all_transfers (holder);
          talloc_free (peer->transfer_view);
          peer->transfer_view = hs_view_copy (peer, holder->view);
          HS_LIST_FOREACH (link, &holder->lookup_list)
            hs_ownership_handle_answer (
                holder, HS_LIST_ENTRY (link, struct question, link),
                peer->member.id, false);
        }
    }
  if (message->seq <= peer->received_seq)
    hs_ownership_send (holder, &peer->member, HS_FLOW_ACK, message->seq, NULL);
}

void
hs_ownership_handle_query (struct hs_ownership *holder,
                           const struct hs_flow_message *message)
{
  /* It may be a member of a later view, not known here yet.  */
  struct hs_member asker = { .id = message->from_id,
                             .incarnation = message->from_incarnation,
                             .address = message->from_address };
  struct hs_flow_key key
      = hs_ownership_record_key (holder, &message->records[0]);
  const struct hs_flow *flow = hs_ownership_find_flow (holder, &key);
  const struct record *record = hs_ownership_find_record (holder, &key);
  struct hs_ownership_record told = { .caller = key.caller };
  const struct hs_peer *missing;

  if (message->len == 0 || holder->view == NULL)
    return;
  if (flow != NULL)
    {
      told.owner_id = holder->self_id;
      told.opened_view = flow->opened_view;
    }
  else if (record != NULL)
    {
      told.owner_id = record->holder;
      told.opened_view = record->opened_view;
    }
  /* An earlier process of this name may have held it.  */
  if (told.owner_id == 0 && !holder->had_all_transfers)
    {
      hs_ownership_send (holder, &asker, HS_FLOW_RETRY_LATER, 0, &told);
      return;
    }
  missing = hs_ownership_find_peer (holder, message->records[0].owner_id);
  hs_ownership_send_reply (
      holder, &asker, HS_FLOW_REPLY, 0, &told,
      missing != NULL && hs_ownership_can_rule_out (holder, missing, &key));
}

void
hs_ownership_handle_reply (struct hs_ownership *holder, struct hs_peer *peer,
                           const struct hs_flow_message *message)
{
  const struct hs_ownership_record *told = &message->records[0];
  struct hs_flow_key key = hs_ownership_record_key (holder, told);
  struct record *record = hs_ownership_find_record (holder, &key);
  struct question *question = hs_ownership_find_lookup (holder, &key);

  if (message->len == 0)
    return;
  if (told->owner_id == 0 && record != NULL
      && record->holder == peer->member.id)
    hs_ownership_remove_record (holder, record);
  /* No view has a member of slot 0.  */
  if (told->owner_id == holder->self_id
      || hs_view_find (holder->view, told->owner_id) == NULL)
    {
      if (question != NULL)
        hs_ownership_handle_answer (holder, question, peer->member.id,
                                    message->rules_out_missing);
      return;
    }
  if (hs_ownership_find_flow (holder, &key) == NULL
      && hs_ownership_is_directory (holder, &key)
      && (record == NULL || record->opened_view <= told->opened_view))
    hs_ownership_put_record (holder, &key, told->owner_id, told->opened_view);
  if (question == NULL)
    return;
  hs_ownership_remove_lookup (holder, question);
  holder->ops.resolved (holder->ctx);
}

/* The one asked is there, and will know soon: the question goes on.  */
void
hs_ownership_handle_retry_later (struct hs_ownership *holder,
                                 const struct hs_flow_message *message,
                                 uint64_t now)
{
  struct hs_flow_key key
      = hs_ownership_record_key (holder, &message->records[0]);
  struct question *question = hs_ownership_find_lookup (holder, &key);

  if (message->len > 0 && question != NULL
      && question->result == LOOKUP_PENDING)
    question->queried_at = now;
}

void
hs_ownership_handle_release (struct hs_ownership *holder,
                             const struct hs_flow_message *message)
{
  const struct hs_ownership_record *winner = &message->records[0];
  struct hs_flow_key key = hs_ownership_record_key (holder, winner);
  struct hs_flow *flow = hs_ownership_find_flow (holder, &key);

  if (message->len == 0 || flow == NULL || winner->owner_id == holder->self_id
      || flow->opened_view > winner->opened_view)
    return;
  holder->stats.released++;
  hs_ownership_close_flow (holder, flow);
  hs_ownership_put_record (holder, &key, winner->owner_id,
                           winner->opened_view);
}

struct hs_flow_key
hs_ownership_record_key (const struct hs_ownership *holder,
                         const struct hs_ownership_record *record)
{
  return (struct hs_flow_key){ holder->service_id, record->caller };
}

/* Private definitions.  */

/* False: PEER claims a flow that another opened later, and was told so.  */
static bool
take_record (struct hs_ownership *holder, struct hs_peer *peer,
             const struct hs_ownership_record *record, uint64_t now)
{
  struct hs_flow_key key = hs_ownership_record_key (holder, record);
  struct hs_flow *flow = hs_ownership_find_flow (holder, &key);
  struct record *known = hs_ownership_find_record (holder, &key);
  struct hs_ownership_record winner = { .caller = record->caller };

  if (record->owner_id == 0)
    {
      if (known != NULL && known->holder == peer->member.id)
        hs_ownership_remove_record (holder, known);
      return true;
    }
  if (record->owner_id == holder->self_id)
    {
      if (flow != NULL
          || (known != NULL && known->opened_view > record->opened_view))
        return true;
      if (known != NULL)
        hs_ownership_remove_record (holder, known);
      /* What the earlier process had run on it is not known here.  */
      flow = hs_ownership_open_flow (holder, &key, record->opened_view, true,
                                     now);
      if (flow == NULL)
        return true;
      holder->ops.recovered (holder->ctx, flow);
      return true;
    }
  if (record->owner_id != peer->member.id)
    {
      /* Hearsay: the holder itself is the one to settle a conflict.  */
      if (flow == NULL
          && (known == NULL || known->opened_view < record->opened_view)
          && hs_view_find (holder->view, record->owner_id) != NULL)
        hs_ownership_put_record (holder, &key, record->owner_id,
                                 record->opened_view);
      return true;
    }
  if (flow != NULL)
    {
      bool keeps = flow->opened_view > record->opened_view
                   || (flow->opened_view == record->opened_view
                       && holder->self_id > record->owner_id);

      if (!keeps)
        {
          holder->stats.released++;
          hs_ownership_close_flow (holder, flow);
          hs_ownership_put_record (holder, &key, record->owner_id,
                                   record->opened_view);
          return true;
        }
      winner.owner_id = holder->self_id;
      winner.opened_view = flow->opened_view;
      hs_ownership_send (holder, &peer->member, HS_FLOW_RELEASE, 0, &winner);
      return false;
    }
  if (known != NULL && known->holder != record->owner_id
      && known->opened_view > record->opened_view)
    {
      winner.owner_id = known->holder;
      winner.opened_view = known->opened_view;
      hs_ownership_send (holder, &peer->member, HS_FLOW_RELEASE, 0, &winner);
      return false;
    }
  hs_ownership_put_record (holder, &key, record->owner_id,
                           record->opened_view);
  return true;
}
