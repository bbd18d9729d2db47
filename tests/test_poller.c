/* test_poller.c -- the load poller: what load knowledge costs an entry at
   every size, and how soon an agent that stops or starts is noticed.

   Guards against reports of every agent to every entry, whose cost grows with
   the size of the installation.  Agents answer a query after 3 ms, in virtual
   time.  */

#include "base/addr.h"
#include "hibiscusspan.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

#define ZONES 5
#define SERVICE 7
#define ANSWER_DELAY_MS 3
#define TRANSITS_MAX 65536
#define QUERIES_PER_S_MAX 80 /* 6 KB/s of reports of 76 bytes.  */

struct agent
{
  bool is_down;
  uint64_t incarnation;
  uint64_t queries;
};

/* An answer on its way; all take the same time.  */
struct transit
{
  size_t agent;
  uint64_t due; /* ms  */
};

struct simulation
{
  struct hs_agent_pool *pool;
  struct hs_load_poller *poller;
  size_t agents_len;
  struct agent *agents;
  struct hs_addr *addresses;
  uint64_t now; /* ms  */
  uint64_t queries;
  uint64_t seq;
  size_t first_transit; /* In the ring TRANSITS.  */
  size_t transits_len;
  struct transit transits[TRANSITS_MAX];
};

/* Private functions.  */

static void
on_query (void *ctx, const struct hs_addr *address)
{
  struct simulation *sim = ctx;
  size_t index = ((size_t)address->ip[13] << 16)
                 + ((size_t)address->ip[14] << 8) + address->ip[15];
  size_t last = (sim->first_transit + sim->transits_len) % TRANSITS_MAX;

  g_assert_cmpuint (index, <, sim->agents_len);
  sim->queries++;
  sim->agents[index].queries++;
  if (sim->agents[index].is_down)
    return;
  g_assert_cmpuint (sim->transits_len, <, TRANSITS_MAX);
  sim->transits_len++;
  sim->transits[last] = (struct transit){ index, sim->now + ANSWER_DELAY_MS };
}

static void
answer (struct simulation *sim, size_t index)
{
  struct hs_load_report report = { .agent_id = index + 1,
                                   .incarnation = 1,
                                   .seq = ++sim->seq,
                                   .service_id = SERVICE,
                                   .address = sim->addresses[index],
                                   .state = HS_AGENT_READY,
                                   .slots = 2 };

  report.incarnation += sim->agents[index].incarnation;
  snprintf (report.zone, sizeof report.zone, "z%zu", index % ZONES);
  g_assert_true (hs_load_poller_handle_report (sim->poller, &report));
  hs_agent_pool_update (sim->pool, &report, sim->now);
}

/* All agents are listed at first.  */
static struct simulation *
sim_create (size_t agents)
{
  struct hs_load_poller_ops ops = { on_query };
  struct simulation *sim = talloc_zero (NULL, struct simulation);

  sim->agents_len = agents;
  sim->agents = talloc_zero_array (sim, struct agent, agents);
  sim->addresses = talloc_zero_array (sim, struct hs_addr, agents);
  for (size_t i = 0; i < agents; i++)
    sim->addresses[i] = hs_addr_from_ipv4 (0x0a000000 + (uint32_t)i, 7000);
  sim->pool = hs_agent_pool_create (sim, "z0");
  sim->poller = hs_load_poller_create (sim, "z0", sim->pool, &ops, sim);
  sim->now = 1000;
  hs_load_poller_set_agents (sim->poller, sim->addresses, agents);
  return sim;
}

/* Runs to END, with a new flow every FLOW_INTERVAL_MS (0: none).  Returns the
   flows that were placed on an agent that is down.  */
