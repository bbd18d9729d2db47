/* test_segment.c -- routing, placing, steering and the sidecar of segment
   flows, and the platform's form of them.  */

#include "base/addr.h"
#include "base/auto.h"
#include "hibiscusspan.h"
#include "platform/platform.h"

#include <string.h>

/* Types.  */

#define HEAD_SIZE 32
#define ALPHA "alpha"
#define BETA "beta"

static const char json_configuration[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"198.18.0.1\","
      "\"pathPrefix\":\"/8080/\",\"routeType\":\"non_idempotent\","
      "\"timeoutMs\":2000,\"aimMs\":300,\"priority\":1,\"service\":\"alpha\"},"
      "{\"name\":\"r-2\",\"host\":\"198.18.0.1\",\"pathPrefix\":\"/8443/\","
      "\"routeType\":\"idempotent\",\"timeoutMs\":1500,\"aimMs\":250,"
      "\"priority\":2,\"trafficSplit\":[{\"service\":\"alpha\",\"weight\":90},"
      "{\"service\":\"beta\",\"weight\":10}]}],\"services\":[{\"name\":"
      "\"alpha\"},{\"name\":\"beta\"}],\"limits\":{\"idleTimeoutMs\":12000}}";

struct lost
{
  size_t len;
  struct hs_segment last;
};

#define ASKED_MAX 4096

/* What the steering has had done.  */
struct done
{
  struct lost reset; /* First: on_lost takes it.  */
  size_t asked_len;
  uint64_t asked[ASKED_MAX]; /* Slots, in order.  */
  struct hs_segment asked_by;
  size_t released_len;
  uint64_t released_to; /* Slot.  */
  bool released_if_held;
  size_t noted_len;
  uint64_t noted_at;     /* Slot of the home.  */
  uint64_t noted_holder; /* Slot.  */
};

/* An entry's decisions before three agents.  */
struct entry
{
  void *root;
  struct hs_routing *routing;
  struct hs_agent_pool *fleet;
  struct hs_uplink *link;
  struct hs_forwarder *steering;
  struct lost *reset; /* What was reset.  */
  struct done *done;
};

/* Private functions.  */

static struct hs_addr
addr (const char *text)
{
  struct hs_addr address;

  g_assert_true (hs_addr_parse (text, &address));
  return address;
}

static struct hs_segment
segment_of (unsigned int flags, uint16_t port, uint32_t seq, uint32_t ack,
            uint16_t len)
{
  struct hs_segment segment = { .from = addr ("100.64.0.7:1"),
                                .to = addr ("198.18.0.1:8080"),
                                .flags = flags,
                                .seq = seq,
                                .ack = ack,
                                .payload_len = len };

  segment.from.port = port;
  return segment;
}

static struct hs_segment
answer_to (const struct hs_segment *segment, unsigned int flags, uint32_t seq,
           uint16_t len)
{
  return (struct hs_segment){ .from = segment->to,
                              .to = segment->from,
                              .flags = flags,
                              .seq = seq,
                              .ack = segment->seq + 1,
                              .payload_len = len };
}

static void
report (struct entry *entry, const char *name, const char *zone,
        enum hs_agent_state state, uint32_t busy, uint64_t now)
{
  static uint64_t seq;
  struct hs_load_report load = { .agent_id = hs_id_from_name (name),
                                 .incarnation = 1,

                                 .service_id = hs_id_from_name (ALPHA),
                                 .state = state,
                                 .slots = 7,
                                 .requests_in_progress = busy };

  load.seq = ++seq;
  g_strlcpy (load.zone, zone, sizeof load.zone);
  hs_agent_pool_update (entry->fleet, &load, now);
}

static void
on_lost (void *ctx, const struct hs_segment *segment)
{
  struct lost *lost = ctx;

  lost->len++;
  lost->last = *segment;
}

static void
on_ask (void *ctx, const struct hs_pool_agent *backend,
        const struct hs_segment *segment)
{
  struct done *done = ctx;

  g_assert_cmpuint (done->asked_len, <, ASKED_MAX);
  done->asked[done->asked_len++] = backend->report.agent_id;
  done->asked_by = *segment;
}

static void
on_release (void *ctx, const struct hs_segment_key *key,
            const struct hs_pool_agent *backend, bool if_held)
{
  struct done *done = ctx;

  (void)key;
  done->released_len++;
  done->released_to = backend->report.agent_id;
  done->released_if_held = if_held;
}

static void
on_note (void *ctx, const struct hs_pool_agent *home,
         const struct hs_segment_key *key, uint64_t slot)
{
  struct done *done = ctx;

  (void)key;
  done->noted_len++;
  done->noted_at = home->report.agent_id;
  done->noted_holder = slot;
}

/* Of links of 8 Mbit/s.  */
static struct entry
entry_create (uint64_t now)
{
  struct entry entry = { .root = talloc_new (NULL) };
  struct hs_forwarder_ops ops = { on_lost, on_ask, on_release, on_note };
  struct hs_configuration *configuration = hs_platform_decode_configuration (
      NULL, entry.root, json_configuration, strlen (json_configuration), NULL);

  g_assert_nonnull (configuration);
  entry.routing = hs_routing_create (entry.root, configuration);
  entry.fleet = hs_agent_pool_create (entry.root, "a");
  entry.done = talloc_zero (entry.root, struct done);
  entry.reset = &entry.done->reset;
  entry.link = hs_uplink_create (entry.root, 8);
  entry.steering = hs_forwarder_create (entry.root, entry.fleet, entry.link,
                                        &ops, entry.done);
  hs_forwarder_set_routing (entry.steering, entry.routing);
  hs_forwarder_set_pool_complete (entry.steering, true, 0);
  report (&entry, "x", "a", HS_AGENT_READY, 0, now);
  report (&entry, "y", "b", HS_AGENT_READY, 0, now);
  report (&entry, "z", "b", HS_AGENT_READY, 3, now);
  return entry;
}

static uint64_t
slot_of (const struct hs_forward_decision *steer)
{
  g_assert_cmpint (steer->action, ==, HS_FORWARD_TO_AGENTS);
  g_assert_cmpuint (steer->agents_len, ==, 1);
  return steer->agents[0]->report.agent_id;
}

static struct hs_sidecar *
sidecar_create (void *root, struct lost *lost, uint64_t wall)
{
  struct hs_sidecar_ops ops = { on_lost };
  struct hs_addr upstream = addr ("10.0.0.1:8080");

  return hs_sidecar_create (root, ALPHA, &upstream, 1000, wall, &ops, lost);
}

static struct hs_heartbeat
heartbeat_of (enum hs_upstream_state state, uint64_t born, uint64_t seq)
{
  struct hs_heartbeat heartbeat = { .id = "i-1",
                                    .service = ALPHA,
                                    .address = addr ("10.0.0.1:8080"),
                                    .state = state,
                                    .slots = 7,
                                    .started_at = born,
                                    .seq = seq };

  return heartbeat;
}

static void
beat (struct hs_sidecar *sidecar, enum hs_upstream_state state, uint64_t born,
      uint64_t seq, uint64_t now)
{
  struct hs_heartbeat heartbeat = heartbeat_of (state, born, seq);

  g_assert_true (hs_sidecar_handle_heartbeat (sidecar, &heartbeat, now, NULL));
}

static struct hs_sidecar_decision
from_entry (struct hs_sidecar *sidecar, const struct hs_segment *segment,
            bool ask, uint64_t now)
{
  struct hs_addr entry = addr ("10.0.0.9:7000");

  return hs_sidecar_handle_entry_segment (sidecar, segment, &entry,
                                          hs_id_from_name (ALPHA), ask, now);
}

static struct hs_load_report
load_of (const struct hs_sidecar *sidecar)
{
  struct hs_load_report load = { .agent_id = 0 };

  hs_sidecar_fill_load_report (sidecar, &load);
  return load;
}

/* The platform's packets.  */

static void
test_head_example (void)
{
  static const uint8_t syn[HEAD_SIZE]
      = { 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x9c, 0x41, 0x01, 0xbb, 0x64,
          0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00,
          0x40, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00 };
  static const uint8_t reset[HEAD_SIZE]
      = { 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0xbb, 0x9c, 0x41, 0xc6,
          0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00,
          0x04, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00 };
  struct hs_segment segment;
  uint8_t bytes[HS_RESET_SIZE_MAX];
  struct hs_addr caller = addr ("100.64.0.7:40001");
  struct hs_addr service = addr ("198.18.0.1:443");

  g_assert_true (hs_platform_decode_segment (NULL, syn, sizeof syn, &segment));
  g_assert_true (hs_addr_equal (&segment.from, &caller));
  g_assert_true (hs_addr_equal (&segment.to, &service));
  g_assert_cmpuint (segment.flags, ==, HS_SEGMENT_SYN);
  g_assert_cmpuint (segment.seq, ==, 0x11223344);
  g_assert_true (hs_segment_is_syn (&segment));
  g_assert_cmpuint (hs_platform_encode_reset (NULL, &segment, bytes), ==,
                    HEAD_SIZE);
  g_assert_cmpmem (bytes, HEAD_SIZE, reset, HEAD_SIZE);
}

static void
test_head_round_trip (void)
{
  for (unsigned int flags = 0; flags < 32; flags++)
    {
      struct hs_segment segment
          = segment_of (flags, 4711, 0xfedcba98, 0x01020304, 9);
      struct hs_segment copy;
      uint8_t bytes[HEAD_SIZE + 9] = { 0 };

      g_assert_cmpuint (hs_platform_encode_segment (&segment, bytes), ==,
                        HEAD_SIZE);
      g_assert_true (
          hs_platform_decode_segment (NULL, bytes, sizeof bytes, &copy));
      g_assert_cmpuint (copy.flags, ==, flags);
      g_assert_cmpuint (copy.seq, ==, segment.seq);
      g_assert_cmpuint (copy.ack, ==, segment.ack);
      g_assert_cmpuint (copy.payload_len, ==, 9);
      g_assert_true (hs_addr_equal (&copy.from, &segment.from));
      g_assert_true (hs_addr_equal (&copy.to, &segment.to));
      hs_platform_restore_segment (NULL, bytes);
      hs_platform_decode_segment (NULL, bytes, sizeof bytes, &copy);
      g_assert_cmpuint (copy.flags, ==,
                        flags & ~(unsigned int)HS_SEGMENT_RETURNED);
    }
}

static void
test_head_hostile (void)
{
  struct hs_segment segment = segment_of (HS_SEGMENT_ACK, 1, 2, 3, 40);
  struct hs_segment copy;
  uint8_t bytes[HEAD_SIZE + 40] = { 0 };

  hs_platform_encode_segment (&segment, bytes);
  for (size_t len = 0; len < sizeof bytes; len++)
    g_assert_false (hs_platform_decode_segment (NULL, bytes, len, &copy));
  g_assert_true (
      hs_platform_decode_segment (NULL, bytes, sizeof bytes, &copy));
}

/* On an open flow the reset is near what the caller has acknowledged.  */
static void
test_reset_of_open_flow (void)
{
  struct hs_segment segment = segment_of (HS_SEGMENT_ACK, 1, 2, 777, 0);
  struct hs_segment reset;
  uint8_t bytes[HS_RESET_SIZE_MAX];

  hs_platform_encode_reset (NULL, &segment, bytes);
  g_assert_true (hs_platform_decode_segment (NULL, bytes, HEAD_SIZE, &reset));
  g_assert_cmpuint (reset.flags, ==, HS_SEGMENT_RST);
  g_assert_cmpuint (reset.seq, ==, 777);
  g_assert_true (hs_addr_equal (&reset.to, &segment.from));
}

static void
test_heartbeats_decoded (void)
{
  static const char good[]
      = "{\"service\":\"alpha\",\"address\":\"10.0.0.1:8080\",\"zone\":\"a\","
        "\"version\":\"v1\",\"slots\":7,\"state\":\"draining\","
        "\"coldRemainingMs\":12,\"seq\":4,\"born\":1777316675632}";
  static const char *const bad[]
      = { "",
          "[]",
          "{\"service\":\"alpha\"",
          "{\"service\":1,\"address\":\"10.0.0.1:8080\",\"slots\":7,"
          "\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":4}",
          "{\"service\":\"alpha\",\"address\":\"nowhere\",\"slots\":7,"
          "\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":4}",
          "{\"service\":\"alpha\",\"address\":\"10.0.0.1:8080\","
          "\"slots\":\"7\",\"state\":\"ready\",\"coldRemainingMs\":0,"
          "\"seq\":4}",
          "{\"service\":\"alpha\",\"address\":\"10.0.0.1:8080\",\"slots\":7,"
          "\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":-4}",
          "{\"service\":\"alpha\",\"address\":\"10.0.0.1:8080\",\"slots\":7,"
          "\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":4,"
          "\"born\":1.5}" };
  struct hs_heartbeat heartbeat;

  g_assert_true (hs_platform_decode_heartbeat (
      NULL, "i-1", good, strlen (good), &heartbeat, NULL));
  g_assert_cmpint (heartbeat.state, ==, HS_UPSTREAM_DRAINING);
  g_assert_cmpuint (heartbeat.started_at, ==, 1777316675632);
  g_assert_cmpuint (heartbeat.cold_ms, ==, 12);
  g_assert_cmpstr (heartbeat.id, ==, "i-1");
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_autoptr (GError) error = NULL;

      g_assert_false (hs_platform_decode_heartbeat (
          NULL, "i-1", bad[i], strlen (bad[i]), &heartbeat, &error));
      g_assert_error (error, HS_ERROR, HS_ERROR_MALFORMED);
    }
}

