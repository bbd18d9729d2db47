/* pending_packets.h -- packets that wait until it is known who holds their
 * flow.  */

#ifndef HS_AGENT_PENDING_PACKETS_H
#define HS_AGENT_PENDING_PACKETS_H

#include "daemon/batch.h"
#include "wire/packet.h"

#define HS_PENDING_PACKETS_MAX 256 /* Packets.  */
#define HS_PENDING_PACKET_TIMEOUT_MS 1500

struct hs_pending_packet
{
  struct hs_list link;
  struct hs_packet_header header;
  struct hs_addr from;
  uint64_t arrived_at; /* ms  */
  size_t len;
  uint8_t *data; /* A child.  */
};

struct hs_pending_packets;

struct hs_pending_packets *hs_pending_packets_create (void *parent);
void hs_pending_packets_destroy (struct hs_pending_packets *parking);
bool
hs_pending_packets_add (struct hs_pending_packets *parking,
                        const struct hs_packet_header *header,
                        struct hs_packet *packet, uint64_t parked_at,
                        uint64_t now); /* False: full, or waited too long.  */
void hs_pending_packets_take_all (struct hs_pending_packets *parking,
                                  struct hs_list *list); /* For talloc_free. */

#endif /* HS_AGENT_PENDING_PACKETS_H */
