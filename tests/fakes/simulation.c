/* simulation.c -- agents, entries and control in one process.  */

#include "fakes/simulation.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

/* Hosts have addresses that differ in the port only.  The port of an agent is
   its index.  */
#define ENTRY_ADDRESS 100 /* Port of the first entry.  */
#define CONTROL_ADDRESS 200
#define DELAY_MIN_MS 1
#define DELAY_MAX_MS 6
#define REORDER_MAX_MS 250 /* Longest delay while packets are reordered.  */
#define LONG_DELAY_MS 2500
#define ANNOUNCE_INTERVAL_MS 1000
#define SEND_INTERVAL_MS 250   /* Mean time between packets of a flow.  */
#define FAULT_DURATION_MS 8000 /* Longer than a lease.  */
/* Time after the last fault until each flow has one owner again.  */
#define CONVERGE_MS 12000
#define REUSE_DELAY_MS 500
#define DRAIN_GRACE_MS 2000
#define WAIT_MAX_MS 1500 /* Longest wait of a packet at an agent.  */
#define TRACE_BYTES_MAX (1 << 16)
#define INJECTIONS_MAX 2
/* On average, one packet in WORK_PACKET_INTERVAL carries work that is not
   idempotent.  */
#define WORK_PACKET_INTERVAL 8

enum packet_kind
{
  PACKET_FORWARD,
  PACKET_FLOW_MESSAGE,
  PACKET_ROUTE,
  PACKET_ANNOUNCEMENT,
  PACKET_UPDATE
};

struct packet
{
  struct hs_list link; /* Ordered by due_at.  */
  uint64_t due_at;     /* ms  */
  enum packet_kind kind;
  uint16_t from; /* Ports of the sender and the receiver.  */
  uint16_t to;
  size_t flow;
  struct hs_hop hop;              /* FORWARD  */
  struct hs_flow_message message; /* FLOW_MESSAGE  */
  uint64_t owner_id;              /* ROUTE  */
  struct hs_announcement announcement;
  struct hs_view *views[3]; /* UPDATE: by service id; freed with the packet. */
  bool is_waiting;          /* FORWARD: waits at the agent TO, until due_at at
                               most.  */
};

/* An agent.  Its index and port stay the same when it restarts.  */
struct process
{
  struct simulation *sim;
  size_t index;
  bool alive;
  bool draining;
  bool exiting;
  uint64_t draining_seen_at; /* ms of the first update since it began to drain;
                                0: none yet.  */
  uint32_t service;
  uint64_t incarnation;
  uint64_t frozen_until;
  uint64_t inbound_blocked_until;
  uint64_t outbound_blocked_until;
  uint64_t control_blocked_until;
  uint64_t agents_blocked_until;
  uint64_t restart_at; /* ms; 0: running; UINT64_MAX: killed for good.  */
  uint32_t restart_service;
  bool had_fault; /* Stays true after the end of the fault.  */
  uint64_t announce_at;
  char name[HS_NAME_SIZE];
  struct hs_catalog *catalog;
  struct hs_ownership *ownership;
  bool resolved;               /* Waiting packets are to be routed again.  */
  struct hs_list pending_work; /* Waits for the backups to confirm.  */
};

struct pending_work
{
  struct hs_list link;
  uint64_t id; /* Id of the confirmation.  */
  size_t flow;
};

struct entry
{
  bool alive;
  uint64_t incarnation;
  uint64_t announce_at;
  struct hs_catalog *catalog;
  struct hs_placer *placer;
};

struct flow_state
{
  uint64_t send_at;
  uint64_t owner_id;       /* Agent that served it last; 0: none.  */
  size_t work_agent_index; /* Agent that ran non-idempotent work last.  */
  uint64_t work_run_at;    /* ms; 0: none ran.  */
  uint64_t last_served_at;
  size_t owner_index; /* Index of the agent OWNER_ID.  */
  bool has_duplicate_work;
};

struct injection
{
  enum sim_fault fault;
  uint64_t step;
};

