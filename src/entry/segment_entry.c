/* segment_entry.c -- the entry daemon of segment flows.

   Threads: receive, decide (this file's decisions are in segment/), send,
   the HTTP server, log.  Answers go from agents to callers past the
   entries.  */

#include "entry/segment_entry.h"
#include "base/auto.h"
#include "daemon/segment_node.h"
#include "entry/pending_segments.h"
#include "wire/configuration_message.h"
#include "wire/patch.h"

#include <string.h>
#include <unistd.h>

/* Types.  */

#define BATCHES 6 /* Memory is dear: 128 KiB each at most.  */
#define TAG_SEGMENTS 1

/* After a start, for all agents to have heard of this entry: a round of the
   control hosts by both, and a report.  */
#define POOL_COMPLETE_MS 2000

/* The same after a restart of all hosts, when all agents of today's sites
   have reported within 0.7 s, and how far their starts may be apart.  */
#define POOL_COMPLETE_RESTARTED_MS 800
#define RESTART_SKEW_MAX_MS 1000

/* The same, for the first of them.  */
#define SETTLE_MS 300

/* After a start, how long SYNs wait for a configuration and an agent: callers
   give up after 1.4 s.  */
#define SYN_RETRY_PERIOD_MS 1000

/* A stop waits until callers' segments have ceased for this long, ...  */
#define DRAIN_QUIET_MS 700

/* ... and at least for the fabric to see that this entry is not ready: two
   of its probes, 0.5 s apart, and their answers.  */
#define DRAIN_MIN_MS 1600

struct entry_counters
{
  struct hs_counter *forwarded;
  struct hs_counter *placed;
  struct hs_counter *placed_elsewhere;
  struct hs_counter *asked;
  struct hs_counter *held;
  struct hs_counter *refused;
  struct hs_counter *resets;
  struct hs_counter *dropped;
  struct hs_counter *reports;
  struct hs_counter *flows;
  struct hs_counter *version;
  struct hs_histogram *report_age;
};

struct hs_segment_entry
{
  struct hs_segment_entry_settings settings;
  struct hs_log *log;
  struct hs_counters *counters;
  struct entry_counters counts;
  struct hs_segment_node *node;
  int segments_fd;

  /* Of the decide thread alone.  */
  struct hs_agent_pool *pool;
  struct hs_uplink *uplink;
  struct hs_forwarder *forwarder;
  struct hs_pending_segments *pending_segments;
  struct hs_pending_segments
      *unplaced_syns;           /* SYNs that cannot be placed yet.  */
  struct hs_routing *routing;   /* In force; NULL: none yet.  */
  uint8_t *configuration_bytes; /* The same, as it came, uncompressed.  */
  size_t configuration_len;
  uint64_t started_at;      /* ms  */
  uint64_t started_wall;    /* The same, of the wall clock.  */
  uint64_t last_segment_at; /* ms  */
  uint64_t draining_since;  /* ms; 0: not draining  */
  uint64_t expired_at;      /* ms  */
};

/* Where segments that were held go.  */
struct release
{
  struct hs_segment_entry *entry;
  const struct hs_pool_agent *agent;
  bool owner_only;
};

/* Private functions.  */

static void create_counters (struct hs_segment_entry *entry);
static void on_packet (void *ctx, struct hs_packet *packet, uint64_t now);
static void handle_segment (struct hs_segment_entry *entry,
                            struct hs_packet *packet, uint64_t now);
static void on_inner (void *ctx, struct hs_packet *packet,
                      const struct hs_inner *inner, uint64_t now);
static void on_refused_syn (struct hs_segment_entry *entry,
                            struct hs_packet *packet,
                            const struct hs_inner_segment_header *header,
                            uint64_t now);
static void on_lookup_answer (struct hs_segment_entry *entry,
                              const struct hs_inner_ownership *claim,
                              uint64_t now);
