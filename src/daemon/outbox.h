/* outbox.h -- packets that the decision worker sends besides those it
   received.

   They are collected in batches of the outbox's own batch pool and pushed to
   the sender's ring by hs_outbox_flush, or when a batch is full.  */

#ifndef HS_DAEMON_OUTBOX_H
#define HS_DAEMON_OUTBOX_H

#include "base/metrics.h"
#include "daemon/batch.h"

struct hs_outbox;

/* OUT is the sender's ring.  BATCHES is the size of the batch pool.  The
   result is a talloc child of PARENT.  */
struct hs_outbox *hs_outbox_create (void *parent, struct hs_ring *out,
                                    size_t batches,
                                    struct hs_metrics *metrics);
void hs_outbox_destroy (struct hs_outbox *outbox);

/* Returns an empty packet, to be filled before the next call of an outbox
   function.  Returns NULL and counts a dropped packet if no batch is free.  */
struct hs_packet *hs_outbox_add (struct hs_outbox *outbox);
void hs_outbox_flush (struct hs_outbox *outbox);

#endif /* HS_DAEMON_OUTBOX_H */
