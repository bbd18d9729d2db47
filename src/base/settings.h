/* settings.h -- settings from flags, environment variables and a file.

   A setting NAME is set by the flag --NAME or by the variable
   HIBISCUSSPAN_NAME, in capitals and with '_' for '-'.  A program with a
   setting "settings" also reads the file that this setting names.  Each line
   of the file is VARIABLE=value; empty lines and lines that begin with '#' are
   ignored.  Flags override environment variables, which override the file.  */

#ifndef HS_BASE_SETTINGS_H
#define HS_BASE_SETTINGS_H

#include "hibiscusspan.h"

#define HS_EXIT_USAGE 64 /* Exit status for a bad setting, as EX_USAGE.  */
#define HS_SETTINGS_ARGS_MAX 8     /* Positional arguments.  */
#define HS_SETTINGS_ADDRS_MAX 16   /* Addresses in one setting.  */
#define HS_SETTINGS_FILE_MAX 65536 /* Bytes.  */

struct hs_addrs
{
  size_t len;
  struct hs_addr values[HS_SETTINGS_ADDRS_MAX];
};

/* The type of a setting, with the C type of its field.  */
enum hs_setting_type
{
  HS_SETTING_STRING,  /* const char *  */
  HS_SETTING_NAME,    /* const char *, valid by hs_name_is_valid.  */
  HS_SETTING_ADDR,    /* struct hs_addr, "IP:PORT" or "[IP]:PORT".  */
  HS_SETTING_ADDRS,   /* struct hs_addrs, separated by commas, or "".  */
  HS_SETTING_UINT,    /* uint64_t from MIN to MAX.  */
  HS_SETTING_DECIMAL, /* double from MIN to MAX, such as "6.9".  */
  HS_SETTING_BOOL     /* bool; the flag has no value, the variable is 1 or
                         0.  */
};

struct hs_setting
{
  const char *name;
  enum hs_setting_type type;
  const char *default_value; /* As text; NULL: the setting is required.  */
  uint64_t min; /* Only for HS_SETTING_UINT and HS_SETTING_DECIMAL.  */
  uint64_t max;
  size_t offset;    /* Offset of the field in the struct to be filled.  */
  const char *help; /* Shown by --help and in the error if the setting is
                       missing.  */
};

struct hs_program
{
  const char *doc;      /* One line for --help.  */
  const char *args_doc; /* Usage of the positional arguments, or NULL.  */
  const struct hs_setting *settings;
  size_t settings_len; /* At most 32.  */
};

/* Positional arguments.  */
struct hs_args
{
  size_t len;
  const char *values[HS_SETTINGS_ARGS_MAX];
};

/* Loads all settings of PROGRAM into the struct FIELDS.  Appends the
   positional arguments to ARGS, which must be initialized; if ARGS is NULL,
   none are allowed.  Returns false with ERROR set if a setting is missing or
   invalid (HS_ERROR_INVALID, whose message names the setting, the value and
   what was expected), the file is not of the above form (HS_ERROR_INVALID,
   whose message names the file) or cannot be read (G_FILE_ERROR).  Handles
   --help and --version, and exits with HS_EXIT_USAGE on an unknown flag or an
   unexpected argument.  The strings in FIELDS are valid until the process
   exits.  */
bool hs_settings_load (const struct hs_program *program, int argc, char **argv,
                       void *fields, struct hs_args *args, GError **error);

/* Like hs_settings_load, but prints the error to standard error and exits with
   HS_EXIT_USAGE.  */
void hs_settings_load_or_exit (const struct hs_program *program, int argc,
                               char **argv, void *fields,
                               struct hs_args *args);

#endif /* HS_BASE_SETTINGS_H */
