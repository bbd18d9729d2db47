/* api.c -- the operators' HTTP API: paths, query parameters and JSON bodies
   of hibiscusspan-control.  */

#include "control/api.h"
#include "base/auto.h"
#include "base/settings.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

#define WAIT_IDLE_MS 100
#define SERVICES_PATH "/v1/services"
#define STATUS_PATH "/v1/status"
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_NOT_ALLOWED 405
#define STATUS_CONFLICT 409
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

struct hs_api
{
  struct hs_http *http;
  struct hs_admin *admin;
  hs_api_call_fn *fn;
  void *ctx;
  atomic_bool stopping;
};

/* Private functions.  */

static void on_request (void *ctx, struct hs_http_request *request);
static bool parse_call (struct hs_api_call *call);
static bool parse_put (struct hs_api_call *call, const char *name);
static bool parse_query (struct hs_api_call *call);
static bool reject_call (struct hs_api_call *call, unsigned int status,
                         enum hs_reason reason, const char *message);
static void send_json (struct hs_http_request *request, unsigned int status,
                       json_t *json);
static unsigned int http_status_for (const struct hs_change_result *result);
static json_t *format_service (const struct hs_service *service);
static json_t *format_item_status (const struct hs_catalog_item *item,
                                   const struct hs_registry *registry);
static json_t *format_members (const struct hs_view *view,
                               const struct hs_registry *registry);

/* Public definitions.  */

