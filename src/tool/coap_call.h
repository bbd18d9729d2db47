/* coap_call.h -- one CoAP request, as a caller.  */

#ifndef HS_TOOL_COAP_CALL_H
#define HS_TOOL_COAP_CALL_H

#include "hibiscusspan.h"

/* Sends METHOD for PATH to SERVICE, waits, and prints the answer's code and
   payload.  Its verdict: HS_OUTCOME_RAN for any answer but 5.03 and 5.04.  */
struct hs_verdict hs_coap_call (const struct hs_addr *service,
                                const char *method, const char *path,
                                const char *payload, uint64_t timeout_ms);

#endif /* HS_TOOL_COAP_CALL_H */
