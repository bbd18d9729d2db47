/* node_table.c -- the entries and agents from which a control host of a group
   has received heartbeats.  */

#include "control/node_table.h"

#include <talloc.h>

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
  struct hs_list nodes;   /* Longest silent first.  */
  uint64_t agents_digest; /* XOR of the hashes of the agents' addresses, which
                             does not depend on their order.  */
};

/* Private functions.  */

static bool match_id (const struct hs_table_node *node, const void *key);
static uint64_t digest_of (const struct hs_inner_heartbeat *heartbeat);

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

enum hs_node_change
hs_node_table_update (struct hs_node_table *table,
                      const struct hs_inner_heartbeat *heartbeat, uint64_t now)
{
  struct hs_table_node *found = hs_table_find (
      table->by_id, heartbeat->node_id, match_id, &heartbeat->node_id);
  struct node *node
      = found != NULL ? HS_LIST_ENTRY (found, struct node, id_link) : NULL;
  enum hs_node_change change = HS_NODE_UNCHANGED;

  if (node == NULL
      || !hs_addr_equal (&node->heartbeat.address, &heartbeat->address))
    change = HS_NODE_ADDED;
  else if (node->heartbeat.incarnation != heartbeat->incarnation)
    change = HS_NODE_RESTARTED;
  if (node != NULL)
    table->agents_digest ^= digest_of (&node->heartbeat);
  table->agents_digest ^= digest_of (heartbeat);
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
  return change;
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
      table->agents_digest ^= digest_of (&node->heartbeat);
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

uint64_t
hs_node_table_agents_digest (const struct hs_node_table *table)
{
  return table->agents_digest;
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
hs_node_table_list_agents (const struct hs_node_table *table, size_t skip,
                           struct hs_inner_addrs *agents)
{
  agents->len = 0;
  HS_LIST_FOREACH (link, &table->nodes)
    {
      const struct node *node = HS_LIST_ENTRY (link, struct node, link);

      if (node->heartbeat.role != HS_ROLE_AGENT)
        continue;
      if (skip > 0)
        skip--;
      else if (agents->len < HS_INNER_ADDRS_MAX)
        agents->values[agents->len++] = node->heartbeat.address;
    }
}

/* Private definitions.  */

static bool
match_id (const struct hs_table_node *node, const void *key)
{
  const uint64_t *id = key;

  return HS_LIST_ENTRY (node, struct node, id_link)->heartbeat.node_id == *id;
}

/* Returns the share of a node in the digest of all agents.  */
static uint64_t
digest_of (const struct hs_inner_heartbeat *heartbeat)
{
  return heartbeat->role == HS_ROLE_AGENT ? hs_addr_hash (&heartbeat->address)
                                          : 0;
}
