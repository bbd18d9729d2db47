/* inner.h -- the inner protocol: small messages between entries, agents and
   control hosts, one per datagram.

   Configurations are named by their generation (hs_configuration_generation),
   so that 0 stands for none in every message.

   Each is a MessagePack array whose first element is the type.  The bytes of
   a caller's segment, unchanged, follow a FORWARD and a REFUSED_SYN.  */

#ifndef HS_WIRE_INNER_H
#define HS_WIRE_INNER_H

#include "hibiscusspan.h"

#define HS_INNER_SIZE_MAX 1400         /* Bytes of an encoded message.  */
#define HS_INNER_SEGMENT_HEADER_MAX 64 /* Bytes in front of a segment.  */
#define HS_INNER_ADDRS_MAX 48          /* Addresses of one list.  */
#define HS_INNER_CHUNK_SIZE_MAX 1100   /* Bytes of a chunk.  */

enum hs_inner_type
{
  HS_INNER_NONE,         /* Not a message.  */
  HS_INNER_FORWARD,      /* Entry to agent: a caller's segment.  */
  HS_INNER_REFUSED_SYN,  /* Agent to entry: a SYN refused before any request
                            ran.  */
  HS_INNER_OWNERSHIP,    /* Agent to entry: lookup answer.  Entry to the
                            flow's directory agent: record the owner.  */
  HS_INNER_LOAD_REPORT,  /* Agent to entry: answer to a LOAD_QUERY, or
                            notification of a change of state.  */
  HS_INNER_HEARTBEAT,    /* Entry or agent to control.  */
  HS_INNER_STATUS,       /* Control to entry or agent: reply to a heartbeat,
                            or notification of a change.  */
  HS_INNER_FETCH,        /* Entry to control: requests a chunk of the
                            configuration.  */
  HS_INNER_CHUNK,        /* Control to entry: reply to a FETCH.  */
  HS_INNER_REPLICA,      /* Between control hosts: see replica_message.h.  */
  HS_INNER_LOOKUP_QUERY, /* Entry to agent: does it own the flow?  */
  HS_INNER_LOAD_QUERY,   /* Entry to agent: requests a LOAD_REPORT.  */
  HS_INNER_EVACUATIONS,  /* Control to entry or agent: the zones that are
                            evacuated.  */
  HS_INNER_SYN_HELD,     /* Agent to entry: it holds a SYN until its upstream
                            has room.  */
  HS_INNER_TYPE_COUNT
};

struct hs_inner_segment_header
{
  uint64_t service_id;  /* FORWARD: the service that the flow is meant
                           for.  */
  uint64_t agent_id;    /* FORWARD: the receiver; REFUSED_SYN: the sender.  */
  uint32_t wait_max_ms; /* FORWARD of a SYN: refused if its request would wait
                           longer for a slot; 0: no limit.  */
  uint32_t hold_max_ms; /* FORWARD of a SYN: without room, it may be held for
                           so long before it is refused.  */
  uint32_t priority;    /* FORWARD of a SYN: of its route.  */
  uint32_t cold_flow_rate; /* FORWARD of a SYN: new flows in 1,000 s that the
                              upstream bears while it is cold; 0: no limit.  */
  bool owner_only;       /* FORWARD: only the owner of the flow accepts it.  */
  enum hs_reason reason; /* REFUSED_SYN  */
};

struct hs_inner_ownership
{
  uint64_t agent_id; /* SYN_HELD: the sender.  Lookup answer OWNED, NOT_OWNED
                        or UNKNOWN: the sender; RECORDED_ELSEWHERE: the owner
                        on record.  */
  enum hs_lookup_answer lookup_answer; /* Not in SYN_HELD.  */
  struct hs_segment_key key;
};

struct hs_inner_heartbeat
{
  enum hs_role role;
  uint64_t node_id; /* hs_id_from_name of the name.  */
  uint64_t incarnation;
  uint64_t configuration_generation; /* In force at the sender; 0: none.  */
  uint64_t evacuation_revision;      /* On which the sender acts.  */
  bool wants_agents;                 /* Entry: requests the list of agents.  */
  struct hs_addr address;
  char name[HS_NAME_SIZE];
  char zone[HS_NAME_SIZE];
};

struct hs_inner_addrs
{
  size_t len;
  struct hs_addr values[HS_INNER_ADDRS_MAX];
};

struct hs_inner_status
{
  uint64_t configuration_generation; /* The newest; 0: none known.  */
  uint64_t agents_digest;            /* XOR of hs_addr_hash of all agents.  */
  uint32_t agents_total; /* Length of the whole list, which may take several
                            messages; 0: AGENTS are new, and not the list.  */
  struct hs_inner_addrs control_hosts;
  struct hs_inner_addrs agents;
};

/* Agents fetch no configuration: they learn the idle timeout from queries.  */
struct hs_inner_load_query
{
  uint64_t configuration_generation; /* In force at the entry; 0: none yet.  */
  uint32_t flow_idle_ms;             /* As in struct hs_configuration.  */
};

struct hs_inner_chunk
{
  uint64_t generation;      /* Of the configuration.  */
  uint64_t base_generation; /* FETCH: what the entry has; 0: it needs the whole
                               configuration.  CHUNK: what the patch applies
                               to; 0: the bytes are the whole configuration,
                               not a patch.  */
  uint32_t total_len;       /* Length of all chunks, bytes; 0: GENERATION is
                               not available.  */
  uint32_t offset;          /* Offset of the chunk, bytes.  */
  uint32_t len;
  uint8_t bytes[HS_INNER_CHUNK_SIZE_MAX];
};

struct hs_inner
{
  enum hs_inner_type type;
  union
  {
    struct hs_inner_segment_header segment_header; /* FORWARD, REFUSED_SYN  */
    struct hs_inner_ownership ownership;           /* OWNERSHIP, SYN_HELD  */
    struct hs_segment queried_segment; /* LOOKUP_QUERY: the caller's latest
                                          one; payload_len is not sent.  */
    struct hs_load_report load_report;
    struct hs_inner_load_query load_query;
    struct hs_inner_heartbeat heartbeat;
    struct hs_inner_status status;
    struct hs_evacuations evacuations;
    struct hs_inner_chunk chunk; /* CHUNK; FETCH sends generation,
                                    base_generation and offset.  */
  };
};

/* Encodes INNER to DATA, of HS_INNER_SIZE_MAX bytes; returns the encoded
   length.  Not for HS_INNER_REPLICA.  */
size_t hs_inner_encode (const struct hs_inner *inner, uint8_t *data);

/* Decodes the message that DATA begins with; returns its length, or 0 if it
   is malformed or of type HS_INNER_REPLICA.  INNER is unspecified then.  */
size_t hs_inner_decode (const uint8_t *data, size_t len,
                        struct hs_inner *inner);

/* The type according to the first two bytes of DATA, or HS_INNER_NONE; the
   rest is not checked.  */
enum hs_inner_type hs_inner_peek_type (const uint8_t *data, size_t len);

#endif /* HS_WIRE_INNER_H */
