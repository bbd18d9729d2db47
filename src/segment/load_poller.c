/* load_poller.c -- decides which agents an entry asks for their load.

   A load report of every agent to every entry would cost each of them in
   proportion to the size of the installation.  Here an entry asks for what it
   needs to place its own flows:

   - while a service gets new flows, a few of its agents at a time, those not
     asked for longest first, so that the loads of some are always fresh;
   - all other agents at a fixed rate, to notice their restarts and to know
     which agents may own a flow;
   - an agent that has not answered again and again, so that the pool notices
     that it is silent, and that it is back.

   Agents of the entry's availability zone are asked more often, as most flows
   are placed there; those of evacuated zones only in turn with all others, as
   none are.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Interval between the polls of a service that gets new flows, and the agents
   that a poll asks.  */
#define POLL_INTERVAL_MS 200
#define POLL_SAME_ZONE 3
#define POLL_OTHER_ZONES 1

/* A service is polled for this long after its last SYN.  */
#define POLL_DURATION_MS 3000

/* A SYN causes a poll of its own, unless one has been sent this recently.  */
#define SYN_POLL_GAP_MS 25
#define SYN_POLL_SAME_ZONE 2

/* Agents asked in a tick in turn: 20 a second.  */
#define REFRESHES_PER_TICK 1

/* Delay before an agent that has not answered is asked again; it doubles up to
   the maximum.  */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000

/* Agents asked again, or for the first time, in a tick: few enough for a slow
   uplink.  */
#define RETRIES_PER_TICK 24

/* Time after an entry's start by which every agent that runs is listed: both
   have sent a heartbeat to each control host.  */
#define ALL_LISTED_MS 2000

/* The same after a restart of all hosts together.  Starts that are at most
   RESTART_SKEW_MAX_MS apart count as together.  */
#define ALL_LISTED_RESTARTED_MS 800
#define RESTART_SKEW_MAX_MS 1000

struct polled_agent
{
  struct hs_table_node node; /* By address.  */
  struct hs_list link;       /* In agents of the poller.  */
  struct hs_addr address;
  bool is_listed;
  bool is_known; /* Has reported; the next three fields are set.  */
  uint64_t agent_id;
  uint64_t service_id;
  bool is_same_zone;
  bool is_unanswered;        /* Asked, and has not answered since.  */
  uint64_t unreported_since; /* ms, of the first query if it has not reported
                                yet; 0: not queried.  */
  uint64_t queried_at;       /* ms, of the latest query; 0: due now.  */
  uint64_t retry_ms;
};

struct polled_service
{
  struct hs_list link;
  uint64_t service_id;
  uint64_t last_syn_at;  /* ms  */
  uint64_t last_poll_at; /* ms  */
};

struct hs_load_poller
{
  char zone[HS_NAME_SIZE];
  struct hs_agent_pool *pool;
  struct hs_load_poller_ops ops;
  void *ctx;
  struct hs_table *by_address;
  struct hs_list agents; /* Not asked for longest first.  */
  struct hs_list services;
};

/* Private functions.  */

static bool may_report (const struct polled_agent *agent, uint64_t now);
static void query (struct hs_load_poller *poller, struct polled_agent *agent,
                   uint64_t now);
static void poll_service (struct hs_load_poller *poller,
                          struct polled_service *service, bool is_same_zone,
                          size_t count, uint64_t now);
static bool is_evacuated (const struct hs_load_poller *poller,
                          const struct polled_agent *agent);
static void poll_active_services (struct hs_load_poller *poller, uint64_t now);
static void retry_unanswered (struct hs_load_poller *poller, uint64_t now);
static void refresh_next (struct hs_load_poller *poller, uint64_t now);
static struct polled_agent *find_agent (const struct hs_load_poller *poller,
                                        const struct hs_addr *address);
static bool match_address (const struct hs_table_node *node, const void *key);
static struct polled_agent *add_agent (struct hs_load_poller *poller,
                                       const struct hs_addr *address);
static void remove_from_pool (struct hs_load_poller *poller,
                              const struct polled_agent *agent);
static void remove_agent (struct hs_load_poller *poller,
                          struct polled_agent *agent);
static struct polled_service *
find_or_add_service (struct hs_load_poller *poller, uint64_t service_id);

/* Public definitions.  */

struct hs_load_poller *
hs_load_poller_create (void *parent, const char *zone,
                       struct hs_agent_pool *pool,
                       const struct hs_load_poller_ops *ops, void *ctx)
{
  struct hs_load_poller *poller = talloc_zero (parent, struct hs_load_poller);

  g_strlcpy (poller->zone, zone, sizeof poller->zone);
  poller->pool = pool;
  poller->ops = *ops;
  poller->ctx = ctx;
  poller->by_address = hs_table_create (poller);
  hs_list_init (&poller->agents);
  hs_list_init (&poller->services);
  return poller;
}

