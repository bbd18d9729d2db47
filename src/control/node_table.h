/* node_table.h -- the entries and agents from which a control host of a group
   has received heartbeats.  */

#ifndef HS_CONTROL_NODE_TABLE_H
#define HS_CONTROL_NODE_TABLE_H

#include "wire/inner.h"

struct hs_node_table;

typedef void hs_node_table_fn (void *ctx,
                               const struct hs_inner_heartbeat *heartbeat);

/* Returns an empty table, a talloc child of PARENT.  */
struct hs_node_table *hs_node_table_create (void *parent);
void hs_node_table_destroy (struct hs_node_table *table);

enum hs_node_change
{
  HS_NODE_UNCHANGED,
  HS_NODE_RESTARTED, /* At the same address.  */
  HS_NODE_ADDED      /* Or has another address.  */
};

/* Stores HEARTBEAT as the latest of its node; NOW is in ms, monotonic clock.
   Returns what has changed since the node's previous heartbeat.  */
enum hs_node_change
hs_node_table_update (struct hs_node_table *table,
                      const struct hs_inner_heartbeat *heartbeat,
                      uint64_t now);

/* Removes the nodes whose heartbeats have stopped, and calls EXPIRED for each
   of them before it is freed.  */
void hs_node_table_expire (struct hs_node_table *table, uint64_t now,
                           hs_node_table_fn *expired, void *ctx);

/* Calls FN for each node of ROLE, those longest silent first.  */
void hs_node_table_foreach (const struct hs_node_table *table,
                            enum hs_role role, hs_node_table_fn *fn,
                            void *ctx);

/* Returns a digest of the addresses of all agents.  Equal sets of addresses
   have equal digests, whatever the order of the heartbeats; 0: no agents.  */
uint64_t hs_node_table_agents_digest (const struct hs_node_table *table);

size_t hs_node_table_count (const struct hs_node_table *table,
                            enum hs_role role);

/* Stores in AGENTS the addresses of the agents after the first SKIP, at most
   HS_INNER_ADDRS_MAX.  */
void hs_node_table_list_agents (const struct hs_node_table *table, size_t skip,
                                struct hs_inner_addrs *agents);

#endif /* HS_CONTROL_NODE_TABLE_H */
