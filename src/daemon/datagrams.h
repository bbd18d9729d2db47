/* datagrams.h -- a UDP socket for datagrams of any size, which control hosts
   use to communicate with each other and with the nodes.

   One thread receives and one sends.  Datagrams cross rings and have no
   talloc parent: whoever pops one from a ring frees it with talloc_free.  */

#ifndef HS_DAEMON_DATAGRAMS_H
#define HS_DAEMON_DATAGRAMS_H

#include "base/metrics.h"
#include "base/ring.h"
#include "hibiscusspan.h"

struct hs_datagram
{
  struct hs_addr peer; /* When received, the source; when sent, the
                          destination.  */
  size_t len;          /* Bytes.  */
  uint8_t data[];
};

struct hs_datagrams;

/* Binds ADDRESS.  Received datagrams are pushed to IN, which must outlive the
   result.  Returns NULL and sets HS_ERROR_SYSTEM if ADDRESS cannot be
   bound.  */
struct hs_datagrams *hs_datagrams_create (const struct hs_addr *address,
                                          struct hs_ring *in,
                                          struct hs_metrics *metrics,
                                          GError **error);
void hs_datagrams_destroy (struct hs_datagrams *datagrams);
void hs_datagrams_start (struct hs_datagrams *datagrams);

/* Stops both threads and sends what is still queued.  */
void hs_datagrams_stop (struct hs_datagrams *datagrams);

/* Returns a datagram with a copy of DATA.  Free it with talloc_free, or pass
   it to hs_datagrams_send.  */
struct hs_datagram *hs_datagram_create (const struct hs_addr *peer,
                                        const uint8_t *data, size_t len);

/* Queues DATAGRAM for sending and takes ownership of it.  A full queue drops
   and counts it.  Any thread may call it.  */
void hs_datagrams_send (struct hs_datagrams *datagrams,
                        struct hs_datagram *datagram);

#endif /* HS_DAEMON_DATAGRAMS_H */
