/* test_region.c -- routes that allow only some regions: the region of a zone,
   and the placement of flows.  */

#include "base/addr.h"
#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define SERVICE "alpha"
#define LOCAL_PORT 8080 /* Of the route that allows the region "north".  */
#define ANY_PORT 8443   /* Of the route without regions.  */
#define SLO_MS 300

#define ZONES "n1:north,n2:north,s1:south"

/* An entry in the zone s1, with two agents in the region north, one in the
   region south and one in a zone that is not listed.  */
struct fixture
{
  void *root;
  struct hs_region_map *map;
  struct hs_agent_pool *pool;
  struct hs_routing *routing;
  struct hs_forwarder *forwarder;
};

/* Private functions.  */

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
fail_on_reset (void *ctx, const struct hs_segment *segment, size_t non_owners)
{
  (void)ctx;
  (void)segment;
  (void)non_owners;
  g_assert_not_reached ();
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

static struct hs_addr
make_addr (const char *ip, uint16_t port)
{
  g_autofree char *text = g_strdup_printf ("%s:%u", ip, port);
  struct hs_addr address;

  g_assert_true (hs_addr_parse (text, &address));
  return address;
}

static uint64_t
id (const char *name)
{
  return hs_id_from_name (name);
}

static void
report_load (const struct fixture *fixture, const char *name, const char *zone,
             enum hs_agent_state state, uint32_t requests, uint64_t now)
{
  static uint64_t seq;
  struct hs_load_report report = { .agent_id = id (name),
                                   .incarnation = 1,
                                   .service_id = id (SERVICE),
                                   .state = state,
                                   .slots = 2,
                                   .mean_work_us = 20000,
                                   .requests_in_progress = requests };

  report.seq = ++seq;
  g_strlcpy (report.zone, zone, sizeof report.zone);
  hs_agent_pool_update (fixture->pool, &report, now);
}

/* Creates the routing: one route allows the region REGION, the other all.  */
static struct hs_routing *
create_routing (void *parent, const char *region)
{
  struct hs_traffic_split split = { SERVICE, 1 };
  const char *regions[] = { "nowhere", region };
  struct hs_configured_service service = { .name = SERVICE };
  struct hs_service_route routes[]
      = { { .name = "local",
            .address = make_addr ("198.18.0.1", LOCAL_PORT),
            .timeout_ms = 2000,
            .slo_ms = SLO_MS,
            .splits_len = 1,
            .splits = &split,
            .regions_len = 2,
            .regions = regions },
          { .name = "any",
            .address = make_addr ("198.18.0.1", ANY_PORT),
            .timeout_ms = 2000,
            .slo_ms = SLO_MS,
            .splits_len = 1,
            .splits = &split } };
  struct hs_configuration configuration = { .version = 1,
                                            .routes_len = 2,
                                            .routes = routes,
                                            .services_len = 1,
                                            .services = &service };

  g_assert_true (hs_configuration_check (&configuration, NULL));
  return hs_routing_create (parent, &configuration);
}

static struct fixture
create_fixture (const char *zones)
{
  struct fixture fixture = { .root = talloc_new (NULL) };
  struct hs_egress_ops egress_ops = { ignore_sent };
  struct hs_forwarder_ops ops
      = { fail_on_reset, ignore_query, ignore_pending, ignore_record };
  struct hs_egress *egress
      = hs_egress_create (fixture.root, 0, &egress_ops, NULL);
  struct hs_uplink *uplink = hs_uplink_create (fixture.root, 0, egress);

  fixture.map = hs_region_map_create (fixture.root, zones, NULL);
  g_assert_nonnull (fixture.map);
  fixture.pool = hs_agent_pool_create (fixture.root, "s1");
  hs_agent_pool_set_region_map (fixture.pool, fixture.map);
  fixture.routing = create_routing (fixture.root, "north");
  fixture.forwarder
      = hs_forwarder_create (fixture.root, fixture.pool, uplink, &ops, NULL);
  hs_forwarder_set_routing (fixture.forwarder, fixture.routing);
  report_load (&fixture, "north-1", "n1", HS_AGENT_READY, 1, 0);
  report_load (&fixture, "north-2", "n2", HS_AGENT_READY, 2, 0);
  report_load (&fixture, "south", "s1", HS_AGENT_READY, 0, 0);
  report_load (&fixture, "unlisted", "u1", HS_AGENT_READY, 0, 0);
  return fixture;
}

static struct hs_segment
make_syn (uint16_t route_port, uint16_t caller_port)
{
  return (struct hs_segment){ .from = make_addr ("100.64.0.7", caller_port),
                              .to = make_addr ("198.18.0.1", route_port),
                              .flags = HS_SEGMENT_SYN,
                              .seq = 100 };
}

static struct hs_forward_decision
send_syn (const struct fixture *fixture, const struct hs_segment *syn,
          uint64_t now)
{
  return hs_forwarder_route (fixture->forwarder, syn, now);
}

static void
assert_sent_to (const struct hs_forward_decision *decision, const char *name)
{
  g_assert_cmpint (decision->action, ==, HS_FORWARD_TO_AGENTS);
  g_assert_cmpuint (decision->agents_len, ==, 1);
  g_assert_cmpuint (decision->agents[0]->report.agent_id, ==, id (name));
}

static void
assert_refused (const struct hs_forward_decision *decision,
                enum hs_forward_action action, enum hs_reason reason)
{
  g_assert_cmpint (decision->action, ==, action);
  g_assert_cmpstr (hs_reason_name (decision->reason), ==,
                   hs_reason_name (reason));
}

/* Lets the agent NAME leave load queries unanswered since SINCE.  */
static void
silence (const struct fixture *fixture, const char *name, uint64_t since)
{
  hs_agent_pool_mark_queried (fixture->pool, id (name), since);
}

/* Region map.  */

static void
test_zones_parsed (void)
{
  struct hs_region_map *map = hs_region_map_create (NULL, ZONES, NULL);
  struct hs_region_map *empty = hs_region_map_create (NULL, "", NULL);

  g_assert_cmpuint (hs_region_map_len (map), ==, 3);
  g_assert_cmpstr (hs_region_map_find (map, "n1"), ==, "north");
  g_assert_cmpstr (hs_region_map_find (map, "n2"), ==, "north");
  g_assert_cmpstr (hs_region_map_find (map, "s1"), ==, "south");
  g_assert_null (hs_region_map_find (map, "north"));
  g_assert_null (hs_region_map_find (map, ""));
  g_assert_cmpuint (hs_region_map_len (empty), ==, 0);
  g_assert_null (hs_region_map_find (empty, "n1"));
  hs_region_map_destroy (map);
  hs_region_map_destroy (empty);
}

/* A mistake in the setting is reported with the part that has it, and does not
   leave a zone without a region.  */
static void
test_bad_zones_rejected (void)
{
  g_autofree char *long_name = g_strnfill (HS_NAME_SIZE, 'r');
  g_autofree char *long_part = g_strdup_printf ("n3:%s", long_name);
  const char *bad[] = { "n3",        "n3:",       "north:n3:x", ":north",
                        "n3: ",      "n3:no/rth", "n1:south",   "n1:north",
                        "n 3:north", long_part };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_autofree char *text = g_strdup_printf ("n1:north,%s,s1:south", bad[i]);
      g_autofree char *quoted = g_strdup_printf ("'%s'", bad[i]);
      g_autoptr (GError) error = NULL;

      g_assert_null (hs_region_map_create (NULL, text, &error));
      g_assert_error (error, HS_ERROR, HS_ERROR_INVALID);
      g_assert_nonnull (strstr (error->message, quoted));
    }
}

