/* review.c -- finds errors and likely mistakes in a configuration.

   Errors are those of hs_configuration_check, so that a review and the control
   group never disagree.  */

#include "base/addr.h"
#include "base/auto.h"
#include "document/finding.h"

#include <string.h>

/* Types.  */

struct review
{
  const struct hs_configuration *configuration;
  const char *const *regions; /* Of all availability zones.  */
  size_t regions_len;
  struct hs_finding_sink sink;
};

/* A service of the configuration.  */
struct named_service
{
  struct hs_table_node node;
  const char *name;
  bool used; /* A route names it.  */
};

static const char *const severity_names[]
    = { [HS_FINDING_ERROR] = "error",
        [HS_FINDING_WARNING] = "warning",
        [HS_FINDING_DIFFERENCE] = "difference" };

static const char *const kind_names[]
    = { [HS_FINDING_INVALID] = "invalid",
        [HS_FINDING_ADDRESS_UNREACHABLE] = "address-unreachable",
        [HS_FINDING_WEIGHT_ZERO] = "weight-zero",
        [HS_FINDING_REGION_UNKNOWN] = "region-unknown",
        [HS_FINDING_REGIONS_UNMATCHED] = "regions-unmatched",
        [HS_FINDING_LIMIT_BELOW_OBJECTIVE] = "limit-below-objective",
        [HS_FINDING_OBJECTIVE_ZERO] = "objective-zero",
        [HS_FINDING_IDLE_TIMEOUT_SHORT] = "idle-timeout-short",
        [HS_FINDING_SERVICE_UNUSED] = "service-unused",
        [HS_FINDING_VERSION_NOT_HIGHER] = "version-not-higher",
        [HS_FINDING_SETTING_CHANGED] = "setting-changed",
        [HS_FINDING_ROUTE_ADDED] = "route-added",
        [HS_FINDING_ROUTE_REMOVED] = "route-removed",
        [HS_FINDING_ROUTE_CHANGED] = "route-changed",
        [HS_FINDING_SERVICE_ADDED] = "service-added",
        [HS_FINDING_SERVICE_REMOVED] = "service-removed",
        [HS_FINDING_SERVICE_CHANGED] = "service-changed" };

_Static_assert(G_N_ELEMENTS (kind_names) == HS_FINDING_KIND_COUNT,
               "each kind of finding has a name");

/* Private functions.  */

static size_t review_routes_alone (const struct review *review);
static void review_routes_together (const struct review *review);
static bool check_range (const struct hs_configuration *configuration,
                         size_t first, size_t len, GError **error);
static void report_error (const struct review *review,
                          const struct hs_service_route *route,
                          const char *message);
static void review_route (const struct review *review,
                          const struct hs_service_route *route);
static void review_address (const struct review *review,
                            const struct hs_service_route *route);
static const char *find_address_fault (const struct hs_addr *address);
static void review_splits (const struct review *review,
                           const struct hs_service_route *route);
static void review_regions (const struct review *review,
                            const struct hs_service_route *route);
static bool is_known_region (const struct review *review, const char *region);
static void review_limits (const struct review *review,
                           const struct hs_service_route *route);
static void review_idle_timeout (const struct review *review);
static void review_services (const struct review *review);
static void mark_used (const struct hs_table *services,
                       const struct hs_service_route *route);
static bool match_service (const struct hs_table_node *node, const void *key);

/* Public definitions.  */

const char *
hs_finding_severity_name (enum hs_finding_severity severity)
{
  return severity_names[severity];
}

const char *
hs_finding_kind_name (enum hs_finding_kind kind)
{
  return kind_names[kind];
}

void
hs_configuration_review (const struct hs_configuration *configuration,
                         const char *const *regions, size_t regions_len,
                         hs_finding_fn *fn, void *ctx)
{
  const struct review review
      = { configuration, regions, regions_len, { fn, ctx } };

  if (review_routes_alone (&review) == 0)
    review_routes_together (&review);
  for (size_t i = 0; i < configuration->routes_len; i++)
    review_route (&review, &configuration->routes[i]);
  review_idle_timeout (&review);
  review_services (&review);
}

void
hs_finding_report (const struct hs_finding_sink *sink,
                   struct hs_finding finding, const char *format, ...)
{
  g_autofree char *message = NULL;
  va_list args;

  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  finding.message = message;
  sink->fn (sink->ctx, &finding);
}

