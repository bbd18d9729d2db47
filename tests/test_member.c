/* test_member.c -- the catalog and the registry.  */

#include "base/auto.h"
#include "hibiscusspan.h"

#include <string.h>

/* Types.  */

#define SERVICE 1

struct control
{
  void *root;
  struct hs_catalog *catalog;
  struct hs_registry *registry;
  struct hs_view *proposed; /* NULL: none outstanding.  */
  uint64_t version;
};

/* Private functions.  */

static void
on_propose (void *ctx, const struct hs_view *view)
{
  struct control *control = ctx;

  talloc_free (control->proposed);
  control->proposed = hs_view_copy (control->root, view);
}

static struct control
control_create (void)
{
  struct hs_registry_ops ops = { on_propose };
  struct hs_document document
      = { .service_name = "registro", .kind = HS_SERVICE_KIND_COAP };
  struct hs_service service = { SERVICE, 1, &document };
  struct control control = { .root = talloc_new (NULL), .version = 1 };

  control.catalog = hs_catalog_create (control.root);
  hs_catalog_put_service (control.catalog, control.version, &service);
  control.registry
      = hs_registry_create (control.root, control.catalog, &ops, NULL);
  return control;
}

static void
use (struct control *control)
{
  struct hs_registry_ops ops = { on_propose };

  hs_registry_destroy (control->registry);
  control->registry
      = hs_registry_create (control->root, control->catalog, &ops, control);
}

/* Lets the log accept what was proposed.  */
static void
commit (struct control *control, uint64_t now)
{
  struct hs_view *view = control->proposed;

  control->proposed = NULL;
  if (view == NULL)
    return;
  hs_catalog_put_view (control->catalog, ++control->version, view);
  hs_registry_apply_view (control->registry, view->service_id, now);
  talloc_free (view);
}

static enum hs_announce_result
announce (struct control *control, const char *name, uint64_t incarnation,
          bool leaving, bool gone, uint64_t now)
{
  struct hs_announcement a = { .role = HS_ROLE_AGENT,
                               .incarnation = incarnation,
                               .draining = leaving,
                               .exiting = gone,
                               .service_name = "registro" };

  g_strlcpy (a.name, name, sizeof a.name);
  return hs_registry_announce (control->registry, &a, now);
}

/* Members a, b and c, at time 0.  */
static void
join_three (struct control *control)
{
  static const char *const names[] = { "a", "b", "c" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      announce (control, names[i], 1, false, false, 0);
      commit (control, 0);
    }
}

static enum hs_member_state
state_of (const struct control *control, const char *name)
{
  const struct hs_view *view
      = hs_catalog_find (control->catalog, SERVICE)->view;
  const struct hs_member *member = hs_view_find (view, hs_id_from_name (name));

  g_assert_nonnull (member);
  return member->state;
}

static void
test_catalog_never_goes_back (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_catalog *catalog = hs_catalog_create (root);
  struct hs_document document = { .service_name = "a" };
  struct hs_service service = { SERVICE, 2, &document };
  struct hs_view view = { .service_id = SERVICE, .number = 5 };

  g_assert_true (hs_catalog_put_service (catalog, 1, &service));
  g_assert_true (hs_catalog_put_view (catalog, 2, &view));
  service.revision = 1;
  view.number = 5;
  g_assert_false (hs_catalog_put_service (catalog, 3, &service));
  g_assert_false (hs_catalog_put_view (catalog, 3, &view));
  g_assert_cmpuint (hs_catalog_find (catalog, SERVICE)->service->revision, ==,
                    2);
  g_assert_cmpuint (hs_catalog_version (catalog), ==, 2);
}

static void
test_catalog_changes_since (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_catalog *catalog = hs_catalog_create (root);
  struct hs_view view = { .number = 1 };
  const struct hs_catalog_item *item;

  for (uint32_t id = 1; id <= 5; id++)
    {
      view.service_id = id;
      hs_catalog_put_view (catalog, id, &view);
    }
  view.service_id = 2;
  view.number = 2;
  hs_catalog_put_view (catalog, 6, &view);
  item = hs_catalog_first_after (catalog, 4);
  g_assert_cmpuint (item->service_id, ==, 5);
  item = hs_catalog_next (catalog, item);
  g_assert_cmpuint (item->service_id, ==, 2);
  g_assert_null (hs_catalog_next (catalog, item));
  g_assert_null (hs_catalog_first_after (catalog, 6));
}

static void
test_join_and_leave (void)
{
  struct control control = control_create ();

  use (&control);
  g_assert_cmpint (announce (&control, "a", 1, false, false, 0), ==,
                   HS_ANNOUNCE_OK);
  commit (&control, 0);
  g_assert_cmpint (state_of (&control, "a"), ==, HS_MEMBER_READY);
  /* A repeat changes nothing.  */
  announce (&control, "a", 1, false, false, 10);
  g_assert_null (control.proposed);
  announce (&control, "a", 1, true, false, 20);
  commit (&control, 20);
  g_assert_cmpint (state_of (&control, "a"), ==, HS_MEMBER_DRAINING);
  announce (&control, "a", 1, true, true, 30);
  commit (&control, 30);
  g_assert_cmpuint (
      hs_catalog_find (control.catalog, SERVICE)->view->members_len, ==, 0);
  talloc_free (control.root);
}

