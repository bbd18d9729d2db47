/* ownership.c -- which flows this agent owns, and where a packet of any other
   flow goes.

   Every flow has a directory agent: of the members that are not suspect, the
   first in the rendezvous ranking of the flow.  The directory decides which
   agent owns the flow: the directory itself, or the first ready member while
   the directory is draining.  The owner sends its ownership record to the
   backups, which are the first two of these members in the ranking, and more
   if some of them are draining.  So the record is at the directory, if that is
   another agent, and at the member that becomes the directory when the present
   one leaves.

   In each new view every agent pushes to every other member the ownership
   records that it needs.  After the last push its state transfer to that
   member is complete.  Before a directory opens a flow without an ownership
   record, it queries the members whose state transfer to it is not complete.
   An agent opens no new flow while it has seen the number of a later view than
   its own.  A member that has replied to a query therefore cannot open the
   flow in an earlier view afterwards.

   If a member does not reply, and the others cannot rule it out as the owner,
   the directory opens the flow all the same, but marks it uncertain;
   non-idempotent work does not run on an uncertain flow.  If two agents turn
   out to own the same flow, the one that opened it in the earlier view gives
   it up; if the views are the same, the one with the lower agent id.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static struct hs_route_decision refuse (enum hs_reason reason);
static struct hs_route_decision serve (struct hs_flow *flow, bool opened);
static struct hs_route_decision
forward (const struct hs_member *next, uint64_t assigned_view, bool uncertain);
static struct hs_route_decision wait_for_owner (void);
static struct hs_route_decision
route_via_directory (struct hs_ownership *ownership,
                     const struct hs_flow_key *key, const struct hs_hop *hop,
                     uint64_t now);
static struct hs_route_decision route_assigned (struct hs_ownership *ownership,
                                                const struct hs_flow_key *key,
                                                const struct hs_hop *hop,
                                                uint64_t now);
static struct hs_route_decision
route_as_directory (struct hs_ownership *ownership,
                    const struct hs_flow_key *key, const struct hs_hop *hop,
                    uint64_t now);
static struct hs_route_decision route_recorded (struct hs_ownership *ownership,
                                                struct stored_record *record,
                                                const struct hs_hop *hop,
                                                uint64_t now);
static struct hs_route_decision place_new_flow (struct hs_ownership *ownership,
                                                const struct hs_flow_key *key,
                                                const struct hs_hop *hop,
                                                bool uncertain, uint64_t now);
static void touch_flow (struct hs_ownership *ownership, struct hs_flow *flow,
                        const struct hs_hop *hop, uint64_t now);
static void close_idle_flows (struct hs_ownership *ownership, uint64_t now);
static bool match_flow (const struct hs_table_node *node, const void *key);

/* Public definitions.  */

struct hs_ownership *
hs_ownership_create (void *parent, const struct hs_catalog *catalog,
                     uint64_t agent_id, uint64_t incarnation,
                     const struct hs_ownership_ops *ops, void *ctx)
{
  struct hs_ownership *ownership = talloc_zero (parent, struct hs_ownership);

  ownership->catalog = catalog;
  ownership->self_id = agent_id;
  ownership->incarnation = incarnation;
  ownership->ops = *ops;
  ownership->ctx = ctx;
  ownership->flows = hs_table_create (ownership);
  ownership->records = hs_table_create (ownership);
  ownership->lookups = hs_table_create (ownership);
  hs_list_init (&ownership->peers);
  hs_list_init (&ownership->flows_lru);
  hs_list_init (&ownership->record_list);
  hs_list_init (&ownership->lookup_list);
  hs_list_init (&ownership->confirmations);
  return ownership;
}

void
hs_ownership_destroy (struct hs_ownership *ownership)
{
  talloc_free (ownership);
}

void
hs_ownership_set_service (struct hs_ownership *ownership, uint32_t service_id)
{
  ownership->service_id = service_id;
}

void
hs_ownership_set_draining (struct hs_ownership *ownership)
{
  ownership->draining = true;
}

