/* datapath_link.c -- a control link as a part of a datapath.  */

#include "daemon/datapath_link.h"

#include <talloc.h>

/* Types.  */

#define MESSAGES_QUEUED 4096

/* Private functions.  */

static void on_start (void *ctx);
static void on_stop (void *ctx);
static void on_destroy (void *ctx);

/* Public definitions.  */

bool
hs_datapath_add_link (struct hs_datapath *path, const struct hs_addr *control,
                      GError **error)
{
  path->messages = hs_ring_create (path, MESSAGES_QUEUED);
  path->link
      = hs_link_connect (control, path->messages, path->counters, error);
  if (path->link == NULL)
    return false;
  path->component
      = (struct hs_datapath_component){ on_start, on_stop, on_destroy, path };
  return true;
}

/* Private definitions.  */

static void
on_start (void *ctx)
{
  struct hs_datapath *path = ctx;

  hs_link_start (path->link);
}

static void
on_stop (void *ctx)
{
  struct hs_datapath *path = ctx;

  hs_link_stop (path->link);
}

static void
on_destroy (void *ctx)
{
  struct hs_datapath *path = ctx;
  void *envelope;

  while ((envelope = hs_ring_pop (path->messages)) != NULL)
    talloc_free (envelope);
  hs_link_destroy (path->link);
}
