/* outbox.h -- datagrams that a decision makes besides the one at hand.

   Packets are collected in batches of a pool of their own and handed to the
   sender when flushed.  */

#ifndef HS_DAEMON_OUTBOX_H
#define HS_DAEMON_OUTBOX_H

#include "base/counter.h"
#include "daemon/batch.h"

struct hs_outbox;

struct hs_outbox *hs_outbox_create (void *parent, struct hs_ring *out,
                                    size_t batches,
                                    struct hs_counters *counters);
void hs_outbox_destroy (struct hs_outbox *outbox);
struct hs_packet *hs_outbox_add (struct hs_outbox *outbox); /* NULL: no batch
                                                    is free; counted.  */
void hs_outbox_flush (struct hs_outbox *outbox);

#endif /* HS_DAEMON_OUTBOX_H */