void
hs_load_poller_destroy (struct hs_load_poller *poller)
{
  talloc_free (poller);
}

void
hs_load_poller_set_agents (struct hs_load_poller *poller,
                           const struct hs_addr *addresses, size_t len)
{
  HS_LIST_FOREACH (link, &poller->agents)
    HS_LIST_ENTRY (link, struct polled_agent, link)->is_listed = false;
  for (size_t i = 0; i < len; i++)
    {
      struct polled_agent *agent = find_agent (poller, &addresses[i]);

      if (agent == NULL)
        agent = add_agent (poller, &addresses[i]);
      agent->is_listed = true;
    }
  HS_LIST_FOREACH (link, &poller->agents)
    {
      struct polled_agent *agent
          = HS_LIST_ENTRY (link, struct polled_agent, link);

      if (!agent->is_listed)
        remove_agent (poller, agent);
    }
}

/* Another agent at the address means that the previous one is gone.  */
bool
hs_load_poller_handle_report (struct hs_load_poller *poller,
                              const struct hs_load_report *report)
{
  struct polled_agent *agent = find_agent (poller, &report->address);

  if (agent == NULL)
    return false;
  if (agent->is_known && agent->agent_id != report->agent_id)
    remove_from_pool (poller, agent);
  agent->is_known = true;
  agent->agent_id = report->agent_id;
  agent->service_id = report->service_id;
  agent->is_same_zone = strcmp (report->zone, poller->zone) == 0;
  agent->is_unanswered = false;
  agent->retry_ms = RETRY_MIN_MS;
  return true;
}

void
hs_load_poller_handle_syn (struct hs_load_poller *poller, uint64_t service_id,
                           uint64_t now)
{
  struct polled_service *service = find_or_add_service (poller, service_id);

  service->last_syn_at = now;
  if (now - service->last_poll_at < SYN_POLL_GAP_MS)
    return;
  service->last_poll_at = now;
  poll_service (poller, service, true, SYN_POLL_SAME_ZONE, now);
}

/* If all agents that have reported started together with this entry, all hosts
   have lost power or been killed together.  The shorter time applies then,
   since callers wait for their flows to be reset.  */
bool
hs_load_poller_is_complete (const struct hs_load_poller *poller,
                            uint64_t up_ms, uint64_t started_at, uint64_t now)
{
  if (up_ms < ALL_LISTED_MS
      && (up_ms < ALL_LISTED_RESTARTED_MS
          || !hs_agent_pool_all_started_since (
              poller->pool, started_at - RESTART_SKEW_MAX_MS)))
    return false;
  HS_LIST_FOREACH (link, &poller->agents)
    if (may_report (HS_LIST_ENTRY (link, struct polled_agent, link), now))
      return false;
  return true;
}

void
hs_load_poller_query_all (struct hs_load_poller *poller)
{
  HS_LIST_FOREACH (link, &poller->agents)
    HS_LIST_ENTRY (link, struct polled_agent, link)->queried_at = 0;
}

void
hs_load_poller_tick (struct hs_load_poller *poller, uint64_t now)
{
  poll_active_services (poller, now);
  retry_unanswered (poller, now);
  for (size_t i = 0; i < REFRESHES_PER_TICK; i++)
    refresh_next (poller, now);
}

/* Private definitions.  */

/* Returns whether AGENT has not reported yet and may be about to: it may be
   one that is being restarted.  */
static bool
may_report (const struct polled_agent *agent, uint64_t now)
{
  return !agent->is_known
         && (agent->unreported_since == 0
             || now - agent->unreported_since <= HS_POOL_AGENT_EXPIRY_MS);
}

static void
query (struct hs_load_poller *poller, struct polled_agent *agent, uint64_t now)
{
  if (agent->is_unanswered && agent->retry_ms < RETRY_MAX_MS)
    agent->retry_ms *= 2;
  agent->is_unanswered = true;
  agent->queried_at = now;
  if (agent->unreported_since == 0)
    agent->unreported_since = now;
  hs_list_remove (&agent->link);
  hs_list_append (&poller->agents, &agent->link);
  if (agent->is_known)
    hs_agent_pool_mark_queried (poller->pool, agent->agent_id, now);
  poller->ops.query_load (poller->ctx, &agent->address);
}

/* Asks COUNT agents of the service: of the entry's availability zone or, if it
   has fewer, of others; else of others only.  */
