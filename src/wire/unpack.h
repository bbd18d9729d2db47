/* unpack.h -- checked reading of MessagePack arrays.

   A reader remembers the first failure: fields after it read as zero, and
   the caller looks at OK once.  */

#ifndef HS_WIRE_UNPACK_H
#define HS_WIRE_UNPACK_H

#include "hibiscusspan.h"

#include <msgpack.h>

#define HS_AUTO_UNPACKED __attribute__ ((cleanup (msgpack_unpacked_destroy)))

struct hs_unpacker
{
  const msgpack_object_array *fields;
  uint32_t next;
  bool ok;
};

/* Length of the one MessagePack object that DATA begins with, or 0 if the
   bytes are not one or claim more elements than there are bytes.  The
   library sets memory aside for as many elements as an array claims to have,
   so nothing is given to it that has not been measured.  */
size_t hs_unpack_object_len (const uint8_t *data, size_t len);

uint64_t hs_unpack_uint (struct hs_unpacker *in, uint64_t max);
void hs_unpack_addr (struct hs_unpacker *in, struct hs_addr *addr);
void hs_unpack_text (struct hs_unpacker *in, char *text, size_t size);
size_t hs_unpack_bin (struct hs_unpacker *in, uint8_t *bytes,
                      size_t max); /* Its length.  */
struct hs_unpacker hs_unpack_array (struct hs_unpacker *in, uint32_t *len,
                                    uint32_t max); /* Not OK: not an array.  */

#endif /* HS_WIRE_UNPACK_H */
