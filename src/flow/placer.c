/* placer.c -- to which agent an entry sends a packet of a flow.

   By default that is the directory of the flow, the first member in its
   rendezvous ranking.  If another agent owns the flow, the directory reports
   the owner and the entry caches that route.  The route cache has a fixed
   size; an evicted route costs one more hop.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

struct cached_route
{
  uint64_t flow_hash; /* 0: free.  */
  uint64_t agent_id;
};

struct hs_placer
{
  const struct hs_catalog *catalog;
  size_t cached_len;
  /* Indexed by flow hash.  A newer route replaces an older one at the same
     index.  */
  struct cached_route cache[HS_ROUTE_CACHE_LEN];
};

/* Private functions.  */

static struct cached_route *cached_route_at (struct hs_placer *placer,
                                             uint64_t flow_hash);

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
  struct cached_route *route;

  if (item == NULL || item->view == NULL)
    return placement;
  flow_hash = hs_flow_key_hash (key);
  placement.view_number = item->view->number;
  route = cached_route_at (placer, flow_hash);
  if (route->flow_hash == flow_hash)
    placement.target = hs_view_find (item->view, route->agent_id);
  /* The directory knows whether a suspect agent still owns the flow.  */
  if (placement.target != NULL && placement.target->state == HS_MEMBER_SUSPECT)
    placement.target = NULL;
  if (placement.target == NULL)
    placement.target = hs_view_directory (item->view, flow_hash);
  return placement;
}

void
hs_placer_cache_route (struct hs_placer *placer, const struct hs_flow_key *key,
                       uint64_t agent_id)
{
  uint64_t flow_hash = hs_flow_key_hash (key);
  struct cached_route *route = cached_route_at (placer, flow_hash);

  if (route->flow_hash == 0)
    placer->cached_len++;
  route->flow_hash = flow_hash;
  route->agent_id = agent_id;
}

void
hs_placer_evict_route (struct hs_placer *placer, const struct hs_flow_key *key)
{
  uint64_t flow_hash = hs_flow_key_hash (key);
  struct cached_route *route = cached_route_at (placer, flow_hash);

  if (route->flow_hash != flow_hash)
    return;
  route->flow_hash = 0;
  placer->cached_len--;
}

size_t
hs_placer_cached_routes (const struct hs_placer *placer)
{
  return placer->cached_len;
}

/* Private definitions.  */

static struct cached_route *
cached_route_at (struct hs_placer *placer, uint64_t flow_hash)
{
  return &placer->cache[flow_hash % HS_ROUTE_CACHE_LEN];
}
