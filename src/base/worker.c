/* worker.c -- one thread with its event loop.  */

#include "base/worker.h"

#include <pthread.h>
#include <stdatomic.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

/* Types.  */

#define ITEMS_A_RUN 64
#define THREAD_NAME_SIZE 16 /* Of pthread_setname_np, with NUL.  */

struct hs_worker
{
  char name[THREAD_NAME_SIZE];
  pthread_t thread;
  struct tevent_context *events;
  int stop_fd;
  bool stopping;
  struct hs_timers *timers;
  int timer_fd;       /* Of the steady clock; tevent's own timers follow the
                         wall clock, which may be set back.  */
  uint64_t armed_due; /* ms; when it fires; UINT64_MAX: not armed.  */
  hs_worker_fn *after_fn;
  void *after_ctx;
};

struct ring_watch
{
  struct hs_worker *duty;
  struct hs_ring *ring;
  hs_worker_item_fn *fn;
  void *ctx;
};

/* Private functions.  */

static int destructor (struct hs_worker *duty);
static void *run (void *ctx);
static void on_stop (struct tevent_context *events, struct tevent_fd *fde,
                     uint16_t flags, void *ctx);
static void on_ring (struct tevent_context *events, struct tevent_fd *fde,
                     uint16_t flags, void *ctx);
static void on_timer (struct tevent_context *events, struct tevent_fd *fde,
                      uint16_t flags, void *ctx);
static void after_run (struct hs_worker *duty);
static void arm_timer (struct hs_worker *duty);
static uint64_t clock_ms (clockid_t clock);

/* Public definitions.  */

struct hs_worker *
hs_worker_create (const char *name)
{
  struct hs_worker *duty = talloc_zero (NULL, struct hs_worker);

  g_strlcpy (duty->name, name, sizeof duty->name);
  duty->events = tevent_context_init (duty);
  duty->stop_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  duty->timer_fd = -1;
  tevent_add_fd (duty->events, duty, duty->stop_fd, TEVENT_FD_READ, on_stop,
                 duty);
  talloc_set_destructor (duty, destructor);
  return duty;
}

void
hs_worker_destroy (struct hs_worker *duty)
{
  talloc_free (duty);
}

struct tevent_context *
hs_worker_event_context (struct hs_worker *duty)
{
  return duty->events;
}

void
hs_worker_watch_ring (struct hs_worker *duty, struct hs_ring *ring,
                      hs_worker_item_fn *fn, void *ctx)
{
  struct ring_watch *watch = talloc_zero (duty, struct ring_watch);

  watch->duty = duty;
  watch->ring = ring;
  watch->fn = fn;
  watch->ctx = ctx;
  tevent_add_fd (duty->events, duty, hs_ring_fd (ring), TEVENT_FD_READ,
                 on_ring, watch);
}

void
hs_worker_after_items (struct hs_worker *duty, hs_worker_fn *fn, void *ctx)
{
  duty->after_fn = fn;
  duty->after_ctx = ctx;
}

void
hs_worker_drive_timers (struct hs_worker *duty, struct hs_timers *timers)
{
  duty->timers = timers;
  duty->timer_fd
      = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  duty->armed_due = UINT64_MAX;
  tevent_add_fd (duty->events, duty, duty->timer_fd, TEVENT_FD_READ, on_timer,
                 duty);
  arm_timer (duty);
}

void
hs_worker_start (struct hs_worker *duty)
{
  pthread_create (&duty->thread, NULL, run, duty);
  pthread_setname_np (duty->thread, duty->name);
}

void
hs_worker_stop (struct hs_worker *duty)
{
  eventfd_write (duty->stop_fd, 1);
  pthread_join (duty->thread, NULL);
}

uint64_t
hs_clock_now (void)
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
destructor (struct hs_worker *duty)
{
  close (duty->stop_fd);
  if (duty->timer_fd >= 0)
    close (duty->timer_fd);
  return 0;
}

static void *
run (void *ctx)
{
  struct hs_worker *duty = ctx;

  while (!duty->stopping)
    if (tevent_loop_once (duty->events) != 0)
      break;
  return NULL;
}

static void
on_stop (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags,
         void *ctx)
{
  struct hs_worker *duty = ctx;

  (void)events;
  (void)fde;
  (void)flags;
  duty->stopping = true;
}

static void
on_ring (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags,
         void *ctx)
{
  struct ring_watch *watch = ctx;
  void *items[ITEMS_A_RUN];
  size_t len;

  (void)events;
  (void)fde;
  (void)flags;
  hs_ring_clear_fd (watch->ring);
  do
    {
      len = hs_ring_pop_many (watch->ring, items, ITEMS_A_RUN);
      for (size_t i = 0; i < len; i++)
        watch->fn (watch->ctx, items[i]);
    }
  while (len == ITEMS_A_RUN);
  after_run (watch->duty);
}

static void
on_timer (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags,
          void *ctx)
{
  struct hs_worker *duty = ctx;
  uint64_t expirations;

  (void)events;
  (void)fde;
  (void)flags;
  if (read (duty->timer_fd, &expirations, sizeof expirations) < 0)
    return;
  duty->armed_due = UINT64_MAX;
  hs_timers_advance (duty->timers, hs_clock_now ());
  after_run (duty);
}

static void
after_run (struct hs_worker *duty)
{
  if (duty->after_fn != NULL)
    duty->after_fn (duty->after_ctx);
  if (duty->timers != NULL)
    arm_timer (duty);
}

/* An earlier expiry than needed is kept: it costs less than setting it. */
static void
arm_timer (struct hs_worker *duty)
{
  uint64_t due = hs_timers_next_due (duty->timers);
  struct itimerspec spec = { 0 };

  if (due >= duty->armed_due)
    return;
  if (due == 0)
    due = 1; /* Zero would disarm it.  */
  spec.it_value.tv_sec = (time_t)(due / 1000);
  spec.it_value.tv_nsec = (long)(due % 1000) * 1000000;
  timerfd_settime (duty->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
  duty->armed_due = due;
}

static uint64_t
clock_ms (clockid_t clock)
{
  struct timespec ts;

  clock_gettime (clock, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}
