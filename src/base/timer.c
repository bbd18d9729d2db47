/* timer.c -- the timer service, a hashed timing wheel.

   A timer sits in the slot of its due time; timers further away than one
   turn of the wheel stay in their slot until their turn has come.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

#define TICK_MS 4
#define SLOTS 1024 /* A power of two.  */

struct hs_timers
{
  uint64_t now;  /* ms  */
  uint64_t tick; /* The next one to run.  */
  uint64_t due;  /* ms; no timer is due before.  */
  struct hs_list slots[SLOTS];
};

/* Private functions.  */

static uint64_t tick_of (uint64_t ms);
static void run_slot (struct hs_timers *timers, uint64_t tick, uint64_t now);
static uint64_t until_next (const struct hs_timers *timers, uint64_t now);

/* Public definitions.  */

struct hs_timers *
hs_timers_create (void *parent, uint64_t now)
{
  struct hs_timers *timers = talloc_zero (parent, struct hs_timers);

  timers->now = now;
  timers->tick = tick_of (now);
  timers->due = UINT64_MAX;
  for (size_t i = 0; i < SLOTS; i++)
    hs_list_init (&timers->slots[i]);
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
  hs_list_append (&timers->slots[tick & (SLOTS - 1)], &timer->link);
  if (tick * TICK_MS < timers->due)
    timers->due = tick * TICK_MS;
}

void
hs_timer_stop (struct hs_timer *timer)
{
  hs_list_remove (&timer->link);
}

uint64_t
hs_timers_advance (struct hs_timers *timers, uint64_t now)
{
  uint64_t last = now / TICK_MS;

  if (now < timers->now)
    now = timers->now;
  timers->now = now;
  /* After a long sleep every slot is visited once at most.  */
  if (last >= timers->tick + SLOTS)
    timers->tick = last - SLOTS + 1;
  while (timers->tick <= last)
    {
      uint64_t tick = timers->tick++;

      run_slot (timers, tick, now);
    }
  timers->due = now + until_next (timers, now);
  return timers->due - now;
}

uint64_t
hs_timers_next_due (const struct hs_timers *timers)
{
  return timers->due;
}

/* Private definitions.  */

static uint64_t
tick_of (uint64_t ms)
{
  return (ms + TICK_MS - 1) / TICK_MS;
}

static void
run_slot (struct hs_timers *timers, uint64_t tick, uint64_t now)
{
  struct hs_list due;
  struct hs_list *slot = &timers->slots[tick & (SLOTS - 1)];

  hs_list_init (&due);
  HS_LIST_FOREACH (link, slot)
    {
      struct hs_timer *timer = HS_LIST_ENTRY (link, struct hs_timer, link);

      if (timer->due > now)
        continue;
      hs_list_remove (link);
      hs_list_append (&due, link);
    }
  for (struct hs_list *link = hs_list_pop (&due); link != NULL;
       link = hs_list_pop (&due))
    {
      struct hs_timer *timer = HS_LIST_ENTRY (link, struct hs_timer, link);

      timer->fn (timer->ctx, now);
    }
}

static uint64_t
until_next (const struct hs_timers *timers, uint64_t now)
{
  for (uint64_t i = 0; i < SLOTS; i++)
    {
      uint64_t tick = timers->tick + i;

      if (!hs_list_is_empty (&timers->slots[tick & (SLOTS - 1)]))
        return tick * TICK_MS > now ? tick * TICK_MS - now : 1;
    }
  return SLOTS * TICK_MS;
}
