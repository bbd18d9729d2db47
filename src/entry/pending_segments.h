/* pending_segments.h -- segments that wait until it is known where they go.

   Bounded: what does not fit is dropped, and sent again by its caller.  */

#ifndef HS_ENTRY_PENDING_SEGMENTS_H
#define HS_ENTRY_PENDING_SEGMENTS_H

#include "wire/packet.h"

#define HS_PENDING_SEGMENTS_MAX                                               \
  256 /* Segments, of up to 1,232 bytes each.                                 \
       */
#define HS_PENDING_SEGMENT_TIMEOUT_MS                                         \
  1000U /* Callers have sent it again by then.  */

struct hs_pending_segments;

typedef void hs_pending_segment_fn (void *ctx, const uint8_t *data,
                                    size_t len);

struct hs_pending_segments *hs_pending_segments_create (void *parent);
void hs_pending_segments_destroy (struct hs_pending_segments *held);
bool hs_pending_segments_add (struct hs_pending_segments *held,
                              const struct hs_segment_key *key,
                              const uint8_t *data, size_t len,
                              uint64_t now); /* False: full.  */
void hs_pending_segments_foreach (const struct hs_pending_segments *held,
                                  const struct hs_segment_key *key,
                                  hs_pending_segment_fn *fn,
                                  void *ctx); /* Those of a flow, in order.  */
void hs_pending_segments_flush (struct hs_pending_segments *held,
                                hs_pending_segment_fn *fn,
                                void *ctx); /* All, in order; FN may add.  */
void hs_pending_segments_remove (struct hs_pending_segments *held,
                                 const struct hs_segment_key *key);
void hs_pending_segments_expire (struct hs_pending_segments *held,
                                 uint64_t now);

#endif /* HS_ENTRY_PENDING_SEGMENTS_H */
