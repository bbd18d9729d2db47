/* settings.h -- settings from flags and environment variables.

   Each setting NAME is the flag --NAME and the variable HIBISCUSSPAN_NAME in
   capitals, with '_' for '-'.  The flag wins.  A program that has a setting
   named "settings" also reads the file that it names, after flags and
   variables: lines of VARIABLE=value; empty lines and those that begin with
   '#' are passed over.  */

#ifndef HS_BASE_SETTINGS_H
#define HS_BASE_SETTINGS_H

#include "hibiscusspan.h"

#define HS_EXIT_USAGE 64 /* Exit status for a bad setting, EX_USAGE.  */
#define HS_SETTINGS_ARGS_MAX 8
#define HS_SETTINGS_ADDRS_MAX 16   /* Of one setting.  */
#define HS_SETTINGS_FILE_MAX 65536 /* Bytes.  */

struct hs_addrs
{
  size_t len;
  struct hs_addr values[HS_SETTINGS_ADDRS_MAX];
};

enum hs_setting_type
{
  HS_SETTING_STRING,  /* const char *  */
  HS_SETTING_NAME,    /* const char *, letters, digits, '-', '_', '.'  */
  HS_SETTING_ADDR,    /* struct hs_addr, "IP:PORT"  */
  HS_SETTING_ADDRS,   /* struct hs_addrs, "IP:PORT,IP:PORT", or ""  */
  HS_SETTING_UINT,    /* uint64_t, from MIN to MAX  */
  HS_SETTING_DECIMAL, /* double, from MIN to MAX, as "6.9"  */
  HS_SETTING_FLAG     /* bool, no value; variable: 1 or 0  */
};

struct hs_setting
{
  const char *name;
  enum hs_setting_type type;
  const char *fallback; /* Text; NULL: the setting is required.  */
  uint64_t min;
  uint64_t max;
  size_t offset; /* Of the field in the struct that is filled.  */
  const char *help;
};

struct hs_program
{
  const char *doc;      /* One line for --help.  */
  const char *args_doc; /* Of the positional arguments; NULL: none.  */
  const struct hs_setting *settings;
  size_t settings_len;
};

struct hs_args
{
  size_t len;
  const char *values[HS_SETTINGS_ARGS_MAX];
};

/* Fills FIELDS.  HS_ERROR_INVALID names the setting, what it got and what
   it takes.  Texts live as long as the process.  */
bool hs_settings_load (const struct hs_program *program, int argc, char **argv,
                       void *fields, struct hs_args *args, GError **error);

/* The same, for main: prints the error and exits with HS_EXIT_USAGE.  */
void hs_settings_load_or_exit (const struct hs_program *program, int argc,
                               char **argv, void *fields,
                               struct hs_args *args);

#endif /* HS_BASE_SETTINGS_H */
