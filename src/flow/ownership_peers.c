/* ownership_peers.c -- what other members must know, and whether they do.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static void pass_records (struct hs_ownership *holder, struct hs_peer *peer);
static bool was_told (const struct hs_flow *flow,
                      const struct hs_member *member);
static void send_push (struct hs_ownership *holder, struct hs_peer *peer);

/* Public definitions.  */

void
hs_ownership_update_peers (struct hs_ownership *holder)
{
  HS_LIST_FOREACH (link, &holder->peers)
    {
      struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);
      const struct hs_member *member
          = hs_view_find (holder->view, peer->member.id);

      if (member != NULL && member->incarnation == peer->member.incarnation)
        continue;
      hs_list_remove (link);
      talloc_free (peer);
    }
  for (size_t i = 0; i < holder->view->members_len; i++)
    {
      const struct hs_member *member = &holder->view->members[i];
      struct hs_peer *peer = hs_ownership_find_peer (holder, member->id);

      if (member->id == holder->self_id)
        continue;
      if (peer == NULL)
        {
          peer = hs_peer_create (holder, member);
          hs_list_append (&holder->peers, &peer->link);
        }
      hs_peer_begin_view (peer, member);
    }
}

void
hs_ownership_requeue_records (struct hs_ownership *holder)
{
  HS_LIST_FOREACH (link, &holder->flows_lru)
    hs_ownership_update_backups (
        holder, HS_LIST_ENTRY (link, struct hs_flow, lru_link));
  HS_LIST_FOREACH (link, &holder->peers)
    pass_records (holder, HS_LIST_ENTRY (link, struct hs_peer, link));
}

/* The first two in rank, and one more for each of them that leaves, so that
   whoever comes after it knows already.  */
size_t
hs_ownership_select_backups (const struct hs_view *view, uint64_t hash,
                             const struct hs_member **witnesses)
{
  size_t len = hs_view_top_ranked (view, hash, witnesses, HS_BACKUPS_MAX);
  size_t wanted = BACKUPS_NORMAL;

  for (size_t i = 0; i < len && i < wanted && wanted < HS_BACKUPS_MAX; i++)
    if (witnesses[i]->state == HS_MEMBER_DRAINING)
      wanted++;
  return len < wanted ? len : wanted;
}

bool
hs_ownership_is_backup (const struct hs_view *view, uint64_t hash,
                        uint64_t slot)
{
  const struct hs_member *top[HS_BACKUPS_MAX];
  size_t len = hs_ownership_select_backups (view, hash, top);

  for (size_t i = 0; i < len; i++)
    if (top[i]->id == slot)
      return true;
  return false;
}

void
hs_ownership_update_backups (struct hs_ownership *holder, struct hs_flow *flow)
{
  const struct hs_member *top[HS_BACKUPS_MAX];
  size_t len = hs_ownership_select_backups (holder->view, flow->hash, top);
  struct hs_ownership_record record = { .caller = flow->key.caller,
                                        .owner_id = holder->self_id,
                                        .opened_view = flow->opened_view };

  for (size_t i = 0; i < len; i++)
    {
      struct hs_peer *peer = hs_ownership_find_peer (holder, top[i]->id);

      if (peer != NULL && !was_told (flow, top[i]))
        hs_peer_queue_record (peer, &record);
    }
}

/* PEER has acknowledged its push.  */
void
hs_ownership_handle_push_acked (struct hs_ownership *holder,
                                struct hs_peer *peer)
{
  for (size_t i = 0; i < peer->push.len; i++)
    {
      struct hs_flow_key key
          = hs_ownership_record_key (holder, &peer->push.records[i]);
      struct hs_flow *flow = hs_ownership_find_flow (holder, &key);

      if (flow == NULL || was_told (flow, &peer->member))
        continue;
      memmove (&flow->backups[1], &flow->backups[0],
               sizeof flow->backups[0] * (HS_BACKUPS_MAX - 1));
      flow->backups[0].id = peer->member.id;
      flow->backups[0].incarnation = peer->member.incarnation;
    }
}

