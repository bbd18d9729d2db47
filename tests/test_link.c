/* test_link.c -- uploads and short requests on the entries' uplinks.

   Guards against two failures of a slow uplink.  Its short queue drops what
   exceeds it, such as half of the segments that a caller of an upload sends at
   once, and each of them is sent again only after a timeout.  And if more
   uploads are accepted than the uplink can carry, their retransmissions fill
   it, until even short requests are late.

   The uplinks queue for 50 ms and then drop.  Short requests have three
   segments; uploads have 40 KB and up to 16 segments in flight.  A segment
   that has not arrived is sent again after 200 ms, with the delay doubling up
   to 1.6 s.  A refused caller retries twice, without delay, at any entry.
   hs_egress decides when a segment is sent and hs_uplink what is refused, in
   virtual time; each run is determined by its seed.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define ENTRIES 3
#define UPLINK_QUEUE_MS 50
#define FRAME_OVERHEAD_SIZE 66
#define ROUND_TRIP_MS 8
#define RETRANSMIT_MIN_MS 200
#define RETRANSMIT_MAX_MS 1600
#define DURATION_MS 20000
#define FLOWS_MAX 40000
#define SEGMENT_SIZE_MAX 1300
#define ATTEMPTS 3

struct workload
{
  double flows_per_ms;
  enum hs_request_class request_class;
  enum hs_egress_class egress_class;
  uint32_t priority;
  unsigned int segments;
  unsigned int window_segments;
  size_t segment_size; /* Bytes of UDP payload.  */
  uint64_t slo_ms;
  uint64_t deadline_ms;
};

enum workload_kind
{
  SHORT,
  UPLOAD,
  WORKLOADS
};

struct flow
{
  enum workload_kind kind;
  size_t entry;
  uint64_t started_at;     /* ms  */
  uint64_t window_sent_at; /* ms  */
  uint64_t next_window_at; /* ms; 0: segments are in flight.  */
  uint64_t retransmit_ms;
  unsigned int segments_left; /* After those in flight.  */
  unsigned int window;        /* Number of the window in flight.  */
  unsigned int in_flight;     /* One bit for each segment.  */
};

struct datagram
{
  size_t flow;
  unsigned int window;
  unsigned int segment; /* In the window.  */
};

/* An entry and its uplink.  */
struct entry
{
  struct simulation *sim;
  struct hs_egress *egress;
  struct hs_uplink *uplink;
  double link_ms; /* Time until the uplink has sent what it queues.  */
};

struct result
{
  unsigned int flows;
  unsigned int in_time;
  unsigned int refused;
};

/* How the entries treat their uplinks.  */
struct policy
{
  bool may_refuse;
  bool may_queue; /* Use the egress queue; else send at once.  */
};

struct simulation
{
  GRand *rand;
  struct policy policy;
  double bytes_per_ms; /* Of an uplink.  */
  uint64_t now;        /* ms  */
  struct workload workloads[WORKLOADS];
  struct entry entries[ENTRIES];
  size_t flows_len;
  struct flow flows[FLOWS_MAX];
  size_t active_len;
  size_t active[FLOWS_MAX]; /* Indexes of flows.  */
  struct result results[WORKLOADS];
};

/* Private functions.  */

static void
deliver (struct simulation *sim, const struct datagram *datagram)
{
  struct flow *flow = &sim->flows[datagram->flow];

  if (flow->window != datagram->window)
    return;
  flow->in_flight &= ~(1U << datagram->segment);
  if (flow->in_flight != 0)
    return;
  flow->next_window_at = sim->now + ROUND_TRIP_MS;
  flow->retransmit_ms = RETRANSMIT_MIN_MS;
}

/* Gives a datagram to the uplink, which drops it if its queue is full.  The
   receiver counts as reached at once: the wait is in next_window_at.  */
static void
transmit (void *ctx, const struct hs_addr *to, const uint8_t *data, size_t len)
{
  struct entry *entry = ctx;
  struct datagram datagram;
  uint64_t now = entry->sim->now;

  (void)to;
  if (entry->link_ms > UPLINK_QUEUE_MS)
    return;
  entry->link_ms
      += (double)(len + FRAME_OVERHEAD_SIZE) / entry->sim->bytes_per_ms;
  memcpy (&datagram, data, sizeof datagram);
  entry->sim->now += (uint64_t)entry->link_ms;
  deliver (entry->sim, &datagram);
  entry->sim->now = now;
}

