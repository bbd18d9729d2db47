/* agent_pool.c -- placement of new flows on agents by load.

   The load of an agent is the time that its upstream is expected to need for a
   new flow and all that is before it, per slot: the work left by the agent's
   latest report, and the mean work of the agent for each flow that this entry
   has placed on it since that report.  An upstream of twice the speed thus
   gets twice the flows.  The unit of load is the mean work of the service, so
   that among upstreams of the same speed the load is the number of requests
   per slot.

   The load is a mix of short flows of one request each and of long flows that
   send a request now and then.  An open flow counts as the share of a slot
   that it keeps busy on average.  Traffic between availability zones is
   expensive: an agent of another zone is chosen only if its load is lower by a
   margin.

   An agent limits the new flows of its cold upstream itself.  By the room that
   it reports, an entry avoids most of the SYNs that it would refuse.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Slots that an open flow keeps busy on average: as documented, a long flow
   sends a request of 50 ms every 1.7 s.  */
#define OPEN_FLOW_SLOTS 0.03

/* Added to the load of an agent in another availability zone, as a share of
   its slots.  */
#define OTHER_ZONE_PENALTY 0.35

/* Age up to which a load report is preferred to older ones.  */
#define FRESH_REPORT_MS 300

/* A mean work below this share of the service's is not a sign of speed: most
   likely the upstream answers with errors, or the report is wrong.  Such an
   agent counts with the service's mean.  */
#define WORK_PLAUSIBLE_SHARE 0.33

/* Bit lengths of bounded_work_us.  */
#define OCTAVES 26

/* The agents of a service whose mean work has the same bit length.  */
struct octave
{
  size_t agents;
  uint64_t sum_us; /* Of their mean work.  */
};

/* A service with an agent in the pool.  Its mean work is that of the octave of
   the median agent: up to half of the reports may be absurdly high or low.  */
struct service
{
  struct hs_table_node node; /* Node in the table by service id.  */
  uint64_t service_id;
  size_t agents;  /* With a report of this service.  */
  size_t learned; /* Those of them that report a mean work.  */
  struct octave octaves[OCTAVES];
};

struct hs_agent_pool
{
  char zone[HS_NAME_SIZE];
  struct hs_evacuations evacuations;
  const struct hs_region_map *region_map; /* NULL: no regions are known.  */
  struct hs_table *by_id;
  struct hs_table *services;
  struct hs_list agents; /* Longest without a new flow first, so that agents of
                            equal load take turns.  */
};

/* Private functions.  */

static bool is_ready (const struct hs_pool_agent *agent, uint64_t now);
static bool may_own_flows (const struct hs_pool_agent *agent, uint64_t now);
static bool has_room (const struct hs_pool_agent *agent);
static bool has_heard_upstream (const struct hs_pool_agent *agent);
static bool is_silent (const struct hs_pool_agent *agent, uint64_t timeout_ms,
                       uint64_t now);
static void remove_agent (struct hs_agent_pool *pool,
                          struct hs_pool_agent *agent);
static uint64_t region_of (const struct hs_agent_pool *pool, const char *zone);
static struct hs_pool_agent *
find_lowest_load (struct hs_agent_pool *pool,
                  const struct hs_flow_demand *demand, uint64_t age_max_ms,
                  uint64_t now);
static const struct hs_pool_agent *
find_least_busy (const struct hs_agent_pool *pool,
                 const struct hs_flow_demand *demand, uint64_t age_max_ms,
                 uint64_t now);

static bool match_id (const struct hs_table_node *node, const void *key);
static struct hs_pool_agent *find_agent (const struct hs_agent_pool *pool,
                                         uint64_t agent_id);
static bool is_later (const struct hs_load_report *report,
                      const struct hs_load_report *previous);
static bool is_excluded (uint64_t agent_id,
                         const struct hs_flow_demand *demand);
static bool match_service (const struct hs_table_node *node, const void *key);
static struct service *find_service (const struct hs_agent_pool *pool,
                                     uint64_t service_id);
static void count_work (struct hs_agent_pool *pool,
                        const struct hs_load_report *report);
static void uncount_work (struct hs_agent_pool *pool,
                          const struct hs_load_report *report);
static struct octave *octave_of (struct service *service,
                                 const struct hs_load_report *report);
static double service_work_us (const struct hs_agent_pool *pool,
                               uint64_t service_id);
static uint32_t bounded_work_us (uint32_t work_us);
static bool is_implausible (const struct hs_load_report *report,
                            double service_us);
static double mean_work_of (const struct hs_load_report *report,
                            double service_us);
