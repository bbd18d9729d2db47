/* unpack.c -- checked reading of MessagePack arrays.  */

#include "wire/unpack.h"

#include <string.h>

/* Types.  */

#define FIXMAP_MIN 0x80
#define FIXARRAY_MIN 0x90
#define FIXSTR_MIN 0xa0
#define FIXED_MIN 0xc0
#define FIXED_MAX 0xdf

/* How the bytes from FIXED_MIN to FIXED_MAX go on.  */
struct shape
{
  uint8_t length_bytes; /* Of a big-endian length.  */
  uint8_t payload;      /* Bytes besides what the length tells.  */
  uint8_t children;     /* Elements a unit of length stands for; 0: bytes.  */
};

static const struct shape shapes[] = {
  [0xc0 - FIXED_MIN] = { 0, 0, 0 }, [0xc2 - FIXED_MIN] = { 0, 0, 0 },
  [0xc3 - FIXED_MIN] = { 0, 0, 0 }, [0xc4 - FIXED_MIN] = { 1, 0, 0 },
  [0xc5 - FIXED_MIN] = { 2, 0, 0 }, [0xc6 - FIXED_MIN] = { 4, 0, 0 },
  [0xc7 - FIXED_MIN] = { 1, 1, 0 }, [0xc8 - FIXED_MIN] = { 2, 1, 0 },
  [0xc9 - FIXED_MIN] = { 4, 1, 0 }, [0xca - FIXED_MIN] = { 0, 4, 0 },
  [0xcb - FIXED_MIN] = { 0, 8, 0 }, [0xcc - FIXED_MIN] = { 0, 1, 0 },
  [0xcd - FIXED_MIN] = { 0, 2, 0 }, [0xce - FIXED_MIN] = { 0, 4, 0 },
  [0xcf - FIXED_MIN] = { 0, 8, 0 }, [0xd0 - FIXED_MIN] = { 0, 1, 0 },
  [0xd1 - FIXED_MIN] = { 0, 2, 0 }, [0xd2 - FIXED_MIN] = { 0, 4, 0 },
  [0xd3 - FIXED_MIN] = { 0, 8, 0 }, [0xd4 - FIXED_MIN] = { 0, 2, 0 },
  [0xd5 - FIXED_MIN] = { 0, 3, 0 }, [0xd6 - FIXED_MIN] = { 0, 5, 0 },
  [0xd7 - FIXED_MIN] = { 0, 9, 0 }, [0xd8 - FIXED_MIN] = { 0, 17, 0 },
  [0xd9 - FIXED_MIN] = { 1, 0, 0 }, [0xda - FIXED_MIN] = { 2, 0, 0 },
  [0xdb - FIXED_MIN] = { 4, 0, 0 }, [0xdc - FIXED_MIN] = { 2, 0, 1 },
  [0xdd - FIXED_MIN] = { 4, 0, 1 }, [0xde - FIXED_MIN] = { 2, 0, 2 },
  [0xdf - FIXED_MIN] = { 4, 0, 2 },
};

/* Private functions.  */

static bool measure_element (const uint8_t *data, size_t len, size_t *used,
                             uint64_t *children);

static const msgpack_object *next (struct hs_unpacker *in,
                                   msgpack_object_type type);

/* Public definitions.  */

size_t
hs_unpack_object_len (const uint8_t *data, size_t len)
{
  uint64_t pending = 1; /* Elements still to come.  */
  size_t at = 0;

  while (pending > 0)
    {
      size_t used;
      uint64_t children;

      if (!measure_element (data + at, len - at, &used, &children))
        return 0;
      at += used;
      pending += children;
      pending--;
      /* Each takes one byte at least.  */
      if (pending > len - at)
        return 0;
    }
  return at;
}

uint64_t
hs_unpack_uint (struct hs_unpacker *in, uint64_t max)
{
  const msgpack_object *object = next (in, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (object == NULL)
    return 0;
  if (object->via.u64 > max)
    {
      in->ok = false;
      return 0;
    }
  return object->via.u64;
}

void
hs_unpack_addr (struct hs_unpacker *in, struct hs_addr *addr)
{
  const msgpack_object *object = next (in, MSGPACK_OBJECT_BIN);

  if (object != NULL && object->via.bin.size != sizeof addr->ip)
    in->ok = false;
  if (object != NULL && in->ok)
    memcpy (addr->ip, object->via.bin.ptr, sizeof addr->ip);
  addr->port = (uint16_t)hs_unpack_uint (in, UINT16_MAX);
}

void
hs_unpack_text (struct hs_unpacker *in, char *text, size_t size)
{
  const msgpack_object *object = next (in, MSGPACK_OBJECT_STR);
  size_t len;

  text[0] = '\0';
  if (object == NULL)
    return;
  len = object->via.str.size;
  if (len >= size || memchr (object->via.str.ptr, '\0', len) != NULL)
    {
      in->ok = false;
      return;
    }
  memcpy (text, object->via.str.ptr, len);
  text[len] = '\0';
}

size_t
hs_unpack_bin (struct hs_unpacker *in, uint8_t *bytes, size_t max)
{
  const msgpack_object *object = next (in, MSGPACK_OBJECT_BIN);

  if (object == NULL)
    return 0;
  if (object->via.bin.size > max)
    {
      in->ok = false;
      return 0;
    }
  memcpy (bytes, object->via.bin.ptr, object->via.bin.size);
  return object->via.bin.size;
}

struct hs_unpacker
hs_unpack_array (struct hs_unpacker *in, uint32_t *len, uint32_t max)
{
  const msgpack_object *object = next (in, MSGPACK_OBJECT_ARRAY);
  struct hs_unpacker inner = { NULL, 0, false };

  *len = 0;
  if (object == NULL || object->via.array.size > max)
    {
      in->ok = false;
      return inner;
    }
  *len = object->via.array.size;
  inner.fields = &object->via.array;
  inner.ok = true;
  return inner;
}

/* Private definitions.  */

/* Measures one element without its children.  */
static bool
measure_element (const uint8_t *data, size_t len, size_t *used,
                 uint64_t *children)
{
  const struct shape *shape;
  uint64_t length = 0;
  uint8_t first;

  if (len == 0)
    return false;
  first = data[0];
  *used = 1;
  *children = 0;
  if (first >= FIXMAP_MIN && first < FIXARRAY_MIN)
    *children = 2 * (uint64_t)(first - FIXMAP_MIN);
  else if (first >= FIXARRAY_MIN && first < FIXSTR_MIN)
    *children = first - FIXARRAY_MIN;
  else if (first >= FIXSTR_MIN && first < FIXED_MIN)
    *used += first - FIXSTR_MIN;
  if (first < FIXED_MIN || first > FIXED_MAX)
    return *used <= len;
  shape = &shapes[first - FIXED_MIN];
  *used += shape->length_bytes;
  if (*used > len)
    return false;
  for (size_t i = 1; i <= shape->length_bytes; i++)
    length = length << 8 | data[i];
  *children = length * shape->children;
  *used += shape->payload;
  if (shape->children == 0)
    *used += length;
  return *used <= len;
}

static const msgpack_object *
next (struct hs_unpacker *in, msgpack_object_type type)
{
  const msgpack_object *object;

  if (!in->ok || in->next >= in->fields->size)
    {
      in->ok = false;
      return NULL;
    }
  object = &in->fields->ptr[in->next++];
  if (object->type != type)
    {
      in->ok = false;
      return NULL;
    }
  return object;
}
