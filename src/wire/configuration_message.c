/* configuration_message.c -- encoding of configurations as compressed
   MessagePack, and compression of byte strings.  */

#include "wire/configuration_message.h"
#include "base/auto.h"
#include "wire/pack.h"
#include "wire/unpack.h"

#include <endian.h>
#include <string.h>
#include <talloc.h>
#include <zlib.h>

/* Types.  */

#define ROUTES_MAX 65536
#define SERVICES_MAX 65536
#define CONFIGURATION_FIELDS 4
#define ROUTE_FIELDS 9 /* Including two for the address.  */
#define SERVICE_FIELDS 2
#define SPLIT_FIELDS 2                /* Fields of one traffic split.  */
#define PREFIX_SIZE sizeof (uint32_t) /* Holds the uncompressed length.  */

/* Private functions.  */

static void pack_route (msgpack_packer *out,
                        const struct hs_service_route *route);
static bool unpack_configuration (struct hs_configuration *configuration,
                                  const msgpack_object_array *fields);
static void unpack_services (struct hs_unpacker *in,
                             struct hs_configuration *configuration);
static void unpack_routes (struct hs_unpacker *in,
                           struct hs_configuration *configuration);
static void unpack_route (struct hs_unpacker *in, void *parent,
                          struct hs_service_route *route);
static const char *unpack_name (struct hs_unpacker *in, void *parent);

/* Public definitions.  */

uint8_t *
hs_configuration_encode (void *parent,
                         const struct hs_configuration *configuration,
                         size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer out;
  uint8_t *data;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, CONFIGURATION_FIELDS);
  msgpack_pack_uint64 (&out, configuration->version);
  msgpack_pack_uint32 (&out, configuration->flow_idle_ms);
  msgpack_pack_array (&out, configuration->services_len);
  for (size_t i = 0; i < configuration->services_len; i++)
    {
      msgpack_pack_array (&out, SERVICE_FIELDS);
      hs_pack_text (&out, configuration->services[i].name);
      msgpack_pack_uint32 (&out, configuration->services[i].cold_flow_rate);
    }
  msgpack_pack_array (&out, configuration->routes_len);
  for (size_t i = 0; i < configuration->routes_len; i++)
    pack_route (&out, &configuration->routes[i]);
  data = hs_bytes_compress (parent, (const uint8_t *)buffer.data, buffer.size,
                            len);
  msgpack_sbuffer_destroy (&buffer);
  return data;
}

struct hs_configuration *
hs_configuration_decode (void *parent, const uint8_t *data, size_t len,
                         GError **error)
{
  size_t plain_len;
  HS_AUTO_TALLOC uint8_t *plain
      = hs_bytes_uncompress (NULL, data, len, &plain_len, error);

  if (plain == NULL)
    return NULL;
  return hs_configuration_unpack (parent, plain, plain_len, error);
}

struct hs_configuration *
hs_configuration_unpack (void *parent, const uint8_t *plain, size_t len,
                         GError **error)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  struct hs_configuration *configuration
      = talloc_zero (parent, struct hs_configuration);
  size_t used = 0;

  msgpack_unpacked_init (&unpacked);
  if (hs_unpack_object_len (plain, len) == len
      && msgpack_unpack_next (&unpacked, (const char *)plain, len, &used)
             == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY
      && unpack_configuration (configuration, &unpacked.data.via.array))
    return configuration;
  g_set_error (
      error, HS_ERROR, HS_ERROR_MALFORMED,
      "malformed configuration: bad MessagePack or a field out of range");
  talloc_free (configuration);
  return NULL;
}

uint8_t *
hs_bytes_compress (void *parent, const uint8_t *data, size_t len,
                   size_t *compressed_len)
{
  uLongf bound = compressBound ((uLong)len);
  uint8_t *bytes = talloc_array (parent, uint8_t, PREFIX_SIZE + bound);
  uint32_t prefix = htole32 ((uint32_t)len);

  memcpy (bytes, &prefix, PREFIX_SIZE);
  compress2 (bytes + PREFIX_SIZE, &bound, data, (uLong)len, Z_BEST_SPEED);
  *compressed_len = PREFIX_SIZE + bound;
  return talloc_realloc (parent, bytes, uint8_t, *compressed_len);
}

uint8_t *
hs_bytes_uncompress (void *parent, const uint8_t *data, size_t len,
                     size_t *uncompressed_len, GError **error)
{
  uint32_t prefix;
  uLongf plain_len;
  uint8_t *plain;

  if (len > PREFIX_SIZE)
    {
      memcpy (&prefix, data, PREFIX_SIZE);
      plain_len = le32toh (prefix);
      if (plain_len <= HS_CONFIGURATION_SIZE_MAX)
        {
          *uncompressed_len = plain_len;
          plain = talloc_array (parent, uint8_t, plain_len + 1);
          plain[plain_len] = '\0';
          if (uncompress (plain, &plain_len, data + PREFIX_SIZE,
                          (uLong)(len - PREFIX_SIZE))
                  == Z_OK
              && plain_len == *uncompressed_len)
            return plain;
          talloc_free (plain);
        }
    }
  g_set_error (
      error, HS_ERROR, HS_ERROR_MALFORMED,
      "compressed data is corrupt, or exceeds 4 MiB when uncompressed");
  return NULL;
}

