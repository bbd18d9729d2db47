/* metrics.c -- counters, gauges and histograms, and their text format.  */

#include "base/metrics.h"
#include "hibiscusspan.h"

#include <pthread.h>
#include <stdatomic.h>
#include <talloc.h>

/* Types.  */

struct hs_counter
{
  struct hs_list link;
  const char *name;
  const char *help;
  const char *type; /* As in a TYPE line: "counter" or "gauge".  */
  _Atomic uint64_t value;
};

/* Inclusive upper bounds of the histogram buckets.  One more bucket counts
   the durations above the last bound.  */
#define BOUNDS_LEN 13
static const uint64_t bucket_bounds_ms[BOUNDS_LEN]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000 };

struct hs_histogram
{
  struct hs_list link;
  const char *name;
  const char *help;
  _Atomic uint64_t bucket_counts[BOUNDS_LEN + 1]; /* Not cumulative.  */
  _Atomic uint64_t sum_ms;
};

struct hs_metrics
{
  const char *prefix;
  pthread_mutex_t lock; /* Protects the lists; the values are atomic.  */
  struct hs_list counters;
  struct hs_list histograms;
};

/* Private functions.  */

static struct hs_counter *create_counter (struct hs_metrics *metrics,
                                          const char *name, const char *help,
                                          const char *type);
static char *format_histogram (char *text, const char *prefix,
                               const struct hs_histogram *histogram);
static int destructor (struct hs_metrics *metrics);

/* Public definitions.  */

struct hs_metrics *
hs_metrics_create (void *parent, const char *prefix)
{
  struct hs_metrics *metrics = talloc_zero (parent, struct hs_metrics);

  metrics->prefix = talloc_strdup (metrics, prefix);
  pthread_mutex_init (&metrics->lock, NULL);
  hs_list_init (&metrics->counters);
  hs_list_init (&metrics->histograms);
  talloc_set_destructor (metrics, destructor);
  return metrics;
}

void
hs_metrics_destroy (struct hs_metrics *metrics)
{
  talloc_free (metrics);
}

struct hs_counter *
hs_counter_create (struct hs_metrics *metrics, const char *name,
                   const char *help)
{
  return create_counter (metrics, name, help, "counter");
}

struct hs_counter *
hs_gauge_create (struct hs_metrics *metrics, const char *name,
                 const char *help)
{
  return create_counter (metrics, name, help, "gauge");
}

void
hs_counter_add (struct hs_counter *counter, uint64_t value)
{
  atomic_fetch_add_explicit (&counter->value, value, memory_order_relaxed);
}

void
hs_counter_set (struct hs_counter *counter, uint64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

uint64_t
hs_counter_value (const struct hs_counter *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}

struct hs_histogram *
hs_histogram_create (struct hs_metrics *metrics, const char *name,
                     const char *help)
{
  struct hs_histogram *histogram = talloc_zero (metrics, struct hs_histogram);

  histogram->name = name;
  histogram->help = help;
  pthread_mutex_lock (&metrics->lock);
  hs_list_append (&metrics->histograms, &histogram->link);
  pthread_mutex_unlock (&metrics->lock);
  return histogram;
}

void
hs_histogram_observe (struct hs_histogram *histogram, uint64_t ms)
{
  size_t bucket = 0;

  while (bucket < BOUNDS_LEN && ms > bucket_bounds_ms[bucket])
    bucket++;
  atomic_fetch_add_explicit (&histogram->bucket_counts[bucket], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_ms, ms, memory_order_relaxed);
}

char *
hs_metrics_format (void *parent, struct hs_metrics *metrics)
{
  char *text = talloc_strdup (parent, "");

  pthread_mutex_lock (&metrics->lock);
  HS_LIST_FOREACH (link, &metrics->counters)
    {
      const struct hs_counter *counter
          = HS_LIST_ENTRY (link, struct hs_counter, link);

      text = talloc_asprintf_append_buffer (
          text, "# HELP %s_%s %s\n# TYPE %s_%s %s\n%s_%s %llu\n",
          metrics->prefix, counter->name, counter->help, metrics->prefix,
          counter->name, counter->type, metrics->prefix, counter->name,
          (unsigned long long)hs_counter_value (counter));
    }
  HS_LIST_FOREACH (link, &metrics->histograms)
    text = format_histogram (text, metrics->prefix,
                             HS_LIST_ENTRY (link, struct hs_histogram, link));
  pthread_mutex_unlock (&metrics->lock);
  return text;
}

/* Private definitions.  */

static struct hs_counter *
create_counter (struct hs_metrics *metrics, const char *name, const char *help,
                const char *type)
{
  struct hs_counter *counter = talloc_zero (metrics, struct hs_counter);

  counter->name = name;
  counter->help = help;
  counter->type = type;
  pthread_mutex_lock (&metrics->lock);
  hs_list_append (&metrics->counters, &counter->link);
  pthread_mutex_unlock (&metrics->lock);
  return counter;
}

/* Appends HISTOGRAM with cumulative bucket counts to TEXT and returns the
   text, which may have been reallocated.  */
static char *
format_histogram (char *text, const char *prefix,
                  const struct hs_histogram *histogram)
{
  unsigned long long count = 0;

  text = talloc_asprintf_append_buffer (
      text, "# HELP %s_%s %s\n# TYPE %s_%s histogram\n", prefix,
      histogram->name, histogram->help, prefix, histogram->name);
  for (size_t i = 0; i < BOUNDS_LEN; i++)
    {
      count += atomic_load (&histogram->bucket_counts[i]);
      text = talloc_asprintf_append_buffer (
          text, "%s_%s_bucket{le=\"%llu\"} %llu\n", prefix, histogram->name,
          (unsigned long long)bucket_bounds_ms[i], count);
    }
  count += atomic_load (&histogram->bucket_counts[BOUNDS_LEN]);
  return talloc_asprintf_append_buffer (
      text,
      "%s_%s_bucket{le=\"+Inf\"} %llu\n%s_%s_sum %llu\n%s_%s_count "
      "%llu\n",
      prefix, histogram->name, count, prefix, histogram->name,
      (unsigned long long)atomic_load (&histogram->sum_ms), prefix,
      histogram->name, count);
}

static int
destructor (struct hs_metrics *metrics)
{
  pthread_mutex_destroy (&metrics->lock);
  return 0;
}
