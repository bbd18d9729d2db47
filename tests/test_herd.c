/* test_herd.c -- a peak of load at many entries that place flows on the same
   upstreams.

   Guards against herds: each entry knows the loads of a few agents, from up to
   some 200 ms ago, and none of the flows that the other entries have placed
   since.  Many of them place flows on the same idle upstream, whose queue then
   overflows while others have free slots.  */

#include "fakes/herd.h"
#include "hibiscusspan.h"

/* Types.  */

#define SEEDS 10

/* Private functions.  */

static double
in_time_ratio (const struct herd_result *result)
{
  return (double)result->in_time / result->requests;
}

/* Above the capacity of the upstreams, fewer than one request in a hundred
   finds the queue of its upstream full, and more requests are in time than if
   agents accepted every flow.  */
static void
test_agents_refuse_at_peak (void)
{
  double in_time[2] = { 0, 0 };
  unsigned int rejected[2] = { 0, 0 };
  unsigned int requests = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int refuses = 0; refuses < 2; refuses++)
      {
        struct herd_result result = herd_simulate (
            seed, 1.3, refuses != 0 ? HERD_PRESENT : HERD_AGENTS_ACCEPT);

        in_time[refuses] += in_time_ratio (&result) / SEEDS;
        rejected[refuses] += result.rejected;
        requests += refuses != 0 ? result.requests : 0;
      }
  g_test_message (
      "agents refuse: in time %.4f, rejected %u of %u; they accept "
      "all: %.4f, %u",
      in_time[1], rejected[1], requests, in_time[0], rejected[0]);
  g_assert_cmpuint (rejected[1] * 100, <, requests);
  g_assert_cmpfloat (in_time[1], >, in_time[0]);
}

/* At half of the capacity nothing is refused, and nearly all are in time.  */
static void
test_nothing_refused_at_half_load (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct herd_result result = herd_simulate (seed, 0.5, HERD_PRESENT);

      g_assert_cmpuint (result.refused, ==, 0);
      g_assert_cmpfloat (in_time_ratio (&result), >, 0.99);
    }
}

/* Where upstreams differ in speed and some requests take far longer than
   others, more requests are in time than if flows were placed by the number of
   requests.  */
static void
test_uneven_by_work (void)
{
  const struct herd_load load
      = { .base = 0.7, .peak = 0.9, .is_uneven = true };
  unsigned int by_work = 0;
  unsigned int by_count = 0;
  unsigned int better = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct herd_result work = herd_simulate_load (seed, &load, HERD_PRESENT);
      struct herd_result count
          = herd_simulate_load (seed, &load, HERD_BY_COUNT);

      by_work += work.in_time;
      by_count += count.in_time;
      better += work.in_time > count.in_time;
    }
  g_test_message ("in time by work %u, by count %u; better in %u of %u runs",
                  by_work, by_count, better, SEEDS);
  g_assert_cmpuint (by_work, >, by_count);
  g_assert_cmpuint (better, >=, SEEDS * 8 / 10);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/herd/peak", test_agents_refuse_at_peak);
  g_test_add_func ("/herd/half-load", test_nothing_refused_at_half_load);
  g_test_add_func ("/herd/uneven", test_uneven_by_work);
  return g_test_run ();
}
