/* control_client.h -- the control client of an entry or an agent: it announces
   the node to the control host and follows the catalog.  */

#ifndef HS_DAEMON_CONTROL_CLIENT_H
#define HS_DAEMON_CONTROL_CLIENT_H

#include "base/log.h"
#include "daemon/link.h"

struct hs_control_client;

struct hs_control_client_ops
{
  void (*catalog_updated) (void *ctx);

  /* A later process of the same name has announced itself.  */
  void (*superseded) (void *ctx);
};

/* ANNOUNCEMENT is copied; the client updates its catalog_version.  TIMERS,
   LINK, LOG and CATALOG must outlive the result, which is a talloc child of
   PARENT.  */
struct hs_control_client *
hs_control_client_create (void *parent, struct hs_timers *timers,
                          struct hs_link *link, struct hs_log *log,
                          struct hs_catalog *catalog,
                          const struct hs_announcement *announcement,
                          const struct hs_control_client_ops *ops, void *ctx);
void hs_control_client_destroy (struct hs_control_client *client);

/* Handles update and reject messages; ignores others.  */
void hs_control_client_handle (struct hs_control_client *client,
                               const struct hs_message *message);

/* Mark the node as draining, or as exiting, and announce that at once.  */
void hs_control_client_set_draining (struct hs_control_client *client);
void hs_control_client_set_exiting (struct hs_control_client *client);

/* Returns the wall clock in ms: greater than the incarnations of earlier
   processes of this name, unless the clock was set back.  */
uint64_t hs_incarnation_create (void);

#endif /* HS_DAEMON_CONTROL_CLIENT_H */
