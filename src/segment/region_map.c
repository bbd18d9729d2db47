/* region_map.c -- the region of each availability zone, from a setting.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

struct mapped_zone
{
  struct hs_table_node node; /* By the id of the zone's name.  */
  struct hs_list link;
  char zone[HS_NAME_SIZE];
  char region[HS_NAME_SIZE];
};

struct hs_region_map
{
  struct hs_table *zones;
  struct hs_list listed; /* The same, as listed.  */
};

/* Private functions.  */

static bool add_zones (struct hs_region_map *map, const char *text,
                       GError **error);
static bool add_zone (struct hs_region_map *map, const char *part,
                      GError **error);
static struct mapped_zone *find_zone (const struct hs_region_map *map,
                                      const char *zone);
static bool match_zone (const struct hs_table_node *node, const void *key);
static bool set_error (const char *part, const char *requirement,
                       GError **error);

/* Public definitions.  */

struct hs_region_map *
hs_region_map_create (void *parent, const char *text, GError **error)
{
  struct hs_region_map *map = talloc_zero (parent, struct hs_region_map);

  map->zones = hs_table_create (map);
  hs_list_init (&map->listed);
  if (add_zones (map, text, error))
    return map;
  talloc_free (map);
  return NULL;
}

void
hs_region_map_destroy (struct hs_region_map *map)
{
  talloc_free (map);
}

const char *
hs_region_map_find (const struct hs_region_map *map, const char *zone)
{
  const struct mapped_zone *mapped = find_zone (map, zone);

  return mapped != NULL ? mapped->region : NULL;
}

size_t
hs_region_map_len (const struct hs_region_map *map)
{
  return hs_table_len (map->zones);
}

const char **
hs_region_map_regions (const struct hs_region_map *map, void *parent)
{
  const char **regions
      = talloc_array (parent, const char *, hs_region_map_len (map));
  size_t len = 0;

  HS_LIST_FOREACH (link, &map->listed)
    regions[len++] = HS_LIST_ENTRY (link, struct mapped_zone, link)->region;
  return regions;
}

bool
hs_region_set_allows (const struct hs_region_set *set, uint64_t region_id)
{
  if (set == NULL || set->len == 0)
    return true;
  for (size_t i = 0; region_id != 0 && i < set->len; i++)
    if (set->ids[i] == region_id)
      return true;
  return false;
}

/* Private definitions.  */

static bool
add_zones (struct hs_region_map *map, const char *text, GError **error)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", -1);

  for (size_t i = 0; parts[i] != NULL; i++)
    if (parts[i][0] != '\0' && !add_zone (map, parts[i], error))
      return false;
  return true;
}

/* Adds the zone of PART, "zone:region".  */
static bool
add_zone (struct hs_region_map *map, const char *part, GError **error)
{
  g_auto (GStrv) names = g_strsplit (part, ":", -1);
  struct mapped_zone *mapped;

  if (g_strv_length (names) != 2 || !hs_name_is_valid (names[0])
      || !hs_name_is_valid (names[1]))
    return set_error (part,
                      "expected zone:region, each 1 to 63 letters, digits, "
                      "'-', '_' or '.'",
                      error);
  if (find_zone (map, names[0]) != NULL)
    return set_error (part, "no zone may be listed twice", error);
  mapped = talloc_zero (map, struct mapped_zone);
  g_strlcpy (mapped->zone, names[0], sizeof mapped->zone);
  g_strlcpy (mapped->region, names[1], sizeof mapped->region);
  hs_table_insert (map->zones, &mapped->node, hs_id_from_name (mapped->zone));
  hs_list_append (&map->listed, &mapped->link);
  return true;
}

static struct mapped_zone *
find_zone (const struct hs_region_map *map, const char *zone)
{
  struct hs_table_node *node
      = hs_table_find (map->zones, hs_id_from_name (zone), match_zone, zone);

  return node != NULL ? HS_LIST_ENTRY (node, struct mapped_zone, node) : NULL;
}

static bool
match_zone (const struct hs_table_node *node, const void *key)
{
  return strcmp (HS_LIST_ENTRY (node, struct mapped_zone, node)->zone, key)
         == 0;
}

static bool
set_error (const char *part, const char *requirement, GError **error)
{
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID, "zones: '%s': %s", part,
               requirement);
  return false;
}
