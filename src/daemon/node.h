/* node.h -- what an entry and an agent have in common towards control:
   announcing themselves, and following the catalog.  */

#ifndef HS_DAEMON_NODE_H
#define HS_DAEMON_NODE_H

#include "base/log.h"
#include "daemon/link.h"

struct hs_node;

struct hs_node_ops
{
  void (*catalog_updated) (void *ctx); /* The catalog has changed.  */
  void (*superseded) (void *ctx);      /* A later process has this name.  */
};

/* ANNOUNCEMENT is copied; its version is kept up here.  */
struct hs_node *hs_node_create (void *parent, struct hs_timers *timers,
                                struct hs_link *link, struct hs_log *log,
                                struct hs_catalog *catalog,
                                const struct hs_announcement *announcement,
                                const struct hs_node_ops *ops, void *ctx);
void hs_node_destroy (struct hs_node *node);
void hs_node_handle (struct hs_node *node, const struct hs_message *message);
void hs_node_set_draining (struct hs_node *node); /* Announces it.  */
void hs_node_set_exiting (struct hs_node *node);  /* Announces it.  */
uint64_t hs_incarnation_create (void); /* Later than those before it.  */

#endif /* HS_DAEMON_NODE_H */
