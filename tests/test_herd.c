/* test_herd.c -- a peak of load at many entries that place flows on the same
   upstreams.

   Guards against herds: each entry knows the loads of a few agents, from up to
   some 200 ms ago, and none of the flows that the other entries have placed
   since.  Many of them place flows on the same idle upstream, whose queue then
   overflows while others have free slots.

   Forty entries place requests of one flow each on twenty upstreams with two
   slots and a queue of eight.  hs_load_poller decides which loads an entry
   asks for, hs_forwarder where a flow is placed, and hs_sidecar whether the
   agent accepts it, in virtual time; each run is determined by its seed.  A
   caller that is refused or rejected retries twice, 10 ms later, at any
   entry.  */

#include "base/addr.h"
#include "hibiscusspan.h"

#include <math.h>
#include <stdio.h>
#include <talloc.h>

/* Types.  */

#define ENTRIES 40
#define AGENTS 20
#define SLOTS 2
#define QUEUE_MAX 8
#define WORK_MS 40.0
#define SLO_MS 300
#define ATTEMPTS 3
#define RETRY_MS 10
#define INNER_DELAY_MS 1  /* Between an entry and an agent.  */
#define CALLER_DELAY_MS 8 /* Round trip between an agent and a caller.  */
#define HEARTBEAT_MS 1000
#define TICK_MS 100 /* Of the agents.  */
#define DURATION_MS 14000
#define TAIL_MS 2000 /* After the last request.  */
#define PEAK_FROM_MS 4000
#define PEAK_TO_MS 8000
#define REQUESTS_MAX 16384
#define SERVICE "registro"
#define SEEDS 10

enum event_type
{
  EVENT_ATTEMPT,
  EVENT_SYN,     /* Reaches the agent.  */
  EVENT_REFUSED, /* Reaches the entry.  */
  EVENT_DATA,    /* Reaches the agent.  */
  EVENT_DONE,    /* The upstream responds.  */
  EVENT_QUERY,   /* Reaches the agent.  */
  EVENT_REPORT   /* Reaches the entry.  */
};

struct event
{
  enum event_type type;
  size_t entry;
  size_t agent;
  size_t request;
  uint32_t wait_max_ms;
  enum hs_reason reason;
  struct hs_load_report report;
};

struct request
{
  uint64_t arrived_at; /* ms  */
  unsigned int attempts;
};

struct agent
{
  struct hs_sidecar *sidecar;
  uint64_t seq;
  unsigned int running;
  GQueue waiting; /* Indexes of requests.  */
};

struct simulation;

struct entry
{
  struct simulation *sim;
  size_t index;
  struct hs_agent_pool *pool;
  struct hs_load_poller *poller;
  struct hs_forwarder *forwarder;
};

struct result
{
  unsigned int requests;
  unsigned int in_time;
  unsigned int rejected; /* Attempts that found the upstream's queue full.  */
  unsigned int refused;  /* Attempts refused before.  */
};

struct simulation
{
  GRand *rand;
  bool agents_refuse; /* Agents are told how long a request may wait.  */
  uint64_t now;       /* ms  */
  struct hs_routing *routing;
  struct entry entries[ENTRIES];
  struct agent agents[AGENTS];
  struct hs_addr addresses[AGENTS];
  GQueue events[DURATION_MS + TAIL_MS];
  struct request requests[REQUESTS_MAX];
  struct result result;
};

/* Private functions.  */

static void
schedule (struct simulation *sim, uint64_t delay, struct event event)
{
  if (sim->now + delay < DURATION_MS + TAIL_MS)
    g_queue_push_tail (&sim->events[sim->now + delay],
                       g_memdup2 (&event, sizeof event));
}

/* Returns a segment of the present attempt of a request.  */
static struct hs_segment
make_segment (const struct simulation *sim, size_t request, unsigned int flags,
              uint16_t payload_len)
{
  struct hs_segment segment = { .flags = flags, .payload_len = payload_len };

  segment.from
      = hs_addr_from_ipv4 (0x64400000 + (uint32_t)request,
                           (uint16_t)(1000 + sim->requests[request].attempts));
  segment.to = hs_addr_from_ipv4 (0xc6120001, 80);
  segment.seq = flags == HS_SEGMENT_SYN ? 1 : 2;
  segment.ack = 2;
  return segment;
}

static struct hs_segment
reverse (struct hs_segment segment)
{
  struct hs_addr from = segment.from;

  segment.from = segment.to;
  segment.to = from;
  return segment;
}

