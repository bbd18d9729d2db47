/* test_cost_model.c -- the learned work of requests, and placement by it.

   Guards against flows that go to upstreams by the number of their requests
   alone: slow upstreams then get as many as fast ones, and a single long
   request looks like any other.  */

#include "base/addr.h"
#include "hibiscusspan.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

#define WORK_US 20000
#define SERVICE_ID 1

/* Private functions.  */

static struct hs_addr
address_of (unsigned int route)
{
  return hs_addr_from_ipv4 (0xc6120001 + route, 80);
}

static void
add_samples (struct hs_cost_model *model, unsigned int route, unsigned int len,
             uint64_t work_us)
{
  struct hs_addr address = address_of (route);

  for (unsigned int i = 0; i < len; i++)
    hs_cost_model_add_sample (model, &address, work_us);
}

static double
expected_us (const struct hs_cost_model *model, unsigned int route)
{
  struct hs_addr address = address_of (route);

  return hs_cost_model_expected_us (model, &address);
}

static double
remaining_us (const struct hs_cost_model *model, unsigned int route,
              uint64_t elapsed_us)
{
  struct hs_addr address = address_of (route);

  return hs_cost_model_remaining_us (model, &address, elapsed_us);
}

static double
draw_exponential (GRand *rand, double mean)
{
  return -mean * log (g_rand_double_range (rand, 0.000001, 1));
}

static void
assert_near (double value, double expected, double tolerance)
{
  g_assert_cmpfloat (value, >=, expected * (1 - tolerance));
  g_assert_cmpfloat (value, <=, expected * (1 + tolerance));
}

/* Guards against buckets that distort the mean or the remaining time: that of
   an exponential distribution is its mean at any time.  */
static void
test_histogram_is_accurate (void)
{
  struct hs_cost_model *model = hs_cost_model_create (NULL);
  struct hs_addr address = address_of (0);
  GRand *rand = g_rand_new_with_seed (1);
  double mean = 0;
  double at_mean = 0;

  add_samples (model, 0, 400, WORK_US);
  assert_near (expected_us (model, 0), WORK_US, 0.01);
  for (int i = 0; i < 20000; i++)
    {
      hs_cost_model_add_sample (model, &address,
                                (uint64_t)draw_exponential (rand, WORK_US));
      if (i < 1000)
        continue;
      mean += expected_us (model, 0) / 19000;
      at_mean += remaining_us (model, 0, WORK_US) / 19000;
    }
  assert_near (mean, WORK_US, 0.05);
  assert_near (at_mean, WORK_US, 0.1);
  g_rand_free (rand);
  hs_cost_model_destroy (model);
}

/* Guards against a mean that a long history holds fast: a fivefold slow-down
   and the recovery from it are seen within 40 samples.  */
static void
test_change_seen_soon (void)
{
  struct hs_cost_model *model = hs_cost_model_create (NULL);
  struct hs_addr address = address_of (0);
  GRand *rand = g_rand_new_with_seed (2);

  for (int i = 0; i < 2000; i++)
    hs_cost_model_add_sample (model, &address,
                              (uint64_t)draw_exponential (rand, WORK_US));
  for (int i = 0; i < 40; i++)
    hs_cost_model_add_sample (model, &address,
                              (uint64_t)draw_exponential (rand, 5 * WORK_US));
  g_assert_cmpfloat (expected_us (model, 0), >, 3 * WORK_US);
  for (int i = 0; i < 2000; i++)
    hs_cost_model_add_sample (model, &address,
                              (uint64_t)draw_exponential (rand, 5 * WORK_US));
  for (int i = 0; i < 40; i++)
    hs_cost_model_add_sample (model, &address,
                              (uint64_t)draw_exponential (rand, WORK_US));
  g_assert_cmpfloat (expected_us (model, 0), <, 2.5 * WORK_US);
  g_rand_free (rand);
  hs_cost_model_destroy (model);
}

/* Guards against an upstream that looks slow after a few long requests: their
   share of the samples is small, and the history is kept.  */
