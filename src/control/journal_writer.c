/* journal_writer.c -- the thread that writes the records of a replica to its
   journal.  */

#include "control/journal_writer.h"
#include "base/worker.h"

#include <talloc.h>

/* Types.  */

#define JOBS_QUEUED 1024 /* Capacity of the queue.  */
#define BATCH_MAX 64     /* Jobs per sync.  */
#define ITEMS_SIZE_INITIAL 4

struct hs_journal_writer
{
  struct hs_worker *worker;
  struct hs_journal *journal;
  struct hs_ring *queue;
  struct hs_ring *finished_jobs;
  size_t batch_len;
  struct hs_journal_job *batch[BATCH_MAX];
};

/* Private functions.  */

static void on_job (void *ctx, void *item);
static void finish_batch (void *ctx);
static bool write_batch (struct hs_journal_writer *writer, GError **error);

/* Public definitions.  */

struct hs_journal_writer *
hs_journal_writer_create (struct hs_journal *journal,
                          struct hs_ring *finished_jobs)
{
  struct hs_journal_writer *writer
      = talloc_zero (NULL, struct hs_journal_writer);

  writer->worker = hs_worker_create ("disk");
  writer->journal = journal;
  writer->queue = hs_ring_create (writer, JOBS_QUEUED);
  writer->finished_jobs = finished_jobs;
  hs_worker_watch_ring (writer->worker, writer->queue, on_job, writer);
  hs_worker_set_after_items (writer->worker, finish_batch, writer);
  return writer;
}

void
hs_journal_writer_destroy (struct hs_journal_writer *writer)
{
  void *item;

  while ((item = hs_ring_pop (writer->queue)) != NULL)
    talloc_free (item);
  hs_worker_destroy (writer->worker);
  talloc_free (writer);
}

void
hs_journal_writer_start (struct hs_journal_writer *writer)
{
  hs_worker_start (writer->worker);
}

void
hs_journal_writer_stop (struct hs_journal_writer *writer)
{
  hs_worker_stop (writer->worker);
}

bool
hs_journal_writer_push (struct hs_journal_writer *writer,
                        struct hs_journal_job *job)
{
  return hs_ring_push (writer->queue, job);
}

struct hs_journal_job *
hs_journal_job_create (void)
{
  struct hs_journal_job *job = talloc_zero (NULL, struct hs_journal_job);

  job->items_size = ITEMS_SIZE_INITIAL;
  job->items = talloc_array (job, struct hs_journal_item, job->items_size);
  return job;
}

void
hs_journal_job_add (struct hs_journal_job *job, uint8_t *data, size_t len)
{
  if (job->items_len == job->items_size)
    {
      job->items_size *= 2;
      job->items = talloc_realloc (job, job->items, struct hs_journal_item,
                                   job->items_size);
    }
  job->items[job->items_len].data = talloc_steal (job, data);
  job->items[job->items_len].len = len;
  job->items_len++;
}

/* Private definitions.  */

static void
on_job (void *ctx, void *item)
{
  struct hs_journal_writer *writer = ctx;
  struct hs_journal_job *job = item;

  /* A rewrite is a batch of its own.  Jobs queued before it are finished
     first; the new journal holds their records as well.  */
  if (job->is_rewrite || writer->batch_len == BATCH_MAX)
    finish_batch (writer);
  writer->batch[writer->batch_len++] = job;
  if (job->is_rewrite)
    finish_batch (writer);
}

static void
finish_batch (void *ctx)
{
  struct hs_journal_writer *writer = ctx;
  g_autoptr (GError) error = NULL;
  bool synced;

  if (writer->batch_len == 0)
    return;
  synced = write_batch (writer, &error);
  for (size_t i = 0; i < writer->batch_len; i++)
    {
      struct hs_journal_job *job = writer->batch[i];

      job->synced = synced;
      job->journal_size = hs_journal_size (writer->journal);
      if (!synced)
        job->error = talloc_strdup (job, error->message);
      if (!hs_ring_push (writer->finished_jobs, job))
        talloc_free (job);
    }
  writer->batch_len = 0;
}

static bool
write_batch (struct hs_journal_writer *writer, GError **error)
{
  struct hs_journal_item *items;
  size_t len = 0;
  bool written;

  if (writer->batch[0]->is_rewrite)
    return hs_journal_replace (writer->journal, writer->batch[0]->items,
                               writer->batch[0]->items_len, error);
  for (size_t i = 0; i < writer->batch_len; i++)
    len += writer->batch[i]->items_len;
  items = talloc_array (NULL, struct hs_journal_item, len);
  len = 0;
  for (size_t i = 0; i < writer->batch_len; i++)
    for (size_t k = 0; k < writer->batch[i]->items_len; k++)
      items[len++] = writer->batch[i]->items[k];
  written = hs_journal_append_batch (writer->journal, items, len, error)
            && hs_journal_sync (writer->journal, error);
  talloc_free (items);
  return written;
}
