/* test_follower.c -- how entries and agents keep up with the control group. */

#include "base/addr.h"
#include "base/auto.h"
#include "control/node_table.h"
#include "daemon/follower.h"

#include <string.h>

/* Types.  */

#define PORT 7000
#define SENT_MAX 64

struct sent
{
  struct hs_addr to;
  struct hs_inner inner;
};

struct node
{
  void *root;
  struct hs_follower *follower;
  size_t sent_len;
  struct sent sent[SENT_MAX];
  unsigned int entries_new;
  unsigned int lost;
  unsigned int regained;
  bool refuses; /* What comes is of no use.  */
  uint64_t configuration_base;
  size_t configuration_len;
  uint8_t configuration[8192];
};

/* Private functions.  */

static struct hs_addr
host (uint32_t number)
{
  return hs_addr_from_ipv4 (0x0a000000 + number, PORT);
}

static void
on_send (void *ctx, const struct hs_addr *to, const struct hs_inner *inner)
{
  struct node *node = ctx;

  g_assert_cmpuint (node->sent_len, <, SENT_MAX);
  node->sent[node->sent_len].to = *to;
  node->sent[node->sent_len++].inner = *inner;
}

static bool
on_configuration (void *ctx, uint64_t base, const uint8_t *bytes, size_t len)
{
  struct node *node = ctx;

  memcpy (node->configuration, bytes, len);
  node->configuration_len = len;
  node->configuration_base = base;
  return !node->refuses;
}

static void
on_entries (void *ctx)
{
  struct node *node = ctx;

  node->entries_new++;
}

static void
on_lost (void *ctx, bool lost)
{
  struct node *node = ctx;

  if (lost)
    node->lost++;
  else
    node->regained++;
}

static struct node *
node_create (enum hs_role role)
{
  struct hs_follower_ops ops
      = { on_send, on_configuration, on_entries, on_lost };
  struct hs_inner_heartbeat self = { .role = role, .node_id = 1, .name = "n" };
  struct hs_addrs seeds = { .len = 3 };
  struct node *node = talloc_zero (NULL, struct node);

  node->root = node;
  for (uint32_t i = 0; i < 3; i++)
    seeds.values[i] = hs_addr_from_ipv4 (0x0a000001 + i, 8000);
  node->follower = hs_follower_create (node, &self, &ops, node);
  hs_follower_set_seeds (node->follower, &seeds, PORT);
  return node;
}

static void
status (struct node *node, uint32_t from, uint64_t version, size_t entries,
        uint64_t now)
{
  struct hs_inner inner = { .type = HS_INNER_STATUS };
  struct hs_addr address = host (from);

  inner.status.configuration_version = version;
  inner.status.entries_digest = 77;
  inner.status.has_entries = entries > 0;
  inner.status.entries_total = (uint32_t)entries;
  inner.status.entries.len = entries;
  for (uint32_t i = 0; i < entries; i++)
    inner.status.entries.values[i] = host (100 + i);
  inner.status.controls.len = 5;
  for (uint32_t i = 0; i < 5; i++)
    inner.status.controls.values[i] = host (1 + i);
  hs_follower_receive (node->follower, &address, &inner, now);
}

static void
part (struct node *node, uint32_t from, uint64_t version, uint32_t offset,
      uint32_t total, uint64_t now)
{
  struct hs_inner inner = { .type = HS_INNER_CHUNK };
  struct hs_addr address = host (from);

  inner.chunk.version = version;
  inner.chunk.total_len = total;
  inner.chunk.offset = offset;
  inner.chunk.len = total - offset < HS_INNER_CHUNK_SIZE_MAX
                        ? total - offset
                        : HS_INNER_CHUNK_SIZE_MAX;
  memset (inner.chunk.bytes, (int)(offset / HS_INNER_CHUNK_SIZE_MAX + 1),
          inner.chunk.len);
  hs_follower_receive (node->follower, &address, &inner, now);
}

static unsigned int
count_sent (const struct node *node, enum hs_inner_type type)
{
  unsigned int count = 0;

  for (size_t i = 0; i < node->sent_len; i++)
    count += node->sent[i].inner.type == type;
  return count;
}