static double load_of (const struct hs_pool_agent *agent, double service_us);
static double work_left_of (const struct hs_load_report *report,
                            double service_us);

/* Public definitions.  */

const char *
hs_agent_state_name (enum hs_agent_state state)
{
  static const char *const names[] = { [HS_AGENT_READY] = "ready",
                                       [HS_AGENT_DRAINING] = "leaving",
                                       [HS_AGENT_UPSTREAM_SILENT] = "absent" };

  return names[state];
}

struct hs_agent_pool *
hs_agent_pool_create (void *parent, const char *zone)
{
  struct hs_agent_pool *pool = talloc_zero (parent, struct hs_agent_pool);

  g_strlcpy (pool->zone, zone, sizeof pool->zone);
  pool->by_id = hs_table_create (pool);
  pool->services = hs_table_create (pool);
  hs_list_init (&pool->agents);
  return pool;
}

void
hs_agent_pool_destroy (struct hs_agent_pool *pool)
{
  talloc_free (pool);
}

void
hs_agent_pool_set_region_map (struct hs_agent_pool *pool,
                              const struct hs_region_map *map)
{
  pool->region_map = map;
}

bool
hs_agent_pool_update (struct hs_agent_pool *pool,
                      const struct hs_load_report *report, uint64_t now)
{
  struct hs_pool_agent *agent = find_agent (pool, report->agent_id);
  bool changed;

  if (agent == NULL)
    {
      agent = talloc_zero (pool, struct hs_pool_agent);
      agent->report.state = HS_AGENT_UPSTREAM_SILENT;
      hs_table_insert (pool->by_id, &agent->node, report->agent_id);
      hs_list_append (&pool->agents, &agent->lru_link);
    }
  else if (!is_later (report, &agent->report))
    return false;
  else
    uncount_work (pool, &agent->report);
  count_work (pool, report);
  changed = report->state != agent->report.state
            || report->incarnation != agent->report.incarnation;
  agent->report = *report;
  agent->last_heard_at = now;
  agent->unanswered_since = 0;
  agent->placed_flows = 0;
  agent->is_same_zone = strcmp (report->zone, pool->zone) == 0;
  agent->is_evacuated
      = hs_evacuations_contain (&pool->evacuations, report->zone);
  agent->region_id = region_of (pool, report->zone);
  return changed;
}

void
hs_agent_pool_set_evacuations (struct hs_agent_pool *pool,
                               const struct hs_evacuations *evacuations)
{
  pool->evacuations = *evacuations;
  HS_LIST_FOREACH (link, &pool->agents)
    {
      struct hs_pool_agent *agent
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      agent->is_evacuated
          = hs_evacuations_contain (evacuations, agent->report.zone);
    }
}

bool
hs_agent_pool_is_evacuated (const struct hs_agent_pool *pool,
                            const struct hs_flow_demand *demand, uint64_t now)
{
  bool found = false;

  HS_LIST_FOREACH (link, &pool->agents)
    {
      const struct hs_pool_agent *agent
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (agent->report.service_id != demand->service_id
          || !is_ready (agent, now)
          || !hs_region_set_allows (demand->regions, agent->region_id))
        continue;
      if (!agent->is_evacuated)
        return false;
      found = true;
    }
  return found;
}

void
hs_agent_pool_mark_queried (struct hs_agent_pool *pool, uint64_t agent_id,
                            uint64_t now)
{
  struct hs_pool_agent *agent = find_agent (pool, agent_id);

  if (agent != NULL && agent->unanswered_since == 0)
    agent->unanswered_since = now;
}

void
hs_agent_pool_remove (struct hs_agent_pool *pool, uint64_t agent_id)
{
  struct hs_pool_agent *agent = find_agent (pool, agent_id);

  if (agent != NULL)
    remove_agent (pool, agent);
}

void
hs_agent_pool_set_state (struct hs_agent_pool *pool, uint64_t agent_id,
                         enum hs_agent_state state)
{
  struct hs_pool_agent *agent = find_agent (pool, agent_id);

  if (agent != NULL)
    agent->report.state = state;
}

const struct hs_pool_agent *
hs_agent_pool_find (const struct hs_agent_pool *pool, uint64_t agent_id)
{
  return find_agent (pool, agent_id);
}

bool
hs_pool_agent_accepts_flows (const struct hs_pool_agent *agent, uint64_t now)
{
  return is_ready (agent, now) && !agent->is_evacuated;
}

