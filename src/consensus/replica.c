/* replica.c -- one host of a control group: roles and elections.

   The log is in replica_log.c, the leader's work in replica_lead.c.  */

#include "consensus/replica_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static void on_ask_vote (struct hs_replica *replica,
                         const struct hs_replica_message *message,
                         uint64_t now);
static bool may_grant (const struct hs_replica *replica,
                       const struct hs_replica_message *message, uint64_t now);
static void on_vote (struct hs_replica *replica,
                     const struct hs_replica_message *message, uint64_t now);
static void on_append (struct hs_replica *replica,
                       const struct hs_replica_message *message, uint64_t now);
static void on_base (struct hs_replica *replica,
                     const struct hs_replica_message *message, uint64_t now);
static void on_take_over (struct hs_replica *replica,
                          const struct hs_replica_message *message,
                          uint64_t now);
static bool follow (struct hs_replica *replica,
                    const struct hs_replica_message *message, uint64_t now);
static void campaign (struct hs_replica *replica, bool pre, uint64_t now);
static void set_term (struct hs_replica *replica, uint64_t term,
                      uint64_t vote);
static void rearm_election (struct hs_replica *replica, uint64_t now);
static void ask_to_join (struct hs_replica *replica, uint64_t now);
static void release_messages (struct hs_replica *replica);
static uint64_t next_random (struct hs_replica *replica);

/* Public definitions.  */

struct hs_replica *
hs_replica_create (void *parent, const struct hs_control_host *self,
                   uint64_t seed, const struct hs_replica_ops *ops, void *ctx)
{
  struct hs_replica *replica = talloc_zero (parent, struct hs_replica);

  replica->self = *self;
  replica->random = seed | 1;
  replica->ops = *ops;
  replica->ctx = ctx;
  replica->disk_works = true;
  hs_list_init (&replica->log);
  hs_list_init (&replica->peers);
  hs_list_init (&replica->held);
  hs_list_init (&replica->writes);
  return replica;
}

void
hs_replica_destroy (struct hs_replica *replica)
{
  talloc_free (replica);
}

void
hs_replica_load (struct hs_replica *replica,
                 const struct hs_replica_record *record)
{
  switch (record->type)
    {
    case HS_REPLICA_RECORD_HOST:
      replica->self.id = record->id;
      break;
    case HS_REPLICA_RECORD_TERM:
      replica->term = record->term;
      replica->vote = record->vote;
      break;
    case HS_REPLICA_RECORD_ENTRY:
      hs_replica_log_cut (replica, record->entry->index);
      hs_replica_log_append (replica, record->entry);
      break;
    case HS_REPLICA_RECORD_BASE:
      hs_replica_log_reset (replica, record->base);
      break;
    case HS_REPLICA_RECORD_COMMIT:
      replica->commit_loaded = record->id;
      break;
    }
  replica->loaded = true;
}

void
hs_replica_found (struct hs_replica *replica, uint64_t id,
                  const struct hs_members *members)
{
  replica->self.id = id;
  replica->base.members = *members;
}

void
hs_replica_start (struct hs_replica *replica, uint64_t now)
{
  replica->members = *hs_replica_log_members (replica);
  replica->commit = replica->base.index;
  replica->applied = replica->base.index;
  if (replica->base.len > 0)
    replica->ops.restore (replica->ctx, replica->base.data, replica->base.len);
  hs_replica_log_commit (replica,
                         replica->commit_loaded < hs_replica_last (replica)
                             ? replica->commit_loaded
                             : hs_replica_last (replica));
  replica->durable = hs_replica_last (replica);
  replica->election_due
      = now + ELECTION_FIRST_MS + next_random (replica) % ELECTION_SPREAD_MS;
  replica->ticked_at = now;
  if (!replica->loaded)
    hs_replica_image (replica);
}

void
hs_replica_tick (struct hs_replica *replica, uint64_t now)
{
  /* After a freeze others may well have elected a leader.  */
  if (now - replica->ticked_at > ASLEEP_MS)
    rearm_election (replica, now);
  replica->ticked_at = now;
  if (!replica->disk_works)
    return;
  if (replica->role == ROLE_LEADER)
    hs_replica_lead (replica, now);
  else if (hs_replica_is_member (replica, replica->self.id))
    {
      if (now >= replica->election_due)
        campaign (replica, true, now);
    }
  else if (now >= replica->join_due)
    ask_to_join (replica, now);
}

