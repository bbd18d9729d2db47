/* segment_node.c -- what the segment entry and the segment agent share.  */

#include "daemon/segment_node.h"
#include "base/addr.h"
#include "base/auto.h"
#include "base/worker.h"

#include <string.h>

/* Types.  */

#define SEEDS_QUEUED 4   /* Capacity of the ring.  */
#define OUTBOX_BATCHES 8 /* In its batch pool.  */
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503

/* Private functions.  */

static void create_follower (struct hs_segment_node *node);
static void register_handlers (struct hs_segment_node *node);
static void on_batch (void *ctx, void *item);
static void handle_inner (struct hs_segment_node *node,
                          struct hs_packet *packet, uint64_t now);
static void on_seeds (void *ctx, void *item);
static void on_command (void *ctx, void *item);
static void on_drain (void *ctx);
static void after_items (void *ctx);
static void on_tick (void *ctx, uint64_t now);
static void on_follower_send (void *ctx, const struct hs_addr *to,
                              const struct hs_inner *inner);
static bool on_apply_configuration (void *ctx, uint64_t base_generation,
                                    const uint8_t *bytes, size_t len);
static void on_agents_changed (void *ctx);
static void on_evacuations_changed (void *ctx,
                                    const struct hs_evacuations *evacuations);
static void on_group_lost_changed (void *ctx, bool lost);
static void on_request (void *ctx, struct hs_http_request *request);

/* Public definitions.  */

struct hs_segment_node *
hs_segment_node_create (void *parent,
                        const struct hs_segment_node_settings *settings,
                        const struct hs_segment_node_ops *ops, void *ctx,
                        struct hs_metrics *metrics, struct hs_log *log,
                        GError **error)
{
  struct hs_segment_node *node = talloc_zero (parent, struct hs_segment_node);
  struct hs_datapath_settings datapath_settings
      = { .inner_address = *hs_addr_or (&settings->inner_bind_address,
                                        &settings->inner_address),
          .batches = settings->batches };

  node->settings = *settings;
  node->ops = *ops;
  node->ctx = ctx;
  node->log = log;
  node->metric_set = metrics;
  node->node_id = hs_id_from_name (settings->name);
  node->incarnation = hs_clock_wall ();
  node->seeds = hs_ring_create (node, SEEDS_QUEUED);
  node->malformed
      = hs_counter_create (metrics, "malformed_total",
                           "Datagrams dropped because they do not decode.");
  node->log_dropped
      = hs_gauge_create (metrics, "log_lines_dropped_total",
                         "Log lines dropped by the rate limit or because the "
                         "queue was full.");
  node->datapath = hs_datapath_create (node, &datapath_settings, "decide",
                                       metrics, error);
  if (node->datapath == NULL)
    {
      talloc_free (node);
      return NULL;
    }
  create_follower (node);
  node->http
      = hs_http_create (&settings->health_address, on_request, node, error);
  if (node->http != NULL)
    {
      register_handlers (node);
      return node;
    }
  hs_datapath_destroy (node->datapath);
  talloc_free (node);
  return NULL;
}

void
hs_segment_node_destroy (struct hs_segment_node *node)
{
  void *item;

  hs_http_destroy (node->http);
  hs_datapath_destroy (node->datapath);
  while ((item = hs_ring_pop (node->seeds)) != NULL)
    talloc_free (item);
  talloc_free (node);
}

void
hs_segment_node_start (struct hs_segment_node *node)
{
  hs_datapath_start (node->datapath);
}

void
hs_segment_node_stop (struct hs_segment_node *node)
{
  hs_datapath_stop (node->datapath);
}

void
hs_segment_node_set_seeds (struct hs_segment_node *node,
                           const struct hs_addrs *seeds)
{
  struct hs_addrs *copy = talloc_memdup (NULL, seeds, sizeof *seeds);

  talloc_free (hs_ring_push_displacing (node->seeds, copy));
}

void
hs_segment_node_drain (struct hs_segment_node *node)
{
  hs_datapath_run_command (node->datapath, on_drain);
}

void
hs_segment_node_finish_drain (struct hs_segment_node *node)
{
  hs_datapath_command_done (node->datapath);
}

