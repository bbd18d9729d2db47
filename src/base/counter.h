/* counter.h -- counters and histograms that any thread may raise and the admin
   thread reads.  */

#ifndef HS_BASE_COUNTER_H
#define HS_BASE_COUNTER_H

#include <stdint.h>

struct hs_counters;
struct hs_counter;
struct hs_histogram;

struct hs_counters *hs_counters_create (void *parent, const char *prefix);
void hs_counters_destroy (struct hs_counters *counters);
struct hs_counter *hs_counter_create (struct hs_counters *counters,
                                      const char *name, const char *help);
struct hs_counter *hs_gauge_create (struct hs_counters *counters,
                                    const char *name, const char *help);
void hs_counter_add (struct hs_counter *counter, uint64_t value);
void hs_counter_set (struct hs_counter *counter, uint64_t value); /* Gauges. */
uint64_t hs_counter_value (const struct hs_counter *counter);
struct hs_histogram *hs_histogram_create (struct hs_counters *counters,
                                          const char *name, const char *help);
void hs_histogram_add (struct hs_histogram *histogram,
                       uint64_t ms); /* Buckets from 1 ms to 10 s.  */
char *hs_counters_format (void *parent, struct hs_counters *counters);
/* Text exposition format, version 0.0.4.  */

#endif /* HS_BASE_COUNTER_H */
