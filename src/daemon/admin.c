/* admin.c -- the /healthz and /metrics endpoints of a daemon.  */

#include "daemon/admin.h"
#include "base/auto.h"

#include <stdatomic.h>
#include <string.h>

/* Types.  */

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503

struct hs_admin
{
  struct hs_http *http; /* NULL: the daemon has a server of its own.  */
  struct hs_metrics *metric_set;
  const char *_Atomic unhealthy_reason; /* NULL: healthy.  */
  _Atomic bool is_draining;             /* Once true, it stays so.  */
};

/* Private functions.  */

static void on_request (void *ctx, struct hs_http_request *request);

/* Public definitions.  */

struct hs_admin *
hs_admin_create (const struct hs_addr *address, struct hs_metrics *metrics,
                 GError **error)
{
  struct hs_admin *admin = hs_admin_create_without_server (metrics);

  admin->http = hs_http_create (address, on_request, admin, error);
  if (admin->http != NULL)
    return admin;
  talloc_free (admin);
  return NULL;
}

struct hs_admin *
hs_admin_create_without_server (struct hs_metrics *metrics)
{
  struct hs_admin *admin = talloc_zero (NULL, struct hs_admin);

  admin->metric_set = metrics;
  atomic_init (&admin->unhealthy_reason, "starting\n");
  return admin;
}

void
hs_admin_destroy (struct hs_admin *admin)
{
  if (admin->http != NULL)
    hs_http_destroy (admin->http);
  talloc_free (admin);
}

void
hs_admin_set_unhealthy (struct hs_admin *admin, const char *reason)
{
  atomic_store (&admin->unhealthy_reason, reason);
}

void
hs_admin_set_draining (struct hs_admin *admin)
{
  atomic_store (&admin->is_draining, true);
}

/* A thread that still reports readiness cannot end a drain that another thread
   has begun.  */
const char *
hs_admin_unhealthy_reason (struct hs_admin *admin)
{
  return atomic_load (&admin->is_draining)
             ? "draining\n"
             : atomic_load (&admin->unhealthy_reason);
}

bool
hs_admin_handle (struct hs_admin *admin, struct hs_http_request *request)
{
  const char *path = hs_http_path (request);

  if (strcmp (path, "/metrics") == 0)
    {
      HS_AUTO_TALLOC char *text = hs_metrics_format (NULL, admin->metric_set);

      hs_http_respond (request, STATUS_OK, "text/plain; version=0.0.4", text);
      return true;
    }
  if (strcmp (path, "/healthz") == 0)
    {
      const char *reason = hs_admin_unhealthy_reason (admin);

      hs_http_respond (request,
                       reason == NULL ? STATUS_OK : STATUS_UNAVAILABLE,
                       "text/plain", reason == NULL ? "ok\n" : reason);
      return true;
    }
  return false;
}

/* Private definitions.  */

static void
on_request (void *ctx, struct hs_http_request *request)
{
  if (!hs_admin_handle (ctx, request))
    hs_http_respond (request, STATUS_NOT_FOUND, "text/plain", "not found\n");
}
