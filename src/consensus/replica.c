/* replica.c -- the roles of a replica, elections and writes to disk.

   The log is in replica_log.c, the work of a leader in replica_leader.c.  */

#include "consensus/replica_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static void on_request_vote (struct hs_replica *replica,
                             const struct hs_replica_message *message,
                             uint64_t now);
static void request_join_for (struct hs_replica *replica,
                              const struct hs_control_host *host,
                              uint64_t now);
static bool can_grant_vote (const struct hs_replica *replica,
                            const struct hs_replica_message *message,
                            uint64_t now);
static void on_vote_reply (struct hs_replica *replica,
                           const struct hs_replica_message *message,
                           uint64_t now);
static void on_append (struct hs_replica *replica,
                       const struct hs_replica_message *message, uint64_t now);
static void on_install_snapshot (struct hs_replica *replica,
                                 const struct hs_replica_message *message,
                                 uint64_t now);
static void on_start_election (struct hs_replica *replica,
                               const struct hs_replica_message *message,
                               uint64_t now);
static bool accept_leader (struct hs_replica *replica,
                           const struct hs_replica_message *message,
                           uint64_t now);
static void start_election (struct hs_replica *replica, bool pre_vote,
                            uint64_t now);
static void set_term (struct hs_replica *replica, uint64_t term,
                      uint64_t voted_for);
static void reset_election_timer (struct hs_replica *replica, uint64_t now);
static void send_join (struct hs_replica *replica, uint64_t now);
static void send_pending_messages (struct hs_replica *replica);
static uint64_t next_random (struct hs_replica *replica);

/* Public definitions.  */

struct hs_replica *
hs_replica_create (void *parent, const struct hs_control_host *self,
                   uint64_t seed, const struct hs_replica_ops *ops, void *ctx)
{
  struct hs_replica *replica = talloc_zero (parent, struct hs_replica);

  replica->self = *self;
  replica->random_state = seed | 1;
  replica->ops = *ops;
  replica->ctx = ctx;
  replica->disk_usable = true;
  hs_replica_set_tolerated_losses (replica, TOLERATED_LOSSES_DEFAULT);
  hs_list_init (&replica->log);
  hs_list_init (&replica->peers);
  hs_list_init (&replica->pending_messages);
  hs_list_init (&replica->pending_syncs);
  return replica;
}

void
hs_replica_destroy (struct hs_replica *replica)
{
  talloc_free (replica);
}

void
hs_replica_load_record (struct hs_replica *replica,
                        const struct hs_replica_record *record)
{
  switch (record->type)
    {
    case HS_REPLICA_RECORD_HOST_ID:
      replica->self.id = record->value;
      break;
    case HS_REPLICA_RECORD_TERM:
      replica->term = record->term;
      replica->voted_for = record->voted_for;
      break;
    case HS_REPLICA_RECORD_ENTRY:
      hs_replica_log_truncate (replica, record->entry->index);
      hs_replica_log_append (replica, record->entry);
      break;
    case HS_REPLICA_RECORD_SNAPSHOT:
      hs_replica_log_install_snapshot (replica, record->snapshot);
      break;
    case HS_REPLICA_RECORD_COMMIT:
      replica->loaded_commit_index = record->value;
      break;
    }
  replica->has_records = true;
}

void
hs_replica_bootstrap (struct hs_replica *replica, uint64_t id,
                      const struct hs_control_members *members)
{
  replica->self.id = id;
  replica->snapshot.members = *members;
}

void
hs_replica_start (struct hs_replica *replica, uint64_t now)
{
  replica->members = *hs_replica_log_members (replica);
  replica->commit_index = replica->snapshot.index;
  replica->applied_index = replica->snapshot.index;
  if (replica->snapshot.len > 0)
    replica->ops.restore_snapshot (replica->ctx, replica->snapshot.data,
                                   replica->snapshot.len);
  hs_replica_log_commit (replica, replica->loaded_commit_index
                                          < hs_replica_last_index (replica)
                                      ? replica->loaded_commit_index
                                      : hs_replica_last_index (replica));
  replica->durable_index = hs_replica_last_index (replica);
  replica->election_due = now + ELECTION_START_MIN_MS
                          + next_random (replica) % ELECTION_SPREAD_MS;
  replica->last_tick_at = now;
  if (!replica->has_records)
    hs_replica_rewrite (replica);
}

