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
#define ELECTION_FIRST_MS 350 /* After a start: longer than a heartbeat.  */
#define QUORUM_MS                                                             \
  1200                /* Silence of a majority after which a leader yields.   \
                       */
#define ASLEEP_MS 400 /* Between two ticks: the host was frozen.  */
#define JOIN_MS 500   /* Between two tries.  */

/* Silence after which a member gives way to a host that waits to join.  */
#define REPLACE_MS 4000

/* Hosts that vote.  Five bear two losses; more would only add messages.  */
#define GROUP_TARGET 5

/* Applied entries that are kept for hosts that lag.  */
#define LOG_KEPT 16

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
struct held_message
{
  struct hs_list link;
  uint64_t seq;
  struct hs_addr to;
  struct hs_replica_message message;
};

/* A sync under way, and the end of the log that it covers.  */
struct sync_mark
{
  struct hs_list link;
  uint64_t seq;
  uint64_t index;
};

struct hs_replica
{
  struct hs_control_host self;
  uint64_t random;
  struct hs_replica_ops ops;
  void *ctx;
  bool loaded; /* From disk.  */
  bool disk_works;

  uint64_t term;
  uint64_t vote;
  struct hs_log_base base;
  struct hs_list log; /* struct hs_log_entry, after the base.  */
  struct hs_members members;
  uint64_t commit;
  uint64_t commit_written; /* The latest on its way to disk.  */
  uint64_t commit_loaded;  /* From disk.  */
  uint64_t applied;

  enum role role;
  struct hs_control_host leader; /* Id 0: none known.  */
  uint64_t led_at;               /* ms of its last message.  */
  uint64_t election_due;         /* ms  */
  uint64_t join_due;             /* ms  */
  uint64_t ticked_at;            /* ms  */
  size_t votes_len;
  uint64_t votes[HS_GROUP_MAX];
  size_t contacts_len;
  struct hs_addr contacts[HS_GROUP_MAX];

  /* Of a leader.  */
  struct hs_list peers;
  uint64_t first; /* Index of the first entry of its term.  */
  uint64_t round; /* The latest begun.  */
  uint64_t heartbeat_due;

  /* Of the disk.  */
  struct hs_list held;   /* struct held_message  */
  struct hs_list writes; /* struct sync_mark  */
  uint64_t sync_seq;     /* The latest asked for.  */
  uint64_t synced_seq;
  uint64_t durable; /* Index up to which the log is on disk.  */
};

/* replica.c  */

bool hs_replica_is_member (const struct hs_replica *replica, uint64_t id);
size_t hs_replica_majority (const struct hs_replica *replica);
void hs_replica_send (struct hs_replica *replica, const struct hs_addr *to,
                      struct hs_replica_message *message);
void hs_replica_send_synced (struct hs_replica *replica,
                             const struct hs_addr *to,
                             struct hs_replica_message *message);
void hs_replica_sync (struct hs_replica *replica);
void hs_replica_step_down (struct hs_replica *replica, uint64_t term);

/* replica_log.c  */

const struct hs_log_entry *
hs_replica_log_find (const struct hs_replica *replica,
                     uint64_t index); /* NULL: not there.  */
uint64_t hs_replica_log_term (const struct hs_replica *replica,
                              uint64_t index); /* 0: not known.  */
uint64_t hs_replica_log_last_term (const struct hs_replica *replica);
const struct hs_members *
hs_replica_log_members (const struct hs_replica *replica);
void hs_replica_log_append (struct hs_replica *replica,
                            const struct hs_log_entry *entry); /* A copy.  */
void hs_replica_log_cut (struct hs_replica *replica, uint64_t index);
void hs_replica_log_reset (struct hs_replica *replica,
                           const struct hs_log_base *base);
bool hs_replica_log_take (struct hs_replica *replica,
                          const struct hs_replica_message *append,
                          uint64_t *match); /* False: MATCH is a hint.  */
void hs_replica_log_commit (struct hs_replica *replica, uint64_t index);

/* replica_lead.c  */

void hs_replica_become_leader (struct hs_replica *replica, uint64_t now);
void hs_replica_lead (struct hs_replica *replica, uint64_t now);
void hs_replica_advance_commit (struct hs_replica *replica, uint64_t now);
void hs_replica_on_appended (struct hs_replica *replica,
                             const struct hs_replica_message *message,
                             uint64_t now);
void hs_replica_on_join (struct hs_replica *replica,
                         const struct hs_replica_message *message,
                         uint64_t now);

#endif /* HS_CONSENSUS_REPLICA_STATE_H */
