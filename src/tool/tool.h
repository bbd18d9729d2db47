/* tool.h -- what the commands of the command-line tool share: the settings,
   the exit statuses and the printing of responses.  */

#ifndef HS_TOOL_TOOL_H
#define HS_TOOL_TOOL_H

#include "base/settings.h"

#include <jansson.h>

/* Exit statuses by verdict, for scripts.  */
#define EXIT_NOT_RUN 2
#define EXIT_MAY_HAVE_RUN 3
#define STATUS_OK 200     /* HTTP  */
#define BASE_IN_FORCE "-" /* --base: the revision in force.  */

/* All settings of the program.  */
struct program_settings
{
  struct hs_addrs controls;  /* HTTP APIs of control hosts, at least one.  */
  const char *base_revision; /* A number, or BASE_IN_FORCE.  */
  const char *change_id;     /* "": a random one.  */
  const char *author;
  const char *method;
  const char *payload;
  uint64_t timeout_ms;
  const char *against; /* "": compare with no configuration.  */
  const char *zones;   /* ZONE:REGION,... or "".  */
  bool strict;
  bool json;
};

/* Prints JSON, indented and followed by a newline.  */
void hs_tool_print_json (const json_t *json);

/* Returns the string in the field NAME of JSON, or "?" if there is none.  */
const char *hs_tool_string (const json_t *json, const char *name);

/* Returns the integer in the field NAME of JSON, or 0 if there is none.  */
json_int_t hs_tool_integer (const json_t *json, const char *name);

/* Returns the exit status for OUTCOME, the name of an enum hs_outcome.  */
int hs_tool_exit_status (const char *outcome);

/* Prints ERROR to standard error.  Returns the exit status.  */
int hs_tool_report_error (const GError *error);

#endif /* HS_TOOL_TOOL_H */
