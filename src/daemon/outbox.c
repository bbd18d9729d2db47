/* outbox.c -- packets that the decision worker sends besides those it
   received.  */

#include "daemon/outbox.h"

#include <talloc.h>

/* Types.  */

struct hs_outbox
{
  struct hs_ring *batch_pool;
  struct hs_ring *out;
  struct hs_batch *batch; /* Being filled; NULL: none.  */
  struct hs_counter *dropped;
};

/* Public definitions.  */

struct hs_outbox *
hs_outbox_create (void *parent, struct hs_ring *out, size_t batches,
                  struct hs_metrics *metrics)
{
  struct hs_outbox *outbox = talloc_zero (parent, struct hs_outbox);

  outbox->batch_pool = hs_batch_pool_create (outbox, batches);
  outbox->out = out;
  outbox->dropped
      = hs_counter_create (metrics, "outbox_dropped_total",
                           "Datagrams of this process dropped because no "
                           "batch was free.");
  return outbox;
}

void
hs_outbox_destroy (struct hs_outbox *outbox)
{
  talloc_free (outbox);
}

struct hs_packet *
hs_outbox_add (struct hs_outbox *outbox)
{
  struct hs_packet *packet;

  if (outbox->batch != NULL && outbox->batch->len == HS_BATCH_SIZE)
    hs_outbox_flush (outbox);
  if (outbox->batch == NULL)
    outbox->batch = hs_ring_pop (outbox->batch_pool);
  if (outbox->batch == NULL)
    {
      hs_counter_add (outbox->dropped, 1);
      return NULL;
    }
  packet = &outbox->batch->packets[outbox->batch->len++];
  packet->tag = 0;
  packet->fd = -1;
  packet->connected = false;
  packet->start = HS_PACKET_HEADROOM;
  packet->len = 0;
  return packet;
}

void
hs_outbox_flush (struct hs_outbox *outbox)
{
  if (outbox->batch == NULL)
    return;
  hs_ring_push (outbox->out, outbox->batch);
  outbox->batch = NULL;
}
