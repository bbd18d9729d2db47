/* control_client.c -- the control client of an entry or an agent.  */

#include "daemon/control_client.h"
#include "base/worker.h"

#include <jansson.h>
#include <talloc.h>

/* Types.  */

#define ANNOUNCE_INTERVAL_MS 1000

struct hs_control_client
{
  struct hs_timers *timers;
  struct hs_link *link;
  struct hs_log *log;
  struct hs_catalog *catalog;
  struct hs_announcement announcement;
  struct hs_control_client_ops ops;
  void *ctx;
  struct hs_timer announce;
  enum hs_announce_result last_reject;
};

/* Private functions.  */

static void on_announce (void *ctx, uint64_t now);
static void announce (struct hs_control_client *node);
static void apply_update (struct hs_control_client *node,
                          const struct hs_catalog_update *update);
static void handle_reject (struct hs_control_client *node,
                           enum hs_announce_result reject);

/* Public definitions.  */

struct hs_control_client *
hs_control_client_create (void *parent, struct hs_timers *timers,
                          struct hs_link *link, struct hs_log *log,
                          struct hs_catalog *catalog,
                          const struct hs_announcement *announcement,
                          const struct hs_control_client_ops *ops, void *ctx)
{
  struct hs_control_client *node
      = talloc_zero (parent, struct hs_control_client);

  node->timers = timers;
  node->link = link;
  node->log = log;
  node->catalog = catalog;
  node->announcement = *announcement;
  node->ops = *ops;
  node->ctx = ctx;
  hs_timer_init (&node->announce, on_announce, node);
  hs_timer_start (timers, &node->announce, 0);
  return node;
}

void
hs_control_client_destroy (struct hs_control_client *node)
{
  hs_timer_stop (&node->announce);
  talloc_free (node);
}

void
hs_control_client_handle (struct hs_control_client *node,
                          const struct hs_message *message)
{
  if (message->type == HS_MESSAGE_UPDATE)
    apply_update (node, &message->update);
  else if (message->type == HS_MESSAGE_REJECT)
    handle_reject (node, message->reject_reason);
}

void
hs_control_client_set_draining (struct hs_control_client *node)
{
  node->announcement.draining = true;
  announce (node);
}

void
hs_control_client_set_exiting (struct hs_control_client *node)
{
  node->announcement.exiting = true;
  announce (node);
}

uint64_t
hs_incarnation_create (void)
{
  return hs_clock_wall ();
}

/* Private definitions.  */

static void
on_announce (void *ctx, uint64_t now)
{
  struct hs_control_client *node = ctx;

  announce (node);
  hs_timer_start (node->timers, &node->announce, now + ANNOUNCE_INTERVAL_MS);
}

static void
announce (struct hs_control_client *node)
{
  struct hs_envelope *envelope = hs_envelope_create ();

  envelope->message->type = HS_MESSAGE_ANNOUNCE;
  envelope->message->announcement = node->announcement;
  hs_link_send (node->link, envelope);
}

static void
apply_update (struct hs_control_client *node,
              const struct hs_catalog_update *update)
{
  if (update->from_version != node->announcement.catalog_version
      || update->to_version <= update->from_version)
    return;
  for (size_t i = 0; i < update->services_len; i++)
    hs_catalog_put_service (node->catalog, update->to_version,
                            &update->services[i]);
  for (size_t i = 0; i < update->views_len; i++)
    hs_catalog_put_view (node->catalog, update->to_version, &update->views[i]);
  node->announcement.catalog_version = update->to_version;
  node->ops.catalog_updated (node->ctx);
  hs_log_write (node->log, HS_LOG_INFO, "update-in-force", "{s:I, s:i, s:i}",
                "version", (json_int_t)update->to_version, "services",
                (int)update->services_len, "views", (int)update->views_len);
  /* Reports the version now in force, which requests the next update.  */
  announce (node);
}

static void
handle_reject (struct hs_control_client *node, enum hs_announce_result reject)
{
  if (reject == HS_ANNOUNCE_SUPERSEDED)
    {
      hs_log_write (node->log, HS_LOG_ERROR, "superseded", "{s:s}", "name",
                    node->announcement.name);
      node->ops.superseded (node->ctx);
    }
  else if (reject != node->last_reject)
    hs_log_write (node->log, HS_LOG_WARNING, "service-unknown", "{s:s}",
                  "service", node->announcement.service_name);
  node->last_reject = reject;
}