static void
test_operations_read (void)
{
  const struct hs_dialect *dialect = hs_platform_dialect ();
  char id[HS_NAME_SIZE];

  g_assert_cmpint (
      dialect->read_operation (NULL, "GET", "/hibiscusspan/ready", id), ==,
      HS_OPERATION_READY);
  g_assert_cmpint (dialect->read_operation (NULL, "POST",
                                            "/hibiscusspan/instances/i-7/"
                                            "heartbeat",
                                            id),
                   ==, HS_OPERATION_HEARTBEAT);
  g_assert_cmpstr (id, ==, "i-7");
  g_assert_cmpint (dialect->read_operation (
                       NULL, "POST", "/hibiscusspan/instances//leave", id),
                   ==, HS_OPERATION_UNKNOWN);
  g_assert_cmpint (dialect->read_operation (
                       NULL, "GET", "/hibiscusspan/instances/i-7/leave", id),
                   ==, HS_OPERATION_UNKNOWN);
}

/* Configurations.  */

static bool
is_valid (const char *json)
{
  void *root = talloc_new (NULL);
  struct hs_configuration *configuration = hs_platform_decode_configuration (
      NULL, root, json, strlen (json), NULL);
  bool valid
      = configuration != NULL && hs_configuration_check (configuration, NULL);

  talloc_free (root);
  return valid;
}

static void
check_replaced (const char *part, const char *by)
{
  const char *at = strstr (json_configuration, part);
  g_autofree char *json = NULL;

  g_assert_nonnull (at);
  json = g_strdup_printf ("%.*s%s%s", (int)(at - json_configuration),
                          json_configuration, by, at + strlen (part));
  g_assert_false (is_valid (json));
}

static void
test_configuration_checked (void)
{
  g_assert_true (is_valid (json_configuration));
  check_replaced ("\"version\":7", "\"version\":\"7\"");
  check_replaced ("\"timeoutMs\":2000", "\"timeoutMs\":0");
  check_replaced ("\"service\":\"alpha\"}", "\"service\":\"gamma\"}");
  check_replaced ("\"service\":\"beta\"", "\"service\":\"gamma\"");
  check_replaced ("\"/8443/\"", "\"/8080/\"");
  check_replaced ("\"/8443/\"", "\"8443\"");
  check_replaced ("\"weight\":90},{\"service\":\"beta\",\"weight\":10}",
                  "\"weight\":0},{\"service\":\"beta\",\"weight\":0}");
  check_replaced ("\"trafficSplit\":[{\"service\":\"alpha\",\"weight\":90},"
                  "{\"service\":\"beta\",\"weight\":10}]",
                  "\"trafficSplit\":[]");
  for (size_t len = 0; len < strlen (json_configuration); len += 7)
    {
      g_autofree char *cut = g_strndup (json_configuration, len);

      g_assert_false (is_valid (cut));
    }
}

