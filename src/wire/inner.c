/* inner.c -- small messages between processes, as MessagePack.  */

#include "wire/inner.h"
#include "wire/pack.h"
#include "wire/unpack.h"

#include <string.h>

/* Types.  */

#define FIXARRAY 0x90
#define FIXARRAY_MASK 0xf0
#define ADDR_FIELDS 2 /* IP and port.  */

/* Elements of each type, with the type itself.  */
static const uint8_t fields_of[HS_INNER_TYPES] = {
  [HS_INNER_FORWARD] = 5, [HS_INNER_REFUSED] = 5, [HS_INNER_HELD] = 7,
  [HS_INNER_REPORT] = 15, [HS_INNER_SYNC] = 10,   [HS_INNER_STATUS] = 7,
  [HS_INNER_FETCH] = 4,   [HS_INNER_PART] = 6,    [HS_INNER_ASK] = 8,
};

/* Private functions.  */

static void pack_body (msgpack_packer *out, const struct hs_inner *inner);
static void pack_report (msgpack_packer *out,
                         const struct hs_load_report *report);
static void pack_sync (msgpack_packer *out, const struct hs_inner_sync *sync);
static void pack_addrs (msgpack_packer *out,
                        const struct hs_inner_addrs *addrs);
static void pack_part (msgpack_packer *out, const struct hs_inner_part *part);
static void pack_asked (msgpack_packer *out, const struct hs_segment *asked);
static void read_body (struct hs_unpack *in, struct hs_inner *inner);
static void read_report (struct hs_unpack *in, struct hs_load_report *report);
static void read_sync (struct hs_unpack *in, struct hs_inner_sync *sync);
static void read_addrs (struct hs_unpack *in, struct hs_inner_addrs *addrs);
static void read_part (struct hs_unpack *in, struct hs_inner_part *part);
static void read_asked (struct hs_unpack *in, struct hs_segment *asked);

/* Public definitions.  */

size_t
hs_inner_encode (const struct hs_inner *inner, uint8_t *data)
{
  struct hs_pack_buffer buffer = { data, 0, HS_INNER_SIZE_MAX };
  msgpack_packer packer;

  msgpack_packer_init (&packer, &buffer, hs_pack_append);
  msgpack_pack_array (&packer, fields_of[inner->type]);
  msgpack_pack_uint8 (&packer, (uint8_t)inner->type);
  pack_body (&packer, inner);
  return buffer.len;
}

size_t
hs_inner_decode (const uint8_t *data, size_t len, struct hs_inner *inner)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  enum hs_inner_type type = hs_inner_type (data, len);
  struct hs_unpack in = { NULL, 1, true };
  size_t used = 0;

  msgpack_unpacked_init (&unpacked);
  if (type == HS_INNER_NONE || type == HS_INNER_REPLICA
      || data[0] != (FIXARRAY | fields_of[type])
      || hs_unpack_measure (data, len) == 0)
    return 0;
  if (msgpack_unpack_next (&unpacked, (const char *)data, len, &used)
      != MSGPACK_UNPACK_SUCCESS)
    return 0;
  inner->type = type;
  in.fields = &unpacked.data.via.array;
  read_body (&in, inner);
  return in.ok ? used : 0;
}

enum hs_inner_type
hs_inner_type (const uint8_t *data, size_t len)
{
  if (len < 2 || (data[0] & FIXARRAY_MASK) != FIXARRAY
      || data[1] >= HS_INNER_TYPES)
    return HS_INNER_NONE;
  return (enum hs_inner_type)data[1];
}

/* Private definitions.  */

