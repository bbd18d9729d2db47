/* bench_flow.c -- where flows go, which of them move, and what it costs.

   Seven agents with 14,000 flows, real cores, virtual time, one seed.
   Messages arrive at once.  Placement is compared with baselines written
   here: a table in the manner of Maglev and random two choices.  */

#include "base/auto.h"
#include "bench.h"
#include "wire/flow_message.h"
#include "wire/message.h"

#include <stdio.h>
#include <string.h>

/* Types.  */

#define AGENTS 7
#define AGENTS_MAX 8
#define FLOWS 14000
#define NEW_A_SECOND 56 /* 8 an agent.  */
#define SERVICE 1
#define TABLE_SIZE 65537 /* A prime.  */
#define CHANGE_S 10
#define MS_PER_S 1000
#define TRIES 100
#define NOBODY AGENTS_MAX

struct cluster;

struct agent
{
  struct cluster *cluster;
  size_t index;
  bool alive;
  struct hs_catalog *catalog;
  struct hs_ownership *holder;
};

struct parcel
{
  struct hs_list link;
  uint16_t to;
  struct hs_flow_message message;
};

struct cluster
{
  uint64_t now; /* ms  */
  uint64_t bytes;
  uint64_t packets;
  uint64_t hops;
  struct hs_list parcels;
  struct agent agents[AGENTS_MAX];
  struct hs_member members[AGENTS_MAX];
  struct hs_view view;
  struct hs_catalog *entry_catalog;
  struct hs_placer *placer;
  size_t holders[FLOWS];
};

/* Private functions.  */

static struct cluster *create_cluster (void);
static void add_agent (struct cluster *cluster);
static void announce_view (struct cluster *cluster);
static void run (struct cluster *cluster, uint64_t ms);
static void deliver (struct cluster *cluster);
static size_t send_packet (struct cluster *cluster, size_t flow);
static void send_all (struct cluster *cluster);
static size_t count_moved (struct cluster *cluster, size_t except);
static void measure_open (struct cluster *cluster);
static void measure_changes (struct cluster *cluster);
static void measure_entry (struct cluster *cluster);
static void print_imbalance (const char *name, const size_t *choices);
static double imbalance (const size_t *choices, size_t first, size_t len);
static void choose_by_table (size_t *choices);
static void choose_of_two (size_t *choices);
static struct hs_flow_key key_of (size_t flow);
static void on_send (void *ctx, const struct hs_member *to,
                     const struct hs_flow_message *message);
static void on_flow (void *ctx, struct hs_flow *flow);
static void on_resolved (void *ctx);
static void on_confirmed (void *ctx, uint64_t id, bool may_run);

/* Public definitions.  */

int
main (void)
{
  struct cluster *cluster = create_cluster ();

  measure_open (cluster);
  measure_changes (cluster);
  measure_entry (cluster);
  talloc_free (cluster);
  return 0;
}

/* Private definitions.  */

static struct cluster *
create_cluster (void)
{
  struct cluster *cluster = talloc_zero (NULL, struct cluster);
  struct hs_document document = { .service_name = "bench" };
  struct hs_service service = { SERVICE, 1, &document };

  cluster->now = MS_PER_S;
  hs_list_init (&cluster->parcels);
  cluster->view.service_id = SERVICE;
  cluster->view.members = cluster->members;
  cluster->entry_catalog = hs_catalog_create (cluster);
  hs_catalog_put_service (cluster->entry_catalog, 1, &service);
  cluster->placer = hs_placer_create (cluster, cluster->entry_catalog);
  for (size_t i = 0; i < AGENTS; i++)
    add_agent (cluster);
  announce_view (cluster);
  run (cluster, MS_PER_S);
  return cluster;
}

