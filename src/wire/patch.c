/* patch.c -- binary patches, made with zlib.

   The new version is compressed in blocks.  The preset dictionary of a block
   is the part of the base around the same offset.  A patch begins with the
   length of the new version; each block is preceded by its compressed length.
   zlib verifies the checksums of the dictionary and of the uncompressed block,
   so a patch is rejected if the base differs where the patch uses it.  */

#include "wire/patch.h"

#include <endian.h>
#include <string.h>
#include <talloc.h>
#include <zlib.h>

/* Types.  */

#define DICTIONARY_SIZE 32768           /* Bytes: the window of zlib.  */
#define BLOCK_SIZE 8192                 /* Bytes, uncompressed.  */
#define DATA_SIZE_MAX (4 * 1024 * 1024) /* Bytes of the new version.  */
#define LENGTH_SIZE sizeof (uint32_t)

/* Private functions.  */

static size_t choose_dictionary (size_t base_len, size_t offset,
                                 size_t *start);
static size_t block_len (size_t len, size_t offset);
static size_t deflate_block (const uint8_t *dictionary, size_t dictionary_len,
                             const uint8_t *data, size_t len, uint8_t *out,
                             size_t size);
static bool inflate_block (const uint8_t *dictionary, size_t dictionary_len,
                           const uint8_t *compressed, size_t compressed_len,
                           uint8_t *data, size_t len);
static void put_length (uint8_t *data, size_t length);
static size_t get_length (const uint8_t *data);

/* Public definitions.  */

uint8_t *
hs_patch_create (void *parent, const uint8_t *base, size_t base_len,
                 const uint8_t *data, size_t len, size_t *patch_len)
{
  size_t bound = LENGTH_SIZE + compressBound ((uLong)BLOCK_SIZE);
  size_t blocks = (len + BLOCK_SIZE - 1) / BLOCK_SIZE;
  uint8_t *patch
      = talloc_array (parent, uint8_t, LENGTH_SIZE + blocks * bound);
  size_t used = LENGTH_SIZE;

  put_length (patch, len);
  for (size_t offset = 0; offset < len; offset += BLOCK_SIZE)
    {
      size_t start;
      size_t dictionary_len = choose_dictionary (base_len, offset, &start);
      size_t size = deflate_block (
          base + start, dictionary_len, data + offset, block_len (len, offset),
          patch + used + LENGTH_SIZE, bound - LENGTH_SIZE);

      put_length (patch + used, size);
      used += LENGTH_SIZE + size;
    }
  *patch_len = used;
  return talloc_realloc (parent, patch, uint8_t, used);
}

uint8_t *
hs_patch_apply (void *parent, const uint8_t *base, size_t base_len,
                const uint8_t *patch, size_t patch_len, size_t *len,
                GError **error)
{
  size_t used = LENGTH_SIZE;
  uint8_t *data;

  *len = patch_len >= LENGTH_SIZE ? get_length (patch) : 0;
  if (*len == 0 || *len > DATA_SIZE_MAX)
    goto malformed;
  data = talloc_array (parent, uint8_t, *len);
  for (size_t offset = 0; offset < *len; offset += BLOCK_SIZE)
    {
      size_t start;
      size_t dictionary_len = choose_dictionary (base_len, offset, &start);
      size_t size = 0;
      bool valid = patch_len - used >= LENGTH_SIZE;

      if (valid)
        size = get_length (patch + used);
      valid = valid && size <= patch_len - used - LENGTH_SIZE;
      if (!valid
          || !inflate_block (base + start, dictionary_len,
                             patch + used + LENGTH_SIZE, size, data + offset,
                             block_len (*len, offset)))
        {
          talloc_free (data);
          goto malformed;
        }
      used += LENGTH_SIZE + size;
    }
  return data;
malformed:
  g_set_error (error, HS_ERROR, HS_ERROR_MALFORMED,
               "malformed patch, or patch made for another base");
  return NULL;
}

/* Private definitions.  */

/* Chooses the dictionary of the block at OFFSET: up to DICTIONARY_SIZE bytes
   of the base, centered on the block and shifted to lie within the base.
   Returns the length and stores the offset in START.  */
static size_t
choose_dictionary (size_t base_len, size_t offset, size_t *start)
{
  size_t before = (DICTIONARY_SIZE - BLOCK_SIZE) / 2;

  *start = offset > before ? offset - before : 0;
  if (*start + DICTIONARY_SIZE > base_len)
    *start = base_len > DICTIONARY_SIZE ? base_len - DICTIONARY_SIZE : 0;
  return base_len < DICTIONARY_SIZE ? base_len : DICTIONARY_SIZE;
}

static size_t
block_len (size_t len, size_t offset)
{
  return len - offset < BLOCK_SIZE ? len - offset : BLOCK_SIZE;
}

static size_t
deflate_block (const uint8_t *dictionary, size_t dictionary_len,
               const uint8_t *data, size_t len, uint8_t *out, size_t size)
{
  z_stream stream = { .next_in = (Bytef *)data,
                      .avail_in = (uInt)len,
                      .next_out = out,
                      .avail_out = (uInt)size };

  deflateInit (&stream, Z_BEST_COMPRESSION);
  deflateSetDictionary (&stream, dictionary, (uInt)dictionary_len);
  deflate (&stream, Z_FINISH);
  deflateEnd (&stream);
  return stream.total_out;
}

static bool
inflate_block (const uint8_t *dictionary, size_t dictionary_len,
               const uint8_t *compressed, size_t compressed_len, uint8_t *data,
               size_t len)
{
  z_stream stream = { .next_in = (Bytef *)compressed,
                      .avail_in = (uInt)compressed_len,
                      .next_out = data,
                      .avail_out = (uInt)len };
  bool valid;

  inflateInit (&stream);
  if (inflate (&stream, Z_FINISH) == Z_NEED_DICT)
    inflateSetDictionary (&stream, dictionary, (uInt)dictionary_len);
  valid
      = inflate (&stream, Z_FINISH) == Z_STREAM_END && stream.total_out == len;
  inflateEnd (&stream);
  return valid;
}

static void
put_length (uint8_t *data, size_t length)
{
  uint32_t value = htole32 ((uint32_t)length);

  memcpy (data, &value, sizeof value);
}

static size_t
get_length (const uint8_t *data)
{
  uint32_t value;

  memcpy (&value, data, sizeof value);
  return le32toh (value);
}
