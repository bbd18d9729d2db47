/* inner.h -- small messages between entries, agents and control hosts, one a
   datagram.

   Each is a MessagePack array whose first element is the type.  Behind a
   FORWARD and a REFUSED stand the bytes of the segment, as the caller sent
   them.  */

#ifndef HS_WIRE_INNER_H
#define HS_WIRE_INNER_H

#include "hibiscusspan.h"

#define HS_INNER_SIZE_MAX 1400 /* Bytes of an encoded message.  */
#define HS_INNER_SEGMENT_HEADER_MAX                                           \
  64                          /* The same, of those in front of segments. */
#define HS_INNER_ADDRS_MAX 48 /* Addresses of one list.  */
#define HS_INNER_CHUNK_SIZE_MAX 1100 /* Bytes of a part.  */

enum hs_inner_type
{
  HS_INNER_NONE,        /* Not a message.  */
  HS_INNER_FORWARD,     /* Entry to agent: a caller's segment.  */
  HS_INNER_REFUSED_SYN, /* Agent to entry: a SYN that has not run.  */
  HS_INNER_OWNERSHIP, /* Agent to entry: whether it holds a flow.  Entry to the
                    flow's home: who does.  */
  HS_INNER_LOAD_REPORT,  /* Agent to entry: its load.  */
  HS_INNER_HEARTBEAT,    /* Entry or agent to control: it is there.  */
  HS_INNER_STATUS,       /* The answer to it.  */
  HS_INNER_FETCH,        /* Entry to control: a part of the configuration.  */
  HS_INNER_CHUNK,        /* The answer to it.  */
  HS_INNER_REPLICA,      /* Between control hosts: see replica_message.h.  */
  HS_INNER_LOOKUP_QUERY, /* Entry to agent: does it hold the flow?  */
  HS_INNER_TYPE_COUNT
};

struct hs_inner_segment_header
{
  uint64_t service_id;   /* FORWARD: that the flow is meant for.  */
  uint64_t agent_id;     /* Of the agent.  */
  bool owner_only;       /* FORWARD: only the holder of the flow takes it.  */
  enum hs_reason reason; /* REFUSED  */
};

struct hs_inner_ownership
{
  uint64_t agent_id;
  enum hs_lookup_answer lookup_answer;
  struct hs_segment_key key;
};

struct hs_inner_heartbeat
{
  enum hs_role role;
  uint64_t node_id;
  uint64_t incarnation;
  uint64_t configuration_version; /* Of the configuration in force there.  */
  uint64_t entries_digest; /* Digest of the list of entries known there.  */
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
  uint64_t
      configuration_version; /* Of the newest configuration; 0: none known.  */
  uint64_t entries_digest;   /* Digest of the list of entries.  */
  bool has_entries;          /* False: the receiver's list is up to date.  */
  uint32_t entries_total;    /* Of the whole list, of which this message may
                                have a part.  */
  struct hs_inner_addrs controls;
  struct hs_inner_addrs entries;
};

struct hs_inner_chunk
{
  uint64_t version;
  uint64_t base_version; /* FETCH: version that is there.  PART: that whose
                    changes these are; 0: the whole configuration.  */
  uint32_t total_len; /* Bytes of the whole; 0: that version is not here.  */
  uint32_t offset;
  uint32_t len;
  uint8_t bytes[HS_INNER_CHUNK_SIZE_MAX];
};

struct hs_inner
{
  enum hs_inner_type type;
  union
  {
    struct hs_inner_segment_header segment_header; /* FORWARD, REFUSED  */
    struct hs_inner_ownership ownership;
    struct hs_segment
        queried_segment; /* ASK: the latest of the caller; no payload.  */
    struct hs_load_report load_report;
    struct hs_inner_heartbeat heartbeat;
    struct hs_inner_status status;
    struct hs_inner_chunk chunk; /* PART; FETCH: version, base, offset  */
  };
};

size_t hs_inner_encode (const struct hs_inner *inner,
                        uint8_t *data); /* HS_INNER_SIZE_MAX bytes; returns
                                           the length.  */
size_t hs_inner_decode (const uint8_t *data, size_t len,
                        struct hs_inner *inner); /* Bytes used; 0: not a
                                                    message.  */
enum hs_inner_type hs_inner_type (const uint8_t *data,
                                  size_t len); /* By its first bytes.  */

#endif /* HS_WIRE_INNER_H */