/* Placement.  */

/* The agent of the entry's own zone is idle, but not in an allowed region.  */
static void
test_placed_in_allowed_region (void)
{
  struct fixture fixture = create_fixture (ZONES);

  for (uint16_t port = 1; port <= 20; port++)
    {
      struct hs_segment syn = make_syn (LOCAL_PORT, port);
      struct hs_forward_decision decision = send_syn (&fixture, &syn, 1);

      g_assert_cmpint (decision.action, ==, HS_FORWARD_TO_AGENTS);
      g_assert_cmpuint (decision.agents[0]->region_id, ==, id ("north"));
    }
  talloc_free (fixture.root);
}

/* A route without regions is placed by load alone, also where the zones of the
   agents are not listed.  */
static void
test_route_without_regions (void)
{
  const char *zones[] = { ZONES, "" };

  for (size_t i = 0; i < G_N_ELEMENTS (zones); i++)
    {
      struct fixture fixture = create_fixture (zones[i]);
      struct hs_segment syn = make_syn (ANY_PORT, 1);
      struct hs_forward_decision decision = send_syn (&fixture, &syn, 1);

      assert_sent_to (&decision, "south");
      syn.ack = 2;
      decision = send_syn (&fixture, &syn, 600);
      assert_sent_to (&decision, "unlisted");
      silence (&fixture, "north-1", 600);
      silence (&fixture, "north-2", 600);
      silence (&fixture, "south", 600);
      silence (&fixture, "unlisted", 600);
      syn = make_syn (ANY_PORT, 2);
      decision = send_syn (&fixture, &syn, 601 + HS_ANSWER_TIMEOUT_MS);
      assert_refused (&decision, HS_FORWARD_DROP, HS_REASON_NO_UPSTREAM);
      talloc_free (fixture.root);
    }
}

