/* test_follower.c -- following the control group: heartbeats, entry lists and
   configuration fetches.  */

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
  unsigned int agents_changed;
  unsigned int evacuations_changed;
  unsigned int lost;          /* Times that the control group was lost.  */
  unsigned int regained;      /* Times that it was regained.  */
  bool rejects_configuration; /* apply_configuration fails.  */
  uint64_t configuration_base_generation;
  size_t configuration_len;
  uint8_t configuration[8192];
};

/* Private functions.  */

static struct hs_addr
host_addr (uint32_t number)
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
on_apply_configuration (void *ctx, uint64_t base_generation,
                        const uint8_t *bytes, size_t len)
{
  struct node *node = ctx;

  memcpy (node->configuration, bytes, len);
  node->configuration_len = len;
  node->configuration_base_generation = base_generation;
  return !node->rejects_configuration;
}

static void
on_agents_changed (void *ctx)
{
  struct node *node = ctx;

  node->agents_changed++;
}

static void
on_evacuations_changed (void *ctx, const struct hs_evacuations *evacuations)
{
  struct node *node = ctx;

  g_assert_cmpuint (evacuations->revision, >, 0);
  node->evacuations_changed++;
}

static void
on_group_lost_changed (void *ctx, bool lost)
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
      = { on_send, on_apply_configuration, on_agents_changed,
          on_evacuations_changed, on_group_lost_changed };
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
receive_status (struct node *node, uint32_t from, uint64_t version,
                size_t agents, uint64_t now)
{
  struct hs_inner inner = { .type = HS_INNER_STATUS };
  struct hs_addr address = host_addr (from);

  inner.status.configuration_generation = version;
  inner.status.agents_total = (uint32_t)agents;
  inner.status.agents.len = agents;
  for (uint32_t i = 0; i < agents; i++)
    {
      inner.status.agents.values[i] = host_addr (100 + i);
      inner.status.agents_digest
          ^= hs_addr_hash (&inner.status.agents.values[i]);
    }
  inner.status.control_hosts.len = 5;
  for (uint32_t i = 0; i < 5; i++)
    inner.status.control_hosts.values[i] = host_addr (1 + i);
  hs_follower_receive (node->follower, &address, &inner, now);
}

static void
receive_chunk (struct node *node, uint32_t from, uint64_t version,
               uint32_t offset, uint32_t total, uint64_t now)
{
  struct hs_inner inner = { .type = HS_INNER_CHUNK };
  struct hs_addr address = host_addr (from);

  inner.chunk.generation = version;
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
count_sent_of_type (const struct node *node, enum hs_inner_type type)
{
  unsigned int count = 0;

  for (size_t i = 0; i < node->sent_len; i++)
    count += node->sent[i].inner.type == type;
  return count;
}

/* Every control host, seed or not, gets a heartbeat within three rounds.  */
static void
test_heartbeats_reach_all_hosts (void)
{
  struct node *node = node_create (HS_ROLE_AGENT);
  unsigned int reached = 0;

  hs_follower_tick (node->follower, 0);
  g_assert_cmpuint (node->sent_len, ==, 3);
  receive_status (node, 1, 0, 2, 10);
  node->sent_len = 0;
  for (uint64_t now = 600; now < 2100; now += 100)
    hs_follower_tick (node->follower, now);
  for (size_t i = 0; i < node->sent_len; i++)
    for (uint32_t k = 0; k < 5; k++)
      {
        struct hs_addr address = host_addr (1 + k);

        if (hs_addr_equal (&node->sent[i].to, &address))
          reached |= 1U << k;
      }
  g_assert_cmpuint (reached, ==, 31);
  g_assert_cmpuint (node->sent_len, <=, 8);
  talloc_free (node);
}

/* Each of 15 control hosts, too, gets a heartbeat within 1.5 s.  */
static void
test_heartbeats_reach_many_hosts (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_inner inner = { .type = HS_INNER_STATUS };
  struct hs_addr from = host_addr (1);
  unsigned int reached = 0;

  inner.status.control_hosts.len = 15;
  for (uint32_t i = 0; i < 15; i++)
    inner.status.control_hosts.values[i] = host_addr (1 + i);
  hs_follower_set_generation (node->follower, 1);
  hs_follower_receive (node->follower, &from, &inner, 0);
  for (uint64_t now = 600; now < 2100; now += 100)
    hs_follower_tick (node->follower, now);
  for (size_t i = 0; i < node->sent_len; i++)
    for (uint32_t k = 0; k < 15; k++)
      {
        struct hs_addr address = host_addr (1 + k);

        if (hs_addr_equal (&node->sent[i].to, &address))
          reached |= 1U << k;
      }
  g_assert_cmpuint (reached, ==, 0x7fff);
  talloc_free (node);
}

static void
test_configuration_fetched (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);

  receive_status (node, 2, 9, 0, 10);
  g_assert_cmpuint (count_sent_of_type (node, HS_INNER_FETCH), ==, 1);
  receive_chunk (node, 2, 9, 0, 2500, 20);
  g_assert_cmpuint (count_sent_of_type (node, HS_INNER_FETCH), ==, 3);
  receive_chunk (node, 2, 9, 2200, 2500, 30);
  g_assert_cmpuint (node->configuration_len, ==, 0);
  receive_chunk (node, 2, 9, 1100, 2500, 40);
  g_assert_cmpuint (node->configuration_len, ==, 2500);
  g_assert_cmpuint (node->configuration[0], ==, 1);
  g_assert_cmpuint (node->configuration[1100], ==, 2);
  g_assert_cmpuint (node->configuration[2499], ==, 3);
  /* Neither an older version nor the one in force is fetched.  */
  hs_follower_set_generation (node->follower, 9);
  node->sent_len = 0;
  receive_status (node, 1, 8, 0, 50);
  receive_status (node, 3, 9, 0, 50);
  g_assert_cmpuint (count_sent_of_type (node, HS_INNER_FETCH), ==, 0);
  talloc_free (node);
}