void
hs_replica_receive (struct hs_replica *replica,
                    const struct hs_replica_message *message, uint64_t now)
{
  if ((message->to != 0 && message->to != replica->self.id)
      || message->from.id == replica->self.id || !replica->disk_works)
    return;
  switch (message->type)
    {
    case HS_REPLICA_ASK_VOTE:
      on_ask_vote (replica, message, now);
      break;
    case HS_REPLICA_VOTE:
      on_vote (replica, message, now);
      break;
    case HS_REPLICA_APPEND:
      on_append (replica, message, now);
      break;
    case HS_REPLICA_APPENDED:
      hs_replica_on_appended (replica, message, now);
      break;
    case HS_REPLICA_BASE:
      on_base (replica, message, now);
      break;
    case HS_REPLICA_JOIN:
      hs_replica_on_join (replica, message, now);
      break;
    case HS_REPLICA_TAKE_OVER:
      on_take_over (replica, message, now);
      break;
    }
}

void
hs_replica_synced (struct hs_replica *replica, uint64_t seq, uint64_t now)
{
  replica->synced_seq = seq;
  while (!hs_list_is_empty (&replica->writes))
    {
      struct sync_mark *mark
          = HS_LIST_ENTRY (replica->writes.next, struct sync_mark, link);

      if (mark->seq > seq)
        break;
      replica->durable = mark->index;
      hs_list_remove (&mark->link);
      talloc_free (mark);
    }
  release_messages (replica);
  if (replica->role == ROLE_LEADER)
    hs_replica_advance_commit (replica, now);
}

void
hs_replica_set_disk (struct hs_replica *replica, bool works)
{
  replica->disk_works = works;
  if (!works)
    hs_replica_step_down (replica, replica->term);
}

void
hs_replica_image (struct hs_replica *replica)
{
  struct hs_replica_record host
      = { .type = HS_REPLICA_RECORD_HOST, .id = replica->self.id };
  struct hs_replica_record term = { .type = HS_REPLICA_RECORD_TERM,
                                    .term = replica->term,
                                    .vote = replica->vote };
  struct hs_replica_record base
      = { .type = HS_REPLICA_RECORD_BASE, .base = &replica->base };

  replica->commit_written = 0;
  replica->ops.write (replica->ctx, &host);
  replica->ops.write (replica->ctx, &term);
  replica->ops.write (replica->ctx, &base);
  HS_LIST_FOREACH (link, &replica->log)
    {
      struct hs_replica_record entry
          = { .type = HS_REPLICA_RECORD_ENTRY,
              .entry = HS_LIST_ENTRY (link, struct hs_log_entry, link) };

      replica->ops.write (replica->ctx, &entry);
    }
  hs_replica_sync (replica);
}

void
hs_replica_set_contacts (struct hs_replica *replica,
                         const struct hs_addr *contacts, size_t len)
{
  replica->contacts_len = len < HS_GROUP_MAX ? len : HS_GROUP_MAX;
  memcpy (replica->contacts, contacts,
          replica->contacts_len * sizeof *contacts);
}

bool
hs_replica_leads (const struct hs_replica *replica)
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
hs_replica_applied (const struct hs_replica *replica)
{
  return replica->applied;
}

const struct hs_members *
hs_replica_members (const struct hs_replica *replica)
{
  return &replica->members;
}

/* For the files of this package.  */

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

/* Sends MESSAGE, which has no entries, once all written so far is synced. */
void
hs_replica_send_synced (struct hs_replica *replica, const struct hs_addr *to,
                        struct hs_replica_message *message)
{
  struct held_message *held;

  message->from = replica->self;
  if (message->term == 0)
    message->term = replica->term;
  if (replica->synced_seq == replica->sync_seq)
    {
      replica->ops.send (replica->ctx, to, message);
      return;
    }
  held = talloc_zero (replica, struct held_message);
  held->seq = replica->sync_seq;
  held->to = *to;
  held->message = *message;
  hs_list_append (&replica->held, &held->link);
}

void
hs_replica_sync (struct hs_replica *replica)
{
  struct sync_mark *mark = talloc_zero (replica, struct sync_mark);
  struct hs_replica_record commit
      = { .type = HS_REPLICA_RECORD_COMMIT, .id = replica->commit };

  /* It costs no sync of its own, and a host that starts can serve what it
     knows before a leader is found.  */
  if (replica->commit_written != replica->commit)
    replica->ops.write (replica->ctx, &commit);
  replica->commit_written = replica->commit;
  mark->seq = ++replica->sync_seq;
  mark->index = hs_replica_last (replica);
  hs_list_append (&replica->writes, &mark->link);
  replica->ops.sync (replica->ctx, mark->seq);
}

