/* test_journal.c -- the journal file: an incomplete record at the end is cut
   off, damage elsewhere is an error, and replacing all records succeeds or
   leaves the old ones.  */

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
create_sample (char **file, size_t *len)
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

/* A crash during an append can leave the file cut at any byte.  All complete
   records before the cut must load, and the next record must follow them.  */
static void
test_incomplete_record (void)
{
  char *file;
  size_t len;
  char *folder = create_sample (&file, &len);
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

/* A changed byte in any record but the last must be an error that names file
   and offset, and must leave the file unchanged.  */
static void
test_damaged (void)
{
  char *file;
  size_t len;
  char *folder = create_sample (&file, &len);
  size_t record_len = len / RECORDS;
  g_autofree char *bytes = NULL;

  g_file_get_contents (file, &bytes, NULL, NULL);
  for (size_t offset = 0; offset < len - record_len; offset++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *expected
          = g_strdup_printf ("%s: offset %zu: damaged record", file,
                             offset / record_len * record_len);
      g_autofree char *after = NULL;
      gsize after_len;
      struct replayed replayed;

      bytes[offset] ^= 0x10;
      g_file_set_contents (file, bytes, (gssize)len, NULL);
      g_assert_null (open_journal (folder, &replayed, &error));
      g_assert_error (error, HS_ERROR, HS_ERROR_MALFORMED);
      g_assert_cmpstr (error->message, ==, expected);
      g_file_get_contents (file, &after, &after_len, NULL);
      g_assert_cmpmem (after, after_len, bytes, len);
      bytes[offset] ^= 0x10;
    }
  remove_sample (folder, file);
}

/* After a power loss the file may end in zeros: the kernel may extend it
   before it writes the data.  */
static void
test_trailing_zeros (void)
{
  char *file;
  size_t len;
  char *folder = create_sample (&file, &len);
  g_autoptr (GError) error = NULL;
  struct replayed replayed;

  g_assert_cmpint (truncate (file, (off_t)len + 4096), ==, 0);
  hs_journal_close (open_journal (folder, &replayed, &error));
  g_assert_no_error (error);
  g_assert_cmpuint (replayed.len, ==, RECORDS);
  remove_sample (folder, file);
}

static void
test_missing_folder (void)
{
  g_autoptr (GError) error = NULL;
  struct replayed replayed;

  g_assert_null (open_journal ("/nonexistent", &replayed, &error));
  g_assert_error (error, HS_ERROR, HS_ERROR_SYSTEM);
  g_assert_cmpstr (
      error->message, ==,
      "/nonexistent/journal: cannot open: No such file or directory");
}

/* hs_journal_replace must replace all records, and later appends must follow
   the new ones.  */
static void
test_replace (void)
{
  size_t len;
  char *file;
  char *folder = create_sample (&file, &len);
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

/* If the new file cannot be written, the old records must stay.  */
static void
test_replace_fails (void)
{
  size_t len;
  char *file;
  char *folder = create_sample (&file, &len);
  g_autofree char *blocking_folder = g_strdup_printf ("%s.new", file);
  struct replayed replayed;
  struct hs_journal *journal = open_journal (folder, &replayed, NULL);
  struct hs_journal_item item = { (const uint8_t *)"one", 3 };
  g_autoptr (GError) error = NULL;

  g_mkdir (blocking_folder, 0700);
  g_assert_false (hs_journal_replace (journal, &item, 1, &error));
  g_assert_error (error, HS_ERROR, HS_ERROR_SYSTEM);
  g_rmdir (blocking_folder);
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
  g_test_add_func ("/journal/torn", test_incomplete_record);
  g_test_add_func ("/journal/damaged", test_damaged);
  g_test_add_func ("/journal/zeros", test_trailing_zeros);
  g_test_add_func ("/journal/no-folder", test_missing_folder);
  g_test_add_func ("/journal/replaced", test_replace);
  g_test_add_func ("/journal/not-replaced", test_replace_fails);
  return g_test_run ();
}
