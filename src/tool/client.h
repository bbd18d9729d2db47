/* client.h -- client of the operators' HTTP API of a control host.  */

#ifndef HS_TOOL_CLIENT_H
#define HS_TOOL_CLIENT_H

#include "hibiscusspan.h"

#include <jansson.h>

struct hs_client;

/* Returns a client of the control host at CONTROL, a talloc child of PARENT.
   Nothing is sent yet.  */
struct hs_client *hs_client_create (void *parent,
                                    const struct hs_addr *control);
void hs_client_destroy (struct hs_client *client);

/* Sends one request with METHOD for PATH and waits for the response.  BODY may
   be NULL.  Returns the JSON of the response, to be released by json_decref,
   and sets STATUS to its HTTP status code.  Returns NULL and HS_ERROR_SYSTEM
   if there was no response in time, or HS_ERROR_MALFORMED if it is not JSON.
   In both cases the control host may have carried out the request.  */
json_t *hs_client_call (struct hs_client *client, const char *method,
                        const char *path, const char *body, long *status,
                        GError **error);

#endif /* HS_TOOL_CLIENT_H */
