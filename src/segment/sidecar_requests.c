/* sidecar_requests.c -- the requests of a sidecar's upstream: which are in
   progress or about to come, the slots that they occupy, the work that is
   left, and what is learned from them.  */

#include "segment/sidecar_state.h"

/* Types.  */

/* Time after a SYN within which its request counts as about to come: between
   these, by the handshakes seen.  It takes a round trip to the caller, and
   longer if the entry has it queued.  */
#define SYN_PENDING_MIN_MS 20
#define SYN_PENDING_MS 100

/* A request that finds all slots busy and is answered this soon has been
   rejected by the upstream, whose queue is full.  */
#define REJECTION_MS 2

/* Time for which a request counts as in progress without an answer, and the
   same for one that may be a copy of an answered request: its flow was open
   before this agent started.  */
#define REQUEST_TIMEOUT_MS 10000
#define UNCERTAIN_REQUEST_TIMEOUT_MS 300

/* Interval at which the number of requests that the upstream is known to take
   is raised by one again.  */
#define CAPACITY_PROBE_MS 500

/* Weight of the latest request in the moving average of the time that a
   request occupies a slot.  */
#define WORK_EWMA_PERCENT 5

/* Slots of an upstream up to which its agent estimates when each of them gets
   free.  At an upstream with more, one long request matters little.  */
#define SLOTS_ESTIMATED_MAX 16

/* A request comes within this many times the mean after its SYN, or its caller
   has given up or opened the flow at another upstream.  */
#define HANDSHAKE_MAX_FACTOR 3

/* Weight of the latest handshake in the mean, and the mean before the first.
 */
#define HANDSHAKE_EWMA 0.1
#define HANDSHAKE_DEFAULT_MS 10

/* Expected time until each slot of the upstream is free, us.  */
struct slot_times
{
  uint32_t len;
  uint64_t until_free_us[SLOTS_ESTIMATED_MAX];
};

/* Private functions.  */

static void expire_pending_syns (struct hs_sidecar *sidecar, uint64_t now);
static void learn_handshake (struct hs_sidecar *sidecar, uint64_t ms);
static void learn_abandoned (struct hs_sidecar *sidecar, bool abandoned);
static uint64_t pending_timeout_ms (const struct hs_sidecar *sidecar);
static uint64_t expected_requests (const struct hs_sidecar *sidecar);
static bool is_rejection (const struct hs_sidecar *sidecar,
                          const struct hs_sidecar_flow *flow, uint64_t now);
static void lower_capacity (struct hs_sidecar *sidecar,
                            const struct hs_sidecar_flow *flow, uint64_t now);
static void update_mean_work (struct hs_sidecar *sidecar,
                              const struct hs_sidecar_flow *flow,
                              uint64_t now);
static void add_cost_sample (struct hs_sidecar *sidecar,
                             const struct hs_sidecar_flow *flow, uint64_t now);
static uint64_t work_us_by_share (const struct hs_sidecar *sidecar,
                                  const struct hs_sidecar_flow *flow,
                                  uint64_t now);
static uint64_t *first_free (struct slot_times *times);
static void add_to_first_free (struct slot_times *times, uint64_t work_us);
static uint32_t expected_work_us (const struct hs_sidecar *sidecar,
                                  uint64_t now);
static uint32_t known_work_us (const struct hs_sidecar *sidecar);
static uint64_t request_work_us (const struct hs_sidecar *sidecar,
                                 const struct hs_sidecar_flow *flow,
                                 uint64_t now);
static void add_pending_work (struct slot_times *times,
                              const struct hs_sidecar *sidecar, uint64_t now);

/* Public definitions.  */

bool
hs_sidecar_has_idle_slot (struct hs_sidecar *sidecar, uint64_t now)
{
  expire_pending_syns (sidecar, now);
  return expected_requests (sidecar) <= hs_sidecar_slots (sidecar);
}

uint32_t
hs_sidecar_slots (const struct hs_sidecar *sidecar)
{
  uint32_t slots = sidecar->last_heartbeat.slots;

  return slots != 0 ? slots : HS_SLOTS_DEFAULT;
}

uint32_t
hs_sidecar_learned_work_us (const struct hs_sidecar *sidecar)
{
  static const struct hs_addr any_route;

  return sidecar->mean_work_us != 0
             ? hs_cost_model_expected_us (sidecar->costs, &any_route)
             : 0;
}

