/* roster.h -- the entries and agents that a control host has heard from.  */

#ifndef HS_CONTROL_ROSTER_H
#define HS_CONTROL_ROSTER_H

#include "wire/inner.h"

struct hs_roster;

typedef void hs_roster_fn (void *ctx, const struct hs_inner_sync *node);

struct hs_roster *hs_roster_create (void *parent);
void hs_roster_destroy (struct hs_roster *roster);
bool hs_roster_note (struct hs_roster *roster,
                     const struct hs_inner_sync *node,
                     uint64_t now); /* True: it is new, or has moved.  */
void hs_roster_expire (struct hs_roster *roster, uint64_t now,
                       hs_roster_fn *lost, void *ctx);
void hs_roster_each (const struct hs_roster *roster, enum hs_role role,
                     hs_roster_fn *fn, void *ctx);
uint64_t hs_roster_digest (const struct hs_roster *roster); /* Of the
                                                    entries' addresses.  */
size_t hs_roster_count (const struct hs_roster *roster, enum hs_role role);
void hs_roster_entries (const struct hs_roster *roster, size_t skip,
                        struct hs_inner_addrs *entries); /* After the first
                                                            SKIP, as many as
                                                            it takes.  */

#endif /* HS_CONTROL_ROSTER_H */
