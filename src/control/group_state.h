/* group_state.h -- the state of a control host of a group, for the files of
   this package.  */

#ifndef HS_CONTROL_GROUP_STATE_H
#define HS_CONTROL_GROUP_STATE_H

#include "base/worker.h"
#include "control/group.h"
#include "control/group_api.h"
#include "control/journal_writer.h"
#include "control/node_table.h"
#include "daemon/datagrams.h"
#include "wire/replica_message.h"

#define STATUS_OK 200
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503

struct group_metrics
{
  struct hs_counter *accepted;
  struct hs_counter *redirected;
  struct hs_counter *unavailable;
  struct hs_counter *reads;
  struct hs_counter *heartbeats;
  struct hs_counter *malformed;
  struct hs_counter *term;
  struct hs_counter *is_leader;
  struct hs_counter *applied_index;
  struct hs_counter *configuration_version;
  struct hs_counter *journal_bytes;
  struct hs_histogram *acknowledge_ms;
  struct hs_histogram *sync_ms;
};

/* Versions whose changes nodes can be sent: those of a few seconds of a quick
   succession.  */
#define HS_GROUP_HISTORY_MAX 16

/* What has changed from an earlier version to the one in force.  */
struct hs_group_patch
{
  struct hs_stored_configuration *base; /* NULL: none.  */
  size_t patch_len;
  uint8_t *patch; /* NULL: not worked out.  */
};

struct hs_group
{
  struct hs_group_settings settings;
  struct hs_log *log;
  struct hs_counters *counters;
  struct group_metrics metrics;
  struct hs_ring *received;      /* Of struct hs_datagram.  */
  struct hs_ring *calls;         /* Of struct hs_group_call.  */
  struct hs_ring *finished_jobs; /* Of struct hs_journal_job, finished.  */
  struct hs_ring *commands;      /* Of struct command.  */
  struct hs_ring *drained;       /* An item: the lead was given away.  */
  struct hs_datagrams *datagrams;
  struct hs_group_api *api;
  struct hs_journal *journal;
  struct hs_journal_writer *journal_writer;
  struct hs_worker *decision_worker;

  /* Of the decide thread alone.  */
  struct hs_timers *timers;
  struct hs_timer tick;
  struct hs_timer disk_retry;
  struct hs_timer drain_timer;
  struct hs_replica *replica;
  struct hs_node_table *nodes;
  struct hs_list pending_calls;    /* struct hs_group_call, oldest first.  */
  struct hs_journal_job *open_job; /* Being filled, or NULL.  */
  bool rewrite_next;               /* What is written now is a whole image.  */
  bool disk_failed;
  bool rewrite_in_progress; /* A new journal is on its way.  */
  bool draining;
  bool was_leader;
  uint64_t
      proposed_version; /* Version of the newest configuration in the log.  */
  struct hs_stored_configuration *current; /* In force; NULL: none.  */
  struct hs_group_patch history[HS_GROUP_HISTORY_MAX]; /* Latest first.  */
  uint64_t notified_version; /* Version that the nodes were told of.  */
  bool entries_changed;      /* One that the agents do not know yet.  */
};

/* group_nodes.c: entries and agents  */

void hs_group_on_heartbeat (struct hs_group *group, const struct hs_addr *from,
                            const struct hs_inner_heartbeat *sync,
                            uint64_t now);
void hs_group_on_fetch (struct hs_group *group, const struct hs_addr *from,
                        const struct hs_inner_chunk *wanted);
void hs_group_push_history (struct hs_group *group,
                            struct hs_stored_configuration *stored); /* In
                                                     force until now.  */
void hs_group_notify_nodes (struct hs_group *group);
void hs_group_on_node_expired (void *ctx,
                               const struct hs_inner_heartbeat *node);

/* group_calls.c: operators  */

void hs_group_on_call (void *ctx, void *item);
void hs_group_answer_pending (struct hs_group *group, uint64_t now);

/* group_store.c: the log on disk, and the configuration out of it  */

void hs_group_on_job_done (void *ctx, void *item);
void hs_group_on_disk_retry (void *ctx, uint64_t now);
void hs_group_on_write_record (void *ctx,
                               const struct hs_replica_record *record);
void hs_group_on_sync_log (void *ctx, uint64_t seq);
void hs_group_on_apply (void *ctx, const struct hs_replica_log_entry *entry);
void hs_group_on_restore_snapshot (void *ctx, const uint8_t *data, size_t len);
uint8_t *hs_group_on_save_snapshot (void *ctx, void *parent, size_t *len);

#endif /* HS_CONTROL_GROUP_STATE_H */