/* Private definitions.  */

/* Reports the routes that are invalid whatever the other routes are.  Returns
   their number.  */
static size_t
review_routes_alone (const struct review *review)
{
  const struct hs_configuration *configuration = review->configuration;
  size_t invalid = 0;

  for (size_t i = 0; i < configuration->routes_len; i++)
    {
      g_autoptr (GError) error = NULL;

      if (check_range (configuration, i, 1, &error))
        continue;
      report_error (review, &configuration->routes[i], error->message);
      invalid++;
    }
  return invalid;
}

/* Reports the first route that is invalid together with those before it.  The
   routes before a given one stay invalid with more of them, so a binary search
   finds it.  */
static void
review_routes_together (const struct review *review)
{
  const struct hs_configuration *configuration = review->configuration;
  g_autoptr (GError) error = NULL;
  size_t valid = 0; /* The first VALID routes are valid together.  */
  size_t invalid = configuration->routes_len;

  if (check_range (configuration, 0, invalid, &error))
    return;
  while (valid + 1 < invalid)
    {
      size_t middle = valid + (invalid - valid) / 2;

      if (check_range (configuration, 0, middle, NULL))
        valid = middle;
      else
        invalid = middle;
    }
  report_error (review, &configuration->routes[invalid - 1], error->message);
}

/* Checks CONFIGURATION with LEN of its routes, from index FIRST.  */
static bool
check_range (const struct hs_configuration *configuration, size_t first,
             size_t len, GError **error)
{
  struct hs_configuration part = *configuration;

  part.routes = configuration->routes + first;
  part.routes_len = len;
  return hs_configuration_check (&part, error);
}

/* Reports MESSAGE of hs_configuration_check without the route in front.  */
static void
report_error (const struct review *review,
              const struct hs_service_route *route, const char *message)
{
  g_autofree char *prefix = g_strdup_printf ("route %s: ", route->name);
  size_t skip = g_str_has_prefix (message, prefix) ? strlen (prefix) : 0;

  hs_finding_report (&review->sink,
                     (struct hs_finding){ .severity = HS_FINDING_ERROR,
                                          .kind = HS_FINDING_INVALID,
                                          .route = route->name },
                     "%s", message + skip);
}

static void
review_route (const struct review *review,
              const struct hs_service_route *route)
{
  review_address (review, route);
  review_splits (review, route);
  review_regions (review, route);
  review_limits (review, route);
}

static void
review_address (const struct review *review,
                const struct hs_service_route *route)
{
  const char *fault = find_address_fault (&route->address);

  if (fault != NULL)
    hs_finding_report (
        &review->sink,
        (struct hs_finding){ .severity = HS_FINDING_WARNING,
                             .kind = HS_FINDING_ADDRESS_UNREACHABLE,
                             .route = route->name,
                             .field = "address" },
        "the route never matches: %s", fault);
}

/* Returns why no caller can open a flow to ADDRESS, or NULL.  */
static const char *
find_address_fault (const struct hs_addr *address)
{
  static const uint8_t unspecified[sizeof address->ip];
  const uint8_t *ipv4 = address->ip + 12;

  if (address->port == 0)
    return "no flow goes to port 0";
  if (memcmp (address->ip, unspecified, sizeof unspecified) == 0
      || (hs_addr_is_ipv4 (address) && ipv4[0] == 0))
    return "the IP address is unspecified";
  if (hs_addr_is_ipv4 (address) ? ipv4[0] >= 224 : address->ip[0] == 0xff)
    return "the IP address is not a unicast address";
  return NULL;
}

/* A route without any weight is invalid, and reported as such.  */
static void
review_splits (const struct review *review,
               const struct hs_service_route *route)
{
  uint64_t weight = 0;

  for (size_t i = 0; i < route->splits_len; i++)
    weight += route->splits[i].weight;
  for (size_t i = 0; weight != 0 && i < route->splits_len; i++)
    if (route->splits[i].weight == 0)
      hs_finding_report (
          &review->sink,
          (struct hs_finding){ .severity = HS_FINDING_WARNING,
                               .kind = HS_FINDING_WEIGHT_ZERO,
                               .route = route->name,
                               .service = route->splits[i].service_name,
                               .field = "split" },
          "the service gets none of the route's flows: its weight is 0");
}