void
hs_replica_tick (struct hs_replica *replica, uint64_t now)
{
  /* During a freeze the other members may have elected a leader: wait for
     its heartbeat rather than start an election at once.  */
  if (now - replica->last_tick_at > FREEZE_THRESHOLD_MS)
    reset_election_timer (replica, now);
  replica->last_tick_at = now;
  if (!replica->disk_usable)
    return;
  if (replica->role == ROLE_LEADER)
    hs_replica_leader_tick (replica, now);
  else if (hs_replica_is_member (replica, replica->self.id))
    {
      if (now >= replica->election_due)
        start_election (replica, true, now);
    }
  else if (now >= replica->join_due)
    send_join (replica, now);
}

void
hs_replica_receive (struct hs_replica *replica,
                    const struct hs_replica_message *message, uint64_t now)
{
  if ((message->to != 0 && message->to != replica->self.id)
      || message->from.id == replica->self.id || !replica->disk_usable)
    return;
  switch (message->type)
    {
    case HS_REPLICA_REQUEST_VOTE:
      on_request_vote (replica, message, now);
      break;
    case HS_REPLICA_VOTE_REPLY:
      on_vote_reply (replica, message, now);
      break;
    case HS_REPLICA_APPEND:
      on_append (replica, message, now);
      break;
    case HS_REPLICA_APPEND_REPLY:
      hs_replica_on_append_reply (replica, message, now);
      break;
    case HS_REPLICA_INSTALL_SNAPSHOT:
      on_install_snapshot (replica, message, now);
      break;
    case HS_REPLICA_JOIN:
      hs_replica_on_join (replica, message, now);
      break;
    case HS_REPLICA_START_ELECTION:
      on_start_election (replica, message, now);
      break;
    }
}

void
hs_replica_synced (struct hs_replica *replica, uint64_t seq, uint64_t now)
{
  replica->synced_seq = seq;
  while (!hs_list_is_empty (&replica->pending_syncs))
    {
      struct pending_sync *sync = HS_LIST_ENTRY (replica->pending_syncs.next,
                                                 struct pending_sync, link);

      if (sync->seq > seq)
        break;
      replica->durable_index = sync->index;
      hs_list_remove (&sync->link);
      talloc_free (sync);
    }
  send_pending_messages (replica);
  if (replica->role == ROLE_LEADER)
    hs_replica_advance_commit (replica, now);
}

void
hs_replica_set_disk_usable (struct hs_replica *replica, bool usable)
{
  replica->disk_usable = usable;
  if (!usable)
    hs_replica_step_down (replica, replica->term);
}

void
hs_replica_rewrite (struct hs_replica *replica)
{
  struct hs_replica_record host_id
      = { .type = HS_REPLICA_RECORD_HOST_ID, .value = replica->self.id };
  struct hs_replica_record term = { .type = HS_REPLICA_RECORD_TERM,
                                    .term = replica->term,
                                    .voted_for = replica->voted_for };
  struct hs_replica_record snapshot
      = { .type = HS_REPLICA_RECORD_SNAPSHOT, .snapshot = &replica->snapshot };

  replica->written_commit_index = 0;
  replica->ops.write_record (replica->ctx, &host_id);
  replica->ops.write_record (replica->ctx, &term);
  replica->ops.write_record (replica->ctx, &snapshot);
  HS_LIST_FOREACH (link, &replica->log)
    {
      struct hs_replica_record entry
          = { .type = HS_REPLICA_RECORD_ENTRY,
              .entry
              = HS_LIST_ENTRY (link, struct hs_replica_log_entry, link) };

      replica->ops.write_record (replica->ctx, &entry);
    }
  hs_replica_sync (replica);
}

void
hs_replica_set_seeds (struct hs_replica *replica, const struct hs_addr *seeds,
                      size_t len)
{
  replica->seeds_len
      = len < HS_CONTROL_MEMBERS_MAX ? len : HS_CONTROL_MEMBERS_MAX;
  memcpy (replica->seeds, seeds, replica->seeds_len * sizeof *seeds);
}

void
hs_replica_set_tolerated_losses (struct hs_replica *replica, size_t losses)
{
  size_t max = (HS_CONTROL_MEMBERS_MAX - 1) / 2;

  if (losses < TOLERATED_LOSSES_DEFAULT)
    losses = TOLERATED_LOSSES_DEFAULT;
  if (losses > max)
    losses = max;
  replica->min_size = 2 * losses + 1;
  replica->target_size = replica->min_size > TARGET_SIZE_DEFAULT
                             ? replica->min_size
                             : TARGET_SIZE_DEFAULT;
}

