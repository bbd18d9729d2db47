/* placer.c -- where an entry sends a packet of a flow.

   The home of a flow is the first member in its rendezvous ranking.  Where
   another member holds the flow, the home says so and the entry keeps that
   as a hint.  Hints are a cache of fixed size: losing one costs a hop.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

struct hint
{
  uint64_t flow_hash; /* 0: free.  */
  uint64_t slot;
};

struct hs_placer
{
  const struct hs_catalog *catalog;
  size_t cached_len;
  struct hint
      cache[HS_ROUTE_CACHE_LEN]; /* By flow hash; a newer hint replaces.  */
};

/* Private functions.  */

static struct hint *hint_of (struct hs_placer *placer, uint64_t flow_hash);

/* Public definitions.  */

struct hs_placer *
hs_placer_create (void *parent, const struct hs_catalog *catalog)
{
  struct hs_placer *placer = talloc_zero (parent, struct hs_placer);

  placer->catalog = catalog;
  return placer;
}

void
hs_placer_destroy (struct hs_placer *placer)
{
  talloc_free (placer);
}

struct hs_placement
hs_placer_place (struct hs_placer *placer, const struct hs_flow_key *key)
{
  const struct hs_catalog_item *item
      = hs_catalog_find (placer->catalog, key->service_id);
  struct hs_placement placement = { 0 };
  uint64_t flow_hash;
  struct hint *hint;

  if (item == NULL || item->view == NULL)
    return placement;
  flow_hash = hs_flow_key_hash (key);
  placement.view_number = item->view->number;
  hint = hint_of (placer, flow_hash);
  if (hint->flow_hash == flow_hash)
    placement.target = hs_view_find (item->view, hint->slot);
  /* The home knows whether a suspect still has the flow.  */
  if (placement.target != NULL && placement.target->state == HS_MEMBER_SUSPECT)
    placement.target = NULL;
  if (placement.target == NULL)
    placement.target = hs_view_directory (item->view, flow_hash);
  return placement;
}

void
hs_placer_cache_route (struct hs_placer *placer, const struct hs_flow_key *key,
                       uint64_t slot)
{
  uint64_t flow_hash = hs_flow_key_hash (key);
  struct hint *hint = hint_of (placer, flow_hash);

  if (hint->flow_hash == 0)
    placer->cached_len++;
  hint->flow_hash = flow_hash;
  hint->slot = slot;
}

void
hs_placer_evict_route (struct hs_placer *placer, const struct hs_flow_key *key)
{
  uint64_t flow_hash = hs_flow_key_hash (key);
  struct hint *hint = hint_of (placer, flow_hash);

  if (hint->flow_hash != flow_hash)
    return;
  hint->flow_hash = 0;
  placer->cached_len--;
}

size_t
hs_placer_cached_routes (const struct hs_placer *placer)
{
  return placer->cached_len;
}

/* Private definitions.  */

static struct hint *
hint_of (struct hs_placer *placer, uint64_t flow_hash)
{
  return &placer->cache[flow_hash % HS_ROUTE_CACHE_LEN];
}
