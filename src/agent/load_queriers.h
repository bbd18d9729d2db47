/* load_queriers.h -- the entries that have asked an agent for its load, and
   are to be told when its state changes.  */

#ifndef HS_AGENT_LOAD_QUERIERS_H
#define HS_AGENT_LOAD_QUERIERS_H

#include "hibiscusspan.h"

/* An entry that has not asked for this long is forgotten.  */
#define HS_LOAD_QUERIER_EXPIRY_MS 15000

struct hs_load_queriers;

typedef void hs_load_querier_fn (void *ctx, const struct hs_addr *entry);

/* Returns an empty set, a talloc child of PARENT.  Times are in ms.  */
struct hs_load_queriers *hs_load_queriers_create (void *parent);
void hs_load_queriers_destroy (struct hs_load_queriers *queriers);

/* Records that ENTRY has asked at NOW.  */
void hs_load_queriers_add (struct hs_load_queriers *queriers,
                           const struct hs_addr *entry, uint64_t now);

/* Forgets the entries that have not asked for HS_LOAD_QUERIER_EXPIRY_MS.  */
void hs_load_queriers_expire (struct hs_load_queriers *queriers, uint64_t now);

/* Calls FN for each entry.  */
void hs_load_queriers_foreach (const struct hs_load_queriers *queriers,
                               hs_load_querier_fn *fn, void *ctx);

#endif /* HS_AGENT_LOAD_QUERIERS_H */
