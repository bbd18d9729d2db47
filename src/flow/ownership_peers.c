/* ownership_peers.c -- which ownership records the other members need, and
   the state transfer to them.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static void queue_stored_records (struct hs_ownership *ownership,
                                  struct hs_peer *peer);
static bool has_acked_record (const struct hs_flow *flow,
                              const struct hs_member *member);
static void send_push (struct hs_ownership *ownership, struct hs_peer *peer);

/* Public definitions.  */

void
hs_ownership_update_peers (struct hs_ownership *ownership)
{
  HS_LIST_FOREACH (link, &ownership->peers)
    {
      struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);
      const struct hs_member *member
          = hs_view_find (ownership->view, peer->member.id);

      if (member != NULL && member->incarnation == peer->member.incarnation)
        continue;
      hs_list_remove (link);
      talloc_free (peer);
    }
  for (size_t i = 0; i < ownership->view->members_len; i++)
    {
      const struct hs_member *member = &ownership->view->members[i];
      struct hs_peer *peer = hs_ownership_find_peer (ownership, member->id);

      if (member->id == ownership->self_id)
        continue;
      if (peer == NULL)
        {
          peer = hs_peer_create (ownership, member);
          hs_list_append (&ownership->peers, &peer->link);
        }
      hs_peer_begin_view (peer, member);
    }
}

void
hs_ownership_requeue_records (struct hs_ownership *ownership)
{
  HS_LIST_FOREACH (link, &ownership->flows_lru)
    hs_ownership_update_backups (
        ownership, HS_LIST_ENTRY (link, struct hs_flow, lru_link));
  HS_LIST_FOREACH (link, &ownership->peers)
    queue_stored_records (ownership,
                          HS_LIST_ENTRY (link, struct hs_peer, link));
}

/* The first BACKUPS_NORMAL members by rank, and one more for each of them
   that is draining, so that the members that take their place already have
   the record.  */
size_t
hs_ownership_select_backups (const struct hs_view *view, uint64_t hash,
                             const struct hs_member **backups)
{
  size_t len = hs_view_top_ranked (view, hash, backups, HS_BACKUPS_MAX);
  size_t wanted = BACKUPS_NORMAL;

  for (size_t i = 0; i < len && i < wanted && wanted < HS_BACKUPS_MAX; i++)
    if (backups[i]->state == HS_MEMBER_DRAINING)
      wanted++;
  return len < wanted ? len : wanted;
}

bool
hs_ownership_is_backup (const struct hs_view *view, uint64_t hash,
                        uint64_t agent_id)
{
  const struct hs_member *backups[HS_BACKUPS_MAX];
  size_t len = hs_ownership_select_backups (view, hash, backups);

  for (size_t i = 0; i < len; i++)
    if (backups[i]->id == agent_id)
      return true;
  return false;
}

void
hs_ownership_update_backups (struct hs_ownership *ownership,
                             struct hs_flow *flow)
{
  const struct hs_member *backups[HS_BACKUPS_MAX];
  size_t len
      = hs_ownership_select_backups (ownership->view, flow->hash, backups);
  struct hs_ownership_record record = { .caller = flow->key.caller,
                                        .owner_id = ownership->self_id,
                                        .opened_view = flow->opened_view };

  for (size_t i = 0; i < len; i++)
    {
      struct hs_peer *peer
          = hs_ownership_find_peer (ownership, backups[i]->id);

      if (peer != NULL && !has_acked_record (flow, backups[i]))
        hs_peer_queue_record (peer, &record);
    }
}

/* PEER has acknowledged the outstanding push, so it is a backup of the flows
   in it.  */
void
hs_ownership_handle_push_acked (struct hs_ownership *ownership,
                                struct hs_peer *peer)
{
  for (size_t i = 0; i < peer->push.records_len; i++)
    {
      struct hs_flow_key key
          = hs_ownership_record_key (ownership, &peer->push.records[i]);
      struct hs_flow *flow = hs_ownership_find_flow (ownership, &key);

      if (flow == NULL || has_acked_record (flow, &peer->member))
        continue;
      memmove (&flow->backups[1], &flow->backups[0],
               sizeof flow->backups[0] * (HS_BACKUPS_MAX - 1));
      flow->backups[0].id = peer->member.id;
      flow->backups[0].incarnation = peer->member.incarnation;
    }
}

