/* admin.h -- the /healthz and /metrics endpoints of a daemon.  */

#ifndef HS_DAEMON_ADMIN_H
#define HS_DAEMON_ADMIN_H

#include "base/metrics.h"
#include "daemon/http.h"

struct hs_admin;

/* Serves both endpoints on ADDRESS.  METRICS must outlive the result, which is
   to be freed with hs_admin_destroy.  Returns NULL and sets HS_ERROR_SYSTEM
   if ADDRESS cannot be bound.  */
struct hs_admin *hs_admin_create (const struct hs_addr *address,
                                  struct hs_metrics *metrics, GError **error);

/* The same without an HTTP server, for a daemon that has a server of its own
   and passes the requests to hs_admin_handle.  */
struct hs_admin *hs_admin_create_without_server (struct hs_metrics *metrics);
void hs_admin_destroy (struct hs_admin *admin);

/* Makes /healthz answer 503 with REASON as the body, or 200 "ok" if REASON is
   NULL.  REASON is a string literal that ends in a line feed; it is not
   copied.  A new admin is unhealthy with the reason "starting".  Any thread
   may call it.  */
void hs_admin_set_unhealthy (struct hs_admin *admin, const char *reason);

/* Makes /healthz answer 503 for good: from now on hs_admin_set_unhealthy has
   no effect.  Any thread may call it.  */
void hs_admin_set_draining (struct hs_admin *admin);

/* Returns the current reason, or NULL if healthy.  Any thread may call it.  */
const char *hs_admin_unhealthy_reason (struct hs_admin *admin);

/* Responds to REQUEST and returns true if it is for /healthz or /metrics;
   otherwise returns false without responding.  */
bool hs_admin_handle (struct hs_admin *admin, struct hs_http_request *request);

#endif /* HS_DAEMON_ADMIN_H */
