/* group_api.c -- the operators' calls to a control host of a group.  */

#include "control/group_api.h"
#include "base/auto.h"
#include "base/duty.h"

#include <stdlib.h>
#include <string.h>

/* Types.  */

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503
#define LOCATION_SIZE 320

struct hs_group_api
{
  struct hs_http *http;
  struct hs_admin *admin;
  const struct hs_dialect *dialect;
  hs_group_call_fn *fn;
  void *ctx;
};

/* Private functions.  */

static void on_request (void *ctx, struct hs_http_request *request);
static void begin_call (struct hs_group_api *api,
                        struct hs_http_request *request,
                        enum hs_operation operation);
static bool read_configuration (struct hs_group_api *api,
                                struct hs_group_call *call);
static void answer_json (struct hs_http_request *request, unsigned int status,
                         const char *message);

/* Public definitions.  */

struct hs_group_api *
hs_group_api_create (const struct hs_addr *address,
                     const struct hs_dialect *dialect,
                     struct hs_counters *counters, hs_group_call_fn *fn,
                     void *ctx, GError **error)
{
  struct hs_group_api *api = talloc_zero (NULL, struct hs_group_api);

  api->dialect = dialect;
  api->fn = fn;
  api->ctx = ctx;
  api->admin = hs_admin_create_within (counters);
  api->http = hs_http_create (address, on_request, api, error);
  if (api->http != NULL)
    return api;
  hs_admin_destroy (api->admin);
  talloc_free (api);
  return NULL;
}

void
hs_group_api_destroy (struct hs_group_api *api)
{
  hs_http_destroy (api->http);
  hs_admin_destroy (api->admin);
  talloc_free (api);
}

void
hs_group_api_set_healthy (struct hs_group_api *api, const char *reason)
{
  hs_admin_set_unhealthy (api->admin, reason);
}

void
hs_group_answer (struct hs_group_call *call, unsigned int status,
                 const char *message)
{
  answer_json (call->request, status, message);
  talloc_free (call);
}

void
hs_group_answer_body (struct hs_group_call *call, const char *body)
{
  hs_http_answer (call->request, STATUS_OK, "application/json", body);
  talloc_free (call);
}

void
hs_group_redirect (struct hs_group_call *call, const struct hs_addr *to)
{
  char text[HS_ADDR_TEXT_SIZE];
  char location[LOCATION_SIZE];

  hs_addr_format (to, text);
  g_snprintf (location, sizeof location, "http://%s%s", text,
              hs_http_path (call->request));
  hs_http_redirect (call->request, location);
  talloc_free (call);
}

/* Private definitions.  */

static void
on_request (void *ctx, struct hs_http_request *request)
{
  struct hs_group_api *api = ctx;
  char id[HS_NAME_SIZE];
  enum hs_operation operation;

  if (hs_admin_handle (api->admin, request))
    return;
  operation = api->dialect->read_operation (
      api->dialect->ctx, hs_http_method (request), hs_http_path (request), id);
  if (operation == HS_OPERATION_REPLACE || operation == HS_OPERATION_SHOW)
    begin_call (api, request, operation);
  else
    answer_json (request, STATUS_NOT_FOUND, "no such call here");
}

static void
begin_call (struct hs_group_api *api, struct hs_http_request *request,
            enum hs_operation operation)
{
  struct hs_group_call *call = talloc_zero (NULL, struct hs_group_call);

  call->request = request;
  call->operation = operation;
  call->asked_at = hs_clock_now ();
  if (operation == HS_OPERATION_REPLACE && !read_configuration (api, call))
    return;
  if (!api->fn (api->ctx, call))
    hs_group_answer (call, STATUS_UNAVAILABLE, "too many calls wait");
}

/* What is invalid is refused on any host and under any version.  */
static bool
read_configuration (struct hs_group_api *api, struct hs_group_call *call)
{
  size_t len;
  const char *body = hs_http_body (call->request, &len);
  g_autoptr (GError) error = NULL;

  if (len >= HS_HTTP_BODY_MAX)
    {
      hs_group_answer (call, STATUS_TOO_LARGE, "configuration is too large");
      return false;
    }
  call->configuration = api->dialect->decode_configuration (
      api->dialect->ctx, call, body, len, &error);
  if (call->configuration != NULL
      && hs_configuration_check (call->configuration, &error))
    return true;
  hs_group_answer (call, STATUS_BAD_REQUEST, error->message);
  return false;
}

static void
answer_json (struct hs_http_request *request, unsigned int status,
             const char *message)
{
  HS_AUTO_JSON json_t *json
      = json_pack ("{s:s%}", "message", message, strlen (message));
  char *text = json_dumps (json, JSON_COMPACT);

  hs_http_answer (request, status, "application/json",
                  text != NULL ? text : "{}");
  free (text);
}
