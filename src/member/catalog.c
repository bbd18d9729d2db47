/* catalog.c -- services and their views, in the order they were accepted.

   Every process that acts on services keeps one.  An item only ever moves to
   a later version, so nothing here goes back.  The items are kept in order
   of version: what changed after a version is the tail of the list.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

struct catalog_item
{
  struct hs_catalog_item
      item; /* First: a struct hs_catalog_item is one of these.  */
  struct hs_table_node by_id;
  struct hs_table_node by_name;    /* Once there is a service.  */
  struct hs_table_node by_address; /* Once there is a service.  */
};

struct hs_catalog
{
  uint64_t version;
  struct hs_table *by_id;
  struct hs_table *by_name;
  struct hs_table *by_address;
  struct hs_list items; /* In order of version.  */
};

/* Private functions.  */

static struct hs_catalog_item *get_item (struct hs_catalog *catalog,
                                         uint32_t id);
static bool match_id (const struct hs_table_node *node, const void *key);
static bool match_name (const struct hs_table_node *node, const void *key);
static bool match_address (const struct hs_table_node *node, const void *key);
static uint64_t address_hash (const struct hs_addr *address);
static void index_service (struct hs_catalog *catalog,
                           struct hs_catalog_item *item);
static void unindex (struct hs_catalog *catalog, struct hs_catalog_item *item);
static void touch (struct hs_catalog *catalog, struct hs_catalog_item *item,
                   uint64_t version);
static struct hs_catalog_item *item_of (const struct hs_list *link);

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
  struct hs_catalog_item *item = get_item (catalog, service->id);

  if (item->service != NULL && item->service->revision >= service->revision)
    return false;
  if (item->service != NULL)
    unindex (catalog, item);
  talloc_free (item->service);
  item->service = hs_service_copy (item, service);
  index_service (catalog, item);
  touch (catalog, item, version);
  return true;
}

bool
hs_catalog_put_view (struct hs_catalog *catalog, uint64_t version,
                     const struct hs_view *view)
{
  struct hs_catalog_item *item = get_item (catalog, view->service_id);

  if (item->view != NULL && item->view->number >= view->number)
    return false;
  talloc_free (item->view);
  item->view = hs_view_copy (item, view);
  touch (catalog, item, version);
  return true;
}

const struct hs_catalog_item *
hs_catalog_find (const struct hs_catalog *catalog, uint32_t id)
{
  struct hs_table_node *node
      = hs_table_find (catalog->by_id, id, match_id, &id);

  if (node == NULL)
    return NULL;
  return &HS_LIST_ENTRY (node, struct catalog_item, by_id)->item;
}

const struct hs_catalog_item *
hs_catalog_find_name (const struct hs_catalog *catalog, const char *name)
{
  struct hs_table_node *node = hs_table_find (
      catalog->by_name, hs_id_from_name (name), match_name, name);

  if (node == NULL)
    return NULL;
  return &HS_LIST_ENTRY (node, struct catalog_item, by_name)->item;
}

const struct hs_catalog_item *
hs_catalog_find_address (const struct hs_catalog *catalog,
                         const struct hs_addr *address)
{
  struct hs_table_node *node = hs_table_find (
      catalog->by_address, address_hash (address), match_address, address);

  if (node == NULL)
    return NULL;
  return &HS_LIST_ENTRY (node, struct catalog_item, by_address)->item;
}

const struct hs_catalog_item *
hs_catalog_first_after (const struct hs_catalog *catalog, uint64_t after)
{
  const struct hs_list *link = catalog->items.prev;

  while (link != &catalog->items && item_of (link)->version > after)
    link = link->prev;
  link = link->next;
  return link == &catalog->items ? NULL : item_of (link);
}

const struct hs_catalog_item *
hs_catalog_next (const struct hs_catalog *catalog,
                 const struct hs_catalog_item *item)
{
  const struct hs_list *link = item->link.next;

  return link == &catalog->items ? NULL : item_of (link);
}

/* Private definitions.  */

static struct hs_catalog_item *
get_item (struct hs_catalog *catalog, uint32_t id)
{
  struct hs_table_node *node
      = hs_table_find (catalog->by_id, id, match_id, &id);
  struct catalog_item *created;

  if (node != NULL)
    return &HS_LIST_ENTRY (node, struct catalog_item, by_id)->item;
  created = talloc_zero (catalog, struct catalog_item);
  created->item.service_id = id;
  hs_table_insert (catalog->by_id, &created->by_id, id);
  hs_list_append (&catalog->items, &created->item.link);
  return &created->item;
}

static bool
match_id (const struct hs_table_node *node, const void *key)
{
  const uint32_t *id = key;

  return HS_LIST_ENTRY (node, struct catalog_item, by_id)->item.service_id
         == *id;
}

static bool
match_name (const struct hs_table_node *node, const void *key)
{
  const struct hs_catalog_item *item
      = &HS_LIST_ENTRY (node, struct catalog_item, by_name)->item;

  return strcmp (item->service->document->service_name, key) == 0;
}

static bool
match_address (const struct hs_table_node *node, const void *key)
{
  const struct hs_catalog_item *item
      = &HS_LIST_ENTRY (node, struct catalog_item, by_address)->item;

  return hs_addr_equal (&item->service->document->address, key);
}

static uint64_t
address_hash (const struct hs_addr *address)
{
  struct hs_flow_key key = { .caller = *address };

  return hs_flow_key_hash (&key);
}

static void
index_service (struct hs_catalog *catalog, struct hs_catalog_item *item)
{
  struct catalog_item *entry = HS_LIST_ENTRY (item, struct catalog_item, item);
  const struct hs_document *document = item->service->document;

  hs_table_insert (catalog->by_name, &entry->by_name,
                   hs_id_from_name (document->service_name));
  hs_table_insert (catalog->by_address, &entry->by_address,
                   address_hash (&document->address));
}

static void
unindex (struct hs_catalog *catalog, struct hs_catalog_item *item)
{
  struct catalog_item *entry = HS_LIST_ENTRY (item, struct catalog_item, item);

  hs_table_remove (catalog->by_name, &entry->by_name);
  hs_table_remove (catalog->by_address, &entry->by_address);
}

static void
touch (struct hs_catalog *catalog, struct hs_catalog_item *item,
       uint64_t version)
{
  if (version > catalog->version)
    catalog->version = version;
  item->version = version;
  hs_list_remove (&item->link);
  hs_list_append (&catalog->items, &item->link);
}

static struct hs_catalog_item *
item_of (const struct hs_list *link)
{
  return HS_LIST_ENTRY (link, struct hs_catalog_item, link);
}
