/* segment_agent.c -- the agent daemon of segment flows.

   Threads: receiver, decision worker (named "decide"; this file, which
   executes the decisions of src/segment), sender, two HTTP servers, log.  */

#include "agent/segment_agent.h"
#include "agent/held_syns.h"
#include "agent/load_queriers.h"
#include "base/auto.h"
#include "daemon/segment_node.h"

#include <string.h>
#include <unistd.h>

/* Types.  */

#define POOL_BATCHES 6    /* To limit memory: a batch takes up to 128 KiB.  */
#define TAG_OUTBOUND 1    /* Tag of packets from outbound_fd.  */
#define CALL_QUEUE_LEN 64 /* HTTP calls waiting for the decision worker.  */

/* HTTP status codes.  */
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503

/* Responses that take at least this long are logged.  */
#define SLOW_RESPONSE_MS 500

/* Time for the entries to stop placing flows on this agent, and for SYNs on
   their way to arrive and be returned.  */
#define DRAIN_DURATION_MS 300

/* An HTTP call of the upstream, handed from the server's thread to the
   decision worker.  */
struct upstream_call
{
  struct hs_http_request *request;
  enum hs_operation operation;   /* HEARTBEAT or LEAVE  */
  char id[HS_NAME_SIZE];         /* Id of the upstream.  */
  struct hs_heartbeat heartbeat; /* HEARTBEAT; LEAVE: started_at, 0 if it
                                    does not say.  */
};

/* Described by the help texts in create_metrics.  */
struct segment_agent_metrics
{
  struct hs_counter *delivered;
  struct hs_counter *returned;
  struct hs_counter *flows_opened;
  struct hs_counter *syns_refused;
  struct hs_counter *syns_refused_warming_up;
  struct hs_counter *resets;
  struct hs_counter *dropped;
  struct hs_counter *flows_claimed;
  struct hs_counter *heartbeats;
  struct hs_counter *heartbeats_refused;
  struct hs_counter *requests_in_progress;
  struct hs_counter *open_flows;
  struct hs_counter *dormant_flows;
  struct hs_counter *flow_idle_ms;
  struct hs_counter *state;
  struct hs_counter *evacuated;
  struct hs_counter *cold;
  struct hs_counter *syns_held;
  struct hs_counter *held_syns;
  struct hs_histogram *held_ms;
  struct hs_counter *mean_work_ms;
  struct hs_counter *work_left_ms;
  struct hs_histogram *response_ms;
};

struct hs_segment_agent
{
  struct hs_segment_agent_settings settings;
  struct hs_log *log;
  struct hs_metrics *metric_set;
  struct segment_agent_metrics metrics;
  struct hs_segment_node *node;
  struct hs_http *heartbeat_server;
  struct hs_ring *calls; /* Queue of struct upstream_call.  */
  int outbound_fd;

  /* Used by the decision worker only.  */
  struct hs_sidecar *sidecar;
  struct hs_held_syns *held_syns;
  struct hs_directory *directory;
  struct hs_load_queriers *load_queriers;
  uint64_t report_seq;
  uint64_t drain_ends_at;             /* ms; 0: not draining  */
  enum hs_agent_state reported_state; /* The last of which the entries were
                                         notified.  */
};

/* Private functions.  */

static void create_metrics (struct hs_segment_agent *agent);
static bool create_components (struct hs_segment_agent *agent, GError **error);
static void on_http_request (void *ctx, struct hs_http_request *request);
static bool decode_call (struct hs_segment_agent *agent,
                         struct upstream_call *call, GError **error);
static void reject_call (struct upstream_call *call, unsigned int status,
                         const char *message);
static void on_call (void *ctx, void *item);
static void on_heartbeat (struct hs_segment_agent *agent,
                          struct upstream_call *call);
static void on_upstream_packet (void *ctx, struct hs_packet *packet,
                                uint64_t now);
static void on_inner_message (void *ctx, struct hs_packet *packet,
                              const struct hs_inner *message, uint64_t now);
static bool hold_syn (struct hs_segment_agent *agent, struct hs_packet *packet,
                      const struct hs_inner_segment_header *header,
                      const struct hs_segment *segment,
                      const struct hs_sidecar_decision *decision,
                      uint64_t now);
static bool on_configuration (void *ctx, uint64_t base_generation,
                              const uint8_t *bytes, size_t len);
