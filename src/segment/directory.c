/* directory.c -- which agent holds a flow, as its home has been told.

   A note may be lost with its home, or be out of date: it saves an entry that
   meets a flow anew the question to all agents, and proves nothing.  */

#include "segment/flow_table.h"

#include <talloc.h>

/* Types.  */

/* The longest life of a flow and its idle time.  */
#define NOTE_LIFE_MS 75000

struct note
{
  struct hs_segment_flow base;
  uint64_t holder; /* Slot.  */
};

struct hs_directory
{
  struct hs_flow_table *entries;
};

/* Public definitions.  */

struct hs_directory *
hs_directory_create (void *parent)
{
  struct hs_directory *notes = talloc_zero (parent, struct hs_directory);

  notes->entries = hs_flow_table_create (notes, sizeof (struct note),
                                         HS_DIRECTORY_ENTRIES_MAX, NULL, NULL);
  return notes;
}

void
hs_directory_destroy (struct hs_directory *notes)
{
  talloc_free (notes);
}

void
hs_directory_put (struct hs_directory *notes, const struct hs_segment_key *key,
                  uint64_t slot, uint64_t now)
{
  struct note *note = hs_flow_table_find (notes->entries, key);

  if (note == NULL)
    note = hs_flow_table_add (notes->entries, key, now);
  hs_flow_table_touch (notes->entries, &note->base, now);
  note->holder = slot;
}

uint64_t
hs_directory_find (const struct hs_directory *notes,
                   const struct hs_segment_key *key)
{
  const struct note *note = hs_flow_table_find (notes->entries, key);

  return note != NULL ? note->holder : 0;
}

void
hs_directory_expire (struct hs_directory *notes, uint64_t now)
{
  hs_flow_table_expire (notes->entries, NOTE_LIFE_MS, now);
}
