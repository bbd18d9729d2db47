/* node.h -- the control client of an entry or an agent: it announces the node
   to the control host and follows the catalog.  */

#ifndef HS_DAEMON_NODE_H
#define HS_DAEMON_NODE_H

#include "base/log.h"
#include "daemon/link.h"

struct hs_node;

struct hs_node_ops
{
  void (*catalog_updated) (void *ctx);

  /* A later process of the same name has announced itself.  */
  void (*superseded) (void *ctx);
};

/* ANNOUNCEMENT is copied; the node updates its catalog_version.  TIMERS, LINK,
   LOG and CATALOG must outlive the result, which is a talloc child of
   PARENT.  */
struct hs_node *hs_node_create (void *parent, struct hs_timers *timers,
                                struct hs_link *link, struct hs_log *log,
                                struct hs_catalog *catalog,
                                const struct hs_announcement *announcement,
                                const struct hs_node_ops *ops, void *ctx);
void hs_node_destroy (struct hs_node *node);

/* Handles update and reject messages; ignores others.  */
void hs_node_handle (struct hs_node *node, const struct hs_message *message);

/* Mark the node as draining, or as exiting, and announce that at once.  */
void hs_node_set_draining (struct hs_node *node);
void hs_node_set_exiting (struct hs_node *node);

/* Returns the wall clock in ms: greater than the incarnations of earlier
   processes of this name, unless the clock was set back.  */
uint64_t hs_incarnation_create (void);

#endif /* HS_DAEMON_NODE_H */
