/* agent_pool.c -- placing of new flows on agents by their load.

   The load answered here is a mix of short flows of one request each and of
   long flows that send a request now and then.  An agent reports what is in
   progress at its upstream; what this entry has placed since then is added.
   A long flow counts as the share of a slot that it keeps busy.  Bytes
   between availability zones are dear, so that an agent elsewhere is taken
   only when it is the less busy one by a margin.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Slots that an open flow keeps busy: a request of 50 ms every 1.7 s, as in
   the documented mix of long flows.  */
#define FLOW_LOAD 0.03

/* Load, as a share of all slots, by which another availability zone must be
   less busy to be taken.  */
#define ZONE_MARGIN 0.35

/* By which a cold upstream is slower: the documented figure.  */
#define COLD_FACTOR 1.6

/* Slots of an upstream that has not told.  */
#define SLOTS_UNKNOWN 1

struct hs_agent_pool
{
  char zone[HS_NAME_SIZE];
  struct hs_table *by_id;
  struct hs_list agents; /* Longest without a new flow first.  */
};

/* Private functions.  */

static bool may_hold_flows (const struct hs_pool_agent *backend, uint64_t now);

static bool match_slot (const struct hs_table_node *node, const void *key);
static struct hs_pool_agent *find (const struct hs_agent_pool *fleet,
                                   uint64_t slot);
static bool is_later (const struct hs_load_report *report,
                      const struct hs_load_report *than);
static bool is_excluded (uint64_t slot, const uint64_t *excluded, size_t len);
static double load_of (const struct hs_pool_agent *backend);

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
  struct hs_agent_pool *fleet = talloc_zero (parent, struct hs_agent_pool);

  g_strlcpy (fleet->zone, zone, sizeof fleet->zone);
  fleet->by_id = hs_table_create (fleet);
  hs_list_init (&fleet->agents);
  return fleet;
}

void
hs_agent_pool_destroy (struct hs_agent_pool *fleet)
{
  talloc_free (fleet);
}

bool
hs_agent_pool_update (struct hs_agent_pool *fleet,
                      const struct hs_load_report *report, uint64_t now)
{
  struct hs_pool_agent *backend = find (fleet, report->agent_id);
  bool changed;

  if (backend == NULL)
    {
      backend = talloc_zero (fleet, struct hs_pool_agent);
      backend->report.state = HS_AGENT_UPSTREAM_SILENT;
      hs_table_insert (fleet->by_id, &backend->node, report->agent_id);
      hs_list_append (&fleet->agents, &backend->lru_link);
    }
  else if (!is_later (report, &backend->report))
    return false;
  changed = report->state != backend->report.state
            || report->incarnation != backend->report.incarnation;
  backend->report = *report;
  backend->last_heard_at = now;
  backend->placed_flows = 0;
  backend->is_same_zone = strcmp (report->zone, fleet->zone) == 0;
  return changed;
}

void
hs_agent_pool_set_state (struct hs_agent_pool *fleet, uint64_t slot,
                         enum hs_agent_state state)
{
  struct hs_pool_agent *backend = find (fleet, slot);

  if (backend != NULL)
    backend->report.state = state;
}

const struct hs_pool_agent *
hs_agent_pool_find (const struct hs_agent_pool *fleet, uint64_t slot)
{
  return find (fleet, slot);
}

bool
hs_pool_agent_accepts_flows (const struct hs_pool_agent *backend, uint64_t now)
{
  return backend->report.state == HS_AGENT_READY
         && now - backend->last_heard_at <= HS_REPORT_TIMEOUT_MS;
}

const struct hs_pool_agent *
hs_agent_pool_place_flow (struct hs_agent_pool *fleet, uint64_t service,
                          const uint64_t *excluded, size_t excluded_len,
                          uint64_t now)
{
  struct hs_pool_agent *best = NULL;
  double best_load = 0;

  HS_LIST_FOREACH (link, &fleet->agents)
    {
      struct hs_pool_agent *backend
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);
      double load;

      if (backend->report.service_id != service
          || !hs_pool_agent_accepts_flows (backend, now)
          || is_excluded (backend->report.agent_id, excluded, excluded_len))
        continue;
      load = load_of (backend);
      if (best != NULL && load >= best_load)
        continue;
      best = backend;
      best_load = load;
    }
  if (best == NULL)
    return NULL;
  best->placed_flows++;
  hs_list_remove (&best->lru_link);
  hs_list_append (&fleet->agents, &best->lru_link);
  return best;
}

