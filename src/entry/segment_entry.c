/* segment_entry.c -- the entry daemon of segment flows.

   Threads: receiver, decision worker (named "decide"; this file, which
   executes the decisions of src/segment), sender, HTTP server, log.  Agents
   send answers directly to callers, not through an entry.  */

#include "entry/segment_entry.h"
#include "base/auto.h"
#include "daemon/segment_node.h"
#include "entry/pending_segments.h"
#include "wire/configuration_message.h"
#include "wire/patch.h"

#include <string.h>
#include <unistd.h>

/* Types.  */

#define POOL_BATCHES 6 /* To limit memory: a batch takes up to 128 KiB.  */
#define TAG_SEGMENTS 1 /* Tag of packets from segments_fd.  */

/* Time after a start before which the entry does not report ready: the first
   agents report their load by then.  */
#define READY_DELAY_MS 300

/* Time after a start in which SYNs that cannot be placed, for lack of a
   configuration or of an agent in an allowed region, or since the few agents
   that are known are overloaded, are queued and retried.  Callers give up
   after 1.4 s.  */
#define SYN_RETRY_WINDOW_MS 1000

/* A drain ends when no segment of a caller has arrived for this long.  */
#define DRAIN_QUIET_MS 700

/* Shortest drain, for the network fabric to see that this entry is not ready:
   two of its probes, 0.5 s apart, and their answers.  */
#define DRAIN_MIN_MS 1600

/* Described by the help texts in create_metrics.  */
struct segment_entry_metrics
{
  struct hs_counter *forwarded;
  struct hs_counter *placed;
  struct hs_counter *placed_elsewhere;
  struct hs_counter *lookup_queries;
  struct hs_counter *owned_answers;
  struct hs_counter *syns_refused;
  struct hs_counter *resets;
  struct hs_counter *dropped;
  struct hs_counter *load_queries;
  struct hs_counter *load_reports;
  struct hs_counter *flows;
  struct hs_counter *configuration_version;
  struct hs_counter *evacuated_zones;
  struct hs_histogram *report_age;
};

struct hs_segment_entry
{
  struct hs_segment_entry_settings settings;
  struct hs_log *log;
  struct hs_metrics *metric_set;
  struct segment_entry_metrics metrics;
  struct hs_segment_node *node;
  int segments_fd;

  /* Used by the decision worker only.  */
  struct hs_agent_pool *pool;
  struct hs_load_poller *load_poller;
  struct hs_timer poll_timer;
  struct hs_egress *egress;
  struct hs_timer egress_timer; /* Running while datagrams are queued.  */
  struct hs_uplink *uplink;
  struct hs_forwarder *forwarder;
  struct hs_pending_segments *pending_segments;
  struct hs_pending_segments
      *unplaced_syns; /* SYNs that cannot be placed yet.  */
  struct hs_region_map *region_map;
  struct hs_routing *routing;   /* Routing in force; NULL: none yet.  */
  uint8_t *configuration_bytes; /* Its encoding, uncompressed; the base of
                                   patches.  */
  size_t configuration_len;
  uint64_t up_since;        /* ms of the monotonic clock.  */
  uint64_t started_at;      /* ms of the wall clock.  */
  uint64_t last_segment_at; /* ms, when a caller's last segment came.  */
  uint64_t draining_since;  /* ms; 0: not draining.  */
};

/* Where the pending segments of a flow are sent.  */
struct pending_destination
{
  struct hs_segment_entry *entry;
  const struct hs_pool_agent *agent;
  bool owner_only;
};

/* Private functions.  */

static void create_metrics (struct hs_segment_entry *entry);
static void on_caller_packet (void *ctx, struct hs_packet *packet,
                              uint64_t now);
static void handle_segment (struct hs_segment_entry *entry,
                            struct hs_packet *packet, uint64_t now);
static void on_inner_message (void *ctx, struct hs_packet *packet,
                              const struct hs_inner *message, uint64_t now);
static void on_refused_syn (struct hs_segment_entry *entry,
                            struct hs_packet *packet,
                            const struct hs_inner_segment_header *header,
                            uint64_t now);
static void on_lookup_answer (struct hs_segment_entry *entry,
                              const struct hs_inner_ownership *answer,
                              uint64_t now);
static void on_reset_caller (void *ctx, const struct hs_segment *segment,
                             size_t non_owners);
static void on_query_owner (void *ctx, const struct hs_pool_agent *agent,
                            const struct hs_segment *segment);
static void on_send_pending (void *ctx, const struct hs_segment_key *key,
                             const struct hs_pool_agent *agent,
                             bool owner_only, uint64_t age_max_ms);
static void send_pending_segment (void *ctx, const uint8_t *data, size_t len);
static void on_record_owner (void *ctx, const struct hs_pool_agent *directory,
                             const struct hs_segment_key *key,
                             uint64_t owner_id);