static void
retry (struct simulation *sim, size_t request)
{
  if (sim->requests[request].attempts < ATTEMPTS)
    schedule (sim, RETRY_MS,
              (struct event){ .type = EVENT_ATTEMPT, .request = request });
}

static void
handle_decision (struct simulation *sim, size_t entry, size_t request,
                 const struct hs_forward_decision *decision)
{
  if (decision->action != HS_FORWARD_TO_AGENTS)
    {
      sim->result.refused++;
      retry (sim, request);
      return;
    }
  hs_load_poller_handle_syn (sim->entries[entry].poller,
                             decision->agents[0]->report.service_id, sim->now);
  schedule (
      sim, INNER_DELAY_MS,
      (struct event){
          .type = EVENT_SYN,
          .entry = entry,
          .agent = (size_t)decision->agents[0]->report.agent_id - 1,
          .request = request,
          .wait_max_ms = sim->agents_refuse ? decision->wait_max_ms : 0 });
}

static void
attempt (struct simulation *sim, size_t request)
{
  size_t entry = (size_t)g_rand_int_range (sim->rand, 0, ENTRIES);
  struct hs_segment syn;
  struct hs_forward_decision decision;

  sim->requests[request].attempts++;
  syn = make_segment (sim, request, HS_SEGMENT_SYN, 0);
  decision
      = hs_forwarder_route (sim->entries[entry].forwarder, &syn, sim->now);
  handle_decision (sim, entry, request, &decision);
}

static void
on_syn (struct simulation *sim, const struct event *event)
{
  struct hs_segment syn
      = make_segment (sim, event->request, HS_SEGMENT_SYN, 0);
  struct hs_addr from = hs_addr_from_ipv4 (0x0a010000, 7000);
  struct hs_sidecar *sidecar = sim->agents[event->agent].sidecar;
  struct hs_sidecar_decision decision = hs_sidecar_handle_entry_segment (
      sidecar, &syn, &from, hs_id_from_name (SERVICE), event->wait_max_ms,
      false, sim->now);
  struct event next = *event;

  next.type = EVENT_REFUSED;
  next.reason = decision.reason;
  if (decision.action == HS_SIDECAR_REFUSE)
    {
      schedule (sim, INNER_DELAY_MS, next);
      return;
    }
  syn = reverse (syn);
  syn.flags = HS_SEGMENT_SYN | HS_SEGMENT_ACK;
  hs_sidecar_handle_upstream_segment (sidecar, &syn, sim->now);
  next.type = EVENT_DATA;
  schedule (sim, CALLER_DELAY_MS, next);
}

static void
on_refused (struct simulation *sim, const struct event *event)
{
  struct hs_segment syn
      = make_segment (sim, event->request, HS_SEGMENT_SYN, 0);
  struct hs_forward_decision decision = hs_forwarder_handle_refused_syn (
      sim->entries[event->entry].forwarder, &syn, event->agent + 1,
      event->reason, sim->now);

  handle_decision (sim, event->entry, event->request, &decision);
}

static void
start_work (struct simulation *sim, size_t agent, size_t request)
{
  double work = -WORK_MS * log (g_rand_double_range (sim->rand, 0.001, 1));

  sim->agents[agent].running++;
  schedule (sim, (uint64_t)work + 1,
            (struct event){
                .type = EVENT_DONE, .agent = agent, .request = request });
}

/* Passes the upstream's response and the end of the flow to the agent.  */
static void
respond (struct simulation *sim, size_t agent, size_t request)
{
  struct hs_sidecar *sidecar = sim->agents[agent].sidecar;
  struct hs_addr from = hs_addr_from_ipv4 (0x0a010000, 7000);
  struct hs_segment end
      = make_segment (sim, request, HS_SEGMENT_ACK | HS_SEGMENT_FIN, 0);
  struct hs_segment response = reverse (
      make_segment (sim, request, HS_SEGMENT_ACK | HS_SEGMENT_FIN, 100));

  hs_sidecar_handle_upstream_segment (sidecar, &response, sim->now);
  hs_sidecar_handle_entry_segment (
      sidecar, &end, &from, hs_id_from_name (SERVICE), 0, false, sim->now);
}

static void
on_data (struct simulation *sim, const struct event *event)
{
  struct agent *agent = &sim->agents[event->agent];
  struct hs_segment data
      = make_segment (sim, event->request, HS_SEGMENT_ACK, 100);
  struct hs_addr from = hs_addr_from_ipv4 (0x0a010000, 7000);

  hs_sidecar_handle_entry_segment (agent->sidecar, &data, &from,
                                   hs_id_from_name (SERVICE), 0, false,
                                   sim->now);
  if (agent->running < SLOTS)
    start_work (sim, event->agent, event->request);
  else if (g_queue_get_length (&agent->waiting) < QUEUE_MAX)
    g_queue_push_tail (&agent->waiting, GSIZE_TO_POINTER (event->request));
  else
    {
      sim->result.rejected++;
      respond (sim, event->agent, event->request);
      retry (sim, event->request);
    }
}

