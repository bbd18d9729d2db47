/* uplink.c -- how full the link of an entry's host is.

   A queue that exists only here is filled by what is sent or received and
   drained at a part of the link's rate, so that it grows before the real one
   does.  The load answered here is uploads that come together, or that the
   entries which are left have to take: a full link loses segments of all its
   flows, and each of those is sent again over the same link.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

/* Part of the rate that may be used: what is left takes the differences
   between this count and the link's own.  Of 75, 85 and 92 the users' bench
   served most with 75 and least with 92.  */
#define USED_PERCENT 75

/* Bytes of IP and UDP in front of a datagram.  */
#define HEADERS_SIZE 28

/* Part of the rate that questions for flows may take, and how many may be
   asked at once after a pause: those of a few flows to a large service.  */
#define QUESTIONS_PERCENT 10
#define QUESTION_SIZE 80 /* Bytes, with headers.  */
#define QUESTIONS_AT_ONCE 256

/* Queue from which on a new upload is refused: two windows of other uploads
   at 6.9 Mbit/s; and from which on a flow of low priority is: half of a
   latency objective of 300 ms.  */
#define UPLOAD_QUEUE_MS 70
#define FLOW_QUEUE_MS 150
#define PRIORITY_LOW 2

struct hs_uplink
{
  double rate; /* Bytes a ms that may be used; 0: without bound.  */
  double queued[HS_UPLINK_DIRECTIONS]; /* Bytes.  */
  double questions;                    /* That may be asked.  */
  uint64_t drained_at;                 /* ms  */
};

/* Private functions.  */

static void drain (struct hs_uplink *link, uint64_t now);

/* Public definitions.  */

struct hs_uplink *
hs_uplink_create (void *parent, double mbit_per_s)
{
  struct hs_uplink *link = talloc_zero (parent, struct hs_uplink);

  link->rate = mbit_per_s * 1000 / 8 * USED_PERCENT / 100;
  link->questions = QUESTIONS_AT_ONCE;
  return link;
}

void
hs_uplink_destroy (struct hs_uplink *link)
{
  talloc_free (link);
}

void
hs_uplink_count (struct hs_uplink *link, enum hs_uplink_direction direction,
                 size_t len, uint64_t now)
{
  drain (link, now);
  link->queued[direction] += (double)(len + HEADERS_SIZE);
}

uint64_t
hs_uplink_queue_ms (struct hs_uplink *link, uint64_t now)
{
  double most = 0;

  drain (link, now);
  for (size_t i = 0; i < HS_UPLINK_DIRECTIONS; i++)
    if (link->queued[i] > most)
      most = link->queued[i];
  return link->rate > 0 ? (uint64_t)(most / link->rate) : 0;
}

bool
hs_uplink_refuses_flow (struct hs_uplink *link, enum hs_request_class work,
                        uint32_t priority, uint64_t now)
{
  uint64_t queue_ms = hs_uplink_queue_ms (link, now);

  if (work == HS_REQUEST_CLASS_UPLOAD)
    return queue_ms > UPLOAD_QUEUE_MS;
  return priority >= PRIORITY_LOW && queue_ms > FLOW_QUEUE_MS;
}

bool
hs_uplink_take_query_tokens (struct hs_uplink *link, size_t len, uint64_t now)
{
  drain (link, now);
  if (link->rate <= 0)
    return true;
  if (link->questions <= 0)
    return false;
  link->questions -= (double)len;
  return true;
}

/* Private definitions.  */

static void
drain (struct hs_uplink *link, uint64_t now)
{
  double ms = now > link->drained_at ? (double)(now - link->drained_at) : 0;

  if (now > link->drained_at)
    link->drained_at = now;
  for (size_t i = 0; i < HS_UPLINK_DIRECTIONS; i++)
    {
      link->queued[i] -= ms * link->rate;
      if (link->queued[i] < 0)
        link->queued[i] = 0;
    }
  link->questions
      += ms * link->rate * QUESTIONS_PERCENT / USED_PERCENT / QUESTION_SIZE;
  if (link->questions > QUESTIONS_AT_ONCE)
    link->questions = QUESTIONS_AT_ONCE;
}
