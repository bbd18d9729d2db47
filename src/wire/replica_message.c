/* replica_message.c -- encoding of the messages between control hosts, and of
   the records that they keep on disk.  */

#include "wire/replica_message.h"
#include "wire/inner.h"
#include "wire/pack.h"
#include "wire/unpack.h"

#include <talloc.h>

/* Types.  */

#define MESSAGE_FIELDS 15 /* Including the type of the inner message.  */
#define RECORD_FIELDS 6
#define ENTRY_FIELDS 5
#define SNAPSHOT_FIELDS 4
#define HOST_FIELDS 5   /* The id, and two for each address.  */
#define STORED_FIELDS 3 /* Fields of a stored configuration.  */

/* Private functions.  */

static void pack_host (msgpack_packer *out,
                       const struct hs_control_host *host);
static void pack_members (msgpack_packer *out,
                          const struct hs_control_members *members);
static void pack_entry (msgpack_packer *out,
                        const struct hs_replica_log_entry *entry);
static void pack_snapshot (msgpack_packer *out,
                           const struct hs_replica_snapshot *snapshot);
static void pack_bytes (msgpack_packer *out, const uint8_t *data, size_t len);
static void unpack_host (struct hs_unpacker *in, struct hs_control_host *host);
static void unpack_members (struct hs_unpacker *in,
                            struct hs_control_members *members);
static struct hs_replica_log_entry *unpack_entry (struct hs_unpacker *in,
                                                  void *parent);
static struct hs_replica_snapshot *unpack_snapshot (struct hs_unpacker *in,
                                                    void *parent);
static uint8_t *unpack_bytes (struct hs_unpacker *in, void *parent,
                              size_t *len);
static void unpack_entries (struct hs_unpacker *in,
                            struct hs_replica_message *message);

/* Public definitions.  */

uint8_t *
hs_replica_message_encode (void *parent,
                           const struct hs_replica_message *message,
                           size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, MESSAGE_FIELDS);
  msgpack_pack_uint8 (&out, HS_INNER_REPLICA);
  msgpack_pack_uint8 (&out, (uint8_t)message->type);
  msgpack_pack_uint64 (&out, message->to);
  msgpack_pack_array (&out, HOST_FIELDS);
  pack_host (&out, &message->from);
  msgpack_pack_uint64 (&out, message->term);
  msgpack_pack_uint64 (&out, message->index);
  msgpack_pack_uint64 (&out, message->log_term);
  msgpack_pack_uint64 (&out, message->commit_index);
  msgpack_pack_uint64 (&out, message->request_tag);
  msgpack_pack_uint8 (&out, message->pre_vote);
  msgpack_pack_uint8 (&out, message->success);
  msgpack_pack_uint8 (&out, message->snapshot != NULL);
  msgpack_pack_array (&out, message->entries_len);
  for (size_t i = 0; i < message->entries_len; i++)
    pack_entry (&out, message->entries[i]);
  msgpack_pack_array (&out, message->snapshot != NULL ? SNAPSHOT_FIELDS : 0);
  if (message->snapshot != NULL)
    pack_snapshot (&out, message->snapshot);
  msgpack_pack_uint8 (&out, 0); /* Reserved for a later version; not read.  */
  return hs_pack_finish (parent, &buffer, len);
}

struct hs_replica_message *
hs_replica_message_decode (void *parent, const uint8_t *data, size_t len,
                           GError **error)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  struct hs_replica_message *message
      = talloc_zero (parent, struct hs_replica_message);
  struct hs_unpacker in;
  struct hs_unpacker host;
  uint32_t host_len;
  bool has_snapshot = false;

  msgpack_unpacked_init (&unpacked);
  if (hs_unpack_open (&unpacked, data, len, &in, error))
    {
      in.ok = hs_unpack_uint (&in, UINT8_MAX) == HS_INNER_REPLICA;
      message->type = (enum hs_replica_message_type)hs_unpack_uint (
          &in, HS_REPLICA_START_ELECTION);
      message->to = hs_unpack_uint (&in, UINT64_MAX);
      host = hs_unpack_array (&in, &host_len, HOST_FIELDS);
      unpack_host (&host, &message->from);
      message->term = hs_unpack_uint (&in, UINT64_MAX);
      message->index = hs_unpack_uint (&in, UINT64_MAX);
      message->log_term = hs_unpack_uint (&in, UINT64_MAX);
      message->commit_index = hs_unpack_uint (&in, UINT64_MAX);
      message->request_tag = hs_unpack_uint (&in, UINT64_MAX);
      message->pre_vote = hs_unpack_uint (&in, 1) != 0;
      message->success = hs_unpack_uint (&in, 1) != 0;
      has_snapshot = hs_unpack_uint (&in, 1) != 0;
      unpack_entries (&in, message);
      if (has_snapshot)
        message->snapshot = unpack_snapshot (&in, message);
      if (in.ok && host.ok && message->type >= HS_REPLICA_REQUEST_VOTE
          && has_snapshot == (message->type == HS_REPLICA_INSTALL_SNAPSHOT))
        return message;
      g_set_error (
          error, HS_ERROR, HS_ERROR_MALFORMED,
          "malformed replica message: a field is missing or out of range");
    }
  talloc_free (message);
  return NULL;
}