const struct hs_pool_agent *
hs_agent_pool_place_flow (struct hs_agent_pool *pool,
                          const struct hs_flow_demand *demand, uint64_t now)
{
  struct hs_pool_agent *best
      = find_lowest_load (pool, demand, FRESH_REPORT_MS, now);

  if (best == NULL)
    best = find_lowest_load (pool, demand, UINT64_MAX, now);
  if (best == NULL)
    return NULL;
  best->placed_flows++;
  hs_list_remove (&best->lru_link);
  hs_list_append (&pool->agents, &best->lru_link);
  return best;
}

bool
hs_agent_pool_lacks_region (const struct hs_agent_pool *pool,
                            const struct hs_flow_demand *demand, uint64_t now)
{
  bool lacks_region = false;

  HS_LIST_FOREACH (link, &pool->agents)
    {
      const struct hs_pool_agent *agent
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (agent->report.service_id != demand->service_id
          || !hs_pool_agent_accepts_flows (agent, now))
        continue;
      if (hs_region_set_allows (demand->regions, agent->region_id))
        return false;
      lacks_region = true;
    }
  return lacks_region;
}

bool
hs_agent_pool_lacks_room (const struct hs_agent_pool *pool,
                          const struct hs_flow_demand *demand, uint64_t now)
{
  HS_LIST_FOREACH (link, &pool->agents)
    {
      const struct hs_pool_agent *agent
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (agent->report.service_id == demand->service_id && !has_room (agent)
          && hs_pool_agent_accepts_flows (agent, now)
          && hs_region_set_allows (demand->regions, agent->region_id))
        return true;
    }
  return false;
}

bool
hs_agent_pool_may_hold (const struct hs_agent_pool *pool,
                        const struct hs_flow_demand *demand, uint64_t now)
{
  HS_LIST_FOREACH (link, &pool->agents)
    {
      const struct hs_pool_agent *agent
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (agent->report.service_id == demand->service_id
          && agent->report.hold_room > agent->placed_flows
          && hs_pool_agent_accepts_flows (agent, now)
          && hs_region_set_allows (demand->regions, agent->region_id))
        return true;
    }
  return false;
}

uint64_t
hs_pool_agent_wait_us (const struct hs_pool_agent *agent)
{
  const struct hs_load_report *report = &agent->report;
  uint64_t slots = report->slots != 0 ? report->slots : HS_SLOTS_DEFAULT;
  uint64_t requests
      = (uint64_t)report->requests_in_progress + agent->placed_flows + 1;
  uint64_t work_us, free_us;

  if (report->work_left_us == 0 || report->mean_work_us == 0)
    return hs_overload_wait_us (requests, report->slots, report->mean_work_us);
  if (requests <= slots)
    return 0;
  work_us = report->work_left_us
            + (uint64_t)report->mean_work_us * (agent->placed_flows + 1);
  free_us = slots * report->mean_work_us;
  return work_us > free_us ? (work_us - free_us) / slots : 0;
}

const struct hs_pool_agent *
hs_agent_pool_least_busy (const struct hs_agent_pool *pool,
                          const struct hs_flow_demand *demand, uint64_t now)
{
  const struct hs_pool_agent *best
      = find_least_busy (pool, demand, FRESH_REPORT_MS, now);

  return best != NULL ? best : find_least_busy (pool, demand, UINT64_MAX, now);
}

size_t
hs_agent_pool_possible_owners (const struct hs_agent_pool *pool,
                               uint64_t service_id,
                               const struct hs_pool_agent **agents, size_t max,
                               uint64_t now)
{
  size_t len = 0;

  HS_LIST_FOREACH (link, &pool->agents)
    {
      const struct hs_pool_agent *agent
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (len < max && may_own_flows (agent, now)
          && (service_id == 0 || agent->report.service_id == service_id))
        agents[len++] = agent;
    }
  return len;
}

bool
hs_agent_pool_all_started_since (const struct hs_agent_pool *pool,
                                 uint64_t wall_ms)
{
  HS_LIST_FOREACH (link, &pool->agents)
    if (HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link)
            ->report.incarnation
        < wall_ms)
      return false;
  return !hs_list_is_empty (&pool->agents);
}

void
hs_agent_pool_expire (struct hs_agent_pool *pool, uint64_t now)
{
  HS_LIST_FOREACH (link, &pool->agents)
    {
      struct hs_pool_agent *agent
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (is_silent (agent, HS_POOL_AGENT_EXPIRY_MS, now))
        remove_agent (pool, agent);
    }
}

/* Private definitions.  */

static bool
is_ready (const struct hs_pool_agent *agent, uint64_t now)
{
  return agent->report.state == HS_AGENT_READY
         && !is_silent (agent, HS_ANSWER_TIMEOUT_MS, now);
}

