/* test_journal.c -- the journal on disk: torn ends are cut, damage is
   refused.  */

#include "base/auto.h"
#include "consensus/journal.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/stat.h>

/* Types.  */

#define RECORDS 5

struct replayed
{
  size_t len;
  char texts[RECORDS + 2][64];
};

/* Private functions.  */

static bool
on_record (void *ctx, const uint8_t *data, size_t len, GError **error)
{
  struct replayed *replayed = ctx;

  (void)error;
  g_assert_cmpuint (replayed->len, <, RECORDS + 2);
  memcpy (replayed->texts[replayed->len], data, len);
  replayed->texts[replayed->len++][len] = '\0';
  return true;
}

static struct hs_journal *
open_journal (const char *folder, struct replayed *replayed, GError **error)
{
  memset (replayed, 0, sizeof *replayed);
  return hs_journal_open (NULL, folder, on_record, replayed, error);
}

static void
append (struct hs_journal *journal, const char *text)
{
  g_autoptr (GError) error = NULL;

  g_assert_true (hs_journal_append (journal, (const uint8_t *)text,
                                    strlen (text), &error));
  g_assert_true (hs_journal_sync (journal, &error));
  g_assert_no_error (error);
}

static char *
write_sample (char **file, size_t *len)
{
  char *folder = g_dir_make_tmp ("journal-XXXXXX", NULL);
  struct replayed replayed;
  struct hs_journal *journal = open_journal (folder, &replayed, NULL);
  struct stat st;

  for (int i = 0; i < RECORDS; i++)
    {
      g_autofree char *text = g_strdup_printf ("record %d", i);

      append (journal, text);
    }
  hs_journal_close (journal);
  *file = g_build_filename (folder, "journal", NULL);
  stat (*file, &st);
  *len = (size_t)st.st_size;
  return folder;
}

static void
remove_sample (char *folder, char *file)
{
  g_remove (file);
  g_rmdir (folder);
  g_free (file);
  g_free (folder);
}

/* Cut at every byte: whole records before the cut are there, and the next
   record goes behind them.  */
static void
test_torn (void)
{
  char *file;
  size_t len;
  char *folder = write_sample (&file, &len);
  size_t record_len = len / RECORDS;

  for (size_t cut = len; cut-- > 0;)
    {
      g_autoptr (GError) error = NULL;
      struct replayed replayed;
      struct hs_journal *journal;

      g_assert_cmpint (truncate (file, (off_t)cut), ==, 0);
      journal = open_journal (folder, &replayed, &error);
      g_assert_no_error (error);
      g_assert_cmpuint (replayed.len, ==, cut / record_len);
      if (cut % record_len == record_len / 2)
        {
          append (journal, "new rec.");
          hs_journal_close (journal);
          journal = open_journal (folder, &replayed, &error);
          g_assert_cmpuint (replayed.len, ==, cut / record_len + 1);
          g_assert_cmpstr (replayed.texts[replayed.len - 1], ==, "new rec.");
          cut = cut / record_len * record_len;
        }
      hs_journal_close (journal);
    }
  remove_sample (folder, file);
}

/* Any flipped bit before the last record is refused, with file and offset,
   and the file is left as it is.  */
static void
test_damaged (void)
{
  char *file;
  size_t len;
  char *folder = write_sample (&file, &len);
  size_t record_len = len / RECORDS;
  g_autofree char *bytes = NULL;

  g_file_get_contents (file, &bytes, NULL, NULL);
  for (size_t at = 0; at < len - record_len; at++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *wanted
          = g_strdup_printf ("%s: offset %zu: damaged record", file,
                             at / record_len * record_len);
      g_autofree char *after = NULL;
      gsize after_len;
      struct replayed replayed;

      bytes[at] ^= 0x10;
      g_file_set_contents (file, bytes, (gssize)len, NULL);
      g_assert_null (open_journal (folder, &replayed, &error));
      g_assert_error (error, HS_ERROR, HS_ERROR_MALFORMED);
      g_assert_cmpstr (error->message, ==, wanted);
      g_file_get_contents (file, &after, &after_len, NULL);
      g_assert_cmpmem (after, after_len, bytes, len);
      bytes[at] ^= 0x10;
    }
  remove_sample (folder, file);
}

/* The kernel may have lengthened the file before the bytes came.  */
static void
test_zeros (void)
{
  char *file;
  size_t len;
  char *folder = write_sample (&file, &len);
  g_autoptr (GError) error = NULL;
  struct replayed replayed;

  g_assert_cmpint (truncate (file, (off_t)len + 4096), ==, 0);
  hs_journal_close (open_journal (folder, &replayed, &error));
  g_assert_no_error (error);
  g_assert_cmpuint (replayed.len, ==, RECORDS);
  remove_sample (folder, file);
}

static void
test_no_folder (void)
{
  g_autoptr (GError) error = NULL;
  struct replayed replayed;

  g_assert_null (open_journal ("/nonexistent", &replayed, &error));
  g_assert_error (error, HS_ERROR, HS_ERROR_SYSTEM);
  g_assert_cmpstr (
      error->message, ==,
      "/nonexistent/journal: cannot open: No such file or directory");
}

/* Public definitions.  */

/* A whole image takes the place of all records, and what is appended then
   goes behind it.  */
static void
test_replaced (void)
{
  size_t len;
  char *file;
  char *folder = write_sample (&file, &len);
  struct replayed replayed;
  struct hs_journal *journal = open_journal (folder, &replayed, NULL);
  struct hs_journal_item items[]
      = { { (const uint8_t *)"one", 3 }, { (const uint8_t *)"two", 3 } };

  g_assert_cmpuint (hs_journal_size (journal), ==, len);
  g_assert_true (hs_journal_replace (journal, items, 2, NULL));
  append (journal, "three");
  hs_journal_close (journal);
  journal = open_journal (folder, &replayed, NULL);
  g_assert_cmpuint (replayed.len, ==, 3);
  g_assert_cmpstr (replayed.texts[0], ==, "one");
  g_assert_cmpstr (replayed.texts[2], ==, "three");
  hs_journal_close (journal);
  remove_sample (folder, file);
}

/* Where the new file cannot be written, the old records stay.  */
static void
test_not_replaced (void)
{
  size_t len;
  char *file;
  char *folder = write_sample (&file, &len);
  g_autofree char *in_the_way = g_strdup_printf ("%s.new", file);
  struct replayed replayed;
  struct hs_journal *journal = open_journal (folder, &replayed, NULL);
  struct hs_journal_item item = { (const uint8_t *)"one", 3 };
  g_autoptr (GError) error = NULL;

  g_mkdir (in_the_way, 0700);
  g_assert_false (hs_journal_replace (journal, &item, 1, &error));
  g_assert_error (error, HS_ERROR, HS_ERROR_SYSTEM);
  g_rmdir (in_the_way);
  append (journal, "six");
  hs_journal_close (journal);
  journal = open_journal (folder, &replayed, NULL);
  g_assert_cmpuint (replayed.len, ==, RECORDS + 1);
  g_assert_cmpstr (replayed.texts[RECORDS], ==, "six");
  hs_journal_close (journal);
  remove_sample (folder, file);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/journal/torn", test_torn);
  g_test_add_func ("/journal/damaged", test_damaged);
  g_test_add_func ("/journal/zeros", test_zeros);
  g_test_add_func ("/journal/no-folder", test_no_folder);
  g_test_add_func ("/journal/replaced", test_replaced);
  g_test_add_func ("/journal/not-replaced", test_not_replaced);
  return g_test_run ();
}
