/* http.c -- an HTTP/1.1 server on libmicrohttpd.

   A connection is suspended from the handler's call until the response.  */

#include "daemon/http.h"
#include "base/addr.h"

#include <errno.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

#define CONNECTIONS_MAX 256
#define CONNECTION_TIMEOUT_S 30

struct hs_http
{
  struct MHD_Daemon *daemon;
  hs_http_handler_fn *handler;
  void *ctx;
  GMutex lock;
  GCond idle;
  size_t open_requests;
  pthread_mutex_t handler_lock; /* Held during a call of the handler.  */
  bool closed;                  /* Guarded by HANDLER_LOCK.  */
};

struct hs_http_request
{
  struct hs_http *http;
  struct MHD_Connection *connection;
  char *method;
  char *path;
  char *body;
  size_t body_len;
  bool dispatched;

  /* Set by hs_http_respond, read once the connection has been resumed.  */
  pthread_mutex_t lock;
  bool responded;
  unsigned int status;
  char *content_type;
  char *response_body;
  char *location; /* NULL: no Location header.  */
};

/* Private functions.  */

static enum MHD_Result on_request (void *ctx,
                                   struct MHD_Connection *connection,
                                   const char *url, const char *method,
                                   const char *version, const char *data,
                                   size_t *data_len, void **state);
static struct hs_http_request *
create_request (struct hs_http *http, struct MHD_Connection *connection,
                const char *url, const char *method);
static void append_body (struct hs_http_request *request, const char *data,
                         size_t len);
static enum MHD_Result dispatch (struct hs_http_request *request);
static void set_response (struct hs_http_request *request, unsigned int status,
                          const char *content_type, const char *body);
static enum MHD_Result send_response (struct hs_http_request *request);
static void on_completed (void *ctx, struct MHD_Connection *connection,
                          void **state, enum MHD_RequestTerminationCode code);
static void adjust_open_requests (struct hs_http *http, int delta);

/* Public definitions.  */

struct hs_http *
hs_http_create (const struct hs_addr *address, hs_http_handler_fn *handler,
                void *ctx, GError **error)
{
  struct hs_http *http = talloc_zero (NULL, struct hs_http);
  struct sockaddr_storage ss;
  char text[HS_ADDR_TEXT_SIZE];
  unsigned int flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_AUTO
                       | MHD_ALLOW_SUSPEND_RESUME;

  http->handler = handler;
  http->ctx = ctx;
  pthread_mutex_init (&http->handler_lock, NULL);
  hs_addr_to_sockaddr (address, &ss);
  if (!hs_addr_is_ipv4 (address))
    flags |= MHD_USE_IPv6;
  http->daemon = MHD_start_daemon (
      flags, 0, NULL, NULL, on_request, http, MHD_OPTION_SOCK_ADDR, &ss,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)CONNECTION_TIMEOUT_S,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
  if (http->daemon != NULL)
    return http;
  hs_addr_format (address, text);
  g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM, "cannot serve HTTP on %s: %s",
               text, strerror (errno));
  talloc_free (http);
  return NULL;
}

bool
hs_http_wait_idle (struct hs_http *http, unsigned int ms)
{
  gint64 deadline = g_get_monotonic_time () + ms * G_TIME_SPAN_MILLISECOND;
  bool idle;

  g_mutex_lock (&http->lock);
  while (http->open_requests > 0)
    if (!g_cond_wait_until (&http->idle, &http->lock, deadline))
      break;
  idle = http->open_requests == 0;
  g_mutex_unlock (&http->lock);
  return idle;
}

void
hs_http_close (struct hs_http *http)
{
  pthread_mutex_lock (&http->handler_lock);
  http->closed = true;
  pthread_mutex_unlock (&http->handler_lock);
}

void
hs_http_destroy (struct hs_http *http)
{
  MHD_stop_daemon (http->daemon);
  pthread_mutex_destroy (&http->handler_lock);
  talloc_free (http);
}

const char *
hs_http_method (const struct hs_http_request *request)
{
  return request->method;
}

const char *
hs_http_path (const struct hs_http_request *request)
{
  return request->path;
}

