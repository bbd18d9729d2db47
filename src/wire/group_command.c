/* group_command.c -- encoding of the commands in the replicated log of a
   control group, and of its snapshots.

   The number of elements of the outer array tells the kinds apart.  */

#include "wire/group_command.h"
#include "base/auto.h"
#include "wire/pack.h"
#include "wire/unpack.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define ORDER_FIELDS 4
#define SNAPSHOT_FIELDS 4
#define SNAPSHOT_FORMAT 1 /* First element of a snapshot.  */

/* Private functions.  */

static bool unpack_order (struct hs_unpacker *in,
                          struct hs_evacuation_order *order);
static bool unpack_snapshot (struct hs_unpacker *in,
                             struct hs_group_snapshot *snapshot,
                             GError **error);
static void set_malformed (const char *what, GError **error);

/* Public definitions.  */

uint8_t *
hs_evacuation_order_encode (void *parent,
                            const struct hs_evacuation_order *order,
                            size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, ORDER_FIELDS);
  msgpack_pack_uint8 (&out, order->start);
  hs_pack_text (&out, order->zone);
  msgpack_pack_uint8 (&out, order->is_conditional);
  msgpack_pack_uint64 (&out, order->base_revision);
  return hs_pack_finish (parent, &buffer, len);
}

struct hs_group_command *
hs_group_command_decode (void *parent, const uint8_t *data, size_t len,
                         GError **error)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  struct hs_group_command *command
      = talloc_zero (parent, struct hs_group_command);
  struct hs_unpacker in;
  bool is_order;

  msgpack_unpacked_init (&unpacked);
  is_order = hs_unpack_open (&unpacked, data, len, &in, NULL)
             && in.fields->size == ORDER_FIELDS;
  if (is_order && unpack_order (&in, &command->order))
    return command;
  if (is_order)
    set_malformed ("evacuation order", error);
  else
    command->configuration
        = hs_stored_configuration_decode (command, data, len, error);
  if (command->configuration != NULL)
    return command;
  talloc_free (command);
  return NULL;
}

uint8_t *
hs_group_snapshot_encode (void *parent,
                          const struct hs_group_snapshot *snapshot,
                          size_t *len)
{
  const struct hs_evacuations *evacuations = &snapshot->evacuations;
  size_t configuration_len = 0;
  HS_AUTO_TALLOC uint8_t *configuration = NULL;
  msgpack_sbuffer buffer;
  msgpack_packer out;

  if (snapshot->configuration != NULL)
    configuration = hs_stored_configuration_encode (
        NULL, snapshot->configuration, &configuration_len);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, SNAPSHOT_FIELDS);
  msgpack_pack_uint8 (&out, SNAPSHOT_FORMAT);
  msgpack_pack_bin (&out, configuration_len);
  msgpack_pack_bin_body (&out, configuration, configuration_len);
  msgpack_pack_uint64 (&out, evacuations->revision);
  msgpack_pack_array (&out, evacuations->len);
  for (size_t i = 0; i < evacuations->len; i++)
    hs_pack_text (&out, evacuations->zones[i]);
  return hs_pack_finish (parent, &buffer, len);
}

struct hs_group_snapshot *
hs_group_snapshot_decode (void *parent, const uint8_t *data, size_t len,
                          GError **error)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  struct hs_group_snapshot *snapshot
      = talloc_zero (parent, struct hs_group_snapshot);
  struct hs_unpacker in;

  msgpack_unpacked_init (&unpacked);
  if (hs_unpack_open (&unpacked, data, len, &in, NULL)
      && in.fields->size == SNAPSHOT_FIELDS)
    {
      if (unpack_snapshot (&in, snapshot, error))
        return snapshot;
    }
  else
    snapshot->configuration
        = hs_stored_configuration_decode (snapshot, data, len, error);
  if (snapshot->configuration != NULL)
    return snapshot;
  talloc_free (snapshot);
  return NULL;
}

/* Private definitions.  */

static bool
unpack_order (struct hs_unpacker *in, struct hs_evacuation_order *order)
{
  order->start = hs_unpack_uint (in, 1) != 0;
  hs_unpack_text (in, order->zone, HS_NAME_SIZE);
  order->is_conditional = hs_unpack_uint (in, 1) != 0;
  order->base_revision = hs_unpack_uint (in, UINT64_MAX);
  return in->ok && order->zone[0] != '\0';
}

/* Fills SNAPSHOT, which owns the configuration.  */
static bool
unpack_snapshot (struct hs_unpacker *in, struct hs_group_snapshot *snapshot,
                 GError **error)
{
  HS_AUTO_TALLOC uint8_t *bytes
      = talloc_array (NULL, uint8_t, HS_REPLICA_MESSAGE_SIZE_MAX);
  struct hs_unpacker zones;
  uint32_t zones_len;
  size_t len;

  hs_unpack_uint (in, SNAPSHOT_FORMAT);
  len = hs_unpack_bin (in, bytes, HS_REPLICA_MESSAGE_SIZE_MAX);
  snapshot->evacuations.revision = hs_unpack_uint (in, UINT64_MAX);
  zones = hs_unpack_array (in, &zones_len, HS_EVACUATED_ZONES_MAX);
  snapshot->evacuations.len = zones_len;
  for (uint32_t i = 0; i < zones_len; i++)
    hs_unpack_text (&zones, snapshot->evacuations.zones[i], HS_NAME_SIZE);
  if (!in->ok || !zones.ok)
    {
      set_malformed ("snapshot", error);
      return false;
    }
  if (len == 0)
    return true;
  snapshot->configuration
      = hs_stored_configuration_decode (snapshot, bytes, len, error);
  return snapshot->configuration != NULL;
}

static void
set_malformed (const char *what, GError **error)
{
  g_set_error (error, HS_ERROR, HS_ERROR_MALFORMED,
               "malformed %s: a field is missing or out of range", what);
}
