/* ownership.c -- which agent holds a flow.

   A flow has a home, the first member in its ranking that is not suspect,
   and the home decides who holds it: itself while it takes new flows,
   otherwise the first ready member.  The holder keeps the first two in the
   ranking, its witnesses, informed; they are the home, if that is another,
   and the one that becomes home when the home goes.

   On a new view each agent pushes to every other the records it needs and
   then counts as settled with it.  A home that is not settled with a member
   asks it before it opens a flow that nobody told it of.  An answer is also
   a promise: a message of a later view stops its receiver from opening
   flows until it has that view.

   Where a member cannot be asked, the flow is opened all the same, but as
   uncertain: what is not idempotent is not run on it.  When two agents turn
   out to hold a flow, the one that opened it in the earlier view gives it
   up.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static struct hs_route_decision refuse (enum hs_reason reason);
static struct hs_route_decision serve (struct hs_flow *flow, bool opened);
static struct hs_route_decision pass (const struct hs_member *next,
                                      uint64_t assigned_view, bool uncertain);
static struct hs_route_decision wait_for_more (void);
static struct hs_route_decision route_unknown (struct hs_ownership *holder,
                                               const struct hs_flow_key *key,
                                               const struct hs_hop *hop,
                                               uint64_t now);
static struct hs_route_decision route_assigned (struct hs_ownership *holder,
                                                const struct hs_flow_key *key,
                                                const struct hs_hop *hop,
                                                uint64_t now);
static struct hs_route_decision route_at_home (struct hs_ownership *holder,
                                               const struct hs_flow_key *key,
                                               const struct hs_hop *hop,
                                               uint64_t now);
static struct hs_route_decision route_recorded (struct hs_ownership *holder,
                                                struct record *record,
                                                const struct hs_hop *hop,
                                                uint64_t now);
static struct hs_route_decision place_new (struct hs_ownership *holder,
                                           const struct hs_flow_key *key,
                                           const struct hs_hop *hop,
                                           bool uncertain, uint64_t now);
static void touch_flow (struct hs_ownership *holder, struct hs_flow *flow,
                        const struct hs_hop *hop, uint64_t now);
static void close_idle_flows (struct hs_ownership *holder, uint64_t now);
static bool match_flow (const struct hs_table_node *node, const void *key);

/* Public definitions.  */

struct hs_ownership *
hs_ownership_create (void *parent, const struct hs_catalog *catalog,
                     uint64_t slot, uint64_t incarnation,
                     const struct hs_ownership_ops *ops, void *ctx)
{
  struct hs_ownership *holder = talloc_zero (parent, struct hs_ownership);

  holder->catalog = catalog;
  holder->self_id = slot;
  holder->incarnation = incarnation;
  holder->ops = *ops;
  holder->ctx = ctx;
  holder->flows = hs_table_create (holder);
  holder->records = hs_table_create (holder);
  holder->lookups = hs_table_create (holder);
  hs_list_init (&holder->peers);
  hs_list_init (&holder->flows_lru);
  hs_list_init (&holder->record_list);
  hs_list_init (&holder->lookup_list);
  hs_list_init (&holder->confirmations);
  return holder;
}

void
hs_ownership_destroy (struct hs_ownership *holder)
{
  talloc_free (holder);
}

void
hs_ownership_set_service (struct hs_ownership *holder, uint32_t service)
{
  holder->service_id = service;
}

void
hs_ownership_set_draining (struct hs_ownership *holder)
{
  holder->draining = true;
}

void
hs_ownership_apply_view (struct hs_ownership *holder, uint64_t now)
{
  const struct hs_catalog_item *item
      = hs_catalog_find (holder->catalog, holder->service_id);
  const struct hs_member *self;
  uint64_t old = holder->view != NULL ? holder->view->number : 0;
  bool suspect;

  if (holder->service_id == 0 || item == NULL || item->view == NULL
      || item->view->number <= old)
    return;
  talloc_free (holder->previous_view);
  holder->previous_view = holder->view;
  holder->view = hs_view_copy (holder, item->view);
  self = hs_view_find (holder->view, holder->self_id);
  suspect = self != NULL && self->state == HS_MEMBER_SUSPECT;
  hs_ownership_update_peers (holder);
  /* Whoever was suspect, or may have been in a view that was skipped, may
     have lost flows to others meanwhile, and finds out by telling of all.  */
  if (suspect || holder->was_suspect || holder->view->number > old + 1)
    HS_LIST_FOREACH (link, &holder->flows_lru)
      memset (HS_LIST_ENTRY (link, struct hs_flow, lru_link)->backups, 0,
              sizeof (struct hs_backup) * HS_BACKUPS_MAX);
  holder->was_suspect = suspect;
  hs_ownership_requeue_records (holder);
  hs_ownership_remove_stale_records (holder);
  HS_LIST_FOREACH (link, &holder->lookup_list)
    hs_ownership_remove_lookup (holder,
                                HS_LIST_ENTRY (link, struct question, link));
  holder->had_all_transfers
      = holder->had_all_transfers || hs_ownership_has_all_transfers (holder);
  HS_LIST_FOREACH (link, &holder->confirmations)
    hs_ownership_finish_confirmation (
        holder, HS_LIST_ENTRY (link, struct confirm, link), false);
  HS_LIST_FOREACH (link, &holder->peers)
    hs_ownership_send_next_push (
        holder, HS_LIST_ENTRY (link, struct hs_peer, link), now);
  holder->ops.resolved (holder->ctx);
}

