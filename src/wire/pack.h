/* pack.h -- writing of MessagePack that the codecs share.  */

#ifndef HS_WIRE_PACK_H
#define HS_WIRE_PACK_H

#include "hibiscusspan.h"

#include <msgpack.h>

/* A buffer of fixed size as a packer's target.  */
struct hs_pack_buffer
{
  uint8_t *data;
  size_t len;
  size_t size;
};

int hs_pack_buffer_write (void *ctx, const char *bytes, size_t len);
void hs_pack_addr (msgpack_packer *out, const struct hs_addr *addr);
void hs_pack_text (msgpack_packer *out, const char *text);

#endif /* HS_WIRE_PACK_H */