struct hs_peer *
hs_ownership_find_peer (const struct hs_ownership *ownership,
                        uint64_t agent_id)
{
  HS_LIST_FOREACH (link, &ownership->peers)
    {
      struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (peer->member.id == agent_id)
        return peer;
    }
  return NULL;
}

void
hs_ownership_send_next_push (struct hs_ownership *ownership,
                             struct hs_peer *peer, uint64_t now)
{
  if (peer->push.type == HS_FLOW_PUSH)
    {
      if (now - peer->sent_at < peer->resend_ms)
        return;
      peer->sent_at = now;
      if (peer->resend_ms < RESEND_MAX_MS)
        peer->resend_ms *= 2;
    }
  else if (hs_peer_is_idle (peer))
    return;
  else
    {
      hs_peer_next_push (peer, now);
      peer->resend_ms = RESEND_MIN_MS;
    }
  send_push (ownership, peer);
}

void
hs_ownership_send (struct hs_ownership *ownership, const struct hs_member *to,
                   enum hs_flow_message_type type, uint64_t seq,
                   const struct hs_ownership_record *record)
{
  hs_ownership_send_reply (ownership, to, type, seq, record, false);
}

void
hs_ownership_send_reply (struct hs_ownership *ownership,
                         const struct hs_member *to,
                         enum hs_flow_message_type type, uint64_t seq,
                         const struct hs_ownership_record *record,
                         bool ruled_out)
{
  struct hs_flow_message message
      = { .type = type,
          .service_id = ownership->service_id,
          .view_number = ownership->fenced_view > ownership->view->number
                             ? ownership->fenced_view
                             : ownership->view->number,
          .from_id = ownership->self_id,
          .from_incarnation = ownership->incarnation,
          .to_incarnation = to->incarnation,
          .seq = seq };

  if (record != NULL)
    message.records[message.records_len++] = *record;
  message.rules_out_missing = ruled_out;
  ownership->ops.send (ownership->ctx, to, &message);
}

/* Private definitions.  */

/* Queues records of flows that other agents own.  A restarted owner gets its
   own records, to recover its flows.  A backup gets the records that it may
   lack, because the owner may be unable to send them: a backup that is new to
   the flow or has restarted, one whose last state transfer was interrupted,
   and each backup of a suspect owner.  */
static void
queue_stored_records (struct hs_ownership *ownership, struct hs_peer *peer)
{
  HS_LIST_FOREACH (link, &ownership->record_list)
    {
      const struct stored_record *record
          = HS_LIST_ENTRY (link, struct stored_record, link);
      struct hs_ownership_record copy = { .caller = record->key.caller,
                                          .owner_id = record->owner_id,
                                          .opened_view = record->opened_view };
      const struct hs_peer *owner
          = hs_ownership_find_peer (ownership, record->owner_id);
      bool suspect = owner != NULL && owner->member.state == HS_MEMBER_SUSPECT;

      if (record->owner_id == peer->member.id
              ? peer->needs_first_transfer
              : hs_ownership_is_backup (ownership->view, record->node.hash,
                                        peer->member.id)
                    && (peer->needs_first_transfer
                        || peer->transfer_interrupted || suspect
                        || !hs_ownership_is_backup (ownership->previous_view,
                                                    record->node.hash,
                                                    peer->member.id)))
        hs_peer_queue_record (peer, &copy);
    }
}

/* Whether MEMBER has acknowledged the ownership record of FLOW.  */
static bool
has_acked_record (const struct hs_flow *flow, const struct hs_member *member)
{
  for (size_t i = 0; i < HS_BACKUPS_MAX; i++)
    if (flow->backups[i].id == member->id
        && flow->backups[i].incarnation == member->incarnation)
      return true;
  return false;
}

static void
send_push (struct hs_ownership *ownership, struct hs_peer *peer)
{
  struct hs_flow_message *push = &peer->push;

  push->service_id = ownership->service_id;
  push->view_number = ownership->view->number;
  push->from_id = ownership->self_id;
  push->from_incarnation = ownership->incarnation;
  push->to_incarnation = peer->member.incarnation;
  /* Flows released since the push was built are not claimed again.  */
  for (size_t i = 0; i < push->records_len; i++)
    {
      struct hs_flow_key key
          = hs_ownership_record_key (ownership, &push->records[i]);

      if (push->records[i].owner_id == ownership->self_id
          && hs_ownership_find_flow (ownership, &key) == NULL)
        push->records[i].owner_id = 0;
    }
  ownership->ops.send (ownership->ctx, &peer->member, push);
}