static void
test_incarnations (void)
{
  struct control control = control_create ();
  const struct hs_view *view;

  use (&control);
  announce (&control, "a", 5, false, false, 0);
  commit (&control, 0);
  announce (&control, "a", 6, false, false, 10);
  commit (&control, 10);
  view = hs_catalog_find (control.catalog, SERVICE)->view;
  g_assert_cmpuint (view->members_len, ==, 1);
  g_assert_cmpuint (view->members[0].incarnation, ==, 6);
  g_assert_cmpint (announce (&control, "a", 5, false, false, 20), ==,
                   HS_ANNOUNCE_SUPERSEDED);
  g_assert_null (control.proposed);
  talloc_free (control.root);
}

/* A lapsed lease makes a suspect, and an announcement ends it.  */
static void
test_lapse (void)
{
  struct control control = control_create ();
  uint64_t late = HS_LEASE_MS + 1;

  use (&control);
  join_three (&control);
  announce (&control, "b", 1, false, false, late);
  announce (&control, "c", 1, false, false, late);
  hs_registry_tick (control.registry, late);
  commit (&control, late);
  g_assert_cmpint (state_of (&control, "a"), ==, HS_MEMBER_SUSPECT);
  g_assert_cmpint (state_of (&control, "b"), ==, HS_MEMBER_READY);
  announce (&control, "a", 1, false, false, late + 1);
  commit (&control, late + 1);
  g_assert_cmpint (state_of (&control, "a"), ==, HS_MEMBER_READY);
  talloc_free (control.root);
}

/* Most lapse at once: it is likelier that this host is cut off.  */
static void
test_mass_lapse (void)
{
  struct control control = control_create ();
  uint64_t late = HS_LEASE_MS + 1;

  use (&control);
  join_three (&control);
  announce (&control, "c", 1, false, false, late);
  hs_registry_tick (control.registry, late);
  g_assert_null (control.proposed);
  talloc_free (control.root);
}

/* A suspect stays one when the others lapse after it.  */
static void
test_mass_lapse_keeps_suspects (void)
{
  struct control control = control_create ();
  uint64_t late = HS_LEASE_MS + 1;

  use (&control);
  join_three (&control);
  announce (&control, "b", 1, false, false, late);
  announce (&control, "c", 1, false, false, late);
  hs_registry_tick (control.registry, late);
  commit (&control, late);
  hs_registry_tick (control.registry, late * 3);
  g_assert_null (control.proposed);
  g_assert_cmpint (state_of (&control, "a"), ==, HS_MEMBER_SUSPECT);
  g_assert_cmpint (state_of (&control, "b"), ==, HS_MEMBER_READY);
  talloc_free (control.root);
}

/* A control host that has just started gives members a whole lease.  */
static void
test_restart (void)
{
  struct control control = control_create ();
  uint64_t later = 10 * HS_LEASE_MS;

  use (&control);
  join_three (&control);
  use (&control);
  announce (&control, "a", 1, false, false, later);
  hs_registry_tick (control.registry, later);
  g_assert_null (control.proposed);
  g_assert_cmpuint (
      hs_catalog_find (control.catalog, SERVICE)->view->members_len, ==, 3);
  talloc_free (control.root);
}

static void
test_subset (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_member members[20] = { 0 };
  struct hs_view view = { .members_len = 20, .members = members };
  struct hs_view *subset;

  for (uint64_t i = 0; i < 20; i++)
    {
      members[i].id = i + 1;
      members[i].state = i < 2 ? HS_MEMBER_SUSPECT : HS_MEMBER_READY;
    }
  subset = hs_view_subset (root, &view, 99, 8);
  g_assert_cmpuint (subset->members_len, ==, 8);
  for (size_t i = 0; i < 8; i++)
    {
      g_assert_cmpint (subset->members[i].state, ==, HS_MEMBER_READY);
      for (size_t j = 0; j < i; j++)
        g_assert_cmpuint (subset->members[i].id, !=, subset->members[j].id);
    }
  subset = hs_view_subset (root, &view, 99, 30);
  g_assert_cmpuint (subset->members_len, ==, 18);
}

/* Public definitions.  */

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/catalog-never-goes-back",
                   test_catalog_never_goes_back);
  g_test_add_func ("/member/catalog-changes-since",
                   test_catalog_changes_since);
  g_test_add_func ("/member/join-and-leave", test_join_and_leave);
  g_test_add_func ("/member/incarnations", test_incarnations);
  g_test_add_func ("/member/lapse", test_lapse);
  g_test_add_func ("/member/mass-lapse", test_mass_lapse);
  g_test_add_func ("/member/mass-lapse-keeps-suspects",
                   test_mass_lapse_keeps_suspects);
  g_test_add_func ("/member/restart", test_restart);
  g_test_add_func ("/member/subset", test_subset);
  return g_test_run ();
}