bool
hs_replica_is_leader (const struct hs_replica *replica)
{
  return replica->role == ROLE_LEADER;
}

bool
hs_replica_leader (const struct hs_replica *replica,
                   struct hs_control_host *leader)
{
  if (replica->leader.id == 0)
    return false;
  *leader = replica->leader;
  return true;
}

uint64_t
hs_replica_term (const struct hs_replica *replica)
{
  return replica->term;
}

uint64_t
hs_replica_applied_index (const struct hs_replica *replica)
{
  return replica->applied_index;
}

const struct hs_control_members *
hs_replica_members (const struct hs_replica *replica)
{
  return &replica->members;
}

/* Internal to src/consensus.  */

bool
hs_replica_is_member (const struct hs_replica *replica, uint64_t id)
{
  for (size_t i = 0; i < replica->members.len; i++)
    if (replica->members.hosts[i].id == id)
      return true;
  return false;
}

size_t
hs_replica_majority (const struct hs_replica *replica)
{
  return replica->members.len / 2 + 1;
}

void
hs_replica_send (struct hs_replica *replica, const struct hs_addr *to,
                 struct hs_replica_message *message)
{
  message->from = replica->self;
  if (message->type != HS_REPLICA_JOIN && message->term == 0)
    message->term = replica->term;
  replica->ops.send (replica->ctx, to, message);
}

void
hs_replica_send_after_sync (struct hs_replica *replica,
                            const struct hs_addr *to,
                            struct hs_replica_message *message)
{
  struct pending_message *pending;

  message->from = replica->self;
  if (message->term == 0)
    message->term = replica->term;
  if (replica->synced_seq == replica->sync_seq)
    {
      replica->ops.send (replica->ctx, to, message);
      return;
    }
  pending = talloc_zero (replica, struct pending_message);
  pending->seq = replica->sync_seq;
  pending->to = *to;
  pending->message = *message;
  hs_list_append (&replica->pending_messages, &pending->link);
}

void
hs_replica_sync (struct hs_replica *replica)
{
  struct pending_sync *sync = talloc_zero (replica, struct pending_sync);
  struct hs_replica_record commit
      = { .type = HS_REPLICA_RECORD_COMMIT, .value = replica->commit_index };

  /* The commit index needs no sync of its own.  If it is on disk, a host that
     restarts can apply and serve its committed entries before it finds a
     leader.  */
  if (replica->written_commit_index != replica->commit_index)
    replica->ops.write_record (replica->ctx, &commit);
  replica->written_commit_index = replica->commit_index;
  sync->seq = ++replica->sync_seq;
  sync->index = hs_replica_last_index (replica);
  hs_list_append (&replica->pending_syncs, &sync->link);
  replica->ops.sync (replica->ctx, sync->seq);
}

void
hs_replica_step_down (struct hs_replica *replica, uint64_t term)
{
  bool changed = replica->role != ROLE_FOLLOWER || replica->leader.id != 0;

  if (term > replica->term)
    set_term (replica, term, 0);
  replica->role = ROLE_FOLLOWER;
  replica->leader.id = 0;
  reset_election_timer (replica, replica->last_tick_at);
  if (changed)
    replica->ops.state_changed (replica->ctx);
}

/* Private definitions.  */

static void
on_request_vote (struct hs_replica *replica,
                 const struct hs_replica_message *message, uint64_t now)
{
  struct hs_replica_message reply = { .type = HS_REPLICA_VOTE_REPLY,
                                      .to = message->from.id,
                                      .pre_vote = message->pre_vote,
                                      .request_tag = message->term };

  /* A host votes even if it is not a member according to its own log: the
     entry that adds it may not have reached it yet, and the members that have
     this entry may need its vote for their majority.  */
  if (message->to != replica->self.id)
    return;
  if (!hs_replica_is_member (replica, message->from.id))
    request_join_for (replica, &message->from, now);
  reply.success = can_grant_vote (replica, message, now);
  if (!message->pre_vote && message->term > replica->term)
    hs_replica_step_down (replica, message->term);
  if (!message->pre_vote && reply.success)
    {
      set_term (replica, message->term, message->from.id);
      reset_election_timer (replica, now);
    }
  hs_replica_send_after_sync (replica, &message->from.inner_address, &reply);
}

/* Requests that the group takes HOST back.  HOST was removed while it was cut
   off, and does not know it: the entry that removed it was not sent to it.  */