void
hs_replica_step_down (struct hs_replica *replica, uint64_t term)
{
  bool changed = replica->role != ROLE_FOLLOWER || replica->leader.id != 0;

  if (term > replica->term)
    set_term (replica, term, 0);
  replica->role = ROLE_FOLLOWER;
  replica->leader.id = 0;
  rearm_election (replica, replica->ticked_at);
  if (changed)
    replica->ops.changed (replica->ctx);
}

/* Private definitions.  */

static void
on_ask_vote (struct hs_replica *replica,
             const struct hs_replica_message *message, uint64_t now)
{
  struct hs_replica_message vote = { .type = HS_REPLICA_VOTE,
                                     .to = message->from.id,
                                     .pre = message->pre,
                                     .round = message->term };

  /* A host whose joining is not in its own log yet may be needed for the
     majority of those who have it.  */
  if (message->to != replica->self.id)
    return;
  vote.granted = may_grant (replica, message, now);
  if (!message->pre && message->term > replica->term)
    hs_replica_step_down (replica, message->term);
  if (!message->pre && vote.granted)
    {
      set_term (replica, message->term, message->from.id);
      rearm_election (replica, now);
    }
  hs_replica_send_synced (replica, &message->from.inner, &vote);
}

/* A host that hears from a leader helps nobody to depose it.  */
static bool
may_grant (const struct hs_replica *replica,
           const struct hs_replica_message *message, uint64_t now)
{
  uint64_t last_term = hs_replica_log_last_term (replica);
  bool up_to_date = message->log_term > last_term
                    || (message->log_term == last_term
                        && message->index >= hs_replica_last (replica));

  if (!up_to_date || message->term < replica->term)
    return false;
  if (message->pre)
    return replica->role != ROLE_LEADER
           && (replica->leader.id == 0
               || now - replica->led_at >= ELECTION_MIN_MS);
  return message->term > replica->term || replica->vote == 0
         || replica->vote == message->from.id;
}

/* ROUND is the term that was asked for.  */
static void
on_vote (struct hs_replica *replica, const struct hs_replica_message *message,
         uint64_t now)
{
  uint64_t asked = replica->role == ROLE_PRE_CANDIDATE ? replica->term + 1
                                                       : replica->term;

  if (message->term > replica->term)
    {
      hs_replica_step_down (replica, message->term);
      return;
    }
  if ((replica->role != ROLE_PRE_CANDIDATE && replica->role != ROLE_CANDIDATE)
      || message->pre != (replica->role == ROLE_PRE_CANDIDATE)
      || message->round != asked || !message->granted
      || !hs_replica_is_member (replica, message->from.id))
    return;
  for (size_t i = 0; i < replica->votes_len; i++)
    if (replica->votes[i] == message->from.id)
      return;
  replica->votes[replica->votes_len++] = message->from.id;
  if (replica->votes_len < hs_replica_majority (replica))
    return;
  if (replica->role == ROLE_PRE_CANDIDATE)
    campaign (replica, false, now);
  else
    hs_replica_become_leader (replica, now);
}

static void
on_append (struct hs_replica *replica,
           const struct hs_replica_message *message, uint64_t now)
{
  struct hs_replica_message appended = { .type = HS_REPLICA_APPENDED,
                                         .to = message->from.id,
                                         .round = message->round };

  if (!follow (replica, message, now))
    return;
  appended.granted = hs_replica_log_take (replica, message, &appended.index);
  if (appended.granted)
    hs_replica_log_commit (replica, message->commit < appended.index
                                        ? message->commit
                                        : appended.index);
  hs_replica_send_synced (replica, &message->from.inner, &appended);
}

static void
on_base (struct hs_replica *replica, const struct hs_replica_message *message,
         uint64_t now)
{
  struct hs_replica_message appended = { .type = HS_REPLICA_APPENDED,
                                         .to = message->from.id,
                                         .round = message->round,
                                         .granted = true,
                                         .index = message->base->index };
  struct hs_replica_record record
      = { .type = HS_REPLICA_RECORD_BASE, .base = message->base };

  if (!follow (replica, message, now))
    return;
  if (message->base->index > replica->commit)
    {
      hs_replica_log_reset (replica, message->base);
      replica->members = *hs_replica_log_members (replica);
      replica->commit = replica->base.index;
      replica->applied = replica->base.index;
      replica->ops.write (replica->ctx, &record);
      hs_replica_sync (replica);
      replica->ops.restore (replica->ctx, replica->base.data,
                            replica->base.len);
      replica->ops.changed (replica->ctx);
    }
  hs_replica_send_synced (replica, &message->from.inner, &appended);
}

