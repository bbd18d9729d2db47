/* datapath.c -- the threads and rings around the decisions.  */

#include "daemon/datapath.h"

#include <talloc.h>
#include <unistd.h>

/* Types.  */

#define COMMANDS_QUEUED 4

/* The outbox has batches of its own beside those of the pool.  */
#define SENDING_FACTOR 4

/* Private functions.  */

static bool open_all (struct hs_datapath *path,
                      const struct hs_datapath_settings *settings,
                      GError **error);
static void release (struct hs_datapath *path);

/* Public definitions.  */

struct hs_datapath *
hs_datapath_create (void *parent, const struct hs_datapath_settings *settings,
                    const char *decide, struct hs_counters *counters,
                    GError **error)
{
  struct hs_datapath *path = talloc_zero (parent, struct hs_datapath);

  path->counters = counters;
  path->inner_fd = -1;
  path->pool = hs_batch_pool_create (path, settings->batches);
  path->received = hs_ring_create (path, settings->batches);
  path->sending = hs_ring_create (path, settings->batches * SENDING_FACTOR);

  path->commands = hs_ring_create (path, COMMANDS_QUEUED);
  path->completed = hs_ring_create (path, COMMANDS_QUEUED);
  path->decision_worker = hs_worker_create (decide);
  if (open_all (path, settings, error))
    return path;
  release (path);
  return NULL;
}

void
hs_datapath_stop (struct hs_datapath *path)
{
  hs_receiver_stop (path->receiver);
  hs_worker_stop (path->decision_worker);
  hs_sender_stop (path->sender);
  if (path->component.stop != NULL)
    path->component.stop (path->component.ctx);
}

void
hs_datapath_destroy (struct hs_datapath *path)
{
  release (path);
}

void
hs_datapath_start (struct hs_datapath *path)
{
  hs_sender_start (path->sender);
  if (path->component.start != NULL)
    path->component.start (path->component.ctx);
  hs_worker_start (path->decision_worker);
  hs_receiver_start (path->receiver);
}

void
hs_datapath_run_command (struct hs_datapath *path, hs_worker_fn *command)
{
  hs_admin_set_unhealthy (path->admin, "draining\n");
  hs_ring_push (path->commands, (void *)command);
  hs_ring_wait (path->completed);
}

void
hs_datapath_command_done (struct hs_datapath *path)
{
  hs_ring_push (path->completed, path);
}

/* Private definitions.  */

static bool
open_all (struct hs_datapath *path,
          const struct hs_datapath_settings *settings, GError **error)
{
  path->inner_fd = hs_socket_bind (&settings->inner, error);
  if (path->inner_fd < 0)
    return false;
  path->admin = settings->admin.port != 0
                    ? hs_admin_create (&settings->admin, path->counters, error)
                    : hs_admin_create_without_server (path->counters);
  if (path->admin == NULL)
    return false;
  path->sender = hs_sender_create (path->sending, path->counters);
  path->receiver = hs_receiver_create (path->pool, path->received,
                                       path->sender, path->counters);
  hs_receiver_watch (path->receiver, path->inner_fd, HS_TAG_INNER);
  return true;
}

static void
release (struct hs_datapath *path)
{
  if (path->admin != NULL)
    hs_admin_destroy (path->admin);

  hs_worker_destroy (path->decision_worker);
  if (path->receiver != NULL)
    hs_receiver_destroy (path->receiver);
  if (path->sender != NULL)
    hs_sender_destroy (path->sender);
  if (path->component.destroy != NULL)
    path->component.destroy (path->component.ctx);
  if (path->inner_fd >= 0)
    close (path->inner_fd);
  talloc_free (path);
}
