/* group_store.c -- the log on its way to disk, and the configuration out of
   it.  */

#include "base/auto.h"
#include "control/group_state.h"

/* Types.  */

/* Size at which the journal is written anew: some two hundred
   configurations, a small part of the disk.  */
#define JOURNAL_MAX (4 * 1024 * 1024)

/* Between two tries to write to a disk that has failed.  */
#define DISK_RETRY_MS 500

/* Private functions.  */

static void set_stored (struct hs_group *group, const uint8_t *data,
                        size_t len);
static void fail_disk (struct hs_group *group, const char *problem);

/* Public definitions.  */

void
hs_group_on_job (void *ctx, void *item)
{
  struct hs_group *group = ctx;
  HS_AUTO_TALLOC struct hs_log_job *job = item;

  hs_counter_set (group->counts.journal, job->journal_size);
  if (job->replaces)
    group->image_asked = false;
  if (!job->synced)
    {
      fail_disk (group, job->problem);
      return;
    }
  /* Appends behind a failed one say nothing; only a whole image does.  */
  if (group->disk_failed && !job->replaces)
    return;
  if (group->disk_failed)
    {
      group->disk_failed = false;
      hs_log_write (group->log, HS_LOG_INFO, "disk-regained", NULL);
      hs_replica_set_disk_usable (group->replica, true);
    }
  hs_histogram_add (group->counts.sync, hs_clock_now () - job->asked_at);
  hs_replica_synced (group->replica, job->seq, hs_clock_now ());
  if (job->journal_size > JOURNAL_MAX && !group->image_asked)
    {
      group->replaces = true;
      hs_replica_rewrite (group->replica);
    }
}

void
hs_group_on_disk_retry (void *ctx, uint64_t now)
{
  struct hs_group *group = ctx;

  (void)now;
  if (!group->disk_failed || group->image_asked)
    return;
  group->replaces = true;
  hs_replica_rewrite (group->replica);
}

void
hs_group_on_write (void *ctx, const struct hs_replica_record *record)
{
  struct hs_group *group = ctx;
  size_t len;
  uint8_t *data;

  if (group->job == NULL)
    group->job = hs_log_job_create ();
  data = hs_replica_record_encode (group->job, record, &len);
  hs_log_job_add (group->job, data, len);
}

void
hs_group_on_disk_sync (void *ctx, uint64_t seq)
{
  struct hs_group *group = ctx;
  struct hs_log_job *job = group->job;

  if (job == NULL)
    job = hs_log_job_create ();
  group->job = NULL;
  job->seq = seq;
  job->asked_at = hs_clock_now ();
  job->replaces = group->replaces;
  group->image_asked = group->image_asked || group->replaces;
  group->replaces = false;
  if (hs_log_disk_push (group->disk, job))
    return;
  if (job->replaces)
    group->image_asked = false;
  talloc_free (job);
  fail_disk (group, "too many writes wait for the disk");
}

void
hs_group_on_apply (void *ctx, const struct hs_replica_log_entry *entry)
{
  struct hs_group *group = ctx;

  set_stored (group, entry->data, entry->len);
}

void
hs_group_on_restore (void *ctx, const uint8_t *data, size_t len)
{
  struct hs_group *group = ctx;

  set_stored (group, data, len);
}

uint8_t *
hs_group_on_save (void *ctx, void *parent, size_t *len)
{
  struct hs_group *group = ctx;

  *len = 0;
  if (group->stored == NULL)
    return NULL;
  return hs_stored_configuration_encode (parent, group->stored, len);
}

/* Private definitions.  */

static void
set_stored (struct hs_group *group, const uint8_t *data, size_t len)
{
  g_autoptr (GError) error = NULL;
  struct hs_stored_configuration *stored
      = hs_stored_configuration_decode (group->decide, data, len, &error);

  if (stored == NULL)
    {
      hs_log_write (group->log, HS_LOG_ERROR, "configuration-unreadable",
                    "{s:s}", "error", error->message);
      return;
    }
  if (group->stored != NULL && stored->version <= group->stored->version)
    {
      talloc_free (stored);
      return;
    }
  if (group->stored != NULL)
    hs_group_keep_history (group, group->stored);
  group->stored = stored;
  if (stored->version > group->proposed)
    group->proposed = stored->version;
  hs_counter_set (group->counts.version, stored->version);
  hs_log_write (group->log, HS_LOG_INFO, "configuration-in-force",
                "{s:I, s:I}", "version", (json_int_t)stored->version, "bytes",
                (json_int_t)stored->routes_len);
}

static void
fail_disk (struct hs_group *group, const char *problem)
{
  if (!group->disk_failed)
    hs_log_write (group->log, HS_LOG_ERROR, "disk-lost", "{s:s}", "error",
                  problem);
  group->disk_failed = true;
  hs_replica_set_disk_usable (group->replica, false);
  hs_timer_start (group->timers, &group->disk_retry,
                  hs_clock_now () + DISK_RETRY_MS);
}
