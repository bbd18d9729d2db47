/* packet.h -- encoding of the header of packets between entries and agents.

   A header is a MessagePack array in front of the payload.  Its first
   element is HS_PACKET_VERSION.  */

#ifndef HS_WIRE_PACKET_H
#define HS_WIRE_PACKET_H

#include "hibiscusspan.h"

#define HS_PACKET_VERSION 1
#define HS_PACKET_HEADER_MAX 96 /* Bytes.  */

enum hs_packet_type
{
  HS_PACKET_FORWARD = 1,  /* Sent to an agent: a datagram of a caller.  */
  HS_PACKET_RETURN,       /* Sent to an entry: a datagram for a caller.  */
  HS_PACKET_ROUTE_UPDATE, /* Sent to an entry, for its route cache: owner_id
                             owns the flow.  */
  HS_PACKET_REFUSE /* Sent to an entry: the datagram was refused before any
                      request ran.  */
};

struct hs_packet_header
{
  enum hs_packet_type type;
  uint32_t service_id;
  uint64_t view_number;       /* The sender's.  */
  uint64_t to_incarnation;    /* Incarnation of the intended receiver.  */
  uint64_t entry_incarnation; /* FORWARD  */
  uint64_t owner_id;          /* ROUTE_UPDATE: agent id.  */
  struct hs_addr caller;
  uint64_t assigned_view; /* FORWARD: see struct hs_hop.  */
  bool uncertain;         /* FORWARD: see struct hs_hop.  */
  uint8_t hops;           /* FORWARD: agents passed so far.  */
  enum hs_reason reason;  /* REFUSE  */
};

/* Encodes HEADER to DATA, of HS_PACKET_HEADER_MAX bytes; returns the encoded
   length.  */
size_t hs_packet_encode (const struct hs_packet_header *header, uint8_t *data);

/* Decodes the header that DATA begins with; returns its length, or 0 if it
   is malformed.  */
size_t hs_packet_decode (const uint8_t *data, size_t len,
                         struct hs_packet_header *header);

#endif /* HS_WIRE_PACKET_H */
