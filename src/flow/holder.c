/* holder.c -- which agent holds a flow.

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

#include "flow/holder_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static struct hs_route refuse (enum hs_reason reason);
static struct hs_route serve (struct hs_flow *flow, bool opened);
static struct hs_route pass (const struct hs_member *next,
                             uint64_t assigned_view, bool uncertain);
static struct hs_route wait_for_more (void);
static struct hs_route route_unknown (struct hs_holder *holder,
                                      const struct hs_flow_key *key,
                                      const struct hs_hop *hop, uint64_t now);
static struct hs_route route_assigned (struct hs_holder *holder,
                                       const struct hs_flow_key *key,
                                       const struct hs_hop *hop, uint64_t now);
static struct hs_route route_at_home (struct hs_holder *holder,
                                      const struct hs_flow_key *key,
                                      const struct hs_hop *hop, uint64_t now);
static struct hs_route route_recorded (struct hs_holder *holder,
                                       struct record *record,
                                       const struct hs_hop *hop, uint64_t now);
static struct hs_route place_new (struct hs_holder *holder,
                                  const struct hs_flow_key *key,
                                  const struct hs_hop *hop, bool uncertain,
                                  uint64_t now);
static void touch_flow (struct hs_holder *holder, struct hs_flow *flow,
                        const struct hs_hop *hop, uint64_t now);
static void close_idle_flows (struct hs_holder *holder, uint64_t now);
static bool match_flow (const struct hs_table_node *node, const void *key);

/* Public definitions.  */

struct hs_holder *
hs_holder_create (void *parent, const struct hs_catalog *catalog,
                  uint64_t slot, uint64_t incarnation,
                  const struct hs_holder_ops *ops, void *ctx)
{
  struct hs_holder *holder = talloc_zero (parent, struct hs_holder);

  holder->catalog = catalog;
  holder->slot = slot;
  holder->incarnation = incarnation;
  holder->ops = *ops;
  holder->ctx = ctx;
  holder->flows = hs_table_create (holder);
  holder->records = hs_table_create (holder);
  holder->questions = hs_table_create (holder);
  hs_list_init (&holder->peers);
  hs_list_init (&holder->flow_ages);
  hs_list_init (&holder->record_list);
  hs_list_init (&holder->question_list);
  hs_list_init (&holder->confirms);
  return holder;
}

void
hs_holder_destroy (struct hs_holder *holder)
{
  talloc_free (holder);
}

void
hs_holder_set_service (struct hs_holder *holder, uint32_t service)
{
  holder->service = service;
}

void
hs_holder_set_leaving (struct hs_holder *holder)
{
  holder->leaving = true;
}

void
hs_holder_adopt (struct hs_holder *holder, uint64_t now)
{
  const struct hs_item *item
      = hs_catalog_find (holder->catalog, holder->service);
  const struct hs_member *self;
  uint64_t old = holder->view != NULL ? holder->view->number : 0;
  bool suspect;

  if (holder->service == 0 || item == NULL || item->view == NULL
      || item->view->number <= old)
    return;
  talloc_free (holder->previous);
  holder->previous = holder->view;
  holder->view = hs_view_copy (holder, item->view);
  self = hs_view_find (holder->view, holder->slot);
  suspect = self != NULL && self->state == HS_MEMBER_SUSPECT;
  hs_holder_update_peers (holder);
  /* Whoever was suspect, or may have been in a view that was skipped, may
     have lost flows to others meanwhile, and finds out by telling of all.  */
  if (suspect || holder->was_suspect || holder->view->number > old + 1)
    HS_LIST_FOREACH (link, &holder->flow_ages)
      memset (HS_LIST_ENTRY (link, struct hs_flow, age)->told, 0,
              sizeof (struct hs_witness) * HS_WITNESSES);
  holder->was_suspect = suspect;
  hs_holder_requeue_flows (holder);
  hs_holder_drop_records_of_gone (holder);
  HS_LIST_FOREACH (link, &holder->question_list)
    hs_holder_forget_question (holder,
                               HS_LIST_ENTRY (link, struct question, link));
  holder->informed = holder->informed || hs_holder_knows_all (holder);
  HS_LIST_FOREACH (link, &holder->confirms)
    hs_holder_finish_confirm (
        holder, HS_LIST_ENTRY (link, struct confirm, link), false);
  HS_LIST_FOREACH (link, &holder->peers)
    hs_holder_pump (holder, HS_LIST_ENTRY (link, struct hs_peer, link), now);
  holder->ops.resolved (holder->ctx);
}

