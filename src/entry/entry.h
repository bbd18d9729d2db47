/* entry.h -- the entry daemon of UDP and CoAP flows: forwards packets from
   callers to agents and back.  */

#ifndef HS_ENTRY_ENTRY_H
#define HS_ENTRY_ENTRY_H

#include "base/log.h"
#include "hibiscusspan.h"

struct hs_entry_settings
{
  const char *name;               /* Unique among entries.  */
  const char *zone;               /* Availability zone of this host.  */
  struct hs_addr inner_address;   /* UDP, where agents reach this entry.  */
  struct hs_addr control_address; /* TCP, of the control host.  */
  struct hs_addr admin_address;   /* HTTP, for /healthz and /metrics.  */
  const char *bind_address;       /* "IP:0": the IP to bind in place of each
                                     service's; "": none.  */
  uint64_t drain_max_ms; /* Longest wait for callers' packets to cease.  */
  bool debug;            /* Log debug messages too.  */
};

struct hs_entry;

/* Binds the inner and the admin address.  The strings of SETTINGS, and LOG,
   must outlive the entry.  Returns NULL and sets HS_ERROR_SYSTEM if an
   address cannot be bound.  Free it with hs_entry_destroy.  */
struct hs_entry *hs_entry_create (const struct hs_entry_settings *settings,
                                  struct hs_log *log, GError **error);

/* Stops the threads and frees ENTRY.  */
void hs_entry_destroy (struct hs_entry *entry);
void hs_entry_start (struct hs_entry *entry);

/* Announces that ENTRY is draining.  Blocks until callers' packets have ceased
   or drain_max_ms have passed, but for at least 2 s.  Returns false if a later
   process has taken over the name of ENTRY.  */
bool hs_entry_drain (struct hs_entry *entry);

#endif /* HS_ENTRY_ENTRY_H */
