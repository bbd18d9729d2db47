/* directory.c -- records the owners of the flows of which an agent is the
   directory agent.

   The entries report the owners.  The record of an owner may be missing, if
   the agent has restarted, or out of date: the directory saves an entry from
   querying all agents, but the owner itself has to confirm that it owns the
   flow.  */

#include "segment/segment_flow_table.h"

#include <talloc.h>

/* Types.  */

/* Time by which an entry is kept longer than the longest lifetime of a flow.
 */
#define ENTRY_EXPIRY_MARGIN_MS 15000

struct directory_entry
{
  struct hs_segment_flow base;
  uint64_t owner_id;
};

struct hs_directory
{
  struct hs_segment_flow_table *entries;
  uint64_t lifetime_ms; /* Of a flow.  */
};

/* Public definitions.  */

struct hs_directory *
hs_directory_create (void *parent, uint64_t lifetime_ms)
{
  struct hs_directory *directory = talloc_zero (parent, struct hs_directory);

  directory->lifetime_ms = lifetime_ms;
  directory->entries = hs_segment_flow_table_create (
      directory, sizeof (struct directory_entry), HS_DIRECTORY_ENTRIES_MAX,
      NULL, NULL);
  return directory;
}

void
hs_directory_destroy (struct hs_directory *directory)
{
  talloc_free (directory);
}

void
hs_directory_put (struct hs_directory *directory,
                  const struct hs_segment_key *key, uint64_t owner_id,
                  uint64_t now)
{
  struct directory_entry *entry
      = hs_segment_flow_table_find (directory->entries, key);

  if (entry == NULL)
    entry = hs_segment_flow_table_add (directory->entries, key, now);
  hs_segment_flow_table_touch (directory->entries, &entry->base, now);
  entry->owner_id = owner_id;
}

uint64_t
hs_directory_find (const struct hs_directory *directory,
                   const struct hs_segment_key *key)
{
  const struct directory_entry *entry
      = hs_segment_flow_table_find (directory->entries, key);

  return entry != NULL ? entry->owner_id : 0;
}

void
hs_directory_expire (struct hs_directory *directory, uint64_t now)
{
  hs_segment_flow_table_expire (
      directory->entries, directory->lifetime_ms + ENTRY_EXPIRY_MARGIN_MS,
      now);
}
