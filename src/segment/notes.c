/* notes.c -- which agent holds a flow, as its home has been told.

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

struct hs_notes
{
  struct hs_flow_table *flows;
};

/* Public definitions.  */

struct hs_notes *
hs_notes_create (void *parent)
{
  struct hs_notes *notes = talloc_zero (parent, struct hs_notes);

  notes->flows = hs_flow_table_create (notes, sizeof (struct note),
                                       HS_NOTES_MAX, NULL, NULL);
  return notes;
}

void
hs_notes_destroy (struct hs_notes *notes)
{
  talloc_free (notes);
}

void
hs_notes_put (struct hs_notes *notes, const struct hs_segment_key *key,
              uint64_t slot, uint64_t now)
{
  struct note *note = hs_flow_table_find (notes->flows, key);

  if (note == NULL)
    note = hs_flow_table_add (notes->flows, key, now);
  hs_flow_table_touch (notes->flows, &note->base, now);
  note->holder = slot;
}

uint64_t
hs_notes_find (const struct hs_notes *notes, const struct hs_segment_key *key)
{
  const struct note *note = hs_flow_table_find (notes->flows, key);

  return note != NULL ? note->holder : 0;
}

void
hs_notes_expire (struct hs_notes *notes, uint64_t now)
{
  hs_flow_table_expire (notes->flows, NOTE_LIFE_MS, now);
}
