/* test_link.c -- uploads beyond the rate of the entries' uplinks.

   Guards against the collapse of a full uplink: it drops segments of all
   flows, and the retransmissions fill it further, until even short requests
   are late.

   Three entries have uplinks of 6.9 Mbit/s that queue for half a second and
   then drop.  Short requests have three segments; uploads have 40 KB and up to
   16 segments in flight.  A lost segment is sent again after 200 ms, with the
   delay doubling up to 1.6 s.  A refused caller retries twice, without delay,
   at any entry.  hs_uplink decides what is refused, in virtual time; each run
   is determined by its seed.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

#define ENTRIES 3
#define UPLINK_MBPS 6.9
#define UPLINK_BYTES_PER_MS (UPLINK_MBPS * 1000 / 8)
#define UPLINK_QUEUE_MS 500
#define IP_UDP_HEADERS_SIZE 28
#define ROUND_TRIP_MS 8
#define RETRANSMIT_MIN_MS 200
#define RETRANSMIT_MAX_MS 1600
#define DURATION_MS 20000
#define FLOWS_MAX 40000
#define ATTEMPTS 3

struct workload
{
  double flows_per_ms;
  enum hs_request_class request_class;
  uint32_t priority;
  unsigned int segments;
  unsigned int window_segments;
  size_t segment_size; /* Bytes of UDP payload.  */
  uint64_t slo_ms;
  uint64_t deadline_ms;
};

struct flow
{
  const struct workload *workload;
  size_t entry;
  uint64_t started_at;    /* ms  */
  uint64_t next_event_at; /* ms, of the next segments or of the end.  */
  uint64_t retransmit_ms;
  unsigned int segments_left;
};

struct result
{
  unsigned int flows;
  unsigned int in_time;
  unsigned int refused;
};

struct simulation
{
  GRand *rand;
  bool may_refuse;
  struct hs_uplink *uplinks[ENTRIES];
  double queued_bytes[ENTRIES]; /* In the simulated uplinks.  */
  size_t flows_len;
  struct flow flows[FLOWS_MAX];
  struct result results[2]; /* Indexed by enum workload_kind.  */
};

enum workload_kind
{
  SHORT,
  UPLOAD
};

/* Private functions.  */

static void
start_flow (struct simulation *sim, size_t kind,
            const struct workload *workload, uint64_t now)
{
  struct flow flow = { .workload = workload,
                       .started_at = now,
                       .next_event_at = now,
                       .retransmit_ms = RETRANSMIT_MIN_MS,
                       .segments_left = workload->segments };

  sim->results[kind].flows++;
  for (unsigned int attempts = 0; attempts < ATTEMPTS; attempts++)
    {
      flow.entry = (size_t)g_rand_int_range (sim->rand, 0, ENTRIES);
      if (!sim->may_refuse
          || !hs_uplink_refuses_flow (sim->uplinks[flow.entry],
                                      workload->request_class,
                                      workload->priority, now))
        {
          g_assert_cmpuint (sim->flows_len, <, FLOWS_MAX);
          sim->flows[sim->flows_len++] = flow;
          return;
        }
      sim->results[kind].refused++;
    }
}

/* Sends the segments of FLOW that may be in flight at once.  */
static void
send_window (struct simulation *sim, struct flow *flow, uint64_t now)
{
  const struct workload *workload = flow->workload;
  unsigned int len = flow->segments_left < workload->window_segments
                         ? flow->segments_left
                         : workload->window_segments;
  double *queued_bytes = &sim->queued_bytes[flow->entry];
  unsigned int lost = 0;

  for (unsigned int i = 0; i < len; i++)
    {
      hs_uplink_count (sim->uplinks[flow->entry], HS_UPLINK_OUT,
                       workload->segment_size, now);
      if (*queued_bytes > UPLINK_QUEUE_MS * UPLINK_BYTES_PER_MS)
        {
          lost++;
          continue;
        }
      *queued_bytes += (double)(workload->segment_size + IP_UDP_HEADERS_SIZE);
      flow->segments_left--;
    }
  flow->next_event_at
      = now + ROUND_TRIP_MS + (uint64_t)(*queued_bytes / UPLINK_BYTES_PER_MS);
  if (lost == 0)
    {
      flow->retransmit_ms = RETRANSMIT_MIN_MS;
      return;
    }
  flow->next_event_at = now + flow->retransmit_ms;
  if (flow->retransmit_ms < RETRANSMIT_MAX_MS)
    flow->retransmit_ms *= 2;
}

