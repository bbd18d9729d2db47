/* registry.c -- turns announcements of agents and entries into views.

   Leases are kept in memory only.  A view is proposed to the log when it
   changes: a member joins, restarts, moves to another address, drains or
   exits, or its lease expires or is renewed after that.  At most one proposal
   per service is pending; a proposal that has not been committed within
   PROPOSAL_RETRY_MS is replaced by a new one.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define PROPOSAL_RETRY_MS 2000

/* If more than this share of a service's leases is expired, it is more likely
   that this host is cut off from the network than that so many members failed
   at once.  No further member becomes suspect then.  */
#define EXPIRED_SHARE_MAX_PERCENT 50

struct lease
{
  struct hs_list link;
  uint64_t member_id;
  uint64_t incarnation;
  uint64_t last_heard_at;   /* ms  */
  uint64_t catalog_version; /* Version that the member has applied.  */
  struct hs_member member;  /* From the last announcement.  */
  bool exiting; /* Kept until a view without the member is committed.  */
};

/* The leases of one service.  */
struct lease_group
{
  struct hs_table_node node;
  struct hs_list link;
  uint32_t service_id;
  struct hs_list leases;
  bool proposal_pending; /* A proposed view is not committed yet.  */
  uint64_t proposed_at;  /* ms  */
};

struct hs_registry
{
  const struct hs_catalog *catalog;
  struct hs_registry_ops ops;
  void *ctx;
  struct hs_table *groups;
  struct hs_list group_list; /* The elements of GROUPS.  */
};

/* Private functions.  */

static bool match_group (const struct hs_table_node *node, const void *key);
static struct lease_group *get_or_create_group (struct hs_registry *registry,
                                                uint32_t service_id,
                                                uint64_t now);
static void create_leases_from_view (struct hs_registry *registry,
                                     struct lease_group *group, uint64_t now);
static struct lease *find_lease (const struct lease_group *group,
                                 uint64_t member_id);
static enum hs_announce_result
renew_lease (struct lease_group *group,
             const struct hs_announcement *announcement, uint64_t now);
static enum hs_member_state next_state (const struct lease *lease,
                                        const struct hs_member *member,
                                        bool mass_expiry, uint64_t now);
static const struct hs_view *current_view (const struct hs_registry *registry,
                                           const struct lease_group *group);
static bool is_mass_expiry (const struct lease_group *group, uint64_t now);
static bool view_is_outdated (const struct hs_registry *registry,
                              const struct lease_group *group, uint64_t now);
static void propose (struct hs_registry *registry, struct lease_group *group,
                     uint64_t now);
static void remove_exited_leases (struct hs_registry *registry,
                                  struct lease_group *group);

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
  uint32_t service_id = HS_ENTRY_SERVICE_ID;
  struct lease_group *group;
  enum hs_announce_result result;

  if (announcement->role == HS_ROLE_AGENT)
    {
      const struct hs_catalog_item *item = hs_catalog_find_name (
          registry->catalog, announcement->service_name);

      if (item == NULL)
        return HS_ANNOUNCE_UNKNOWN_SERVICE;
      service_id = item->service_id;
    }
  group = get_or_create_group (registry, service_id, now);
  result = renew_lease (group, announcement, now);
  if (result == HS_ANNOUNCE_OK && view_is_outdated (registry, group, now))
    propose (registry, group, now);
  return result;
}

void
hs_registry_tick (struct hs_registry *registry, uint64_t now)
{
  HS_LIST_FOREACH (link, &registry->group_list)
    {
      struct lease_group *group
          = HS_LIST_ENTRY (link, struct lease_group, link);

      if (view_is_outdated (registry, group, now))
        propose (registry, group, now);
    }
}

void
hs_registry_apply_view (struct hs_registry *registry, uint32_t service_id,
                        uint64_t now)
{
  struct lease_group *group = get_or_create_group (registry, service_id, now);

  group->proposal_pending = false;
  remove_exited_leases (registry, group);
  if (view_is_outdated (registry, group, now))
    propose (registry, group, now);
}

uint64_t
hs_registry_catalog_version (const struct hs_registry *registry,
                             uint32_t service_id, uint64_t member_id)
{
  struct hs_table_node *node
      = hs_table_find (registry->groups, service_id, match_group, &service_id);
  const struct lease *lease;

  if (node == NULL)
    return 0;
  lease
      = find_lease (HS_LIST_ENTRY (node, struct lease_group, node), member_id);
  return lease != NULL ? lease->catalog_version : 0;
}

/* Private definitions.  */

static bool
match_group (const struct hs_table_node *node, const void *key)
{
  const uint32_t *service_id = key;

  return HS_LIST_ENTRY (node, struct lease_group, node)->service_id
         == *service_id;
}

static struct lease_group *
get_or_create_group (struct hs_registry *registry, uint32_t service_id,
                     uint64_t now)
{
  struct hs_table_node *node
      = hs_table_find (registry->groups, service_id, match_group, &service_id);
  struct lease_group *group;

  if (node != NULL)
    return HS_LIST_ENTRY (node, struct lease_group, node);
  group = talloc_zero (registry, struct lease_group);
  group->service_id = service_id;
  hs_list_init (&group->leases);
  hs_table_insert (registry->groups, &group->node, service_id);
  hs_list_append (&registry->group_list, &group->link);
  create_leases_from_view (registry, group, now);
  return group;
}

