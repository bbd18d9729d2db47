/* pending_packets.c -- queue of packets whose flow has no known owner yet.  */

#include "agent/pending_packets.h"

#include <talloc.h>

/* Types.  */

struct hs_pending_packets
{
  size_t len;          /* Packets in LIST.  */
  struct hs_list list; /* Queue of struct hs_pending_packet, oldest first.  */
};

/* Public definitions.  */

struct hs_pending_packets *
hs_pending_packets_create (void *parent)
{
  struct hs_pending_packets *packets
      = talloc_zero (parent, struct hs_pending_packets);

  hs_list_init (&packets->list);
  return packets;
}

void
hs_pending_packets_destroy (struct hs_pending_packets *packets)
{
  talloc_free (packets);
}

bool
hs_pending_packets_add (struct hs_pending_packets *packets,
                        const struct hs_packet_header *header,
                        struct hs_packet *packet, uint64_t arrived_at,
                        uint64_t now)
{
  struct hs_pending_packet *pending;

  if (packets->len >= HS_PENDING_PACKETS_MAX
      || now - arrived_at >= HS_PENDING_PACKET_TIMEOUT_MS)
    return false;
  pending = talloc_zero (packets, struct hs_pending_packet);
  pending->header = *header;
  pending->from = packet->peer;
  pending->arrived_at = arrived_at;
  pending->len = packet->len;
  pending->data
      = talloc_memdup (pending, hs_packet_bytes (packet), packet->len);
  hs_list_append (&packets->list, &pending->link);
  packets->len++;
  return true;
}

void
hs_pending_packets_take_all (struct hs_pending_packets *packets,
                             struct hs_list *list)
{
  struct hs_list *link;

  hs_list_init (list);
  while ((link = hs_list_pop (&packets->list)) != NULL)
    hs_list_append (list, link);
  packets->len = 0;
}
