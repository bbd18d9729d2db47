/* json.h -- typed reading of JSON objects.

   Each function refuses a field that is missing or of another type with
   HS_ERROR_MALFORMED, which names it.  */

#ifndef HS_BASE_JSON_H
#define HS_BASE_JSON_H

#include "hibiscusspan.h"

#include <jansson.h>

json_t *hs_json_load (const char *text, size_t len,
                      GError **error); /* An object; the caller's.  */
bool hs_json_text (const json_t *object, const char *key, const char **text,
                   GError **error);
bool hs_json_name (const json_t *object, const char *key, const char **name,
                   GError **error); /* Shorter than HS_NAME_SIZE.  */
bool hs_json_uint (const json_t *object, const char *key, uint64_t max,
                   uint64_t *value, GError **error);
bool hs_json_uint32 (const json_t *object, const char *key, uint32_t *value,
                     GError **error);
bool hs_json_array (const json_t *object, const char *key,
                    const json_t **array, GError **error);
bool hs_json_refuse (const char *key, GError **error); /* Always false.  */

#endif /* HS_BASE_JSON_H */
