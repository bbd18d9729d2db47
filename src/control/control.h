/* control.h -- the daemon hibiscusspan-control: a single control host that
   stores service documents and membership views, and sends them to entries
   and agents.  */

#ifndef HS_CONTROL_CONTROL_H
#define HS_CONTROL_CONTROL_H

#include "base/log.h"
#include "hibiscusspan.h"

struct hs_control_settings
{
  const char *name;
  const char *data_folder;     /* Holds the journal and the audit log.  */
  struct hs_addr link_address; /* Entries and agents connect here (TCP).  */
  struct hs_addr api_address;  /* Operators connect here (HTTP).  */
  bool debug;
};

struct hs_control;

/* Reads the journal and opens the sockets.  The HTTP API accepts requests from
   then on, and answers them after hs_control_start.  SETTINGS are copied, but
   not the strings in them; LOG must outlive the result.  Free the result with
   hs_control_destroy.  Returns NULL and sets ERROR: HS_ERROR_SYSTEM if a file
   or an address cannot be opened, HS_ERROR_MALFORMED if the journal is
   damaged.  */
struct hs_control *
hs_control_create (const struct hs_control_settings *settings,
                   struct hs_log *log, GError **error);

/* Answers the requests that were accepted, stops all threads and frees
   CONTROL.  */
void hs_control_destroy (struct hs_control *control);

/* Starts all threads.  */
void hs_control_start (struct hs_control *control);

#endif /* HS_CONTROL_CONTROL_H */
