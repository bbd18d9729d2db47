/* routing.c -- checks configurations and finds the route of an address.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/* Types.  */

struct hs_routing
{
  uint64_t version;
  uint32_t flow_idle_ms;
  struct hs_table *by_address;
  struct hs_list rules;         /* struct hs_routing_rule  */
  struct hs_table *cold_limits; /* struct cold_limit, by service id.  */
};

/* A service whose upstreams bear only some new flows while they are cold.  */
struct cold_limit
{
  struct hs_table_node node;
  uint64_t service_id;
  uint32_t flow_rate; /* New flows in 1,000 s; not 0.  */
};

/* Private functions.  */

static bool check_route (const struct hs_configuration *configuration,
                         const struct hs_service_route *route, GError **error);
static bool check_splits (const struct hs_configuration *configuration,
                          const struct hs_service_route *route,
                          GError **error);
static bool check_addresses (void *parent,
                             const struct hs_configuration *configuration,
                             GError **error);
static bool has_service (const struct hs_configuration *configuration,
                         const char *service);
static void add_rule (struct hs_routing *routing,
                      const struct hs_service_route *route);
static void add_regions (struct hs_routing_rule *rule,
                         const struct hs_service_route *route);
static void add_cold_limit (struct hs_routing *routing,
                            const struct hs_configured_service *service);
static void add_former (struct hs_routing_rule *rule, uint64_t service_id,
                        uint64_t until);
static uint64_t address_hash (const struct hs_addr *address);
static bool match_address (const struct hs_table_node *node, const void *key);
static bool match_service (const struct hs_table_node *node, const void *key);
static bool set_error (const struct hs_service_route *route,
                       const char *requirement, GError **error);

/* Public definitions.  */

bool
hs_configuration_check (const struct hs_configuration *configuration,
                        GError **error)
{
  void *scratch = talloc_new (NULL);
  bool valid = true;

  for (size_t i = 0; valid && i < configuration->routes_len; i++)
    valid = check_route (configuration, &configuration->routes[i], error);
  valid = valid && check_addresses (scratch, configuration, error);
  talloc_free (scratch);
  return valid;
}

struct hs_routing *
hs_routing_create (void *parent, const struct hs_configuration *configuration)
{
  struct hs_routing *routing = talloc_zero (parent, struct hs_routing);

  routing->version = configuration->version;
  routing->flow_idle_ms = configuration->flow_idle_ms;
  routing->by_address = hs_table_create (routing);
  hs_list_init (&routing->rules);
  for (size_t i = 0; i < configuration->routes_len; i++)
    add_rule (routing, &configuration->routes[i]);
  routing->cold_limits = hs_table_create (routing);
  for (size_t i = 0; i < configuration->services_len; i++)
    add_cold_limit (routing, &configuration->services[i]);
  return routing;
}

void
hs_routing_destroy (struct hs_routing *routing)
{
  talloc_free (routing);
}

void
hs_routing_inherit (struct hs_routing *routing,
                    const struct hs_routing *previous, uint64_t now,
                    uint64_t until)
{
  HS_LIST_FOREACH (link, &routing->rules)
    {
      struct hs_routing_rule *rule
          = HS_LIST_ENTRY (link, struct hs_routing_rule, link);
      const struct hs_routing_rule *old
          = hs_routing_find (previous, &rule->address);

      if (old == NULL)
        continue;
      for (size_t i = 0; i < old->splits_len; i++)
        add_former (rule, old->splits[i].service_id, until);
      for (size_t i = 0; i < old->former_len; i++)
        if (old->former[i].until > now)
          add_former (rule, old->former[i].service_id, old->former[i].until);
    }
}

uint64_t
hs_routing_version (const struct hs_routing *routing)
{
  return routing->version;
}

uint64_t
hs_routing_generation (const struct hs_routing *routing)
{
  return routing != NULL ? hs_configuration_generation (routing->version) : 0;
}

uint32_t
hs_routing_flow_idle_ms (const struct hs_routing *routing)
{
  return routing->flow_idle_ms;
}

uint32_t
hs_routing_cold_flow_rate (const struct hs_routing *routing,
                           uint64_t service_id)
{
  const struct hs_table_node *node = hs_table_find (
      routing->cold_limits, service_id, match_service, &service_id);

  return node != NULL
             ? HS_LIST_ENTRY (node, struct cold_limit, node)->flow_rate
             : 0;
}

const struct hs_routing_rule *
hs_routing_find (const struct hs_routing *routing,
                 const struct hs_addr *address)
{
  struct hs_table_node *node = hs_table_find (
      routing->by_address, address_hash (address), match_address, address);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_routing_rule, node)
                      : NULL;
}

uint64_t
hs_routing_pick_service (const struct hs_routing_rule *rule, uint64_t hash)
{
  uint32_t point = (uint32_t)(hash % rule->total_weight);

  for (size_t i = 0; i < rule->splits_len; i++)
    {
      if (point < rule->splits[i].weight)
        return rule->splits[i].service_id;
      point -= rule->splits[i].weight;
    }
  return rule->splits[0].service_id;
}

