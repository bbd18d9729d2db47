/* batch.c -- batches of packets and their pools.  */

#include "daemon/batch.h"

#include <talloc.h>

/* Public definitions.  */

struct hs_ring *
hs_batch_pool_create (void *parent, size_t batches)
{
  struct hs_ring *pool = hs_ring_create (parent, batches);

  for (size_t i = 0; i < batches; i++)
    {
      struct hs_batch *batch = talloc (pool, struct hs_batch);

      batch->pool = pool;
      batch->len = 0;
      hs_ring_push (pool, batch);
    }
  /* Wakes a receiver that ran out of batches only once half of them are
     free, rather than for each batch that is released.  */
  hs_ring_set_wake_threshold (pool, (batches + 1) / 2);
  return pool;
}

void
hs_batch_release (struct hs_batch *batch)
{
  batch->len = 0;
  hs_ring_push (batch->pool, batch);
}

uint8_t *
hs_packet_bytes (struct hs_packet *packet)
{
  return packet->data + packet->start;
}
