/* compare.c -- finds the differences between two configurations.  */

#include "base/auto.h"
#include "document/finding.h"

#include <string.h>

/* Types.  */

/* A route or service of the previous configuration.  */
struct previous_item
{
  struct hs_table_node node;
  const char *name;
  const struct hs_addr *address; /* Of a route; NULL for a service.  */
  const void *value; /* struct hs_service_route or hs_configured_service.  */
  bool paired;
};

/* What to look for among the previous items.  */
struct item_key
{
  const char *name;
  const struct hs_addr *address; /* NULL: any.  */
};

struct comparison
{
  const struct hs_configuration *configuration;
  const struct hs_configuration *previous;
  struct hs_finding_sink sink;
  size_t differences;
};

/* Private functions.  */

static void compare_routes (struct comparison *comparison);
static struct previous_item *index_routes (void *parent,
                                           struct hs_table *table,
                                           const struct comparison *compared);
static void pair_routes (const struct hs_configuration *configuration,
                         const struct hs_table *table, bool by_address,
                         const struct hs_service_route **pairs);
static void compare_route (struct comparison *comparison,
                           const struct hs_service_route *route,
                           const struct hs_service_route *previous);
static void compare_addresses (struct comparison *comparison,
                               const struct hs_service_route *route,
                               const struct hs_service_route *previous);
static void compare_numbers (struct comparison *comparison, const char *route,
                             const char *field, uint32_t value,
                             uint32_t previous);
static void compare_splits (struct comparison *comparison,
                            const struct hs_service_route *route,
                            const struct hs_service_route *previous);
static char *format_splits (const struct hs_service_route *route);
static void compare_regions (struct comparison *comparison,
                             const struct hs_service_route *route,
                             const struct hs_service_route *previous);
static bool has_regions (const struct hs_service_route *route,
                         const struct hs_service_route *regions);
static char *format_regions (const struct hs_service_route *route);
static void compare_services (struct comparison *comparison);
static void compare_service (struct comparison *comparison,
                             const struct hs_configured_service *service,
                             const struct hs_configured_service *previous);
static void compare_settings (struct comparison *comparison);
static void compare_versions (struct comparison *comparison);
static struct previous_item *find_item (const struct hs_table *table,
                                        struct item_key key);
static bool match_item (const struct hs_table_node *node, const void *key);
static void report_route (struct comparison *comparison,
                          enum hs_finding_kind kind, const char *route,
                          const char *message);
static void report_service (struct comparison *comparison,
                            enum hs_finding_kind kind, const char *service,
                            const char *message);
static void report_change (struct comparison *comparison, const char *route,
                           const char *field, const char *previous,
                           const char *value);

/* Public definitions.  */

void
hs_configuration_compare (const struct hs_configuration *configuration,
                          const struct hs_configuration *previous,
                          hs_finding_fn *fn, void *ctx)
{
  struct comparison comparison = { configuration, previous, { fn, ctx }, 0 };

  compare_settings (&comparison);
  compare_routes (&comparison);
  compare_services (&comparison);
  compare_versions (&comparison);
}

/* Private definitions.  */

static void
compare_routes (struct comparison *comparison)
{
  const struct hs_configuration *configuration = comparison->configuration;
  HS_AUTO_TALLOC void *scratch = talloc_new (NULL);
  struct hs_table *table = hs_table_create (scratch);
  const struct previous_item *items
      = index_routes (scratch, table, comparison);
  const struct hs_service_route **pairs = talloc_zero_array (
      scratch, const struct hs_service_route *, configuration->routes_len);

  pair_routes (configuration, table, true, pairs);
  pair_routes (configuration, table, false, pairs);
  for (size_t i = 0; i < configuration->routes_len; i++)
    if (pairs[i] != NULL)
      compare_route (comparison, &configuration->routes[i], pairs[i]);
    else
      report_route (comparison, HS_FINDING_ROUTE_ADDED,
                    configuration->routes[i].name, "the route is added");
  for (size_t i = 0; i < comparison->previous->routes_len; i++)
    if (!items[i].paired)
      report_route (comparison, HS_FINDING_ROUTE_REMOVED, items[i].name,
                    "the route is removed");
}

/* Enters the previous routes in TABLE.  Returns their items, talloc children
   of PARENT.  */
static struct previous_item *
index_routes (void *parent, struct hs_table *table,
              const struct comparison *compared)
{
  const struct hs_configuration *previous = compared->previous;
  struct previous_item *items
      = talloc_zero_array (parent, struct previous_item, previous->routes_len);

  for (size_t i = 0; i < previous->routes_len; i++)
    {
      items[i].name = previous->routes[i].name;
      items[i].address = &previous->routes[i].address;
      items[i].value = &previous->routes[i];
      hs_table_insert (table, &items[i].node, hs_id_from_name (items[i].name));
    }
  return items;
}