static void
test_routes_picked_by_weight (void)
{
  void *root = talloc_new (NULL);
  struct hs_configuration *configuration = hs_platform_decode_configuration (
      NULL, root, json_configuration, strlen (json_configuration), NULL);
  struct hs_routing *routing = hs_routing_create (root, configuration);
  struct hs_addr address = addr ("198.18.0.1:8443");
  const struct hs_routing_rule *rule = hs_routing_find (routing, &address);
  unsigned int beta = 0;

  g_assert_nonnull (rule);
  g_assert_cmpint (rule->request_class, ==, HS_REQUEST_CLASS_IDEMPOTENT);
  g_assert_cmpuint (hs_routing_flow_idle_ms (routing), ==, 12000);
  for (uint64_t i = 0; i < 1000; i++)
    beta += hs_routing_pick_service (rule, hs_rendezvous_score (i, 1))
            == hs_id_from_name (BETA);
  g_assert_cmpuint (beta, >, 60);
  g_assert_cmpuint (beta, <, 140);
  address.port = 1;
  g_assert_null (hs_routing_find (routing, &address));
  talloc_free (root);
}

/* Placing.  */

static void
test_placing_prefers_zone_until_busy (void)
{
  struct entry entry = entry_create (0);
  uint64_t alpha = hs_id_from_name (ALPHA);
  const struct hs_pool_agent *chosen
      = hs_agent_pool_place_flow (entry.fleet, alpha, NULL, 0, 0);
  uint64_t x = hs_id_from_name ("x");
  uint64_t y = hs_id_from_name ("y");

  g_assert_cmpuint (chosen->report.agent_id, ==, x);
  report (&entry, "x", "a", HS_AGENT_READY, 6, 10);
  chosen = hs_agent_pool_place_flow (entry.fleet, alpha, NULL, 0, 10);
  g_assert_cmpuint (chosen->report.agent_id, ==, y);
  chosen = hs_agent_pool_place_flow (entry.fleet, alpha, &y, 1, 10);
  g_assert_cmpuint (chosen->report.agent_id, ==, hs_id_from_name ("z"));
  talloc_free (entry.root);
}

/* What was placed since the last report counts, so that a burst between two
   reports does not all go to one agent.  */
static void
test_placing_spreads_between_reports (void)
{
  struct entry entry = entry_create (0);
  unsigned int most = 0;
  unsigned int counts[3] = { 0 };

  for (unsigned int i = 0; i < 21; i++)
    {
      const struct hs_pool_agent *chosen = hs_agent_pool_place_flow (
          entry.fleet, hs_id_from_name (ALPHA), NULL, 0, 0);
      unsigned int n = chosen->report.agent_id == hs_id_from_name ("x")   ? 0
                       : chosen->report.agent_id == hs_id_from_name ("y") ? 1
                                                                          : 2;

      counts[n]++;
    }
  for (size_t i = 0; i < 3; i++)
    most = counts[i] > most ? counts[i] : most;
  g_assert_cmpuint (most, <=, 11);
  g_assert_cmpuint (counts[2], >, 0);
  talloc_free (entry.root);
}

static void
test_placing_skips_unfit (void)
{
  struct entry entry = entry_create (0);
  uint64_t alpha = hs_id_from_name (ALPHA);

  report (&entry, "x", "a", HS_AGENT_DRAINING, 0, 10);
  report (&entry, "y", "b", HS_AGENT_UPSTREAM_SILENT, 0, 10);
  g_assert_cmpuint (hs_agent_pool_place_flow (entry.fleet, alpha, NULL, 0, 10)
                        ->report.agent_id,
                    ==, hs_id_from_name ("z"));
  g_assert_null (hs_agent_pool_place_flow (entry.fleet, alpha, NULL, 0,
                                           11 + HS_REPORT_TIMEOUT_MS));
  g_assert_null (hs_agent_pool_place_flow (entry.fleet, hs_id_from_name (BETA),
                                           NULL, 0, 10));
  hs_agent_pool_expire (entry.fleet, 11 + HS_POOL_AGENT_EXPIRY_MS);
  g_assert_null (hs_agent_pool_find (entry.fleet, hs_id_from_name ("z")));
  talloc_free (entry.root);
}

/* Agents of the test have the incarnation 1.  */
static void
test_started_since (void)
{
  struct entry entry = entry_create (0);
  struct hs_agent_pool *empty = hs_agent_pool_create (entry.root, "a");
  struct hs_load_report old
      = hs_agent_pool_find (entry.fleet, hs_id_from_name ("y"))->report;

  g_assert_true (hs_agent_pool_all_started_since (entry.fleet, 1));
  g_assert_false (hs_agent_pool_all_started_since (entry.fleet, 2));
  g_assert_false (hs_agent_pool_all_started_since (empty, 0));
  old.incarnation = 0;
  hs_agent_pool_update (entry.fleet, &old, 1);
  g_assert_false (hs_agent_pool_all_started_since (entry.fleet, 1));
  talloc_free (entry.root);
}

static void
test_late_report_passed_over (void)
{
  struct entry entry = entry_create (0);
  struct hs_load_report old
      = hs_agent_pool_find (entry.fleet, hs_id_from_name ("x"))->report;

  report (&entry, "x", "a", HS_AGENT_DRAINING, 0, 10);
  g_assert_false (hs_agent_pool_update (entry.fleet, &old, 20));
  g_assert_cmpint (
      hs_agent_pool_find (entry.fleet, hs_id_from_name ("x"))->report.state,
      ==, HS_AGENT_DRAINING);
  talloc_free (entry.root);
}

/* Steering.  */

static void
test_flow_stays (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_forward_decision steer
      = hs_forwarder_route (entry.steering, &syn, 0);
  uint64_t slot = slot_of (&steer);

  g_assert_true (steer.is_placement);
  syn.ack = 1;
  steer = hs_forwarder_route (entry.steering, &syn, 200);
  g_assert_false (steer.is_placement);
  g_assert_cmpuint (slot_of (&steer), ==, slot);
  /* Whatever becomes of the agent, its flow is not moved.  */
  report (&entry, "x", "a", HS_AGENT_UPSTREAM_SILENT, 9, 210);
  steer = hs_forwarder_route (entry.steering, &data, 220);
  g_assert_cmpuint (slot_of (&steer), ==, slot);
  g_assert_false (steer.owner_only);
  talloc_free (entry.root);
}

static void
test_doubted_syn_goes_elsewhere (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment ack = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 0);
  struct hs_forward_decision steer
      = hs_forwarder_route (entry.steering, &syn, 0);
  uint64_t first = slot_of (&steer);

  syn.ack = 2;
  steer = hs_forwarder_route (entry.steering, &syn, 600);
  g_assert_cmpuint (slot_of (&steer), !=, first);
  /* Only the caller's handshake tells which of the two has the flow.  */
  steer = hs_forwarder_route (entry.steering, &ack, 610);
  g_assert_true (steer.owner_only);
  g_assert_cmpuint (steer.agents_len, ==, 2);
  hs_forwarder_handle_owned (entry.steering,
                             &(struct hs_segment_key){ ack.from, ack.to },
                             first, 620);
  steer = hs_forwarder_route (entry.steering, &ack, 630);
  g_assert_cmpuint (slot_of (&steer), ==, first);
  talloc_free (entry.root);
}

static void
test_refused_syn_goes_elsewhere (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_forward_decision steer
      = hs_forwarder_route (entry.steering, &syn, 0);
  uint64_t slots[3];

  slots[0] = slot_of (&steer);
  steer = hs_forwarder_handle_refused_syn (entry.steering, &syn, slots[0],
                                           HS_REASON_DRAINING, 5);
  slots[1] = slot_of (&steer);
  steer = hs_forwarder_handle_refused_syn (entry.steering, &syn, slots[1],
                                           HS_REASON_SHED, 10);
  slots[2] = slot_of (&steer);
  g_assert_cmpuint (slots[0], !=, slots[1]);
  g_assert_cmpuint (slots[1], !=, slots[2]);
  g_assert_cmpuint (slots[0], !=, slots[2]);
  /* A refusal of an earlier SYN of the same port changes nothing.  */
  syn.seq = 99;
  steer = hs_forwarder_handle_refused_syn (entry.steering, &syn, slots[2],
                                           HS_REASON_SHED, 15);
  g_assert_cmpint (steer.action, ==, HS_FORWARD_DROP);
  talloc_free (entry.root);
}

