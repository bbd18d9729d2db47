/* pending_packets.h -- queue of packets whose flow has no known owner yet.  */

#ifndef HS_AGENT_PENDING_PACKETS_H
#define HS_AGENT_PENDING_PACKETS_H

#include "daemon/batch.h"
#include "wire/packet.h"

#define HS_PENDING_PACKETS_MAX 256        /* Packets in the queue.  */
#define HS_PENDING_PACKET_TIMEOUT_MS 1500 /* Time from arrival.  */

struct hs_pending_packet
{
  struct hs_list link;
  struct hs_packet_header header;
  struct hs_addr from; /* Sender of the packet.  */
  uint64_t arrived_at; /* ms  */
  size_t len;          /* Bytes of DATA.  */
  uint8_t *data;       /* Payload after the header, a talloc child.  */
};

struct hs_pending_packets;

/* Returns a talloc child of PARENT.  */
struct hs_pending_packets *hs_pending_packets_create (void *parent);
void hs_pending_packets_destroy (struct hs_pending_packets *packets);

/* Queues a copy of PACKET and its HEADER.  ARRIVED_AT is when the packet first
   arrived, and NOW the current time, both in ms.  Returns false, and queues
   nothing, if the queue is full or HS_PENDING_PACKET_TIMEOUT_MS have passed
   since ARRIVED_AT.  */
bool hs_pending_packets_add (struct hs_pending_packets *packets,
                             const struct hs_packet_header *header,
                             struct hs_packet *packet, uint64_t arrived_at,
                             uint64_t now);

/* Moves all queued packets to LIST, which is initialized here, in the order in
   which they were added.  Each must be freed with talloc_free.  */
void hs_pending_packets_take_all (struct hs_pending_packets *packets,
                                  struct hs_list *list);

#endif /* HS_AGENT_PENDING_PACKETS_H */
