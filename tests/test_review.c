/* test_review.c -- tests of the review and the comparison of
   configurations.  */

#include "base/auto.h"
#include "hibiscusspan.h"

#include <string.h>

/* Types.  */

/* Replaces FROM by TO in a configuration.  */
struct edit
{
  const char *from;
  const char *to;
};

struct review_case
{
  struct edit edit;
  const char *findings;
};

/* Nothing is wrong with it.  */
static const char clean[]
    = "{\"version\": 7, \"flow_idle_ms\": 15000,\n"
      " \"services\": [\"a\", {\"name\": \"b\", \"cold_flows_per_s\": 20}],\n"
      " \"routes\": [\n"
      "  {\"name\": \"r\", \"address\": \"198.18.0.1:443\",\n"
      "   \"work\": \"idempotent\", \"timeout_ms\": 1000, \"slo_ms\": 250,\n"
      "   \"priority\": 2, \"regions\": [\"north\", \"south\"],\n"
      "   \"split\": [{\"service\": \"a\", \"weight\": 9},\n"
      "             {\"service\": \"b\", \"weight\": 1}]},\n"
      "  {\"name\": \"s\", \"address\": \"[2001:db8::1]:443\",\n"
      "   \"work\": \"once\", \"timeout_ms\": 800, \"slo_ms\": 800,\n"
      "   \"priority\": 1, \"service\": \"b\"}]}";

static const char *const regions[] = { "north", "south", "north" };

/* Private functions.  */

/* Appends FINDING to CTX, a GString, as one line.  */
static void
append_finding (void *ctx, const struct hs_finding *finding)
{
  g_string_append_printf (
      ctx, "%s %s %s %s %s %s\n", hs_finding_severity_name (finding->severity),
      hs_finding_kind_name (finding->kind),
      finding->route != NULL ? finding->route : "-",
      finding->service != NULL ? finding->service : "-",
      finding->field != NULL ? finding->field : "-", finding->message);
}

/* Returns the clean configuration after EDIT, if it has a FROM.  */
static struct hs_configuration *
make_configuration (void *parent, struct edit edit)
{
  g_autoptr (GString) text = g_string_new (clean);
  g_autoptr (GError) error = NULL;
  struct hs_configuration *configuration;

  if (edit.from != NULL)
    g_assert_cmpuint (g_string_replace (text, edit.from, edit.to, 1), ==, 1);
  configuration
      = hs_configuration_parse (parent, text->str, text->len, &error);
  g_assert_no_error (error);
  return configuration;
}

static void
assert_review (const struct hs_configuration *configuration,
               size_t regions_len, const char *findings)
{
  g_autoptr (GString) text = g_string_new (NULL);

  hs_configuration_review (configuration, regions, regions_len, append_finding,
                           text);
  g_assert_cmpstr (text->str, ==, findings);
}

static void
assert_differences (const struct hs_configuration *configuration,
                    const struct hs_configuration *previous,
                    const char *findings)
{
  g_autoptr (GString) text = g_string_new (NULL);

  hs_configuration_compare (configuration, previous, append_finding, text);
  g_assert_cmpstr (text->str, ==, findings);
}

/* Guards against findings on a configuration that has nothing wrong.  */
static void
test_clean (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  const struct hs_configuration *configuration
      = make_configuration (root, (struct edit){ NULL, NULL });

  assert_review (configuration, 0, "");
  assert_review (configuration, G_N_ELEMENTS (regions), "");
  assert_differences (configuration, configuration, "");
}

/* Guards against a mistake that is missed, reported twice, or reported at the
   wrong place.  */
