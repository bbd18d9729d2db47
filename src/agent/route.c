/* route.c -- routes the packets of entries, other agents and the upstream.

   A received datagram is modified in place and passed on to the sender in the
   same batch.  Packets that the agent creates go through the outbox.  */

#include "agent/state.h"
#include "base/auto.h"
#include "daemon/frame.h"
#include "wire/flow_message.h"

#include <string.h>

/* Private functions.  */

static void handle_inner_packet (struct hs_agent *agent,
                                 struct hs_packet *packet, uint64_t now);
static void route_packet (struct hs_agent *agent, struct hs_packet *packet,
                          const struct hs_packet_header *header,
                          uint64_t arrived_at, uint64_t now);
static void serve_packet (struct hs_agent *agent, struct hs_packet *packet,
                          const struct hs_route_decision *decision,
                          uint64_t now);
static void forward_to_next_agent (struct hs_agent *agent,
                                   struct hs_packet *packet,
                                   const struct hs_packet_header *header,
                                   const struct hs_route_decision *decision);
static void send_route_update (struct hs_agent *agent,
                               const struct hs_addr *entry_address,
                               const struct hs_packet_header *header,
                               uint64_t owner_id);
static void refuse_packet (struct hs_agent *agent, struct hs_packet *packet,
                           const struct hs_packet_header *header,
                           enum hs_reason reason);
static void handle_upstream_packet (struct hs_agent *agent,
                                    struct hs_packet *packet, uint64_t now);

/* Public definitions.  */

void
hs_agent_on_batch (void *ctx, void *item)
{
  struct hs_agent *agent = ctx;
  struct hs_batch *batch = item;
  uint64_t now = hs_clock_monotonic ();

  for (size_t i = 0; i < batch->len; i++)
    {
      struct hs_packet *packet = &batch->packets[i];

      packet->fd = -1;
      if (packet->len == 0)
        continue;
      if (packet->tag == HS_TAG_INNER)
        handle_inner_packet (agent, packet, now);
      else
        handle_upstream_packet (agent, packet, now);
    }
  hs_ring_push (agent->datapath->sending, batch);
}

void
hs_agent_route_pending (struct hs_agent *agent, uint64_t now)
{
  struct hs_list list;

  hs_pending_packets_take_all (agent->pending_packets, &list);
  HS_LIST_FOREACH (link, &list)
    {
      HS_AUTO_TALLOC struct hs_pending_packet *pending
          = HS_LIST_ENTRY (link, struct hs_pending_packet, link);
      struct hs_packet packet = { .fd = -1,
                                  .start = HS_PACKET_HEADROOM,
                                  .len = (uint16_t)pending->len,
                                  .peer = pending->from };
      struct hs_packet *sent;

      memcpy (hs_packet_bytes (&packet), pending->data, pending->len);
      route_packet (agent, &packet, &pending->header, pending->arrived_at,
                    now);
      sent = packet.fd >= 0 ? hs_outbox_add (agent->outbox) : NULL;
      if (sent != NULL)
        *sent = packet;
    }
}

bool
hs_agent_open_upstream_socket (struct hs_agent *agent, struct hs_flow *flow)
{
  struct hs_upstream_socket *upstream_socket;
  g_autoptr (GError) error = NULL;

  if (flow->user_data != NULL)
    return true;
  upstream_socket
      = hs_upstream_sockets_open (agent->upstream_sockets, flow, &error);
  if (upstream_socket == NULL)
    {
      hs_log_write (agent->log, HS_LOG_ERROR, "no-local-socket", "{s:s}",
                    "error", error->message);
      return false;
    }
  hs_receiver_watch (agent->datapath->receiver, upstream_socket->fd,
                     upstream_socket->tag);
  return true;
}

void
hs_agent_send_to_upstream (struct hs_agent *agent, struct hs_packet *packet,
                           const struct hs_flow *flow)
{
  const struct hs_upstream_socket *upstream_socket = flow->user_data;

  packet->fd = upstream_socket->fd;
  packet->connected = true;
  hs_counter_add (agent->metrics.delivered, 1);
}

void
hs_agent_send_to_caller (struct hs_agent *agent, struct hs_packet *packet,
                         const struct hs_flow *flow)
{
  struct hs_packet_header header = { .type = HS_PACKET_RETURN };
  struct hs_entry_path path;

  if (!hs_entry_path_choose (agent->catalog, &flow->last_path,
                             hs_ownership_last_path (agent->ownership),
                             agent->entry_turn++, hs_clock_monotonic (),
                             &path))
    {
      hs_counter_add (agent->metrics.no_entry, 1);
      packet->fd = -1;
      return;
    }
  header.service_id = flow->key.service_id;
  header.to_incarnation = path.incarnation;
  header.caller = flow->key.caller;
  hs_frame_prepend (packet, &header);
  packet->peer = path.address;
  packet->fd = agent->datapath->inner_fd;
  packet->connected = false;
  hs_counter_add (agent->metrics.returned, 1);
}

/* Private definitions.  */

static void
handle_inner_packet (struct hs_agent *agent, struct hs_packet *packet,
                     uint64_t now)
{
  struct hs_flow_message message;
  struct hs_packet_header header;

  if (hs_flow_message_matches (hs_packet_bytes (packet), packet->len))
    {
      if (!hs_flow_message_decode (hs_packet_bytes (packet), packet->len,
                                   &message))
        {
          hs_counter_add (agent->metrics.malformed, 1);
          return;
        }
      message.from_address = packet->peer;
      hs_ownership_receive (agent->ownership, &message, now);
      return;
    }
  if (!hs_frame_strip (packet, &header) || header.type != HS_PACKET_FORWARD)
    {
      hs_counter_add (agent->metrics.malformed, 1);
      return;
    }
  route_packet (agent, packet, &header, now, now);
}