/* An old report of an allowed agent counts more than a fresh one of an agent
   elsewhere.  */
static void
test_old_report_in_allowed_region (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment syn = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision;

  report_load (&fixture, "south", "s1", HS_AGENT_READY, 0, 5000);
  decision = send_syn (&fixture, &syn, 5001);
  assert_sent_to (&decision, "north-1");
  talloc_free (fixture.root);
}

/* Overload is decided by the allowed agents alone: neither does a free slot
   elsewhere make a flow wait, nor does a queue elsewhere refuse one.  */
static void
test_overload_counts_allowed_agents (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment syn = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision;

  report_load (&fixture, "north-1", "n1", HS_AGENT_READY, 60, 1);
  report_load (&fixture, "north-2", "n2", HS_AGENT_READY, 50, 1);
  decision = send_syn (&fixture, &syn, 2);
  assert_refused (&decision, HS_FORWARD_RESET, HS_REASON_OVERLOADED);
  g_assert_cmpuint (decision.least_busy->report.agent_id, ==, id ("north-2"));
  report_load (&fixture, "north-2", "n2", HS_AGENT_READY, 0, 3);
  report_load (&fixture, "south", "s1", HS_AGENT_READY, 60, 3);
  report_load (&fixture, "unlisted", "u1", HS_AGENT_READY, 60, 3);
  syn = make_syn (LOCAL_PORT, 2);
  decision = send_syn (&fixture, &syn, 4);
  assert_sent_to (&decision, "north-2");
  talloc_free (fixture.root);
}

/* Refused SYNs.  */

/* A refused SYN is not offered to an agent elsewhere, even if that is idle.
   An overloaded agent still accepts flows: the caller is refused for that
   reason.  */
static void
test_refused_syn_stays_in_region (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment syn = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision = send_syn (&fixture, &syn, 1);

  assert_sent_to (&decision, "north-1");
  decision = hs_forwarder_handle_refused_syn (
      fixture.forwarder, &syn, id ("north-1"), HS_REASON_OVERLOADED, 2);
  assert_sent_to (&decision, "north-2");
  decision = hs_forwarder_handle_refused_syn (
      fixture.forwarder, &syn, id ("north-2"), HS_REASON_OVERLOADED, 3);
  assert_refused (&decision, HS_FORWARD_RESET, HS_REASON_OVERLOADED);
  g_assert_cmpuint (decision.least_busy->region_id, ==, id ("north"));
  talloc_free (fixture.root);
}

/* The refusal of the last allowed agent shows that it accepts no more flows:
   the caller is reset at once.  */