void
hs_ownership_apply_view (struct hs_ownership *ownership, uint64_t now)
{
  const struct hs_catalog_item *item
      = hs_catalog_find (ownership->catalog, ownership->service_id);
  const struct hs_member *self;
  uint64_t old_number = ownership->view != NULL ? ownership->view->number : 0;
  bool suspect;

  if (ownership->service_id == 0 || item == NULL || item->view == NULL
      || item->view->number <= old_number)
    return;
  talloc_free (ownership->previous_view);
  ownership->previous_view = ownership->view;
  ownership->view = hs_view_copy (ownership, item->view);
  self = hs_view_find (ownership->view, ownership->self_id);
  suspect = self != NULL && self->state == HS_MEMBER_SUSPECT;
  hs_ownership_update_peers (ownership);
  /* An agent that was suspect, or may have been in a view that was skipped,
     may have lost flows to other agents.  Sending all of its ownership
     records again reveals the conflicts.  */
  if (suspect || ownership->was_suspect
      || ownership->view->number > old_number + 1)
    HS_LIST_FOREACH (link, &ownership->flows_lru)
      memset (HS_LIST_ENTRY (link, struct hs_flow, lru_link)->backups, 0,
              sizeof (struct hs_backup) * HS_BACKUPS_MAX);
  ownership->was_suspect = suspect;
  hs_ownership_requeue_records (ownership);
  hs_ownership_remove_stale_records (ownership);
  HS_LIST_FOREACH (link, &ownership->lookup_list)
    hs_ownership_remove_lookup (ownership,
                                HS_LIST_ENTRY (link, struct lookup, link));
  ownership->had_all_transfers = ownership->had_all_transfers
                                 || hs_ownership_has_all_transfers (ownership);
  HS_LIST_FOREACH (link, &ownership->confirmations)
    hs_ownership_finish_confirmation (
        ownership, HS_LIST_ENTRY (link, struct confirmation, link), false);
  HS_LIST_FOREACH (link, &ownership->peers)
    hs_ownership_send_next_push (
        ownership, HS_LIST_ENTRY (link, struct hs_peer, link), now);
  ownership->ops.resolved (ownership->ctx);
}

struct hs_route_decision
hs_ownership_route (struct hs_ownership *ownership, const struct hs_hop *hop,
                    uint64_t now)
{
  struct hs_flow_key key = { hop->service_id, hop->caller };
  struct hs_flow *flow;

  if (hop->service_id != ownership->service_id || ownership->service_id == 0)
    return refuse (HS_REASON_WRONG_SERVICE);
  if (hop->to_incarnation != ownership->incarnation)
    return refuse (HS_REASON_WRONG_HOST);
  if (hop->view_number > ownership->fenced_view)
    ownership->fenced_view = hop->view_number;
  flow = hs_ownership_find_flow (ownership, &key);
  if (flow != NULL)
    {
      touch_flow (ownership, flow, hop, now);
      return serve (flow, false);
    }
  if (ownership->view == NULL
      || ownership->fenced_view > ownership->view->number)
    return wait_for_owner ();
  if (hop->assigned_view != 0 && hop->view_number == ownership->view->number)
    return route_assigned (ownership, &key, hop, now);
  return route_via_directory (ownership, &key, hop, now);
}

void
hs_ownership_receive (struct hs_ownership *ownership,
                      const struct hs_flow_message *message, uint64_t now)
{
  struct hs_peer *peer = hs_ownership_find_peer (ownership, message->from_id);

  if (message->service_id != ownership->service_id
      || ownership->service_id == 0
      || message->to_incarnation != ownership->incarnation)
    return;
  if (message->view_number > ownership->fenced_view)
    ownership->fenced_view = message->view_number;
  if (message->type == HS_FLOW_QUERY)
    hs_ownership_handle_query (ownership, message);
  if (peer == NULL || peer->member.incarnation != message->from_incarnation)
    return;
  hs_peer_mark_heard (peer, now);
  peer->resend_ms = RESEND_MIN_MS;
  if (message->type == HS_FLOW_RELEASE)
    {
      hs_ownership_handle_release (ownership, message);
      return;
    }
  if (ownership->view == NULL
      || message->view_number != ownership->view->number)
    return;
  if (message->type == HS_FLOW_PUSH)
    hs_ownership_handle_push (ownership, peer, message);
  else if (message->type == HS_FLOW_REPLY)
    hs_ownership_handle_reply (ownership, peer, message);
  else if (message->type == HS_FLOW_RETRY_LATER)
    hs_ownership_handle_retry_later (ownership, message, now);
  else if (message->type == HS_FLOW_CONFIRM)
    hs_ownership_handle_confirm (ownership, peer, message);
  else if (message->type == HS_FLOW_CONFIRMED)
    hs_ownership_handle_confirmed (ownership, peer, message);
  else if (message->type == HS_FLOW_ACK
           && hs_peer_acknowledge (peer, message->seq))
    {
      hs_ownership_handle_push_acked (ownership, peer);
      if (!peer->transfer_acked)
        hs_ownership_send_next_push (ownership, peer, now);
    }
}