static void on_agents_changed (void *ctx);
static void on_evacuations_changed (void *ctx,
                                    const struct hs_evacuations *evacuations);
static void on_tick (void *ctx, uint64_t now);
static void on_drain (void *ctx, uint64_t now);
static void execute_decision (struct hs_segment_agent *agent,
                              struct hs_packet *packet,
                              const struct hs_segment *segment,
                              bool from_caller,
                              const struct hs_sidecar_decision *decision,
                              uint64_t service_id);
static void refuse_syn (struct hs_segment_agent *agent,
                        struct hs_packet *packet,
                        const struct hs_sidecar_decision *decision,
                        uint64_t service_id);
static void reset_caller (struct hs_segment_agent *agent,
                          struct hs_packet *packet,
                          const struct hs_segment *segment);
static void send_lookup_answer (struct hs_segment_agent *agent,
                                struct hs_segment_key key,
                                const struct hs_sidecar_decision *decision);
static void on_lookup_query (struct hs_segment_agent *agent,
                             const struct hs_segment *queried_segment,
                             const struct hs_addr *entry, uint64_t now);
static void on_syn_released (void *ctx, const struct hs_released_syn *syn,
                             const struct hs_sidecar_decision *decision);
static void on_flow_lost (void *ctx, const struct hs_segment *segment);
static void log_decision (struct hs_segment_agent *agent,
                          const struct hs_segment *segment,
                          const struct hs_sidecar_decision *decision);
static void notify_entries (struct hs_segment_agent *agent);
static void send_load_report (void *ctx, const struct hs_addr *entry);

/* Public definitions.  */

struct hs_segment_agent *
hs_segment_agent_create (const struct hs_segment_agent_settings *settings,
                         struct hs_log *log, GError **error)
{
  struct hs_segment_agent *agent = talloc_zero (NULL, struct hs_segment_agent);

  agent->settings = *settings;
  agent->log = log;
  agent->reported_state = HS_AGENT_UPSTREAM_SILENT;
  agent->calls = hs_ring_create (agent, CALL_QUEUE_LEN);
  create_metrics (agent);
  agent->outbound_fd = hs_socket_bind (&settings->outbound_address, error);
  if (agent->outbound_fd >= 0 && create_components (agent, error))
    return agent;
  if (agent->outbound_fd >= 0)
    close (agent->outbound_fd);
  talloc_free (agent);
  return NULL;
}

void
hs_segment_agent_destroy (struct hs_segment_agent *agent)
{
  void *item;

  hs_http_close (agent->heartbeat_server);
  hs_segment_node_stop (agent->node);
  while ((item = hs_ring_pop (agent->calls)) != NULL)
    reject_call (item, STATUS_UNAVAILABLE, "agent is stopping");
  hs_http_destroy (agent->heartbeat_server);
  hs_segment_node_destroy (agent->node);
  close (agent->outbound_fd);
  talloc_free (agent);
}

void
hs_segment_agent_start (struct hs_segment_agent *agent)
{
  hs_segment_node_start (agent->node);
  hs_segment_node_set_readiness (agent->node, NULL);
}

void
hs_segment_agent_set_seeds (struct hs_segment_agent *agent,
                            const struct hs_addrs *seeds)
{
  hs_segment_node_set_seeds (agent->node, seeds);
}

void
hs_segment_agent_drain (struct hs_segment_agent *agent)
{
  hs_segment_node_drain (agent->node);
}

/* Private definitions.  */