struct hs_route
hs_holder_route (struct hs_holder *holder, const struct hs_hop *hop,
                 uint64_t now)
{
  struct hs_flow_key key = { hop->service, hop->caller };
  struct hs_flow *flow;

  if (hop->service != holder->service || holder->service == 0)
    return refuse (HS_REASON_WRONG_SERVICE);
  if (hop->incarnation != holder->incarnation)
    return refuse (HS_REASON_WRONG_HOST);
  if (hop->view > holder->promised)
    holder->promised = hop->view;
  flow = hs_holder_find (holder, &key);
  if (flow != NULL)
    {
      touch_flow (holder, flow, hop, now);
      return serve (flow, false);
    }
  if (holder->view == NULL || holder->promised > holder->view->number)
    return wait_for_more ();
  if (hop->assigned_view != 0 && hop->view == holder->view->number)
    return route_assigned (holder, &key, hop, now);
  return route_unknown (holder, &key, hop, now);
}

void
hs_holder_receive (struct hs_holder *holder,
                   const struct hs_flow_message *message, uint64_t now)
{
  struct hs_peer *peer = hs_holder_find_peer (holder, message->from);

  if (message->service != holder->service || holder->service == 0
      || message->to_incarnation != holder->incarnation)
    return;
  if (message->view > holder->promised)
    holder->promised = message->view;
  if (message->type == HS_FLOW_ASK)
    hs_holder_handle_ask (holder, message);
  if (peer == NULL || peer->member.incarnation != message->from_incarnation)
    return;
  hs_peer_note_heard (peer, now);
  peer->resend_ms = RESEND_MIN_MS;
  if (message->type == HS_FLOW_RELEASE)
    {
      hs_holder_handle_release (holder, message);
      return;
    }
  if (holder->view == NULL || message->view != holder->view->number)
    return;
  if (message->type == HS_FLOW_PUSH)
    hs_holder_handle_push (holder, peer, message);
  else if (message->type == HS_FLOW_TELL)
    hs_holder_handle_tell (holder, peer, message);
  else if (message->type == HS_FLOW_LATER)
    hs_holder_handle_later (holder, message, now);
  else if (message->type == HS_FLOW_CONFIRM)
    hs_holder_handle_confirm (holder, peer, message);
  else if (message->type == HS_FLOW_CONFIRMED)
    hs_holder_handle_confirmed (holder, peer, message);
  else if (message->type == HS_FLOW_ACK
           && hs_peer_acknowledge (peer, message->seq))
    {
      hs_holder_note_told (holder, peer);
      if (!peer->settled_sent)
        hs_holder_pump (holder, peer, now);
    }
}

void
hs_holder_tick (struct hs_holder *holder, uint64_t now)
{
  close_idle_flows (holder, now);
  hs_holder_expire_questions (holder, now);
  hs_holder_expire_confirms (holder, now);
  HS_LIST_FOREACH (link, &holder->peers)
    hs_holder_pump (holder, HS_LIST_ENTRY (link, struct hs_peer, link), now);
}

uint64_t
hs_holder_confirm (struct hs_holder *holder, const struct hs_flow *flow,
                   uint64_t now)
{
  const struct hs_member *top[HS_WITNESSES];
  size_t len = hs_holder_find_witnesses (holder->view, flow->hash, top);
  struct confirm *confirm = talloc_zero (holder, struct confirm);

  confirm->key = flow->key;
  confirm->asked_at = now;
  for (size_t i = 0; i < len; i++)
    if (top[i]->slot != holder->slot && top[i]->state != HS_MEMBER_SUSPECT)
      confirm->pending[confirm->pending_len++] = top[i]->slot;
  if (confirm->pending_len == 0)
    {
      talloc_free (confirm);
      return 0;
    }
  confirm->id = ++holder->last_confirm;
  hs_list_append (&holder->confirms, &confirm->link);
  hs_holder_ask_witnesses (holder, confirm);
  return confirm->id;
}

struct hs_flow *
hs_holder_find (struct hs_holder *holder, const struct hs_flow_key *key)
{
  struct hs_table_node *node
      = hs_table_find (holder->flows, hs_flow_key_hash (key), match_flow, key);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_flow, node) : NULL;
}

struct hs_holder_stats
hs_holder_stats (const struct hs_holder *holder)
{
  struct hs_holder_stats stats = holder->stats;

  stats.flows = hs_table_len (holder->flows);
  stats.records = hs_table_len (holder->records);
  stats.settled = holder->view != NULL;
  HS_LIST_FOREACH (link, &holder->peers)
    if (!HS_LIST_ENTRY (link, struct hs_peer, link)->settled)
      stats.settled = false;
  return stats;
}

