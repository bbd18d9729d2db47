/* settings.c -- settings from flags and environment variables, by argp.  */

#include "base/settings.h"

#include <argp.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

#define SETTINGS_MAX 32
#define KEY_BASE 0x100 /* Beyond the characters: no short options.  */
#define VARIABLE_SIZE 64
#define FILE_SETTING "settings" /* Names the file of settings.  */

struct load
{
  const struct hs_program *program;
  const char *texts[SETTINGS_MAX]; /* From flags; NULL: not given.  */
  struct hs_args *args;
  char **lines; /* Of the file, ends with NULL; NULL: no file.  */
};

const char *argp_program_version = "hibiscusspan 0.1.0";

/* Private functions.  */

static bool load_fields (struct load *load, void *fields, GError **error);
static bool read_lines (struct load *load, GError **error);
static bool check_lines (const struct load *load, const char *path,
                         GError **error);
static const char *find_text (const struct load *load, size_t i, char *source);
static const char *find_line (const struct load *load, const char *variable);
static bool set_addrs (const char *source, const char *text,
                       struct hs_addrs *addrs, GError **error);
static error_t parse_option (int key, char *arg, struct argp_state *state);
static bool set_field (const struct hs_setting *setting, const char *source,
                       const char *text, void *fields, GError **error);
static bool set_uint (const struct hs_setting *setting, const char *source,
                      const char *text, uint64_t *value, GError **error);
static bool set_decimal (const struct hs_setting *setting, const char *source,
                         const char *text, double *value, GError **error);
static void variable_of (const struct hs_setting *setting, char *variable);
static bool refuse (const char *source, const char *text, const char *takes,
                    GError **error);

/* Public definitions.  */

bool
hs_settings_load (const struct hs_program *program, int argc, char **argv,
                  void *fields, struct hs_args *args, GError **error)
{
  struct argp_option options[SETTINGS_MAX + 1] = { 0 };
  struct load load = { .program = program, .args = args };
  struct argp argp
      = { options, parse_option, program->args_doc, program->doc, NULL,
          NULL,    NULL };
  bool loaded;

  for (size_t i = 0; i < program->settings_len; i++)
    {
      const struct hs_setting *setting = &program->settings[i];

      options[i].name = setting->name;
      options[i].key = KEY_BASE + (int)i;
      options[i].arg = setting->type == HS_SETTING_FLAG ? NULL : "VALUE";
      options[i].doc = setting->help;
    }
  argp_err_exit_status = HS_EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &load);
  loaded = read_lines (&load, error) && load_fields (&load, fields, error);
  g_strfreev (load.lines);
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

static bool
load_fields (struct load *load, void *fields, GError **error)
{
  for (size_t i = 0; i < load->program->settings_len; i++)
    {
      const struct hs_setting *setting = &load->program->settings[i];
      char source[VARIABLE_SIZE];
      const char *text = find_text (load, i, source);

      if (text == NULL)
        return refuse (source, "nothing", setting->help, error);
      if (!set_field (setting, source, g_intern_string (text), fields, error))
        return false;
    }
  return true;
}

static bool
read_lines (struct load *load, GError **error)
{
  g_autofree char *text = NULL;
  const char *path = NULL;
  char source[VARIABLE_SIZE];
  gsize len;

  for (size_t i = 0; i < load->program->settings_len; i++)
    if (strcmp (load->program->settings[i].name, FILE_SETTING) == 0)
      path = find_text (load, i, source);
  if (path == NULL || path[0] == '\0')
    return true;
  if (!g_file_get_contents (path, &text, &len, error))
    return false;
  if (len > HS_SETTINGS_FILE_MAX || strlen (text) != len)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "%s: takes a text of at most %d bytes", path,
                   HS_SETTINGS_FILE_MAX);
      return false;
    }
  load->lines = g_strsplit (text, "\n", -1);
  return check_lines (load, path, error);
}

/* A name that no setting has is most likely a misspelt one.  */
static bool
check_lines (const struct load *load, const char *path, GError **error)
{
  for (size_t n = 0; load->lines[n] != NULL; n++)
    {
      const char *line = g_strstrip (load->lines[n]);
      bool known = line[0] == '\0' || line[0] == '#';

      for (size_t i = 0; !known && i < load->program->settings_len; i++)
        {
          char variable[VARIABLE_SIZE];
          size_t len;

          variable_of (&load->program->settings[i], variable);
          len = strlen (variable);
          known = strncmp (line, variable, len) == 0 && line[len] == '=';
        }
      if (known)
        continue;
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "%s: line %zu: got '%s', takes VARIABLE=value", path, n + 1,
                   line);
      return false;
    }
  return true;
}