/* Private definitions.  */

static bool
check_route (const struct hs_configuration *configuration,
             const struct hs_service_route *route, GError **error)
{
  if (route->timeout_ms == 0)
    return set_error (route, "the timeout must not be 0 ms", error);
  return check_splits (configuration, route, error);
}

static bool
check_splits (const struct hs_configuration *configuration,
              const struct hs_service_route *route, GError **error)
{
  uint64_t weight = 0;

  if (route->splits_len == 0 || route->splits_len > HS_SPLITS_MAX)
    return set_error (route, "the number of services must be 1 to 8", error);
  for (size_t i = 0; i < route->splits_len; i++)
    {
      if (!has_service (configuration, route->splits[i].service_name))
        return set_error (
            route, "each of its services must be in the list of services",
            error);
      weight += route->splits[i].weight;
    }
  if (weight == 0 || weight > UINT32_MAX)
    return set_error (route,
                      "the sum of the services' weights must be 1 to "
                      "4294967295",
                      error);
  return true;
}

static bool
check_addresses (void *parent, const struct hs_configuration *configuration,
                 GError **error)
{
  struct hs_table *seen = hs_table_create (parent);

  for (size_t i = 0; i < configuration->routes_len; i++)
    {
      const struct hs_service_route *route = &configuration->routes[i];
      uint64_t hash = address_hash (&route->address);
      struct hs_routing_rule *rule;

      if (hs_table_find (seen, hash, match_address, &route->address) != NULL)
        return set_error (route, "no other route may have the same address",
                          error);
      rule = talloc_zero (parent, struct hs_routing_rule);
      rule->address = route->address;
      hs_table_insert (seen, &rule->node, hash);
    }
  return true;
}

static bool
has_service (const struct hs_configuration *configuration, const char *service)
{
  for (size_t i = 0; i < configuration->services_len; i++)
    if (strcmp (configuration->services[i].name, service) == 0)
      return true;
  return false;
}

static void
add_rule (struct hs_routing *routing, const struct hs_service_route *route)
{
  struct hs_routing_rule *rule = talloc_zero (routing, struct hs_routing_rule);

  rule->address = route->address;
  rule->request_class = route->request_class;
  rule->slo_ms = route->slo_ms;
  rule->timeout_ms = route->timeout_ms;
  rule->priority = route->priority;
  add_regions (rule, route);
  rule->splits_len = route->splits_len;
  for (size_t i = 0; i < route->splits_len; i++)
    {
      rule->splits[i].service_id
          = hs_id_from_name (route->splits[i].service_name);
      rule->splits[i].weight = route->splits[i].weight;
      rule->total_weight += route->splits[i].weight;
    }
  hs_table_insert (routing->by_address, &rule->node,
                   address_hash (&rule->address));
  hs_list_init (&rule->link);
  hs_list_append (&routing->rules, &rule->link);
}

static void
add_regions (struct hs_routing_rule *rule,
             const struct hs_service_route *route)
{
  rule->regions.len = route->regions_len;
  for (size_t i = 0; i < route->regions_len; i++)
    rule->regions.ids[i] = hs_id_from_name (route->regions[i]);
}

static void
add_cold_limit (struct hs_routing *routing,
                const struct hs_configured_service *service)
{
  struct cold_limit *limit;

  if (service->cold_flow_rate == 0)
    return;
  limit = talloc_zero (routing, struct cold_limit);
  limit->service_id = hs_id_from_name (service->name);
  limit->flow_rate = service->cold_flow_rate;
  hs_table_insert (routing->cold_limits, &limit->node, limit->service_id);
}

/* Does nothing if the rule has the service already, or HS_SPLITS_MAX former
   ones.  Call it for the latest services first.  */
static void
add_former (struct hs_routing_rule *rule, uint64_t service_id, uint64_t until)
{
  for (size_t i = 0; i < rule->splits_len; i++)
    if (rule->splits[i].service_id == service_id)
      return;
  for (size_t i = 0; i < rule->former_len; i++)
    if (rule->former[i].service_id == service_id)
      return;
  if (rule->former_len < HS_SPLITS_MAX)
    rule->former[rule->former_len++]
        = (struct hs_former_service){ service_id, until };
}

static uint64_t
address_hash (const struct hs_addr *address)
{
  return XXH3_64bits_withSeed (address->ip, sizeof address->ip, address->port);
}

static bool
match_address (const struct hs_table_node *node, const void *key)
{
  return hs_addr_equal (
      &HS_LIST_ENTRY (node, struct hs_routing_rule, node)->address, key);
}

static bool
match_service (const struct hs_table_node *node, const void *key)
{
  const uint64_t *service_id = key;

  return HS_LIST_ENTRY (node, struct cold_limit, node)->service_id
         == *service_id;
}

static bool
set_error (const struct hs_service_route *route, const char *requirement,
           GError **error)
{
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID, "route %s: %s", route->name,
               requirement);
  return false;
}
