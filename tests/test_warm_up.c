/* test_warm_up.c -- the limit of new flows at cold upstreams: the sliding
   window, and the parts of agents and entries in it.  */

#include "base/addr.h"
#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define SERVICE "alpha"
#define HEARTBEAT_MS 500
#define RATE 12000 /* 12 flows a second.  */
#define LIMIT 12
#define WINDOW_MS 1050

#define AGENTS 3
#define ENTRIES_MAX 100
#define DURATION_MS 8000
#define DELAY_MAX_MS 5      /* Of a datagram.  */
#define JITTER_MAX_MS 40    /* Of a SYN on its way to the upstream.  */
#define QUERY_INTERVAL_MS 7 /* Load queries of an entry.  */
#define ARRIVALS_PERCENT 20 /* New flows in each ms: twice the limit.  */
#define COPIES_PERCENT 30   /* SYNs of which a copy follows.  */
#define COPY_DELAY_MS 200

/* Something that happens at the end of a delay.  */
enum event_type
{
  EVENT_SYN,   /* An agent gets a SYN.  */
  EVENT_REPORT /* An entry gets a load report.  */
};

struct event
{
  enum event_type type;
  size_t entry;
  size_t agent;
  struct hs_segment syn;
  bool is_copy; /* Of a SYN that the agent has accepted.  */
  struct hs_load_report report;
};

struct agent
{
  struct hs_sidecar *sidecar;
  uint64_t report_seq;
  GArray *admitted;  /* Times of new flows.  */
  GArray *delivered; /* The same, at the upstream.  */
};

/* Cold upstreams, and entries that place flows on them by load reports.  */
struct simulation
{
  GRand *rand;
  uint64_t now;
  size_t entries_len;
  struct hs_agent_pool *pools[ENTRIES_MAX];
  struct agent agents[AGENTS];
  GQueue events[DURATION_MS + COPY_DELAY_MS + DELAY_MAX_MS + 1];
  uint32_t flows;
};

/* An entry with the agents "x", "y" and "z".  */
struct entry
{
  void *root;
  struct hs_agent_pool *pool;
  struct hs_forwarder *forwarder;
  uint64_t report_seq;
};

/* Private functions.  */

static struct hs_addr
upstream_address (void)
{
  return hs_addr_from_ipv4 (0x0a000001, 8080);
}

static struct hs_segment
make_syn (uint32_t flow, uint32_t seq)
{
  return (struct hs_segment){ .from
                              = hs_addr_from_ipv4 (0x64400000 + flow, 1000),
                              .to = hs_addr_from_ipv4 (0xc6120001, 8080),
                              .flags = HS_SEGMENT_SYN,
                              .seq = seq };
}

static void
ignore_lost_flow (void *ctx, const struct hs_segment *segment)
{
  (void)ctx;
  (void)segment;
}

static struct hs_sidecar *
create_sidecar (void *root, uint64_t started_at)
{
  struct hs_sidecar_ops ops = { ignore_lost_flow };
  struct hs_addr upstream = upstream_address ();

  return hs_sidecar_create (root, SERVICE, &upstream, HEARTBEAT_MS, started_at,
                            &ops, NULL);
}

static void
send_heartbeat (struct hs_sidecar *sidecar, uint64_t started_at, uint64_t seq,
                uint32_t cold_ms, uint64_t now)
{
  struct hs_heartbeat heartbeat = { .id = "i-1",
                                    .service_name = SERVICE,
                                    .address = upstream_address (),
                                    .state = HS_UPSTREAM_READY,
                                    .slots = 2,
                                    .cold_ms = cold_ms,
                                    .started_at = started_at,
                                    .seq = seq };

  g_assert_true (hs_sidecar_handle_heartbeat (sidecar, &heartbeat, now, NULL));
}

static struct hs_sidecar_decision
send_segment (struct hs_sidecar *sidecar, const struct hs_segment *segment,
              uint32_t rate, uint64_t now)
{
  struct hs_addr entry = hs_addr_from_ipv4 (0x0a010000, 7000);

  return hs_sidecar_handle_entry_segment (sidecar, segment, &entry,
                                          hs_id_from_name (SERVICE), 0, rate,
                                          false, now);
}

/* Returns the number of COUNT new flows, from FIRST on, that are accepted.  */
static unsigned int
open_flows (struct hs_sidecar *sidecar, uint32_t first, unsigned int count,
            uint32_t rate, uint64_t now)
{
  unsigned int accepted = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct hs_segment syn = make_syn (first + i, 100);
      struct hs_sidecar_decision decision
          = send_segment (sidecar, &syn, rate, now);

      accepted += decision.action == HS_SIDECAR_TO_UPSTREAM;
      if (decision.action != HS_SIDECAR_TO_UPSTREAM)
        {
          g_assert_cmpint (decision.action, ==, HS_SIDECAR_REFUSE);
          g_assert_cmpint (decision.reason, ==, HS_REASON_WARMING_UP);
        }
    }
  return accepted;
}