static void
send_segment (struct simulation *sim, size_t index, unsigned int segment)
{
  struct flow *flow = &sim->flows[index];
  const struct workload *workload = &sim->workloads[flow->kind];
  struct entry *entry = &sim->entries[flow->entry];
  struct datagram datagram = { index, flow->window, segment };
  struct hs_addr to = { .port = 1 };
  uint8_t data[SEGMENT_SIZE_MAX] = { 0 };
  uint64_t tag = ((uint64_t)index << 20) + flow->window * 16 + segment + 1;

  memcpy (data, &datagram, sizeof datagram);
  if (!sim->policy.may_queue
      || hs_egress_take (entry->egress, workload->egress_class,
                         workload->segment_size, sim->now))
    transmit (entry, &to, data, workload->segment_size);
  else
    hs_egress_queue (entry->egress, workload->egress_class, tag, &to, data,
                     workload->segment_size);
}

static void
send_window (struct simulation *sim, size_t index)
{
  struct flow *flow = &sim->flows[index];
  const struct workload *workload = &sim->workloads[flow->kind];
  unsigned int len = flow->segments_left < workload->window_segments
                         ? flow->segments_left
                         : workload->window_segments;

  flow->segments_left -= len;
  flow->window++;
  flow->window_sent_at = sim->now;
  flow->next_window_at = 0;
  flow->in_flight = (1U << len) - 1;
  for (unsigned int i = 0; i < len; i++)
    send_segment (sim, index, i);
}

static void
resend_window (struct simulation *sim, size_t index)
{
  struct flow *flow = &sim->flows[index];
  unsigned int in_flight = flow->in_flight;

  flow->window_sent_at = sim->now;
  if (flow->retransmit_ms < RETRANSMIT_MAX_MS)
    flow->retransmit_ms *= 2;
  for (unsigned int i = 0; in_flight >> i != 0; i++)
    if ((in_flight >> i & 1) != 0)
      send_segment (sim, index, i);
}

static void
start_flow (struct simulation *sim, enum workload_kind kind)
{
  const struct workload *workload = &sim->workloads[kind];
  struct flow flow = { .kind = kind,
                       .started_at = sim->now,
                       .next_window_at = sim->now,
                       .retransmit_ms = RETRANSMIT_MIN_MS,
                       .segments_left = workload->segments };

  sim->results[kind].flows++;
  for (unsigned int attempts = 0; attempts < ATTEMPTS; attempts++)
    {
      flow.entry = (size_t)g_rand_int_range (sim->rand, 0, ENTRIES);
      if (!sim->policy.may_refuse
          || !hs_uplink_refuses_flow (
              sim->entries[flow.entry].uplink, workload->request_class,
              (uint32_t)workload->slo_ms, workload->priority, sim->now))
        {
          g_assert_cmpuint (sim->flows_len, <, FLOWS_MAX);
          sim->active[sim->active_len++] = sim->flows_len;
          sim->flows[sim->flows_len++] = flow;
          return;
        }
      sim->results[kind].refused++;
    }
}

/* Returns whether the flow has ended.  */
static bool
advance_flow (struct simulation *sim, size_t index)
{
  struct flow *flow = &sim->flows[index];
  const struct workload *workload = &sim->workloads[flow->kind];
  uint64_t age_ms = sim->now - flow->started_at;

  if (age_ms >= workload->deadline_ms)
    return true;
  if (flow->next_window_at == 0)
    {
      if (sim->now - flow->window_sent_at >= flow->retransmit_ms)
        resend_window (sim, index);
      return false;
    }
  if (flow->next_window_at > sim->now)
    return false;
  if (flow->segments_left > 0)
    {
      send_window (sim, index);
      return false;
    }
  sim->results[flow->kind].in_time += age_ms <= workload->slo_ms;
  return true;
}

static void
advance (struct simulation *sim)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      struct entry *entry = &sim->entries[i];

      entry->link_ms = MAX (entry->link_ms - 1, 0);
      if (hs_egress_flush_at (entry->egress) <= sim->now)
        hs_egress_flush (entry->egress, sim->now);
    }
  for (size_t i = 0; i < sim->active_len; i++)
    if (advance_flow (sim, sim->active[i]))
      sim->active[i--] = sim->active[--sim->active_len];
}

/* Runs the simulation.  DEMAND: offered load as a share of the rate of all
   uplinks, nine tenths of it uploads.  The result is to be freed with
   talloc_free.  */
static struct simulation *
simulate (uint64_t seed, double mbit_per_s, double demand,
          struct policy policy)
{
  double bytes_per_ms = mbit_per_s * 1000 / 8;
  double rate = demand * ENTRIES * bytes_per_ms;
  double flows_due[WORKLOADS] = { 0 };
  struct hs_egress_ops ops = { transmit };
  struct simulation *sim = talloc_zero (NULL, struct simulation);