bool
hs_sidecar_would_wait_too_long (struct hs_sidecar *sidecar,
                                uint32_t wait_max_ms, uint64_t now)
{
  uint32_t work_us = expected_work_us (sidecar, now);
  uint64_t requests;

  expire_pending_syns (sidecar, now);
  requests = expected_requests (sidecar) + 1;
  if (wait_max_ms == 0)
    return false;
  return (sidecar->capacity != 0 && requests > sidecar->capacity)
         || hs_overload_wait_us (requests, sidecar->last_heartbeat.slots,
                                 work_us)
                > (uint64_t)wait_max_ms * 1000;
}

void
hs_sidecar_set_syn_pending (struct hs_sidecar *sidecar,
                            struct hs_sidecar_flow *flow, bool pending,
                            uint64_t now)
{
  if (flow->is_pending)
    {
      hs_list_remove (&flow->pending_link);
      sidecar->pending_syns_len--;
    }
  flow->is_pending = pending;
  if (!pending)
    return;
  flow->syn_at = now;
  hs_list_append (&sidecar->pending_syns, &flow->pending_link);
  sidecar->pending_syns_len++;
}

void
hs_sidecar_begin_request (struct hs_sidecar *sidecar,
                          struct hs_sidecar_flow *flow,
                          const struct hs_segment *segment, uint64_t now)
{
  uint32_t end = segment->seq + segment->payload_len;
  bool is_copy
      = flow->has_caller_end && (int32_t)(end - flow->caller_end) <= 0;
  bool is_uncertain = flow->is_recovered && !flow->has_caller_end;

  if (is_copy)
    return;
  flow->has_caller_end = true;
  flow->caller_end = end;
  if (flow->request_active)
    return;
  if (flow->is_pending)
    {
      learn_handshake (sidecar, now - flow->syn_at);
      learn_abandoned (sidecar, false);
    }
  hs_sidecar_set_syn_pending (sidecar, flow, false, now);
  hs_sidecar_set_request_active (sidecar, flow, true);
  flow->is_uncertain_request = is_uncertain;
  flow->request_started_at = now;
  flow->requests_at_start = sidecar->requests_in_progress;
  hs_sidecar_assign_slots (sidecar, now);
}

void
hs_sidecar_end_request (struct hs_sidecar *sidecar,
                        struct hs_sidecar_flow *flow, uint64_t now)
{
  if (!flow->request_active)
    return;
  if (is_rejection (sidecar, flow, now))
    lower_capacity (sidecar, flow, now);
  else if (!flow->is_uncertain_request)
    {
      update_mean_work (sidecar, flow, now);
      add_cost_sample (sidecar, flow, now);
    }
  hs_sidecar_set_request_active (sidecar, flow, false);
}

void
hs_sidecar_set_request_active (struct hs_sidecar *sidecar,
                               struct hs_sidecar_flow *flow, bool active)
{
  if (flow->request_active == active)
    return;
  flow->request_active = active;
  sidecar->requests_in_progress += active ? 1 : (uint32_t)-1;
  if (active)
    {
      hs_list_append (&sidecar->active_requests, &flow->request_link);
      hs_list_append (&sidecar->waiting_requests, &flow->wait_link);
      return;
    }
  hs_list_remove (&flow->request_link);
  if (flow->has_slot)
    sidecar->slots_taken--;
  else
    hs_list_remove (&flow->wait_link);
  flow->has_slot = false;
}

void
hs_sidecar_assign_slots (struct hs_sidecar *sidecar, uint64_t now)
{
  while (sidecar->slots_taken < hs_sidecar_slots (sidecar)
         && !hs_list_is_empty (&sidecar->waiting_requests))
    {
      struct hs_sidecar_flow *flow
          = HS_LIST_ENTRY (hs_list_pop (&sidecar->waiting_requests),
                           struct hs_sidecar_flow, wait_link);

      flow->has_slot = true;
      flow->slot_since = now;
      sidecar->slots_taken++;
    }
}