static struct hs_load_report
get_load (const struct hs_sidecar *sidecar, uint64_t now)
{
  struct hs_load_report load = { .agent_id = 0 };

  hs_sidecar_fill_load_report (sidecar, &load, now);
  return load;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const uint64_t *first = a;
  const uint64_t *second = b;

  return *first < *second ? -1 : *first > *second;
}

/* Checks that no WINDOW ms have more than LIMIT of TIMES.  */
static void
check_windows (GArray *times, uint64_t window, size_t limit)
{
  g_array_sort (times, compare_times);
  for (size_t i = 0; i + limit < times->len; i++)
    g_assert_cmpuint (g_array_index (times, uint64_t, i + limit)
                          - g_array_index (times, uint64_t, i),
                      >=, window);
}

/* The sliding window.  */

/* Flows that come in bursts at random, as after a pause.  A token bucket would
   let two bursts into one second.  */
static void
test_random_bursts (void)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      struct hs_warm_up *warm_up = hs_warm_up_create (NULL);
      GRand *rand = g_rand_new_with_seed (seed);
      GArray *times = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      uint32_t rate = (uint32_t)g_rand_int_range (rand, 1000, 40000);

      for (uint64_t now = 5; now < 20000;
           now += (uint64_t)g_rand_int_range (rand, 0, 400))
        for (int left = g_rand_int_range (rand, 0, 60); left > 0; left--)
          if (hs_warm_up_room (warm_up, rate, now) > 0)
            {
              hs_warm_up_count_flow (warm_up, now);
              g_array_append_val (times, now);
            }
      check_windows (times, WINDOW_MS, rate / 1000);
      g_assert_cmpuint (times->len, >=, 15 * (rate / 1000));
      g_array_free (times, TRUE);
      g_rand_free (rand);
      hs_warm_up_destroy (warm_up);
    }
}

/* At a rate below one flow in the window, flows are as much further apart:
   otherwise such an upstream would get one in each second.  */
static void
test_low_rate (void)
{
  struct hs_warm_up *warm_up = hs_warm_up_create (NULL);

  g_assert_cmpuint (hs_warm_up_room (warm_up, 400, 10), ==, 1);
  hs_warm_up_count_flow (warm_up, 10);
  g_assert_cmpuint (hs_warm_up_room (warm_up, 400, 2634), ==, 0);
  g_assert_cmpuint (hs_warm_up_room (warm_up, 400, 2635), ==, 1);
  /* 1,050,000 ms; the latest flow is remembered for so long.  */
  g_assert_cmpuint (hs_warm_up_room (warm_up, 1, 1050009), ==, 0);
  g_assert_cmpuint (hs_warm_up_room (warm_up, 1, 1050010), ==, 1);
  hs_warm_up_destroy (warm_up);
}

static void
test_filled_window (void)
{
  struct hs_warm_up *warm_up = hs_warm_up_create (NULL);

  hs_warm_up_fill (warm_up, 0);
  g_assert_cmpuint (hs_warm_up_room (warm_up, RATE, 1000), ==, 0);
  g_assert_cmpuint (hs_warm_up_room (warm_up, RATE, WINDOW_MS), ==, LIMIT);
  g_assert_cmpuint (hs_warm_up_room (warm_up, 500, 2099), ==, 0);
  g_assert_cmpuint (hs_warm_up_room (warm_up, 500, 2100), ==, 1);
  g_assert_cmpuint (hs_warm_up_room (warm_up, 0, 0), ==,
                    HS_COLD_ROOM_UNLIMITED);
  hs_warm_up_destroy (warm_up);
}

/* The window of an upstream with many flows does not grow without bounds.  */
static void
test_window_bounded (void)
{
  struct hs_warm_up *warm_up = hs_warm_up_create (NULL);

  for (uint64_t now = 0; now < 100000; now++)
    {
      hs_warm_up_count_flow (warm_up, now);
      hs_warm_up_count_flow (warm_up, now);
    }
  g_assert_cmpuint (talloc_total_blocks (warm_up), <=, WINDOW_MS + 1);
  g_assert_cmpuint (hs_warm_up_room (warm_up, 3000000, 99999), ==,
                    3000 - 2 * WINDOW_MS);
  hs_warm_up_destroy (warm_up);
}

/* Many entries.  */

static void
schedule (struct simulation *sim, uint64_t delay, const struct event *event)
{
  uint64_t at = sim->now + delay;

  if (at < G_N_ELEMENTS (sim->events))
    g_queue_push_tail (&sim->events[at], g_memdup2 (event, sizeof *event));
}

static uint64_t
random_delay (struct simulation *sim)
{
  return (uint64_t)g_rand_int_range (sim->rand, 1, DELAY_MAX_MS + 1);
}

