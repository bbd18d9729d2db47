/* view.c -- membership views and the rendezvous ranking of their members.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/* Types.  */

static const char *const state_names[] = { [HS_MEMBER_READY] = "ready",
                                           [HS_MEMBER_SUSPECT] = "suspect",
                                           [HS_MEMBER_DRAINING] = "leaving" };

/* Private functions.  */

static const struct hs_member *
highest_below (const struct hs_view *view, uint64_t flow_hash, uint64_t bound,
               bool include_suspects, uint64_t *score);

/* Public definitions.  */

const char *
hs_member_state_name (enum hs_member_state state)
{
  return state_names[state];
}

uint64_t
hs_id_from_name (const char *name)
{
  uint64_t id = XXH3_64bits (name, strlen (name));

  return id != 0 ? id : 1;
}

struct hs_view *
hs_view_copy (void *parent, const struct hs_view *view)
{
  struct hs_view *copy = talloc (parent, struct hs_view);

  *copy = *view;
  copy->members = talloc_array (copy, struct hs_member, view->members_len);
  if (view->members_len > 0)
    memcpy (copy->members, view->members,
            view->members_len * sizeof view->members[0]);
  return copy;
}

const struct hs_member *
hs_view_find (const struct hs_view *view, uint64_t member_id)
{
  for (size_t i = 0; i < view->members_len; i++)
    if (view->members[i].id == member_id)
      return &view->members[i];
  return NULL;
}

struct hs_view *
hs_view_subset (void *parent, const struct hs_view *view, uint64_t flow_hash,
                size_t max)
{
  struct hs_view *subset = talloc (parent, struct hs_view);
  const struct hs_member **top
      = talloc_array (parent, const struct hs_member *, max);

  *subset = *view;
  subset->members_len = hs_view_top_ranked (view, flow_hash, top, max);
  subset->members
      = talloc_array (subset, struct hs_member, subset->members_len);
  for (size_t i = 0; i < subset->members_len; i++)
    subset->members[i] = *top[i];
  talloc_free (top);
  return subset;
}

size_t
hs_view_top_ranked (const struct hs_view *view, uint64_t flow_hash,
                    const struct hs_member **top, size_t max)
{
  uint64_t bound = UINT64_MAX;
  size_t len = 0;

  while (len < max)
    {
      top[len] = highest_below (view, flow_hash, bound, false, &bound);
      if (top[len] == NULL)
        break;
      len++;
    }
  if (len > 0)
    return len;
  top[0] = highest_below (view, flow_hash, UINT64_MAX, true, &bound);
  return top[0] != NULL ? 1 : 0;
}

const struct hs_member *
hs_view_directory (const struct hs_view *view, uint64_t flow_hash)
{
  const struct hs_member *directory;

  return hs_view_top_ranked (view, flow_hash, &directory, 1) == 1 ? directory
                                                                  : NULL;
}

const struct hs_member *
hs_view_first_ready (const struct hs_view *view, uint64_t flow_hash)
{
  uint64_t bound = UINT64_MAX;
  const struct hs_member *member;

  do
    member = highest_below (view, flow_hash, bound, false, &bound);
  while (member != NULL && member->state != HS_MEMBER_READY);
  return member;
}

/* Private definitions.  */

/* Returns the member with the highest rendezvous score below BOUND, or NULL,
   and stores that score in SCORE (0 if there is none).  Suspect members count
   only if INCLUDE_SUSPECTS.  */
static const struct hs_member *
highest_below (const struct hs_view *view, uint64_t flow_hash, uint64_t bound,
               bool include_suspects, uint64_t *score)
{
  const struct hs_member *best = NULL;
  uint64_t best_score = 0;

  for (size_t i = 0; i < view->members_len; i++)
    {
      const struct hs_member *member = &view->members[i];
      uint64_t member_score;

      if (!include_suspects && member->state == HS_MEMBER_SUSPECT)
        continue;
      member_score = hs_rendezvous_score (flow_hash, member->id);
      if (member_score >= bound
          || (best != NULL && member_score <= best_score))
        continue;
      best = member;
      best_score = member_score;
    }
  *score = best_score;
  return best;
}
