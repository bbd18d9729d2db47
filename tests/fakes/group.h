/* group.h -- simulation of a control group in one process and virtual time.

   The replicas are the real ones.  The simulated network delays, reorders,
   duplicates, loses and blocks messages.  The simulated disks lose unsynced
   writes, stall, fill up or are replaced by empty ones.  Simulated operators
   change a version number, start and end evacuations, and read the state.  */

#ifndef HS_FAKES_GROUP_H
#define HS_FAKES_GROUP_H

#include "hibiscusspan.h"

#define GROUP_HOSTS 5

/* Faults.  Those that block messages last four seconds.  */
enum group_fault
{
  GROUP_FAULT_NONE,
  GROUP_FAULT_KILL,           /* One process; it restarts after a second.  */
  GROUP_FAULT_KILL_ALL,       /* All processes at once.  */
  GROUP_FAULT_POWER_LOSS,     /* Unsynced writes are lost, all or the last
                                 ones.  */
  GROUP_FAULT_POWER_LOSS_ALL, /* Power loss on all hosts at once.  */
  GROUP_FAULT_WIPE_DISK,      /* The host restarts with an empty disk.  */
  GROUP_FAULT_REPLACE_HOST,  /* The host is removed; one with an empty disk and
                                another address starts.  */
  GROUP_FAULT_FREEZE,        /* The host stops for four seconds.  */
  GROUP_FAULT_ISOLATE,       /* No messages from or to the host.  */
  GROUP_FAULT_BLOCK_INBOUND, /* No messages to the host.  */
  GROUP_FAULT_BLOCK_OUTBOUND, /* No messages from the host.  */
  GROUP_FAULT_PARTITION,      /* Two hosts are cut off from the others.  */
  GROUP_FAULT_DISK_STALL,     /* No sync completes for three seconds.  */
  GROUP_FAULT_DISK_FULL,      /* Writes fail for three seconds.  */
  GROUP_FAULT_PACKET_LOSS,    /* A tenth of the messages is lost, for three
                                 seconds.  */
  GROUP_FAULT_DUPLICATE,      /* For three seconds, a quarter of the messages
                                 arrive twice, the second time late.  */
  GROUP_FAULT_COUNT
};

struct group_scheduled_fault
{
  enum group_fault fault;
  unsigned int step; /* Number of the message or sync at which the fault
                        occurs, on the host that sends or requests it.  */
};

/* Changes of the hosts of a group, at a set time.  */
enum group_change_kind
{
  GROUP_CHANGE_REPLACE_LEADER, /* As GROUP_FAULT_REPLACE_HOST.  */
  GROUP_CHANGE_REPLACE_FOLLOWER,
  GROUP_CHANGE_REMOVE_FOLLOWER,  /* For good, without a successor.  */
  GROUP_CHANGE_ADD,              /* A host with an empty disk starts.  */
  GROUP_CHANGE_ISOLATE_FOLLOWER, /* No messages for for_ms.  */
  GROUP_CHANGE_FILL_DISK         /* Writes of host HOST fail for for_ms.  */
};

struct group_scheduled_change
{
  uint64_t at; /* ms  */
  enum group_change_kind kind;
  uint64_t for_ms; /* ISOLATE_FOLLOWER, FILL_DISK  */
  size_t host;     /* FILL_DISK: in the order of their starts.  */
};

/* A run with changes of the hosts.  */
struct group_plan
{
  size_t hosts; /* At the start, 3 to GROUP_HOSTS.  */
  size_t tolerated_losses;
  uint64_t end_ms;
  const struct group_scheduled_change *changes; /* By time.  */
  size_t changes_len;
  const struct group_scheduled_fault *faults;
  size_t faults_len;
};

/* Counts of a run.  */
struct group_report
{
  unsigned int steps;               /* Messages and syncs.  */
  unsigned int two_leaders;         /* Second leaders in one term.  */
  unsigned int conflicting_entries; /* Different entries at one index.  */
  unsigned int lost_writes;       /* Acknowledged, but missing at the end.  */
  unsigned int stale_reads;       /* Older than what had been acknowledged.  */
  unsigned int state_regressions; /* A running host's state became older.  */
  unsigned int no_leader;         /* No leader long after the last fault.  */
  unsigned int without_leader; /* Running hosts that know no leader then.  */
  size_t min_members; /* Smallest group, from the first full one on.  */
  unsigned int acknowledged;
  unsigned int reads;
  uint64_t longest_gap_ms; /* Between two acknowledgements, or from the last
                              one to the operators' end.  */
};

/* Returns the name of FAULT in test paths and in CELL, as a static string.  */
const char *group_fault_name (enum group_fault fault);

/* Runs a group of GROUP_HOSTS hosts with the LEN FAULTS.  The same arguments
   give the same run.  */
struct group_report group_simulate (uint64_t seed,
                                    const struct group_scheduled_fault *faults,
                                    size_t len);

/* Runs a group with the changes and faults of PLAN.  */
struct group_report group_simulate_plan (uint64_t seed,
                                         const struct group_plan *plan);

/* Whether the run had no violation and acknowledged at least one change.  */
bool group_report_passed (const struct group_report *report);

#endif /* HS_FAKES_GROUP_H */