static void
on_done (struct simulation *sim, const struct event *event)
{
  struct agent *agent = &sim->agents[event->agent];

  agent->running--;
  respond (sim, event->agent, event->request);
  sim->result.in_time
      += sim->now - sim->requests[event->request].arrived_at <= SLO_MS;
  if (!g_queue_is_empty (&agent->waiting))
    start_work (sim, event->agent,
                GPOINTER_TO_SIZE (g_queue_pop_head (&agent->waiting)));
}

static void
on_query (struct simulation *sim, const struct event *event)
{
  struct agent *agent = &sim->agents[event->agent];
  struct event next = *event;

  next.type = EVENT_REPORT;
  hs_sidecar_fill_load_report (agent->sidecar, &next.report);
  next.report.agent_id = event->agent + 1;
  next.report.incarnation = 1;
  next.report.seq = ++agent->seq;
  next.report.address = sim->addresses[event->agent];
  next.report.zone[0] = 'a';
  schedule (sim, INNER_DELAY_MS, next);
}

static void
on_report (struct simulation *sim, const struct event *event)
{
  struct entry *entry = &sim->entries[event->entry];

  if (hs_load_poller_handle_report (entry->poller, &event->report))
    hs_agent_pool_update (entry->pool, &event->report, sim->now);
}

static void
handle_event (struct simulation *sim, const struct event *event)
{
  switch (event->type)
    {
    case EVENT_ATTEMPT:
      attempt (sim, event->request);
      break;
    case EVENT_SYN:
      on_syn (sim, event);
      break;
    case EVENT_REFUSED:
      on_refused (sim, event);
      break;
    case EVENT_DATA:
      on_data (sim, event);
      break;
    case EVENT_DONE:
      on_done (sim, event);
      break;
    case EVENT_QUERY:
      on_query (sim, event);
      break;
    case EVENT_REPORT:
      on_report (sim, event);
      break;
    }
}

static void
on_query_load (void *ctx, const struct hs_addr *address)
{
  struct entry *entry = ctx;

  schedule (entry->sim, INNER_DELAY_MS,
            (struct event){ .type = EVENT_QUERY,
                            .entry = entry->index,
                            .agent = address->ip[15] });
}

static void
ignore_reset (void *ctx, const struct hs_segment *segment)
{
  (void)ctx;
  (void)segment;
}

static void
ignore_query (void *ctx, const struct hs_pool_agent *agent,
              const struct hs_segment *segment)
{
  (void)ctx;
  (void)agent;
  (void)segment;
}

static void
ignore_pending (void *ctx, const struct hs_segment_key *key,
                const struct hs_pool_agent *agent, bool owner_only)
{
  (void)ctx;
  (void)key;
  (void)agent;
  (void)owner_only;
}