/* Guards against a configuration of version 0 that no entry fetches, since 0
   stands for none: its generation is newer than no configuration, and patches
   can be based on it.  */
static void
test_version_zero_fetched (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  uint64_t generation = hs_configuration_generation (0);

  receive_status (node, 2, 0, 0, 10);
  g_assert_cmpuint (count_sent_of_type (node, HS_INNER_FETCH), ==, 0);
  receive_status (node, 2, generation, 0, 20);
  g_assert_cmpuint (count_sent_of_type (node, HS_INNER_FETCH), ==, 1);
  receive_chunk (node, 2, generation, 0, 1000, 30);
  g_assert_cmpuint (node->configuration_len, ==, 1000);
  hs_follower_set_generation (node->follower, generation);
  node->sent_len = 0;
  receive_status (node, 3, generation, 0, 40);
  g_assert_cmpuint (node->sent_len, ==, 0);
  receive_status (node, 3, hs_configuration_generation (1), 0, 50);
  g_assert_cmpuint (node->sent[0].inner.chunk.base_generation, ==, generation);
  talloc_free (node);
}

/* A node with a version in force requests only a patch for it, and the whole
   configuration if the patch could not be applied.  */
static void
test_patch_fetched (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_inner inner = { .type = HS_INNER_CHUNK };
  struct hs_addr from = host_addr (2);

  hs_follower_set_generation (node->follower, 7);
  receive_status (node, 2, 9, 0, 10);
  g_assert_cmpuint (node->sent[0].inner.chunk.base_generation, ==, 7);
  inner.chunk.generation = 9;
  inner.chunk.base_generation = 7;
  inner.chunk.total_len = inner.chunk.len = 100;
  node->rejects_configuration = true;
  hs_follower_receive (node->follower, &from, &inner, 20);
  g_assert_cmpuint (node->configuration_base_generation, ==, 7);
  node->sent_len = 0;
  receive_status (node, 2, 9, 0, 30);
  g_assert_cmpuint (node->sent[0].inner.chunk.base_generation, ==, 0);
  node->rejects_configuration = false;
  receive_chunk (node, 2, 9, 0, 1000, 40);
  g_assert_cmpuint (node->configuration_base_generation, ==, 0);
  hs_follower_set_generation (node->follower, 9);
  node->sent_len = 0;
  receive_status (node, 2, 10, 0, 50);
  g_assert_cmpuint (node->sent[0].inner.chunk.base_generation, ==, 9);
  talloc_free (node);
}

/* The host no longer has the patch in the middle of a fetch, and sends the
   whole configuration.  The chunks of the two must not be mixed.  */
