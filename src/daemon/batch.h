/* batch.h -- batches of datagrams that cross the rings of a daemon.

   Each pool is a ring of free batches.  A batch belongs to one thread at a
   time and goes back to its pool when it has been sent.  */

#ifndef HS_DAEMON_BATCH_H
#define HS_DAEMON_BATCH_H

#include "base/ring.h"
#include "hibiscusspan.h"

#define HS_BATCH_SIZE 64       /* Packets.  */
#define HS_DATAGRAM_MAX 1900   /* Bytes of a caller's datagram.  */
#define HS_PACKET_HEADROOM 100 /* Bytes in front of it, for a header.  */
#define HS_PACKET_SIZE (HS_PACKET_HEADROOM + HS_DATAGRAM_MAX)

struct hs_packet
{
  uint64_t tag;        /* Of the socket it came by; see receiver.h.  */
  int fd;              /* Where to send it; -1: nowhere.  */
  bool connected;      /* The socket has a peer of its own.  */
  struct hs_addr peer; /* Sender, then receiver.  */
  uint16_t start;      /* Offset of the first byte.  */
  uint16_t len;        /* Bytes.  */
  uint8_t data[HS_PACKET_SIZE];
};

struct hs_batch
{
  struct hs_ring *pool; /* Where it goes back to.  */
  size_t len;
  struct hs_packet packets[HS_BATCH_SIZE];
};

struct hs_ring *hs_batch_pool_create (void *parent, size_t batches);
void hs_batch_release (struct hs_batch *batch);      /* Back to its pool.  */
uint8_t *hs_packet_bytes (struct hs_packet *packet); /* The first byte.  */

#endif /* HS_DAEMON_BATCH_H */
