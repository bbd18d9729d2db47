/* node_table.c -- the entries and agents that a control host has heard from.
 */

#include "control/node_table.h"

#include <talloc.h>
#include <xxhash.h>

/* Types.  */

/* Silence after which a node is forgotten: eight of its rounds.  */
#define NODE_LIFE_MS 10000

struct node
{
  struct hs_table_node by_slot;
  struct hs_list link; /* Longest silent first.  */
  struct hs_inner_heartbeat sync;
  uint64_t heard_at; /* ms  */
};

struct hs_node_table
{
  struct hs_table *slots;
  struct hs_list nodes;
};

/* Private functions.  */

static bool match_slot (const struct hs_table_node *node, const void *key);

/* Public definitions.  */

struct hs_node_table *
hs_node_table_create (void *parent)
{
  struct hs_node_table *roster = talloc_zero (parent, struct hs_node_table);

  roster->slots = hs_table_create (roster);
  hs_list_init (&roster->nodes);
  return roster;
}

void
hs_node_table_destroy (struct hs_node_table *roster)
{
  talloc_free (roster);
}

bool
hs_node_table_update (struct hs_node_table *roster,
                      const struct hs_inner_heartbeat *sync, uint64_t now)
{
  struct hs_table_node *found = hs_table_find (roster->slots, sync->node_id,
                                               match_slot, &sync->node_id);
  struct node *node
      = found != NULL ? HS_LIST_ENTRY (found, struct node, by_slot) : NULL;
  bool changed = node == NULL || node->sync.incarnation != sync->incarnation
                 || !hs_addr_equal (&node->sync.address, &sync->address);

  if (node == NULL)
    {
      node = talloc_zero (roster, struct node);
      hs_table_insert (roster->slots, &node->by_slot, sync->node_id);
      hs_list_init (&node->link);
    }
  node->sync = *sync;
  node->heard_at = now;
  hs_list_remove (&node->link);
  hs_list_append (&roster->nodes, &node->link);
  return changed;
}

void
hs_node_table_expire (struct hs_node_table *roster, uint64_t now,
                      hs_node_table_fn *lost, void *ctx)
{
  HS_LIST_FOREACH (link, &roster->nodes)
    {
      struct node *node = HS_LIST_ENTRY (link, struct node, link);

      if (now - node->heard_at <= NODE_LIFE_MS)
        return;
      lost (ctx, &node->sync);
      hs_table_remove (roster->slots, &node->by_slot);
      hs_list_remove (link);
      talloc_free (node);
    }
}

void
hs_node_table_foreach (const struct hs_node_table *roster, enum hs_role role,
                       hs_node_table_fn *fn, void *ctx)
{
  HS_LIST_FOREACH (link, &roster->nodes)
    {
      const struct node *node = HS_LIST_ENTRY (link, struct node, link);

      if (node->sync.role == role)
        fn (ctx, &node->sync);
    }
}

/* The order in which nodes were heard does not matter.  */
uint64_t
hs_node_table_entries_digest (const struct hs_node_table *roster)
{
  uint64_t digest = 0;

  HS_LIST_FOREACH (link, &roster->nodes)
    {
      const struct node *node = HS_LIST_ENTRY (link, struct node, link);
      const struct hs_addr *address = &node->sync.address;

      if (node->sync.role == HS_ROLE_ENTRY)
        digest ^= XXH3_64bits_withSeed (address->ip, sizeof address->ip,
                                        address->port);
    }
  return digest;
}

size_t
hs_node_table_count (const struct hs_node_table *roster, enum hs_role role)
{
  size_t count = 0;

  HS_LIST_FOREACH (link, &roster->nodes)
    count += HS_LIST_ENTRY (link, struct node, link)->sync.role == role;
  return count;
}

void
hs_node_table_list_entries (const struct hs_node_table *roster, size_t skip,
                            struct hs_inner_addrs *entries)
{
  entries->len = 0;
  HS_LIST_FOREACH (link, &roster->nodes)
    {
      const struct node *node = HS_LIST_ENTRY (link, struct node, link);

      if (node->sync.role != HS_ROLE_ENTRY)
        continue;
      if (skip > 0)
        skip--;
      else if (entries->len < HS_INNER_ADDRS_MAX)
        entries->values[entries->len++] = node->sync.address;
    }
}

/* Private definitions.  */

static bool
match_slot (const struct hs_table_node *node, const void *key)
{
  const uint64_t *slot = key;

  return HS_LIST_ENTRY (node, struct node, by_slot)->sync.node_id == *slot;
}
