/* owner_lookup.c -- finds the agent that owns a flow by querying agents.

   The flow's directory agent is queried first: the first agent in the
   rendezvous ranking of the flow, to which entries report the owners of
   long-lived flows; then its backups, the next in the ranking, as the first
   may have been started after the report.  Then the agents of the entry's
   availability zone are queried, then all agents of the service that the route
   names, and finally those of every service: the flow stays with the service
   that the route named when it was opened.

   The load is highest when an entry has stopped and its flows come to the
   other entries all at once, and after a power failure, when every flow is
   looked up and none has an owner any more.  Queries are small, and the uplink
   limits their rate.  */

#include "segment/forwarder_state.h"

#include <talloc.h>

/* Types.  */

/* Wait before the second round of queries; it doubles with each round.  The
   round-trip time between availability zones is 3 ms.  */
#define QUERY_RETRY_MS 50

/* Rounds after which a lookup ends until the caller sends another segment.  */
#define QUERY_ROUNDS_MAX 6

/* Age up to which a queued segment is sent to agents that do not know whether
   they own its flow.  By then the caller has sent it again, perhaps through
   another entry that has found the owner.  */
#define PROBE_AGE_MAX_MS 500

/* Time for which segments of a flow without an owner are reset without another
   lookup.  */
#define UNOWNED_TTL_MS 1500

/* The directory agent of a flow and its backups, by rank.  */
struct directories
{
  size_t len;
  const struct hs_pool_agent *agents[DIRECTORIES_MAX];
  uint64_t scores[DIRECTORIES_MAX];
};

/* Private functions.  */

static bool is_of_unowned_flow (const struct hs_forwarder_flow *flow,
                                const struct hs_segment *segment,
                                uint64_t now);
static size_t send_queries (struct hs_forwarder *forwarder,
                            struct hs_forwarder_flow *flow, uint64_t now);
static size_t find_possible_owners (const struct hs_forwarder *forwarder,
                                    const struct hs_forwarder_flow *flow,
                                    enum lookup_scope scope,
                                    const struct hs_pool_agent **agents,
                                    uint64_t now);
static size_t find_owners_of_named (const struct hs_forwarder *forwarder,
                                    const struct hs_forwarder_flow *flow,
                                    const struct hs_pool_agent **agents,
                                    uint64_t now);
static size_t collect_agents (struct hs_forwarder *forwarder,
                              const struct hs_forwarder_flow *flow,
                              const struct hs_pool_agent **to_query,
                              uint64_t now);
static void query_wider_scope (struct hs_forwarder *forwarder,
                               struct hs_forwarder_flow *flow, uint64_t now);
static void set_lookup_service (const struct hs_forwarder *forwarder,
                                struct hs_forwarder_flow *flow);
static struct directories
find_directories (const struct hs_forwarder_flow *flow,
                  const struct hs_pool_agent **agents, size_t len);
static bool is_in_scope (enum lookup_scope scope,
                         const struct hs_pool_agent *agent,
                         const struct directories *directories);
static bool is_narrow (enum lookup_scope scope);
static bool has_answered (const struct hs_forwarder_flow *flow,
                          uint64_t agent_id);
static struct hs_segment latest_segment (const struct hs_forwarder_flow *flow);
static bool is_non_owner (const struct hs_forwarder_flow *flow,
                          uint64_t agent_id);
static bool is_other_recorded (const struct hs_forwarder *forwarder,
                               const struct hs_forwarder_flow *flow,
                               uint64_t agent_id);
static bool has_no_owner (const struct hs_forwarder *forwarder,
                          const struct hs_forwarder_flow *flow,
                          enum lookup_scope scope, uint64_t now);

/* Public definitions.  */

void
hs_forwarder_handle_owned (struct hs_forwarder *forwarder,
                           const struct hs_segment_key *key, uint64_t agent_id,
                           uint64_t now)
{
  struct hs_forwarder_flow *flow
      = hs_forwarder_find_or_add_flow (forwarder, key, now);
  const struct hs_pool_agent *agent
      = hs_agent_pool_find (forwarder->pool, agent_id);

  flow->owner_id = agent_id;
  flow->is_unowned = false;
  /* If the owner denies the flow later, it is a new one from the same port, of
     which the other agents have said nothing.  */
  flow->non_owner_ids_len = 0;
  if (!flow->lookup_active || agent == NULL)
    return;
  hs_owner_lookup_stop (flow);
  flow->directories_digest = 0;
  if (flow->scope != LOOKUP_DIRECTORY)
    hs_owner_lookup_record_owner (forwarder, flow, now);
  forwarder->ops.send_pending (forwarder->ctx, key, agent, false, UINT64_MAX);
}