struct hs_route_decision
hs_ownership_route (struct hs_ownership *holder, const struct hs_hop *hop,
                    uint64_t now)
{
  struct hs_flow_key key = { hop->service_id, hop->caller };
  struct hs_flow *flow;

  if (hop->service_id != holder->service_id || holder->service_id == 0)
    return refuse (HS_REASON_WRONG_SERVICE);
  if (hop->to_incarnation != holder->incarnation)
    return refuse (HS_REASON_WRONG_HOST);
  if (hop->view_number > holder->fenced_view)
    holder->fenced_view = hop->view_number;
  flow = hs_ownership_find_flow (holder, &key);
  if (flow != NULL)
    {
      touch_flow (holder, flow, hop, now);
      return serve (flow, false);
    }
  if (holder->view == NULL || holder->fenced_view > holder->view->number)
    return wait_for_more ();
  if (hop->assigned_view != 0 && hop->view_number == holder->view->number)
    return route_assigned (holder, &key, hop, now);
  return route_unknown (holder, &key, hop, now);
}

void
hs_ownership_receive (struct hs_ownership *holder,
                      const struct hs_flow_message *message, uint64_t now)
{
  struct hs_peer *peer = hs_ownership_find_peer (holder, message->from_id);

  if (message->service_id != holder->service_id || holder->service_id == 0
      || message->to_incarnation != holder->incarnation)
    return;
  if (message->view_number > holder->fenced_view)
    holder->fenced_view = message->view_number;
  if (message->type == HS_FLOW_QUERY)
    hs_ownership_handle_query (holder, message);
  if (peer == NULL || peer->member.incarnation != message->from_incarnation)
    return;
  hs_peer_mark_heard (peer, now);
  peer->resend_ms = RESEND_MIN_MS;
  if (message->type == HS_FLOW_RELEASE)
    {
      hs_ownership_handle_release (holder, message);
      return;
    }
  if (holder->view == NULL || message->view_number != holder->view->number)
    return;
  if (message->type == HS_FLOW_PUSH)
    hs_ownership_handle_push (holder, peer, message);
  else if (message->type == HS_FLOW_REPLY)
    hs_ownership_handle_reply (holder, peer, message);
  else if (message->type == HS_FLOW_RETRY_LATER)
    hs_ownership_handle_retry_later (holder, message, now);
  else if (message->type == HS_FLOW_CONFIRM)
    hs_ownership_handle_confirm (holder, peer, message);
  else if (message->type == HS_FLOW_CONFIRMED)
    hs_ownership_handle_confirmed (holder, peer, message);
  else if (message->type == HS_FLOW_ACK
           && hs_peer_acknowledge (peer, message->seq))
    {
      hs_ownership_handle_push_acked (holder, peer);
      if (!peer->transfer_acked)
        hs_ownership_send_next_push (holder, peer, now);
    }
}

void
hs_ownership_tick (struct hs_ownership *holder, uint64_t now)
{
  close_idle_flows (holder, now);
  hs_ownership_expire_lookups (holder, now);
  hs_ownership_expire_confirmations (holder, now);
  HS_LIST_FOREACH (link, &holder->peers)
    hs_ownership_send_next_push (
        holder, HS_LIST_ENTRY (link, struct hs_peer, link), now);
}

uint64_t
hs_ownership_confirm (struct hs_ownership *holder, const struct hs_flow *flow,
                      uint64_t now)
{
  const struct hs_member *top[HS_BACKUPS_MAX];
  size_t len = hs_ownership_select_backups (holder->view, flow->hash, top);
  struct confirm *confirm = talloc_zero (holder, struct confirm);

  confirm->key = flow->key;
  confirm->started_at = now;
  for (size_t i = 0; i < len; i++)
    if (top[i]->id != holder->self_id && top[i]->state != HS_MEMBER_SUSPECT)
      confirm->pending_ids[confirm->pending_len++] = top[i]->id;
  if (confirm->pending_len == 0)
    {
      talloc_free (confirm);
      return 0;
    }
  confirm->id = ++holder->last_confirmation_id;
  hs_list_append (&holder->confirmations, &confirm->link);
  hs_ownership_query_backups (holder, confirm);
  return confirm->id;
}