static void
query_load (struct simulation *sim, size_t entry, size_t index)
{
  struct agent *agent = &sim->agents[index];
  struct event event
      = { .type = EVENT_REPORT, .entry = entry, .agent = index };

  hs_sidecar_fill_load_report (agent->sidecar, &event.report, sim->now);
  event.report.agent_id = index + 1;
  event.report.incarnation = 1;
  event.report.seq = ++agent->report_seq;
  event.report.zone[0] = 'a';
  schedule (sim, random_delay (sim), &event);
}

/* A new flow comes to a random entry.  */
static void
arrive (struct simulation *sim)
{
  struct event event = { .type = EVENT_SYN };
  struct hs_flow_demand demand = { .service_id = hs_id_from_name (SERVICE) };
  const struct hs_pool_agent *agent;

  event.entry = (size_t)g_rand_int_range (sim->rand, 0, (int)sim->entries_len);
  event.syn = make_syn (++sim->flows, 100);
  agent
      = hs_agent_pool_place_flow (sim->pools[event.entry], &demand, sim->now);
  if (agent == NULL)
    return;
  event.agent = agent->report.agent_id - 1;
  schedule (sim, random_delay (sim), &event);
}

static void
on_syn (struct simulation *sim, const struct event *event)
{
  struct agent *agent = &sim->agents[event->agent];
  struct hs_sidecar_decision decision
      = send_segment (agent->sidecar, &event->syn, RATE, sim->now);
  struct event copy = *event;
  uint64_t delivered_at;

  if (event->is_copy)
    {
      g_assert_cmpint (decision.action, ==, HS_SIDECAR_TO_UPSTREAM);
      return;
    }
  if (decision.action != HS_SIDECAR_TO_UPSTREAM)
    {
      g_assert_cmpint (decision.reason, ==, HS_REASON_WARMING_UP);
      query_load (sim, event->entry, event->agent);
      return;
    }
  delivered_at
      = sim->now + (uint64_t)g_rand_int_range (sim->rand, 0, JITTER_MAX_MS);
  g_array_append_val (agent->admitted, sim->now);
  g_array_append_val (agent->delivered, delivered_at);
  copy.is_copy = true;
  if (g_rand_int_range (sim->rand, 0, 100) < COPIES_PERCENT)
    schedule (sim, COPY_DELAY_MS, &copy);
}

static void
handle_events (struct simulation *sim)
{
  struct event *event;

  while ((event = g_queue_pop_head (&sim->events[sim->now])) != NULL)
    {
      if (event->type == EVENT_SYN)
        on_syn (sim, event);
      else
        hs_agent_pool_update (sim->pools[event->entry], &event->report,
                              sim->now);
      g_free (event);
    }
}

static struct simulation *
create_simulation (size_t entries_len, guint32 seed)
{
  struct simulation *sim = talloc_zero (NULL, struct simulation);

  sim->rand = g_rand_new_with_seed (seed);
  sim->entries_len = entries_len;
  for (size_t i = 0; i < G_N_ELEMENTS (sim->events); i++)
    g_queue_init (&sim->events[i]);
  for (size_t i = 0; i < entries_len; i++)
    sim->pools[i] = hs_agent_pool_create (sim, "a");
  for (size_t i = 0; i < AGENTS; i++)
    {
      sim->agents[i].sidecar = create_sidecar (sim, 0);
      sim->agents[i].admitted = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      sim->agents[i].delivered = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      send_heartbeat (sim->agents[i].sidecar, 1, 1, 60000, 0);
    }
  return sim;
}

static void
destroy_simulation (struct simulation *sim)
{
  for (size_t i = 0; i < AGENTS; i++)
    {
      g_array_free (sim->agents[i].admitted, TRUE);
      g_array_free (sim->agents[i].delivered, TRUE);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (sim->events); i++)
    g_queue_clear_full (&sim->events[i], g_free);
  g_rand_free (sim->rand);
  talloc_free (sim);
}

static void
simulate (size_t entries_len, guint32 seed)
{
  struct simulation *sim = create_simulation (entries_len, seed);
  unsigned int admitted = 0;

  for (; sim->now < DURATION_MS; sim->now++)
    {
      if (sim->now % QUERY_INTERVAL_MS == 0)
        for (size_t i = 0; i < entries_len; i++)
          query_load (sim, i, (size_t)g_rand_int_range (sim->rand, 0, AGENTS));
      /* Callers come at random, and sometimes many at once.  */
      for (int left = g_rand_int_range (sim->rand, 0, 200) == 0 ? 40 : 1;
           left > 0; left--)
        if (g_rand_int_range (sim->rand, 0, 100) < ARRIVALS_PERCENT)
          arrive (sim);
      handle_events (sim);
    }
  for (size_t i = 0; i < AGENTS; i++)
    {
      check_windows (sim->agents[i].admitted, WINDOW_MS, LIMIT);
      check_windows (sim->agents[i].delivered, 1000, LIMIT);
      admitted += sim->agents[i].admitted->len;
    }
  /* The limit is used: 90% of what fits in the windows.  */
  g_assert_cmpuint (admitted, >=,
                    AGENTS * LIMIT * (DURATION_MS / WINDOW_MS) * 9 / 10);
  destroy_simulation (sim);
}