static void
on_take_over (struct hs_replica *replica,
              const struct hs_replica_message *message, uint64_t now)
{
  if (message->term == replica->term
      && hs_replica_is_member (replica, replica->self.id))
    campaign (replica, false, now);
}

/* Whether MESSAGE is of the leader of this term.  */
static bool
follow (struct hs_replica *replica, const struct hs_replica_message *message,
        uint64_t now)
{
  struct hs_replica_message stale
      = { .type = HS_REPLICA_APPENDED, .to = message->from.id };
  bool changed;

  if (message->term < replica->term)
    {
      hs_replica_send_synced (replica, &message->from.inner, &stale);
      return false;
    }
  if (message->term > replica->term || replica->role != ROLE_FOLLOWER)
    hs_replica_step_down (replica, message->term);
  changed = replica->leader.id != message->from.id;
  replica->leader = message->from;
  replica->led_at = now;
  rearm_election (replica, now);
  if (changed)
    replica->ops.changed (replica->ctx);
  return true;
}

static void
campaign (struct hs_replica *replica, bool pre, uint64_t now)
{
  struct hs_replica_message ask
      = { .type = HS_REPLICA_ASK_VOTE,
          .pre = pre,
          .term = replica->term + 1,
          .index = hs_replica_last (replica),
          .log_term = hs_replica_log_last_term (replica) };

  if (replica->leader.id != 0)
    {
      replica->leader.id = 0;
      replica->ops.changed (replica->ctx);
    }
  replica->role = pre ? ROLE_PRE_CANDIDATE : ROLE_CANDIDATE;
  replica->votes[0] = replica->self.id;
  replica->votes_len = 1;
  rearm_election (replica, now);
  if (!pre)
    set_term (replica, replica->term + 1, replica->self.id);
  for (size_t i = 0; i < replica->members.len; i++)
    {
      struct hs_replica_message copy = ask;

      if (replica->members.hosts[i].id == replica->self.id)
        continue;
      copy.to = replica->members.hosts[i].id;
      hs_replica_send_synced (replica, &replica->members.hosts[i].inner,
                              &copy);
    }
  if (replica->votes_len < hs_replica_majority (replica))
    return;
  if (pre)
    campaign (replica, false, now);
  else
    hs_replica_become_leader (replica, now);
}

static void
set_term (struct hs_replica *replica, uint64_t term, uint64_t vote)
{
  struct hs_replica_record record
      = { .type = HS_REPLICA_RECORD_TERM, .term = term, .vote = vote };

  if (replica->term == term && replica->vote == vote)
    return;
  replica->term = term;
  replica->vote = vote;
  replica->ops.write (replica->ctx, &record);
  hs_replica_sync (replica);
}

static void
rearm_election (struct hs_replica *replica, uint64_t now)
{
  replica->election_due
      = now + ELECTION_MIN_MS + next_random (replica) % ELECTION_SPREAD_MS;
}

static void
ask_to_join (struct hs_replica *replica, uint64_t now)
{
  struct hs_replica_message join = { .type = HS_REPLICA_JOIN };

  replica->join_due = now + JOIN_MS;
  for (size_t i = 0; i < replica->contacts_len; i++)
    if (!hs_addr_equal (&replica->contacts[i], &replica->self.inner))
      hs_replica_send (replica, &replica->contacts[i], &join);
}

static void
release_messages (struct hs_replica *replica)
{
  while (!hs_list_is_empty (&replica->held))
    {
      struct held_message *held
          = HS_LIST_ENTRY (replica->held.next, struct held_message, link);

      if (held->seq > replica->synced_seq)
        break;
      /* A later term has made it worthless.  */
      if (held->message.term >= replica->term)
        replica->ops.send (replica->ctx, &held->to, &held->message);
      hs_list_remove (&held->link);
      talloc_free (held);
    }
}

/* xorshift64: only to spread elections in time.  */
static uint64_t
next_random (struct hs_replica *replica)
{
  replica->random ^= replica->random << 13;
  replica->random ^= replica->random >> 7;
  replica->random ^= replica->random << 17;
  return replica->random;
}
