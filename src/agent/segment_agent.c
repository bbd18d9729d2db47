/* segment_agent.c -- the agent daemon of segment flows, one beside each
   upstream.

   Threads: receive, decide (this file; its decisions are in segment/), send,
   two HTTP servers, log.  */

#include "agent/segment_agent.h"
#include "base/auto.h"
#include "daemon/segment_node.h"

#include <string.h>
#include <unistd.h>

/* Types.  */

#define BATCHES 6 /* Memory is dear: 128 KiB each at most.  */
#define TAG_UPSTREAM 1
#define CALLS_QUEUED 64

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503

/* An answer that takes longer is logged.  */
#define SLOW_RESPONSE_MS 500

/* For entries to stop placing flows here: a report and its way.  */
#define DRAIN_MS 300

/* A call of the upstream, on its way from the HTTP thread.  */
struct call
{
  struct hs_http_request *request;
  enum hs_operation operation; /* HEARTBEAT or GOODBYE  */
  char id[HS_NAME_SIZE];
  struct hs_heartbeat heartbeat;
};

struct agent_counters
{
  struct hs_counter *delivered;
  struct hs_counter *answered;
  struct hs_counter *opened;
  struct hs_counter *refused;
  struct hs_counter *resets;
  struct hs_counter *dropped;
  struct hs_counter *held;
  struct hs_counter *heartbeats;
  struct hs_counter *heartbeats_refused;
  struct hs_counter *busy;
  struct hs_counter *flows;
  struct hs_counter *state;
  struct hs_histogram *answers;
};

struct hs_segment_agent
{
  struct hs_segment_agent_settings settings;
  struct hs_log *log;
  struct hs_counters *counters;
  struct agent_counters counts;
  struct hs_segment_node *node;
  struct hs_http *heartbeat_server;
  struct hs_ring *calls; /* Of struct call.  */
  int outbound_fd;

  /* Of the decide thread alone.  */
  struct hs_sidecar *sidecar;
  struct hs_directory *directory;
  uint64_t report_seq;
  uint64_t next_report_at; /* ms  */
  uint64_t drain_ends_at;  /* ms; 0: not draining  */
  enum hs_agent_state reported_state;
};

/* Private functions.  */

static void create_counters (struct hs_segment_agent *agent);
static bool open_all (struct hs_segment_agent *agent, GError **error);
static void on_request (void *ctx, struct hs_http_request *request);
static bool decode_call (struct hs_segment_agent *agent, struct call *call,
                         GError **error);
static void reject_call (struct call *call, unsigned int status,
                         const char *message);
static void on_call (void *ctx, void *item);
static void on_heartbeat (struct hs_segment_agent *agent, struct call *call);
static void on_packet (void *ctx, struct hs_packet *packet, uint64_t now);
static void on_inner (void *ctx, struct hs_packet *packet,
                      const struct hs_inner *inner, uint64_t now);
static bool on_configuration (void *ctx, uint64_t base, const uint8_t *bytes,
                              size_t len);
static void on_entries (void *ctx);
static void on_tick (void *ctx, uint64_t now);
static void on_drain (void *ctx, uint64_t now);
static void carry_out (struct hs_segment_agent *agent,
                       struct hs_packet *packet,
                       const struct hs_segment *segment, bool from_caller,
                       const struct hs_sidecar_decision *step,
                       uint64_t service);
static void refuse_syn (struct hs_segment_agent *agent,
                        struct hs_packet *packet,
                        const struct hs_sidecar_decision *step,
                        uint64_t service);
static void reset_caller (struct hs_segment_agent *agent,
                          struct hs_packet *packet,
                          const struct hs_segment *segment);
static void send_lookup_answer (struct hs_segment_agent *agent,
                                struct hs_segment_key key,
                                const struct hs_sidecar_decision *step);
static void on_lookup_query (struct hs_segment_agent *agent,
                             const struct hs_segment *asked,
                             const struct hs_addr *entry, uint64_t now);
static void on_flow_lost (void *ctx, const struct hs_segment *segment);
static void log_step (struct hs_segment_agent *agent,
                      const struct hs_segment *segment,
                      const struct hs_sidecar_decision *step);
static void send_load_reports (struct hs_segment_agent *agent, uint64_t now);

/* Public definitions.  */

struct hs_segment_agent *
hs_segment_agent_create (const struct hs_segment_agent_settings *settings,
                         struct hs_log *log, GError **error)
{
  struct hs_segment_agent *agent = talloc_zero (NULL, struct hs_segment_agent);

