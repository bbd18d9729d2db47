/* configuration_message.h -- a configuration as compressed MessagePack.  */

#ifndef HS_WIRE_CONFIGURATION_MESSAGE_H
#define HS_WIRE_CONFIGURATION_MESSAGE_H

#include "hibiscusspan.h"

#define HS_CONFIGURATION_SIZE_MAX (4 * 1024 * 1024) /* Uncompressed.  */

uint8_t *hs_configuration_encode (void *parent,
                                  const struct hs_configuration *configuration,
                                  size_t *len);
struct hs_configuration *
hs_configuration_decode (void *parent, const uint8_t *data, size_t len,
                         GError **error); /* HS_ERROR_MALFORMED  */

struct hs_configuration *
hs_configuration_unpack (void *parent, const uint8_t *plain, size_t len,
                         GError **error); /* What was uncompressed.  */

/* Any bytes, with their length in front, and back.  */
uint8_t *hs_bytes_compress (void *parent, const uint8_t *data, size_t len,
                            size_t *compressed_len);
uint8_t *hs_bytes_uncompress (void *parent, const uint8_t *data, size_t len,
                              size_t *uncompressed_len,
                              GError **error); /* HS_ERROR_MALFORMED  */

#endif /* HS_WIRE_CONFIGURATION_MESSAGE_H */
