/* replica_log.c -- the log of a replica.  */

#include "consensus/replica_state.h"

#include <talloc.h>

/* Private functions.  */

static struct hs_log_entry *last_entry (const struct hs_replica *replica);
static void compact (struct hs_replica *replica);

/* Public definitions.  */

uint64_t
hs_replica_last (const struct hs_replica *replica)
{
  const struct hs_log_entry *last = last_entry (replica);

  return last != NULL ? last->index : replica->base.index;
}

/* For the files of this package.  */

const struct hs_log_entry *
hs_replica_log_find (const struct hs_replica *replica, uint64_t index)
{
  for (const struct hs_list *link = replica->log.prev; link != &replica->log;
       link = link->prev)
    {
      const struct hs_log_entry *entry
          = HS_LIST_ENTRY (link, struct hs_log_entry, link);

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
  const struct hs_log_entry *entry = hs_replica_log_find (replica, index);

  if (entry != NULL)
    return entry->term;
  return index == replica->base.index ? replica->base.term : 0;
}

uint64_t
hs_replica_log_last_term (const struct hs_replica *replica)
{
  const struct hs_log_entry *last = last_entry (replica);

  return last != NULL ? last->term : replica->base.term;
}

/* The latest group counts from when it is in the log, committed or not.  */
const struct hs_members *
hs_replica_log_members (const struct hs_replica *replica)
{
  for (const struct hs_list *link = replica->log.prev; link != &replica->log;
       link = link->prev)
    {
      const struct hs_log_entry *entry
          = HS_LIST_ENTRY (link, struct hs_log_entry, link);

      if (entry->kind == HS_LOG_MEMBERS)
        return &entry->members;
    }
  return &replica->base.members;
}

void
hs_replica_log_append (struct hs_replica *replica,
                       const struct hs_log_entry *entry)
{
  struct hs_log_entry *copy = talloc_memdup (replica, entry, sizeof *entry);

  copy->data = talloc_memdup (copy, entry->data, entry->len);
  hs_list_init (&copy->link);
  hs_list_append (&replica->log, &copy->link);
}

void
hs_replica_log_cut (struct hs_replica *replica, uint64_t index)
{
  struct hs_log_entry *last = last_entry (replica);

  if (replica->durable >= index && index > 0)
    replica->durable = index - 1;
  HS_LIST_FOREACH (link, &replica->writes)
    {
      struct sync_mark *mark = HS_LIST_ENTRY (link, struct sync_mark, link);

      if (mark->index >= index && index > 0)
        mark->index = index - 1;
    }
  while (last != NULL && last->index >= index)
    {
      hs_list_remove (&last->link);
      talloc_free (last);
      last = last_entry (replica);
    }
}

void
hs_replica_log_reset (struct hs_replica *replica,
                      const struct hs_log_base *base)
{
  uint8_t *old = replica->base.data;

  hs_replica_log_cut (replica, 0);
  replica->base = *base;
  replica->base.data = talloc_memdup (replica, base->data, base->len);
  talloc_free (old);
}

bool
hs_replica_log_take (struct hs_replica *replica,
                     const struct hs_replica_message *append, uint64_t *match)
{
  bool written = false;

  *match = append->index;
  if (append->index > replica->commit
      && hs_replica_log_term (replica, append->index) != append->log_term)
    {
      /* The leader goes on from what both surely have.  */
      *match = hs_replica_last (replica) < append->index
                   ? hs_replica_last (replica)
                   : replica->commit;
      return false;
    }
  for (size_t i = 0; i < append->entries_len; i++)
    {
      const struct hs_log_entry *entry = append->entries[i];
      struct hs_replica_record record
          = { .type = HS_REPLICA_RECORD_ENTRY, .entry = entry };

      *match = entry->index;
      if (entry->index <= replica->commit
          || hs_replica_log_term (replica, entry->index) == entry->term)
        continue;
      hs_replica_log_cut (replica, entry->index);
      hs_replica_log_append (replica, entry);
      replica->ops.write (replica->ctx, &record);
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
  if (index <= replica->commit)
    return;
  replica->commit = index;
  while (replica->applied < replica->commit)
    {
      const struct hs_log_entry *entry
          = hs_replica_log_find (replica, replica->applied + 1);

      if (entry == NULL)
        break;
      replica->applied++;
      if (entry->kind == HS_LOG_COMMAND)
        replica->ops.apply (replica->ctx, entry);
      else if (entry->kind == HS_LOG_MEMBERS)
        replica->ops.changed (replica->ctx);
    }
  compact (replica);
}

/* Private definitions.  */

static struct hs_log_entry *
last_entry (const struct hs_replica *replica)
{
  if (hs_list_is_empty (&replica->log))
    return NULL;
  return HS_LIST_ENTRY (replica->log.prev, struct hs_log_entry, link);
}

/* The files on disk keep what is dropped here until they are written anew.
   A host that lags by more is sent the base, which is no larger than an
   entry.  */
static void
compact (struct hs_replica *replica)
{
  if (replica->applied < replica->base.index + 2 * LOG_KEPT)
    return;
  /* The state is that of all that was applied, and so is the base.  */
  while (!hs_list_is_empty (&replica->log))
    {
      struct hs_log_entry *entry
          = HS_LIST_ENTRY (replica->log.next, struct hs_log_entry, link);

      if (entry->index > replica->applied)
        break;
      if (entry->kind == HS_LOG_MEMBERS)
        replica->base.members = entry->members;
      replica->base.index = entry->index;
      replica->base.term = entry->term;
      hs_list_remove (&entry->link);
      talloc_free (entry);
    }
  talloc_free (replica->base.data);
  replica->base.data
      = replica->ops.save (replica->ctx, replica, &replica->base.len);
}