static void
test_patch_unavailable_while_fetching (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_inner inner = { .type = HS_INNER_CHUNK };
  struct hs_addr from = host_addr (2);

  hs_follower_set_generation (node->follower, 7);
  receive_status (node, 2, 9, 0, 10);
  inner.chunk.generation = 9;
  inner.chunk.base_generation = 7;
  inner.chunk.total_len = 2500;
  inner.chunk.len = HS_INNER_CHUNK_SIZE_MAX;
  hs_follower_receive (node->follower, &from, &inner, 20);
  receive_chunk (node, 2, 9, 1100, 2500, 30);
  receive_chunk (node, 2, 9, 2200, 2500, 30);
  g_assert_cmpuint (node->configuration_len, ==, 0);
  receive_chunk (node, 2, 9, 0, 2500, 40);
  receive_chunk (node, 2, 9, 1100, 2500, 50);
  receive_chunk (node, 2, 9, 2200, 2500, 50);
  g_assert_cmpuint (node->configuration_len, ==, 2500);
  g_assert_cmpuint (node->configuration_base_generation, ==, 0);
  talloc_free (node);
}

static void
test_agent_fetches_nothing (void)
{
  struct node *node = node_create (HS_ROLE_AGENT);

  receive_status (node, 2, 9, 2, 10);
  g_assert_cmpuint (count_sent_of_type (node, HS_INNER_FETCH), ==, 0);
  talloc_free (node);
}

static void
test_lost_chunk_requested_again (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);

  receive_status (node, 2, 9, 0, 10);
  receive_chunk (node, 2, 9, 0, 2500, 20);
  receive_chunk (node, 2, 9, 1100, 2500, 30);
  node->sent_len = 0;
  hs_follower_tick (node->follower, 600);
  g_assert_cmpuint (count_sent_of_type (node, HS_INNER_FETCH), ==, 1);
  receive_chunk (node, 2, 9, 2200, 2500, 610);
  g_assert_cmpuint (node->configuration_len, ==, 2500);
  talloc_free (node);
}

/* The host stops before it has sent a chunk, and the version is fetched from
   another one.  */
static void
test_fetch_from_another_host (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_addr other = host_addr (3);

  receive_status (node, 2, 9, 0, 10);
  hs_follower_tick (node->follower, 600);
  node->sent_len = 0;
  receive_status (node, 3, 9, 0, 700);
  g_assert_cmpuint (count_sent_of_type (node, HS_INNER_FETCH), ==, 1);
  g_assert_true (hs_addr_equal (&node->sent[0].to, &other));
  /* A late chunk of the first host is ignored.  */
  receive_chunk (node, 2, 9, 0, 1000, 710);
  g_assert_cmpuint (node->configuration_len, ==, 0);
  receive_chunk (node, 3, 9, 0, 1000, 720);
  g_assert_cmpuint (node->configuration_len, ==, 1000);
  talloc_free (node);
}

/* The host stops in the middle of a fetch: after a while the version is
   fetched from another one.  */
static void
test_host_stops_while_fetching (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_addr other = host_addr (3);

  receive_status (node, 2, 9, 0, 10);
  receive_chunk (node, 2, 9, 0, 2500, 20);
  for (uint64_t now = 600; now <= 2200; now += 100)
    {
      node->sent_len = 0;
      hs_follower_tick (node->follower, now);
    }
  node->sent_len = 0;
  receive_status (node, 3, 9, 0, 2210);
  g_assert_cmpuint (count_sent_of_type (node, HS_INNER_FETCH), ==, 1);
  g_assert_true (hs_addr_equal (&node->sent[0].to, &other));
  receive_chunk (node, 3, 9, 0, 2500, 2220);
  receive_chunk (node, 3, 9, 1100, 2500, 2220);
  receive_chunk (node, 3, 9, 2200, 2500, 2220);
  g_assert_cmpuint (node->configuration_len, ==, 2500);
  talloc_free (node);
}

/* Chunks that do not fit the configuration, such as forged ones, are ignored:
   an offset whose end wraps around 32 bits, one past the end, and a chunk in
   the middle that is too short.  */
static void
test_unfitting_chunks_ignored (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_inner inner = { .type = HS_INNER_CHUNK };
  struct hs_addr from = host_addr (2);

  receive_status (node, 2, 9, 0, 10);
  receive_chunk (node, 2, 9, 0, 2500, 20);
  inner.chunk.generation = 9;
  inner.chunk.total_len = 2500;
  inner.chunk.len = HS_INNER_CHUNK_SIZE_MAX;
  inner.chunk.offset
      = UINT32_MAX / HS_INNER_CHUNK_SIZE_MAX * HS_INNER_CHUNK_SIZE_MAX;
  hs_follower_receive (node->follower, &from, &inner, 30);
  inner.chunk.offset = 3 * HS_INNER_CHUNK_SIZE_MAX;
  inner.chunk.len = 0;
  hs_follower_receive (node->follower, &from, &inner, 30);
  inner.chunk.offset = HS_INNER_CHUNK_SIZE_MAX;
  inner.chunk.len = 10;
  hs_follower_receive (node->follower, &from, &inner, 30);
  receive_chunk (node, 2, 9, 2200, 2500, 40);
  g_assert_cmpuint (node->configuration_len, ==, 0);
  receive_chunk (node, 2, 9, 1100, 2500, 50);
  g_assert_cmpuint (node->configuration_len, ==, 2500);
  g_assert_cmpuint (node->configuration[1200], ==, 2);
  talloc_free (node);
}

