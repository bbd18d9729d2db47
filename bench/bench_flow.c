/* bench_flow.c -- distribution of flows over the agents of a service, number
   of flows that change their owner, and traffic of the ownership protocol.

   14,000 flows on seven agents.  The agents run the ownership code of the
   product; the clock is virtual, messages arrive without loss or delay, and
   random numbers have a fixed seed.  Placement is compared with three
   baselines: rendezvous hashing alone, a Maglev lookup table and the less
   loaded of two random agents.  */

#include "base/auto.h"
#include "bench.h"
#include "wire/flow_message.h"
#include "wire/message.h"

#include <stdio.h>
#include <string.h>

/* Types.  */

#define AGENTS 7
#define AGENTS_MAX 8 /* One agent joins later.  */
#define FLOWS 14000
#define NEW_FLOWS_PER_S 56 /* 8 for each agent.  */
#define SERVICE_ID 1
#define TABLE_SIZE 65537 /* Prime, so that each skip visits every entry.  */
#define CHANGE_RUN_S 10  /* Simulated time after a change of the view.  */
#define MS_PER_S 1000
#define ROUTE_ATTEMPTS_MAX 100
#define NO_AGENT AGENTS_MAX

struct cluster;

struct agent
{
  struct cluster *cluster;
  size_t index;
  bool alive;
  struct hs_catalog *catalog;
  struct hs_ownership *ownership;
};

/* A message between agents that has not been delivered yet.  */
struct queued_message
{
  struct hs_list link;
  uint16_t to_index;
  struct hs_flow_message message;
};

struct cluster
{
  uint64_t now_ms;
  uint64_t message_bytes; /* Size of the encoded messages between agents.  */
  uint64_t packets;
  uint64_t hops;           /* From agent to agent.  */
  struct hs_list messages; /* struct queued_message, oldest first.  */
  struct agent agents[AGENTS_MAX];
  struct hs_member members[AGENTS_MAX]; /* The port is the agent's index.  */
  struct hs_view view;
  struct hs_catalog *entry_catalog;
  struct hs_placer *placer;
  size_t owners[FLOWS]; /* Index of the agent, or NO_AGENT.  */
};

/* Private functions.  */

static struct cluster *create_cluster (void);
static void add_agent (struct cluster *cluster);
static void publish_view (struct cluster *cluster);
static void run_for (struct cluster *cluster, uint64_t ms);
static void deliver_messages (struct cluster *cluster);
static size_t route_packet (struct cluster *cluster, size_t flow);
static void route_all (struct cluster *cluster);
static size_t count_moved_flows (struct cluster *cluster,
                                 size_t excluded_owner);
static void measure_opening (struct cluster *cluster);
static void measure_changes (struct cluster *cluster);
static void measure_entry_traffic (struct cluster *cluster);
static void print_imbalance (const char *suffix, const size_t *choices);
static double max_to_mean (const size_t *choices, size_t first, size_t len);
static void choose_by_maglev (size_t *choices);
static void choose_by_two_choices (size_t *choices);
static struct hs_flow_key make_flow_key (size_t flow);
static void on_send (void *ctx, const struct hs_member *to,
                     const struct hs_flow_message *message);
static void on_flow_event (void *ctx, struct hs_flow *flow);
static void on_resolved (void *ctx);
static void on_confirmed (void *ctx, uint64_t id, bool may_run);

/* Public definitions.  */

int
main (void)
{
  struct cluster *cluster = create_cluster ();

  measure_opening (cluster);
  measure_changes (cluster);
  measure_entry_traffic (cluster);
  talloc_free (cluster);
  return 0;
}

/* Private definitions.  */

static struct cluster *
create_cluster (void)
{
  struct cluster *cluster = talloc_zero (NULL, struct cluster);
  struct hs_document document = { .service_name = "bench" };
  struct hs_service service = { SERVICE_ID, 1, &document };

  cluster->now_ms = MS_PER_S;
  hs_list_init (&cluster->messages);
  cluster->view.service_id = SERVICE_ID;
  cluster->view.members = cluster->members;
  cluster->entry_catalog = hs_catalog_create (cluster);
  hs_catalog_put_service (cluster->entry_catalog, 1, &service);
  cluster->placer = hs_placer_create (cluster, cluster->entry_catalog);
  for (size_t i = 0; i < AGENTS; i++)
    add_agent (cluster);
  publish_view (cluster);
  run_for (cluster, MS_PER_S);
  return cluster;
}

