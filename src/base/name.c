/* name.c -- validation of the names of services, members, changes and
   operators.  */

#include "hibiscusspan.h"

#include <ctype.h>
#include <string.h>

/* Public definitions.  */

bool
hs_name_is_valid (const char *name)
{
  size_t len = strlen (name);

  if (len == 0 || len >= HS_NAME_SIZE)
    return false;
  for (size_t i = 0; i < len; i++)
    if (!isalnum ((unsigned char)name[i]) && strchr ("-_.", name[i]) == NULL)
      return false;
  return true;
}
