/* agent.c -- the agent daemon of UDP and CoAP services.

   Threads: receiver, decision worker (named "decide"; the files that share
   state.h), sender, link, admin, log.  */

#include "agent/state.h"
#include "base/auto.h"
#include "daemon/process.h"
#include "wire/flow_message.h"

#include <string.h>

/* Types.  */

#define POOL_BATCHES 64 /* In the receiver's pool and in the outbox's.  */
#define DRAIN_CHECK_INTERVAL_MS 50
#define DRAIN_MIN_MS 2000 /* Lets entries and agents apply the new view.  */

/* Private functions.  */

static void init_decision_worker (struct hs_agent *agent);
static void after_items (void *ctx);
static void on_message (void *ctx, void *item);
static void on_command (void *ctx, void *item);
static void on_drain (void *ctx);
static void on_hand_over (void *ctx);
static void on_catalog_updated (void *ctx);
static void on_superseded (void *ctx);
static void send_flow_message (void *ctx, const struct hs_member *to,
                               const struct hs_flow_message *message);
static void on_flow_recovered (void *ctx, struct hs_flow *flow);
static void on_owner_resolved (void *ctx);
static void on_flow_closed (void *ctx, struct hs_flow *flow);
static void on_tick (void *ctx, uint64_t now);
static void on_drain_check (void *ctx, uint64_t now);
static bool is_drained (struct hs_agent *agent, uint64_t now);

/* Public definitions.  */

struct hs_agent *
hs_agent_create (const struct hs_agent_settings *settings, struct hs_log *log,
                 GError **error)
{
  struct hs_agent *agent = talloc_zero (NULL, struct hs_agent);
  struct hs_datapath_settings datapath_settings
      = { settings->inner_address, settings->admin_address, POOL_BATCHES };

  agent->settings = *settings;
  agent->log = log;
  agent->agent_id = hs_id_from_name (settings->name);
  agent->incarnation = hs_incarnation_create ();
  hs_coap_init ();
  hs_agent_create_metrics (agent);
  agent->datapath = hs_datapath_create (agent, &datapath_settings, "decide",
                                        agent->metric_set, error);
  if (agent->datapath == NULL
      || !hs_datapath_add_link (agent->datapath, &settings->control_address,
                                error))
    {
      if (agent->datapath != NULL)
        hs_datapath_destroy (agent->datapath);
      talloc_free (agent);
      return NULL;
    }
  init_decision_worker (agent);
  return agent;
}

void
hs_agent_destroy (struct hs_agent *agent)
{
  hs_datapath_stop (agent->datapath);
  hs_datapath_destroy (agent->datapath);
  talloc_free (agent);
}

void
hs_agent_start (struct hs_agent *agent)
{
  hs_datapath_start (agent->datapath);
}

bool
hs_agent_drain (struct hs_agent *agent)
{
  hs_datapath_run_command (agent->datapath, on_drain);
  return !agent->superseded;
}

bool
hs_agent_hand_over (struct hs_agent *agent)
{
  hs_datapath_run_command (agent->datapath, on_hand_over);
  return !agent->superseded;
}

const struct hs_catalog_item *
hs_agent_catalog_item (struct hs_agent *agent)
{
  return hs_catalog_find (agent->catalog, agent->service_id);
}

bool
hs_agent_is_coap (struct hs_agent *agent)
{
  return hs_agent_catalog_item (agent)->service->document->kind
         == HS_SERVICE_KIND_COAP;
}

/* Private definitions.  */