void
hs_forwarder_handle_not_owned (struct hs_forwarder *forwarder,
                               const struct hs_segment_key *key,
                               uint64_t agent_id, uint64_t now)
{
  struct hs_forwarder_flow *flow
      = hs_segment_flow_table_find (forwarder->flows, key);

  if (flow == NULL)
    return;
  hs_forwarder_remove_syn_agent (flow, agent_id);
  if (flow->owner_id == agent_id)
    flow->owner_id = 0;
  if (flow->owner_id != 0 || flow->syn_agent_ids_len > 0)
    return;
  if (!is_non_owner (flow, agent_id)
      && flow->non_owner_ids_len < HS_LOOKUP_AGENTS_MAX)
    {
      flow->non_owner_ids = talloc_realloc (
          flow, flow->non_owner_ids, uint64_t, flow->non_owner_ids_len + 1);
      flow->non_owner_ids[flow->non_owner_ids_len++] = agent_id;
    }
  if (flow->lookup_active && flow->scope != LOOKUP_ALL
      && (agent_id == flow->recorded_owner_id
          || has_no_owner (forwarder, flow, flow->scope, now)))
    query_wider_scope (forwarder, flow, now);
  if (forwarder->pool_complete)
    hs_owner_lookup_reset_if_unowned (forwarder, flow, now);
}

/* In the narrow scopes, the agent is treated as one without a directory entry:
   another directory agent may name the owner.  If none does, the agent is
   queried again in a wider scope, and gets the queued segments then.  If one
   does, only that owner gets them, until it denies the flow: it may be away
   while it is restarted.  */
void
hs_forwarder_handle_unknown (struct hs_forwarder *forwarder,
                             const struct hs_segment_key *key,
                             uint64_t agent_id, uint64_t now)
{
  struct hs_forwarder_flow *flow
      = hs_segment_flow_table_find (forwarder->flows, key);
  const struct hs_pool_agent *agent
      = hs_agent_pool_find (forwarder->pool, agent_id);

  if (flow == NULL || !flow->lookup_active)
    return;
  if (!is_narrow (flow->scope))
    {
      if (agent != NULL && !is_other_recorded (forwarder, flow, agent_id))
        forwarder->ops.send_pending (forwarder->ctx, key, agent, true,
                                     agent_id == flow->recorded_owner_id
                                         ? UINT64_MAX
                                         : PROBE_AGE_MAX_MS);
      return;
    }
  if (!has_answered (flow, agent_id)
      && flow->unknown_ids_len < DIRECTORIES_MAX)
    flow->unknown_ids[flow->unknown_ids_len++] = agent_id;
  if (has_no_owner (forwarder, flow, flow->scope, now))
    query_wider_scope (forwarder, flow, now);
}

/* The directory may be out of date: the recorded owner gets the queued
   segments and answers whether it owns the flow.  */
void
hs_forwarder_handle_recorded (struct hs_forwarder *forwarder,
                              const struct hs_segment_key *key,
                              uint64_t owner_id, uint64_t now)
{
  struct hs_forwarder_flow *flow
      = hs_segment_flow_table_find (forwarder->flows, key);
  const struct hs_pool_agent *agent
      = hs_agent_pool_find (forwarder->pool, owner_id);

  if (flow == NULL || !flow->lookup_active
      || flow->recorded_owner_id == owner_id)
    return;
  if (agent == NULL || is_non_owner (flow, owner_id))
    {
      if (is_narrow (flow->scope))
        query_wider_scope (forwarder, flow, now);
      return;
    }
  flow->recorded_owner_id = owner_id;
  forwarder->ops.send_pending (forwarder->ctx, key, agent, true, UINT64_MAX);
}

struct hs_forward_decision
hs_owner_lookup_queue_segment (struct hs_forwarder *forwarder,
                               struct hs_forwarder_flow *flow,
                               const struct hs_segment *segment, uint64_t now)
{
  struct hs_forward_decision decision
      = hs_forward_decision_without_agents (HS_FORWARD_QUEUE, HS_REASON_NONE);

  if (!flow->lookup_active && is_of_unowned_flow (flow, segment, now))
    return hs_forward_decision_without_agents (HS_FORWARD_RESET,
                                               HS_REASON_WRONG_HOST);
  flow->caller_seq = segment->seq;
  if ((segment->flags & HS_SEGMENT_ACK) != 0)
    flow->caller_ack = segment->ack;
  if (flow->lookup_active)
    return decision;
  set_lookup_service (forwarder, flow);
  flow->owner_id = 0;
  flow->syn_agent_ids_len = 0;
  flow->non_owner_ids_len = 0;
  flow->unknown_ids_len = 0;
  flow->scope = LOOKUP_DIRECTORY;
  flow->recorded_owner_id = 0;
  flow->query_rounds = 0;
  decision.queried_agents = send_queries (forwarder, flow, now);
  if (decision.queried_agents == 0)
    return hs_forward_decision_without_agents (HS_FORWARD_DROP,
                                               HS_REASON_NO_UPSTREAM);
  flow->lookup_active = true;
  hs_list_append (&forwarder->lookups, &flow->lookup_link);
  return decision;
}