static void
deny_slot (struct entry *entry, const struct hs_segment *segment,
           uint64_t slot)
{
  struct hs_segment_key key = { segment->from, segment->to };

  hs_forwarder_handle_not_owned (entry->steering, &key, slot, 0);
}

static void
deny (struct entry *entry, const struct hs_segment *segment, const char *name)
{
  deny_slot (entry, segment, hs_id_from_name (name));
}

/* Everyone denies it in the order in which they are asked, but for the last
   of the three agents.  */
static void
deny_two (struct entry *entry, const struct hs_segment *segment)
{
  for (size_t i = 0; entry->done->asked_len < 3; i++)
    {
      g_assert_cmpuint (i, <, entry->done->asked_len);
      deny_slot (entry, segment, entry->done->asked[i]);
    }
  g_assert_cmpuint (entry->done->asked[0], !=, entry->done->asked[2]);
  g_assert_cmpuint (entry->done->asked[1], !=, entry->done->asked[2]);
}

/* The home of the flow is asked first, then the own availability zone, then
   everyone, by questions alone; the segments wait.  */
static void
test_unknown_flow_asked_for (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_segment_key key = { data.from, data.to };
  struct hs_forward_decision steer
      = hs_forwarder_route (entry.steering, &data, 0);
  uint64_t holder;

  g_assert_cmpint (steer.action, ==, HS_FORWARD_QUEUE);
  g_assert_cmpuint (steer.queried_agents, ==, 1);
  g_assert_cmpuint (entry.done->asked_len, ==, 1);
  g_assert_cmpuint (entry.done->asked_by.ack, ==, 501);
  g_assert_cmpuint (entry.done->asked_by.payload_len, ==, 0);
  /* What follows waits, too, and asks nobody.  */
  data.seq += 50;
  steer = hs_forwarder_route (entry.steering, &data, 1);
  g_assert_cmpint (steer.action, ==, HS_FORWARD_QUEUE);
  g_assert_cmpuint (entry.done->asked_len, ==, 1);
  deny_two (&entry, &data);
  holder = entry.done->asked[2];
  g_assert_cmpuint (entry.done->released_len, ==, 0);
  hs_forwarder_handle_owned (entry.steering, &key, holder, 5);
  g_assert_cmpuint (entry.done->released_len, ==, 1);
  g_assert_cmpuint (entry.done->released_to, ==, holder);
  g_assert_false (entry.done->released_if_held);
  /* The home is told of what it did not know.  */
  g_assert_cmpuint (entry.done->noted_len, ==, 1);
  g_assert_cmpuint (entry.done->noted_at, ==, entry.done->asked[0]);
  g_assert_cmpuint (entry.done->noted_holder, ==, holder);
  steer = hs_forwarder_route (entry.steering, &data, 10);
  g_assert_cmpuint (slot_of (&steer), ==, holder);
  /* The holder is known: late denials of others change nothing.  */
  deny_slot (&entry, &data, entry.done->asked[0]);
  deny_slot (&entry, &data, entry.done->asked[1]);
  g_assert_cmpuint (entry.reset->len, ==, 0);
  steer = hs_forwarder_route (entry.steering, &data, 11);
  g_assert_cmpuint (slot_of (&steer), ==, holder);
  talloc_free (entry.root);
}

/* A question or an answer is lost: those that have not answered are asked
   again, a few times, and once more when the caller goes on.  */
static void
test_flow_asked_for_again (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);

  hs_forwarder_route (entry.steering, &data, 0);
  hs_forwarder_tick (entry.steering, 49);
  g_assert_cmpuint (entry.done->asked_len, ==, 1);
  hs_forwarder_tick (entry.steering, 50);
  g_assert_cmpuint (entry.done->asked_len, ==, 2);
  g_assert_cmpuint (entry.done->asked[1], ==, hs_id_from_name ("x"));
  hs_forwarder_tick (entry.steering, 149);
  g_assert_cmpuint (entry.done->asked_len, ==, 2);
  hs_forwarder_tick (entry.steering, 150);
  g_assert_cmpuint (entry.done->asked_len, ==, 5);
  deny (&entry, &data, "y");
  for (uint64_t now = 160; now < 10000; now += 10)
    hs_forwarder_tick (entry.steering, now);
  g_assert_cmpuint (entry.done->asked_len, ==, 9);
  g_assert_cmpuint (
      hs_forwarder_route (entry.steering, &data, 10000).queried_agents, ==, 1);
  talloc_free (entry.root);
}

/* After a loss of power all flows are asked for at once, of agents that have
   none of them: the questions take a part of the link, and no more.  */
static void
test_questions_bounded (void)
{
  struct entry entry = entry_create (0);
  char name[HS_NAME_SIZE];

  for (int i = 0; i < 40; i++)
    {
      snprintf (name, sizeof name, "m%d", i);
      report (&entry, name, "a", HS_AGENT_READY, 0, 0);
    }
  for (uint64_t now = 0; now < 1000; now += 10)
    {
      struct hs_segment data
          = segment_of (HS_SEGMENT_ACK, (uint16_t)(1 + now), 101, 501, 50);

      hs_forwarder_route (entry.steering, &data, now);
      hs_forwarder_tick (entry.steering, now);
    }
  /* 8 Mbit/s take 1,250 questions of 80 bytes in a tenth.  */
  g_assert_cmpuint (entry.done->asked_len, <, 256 + 1250 + 43);
  g_assert_cmpuint (entry.done->asked_len, >, 1000);
  talloc_free (entry.root);
}

/* Flows that stay are noted at their homes, where another entry asks.  */
static void
test_flows_noted_at_home (void)
{
  struct entry entry = entry_create (0);
  uint64_t x = hs_id_from_name ("x");
  size_t noted = 0;

  for (uint16_t port = 1; port <= 20; port++)
    {
      struct entry other = entry_create (0);
      struct hs_segment syn = segment_of (HS_SEGMENT_SYN, port, 100, 0, 0);
      struct hs_segment data = segment_of (HS_SEGMENT_ACK, port, 101, 501, 50);
      struct hs_segment_key key = { data.from, data.to };

      report (&entry, "x", "a", HS_AGENT_READY, 0, 0);
      hs_forwarder_route (entry.steering, &syn, 0);
      hs_forwarder_route (entry.steering, &data, 499);
      g_assert_cmpuint (entry.done->noted_len, ==, noted);
      hs_forwarder_route (entry.steering, &data, 500);
      hs_forwarder_route (entry.steering, &data, 501);
      hs_forwarder_route (other.steering, &data, 600);
      if (other.done->asked[0] != x)
        {
          noted++;
          g_assert_cmpuint (entry.done->noted_at, ==, other.done->asked[0]);
          g_assert_cmpuint (entry.done->noted_holder, ==, x);
        }
      g_assert_cmpuint (entry.done->noted_len, ==, noted);
      /* The one that is said to hold it gets the segments, and says so.  */
      hs_forwarder_handle_recorded (other.steering, &key, x, 601);
      g_assert_cmpuint (other.done->released_len, ==, 1);
      g_assert_cmpuint (other.done->released_to, ==, x);
      g_assert_true (other.done->released_if_held);
      hs_forwarder_handle_owned (other.steering, &key, x, 602);
      g_assert_cmpuint (other.done->released_len, ==, 2);
      g_assert_cmpuint (other.done->asked_len, ==, 1);
      g_assert_cmpuint (other.done->noted_len, ==, 0);
      talloc_free (other.root);
    }
  g_assert_cmpuint (noted, >, 5);
  talloc_free (entry.root);
}

/* A note that is out of date costs a question more.  */
static void
test_wrong_note (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_segment_key key = { data.from, data.to };

  hs_forwarder_route (entry.steering, &data, 0);
  hs_forwarder_handle_recorded (entry.steering, &key, hs_id_from_name ("y"),
                                1);
  g_assert_cmpuint (entry.done->released_len, ==, 1);
  hs_forwarder_handle_recorded (entry.steering, &key, hs_id_from_name ("y"),
                                1);
  g_assert_cmpuint (entry.done->released_len, ==, 1);
  g_assert_cmpuint (entry.done->asked_len, ==, 1);
  deny (&entry, &data, "y");
  g_assert_cmpuint (entry.done->asked_len, >, 1);
  talloc_free (entry.root);
}

