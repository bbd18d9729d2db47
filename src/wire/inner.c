/* inner.c -- encoding of the messages of the inner protocol.  */

#include "wire/inner.h"
#include "wire/pack.h"
#include "wire/unpack.h"

#include <string.h>

/* Types.  */

#define FIXARRAY 0x90
#define FIXARRAY_MASK 0xf0
#define ADDR_FIELDS 2 /* IP and port.  */
#define LOAD_FIELDS 8 /* Of the load in a LOAD_REPORT.  */

/* Elements of the array of each type, including the type itself.  */
static const uint8_t field_counts[HS_INNER_TYPE_COUNT] = {
  [HS_INNER_FORWARD] = 9,      [HS_INNER_REFUSED_SYN] = 9,
  [HS_INNER_OWNERSHIP] = 7,    [HS_INNER_LOAD_REPORT] = 11,
  [HS_INNER_HEARTBEAT] = 11,   [HS_INNER_STATUS] = 6,
  [HS_INNER_FETCH] = 4,        [HS_INNER_CHUNK] = 6,
  [HS_INNER_LOOKUP_QUERY] = 8, [HS_INNER_LOAD_QUERY] = 3,
  [HS_INNER_EVACUATIONS] = 3,  [HS_INNER_SYN_HELD] = 6,
};

/* Private functions.  */

static void pack_body (msgpack_packer *out, const struct hs_inner *inner);
static void pack_load_report (msgpack_packer *out,
                              const struct hs_load_report *report);
static void pack_heartbeat (msgpack_packer *out,
                            const struct hs_inner_heartbeat *heartbeat);
static void pack_addrs (msgpack_packer *out,
                        const struct hs_inner_addrs *addrs);
static void pack_chunk (msgpack_packer *out,
                        const struct hs_inner_chunk *chunk);
static void pack_evacuations (msgpack_packer *out,
                              const struct hs_evacuations *evacuations);
static void pack_lookup_query (msgpack_packer *out,
                               const struct hs_segment *segment);
static void unpack_body (struct hs_unpacker *in, struct hs_inner *inner);
static void unpack_load_report (struct hs_unpacker *in,
                                struct hs_load_report *report);
static void unpack_heartbeat (struct hs_unpacker *in,
                              struct hs_inner_heartbeat *heartbeat);
static void unpack_addrs (struct hs_unpacker *in,
                          struct hs_inner_addrs *addrs);
static void unpack_chunk (struct hs_unpacker *in,
                          struct hs_inner_chunk *chunk);
static void unpack_evacuations (struct hs_unpacker *in,
                                struct hs_evacuations *evacuations);
static void unpack_lookup_query (struct hs_unpacker *in,
                                 struct hs_segment *segment);

/* Public definitions.  */

size_t
hs_inner_encode (const struct hs_inner *inner, uint8_t *data)
{
  struct hs_pack_buffer buffer = { data, 0, HS_INNER_SIZE_MAX };
  msgpack_packer out;

  msgpack_packer_init (&out, &buffer, hs_pack_buffer_write);
  msgpack_pack_array (&out, field_counts[inner->type]);
  msgpack_pack_uint8 (&out, (uint8_t)inner->type);
  pack_body (&out, inner);
  return buffer.len;
}

size_t
hs_inner_decode (const uint8_t *data, size_t len, struct hs_inner *inner)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  enum hs_inner_type type = hs_inner_peek_type (data, len);
  struct hs_unpacker in = { NULL, 1, true };
  size_t used = 0;

  msgpack_unpacked_init (&unpacked);
  if (type == HS_INNER_NONE || type == HS_INNER_REPLICA
      || data[0] != (FIXARRAY | field_counts[type])
      || hs_unpack_object_len (data, len) == 0)
    return 0;
  if (msgpack_unpack_next (&unpacked, (const char *)data, len, &used)
      != MSGPACK_UNPACK_SUCCESS)
    return 0;
  inner->type = type;
  in.fields = &unpacked.data.via.array;
  unpack_body (&in, inner);
  return in.ok ? used : 0;
}