/* Entries know only their own flows: together they would exceed a limit that
   each of them keeps by itself.  */
static void
test_many_entries (void)
{
  static const size_t entries[] = { 1, 10, 100 };

  for (size_t i = 0; i < G_N_ELEMENTS (entries); i++)
    for (guint32 seed = 1; seed <= 5; seed++)
      simulate (entries[i], seed);
}

/* Agents.  */

static void
test_copies_not_counted (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root, 0);
  struct hs_segment syn = make_syn (1, 100);

  send_heartbeat (sidecar, 1, 1, 9000, 0);
  for (unsigned int i = 0; i < 5; i++)
    g_assert_cmpint (send_segment (sidecar, &syn, 2000, i).action, ==,
                     HS_SIDECAR_TO_UPSTREAM);
  g_assert_cmpuint (get_load (sidecar, 10).cold_room, ==, 1);
  g_assert_cmpuint (open_flows (sidecar, 2, 2, 2000, 10), ==, 1);
  /* A copy is accepted though there is no room.  */
  g_assert_cmpint (send_segment (sidecar, &syn, 2000, 20).action, ==,
                   HS_SIDECAR_TO_UPSTREAM);
  /* Another SYN from the same address is a new flow.  */
  syn.seq = 101;
  g_assert_cmpint (send_segment (sidecar, &syn, 2000, 20).reason, ==,
                   HS_REASON_WARMING_UP);
  talloc_free (root);
}

/* The entries decide by the configuration whether there is a limit.  */
static void
test_no_limit (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root, 0);

  send_heartbeat (sidecar, 1, 1, 9000, 0);
  g_assert_cmpuint (get_load (sidecar, 0).cold_room, ==,
                    HS_COLD_ROOM_UNLIMITED);
  g_assert_cmpuint (open_flows (sidecar, 1, 500, 0, 10), ==, 500);
  g_assert_cmpuint (get_load (sidecar, 10).cold_room, ==,
                    HS_COLD_ROOM_UNLIMITED);
  g_assert_cmpuint (get_load (sidecar, 10).cold_ms, ==, 8990);
  /* These flows count for entries that have the limit already.  */
  g_assert_cmpuint (open_flows (sidecar, 1000, 1, RATE, 500), ==, 0);
  g_assert_cmpuint (open_flows (sidecar, 1000, 20, RATE, 1060), ==, LIMIT);
  talloc_free (root);
}

/* A warm upstream has no limit, and becomes warm between two heartbeats.  */
static void
test_warm_upstream (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root, 0);

  send_heartbeat (sidecar, 1, 1, 300, 0);
  g_assert_cmpuint (open_flows (sidecar, 1, 50, RATE, 299), ==, LIMIT);
  g_assert_cmpuint (get_load (sidecar, 299).cold_room, ==, 0);
  g_assert_cmpuint (get_load (sidecar, 300).cold_room, ==,
                    HS_COLD_ROOM_UNLIMITED);
  g_assert_cmpuint (open_flows (sidecar, 100, 50, RATE, 300), ==, 50);
  talloc_free (root);
}

/* An agent that has restarted does not know how many flows it has let through
   just before.  */
static void
test_agent_restart (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root, 5000);

  hs_sidecar_tick (sidecar, 100);
  send_heartbeat (sidecar, 1000, 7, 9000, 450);
  g_assert_cmpuint (open_flows (sidecar, 1, 5, RATE, 451), ==, 0);
  g_assert_cmpuint (get_load (sidecar, 451).cold_room, ==, 0);
  g_assert_cmpuint (open_flows (sidecar, 1, 5, RATE, 1100), ==, 0);
  g_assert_cmpuint (open_flows (sidecar, 1, 50, RATE, 1150), ==, LIMIT);
  talloc_free (root);
}

/* The flows of the agent's earlier process and of the next one never exceed
   the limit together.  */
