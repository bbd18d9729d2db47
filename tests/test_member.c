/* test_member.c -- tests of the catalog, the registry and views.  */

#include "base/auto.h"
#include "hibiscusspan.h"

#include <string.h>

/* Types.  */

#define SERVICE_ID 1

struct fixture
{
  void *root;
  struct hs_catalog *catalog;
  struct hs_registry *registry;
  struct hs_view *proposed; /* NULL: none pending.  */
  uint64_t version;         /* Version of the catalog.  */
};

/* Private functions.  */

static void
on_propose (void *ctx, const struct hs_view *view)
{
  struct fixture *fixture = ctx;

  talloc_free (fixture->proposed);
  fixture->proposed = hs_view_copy (fixture->root, view);
}

/* The registry has no context yet: the fixture is returned by value, so its
   final address is not known.  Call start_registry next.  */
static struct fixture
fixture_create (void)
{
  struct hs_registry_ops ops = { on_propose };
  struct hs_document document
      = { .service_name = "registro", .kind = HS_SERVICE_KIND_COAP };
  struct hs_service service = { SERVICE_ID, 1, &document };
  struct fixture fixture = { .root = talloc_new (NULL), .version = 1 };

  fixture.catalog = hs_catalog_create (fixture.root);
  hs_catalog_put_service (fixture.catalog, fixture.version, &service);
  fixture.registry
      = hs_registry_create (fixture.root, fixture.catalog, &ops, NULL);
  return fixture;
}

/* Replaces the registry by a new one, as a restart of the host does.  */
static void
start_registry (struct fixture *fixture)
{
  struct hs_registry_ops ops = { on_propose };

  hs_registry_destroy (fixture->registry);
  fixture->registry
      = hs_registry_create (fixture->root, fixture->catalog, &ops, fixture);
}

/* Commits the proposed view, if there is one.  */
static void
commit_proposal (struct fixture *fixture, uint64_t now)
{
  struct hs_view *view = fixture->proposed;

  fixture->proposed = NULL;
  if (view == NULL)
    return;
  hs_catalog_put_view (fixture->catalog, ++fixture->version, view);
  hs_registry_apply_view (fixture->registry, view->service_id, now);
  talloc_free (view);
}

static enum hs_announce_result
announce (struct fixture *fixture, const char *name, uint64_t incarnation,
          bool draining, bool exiting, uint64_t now)
{
  struct hs_announcement announcement = { .role = HS_ROLE_AGENT,
                                          .incarnation = incarnation,
                                          .draining = draining,
                                          .exiting = exiting,
                                          .service_name = "registro" };

  g_strlcpy (announcement.name, name, sizeof announcement.name);
  return hs_registry_announce (fixture->registry, &announcement, now);
}

/* Adds the members a, b and c at time 0.  */
static void
join_three (struct fixture *fixture)
{
  static const char *const names[] = { "a", "b", "c" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      announce (fixture, names[i], 1, false, false, 0);
      commit_proposal (fixture, 0);
    }
}

static enum hs_member_state
member_state (const struct fixture *fixture, const char *name)
{
  const struct hs_view *view
      = hs_catalog_find (fixture->catalog, SERVICE_ID)->view;
  const struct hs_member *member = hs_view_find (view, hs_id_from_name (name));

  g_assert_nonnull (member);
  return member->state;
}

/* The catalog ignores a revision or view number that is not newer.  */
static void
test_catalog_ignores_old_versions (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_catalog *catalog = hs_catalog_create (root);
  struct hs_document document = { .service_name = "a" };
  struct hs_service service = { SERVICE_ID, 2, &document };
  struct hs_view view = { .service_id = SERVICE_ID, .number = 5 };

  g_assert_true (hs_catalog_put_service (catalog, 1, &service));
  g_assert_true (hs_catalog_put_view (catalog, 2, &view));
  service.revision = 1;
  view.number = 5;
  g_assert_false (hs_catalog_put_service (catalog, 3, &service));
  g_assert_false (hs_catalog_put_view (catalog, 3, &view));
  g_assert_cmpuint (hs_catalog_find (catalog, SERVICE_ID)->service->revision,
                    ==, 2);
  g_assert_cmpuint (hs_catalog_version (catalog), ==, 2);
}

/* An item that changes again moves behind all others.  */
static void
test_catalog_changed_after (void)
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
  struct fixture fixture = fixture_create ();

  start_registry (&fixture);
  g_assert_cmpint (announce (&fixture, "a", 1, false, false, 0), ==,
                   HS_ANNOUNCE_OK);
  commit_proposal (&fixture, 0);
  g_assert_cmpint (member_state (&fixture, "a"), ==, HS_MEMBER_READY);
  /* A repeated announcement causes no proposal.  */
  announce (&fixture, "a", 1, false, false, 10);
  g_assert_null (fixture.proposed);
  announce (&fixture, "a", 1, true, false, 20);
  commit_proposal (&fixture, 20);
  g_assert_cmpint (member_state (&fixture, "a"), ==, HS_MEMBER_DRAINING);
  announce (&fixture, "a", 1, true, true, 30);
  commit_proposal (&fixture, 30);
  g_assert_cmpuint (
      hs_catalog_find (fixture.catalog, SERVICE_ID)->view->members_len, ==, 0);
  talloc_free (fixture.root);
}