/* Every control host hears within three rounds, also those that the seeds do
   not name.  */
static void
test_all_hosts_told (void)
{
  struct node *node = node_create (HS_ROLE_AGENT);
  unsigned int seen = 0;

  hs_follower_tick (node->follower, 0);
  g_assert_cmpuint (node->sent_len, ==, 3);
  status (node, 1, 0, 2, 10);
  node->sent_len = 0;
  for (uint64_t now = 600; now < 2100; now += 100)
    hs_follower_tick (node->follower, now);
  for (size_t i = 0; i < node->sent_len; i++)
    for (uint32_t k = 0; k < 5; k++)
      {
        struct hs_addr address = host (1 + k);

        if (hs_addr_equal (&node->sent[i].to, &address))
          seen |= 1U << k;
      }
  g_assert_cmpuint (seen, ==, 31);
  g_assert_cmpuint (node->sent_len, <=, 8);
  talloc_free (node);
}

/* However many there are, all are told within 1.5 s.  */
static void
test_all_of_many_hosts_told (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_inner inner = { .type = HS_INNER_STATUS };
  struct hs_addr from = host (1);
  unsigned int seen = 0;

  inner.status.controls.len = 15;
  for (uint32_t i = 0; i < 15; i++)
    inner.status.controls.values[i] = host (1 + i);
  hs_follower_set_version (node->follower, 1);
  hs_follower_receive (node->follower, &from, &inner, 0);
  for (uint64_t now = 600; now < 2100; now += 100)
    hs_follower_tick (node->follower, now);
  for (size_t i = 0; i < node->sent_len; i++)
    for (uint32_t k = 0; k < 15; k++)
      {
        struct hs_addr address = host (1 + k);

        if (hs_addr_equal (&node->sent[i].to, &address))
          seen |= 1U << k;
      }
  g_assert_cmpuint (seen, ==, 0x7fff);
  talloc_free (node);
}

static void
test_configuration_fetched (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);

  status (node, 2, 9, 0, 10);
  g_assert_cmpuint (count_sent (node, HS_INNER_FETCH), ==, 1);
  part (node, 2, 9, 0, 2500, 20);
  g_assert_cmpuint (count_sent (node, HS_INNER_FETCH), ==, 3);
  part (node, 2, 9, 2200, 2500, 30);
  g_assert_cmpuint (node->configuration_len, ==, 0);
  part (node, 2, 9, 1100, 2500, 40);
  g_assert_cmpuint (node->configuration_len, ==, 2500);
  g_assert_cmpuint (node->configuration[0], ==, 1);
  g_assert_cmpuint (node->configuration[1100], ==, 2);
  g_assert_cmpuint (node->configuration[2499], ==, 3);
  /* In force here: an older one, or the same again, is not asked for.  */
  hs_follower_set_version (node->follower, 9);
  node->sent_len = 0;
  status (node, 1, 8, 0, 50);
  status (node, 3, 9, 0, 50);
  g_assert_cmpuint (count_sent (node, HS_INNER_FETCH), ==, 0);
  talloc_free (node);
}

/* With a version in force only its changes are asked for, and the whole once
   they are of no use.  */
static void
test_changes_fetched (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_inner inner = { .type = HS_INNER_CHUNK };
  struct hs_addr from = host (2);

  hs_follower_set_version (node->follower, 7);
  status (node, 2, 9, 0, 10);
  g_assert_cmpuint (node->sent[0].inner.chunk.base_version, ==, 7);
  inner.chunk.version = 9;
  inner.chunk.base_version = 7;
  inner.chunk.total_len = inner.chunk.len = 100;
  node->refuses = true;
  hs_follower_receive (node->follower, &from, &inner, 20);
  g_assert_cmpuint (node->configuration_base, ==, 7);
  node->sent_len = 0;
  status (node, 2, 9, 0, 30);
  g_assert_cmpuint (node->sent[0].inner.chunk.base_version, ==, 0);
  node->refuses = false;
  part (node, 2, 9, 0, 1000, 40);
  g_assert_cmpuint (node->configuration_base, ==, 0);
  hs_follower_set_version (node->follower, 9);
  node->sent_len = 0;
  status (node, 2, 10, 0, 50);
  g_assert_cmpuint (node->sent[0].inner.chunk.base_version, ==, 9);
  talloc_free (node);
}