struct hs_api *
hs_api_create (const struct hs_addr *address, struct hs_metrics *metrics,
               hs_api_call_fn *fn, void *ctx, GError **error)
{
  struct hs_api *api = talloc_zero (NULL, struct hs_api);

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
hs_api_stop_accepting (struct hs_api *api)
{
  hs_admin_set_unhealthy (api->admin, "stopping\n");
  atomic_store (&api->stopping, true);
}

bool
hs_api_wait_idle (struct hs_api *api)
{
  return hs_http_wait_idle (api->http, WAIT_IDLE_MS);
}

void
hs_api_destroy (struct hs_api *api)
{
  hs_http_destroy (api->http);
  hs_admin_destroy (api->admin);
  talloc_free (api);
}

void
hs_api_set_unhealthy (struct hs_api *api, const char *reason)
{
  hs_admin_set_unhealthy (api->admin, reason);
}

void
hs_api_answer_change (struct hs_api_call *call,
                      const struct hs_change_result *result)
{
  send_json (call->request, http_status_for (result),
             json_pack ("{s:s, s:s, s:I, s:s}", "verdict",
                        hs_outcome_name (result->verdict.outcome), "reason",
                        hs_reason_name (result->verdict.reason), "revision",
                        (json_int_t)result->revision, "message",
                        result->message));
  talloc_free (call);
}

void
hs_api_answer_get (struct hs_api_call *call, const struct hs_catalog *catalog)
{
  const struct hs_catalog_item *item
      = hs_catalog_find_name (catalog, call->service_name);

  if (item == NULL)
    {
      reject_call (call, STATUS_NOT_FOUND, HS_REASON_NO_SERVICE,
                   "no service of that name exists");
      return;
    }
  send_json (call->request, STATUS_OK, format_service (item->service));
  talloc_free (call);
}

void
hs_api_answer_list (struct hs_api_call *call, const struct hs_catalog *catalog)
{
  const struct hs_catalog_item *item = hs_catalog_first_after (catalog, 0);
  json_t *services = json_array ();

  for (; item != NULL; item = hs_catalog_next (catalog, item))
    if (item->service != NULL)
      json_array_append_new (services, format_service (item->service));
  send_json (call->request, STATUS_OK,
             json_pack ("{s:o}", "services", services));
  talloc_free (call);
}

void
hs_api_answer_status (struct hs_api_call *call,
                      const struct hs_catalog *catalog,
                      const struct hs_registry *registry)
{
  const struct hs_catalog_item *item = hs_catalog_first_after (catalog, 0);
  const struct hs_catalog_item *entries
      = hs_catalog_find (catalog, HS_ENTRY_SERVICE_ID);
  json_t *services = json_array ();

  for (; item != NULL; item = hs_catalog_next (catalog, item))
    if (item->service != NULL)
      json_array_append_new (services, format_item_status (item, registry));
  send_json (call->request, STATUS_OK,
             json_pack ("{s:I, s:o, s:o}", "version",
                        (json_int_t)hs_catalog_version (catalog), "services",
                        services, "entries",
                        format_members (entries != NULL ? entries->view : NULL,
                                        registry)));
  talloc_free (call);
}

/* Private definitions.  */

static void
on_request (void *ctx, struct hs_http_request *request)
{
  struct hs_api *api = ctx;
  struct hs_api_call *call;

  if (hs_admin_handle (api->admin, request))
    return;
  call = talloc_zero (NULL, struct hs_api_call);
  call->request = request;
  if (!parse_call (call))
    return;
  if (atomic_load (&api->stopping) || !api->fn (api->ctx, call))
    reject_call (call, STATUS_UNAVAILABLE, HS_REASON_OVERLOADED,
                 "daemon is stopping or call queue is full");
}

/* Sets the kind and the arguments of CALL from its request.  Returns false if
   the request is invalid; it has been answered then and CALL freed.  */
static bool
parse_call (struct hs_api_call *call)
{
  const char *path = hs_http_path (call->request);
  const char *method = hs_http_method (call->request);
  bool is_get = strcmp (method, "GET") == 0;
  size_t prefix_len = strlen (SERVICES_PATH);
  const char *name;

  call->kind = strcmp (path, SERVICES_PATH) == 0 ? HS_API_CALL_LIST_SERVICES
                                                 : HS_API_CALL_GET_STATUS;
  if (call->kind == HS_API_CALL_LIST_SERVICES
      || strcmp (path, STATUS_PATH) == 0)
    return is_get
           || reject_call (call, STATUS_NOT_ALLOWED, HS_REASON_INVALID,
                           "only GET is allowed on this path");
  if (strncmp (path, SERVICES_PATH "/", prefix_len + 1) != 0)
    return reject_call (call, STATUS_NOT_FOUND, HS_REASON_INVALID,
                        "unknown path: expected " STATUS_PATH
                        ", " SERVICES_PATH " or " SERVICES_PATH "/NAME");
  name = path + prefix_len + 1;
  if (!hs_name_is_valid (name))
    return reject_call (call, STATUS_BAD_REQUEST, HS_REASON_INVALID,
                        "service name in the path is invalid: expected 1 to "
                        "63 letters, digits, '-', '_' or '.'");
  if (strcmp (method, "PUT") == 0)
    return parse_put (call, name);
  if (!is_get)
    return reject_call (call, STATUS_NOT_ALLOWED, HS_REASON_INVALID,
                        "only GET and PUT are allowed on this path");
  call->kind = HS_API_CALL_GET_SERVICE;
  g_strlcpy (call->service_name, name, sizeof call->service_name);
  return true;
}

static bool
parse_put (struct hs_api_call *call, const char *name)
{
  g_autoptr (GError) error = NULL;
  size_t len;
  const char *body = hs_http_body (call->request, &len);

  call->kind = HS_API_CALL_PUT_SERVICE;
  if (!parse_query (call))
    return false;
  call->change.document
      = hs_document_parse (call, body != NULL ? body : "", len, &error);
  if (call->change.document == NULL)
    return reject_call (call,
                        error->code == HS_ERROR_LIMIT ? STATUS_TOO_LARGE
                                                      : STATUS_BAD_REQUEST,
                        HS_REASON_INVALID, error->message);
  if (strcmp (call->change.document->service_name, name) != 0)
    return reject_call (
        call, STATUS_BAD_REQUEST, HS_REASON_INVALID,
        "service: does not match the service name in the path");
  return true;
}

static bool
parse_query (struct hs_api_call *call)
{
  const char *base = hs_http_query (call->request, "base");
  const char *id = hs_http_query (call->request, "change");
  const char *author = hs_http_query (call->request, "author");
  guint64 revision;

  if (base == NULL
      || !g_ascii_string_to_unsigned (base, 10, 0, G_MAXINT64, &revision,
                                      NULL))
    return reject_call (call, STATUS_BAD_REQUEST, HS_REASON_INVALID,
                        "base: expected the number of the revision that the "
                        "change is based on");
  if (id == NULL || !hs_name_is_valid (id))
    return reject_call (
        call, STATUS_BAD_REQUEST, HS_REASON_INVALID,
        "change: expected 1 to 63 letters, digits, '-', '_' or '.'");
  if (author == NULL || !hs_name_is_valid (author))
    return reject_call (
        call, STATUS_BAD_REQUEST, HS_REASON_INVALID,
        "author: expected 1 to 63 letters, digits, '-', '_' or '.'");
  call->change.base_revision = revision;
  g_strlcpy (call->change.id, id, HS_NAME_SIZE);
  g_strlcpy (call->change.author, author, HS_NAME_SIZE);
  return true;
}

/* Answers CALL with STATUS and the outcome NOT_RUN, and frees it.  Always
   returns false.  */
static bool
reject_call (struct hs_api_call *call, unsigned int status,
             enum hs_reason reason, const char *message)
{
  send_json (call->request, status,
             json_pack ("{s:s, s:s, s:s}", "verdict",
                        hs_outcome_name (HS_OUTCOME_NOT_RUN), "reason",
                        hs_reason_name (reason), "message", message));
  talloc_free (call);
  return false;
}

/* Sends JSON as the response and drops the reference to it.  */
static void
send_json (struct hs_http_request *request, unsigned int status, json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (2));

  hs_http_respond (request, status, "application/json", text);
  free (text);
  json_decref (json);
}

