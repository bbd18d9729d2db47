/* api.h -- the operators' interface: HTTP paths and JSON bodies.

   The HTTP thread turns a request into a typed call; the decide thread
   answers it with one of the functions below.  */

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

/* Crosses a ring; no talloc parent.  */
struct hs_api_call
{
  enum hs_api_call_kind kind;
  struct hs_http_request *request;
  char service_name[HS_NAME_SIZE]; /* GET  */
  struct hs_change change;         /* PUT; its document is a child.  */
};

struct hs_api;

typedef bool hs_api_call_fn (void *ctx,
                             struct hs_api_call *call); /* False: busy.  */

struct hs_api *hs_api_create (const struct hs_addr *address,
                              struct hs_counters *counters, hs_api_call_fn *fn,
                              void *ctx, GError **error);
void hs_api_stop_accepting (
    struct hs_api *api); /* Refuses what comes from now on. */
bool hs_api_wait_idle (struct hs_api *api); /* 100 ms at most; true: every
                                               request has its answer.  */
void hs_api_destroy (struct hs_api *api);
void hs_api_set_unhealthy (struct hs_api *api, const char *reason); /* NULL. */

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