/* A restarted agent replaces its earlier incarnation, whose late announcements
   are refused.  */
static void
test_incarnations (void)
{
  struct fixture fixture = fixture_create ();
  const struct hs_view *view;

  start_registry (&fixture);
  announce (&fixture, "a", 5, false, false, 0);
  commit_proposal (&fixture, 0);
  announce (&fixture, "a", 6, false, false, 10);
  commit_proposal (&fixture, 10);
  view = hs_catalog_find (fixture.catalog, SERVICE_ID)->view;
  g_assert_cmpuint (view->members_len, ==, 1);
  g_assert_cmpuint (view->members[0].incarnation, ==, 6);
  g_assert_cmpint (announce (&fixture, "a", 5, false, false, 20), ==,
                   HS_ANNOUNCE_SUPERSEDED);
  g_assert_null (fixture.proposed);
  talloc_free (fixture.root);
}

/* A member becomes suspect when its lease expires, and ready again with its
   next announcement.  */
static void
test_lease_expiry (void)
{
  struct fixture fixture = fixture_create ();
  uint64_t after_expiry = HS_LEASE_MS + 1;

  start_registry (&fixture);
  join_three (&fixture);
  announce (&fixture, "b", 1, false, false, after_expiry);
  announce (&fixture, "c", 1, false, false, after_expiry);
  hs_registry_tick (fixture.registry, after_expiry);
  commit_proposal (&fixture, after_expiry);
  g_assert_cmpint (member_state (&fixture, "a"), ==, HS_MEMBER_SUSPECT);
  g_assert_cmpint (member_state (&fixture, "b"), ==, HS_MEMBER_READY);
  announce (&fixture, "a", 1, false, false, after_expiry + 1);
  commit_proposal (&fixture, after_expiry + 1);
  g_assert_cmpint (member_state (&fixture, "a"), ==, HS_MEMBER_READY);
  talloc_free (fixture.root);
}

/* If most leases expire at once, the registry must not suspect the members:
   more likely this host is cut off from the network.  */
static void
test_mass_expiry (void)
{
  struct fixture fixture = fixture_create ();
  uint64_t after_expiry = HS_LEASE_MS + 1;

  start_registry (&fixture);
  join_three (&fixture);
  announce (&fixture, "c", 1, false, false, after_expiry);
  hs_registry_tick (fixture.registry, after_expiry);
  g_assert_null (fixture.proposed);
  talloc_free (fixture.root);
}

/* A mass expiry changes no states: a member that was suspect before stays
   suspect, and the others stay ready.  */
static void
test_mass_expiry_keeps_suspects (void)
{
  struct fixture fixture = fixture_create ();
  uint64_t after_expiry = HS_LEASE_MS + 1;

  start_registry (&fixture);
  join_three (&fixture);
  announce (&fixture, "b", 1, false, false, after_expiry);
  announce (&fixture, "c", 1, false, false, after_expiry);
  hs_registry_tick (fixture.registry, after_expiry);
  commit_proposal (&fixture, after_expiry);
  hs_registry_tick (fixture.registry, after_expiry * 3);
  g_assert_null (fixture.proposed);
  g_assert_cmpint (member_state (&fixture, "a"), ==, HS_MEMBER_SUSPECT);
  g_assert_cmpint (member_state (&fixture, "b"), ==, HS_MEMBER_READY);
  talloc_free (fixture.root);
}

/* After a restart of the control host, members get a full lease period to
   announce themselves before they become suspect.  */
static void
test_restart (void)
{
  struct fixture fixture = fixture_create ();
  uint64_t later = 10 * HS_LEASE_MS;

  start_registry (&fixture);
  join_three (&fixture);
  start_registry (&fixture);
  announce (&fixture, "a", 1, false, false, later);
  hs_registry_tick (fixture.registry, later);
  g_assert_null (fixture.proposed);
  g_assert_cmpuint (
      hs_catalog_find (fixture.catalog, SERVICE_ID)->view->members_len, ==, 3);
  talloc_free (fixture.root);
}

/* A subset has no suspect members and no member twice.  */
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
  g_test_add_func ("/member/catalog-ignores-old-versions",
                   test_catalog_ignores_old_versions);
  g_test_add_func ("/member/catalog-changed-after",
                   test_catalog_changed_after);
  g_test_add_func ("/member/join-and-leave", test_join_and_leave);
  g_test_add_func ("/member/incarnations", test_incarnations);
  g_test_add_func ("/member/lease-expiry", test_lease_expiry);
  g_test_add_func ("/member/mass-expiry", test_mass_expiry);
  g_test_add_func ("/member/mass-expiry-keeps-suspects",
                   test_mass_expiry_keeps_suspects);
  g_test_add_func ("/member/restart", test_restart);
  g_test_add_func ("/member/subset", test_subset);
  return g_test_run ();
}
