/* tool.c -- exit statuses and the printing of responses.  */

#include "tool/tool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Public definitions.  */

void
hs_tool_print_json (const json_t *json)
{
  json_dumpf (json, stdout, JSON_INDENT (2));
  putchar ('\n');
}

const char *
hs_tool_string (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text != NULL ? text : "?";
}

json_int_t
hs_tool_integer (const json_t *json, const char *name)
{
  return json_integer_value (json_object_get (json, name));
}

int
hs_tool_exit_status (const char *outcome)
{
  if (strcmp (outcome, hs_outcome_name (HS_OUTCOME_RAN)) == 0)
    return EXIT_SUCCESS;
  if (strcmp (outcome, hs_outcome_name (HS_OUTCOME_NOT_RUN)) == 0)
    return EXIT_NOT_RUN;
  return EXIT_MAY_HAVE_RUN;
}

int
hs_tool_report_error (const GError *error)
{
  fprintf (stderr, "hibiscusspan: %s\n", error->message);
  return EXIT_NOT_RUN;
}