static void on_load_report (struct hs_segment_entry *entry,
                            const struct hs_load_report *report, uint64_t now);
static bool on_configuration (void *ctx, uint64_t base_generation,
                              const uint8_t *bytes, size_t len);
static void replace_routing (struct hs_segment_entry *entry,
                             const struct hs_configuration *configuration,
                             uint64_t now);
static uint64_t flow_lifetime_ms (const struct hs_segment_entry *entry);
static uint8_t *decode_update (struct hs_segment_entry *entry,
                               uint64_t base_generation, const uint8_t *bytes,
                               size_t len, size_t *uncompressed_len,
                               GError **error);
static void on_agents_changed (void *ctx);
static void on_evacuations_changed (void *ctx,
                                    const struct hs_evacuations *evacuations);
static void on_query_load (void *ctx, const struct hs_addr *address);
static void on_poll_due (void *ctx, uint64_t now);
static void send_message (struct hs_segment_entry *entry,
                          const struct hs_addr *to,
                          const struct hs_inner *message, uint64_t now);
static void start_egress_timer (struct hs_segment_entry *entry);
static void on_tick (void *ctx, uint64_t now);
static void on_drain (void *ctx, uint64_t now);
static void execute_decision (struct hs_segment_entry *entry,
                              struct hs_packet *packet,
                              const struct hs_segment *segment,
                              const struct hs_forward_decision *decision,
                              uint64_t now);
static bool may_be_placed_soon (const struct hs_forward_decision *decision);
static void forward_segment (struct hs_segment_entry *entry,
                             struct hs_packet *packet,
                             const struct hs_segment *segment,
                             const struct hs_forward_decision *decision,
                             uint64_t now);
static bool send_or_queue (struct hs_segment_entry *entry,
                           struct hs_packet *packet,
                           const struct hs_segment *segment, uint64_t now);
static void on_egress_due (void *ctx, uint64_t now);
static void on_send_queued (void *ctx, const struct hs_addr *to,
                            const uint8_t *data, size_t len);
static void queue_segment (struct hs_pending_segments *queue,
                           struct hs_segment_entry *entry,
                           const struct hs_packet *packet,
                           const struct hs_segment *segment, uint64_t now);
static void queue_unplaced_syn (struct hs_segment_entry *entry,
                                const struct hs_packet *packet,
                                const struct hs_segment *segment,
                                uint64_t now);
static void retry_unplaced_syn (void *ctx, const uint8_t *data, size_t len);
static void reset_caller (struct hs_segment_entry *entry,
                          struct hs_packet *packet,
                          const struct hs_segment *segment);
static void log_decision (struct hs_segment_entry *entry,
                          const struct hs_segment *segment,
                          const struct hs_forward_decision *decision,
                          uint64_t now);
static void log_agent_load (struct hs_segment_entry *entry, const char *event,
                            enum hs_reason reason, const char *caller,
                            const char *address,
                            const struct hs_pool_agent *agent, uint64_t now);
static json_int_t version_of (uint64_t generation);
static void update_readiness (struct hs_segment_entry *entry, uint64_t now);

/* Public definitions.  */

struct hs_segment_entry *
hs_segment_entry_create (const struct hs_segment_entry_settings *settings,
                         struct hs_log *log, GError **error)
{
  struct hs_segment_entry *entry = talloc_zero (NULL, struct hs_segment_entry);
  struct hs_segment_node_settings node_settings
      = { .name = settings->name,
          .zone = settings->zone,
          .role = HS_ROLE_ENTRY,
          .inner_address = settings->inner_address,
          .inner_bind_address = settings->inner_bind_address,
          .health_address = settings->health_address,
          .seeds = settings->seeds,
          .seed_port = settings->seed_port,
          .batches = POOL_BATCHES,
          .adapter = settings->adapter };
  struct hs_segment_node_ops node_ops
      = { on_caller_packet,  on_inner_message,       on_configuration,
          on_agents_changed, on_evacuations_changed, on_tick,
          on_drain };
  struct hs_forwarder_ops forwarder_ops
      = { on_reset_caller, on_query_owner, on_send_pending, on_record_owner };
  struct hs_egress_ops egress_ops = { on_send_queued };
  struct hs_load_poller_ops poller_ops = { on_query_load };

