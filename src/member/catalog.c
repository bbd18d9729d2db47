/* catalog.c -- services and their views, ordered by version.

   Every process that acts on services has a catalog.  The revision of a
   service and the number of a view never decrease.  Each put moves the item
   to the end of the list, which is therefore ordered by version: the items
   changed after a given version are the tail of the list.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

struct indexed_item
{
  struct hs_catalog_item item; /* First, because its address is used as the
                                  talloc context of its contents.  */
  struct hs_table_node by_id;
  struct hs_table_node by_name;    /* If item.service is set.  */
  struct hs_table_node by_address; /* If item.service is set.  */
};

struct hs_catalog
{
  uint64_t version;
  struct hs_table *by_id;
  struct hs_table *by_name;
  struct hs_table *by_address;
  struct hs_list items; /* Ordered by version.  */
};

/* Private functions.  */

static struct hs_catalog_item *get_or_create_item (struct hs_catalog *catalog,
                                                   uint32_t service_id);
static bool match_id (const struct hs_table_node *node, const void *key);
static bool match_name (const struct hs_table_node *node, const void *key);
static bool match_address (const struct hs_table_node *node, const void *key);
static uint64_t hash_address (const struct hs_addr *address);
static void index_service (struct hs_catalog *catalog,
                           struct hs_catalog_item *item);
static void unindex_service (struct hs_catalog *catalog,
                             struct hs_catalog_item *item);
static void set_version (struct hs_catalog *catalog,
                         struct hs_catalog_item *item, uint64_t version);
static struct hs_catalog_item *item_from_link (const struct hs_list *link);

/* Public definitions.  */

struct hs_catalog *
hs_catalog_create (void *parent)
{
  struct hs_catalog *catalog = talloc_zero (parent, struct hs_catalog);

  catalog->by_id = hs_table_create (catalog);
  catalog->by_name = hs_table_create (catalog);
  catalog->by_address = hs_table_create (catalog);
  hs_list_init (&catalog->items);
  return catalog;
}

void
hs_catalog_destroy (struct hs_catalog *catalog)
{
  talloc_free (catalog);
}

uint64_t
hs_catalog_version (const struct hs_catalog *catalog)
{
  return catalog->version;
}

bool
hs_catalog_put_service (struct hs_catalog *catalog, uint64_t version,
                        const struct hs_service *service)
{
  struct hs_catalog_item *item = get_or_create_item (catalog, service->id);

  if (item->service != NULL && item->service->revision >= service->revision)
    return false;
  if (item->service != NULL)
    unindex_service (catalog, item);
  talloc_free (item->service);
  item->service = hs_service_copy (item, service);
  index_service (catalog, item);
  set_version (catalog, item, version);
  return true;
}

bool
hs_catalog_put_view (struct hs_catalog *catalog, uint64_t version,
                     const struct hs_view *view)
{
  struct hs_catalog_item *item
      = get_or_create_item (catalog, view->service_id);

  if (item->view != NULL && item->view->number >= view->number)
    return false;
  talloc_free (item->view);
  item->view = hs_view_copy (item, view);
  set_version (catalog, item, version);
  return true;
}

const struct hs_catalog_item *
hs_catalog_find (const struct hs_catalog *catalog, uint32_t service_id)
{
  struct hs_table_node *node
      = hs_table_find (catalog->by_id, service_id, match_id, &service_id);

  if (node == NULL)
    return NULL;
  return &HS_LIST_ENTRY (node, struct indexed_item, by_id)->item;
}

const struct hs_catalog_item *
hs_catalog_find_name (const struct hs_catalog *catalog, const char *name)
{
  struct hs_table_node *node = hs_table_find (
      catalog->by_name, hs_id_from_name (name), match_name, name);

  if (node == NULL)
    return NULL;
  return &HS_LIST_ENTRY (node, struct indexed_item, by_name)->item;
}

