/* frame.c -- packet headers of the inner protocol in front of datagrams.  */

#include "daemon/frame.h"

#include <string.h>

/* Public definitions.  */

void
hs_frame_prepend (struct hs_packet *packet,
                  const struct hs_packet_header *header)
{
  uint8_t bytes[HS_PACKET_HEADER_MAX];
  size_t len = hs_packet_encode (header, bytes);

  packet->start = (uint16_t)(packet->start - len);
  packet->len = (uint16_t)(packet->len + len);
  memcpy (hs_packet_bytes (packet), bytes, len);
}

bool
hs_frame_strip (struct hs_packet *packet, struct hs_packet_header *header)
{
  size_t len
      = hs_packet_decode (hs_packet_bytes (packet), packet->len, header);

  if (len == 0)
    return false;
  packet->start = (uint16_t)(packet->start + len);
  packet->len = (uint16_t)(packet->len - len);
  return true;
}
