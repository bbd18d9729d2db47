/* timer.c -- timers, kept in a hashed timing wheel.

   The time is divided into ticks, and tick N belongs to bucket N modulo
   BUCKETS.  A timer is in the bucket of its due time, rounded up to a tick,
   or, if that tick has passed, in the bucket of the next tick to process.
   Timers that are due more than one turn of the wheel ahead share the bucket
   with earlier ones and are skipped until their own turn.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

#define TICK_MS 4
#define BUCKETS 1024 /* One turn of the wheel; a power of two.  */

struct hs_timers
{
  uint64_t now;      /* Time of the last hs_timers_advance, in ms.  */
  uint64_t tick;     /* Next tick to process.  */
  uint64_t next_due; /* Time in ms before which no timer is due.  */
  struct hs_list buckets[BUCKETS];
};

/* Private functions.  */

static uint64_t tick_of (uint64_t ms);
static void run_bucket (struct hs_timers *timers, uint64_t tick, uint64_t now);
static uint64_t ms_until_next (const struct hs_timers *timers, uint64_t now);

/* Public definitions.  */

struct hs_timers *
hs_timers_create (void *parent, uint64_t now)
{
  struct hs_timers *timers = talloc_zero (parent, struct hs_timers);

  timers->now = now;
  timers->tick = tick_of (now);
  timers->next_due = UINT64_MAX;
  for (size_t i = 0; i < BUCKETS; i++)
    hs_list_init (&timers->buckets[i]);
  return timers;
}

void
hs_timers_destroy (struct hs_timers *timers)
{
  talloc_free (timers);
}

void
hs_timer_init (struct hs_timer *timer, hs_timer_fn *fn, void *ctx)
{
  hs_list_init (&timer->link);
  timer->due = 0;
  timer->fn = fn;
  timer->ctx = ctx;
}

void
hs_timer_start (struct hs_timers *timers, struct hs_timer *timer, uint64_t due)
{
  uint64_t tick = tick_of (due);

  if (tick < timers->tick)
    tick = timers->tick;
  hs_list_remove (&timer->link);
  timer->due = due;
  hs_list_append (&timers->buckets[tick & (BUCKETS - 1)], &timer->link);
  if (tick * TICK_MS < timers->next_due)
    timers->next_due = tick * TICK_MS;
}

void
hs_timer_stop (struct hs_timer *timer)
{
  hs_list_remove (&timer->link);
}

uint64_t
hs_timers_advance (struct hs_timers *timers, uint64_t now)
{
  uint64_t last_tick = now / TICK_MS;

  if (now < timers->now)
    now = timers->now;
  timers->now = now;
  /* If more than one turn has passed, one visit per bucket is enough.  */
  if (last_tick >= timers->tick + BUCKETS)
    timers->tick = last_tick - BUCKETS + 1;
  while (timers->tick <= last_tick)
    {
      uint64_t tick = timers->tick++;

      run_bucket (timers, tick, now);
    }
  timers->next_due = now + ms_until_next (timers, now);
  return timers->next_due - now;
}

uint64_t
hs_timers_next_due (const struct hs_timers *timers)
{
  return timers->next_due;
}

/* Private definitions.  */

/* Returns the first tick that begins at or after the time MS.  */
static uint64_t
tick_of (uint64_t ms)
{
  return (ms + TICK_MS - 1) / TICK_MS;
}

/* Calls the callbacks of the timers of TICK that are due at NOW.  They are
   moved to a list of their own first, so that the callbacks may start and stop
   any timer.  */
static void
run_bucket (struct hs_timers *timers, uint64_t tick, uint64_t now)
{
  struct hs_list due_timers;
  struct hs_list *bucket = &timers->buckets[tick & (BUCKETS - 1)];

  hs_list_init (&due_timers);
  HS_LIST_FOREACH (link, bucket)
    {
      struct hs_timer *timer = HS_LIST_ENTRY (link, struct hs_timer, link);

      if (timer->due > now)
        continue;
      hs_list_remove (link);
      hs_list_append (&due_timers, link);
    }
  for (struct hs_list *link = hs_list_pop (&due_timers); link != NULL;
       link = hs_list_pop (&due_timers))
    {
      struct hs_timer *timer = HS_LIST_ENTRY (link, struct hs_timer, link);

      timer->fn (timer->ctx, now);
    }
}

/* Returns the time until the tick of the next bucket in use, at least 1 ms,
   or one turn of the wheel if no timer is running.  This may be too early,
   because the timers of the bucket may be due in a later turn.  */
static uint64_t
ms_until_next (const struct hs_timers *timers, uint64_t now)
{
  for (uint64_t i = 0; i < BUCKETS; i++)
    {
      uint64_t tick = timers->tick + i;

      if (!hs_list_is_empty (&timers->buckets[tick & (BUCKETS - 1)]))
        return tick * TICK_MS > now ? tick * TICK_MS - now : 1;
    }
  return BUCKETS * TICK_MS;
}
