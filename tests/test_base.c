/* test_base.c -- tests of lists, hash tables, timers, rings, addresses,
   settings, metrics and the logger.  */

#include "base/addr.h"
#include "base/auto.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/ring.h"
#include "base/settings.h"
#include "daemon/admin.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <pthread.h>
#include <string.h>

/* Types.  */

#define ELEMENTS 1000 /* Elements of a table, or timers.  */
#define ITEMS 100000  /* Pushed by each producer.  */
#define PRODUCERS 3   /* Threads.  */

struct element
{
  struct hs_table_node node;
  struct hs_list link;
  uint64_t key;
};

struct timer_record
{
  struct hs_timer timer;
  uint64_t called_at; /* ms; 0: not called yet.  */
};

struct settings
{
  const char *name;
  struct hs_addr address;
  uint64_t count;
  bool flag;
};

static const struct hs_setting settings_table[] = {
  { "name", HS_SETTING_NAME, NULL, 0, 0, offsetof (struct settings, name),
    "a name" },
  { "address", HS_SETTING_ADDR, "127.0.0.1:1", 0, 0,
    offsetof (struct settings, address), "an address" },
  { "count", HS_SETTING_UINT, "5", 1, 10, offsetof (struct settings, count),
    "a count" },
  { "flag", HS_SETTING_BOOL, "0", 0, 0, offsetof (struct settings, flag),
    "a flag" },
};

static const struct hs_program program
    = { "test", NULL, settings_table, G_N_ELEMENTS (settings_table) };

struct file_settings
{
  const char *path;
  const char *name;
  struct hs_addrs seeds;
};

/* Private functions.  */

static void
ignore_call (void *ctx, uint64_t now)
{
  (void)ctx;
  (void)now;
}

static bool
match_element (const struct hs_table_node *node, const void *key)
{
  return HS_LIST_ENTRY (node, struct element, node)->key
         == *(const uint64_t *)key;
}

/* Removing a node twice is harmless.  */
static void
test_list (void)
{
  struct hs_list list;
  struct element elements[3];
  uint64_t sum = 0;

  hs_list_init (&list);
  g_assert_true (hs_list_is_empty (&list));
  g_assert_null (hs_list_pop (&list));
  for (uint64_t i = 0; i < 3; i++)
    {
      elements[i].key = i;
      hs_list_append (&list, &elements[i].link);
    }
  hs_list_remove (&elements[1].link);
  hs_list_remove (&elements[1].link);
  HS_LIST_FOREACH (link, &list)
    sum = sum * 10 + HS_LIST_ENTRY (link, struct element, link)->key;
  g_assert_cmpuint (sum, ==, 2);
  g_assert_true (hs_list_pop (&list) == &elements[0].link);
}

/* All elements are found and removed, also if they share a hash and the table
   has grown.  */
static void
test_table (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_table *table = hs_table_create (root);
  struct element *elements = talloc_array (root, struct element, ELEMENTS);

  for (uint64_t i = 0; i < ELEMENTS; i++)
    {
      elements[i].key = i;
      /* 100 hashes, so that 10 elements share each one.  */
      hs_table_insert (table, &elements[i].node, i % 100);
    }
  g_assert_cmpuint (hs_table_len (table), ==, ELEMENTS);
  for (uint64_t i = 0; i < ELEMENTS; i += 2)
    hs_table_remove (table, &elements[i].node);
  for (uint64_t i = 0; i < ELEMENTS; i++)
    {
      struct hs_table_node *node
          = hs_table_find (table, i % 100, match_element, &i);

      g_assert_true (node == (i % 2 == 1 ? &elements[i].node : NULL));
    }
}

static void
record_call (void *ctx, uint64_t now)
{
  struct timer_record *record = ctx;

  g_assert_cmpuint (record->called_at, ==, 0);
  record->called_at = now;
}

/* The callback of each timer that was not stopped is called once, no earlier
   than its due time and at most one tick (4 ms) later.  */
