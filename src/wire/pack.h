/* pack.h -- MessagePack encoding of types that several messages share.  */

#ifndef HS_WIRE_PACK_H
#define HS_WIRE_PACK_H

#include "hibiscusspan.h"

#include <msgpack.h>

/* Output of a packer, of fixed size.  */
struct hs_pack_buffer
{
  uint8_t *data;
  size_t len;  /* Bytes written.  */
  size_t size; /* Bytes of DATA.  */
};

/* Write callback of msgpack_packer_init; CTX is a struct hs_pack_buffer.
   Writes nothing and returns -1 if BYTES do not fit, else 0.  */
int hs_pack_buffer_write (void *ctx, const char *bytes, size_t len);

/* Packs two elements: the IP as 16 bytes, and the port.  */
void hs_pack_addr (msgpack_packer *out, const struct hs_addr *addr);

/* Packs a string, without its NUL.  */
void hs_pack_text (msgpack_packer *out, const char *text);

/* Moves the bytes of BUFFER to a talloc child of PARENT, which is returned,
   and destroys BUFFER.  Their number is stored in LEN.  */
uint8_t *hs_pack_finish (void *parent, msgpack_sbuffer *buffer, size_t *len);

#endif /* HS_WIRE_PACK_H */
