/* http.h -- an HTTP/1.1 server whose responses may come from any thread.  */

#ifndef HS_DAEMON_HTTP_H
#define HS_DAEMON_HTTP_H

#include "hibiscusspan.h"

/* Bytes kept of a request's body.  The rest is dropped, so a handler should
   reject a body of this length as too long.  */
#define HS_HTTP_BODY_MAX (1024 * 1024)

struct hs_http;
struct hs_http_request;

/* Called by the server's thread once the body has been read.  The request must
   be responded to exactly once, during the call or later, by any thread; it
   is not valid after that.  */
typedef void hs_http_handler_fn (void *ctx, struct hs_http_request *request);

/* Starts a server on ADDRESS.  Returns NULL and sets HS_ERROR_SYSTEM if
   ADDRESS cannot be bound.  */
struct hs_http *hs_http_create (const struct hs_addr *address,
                                hs_http_handler_fn *handler, void *ctx,
                                GError **error);

/* Sleeps until no request is open or MS milliseconds have passed.  Returns
   whether no request is open.  */
bool hs_http_wait_idle (struct hs_http *http, unsigned int ms);

/* Returns once no call of the handler is in progress; none follows.  Requests
   that arrive later get status 503.  */
void hs_http_close (struct hs_http *http);

/* Every request must have been responded to.  Where a handler leaves that to
   another thread, call hs_http_close first.  */
void hs_http_destroy (struct hs_http *http);

/* The returned strings belong to REQUEST.  hs_http_query and
   hs_http_header return NULL if the request has no parameter or header
   NAME.  */
const char *hs_http_method (const struct hs_http_request *request);
const char *hs_http_path (const struct hs_http_request *request);
const char *hs_http_query (const struct hs_http_request *request,
                           const char *name);
const char *hs_http_header (const struct hs_http_request *request,
                            const char *name);

/* Returns the body, followed by a NUL that LEN does not count; NULL if it is
   empty.  */
const char *hs_http_body (const struct hs_http_request *request, size_t *len);

/* Responds with 307, which has the client repeat the request at LOCATION.  */
void hs_http_redirect (struct hs_http_request *request, const char *location);

/* Copies CONTENT_TYPE and BODY.  */
void hs_http_respond (struct hs_http_request *request, unsigned int status,
                      const char *content_type, const char *body);

#endif /* HS_DAEMON_HTTP_H */
