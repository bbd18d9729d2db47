/* link_nodes.h -- the nodes known to hibiscusspan-control, each with its last
   announcement and its peer on the control link, so that an update can be
   sent at once rather than in reply to the next announcement.  */

#ifndef HS_CONTROL_LINK_NODES_H
#define HS_CONTROL_LINK_NODES_H

#include "daemon/link.h"

struct hs_link_nodes;

/* LAST holds the latest announcement of the node and the peer it came
   from.  */
typedef void hs_link_node_fn (void *ctx, const struct hs_envelope *last);

/* Returns an empty table, a talloc child of PARENT.  */
struct hs_link_nodes *hs_link_nodes_create (void *parent);
void hs_link_nodes_destroy (struct hs_link_nodes *nodes);

/* Stores a copy of ANNOUNCEMENT, with its peer, as the latest one from its
   node.  NOW is in ms, monotonic clock.  */
void hs_link_nodes_update (struct hs_link_nodes *nodes,
                           const struct hs_envelope *announcement,
                           uint64_t now);

/* Removes the nodes that have been silent for more than HS_LEASE_MS.  */
void hs_link_nodes_expire (struct hs_link_nodes *nodes, uint64_t now);
void hs_link_nodes_foreach (struct hs_link_nodes *nodes, hs_link_node_fn *fn,
                            void *ctx);

#endif /* HS_CONTROL_LINK_NODES_H */