static void
test_restart_at_any_time (void)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      void *root = talloc_new (NULL);
      GRand *rand = g_rand_new_with_seed (seed);
      GArray *times = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      struct hs_sidecar *sidecar = create_sidecar (root, 0);
      uint64_t restart_at = (uint64_t)g_rand_int_range (rand, 1000, 4000);
      uint32_t flow = 0;

      send_heartbeat (sidecar, 1, 1, 60000, 0);
      for (uint64_t now = 1; now < 6000; now++)
        {
          if (now == restart_at)
            {
              sidecar = create_sidecar (root, 9000);
              hs_sidecar_tick (sidecar, now);
              send_heartbeat (sidecar, 1, 2, 60000, now);
            }
          if (g_rand_int_range (rand, 0, 20) == 0
              && open_flows (sidecar, ++flow, 1, RATE, now) == 1)
            g_array_append_val (times, now);
        }
      check_windows (times, WINDOW_MS, LIMIT);
      g_assert_cmpuint (times->len, >, 2 * LIMIT);
      g_array_free (times, TRUE);
      g_rand_free (rand);
      talloc_free (root);
    }
}

/* An agent that has started together with its upstream does not make callers
   wait.  */
static void
test_simultaneous_start (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root, 1100);

  hs_sidecar_tick (sidecar, 100);
  send_heartbeat (sidecar, 1000, 1, 9000, 150);
  g_assert_cmpuint (open_flows (sidecar, 1, 50, RATE, 151), ==, LIMIT);
  talloc_free (root);
}

/* A copy of a heartbeat, or one that an earlier one has overtaken, must not
   change how long the upstream counts as cold.  */
static void
test_late_heartbeats (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root, 0);

  send_heartbeat (sidecar, 50, 2, 2000, 0);
  send_heartbeat (sidecar, 50, 1, 0, 10);
  g_assert_cmpuint (get_load (sidecar, 10).cold_ms, ==, 1990);
  send_heartbeat (sidecar, 50, 2, 2000, 900);
  g_assert_cmpuint (get_load (sidecar, 900).cold_ms, ==, 1100);
  g_assert_cmpuint (get_load (sidecar, 2000).cold_ms, ==, 0);
  /* A new process of the upstream is cold; an old one's heartbeat is late.  */
  send_heartbeat (sidecar, 60, 1, 3000, 2500);
  send_heartbeat (sidecar, 50, 9, 0, 2600);
  g_assert_cmpuint (get_load (sidecar, 2600).cold_ms, ==, 2900);
  g_assert_cmpuint (open_flows (sidecar, 1, 50, RATE, 2600), ==, LIMIT);
  talloc_free (root);
}

/* Returns a sidecar whose evacuation ends at 2000.  The upstream has started
   at 50, and is warm by its latest heartbeat, of number 4.  */
static struct hs_sidecar *
create_evacuated (void *root)
{
  struct hs_sidecar *sidecar = create_sidecar (root, 0);

  send_heartbeat (sidecar, 50, 4, 0, 900);
  hs_sidecar_set_evacuated (sidecar, true, 1000);
  hs_sidecar_set_evacuated (sidecar, true, 1500);
  hs_sidecar_set_evacuated (sidecar, false, 2000);
  hs_sidecar_set_evacuated (sidecar, false, 2050);
  return sidecar;
}

/* A heartbeat that the upstream has sent before the end of the evacuation says
   that it is warm.  */
static void
test_end_of_evacuation (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_evacuated (root);

  g_assert_cmpuint (get_load (sidecar, 2000).cold_ms, >, 0);
  send_heartbeat (sidecar, 50, 5, 0, 2099);
  g_assert_cmpuint (open_flows (sidecar, 1, 50, RATE, 2099), ==, LIMIT);
  g_assert_cmpuint (get_load (sidecar, 2099).cold_room, ==, 0);
  send_heartbeat (sidecar, 50, 6, 0, 2100);
  g_assert_cmpuint (get_load (sidecar, 2100).cold_ms, ==, 0);
  g_assert_cmpuint (open_flows (sidecar, 100, 50, RATE, 2100), ==, 50);
  talloc_free (root);
}

static void
test_cold_after_evacuation (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_evacuated (root);

  send_heartbeat (sidecar, 50, 5, 3000, 2200);
  g_assert_cmpuint (get_load (sidecar, 2200).cold_ms, ==, 3000);
  g_assert_cmpuint (open_flows (sidecar, 1, 50, RATE, 5199), ==, LIMIT);
  g_assert_cmpuint (open_flows (sidecar, 100, 50, RATE, 5200), ==, 50);
  talloc_free (root);
}

/* Heartbeats that are ignored say nothing about the time after the
   evacuation.  */
static void
test_late_heartbeats_after_evacuation (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_evacuated (root);

  send_heartbeat (sidecar, 50, 4, 0, 2300);
  send_heartbeat (sidecar, 50, 3, 0, 2310);
  send_heartbeat (sidecar, 40, 9, 0, 2320);
  g_assert_cmpuint (get_load (sidecar, 2320).cold_ms, >, 0);
  /* Nor does a new process that has started before the end.  */
  sidecar = create_evacuated (root);
  send_heartbeat (sidecar, 60, 1, 0, 2050);
  g_assert_cmpuint (get_load (sidecar, 2050).cold_ms, >, 0);
  send_heartbeat (sidecar, 60, 2, 0, 2550);
  g_assert_cmpuint (get_load (sidecar, 2550).cold_ms, ==, 0);
  talloc_free (root);
}

