/* unpack.h -- checked reading of MessagePack arrays.

   An unpacker reads the elements of one array in order.  After the first
   element that is missing, of the wrong type or out of range, OK is false and
   all further elements read as zero or empty, so it is enough to check OK
   once, at the end.  */

#ifndef HS_WIRE_UNPACK_H
#define HS_WIRE_UNPACK_H

#include "hibiscusspan.h"

#include <msgpack.h>

/* Destroys a msgpack_unpacked, which must have been initialized, at the end of
   its scope.  */
#define HS_AUTO_UNPACKED __attribute__ ((cleanup (msgpack_unpacked_destroy)))

struct hs_unpacker
{
  const msgpack_object_array *fields;
  uint32_t next; /* Index of the element to read next.  */
  bool ok;
};

/* Length in bytes of the one MessagePack object that DATA begins with; 0 if
   it is truncated or declares more elements than there are bytes left.  The
   msgpack library allocates as many elements as an array declares, so only
   bytes that have passed this check may be given to it.  */
size_t hs_unpack_object_len (const uint8_t *data, size_t len);

/* Decodes DATA, which must be exactly one array, to UNPACKED, which must have
   been initialized, and sets IN to its elements.  Returns false with
   HS_ERROR_MALFORMED if it is not.  */
bool hs_unpack_open (msgpack_unpacked *unpacked, const uint8_t *data,
                     size_t len, struct hs_unpacker *in, GError **error);

/* Reads an unsigned integer of at most MAX.  */
uint64_t hs_unpack_uint (struct hs_unpacker *in, uint64_t max);

/* Reads what hs_pack_addr packed.  On failure the port is 0 and the IP may be
   unchanged.  */
void hs_unpack_addr (struct hs_unpacker *in, struct hs_addr *addr);

/* Reads a string without NUL bytes to TEXT, of SIZE bytes with the NUL.  */
void hs_unpack_text (struct hs_unpacker *in, char *text, size_t size);

/* Reads a byte string of at most MAX bytes; returns its length.  */
size_t hs_unpack_bin (struct hs_unpacker *in, uint8_t *bytes, size_t max);

/* Returns an unpacker of the next element, an array of at most MAX elements,
   and stores their number in LEN.  On failure, OK of both unpackers is false
   and LEN is 0.  A later failure of the returned unpacker does not change OK
   of IN: check both.  */
struct hs_unpacker hs_unpack_array (struct hs_unpacker *in, uint32_t *len,
                                    uint32_t max);

#endif /* HS_WIRE_UNPACK_H */
