/* ownership_records.c -- flows that other agents hold.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static bool match_record (const struct hs_table_node *node, const void *key);

/* Public definitions.  */

struct record *
hs_ownership_find_record (const struct hs_ownership *holder,
                          const struct hs_flow_key *key)
{
  struct hs_table_node *node = hs_table_find (
      holder->records, hs_flow_key_hash (key), match_record, key);

  return node != NULL ? HS_LIST_ENTRY (node, struct record, node) : NULL;
}

void
hs_ownership_put_record (struct hs_ownership *holder,
                         const struct hs_flow_key *key, uint64_t slot,
                         uint64_t opened_view)
{
  struct record *record = hs_ownership_find_record (holder, key);

  if (record == NULL)
    {
      if (hs_table_len (holder->records) >= STORED_RECORDS_MAX)
        hs_ownership_remove_record (
            holder,
            HS_LIST_ENTRY (holder->record_list.next, struct record, link));
      record = talloc_zero (holder, struct record);
      record->key = *key;
      hs_table_insert (holder->records, &record->node, hs_flow_key_hash (key));
      hs_list_append (&holder->record_list, &record->link);
    }
  record->holder = slot;
  record->opened_view = opened_view;
  record->uncertain = false;
}

void
hs_ownership_remove_record (struct hs_ownership *holder, struct record *record)
{
  hs_table_remove (holder->records, &record->node);
  hs_list_remove (&record->link);
  talloc_free (record);
}

void
hs_ownership_remove_stale_records (struct hs_ownership *holder)
{
  HS_LIST_FOREACH (link, &holder->record_list)
    {
      struct record *record = HS_LIST_ENTRY (link, struct record, link);

      if (hs_view_find (holder->view, record->holder) == NULL)
        hs_ownership_remove_record (holder, record);
    }
}

/* Private definitions.  */

static bool
match_record (const struct hs_table_node *node, const void *key)
{
  return hs_flow_key_equal (&HS_LIST_ENTRY (node, struct record, node)->key,
                            key);
}
