/* flow_message.c -- encoding of the messages about flow ownership.  */

#include "wire/flow_message.h"
#include "wire/pack.h"
#include "wire/unpack.h"

#include <string.h>

/* Types.  */

#define MESSAGE_FIELDS 11
#define FIRST_BYTE (0x90 | MESSAGE_FIELDS) /* MessagePack fixarray.  */
#define RECORD_FIELDS 4 /* Including two for the address.  */
#define FLOW_MESSAGE_VERSION 1

/* Private functions.  */

static bool unpack_fields (struct hs_unpacker *in,
                           struct hs_flow_message *message);

/* Public definitions.  */

bool
hs_flow_message_matches (const uint8_t *data, size_t len)
{
  return len > 0 && data[0] == FIRST_BYTE;
}

size_t
hs_flow_message_encode (const struct hs_flow_message *message, uint8_t *data)
{
  struct hs_pack_buffer buffer = { data, 0, HS_FLOW_MESSAGE_SIZE_MAX };
  msgpack_packer out;

  msgpack_packer_init (&out, &buffer, hs_pack_buffer_write);
  msgpack_pack_array (&out, MESSAGE_FIELDS);
  msgpack_pack_uint8 (&out, FLOW_MESSAGE_VERSION);
  msgpack_pack_uint8 (&out, (uint8_t)message->type);
  msgpack_pack_uint32 (&out, message->service_id);
  msgpack_pack_uint64 (&out, message->view_number);
  msgpack_pack_uint64 (&out, message->from_id);
  msgpack_pack_uint64 (&out, message->from_incarnation);
  msgpack_pack_uint64 (&out, message->to_incarnation);
  msgpack_pack_uint64 (&out, message->seq);
  msgpack_pack_uint8 (&out, message->transfer_complete);
  msgpack_pack_uint8 (&out, message->rules_out_missing);
  msgpack_pack_array (&out, message->records_len * RECORD_FIELDS);
  for (size_t i = 0; i < message->records_len; i++)
    {
      hs_pack_addr (&out, &message->records[i].caller);
      msgpack_pack_uint64 (&out, message->records[i].owner_id);
      msgpack_pack_uint64 (&out, message->records[i].opened_view);
    }
  return buffer.len;
}

bool
hs_flow_message_decode (const uint8_t *data, size_t len,
                        struct hs_flow_message *message)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  struct hs_unpacker in = { &unpacked.data.via.array, 0, true };
  size_t used = 0;

  msgpack_unpacked_init (&unpacked);
  memset (message, 0, sizeof *message);
  if (!hs_flow_message_matches (data, len)
      || hs_unpack_object_len (data, len) != len)
    return false;
  if (msgpack_unpack_next (&unpacked, (const char *)data, len, &used)
      != MSGPACK_UNPACK_SUCCESS)
    return false;
  return unpack_fields (&in, message);
}

/* Private definitions.  */

static bool
unpack_fields (struct hs_unpacker *in, struct hs_flow_message *message)
{
  struct hs_unpacker records;
  uint32_t len;

  if (hs_unpack_uint (in, UINT8_MAX) != FLOW_MESSAGE_VERSION)
    return false;
  message->type
      = (enum hs_flow_message_type)hs_unpack_uint (in, HS_FLOW_CONFIRMED);
  message->service_id = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  message->view_number = hs_unpack_uint (in, UINT64_MAX);
  message->from_id = hs_unpack_uint (in, UINT64_MAX);
  message->from_incarnation = hs_unpack_uint (in, UINT64_MAX);
  message->to_incarnation = hs_unpack_uint (in, UINT64_MAX);
  message->seq = hs_unpack_uint (in, UINT64_MAX);
  message->transfer_complete = hs_unpack_uint (in, 1) != 0;
  message->rules_out_missing = hs_unpack_uint (in, 1) != 0;
  records = hs_unpack_array (in, &len,
                             HS_FLOW_MESSAGE_RECORDS_MAX * RECORD_FIELDS);
  message->records_len = len / RECORD_FIELDS;
  for (size_t i = 0; i < message->records_len; i++)
    {
      hs_unpack_addr (&records, &message->records[i].caller);
      message->records[i].owner_id = hs_unpack_uint (&records, UINT64_MAX);
      message->records[i].opened_view = hs_unpack_uint (&records, UINT64_MAX);
    }
  return in->ok && records.ok && len % RECORD_FIELDS == 0
         && message->type >= HS_FLOW_PUSH;
}
