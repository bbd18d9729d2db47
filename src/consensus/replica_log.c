/* replica_log.c -- the log of a replica: its entries, commit index and
   compaction.  */

#include "consensus/replica_state.h"

#include <talloc.h>

/* Private functions.  */

static struct hs_replica_log_entry *
last_entry (const struct hs_replica *replica);
static void remove_until (struct hs_replica *replica, uint64_t index);
static void compact (struct hs_replica *replica);

/* Public definitions.  */

uint64_t
hs_replica_last_index (const struct hs_replica *replica)
{
  const struct hs_replica_log_entry *last = last_entry (replica);

  return last != NULL ? last->index : replica->snapshot.index;
}

/* Internal to src/consensus.  */

const struct hs_replica_log_entry *
hs_replica_log_find (const struct hs_replica *replica, uint64_t index)
{
  for (const struct hs_list *link = replica->log.prev; link != &replica->log;
       link = link->prev)
    {
      const struct hs_replica_log_entry *entry
          = HS_LIST_ENTRY (link, struct hs_replica_log_entry, link);

      if (entry->index == index)
        return entry;
      if (entry->index < index)
        break;
    }
  return NULL;
}

uint64_t
hs_replica_log_term (const struct hs_replica *replica, uint64_t index)
{
  const struct hs_replica_log_entry *entry
      = hs_replica_log_find (replica, index);

  if (entry != NULL)
    return entry->term;
  return index == replica->snapshot.index ? replica->snapshot.term : 0;
}

uint64_t
hs_replica_log_last_term (const struct hs_replica *replica)
{
  const struct hs_replica_log_entry *last = last_entry (replica);

  return last != NULL ? last->term : replica->snapshot.term;
}

/* A change of the members takes effect as soon as it is in the log, committed
   or not.  */
const struct hs_control_members *
hs_replica_log_members (const struct hs_replica *replica)
{
  for (const struct hs_list *link = replica->log.prev; link != &replica->log;
       link = link->prev)
    {
      const struct hs_replica_log_entry *entry
          = HS_LIST_ENTRY (link, struct hs_replica_log_entry, link);

      if (entry->kind == HS_REPLICA_ENTRY_MEMBERS)
        return &entry->members;
    }
  return &replica->snapshot.members;
}

void
hs_replica_log_append (struct hs_replica *replica,
                       const struct hs_replica_log_entry *entry)
{
  struct hs_replica_log_entry *copy
      = talloc_memdup (replica, entry, sizeof *entry);

  copy->data = talloc_memdup (copy, entry->data, entry->len);
  hs_list_init (&copy->link);
  hs_list_append (&replica->log, &copy->link);
}

void
hs_replica_log_truncate (struct hs_replica *replica, uint64_t index)
{
  struct hs_replica_log_entry *last = last_entry (replica);

  if (replica->durable_index >= index && index > 0)
    replica->durable_index = index - 1;
  HS_LIST_FOREACH (link, &replica->pending_syncs)
    {
      struct pending_sync *sync
          = HS_LIST_ENTRY (link, struct pending_sync, link);

      if (sync->index >= index && index > 0)
        sync->index = index - 1;
    }
  while (last != NULL && last->index >= index)
    {
      hs_list_remove (&last->link);
      talloc_free (last);
      last = last_entry (replica);
    }
}

/* Entries after the snapshot stay if the log agrees with it at its end: this
   host may have acknowledged them.  */
void
hs_replica_log_install_snapshot (struct hs_replica *replica,
                                 const struct hs_replica_snapshot *snapshot)
{
  uint8_t *old = replica->snapshot.data;

  if (hs_replica_log_term (replica, snapshot->index) == snapshot->term)
    remove_until (replica, snapshot->index);
  else
    hs_replica_log_truncate (replica, replica->snapshot.index + 1);
  replica->snapshot = *snapshot;
  replica->snapshot.data
      = talloc_memdup (replica, snapshot->data, snapshot->len);
  talloc_free (old);
}