/* Parts of the whole and of changes do not mix.  */
static void
test_changes_gone_while_fetching (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_inner inner = { .type = HS_INNER_CHUNK };
  struct hs_addr from = host (2);

  hs_follower_set_version (node->follower, 7);
  status (node, 2, 9, 0, 10);
  inner.chunk.version = 9;
  inner.chunk.base_version = 7;
  inner.chunk.total_len = 2500;
  inner.chunk.len = HS_INNER_CHUNK_SIZE_MAX;
  hs_follower_receive (node->follower, &from, &inner, 20);
  part (node, 2, 9, 1100, 2500, 30);
  part (node, 2, 9, 2200, 2500, 30);
  g_assert_cmpuint (node->configuration_len, ==, 0);
  part (node, 2, 9, 0, 2500, 40);
  part (node, 2, 9, 1100, 2500, 50);
  part (node, 2, 9, 2200, 2500, 50);
  g_assert_cmpuint (node->configuration_len, ==, 2500);
  g_assert_cmpuint (node->configuration_base, ==, 0);
  talloc_free (node);
}

static void
test_agent_fetches_nothing (void)
{
  struct node *node = node_create (HS_ROLE_AGENT);

  status (node, 2, 9, 2, 10);
  g_assert_cmpuint (count_sent (node, HS_INNER_FETCH), ==, 0);
  talloc_free (node);
}

static void
test_lost_part_asked_again (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);

  status (node, 2, 9, 0, 10);
  part (node, 2, 9, 0, 2500, 20);
  part (node, 2, 9, 1100, 2500, 30);
  node->sent_len = 0;
  hs_follower_tick (node->follower, 600);
  g_assert_cmpuint (count_sent (node, HS_INNER_FETCH), ==, 1);
  part (node, 2, 9, 2200, 2500, 610);
  g_assert_cmpuint (node->configuration_len, ==, 2500);
  talloc_free (node);
}

/* The host that was fetched from goes away, another one has it as well.  */
static void
test_fetch_from_another (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_addr other = host (3);

  status (node, 2, 9, 0, 10);
  hs_follower_tick (node->follower, 600);
  node->sent_len = 0;
  status (node, 3, 9, 0, 700);
  g_assert_cmpuint (count_sent (node, HS_INNER_FETCH), ==, 1);
  g_assert_true (hs_addr_equal (&node->sent[0].to, &other));
  /* What the first one sends late does not mix with it.  */
  part (node, 2, 9, 0, 1000, 710);
  g_assert_cmpuint (node->configuration_len, ==, 0);
  part (node, 3, 9, 0, 1000, 720);
  g_assert_cmpuint (node->configuration_len, ==, 1000);
  talloc_free (node);
}

static void
test_newer_while_fetching (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);

  status (node, 2, 9, 0, 10);
  part (node, 2, 9, 0, 2500, 20);
  part (node, 2, 10, 1100, 1200, 30);
  part (node, 2, 10, 0, 1200, 40);
  part (node, 2, 10, 1100, 1200, 50);
  g_assert_cmpuint (node->configuration_len, ==, 1200);
  talloc_free (node);
}

/* A control host that has just started lists few entries.  */
static void
test_entries_outlive_short_lists (void)
{
  struct node *node = node_create (HS_ROLE_AGENT);

  status (node, 1, 0, 4, 0);
  g_assert_cmpuint (hs_follower_entries (node->follower)->len, ==, 4);
  g_assert_cmpuint (node->entries_new, ==, 1);
  for (uint64_t now = 1000; now <= 10000; now += 1000)
    status (node, 2, 0, 1, now);
  hs_follower_tick (node->follower, 10000);
  g_assert_cmpuint (hs_follower_entries (node->follower)->len, ==, 4);
  g_assert_cmpuint (node->entries_new, ==, 1);
  for (uint64_t now = 11000; now <= 14000; now += 1000)
    status (node, 2, 0, 1, now);
  hs_follower_tick (node->follower, 14000);
  g_assert_cmpuint (hs_follower_entries (node->follower)->len, ==, 1);
  talloc_free (node);
}