/* Sets PAIRS to the previous routes of those routes that have none yet.
   BY_ADDRESS: the address must be the same, not only the name.  */
static void
pair_routes (const struct hs_configuration *configuration,
             const struct hs_table *table, bool by_address,
             const struct hs_service_route **pairs)
{
  for (size_t i = 0; i < configuration->routes_len; i++)
    {
      const struct hs_service_route *route = &configuration->routes[i];
      struct item_key key
          = { route->name, by_address ? &route->address : NULL };

      if (pairs[i] == NULL)
        {
          const struct previous_item *item = find_item (table, key);

          pairs[i] = item != NULL ? item->value : NULL;
        }
    }
}

static void
compare_route (struct comparison *comparison,
               const struct hs_service_route *route,
               const struct hs_service_route *previous)
{
  compare_addresses (comparison, route, previous);
  if (route->request_class != previous->request_class)
    report_change (comparison, route->name, "work",
                   hs_request_class_name (previous->request_class),
                   hs_request_class_name (route->request_class));
  compare_numbers (comparison, route->name, "timeout_ms", route->timeout_ms,
                   previous->timeout_ms);
  compare_numbers (comparison, route->name, "slo_ms", route->slo_ms,
                   previous->slo_ms);
  compare_numbers (comparison, route->name, "priority", route->priority,
                   previous->priority);
  compare_splits (comparison, route, previous);
  compare_regions (comparison, route, previous);
}

static void
compare_addresses (struct comparison *comparison,
                   const struct hs_service_route *route,
                   const struct hs_service_route *previous)
{
  char from[HS_ADDR_TEXT_SIZE];
  char to[HS_ADDR_TEXT_SIZE];

  if (hs_addr_equal (&route->address, &previous->address))
    return;
  hs_addr_format (&previous->address, from);
  hs_addr_format (&route->address, to);
  report_change (comparison, route->name, "address", from, to);
}

/* ROUTE is the name of the route, or NULL for the configuration itself.  */
static void
compare_numbers (struct comparison *comparison, const char *route,
                 const char *field, uint32_t value, uint32_t previous)
{
  g_autofree char *from = g_strdup_printf ("%u", previous);
  g_autofree char *to = g_strdup_printf ("%u", value);

  if (value != previous)
    report_change (comparison, route, field, from, to);
}

/* The order of the splits counts, since it decides which flows a split
   gets.  */
static void
compare_splits (struct comparison *comparison,
                const struct hs_service_route *route,
                const struct hs_service_route *previous)
{
  g_autofree char *from = format_splits (previous);
  g_autofree char *to = format_splits (route);

  if (strcmp (from, to) != 0)
    report_change (comparison, route->name, "split", from, to);
}

static char *
format_splits (const struct hs_service_route *route)
{
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < route->splits_len; i++)
    g_string_append_printf (text, "%s%s:%u", i > 0 ? "," : "",
                            route->splits[i].service_name,
                            route->splits[i].weight);
  return g_string_free (text, FALSE);
}

static void
compare_regions (struct comparison *comparison,
                 const struct hs_service_route *route,
                 const struct hs_service_route *previous)
{
  g_autofree char *from = format_regions (previous);
  g_autofree char *to = format_regions (route);

  if (!has_regions (route, previous) || !has_regions (previous, route))
    report_change (comparison, route->name, "regions", from, to);
}

/* Returns whether ROUTE has all regions of the route REGIONS.  */
static bool
has_regions (const struct hs_service_route *route,
             const struct hs_service_route *regions)
{
  for (size_t i = 0; i < regions->regions_len; i++)
    {
      bool found = false;

      for (size_t j = 0; !found && j < route->regions_len; j++)
        found = strcmp (route->regions[j], regions->regions[i]) == 0;
      if (!found)
        return false;
    }
  return true;
}

static char *
format_regions (const struct hs_service_route *route)
{
  GString *text = g_string_new (route->regions_len == 0 ? "all" : "");

  for (size_t i = 0; i < route->regions_len; i++)
    g_string_append_printf (text, "%s%s", i > 0 ? "," : "", route->regions[i]);
  return g_string_free (text, FALSE);
}