static void
create_metrics (struct hs_segment_agent *agent)
{
  struct hs_metrics *set = hs_metrics_create (agent, "hibiscusspan_agent");
  struct segment_agent_metrics *metrics = &agent->metrics;

  agent->metric_set = set;
  metrics->delivered = hs_counter_create (set, "segments_delivered_total",
                                          "Segments sent to the upstream.");
  metrics->returned
      = hs_counter_create (set, "segments_answered_total",
                           "Segments of the upstream sent to callers.");
  metrics->flows_opened = hs_counter_create (set, "flows_opened_total",
                                             "SYNs sent to the upstream.");
  metrics->syns_refused = hs_counter_create (
      set, "syns_refused_total", "SYNs refused and returned to entries.");
  metrics->syns_refused_warming_up
      = hs_counter_create (set, "syns_refused_warming_up_total",
                           "SYNs refused because the upstream is cold.");
  metrics->resets
      = hs_counter_create (set, "resets_total",
                           "Resets sent to callers whose upstream lost their "
                           "flow.");
  metrics->dropped
      = hs_counter_create (set, "segments_dropped_total",
                           "Segments dropped because this agent does not own "
                           "their flow, or because "
                           "they are late copies of a SYN in an evacuation.");
  metrics->flows_claimed
      = hs_counter_create (set, "flows_claimed_total",
                           "Lookup answers that this agent owns the flow.");
  metrics->heartbeats = hs_counter_create (
      set, "heartbeats_total", "Heartbeats accepted from the upstream.");
  metrics->heartbeats_refused
      = hs_counter_create (set, "heartbeats_refused_total",
                           "Heartbeats rejected because they are malformed or "
                           "of another upstream.");
  metrics->requests_in_progress = hs_gauge_create (
      set, "requests_in_progress", "Requests in progress at the upstream.");
  metrics->open_flows
      = hs_gauge_create (set, "flows", "Open flows of the upstream.");
  metrics->dormant_flows = hs_gauge_create (
      set, "dormant_flows",
      "Flows that are open and have been silent for the idle timeout; not "
      "among flows.");
  metrics->flow_idle_ms = hs_gauge_create (
      set, "flow_idle_ms",
      "Idle timeout of flows in force, ms; 0: none, or not known yet.");
  metrics->state = hs_gauge_create (
      set, "state", "State: 0 ready, 1 draining, 2 upstream silent.");
  metrics->evacuated = hs_gauge_create (
      set, "evacuated", "1 if the availability zone is evacuated, else 0.");
  metrics->cold
      = hs_gauge_create (set, "cold", "1 while the upstream is cold.");
  metrics->syns_held = hs_counter_create (
      set, "syns_held_total",
      "SYNs, copies included, held until the upstream has room.");
  metrics->held_syns = hs_gauge_create (set, "held_syns", "SYNs held now.");
  metrics->held_ms = hs_histogram_create (
      set, "held_ms", "Time for which SYNs were held, ms.");
  metrics->mean_work_ms = hs_gauge_create (
      set, "expected_work_ms",
      "Time that a new request is expected to occupy a slot, ms.");
  metrics->work_left_ms
      = hs_gauge_create (set, "work_left_ms",
                         "Time in slots that the upstream is expected to need "
                         "for the requests it has, ms.");
  metrics->response_ms = hs_histogram_create (
      set, "answer_ms",
      "Time from a request to the start of its response, ms.");
}

static bool
create_components (struct hs_segment_agent *agent, GError **error)
{
  const struct hs_segment_agent_settings *settings = &agent->settings;
  struct hs_segment_node_settings node_settings
      = { .name = settings->name,
          .zone = settings->zone,
          .role = HS_ROLE_AGENT,
          .inner_address = settings->inner_address,
          .inner_bind_address = settings->inner_bind_address,
          .health_address = settings->health_address,
          .seeds = settings->seeds,
          .seed_port = settings->seed_port,
          .batches = POOL_BATCHES,
          .adapter = settings->adapter };
  struct hs_segment_node_ops node_ops = { on_upstream_packet,
                                          on_inner_message,
                                          on_configuration,
                                          on_agents_changed,
                                          on_evacuations_changed,
                                          on_tick,
                                          on_drain };
  struct hs_sidecar_ops sidecar_ops = { on_flow_lost };
  struct hs_held_syns_ops held_syns_ops = { on_syn_released };
  uint64_t flow_lifetime_ms = (uint64_t)(settings->flow_lifetime_s * 1000);
  struct hs_worker *worker;

  agent->node
      = hs_segment_node_create (agent, &node_settings, &node_ops, agent,
                                agent->metric_set, agent->log, error);
  if (agent->node == NULL)
    return false;
  worker = agent->node->datapath->decision_worker;
  agent->sidecar = hs_sidecar_create (
      worker, settings->service_name, &settings->upstream_address,
      settings->heartbeat_ms, hs_clock_wall (), &sidecar_ops, agent);
  hs_sidecar_set_flow_lifetime (agent->sidecar, flow_lifetime_ms);
  agent->held_syns
      = hs_held_syns_create (worker, agent->sidecar, &held_syns_ops, agent);
  agent->directory = hs_directory_create (worker, flow_lifetime_ms);
  agent->load_queriers = hs_load_queriers_create (worker);
  hs_worker_watch_ring (worker, agent->calls, on_call, agent);
  hs_receiver_watch (agent->node->datapath->receiver, agent->outbound_fd,
                     TAG_OUTBOUND);
  agent->heartbeat_server = hs_http_create (&settings->heartbeats_address,
                                            on_http_request, agent, error);
  if (agent->heartbeat_server != NULL)
    return true;
  hs_segment_node_destroy (agent->node);
  return false;
}

