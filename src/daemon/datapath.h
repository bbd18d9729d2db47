/* datapath.h -- the threads and rings around the decisions of an entry or an
   agent: receive, send and admin, and one part more, such as a link.  */

#ifndef HS_DAEMON_DATAPATH_H
#define HS_DAEMON_DATAPATH_H

#include "base/worker.h"
#include "daemon/admin.h"

#include "daemon/receiver.h"

#define HS_TAG_INNER 0 /* Of packets that came by the inner socket.  */

struct hs_datapath_settings
{
  struct hs_addr inner;

  struct hs_addr admin; /* Port 0: no server.  */
  size_t batches;
};

struct hs_link;

struct hs_datapath_component
{
  void (*start) (void *ctx); /* NULL: there is no part.  */
  void (*stop) (void *ctx);
  void (*destroy) (void *ctx);
  void *ctx;
};

/* The duty DECIDE is the owner's: it takes batches from RECEIVED, envelopes
   from MESSAGES and commands from COMMANDS, and gives batches to SENDING.  */
struct hs_datapath
{
  struct hs_counters *counters;
  struct hs_ring *pool;
  struct hs_ring *received;  /* Of struct hs_batch.  */
  struct hs_ring *sending;   /* Of struct hs_batch.  */
  struct hs_ring *messages;  /* Of struct hs_envelope; NULL: no link.  */
  struct hs_ring *commands;  /* Of hs_worker_fn.  */
  struct hs_ring *completed; /* An item: the command has been carried out.  */
  struct hs_receiver *receiver;
  struct hs_sender *sender;
  struct hs_datapath_component component;
  struct hs_link *link; /* See datapath_link.h.  */
  struct hs_admin *admin;
  struct hs_worker *decision_worker;
  int inner_fd;
};

/* COUNTERS are the owner's, and so is DECIDE, which it sets up before the
   start.  NULL and HS_ERROR_SYSTEM if an address cannot be had.  */
struct hs_datapath *
hs_datapath_create (void *parent, const struct hs_datapath_settings *settings,
                    const char *decide, struct hs_counters *counters,
                    GError **error);
void hs_datapath_stop (struct hs_datapath *path);    /* Its threads.  */
void hs_datapath_destroy (struct hs_datapath *path); /* Once stopped.  */
void hs_datapath_start (struct hs_datapath *path);
void
hs_datapath_run_command (struct hs_datapath *path,
                         hs_worker_fn *command); /* By DECIDE; sleeps until
                                                  hs_datapath_command_done.  */
void hs_datapath_command_done (struct hs_datapath *path); /* By DECIDE.  */

#endif /* HS_DAEMON_DATAPATH_H */
