/* replica_leader.c -- the work of a leader: replicating the log, committing
   entries, confirming reads and changing the members.  */

#include "consensus/replica_state.h"

#include <talloc.h>

/* Types.  */

/* Bytes of entry data in a message, so that it fits in a datagram.  */
#define APPEND_BYTES_MAX HS_COMMAND_SIZE_MAX

/* Entries by which a host that joins may be behind the commit index when it
   becomes a member.  */
#define JOIN_LAG_MAX 8

/* Private functions.  */

static uint64_t append_entry (struct hs_replica *replica,
                              const struct hs_replica_log_entry *entry,
                              uint64_t now);
static void send_append_to_all (struct hs_replica *replica, uint64_t now);
static void send_append (struct hs_replica *replica, struct peer *peer,
                         uint64_t now);
static void add_entries (const struct hs_replica *replica,
                         struct hs_replica_message *append, uint64_t index);
static void add_missing_peers (struct hs_replica *replica, uint64_t now);
static struct peer *find_peer (const struct hs_replica *replica, uint64_t id);
static struct peer *add_peer (struct hs_replica *replica,
                              const struct hs_control_host *host,
                              uint64_t now);
static bool has_majority_contact (const struct hs_replica *replica,
                                  uint64_t now);
static void update_members (struct hs_replica *replica, uint64_t now);
static bool update_joining (struct hs_replica *replica,
                            const struct peer *peer, uint64_t now);
static const struct hs_control_host *
find_member_at (const struct hs_replica *replica, const struct hs_addr *addr);
static const struct hs_control_host *
find_silent_member (const struct hs_replica *replica, uint64_t silent_ms,
                    uint64_t now);
static void propose_remove (struct hs_replica *replica, uint64_t id,
                            uint64_t now);
static void propose_add (struct hs_replica *replica,
                         const struct hs_control_host *host, uint64_t now);
static bool members_are_committed (const struct hs_replica *replica);
static bool is_even (size_t len);

/* Public definitions.  */

uint64_t
hs_replica_propose (struct hs_replica *replica, const uint8_t *data,
                    size_t len, uint64_t now)
{
  struct hs_replica_log_entry entry = { .kind = HS_REPLICA_ENTRY_COMMAND,
                                        .len = len,
                                        .data = (uint8_t *)data };

  if (replica->role != ROLE_LEADER || len > HS_COMMAND_SIZE_MAX)
    return 0;
  return append_entry (replica, &entry, now);
}

uint64_t
hs_replica_begin_read (struct hs_replica *replica, uint64_t now)
{
  if (replica->role != ROLE_LEADER)
    return 0;
  replica->read_round++;
  send_append_to_all (replica, now);
  return replica->read_round;
}

uint64_t
hs_replica_confirmed_round (const struct hs_replica *replica)
{
  uint64_t best = 0;

  if (replica->role != ROLE_LEADER
      || replica->commit_index < replica->term_first_index)
    return 0;
  if (replica->members.len == 1)
    return replica->read_round;
  /* The latest round that a majority, this host included, has answered.  */
  HS_LIST_FOREACH (link, &replica->peers)
    {
      uint64_t round
          = HS_LIST_ENTRY (link, struct peer, link)->confirmed_round;
      size_t answered = 1;

      HS_LIST_FOREACH (other, &replica->peers)
        {
          const struct peer *peer = HS_LIST_ENTRY (other, struct peer, link);

          answered += hs_replica_is_member (replica, peer->host.id)
                      && peer->confirmed_round >= round;
        }
      if (answered >= hs_replica_majority (replica) && round > best)
        best = round;
    }
  return best;
}

void
hs_replica_transfer_leadership (struct hs_replica *replica, uint64_t now)
{
  struct hs_replica_message request = { .type = HS_REPLICA_START_ELECTION };
  const struct peer *best = NULL;

  (void)now;
  if (replica->role != ROLE_LEADER)
    return;
  HS_LIST_FOREACH (link, &replica->peers)
    {
      const struct peer *peer = HS_LIST_ENTRY (link, struct peer, link);

      if (hs_replica_is_member (replica, peer->host.id)
          && (best == NULL || peer->match_index > best->match_index))
        best = peer;
    }
  if (best == NULL)
    return;
  request.to = best->host.id;
  hs_replica_send (replica, &best->host.inner_address, &request);
}

size_t
hs_replica_list_hosts (const struct hs_replica *replica,
                       struct hs_control_host *hosts, size_t max)
{
  size_t len = 0;

