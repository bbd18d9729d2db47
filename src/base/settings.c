/* settings.c -- settings from flags, which argp parses, environment variables
   and a file.  */

#include "base/settings.h"

#include <argp.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

#define SETTINGS_MAX 32  /* Settings of a program.  */
#define KEY_BASE 0x100   /* Not a character, so argp adds no short options.  */
#define VARIABLE_SIZE 64 /* Bytes of a flag or variable name, with NUL.  */
#define FILE_SETTING_NAME "settings" /* Its value is a path.  */

struct loader
{
  const struct hs_program *program;
  const char *flag_values[SETTINGS_MAX]; /* Per setting; NULL: not given.  */
  struct hs_args *args; /* NULL: no positional arguments allowed.  */
  char **file_lines;    /* NULL-terminated; NULL: no file.  */
};

const char *argp_program_version = "hibiscusspan 0.1.0";

/* Private functions.  */

static bool load_fields (struct loader *loader, void *fields, GError **error);
static bool read_file (struct loader *loader, GError **error);
static bool check_file (const struct loader *loader, const char *path,
                        GError **error);
static const char *find_value (const struct loader *loader, size_t i,
                               char *source);
static const char *find_in_file (const struct loader *loader,
                                 const char *variable);
static bool set_addrs (const char *source, const char *text,
                       struct hs_addrs *addrs, GError **error);
static error_t parse_option (int key, char *arg, struct argp_state *state);
static bool set_field (const struct hs_setting *setting, const char *source,
                       const char *text, void *fields, GError **error);
static bool set_uint (const struct hs_setting *setting, const char *source,
                      const char *text, uint64_t *value, GError **error);
static bool set_decimal (const struct hs_setting *setting, const char *source,
                         const char *text, double *value, GError **error);
static void format_variable (const struct hs_setting *setting, char *variable);
static bool set_invalid_error (const char *source, const char *text,
                               const char *expected, GError **error);

/* Public definitions.  */

bool
hs_settings_load (const struct hs_program *program, int argc, char **argv,
                  void *fields, struct hs_args *args, GError **error)
{
  struct argp_option options[SETTINGS_MAX + 1] = { 0 };
  struct loader loader = { .program = program, .args = args };
  struct argp argp
      = { options, parse_option, program->args_doc, program->doc, NULL,
          NULL,    NULL };
  bool loaded;

  for (size_t i = 0; i < program->settings_len; i++)
    {
      const struct hs_setting *setting = &program->settings[i];

      options[i].name = setting->name;
      options[i].key = KEY_BASE + (int)i;
      options[i].arg = setting->type == HS_SETTING_BOOL ? NULL : "VALUE";
      options[i].doc = setting->help;
    }
  argp_err_exit_status = HS_EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &loader);
  loaded = read_file (&loader, error) && load_fields (&loader, fields, error);
  g_strfreev (loader.file_lines);
  return loaded;
}

void
hs_settings_load_or_exit (const struct hs_program *program, int argc,
                          char **argv, void *fields, struct hs_args *args)
{
  g_autoptr (GError) error = NULL;

  if (hs_settings_load (program, argc, argv, fields, args, &error))
    return;
  fprintf (stderr, "%s: %s\n", program_invocation_short_name, error->message);
  exit (HS_EXIT_USAGE);
}

/* Private definitions.  */

/* Sets each field of FIELDS from the value of its setting.  */
static bool
load_fields (struct loader *loader, void *fields, GError **error)
{
  for (size_t i = 0; i < loader->program->settings_len; i++)
    {
      const struct hs_setting *setting = &loader->program->settings[i];
      char source[VARIABLE_SIZE];
      const char *text = find_value (loader, i, source);

      if (text == NULL)
        return set_invalid_error (source, "nothing", setting->help, error);
      if (!set_field (setting, source, g_intern_string (text), fields, error))
        return false;
    }
  return true;
}

/* Reads and checks the file that the setting FILE_SETTING_NAME names, if
   any.  */