/* Queues the call for the decision worker.  An unknown or malformed call is
   rejected here, on the server's thread, since it changes no state.  */
static void
on_http_request (void *ctx, struct hs_http_request *request)
{
  struct hs_segment_agent *agent = ctx;
  struct upstream_call *call = talloc_zero (NULL, struct upstream_call);
  const struct hs_adapter *adapter = agent->settings.adapter;
  g_autoptr (GError) error = NULL;

  call->request = request;
  call->operation
      = adapter->decode_operation (adapter->ctx, hs_http_method (request),
                                   hs_http_path (request), call->id);
  if (call->operation != HS_OPERATION_HEARTBEAT
      && call->operation != HS_OPERATION_LEAVE)
    {
      reject_call (call, STATUS_NOT_FOUND, "unknown operation");
      return;
    }
  if (!decode_call (agent, call, &error))
    {
      hs_counter_add (agent->metrics.heartbeats_refused, 1);
      hs_log_write (agent->log, HS_LOG_WARNING, "heartbeat-refused",
                    "{s:s, s:s}", "upstream", call->id, "error",
                    error->message);
      reject_call (call, STATUS_BAD_REQUEST, error->message);
      return;
    }
  if (!hs_ring_push (agent->calls, call))
    reject_call (call, STATUS_UNAVAILABLE, "call queue is full");
}

static bool
decode_call (struct hs_segment_agent *agent, struct upstream_call *call,
             GError **error)
{
  const struct hs_adapter *adapter = agent->settings.adapter;
  size_t len;
  const char *body = hs_http_body (call->request, &len);

  if (call->operation == HS_OPERATION_LEAVE)
    return adapter->decode_leave (adapter->ctx, body, len,
                                  &call->heartbeat.started_at, error);
  return adapter->decode_heartbeat (adapter->ctx, call->id, body, len,
                                    &call->heartbeat, error);
}

/* Responds with STATUS and MESSAGE, and frees CALL.  */
static void
reject_call (struct upstream_call *call, unsigned int status,
             const char *message)
{
  hs_http_respond (call->request, status, "text/plain", message);
  talloc_free (call);
}

/* Handles ITEM, a struct upstream_call, on the decision worker's thread.  */
static void
on_call (void *ctx, void *item)
{
  struct hs_segment_agent *agent = ctx;
  struct upstream_call *call = item;

  if (call->operation == HS_OPERATION_HEARTBEAT)
    {
      on_heartbeat (agent, call);
      return;
    }
  hs_sidecar_handle_upstream_leave (agent->sidecar, call->id,
                                    call->heartbeat.started_at);
  hs_log_write (agent->log, HS_LOG_INFO, "upstream-goodbye", "{s:s}",
                "upstream", call->id);
  hs_http_respond (call->request, STATUS_OK, "application/json", "{}");
  talloc_free (call);
  notify_entries (agent);
}

static void
on_heartbeat (struct hs_segment_agent *agent, struct upstream_call *call)
{
  struct hs_heartbeat *beat = &call->heartbeat;
  struct hs_load_report load;
  uint64_t now = hs_clock_monotonic ();
  g_autoptr (GError) error = NULL;

  beat->age_ms = (int64_t)(hs_clock_wall () - beat->started_at);
  if (!hs_sidecar_handle_heartbeat (agent->sidecar, beat, now, &error))
    {
      hs_counter_add (agent->metrics.heartbeats_refused, 1);
      hs_log_write (agent->log, HS_LOG_WARNING, "heartbeat-refused",
                    "{s:s, s:s}", "upstream", call->id, "error",
                    error->message);
      reject_call (call, STATUS_BAD_REQUEST, error->message);
      return;
    }
  hs_counter_add (agent->metrics.heartbeats, 1);
  if (hs_sidecar_has_claim (agent->sidecar, beat->started_at))
    hs_log_write (agent->log, HS_LOG_INFO, "restart-unconfirmed",
                  "{s:s, s:I, s:I}", "upstream", call->id, "born",
                  (json_int_t)beat->started_at, "seq", (json_int_t)beat->seq);
  hs_sidecar_fill_load_report (agent->sidecar, &load, now);
  if (load.state != agent->reported_state)
    {
      hs_log_write (agent->log, HS_LOG_INFO, "upstream-state",
                    "{s:s, s:s, s:I, s:I, s:i}", "upstream", call->id, "state",
                    hs_agent_state_name (load.state), "born",
                    (json_int_t)beat->started_at, "seq", (json_int_t)beat->seq,
                    "slots", (int)load.slots);
      notify_entries (agent);
    }
  hs_http_respond (call->request, STATUS_OK, "application/json", "{}");
  talloc_free (call);
}

