/* group_state.h -- the state of a control host of a group, shared by the
   group_*.c files.  */

#ifndef HS_CONTROL_GROUP_STATE_H
#define HS_CONTROL_GROUP_STATE_H

#include "base/worker.h"
#include "control/group.h"
#include "control/group_api.h"
#include "control/journal_writer.h"
#include "control/node_table.h"
#include "daemon/datagrams.h"
#include "wire/group_command.h"
#include "wire/replica_message.h"

#define STATUS_OK 200
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503

/* Described by the help texts in create_metrics of group.c.  */
struct hs_group_metrics
{
  struct hs_counter *accepted;
  struct hs_counter *redirected;
  struct hs_counter *unavailable;
  struct hs_counter *reads;
  struct hs_counter *heartbeats;
  struct hs_counter *orders;
  struct hs_counter *evacuated_zones;
  struct hs_counter *malformed;
  struct hs_counter *term;
  struct hs_counter *is_leader;
  struct hs_counter *applied_index;
  struct hs_counter *configuration_version;
  struct hs_counter *journal_bytes;
  struct hs_histogram *acknowledge_ms;
  struct hs_histogram *sync_ms;
};

/* Number of earlier versions from which entries can be sent a patch instead of
   the whole configuration.  Covers a few seconds of changes in quick
   succession.  */
#define HS_GROUP_HISTORY_MAX 16

/* The patch from an earlier version of the configuration to the current
   one.  */
struct hs_group_patch
{
  struct hs_stored_configuration
      *base_configuration; /* Earlier; NULL: unused.  */
  size_t bytes_len;        /* Bytes.  */
  uint8_t *bytes;          /* NULL: not computed yet.  */
};

struct hs_group
{
  struct hs_group_settings settings;
  struct hs_log *log;
  struct hs_metrics *metric_set;
  struct hs_group_metrics metrics;

  /* Rings to the decision worker, except drained.  */
  struct hs_ring *received; /* struct hs_datagram  */
  struct hs_ring *calls;    /* struct hs_group_call, from the HTTP thread  */
  struct hs_ring *finished_jobs; /* struct hs_journal_job  */
  struct hs_ring *commands;      /* struct group_command, from any thread  */
  struct hs_ring *drained;       /* Gets one item when the drain has ended.  */

  struct hs_datagrams *datagrams;
  struct hs_group_api *api;
  struct hs_journal *journal;
  struct hs_journal_writer *journal_writer;
  struct hs_worker *decision_worker;

  /* Used by the decision worker only.  */
  struct hs_timers *timers;
  struct hs_timer tick;
  struct hs_timer disk_retry;
  struct hs_timer drain_timer;
  struct hs_replica *replica;
  struct hs_node_table *nodes;
  struct hs_region_map *region_map; /* Of the setting zones.  */
  struct hs_list pending_calls;     /* struct hs_group_call, oldest first.  */
  struct hs_journal_job *open_job;  /* Records since the last sync request of
                                       the replica; NULL: none.  */
  bool rewrite_next; /* The next job replaces the whole journal.  */
  bool disk_failed;  /* A write failed, and no rewrite has succeeded since.  */
  bool rewrite_in_progress; /* A rewrite of the journal is queued.  */
  bool draining;
  bool was_leader; /* This host was the leader when the state of the replica
                      last changed.  */
  uint64_t proposed_generation; /* Of the newest configuration known to be in
                                   the log; 0: none.  */
  struct hs_stored_configuration *current; /* In force; NULL: none yet.  */
  struct hs_group_patch history[HS_GROUP_HISTORY_MAX]; /* Newest first.  */
  struct hs_evacuations evacuations;                   /* In force.  */
  uint64_t notified_evacuations;    /* Newest revision that nodes were notified
                                       of.  */
  uint64_t notified_generation;     /* Of the newest configuration that entries
                                       were notified of; 0: none.  */
  struct hs_inner_addrs new_agents; /* Agents that the entries have not been
                                       notified of yet; once it is full, the
                                       entries find out by the digest.  */
  uint64_t next_agents_notice_at;   /* ms  */
};

/* group_store.c: the configuration in force.  */

/* Returns the generation of the configuration in force; 0: none yet.  */
uint64_t hs_group_generation (const struct hs_group *group);

/* group_nodes.c: messages from and to entries and agents.  */

void hs_group_on_heartbeat (struct hs_group *group, const struct hs_addr *from,
                            const struct hs_inner_heartbeat *heartbeat,
                            uint64_t now);
void hs_group_on_fetch (struct hs_group *group, const struct hs_addr *from,
                        const struct hs_inner_chunk *request);

/* Adds STORED, the configuration that has just been superseded, to the
   history, which takes ownership of it.  */
void hs_group_push_history (struct hs_group *group,
                            struct hs_stored_configuration *stored);
void hs_group_send_inner (struct hs_group *group, const struct hs_addr *to,
                          const struct hs_inner *inner);
void hs_group_notify_nodes (struct hs_group *group, uint64_t now);
void hs_group_on_node_expired (void *ctx,
                               const struct hs_inner_heartbeat *heartbeat);

/* group_calls.c: calls of operators.  */

void hs_group_on_call (void *ctx, void *item);
void hs_group_answer_pending (struct hs_group *group, uint64_t now);

/* group_evacuations.c: evacuation orders.  */

/* Appends the order of CALL, which is pending, to the log.  */
void hs_group_start_order (struct hs_group *group, struct hs_group_call *call,
                           uint64_t now);

/* Carries out ORDER, whose log entry at INDEX is committed, and records the
   outcome in the pending call that proposed it, if there is one.  */
void hs_group_apply_order (struct hs_group *group,
                           const struct hs_evacuation_order *order,
                           uint64_t index);

/* Answers CALL, whose log entry was applied.  */
void hs_group_answer_order (struct hs_group *group, struct hs_group_call *call,
                            uint64_t now);

/* Answers CALL with the evacuated zones and the nodes that act on an older
   revision.  */
void hs_group_answer_evacuations (struct hs_group *group,
                                  struct hs_group_call *call);

/* After a change, the leader notifies all nodes.  */
void hs_group_notify_evacuations (struct hs_group *group);

/* Sends the evacuated zones to TO.  */
void hs_group_send_evacuations (struct hs_group *group,
                                const struct hs_addr *to);

/* group_store.c: the replicated log on disk, and the configuration in
   force.  */

void hs_group_on_job_done (void *ctx, void *item);
void hs_group_on_disk_retry (void *ctx, uint64_t now);

/* Callbacks of the replica; see struct hs_replica_ops.  */
void hs_group_on_write_record (void *ctx,
                               const struct hs_replica_record *record);
void hs_group_on_sync_log (void *ctx, uint64_t seq);
void hs_group_on_apply (void *ctx, const struct hs_replica_log_entry *entry);
void hs_group_on_restore_snapshot (void *ctx, const uint8_t *data, size_t len);
uint8_t *hs_group_on_save_snapshot (void *ctx, void *parent, size_t *len);

#endif /* HS_CONTROL_GROUP_STATE_H */