static void
add_agent (struct cluster *cluster)
{
  size_t index = cluster->view.members_len++;
  struct agent *agent = &cluster->agents[index];
  struct hs_member *member = &cluster->members[index];
  struct hs_ownership_ops ops
      = { on_send, on_flow, on_flow, on_resolved, on_confirmed };

  g_snprintf (member->name, HS_NAME_SIZE, "agent-%zu", index);
  strcpy (member->zone, "zone-a");
  member->id = hs_id_from_name (member->name);
  member->incarnation = 1;
  member->address.port = (uint16_t)index;
  agent->cluster = cluster;
  agent->index = index;
  agent->alive = true;
  agent->catalog = hs_catalog_create (cluster);
  agent->holder = hs_ownership_create (cluster, agent->catalog, member->id,
                                       member->incarnation, &ops, agent);
  hs_ownership_set_service (agent->holder, SERVICE);
}

static void
announce_view (struct cluster *cluster)
{
  cluster->view.number++;
  hs_catalog_put_view (cluster->entry_catalog, cluster->view.number + 1,
                       &cluster->view);
  for (size_t i = 0; i < cluster->view.members_len; i++)
    {
      struct agent *agent = &cluster->agents[i];

      if (!agent->alive)
        continue;
      hs_catalog_put_view (agent->catalog, cluster->view.number,
                           &cluster->view);
      hs_ownership_apply_view (agent->holder, cluster->now);
    }
  deliver (cluster);
}

static void
run (struct cluster *cluster, uint64_t ms)
{
  uint64_t until = cluster->now + ms;

  for (; cluster->now < until; cluster->now += HS_OWNERSHIP_TICK_MS)
    {
      for (size_t i = 0; i < cluster->view.members_len; i++)
        if (cluster->agents[i].alive)
          hs_ownership_tick (cluster->agents[i].holder, cluster->now);
      deliver (cluster);
    }
}

static void
deliver (struct cluster *cluster)
{
  struct hs_list *link;

  while ((link = hs_list_pop (&cluster->parcels)) != NULL)
    {
      struct parcel *parcel = HS_LIST_ENTRY (link, struct parcel, link);
      struct agent *agent = &cluster->agents[parcel->to];

      if (agent->alive)
        hs_ownership_receive (agent->holder, &parcel->message, cluster->now);
      talloc_free (parcel);
    }
}

/* The agent that serves a packet of FLOW, or NOBODY.  */
static size_t
send_packet (struct cluster *cluster, size_t flow)
{
  struct hs_flow_key key = key_of (flow);
  struct hs_placement placement = hs_placer_place (cluster->placer, &key);
  struct hs_hop hop = { .service_id = SERVICE,
                        .view_number = placement.view_number,
                        .to_incarnation = placement.target->incarnation,
                        .caller = key.caller };
  size_t at = placement.target->address.port;

  cluster->packets++;
  for (int i = 0; i < TRIES && cluster->agents[at].alive; i++)
    {
      struct hs_route_decision route = hs_ownership_route (
          cluster->agents[at].holder, &hop, cluster->now);

      deliver (cluster);
      if (route.kind == HS_ROUTE_SERVE)
        return at;
      if (route.kind == HS_ROUTE_REFUSE)
        return NOBODY;
      if (route.kind == HS_ROUTE_WAIT)
        continue;
      if (hop.hops == 0)
        hs_placer_cache_route (cluster->placer, &key, route.next_agent->id);
      at = route.next_agent->address.port;
      hop.to_incarnation = route.next_agent->incarnation;
      hop.assigned_view = route.next_assigned_view;
      hop.uncertain = route.next_uncertain;
      hop.hops++;
      cluster->hops++;
    }
  return NOBODY;
}

static void
send_all (struct cluster *cluster)
{
  for (size_t i = 0; i < FLOWS; i++)
    cluster->holders[i] = send_packet (cluster, i);
}

/* Flows that another agent serves than before, EXCEPT's aside; one that
   nobody serves counts too.  */