  entry->settings = *settings;
  entry->log = log;
  entry->up_since = hs_clock_monotonic ();
  entry->started_at = hs_clock_wall ();
  create_metrics (entry);
  entry->region_map = hs_region_map_create (entry, settings->zones, error);
  entry->segments_fd
      = entry->region_map != NULL
            ? hs_socket_bind (&settings->segments_address, error)
            : -1;
  if (entry->segments_fd >= 0)
    entry->node
        = hs_segment_node_create (entry, &node_settings, &node_ops, entry,
                                  entry->metric_set, log, error);
  if (entry->node == NULL)
    {
      if (entry->segments_fd >= 0)
        close (entry->segments_fd);
      talloc_free (entry);
      return NULL;
    }
  entry->pool = hs_agent_pool_create (entry->node->datapath->decision_worker,
                                      settings->zone);
  hs_agent_pool_set_region_map (entry->pool, entry->region_map);
  entry->load_poller = hs_load_poller_create (
      entry->node->datapath->decision_worker, settings->zone, entry->pool,
      &poller_ops, entry);
  hs_timer_init (&entry->poll_timer, on_poll_due, entry);
  hs_timer_start (entry->node->timers, &entry->poll_timer, entry->up_since);
  entry->egress = hs_egress_create (entry->node->datapath->decision_worker,
                                    settings->uplink_mbps, &egress_ops, entry);
  hs_timer_init (&entry->egress_timer, on_egress_due, entry);
  entry->uplink = hs_uplink_create (entry->node->datapath->decision_worker,
                                    settings->uplink_mbps, entry->egress);
  entry->forwarder = hs_forwarder_create (
      entry->node->datapath->decision_worker, entry->pool, entry->uplink,
      &forwarder_ops, entry);
  hs_forwarder_set_flow_lifetime (entry->forwarder, flow_lifetime_ms (entry));
  entry->pending_segments
      = hs_pending_segments_create (entry->node->datapath->decision_worker);
  entry->unplaced_syns
      = hs_pending_segments_create (entry->node->datapath->decision_worker);
  hs_receiver_watch (entry->node->datapath->receiver, entry->segments_fd,
                     TAG_SEGMENTS);
  return entry;
}

void
hs_segment_entry_destroy (struct hs_segment_entry *entry)
{
  hs_segment_node_stop (entry->node);
  hs_segment_node_destroy (entry->node);
  close (entry->segments_fd);
  talloc_free (entry);
}

void
hs_segment_entry_start (struct hs_segment_entry *entry)
{
  hs_segment_node_start (entry->node);
}

void
hs_segment_entry_set_seeds (struct hs_segment_entry *entry,
                            const struct hs_addrs *seeds)
{
  hs_segment_node_set_seeds (entry->node, seeds);
}

void
hs_segment_entry_drain (struct hs_segment_entry *entry)
{
  hs_segment_node_drain (entry->node);
}

/* Private definitions.  */

static void
create_metrics (struct hs_segment_entry *entry)
{
  struct hs_metrics *set = hs_metrics_create (entry, "hibiscusspan_entry");
  struct segment_entry_metrics *metrics = &entry->metrics;

  entry->metric_set = set;
  metrics->forwarded
      = hs_counter_create (set, "segments_forwarded_total",
                           "Segments forwarded from callers to agents.");
  metrics->placed = hs_counter_create (set, "flows_placed_total",
                                       "SYNs placed on an agent.");
  metrics->placed_elsewhere
      = hs_counter_create (set, "flows_placed_elsewhere_total",
                           "SYNs placed on an agent of another zone.");
  metrics->lookup_queries = hs_counter_create (
      set, "flows_asked_total",
      "Lookup queries sent to agents for the owner of a flow.");
  metrics->owned_answers = hs_counter_create (
      set, "flows_held_total", "Lookup answers by the owner of the flow.");
  metrics->syns_refused = hs_counter_create (set, "syns_refused_total",
                                             "SYNs refused by an agent.");
  metrics->resets
      = hs_counter_create (set, "resets_total",
                           "Resets sent to callers whose flow is not "
                           "open.");
  metrics->dropped
      = hs_counter_create (set, "segments_dropped_total",
                           "Segments dropped because no agent accepts them "
                           "or too many are queued.");
  metrics->load_queries = hs_counter_create (set, "load_queries_total",
                                             "Load queries sent to agents.");
  metrics->load_reports = hs_counter_create (
      set, "load_reports_total", "Load reports received from agents.");
  metrics->report_age = hs_histogram_create (
      set, "report_age_ms",
      "Age of the load report by which a flow was placed.");
  metrics->flows
      = hs_gauge_create (set, "flows", "Flows known to this entry.");
  metrics->evacuated_zones = hs_gauge_create (
      set, "evacuated_zones", "Availability zones that are evacuated.");
  metrics->configuration_version = hs_gauge_create (
      set, "configuration_version", "Version of the configuration in force.");
}

static void
on_caller_packet (void *ctx, struct hs_packet *packet, uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  entry->last_segment_at = now;
  hs_uplink_count_received (entry->uplink, packet->len, now);
  handle_segment (entry, packet, now);
}

