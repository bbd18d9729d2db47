/* document.c -- parses and formats the JSON document of a service.

   A document with any error is rejected as a whole.  The error message for a
   wrong or missing value gives the line, the field and the values that are
   allowed.  */

#include "base/auto.h"
#include "hibiscusspan.h"

#include <string.h>

/* Types.  */

#define GRACE_S_MAX 86400
#define DEADLINE_MS_MIN 100
#define DEADLINE_MS_MAX 600000
#define GRACE_S_DEFAULT 60
#define DEADLINE_MS_DEFAULT 10000
#define MS_PER_S 1000
#define NO_RULE (-1) /* The field is not part of a request rule.  */

/* The text being parsed, as needed to report errors in it.  */
struct parser
{
  const char *text;
  size_t len;
  int rule_index; /* Index of the rule being parsed, or NO_RULE.  */
  GError **error;
};

static const char *const document_fields[]
    = { "service", "kind", "address", "grace_s", "deadline_ms", "requests" };
static const char *const rule_fields[]
    = { "method", "path", "idempotent", "deadline_ms" };
static const char *const methods[]
    = { "GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "IPATCH" };

/* Private functions.  */

static bool read_document (struct parser *parser, const json_t *json,
                           struct hs_document *document);
static bool read_rules (struct parser *parser, const json_t *rules,
                        struct hs_document *document);
static bool read_rule (struct parser *parser, const json_t *json,
                       uint32_t deadline_ms, struct hs_request_rule *rule);
static bool read_kind (struct parser *parser, const json_t *json,
                       enum hs_service_kind *kind);
static bool read_address (struct parser *parser, const json_t *json,
                          struct hs_addr *address);
static bool read_name (struct parser *parser, const json_t *json, char *name);
static bool read_method (struct parser *parser, const json_t *json,
                         char *method);
static bool read_path (struct parser *parser, const json_t *json, char *path);
static bool read_uint (struct parser *parser, const json_t *json,
                       const char *field, uint32_t min, uint32_t max,
                       uint32_t default_value, uint32_t *value);
static bool read_bool (struct parser *parser, const json_t *json,
                       const char *field, bool default_value, bool *value);
static bool check_fields (struct parser *parser, const json_t *json,
                          const char *const *fields, size_t len);
static bool reject (const struct parser *parser, const char *field,
                    const char *message);
static int find_line (const struct parser *parser, const char *field);
static json_t *format_rule (const struct hs_request_rule *rule);

/* Public definitions.  */

struct hs_document *
hs_document_parse (void *parent, const char *json, size_t len, GError **error)
{
  HS_AUTO_JSON json_t *root = NULL;
  json_error_t json_error;
  struct parser parser = { json, len, NO_RULE, error };
  struct hs_document *document;

  if (len > HS_DOCUMENT_SIZE_MAX)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_LIMIT,
                   "document has %zu bytes, the limit is %d", len,
                   HS_DOCUMENT_SIZE_MAX);
      return NULL;
    }
  root = json_loadb (json, len, JSON_REJECT_DUPLICATES, &json_error);
  if (root == NULL)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_MALFORMED, "line %d: %s",
                   json_error.line, json_error.text);
      return NULL;
    }
  document = talloc_zero (parent, struct hs_document);
  if (!read_document (&parser, root, document))
    {
      talloc_free (document);
      return NULL;
    }
  return document;
}

char *
hs_document_format (void *parent, const struct hs_document *document)
{
  HS_AUTO_JSON json_t *root = NULL;
  json_t *rules = json_array ();
  char address[HS_ADDR_TEXT_SIZE];
  char *text;
  char *copy;

  hs_addr_format (&document->address, address);
  for (size_t i = 0; i < document->rules_len; i++)
    json_array_append_new (rules, format_rule (&document->rules[i]));
  root = json_pack (
      "{s:s, s:s, s:s, s:i, s:i, s:o}", "service", document->service_name,
      "kind", document->kind == HS_SERVICE_KIND_COAP ? "coap" : "udp",
      "address", address, "grace_s", (int)(document->grace_ms / MS_PER_S),
      "deadline_ms", (int)document->deadline_ms, "requests", rules);
  text = json_dumps (root, JSON_INDENT (2));
  copy = talloc_strdup (parent, text);
  free (text);
  return copy;
}

const struct hs_request_rule *
hs_document_find_rule (const struct hs_document *document, const char *method,
                       const char *path)
{
  for (size_t i = 0; i < document->rules_len; i++)
    if (strcmp (document->rules[i].method, method) == 0
        && strcmp (document->rules[i].path, path) == 0)
      return &document->rules[i];
  return NULL;
}

