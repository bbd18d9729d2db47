/* group_calls.c -- calls of operators.  The leader replaces and returns the
   configuration, and carries out and lists evacuations; the other hosts
   redirect such calls to the leader.  Any host
   returns the status of the group.  */

#include "base/auto.h"
#include "control/group_state.h"
#include "wire/configuration_message.h"

#include <stdlib.h>

/* Types.  */

/* How long a call may wait for a majority.  Operators try another host after
   1 s without an answer.  */
#define CALL_TIMEOUT_MS 2000

/* Private functions.  */

static bool is_read (const struct hs_group_call *call);
static void start_replace (struct hs_group *group, struct hs_group_call *call,
                           uint64_t now);
static uint64_t propose (struct hs_group *group,
                         const struct hs_group_call *call, uint64_t now);
static bool has_failed (const struct hs_group *group,
                        const struct hs_group_call *call, uint64_t now);
static bool is_confirmed (const struct hs_group *group,
                          const struct hs_group_call *call);
static void answer_call (struct hs_group *group, struct hs_group_call *call,
                         uint64_t now);
static void answer_get (struct hs_group *group, struct hs_group_call *call);
static void answer_group_status (struct hs_group *group,
                                 struct hs_group_call *call);
static json_t *format_host (const struct hs_control_host *host, bool is_voter,
                            bool is_leader);
static json_t *format_version (uint64_t generation);
static void append_node (void *ctx,
                         const struct hs_inner_heartbeat *heartbeat);

/* Public definitions.  */

void
hs_group_on_call (void *ctx, void *item)
{
  struct hs_group *group = ctx;
  struct hs_group_call *call = item;
  uint64_t now = hs_clock_monotonic ();
  struct hs_control_host leader;

  if (call->operation == HS_OPERATION_GROUP_STATUS)
    {
      answer_group_status (group, call);
      return;
    }
  if (!group->draining && !hs_replica_is_leader (group->replica)
      && hs_replica_leader (group->replica, &leader))
    {
      hs_counter_add (group->metrics.redirected, 1);
      hs_group_call_redirect (call, &leader.api_address);
      return;
    }
  if (group->draining || !hs_replica_is_leader (group->replica))
    {
      hs_counter_add (group->metrics.unavailable, 1);
      hs_group_call_answer (
          call, STATUS_UNAVAILABLE, HS_OUTCOME_NOT_RUN,
          "no leader is known, or this control host is draining");
      return;
    }
  call->term = hs_replica_term (group->replica);
  hs_list_append (&group->pending_calls, &call->link);
  if (is_read (call))
    call->read_round = hs_replica_begin_read (group->replica, now);
  else if (call->configuration == NULL)
    hs_group_start_order (group, call, now);
  else
    start_replace (group, call, now);
}

void
hs_group_answer_pending (struct hs_group *group, uint64_t now)
{
  HS_LIST_FOREACH (link, &group->pending_calls)
    {
      struct hs_group_call *call
          = HS_LIST_ENTRY (link, struct hs_group_call, link);

      if (!has_failed (group, call, now) && !is_confirmed (group, call))
        continue;
      hs_list_remove (link);
      answer_call (group, call, now);
    }
}

/* Private definitions.  */

static bool
is_read (const struct hs_group_call *call)
{
  return call->operation == HS_OPERATION_GET_CONFIGURATION
         || call->operation == HS_OPERATION_LIST_EVACUATIONS;
}

/* A version that is not higher than the newest one in the log changes
   nothing: the call is answered once all entries that are in the log now have
   been applied.  */
static void
start_replace (struct hs_group *group, struct hs_group_call *call,
               uint64_t now)
{
  uint64_t generation
      = hs_configuration_generation (call->configuration->version);

  call->log_index = hs_replica_last_index (group->replica);
  if (generation <= group->proposed_generation)
    return;
  call->log_index = propose (group, call, now);
  if (call->log_index != 0)
    {
      group->proposed_generation = generation;
      return;
    }
  hs_list_remove (&call->link);
  hs_group_call_answer (call, STATUS_TOO_LARGE, HS_OUTCOME_NOT_RUN,
                        "configuration is too large: expected at most "
                        "56000 bytes for its text and its encoding, both "
                        "compressed");
}

/* Appends the configuration of CALL to the replicated log.  Returns the index
   of its entry, or 0 if it is too large for one.  */
static uint64_t
propose (struct hs_group *group, const struct hs_group_call *call,
         uint64_t now)
{
  void *scratch = talloc_new (NULL);
  struct hs_stored_configuration stored
      = { .version = call->configuration->version };
  size_t body_len;
  const char *body = hs_http_body (call->request, &body_len);
  size_t len;
  uint8_t *data;
  uint64_t index;

  stored.source = hs_bytes_compress (scratch, (const uint8_t *)body, body_len,
                                     &stored.source_len);
  stored.encoded = hs_configuration_encode (scratch, call->configuration,
                                            &stored.encoded_len);
  data = hs_stored_configuration_encode (scratch, &stored, &len);
  index = hs_replica_propose (group->replica, data, len, now);
  talloc_free (scratch);
  return index;
}

/* Returns whether CALL can no longer be confirmed: this host is no longer the
   leader of the term in which it received CALL, or CALL_TIMEOUT_MS have
   passed.  */
static bool
has_failed (const struct hs_group *group, const struct hs_group_call *call,
            uint64_t now)
{
  return !hs_replica_is_leader (group->replica)
         || hs_replica_term (group->replica) != call->term
         || now - call->received_at > CALL_TIMEOUT_MS;
}

/* A replacement is acknowledged only while a configuration at least as new as
   its own is in force.  */