const struct hs_entry_path *
hs_holder_heard (const struct hs_holder *holder)
{
  return &holder->heard;
}

bool
hs_holder_is_home (const struct hs_holder *holder,
                   const struct hs_flow_key *key)
{
  const struct hs_member *home
      = hs_view_home (holder->view, hs_flow_key_hash (key));

  return home != NULL && home->slot == holder->slot;
}

struct hs_flow *
hs_holder_open_flow (struct hs_holder *holder, const struct hs_flow_key *key,
                     uint64_t opened_view, bool uncertain, uint64_t now)
{
  struct hs_flow *flow;

  if (hs_table_len (holder->flows) >= HS_FLOWS_MAX)
    return NULL;
  flow = talloc_zero (holder, struct hs_flow);
  flow->key = *key;
  flow->hash = hs_flow_key_hash (key);
  flow->opened_view = opened_view;
  flow->active_at = now;
  if (uncertain)
    {
      flow->uncertain_until = now + HS_UNCERTAIN_MS;
      holder->stats.uncertain++;
    }
  hs_table_insert (holder->flows, &flow->node, flow->hash);
  hs_list_append (&holder->flow_ages, &flow->age);
  hs_holder_tell_witnesses (holder, flow);
  return flow;
}

void
hs_holder_close_flow (struct hs_holder *holder, struct hs_flow *flow)
{
  struct hs_flow_record closed = { .caller = flow->key.caller };

  for (size_t i = 0; i < HS_WITNESSES; i++)
    {
      struct hs_peer *peer = hs_holder_find_peer (holder, flow->told[i].slot);

      if (peer != NULL)
        hs_peer_queue (peer, &closed);
    }
  holder->ops.closed (holder->ctx, flow);
  hs_table_remove (holder->flows, &flow->node);
  hs_list_remove (&flow->age);
  talloc_free (flow);
}

/* Private definitions.  */

static struct hs_route
refuse (enum hs_reason reason)
{
  return (struct hs_route){ .kind = HS_ROUTE_REFUSE, .reason = reason };
}

static struct hs_route
serve (struct hs_flow *flow, bool opened)
{
  return (struct hs_route){ .kind = HS_ROUTE_SERVE,
                            .flow = flow,
                            .opened = opened };
}

static struct hs_route
pass (const struct hs_member *next, uint64_t assigned_view, bool uncertain)
{
  return (struct hs_route){ .kind = HS_ROUTE_PASS,
                            .next = next,
                            .next_assigned_view = assigned_view,
                            .next_uncertain = uncertain };
}

static struct hs_route
wait_for_more (void)
{
  return (struct hs_route){ .kind = HS_ROUTE_WAIT,
                            .reason = HS_REASON_NOT_SETTLED };
}

static struct hs_route
route_unknown (struct hs_holder *holder, const struct hs_flow_key *key,
               const struct hs_hop *hop, uint64_t now)
{
  const struct hs_member *home
      = hs_view_home (holder->view, hs_flow_key_hash (key));

  if (home == NULL)
    return refuse (HS_REASON_NO_UPSTREAM);
  if (home->slot == holder->slot)
    return route_at_home (holder, key, hop, now);
  if (hop->hops >= HS_HOPS_MAX)
    return refuse (HS_REASON_NOT_SETTLED);
  return pass (home, 0, false);
}

/* The home, in the same view, has chosen this agent.  It may know less: this
   agent may have given the flow up since, or have begun to leave.  */
static struct hs_route
route_assigned (struct hs_holder *holder, const struct hs_flow_key *key,
                const struct hs_hop *hop, uint64_t now)
{
  struct record *record = hs_holder_find_record (holder, key);
  const struct hs_member *home
      = hs_view_home (holder->view, hs_flow_key_hash (key));
  struct hs_flow_record told = { .caller = key->caller };
  struct hs_flow *flow;

  /* What was so before the home chose is no longer, and nor is it that the
     home itself holds the flow.  */
  if (record != NULL
      && (record->opened_view < hop->assigned_view
          || (home != NULL && record->holder == home->slot)))
    {
      hs_holder_drop_record (holder, record);
      record = NULL;
    }
  if (record != NULL || holder->leaving)
    {
      struct hs_peer *peer
          = home != NULL ? hs_holder_find_peer (holder, home->slot) : NULL;

      told.holder = record != NULL ? record->holder : 0;
      told.opened_view = record != NULL ? record->opened_view : 0;
      if (peer != NULL)
        hs_holder_send_one (holder, &peer->member, HS_FLOW_TELL, 0, &told);
      return refuse (HS_REASON_LEAVING);
    }
  flow = hs_holder_open_flow (holder, key, hop->assigned_view, hop->uncertain,
                              now);
  if (flow == NULL)
    return refuse (HS_REASON_OVERLOADED);
  touch_flow (holder, flow, hop, now);
  return serve (flow, true);
}