static void
test_last_allowed_agent_drains (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment syn = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision;

  report_load (&fixture, "north-2", "n2", HS_AGENT_DRAINING, 0, 1);
  decision = send_syn (&fixture, &syn, 2);
  assert_sent_to (&decision, "north-1");
  decision = hs_forwarder_handle_refused_syn (
      fixture.forwarder, &syn, id ("north-1"), HS_REASON_DRAINING, 3);
  assert_refused (&decision, HS_FORWARD_RESET, HS_REASON_REGION);
  talloc_free (fixture.root);
}

/* Copies of a SYN.  */

/* A copy that goes to a second agent goes to one in an allowed region.  With
   no other one left, the same agent gets it again.  */
static void
test_copy_of_syn_stays_in_region (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment syn = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision = send_syn (&fixture, &syn, 1);

  assert_sent_to (&decision, "north-1");
  syn.ack = 1;
  decision = send_syn (&fixture, &syn, 200);
  assert_sent_to (&decision, "north-1");
  syn.ack = 2;
  decision = send_syn (&fixture, &syn, 600);
  assert_sent_to (&decision, "north-2");
  syn.ack = 3;
  decision = send_syn (&fixture, &syn, 1000);
  assert_sent_to (&decision, "north-2");
  talloc_free (fixture.root);
}

/* A copy does not go to the agent that has the SYN once the configuration no
   longer allows that agent's region.  */
static void
test_copy_of_syn_follows_configuration (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment syn = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision = send_syn (&fixture, &syn, 1);

  assert_sent_to (&decision, "north-1");
  hs_forwarder_set_routing (fixture.forwarder,
                            create_routing (fixture.root, "south"));
  syn.ack = 1;
  decision = send_syn (&fixture, &syn, 200);
  assert_sent_to (&decision, "south");
  talloc_free (fixture.root);
}

/* An open flow stays at its agent when its region is no longer allowed.  */
static void
test_open_flow_stays (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment segment = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision = send_syn (&fixture, &segment, 1);

  assert_sent_to (&decision, "north-1");
  segment.flags = HS_SEGMENT_ACK;
  segment.seq = 101;
  segment.ack = 501;
  decision = send_syn (&fixture, &segment, 10);
  assert_sent_to (&decision, "north-1");
  hs_forwarder_set_routing (fixture.forwarder,
                            create_routing (fixture.root, "south"));
  segment.payload_len = 50;
  decision = send_syn (&fixture, &segment, 20);
  assert_sent_to (&decision, "north-1");
  talloc_free (fixture.root);
}

/* No allowed agent accepts flows.  */

/* The caller is reset at once, rather than left to retransmit its SYN, and is
   served again once an agent is back.  */
static void
test_allowed_agents_gone (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment syn = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision;

  report_load (&fixture, "north-1", "n1", HS_AGENT_DRAINING, 0, 1);
  hs_agent_pool_remove (fixture.pool, id ("north-2"));
  decision = send_syn (&fixture, &syn, 2);
  assert_refused (&decision, HS_FORWARD_RESET, HS_REASON_REGION);
  syn = make_syn (ANY_PORT, 2);
  decision = send_syn (&fixture, &syn, 3);
  assert_sent_to (&decision, "south");
  report_load (&fixture, "north-1", "n1", HS_AGENT_READY, 0, 4);
  syn = make_syn (LOCAL_PORT, 3);
  decision = send_syn (&fixture, &syn, 5);
  assert_sent_to (&decision, "north-1");
  talloc_free (fixture.root);
}

/* Without any agent of the service, it is not a matter of regions: the SYN is
   dropped, as for every route, since the next copy may find an agent.  */
static void
test_all_agents_gone (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment syn = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision;

  report_load (&fixture, "north-1", "n1", HS_AGENT_UPSTREAM_SILENT, 0, 1);
  report_load (&fixture, "north-2", "n2", HS_AGENT_UPSTREAM_SILENT, 0, 1);
  report_load (&fixture, "south", "s1", HS_AGENT_UPSTREAM_SILENT, 0, 1);
  report_load (&fixture, "unlisted", "u1", HS_AGENT_DRAINING, 0, 1);
  decision = send_syn (&fixture, &syn, 2);
  assert_refused (&decision, HS_FORWARD_DROP, HS_REASON_NO_UPSTREAM);
  talloc_free (fixture.root);
}