/* Creates a lease for each member of the current view.  After a restart of
   this process the view is known but the leases are lost; each member gets a
   full lease period to announce itself again.  */
static void
create_leases_from_view (struct hs_registry *registry,
                         struct lease_group *group, uint64_t now)
{
  const struct hs_view *view = current_view (registry, group);

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
find_lease (const struct lease_group *group, uint64_t member_id)
{
  HS_LIST_FOREACH (link, &group->leases)
    {
      struct lease *lease = HS_LIST_ENTRY (link, struct lease, link);

      if (lease->member_id == member_id)
        return lease;
    }
  return NULL;
}

/* Creates or renews the lease of the sender of ANNOUNCEMENT.  */
static enum hs_announce_result
renew_lease (struct lease_group *group,
             const struct hs_announcement *announcement, uint64_t now)
{
  uint64_t member_id = hs_id_from_name (announcement->name);
  struct lease *lease = find_lease (group, member_id);

  if (lease != NULL && lease->incarnation > announcement->incarnation)
    return HS_ANNOUNCE_SUPERSEDED;
  if (lease == NULL && announcement->exiting)
    return HS_ANNOUNCE_OK;
  if (lease == NULL)
    {
      lease = talloc_zero (group, struct lease);
      lease->member_id = member_id;
      hs_list_append (&group->leases, &lease->link);
    }
  lease->incarnation = announcement->incarnation;
  lease->last_heard_at = now;
  lease->catalog_version = announcement->catalog_version;
  lease->exiting = announcement->exiting;
  lease->member.id = member_id;
  lease->member.incarnation = announcement->incarnation;
  lease->member.address = announcement->address;
  lease->member.state
      = announcement->draining ? HS_MEMBER_DRAINING : HS_MEMBER_READY;
  g_strlcpy (lease->member.name, announcement->name, HS_NAME_SIZE);
  g_strlcpy (lease->member.zone, announcement->zone, HS_NAME_SIZE);
  return HS_ANNOUNCE_OK;
}

/* Returns the state that the next view gives to the member of LEASE.  MEMBER
   is its entry in the current view, or NULL.  In a mass expiry, a member whose
   lease is expired keeps its state.  */
static enum hs_member_state
next_state (const struct lease *lease, const struct hs_member *member,
            bool mass_expiry, uint64_t now)
{
  bool expired = now - lease->last_heard_at > HS_LEASE_MS;

  if (!expired)
    return lease->member.state;
  if (!mass_expiry)
    return HS_MEMBER_SUSPECT;
  return member != NULL ? member->state : lease->member.state;
}

static const struct hs_view *
current_view (const struct hs_registry *registry,
              const struct lease_group *group)
{
  const struct hs_catalog_item *item
      = hs_catalog_find (registry->catalog, group->service_id);

  return item != NULL ? item->view : NULL;
}

/* Returns whether more than EXPIRED_SHARE_MAX_PERCENT of the leases are
   expired.  */
static bool
is_mass_expiry (const struct lease_group *group, uint64_t now)
{
  size_t len = 0;
  size_t expired = 0;

  HS_LIST_FOREACH (link, &group->leases)
    {
      const struct lease *lease = HS_LIST_ENTRY (link, struct lease, link);

      len++;
      if (now - lease->last_heard_at > HS_LEASE_MS)
        expired++;
    }
  return expired * 100 > len * EXPIRED_SHARE_MAX_PERCENT;
}

/* Returns whether the leases imply another view than the current one.  */
static bool
view_is_outdated (const struct hs_registry *registry,
                  const struct lease_group *group, uint64_t now)
{
  const struct hs_view *view = current_view (registry, group);
  bool mass_expiry = is_mass_expiry (group, now);
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
          || member->state != next_state (lease, member, mass_expiry, now))
        return true;
    }
  return present != (view != NULL ? view->members_len : 0);
}

/* Proposes the view that the leases imply, unless a proposal is pending.  */
static void
propose (struct hs_registry *registry, struct lease_group *group, uint64_t now)
{
  const struct hs_view *current = current_view (registry, group);
  struct hs_view view = { .service_id = group->service_id, .number = 1 };
  bool mass_expiry = is_mass_expiry (group, now);

  if (group->proposal_pending && now - group->proposed_at < PROPOSAL_RETRY_MS)
    return;
  if (current != NULL)
    view.number = current->number + 1;
  HS_LIST_FOREACH (link, &group->leases)
    {
      struct lease *lease = HS_LIST_ENTRY (link, struct lease, link);
      const struct hs_member *member
          = current != NULL ? hs_view_find (current, lease->member_id) : NULL;

      if (lease->exiting)
        continue;
      view.members = talloc_realloc (group, view.members, struct hs_member,
                                     view.members_len + 1);
      view.members[view.members_len] = lease->member;
      view.members[view.members_len].state
          = next_state (lease, member, mass_expiry, now);
      view.members_len++;
    }
  group->proposal_pending = true;
  group->proposed_at = now;
  registry->ops.propose (registry->ctx, &view);
  talloc_free (view.members);
}

/* Frees the leases of exiting members that the current view no longer has.  */
static void
remove_exited_leases (struct hs_registry *registry, struct lease_group *group)
{
  const struct hs_view *view = current_view (registry, group);

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
