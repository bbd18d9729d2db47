/* simulation.h -- a small world of agents, entries and control in one process.

   Time is virtual and all chance comes from one seed.  Messages between
   processes cross a network that delays, reorders, doubles, loses and cuts.
   The cores are the real ones; control's log accepts at once.  */

#ifndef HS_FAKES_WORLD_H
#define HS_FAKES_WORLD_H

#include "hibiscusspan.h"

#define WORLD_AGENTS 8
#define WORLD_ENTRIES 3
#define WORLD_FLOWS 16
#define WORLD_SERVICE_A 1
#define WORLD_SERVICE_B 2

enum world_fault
{
  WORLD_NONE,
  WORLD_LOSE,      /* The message at the step.  */
  WORLD_DUPLICATE, /* The message, again after a while.  */
  WORLD_DELAY,     /* The message, by seconds.  */
  WORLD_REORDER,   /* All messages, for a while.  */
  WORLD_KILL,      /* The agent that emitted it, for good.  */
  WORLD_RESTART,   /* The same, back after a second.  */
  WORLD_FREEZE,    /* The same, for longer than a lease.  */
  WORLD_CUT_IN,    /* Nothing reaches it.  */
  WORLD_CUT_OUT,   /* Nothing leaves it.  */
  WORLD_CUT_BOTH,
  WORLD_CUT_CONTROL, /* It has no contact with control.  */
  WORLD_CUT_AGENTS,  /* It has no contact with other agents.  */
  WORLD_REUSE,       /* Killed; its address goes to the other service.  */
  WORLD_ENTRY_DIES,
  WORLD_FAULTS
};

const char *world_fault_name (enum world_fault fault);

struct world_report
{
  uint64_t steps; /* Messages that agents emitted.  */
  uint64_t sent;  /* Packets of callers.  */
  uint64_t served;
  uint64_t refused;
  uint64_t lost; /* By the network, a dead host or a full wait.  */
  uint64_t waiting;
  uint64_t astray;         /* Served by another service.  */
  uint64_t moved;          /* Flows that changed holder without cause.  */
  uint64_t moved_faulty;   /* Those whose holder had a fault.  */
  uint64_t doubled;        /* Instants with two holders and no fault.  */
  uint64_t doubled_end;    /* Flows with two holders at the end.  */
  uint64_t both_delivered; /* Flows on which two holders delivered
                              non-idempotent work.  */
  uint64_t delivered;      /* Non-idempotent work run.  */
  uint64_t opened_leaving; /* New flows at an agent that leaves.  */
  uint64_t unserved_end;   /* Flows not served in the last seconds.  */
  uint64_t hops;           /* Agents passed by packets served.  */
};

struct world;

struct world *world_create (uint64_t seed);
void world_destroy (struct world *world);
void world_inject (struct world *world, enum world_fault fault,
                   uint64_t step); /* At the STEP-th emitted message; twice
                                      at most.  */
void world_start_agent (struct world *world, size_t agent, uint32_t service);
void world_stop_agent (struct world *world, size_t agent);  /* At once.  */
void world_leave_agent (struct world *world, size_t agent); /* Drains.  */
void world_start_entry (struct world *world, size_t entry);
void world_stop_entry (struct world *world, size_t entry);
void world_run (struct world *world, uint64_t until); /* ms  */
uint64_t world_faults_end (struct world *world); /* ms, with time to settle
                                                    again; 0: none.  */
void world_set_callers (struct world *world, bool sending);
struct world_report world_report (struct world *world);
void world_trace (struct world *world); /* Prints what happened.  */

/* The state of one agent, for tests of single steps.  */
struct hs_ownership *world_holder (struct world *world, size_t agent);
size_t world_holder_of (struct world *world, size_t flow); /* WORLD_AGENTS:
                                                              nobody.  */

#endif /* HS_FAKES_WORLD_H */