/* A second evacuation at once after the first: the upstream still counts as
   cold when it ends.  */
static void
test_evacuated_again (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_evacuated (root);

  hs_sidecar_set_evacuated (sidecar, true, 2060);
  send_heartbeat (sidecar, 50, 5, 0, 2500);
  hs_sidecar_set_evacuated (sidecar, false, 3000);
  send_heartbeat (sidecar, 50, 6, 0, 3050);
  g_assert_cmpuint (get_load (sidecar, 3050).cold_ms, >, 0);
  send_heartbeat (sidecar, 50, 7, 0, 3550);
  g_assert_cmpuint (get_load (sidecar, 3550).cold_ms, ==, 0);
  talloc_free (root);
}

static void
check_evacuated_syn (struct hs_sidecar *sidecar, const struct hs_segment *syn,
                     enum hs_sidecar_action action)
{
  struct hs_sidecar_decision decision = send_segment (sidecar, syn, 0, 1100);

  g_assert_cmpint (decision.action, ==, action);
  g_assert_cmpint (decision.reason, ==, HS_REASON_EVACUATED);
}

/* A refused copy of a SYN is sent to another agent.  After the upstream has
   answered it, the caller would get a second handshake.  */
static void
test_syns_while_evacuated (void)
{
  void *root = talloc_new (NULL);
  struct hs_sidecar *sidecar = create_sidecar (root, 0);
  struct hs_segment sent = make_syn (1, 100);
  struct hs_segment answered = make_syn (2, 100);
  struct hs_segment opened = make_syn (3, 100);
  struct hs_segment ack = opened;
  struct hs_segment syn_ack = { .from = answered.to,
                                .to = answered.from,
                                .flags = HS_SEGMENT_SYN | HS_SEGMENT_ACK,
                                .seq = 500,
                                .ack = 101 };

  send_heartbeat (sidecar, 50, 1, 0, 900);
  send_segment (sidecar, &sent, 0, 910);
  send_segment (sidecar, &answered, 0, 910);
  send_segment (sidecar, &opened, 0, 910);
  hs_sidecar_handle_upstream_segment (sidecar, &syn_ack, 911);
  syn_ack.to = opened.from;
  hs_sidecar_handle_upstream_segment (sidecar, &syn_ack, 911);
  ack.flags = HS_SEGMENT_ACK;
  ack.seq = 101;
  ack.ack = 501;
  send_segment (sidecar, &ack, 0, 912);
  hs_sidecar_set_evacuated (sidecar, true, 1000);
  check_evacuated_syn (sidecar, &sent, HS_SIDECAR_REFUSE);
  check_evacuated_syn (sidecar, &answered, HS_SIDECAR_DROP);
  check_evacuated_syn (sidecar, &opened, HS_SIDECAR_DROP);
  answered.seq = 101;
  check_evacuated_syn (sidecar, &answered, HS_SIDECAR_REFUSE);
  /* The open flow continues.  */
  g_assert_cmpint (send_segment (sidecar, &ack, 0, 1200).action, ==,
                   HS_SIDECAR_TO_UPSTREAM);
  g_assert_cmpuint (get_load (sidecar, 1200).open_flows, ==, 1);
  talloc_free (root);
}

/* Entries.  */

static void
report_room (struct entry *entry, const char *name, uint32_t cold_ms,
             uint32_t cold_room, uint64_t now)
{
  struct hs_load_report load = { .agent_id = hs_id_from_name (name),
                                 .incarnation = 1,
                                 .seq = ++entry->report_seq,
                                 .service_id = hs_id_from_name (SERVICE),
                                 .state = HS_AGENT_READY,
                                 .slots = 2,
                                 .cold_ms = cold_ms,
                                 .cold_room = cold_room,
                                 .zone = "a" };

  hs_agent_pool_update (entry->pool, &load, now);
}

static void
ignore_sent (void *ctx, const struct hs_addr *to, const uint8_t *data,
             size_t len)
{
  (void)ctx;
  (void)to;
  (void)data;
  (void)len;
}

static struct hs_routing *
create_routing (void *root, uint32_t cold_flow_rate)
{
  struct hs_traffic_split split = { SERVICE, 1 };
  struct hs_service_route route
      = { .name = "r",
          .address = hs_addr_from_ipv4 (0xc6120001, 8080),
          .timeout_ms = 2000,
          .slo_ms = 200,
          .priority = 1,
          .splits_len = 1,
          .splits = &split };
  struct hs_configured_service services[]
      = { { .name = "beta", .cold_flow_rate = 7 },
          { .name = SERVICE, .cold_flow_rate = cold_flow_rate } };
  struct hs_configuration configuration = { .version = 1,
                                            .routes_len = 1,
                                            .routes = &route,
                                            .services_len = 2,
                                            .services = services };

  return hs_routing_create (root, &configuration);
}

