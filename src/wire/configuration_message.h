/* configuration_message.h -- encoding of configurations as compressed
   MessagePack, and compression of byte strings.  */

#ifndef HS_WIRE_CONFIGURATION_MESSAGE_H
#define HS_WIRE_CONFIGURATION_MESSAGE_H

#include "hibiscusspan.h"

/* Bytes of an uncompressed configuration.  */
#define HS_CONFIGURATION_SIZE_MAX (4 * 1024 * 1024)

/* Encodes CONFIGURATION as MessagePack and compresses the result.  The
   returned bytes are a talloc child of PARENT; their length is stored in
   LEN.  */
uint8_t *hs_configuration_encode (void *parent,
                                  const struct hs_configuration *configuration,
                                  size_t *len);

/* Decodes what hs_configuration_encode returned.  The result is a talloc
   child of PARENT; NULL and HS_ERROR_MALFORMED if DATA is not valid.  */
struct hs_configuration *hs_configuration_decode (void *parent,
                                                  const uint8_t *data,
                                                  size_t len, GError **error);

/* As hs_configuration_decode, but of MessagePack that is not compressed.  */
struct hs_configuration *hs_configuration_unpack (void *parent,
                                                  const uint8_t *plain,
                                                  size_t len, GError **error);

/* Compresses DATA with zlib and puts its uncompressed length in front, as 32
   bits little-endian.  The returned bytes are a talloc child of PARENT.  */
uint8_t *hs_bytes_compress (void *parent, const uint8_t *data, size_t len,
                            size_t *compressed_len);

/* Inverse of hs_bytes_compress.  A NUL follows the returned bytes and is not
   counted in UNCOMPRESSED_LEN.  They are a talloc child of PARENT; NULL and
   HS_ERROR_MALFORMED if DATA is corrupt or larger than
   HS_CONFIGURATION_SIZE_MAX when uncompressed.  */
uint8_t *hs_bytes_uncompress (void *parent, const uint8_t *data, size_t len,
                              size_t *uncompressed_len, GError **error);

#endif /* HS_WIRE_CONFIGURATION_MESSAGE_H */