static void
handle_segment (struct hs_segment_entry *entry, struct hs_packet *packet,
                uint64_t now)
{
  const struct hs_adapter *adapter = entry->settings.adapter;
  struct hs_segment segment;
  struct hs_forward_decision decision;

  if (!adapter->decode_segment (adapter->ctx, hs_packet_bytes (packet),
                                packet->len, &segment))
    {
      hs_counter_add (entry->node->malformed, 1);
      return;
    }
  decision = hs_forwarder_route (entry->forwarder, &segment, now);
  if (decision.is_placement)
    hs_load_poller_handle_syn (entry->load_poller,
                               decision.agents[0]->report.service_id, now);
  else if (decision.least_busy != NULL)
    hs_load_poller_handle_syn (entry->load_poller,
                               decision.least_busy->report.service_id, now);
  execute_decision (entry, packet, &segment, &decision, now);
}

static void
on_inner_message (void *ctx, struct hs_packet *packet,
                  const struct hs_inner *message, uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  hs_uplink_count_received (entry->uplink,
                            packet->len + HS_INNER_SEGMENT_HEADER_MAX, now);
  if (message->type == HS_INNER_REFUSED_SYN)
    on_refused_syn (entry, packet, &message->segment_header, now);
  else if (message->type == HS_INNER_LOAD_REPORT)
    on_load_report (entry, &message->load_report, now);
  else if (message->type == HS_INNER_OWNERSHIP)
    on_lookup_answer (entry, &message->ownership, now);
  else if (message->type == HS_INNER_SYN_HELD)
    hs_forwarder_handle_held_syn (entry->forwarder, &message->ownership.key,
                                  message->ownership.agent_id);
}

static void
on_lookup_answer (struct hs_segment_entry *entry,
                  const struct hs_inner_ownership *answer, uint64_t now)
{
  switch (answer->lookup_answer)
    {
    case HS_LOOKUP_OWNED:
      hs_counter_add (entry->metrics.owned_answers, 1);
      hs_forwarder_handle_owned (entry->forwarder, &answer->key,
                                 answer->agent_id, now);
      break;
    case HS_LOOKUP_NOT_OWNED:
      hs_forwarder_handle_not_owned (entry->forwarder, &answer->key,
                                     answer->agent_id, now);
      break;
    case HS_LOOKUP_UNKNOWN:
      hs_forwarder_handle_unknown (entry->forwarder, &answer->key,
                                   answer->agent_id, now);
      break;
    case HS_LOOKUP_RECORDED_ELSEWHERE:
      hs_forwarder_handle_recorded (entry->forwarder, &answer->key,
                                    answer->agent_id, now);
      break;
    case HS_LOOKUP_NONE:
      break;
    }
}

static void
on_reset_caller (void *ctx, const struct hs_segment *segment,
                 size_t non_owners)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_forward_decision decision = { .action = HS_FORWARD_RESET,
                                          .reason = HS_REASON_WRONG_HOST,
                                          .queried_agents = non_owners };
  struct hs_packet *packet = hs_outbox_add (entry->node->outbox);
  struct hs_segment_key key = hs_segment_key (segment, true);

  log_decision (entry, segment, &decision, hs_clock_monotonic ());
  hs_pending_segments_remove (entry->pending_segments, &key);
  if (packet != NULL)
    reset_caller (entry, packet, segment);
}

static void
on_query_owner (void *ctx, const struct hs_pool_agent *agent,
                const struct hs_segment *segment)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_inner message
      = { .type = HS_INNER_LOOKUP_QUERY, .queried_segment = *segment };

  hs_counter_add (entry->metrics.lookup_queries, 1);
  send_message (entry, &agent->report.address, &message,
                hs_clock_monotonic ());
}

static void
on_send_pending (void *ctx, const struct hs_segment_key *key,
                 const struct hs_pool_agent *agent, bool owner_only,
                 uint64_t age_max_ms)
{
  struct hs_segment_entry *entry = ctx;
  struct pending_destination destination = { entry, agent, owner_only };
  uint64_t now = hs_clock_monotonic ();

  hs_pending_segments_foreach (entry->pending_segments, key,
                               age_max_ms < now ? now - age_max_ms : 0,
                               send_pending_segment, &destination);
  if (!owner_only)
    hs_pending_segments_remove (entry->pending_segments, key);
}

static void
send_pending_segment (void *ctx, const uint8_t *data, size_t len)
{
  const struct pending_destination *destination = ctx;
  struct hs_segment_entry *entry = destination->entry;
  const struct hs_adapter *adapter = entry->settings.adapter;
  struct hs_packet *packet = hs_outbox_add (entry->node->outbox);
  struct hs_segment segment;
  struct hs_forward_decision decision
      = { .action = HS_FORWARD_TO_AGENTS,
          .owner_only = destination->owner_only,
          .agents_len = 1,
          .agents = { destination->agent } };

  if (packet == NULL
      || !adapter->decode_segment (adapter->ctx, data, len, &segment))
    return;
  memcpy (hs_packet_bytes (packet), data, len);
  packet->len = (uint16_t)len;
  forward_segment (entry, packet, &segment, &decision, hs_clock_monotonic ());
}

