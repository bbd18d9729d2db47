/* segment_node.c -- what the daemons of segment flows have in common.  */

#include "daemon/segment_node.h"
#include "base/auto.h"
#include "base/worker.h"

#include <string.h>

/* Types.  */

#define SEEDS_QUEUED 4
#define OUTBOX_BATCHES 8
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503

/* Private functions.  */

static void create_follower (struct hs_segment_node *front);
static void watch (struct hs_segment_node *front);
static void on_batch (void *ctx, void *item);
static void on_inner (struct hs_segment_node *front, struct hs_packet *packet,
                      uint64_t now);
static void on_seeds (void *ctx, void *item);
static void on_command (void *ctx, void *item);
static void on_drain (void *ctx);
static void after_items (void *ctx);
static void on_tick (void *ctx, uint64_t now);

static void on_follower_send (void *ctx, const struct hs_addr *to,
                              const struct hs_inner *inner);
static bool on_configuration (void *ctx, uint64_t base, const uint8_t *bytes,
                              size_t len);
static void on_entries (void *ctx);
static void on_group_lost (void *ctx, bool lost);
static void on_request (void *ctx, struct hs_http_request *request);

/* Public definitions.  */

struct hs_segment_node *
hs_segment_node_create (void *parent,
                        const struct hs_segment_node_settings *settings,
                        const struct hs_segment_node_ops *ops, void *ctx,
                        struct hs_counters *counters, struct hs_log *log,
                        GError **error)
{
  struct hs_segment_node *front = talloc_zero (parent, struct hs_segment_node);
  struct hs_datapath_settings path
      = { .inner = settings->inner_address, .batches = settings->batches };

  front->settings = *settings;
  front->ops = *ops;
  front->ctx = ctx;
  front->log = log;
  front->counters = counters;
  front->node_id = hs_id_from_name (settings->name);
  front->incarnation = hs_clock_wall ();
  front->seeds = hs_ring_create (front, SEEDS_QUEUED);
  front->malformed = hs_counter_create (
      counters, "malformed_total", "Datagrams that do not decode, dropped.");
  front->log_dropped
      = hs_gauge_create (counters, "log_lines_dropped_total",
                         "Lines of the log dropped to bound its volume.");
  front->datapath
      = hs_datapath_create (front, &path, "decide", counters, error);
  if (front->datapath == NULL)
    {
      talloc_free (front);
      return NULL;
    }
  create_follower (front);
  front->http
      = hs_http_create (&settings->health_address, on_request, front, error);
  if (front->http != NULL)
    {
      watch (front);
      return front;
    }
  hs_datapath_destroy (front->datapath);
  talloc_free (front);
  return NULL;
}

void
hs_segment_node_destroy (struct hs_segment_node *front)
{
  void *item;

  hs_http_destroy (front->http);
  hs_datapath_destroy (front->datapath);
  while ((item = hs_ring_pop (front->seeds)) != NULL)
    talloc_free (item);
  talloc_free (front);
}

void
hs_segment_node_start (struct hs_segment_node *front)
{
  hs_datapath_start (front->datapath);
}

void
hs_segment_node_stop (struct hs_segment_node *front)
{
  hs_datapath_stop (front->datapath);
}

void
hs_segment_node_set_seeds (struct hs_segment_node *front,
                           const struct hs_addrs *seeds)
{
  struct hs_addrs *copy = talloc_memdup (NULL, seeds, sizeof *seeds);

  if (!hs_ring_push (front->seeds, copy))
    talloc_free (copy);
}

void
hs_segment_node_drain (struct hs_segment_node *front)
{
  hs_datapath_run_command (front->datapath, on_drain);
}

void
hs_segment_node_finish_drain (struct hs_segment_node *front)
{
  hs_datapath_command_done (front->datapath);
}

void
hs_segment_node_set_readiness (struct hs_segment_node *front,
                               const char *reason)
{
  hs_admin_set_unhealthy (front->datapath->admin, reason);
}

void
hs_segment_node_send (struct hs_segment_node *front, const struct hs_addr *to,
                      const struct hs_inner *inner)
{
  struct hs_packet *packet = hs_outbox_add (front->outbox);

  if (packet == NULL)
    return;
  packet->start = 0;
  packet->len = (uint16_t)hs_inner_encode (inner, packet->data);
  packet->peer = *to;
  packet->fd = front->datapath->inner_fd;
}

void
hs_segment_node_encapsulate (struct hs_segment_node *front,
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
  packet->fd = front->datapath->inner_fd;
  packet->connected = false;
}

void
hs_segment_node_send_copy (struct hs_segment_node *front,
                           const struct hs_packet *packet)
{
  struct hs_packet *copy = hs_outbox_add (front->outbox);

  if (copy == NULL)
    return;
  copy->fd = packet->fd;
  copy->peer = packet->peer;
  copy->start = packet->start;
  copy->len = packet->len;
  memcpy (hs_packet_bytes (copy), packet->data + packet->start, packet->len);
}

void
hs_segment_node_address_to_caller (struct hs_segment_node *front,
                                   struct hs_packet *packet, int fd,
                                   const struct hs_addr *caller, uint16_t port)
{
  (void)front;
  packet->peer = *caller;
  packet->peer.port = port;
  packet->fd = fd;
  packet->connected = false;
}

/* Private definitions.  */

