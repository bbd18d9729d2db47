/* group_state.h -- the state of a control host of a group, for the files of
   this package.  */

#ifndef HS_CONTROL_GROUP_STATE_H
#define HS_CONTROL_GROUP_STATE_H

#include "base/duty.h"
#include "control/group.h"
#include "control/group_api.h"
#include "control/log_disk.h"
#include "control/roster.h"
#include "daemon/datagrams.h"
#include "wire/replica_message.h"

#define STATUS_OK 200
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503

struct group_counters
{
  struct hs_counter *accepted;
  struct hs_counter *redirected;
  struct hs_counter *unavailable;
  struct hs_counter *reads;
  struct hs_counter *syncs;
  struct hs_counter *malformed;
  struct hs_counter *term;
  struct hs_counter *leads;
  struct hs_counter *applied;
  struct hs_counter *version;
  struct hs_counter *journal;
  struct hs_histogram *acknowledge;
  struct hs_histogram *sync;
};

/* Versions whose changes nodes can be sent: those of a few seconds of a quick
   succession.  */
#define HS_GROUP_HISTORY 16

/* What has changed from an earlier version to the one in force.  */
struct hs_group_change
{
  struct hs_stored_configuration *from; /* NULL: none.  */
  size_t patch_len;
  uint8_t *patch; /* NULL: not worked out.  */
};

struct hs_group
{
  struct hs_group_settings settings;
  struct hs_log *log;
  struct hs_counters *counters;
  struct group_counters counts;
  struct hs_ring *received; /* Of struct hs_datagram.  */
  struct hs_ring *calls;    /* Of struct hs_group_call.  */
  struct hs_ring *jobs;     /* Of struct hs_log_job, finished.  */
  struct hs_ring *commands; /* Of struct command.  */
  struct hs_ring *done;     /* An item: the lead was given away.  */
  struct hs_datagrams *datagrams;
  struct hs_group_api *api;
  struct hs_journal *journal;
  struct hs_log_disk *disk;
  struct hs_duty *decide;

  /* Of the decide thread alone.  */
  struct hs_timers *timers;
  struct hs_timer tick;
  struct hs_timer disk_retry;
  struct hs_timer stop;
  struct hs_replica *replica;
  struct hs_roster *roster;
  struct hs_list waiting; /* struct hs_group_call, oldest first.  */
  struct hs_log_job *job; /* Being filled, or NULL.  */
  bool replaces;          /* What is written now is a whole image.  */
  bool disk_failed;
  bool image_asked; /* A new journal is on its way.  */
  bool stopping;
  bool led;
  uint64_t proposed; /* Version of the newest configuration in the log.  */
  struct hs_stored_configuration *stored; /* In force; NULL: none.  */
  struct hs_group_change history[HS_GROUP_HISTORY]; /* Latest first.  */
  uint64_t told;    /* Version that the nodes were told of.  */
  bool entry_heard; /* One that the agents do not know yet.  */
};

/* group_nodes.c: entries and agents  */

void hs_group_on_sync (struct hs_group *group, const struct hs_addr *from,
                       const struct hs_inner_sync *sync, uint64_t now);
void hs_group_on_fetch (struct hs_group *group, const struct hs_addr *from,
                        const struct hs_inner_part *wanted);
void hs_group_keep_history (struct hs_group *group,
                            struct hs_stored_configuration *stored); /* In
                                                     force until now.  */
void hs_group_tell_nodes (struct hs_group *group);
void hs_group_on_node_lost (void *ctx, const struct hs_inner_sync *node);

/* group_calls.c: operators  */

void hs_group_on_call (void *ctx, void *item);
void hs_group_answer_waiting (struct hs_group *group, uint64_t now);

/* group_store.c: the log on disk, and the configuration out of it  */

void hs_group_on_job (void *ctx, void *item);
void hs_group_on_disk_retry (void *ctx, uint64_t now);
void hs_group_on_write (void *ctx, const struct hs_replica_record *record);
void hs_group_on_disk_sync (void *ctx, uint64_t seq);
void hs_group_on_apply (void *ctx, const struct hs_replica_log_entry *entry);
void hs_group_on_restore (void *ctx, const uint8_t *data, size_t len);
uint8_t *hs_group_on_save (void *ctx, void *parent, size_t *len);

#endif /* HS_CONTROL_GROUP_STATE_H */