static unsigned int
run (struct simulation *sim, uint64_t end, uint64_t flow_interval_ms)
{
  unsigned int misplaced = 0;

  for (; sim->now < end; sim->now++)
    {
      while (sim->transits_len > 0
             && sim->transits[sim->first_transit].due <= sim->now)
        {
          answer (sim, sim->transits[sim->first_transit].agent);
          sim->first_transit = (sim->first_transit + 1) % TRANSITS_MAX;
          sim->transits_len--;
        }
      if (sim->now % HS_LOAD_POLLER_TICK_MS == 0)
        {
          hs_load_poller_tick (sim->poller, sim->now);
          hs_agent_pool_expire (sim->pool, sim->now);
        }
      if (flow_interval_ms != 0 && sim->now % flow_interval_ms == 0)
        {
          struct hs_flow_demand demand = { .service_id = SERVICE };
          const struct hs_pool_agent *agent
              = hs_agent_pool_place_flow (sim->pool, &demand, sim->now);

          hs_load_poller_handle_syn (sim->poller, SERVICE, sim->now);
          if (agent != NULL)
            misplaced += sim->agents[agent->report.agent_id - 1].is_down;
        }
    }
  return misplaced;
}

static size_t
known_agents (const struct simulation *sim)
{
  size_t known = 0;

  for (size_t i = 0; i < sim->agents_len; i++)
    known += hs_agent_pool_find (sim->pool, i + 1) != NULL;
  return known;
}

/* At ten new flows a second an entry asks at most 80 times a second, at 30,
   300, 1,082 and 13,000 agents alike, and spreads its queries over the agents
   of its zone.  Each new flow finds a fresh load.  */
static void
test_cost_at_every_size (void)
{
  const size_t sizes[] = { 30, 300, 1082, 13000 };

  for (size_t k = 0; k < G_N_ELEMENTS (sizes); k++)
    {
      struct simulation *sim = sim_create (sizes[k]);
      uint64_t most = 0;
      uint64_t least = UINT64_MAX;

      run (sim, 40000, 0);
      g_assert_cmpuint (known_agents (sim), ==, sizes[k]);
      sim->queries = 0;
      for (size_t i = 0; i < sizes[k]; i++)
        sim->agents[i].queries = 0;
      run (sim, 70000, 100);
      g_test_message ("%zu agents: %.1f queries a second", sizes[k],
                      (double)sim->queries / 30);
      g_assert_cmpuint (sim->queries, <, 30 * QUERIES_PER_S_MAX);
      for (size_t i = 0; i < sizes[k]; i += ZONES)
        {
          most = MAX (most, sim->agents[i].queries);
          least = MIN (least, sim->agents[i].queries);
        }
      g_assert_cmpuint (most - least, <=, 2 + most / 10);
      talloc_free (sim);
    }
}

/* Without new flows, only the slow round over all agents is left.  */
static void
test_idle_cost (void)
{
  struct simulation *sim = sim_create (300);

  run (sim, 10000, 10);
  run (sim, 15000, 0);
  sim->queries = 0;
  run (sim, 25000, 0);
  g_assert_cmpuint (sim->queries, <=, 10 * 21);
  g_assert_cmpuint (sim->queries, >=, 10 * 19);
  talloc_free (sim);
}

/* An entry that has just started knows 300 agents within a second.  */
static void
test_agents_known_after_start (void)
{
  struct simulation *sim = sim_create (300);

  run (sim, 2000, 0);
  g_assert_cmpuint (known_agents (sim), ==, 300);
  talloc_free (sim);
}

/* Half of the agents stop.  From one second later on, no flow is placed on any
   of them, and after HS_POOL_AGENT_EXPIRY_MS and a round over all agents they
   are no longer possible owners.  Once they are back, they are known again
   within two seconds.  */
static void
test_stopped_agents (void)
{
  struct simulation *sim = sim_create (60);
  unsigned int misplaced;

  run (sim, 10000, 20);
  for (size_t i = 0; i < 60; i += 2)
    sim->agents[i].is_down = true;
  run (sim, 11000, 20);
  misplaced = run (sim, 20000, 20);
  g_assert_cmpuint (misplaced, ==, 0);
  g_assert_cmpuint (known_agents (sim), ==, 30);
  for (size_t i = 0; i < 60; i += 2)
    {
      sim->agents[i].is_down = false;
      sim->agents[i].incarnation++;
    }
  run (sim, 22000, 20);
  g_assert_cmpuint (known_agents (sim), ==, 60);
  talloc_free (sim);
}

/* An agent that is no longer listed is gone at once, and its late reports are
   ignored.  Another agent at its address takes its place.  */