static void
review_regions (const struct review *review,
                const struct hs_service_route *route)
{
  size_t known = 0;

  if (review->regions_len == 0 || route->regions_len == 0)
    return;
  for (size_t i = 0; i < route->regions_len; i++)
    known += is_known_region (review, route->regions[i]);
  if (known == 0)
    {
      hs_finding_report (
          &review->sink,
          (struct hs_finding){ .severity = HS_FINDING_WARNING,
                               .kind = HS_FINDING_REGIONS_UNMATCHED,
                               .route = route->name,
                               .field = "regions" },
          "all flows are refused: no zone is in any of the regions");
      return;
    }
  for (size_t i = 0; i < route->regions_len; i++)
    if (!is_known_region (review, route->regions[i]))
      hs_finding_report (
          &review->sink,
          (struct hs_finding){ .severity = HS_FINDING_WARNING,
                               .kind = HS_FINDING_REGION_UNKNOWN,
                               .route = route->name,
                               .field = "regions" },
          "no zone is in the region %s", route->regions[i]);
}

static bool
is_known_region (const struct review *review, const char *region)
{
  for (size_t i = 0; i < review->regions_len; i++)
    if (strcmp (review->regions[i], region) == 0)
      return true;
  return false;
}

static void
review_limits (const struct review *review,
               const struct hs_service_route *route)
{
  if (route->slo_ms == 0)
    hs_finding_report (&review->sink,
                       (struct hs_finding){ .severity = HS_FINDING_WARNING,
                                            .kind = HS_FINDING_OBJECTIVE_ZERO,
                                            .route = route->name,
                                            .field = "slo_ms" },
                       "the route has no latency objective");
  /* A limit of 0 is invalid, and reported as such.  */
  if (route->timeout_ms != 0 && route->timeout_ms < route->slo_ms)
    hs_finding_report (
        &review->sink,
        (struct hs_finding){ .severity = HS_FINDING_WARNING,
                             .kind = HS_FINDING_LIMIT_BELOW_OBJECTIVE,
                             .route = route->name,
                             .field = "timeout_ms" },
        "the time limit of %u ms is below the latency objective of %u ms",
        route->timeout_ms, route->slo_ms);
}

static void
review_idle_timeout (const struct review *review)
{
  uint32_t idle_ms = review->configuration->flow_idle_ms;

  if (idle_ms != 0 && idle_ms < HS_FLOW_IDLE_MIN_MS)
    hs_finding_report (
        &review->sink,
        (struct hs_finding){ .severity = HS_FINDING_WARNING,
                             .kind = HS_FINDING_IDLE_TIMEOUT_SHORT,
                             .field = "flow_idle_ms" },
        "flows that are silent for %u ms are removed: expected at least %u "
        "ms, or 0 for no limit",
        idle_ms, HS_FLOW_IDLE_MIN_MS);
}

/* Reports the services that no route names.  */
static void
review_services (const struct review *review)
{
  const struct hs_configuration *configuration = review->configuration;
  HS_AUTO_TALLOC void *scratch = talloc_new (NULL);
  struct hs_table *table = hs_table_create (scratch);
  struct named_service *services = talloc_zero_array (
      scratch, struct named_service, configuration->services_len);

  for (size_t i = 0; i < configuration->services_len; i++)
    {
      services[i].name = configuration->services[i].name;
      hs_table_insert (table, &services[i].node,
                       hs_id_from_name (services[i].name));
    }
  for (size_t i = 0; i < configuration->routes_len; i++)
    mark_used (table, &configuration->routes[i]);
  for (size_t i = 0; i < configuration->services_len; i++)
    if (!services[i].used)
      hs_finding_report (
          &review->sink,
          (struct hs_finding){ .severity = HS_FINDING_WARNING,
                               .kind = HS_FINDING_SERVICE_UNUSED,
                               .service = services[i].name,
                               .field = "services" },
          "no route uses the service");
}

static void
mark_used (const struct hs_table *services,
           const struct hs_service_route *route)
{
  for (size_t i = 0; i < route->splits_len; i++)
    {
      const char *name = route->splits[i].service_name;
      struct hs_table_node *node = hs_table_find (
          services, hs_id_from_name (name), match_service, name);

      if (node != NULL)
        HS_LIST_ENTRY (node, struct named_service, node)->used = true;
    }
}

static bool
match_service (const struct hs_table_node *node, const void *key)
{
  return strcmp (HS_LIST_ENTRY (node, struct named_service, node)->name, key)
         == 0;
}
