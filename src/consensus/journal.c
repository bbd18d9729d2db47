/* journal.c -- an append-only file of records.

   A record is a header of 12 bytes followed by its data.  The header has
   three little-endian words of 32 bits: the length of the data, the CRC-32 of
   the data, and the CRC-32 of the first two words.  The checksum of the header
   protects the length, so that damage within the file cannot be mistaken for
   an incomplete write at its end.  */

#include "consensus/journal.h"
#include "base/auto.h"

#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <zlib.h>

/* Types.  */

#define HEADER_WORDS 3
#define HEADER_SIZE (HEADER_WORDS * sizeof (uint32_t))
/* Offset of the header's own CRC, which covers the bytes before it.  */
#define HEADER_CRC_OFFSET (2 * sizeof (uint32_t))
#define FILE_NAME "journal"
#define NEW_SUFFIX ".new"

struct hs_journal
{
  char *folder;
  char *path;
  int fd;
  off_t end_offset; /* Offset after the last complete record.  */
  bool failed;      /* Appends and syncs are refused: the content on disk is
                       not known.  */
};

struct header
{
  uint32_t len;
  uint32_t crc;
};

enum read_result
{
  READ_RECORD,
  READ_END,  /* No bytes are left.  */
  READ_TORN, /* The rest may be an incomplete write.  */
  READ_DAMAGED
};

/* Private functions.  */

static int destructor (struct hs_journal *journal);
static bool open_file (struct hs_journal *journal, const char *folder,
                       GError **error);
static bool sync_folder (const char *folder, GError **error);
static bool replay (struct hs_journal *journal, hs_journal_replay_fn *fn,
                    void *ctx, GError **error);
static enum read_result read_record (const uint8_t *data, size_t len,
                                     struct header *header);
static bool is_zero (const uint8_t *data, size_t len);
static uint8_t *read_file (struct hs_journal *journal, size_t *len,
                           GError **error);
static bool write_all (int fd, const uint8_t *data, size_t len);
static uint8_t *encode_items (const struct hs_journal_item *items, size_t len,
                              size_t *bytes_len);
static bool set_system_error (const struct hs_journal *journal,
                              const char *operation, GError **error);

/* Public definitions.  */

struct hs_journal *
hs_journal_open (void *parent, const char *folder, hs_journal_replay_fn *fn,
                 void *ctx, GError **error)
{
  struct hs_journal *journal = talloc_zero (parent, struct hs_journal);

  journal->fd = -1;
  talloc_set_destructor (journal, destructor);
  journal->folder = talloc_strdup (journal, folder);
  journal->path = talloc_asprintf (journal, "%s/%s", folder, FILE_NAME);
  if (open_file (journal, folder, error) && replay (journal, fn, ctx, error))
    return journal;
  talloc_free (journal);
  return NULL;
}

void
hs_journal_close (struct hs_journal *journal)
{
  talloc_free (journal);
}

bool
hs_journal_append (struct hs_journal *journal, const uint8_t *data, size_t len,
                   GError **error)
{
  struct hs_journal_item item = { data, len };

  return hs_journal_append_batch (journal, &item, 1, error);
}

bool
hs_journal_append_batch (struct hs_journal *journal,
                         const struct hs_journal_item *items, size_t len,
                         GError **error)
{
  size_t bytes_len;
  HS_AUTO_TALLOC uint8_t *bytes = encode_items (items, len, &bytes_len);

  if (journal->failed)
    {
      errno = EIO;
      return set_system_error (journal, "append after a failed write or sync",
                               error);
    }
  if (write_all (journal->fd, bytes, bytes_len))
    {
      journal->end_offset += (off_t)bytes_len;
      return true;
    }
  set_system_error (journal, "append", error);
  /* Part of a record must not remain in front of the next one.  */
  if (ftruncate (journal->fd, journal->end_offset) != 0
      || lseek (journal->fd, journal->end_offset, SEEK_SET) < 0)
    journal->failed = true;
  return false;
}