static size_t
count_moved (struct cluster *cluster, size_t except)
{
  size_t before[FLOWS];
  size_t moved = 0;

  memcpy (before, cluster->holders, sizeof before);
  send_all (cluster);
  for (size_t i = 0; i < FLOWS; i++)
    moved += before[i] != cluster->holders[i] && before[i] != except;
  return moved;
}

static void
measure_open (struct cluster *cluster)
{
  uint64_t bytes = cluster->bytes;
  uint64_t start = cluster->now;
  size_t *choices = talloc_array (cluster, size_t, FLOWS);
  double seconds;

  for (size_t i = 0; i < FLOWS; i++)
    {
      cluster->holders[i] = send_packet (cluster, i);
      if (i % NEW_A_SECOND == NEW_A_SECOND - 1)
        run (cluster, MS_PER_S);
    }
  seconds = (double)(cluster->now - start) / MS_PER_S;
  print_imbalance ("", cluster->holders);
  for (size_t i = 0; i < FLOWS; i++)
    {
      struct hs_flow_key key = key_of (i);

      choices[i] = hs_view_directory (&cluster->view, hs_flow_key_hash (&key))
                       ->address.port;
    }
  print_imbalance ("_rendezvous", choices);
  choose_by_table (choices);
  print_imbalance ("_table", choices);
  choose_of_two (choices);
  print_imbalance ("_two_choices", choices);
  bench_row ("control_bytes_agent",
             (double)(cluster->bytes - bytes) / seconds / AGENTS, "bytes/s");
}

static void
measure_changes (struct cluster *cluster)
{
  uint64_t bytes = cluster->bytes;

  add_agent (cluster);
  announce_view (cluster);
  run (cluster, CHANGE_S * MS_PER_S);
  bench_row ("control_bytes_agent_change",
             (double)(cluster->bytes - bytes) / CHANGE_S / AGENTS_MAX,
             "bytes/s");
  bench_row ("moved_join", (double)count_moved (cluster, NOBODY), "flows");
  cluster->packets = 0;
  cluster->hops = 0;
  send_all (cluster);
  bench_row ("extra_hops", (double)cluster->hops / (double)cluster->packets,
             "hops a packet");
  cluster->members[0].state = HS_MEMBER_DRAINING;
  hs_ownership_set_draining (cluster->agents[0].holder);
  announce_view (cluster);
  run (cluster, CHANGE_S * MS_PER_S);
  bench_row ("moved_leave", (double)count_moved (cluster, NOBODY), "flows");
  cluster->agents[1].alive = false;
  cluster->members[1].state = HS_MEMBER_SUSPECT;
  announce_view (cluster);
  for (int i = 0; i < CHANGE_S; i++)
    {
      run (cluster, MS_PER_S);
      /* Packets to the lost one make its flows be taken over.  */
      for (size_t flow = 0; flow < FLOWS; flow++)
        if (cluster->holders[flow] == 1)
          send_packet (cluster, flow);
    }
  bench_row ("moved_loss_excess", (double)count_moved (cluster, 1), "flows");
}

/* What an entry says and hears of control: a heartbeat a second, and one
   update for a change of a view.  */
static void
measure_entry (struct cluster *cluster)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_message announce = { .type = HS_MESSAGE_ANNOUNCE };
  struct hs_message update = { .type = HS_MESSAGE_UPDATE };
  const struct hs_catalog_item *item
      = hs_catalog_find (cluster->entry_catalog, SERVICE);
  size_t len;

  strcpy (announce.announcement.name, "entry-1");
  strcpy (announce.announcement.zone, "zone-a");
  announce.announcement.incarnation = UINT32_MAX;
  hs_message_encode (root, &announce, &len);
  bench_row ("control_bytes_entry", (double)len, "bytes/s");
  update.update
      = (struct hs_catalog_update){ 1, 2, 1, item->service, 1, item->view };
  hs_message_encode (root, &update, &len);
  bench_row ("control_bytes_entry_change", (double)len / CHANGE_S, "bytes/s");
}

