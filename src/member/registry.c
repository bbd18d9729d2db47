/* registry.c -- announcements of agents and entries become views.

   Leases are soft state.  Only what changes a view is proposed to the log:
   a join, a new incarnation, a drain, a goodbye, a lapsed or renewed lease.
   One proposal a service is outstanding at a time.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define PROPOSAL_RETRY_MS 2000

/* Of a service's members, the largest share that may turn suspect while
   their leases lapse together; beyond it this host is likelier cut off.  */
#define EXPIRED_SHARE_MAX_PERCENT 50

struct lease
{
  struct hs_list link;
  uint64_t member_id;
  uint64_t incarnation;
  uint64_t last_heard_at;   /* ms  */
  uint64_t catalog_version; /* Of the catalog in force there.  */
  struct hs_member member;  /* As announced.  */
  bool exiting;
};

struct group
{
  struct hs_table_node node;
  struct hs_list link;
  uint32_t service_id;
  struct hs_list leases;
  bool proposal_pending; /* Waits for the log.  */
  uint64_t proposed_at;  /* ms  */
};

struct hs_registry
{
  const struct hs_catalog *catalog;
  struct hs_registry_ops ops;
  void *ctx;
  struct hs_table *groups;
  struct hs_list group_list; /* All groups.  */
};

/* Private functions.  */

static bool match_group (const struct hs_table_node *node, const void *key);
static struct group *get_group (struct hs_registry *registry, uint32_t service,
                                uint64_t now);
static void load_leases (struct hs_registry *registry, struct group *group,
                         uint64_t now);
static struct lease *find_lease (const struct group *group, uint64_t slot);
static enum hs_announce_result
renew (struct group *group, const struct hs_announcement *a, uint64_t now);
static enum hs_member_state state_of (const struct lease *lease,
                                      const struct hs_member *member,
                                      bool guarded, uint64_t now);
static const struct hs_view *view_of (const struct hs_registry *registry,
                                      const struct group *group);
static bool is_mass_expiry (const struct group *group, uint64_t now);
static bool differs (const struct hs_registry *registry,
                     const struct group *group, uint64_t now);
static void propose (struct hs_registry *registry, struct group *group,
                     uint64_t now);
static void forget_gone (struct hs_registry *registry, struct group *group);

/* Public definitions.  */

struct hs_registry *
hs_registry_create (void *parent, const struct hs_catalog *catalog,
                    const struct hs_registry_ops *ops, void *ctx)
{
  struct hs_registry *registry = talloc_zero (parent, struct hs_registry);

  registry->catalog = catalog;
  registry->ops = *ops;
  registry->ctx = ctx;
  registry->groups = hs_table_create (registry);
  hs_list_init (&registry->group_list);
  return registry;
}

void
hs_registry_destroy (struct hs_registry *registry)
{
  talloc_free (registry);
}

enum hs_announce_result
hs_registry_announce (struct hs_registry *registry,
                      const struct hs_announcement *announcement, uint64_t now)
{
  uint32_t service = HS_ENTRY_SERVICE_ID;
  struct group *group;
  enum hs_announce_result result;

  if (announcement->role == HS_ROLE_AGENT)
    {
      const struct hs_catalog_item *item = hs_catalog_find_name (
          registry->catalog, announcement->service_name);

      if (item == NULL)
        return HS_ANNOUNCE_UNKNOWN_SERVICE;
      service = item->service_id;
    }
  group = get_group (registry, service, now);
  result = renew (group, announcement, now);
  if (result == HS_ANNOUNCE_OK && differs (registry, group, now))
    propose (registry, group, now);
  return result;
}

void
hs_registry_tick (struct hs_registry *registry, uint64_t now)
{
  HS_LIST_FOREACH (link, &registry->group_list)
    {
      struct group *group = HS_LIST_ENTRY (link, struct group, link);

      if (differs (registry, group, now))
        propose (registry, group, now);
    }
}

void
hs_registry_apply_view (struct hs_registry *registry, uint32_t service,
                        uint64_t now)
{
  struct group *group = get_group (registry, service, now);

  group->proposal_pending = false;
  forget_gone (registry, group);
  if (differs (registry, group, now))
    propose (registry, group, now);
}

uint64_t
hs_registry_catalog_version (const struct hs_registry *registry,
                             uint32_t service, uint64_t slot)
{
  struct hs_table_node *node
      = hs_table_find (registry->groups, service, match_group, &service);
  const struct lease *lease;

  if (node == NULL)
    return 0;
  lease = find_lease (HS_LIST_ENTRY (node, struct group, node), slot);
  return lease != NULL ? lease->catalog_version : 0;
}

/* Private definitions.  */

static bool
match_group (const struct hs_table_node *node, const void *key)
{
  const uint32_t *service = key;

  return HS_LIST_ENTRY (node, struct group, node)->service_id == *service;
}

static struct group *
get_group (struct hs_registry *registry, uint32_t service, uint64_t now)
{
  struct hs_table_node *node
      = hs_table_find (registry->groups, service, match_group, &service);
  struct group *group;

  if (node != NULL)
    return HS_LIST_ENTRY (node, struct group, node);
  group = talloc_zero (registry, struct group);
  group->service_id = service;
  hs_list_init (&group->leases);
  hs_table_insert (registry->groups, &group->node, service);
  hs_list_append (&registry->group_list, &group->link);
  load_leases (registry, group, now);
  return group;
}

/* After a restart the view is known and the leases are not: each member has
   a whole lease to announce itself again.  */