static void
test_notes (void)
{
  void *root = talloc_new (NULL);
  struct hs_directory *notes = hs_directory_create (root);
  struct hs_segment_key key
      = { addr ("100.64.0.7:1"), addr ("198.18.0.1:80") };

  g_assert_cmpuint (hs_directory_find (notes, &key), ==, 0);
  hs_directory_put (notes, &key, 5, 0);
  hs_directory_put (notes, &key, 6, 1000);
  g_assert_cmpuint (hs_directory_find (notes, &key), ==, 6);
  key.caller.port = 2;
  g_assert_cmpuint (hs_directory_find (notes, &key), ==, 0);
  key.caller.port = 1;
  hs_directory_expire (notes, 76000);
  g_assert_cmpuint (hs_directory_find (notes, &key), ==, 6);
  hs_directory_expire (notes, 76001);
  g_assert_cmpuint (hs_directory_find (notes, &key), ==, 0);
  talloc_free (root);
}

/* An agent that has restarted beside its upstream gets the segments, which
   alone tell, and they stay for the one that holds the flow.  */
static void
test_unsure_agent_gets_segments (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_segment_key key = { data.from, data.to };

  hs_forwarder_handle_unknown (entry.steering, &key, hs_id_from_name ("x"), 0);
  g_assert_cmpuint (entry.done->released_len, ==, 0);
  hs_forwarder_route (entry.steering, &data, 0);
  hs_forwarder_handle_unknown (entry.steering, &key, hs_id_from_name ("x"), 0);
  g_assert_cmpuint (entry.done->released_len, ==, 1);
  g_assert_cmpuint (entry.done->released_to, ==, hs_id_from_name ("x"));
  g_assert_true (entry.done->released_if_held);
  g_assert_cmpuint (entry.done->asked_len, >, 1);
  g_assert_cmpint (hs_forwarder_route (entry.steering, &data, 1).action, ==,
                   HS_FORWARD_QUEUE);
  hs_forwarder_handle_owned (entry.steering, &key, hs_id_from_name ("y"), 5);
  g_assert_cmpuint (entry.done->released_len, ==, 2);
  g_assert_false (entry.done->released_if_held);
  talloc_free (entry.root);
}

/* A link that is nearly full takes no uploads, and then no flows of low
   priority; it is free again once it has drained.  */
static void
test_full_link_refuses (void)
{
  void *root = talloc_new (NULL);
  struct hs_uplink *link = hs_uplink_create (root, 8);
  struct hs_uplink *boundless = hs_uplink_create (root, 0);

  for (int i = 0; i < 60; i++)
    {
      g_assert_false (
          hs_uplink_refuses_flow (link, HS_REQUEST_CLASS_IDEMPOTENT, 2, 100));
      hs_uplink_count (link, HS_UPLINK_OUT, 1172, 100);
      hs_uplink_count (boundless, HS_UPLINK_OUT, 1172, 100);
    }
  /* 72,000 bytes at 750 a ms.  */
  g_assert_cmpuint (hs_uplink_queue_ms (link, 100), ==, 96);
  g_assert_true (
      hs_uplink_refuses_flow (link, HS_REQUEST_CLASS_UPLOAD, 0, 100));
  g_assert_false (
      hs_uplink_refuses_flow (boundless, HS_REQUEST_CLASS_UPLOAD, 2, 100));
  for (int i = 0; i < 60; i++)
    hs_uplink_count (link, HS_UPLINK_OUT, 1172, 100);
  g_assert_true (
      hs_uplink_refuses_flow (link, HS_REQUEST_CLASS_IDEMPOTENT, 2, 100));
  g_assert_false (
      hs_uplink_refuses_flow (link, HS_REQUEST_CLASS_ONCE, 1, 100));
  g_assert_false (
      hs_uplink_refuses_flow (link, HS_REQUEST_CLASS_IDEMPOTENT, 2, 150));
  g_assert_true (
      hs_uplink_refuses_flow (link, HS_REQUEST_CLASS_UPLOAD, 2, 150));
  g_assert_false (
      hs_uplink_refuses_flow (link, HS_REQUEST_CLASS_UPLOAD, 2, 250));
  talloc_free (root);
}

static void
test_syn_refused_by_link (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_forward_decision steer;

  for (int i = 0; i < 120; i++)
    hs_uplink_count (entry.link, HS_UPLINK_IN, 1172, 0);
  syn.to.port = 8443;
  steer = hs_forwarder_route (entry.steering, &syn, 0);
  g_assert_cmpint (steer.action, ==, HS_FORWARD_RESET);
  g_assert_cmpint (steer.reason, ==, HS_REASON_OVERLOADED);
  g_assert_cmpuint (steer.uplink_queue_ms, ==, 192);
  syn.to.port = 8080;
  g_assert_cmpint (hs_forwarder_route (entry.steering, &syn, 0).action, ==,
                   HS_FORWARD_TO_AGENTS);
  talloc_free (entry.root);
}

/* An agent denies a flow that this entry held to be there.  */
static void
test_wrong_holder_is_looked_for (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_forward_decision steer
      = hs_forwarder_route (entry.steering, &syn, 0);

  g_assert_cmpuint (slot_of (&steer), ==, hs_id_from_name ("x"));
  steer = hs_forwarder_route (entry.steering, &data, 5);
  g_assert_cmpuint (slot_of (&steer), ==, hs_id_from_name ("x"));
  deny (&entry, &data, "x");
  g_assert_cmpuint (entry.reset->len, ==, 0);
  steer = hs_forwarder_route (entry.steering, &data, 10);
  g_assert_cmpint (steer.action, ==, HS_FORWARD_QUEUE);
  g_assert_cmpuint (steer.queried_agents, ==, 1);
  deny_two (&entry, &data);
  talloc_free (entry.root);
}

static void
test_flow_that_nobody_holds_is_reset (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);

  hs_forwarder_route (entry.steering, &data, 0);
  deny (&entry, &data, "x");
  deny (&entry, &data, "y");
  g_assert_cmpuint (entry.reset->len, ==, 0);
  deny (&entry, &data, "z");
  g_assert_cmpuint (entry.reset->len, ==, 1);
  g_assert_cmpuint (entry.reset->last.ack, ==, 501);
  g_assert_true (hs_addr_equal (&entry.reset->last.from, &data.from));
  /* For a while nobody is asked again; then it takes all of them.  */
  g_assert_cmpint (hs_forwarder_route (entry.steering, &data, 1499).action, ==,
                   HS_FORWARD_RESET);
  g_assert_cmpint (hs_forwarder_route (entry.steering, &data, 1500).action, ==,
                   HS_FORWARD_QUEUE);
  deny (&entry, &data, "z");
  g_assert_cmpuint (entry.reset->len, ==, 1);
  talloc_free (entry.root);
}

/* A service of many agents: each is asked, and once all have denied the flow
   it is reset.  */
static void
test_many_agents_asked (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_forward_decision steer;
  char name[HS_NAME_SIZE];

  for (int i = 0; i < 200; i++)
    {
      snprintf (name, sizeof name, "m%d", i);
      report (&entry, name, "a", HS_AGENT_READY, 0, 0);
    }
  steer = hs_forwarder_route (entry.steering, &data, 0);
  g_assert_cmpuint (steer.queried_agents, ==, 1);
  deny_slot (&entry, &data, entry.done->asked[0]);
  deny (&entry, &data, "x");
  for (int i = 0; i < 200; i++)
    {
      g_assert_cmpuint (entry.reset->len, ==, 0);
      snprintf (name, sizeof name, "m%d", i);
      deny (&entry, &data, name);
    }
  g_assert_cmpuint (entry.done->asked_len, >=, 203);
  deny (&entry, &data, "y");
  g_assert_cmpuint (entry.reset->len, ==, 0);
  deny (&entry, &data, "z");
  g_assert_cmpuint (entry.reset->len, ==, 1);
  talloc_free (entry.root);
}

