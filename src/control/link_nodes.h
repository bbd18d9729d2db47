/* link_nodes.h -- the nodes that a control host has heard from, and by which
   peer of the link, so that news need not wait for a heartbeat.  */

#ifndef HS_CONTROL_LINK_NODES_H
#define HS_CONTROL_LINK_NODES_H

#include "daemon/link.h"

struct hs_link_nodes;

typedef void hs_link_node_fn (void *ctx, const struct hs_envelope *last);

struct hs_link_nodes *hs_link_nodes_create (void *parent);
void hs_link_nodes_destroy (struct hs_link_nodes *nodes);
void hs_link_nodes_update (struct hs_link_nodes *nodes,
                           const struct hs_envelope *announcement,
                           uint64_t now); /* Kept as the last of its node.  */
void hs_link_nodes_expire (struct hs_link_nodes *nodes,
                           uint64_t now); /* For HS_LEASE_MS.  */
void hs_link_nodes_foreach (struct hs_link_nodes *nodes, hs_link_node_fn *fn,
                            void *ctx);

#endif /* HS_CONTROL_LINK_NODES_H */