static void
on_record_owner (void *ctx, const struct hs_pool_agent *directory,
                 const struct hs_segment_key *key, uint64_t owner_id)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_inner message = { .type = HS_INNER_OWNERSHIP };

  message.ownership.lookup_answer = HS_LOOKUP_RECORDED_ELSEWHERE;
  message.ownership.agent_id = owner_id;
  message.ownership.key = *key;
  send_message (entry, &directory->report.address, &message,
                hs_clock_monotonic ());
}

static void
on_refused_syn (struct hs_segment_entry *entry, struct hs_packet *packet,
                const struct hs_inner_segment_header *header, uint64_t now)
{
  const struct hs_adapter *adapter = entry->settings.adapter;
  struct hs_segment segment;
  struct hs_forward_decision decision;
  char caller[HS_ADDR_TEXT_SIZE];

  if (!adapter->decode_segment (adapter->ctx, hs_packet_bytes (packet),
                                packet->len, &segment))
    {
      hs_counter_add (entry->node->malformed, 1);
      return;
    }
  hs_counter_add (entry->metrics.syns_refused, 1);
  hs_addr_format (&segment.from, caller);
  hs_log_write (entry->log, HS_LOG_INFO, "syn-refused", "{s:s, s:s, s:s}",
                "caller", caller, "reason", hs_reason_name (header->reason),
                "verdict", hs_outcome_name (HS_OUTCOME_NOT_RUN));
  decision = hs_forwarder_handle_refused_syn (
      entry->forwarder, &segment, header->agent_id, header->reason, now);
  execute_decision (entry, packet, &segment, &decision, now);
}

static void
on_load_report (struct hs_segment_entry *entry,
                const struct hs_load_report *report, uint64_t now)
{
  char address[HS_ADDR_TEXT_SIZE];

  hs_counter_add (entry->metrics.load_reports, 1);
  if (!hs_load_poller_handle_report (entry->load_poller, report)
      || !hs_agent_pool_update (entry->pool, report, now))
    return;
  hs_addr_format (&report->address, address);
  hs_log_write (entry->log, HS_LOG_INFO, "agent-changed",
                "{s:s, s:s, s:s, s:i, s:I}", "agent", address, "zone",
                report->zone, "state", hs_agent_state_name (report->state),
                "slots", (int)report->slots, "incarnation",
                (json_int_t)report->incarnation);
}

static bool
on_configuration (void *ctx, uint64_t base_generation, const uint8_t *bytes,
                  size_t len)
{
  struct hs_segment_entry *entry = ctx;
  g_autoptr (GError) error = NULL;
  size_t uncompressed_len;
  uint8_t *uncompressed = decode_update (entry, base_generation, bytes, len,
                                         &uncompressed_len, &error);
  HS_AUTO_TALLOC struct hs_configuration *configuration
      = uncompressed != NULL ? hs_configuration_unpack (
            NULL, uncompressed, uncompressed_len, &error)
                             : NULL;

  if (configuration == NULL)
    {
      hs_log_write (entry->log, HS_LOG_ERROR, "configuration-unreadable",
                    "{s:I, s:s}", "base", version_of (base_generation),
                    "error", error->message);
      talloc_free (uncompressed);
      return false;
    }
  if (entry->routing != NULL
      && configuration->version <= hs_routing_version (entry->routing))
    {
      talloc_free (uncompressed);
      return true;
    }
  talloc_free (entry->configuration_bytes);
  entry->configuration_bytes = uncompressed;
  entry->configuration_len = uncompressed_len;
  replace_routing (entry, configuration, hs_clock_monotonic ());
  hs_follower_set_generation (entry->node->follower,
                              hs_routing_generation (entry->routing));
  hs_counter_set (entry->metrics.configuration_version,
                  configuration->version);
  hs_log_write (entry->log, HS_LOG_INFO, "configuration-in-force",
                "{s:I, s:I, s:i, s:i}", "version",
                (json_int_t)configuration->version, "base",
                version_of (base_generation), "routes",
                (int)configuration->routes_len, "bytes", (int)len);
  return true;
}

static void
replace_routing (struct hs_segment_entry *entry,
                 const struct hs_configuration *configuration, uint64_t now)
{
  struct hs_routing *old = entry->routing;

  entry->routing = hs_routing_create (entry->node->datapath->decision_worker,
                                      configuration);
  hs_forwarder_set_routing (entry->forwarder, entry->routing);
  if (old == NULL)
    return;
  hs_routing_inherit (entry->routing, old, now,
                      now + flow_lifetime_ms (entry));
  if (hs_routing_flow_idle_ms (old) != configuration->flow_idle_ms)
    hs_load_poller_query_all (entry->load_poller);
  hs_routing_destroy (old);
}