  sim->workloads[SHORT]
      = (struct workload){ .flows_per_ms = 0.1 * rate / (3 * 338),
                           .request_class = HS_REQUEST_CLASS_ONCE,
                           .egress_class = HS_EGRESS_SHORT,
                           .priority = 1,
                           .segments = 3,
                           .window_segments = 1,
                           .segment_size = 272,
                           .slo_ms = 300,
                           .deadline_ms = 3000 };
  sim->workloads[UPLOAD]
      = (struct workload){ .flows_per_ms = 0.9 * rate / (34 * 1292),
                           .request_class = HS_REQUEST_CLASS_UPLOAD,
                           .egress_class = HS_EGRESS_BULK,
                           .priority = 2,
                           .segments = 34,
                           .window_segments = 16,
                           .segment_size = 1226,
                           .slo_ms = 800,
                           .deadline_ms = 6000 };
  sim->rand = g_rand_new_with_seed ((guint32)seed);
  sim->policy = policy;
  sim->bytes_per_ms = bytes_per_ms;
  for (size_t i = 0; i < ENTRIES; i++)
    {
      struct entry *entry = &sim->entries[i];

      entry->sim = sim;
      entry->egress = hs_egress_create (sim, mbit_per_s, &ops, entry);
      entry->uplink = hs_uplink_create (sim, mbit_per_s, entry->egress);
    }
  for (sim->now = 1; sim->now < DURATION_MS; sim->now++)
    {
      for (size_t kind = 0; kind < WORKLOADS; kind++)
        {
          flows_due[kind] += sim->workloads[kind].flows_per_ms
                             * g_rand_double_range (sim->rand, 0, 2);
          for (; flows_due[kind] >= 1; flows_due[kind] -= 1)
            start_flow (sim, kind);
        }
      advance (sim);
    }
  g_rand_free (sim->rand);
  return sim;
}

static double
in_time_ratio (const struct simulation *sim, size_t kind)
{
  return (double)sim->results[kind].in_time / sim->results[kind].flows;
}

/* At 1.1 times the rate of the uplinks, refusing some uploads serves more of
   them in time than accepting all, and short requests are in time.  Without
   the egress queue, the uplinks drop the segments of both.  */
static void
test_refusal_serves_more_in_time (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct simulation *refusing
          = simulate (seed, 6.9, 1.1, (struct policy){ true, true });
      struct simulation *accepting
          = simulate (seed, 6.9, 1.1, (struct policy){ false, true });
      struct simulation *dropping
          = simulate (seed, 6.9, 1.1, (struct policy){ false, false });

      g_test_message (
          "seed %llu: in time with refusal, without it, and without both: "
          "short requests %.3f, %.3f and %.3f, uploads %.3f, %.3f and %.3f",
          (unsigned long long)seed, in_time_ratio (refusing, SHORT),
          in_time_ratio (accepting, SHORT), in_time_ratio (dropping, SHORT),
          in_time_ratio (refusing, UPLOAD), in_time_ratio (accepting, UPLOAD),
          in_time_ratio (dropping, UPLOAD));
      g_assert_cmpfloat (in_time_ratio (refusing, SHORT), >, 0.99);
      g_assert_cmpfloat (in_time_ratio (refusing, SHORT), >,
                         in_time_ratio (dropping, SHORT) + 0.1);
      g_assert_cmpfloat (in_time_ratio (refusing, UPLOAD), >,
                         in_time_ratio (accepting, UPLOAD));
      talloc_free (refusing);
      talloc_free (accepting);
      talloc_free (dropping);
    }
}

/* At half of the uplinks' rate no short request is refused, and few uploads
   are: those that arrive at one uplink at the same time.  */
static void
test_few_refusals_at_half_load (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct simulation *sim
          = simulate (seed, 6.9, 0.5, (struct policy){ true, true });

      g_assert_cmpuint (sim->results[SHORT].refused, ==, 0);
      g_assert_cmpuint (sim->results[UPLOAD].refused * 10, <,
                        sim->results[UPLOAD].flows);
      g_assert_cmpfloat (in_time_ratio (sim, UPLOAD), >, 0.98);
      talloc_free (sim);
    }
}

/* On uplinks of 2 Mbit/s, whose queue holds ten segments, uploads are in time
   at a quarter of the rate; sent without the egress queue, they lose segments
   in each window.  */
static void
test_slow_uplink_keeps_windows (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct simulation *queueing
          = simulate (seed, 2, 0.25, (struct policy){ true, true });
      struct simulation *dropping
          = simulate (seed, 2, 0.25, (struct policy){ true, false });

      g_test_message ("seed %llu: uploads in time %.3f, without the egress "
                      "queue %.3f",
                      (unsigned long long)seed,
                      in_time_ratio (queueing, UPLOAD),
                      in_time_ratio (dropping, UPLOAD));
      g_assert_cmpfloat (in_time_ratio (queueing, SHORT), >, 0.99);
      g_assert_cmpfloat (in_time_ratio (queueing, UPLOAD), >, 0.95);
      g_assert_cmpfloat (in_time_ratio (dropping, UPLOAD), <, 0.9);
      talloc_free (queueing);
      talloc_free (dropping);
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
  g_test_add_func ("/link/slow-uplink-keeps-windows",
                   test_slow_uplink_keeps_windows);
  return g_test_run ();
}
