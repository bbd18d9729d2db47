/* overload.c -- refuses new flows when the upstreams of a service are busy.

   When the load exceeds the capacity of all upstreams, a request that would be
   answered too late and delay others is refused at once, before it runs.  A
   request of higher priority may join a longer queue.  Nothing is refused
   while, by the load reports, an upstream has a free slot.

   An entry refuses by the load reports that it has; an agent refuses by what
   its upstream really has in progress, since many entries may have placed
   flows on it by the same report.  */

#include "hibiscusspan.h"

/* Types.  */

/* A new request may wait for a slot for this share of the time that its
   latency objective leaves after the work itself.  */
#define HIGH_PRIORITY_WAIT_PERCENT 60
#define LOW_PRIORITY_WAIT_PERCENT 25

/* Time after its first SYN by which a caller must be answered: it gives up
   after 1,400 ms, and the rest covers the way of the answer.  */
#define SYN_ANSWER_MS 1250

/* Private functions.  */

static uint64_t wait_max_us (uint32_t slo_ms, uint32_t priority,
                             uint32_t mean_work_us);

/* Public definitions.  */

/* The queued requests are spread evenly over all slots.  */
uint64_t
hs_overload_wait_us (uint64_t requests, uint32_t slots, uint32_t mean_work_us)
{
  uint64_t known_slots = slots != 0 ? slots : HS_SLOTS_DEFAULT;

  return requests > known_slots
             ? mean_work_us * (requests - known_slots) / known_slots
             : 0;
}

uint32_t
hs_overload_wait_max_ms (uint32_t slo_ms, uint32_t priority,
                         uint32_t mean_work_us)
{
  uint32_t wait_ms
      = (uint32_t)(wait_max_us (slo_ms, priority, mean_work_us) / 1000);

  if (slo_ms == 0)
    return 0;
  return wait_ms > 0 ? wait_ms : 1;
}

uint32_t
hs_overload_hold_max_ms (uint32_t slo_ms, uint32_t timeout_ms,
                         uint64_t waited_ms)
{
  uint64_t limit_ms = timeout_ms < SYN_ANSWER_MS ? timeout_ms : SYN_ANSWER_MS;

  if (slo_ms == 0 || timeout_ms <= slo_ms || limit_ms <= waited_ms)
    return 0;
  return (uint32_t)(limit_ms - waited_ms);
}

bool
hs_agent_pool_is_overloaded (const struct hs_agent_pool *pool,
                             const struct hs_flow_demand *demand,
                             uint32_t slo_ms, uint32_t priority, uint64_t now)
{
  const struct hs_pool_agent *best
      = hs_agent_pool_least_busy (pool, demand, now);

  return best != NULL && slo_ms > 0
         && hs_pool_agent_wait_us (best)
                > wait_max_us (slo_ms, priority, best->report.mean_work_us);
}

/* Private definitions.  */

static uint64_t
wait_max_us (uint32_t slo_ms, uint32_t priority, uint32_t mean_work_us)
{
  uint64_t percent = priority < HS_LOW_PRIORITY_MIN
                         ? HIGH_PRIORITY_WAIT_PERCENT
                         : LOW_PRIORITY_WAIT_PERCENT;
  uint64_t slo_us = (uint64_t)slo_ms * 1000;
  uint64_t slack_us = slo_us > mean_work_us ? slo_us - mean_work_us : 0;

  return slack_us * percent / 100;
}
