/* evacuate.h -- the command "evacuate": starts, finishes and lists evacuations
   of availability zones.  */

#ifndef HS_TOOL_EVACUATE_H
#define HS_TOOL_EVACUATE_H

#include "tool/tool.h"

/* Runs "evacuate start ZONE", "evacuate finish ZONE" or "evacuate list".
   Returns the exit status: success once the order is accepted, also if nodes
   do not act on it yet.  */
int hs_evacuate_run (const struct program_settings *settings,
                     const struct hs_args *args);

#endif /* HS_TOOL_EVACUATE_H */
