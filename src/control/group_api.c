/* group_api.c -- the operators' HTTP API of a control host of a group.  */

#include "control/group_api.h"
#include "base/auto.h"
#include "base/worker.h"

#include <stdlib.h>
#include <string.h>

/* Types.  */

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503
#define LOCATION_SIZE 320 /* Bytes of a Location header, with its NUL.  */

/* Same type as the decode_configuration callback of an adapter.  */
typedef struct hs_configuration *decode_fn (void *ctx, void *parent,
                                            const char *body, size_t len,
                                            GError **error);

struct native_operation
{
  const char *method;
  const char *path;
  enum hs_operation operation;
};

static const struct native_operation native_operations[] = {
  { "PUT", "/v1/configuration", HS_OPERATION_REPLACE_CONFIGURATION },
  { "GET", "/v1/configuration", HS_OPERATION_GET_CONFIGURATION },
  { "GET", "/v1/cluster", HS_OPERATION_GROUP_STATUS },
  { "GET", "/v1/evacuations", HS_OPERATION_LIST_EVACUATIONS },
};

#define EVACUATIONS_PREFIX "/v1/evacuations/"
#define REVISION_PARAMETER "revision"

struct hs_group_api
{
  struct hs_http *http;
  struct hs_admin *admin;
  const struct hs_adapter *adapter;
  hs_group_call_fn *fn;
  void *ctx;
};

/* Private functions.  */

static void on_request (void *ctx, struct hs_http_request *request);
static struct hs_configuration *decode_native (void *ctx, void *parent,
                                               const char *body, size_t len,
                                               GError **error);
static void start_call (struct hs_group_api *api,
                        struct hs_http_request *request,
                        enum hs_operation operation, decode_fn *decode);
static bool decode_body (struct hs_group_api *api, struct hs_group_call *call,
                         decode_fn *decode);
static void start_order (struct hs_group_api *api,
                         struct hs_http_request *request,
                         enum hs_operation operation, const char *zone);
static bool decode_order (struct hs_group_call *call, const char *zone);
static enum hs_operation
find_native_operation (const struct hs_http_request *request);
static void send_answer (struct hs_http_request *request, unsigned int status,
                         enum hs_outcome outcome, const char *message);

/* Public definitions.  */

struct hs_group_api *
hs_group_api_create (const struct hs_addr *address,
                     const struct hs_adapter *adapter,
                     struct hs_metrics *metrics, hs_group_call_fn *fn,
                     void *ctx, GError **error)
{
  struct hs_group_api *api = talloc_zero (NULL, struct hs_group_api);

  api->adapter = adapter;
  api->fn = fn;
  api->ctx = ctx;
  api->admin = hs_admin_create_without_server (metrics);
  api->http = hs_http_create (address, on_request, api, error);
  if (api->http != NULL)
    return api;
  hs_admin_destroy (api->admin);
  talloc_free (api);
  return NULL;
}

void
hs_group_api_close (struct hs_group_api *api)
{
  hs_http_close (api->http);
}

void
hs_group_api_destroy (struct hs_group_api *api)
{
  hs_http_destroy (api->http);
  hs_admin_destroy (api->admin);
  talloc_free (api);
}

void
hs_group_api_set_unhealthy (struct hs_group_api *api, const char *reason)
{
  hs_admin_set_unhealthy (api->admin, reason);
}

void
hs_group_api_set_draining (struct hs_group_api *api)
{
  hs_admin_set_draining (api->admin);
}

void
hs_group_call_answer (struct hs_group_call *call, unsigned int status,
                      enum hs_outcome outcome, const char *message)
{
  send_answer (call->request, status, outcome, message);
  talloc_free (call);
}

void
hs_group_call_answer_json (struct hs_group_call *call, const char *body)
{
  hs_http_respond (call->request, STATUS_OK, "application/json", body);
  talloc_free (call);
}

void
hs_group_call_redirect (struct hs_group_call *call, const struct hs_addr *to)
{
  char text[HS_ADDR_TEXT_SIZE];
  char location[LOCATION_SIZE];
  const char *revision = hs_http_query (call->request, REVISION_PARAMETER);

  hs_addr_format (to, text);
  g_snprintf (location, sizeof location, "http://%s%s%s%s", text,
              hs_http_path (call->request),
              revision != NULL ? "?" REVISION_PARAMETER "=" : "",
              revision != NULL ? revision : "");
  hs_http_redirect (call->request, location);
  talloc_free (call);
}

/* Private definitions.  */

static void
on_request (void *ctx, struct hs_http_request *request)
{
  struct hs_group_api *api = ctx;
  const struct hs_adapter *adapter = api->adapter;
  char id[HS_NAME_SIZE];
  enum hs_operation operation;

  if (hs_admin_handle (api->admin, request))
    return;
  operation = find_native_operation (request);
  if (operation == HS_OPERATION_START_EVACUATION
      || operation == HS_OPERATION_FINISH_EVACUATION)
    {
      start_order (api, request, operation,
                   hs_http_path (request) + strlen (EVACUATIONS_PREFIX));
      return;
    }
  if (operation != HS_OPERATION_UNKNOWN)
    {
      start_call (api, request, operation, decode_native);
      return;
    }
  operation = adapter->decode_operation (
      adapter->ctx, hs_http_method (request), hs_http_path (request), id);
  if (operation == HS_OPERATION_REPLACE_CONFIGURATION
      || operation == HS_OPERATION_GET_CONFIGURATION)
    start_call (api, request, operation, adapter->decode_configuration);
  else if (operation == HS_OPERATION_START_EVACUATION
           || operation == HS_OPERATION_FINISH_EVACUATION)
    start_order (api, request, operation, id);
  else
    send_answer (request, STATUS_NOT_FOUND, HS_OUTCOME_NOT_RUN,
                 "unknown operation: expected PUT or GET /v1/configuration, "
                 "GET /v1/cluster, GET /v1/evacuations, PUT or DELETE "
                 "/v1/evacuations/ZONE, or an operation of the platform");
}

