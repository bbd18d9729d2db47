/* segment_flow_table.c -- a bounded table of segment flows in the order of
   their last activity.  */

#include "segment/segment_flow_table.h"

#include <talloc.h>

/* Types.  */

struct hs_segment_flow_table
{
  size_t flow_size;
  size_t flows_max;
  hs_segment_flow_callback *on_remove;
  void *ctx;
  struct hs_table *flows;
  struct hs_list lru; /* Idle longest first.  */
};

/* Private functions.  */

static bool match_key (const struct hs_table_node *node, const void *key);
static struct hs_segment_flow *
longest_idle (const struct hs_segment_flow_table *table);

/* Public definitions.  */

struct hs_segment_flow_table *
hs_segment_flow_table_create (void *parent, size_t flow_size, size_t flows_max,
                              hs_segment_flow_callback *on_remove, void *ctx)
{
  struct hs_segment_flow_table *table
      = talloc_zero (parent, struct hs_segment_flow_table);

  table->flow_size = flow_size;
  table->flows_max = flows_max;
  table->on_remove = on_remove;
  table->ctx = ctx;
  table->flows = hs_table_create (table);
  hs_list_init (&table->lru);
  return table;
}

void
hs_segment_flow_table_destroy (struct hs_segment_flow_table *table)
{
  talloc_free (table);
}

void *
hs_segment_flow_table_find (const struct hs_segment_flow_table *table,
                            const struct hs_segment_key *key)
{
  struct hs_table_node *node = hs_table_find (
      table->flows, hs_segment_key_hash (key), match_key, key);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_segment_flow, node)
                      : NULL;
}

void *
hs_segment_flow_table_add (struct hs_segment_flow_table *table,
                           const struct hs_segment_key *key, uint64_t now)
{
  struct hs_segment_flow *flow;

  if (hs_table_len (table->flows) >= table->flows_max)
    hs_segment_flow_table_remove (table, longest_idle (table));
  flow = talloc_zero_size (table, table->flow_size);
  flow->key = *key;
  flow->last_active_at = now;
  hs_table_insert (table->flows, &flow->node, hs_segment_key_hash (key));
  hs_list_append (&table->lru, &flow->lru_link);
  return flow;
}

void
hs_segment_flow_table_touch (struct hs_segment_flow_table *table,
                             struct hs_segment_flow *flow, uint64_t now)
{
  flow->last_active_at = now;
  hs_list_remove (&flow->lru_link);
  hs_list_append (&table->lru, &flow->lru_link);
}

void
hs_segment_flow_table_remove (struct hs_segment_flow_table *table,
                              struct hs_segment_flow *flow)
{
  if (table->on_remove != NULL)
    table->on_remove (table->ctx, flow);
  hs_table_remove (table->flows, &flow->node);
  hs_list_remove (&flow->lru_link);
  talloc_free (flow);
}

void
hs_segment_flow_table_expire (struct hs_segment_flow_table *table,
                              uint64_t idle_ms, uint64_t now)
{
  while (!hs_list_is_empty (&table->lru)
         && now - longest_idle (table)->last_active_at > idle_ms)
    hs_segment_flow_table_remove (table, longest_idle (table));
}

void
hs_segment_flow_table_foreach_idle (struct hs_segment_flow_table *table,
                                    uint64_t idle_ms, uint64_t now,
                                    hs_segment_flow_callback *callback,
                                    void *ctx)
{
  HS_LIST_FOREACH (link, &table->lru)
    {
      struct hs_segment_flow *flow
          = HS_LIST_ENTRY (link, struct hs_segment_flow, lru_link);

      if (now - flow->last_active_at <= idle_ms)
        return;
      callback (ctx, flow);
    }
}

void
hs_segment_flow_table_foreach (struct hs_segment_flow_table *table,
                               hs_segment_flow_callback *callback, void *ctx)
{
  HS_LIST_FOREACH (link, &table->lru)
    callback (ctx, HS_LIST_ENTRY (link, struct hs_segment_flow, lru_link));
}

void
hs_segment_flow_table_clear (struct hs_segment_flow_table *table)
{
  while (!hs_list_is_empty (&table->lru))
    hs_segment_flow_table_remove (table, longest_idle (table));
}

size_t
hs_segment_flow_table_len (const struct hs_segment_flow_table *table)
{
  return hs_table_len (table->flows);
}

/* Private definitions.  */

static bool
match_key (const struct hs_table_node *node, const void *key)
{
  const struct hs_segment_key *wanted = key;
  const struct hs_segment_key *found
      = &HS_LIST_ENTRY (node, struct hs_segment_flow, node)->key;

  return hs_addr_equal (&found->caller, &wanted->caller)
         && hs_addr_equal (&found->address, &wanted->address);
}

static struct hs_segment_flow *
longest_idle (const struct hs_segment_flow_table *table)
{
  return HS_LIST_ENTRY (table->lru.next, struct hs_segment_flow, lru_link);
}