/* An agent whose upstream is gone for good is not waited for.  */
static void
test_vacant_agent_not_asked (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_load_report load
      = hs_agent_pool_find (entry.fleet, hs_id_from_name ("z"))->report;

  load.state = HS_AGENT_UPSTREAM_SILENT;
  load.no_upstream = true;
  load.seq++;
  hs_agent_pool_update (entry.fleet, &load, 1);
  hs_forwarder_route (entry.steering, &data, 2);
  deny (&entry, &data, "x");
  g_assert_cmpuint (entry.reset->len, ==, 0);
  deny (&entry, &data, "y");
  for (size_t i = 0; i < entry.done->asked_len; i++)
    g_assert_cmpuint (entry.done->asked[i], !=, hs_id_from_name ("z"));
  g_assert_cmpuint (entry.reset->len, ==, 1);
  talloc_free (entry.root);
}

/* One that never heard of its upstream and went silent, neither.  */
static void
test_silent_agent_without_upstream_not_asked (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);

  report (&entry, "z", "b", HS_AGENT_UPSTREAM_SILENT, 0, 1);
  hs_forwarder_route (entry.steering, &data, 2);
  hs_forwarder_tick (entry.steering, 52);
  hs_forwarder_tick (entry.steering, 152);
  g_assert_cmpuint (entry.done->asked_len, ==, 1 + 1 + 3);
  report (&entry, "x", "a", HS_AGENT_READY, 0, 900);
  hs_forwarder_tick (entry.steering, 900);
  g_assert_cmpuint (entry.done->asked_len, ==, 1 + 1 + 3 + 2);
  talloc_free (entry.root);
}

/* An entry that may not know of every agent resets nothing until it does. */
static void
test_incomplete_fleet_resets_later (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_segment other = segment_of (HS_SEGMENT_ACK, 10, 101, 501, 50);

  hs_forwarder_set_pool_complete (entry.steering, false, 0);
  hs_forwarder_route (entry.steering, &data, 0);
  hs_forwarder_route (entry.steering, &other, 0);
  deny (&entry, &data, "x");
  deny (&entry, &data, "y");
  deny (&entry, &data, "z");
  deny (&entry, &other, "x");
  deny (&entry, &other, "y");
  g_assert_cmpuint (entry.reset->len, ==, 0);
  hs_forwarder_set_pool_complete (entry.steering, true, 0);
  g_assert_cmpuint (entry.reset->len, ==, 1);
  g_assert_true (hs_addr_equal (&entry.reset->last.from, &data.from));
  talloc_free (entry.root);
}

static void
test_no_route (void)
{
  struct entry entry = entry_create (0);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);

  syn.to.port = 1;
  g_assert_cmpint (hs_forwarder_route (entry.steering, &syn, 0).action, ==,
                   HS_FORWARD_RESET);
  hs_forwarder_set_routing (entry.steering, NULL);
  g_assert_cmpint (hs_forwarder_route (entry.steering, &syn, 0).action, ==,
                   HS_FORWARD_DROP);
  talloc_free (entry.root);
}

/* The sidecar.  */

static void
test_draining_refuses_from_the_ack_on (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment open
      = answer_to (&syn, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 500, 0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_sidecar_decision step = from_entry (sidecar, &syn, false, 0);

  g_assert_cmpint (step.action, ==, HS_SIDECAR_REFUSE);
  g_assert_cmpint (step.reason, ==, HS_REASON_NO_UPSTREAM);
  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  g_assert_cmpint (from_entry (sidecar, &syn, false, 0).action, ==,
                   HS_SIDECAR_TO_UPSTREAM);
  g_assert_cmpint (
      hs_sidecar_handle_upstream_segment (sidecar, &open, 1).action, ==,
      HS_SIDECAR_TO_CALLER);
  beat (sidecar, HS_UPSTREAM_DRAINING, 2000, 2, 2);
  syn.from.port = 10;
  step = from_entry (sidecar, &syn, false, 2);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_REFUSE);
  g_assert_cmpint (step.reason, ==, HS_REASON_DRAINING);
  /* A report that was held up on its way does not bring it back.  */
  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 3);
  beat (sidecar, HS_UPSTREAM_READY, 1999, 9, 3);
  g_assert_cmpint (from_entry (sidecar, &syn, false, 3).action, ==,
                   HS_SIDECAR_REFUSE);
  /* Its open flows go on.  */
  g_assert_cmpint (from_entry (sidecar, &data, false, 4).action, ==,
                   HS_SIDECAR_TO_UPSTREAM);
  g_assert_cmpuint (load_of (sidecar).requests_in_progress, ==, 1);
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_DRAINING);
  talloc_free (root);
}

static void
test_other_writers_refused (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_heartbeat heartbeat = heartbeat_of (HS_UPSTREAM_READY, 2000, 1);

  g_strlcpy (heartbeat.service, BETA, sizeof heartbeat.service);
  g_assert_false (hs_sidecar_handle_heartbeat (sidecar, &heartbeat, 0, NULL));
  heartbeat = heartbeat_of (HS_UPSTREAM_UNKNOWN, 2000, 1);
  g_assert_false (hs_sidecar_handle_heartbeat (sidecar, &heartbeat, 0, NULL));
  heartbeat = heartbeat_of (HS_UPSTREAM_READY, 2000, 1);
  heartbeat.address.port = 1;
  g_assert_false (hs_sidecar_handle_heartbeat (sidecar, &heartbeat, 0, NULL));
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_UPSTREAM_SILENT);
  talloc_free (root);
}

static void
test_wrong_service_refused (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_addr entry = addr ("10.0.0.9:7000");
  struct hs_sidecar_decision step;

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  step = hs_sidecar_handle_entry_segment (sidecar, &syn, &entry,
                                          hs_id_from_name (BETA), false, 0);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_REFUSE);
  g_assert_cmpint (step.reason, ==, HS_REASON_WRONG_SERVICE);
  talloc_free (root);
}

static void
test_returned_syn_goes_back (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_addr entry = addr ("10.0.0.9:7000");
  struct hs_sidecar_decision step;

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  from_entry (sidecar, &syn, false, 0);
  syn.flags |= HS_SEGMENT_RETURNED;
  step = hs_sidecar_handle_upstream_segment (sidecar, &syn, 1);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_REFUSE);
  g_assert_true (hs_addr_equal (&step.entry, &entry));
  talloc_free (root);
}

/* The host of an upstream that has crashed gives back its SYNs; idle as it
   looks, it would be offered each new flow until its heartbeats are missed. */
static void
test_crashed_upstream_absent (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment open
      = answer_to (&syn, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 500, 0);
  struct hs_segment back = syn;
  struct hs_sidecar_decision step;

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  from_entry (sidecar, &syn, false, 0);
  back.flags |= HS_SEGMENT_RETURNED;
  step = hs_sidecar_handle_upstream_segment (sidecar, &back, 1);
  g_assert_cmpint (step.reason, ==, HS_REASON_SHED);
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_UPSTREAM_SILENT);
  step = from_entry (sidecar, &syn, false, 2);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_REFUSE);
  g_assert_cmpint (step.reason, ==, HS_REASON_NO_UPSTREAM);
  /* It is back.  */
  beat (sidecar, HS_UPSTREAM_READY, 3000, 1, 100);
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_READY);
  /* One that is only full for a moment answers other flows.  */
  from_entry (sidecar, &syn, false, 101);
  hs_sidecar_handle_upstream_segment (sidecar, &back, 102);
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_UPSTREAM_SILENT);
  hs_sidecar_handle_upstream_segment (sidecar, &open, 103);
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_READY);
  talloc_free (root);
}

/* An agent that starts beside an upstream that was there before.  */
static void
test_flows_learned_after_a_restart (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 5000);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_segment answer = answer_to (&data, HS_SEGMENT_ACK, 501, 0);
  struct hs_segment other = segment_of (HS_SEGMENT_ACK, 10, 101, 501, 50);
  struct hs_sidecar_decision step;

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  step = from_entry (sidecar, &data, true, 1);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_TO_UPSTREAM);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NONE);
  step = hs_sidecar_handle_upstream_segment (sidecar, &answer, 2);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_TO_CALLER);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_OWNED);
  g_assert_cmpint (from_entry (sidecar, &data, true, 3).lookup_answer, ==,
                   HS_LOOKUP_OWNED);
  from_entry (sidecar, &other, true, 4);
  other.flags |= HS_SEGMENT_RETURNED;
  step = hs_sidecar_handle_upstream_segment (sidecar, &other, 5);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_DROP);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NOT_OWNED);
  talloc_free (root);
}

