/* group_evacuations.c -- evacuation orders at a control host of a group.  */

#include "base/auto.h"
#include "control/group_state.h"

#include <stdlib.h>

/* Types.  */

#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_UNPROCESSABLE 422

/* The nodes that act on an older revision, while they are listed.  */
struct behind
{
  uint64_t revision; /* In force.  */
  json_t *nodes;
};

/* Private functions.  */

static struct hs_group_call *find_call (struct hs_group *group,
                                        uint64_t index);
static void log_order (struct hs_group *group,
                       const struct hs_evacuation_order *order, uint64_t index,
                       bool changed, const GError *error);
static void append_if_behind (void *ctx,
                              const struct hs_inner_heartbeat *heartbeat);
static void notify_node (void *ctx,
                         const struct hs_inner_heartbeat *heartbeat);

/* Public definitions.  */

void
hs_group_start_order (struct hs_group *group, struct hs_group_call *call,
                      uint64_t now)
{
  size_t len;
  HS_AUTO_TALLOC uint8_t *data
      = hs_evacuation_order_encode (NULL, &call->order, &len);

  if (hs_region_map_len (group->region_map) > 0
      && hs_region_map_find (group->region_map, call->order.zone) == NULL
      && !hs_evacuations_contain (&group->evacuations, call->order.zone))
    {
      hs_list_remove (&call->link);
      hs_group_call_answer (call, STATUS_NOT_FOUND, HS_OUTCOME_NOT_RUN,
                            "unknown zone: expected one of the setting zones");
      return;
    }
  call->log_index = hs_replica_propose (group->replica, data, len, now);
}

void
hs_group_apply_order (struct hs_group *group,
                      const struct hs_evacuation_order *order, uint64_t index)
{
  struct hs_group_call *call = find_call (group, index);
  uint64_t revision = group->evacuations.revision;
  g_autoptr (GError) error = NULL;
  bool applied
      = hs_evacuations_apply (&group->evacuations, order, index, &error);

  log_order (group, order, index, group->evacuations.revision != revision,
             error);
  hs_counter_set (group->metrics.evacuated_zones, group->evacuations.len);
  if (call == NULL)
    return;
  call->order_status = applied ? STATUS_OK
                       : g_error_matches (error, HS_ERROR, HS_ERROR_CONFLICT)
                           ? STATUS_CONFLICT
                           : STATUS_UNPROCESSABLE;
  if (!applied)
    call->order_error = talloc_strdup (call, error->message);
}

void
hs_group_answer_order (struct hs_group *group, struct hs_group_call *call,
                       uint64_t now)
{
  /* Without an outcome, the entry of another leader took the place of the
     call's in the log.  */
  if (call->order_status == 0)
    {
      hs_counter_add (group->metrics.unavailable, 1);
      hs_group_call_answer (call, STATUS_UNAVAILABLE, HS_OUTCOME_MAY_HAVE_RUN,
                            "the order may have been accepted");
      return;
    }
  hs_counter_add (group->metrics.orders, 1);
  hs_histogram_observe (group->metrics.acknowledge_ms,
                        now - call->received_at);
  if (call->order_status == STATUS_OK)
    hs_group_call_answer (call, STATUS_OK, HS_OUTCOME_RAN, "accepted");
  else
    hs_group_call_answer (call, call->order_status, HS_OUTCOME_NOT_RUN,
                          call->order_error);
}

void
hs_group_answer_evacuations (struct hs_group *group,
                             struct hs_group_call *call)
{
  const struct hs_evacuations *evacuations = &group->evacuations;
  struct behind behind = { evacuations->revision, json_array () };
  json_t *zones = json_array ();
  HS_AUTO_JSON json_t *json = NULL;
  char *text;

  for (size_t i = 0; i < evacuations->len; i++)
    json_array_append_new (zones, json_string (evacuations->zones[i]));
  hs_node_table_foreach (group->nodes, HS_ROLE_ENTRY, append_if_behind,
                         &behind);
  hs_node_table_foreach (group->nodes, HS_ROLE_AGENT, append_if_behind,
                         &behind);
  json = json_pack ("{s:I, s:o, s:o}", "revision",
                    (json_int_t)evacuations->revision, "zones", zones,
                    "behind", behind.nodes);
  text = json_dumps (json, JSON_INDENT (2));
  hs_group_call_answer_json (call, text);
  free (text);
}

/* A notification may be lost: the replies to heartbeats repeat it.  */
void
hs_group_notify_evacuations (struct hs_group *group)
{
  if (group->notified_evacuations == group->evacuations.revision)
    return;
  group->notified_evacuations = group->evacuations.revision;
  if (!hs_replica_is_leader (group->replica))
    return;
  hs_node_table_foreach (group->nodes, HS_ROLE_ENTRY, notify_node, group);
  hs_node_table_foreach (group->nodes, HS_ROLE_AGENT, notify_node, group);
}

void
hs_group_send_evacuations (struct hs_group *group, const struct hs_addr *to)
{
  struct hs_inner message
      = { .type = HS_INNER_EVACUATIONS, .evacuations = group->evacuations };

  hs_group_send_inner (group, to, &message);
}

/* Private definitions.  */

/* Returns the pending call whose order is the log entry at INDEX, or NULL.  */
static struct hs_group_call *
find_call (struct hs_group *group, uint64_t index)
{
  HS_LIST_FOREACH (link, &group->pending_calls)
    {
      struct hs_group_call *call
          = HS_LIST_ENTRY (link, struct hs_group_call, link);

      if (call->log_index == index && call->order.zone[0] != '\0'
          && call->term == hs_replica_term (group->replica))
        return call;
    }
  return NULL;
}

static void
log_order (struct hs_group *group, const struct hs_evacuation_order *order,
           uint64_t index, bool changed, const GError *error)
{
  hs_log_write (group->log, HS_LOG_INFO, "evacuation-order",
                "{s:s, s:s, s:I, s:I, s:b, s:i, s:s}", "zone", order->zone,
                "order", order->start ? "start" : "finish", "index",
                (json_int_t)index, "revision",
                (json_int_t)group->evacuations.revision, "changed", changed,
                "zones", (int)group->evacuations.len, "refused",
                error != NULL ? error->message : "");
}

static void
append_if_behind (void *ctx, const struct hs_inner_heartbeat *heartbeat)
{
  struct behind *behind = ctx;

  if (heartbeat->evacuation_revision >= behind->revision)
    return;
  json_array_append_new (
      behind->nodes,
      json_pack ("{s:s, s:s, s:s, s:I}", "name", heartbeat->name, "role",
                 heartbeat->role == HS_ROLE_ENTRY ? "entry" : "agent", "zone",
                 heartbeat->zone, "revision",
                 (json_int_t)heartbeat->evacuation_revision));
}

static void
notify_node (void *ctx, const struct hs_inner_heartbeat *heartbeat)
{
  hs_group_send_evacuations (ctx, &heartbeat->address);
}