static void
test_tail_is_no_change (void)
{
  struct hs_cost_model *model = hs_cost_model_create (NULL);

  add_samples (model, 0, 300, WORK_US);
  add_samples (model, 0, 3, 7 * WORK_US);
  g_assert_cmpfloat (expected_us (model, 0), <, 1.1 * WORK_US);
  hs_cost_model_destroy (model);
}

/* Guards against a long request that always seems about to end: 3 in 100 take
   7 times as long, and one that has outlasted the others is one of them.  */
static void
test_remaining_grows_with_tail (void)
{
  struct hs_cost_model *model = hs_cost_model_create (NULL);
  double previous;

  for (int i = 0; i < 10; i++)
    {
      add_samples (model, 0, 97, WORK_US);
      add_samples (model, 0, 3, 7 * WORK_US);
    }
  g_assert_cmpfloat (remaining_us (model, 0, 0), <, 1.4 * WORK_US);
  g_assert_cmpfloat (remaining_us (model, 0, 2 * WORK_US), >, 4 * WORK_US);
  /* Beyond all samples it grows with the time so far.  */
  previous = remaining_us (model, 0, 10 * WORK_US);
  for (unsigned int i = 20; i <= 80; i *= 2)
    {
      g_assert_cmpfloat (remaining_us (model, 0, i * WORK_US), >, previous);
      previous = remaining_us (model, 0, i * WORK_US);
    }
  for (unsigned int i = 0; i < 1000; i++)
    g_assert_cmpfloat (remaining_us (model, 0, i * 1000), >,
                       expected_us (model, 0) / 5);
  hs_cost_model_destroy (model);
}

/* Guards against a table that grows with the routes, and against a route
   without samples that counts as free of work.  */
static void
test_eviction_and_fallbacks (void)
{
  struct hs_cost_model *model = hs_cost_model_create (NULL);

  g_assert_cmpfloat (expected_us (model, 0), ==, HS_WORK_DEFAULT_US);
  assert_near (remaining_us (model, 0, 0), HS_WORK_DEFAULT_US, 0.01);
  add_samples (model, 0, 50, 100000);
  assert_near (expected_us (model, 1), 100000, 0.01);
  for (unsigned int i = 1; i <= HS_COST_ROUTES_MAX; i++)
    {
      add_samples (model, i, 3, 1000);
      if (i == HS_COST_ROUTES_MAX - 1)
        add_samples (model, 0, 1, 100000);
    }
  /* Route 0 was used again, so that route 1 is the one evicted.  */
  assert_near (expected_us (model, 0), 100000, 0.01);
  g_assert_cmpfloat (expected_us (model, 1), >, 1500);
  assert_near (expected_us (model, 2), 1000, 0.01);
  hs_cost_model_destroy (model);
}

/* Guards against samples and times out of range, as after a step of a
   clock.  */
static void
test_hostile_values (void)
{
  static const uint64_t values[]
      = { 0, 1, HS_WORK_MIN_US, HS_WORK_MAX_US, UINT32_MAX, UINT64_MAX };
  struct hs_cost_model *model = hs_cost_model_create (NULL);

  for (int round = 0; round < 100; round++)
    for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
      {
        double left;

        add_samples (model, 0, 1, values[i]);
        left = remaining_us (model, 0, values[(i + 1) % 6]);
        g_assert_cmpfloat (left, >=, HS_WORK_MIN_US);
        g_assert_cmpfloat (left, <=, HS_WORK_MAX_US);
        g_assert_cmpfloat (expected_us (model, 0), >=, HS_WORK_MIN_US);
        g_assert_cmpfloat (expected_us (model, 0), <=, HS_WORK_MAX_US);
      }
  hs_cost_model_destroy (model);
}

/* Agent: the work left at its upstream.  */

static void
ignore_lost (void *ctx, const struct hs_segment *segment)
{
  (void)ctx;
  (void)segment;
}

static struct hs_sidecar *
create_sidecar (void *root)
{
  struct hs_sidecar_ops ops = { ignore_lost };
  struct hs_addr upstream = hs_addr_from_ipv4 (0x0a000001, 80);
  struct hs_sidecar *sidecar
      = hs_sidecar_create (root, "alpha", &upstream, 500, 1, &ops, NULL);
  struct hs_heartbeat heartbeat = { .id = "u",
                                    .service_name = "alpha",
                                    .address = upstream,
                                    .state = HS_UPSTREAM_READY,
                                    .slots = 2,
                                    .started_at = 1,
                                    .seq = 1 };
  bool ok = hs_sidecar_handle_heartbeat (sidecar, &heartbeat, 0, NULL);

  g_assert_true (ok);
  return sidecar;
}

