/* disk_writer.c -- the thread that writes the journal and the audit log of
   hibiscusspan-control.  */

#include "control/disk_writer.h"
#include "base/auto.h"
#include "base/worker.h"

/* Types.  */

#define RECORDS_QUEUED 4096 /* Capacity of the queue.  */
#define BATCH_MAX 256       /* Records per sync.  */

struct hs_disk_writer
{
  struct hs_worker *worker;
  struct hs_journal *journal;
  struct hs_audit *audit;
  struct hs_ring *queue;
  struct hs_ring *written_records;
  struct hs_log *log;
  size_t batch_len;
  struct hs_disk_record *batch[BATCH_MAX];
};

/* Private functions.  */

static void on_record (void *ctx, void *item);
static void finish_batch (void *ctx);
static void write_record (struct hs_disk_writer *writer,
                          struct hs_disk_record *record);
static void write_audit_line (struct hs_disk_writer *writer,
                              struct hs_disk_record *record);
static void sync_batch (struct hs_disk_writer *writer);
static void log_error (struct hs_disk_writer *writer, const char *event,
                       const GError *error);

/* Public definitions.  */

struct hs_disk_writer *
hs_disk_writer_create (struct hs_journal *journal, struct hs_audit *audit,
                       struct hs_ring *written_records, struct hs_log *log)
{
  struct hs_disk_writer *writer = talloc_zero (NULL, struct hs_disk_writer);

  writer->worker = hs_worker_create ("disk");
  writer->journal = journal;
  writer->audit = audit;
  writer->queue = hs_ring_create (writer, RECORDS_QUEUED);
  writer->written_records = written_records;
  writer->log = log;
  hs_worker_watch_ring (writer->worker, writer->queue, on_record, writer);
  hs_worker_set_after_items (writer->worker, finish_batch, writer);
  return writer;
}

void
hs_disk_writer_destroy (struct hs_disk_writer *writer)
{
  hs_worker_destroy (writer->worker);
  talloc_free (writer);
}

void
hs_disk_writer_start (struct hs_disk_writer *writer)
{
  hs_worker_start (writer->worker);
}

void
hs_disk_writer_stop (struct hs_disk_writer *writer)
{
  hs_worker_stop (writer->worker);
}

void
hs_disk_writer_flush (struct hs_disk_writer *writer)
{
  void *item;

  while ((item = hs_ring_pop (writer->queue)) != NULL)
    on_record (writer, item);
  finish_batch (writer);
}

bool
hs_disk_writer_push (struct hs_disk_writer *writer,
                     struct hs_disk_record *record)
{
  return hs_ring_push (writer->queue, record);
}

/* Private definitions.  */

static void
on_record (void *ctx, void *item)
{
  struct hs_disk_writer *writer = ctx;
  struct hs_disk_record *record = item;

  if (record->audit_line != NULL)
    {
      write_audit_line (writer, record);
      return;
    }
  write_record (writer, record);
  writer->batch[writer->batch_len++] = record;
  if (writer->batch_len == BATCH_MAX)
    finish_batch (writer);
}

static void
finish_batch (void *ctx)
{
  struct hs_disk_writer *writer = ctx;

  if (writer->batch_len == 0)
    return;
  sync_batch (writer);
  for (size_t i = 0; i < writer->batch_len; i++)
    hs_ring_push (writer->written_records, writer->batch[i]);
  writer->batch_len = 0;
}

static void
write_record (struct hs_disk_writer *writer, struct hs_disk_record *record)
{
  g_autoptr (GError) error = NULL;

  record->verdict = (struct hs_verdict){ HS_OUTCOME_RAN, HS_REASON_NONE };
  if (hs_journal_append (writer->journal, record->data, record->len, &error))
    return;
  record->verdict
      = (struct hs_verdict){ HS_OUTCOME_NOT_RUN, HS_REASON_STORAGE };
  log_error (writer, "journal-append-failed", error);
}

static void
write_audit_line (struct hs_disk_writer *writer, struct hs_disk_record *record)
{
  g_autoptr (GError) error = NULL;

  if (!hs_audit_append (writer->audit, record->audit_line, &error)
      || !hs_audit_sync (writer->audit, &error))
    log_error (writer, "audit-append-failed", error);
  talloc_free (record);
}

static void
sync_batch (struct hs_disk_writer *writer)
{
  g_autoptr (GError) error = NULL;

  if (hs_journal_sync (writer->journal, &error))
    return;
  log_error (writer, "journal-sync-failed", error);
  for (size_t i = 0; i < writer->batch_len; i++)
    if (writer->batch[i]->verdict.outcome == HS_OUTCOME_RAN)
      writer->batch[i]->verdict
          = (struct hs_verdict){ HS_OUTCOME_MAY_HAVE_RUN, HS_REASON_STORAGE };
}

static void
log_error (struct hs_disk_writer *writer, const char *event,
           const GError *error)
{
  hs_log_write (writer->log, HS_LOG_ERROR, event, "{s:s}", "error",
                error->message);
}
