/* check.h -- the command "check": reviews documents and configurations.  */

#ifndef HS_TOOL_CHECK_H
#define HS_TOOL_CHECK_H

#include "tool/tool.h"

/* Runs "check FILE".  Returns the exit status.  */
int hs_check_run (const struct program_settings *settings,
                  const struct hs_args *args);

/* Checks the configuration in the LEN bytes at JSON as the control group does.
   Returns false with ERROR, which names PATH.  */
bool hs_check_configuration (const char *path, const char *json, size_t len,
                             GError **error);

/* Reads and parses the document at PATH.  Sets TEXT to its JSON; both are
   talloc children of PARENT.  Errors name the file.  */
struct hs_document *hs_check_read_document (void *parent, const char *path,
                                            char **text, GError **error);

#endif /* HS_TOOL_CHECK_H */