static void on_reset (void *ctx, const struct hs_segment *segment);
static void on_ask (void *ctx, const struct hs_pool_agent *backend,
                    const struct hs_segment *segment);
static void on_release (void *ctx, const struct hs_segment_key *key,
                        const struct hs_pool_agent *backend, bool if_held);
static void send_pending_segment (void *ctx, const uint8_t *data, size_t len);
static void on_note (void *ctx, const struct hs_pool_agent *home,
                     const struct hs_segment_key *key, uint64_t slot);
static void on_report (struct hs_segment_entry *entry,
                       const struct hs_load_report *report, uint64_t now);
static bool on_configuration (void *ctx, uint64_t base, const uint8_t *bytes,
                              size_t len);
static uint8_t *decode_update (struct hs_segment_entry *entry, uint64_t base,
                               const uint8_t *bytes, size_t len,
                               size_t *plain_len, GError **error);
static void on_entries (void *ctx);
static void on_tick (void *ctx, uint64_t now);
static void on_drain (void *ctx, uint64_t now);
static void carry_out (struct hs_segment_entry *entry,
                       struct hs_packet *packet,
                       const struct hs_segment *segment,
                       const struct hs_forward_decision *steer, uint64_t now);
static void forward (struct hs_segment_entry *entry, struct hs_packet *packet,
                     const struct hs_forward_decision *steer, uint64_t now);
static void keep (struct hs_pending_segments *held,
                  struct hs_segment_entry *entry,
                  const struct hs_packet *packet,
                  const struct hs_segment *segment, uint64_t now);
static void retry_unplaced_syn (void *ctx, const uint8_t *data, size_t len);
static void reset (struct hs_segment_entry *entry, struct hs_packet *packet,
                   const struct hs_segment *segment);
static void log_decision (struct hs_segment_entry *entry,
                          const struct hs_segment *segment,
                          const struct hs_forward_decision *steer,
                          uint64_t now);
static void log_agent_load (struct hs_segment_entry *entry, const char *event,
                            const char *caller, const char *address,
                            const struct hs_pool_agent *backend, uint64_t now);
static bool is_pool_complete (const struct hs_segment_entry *entry,
                              uint64_t now);
static json_int_t routing_version (const struct hs_segment_entry *entry);
static void update_readiness (struct hs_segment_entry *entry, uint64_t now);

/* Public definitions.  */

struct hs_segment_entry *
hs_segment_entry_create (const struct hs_segment_entry_settings *settings,
                         struct hs_log *log, GError **error)
{
  struct hs_segment_entry *entry = talloc_zero (NULL, struct hs_segment_entry);
  struct hs_segment_node_settings front
      = { .name = settings->name,
          .zone = settings->zone,
          .role = HS_ROLE_ENTRY,
          .inner_address = settings->inner_address,
          .health_address = settings->health_address,
          .seeds = settings->seeds,
          .seed_port = settings->seed_port,
          .batches = BATCHES,
          .adapter = settings->adapter };
  struct hs_segment_node_ops ops = { on_packet,  on_inner, on_configuration,
                                     on_entries, on_tick,  on_drain };
  struct hs_forwarder_ops steering = { on_reset, on_ask, on_release, on_note };