static void
request_join_for (struct hs_replica *replica,
                  const struct hs_control_host *host, uint64_t now)
{
  struct hs_replica_message join = { .type = HS_REPLICA_JOIN, .from = *host };

  hs_replica_on_join (replica, &join, now);
}

/* The log of the candidate must be at least as up to date as this one.  A
   leader, or a host that hears from one, refuses pre-votes, so that a host
   which has lost contact with a working leader cannot depose it.  */
static bool
can_grant_vote (const struct hs_replica *replica,
                const struct hs_replica_message *message, uint64_t now)
{
  uint64_t last_term = hs_replica_log_last_term (replica);
  bool up_to_date = message->log_term > last_term
                    || (message->log_term == last_term
                        && message->index >= hs_replica_last_index (replica));

  if (!up_to_date || message->term < replica->term)
    return false;
  if (message->pre_vote)
    return replica->role != ROLE_LEADER
           && (replica->leader.id == 0
               || now - replica->leader_heard_at >= ELECTION_MIN_MS);
  return message->term > replica->term || replica->voted_for == 0
         || replica->voted_for == message->from.id;
}

/* Counts a vote, if it was cast in the current election: request_tag is the
   term that was requested.  */
static void
on_vote_reply (struct hs_replica *replica,
               const struct hs_replica_message *message, uint64_t now)
{
  uint64_t requested_term = replica->role == ROLE_PRE_CANDIDATE
                                ? replica->term + 1
                                : replica->term;

  if (message->term > replica->term)
    {
      hs_replica_step_down (replica, message->term);
      return;
    }
  if ((replica->role != ROLE_PRE_CANDIDATE && replica->role != ROLE_CANDIDATE)
      || message->pre_vote != (replica->role == ROLE_PRE_CANDIDATE)
      || message->request_tag != requested_term || !message->success
      || !hs_replica_is_member (replica, message->from.id))
    return;
  for (size_t i = 0; i < replica->votes_len; i++)
    if (replica->votes[i] == message->from.id)
      return;
  replica->votes[replica->votes_len++] = message->from.id;
  if (replica->votes_len < hs_replica_majority (replica))
    return;
  if (replica->role == ROLE_PRE_CANDIDATE)
    start_election (replica, false, now);
  else
    hs_replica_become_leader (replica, now);
}

static void
on_append (struct hs_replica *replica,
           const struct hs_replica_message *message, uint64_t now)
{
  struct hs_replica_message reply = { .type = HS_REPLICA_APPEND_REPLY,
                                      .to = message->from.id,
                                      .request_tag = message->request_tag };

  if (!accept_leader (replica, message, now))
    return;
  reply.success = hs_replica_log_accept (replica, message, &reply.index);
  if (reply.success)
    hs_replica_log_commit (replica, message->commit_index < reply.index
                                        ? message->commit_index
                                        : reply.index);
  hs_replica_send_after_sync (replica, &message->from.inner_address, &reply);
}

static void
on_install_snapshot (struct hs_replica *replica,
                     const struct hs_replica_message *message, uint64_t now)
{
  struct hs_replica_message reply = { .type = HS_REPLICA_APPEND_REPLY,
                                      .to = message->from.id,
                                      .request_tag = message->request_tag,
                                      .success = true,
                                      .index = message->snapshot->index };
  struct hs_replica_record record
      = { .type = HS_REPLICA_RECORD_SNAPSHOT, .snapshot = message->snapshot };

  if (!accept_leader (replica, message, now))
    return;
  if (message->snapshot->index > replica->commit_index)
    {
      hs_replica_log_install_snapshot (replica, message->snapshot);
      replica->members = *hs_replica_log_members (replica);
      replica->commit_index = replica->snapshot.index;
      replica->applied_index = replica->snapshot.index;
      replica->ops.write_record (replica->ctx, &record);
      hs_replica_sync (replica);
      replica->ops.restore_snapshot (replica->ctx, replica->snapshot.data,
                                     replica->snapshot.len);
      replica->ops.state_changed (replica->ctx);
    }
  hs_replica_send_after_sync (replica, &message->from.inner_address, &reply);
}

/* Skips the pre-vote, which the other members would refuse while they hear
   from the leader that requested this election.  */
static void
on_start_election (struct hs_replica *replica,
                   const struct hs_replica_message *message, uint64_t now)
{
  if (message->term == replica->term
      && hs_replica_is_member (replica, replica->self.id))
    start_election (replica, false, now);
}

