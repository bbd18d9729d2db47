/* herd.h -- many entries that place requests on the same upstreams.

   Forty entries place requests of one flow each on twenty upstreams with two
   slots and a queue of eight.  A caller that is refused or rejected retries
   twice, 10 ms later, at any entry.  Time is virtual, and each run is
   determined by its seed.  */

#ifndef HS_FAKES_HERD_H
#define HS_FAKES_HERD_H

#include <stdbool.h>
#include <stdint.h>

enum herd_policy
{
  HERD_PRESENT,       /* Entries ask agents for their load, and agents refuse
                         flows that would wait too long.  */
  HERD_AGENTS_ACCEPT, /* The same, but agents accept all flows.  */
  HERD_REPORTS,       /* Every agent reports its load to every entry each 200
                         ms, and accepts all flows.  */
  HERD_BY_COUNT,      /* As HERD_PRESENT, but entries know of each upstream
                         only the number of its requests.  */
  HERD_RANDOM,        /* Any agent; nothing is refused.  */
  HERD_IDEAL          /* The agent with the fewest requests, known without
                         delay, or on an uneven load the agent that completes
                         a request of average work first, by the true work of
                         all others; nothing is refused.  */
};

/* Loads are shares of the upstreams' capacity.  */
struct herd_load
{
  double base;
  double peak;           /* For 4 s of the 14 s.  */
  bool is_uneven;        /* The upstreams have speeds of 0.7, 0.7 and 1.7 in
                            turn, and 3 in 100 requests take 7 times as
                            long.  */
  uint64_t slow_from_ms; /* One upstream takes 5 times as long from then on;
                            0: none does.  */
};

struct herd_result
{
  unsigned int requests;
  unsigned int in_time;
  unsigned int late;     /* Answered after the latency objective.  */
  unsigned int rejected; /* Attempts that found the upstream's queue full.  */
  unsigned int refused;  /* Attempts refused before.  */
  unsigned int refused_with_free_slot;
  double p50_ms; /* Of the answered requests.  */
  double p99_ms;
  double capacity_ratio; /* Share of the requests that the slots had time
                            for.  */
  double imbalance;      /* Time in slots of the busiest upstream, relative to
                            the mean.  */
  uint64_t adapt_ms;     /* Time until the slow upstream reports a mean work of
                            2.5 times that before; 0: never.  */
};

/* Runs 14 s of requests at half of the upstreams' capacity, with a peak of 4 s
   at PEAK_LOAD times their capacity.  */
struct herd_result herd_simulate (uint64_t seed, double peak_load,
                                  enum herd_policy policy);

struct herd_result herd_simulate_load (uint64_t seed,
                                       const struct herd_load *load,
                                       enum herd_policy policy);

#endif /* HS_FAKES_HERD_H */
