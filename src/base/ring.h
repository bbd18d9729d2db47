/* ring.h -- bounded queues between threads.

   Any thread may push.  Any thread may pop, but only one may wait for items.
   A push to a full ring fails and is counted.  The consumer waits on an
   eventfd, which a producer writes only after the consumer has found the ring
   empty, so that pushes to a busy consumer need no system calls.  */

#ifndef HS_BASE_RING_H
#define HS_BASE_RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct hs_ring;

/* Returns an empty ring for CAPACITY items, a talloc child of PARENT.  */
struct hs_ring *hs_ring_create (void *parent, size_t capacity);

/* Frees RING.  The items still in it are not released.  */
void hs_ring_destroy (struct hs_ring *ring);

/* Appends ITEM, which must not be NULL.  Returns false if RING is full; the
   calling thread then still owns ITEM.  */
bool hs_ring_push (struct hs_ring *ring, void *item);

/* Appends ITEM, which must not be NULL.  If RING is full, the oldest item is
   removed and returned to the calling thread, which then owns it; otherwise
   returns NULL.  For items of which the latest counts.  */
void *hs_ring_push_displacing (struct hs_ring *ring, void *item);

/* Removes and returns the oldest item, or returns NULL if RING is empty.  */
void *hs_ring_pop (struct hs_ring *ring);

/* Removes up to MAX of the oldest items, stores them in ITEMS and returns
   their number.  */
size_t hs_ring_pop_many (struct hs_ring *ring, void **items, size_t max);

/* Returns the eventfd for an event loop.  RING owns it.  The eventfd becomes
   readable on the first push after the consumer found RING empty, that is,
   after a pop that returned fewer items than requested.  The consumer must
   therefore pop until that happens before it waits again.
   hs_ring_set_wake_threshold delays the wake-up.  */
int hs_ring_fd (const struct hs_ring *ring);

/* Makes the eventfd unreadable.  Call this before popping, so that a push
   that follows the last pop is noticed.  */
void hs_ring_clear_fd (struct hs_ring *ring);

/* Blocks until the eventfd is readable, and clears it.  RING may be empty on
   return if another thread has popped the items.  */
void hs_ring_wait (struct hs_ring *ring);

/* Makes producers wake a waiting consumer only when RING holds at least LEN
   items, instead of 1.  */
void hs_ring_set_wake_threshold (struct hs_ring *ring, size_t len);

/* Returns the number of pushes that failed because RING was full.  */
uint64_t hs_ring_rejected (struct hs_ring *ring);

/* Returns the number of items in RING.  */
size_t hs_ring_len (struct hs_ring *ring);

#endif /* HS_BASE_RING_H */