  entry->settings = *settings;
  entry->log = log;
  entry->started_at = hs_clock_now ();
  entry->started_wall = hs_clock_wall ();
  create_counters (entry);
  entry->segments_fd = hs_socket_bind (&settings->segments_address, error);
  if (entry->segments_fd >= 0)
    entry->node = hs_segment_node_create (entry, &front, &ops, entry,
                                          entry->counters, log, error);
  if (entry->node == NULL)
    {
      if (entry->segments_fd >= 0)
        close (entry->segments_fd);
      talloc_free (entry);
      return NULL;
    }
  entry->pool = hs_agent_pool_create (entry->node->datapath->decision_worker,
                                      settings->zone);
  entry->uplink = hs_uplink_create (entry->node->datapath->decision_worker,
                                    settings->uplink_mbps);
  entry->forwarder
      = hs_forwarder_create (entry->node->datapath->decision_worker,
                             entry->pool, entry->uplink, &steering, entry);
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
create_counters (struct hs_segment_entry *entry)
{
  struct hs_counters *all = hs_counters_create (entry, "hibiscusspan_entry");
  struct entry_counters *counts = &entry->counts;

  entry->counters = all;
  counts->forwarded = hs_counter_create (
      all, "segments_forwarded_total", "Segments of callers sent to agents.");
  counts->placed = hs_counter_create (all, "flows_placed_total",
                                      "SYNs offered to an agent.");
  counts->placed_elsewhere
      = hs_counter_create (all, "flows_placed_elsewhere_total",
                           "SYNs offered outside the availability zone.");
  counts->asked
      = hs_counter_create (all, "flows_asked_total",
                           "Questions to agents whether they hold a flow.");
  counts->held = hs_counter_create (all, "flows_held_total",
                                    "Flows that an agent said it holds.");
  counts->refused = hs_counter_create (all, "syns_refused_total",
                                       "SYNs that an agent gave back.");
  counts->resets = hs_counter_create (all, "resets_total",
                                      "Callers told that a flow is not "
                                      "open.");
  counts->dropped = hs_counter_create (all, "segments_dropped_total",
                                       "Segments that nobody takes.");
  counts->reports = hs_counter_create (all, "load_reports_total",
                                       "Load reports of agents.");
  counts->report_age = hs_histogram_create (
      all, "report_age_ms", "Age of the load report that placed a flow.");
  counts->flows = hs_gauge_create (all, "flows", "Flows known here.");
  counts->version = hs_gauge_create (all, "configuration_version",
                                     "Version of the configuration here.");
}

static void
on_packet (void *ctx, struct hs_packet *packet, uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  entry->last_segment_at = now;
  hs_uplink_count (entry->uplink, HS_UPLINK_IN, packet->len, now);
  handle_segment (entry, packet, now);
}

static void
handle_segment (struct hs_segment_entry *entry, struct hs_packet *packet,
                uint64_t now)
{
  const struct hs_adapter *dialect = entry->settings.adapter;
  struct hs_segment segment;
  struct hs_forward_decision steer;

  if (!dialect->decode_segment (dialect->ctx, hs_packet_bytes (packet),
                                packet->len, &segment))
    {
      hs_counter_add (entry->node->malformed, 1);
      return;
    }
  steer = hs_forwarder_route (entry->forwarder, &segment, now);
  carry_out (entry, packet, &segment, &steer, now);
}

static void
on_inner (void *ctx, struct hs_packet *packet, const struct hs_inner *inner,
          uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  hs_uplink_count (entry->uplink, HS_UPLINK_IN,
                   packet->len + HS_INNER_SEGMENT_HEADER_MAX, now);
  if (inner->type == HS_INNER_REFUSED_SYN)
    on_refused_syn (entry, packet, &inner->segment_header, now);
  else if (inner->type == HS_INNER_LOAD_REPORT)
    on_report (entry, &inner->load_report, now);
  else if (inner->type == HS_INNER_OWNERSHIP)
    on_lookup_answer (entry, &inner->ownership, now);
}

static void
on_lookup_answer (struct hs_segment_entry *entry,
                  const struct hs_inner_ownership *claim, uint64_t now)
{
  switch (claim->lookup_answer)
    {
    case HS_LOOKUP_OWNED:
      hs_counter_add (entry->counts.held, 1);
      hs_forwarder_handle_owned (entry->forwarder, &claim->key,
                                 claim->agent_id, now);
      break;
    case HS_LOOKUP_NOT_OWNED:
      hs_forwarder_handle_not_owned (entry->forwarder, &claim->key,
                                     claim->agent_id, now);
      break;
    case HS_LOOKUP_UNKNOWN:
      hs_forwarder_handle_unknown (entry->forwarder, &claim->key,
                                   claim->agent_id, now);
      break;
    case HS_LOOKUP_RECORDED_ELSEWHERE:
      hs_forwarder_handle_recorded (entry->forwarder, &claim->key,
                                    claim->agent_id, now);
      break;
    case HS_LOOKUP_NONE:
      break;
    }
}

static void
on_reset (void *ctx, const struct hs_segment *segment)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_forward_decision steer
      = { .action = HS_FORWARD_RESET, .reason = HS_REASON_WRONG_HOST };
  struct hs_packet *packet = hs_outbox_add (entry->node->outbox);
  struct hs_segment_key key = hs_segment_key (segment, true);

