/* metrics.h -- counters, gauges and histograms for the /metrics endpoint.

   A struct hs_metrics is a set of metrics with a common prefix.  Metrics live
   as long as their set.  Any thread may update them while another formats the
   set.  */

#ifndef HS_BASE_METRICS_H
#define HS_BASE_METRICS_H

#include <stdint.h>

struct hs_metrics;
struct hs_counter;
struct hs_histogram;

/* Returns an empty set, a talloc child of PARENT.  A metric NAME is formatted
   as PREFIX_NAME.  PREFIX is copied.  */
struct hs_metrics *hs_metrics_create (void *parent, const char *prefix);
void hs_metrics_destroy (struct hs_metrics *metrics);

/* Add a metric with value 0 to METRICS, which owns it.  A gauge is a struct
   hs_counter whose value may also decrease.  NAME must be unique in METRICS.
   NAME and HELP are not copied and must outlive METRICS.  */
struct hs_counter *hs_counter_create (struct hs_metrics *metrics,
                                      const char *name, const char *help);
struct hs_counter *hs_gauge_create (struct hs_metrics *metrics,
                                    const char *name, const char *help);

/* Increases a counter or a gauge by VALUE.  */
void hs_counter_add (struct hs_counter *counter, uint64_t value);

/* Sets the value of a gauge, or of a counter that mirrors a total kept
   elsewhere.  */
void hs_counter_set (struct hs_counter *counter, uint64_t value);

uint64_t hs_counter_value (const struct hs_counter *counter);

/* Adds a histogram of durations to METRICS, which owns it.  The bounds of its
   buckets go from 1 ms to 10 s.  NAME and HELP are as for
   hs_counter_create.  */
struct hs_histogram *hs_histogram_create (struct hs_metrics *metrics,
                                          const char *name, const char *help);

/* Counts a duration of MS milliseconds.  */
void hs_histogram_observe (struct hs_histogram *histogram, uint64_t ms);

/* Returns the metrics in the Prometheus text exposition format, version 0.0.4,
   as a talloc child of PARENT.  */
char *hs_metrics_format (void *parent, struct hs_metrics *metrics);

#endif /* HS_BASE_METRICS_H */
