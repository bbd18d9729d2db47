/* datapath_link.c -- the control link as the component of a datapath.  */

#include "daemon/datapath_link.h"

#include <talloc.h>

/* Types.  */

/* Capacity of the ring of received envelopes.  */
#define MESSAGES_QUEUED 4096

/* Private functions.  */

static void on_start (void *ctx);
static void on_stop (void *ctx);
static void on_destroy (void *ctx);

/* Public definitions.  */

bool
hs_datapath_add_link (struct hs_datapath *datapath,
                      const struct hs_addr *control, GError **error)
{
  datapath->messages = hs_ring_create (datapath, MESSAGES_QUEUED);
  datapath->link = hs_link_connect (control, datapath->messages,
                                    datapath->metric_set, error);
  if (datapath->link == NULL)
    return false;
  datapath->component = (struct hs_datapath_component){ on_start, on_stop,
                                                        on_destroy, datapath };
  return true;
}

/* Private definitions.  */

static void
on_start (void *ctx)
{
  struct hs_datapath *datapath = ctx;

  hs_link_start (datapath->link);
}

static void
on_stop (void *ctx)
{
  struct hs_datapath *datapath = ctx;

  hs_link_stop (datapath->link);
}

static void
on_destroy (void *ctx)
{
  struct hs_datapath *datapath = ctx;
  void *envelope;

  while ((envelope = hs_ring_pop (datapath->messages)) != NULL)
    talloc_free (envelope);
  hs_link_destroy (datapath->link);
}
