/* flow_message.h -- messages between agents about flows, as datagrams.

   A MessagePack array, told apart from a packet's header by its length.  */

#ifndef HS_WIRE_FLOW_MESSAGE_H
#define HS_WIRE_FLOW_MESSAGE_H

#include "hibiscusspan.h"

#define HS_FLOW_MESSAGE_SIZE_MAX 1500 /* Bytes.  */

bool hs_flow_message_matches (const uint8_t *data,
                              size_t len); /* By its start. */
size_t hs_flow_message_encode (const struct hs_flow_message *message,
                               uint8_t *data); /* HS_FLOW_MESSAGE_SIZE_MAX  */
bool hs_flow_message_decode (const uint8_t *data, size_t len,
                             struct hs_flow_message *message);

#endif /* HS_WIRE_FLOW_MESSAGE_H */
