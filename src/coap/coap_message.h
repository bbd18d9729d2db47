/* coap_message.h -- what the decisions need to know of a CoAP message
   (RFC 7252, RFC 7641), and the few messages an agent makes itself.  */

#ifndef HS_COAP_MESSAGE_H
#define HS_COAP_MESSAGE_H

#include "hibiscusspan.h"

enum hs_coap_type
{
  HS_COAP_CON,
  HS_COAP_NON,
  HS_COAP_ACK,
  HS_COAP_RST
};

/* Codes, class in the upper three bits.  */
#define HS_COAP_EMPTY 0x00
#define HS_COAP_CONTENT 0x45             /* 2.05  */
#define HS_COAP_SERVICE_UNAVAILABLE 0xA3 /* 5.03: not run.  */
#define HS_COAP_GATEWAY_TIMEOUT 0xA4     /* 5.04: may have run.  */
#define HS_COAP_BUILT_SIZE_MAX 64        /* Of those made here.  */
#define HS_COAP_RETRY_AFTER_S 1          /* Max-Age of a refusal.  */

struct hs_coap_message
{
  enum hs_coap_type type;
  uint8_t code;
  uint16_t message_id;
  uint8_t token_len;
  uint8_t token[HS_TOKEN_SIZE];
  bool has_observe;        /* Has an Observe option.  */
  uint32_t observe;        /* Its value.  */
  char method[8];          /* Requests; empty otherwise.  */
  char path[HS_PATH_SIZE]; /* Requests, "/..."; cut if longer.  */
};

void hs_coap_init (void); /* Once, before the others.  */
bool hs_coap_parse (const uint8_t *data, size_t len,
                    struct hs_coap_message *message); /* False: malformed.  */
bool hs_coap_is_request (const struct hs_coap_message *message);
bool hs_coap_is_response (const struct hs_coap_message *message);

/* Writes the answer that tells VERDICT to the request of TYPE, MESSAGE_ID
   and TOKEN: 5.03 with Max-Age for HS_OUTCOME_NOT_RUN, else 5.04, with the
   names of the verdict and its reason as diagnostic payload.  Returns its
   length.  */
size_t hs_coap_build_error_response (const struct hs_coap_message *request,
                                     struct hs_verdict verdict, uint8_t *data,
                                     size_t size);

/* Writes the rejection of the message of MESSAGE_ID; returns its length.  */
size_t hs_coap_build_reset (uint16_t message_id, uint8_t *data, size_t size);

#endif /* HS_COAP_MESSAGE_H */