static void
test_warnings (void)
{
  static const struct review_case cases[] = {
    { { "\"weight\": 1", "\"weight\": 0" },
      "warning weight-zero r b split the service gets none of the route's "
      "flows: its weight is 0\n" },
    { { "198.18.0.1:443", "0.0.0.0:443" },
      "warning address-unreachable r - address the route never matches: the "
      "IP address is unspecified\n" },
    { { "2001:db8::1", "::" },
      "warning address-unreachable s - address the route never matches: the "
      "IP address is unspecified\n" },
    { { "198.18.0.1:443", "239.1.2.3:443" },
      "warning address-unreachable r - address the route never matches: the "
      "IP address is not a unicast address\n" },
    { { "2001:db8::1", "ff02::1" },
      "warning address-unreachable s - address the route never matches: the "
      "IP address is not a unicast address\n" },
    { { "\"south\"", "\"west\"" },
      "warning region-unknown r - regions no zone is in the region west\n" },
    { { "\"north\", \"south\"", "\"east\", \"west\"" },
      "warning regions-unmatched r - regions all flows are refused: no zone "
      "is in any of the regions\n" },
    { { "\"timeout_ms\": 800", "\"timeout_ms\": 799" },
      "warning limit-below-objective s - timeout_ms the time limit of 799 ms "
      "is below the latency objective of 800 ms\n" },
    { { "\"slo_ms\": 250", "\"slo_ms\": 0" },
      "warning objective-zero r - slo_ms the route has no latency "
      "objective\n" },
    { { "15000", "999" },
      "warning idle-timeout-short - - flow_idle_ms flows that are silent for "
      "999 ms are removed: expected at least 1000 ms, or 0 for no limit\n" },
    { { "[\"a\",", "[\"a\", \"c\"," },
      "warning service-unused - c services no route uses the service\n" },
    { { "15000", "1000" }, "" },
    { { "15000", "0" }, "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      HS_AUTO_TALLOC struct hs_configuration *configuration
          = make_configuration (NULL, cases[i].edit);

      assert_review (configuration, G_N_ELEMENTS (regions), cases[i].findings);
    }
}

/* Guards against a flow to port 0, which the JSON formats do not allow, and
   against regions that are checked although the zones are not known.  */
static void
test_other_inputs (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_configuration *configuration
      = make_configuration (root, (struct edit){ "\"south\"", "\"west\"" });

  assert_review (configuration, 0, "");
  configuration->routes[1].address.port = 0;
  assert_review (configuration, 0,
                 "warning address-unreachable s - address the route never "
                 "matches: no flow goes to port 0\n");
}

/* Guards against an error that hides another one, and against an error that is
   found twice.  */
static void
test_errors (void)
{
  static const struct review_case cases[] = {
    { { "\"timeout_ms\": 1000", "\"timeout_ms\": 0" },
      "error invalid r - - the timeout must not be 0 ms\n" },
    { { "\"weight\": 9},\n             {\"service\": \"b\", \"weight\": 1}",
        "\"weight\": 0}" },
      "error invalid r - - the sum of the services' weights must be 1 to "
      "4294967295\n" },
    { { "[2001:db8::1]:443", "198.18.0.1:443" },
      "error invalid s - - no other route may have the same address\n" },
    { { "\"services\": [\"a\",", "\"services\": [\"c\"," },
      "error invalid r - - each of its services must be in the list of "
      "services\n"
      "warning service-unused - c services no route uses the service\n" },
  };
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_configuration *configuration;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    assert_review (make_configuration (root, cases[i].edit), 0,
                   cases[i].findings);
  configuration = make_configuration (root, (struct edit){ NULL, NULL });
  configuration->routes[0].timeout_ms = 0;
  configuration->routes[1].splits_len = 0;
  assert_review (configuration, 0,
                 "error invalid r - - the timeout must not be 0 ms\n"
                 "error invalid s - - the number of services must be 1 to "
                 "8\n");
}

/* Guards against the wrong route being named when many routes are valid before
   and after the first with an address that is taken.  */
static void
test_same_address (void)
{
  enum
  {
    ROUTES = 100
  };
  static const size_t seconds[] = { 1, 2, 49, 50, 98, ROUTES - 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (seconds); i++)
    {
      HS_AUTO_TALLOC struct hs_configuration *configuration
          = make_configuration (NULL, (struct edit){ NULL, NULL });
      struct hs_service_route *routes
          = talloc_array (configuration, struct hs_service_route, ROUTES);
      g_autofree char *expected = g_strdup_printf (
          "error invalid r%zu - - no other route may have the same address\n",
          seconds[i]);

      for (size_t j = 0; j < ROUTES; j++)
        {
          routes[j] = configuration->routes[0];
          routes[j].name = talloc_asprintf (routes, "r%zu", j);
          routes[j].address.port = (uint16_t)(j + 1);
        }
      routes[seconds[i]].address = routes[0].address;
      configuration->routes = routes;
      configuration->routes_len = ROUTES;
      assert_review (configuration, 0, expected);
    }
}

/* Guards against a changed field that is not reported.  */
static void
test_changes (void)
{
  static const struct review_case cases[] = {
    { { "198.18.0.1:443", "198.18.0.2:443" },
      "route-changed r - address 198.18.0.1:443 -> 198.18.0.2:443\n" },
    { { "\"once\"", "\"upload\"" },
      "route-changed s - work once -> upload\n" },
    { { "\"timeout_ms\": 1000", "\"timeout_ms\": 900" },
      "route-changed r - timeout_ms 1000 -> 900\n" },
    { { "\"slo_ms\": 250", "\"slo_ms\": 300" },
      "route-changed r - slo_ms 250 -> 300\n" },
    { { "\"priority\": 1", "\"priority\": 3" },
      "route-changed s - priority 1 -> 3\n" },
    { { "\"weight\": 1", "\"weight\": 4" },
      "route-changed r - split a:9,b:1 -> a:9,b:4\n" },
    { { "\"service\": \"b\"}]}", "\"service\": \"a\"}]}" },
      "route-changed s - split b:1 -> a:1\n" },
    { { "\"north\", \"south\"", "\"north\"" },
      "route-changed r - regions north,south -> north\n" },
    { { "\"priority\": 1", "\"regions\": [\"north\"], \"priority\": 1" },
      "route-changed s - regions all -> north\n" },
    { { "\"s\"", "\"t\"" },
      "route-added t - - the route is added\n"
      "difference route-removed s - - the route is removed\n" },
    { { "[\"a\",", "[\"a\", \"c\"," },
      "service-added - c - the service is added\n" },
    { { ": 20}", ": 12.5}" },
      "service-changed - b cold_flows_per_s 20 -> 12.5\n" },
    { { "15000", "9000" },
      "setting-changed - - flow_idle_ms 15000 -> 9000\n" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      HS_AUTO_TALLOC void *root = talloc_new (NULL);
      const struct hs_configuration *previous
          = make_configuration (root, (struct edit){ NULL, NULL });
      struct hs_configuration *configuration
          = make_configuration (root, cases[i].edit);
      g_autofree char *expected
          = g_strdup_printf ("difference %s", cases[i].findings);

      configuration->version++;
      assert_differences (configuration, previous, expected);
    }
}

/* Guards against differences where none has an effect, and against a service
   that is removed unnoticed.  */
static void
test_equal_and_removed (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  const struct hs_configuration *previous
      = make_configuration (root, (struct edit){ NULL, NULL });
  struct hs_configuration *configuration = make_configuration (
      root, (struct edit){ "\"north\", \"south\"", "\"south\", \"north\"" });
  struct hs_service_route first = configuration->routes[0];

  configuration->version++;
  configuration->routes[0] = configuration->routes[1];
  configuration->routes[1] = first;
  assert_differences (configuration, previous, "");
  configuration->services_len--;
  assert_differences (
      configuration, previous,
      "difference service-removed - b - the service is removed\n");
}

/* Guards against routes that share a name being paired with each other's
   predecessors.  */
static void
test_shared_name (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct edit edit = { "\"s\"", "\"r\"" };
  const struct hs_configuration *previous = make_configuration (root, edit);
  struct hs_configuration *configuration = make_configuration (root, edit);

  configuration->version++;
  configuration->routes++;
  configuration->routes_len--;
  assert_differences (configuration, previous,
                      "difference route-removed r - - the route is removed\n");
  assert_differences (previous, configuration,
                      "difference route-added r - - the route is added\n"
                      "warning version-not-higher - - version the "
                      "configuration would be acknowledged and change "
                      "nothing: version 7 is not higher than 8\n");
}

/* Guards against a version that changes nothing and is not noticed.  */
static void
test_version (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  const struct hs_configuration *previous
      = make_configuration (root, (struct edit){ NULL, NULL });
  struct hs_configuration *configuration
      = make_configuration (root, (struct edit){ "15000", "9000" });

  assert_differences (
      configuration, previous,
      "difference setting-changed - - flow_idle_ms 15000 -> 9000\n"
      "warning version-not-higher - - version the configuration would be "
      "acknowledged and change nothing: version 7 is not higher than 7\n");
  configuration->flow_idle_ms = previous->flow_idle_ms;
  configuration->version = 6;
  assert_differences (
      configuration, previous,
      "warning version-not-higher - - version the configuration would be "
      "acknowledged and change nothing: version 6 is not higher than 7\n");
}

/* Public definitions.  */

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/review/clean", test_clean);
  g_test_add_func ("/review/warnings", test_warnings);
  g_test_add_func ("/review/other-inputs", test_other_inputs);
  g_test_add_func ("/review/errors", test_errors);
  g_test_add_func ("/review/same-address", test_same_address);
  g_test_add_func ("/review/changes", test_changes);
  g_test_add_func ("/review/equal-and-removed", test_equal_and_removed);
  g_test_add_func ("/review/shared-name", test_shared_name);
  g_test_add_func ("/review/version", test_version);
  return g_test_run ();
}
