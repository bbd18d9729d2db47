/* coap_message.c -- parses and builds CoAP messages with libcoap's codec.  */

#include "coap/coap_message.h"

#include <coap3/coap.h>
#include <stdio.h>
#include <string.h>

/* Types.  */

#define PDU_SIZE_MAX 2048   /* Bytes of a message that is parsed.  */
#define OPTION_VALUE_SIZE 4 /* Bytes of a 32-bit value.  */
#define HEADER_SIZE 4       /* Bytes, without the token.  */
#define VERSION 1

/* Method names by request code.  */
static const char *const method_names[]
    = { "", "GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "IPATCH" };

/* Private functions.  */

static void read_pdu (coap_pdu_t *pdu, struct hs_coap_message *message);
static void read_path (coap_pdu_t *pdu, char *path);
static void free_pdu (coap_pdu_t **pdu);
static size_t write_header (const struct hs_coap_message *message,
                            uint8_t *data);
static size_t write_max_age (uint8_t *data, size_t size);

/* Public definitions.  */

void
hs_coap_init (void)
{
  coap_set_log_level (LOG_EMERG);
}

bool
hs_coap_parse (const uint8_t *data, size_t len,
               struct hs_coap_message *message)
{
  __attribute__ ((cleanup (free_pdu))) coap_pdu_t *pdu
      = coap_pdu_init (0, 0, 0, PDU_SIZE_MAX);

  memset (message, 0, sizeof *message);
  if (pdu == NULL || len < HEADER_SIZE || len > PDU_SIZE_MAX)
    return false;
  if (!coap_pdu_parse (COAP_PROTO_UDP, data, len, pdu))
    return false;
  if (coap_pdu_get_token (pdu).length > HS_TOKEN_SIZE)
    return false;
  read_pdu (pdu, message);
  return true;
}

bool
hs_coap_is_request (const struct hs_coap_message *message)
{
  return message->method[0] != '\0';
}

bool
hs_coap_is_response (const struct hs_coap_message *message)
{
  return message->code >> 5 >= 2;
}

size_t
hs_coap_build_error_response (const struct hs_coap_message *request,
                              struct hs_verdict verdict, uint8_t *data,
                              size_t size)
{
  bool not_run = verdict.outcome == HS_OUTCOME_NOT_RUN;
  struct hs_coap_message response = *request;
  size_t len;

  response.type = request->type == HS_COAP_CON ? HS_COAP_ACK : HS_COAP_NON;
  response.code
      = not_run ? HS_COAP_SERVICE_UNAVAILABLE : HS_COAP_GATEWAY_TIMEOUT;
  if (size < HS_COAP_BUILT_SIZE_MAX)
    return 0;
  len = write_header (&response, data);
  if (not_run)
    len += write_max_age (data + len, size - len);
  len += (size_t)snprintf ((char *)data + len, size - len, "\xff%s: %s",
                           hs_outcome_name (verdict.outcome),
                           hs_reason_name (verdict.reason));
  return len < size ? len : 0;
}

size_t
hs_coap_build_reset (uint16_t message_id, uint8_t *data, size_t size)
{
  struct hs_coap_message reset
      = { .type = HS_COAP_RST, .message_id = message_id };

  return size < HEADER_SIZE ? 0 : write_header (&reset, data);
}

/* Private definitions.  */

static void
read_pdu (coap_pdu_t *pdu, struct hs_coap_message *message)
{
  coap_bin_const_t token = coap_pdu_get_token (pdu);
  coap_opt_iterator_t iterator;
  coap_opt_t *observe;
  size_t method;

  message->type = (enum hs_coap_type)coap_pdu_get_type (pdu);
  message->code = (uint8_t)coap_pdu_get_code (pdu);
  message->message_id = (uint16_t)coap_pdu_get_mid (pdu);
  message->token_len = (uint8_t)token.length;
  if (token.length > 0)
    memcpy (message->token, token.s, token.length);
  observe = coap_check_option (pdu, COAP_OPTION_OBSERVE, &iterator);
  if (observe != NULL)
    {
      message->has_observe = true;
      message->observe = coap_decode_var_bytes (coap_opt_value (observe),
                                                coap_opt_length (observe));
    }
  method = message->code;
  if (method == HS_COAP_EMPTY || method >= G_N_ELEMENTS (method_names))
    return;
  strcpy (message->method, method_names[method]);
  read_path (pdu, message->path);
}

static void
read_path (coap_pdu_t *pdu, char *path)
{
  coap_string_t *text = coap_get_uri_path (pdu);

  snprintf (path, HS_PATH_SIZE, "/%s",
            text != NULL ? (const char *)text->s : "");
  coap_delete_string (text);
}

static void
free_pdu (coap_pdu_t **pdu)
{
  coap_delete_pdu (*pdu);
}

/* Not written by libcoap, which encodes headers only for its own sessions.  */
static size_t
write_header (const struct hs_coap_message *message, uint8_t *data)
{
  data[0] = (uint8_t)(VERSION << 6 | message->type << 4 | message->token_len);
  data[1] = message->code;
  data[2] = (uint8_t)(message->message_id >> 8);
  data[3] = (uint8_t)message->message_id;
  memcpy (data + HEADER_SIZE, message->token, message->token_len);
  return HEADER_SIZE + message->token_len;
}

static size_t
write_max_age (uint8_t *data, size_t size)
{
  uint8_t value[OPTION_VALUE_SIZE];
  unsigned int len
      = coap_encode_var_safe (value, sizeof value, HS_COAP_RETRY_AFTER_S);

  return coap_opt_encode (data, size, COAP_OPTION_MAXAGE, value, len);
}