static void
advance (struct simulation *sim, uint64_t now)
{
  for (size_t i = 0; i < ENTRIES; i++)
    sim->queued_bytes[i] = MAX (sim->queued_bytes[i] - UPLINK_BYTES_PER_MS, 0);
  for (size_t i = 0; i < sim->flows_len; i++)
    {
      struct flow *flow = &sim->flows[i];
      size_t kind = flow->workload->request_class == HS_REQUEST_CLASS_UPLOAD
                        ? UPLOAD
                        : SHORT;

      if (flow->next_event_at > now)
        continue;
      if (flow->segments_left > 0
          && now - flow->started_at < flow->workload->deadline_ms)
        {
          send_window (sim, flow, now);
          continue;
        }
      if (flow->segments_left == 0
          && now - flow->started_at <= flow->workload->slo_ms)
        sim->results[kind].in_time++;
      *flow = sim->flows[--sim->flows_len];
      i--;
    }
}

/* Runs the simulation.  DEMAND: offered load as a share of the rate of all
   uplinks.  MAY_REFUSE: whether new flows may be refused.  The result is to be
   freed with talloc_free.  */
static struct simulation *
simulate (uint64_t seed, double demand, bool may_refuse)
{
  double rate = demand * ENTRIES * UPLINK_BYTES_PER_MS;
  struct workload workloads[2]
      = { [SHORT] = { .flows_per_ms = 0.1 * rate / (3 * 300),
                      .request_class = HS_REQUEST_CLASS_ONCE,
                      .priority = 1,
                      .segments = 3,
                      .window_segments = 1,
                      .segment_size = 272,
                      .slo_ms = 300,
                      .deadline_ms = 3000 },
          [UPLOAD] = { .flows_per_ms = 0.9 * rate / (34 * 1254),
                       .request_class = HS_REQUEST_CLASS_UPLOAD,
                       .priority = 2,
                       .segments = 34,
                       .window_segments = 16,
                       .segment_size = 1226,
                       .slo_ms = 800,
                       .deadline_ms = 6000 } };
  double flows_due[2] = { 0, 0 };
  struct simulation *sim = talloc_zero (NULL, struct simulation);

  sim->rand = g_rand_new_with_seed ((guint32)seed);
  sim->may_refuse = may_refuse;
  for (size_t i = 0; i < ENTRIES; i++)
    sim->uplinks[i] = hs_uplink_create (sim, UPLINK_MBPS);
  for (uint64_t now = 0; now < DURATION_MS; now++)
    {
      for (size_t kind = 0; kind < 2; kind++)
        {
          flows_due[kind] += workloads[kind].flows_per_ms
                             * g_rand_double_range (sim->rand, 0, 2);
          for (; flows_due[kind] >= 1; flows_due[kind] -= 1)
            start_flow (sim, kind, &workloads[kind], now);
        }
      advance (sim, now);
    }
  g_rand_free (sim->rand);
  return sim;
}

static double
in_time_ratio (const struct simulation *sim, size_t kind)
{
  return (double)sim->results[kind].in_time / sim->results[kind].flows;
}

/* At 1.1 times the rate of the uplinks, if nothing is refused, the uplinks are
   full of retransmissions and flows end late.  */
static void
test_refusal_serves_more_in_time (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct simulation *refusing = simulate (seed, 1.1, true);
      struct simulation *accepting = simulate (seed, 1.1, false);

      g_test_message (
          "seed %llu: in time with and without refusal: short requests %.3f "
          "and %.3f, uploads %.3f and %.3f",
          (unsigned long long)seed, in_time_ratio (refusing, SHORT),
          in_time_ratio (accepting, SHORT), in_time_ratio (refusing, UPLOAD),
          in_time_ratio (accepting, UPLOAD));
      g_assert_cmpfloat (in_time_ratio (refusing, SHORT), >, 0.99);
      g_assert_cmpfloat (in_time_ratio (refusing, SHORT), >,
                         in_time_ratio (accepting, SHORT) + 0.1);
      g_assert_cmpfloat (in_time_ratio (refusing, UPLOAD), >,
                         in_time_ratio (accepting, UPLOAD));
      talloc_free (refusing);
      talloc_free (accepting);
    }
}

/* At half of the uplinks' rate no short request is refused, and few uploads
   are: those that arrive at one uplink at the same time.  */
static void
test_few_refusals_at_half_load (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct simulation *sim = simulate (seed, 0.5, true);

      g_assert_cmpuint (sim->results[SHORT].refused, ==, 0);
      g_assert_cmpuint (sim->results[UPLOAD].refused * 10, <,
                        sim->results[UPLOAD].flows);
      g_assert_cmpfloat (in_time_ratio (sim, UPLOAD), >, 0.98);
      talloc_free (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link/refusing-serves-more",
                   test_refusal_serves_more_in_time);
  g_test_add_func ("/link/little-refused-below",
                   test_few_refusals_at_half_load);
  return g_test_run ();
}
