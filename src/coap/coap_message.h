/* coap_message.h -- parsing of CoAP messages (RFC 7252, RFC 7641) and
   building of those that an agent itself sends.  */

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

/* Codes: the class in the upper three bits, the detail in the lower five.  */
#define HS_COAP_EMPTY 0x00
#define HS_COAP_CONTENT 0x45             /* 2.05  */
#define HS_COAP_SERVICE_UNAVAILABLE 0xA3 /* 5.03: request not run.  */
#define HS_COAP_GATEWAY_TIMEOUT 0xA4     /* 5.04: request may have run.  */

#define HS_COAP_BUILT_SIZE_MAX 64 /* Bytes of a message built here.  */
#define HS_COAP_RETRY_AFTER_S 1   /* Max-Age of a 5.03 response, s.  */

struct hs_coap_message
{
  enum hs_coap_type type;
  uint8_t code;
  uint16_t message_id;
  uint8_t token_len; /* Bytes.  */
  uint8_t token[HS_TOKEN_SIZE];
  bool has_observe;        /* The message has an Observe option.  */
  uint32_t observe;        /* Value of the Observe option.  */
  char method[8];          /* Method of a request; "" for other messages.  */
  char path[HS_PATH_SIZE]; /* Path of a request, "/..."; truncated to fit.  */
};

/* Silences the log of libcoap.  Call once, before any other function.  */
void hs_coap_init (void);

/* Parses the LEN bytes of DATA, 2,048 at most.  Returns false if they are
   malformed or too many.  */
bool hs_coap_parse (const uint8_t *data, size_t len,
                    struct hs_coap_message *message);
bool hs_coap_is_request (const struct hs_coap_message *message);
bool hs_coap_is_response (const struct hs_coap_message *message);

/* Writes the response to REQUEST that reports VERDICT: 5.03 with Max-Age for
   HS_OUTCOME_NOT_RUN, or else 5.04, with the names of the outcome and the
   reason as diagnostic payload.  Only the type, message id and token of
   REQUEST are used.  Returns the length in bytes, or 0 if the response
   does not fit or SIZE is less than HS_COAP_BUILT_SIZE_MAX.  */
size_t hs_coap_build_error_response (const struct hs_coap_message *request,
                                     struct hs_verdict verdict, uint8_t *data,
                                     size_t size);

/* Writes the reset that rejects the message MESSAGE_ID.  Returns the length
   in bytes, or 0 if SIZE is too small.  */
size_t hs_coap_build_reset (uint16_t message_id, uint8_t *data, size_t size);

#endif /* HS_COAP_MESSAGE_H */