struct hs_flow *
hs_ownership_find_flow (struct hs_ownership *holder,
                        const struct hs_flow_key *key)
{
  struct hs_table_node *node
      = hs_table_find (holder->flows, hs_flow_key_hash (key), match_flow, key);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_flow, node) : NULL;
}

struct hs_ownership_stats
hs_ownership_stats (const struct hs_ownership *holder)
{
  struct hs_ownership_stats stats = holder->stats;

  stats.flows = hs_table_len (holder->flows);
  stats.records = hs_table_len (holder->records);
  stats.transfers_complete = holder->view != NULL;
  HS_LIST_FOREACH (link, &holder->peers)
    if (!HS_LIST_ENTRY (link, struct hs_peer, link)->transfer_complete)
      stats.transfers_complete = false;
  return stats;
}

const struct hs_entry_path *
hs_ownership_last_path (const struct hs_ownership *holder)
{
  return &holder->last_path;
}

bool
hs_ownership_is_directory (const struct hs_ownership *holder,
                           const struct hs_flow_key *key)
{
  const struct hs_member *home
      = hs_view_directory (holder->view, hs_flow_key_hash (key));

  return home != NULL && home->id == holder->self_id;
}

struct hs_flow *
hs_ownership_open_flow (struct hs_ownership *holder,
                        const struct hs_flow_key *key, uint64_t opened_view,
                        bool uncertain, uint64_t now)
{
  struct hs_flow *flow;

  if (hs_table_len (holder->flows) >= HS_FLOWS_MAX)
    return NULL;
  flow = talloc_zero (holder, struct hs_flow);
  flow->key = *key;
  flow->hash = hs_flow_key_hash (key);
  flow->opened_view = opened_view;
  flow->last_active_at = now;
  if (uncertain)
    {
      flow->uncertain_until = now + HS_FLOW_UNCERTAIN_MS;
      holder->stats.uncertain++;
    }
  hs_table_insert (holder->flows, &flow->node, flow->hash);
  hs_list_append (&holder->flows_lru, &flow->lru_link);
  hs_ownership_update_backups (holder, flow);
  return flow;
}

