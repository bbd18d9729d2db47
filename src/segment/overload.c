/* overload.c -- when a new flow is refused.

   The load answered here is one beyond what all upstreams of a service can
   do.  A request that would only be answered late, and make others late, is
   refused at once, when it has not run.  The more urgent one may join the
   longer queue.  While an upstream has a free slot, nothing is refused.  */

#include "hibiscusspan.h"

/* Types.  */

/* Share of the time that a latency objective leaves beside the work which a
   new request may wait for a slot, and the priority from which on the lower
   share holds.  */
#define WAIT_HIGH_PERCENT 60
#define WAIT_LOW_PERCENT 25
#define PRIORITY_LOW 2

/* Public definitions.  */

bool
hs_agent_pool_is_overloaded (const struct hs_agent_pool *fleet,
                             uint64_t service, uint32_t slo_ms,
                             uint32_t priority, uint64_t now)
{
  const struct hs_pool_agent *best
      = hs_agent_pool_least_busy (fleet, service, now);
  uint64_t percent
      = priority < PRIORITY_LOW ? WAIT_HIGH_PERCENT : WAIT_LOW_PERCENT;
  uint64_t slo_us = (uint64_t)slo_ms * 1000;
  uint64_t work_us = best != NULL ? best->report.mean_work_us : 0;
  uint64_t left_us = slo_us > work_us ? slo_us - work_us : 0;

  return best != NULL && slo_ms > 0
         && hs_pool_agent_wait_us (best) > left_us * percent / 100;
}
