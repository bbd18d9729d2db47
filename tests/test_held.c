/* test_held.c -- tests of the queue of pending segments at an entry.  */

#include "entry/pending_segments.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

struct visit
{
  size_t len;
  char text[HS_PENDING_SEGMENTS_MAX + 1]; /* First byte of each segment.  */
  struct hs_pending_segments *requeue;    /* Queue that gets a copy of each
                                             segment; NULL: none.  */
};

/* Private functions.  */

static struct hs_segment_key
key_from_port (uint16_t port)
{
  struct hs_segment_key key = { .caller = { .port = port } };

  return key;
}

static void
add (struct hs_pending_segments *pending, uint16_t port, const char *text,
     uint64_t now)
{
  struct hs_segment_key key = key_from_port (port);

  g_assert_true (hs_pending_segments_add (pending, &key, (const uint8_t *)text,
                                          strlen (text), now));
}

static void
on_segment (void *ctx, const uint8_t *data, size_t len)
{
  struct visit *visit = ctx;

  g_assert_cmpuint (len, >, 0);
  visit->text[visit->len++] = (char)data[0];
  if (visit->requeue != NULL)
    add (visit->requeue, 9, (const char[]){ (char)data[0], '\0' }, 0);
}

static void
check_flow_since (struct hs_pending_segments *pending, uint16_t port,
                  uint64_t since, const char *text)
{
  struct hs_segment_key key = key_from_port (port);
  struct visit visit = { 0 };

  hs_pending_segments_foreach (pending, &key, since, on_segment, &visit);
  g_assert_cmpstr (visit.text, ==, text);
}

static void
check_flow (struct hs_pending_segments *pending, uint16_t port,
            const char *text)
{
  check_flow_since (pending, port, 0, text);
}

/* Segments are found and removed by flow and keep their order.  */
static void
test_by_flow (void)
{
  struct hs_pending_segments *pending = hs_pending_segments_create (NULL);
  struct hs_segment_key key = key_from_port (1);

  add (pending, 1, "a", 0);
  add (pending, 2, "b", 0);
  add (pending, 1, "c", 0);
  check_flow (pending, 1, "ac");
  check_flow (pending, 2, "b");
  hs_pending_segments_remove (pending, &key);
  check_flow (pending, 1, "");
  check_flow (pending, 2, "b");
  hs_pending_segments_destroy (pending);
}

/* A full queue refuses a segment until one has expired.  */
static void
test_bounded (void)
{
  struct hs_pending_segments *pending = hs_pending_segments_create (NULL);
  struct hs_segment_key key = key_from_port (1);

  for (size_t i = 0; i < HS_PENDING_SEGMENTS_MAX; i++)
    add (pending, 1, "a", i);
  g_assert_false (
      hs_pending_segments_add (pending, &key, (const uint8_t *)"b", 1, 300));
  hs_pending_segments_expire (pending, HS_PENDING_SEGMENT_TIMEOUT_MS);
  g_assert_true (
      hs_pending_segments_add (pending, &key, (const uint8_t *)"b", 1, 1000));
  hs_pending_segments_expire (pending, HS_PENDING_SEGMENT_TIMEOUT_MS + 1000);
  check_flow (pending, 1, "");
  hs_pending_segments_destroy (pending);
}

/* A flush visits each segment once, also if the callback queues it again.  */
static void
test_flush (void)
{
  struct hs_pending_segments *pending = hs_pending_segments_create (NULL);
  struct visit visit = { .requeue = pending };

  add (pending, 1, "a", 0);
  add (pending, 2, "b", 0);
  hs_pending_segments_flush (pending, on_segment, &visit);
  g_assert_cmpstr (visit.text, ==, "ab");
  check_flow (pending, 1, "");
  check_flow (pending, 9, "ab");
  hs_pending_segments_destroy (pending);
}

/* Guards against old segments that are sent to agents which do not own their
   flow.  */
static void
test_since (void)
{
  struct hs_pending_segments *pending = hs_pending_segments_create (NULL);

  add (pending, 1, "a", 100);
  add (pending, 1, "b", 300);
  add (pending, 1, "c", 500);
  check_flow_since (pending, 1, 300, "bc");
  check_flow_since (pending, 1, 501, "");
  check_flow (pending, 1, "abc");
  hs_pending_segments_destroy (pending);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/held/by-flow", test_by_flow);
  g_test_add_func ("/held/bounded", test_bounded);
  g_test_add_func ("/held/taken", test_flush);
  g_test_add_func ("/held/since", test_since);
  return g_test_run ();
}
