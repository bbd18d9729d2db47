/* group.h -- the daemon of a control host that is one of a group.

   The group keeps one configuration, of which the highest version is in
   force, and tells nodes of it.  */

#ifndef HS_CONTROL_GROUP_H
#define HS_CONTROL_GROUP_H

#include "adapter/adapter.h"
#include "base/log.h"
#include "base/settings.h"

struct hs_group_settings
{
  const char *name;
  const char *data_folder;      /* Of the journal.  */
  struct hs_addr inner_address; /* Of other control hosts and nodes, UDP.  */
  struct hs_addr api_address;   /* Of operators, HTTP.  */
  struct hs_addrs seeds;        /* API addresses of control hosts.  */
  uint64_t seed_port;           /* Of their inner addresses.  */
  bool bootstrap;               /* The seeds are the first group.  */
  const struct hs_adapter *adapter;
};

struct hs_group;

struct hs_group *hs_group_create (const struct hs_group_settings *settings,
                                  struct hs_log *log, GError **error);
void hs_group_destroy (struct hs_group *group);
void hs_group_start (struct hs_group *group);
void hs_group_set_seeds (struct hs_group *group,
                         const struct hs_addrs *seeds); /* Any thread.  */
void hs_group_drain (struct hs_group *group); /* Gives the lead away.  */

#endif /* HS_CONTROL_GROUP_H */
