/* json.h -- type-checked access to the fields of JSON objects.

   Unless stated otherwise, a function returns true, or returns false and sets
   ERROR to an HS_ERROR_MALFORMED that names KEY if the field is missing, has
   another type or is out of range.  The returned strings and arrays belong to
   OBJECT.  */

#ifndef HS_BASE_JSON_H
#define HS_BASE_JSON_H

#include "hibiscusspan.h"

#include <jansson.h>

/* Parses LEN bytes of JSON.  Returns a new reference to an object, to be
   released with json_decref, or NULL with HS_ERROR_MALFORMED if TEXT is not
   JSON or not an object.  */
json_t *hs_json_load (const char *text, size_t len, GError **error);

/* Gets a string.  */
bool hs_json_string (const json_t *object, const char *key, const char **text,
                     GError **error);

/* Gets a string shorter than HS_NAME_SIZE bytes.  Its characters are not
   checked.  */
bool hs_json_name (const json_t *object, const char *key, const char **name,
                   GError **error);

/* Gets an integer from 0 to MAX.  */
bool hs_json_uint (const json_t *object, const char *key, uint64_t max,
                   uint64_t *value, GError **error);

/* Gets an integer from 0 to UINT32_MAX.  */
bool hs_json_uint32 (const json_t *object, const char *key, uint32_t *value,
                     GError **error);

/* Gets an array.  */
bool hs_json_array (const json_t *object, const char *key,
                    const json_t **array, GError **error);

/* Gets a rate in events per second, in thousandths, from a number that is not
   negative; 0 if the field is missing or null.  */
bool hs_json_rate (const json_t *object, const char *key, uint32_t *rate,
                   GError **error);

/* Gets an array of at most MAX strings shorter than HS_NAME_SIZE, copied under
   PARENT; none if the field is missing or null.  */
bool hs_json_names (const json_t *object, const char *key, void *parent,
                    size_t max, const char ***names, size_t *len,
                    GError **error);

/* Sets ERROR to an HS_ERROR_MALFORMED that names KEY.  Always returns
   false.  */
bool hs_json_set_field_error (const char *key, GError **error);

#endif /* HS_BASE_JSON_H */