void
hs_ownership_tick (struct hs_ownership *ownership, uint64_t now)
{
  close_idle_flows (ownership, now);
  hs_ownership_expire_lookups (ownership, now);
  hs_ownership_expire_confirmations (ownership, now);
  HS_LIST_FOREACH (link, &ownership->peers)
    hs_ownership_send_next_push (
        ownership, HS_LIST_ENTRY (link, struct hs_peer, link), now);
}

uint64_t
hs_ownership_confirm (struct hs_ownership *ownership,
                      const struct hs_flow *flow, uint64_t now)
{
  const struct hs_member *backups[HS_BACKUPS_MAX];
  size_t len
      = hs_ownership_select_backups (ownership->view, flow->hash, backups);
  struct confirmation *confirmation
      = talloc_zero (ownership, struct confirmation);

  confirmation->key = flow->key;
  confirmation->started_at = now;
  for (size_t i = 0; i < len; i++)
    if (backups[i]->id != ownership->self_id
        && backups[i]->state != HS_MEMBER_SUSPECT)
      confirmation->pending_ids[confirmation->pending_len++] = backups[i]->id;
  if (confirmation->pending_len == 0)
    {
      talloc_free (confirmation);
      return 0;
    }
  confirmation->id = ++ownership->last_confirmation_id;
  hs_list_append (&ownership->confirmations, &confirmation->link);
  hs_ownership_send_confirm (ownership, confirmation);
  return confirmation->id;
}

struct hs_flow *
hs_ownership_find_flow (struct hs_ownership *ownership,
                        const struct hs_flow_key *key)
{
  struct hs_table_node *node = hs_table_find (
      ownership->flows, hs_flow_key_hash (key), match_flow, key);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_flow, node) : NULL;
}

struct hs_ownership_stats
hs_ownership_stats (const struct hs_ownership *ownership)
{
  struct hs_ownership_stats stats = ownership->stats;

  stats.flows = hs_table_len (ownership->flows);
  stats.records = hs_table_len (ownership->records);
  stats.transfers_complete = ownership->view != NULL;
  HS_LIST_FOREACH (link, &ownership->peers)
    if (!HS_LIST_ENTRY (link, struct hs_peer, link)->transfer_complete)
      stats.transfers_complete = false;
  return stats;
}

const struct hs_entry_path *
hs_ownership_last_path (const struct hs_ownership *ownership)
{
  return &ownership->last_path;
}

bool
hs_ownership_is_directory (const struct hs_ownership *ownership,
                           const struct hs_flow_key *key)
{
  const struct hs_member *directory
      = hs_view_directory (ownership->view, hs_flow_key_hash (key));

  return directory != NULL && directory->id == ownership->self_id;
}

struct hs_flow *
hs_ownership_open_flow (struct hs_ownership *ownership,
                        const struct hs_flow_key *key, uint64_t opened_view,
                        bool uncertain, uint64_t now)
{
  struct hs_flow *flow;

  if (hs_table_len (ownership->flows) >= HS_FLOWS_MAX)
    return NULL;
  flow = talloc_zero (ownership, struct hs_flow);
  flow->key = *key;
  flow->hash = hs_flow_key_hash (key);
  flow->opened_view = opened_view;
  flow->last_active_at = now;
  if (uncertain)
    {
      flow->uncertain_until = now + HS_FLOW_UNCERTAIN_MS;
      ownership->stats.uncertain++;
    }
  hs_table_insert (ownership->flows, &flow->node, flow->hash);
  hs_list_append (&ownership->flows_lru, &flow->lru_link);
  hs_ownership_update_backups (ownership, flow);
  return flow;
}