static void
add_agent (struct cluster *cluster)
{
  size_t index = cluster->view.members_len++;
  struct agent *agent = &cluster->agents[index];
  struct hs_member *member = &cluster->members[index];
  struct hs_ownership_ops ops
      = { on_send, on_flow_event, on_flow_event, on_resolved, on_confirmed };

  g_snprintf (member->name, HS_NAME_SIZE, "agent-%zu", index);
  strcpy (member->zone, "zone-a");
  member->id = hs_id_from_name (member->name);
  member->incarnation = 1;
  member->address.port = (uint16_t)index;
  agent->cluster = cluster;
  agent->index = index;
  agent->alive = true;
  agent->catalog = hs_catalog_create (cluster);
  agent->ownership = hs_ownership_create (cluster, agent->catalog, member->id,
                                          member->incarnation, &ops, agent);
  hs_ownership_set_service (agent->ownership, SERVICE_ID);
}

/* Publishes a new view, which the entry and all live agents apply.  */
static void
publish_view (struct cluster *cluster)
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
      hs_ownership_apply_view (agent->ownership, cluster->now_ms);
    }
  deliver_messages (cluster);
}

/* Advances the virtual clock by MS.  */
static void
run_for (struct cluster *cluster, uint64_t ms)
{
  uint64_t end_ms = cluster->now_ms + ms;

  for (; cluster->now_ms < end_ms; cluster->now_ms += HS_OWNERSHIP_TICK_MS)
    {
      for (size_t i = 0; i < cluster->view.members_len; i++)
        if (cluster->agents[i].alive)
          hs_ownership_tick (cluster->agents[i].ownership, cluster->now_ms);
      deliver_messages (cluster);
    }
}

/* Delivers all queued messages, and those that agents send in response.  A
   failed agent receives none.  */
static void
deliver_messages (struct cluster *cluster)
{
  struct hs_list *link;

  while ((link = hs_list_pop (&cluster->messages)) != NULL)
    {
      struct queued_message *queued
          = HS_LIST_ENTRY (link, struct queued_message, link);
      struct agent *agent = &cluster->agents[queued->to_index];

      if (agent->alive)
        hs_ownership_receive (agent->ownership, &queued->message,
                              cluster->now_ms);
      talloc_free (queued);
    }
}

/* Places a packet of FLOW and forwards it from agent to agent.  Returns the
   index of the agent that serves it, or NO_AGENT.  */
static size_t
route_packet (struct cluster *cluster, size_t flow)
{
  struct hs_flow_key key = make_flow_key (flow);
  struct hs_placement placement = hs_placer_place (cluster->placer, &key);
  struct hs_hop hop = { .service_id = SERVICE_ID,
                        .view_number = placement.view_number,
                        .to_incarnation = placement.target->incarnation,
                        .caller = key.caller };
  size_t current = placement.target->address.port;

  cluster->packets++;
  for (int i = 0; i < ROUTE_ATTEMPTS_MAX && cluster->agents[current].alive;
       i++)
    {
      struct hs_route_decision route = hs_ownership_route (
          cluster->agents[current].ownership, &hop, cluster->now_ms);

      deliver_messages (cluster);
      if (route.kind == HS_ROUTE_SERVE)
        return current;
      if (route.kind == HS_ROUTE_REFUSE)
        return NO_AGENT;
      if (route.kind == HS_ROUTE_WAIT)
        continue;
      if (hop.hops == 0)
        hs_placer_cache_route (cluster->placer, &key, route.next_agent->id);
      current = route.next_agent->address.port;
      hop.to_incarnation = route.next_agent->incarnation;
      hop.assigned_view = route.next_assigned_view;
      hop.uncertain = route.next_uncertain;
      hop.hops++;
      cluster->hops++;
    }
  return NO_AGENT;
}

