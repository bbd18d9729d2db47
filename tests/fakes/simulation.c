/* simulation.c -- a small world of agents, entries and control in one process.
 */

#include "fakes/simulation.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

#define ENTRY_ADDRESS 100 /* Ports of entries; agents' are their indexes.  */
#define CONTROL_ADDRESS 200
#define DELAY_MIN_MS 1
#define DELAY_MAX_MS 6
#define REORDER_MAX_MS 250
#define LONG_DELAY_MS 2500
#define ANNOUNCE_MS 1000
#define SEND_MS 250     /* Between packets of a flow, about.  */
#define FAULT_MS 8000   /* Longer than a lease.  */
#define SETTLE_MS 12000 /* After faults, until one holder is left.  */
#define REUSE_MS 500
#define DRAIN_MS 2000
#define PARKED_MS 1500
#define TRACE_SIZE (1 << 16)
#define INJECTIONS 2
#define WORK_EVERY 8 /* Packets.  */

enum kind
{
  KIND_FORWARD,
  KIND_FLOW,
  KIND_HINT,
  KIND_ANNOUNCE,
  KIND_UPDATE
};

struct parcel
{
  struct hs_list link; /* In order of DUE.  */
  uint64_t due;        /* ms  */
  enum kind kind;
  uint16_t from; /* Addresses.  */
  uint16_t to;
  size_t flow;
  struct hs_hop hop;              /* FORWARD  */
  struct hs_flow_message message; /* FLOW  */
  uint64_t slot;                  /* HINT  */
  struct hs_announcement announcement;
  struct hs_view *views[3]; /* UPDATE, children  */
  bool waits;               /* FORWARD: parked at TO until DUE.  */
};

struct process
{
  struct world *world;
  size_t index;
  bool alive;
  bool leaving;
  bool gone;
  uint64_t leaving_seen_at; /* ms its view said so; 0: not yet  */
  uint32_t service;
  uint64_t incarnation;
  uint64_t frozen_until;
  uint64_t cut_in_until;
  uint64_t cut_out_until;
  uint64_t cut_control_until;
  uint64_t cut_agents_until;
  uint64_t restart_at; /* 0: not to be  */
  uint32_t restart_service;
  bool faulty; /* Has ever had a fault.  */
  uint64_t announce_at;
  char name[HS_NAME_SIZE];
  struct hs_catalog *catalog;
  struct hs_ownership *holder;
  bool resolved;
  struct hs_list works; /* Wait for witnesses.  */
};

struct work
{
  struct hs_list link;
  uint64_t id;
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
  uint64_t holder;       /* Slot that served it last; 0: none.  */
  size_t deliverer;      /* Agent that ran non-idempotent work last.  */
  uint64_t delivered_at; /* ms; 0: none ran.  */
  uint64_t served_at;
  size_t holder_index;
  bool both;
};

struct injection
{
  enum world_fault fault;
  uint64_t step;
};

struct world
{
  GRand *rand;
  uint64_t now;
  uint64_t fault_until; /* ms the last fault is over.  */
  uint64_t reorder_until;
  bool callers;
  struct hs_list parcels;
  struct process agents[WORLD_AGENTS];
  struct entry entries[WORLD_ENTRIES];
  struct flow_state flows[WORLD_FLOWS];
  struct hs_catalog *catalog; /* Of control.  */
  struct hs_registry *registry;
  uint64_t version;
  struct hs_view *proposed;
  size_t injections_len;
  struct injection injections[INJECTIONS];
  struct world_report report;
  GString *trace;
};

static const char *const fault_names[WORLD_FAULTS]
    = { "none",     "lose",        "duplicate",  "delay",  "reorder",
        "kill",     "restart",     "freeze",     "cut-in", "cut-out",
        "cut-both", "cut-control", "cut-agents", "reuse",  "entry-dies" };

/* Private functions.  */

