/* configuration.c -- parses the JSON of a configuration.

   Only syntax, types and names are checked here.  hs_configuration_check
   checks the values.  */

#include "base/auto.h"
#include "base/json.h"

#include <string.h>

/* Types.  */

#define DEFAULT_FLOW_IDLE_MS 15000 /* If flow_idle_ms is missing.  */
#define DEFAULT_WEIGHT 1           /* If a route has no "split".  */

static const char *const request_class_names[]
    = { [HS_REQUEST_CLASS_IDEMPOTENT] = "idempotent",
        [HS_REQUEST_CLASS_ONCE] = "once",
        [HS_REQUEST_CLASS_UPLOAD] = "upload",
        [HS_REQUEST_CLASS_DOWNLOAD] = "download" };

/* Private functions.  */

static bool read_configuration (const json_t *object,
                                struct hs_configuration *configuration,
                                GError **error);
static bool read_services (const json_t *array,
                           struct hs_configuration *configuration,
                           GError **error);
static bool read_service (const json_t *value, void *parent,
                          struct hs_configured_service *service,
                          GError **error);
static bool read_routes (const json_t *array,
                         struct hs_configuration *configuration,
                         GError **error);
static bool read_route (const json_t *object, void *parent,
                        struct hs_service_route *route, GError **error);
static bool read_request_class (const json_t *object,
                                enum hs_request_class *request_class,
                                GError **error);
static bool read_splits (const json_t *object, void *parent,
                         struct hs_service_route *route, GError **error);

/* Public definitions.  */

struct hs_configuration *
hs_configuration_parse (void *parent, const char *json, size_t len,
                        GError **error)
{
  HS_AUTO_JSON json_t *object = hs_json_load (json, len, error);
  struct hs_configuration *configuration
      = talloc_zero (parent, struct hs_configuration);

  if (object != NULL && read_configuration (object, configuration, error))
    return configuration;
  talloc_free (configuration);
  return NULL;
}

uint64_t
hs_configuration_generation (uint64_t version)
{
  return version + 1;
}

const char *
hs_request_class_name (enum hs_request_class request_class)
{
  return request_class_names[request_class];
}

/* Private definitions.  */

static bool
read_configuration (const json_t *object,
                    struct hs_configuration *configuration, GError **error)
{
  const json_t *services;
  const json_t *routes;

  configuration->flow_idle_ms = DEFAULT_FLOW_IDLE_MS;
  if (json_object_get (object, "flow_idle_ms") != NULL
      && !hs_json_uint32 (object, "flow_idle_ms", &configuration->flow_idle_ms,
                          error))
    return false;
  return hs_json_uint (object, "version", INT64_MAX, &configuration->version,
                       error)
         && hs_json_array (object, "services", &services, error)
         && hs_json_array (object, "routes", &routes, error)
         && read_services (services, configuration, error)
         && read_routes (routes, configuration, error);
}

static bool
read_services (const json_t *array, struct hs_configuration *configuration,
               GError **error)
{
  size_t len = json_array_size (array);

  configuration->services_len = len;
  configuration->services
      = talloc_zero_array (configuration, struct hs_configured_service, len);
  for (size_t i = 0; i < len; i++)
    if (!read_service (json_array_get (array, i), configuration,
                       &configuration->services[i], error))
      return false;
  return true;
}

/* Reads a service: its name, or an object with "name" and, if its upstreams
   bear only so many new flows a second while they are cold,
   "cold_flows_per_s".  */
static bool
read_service (const json_t *value, void *parent,
              struct hs_configured_service *service, GError **error)
{
  const char *name = json_string_value (value);

  if (json_is_object (value)
      && (!hs_json_name (value, "name", &name, error)
          || !hs_json_rate (value, "cold_flows_per_s",
                            &service->cold_flow_rate, error)))
    return false;
  if (name == NULL || !hs_name_is_valid (name))
    return hs_json_set_field_error ("services", error);
  service->name = talloc_strdup (parent, name);
  return true;
}

static bool
read_routes (const json_t *array, struct hs_configuration *configuration,
             GError **error)
{
  size_t len = json_array_size (array);

  configuration->routes_len = len;
  configuration->routes
      = talloc_zero_array (configuration, struct hs_service_route, len);
  for (size_t i = 0; i < len; i++)
    if (!read_route (json_array_get (array, i), configuration,
                     &configuration->routes[i], error))
      {
        g_prefix_error (error, "route %zu: ", i + 1);
        return false;
      }
  return true;
}

static bool
read_route (const json_t *object, void *parent, struct hs_service_route *route,
            GError **error)
{
  const char *name;
  const char *address;

  if (!hs_json_name (object, "name", &name, error)
      || !hs_json_string (object, "address", &address, error)
      || !hs_json_uint32 (object, "timeout_ms", &route->timeout_ms, error)
      || !hs_json_uint32 (object, "slo_ms", &route->slo_ms, error)
      || !hs_json_uint32 (object, "priority", &route->priority, error)
      || !read_request_class (object, &route->request_class, error))
    return false;
  if (!hs_addr_parse (address, &route->address))
    return hs_json_set_field_error ("address", error);
  route->name = talloc_strdup (parent, name);
  return read_splits (object, parent, route, error)
         && hs_json_names (object, "regions", parent, HS_ROUTE_REGIONS_MAX,
                           &route->regions, &route->regions_len, error);
}

static bool
read_request_class (const json_t *object, enum hs_request_class *request_class,
                    GError **error)
{
  const char *text;

  if (!hs_json_string (object, "work", &text, error))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (request_class_names); i++)
    if (strcmp (request_class_names[i], text) == 0)
      {
        *request_class = (enum hs_request_class)i;
        return true;
      }
  return hs_json_set_field_error ("work", error);
}

/* Reads the array "split" or, without it, the single "service" of a route.  */
static bool
read_splits (const json_t *object, void *parent,
             struct hs_service_route *route, GError **error)
{
  const json_t *array = json_object_get (object, "split");
  const char *service;

  route->splits_len = array != NULL ? json_array_size (array) : 1;
  route->splits
      = talloc_zero_array (parent, struct hs_traffic_split, route->splits_len);
  if (array == NULL)
    {
      if (!hs_json_name (object, "service", &service, error))
        return false;
      route->splits[0].service_name = talloc_strdup (parent, service);
      route->splits[0].weight = DEFAULT_WEIGHT;
      return true;
    }
  for (size_t i = 0; i < route->splits_len; i++)
    {
      const json_t *split = json_array_get (array, i);

      if (!hs_json_name (split, "service", &service, error)
          || !hs_json_uint32 (split, "weight", &route->splits[i].weight,
                              error))
        return false;
      route->splits[i].service_name = talloc_strdup (parent, service);
    }
  return true;
}