  log_decision (entry, segment, &steer, hs_clock_now ());
  hs_pending_segments_remove (entry->pending_segments, &key);
  if (packet != NULL)
    reset (entry, packet, segment);
}

static void
on_ask (void *ctx, const struct hs_pool_agent *backend,
        const struct hs_segment *segment)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_inner inner
      = { .type = HS_INNER_LOOKUP_QUERY, .queried_segment = *segment };

  hs_counter_add (entry->counts.asked, 1);
  hs_uplink_count (entry->uplink, HS_UPLINK_OUT, HS_INNER_SEGMENT_HEADER_MAX,
                   hs_clock_now ());
  hs_segment_node_send (entry->node, &backend->report.address, &inner);
}

static void
on_release (void *ctx, const struct hs_segment_key *key,
            const struct hs_pool_agent *backend, bool if_held)
{
  struct hs_segment_entry *entry = ctx;
  struct release release = { entry, backend, if_held };

  hs_pending_segments_foreach (entry->pending_segments, key,
                               send_pending_segment, &release);
  if (!if_held)
    hs_pending_segments_remove (entry->pending_segments, key);
}

static void
send_pending_segment (void *ctx, const uint8_t *data, size_t len)
{
  const struct release *release = ctx;
  struct hs_segment_entry *entry = release->entry;
  struct hs_packet *packet = hs_outbox_add (entry->node->outbox);
  struct hs_forward_decision steer = { .action = HS_FORWARD_TO_AGENTS,
                                       .owner_only = release->owner_only,
                                       .agents_len = 1,
                                       .agents = { release->agent } };

  if (packet == NULL)
    return;
  memcpy (hs_packet_bytes (packet), data, len);
  packet->len = (uint16_t)len;
  forward (entry, packet, &steer, hs_clock_now ());
}

static void
on_note (void *ctx, const struct hs_pool_agent *home,
         const struct hs_segment_key *key, uint64_t slot)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_inner inner = { .type = HS_INNER_OWNERSHIP };

  inner.ownership.lookup_answer = HS_LOOKUP_RECORDED_ELSEWHERE;
  inner.ownership.agent_id = slot;
  inner.ownership.key = *key;
  hs_segment_node_send (entry->node, &home->report.address, &inner);
}

static void
on_refused_syn (struct hs_segment_entry *entry, struct hs_packet *packet,
                const struct hs_inner_segment_header *header, uint64_t now)
{
  const struct hs_adapter *dialect = entry->settings.adapter;
  struct hs_segment segment;
  struct hs_forward_decision steer;
  char caller[HS_ADDR_TEXT_SIZE];

  if (!dialect->decode_segment (dialect->ctx, hs_packet_bytes (packet),
                                packet->len, &segment))
    {
      hs_counter_add (entry->node->malformed, 1);
      return;
    }
  hs_counter_add (entry->counts.refused, 1);
  hs_addr_format (&segment.from, caller);
  hs_log_write (entry->log, HS_LOG_INFO, "syn-refused", "{s:s, s:s, s:s}",
                "caller", caller, "reason", hs_reason_name (header->reason),
                "verdict", hs_outcome_name (HS_OUTCOME_NOT_RUN));
  steer = hs_forwarder_handle_refused_syn (
      entry->forwarder, &segment, header->agent_id, header->reason, now);
  carry_out (entry, packet, &segment, &steer, now);
}

