/* link_nodes.c -- the nodes that a control host has heard from.  */

#include "control/link_nodes.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

struct node
{
  struct hs_table_node by_name;
  struct hs_list link;      /* Longest silent first.  */
  uint64_t heard_at;        /* ms  */
  struct hs_envelope *last; /* A child.  */
};

struct hs_link_nodes
{
  struct hs_table *names;
  struct hs_list list;
};

/* Private functions.  */

static uint64_t hash_of (const struct hs_announcement *announcement);
static bool match_name (const struct hs_table_node *node, const void *key);
static struct node *get_node (struct hs_link_nodes *nodes,
                              const struct hs_announcement *announcement);

/* Public definitions.  */

struct hs_link_nodes *
hs_link_nodes_create (void *parent)
{
  struct hs_link_nodes *nodes = talloc_zero (parent, struct hs_link_nodes);

  nodes->names = hs_table_create (nodes);
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
  struct node *node = get_node (nodes, &announcement->message->announcement);

  node->heard_at = now;
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

      if (now - node->heard_at <= HS_LEASE_MS)
        break;
      hs_table_remove (nodes->names, &node->by_name);
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
hash_of (const struct hs_announcement *announcement)
{
  return hs_rendezvous_score (hs_id_from_name (announcement->name),
                              announcement->role);
}

static bool
match_name (const struct hs_table_node *node, const void *key)
{
  const struct hs_announcement *wanted = key;
  const struct hs_announcement *kept
      = &HS_LIST_ENTRY (node, struct node, by_name)
             ->last->message->announcement;

  return kept->role == wanted->role && strcmp (kept->name, wanted->name) == 0
         && strcmp (kept->service_name, wanted->service_name) == 0;
}

static struct node *
get_node (struct hs_link_nodes *nodes,
          const struct hs_announcement *announcement)
{
  uint64_t hash = hash_of (announcement);
  struct hs_table_node *found
      = hs_table_find (nodes->names, hash, match_name, announcement);
  struct node *node;

  if (found != NULL)
    return HS_LIST_ENTRY (found, struct node, by_name);
  node = talloc_zero (nodes, struct node);
  node->last = talloc_steal (node, hs_envelope_create ());
  hs_table_insert (nodes->names, &node->by_name, hash);
  hs_list_append (&nodes->list, &node->link);
  return node;
}