static struct hs_segment
segment_of (uint16_t port, unsigned int flags, uint16_t payload_len)
{
  return (struct hs_segment){ .from = hs_addr_from_ipv4 (0x64400001, port),
                              .to = address_of (0),
                              .flags = flags,
                              .seq = flags == HS_SEGMENT_SYN ? 1 : 2,
                              .ack = 2,
                              .payload_len = payload_len };
}

static void
send_segment (struct hs_sidecar *sidecar, uint16_t port, unsigned int flags,
              uint16_t payload_len, uint64_t now)
{
  struct hs_segment segment = segment_of (port, flags, payload_len);
  struct hs_addr entry = hs_addr_from_ipv4 (0x0a000009, 7000);
  struct hs_sidecar_decision decision = hs_sidecar_handle_entry_segment (
      sidecar, &segment, &entry, hs_id_from_name ("alpha"), 0, 0, false, now);

  g_assert_cmpint (decision.action, ==, HS_SIDECAR_TO_UPSTREAM);
}

static void
answer (struct hs_sidecar *sidecar, uint16_t port, unsigned int flags,
        uint16_t payload_len, uint64_t now)
{
  struct hs_segment segment = segment_of (port, flags, payload_len);
  struct hs_addr caller = segment.from;

  segment.from = segment.to;
  segment.to = caller;
  segment.seq = (flags & HS_SEGMENT_SYN) != 0 ? 1 : 2;
  hs_sidecar_handle_upstream_segment (sidecar, &segment, now);
}

static void
send_request (struct hs_sidecar *sidecar, uint16_t port, uint64_t now)
{
  send_segment (sidecar, port, HS_SEGMENT_SYN, 0, now);
  answer (sidecar, port, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 0, now);
  send_segment (sidecar, port, HS_SEGMENT_ACK, 50, now);
}

static uint32_t
work_left_us (const struct hs_sidecar *sidecar, uint64_t now)
{
  struct hs_load_report load = { .agent_id = 1 };

  hs_sidecar_fill_load_report (sidecar, &load, now);
  return load.work_left_us;
}

/* Has 50 requests take 20 ms each, before 6000 ms.  */
static void
learn_work (struct hs_sidecar *sidecar)
{
  for (uint16_t port = 101; port <= 150; port++)
    {
      uint64_t now = 100U * (port - 100);

      send_request (sidecar, port, now);
      answer (sidecar, port, HS_SEGMENT_ACK, 50, now + 20);
    }
}

/* Guards against the time in the queue being taken for work: of six requests
   that come at once each takes 20 ms, whatever it has waited.  */
static void
test_wait_is_no_work (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root);

  for (uint16_t port = 1; port <= 6; port++)
    send_request (sidecar, port, 100);
  for (uint16_t port = 1; port <= 6; port++)
    answer (sidecar, port, HS_SEGMENT_ACK, 50, 100 + 20 * ((port + 1U) / 2));
  g_assert_cmpuint (work_left_us (sidecar, 200), ==, 0);
  send_segment (sidecar, 7, HS_SEGMENT_SYN, 0, 200);
  assert_near (work_left_us (sidecar, 200), 20000, 0.01);
  /* The request does not come.  */
  g_assert_cmpuint (work_left_us (sidecar, 400), ==, 0);
  talloc_free (root);
}

/* Guards against work left that does not follow the requests: each one in the
   queue counts with its expected time, and neither an answered nor an
   abandoned one remains in it.  */