void
hs_segment_node_set_readiness (struct hs_segment_node *node,
                               const char *reason)
{
  hs_admin_set_unhealthy (node->datapath->admin, reason);
}

void
hs_segment_node_send (struct hs_segment_node *node, const struct hs_addr *to,
                      const struct hs_inner *inner)
{
  struct hs_packet *packet = hs_outbox_add (node->outbox);

  if (packet == NULL)
    return;
  packet->start = 0;
  packet->len = (uint16_t)hs_inner_encode (inner, packet->data);
  packet->peer = *to;
  packet->fd = node->datapath->inner_fd;
}

void
hs_segment_node_encapsulate (struct hs_segment_node *node,
                             struct hs_packet *packet,
                             const struct hs_inner *inner,
                             const struct hs_addr *to)
{
  uint8_t bytes[HS_INNER_SIZE_MAX];
  size_t len = hs_inner_encode (inner, bytes);

  packet->start = (uint16_t)(packet->start - len);
  packet->len = (uint16_t)(packet->len + len);
  memcpy (hs_packet_bytes (packet), bytes, len);
  packet->peer = *to;
  packet->fd = node->datapath->inner_fd;
  packet->connected = false;
}

void
hs_segment_node_send_copy (struct hs_segment_node *node,
                           const struct hs_packet *packet)
{
  struct hs_packet *copy = hs_outbox_add (node->outbox);

  if (copy == NULL)
    return;
  copy->fd = packet->fd;
  copy->peer = packet->peer;
  copy->start = packet->start;
  copy->len = packet->len;
  memcpy (hs_packet_bytes (copy), packet->data + packet->start, packet->len);
}

void
hs_segment_node_address_to_caller (struct hs_segment_node *node,
                                   struct hs_packet *packet, int fd,
                                   const struct hs_addr *caller, uint16_t port)
{
  (void)node;
  packet->peer = *caller;
  packet->peer.port = port;
  packet->fd = fd;
  packet->connected = false;
}

/* Private definitions.  */

static void
create_follower (struct hs_segment_node *node)
{
  struct hs_follower_ops ops
      = { on_follower_send, on_apply_configuration, on_agents_changed,
          on_evacuations_changed, on_group_lost_changed };
  struct hs_inner_heartbeat self = { .role = node->settings.role,
                                     .node_id = node->node_id,
                                     .incarnation = node->incarnation,
                                     .address = node->settings.inner_address };
  void *parent = node->datapath->decision_worker;

  g_strlcpy (self.name, node->settings.name, HS_NAME_SIZE);
  g_strlcpy (self.zone, node->settings.zone, HS_NAME_SIZE);
  node->outbox = hs_outbox_create (parent, node->datapath->sending,
                                   OUTBOX_BATCHES, node->metric_set);
  node->follower = hs_follower_create (parent, &self, &ops, node);
  hs_follower_set_seeds (node->follower, &node->settings.seeds,
                         (uint16_t)node->settings.seed_port);
}

static void
register_handlers (struct hs_segment_node *node)
{
  struct hs_worker *decision_worker = node->datapath->decision_worker;
  uint64_t now = hs_clock_monotonic ();

  node->timers = hs_timers_create (decision_worker, now);
  hs_timer_init (&node->tick, on_tick, node);
  hs_timer_start (node->timers, &node->tick, now);
  hs_worker_watch_ring (decision_worker, node->datapath->received, on_batch,
                        node);
  hs_worker_watch_ring (decision_worker, node->datapath->commands, on_command,
                        node);
  hs_worker_watch_ring (decision_worker, node->seeds, on_seeds, node);
  hs_worker_set_after_items (decision_worker, after_items, node);
  hs_worker_set_timers (decision_worker, node->timers);
}

static void
on_batch (void *ctx, void *item)
{
  struct hs_segment_node *node = ctx;
  struct hs_batch *batch = item;
  uint64_t now = hs_clock_monotonic ();

  for (size_t i = 0; i < batch->len; i++)
    {
      struct hs_packet *packet = &batch->packets[i];

      packet->fd = -1;
      if (packet->len == 0)
        continue;
      if (packet->tag == HS_TAG_INNER)
        handle_inner (node, packet, now);
      else
        node->ops.handle_packet (node->ctx, packet, now);
    }
  hs_ring_push (node->datapath->sending, batch);
}

