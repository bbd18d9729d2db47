/* worker.h -- threads with an event loop, and the clocks.

   The thread that creates a worker sets it up: it adds rings, timers and other
   events.  From hs_worker_start to hs_worker_stop, the worker and its talloc
   children belong to the worker's thread, in which all callbacks run.  */

#ifndef HS_BASE_WORKER_H
#define HS_BASE_WORKER_H

#include "base/ring.h"
#include "hibiscusspan.h"

#include <tevent.h>

struct hs_worker;

typedef void hs_worker_fn (void *ctx);
typedef void hs_worker_item_fn (void *ctx, void *item);

/* Returns a worker whose thread is not started yet.  NAME is the name of the
   thread and is cut to 15 bytes.  Release it with hs_worker_destroy.  */
struct hs_worker *hs_worker_create (const char *name);

/* Frees WORKER, which must not be running.  */
void hs_worker_destroy (struct hs_worker *worker);

/* Returns the event context, for further events.  WORKER owns it.  */
struct tevent_context *hs_worker_event_context (struct hs_worker *worker);

/* Calls FN for each item pushed to RING.  No other thread may wait for items
   of RING.  */
void hs_worker_watch_ring (struct hs_worker *worker, struct hs_ring *ring,
                           hs_worker_item_fn *fn, void *ctx);

/* Sets the function to call after the items of a ring have been handled or the
   timers have been advanced, for work that is cheaper once per batch.  */
void hs_worker_set_after_items (struct hs_worker *worker, hs_worker_fn *fn,
                                void *ctx);

/* Makes WORKER advance TIMERS with hs_clock_monotonic.  TIMERS must outlive
   WORKER's thread.  Call this at most once.  */
void hs_worker_set_timers (struct hs_worker *worker, struct hs_timers *timers);

/* Starts the thread, in which the event loop runs.  */
void hs_worker_start (struct hs_worker *worker);

/* Makes the event loop end and waits for the thread to exit.  Items that are
   still in the rings are not handled.  */
void hs_worker_stop (struct hs_worker *worker);

/* Returns the time of the monotonic clock in ms.  */
uint64_t hs_clock_monotonic (void);

/* Returns the time of the wall clock in ms since 1970-01-01 00:00 UTC.  */
uint64_t hs_clock_wall (void);

#endif /* HS_BASE_WORKER_H */
