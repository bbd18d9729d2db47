/* group_nodes.c -- messages between a control host of a group and the entries
   and agents: heartbeats, status and the configuration.  */

#include "base/auto.h"
#include "control/group_state.h"
#include "wire/configuration_message.h"
#include "wire/patch.h"

#include <string.h>

/* Types.  */

/* Minimum time between notifications of new agents, so that one covers many
   that start together.  */
#define AGENTS_NOTICE_INTERVAL_MS 100

/* Private functions.  */

static const uint8_t *find_patch (struct hs_group *group,
                                  uint64_t base_generation, size_t *len);
static void compute_patch (struct hs_group *group,
                           struct hs_group_patch *patch);
static void fill_chunk (struct hs_inner_chunk *chunk, const uint8_t *bytes,
                        size_t len, uint32_t offset);
static void notify_entry (void *ctx,
                          const struct hs_inner_heartbeat *heartbeat);
static void
notify_entry_of_agents (void *ctx, const struct hs_inner_heartbeat *heartbeat);
static void send_agents (struct hs_group *group, const struct hs_addr *to,
                         struct hs_inner *message);
static void fill_status (struct hs_group *group,
                         struct hs_inner_status *status);

/* Public definitions.  */

void
hs_group_on_heartbeat (struct hs_group *group, const struct hs_addr *from,
                       const struct hs_inner_heartbeat *heartbeat,
                       uint64_t now)
{
  struct hs_inner reply = { .type = HS_INNER_STATUS };

  enum hs_node_change change
      = hs_node_table_update (group->nodes, heartbeat, now);
  struct hs_inner_addrs *new_agents = &group->new_agents;

  hs_counter_add (group->metrics.heartbeats, 1);
  if (change != HS_NODE_UNCHANGED)
    hs_log_write (group->log, HS_LOG_INFO, "node-heard", "{s:s, s:s, s:I}",
                  "name", heartbeat->name, "zone", heartbeat->zone,
                  "generation",
                  (json_int_t)heartbeat->configuration_generation);
  if (change == HS_NODE_ADDED && heartbeat->role == HS_ROLE_AGENT
      && new_agents->len < HS_INNER_ADDRS_MAX)
    new_agents->values[new_agents->len++] = heartbeat->address;
  fill_status (group, &reply.status);
  if (heartbeat->wants_agents)
    send_agents (group, from, &reply);
  else
    hs_group_send_inner (group, from, &reply);
  if (heartbeat->evacuation_revision < group->evacuations.revision)
    hs_group_send_evacuations (group, from);
}

void
hs_group_on_fetch (struct hs_group *group, const struct hs_addr *from,
                   const struct hs_inner_chunk *request)
{
  struct hs_inner reply = { .type = HS_INNER_CHUNK };
  const struct hs_stored_configuration *stored = group->current;
  size_t len = 0;
  const uint8_t *patch = find_patch (group, request->base_generation, &len);

  reply.chunk.generation = request->generation;
  if (stored != NULL)
    reply.chunk.generation = hs_configuration_generation (stored->version);
  if (patch != NULL)
    reply.chunk.base_generation = request->base_generation;
  if (patch != NULL)
    fill_chunk (&reply.chunk, patch, len, request->offset);
  else if (stored != NULL)
    fill_chunk (&reply.chunk, stored->encoded, stored->encoded_len,
                request->offset);
  hs_group_send_inner (group, from, &reply);
}

/* Drops all patches, which lead to the superseded version.  New ones are
   computed on request, since nodes request patches from few of the
   versions.  */
void
hs_group_push_history (struct hs_group *group,
                       struct hs_stored_configuration *stored)
{
  struct hs_group_patch *last = &group->history[HS_GROUP_HISTORY_MAX - 1];

  talloc_free (last->base_configuration);
  memmove (&group->history[1], &group->history[0],
           sizeof group->history[0] * (HS_GROUP_HISTORY_MAX - 1));
  group->history[0] = (struct hs_group_patch){ .base_configuration = stored };
  for (size_t i = 0; i < HS_GROUP_HISTORY_MAX; i++)
    {
      talloc_free (group->history[i].bytes);
      group->history[i].bytes = NULL;
    }
}

/* After a batch of ring items, the leader notifies entries of a new
   configuration, once for all versions accepted in the batch, and every host
   notifies them of new agents.  A notification may be lost: the replies to
   heartbeats have the same content, or request it by their digest.  */
void
hs_group_notify_nodes (struct hs_group *group, uint64_t now)
{
  if (group->new_agents.len > 0 && now >= group->next_agents_notice_at)
    {
      hs_node_table_foreach (group->nodes, HS_ROLE_ENTRY,
                             notify_entry_of_agents, group);
      group->new_agents.len = 0;
      group->next_agents_notice_at = now + AGENTS_NOTICE_INTERVAL_MS;
    }
  if (group->notified_generation == hs_group_generation (group))
    return;
  group->notified_generation = hs_group_generation (group);
  if (hs_replica_is_leader (group->replica))
    hs_node_table_foreach (group->nodes, HS_ROLE_ENTRY, notify_entry, group);
}