  for (size_t i = 0; i < replica->members.len && len < max; i++)
    hosts[len++] = replica->members.hosts[i];
  if (replica->role != ROLE_LEADER)
    return len;
  HS_LIST_FOREACH (link, &replica->peers)
    {
      const struct peer *peer = HS_LIST_ENTRY (link, struct peer, link);

      if (!hs_replica_is_member (replica, peer->host.id) && len < max)
        hosts[len++] = peer->host;
    }
  return len;
}

/* Internal to src/consensus.  */

void
hs_replica_become_leader (struct hs_replica *replica, uint64_t now)
{
  struct hs_replica_log_entry noop = { .kind = HS_REPLICA_ENTRY_NOOP };

  replica->role = ROLE_LEADER;
  replica->leader = replica->self;
  replica->heartbeat_due = now;
  HS_LIST_FOREACH (link, &replica->peers)
    {
      hs_list_remove (link);
      talloc_free (HS_LIST_ENTRY (link, struct peer, link));
    }
  add_missing_peers (replica, now);
  replica->term_first_index = append_entry (replica, &noop, now);
  replica->ops.state_changed (replica->ctx);
}

void
hs_replica_leader_tick (struct hs_replica *replica, uint64_t now)
{
  if (!has_majority_contact (replica, now))
    {
      hs_replica_step_down (replica, replica->term);
      return;
    }
  if (now >= replica->heartbeat_due)
    {
      /* Entries that were not acknowledged since the last heartbeat are sent
         again.  */
      HS_LIST_FOREACH (link, &replica->peers)
        {
          struct peer *peer = HS_LIST_ENTRY (link, struct peer, link);

          if (now - peer->last_sent_at >= HEARTBEAT_MS)
            peer->next_index = peer->match_index + 1;
        }
      send_append_to_all (replica, now);
    }
  update_members (replica, now);
}

void
hs_replica_advance_commit (struct hs_replica *replica, uint64_t now)
{
  uint64_t best = replica->commit_index;

  /* Only an entry of the leader's own term is committed by counting the hosts
     that have it: a later leader may still overwrite an older entry, even one
     that a majority has.  Older entries are committed along with it.  */
  for (uint64_t index = hs_replica_last_index (replica);
       index > replica->commit_index && index >= replica->term_first_index;
       index--)
    {
      size_t count = replica->durable_index >= index
                     && hs_replica_is_member (replica, replica->self.id);

      HS_LIST_FOREACH (link, &replica->peers)
        {
          const struct peer *peer = HS_LIST_ENTRY (link, struct peer, link);

          count += hs_replica_is_member (replica, peer->host.id)
                   && peer->match_index >= index;
        }
      if (count < hs_replica_majority (replica))
        continue;
      best = index;
      break;
    }
  if (best == replica->commit_index)
    return;
  hs_replica_log_commit (replica, best);
  send_append_to_all (replica, now);
}

void
hs_replica_on_append_reply (struct hs_replica *replica,
                            const struct hs_replica_message *message,
                            uint64_t now)
{
  struct peer *peer;

  if (message->term > replica->term)
    {
      hs_replica_step_down (replica, message->term);
      return;
    }
  peer = find_peer (replica, message->from.id);
  if (replica->role != ROLE_LEADER || message->term != replica->term
      || peer == NULL)
    return;
  peer->last_heard_at = now;
  if (message->request_tag > peer->confirmed_round)
    peer->confirmed_round = message->request_tag;
  if (!message->success)
    {
      peer->next_index = message->index + 1;
      send_append (replica, peer, now);
      return;
    }
  if (message->index > peer->match_index)
    peer->match_index = message->index;
  if (peer->next_index <= peer->match_index)
    peer->next_index = peer->match_index + 1;
  hs_replica_advance_commit (replica, now);
  if (peer->next_index <= hs_replica_last_index (replica))
    send_append (replica, peer, now);
}

/* A host that joins receives the log first, and becomes a member when it has
   caught up.  A follower forwards the request to its leader.  */
void
hs_replica_on_join (struct hs_replica *replica,
                    const struct hs_replica_message *message, uint64_t now)
{
  struct hs_replica_message copy = *message;

  if (replica->role == ROLE_LEADER)
    {
      if (find_peer (replica, message->from.id) == NULL)
        send_append (replica, add_peer (replica, &message->from, now), now);
    }
  else if (replica->leader.id != 0 && message->to == 0)
    {
      copy.to = replica->leader.id;
      replica->ops.send (replica->ctx, &replica->leader.inner_address, &copy);
    }
}

/* Private definitions.  */

