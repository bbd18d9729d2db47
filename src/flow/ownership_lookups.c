/* ownership_lookups.c -- owner lookups, which a directory makes before it
   opens a flow, and confirmations, which an owner needs before it runs
   non-idempotent work.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static void resolve_without_missing (struct hs_ownership *ownership,
                                     struct lookup *lookup);
static void resend_queries (struct hs_ownership *ownership,
                            const struct lookup *lookup);
static bool match_lookup (const struct hs_table_node *node, const void *key);
static bool all_transfers_acked (const struct hs_ownership *ownership);

/* Public definitions.  */

struct lookup *
hs_ownership_find_lookup (const struct hs_ownership *ownership,
                          const struct hs_flow_key *key)
{
  struct hs_table_node *node = hs_table_find (
      ownership->lookups, hs_flow_key_hash (key), match_lookup, key);

  return node != NULL ? HS_LIST_ENTRY (node, struct lookup, node) : NULL;
}

struct lookup *
hs_ownership_start_lookup (struct hs_ownership *ownership,
                           const struct hs_flow_key *key, uint64_t now)
{
  struct hs_ownership_record query = { .caller = key->caller };
  struct lookup *lookup;

  if (hs_table_len (ownership->lookups) >= LOOKUPS_MAX)
    return NULL;
  lookup = talloc_zero (ownership, struct lookup);
  lookup->key = *key;
  lookup->queried_at = now;
  lookup->pending_ids
      = talloc_array (lookup, uint64_t, ownership->view->members_len);
  hs_table_insert (ownership->lookups, &lookup->node, hs_flow_key_hash (key));
  hs_list_append (&ownership->lookup_list, &lookup->link);
  HS_LIST_FOREACH (link, &ownership->peers)
    {
      struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (peer->transfer_complete)
        continue;
      /* A member that has left an earlier query unanswered is not waited for
         again.  */
      if (hs_peer_is_unresponsive (peer, now))
        {
          lookup->unresponsive_len++;
          lookup->unresponsive_id = peer->member.id;
        }
      else
        lookup->pending_ids[lookup->pending_len++] = peer->member.id;
      hs_peer_mark_queried (peer, now);
      hs_ownership_send (ownership, &peer->member, HS_FLOW_QUERY, 0, &query);
      ownership->stats.queries_sent++;
    }
  lookup->result = LOOKUP_PENDING;
  if (lookup->pending_len == 0)
    resolve_without_missing (ownership, lookup);
  return lookup;
}

bool
hs_ownership_can_rule_out (const struct hs_ownership *ownership,
                           const struct hs_peer *peer,
                           const struct hs_flow_key *key)
{
  return peer->transfer_view != NULL
         && hs_ownership_is_backup (
             peer->transfer_view, hs_flow_key_hash (key), ownership->self_id);
}

void
hs_ownership_handle_not_owned (struct hs_ownership *ownership,
                               struct lookup *lookup, uint64_t agent_id,
                               bool ruled_out)
{
  if (lookup->result != LOOKUP_PENDING)
    return;
  for (size_t i = 0; i < lookup->pending_len; i++)
    if (lookup->pending_ids[i] == agent_id)
      lookup->pending_ids[i] = lookup->pending_ids[--lookup->pending_len];
  if (lookup->missing_id != 0 && ruled_out)
    lookup->result = LOOKUP_UNOWNED;
  else if (lookup->pending_len == 0 && lookup->missing_id != 0)
    lookup->result = LOOKUP_UNCERTAIN;
  else if (lookup->pending_len == 0)
    resolve_without_missing (ownership, lookup);
  if (lookup->result != LOOKUP_PENDING)
    ownership->ops.resolved (ownership->ctx);
}