void
hs_owner_lookup_record_owner (struct hs_forwarder *forwarder,
                              struct hs_forwarder_flow *flow, uint64_t now)
{
  const struct hs_pool_agent *agents[HS_LOOKUP_AGENTS_MAX];
  struct directories directories;
  uint64_t digest = 0;
  size_t len;

  flow->directories_checked_at = now;
  set_lookup_service (forwarder, flow);
  len = find_possible_owners (forwarder, flow, LOOKUP_SERVICE, agents, now);
  directories = find_directories (flow, agents, len);
  for (size_t i = 0; i < directories.len; i++)
    digest ^= hs_rendezvous_score (directories.agents[i]->report.agent_id,
                                   directories.agents[i]->report.incarnation);
  if (digest == flow->directories_digest)
    return;
  flow->directories_digest = digest;
  for (size_t i = 0; i < directories.len; i++)
    if (directories.agents[i]->report.agent_id != flow->owner_id)
      forwarder->ops.record_owner (forwarder->ctx, directories.agents[i],
                                   &flow->base.key, flow->owner_id);
}

void
hs_owner_lookup_stop (struct hs_forwarder_flow *flow)
{
  if (!flow->lookup_active)
    return;
  flow->lookup_active = false;
  hs_list_remove (&flow->lookup_link);
}

/* A new lookup starts if the caller still sends after UNOWNED_TTL_MS.  */
void
hs_owner_lookup_reset_if_unowned (struct hs_forwarder *forwarder,
                                  struct hs_forwarder_flow *flow, uint64_t now)
{
  struct hs_segment segment = latest_segment (flow);
  size_t non_owners = flow->non_owner_ids_len;

  if (non_owners == 0 || flow->owner_id != 0 || flow->syn_agent_ids_len > 0
      || !has_no_owner (forwarder, flow, LOOKUP_ALL, now))
    return;
  flow->non_owner_ids_len = 0;
  flow->is_unowned = true;
  flow->unowned_at = now;
  hs_owner_lookup_stop (flow);
  forwarder->ops.reset_caller (forwarder->ctx, &segment, non_owners);
}

void
hs_owner_lookup_tick (struct hs_forwarder *forwarder, uint64_t now)
{
  HS_LIST_FOREACH (link, &forwarder->lookups)
    {
      struct hs_forwarder_flow *flow
          = HS_LIST_ENTRY (link, struct hs_forwarder_flow, lookup_link);
      uint64_t wait_ms = flow->query_rounds > 0
                             ? (uint64_t)QUERY_RETRY_MS
                                   << (flow->query_rounds - 1)
                             : 0;

      if (now - flow->queried_at < wait_ms)
        continue;
      /* No query has been sent yet if the uplink refused the first round.  */
      if (flow->query_rounds == 0)
        send_queries (forwarder, flow, now);
      else if (flow->query_rounds < QUERY_ROUNDS_MAX)
        query_wider_scope (forwarder, flow, now);
      else
        hs_owner_lookup_stop (flow);
    }
}

/* Private definitions.  */

/* Returns whether a recent lookup has found no owner of the flow that SEGMENT
   belongs to, which may be a later one from the same port.  */
static bool
is_of_unowned_flow (const struct hs_forwarder_flow *flow,
                    const struct hs_segment *segment, uint64_t now)
{
  uint32_t distance = segment->seq - flow->caller_seq;

  return flow->is_unowned && now - flow->unowned_at < UNOWNED_TTL_MS
         && distance + HS_SEQUENCE_WINDOW < 2 * HS_SEQUENCE_WINDOW;
}

/* Queries the agents in scope, or of the next wider scope that has any left to
   query, unless the uplink refuses queries now.  Returns the number of these
   agents, also if the uplink refuses.  */