static void
on_report (struct hs_segment_entry *entry, const struct hs_load_report *report,
           uint64_t now)
{
  char address[HS_ADDR_TEXT_SIZE];

  hs_counter_add (entry->counts.reports, 1);
  if (!hs_agent_pool_update (entry->pool, report, now))
    return;
  hs_addr_format (&report->address, address);
  hs_log_write (entry->log, HS_LOG_INFO, "agent-changed",
                "{s:s, s:s, s:s, s:i, s:I}", "agent", address, "zone",
                report->zone, "state", hs_agent_state_name (report->state),
                "slots", (int)report->slots, "incarnation",
                (json_int_t)report->incarnation);
}

static bool
on_configuration (void *ctx, uint64_t base, const uint8_t *bytes, size_t len)
{
  struct hs_segment_entry *entry = ctx;
  g_autoptr (GError) error = NULL;
  size_t plain_len;
  uint8_t *plain = decode_update (entry, base, bytes, len, &plain_len, &error);
  HS_AUTO_TALLOC struct hs_configuration *configuration
      = plain != NULL
            ? hs_configuration_unpack (NULL, plain, plain_len, &error)
            : NULL;
  struct hs_routing *old = entry->routing;

  if (configuration == NULL)
    {
      hs_log_write (entry->log, HS_LOG_ERROR, "configuration-unreadable",
                    "{s:I, s:s}", "base", (json_int_t)base, "error",
                    error->message);
      talloc_free (plain);
      return false;
    }
  if (old != NULL && configuration->version <= hs_routing_version (old))
    {
      talloc_free (plain);
      return true;
    }
  talloc_free (entry->configuration_bytes);
  entry->configuration_bytes = plain;
  entry->configuration_len = plain_len;
  entry->routing = hs_routing_create (entry->node->datapath->decision_worker,
                                      configuration);
  hs_forwarder_set_routing (entry->forwarder, entry->routing);
  hs_follower_set_version (entry->node->follower, configuration->version);
  hs_routing_destroy (old);
  hs_counter_set (entry->counts.version, configuration->version);
  hs_log_write (entry->log, HS_LOG_INFO, "configuration-in-force",
                "{s:I, s:I, s:i, s:i}", "version",
                (json_int_t)configuration->version, "base", (json_int_t)base,
                "routes", (int)configuration->routes_len, "bytes", (int)len);
  return true;
}

static uint8_t *
decode_update (struct hs_segment_entry *entry, uint64_t base,
               const uint8_t *bytes, size_t len, size_t *plain_len,
               GError **error)
{
  if (base == 0)
    return hs_bytes_uncompress (entry->node->datapath->decision_worker, bytes,
                                len, plain_len, error);
  if (entry->routing != NULL && hs_routing_version (entry->routing) == base)
    return hs_patch_apply (
        entry->node->datapath->decision_worker, entry->configuration_bytes,
        entry->configuration_len, bytes, len, plain_len, error);
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
               "changes of another version");
  return NULL;
}

/* Entries have no use for each other.  */
static void
on_entries (void *ctx)
{
  (void)ctx;
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  hs_forwarder_tick (entry->forwarder, now);
  hs_pending_segments_expire (entry->pending_segments, now);
  hs_pending_segments_flush (entry->unplaced_syns, retry_unplaced_syn, entry);
  hs_agent_pool_expire (entry->pool, now);
  hs_counter_set (entry->counts.flows,
                  hs_forwarder_flows_len (entry->forwarder));
  hs_forwarder_set_pool_complete (entry->forwarder,
                                  is_pool_complete (entry, now), now);
  update_readiness (entry, now);
  if (entry->draining_since == 0 || now - entry->draining_since < DRAIN_MIN_MS)
    return;
  if (now - entry->last_segment_at >= DRAIN_QUIET_MS
      || now - entry->draining_since >= entry->settings.drain_max_ms)
    {
      hs_log_write (entry->log, HS_LOG_INFO, "drained", NULL);
      hs_segment_node_finish_drain (entry->node);
      entry->draining_since = UINT64_MAX; /* Once.  */
    }
}