static bool
read_file (struct loader *loader, GError **error)
{
  g_autofree char *text = NULL;
  const char *path = NULL;
  char source[VARIABLE_SIZE];
  gsize len;

  for (size_t i = 0; i < loader->program->settings_len; i++)
    if (strcmp (loader->program->settings[i].name, FILE_SETTING_NAME) == 0)
      path = find_value (loader, i, source);
  if (path == NULL || path[0] == '\0')
    return true;
  if (!g_file_get_contents (path, &text, &len, error))
    return false;
  if (len > HS_SETTINGS_FILE_MAX || strlen (text) != len)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "%s: expected text without NUL, at most %d bytes", path,
                   HS_SETTINGS_FILE_MAX);
      return false;
    }
  loader->file_lines = g_strsplit (text, "\n", -1);
  return check_file (loader, path, error);
}

/* Strips the lines of the file at PATH of surrounding spaces, and checks that
   each is empty, a comment or the value of a known setting.  An unknown name
   is an error, because it is most likely misspelled.  */
static bool
check_file (const struct loader *loader, const char *path, GError **error)
{
  for (size_t n = 0; loader->file_lines[n] != NULL; n++)
    {
      const char *line = g_strstrip (loader->file_lines[n]);
      bool known = line[0] == '\0' || line[0] == '#';

      for (size_t i = 0; !known && i < loader->program->settings_len; i++)
        {
          char variable[VARIABLE_SIZE];
          size_t len;

          format_variable (&loader->program->settings[i], variable);
          len = strlen (variable);
          known = strncmp (line, variable, len) == 0 && line[len] == '=';
        }
      if (known)
        continue;
      g_set_error (
          error, HS_ERROR, HS_ERROR_INVALID,
          "%s: line %zu: got '%s', expected VARIABLE=value of a known setting",
          path, n + 1, line);
      return false;
    }
  return true;
}

/* Returns the value of setting I, or NULL if it is required and not set.
   Writes the flag or variable that sets it, for messages, to SOURCE, which has
   room for VARIABLE_SIZE bytes.  */
static const char *
find_value (const struct loader *loader, size_t i, char *source)
{
  const struct hs_setting *setting = &loader->program->settings[i];
  char variable[VARIABLE_SIZE];

  g_snprintf (source, VARIABLE_SIZE, "--%s", setting->name);
  if (loader->flag_values[i] != NULL)
    return loader->flag_values[i];
  format_variable (setting, variable);
  if (getenv (variable) == NULL && find_in_file (loader, variable) == NULL)
    return setting->default_value;
  g_strlcpy (source, variable, VARIABLE_SIZE);
  return getenv (variable) != NULL ? getenv (variable)
                                   : find_in_file (loader, variable);
}

/* Returns the value of VARIABLE in the file, or NULL.  */
static const char *
find_in_file (const struct loader *loader, const char *variable)
{
  size_t len = strlen (variable);

  for (char **line = loader->file_lines; line != NULL && *line != NULL; line++)
    if (strncmp (*line, variable, len) == 0 && (*line)[len] == '=')
      return *line + len + 1;
  return NULL;
}

/* The parser callback of argp: stores the values of flags and the positional
   arguments.  */
static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct loader *loader = state->input;
  size_t i = (size_t)(key - KEY_BASE);

  if (key == ARGP_KEY_ARG)
    {
      if (loader->args == NULL || loader->args->len == HS_SETTINGS_ARGS_MAX)
        argp_error (state, "unexpected argument '%s'", arg);
      loader->args->values[loader->args->len++] = arg;
      return 0;
    }
  if (key < KEY_BASE || i >= loader->program->settings_len)
    return ARGP_ERR_UNKNOWN;
  loader->flag_values[i] = arg != NULL ? arg : "1";
  return 0;
}

/* Parses TEXT into the field of SETTING.  SOURCE is the flag or variable that
   TEXT comes from.  */
