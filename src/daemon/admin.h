/* admin.h -- /healthz and /metrics of a daemon.  */

#ifndef HS_DAEMON_ADMIN_H
#define HS_DAEMON_ADMIN_H

#include "base/counter.h"
#include "daemon/http.h"

struct hs_admin;

struct hs_admin *hs_admin_create (const struct hs_addr *address,
                                  struct hs_counters *counters,
                                  GError **error);
struct hs_admin *hs_admin_create_without_server (struct hs_counters *counters);
/* Without a server of its own.  */
void hs_admin_destroy (struct hs_admin *admin);

/* Whether /healthz answers 200 "ok" or 503 with REASON; any thread.  REASON
   is a literal; NULL: healthy.  A new admin is unhealthy, "starting".  */
void hs_admin_set_unhealthy (struct hs_admin *admin, const char *reason);

const char *hs_admin_unhealthy_reason (struct hs_admin *admin); /* NULL: it is
                                                            not; any thread. */

/* Answers REQUEST if it asks for /healthz or /metrics.  */
bool hs_admin_handle (struct hs_admin *admin, struct hs_http_request *request);

#endif /* HS_DAEMON_ADMIN_H */
