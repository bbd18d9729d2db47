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
  GROUP_NONE,
  GROUP_KILL,       /* The process; back after a second.  */
  GROUP_KILL_ALL,   /* All processes at once.  */
  GROUP_POWER,      /* Unsynced writes are lost, or a part of them.  */
  GROUP_POWER_ALL,  /* The same, everywhere.  */
  GROUP_WIPE,       /* Back with an empty disk.  */
  GROUP_REPLACE,    /* Gone for good; an empty host at another address.  */
  GROUP_FREEZE,     /* Stands still for four seconds.  */
  GROUP_CUT,        /* From all others, both ways.  */
  GROUP_CUT_IN,     /* Nothing reaches it.  */
  GROUP_CUT_OUT,    /* Nothing leaves it.  */
  GROUP_HALVES,     /* Two of the hosts from the others.  */
  GROUP_DISK_STALL, /* Syncs do not end for three seconds.  */
  GROUP_DISK_FULL,  /* Writes fail for three seconds.  */
  GROUP_LOSE,       /* A tenth of the messages, for three seconds.  */
  GROUP_DOUBLE,     /* Messages come twice, the second time late.  */
  GROUP_FAULTS
};

struct group_fault_at
{
  enum group_fault fault;
  unsigned int step; /* The message or write at which it strikes, and whose
                        host it strikes.  */
};

struct group_report
{
  unsigned int steps;
  unsigned int two_leaders; /* Of one term.  */
  unsigned int differing;   /* Entries of one index.  */
  unsigned int lost;        /* Acknowledged, and not there at the end.  */
  unsigned int stale;       /* Reads older than what was acknowledged.  */
  unsigned int went_back;   /* Hosts whose state did, in one lifetime.  */
  unsigned int no_leader;   /* Long after the last fault.  */
  unsigned int acknowledged;
  unsigned int reads;
  uint64_t longest_gap_ms; /* Without an acknowledgement.  */
};

const char *group_fault_name (enum group_fault fault);
struct group_report
group_play (uint64_t seed, const struct group_fault_at *faults, size_t len);
bool group_is_clean (const struct group_report *report);

#endif /* HS_FAKES_GROUP_H */