/* Routes a packet of every flow and stores which agents serve them.  */
static void
route_all (struct cluster *cluster)
{
  for (size_t i = 0; i < FLOWS; i++)
    cluster->owners[i] = route_packet (cluster, i);
}

/* Routes a packet of every flow and returns how many flows are served by
   another agent than before, or by none.  Flows that EXCLUDED_OWNER served
   before are not counted.  */
static size_t
count_moved_flows (struct cluster *cluster, size_t excluded_owner)
{
  size_t owners_before[FLOWS];
  size_t moved = 0;

  memcpy (owners_before, cluster->owners, sizeof owners_before);
  route_all (cluster);
  for (size_t i = 0; i < FLOWS; i++)
    moved += owners_before[i] != cluster->owners[i]
             && owners_before[i] != excluded_owner;
  return moved;
}

/* Opens all flows at NEW_FLOWS_PER_S, and prints their imbalance, that of the
   baselines, and the traffic between agents.  */
static void
measure_opening (struct cluster *cluster)
{
  uint64_t bytes_before = cluster->message_bytes;
  uint64_t start_ms = cluster->now_ms;
  size_t *choices = talloc_array (cluster, size_t, FLOWS);
  double seconds;

  for (size_t i = 0; i < FLOWS; i++)
    {
      cluster->owners[i] = route_packet (cluster, i);
      if (i % NEW_FLOWS_PER_S == NEW_FLOWS_PER_S - 1)
        run_for (cluster, MS_PER_S);
    }
  seconds = (double)(cluster->now_ms - start_ms) / MS_PER_S;
  print_imbalance ("", cluster->owners);
  for (size_t i = 0; i < FLOWS; i++)
    {
      struct hs_flow_key key = make_flow_key (i);

      choices[i] = hs_view_directory (&cluster->view, hs_flow_key_hash (&key))
                       ->address.port;
    }
  print_imbalance ("_rendezvous", choices);
  choose_by_maglev (choices);
  print_imbalance ("_table", choices);
  choose_by_two_choices (choices);
  print_imbalance ("_two_choices", choices);
  bench_print_row ("control_bytes_agent",
                   (double)(cluster->message_bytes - bytes_before) / seconds
                       / AGENTS,
                   "bytes/s");
}

/* Has an agent join, another drain and a third fail, and prints how many
   flows move each time.  */
static void
measure_changes (struct cluster *cluster)
{
  uint64_t bytes_before = cluster->message_bytes;

  add_agent (cluster);
  publish_view (cluster);
  run_for (cluster, CHANGE_RUN_S * MS_PER_S);
  bench_print_row ("control_bytes_agent_change",
                   (double)(cluster->message_bytes - bytes_before)
                       / CHANGE_RUN_S / AGENTS_MAX,
                   "bytes/s");
  bench_print_row ("moved_join", (double)count_moved_flows (cluster, NO_AGENT),
                   "flows");
  cluster->packets = 0;
  cluster->hops = 0;
  route_all (cluster);
  bench_print_row ("extra_hops",
                   (double)cluster->hops / (double)cluster->packets,
                   "hops a packet");
  cluster->members[0].state = HS_MEMBER_DRAINING;
  hs_ownership_set_draining (cluster->agents[0].ownership);
  publish_view (cluster);
  run_for (cluster, CHANGE_RUN_S * MS_PER_S);
  bench_print_row ("moved_leave",
                   (double)count_moved_flows (cluster, NO_AGENT), "flows");
  cluster->agents[1].alive = false;
  cluster->members[1].state = HS_MEMBER_SUSPECT;
  publish_view (cluster);
  for (int i = 0; i < CHANGE_RUN_S; i++)
    {
      run_for (cluster, MS_PER_S);
      /* A flow of the failed agent gets a new owner when a packet of it
         arrives.  */
      for (size_t flow = 0; flow < FLOWS; flow++)
        if (cluster->owners[flow] == 1)
          route_packet (cluster, flow);
    }
  bench_print_row ("moved_loss_excess", (double)count_moved_flows (cluster, 1),
                   "flows");
}

/* Prints the traffic between an entry and control: an announcement each
   second, and an update of the view every CHANGE_RUN_S seconds.  */