static void
compare_services (struct comparison *comparison)
{
  const struct hs_configuration *configuration = comparison->configuration;
  const struct hs_configuration *previous = comparison->previous;
  HS_AUTO_TALLOC void *scratch = talloc_new (NULL);
  struct hs_table *table = hs_table_create (scratch);
  struct previous_item *items = talloc_zero_array (
      scratch, struct previous_item, previous->services_len);

  for (size_t i = 0; i < previous->services_len; i++)
    {
      items[i].name = previous->services[i].name;
      items[i].value = &previous->services[i];
      hs_table_insert (table, &items[i].node, hs_id_from_name (items[i].name));
    }
  for (size_t i = 0; i < configuration->services_len; i++)
    {
      const struct hs_configured_service *service
          = &configuration->services[i];
      const struct previous_item *item
          = find_item (table, (struct item_key){ service->name, NULL });

      if (item != NULL)
        compare_service (comparison, service, item->value);
      else
        report_service (comparison, HS_FINDING_SERVICE_ADDED, service->name,
                        "the service is added");
    }
  for (size_t i = 0; i < previous->services_len; i++)
    if (!items[i].paired)
      report_service (comparison, HS_FINDING_SERVICE_REMOVED, items[i].name,
                      "the service is removed");
}

static void
compare_service (struct comparison *comparison,
                 const struct hs_configured_service *service,
                 const struct hs_configured_service *previous)
{
  if (service->cold_flow_rate == previous->cold_flow_rate)
    return;
  comparison->differences++;
  hs_finding_report (&comparison->sink,
                     (struct hs_finding){ .severity = HS_FINDING_DIFFERENCE,
                                          .kind = HS_FINDING_SERVICE_CHANGED,
                                          .service = service->name,
                                          .field = "cold_flows_per_s" },
                     "%g -> %g", previous->cold_flow_rate / 1000.0,
                     service->cold_flow_rate / 1000.0);
}

static void
compare_settings (struct comparison *comparison)
{
  compare_numbers (comparison, NULL, "flow_idle_ms",
                   comparison->configuration->flow_idle_ms,
                   comparison->previous->flow_idle_ms);
}

/* Call it last: the same configuration under the same version is no
   mistake.  */
static void
compare_versions (struct comparison *comparison)
{
  uint64_t version = comparison->configuration->version;
  uint64_t previous = comparison->previous->version;

  if (version > previous
      || (version == previous && comparison->differences == 0))
    return;
  hs_finding_report (
      &comparison->sink,
      (struct hs_finding){ .severity = HS_FINDING_WARNING,
                           .kind = HS_FINDING_VERSION_NOT_HIGHER,
                           .field = "version" },
      "the configuration would be acknowledged and change "
      "nothing: version %llu is not higher than %llu",
      (unsigned long long)version, (unsigned long long)previous);
}

/* Returns an item for KEY that has not been paired yet, and marks it as
   paired, or returns NULL.  */
static struct previous_item *
find_item (const struct hs_table *table, struct item_key key)
{
  struct hs_table_node *node
      = hs_table_find (table, hs_id_from_name (key.name), match_item, &key);
  struct previous_item *item;

  if (node == NULL)
    return NULL;
  item = HS_LIST_ENTRY (node, struct previous_item, node);
  item->paired = true;
  return item;
}

static bool
match_item (const struct hs_table_node *node, const void *key)
{
  const struct previous_item *item
      = HS_LIST_ENTRY (node, struct previous_item, node);
  const struct item_key *wanted = key;

  return !item->paired && strcmp (item->name, wanted->name) == 0
         && (wanted->address == NULL
             || hs_addr_equal (item->address, wanted->address));
}

static void
report_route (struct comparison *comparison, enum hs_finding_kind kind,
              const char *route, const char *message)
{
  comparison->differences++;
  hs_finding_report (&comparison->sink,
                     (struct hs_finding){ .severity = HS_FINDING_DIFFERENCE,
                                          .kind = kind,
                                          .route = route },
                     "%s", message);
}

static void
report_service (struct comparison *comparison, enum hs_finding_kind kind,
                const char *service, const char *message)
{
  comparison->differences++;
  hs_finding_report (&comparison->sink,
                     (struct hs_finding){ .severity = HS_FINDING_DIFFERENCE,
                                          .kind = kind,
                                          .service = service },
                     "%s", message);
}

/* ROUTE is the name of the route, or NULL for the configuration itself.  */
static void
report_change (struct comparison *comparison, const char *route,
               const char *field, const char *previous, const char *value)
{
  comparison->differences++;
  hs_finding_report (
      &comparison->sink,
      (struct hs_finding){ .severity = HS_FINDING_DIFFERENCE,
                           .kind = route != NULL ? HS_FINDING_ROUTE_CHANGED
                                                 : HS_FINDING_SETTING_CHANGED,
                           .route = route,
                           .field = field },
      "%s -> %s", previous, value);
}
