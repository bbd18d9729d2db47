/* test_crest.c -- a peak of load beyond the capacity of a service's upstreams.

   Guards against long queues at a peak: if every request may wait, most are
   answered late, and upstreams reject what their queues cannot take.

   Three quarters of the requests come on long flows, which stay on the agent
   that they were placed on; one quarter comes on short flows of one request,
   which have the higher priority.  An upstream has 7 slots, queues 28 requests
   and rejects the others.  A caller that is refused or rejected retries twice,
   without delay.  hs_agent_pool decides on placement and refusal, in virtual
   time; each run is determined by its seed.  */

#include "base/addr.h"
#include "hibiscusspan.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

#define AGENTS 4
#define SLOTS 7
#define QUEUE_MAX 28
#define WORK_MS 50.0
#define SLOW_PERCENT 3 /* Requests that take SLOW_FACTOR times as long.  */
#define SLOW_FACTOR 7.0
#define DURATION_MS 20000
#define PEAK_FROM_MS 5000
#define PEAK_TO_MS 15000
#define REPORT_MS 200
#define LONG_FLOWS 200
#define SLO_MS 250
#define ATTEMPTS 3
#define COMPLETIONS_MAX 200000

struct upstream
{
  unsigned int running;
  unsigned int waiting_len;
  uint64_t waiting_since[QUEUE_MAX]; /* ms, oldest first.  */
};

struct result
{
  unsigned int requests;
  unsigned int in_time;
  unsigned int late;     /* Answered after SLO_MS.  */
  unsigned int rejected; /* Attempts rejected by an upstream.  */
  unsigned int refused;  /* Attempts refused by the entry.  */
  unsigned int refused_with_free_slot;
};

struct completion
{
  uint64_t at; /* ms  */
  unsigned int agent;
};

struct simulation
{
  GRand *rand;
  bool may_refuse;
  double peak_load; /* Share of the upstreams' capacity.  */
  struct hs_agent_pool *pool;
  struct upstream upstreams[AGENTS];
  unsigned int flow_agents[LONG_FLOWS]; /* Agent of each long flow.  */
  uint64_t seqs[AGENTS];
  size_t completions_len;
  struct completion completions[COMPLETIONS_MAX];
  struct result result;
};

/* Private functions.  */

static uint64_t
agent_id_of (unsigned int agent)
{
  return agent + 1;
}

static void
report_load (struct simulation *sim, unsigned int agent, uint64_t now)
{
  const struct upstream *upstream = &sim->upstreams[agent];
  struct hs_load_report load
      = { .agent_id = agent_id_of (agent),
          .incarnation = 1,
          .seq = ++sim->seqs[agent],
          .service_id = 1,
          .state = HS_AGENT_READY,
          .slots = SLOTS,
          .requests_in_progress = upstream->running + upstream->waiting_len,
          .open_flows = LONG_FLOWS / AGENTS,
          .mean_work_us = (uint32_t)(WORK_MS * 1000),
          .zone = "a" };

  hs_agent_pool_update (sim->pool, &load, now);
}

/* Returns the time in ms that a request occupies a slot: exponentially
   distributed with the mean WORK_MS, and SLOW_FACTOR times as long for
   SLOW_PERCENT of the requests.  */
static uint64_t
draw_work (struct simulation *sim)
{
  double work = -WORK_MS * log (g_rand_double_range (sim->rand, 0.001, 1));

  if (g_rand_int_range (sim->rand, 0, 100) < SLOW_PERCENT)
    work *= SLOW_FACTOR;
  return (uint64_t)work + 1;
}

static void
start_request (struct simulation *sim, unsigned int agent, uint64_t arrived_at,
               uint64_t now)
{
  uint64_t work = draw_work (sim);

  sim->upstreams[agent].running++;
  g_assert_cmpuint (sim->completions_len, <, COMPLETIONS_MAX);
  sim->completions[sim->completions_len++]
      = (struct completion){ now + work, agent };
  if (now + work - arrived_at <= SLO_MS)
    sim->result.in_time++;
  else
    sim->result.late++;
}

/* Sends a request to the upstream of AGENT, which runs or queues it.  Returns
   false if the upstream rejects the request.  */
static bool
submit (struct simulation *sim, unsigned int agent, uint64_t arrived_at,
        uint64_t now)
{
  struct upstream *upstream = &sim->upstreams[agent];

  if (upstream->running < SLOTS)
    {
      start_request (sim, agent, arrived_at, now);
      return true;
    }
  if (upstream->waiting_len == QUEUE_MAX)
    return false;
  upstream->waiting_since[upstream->waiting_len++] = arrived_at;
  return true;
}

static void
complete_due (struct simulation *sim, uint64_t now)
{
  for (size_t i = 0; i < sim->completions_len; i++)
    {
      unsigned int agent = sim->completions[i].agent;
      struct upstream *upstream = &sim->upstreams[agent];

      if (sim->completions[i].at > now)
        continue;
      sim->completions[i--] = sim->completions[--sim->completions_len];
      upstream->running--;
      if (upstream->waiting_len == 0)
        continue;
      start_request (sim, agent, upstream->waiting_since[0], now);
      upstream->waiting_len--;
      memmove (upstream->waiting_since, upstream->waiting_since + 1,
               upstream->waiting_len * sizeof *upstream->waiting_since);
    }
}