static void
handle_inner (struct hs_segment_node *node, struct hs_packet *packet,
              uint64_t now)
{
  struct hs_inner inner;
  size_t len = hs_inner_decode (hs_packet_bytes (packet), packet->len, &inner);

  if (len == 0)
    {
      hs_counter_add (node->malformed, 1);
      return;
    }
  if (inner.type == HS_INNER_STATUS || inner.type == HS_INNER_CHUNK
      || inner.type == HS_INNER_EVACUATIONS)
    {
      hs_follower_receive (node->follower, &packet->peer, &inner, now);
      return;
    }
  packet->start = (uint16_t)(packet->start + len);
  packet->len = (uint16_t)(packet->len - len);
  node->ops.handle_message (node->ctx, packet, &inner, now);
}

static void
on_seeds (void *ctx, void *item)
{
  struct hs_segment_node *node = ctx;
  HS_AUTO_TALLOC struct hs_addrs *seeds = item;

  hs_follower_set_seeds (node->follower, seeds,
                         (uint16_t)node->settings.seed_port);
}

static void
on_command (void *ctx, void *item)
{
  hs_worker_fn *command = (hs_worker_fn *)item;

  command (ctx);
}

static void
on_drain (void *ctx)
{
  struct hs_segment_node *node = ctx;

  hs_log_write (node->log, HS_LOG_INFO, "draining", NULL);
  node->ops.drain (node->ctx, hs_clock_monotonic ());
}

static void
after_items (void *ctx)
{
  struct hs_segment_node *node = ctx;

  hs_outbox_flush (node->outbox);
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_segment_node *node = ctx;

  hs_follower_tick (node->follower, now);
  node->ops.tick (node->ctx, now);
  hs_counter_set (node->log_dropped, hs_log_dropped (node->log));
  hs_timer_start (node->timers, &node->tick, now + HS_SEGMENT_NODE_TICK_MS);
}

static void
on_follower_send (void *ctx, const struct hs_addr *to,
                  const struct hs_inner *inner)
{
  hs_segment_node_send (ctx, to, inner);
}

static bool
on_apply_configuration (void *ctx, uint64_t base_generation,
                        const uint8_t *bytes, size_t len)
{
  struct hs_segment_node *node = ctx;

  return node->ops.apply_configuration (node->ctx, base_generation, bytes,
                                        len);
}

static void
on_agents_changed (void *ctx)
{
  struct hs_segment_node *node = ctx;

  node->ops.agents_changed (node->ctx);
}

static void
on_evacuations_changed (void *ctx, const struct hs_evacuations *evacuations)
{
  struct hs_segment_node *node = ctx;

  hs_log_write (node->log, HS_LOG_INFO, "evacuations-in-force",
                "{s:I, s:i, s:b}", "revision",
                (json_int_t)evacuations->revision, "zones",
                (int)evacuations->len, "own_zone",
                hs_evacuations_contain (evacuations, node->settings.zone));
  node->ops.evacuations_changed (node->ctx, evacuations);
}

static void
on_group_lost_changed (void *ctx, bool lost)
{
  struct hs_segment_node *node = ctx;

  hs_log_write (node->log, lost ? HS_LOG_WARNING : HS_LOG_INFO,
                lost ? "control-lost" : "control-regained", NULL);
}

static void
on_request (void *ctx, struct hs_http_request *request)
{
  struct hs_segment_node *node = ctx;
  const struct hs_adapter *adapter = node->settings.adapter;
  const char *reason = hs_admin_unhealthy_reason (node->datapath->admin);
  char id[HS_NAME_SIZE];

  if (hs_admin_handle (node->datapath->admin, request))
    return;
  if (adapter->decode_operation (adapter->ctx, hs_http_method (request),
                                 hs_http_path (request), id)
      == HS_OPERATION_READINESS)
    hs_http_respond (request, reason == NULL ? STATUS_OK : STATUS_UNAVAILABLE,
                     "text/plain", reason == NULL ? "ok\n" : reason);
  else
    hs_http_respond (request, STATUS_NOT_FOUND, "text/plain", "not found\n");
}
