/* segment_entry.h -- the entry daemon of segment flows: forwards callers'
   segments to agents.  */

#ifndef HS_ENTRY_SEGMENT_ENTRY_H
#define HS_ENTRY_SEGMENT_ENTRY_H

#include "adapter/adapter.h"
#include "base/log.h"
#include "base/settings.h"

struct hs_segment_entry_settings
{
  const char *name;                  /* Unique in the system.  */
  const char *zone;                  /* Availability zone of this host.  */
  const char *zones;                 /* For hs_region_map_create.  */
  struct hs_addr segments_address;   /* UDP, where callers send segments.
                                        Callers receive answers on a port of
                                        the same number.  */
  struct hs_addr inner_address;      /* UDP, for agents and control hosts.  */
  struct hs_addr inner_bind_address; /* Port 0: the inner address.  */
  struct hs_addr health_address;     /* HTTP, for readiness and metrics.  */
  struct hs_addrs seeds;             /* API addresses of control hosts.  */
  uint64_t seed_port;                /* Port of the seeds' inner addresses.  */
  double uplink_mbps; /* Rate of this host's uplink, Mbit/s; 0: unlimited.  */
  double flow_lifetime_s; /* Longest lifetime of a flow.  */
  uint64_t drain_max_ms;  /* Longest wait for callers' segments to cease.  */
  const struct hs_adapter *adapter;
};

struct hs_segment_entry;

/* Binds the segments, inner and health addresses.  The strings and the adapter
   of SETTINGS, and LOG, must outlive the entry.  Returns NULL and sets
   HS_ERROR_SYSTEM if an address cannot be bound, or HS_ERROR_INVALID if zones
   is malformed.  Free it with hs_segment_entry_destroy.  */
struct hs_segment_entry *
hs_segment_entry_create (const struct hs_segment_entry_settings *settings,
                         struct hs_log *log, GError **error);

/* Stops the threads and frees ENTRY.  */
void hs_segment_entry_destroy (struct hs_segment_entry *entry);
void hs_segment_entry_start (struct hs_segment_entry *entry);

/* Replaces the seeds by a copy of SEEDS.  Any thread may call it.  */
void hs_segment_entry_set_seeds (struct hs_segment_entry *entry,
                                 const struct hs_addrs *seeds);

/* Blocks until callers' segments have ceased or drain_max_ms have passed, but
   for at least 1.6 s.  */
void hs_segment_entry_drain (struct hs_segment_entry *entry);

#endif /* HS_ENTRY_SEGMENT_ENTRY_H */
