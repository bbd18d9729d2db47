/* worker.c -- threads with an event loop, and the clocks.  */

#include "base/worker.h"

#include <pthread.h>
#include <stdatomic.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

/* Types.  */

#define ITEMS_PER_POP 64    /* Popped from a ring at once.  */
#define THREAD_NAME_SIZE 16 /* Limit of pthread_setname_np, with NUL.  */

struct hs_worker
{
  char name[THREAD_NAME_SIZE];
  pthread_t thread;
  struct tevent_context *events;
  int stop_fd; /* An eventfd, written by hs_worker_stop.  */
  bool stopping;
  struct hs_timers *timers; /* NULL: none.  */
  int timer_fd; /* Timer on the monotonic clock; -1: no timers.  Timers of
                   tevent are not used because they follow the wall clock,
                   which may be set back.  */
  uint64_t timer_fd_due; /* Its expiry in ms; UINT64_MAX: not armed.  */
  hs_worker_fn *after_items_fn;
  void *after_items_ctx;
};

struct ring_watch
{
  struct hs_worker *worker;
  struct hs_ring *ring;
  hs_worker_item_fn *fn;
  void *ctx;
};

/* Private functions.  */

static int destructor (struct hs_worker *worker);
static void *run (void *ctx);
static void on_stop (struct tevent_context *events, struct tevent_fd *fde,
                     uint16_t flags, void *ctx);
static void on_ring (struct tevent_context *events, struct tevent_fd *fde,
                     uint16_t flags, void *ctx);
static void on_timer_fd (struct tevent_context *events, struct tevent_fd *fde,
                         uint16_t flags, void *ctx);
static void finish_batch (struct hs_worker *worker);
static void arm_timer_fd (struct hs_worker *worker);
static uint64_t clock_ms (clockid_t clock);

/* Public definitions.  */

struct hs_worker *
hs_worker_create (const char *name)
{
  struct hs_worker *worker = talloc_zero (NULL, struct hs_worker);

  g_strlcpy (worker->name, name, sizeof worker->name);
  worker->events = tevent_context_init (worker);
  worker->stop_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  worker->timer_fd = -1;
  tevent_add_fd (worker->events, worker, worker->stop_fd, TEVENT_FD_READ,
                 on_stop, worker);
  talloc_set_destructor (worker, destructor);
  return worker;
}

void
hs_worker_destroy (struct hs_worker *worker)
{
  talloc_free (worker);
}

struct tevent_context *
hs_worker_event_context (struct hs_worker *worker)
{
  return worker->events;
}

void
hs_worker_watch_ring (struct hs_worker *worker, struct hs_ring *ring,
                      hs_worker_item_fn *fn, void *ctx)
{
  struct ring_watch *watch = talloc_zero (worker, struct ring_watch);

  watch->worker = worker;
  watch->ring = ring;
  watch->fn = fn;
  watch->ctx = ctx;
  tevent_add_fd (worker->events, worker, hs_ring_fd (ring), TEVENT_FD_READ,
                 on_ring, watch);
}

void
hs_worker_set_after_items (struct hs_worker *worker, hs_worker_fn *fn,
                           void *ctx)
{
  worker->after_items_fn = fn;
  worker->after_items_ctx = ctx;
}

void
hs_worker_set_timers (struct hs_worker *worker, struct hs_timers *timers)
{
  worker->timers = timers;
  worker->timer_fd
      = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  worker->timer_fd_due = UINT64_MAX;
  tevent_add_fd (worker->events, worker, worker->timer_fd, TEVENT_FD_READ,
                 on_timer_fd, worker);
  arm_timer_fd (worker);
}

void
hs_worker_start (struct hs_worker *worker)
{
  pthread_create (&worker->thread, NULL, run, worker);
  pthread_setname_np (worker->thread, worker->name);
}

void
hs_worker_stop (struct hs_worker *worker)
{
  eventfd_write (worker->stop_fd, 1);
  pthread_join (worker->thread, NULL);
}

uint64_t
hs_clock_monotonic (void)
{
  return clock_ms (CLOCK_MONOTONIC);
}

uint64_t
hs_clock_wall (void)
{
  return clock_ms (CLOCK_REALTIME);
}

/* Private definitions.  */

static int
destructor (struct hs_worker *worker)
{
  close (worker->stop_fd);
  if (worker->timer_fd >= 0)
    close (worker->timer_fd);
  return 0;
}

static void *
run (void *ctx)
{
  struct hs_worker *worker = ctx;

  while (!worker->stopping)
    if (tevent_loop_once (worker->events) != 0)
      break;
  return NULL;
}

static void
on_stop (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags,
         void *ctx)
{
  struct hs_worker *worker = ctx;

  (void)events;
  (void)fde;
  (void)flags;
  worker->stopping = true;
}

static void
on_ring (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags,
         void *ctx)
{
  struct ring_watch *watch = ctx;
  void *items[ITEMS_PER_POP];
  size_t len;

  (void)events;
  (void)fde;
  (void)flags;
  hs_ring_clear_fd (watch->ring);
  do
    {
      len = hs_ring_pop_many (watch->ring, items, ITEMS_PER_POP);
      for (size_t i = 0; i < len; i++)
        watch->fn (watch->ctx, items[i]);
    }
  while (len == ITEMS_PER_POP);
  finish_batch (watch->worker);
}

static void
on_timer_fd (struct tevent_context *events, struct tevent_fd *fde,
             uint16_t flags, void *ctx)
{
  struct hs_worker *worker = ctx;
  uint64_t expirations;

  (void)events;
  (void)fde;
  (void)flags;
  if (read (worker->timer_fd, &expirations, sizeof expirations) < 0)
    return;
  worker->timer_fd_due = UINT64_MAX;
  hs_timers_advance (worker->timers, hs_clock_monotonic ());
  finish_batch (worker);
}

/* Called after the items of a ring have been handled and after the timers have
   been advanced.  */
static void
finish_batch (struct hs_worker *worker)
{
  if (worker->after_items_fn != NULL)
    worker->after_items_fn (worker->after_items_ctx);
  if (worker->timers != NULL)
    arm_timer_fd (worker);
}

/* Arms the timer file descriptor for the next due timer.  An earlier expiry
   that is already armed is kept, because an extra wake-up costs less than the
   system call to change it.  */
static void
arm_timer_fd (struct hs_worker *worker)
{
  uint64_t due = hs_timers_next_due (worker->timers);
  struct itimerspec spec = { 0 };

  if (due >= worker->timer_fd_due)
    return;
  if (due == 0)
    due = 1; /* 0 would disarm the file descriptor.  */
  spec.it_value.tv_sec = (time_t)(due / 1000);
  spec.it_value.tv_nsec = (long)(due % 1000) * 1000000;
  timerfd_settime (worker->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
  worker->timer_fd_due = due;
}

static uint64_t
clock_ms (clockid_t clock)
{
  struct timespec ts;

  clock_gettime (clock, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}
