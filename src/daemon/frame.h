/* frame.h -- headers of the inner protocol in front of datagrams.  */

#ifndef HS_DAEMON_FRAME_H
#define HS_DAEMON_FRAME_H

#include "daemon/batch.h"
#include "wire/packet.h"

void hs_frame_prepend (struct hs_packet *packet,
                       const struct hs_packet_header *header); /* In front.  */
bool hs_frame_strip (struct hs_packet *packet,
                     struct hs_packet_header *header); /* False: none.  */

#endif /* HS_DAEMON_FRAME_H */
