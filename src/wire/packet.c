/* packet.c -- encoding of the header of packets.  */

#include "wire/packet.h"
#include "wire/pack.h"
#include "wire/unpack.h"

#include <msgpack.h>
#include <string.h>

/* Types.  */

#define HEADER_FIELDS 13                  /* Including two for the address.  */
#define FIRST_BYTE (0x90 | HEADER_FIELDS) /* MessagePack fixarray.  */

/* Private functions.  */

static bool unpack_fields (const msgpack_object_array *fields,
                           struct hs_packet_header *header);

/* Public definitions.  */

size_t
hs_packet_encode (const struct hs_packet_header *header, uint8_t *data)
{
  struct hs_pack_buffer buffer = { data, 0, HS_PACKET_HEADER_MAX };
  msgpack_packer out;

  msgpack_packer_init (&out, &buffer, hs_pack_buffer_write);
  msgpack_pack_array (&out, HEADER_FIELDS);
  msgpack_pack_uint8 (&out, HS_PACKET_VERSION);
  msgpack_pack_uint8 (&out, (uint8_t)header->type);
  msgpack_pack_uint32 (&out, header->service_id);
  msgpack_pack_uint64 (&out, header->view_number);
  msgpack_pack_uint64 (&out, header->to_incarnation);
  msgpack_pack_uint64 (&out, header->entry_incarnation);
  msgpack_pack_uint64 (&out, header->owner_id);
  hs_pack_addr (&out, &header->caller);
  msgpack_pack_uint64 (&out, header->assigned_view);
  msgpack_pack_uint8 (&out, header->uncertain);
  msgpack_pack_uint8 (&out, header->hops);
  msgpack_pack_uint8 (&out, (uint8_t)header->reason);
  return buffer.len;
}

size_t
hs_packet_decode (const uint8_t *data, size_t len,
                  struct hs_packet_header *header)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  size_t used = 0;

  msgpack_unpacked_init (&unpacked);
  memset (header, 0, sizeof *header);
  /* The first two bytes of a header are always the one-byte prefix of a
     fixarray and the version.  Other packets are rejected here, before
     msgpack allocates memory.  */
  if (len < HEADER_FIELDS || data[0] != FIRST_BYTE
      || data[1] != HS_PACKET_VERSION || hs_unpack_object_len (data, len) == 0)
    return 0;
  if (msgpack_unpack_next (&unpacked, (const char *)data, len, &used)
      != MSGPACK_UNPACK_SUCCESS)
    return 0;
  if (!unpack_fields (&unpacked.data.via.array, header))
    return 0;
  return used;
}

/* Private definitions.  */

static bool
unpack_fields (const msgpack_object_array *fields,
               struct hs_packet_header *header)
{
  struct hs_unpacker in = { fields, 1, true };

  header->type = (enum hs_packet_type)hs_unpack_uint (&in, HS_PACKET_REFUSE);
  header->service_id = (uint32_t)hs_unpack_uint (&in, UINT32_MAX);
  header->view_number = hs_unpack_uint (&in, UINT64_MAX);
  header->to_incarnation = hs_unpack_uint (&in, UINT64_MAX);
  header->entry_incarnation = hs_unpack_uint (&in, UINT64_MAX);
  header->owner_id = hs_unpack_uint (&in, UINT64_MAX);
  hs_unpack_addr (&in, &header->caller);
  header->assigned_view = hs_unpack_uint (&in, UINT64_MAX);
  header->uncertain = hs_unpack_uint (&in, 1) != 0;
  header->hops = (uint8_t)hs_unpack_uint (&in, UINT8_MAX);
  header->reason = (enum hs_reason)hs_unpack_uint (&in, HS_REASON_COUNT - 1);
  return in.ok && header->type >= HS_PACKET_FORWARD;
}
