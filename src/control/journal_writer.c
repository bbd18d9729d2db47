/* journal_writer.c -- the thread that keeps a replica's records on disk.  */

#include "control/journal_writer.h"
#include "base/worker.h"

#include <talloc.h>

/* Types.  */

#define JOBS_QUEUED 1024
#define GROUP_MAX 64 /* Jobs synced together.  */
#define ITEMS_FIRST 4

struct hs_journal_writer
{
  struct hs_worker *worker;
  struct hs_journal *journal;
  struct hs_ring *queue;
  struct hs_ring *finished_jobs;
  size_t batch_len;
  struct hs_journal_job *batch[GROUP_MAX];
};

/* Private functions.  */

static void on_job (void *ctx, void *item);
static void finish_group (void *ctx);
static bool write_group (struct hs_journal_writer *disk, GError **error);

/* Public definitions.  */

struct hs_journal_writer *
hs_journal_writer_create (struct hs_journal *journal, struct hs_ring *done)
{
  struct hs_journal_writer *disk
      = talloc_zero (NULL, struct hs_journal_writer);

  disk->worker = hs_worker_create ("disk");
  disk->journal = journal;
  disk->queue = hs_ring_create (disk, JOBS_QUEUED);
  disk->finished_jobs = done;
  hs_worker_watch_ring (disk->worker, disk->queue, on_job, disk);
  hs_worker_after_items (disk->worker, finish_group, disk);
  return disk;
}

void
hs_journal_writer_destroy (struct hs_journal_writer *disk)
{
  void *item;

  while ((item = hs_ring_pop (disk->queue)) != NULL)
    talloc_free (item);
  hs_worker_destroy (disk->worker);
  talloc_free (disk);
}

void
hs_journal_writer_start (struct hs_journal_writer *disk)
{
  hs_worker_start (disk->worker);
}

void
hs_journal_writer_stop (struct hs_journal_writer *disk)
{
  hs_worker_stop (disk->worker);
}

bool
hs_journal_writer_push (struct hs_journal_writer *disk,
                        struct hs_journal_job *job)
{
  return hs_ring_push (disk->queue, job);
}

struct hs_journal_job *
hs_journal_job_create (void)
{
  struct hs_journal_job *job = talloc_zero (NULL, struct hs_journal_job);

  job->items_size = ITEMS_FIRST;
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
  struct hs_journal_writer *disk = ctx;
  struct hs_journal_job *job = item;

  /* What was to be appended before is in the new file as well.  */
  if (job->is_rewrite || disk->batch_len == GROUP_MAX)
    finish_group (disk);
  disk->batch[disk->batch_len++] = job;
  if (job->is_rewrite)
    finish_group (disk);
}

static void
finish_group (void *ctx)
{
  struct hs_journal_writer *disk = ctx;
  g_autoptr (GError) error = NULL;
  bool synced;

  if (disk->batch_len == 0)
    return;
  synced = write_group (disk, &error);
  for (size_t i = 0; i < disk->batch_len; i++)
    {
      struct hs_journal_job *job = disk->batch[i];

      job->synced = synced;
      job->journal_size = hs_journal_size (disk->journal);
      if (!synced)
        job->error = talloc_strdup (job, error->message);
      if (!hs_ring_push (disk->finished_jobs, job))
        talloc_free (job);
    }
  disk->batch_len = 0;
}

static bool
write_group (struct hs_journal_writer *disk, GError **error)
{
  struct hs_journal_item *items;
  size_t len = 0;
  bool written;

  if (disk->batch[0]->is_rewrite)
    return hs_journal_replace (disk->journal, disk->batch[0]->items,
                               disk->batch[0]->items_len, error);
  for (size_t i = 0; i < disk->batch_len; i++)
    len += disk->batch[i]->items_len;
  items = talloc_array (NULL, struct hs_journal_item, len);
  len = 0;
  for (size_t i = 0; i < disk->batch_len; i++)
    for (size_t k = 0; k < disk->batch[i]->items_len; k++)
      items[len++] = disk->batch[i]->items[k];
  written = hs_journal_append_batch (disk->journal, items, len, error)
            && hs_journal_sync (disk->journal, error);
  talloc_free (items);
  return written;
}
