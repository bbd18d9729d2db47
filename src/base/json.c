/* json.c -- type-checked access to the fields of JSON objects.  */

#include "base/json.h"

#include <string.h>
#include <talloc.h>

/* Public definitions.  */

json_t *
hs_json_load (const char *text, size_t len, GError **error)
{
  json_error_t parse_error;
  json_t *value = json_loadb (text, len, 0, &parse_error);

  if (value != NULL && json_is_object (value))
    return value;
  g_set_error (error, HS_ERROR, HS_ERROR_MALFORMED,
               "expected a JSON object: %s",
               value != NULL ? "got another JSON type" : parse_error.text);
  json_decref (value);
  return NULL;
}

bool
hs_json_string (const json_t *object, const char *key, const char **text,
                GError **error)
{
  *text = json_string_value (json_object_get (object, key));
  return *text != NULL || hs_json_set_field_error (key, error);
}

bool
hs_json_name (const json_t *object, const char *key, const char **name,
              GError **error)
{
  return hs_json_string (object, key, name, error)
         && (strlen (*name) < HS_NAME_SIZE
             || hs_json_set_field_error (key, error));
}

bool
hs_json_uint (const json_t *object, const char *key, uint64_t max,
              uint64_t *value, GError **error)
{
  const json_t *number = json_object_get (object, key);

  if (!json_is_integer (number) || json_integer_value (number) < 0
      || (uint64_t)json_integer_value (number) > max)
    return hs_json_set_field_error (key, error);
  *value = (uint64_t)json_integer_value (number);
  return true;
}

bool
hs_json_uint32 (const json_t *object, const char *key, uint32_t *value,
                GError **error)
{
  uint64_t number;

  if (!hs_json_uint (object, key, UINT32_MAX, &number, error))
    return false;
  *value = (uint32_t)number;
  return true;
}

bool
hs_json_array (const json_t *object, const char *key, const json_t **array,
               GError **error)
{
  *array = json_object_get (object, key);
  return json_is_array (*array) || hs_json_set_field_error (key, error);
}

bool
hs_json_rate (const json_t *object, const char *key, uint32_t *rate,
              GError **error)
{
  const json_t *number = json_object_get (object, key);
  double per_1000_s = json_number_value (number) * 1000;

  *rate = 0;
  if (number == NULL || json_is_null (number))
    return true;
  if (!json_is_number (number) || per_1000_s < 0 || per_1000_s > UINT32_MAX)
    return hs_json_set_field_error (key, error);
  *rate = (uint32_t)per_1000_s;
  return true;
}

bool
hs_json_names (const json_t *object, const char *key, void *parent, size_t max,
               const char ***names, size_t *len, GError **error)
{
  const json_t *array = json_object_get (object, key);

  *len = 0;
  *names = NULL;
  if (array == NULL || json_is_null (array))
    return true;
  if (!json_is_array (array) || json_array_size (array) > max)
    return hs_json_set_field_error (key, error);
  *names = talloc_array (parent, const char *, json_array_size (array));
  for (size_t i = 0; i < json_array_size (array); i++)
    {
      const char *name = json_string_value (json_array_get (array, i));

      if (name == NULL || strlen (name) >= HS_NAME_SIZE)
        return hs_json_set_field_error (key, error);
      (*names)[(*len)++] = talloc_strdup (*names, name);
    }
  return true;
}

bool
hs_json_set_field_error (const char *key, GError **error)
{
  g_set_error (error, HS_ERROR, HS_ERROR_MALFORMED,
               "field %s: missing, of the wrong type or out of range", key);
  return false;
}
