/* frame.h -- packet headers of the inner protocol in front of datagrams.  */

#ifndef HS_DAEMON_FRAME_H
#define HS_DAEMON_FRAME_H

#include "daemon/batch.h"
#include "wire/packet.h"

/* Encodes HEADER into the headroom before PACKET's first byte.  */
void hs_frame_prepend (struct hs_packet *packet,
                       const struct hs_packet_header *header);

/* Decodes the header at PACKET's first byte and removes it from PACKET.
   Returns false, with PACKET unchanged, if there is no valid header.  */
bool hs_frame_strip (struct hs_packet *packet,
                     struct hs_packet_header *header);

#endif /* HS_DAEMON_FRAME_H */