void
hs_sidecar_expire_requests (struct hs_sidecar *sidecar, uint64_t now)
{
  HS_LIST_FOREACH (link, &sidecar->active_requests)
    {
      struct hs_sidecar_flow *flow
          = HS_LIST_ENTRY (link, struct hs_sidecar_flow, request_link);
      uint64_t timeout_ms = flow->is_uncertain_request
                                ? UNCERTAIN_REQUEST_TIMEOUT_MS
                                : REQUEST_TIMEOUT_MS;

      if (now - flow->request_started_at > timeout_ms)
        hs_sidecar_set_request_active (sidecar, flow, false);
    }
  hs_sidecar_assign_slots (sidecar, now);
}

/* The rejection may have had another cause, and the upstream may take more by
   now: it is tried out, one request more at a time.  */
void
hs_sidecar_raise_capacity (struct hs_sidecar *sidecar, uint64_t now)
{
  if (sidecar->capacity == 0
      || now - sidecar->capacity_changed_at < CAPACITY_PROBE_MS)
    return;
  sidecar->capacity++;
  sidecar->capacity_changed_at = now;
}

/* Returns the expected time in slots that the upstream still needs for the
   requests in progress and those about to come.  A slot that one long request
   keeps busy while others get free delays a new request only by what it could
   take over from them: it counts no longer than until a new request would have
   ended in another slot.  */
uint32_t
hs_sidecar_work_left_us (const struct hs_sidecar *sidecar, uint64_t now)
{
  uint32_t slots = hs_sidecar_slots (sidecar);
  struct slot_times times
      = { .len = slots <= SLOTS_ESTIMATED_MAX ? slots : 1 };
  uint64_t limit_us, sum_us = 0;

  HS_LIST_FOREACH (link, &sidecar->active_requests)
    add_to_first_free (
        &times,
        request_work_us (
            sidecar,
            HS_LIST_ENTRY (link, struct hs_sidecar_flow, request_link), now));
  add_pending_work (&times, sidecar, now);
  limit_us = *first_free (&times) + known_work_us (sidecar);
  for (uint32_t i = 0; i < times.len; i++)
    sum_us += MIN (times.until_free_us[i], limit_us);
  return (uint32_t)MIN (sum_us, UINT32_MAX);
}

/* Private definitions.  */

static void
expire_pending_syns (struct hs_sidecar *sidecar, uint64_t now)
{
  HS_LIST_FOREACH (link, &sidecar->pending_syns)
    {
      struct hs_sidecar_flow *flow
          = HS_LIST_ENTRY (link, struct hs_sidecar_flow, pending_link);

      if (now - flow->syn_at <= pending_timeout_ms (sidecar))
        break;
      hs_sidecar_set_syn_pending (sidecar, flow, false, now);
      learn_abandoned (sidecar, true);
    }
}

static void
learn_handshake (struct hs_sidecar *sidecar, uint64_t ms)
{
  if (sidecar->handshake_ms <= 0)
    sidecar->handshake_ms = HANDSHAKE_DEFAULT_MS;
  sidecar->handshake_ms
      += HANDSHAKE_EWMA * ((double)ms - sidecar->handshake_ms);
}

static void
learn_abandoned (struct hs_sidecar *sidecar, bool abandoned)
{
  sidecar->abandoned_share
      += HANDSHAKE_EWMA * ((abandoned ? 1.0 : 0.0) - sidecar->abandoned_share);
}

/* Returns the time after a SYN within which its request counts as about to
   come.  */
static uint64_t
pending_timeout_ms (const struct hs_sidecar *sidecar)
{
  double mean_ms = sidecar->handshake_ms > 0 ? sidecar->handshake_ms
                                             : HANDSHAKE_DEFAULT_MS;
  uint64_t timeout_ms = (uint64_t)(HANDSHAKE_MAX_FACTOR * mean_ms);

  return CLAMP (timeout_ms, SYN_PENDING_MIN_MS, SYN_PENDING_MS);
}

/* Returns the requests in progress and those that are expected of the SYNs
   whose request has not come yet.  After an outage, many of these callers have
   given up.  */
static uint64_t
expected_requests (const struct hs_sidecar *sidecar)
{
  double about_to_come
      = sidecar->pending_syns_len * (1 - sidecar->abandoned_share);

  return sidecar->requests_in_progress + (uint64_t)(about_to_come + 0.5);
}

/* Returns whether the upstream has answered the request of FLOW at NOW without
   running it, since its queue is full.  */
