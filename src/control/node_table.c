/* node_table.c -- the entries and agents from which a control host of a group
   has received heartbeats.  */

#include "control/node_table.h"

#include <talloc.h>
#include <xxhash.h>

/* Types.  */

/* Silence after which a node is removed: eight of its heartbeats.  */
#define NODE_TIMEOUT_MS 10000

struct node
{
  struct hs_table_node id_link;
  struct hs_list link;
  struct hs_inner_heartbeat heartbeat;
  uint64_t last_heard_at; /* ms, monotonic clock  */
};

struct hs_node_table
{
  struct hs_table *by_id;
  struct hs_list nodes; /* Longest silent first.  */
};

/* Private functions.  */

static bool match_id (const struct hs_table_node *node, const void *key);

/* Public definitions.  */

struct hs_node_table *
hs_node_table_create (void *parent)
{
  struct hs_node_table *table = talloc_zero (parent, struct hs_node_table);

  table->by_id = hs_table_create (table);
  hs_list_init (&table->nodes);
  return table;
}

void
hs_node_table_destroy (struct hs_node_table *table)
{
  talloc_free (table);
}

bool
hs_node_table_update (struct hs_node_table *table,
                      const struct hs_inner_heartbeat *heartbeat, uint64_t now)
{
  struct hs_table_node *found = hs_table_find (
      table->by_id, heartbeat->node_id, match_id, &heartbeat->node_id);
  struct node *node
      = found != NULL ? HS_LIST_ENTRY (found, struct node, id_link) : NULL;
  bool changed
      = node == NULL || node->heartbeat.incarnation != heartbeat->incarnation
        || !hs_addr_equal (&node->heartbeat.address, &heartbeat->address);

  if (node == NULL)
    {
      node = talloc_zero (table, struct node);
      hs_table_insert (table->by_id, &node->id_link, heartbeat->node_id);
      hs_list_init (&node->link);
    }
  node->heartbeat = *heartbeat;
  node->last_heard_at = now;
  hs_list_remove (&node->link);
  hs_list_append (&table->nodes, &node->link);
  return changed;
}

void
hs_node_table_expire (struct hs_node_table *table, uint64_t now,
                      hs_node_table_fn *expired, void *ctx)
{
  HS_LIST_FOREACH (link, &table->nodes)
    {
      struct node *node = HS_LIST_ENTRY (link, struct node, link);

      if (now - node->last_heard_at <= NODE_TIMEOUT_MS)
        return;
      expired (ctx, &node->heartbeat);
      hs_table_remove (table->by_id, &node->id_link);
      hs_list_remove (link);
      talloc_free (node);
    }
}

void
hs_node_table_foreach (const struct hs_node_table *table, enum hs_role role,
                       hs_node_table_fn *fn, void *ctx)
{
  HS_LIST_FOREACH (link, &table->nodes)
    {
      const struct node *node = HS_LIST_ENTRY (link, struct node, link);

      if (node->heartbeat.role == role)
        fn (ctx, &node->heartbeat);
    }
}

/* XOR makes the digest independent of the order of the list.  */
uint64_t
hs_node_table_entries_digest (const struct hs_node_table *table)
{
  uint64_t digest = 0;

  HS_LIST_FOREACH (link, &table->nodes)
    {
      const struct node *node = HS_LIST_ENTRY (link, struct node, link);
      const struct hs_addr *address = &node->heartbeat.address;

      if (node->heartbeat.role == HS_ROLE_ENTRY)
        digest ^= XXH3_64bits_withSeed (address->ip, sizeof address->ip,
                                        address->port);
    }
  return digest;
}

size_t
hs_node_table_count (const struct hs_node_table *table, enum hs_role role)
{
  size_t count = 0;

  HS_LIST_FOREACH (link, &table->nodes)
    count += HS_LIST_ENTRY (link, struct node, link)->heartbeat.role == role;
  return count;
}

void
hs_node_table_list_entries (const struct hs_node_table *table, size_t skip,
                            struct hs_inner_addrs *entries)
{
  entries->len = 0;
  HS_LIST_FOREACH (link, &table->nodes)
    {
      const struct node *node = HS_LIST_ENTRY (link, struct node, link);

      if (node->heartbeat.role != HS_ROLE_ENTRY)
        continue;
      if (skip > 0)
        skip--;
      else if (entries->len < HS_INNER_ADDRS_MAX)
        entries->values[entries->len++] = node->heartbeat.address;
    }
}

/* Private definitions.  */

static bool
match_id (const struct hs_table_node *node, const void *key)
{
  const uint64_t *id = key;

  return HS_LIST_ENTRY (node, struct node, id_link)->heartbeat.node_id == *id;
}
