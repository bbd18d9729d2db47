/* api.h -- the operators' HTTP API of hibiscusspan-control.

   The HTTP server's thread parses each request into a call and passes it to
   a callback.  The decision worker answers it with one of the
   hs_api_answer_... functions, each of which sends the response and frees
   the call.  */

#ifndef HS_CONTROL_API_H
#define HS_CONTROL_API_H

#include "daemon/admin.h"
#include "hibiscusspan.h"

enum hs_api_call_kind
{
  HS_API_CALL_PUT_SERVICE,   /* PUT /v1/services/NAME  */
  HS_API_CALL_GET_SERVICE,   /* GET /v1/services/NAME  */
  HS_API_CALL_LIST_SERVICES, /* GET /v1/services  */
  HS_API_CALL_GET_STATUS     /* GET /v1/status  */
};

/* A parsed request.  It is passed between threads through a ring, and so has
   no talloc parent.  */
struct hs_api_call
{
  enum hs_api_call_kind kind;
  struct hs_http_request *request;
  char service_name[HS_NAME_SIZE]; /* Set for GET_SERVICE.  */
  struct hs_change change; /* Set for PUT_SERVICE; its document is a talloc
                              child of the call.  */
};

struct hs_api;

/* Called on the HTTP server's thread.  Returns true if it took ownership of
   CALL.  If it returns false, the API answers CALL with status 503.  */
typedef bool hs_api_call_fn (void *ctx, struct hs_api_call *call);

/* Serves the API, /healthz and /metrics on ADDRESS.  /healthz reports the
   daemon as starting until hs_api_set_unhealthy is called.  Free the result
   with hs_api_destroy.  Returns NULL and sets HS_ERROR_SYSTEM if ADDRESS
   cannot be served.  */
struct hs_api *hs_api_create (const struct hs_addr *address,
                              struct hs_metrics *metrics, hs_api_call_fn *fn,
                              void *ctx, GError **error);

/* Answers all later requests, except /healthz and /metrics, with status
   503, and makes /healthz report that the daemon is stopping.  */
void hs_api_stop_accepting (struct hs_api *api);

/* Waits until every request has been answered, for at most 100 ms.  Returns
   false if some are still open then.  */
bool hs_api_wait_idle (struct hs_api *api);

/* Every call must have been answered.  */
void hs_api_destroy (struct hs_api *api);

/* Sets the reason that /healthz reports, a string literal.  NULL: the daemon
   is healthy.  */
void hs_api_set_unhealthy (struct hs_api *api, const char *reason);

void hs_api_answer_change (struct hs_api_call *call,
                           const struct hs_change_result *result);
void hs_api_answer_get (struct hs_api_call *call,
                        const struct hs_catalog *catalog);
void hs_api_answer_list (struct hs_api_call *call,
                         const struct hs_catalog *catalog);
void hs_api_answer_status (struct hs_api_call *call,
                           const struct hs_catalog *catalog,
                           const struct hs_registry *registry);

#endif /* HS_CONTROL_API_H */