/* The text of setting I and where it comes from; NULL: from nowhere.  */
static const char *
find_text (const struct load *load, size_t i, char *source)
{
  const struct hs_setting *setting = &load->program->settings[i];
  char variable[VARIABLE_SIZE];

  g_snprintf (source, VARIABLE_SIZE, "--%s", setting->name);
  if (load->texts[i] != NULL)
    return load->texts[i];
  variable_of (setting, variable);
  if (getenv (variable) == NULL && find_line (load, variable) == NULL)
    return setting->fallback;
  g_strlcpy (source, variable, VARIABLE_SIZE);
  return getenv (variable) != NULL ? getenv (variable)
                                   : find_line (load, variable);
}

static const char *
find_line (const struct load *load, const char *variable)
{
  size_t len = strlen (variable);

  for (char **line = load->lines; line != NULL && *line != NULL; line++)
    if (strncmp (*line, variable, len) == 0 && (*line)[len] == '=')
      return *line + len + 1;
  return NULL;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct load *load = state->input;
  size_t i = (size_t)(key - KEY_BASE);

  if (key == ARGP_KEY_ARG)
    {
      if (load->args == NULL || load->args->len == HS_SETTINGS_ARGS_MAX)
        argp_error (state, "unexpected argument '%s'", arg);
      load->args->values[load->args->len++] = arg;
      return 0;
    }
  if (key < KEY_BASE || i >= load->program->settings_len)
    return ARGP_ERR_UNKNOWN;
  load->texts[i] = arg != NULL ? arg : "1";
  return 0;
}

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
        return refuse (source, text,
                       "1 to 63 letters, digits, '-', '_' or '.'", error);
      *(const char **)(void *)field = text;
      return true;
    case HS_SETTING_ADDR:
      if (!hs_addr_parse (text, (struct hs_addr *)(void *)field))
        return refuse (source, text, "IP:PORT or [IP]:PORT", error);
      return true;
    case HS_SETTING_ADDRS:
      return set_addrs (source, text, (struct hs_addrs *)(void *)field, error);
    case HS_SETTING_UINT:
      return set_uint (setting, source, text, (uint64_t *)(void *)field,
                       error);
    case HS_SETTING_DECIMAL:
      return set_decimal (setting, source, text, (double *)(void *)field,
                          error);
    case HS_SETTING_FLAG:
      if (strcmp (text, "1") != 0 && strcmp (text, "0") != 0)
        return refuse (source, text, "1 or 0", error);
      *(bool *)field = text[0] == '1';
      return true;
    }
  return false;
}

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
        return refuse (source, text, "at most 16 of IP:PORT, with commas",
                       error);
      addrs->len++;
    }
  return true;
}

static bool
set_uint (const struct hs_setting *setting, const char *source,
          const char *text, uint64_t *value, GError **error)
{
  g_autofree char *takes = g_strdup_printf ("a whole number from %llu to %llu",
                                            (unsigned long long)setting->min,
                                            (unsigned long long)setting->max);
  guint64 number;

  if (!g_ascii_string_to_unsigned (text, 10, setting->min, setting->max,
                                   &number, NULL))
    return refuse (source, text, takes, error);
  *value = number;
  return true;
}

static bool
set_decimal (const struct hs_setting *setting, const char *source,
             const char *text, double *value, GError **error)
{
  g_autofree char *takes = g_strdup_printf ("a number from %llu to %llu",
                                            (unsigned long long)setting->min,
                                            (unsigned long long)setting->max);
  char *end;
  double number = g_ascii_strtod (text, &end);

  /* Not a number compares with nothing.  */
  if (end == text || *end != '\0'
      || !(number >= (double)setting->min && number <= (double)setting->max))
    return refuse (source, text, takes, error);
  *value = number;
  return true;
}

static void
variable_of (const struct hs_setting *setting, char *variable)
{
  g_snprintf (variable, VARIABLE_SIZE, "HIBISCUSSPAN_%s", setting->name);
  for (char *c = variable; *c != '\0'; c++)
    *c = *c == '-' ? '_' : (char)toupper ((unsigned char)*c);
}

static bool
refuse (const char *source, const char *text, const char *takes,
        GError **error)
{
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID, "%s: got '%s', takes %s",
               source, text, takes);
  return false;
}