static uint64_t
flow_lifetime_ms (const struct hs_segment_entry *entry)
{
  return (uint64_t)(entry->settings.flow_lifetime_s * 1000);
}

/* Returns the uncompressed encoding of a configuration, and its length in
   bytes in UNCOMPRESSED_LEN.  BYTES hold the whole configuration, compressed,
   if BASE_GENERATION is 0, and otherwise a patch based on the configuration of
   BASE_GENERATION.  Returns NULL and sets ERROR if that is not in force or
   BYTES are malformed.  */
static uint8_t *
decode_update (struct hs_segment_entry *entry, uint64_t base_generation,
               const uint8_t *bytes, size_t len, size_t *uncompressed_len,
               GError **error)
{
  if (base_generation == 0)
    return hs_bytes_uncompress (entry->node->datapath->decision_worker, bytes,
                                len, uncompressed_len, error);
  if (hs_routing_generation (entry->routing) == base_generation)
    return hs_patch_apply (
        entry->node->datapath->decision_worker, entry->configuration_bytes,
        entry->configuration_len, bytes, len, uncompressed_len, error);
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
               "the base of the patch is not the version in force");
  return NULL;
}

static void
on_agents_changed (void *ctx)
{
  struct hs_segment_entry *entry = ctx;
  const struct hs_follower_agents *agents
      = hs_follower_agents (entry->node->follower);

  hs_load_poller_set_agents (entry->load_poller, agents->values, agents->len);
}

static void
on_evacuations_changed (void *ctx, const struct hs_evacuations *evacuations)
{
  struct hs_segment_entry *entry = ctx;

  hs_agent_pool_set_evacuations (entry->pool, evacuations);
  hs_counter_set (entry->metrics.evacuated_zones, evacuations->len);
}

static void
on_query_load (void *ctx, const struct hs_addr *address)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_inner message = { .type = HS_INNER_LOAD_QUERY };

  if (entry->routing != NULL)
    {
      message.load_query.configuration_generation
          = hs_routing_generation (entry->routing);
      message.load_query.flow_idle_ms
          = hs_routing_flow_idle_ms (entry->routing);
    }
  hs_counter_add (entry->metrics.load_queries, 1);
  send_message (entry, address, &message, hs_clock_monotonic ());
}

static void
on_poll_due (void *ctx, uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  hs_load_poller_tick (entry->load_poller, now);
  hs_timer_start (entry->node->timers, &entry->poll_timer,
                  now + HS_LOAD_POLLER_TICK_MS);
}

/* Sends MESSAGE to an agent, or queues it for the uplink.  */
static void
send_message (struct hs_segment_entry *entry, const struct hs_addr *to,
              const struct hs_inner *message, uint64_t now)
{
  uint8_t bytes[HS_INNER_SIZE_MAX];
  size_t len = hs_inner_encode (message, bytes);

  if (hs_egress_take (entry->egress, HS_EGRESS_QUERY, len, now))
    {
      hs_segment_node_send (entry->node, to, message);
      return;
    }
  if (!hs_egress_queue (entry->egress, HS_EGRESS_QUERY, 0, to, bytes, len))
    hs_counter_add (entry->metrics.dropped, 1);
  start_egress_timer (entry);
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  hs_forwarder_tick (entry->forwarder, now);
  hs_pending_segments_expire (entry->pending_segments, now);
  hs_pending_segments_flush (entry->unplaced_syns, retry_unplaced_syn, entry);
  hs_agent_pool_expire (entry->pool, now);
  hs_counter_set (entry->metrics.flows,
                  hs_forwarder_flows_len (entry->forwarder));
  hs_forwarder_set_pool_complete (
      entry->forwarder,
      hs_load_poller_is_complete (entry->load_poller, now - entry->up_since,
                                  entry->started_at, now),
      now);
  update_readiness (entry, now);
  if (entry->draining_since == 0 || now - entry->draining_since < DRAIN_MIN_MS)
    return;
  if (now - entry->last_segment_at >= DRAIN_QUIET_MS
      || now - entry->draining_since >= entry->settings.drain_max_ms)
    {
      hs_log_write (entry->log, HS_LOG_INFO, "drained", NULL);
      hs_segment_node_finish_drain (entry->node);
      entry->draining_since = UINT64_MAX; /* Drained.  */
    }
}

static void
on_drain (void *ctx, uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  entry->draining_since = now;
}

