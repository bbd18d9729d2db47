/* group_store.c -- writes the replicated log to disk, and puts committed
   configurations in force.  */

#include "base/auto.h"
#include "control/group_state.h"

/* Types.  */

/* Bytes after which the journal is rewritten: about 200 configurations, and
   small compared to the disk.  */
#define JOURNAL_SIZE_MAX (4 * 1024 * 1024)

/* Time between attempts to write to a disk that has failed.  */
#define DISK_RETRY_MS 500

/* Private functions.  */

static void set_current (struct hs_group *group,
                         struct hs_stored_configuration *stored);
static void log_unreadable (struct hs_group *group, const GError *error);
static void mark_disk_failed (struct hs_group *group, const char *message);

/* Public definitions.  */

void
hs_group_on_job_done (void *ctx, void *item)
{
  struct hs_group *group = ctx;
  HS_AUTO_TALLOC struct hs_journal_job *job = item;

  hs_counter_set (group->metrics.journal_bytes, job->journal_size);
  if (job->is_rewrite)
    group->rewrite_in_progress = false;
  if (!job->synced)
    {
      mark_disk_failed (group, job->error);
      return;
    }
  /* An append after a failed one does not show that the records before it are
     on disk; only a rewrite of the whole journal does.  */
  if (group->disk_failed && !job->is_rewrite)
    return;
  if (group->disk_failed)
    {
      group->disk_failed = false;
      hs_log_write (group->log, HS_LOG_INFO, "disk-regained", NULL);
      hs_replica_set_disk_usable (group->replica, true);
    }
  hs_histogram_observe (group->metrics.sync_ms,
                        hs_clock_monotonic () - job->queued_at);
  hs_replica_synced (group->replica, job->sync_seq, hs_clock_monotonic ());
  if (job->journal_size > JOURNAL_SIZE_MAX && !group->rewrite_in_progress)
    {
      group->rewrite_next = true;
      hs_replica_rewrite (group->replica);
    }
}

void
hs_group_on_disk_retry (void *ctx, uint64_t now)
{
  struct hs_group *group = ctx;

  (void)now;
  if (!group->disk_failed || group->rewrite_in_progress)
    return;
  group->rewrite_next = true;
  hs_replica_rewrite (group->replica);
}

void
hs_group_on_write_record (void *ctx, const struct hs_replica_record *record)
{
  struct hs_group *group = ctx;
  size_t len;
  uint8_t *data;

  if (group->open_job == NULL)
    group->open_job = hs_journal_job_create ();
  data = hs_replica_record_encode (group->open_job, record, &len);
  hs_journal_job_add (group->open_job, data, len);
}

void
hs_group_on_sync_log (void *ctx, uint64_t seq)
{
  struct hs_group *group = ctx;
  struct hs_journal_job *job = group->open_job;

  if (job == NULL)
    job = hs_journal_job_create ();
  group->open_job = NULL;
  job->sync_seq = seq;
  job->queued_at = hs_clock_monotonic ();
  job->is_rewrite = group->rewrite_next;
  group->rewrite_in_progress
      = group->rewrite_in_progress || group->rewrite_next;
  group->rewrite_next = false;
  if (hs_journal_writer_push (group->journal_writer, job))
    return;
  if (job->is_rewrite)
    group->rewrite_in_progress = false;
  talloc_free (job);
  mark_disk_failed (group, "too many writes are queued for the disk");
}

void
hs_group_on_apply (void *ctx, const struct hs_replica_log_entry *entry)
{
  struct hs_group *group = ctx;
  g_autoptr (GError) error = NULL;
  HS_AUTO_TALLOC struct hs_group_command *command
      = hs_group_command_decode (NULL, entry->data, entry->len, &error);

  if (command == NULL)
    log_unreadable (group, error);
  else if (command->configuration != NULL)
    set_current (group, command->configuration);
  else
    hs_group_apply_order (group, &command->order, entry->index);
}

void
hs_group_on_restore_snapshot (void *ctx, const uint8_t *data, size_t len)
{
  struct hs_group *group = ctx;
  g_autoptr (GError) error = NULL;
  HS_AUTO_TALLOC struct hs_group_snapshot *snapshot
      = hs_group_snapshot_decode (NULL, data, len, &error);

  if (snapshot == NULL)
    {
      log_unreadable (group, error);
      return;
    }
  if (snapshot->configuration != NULL)
    set_current (group, snapshot->configuration);
  hs_evacuations_update (&group->evacuations, &snapshot->evacuations);
  hs_counter_set (group->metrics.evacuated_zones, group->evacuations.len);
}

uint8_t *
hs_group_on_save_snapshot (void *ctx, void *parent, size_t *len)
{
  struct hs_group *group = ctx;
  struct hs_group_snapshot snapshot
      = { .configuration = group->current, .evacuations = group->evacuations };

  *len = 0;
  if (group->current == NULL && group->evacuations.revision == 0)
    return NULL;
  return hs_group_snapshot_encode (parent, &snapshot, len);
}

uint64_t
hs_group_generation (const struct hs_group *group)
{
  return group->current != NULL
             ? hs_configuration_generation (group->current->version)
             : 0;
}

/* Private definitions.  */

/* Takes ownership of STORED if its version is higher than that in force.  */
static void
set_current (struct hs_group *group, struct hs_stored_configuration *stored)
{
  if (group->current != NULL && stored->version <= group->current->version)
    return;
  if (group->current != NULL)
    hs_group_push_history (group, group->current);
  group->current = talloc_steal (group->decision_worker, stored);
  if (hs_group_generation (group) > group->proposed_generation)
    group->proposed_generation = hs_group_generation (group);
  hs_counter_set (group->metrics.configuration_version, stored->version);
  hs_log_write (group->log, HS_LOG_INFO, "configuration-in-force",
                "{s:I, s:I}", "version", (json_int_t)stored->version, "bytes",
                (json_int_t)stored->encoded_len);
}

static void
log_unreadable (struct hs_group *group, const GError *error)
{
  hs_log_write (group->log, HS_LOG_ERROR, "configuration-unreadable", "{s:s}",
                "error", error->message);
}

static void
mark_disk_failed (struct hs_group *group, const char *message)
{
  if (!group->disk_failed)
    hs_log_write (group->log, HS_LOG_ERROR, "disk-lost", "{s:s}", "error",
                  message);
  group->disk_failed = true;
  hs_replica_set_disk_usable (group->replica, false);
  hs_timer_start (group->timers, &group->disk_retry,
                  hs_clock_monotonic () + DISK_RETRY_MS);
}
