/* test_crest.c -- what callers get at a crest that the upstreams of a service
   cannot serve in full.

   The load: three quarters of the requests come on long flows that stay where
   they were placed, one quarter on short flows of one request, which are the
   more urgent ones.  Upstreams have 7 slots and 28 places to wait, and reject
   what is beyond.  Whoever is refused or rejected tries twice more, at once.
   The real fleet and sidecars decide, in virtual time and from a seed.  */

#include "base/addr.h"
#include "hibiscusspan.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

#define AGENTS 4
#define SLOTS 7
#define QUEUE 28
#define WORK_MS 50.0
#define TAIL_PERCENT 3 /* Of requests that take seven times as long.  */
#define TAIL_FACTOR 7.0
#define PLAY_MS 20000
#define CREST_FROM_MS 5000
#define CREST_TO_MS 15000
#define REPORT_MS 200
#define LONG_FLOWS 200
#define SLO_MS 250
#define TRIES 3
#define EVENTS_MAX 200000

struct upstream
{
  unsigned int running;
  unsigned int waiting_len;
  uint64_t waiting[QUEUE]; /* Since when, ms.  */
};

struct result
{
  unsigned int asked;
  unsigned int in_time;
  unsigned int late;
  unsigned int rejected;
  unsigned int refused;
  unsigned int refused_with_free_slot;
};

struct end
{
  uint64_t at; /* ms  */
  unsigned int agent;
};

struct crest
{
  GRand *rand;
  bool refuses;
  double share; /* Of what the upstreams can do, at the crest.  */
  struct hs_agent_pool *fleet;
  struct upstream upstreams[AGENTS];
  unsigned int homes[LONG_FLOWS]; /* Agent of each long flow.  */
  uint64_t seqs[AGENTS];
  size_t ends_len;
  struct end ends[EVENTS_MAX];
  struct result result;
};

/* Private functions.  */

static uint64_t
slot_of (unsigned int agent)
{
  return agent + 1;
}

static void
report (struct crest *crest, unsigned int agent, uint64_t now)
{
  const struct upstream *upstream = &crest->upstreams[agent];
  struct hs_load_report load
      = { .agent_id = slot_of (agent),
          .incarnation = 1,
          .seq = ++crest->seqs[agent],
          .service_id = 1,
          .state = HS_AGENT_READY,
          .slots = SLOTS,
          .requests_in_progress = upstream->running + upstream->waiting_len,
          .open_flows = LONG_FLOWS / AGENTS,
          .mean_work_us = (uint32_t)(WORK_MS * 1000),
          .zone = "a" };

  hs_agent_pool_update (crest->fleet, &load, now);
}

static uint64_t
draw_work (struct crest *crest)
{
  double work = -WORK_MS * log (g_rand_double_range (crest->rand, 0.001, 1));

  if (g_rand_int_range (crest->rand, 0, 100) < TAIL_PERCENT)
    work *= TAIL_FACTOR;
  return (uint64_t)work + 1;
}

static void
begin (struct crest *crest, unsigned int agent, uint64_t asked_at,
       uint64_t now)
{
  uint64_t work = draw_work (crest);

  crest->upstreams[agent].running++;
  g_assert_cmpuint (crest->ends_len, <, EVENTS_MAX);
  crest->ends[crest->ends_len++] = (struct end){ now + work, agent };
  if (now + work - asked_at <= SLO_MS)
    crest->result.in_time++;
  else
    crest->result.late++;
}

/* False: the upstream has rejected it.  */
static bool
offer (struct crest *crest, unsigned int agent, uint64_t asked_at,
       uint64_t now)
{
  struct upstream *upstream = &crest->upstreams[agent];

  if (upstream->running < SLOTS)
    {
      begin (crest, agent, asked_at, now);
      return true;
    }
  if (upstream->waiting_len == QUEUE)
    return false;
  upstream->waiting[upstream->waiting_len++] = asked_at;
  return true;
}

static void
finish_due (struct crest *crest, uint64_t now)
{
  for (size_t i = 0; i < crest->ends_len; i++)
    {
      unsigned int agent = crest->ends[i].agent;
      struct upstream *upstream = &crest->upstreams[agent];

      if (crest->ends[i].at > now)
        continue;
      crest->ends[i--] = crest->ends[--crest->ends_len];
      upstream->running--;
      if (upstream->waiting_len == 0)
        continue;
      begin (crest, agent, upstream->waiting[0], now);
      upstream->waiting_len--;
      memmove (upstream->waiting, upstream->waiting + 1,
               upstream->waiting_len * sizeof *upstream->waiting);
    }
}