/* A host that gets its power back starts both at once: the upstream cannot
   have a flow that this agent has not seen.  */
static void
test_started_together (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 5000);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);

  g_assert_cmpint (hs_sidecar_lookup (sidecar, &data, 0), ==,
                   HS_LOOKUP_UNKNOWN);
  beat (sidecar, HS_UPSTREAM_READY, 4880, 1, 0);
  g_assert_cmpint (hs_sidecar_lookup (sidecar, &data, 1), ==,
                   HS_LOOKUP_NOT_OWNED);
  g_assert_cmpint (from_entry (sidecar, &data, true, 1).lookup_answer, ==,
                   HS_LOOKUP_NOT_OWNED);
  talloc_free (root);
}

/* An upstream that is just starting may reset what it does not know.  */
static void
test_reset_of_probed_upstream_kept (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 5000);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_segment reset = answer_to (&data, HS_SEGMENT_RST, 0, 0);
  struct hs_sidecar_decision step;

  from_entry (sidecar, &data, true, 1);
  step = hs_sidecar_handle_upstream_segment (sidecar, &reset, 2);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_DROP);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NOT_OWNED);
  step = from_entry (sidecar, &data, true, 3);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_DROP);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NOT_OWNED);
  talloc_free (root);
}

/* An agent that knows all flows of its upstream denies the others at once. */
static void
test_unknown_flow_denied (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_sidecar_decision step;

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  step = from_entry (sidecar, &data, true, 1);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_DROP);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NOT_OWNED);
  /* An entry that placed the flow here is believed.  */
  g_assert_cmpint (from_entry (sidecar, &data, false, 1).action, ==,
                   HS_SIDECAR_TO_UPSTREAM);
  talloc_free (root);
}

/* A question is answered by what is known, and changes nothing.  */
static void
test_questions_answered (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 5000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment open
      = answer_to (&syn, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 500, 0);
  struct hs_segment asked = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 0);
  struct hs_segment other = segment_of (HS_SEGMENT_ACK, 10, 101, 501, 0);

  /* An upstream that was there before the agent may hold any flow.  */
  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  g_assert_cmpint (hs_sidecar_lookup (sidecar, &other, 1), ==,
                   HS_LOOKUP_UNKNOWN);
  other.flags |= HS_SEGMENT_RETURNED;
  from_entry (sidecar, &other, true, 1);
  hs_sidecar_handle_upstream_segment (sidecar, &other, 2);
  other.flags = HS_SEGMENT_ACK;
  g_assert_cmpint (hs_sidecar_lookup (sidecar, &other, 3), ==,
                   HS_LOOKUP_NOT_OWNED);
  from_entry (sidecar, &syn, false, 4);
  g_assert_cmpint (hs_sidecar_lookup (sidecar, &asked, 5), ==,
                   HS_LOOKUP_UNKNOWN);
  hs_sidecar_handle_upstream_segment (sidecar, &open, 6);
  g_assert_cmpint (hs_sidecar_lookup (sidecar, &asked, 7), ==,
                   HS_LOOKUP_UNKNOWN);
  from_entry (sidecar, &asked, false, 8);
  g_assert_cmpint (hs_sidecar_lookup (sidecar, &asked, 9), ==,
                   HS_LOOKUP_OWNED);
  asked.ack = 0x90000000;
  g_assert_cmpint (hs_sidecar_lookup (sidecar, &asked, 9), ==,
                   HS_LOOKUP_NOT_OWNED);
  /* All flows of an upstream that has started anew are known.  */
  beat (sidecar, HS_UPSTREAM_READY, 6000, 1, 10);
  asked.from.port = 11;
  g_assert_cmpint (hs_sidecar_lookup (sidecar, &asked, 11), ==,
                   HS_LOOKUP_NOT_OWNED);
  talloc_free (root);
}

/* The upstream beside this agent has ended with its host's power.  */
static void
test_denied_without_upstream (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 5000);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_sidecar_decision step;

  hs_sidecar_tick (sidecar, 100);
  step = from_entry (sidecar, &data, true, 200);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NONE);
  hs_sidecar_tick (sidecar, 2200);
  step = from_entry (sidecar, &data, true, 2200);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NOT_OWNED);
  data.from.port = 10;
  step = from_entry (sidecar, &data, true, 2200);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NOT_OWNED);
  /* One that was there before speaks up after all.  */
  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 2300);
  data.from.port = 11;
  step = from_entry (sidecar, &data, true, 2300);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_TO_UPSTREAM);
  talloc_free (root);
}

/* Where nothing listens, the host resets whatever comes.  */
static void
test_vacant_after_resets (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 5000);

  for (uint16_t port = 1; port <= 3; port++)
    {
      struct hs_segment data = segment_of (HS_SEGMENT_ACK, port, 101, 501, 50);
      struct hs_segment reset = answer_to (&data, HS_SEGMENT_RST, 0, 0);

      g_assert_false (load_of (sidecar).no_upstream);
      from_entry (sidecar, &data, true, port);
      hs_sidecar_handle_upstream_segment (sidecar, &reset, port);
    }
  g_assert_true (load_of (sidecar).no_upstream);
  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 10);
  g_assert_false (load_of (sidecar).no_upstream);
  hs_sidecar_handle_upstream_leave (sidecar, "i-1");
  g_assert_true (load_of (sidecar).no_upstream);
  talloc_free (root);
}

/* Two upstreams answered copies of one SYN: the caller took the other's.  */
static void
test_other_handshake_denied (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment open
      = answer_to (&syn, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 500, 0);
  struct hs_segment mine = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 0);
  struct hs_segment others
      = segment_of (HS_SEGMENT_ACK, 9, 101, 0x90000000, 0);

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  from_entry (sidecar, &syn, false, 0);
  hs_sidecar_handle_upstream_segment (sidecar, &open, 1);
  g_assert_cmpint (from_entry (sidecar, &others, true, 2).lookup_answer, ==,
                   HS_LOOKUP_NOT_OWNED);
  g_assert_cmpint (from_entry (sidecar, &mine, true, 2).lookup_answer, ==,
                   HS_LOOKUP_OWNED);
  talloc_free (root);
}

/* A SYN that a frozen entry had kept was offered here as well, and answered;
   the caller had long taken the handshake of another upstream.  */
static void
test_answered_flow_is_not_open (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment open
      = answer_to (&syn, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 500, 0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 0x90000000, 50);
  struct hs_segment first = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 0);
  struct hs_sidecar_decision step;

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  from_entry (sidecar, &syn, false, 0);
  hs_sidecar_handle_upstream_segment (sidecar, &open, 1);
  g_assert_cmpuint (load_of (sidecar).open_flows, ==, 0);
  /* The entry that kept it holds this to be the holder.  */
  step = from_entry (sidecar, &data, false, 2);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_DROP);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NOT_OWNED);
  /* Given back by the upstream it is no reason for a reset.  */
  data.flags |= HS_SEGMENT_RETURNED;
  step = hs_sidecar_handle_upstream_segment (sidecar, &data, 3);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_DROP);
  /* With the end of the handshake the flow is open.  */
  syn.from.port = first.from.port = 10;
  open = answer_to (&syn, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 500, 0);
  from_entry (sidecar, &syn, false, 4);
  hs_sidecar_handle_upstream_segment (sidecar, &open, 5);
  from_entry (sidecar, &first, false, 6);
  g_assert_cmpuint (load_of (sidecar).open_flows, ==, 1);
  first.flags |= HS_SEGMENT_RETURNED;
  g_assert_cmpint (
      hs_sidecar_handle_upstream_segment (sidecar, &first, 7).action, ==,
      HS_SIDECAR_RESET);
  talloc_free (root);
}

/* What comes after the end of a flow goes to the upstream, and does not count
   as a flow; what it gives back is denied.  */
