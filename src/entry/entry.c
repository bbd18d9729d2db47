/* entry.c -- the entry daemon of UDP and CoAP flows: forwards packets from
   callers to agents and back.

   Threads: receiver, decision worker (named "place"; this file), sender, link,
   admin, log.  A batch of datagrams passes from the receiver through the
   decision worker to the sender and returns to the pool.  Payloads are not
   copied; only headers and addresses change.  */

#include "entry/entry.h"
#include "base/auto.h"
#include "daemon/control_client.h"
#include "daemon/datapath_link.h"
#include "daemon/frame.h"
#include "daemon/process.h"

#include <string.h>

/* Types.  */

#define POOL_BATCHES 16 /* In the receiver's pool.  */
#define BIND_RETRY_MS 1000
#define DRAIN_CHECK_INTERVAL_MS 50
#define DRAIN_MIN_MS 2000 /* Lets the network fabric see /healthz fail.  */

/* A drain ends when no packet of a caller has arrived for this long.  By then
   agents send their answers through other entries.  */
#define DRAIN_QUIET_MS (2 * HS_ENTRY_PATH_MAX_AGE_MS)

/* The socket bound to a service's address.  */
struct listener
{
  struct hs_table_node node; /* Node in the table by service id.  */
  struct hs_list link;       /* In listener_list.  */
  uint32_t service_id;
  struct hs_addr address; /* Address of the service.  */
  int fd;                 /* -1: not open.  */
};

/* Described by the help texts in create_metrics.  */
struct entry_metrics
{
  struct hs_counter *forwarded;
  struct hs_counter *returned;
  struct hs_counter *no_upstream;
  struct hs_counter *malformed;
  struct hs_counter *misdelivered;
  struct hs_counter *unknown_service;
  struct hs_counter *route_updates;
  struct hs_counter *refused;
  struct hs_counter *services;
  struct hs_counter *catalog_version;
};

struct hs_entry
{
  struct hs_entry_settings settings;
  struct hs_log *log;
  struct hs_metrics *metric_set;
  struct entry_metrics metrics;
  struct hs_datapath *datapath;

  /* Used by the decision worker only.  */
  struct hs_timers *timers;
  struct hs_catalog *catalog;
  struct hs_placer *placer;
  struct hs_control_client *control_client;
  struct hs_table *listeners;
  struct hs_list listener_list;
  struct hs_timer bind_retry;
  struct hs_timer drain_check;
  uint64_t incarnation;
  uint64_t last_caller_packet_at; /* ms  */
  uint64_t draining_since;        /* ms; 0: not draining.  */
  bool superseded; /* A later process has the name of this entry.  */
};

/* Private functions.  */

static void create_metrics (struct hs_entry *entry);
static void init_decision_worker (struct hs_entry *entry);
static void on_batch (void *ctx, void *item);
static bool forward_to_agent (struct hs_entry *entry,
                              struct hs_packet *packet);
static void handle_inner_packet (struct hs_entry *entry,
                                 struct hs_packet *packet);
static void forward_to_caller (struct hs_entry *entry,
                               struct hs_packet *packet,
                               const struct hs_packet_header *header);
static void on_message (void *ctx, void *item);
static void on_command (void *ctx, void *item);
static void on_drain (void *ctx);
static void on_catalog_updated (void *ctx);
static void on_superseded (void *ctx);
static void on_bind_retry (void *ctx, uint64_t now);
static void on_drain_check (void *ctx, uint64_t now);
static void sync_listeners (struct hs_entry *entry);
static void sync_listener (struct hs_entry *entry,
                           const struct hs_service *service);
static void open_listener (struct hs_entry *entry, struct listener *listener);
static bool match_listener (const struct hs_table_node *node, const void *key);
static struct listener *find_listener (struct hs_entry *entry,
                                       uint32_t service_id);

/* Public definitions.  */

struct hs_entry *
hs_entry_create (const struct hs_entry_settings *settings, struct hs_log *log,
                 GError **error)
{
  struct hs_entry *entry = talloc_zero (NULL, struct hs_entry);
  struct hs_datapath_settings datapath_settings
      = { settings->inner_address, settings->admin_address, POOL_BATCHES };

  entry->settings = *settings;
  entry->log = log;
  entry->incarnation = hs_incarnation_create ();
  create_metrics (entry);
  entry->datapath = hs_datapath_create (entry, &datapath_settings, "place",
                                        entry->metric_set, error);
  if (entry->datapath == NULL
      || !hs_datapath_add_link (entry->datapath, &settings->control_address,
                                error))
    {
      if (entry->datapath != NULL)
        hs_datapath_destroy (entry->datapath);
      talloc_free (entry);
      return NULL;
    }
  init_decision_worker (entry);
  return entry;
}