static uint64_t
append_entry (struct hs_replica *replica,
              const struct hs_replica_log_entry *entry, uint64_t now)
{
  struct hs_replica_log_entry copy = *entry;
  struct hs_replica_record record
      = { .type = HS_REPLICA_RECORD_ENTRY, .entry = &copy };

  copy.index = hs_replica_last_index (replica) + 1;
  copy.term = replica->term;
  hs_replica_log_append (replica, &copy);
  replica->ops.write_record (replica->ctx, &record);
  hs_replica_sync (replica);
  if (copy.kind == HS_REPLICA_ENTRY_MEMBERS)
    {
      replica->members = copy.members;
      add_missing_peers (replica, now);
    }
  send_append_to_all (replica, now);
  return copy.index;
}

static void
send_append_to_all (struct hs_replica *replica, uint64_t now)
{
  replica->heartbeat_due = now + HEARTBEAT_MS;
  HS_LIST_FOREACH (link, &replica->peers)
    send_append (replica, HS_LIST_ENTRY (link, struct peer, link), now);
}

/* Sends PEER the next entries that it needs, or a heartbeat if there are none,
   or the snapshot if the log no longer has them.  */
static void
send_append (struct hs_replica *replica, struct peer *peer, uint64_t now)
{
  struct hs_replica_message message = { .type = HS_REPLICA_APPEND,
                                        .to = peer->host.id,
                                        .commit_index = replica->commit_index,
                                        .request_tag = replica->read_round };

  peer->last_sent_at = now;
  if (peer->next_index <= replica->snapshot.index)
    {
      message.type = HS_REPLICA_INSTALL_SNAPSHOT;
      message.snapshot = &replica->snapshot;
      peer->next_index = replica->snapshot.index + 1;
      hs_replica_send (replica, &peer->host.inner_address, &message);
      return;
    }
  message.index = peer->next_index - 1;
  message.log_term = hs_replica_log_term (replica, message.index);
  add_entries (replica, &message, peer->next_index);
  peer->next_index += message.entries_len;
  hs_replica_send (replica, &peer->host.inner_address, &message);
}

/* Adds to APPEND the entries from INDEX on, as many as fit in a message.  */
static void
add_entries (const struct hs_replica *replica,
             struct hs_replica_message *append, uint64_t index)
{
  const struct hs_replica_log_entry *entry
      = hs_replica_log_find (replica, index);
  size_t bytes = 0;

  while (
      entry != NULL && append->entries_len < HS_APPEND_ENTRIES_MAX
      && (append->entries_len == 0 || bytes + entry->len <= APPEND_BYTES_MAX))
    {
      bytes += entry->len;
      append->entries[append->entries_len++] = entry;
      entry = entry->link.next != &replica->log ? HS_LIST_ENTRY (
                  entry->link.next, struct hs_replica_log_entry, link)
                                                : NULL;
    }
}

/* Adds a peer for each other member that has none.  Peers that are not
   members stay.  */
static void
add_missing_peers (struct hs_replica *replica, uint64_t now)
{
  for (size_t i = 0; i < replica->members.len; i++)
    {
      const struct hs_control_host *host = &replica->members.hosts[i];

      if (host->id != replica->self.id
          && find_peer (replica, host->id) == NULL)
        add_peer (replica, host, now);
    }
}

static struct peer *
find_peer (const struct hs_replica *replica, uint64_t id)
{
  HS_LIST_FOREACH (link, &replica->peers)
    {
      struct peer *peer = HS_LIST_ENTRY (link, struct peer, link);

      if (peer->host.id == id)
        return peer;
    }
  return NULL;
}

static struct peer *
add_peer (struct hs_replica *replica, const struct hs_control_host *host,
          uint64_t now)
{
  struct peer *peer = talloc_zero (replica, struct peer);

  peer->host = *host;
  peer->next_index = hs_replica_last_index (replica) + 1;
  peer->last_heard_at = now;
  hs_list_append (&replica->peers, &peer->link);
  return peer;
}

static bool
has_majority_contact (const struct hs_replica *replica, uint64_t now)
{
  size_t heard = hs_replica_is_member (replica, replica->self.id);

  HS_LIST_FOREACH (link, &replica->peers)
    {
      const struct peer *peer = HS_LIST_ENTRY (link, struct peer, link);

      heard += hs_replica_is_member (replica, peer->host.id)
               && now - peer->last_heard_at <= QUORUM_TIMEOUT_MS;
    }
  return heard >= hs_replica_majority (replica);
}

/* Adds or removes at most one member.  The previous change must be committed,
   and so must an entry of this term: otherwise two majorities could form
   that have no host in common.  */