/* Tells NODE the entries of ROSTER in as many messages as it takes, without
   the one of number LOST.  */
static void
tell_roster (struct node *node, const struct hs_node_table *roster,
             size_t lost, uint64_t now)
{
  size_t total = hs_node_table_count (roster, HS_ROLE_ENTRY);
  struct hs_inner inner = { .type = HS_INNER_STATUS };
  struct hs_addr from = host (1);
  size_t sent = 0;

  inner.status.entries_digest = hs_node_table_entries_digest (roster);
  inner.status.has_entries = true;
  inner.status.entries_total = (uint32_t)total;
  for (size_t i = 0; sent < total; i++)
    {
      hs_node_table_list_entries (roster, sent, &inner.status.entries);
      g_assert_cmpuint (inner.status.entries.len, >, 0);
      sent += inner.status.entries.len;
      if (i != lost)
        hs_follower_receive (node->follower, &from, &inner, now);
    }
}

/* More entries than one message takes are all heard of, also if a message is
   lost: the list does not count as known, and is asked for again.  */
static void
test_entries_beyond_a_message (void)
{
  struct node *node = node_create (HS_ROLE_AGENT);
  struct hs_node_table *roster = hs_node_table_create (node);
  uint64_t digest;

  for (uint32_t i = 0; i < 1100; i++)
    {
      struct hs_inner_heartbeat sync = { .role = HS_ROLE_ENTRY,
                                         .node_id = 1 + i,
                                         .address = host (100 + i) };

      hs_node_table_update (roster, &sync, 0);
    }
  digest = hs_node_table_entries_digest (roster);
  tell_roster (node, roster, 2, 10);
  g_assert_cmpuint (hs_follower_entries (node->follower)->len, ==,
                    1100 - HS_INNER_ADDRS_MAX);
  hs_follower_tick (node->follower, 500);
  g_assert_cmpuint (node->sent[0].inner.heartbeat.entries_digest, !=, digest);
  tell_roster (node, roster, SIZE_MAX, 510);
  g_assert_cmpuint (hs_follower_entries (node->follower)->len, ==, 1100);
  node->sent_len = 0;
  hs_follower_tick (node->follower, 1100);
  g_assert_cmpuint (node->sent[0].inner.heartbeat.entries_digest, ==, digest);
  talloc_free (node);
}

/* While the whole group is silent, what is known stays.  */
static void
test_silent_group (void)
{
  struct node *node = node_create (HS_ROLE_AGENT);

  status (node, 1, 0, 2, 1);
  for (uint64_t now = 500; now <= 60000; now += 500)
    {
      node->sent_len = 0;
      hs_follower_tick (node->follower, now);
    }
  g_assert_cmpuint (hs_follower_entries (node->follower)->len, ==, 2);
  g_assert_cmpuint (node->lost, ==, 1);
  status (node, 3, 0, 2, 60100);
  node->sent_len = 0;
  hs_follower_tick (node->follower, 60600);
  g_assert_cmpuint (node->regained, ==, 1);
  talloc_free (node);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/follower/all-hosts-told", test_all_hosts_told);
  g_test_add_func ("/follower/many-hosts", test_all_of_many_hosts_told);
  g_test_add_func ("/follower/configuration", test_configuration_fetched);
  g_test_add_func ("/follower/lost-part", test_lost_part_asked_again);
  g_test_add_func ("/follower/changes", test_changes_fetched);
  g_test_add_func ("/follower/changes-gone", test_changes_gone_while_fetching);
  g_test_add_func ("/follower/agent-fetches-nothing",
                   test_agent_fetches_nothing);
  g_test_add_func ("/follower/from-another", test_fetch_from_another);
  g_test_add_func ("/follower/newer", test_newer_while_fetching);
  g_test_add_func ("/follower/entries", test_entries_outlive_short_lists);
  g_test_add_func ("/follower/entries-beyond-a-message",
                   test_entries_beyond_a_message);
  g_test_add_func ("/follower/silent-group", test_silent_group);
  return g_test_run ();
}