uint8_t *
hs_replica_record_encode (void *parent, const struct hs_replica_record *record,
                          size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, RECORD_FIELDS);
  msgpack_pack_uint8 (&out, (uint8_t)record->type);
  msgpack_pack_uint64 (&out, record->value);
  msgpack_pack_uint64 (&out, record->term);
  msgpack_pack_uint64 (&out, record->voted_for);
  msgpack_pack_array (&out, record->entry != NULL);
  if (record->entry != NULL)
    pack_entry (&out, record->entry);
  msgpack_pack_array (&out, record->snapshot != NULL ? SNAPSHOT_FIELDS : 0);
  if (record->snapshot != NULL)
    pack_snapshot (&out, record->snapshot);
  return hs_pack_finish (parent, &buffer, len);
}

struct hs_replica_record *
hs_replica_record_decode (void *parent, const uint8_t *data, size_t len,
                          GError **error)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  struct hs_replica_record *record
      = talloc_zero (parent, struct hs_replica_record);
  struct hs_unpacker in;
  struct hs_unpacker entries;
  uint32_t entries_len;

  msgpack_unpacked_init (&unpacked);
  if (hs_unpack_open (&unpacked, data, len, &in, error))
    {
      record->type = (enum hs_replica_record_type)hs_unpack_uint (
          &in, HS_REPLICA_RECORD_COMMIT);
      record->value = hs_unpack_uint (&in, UINT64_MAX);
      record->term = hs_unpack_uint (&in, UINT64_MAX);
      record->voted_for = hs_unpack_uint (&in, UINT64_MAX);
      entries = hs_unpack_array (&in, &entries_len, 1);
      if (record->type == HS_REPLICA_RECORD_ENTRY)
        record->entry = unpack_entry (&entries, record);
      if (record->type == HS_REPLICA_RECORD_SNAPSHOT)
        record->snapshot = unpack_snapshot (&in, record);
      if (in.ok && entries.ok && record->type >= HS_REPLICA_RECORD_HOST_ID)
        return record;
      g_set_error (
          error, HS_ERROR, HS_ERROR_MALFORMED,
          "malformed replica record: a field is missing or out of range");
    }
  talloc_free (record);
  return NULL;
}

uint8_t *
hs_stored_configuration_encode (void *parent,
                                const struct hs_stored_configuration *stored,
                                size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, STORED_FIELDS);
  msgpack_pack_uint64 (&out, stored->version);
  pack_bytes (&out, stored->source, stored->source_len);
  pack_bytes (&out, stored->encoded, stored->encoded_len);
  return hs_pack_finish (parent, &buffer, len);
}

struct hs_stored_configuration *
hs_stored_configuration_decode (void *parent, const uint8_t *data, size_t len,
                                GError **error)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  struct hs_stored_configuration *stored
      = talloc_zero (parent, struct hs_stored_configuration);
  struct hs_unpacker in;

  msgpack_unpacked_init (&unpacked);
  if (hs_unpack_open (&unpacked, data, len, &in, error))
    {
      stored->version = hs_unpack_uint (&in, UINT64_MAX);
      stored->source = unpack_bytes (&in, stored, &stored->source_len);
      stored->encoded = unpack_bytes (&in, stored, &stored->encoded_len);
      if (in.ok)
        return stored;
      g_set_error (
          error, HS_ERROR, HS_ERROR_MALFORMED,
          "malformed stored configuration: a field is missing or too large");
    }
  talloc_free (stored);
  return NULL;
}

/* Private definitions.  */

static void
pack_host (msgpack_packer *out, const struct hs_control_host *host)
{
  msgpack_pack_uint64 (out, host->id);
  hs_pack_addr (out, &host->inner_address);
  hs_pack_addr (out, &host->api_address);
}