bool
hs_replica_log_accept (struct hs_replica *replica,
                       const struct hs_replica_message *append,
                       uint64_t *match)
{
  bool written = false;

  *match = append->index;
  if (append->index > replica->commit_index
      && hs_replica_log_term (replica, append->index) != append->log_term)
    {
      /* The leader is to resume after the end of this log if it is too short,
         or else after the committed entries, on which both logs agree.  */
      *match = hs_replica_last_index (replica) < append->index
                   ? hs_replica_last_index (replica)
                   : replica->commit_index;
      return false;
    }
  for (size_t i = 0; i < append->entries_len; i++)
    {
      const struct hs_replica_log_entry *entry = append->entries[i];
      struct hs_replica_record record
          = { .type = HS_REPLICA_RECORD_ENTRY, .entry = entry };

      *match = entry->index;
      if (entry->index <= replica->commit_index
          || hs_replica_log_term (replica, entry->index) == entry->term)
        continue;
      hs_replica_log_truncate (replica, entry->index);
      hs_replica_log_append (replica, entry);
      replica->ops.write_record (replica->ctx, &record);
      written = true;
    }
  if (written)
    {
      replica->members = *hs_replica_log_members (replica);
      hs_replica_sync (replica);
    }
  return true;
}

void
hs_replica_log_commit (struct hs_replica *replica, uint64_t index)
{
  if (index <= replica->commit_index)
    return;
  replica->commit_index = index;
  while (replica->applied_index < replica->commit_index)
    {
      const struct hs_replica_log_entry *entry
          = hs_replica_log_find (replica, replica->applied_index + 1);

      if (entry == NULL)
        break;
      replica->applied_index++;
      if (entry->kind == HS_REPLICA_ENTRY_COMMAND)
        replica->ops.apply (replica->ctx, entry);
      else if (entry->kind == HS_REPLICA_ENTRY_MEMBERS)
        replica->ops.state_changed (replica->ctx);
    }
  compact (replica);
}

/* Private definitions.  */

static struct hs_replica_log_entry *
last_entry (const struct hs_replica *replica)
{
  if (hs_list_is_empty (&replica->log))
    return NULL;
  return HS_LIST_ENTRY (replica->log.prev, struct hs_replica_log_entry, link);
}

/* Removes the entries up to INDEX.  */
static void
remove_until (struct hs_replica *replica, uint64_t index)
{
  HS_LIST_FOREACH (link, &replica->log)
    {
      struct hs_replica_log_entry *entry
          = HS_LIST_ENTRY (link, struct hs_replica_log_entry, link);

      if (entry->index > index)
        return;
      hs_list_remove (link);
      talloc_free (entry);
    }
}

/* Replaces the applied entries by a snapshot, if there are enough of them.
   The records on disk keep these entries until the next rewrite.  A host that
   needs one of them is sent the snapshot instead, which is no larger than an
   entry.  */
static void
compact (struct hs_replica *replica)
{
  if (replica->applied_index < replica->snapshot.index + 2 * LOG_KEPT_MEAN)
    return;
  /* The saved state contains all applied entries, so the snapshot must cover
     them all.  */
  while (!hs_list_is_empty (&replica->log))
    {
      struct hs_replica_log_entry *entry = HS_LIST_ENTRY (
          replica->log.next, struct hs_replica_log_entry, link);

      if (entry->index > replica->applied_index)
        break;
      if (entry->kind == HS_REPLICA_ENTRY_MEMBERS)
        replica->snapshot.members = entry->members;
      replica->snapshot.index = entry->index;
      replica->snapshot.term = entry->term;
      hs_list_remove (&entry->link);
      talloc_free (entry);
    }
  talloc_free (replica->snapshot.data);
  replica->snapshot.data = replica->ops.save_snapshot (replica->ctx, replica,
                                                       &replica->snapshot.len);
}
