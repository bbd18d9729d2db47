/* bench_crest.c -- a peak of load: what callers get with the present decisions
   and with others.

   The simulation is that of tests/fakes/herd.h.  Worth counts a request that
   is answered in time as 1 and a late one as a half.  */

#include "bench.h"
#include "fakes/herd.h"

/* Constants.  */

#define SEEDS 20
#define PEAK_LOAD 1.3
#define LATE_WORTH 0.5

/* Means over the seeds; shares are of the requests.  */
struct summary
{
  double worth;
  double in_time;
  double p50_ms;
  double p99_ms;
  double rejected; /* Attempts.  */
  double refused;
  double refused_with_free_slot;
  double capacity;
};

/* Private functions.  */

static struct summary simulate (enum herd_policy policy);
static void print_summary (const char *name, const struct summary *summary);

/* Public definitions.  */

int
main (void)
{
  struct summary present = simulate (HERD_PRESENT);
  struct summary accepting = simulate (HERD_AGENTS_ACCEPT);
  struct summary reports = simulate (HERD_REPORTS);
  struct summary random = simulate (HERD_RANDOM);
  struct summary ideal = simulate (HERD_IDEAL);

  print_summary ("burst", &present);
  print_summary ("burst_agents_accept", &accepting);
  print_summary ("burst_reports", &reports);
  print_summary ("burst_random", &random);
  print_summary ("burst_ideal", &ideal);
  bench_print_row ("worth_burst_capacity", present.capacity, "share");
  bench_print_row ("p99_ratio_burst", present.p99_ms / random.p99_ms, "ratio");
  bench_print_row ("refused_with_free_slot", present.refused_with_free_slot,
                   "share");
  return 0;
}

/* Private definitions.  */

static struct summary
simulate (enum herd_policy policy)
{
  struct summary summary = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct herd_result result = herd_simulate (seed, PEAK_LOAD, policy);
      double requests = result.requests;

      summary.worth
          += (result.in_time + LATE_WORTH * result.late) / requests / SEEDS;
      summary.in_time += result.in_time / requests / SEEDS;
      summary.p50_ms += result.p50_ms / SEEDS;
      summary.p99_ms += result.p99_ms / SEEDS;
      summary.rejected += result.rejected / requests / SEEDS;
      summary.refused += result.refused / requests / SEEDS;
      summary.refused_with_free_slot
          += result.refused_with_free_slot / requests / SEEDS;
      summary.capacity += result.capacity_ratio / SEEDS;
    }
  return summary;
}

static void
print_summary (const char *name, const struct summary *summary)
{
  const struct
  {
    const char *prefix;
    double value;
    const char *unit;
  } rows[] = { { "worth", summary->worth, "share" },
               { "in_time", summary->in_time, "share" },
               { "p50", summary->p50_ms, "ms" },
               { "p99", summary->p99_ms, "ms" },
               { "rejected", summary->rejected, "share" },
               { "refused", summary->refused, "share" } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *row = g_strdup_printf ("%s_%s", rows[i].prefix, name);

      bench_print_row (row, rows[i].value, rows[i].unit);
    }
}