/* Follows the sender of MESSAGE as the leader and returns true.  If MESSAGE is
   of an earlier term, replies with the current one and returns false.  */
static bool
accept_leader (struct hs_replica *replica,
               const struct hs_replica_message *message, uint64_t now)
{
  struct hs_replica_message reply
      = { .type = HS_REPLICA_APPEND_REPLY, .to = message->from.id };
  bool changed;

  if (message->term < replica->term)
    {
      hs_replica_send_after_sync (replica, &message->from.inner_address,
                                  &reply);
      return false;
    }
  if (message->term > replica->term || replica->role != ROLE_FOLLOWER)
    hs_replica_step_down (replica, message->term);
  changed = replica->leader.id != message->from.id;
  replica->leader = message->from;
  replica->leader_heard_at = now;
  reset_election_timer (replica, now);
  if (changed)
    replica->ops.state_changed (replica->ctx);
  return true;
}

/* Requests the votes of all other members.  With PRE_VOTE, does so without
   entering the next term, to find out whether this host could win an
   election.  */
static void
start_election (struct hs_replica *replica, bool pre_vote, uint64_t now)
{
  struct hs_replica_message request
      = { .type = HS_REPLICA_REQUEST_VOTE,
          .pre_vote = pre_vote,
          .term = replica->term + 1,
          .index = hs_replica_last_index (replica),
          .log_term = hs_replica_log_last_term (replica) };

  if (replica->leader.id != 0)
    {
      replica->leader.id = 0;
      replica->ops.state_changed (replica->ctx);
    }
  replica->role = pre_vote ? ROLE_PRE_CANDIDATE : ROLE_CANDIDATE;
  replica->votes[0] = replica->self.id;
  replica->votes_len = 1;
  reset_election_timer (replica, now);
  if (!pre_vote)
    set_term (replica, replica->term + 1, replica->self.id);
  for (size_t i = 0; i < replica->members.len; i++)
    {
      struct hs_replica_message copy = request;

      if (replica->members.hosts[i].id == replica->self.id)
        continue;
      copy.to = replica->members.hosts[i].id;
      hs_replica_send_after_sync (
          replica, &replica->members.hosts[i].inner_address, &copy);
    }
  if (replica->votes_len < hs_replica_majority (replica))
    return;
  if (pre_vote)
    start_election (replica, false, now);
  else
    hs_replica_become_leader (replica, now);
}

static void
set_term (struct hs_replica *replica, uint64_t term, uint64_t voted_for)
{
  struct hs_replica_record record = { .type = HS_REPLICA_RECORD_TERM,
                                      .term = term,
                                      .voted_for = voted_for };

  if (replica->term == term && replica->voted_for == voted_for)
    return;
  replica->term = term;
  replica->voted_for = voted_for;
  replica->ops.write_record (replica->ctx, &record);
  hs_replica_sync (replica);
}

static void
reset_election_timer (struct hs_replica *replica, uint64_t now)
{
  replica->election_due
      = now + ELECTION_MIN_MS + next_random (replica) % ELECTION_SPREAD_MS;
}

static void
send_join (struct hs_replica *replica, uint64_t now)
{
  struct hs_replica_message join = { .type = HS_REPLICA_JOIN };

  replica->join_due = now + JOIN_RETRY_MS;
  for (size_t i = 0; i < replica->seeds_len; i++)
    if (!hs_addr_equal (&replica->seeds[i], &replica->self.inner_address))
      hs_replica_send (replica, &replica->seeds[i], &join);
}

static void
send_pending_messages (struct hs_replica *replica)
{
  while (!hs_list_is_empty (&replica->pending_messages))
    {
      struct pending_message *pending = HS_LIST_ENTRY (
          replica->pending_messages.next, struct pending_message, link);

      if (pending->seq > replica->synced_seq)
        break;
      /* A message of an earlier term would have no effect any more.  */
      if (pending->message.term >= replica->term)
        replica->ops.send (replica->ctx, &pending->to, &pending->message);
      hs_list_remove (&pending->link);
      talloc_free (pending);
    }
}

/* xorshift64; used only to spread elections in time.  */
static uint64_t
next_random (struct hs_replica *replica)
{
  replica->random_state ^= replica->random_state << 13;
  replica->random_state ^= replica->random_state >> 7;
  replica->random_state ^= replica->random_state << 17;
  return replica->random_state;
}
