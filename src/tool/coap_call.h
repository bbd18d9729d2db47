/* coap_call.h -- sends one CoAP request, as a caller of a service does.  */

#ifndef HS_TOOL_COAP_CALL_H
#define HS_TOOL_COAP_CALL_H

#include "hibiscusspan.h"

/* Sends a confirmable request with METHOD, such as "GET", for PATH to SERVICE,
   waits for the response up to TIMEOUT_MS and prints its code and payload.  An
   empty PAYLOAD is left out.  Returns HS_OUTCOME_RAN for every response except
   5.03, which means HS_OUTCOME_NOT_RUN, and 5.04, HS_OUTCOME_MAY_HAVE_RUN.
   Without a response it returns HS_OUTCOME_MAY_HAVE_RUN, or HS_OUTCOME_NOT_RUN
   if METHOD is unknown or the request could not be sent.  */
struct hs_verdict hs_coap_call (const struct hs_addr *service,
                                const char *method, const char *path,
                                const char *payload, uint64_t timeout_ms);

#endif /* HS_TOOL_COAP_CALL_H */