static void
on_upstream_packet (void *ctx, struct hs_packet *packet, uint64_t now)
{
  struct hs_segment_agent *agent = ctx;
  const struct hs_adapter *adapter = agent->settings.adapter;
  struct hs_segment segment;
  struct hs_sidecar_decision decision;

  if (!adapter->decode_segment (adapter->ctx, hs_packet_bytes (packet),
                                packet->len, &segment))
    {
      hs_counter_add (agent->node->malformed, 1);
      return;
    }
  decision
      = hs_sidecar_handle_upstream_segment (agent->sidecar, &segment, now);
  if ((segment.flags & HS_SEGMENT_RETURNED) != 0)
    adapter->restore_segment (adapter->ctx, hs_packet_bytes (packet));
  execute_decision (agent, packet, &segment,
                    (segment.flags & HS_SEGMENT_RETURNED) != 0, &decision, 0);
  if (decision.starts_response)
    hs_held_syns_release (agent->held_syns, now);
}

static void
on_inner_message (void *ctx, struct hs_packet *packet,
                  const struct hs_inner *message, uint64_t now)
{
  struct hs_segment_agent *agent = ctx;
  const struct hs_adapter *adapter = agent->settings.adapter;
  bool is_for_this_agent
      = message->segment_header.agent_id == agent->node->node_id;
  struct hs_segment segment;
  struct hs_sidecar_decision decision;

  if (message->type == HS_INNER_LOAD_QUERY)
    {
      hs_load_queriers_add (agent->load_queriers, &packet->peer, now);
      if (message->load_query.configuration_generation != 0)
        hs_sidecar_set_flow_idle (agent->sidecar,
                                  message->load_query.configuration_generation,
                                  message->load_query.flow_idle_ms);
      send_load_report (agent, &packet->peer);
    }
  if (message->type == HS_INNER_LOOKUP_QUERY)
    on_lookup_query (agent, &message->queried_segment, &packet->peer, now);
  if (message->type == HS_INNER_OWNERSHIP)
    hs_directory_put (agent->directory, &message->ownership.key,
                      message->ownership.agent_id, now);
  if (message->type != HS_INNER_FORWARD)
    return;
  if (!adapter->decode_segment (adapter->ctx, hs_packet_bytes (packet),
                                packet->len, &segment))
    {
      hs_counter_add (agent->node->malformed, 1);
      return;
    }
  /* A segment for an agent that had this address before is accepted only if
     this upstream owns the flow.  */
  decision = hs_sidecar_handle_entry_segment (
      agent->sidecar, &segment, &packet->peer,
      message->segment_header.service_id, message->segment_header.wait_max_ms,
      message->segment_header.cold_flow_rate,
      message->segment_header.owner_only || !is_for_this_agent, now);
  if (decision.action == HS_SIDECAR_REFUSE)
    decision.entry = packet->peer;
  if (hs_segment_is_syn (&segment)
      && hold_syn (agent, packet, &message->segment_header, &segment,
                   &decision, now))
    return;
  execute_decision (agent, packet, &segment, true, &decision,
                    message->segment_header.service_id);
}

/* Returns whether the SYN in PACKET is held in place of carrying out
   DECISION.  */
