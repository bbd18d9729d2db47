/* test_held.c -- segments that wait at an entry.  */

#include "entry/pending_segments.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

struct taken
{
  size_t len;
  char text[HS_PENDING_SEGMENTS_MAX + 1]; /* First bytes, in order.  */
  struct hs_pending_segments *again; /* Where they are added; NULL: nowhere. */
};

/* Private functions.  */

static struct hs_segment_key
key_of (uint16_t port)
{
  struct hs_segment_key key = { .caller = { .port = port } };

  return key;
}

static void
add (struct hs_pending_segments *held, uint16_t port, const char *text,
     uint64_t now)
{
  struct hs_segment_key key = key_of (port);

  g_assert_true (hs_pending_segments_add (held, &key, (const uint8_t *)text,
                                          strlen (text), now));
}

static void
on_taken (void *ctx, const uint8_t *data, size_t len)
{
  struct taken *taken = ctx;

  g_assert_cmpuint (len, >, 0);
  taken->text[taken->len++] = (char)data[0];
  if (taken->again != NULL)
    add (taken->again, 9, (const char[]){ (char)data[0], '\0' }, 0);
}

static void
check_of (struct hs_pending_segments *held, uint16_t port, const char *text)
{
  struct hs_segment_key key = key_of (port);
  struct taken taken = { 0 };

  hs_pending_segments_foreach (held, &key, on_taken, &taken);
  g_assert_cmpstr (taken.text, ==, text);
}

static void
test_by_flow (void)
{
  struct hs_pending_segments *held = hs_pending_segments_create (NULL);
  struct hs_segment_key key = key_of (1);

  add (held, 1, "a", 0);
  add (held, 2, "b", 0);
  add (held, 1, "c", 0);
  check_of (held, 1, "ac");
  check_of (held, 2, "b");
  hs_pending_segments_remove (held, &key);
  check_of (held, 1, "");
  check_of (held, 2, "b");
  hs_pending_segments_destroy (held);
}

static void
test_bounded (void)
{
  struct hs_pending_segments *held = hs_pending_segments_create (NULL);
  struct hs_segment_key key = key_of (1);

  for (size_t i = 0; i < HS_PENDING_SEGMENTS_MAX; i++)
    add (held, 1, "a", i);
  g_assert_false (
      hs_pending_segments_add (held, &key, (const uint8_t *)"b", 1, 300));
  hs_pending_segments_expire (held, HS_PENDING_SEGMENT_TIMEOUT_MS);
  g_assert_true (
      hs_pending_segments_add (held, &key, (const uint8_t *)"b", 1, 1000));
  hs_pending_segments_expire (held, HS_PENDING_SEGMENT_TIMEOUT_MS + 1000);
  check_of (held, 1, "");
  hs_pending_segments_destroy (held);
}

/* What is taken may be kept again, and is not taken twice.  */
static void
test_taken (void)
{
  struct hs_pending_segments *held = hs_pending_segments_create (NULL);
  struct taken taken = { .again = held };

  add (held, 1, "a", 0);
  add (held, 2, "b", 0);
  hs_pending_segments_flush (held, on_taken, &taken);
  g_assert_cmpstr (taken.text, ==, "ab");
  check_of (held, 1, "");
  check_of (held, 9, "ab");
  hs_pending_segments_destroy (held);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/held/by-flow", test_by_flow);
  g_test_add_func ("/held/bounded", test_bounded);
  g_test_add_func ("/held/taken", test_taken);
  return g_test_run ();
}