enum hs_inner_type
hs_inner_peek_type (const uint8_t *data, size_t len)
{
  if (len < 2 || (data[0] & FIXARRAY_MASK) != FIXARRAY
      || data[1] >= HS_INNER_TYPE_COUNT)
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
    case HS_INNER_REFUSED_SYN:
      msgpack_pack_uint64 (out, inner->segment_header.service_id);
      msgpack_pack_uint64 (out, inner->segment_header.agent_id);
      msgpack_pack_uint32 (out, inner->segment_header.wait_max_ms);
      msgpack_pack_uint32 (out, inner->segment_header.hold_max_ms);
      msgpack_pack_uint32 (out, inner->segment_header.priority);
      msgpack_pack_uint32 (out, inner->segment_header.cold_flow_rate);
      msgpack_pack_uint8 (out, inner->segment_header.owner_only);
      msgpack_pack_uint8 (out, (uint8_t)inner->segment_header.reason);
      break;
    case HS_INNER_OWNERSHIP:
      msgpack_pack_uint64 (out, inner->ownership.agent_id);
      msgpack_pack_uint8 (out, (uint8_t)inner->ownership.lookup_answer);
      hs_pack_addr (out, &inner->ownership.key.caller);
      hs_pack_addr (out, &inner->ownership.key.address);
      break;
    case HS_INNER_LOAD_REPORT:
      pack_load_report (out, &inner->load_report);
      break;
    case HS_INNER_HEARTBEAT:
      pack_heartbeat (out, &inner->heartbeat);
      break;
    case HS_INNER_STATUS:
      msgpack_pack_uint64 (out, inner->status.configuration_generation);
      msgpack_pack_uint64 (out, inner->status.agents_digest);
      msgpack_pack_uint32 (out, inner->status.agents_total);
      pack_addrs (out, &inner->status.control_hosts);
      pack_addrs (out, &inner->status.agents);
      break;
    case HS_INNER_FETCH:
      msgpack_pack_uint64 (out, inner->chunk.generation);
      msgpack_pack_uint64 (out, inner->chunk.base_generation);
      msgpack_pack_uint32 (out, inner->chunk.offset);
      break;
    case HS_INNER_CHUNK:
      pack_chunk (out, &inner->chunk);
      break;
    case HS_INNER_LOOKUP_QUERY:
      pack_lookup_query (out, &inner->queried_segment);
      break;
    case HS_INNER_LOAD_QUERY:
      msgpack_pack_uint64 (out, inner->load_query.configuration_generation);
      msgpack_pack_uint32 (out, inner->load_query.flow_idle_ms);
      break;
    case HS_INNER_SYN_HELD:
      msgpack_pack_uint64 (out, inner->ownership.agent_id);
      hs_pack_addr (out, &inner->ownership.key.caller);
      hs_pack_addr (out, &inner->ownership.key.address);
      break;
    case HS_INNER_EVACUATIONS:
      pack_evacuations (out, &inner->evacuations);
      break;
    case HS_INNER_NONE:
    case HS_INNER_REPLICA:
    case HS_INNER_TYPE_COUNT:
      break;
    }
}

static void
pack_load_report (msgpack_packer *out, const struct hs_load_report *report)
{
  msgpack_pack_uint64 (out, report->agent_id);
  msgpack_pack_uint64 (out, report->incarnation);
  msgpack_pack_uint64 (out, report->seq);
  msgpack_pack_uint64 (out, report->service_id);
  hs_pack_addr (out, &report->address);
  msgpack_pack_uint8 (out, (uint8_t)report->state);
  msgpack_pack_array (out, LOAD_FIELDS);
  msgpack_pack_uint32 (out, report->slots);
  msgpack_pack_uint32 (out, report->requests_in_progress);
  msgpack_pack_uint32 (out, report->open_flows);
  msgpack_pack_uint32 (out, report->cold_ms);
  msgpack_pack_uint32 (out, report->cold_room);
  msgpack_pack_uint32 (out, report->hold_room);
  msgpack_pack_uint32 (out, report->mean_work_us);
  msgpack_pack_uint32 (out, report->work_left_us);
  msgpack_pack_uint8 (out, report->no_upstream);
  hs_pack_text (out, report->zone);
}

static void
pack_heartbeat (msgpack_packer *out,
                const struct hs_inner_heartbeat *heartbeat)
{
  msgpack_pack_uint8 (out, (uint8_t)heartbeat->role);
  msgpack_pack_uint64 (out, heartbeat->node_id);
  msgpack_pack_uint64 (out, heartbeat->incarnation);
  msgpack_pack_uint64 (out, heartbeat->configuration_generation);
  msgpack_pack_uint64 (out, heartbeat->evacuation_revision);
  msgpack_pack_uint8 (out, heartbeat->wants_agents);
  hs_pack_addr (out, &heartbeat->address);
  hs_pack_text (out, heartbeat->name);
  hs_pack_text (out, heartbeat->zone);
}