static unsigned int
http_status_for (const struct hs_change_result *result)
{
  if (result->verdict.outcome == HS_OUTCOME_RAN)
    return STATUS_OK;
  if (result->verdict.outcome == HS_OUTCOME_MAY_HAVE_RUN)
    return STATUS_GATEWAY_TIMEOUT;
  if (result->verdict.reason == HS_REASON_CONFLICT)
    return STATUS_CONFLICT;
  if (result->verdict.reason == HS_REASON_INVALID)
    return STATUS_BAD_REQUEST;
  return STATUS_UNAVAILABLE;
}

static json_t *
format_service (const struct hs_service *service)
{
  HS_AUTO_TALLOC char *text = hs_document_format (NULL, service->document);

  return json_pack ("{s:I, s:o}", "revision", (json_int_t)service->revision,
                    "document", json_loads (text, 0, NULL));
}

static json_t *
format_item_status (const struct hs_catalog_item *item,
                    const struct hs_registry *registry)
{
  const struct hs_document *document = item->service->document;
  char address[HS_ADDR_TEXT_SIZE];

  hs_addr_format (&document->address, address);
  return json_pack (
      "{s:s, s:i, s:s, s:s, s:I, s:I, s:I, s:o}", "service",
      document->service_name, "id", (int)item->service_id, "kind",
      document->kind == HS_SERVICE_KIND_COAP ? "coap" : "udp", "address",
      address, "revision", (json_int_t)item->service->revision, "version",
      (json_int_t)item->version, "view",
      (json_int_t)(item->view != NULL ? item->view->number : 0), "agents",
      format_members (item->view, registry));
}

static json_t *
format_members (const struct hs_view *view, const struct hs_registry *registry)
{
  json_t *members = json_array ();

  for (size_t i = 0; view != NULL && i < view->members_len; i++)
    {
      const struct hs_member *member = &view->members[i];
      char address[HS_ADDR_TEXT_SIZE];

      hs_addr_format (&member->address, address);
      json_array_append_new (
          members,
          json_pack ("{s:s, s:s, s:s, s:s, s:I, s:I}", "name", member->name,
                     "zone", member->zone, "state",
                     hs_member_state_name (member->state), "address", address,
                     "incarnation", (json_int_t)member->incarnation,
                     "version_in_force",
                     (json_int_t)hs_registry_catalog_version (
                         registry, view->service_id, member->id)));
    }
  return members;
}
