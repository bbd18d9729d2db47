/* datapath.c -- the threads and rings of an entry or an agent.  */

#include "daemon/datapath.h"

#include <talloc.h>
#include <unistd.h>

/* Types.  */

#define COMMANDS_QUEUED 4 /* Capacity of the ring.  */

/* Capacity of the sending ring, as a multiple of the receiver's pool: the
   batches of the outbox pass through it too.  */
#define SENDING_RING_FACTOR 4

/* Private functions.  */

static bool open_resources (struct hs_datapath *datapath,
                            const struct hs_datapath_settings *settings,
                            GError **error);
static void release (struct hs_datapath *datapath);

/* Public definitions.  */

struct hs_datapath *
hs_datapath_create (void *parent, const struct hs_datapath_settings *settings,
                    const char *worker_name, struct hs_metrics *metrics,
                    GError **error)
{
  struct hs_datapath *datapath = talloc_zero (parent, struct hs_datapath);

  datapath->metric_set = metrics;
  datapath->inner_fd = -1;
  datapath->batch_pool = hs_batch_pool_create (datapath, settings->batches);
  datapath->received = hs_ring_create (datapath, settings->batches);
  datapath->sending
      = hs_ring_create (datapath, settings->batches * SENDING_RING_FACTOR);
  datapath->commands = hs_ring_create (datapath, COMMANDS_QUEUED);
  datapath->completed = hs_ring_create (datapath, COMMANDS_QUEUED);
  datapath->decision_worker = hs_worker_create (worker_name);
  if (open_resources (datapath, settings, error))
    return datapath;
  release (datapath);
  return NULL;
}

void
hs_datapath_stop (struct hs_datapath *datapath)
{
  hs_receiver_stop (datapath->receiver);
  hs_worker_stop (datapath->decision_worker);
  hs_sender_stop (datapath->sender);
  if (datapath->component.stop != NULL)
    datapath->component.stop (datapath->component.ctx);
}

void
hs_datapath_destroy (struct hs_datapath *datapath)
{
  release (datapath);
}

void
hs_datapath_start (struct hs_datapath *datapath)
{
  hs_sender_start (datapath->sender);
  if (datapath->component.start != NULL)
    datapath->component.start (datapath->component.ctx);
  hs_worker_start (datapath->decision_worker);
  hs_receiver_start (datapath->receiver);
}

void
hs_datapath_run_command (struct hs_datapath *datapath, hs_worker_fn *command)
{
  hs_admin_set_draining (datapath->admin);
  hs_ring_push (datapath->commands, (void *)command);
  hs_ring_wait (datapath->completed);
}

void
hs_datapath_command_done (struct hs_datapath *datapath)
{
  hs_ring_push (datapath->completed, datapath);
}

/* Private definitions.  */

static bool
open_resources (struct hs_datapath *datapath,
                const struct hs_datapath_settings *settings, GError **error)
{
  datapath->inner_fd = hs_socket_bind (&settings->inner_address, error);
  if (datapath->inner_fd < 0)
    return false;
  datapath->admin
      = settings->admin_address.port != 0
            ? hs_admin_create (&settings->admin_address, datapath->metric_set,
                               error)
            : hs_admin_create_without_server (datapath->metric_set);
  if (datapath->admin == NULL)
    return false;
  datapath->sender
      = hs_sender_create (datapath->sending, datapath->metric_set);
  datapath->receiver
      = hs_receiver_create (datapath->batch_pool, datapath->received,
                            datapath->sender, datapath->metric_set);
  hs_receiver_watch (datapath->receiver, datapath->inner_fd, HS_TAG_INNER);
  return true;
}

static void
release (struct hs_datapath *datapath)
{
  if (datapath->admin != NULL)
    hs_admin_destroy (datapath->admin);
  hs_worker_destroy (datapath->decision_worker);
  if (datapath->receiver != NULL)
    hs_receiver_destroy (datapath->receiver);
  if (datapath->sender != NULL)
    hs_sender_destroy (datapath->sender);
  if (datapath->component.destroy != NULL)
    datapath->component.destroy (datapath->component.ctx);
  if (datapath->inner_fd >= 0)
    close (datapath->inner_fd);
  talloc_free (datapath);
}
