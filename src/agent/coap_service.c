/* coap_service.c -- requests and responses of a service of kind coap.  */

#include "agent/state.h"
#include "base/auto.h"

#include <string.h>

/* Private functions.  */

static void handle_request (struct hs_agent *agent, struct hs_packet *packet,
                            struct hs_flow *flow,
                            const struct hs_coap_message *message,
                            uint64_t now);
static void deliver_when_confirmed (struct hs_agent *agent,
                                    struct hs_packet *packet,
                                    const struct hs_flow *flow,
                                    const struct hs_coap_message *message,
                                    uint64_t now);
static void finish_pending_request (struct hs_agent *agent,
                                    const struct pending_request *pending,
                                    bool may_run);
static struct hs_request_info
build_request_info (struct hs_agent *agent, const struct hs_flow *flow,
                    const struct hs_coap_message *message);
static void send_reset_to_upstream (struct hs_agent *agent,
                                    const struct hs_flow *flow,
                                    uint16_t message_id);
static void send_response (struct hs_agent *agent, const struct hs_flow *flow,
                           const uint8_t *bytes, size_t len);
static void send_error_response (struct hs_agent *agent,
                                 const struct hs_flow *flow,
                                 const struct hs_coap_message *message,
                                 struct hs_verdict verdict);

/* Public definitions.  */

void
hs_agent_handle_caller_coap (struct hs_agent *agent, struct hs_packet *packet,
                             struct hs_flow *flow, uint64_t now)
{
  struct hs_coap_message message;

  if (!hs_coap_parse (hs_packet_bytes (packet), packet->len, &message)
      || hs_coap_is_response (&message))
    {
      hs_counter_add (agent->metrics.malformed, 1);
      return;
    }
  if (hs_coap_is_request (&message))
    {
      handle_request (agent, packet, flow, &message, now);
      return;
    }
  /* Acknowledgements and resets of notifications, and CoAP pings.  */
  if (message.type == HS_COAP_RST)
    hs_tracker_handle_caller_reset (agent->tracker, &flow->key,
                                    message.message_id);
  hs_agent_send_to_upstream (agent, packet, flow);
}

void
hs_agent_on_flow_confirmed (void *ctx, uint64_t id, bool may_run)
{
  struct hs_agent *agent = ctx;

  HS_LIST_FOREACH (link, &agent->pending_requests)
    {
      HS_AUTO_TALLOC struct pending_request *pending = NULL;

      if (HS_LIST_ENTRY (link, struct pending_request, link)->id != id)
        continue;
      pending = HS_LIST_ENTRY (link, struct pending_request, link);
      hs_list_remove (link);
      finish_pending_request (agent, pending, may_run);
    }
}

bool
hs_agent_handle_upstream_coap (struct hs_agent *agent,
                               const struct hs_packet *packet,
                               const struct hs_flow *flow, uint64_t now)
{
  const uint8_t *bytes = packet->data + packet->start;
  struct hs_coap_message message;
  struct hs_response_info response;

  if (!hs_coap_parse (bytes, packet->len, &message)
      || hs_coap_is_request (&message))
    {
      hs_counter_add (agent->metrics.malformed, 1);
      return false;
    }
  if (message.code == HS_COAP_EMPTY)
    {
      hs_tracker_handle_upstream_ack (agent->tracker, &flow->key,
                                      message.message_id);
      return true;
    }
  response
      = (struct hs_response_info){ .flow_key = flow->key,
                                   .message_id = message.message_id,
                                   .token_len = message.token_len,
                                   .refused = message.code
                                              == HS_COAP_SERVICE_UNAVAILABLE,
                                   .more_follow = message.has_observe };
  memcpy (response.token, message.token, message.token_len);
  if (hs_tracker_handle_response (agent->tracker, &response, bytes,
                                  packet->len, now))
    return true;
  /* A notification of a stream that was opened before this process started
     still belongs to the caller of the flow.  */
  if (message.has_observe)
    return true;
  hs_counter_add (agent->metrics.unmatched_responses, 1);
  if (message.type == HS_COAP_CON)
    send_reset_to_upstream (agent, flow, message.message_id);
  return false;
}

void
hs_agent_on_request_expired (void *ctx, const struct hs_request_info *request,
                             struct hs_verdict verdict)
{
  struct hs_agent *agent = ctx;
  const struct hs_flow *flow
      = hs_ownership_find_flow (agent->ownership, &request->flow_key);
  struct hs_coap_message message
      = { .type = request->needs_ack ? HS_COAP_CON : HS_COAP_NON,
          .message_id = request->message_id,
          .token_len = request->token_len };

  if (flow == NULL)
    return;
  memcpy (message.token, request->token, request->token_len);
  send_error_response (agent, flow, &message, verdict);
}

/* Private definitions.  */

static void
handle_request (struct hs_agent *agent, struct hs_packet *packet,
                struct hs_flow *flow, const struct hs_coap_message *message,
                uint64_t now)
{
  struct hs_request_info request = build_request_info (agent, flow, message);
  struct hs_request_decision decision;

  if (agent->handing_over)
    return;
  request.may_be_duplicate = now < flow->uncertain_until;
  decision = hs_tracker_request (agent->tracker, &request, now);

  switch (decision.action)
    {
    case HS_REQUEST_DELIVER:
      if (request.idempotent)
        hs_agent_send_to_upstream (agent, packet, flow);
      else
        deliver_when_confirmed (agent, packet, flow, message, now);
      break;
    case HS_REQUEST_DROP:
      break;
    case HS_REQUEST_REPLAY:
      send_response (agent, flow, decision.response, decision.response_len);
      break;
    case HS_REQUEST_REFUSE:
      send_error_response (agent, flow, message, decision.verdict);
      break;
    }
}

