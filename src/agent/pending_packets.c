/* pending_packets.c -- packets that wait until it is known who holds their
 * flow.  */

#include "agent/pending_packets.h"

#include <talloc.h>

/* Types.  */

struct hs_pending_packets
{
  size_t len;
  struct hs_list list;
};

/* Public definitions.  */

struct hs_pending_packets *
hs_pending_packets_create (void *parent)
{
  struct hs_pending_packets *parking
      = talloc_zero (parent, struct hs_pending_packets);

  hs_list_init (&parking->list);
  return parking;
}

void
hs_pending_packets_destroy (struct hs_pending_packets *parking)
{
  talloc_free (parking);
}

bool
hs_pending_packets_add (struct hs_pending_packets *parking,
                        const struct hs_packet_header *header,
                        struct hs_packet *packet, uint64_t parked_at,
                        uint64_t now)
{
  struct hs_pending_packet *parked;

  if (parking->len >= HS_PENDING_PACKETS_MAX
      || now - parked_at >= HS_PENDING_PACKET_TIMEOUT_MS)
    return false;
  parked = talloc_zero (parking, struct hs_pending_packet);
  parked->header = *header;
  parked->from = packet->peer;
  parked->arrived_at = parked_at;
  parked->len = packet->len;
  parked->data = talloc_memdup (parked, hs_packet_bytes (packet), packet->len);
  hs_list_append (&parking->list, &parked->link);
  parking->len++;
  return true;
}

void
hs_pending_packets_take_all (struct hs_pending_packets *parking,
                             struct hs_list *list)
{
  struct hs_list *link;

  hs_list_init (list);
  while ((link = hs_list_pop (&parking->list)) != NULL)
    hs_list_append (list, link);
  parking->len = 0;
}
