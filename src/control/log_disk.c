/* log_disk.c -- the thread that keeps a replica's records on disk.  */

#include "control/log_disk.h"
#include "base/duty.h"

#include <talloc.h>

/* Types.  */

#define JOBS_QUEUED 1024
#define GROUP_MAX 64 /* Jobs synced together.  */
#define ITEMS_FIRST 4

struct hs_log_disk
{
  struct hs_duty *duty;
  struct hs_journal *journal;
  struct hs_ring *in;
  struct hs_ring *done;
  size_t len;
  struct hs_log_job *group[GROUP_MAX];
};

/* Private functions.  */

static void on_job (void *ctx, void *item);
static void finish_group (void *ctx);
static bool write_group (struct hs_log_disk *disk, GError **error);

/* Public definitions.  */

struct hs_log_disk *
hs_log_disk_create (struct hs_journal *journal, struct hs_ring *done)
{
  struct hs_log_disk *disk = talloc_zero (NULL, struct hs_log_disk);

  disk->duty = hs_duty_create ("disk");
  disk->journal = journal;
  disk->in = hs_ring_create (disk, JOBS_QUEUED);
  disk->done = done;
  hs_duty_watch_ring (disk->duty, disk->in, on_job, disk);
  hs_duty_after_items (disk->duty, finish_group, disk);
  return disk;
}

void
hs_log_disk_destroy (struct hs_log_disk *disk)
{
  void *item;

  while ((item = hs_ring_pop (disk->in)) != NULL)
    talloc_free (item);
  hs_duty_destroy (disk->duty);
  talloc_free (disk);
}

void
hs_log_disk_start (struct hs_log_disk *disk)
{
  hs_duty_start (disk->duty);
}

void
hs_log_disk_stop (struct hs_log_disk *disk)
{
  hs_duty_stop (disk->duty);
}

bool
hs_log_disk_push (struct hs_log_disk *disk, struct hs_log_job *job)
{
  return hs_ring_push (disk->in, job);
}

struct hs_log_job *
hs_log_job_create (void)
{
  struct hs_log_job *job = talloc_zero (NULL, struct hs_log_job);

  job->size = ITEMS_FIRST;
  job->items = talloc_array (job, struct hs_journal_item, job->size);
  return job;
}

void
hs_log_job_add (struct hs_log_job *job, uint8_t *data, size_t len)
{
  if (job->len == job->size)
    {
      job->size *= 2;
      job->items = talloc_realloc (job, job->items, struct hs_journal_item,
                                   job->size);
    }
  job->items[job->len].data = talloc_steal (job, data);
  job->items[job->len].len = len;
  job->len++;
}

/* Private definitions.  */

static void
on_job (void *ctx, void *item)
{
  struct hs_log_disk *disk = ctx;
  struct hs_log_job *job = item;

  /* What was to be appended before is in the new file as well.  */
  if (job->replaces || disk->len == GROUP_MAX)
    finish_group (disk);
  disk->group[disk->len++] = job;
  if (job->replaces)
    finish_group (disk);
}

static void
finish_group (void *ctx)
{
  struct hs_log_disk *disk = ctx;
  g_autoptr (GError) error = NULL;
  bool synced;

  if (disk->len == 0)
    return;
  synced = write_group (disk, &error);
  for (size_t i = 0; i < disk->len; i++)
    {
      struct hs_log_job *job = disk->group[i];

      job->synced = synced;
      job->journal_size = hs_journal_size (disk->journal);
      if (!synced)
        job->problem = talloc_strdup (job, error->message);
      if (!hs_ring_push (disk->done, job))
        talloc_free (job);
    }
  disk->len = 0;
}

static bool
write_group (struct hs_log_disk *disk, GError **error)
{
  struct hs_journal_item *items;
  size_t len = 0;
  bool written;

  if (disk->group[0]->replaces)
    return hs_journal_replace (disk->journal, disk->group[0]->items,
                               disk->group[0]->len, error);
  for (size_t i = 0; i < disk->len; i++)
    len += disk->group[i]->len;
  items = talloc_array (NULL, struct hs_journal_item, len);
  len = 0;
  for (size_t i = 0; i < disk->len; i++)
    for (size_t k = 0; k < disk->group[i]->len; k++)
      items[len++] = disk->group[i]->items[k];
  written = hs_journal_append_batch (disk->journal, items, len, error)
            && hs_journal_sync (disk->journal, error);
  talloc_free (items);
  return written;
}