static void
print_imbalance (const char *name, const size_t *choices)
{
  char row[64];
  double sum = 0;
  size_t windows = FLOWS / NEW_A_SECOND;

  g_snprintf (row, sizeof row, "imbalance_open%s", name);
  bench_row (row, imbalance (choices, 0, FLOWS), "max/mean");
  for (size_t i = 0; i < windows; i++)
    sum += imbalance (choices, i * NEW_A_SECOND, NEW_A_SECOND);
  g_snprintf (row, sizeof row, "imbalance_new%s", name);
  bench_row (row, sum / (double)windows, "max/mean");
}

static double
imbalance (const size_t *choices, size_t first, size_t len)
{
  size_t counts[AGENTS_MAX + 1] = { 0 };
  size_t max = 0;

  for (size_t i = first; i < first + len; i++)
    counts[choices[i]]++;
  for (size_t i = 0; i < AGENTS; i++)
    if (counts[i] > max)
      max = counts[i];
  return (double)max * AGENTS / (double)len;
}

/* Each agent takes slots in an order of its own, in turn, until all are
   taken.  */
static void
choose_by_table (size_t *choices)
{
  HS_AUTO_TALLOC size_t *table = talloc_array (NULL, size_t, TABLE_SIZE);
  uint64_t next[AGENTS] = { 0 };
  size_t filled = 0;

  for (size_t i = 0; i < TABLE_SIZE; i++)
    table[i] = NOBODY;
  while (filled < TABLE_SIZE)
    for (size_t agent = 0; agent < AGENTS && filled < TABLE_SIZE; agent++)
      {
        uint64_t offset = hs_rendezvous_score (1, agent) % TABLE_SIZE;
        uint64_t skip = hs_rendezvous_score (2, agent) % (TABLE_SIZE - 1) + 1;
        uint64_t slot;

        do
          slot = (offset + next[agent]++ * skip) % TABLE_SIZE;
        while (table[slot] != NOBODY);
        table[slot] = agent;
        filled++;
      }
  for (size_t i = 0; i < FLOWS; i++)
    {
      struct hs_flow_key key = key_of (i);

      choices[i] = table[hs_flow_key_hash (&key) % TABLE_SIZE];
    }
}

static void
choose_of_two (size_t *choices)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  size_t loads[AGENTS] = { 0 };

  for (size_t i = 0; i < FLOWS; i++)
    {
      size_t a = (size_t)g_rand_int_range (rand, 0, AGENTS);
      size_t b = (size_t)g_rand_int_range (rand, 0, AGENTS);

      choices[i] = loads[a] <= loads[b] ? a : b;
      loads[choices[i]]++;
    }
}

static struct hs_flow_key
key_of (size_t flow)
{
  struct hs_flow_key key = { .service_id = SERVICE };

  key.caller.port = (uint16_t)flow;
  key.caller.ip[15] = 1;
  return key;
}

static void
on_send (void *ctx, const struct hs_member *to,
         const struct hs_flow_message *message)
{
  struct agent *agent = ctx;
  struct parcel *parcel = talloc_zero (agent->cluster, struct parcel);
  uint8_t data[HS_FLOW_MESSAGE_SIZE_MAX];

  agent->cluster->bytes += hs_flow_message_encode (message, data);
  parcel->to = to->address.port;
  parcel->message = *message;
  parcel->message.from_address.port = (uint16_t)agent->index;
  hs_list_append (&agent->cluster->parcels, &parcel->link);
}

static void
on_flow (void *ctx, struct hs_flow *flow)
{
  (void)ctx;
  (void)flow;
}

static void
on_resolved (void *ctx)
{
  (void)ctx;
}

static void
on_confirmed (void *ctx, uint64_t id, bool may_run)
{
  (void)ctx;
  (void)id;
  (void)may_run;
}