void
hs_ownership_expire_lookups (struct hs_ownership *ownership, uint64_t now)
{
  bool resolved = false;

  HS_LIST_FOREACH (link, &ownership->lookup_list)
    {
      struct lookup *lookup = HS_LIST_ENTRY (link, struct lookup, link);

      if (now - lookup->queried_at >= LOOKUP_LIFETIME_MS)
        hs_ownership_remove_lookup (ownership, lookup);
      else if (lookup->result == LOOKUP_PENDING
               && now - lookup->queried_at >= HS_QUERY_TIMEOUT_MS)
        {
          if (lookup->missing_id != 0)
            lookup->result = LOOKUP_UNCERTAIN;
          else
            resolve_without_missing (ownership, lookup);
          lookup->queried_at = now;
          resolved = resolved || lookup->result != LOOKUP_PENDING;
        }
      else if (lookup->result == LOOKUP_PENDING)
        resend_queries (ownership, lookup);
    }
  if (resolved)
    ownership->ops.resolved (ownership->ctx);
}

void
hs_ownership_remove_lookup (struct hs_ownership *ownership,
                            struct lookup *lookup)
{
  hs_table_remove (ownership->lookups, &lookup->node);
  hs_list_remove (&lookup->link);
  talloc_free (lookup);
}

void
hs_ownership_send_confirm (struct hs_ownership *ownership,
                           const struct confirmation *confirmation)
{
  const struct hs_flow *flow
      = hs_ownership_find_flow (ownership, &confirmation->key);
  struct hs_ownership_record claim
      = { .caller = confirmation->key.caller, .owner_id = ownership->self_id };

  if (flow == NULL || !all_transfers_acked (ownership))
    return;
  claim.opened_view = flow->opened_view;
  for (size_t i = 0; i < confirmation->pending_len; i++)
    {
      const struct hs_peer *peer
          = hs_ownership_find_peer (ownership, confirmation->pending_ids[i]);

      if (peer != NULL)
        hs_ownership_send (ownership, &peer->member, HS_FLOW_CONFIRM,
                           confirmation->id, &claim);
    }
}

void
hs_ownership_finish_confirmation (struct hs_ownership *ownership,
                                  struct confirmation *confirmation,
                                  bool may_run)
{
  uint64_t id = confirmation->id;

  /* The flow may have been released before the last answer arrived.  */
  may_run = may_run
            && hs_ownership_find_flow (ownership, &confirmation->key) != NULL;
  hs_list_remove (&confirmation->link);
  talloc_free (confirmation);
  ownership->ops.confirmed (ownership->ctx, id, may_run);
}

void
hs_ownership_expire_confirmations (struct hs_ownership *ownership,
                                   uint64_t now)
{
  HS_LIST_FOREACH (link, &ownership->confirmations)
    {
      struct confirmation *confirmation
          = HS_LIST_ENTRY (link, struct confirmation, link);

      if (now - confirmation->started_at >= CONFIRM_TIMEOUT_MS)
        hs_ownership_finish_confirmation (ownership, confirmation, false);
      else
        hs_ownership_send_confirm (ownership, confirmation);
    }
}

bool
hs_ownership_has_all_transfers (const struct hs_ownership *ownership)
{
  HS_LIST_FOREACH (link, &ownership->peers)
    {
      const struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (!peer->transfer_complete && peer->member.state != HS_MEMBER_SUSPECT)
        return false;
    }
  return true;
}

/* A backup does not answer if it has heard of a later view, owns the flow
   itself, has a record of another agent that opened the flow in a later view,
   or does not yet have the state transfer of every reachable member.
   Otherwise it stores the record and answers.  */
void
hs_ownership_handle_confirm (struct hs_ownership *ownership,
                             struct hs_peer *peer,
                             const struct hs_flow_message *message)
{
  const struct hs_ownership_record *claim = &message->records[0];
  struct hs_flow_key key = hs_ownership_record_key (ownership, claim);
  const struct stored_record *known
      = hs_ownership_find_record (ownership, &key);

  if (message->records_len == 0 || claim->owner_id != peer->member.id
      || ownership->fenced_view > ownership->view->number
      || !hs_ownership_has_all_transfers (ownership)
      || hs_ownership_find_flow (ownership, &key) != NULL
      || (known != NULL && known->owner_id != claim->owner_id
          && known->opened_view > claim->opened_view))
    return;
  hs_ownership_put_record (ownership, &key, claim->owner_id,
                           claim->opened_view);
  hs_ownership_send (ownership, &peer->member, HS_FLOW_CONFIRMED, message->seq,
                     NULL);
}