/* An agent that is silent and whose upstream fell silent before has most
   likely been stopped together with its upstream, and owns no flows any more.
   One that has not heard its upstream yet has just started, and may be
   restarted.  */
static bool
may_own_flows (const struct hs_pool_agent *agent, uint64_t now)
{
  return !agent->report.no_upstream
         && !(is_silent (agent, HS_REPORT_TIMEOUT_MS, now)
              && has_heard_upstream (agent)
              && agent->report.state == HS_AGENT_UPSTREAM_SILENT);
}

/* A warm upstream has no limit, whatever its agent reports.  */
static bool
has_room (const struct hs_pool_agent *agent)
{
  return agent->report.cold_ms == 0
         || agent->report.cold_room == HS_COLD_ROOM_UNLIMITED
         || agent->placed_flows < agent->report.cold_room;
}

/* The number of slots is known from the upstream's first heartbeat on.  */
static bool
has_heard_upstream (const struct hs_pool_agent *agent)
{
  return agent->report.slots != 0;
}

static bool
is_silent (const struct hs_pool_agent *agent, uint64_t timeout_ms,
           uint64_t now)
{
  return agent->unanswered_since != 0
         && now - agent->unanswered_since > timeout_ms;
}

static void
remove_agent (struct hs_agent_pool *pool, struct hs_pool_agent *agent)
{
  uncount_work (pool, &agent->report);
  hs_table_remove (pool->by_id, &agent->node);
  hs_list_remove (&agent->lru_link);
  talloc_free (agent);
}

/* Returns the id of the region of ZONE, or 0 if it is not known.  */
static uint64_t
region_of (const struct hs_agent_pool *pool, const char *zone)
{
  const char *region = pool->region_map != NULL
                           ? hs_region_map_find (pool->region_map, zone)
                           : NULL;

  return region != NULL ? hs_id_from_name (region) : 0;
}

/* Returns the agent with the lowest load that meets DEMAND, has room and has a
   report that is at most AGE_MAX_MS old, or NULL.  */
static struct hs_pool_agent *
find_lowest_load (struct hs_agent_pool *pool,
                  const struct hs_flow_demand *demand, uint64_t age_max_ms,
                  uint64_t now)
{
  struct hs_pool_agent *best = NULL;
  double best_load = 0;
  double service_us = service_work_us (pool, demand->service_id);

  HS_LIST_FOREACH (link, &pool->agents)
    {
      struct hs_pool_agent *agent
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);
      double load;

      if (agent->report.service_id != demand->service_id
          || now - agent->last_heard_at > age_max_ms
          || !hs_pool_agent_accepts_flows (agent, now) || !has_room (agent)
          || !hs_region_set_allows (demand->regions, agent->region_id)
          || is_excluded (agent->report.agent_id, demand))
        continue;
      load = load_of (agent, service_us);
      if (best != NULL && load >= best_load)
        continue;
      best = agent;
      best_load = load;
    }
  return best;
}

/* Returns the agent of the service in an allowed region with the shortest
   expected wait whose report is at most AGE_MAX_MS old, or NULL.  */
static const struct hs_pool_agent *
find_least_busy (const struct hs_agent_pool *pool,
                 const struct hs_flow_demand *demand, uint64_t age_max_ms,
                 uint64_t now)
{
  const struct hs_pool_agent *best = NULL;

  HS_LIST_FOREACH (link, &pool->agents)
    {
      const struct hs_pool_agent *agent
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (agent->report.service_id == demand->service_id
          && now - agent->last_heard_at <= age_max_ms
          && hs_pool_agent_accepts_flows (agent, now)
          && hs_region_set_allows (demand->regions, agent->region_id)
          && (best == NULL
              || hs_pool_agent_wait_us (agent) < hs_pool_agent_wait_us (best)))
        best = agent;
    }
  return best;
}

static bool
match_id (const struct hs_table_node *node, const void *key)
{
  const uint64_t *agent_id = key;

  return HS_LIST_ENTRY (node, struct hs_pool_agent, node)->report.agent_id
         == *agent_id;
}

static struct hs_pool_agent *
find_agent (const struct hs_agent_pool *pool, uint64_t agent_id)
{
  struct hs_table_node *node
      = hs_table_find (pool->by_id, agent_id, match_id, &agent_id);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_pool_agent, node)
                      : NULL;
}

/* Incarnations are wall-clock times, and a host's clock may have been set back
   before a restart: any other incarnation counts as the later one.  */
static bool
is_later (const struct hs_load_report *report,
          const struct hs_load_report *previous)
{
  return report->incarnation != previous->incarnation
         || report->seq > previous->seq;
}