static bool
hold_syn (struct hs_segment_agent *agent, struct hs_packet *packet,
          const struct hs_inner_segment_header *header,
          const struct hs_segment *segment,
          const struct hs_sidecar_decision *decision, uint64_t now)
{
  struct hs_syn_terms terms = { .entry = packet->peer,
                                .service_id = header->service_id,
                                .wait_max_ms = header->wait_max_ms,
                                .hold_max_ms = header->hold_max_ms,
                                .priority = header->priority,
                                .cold_flow_rate = header->cold_flow_rate };
  struct hs_inner message = { .type = HS_INNER_SYN_HELD };

  if (!hs_held_syns_filter (agent->held_syns, segment,
                            hs_packet_bytes (packet), packet->len, &terms,
                            decision, now))
    return false;
  hs_counter_add (agent->metrics.syns_held, 1);
  message.ownership.agent_id = agent->node->node_id;
  message.ownership.key = hs_segment_key (segment, true);
  hs_segment_node_send (agent->node, &packet->peer, &message);
  return true;
}

static void
on_syn_released (void *ctx, const struct hs_released_syn *syn,
                 const struct hs_sidecar_decision *decision)
{
  struct hs_segment_agent *agent = ctx;
  struct hs_packet *packet = hs_outbox_add (agent->node->outbox);

  hs_histogram_observe (agent->metrics.held_ms, syn->held_ms);
  if (packet == NULL)
    return;
  memcpy (hs_packet_bytes (packet), syn->bytes, syn->len);
  packet->len = (uint16_t)syn->len;
  execute_decision (agent, packet, &syn->segment, true, decision,
                    syn->terms.service_id);
}

/* Agents fetch no configuration; load queries tell them what they need.  */
static bool
on_configuration (void *ctx, uint64_t base_generation, const uint8_t *bytes,
                  size_t len)
{
  (void)ctx;
  (void)base_generation;
  (void)bytes;
  (void)len;
  return true;
}

/* Agents do not follow the list of agents.  */
static void
on_agents_changed (void *ctx)
{
  (void)ctx;
}

static void
on_evacuations_changed (void *ctx, const struct hs_evacuations *evacuations)
{
  struct hs_segment_agent *agent = ctx;
  bool evacuated = hs_evacuations_contain (evacuations, agent->settings.zone);

  hs_sidecar_set_evacuated (agent->sidecar, evacuated, hs_clock_monotonic ());
  hs_counter_set (agent->metrics.evacuated, evacuated);
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_segment_agent *agent = ctx;
  struct hs_load_report load;

  hs_sidecar_tick (agent->sidecar, now);
  hs_held_syns_tick (agent->held_syns, now);
  hs_directory_expire (agent->directory, now);
  hs_load_queriers_expire (agent->load_queriers, now);
  hs_sidecar_fill_load_report (agent->sidecar, &load, now);
  hs_counter_set (agent->metrics.requests_in_progress,
                  load.requests_in_progress);
  hs_counter_set (agent->metrics.open_flows, load.open_flows);
  hs_counter_set (agent->metrics.dormant_flows,
                  hs_sidecar_dormant_flows (agent->sidecar));
  hs_counter_set (agent->metrics.flow_idle_ms,
                  hs_sidecar_flow_idle_ms (agent->sidecar));
  hs_counter_set (agent->metrics.held_syns,
                  hs_held_syns_len (agent->held_syns));
  hs_counter_set (agent->metrics.state, load.state);
  hs_counter_set (agent->metrics.cold, load.cold_ms > 0);
  hs_counter_set (agent->metrics.mean_work_ms, load.mean_work_us / 1000);
  hs_counter_set (agent->metrics.work_left_ms, load.work_left_us / 1000);
  if (load.state != agent->reported_state)
    {
      hs_log_write (agent->log, HS_LOG_WARNING, "upstream-state", "{s:s, s:i}",
                    "state", hs_agent_state_name (load.state), "busy",
                    (int)load.requests_in_progress);
      notify_entries (agent);
    }
  if (agent->drain_ends_at != 0 && now >= agent->drain_ends_at)
    {
      hs_log_write (agent->log, HS_LOG_INFO, "drained", NULL);
      hs_segment_node_finish_drain (agent->node);
      agent->drain_ends_at = 0;
    }
}

static void
on_drain (void *ctx, uint64_t now)
{
  struct hs_segment_agent *agent = ctx;

  hs_sidecar_drain (agent->sidecar);
  notify_entries (agent);
  agent->drain_ends_at = now + DRAIN_DURATION_MS;
}

/* Sends, refuses, resets or drops PACKET according to DECISION, and sends the
   lookup answer if there is one.  SERVICE_ID is the service that the entry
   addressed; 0 if PACKET comes from the upstream.  FROM_CALLER: SEGMENT was
   sent by the caller, not by the upstream.  */