struct hs_peer *
hs_ownership_find_peer (const struct hs_ownership *holder, uint64_t slot)
{
  HS_LIST_FOREACH (link, &holder->peers)
    {
      struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (peer->member.id == slot)
        return peer;
    }
  return NULL;
}

void
hs_ownership_send_next_push (struct hs_ownership *holder, struct hs_peer *peer,
                             uint64_t now)
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
  send_push (holder, peer);
}

void
hs_ownership_send (struct hs_ownership *holder, const struct hs_member *to,
                   enum hs_flow_message_type type, uint64_t seq,
                   const struct hs_ownership_record *record)
{
  hs_ownership_send_reply (holder, to, type, seq, record, false);
}

void
hs_ownership_send_reply (struct hs_ownership *holder,
                         const struct hs_member *to,
                         enum hs_flow_message_type type, uint64_t seq,
                         const struct hs_ownership_record *record,
                         bool vouched)
{
  struct hs_flow_message message
      = { .type = type,
          .service_id = holder->service_id,
          .view_number = holder->fenced_view > holder->view->number
                             ? holder->fenced_view
                             : holder->view->number,
          .from_id = holder->self_id,
          .from_incarnation = holder->incarnation,
          .to_incarnation = to->incarnation,
          .seq = seq };

  if (record != NULL)
    message.records[message.len++] = *record;
  message.rules_out_missing = vouched;
  holder->ops.send (holder->ctx, to, &message);
}

/* Private definitions.  */

/* What others hold: to the one that held it under the same name before, to
   take it back, and to whoever is a new witness of it, since the holder may
   be unable to say it.  */
static void
pass_records (struct hs_ownership *holder, struct hs_peer *peer)
{
  HS_LIST_FOREACH (link, &holder->record_list)
    {
      const struct record *record = HS_LIST_ENTRY (link, struct record, link);
      struct hs_ownership_record passed
          = { .caller = record->key.caller,
              .owner_id = record->holder,
              .opened_view = record->opened_view };
      const struct hs_peer *keeper
          = hs_ownership_find_peer (holder, record->holder);
      bool suspect
          = keeper != NULL && keeper->member.state == HS_MEMBER_SUSPECT;

      if (record->holder == peer->member.id
              ? peer->needs_first_transfer
              : hs_ownership_is_backup (holder->view, record->node.hash,
                                        peer->member.id)
                    && (peer->needs_first_transfer
                        || peer->transfer_interrupted || suspect
                        || !hs_ownership_is_backup (holder->previous_view,
                                                    record->node.hash,
                                                    peer->member.id)))
        hs_peer_queue_record (peer, &passed);
    }
}

static bool
was_told (const struct hs_flow *flow, const struct hs_member *member)
{
  for (size_t i = 0; i < HS_BACKUPS_MAX; i++)
    if (flow->backups[i].id == member->id
        && flow->backups[i].incarnation == member->incarnation)
      return true;
  return false;
}

static void
send_push (struct hs_ownership *holder, struct hs_peer *peer)
{
  struct hs_flow_message *push = &peer->push;

  push->service_id = holder->service_id;
  push->view_number = holder->view->number;
  push->from_id = holder->self_id;
  push->from_incarnation = holder->incarnation;
  push->to_incarnation = peer->member.incarnation;
  /* A flow that was given up meanwhile is not claimed again.  */
  for (size_t i = 0; i < push->len; i++)
    {
      struct hs_flow_key key
          = hs_ownership_record_key (holder, &push->records[i]);

      if (push->records[i].owner_id == holder->self_id
          && hs_ownership_find_flow (holder, &key) == NULL)
        push->records[i].owner_id = 0;
    }
  holder->ops.send (holder->ctx, &peer->member, push);
}
