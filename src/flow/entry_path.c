/* entry_path.c -- which entry sends an answer back to the caller.  */

#include "hibiscusspan.h"

/* Private functions.  */

static bool is_fresh (const struct hs_entry_path *path, uint64_t now);
static const struct hs_member *find_entry (const struct hs_view *view,
                                           uint64_t turn, bool ready_only);

/* Public definitions.  */

bool
hs_entry_path_choose (const struct hs_catalog *catalog,
                      const struct hs_entry_path *flow,
                      const struct hs_entry_path *any, uint64_t turn,
                      uint64_t now, struct hs_entry_path *path)
{
  const struct hs_catalog_item *item
      = hs_catalog_find (catalog, HS_ENTRY_SERVICE_ID);
  const struct hs_member *member = NULL;

  *path = is_fresh (flow, now) ? *flow : *any;
  if (is_fresh (path, now))
    return true;
  if (item != NULL && item->view != NULL)
    member = find_entry (item->view, turn, true);
  if (member == NULL && item != NULL && item->view != NULL)
    member = find_entry (item->view, turn, false);
  if (member == NULL)
    return path->last_heard_at != 0;
  path->address = member->address;
  path->incarnation = member->incarnation;
  return true;
}

/* Private definitions.  */

static bool
is_fresh (const struct hs_entry_path *path, uint64_t now)
{
  return path->last_heard_at != 0
         && now - path->last_heard_at <= HS_ENTRY_PATH_MAX_AGE_MS;
}

/* The first entry of VIEW from position TURN on; NULL: none.  */
static const struct hs_member *
find_entry (const struct hs_view *view, uint64_t turn, bool ready_only)
{
  for (size_t i = 0; i < view->members_len; i++)
    {
      const struct hs_member *member
          = &view->members[(turn + i) % view->members_len];

      if (!ready_only || member->state == HS_MEMBER_READY)
        return member;
    }
  return NULL;
}
