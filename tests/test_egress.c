/* test_egress.c -- the egress queue of an entry: what is sent at once, in
   which order the rest follows, and what is dropped.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define LINK_MBPS 2.0
#define DATAGRAM_SIZE 1254 /* Bytes: 5.4 ms of the link.  */
#define SENT_MAX 1024

struct sent
{
  struct hs_egress *egress;
  size_t len;
  uint8_t ids[SENT_MAX]; /* First byte of each datagram sent.  */
};

/* Private functions.  */

static void
on_send (void *ctx, const struct hs_addr *to, const uint8_t *data, size_t len)
{
  struct sent *sent = ctx;

  g_assert_cmpuint (to->port, ==, 7);
  g_assert_cmpuint (len, >, 0);
  g_assert_cmpuint (sent->len, <, SENT_MAX);
  sent->ids[sent->len++] = data[0];
}

static struct sent *
create_egress (double mbit_per_s)
{
  struct hs_egress_ops ops = { on_send };
  struct sent *sent = talloc_zero (NULL, struct sent);

  sent->egress = hs_egress_create (sent, mbit_per_s, &ops, sent);
  return sent;
}

/* Queues a datagram whose first byte is ID.  */
static bool
queue (struct sent *sent, enum hs_egress_class class, uint64_t tag, uint8_t id)
{
  struct hs_addr to = { .port = 7 };
  uint8_t data[DATAGRAM_SIZE] = { id };

  return hs_egress_queue (sent->egress, class, tag, &to, data, sizeof data);
}

/* A few datagrams are sent at once, the others are queued, and the link gets
   them at its rate.  */
static void
test_rate (void)
{
  struct sent *sent = create_egress (LINK_MBPS);
  uint64_t now = 100;
  unsigned int taken = 0;

  while (hs_egress_take (sent->egress, HS_EGRESS_BULK, DATAGRAM_SIZE, now))
    taken++;
  g_assert_cmpuint (taken, >=, 2);
  g_assert_cmpuint (taken, <=, 5);
  for (unsigned int i = 0; i < 100; i++)
    g_assert_true (queue (sent, HS_EGRESS_BULK, i + 1, (uint8_t)i));
  while ((now = hs_egress_flush_at (sent->egress)) != UINT64_MAX)
    {
      double link_ms;

      hs_egress_flush (sent->egress, now);
      /* The link has never been given more than 30 ms to send.  */
      link_ms = (double)(taken + sent->len) * (DATAGRAM_SIZE + 66) * 8
                / (LINK_MBPS * 1000);
      g_assert_cmpfloat (link_ms - (double)(now - 100), <, 30);
    }
  g_assert_cmpuint (sent->len, ==, 100);
  for (unsigned int i = 0; i < 100; i++)
    g_assert_cmpuint (sent->ids[i], ==, i);
  talloc_free (sent);
}

/* Short requests overtake uploads, and a datagram is never sent at once while
   one of its class waits.  */
static void
test_short_requests_first (void)
{
  struct sent *sent = create_egress (LINK_MBPS);

  while (hs_egress_take (sent->egress, HS_EGRESS_BULK, DATAGRAM_SIZE, 0))
    ;
  queue (sent, HS_EGRESS_BULK, 1, 1);
  queue (sent, HS_EGRESS_BULK, 2, 2);
  queue (sent, HS_EGRESS_SHORT, 0, 3);
  g_assert_false (
      hs_egress_take (sent->egress, HS_EGRESS_BULK, DATAGRAM_SIZE, 15));
  g_assert_false (
      hs_egress_take (sent->egress, HS_EGRESS_SHORT, DATAGRAM_SIZE, 15));
  hs_egress_flush (sent->egress, 1000);
  g_assert_cmpuint (sent->len, ==, 3);
  g_assert_cmpuint (sent->ids[0], ==, 3);
  g_assert_cmpuint (sent->ids[1], ==, 1);
  g_assert_cmpuint (sent->ids[2], ==, 2);
  g_assert_true (
      hs_egress_take (sent->egress, HS_EGRESS_BULK, DATAGRAM_SIZE, 2000));
  talloc_free (sent);
}

/* A segment that is sent again while it is queued takes no second place.  */
static void
test_retransmission_replaces (void)
{
  struct sent *sent = create_egress (LINK_MBPS);

  for (unsigned int i = 0; i < 10; i++)
    {
      g_assert_true (queue (sent, HS_EGRESS_BULK, 5, (uint8_t)i));
      g_assert_true (queue (sent, HS_EGRESS_BULK, 0, 20));
    }
  hs_egress_flush (sent->egress, 0);
  for (uint64_t now; (now = hs_egress_flush_at (sent->egress)) != UINT64_MAX;)
    hs_egress_flush (sent->egress, now);
  g_assert_cmpuint (sent->len, ==, 11);
  g_assert_cmpuint (sent->ids[0], ==, 9);
  talloc_free (sent);
}

/* The wait grows with what is queued ahead, and the queue is bounded.  */
static void
test_bounded (void)
{
  struct sent *sent = create_egress (LINK_MBPS);
  uint64_t bulk_ms;

  for (unsigned int i = 0; i < HS_EGRESS_QUEUE_MAX; i++)
    g_assert_true (queue (sent, HS_EGRESS_BULK, i + 1, 0));
  g_assert_false (queue (sent, HS_EGRESS_BULK, 0, 0));
  g_assert_true (queue (sent, HS_EGRESS_BULK, 1, 0));
  bulk_ms = hs_egress_wait_ms (sent->egress, HS_EGRESS_BULK, 0);
  g_assert_cmpuint (bulk_ms, >, 1300);
  g_assert_cmpuint (bulk_ms, <, 1400);
  g_assert_cmpuint (hs_egress_wait_ms (sent->egress, HS_EGRESS_SHORT, 0), ==,
                    0);
  talloc_free (sent);
}

static void
test_no_limit (void)
{
  struct sent *sent = create_egress (0);

  for (unsigned int i = 0; i < 10000; i++)
    g_assert_true (
        hs_egress_take (sent->egress, HS_EGRESS_BULK, DATAGRAM_SIZE, 0));
  g_assert_true (hs_egress_flush_at (sent->egress) == UINT64_MAX);
  talloc_free (sent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/egress/rate", test_rate);
  g_test_add_func ("/egress/short-first", test_short_requests_first);
  g_test_add_func ("/egress/retransmission", test_retransmission_replaces);
  g_test_add_func ("/egress/bounded", test_bounded);
  g_test_add_func ("/egress/no-limit", test_no_limit);
  return g_test_run ();
}
