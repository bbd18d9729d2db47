/* ownership_messages.c -- messages received from the other members.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static bool accept_record (struct hs_ownership *ownership,
                           struct hs_peer *peer,
                           const struct hs_ownership_record *record,
                           uint64_t now);

/* Public definitions.  */

void
hs_ownership_handle_push (struct hs_ownership *ownership, struct hs_peer *peer,
                          const struct hs_flow_message *message)
{
  bool accepted = true;

  if (message->seq == peer->received_seq + 1)
    {
      for (size_t i = 0; i < message->records_len; i++)
        accepted = accept_record (ownership, peer, &message->records[i],
                                  peer->last_heard_at)
                   && accepted;
      /* The push is not acknowledged until the sender has released the flows
         that it lost and has resent the push without claiming them.  */
      if (!accepted)
        return;
      peer->received_seq++;
      if (message->transfer_complete && !peer->transfer_complete)
        {
          peer->transfer_complete = true;
          ownership->had_all_transfers
              = ownership->had_all_transfers
                || hs_ownership_has_all_transfers (ownership);
          talloc_free (peer->transfer_view);
          peer->transfer_view = hs_view_copy (peer, ownership->view);
          HS_LIST_FOREACH (link, &ownership->lookup_list)
            hs_ownership_handle_not_owned (
                ownership, HS_LIST_ENTRY (link, struct lookup, link),
                peer->member.id, false);
        }
    }
  if (message->seq <= peer->received_seq)
    hs_ownership_send (ownership, &peer->member, HS_FLOW_ACK, message->seq,
                       NULL);
}

void
hs_ownership_handle_query (struct hs_ownership *ownership,
                           const struct hs_flow_message *message)
{
  /* The sender may be a member of a later view and not yet a peer here.  */
  struct hs_member sender = { .id = message->from_id,
                              .incarnation = message->from_incarnation,
                              .address = message->from_address };
  struct hs_flow_key key
      = hs_ownership_record_key (ownership, &message->records[0]);
  const struct hs_flow *flow = hs_ownership_find_flow (ownership, &key);
  const struct stored_record *record
      = hs_ownership_find_record (ownership, &key);
  struct hs_ownership_record reply = { .caller = key.caller };
  const struct hs_peer *missing;

  if (message->records_len == 0 || ownership->view == NULL)
    return;
  if (flow != NULL)
    {
      reply.owner_id = ownership->self_id;
      reply.opened_view = flow->opened_view;
    }
  else if (record != NULL)
    {
      reply.owner_id = record->owner_id;
      reply.opened_view = record->opened_view;
    }
  /* An earlier process with this agent's name may have owned the flow, and
     its records may not all have arrived from the other members yet.  */
  if (reply.owner_id == 0 && !ownership->had_all_transfers)
    {
      hs_ownership_send (ownership, &sender, HS_FLOW_RETRY_LATER, 0, &reply);
      return;
    }
  missing = hs_ownership_find_peer (ownership, message->records[0].owner_id);
  hs_ownership_send_reply (
      ownership, &sender, HS_FLOW_REPLY, 0, &reply,
      missing != NULL && hs_ownership_can_rule_out (ownership, missing, &key));
}

void
hs_ownership_handle_reply (struct hs_ownership *ownership,
                           struct hs_peer *peer,
                           const struct hs_flow_message *message)
{
  const struct hs_ownership_record *reply = &message->records[0];
  struct hs_flow_key key = hs_ownership_record_key (ownership, reply);
  struct stored_record *record = hs_ownership_find_record (ownership, &key);
  struct lookup *lookup = hs_ownership_find_lookup (ownership, &key);

  if (message->records_len == 0)
    return;
  if (reply->owner_id == 0 && record != NULL
      && record->owner_id == peer->member.id)
    hs_ownership_remove_record (ownership, record);
  /* Id 0, which no member has, stands for no owner.  */
  if (reply->owner_id == ownership->self_id
      || hs_view_find (ownership->view, reply->owner_id) == NULL)
    {
      if (lookup != NULL)
        hs_ownership_handle_not_owned (ownership, lookup, peer->member.id,
                                       message->rules_out_missing);
      return;
    }
  if (hs_ownership_find_flow (ownership, &key) == NULL
      && hs_ownership_is_directory (ownership, &key)
      && (record == NULL || record->opened_view <= reply->opened_view))
    hs_ownership_put_record (ownership, &key, reply->owner_id,
                             reply->opened_view);
  if (lookup == NULL)
    return;
  hs_ownership_remove_lookup (ownership, lookup);
  ownership->ops.resolved (ownership->ctx);
}

