/* sender.h -- the thread that sends datagrams, in batches.  */

#ifndef HS_DAEMON_SENDER_H
#define HS_DAEMON_SENDER_H

#include "base/metrics.h"
#include "daemon/batch.h"

struct hs_sender;

/* Sends the batches of IN and releases each to its pool.  */
struct hs_sender *hs_sender_create (struct hs_ring *in,
                                    struct hs_metrics *metrics);

/* The sender must be stopped, or never have been started.  */
void hs_sender_destroy (struct hs_sender *sender);
void hs_sender_start (struct hs_sender *sender);

/* Stops the thread and sends what is still queued.  */
void hs_sender_stop (struct hs_sender *sender);

/* Closes FD once the batches already queued have been sent.  Called by the
   receiver.  */
void hs_sender_close (struct hs_sender *sender, int fd);

#endif /* HS_DAEMON_SENDER_H */