static bool
is_rejection (const struct hs_sidecar *sidecar,
              const struct hs_sidecar_flow *flow, uint64_t now)
{
  return sidecar->last_heartbeat.slots != 0 && !flow->is_uncertain_request
         && flow->requests_at_start > sidecar->last_heartbeat.slots + 1
         && now - flow->request_started_at <= REJECTION_MS;
}

static void
lower_capacity (struct hs_sidecar *sidecar, const struct hs_sidecar_flow *flow,
                uint64_t now)
{
  uint32_t taken = flow->requests_at_start - 1;

  if (sidecar->capacity == 0 || taken < sidecar->capacity)
    sidecar->capacity = taken;
  sidecar->capacity_changed_at = now;
}

/* Updates the moving average.  */
static void
update_mean_work (struct hs_sidecar *sidecar,
                  const struct hs_sidecar_flow *flow, uint64_t now)
{
  uint64_t work_us = work_us_by_share (sidecar, flow, now);

  if (sidecar->mean_work_us == 0)
    sidecar->mean_work_us = (uint32_t)work_us;
  sidecar->mean_work_us
      = (uint32_t)(((100 - WORK_EWMA_PERCENT) * (uint64_t)sidecar->mean_work_us
                    + WORK_EWMA_PERCENT * work_us)
                   / 100);
}

/* A request that is answered while it counts as waiting has shown that the
   upstream does not serve its queue in order, or has more slots than is
   known.  */
static void
add_cost_sample (struct hs_sidecar *sidecar,
                 const struct hs_sidecar_flow *flow, uint64_t now)
{
  uint64_t work_us = flow->has_slot ? (now - flow->slot_since) * 1000
                                    : work_us_by_share (sidecar, flow, now);

  hs_cost_model_add_sample (sidecar->costs, &flow->base.key.address, work_us);
}

/* Returns the time that the request of FLOW has had of a slot.  A request that
   started when more requests than slots were in progress had only a share of a
   slot, so its duration is scaled by slots / requests.  */
static uint64_t
work_us_by_share (const struct hs_sidecar *sidecar,
                  const struct hs_sidecar_flow *flow, uint64_t now)
{
  uint32_t slots = hs_sidecar_slots (sidecar);
  uint32_t requests
      = flow->requests_at_start > slots ? flow->requests_at_start : slots;

  return (now - flow->request_started_at) * 1000 * slots / requests;
}

static uint64_t *
first_free (struct slot_times *times)
{
  uint64_t *first = &times->until_free_us[0];

  for (uint32_t i = 1; i < times->len; i++)
    if (times->until_free_us[i] < *first)
      first = &times->until_free_us[i];
  return first;
}

static void
add_to_first_free (struct slot_times *times, uint64_t work_us)
{
  *first_free (times) += work_us;
}

/* Returns the expected time of a request in a slot, in microseconds.  */
static uint32_t
expected_work_us (const struct hs_sidecar *sidecar, uint64_t now)
{
  uint32_t work_us = known_work_us (sidecar);

  return hs_sidecar_cold_ms (sidecar, now) > 0
             ? work_us * HS_COLD_WORK_PERCENT / 100
             : work_us;
}

static uint32_t
known_work_us (const struct hs_sidecar *sidecar)
{
  return sidecar->mean_work_us != 0 ? sidecar->mean_work_us
                                    : HS_WORK_DEFAULT_US;
}

static uint64_t
request_work_us (const struct hs_sidecar *sidecar,
                 const struct hs_sidecar_flow *flow, uint64_t now)
{
  const struct hs_addr *address = &flow->base.key.address;

  if (!flow->has_slot)
    return hs_cost_model_expected_us (sidecar->costs, address);
  return hs_cost_model_remaining_us (
      sidecar->costs, address,
      now > flow->slot_since ? (now - flow->slot_since) * 1000 : 0);
}

static void
add_pending_work (struct slot_times *times, const struct hs_sidecar *sidecar,
                  uint64_t now)
{
  HS_LIST_FOREACH (link, &sidecar->pending_syns)
    {
      const struct hs_sidecar_flow *flow
          = HS_LIST_ENTRY (link, struct hs_sidecar_flow, pending_link);

      if (now <= flow->syn_at + pending_timeout_ms (sidecar))
        add_to_first_free (
            times, hs_cost_model_expected_us (sidecar->costs,
                                              &flow->base.key.address));
    }
}
