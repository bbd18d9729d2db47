/* datapath_link.h -- the control link as the component of a datapath.  */

#ifndef HS_DAEMON_DATAPATH_LINK_H
#define HS_DAEMON_DATAPATH_LINK_H

#include "daemon/datapath.h"
#include "daemon/link.h"

/* Adds a link to the control host at CONTROL, which the datapath owns.
   Received envelopes are pushed to datapath->messages.  Call it before
   hs_datapath_start.  Returns false and sets HS_ERROR_SYSTEM if the link
   cannot be created; the datapath is then without one.  */
bool hs_datapath_add_link (struct hs_datapath *datapath,
                           const struct hs_addr *control, GError **error);

#endif /* HS_DAEMON_DATAPATH_LINK_H */
