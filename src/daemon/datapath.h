/* datapath.h -- the threads and rings of an entry or an agent: a receiver, a
   decision worker, a sender, an admin server, and optionally one more
   component, such as the control link.

   Packets pass in batches from the receiver over the ring received to the
   decision worker, and from there over the ring sending to the sender, which
   returns the batches to their pools.  */

#ifndef HS_DAEMON_DATAPATH_H
#define HS_DAEMON_DATAPATH_H

#include "base/worker.h"
#include "daemon/admin.h"
#include "daemon/receiver.h"

#define HS_TAG_INNER 0 /* Tag of packets from the inner socket.  */

struct hs_datapath_settings
{
  struct hs_addr inner_address; /* Address of the inner socket.  */
  struct hs_addr admin_address; /* Port 0: no HTTP server.  */
  size_t batches;               /* In batch_pool.  */
};

struct hs_link;

/* Callbacks of the optional component.  All are NULL if there is none.  */
struct hs_datapath_component
{
  void (*start) (void *ctx);
  void (*stop) (void *ctx);
  void (*destroy) (void *ctx);
  void *ctx;
};

/* The entry or agent registers handlers with the decision worker: for batches
   in received, envelopes in messages and functions in commands.  The handlers
   push batches to sending.  */
struct hs_datapath
{
  struct hs_metrics *metric_set;
  struct hs_ring *batch_pool;
  struct hs_ring *received;  /* Queue of struct hs_batch.  */
  struct hs_ring *sending;   /* Queue of struct hs_batch.  */
  struct hs_ring *messages;  /* Queue of struct hs_envelope; NULL: no link.  */
  struct hs_ring *commands;  /* Queue of hs_worker_fn.  */
  struct hs_ring *completed; /* One item for each completed command.  */
  struct hs_receiver *receiver;
  struct hs_sender *sender;
  struct hs_datapath_component component;
  struct hs_link *link; /* See datapath_link.h.  */
  struct hs_admin *admin;
  struct hs_worker *decision_worker;
  int inner_fd;
};

/* Creates a stopped datapath, a talloc child of PARENT, whose decision worker
   has the thread name WORKER_NAME.  METRICS must outlive it.  Returns NULL
   and sets HS_ERROR_SYSTEM if an address cannot be bound.  */
struct hs_datapath *
hs_datapath_create (void *parent, const struct hs_datapath_settings *settings,
                    const char *worker_name, struct hs_metrics *metrics,
                    GError **error);

/* Stops the threads; the sender first sends what is queued.  */
void hs_datapath_stop (struct hs_datapath *datapath);

/* The datapath must be stopped, or never have been started.  */
void hs_datapath_destroy (struct hs_datapath *datapath);

/* The handlers must have been registered.  */
void hs_datapath_start (struct hs_datapath *datapath);

/* Sets the reason "draining" for /healthz, has the decision worker run
   COMMAND and sleeps until the worker has called hs_datapath_command_done,
   which may be after COMMAND has returned.  */
void hs_datapath_run_command (struct hs_datapath *datapath,
                              hs_worker_fn *command);

/* Wakes the thread that waits in hs_datapath_run_command.  Called by the
   decision worker.  */
void hs_datapath_command_done (struct hs_datapath *datapath);

#endif /* HS_DAEMON_DATAPATH_H */
