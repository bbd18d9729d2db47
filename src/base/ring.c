/* ring.c -- bounded queues between threads, made of a ring buffer, a mutex and
   an eventfd.  */

#include "base/ring.h"

#include <poll.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <talloc.h>
#include <unistd.h>

/* Types.  */

struct hs_ring
{
  pthread_mutex_t lock;  /* Protects the fields below, except EVENT_FD.  */
  int event_fd;          /* Constant after creation.  */
  bool consumer_idle;    /* A pop found the ring empty, so a push must wake the
                            consumer.  */
  size_t wake_threshold; /* Items at which to wake the consumer.  */
  size_t capacity;
  size_t head; /* Index of the oldest item.  */
  size_t len;
  uint64_t rejected; /* Pushes that failed because the ring was full.  */
  void **items;
};

/* Private functions.  */

static int destructor (struct hs_ring *ring);
static bool enqueue (struct hs_ring *ring, void *item);
static size_t dequeue (struct hs_ring *ring, void **items, size_t max);
static void *remove_oldest (struct hs_ring *ring);
static bool must_wake (struct hs_ring *ring);

/* Public definitions.  */

struct hs_ring *
hs_ring_create (void *parent, size_t capacity)
{
  struct hs_ring *ring = talloc_zero (parent, struct hs_ring);

  pthread_mutex_init (&ring->lock, NULL);
  ring->event_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  ring->capacity = capacity;
  ring->consumer_idle = true;
  ring->wake_threshold = 1;
  ring->items = talloc_array (ring, void *, capacity);
  talloc_set_destructor (ring, destructor);
  return ring;
}

void
hs_ring_destroy (struct hs_ring *ring)
{
  talloc_free (ring);
}

bool
hs_ring_push (struct hs_ring *ring, void *item)
{
  bool wake;
  bool added;

  pthread_mutex_lock (&ring->lock);
  added = enqueue (ring, item);
  wake = added && must_wake (ring);
  pthread_mutex_unlock (&ring->lock);
  if (wake)
    eventfd_write (ring->event_fd, 1);
  return added;
}

void *
hs_ring_push_displacing (struct hs_ring *ring, void *item)
{
  void *displaced = NULL;
  bool wake;

  pthread_mutex_lock (&ring->lock);
  if (ring->len == ring->capacity)
    displaced = remove_oldest (ring);
  enqueue (ring, item);
  wake = must_wake (ring);
  pthread_mutex_unlock (&ring->lock);
  if (wake)
    eventfd_write (ring->event_fd, 1);
  return displaced;
}

void *
hs_ring_pop (struct hs_ring *ring)
{
  void *item;

  return hs_ring_pop_many (ring, &item, 1) == 1 ? item : NULL;
}

size_t
hs_ring_pop_many (struct hs_ring *ring, void **items, size_t max)
{
  size_t len;

  pthread_mutex_lock (&ring->lock);
  len = dequeue (ring, items, max);
  pthread_mutex_unlock (&ring->lock);
  return len;
}

int
hs_ring_fd (const struct hs_ring *ring)
{
  return ring->event_fd;
}

void
hs_ring_clear_fd (struct hs_ring *ring)
{
  eventfd_t value;

  eventfd_read (ring->event_fd, &value);
}

void
hs_ring_wait (struct hs_ring *ring)
{
  struct pollfd pfd = { .fd = ring->event_fd, .events = POLLIN };

  while (poll (&pfd, 1, -1) < 0)
    continue;
  hs_ring_clear_fd (ring);
}

void
hs_ring_set_wake_threshold (struct hs_ring *ring, size_t len)
{
  pthread_mutex_lock (&ring->lock);
  ring->wake_threshold = len;
  pthread_mutex_unlock (&ring->lock);
}

uint64_t
hs_ring_rejected (struct hs_ring *ring)
{
  uint64_t rejected;

  pthread_mutex_lock (&ring->lock);
  rejected = ring->rejected;
  pthread_mutex_unlock (&ring->lock);
  return rejected;
}

size_t
hs_ring_len (struct hs_ring *ring)
{
  size_t len;

  pthread_mutex_lock (&ring->lock);
  len = ring->len;
  pthread_mutex_unlock (&ring->lock);
  return len;
}

/* Private definitions.  */

static int
destructor (struct hs_ring *ring)
{
  close (ring->event_fd);
  pthread_mutex_destroy (&ring->lock);
  return 0;
}

/* Called with the lock held.  */
static bool
enqueue (struct hs_ring *ring, void *item)
{
  if (ring->len == ring->capacity)
    {
      ring->rejected++;
      return false;
    }
  ring->items[(ring->head + ring->len) % ring->capacity] = item;
  ring->len++;
  return true;
}

/* Called with the lock held.  */
static size_t
dequeue (struct hs_ring *ring, void **items, size_t max)
{
  size_t len = ring->len < max ? ring->len : max;

  for (size_t i = 0; i < len; i++)
    items[i] = remove_oldest (ring);
  if (len < max)
    ring->consumer_idle = true;
  return len;
}

/* Called with the lock held, and only if RING is not empty.  */
static void *
remove_oldest (struct hs_ring *ring)
{
  void *item = ring->items[ring->head];

  ring->head = (ring->head + 1) % ring->capacity;
  ring->len--;
  return item;
}

/* Returns whether the consumer waits and must be woken, which the caller then
   has to do.  Called with the lock held.  */
static bool
must_wake (struct hs_ring *ring)
{
  if (!ring->consumer_idle || ring->len < ring->wake_threshold)
    return false;
  ring->consumer_idle = false;
  return true;
}
