/* replica_state.h -- the state of a replica, for the files of this package.
 */

#ifndef HS_CONSENSUS_REPLICA_STATE_H
#define HS_CONSENSUS_REPLICA_STATE_H

#include "hibiscusspan.h"

/* Times, ms.  Three heartbeats may be lost before an election; a new leader
   is there within two seconds.  */
#define HEARTBEAT_MS 250
#define ELECTION_MIN_MS 900
#define ELECTION_SPREAD_MS 700
#define ELECTION_START_MIN_MS                                                 \
  350 /* After a start: longer than a heartbeat.  */
#define QUORUM_TIMEOUT_MS                                                     \
  1200 /* Silence of a majority after which a leader yields.                  \
        */
#define FREEZE_THRESHOLD_MS 400 /* Between two ticks: the host was frozen. */
#define JOIN_RETRY_MS 500       /* Between two tries.  */

/* Silence after which a member gives way to a host that waits to join.  */
#define MEMBER_TIMEOUT_MS 4000

/* Hosts that vote.  Five bear two losses; more would only add messages.  */
#define GROUP_TARGET_SIZE 5

/* Applied entries that are kept for hosts that lag.  */
#define LOG_KEPT_MEAN 16

enum role
{
  ROLE_FOLLOWER,
  ROLE_PRE_CANDIDATE,
  ROLE_CANDIDATE,
  ROLE_LEADER
};

/* Another host, as a leader sees it.  */
struct peer
{
  struct hs_list link;
  struct hs_control_host host;
  uint64_t next;     /* Index of the entry to send.  */
  uint64_t match;    /* Up to which its log agrees.  */
  uint64_t round;    /* The latest it answered.  */
  uint64_t heard_at; /* ms  */
  uint64_t sent_at;  /* ms  */
};

/* A message that waits for the disk.  */
struct pending_message
{
  struct hs_list link;
  uint64_t seq;
  struct hs_addr to;
  struct hs_replica_message message;
};

/* A sync under way, and the end of the log that it covers.  */
struct pending_sync
{
  struct hs_list link;
  uint64_t seq;
  uint64_t index;
};

struct hs_replica
{
  struct hs_control_host self;
  uint64_t random_state;
  struct hs_replica_ops ops;
  void *ctx;
  bool has_records; /* From disk.  */
  bool disk_usable;

  uint64_t term;
  uint64_t voted_for;
  struct hs_replica_snapshot snapshot;
  struct hs_list log; /* struct hs_replica_log_entry, after the base.  */
  struct hs_control_members members;
  uint64_t commit_index;
  uint64_t written_commit_index; /* The latest on its way to disk.  */
  uint64_t loaded_commit_index;  /* From disk.  */
  uint64_t applied_index;

  enum role role;
  struct hs_control_host leader; /* Id 0: none known.  */
  uint64_t leader_heard_at;      /* ms of its last message.  */
  uint64_t election_due;         /* ms  */
  uint64_t join_due;             /* ms  */
  uint64_t last_tick_at;         /* ms  */
  size_t votes_len;
  uint64_t votes[HS_CONTROL_MEMBERS_MAX];
  size_t seeds_len;
  struct hs_addr seeds[HS_CONTROL_MEMBERS_MAX];

  /* Of a leader.  */
  struct hs_list peers;
  uint64_t term_first_index; /* Index of the first entry of its term.  */
  uint64_t read_round;       /* The latest begun.  */
  uint64_t heartbeat_due;

  /* Of the disk.  */
  struct hs_list pending_messages; /* struct pending_message  */
  struct hs_list pending_syncs;    /* struct pending_sync  */
  uint64_t sync_seq;               /* The latest asked for.  */
  uint64_t synced_seq;
  uint64_t durable_index; /* Index up to which the log is on disk.  */
};

/* replica.c  */

bool hs_replica_is_member (const struct hs_replica *replica, uint64_t id);
size_t hs_replica_majority (const struct hs_replica *replica);
void hs_replica_send (struct hs_replica *replica, const struct hs_addr *to,
                      struct hs_replica_message *message);
void hs_replica_send_after_sync (struct hs_replica *replica,
                                 const struct hs_addr *to,
                                 struct hs_replica_message *message);
void hs_replica_sync (struct hs_replica *replica);
void hs_replica_step_down (struct hs_replica *replica, uint64_t term);

/* replica_log.c  */

const struct hs_replica_log_entry *
hs_replica_log_find (const struct hs_replica *replica,
                     uint64_t index); /* NULL: not there.  */
uint64_t hs_replica_log_term (const struct hs_replica *replica,
                              uint64_t index); /* 0: not known.  */
uint64_t hs_replica_log_last_term (const struct hs_replica *replica);
const struct hs_control_members *
hs_replica_log_members (const struct hs_replica *replica);
void
hs_replica_log_append (struct hs_replica *replica,
                       const struct hs_replica_log_entry *entry); /* A copy. */
void hs_replica_log_truncate (struct hs_replica *replica, uint64_t index);
void hs_replica_log_install_snapshot (struct hs_replica *replica,
                                      const struct hs_replica_snapshot *base);
bool hs_replica_log_accept (struct hs_replica *replica,
                            const struct hs_replica_message *append,
                            uint64_t *match); /* False: MATCH is a hint.  */
void hs_replica_log_commit (struct hs_replica *replica, uint64_t index);

/* replica_leader.c  */

void hs_replica_become_leader (struct hs_replica *replica, uint64_t now);
void hs_replica_leader_tick (struct hs_replica *replica, uint64_t now);
void hs_replica_advance_commit (struct hs_replica *replica, uint64_t now);
void hs_replica_on_append_reply (struct hs_replica *replica,
                                 const struct hs_replica_message *message,
                                 uint64_t now);
void hs_replica_on_join (struct hs_replica *replica,
                         const struct hs_replica_message *message,
                         uint64_t now);

#endif /* HS_CONSENSUS_REPLICA_STATE_H */