/* The queried member is alive and will know soon: restarts the timeout of the
   lookup.  */
void
hs_ownership_handle_retry_later (struct hs_ownership *ownership,
                                 const struct hs_flow_message *message,
                                 uint64_t now)
{
  struct hs_flow_key key
      = hs_ownership_record_key (ownership, &message->records[0]);
  struct lookup *lookup = hs_ownership_find_lookup (ownership, &key);

  if (message->records_len > 0 && lookup != NULL
      && lookup->result == LOOKUP_PENDING)
    lookup->queried_at = now;
}

void
hs_ownership_handle_release (struct hs_ownership *ownership,
                             const struct hs_flow_message *message)
{
  const struct hs_ownership_record *winner = &message->records[0];
  struct hs_flow_key key = hs_ownership_record_key (ownership, winner);
  struct hs_flow *flow = hs_ownership_find_flow (ownership, &key);

  if (message->records_len == 0 || flow == NULL
      || winner->owner_id == ownership->self_id
      || flow->opened_view > winner->opened_view)
    return;
  ownership->stats.released++;
  hs_ownership_close_flow (ownership, flow);
  hs_ownership_put_record (ownership, &key, winner->owner_id,
                           winner->opened_view);
}

struct hs_flow_key
hs_ownership_record_key (const struct hs_ownership *ownership,
                         const struct hs_ownership_record *record)
{
  return (struct hs_flow_key){ ownership->service_id, record->caller };
}

/* Private definitions.  */

/* Stores a record that PEER pushed.  Returns false, and sends PEER a release,
   if PEER claims a flow that another agent opened in a later view.  Between
   PEER and this agent, the higher agent id wins if the views are the same.  */
static bool
accept_record (struct hs_ownership *ownership, struct hs_peer *peer,
               const struct hs_ownership_record *record, uint64_t now)
{
  struct hs_flow_key key = hs_ownership_record_key (ownership, record);
  struct hs_flow *flow = hs_ownership_find_flow (ownership, &key);
  struct stored_record *known = hs_ownership_find_record (ownership, &key);
  struct hs_ownership_record winner = { .caller = record->caller };

  if (record->owner_id == 0)
    {
      if (known != NULL && known->owner_id == peer->member.id)
        hs_ownership_remove_record (ownership, known);
      return true;
    }
  if (record->owner_id == ownership->self_id)
    {
      if (flow != NULL
          || (known != NULL && known->opened_view > record->opened_view))
        return true;
      if (known != NULL)
        hs_ownership_remove_record (ownership, known);
      /* It is not known here which requests the earlier process ran, so the
         flow is uncertain.  */
      flow = hs_ownership_open_flow (ownership, &key, record->opened_view,
                                     true, now);
      if (flow == NULL)
        return true;
      ownership->ops.recovered (ownership->ctx, flow);
      return true;
    }
  if (record->owner_id != peer->member.id)
    {
      /* PEER passes on a record of a third agent.  Only the owner itself
         resolves conflicts.  */
      if (flow == NULL
          && (known == NULL || known->opened_view < record->opened_view)
          && hs_view_find (ownership->view, record->owner_id) != NULL)
        hs_ownership_put_record (ownership, &key, record->owner_id,
                                 record->opened_view);
      return true;
    }
  if (flow != NULL)
    {
      bool wins = flow->opened_view > record->opened_view
                  || (flow->opened_view == record->opened_view
                      && ownership->self_id > record->owner_id);

      if (!wins)
        {
          ownership->stats.released++;
          hs_ownership_close_flow (ownership, flow);
          hs_ownership_put_record (ownership, &key, record->owner_id,
                                   record->opened_view);
          return true;
        }
      winner.owner_id = ownership->self_id;
      winner.opened_view = flow->opened_view;
      hs_ownership_send (ownership, &peer->member, HS_FLOW_RELEASE, 0,
                         &winner);
      return false;
    }
  if (known != NULL && known->owner_id != record->owner_id
      && known->opened_view > record->opened_view)
    {
      winner.owner_id = known->owner_id;
      winner.opened_view = known->opened_view;
      hs_ownership_send (ownership, &peer->member, HS_FLOW_RELEASE, 0,
                         &winner);
      return false;
    }
  hs_ownership_put_record (ownership, &key, record->owner_id,
                           record->opened_view);
  return true;
}