/* The agents of a region that is cut off leave load queries unanswered.  New
   flows are then reset.  A flow whose SYN one of them has is not, as that
   agent may have accepted it, and a reset means that nothing has run.  */
static void
test_region_cut_off (void)
{
  struct fixture fixture = create_fixture (ZONES);
  struct hs_segment early = make_syn (LOCAL_PORT, 1);
  struct hs_segment late = make_syn (LOCAL_PORT, 2);
  uint64_t cut_at = 100;
  uint64_t noticed_at = cut_at + HS_ANSWER_TIMEOUT_MS + 1;
  struct hs_forward_decision decision = send_syn (&fixture, &early, cut_at);

  assert_sent_to (&decision, "north-1");
  silence (&fixture, "north-1", cut_at);
  silence (&fixture, "north-2", cut_at);
  early.ack = 1;
  decision = send_syn (&fixture, &early, cut_at + 200);
  assert_sent_to (&decision, "north-1");
  decision = send_syn (&fixture, &late, noticed_at);
  assert_refused (&decision, HS_FORWARD_RESET, HS_REASON_REGION);
  early.ack = 2;
  decision = send_syn (&fixture, &early, cut_at + 600);
  assert_refused (&decision, HS_FORWARD_DROP, HS_REASON_REGION);
  report_load (&fixture, "north-2", "n2", HS_AGENT_READY, 0, 1000);
  late = make_syn (LOCAL_PORT, 3);
  decision = send_syn (&fixture, &late, 1001);
  assert_sent_to (&decision, "north-2");
  talloc_free (fixture.root);
}

/* Unknown zones.  */

/* An agent whose zone is not listed may be anywhere: it gets no flow of a
   route with regions, unless its zone becomes a listed one.  */
static void
test_unknown_zones (void)
{
  struct fixture fixture = create_fixture ("");
  struct hs_segment syn = make_syn (LOCAL_PORT, 1);
  struct hs_forward_decision decision = send_syn (&fixture, &syn, 1);

  assert_refused (&decision, HS_FORWARD_RESET, HS_REASON_REGION);
  talloc_free (fixture.root);
  fixture = create_fixture ("n3:north");
  decision = send_syn (&fixture, &syn, 1);
  assert_refused (&decision, HS_FORWARD_RESET, HS_REASON_REGION);
  report_load (&fixture, "unlisted", "n3", HS_AGENT_READY, 0, 2);
  decision = send_syn (&fixture, &syn, 3);
  assert_sent_to (&decision, "unlisted");
  talloc_free (fixture.root);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/region/zones-parsed", test_zones_parsed);
  g_test_add_func ("/region/bad-zones-rejected", test_bad_zones_rejected);
  g_test_add_func ("/region/placed-in-allowed-region",
                   test_placed_in_allowed_region);
  g_test_add_func ("/region/route-without-regions",
                   test_route_without_regions);
  g_test_add_func ("/region/old-report", test_old_report_in_allowed_region);
  g_test_add_func ("/region/overload", test_overload_counts_allowed_agents);
  g_test_add_func ("/region/refused-syn", test_refused_syn_stays_in_region);
  g_test_add_func ("/region/last-agent-drains",
                   test_last_allowed_agent_drains);
  g_test_add_func ("/region/copy-of-syn", test_copy_of_syn_stays_in_region);
  g_test_add_func ("/region/copy-after-change",
                   test_copy_of_syn_follows_configuration);
  g_test_add_func ("/region/open-flow-stays", test_open_flow_stays);
  g_test_add_func ("/region/allowed-agents-gone", test_allowed_agents_gone);
  g_test_add_func ("/region/all-agents-gone", test_all_agents_gone);
  g_test_add_func ("/region/cut-off", test_region_cut_off);
  g_test_add_func ("/region/unknown-zones", test_unknown_zones);
  return g_test_run ();
}