static void
execute_decision (struct hs_segment_agent *agent, struct hs_packet *packet,
                  const struct hs_segment *segment, bool from_caller,
                  const struct hs_sidecar_decision *decision,
                  uint64_t service_id)
{
  packet->fd = -1;
  log_decision (agent, segment, decision);
  if (decision->lookup_answer != HS_LOOKUP_NONE)
    send_lookup_answer (agent, hs_segment_key (segment, from_caller),
                        decision);
  switch (decision->action)
    {
    case HS_SIDECAR_TO_UPSTREAM:
      packet->peer = agent->settings.upstream_address;
      packet->fd = agent->outbound_fd;
      hs_counter_add (agent->metrics.delivered, 1);
      hs_counter_add (agent->metrics.flows_opened, decision->is_new_flow);
      break;
    case HS_SIDECAR_TO_CALLER:
      if (decision->starts_response)
        hs_histogram_observe (agent->metrics.response_ms,
                              decision->response_ms);
      hs_segment_node_address_to_caller (
          agent->node, packet, agent->outbound_fd, &segment->to,
          agent->settings.caller_receive_address.port);
      hs_counter_add (agent->metrics.returned, 1);
      break;
    case HS_SIDECAR_REFUSE:
      refuse_syn (agent, packet, decision, service_id);
      break;
    case HS_SIDECAR_RESET:
      reset_caller (agent, packet, segment);
      break;
    case HS_SIDECAR_DROP:
      hs_counter_add (agent->metrics.dropped, 1);
      break;
    }
}

/* Returns the SYN in PACKET to the entry.  */
static void
refuse_syn (struct hs_segment_agent *agent, struct hs_packet *packet,
            const struct hs_sidecar_decision *decision, uint64_t service_id)
{
  struct hs_inner message = { .type = HS_INNER_REFUSED_SYN };

  message.segment_header.service_id = service_id;
  message.segment_header.agent_id = agent->node->node_id;
  message.segment_header.reason = decision->reason;
  hs_segment_node_encapsulate (agent->node, packet, &message,
                               &decision->entry);
  hs_counter_add (agent->metrics.syns_refused, 1);
  if (decision->reason == HS_REASON_WARMING_UP)
    hs_counter_add (agent->metrics.syns_refused_warming_up, 1);
  /* The entry has placed the flow by a report that is out of date.  */
  if (decision->reason == HS_REASON_OVERLOADED
      || decision->reason == HS_REASON_WARMING_UP)
    send_load_report (agent, &decision->entry);
}

/* Replaces PACKET by a reset to the caller that sent SEGMENT.  */
static void
reset_caller (struct hs_segment_agent *agent, struct hs_packet *packet,
              const struct hs_segment *segment)
{
  const struct hs_adapter *adapter = agent->settings.adapter;

  packet->len = (uint16_t)adapter->encode_reset (adapter->ctx, segment,
                                                 hs_packet_bytes (packet));
  hs_segment_node_address_to_caller (
      agent->node, packet, agent->outbound_fd, &segment->from,
      agent->settings.caller_receive_address.port);
  hs_counter_add (agent->metrics.resets, 1);
}

/* Sends the lookup answer of DECISION to the entry, under the id of this
   agent.  */
static void
send_lookup_answer (struct hs_segment_agent *agent, struct hs_segment_key key,
                    const struct hs_sidecar_decision *decision)
{
  struct hs_inner message = { .type = HS_INNER_OWNERSHIP };

  message.ownership.agent_id = agent->node->node_id;
  message.ownership.lookup_answer = decision->lookup_answer;
  message.ownership.key = key;
  hs_segment_node_send (agent->node, &decision->entry, &message);
  if (decision->lookup_answer == HS_LOOKUP_OWNED)
    hs_counter_add (agent->metrics.flows_claimed, 1);
}

/* Answers an owner lookup.  If this upstream does not own the flow and the
   directory has another agent as its owner, the answer names that agent;
   otherwise it is the answer of the sidecar.  Only OWNED is logged, since most
   queried agents do not own the flow.  */
