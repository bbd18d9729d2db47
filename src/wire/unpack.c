/* unpack.c -- checked reading of MessagePack arrays.  */

#include "wire/unpack.h"

#include <string.h>

/* Types.  */

#define FIXMAP_MIN 0x80
#define FIXARRAY_MIN 0x90
#define FIXSTR_MIN 0xa0
/* First bytes that the table of formats covers.  */
#define FORMAT_MIN 0xc0
#define FORMAT_MAX 0xdf

/* Layout of an element whose first byte is FORMAT_MIN to FORMAT_MAX.  */
struct element_format
{
  uint8_t length_size; /* Bytes of the length field, big-endian; 0: none.  */
  uint8_t fixed_size;  /* Bytes that the length field does not count.  */
  uint8_t children;    /* Child elements per unit of length; 0: the length
                              counts bytes.  */
};

static const struct element_format formats[] = {
  [0xc0 - FORMAT_MIN] = { 0, 0, 0 }, [0xc2 - FORMAT_MIN] = { 0, 0, 0 },
  [0xc3 - FORMAT_MIN] = { 0, 0, 0 }, [0xc4 - FORMAT_MIN] = { 1, 0, 0 },
  [0xc5 - FORMAT_MIN] = { 2, 0, 0 }, [0xc6 - FORMAT_MIN] = { 4, 0, 0 },
  [0xc7 - FORMAT_MIN] = { 1, 1, 0 }, [0xc8 - FORMAT_MIN] = { 2, 1, 0 },
  [0xc9 - FORMAT_MIN] = { 4, 1, 0 }, [0xca - FORMAT_MIN] = { 0, 4, 0 },
  [0xcb - FORMAT_MIN] = { 0, 8, 0 }, [0xcc - FORMAT_MIN] = { 0, 1, 0 },
  [0xcd - FORMAT_MIN] = { 0, 2, 0 }, [0xce - FORMAT_MIN] = { 0, 4, 0 },
  [0xcf - FORMAT_MIN] = { 0, 8, 0 }, [0xd0 - FORMAT_MIN] = { 0, 1, 0 },
  [0xd1 - FORMAT_MIN] = { 0, 2, 0 }, [0xd2 - FORMAT_MIN] = { 0, 4, 0 },
  [0xd3 - FORMAT_MIN] = { 0, 8, 0 }, [0xd4 - FORMAT_MIN] = { 0, 2, 0 },
  [0xd5 - FORMAT_MIN] = { 0, 3, 0 }, [0xd6 - FORMAT_MIN] = { 0, 5, 0 },
  [0xd7 - FORMAT_MIN] = { 0, 9, 0 }, [0xd8 - FORMAT_MIN] = { 0, 17, 0 },
  [0xd9 - FORMAT_MIN] = { 1, 0, 0 }, [0xda - FORMAT_MIN] = { 2, 0, 0 },
  [0xdb - FORMAT_MIN] = { 4, 0, 0 }, [0xdc - FORMAT_MIN] = { 2, 0, 1 },
  [0xdd - FORMAT_MIN] = { 4, 0, 1 }, [0xde - FORMAT_MIN] = { 2, 0, 2 },
  [0xdf - FORMAT_MIN] = { 4, 0, 2 },
};

/* Private functions.  */

static bool measure_element (const uint8_t *data, size_t len, size_t *used,
                             uint64_t *children);

static const msgpack_object *next_element (struct hs_unpacker *in,
                                           msgpack_object_type type);

/* Public definitions.  */

size_t
hs_unpack_object_len (const uint8_t *data, size_t len)
{
  uint64_t pending = 1; /* Elements not measured yet.  */
  size_t offset = 0;

  while (pending > 0)
    {
      size_t used;
      uint64_t children;

      if (!measure_element (data + offset, len - offset, &used, &children))
        return 0;
      offset += used;
      pending += children;
      pending--;
      /* Each element takes at least one byte.  */
      if (pending > len - offset)
        return 0;
    }
  return offset;
}

bool
hs_unpack_open (msgpack_unpacked *unpacked, const uint8_t *data, size_t len,
                struct hs_unpacker *in, GError **error)
{
  size_t used = 0;

  if (hs_unpack_object_len (data, len) == len && len > 0
      && msgpack_unpack_next (unpacked, (const char *)data, len, &used)
             == MSGPACK_UNPACK_SUCCESS
      && unpacked->data.type == MSGPACK_OBJECT_ARRAY)
    {
      *in = (struct hs_unpacker){ &unpacked->data.via.array, 0, true };
      return true;
    }
  g_set_error (error, HS_ERROR, HS_ERROR_MALFORMED,
               "malformed MessagePack: expected exactly one array");
  return false;
}

uint64_t
hs_unpack_uint (struct hs_unpacker *in, uint64_t max)
{
  const msgpack_object *object
      = next_element (in, MSGPACK_OBJECT_POSITIVE_INTEGER);

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
  const msgpack_object *object = next_element (in, MSGPACK_OBJECT_BIN);

  if (object != NULL && object->via.bin.size != sizeof addr->ip)
    in->ok = false;
  if (object != NULL && in->ok)
    memcpy (addr->ip, object->via.bin.ptr, sizeof addr->ip);
  addr->port = (uint16_t)hs_unpack_uint (in, UINT16_MAX);
}

void
hs_unpack_text (struct hs_unpacker *in, char *text, size_t size)
{
  const msgpack_object *object = next_element (in, MSGPACK_OBJECT_STR);
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
  const msgpack_object *object = next_element (in, MSGPACK_OBJECT_BIN);

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
  const msgpack_object *object = next_element (in, MSGPACK_OBJECT_ARRAY);
  struct hs_unpacker nested = { NULL, 0, false };

  *len = 0;
  if (object == NULL || object->via.array.size > max)
    {
      in->ok = false;
      return nested;
    }
  *len = object->via.array.size;
  nested.fields = &object->via.array;
  nested.ok = true;
  return nested;
}

/* Private definitions.  */

/* Stores in USED the length of the element that DATA begins with, without its
   child elements, and in CHILDREN their number.  False: truncated.  */
static bool
measure_element (const uint8_t *data, size_t len, size_t *used,
                 uint64_t *children)
{
  const struct element_format *format;
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
  else if (first >= FIXSTR_MIN && first < FORMAT_MIN)
    *used += first - FIXSTR_MIN;
  if (first < FORMAT_MIN || first > FORMAT_MAX)
    return *used <= len;
  format = &formats[first - FORMAT_MIN];
  *used += format->length_size;
  if (*used > len)
    return false;
  for (size_t i = 1; i <= format->length_size; i++)
    length = length << 8 | data[i];
  *children = length * format->children;
  *used += format->fixed_size;
  if (format->children == 0)
    *used += length;
  return *used <= len;
}

static const msgpack_object *
next_element (struct hs_unpacker *in, msgpack_object_type type)
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