/* Sends PACKET to the upstream once the backups of FLOW have confirmed its
   ownership.  */
static void
deliver_when_confirmed (struct hs_agent *agent, struct hs_packet *packet,
                        const struct hs_flow *flow,
                        const struct hs_coap_message *message, uint64_t now)
{
  uint64_t id = hs_ownership_confirm (agent->ownership, flow, now);
  struct pending_request *pending;

  if (id == 0)
    {
      hs_agent_send_to_upstream (agent, packet, flow);
      return;
    }
  pending = talloc_zero (agent->pending_packets, struct pending_request);
  pending->id = id;
  pending->flow_key = flow->key;
  pending->message = *message;
  pending->len = packet->len;
  pending->data
      = talloc_memdup (pending, hs_packet_bytes (packet), packet->len);
  hs_list_append (&agent->pending_requests, &pending->link);
}

/* Sends the request to the upstream if it may run, or else responds that it
   was not run because the owner of its flow is unknown.  */
static void
finish_pending_request (struct hs_agent *agent,
                        const struct pending_request *pending, bool may_run)
{
  const struct hs_flow *flow
      = hs_ownership_find_flow (agent->ownership, &pending->flow_key);
  struct hs_verdict verdict = { HS_OUTCOME_NOT_RUN, HS_REASON_OWNER_UNKNOWN };
  uint8_t bytes[HS_COAP_BUILT_SIZE_MAX];
  struct hs_response_info response
      = { .flow_key = pending->flow_key,
          .message_id = pending->message.message_id,
          .token_len = pending->message.token_len,
          .refused = true };
  size_t len = hs_coap_build_error_response (&pending->message, verdict, bytes,
                                             sizeof bytes);
  struct hs_packet *packet;

  if (may_run && flow != NULL)
    {
      packet = hs_outbox_add (agent->outbox);
      if (packet == NULL)
        return;
      memcpy (hs_packet_bytes (packet), pending->data, pending->len);
      packet->len = (uint16_t)pending->len;
      hs_agent_send_to_upstream (agent, packet, flow);
      return;
    }
  memcpy (response.token, pending->message.token, pending->message.token_len);
  hs_tracker_handle_response (agent->tracker, &response, bytes, len,
                              hs_clock_monotonic ());
  if (flow != NULL)
    send_response (agent, flow, bytes, len);
}

static struct hs_request_info
build_request_info (struct hs_agent *agent, const struct hs_flow *flow,
                    const struct hs_coap_message *message)
{
  const struct hs_document *document
      = hs_agent_catalog_item (agent)->service->document;
  const struct hs_request_rule *rule
      = hs_document_find_rule (document, message->method, message->path);
  bool is_read = strcmp (message->method, "GET") == 0
                 || strcmp (message->method, "FETCH") == 0;
  struct hs_request_info request = {
    .flow_key = flow->key,
    .message_id = message->message_id,
    .token_len = message->token_len,
    .idempotent = hs_method_is_idempotent (message->method),
    .opens_stream = is_read && message->has_observe && message->observe == 0,
    .cancels_stream = is_read && message->has_observe && message->observe == 1,
    .needs_ack = message->type == HS_COAP_CON,
    .deadline_ms = document->deadline_ms
  };

  memcpy (request.token, message->token, message->token_len);
  if (rule != NULL)
    {
      request.idempotent = rule->idempotent;
      request.deadline_ms = rule->deadline_ms;
    }
  return request;
}

/* Rejects the upstream's message with MESSAGE_ID.  Without a reset the
   upstream would retransmit it, and delay the messages that follow it.  */
static void
send_reset_to_upstream (struct hs_agent *agent, const struct hs_flow *flow,
                        uint16_t message_id)
{
  const struct hs_upstream_socket *upstream_socket = flow->user_data;
  struct hs_packet *packet = hs_outbox_add (agent->outbox);

  if (packet == NULL)
    return;
  packet->len = (uint16_t)hs_coap_build_reset (
      message_id, hs_packet_bytes (packet), HS_DATAGRAM_MAX);
  packet->fd = upstream_socket->fd;
  packet->connected = true;
}

static void
send_response (struct hs_agent *agent, const struct hs_flow *flow,
               const uint8_t *bytes, size_t len)
{
  struct hs_packet *packet = hs_outbox_add (agent->outbox);

  if (packet == NULL)
    return;
  memcpy (hs_packet_bytes (packet), bytes, len);
  packet->len = (uint16_t)len;
  hs_agent_send_to_caller (agent, packet, flow);
}

static void
send_error_response (struct hs_agent *agent, const struct hs_flow *flow,
                     const struct hs_coap_message *message,
                     struct hs_verdict verdict)
{
  uint8_t bytes[HS_COAP_BUILT_SIZE_MAX];
  size_t len
      = hs_coap_build_error_response (message, verdict, bytes, sizeof bytes);

  send_response (agent, flow, bytes, len);
}
