/* syn_queue.c -- the SYNs that an agent holds while its upstream has no room.

   Load answered: after an outage, or a short burst, all callers come at once.
   Those that are refused retry within some 10 ms and are refused again, until
   they give up, although the upstream could have answered them well within
   their limit.  A held SYN waits instead.

   While a held request can still meet its latency objective, it waits for the
   same room as a new one.  After that it gets only slots that would be idle,
   so that late requests never delay those that can be in time.  More is held
   only as long as it is likely to be released: under lasting overload few
   slots are ever idle, and requests are refused at once as without this queue.
 */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

/* Share of the held SYNs that are expected to be released, at first and after
   a quiet time.  Late ones get what new ones leave of the slots.  */
#define RELEASED_SHARE_DEFAULT 0.75
#define RELEASED_SHARE_MIN 0.03125

/* Work by which the room is computed until a request has been answered: at the
   start after an outage, when the most SYNs come.  */
#define WORK_UNKNOWN_US 25000

/* Change of the share by a SYN that was released, and one that expired.  */
#define RELEASED_GAIN 0.05
#define EXPIRED_LOSS 0.1

/* Time without held SYNs in which the share recovers from 0 to the default. */
#define SHARE_RECOVERY_MS 10000.0

struct hs_syn_queue
{
  struct hs_list held; /* struct hs_held_syn, oldest first.  */
  size_t len;
  double released_share;
  uint64_t share_changed_at; /* ms  */
};

/* Private functions.  */

static void recover_share (struct hs_syn_queue *queue, uint64_t now);
static void remove_syn (struct hs_syn_queue *queue, struct hs_held_syn *syn);
static bool is_before (const struct hs_held_syn *a,
                       const struct hs_held_syn *b, uint64_t now);

/* Public definitions.  */

struct hs_syn_queue *
hs_syn_queue_create (void *parent)
{
  struct hs_syn_queue *queue = talloc_zero (parent, struct hs_syn_queue);

  hs_list_init (&queue->held);
  queue->released_share = RELEASED_SHARE_DEFAULT;
  return queue;
}

void
hs_syn_queue_destroy (struct hs_syn_queue *queue)
{
  talloc_free (queue);
}

size_t
hs_syn_queue_len (const struct hs_syn_queue *queue)
{
  return queue->len;
}

/* The last of N held requests waits for N more to be run by all slots.  */
uint32_t
hs_syn_queue_room (struct hs_syn_queue *queue, uint32_t slots,
                   uint32_t work_us, uint32_t hold_max_ms, uint64_t now)
{
  uint64_t known_slots = slots != 0 ? slots : HS_SLOTS_DEFAULT;
  double room;

  recover_share (queue, now);
  if (work_us == 0)
    work_us = WORK_UNKNOWN_US;
  room = queue->released_share * hold_max_ms * 1000.0 * (double)known_slots
         / work_us;
  if (room > HS_HELD_SYNS_MAX)
    room = HS_HELD_SYNS_MAX;
  return room > (double)queue->len ? (uint32_t)room - (uint32_t)queue->len : 0;
}

void
hs_syn_queue_hold (struct hs_syn_queue *queue, struct hs_held_syn *syn,
                   uint32_t wait_max_ms, uint32_t hold_max_ms, uint64_t now)
{
  syn->held_since = now;
  syn->in_time_until = now + wait_max_ms;
  syn->hold_until = now + hold_max_ms;
  hs_list_init (&syn->link);
  hs_list_append (&queue->held, &syn->link);
  queue->len++;
}

struct hs_held_syn *
hs_syn_queue_find (const struct hs_syn_queue *queue,
                   const struct hs_segment_key *key)
{
  HS_LIST_FOREACH (link, &queue->held)
    {
      struct hs_held_syn *syn = HS_LIST_ENTRY (link, struct hs_held_syn, link);

      if (hs_addr_equal (&syn->key.caller, &key->caller)
          && hs_addr_equal (&syn->key.address, &key->address))
        return syn;
    }
  return NULL;
}

struct hs_held_syn *
hs_syn_queue_next (const struct hs_syn_queue *queue, bool has_idle_slot,
                   uint64_t now)
{
  struct hs_held_syn *next = NULL;

  HS_LIST_FOREACH (link, &queue->held)
    {
      struct hs_held_syn *syn = HS_LIST_ENTRY (link, struct hs_held_syn, link);

      if (now >= syn->hold_until
          || (now > syn->in_time_until && !has_idle_slot))
        continue;
      if (next == NULL || is_before (syn, next, now))
        next = syn;
    }
  return next;
}

struct hs_held_syn *
hs_syn_queue_take_expired (struct hs_syn_queue *queue, uint64_t now)
{
  HS_LIST_FOREACH (link, &queue->held)
    {
      struct hs_held_syn *syn = HS_LIST_ENTRY (link, struct hs_held_syn, link);

      if (now < syn->hold_until)
        continue;
      recover_share (queue, now);
      queue->released_share -= queue->released_share * EXPIRED_LOSS;
      if (queue->released_share < RELEASED_SHARE_MIN)
        queue->released_share = RELEASED_SHARE_MIN;
      remove_syn (queue, syn);
      return syn;
    }
  return NULL;
}

void
hs_syn_queue_release (struct hs_syn_queue *queue, struct hs_held_syn *syn,
                      uint64_t now)
{
  recover_share (queue, now);
  queue->released_share += (1 - queue->released_share) * RELEASED_GAIN;
  remove_syn (queue, syn);
}

void
hs_syn_queue_remove (struct hs_syn_queue *queue, struct hs_held_syn *syn)
{
  remove_syn (queue, syn);
}

struct hs_held_syn *
hs_syn_queue_take_any (struct hs_syn_queue *queue)
{
  struct hs_held_syn *syn;

  if (hs_list_is_empty (&queue->held))
    return NULL;
  syn = HS_LIST_ENTRY (queue->held.next, struct hs_held_syn, link);
  remove_syn (queue, syn);
  return syn;
}

/* Private definitions.  */

static void
recover_share (struct hs_syn_queue *queue, uint64_t now)
{
  double gain = (double)(now - queue->share_changed_at) / SHARE_RECOVERY_MS
                * RELEASED_SHARE_DEFAULT;

  queue->share_changed_at = now;
  if (queue->len > 0 || queue->released_share >= RELEASED_SHARE_DEFAULT)
    return;
  queue->released_share += gain;
  if (queue->released_share > RELEASED_SHARE_DEFAULT)
    queue->released_share = RELEASED_SHARE_DEFAULT;
}

static void
remove_syn (struct hs_syn_queue *queue, struct hs_held_syn *syn)
{
  hs_list_remove (&syn->link);
  queue->len--;
}

/* Returns whether A is released before B: requests that can be in time first,
   then by priority, and then by the time that is left to them.  */
static bool
is_before (const struct hs_held_syn *a, const struct hs_held_syn *b,
           uint64_t now)
{
  bool a_in_time = now <= a->in_time_until;
  bool b_in_time = now <= b->in_time_until;

  if (a_in_time != b_in_time)
    return a_in_time;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a_in_time ? a->in_time_until < b->in_time_until
                   : a->hold_until < b->hold_until;
}
