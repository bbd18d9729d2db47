/* held_packets.h -- segments that wait until it is known where they go.

   Bounded: what does not fit is dropped, and sent again by its caller.  */

#ifndef HS_ENTRY_HELD_PACKETS_H
#define HS_ENTRY_HELD_PACKETS_H

#include "wire/packet.h"

#define HS_HELD_MAX 256       /* Segments, of up to 1,232 bytes each.  */
#define HS_HELD_LIFE_MS 1000U /* Callers have sent it again by then.  */

struct hs_held_packets;

typedef void hs_held_fn (void *ctx, const uint8_t *data, size_t len);

struct hs_held_packets *hs_held_packets_create (void *parent);
void hs_held_packets_destroy (struct hs_held_packets *held);
bool hs_held_packets_add (struct hs_held_packets *held,
                          const struct hs_segment_key *key,
                          const uint8_t *data, size_t len,
                          uint64_t now); /* False: full.  */
void hs_held_packets_each (const struct hs_held_packets *held,
                           const struct hs_segment_key *key, hs_held_fn *fn,
                           void *ctx); /* Those of a flow, in order.  */
void hs_held_packets_take (struct hs_held_packets *held, hs_held_fn *fn,
                           void *ctx); /* All, in order; FN may add.  */
void hs_held_packets_drop (struct hs_held_packets *held,
                           const struct hs_segment_key *key);
void hs_held_packets_expire (struct hs_held_packets *held, uint64_t now);

#endif /* HS_ENTRY_HELD_PACKETS_H */
