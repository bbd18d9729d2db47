/* overload.c -- refuses new flows when all upstreams of a service are busy.

   When the load exceeds the capacity of all upstreams, a request that would be
   answered too late and delay others is refused at once, before it runs.  A
   request of higher priority may join a longer queue.  Nothing is refused
   while, by the load reports, an upstream has a free slot.  */

#include "hibiscusspan.h"

/* Types.  */

/* A new request may wait for a slot for this share of the time that its
   latency objective leaves after the work itself.  */
#define HIGH_PRIORITY_WAIT_PERCENT 60
#define LOW_PRIORITY_WAIT_PERCENT 25
#define LOW_PRIORITY_MIN 2 /* Priorities from this number on are low.  */

/* Public definitions.  */

bool
hs_agent_pool_is_overloaded (const struct hs_agent_pool *pool,
                             uint64_t service_id, uint32_t slo_ms,
                             uint32_t priority, uint64_t now)
{
  const struct hs_pool_agent *best
      = hs_agent_pool_least_busy (pool, service_id, now);
  uint64_t percent = priority < LOW_PRIORITY_MIN ? HIGH_PRIORITY_WAIT_PERCENT
                                                 : LOW_PRIORITY_WAIT_PERCENT;
  uint64_t slo_us = (uint64_t)slo_ms * 1000;
  uint64_t work_us = best != NULL ? best->report.mean_work_us : 0;
  uint64_t slack_us = slo_us > work_us ? slo_us - work_us : 0;

  return best != NULL && slo_ms > 0
         && hs_pool_agent_wait_us (best) > slack_us * percent / 100;
}
