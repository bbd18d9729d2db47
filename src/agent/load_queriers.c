/* load_queriers.c -- the entries that have asked an agent for its load.  */

#include "agent/load_queriers.h"

#include <talloc.h>

/* Types.  */

struct querier
{
  struct hs_table_node node; /* By address.  */
  struct hs_list link;
  struct hs_addr entry;
  uint64_t queried_at; /* ms  */
};

struct hs_load_queriers
{
  struct hs_table *by_address;
  struct hs_list list; /* Longest silent first.  */
};

/* Private functions.  */

static bool match_entry (const struct hs_table_node *node, const void *key);

/* Public definitions.  */

struct hs_load_queriers *
hs_load_queriers_create (void *parent)
{
  struct hs_load_queriers *queriers
      = talloc_zero (parent, struct hs_load_queriers);

  queriers->by_address = hs_table_create (queriers);
  hs_list_init (&queriers->list);
  return queriers;
}

void
hs_load_queriers_destroy (struct hs_load_queriers *queriers)
{
  talloc_free (queriers);
}

void
hs_load_queriers_add (struct hs_load_queriers *queriers,
                      const struct hs_addr *entry, uint64_t now)
{
  uint64_t hash = hs_addr_hash (entry);
  struct hs_table_node *node
      = hs_table_find (queriers->by_address, hash, match_entry, entry);
  struct querier *querier
      = node != NULL ? HS_LIST_ENTRY (node, struct querier, node) : NULL;

  if (querier == NULL)
    {
      querier = talloc_zero (queriers, struct querier);
      querier->entry = *entry;
      hs_table_insert (queriers->by_address, &querier->node, hash);
      hs_list_init (&querier->link);
    }
  querier->queried_at = now;
  hs_list_remove (&querier->link);
  hs_list_append (&queriers->list, &querier->link);
}

void
hs_load_queriers_expire (struct hs_load_queriers *queriers, uint64_t now)
{
  HS_LIST_FOREACH (link, &queriers->list)
    {
      struct querier *querier = HS_LIST_ENTRY (link, struct querier, link);

      if (now - querier->queried_at <= HS_LOAD_QUERIER_EXPIRY_MS)
        return;
      hs_table_remove (queriers->by_address, &querier->node);
      hs_list_remove (link);
      talloc_free (querier);
    }
}

void
hs_load_queriers_foreach (const struct hs_load_queriers *queriers,
                          hs_load_querier_fn *fn, void *ctx)
{
  HS_LIST_FOREACH (link, &queriers->list)
    fn (ctx, &HS_LIST_ENTRY (link, struct querier, link)->entry);
}

/* Private definitions.  */

static bool
match_entry (const struct hs_table_node *node, const void *key)
{
  return hs_addr_equal (&HS_LIST_ENTRY (node, struct querier, node)->entry,
                        key);
}
