/* http.h -- an HTTP/1.1 server whose answers may come from any thread.  */

#ifndef HS_DAEMON_HTTP_H
#define HS_DAEMON_HTTP_H

#include "hibiscusspan.h"

#define HS_HTTP_BODY_MAX (1024 * 1024) /* Bytes taken in.  */

struct hs_http;
struct hs_http_request;

/* Called by the server's thread.  The request must be answered once, then
   or later, by any thread.  */
typedef void hs_http_handler_fn (void *ctx, struct hs_http_request *request);

struct hs_http *hs_http_create (const struct hs_addr *address,
                                hs_http_handler_fn *fn, void *ctx,
                                GError **error);
bool hs_http_wait_idle (struct hs_http *http,
                        unsigned int ms);    /* True: no request is open.  */
void hs_http_destroy (struct hs_http *http); /* All must be answered.  */
const char *hs_http_method (const struct hs_http_request *request);
const char *hs_http_path (const struct hs_http_request *request);
const char *hs_http_query (const struct hs_http_request *request,
                           const char *name); /* NULL: not given.  */
const char *hs_http_header (const struct hs_http_request *request,
                            const char *name); /* NULL: not given.  */
const char *hs_http_body (const struct hs_http_request *request, size_t *len);
void hs_http_redirect (struct hs_http_request *request,
                       const char *location); /* 307: the same call there.  */
void hs_http_respond (struct hs_http_request *request, unsigned int status,
                      const char *content_type, const char *body);

#endif /* HS_DAEMON_HTTP_H */