static void
on_lookup_query (struct hs_segment_agent *agent,
                 const struct hs_segment *queried_segment,
                 const struct hs_addr *entry, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (queried_segment, true);
  uint64_t recorded_owner_id = hs_directory_find (agent->directory, &key);
  struct hs_sidecar_decision decision
      = { .action = HS_SIDECAR_TO_UPSTREAM,
          .lookup_answer
          = hs_sidecar_lookup (agent->sidecar, queried_segment, now),
          .entry = *entry };
  struct hs_inner message = { .type = HS_INNER_OWNERSHIP };

  if (decision.lookup_answer == HS_LOOKUP_OWNED || recorded_owner_id == 0
      || recorded_owner_id == agent->node->node_id)
    {
      if (decision.lookup_answer == HS_LOOKUP_OWNED)
        log_decision (agent, queried_segment, &decision);
      send_lookup_answer (agent, key, &decision);
      return;
    }
  message.ownership.agent_id = recorded_owner_id;
  message.ownership.lookup_answer = HS_LOOKUP_RECORDED_ELSEWHERE;
  message.ownership.key = key;
  hs_segment_node_send (agent->node, entry, &message);
}

static void
on_flow_lost (void *ctx, const struct hs_segment *segment)
{
  struct hs_segment_agent *agent = ctx;
  struct hs_sidecar_decision decision
      = { .action = HS_SIDECAR_RESET, .reason = HS_REASON_NO_UPSTREAM };
  struct hs_packet *packet = hs_outbox_add (agent->node->outbox);

  if (packet == NULL)
    return;
  log_decision (agent, segment, &decision);
  reset_caller (agent, packet, segment);
}

/* Logs DECISION unless it concerns an ordinary segment of an open flow.  */
static void
log_decision (struct hs_segment_agent *agent, const struct hs_segment *segment,
              const struct hs_sidecar_decision *decision)
{
  char from[HS_ADDR_TEXT_SIZE];
  char to[HS_ADDR_TEXT_SIZE];
  const char *event = decision->action == HS_SIDECAR_REFUSE  ? "syn-refused"
                      : decision->action == HS_SIDECAR_RESET ? "flow-reset"
                      : decision->action == HS_SIDECAR_DROP ? "segment-dropped"
                      : decision->lookup_answer == HS_LOOKUP_OWNED
                          ? "flow-claimed"
                      : decision->starts_response ? "answer-slow"
                                                  : "flow-opened";

  if (decision->action == HS_SIDECAR_TO_UPSTREAM && !decision->is_new_flow
      && decision->lookup_answer == HS_LOOKUP_NONE)
    return;
  if (decision->action == HS_SIDECAR_TO_CALLER
      && decision->lookup_answer == HS_LOOKUP_NONE
      && decision->response_ms < SLOW_RESPONSE_MS)
    return;
  hs_addr_format (&segment->from, from);
  hs_addr_format (&segment->to, to);
  hs_log_write (agent->log, HS_LOG_INFO, event, "{s:s, s:s, s:s, s:s, s:I}",
                "from", from, "to", to, "reason",
                hs_reason_name (decision->reason), "state",
                hs_agent_state_name (agent->reported_state), "answered_ms",
                (json_int_t)decision->response_ms);
}

/* Sends a load report to every entry that has asked for one recently, if this
   agent no longer accepts flows.  That it does again is left for the entries
   to find out, one after the other: told all at once, each of them would place
   its next flow here.  */
static void
notify_entries (struct hs_segment_agent *agent)
{
  struct hs_load_report load;

  hs_sidecar_fill_load_report (agent->sidecar, &load, hs_clock_monotonic ());
  agent->reported_state = load.state;
  if (load.state != HS_AGENT_READY)
    hs_load_queriers_foreach (agent->load_queriers, send_load_report, agent);
}

static void
send_load_report (void *ctx, const struct hs_addr *entry)
{
  struct hs_segment_agent *agent = ctx;
  struct hs_inner message = { .type = HS_INNER_LOAD_REPORT };

  hs_sidecar_fill_load_report (agent->sidecar, &message.load_report,
                               hs_clock_monotonic ());
  message.load_report.agent_id = agent->node->node_id;
  message.load_report.incarnation = agent->node->incarnation;
  message.load_report.seq = ++agent->report_seq;
  message.load_report.address = agent->settings.inner_address;
  message.load_report.hold_room
      = hs_held_syns_room (agent->held_syns, hs_clock_monotonic ());
  g_strlcpy (message.load_report.zone, agent->settings.zone, HS_NAME_SIZE);
  hs_segment_node_send (agent->node, entry, &message);
}