static bool
has_free_slot (const struct crest *crest)
{
  for (unsigned int i = 0; i < AGENTS; i++)
    if (crest->upstreams[i].running < SLOTS)
      return true;
  return false;
}

/* A new flow, as an entry places it; false: refused or rejected.  */
static bool
place (struct crest *crest, uint32_t priority, uint64_t asked_at, uint64_t now)
{
  const struct hs_pool_agent *backend;

  if (crest->refuses
      && hs_agent_pool_is_overloaded (crest->fleet, 1, SLO_MS, priority, now))
    {
      crest->result.refused++;
      crest->result.refused_with_free_slot += has_free_slot (crest);
      return false;
    }
  backend = hs_agent_pool_place_flow (crest->fleet, 1, NULL, 0, now);
  g_assert_nonnull (backend);
  if (offer (crest, (unsigned int)backend->report.agent_id - 1, asked_at, now))
    return true;
  crest->result.rejected++;
  return false;
}

static void
ask (struct crest *crest, uint64_t now)
{
  unsigned int tries = 0;
  bool is_short = g_rand_int_range (crest->rand, 0, 4) == 0;

  crest->result.asked++;
  if (!is_short)
    {
      unsigned int flow
          = (unsigned int)g_rand_int_range (crest->rand, 0, LONG_FLOWS);

      tries++;
      if (offer (crest, crest->homes[flow], now, now))
        return;
      crest->result.rejected++;
    }
  while (tries++ < TRIES)
    if (place (crest, is_short ? 1 : 2, now, now))
      return;
}

static struct result
play (uint64_t seed, double share, bool refuses)
{
  struct crest *crest = talloc_zero (NULL, struct crest);
  double capacity = AGENTS * SLOTS / WORK_MS; /* Requests a ms.  */
  double due = 0;
  struct result result;

  crest->rand = g_rand_new_with_seed ((guint32)seed);
  crest->refuses = refuses;
  crest->fleet = hs_agent_pool_create (crest, "a");
  for (unsigned int i = 0; i < LONG_FLOWS; i++)
    crest->homes[i] = i % AGENTS;
  for (uint64_t now = 0; now < PLAY_MS; now++)
    {
      bool crests = now >= CREST_FROM_MS && now < CREST_TO_MS;

      finish_due (crest, now);
      for (unsigned int i = 0; i < AGENTS; i++)
        if (now % REPORT_MS == i * REPORT_MS / AGENTS)
          report (crest, i, now);
      if (now < REPORT_MS)
        continue;
      /* The tail adds a fifth to the work.  */
      due += capacity / 1.18 * (crests ? share : 0.5);
      for (; due >= 1; due -= 1)
        ask (crest, now);
    }
  result = crest->result;
  g_rand_free (crest->rand);
  talloc_free (crest);
  return result;
}

static double
share_in_time (const struct result *result)
{
  return (double)result->in_time / result->asked;
}

/* At a quarter more than can be done, refusing at once serves far more
   requests in time than letting them wait.  */
static void
test_refusing_serves_more (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct result with = play (seed, 1.25, true);
      struct result without = play (seed, 1.25, false);

      g_test_message ("seed %llu: in time %.3f, %.3f without refusing",
                      (unsigned long long)seed, share_in_time (&with),
                      share_in_time (&without));
      g_assert_cmpfloat (share_in_time (&with), >,
                         share_in_time (&without) + 0.1);
      g_assert_cmpuint (with.rejected, <, without.rejected);
    }
}

/* Below what can be done nothing is refused.  */
static void
test_nothing_refused_below (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct result result = play (seed, 0.7, true);

      g_assert_cmpuint (result.refused, <, result.asked / 200);
      g_assert_cmpfloat (share_in_time (&result), >, 0.93);
    }
}

/* A refusal with a slot free goes back to reports that are up to 200 ms
   old.  */
static void
test_few_refused_with_free_slot (void)
{
  struct result result = play (1, 1.25, true);

  g_assert_cmpuint (result.refused, >, 0);
  g_assert_cmpuint (result.refused_with_free_slot, <, result.refused / 10);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crest/refusing-serves-more", test_refusing_serves_more);
  g_test_add_func ("/crest/nothing-refused-below", test_nothing_refused_below);
  g_test_add_func ("/crest/free-slot", test_few_refused_with_free_slot);
  return g_test_run ();
}