static void
measure_entry_traffic (struct cluster *cluster)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_message message = { .type = HS_MESSAGE_ANNOUNCE };
  struct hs_message update = { .type = HS_MESSAGE_UPDATE };
  const struct hs_catalog_item *item
      = hs_catalog_find (cluster->entry_catalog, SERVICE_ID);
  size_t len;

  strcpy (message.announcement.name, "entry-1");
  strcpy (message.announcement.zone, "zone-a");
  message.announcement.incarnation = UINT32_MAX;
  hs_message_encode (root, &message, &len);
  bench_print_row ("control_bytes_entry", (double)len, "bytes/s");
  update.update
      = (struct hs_catalog_update){ 1, 2, 1, item->service, 1, item->view };
  hs_message_encode (root, &update, &len);
  bench_print_row ("control_bytes_entry_change", (double)len / CHANGE_RUN_S,
                   "bytes/s");
}

/* Prints the imbalance, as max_to_mean returns it, of all flows, and the mean
   of the imbalance of the flows that are opened in each second.  SUFFIX ends
   the names of both rows.  */
static void
print_imbalance (const char *suffix, const size_t *choices)
{
  char name[64];
  double sum = 0;
  size_t windows = FLOWS / NEW_FLOWS_PER_S;

  g_snprintf (name, sizeof name, "imbalance_open%s", suffix);
  bench_print_row (name, max_to_mean (choices, 0, FLOWS), "max/mean");
  for (size_t i = 0; i < windows; i++)
    sum += max_to_mean (choices, i * NEW_FLOWS_PER_S, NEW_FLOWS_PER_S);
  g_snprintf (name, sizeof name, "imbalance_new%s", suffix);
  bench_print_row (name, sum / (double)windows, "max/mean");
}

/* Returns the largest number of flows on one agent divided by the mean over
   AGENTS agents, for the LEN flows from FIRST.  */
static double
max_to_mean (const size_t *choices, size_t first, size_t len)
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

/* Chooses an agent for each flow as Maglev does: the agents choose in
   turn, each the next free table entry in its own permutation.  */
static void
choose_by_maglev (size_t *choices)
{
  HS_AUTO_TALLOC size_t *table = talloc_array (NULL, size_t, TABLE_SIZE);
  uint64_t next[AGENTS] = { 0 };
  size_t filled = 0;

  for (size_t i = 0; i < TABLE_SIZE; i++)
    table[i] = NO_AGENT;
  while (filled < TABLE_SIZE)
    for (size_t agent = 0; agent < AGENTS && filled < TABLE_SIZE; agent++)
      {
        uint64_t offset = hs_rendezvous_score (1, agent) % TABLE_SIZE;
        uint64_t skip = hs_rendezvous_score (2, agent) % (TABLE_SIZE - 1) + 1;
        uint64_t position;

        do
          position = (offset + next[agent]++ * skip) % TABLE_SIZE;
        while (table[position] != NO_AGENT);
        table[position] = agent;
        filled++;
      }
  for (size_t i = 0; i < FLOWS; i++)
    {
      struct hs_flow_key key = make_flow_key (i);

      choices[i] = table[hs_flow_key_hash (&key) % TABLE_SIZE];
    }
}

/* Chooses for each flow the less loaded of two random agents.  */
static void
choose_by_two_choices (size_t *choices)
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
make_flow_key (size_t flow)
{
  struct hs_flow_key key = { .service_id = SERVICE_ID };

  key.caller.port = (uint16_t)flow;
  key.caller.ip[15] = 1;
  return key;
}

static void
on_send (void *ctx, const struct hs_member *to,
         const struct hs_flow_message *message)
{
  struct agent *agent = ctx;
  struct queued_message *queued
      = talloc_zero (agent->cluster, struct queued_message);
  uint8_t data[HS_FLOW_MESSAGE_SIZE_MAX];

  agent->cluster->message_bytes += hs_flow_message_encode (message, data);
  queued->to_index = to->address.port;
  queued->message = *message;
  queued->message.from_address.port = (uint16_t)agent->index;
  hs_list_append (&agent->cluster->messages, &queued->link);
}

static void
on_flow_event (void *ctx, struct hs_flow *flow)
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