void
hs_entry_destroy (struct hs_entry *entry)
{
  hs_datapath_stop (entry->datapath);
  hs_datapath_destroy (entry->datapath);
  talloc_free (entry);
}

void
hs_entry_start (struct hs_entry *entry)
{
  hs_datapath_start (entry->datapath);
}

bool
hs_entry_drain (struct hs_entry *entry)
{
  hs_datapath_run_command (entry->datapath, on_drain);
  return !entry->superseded;
}

/* Private definitions.  */

static void
create_metrics (struct hs_entry *entry)
{
  struct hs_metrics *set = hs_metrics_create (entry, "hibiscusspan_entry");
  struct entry_metrics *metrics = &entry->metrics;

  entry->metric_set = set;
  metrics->forwarded = hs_counter_create (
      set, "forwarded_total", "Datagrams forwarded from callers to agents.");
  metrics->returned = hs_counter_create (
      set, "answered_total", "Datagrams forwarded from agents to callers.");
  metrics->no_upstream
      = hs_counter_create (set, "no_upstream_total",
                           "Datagrams from callers dropped because the "
                           "service has no agent.");
  metrics->malformed = hs_counter_create (
      set, "malformed_total",
      "Inner datagrams dropped because they do not decode.");
  metrics->misdelivered
      = hs_counter_create (set, "wrong_host_total",
                           "Inner datagrams dropped because they are for "
                           "another incarnation of this entry.");
  metrics->unknown_service
      = hs_counter_create (set, "unknown_service_total",
                           "Datagrams for callers dropped because their "
                           "service has no open socket on this host.");
  metrics->route_updates = hs_counter_create (
      set, "hints_total", "Route updates received from agents.");
  metrics->refused = hs_counter_create (set, "refused_total",
                                        "Datagrams refused by an agent.");
  metrics->services = hs_gauge_create (
      set, "services", "Services with an open socket on this host.");
  metrics->catalog_version = hs_gauge_create (
      set, "catalog_version", "Version of the catalog in force.");
}

/* Creates the objects of the decision worker and connects it to its rings.  */
static void
init_decision_worker (struct hs_entry *entry)
{
  struct hs_control_client_ops client_ops
      = { on_catalog_updated, on_superseded };
  struct hs_announcement announcement
      = { .role = HS_ROLE_ENTRY,
          .incarnation = entry->incarnation,
          .address = entry->settings.inner_address };

  g_strlcpy (announcement.name, entry->settings.name, HS_NAME_SIZE);
  g_strlcpy (announcement.zone, entry->settings.zone, HS_NAME_SIZE);
  entry->timers = hs_timers_create (entry->datapath->decision_worker,
                                    hs_clock_monotonic ());
  entry->catalog = hs_catalog_create (entry->datapath->decision_worker);
  entry->placer
      = hs_placer_create (entry->datapath->decision_worker, entry->catalog);
  entry->listeners = hs_table_create (entry->datapath->decision_worker);
  hs_list_init (&entry->listener_list);
  hs_timer_init (&entry->bind_retry, on_bind_retry, entry);
  hs_timer_init (&entry->drain_check, on_drain_check, entry);
  entry->control_client = hs_control_client_create (
      entry->datapath->decision_worker, entry->timers, entry->datapath->link,
      entry->log, entry->catalog, &announcement, &client_ops, entry);
  hs_worker_watch_ring (entry->datapath->decision_worker,
                        entry->datapath->received, on_batch, entry);
  hs_worker_watch_ring (entry->datapath->decision_worker,
                        entry->datapath->messages, on_message, entry);
  hs_worker_watch_ring (entry->datapath->decision_worker,
                        entry->datapath->commands, on_command, entry);
  hs_worker_set_timers (entry->datapath->decision_worker, entry->timers);
}