static void
pack_body (msgpack_packer *out, const struct hs_inner *inner)
{
  switch (inner->type)
    {
    case HS_INNER_FORWARD:
    case HS_INNER_REFUSED:
      msgpack_pack_uint64 (out, inner->header.service);
      msgpack_pack_uint64 (out, inner->header.slot);
      msgpack_pack_uint8 (out, inner->header.ask);
      msgpack_pack_uint8 (out, (uint8_t)inner->header.reason);
      break;
    case HS_INNER_HELD:
      msgpack_pack_uint64 (out, inner->held.slot);
      msgpack_pack_uint8 (out, (uint8_t)inner->held.claim);
      hs_pack_addr (out, &inner->held.key.caller);
      hs_pack_addr (out, &inner->held.key.address);
      break;
    case HS_INNER_REPORT:
      pack_report (out, &inner->report);
      break;
    case HS_INNER_SYNC:
      pack_sync (out, &inner->sync);
      break;
    case HS_INNER_STATUS:
      msgpack_pack_uint64 (out, inner->status.version);
      msgpack_pack_uint64 (out, inner->status.roster);
      msgpack_pack_uint8 (out, inner->status.has_entries);
      msgpack_pack_uint32 (out, inner->status.entries_total);
      pack_addrs (out, &inner->status.controls);
      pack_addrs (out, &inner->status.entries);
      break;
    case HS_INNER_FETCH:
      msgpack_pack_uint64 (out, inner->part.version);
      msgpack_pack_uint64 (out, inner->part.base);
      msgpack_pack_uint32 (out, inner->part.offset);
      break;
    case HS_INNER_PART:
      pack_part (out, &inner->part);
      break;
    case HS_INNER_ASK:
      pack_asked (out, &inner->asked);
      break;
    case HS_INNER_NONE:
    case HS_INNER_REPLICA:
    case HS_INNER_TYPES:
      break;
    }
}

static void
pack_report (msgpack_packer *out, const struct hs_load_report *report)
{
  msgpack_pack_uint64 (out, report->agent_id);
  msgpack_pack_uint64 (out, report->incarnation);
  msgpack_pack_uint64 (out, report->seq);
  msgpack_pack_uint64 (out, report->service_id);
  hs_pack_addr (out, &report->address);
  msgpack_pack_uint8 (out, (uint8_t)report->state);
  msgpack_pack_uint32 (out, report->slots);
  msgpack_pack_uint32 (out, report->requests_in_progress);
  msgpack_pack_uint32 (out, report->open_flows);
  msgpack_pack_uint32 (out, report->cold_ms);
  msgpack_pack_uint32 (out, report->mean_work_us);
  msgpack_pack_uint8 (out, report->no_upstream);
  hs_pack_text (out, report->zone);
}

static void
pack_sync (msgpack_packer *out, const struct hs_inner_sync *sync)
{
  msgpack_pack_uint8 (out, (uint8_t)sync->role);
  msgpack_pack_uint64 (out, sync->slot);
  msgpack_pack_uint64 (out, sync->incarnation);
  msgpack_pack_uint64 (out, sync->version);
  msgpack_pack_uint64 (out, sync->roster);
  hs_pack_addr (out, &sync->address);
  hs_pack_text (out, sync->name);
  hs_pack_text (out, sync->zone);
}

static void
pack_addrs (msgpack_packer *out, const struct hs_inner_addrs *addrs)
{
  msgpack_pack_array (out, addrs->len * ADDR_FIELDS);
  for (size_t i = 0; i < addrs->len; i++)
    hs_pack_addr (out, &addrs->values[i]);
}

static void
pack_part (msgpack_packer *out, const struct hs_inner_part *part)
{
  msgpack_pack_uint64 (out, part->version);
  msgpack_pack_uint64 (out, part->base);
  msgpack_pack_uint32 (out, part->total);
  msgpack_pack_uint32 (out, part->offset);
  msgpack_pack_bin (out, part->len);
  msgpack_pack_bin_body (out, part->bytes, part->len);
}

static void
pack_asked (msgpack_packer *out, const struct hs_segment *asked)
{
  hs_pack_addr (out, &asked->from);
  hs_pack_addr (out, &asked->to);
  msgpack_pack_uint8 (out, (uint8_t)asked->flags);
  msgpack_pack_uint32 (out, asked->seq);
  msgpack_pack_uint32 (out, asked->ack);
}