static struct hs_route
route_at_home (struct hs_holder *holder, const struct hs_flow_key *key,
               const struct hs_hop *hop, uint64_t now)
{
  struct record *record = hs_holder_find_record (holder, key);
  struct question *question = hs_holder_find_question (holder, key);
  enum answer answer;

  if (record != NULL)
    return route_recorded (holder, record, hop, now);
  if (question == NULL)
    question = hs_holder_ask (holder, key, now);
  if (question == NULL)
    return refuse (HS_REASON_OVERLOADED);
  answer = question->answer;
  if (answer == ANSWER_PENDING)
    return wait_for_more ();
  hs_holder_forget_question (holder, question);
  return place_new (holder, key, hop, answer == ANSWER_UNCERTAIN, now);
}

/* A suspect holder is passed what is its own as long as it may be alive.  */
static struct hs_route
route_recorded (struct hs_holder *holder, struct record *record,
                const struct hs_hop *hop, uint64_t now)
{
  struct hs_peer *peer = hs_holder_find_peer (holder, record->holder);
  struct hs_flow_record asked
      = { .caller = record->key.caller, .holder = record->holder };
  struct hs_flow_key key = record->key;

  if (peer == NULL)
    {
      hs_holder_drop_record (holder, record);
      return place_new (holder, &key, hop, true, now);
    }
  if (peer->member.state != HS_MEMBER_SUSPECT)
    return pass (&peer->member, record->opened_view, record->uncertain);
  if (peer->asked_at != 0 && now - peer->asked_at >= LOST_MS)
    {
      hs_holder_drop_record (holder, record);
      return place_new (holder, &key, hop, true, now);
    }
  hs_peer_note_asked (peer, now);
  hs_holder_send_one (holder, &peer->member, HS_FLOW_ASK, 0, &asked);
  return pass (&peer->member, record->opened_view, record->uncertain);
}

static struct hs_route
place_new (struct hs_holder *holder, const struct hs_flow_key *key,
           const struct hs_hop *hop, bool uncertain, uint64_t now)
{
  const struct hs_member *next;
  struct hs_flow *flow;

  if (!holder->leaving)
    {
      flow = hs_holder_open_flow (holder, key, holder->view->number, uncertain,
                                  now);
      if (flow == NULL)
        return refuse (HS_REASON_OVERLOADED);
      touch_flow (holder, flow, hop, now);
      return serve (flow, true);
    }
  next = hs_view_first_ready (holder->view, hs_flow_key_hash (key));
  if (next == NULL || next->slot == holder->slot)
    return refuse (HS_REASON_NO_UPSTREAM);
  hs_holder_put_record (holder, key, next->slot, holder->view->number);
  /* Whichever of its packets comes first opens the flow there.  */
  hs_holder_find_record (holder, key)->uncertain = uncertain;
  return pass (next, holder->view->number, uncertain);
}

static void
touch_flow (struct hs_holder *holder, struct hs_flow *flow,
            const struct hs_hop *hop, uint64_t now)
{
  if (hop->hops == 0)
    {
      flow->heard.address = hop->from;
      flow->heard.incarnation = hop->entry;
      flow->heard.heard_at = now;
      holder->heard = flow->heard;
    }
  flow->active_at = now;
  hs_list_remove (&flow->age);
  hs_list_append (&holder->flow_ages, &flow->age);
}

static void
close_idle_flows (struct hs_holder *holder, uint64_t now)
{
  HS_LIST_FOREACH (link, &holder->flow_ages)
    {
      struct hs_flow *flow = HS_LIST_ENTRY (link, struct hs_flow, age);

      if (now - flow->active_at < HS_FLOW_IDLE_MS)
        break;
      hs_holder_close_flow (holder, flow);
    }
}

static bool
match_flow (const struct hs_table_node *node, const void *key)
{
  return hs_flow_key_equal (&HS_LIST_ENTRY (node, struct hs_flow, node)->key,
                            key);
}