static void
load_leases (struct hs_registry *registry, struct group *group, uint64_t now)
{
  const struct hs_view *view = view_of (registry, group);

  if (view == NULL)
    return;
  for (size_t i = 0; i < view->members_len; i++)
    {
      const struct hs_member *member = &view->members[i];
      struct lease *lease = talloc_zero (group, struct lease);

      lease->member_id = member->id;
      lease->incarnation = member->incarnation;
      lease->last_heard_at = now;
      lease->member = *member;
      hs_list_append (&group->leases, &lease->link);
    }
}

static struct lease *
find_lease (const struct group *group, uint64_t slot)
{
  HS_LIST_FOREACH (link, &group->leases)
    {
      struct lease *lease = HS_LIST_ENTRY (link, struct lease, link);

      if (lease->member_id == slot)
        return lease;
    }
  return NULL;
}

static enum hs_announce_result
renew (struct group *group, const struct hs_announcement *a, uint64_t now)
{
  uint64_t slot = hs_id_from_name (a->name);
  struct lease *lease = find_lease (group, slot);

  if (lease != NULL && lease->incarnation > a->incarnation)
    return HS_ANNOUNCE_SUPERSEDED;
  if (lease == NULL && a->exiting)
    return HS_ANNOUNCE_OK;
  if (lease == NULL)
    {
      lease = talloc_zero (group, struct lease);
      lease->member_id = slot;
      hs_list_append (&group->leases, &lease->link);
    }
  lease->incarnation = a->incarnation;
  lease->last_heard_at = now;
  lease->catalog_version = a->catalog_version;
  lease->exiting = a->exiting;
  lease->member.id = slot;
  lease->member.incarnation = a->incarnation;
  lease->member.address = a->address;
  lease->member.state = a->draining ? HS_MEMBER_DRAINING : HS_MEMBER_READY;
  g_strlcpy (lease->member.name, a->name, HS_NAME_SIZE);
  g_strlcpy (lease->member.zone, a->zone, HS_NAME_SIZE);
  return HS_ANNOUNCE_OK;
}

/* MEMBER is what the present view says of the lease, or NULL.  */
static enum hs_member_state
state_of (const struct lease *lease, const struct hs_member *member,
          bool guarded, uint64_t now)
{
  bool lapsed = now - lease->last_heard_at > HS_LEASE_MS;

  if (!lapsed)
    return lease->member.state;
  if (!guarded)
    return HS_MEMBER_SUSPECT;
  return member != NULL ? member->state : lease->member.state;
}

static const struct hs_view *
view_of (const struct hs_registry *registry, const struct group *group)
{
  const struct hs_catalog_item *item
      = hs_catalog_find (registry->catalog, group->service_id);

  return item != NULL ? item->view : NULL;
}

static bool
is_mass_expiry (const struct group *group, uint64_t now)
{
  size_t len = 0;
  size_t lapsed = 0;

  HS_LIST_FOREACH (link, &group->leases)
    {
      const struct lease *lease = HS_LIST_ENTRY (link, struct lease, link);

      len++;
      if (now - lease->last_heard_at > HS_LEASE_MS)
        lapsed++;
    }
  return lapsed * 100 > len * EXPIRED_SHARE_MAX_PERCENT;
}

static bool
differs (const struct hs_registry *registry, const struct group *group,
         uint64_t now)
{
  const struct hs_view *view = view_of (registry, group);
  bool guarded = is_mass_expiry (group, now);
  size_t present = 0;

  HS_LIST_FOREACH (link, &group->leases)
    {
      const struct lease *lease = HS_LIST_ENTRY (link, struct lease, link);
      const struct hs_member *member
          = view != NULL ? hs_view_find (view, lease->member_id) : NULL;

      if (lease->exiting && member != NULL)
        return true;
      if (lease->exiting)
        continue;
      present++;
      if (member == NULL || member->incarnation != lease->incarnation
          || !hs_addr_equal (&member->address, &lease->member.address)
          || member->state != state_of (lease, member, guarded, now))
        return true;
    }
  return present != (view != NULL ? view->members_len : 0);
}

static void
propose (struct hs_registry *registry, struct group *group, uint64_t now)
{
  const struct hs_view *old = view_of (registry, group);
  struct hs_view view = { .service_id = group->service_id, .number = 1 };
  bool guarded = is_mass_expiry (group, now);

  if (group->proposal_pending && now - group->proposed_at < PROPOSAL_RETRY_MS)
    return;
  if (old != NULL)
    view.number = old->number + 1;
  HS_LIST_FOREACH (link, &group->leases)
    {
      struct lease *lease = HS_LIST_ENTRY (link, struct lease, link);
      const struct hs_member *member
          = old != NULL ? hs_view_find (old, lease->member_id) : NULL;

      if (lease->exiting)
        continue;
      view.members = talloc_realloc (group, view.members, struct hs_member,
                                     view.members_len + 1);
      view.members[view.members_len] = lease->member;
      view.members[view.members_len].state
          = state_of (lease, member, guarded, now);
      view.members_len++;
    }
  group->proposal_pending = true;
  group->proposed_at = now;
  registry->ops.propose (registry->ctx, &view);
  talloc_free (view.members);
}

static void
forget_gone (struct hs_registry *registry, struct group *group)
{
  const struct hs_view *view = view_of (registry, group);

  HS_LIST_FOREACH (link, &group->leases)
    {
      struct lease *lease = HS_LIST_ENTRY (link, struct lease, link);

      if (!lease->exiting
          || (view != NULL && hs_view_find (view, lease->member_id) != NULL))
        continue;
      hs_list_remove (link);
      talloc_free (lease);
    }
}
