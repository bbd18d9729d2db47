/* group_nodes.c -- what a control host hears from entries and agents, and
   tells them.  */

#include "base/auto.h"
#include "control/group_state.h"

#include <string.h>

/* Private functions.  */

static void tell_entry (void *ctx, const struct hs_inner_sync *node);
static void tell_agent (void *ctx, const struct hs_inner_sync *node);
static void send_entries (struct hs_group *group, const struct hs_addr *to,
                          struct hs_inner *status);
static void fill_status (struct hs_group *group,
                         struct hs_inner_status *status);
static void send_inner (struct hs_group *group, const struct hs_addr *to,
                        const struct hs_inner *inner);

/* Public definitions.  */

void
hs_group_on_sync (struct hs_group *group, const struct hs_addr *from,
                  const struct hs_inner_sync *sync, uint64_t now)
{
  struct hs_inner answer = { .type = HS_INNER_STATUS };

  hs_counter_add (group->counts.syncs, 1);
  if (hs_roster_note (group->roster, sync, now))
    {
      hs_log_write (group->log, HS_LOG_INFO, "node-heard", "{s:s, s:s, s:I}",
                    "name", sync->name, "zone", sync->zone, "version",
                    (json_int_t)sync->version);
      group->entry_heard = group->entry_heard || sync->role == HS_ROLE_ENTRY;
    }
  fill_status (group, &answer.status);
  if (answer.status.roster != sync->roster)
    send_entries (group, from, &answer);
  else
    send_inner (group, from, &answer);
}

void
hs_group_on_fetch (struct hs_group *group, const struct hs_addr *from,
                   const struct hs_inner_part *wanted)
{
  struct hs_inner answer = { .type = HS_INNER_PART };
  const struct hs_stored_configuration *stored = group->stored;
  size_t len;

  answer.part.version = wanted->version;
  if (stored != NULL && wanted->offset < stored->routes_len)
    {
      len = stored->routes_len - wanted->offset;
      answer.part.version = stored->version;
      answer.part.total = (uint32_t)stored->routes_len;
      answer.part.offset = wanted->offset;
      answer.part.len
          = (uint32_t)(len < HS_INNER_PART_MAX ? len : HS_INNER_PART_MAX);
      memcpy (answer.part.bytes, stored->routes + wanted->offset,
              answer.part.len);
    }
  send_inner (group, from, &answer);
}

/* Entries hear of a new configuration from the leader at once, once for all
   that was accepted in a run, and agents of a new entry from every host; both
   hear again in answer to their heartbeats.  */
void
hs_group_tell_nodes (struct hs_group *group)
{
  if (group->entry_heard)
    hs_roster_each (group->roster, HS_ROLE_AGENT, tell_agent, group);
  group->entry_heard = false;
  if (group->stored == NULL || group->told == group->stored->version)
    return;
  group->told = group->stored->version;
  if (hs_replica_leads (group->replica))
    hs_roster_each (group->roster, HS_ROLE_ENTRY, tell_entry, group);
}

void
hs_group_on_node_lost (void *ctx, const struct hs_inner_sync *node)
{
  struct hs_group *group = ctx;

  hs_log_write (group->log, HS_LOG_WARNING, "node-silent", "{s:s, s:s}",
                "name", node->name, "zone", node->zone);
}

/* Private definitions.  */

static void
tell_entry (void *ctx, const struct hs_inner_sync *node)
{
  struct hs_group *group = ctx;
  struct hs_inner news = { .type = HS_INNER_STATUS };

  fill_status (group, &news.status);
  send_inner (group, &node->address, &news);
}

static void
tell_agent (void *ctx, const struct hs_inner_sync *node)
{
  struct hs_group *group = ctx;
  struct hs_inner news = { .type = HS_INNER_STATUS };

  fill_status (group, &news.status);
  send_entries (group, &node->address, &news);
}

/* The list of entries, in as many messages as it takes; one if it is empty. */
static void
send_entries (struct hs_group *group, const struct hs_addr *to,
              struct hs_inner *status)
{
  size_t total = hs_roster_count (group->roster, HS_ROLE_ENTRY);
  size_t sent = 0;

  status->status.has_entries = true;
  status->status.entries_total = (uint32_t)total;
  do
    {
      hs_roster_entries (group->roster, sent, &status->status.entries);
      send_inner (group, to, status);
      sent += status->status.entries.len;
    }
  while (sent < total);
}

static void
fill_status (struct hs_group *group, struct hs_inner_status *status)
{
  struct hs_control_host hosts[HS_INNER_ADDRS_MAX];

  status->version = group->stored != NULL ? group->stored->version : 0;
  status->roster = hs_roster_digest (group->roster);
  status->controls.len
      = hs_replica_hosts (group->replica, hosts, HS_INNER_ADDRS_MAX);
  for (size_t i = 0; i < status->controls.len; i++)
    status->controls.values[i] = hosts[i].inner;
}

static void
send_inner (struct hs_group *group, const struct hs_addr *to,
            const struct hs_inner *inner)
{
  uint8_t bytes[HS_INNER_SIZE_MAX];
  size_t len = hs_inner_encode (inner, bytes);

  hs_datagrams_send (group->datagrams, hs_datagram_create (to, bytes, len));
}