static void
execute_decision (struct hs_segment_entry *entry, struct hs_packet *packet,
                  const struct hs_segment *segment,
                  const struct hs_forward_decision *decision, uint64_t now)
{
  packet->fd = -1;
  if (hs_segment_is_syn (segment)
      && now - entry->up_since < SYN_RETRY_WINDOW_MS
      && may_be_placed_soon (decision))
    {
      queue_unplaced_syn (entry, packet, segment, now);
      return;
    }
  log_decision (entry, segment, decision, now);
  switch (decision->action)
    {
    case HS_FORWARD_TO_AGENTS:
      forward_segment (entry, packet, segment, decision, now);
      break;
    case HS_FORWARD_QUEUE:
      queue_segment (entry->pending_segments, entry, packet, segment, now);
      break;
    case HS_FORWARD_RESET:
      reset_caller (entry, packet, segment);
      break;
    case HS_FORWARD_DROP:
      hs_counter_add (entry->metrics.dropped, 1);
      break;
    }
}

/* Returns whether the agents that have not reported yet may be able to take
   the flow of a SYN.  */
static bool
may_be_placed_soon (const struct hs_forward_decision *decision)
{
  return decision->action == HS_FORWARD_DROP || decision->least_busy != NULL
         || decision->reason == HS_REASON_REGION;
}

static void
forward_segment (struct hs_segment_entry *entry, struct hs_packet *packet,
                 const struct hs_segment *segment,
                 const struct hs_forward_decision *decision, uint64_t now)
{
  struct hs_inner message = { .type = HS_INNER_FORWARD };
  uint16_t start = packet->start;
  uint16_t len = packet->len;

  if (decision->is_placement)
    {
      hs_counter_add (entry->metrics.placed, 1);
      hs_histogram_observe (entry->metrics.report_age,
                            now - decision->agents[0]->last_heard_at);
    }
  if (decision->is_placement && !decision->agents[0]->is_same_zone)
    hs_counter_add (entry->metrics.placed_elsewhere, 1);
  hs_counter_add (entry->metrics.forwarded, 1);
  message.segment_header.owner_only = decision->owner_only;
  message.segment_header.wait_max_ms = decision->wait_max_ms;
  message.segment_header.hold_max_ms = decision->hold_max_ms;
  message.segment_header.priority = decision->priority;
  message.segment_header.cold_flow_rate = decision->cold_flow_rate;
  for (size_t i = 0; i < decision->agents_len; i++)
    {
      const struct hs_load_report *report = &decision->agents[i]->report;

      packet->start = start;
      packet->len = len;
      message.segment_header.service_id = report->service_id;
      message.segment_header.agent_id = report->agent_id;
      hs_segment_node_encapsulate (entry->node, packet, &message,
                                   &report->address);
      if (send_or_queue (entry, packet, segment, now)
          && i + 1 < decision->agents_len)
        hs_segment_node_send_copy (entry->node, packet);
    }
}

/* Returns whether PACKET may be sent at once.  Otherwise it is marked as not
   to be sent, and a copy is queued for the uplink.  */
static bool
send_or_queue (struct hs_segment_entry *entry, struct hs_packet *packet,
               const struct hs_segment *segment, uint64_t now)
{
  enum hs_egress_class class = hs_egress_class_of (entry->routing, segment);

  if (hs_egress_take (entry->egress, class, packet->len, now))
    return true;
  if (!hs_egress_queue (entry->egress, class, hs_egress_tag_of (segment),
                        &packet->peer, hs_packet_bytes (packet), packet->len))
    hs_counter_add (entry->metrics.dropped, 1);
  packet->fd = -1;
  start_egress_timer (entry);
  return false;
}

static void
on_egress_due (void *ctx, uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  hs_egress_flush (entry->egress, now);
  start_egress_timer (entry);
}

static void
start_egress_timer (struct hs_segment_entry *entry)
{
  uint64_t flush_at = hs_egress_flush_at (entry->egress);

  if (flush_at != UINT64_MAX)
    hs_timer_start (entry->node->timers, &entry->egress_timer, flush_at);
}

static void
on_send_queued (void *ctx, const struct hs_addr *to, const uint8_t *data,
                size_t len)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_packet *packet = hs_outbox_add (entry->node->outbox);

  if (packet == NULL)
    return;
  packet->start = 0;
  packet->len = (uint16_t)len;
  packet->peer = *to;
  packet->fd = entry->node->datapath->inner_fd;
  memcpy (packet->data, data, len);
}

static void
queue_segment (struct hs_pending_segments *queue,
               struct hs_segment_entry *entry, const struct hs_packet *packet,
               const struct hs_segment *segment, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);

  if (!hs_pending_segments_add (queue, &key, packet->data + packet->start,
                                packet->len, now))
    hs_counter_add (entry->metrics.dropped, 1);
}

/* Queues the SYN in place of its earlier copies, each of which would be placed
   on another agent.  */
static void
queue_unplaced_syn (struct hs_segment_entry *entry,
                    const struct hs_packet *packet,
                    const struct hs_segment *segment, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);

  hs_pending_segments_remove (entry->unplaced_syns, &key);
  queue_segment (entry->unplaced_syns, entry, packet, segment, now);
}