static void
test_work_left_follows_requests (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root);

  learn_work (sidecar);
  for (uint16_t port = 1; port <= 10; port++)
    {
      send_request (sidecar, port, 10000);
      assert_near (work_left_us (sidecar, 10000), 20000 * port, 0.05);
    }
  g_assert_cmpuint (work_left_us (sidecar, 10010), <,
                    work_left_us (sidecar, 10000));
  for (uint16_t port = 1; port <= 10; port += 2)
    {
      uint64_t now = 10000 + 20 * ((port + 1U) / 2);

      answer (sidecar, port, HS_SEGMENT_ACK, 50, now);
      answer (sidecar, port + 1, HS_SEGMENT_RST, 0, now);
      answer (sidecar, 1, HS_SEGMENT_ACK, 0, now);
      assert_near (work_left_us (sidecar, now), 20000 * (9 - port), 0.05);
    }
  g_assert_cmpuint (work_left_us (sidecar, 10100), ==, 0);
  talloc_free (root);
}

/* Guards against one very long request in one slot that makes an upstream with
   another, free slot look full.  */
static void
test_long_request_leaves_other_slot (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root);

  learn_work (sidecar);
  send_request (sidecar, 60, 6000);
  g_assert_cmpuint (work_left_us (sidecar, 9000), <=, 21000);
  talloc_free (root);
}

/* Placement.  */

static void
report (struct hs_agent_pool *pool, uint64_t agent_id, uint32_t requests,
        uint32_t mean_work_us, uint32_t work_left)
{
  static uint64_t seq;
  struct hs_load_report load = { .agent_id = agent_id,
                                 .incarnation = 1,
                                 .service_id = SERVICE_ID,
                                 .state = HS_AGENT_READY,
                                 .slots = 2,
                                 .requests_in_progress = requests,
                                 .mean_work_us = mean_work_us,
                                 .work_left_us = work_left,
                                 .zone = "a" };

  load.seq = ++seq;
  hs_agent_pool_update (pool, &load, 0);
}

static uint64_t
place (struct hs_agent_pool *pool)
{
  return hs_agent_pool_place_flow (
             pool, &(struct hs_flow_demand){ .service_id = SERVICE_ID }, 0)
      ->report.agent_id;
}

/* Places LEN flows and counts those of each of the agents 1 to 4.  */
static void
place_flows (struct hs_agent_pool *pool, unsigned int len,
             unsigned int counts[5])
{
  memset (counts, 0, 5 * sizeof *counts);
  for (unsigned int i = 0; i < len; i++)
    counts[place (pool)]++;
}

/* Guards against equal shares for unequal upstreams.  */
static void
test_shares_follow_speed (void)
{
  struct hs_agent_pool *pool = hs_agent_pool_create (NULL, "a");
  unsigned int counts[5];

  report (pool, 1, 0, (uint32_t)(WORK_US / 0.7), 0);
  report (pool, 2, 0, (uint32_t)(WORK_US / 0.7), 0);
  report (pool, 3, 0, (uint32_t)(WORK_US / 1.7), 0);
  place_flows (pool, 310, counts);
  assert_near (counts[1], 70, 0.03);
  assert_near (counts[2], 70, 0.03);
  assert_near (counts[3], 170, 0.03);
  hs_agent_pool_destroy (pool);
}

/* Guards against reports that draw more than an even share, as those of an
   upstream that answers each request with an error at once would, or that make
   the loads of the other agents count as nothing.  */
static void
test_outlier_cannot_draw_all (void)
{
  struct hs_agent_pool *pool = hs_agent_pool_create (NULL, "a");
  unsigned int counts[5];

  for (uint64_t id = 1; id <= 3; id++)
    report (pool, id, 0, WORK_US, 0);
  report (pool, 4, 0, 1, 0);
  place_flows (pool, 100, counts);
  g_assert_cmpuint (counts[4], >=, 20);
  g_assert_cmpuint (counts[4], <=, 30);
  /* It has requests, but claims to have hardly any work.  */
  report (pool, 4, 100, 1, 1);
  for (uint64_t id = 1; id <= 3; id++)
    report (pool, id, 2, WORK_US, 2 * WORK_US);
  place_flows (pool, 10, counts);
  g_assert_cmpuint (counts[4], ==, 0);
  /* Absurdly much work: the others go by their loads as before.  */
  report (pool, 4, 0, UINT32_MAX, UINT32_MAX);
  report (pool, 1, 8, WORK_US, 8 * WORK_US);
  report (pool, 2, 0, WORK_US, 0);
  report (pool, 3, 8, WORK_US, 8 * WORK_US);
  place_flows (pool, 6, counts);
  g_assert_cmpuint (counts[2], ==, 6);
  hs_agent_pool_destroy (pool);
}

