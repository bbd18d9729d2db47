/* segment_entry.h -- the entry daemon of segment flows.  */

#ifndef HS_ENTRY_SEGMENT_ENTRY_H
#define HS_ENTRY_SEGMENT_ENTRY_H

#include "adapter/adapter.h"
#include "base/log.h"
#include "base/settings.h"

struct hs_segment_entry_settings
{
  const char *name;
  const char *zone;
  struct hs_addr segments_address; /* Of callers' segments, UDP; callers take
                              answers at its port.  */
  struct hs_addr inner_address;    /* Of agents and control hosts, UDP.  */
  struct hs_addr health_address;   /* Of readiness and metrics, HTTP.  */
  struct hs_addrs seeds;           /* API addresses of control hosts.  */
  uint64_t seed_port;              /* Of their inner addresses.  */
  double uplink_mbps; /* Rate of this host's link, Mbit/s; 0: no bound. */
  uint64_t drain_max_ms;
  const struct hs_adapter *adapter;
};

struct hs_segment_entry;

struct hs_segment_entry *
hs_segment_entry_create (const struct hs_segment_entry_settings *settings,
                         struct hs_log *log, GError **error);
void hs_segment_entry_destroy (struct hs_segment_entry *entry);
void hs_segment_entry_start (struct hs_segment_entry *entry);
void hs_segment_entry_set_seeds (struct hs_segment_entry *entry,
                                 const struct hs_addrs *seeds); /* Any
                                                                   thread. */
void hs_segment_entry_drain (struct hs_segment_entry *entry);   /* Sleeps.  */

#endif /* HS_ENTRY_SEGMENT_ENTRY_H */
