/* worker.h -- one thread with its event loop.

   A duty is set up by the thread that creates it and belongs to its own
   thread from start to stop.  Its talloc children belong to that thread.  */

#ifndef HS_BASE_WORKER_H
#define HS_BASE_WORKER_H

#include "base/ring.h"
#include "hibiscusspan.h"

#include <tevent.h>

struct hs_worker;

typedef void hs_worker_fn (void *ctx);
typedef void hs_worker_item_fn (void *ctx, void *item);

struct hs_worker *hs_worker_create (const char *name);
void hs_worker_destroy (struct hs_worker *duty); /* After hs_worker_stop.  */
struct tevent_context *hs_worker_event_context (struct hs_worker *duty);
void hs_worker_watch_ring (struct hs_worker *duty, struct hs_ring *ring,
                           hs_worker_item_fn *fn, void *ctx); /* Each item.  */
void hs_worker_after_items (struct hs_worker *duty, hs_worker_fn *fn,
                            void *ctx); /* After each run of items.  */
void hs_worker_drive_timers (struct hs_worker *duty, struct hs_timers *timers);
void hs_worker_start (struct hs_worker *duty);
void hs_worker_stop (struct hs_worker *duty); /* Waits for the thread's end. */

uint64_t hs_clock_now (void);  /* Steady clock, ms.  */
uint64_t hs_clock_wall (void); /* Wall clock, ms since 1970.  */

#endif /* HS_BASE_WORKER_H */