static void
pack_addrs (msgpack_packer *out, const struct hs_inner_addrs *addrs)
{
  msgpack_pack_array (out, addrs->len * ADDR_FIELDS);
  for (size_t i = 0; i < addrs->len; i++)
    hs_pack_addr (out, &addrs->values[i]);
}

static void
pack_chunk (msgpack_packer *out, const struct hs_inner_chunk *chunk)
{
  msgpack_pack_uint64 (out, chunk->generation);
  msgpack_pack_uint64 (out, chunk->base_generation);
  msgpack_pack_uint32 (out, chunk->total_len);
  msgpack_pack_uint32 (out, chunk->offset);
  msgpack_pack_bin (out, chunk->len);
  msgpack_pack_bin_body (out, chunk->bytes, chunk->len);
}

static void
pack_evacuations (msgpack_packer *out,
                  const struct hs_evacuations *evacuations)
{
  msgpack_pack_uint64 (out, evacuations->revision);
  msgpack_pack_array (out, evacuations->len);
  for (size_t i = 0; i < evacuations->len; i++)
    hs_pack_text (out, evacuations->zones[i]);
}

static void
pack_lookup_query (msgpack_packer *out, const struct hs_segment *segment)
{
  hs_pack_addr (out, &segment->from);
  hs_pack_addr (out, &segment->to);
  msgpack_pack_uint8 (out, (uint8_t)segment->flags);
  msgpack_pack_uint32 (out, segment->seq);
  msgpack_pack_uint32 (out, segment->ack);
}

static void
unpack_body (struct hs_unpacker *in, struct hs_inner *inner)
{
  switch (inner->type)
    {
    case HS_INNER_FORWARD:
    case HS_INNER_REFUSED_SYN:
      inner->segment_header.service_id = hs_unpack_uint (in, UINT64_MAX);
      inner->segment_header.agent_id = hs_unpack_uint (in, UINT64_MAX);
      inner->segment_header.wait_max_ms
          = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
      inner->segment_header.hold_max_ms
          = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
      inner->segment_header.priority
          = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
      inner->segment_header.cold_flow_rate
          = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
      inner->segment_header.owner_only = hs_unpack_uint (in, 1) != 0;
      inner->segment_header.reason
          = (enum hs_reason)hs_unpack_uint (in, HS_REASON_COUNT - 1);
      break;
    case HS_INNER_OWNERSHIP:
      inner->ownership.agent_id = hs_unpack_uint (in, UINT64_MAX);
      inner->ownership.lookup_answer = (enum hs_lookup_answer)hs_unpack_uint (
          in, HS_LOOKUP_RECORDED_ELSEWHERE);
      hs_unpack_addr (in, &inner->ownership.key.caller);
      hs_unpack_addr (in, &inner->ownership.key.address);
      break;
    case HS_INNER_LOAD_REPORT:
      unpack_load_report (in, &inner->load_report);
      break;
    case HS_INNER_HEARTBEAT:
      unpack_heartbeat (in, &inner->heartbeat);
      break;
    case HS_INNER_STATUS:
      inner->status.configuration_generation = hs_unpack_uint (in, UINT64_MAX);
      inner->status.agents_digest = hs_unpack_uint (in, UINT64_MAX);
      inner->status.agents_total = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
      unpack_addrs (in, &inner->status.control_hosts);
      unpack_addrs (in, &inner->status.agents);
      break;
    case HS_INNER_FETCH:
      inner->chunk.generation = hs_unpack_uint (in, UINT64_MAX);
      inner->chunk.base_generation = hs_unpack_uint (in, UINT64_MAX);
      inner->chunk.offset = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
      break;
    case HS_INNER_CHUNK:
      unpack_chunk (in, &inner->chunk);
      break;
    case HS_INNER_LOOKUP_QUERY:
      unpack_lookup_query (in, &inner->queried_segment);
      break;
    case HS_INNER_LOAD_QUERY:
      inner->load_query.configuration_generation
          = hs_unpack_uint (in, UINT64_MAX);
      inner->load_query.flow_idle_ms
          = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
      break;
    case HS_INNER_SYN_HELD:
      inner->ownership.agent_id = hs_unpack_uint (in, UINT64_MAX);
      hs_unpack_addr (in, &inner->ownership.key.caller);
      hs_unpack_addr (in, &inner->ownership.key.address);
      break;
    case HS_INNER_EVACUATIONS:
      unpack_evacuations (in, &inner->evacuations);
      break;
    case HS_INNER_NONE:
    case HS_INNER_REPLICA:
    case HS_INNER_TYPE_COUNT:
      in->ok = false;
      break;
    }
}

