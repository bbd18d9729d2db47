/* pack.c -- MessagePack encoding of types that several messages share.  */

#include "wire/pack.h"

#include <string.h>
#include <talloc.h>

/* Public definitions.  */

int
hs_pack_buffer_write (void *ctx, const char *bytes, size_t len)
{
  struct hs_pack_buffer *buffer = ctx;

  if (buffer->len + len > buffer->size)
    return -1;
  memcpy (buffer->data + buffer->len, bytes, len);
  buffer->len += len;
  return 0;
}

void
hs_pack_addr (msgpack_packer *out, const struct hs_addr *addr)
{
  msgpack_pack_bin (out, sizeof addr->ip);
  msgpack_pack_bin_body (out, addr->ip, sizeof addr->ip);
  msgpack_pack_uint16 (out, addr->port);
}

void
hs_pack_text (msgpack_packer *out, const char *text)
{
  size_t len = strlen (text);

  msgpack_pack_str (out, len);
  msgpack_pack_str_body (out, text, len);
}

uint8_t *
hs_pack_finish (void *parent, msgpack_sbuffer *buffer, size_t *len)
{
  uint8_t *data = talloc_memdup (parent, buffer->data, buffer->size);

  *len = buffer->size;
  msgpack_sbuffer_destroy (buffer);
  return data;
}