static void
create_follower (struct hs_segment_node *front)
{
  struct hs_follower_ops ops
      = { on_follower_send, on_configuration, on_entries, on_group_lost };
  struct hs_inner_heartbeat self
      = { .role = front->settings.role,
          .node_id = front->node_id,
          .incarnation = front->incarnation,
          .address = front->settings.inner_address };
  void *root = front->datapath->decision_worker;

  g_strlcpy (self.name, front->settings.name, HS_NAME_SIZE);
  g_strlcpy (self.zone, front->settings.zone, HS_NAME_SIZE);
  front->outbox = hs_outbox_create (root, front->datapath->sending,
                                    OUTBOX_BATCHES, front->counters);
  front->follower = hs_follower_create (root, &self, &ops, front);
  hs_follower_set_seeds (front->follower, &front->settings.seeds,
                         (uint16_t)front->settings.seed_port);
}

static void
watch (struct hs_segment_node *front)
{
  struct hs_worker *decide = front->datapath->decision_worker;
  uint64_t now = hs_clock_now ();

  front->timers = hs_timers_create (decide, now);
  hs_timer_init (&front->tick, on_tick, front);

  hs_timer_start (front->timers, &front->tick, now);

  hs_worker_watch_ring (decide, front->datapath->received, on_batch, front);
  hs_worker_watch_ring (decide, front->datapath->commands, on_command, front);
  hs_worker_watch_ring (decide, front->seeds, on_seeds, front);
  hs_worker_after_items (decide, after_items, front);
  hs_worker_drive_timers (decide, front->timers);
}

static void
on_batch (void *ctx, void *item)
{
  struct hs_segment_node *front = ctx;
  struct hs_batch *batch = item;
  uint64_t now = hs_clock_now ();

  for (size_t i = 0; i < batch->len; i++)
    {
      struct hs_packet *packet = &batch->packets[i];

      packet->fd = -1;
      if (packet->len == 0)
        continue;
      if (packet->tag == HS_TAG_INNER)
        on_inner (front, packet, now);
      else
        front->ops.handle_packet (front->ctx, packet, now);
    }
  hs_ring_push (front->datapath->sending, batch);
}

static void
on_inner (struct hs_segment_node *front, struct hs_packet *packet,
          uint64_t now)
{
  struct hs_inner inner;
  size_t len = hs_inner_decode (hs_packet_bytes (packet), packet->len, &inner);

  if (len == 0)
    {
      hs_counter_add (front->malformed, 1);
      return;
    }
  if (inner.type == HS_INNER_STATUS || inner.type == HS_INNER_CHUNK)
    {
      hs_follower_receive (front->follower, &packet->peer, &inner, now);
      return;
    }
  packet->start = (uint16_t)(packet->start + len);
  packet->len = (uint16_t)(packet->len - len);
  front->ops.handle_message (front->ctx, packet, &inner, now);
}

static void
on_seeds (void *ctx, void *item)
{
  struct hs_segment_node *front = ctx;
  HS_AUTO_TALLOC struct hs_addrs *seeds = item;

  hs_follower_set_seeds (front->follower, seeds,
                         (uint16_t)front->settings.seed_port);
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
  struct hs_segment_node *front = ctx;

  hs_log_write (front->log, HS_LOG_INFO, "draining", NULL);
  front->ops.drain (front->ctx, hs_clock_now ());
}

static void
after_items (void *ctx)
{
  struct hs_segment_node *front = ctx;

  hs_outbox_flush (front->outbox);
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_segment_node *front = ctx;

  hs_follower_tick (front->follower, now);
  front->ops.tick (front->ctx, now);
  hs_counter_set (front->log_dropped, hs_log_dropped (front->log));
  hs_timer_start (front->timers, &front->tick, now + HS_SEGMENT_NODE_TICK_MS);
}

static void
on_follower_send (void *ctx, const struct hs_addr *to,
                  const struct hs_inner *inner)
{
  hs_segment_node_send (ctx, to, inner);
}

static bool
on_configuration (void *ctx, uint64_t base, const uint8_t *bytes, size_t len)
{
  struct hs_segment_node *front = ctx;

  return front->ops.apply_configuration (front->ctx, base, bytes, len);
}

static void
on_entries (void *ctx)
{
  struct hs_segment_node *front = ctx;

  front->ops.entries_added (front->ctx);
}

static void
on_group_lost (void *ctx, bool lost)
{
  struct hs_segment_node *front = ctx;

  hs_log_write (front->log, lost ? HS_LOG_WARNING : HS_LOG_INFO,
                lost ? "control-lost" : "control-regained", NULL);
}

static void
on_request (void *ctx, struct hs_http_request *request)
{
  struct hs_segment_node *front = ctx;
  const struct hs_adapter *dialect = front->settings.adapter;
  const char *reason = hs_admin_unhealthy_reason (front->datapath->admin);
  char id[HS_NAME_SIZE];

  if (hs_admin_handle (front->datapath->admin, request))
    return;
  if (dialect->decode_operation (dialect->ctx, hs_http_method (request),
                                 hs_http_path (request), id)
      == HS_OPERATION_READINESS)
    hs_http_respond (request, reason == NULL ? STATUS_OK : STATUS_UNAVAILABLE,
                     "text/plain", reason == NULL ? "ok\n" : reason);
  else
    hs_http_respond (request, STATUS_NOT_FOUND, "text/plain", "not found\n");
}
