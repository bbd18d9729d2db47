/* ownership_records.c -- ownership records of flows that other agents own.  */

#include "flow/ownership_state.h"

#include <string.h>
#include <talloc.h>

/* Private functions.  */

static bool match_record (const struct hs_table_node *node, const void *key);

/* Public definitions.  */

struct stored_record *
hs_ownership_find_record (const struct hs_ownership *ownership,
                          const struct hs_flow_key *key)
{
  struct hs_table_node *node = hs_table_find (
      ownership->records, hs_flow_key_hash (key), match_record, key);

  return node != NULL ? HS_LIST_ENTRY (node, struct stored_record, node)
                      : NULL;
}

void
hs_ownership_put_record (struct hs_ownership *ownership,
                         const struct hs_flow_key *key, uint64_t owner_id,
                         uint64_t opened_view)
{
  struct stored_record *record = hs_ownership_find_record (ownership, key);

  if (record == NULL)
    {
      if (hs_table_len (ownership->records) >= STORED_RECORDS_MAX)
        hs_ownership_remove_record (
            ownership, HS_LIST_ENTRY (ownership->record_list.next,
                                      struct stored_record, link));
      record = talloc_zero (ownership, struct stored_record);
      record->key = *key;
      hs_table_insert (ownership->records, &record->node,
                       hs_flow_key_hash (key));
      hs_list_append (&ownership->record_list, &record->link);
    }
  record->owner_id = owner_id;
  record->opened_view = opened_view;
  record->uncertain = false;
}

void
hs_ownership_remove_record (struct hs_ownership *ownership,
                            struct stored_record *record)
{
  hs_table_remove (ownership->records, &record->node);
  hs_list_remove (&record->link);
  talloc_free (record);
}

void
hs_ownership_remove_stale_records (struct hs_ownership *ownership)
{
  HS_LIST_FOREACH (link, &ownership->record_list)
    {
      struct stored_record *record
          = HS_LIST_ENTRY (link, struct stored_record, link);

      if (hs_view_find (ownership->view, record->owner_id) == NULL)
        hs_ownership_remove_record (ownership, record);
    }
}

/* Private definitions.  */

static bool
match_record (const struct hs_table_node *node, const void *key)
{
  return hs_flow_key_equal (
      &HS_LIST_ENTRY (node, struct stored_record, node)->key, key);
}
