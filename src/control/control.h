/* control.h -- the control daemon: documents, views, and telling nodes.  */

#ifndef HS_CONTROL_CONTROL_H
#define HS_CONTROL_CONTROL_H

#include "base/log.h"
#include "hibiscusspan.h"

struct hs_control_settings
{
  const char *name;
  const char *data_folder;     /* Of the journal and the audit trail.  */
  struct hs_addr link_address; /* Where nodes connect.  */
  struct hs_addr api_address;  /* Where operators connect.  */
  bool debug;
};

struct hs_control;

struct hs_control *
hs_control_create (const struct hs_control_settings *settings,
                   struct hs_log *log, GError **error);
void hs_control_destroy (struct hs_control *control); /* Answers what was
                                            asked, then stops.  */
void hs_control_start (struct hs_control *control);

#endif /* HS_CONTROL_CONTROL_H */