static struct entry
create_entry (void)
{
  void *root = talloc_new (NULL);
  struct entry entry
      = { .root = root, .pool = hs_agent_pool_create (root, "a") };
  struct hs_egress_ops egress_ops = { ignore_sent };
  struct hs_forwarder_ops ops = { NULL };
  struct hs_egress *egress = hs_egress_create (root, 0, &egress_ops, NULL);

  entry.forwarder = hs_forwarder_create (
      root, entry.pool, hs_uplink_create (root, 0, egress), &ops, NULL);
  hs_forwarder_set_routing (entry.forwarder, create_routing (root, RATE));
  report_room (&entry, "x", 5000, 12, 0);
  report_room (&entry, "y", 5000, 12, 0);
  report_room (&entry, "z", 5000, 12, 0);
  return entry;
}

static unsigned int
place_flows (struct entry *entry, unsigned int count, uint64_t now)
{
  struct hs_flow_demand demand = { .service_id = hs_id_from_name (SERVICE) };
  unsigned int placed = 0;

  for (unsigned int i = 0; i < count; i++)
    placed += hs_agent_pool_place_flow (entry->pool, &demand, now) != NULL;
  return placed;
}

/* An entry that gets many SYNs between two reports would have most of them
   refused.  */
static void
test_placement_by_room (void)
{
  struct entry entry = create_entry ();
  struct hs_flow_demand demand = { .service_id = hs_id_from_name (SERVICE) };
  struct hs_flow_demand other = { .service_id = hs_id_from_name ("beta") };

  report_room (&entry, "x", 5000, 3, 10);
  report_room (&entry, "y", 5000, 0, 10);
  report_room (&entry, "z", 5000, 2, 10);
  g_assert_false (hs_agent_pool_lacks_room (entry.pool, &other, 10));
  g_assert_cmpuint (place_flows (&entry, 20, 10), ==, 5);
  g_assert_true (hs_agent_pool_lacks_room (entry.pool, &demand, 10));
  /* Time alone makes no room, but the next report does.  */
  g_assert_cmpuint (place_flows (&entry, 20, 2000), ==, 0);
  report_room (&entry, "y", 5000, 4, 2000);
  g_assert_cmpuint (place_flows (&entry, 20, 2001), ==, 4);
  /* No rate is known, or the upstream is warm.  */
  report_room (&entry, "x", 5000, HS_COLD_ROOM_UNLIMITED, 2010);
  g_assert_cmpuint (place_flows (&entry, 20, 2011), ==, 20);
  report_room (&entry, "x", 0, 0, 2020);
  g_assert_cmpuint (place_flows (&entry, 20, 2021), ==, 20);
  talloc_free (entry.root);
}

static uint64_t
only_agent_of (const struct hs_forward_decision *decision)
{
  g_assert_cmpint (decision->action, ==, HS_FORWARD_TO_AGENTS);
  g_assert_cmpuint (decision->agents_len, ==, 1);
  g_assert_cmpuint (decision->cold_flow_rate, ==, RATE);
  return decision->agents[0]->report.agent_id;
}

/* Has all agents refuse a SYN for REASON, and returns the last decision.  */
static struct hs_forward_decision
refuse_at_all_agents (struct entry *entry, enum hs_reason reason)
{
  struct hs_segment syn = make_syn (1, 100);
  struct hs_forward_decision decision
      = hs_forwarder_route (entry->forwarder, &syn, 10);
  uint64_t tried[3];
  size_t tried_len = 0;

  while (decision.action == HS_FORWARD_TO_AGENTS)
    {
      uint64_t agent_id = only_agent_of (&decision);

      g_assert_cmpuint (tried_len, <, 3);
      for (size_t i = 0; i < tried_len; i++)
        g_assert_cmpuint (tried[i], !=, agent_id);
      tried[tried_len++] = agent_id;
      decision = hs_forwarder_handle_refused_syn (entry->forwarder, &syn,
                                                  agent_id, reason, 20);
    }
  g_assert_cmpuint (tried_len, ==, 3);
  return decision;
}

/* A caller whose SYN every agent has refused would wait in vain for an answer
   to its copies.  */
static void
test_refused_syn_goes_to_other_agents (void)
{
  struct entry entry = create_entry ();
  struct hs_forward_decision decision
      = refuse_at_all_agents (&entry, HS_REASON_WARMING_UP);

  g_assert_cmpint (decision.action, ==, HS_FORWARD_RESET);
  g_assert_cmpint (decision.reason, ==, HS_REASON_WARMING_UP);
  g_assert_nonnull (decision.least_busy);
  decision = refuse_at_all_agents (&entry, HS_REASON_EVACUATED);
  g_assert_cmpint (decision.action, ==, HS_FORWARD_DROP);
  talloc_free (entry.root);
}

