/* datapath_link.h -- a control link as a part of a datapath.  */

#ifndef HS_DAEMON_DATAPATH_LINK_H
#define HS_DAEMON_DATAPATH_LINK_H

#include "daemon/datapath.h"
#include "daemon/link.h"

/* Before the start.  What comes from CONTROL goes to path->messages.  False
   and HS_ERROR_SYSTEM: no link was added.  */
bool hs_datapath_add_link (struct hs_datapath *path,
                           const struct hs_addr *control, GError **error);

#endif /* HS_DAEMON_DATAPATH_LINK_H */