void
hs_group_on_node_expired (void *ctx,
                          const struct hs_inner_heartbeat *heartbeat)
{
  struct hs_group *group = ctx;

  hs_log_write (group->log, HS_LOG_WARNING, "node-silent", "{s:s, s:s}",
                "name", heartbeat->name, "zone", heartbeat->zone);
}

void
hs_group_send_inner (struct hs_group *group, const struct hs_addr *to,
                     const struct hs_inner *inner)
{
  uint8_t bytes[HS_INNER_SIZE_MAX];
  size_t len = hs_inner_encode (inner, bytes);

  hs_datagrams_send (group->datagrams, hs_datagram_create (to, bytes, len));
}

/* Private definitions.  */

/* Returns the patch from BASE_GENERATION to the current configuration, or NULL
   if BASE_GENERATION is not in the history or the whole configuration is not
   longer than the patch.  */
static const uint8_t *
find_patch (struct hs_group *group, uint64_t base_generation, size_t *len)
{
  for (size_t i = 0; i < HS_GROUP_HISTORY_MAX; i++)
    {
      struct hs_group_patch *patch = &group->history[i];

      if (patch->base_configuration == NULL
          || hs_configuration_generation (patch->base_configuration->version)
                 != base_generation)
        continue;
      if (patch->bytes == NULL)
        compute_patch (group, patch);
      *len = patch->bytes_len;
      return *len < group->current->encoded_len ? patch->bytes : NULL;
    }
  return NULL;
}

static void
compute_patch (struct hs_group *group, struct hs_group_patch *patch)
{
  HS_AUTO_TALLOC void *scratch = talloc_new (NULL);
  size_t from_len;
  size_t to_len;
  uint8_t *from = hs_bytes_uncompress (
      scratch, patch->base_configuration->encoded,
      patch->base_configuration->encoded_len, &from_len, NULL);
  uint8_t *to
      = hs_bytes_uncompress (scratch, group->current->encoded,
                             group->current->encoded_len, &to_len, NULL);

  if (from == NULL || to == NULL)
    {
      hs_log_write (group->log, HS_LOG_ERROR, "configuration-unreadable",
                    "{s:I, s:s}", "base",
                    (json_int_t)patch->base_configuration->version, "error",
                    "stored configuration cannot be uncompressed");
      return;
    }
  patch->bytes = hs_patch_create (group->decision_worker, from, from_len, to,
                                  to_len, &patch->bytes_len);
}

static void
fill_chunk (struct hs_inner_chunk *chunk, const uint8_t *bytes, size_t len,
            uint32_t offset)
{
  size_t left = offset < len ? len - offset : 0;

  if (left == 0)
    return;
  chunk->total_len = (uint32_t)len;
  chunk->offset = offset;
  chunk->len
      = (uint32_t)(left < HS_INNER_CHUNK_SIZE_MAX ? left
                                                  : HS_INNER_CHUNK_SIZE_MAX);
  memcpy (chunk->bytes, bytes + offset, chunk->len);
}

static void
notify_entry (void *ctx, const struct hs_inner_heartbeat *heartbeat)
{
  struct hs_group *group = ctx;
  struct hs_inner message = { .type = HS_INNER_STATUS };

  fill_status (group, &message.status);
  hs_group_send_inner (group, &heartbeat->address, &message);
}

static void
notify_entry_of_agents (void *ctx, const struct hs_inner_heartbeat *heartbeat)
{
  struct hs_group *group = ctx;
  struct hs_inner message = { .type = HS_INNER_STATUS };

  fill_status (group, &message.status);
  message.status.agents = group->new_agents;
  hs_group_send_inner (group, &heartbeat->address, &message);
}

/* Sends MESSAGE, of type STATUS, with the list of agents, split into as many
   messages as are needed; an empty list needs one.  */
static void
send_agents (struct hs_group *group, const struct hs_addr *to,
             struct hs_inner *message)
{
  size_t total = hs_node_table_count (group->nodes, HS_ROLE_AGENT);
  size_t sent = 0;

  message->status.agents_total = (uint32_t)total;
  do
    {
      hs_node_table_list_agents (group->nodes, sent, &message->status.agents);
      hs_group_send_inner (group, to, message);
      sent += message->status.agents.len;
    }
  while (sent < total);
}

static void
fill_status (struct hs_group *group, struct hs_inner_status *status)
{
  struct hs_control_host hosts[HS_INNER_ADDRS_MAX];

  status->configuration_generation = hs_group_generation (group);
  status->agents_digest = hs_node_table_agents_digest (group->nodes);
  status->control_hosts.len
      = hs_replica_list_hosts (group->replica, hosts, HS_INNER_ADDRS_MAX);
  for (size_t i = 0; i < status->control_hosts.len; i++)
    status->control_hosts.values[i] = hosts[i].inner_address;
}