bool
hs_method_is_idempotent (const char *method)
{
  return strcmp (method, "POST") != 0 && strcmp (method, "PATCH") != 0;
}

struct hs_service *
hs_service_copy (void *parent, const struct hs_service *service)
{
  struct hs_service *copy = talloc (parent, struct hs_service);
  const struct hs_document *document = service->document;

  *copy = *service;
  copy->document = talloc_memdup (copy, document, sizeof *document);
  copy->document->rules
      = talloc_memdup (copy->document, document->rules,
                       document->rules_len * sizeof document->rules[0]);
  return copy;
}

/* Private definitions.  */

static bool
read_document (struct parser *parser, const json_t *json,
               struct hs_document *document)
{
  uint32_t grace_s;

  if (!json_is_object (json))
    return reject (parser, "document", "must be an object");
  if (!check_fields (parser, json, document_fields,
                     G_N_ELEMENTS (document_fields))
      || !read_name (parser, json, document->service_name)
      || !read_kind (parser, json, &document->kind)
      || !read_address (parser, json, &document->address)
      || !read_uint (parser, json, "grace_s", 0, GRACE_S_MAX, GRACE_S_DEFAULT,
                     &grace_s)
      || !read_uint (parser, json, "deadline_ms", DEADLINE_MS_MIN,
                     DEADLINE_MS_MAX, DEADLINE_MS_DEFAULT,
                     &document->deadline_ms))
    return false;
  document->grace_ms = grace_s * MS_PER_S;
  return read_rules (parser, json_object_get (json, "requests"), document);
}

static bool
read_rules (struct parser *parser, const json_t *rules,
            struct hs_document *document)
{
  size_t len = json_array_size (rules);

  if (rules == NULL)
    return true;
  if (!json_is_array (rules) || len > HS_REQUEST_RULES_MAX)
    return reject (parser, "requests", "must be an array of at most 64 rules");
  if (len > 0 && document->kind != HS_SERVICE_KIND_COAP)
    return reject (parser, "requests", "must be absent or empty for kind udp");
  document->rules = talloc_zero_array (document, struct hs_request_rule, len);
  document->rules_len = len;
  for (size_t i = 0; i < len; i++)
    {
      struct hs_request_rule *rule = &document->rules[i];

      parser->rule_index = (int)i;
      if (!read_rule (parser, json_array_get (rules, i), document->deadline_ms,
                      rule))
        return false;
      if (hs_document_find_rule (document, rule->method, rule->path) != rule)
        return reject (parser, "path",
                       "duplicates the method and path of an earlier rule");
    }
  parser->rule_index = NO_RULE;
  return true;
}

static bool
read_rule (struct parser *parser, const json_t *json, uint32_t deadline_ms,
           struct hs_request_rule *rule)
{
  if (!json_is_object (json))
    return reject (parser, "rule", "must be an object");
  return check_fields (parser, json, rule_fields, G_N_ELEMENTS (rule_fields))
         && read_method (parser, json, rule->method)
         && read_path (parser, json, rule->path)
         && read_bool (parser, json, "idempotent",
                       hs_method_is_idempotent (rule->method),
                       &rule->idempotent)
         && read_uint (parser, json, "deadline_ms", DEADLINE_MS_MIN,
                       DEADLINE_MS_MAX, deadline_ms, &rule->deadline_ms);
}

static bool
read_kind (struct parser *parser, const json_t *json,
           enum hs_service_kind *kind)
{
  const char *text = json_string_value (json_object_get (json, "kind"));

  if (text != NULL && strcmp (text, "coap") == 0)
    *kind = HS_SERVICE_KIND_COAP;
  else if (text != NULL && strcmp (text, "udp") == 0)
    *kind = HS_SERVICE_KIND_UDP;
  else
    return reject (parser, "kind", "must be \"coap\" or \"udp\"");
  return true;
}

static bool
read_address (struct parser *parser, const json_t *json,
              struct hs_addr *address)
{
  const char *text = json_string_value (json_object_get (json, "address"));

  if (text == NULL || !hs_addr_parse (text, address) || address->port == 0)
    return reject (parser, "address", "must be \"IP:PORT\" or \"[IP]:PORT\"");
  return true;
}

static bool
read_name (struct parser *parser, const json_t *json, char *name)
{
  const char *text = json_string_value (json_object_get (json, "service"));

  if (text == NULL || !hs_name_is_valid (text))
    return reject (parser, "service",
                   "must be 1 to 63 letters, digits, '-', '_' or '.'");
  g_strlcpy (name, text, HS_NAME_SIZE);
  return true;
}