static void
on_drain (void *ctx, uint64_t now)
{
  struct hs_segment_entry *entry = ctx;

  entry->draining_since = now;
}

static void
carry_out (struct hs_segment_entry *entry, struct hs_packet *packet,
           const struct hs_segment *segment,
           const struct hs_forward_decision *steer, uint64_t now)
{
  packet->fd = -1;
  if (steer->action == HS_FORWARD_DROP && hs_segment_is_syn (segment)
      && now - entry->started_at < SYN_RETRY_PERIOD_MS)
    {
      keep (entry->unplaced_syns, entry, packet, segment, now);
      return;
    }
  log_decision (entry, segment, steer, now);
  switch (steer->action)
    {
    case HS_FORWARD_TO_AGENTS:
      forward (entry, packet, steer, now);
      break;
    case HS_FORWARD_QUEUE:
      keep (entry->pending_segments, entry, packet, segment, now);
      break;
    case HS_FORWARD_RESET:
      reset (entry, packet, segment);
      break;
    case HS_FORWARD_DROP:
      hs_counter_add (entry->counts.dropped, 1);
      break;
    }
}

static void
forward (struct hs_segment_entry *entry, struct hs_packet *packet,
         const struct hs_forward_decision *steer, uint64_t now)
{
  struct hs_inner inner = { .type = HS_INNER_FORWARD };
  uint16_t start = packet->start;
  uint16_t len = packet->len;

  if (steer->is_placement)
    {
      hs_counter_add (entry->counts.placed, 1);
      hs_histogram_add (entry->counts.report_age,
                        now - steer->agents[0]->last_heard_at);
    }
  if (steer->is_placement && !steer->agents[0]->is_same_zone)
    hs_counter_add (entry->counts.placed_elsewhere, 1);
  hs_counter_add (entry->counts.forwarded, 1);
  inner.segment_header.owner_only = steer->owner_only;
  for (size_t i = 0; i < steer->agents_len; i++)
    {
      const struct hs_load_report *report = &steer->agents[i]->report;

      packet->start = start;
      packet->len = len;
      inner.segment_header.service_id = report->service_id;
      inner.segment_header.agent_id = report->agent_id;
      hs_segment_node_encapsulate (entry->node, packet, &inner,
                                   &report->address);
      hs_uplink_count (entry->uplink, HS_UPLINK_OUT, packet->len, now);
      if (i + 1 < steer->agents_len)
        hs_segment_node_send_copy (entry->node, packet);
    }
}

static void
keep (struct hs_pending_segments *held, struct hs_segment_entry *entry,
      const struct hs_packet *packet, const struct hs_segment *segment,
      uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);

  if (!hs_pending_segments_add (held, &key, packet->data + packet->start,
                                packet->len, now))
    hs_counter_add (entry->counts.dropped, 1);
}

/* As if the SYN came now.  */
static void
retry_unplaced_syn (void *ctx, const uint8_t *data, size_t len)
{
  struct hs_segment_entry *entry = ctx;
  struct hs_packet *packet = hs_outbox_add (entry->node->outbox);

  if (packet == NULL)
    return;
  memcpy (hs_packet_bytes (packet), data, len);
  packet->len = (uint16_t)len;
  handle_segment (entry, packet, hs_clock_now ());
}

static void
reset (struct hs_segment_entry *entry, struct hs_packet *packet,
       const struct hs_segment *segment)
{
  const struct hs_adapter *dialect = entry->settings.adapter;

  hs_counter_add (entry->counts.resets, 1);
  packet->len = (uint16_t)dialect->encode_reset (dialect->ctx, segment,
                                                 hs_packet_bytes (packet));
  hs_segment_node_address_to_caller (entry->node, packet, entry->segments_fd,
                                     &segment->from,
                                     entry->settings.segments_address.port);
}

