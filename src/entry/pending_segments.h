/* pending_segments.h -- segments queued at an entry until it is known which
   agent to send them to.

   The queue is bounded.  A segment that does not fit is dropped, and its
   caller retransmits it.  */

#ifndef HS_ENTRY_PENDING_SEGMENTS_H
#define HS_ENTRY_PENDING_SEGMENTS_H

#include "wire/packet.h"

#define HS_PENDING_SEGMENTS_MAX 256 /* Segments, each up to 1,232 bytes.  */
#define HS_PENDING_SEGMENT_TIMEOUT_MS                                         \
  1000U /* Callers have retransmitted the segment by then.  */

struct hs_pending_segments;

/* DATA is valid during the call only.  */
typedef void hs_pending_segment_fn (void *ctx, const uint8_t *data,
                                    size_t len);

/* Creates an empty queue, owned by PARENT.  */
struct hs_pending_segments *hs_pending_segments_create (void *parent);
void hs_pending_segments_destroy (struct hs_pending_segments *pending);

/* Copies the segment DATA of the flow KEY to the end of the queue.  NOW is in
   ms.  Returns false if the queue is full.  */
bool hs_pending_segments_add (struct hs_pending_segments *pending,
                              const struct hs_segment_key *key,
                              const uint8_t *data, size_t len, uint64_t now);

/* Calls FN for each segment of the flow KEY that was queued at SINCE, in ms,
   or later, oldest first.  The segments stay queued.  */
void hs_pending_segments_foreach (const struct hs_pending_segments *pending,
                                  const struct hs_segment_key *key,
                                  uint64_t since, hs_pending_segment_fn *fn,
                                  void *ctx);

/* Removes all segments and calls FN for each, oldest first.  A segment that
   FN adds stays queued.  */
void hs_pending_segments_flush (struct hs_pending_segments *pending,
                                hs_pending_segment_fn *fn, void *ctx);

/* Removes the segments of the flow KEY.  */
void hs_pending_segments_remove (struct hs_pending_segments *pending,
                                 const struct hs_segment_key *key);

/* Removes the segments that have been queued for
   HS_PENDING_SEGMENT_TIMEOUT_MS at NOW, in ms.  */
void hs_pending_segments_expire (struct hs_pending_segments *pending,
                                 uint64_t now);

#endif /* HS_ENTRY_PENDING_SEGMENTS_H */
