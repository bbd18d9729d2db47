/* flow_message.h -- encoding of the messages about flow ownership that agents
   exchange, one per datagram.

   A message is a MessagePack array.  Agents receive these messages and
   forwarded packets on one socket; the length of the array, in the first
   byte, distinguishes a message from the header of a packet.  */

#ifndef HS_WIRE_FLOW_MESSAGE_H
#define HS_WIRE_FLOW_MESSAGE_H

#include "hibiscusspan.h"

#define HS_FLOW_MESSAGE_SIZE_MAX 1500 /* Bytes of an encoded message.  */

/* Whether the first byte of DATA is that of a flow message; the rest is not
   checked.  */
bool hs_flow_message_matches (const uint8_t *data, size_t len);

/* Encodes MESSAGE to DATA, of HS_FLOW_MESSAGE_SIZE_MAX bytes; returns the
   encoded length.  */
size_t hs_flow_message_encode (const struct hs_flow_message *message,
                               uint8_t *data);

/* Decodes DATA to MESSAGE; false if DATA is not exactly one valid message.
   from_address is left zero, for the transport to set.  */
bool hs_flow_message_decode (const uint8_t *data, size_t len,
                             struct hs_flow_message *message);

#endif /* HS_WIRE_FLOW_MESSAGE_H */