/* ARRIVED_AT is when PACKET first arrived, ms.  */
static void
route_packet (struct hs_agent *agent, struct hs_packet *packet,
              const struct hs_packet_header *header, uint64_t arrived_at,
              uint64_t now)
{
  struct hs_hop hop = { .service_id = header->service_id,
                        .view_number = header->view_number,
                        .to_incarnation = header->to_incarnation,
                        .entry_incarnation = header->entry_incarnation,
                        .from_address = packet->peer,
                        .caller = header->caller,
                        .assigned_view = header->assigned_view,
                        .uncertain = header->uncertain,
                        .hops = header->hops };
  struct hs_route_decision decision
      = hs_ownership_route (agent->ownership, &hop, now);

  switch (decision.kind)
    {
    case HS_ROUTE_SERVE:
      serve_packet (agent, packet, &decision, now);
      break;
    case HS_ROUTE_FORWARD:
      forward_to_next_agent (agent, packet, header, &decision);
      break;
    case HS_ROUTE_WAIT:
      if (!hs_pending_packets_add (agent->pending_packets, header, packet,
                                   arrived_at, now))
        hs_counter_add (agent->metrics.pending_dropped, 1);
      break;
    case HS_ROUTE_REFUSE:
      refuse_packet (agent, packet, header, decision.reason);
      break;
    }
}

static void
serve_packet (struct hs_agent *agent, struct hs_packet *packet,
              const struct hs_route_decision *decision, uint64_t now)
{
  struct hs_flow *flow = decision->flow;

  if (decision->opened)
    hs_counter_add (agent->metrics.flows_opened, 1);
  if (!hs_agent_open_upstream_socket (agent, flow))
    return;
  if (hs_agent_is_coap (agent))
    hs_agent_handle_caller_coap (agent, packet, flow, now);
  else
    hs_agent_send_to_upstream (agent, packet, flow);
}

/* Forwards PACKET to the next agent.  If PACKET came directly from an entry,
   also sends the entry a route update.  */
static void
forward_to_next_agent (struct hs_agent *agent, struct hs_packet *packet,
                       const struct hs_packet_header *header,
                       const struct hs_route_decision *decision)
{
  struct hs_packet_header next = *header;
  struct hs_addr from = packet->peer;

  next.view_number = hs_agent_catalog_item (agent)->view->number;
  next.to_incarnation = decision->next_agent->incarnation;
  next.assigned_view = decision->next_assigned_view;
  next.uncertain = decision->next_uncertain;
  next.hops++;
  hs_frame_prepend (packet, &next);
  packet->peer = decision->next_agent->address;
  packet->fd = agent->datapath->inner_fd;
  hs_counter_add (agent->metrics.forwarded, 1);
  if (header->hops == 0)
    send_route_update (agent, &from, &next, decision->next_agent->id);
}

/* Sends a route update to the entry at ENTRY_ADDRESS: OWNER_ID owns the flow
   of HEADER.  */
static void
send_route_update (struct hs_agent *agent, const struct hs_addr *entry_address,
                   const struct hs_packet_header *header, uint64_t owner_id)
{
  struct hs_packet_header update = *header;
  struct hs_packet *packet = hs_outbox_add (agent->outbox);

  if (packet == NULL)
    return;
  update.type = HS_PACKET_ROUTE_UPDATE;
  update.to_incarnation = header->entry_incarnation;
  update.owner_id = owner_id;
  hs_frame_prepend (packet, &update);
  packet->peer = *entry_address;
  packet->fd = agent->datapath->inner_fd;
}

/* Turns PACKET into a refusal to the entry that sent it.  A packet forwarded
   by another agent is dropped instead, since its sender is not the entry.  */
static void
refuse_packet (struct hs_agent *agent, struct hs_packet *packet,
               const struct hs_packet_header *header, enum hs_reason reason)
{
  struct hs_packet_header refusal = *header;

  hs_counter_add (agent->metrics.refused, 1);
  if (reason == HS_REASON_WRONG_SERVICE)
    hs_counter_add (agent->metrics.wrong_service, 1);
  if (reason == HS_REASON_WRONG_HOST)
    hs_counter_add (agent->metrics.misdelivered, 1);
  if (header->hops > 0)
    return;
  refusal.type = HS_PACKET_REFUSE;
  refusal.reason = reason;
  refusal.to_incarnation = header->entry_incarnation;
  packet->start = HS_PACKET_HEADROOM;
  packet->len = 0;
  hs_frame_prepend (packet, &refusal);
  packet->fd = agent->datapath->inner_fd;
}

static void
handle_upstream_packet (struct hs_agent *agent, struct hs_packet *packet,
                        uint64_t now)
{
  const struct hs_upstream_socket *upstream_socket
      = hs_upstream_sockets_find (agent->upstream_sockets, packet->tag);

  if (upstream_socket == NULL)
    return;
  if (hs_agent_is_coap (agent)
      && !hs_agent_handle_upstream_coap (agent, packet, upstream_socket->flow,
                                         now))
    return;
  hs_agent_send_to_caller (agent, packet, upstream_socket->flow);
}