const char *
hs_http_query (const struct hs_http_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
hs_http_header (const struct hs_http_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

const char *
hs_http_body (const struct hs_http_request *request, size_t *len)
{
  *len = request->body_len;
  return request->body;
}

void
hs_http_redirect (struct hs_http_request *request, const char *location)
{
  request->location = g_strdup (location);
  hs_http_respond (request, MHD_HTTP_TEMPORARY_REDIRECT, "text/plain",
                   "see the Location header\n");
}

void
hs_http_respond (struct hs_http_request *request, unsigned int status,
                 const char *content_type, const char *body)
{
  set_response (request, status, content_type, body);
  MHD_resume_connection (request->connection);
}

/* Private definitions.  */

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_len, void **state)
{
  struct hs_http *http = ctx;
  struct hs_http_request *request = *state;

  (void)version;
  if (request == NULL)
    {
      *state = create_request (http, connection, url, method);
      return MHD_YES;
    }
  if (*data_len > 0)
    {
      append_body (request, data, *data_len);
      *data_len = 0;
      return MHD_YES;
    }
  if (!request->dispatched)
    return dispatch (request);
  return send_response (request);
}

static enum MHD_Result
dispatch (struct hs_http_request *request)
{
  struct hs_http *http = request->http;
  bool closed;

  request->dispatched = true;
  pthread_mutex_lock (&http->handler_lock);
  closed = http->closed;
  if (!closed)
    {
      MHD_suspend_connection (request->connection);
      http->handler (http->ctx, request);
    }
  pthread_mutex_unlock (&http->handler_lock);
  if (!closed)
    return MHD_YES;
  set_response (request, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain",
                "stopping\n");
  return send_response (request);
}

static void
set_response (struct hs_http_request *request, unsigned int status,
              const char *content_type, const char *body)
{
  pthread_mutex_lock (&request->lock);
  request->status = status;
  request->content_type = g_strdup (content_type);
  request->response_body = g_strdup (body);
  request->responded = true;
  pthread_mutex_unlock (&request->lock);
}

static struct hs_http_request *
create_request (struct hs_http *http, struct MHD_Connection *connection,
                const char *url, const char *method)
{
  struct hs_http_request *request = talloc_zero (http, struct hs_http_request);

  request->http = http;
  request->connection = connection;
  request->method = talloc_strdup (request, method);
  request->path = talloc_strdup (request, url);
  pthread_mutex_init (&request->lock, NULL);
  adjust_open_requests (http, 1);
  return request;
}

/* Keeps at most HS_HTTP_BODY_MAX bytes and drops the rest: the handler
   should reject a body of that length as too long.  */
static void
append_body (struct hs_http_request *request, const char *data, size_t len)
{
  size_t remaining = HS_HTTP_BODY_MAX - request->body_len;

  if (len > remaining)
    len = remaining;
  request->body = talloc_realloc (request, request->body, char,
                                  request->body_len + len + 1);
  memcpy (request->body + request->body_len, data, len);
  request->body_len += len;
  request->body[request->body_len] = '\0';
}

static enum MHD_Result
send_response (struct hs_http_request *request)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  pthread_mutex_lock (&request->lock);
  response = MHD_create_response_from_buffer (strlen (request->response_body),
                                              request->response_body,
                                              MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           request->content_type);
  if (request->location != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_LOCATION,
                             request->location);
  result = MHD_queue_response (request->connection, request->status, response);
  pthread_mutex_unlock (&request->lock);
  MHD_destroy_response (response);
  return result;
}

static void
on_completed (void *ctx, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct hs_http_request *request = *state;

  (void)ctx;
  (void)connection;
  (void)code;
  if (request == NULL)
    return;
  g_free (request->content_type);
  g_free (request->response_body);
  g_free (request->location);
  pthread_mutex_destroy (&request->lock);
  adjust_open_requests (request->http, -1);
  talloc_free (request);
  *state = NULL;
}

static void
adjust_open_requests (struct hs_http *http, int delta)
{
  g_mutex_lock (&http->lock);
  http->open_requests += (size_t)delta;
  if (http->open_requests == 0)
    g_cond_broadcast (&http->idle);
  g_mutex_unlock (&http->lock);
}