void
hs_ownership_close_flow (struct hs_ownership *ownership, struct hs_flow *flow)
{
  struct hs_ownership_record closed = { .caller = flow->key.caller };

  for (size_t i = 0; i < HS_BACKUPS_MAX; i++)
    {
      struct hs_peer *peer
          = hs_ownership_find_peer (ownership, flow->backups[i].id);

      if (peer != NULL)
        hs_peer_queue_record (peer, &closed);
    }
  ownership->ops.closed (ownership->ctx, flow);
  hs_table_remove (ownership->flows, &flow->node);
  hs_list_remove (&flow->lru_link);
  talloc_free (flow);
}

/* Private definitions.  */

static struct hs_route_decision
refuse (enum hs_reason reason)
{
  return (struct hs_route_decision){ .kind = HS_ROUTE_REFUSE,
                                     .reason = reason };
}

static struct hs_route_decision
serve (struct hs_flow *flow, bool opened)
{
  return (struct hs_route_decision){ .kind = HS_ROUTE_SERVE,
                                     .flow = flow,
                                     .opened = opened };
}

static struct hs_route_decision
forward (const struct hs_member *next, uint64_t assigned_view, bool uncertain)
{
  return (struct hs_route_decision){ .kind = HS_ROUTE_FORWARD,
                                     .next_agent = next,
                                     .next_assigned_view = assigned_view,
                                     .next_uncertain = uncertain };
}

static struct hs_route_decision
wait_for_owner (void)
{
  return (struct hs_route_decision){ .kind = HS_ROUTE_WAIT,
                                     .reason = HS_REASON_OWNER_UNKNOWN };
}

static struct hs_route_decision
route_via_directory (struct hs_ownership *ownership,
                     const struct hs_flow_key *key, const struct hs_hop *hop,
                     uint64_t now)
{
  const struct hs_member *directory
      = hs_view_directory (ownership->view, hs_flow_key_hash (key));

  if (directory == NULL)
    return refuse (HS_REASON_NO_UPSTREAM);
  if (directory->id == ownership->self_id)
    return route_as_directory (ownership, key, hop, now);
  if (hop->hops >= HS_HOPS_MAX)
    return refuse (HS_REASON_OWNER_UNKNOWN);
  return forward (directory, 0, false);
}

/* The directory, in the same view, has assigned the flow to this agent.  The
   directory may know less than this agent, which may have given the flow up
   since, or begun to drain.  */
static struct hs_route_decision
route_assigned (struct hs_ownership *ownership, const struct hs_flow_key *key,
                const struct hs_hop *hop, uint64_t now)
{
  struct stored_record *record = hs_ownership_find_record (ownership, key);
  const struct hs_member *directory
      = hs_view_directory (ownership->view, hs_flow_key_hash (key));
  struct hs_ownership_record reply = { .caller = key->caller };
  struct hs_flow *flow;

  /* The assignment supersedes records that are older than it, and a record
     that names the directory itself as the owner.  */
  if (record != NULL
      && (record->opened_view < hop->assigned_view
          || (directory != NULL && record->owner_id == directory->id)))
    {
      hs_ownership_remove_record (ownership, record);
      record = NULL;
    }
  if (record != NULL || ownership->draining)
    {
      struct hs_peer *peer
          = directory != NULL
                ? hs_ownership_find_peer (ownership, directory->id)
                : NULL;

      reply.owner_id = record != NULL ? record->owner_id : 0;
      reply.opened_view = record != NULL ? record->opened_view : 0;
      if (peer != NULL)
        hs_ownership_send (ownership, &peer->member, HS_FLOW_REPLY, 0, &reply);
      return refuse (HS_REASON_DRAINING);
    }
  flow = hs_ownership_open_flow (ownership, key, hop->assigned_view,
                                 hop->uncertain, now);
  if (flow == NULL)
    return refuse (HS_REASON_OVERLOADED);
  touch_flow (ownership, flow, hop, now);
  return serve (flow, true);
}