static void
test_timers (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  uint64_t start = 12345;
  struct hs_timers *timers = hs_timers_create (root, start);
  struct timer_record *records
      = talloc_zero_array (root, struct timer_record, ELEMENTS);
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  uint64_t now = start;

  for (size_t i = 0; i < ELEMENTS; i++)
    {
      hs_timer_init (&records[i].timer, record_call, &records[i]);
      hs_timer_start (timers, &records[i].timer,
                      start + (uint64_t)g_rand_int_range (rand, 0, 20000));
    }
  hs_timer_stop (&records[0].timer);
  while (now < start + 21000)
    {
      uint64_t wait = hs_timers_advance (timers, now);

      g_assert_cmpuint (wait, >, 0);
      now += wait;
    }
  g_assert_cmpuint (records[0].called_at, ==, 0);
  for (size_t i = 1; i < ELEMENTS; i++)
    {
      g_assert_cmpuint (records[i].called_at, >=, records[i].timer.due);
      g_assert_cmpuint (records[i].called_at, <=, records[i].timer.due + 4);
    }
}

/* A timer is not missed if the time advances by more than a turn of the timing
   wheel.  */
static void
test_timers_sleep (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_timers *timers = hs_timers_create (root, 0);
  struct timer_record record = { 0 };

  hs_timer_init (&record.timer, record_call, &record);
  hs_timer_start (timers, &record.timer, 100);
  hs_timers_advance (timers, 1000000);
  g_assert_cmpuint (record.called_at, ==, 1000000);
}

/* A full ring rejects and counts pushes, and keeps the order of its items.  */
static void
test_ring_full (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_ring *ring = hs_ring_create (root, 2);
  int items[3];

  g_assert_null (hs_ring_pop (ring));
  g_assert_true (hs_ring_push (ring, &items[0]));
  g_assert_true (hs_ring_push (ring, &items[1]));
  g_assert_false (hs_ring_push (ring, &items[2]));
  g_assert_cmpuint (hs_ring_rejected (ring), ==, 1);
  g_assert_true (hs_ring_pop (ring) == &items[0]);
  g_assert_true (hs_ring_push (ring, &items[2]));
  g_assert_true (hs_ring_pop (ring) == &items[1]);
  g_assert_true (hs_ring_pop (ring) == &items[2]);
}

/* Guards against the loss of a stop or of new seeds if many reloads are
   queued: the latest items are kept.  */
static void
test_ring_displaces (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_ring *ring = hs_ring_create (root, 2);
  int items[3];

  g_assert_null (hs_ring_pop (ring));
  g_assert_null (hs_ring_push_displacing (ring, &items[0]));
  g_assert_null (hs_ring_push_displacing (ring, &items[1]));
  g_assert_true (hs_ring_push_displacing (ring, &items[2]) == &items[0]);
  hs_ring_wait (ring);
  g_assert_true (hs_ring_pop (ring) == &items[1]);
  g_assert_true (hs_ring_pop (ring) == &items[2]);
  g_assert_null (hs_ring_pop (ring));
}

/* Guards against a host that counts as ready although it drains: whatever the
   order in which two threads set its readiness, draining is final.  */
static void
test_draining_is_final (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);

  for (int drain_first = 0; drain_first <= 1; drain_first++)
    {
      struct hs_admin *admin
          = hs_admin_create_without_server (hs_metrics_create (root, "test"));

      g_assert_cmpstr (hs_admin_unhealthy_reason (admin), ==, "starting\n");
      if (drain_first)
        hs_admin_set_draining (admin);
      hs_admin_set_unhealthy (admin, NULL);
      g_assert_cmpstr (hs_admin_unhealthy_reason (admin), ==,
                       drain_first ? "draining\n" : NULL);
      if (!drain_first)
        hs_admin_set_draining (admin);
      g_assert_cmpstr (hs_admin_unhealthy_reason (admin), ==, "draining\n");
      hs_admin_destroy (admin);
    }
}

static void *
push_items (void *ctx)
{
  struct hs_ring *ring = ctx;

  for (uintptr_t i = 1; i <= ITEMS; i++)
    while (!hs_ring_push (ring, (void *)i))
      sched_yield ();
  return NULL;
}

/* With several producers, each item is popped exactly once.  The test hangs if
   the consumer misses a wake-up.  */
static void
test_ring_threads (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_ring *ring = hs_ring_create (root, 64);
  pthread_t producers[PRODUCERS];
  uint64_t sum = 0;
  uint64_t count = 0;
  void *item;

  for (size_t i = 0; i < PRODUCERS; i++)
    pthread_create (&producers[i], NULL, push_items, ring);
  while (count < PRODUCERS * ITEMS)
    {
      hs_ring_wait (ring);
      while ((item = hs_ring_pop (ring)) != NULL)
        {
          sum += (uintptr_t)item;
          count++;
        }
    }
  for (size_t i = 0; i < PRODUCERS; i++)
    pthread_join (producers[i], NULL);
  g_assert_cmpuint (sum, ==, (uint64_t)PRODUCERS * ITEMS * (ITEMS + 1) / 2);
}