static void
test_list_changes (void)
{
  struct simulation *sim = sim_create (10);
  struct hs_load_report report = { .agent_id = 77,
                                   .incarnation = 1,
                                   .seq = 1,
                                   .service_id = SERVICE,
                                   .zone = "z1" };

  run (sim, 3000, 0);
  hs_load_poller_set_agents (sim->poller, sim->addresses, 9);
  g_assert_null (hs_agent_pool_find (sim->pool, 10));
  report.address = sim->addresses[9];
  g_assert_false (hs_load_poller_handle_report (sim->poller, &report));
  report.address = sim->addresses[0];
  g_assert_true (hs_load_poller_handle_report (sim->poller, &report));
  g_assert_null (hs_agent_pool_find (sim->pool, 1));
  talloc_free (sim);
}

/* Guards against resets of the flows of an agent that is being restarted while
   the entry starts: the pool is not complete before each listed agent has
   reported, or has been silent for so long that it counts as gone.  */
static void
test_listed_agent_restarts (void)
{
  for (int returns = 0; returns <= 1; returns++)
    {
      struct simulation *sim = sim_create (4);
      uint64_t started_at = sim->now;

      sim->agents[2].is_down = true;
      run (sim, started_at + 3000, 0);
      g_assert_false (
          hs_load_poller_is_complete (sim->poller, 800, 0, sim->now));
      g_assert_false (
          hs_load_poller_is_complete (sim->poller, 3000, 0, sim->now));
      sim->agents[2].is_down = returns == 0;
      run (sim, started_at + 5000, 0);
      g_assert_cmpint (
          hs_load_poller_is_complete (sim->poller, 5000, 0, sim->now), ==,
          returns == 1);
      run (sim, started_at + HS_POOL_AGENT_EXPIRY_MS + 200, 0);
      g_assert_true (hs_load_poller_is_complete (
          sim->poller, HS_POOL_AGENT_EXPIRY_MS + 200, 0, sim->now));
      talloc_free (sim);
    }
}

/* Guards against the loss of an agent whose host was replaced by one of the
   same name: the expiry of the former address leaves it in the pool.  */
static void
test_replaced_at_other_address (void)
{
  struct simulation *sim = sim_create (10);
  struct hs_load_report report = { .agent_id = 10,
                                   .incarnation = 2,
                                   .seq = 1,
                                   .service_id = SERVICE,
                                   .zone = "z1" };

  hs_load_poller_set_agents (sim->poller, sim->addresses, 9);
  run (sim, 3000, 0);
  /* Agent 10 comes back at the address of agent 1, and the reports of its
     first process are late.  */
  hs_load_poller_set_agents (sim->poller, sim->addresses, 10);
  run (sim, 4000, 0);
  report.address = sim->addresses[0];
  g_assert_true (hs_load_poller_handle_report (sim->poller, &report));
  g_assert_true (hs_agent_pool_update (sim->pool, &report, sim->now));
  hs_load_poller_set_agents (sim->poller, sim->addresses, 9);
  g_assert_nonnull (hs_agent_pool_find (sim->pool, 10));
  g_assert_null (hs_agent_pool_find (sim->pool, 1));
  talloc_free (sim);
}

/* Guards against agents that learn of a changed idle timeout seconds later:
   all are queried within a second, a few in each tick.  */
static void
test_all_queried (void)
{
  struct simulation *sim = sim_create (300);

  run (sim, 10000, 0);
  for (size_t i = 0; i < 300; i++)
    sim->agents[i].queries = 0;
  hs_load_poller_query_all (sim->poller);
  run (sim, 11000, 0);
  for (size_t i = 0; i < 300; i++)
    g_assert_cmpuint (sim->agents[i].queries, >, 0);
  talloc_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/poller/cost", test_cost_at_every_size);
  g_test_add_func ("/poller/idle-cost", test_idle_cost);
  g_test_add_func ("/poller/start", test_agents_known_after_start);
  g_test_add_func ("/poller/stopped", test_stopped_agents);
  g_test_add_func ("/poller/list", test_list_changes);
  g_test_add_func ("/poller/listed-agent-restarts",
                   test_listed_agent_restarts);
  g_test_add_func ("/poller/replaced-at-other-address",
                   test_replaced_at_other_address);
  g_test_add_func ("/poller/all-queried", test_all_queried);
  return g_test_run ();
}