void
hs_ownership_close_flow (struct hs_ownership *holder, struct hs_flow *flow)
{
  struct hs_ownership_record closed = { .caller = flow->key.caller };

  for (size_t i = 0; i < HS_BACKUPS_MAX; i++)
    {
      struct hs_peer *peer
          = hs_ownership_find_peer (holder, flow->backups[i].id);

      if (peer != NULL)
        hs_peer_queue_record (peer, &closed);
    }
  holder->ops.closed (holder->ctx, flow);
  hs_table_remove (holder->flows, &flow->node);
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
pass (const struct hs_member *next, uint64_t assigned_view, bool uncertain)
{
  return (struct hs_route_decision){ .kind = HS_ROUTE_FORWARD,
                                     .next_agent = next,
                                     .next_assigned_view = assigned_view,
                                     .next_uncertain = uncertain };
}

static struct hs_route_decision
wait_for_more (void)
{
  return (struct hs_route_decision){ .kind = HS_ROUTE_WAIT,
                                     .reason = HS_REASON_OWNER_UNKNOWN };
}

static struct hs_route_decision
route_unknown (struct hs_ownership *holder, const struct hs_flow_key *key,
               const struct hs_hop *hop, uint64_t now)
{
  const struct hs_member *home
      = hs_view_directory (holder->view, hs_flow_key_hash (key));

  if (home == NULL)
    return refuse (HS_REASON_NO_UPSTREAM);
  if (home->id == holder->self_id)
    return route_at_home (holder, key, hop, now);
  if (hop->hops >= HS_HOPS_MAX)
    return refuse (HS_REASON_OWNER_UNKNOWN);
  return pass (home, 0, false);
}

/* The home, in the same view, has chosen this agent.  It may know less: this
   agent may have given the flow up since, or have begun to leave.  */
static struct hs_route_decision
route_assigned (struct hs_ownership *holder, const struct hs_flow_key *key,
                const struct hs_hop *hop, uint64_t now)
{
  struct record *record = hs_ownership_find_record (holder, key);
  const struct hs_member *home
      = hs_view_directory (holder->view, hs_flow_key_hash (key));
  struct hs_ownership_record told = { .caller = key->caller };
  struct hs_flow *flow;

  /* What was so before the home chose is no longer, and nor is it that the
     home itself holds the flow.  */
  if (record != NULL
      && (record->opened_view < hop->assigned_view
          || (home != NULL && record->holder == home->id)))
    {
      hs_ownership_remove_record (holder, record);
      record = NULL;
    }
  if (record != NULL || holder->draining)
    {
      struct hs_peer *peer
          = home != NULL ? hs_ownership_find_peer (holder, home->id) : NULL;

      told.owner_id = record != NULL ? record->holder : 0;
      told.opened_view = record != NULL ? record->opened_view : 0;
      if (peer != NULL)
        hs_ownership_send (holder, &peer->member, HS_FLOW_REPLY, 0, &told);
      return refuse (HS_REASON_DRAINING);
    }
  flow = hs_ownership_open_flow (holder, key, hop->assigned_view,
                                 hop->uncertain, now);
  if (flow == NULL)
    return refuse (HS_REASON_OVERLOADED);
  touch_flow (holder, flow, hop, now);
  return serve (flow, true);
}

static struct hs_route_decision
route_at_home (struct hs_ownership *holder, const struct hs_flow_key *key,
               const struct hs_hop *hop, uint64_t now)
{
  struct record *record = hs_ownership_find_record (holder, key);
  struct question *question = hs_ownership_find_lookup (holder, key);
  enum answer answer;

  if (record != NULL)
    return route_recorded (holder, record, hop, now);
  if (question == NULL)
    question = hs_ownership_start_lookup (holder, key, now);
  if (question == NULL)
    return refuse (HS_REASON_OVERLOADED);
  answer = question->result;
  if (answer == LOOKUP_PENDING)
    return wait_for_more ();
  hs_ownership_remove_lookup (holder, question);
  return place_new (holder, key, hop, answer == LOOKUP_UNCERTAIN, now);
}

/* A suspect holder is passed what is its own as long as it may be alive.  */
static struct hs_route_decision
route_recorded (struct hs_ownership *holder, struct record *record,
                const struct hs_hop *hop, uint64_t now)
{
  struct hs_peer *peer = hs_ownership_find_peer (holder, record->holder);
  struct hs_ownership_record asked
      = { .caller = record->key.caller, .owner_id = record->holder };
  struct hs_flow_key key = record->key;

  if (peer == NULL)
    {
      hs_ownership_remove_record (holder, record);
      return place_new (holder, &key, hop, true, now);
    }
  if (peer->member.state != HS_MEMBER_SUSPECT)
    return pass (&peer->member, record->opened_view, record->uncertain);
  if (peer->queried_at != 0 && now - peer->queried_at >= LOST_MS)
    {
      hs_ownership_remove_record (holder, record);
      return place_new (holder, &key, hop, true, now);
    }
  hs_peer_mark_queried (peer, now);
  hs_ownership_send (holder, &peer->member, HS_FLOW_QUERY, 0, &asked);
  return pass (&peer->member, record->opened_view, record->uncertain);
}

static struct hs_route_decision
place_new (struct hs_ownership *holder, const struct hs_flow_key *key,
           const struct hs_hop *hop, bool uncertain, uint64_t now)
{
  const struct hs_member *next;
  struct hs_flow *flow;

  if (!holder->draining)
    {
      flow = hs_ownership_open_flow (holder, key, holder->view->number,
                                     uncertain, now);
      if (flow == NULL)
        return refuse (HS_REASON_OVERLOADED);
      touch_flow (holder, flow, hop, now);
      return serve (flow, true);
    }
  next = hs_view_first_ready (holder->view, hs_flow_key_hash (key));
  if (next == NULL || next->id == holder->self_id)
    return refuse (HS_REASON_NO_UPSTREAM);
  hs_ownership_put_record (holder, key, next->id, holder->view->number);
  /* Whichever of its packets comes first opens the flow there.  */
  hs_ownership_find_record (holder, key)->uncertain = uncertain;
  return pass (next, holder->view->number, uncertain);
}

static void
touch_flow (struct hs_ownership *holder, struct hs_flow *flow,
            const struct hs_hop *hop, uint64_t now)
{
  if (hop->hops == 0)
    {
      flow->last_path.address = hop->from_address;
      flow->last_path.incarnation = hop->entry_incarnation;
      flow->last_path.last_heard_at = now;
      holder->last_path = flow->last_path;
    }
  flow->last_active_at = now;
  hs_list_remove (&flow->lru_link);
  hs_list_append (&holder->flows_lru, &flow->lru_link);
}

static void
close_idle_flows (struct hs_ownership *holder, uint64_t now)
{
  HS_LIST_FOREACH (link, &holder->flows_lru)
    {
      struct hs_flow *flow = HS_LIST_ENTRY (link, struct hs_flow, lru_link);

      if (now - flow->last_active_at < HS_FLOW_IDLE_MS)
        break;
      hs_ownership_close_flow (holder, flow);
    }
}

static bool
match_flow (const struct hs_table_node *node, const void *key)
{
  return hs_flow_key_equal (&HS_LIST_ENTRY (node, struct hs_flow, node)->key,
                            key);
}