static bool
is_confirmed (const struct hs_group *group, const struct hs_group_call *call)
{
  if (is_read (call))
    return hs_replica_confirmed_round (group->replica) >= call->read_round;
  if (hs_replica_applied_index (group->replica) < call->log_index)
    return false;
  return call->configuration == NULL
         || hs_group_generation (group)
                >= hs_configuration_generation (call->configuration->version);
}

static void
answer_call (struct hs_group *group, struct hs_group_call *call, uint64_t now)
{
  if (has_failed (group, call, now))
    {
      hs_counter_add (group->metrics.unavailable, 1);
      hs_log_write (group->log, HS_LOG_WARNING, "call-unanswered",
                    "{s:b, s:I, s:I}", "leads",
                    hs_replica_is_leader (group->replica), "index",
                    (json_int_t)call->log_index, "waited_ms",
                    (json_int_t)(now - call->received_at));
      hs_group_call_answer (call, STATUS_UNAVAILABLE, HS_OUTCOME_MAY_HAVE_RUN,
                            "no majority confirmed the call in time; a change "
                            "may have been accepted");
      return;
    }
  if (call->operation == HS_OPERATION_GET_CONFIGURATION)
    {
      answer_get (group, call);
      return;
    }
  if (call->operation == HS_OPERATION_LIST_EVACUATIONS)
    {
      hs_group_answer_evacuations (group, call);
      return;
    }
  if (call->configuration == NULL)
    {
      hs_group_answer_order (group, call, now);
      return;
    }
  hs_counter_add (group->metrics.accepted, 1);
  hs_histogram_observe (group->metrics.acknowledge_ms,
                        now - call->received_at);
  hs_log_write (group->log, HS_LOG_INFO, "configuration-acknowledged",
                "{s:I, s:I, s:I, s:I}", "version",
                (json_int_t)call->configuration->version, "in_force",
                (json_int_t)group->current->version, "index",
                (json_int_t)call->log_index, "took_ms",
                (json_int_t)(now - call->received_at));
  hs_group_call_answer (call, STATUS_OK, HS_OUTCOME_RAN, "accepted");
}

static void
answer_get (struct hs_group *group, struct hs_group_call *call)
{
  HS_AUTO_TALLOC uint8_t *source = NULL;
  size_t len;

  if (group->current == NULL)
    {
      hs_group_call_answer (call, STATUS_UNAVAILABLE, HS_OUTCOME_NOT_RUN,
                            "no configuration has been accepted yet");
      return;
    }
  source = hs_bytes_uncompress (NULL, group->current->source,
                                group->current->source_len, &len, NULL);
  hs_counter_add (group->metrics.reads, 1);
  hs_group_call_answer_json (call, (const char *)source);
}

static void
answer_group_status (struct hs_group *group, struct hs_group_call *call)
{
  HS_AUTO_JSON json_t *json = NULL;
  json_t *hosts = json_array ();
  json_t *nodes = json_array ();
  struct hs_control_host known_hosts[HS_INNER_ADDRS_MAX];
  struct hs_control_host leader = { 0 };
  size_t len = hs_replica_list_hosts (group->replica, known_hosts,
                                      HS_INNER_ADDRS_MAX);
  char *text;

  hs_replica_leader (group->replica, &leader);
  for (size_t i = 0; i < len; i++)
    json_array_append_new (
        hosts, format_host (&known_hosts[i],
                            i < hs_replica_members (group->replica)->len,
                            known_hosts[i].id == leader.id));
  hs_node_table_foreach (group->nodes, HS_ROLE_ENTRY, append_node, nodes);
  hs_node_table_foreach (group->nodes, HS_ROLE_AGENT, append_node, nodes);
  json = json_pack (
      "{s:s, s:b, s:I, s:I, s:I, s:o, s:b, s:o, s:o}", "name",
      group->settings.name, "leads", hs_replica_is_leader (group->replica),
      "term", (json_int_t)hs_replica_term (group->replica), "applied",
      (json_int_t)hs_replica_applied_index (group->replica), "last",
      (json_int_t)hs_replica_last_index (group->replica), "version",
      format_version (hs_group_generation (group)), "disk_works",
      !group->disk_failed, "hosts", hosts, "nodes", nodes);
  text = json_dumps (json, JSON_INDENT (2));
  hs_group_call_answer_json (call, text);
  free (text);
}

static json_t *
format_host (const struct hs_control_host *host, bool is_voter, bool is_leader)
{
  char inner[HS_ADDR_TEXT_SIZE];
  char api[HS_ADDR_TEXT_SIZE];

  hs_addr_format (&host->inner_address, inner);
  hs_addr_format (&host->api_address, api);
  return json_pack ("{s:s, s:s, s:b, s:b}", "inner", inner, "api", api,
                    "votes", is_voter, "leads", is_leader);
}

/* Returns the version of the configuration of GENERATION, or null for none, as
   at agents, which fetch no configuration.  */
static json_t *
format_version (uint64_t generation)
{
  return generation != 0 ? json_integer ((json_int_t)(generation - 1))
                         : json_null ();
}

static void
append_node (void *ctx, const struct hs_inner_heartbeat *heartbeat)
{
  char address[HS_ADDR_TEXT_SIZE];

  hs_addr_format (&heartbeat->address, address);
  json_array_append_new (
      ctx,
      json_pack ("{s:s, s:s, s:s, s:s, s:o}", "name", heartbeat->name, "role",
                 heartbeat->role == HS_ROLE_ENTRY ? "entry" : "agent", "zone",
                 heartbeat->zone, "address", address, "version_in_force",
                 format_version (heartbeat->configuration_generation)));
}