/* Creates the objects of the decision worker and connects it to its rings.  */
static void
init_decision_worker (struct hs_agent *agent)
{
  struct hs_control_client_ops client_ops
      = { on_catalog_updated, on_superseded };
  struct hs_ownership_ops ownership_ops
      = { send_flow_message, on_flow_recovered, on_flow_closed,
          on_owner_resolved, hs_agent_on_flow_confirmed };
  struct hs_tracker_ops tracker_ops = { hs_agent_on_request_expired };
  struct hs_announcement announcement
      = { .role = HS_ROLE_AGENT,
          .incarnation = agent->incarnation,
          .address = agent->settings.inner_address };
  void *parent;

  g_strlcpy (announcement.name, agent->settings.name, HS_NAME_SIZE);
  g_strlcpy (announcement.zone, agent->settings.zone, HS_NAME_SIZE);
  g_strlcpy (announcement.service_name, agent->settings.service_name,
             HS_NAME_SIZE);
  parent = agent->datapath->decision_worker;
  agent->timers = hs_timers_create (parent, hs_clock_monotonic ());
  agent->pending_packets = hs_pending_packets_create (parent);
  hs_list_init (&agent->pending_requests);
  agent->catalog = hs_catalog_create (parent);
  agent->upstream_sockets
      = hs_upstream_sockets_create (parent, &agent->settings.upstream_address);
  agent->outbox = hs_outbox_create (parent, agent->datapath->sending,
                                    POOL_BATCHES, agent->metric_set);
  agent->ownership
      = hs_ownership_create (parent, agent->catalog, agent->agent_id,
                             agent->incarnation, &ownership_ops, agent);
  agent->tracker
      = hs_tracker_create (parent, agent->timers, &tracker_ops, agent);
  agent->control_client = hs_control_client_create (
      parent, agent->timers, agent->datapath->link, agent->log, agent->catalog,
      &announcement, &client_ops, agent);
  hs_timer_init (&agent->tick, on_tick, agent);
  hs_timer_start (agent->timers, &agent->tick, hs_clock_monotonic ());
  hs_timer_init (&agent->drain_check, on_drain_check, agent);
  hs_worker_watch_ring (agent->datapath->decision_worker,
                        agent->datapath->received, hs_agent_on_batch, agent);
  hs_worker_watch_ring (agent->datapath->decision_worker,
                        agent->datapath->messages, on_message, agent);
  hs_worker_watch_ring (agent->datapath->decision_worker,
                        agent->datapath->commands, on_command, agent);
  hs_worker_set_after_items (agent->datapath->decision_worker, after_items,
                             agent);
  hs_worker_set_timers (agent->datapath->decision_worker, agent->timers);
}

static void
after_items (void *ctx)
{
  struct hs_agent *agent = ctx;

  if (agent->routing_due)
    {
      agent->routing_due = false;
      hs_agent_route_pending (agent, hs_clock_monotonic ());
    }
  hs_outbox_flush (agent->outbox);
  hs_agent_update_gauges (agent);
}

/* Handles ITEM, a struct hs_envelope from the control host.  */
static void
on_message (void *ctx, void *item)
{
  struct hs_agent *agent = ctx;
  HS_AUTO_TALLOC struct hs_envelope *envelope = item;

  hs_control_client_handle (agent->control_client, envelope->message);
}

/* Runs ITEM, a function passed to hs_datapath_run_command.  */
static void
on_command (void *ctx, void *item)
{
  hs_worker_fn *command = (hs_worker_fn *)item;

  command (ctx);
}

static void
on_drain (void *ctx)
{
  struct hs_agent *agent = ctx;

  agent->draining_since = hs_clock_monotonic ();
  hs_log_write (agent->log, HS_LOG_INFO, "draining", NULL);
  hs_ownership_set_draining (agent->ownership);
  hs_control_client_set_draining (agent->control_client);
  hs_timer_start (agent->timers, &agent->drain_check,
                  agent->draining_since + DRAIN_MIN_MS);
}

/* CoAP requests that arrive from now on are ignored.  Callers retransmit them,
   and the new process receives them.  */
static void
on_hand_over (void *ctx)
{
  struct hs_agent *agent = ctx;

  agent->handing_over = true;
  agent->draining_since = hs_clock_monotonic ();
  hs_log_write (agent->log, HS_LOG_INFO, "handing-over", NULL);
  hs_timer_start (agent->timers, &agent->drain_check,
                  agent->draining_since + DRAIN_CHECK_INTERVAL_MS);
}