static void
pack_members (msgpack_packer *out, const struct hs_control_members *members)
{
  msgpack_pack_array (out, members->len * HOST_FIELDS);
  for (size_t i = 0; i < members->len; i++)
    pack_host (out, &members->hosts[i]);
}

static void
pack_entry (msgpack_packer *out, const struct hs_replica_log_entry *entry)
{
  msgpack_pack_array (out, ENTRY_FIELDS);
  msgpack_pack_uint64 (out, entry->index);
  msgpack_pack_uint64 (out, entry->term);
  msgpack_pack_uint8 (out, (uint8_t)entry->kind);
  pack_members (out, &entry->members);
  pack_bytes (out, entry->data, entry->len);
}

static void
pack_snapshot (msgpack_packer *out, const struct hs_replica_snapshot *snapshot)
{
  msgpack_pack_uint64 (out, snapshot->index);
  msgpack_pack_uint64 (out, snapshot->term);
  pack_members (out, &snapshot->members);
  pack_bytes (out, snapshot->data, snapshot->len);
}

static void
pack_bytes (msgpack_packer *out, const uint8_t *data, size_t len)
{
  msgpack_pack_bin (out, len);
  msgpack_pack_bin_body (out, data, len);
}

static void
unpack_host (struct hs_unpacker *in, struct hs_control_host *host)
{
  host->id = hs_unpack_uint (in, UINT64_MAX);
  hs_unpack_addr (in, &host->inner_address);
  hs_unpack_addr (in, &host->api_address);
}

static void
unpack_members (struct hs_unpacker *in, struct hs_control_members *members)
{
  uint32_t len;
  struct hs_unpacker hosts
      = hs_unpack_array (in, &len, HS_CONTROL_MEMBERS_MAX * HOST_FIELDS);

  members->len = len / HOST_FIELDS;
  for (size_t i = 0; i < members->len; i++)
    unpack_host (&hosts, &members->hosts[i]);
  in->ok = in->ok && hosts.ok;
}

static struct hs_replica_log_entry *
unpack_entry (struct hs_unpacker *in, void *parent)
{
  struct hs_replica_log_entry *entry
      = talloc_zero (parent, struct hs_replica_log_entry);
  uint32_t len;
  struct hs_unpacker fields = hs_unpack_array (in, &len, ENTRY_FIELDS);

  entry->index = hs_unpack_uint (&fields, UINT64_MAX);
  entry->term = hs_unpack_uint (&fields, UINT64_MAX);
  entry->kind = (enum hs_replica_entry_kind)hs_unpack_uint (
      &fields, HS_REPLICA_ENTRY_MEMBERS);
  unpack_members (&fields, &entry->members);
  entry->data = unpack_bytes (&fields, entry, &entry->len);
  in->ok = in->ok && fields.ok;
  return entry;
}

static struct hs_replica_snapshot *
unpack_snapshot (struct hs_unpacker *in, void *parent)
{
  struct hs_replica_snapshot *snapshot
      = talloc_zero (parent, struct hs_replica_snapshot);
  uint32_t len;
  struct hs_unpacker fields = hs_unpack_array (in, &len, SNAPSHOT_FIELDS);

  snapshot->index = hs_unpack_uint (&fields, UINT64_MAX);
  snapshot->term = hs_unpack_uint (&fields, UINT64_MAX);
  unpack_members (&fields, &snapshot->members);
  snapshot->data = unpack_bytes (&fields, snapshot, &snapshot->len);
  in->ok = in->ok && fields.ok;
  return snapshot;
}

static uint8_t *
unpack_bytes (struct hs_unpacker *in, void *parent, size_t *len)
{
  uint8_t *bytes = talloc_array (parent, uint8_t, HS_REPLICA_MESSAGE_SIZE_MAX);

  *len = hs_unpack_bin (in, bytes, HS_REPLICA_MESSAGE_SIZE_MAX);
  /* talloc_realloc to 0 bytes would free them.  */
  return talloc_realloc (parent, bytes, uint8_t, *len + 1);
}

static void
unpack_entries (struct hs_unpacker *in, struct hs_replica_message *message)
{
  uint32_t len;
  struct hs_unpacker entries
      = hs_unpack_array (in, &len, HS_APPEND_ENTRIES_MAX);

  message->entries_len = len;
  for (uint32_t i = 0; i < len; i++)
    message->entries[i] = unpack_entry (&entries, message);
  in->ok = in->ok && entries.ok;
}
