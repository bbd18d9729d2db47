/* peer.c -- the state transfer between this agent and one other member.  */

#include "flow/peer.h"

#include <talloc.h>

/* Types.  */

struct queued_record
{
  struct hs_list link;
  struct hs_ownership_record record;
};

/* Private functions.  */

static void keep_closed_records (struct hs_peer *peer);

/* Public definitions.  */

struct hs_peer *
hs_peer_create (void *parent, const struct hs_member *member)
{
  struct hs_peer *peer = talloc_zero (parent, struct hs_peer);

  peer->member = *member;
  peer->needs_first_transfer = true;
  hs_list_init (&peer->queue);
  return peer;
}

void
hs_peer_begin_view (struct hs_peer *peer, const struct hs_member *member)
{
  peer->member = *member;
  peer->received_seq = 0;
  peer->transfer_complete = false;
  peer->transfer_interrupted = !peer->transfer_acked;
  peer->transfer_acked = false;
  peer->seq = 0;
  keep_closed_records (peer);
  peer->push.type = 0;
}

void
hs_peer_queue_record (struct hs_peer *peer,
                      const struct hs_ownership_record *record)
{
  struct queued_record *queued = talloc_zero (peer, struct queued_record);

  queued->record = *record;
  hs_list_append (&peer->queue, &queued->link);
}

bool
hs_peer_is_idle (const struct hs_peer *peer)
{
  return peer->transfer_acked && hs_list_is_empty (&peer->queue);
}

void
hs_peer_next_push (struct hs_peer *peer, uint64_t now)
{
  struct hs_flow_message *push = &peer->push;
  struct hs_list *link;

  push->type = HS_FLOW_PUSH;
  push->seq = ++peer->seq;
  push->records_len = 0;
  while (push->records_len < HS_FLOW_MESSAGE_RECORDS_MAX
         && (link = hs_list_pop (&peer->queue)) != NULL)
    {
      struct queued_record *queued
          = HS_LIST_ENTRY (link, struct queued_record, link);

      push->records[push->records_len++] = queued->record;
      talloc_free (queued);
    }
  push->transfer_complete = hs_list_is_empty (&peer->queue);
  peer->sent_at = now;
}

bool
hs_peer_acknowledge (struct hs_peer *peer, uint64_t seq)
{
  if (peer->push.type != HS_FLOW_PUSH || peer->push.seq != seq)
    return false;
  peer->push.type = 0;
  if (!peer->push.transfer_complete)
    return true;
  peer->transfer_acked = true;
  peer->needs_first_transfer = false;
  return true;
}

bool
hs_peer_is_unresponsive (const struct hs_peer *peer, uint64_t now)
{
  return peer->queried_at != 0
         && now - peer->queried_at >= HS_QUERY_TIMEOUT_MS;
}

void
hs_peer_mark_queried (struct hs_peer *peer, uint64_t now)
{
  if (peer->queried_at == 0)
    peer->queried_at = now;
}

void
hs_peer_mark_heard (struct hs_peer *peer, uint64_t now)
{
  peer->last_heard_at = now;
  peer->queried_at = 0;
}

/* Private definitions.  */

/* Drops the queued records except those of closed flows, which are stored
   nowhere else, and queues the records of closed flows in the outstanding push
   again.  Records of open flows are queued again for each view.  */
static void
keep_closed_records (struct hs_peer *peer)
{
  HS_LIST_FOREACH (link, &peer->queue)
    {
      struct queued_record *queued
          = HS_LIST_ENTRY (link, struct queued_record, link);

      if (queued->record.owner_id == 0)
        continue;
      hs_list_remove (link);
      talloc_free (queued);
    }
  if (peer->push.type != HS_FLOW_PUSH)
    return;
  for (size_t i = 0; i < peer->push.records_len; i++)
    if (peer->push.records[i].owner_id == 0)
      hs_peer_queue_record (peer, &peer->push.records[i]);
}