static void
poll_service (struct hs_load_poller *poller, struct polled_service *service,
              bool is_same_zone, size_t count, uint64_t now)
{
  struct polled_agent *chosen[POLL_SAME_ZONE + POLL_OTHER_ZONES];
  size_t len = 0;

  HS_LIST_FOREACH (link, &poller->agents)
    {
      struct polled_agent *agent
          = HS_LIST_ENTRY (link, struct polled_agent, link);

      if (len == count)
        break;
      if (agent->is_known && agent->service_id == service->service_id
          && agent->is_same_zone == is_same_zone && !agent->is_unanswered
          && !is_evacuated (poller, agent))
        chosen[len++] = agent;
    }
  for (size_t i = 0; i < len; i++)
    query (poller, chosen[i], now);
  if (len < count && is_same_zone)
    poll_service (poller, service, false, count - len, now);
}

static bool
is_evacuated (const struct hs_load_poller *poller,
              const struct polled_agent *agent)
{
  const struct hs_pool_agent *pooled
      = hs_agent_pool_find (poller->pool, agent->agent_id);

  return pooled != NULL && pooled->is_evacuated;
}

static void
poll_active_services (struct hs_load_poller *poller, uint64_t now)
{
  HS_LIST_FOREACH (link, &poller->services)
    {
      struct polled_service *service
          = HS_LIST_ENTRY (link, struct polled_service, link);

      if (now - service->last_syn_at > POLL_DURATION_MS)
        {
          hs_list_remove (link);
          talloc_free (service);
          continue;
        }
      if (now - service->last_poll_at < POLL_INTERVAL_MS)
        continue;
      service->last_poll_at = now;
      poll_service (poller, service, true, POLL_SAME_ZONE, now);
      poll_service (poller, service, false, POLL_OTHER_ZONES, now);
    }
}

static void
retry_unanswered (struct hs_load_poller *poller, uint64_t now)
{
  struct polled_agent *due[RETRIES_PER_TICK];
  size_t len = 0;

  HS_LIST_FOREACH (link, &poller->agents)
    {
      struct polled_agent *agent
          = HS_LIST_ENTRY (link, struct polled_agent, link);

      if (len < RETRIES_PER_TICK
          && (agent->queried_at == 0
              || (agent->is_unanswered
                  && now - agent->queried_at >= agent->retry_ms)))
        due[len++] = agent;
    }
  for (size_t i = 0; i < len; i++)
    query (poller, due[i], now);
}

static void
refresh_next (struct hs_load_poller *poller, uint64_t now)
{
  HS_LIST_FOREACH (link, &poller->agents)
    {
      struct polled_agent *agent
          = HS_LIST_ENTRY (link, struct polled_agent, link);

      if (agent->is_unanswered || now - agent->queried_at < POLL_INTERVAL_MS)
        continue;
      query (poller, agent, now);
      return;
    }
}

static struct polled_agent *
find_agent (const struct hs_load_poller *poller, const struct hs_addr *address)
{
  struct hs_table_node *node = hs_table_find (
      poller->by_address, hs_addr_hash (address), match_address, address);

  return node != NULL ? HS_LIST_ENTRY (node, struct polled_agent, node) : NULL;
}

static bool
match_address (const struct hs_table_node *node, const void *key)
{
  return hs_addr_equal (
      &HS_LIST_ENTRY (node, struct polled_agent, node)->address, key);
}

static struct polled_agent *
add_agent (struct hs_load_poller *poller, const struct hs_addr *address)
{
  struct polled_agent *agent = talloc_zero (poller, struct polled_agent);

  agent->address = *address;
  agent->retry_ms = RETRY_MIN_MS;
  hs_table_insert (poller->by_address, &agent->node, hs_addr_hash (address));
  hs_list_append (&poller->agents, &agent->link);
  return agent;
}

/* Removes AGENT from the pool, unless it has reported from another address
   since.  */
static void
remove_from_pool (struct hs_load_poller *poller,
                  const struct polled_agent *agent)
{
  const struct hs_pool_agent *pooled
      = hs_agent_pool_find (poller->pool, agent->agent_id);

  if (pooled != NULL
      && hs_addr_equal (&pooled->report.address, &agent->address))
    hs_agent_pool_remove (poller->pool, agent->agent_id);
}

static void
remove_agent (struct hs_load_poller *poller, struct polled_agent *agent)
{
  if (agent->is_known)
    remove_from_pool (poller, agent);
  hs_table_remove (poller->by_address, &agent->node);
  hs_list_remove (&agent->link);
  talloc_free (agent);
}

static struct polled_service *
find_or_add_service (struct hs_load_poller *poller, uint64_t service_id)
{
  struct polled_service *service;

  HS_LIST_FOREACH (link, &poller->services)
    {
      service = HS_LIST_ENTRY (link, struct polled_service, link);
      if (service->service_id == service_id)
        return service;
    }
  service = talloc_zero (poller, struct polled_service);
  service->service_id = service_id;
  hs_list_append (&poller->services, &service->link);
  return service;
}
