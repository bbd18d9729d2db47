/* replica_state.h -- the state of a replica, private to src/consensus.  */

#ifndef HS_CONSENSUS_REPLICA_STATE_H
#define HS_CONSENSUS_REPLICA_STATE_H

#include "hibiscusspan.h"

/* Times in ms.  A follower tolerates the loss of three heartbeats before it
   starts an election.  A new leader is elected within two seconds.  */
#define HEARTBEAT_MS 250
#define ELECTION_MIN_MS 900
#define ELECTION_SPREAD_MS 700 /* Random part of an election timeout.  */

/* Shortest election timeout after a start; longer than HEARTBEAT_MS, so that
   an existing leader is heard first.  */
#define ELECTION_START_MIN_MS 350

/* A leader that has not heard from a majority for this long steps down.  */
#define QUORUM_TIMEOUT_MS 1200

/* A host without a tick for this long is considered to have been frozen.  */
#define FREEZE_THRESHOLD_MS 400
#define JOIN_RETRY_MS 500

/* A member silent for this long is replaced by a host that joins.  */
#define MEMBER_TIMEOUT_MS 4000

/* Voting hosts, unless more losses have to be tolerated: five tolerate two. */
#define TARGET_SIZE_DEFAULT 5
#define TOLERATED_LOSSES_DEFAULT 1

/* Applied entries that the log keeps on average, for followers that lag.  A
   compaction drops all of them, and runs when there are twice as many.  */
#define LOG_KEPT_MEAN 16

enum role
{
  ROLE_FOLLOWER,
  ROLE_PRE_CANDIDATE,
  ROLE_CANDIDATE,
  ROLE_LEADER
};

/* A host that follows the log of this leader: another member, or a host that
   joins.  */
struct peer
{
  struct hs_list link;
  struct hs_control_host host;
  uint64_t next_index;      /* Index of the next entry to send.  */
  uint64_t match_index;     /* Last one known to be durable there.  */
  uint64_t confirmed_round; /* Latest read round it answered.  */
  uint64_t last_heard_at;   /* ms  */
  uint64_t last_sent_at;    /* ms  */
};

/* A message to be sent once the records it depends on are durable.  */
struct pending_message
{
  struct hs_list link;
  uint64_t seq; /* Number of the sync to wait for.  */
  struct hs_addr to;
  struct hs_replica_message message;
};

/* A sync in progress.  */
struct pending_sync
{
  struct hs_list link;
  uint64_t seq;
  uint64_t index; /* Last log entry that it makes durable.  */
};

struct hs_replica
{
  struct hs_control_host self;
  uint64_t random_state;
  struct hs_replica_ops ops;
  void *ctx;
  bool has_records; /* Records were loaded from disk.  */
  bool disk_usable;

  uint64_t term;
  uint64_t voted_for; /* Host id; 0: none in this term.  */
  struct hs_replica_snapshot snapshot;
  struct hs_list log; /* struct hs_replica_log_entry, after the snapshot.  */
  struct hs_control_members members;
  uint64_t commit_index;
  uint64_t written_commit_index; /* Latest one passed to write_record.  */
  uint64_t loaded_commit_index;  /* From disk.  */
  uint64_t applied_index;

  enum role role;
  struct hs_control_host leader; /* Id 0: none known.  */
  uint64_t leader_heard_at;      /* ms  */
  uint64_t election_due;         /* ms  */
  uint64_t join_due;             /* ms  */
  uint64_t last_tick_at;         /* ms  */
  size_t votes_len;
  uint64_t votes[HS_CONTROL_MEMBERS_MAX]; /* Ids of hosts that voted for this
                                             one.  */
  size_t min_size;    /* Voting hosts that the group keeps even if one of them
                         is gone.  */
  size_t target_size; /* Voting hosts that it aims at.  */
  size_t seeds_len;
  struct hs_addr seeds[HS_CONTROL_MEMBERS_MAX];

  /* Used by a leader.  */
  struct hs_list peers;
  uint64_t term_first_index; /* First entry of its term.  */
  uint64_t read_round;       /* Latest one begun.  */
  uint64_t heartbeat_due;    /* ms  */

