/* patch.h -- binary patches: the bytes that turn a base into a newer version
   of it.  */

#ifndef HS_WIRE_PATCH_H
#define HS_WIRE_PATCH_H

#include "hibiscusspan.h"

/* Makes the patch that turns BASE into DATA.  The returned bytes are a talloc
   child of PARENT; their length is stored in PATCH_LEN.  */
uint8_t *hs_patch_create (void *parent, const uint8_t *base, size_t base_len,
                          const uint8_t *data, size_t len, size_t *patch_len);

/* Applies a patch to the BASE that it was made for.  The returned bytes are a
   talloc child of PARENT; their length is stored in LEN.  NULL and
   HS_ERROR_MALFORMED if the patch is corrupt, was made for another base, or
   does not result in 1 byte to 4 MiB.  */
uint8_t *hs_patch_apply (void *parent, const uint8_t *base, size_t base_len,
                         const uint8_t *patch, size_t patch_len, size_t *len,
                         GError **error);

#endif /* HS_WIRE_PATCH_H */
