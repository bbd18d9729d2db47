/* disk_writer.c -- the thread that writes a control host's files.  */

#include "control/disk_writer.h"
#include "base/auto.h"
#include "base/worker.h"

/* Types.  */

#define RECORDS_QUEUED 4096
#define GROUP_MAX 256 /* Records synced together.  */

struct hs_disk_writer
{
  struct hs_worker *worker;
  struct hs_journal *journal;
  struct hs_audit *audit;
  struct hs_ring *queue;
  struct hs_ring *written_records;
  struct hs_log *log;
  size_t batch_len;
  struct hs_disk_record *batch[GROUP_MAX];
};

/* Private functions.  */

static void on_record (void *ctx, void *item);
static void finish_group (void *ctx);
static void write_record (struct hs_disk_writer *disk,
                          struct hs_disk_record *record);
static void write_audit_line (struct hs_disk_writer *disk,
                              struct hs_disk_record *record);
static void sync_group (struct hs_disk_writer *disk);
static void report (struct hs_disk_writer *disk, const char *event,
                    const GError *error);

/* Public definitions.  */

struct hs_disk_writer *
hs_disk_writer_create (struct hs_journal *journal, struct hs_audit *audit,
                       struct hs_ring *written, struct hs_log *log)
{
  struct hs_disk_writer *disk = talloc_zero (NULL, struct hs_disk_writer);

  disk->worker = hs_worker_create ("disk");
  disk->journal = journal;
  disk->audit = audit;
  disk->queue = hs_ring_create (disk, RECORDS_QUEUED);
  disk->written_records = written;
  disk->log = log;
  hs_worker_watch_ring (disk->worker, disk->queue, on_record, disk);
  hs_worker_after_items (disk->worker, finish_group, disk);
  return disk;
}

void
hs_disk_writer_destroy (struct hs_disk_writer *disk)
{
  hs_worker_destroy (disk->worker);
  talloc_free (disk);
}

void
hs_disk_writer_start (struct hs_disk_writer *disk)
{
  hs_worker_start (disk->worker);
}

void
hs_disk_writer_stop (struct hs_disk_writer *disk)
{
  hs_worker_stop (disk->worker);
}

void
hs_disk_writer_flush (struct hs_disk_writer *disk)
{
  void *item;

  while ((item = hs_ring_pop (disk->queue)) != NULL)
    on_record (disk, item);
  finish_group (disk);
}

bool
hs_disk_writer_push (struct hs_disk_writer *disk,
                     struct hs_disk_record *record)
{
  return hs_ring_push (disk->queue, record);
}

/* Private definitions.  */

static void
on_record (void *ctx, void *item)
{
  struct hs_disk_writer *disk = ctx;
  struct hs_disk_record *record = item;

  if (record->audit_line != NULL)
    {
      write_audit_line (disk, record);
      return;
    }
  write_record (disk, record);
  disk->batch[disk->batch_len++] = record;
  if (disk->batch_len == GROUP_MAX)
    finish_group (disk);
}

static void
finish_group (void *ctx)
{
  struct hs_disk_writer *disk = ctx;

  if (disk->batch_len == 0)
    return;
  sync_group (disk);
  for (size_t i = 0; i < disk->batch_len; i++)
    hs_ring_push (disk->written_records, disk->batch[i]);
  disk->batch_len = 0;
}

static void
write_record (struct hs_disk_writer *disk, struct hs_disk_record *record)
{
  g_autoptr (GError) error = NULL;

  record->verdict = (struct hs_verdict){ HS_OUTCOME_RAN, HS_REASON_NONE };
  if (hs_journal_append (disk->journal, record->data, record->len, &error))
    return;
  record->verdict
      = (struct hs_verdict){ HS_OUTCOME_NOT_RUN, HS_REASON_STORAGE };
  report (disk, "journal-append-failed", error);
}

static void
write_audit_line (struct hs_disk_writer *disk, struct hs_disk_record *record)
{
  g_autoptr (GError) error = NULL;

  if (!hs_audit_append (disk->audit, record->audit_line, &error)
      || !hs_audit_sync (disk->audit, &error))
    report (disk, "audit-append-failed", error);
  talloc_free (record);
}

static void
sync_group (struct hs_disk_writer *disk)
{
  g_autoptr (GError) error = NULL;

  if (hs_journal_sync (disk->journal, &error))
    return;
  report (disk, "journal-sync-failed", error);
  for (size_t i = 0; i < disk->batch_len; i++)
    if (disk->batch[i]->verdict.outcome == HS_OUTCOME_RAN)
      disk->batch[i]->verdict
          = (struct hs_verdict){ HS_OUTCOME_MAY_HAVE_RUN, HS_REASON_STORAGE };
}

static void
report (struct hs_disk_writer *disk, const char *event, const GError *error)
{
  hs_log_write (disk->log, HS_LOG_ERROR, event, "{s:s}", "error",
                error->message);
}