  /* State of the disk.  */
  struct hs_list pending_messages; /* struct pending_message, by seq.  */
  struct hs_list pending_syncs;    /* struct pending_sync, by seq.  */
  uint64_t sync_seq;               /* Latest one requested.  */
  uint64_t synced_seq;             /* Latest one completed.  */
  uint64_t durable_index;          /* Last log entry on disk.  */
};

/* replica.c  */

bool hs_replica_is_member (const struct hs_replica *replica, uint64_t id);

/* Number of members that make a majority.  */
size_t hs_replica_majority (const struct hs_replica *replica);

/* Sends MESSAGE now.  Sets its sender and, unless it is a JOIN, its term if
   that is 0.  */
void hs_replica_send (struct hs_replica *replica, const struct hs_addr *to,
                      struct hs_replica_message *message);

/* As hs_replica_send, but once all records written so far are durable.
   MESSAGE is copied, and must not have entries or a snapshot.  */
void hs_replica_send_after_sync (struct hs_replica *replica,
                                 const struct hs_addr *to,
                                 struct hs_replica_message *message);

/* Requests a sync of all records written so far, and of the commit index if
   it has changed since the last one.  */
void hs_replica_sync (struct hs_replica *replica);

/* Becomes a follower without a known leader, in TERM if that is higher than
   the current one.  */
void hs_replica_step_down (struct hs_replica *replica, uint64_t term);

/* replica_log.c  */

/* NULL if the log has no entry at INDEX.  */
const struct hs_replica_log_entry *
hs_replica_log_find (const struct hs_replica *replica, uint64_t index);

/* 0 if the term of the entry at INDEX is not known.  */
uint64_t hs_replica_log_term (const struct hs_replica *replica,
                              uint64_t index);

/* Term of the last entry, or of the snapshot if the log is empty.  */
uint64_t hs_replica_log_last_term (const struct hs_replica *replica);

/* The members according to the latest MEMBERS entry in the log, committed or
   not, or to the snapshot if there is no such entry.  */
const struct hs_control_members *
hs_replica_log_members (const struct hs_replica *replica);

/* ENTRY and its data are copied.  */
void hs_replica_log_append (struct hs_replica *replica,
                            const struct hs_replica_log_entry *entry);

/* Removes the entries from INDEX on, and limits the durable index, also that
   of pending syncs, to the entries that are left.  If INDEX is 0, removes all
   entries, which a snapshot is about to replace, and leaves the durable index
   as it is.  */
void hs_replica_log_truncate (struct hs_replica *replica, uint64_t index);

/* Replaces the whole log.  SNAPSHOT and its data are copied.  */
void
hs_replica_log_install_snapshot (struct hs_replica *replica,
                                 const struct hs_replica_snapshot *snapshot);

/* Appends the entries of APPEND that the log does not have yet, and removes
   those that conflict with them.  Sets *MATCH to the last index at which the
   logs are known to agree.  Returns false and appends nothing if the
   entry before the first one sent is missing or differs; *MATCH is then the
   index after which the leader is to resume.  */
bool hs_replica_log_accept (struct hs_replica *replica,
                            const struct hs_replica_message *append,
                            uint64_t *match);

/* Raises the commit index to INDEX, and applies the entries up to it.  */
void hs_replica_log_commit (struct hs_replica *replica, uint64_t index);

/* replica_leader.c  */

/* Begins the term with a no-op entry, whose commit also commits the entries
   of earlier terms.  */
void hs_replica_become_leader (struct hs_replica *replica, uint64_t now);

/* Steps down if the leader has lost contact with a majority; otherwise sends
   heartbeats and updates the members.  */
void hs_replica_leader_tick (struct hs_replica *replica, uint64_t now);

/* Commits the entries that a majority has on disk.  */
void hs_replica_advance_commit (struct hs_replica *replica, uint64_t now);
void hs_replica_on_append_reply (struct hs_replica *replica,
                                 const struct hs_replica_message *message,
                                 uint64_t now);
void hs_replica_on_join (struct hs_replica *replica,
                         const struct hs_replica_message *message,
                         uint64_t now);

#endif /* HS_CONSENSUS_REPLICA_STATE_H */
