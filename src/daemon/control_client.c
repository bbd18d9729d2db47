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
static void announce (struct hs_control_client *client);
static void apply_update (struct hs_control_client *client,
                          const struct hs_catalog_update *update);
static void handle_reject (struct hs_control_client *client,
                           enum hs_announce_result reject);

/* Public definitions.  */

struct hs_control_client *
hs_control_client_create (void *parent, struct hs_timers *timers,
                          struct hs_link *link, struct hs_log *log,
                          struct hs_catalog *catalog,
                          const struct hs_announcement *announcement,
                          const struct hs_control_client_ops *ops, void *ctx)
{
  struct hs_control_client *client
      = talloc_zero (parent, struct hs_control_client);

  client->timers = timers;
  client->link = link;
  client->log = log;
  client->catalog = catalog;
  client->announcement = *announcement;
  client->ops = *ops;
  client->ctx = ctx;
  hs_timer_init (&client->announce, on_announce, client);
  hs_timer_start (timers, &client->announce, 0);
  return client;
}

void
hs_control_client_destroy (struct hs_control_client *client)
{
  hs_timer_stop (&client->announce);
  talloc_free (client);
}

void
hs_control_client_handle (struct hs_control_client *client,
                          const struct hs_message *message)
{
  if (message->type == HS_MESSAGE_UPDATE)
    apply_update (client, &message->update);
  else if (message->type == HS_MESSAGE_REJECT)
    handle_reject (client, message->reject_reason);
}

void
hs_control_client_set_draining (struct hs_control_client *client)
{
  client->announcement.draining = true;
  announce (client);
}

void
hs_control_client_set_exiting (struct hs_control_client *client)
{
  client->announcement.exiting = true;
  announce (client);
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
  struct hs_control_client *client = ctx;

  announce (client);
  hs_timer_start (client->timers, &client->announce,
                  now + ANNOUNCE_INTERVAL_MS);
}

static void
announce (struct hs_control_client *client)
{
  struct hs_envelope *envelope = hs_envelope_create ();

  envelope->message->type = HS_MESSAGE_ANNOUNCE;
  envelope->message->announcement = client->announcement;
  hs_link_send (client->link, envelope);
}

static void
apply_update (struct hs_control_client *client,
              const struct hs_catalog_update *update)
{
  if (update->from_version != client->announcement.catalog_version
      || update->to_version <= update->from_version)
    return;
  for (size_t i = 0; i < update->services_len; i++)
    hs_catalog_put_service (client->catalog, update->to_version,
                            &update->services[i]);
  for (size_t i = 0; i < update->views_len; i++)
    hs_catalog_put_view (client->catalog, update->to_version,
                         &update->views[i]);
  client->announcement.catalog_version = update->to_version;
  client->ops.catalog_updated (client->ctx);
  hs_log_write (client->log, HS_LOG_INFO, "update-in-force", "{s:I, s:i, s:i}",
                "version", (json_int_t)update->to_version, "services",
                (int)update->services_len, "views", (int)update->views_len);
  /* Reports the version now in force, which requests the next update.  */
  announce (client);
}

static void
handle_reject (struct hs_control_client *client,
               enum hs_announce_result reject)
{
  if (reject == HS_ANNOUNCE_SUPERSEDED)
    {
      hs_log_write (client->log, HS_LOG_ERROR, "superseded", "{s:s}", "name",
                    client->announcement.name);
      client->ops.superseded (client->ctx);
    }
  else if (reject != client->last_reject)
    hs_log_write (client->log, HS_LOG_WARNING, "service-unknown", "{s:s}",
                  "service", client->announcement.service_name);
  client->last_reject = reject;
}