static void
ignore_record (void *ctx, const struct hs_pool_agent *directory,
               const struct hs_segment_key *key, uint64_t owner_id)
{
  (void)ctx;
  (void)directory;
  (void)key;
  (void)owner_id;
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

static void
create_entries (struct simulation *sim)
{
  struct hs_forwarder_ops ops
      = { ignore_reset, ignore_query, ignore_pending, ignore_record };
  struct hs_load_poller_ops poller_ops = { on_query_load };
  struct hs_egress_ops egress_ops = { ignore_sent };

  for (size_t i = 0; i < ENTRIES; i++)
    {
      struct entry *entry = &sim->entries[i];
      struct hs_egress *egress = hs_egress_create (sim, 0, &egress_ops, NULL);

      entry->sim = sim;
      entry->index = i;
      entry->pool = hs_agent_pool_create (sim, "a");
      entry->poller
          = hs_load_poller_create (sim, "a", entry->pool, &poller_ops, entry);
      entry->forwarder = hs_forwarder_create (
          sim, entry->pool, hs_uplink_create (sim, 0, egress), &ops, entry);
      hs_forwarder_set_routing (entry->forwarder, sim->routing);
      hs_load_poller_set_agents (entry->poller, sim->addresses, AGENTS);
    }
}

static void
create_agents (struct simulation *sim)
{
  struct hs_sidecar_ops ops = { ignore_reset };

  for (size_t i = 0; i < AGENTS; i++)
    {
      sim->addresses[i] = hs_addr_from_ipv4 (0x0a000000 + (uint32_t)i, 7000);
      sim->agents[i].sidecar = hs_sidecar_create (
          sim, SERVICE, &sim->addresses[i], HEARTBEAT_MS, 1, &ops, NULL);
      g_queue_init (&sim->agents[i].waiting);
    }
}

static struct hs_routing *
create_routing (void *parent)
{
  struct hs_traffic_split split = { SERVICE, 1 };
  struct hs_service_route route
      = { .name = "r",
          .address = hs_addr_from_ipv4 (0xc6120001, 80),
          .request_class = HS_REQUEST_CLASS_ONCE,
          .timeout_ms = 3000,
          .slo_ms = SLO_MS,
          .priority = 1,
          .splits_len = 1,
          .splits = &split };
  const char *service = SERVICE;
  struct hs_configuration configuration = { .version = 1,
                                            .routes_len = 1,
                                            .routes = &route,
                                            .services_len = 1,
                                            .service_names = &service,
                                            .flow_idle_ms = 15000 };

  return hs_routing_create (parent, &configuration);
}

static void
send_heartbeats (struct simulation *sim)
{
  for (size_t i = 0; i < AGENTS; i++)
    {
      struct hs_heartbeat heartbeat = { .id = "i",
                                        .service_name = SERVICE,
                                        .address = sim->addresses[i],
                                        .state = HS_UPSTREAM_READY,
                                        .slots = SLOTS,
                                        .started_at = 1,
                                        .seq = sim->now + 1 };
      bool ok = hs_sidecar_handle_heartbeat (sim->agents[i].sidecar,
                                             &heartbeat, sim->now, NULL);

      g_assert_true (ok);
    }
}

/* Runs the simulation.  PEAK_LOAD: offered load during the peak as a share of
   the upstreams' capacity.  */
static struct result
simulate (uint64_t seed, double peak_load, bool agents_refuse)
{
  struct simulation *sim = talloc_zero (NULL, struct simulation);
  double capacity = AGENTS * SLOTS / WORK_MS; /* Requests per ms.  */
  double requests_due = 0;
  struct result result;

  sim->rand = g_rand_new_with_seed ((guint32)seed);
  sim->agents_refuse = agents_refuse;
  for (size_t i = 0; i < DURATION_MS + TAIL_MS; i++)
    g_queue_init (&sim->events[i]);
  sim->routing = create_routing (sim);
  create_agents (sim);
  create_entries (sim);
  for (; sim->now < DURATION_MS + TAIL_MS; sim->now++)
    {
      bool is_peak = sim->now >= PEAK_FROM_MS && sim->now < PEAK_TO_MS;
      struct event *event;

      if (sim->now % HEARTBEAT_MS == 0)
        send_heartbeats (sim);
      if (sim->now % TICK_MS == 0)
        for (size_t i = 0; i < AGENTS; i++)
          hs_sidecar_tick (sim->agents[i].sidecar, sim->now);
      for (size_t i = 0; i < ENTRIES; i++)
        if ((sim->now + i) % HS_LOAD_POLLER_TICK_MS == 0)
          hs_load_poller_tick (sim->entries[i].poller, sim->now);
      if (sim->now > HEARTBEAT_MS && sim->now < DURATION_MS)
        requests_due += capacity * (is_peak ? peak_load : 0.5);
      for (; requests_due >= 1; requests_due -= 1)
        {
          size_t request = sim->result.requests++;

          g_assert_cmpuint (request, <, REQUESTS_MAX);
          sim->requests[request].arrived_at = sim->now;
          attempt (sim, request);
        }
      while ((event = g_queue_pop_head (&sim->events[sim->now])) != NULL)
        {
          handle_event (sim, event);
          g_free (event);
        }
    }
  result = sim->result;
  for (size_t i = 0; i < AGENTS; i++)
    g_queue_clear (&sim->agents[i].waiting);
  g_rand_free (sim->rand);
  talloc_free (sim);
  return result;
}

static double
in_time_ratio (const struct result *result)
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
        struct result result = simulate (seed, 1.3, refuses != 0);

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
      struct result result = simulate (seed, 0.5, true);

      g_assert_cmpuint (result.refused, ==, 0);
      g_assert_cmpfloat (in_time_ratio (&result), >, 0.99);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/herd/peak", test_agents_refuse_at_peak);
  g_test_add_func ("/herd/half-load", test_nothing_refused_at_half_load);
  return g_test_run ();
}