/* Handles a queued SYN as if it had just arrived.  */
static void
retry_unplaced_syn (void *ctx, const uint8_t *data, size_t len)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_packet *packet = hs_outbox_add (entry->node->outbox);

  if (packet == NULL)
    return;
  memcpy (hs_packet_bytes (packet), data, len);
  packet->len = (uint16_t)len;
  handle_segment (entry, packet, hs_clock_monotonic ());
}

/* Replaces PACKET by a reset to the caller that sent SEGMENT.  */
static void
reset_caller (struct hs_segment_entry *entry, struct hs_packet *packet,
              const struct hs_segment *segment)
{
  const struct hs_adapter *adapter = entry->settings.adapter;

  hs_counter_add (entry->metrics.resets, 1);
  packet->len = (uint16_t)adapter->encode_reset (adapter->ctx, segment,
                                                 hs_packet_bytes (packet));
  hs_segment_node_address_to_caller (entry->node, packet, entry->segments_fd,
                                     &segment->from,
                                     entry->settings.segments_address.port);
}

/* Logs a line for each flow that is placed, refused, reset or looked up, and
   for each segment that is dropped.  Segments forwarded to a known owner are
   only counted.  */
static void
log_decision (struct hs_segment_entry *entry, const struct hs_segment *segment,
              const struct hs_forward_decision *decision, uint64_t now)
{
  char caller[HS_ADDR_TEXT_SIZE];
  char address[HS_ADDR_TEXT_SIZE];

  if (decision->action == HS_FORWARD_TO_AGENTS && !decision->is_placement
      && !decision->owner_only)
    return;
  if (decision->action == HS_FORWARD_QUEUE && decision->queried_agents == 0)
    return;
  hs_addr_format (&segment->from, caller);
  hs_addr_format (&segment->to, address);
  if (decision->action == HS_FORWARD_TO_AGENTS && decision->is_placement)
    log_agent_load (entry, "flow-placed", decision->reason, caller, address,
                    decision->agents[0], now);
  else if (decision->least_busy != NULL)
    log_agent_load (entry, "flow-refused", decision->reason, caller, address,
                    decision->least_busy, now);
  else
    hs_log_write (entry->log, HS_LOG_INFO,
                  decision->uplink_wait_ms > 0           ? "flow-refused"
                  : decision->action == HS_FORWARD_RESET ? "flow-reset"
                  : decision->action == HS_FORWARD_DROP  ? "segment-dropped"
                                                         : "holder-asked",
                  "{s:s, s:s, s:I, s:s, s:i, s:I}", "caller", caller,
                  "address", address, "version",
                  version_of (hs_routing_generation (entry->routing)),
                  "reason", hs_reason_name (decision->reason), "agents",
                  (int)(decision->agents_len + decision->queried_agents),
                  "link_ms", (json_int_t)decision->uplink_wait_ms);
}

/* Logs EVENT, a decision made by the load of AGENT.  */
static void
log_agent_load (struct hs_segment_entry *entry, const char *event,
                enum hs_reason reason, const char *caller, const char *address,
                const struct hs_pool_agent *agent, uint64_t now)
{
  char agent_address[HS_ADDR_TEXT_SIZE];

  hs_addr_format (&agent->report.address, agent_address);
  hs_log_write (
      entry->log, HS_LOG_INFO, event,
      "{s:s, s:s, s:s, s:I, s:s, s:i, s:i, s:i, s:I, s:I, s:I, s:I, s:b}",
      "reason", hs_reason_name (reason), "caller", caller, "address", address,
      "version", version_of (hs_routing_generation (entry->routing)), "agent",
      agent_address, "busy", (int)agent->report.requests_in_progress, "slots",
      (int)agent->report.slots, "placed_since", (int)agent->placed_flows,
      "wait_ms", (json_int_t)(hs_pool_agent_wait_us (agent) / 1000),
      "work_left_ms", (json_int_t)(agent->report.work_left_us / 1000),
      "mean_ms", (json_int_t)(agent->report.mean_work_us / 1000),
      "report_age_ms", (json_int_t)(now - agent->last_heard_at), "in_zone",
      agent->is_same_zone);
}

/* Returns the version of the configuration of GENERATION for the log; -1 if
   GENERATION is 0.  */
static json_int_t
version_of (uint64_t generation)
{
  return (json_int_t)generation - 1;
}

static void
update_readiness (struct hs_segment_entry *entry, uint64_t now)
{
  const struct hs_pool_agent *any;

  if (entry->draining_since != 0)
    return;
  if (entry->routing != NULL && now - entry->up_since >= READY_DELAY_MS
      && hs_agent_pool_possible_owners (entry->pool, 0, &any, 1, now) > 0)
    hs_segment_node_set_readiness (entry->node, NULL);
}
