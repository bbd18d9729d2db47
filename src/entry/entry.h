/* entry.h -- the entry daemon: from callers to agents and back.  */

#ifndef HS_ENTRY_ENTRY_H
#define HS_ENTRY_ENTRY_H

#include "base/log.h"
#include "hibiscusspan.h"

struct hs_entry_settings
{
  const char *name;
  const char *zone;
  struct hs_addr inner_address; /* Where agents send answers.  */
  struct hs_addr control_address;
  struct hs_addr admin_address;
  const char *bind_address; /* IP in place of the services' own; "": theirs. */
  uint64_t drain_max_ms;
  bool debug;
};

struct hs_entry;

struct hs_entry *hs_entry_create (const struct hs_entry_settings *settings,
                                  struct hs_log *log, GError **error);
void hs_entry_destroy (struct hs_entry *entry); /* Stops its threads.  */
void hs_entry_start (struct hs_entry *entry);
bool hs_entry_drain (struct hs_entry *entry); /* Sleeps until it is done.
                                            False: superseded.  */

#endif /* HS_ENTRY_ENTRY_H */