const struct hs_catalog_item *
hs_catalog_find_address (const struct hs_catalog *catalog,
                         const struct hs_addr *address)
{
  struct hs_table_node *node = hs_table_find (
      catalog->by_address, hash_address (address), match_address, address);

  if (node == NULL)
    return NULL;
  return &HS_LIST_ENTRY (node, struct indexed_item, by_address)->item;
}

const struct hs_catalog_item *
hs_catalog_first_after (const struct hs_catalog *catalog, uint64_t after)
{
  const struct hs_list *link = catalog->items.prev;

  while (link != &catalog->items && item_from_link (link)->version > after)
    link = link->prev;
  link = link->next;
  return link == &catalog->items ? NULL : item_from_link (link);
}

const struct hs_catalog_item *
hs_catalog_next (const struct hs_catalog *catalog,
                 const struct hs_catalog_item *item)
{
  const struct hs_list *link = item->link.next;

  return link == &catalog->items ? NULL : item_from_link (link);
}

/* Private definitions.  */

static struct hs_catalog_item *
get_or_create_item (struct hs_catalog *catalog, uint32_t service_id)
{
  struct hs_table_node *node
      = hs_table_find (catalog->by_id, service_id, match_id, &service_id);
  struct indexed_item *created;

  if (node != NULL)
    return &HS_LIST_ENTRY (node, struct indexed_item, by_id)->item;
  created = talloc_zero (catalog, struct indexed_item);
  created->item.service_id = service_id;
  hs_table_insert (catalog->by_id, &created->by_id, service_id);
  hs_list_append (&catalog->items, &created->item.link);
  return &created->item;
}

static bool
match_id (const struct hs_table_node *node, const void *key)
{
  const uint32_t *service_id = key;

  return HS_LIST_ENTRY (node, struct indexed_item, by_id)->item.service_id
         == *service_id;
}

static bool
match_name (const struct hs_table_node *node, const void *key)
{
  const struct hs_catalog_item *item
      = &HS_LIST_ENTRY (node, struct indexed_item, by_name)->item;

  return strcmp (item->service->document->service_name, key) == 0;
}

static bool
match_address (const struct hs_table_node *node, const void *key)
{
  const struct hs_catalog_item *item
      = &HS_LIST_ENTRY (node, struct indexed_item, by_address)->item;

  return hs_addr_equal (&item->service->document->address, key);
}

/* Hashes ADDRESS as the caller of a flow key whose service id is 0.  */
static uint64_t
hash_address (const struct hs_addr *address)
{
  struct hs_flow_key key = { .caller = *address };

  return hs_flow_key_hash (&key);
}

static void
index_service (struct hs_catalog *catalog, struct hs_catalog_item *item)
{
  struct indexed_item *indexed
      = HS_LIST_ENTRY (item, struct indexed_item, item);
  const struct hs_document *document = item->service->document;

  hs_table_insert (catalog->by_name, &indexed->by_name,
                   hs_id_from_name (document->service_name));
  hs_table_insert (catalog->by_address, &indexed->by_address,
                   hash_address (&document->address));
}

static void
unindex_service (struct hs_catalog *catalog, struct hs_catalog_item *item)
{
  struct indexed_item *indexed
      = HS_LIST_ENTRY (item, struct indexed_item, item);

  hs_table_remove (catalog->by_name, &indexed->by_name);
  hs_table_remove (catalog->by_address, &indexed->by_address);
}

/* Sets the version of ITEM and moves it to the end of the list.  */
static void
set_version (struct hs_catalog *catalog, struct hs_catalog_item *item,
             uint64_t version)
{
  if (version > catalog->version)
    catalog->version = version;
  item->version = version;
  hs_list_remove (&item->link);
  hs_list_append (&catalog->items, &item->link);
}

static struct hs_catalog_item *
item_from_link (const struct hs_list *link)
{
  return HS_LIST_ENTRY (link, struct hs_catalog_item, link);
}
