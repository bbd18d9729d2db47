/* evacuation.c -- the availability zones that operators have evacuated.

   The state follows from the orders alone, in the sequence of the replicated
   log, so that all control hosts have the same.  */

#include "hibiscusspan.h"

#include <string.h>

/* Private functions.  */

static size_t find_zone (const struct hs_evacuations *evacuations,
                         const char *zone);
static void remove_zone (struct hs_evacuations *evacuations, size_t index);

/* Public definitions.  */

bool
hs_evacuations_contain (const struct hs_evacuations *evacuations,
                        const char *zone)
{
  return find_zone (evacuations, zone) < evacuations->len;
}

bool
hs_evacuations_apply (struct hs_evacuations *evacuations,
                      const struct hs_evacuation_order *order,
                      uint64_t revision, GError **error)
{
  size_t index = find_zone (evacuations, order->zone);

  if (order->start == (index < evacuations->len))
    return true;
  if (order->is_conditional && order->base_revision != evacuations->revision)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_CONFLICT,
                   "zone %s: the order is based on revision %llu, but the "
                   "revision is %llu",
                   order->zone, (unsigned long long)order->base_revision,
                   (unsigned long long)evacuations->revision);
      return false;
    }
  if (order->start && evacuations->len == HS_EVACUATED_ZONES_MAX)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_LIMIT,
                   "zone %s: %d zones are evacuated already, the most that "
                   "are possible",
                   order->zone, HS_EVACUATED_ZONES_MAX);
      return false;
    }
  if (order->start)
    g_strlcpy (evacuations->zones[evacuations->len++], order->zone,
               HS_NAME_SIZE);
  else
    remove_zone (evacuations, index);
  evacuations->revision = revision;
  return true;
}

bool
hs_evacuations_update (struct hs_evacuations *held,
                       const struct hs_evacuations *received)
{
  if (received->revision <= held->revision)
    return false;
  *held = *received;
  return true;
}

/* Private definitions.  */

/* Returns the index of ZONE, or the number of zones if it is not evacuated. */
static size_t
find_zone (const struct hs_evacuations *evacuations, const char *zone)
{
  size_t index = 0;

  while (index < evacuations->len
         && strcmp (evacuations->zones[index], zone) != 0)
    index++;
  return index;
}

static void
remove_zone (struct hs_evacuations *evacuations, size_t index)
{
  memmove (evacuations->zones[index], evacuations->zones[index + 1],
           (evacuations->len - index - 1) * HS_NAME_SIZE);
  evacuations->len--;
}