bool
hs_journal_replace (struct hs_journal *journal,
                    const struct hs_journal_item *items, size_t len,
                    GError **error)
{
  HS_AUTO_TALLOC char *path
      = talloc_asprintf (NULL, "%s%s", journal->path, NEW_SUFFIX);
  size_t bytes_len;
  HS_AUTO_TALLOC uint8_t *bytes = encode_items (items, len, &bytes_len);
  int fd = open (path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

  if (fd < 0)
    return set_system_error (journal, "replace", error);
  if (!write_all (fd, bytes, bytes_len) || fsync (fd) != 0
      || rename (path, journal->path) != 0)
    {
      set_system_error (journal, "replace", error);
      close (fd);
      return false;
    }
  close (journal->fd);
  journal->fd = fd;
  journal->end_offset = (off_t)bytes_len;
  /* Until the rename is durable, a power loss may bring back the old file and
     lose what was appended to the new one.  */
  journal->failed = !sync_folder (journal->folder, error);
  return !journal->failed;
}

size_t
hs_journal_size (const struct hs_journal *journal)
{
  return (size_t)journal->end_offset;
}

bool
hs_journal_sync (struct hs_journal *journal, GError **error)
{
  if (!journal->failed && fdatasync (journal->fd) == 0)
    return true;
  journal->failed = true;
  return set_system_error (journal, "sync", error);
}

/* Private definitions.  */

static int
destructor (struct hs_journal *journal)
{
  if (journal->fd >= 0)
    close (journal->fd);
  return 0;
}

static bool
open_file (struct hs_journal *journal, const char *folder, GError **error)
{
  journal->fd = open (journal->path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (journal->fd < 0)
    return set_system_error (journal, "open", error);
  return sync_folder (folder, error);
}

static bool
sync_folder (const char *folder, GError **error)
{
  HS_AUTO_FD int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

  if (fd >= 0 && fsync (fd) == 0)
    return true;
  g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM, "%s: cannot sync: %s", folder,
               strerror (errno));
  return false;
}

static bool
replay (struct hs_journal *journal, hs_journal_replay_fn *fn, void *ctx,
        GError **error)
{
  size_t len;
  size_t offset = 0;
  HS_AUTO_TALLOC uint8_t *data = read_file (journal, &len, error);
  enum read_result result;
  struct header header;

  if (data == NULL)
    return false;
  while ((result = read_record (data + offset, len - offset, &header))
         == READ_RECORD)
    {
      if (!fn (ctx, data + offset + HEADER_SIZE, header.len, error))
        {
          g_prefix_error (error, "%s: offset %zu: ", journal->path, offset);
          return false;
        }
      offset += HEADER_SIZE + header.len;
    }
  if (result == READ_DAMAGED)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_MALFORMED,
                   "%s: offset %zu: damaged record", journal->path, offset);
      return false;
    }
  journal->end_offset = (off_t)offset;
  if (ftruncate (journal->fd, journal->end_offset) != 0
      || lseek (journal->fd, journal->end_offset, SEEK_SET) < 0
      || fsync (journal->fd) != 0)
    return set_system_error (journal, "truncate", error);
  return true;
}

/* Checks the record at the start of the LEN bytes at DATA.  An interrupted
   append leaves part of one record at the end of the file, and the kernel may
   have extended the file with zeros before it wrote the data.  Any other
   checksum that doesn't match is damage.  */
static enum read_result
read_record (const uint8_t *data, size_t len, struct header *header)
{
  uint32_t words[HEADER_WORDS];

  if (len == 0)
    return READ_END;
  if (len < HEADER_SIZE)
    return READ_TORN;
  memcpy (words, data, HEADER_SIZE);
  if (crc32 (0, data, HEADER_CRC_OFFSET) != le32toh (words[2]))
    return is_zero (data + HEADER_CRC_OFFSET, len - HEADER_CRC_OFFSET)
               ? READ_TORN
               : READ_DAMAGED;
  header->len = le32toh (words[0]);
  header->crc = le32toh (words[1]);
  if (header->len > len - HEADER_SIZE)
    return READ_TORN;
  if (crc32 (0, data + HEADER_SIZE, header->len) == header->crc)
    return READ_RECORD;
  return header->len == len - HEADER_SIZE
                 || is_zero (data + HEADER_SIZE + header->len,
                             len - HEADER_SIZE - header->len)
             ? READ_TORN
             : READ_DAMAGED;
}

static bool
is_zero (const uint8_t *data, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if (data[i] != 0)
      return false;
  return true;
}

static uint8_t *
read_file (struct hs_journal *journal, size_t *len, GError **error)
{
  struct stat st;
  uint8_t *data;
  size_t done = 0;

  if (fstat (journal->fd, &st) != 0)
    {
      set_system_error (journal, "stat", error);
      return NULL;
    }
  *len = (size_t)st.st_size;
  data = talloc_array (journal, uint8_t, *len + 1);
  while (done < *len)
    {
      ssize_t count
          = pread (journal->fd, data + done, *len - done, (off_t)done);

      if (count <= 0)
        {
          set_system_error (journal, "read", error);
          talloc_free (data);
          return NULL;
        }
      done += (size_t)count;
    }
  return data;
}

static bool
write_all (int fd, const uint8_t *data, size_t len)
{
  size_t done = 0;

  while (done < len)
    {
      ssize_t count = write (fd, data + done, len - done);

      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        return false;
      done += (size_t)count;
    }
  return true;
}

/* Returns ITEMS in the format of the file, *BYTES_LEN bytes.  */
static uint8_t *
encode_items (const struct hs_journal_item *items, size_t len,
              size_t *bytes_len)
{
  uint8_t *bytes;
  uint8_t *end;

  *bytes_len = 0;
  for (size_t i = 0; i < len; i++)
    *bytes_len += HEADER_SIZE + items[i].len;
  bytes = talloc_array (NULL, uint8_t, *bytes_len);
  end = bytes;
  for (size_t i = 0; i < len; i++)
    {
      uint32_t header[HEADER_WORDS];

      header[0] = htole32 ((uint32_t)items[i].len);
      header[1]
          = htole32 ((uint32_t)crc32 (0, items[i].data, (uInt)items[i].len));
      header[2] = htole32 (
          (uint32_t)crc32 (0, (const Bytef *)header, HEADER_CRC_OFFSET));
      memcpy (end, header, HEADER_SIZE);
      memcpy (end + HEADER_SIZE, items[i].data, items[i].len);
      end += HEADER_SIZE + items[i].len;
    }
  return bytes;
}

static bool
set_system_error (const struct hs_journal *journal, const char *operation,
                  GError **error)
{
  g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM, "%s: cannot %s: %s",
               journal->path, operation, strerror (errno));
  return false;
}
