/* bench_crest.c -- a peak of load: what callers get with the present decisions
   and with others.

   The simulation is that of tests/fakes/herd.h.  Worth counts a request that
   is answered in time as 1 and a late one as a half.  */

#include "bench.h"
#include "fakes/herd.h"

/* Constants.  */

#define SEEDS 20
#define LATE_WORTH 0.5

static const struct herd_load burst = { .base = 0.5, .peak = 1.3 };
static const struct herd_load uneven
    = { .base = 0.7, .peak = 0.9, .is_uneven = true };
static const struct herd_load slow_down
    = { .base = 0.7, .peak = 0.7, .is_uneven = true, .slow_from_ms = 4000 };

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
  double imbalance;
  double adapt_ms;
};

/* Private functions.  */

static void bench_burst (void);
static void bench_uneven (void);
static struct summary simulate (const struct herd_load *load,
                                enum herd_policy policy);
static void print_summary (const char *name, const struct summary *summary);

/* Public definitions.  */

int
main (void)
{
  bench_burst ();
  bench_uneven ();
  return 0;
}

/* Private definitions.  */

static void
bench_burst (void)
{
  struct summary present = simulate (&burst, HERD_PRESENT);
  struct summary accepting = simulate (&burst, HERD_AGENTS_ACCEPT);
  struct summary reports = simulate (&burst, HERD_REPORTS);
  struct summary random = simulate (&burst, HERD_RANDOM);
  struct summary ideal = simulate (&burst, HERD_IDEAL);

  print_summary ("burst", &present);
  print_summary ("burst_agents_accept", &accepting);
  print_summary ("burst_reports", &reports);
  print_summary ("burst_random", &random);
  print_summary ("burst_ideal", &ideal);
  bench_print_row ("worth_burst_capacity", present.capacity, "share");
  bench_print_row ("p99_ratio_burst", present.p99_ms / random.p99_ms, "ratio");
  bench_print_row ("refused_with_free_slot", present.refused_with_free_slot,
                   "share");
}

/* Upstreams of different speeds, and a tail of work.  */
static void
bench_uneven (void)
{
  struct summary present = simulate (&uneven, HERD_PRESENT);
  struct summary by_count = simulate (&uneven, HERD_BY_COUNT);
  struct summary ideal = simulate (&uneven, HERD_IDEAL);
  struct summary slowed = simulate (&slow_down, HERD_PRESENT);
  struct summary slowed_by_count = simulate (&slow_down, HERD_BY_COUNT);

  print_summary ("uneven", &present);
  print_summary ("uneven_by_count", &by_count);
  print_summary ("uneven_ideal", &ideal);
  print_summary ("slow_down", &slowed);
  print_summary ("slow_down_by_count", &slowed_by_count);
  bench_print_row ("work_imbalance", present.imbalance, "ratio");
  bench_print_row ("work_imbalance_by_count", by_count.imbalance, "ratio");
  bench_print_row ("work_imbalance_ideal", ideal.imbalance, "ratio");
  bench_print_row ("adapt_ms", slowed.adapt_ms, "ms");
}

static struct summary
simulate (const struct herd_load *load, enum herd_policy policy)
{
  struct summary summary = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct herd_result result = herd_simulate_load (seed, load, policy);
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
      summary.imbalance += result.imbalance / SEEDS;
      summary.adapt_ms += (double)result.adapt_ms / SEEDS;
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