static void
on_batch (void *ctx, void *item)
{
  struct hs_entry *entry = ctx;
  struct hs_batch *batch = item;
  uint64_t forwarded = 0;

  for (size_t i = 0; i < batch->len; i++)
    {
      struct hs_packet *packet = &batch->packets[i];

      packet->fd = -1;
      if (packet->len == 0)
        continue;
      if (packet->tag == HS_TAG_INNER)
        handle_inner_packet (entry, packet);
      else
        forwarded += forward_to_agent (entry, packet);
    }
  hs_counter_add (entry->metrics.forwarded, forwarded);
  if (batch->len > 0 && batch->packets[0].tag != HS_TAG_INNER)
    entry->last_caller_packet_at = hs_clock_monotonic ();
  hs_ring_push (entry->datapath->sending, batch);
}

/* Addresses PACKET, from a caller, to the agent of its flow.  Returns false if
   the service has no agent.  */
static bool
forward_to_agent (struct hs_entry *entry, struct hs_packet *packet)
{
  struct hs_flow_key key = { (uint32_t)packet->tag, packet->peer };
  struct hs_placement placement = hs_placer_place (entry->placer, &key);
  struct hs_packet_header header = { .type = HS_PACKET_FORWARD };

  if (placement.target == NULL)
    {
      hs_counter_add (entry->metrics.no_upstream, 1);
      return false;
    }
  header.service_id = key.service_id;
  header.view_number = placement.view_number;
  header.to_incarnation = placement.target->incarnation;
  header.entry_incarnation = entry->incarnation;
  header.caller = key.caller;
  hs_frame_prepend (packet, &header);
  packet->peer = placement.target->address;
  packet->fd = entry->datapath->inner_fd;
  return true;
}

static void
handle_inner_packet (struct hs_entry *entry, struct hs_packet *packet)
{
  struct hs_packet_header header;
  struct hs_flow_key key;

  if (!hs_frame_strip (packet, &header))
    {
      hs_counter_add (entry->metrics.malformed, 1);
      return;
    }
  if (header.to_incarnation != entry->incarnation)
    {
      hs_counter_add (entry->metrics.misdelivered, 1);
      return;
    }
  key = (struct hs_flow_key){ header.service_id, header.caller };
  switch (header.type)
    {
    case HS_PACKET_RETURN:
      forward_to_caller (entry, packet, &header);
      break;
    case HS_PACKET_ROUTE_UPDATE:
      hs_placer_cache_route (entry->placer, &key, header.owner_id);
      hs_counter_add (entry->metrics.route_updates, 1);
      break;
    case HS_PACKET_REFUSE:
      hs_placer_evict_route (entry->placer, &key);
      hs_counter_add (entry->metrics.refused, 1);
      break;
    case HS_PACKET_FORWARD:
      hs_counter_add (entry->metrics.malformed, 1);
      break;
    }
}

static void
forward_to_caller (struct hs_entry *entry, struct hs_packet *packet,
                   const struct hs_packet_header *header)
{
  const struct listener *listener = find_listener (entry, header->service_id);

  if (listener == NULL || listener->fd < 0)
    {
      hs_counter_add (entry->metrics.unknown_service, 1);
      return;
    }
  packet->fd = listener->fd;
  packet->peer = header->caller;
  hs_counter_add (entry->metrics.returned, 1);
}

/* Handles ITEM, a struct hs_envelope from the control host.  */
static void
on_message (void *ctx, void *item)
{
  struct hs_entry *entry = ctx;
  HS_AUTO_TALLOC struct hs_envelope *envelope = item;

  hs_control_client_handle (entry->control_client, envelope->message);
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
  struct hs_entry *entry = ctx;

  entry->draining_since = hs_clock_monotonic ();
  hs_log_write (entry->log, HS_LOG_INFO, "draining", NULL);
  hs_control_client_set_draining (entry->control_client);
  hs_timer_start (entry->timers, &entry->drain_check,
                  entry->draining_since + DRAIN_MIN_MS);
}

static void
on_catalog_updated (void *ctx)
{
  struct hs_entry *entry = ctx;

  sync_listeners (entry);
  hs_counter_set (entry->metrics.catalog_version,
                  hs_catalog_version (entry->catalog));
  if (entry->draining_since == 0)
    hs_admin_set_unhealthy (entry->datapath->admin, NULL);
}

/* A later process with this entry's name has announced itself: stops this
   one.  The drain is marked as complete in advance, so that hs_entry_drain
   returns at once.  */
static void
on_superseded (void *ctx)
{
  struct hs_entry *entry = ctx;

  entry->superseded = true;
  hs_datapath_command_done (entry->datapath);
  hs_process_stop ();
}