static void
read_body (struct hs_unpack *in, struct hs_inner *inner)
{
  switch (inner->type)
    {
    case HS_INNER_FORWARD:
    case HS_INNER_REFUSED:
      inner->header.service = hs_unpack_uint (in, UINT64_MAX);
      inner->header.slot = hs_unpack_uint (in, UINT64_MAX);
      inner->header.ask = hs_unpack_uint (in, 1) != 0;
      inner->header.reason
          = (enum hs_reason)hs_unpack_uint (in, HS_REASON_COUNT - 1);
      break;
    case HS_INNER_HELD:
      inner->held.slot = hs_unpack_uint (in, UINT64_MAX);
      inner->held.claim = (enum hs_lookup_answer)hs_unpack_uint (
          in, HS_LOOKUP_RECORDED_ELSEWHERE);
      hs_unpack_addr (in, &inner->held.key.caller);
      hs_unpack_addr (in, &inner->held.key.address);
      break;
    case HS_INNER_REPORT:
      read_report (in, &inner->report);
      break;
    case HS_INNER_SYNC:
      read_sync (in, &inner->sync);
      break;
    case HS_INNER_STATUS:
      inner->status.version = hs_unpack_uint (in, UINT64_MAX);
      inner->status.roster = hs_unpack_uint (in, UINT64_MAX);
      inner->status.has_entries = hs_unpack_uint (in, 1) != 0;
      inner->status.entries_total = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
      read_addrs (in, &inner->status.controls);
      read_addrs (in, &inner->status.entries);
      break;
    case HS_INNER_FETCH:
      inner->part.version = hs_unpack_uint (in, UINT64_MAX);
      inner->part.base = hs_unpack_uint (in, UINT64_MAX);
      inner->part.offset = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
      break;
    case HS_INNER_PART:
      read_part (in, &inner->part);
      break;
    case HS_INNER_ASK:
      read_asked (in, &inner->asked);
      break;
    case HS_INNER_NONE:
    case HS_INNER_REPLICA:
    case HS_INNER_TYPES:
      in->ok = false;
      break;
    }
}

static void
read_report (struct hs_unpack *in, struct hs_load_report *report)
{
  report->agent_id = hs_unpack_uint (in, UINT64_MAX);
  report->incarnation = hs_unpack_uint (in, UINT64_MAX);
  report->seq = hs_unpack_uint (in, UINT64_MAX);
  report->service_id = hs_unpack_uint (in, UINT64_MAX);
  hs_unpack_addr (in, &report->address);
  report->state
      = (enum hs_agent_state)hs_unpack_uint (in, HS_AGENT_UPSTREAM_SILENT);
  report->slots = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  report->requests_in_progress = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  report->open_flows = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  report->cold_ms = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  report->mean_work_us = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  report->no_upstream = hs_unpack_uint (in, 1) != 0;
  hs_unpack_text (in, report->zone, sizeof report->zone);
}

static void
read_sync (struct hs_unpack *in, struct hs_inner_sync *sync)
{
  sync->role = (enum hs_role)hs_unpack_uint (in, HS_ROLE_ENTRY);
  sync->slot = hs_unpack_uint (in, UINT64_MAX);
  sync->incarnation = hs_unpack_uint (in, UINT64_MAX);
  sync->version = hs_unpack_uint (in, UINT64_MAX);
  sync->roster = hs_unpack_uint (in, UINT64_MAX);
  hs_unpack_addr (in, &sync->address);
  hs_unpack_text (in, sync->name, sizeof sync->name);
  hs_unpack_text (in, sync->zone, sizeof sync->zone);
}

static void
read_addrs (struct hs_unpack *in, struct hs_inner_addrs *addrs)
{
  uint32_t len;
  struct hs_unpack inner
      = hs_unpack_array (in, &len, HS_INNER_ADDRS_MAX * ADDR_FIELDS);

  addrs->len = len / ADDR_FIELDS;
  for (size_t i = 0; i < addrs->len; i++)
    hs_unpack_addr (&inner, &addrs->values[i]);
  in->ok = in->ok && inner.ok;
}

static void
read_part (struct hs_unpack *in, struct hs_inner_part *part)
{
  part->version = hs_unpack_uint (in, UINT64_MAX);
  part->base = hs_unpack_uint (in, UINT64_MAX);
  part->total = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  part->offset = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  part->len = (uint32_t)hs_unpack_bin (in, part->bytes, HS_INNER_PART_MAX);
}

static void
read_asked (struct hs_unpack *in, struct hs_segment *asked)
{
  hs_unpack_addr (in, &asked->from);
  hs_unpack_addr (in, &asked->to);
  asked->flags = (unsigned int)hs_unpack_uint (in, UINT8_MAX);
  asked->seq = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  asked->ack = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  asked->payload_len = 0;
}
