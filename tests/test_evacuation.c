/* test_evacuation.c -- evacuation of availability zones: orders and their
   encoding, and what entries, agents and their links to the control group do.

   Guards against flows that are opened in an evacuated zone, against orders
   that have a second effect, and against a return to an older state.  */

#include "base/addr.h"
#include "base/auto.h"
#include "daemon/follower.h"
#include "platform/platform.h"
#include "wire/group_command.h"

#include <string.h>

/* Types.  */

#define ALPHA "alpha"
#define AGENTS 6 /* Three in zone "a", three in zone "b".  */

static const char json_configuration[]
    = "{\"version\":1,\"services\":[\"alpha\"],\"routes\":[{\"name\":\"r\","
      "\"address\":\"198.18.0.1:8080\",\"work\":\"once\",\"timeout_ms\":2000,"
      "\"slo_ms\":300,\"priority\":1,\"service\":\"alpha\"}]}";

struct entry
{
  void *root;
  struct hs_agent_pool *pool;
  struct hs_forwarder *forwarder;
  uint64_t report_seq;
};

/* Counts of what a follower has done.  */
struct follower_calls
{
  unsigned int changes;
  uint64_t sent_revision; /* In the latest heartbeat.  */
};

/* Private functions.  */

static void
ignore_segment (void *ctx, const struct hs_segment *segment, size_t non_owners)
{
  (void)ctx;
  (void)segment;
  (void)non_owners;
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
report_agents (struct entry *entry, uint64_t now)
{
  for (uint32_t i = 0; i < AGENTS; i++)
    {
      struct hs_load_report report
          = { .agent_id = i + 1,
              .incarnation = 1,
              .seq = ++entry->report_seq,
              .service_id = hs_id_from_name (ALPHA),
              .address = hs_addr_from_ipv4 (0x0a000001 + i, 7000),
              .state = HS_AGENT_READY,
              .slots = 2,
              .cold_room = HS_COLD_ROOM_UNLIMITED };

      g_strlcpy (report.zone, i < AGENTS / 2 ? "a" : "b", sizeof report.zone);
      hs_agent_pool_update (entry->pool, &report, now);
    }
}

/* An entry in zone "a".  */
static struct entry
entry_create (void)
{
  struct entry entry = { .root = talloc_new (NULL) };
  struct hs_forwarder_ops ops
      = { ignore_segment, ignore_query, ignore_pending, ignore_record };
  struct hs_egress_ops egress_ops = { ignore_sent };
  struct hs_configuration *configuration = hs_configuration_parse (
      entry.root, json_configuration, strlen (json_configuration), NULL);
  struct hs_egress *egress;

  g_assert_nonnull (configuration);
  entry.pool = hs_agent_pool_create (entry.root, "a");
  egress = hs_egress_create (entry.root, 0, &egress_ops, NULL);
  entry.forwarder = hs_forwarder_create (
      entry.root, entry.pool, hs_uplink_create (entry.root, 0, egress), &ops,
      NULL);
  hs_forwarder_set_routing (entry.forwarder,
                            hs_routing_create (entry.root, configuration));
  report_agents (&entry, 0);
  return entry;
}

static struct hs_segment
make_segment (unsigned int flags, uint16_t port, uint32_t ack)
{
  struct hs_segment segment = { .flags = flags, .seq = 100, .ack = ack };

  g_assert_true (hs_addr_parse ("100.64.0.7:1", &segment.from));
  g_assert_true (hs_addr_parse ("198.18.0.1:8080", &segment.to));
  segment.from.port = port;
  return segment;
}

static void
set_evacuated (struct entry *entry, uint64_t revision, const char *zone,
               const char *other)
{
  struct hs_evacuations evacuations = { .revision = revision };

  if (zone != NULL)
    g_strlcpy (evacuations.zones[evacuations.len++], zone, HS_NAME_SIZE);
  if (other != NULL)
    g_strlcpy (evacuations.zones[evacuations.len++], other, HS_NAME_SIZE);
  hs_agent_pool_set_evacuations (entry->pool, &evacuations);
}

static const char *
zone_of_only_agent (const struct hs_forward_decision *decision)
{
  g_assert_cmpint (decision->action, ==, HS_FORWARD_TO_AGENTS);
  g_assert_cmpuint (decision->agents_len, ==, 1);
  return decision->agents[0]->report.zone;
}

static bool
apply (struct hs_evacuations *evacuations, bool start, const char *zone,
       const uint64_t *base_revision, uint64_t index, int error_code)
{
  struct hs_evacuation_order order
      = { .start = start,
          .is_conditional = base_revision != NULL,
          .base_revision = base_revision != NULL ? *base_revision : 0 };
  g_autoptr (GError) error = NULL;
  bool applied;

  g_strlcpy (order.zone, zone, sizeof order.zone);
  applied = hs_evacuations_apply (evacuations, &order, index, &error);
  if (!applied)
    g_assert_error (error, HS_ERROR, error_code);
  return applied;
}

/* An order that is sent again changes nothing, and a conditional one that
   comes after its opposite is refused.  */
static void
test_orders (void)
{
  struct hs_evacuations evacuations = { .revision = 0 };
  uint64_t base = 0;

  g_assert_true (apply (&evacuations, false, "a", NULL, 1, 0));
  g_assert_cmpuint (evacuations.revision, ==, 0);
  g_assert_true (apply (&evacuations, true, "a", &base, 2, 0));
  g_assert_true (apply (&evacuations, true, "a", &base, 3, 0));
  g_assert_cmpuint (evacuations.revision, ==, 2);
  g_assert_true (apply (&evacuations, true, "b", NULL, 4, 0));
  g_assert_true (apply (&evacuations, false, "a", NULL, 5, 0));
  g_assert_false (
      apply (&evacuations, true, "a", &base, 6, HS_ERROR_CONFLICT));
  g_assert_false (hs_evacuations_contain (&evacuations, "a"));
  g_assert_true (hs_evacuations_contain (&evacuations, "b"));
  g_assert_cmpuint (evacuations.revision, ==, 5);
  g_assert_true (apply (&evacuations, true, "a", NULL, 7, 0));
  g_assert_cmpuint (evacuations.len, ==, 2);
}

static void
test_zones_bounded (void)
{
  struct hs_evacuations evacuations = { .revision = 0 };
  char zone[HS_NAME_SIZE];

  for (unsigned int i = 0; i < HS_EVACUATED_ZONES_MAX; i++)
    {
      g_snprintf (zone, sizeof zone, "z%u", i);
      g_assert_true (apply (&evacuations, true, zone, NULL, i + 1, 0));
    }
  g_assert_false (
      apply (&evacuations, true, "more", NULL, 99, HS_ERROR_LIMIT));
  g_assert_true (apply (&evacuations, false, "z3", NULL, 100, 0));
  g_assert_true (apply (&evacuations, true, "more", NULL, 101, 0));
}

/* Orders and snapshots survive encoding; a snapshot of a host that knew no
   evacuations is a configuration alone.  */
static void
test_encoding (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_evacuation_order order = { .start = true,
                                       .zone = "a",
                                       .is_conditional = true,
                                       .base_revision = UINT64_MAX };
  struct hs_stored_configuration stored
      = { 7, 3, (const uint8_t *)"abc", 2, (const uint8_t *)"de" };
  struct hs_group_snapshot snapshot
      = { &stored, { .revision = 9, .len = 2, .zones = { "a", "b" } } };
  struct hs_group_command *command;
  struct hs_group_snapshot *decoded;
  size_t len;
  uint8_t *data = hs_evacuation_order_encode (root, &order, &len);

  command = hs_group_command_decode (root, data, len, NULL);
  g_assert_nonnull (command);
  g_assert_null (command->configuration);
  g_assert_cmpmem (&command->order, sizeof order, &order, sizeof order);
  for (size_t cut = 0; cut < len; cut++)
    g_assert_null (hs_group_command_decode (root, data, cut, NULL));
  data = hs_group_snapshot_encode (root, &snapshot, &len);
  decoded = hs_group_snapshot_decode (root, data, len, NULL);
  g_assert_nonnull (decoded);
  g_assert_cmpuint (decoded->configuration->version, ==, 7);
  g_assert_cmpuint (decoded->evacuations.revision, ==, 9);
  g_assert_true (hs_evacuations_contain (&decoded->evacuations, "b"));
  for (size_t cut = 0; cut < len; cut++)
    g_assert_null (hs_group_snapshot_decode (root, data, cut, NULL));
  data = hs_stored_configuration_encode (root, &stored, &len);
  decoded = hs_group_snapshot_decode (root, data, len, NULL);
  g_assert_nonnull (decoded);
  g_assert_cmpuint (decoded->configuration->version, ==, 7);
  g_assert_cmpuint (decoded->evacuations.revision, ==, 0);
  command = hs_group_command_decode (root, data, len, NULL);
  g_assert_nonnull (command);
  g_assert_cmpuint (command->configuration->version, ==, 7);
}

static void
test_platform_calls (void)
{
  const struct hs_adapter *adapter = hs_platform_adapter ();
  char zone[HS_NAME_SIZE];

  g_assert_cmpint (
      adapter->decode_operation (NULL, "POST",
                                 "/hibiscusspan/evacuations/a-1/start", zone),
      ==, HS_OPERATION_START_EVACUATION);
  g_assert_cmpstr (zone, ==, "a-1");
  g_assert_cmpint (
      adapter->decode_operation (NULL, "POST",
                                 "/hibiscusspan/evacuations/a-1/finish", zone),
      ==, HS_OPERATION_FINISH_EVACUATION);
  g_assert_cmpint (
      adapter->decode_operation (NULL, "GET",
                                 "/hibiscusspan/evacuations/a-1/start", zone),
      ==, HS_OPERATION_UNKNOWN);
  g_assert_cmpint (adapter->decode_operation (
                       NULL, "POST", "/hibiscusspan/evacuations//start", zone),
                   ==, HS_OPERATION_UNKNOWN);
}

/* No new flow and no copy of a SYN goes to an evacuated zone, also not by a
   report that comes later; open flows stay there, and the zone is used again
   afterwards.  */
static void
test_entry_avoids_zone (void)
{
  struct entry entry = entry_create ();
  struct hs_segment open = make_segment (HS_SEGMENT_SYN, 1, 0);
  struct hs_segment syn = make_segment (HS_SEGMENT_SYN, 2, 0);
  struct hs_forward_decision decision
      = hs_forwarder_route (entry.forwarder, &open, 10);

  g_assert_cmpstr (zone_of_only_agent (&decision), ==, "a");
  decision = hs_forwarder_route (entry.forwarder, &syn, 10);
  g_assert_cmpstr (zone_of_only_agent (&decision), ==, "a");
  set_evacuated (&entry, 1, "a", NULL);
  syn.ack = 1;
  decision = hs_forwarder_route (entry.forwarder, &syn, 210);
  g_assert_cmpstr (zone_of_only_agent (&decision), ==, "b");
  report_agents (&entry, 220);
  for (uint16_t port = 10; port < 100; port++)
    {
      syn = make_segment (HS_SEGMENT_SYN, port, 0);
      decision = hs_forwarder_route (entry.forwarder, &syn, 230);
      if (decision.action == HS_FORWARD_TO_AGENTS)
        g_assert_cmpstr (zone_of_only_agent (&decision), ==, "b");
    }
  open = make_segment (HS_SEGMENT_ACK, 1, 5);
  decision = hs_forwarder_route (entry.forwarder, &open, 240);
  g_assert_cmpstr (zone_of_only_agent (&decision), ==, "a");
  set_evacuated (&entry, 2, NULL, NULL);
  report_agents (&entry, 300);
  syn = make_segment (HS_SEGMENT_SYN, 3, 0);
  decision = hs_forwarder_route (entry.forwarder, &syn, 310);
  g_assert_cmpstr (zone_of_only_agent (&decision), ==, "a");
  talloc_free (entry.root);
}

/* If all zones are evacuated, callers are told at once.  A SYN that waits at
   an agent is not: its upstream may answer it yet.  */
static void
test_all_zones_evacuated (void)
{
  struct entry entry = entry_create ();
  struct hs_segment syn = make_segment (HS_SEGMENT_SYN, 1, 0);
  struct hs_forward_decision decision;

  set_evacuated (&entry, 1, "a", "b");
  decision = hs_forwarder_route (entry.forwarder, &syn, 10);
  g_assert_cmpint (decision.action, ==, HS_FORWARD_RESET);
  g_assert_cmpint (decision.reason, ==, HS_REASON_EVACUATED);
  set_evacuated (&entry, 2, "a", NULL);
  decision = hs_forwarder_route (entry.forwarder, &syn, 20);
  g_assert_cmpstr (zone_of_only_agent (&decision), ==, "b");
  set_evacuated (&entry, 3, "a", "b");
  syn.ack = 1;
  decision = hs_forwarder_route (entry.forwarder, &syn, 220);
  g_assert_cmpint (decision.action, ==, HS_FORWARD_DROP);
  talloc_free (entry.root);
}

/* A SYN that an agent refuses because the entry did not know of the order yet
   goes to another zone.  */
static void
test_refused_syn_goes_elsewhere (void)
{
  struct entry entry = entry_create ();
  struct hs_segment syn = make_segment (HS_SEGMENT_SYN, 1, 0);
  struct hs_forward_decision decision
      = hs_forwarder_route (entry.forwarder, &syn, 10);
  uint64_t refused = decision.agents[0]->report.agent_id;

  set_evacuated (&entry, 1, "a", NULL);
  decision = hs_forwarder_handle_refused_syn (entry.forwarder, &syn, refused,
                                              HS_REASON_EVACUATED, 12);
  g_assert_cmpstr (zone_of_only_agent (&decision), ==, "b");
  talloc_free (entry.root);
}

static void
on_query_load (void *ctx, const struct hs_addr *address)
{
  unsigned int *queries = ctx;

  queries[address->ip[15]]++;
}

/* An entry of an evacuated zone asks the agents of other zones as often as it
   asked those of its own: it places all flows there.  */
static void
test_poller_asks_other_zones (void)
{
  struct entry entry = entry_create ();
  unsigned int queries[AGENTS + 1] = { 0 };
  struct hs_load_poller_ops ops = { on_query_load };
  struct hs_load_poller *poller
      = hs_load_poller_create (entry.root, "a", entry.pool, &ops, queries);
  struct hs_addr addresses[AGENTS];
  unsigned int by_zone[2] = { 0, 0 };

  for (uint32_t i = 0; i < AGENTS; i++)
    addresses[i] = hs_addr_from_ipv4 (0x0a000001 + i, 7000);
  hs_load_poller_set_agents (poller, addresses, AGENTS);
  set_evacuated (&entry, 1, "a", NULL);
  for (uint64_t now = 0; now < 2000; now += HS_LOAD_POLLER_TICK_MS)
    {
      report_agents (&entry, now);
      for (size_t i = 0; i < AGENTS; i++)
        hs_load_poller_handle_report (
            poller, &hs_agent_pool_find (entry.pool, i + 1)->report);
      hs_load_poller_handle_syn (poller, hs_id_from_name (ALPHA), now);
      hs_load_poller_tick (poller, now);
    }
  for (size_t i = 1; i <= AGENTS; i++)
    by_zone[i > AGENTS / 2] += queries[i];
  g_assert_cmpuint (by_zone[1], >, 2 * by_zone[0]);
  talloc_free (entry.root);
}

static void
on_follower_send (void *ctx, const struct hs_addr *to,
                  const struct hs_inner *inner)
{
  struct follower_calls *calls = ctx;

  (void)to;
  if (inner->type == HS_INNER_HEARTBEAT)
    calls->sent_revision = inner->heartbeat.evacuation_revision;
}

static bool
ignore_configuration (void *ctx, uint64_t base_generation,
                      const uint8_t *bytes, size_t len)
{
  (void)ctx;
  (void)base_generation;
  (void)bytes;
  (void)len;
  return true;
}

static void
ignore_agents (void *ctx)
{
  (void)ctx;
}

static void
on_evacuations (void *ctx, const struct hs_evacuations *evacuations)
{
  struct follower_calls *calls = ctx;

  (void)evacuations;
  calls->changes++;
}

static void
ignore_group_lost (void *ctx, bool lost)
{
  (void)ctx;
  (void)lost;
}

static void
receive_evacuations (struct hs_follower *follower, uint64_t revision)
{
  struct hs_inner message
      = { .type = HS_INNER_EVACUATIONS,
          .evacuations
          = { .revision = revision, .len = 1, .zones = { "a" } } };
  struct hs_addr from = hs_addr_from_ipv4 (0x0a000001, 7000);

  hs_follower_receive (follower, &from, &message, 10);
}

/* A node never returns to an older state, such as that of a control host that
   is behind, and reports the state on which it acts.  */
static void
test_node_keeps_latest (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct follower_calls calls = { 0 };
  struct hs_follower_ops ops
      = { on_follower_send, ignore_configuration, ignore_agents,
          on_evacuations, ignore_group_lost };
  struct hs_inner_heartbeat self = { .role = HS_ROLE_AGENT, .node_id = 1 };
  struct hs_follower *follower
      = hs_follower_create (root, &self, &ops, &calls);
  struct hs_addrs seeds = { 1, { hs_addr_from_ipv4 (0x0a000001, 8000) } };

  hs_follower_set_seeds (follower, &seeds, 7000);
  receive_evacuations (follower, 5);
  receive_evacuations (follower, 4);
  receive_evacuations (follower, 5);
  g_assert_cmpuint (calls.changes, ==, 1);
  receive_evacuations (follower, 6);
  g_assert_cmpuint (calls.changes, ==, 2);
  hs_follower_tick (follower, 600);
  g_assert_cmpuint (calls.sent_revision, ==, 6);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/evacuation/orders", test_orders);
  g_test_add_func ("/evacuation/zones-bounded", test_zones_bounded);
  g_test_add_func ("/evacuation/encoding", test_encoding);
  g_test_add_func ("/evacuation/platform-calls", test_platform_calls);
  g_test_add_func ("/evacuation/entry-avoids-zone", test_entry_avoids_zone);
  g_test_add_func ("/evacuation/all-zones", test_all_zones_evacuated);
  g_test_add_func ("/evacuation/refused-syn", test_refused_syn_goes_elsewhere);
  g_test_add_func ("/evacuation/poller", test_poller_asks_other_zones);
  g_test_add_func ("/evacuation/node-keeps-latest", test_node_keeps_latest);
  return g_test_run ();
}
