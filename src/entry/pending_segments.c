/* pending_segments.c -- segments queued at an entry until it is known which
   agent to send them to.  */

#include "entry/pending_segments.h"

#include <talloc.h>

/* Types.  */

struct pending_segment
{
  struct hs_list link; /* In the queue.  */
  struct hs_segment_key key;
  uint64_t queued_at; /* ms  */
  size_t len;         /* Bytes of DATA.  */
  uint8_t *data;
};

struct hs_pending_segments
{
  size_t len;          /* Segments in LIST.  */
  struct hs_list list; /* Queue of struct pending_segment, oldest first.  */
};

/* Private functions.  */

static bool has_key (const struct pending_segment *segment,
                     const struct hs_segment_key *key);
static void remove_segment (struct hs_pending_segments *pending,
                            struct pending_segment *segment);

/* Public definitions.  */

struct hs_pending_segments *
hs_pending_segments_create (void *parent)
{
  struct hs_pending_segments *pending
      = talloc_zero (parent, struct hs_pending_segments);

  hs_list_init (&pending->list);
  return pending;
}

void
hs_pending_segments_destroy (struct hs_pending_segments *pending)
{
  talloc_free (pending);
}

bool
hs_pending_segments_add (struct hs_pending_segments *pending,
                         const struct hs_segment_key *key, const uint8_t *data,
                         size_t len, uint64_t now)
{
  struct pending_segment *segment;

  if (pending->len >= HS_PENDING_SEGMENTS_MAX)
    return false;
  segment = talloc_zero (pending, struct pending_segment);
  segment->key = *key;
  segment->queued_at = now;
  segment->len = len;
  segment->data = talloc_memdup (segment, data, len);
  hs_list_append (&pending->list, &segment->link);
  pending->len++;
  return true;
}

void
hs_pending_segments_foreach (const struct hs_pending_segments *pending,
                             const struct hs_segment_key *key, uint64_t since,
                             hs_pending_segment_fn *fn, void *ctx)
{
  HS_LIST_FOREACH (link, &pending->list)
    {
      const struct pending_segment *segment
          = HS_LIST_ENTRY (link, struct pending_segment, link);

      if (segment->queued_at >= since && has_key (segment, key))
        fn (ctx, segment->data, segment->len);
    }
}

void
hs_pending_segments_flush (struct hs_pending_segments *pending,
                           hs_pending_segment_fn *fn, void *ctx)
{
  size_t len = pending->len;

  for (size_t i = 0; i < len; i++)
    {
      struct pending_segment *segment = HS_LIST_ENTRY (
          hs_list_pop (&pending->list), struct pending_segment, link);

      pending->len--;
      fn (ctx, segment->data, segment->len);
      talloc_free (segment);
    }
}

void
hs_pending_segments_remove (struct hs_pending_segments *pending,
                            const struct hs_segment_key *key)
{
  HS_LIST_FOREACH (link, &pending->list)
    {
      struct pending_segment *segment
          = HS_LIST_ENTRY (link, struct pending_segment, link);

      if (has_key (segment, key))
        remove_segment (pending, segment);
    }
}

void
hs_pending_segments_expire (struct hs_pending_segments *pending, uint64_t now)
{
  HS_LIST_FOREACH (link, &pending->list)
    {
      struct pending_segment *segment
          = HS_LIST_ENTRY (link, struct pending_segment, link);

      if (now - segment->queued_at < HS_PENDING_SEGMENT_TIMEOUT_MS)
        break;
      remove_segment (pending, segment);
    }
}

/* Private definitions.  */

static bool
has_key (const struct pending_segment *segment,
         const struct hs_segment_key *key)
{
  return hs_addr_equal (&segment->key.caller, &key->caller)
         && hs_addr_equal (&segment->key.address, &key->address);
}

static void
remove_segment (struct hs_pending_segments *pending,
                struct pending_segment *segment)
{
  hs_list_remove (&segment->link);
  pending->len--;
  talloc_free (segment);
}
