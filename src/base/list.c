/* list.c -- intrusive doubly linked lists, and hash tables that chain their
   elements in such lists.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

#define BUCKETS_MIN 64 /* Initial number of buckets, a power of two.  */

struct hs_table
{
  size_t len;              /* Elements.  */
  size_t buckets_len;      /* Always a power of two.  */
  struct hs_list *buckets; /* Lists of struct hs_table_node.  */
};

/* Private functions.  */

static struct hs_list *bucket_of (const struct hs_table *table, uint64_t hash);
static void grow_table (struct hs_table *table);
static struct hs_list *create_buckets (struct hs_table *table, size_t len);

/* Public definitions.  */

void
hs_list_init (struct hs_list *list)
{
  list->prev = list;
  list->next = list;
}

bool
hs_list_is_empty (const struct hs_list *list)
{
  return list->next == list;
}

void
hs_list_append (struct hs_list *list, struct hs_list *node)
{
  node->prev = list->prev;
  node->next = list;
  list->prev->next = node;
  list->prev = node;
}

void
hs_list_remove (struct hs_list *node)
{
  node->prev->next = node->next;
  node->next->prev = node->prev;
  hs_list_init (node);
}

struct hs_list *
hs_list_pop (struct hs_list *list)
{
  struct hs_list *node = list->next;

  if (node == list)
    return NULL;
  hs_list_remove (node);
  return node;
}

struct hs_table *
hs_table_create (void *parent)
{
  struct hs_table *table = talloc_zero (parent, struct hs_table);

  table->buckets_len = BUCKETS_MIN;
  table->buckets = create_buckets (table, BUCKETS_MIN);
  return table;
}

void
hs_table_destroy (struct hs_table *table)
{
  talloc_free (table);
}

void
hs_table_insert (struct hs_table *table, struct hs_table_node *node,
                 uint64_t hash)
{
  if (table->len >= table->buckets_len)
    grow_table (table);
  node->hash = hash;
  hs_list_append (bucket_of (table, hash), &node->link);
  table->len++;
}

void
hs_table_remove (struct hs_table *table, struct hs_table_node *node)
{
  hs_list_remove (&node->link);
  table->len--;
}

struct hs_table_node *
hs_table_find (const struct hs_table *table, uint64_t hash,
               hs_table_match_fn *match, const void *key)
{
  struct hs_list *bucket = bucket_of (table, hash);

  HS_LIST_FOREACH (link, bucket)
    {
      struct hs_table_node *node
          = HS_LIST_ENTRY (link, struct hs_table_node, link);

      if (node->hash == hash && match (node, key))
        return node;
    }
  return NULL;
}

size_t
hs_table_len (const struct hs_table *table)
{
  return table->len;
}

/* Private definitions.  */

static struct hs_list *
bucket_of (const struct hs_table *table, uint64_t hash)
{
  return &table->buckets[hash & (table->buckets_len - 1)];
}

/* Doubles the number of buckets.  */
static void
grow_table (struct hs_table *table)
{
  struct hs_list *old_buckets = table->buckets;
  size_t old_buckets_len = table->buckets_len;

  table->buckets_len = old_buckets_len * 2;
  table->buckets = create_buckets (table, table->buckets_len);
  for (size_t i = 0; i < old_buckets_len; i++)
    for (struct hs_list *link = hs_list_pop (&old_buckets[i]); link != NULL;
         link = hs_list_pop (&old_buckets[i]))
      {
        struct hs_table_node *node
            = HS_LIST_ENTRY (link, struct hs_table_node, link);

        hs_list_append (bucket_of (table, node->hash), link);
      }
  talloc_free (old_buckets);
}

/* Returns LEN empty buckets, a talloc child of TABLE.  */
static struct hs_list *
create_buckets (struct hs_table *table, size_t len)
{
  struct hs_list *buckets = talloc_array (table, struct hs_list, len);

  for (size_t i = 0; i < len; i++)
    hs_list_init (&buckets[i]);
  return buckets;
}