/* A line for each flow that is placed, refused or asked for, and for each
   segment that is dropped; forwarding to a known holder is only counted.  */
static void
log_decision (struct hs_segment_entry *entry, const struct hs_segment *segment,
              const struct hs_forward_decision *steer, uint64_t now)
{
  char caller[HS_ADDR_TEXT_SIZE];
  char address[HS_ADDR_TEXT_SIZE];

  if (steer->action == HS_FORWARD_TO_AGENTS && !steer->is_placement
      && !steer->owner_only)
    return;
  if (steer->action == HS_FORWARD_QUEUE && steer->queried_agents == 0)
    return;
  hs_addr_format (&segment->from, caller);
  hs_addr_format (&segment->to, address);
  if (steer->action == HS_FORWARD_TO_AGENTS && steer->is_placement)
    log_agent_load (entry, "flow-placed", caller, address, steer->agents[0],
                    now);
  else if (steer->least_busy != NULL)
    log_agent_load (entry, "flow-refused", caller, address, steer->least_busy,
                    now);
  else
    hs_log_write (entry->log, HS_LOG_INFO,
                  steer->uplink_queue_ms > 0          ? "flow-refused"
                  : steer->action == HS_FORWARD_RESET ? "flow-reset"
                  : steer->action == HS_FORWARD_DROP  ? "segment-dropped"
                                                      : "holder-asked",
                  "{s:s, s:s, s:I, s:s, s:i, s:I}", "caller", caller,
                  "address", address, "version", routing_version (entry),
                  "reason", hs_reason_name (steer->reason), "agents",
                  (int)(steer->agents_len + steer->queried_agents), "link_ms",
                  (json_int_t)steer->uplink_queue_ms);
}

/* A decision made by the load of BACKEND.  */
static void
log_agent_load (struct hs_segment_entry *entry, const char *event,
                const char *caller, const char *address,
                const struct hs_pool_agent *backend, uint64_t now)
{
  char agent[HS_ADDR_TEXT_SIZE];

  hs_addr_format (&backend->report.address, agent);
  hs_log_write (
      entry->log, HS_LOG_INFO, event,
      "{s:s, s:s, s:I, s:s, s:i, s:i, s:i, s:I, s:I, s:b}", "caller", caller,
      "address", address, "version", routing_version (entry), "agent", agent,
      "busy", (int)backend->report.requests_in_progress, "slots",
      (int)backend->report.slots, "placed_since", (int)backend->placed_flows,
      "wait_ms", (json_int_t)(hs_pool_agent_wait_us (backend) / 1000),
      "report_age_ms", (json_int_t)(now - backend->last_heard_at), "in_zone",
      backend->is_same_zone);
}

/* Whether every agent that lives has reported.  Where all that have started
   with this entry, hosts have lost power or been killed together, and callers
   wait for their flows to be reset.  */
static bool
is_pool_complete (const struct hs_segment_entry *entry, uint64_t now)
{
  uint64_t up_ms = now - entry->started_at;

  return up_ms >= POOL_COMPLETE_MS
         || (up_ms >= POOL_COMPLETE_RESTARTED_MS
             && hs_agent_pool_all_started_since (
                 entry->pool, entry->started_wall - RESTART_SKEW_MAX_MS));
}

static json_int_t
routing_version (const struct hs_segment_entry *entry)
{
  return entry->routing != NULL
             ? (json_int_t)hs_routing_version (entry->routing)
             : 0;
}

static void
update_readiness (struct hs_segment_entry *entry, uint64_t now)
{
  const struct hs_pool_agent *any;

  if (entry->draining_since != 0)
    return;
  if (entry->routing != NULL && now - entry->started_at >= SETTLE_MS
      && hs_agent_pool_possible_owners (entry->pool, 0, &any, 1, now) > 0)
    hs_segment_node_set_readiness (entry->node, NULL);
}
