/* egress.c -- the datagrams that wait at an entry until its uplink can carry
   them.

   The link of an entry's host is slow and queues only a few datagrams; it
   drops what exceeds them.  A caller of an upload sends up to 16 segments at
   once, and sends a lost one again only after 200 ms or more.  So datagrams
   are sent at the rate of the link and wait here meanwhile, where nothing is
   lost.  Those of short requests overtake those of uploads, which take many
   datagrams and have longer latency objectives.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Share of the link's rate that is used, as the rate of the link is not known
   exactly.  */
#define RATE_PERCENT 97

/* Bytes that a datagram takes on the link besides its payload: IPv4, UDP and
   Ethernet with its preamble and gap.  */
#define FRAME_OVERHEAD_SIZE 66

/* The link is given this much to send, as time at its rate, and gets more once
   only LINK_QUEUE_MIN_MS are left: several datagrams for each wake-up.  */
#define LINK_QUEUE_MAX_MS 20.0
#define LINK_QUEUE_MIN_MS 6.0

struct queued_datagram
{
  struct hs_list link;
  uint64_t tag; /* 0: none.  */
  struct hs_addr to;
  size_t len; /* Bytes.  */
  uint8_t data[];
};

struct egress_queue
{
  struct hs_list list; /* Oldest first.  */
  size_t len;          /* Datagrams.  */
  double link_ms;      /* Time that the link needs for them.  */
};

struct hs_egress
{
  double bytes_per_ms; /* 0: no limit.  */
  struct hs_egress_ops ops;
  void *ctx;
  double link_ms;            /* Time until the link has sent what it was
                                given.  */
  uint64_t last_advanced_at; /* ms  */
  struct egress_queue queues[HS_EGRESS_CLASSES];
};

/* Private functions.  */

static void advance (struct hs_egress *egress, uint64_t now);
static double link_ms_of (const struct hs_egress *egress, size_t len);
static struct queued_datagram *find_datagram (struct egress_queue *queue,
                                              uint64_t tag,
                                              const struct hs_addr *to,
                                              size_t len);
static struct queued_datagram *pop_next (struct hs_egress *egress);

/* Public definitions.  */

struct hs_egress *
hs_egress_create (void *parent, double mbit_per_s,
                  const struct hs_egress_ops *ops, void *ctx)
{
  struct hs_egress *egress = talloc_zero (parent, struct hs_egress);

  egress->bytes_per_ms = mbit_per_s * 1000 / 8 * RATE_PERCENT / 100;
  egress->ops = *ops;
  egress->ctx = ctx;
  for (size_t i = 0; i < HS_EGRESS_CLASSES; i++)
    hs_list_init (&egress->queues[i].list);
  return egress;
}

void
hs_egress_destroy (struct hs_egress *egress)
{
  talloc_free (egress);
}

enum hs_egress_class
hs_egress_class_of (const struct hs_routing *routing,
                    const struct hs_segment *segment)
{
  const struct hs_routing_rule *rule
      = routing != NULL ? hs_routing_find (routing, &segment->to) : NULL;

  return rule != NULL && rule->request_class == HS_REQUEST_CLASS_UPLOAD
                 && !hs_segment_is_syn (segment)
             ? HS_EGRESS_BULK
             : HS_EGRESS_SHORT;
}

uint64_t
hs_egress_tag_of (const struct hs_segment *segment)
{
  struct hs_segment_key key = hs_segment_key (segment, true);

  return segment->payload_len > 0
             ? hs_rendezvous_score (hs_segment_key_hash (&key), segment->seq)
             : 0;
}

void
hs_egress_count (struct hs_egress *egress, size_t len, uint64_t now)
{
  advance (egress, now);
  egress->link_ms += link_ms_of (egress, len);
}

bool
hs_egress_take (struct hs_egress *egress, enum hs_egress_class class,
                size_t len, uint64_t now)
{
  advance (egress, now);
  if (egress->link_ms >= LINK_QUEUE_MAX_MS)
    return false;
  for (size_t i = 0; i <= (size_t) class; i++)
    if (egress->queues[i].len > 0)
      return false;
  egress->link_ms += link_ms_of (egress, len);
  return true;
}