static enum hs_operation
find_native_operation (const struct hs_http_request *request)
{
  for (size_t i = 0; i < G_N_ELEMENTS (native_operations); i++)
    if (strcmp (native_operations[i].method, hs_http_method (request)) == 0
        && strcmp (native_operations[i].path, hs_http_path (request)) == 0)
      return native_operations[i].operation;
  if (strncmp (hs_http_path (request), EVACUATIONS_PREFIX,
               strlen (EVACUATIONS_PREFIX))
      != 0)
    return HS_OPERATION_UNKNOWN;
  if (strcmp (hs_http_method (request), "PUT") == 0)
    return HS_OPERATION_START_EVACUATION;
  if (strcmp (hs_http_method (request), "DELETE") == 0)
    return HS_OPERATION_FINISH_EVACUATION;
  return HS_OPERATION_UNKNOWN;
}

static struct hs_configuration *
decode_native (void *ctx, void *parent, const char *body, size_t len,
               GError **error)
{
  (void)ctx;
  return hs_configuration_parse (parent, body, len, error);
}

static void
start_call (struct hs_group_api *api, struct hs_http_request *request,
            enum hs_operation operation, decode_fn *decode)
{
  struct hs_group_call *call = talloc_zero (NULL, struct hs_group_call);

  call->request = request;
  call->operation = operation;
  call->received_at = hs_clock_monotonic ();
  if (operation == HS_OPERATION_REPLACE_CONFIGURATION
      && !decode_body (api, call, decode))
    return;
  if (!api->fn (api->ctx, call))
    hs_group_call_answer (call, STATUS_UNAVAILABLE, HS_OUTCOME_NOT_RUN,
                          "call queue is full");
}

/* Decodes and checks the body.  Every host does so before it looks for the
   leader, and whatever the version, so that an invalid configuration always
   gets status 400.  Returns false if it has answered and freed CALL.  */
static bool
decode_body (struct hs_group_api *api, struct hs_group_call *call,
             decode_fn *decode)
{
  size_t len;
  const char *body = hs_http_body (call->request, &len);
  g_autoptr (GError) error = NULL;

  if (len >= HS_HTTP_BODY_MAX)
    {
      hs_group_call_answer (call, STATUS_TOO_LARGE, HS_OUTCOME_NOT_RUN,
                            "configuration is too large: expected less than "
                            "1 MiB");
      return false;
    }
  call->configuration = decode (api->adapter->ctx, call, body, len, &error);
  if (call->configuration != NULL
      && hs_configuration_check (call->configuration, &error))
    return true;
  hs_group_call_answer (call, STATUS_BAD_REQUEST, HS_OUTCOME_NOT_RUN,
                        error->message);
  return false;
}

static void
start_order (struct hs_group_api *api, struct hs_http_request *request,
             enum hs_operation operation, const char *zone)
{
  struct hs_group_call *call = talloc_zero (NULL, struct hs_group_call);

  call->request = request;
  call->operation = operation;
  call->received_at = hs_clock_monotonic ();
  if (!decode_order (call, zone))
    return;
  if (!api->fn (api->ctx, call))
    hs_group_call_answer (call, STATUS_UNAVAILABLE, HS_OUTCOME_NOT_RUN,
                          "call queue is full");
}

/* Fills the order of CALL.  Returns false if it has answered and freed
   CALL.  */
static bool
decode_order (struct hs_group_call *call, const char *zone)
{
  const char *revision = hs_http_query (call->request, REVISION_PARAMETER);
  size_t body_len;
  guint64 number = 0;

  hs_http_body (call->request, &body_len);
  if (!hs_name_is_valid (zone) || body_len > 0
      || (revision != NULL
          && !g_ascii_string_to_unsigned (revision, 10, 0, G_MAXUINT64,
                                          &number, NULL)))
    {
      hs_group_call_answer (call, STATUS_BAD_REQUEST, HS_OUTCOME_NOT_RUN,
                            "bad evacuation order: expected the name of a "
                            "zone, no body and, if at all, a number as the "
                            "revision");
      return false;
    }
  call->order.start = call->operation == HS_OPERATION_START_EVACUATION;
  g_strlcpy (call->order.zone, zone, HS_NAME_SIZE);
  call->order.is_conditional = revision != NULL;
  call->order.base_revision = number;
  return true;
}

static void
send_answer (struct hs_http_request *request, unsigned int status,
             enum hs_outcome outcome, const char *message)
{
  HS_AUTO_JSON json_t *json = json_pack (
      "{s:s, s:s}", "verdict", hs_outcome_name (outcome), "message", message);
  char *text = json_dumps (json, JSON_COMPACT);

  hs_http_respond (request, status, "application/json",
                   text != NULL ? text : "{}");
  free (text);
}