static bool
set_field (const struct hs_setting *setting, const char *source,
           const char *text, void *fields, GError **error)
{
  char *field = (char *)fields + setting->offset;

  switch (setting->type)
    {
    case HS_SETTING_STRING:
      *(const char **)(void *)field = text;
      return true;
    case HS_SETTING_NAME:
      if (!hs_name_is_valid (text))
        return set_invalid_error (
            source, text, "1 to 63 letters, digits, '-', '_' or '.'", error);
      *(const char **)(void *)field = text;
      return true;
    case HS_SETTING_ADDR:
      if (!hs_addr_parse (text, (struct hs_addr *)(void *)field))
        return set_invalid_error (source, text, "IP:PORT or [IP]:PORT", error);
      return true;
    case HS_SETTING_ADDRS:
      return set_addrs (source, text, (struct hs_addrs *)(void *)field, error);
    case HS_SETTING_UINT:
      return set_uint (setting, source, text, (uint64_t *)(void *)field,
                       error);
    case HS_SETTING_DECIMAL:
      return set_decimal (setting, source, text, (double *)(void *)field,
                          error);
    case HS_SETTING_BOOL:
      if (strcmp (text, "1") != 0 && strcmp (text, "0") != 0)
        return set_invalid_error (source, text, "1 or 0", error);
      *(bool *)field = text[0] == '1';
      return true;
    }
  return false;
}

/* Parses addresses separated by commas.  Empty parts are ignored.  */
static bool
set_addrs (const char *source, const char *text, struct hs_addrs *addrs,
           GError **error)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", -1);

  addrs->len = 0;
  for (size_t i = 0; parts[i] != NULL; i++)
    {
      if (parts[i][0] == '\0')
        continue;
      if (addrs->len == HS_SETTINGS_ADDRS_MAX
          || !hs_addr_parse (parts[i], &addrs->values[addrs->len]))
        return set_invalid_error (
            source, text, "up to 16 addresses IP:PORT separated by commas",
            error);
      addrs->len++;
    }
  return true;
}

static bool
set_uint (const struct hs_setting *setting, const char *source,
          const char *text, uint64_t *value, GError **error)
{
  g_autofree char *expected = g_strdup_printf (
      "a whole number from %llu to %llu", (unsigned long long)setting->min,
      (unsigned long long)setting->max);
  guint64 number;

  if (!g_ascii_string_to_unsigned (text, 10, setting->min, setting->max,
                                   &number, NULL))
    return set_invalid_error (source, text, expected, error);
  *value = number;
  return true;
}

static bool
set_decimal (const struct hs_setting *setting, const char *source,
             const char *text, double *value, GError **error)
{
  g_autofree char *expected = g_strdup_printf (
      "a number from %llu to %llu", (unsigned long long)setting->min,
      (unsigned long long)setting->max);
  char *end;
  double number = g_ascii_strtod (text, &end);

  /* The comparisons are negated so that NaN is rejected.  */
  if (end == text || *end != '\0'
      || !(number >= (double)setting->min && number <= (double)setting->max))
    return set_invalid_error (source, text, expected, error);
  *value = number;
  return true;
}

/* Writes the name of SETTING's environment variable to VARIABLE, which has
   room for VARIABLE_SIZE bytes.  */
static void
format_variable (const struct hs_setting *setting, char *variable)
{
  g_snprintf (variable, VARIABLE_SIZE, "HIBISCUSSPAN_%s", setting->name);
  for (char *c = variable; *c != '\0'; c++)
    *c = *c == '-' ? '_' : (char)toupper ((unsigned char)*c);
}

/* Sets ERROR to the HS_ERROR_INVALID for the bad value TEXT of the flag or
   variable SOURCE.  Always returns false.  */
static bool
set_invalid_error (const char *source, const char *text, const char *expected,
                   GError **error)
{
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID, "%s: got '%s', expected %s",
               source, text, expected);
  return false;
}