/* Addresses survive a round trip through text and socket addresses; malformed
   text is rejected.  */
static void
test_addr (void)
{
  static const char *const good[]
      = { "127.0.0.1:80", "0.0.0.0:0", "[::1]:65535", "[2001:db8::5]:5683" };
  static const char *const bad[] = { "",
                                     ":",
                                     "127.0.0.1",
                                     "127.0.0.1:",
                                     "127.0.0.1:65536",
                                     "127.0.0.1:-1",
                                     "127.0.0.1:1x",
                                     "::1:5",
                                     "[::1]",
                                     "[::1]5",
                                     "a:1",
                                     "[127.0.0.1]:1",
                                     "127.0.0.1.2:3" };
  struct hs_addr addr;
  struct hs_addr back;
  struct sockaddr_storage ss;
  char text[HS_ADDR_TEXT_SIZE];

  for (size_t i = 0; i < G_N_ELEMENTS (good); i++)
    {
      g_assert_true (hs_addr_parse (good[i], &addr));
      hs_addr_format (&addr, text);
      g_assert_cmpstr (text, ==, good[i]);
      hs_addr_to_sockaddr (&addr, &ss);
      g_assert_true (hs_addr_from_sockaddr (&ss, &back));
      g_assert_true (hs_addr_equal (&addr, &back));
    }
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_false (hs_addr_parse (bad[i], &addr));
}

/* Loads the settings of ARGV, and expects the message ERROR_TEXT, or success
   if it is NULL.  */
static void
check_settings (char **argv, int argc, struct settings *settings,
                const char *error_text)
{
  g_autoptr (GError) error = NULL;
  bool loaded
      = hs_settings_load (&program, argc, argv, settings, NULL, &error);

  if (error_text == NULL)
    {
      g_assert_no_error (error);
      g_assert_true (loaded);
      return;
    }
  g_assert_error (error, HS_ERROR, HS_ERROR_INVALID);
  g_assert_cmpstr (error->message, ==, error_text);
}

/* A flag sets its field, and a setting that is not given has its default.
   Errors name the flag, the value and what was expected.  */
static void
test_settings (void)
{
  char *flags[] = { "test", "--name=a", "--count=7", "--flag" };
  char *bad_count[] = { "test", "--name=a", "--count=11" };
  char *bad_address[] = { "test", "--name=a", "--address=nowhere" };
  char *no_name[] = { "test" };
  struct settings settings;

  check_settings (flags, 4, &settings, NULL);
  g_assert_cmpstr (settings.name, ==, "a");
  g_assert_cmpuint (settings.count, ==, 7);
  g_assert_true (settings.flag);
  g_assert_cmpuint (settings.address.port, ==, 1);
  check_settings (bad_count, 3, &settings,
                  "--count: got '11', expected a whole number from 1 to 10");
  check_settings (bad_address, 3, &settings,
                  "--address: got 'nowhere', expected IP:PORT or [IP]:PORT");
  check_settings (no_name, 1, &settings,
                  "--name: got 'nothing', expected a name");
}

/* Flags override environment variables; errors name the variable.  */
static void
test_settings_environment (void)
{
  char *flags[] = { "test", "--name=a", "--count=7" };
  char *no_flags[] = { "test", "--name=a" };
  struct settings settings;

  g_setenv ("HIBISCUSSPAN_COUNT", "3", TRUE);
  check_settings (no_flags, 2, &settings, NULL);
  g_assert_cmpuint (settings.count, ==, 3);
  check_settings (flags, 3, &settings, NULL);
  g_assert_cmpuint (settings.count, ==, 7);
  g_setenv ("HIBISCUSSPAN_COUNT", "x", TRUE);
  check_settings (
      no_flags, 2, &settings,
      "HIBISCUSSPAN_COUNT: got 'x', expected a whole number from 1 to 10");
  g_unsetenv ("HIBISCUSSPAN_COUNT");
}

/* Each metric is formatted with its HELP and TYPE lines, in the order of
   creation.  */