  agent->settings = *settings;
  agent->log = log;
  agent->reported_state = HS_AGENT_UPSTREAM_SILENT;
  agent->calls = hs_ring_create (agent, CALLS_QUEUED);
  create_counters (agent);
  agent->outbound_fd = hs_socket_bind (&settings->outbound_address, error);
  if (agent->outbound_fd >= 0 && open_all (agent, error))
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

  hs_segment_node_stop (agent->node);
  while ((item = hs_ring_pop (agent->calls)) != NULL)
    reject_call (item, STATUS_UNAVAILABLE, "this agent stops");
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
create_counters (struct hs_segment_agent *agent)
{
  struct hs_counters *all = hs_counters_create (agent, "hibiscusspan_agent");
  struct agent_counters *counts = &agent->counts;

  agent->counters = all;
  counts->delivered = hs_counter_create (all, "segments_delivered_total",
                                         "Segments given to the upstream.");
  counts->answered = hs_counter_create (
      all, "segments_answered_total", "Segments of the upstream to callers.");
  counts->opened = hs_counter_create (all, "flows_opened_total",
                                      "SYNs given to the upstream.");
  counts->refused = hs_counter_create (all, "syns_refused_total",
                                       "SYNs given back to entries.");
  counts->resets
      = hs_counter_create (all, "resets_total",
                           "Callers told that the upstream has lost their "
                           "flow.");
  counts->dropped
      = hs_counter_create (all, "segments_dropped_total",
                           "Segments of flows that are not held here.");
  counts->held = hs_counter_create (all, "flows_claimed_total",
                                    "Entries told that a flow is held here.");
  counts->heartbeats = hs_counter_create (
      all, "heartbeats_total", "Heartbeats of the upstream acknowledged.");
  counts->heartbeats_refused = hs_counter_create (
      all, "heartbeats_refused_total", "Heartbeats that name no upstream.");
  counts->busy = hs_gauge_create (all, "requests_in_progress",
                                  "Requests at the upstream.");
  counts->flows
      = hs_gauge_create (all, "flows", "Flows open at the upstream.");
  counts->state
      = hs_gauge_create (all, "state", "0 ready, 1 leaving, 2 absent.");
  counts->answers = hs_histogram_create (
      all, "answer_ms", "From a request to the beginning of its answer.");
}

static bool
open_all (struct hs_segment_agent *agent, GError **error)
{
  const struct hs_segment_agent_settings *settings = &agent->settings;
  struct hs_segment_node_settings front
      = { .name = settings->name,
          .zone = settings->zone,
          .role = HS_ROLE_AGENT,
          .inner_address = settings->inner_address,
          .health_address = settings->health_address,
          .seeds = settings->seeds,
          .seed_port = settings->seed_port,
          .batches = BATCHES,
          .adapter = settings->adapter };
  struct hs_segment_node_ops ops = { on_packet,  on_inner, on_configuration,
                                     on_entries, on_tick,  on_drain };
  struct hs_sidecar_ops sidecar_ops = { on_flow_lost };
  struct hs_worker *decide;

  agent->node = hs_segment_node_create (agent, &front, &ops, agent,
                                        agent->counters, agent->log, error);
  if (agent->node == NULL)
    return false;
  decide = agent->node->datapath->decision_worker;
  agent->sidecar = hs_sidecar_create (
      decide, settings->service_name, &settings->upstream_address,
      settings->heartbeat_ms, hs_clock_wall (), &sidecar_ops, agent);
  agent->directory = hs_directory_create (decide);
  hs_worker_watch_ring (decide, agent->calls, on_call, agent);
  hs_receiver_watch (agent->node->datapath->receiver, agent->outbound_fd,
                     TAG_UPSTREAM);
  agent->heartbeat_server = hs_http_create (&settings->heartbeats_address,
                                            on_request, agent, error);
  if (agent->heartbeat_server != NULL)
    return true;
  hs_segment_node_destroy (agent->node);
  return false;
}

/* Bytes that cannot be read name no upstream, and change nothing.  */
static void
on_request (void *ctx, struct hs_http_request *request)
{
  struct hs_segment_agent *agent = ctx;
  struct call *call = talloc_zero (NULL, struct call);
  const struct hs_adapter *dialect = agent->settings.adapter;
  g_autoptr (GError) error = NULL;

  call->request = request;
  call->operation
      = dialect->decode_operation (dialect->ctx, hs_http_method (request),
                                   hs_http_path (request), call->id);
  if (call->operation != HS_OPERATION_HEARTBEAT
      && call->operation != HS_OPERATION_LEAVE)
    {
      reject_call (call, STATUS_NOT_FOUND, "no such call here");
      return;
    }
  if (!decode_call (agent, call, &error))
    {
      hs_counter_add (agent->counts.heartbeats_refused, 1);
      hs_log_write (agent->log, HS_LOG_WARNING, "heartbeat-refused",
                    "{s:s, s:s}", "upstream", call->id, "error",
                    error->message);
      reject_call (call, STATUS_BAD_REQUEST, error->message);
      return;
    }
  if (!hs_ring_push (agent->calls, call))
    reject_call (call, STATUS_UNAVAILABLE, "too many calls wait");
}

static bool
decode_call (struct hs_segment_agent *agent, struct call *call, GError **error)
{
  const struct hs_adapter *dialect = agent->settings.adapter;
  size_t len;
  const char *body = hs_http_body (call->request, &len);

  if (call->operation != HS_OPERATION_HEARTBEAT)
    return true;
  return dialect->decode_heartbeat (dialect->ctx, call->id, body, len,
                                    &call->heartbeat, error);
}

static void
reject_call (struct call *call, unsigned int status, const char *message)
{
  hs_http_respond (call->request, status, "text/plain", message);
  talloc_free (call);
}

static void
on_call (void *ctx, void *item)
{
  struct hs_segment_agent *agent = ctx;
  struct call *call = item;

  if (call->operation == HS_OPERATION_HEARTBEAT)
    {
      on_heartbeat (agent, call);
      return;
    }
  hs_sidecar_handle_upstream_leave (agent->sidecar, call->id);
  hs_log_write (agent->log, HS_LOG_INFO, "upstream-goodbye", "{s:s}",
                "upstream", call->id);
  hs_http_respond (call->request, STATUS_OK, "application/json", "{}");
  talloc_free (call);
  send_load_reports (agent, hs_clock_now ());
}

static void
on_heartbeat (struct hs_segment_agent *agent, struct call *call)
{
  struct hs_load_report load;
  uint64_t now = hs_clock_now ();
  g_autoptr (GError) error = NULL;

  if (!hs_sidecar_handle_heartbeat (agent->sidecar, &call->heartbeat, now,
                                    &error))
    {
      hs_counter_add (agent->counts.heartbeats_refused, 1);
      hs_log_write (agent->log, HS_LOG_WARNING, "heartbeat-refused",
                    "{s:s, s:s}", "upstream", call->id, "error",
                    error->message);
      reject_call (call, STATUS_BAD_REQUEST, error->message);
      return;
    }
  hs_counter_add (agent->counts.heartbeats, 1);
  hs_sidecar_fill_load_report (agent->sidecar, &load);
  if (load.state != agent->reported_state)
    {
      hs_log_write (agent->log, HS_LOG_INFO, "upstream-state",
                    "{s:s, s:s, s:I, s:I, s:i}", "upstream", call->id, "state",
                    hs_agent_state_name (load.state), "born",
                    (json_int_t)call->heartbeat.started_at, "seq",
                    (json_int_t)call->heartbeat.seq, "slots", (int)load.slots);
      send_load_reports (agent, now);
    }
  hs_http_respond (call->request, STATUS_OK, "application/json", "{}");
  talloc_free (call);
}

static void
on_packet (void *ctx, struct hs_packet *packet, uint64_t now)
{
  struct hs_segment_agent *agent = ctx;
  const struct hs_adapter *dialect = agent->settings.adapter;
  struct hs_segment segment;
  struct hs_sidecar_decision step;

  if (!dialect->decode_segment (dialect->ctx, hs_packet_bytes (packet),
                                packet->len, &segment))
    {
      hs_counter_add (agent->node->malformed, 1);
      return;
    }
  step = hs_sidecar_handle_upstream_segment (agent->sidecar, &segment, now);
  if ((segment.flags & HS_SEGMENT_RETURNED) != 0)
    dialect->restore_segment (dialect->ctx, hs_packet_bytes (packet));
  carry_out (agent, packet, &segment,
             (segment.flags & HS_SEGMENT_RETURNED) != 0, &step, 0);
}

static void
on_inner (void *ctx, struct hs_packet *packet, const struct hs_inner *inner,
          uint64_t now)
{
  struct hs_segment_agent *agent = ctx;
  const struct hs_adapter *dialect = agent->settings.adapter;
  bool is_ours = inner->segment_header.agent_id == agent->node->node_id;
  struct hs_segment segment;
  struct hs_sidecar_decision step;

  if (inner->type == HS_INNER_LOOKUP_QUERY)
    on_lookup_query (agent, &inner->queried_segment, &packet->peer, now);
  if (inner->type == HS_INNER_OWNERSHIP)
    hs_directory_put (agent->directory, &inner->ownership.key,
                      inner->ownership.agent_id, now);
  if (inner->type != HS_INNER_FORWARD)
    return;
  if (!dialect->decode_segment (dialect->ctx, hs_packet_bytes (packet),
                                packet->len, &segment))
    {
      hs_counter_add (agent->node->malformed, 1);
      return;
    }
  /* What was meant for an agent that had this address before is taken only
     if the flow is known here.  */
  step = hs_sidecar_handle_entry_segment (
      agent->sidecar, &segment, &packet->peer,
      inner->segment_header.service_id,
      inner->segment_header.owner_only || !is_ours, now);
  if (step.action == HS_SIDECAR_REFUSE)
    step.entry = packet->peer;
  carry_out (agent, packet, &segment, true, &step,
             inner->segment_header.service_id);
}

/* Agents have no use for it.  */
static bool
on_configuration (void *ctx, uint64_t base, const uint8_t *bytes, size_t len)
{
  (void)ctx;
  (void)base;
  (void)bytes;
  (void)len;
  return true;
}

static void
on_entries (void *ctx)
{
  send_load_reports (ctx, hs_clock_now ());
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_segment_agent *agent = ctx;
  struct hs_load_report load;

  hs_sidecar_tick (agent->sidecar, now);
  hs_directory_expire (agent->directory, now);
  hs_sidecar_fill_load_report (agent->sidecar, &load);
  hs_counter_set (agent->counts.busy, load.requests_in_progress);
  hs_counter_set (agent->counts.flows, load.open_flows);
  hs_counter_set (agent->counts.state, load.state);
  if (load.state != agent->reported_state)
    hs_log_write (agent->log, HS_LOG_WARNING, "upstream-state", "{s:s, s:i}",
                  "state", hs_agent_state_name (load.state), "busy",
                  (int)load.requests_in_progress);
  if (load.state != agent->reported_state || now >= agent->next_report_at)
    send_load_reports (agent, now);
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
  send_load_reports (agent, now);
  agent->drain_ends_at = now + DRAIN_MS;
}

/* SERVICE is that which the entry named.  */
static void
carry_out (struct hs_segment_agent *agent, struct hs_packet *packet,
           const struct hs_segment *segment, bool from_caller,
           const struct hs_sidecar_decision *step, uint64_t service)
{
  packet->fd = -1;
  log_step (agent, segment, step);
  if (step->lookup_answer != HS_LOOKUP_NONE)
    send_lookup_answer (agent, hs_segment_key (segment, from_caller), step);
  switch (step->action)
    {
    case HS_SIDECAR_TO_UPSTREAM:
      packet->peer = agent->settings.upstream_address;
      packet->fd = agent->outbound_fd;
      hs_counter_add (agent->counts.delivered, 1);
      break;
    case HS_SIDECAR_TO_CALLER:
      if (step->starts_response)
        hs_histogram_add (agent->counts.answers, step->response_ms);
      hs_segment_node_address_to_caller (
          agent->node, packet, agent->outbound_fd, &segment->to,
          agent->settings.caller_receive_address.port);
      hs_counter_add (agent->counts.answered, 1);
      break;
    case HS_SIDECAR_REFUSE:
      refuse_syn (agent, packet, step, service);
      break;
    case HS_SIDECAR_RESET:
      reset_caller (agent, packet, segment);
      break;
    case HS_SIDECAR_DROP:
      hs_counter_add (agent->counts.dropped, 1);
      break;
    }
}

static void
refuse_syn (struct hs_segment_agent *agent, struct hs_packet *packet,
            const struct hs_sidecar_decision *step, uint64_t service)
{
  struct hs_inner inner = { .type = HS_INNER_REFUSED_SYN };

  inner.segment_header.service_id = service;
  inner.segment_header.agent_id = agent->node->node_id;
  inner.segment_header.reason = step->reason;
  hs_segment_node_encapsulate (agent->node, packet, &inner, &step->entry);
  hs_counter_add (agent->counts.refused, 1);
}

/* SEGMENT is the caller's.  */
static void
reset_caller (struct hs_segment_agent *agent, struct hs_packet *packet,
              const struct hs_segment *segment)
{
  const struct hs_adapter *dialect = agent->settings.adapter;

  packet->len = (uint16_t)dialect->encode_reset (dialect->ctx, segment,
                                                 hs_packet_bytes (packet));
  hs_segment_node_address_to_caller (
      agent->node, packet, agent->outbound_fd, &segment->from,
      agent->settings.caller_receive_address.port);
  hs_counter_add (agent->counts.resets, 1);
}

static void
send_lookup_answer (struct hs_segment_agent *agent, struct hs_segment_key key,
                    const struct hs_sidecar_decision *step)
{
  struct hs_inner inner = { .type = HS_INNER_OWNERSHIP };

  inner.ownership.agent_id = agent->node->node_id;
  inner.ownership.lookup_answer = step->lookup_answer;
  inner.ownership.key = key;
  hs_segment_node_send (agent->node, &step->entry, &inner);
  if (step->lookup_answer == HS_LOOKUP_OWNED)
    hs_counter_add (agent->counts.held, 1);
}

/* Only that a flow is here is worth a line: most agents deny most flows.  */
static void
on_lookup_query (struct hs_segment_agent *agent,
                 const struct hs_segment *asked, const struct hs_addr *entry,
                 uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (asked, true);
  uint64_t noted = hs_directory_find (agent->directory, &key);
  struct hs_sidecar_decision step
      = { .action = HS_SIDECAR_TO_UPSTREAM,
          .lookup_answer = hs_sidecar_lookup (agent->sidecar, asked, now),
          .entry = *entry };
  struct hs_inner inner = { .type = HS_INNER_OWNERSHIP };

  if (step.lookup_answer == HS_LOOKUP_OWNED || noted == 0
      || noted == agent->node->node_id)
    {
      if (step.lookup_answer == HS_LOOKUP_OWNED)
        log_step (agent, asked, &step);
      send_lookup_answer (agent, key, &step);
      return;
    }
  inner.ownership.agent_id = noted;
  inner.ownership.lookup_answer = HS_LOOKUP_RECORDED_ELSEWHERE;
  inner.ownership.key = key;
  hs_segment_node_send (agent->node, entry, &inner);
}

static void
on_flow_lost (void *ctx, const struct hs_segment *segment)
{
  struct hs_segment_agent *agent = ctx;
  struct hs_sidecar_decision lost
      = { .action = HS_SIDECAR_RESET, .reason = HS_REASON_NO_UPSTREAM };
  struct hs_packet *packet = hs_outbox_add (agent->node->outbox);

  if (packet == NULL)
    return;
  log_step (agent, segment, &lost);
  reset_caller (agent, packet, segment);
}

static void
log_step (struct hs_segment_agent *agent, const struct hs_segment *segment,
          const struct hs_sidecar_decision *step)
{
  char from[HS_ADDR_TEXT_SIZE];
  char to[HS_ADDR_TEXT_SIZE];
  const char *event = step->action == HS_SIDECAR_REFUSE  ? "syn-refused"
                      : step->action == HS_SIDECAR_RESET ? "flow-reset"
                      : step->action == HS_SIDECAR_DROP  ? "segment-dropped"
                      : step->lookup_answer == HS_LOOKUP_OWNED ? "flow-claimed"
                      : step->starts_response                  ? "answer-slow"
                                                               : "flow-opened";

  if (step->action == HS_SIDECAR_TO_UPSTREAM && !step->is_new_flow
      && step->lookup_answer == HS_LOOKUP_NONE)
    return;
  if (step->action == HS_SIDECAR_TO_CALLER
      && step->lookup_answer == HS_LOOKUP_NONE
      && step->response_ms < SLOW_RESPONSE_MS)
    return;
  hs_addr_format (&segment->from, from);
  hs_addr_format (&segment->to, to);
  hs_log_write (agent->log, HS_LOG_INFO, event, "{s:s, s:s, s:s, s:s, s:I}",
                "from", from, "to", to, "reason",
                hs_reason_name (step->reason), "state",
                hs_agent_state_name (agent->reported_state), "answered_ms",
                (json_int_t)step->response_ms);
}

static void
send_load_reports (struct hs_segment_agent *agent, uint64_t now)
{
  const struct hs_follower_entries *entries
      = hs_follower_entries (agent->node->follower);
  struct hs_inner inner = { .type = HS_INNER_LOAD_REPORT };

  agent->next_report_at = now + HS_REPORT_INTERVAL_MS;
  hs_sidecar_fill_load_report (agent->sidecar, &inner.load_report);
  inner.load_report.agent_id = agent->node->node_id;
  inner.load_report.incarnation = agent->node->incarnation;
  inner.load_report.seq = ++agent->report_seq;
  inner.load_report.address = agent->settings.inner_address;
  g_strlcpy (inner.load_report.zone, agent->settings.zone, HS_NAME_SIZE);
  agent->reported_state = inner.load_report.state;
  for (size_t i = 0; i < entries->len; i++)
    hs_segment_node_send (agent->node, &entries->values[i], &inner);
}
