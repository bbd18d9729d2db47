/* batch.h -- batches of packets, which the threads of a daemon exchange over
   rings.

   A batch pool is a ring of free batches.  A batch belongs to one thread at a
   time and returns to its pool once it has been sent.  */

#ifndef HS_DAEMON_BATCH_H
#define HS_DAEMON_BATCH_H

#include "base/ring.h"
#include "hibiscusspan.h"

#define HS_BATCH_SIZE 64       /* Packets.  */
#define HS_DATAGRAM_MAX 1900   /* Bytes of a caller's datagram.  */
#define HS_PACKET_HEADROOM 100 /* Bytes kept free for an inner header.  */
#define HS_PACKET_SIZE (HS_PACKET_HEADROOM + HS_DATAGRAM_MAX)

struct hs_packet
{
  uint64_t tag;        /* Tag of the receiving socket; see receiver.h.  */
  int fd;              /* Socket to send by; -1: the packet is not sent.  */
  bool connected;      /* FD is a connected socket; peer is not used.  */
  struct hs_addr peer; /* When received, the source; when sent, the
                          destination.  */
  uint16_t start;      /* Offset of the first byte in data.  */
  uint16_t len;        /* Bytes.  */
  uint8_t data[HS_PACKET_SIZE];
};

struct hs_batch
{
  struct hs_ring *pool; /* Where hs_batch_release returns it.  */
  size_t len;           /* Packets in use.  */
  struct hs_packet packets[HS_BATCH_SIZE];
};

/* Creates a pool of BATCHES empty batches.  The pool is a talloc child of
   PARENT, and the batches are talloc children of the pool.  */
struct hs_ring *hs_batch_pool_create (void *parent, size_t batches);

/* Empties BATCH and returns it to its pool.  */
void hs_batch_release (struct hs_batch *batch);

/* Returns the first byte of PACKET.  */
uint8_t *hs_packet_bytes (struct hs_packet *packet);

#endif /* HS_DAEMON_BATCH_H */