/* Nothing waits at an entry for room.  */
static void
test_no_room_resets (void)
{
  struct entry entry = create_entry ();
  struct hs_segment syn = make_syn (1, 100);
  struct hs_forward_decision decision;
  uint64_t first;

  report_room (&entry, "x", 5000, 0, 10);
  report_room (&entry, "y", 5000, 1, 10);
  report_room (&entry, "z", 5000, 0, 10);
  decision = hs_forwarder_route (entry.forwarder, &syn, 11);
  first = only_agent_of (&decision);
  g_assert_cmpuint (first, ==, hs_id_from_name ("y"));
  /* Its copies go to the same agent, which does not count them.  */
  for (syn.ack = 1; syn.ack <= 2; syn.ack++)
    {
      decision = hs_forwarder_route (entry.forwarder, &syn, 11 + syn.ack);
      g_assert_cmpuint (only_agent_of (&decision), ==, first);
    }
  syn = make_syn (2, 100);
  decision = hs_forwarder_route (entry.forwarder, &syn, 20);
  g_assert_cmpint (decision.action, ==, HS_FORWARD_RESET);
  g_assert_cmpint (decision.reason, ==, HS_REASON_WARMING_UP);
  talloc_free (entry.root);
}

/* The rate follows the configuration in force.  */
static void
test_rate_of_service (void)
{
  struct entry entry = create_entry ();
  struct hs_routing *unlimited = create_routing (entry.root, 0);
  struct hs_segment syn = make_syn (1, 100);
  struct hs_segment ack = make_syn (1, 101);
  struct hs_forward_decision decision;
  uint64_t alpha = hs_id_from_name (SERVICE);

  decision = hs_forwarder_route (entry.forwarder, &syn, 10);
  g_assert_cmpuint (decision.cold_flow_rate, ==, RATE);
  ack.flags = HS_SEGMENT_ACK;
  decision = hs_forwarder_route (entry.forwarder, &ack, 11);
  g_assert_cmpuint (decision.cold_flow_rate, ==, 0);
  hs_forwarder_set_routing (entry.forwarder, unlimited);
  syn = make_syn (2, 100);
  decision = hs_forwarder_route (entry.forwarder, &syn, 12);
  g_assert_cmpint (decision.action, ==, HS_FORWARD_TO_AGENTS);
  g_assert_cmpuint (decision.cold_flow_rate, ==, 0);
  g_assert_cmpuint (hs_routing_cold_flow_rate (unlimited, alpha), ==, 0);
  g_assert_cmpuint (
      hs_routing_cold_flow_rate (unlimited, hs_id_from_name ("beta")), ==, 7);
  g_assert_cmpuint (
      hs_routing_cold_flow_rate (unlimited, hs_id_from_name ("gamma")), ==, 0);
  talloc_free (entry.root);
}

/* Public definitions.  */

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/warm-up/random-bursts", test_random_bursts);
  g_test_add_func ("/warm-up/low-rate", test_low_rate);
  g_test_add_func ("/warm-up/filled-window", test_filled_window);
  g_test_add_func ("/warm-up/window-bounded", test_window_bounded);
  g_test_add_func ("/warm-up/many-entries", test_many_entries);
  g_test_add_func ("/warm-up/copies", test_copies_not_counted);
  g_test_add_func ("/warm-up/no-limit", test_no_limit);
  g_test_add_func ("/warm-up/warm-upstream", test_warm_upstream);
  g_test_add_func ("/warm-up/agent-restart", test_agent_restart);
  g_test_add_func ("/warm-up/restart-at-any-time", test_restart_at_any_time);
  g_test_add_func ("/warm-up/simultaneous-start", test_simultaneous_start);
  g_test_add_func ("/warm-up/late-heartbeats", test_late_heartbeats);
  g_test_add_func ("/warm-up/end-of-evacuation", test_end_of_evacuation);
  g_test_add_func ("/warm-up/cold-after-evacuation",
                   test_cold_after_evacuation);
  g_test_add_func ("/warm-up/late-heartbeats-after-evacuation",
                   test_late_heartbeats_after_evacuation);
  g_test_add_func ("/warm-up/evacuated-again", test_evacuated_again);
  g_test_add_func ("/warm-up/syns-while-evacuated", test_syns_while_evacuated);
  g_test_add_func ("/warm-up/placement-by-room", test_placement_by_room);
  g_test_add_func ("/warm-up/refused-syn",
                   test_refused_syn_goes_to_other_agents);
  g_test_add_func ("/warm-up/no-room", test_no_room_resets);
  g_test_add_func ("/warm-up/rate-of-service", test_rate_of_service);
  return g_test_run ();
}
