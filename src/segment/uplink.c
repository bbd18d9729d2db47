/* uplink.c -- refuses new flows before the uplink, the network link of an
   entry's host, is full, and limits the rate of lookup queries.

   The wait for the outgoing direction is that of the egress queue.  For the
   incoming direction, a virtual queue is filled by the datagrams received and
   drained at a part of the uplink's rate, so that it grows before the real
   queue does.

   New flows are refused such as when many uploads arrive at once or move here
   from an entry that has failed: a full uplink drops segments of all its
   flows, and each of them is sent again over the same uplink.  */

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

/* Queries to directory agents may take this many tokens on credit, so that
   they do not wait for the queries to all agents that came before.  */
#define QUERY_CREDIT_MAX 512.0

/* A new flow may wait for the uplink for this share of its latency objective.
   An upload waits again for each window of its segments.  */
#define UPLOAD_WAIT_PERCENT 25
#define LOW_PRIORITY_WAIT_PERCENT 50
#define SLO_DEFAULT_MS 800 /* Latency objective of routes without one.  */

struct hs_uplink
{
  double bytes_per_ms;   /* Usable part of the rate; 0: no limit.  */
  double received_bytes; /* In the virtual queue.  */
  struct hs_egress *egress;
  double query_tokens;       /* Negative if the last lookup took more than
                                were left.  */
  uint64_t last_advanced_at; /* ms  */
};

/* Private functions.  */

static void advance (struct hs_uplink *uplink, uint64_t now);

/* Public definitions.  */

struct hs_uplink *
hs_uplink_create (void *parent, double mbit_per_s, struct hs_egress *egress)
{
  struct hs_uplink *uplink = talloc_zero (parent, struct hs_uplink);

  uplink->bytes_per_ms = mbit_per_s * 1000 / 8 * USABLE_PERCENT / 100;
  uplink->query_tokens = QUERY_TOKENS_MAX;
  uplink->egress = egress;
  return uplink;
}

void
hs_uplink_destroy (struct hs_uplink *uplink)
{
  talloc_free (uplink);
}

void
hs_uplink_count_received (struct hs_uplink *uplink, size_t len, uint64_t now)
{
  advance (uplink, now);
  uplink->received_bytes += (double)(len + IP_UDP_HEADERS_SIZE);
}

uint64_t
hs_uplink_wait_ms (struct hs_uplink *uplink, enum hs_egress_class class,
                   uint64_t now)
{
  uint64_t sent_ms = hs_egress_wait_ms (uplink->egress, class, now);
  uint64_t received_ms;

  advance (uplink, now);
  received_ms = uplink->bytes_per_ms > 0
                    ? (uint64_t)(uplink->received_bytes / uplink->bytes_per_ms)
                    : 0;
  return received_ms > sent_ms ? received_ms : sent_ms;
}

bool
hs_uplink_refuses_flow (struct hs_uplink *uplink,
                        enum hs_request_class request_class, uint32_t slo_ms,
                        uint32_t priority, uint64_t now)
{
  uint64_t objective_ms = slo_ms != 0 ? slo_ms : SLO_DEFAULT_MS;

  if (request_class == HS_REQUEST_CLASS_UPLOAD)
    return hs_uplink_wait_ms (uplink, HS_EGRESS_BULK, now)
           > objective_ms * UPLOAD_WAIT_PERCENT / 100;
  return priority >= HS_LOW_PRIORITY_MIN
         && hs_uplink_wait_ms (uplink, HS_EGRESS_SHORT, now)
                > objective_ms * LOW_PRIORITY_WAIT_PERCENT / 100;
}

bool
hs_uplink_take_query_tokens (struct hs_uplink *uplink, size_t len,
                             bool is_narrow, uint64_t now)
{
  double limit = is_narrow ? -QUERY_CREDIT_MAX : 0;

  advance (uplink, now);
  if (uplink->bytes_per_ms <= 0)
    return true;
  if (uplink->query_tokens <= limit)
    return false;
  uplink->query_tokens -= (double)len;
  return true;
}

/* Private definitions.  */

/* Drains the virtual queue and refills the query tokens for the time since
   the last call.  */
static void
advance (struct hs_uplink *uplink, uint64_t now)
{
  double ms = now > uplink->last_advanced_at
                  ? (double)(now - uplink->last_advanced_at)
                  : 0;

  if (now > uplink->last_advanced_at)
    uplink->last_advanced_at = now;
  uplink->received_bytes -= ms * uplink->bytes_per_ms;
  if (uplink->received_bytes < 0)
    uplink->received_bytes = 0;
  uplink->query_tokens += ms * uplink->bytes_per_ms * QUERY_PERCENT
                          / USABLE_PERCENT / QUERY_SIZE;
  if (uplink->query_tokens > QUERY_TOKENS_MAX)
    uplink->query_tokens = QUERY_TOKENS_MAX;
}
