/* pending_segments.c -- segments that wait until it is known where they go. */

#include "entry/pending_segments.h"

#include <talloc.h>

/* Types.  */

struct held
{
  struct hs_list link; /* Oldest first.  */
  struct hs_segment_key key;
  uint64_t queued_at; /* ms  */
  size_t len;
  uint8_t *data;
};

struct hs_pending_segments
{
  size_t len;
  struct hs_list list;
};

/* Private functions.  */

static bool is_of (const struct held *packet,
                   const struct hs_segment_key *key);
static void drop (struct hs_pending_segments *held, struct held *packet);

/* Public definitions.  */

struct hs_pending_segments *
hs_pending_segments_create (void *parent)
{
  struct hs_pending_segments *held
      = talloc_zero (parent, struct hs_pending_segments);

  hs_list_init (&held->list);
  return held;
}

void
hs_pending_segments_destroy (struct hs_pending_segments *held)
{
  talloc_free (held);
}

bool
hs_pending_segments_add (struct hs_pending_segments *held,
                         const struct hs_segment_key *key, const uint8_t *data,
                         size_t len, uint64_t now)
{
  struct held *packet;

  if (held->len >= HS_PENDING_SEGMENTS_MAX)
    return false;
  packet = talloc_zero (held, struct held);
  packet->key = *key;
  packet->queued_at = now;
  packet->len = len;
  packet->data = talloc_memdup (packet, data, len);
  hs_list_append (&held->list, &packet->link);
  held->len++;
  return true;
}

void
hs_pending_segments_foreach (const struct hs_pending_segments *held,
                             const struct hs_segment_key *key,
                             hs_pending_segment_fn *fn, void *ctx)
{
  HS_LIST_FOREACH (link, &held->list)
    {
      const struct held *packet = HS_LIST_ENTRY (link, struct held, link);

      if (is_of (packet, key))
        fn (ctx, packet->data, packet->len);
    }
}

void
hs_pending_segments_flush (struct hs_pending_segments *held,
                           hs_pending_segment_fn *fn, void *ctx)
{
  size_t len = held->len;

  for (size_t i = 0; i < len; i++)
    {
      struct held *packet
          = HS_LIST_ENTRY (hs_list_pop (&held->list), struct held, link);

      held->len--;
      fn (ctx, packet->data, packet->len);
      talloc_free (packet);
    }
}

void
hs_pending_segments_remove (struct hs_pending_segments *held,
                            const struct hs_segment_key *key)
{
  HS_LIST_FOREACH (link, &held->list)
    {
      struct held *packet = HS_LIST_ENTRY (link, struct held, link);

      if (is_of (packet, key))
        drop (held, packet);
    }
}

void
hs_pending_segments_expire (struct hs_pending_segments *held, uint64_t now)
{
  HS_LIST_FOREACH (link, &held->list)
    {
      struct held *packet = HS_LIST_ENTRY (link, struct held, link);

      if (now - packet->queued_at < HS_PENDING_SEGMENT_TIMEOUT_MS)
        break;
      drop (held, packet);
    }
}

/* Private definitions.  */

static bool
is_of (const struct held *packet, const struct hs_segment_key *key)
{
  return hs_addr_equal (&packet->key.caller, &key->caller)
         && hs_addr_equal (&packet->key.address, &key->address);
}

static void
drop (struct hs_pending_segments *held, struct held *packet)
{
  hs_list_remove (&packet->link);
  held->len--;
  talloc_free (packet);
}