static bool
read_method (struct parser *parser, const json_t *json, char *method)
{
  const char *text = json_string_value (json_object_get (json, "method"));

  for (size_t i = 0; text != NULL && i < G_N_ELEMENTS (methods); i++)
    if (strcmp (text, methods[i]) == 0)
      {
        strcpy (method, text);
        return true;
      }
  return reject (parser, "method",
                 "must be GET, POST, PUT, DELETE, FETCH, PATCH or IPATCH");
}

static bool
read_path (struct parser *parser, const json_t *json, char *path)
{
  const char *text = json_string_value (json_object_get (json, "path"));

  if (text == NULL || text[0] != '/' || strlen (text) >= HS_PATH_SIZE)
    return reject (parser, "path",
                   "must be a path of at most 127 bytes that starts with '/'");
  g_strlcpy (path, text, HS_PATH_SIZE);
  return true;
}

/* Reads the optional integer FIELD, or sets *VALUE to DEFAULT_VALUE.  */
static bool
read_uint (struct parser *parser, const json_t *json, const char *field,
           uint32_t min, uint32_t max, uint32_t default_value, uint32_t *value)
{
  const json_t *number = json_object_get (json, field);
  g_autofree char *expected = NULL;

  *value = default_value;
  if (number == NULL)
    return true;
  if (json_is_integer (number) && json_integer_value (number) >= min
      && json_integer_value (number) <= max)
    {
      *value = (uint32_t)json_integer_value (number);
      return true;
    }
  expected = g_strdup_printf ("must be an integer from %u to %u", min, max);
  return reject (parser, field, expected);
}

/* Reads the optional boolean FIELD, or sets *VALUE to DEFAULT_VALUE.  */
static bool
read_bool (struct parser *parser, const json_t *json, const char *field,
           bool default_value, bool *value)
{
  const json_t *boolean = json_object_get (json, field);

  *value = default_value;
  if (boolean == NULL)
    return true;
  if (!json_is_boolean (boolean))
    return reject (parser, field, "must be true or false");
  *value = json_boolean_value (boolean);
  return true;
}

/* Rejects an object with a field that is not in FIELDS.  */
static bool
check_fields (struct parser *parser, const json_t *json,
              const char *const *fields, size_t len)
{
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)json, name, value)
  {
    bool known = false;

    for (size_t i = 0; i < len; i++)
      known = known || strcmp (name, fields[i]) == 0;
    if (!known)
      return reject (parser, name, "unknown field");
  }
  return true;
}

/* Sets the error for FIELD.  Always returns false.  */
static bool
reject (const struct parser *parser, const char *field, const char *message)
{
  if (parser->rule_index == NO_RULE)
    g_set_error (parser->error, HS_ERROR, HS_ERROR_INVALID, "line %d: %s: %s",
                 find_line (parser, field), field, message);
  else
    g_set_error (parser->error, HS_ERROR, HS_ERROR_INVALID,
                 "line %d: requests[%d].%s: %s", find_line (parser, field),
                 parser->rule_index, field, message);
  return false;
}

/* Returns the line of FIELD or, if it is absent, the line on which its object
   begins.  jansson does not keep the positions of values, so the text, which
   is known to be valid JSON, is scanned again.  Fields of the document are at
   depth 1, those of a rule at depth 3.  */
static int
find_line (const struct parser *parser, const char *field)
{
  int line = 1;
  int depth = 0;
  int rule = NO_RULE;
  int object_line = 1;
  int wanted_depth = parser->rule_index == NO_RULE ? 1 : 3;
  size_t field_len = strlen (field);

  for (size_t i = 0; i < parser->len; i++)
    {
      char c = parser->text[i];
      size_t start = i + 1;

      if (c == '\n')
        line++;
      if (c == '{' && depth == 2)
        rule++;
      if (c == '{' && depth == 2 && rule == parser->rule_index)
        object_line = line;
      if (c == '{' || c == '[')
        depth++;
      if (c == '}' || c == ']')
        depth--;
      if (c != '"')
        continue;
      for (i = start; i < parser->len && parser->text[i] != '"'; i++)
        if (parser->text[i] == '\\')
          i++;
      if (depth == wanted_depth && rule == parser->rule_index
          && i - start == field_len
          && memcmp (parser->text + start, field, field_len) == 0)
        return line;
      /* After the array of rules, fields are outside of any rule again.  */
      if (parser->rule_index == NO_RULE && depth == 1)
        rule = NO_RULE;
    }
  return object_line;
}

static json_t *
format_rule (const struct hs_request_rule *rule)
{
  return json_pack ("{s:s, s:s, s:b, s:i}", "method", rule->method, "path",
                    rule->path, "idempotent", rule->idempotent, "deadline_ms",
                    (int)rule->deadline_ms);
}
