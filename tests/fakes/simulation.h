/* simulation.h -- agents, entries and control in one process.

   Time is virtual and all randomness comes from one seed.  Messages between
   processes cross a network that can delay, reorder, duplicate, lose and block
   them.  The code that makes the decisions is the real one; the log of control
   is replaced by one that accepts every change at once.  */

#ifndef HS_FAKES_SIMULATION_H
#define HS_FAKES_SIMULATION_H

#include "hibiscusspan.h"

#define SIM_AGENTS 8
#define SIM_ENTRIES 3
#define SIM_FLOWS 16
#define SIM_SERVICE_A 1
#define SIM_SERVICE_B 2

/* Faults.  Unless stated otherwise, they hit the agent that sent the message
   of the step and last longer than a lease.  */
enum sim_fault
{
  SIM_FAULT_NONE,
  SIM_FAULT_PACKET_LOSS, /* The message is lost.  */
  SIM_FAULT_DUPLICATE,   /* The message arrives a second time, later.  */
  SIM_FAULT_DELAY,       /* The message is delayed by seconds.  */
  SIM_FAULT_REORDER,     /* All messages are reordered.  */
  SIM_FAULT_KILL,        /* The agent stops for good.  */
  SIM_FAULT_RESTART,     /* The agent stops and restarts after a second.  */
  SIM_FAULT_FREEZE,      /* The agent is suspended.  */
  SIM_FAULT_BLOCK_INBOUND,
  SIM_FAULT_BLOCK_OUTBOUND,
  SIM_FAULT_BLOCK_BOTH,
  SIM_FAULT_BLOCK_CONTROL, /* The agent cannot reach control.  */
  SIM_FAULT_BLOCK_AGENTS,  /* The agent cannot reach other agents.  */
  SIM_FAULT_REUSE_ADDRESS, /* The agent stops, and an agent of the other
                              service starts at its address.  */
  SIM_FAULT_ENTRY_CRASH,   /* The last entry stops for good.  */
  SIM_FAULT_COUNT
};

const char *sim_fault_name (enum sim_fault fault);

struct sim_report
{
  uint64_t steps; /* Messages and packets that agents sent to agents.  */
  uint64_t sent;  /* Packets of callers.  */
  uint64_t served;
  uint64_t refused;
  uint64_t lost; /* Packets lost in the network, at a stopped agent or entry,
                    at an entry that knows no agent, or after a wait that
                    timed out.  */
  uint64_t waiting;        /* Still in the network or at an agent.  */
  uint64_t wrong_service;  /* Packets served by another service.  */
  uint64_t moved;          /* Changes of the owner of a flow without a fault of
                              either agent.  */
  uint64_t moved_by_fault; /* Changes of the owner with such a fault.  */
  uint64_t duplicate_owners; /* Observations of a flow with two owners, outside
                                of faults.  */
  uint64_t duplicate_owners_end; /* Flows with two owners at the end.  */
  uint64_t duplicate_work;  /* Flows on which two agents ran non-idempotent
                               work.  */
  uint64_t work_run;        /* Non-idempotent work that ran.  */
  uint64_t opened_draining; /* Flows opened by a draining agent.  */
  uint64_t unserved_end;    /* Flows not served in the last 5000 ms.  */
  uint64_t hops;            /* Agents passed by packets served.  */
};

struct simulation;

struct simulation *sim_create (uint64_t seed);
void sim_destroy (struct simulation *sim);

/* Injects FAULT at step STEP: when the STEP-th message or packet, counted from
   1 over all agents, is sent by an agent to another agent.  Call this at most
   twice.  */
void sim_inject (struct simulation *sim, enum sim_fault fault, uint64_t step);
void sim_start_agent (struct simulation *sim, size_t agent, uint32_t service);

/* Stops the agent at once, as a crash does.  */
void sim_stop_agent (struct simulation *sim, size_t agent);
void sim_drain_agent (struct simulation *sim, size_t agent);
void sim_start_entry (struct simulation *sim, size_t index);
void sim_stop_entry (struct simulation *sim, size_t index);

/* Runs until the virtual time UNTIL, in ms.  */
void sim_run (struct simulation *sim, uint64_t until);

/* The virtual time, in ms, at which the effects of all faults of agents so far
   must be over; 0: there were none.  */
uint64_t sim_recovery_end (struct simulation *sim);
void sim_set_callers (struct simulation *sim, bool sending);
struct sim_report sim_report (struct simulation *sim);

/* Prints the events so far to stderr.  */
void sim_print_trace (struct simulation *sim);

/* The state of one agent, for tests of single steps.  */
struct hs_ownership *sim_ownership (struct simulation *sim, size_t agent);

/* The index of the agent that owns FLOW; SIM_AGENTS: none does.  */
size_t sim_owner_of (struct simulation *sim, size_t flow);

#endif /* HS_FAKES_SIMULATION_H */
