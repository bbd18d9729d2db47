/* fleet.c -- placing of new flows on agents by their load.

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

struct hs_fleet
{
  char zone[HS_NAME_SIZE];
  struct hs_table *slots;
  struct hs_list backends; /* Longest without a new flow first.  */
};

/* Private functions.  */

static bool may_hold_flows (const struct hs_backend *backend, uint64_t now);

static bool match_slot (const struct hs_table_node *node, const void *key);
static struct hs_backend *find (const struct hs_fleet *fleet, uint64_t slot);
static bool is_later (const struct hs_load_report *report,
                      const struct hs_load_report *than);
static bool is_excluded (uint64_t slot, const uint64_t *excluded, size_t len);
static double load_of (const struct hs_backend *backend);

/* Public definitions.  */

const char *
hs_backend_state_name (enum hs_backend_state state)
{
  static const char *const names[] = { [HS_BACKEND_READY] = "ready",
                                       [HS_BACKEND_LEAVING] = "leaving",
                                       [HS_BACKEND_ABSENT] = "absent" };

  return names[state];
}

struct hs_fleet *
hs_fleet_create (void *parent, const char *zone)
{
  struct hs_fleet *fleet = talloc_zero (parent, struct hs_fleet);

  g_strlcpy (fleet->zone, zone, sizeof fleet->zone);
  fleet->slots = hs_table_create (fleet);
  hs_list_init (&fleet->backends);
  return fleet;
}

void
hs_fleet_destroy (struct hs_fleet *fleet)
{
  talloc_free (fleet);
}

bool
hs_fleet_report (struct hs_fleet *fleet, const struct hs_load_report *report,
                 uint64_t now)
{
  struct hs_backend *backend = find (fleet, report->slot);
  bool changed;

  if (backend == NULL)
    {
      backend = talloc_zero (fleet, struct hs_backend);
      backend->report.state = HS_BACKEND_ABSENT;
      hs_table_insert (fleet->slots, &backend->node, report->slot);
      hs_list_append (&fleet->backends, &backend->link);
    }
  else if (!is_later (report, &backend->report))
    return false;
  changed = report->state != backend->report.state
            || report->incarnation != backend->report.incarnation;
  backend->report = *report;
  backend->heard_at = now;
  backend->placed = 0;
  backend->in_zone = strcmp (report->zone, fleet->zone) == 0;
  return changed;
}

void
hs_fleet_set_state (struct hs_fleet *fleet, uint64_t slot,
                    enum hs_backend_state state)
{
  struct hs_backend *backend = find (fleet, slot);

  if (backend != NULL)
    backend->report.state = state;
}

const struct hs_backend *
hs_fleet_find (const struct hs_fleet *fleet, uint64_t slot)
{
  return find (fleet, slot);
}

bool
hs_fleet_takes_flows (const struct hs_backend *backend, uint64_t now)
{
  return backend->report.state == HS_BACKEND_READY
         && now - backend->heard_at <= HS_FLEET_FRESH_MS;
}

const struct hs_backend *
hs_fleet_choose (struct hs_fleet *fleet, uint64_t service,
                 const uint64_t *excluded, size_t excluded_len, uint64_t now)
{
  struct hs_backend *best = NULL;
  double best_load = 0;

  HS_LIST_FOREACH (link, &fleet->backends)
    {
      struct hs_backend *backend
          = HS_LIST_ENTRY (link, struct hs_backend, link);
      double load;

      if (backend->report.service != service
          || !hs_fleet_takes_flows (backend, now)
          || is_excluded (backend->report.slot, excluded, excluded_len))
        continue;
      load = load_of (backend);
      if (best != NULL && load >= best_load)
        continue;
      best = backend;
      best_load = load;
    }
  if (best == NULL)
    return NULL;
  best->placed++;
  hs_list_remove (&best->link);
  hs_list_append (&fleet->backends, &best->link);
  return best;
}

/* All slots work on what waits.  */
uint64_t
hs_fleet_wait_us (const struct hs_backend *backend)
{
  const struct hs_load_report *report = &backend->report;
  uint64_t slots = report->slots != 0 ? report->slots : SLOTS_UNKNOWN;
  uint64_t busy = report->busy + backend->placed + 1;

  return busy > slots ? report->work_us * (busy - slots) / slots : 0;
}

const struct hs_backend *
hs_fleet_least_busy (const struct hs_fleet *fleet, uint64_t service,
                     uint64_t now)
{
  const struct hs_backend *best = NULL;

  HS_LIST_FOREACH (link, &fleet->backends)
    {
      const struct hs_backend *backend
          = HS_LIST_ENTRY (link, struct hs_backend, link);

      if (backend->report.service == service
          && hs_fleet_takes_flows (backend, now)
          && (best == NULL
              || hs_fleet_wait_us (backend) < hs_fleet_wait_us (best)))
        best = backend;
    }
  return best;
}

size_t
hs_fleet_of_service (const struct hs_fleet *fleet, uint64_t service,
                     const struct hs_backend **backends, size_t max,
                     uint64_t now)
{
  size_t len = 0;

  HS_LIST_FOREACH (link, &fleet->backends)
    {
      const struct hs_backend *backend
          = HS_LIST_ENTRY (link, struct hs_backend, link);

      if (len < max && may_hold_flows (backend, now)
          && (service == 0 || backend->report.service == service))
        backends[len++] = backend;
    }
  return len;
}

/* Incarnations are wall-clock times of starts.  */
bool
hs_fleet_started_since (const struct hs_fleet *fleet, uint64_t wall_ms)
{
  HS_LIST_FOREACH (link, &fleet->backends)
    if (HS_LIST_ENTRY (link, struct hs_backend, link)->report.incarnation
        < wall_ms)
      return false;
  return !hs_list_is_empty (&fleet->backends);
}

void
hs_fleet_expire (struct hs_fleet *fleet, uint64_t now)
{
  HS_LIST_FOREACH (link, &fleet->backends)
    {
      struct hs_backend *backend
          = HS_LIST_ENTRY (link, struct hs_backend, link);

      if (now - backend->heard_at <= HS_FLEET_LIFE_MS)
        continue;
      hs_table_remove (fleet->slots, &backend->node);
      hs_list_remove (link);
      talloc_free (backend);
    }
}

/* Private definitions.  */

/* An agent that had not heard of its upstream and is silent itself has most
   likely been taken away with it.  */
static bool
may_hold_flows (const struct hs_backend *backend, uint64_t now)
{
  bool silent = now - backend->heard_at > HS_FLEET_FRESH_MS;

  return !backend->report.vacant
         && !(silent && backend->report.state == HS_BACKEND_ABSENT);
}

static bool
match_slot (const struct hs_table_node *node, const void *key)
{
  const uint64_t *slot = key;

  return HS_LIST_ENTRY (node, struct hs_backend, node)->report.slot == *slot;
}

static struct hs_backend *
find (const struct hs_fleet *fleet, uint64_t slot)
{
  struct hs_table_node *node
      = hs_table_find (fleet->slots, slot, match_slot, &slot);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_backend, node) : NULL;
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
load_of (const struct hs_backend *backend)
{
  const struct hs_load_report *report = &backend->report;
  uint32_t slots = report->slots != 0 ? report->slots : SLOTS_UNKNOWN;
  double load = (report->busy + backend->placed + 1
                 + FLOW_LOAD * (report->flows + backend->placed))
                / slots;

  if (report->cold_ms > 0)
    load *= COLD_FACTOR;
  return backend->in_zone ? load : load + ZONE_MARGIN;
}
