/* coap_call.c -- sends one CoAP request as a caller of a service does, with
   libcoap.  */

#include "tool/coap_call.h"
#include "base/addr.h"

#include <coap3/coap.h>
#include <stdio.h>
#include <string.h>

/* Types.  */

#define URI_PATH_OPTIONS_SIZE 512 /* Bytes of the Uri-Path options.  */
#define POLL_MS 100

/* The state of the request, set by the callbacks of libcoap.  */
struct exchange
{
  bool has_response;
  bool has_failed; /* Not sent, reset, or not acknowledged.  */
  struct hs_verdict verdict;
};

/* Indexed by method code (RFC 7252, RFC 8132).  */
static const char *const method_names[]
    = { "", "GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "IPATCH" };

/* Private functions.  */

static coap_response_t on_response (coap_session_t *session,
                                    const coap_pdu_t *sent,
                                    const coap_pdu_t *received,
                                    const coap_mid_t mid);
static void on_nack (coap_session_t *session, const coap_pdu_t *sent,
                     const coap_nack_reason_t reason, const coap_mid_t mid);
static coap_session_t *open_session (coap_context_t *context,
                                     const struct hs_addr *service);
static coap_pdu_t *build_request (coap_session_t *session, const char *method,
                                  const char *path, const char *payload);
static void add_uri_path (coap_pdu_t *pdu, const char *path);

/* Public definitions.  */

struct hs_verdict
hs_coap_call (const struct hs_addr *service, const char *method,
              const char *path, const char *payload, uint64_t timeout_ms)
{
  coap_context_t *context;
  coap_session_t *session;
  coap_pdu_t *request;
  struct exchange exchange
      = { .verdict = { HS_OUTCOME_MAY_HAVE_RUN, HS_REASON_TIMEOUT } };
  uint64_t waited_ms = 0;

  coap_startup ();
  context = coap_new_context (NULL);
  coap_set_app_data (context, &exchange);
  coap_register_response_handler (context, on_response);
  coap_register_nack_handler (context, on_nack);
  session = open_session (context, service);
  request = session != NULL ? build_request (session, method, path, payload)
                            : NULL;
  if (request == NULL || coap_send (session, request) == COAP_INVALID_MID)
    {
      exchange.has_failed = true;
      exchange.verdict
          = (struct hs_verdict){ HS_OUTCOME_NOT_RUN, HS_REASON_INVALID };
    }
  while (!exchange.has_response && !exchange.has_failed
         && waited_ms < timeout_ms)
    {
      int elapsed_ms = coap_io_process (context, POLL_MS);

      waited_ms += elapsed_ms > 0 ? (uint64_t)elapsed_ms : 1;
    }
  coap_session_release (session);
  coap_free_context (context);
  coap_cleanup ();
  return exchange.verdict;
}

/* Private definitions.  */

static coap_response_t
on_response (coap_session_t *session, const coap_pdu_t *sent,
             const coap_pdu_t *received, const coap_mid_t mid)
{
  struct exchange *exchange
      = coap_get_app_data (coap_session_get_context (session));
  coap_pdu_code_t code = coap_pdu_get_code (received);
  const uint8_t *data;
  size_t len;

  (void)sent;
  (void)mid;
  exchange->has_response = true;
  exchange->verdict = (struct hs_verdict){ HS_OUTCOME_RAN, HS_REASON_NONE };
  if (code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE)
    exchange->verdict
        = (struct hs_verdict){ HS_OUTCOME_NOT_RUN, HS_REASON_SHED };
  if (code == COAP_RESPONSE_CODE_GATEWAY_TIMEOUT)
    exchange->verdict
        = (struct hs_verdict){ HS_OUTCOME_MAY_HAVE_RUN, HS_REASON_TIMEOUT };
  printf ("%d.%02d\n", COAP_RESPONSE_CLASS (code), code & 0x1f);
  if (coap_get_data (received, &len, &data))
    printf ("%.*s\n", (int)len, (const char *)data);
  return COAP_RESPONSE_OK;
}

static void
on_nack (coap_session_t *session, const coap_pdu_t *sent,
         const coap_nack_reason_t reason, const coap_mid_t mid)
{
  struct exchange *exchange
      = coap_get_app_data (coap_session_get_context (session));

  (void)sent;
  (void)reason;
  (void)mid;
  exchange->has_failed = true;
}

static coap_session_t *
open_session (coap_context_t *context, const struct hs_addr *service)
{
  struct sockaddr_storage ss;
  coap_address_t address;

  coap_address_init (&address);
  address.size = hs_addr_to_sockaddr (service, &ss);
  memcpy (&address.addr, &ss, address.size);
  return coap_new_client_session (context, NULL, &address, COAP_PROTO_UDP);
}

/* Returns NULL if METHOD is unknown.  */
static coap_pdu_t *
build_request (coap_session_t *session, const char *method, const char *path,
               const char *payload)
{
  size_t code = 1;
  coap_pdu_t *pdu;

  while (code < G_N_ELEMENTS (method_names)
         && strcmp (method_names[code], method) != 0)
    code++;
  if (code == G_N_ELEMENTS (method_names))
    return NULL;
  pdu = coap_new_pdu (COAP_MESSAGE_CON, (coap_pdu_code_t)code, session);
  if (pdu == NULL)
    return NULL;
  add_uri_path (pdu, path);
  if (payload[0] != '\0')
    coap_add_data (pdu, strlen (payload), (const uint8_t *)payload);
  return pdu;
}

/* Adds a Uri-Path option for each segment of PATH.  */
static void
add_uri_path (coap_pdu_t *pdu, const char *path)
{
  uint8_t options[URI_PATH_OPTIONS_SIZE];
  size_t size = sizeof options;
  uint8_t *option = options;
  int count;

  while (*path == '/')
    path++;
  count
      = coap_split_path ((const uint8_t *)path, strlen (path), options, &size);
  while (count-- > 0)
    {
      coap_add_option (pdu, COAP_OPTION_URI_PATH, coap_opt_length (option),
                       coap_opt_value (option));
      option += coap_opt_size (option);
    }
}