static size_t
send_queries (struct hs_forwarder *forwarder, struct hs_forwarder_flow *flow,
              uint64_t now)
{
  const struct hs_pool_agent *to_query[HS_LOOKUP_AGENTS_MAX];
  size_t len = collect_agents (forwarder, flow, to_query, now);
  struct hs_segment segment = latest_segment (flow);

  while (len == 0 && flow->scope != LOOKUP_ALL)
    {
      flow->scope++;
      len = collect_agents (forwarder, flow, to_query, now);
    }
  flow->queried_at = now;
  if (!hs_uplink_take_query_tokens (forwarder->uplink, len,
                                    is_narrow (flow->scope), now))
    return len;
  flow->query_rounds++;
  for (size_t i = 0; i < len; i++)
    forwarder->ops.query_owner (forwarder->ctx, to_query[i], &segment);
  return len;
}

/* Fills AGENTS, of size HS_LOOKUP_AGENTS_MAX, with the agents that may own the
   flow, of the services that SCOPE includes.  Returns their number.  If there
   are too many to query those of every service, the widest scope includes the
   services that the route has named, as far as this entry knows.  */
static size_t
find_possible_owners (const struct hs_forwarder *forwarder,
                      const struct hs_forwarder_flow *flow,
                      enum lookup_scope scope,
                      const struct hs_pool_agent **agents, uint64_t now)
{
  uint64_t service_id = scope == LOOKUP_ALL ? 0 : flow->lookup_service_id;
  size_t len = hs_agent_pool_possible_owners (
      forwarder->pool, service_id, agents, HS_LOOKUP_AGENTS_MAX, now);

  if (len < HS_LOOKUP_AGENTS_MAX || service_id == flow->lookup_service_id)
    return len;
  return find_owners_of_named (forwarder, flow, agents, now);
}

/* As find_possible_owners, with the services that the route names and those
   that it has named.  */
static size_t
find_owners_of_named (const struct hs_forwarder *forwarder,
                      const struct hs_forwarder_flow *flow,
                      const struct hs_pool_agent **agents, uint64_t now)
{
  const struct hs_routing_rule *rule
      = hs_routing_find (forwarder->routing, &flow->base.key.address);
  uint64_t services[1 + 2 * HS_SPLITS_MAX] = { flow->lookup_service_id };
  size_t services_len = 1;
  size_t len = 0;

  for (size_t i = 0; rule != NULL && i < rule->splits_len; i++)
    if (rule->splits[i].service_id != flow->lookup_service_id)
      services[services_len++] = rule->splits[i].service_id;
  for (size_t i = 0; rule != NULL && i < rule->former_len; i++)
    if (rule->former[i].until > now
        && rule->former[i].service_id != flow->lookup_service_id)
      services[services_len++] = rule->former[i].service_id;
  for (size_t i = 0; i < services_len; i++)
    len += hs_agent_pool_possible_owners (forwarder->pool, services[i],
                                          agents + len,
                                          HS_LOOKUP_AGENTS_MAX - len, now);
  return len;
}

/* Fills TO_QUERY with the possible owners in scope that have not answered that
   they do not own the flow.  Returns their number.  */
static size_t
collect_agents (struct hs_forwarder *forwarder,
                const struct hs_forwarder_flow *flow,
                const struct hs_pool_agent **to_query, uint64_t now)
{
  const struct hs_pool_agent *agents[HS_LOOKUP_AGENTS_MAX];
  size_t len
      = find_possible_owners (forwarder, flow, flow->scope, agents, now);
  struct directories directories = find_directories (flow, agents, len);
  size_t to_query_len = 0;

  for (size_t i = 0; i < len; i++)
    if (is_in_scope (flow->scope, agents[i], &directories)
        && !is_non_owner (flow, agents[i]->report.agent_id))
      to_query[to_query_len++] = agents[i];
  return to_query_len;
}

/* Widens the scope of the lookup and sends its queries.  Call this when the
   agents queried so far do not own the flow or do not know, or when a query or
   its answer may have been lost.  At the widest scope, the agents that have
   not answered are queried again.  */
static void
query_wider_scope (struct hs_forwarder *forwarder,
                   struct hs_forwarder_flow *flow, uint64_t now)
{
  if (flow->scope != LOOKUP_ALL)
    flow->scope++;
  send_queries (forwarder, flow, now);
}

/* The agents of the route's service are queried first, and keep the directory
   entry.  If there is no route or it has several services, the agents of every
   service are queried at once.  */
static void
set_lookup_service (const struct hs_forwarder *forwarder,
                    struct hs_forwarder_flow *flow)
{
  const struct hs_routing_rule *rule
      = forwarder->routing != NULL
            ? hs_routing_find (forwarder->routing, &flow->base.key.address)
            : NULL;