struct simulation
{
  GRand *rand;
  uint64_t now;
  uint64_t fault_until; /* ms of the end of the last fault of an agent; faults
                           of messages and entries do not count; 0: none.  */
  uint64_t reorder_until;
  bool callers_active;
  struct hs_list packets;
  struct process agents[SIM_AGENTS];
  struct entry entries[SIM_ENTRIES];
  struct flow_state flows[SIM_FLOWS];
  struct hs_catalog *catalog; /* Catalog of control.  */
  struct hs_registry *registry;
  uint64_t version; /* Version of the catalog.  */
  struct hs_view *proposed;
  size_t injections_len;
  struct injection injections[INJECTIONS_MAX];
  struct sim_report report;
  GString *trace;
};

static const char *const fault_names[SIM_FAULT_COUNT]
    = { "none",     "lose",        "duplicate",  "delay",  "reorder",
        "kill",     "restart",     "freeze",     "cut-in", "cut-out",
        "cut-both", "cut-control", "cut-agents", "reuse",  "entry-dies" };

/* Private functions.  */

static void trace (struct simulation *sim, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
static struct packet *create_packet (struct simulation *sim,
                                     enum packet_kind kind, uint16_t from,
                                     uint16_t to);
static void enqueue (struct simulation *sim, struct packet *packet,
                     uint64_t delay);
static uint64_t random_delay (struct simulation *sim);
static void emit (struct simulation *sim, struct process *process,
                  struct packet *packet);
static void inject_fault (struct simulation *sim, struct process *process,
                          struct packet *packet, enum sim_fault fault);
static bool is_blocked (const struct simulation *sim, uint16_t from,
                        uint16_t to);
static bool is_endpoint_blocked (const struct simulation *sim,
                                 const struct process *process, bool inbound,
                                 uint16_t other);
static struct process *find_process (struct simulation *sim, uint16_t address);
static void deliver (struct simulation *sim, struct packet *packet);
static void deliver_forward (struct simulation *sim, struct process *process,
                             struct packet *packet);
static void serve (struct simulation *sim, struct process *process,
                   const struct packet *packet, const struct hs_flow *flow,
                   bool opened);
static void deliver_announcement (struct simulation *sim,
                                  const struct packet *packet);
static void deliver_update (struct simulation *sim,
                            const struct packet *packet);
static void send_update (struct simulation *sim, uint16_t to);
static void apply_proposed_views (struct simulation *sim);
static void announce (struct simulation *sim, struct process *process);
static void announce_entry (struct simulation *sim, size_t index);
static void send_packet (struct simulation *sim, size_t flow);
static void tick_processes (struct simulation *sim);
static void check_owners (struct simulation *sim);
static void start_work (struct simulation *sim, struct process *process,
                        size_t flow_index, const struct hs_flow *flow);
static void on_send (void *ctx, const struct hs_member *to,
                     const struct hs_flow_message *message);
static void on_flow_event (void *ctx, struct hs_flow *flow);
static void on_resolved (void *ctx);
static void on_confirmed (void *ctx, uint64_t id, bool may_run);
static void run_work (struct process *process, size_t flow);
static void on_propose (void *ctx, const struct hs_view *view);
static void route_waiting (struct simulation *sim, struct process *process);
static struct hs_flow_key flow_key (size_t flow);

/* Public definitions.  */

const char *
sim_fault_name (enum sim_fault fault)
{
  return fault_names[fault];
}

struct simulation *
sim_create (uint64_t seed)
{
  struct simulation *sim = talloc_zero (NULL, struct simulation);
  struct hs_registry_ops ops = { on_propose };
  struct hs_document document = { .service_name = "a" };
  struct hs_service service = { SIM_SERVICE_A, 1, &document };

  sim->rand = g_rand_new_with_seed ((guint32)seed);
  sim->now = 1000;
  sim->callers_active = true;
  sim->trace = g_string_new (NULL);
  hs_list_init (&sim->packets);
  sim->catalog = hs_catalog_create (sim);
  hs_catalog_put_service (sim->catalog, ++sim->version, &service);
  service.id = SIM_SERVICE_B;
  strcpy (document.service_name, "b");
  document.address.port = 1;
  hs_catalog_put_service (sim->catalog, ++sim->version, &service);
  sim->registry = hs_registry_create (sim, sim->catalog, &ops, sim);
  for (size_t i = 0; i < SIM_AGENTS; i++)
    {
      sim->agents[i].sim = sim;
      sim->agents[i].index = i;
      sim->agents[i].incarnation = 1;
    }
  for (size_t i = 0; i < SIM_FLOWS; i++)
    sim->flows[i].send_at = 3000 + i * 100;
  return sim;
}

void
sim_destroy (struct simulation *sim)
{
  g_rand_free (sim->rand);
  g_string_free (sim->trace, TRUE);
  talloc_free (sim);
}

void
sim_inject (struct simulation *sim, enum sim_fault fault, uint64_t step)
{
  sim->injections[sim->injections_len++] = (struct injection){ fault, step };
}

void
sim_start_agent (struct simulation *sim, size_t agent, uint32_t service)
{
  struct process *process = &sim->agents[agent];
  struct hs_ownership_ops ops
      = { on_send, on_flow_event, on_flow_event, on_resolved, on_confirmed };

  process->alive = true;
  process->draining = false;
  process->exiting = false;
  process->draining_seen_at = 0;
  process->service = service;
  process->incarnation++;
  process->restart_at = 0;
  process->announce_at = sim->now;
  g_snprintf (process->name, HS_NAME_SIZE, "%c-%zu",
              service == SIM_SERVICE_A ? 'a' : 'b', agent);
  process->catalog = hs_catalog_create (sim);
  process->ownership = hs_ownership_create (
      sim, process->catalog, hs_id_from_name (process->name),
      process->incarnation, &ops, process);
  hs_list_init (&process->pending_work);
  hs_ownership_set_service (process->ownership, service);
  trace (sim, "agent %zu starts as %s, incarnation %llu", agent, process->name,
         (unsigned long long)process->incarnation);
}

void
sim_stop_agent (struct simulation *sim, size_t agent)
{
  struct process *process = &sim->agents[agent];

  if (!process->alive)
    return;
  trace (sim, "agent %zu stops", agent);
  process->alive = false;
  hs_ownership_destroy (process->ownership);
  hs_catalog_destroy (process->catalog);
  process->ownership = NULL;
  process->catalog = NULL;
}

void
sim_drain_agent (struct simulation *sim, size_t agent)
{
  struct process *process = &sim->agents[agent];

  if (!process->alive)
    return;
  trace (sim, "agent %zu drains", agent);
  process->draining = true;
  hs_ownership_set_draining (process->ownership);
  announce (sim, process);
}

void
sim_start_entry (struct simulation *sim, size_t index)
{
  struct entry *entry = &sim->entries[index];

  entry->alive = true;
  entry->incarnation++;
  entry->announce_at = sim->now;
  entry->catalog = hs_catalog_create (sim);
  entry->placer = hs_placer_create (sim, entry->catalog);
}

void
sim_stop_entry (struct simulation *sim, size_t index)
{
  struct entry *entry = &sim->entries[index];

  if (!entry->alive)
    return;
  trace (sim, "entry %zu stops", index);
  entry->alive = false;
  hs_placer_destroy (entry->placer);
  hs_catalog_destroy (entry->catalog);
}

uint64_t
sim_recovery_end (struct simulation *sim)
{
  return sim->fault_until != 0 ? sim->fault_until + 2 * CONVERGE_MS : 0;
}

void
sim_set_callers (struct simulation *sim, bool sending)
{
  sim->callers_active = sending;
}

void
sim_run (struct simulation *sim, uint64_t until)
{
  uint64_t tick_at = sim->now;

  while (sim->now < until)
    {
      struct hs_list *link;

      while ((link = sim->packets.next) != &sim->packets
             && HS_LIST_ENTRY (link, struct packet, link)->due_at <= sim->now)
        {
          struct packet *packet = HS_LIST_ENTRY (link, struct packet, link);

          hs_list_remove (link);
          deliver (sim, packet);
        }
      if (sim->now >= tick_at)
        {
          tick_processes (sim);
          check_owners (sim);
          tick_at += HS_OWNERSHIP_TICK_MS;
        }
      for (size_t i = 0; i < SIM_FLOWS; i++)
        if (sim->callers_active && sim->flows[i].send_at <= sim->now)
          send_packet (sim, i);
      sim->now++;
    }
}

struct sim_report
sim_report (struct simulation *sim)
{
  struct sim_report report = sim->report;

  HS_LIST_FOREACH (link, &sim->packets)
    if (HS_LIST_ENTRY (link, struct packet, link)->kind == PACKET_FORWARD)
      report.waiting++;
  for (size_t i = 0; i < SIM_FLOWS; i++)
    {
      struct hs_flow_key key = flow_key (i);
      size_t owners = 0;

      for (size_t j = 0; j < SIM_AGENTS; j++)
        owners += sim->agents[j].alive
                  && hs_ownership_find_flow (sim->agents[j].ownership, &key)
                         != NULL;
      report.duplicate_owners_end += owners > 1;
      report.duplicate_work += sim->flows[i].has_duplicate_work;
      report.unserved_end += sim->now - sim->flows[i].last_served_at > 5000;
    }
  return report;
}

void
sim_print_trace (struct simulation *sim)
{
  fputs (sim->trace->str, stderr);
}

struct hs_ownership *
sim_ownership (struct simulation *sim, size_t agent)
{
  return sim->agents[agent].ownership;
}

size_t
sim_owner_of (struct simulation *sim, size_t flow)
{
  struct hs_flow_key key = flow_key (flow);

  for (size_t i = 0; i < SIM_AGENTS; i++)
    if (sim->agents[i].alive
        && hs_ownership_find_flow (sim->agents[i].ownership, &key) != NULL)
      return i;
  return SIM_AGENTS;
}

/* Private definitions: the network.  */

static void
trace (struct simulation *sim, const char *format, ...)
{
  va_list args;

  if (sim->trace->len > TRACE_BYTES_MAX)
    return;
  g_string_append_printf (sim->trace, "%6llu ", (unsigned long long)sim->now);
  va_start (args, format);
  g_string_append_vprintf (sim->trace, format, args);
  va_end (args);
  g_string_append_c (sim->trace, '\n');
}

static struct packet *
create_packet (struct simulation *sim, enum packet_kind kind, uint16_t from,
               uint16_t to)
{
  struct packet *packet = talloc_zero (sim, struct packet);

  packet->kind = kind;
  packet->from = from;
  packet->to = to;
  return packet;
}

static void
enqueue (struct simulation *sim, struct packet *packet, uint64_t delay)
{
  struct hs_list *after = sim->packets.prev;

  packet->due_at = sim->now + delay;
  while (after != &sim->packets
         && HS_LIST_ENTRY (after, struct packet, link)->due_at
                > packet->due_at)
    after = after->prev;
  hs_list_append (after->next, &packet->link);
}

static uint64_t
random_delay (struct simulation *sim)
{
  bool reordering = sim->now < sim->reorder_until;

  return (uint64_t)g_rand_int_range (
      sim->rand, DELAY_MIN_MS, reordering ? REORDER_MAX_MS : DELAY_MAX_MS);
}

/* Sends PACKET of an agent and injects the faults that are due at this
   step.  */
static void
emit (struct simulation *sim, struct process *process, struct packet *packet)
{
  sim->report.steps++;
  for (size_t i = 0; i < sim->injections_len; i++)
    if (sim->injections[i].step == sim->report.steps)
      {
        inject_fault (sim, process, packet, sim->injections[i].fault);
        if (sim->injections[i].fault == SIM_FAULT_PACKET_LOSS
            || sim->injections[i].fault == SIM_FAULT_DELAY)
          return;
      }
  enqueue (sim, packet, random_delay (sim));
}

static void
inject_fault (struct simulation *sim, struct process *process,
              struct packet *packet, enum sim_fault fault)
{
  uint64_t until = sim->now + FAULT_DURATION_MS;
  struct packet *copy;

  trace (sim, "fault %s at step %llu: message of agent %zu to port %u",
         sim_fault_name (fault), (unsigned long long)sim->report.steps,
         process->index, packet->to);
  switch (fault)
    {
    case SIM_FAULT_PACKET_LOSS:
      if (packet->kind == PACKET_FORWARD)
        sim->report.lost++;
      talloc_free (packet);
      return;
    case SIM_FAULT_DELAY:
      enqueue (sim, packet, LONG_DELAY_MS);
      return;
    case SIM_FAULT_DUPLICATE:
      copy = talloc_memdup (sim, packet, sizeof *packet);
      if (copy->kind == PACKET_FORWARD)
        sim->report.sent++;
      enqueue (sim, copy, random_delay (sim) * 100);
      return;
    case SIM_FAULT_REORDER:
      sim->reorder_until = until;
      return;
    case SIM_FAULT_ENTRY_CRASH:
      sim_stop_entry (sim, SIM_ENTRIES - 1);
      return;
    case SIM_FAULT_KILL:
      process->restart_at = UINT64_MAX;
      break;
    case SIM_FAULT_RESTART:
      process->restart_at = sim->now + ANNOUNCE_INTERVAL_MS;
      process->restart_service = process->service;
      break;
    case SIM_FAULT_REUSE_ADDRESS:
      process->restart_at = sim->now + REUSE_DELAY_MS;
      process->restart_service = SIM_SERVICE_B;
      break;
    case SIM_FAULT_FREEZE:
      process->frozen_until = until;
      break;
    case SIM_FAULT_BLOCK_INBOUND:
      process->inbound_blocked_until = until;
      break;
    case SIM_FAULT_BLOCK_OUTBOUND:
      process->outbound_blocked_until = until;
      break;
    case SIM_FAULT_BLOCK_BOTH:
      process->inbound_blocked_until = until;
      process->outbound_blocked_until = until;
      break;
    case SIM_FAULT_BLOCK_CONTROL:
      process->control_blocked_until = until;
      break;
    case SIM_FAULT_BLOCK_AGENTS:
      process->agents_blocked_until = until;
      break;
    case SIM_FAULT_NONE:
    case SIM_FAULT_COUNT:
      return;
    }
  process->had_fault = true;
  if (sim->fault_until < until)
    sim->fault_until = until;
}

static bool
is_blocked (const struct simulation *sim, uint16_t from, uint16_t to)
{
  return (from < SIM_AGENTS
          && is_endpoint_blocked (sim, &sim->agents[from], false, to))
         || (to < SIM_AGENTS
             && is_endpoint_blocked (sim, &sim->agents[to], true, from));
}

static bool
is_endpoint_blocked (const struct simulation *sim,
                     const struct process *process, bool inbound,
                     uint16_t other)
{
  uint64_t now = sim->now;

  if (now < (inbound ? process->inbound_blocked_until
                     : process->outbound_blocked_until))
    return true;
  if (other == CONTROL_ADDRESS)
    return now < process->control_blocked_until;
  return other < SIM_AGENTS && now < process->agents_blocked_until;
}

static struct process *
find_process (struct simulation *sim, uint16_t address)
{
  return address < SIM_AGENTS && sim->agents[address].alive
             ? &sim->agents[address]
             : NULL;
}

static void
deliver (struct simulation *sim, struct packet *packet)
{
  struct process *process = find_process (sim, packet->to);
  bool dead = packet->to < SIM_AGENTS && process == NULL;

  if (process != NULL && sim->now < process->frozen_until)
    {
      enqueue (sim, packet, process->frozen_until - sim->now);
      return;
    }
  if (!packet->is_waiting
      && (dead || is_blocked (sim, packet->from, packet->to)))
    {
      if (packet->kind == PACKET_FORWARD)
        sim->report.lost++;
      talloc_free (packet);
      return;
    }
  switch (packet->kind)
    {
    case PACKET_FORWARD:
      if (packet->is_waiting || process == NULL)
        sim->report.lost++;
      else
        deliver_forward (sim, process, packet);
      break;
    case PACKET_FLOW_MESSAGE:
      packet->message.from_address.port = packet->from;
      hs_ownership_receive (process->ownership, &packet->message, sim->now);
      route_waiting (sim, process);
      break;
    case PACKET_ROUTE:
      {
        struct entry *entry = &sim->entries[packet->to - ENTRY_ADDRESS];
        struct hs_flow_key key = flow_key (packet->flow);

        if (entry->alive)
          hs_placer_cache_route (entry->placer, &key, packet->owner_id);
        break;
      }
    case PACKET_ANNOUNCEMENT:
      deliver_announcement (sim, packet);
      break;
    case PACKET_UPDATE:
      deliver_update (sim, packet);
      break;
    }
  talloc_free (packet);
}

static void
deliver_forward (struct simulation *sim, struct process *process,
                 struct packet *packet)
{
  struct hs_route_decision route
      = hs_ownership_route (process->ownership, &packet->hop, sim->now);
  struct packet *next;

  switch (route.kind)
    {
    case HS_ROUTE_SERVE:
      serve (sim, process, packet, route.flow, route.opened);
      break;
    case HS_ROUTE_FORWARD:
      if (packet->hop.hops == 0 && packet->from >= ENTRY_ADDRESS)
        {
          struct packet *route_packet
              = create_packet (sim, PACKET_ROUTE, packet->to, packet->from);

          route_packet->flow = packet->flow;
          route_packet->owner_id = route.next_agent->id;
          enqueue (sim, route_packet, random_delay (sim));
        }
      next = create_packet (sim, PACKET_FORWARD, packet->to,
                            route.next_agent->address.port);
      next->flow = packet->flow;
      next->hop = packet->hop;
      next->hop.hops++;
      next->hop.to_incarnation = route.next_agent->incarnation;
      next->hop.assigned_view = route.next_assigned_view;
      next->hop.uncertain = route.next_uncertain;
      next->hop.view_number
          = hs_catalog_find (process->catalog, process->service)->view->number;
      emit (sim, process, next);
      break;
    case HS_ROUTE_WAIT:
      next = talloc_memdup (sim, packet, sizeof *packet);
      next->is_waiting = true;
      enqueue (sim, next, WAIT_MAX_MS);
      break;
    case HS_ROUTE_REFUSE:
      sim->report.refused++;
      break;
    }
  route_waiting (sim, process);
}

/* Routes the waiting packets of PROCESS again once the owner of their flows
   may be known.  */
static void
route_waiting (struct simulation *sim, struct process *process)
{
  if (!process->resolved)
    return;
  process->resolved = false;
  HS_LIST_FOREACH (link, &sim->packets)
    {
      struct packet *packet = HS_LIST_ENTRY (link, struct packet, link);

      if (!packet->is_waiting || packet->to != process->index)
        continue;
      hs_list_remove (link);
      packet->is_waiting = false;
      enqueue (sim, packet, 0);
    }
}

static void
serve (struct simulation *sim, struct process *process,
       const struct packet *packet, const struct hs_flow *flow, bool opened)
{
  struct flow_state *state = &sim->flows[packet->flow];
  uint64_t agent_id = hs_id_from_name (process->name);
  const struct process *previous = &sim->agents[state->owner_index];

  sim->report.served++;
  sim->report.hops += packet->hop.hops;
  if (process->service != SIM_SERVICE_A)
    sim->report.wrong_service++;
  if (state->owner_id != 0 && state->owner_id != agent_id)
    {
      trace (sim, "flow %zu moves from agent %zu to agent %zu", packet->flow,
             state->owner_index, process->index);
      /* The flows of an agent that exits move without a fault.  */
      if (previous->had_fault || process->had_fault)
        sim->report.moved_by_fault++;
      else if (!previous->exiting)
        sim->report.moved++;
    }
  if (opened && process->draining_seen_at != 0
      && sim->now - process->draining_seen_at > DRAIN_GRACE_MS)
    sim->report.opened_draining++;
  state->owner_id = agent_id;
  state->owner_index = process->index;
  state->last_served_at = sim->now;
  start_work (sim, process, packet->flow, flow);
}

/* Runs non-idempotent work, for one packet in WORK_PACKET_INTERVAL, as soon as
   the backups of FLOW confirm it.  */
static void
start_work (struct simulation *sim, struct process *process, size_t flow_index,
            const struct hs_flow *flow)
{
  struct pending_work *work;
  uint64_t id;

  if (sim->now < flow->uncertain_until
      || g_rand_int_range (sim->rand, 0, WORK_PACKET_INTERVAL) != 0)
    return;
  id = hs_ownership_confirm (process->ownership, flow, sim->now);
  if (id == 0)
    {
      run_work (process, flow_index);
      return;
    }
  work = talloc_zero (process->ownership, struct pending_work);
  work->id = id;
  work->flow = flow_index;
  hs_list_append (&process->pending_work, &work->link);
}

static void
on_confirmed (void *ctx, uint64_t id, bool may_run)
{
  struct process *process = ctx;

  HS_LIST_FOREACH (link, &process->pending_work)
    {
      struct pending_work *work
          = HS_LIST_ENTRY (link, struct pending_work, link);

      if (work->id != id)
        continue;
      hs_list_remove (link);
      if (may_run)
        run_work (process, work->flow);
      talloc_free (work);
    }
}

/* Records a run of non-idempotent work at PROCESS.  Two agents may run such
   work of one flow only if the first has exited, or ran its last work longer
   ago than the lifetime of a request.  */
static void
run_work (struct process *process, size_t flow)
{
  struct simulation *sim = process->sim;
  struct flow_state *state = &sim->flows[flow];
  const struct process *previous = &sim->agents[state->work_agent_index];

  sim->report.work_run++;
  if (state->work_run_at != 0 && state->work_agent_index != process->index
      && sim->now - state->work_run_at < HS_FLOW_UNCERTAIN_MS
      && !previous->exiting)
    {
      trace (sim, "flow %zu: non-idempotent work at agent %zu after agent %zu",
             flow, process->index, state->work_agent_index);
      state->has_duplicate_work = true;
    }
  state->work_agent_index = process->index;
  state->work_run_at = sim->now;
}

/* Private definitions: control.  */

static void
announce (struct simulation *sim, struct process *process)
{
  struct packet *packet = create_packet (
      sim, PACKET_ANNOUNCEMENT, (uint16_t)process->index, CONTROL_ADDRESS);
  struct hs_announcement *a = &packet->announcement;

  a->role = HS_ROLE_AGENT;
  a->incarnation = process->incarnation;
  a->address.port = (uint16_t)process->index;
  a->draining = process->draining;
  a->exiting = process->exiting;
  strcpy (a->service_name, process->service == SIM_SERVICE_A ? "a" : "b");
  strcpy (a->name, process->name);
  enqueue (sim, packet, random_delay (sim));
  process->announce_at = sim->now + ANNOUNCE_INTERVAL_MS;
}

static void
announce_entry (struct simulation *sim, size_t index)
{
  uint16_t address = (uint16_t)(ENTRY_ADDRESS + index);

  sim->entries[index].announce_at = sim->now + ANNOUNCE_INTERVAL_MS;
  enqueue (sim,
           create_packet (sim, PACKET_ANNOUNCEMENT, address, CONTROL_ADDRESS),
           random_delay (sim));
}

static void
deliver_announcement (struct simulation *sim, const struct packet *packet)
{
  if (packet->from < SIM_AGENTS)
    {
      hs_registry_announce (sim->registry, &packet->announcement, sim->now);
      apply_proposed_views (sim);
    }
  send_update (sim, packet->from);
}

static void
apply_proposed_views (struct simulation *sim)
{
  while (sim->proposed != NULL)
    {
      struct hs_view *view = sim->proposed;

      sim->proposed = NULL;
      hs_catalog_put_view (sim->catalog, ++sim->version, view);
      trace (sim, "view %llu of service %u: %zu members",
             (unsigned long long)view->number, view->service_id,
             view->members_len);
      for (size_t i = 0; i < view->members_len; i++)
        trace (sim, "  %s incarnation %llu %s", view->members[i].name,
               (unsigned long long)view->members[i].incarnation,
               hs_member_state_name (view->members[i].state));
      hs_registry_apply_view (sim->registry, view->service_id, sim->now);
      talloc_free (view);
    }
}

static void
send_update (struct simulation *sim, uint16_t to)
{
  struct packet *packet
      = create_packet (sim, PACKET_UPDATE, CONTROL_ADDRESS, to);

  for (uint32_t id = SIM_SERVICE_A; id <= SIM_SERVICE_B; id++)
    {
      const struct hs_catalog_item *item = hs_catalog_find (sim->catalog, id);

      if (item->view != NULL)
        packet->views[id] = hs_view_copy (packet, item->view);
    }
  enqueue (sim, packet, random_delay (sim));
}

static void
deliver_update (struct simulation *sim, const struct packet *packet)
{
  struct process *process = find_process (sim, packet->to);
  struct hs_catalog *catalog = NULL;

  if (process != NULL)
    catalog = process->catalog;
  else if (packet->to >= ENTRY_ADDRESS
           && sim->entries[packet->to - ENTRY_ADDRESS].alive)
    catalog = sim->entries[packet->to - ENTRY_ADDRESS].catalog;
  if (catalog == NULL)
    return;
  for (uint32_t id = SIM_SERVICE_A; id <= SIM_SERVICE_B; id++)
    if (packet->views[id] != NULL)
      hs_catalog_put_view (catalog, sim->version, packet->views[id]);
  if (process == NULL)
    return;
  hs_ownership_apply_view (process->ownership, sim->now);
  if (process->draining && process->draining_seen_at == 0)
    process->draining_seen_at = sim->now;
  route_waiting (sim, process);
}

static void
on_propose (void *ctx, const struct hs_view *view)
{
  struct simulation *sim = ctx;

  sim->proposed = hs_view_copy (sim, view);
}

/* Private definitions: callers and time.  */

static void
send_packet (struct simulation *sim, size_t flow)
{
  struct hs_flow_key key = flow_key (flow);
  size_t index = (size_t)g_rand_int_range (sim->rand, 0, SIM_ENTRIES);
  struct entry *entry = &sim->entries[index];
  struct hs_placement placement = { 0 };
  struct packet *packet;

  sim->flows[flow].send_at
      = sim->now
        + (uint64_t)g_rand_int_range (sim->rand, 1, SEND_INTERVAL_MS * 2);
  sim->report.sent++;
  if (entry->alive)
    placement = hs_placer_place (entry->placer, &key);
  if (placement.target == NULL)
    {
      sim->report.lost++;
      return;
    }
  packet
      = create_packet (sim, PACKET_FORWARD, (uint16_t)(ENTRY_ADDRESS + index),
                       placement.target->address.port);
  packet->flow = flow;
  packet->hop
      = (struct hs_hop){ .service_id = key.service_id,
                         .view_number = placement.view_number,
                         .to_incarnation = placement.target->incarnation,
                         .caller = key.caller };
  enqueue (sim, packet, random_delay (sim));
}

static void
tick_processes (struct simulation *sim)
{
  hs_registry_tick (sim->registry, sim->now);
  apply_proposed_views (sim);
  for (size_t i = 0; i < SIM_ENTRIES; i++)
    if (sim->entries[i].alive && sim->entries[i].announce_at <= sim->now)
      announce_entry (sim, i);
  for (size_t i = 0; i < SIM_AGENTS; i++)
    {
      struct process *process = &sim->agents[i];

      if (process->restart_at != 0)
        sim_stop_agent (sim, i);
      if (process->restart_at != 0 && process->restart_at <= sim->now)
        sim_start_agent (sim, i, process->restart_service);
      if (!process->alive || sim->now < process->frozen_until)
        continue;
      hs_ownership_tick (process->ownership, sim->now);
      route_waiting (sim, process);
      if (process->announce_at <= sim->now)
        announce (sim, process);
    }
}

/* No flow may have two owners, except during a fault of an agent and for
   CONVERGE_MS after it.  */
static void
check_owners (struct simulation *sim)
{
  if (sim->now < sim->fault_until + CONVERGE_MS && sim->fault_until != 0)
    return;
  for (size_t i = 0; i < SIM_FLOWS; i++)
    {
      struct hs_flow_key key = flow_key (i);
      size_t owners = 0;

      for (size_t j = 0; j < SIM_AGENTS; j++)
        owners += sim->agents[j].alive
                  && hs_ownership_find_flow (sim->agents[j].ownership, &key)
                         != NULL;
      if (owners <= 1)
        continue;
      if (sim->report.duplicate_owners++ == 0)
        trace (sim, "flow %zu has %zu owners", i, owners);
    }
}

static void
on_send (void *ctx, const struct hs_member *to,
         const struct hs_flow_message *message)
{
  struct process *process = ctx;
  struct packet *packet
      = create_packet (process->sim, PACKET_FLOW_MESSAGE,
                       (uint16_t)process->index, to->address.port);

  packet->message = *message;
  emit (process->sim, process, packet);
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
  struct process *process = ctx;

  process->resolved = true;
}

static struct hs_flow_key
flow_key (size_t flow)
{
  struct hs_flow_key key = { .service_id = SIM_SERVICE_A };

  key.caller.port = (uint16_t)(1000 + flow);
  return key;
}
