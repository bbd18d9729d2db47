/* receiver.h -- the thread that reads datagrams, in batches.

   hs_receiver_watch adds a socket with a tag that is copied into its packets.
   hs_receiver_close stops reading from a socket and has the sender close it
   after the packets already queued for it.  */

#ifndef HS_DAEMON_RECEIVER_H
#define HS_DAEMON_RECEIVER_H

#include "base/metrics.h"
#include "daemon/batch.h"
#include "daemon/sender.h"

struct hs_receiver;

/* Takes free batches from BATCH_POOL and pushes filled ones to OUT.  */
struct hs_receiver *hs_receiver_create (struct hs_ring *batch_pool,
                                        struct hs_ring *out,
                                        struct hs_sender *sender,
                                        struct hs_metrics *metrics);

/* The receiver must be stopped, or never have been started.  */
void hs_receiver_destroy (struct hs_receiver *receiver);
void hs_receiver_start (struct hs_receiver *receiver);
void hs_receiver_stop (struct hs_receiver *receiver);

/* Any thread may call these.  If the command queue is full, hs_receiver_watch
   returns false, and hs_receiver_close leaves FD watched and open.  */
bool hs_receiver_watch (struct hs_receiver *receiver, int fd, uint64_t tag);
void hs_receiver_close (struct hs_receiver *receiver, int fd);

/* Returns a non-blocking UDP socket bound to ADDR, or -1 with
   HS_ERROR_SYSTEM.  */
int hs_socket_bind (const struct hs_addr *addr, GError **error);

#endif /* HS_DAEMON_RECEIVER_H */