static void
update_members (struct hs_replica *replica, uint64_t now)
{
  const struct hs_control_host *silent;

  if (replica->commit_index < replica->term_first_index
      || !members_are_committed (replica))
    return;
  HS_LIST_FOREACH (link, &replica->peers)
    {
      struct peer *peer = HS_LIST_ENTRY (link, struct peer, link);

      if (hs_replica_is_member (replica, peer->host.id))
        continue;
      /* The host stopped replying before it became a member.  */
      if (now - peer->last_heard_at > MEMBER_TIMEOUT_MS)
        {
          hs_list_remove (link);
          talloc_free (peer);
          continue;
        }
      if (update_joining (replica, peer, now))
        return;
    }
  /* A group of four tolerates no more losses than one of three.  An odd group,
     or a small one, keeps a silent member until another host can take its
     place, so that as many disks as before have each entry.  */
  silent = find_silent_member (replica, MEMBER_TIMEOUT_MS, now);
  if (silent != NULL && is_even (replica->members.len)
      && replica->members.len > replica->min_size)
    propose_remove (replica, silent->id, now);
}

/* Makes PEER a member once it has caught up.  A member that is gone is removed
   first: one at the same address, which has lost its disk, or one that has
   been silent for MEMBER_TIMEOUT_MS.  An even group, from which one has just
   been removed, adds PEER before it removes another one.  Returns whether the
   members changed.  */
static bool
update_joining (struct hs_replica *replica, const struct peer *peer,
                uint64_t now)
{
  const struct hs_control_host *replaced
      = find_member_at (replica, &peer->host.inner_address);

  if (peer->match_index + JOIN_LAG_MAX < replica->commit_index
      || peer->match_index == 0)
    return false;
  if (replaced == NULL && !is_even (replica->members.len))
    replaced = find_silent_member (replica, MEMBER_TIMEOUT_MS, now);
  if (replaced != NULL)
    {
      propose_remove (replica, replaced->id, now);
      return true;
    }
  if (replica->members.len >= replica->target_size)
    return false;
  /* An even group needs one host more for its majority.  The silent member
     may be about to be replaced by PEER.  */
  if (!is_even (replica->members.len)
      && find_silent_member (replica, QUORUM_TIMEOUT_MS, now) != NULL)
    return false;
  propose_add (replica, &peer->host, now);
  return true;
}

/* Returns the other member at ADDR, or NULL.  */
static const struct hs_control_host *
find_member_at (const struct hs_replica *replica, const struct hs_addr *addr)
{
  for (size_t i = 0; i < replica->members.len; i++)
    if (replica->members.hosts[i].id != replica->self.id
        && hs_addr_equal (&replica->members.hosts[i].inner_address, addr))
      return &replica->members.hosts[i];
  return NULL;
}

/* Returns a member that has not replied for longer than SILENT_MS, or NULL. */
static const struct hs_control_host *
find_silent_member (const struct hs_replica *replica, uint64_t silent_ms,
                    uint64_t now)
{
  for (size_t i = 0; i < replica->members.len; i++)
    {
      const struct hs_control_host *host = &replica->members.hosts[i];
      const struct peer *peer = find_peer (replica, host->id);

      if (peer != NULL && now - peer->last_heard_at > silent_ms)
        return host;
    }
  return NULL;
}

static void
propose_remove (struct hs_replica *replica, uint64_t id, uint64_t now)
{
  struct hs_replica_log_entry entry = { .kind = HS_REPLICA_ENTRY_MEMBERS };

  for (size_t i = 0; i < replica->members.len; i++)
    if (replica->members.hosts[i].id != id)
      entry.members.hosts[entry.members.len++] = replica->members.hosts[i];
  append_entry (replica, &entry, now);
}

static void
propose_add (struct hs_replica *replica, const struct hs_control_host *host,
             uint64_t now)
{
  struct hs_replica_log_entry entry
      = { .kind = HS_REPLICA_ENTRY_MEMBERS, .members = replica->members };

  entry.members.hosts[entry.members.len++] = *host;
  append_entry (replica, &entry, now);
}

static bool
members_are_committed (const struct hs_replica *replica)
{
  for (uint64_t index = hs_replica_last_index (replica);
       index > replica->commit_index; index--)
    {
      const struct hs_replica_log_entry *entry
          = hs_replica_log_find (replica, index);

      if (entry != NULL && entry->kind == HS_REPLICA_ENTRY_MEMBERS)
        return false;
    }
  return true;
}

static bool
is_even (size_t len)
{
  return len % 2 == 0;
}