static bool
has_free_slot (const struct simulation *sim)
{
  for (unsigned int i = 0; i < AGENTS; i++)
    if (sim->upstreams[i].running < SLOTS)
      return true;
  return false;
}

/* Places a new flow as an entry does.  Returns false if the flow is refused or
   its request rejected.  */
static bool
place_flow (struct simulation *sim, uint32_t priority, uint64_t arrived_at,
            uint64_t now)
{
  struct hs_flow_demand demand = { .service_id = 1 };
  const struct hs_pool_agent *agent;

  if (sim->may_refuse
      && hs_agent_pool_is_overloaded (sim->pool, &demand, SLO_MS, priority,
                                      now))
    {
      sim->result.refused++;
      sim->result.refused_with_free_slot += has_free_slot (sim);
      return false;
    }
  agent = hs_agent_pool_place_flow (sim->pool, &demand, now);
  g_assert_nonnull (agent);
  if (submit (sim, (unsigned int)agent->report.agent_id - 1, arrived_at, now))
    return true;
  sim->result.rejected++;
  return false;
}

/* Sends a request on a long flow or on a new short flow.  If the upstream
   of the long flow rejects it, it is sent again on a new flow.  */
static void
send_request (struct simulation *sim, uint64_t now)
{
  unsigned int attempts = 0;
  bool is_short = g_rand_int_range (sim->rand, 0, 4) == 0;

  sim->result.requests++;
  if (!is_short)
    {
      unsigned int flow
          = (unsigned int)g_rand_int_range (sim->rand, 0, LONG_FLOWS);

      attempts++;
      if (submit (sim, sim->flow_agents[flow], now, now))
        return;
      sim->result.rejected++;
    }
  while (attempts++ < ATTEMPTS)
    if (place_flow (sim, is_short ? 1 : 2, now, now))
      return;
}

/* Runs the simulation.  PEAK_LOAD: offered load during the peak as a share of
   the upstreams' capacity.  MAY_REFUSE: whether new flows may be refused.  */
static struct result
simulate (uint64_t seed, double peak_load, bool may_refuse)
{
  struct simulation *sim = talloc_zero (NULL, struct simulation);
  double capacity = AGENTS * SLOTS / WORK_MS; /* Requests per ms.  */
  double requests_due = 0;
  struct result result;

  sim->rand = g_rand_new_with_seed ((guint32)seed);
  sim->may_refuse = may_refuse;
  sim->pool = hs_agent_pool_create (sim, "a");
  for (unsigned int i = 0; i < LONG_FLOWS; i++)
    sim->flow_agents[i] = i % AGENTS;
  for (uint64_t now = 0; now < DURATION_MS; now++)
    {
      bool is_peak = now >= PEAK_FROM_MS && now < PEAK_TO_MS;

      complete_due (sim, now);
      for (unsigned int i = 0; i < AGENTS; i++)
        if (now % REPORT_MS == i * REPORT_MS / AGENTS)
          report_load (sim, i, now);
      if (now < REPORT_MS)
        continue;
      /* Slow requests raise the mean work by 18 %.  */
      requests_due += capacity / 1.18 * (is_peak ? peak_load : 0.5);
      for (; requests_due >= 1; requests_due -= 1)
        send_request (sim, now);
    }
  result = sim->result;
  g_rand_free (sim->rand);
  talloc_free (sim);
  return result;
}

static double
in_time_ratio (const struct result *result)
{
  return (double)result->in_time / result->requests;
}

/* At 1.25 times the capacity of the upstreams, refusing some requests
   immediately serves far more in time than queueing all.  */
static void
test_refusal_serves_more_in_time (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct result refusing = simulate (seed, 1.25, true);
      struct result accepting = simulate (seed, 1.25, false);

      g_test_message ("seed %llu: in time with refusal %.3f, without %.3f",
                      (unsigned long long)seed, in_time_ratio (&refusing),
                      in_time_ratio (&accepting));
      g_assert_cmpfloat (in_time_ratio (&refusing), >,
                         in_time_ratio (&accepting) + 0.1);
      g_assert_cmpuint (refusing.rejected, <, accepting.rejected);
    }
}

/* At 0.7 times the capacity, fewer than one request in 200 is refused.  */
static void
test_almost_no_refusals_below_capacity (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct result result = simulate (seed, 0.7, true);

      g_assert_cmpuint (result.refused, <, result.requests / 200);
      g_assert_cmpfloat (in_time_ratio (&result), >, 0.93);
    }
}

/* Fewer than a tenth of the refusals occur while a slot is free.  They are due
   to load reports that are up to 200 ms old.  */
static void
test_few_refused_with_free_slot (void)
{
  struct result result = simulate (1, 1.25, true);

  g_assert_cmpuint (result.refused, >, 0);
  g_assert_cmpuint (result.refused_with_free_slot, <, result.refused / 10);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crest/refusing-serves-more",
                   test_refusal_serves_more_in_time);
  g_test_add_func ("/crest/nothing-refused-below",
                   test_almost_no_refusals_below_capacity);
  g_test_add_func ("/crest/free-slot", test_few_refused_with_free_slot);
  return g_test_run ();
}