  flow->lookup_service_id
      = rule != NULL && rule->splits_len == 1 ? rule->splits[0].service_id : 0;
}

/* Returns the agents with the highest rendezvous scores, which are the same at
   every entry that knows the same agents.  */
static struct directories
find_directories (const struct hs_forwarder_flow *flow,
                  const struct hs_pool_agent **agents, size_t len)
{
  struct directories directories = { .len = 0 };

  for (size_t i = 0; i < len; i++)
    {
      uint64_t score = hs_rendezvous_score (flow->base.node.hash,
                                            agents[i]->report.agent_id);
      size_t rank = directories.len;

      while (rank > 0 && score > directories.scores[rank - 1])
        rank--;
      if (rank == DIRECTORIES_MAX)
        continue;
      if (directories.len < DIRECTORIES_MAX)
        directories.len++;
      for (size_t k = directories.len - 1; k > rank; k--)
        {
          directories.agents[k] = directories.agents[k - 1];
          directories.scores[k] = directories.scores[k - 1];
        }
      directories.agents[rank] = agents[i];
      directories.scores[rank] = score;
    }
  return directories;
}

static bool
is_in_scope (enum lookup_scope scope, const struct hs_pool_agent *agent,
             const struct directories *directories)
{
  switch (scope)
    {
    case LOOKUP_DIRECTORY:
      return directories->len > 0 && agent == directories->agents[0];
    case LOOKUP_BACKUP_DIRECTORIES:
      for (size_t i = 1; i < directories->len; i++)
        if (agent == directories->agents[i])
          return true;
      return false;
    case LOOKUP_ZONE:
      return agent->is_same_zone;
    case LOOKUP_SERVICE:
    case LOOKUP_ALL:
      break;
    }
  return true;
}

/* Returns whether only directory agents are in SCOPE.  */
static bool
is_narrow (enum lookup_scope scope)
{
  return scope == LOOKUP_DIRECTORY || scope == LOOKUP_BACKUP_DIRECTORIES;
}

/* Returns the caller's latest segment, without payload.  */
static struct hs_segment
latest_segment (const struct hs_forwarder_flow *flow)
{
  return (struct hs_segment){ .from = flow->base.key.caller,
                              .to = flow->base.key.address,
                              .flags = HS_SEGMENT_ACK,
                              .seq = flow->caller_seq,
                              .ack = flow->caller_ack };
}

static bool
is_non_owner (const struct hs_forwarder_flow *flow, uint64_t agent_id)
{
  for (size_t i = 0; i < flow->non_owner_ids_len; i++)
    if (flow->non_owner_ids[i] == agent_id)
      return true;
  return false;
}

/* Returns whether the directory names another agent as the owner, which has
   not denied the flow and may be back.  */
static bool
is_other_recorded (const struct hs_forwarder *forwarder,
                   const struct hs_forwarder_flow *flow, uint64_t agent_id)
{
  uint64_t owner_id = flow->recorded_owner_id;

  return owner_id != 0 && owner_id != agent_id
         && !is_non_owner (flow, owner_id)
         && hs_agent_pool_find (forwarder->pool, owner_id) != NULL;
}

/* Returns whether the agent has answered that it does not own the flow or, as
   a directory agent, that it does not know.  */
static bool
has_answered (const struct hs_forwarder_flow *flow, uint64_t agent_id)
{
  for (size_t i = 0; i < flow->unknown_ids_len; i++)
    if (flow->unknown_ids[i] == agent_id)
      return true;
  return is_non_owner (flow, agent_id);
}

/* Returns whether all possible owners in SCOPE have answered that they do not
   own the flow or, in a narrow scope, that they do not know the owner.  An
   agent that is silent at present may be a possible owner, too.  Returns false
   if there are no possible owners, or HS_LOOKUP_AGENTS_MAX of them, since
   there may be more.  */
static bool
has_no_owner (const struct hs_forwarder *forwarder,
              const struct hs_forwarder_flow *flow, enum lookup_scope scope,
              uint64_t now)
{
  const struct hs_pool_agent *agents[HS_LOOKUP_AGENTS_MAX];
  size_t len = find_possible_owners (forwarder, flow, scope, agents, now);
  struct directories directories = find_directories (flow, agents, len);

  for (size_t i = 0; i < len; i++)
    {
      uint64_t agent_id = agents[i]->report.agent_id;

      if (is_in_scope (scope, agents[i], &directories)
          && !(is_narrow (scope) ? has_answered (flow, agent_id)
                                 : is_non_owner (flow, agent_id)))
        return false;
    }
  return len > 0 && len < HS_LOOKUP_AGENTS_MAX;
}