bool
hs_egress_queue (struct hs_egress *egress, enum hs_egress_class class,
                 uint64_t tag, const struct hs_addr *to, const uint8_t *data,
                 size_t len)
{
  struct egress_queue *queue = &egress->queues[class];
  size_t len_max = class == HS_EGRESS_QUERY ? HS_EGRESS_QUERY_QUEUE_MAX
                                            : HS_EGRESS_QUEUE_MAX;
  struct queued_datagram *datagram
      = tag != 0 ? find_datagram (queue, tag, to, len) : NULL;

  if (datagram == NULL && queue->len >= len_max)
    return false;
  if (datagram == NULL)
    {
      datagram = talloc_size (egress, sizeof *datagram + len);
      hs_list_append (&queue->list, &datagram->link);
      queue->len++;
      queue->link_ms += link_ms_of (egress, len);
    }
  datagram->tag = tag;
  datagram->to = *to;
  datagram->len = len;
  memcpy (datagram->data, data, len);
  return true;
}

void
hs_egress_flush (struct hs_egress *egress, uint64_t now)
{
  advance (egress, now);
  while (egress->link_ms < LINK_QUEUE_MAX_MS)
    {
      struct queued_datagram *datagram = pop_next (egress);

      if (datagram == NULL)
        return;
      egress->link_ms += link_ms_of (egress, datagram->len);
      egress->ops.send (egress->ctx, &datagram->to, datagram->data,
                        datagram->len);
      talloc_free (datagram);
    }
}

uint64_t
hs_egress_flush_at (const struct hs_egress *egress)
{
  double wait_ms = egress->link_ms - LINK_QUEUE_MIN_MS;
  size_t len = 0;

  for (size_t i = 0; i < HS_EGRESS_CLASSES; i++)
    len += egress->queues[i].len;
  if (len == 0)
    return UINT64_MAX;
  return egress->last_advanced_at + (wait_ms > 1 ? (uint64_t)wait_ms : 1);
}

uint64_t
hs_egress_wait_ms (struct hs_egress *egress, enum hs_egress_class class,
                   uint64_t now)
{
  double wait_ms;

  advance (egress, now);
  wait_ms = egress->link_ms;
  for (size_t i = 0; i <= (size_t) class; i++)
    wait_ms += egress->queues[i].link_ms;
  return (uint64_t)wait_ms;
}

/* Private definitions.  */

static void
advance (struct hs_egress *egress, uint64_t now)
{
  if (now <= egress->last_advanced_at)
    return;
  egress->link_ms -= (double)(now - egress->last_advanced_at);
  if (egress->link_ms < 0)
    egress->link_ms = 0;
  egress->last_advanced_at = now;
}

/* Returns the time that the link needs for a datagram of LEN bytes.  */
static double
link_ms_of (const struct hs_egress *egress, size_t len)
{
  return egress->bytes_per_ms > 0
             ? (double)(len + FRAME_OVERHEAD_SIZE) / egress->bytes_per_ms
             : 0;
}

static struct queued_datagram *
find_datagram (struct egress_queue *queue, uint64_t tag,
               const struct hs_addr *to, size_t len)
{
  HS_LIST_FOREACH (link, &queue->list)
    {
      struct queued_datagram *datagram
          = HS_LIST_ENTRY (link, struct queued_datagram, link);

      if (datagram->tag == tag && datagram->len == len
          && hs_addr_equal (&datagram->to, to))
        return datagram;
    }
  return NULL;
}

/* Removes and returns the oldest datagram of the most urgent class; NULL: none
   is queued.  */
static struct queued_datagram *
pop_next (struct hs_egress *egress)
{
  for (size_t i = 0; i < HS_EGRESS_CLASSES; i++)
    {
      struct egress_queue *queue = &egress->queues[i];
      struct queued_datagram *datagram;

      if (queue->len == 0)
        continue;
      datagram = HS_LIST_ENTRY (hs_list_pop (&queue->list),
                                struct queued_datagram, link);
      queue->len--;
      queue->link_ms -= link_ms_of (egress, datagram->len);
      if (queue->len == 0)
        queue->link_ms = 0;
      return datagram;
    }
  return NULL;
}