static void
test_late_segments (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment ack = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 0);
  struct hs_segment answer = answer_to (&ack, HS_SEGMENT_ACK, 501, 0);
  struct hs_sidecar_decision step;

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  g_assert_cmpint (from_entry (sidecar, &ack, false, 1).action, ==,
                   HS_SIDECAR_TO_UPSTREAM);
  hs_sidecar_handle_upstream_segment (sidecar, &answer, 2);
  g_assert_cmpuint (load_of (sidecar).open_flows, ==, 0);
  ack.flags |= HS_SEGMENT_RETURNED;
  step = hs_sidecar_handle_upstream_segment (sidecar, &ack, 3);
  g_assert_cmpint (step.action, ==, HS_SIDECAR_DROP);
  g_assert_cmpint (step.lookup_answer, ==, HS_LOOKUP_NOT_OWNED);
  talloc_free (root);
}

static void
test_new_start_loses_flows (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment open
      = answer_to (&syn, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 500, 0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  from_entry (sidecar, &syn, false, 0);
  hs_sidecar_handle_upstream_segment (sidecar, &open, 1);
  from_entry (sidecar, &data, false, 2);
  g_assert_cmpuint (load_of (sidecar).open_flows, ==, 1);
  beat (sidecar, HS_UPSTREAM_READY, 3000, 1, 5);
  g_assert_cmpuint (lost.len, ==, 1);
  g_assert_cmpuint (lost.last.ack, ==, 501);
  g_assert_cmpuint (load_of (sidecar).open_flows, ==, 0);
  g_assert_cmpuint (load_of (sidecar).requests_in_progress, ==, 0);
  talloc_free (root);
}

static void
test_requests_counted (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);
  struct hs_segment open
      = answer_to (&syn, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 500, 0);
  struct hs_segment data = segment_of (HS_SEGMENT_ACK, 9, 101, 501, 50);
  struct hs_segment body = answer_to (&data, HS_SEGMENT_ACK, 501, 900);
  struct hs_segment fin
      = segment_of (HS_SEGMENT_FIN | HS_SEGMENT_ACK, 9, 151, 1401, 0);
  struct hs_segment fin_back
      = answer_to (&fin, HS_SEGMENT_FIN | HS_SEGMENT_ACK, 1401, 0);

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  from_entry (sidecar, &syn, false, 0);
  hs_sidecar_handle_upstream_segment (sidecar, &open, 1);
  from_entry (sidecar, &data, false, 2);
  from_entry (sidecar, &data, false, 3);
  g_assert_cmpuint (load_of (sidecar).requests_in_progress, ==, 1);
  hs_sidecar_handle_upstream_segment (sidecar, &body, 60);
  g_assert_cmpuint (load_of (sidecar).requests_in_progress, ==, 0);
  g_assert_cmpuint (load_of (sidecar).open_flows, ==, 1);
  from_entry (sidecar, &fin, false, 61);
  hs_sidecar_handle_upstream_segment (sidecar, &fin_back, 62);
  g_assert_cmpuint (load_of (sidecar).open_flows, ==, 0);
  talloc_free (root);
}

static void
test_silent_upstream_absent (void)
{
  void *root = talloc_new (NULL);
  struct lost lost = { 0 };
  struct hs_sidecar *sidecar = sidecar_create (root, &lost, 1000);
  struct hs_segment syn = segment_of (HS_SEGMENT_SYN, 9, 100, 0, 0);

  beat (sidecar, HS_UPSTREAM_READY, 2000, 1, 0);
  hs_sidecar_tick (sidecar, 2900);
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_READY);
  hs_sidecar_tick (sidecar, 3100);
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_UPSTREAM_SILENT);
  beat (sidecar, HS_UPSTREAM_READY, 2000, 2, 4000);
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_READY);
  /* A SYN that nothing answers tells sooner.  */
  from_entry (sidecar, &syn, false, 4000);
  hs_sidecar_tick (sidecar, 4200);
  g_assert_cmpint (load_of (sidecar).state, ==, HS_AGENT_UPSTREAM_SILENT);
  talloc_free (root);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/segment/head-example", test_head_example);
  g_test_add_func ("/segment/head-round-trip", test_head_round_trip);
  g_test_add_func ("/segment/head-hostile", test_head_hostile);
  g_test_add_func ("/segment/reset-of-open-flow", test_reset_of_open_flow);
  g_test_add_func ("/segment/heartbeats-decoded", test_heartbeats_decoded);
  g_test_add_func ("/segment/operations-read", test_operations_read);
  g_test_add_func ("/segment/configuration-checked",
                   test_configuration_checked);
  g_test_add_func ("/segment/routes-by-weight", test_routes_picked_by_weight);
  g_test_add_func ("/segment/placing-zone",
                   test_placing_prefers_zone_until_busy);
  g_test_add_func ("/segment/placing-spreads",
                   test_placing_spreads_between_reports);
  g_test_add_func ("/segment/placing-unfit", test_placing_skips_unfit);
  g_test_add_func ("/segment/started-since", test_started_since);
  g_test_add_func ("/segment/late-report", test_late_report_passed_over);
  g_test_add_func ("/segment/flow-stays", test_flow_stays);
  g_test_add_func ("/segment/doubted-syn", test_doubted_syn_goes_elsewhere);
  g_test_add_func ("/segment/refused-syn", test_refused_syn_goes_elsewhere);
  g_test_add_func ("/segment/unknown-flow", test_unknown_flow_asked_for);
  g_test_add_func ("/segment/asked-again", test_flow_asked_for_again);
  g_test_add_func ("/segment/questions-bounded", test_questions_bounded);
  g_test_add_func ("/segment/noted-at-home", test_flows_noted_at_home);
  g_test_add_func ("/segment/wrong-note", test_wrong_note);
  g_test_add_func ("/segment/notes", test_notes);
  g_test_add_func ("/segment/full-link", test_full_link_refuses);
  g_test_add_func ("/segment/syn-refused-by-link", test_syn_refused_by_link);
  g_test_add_func ("/segment/unsure-agent", test_unsure_agent_gets_segments);
  g_test_add_func ("/segment/questions-answered", test_questions_answered);
  g_test_add_func ("/segment/wrong-holder", test_wrong_holder_is_looked_for);
  g_test_add_func ("/segment/nobody-holds",
                   test_flow_that_nobody_holds_is_reset);
  g_test_add_func ("/segment/incomplete-fleet",
                   test_incomplete_fleet_resets_later);
  g_test_add_func ("/segment/many-agents-asked", test_many_agents_asked);
  g_test_add_func ("/segment/vacant-not-asked", test_vacant_agent_not_asked);
  g_test_add_func ("/segment/silent-not-asked",
                   test_silent_agent_without_upstream_not_asked);
  g_test_add_func ("/segment/no-route", test_no_route);
  g_test_add_func ("/segment/draining", test_draining_refuses_from_the_ack_on);
  g_test_add_func ("/segment/other-writers", test_other_writers_refused);
  g_test_add_func ("/segment/wrong-service", test_wrong_service_refused);
  g_test_add_func ("/segment/returned-syn", test_returned_syn_goes_back);
  g_test_add_func ("/segment/crashed-upstream", test_crashed_upstream_absent);
  g_test_add_func ("/segment/restart-learns",
                   test_flows_learned_after_a_restart);
  g_test_add_func ("/segment/started-together", test_started_together);
  g_test_add_func ("/segment/probed-reset",
                   test_reset_of_probed_upstream_kept);
  g_test_add_func ("/segment/unknown-denied", test_unknown_flow_denied);
  g_test_add_func ("/segment/denied-without-upstream",
                   test_denied_without_upstream);
  g_test_add_func ("/segment/vacant-after-resets", test_vacant_after_resets);
  g_test_add_func ("/segment/other-handshake", test_other_handshake_denied);
  g_test_add_func ("/segment/answered-not-open",
                   test_answered_flow_is_not_open);
  g_test_add_func ("/segment/late-segments", test_late_segments);
  g_test_add_func ("/segment/new-start", test_new_start_loses_flows);
  g_test_add_func ("/segment/requests-counted", test_requests_counted);
  g_test_add_func ("/segment/silent-upstream", test_silent_upstream_absent);
  return g_test_run ();
}
