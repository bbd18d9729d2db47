/* group.h -- the daemon hibiscusspan-control-group: one host of a control
   group.

   The hosts of a control group replicate one configuration, of which the
   highest version is in force, and send it to the entries.  */

#ifndef HS_CONTROL_GROUP_H
#define HS_CONTROL_GROUP_H

#include "adapter/adapter.h"
#include "base/log.h"
#include "base/settings.h"

struct hs_group_settings
{
  const char *name;
  const char *data_folder;           /* Holds the journal.  */
  struct hs_addr inner_address;      /* Control hosts, entries and agents send
                                        here (UDP).  */
  struct hs_addr inner_bind_address; /* Port 0: the inner address.  */
  struct hs_addr api_address;        /* Operators connect here (HTTP).  */
  struct hs_addrs seeds;             /* API addresses of control hosts.  */
  uint64_t seed_port;        /* Port of the control hosts' inner addresses.  */
  uint64_t tolerated_losses; /* Hosts that may be lost at once.  */
  const char *zones;         /* For hs_region_map_create.  */
  bool bootstrap;            /* An empty data folder starts a group of the
                                seeds.  */
  const struct hs_adapter *adapter;
};

struct hs_group;

/* Reads the journal and opens the sockets.  The HTTP API accepts calls from
   then on, and answers them after hs_group_start.  SETTINGS are copied, but
   not the strings and the adapter in them; LOG must outlive the result.  Free
   the result with hs_group_destroy.  Returns NULL and sets ERROR:
   HS_ERROR_SYSTEM if a file or an address cannot be opened, HS_ERROR_MALFORMED
   if the journal is damaged.  */
struct hs_group *hs_group_create (const struct hs_group_settings *settings,
                                  struct hs_log *log, GError **error);

/* Stops all threads, answers the calls that are still pending with status
   503, and frees GROUP.  */
void hs_group_destroy (struct hs_group *group);

/* Starts all threads.  */
void hs_group_start (struct hs_group *group);

/* Replaces the seeds.  Any thread may call it.  SEEDS are copied.  The change
   is dropped if too many commands are queued.  */
void hs_group_set_seeds (struct hs_group *group, const struct hs_addrs *seeds);

/* Refuses new calls, transfers leadership to another host if this one is the
   leader, and returns once there has been time for an election.  Does nothing
   if too many commands are queued.  */
void hs_group_drain (struct hs_group *group);

#endif /* HS_CONTROL_GROUP_H */