static void
unpack_load_report (struct hs_unpacker *in, struct hs_load_report *report)
{
  struct hs_unpacker load;
  uint32_t load_len;

  report->agent_id = hs_unpack_uint (in, UINT64_MAX);
  report->incarnation = hs_unpack_uint (in, UINT64_MAX);
  report->seq = hs_unpack_uint (in, UINT64_MAX);
  report->service_id = hs_unpack_uint (in, UINT64_MAX);
  hs_unpack_addr (in, &report->address);
  report->state
      = (enum hs_agent_state)hs_unpack_uint (in, HS_AGENT_UPSTREAM_SILENT);
  load = hs_unpack_array (in, &load_len, LOAD_FIELDS);
  report->slots = (uint32_t)hs_unpack_uint (&load, UINT32_MAX);
  report->requests_in_progress = (uint32_t)hs_unpack_uint (&load, UINT32_MAX);
  report->open_flows = (uint32_t)hs_unpack_uint (&load, UINT32_MAX);
  report->cold_ms = (uint32_t)hs_unpack_uint (&load, UINT32_MAX);
  report->cold_room = (uint32_t)hs_unpack_uint (&load, UINT32_MAX);
  report->hold_room = (uint32_t)hs_unpack_uint (&load, UINT32_MAX);
  report->mean_work_us = (uint32_t)hs_unpack_uint (&load, UINT32_MAX);
  report->work_left_us = (uint32_t)hs_unpack_uint (&load, UINT32_MAX);
  in->ok = in->ok && load.ok;
  report->no_upstream = hs_unpack_uint (in, 1) != 0;
  hs_unpack_text (in, report->zone, sizeof report->zone);
}

static void
unpack_heartbeat (struct hs_unpacker *in, struct hs_inner_heartbeat *heartbeat)
{
  heartbeat->role = (enum hs_role)hs_unpack_uint (in, HS_ROLE_ENTRY);
  heartbeat->node_id = hs_unpack_uint (in, UINT64_MAX);
  heartbeat->incarnation = hs_unpack_uint (in, UINT64_MAX);
  heartbeat->configuration_generation = hs_unpack_uint (in, UINT64_MAX);
  heartbeat->evacuation_revision = hs_unpack_uint (in, UINT64_MAX);
  heartbeat->wants_agents = hs_unpack_uint (in, 1) != 0;
  hs_unpack_addr (in, &heartbeat->address);
  hs_unpack_text (in, heartbeat->name, sizeof heartbeat->name);
  hs_unpack_text (in, heartbeat->zone, sizeof heartbeat->zone);
}

static void
unpack_addrs (struct hs_unpacker *in, struct hs_inner_addrs *addrs)
{
  uint32_t len;
  struct hs_unpacker elements
      = hs_unpack_array (in, &len, HS_INNER_ADDRS_MAX * ADDR_FIELDS);

  addrs->len = len / ADDR_FIELDS;
  for (size_t i = 0; i < addrs->len; i++)
    hs_unpack_addr (&elements, &addrs->values[i]);
  in->ok = in->ok && elements.ok;
}

static void
unpack_chunk (struct hs_unpacker *in, struct hs_inner_chunk *chunk)
{
  chunk->generation = hs_unpack_uint (in, UINT64_MAX);
  chunk->base_generation = hs_unpack_uint (in, UINT64_MAX);
  chunk->total_len = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  chunk->offset = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  chunk->len
      = (uint32_t)hs_unpack_bin (in, chunk->bytes, HS_INNER_CHUNK_SIZE_MAX);
}

static void
unpack_evacuations (struct hs_unpacker *in, struct hs_evacuations *evacuations)
{
  uint32_t len;
  struct hs_unpacker zones;

  evacuations->revision = hs_unpack_uint (in, UINT64_MAX);
  zones = hs_unpack_array (in, &len, HS_EVACUATED_ZONES_MAX);
  evacuations->len = len;
  for (uint32_t i = 0; i < len; i++)
    hs_unpack_text (&zones, evacuations->zones[i], HS_NAME_SIZE);
  in->ok = in->ok && zones.ok;
}

static void
unpack_lookup_query (struct hs_unpacker *in, struct hs_segment *segment)
{
  hs_unpack_addr (in, &segment->from);
  hs_unpack_addr (in, &segment->to);
  segment->flags = (unsigned int)hs_unpack_uint (in, UINT8_MAX);
  segment->seq = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  segment->ack = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  segment->payload_len = 0;
}