static void
test_newer_version_while_fetching (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);

  receive_status (node, 2, 9, 0, 10);
  receive_chunk (node, 2, 9, 0, 2500, 20);
  receive_chunk (node, 2, 10, 1100, 1200, 30);
  receive_chunk (node, 2, 10, 0, 1200, 40);
  receive_chunk (node, 2, 10, 1100, 1200, 50);
  g_assert_cmpuint (node->configuration_len, ==, 1200);
  talloc_free (node);
}

/* A control host that has just started lists few agents: the others stay until
   they expire.  */
static void
test_agents_survive_short_lists (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);

  receive_status (node, 1, 0, 4, 0);
  g_assert_cmpuint (hs_follower_agents (node->follower)->len, ==, 4);
  g_assert_cmpuint (node->agents_changed, ==, 1);
  for (uint64_t now = 1000; now <= 10000; now += 1000)
    receive_status (node, 2, 0, 1, now);
  hs_follower_tick (node->follower, 10000);
  g_assert_cmpuint (hs_follower_agents (node->follower)->len, ==, 4);
  g_assert_cmpuint (node->agents_changed, ==, 1);
  for (uint64_t now = 11000; now <= 14000; now += 1000)
    receive_status (node, 2, 0, 1, now);
  hs_follower_tick (node->follower, 14000);
  g_assert_cmpuint (hs_follower_agents (node->follower)->len, ==, 1);
  g_assert_cmpuint (node->agents_changed, ==, 2);
  talloc_free (node);
}

/* Passes the agents of NODES to NODE's follower in as many status messages as
   they need, except that of index LOST.  */
static void
receive_agent_list (struct node *node, const struct hs_node_table *nodes,
                    size_t lost, uint64_t now)
{
  size_t total = hs_node_table_count (nodes, HS_ROLE_AGENT);
  struct hs_inner inner = { .type = HS_INNER_STATUS };
  struct hs_addr from = host_addr (1);
  size_t sent = 0;

  inner.status.agents_digest = hs_node_table_agents_digest (nodes);
  inner.status.agents_total = (uint32_t)total;
  for (size_t i = 0; sent < total; i++)
    {
      hs_node_table_list_agents (nodes, sent, &inner.status.agents);
      g_assert_cmpuint (inner.status.agents.len, >, 0);
      sent += inner.status.agents.len;
      if (i != lost)
        hs_follower_receive (node->follower, &from, &inner, now);
    }
}

/* Returns how many of the heartbeats sent at NOW request the list.  */
static unsigned int
count_list_requests (struct node *node, uint64_t now)
{
  unsigned int count = 0;

  node->sent_len = 0;
  hs_follower_tick (node->follower, now);
  for (size_t i = 0; i < node->sent_len; i++)
    count += node->sent[i].inner.heartbeat.wants_agents;
  return count;
}

/* If one message of a long list of agents is lost, the list is requested
   again, so that all agents become known.  It is not requested while it is the
   same as that of the control hosts, and not with every heartbeat.  */
static void
test_agent_list_in_several_messages (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_node_table *nodes = hs_node_table_create (node);
  unsigned int requests;

  for (uint32_t i = 0; i < 1100; i++)
    {
      struct hs_inner_heartbeat heartbeat = { .role = HS_ROLE_AGENT,
                                              .node_id = 1 + i,
                                              .address = host_addr (100 + i) };

      hs_node_table_update (nodes, &heartbeat, 0);
    }
  hs_follower_set_generation (node->follower, 1);
  requests = count_list_requests (node, 1);
  g_assert_cmpuint (requests, >, 0);
  receive_agent_list (node, nodes, 2, 10);
  g_assert_cmpuint (hs_follower_agents (node->follower)->len, ==,
                    1100 - HS_INNER_ADDRS_MAX);
  requests = count_list_requests (node, 510);
  g_assert_cmpuint (requests, ==, 1);
  receive_agent_list (node, nodes, SIZE_MAX, 520);
  g_assert_cmpuint (hs_follower_agents (node->follower)->len, ==, 1100);
  requests = 0;
  for (uint64_t now = 1100; now < 10000; now += 500)
    requests += count_list_requests (node, now);
  g_assert_cmpuint (requests, ==, 0);
  talloc_free (node);
}