static void
test_metrics (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_metrics *metrics = hs_metrics_create (root, "test");
  struct hs_counter *total
      = hs_counter_create (metrics, "things_total", "Things.");
  struct hs_counter *level = hs_gauge_create (metrics, "level", "Level.");

  hs_counter_add (total, 2);
  hs_counter_add (total, 3);
  hs_counter_set (level, 9);
  g_assert_cmpstr (hs_metrics_format (root, metrics), ==,
                   "# HELP test_things_total Things.\n"
                   "# TYPE test_things_total counter\n"
                   "test_things_total 5\n"
                   "# HELP test_level Level.\n"
                   "# TYPE test_level gauge\n"
                   "test_level 9\n");
}

/* Each line is one JSON object, even if a field contains quotes or a line
   break.  Lines less severe than the log level are left out.  */
static void
test_log (void)
{
  int fds[2];
  char text[4096] = "";
  struct hs_log *log;
  g_auto (GStrv) lines = NULL;
  HS_AUTO_JSON json_t *first = NULL;
  HS_AUTO_JSON json_t *second = NULL;

  g_assert_cmpint (pipe (fds), ==, 0);
  log = hs_log_create ("test", fds[1], HS_LOG_INFO);
  hs_log_write (log, HS_LOG_INFO, "plain", NULL);
  hs_log_write (log, HS_LOG_DEBUG, "unseen", NULL);
  hs_log_write (log, HS_LOG_ERROR, "odd", "{s:s, s:i}", "text",
                "a \"quoted\"\nline", "number", 7);
  hs_log_destroy (log);
  close (fds[1]);
  g_assert_cmpint (read (fds[0], text, sizeof text - 1), >, 0);
  close (fds[0]);
  lines = g_strsplit (text, "\n", -1);
  g_assert_cmpuint (g_strv_length (lines), ==, 3);
  first = json_loads (lines[0], 0, NULL);
  second = json_loads (lines[1], 0, NULL);
  g_assert_cmpstr (json_string_value (json_object_get (first, "event")), ==,
                   "plain");
  g_assert_cmpstr (json_string_value (json_object_get (second, "level")), ==,
                   "error");
  g_assert_cmpstr (json_string_value (json_object_get (second, "text")), ==,
                   "a \"quoted\"\nline");
}

/* Flags override the settings file.  A name in the file that no setting has,
   such as a misspelled one, or an invalid value is an error.  */
static void
test_settings_file (void)
{
  static const struct hs_setting table[] = {
    { "settings", HS_SETTING_STRING, "", 0, 0,
      offsetof (struct file_settings, path), "file" },
    { "name", HS_SETTING_NAME, NULL, 0, 0,
      offsetof (struct file_settings, name), "a name" },
    { "seeds", HS_SETTING_ADDRS, "", 0, 0,
      offsetof (struct file_settings, seeds), "seeds" },
  };
  static const struct hs_program program_with_file
      = { "test", NULL, table, G_N_ELEMENTS (table) };
  g_autofree char *folder = g_dir_make_tmp ("settings-XXXXXX", NULL);
  g_autofree char *path = g_build_filename (folder, "file", NULL);
  g_autofree char *flag = g_strdup_printf ("--settings=%s", path);
  char *argv[] = { "test", flag };
  char *argv_name[] = { "test", flag, "--name=flag" };
  struct file_settings fields;
  g_autoptr (GError) error = NULL;

  g_file_set_contents (path,
                       "# a comment\n\nHIBISCUSSPAN_NAME=file\n"
                       "HIBISCUSSPAN_SEEDS=10.0.0.1:1,10.0.0.2:2\n",
                       -1, NULL);
  g_assert_true (
      hs_settings_load (&program_with_file, 2, argv, &fields, NULL, NULL));
  g_assert_cmpstr (fields.name, ==, "file");
  g_assert_cmpuint (fields.seeds.len, ==, 2);
  g_assert_cmpuint (fields.seeds.values[1].port, ==, 2);
  g_assert_true (hs_settings_load (&program_with_file, 3, argv_name, &fields,
                                   NULL, NULL));
  g_assert_cmpstr (fields.name, ==, "flag");
  g_file_set_contents (path, "HIBISCUSSPAN_NAM=file\n", -1, NULL);
  g_assert_false (
      hs_settings_load (&program_with_file, 2, argv, &fields, NULL, &error));
  g_assert_error (error, HS_ERROR, HS_ERROR_INVALID);
  g_assert_nonnull (strstr (error->message, "line 1"));
  g_clear_error (&error);
  g_file_set_contents (path, "HIBISCUSSPAN_NAME=file\nHIBISCUSSPAN_SEEDS=x\n",
                       -1, NULL);
  g_assert_false (
      hs_settings_load (&program_with_file, 2, argv, &fields, NULL, &error));
  g_assert_error (error, HS_ERROR, HS_ERROR_INVALID);
  g_remove (path);
  g_rmdir (folder);
}

