/* group.h -- a control group in one process, in virtual time.

   The replicas are the real ones.  Messages cross a network that delays,
   reorders, doubles, loses and cuts; disks lose what was not synced, stall,
   fill up or come back empty.  Operators change a number and read it.  */

#ifndef HS_FAKES_GROUP_H
#define HS_FAKES_GROUP_H

#include "hibiscusspan.h"

#define GROUP_HOSTS 5

enum group_fault
{
  GROUP_FAULT_NONE,
  GROUP_FAULT_KILL,       /* The process; back after a second.  */
  GROUP_FAULT_KILL_ALL,   /* All processes at once.  */
  GROUP_FAULT_POWER_LOSS, /* Unsynced writes are lost, or a part of them.  */
  GROUP_FAULT_POWER_LOSS_ALL, /* The same, everywhere.  */
  GROUP_FAULT_WIPE_DISK,      /* Back with an empty disk.  */
  GROUP_FAULT_REPLACE_HOST, /* Gone for good; an empty host at another address.
                             */
  GROUP_FAULT_FREEZE,       /* Stands still for four seconds.  */
  GROUP_FAULT_ISOLATE,      /* From all others, both ways.  */
  GROUP_FAULT_BLOCK_INBOUND,  /* Nothing reaches it.  */
  GROUP_FAULT_BLOCK_OUTBOUND, /* Nothing leaves it.  */
  GROUP_FAULT_PARTITION,      /* Two of the hosts from the others.  */
  GROUP_FAULT_DISK_STALL,     /* Syncs do not end for three seconds.  */
  GROUP_FAULT_DISK_FULL,      /* Writes fail for three seconds.  */
  GROUP_FAULT_PACKET_LOSS, /* A tenth of the messages, for three seconds.  */
  GROUP_FAULT_DUPLICATE,   /* Messages come twice, the second time late.  */
  GROUP_FAULT_COUNT
};

struct group_scheduled_fault
{
  enum group_fault fault;
  unsigned int step; /* The message or write at which it strikes, and whose
                        host it strikes.  */
};

struct group_report
{
  unsigned int steps;
  unsigned int two_leaders;         /* Of one term.  */
  unsigned int conflicting_entries; /* Entries of one index.  */
  unsigned int lost_writes; /* Acknowledged, and not there at the end.  */
  unsigned int stale_reads; /* Reads older than what was acknowledged.  */
  unsigned int state_regressions; /* Hosts whose state did, in one lifetime. */
  unsigned int no_leader;         /* Long after the last fault.  */
  unsigned int acknowledged;
  unsigned int reads;
  uint64_t longest_gap_ms; /* Without an acknowledgement.  */
};

const char *group_fault_name (enum group_fault fault);
struct group_report group_simulate (uint64_t seed,
                                    const struct group_scheduled_fault *faults,
                                    size_t len);
bool group_report_passed (const struct group_report *report);

#endif /* HS_FAKES_GROUP_H */