/* Guards against a change where all upstreams are alike: the agent with the
   fewest requests is chosen, as by count, also if some have not learned.  */
static void
test_equal_upstreams_as_by_count (void)
{
  GRand *rand = g_rand_new_with_seed (3);

  for (int round = 0; round < 500; round++)
    {
      struct hs_agent_pool *by_work = hs_agent_pool_create (NULL, "a");
      struct hs_agent_pool *by_count = hs_agent_pool_create (NULL, "a");

      for (uint64_t id = 1; id <= 4; id++)
        {
          uint32_t requests = (uint32_t)g_rand_int_range (rand, 0, 10);
          bool learned = id == 1 || g_rand_boolean (rand);

          report (by_work, id, requests, learned ? WORK_US : 0,
                  requests * (learned ? WORK_US : HS_WORK_DEFAULT_US));
          report (by_count, id, requests, 0, 0);
        }
      for (int i = 0; i < 20; i++)
        {
          uint64_t chosen = place (by_work);

          g_assert_cmpuint (chosen, ==, place (by_count));
        }
      hs_agent_pool_destroy (by_work);
      hs_agent_pool_destroy (by_count);
    }
  g_rand_free (rand);
}

/* Guards against a service's mean that keeps the share of agents that have
   left or have reported since.  */
static void
test_mean_follows_agents (void)
{
  struct hs_agent_pool *pool = hs_agent_pool_create (NULL, "a");
  unsigned int counts[5];

  report (pool, 3, 0, 1000 * WORK_US, 0);
  report (pool, 1, 0, WORK_US, 0);
  report (pool, 2, 0, 1000 * WORK_US, 0);
  report (pool, 2, 0, 0, 0);
  hs_agent_pool_remove (pool, 3);
  /* Agent 2 has not learned and counts with the mean of agent 1.  */
  place_flows (pool, 10, counts);
  g_assert_cmpuint (counts[1], ==, 5);
  g_assert_cmpuint (counts[2], ==, 5);
  hs_agent_pool_destroy (pool);
}

/* Guards against refusals that change where upstreams are alike: the expected
   wait is that of as many average requests.  */
static void
test_wait_as_by_count (void)
{
  struct hs_agent_pool *pool = hs_agent_pool_create (NULL, "a");

  for (uint32_t requests = 0; requests <= 10; requests++)
    {
      report (pool, 1, requests, WORK_US, requests * WORK_US);
      g_assert_cmpuint (hs_pool_agent_wait_us (hs_agent_pool_find (pool, 1)),
                        ==, hs_overload_wait_us (requests + 1, 2, WORK_US));
    }
  report (pool, 1, 1, WORK_US, UINT32_MAX);
  g_assert_cmpuint (hs_pool_agent_wait_us (hs_agent_pool_find (pool, 1)), ==,
                    0);
  hs_agent_pool_destroy (pool);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cost/accuracy", test_histogram_is_accurate);
  g_test_add_func ("/cost/change", test_change_seen_soon);
  g_test_add_func ("/cost/tail-is-no-change", test_tail_is_no_change);
  g_test_add_func ("/cost/remaining", test_remaining_grows_with_tail);
  g_test_add_func ("/cost/eviction", test_eviction_and_fallbacks);
  g_test_add_func ("/cost/hostile", test_hostile_values);
  g_test_add_func ("/cost/wait-is-no-work", test_wait_is_no_work);
  g_test_add_func ("/cost/work-left", test_work_left_follows_requests);
  g_test_add_func ("/cost/long-request", test_long_request_leaves_other_slot);
  g_test_add_func ("/cost/shares", test_shares_follow_speed);
  g_test_add_func ("/cost/outlier", test_outlier_cannot_draw_all);
  g_test_add_func ("/cost/equal", test_equal_upstreams_as_by_count);
  g_test_add_func ("/cost/mean", test_mean_follows_agents);
  g_test_add_func ("/cost/wait", test_wait_as_by_count);
  return g_test_run ();
}