void
hs_ownership_handle_confirmed (struct hs_ownership *ownership,
                               const struct hs_peer *peer,
                               const struct hs_flow_message *message)
{
  HS_LIST_FOREACH (link, &ownership->confirmations)
    {
      struct confirmation *confirmation
          = HS_LIST_ENTRY (link, struct confirmation, link);

      if (confirmation->id != message->seq)
        continue;
      for (size_t i = 0; i < confirmation->pending_len; i++)
        if (confirmation->pending_ids[i] == peer->member.id)
          confirmation->pending_ids[i]
              = confirmation->pending_ids[--confirmation->pending_len];
      if (confirmation->pending_len == 0)
        hs_ownership_finish_confirmation (ownership, confirmation, true);
      return;
    }
}

/* Private definitions.  */

/* Continues a lookup without the missing members, which have neither completed
   their state transfer nor answered.  If only one is missing, one of its
   backups for the flow can rule it out as the owner: an owner runs no
   non-idempotent work on a flow of which its backups have no record.  If this
   agent cannot rule it out, the other members are queried.  Two missing
   members cannot be ruled out, as they may be each other's only backups.  */
static void
resolve_without_missing (struct hs_ownership *ownership, struct lookup *lookup)
{
  struct hs_ownership_record query = { .caller = lookup->key.caller };
  size_t missing_len = lookup->pending_len + lookup->unresponsive_len;
  uint64_t missing = lookup->pending_len > 0 ? lookup->pending_ids[0]
                                             : lookup->unresponsive_id;
  const struct hs_peer *peer = hs_ownership_find_peer (ownership, missing);
  bool ruled_out
      = peer != NULL
        && (peer->transfer_complete
            || hs_ownership_can_rule_out (ownership, peer, &lookup->key));

  lookup->result = LOOKUP_UNCERTAIN;
  if (missing_len == 0 || (missing_len == 1 && ruled_out))
    lookup->result = LOOKUP_UNOWNED;
  if (missing_len != 1 || ruled_out || lookup->missing_id != 0)
    return;
  lookup->missing_id = missing;
  lookup->pending_len = 0;
  query.owner_id = missing;
  HS_LIST_FOREACH (link, &ownership->peers)
    {
      const struct hs_peer *other = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (!other->transfer_complete)
        continue;
      lookup->pending_ids[lookup->pending_len++] = other->member.id;
      hs_ownership_send (ownership, &other->member, HS_FLOW_QUERY, 0, &query);
    }
  if (lookup->pending_len > 0)
    lookup->result = LOOKUP_PENDING;
}

/* Queries again, as a query or its reply may have been lost.  */
static void
resend_queries (struct hs_ownership *ownership, const struct lookup *lookup)
{
  struct hs_ownership_record query
      = { .caller = lookup->key.caller, .owner_id = lookup->missing_id };

  for (size_t i = 0; i < lookup->pending_len; i++)
    {
      const struct hs_peer *peer
          = hs_ownership_find_peer (ownership, lookup->pending_ids[i]);

      if (peer != NULL)
        hs_ownership_send (ownership, &peer->member, HS_FLOW_QUERY, 0, &query);
    }
}

static bool
match_lookup (const struct hs_table_node *node, const void *key)
{
  return hs_flow_key_equal (&HS_LIST_ENTRY (node, struct lookup, node)->key,
                            key);
}

/* Whether every reachable member has acknowledged the complete state transfer
   from this agent in the view in force.  */
static bool
all_transfers_acked (const struct hs_ownership *ownership)
{
  HS_LIST_FOREACH (link, &ownership->peers)
    {
      const struct hs_peer *peer = HS_LIST_ENTRY (link, struct hs_peer, link);

      if (!peer->transfer_acked && peer->member.state != HS_MEMBER_SUSPECT)
        return false;
    }
  return true;
}