/* Buckets are cumulative and include their upper bound.  */
static void
test_histogram (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_metrics *metrics = hs_metrics_create (root, "test");
  struct hs_histogram *histogram
      = hs_histogram_create (metrics, "wait_ms", "Wait.");
  const char *text;

  hs_histogram_observe (histogram, 0);
  hs_histogram_observe (histogram, 2);
  hs_histogram_observe (histogram, 3);
  hs_histogram_observe (histogram, 99999);
  text = hs_metrics_format (root, metrics);
  g_assert_nonnull (strstr (text, "# TYPE test_wait_ms histogram\n"));
  g_assert_nonnull (strstr (text, "test_wait_ms_bucket{le=\"1\"} 1\n"));
  g_assert_nonnull (strstr (text, "test_wait_ms_bucket{le=\"2\"} 2\n"));
  g_assert_nonnull (strstr (text, "test_wait_ms_bucket{le=\"10000\"} 3\n"));
  g_assert_nonnull (strstr (text, "test_wait_ms_bucket{le=\"+Inf\"} 4\n"));
  g_assert_nonnull (strstr (text, "test_wait_ms_sum 100004\n"));
  g_assert_nonnull (strstr (text, "test_wait_ms_count 4\n"));
}

/* Lines above the rate limit are dropped and counted.  Errors have a limit of
   their own, so that a flood of other lines does not suppress them.  */
static void
test_log_rate (void)
{
  HS_AUTO_FD int null = open ("/dev/null", O_WRONLY);
  struct hs_log *log = hs_log_create ("test", null, HS_LOG_INFO);

  hs_log_set_rate_limit (log, 10);
  for (int i = 0; i < 500; i++)
    hs_log_write (log, HS_LOG_INFO, "flood", NULL);
  /* The lines fall into one or two seconds, each with a limit of 10.  */
  g_assert_cmpuint (hs_log_dropped (log), >=, 480);
  g_assert_cmpuint (hs_log_dropped (log), <=, 490);
  hs_log_write (log, HS_LOG_ERROR, "error", NULL);
  g_assert_cmpuint (hs_log_dropped (log), <=, 490);
  hs_log_destroy (log);
}

/* hs_timers_next_due takes account of a timer that is started after another
   one but is due sooner.  Otherwise an event loop would sleep too long.  */
static void
test_timers_due (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_timers *timers = hs_timers_create (root, 1000);
  struct hs_timer late;
  struct hs_timer soon;

  hs_timer_init (&late, ignore_call, NULL);
  hs_timer_init (&soon, ignore_call, NULL);
  hs_timer_start (timers, &late, 3000);
  g_assert_cmpuint (hs_timers_next_due (timers), >=, 3000);
  g_assert_cmpuint (hs_timers_next_due (timers), <, 3010);
  hs_timer_start (timers, &soon, 1500);
  g_assert_cmpuint (hs_timers_next_due (timers), <, 1510);
  hs_timers_advance (timers, 1510);
  g_assert_cmpuint (hs_timers_next_due (timers), >=, 2990);
}

/* Public definitions.  */

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/list", test_list);
  g_test_add_func ("/base/table", test_table);
  g_test_add_func ("/base/timers", test_timers);
  g_test_add_func ("/base/timers-sleep", test_timers_sleep);
  g_test_add_func ("/base/ring-full", test_ring_full);
  g_test_add_func ("/base/ring-displaces", test_ring_displaces);
  g_test_add_func ("/base/draining-is-final", test_draining_is_final);
  g_test_add_func ("/base/ring-threads", test_ring_threads);
  g_test_add_func ("/base/addr", test_addr);
  g_test_add_func ("/base/settings", test_settings);
  g_test_add_func ("/base/settings-environment", test_settings_environment);
  g_test_add_func ("/base/counters", test_metrics);
  g_test_add_func ("/base/log", test_log);
  g_test_add_func ("/base/settings-file", test_settings_file);
  g_test_add_func ("/base/histogram", test_histogram);
  g_test_add_func ("/base/log-rate", test_log_rate);
  g_test_add_func ("/base/timers-due", test_timers_due);
  return g_test_run ();
}