/* A notification adds a new agent without the whole list.  Control hosts that
   have not heard of it yet have another digest: the list is not requested
   until that has lasted, and then every two seconds.  */
static void
test_notified_of_new_agent (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);
  struct hs_inner inner = { .type = HS_INNER_STATUS };
  struct hs_addr from = host_addr (1);
  unsigned int requests = 0;

  hs_follower_set_generation (node->follower, 1);
  hs_follower_tick (node->follower, 1);
  receive_status (node, 1, 1, 3, 10);
  for (uint64_t now = 500; now < 7000; now += 500)
    requests += count_list_requests (node, now);
  inner.status.configuration_generation = 1;
  inner.status.agents.len = 1;
  inner.status.agents.values[0] = host_addr (200);
  hs_follower_receive (node->follower, &from, &inner, 7000);
  g_assert_cmpuint (hs_follower_agents (node->follower)->len, ==, 4);
  g_assert_cmpuint (node->agents_changed, ==, 2);
  requests += count_list_requests (node, 7400);
  g_assert_cmpuint (requests, ==, 0);
  for (uint64_t now = 8000; now < 16000; now += 500)
    requests += count_list_requests (node, now);
  g_assert_cmpuint (requests, >=, 3);
  g_assert_cmpuint (requests, <=, 4);
  talloc_free (node);
}

/* While no control host replies, the known agents are kept.  */
static void
test_silent_group (void)
{
  struct node *node = node_create (HS_ROLE_ENTRY);

  receive_status (node, 1, 0, 2, 1);
  for (uint64_t now = 500; now <= 60000; now += 500)
    {
      node->sent_len = 0;
      hs_follower_tick (node->follower, now);
    }
  g_assert_cmpuint (hs_follower_agents (node->follower)->len, ==, 2);
  g_assert_cmpuint (node->lost, ==, 1);
  receive_status (node, 3, 0, 2, 60100);
  node->sent_len = 0;
  hs_follower_tick (node->follower, 60600);
  g_assert_cmpuint (node->regained, ==, 1);
  talloc_free (node);
}

/* Agents need neither the configuration nor the list.  */
static void
test_agent_keeps_no_list (void)
{
  struct node *node = node_create (HS_ROLE_AGENT);
  unsigned int requests = count_list_requests (node, 1);

  receive_status (node, 1, 0, 2, 10);
  g_assert_cmpuint (hs_follower_agents (node->follower)->len, ==, 0);
  requests += count_list_requests (node, 2000);
  g_assert_cmpuint (requests, ==, 0);
  talloc_free (node);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/follower/heartbeats-reach-all-hosts",
                   test_heartbeats_reach_all_hosts);
  g_test_add_func ("/follower/heartbeats-reach-many-hosts",
                   test_heartbeats_reach_many_hosts);
  g_test_add_func ("/follower/configuration", test_configuration_fetched);
  g_test_add_func ("/follower/lost-chunk", test_lost_chunk_requested_again);
  g_test_add_func ("/follower/changes", test_patch_fetched);
  g_test_add_func ("/follower/changes-unavailable",
                   test_patch_unavailable_while_fetching);
  g_test_add_func ("/follower/agent-fetches-nothing",
                   test_agent_fetches_nothing);
  g_test_add_func ("/follower/from-another-host",
                   test_fetch_from_another_host);
  g_test_add_func ("/follower/host-stops", test_host_stops_while_fetching);
  g_test_add_func ("/follower/unfitting-chunks",
                   test_unfitting_chunks_ignored);
  g_test_add_func ("/follower/version-zero", test_version_zero_fetched);
  g_test_add_func ("/follower/newer-version",
                   test_newer_version_while_fetching);
  g_test_add_func ("/follower/short-lists", test_agents_survive_short_lists);
  g_test_add_func ("/follower/list-in-several-messages",
                   test_agent_list_in_several_messages);
  g_test_add_func ("/follower/new-agent", test_notified_of_new_agent);
  g_test_add_func ("/follower/agent-keeps-no-list", test_agent_keeps_no_list);
  g_test_add_func ("/follower/silent-group", test_silent_group);
  return g_test_run ();
}
