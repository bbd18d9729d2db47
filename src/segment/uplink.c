/* uplink.c -- estimates the queue on the uplink, the network link of an
   entry's host.

   For each direction, a virtual queue is filled by the datagrams that are sent
   or received and drained at a part of the uplink's rate, so that it grows
   before the real queue does.

   New flows are refused before the uplink is full, such as when many uploads
   arrive at once or move here from an entry that has failed: a full uplink
   drops segments of all its flows, and each of them is sent again over the
   same uplink.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

/* Share of the uplink's rate at which the virtual queue drains.  The rest
   covers the difference between this estimate and the real queue.  In the load
   benchmark, 85 serves fewer requests than 75, and 92 the fewest.  */
#define USABLE_PERCENT 75

/* Bytes of the IPv4 and UDP headers of a datagram.  */
#define IP_UDP_HEADERS_SIZE 28

/* Share of the uplink's rate that lookup queries may use, and the number of
   them that may be sent at once after a pause: enough to look up a few flows
   of a service with many agents.  */
#define QUERY_PERCENT 10
#define QUERY_SIZE 80 /* Bytes, with the headers.  */
#define QUERY_TOKENS_MAX 256

/* New uploads are refused while the queue is longer than two windows of other
   uploads at 6.9 Mbit/s, flows of low priority while it is longer than half of
   a latency objective of 300 ms.  */
#define UPLOAD_QUEUE_MAX_MS 70
#define LOW_PRIORITY_QUEUE_MAX_MS 150
#define LOW_PRIORITY_MIN 2 /* Priorities from this number on are low.  */

struct hs_uplink
{
  double bytes_per_ms; /* Usable part of the rate; 0: no limit.  */
  double queued_bytes[HS_UPLINK_DIRECTIONS];
  double query_tokens;       /* Negative if the last lookup took more than
                                were left.  */
  uint64_t last_advanced_at; /* ms  */
};

/* Private functions.  */

static void advance (struct hs_uplink *uplink, uint64_t now);

/* Public definitions.  */

struct hs_uplink *
hs_uplink_create (void *parent, double mbit_per_s)
{
  struct hs_uplink *uplink = talloc_zero (parent, struct hs_uplink);

  uplink->bytes_per_ms = mbit_per_s * 1000 / 8 * USABLE_PERCENT / 100;
  uplink->query_tokens = QUERY_TOKENS_MAX;
  return uplink;
}

void
hs_uplink_destroy (struct hs_uplink *uplink)
{
  talloc_free (uplink);
}

void
hs_uplink_count (struct hs_uplink *uplink, enum hs_uplink_direction direction,
                 size_t len, uint64_t now)
{
  advance (uplink, now);
  uplink->queued_bytes[direction] += (double)(len + IP_UDP_HEADERS_SIZE);
}

uint64_t
hs_uplink_queue_ms (struct hs_uplink *uplink, uint64_t now)
{
  double longest = 0;

  advance (uplink, now);
  for (size_t i = 0; i < HS_UPLINK_DIRECTIONS; i++)
    if (uplink->queued_bytes[i] > longest)
      longest = uplink->queued_bytes[i];
  return uplink->bytes_per_ms > 0 ? (uint64_t)(longest / uplink->bytes_per_ms)
                                  : 0;
}

bool
hs_uplink_refuses_flow (struct hs_uplink *uplink,
                        enum hs_request_class request_class, uint32_t priority,
                        uint64_t now)
{
  uint64_t queue_ms = hs_uplink_queue_ms (uplink, now);

  if (request_class == HS_REQUEST_CLASS_UPLOAD)
    return queue_ms > UPLOAD_QUEUE_MAX_MS;
  return priority >= LOW_PRIORITY_MIN && queue_ms > LOW_PRIORITY_QUEUE_MAX_MS;
}

bool
hs_uplink_take_query_tokens (struct hs_uplink *uplink, size_t len,
                             uint64_t now)
{
  advance (uplink, now);
  if (uplink->bytes_per_ms <= 0)
    return true;
  if (uplink->query_tokens <= 0)
    return false;
  uplink->query_tokens -= (double)len;
  return true;
}

/* Private definitions.  */

/* Drains the virtual queues and refills the query tokens for the time since
   the last call.  */
static void
advance (struct hs_uplink *uplink, uint64_t now)
{
  double ms = now > uplink->last_advanced_at
                  ? (double)(now - uplink->last_advanced_at)
                  : 0;

  if (now > uplink->last_advanced_at)
    uplink->last_advanced_at = now;
  for (size_t i = 0; i < HS_UPLINK_DIRECTIONS; i++)
    {
      uplink->queued_bytes[i] -= ms * uplink->bytes_per_ms;
      if (uplink->queued_bytes[i] < 0)
        uplink->queued_bytes[i] = 0;
    }
  uplink->query_tokens += ms * uplink->bytes_per_ms * QUERY_PERCENT
                          / USABLE_PERCENT / QUERY_SIZE;
  if (uplink->query_tokens > QUERY_TOKENS_MAX)
    uplink->query_tokens = QUERY_TOKENS_MAX;
}