static struct hs_route_decision
route_as_directory (struct hs_ownership *ownership,
                    const struct hs_flow_key *key, const struct hs_hop *hop,
                    uint64_t now)
{
  struct stored_record *record = hs_ownership_find_record (ownership, key);
  struct lookup *lookup = hs_ownership_find_lookup (ownership, key);
  enum lookup_result result;

  if (record != NULL)
    return route_recorded (ownership, record, hop, now);
  if (lookup == NULL)
    lookup = hs_ownership_start_lookup (ownership, key, now);
  if (lookup == NULL)
    return refuse (HS_REASON_OVERLOADED);
  result = lookup->result;
  if (result == LOOKUP_PENDING)
    return wait_for_owner ();
  hs_ownership_remove_lookup (ownership, lookup);
  return place_new_flow (ownership, key, hop, result == LOOKUP_UNCERTAIN, now);
}

/* Keeps forwarding to a suspect owner, which may still be alive, until a
   query has gone unanswered for SUSPECT_OWNER_TIMEOUT_MS.  */
static struct hs_route_decision
route_recorded (struct hs_ownership *ownership, struct stored_record *record,
                const struct hs_hop *hop, uint64_t now)
{
  struct hs_peer *peer = hs_ownership_find_peer (ownership, record->owner_id);
  struct hs_ownership_record query
      = { .caller = record->key.caller, .owner_id = record->owner_id };
  struct hs_flow_key key = record->key;

  if (peer == NULL)
    {
      hs_ownership_remove_record (ownership, record);
      return place_new_flow (ownership, &key, hop, true, now);
    }
  if (peer->member.state != HS_MEMBER_SUSPECT)
    return forward (&peer->member, record->opened_view, record->uncertain);
  if (peer->queried_at != 0
      && now - peer->queried_at >= SUSPECT_OWNER_TIMEOUT_MS)
    {
      hs_ownership_remove_record (ownership, record);
      return place_new_flow (ownership, &key, hop, true, now);
    }
  hs_peer_mark_queried (peer, now);
  hs_ownership_send (ownership, &peer->member, HS_FLOW_QUERY, 0, &query);
  return forward (&peer->member, record->opened_view, record->uncertain);
}

static struct hs_route_decision
place_new_flow (struct hs_ownership *ownership, const struct hs_flow_key *key,
                const struct hs_hop *hop, bool uncertain, uint64_t now)
{
  const struct hs_member *next;
  struct hs_flow *flow;

  if (!ownership->draining)
    {
      flow = hs_ownership_open_flow (ownership, key, ownership->view->number,
                                     uncertain, now);
      if (flow == NULL)
        return refuse (HS_REASON_OVERLOADED);
      touch_flow (ownership, flow, hop, now);
      return serve (flow, true);
    }
  next = hs_view_first_ready (ownership->view, hs_flow_key_hash (key));
  if (next == NULL || next->id == ownership->self_id)
    return refuse (HS_REASON_NO_UPSTREAM);
  hs_ownership_put_record (ownership, key, next->id, ownership->view->number);
  /* The first packet to arrive opens the flow at the owner, so every packet
     must carry the flag.  */
  hs_ownership_find_record (ownership, key)->uncertain = uncertain;
  return forward (next, ownership->view->number, uncertain);
}

static void
touch_flow (struct hs_ownership *ownership, struct hs_flow *flow,
            const struct hs_hop *hop, uint64_t now)
{
  if (hop->hops == 0)
    {
      flow->last_path.address = hop->from_address;
      flow->last_path.incarnation = hop->entry_incarnation;
      flow->last_path.last_heard_at = now;
      ownership->last_path = flow->last_path;
    }
  flow->last_active_at = now;
  hs_list_remove (&flow->lru_link);
  hs_list_append (&ownership->flows_lru, &flow->lru_link);
}

static void
close_idle_flows (struct hs_ownership *ownership, uint64_t now)
{
  HS_LIST_FOREACH (link, &ownership->flows_lru)
    {
      struct hs_flow *flow = HS_LIST_ENTRY (link, struct hs_flow, lru_link);

      if (now - flow->last_active_at < HS_FLOW_IDLE_MS)
        break;
      hs_ownership_close_flow (ownership, flow);
    }
}

static bool
match_flow (const struct hs_table_node *node, const void *key)
{
  return hs_flow_key_equal (&HS_LIST_ENTRY (node, struct hs_flow, node)->key,
                            key);
}
