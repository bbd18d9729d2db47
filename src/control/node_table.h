/* node_table.h -- the entries and agents that a control host has heard from.
 */

#ifndef HS_CONTROL_NODE_TABLE_H
#define HS_CONTROL_NODE_TABLE_H

#include "wire/inner.h"

struct hs_node_table;

typedef void hs_node_table_fn (void *ctx,
                               const struct hs_inner_heartbeat *node);

struct hs_node_table *hs_node_table_create (void *parent);
void hs_node_table_destroy (struct hs_node_table *roster);
bool hs_node_table_update (struct hs_node_table *roster,
                           const struct hs_inner_heartbeat *node,
                           uint64_t now); /* True: it is new, or has moved.  */
void hs_node_table_expire (struct hs_node_table *roster, uint64_t now,
                           hs_node_table_fn *lost, void *ctx);
void hs_node_table_foreach (const struct hs_node_table *roster,
                            enum hs_role role, hs_node_table_fn *fn,
                            void *ctx);
uint64_t
hs_node_table_entries_digest (const struct hs_node_table *roster); /* Of the
                                           entries' addresses.  */
size_t hs_node_table_count (const struct hs_node_table *roster,
                            enum hs_role role);
void
hs_node_table_list_entries (const struct hs_node_table *roster, size_t skip,
                            struct hs_inner_addrs *entries); /* After the first
                                                                SKIP, as many
                                                                as it takes. */

#endif /* HS_CONTROL_NODE_TABLE_H */