/* Private definitions.  */

static void
pack_route (msgpack_packer *out, const struct hs_service_route *route)
{
  msgpack_pack_array (out, ROUTE_FIELDS);
  hs_pack_text (out, route->name);
  hs_pack_addr (out, &route->address);
  msgpack_pack_uint8 (out, (uint8_t)route->request_class);
  msgpack_pack_uint32 (out, route->timeout_ms);
  msgpack_pack_uint32 (out, route->slo_ms);
  msgpack_pack_uint32 (out, route->priority);
  msgpack_pack_array (out, route->splits_len * SPLIT_FIELDS);
  for (size_t i = 0; i < route->splits_len; i++)
    {
      hs_pack_text (out, route->splits[i].service_name);
      msgpack_pack_uint32 (out, route->splits[i].weight);
    }
  msgpack_pack_array (out, route->regions_len);
  for (size_t i = 0; i < route->regions_len; i++)
    hs_pack_text (out, route->regions[i]);
}

static bool
unpack_configuration (struct hs_configuration *configuration,
                      const msgpack_object_array *fields)
{
  struct hs_unpacker in = { fields, 0, true };

  configuration->version = hs_unpack_uint (&in, UINT64_MAX);
  configuration->flow_idle_ms = (uint32_t)hs_unpack_uint (&in, UINT32_MAX);
  unpack_services (&in, configuration);
  unpack_routes (&in, configuration);
  return in.ok;
}

static void
unpack_services (struct hs_unpacker *in,
                 struct hs_configuration *configuration)
{
  uint32_t len;
  struct hs_unpacker services = hs_unpack_array (in, &len, SERVICES_MAX);

  configuration->services_len = len;
  configuration->services
      = talloc_zero_array (configuration, struct hs_configured_service, len);
  for (uint32_t i = 0; i < len; i++)
    {
      uint32_t fields_len;
      struct hs_unpacker fields
          = hs_unpack_array (&services, &fields_len, SERVICE_FIELDS);

      configuration->services[i].name = unpack_name (&fields, configuration);
      configuration->services[i].cold_flow_rate
          = (uint32_t)hs_unpack_uint (&fields, UINT32_MAX);
      services.ok = services.ok && fields.ok;
    }
  in->ok = in->ok && services.ok;
}

static void
unpack_routes (struct hs_unpacker *in, struct hs_configuration *configuration)
{
  uint32_t len;
  struct hs_unpacker routes = hs_unpack_array (in, &len, ROUTES_MAX);

  configuration->routes_len = len;
  configuration->routes
      = talloc_zero_array (configuration, struct hs_service_route, len);
  for (uint32_t i = 0; i < len; i++)
    {
      uint32_t fields_len;
      struct hs_unpacker route
          = hs_unpack_array (&routes, &fields_len, ROUTE_FIELDS);

      unpack_route (&route, configuration, &configuration->routes[i]);
      routes.ok = routes.ok && route.ok;
    }
  in->ok = in->ok && routes.ok;
}

static void
unpack_route (struct hs_unpacker *in, void *parent,
              struct hs_service_route *route)
{
  struct hs_unpacker splits;
  struct hs_unpacker regions;
  uint32_t len;

  route->name = unpack_name (in, parent);
  hs_unpack_addr (in, &route->address);
  route->request_class
      = (enum hs_request_class)hs_unpack_uint (in, HS_REQUEST_CLASS_DOWNLOAD);
  route->timeout_ms = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  route->slo_ms = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  route->priority = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  splits = hs_unpack_array (in, &len, HS_SPLITS_MAX * SPLIT_FIELDS);
  route->splits_len = len / SPLIT_FIELDS;
  route->splits
      = talloc_zero_array (parent, struct hs_traffic_split, route->splits_len);
  for (size_t i = 0; i < route->splits_len; i++)
    {
      route->splits[i].service_name = unpack_name (&splits, parent);
      route->splits[i].weight = (uint32_t)hs_unpack_uint (&splits, UINT32_MAX);
    }
  regions = hs_unpack_array (in, &len, HS_ROUTE_REGIONS_MAX);
  route->regions_len = len;
  route->regions = talloc_array (parent, const char *, len);
  for (uint32_t i = 0; i < len; i++)
    route->regions[i] = unpack_name (&regions, parent);
  in->ok = in->ok && splits.ok && regions.ok;
}

static const char *
unpack_name (struct hs_unpacker *in, void *parent)
{
  char name[HS_NAME_SIZE];

  hs_unpack_text (in, name, sizeof name);
  return talloc_strdup (parent, name);
}