static bool
is_excluded (uint64_t agent_id, const struct hs_flow_demand *demand)
{
  for (size_t i = 0; i < demand->excluded_len; i++)
    if (demand->excluded[i] == agent_id)
      return true;
  return false;
}

static bool
match_service (const struct hs_table_node *node, const void *key)
{
  const uint64_t *service_id = key;

  return HS_LIST_ENTRY (node, struct service, node)->service_id == *service_id;
}

static struct service *
find_service (const struct hs_agent_pool *pool, uint64_t service_id)
{
  struct hs_table_node *node
      = hs_table_find (pool->services, service_id, match_service, &service_id);

  return node != NULL ? HS_LIST_ENTRY (node, struct service, node) : NULL;
}

static void
count_work (struct hs_agent_pool *pool, const struct hs_load_report *report)
{
  struct service *service = find_service (pool, report->service_id);
  struct octave *octave;

  if (service == NULL)
    {
      service = talloc_zero (pool, struct service);
      service->service_id = report->service_id;
      hs_table_insert (pool->services, &service->node, report->service_id);
    }
  service->agents++;
  if (report->mean_work_us == 0)
    return;
  octave = octave_of (service, report);
  service->learned++;
  octave->agents++;
  octave->sum_us += bounded_work_us (report->mean_work_us);
}

/* Undoes count_work.  */
static void
uncount_work (struct hs_agent_pool *pool, const struct hs_load_report *report)
{
  struct service *service = find_service (pool, report->service_id);

  if (report->mean_work_us != 0)
    {
      struct octave *octave = octave_of (service, report);

      service->learned--;
      octave->agents--;
      octave->sum_us -= bounded_work_us (report->mean_work_us);
    }
  if (--service->agents > 0)
    return;
  hs_table_remove (pool->services, &service->node);
  talloc_free (service);
}

static struct octave *
octave_of (struct service *service, const struct hs_load_report *report)
{
  return &service->octaves[g_bit_storage (
      bounded_work_us (report->mean_work_us))];
}

/* Returns the mean work of a service.  If none of its agents has learned its
   mean, any value will do, as it is the unit of load.  */
static double
service_work_us (const struct hs_agent_pool *pool, uint64_t service_id)
{
  const struct service *service = find_service (pool, service_id);
  const struct octave *octave;
  size_t agents;

  if (service == NULL || service->learned == 0)
    return HS_WORK_DEFAULT_US;
  octave = service->octaves;
  agents = octave->agents;
  while (2 * agents <= service->learned)
    agents += (++octave)->agents;
  return (double)octave->sum_us / (double)octave->agents;
}

static uint32_t
bounded_work_us (uint32_t work_us)
{
  return CLAMP (work_us, HS_WORK_MIN_US, HS_WORK_MAX_US);
}

static bool
is_implausible (const struct hs_load_report *report, double service_us)
{
  return bounded_work_us (report->mean_work_us)
         < WORK_PLAUSIBLE_SHARE * service_us;
}

/* Returns the mean work of the agent of REPORT in units of SERVICE_US.  */
static double
mean_work_of (const struct hs_load_report *report, double service_us)
{
  if (report->mean_work_us == 0 || is_implausible (report, service_us))
    return 1;
  return bounded_work_us (report->mean_work_us) / service_us;
}

/* Returns the load of AGENT if a new flow were placed on it, per slot of its
   upstream.  SERVICE_US: mean work of its service.  */
static double
load_of (const struct hs_pool_agent *agent, double service_us)
{
  const struct hs_load_report *report = &agent->report;
  uint32_t slots = report->slots != 0 ? report->slots : HS_SLOTS_DEFAULT;
  double mean = mean_work_of (report, service_us);
  double flows
      = agent->placed_flows + 1
        + OPEN_FLOW_SLOTS * ((double)report->open_flows + agent->placed_flows);
  double load = (work_left_of (report, service_us) + flows * mean) / slots;

  if (report->cold_ms > 0)
    load = load * HS_COLD_WORK_PERCENT / 100;
  return agent->is_same_zone ? load : load + OTHER_ZONE_PENALTY;
}

/* Returns the work left at the upstream of REPORT in units of SERVICE_US, the
   mean work of its service.  What an agent without a learned mean reports is
   its default, not a measure.  */
static double
work_left_of (const struct hs_load_report *report, double service_us)
{
  double requests = report->requests_in_progress;
  double mean = mean_work_of (report, service_us);

  if (report->mean_work_us == 0 || report->work_left_us == 0
      || is_implausible (report, service_us))
    return requests * mean;
  return MAX (report->work_left_us / service_us,
              requests * WORK_PLAUSIBLE_SHARE);
}
