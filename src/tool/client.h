/* client.h -- client of the operators' HTTP API of control hosts.  */

#ifndef HS_TOOL_CLIENT_H
#define HS_TOOL_CLIENT_H

#include "base/settings.h"

#include <jansson.h>

struct hs_client;

/* Returns a client of the control hosts at CONTROLS, at least one, as a talloc
   child of PARENT.  Calls go to the first until hs_client_next_host.  Nothing
   is sent yet.  */
struct hs_client *hs_client_create (void *parent,
                                    const struct hs_addrs *controls);
void hs_client_destroy (struct hs_client *client);

/* Sends the following calls to the next control host, after the last one to
   the first.  */
void hs_client_next_host (struct hs_client *client);

/* Sets the time limit of a call, with its redirects; the default is 10 s.  */
void hs_client_set_timeout (struct hs_client *client, unsigned int ms);

/* Sends one request with METHOD for PATH and waits for the response.  BODY may
   be NULL.  Returns the JSON of the response, to be released by json_decref,
   and sets STATUS to its HTTP status code.  Returns NULL and
   HS_ERROR_NOT_FOUND if the request reached no control host that would carry
   it out; or HS_ERROR_SYSTEM if there was no response in time, or
   HS_ERROR_MALFORMED if it is not JSON.  In the latter two cases the control
   host may have carried out the request.  */
json_t *hs_client_call (struct hs_client *client, const char *method,
                        const char *path, const char *body, long *status,
                        GError **error);

#endif /* HS_TOOL_CLIENT_H */