static void note (struct world *world, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
static struct parcel *post (struct world *world, enum kind kind, uint16_t from,
                            uint16_t to);
static void enqueue (struct world *world, struct parcel *parcel,
                     uint64_t delay);
static uint64_t delay_of (struct world *world);
static void step (struct world *world, struct process *process,
                  struct parcel *parcel);
static void inject (struct world *world, struct process *process,
                    struct parcel *parcel, enum world_fault fault);
static bool is_cut (const struct world *world, uint16_t from, uint16_t to);
static bool is_cut_end (const struct world *world,
                        const struct process *process, bool in,
                        uint16_t other);
static struct process *process_at (struct world *world, uint16_t address);
static void deliver (struct world *world, struct parcel *parcel);
static void deliver_forward (struct world *world, struct process *process,
                             struct parcel *parcel);
static void serve (struct world *world, struct process *process,
                   const struct parcel *parcel, const struct hs_flow *flow,
                   bool opened);
static void deliver_announce (struct world *world,
                              const struct parcel *parcel);
static void deliver_update (struct world *world, const struct parcel *parcel);
static void send_update (struct world *world, uint16_t to);
static void commit (struct world *world);
static void announce (struct world *world, struct process *process);
static void announce_entry (struct world *world, size_t index);
static void send_packet (struct world *world, size_t flow);
static void tick_agents (struct world *world);
static void check (struct world *world);
static void offer_work (struct world *world, struct process *process,
                        size_t number, const struct hs_flow *flow);
static void on_send (void *ctx, const struct hs_member *to,
                     const struct hs_flow_message *message);
static void on_flow (void *ctx, struct hs_flow *flow);
static void on_resolved (void *ctx);
static void on_confirmed (void *ctx, uint64_t id, bool may_run);
static void run_work (struct process *process, size_t flow);
static void on_propose (void *ctx, const struct hs_view *view);
static void route_waiting (struct world *world, struct process *process);
static struct hs_flow_key key_of (size_t flow);

/* Public definitions.  */

const char *
world_fault_name (enum world_fault fault)
{
  return fault_names[fault];
}

struct world *
world_create (uint64_t seed)
{
  struct world *world = talloc_zero (NULL, struct world);
  struct hs_registry_ops ops = { on_propose };
  struct hs_document document = { .service_name = "a" };
  struct hs_service service = { WORLD_SERVICE_A, 1, &document };

  world->rand = g_rand_new_with_seed ((guint32)seed);
  world->now = 1000;
  world->callers = true;
  world->trace = g_string_new (NULL);
  hs_list_init (&world->parcels);
  world->catalog = hs_catalog_create (world);
  hs_catalog_put_service (world->catalog, ++world->version, &service);
  service.id = WORLD_SERVICE_B;
  strcpy (document.service_name, "b");
  document.address.port = 1;
  hs_catalog_put_service (world->catalog, ++world->version, &service);
  world->registry = hs_registry_create (world, world->catalog, &ops, world);
  for (size_t i = 0; i < WORLD_AGENTS; i++)
    {
      world->agents[i].world = world;
      world->agents[i].index = i;
      world->agents[i].incarnation = 1;
    }
  for (size_t i = 0; i < WORLD_FLOWS; i++)
    world->flows[i].send_at = 3000 + i * 100;
  return world;
}

void
world_destroy (struct world *world)
{
  g_rand_free (world->rand);
  g_string_free (world->trace, TRUE);
  talloc_free (world);
}

void
world_inject (struct world *world, enum world_fault fault, uint64_t at)
{
  world->injections[world->injections_len++] = (struct injection){ fault, at };
}

void
world_start_agent (struct world *world, size_t agent, uint32_t service)
{
  struct process *process = &world->agents[agent];
  struct hs_ownership_ops ops
      = { on_send, on_flow, on_flow, on_resolved, on_confirmed };

  process->alive = true;
  process->leaving = false;
  process->gone = false;
  process->leaving_seen_at = 0;
  process->service = service;
  process->incarnation++;
  process->restart_at = 0;
  process->announce_at = world->now;
  g_snprintf (process->name, HS_NAME_SIZE, "%c-%zu",
              service == WORLD_SERVICE_A ? 'a' : 'b', agent);
  process->catalog = hs_catalog_create (world);
  process->holder = hs_ownership_create (world, process->catalog,
                                         hs_id_from_name (process->name),
                                         process->incarnation, &ops, process);
  hs_list_init (&process->works);
  hs_ownership_set_service (process->holder, service);
  note (world, "agent %zu starts as %s, incarnation %llu", agent,
        process->name, (unsigned long long)process->incarnation);
}

void
world_stop_agent (struct world *world, size_t agent)
{
  struct process *process = &world->agents[agent];

  if (!process->alive)
    return;
  note (world, "agent %zu stops", agent);
  process->alive = false;
  hs_ownership_destroy (process->holder);
  hs_catalog_destroy (process->catalog);
  process->holder = NULL;
  process->catalog = NULL;
}

void
world_leave_agent (struct world *world, size_t agent)
{
  struct process *process = &world->agents[agent];

  if (!process->alive)
    return;
  note (world, "agent %zu leaves", agent);
  process->leaving = true;
  hs_ownership_set_draining (process->holder);
  announce (world, process);
}

void
world_start_entry (struct world *world, size_t index)
{
  struct entry *entry = &world->entries[index];

  entry->alive = true;
  entry->incarnation++;
  entry->announce_at = world->now;
  entry->catalog = hs_catalog_create (world);
  entry->placer = hs_placer_create (world, entry->catalog);
}

void
world_stop_entry (struct world *world, size_t index)
{
  struct entry *entry = &world->entries[index];

  if (!entry->alive)
    return;
  note (world, "entry %zu dies", index);
  entry->alive = false;
  hs_placer_destroy (entry->placer);
  hs_catalog_destroy (entry->catalog);
}

uint64_t
world_faults_end (struct world *world)
{
  return world->fault_until != 0 ? world->fault_until + 2 * SETTLE_MS : 0;
}

void
world_set_callers (struct world *world, bool sending)
{
  world->callers = sending;
}

void
world_run (struct world *world, uint64_t until)
{
  uint64_t tick_at = world->now;

  while (world->now < until)
    {
      struct hs_list *link;

      while ((link = world->parcels.next) != &world->parcels
             && HS_LIST_ENTRY (link, struct parcel, link)->due <= world->now)
        {
          struct parcel *parcel = HS_LIST_ENTRY (link, struct parcel, link);

          hs_list_remove (link);
          deliver (world, parcel);
        }
      if (world->now >= tick_at)
        {
          tick_agents (world);
          check (world);
          tick_at += HS_OWNERSHIP_TICK_MS;
        }
      for (size_t i = 0; i < WORLD_FLOWS; i++)
        if (world->callers && world->flows[i].send_at <= world->now)
          send_packet (world, i);
      world->now++;
    }
}

struct world_report
world_report (struct world *world)
{
  struct world_report report = world->report;

  HS_LIST_FOREACH (link, &world->parcels)
    if (HS_LIST_ENTRY (link, struct parcel, link)->kind == KIND_FORWARD)
      report.waiting++;
  for (size_t i = 0; i < WORLD_FLOWS; i++)
    {
      struct hs_flow_key key = key_of (i);
      size_t holders = 0;

      for (size_t j = 0; j < WORLD_AGENTS; j++)
        holders += world->agents[j].alive
                   && hs_ownership_find_flow (world->agents[j].holder, &key)
                          != NULL;
      report.doubled_end += holders > 1;
      report.both_delivered += world->flows[i].both;
      report.unserved_end += world->now - world->flows[i].served_at > 5000;
    }
  return report;
}

void
world_trace (struct world *world)
{
  fputs (world->trace->str, stderr);
}

struct hs_ownership *
world_holder (struct world *world, size_t agent)
{
  return world->agents[agent].holder;
}

size_t
world_holder_of (struct world *world, size_t flow)
{
  struct hs_flow_key key = key_of (flow);

  for (size_t i = 0; i < WORLD_AGENTS; i++)
    if (world->agents[i].alive
        && hs_ownership_find_flow (world->agents[i].holder, &key) != NULL)
      return i;
  return WORLD_AGENTS;
}

/* Private definitions: the network.  */

static void
note (struct world *world, const char *format, ...)
{
  va_list args;

  if (world->trace->len > TRACE_SIZE)
    return;
  g_string_append_printf (world->trace, "%6llu ",
                          (unsigned long long)world->now);
  va_start (args, format);
  g_string_append_vprintf (world->trace, format, args);
  va_end (args);
  g_string_append_c (world->trace, '\n');
}

static struct parcel *
post (struct world *world, enum kind kind, uint16_t from, uint16_t to)
{
  struct parcel *parcel = talloc_zero (world, struct parcel);

  parcel->kind = kind;
  parcel->from = from;
  parcel->to = to;
  return parcel;
}

static void
enqueue (struct world *world, struct parcel *parcel, uint64_t delay)
{
  struct hs_list *after = world->parcels.prev;

  parcel->due = world->now + delay;
  while (after != &world->parcels
         && HS_LIST_ENTRY (after, struct parcel, link)->due > parcel->due)
    after = after->prev;
  hs_list_append (after->next, &parcel->link);
}

static uint64_t
delay_of (struct world *world)
{
  bool reorders = world->now < world->reorder_until;

  return (uint64_t)g_rand_int_range (world->rand, DELAY_MIN_MS,
                                     reorders ? REORDER_MAX_MS : DELAY_MAX_MS);
}

/* A core has emitted PARCEL: the place where faults are injected.  */
static void
step (struct world *world, struct process *process, struct parcel *parcel)
{
  world->report.steps++;
  for (size_t i = 0; i < world->injections_len; i++)
    if (world->injections[i].step == world->report.steps)
      {
        inject (world, process, parcel, world->injections[i].fault);
        if (world->injections[i].fault == WORLD_LOSE
            || world->injections[i].fault == WORLD_DELAY)
          return;
      }
  enqueue (world, parcel, delay_of (world));
}

static void
inject (struct world *world, struct process *process, struct parcel *parcel,
        enum world_fault fault)
{
  uint64_t until = world->now + FAULT_MS;
  struct parcel *copy;

  note (world, "fault %s at step %llu: agent %zu to %u",
        world_fault_name (fault), (unsigned long long)world->report.steps,
        process->index, parcel->to);
  switch (fault)
    {
    case WORLD_LOSE:
      if (parcel->kind == KIND_FORWARD)
        world->report.lost++;
      talloc_free (parcel);
      return;
    case WORLD_DELAY:
      enqueue (world, parcel, LONG_DELAY_MS);
      return;
    case WORLD_DUPLICATE:
      copy = talloc_memdup (world, parcel, sizeof *parcel);
      if (copy->kind == KIND_FORWARD)
        world->report.sent++;
      enqueue (world, copy, delay_of (world) * 100);
      return;
    case WORLD_REORDER:
      world->reorder_until = until;
      return;
    case WORLD_ENTRY_DIES:
      world_stop_entry (world, WORLD_ENTRIES - 1);
      return;
    case WORLD_KILL:
      process->restart_at = UINT64_MAX;
      break;
    case WORLD_RESTART:
      process->restart_at = world->now + ANNOUNCE_MS;
      process->restart_service = process->service;
      break;
    case WORLD_REUSE:
      process->restart_at = world->now + REUSE_MS;
      process->restart_service = WORLD_SERVICE_B;
      break;
    case WORLD_FREEZE:
      process->frozen_until = until;
      break;
    case WORLD_CUT_IN:
      process->cut_in_until = until;
      break;
    case WORLD_CUT_OUT:
      process->cut_out_until = until;
      break;
    case WORLD_CUT_BOTH:
      process->cut_in_until = until;
      process->cut_out_until = until;
      break;
    case WORLD_CUT_CONTROL:
      process->cut_control_until = until;
      break;
    case WORLD_CUT_AGENTS:
      process->cut_agents_until = until;
      break;
    case WORLD_NONE:
    case WORLD_FAULTS:
      return;
    }
  process->faulty = true;
  if (world->fault_until < until)
    world->fault_until = until;
}

static bool
is_cut (const struct world *world, uint16_t from, uint16_t to)
{
  return (from < WORLD_AGENTS
          && is_cut_end (world, &world->agents[from], false, to))
         || (to < WORLD_AGENTS
             && is_cut_end (world, &world->agents[to], true, from));
}

static bool
is_cut_end (const struct world *world, const struct process *process, bool in,
            uint16_t other)
{
  uint64_t now = world->now;

  if (now < (in ? process->cut_in_until : process->cut_out_until))
    return true;
  if (other == CONTROL_ADDRESS)
    return now < process->cut_control_until;
  return other < WORLD_AGENTS && now < process->cut_agents_until;
}

static struct process *
process_at (struct world *world, uint16_t address)
{
  return address < WORLD_AGENTS && world->agents[address].alive
             ? &world->agents[address]
             : NULL;
}

static void
deliver (struct world *world, struct parcel *parcel)
{
  struct process *process = process_at (world, parcel->to);
  bool dead = parcel->to < WORLD_AGENTS && process == NULL;

  if (process != NULL && world->now < process->frozen_until)
    {
      enqueue (world, parcel, process->frozen_until - world->now);
      return;
    }
  if (!parcel->waits && (dead || is_cut (world, parcel->from, parcel->to)))
    {
      if (parcel->kind == KIND_FORWARD)
        world->report.lost++;
      talloc_free (parcel);
      return;
    }
  switch (parcel->kind)
    {
    case KIND_FORWARD:
      if (parcel->waits || process == NULL)
        world->report.lost++;
      else
        deliver_forward (world, process, parcel);
      break;
    case KIND_FLOW:
      parcel->message.from_address.port = parcel->from;
      hs_ownership_receive (process->holder, &parcel->message, world->now);
      route_waiting (world, process);
      break;
    case KIND_HINT:
      {
        struct entry *entry = &world->entries[parcel->to - ENTRY_ADDRESS];
        struct hs_flow_key key = key_of (parcel->flow);

        if (entry->alive)
          hs_placer_cache_route (entry->placer, &key, parcel->slot);
        break;
      }
    case KIND_ANNOUNCE:
      deliver_announce (world, parcel);
      break;
    case KIND_UPDATE:
      deliver_update (world, parcel);
      break;
    }
  talloc_free (parcel);
}

static void
deliver_forward (struct world *world, struct process *process,
                 struct parcel *parcel)
{
  struct hs_route_decision route
      = hs_ownership_route (process->holder, &parcel->hop, world->now);
  struct parcel *next;

  switch (route.kind)
    {
    case HS_ROUTE_SERVE:
      serve (world, process, parcel, route.flow, route.opened);
      break;
    case HS_ROUTE_FORWARD:
      if (parcel->hop.hops == 0 && parcel->from >= ENTRY_ADDRESS)
        {
          struct parcel *hint
              = post (world, KIND_HINT, parcel->to, parcel->from);

          hint->flow = parcel->flow;
          hint->slot = route.next_agent->id;
          enqueue (world, hint, delay_of (world));
        }
      next = post (world, KIND_FORWARD, parcel->to,
                   route.next_agent->address.port);
      next->flow = parcel->flow;
      next->hop = parcel->hop;
      next->hop.hops++;
      next->hop.to_incarnation = route.next_agent->incarnation;
      next->hop.assigned_view = route.next_assigned_view;
      next->hop.uncertain = route.next_uncertain;
      next->hop.view_number
          = hs_catalog_find (process->catalog, process->service)->view->number;
      step (world, process, next);
      break;
    case HS_ROUTE_WAIT:
      next = talloc_memdup (world, parcel, sizeof *parcel);
      next->waits = true;
      enqueue (world, next, PARKED_MS);
      break;
    case HS_ROUTE_REFUSE:
      world->report.refused++;
      break;
    }
  route_waiting (world, process);
}

/* What waits at PROCESS is routed again once it may be.  */
static void
route_waiting (struct world *world, struct process *process)
{
  if (!process->resolved)
    return;
  process->resolved = false;
  HS_LIST_FOREACH (link, &world->parcels)
    {
      struct parcel *parcel = HS_LIST_ENTRY (link, struct parcel, link);

      if (!parcel->waits || parcel->to != process->index)
        continue;
      hs_list_remove (link);
      parcel->waits = false;
      enqueue (world, parcel, 0);
    }
}

static void
serve (struct world *world, struct process *process,
       const struct parcel *parcel, const struct hs_flow *flow, bool opened)
{
  struct flow_state *state = &world->flows[parcel->flow];
  uint64_t slot = hs_id_from_name (process->name);
  const struct process *before = &world->agents[state->holder_index];

  world->report.served++;
  world->report.hops += parcel->hop.hops;
  if (process->service != WORLD_SERVICE_A)
    world->report.astray++;
  if (state->holder != 0 && state->holder != slot)
    {
      note (world, "flow %zu moves from agent %zu to %zu", parcel->flow,
            state->holder_index, process->index);
      /* A leaving agent's flows end with it.  */
      if (before->faulty || process->faulty)
        world->report.moved_faulty++;
      else if (!before->gone)
        world->report.moved++;
    }
  if (opened && process->leaving_seen_at != 0
      && world->now - process->leaving_seen_at > DRAIN_MS)
    world->report.opened_leaving++;
  state->holder = slot;
  state->holder_index = process->index;
  state->served_at = world->now;
  offer_work (world, process, parcel->flow, flow);
}

/* One packet in some carries work that is not idempotent.  */
static void
offer_work (struct world *world, struct process *process, size_t number,
            const struct hs_flow *flow)
{
  struct work *work;
  uint64_t id;

  if (world->now < flow->uncertain_until
      || g_rand_int_range (world->rand, 0, WORK_EVERY) != 0)
    return;
  id = hs_ownership_confirm (process->holder, flow, world->now);
  if (id == 0)
    {
      run_work (process, number);
      return;
    }
  work = talloc_zero (process->holder, struct work);
  work->id = id;
  work->flow = number;
  hs_list_append (&process->works, &work->link);
}

static void
on_confirmed (void *ctx, uint64_t id, bool may_run)
{
  struct process *process = ctx;

  HS_LIST_FOREACH (link, &process->works)
    {
      struct work *work = HS_LIST_ENTRY (link, struct work, link);

      if (work->id != id)
        continue;
      hs_list_remove (link);
      if (may_run)
        run_work (process, work->flow);
      talloc_free (work);
    }
}

/* Two agents run work of one flow only if the first has been gone, or is
   known to have run nothing, for the lifetime of a request.  */
static void
run_work (struct process *process, size_t flow)
{
  struct world *world = process->world;
  struct flow_state *state = &world->flows[flow];
  const struct process *before = &world->agents[state->deliverer];

  world->report.delivered++;
  if (state->delivered_at != 0 && state->deliverer != process->index
      && world->now - state->delivered_at < HS_FLOW_UNCERTAIN_MS
      && !before->gone)
    {
      note (world, "flow %zu: non-idempotent work at agent %zu after %zu",
            flow, process->index, state->deliverer);
      state->both = true;
    }
  state->deliverer = process->index;
  state->delivered_at = world->now;
}

/* Private definitions: control.  */

static void
announce (struct world *world, struct process *process)
{
  struct parcel *parcel
      = post (world, KIND_ANNOUNCE, (uint16_t)process->index, CONTROL_ADDRESS);
  struct hs_announcement *a = &parcel->announcement;

  a->role = HS_ROLE_AGENT;
  a->incarnation = process->incarnation;
  a->address.port = (uint16_t)process->index;
  a->draining = process->leaving;
  a->exiting = process->gone;
  strcpy (a->service_name, process->service == WORLD_SERVICE_A ? "a" : "b");
  strcpy (a->name, process->name);
  enqueue (world, parcel, delay_of (world));
  process->announce_at = world->now + ANNOUNCE_MS;
}

static void
announce_entry (struct world *world, size_t index)
{
  uint16_t address = (uint16_t)(ENTRY_ADDRESS + index);

  world->entries[index].announce_at = world->now + ANNOUNCE_MS;
  enqueue (world, post (world, KIND_ANNOUNCE, address, CONTROL_ADDRESS),
           delay_of (world));
}

static void
deliver_announce (struct world *world, const struct parcel *parcel)
{
  if (parcel->from < WORLD_AGENTS)
    {
      hs_registry_announce (world->registry, &parcel->announcement,
                            world->now);
      commit (world);
    }
  send_update (world, parcel->from);
}

static void
commit (struct world *world)
{
  while (world->proposed != NULL)
    {
      struct hs_view *view = world->proposed;

      world->proposed = NULL;
      hs_catalog_put_view (world->catalog, ++world->version, view);
      note (world, "view %llu of service %u: %zu members",
            (unsigned long long)view->number, view->service_id,
            view->members_len);
      for (size_t i = 0; i < view->members_len; i++)
        note (world, "  %s inc %llu %s", view->members[i].name,
              (unsigned long long)view->members[i].incarnation,
              hs_member_state_name (view->members[i].state));
      hs_registry_apply_view (world->registry, view->service_id, world->now);
      talloc_free (view);
    }
}

static void
send_update (struct world *world, uint16_t to)
{
  struct parcel *parcel = post (world, KIND_UPDATE, CONTROL_ADDRESS, to);

  for (uint32_t id = WORLD_SERVICE_A; id <= WORLD_SERVICE_B; id++)
    {
      const struct hs_catalog_item *item
          = hs_catalog_find (world->catalog, id);

      if (item->view != NULL)
        parcel->views[id] = hs_view_copy (parcel, item->view);
    }
  enqueue (world, parcel, delay_of (world));
}

static void
deliver_update (struct world *world, const struct parcel *parcel)
{
  struct process *process = process_at (world, parcel->to);
  struct hs_catalog *catalog = NULL;

  if (process != NULL)
    catalog = process->catalog;
  else if (parcel->to >= ENTRY_ADDRESS
           && world->entries[parcel->to - ENTRY_ADDRESS].alive)
    catalog = world->entries[parcel->to - ENTRY_ADDRESS].catalog;
  if (catalog == NULL)
    return;
  for (uint32_t id = WORLD_SERVICE_A; id <= WORLD_SERVICE_B; id++)
    if (parcel->views[id] != NULL)
      hs_catalog_put_view (catalog, world->version, parcel->views[id]);
  if (process == NULL)
    return;
  hs_ownership_apply_view (process->holder, world->now);
  if (process->leaving && process->leaving_seen_at == 0)
    process->leaving_seen_at = world->now;
  route_waiting (world, process);
}

static void
on_propose (void *ctx, const struct hs_view *view)
{
  struct world *world = ctx;

  world->proposed = hs_view_copy (world, view);
}

/* Private definitions: callers and time.  */

static void
send_packet (struct world *world, size_t flow)
{
  struct hs_flow_key key = key_of (flow);
  size_t pick = (size_t)g_rand_int_range (world->rand, 0, WORLD_ENTRIES);
  struct entry *entry = &world->entries[pick];
  struct hs_placement placement = { 0 };
  struct parcel *parcel;

  world->flows[flow].send_at
      = world->now + (uint64_t)g_rand_int_range (world->rand, 1, SEND_MS * 2);
  world->report.sent++;
  if (entry->alive)
    placement = hs_placer_place (entry->placer, &key);
  if (placement.target == NULL)
    {
      world->report.lost++;
      return;
    }
  parcel = post (world, KIND_FORWARD, (uint16_t)(ENTRY_ADDRESS + pick),
                 placement.target->address.port);
  parcel->flow = flow;
  parcel->hop
      = (struct hs_hop){ .service_id = key.service_id,
                         .view_number = placement.view_number,
                         .to_incarnation = placement.target->incarnation,
                         .caller = key.caller };
  enqueue (world, parcel, delay_of (world));
}

static void
tick_agents (struct world *world)
{
  hs_registry_tick (world->registry, world->now);
  commit (world);
  for (size_t i = 0; i < WORLD_ENTRIES; i++)
    if (world->entries[i].alive && world->entries[i].announce_at <= world->now)
      announce_entry (world, i);
  for (size_t i = 0; i < WORLD_AGENTS; i++)
    {
      struct process *process = &world->agents[i];

      if (process->restart_at != 0)
        world_stop_agent (world, i);
      if (process->restart_at != 0 && process->restart_at <= world->now)
        world_start_agent (world, i, process->restart_service);
      if (!process->alive || world->now < process->frozen_until)
        continue;
      hs_ownership_tick (process->holder, world->now);
      route_waiting (world, process);
      if (process->announce_at <= world->now)
        announce (world, process);
    }
}

/* No flow has two holders but while a fault lasts, and some time after.  */
static void
check (struct world *world)
{
  if (world->now < world->fault_until + SETTLE_MS && world->fault_until != 0)
    return;
  for (size_t i = 0; i < WORLD_FLOWS; i++)
    {
      struct hs_flow_key key = key_of (i);
      size_t holders = 0;

      for (size_t j = 0; j < WORLD_AGENTS; j++)
        holders += world->agents[j].alive
                   && hs_ownership_find_flow (world->agents[j].holder, &key)
                          != NULL;
      if (holders <= 1)
        continue;
      if (world->report.doubled++ == 0)
        note (world, "flow %zu has %zu holders", i, holders);
    }
}

static void
on_send (void *ctx, const struct hs_member *to,
         const struct hs_flow_message *message)
{
  struct process *process = ctx;
  struct parcel *parcel = post (process->world, KIND_FLOW,
                                (uint16_t)process->index, to->address.port);

  parcel->message = *message;
  step (process->world, process, parcel);
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
  struct process *process = ctx;

  process->resolved = true;
}

static struct hs_flow_key
key_of (size_t flow)
{
  struct hs_flow_key key = { .service_id = WORLD_SERVICE_A };

  key.caller.port = (uint16_t)(1000 + flow);
  return key;
}