static void
on_catalog_updated (void *ctx)
{
  struct hs_agent *agent = ctx;
  const struct hs_catalog_item *item
      = hs_catalog_find_name (agent->catalog, agent->settings.service_name);

  if (item != NULL)
    {
      agent->service_id = item->service_id;
      hs_ownership_set_service (agent->ownership, item->service_id);
      hs_ownership_apply_view (agent->ownership, hs_clock_monotonic ());
    }
  hs_counter_set (agent->metrics.catalog_version,
                  hs_catalog_version (agent->catalog));
  if (item != NULL && agent->draining_since == 0)
    hs_admin_set_unhealthy (agent->datapath->admin, NULL);
}

/* A later process with this agent's name has announced itself: stops this one.
   The drain is marked as complete in advance, so that hs_agent_drain and
   hs_agent_hand_over return at once.  */
static void
on_superseded (void *ctx)
{
  struct hs_agent *agent = ctx;

  agent->superseded = true;
  hs_datapath_command_done (agent->datapath);
  hs_process_stop ();
}

static void
send_flow_message (void *ctx, const struct hs_member *to,
                   const struct hs_flow_message *message)
{
  struct hs_agent *agent = ctx;
  struct hs_packet *packet = hs_outbox_add (agent->outbox);

  if (packet == NULL)
    return;
  packet->len
      = (uint16_t)hs_flow_message_encode (message, hs_packet_bytes (packet));
  packet->peer = to->address;
  packet->fd = agent->datapath->inner_fd;
  hs_counter_add (agent->metrics.flow_messages, 1);
  hs_counter_add (agent->metrics.flow_message_bytes, packet->len);
}

static void
on_flow_recovered (void *ctx, struct hs_flow *flow)
{
  struct hs_agent *agent = ctx;

  hs_counter_add (agent->metrics.flows_recovered, 1);
  hs_agent_open_upstream_socket (agent, flow);
}

/* Only sets a flag, since the ownership must not be called from within its own
   callback.  */
static void
on_owner_resolved (void *ctx)
{
  struct hs_agent *agent = ctx;

  agent->routing_due = true;
}

static void
on_flow_closed (void *ctx, struct hs_flow *flow)
{
  struct hs_agent *agent = ctx;
  struct hs_upstream_socket *upstream_socket = flow->user_data;

  hs_tracker_close_flow (agent->tracker, &flow->key, hs_clock_monotonic ());
  if (upstream_socket == NULL)
    return;
  /* The packets of this socket must be queued for the sender before the socket
     is closed.  */
  hs_outbox_flush (agent->outbox);
  hs_receiver_close (agent->datapath->receiver, upstream_socket->fd);
  hs_upstream_sockets_remove (agent->upstream_sockets, upstream_socket);
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_agent *agent = ctx;

  hs_ownership_tick (agent->ownership, now);
  hs_timer_start (agent->timers, &agent->tick, now + HS_OWNERSHIP_TICK_MS);
}

static void
on_drain_check (void *ctx, uint64_t now)
{
  struct hs_agent *agent = ctx;

  if (!is_drained (agent, now))
    {
      hs_timer_start (agent->timers, &agent->drain_check,
                      now + DRAIN_CHECK_INTERVAL_MS);
      return;
    }
  if (!agent->handing_over)
    hs_control_client_set_exiting (agent->control_client);
  hs_log_write (agent->log, HS_LOG_INFO, "drained", NULL);
  hs_datapath_command_done (agent->datapath);
}

/* Every request in progress finishes, since each has a deadline.  Streams, and
   the flows of a service of kind udp, may stay open for the grace period of
   the document.  */
static bool
is_drained (struct hs_agent *agent, uint64_t now)
{
  struct hs_request_totals totals = hs_tracker_totals (agent->tracker);
  const struct hs_catalog_item *item = hs_agent_catalog_item (agent);
  uint64_t draining_ms = now - agent->draining_since;
  bool has_streams_or_flows;

  if (item == NULL || item->service == NULL)
    return true;
  has_streams_or_flows = hs_agent_is_coap (agent)
                             ? totals.streams > 0
                             : hs_ownership_stats (agent->ownership).flows > 0;
  if (totals.in_progress > 0)
    return false;
  if (agent->handing_over)
    return true;
  return !has_streams_or_flows
         || draining_ms >= item->service->document->grace_ms;
}
