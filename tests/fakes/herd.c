/* herd.c -- many entries that place requests on the same upstreams.

   hs_load_poller decides which loads an entry asks for, hs_forwarder where a
   flow is placed, and hs_sidecar whether the agent accepts it.  */

#include "fakes/herd.h"
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
#define UNEVEN_WORK_MS 20.0 /* Of most requests, at speed 1.  */
#define UNEVEN_SLO_MS 250
#define TAIL_PERCENT 3 /* Requests that take TAIL_FACTOR times as long.  */
#define TAIL_FACTOR 7.0
#define SLOW_FACTOR 5.0 /* Of the upstream that slows down.  */
#define SLOW_AGENT 0
#define ADAPTED_FACTOR 2.5
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
#define REQUESTS_MAX 32768
#define SERVICE "registro"
#define REPORT_INTERVAL_MS 200

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
  double work_ms; /* At speed 1; 0: not drawn yet.  */
};

struct agent
{
  struct hs_sidecar *sidecar;
  uint64_t seq;
  unsigned int running;
  unsigned int placed; /* Requests placed here and not answered; HERD_RANDOM
                          and HERD_IDEAL.  */
  GQueue waiting;      /* Indexes of requests.  */
  double speed;
  double busy_ms;        /* Time in slots of all requests started.  */
  double free_at[SLOTS]; /* ms, when the requests placed on each slot end;
                            HERD_IDEAL on an uneven load.  */
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

struct simulation
{
  GRand *rand;
  enum herd_policy policy;
  const struct herd_load *load;
  double mean_work_ms; /* At speed 1.  */
  uint32_t slo_ms;
  uint32_t work_before_us; /* Mean work that the slow upstream reported when it
                              slowed down.  */
  uint64_t now;            /* ms  */
  struct hs_routing *routing;
  struct entry entries[ENTRIES];
  struct agent agents[AGENTS];
  struct hs_addr addresses[AGENTS];
  GQueue events[DURATION_MS + TAIL_MS];
  struct request requests[REQUESTS_MAX];
  GArray *latencies; /* double, ms, of the answered requests.  */
  struct herd_result result;
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

static bool
has_free_slot (const struct simulation *sim)
{
  for (size_t i = 0; i < AGENTS; i++)
    if (sim->agents[i].running < SLOTS)
      return true;
  return false;
}

static void
handle_decision (struct simulation *sim, size_t entry, size_t request,
                 const struct hs_forward_decision *decision)
{
  if (decision->action != HS_FORWARD_TO_AGENTS)
    {
      sim->result.refused++;
      sim->result.refused_with_free_slot += has_free_slot (sim);
      retry (sim, request);
      return;
    }
  hs_load_poller_handle_syn (sim->entries[entry].poller,
                             decision->agents[0]->report.service_id, sim->now);
  schedule (sim, INNER_DELAY_MS,
            (struct event){
                .type = EVENT_SYN,
                .entry = entry,
                .agent = (size_t)decision->agents[0]->report.agent_id - 1,
                .request = request,
                .wait_max_ms
                = sim->policy == HERD_PRESENT || sim->policy == HERD_BY_COUNT
                      ? decision->wait_max_ms
                      : 0 });
}

/* Returns the time that a request takes at AGENT.  */
static double
work_at (struct simulation *sim, size_t request, size_t agent)
{
  struct request *drawn = &sim->requests[request];
  double base_ms = sim->load->is_uneven ? UNEVEN_WORK_MS : WORK_MS;

  if (drawn->work_ms == 0)
    {
      drawn->work_ms
          = -base_ms * log (g_rand_double_range (sim->rand, 0.001, 1));
      if (sim->load->is_uneven
          && g_rand_int_range (sim->rand, 0, 100) < TAIL_PERCENT)
        drawn->work_ms *= TAIL_FACTOR;
    }
  return drawn->work_ms / sim->agents[agent].speed;
}

static double *
first_free_slot (struct agent *agent)
{
  double *first = &agent->free_at[0];

  for (size_t i = 1; i < SLOTS; i++)
    if (agent->free_at[i] < *first)
      first = &agent->free_at[i];
  return first;
}

static double
completion_of (struct simulation *sim, struct agent *agent)
{
  return MAX ((double)sim->now, *first_free_slot (agent))
         + sim->mean_work_ms / agent->speed;
}

static size_t
first_to_complete (struct simulation *sim)
{
  size_t best = 0;

  for (size_t i = 1; i < AGENTS; i++)
    if (completion_of (sim, &sim->agents[i])
        < completion_of (sim, &sim->agents[best]))
      best = i;
  return best;
}

static size_t
place_by_work (struct simulation *sim, size_t request)
{
  size_t agent = first_to_complete (sim);
  double *slot = first_free_slot (&sim->agents[agent]);

  *slot = MAX ((double)sim->now, *slot) + work_at (sim, request, agent);
  return agent;
}

/* Returns the agent with the fewest requests, including those whose flow has
   just been placed.  */
static size_t
least_busy_agent (const struct simulation *sim)
{
  size_t best = 0;

  for (size_t i = 1; i < AGENTS; i++)
    if (sim->agents[i].placed < sim->agents[best].placed)
      best = i;
  return best;
}

/* Places a request as HERD_RANDOM and HERD_IDEAL do.  */
static void
place_without_entry (struct simulation *sim, size_t request)
{
  size_t agent = sim->policy != HERD_IDEAL
                     ? (size_t)g_rand_int_range (sim->rand, 0, AGENTS)
                 : sim->load->is_uneven ? place_by_work (sim, request)
                                        : least_busy_agent (sim);

  sim->agents[agent].placed++;
  schedule (
      sim, INNER_DELAY_MS,
      (struct event){ .type = EVENT_SYN, .agent = agent, .request = request });
}

static void
attempt (struct simulation *sim, size_t request)
{
  size_t entry = (size_t)g_rand_int_range (sim->rand, 0, ENTRIES);
  struct hs_segment syn;
  struct hs_forward_decision decision;

  sim->requests[request].attempts++;
  if (sim->policy == HERD_RANDOM || sim->policy == HERD_IDEAL)
    {
      place_without_entry (sim, request);
      return;
    }
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
      sidecar, &syn, &from, hs_id_from_name (SERVICE), event->wait_max_ms, 0,
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
  double work = work_at (sim, request, agent);

  sim->agents[agent].running++;
  sim->agents[agent].busy_ms += work;
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
      sidecar, &end, &from, hs_id_from_name (SERVICE), 0, 0, false, sim->now);
  if (sim->agents[agent].placed > 0)
    sim->agents[agent].placed--;
}

static void
on_data (struct simulation *sim, const struct event *event)
{
  struct agent *agent = &sim->agents[event->agent];
  struct hs_segment data
      = make_segment (sim, event->request, HS_SEGMENT_ACK, 100);
  struct hs_addr from = hs_addr_from_ipv4 (0x0a010000, 7000);

  hs_sidecar_handle_entry_segment (agent->sidecar, &data, &from,
                                   hs_id_from_name (SERVICE), 0, 0, false,
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
  double latency_ms
      = (double)(sim->now - sim->requests[event->request].arrived_at);

  agent->running--;
  respond (sim, event->agent, event->request);
  g_array_append_val (sim->latencies, latency_ms);
  if (latency_ms <= sim->slo_ms)
    sim->result.in_time++;
  else
    sim->result.late++;
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
  hs_sidecar_fill_load_report (agent->sidecar, &next.report, sim->now);
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
  struct hs_load_report report = event->report;

  if (sim->policy == HERD_BY_COUNT)
    {
      report.work_left_us = 0;
      report.mean_work_us = (uint32_t)(sim->mean_work_ms * 1000);
    }
  if (sim->policy == HERD_REPORTS
      || hs_load_poller_handle_report (entry->poller, &report))
    hs_agent_pool_update (entry->pool, &report, sim->now);
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
ignore_unowned (void *ctx, const struct hs_segment *segment, size_t non_owners)
{
  (void)ctx;
  (void)segment;
  (void)non_owners;
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
                const struct hs_pool_agent *agent, bool owner_only,
                uint64_t age_max_ms)
{
  (void)ctx;
  (void)key;
  (void)agent;
  (void)owner_only;
  (void)age_max_ms;
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
      = { ignore_unowned, ignore_query, ignore_pending, ignore_record };
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
      if (sim->policy != HERD_REPORTS)
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
      sim->agents[i].speed = !sim->load->is_uneven ? 1
                             : i % 3 == 2          ? 1.7
                                                   : 0.7;
    }
}

static struct hs_routing *
create_routing (void *parent, uint32_t slo_ms)
{
  struct hs_traffic_split split = { SERVICE, 1 };
  struct hs_service_route route
      = { .name = "r",
          .address = hs_addr_from_ipv4 (0xc6120001, 80),
          .request_class = HS_REQUEST_CLASS_ONCE,
          .timeout_ms = 3000,
          .slo_ms = slo_ms,
          .priority = 1,
          .splits_len = 1,
          .splits = &split };
  struct hs_configured_service service = { .name = SERVICE };
  struct hs_configuration configuration = { .version = 1,
                                            .routes_len = 1,
                                            .routes = &route,
                                            .services_len = 1,
                                            .services = &service,
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

/* Sends the reports of HERD_REPORTS that are due, spread over the interval. */
static void
send_reports (struct simulation *sim)
{
  for (size_t i = 0; i < AGENTS; i++)
    if (sim->now % REPORT_INTERVAL_MS == i * REPORT_INTERVAL_MS / AGENTS)
      for (size_t k = 0; k < ENTRIES; k++)
        on_query (sim, &(struct event){
                           .type = EVENT_QUERY, .entry = k, .agent = i });
}

/* Slows an upstream down when it is due, and records when its agent has seen
   that.  */
static void
slow_down (struct simulation *sim)
{
  uint64_t slow_from_ms = sim->load->slow_from_ms;
  struct agent *agent = &sim->agents[SLOW_AGENT];
  struct hs_load_report report;

  if (slow_from_ms == 0 || sim->now < slow_from_ms
      || sim->result.adapt_ms != 0)
    return;
  hs_sidecar_fill_load_report (agent->sidecar, &report, sim->now);
  if (sim->now == slow_from_ms)
    {
      sim->work_before_us = report.mean_work_us;
      agent->speed /= SLOW_FACTOR;
    }
  if (report.mean_work_us > ADAPTED_FACTOR * sim->work_before_us)
    sim->result.adapt_ms = sim->now - slow_from_ms;
}

static void
tick (struct simulation *sim)
{
  slow_down (sim);
  if (sim->now % HEARTBEAT_MS == 0)
    send_heartbeats (sim);
  if (sim->now % TICK_MS == 0)
    for (size_t i = 0; i < AGENTS; i++)
      hs_sidecar_tick (sim->agents[i].sidecar, sim->now);
  if (sim->policy == HERD_REPORTS)
    send_reports (sim);
  for (size_t i = 0; i < ENTRIES; i++)
    if ((sim->now + i) % HS_LOAD_POLLER_TICK_MS == 0)
      hs_load_poller_tick (sim->entries[i].poller, sim->now);
}

static int
compare_latencies (gconstpointer a, gconstpointer b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;

  return first < second ? -1 : first > second;
}

static double
latency_percentile (GArray *latencies, unsigned int percent)
{
  g_array_sort (latencies, compare_latencies);
  return latencies->len > 0
             ? g_array_index (latencies, double, latencies->len *percent / 101)
             : 0;
}

static void
handle_events (struct simulation *sim)
{
  struct event *event;

  while ((event = g_queue_pop_head (&sim->events[sim->now])) != NULL)
    {
      handle_event (sim, event);
      g_free (event);
    }
}

static void
destroy_simulation (struct simulation *sim)
{
  for (size_t i = 0; i < AGENTS; i++)
    g_queue_clear (&sim->agents[i].waiting);
  g_array_free (sim->latencies, TRUE);
  g_rand_free (sim->rand);
  talloc_free (sim);
}

static double
total_speed (const struct simulation *sim)
{
  double sum = 0;

  for (size_t i = 0; i < AGENTS; i++)
    sum += sim->agents[i].speed;
  return sum;
}

static double
imbalance (const struct simulation *sim)
{
  double busiest_ms = 0;
  double sum_ms = 0;

  for (size_t i = 0; i < AGENTS; i++)
    {
      busiest_ms = MAX (busiest_ms, sim->agents[i].busy_ms);
      sum_ms += sim->agents[i].busy_ms;
    }
  return busiest_ms / (sum_ms / AGENTS);
}

static struct simulation *
create_simulation (uint64_t seed, const struct herd_load *load,
                   enum herd_policy policy)
{
  struct simulation *sim = talloc_zero (NULL, struct simulation);
  double tail_factor = 1 + TAIL_PERCENT / 100.0 * (TAIL_FACTOR - 1);

  sim->rand = g_rand_new_with_seed ((guint32)seed);
  sim->policy = policy;
  sim->load = load;
  sim->mean_work_ms = load->is_uneven ? UNEVEN_WORK_MS * tail_factor : WORK_MS;
  sim->slo_ms = load->is_uneven ? UNEVEN_SLO_MS : SLO_MS;
  sim->latencies = g_array_new (FALSE, FALSE, sizeof (double));
  for (size_t i = 0; i < DURATION_MS + TAIL_MS; i++)
    g_queue_init (&sim->events[i]);
  sim->routing = create_routing (sim, sim->slo_ms);
  create_agents (sim);
  create_entries (sim);
  return sim;
}

static void
add_requests (struct simulation *sim, double requests_due)
{
  while (sim->result.requests < (unsigned int)requests_due)
    {
      size_t request = sim->result.requests++;

      g_assert_cmpuint (request, <, REQUESTS_MAX);
      sim->requests[request].arrived_at = sim->now;
      attempt (sim, request);
    }
}

/* Public definitions.  */

struct herd_result
herd_simulate (uint64_t seed, double peak_load, enum herd_policy policy)
{
  return herd_simulate_load (
      seed, &(struct herd_load){ .base = 0.5, .peak = peak_load }, policy);
}

struct herd_result
herd_simulate_load (uint64_t seed, const struct herd_load *load,
                    enum herd_policy policy)
{
  struct simulation *sim = create_simulation (seed, load, policy);
  /* Requests per ms.  */
  double capacity = total_speed (sim) * SLOTS / sim->mean_work_ms;
  double peak_excess
      = (load->peak - 1) * capacity * (PEAK_TO_MS - PEAK_FROM_MS);
  double requests_due = 0;
  struct herd_result result;

  for (; sim->now < DURATION_MS + TAIL_MS; sim->now++)
    {
      bool is_peak = sim->now >= PEAK_FROM_MS && sim->now < PEAK_TO_MS;

      tick (sim);
      if (sim->now > HEARTBEAT_MS && sim->now < DURATION_MS)
        requests_due += capacity * (is_peak ? load->peak : load->base);
      add_requests (sim, requests_due);
      handle_events (sim);
    }
  result = sim->result;
  result.p50_ms = latency_percentile (sim->latencies, 50);
  result.p99_ms = latency_percentile (sim->latencies, 99);
  result.imbalance = imbalance (sim);
  result.capacity_ratio
      = load->peak > 1 ? 1 - peak_excess / result.requests : 1;
  destroy_simulation (sim);
  return result;
}