/* All slots work on what waits.  */
uint64_t
hs_pool_agent_wait_us (const struct hs_pool_agent *backend)
{
  const struct hs_load_report *report = &backend->report;
  uint64_t slots = report->slots != 0 ? report->slots : SLOTS_UNKNOWN;
  uint64_t busy = report->requests_in_progress + backend->placed_flows + 1;

  return busy > slots ? report->mean_work_us * (busy - slots) / slots : 0;
}

const struct hs_pool_agent *
hs_agent_pool_least_busy (const struct hs_agent_pool *fleet, uint64_t service,
                          uint64_t now)
{
  const struct hs_pool_agent *best = NULL;

  HS_LIST_FOREACH (link, &fleet->agents)
    {
      const struct hs_pool_agent *backend
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (backend->report.service_id == service
          && hs_pool_agent_accepts_flows (backend, now)
          && (best == NULL
              || hs_pool_agent_wait_us (backend)
                     < hs_pool_agent_wait_us (best)))
        best = backend;
    }
  return best;
}

size_t
hs_agent_pool_possible_owners (const struct hs_agent_pool *fleet,
                               uint64_t service,
                               const struct hs_pool_agent **backends,
                               size_t max, uint64_t now)
{
  size_t len = 0;

  HS_LIST_FOREACH (link, &fleet->agents)
    {
      const struct hs_pool_agent *backend
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (len < max && may_hold_flows (backend, now)
          && (service == 0 || backend->report.service_id == service))
        backends[len++] = backend;
    }
  return len;
}

/* Incarnations are wall-clock times of starts.  */
bool
hs_agent_pool_all_started_since (const struct hs_agent_pool *fleet,
                                 uint64_t wall_ms)
{
  HS_LIST_FOREACH (link, &fleet->agents)
    if (HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link)
            ->report.incarnation
        < wall_ms)
      return false;
  return !hs_list_is_empty (&fleet->agents);
}

void
hs_agent_pool_expire (struct hs_agent_pool *fleet, uint64_t now)
{
  HS_LIST_FOREACH (link, &fleet->agents)
    {
      struct hs_pool_agent *backend
          = HS_LIST_ENTRY (link, struct hs_pool_agent, lru_link);

      if (now - backend->last_heard_at <= HS_POOL_AGENT_EXPIRY_MS)
        continue;
      hs_table_remove (fleet->by_id, &backend->node);
      hs_list_remove (link);
      talloc_free (backend);
    }
}

/* Private definitions.  */

/* An agent that had not heard of its upstream and is silent itself has most
   likely been taken away with it.  */
static bool
may_hold_flows (const struct hs_pool_agent *backend, uint64_t now)
{
  bool silent = now - backend->last_heard_at > HS_REPORT_TIMEOUT_MS;

  return !backend->report.no_upstream
         && !(silent && backend->report.state == HS_AGENT_UPSTREAM_SILENT);
}

static bool
match_slot (const struct hs_table_node *node, const void *key)
{
  const uint64_t *slot = key;

  return HS_LIST_ENTRY (node, struct hs_pool_agent, node)->report.agent_id
         == *slot;
}

static struct hs_pool_agent *
find (const struct hs_agent_pool *fleet, uint64_t slot)
{
  struct hs_table_node *node
      = hs_table_find (fleet->by_id, slot, match_slot, &slot);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_pool_agent, node)
                      : NULL;
}

/* Incarnations are wall-clock times, and a host's clock may have been set
   back before a restart: another incarnation is taken for the later one.  */
static bool
is_later (const struct hs_load_report *report,
          const struct hs_load_report *than)
{
  return report->incarnation != than->incarnation || report->seq > than->seq;
}

static bool
is_excluded (uint64_t slot, const uint64_t *excluded, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if (excluded[i] == slot)
      return true;
  return false;
}

/* As a share of the upstream's slots, with the new flow.  */
static double
load_of (const struct hs_pool_agent *backend)
{
  const struct hs_load_report *report = &backend->report;
  uint32_t slots = report->slots != 0 ? report->slots : SLOTS_UNKNOWN;
  double load = (report->requests_in_progress + backend->placed_flows + 1
                 + FLOW_LOAD * (report->open_flows + backend->placed_flows))
                / slots;

  if (report->cold_ms > 0)
    load *= COLD_FACTOR;
  return backend->is_same_zone ? load : load + ZONE_MARGIN;
}
