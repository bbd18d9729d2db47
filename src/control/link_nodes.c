/* link_nodes.c -- the nodes known to hibiscusspan-control from their
   announcements.  */

#include "control/link_nodes.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

struct node
{
  struct hs_table_node name_link;
  struct hs_list link;
  uint64_t last_heard_at;   /* ms, monotonic clock  */
  struct hs_envelope *last; /* Latest announcement; a talloc child.  */
};

struct hs_link_nodes
{
  struct hs_table *by_name;
  struct hs_list list; /* Longest silent first.  */
};

/* Private functions.  */

static uint64_t hash_name (const struct hs_announcement *announcement);
static bool match_name (const struct hs_table_node *node, const void *key);
static struct node *
find_or_add_node (struct hs_link_nodes *nodes,
                  const struct hs_announcement *announcement);

/* Public definitions.  */

struct hs_link_nodes *
hs_link_nodes_create (void *parent)
{
  struct hs_link_nodes *nodes = talloc_zero (parent, struct hs_link_nodes);

  nodes->by_name = hs_table_create (nodes);
  hs_list_init (&nodes->list);
  return nodes;
}

void
hs_link_nodes_destroy (struct hs_link_nodes *nodes)
{
  talloc_free (nodes);
}

void
hs_link_nodes_update (struct hs_link_nodes *nodes,
                      const struct hs_envelope *announcement, uint64_t now)
{
  struct node *node
      = find_or_add_node (nodes, &announcement->message->announcement);

  node->last_heard_at = now;
  memcpy (node->last->peer_id, announcement->peer_id,
          announcement->peer_id_len);
  node->last->peer_id_len = announcement->peer_id_len;
  node->last->message->announcement = announcement->message->announcement;
  hs_list_remove (&node->link);
  hs_list_append (&nodes->list, &node->link);
}

void
hs_link_nodes_expire (struct hs_link_nodes *nodes, uint64_t now)
{
  HS_LIST_FOREACH (link, &nodes->list)
    {
      struct node *node = HS_LIST_ENTRY (link, struct node, link);

      if (now - node->last_heard_at <= HS_LEASE_MS)
        break;
      hs_table_remove (nodes->by_name, &node->name_link);
      hs_list_remove (link);
      talloc_free (node);
    }
}

void
hs_link_nodes_foreach (struct hs_link_nodes *nodes, hs_link_node_fn *fn,
                       void *ctx)
{
  HS_LIST_FOREACH (link, &nodes->list)
    fn (ctx, HS_LIST_ENTRY (link, struct node, link)->last);
}

/* Private definitions.  */

static uint64_t
hash_name (const struct hs_announcement *announcement)
{
  return hs_rendezvous_score (hs_id_from_name (announcement->name),
                              announcement->role);
}

static bool
match_name (const struct hs_table_node *node, const void *key)
{
  const struct hs_announcement *wanted = key;
  const struct hs_announcement *known
      = &HS_LIST_ENTRY (node, struct node, name_link)
             ->last->message->announcement;

  return known->role == wanted->role && strcmp (known->name, wanted->name) == 0
         && strcmp (known->service_name, wanted->service_name) == 0;
}

static struct node *
find_or_add_node (struct hs_link_nodes *nodes,
                  const struct hs_announcement *announcement)
{
  uint64_t hash = hash_name (announcement);
  struct hs_table_node *found
      = hs_table_find (nodes->by_name, hash, match_name, announcement);
  struct node *node;

  if (found != NULL)
    return HS_LIST_ENTRY (found, struct node, name_link);
  node = talloc_zero (nodes, struct node);
  node->last = talloc_steal (node, hs_envelope_create ());
  hs_table_insert (nodes->by_name, &node->name_link, hash);
  hs_list_append (&nodes->list, &node->link);
  return node;
}