static void
on_bind_retry (void *ctx, uint64_t now)
{
  (void)now;
  sync_listeners (ctx);
}

/* Ends the drain once the network fabric sends no more callers' packets to
   this entry, or after drain_max_ms.  */
static void
on_drain_check (void *ctx, uint64_t now)
{
  struct hs_entry *entry = ctx;
  uint64_t quiet_ms = now - entry->last_caller_packet_at;
  uint64_t draining_ms = now - entry->draining_since;

  if (quiet_ms < DRAIN_QUIET_MS && draining_ms < entry->settings.drain_max_ms)
    {
      hs_timer_start (entry->timers, &entry->drain_check,
                      now + DRAIN_CHECK_INTERVAL_MS);
      return;
    }
  hs_control_client_set_exiting (entry->control_client);
  hs_log_write (entry->log, HS_LOG_INFO, "drained", NULL);
  hs_datapath_command_done (entry->datapath);
}

/* Opens a socket for each service of the catalog, and a new one where the
   address of the service has changed.  */
static void
sync_listeners (struct hs_entry *entry)
{
  const struct hs_catalog_item *item
      = hs_catalog_first_after (entry->catalog, 0);

  for (; item != NULL; item = hs_catalog_next (entry->catalog, item))
    if (item->service != NULL)
      sync_listener (entry, item->service);
  HS_LIST_FOREACH (link, &entry->listener_list)
    {
      struct listener *listener = HS_LIST_ENTRY (link, struct listener, link);

      if (listener->fd < 0)
        open_listener (entry, listener);
    }
}

/* Creates the listener of SERVICE if there is none, and closes its socket if
   the address of SERVICE has changed.  The new socket is opened by
   sync_listeners.  */
static void
sync_listener (struct hs_entry *entry, const struct hs_service *service)
{
  struct listener *listener = find_listener (entry, service->id);
  const struct hs_addr *address = &service->document->address;

  if (listener != NULL && hs_addr_equal (&listener->address, address))
    return;
  if (listener == NULL)
    {
      listener
          = talloc_zero (entry->datapath->decision_worker, struct listener);
      listener->service_id = service->id;
      listener->fd = -1;
      hs_table_insert (entry->listeners, &listener->node, service->id);
      hs_list_append (&entry->listener_list, &listener->link);
    }
  if (listener->fd >= 0)
    {
      hs_receiver_close (entry->datapath->receiver, listener->fd);
      hs_counter_set (entry->metrics.services,
                      hs_counter_value (entry->metrics.services) - 1);
    }
  listener->fd = -1;
  listener->address = *address;
}

static void
open_listener (struct hs_entry *entry, struct listener *listener)
{
  struct hs_addr address = listener->address;
  struct hs_addr bind_address;
  char address_text[HS_ADDR_TEXT_SIZE];
  g_autoptr (GError) error = NULL;

  if (entry->settings.bind_address[0] != '\0'
      && hs_addr_parse (entry->settings.bind_address, &bind_address))
    memcpy (address.ip, bind_address.ip, sizeof address.ip);
  hs_addr_format (&address, address_text);
  listener->fd = hs_socket_bind (&address, &error);
  if (listener->fd < 0)
    {
      hs_log_write (entry->log, HS_LOG_ERROR, "service-unreachable",
                    "{s:i, s:s}", "service", (int)listener->service_id,
                    "error", error->message);
      hs_timer_start (entry->timers, &entry->bind_retry,
                      hs_clock_monotonic () + BIND_RETRY_MS);
      return;
    }
  hs_receiver_watch (entry->datapath->receiver, listener->fd,
                     listener->service_id);
  hs_counter_set (entry->metrics.services,
                  hs_counter_value (entry->metrics.services) + 1);
  hs_log_write (entry->log, HS_LOG_INFO, "service-open", "{s:i, s:s}",
                "service", (int)listener->service_id, "address", address_text);
}

static bool
match_listener (const struct hs_table_node *node, const void *key)
{
  const uint32_t *service_id = key;

  return HS_LIST_ENTRY (node, struct listener, node)->service_id
         == *service_id;
}

static struct listener *
find_listener (struct hs_entry *entry, uint32_t service_id)
{
  struct hs_table_node *node = hs_table_find (entry->listeners, service_id,
                                              match_listener, &service_id);

  return node != NULL ? HS_LIST_ENTRY (node, struct listener, node) : NULL;
}
