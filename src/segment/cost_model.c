/* cost_model.c -- learns how long requests occupy a slot of the upstream.

   Each route has a histogram of slot times with buckets of a quarter octave.
   The work of requests that look alike has a long tail, so a mean alone does
   not tell how long a request that is already running will still take: the
   histogram gives the mean of those that lasted at least as long.

   The histogram is aged by scaling the weights of the older samples.  If the
   recent samples differ clearly from it, as after a change of the upstream's
   speed, the older ones lose most of their weight at once.  */

#include "hibiscusspan.h"

#include <math.h>
#include <talloc.h>

/* Types.  */

#define BUCKETS_PER_OCTAVE 4
#define BUCKETS 68 /* HS_WORK_MIN_US times 2^17 exceeds HS_WORK_MAX_US.  */

/* Weight of all samples of a histogram together, in samples.  */
#define WEIGHT_MAX 300.0

/* Samples over which the recent average of the buckets is taken.  It is an
   average of logarithms, so that a single long request does not pass for a
   change.  */
#define RECENT_SAMPLES 24.0

/* Difference, in buckets, between the recent average and that of the histogram
   from which the upstream's speed counts as changed: a factor of 2.2, four
   standard deviations of the recent average if the work is exponentially
   distributed.  */
#define CHANGE_BUCKETS 4.5

/* Weight that the samples before a change keep.  */
#define WEIGHT_AFTER_CHANGE 8.0

/* The expected remaining time is at least this share of the mean: the request
   may be of a kind that the histogram hardly contains.  */
#define REMAINING_MIN_SHARE 0.25

/* Share of the time so far that a request which has outlasted all samples is
   expected to take longer.  */
#define OUTLIER_SHARE 0.5

/* The sums are taken over the bucket of the index and all higher ones.  */
struct histogram
{
  double weights[BUCKETS];
  double work[BUCKETS]; /* Sum of the samples, us.  */
  double weight_sums[BUCKETS + 1];
  double work_sums[BUCKETS + 1];
  double recent_bucket; /* Recent average.  */
};

struct route
{
  struct hs_table_node node; /* Node in the table by service address.  */
  struct hs_list lru_link;
  struct hs_addr address;
  struct histogram histogram;
};

struct hs_cost_model
{
  struct hs_table *by_address;
  struct hs_list routes; /* Least recently sampled first.  */
  struct histogram all_routes;
  double bounds[BUCKETS + 1]; /* Lower bounds of the buckets, us.  */
};

/* Private functions.  */

static bool match_address (const struct hs_table_node *node, const void *key);
static struct route *find_route (const struct hs_cost_model *model,
                                 const struct hs_addr *address);
static struct route *add_route (struct hs_cost_model *model,
                                const struct hs_addr *address);
static void remove_route (struct hs_cost_model *model, struct route *route);
static const struct histogram *histogram_of (const struct hs_cost_model *model,
                                             const struct hs_addr *address);
static size_t bucket_of (const struct hs_cost_model *model, double us);
static void add_to_histogram (struct histogram *histogram, size_t bucket,
                              double us);
static bool has_changed (const struct histogram *histogram);
static void limit_weight (struct histogram *histogram, double max);
static void update_sums (struct histogram *histogram);
static double mean_of (const struct histogram *histogram);
static double remaining_of (const struct hs_cost_model *model,
                            const struct histogram *histogram,
                            double elapsed_us);
static uint32_t to_work_us (double us);

/* Public definitions.  */

struct hs_cost_model *
hs_cost_model_create (void *parent)
{
  struct hs_cost_model *model = talloc_zero (parent, struct hs_cost_model);

  model->by_address = hs_table_create (model);
  hs_list_init (&model->routes);
  for (size_t i = 0; i <= BUCKETS; i++)
    model->bounds[i] = HS_WORK_MIN_US * exp2 ((double)i / BUCKETS_PER_OCTAVE);
  return model;
}

void
hs_cost_model_destroy (struct hs_cost_model *model)
{
  talloc_free (model);
}

void
hs_cost_model_add_sample (struct hs_cost_model *model,
                          const struct hs_addr *address, uint64_t work_us)
{
  struct route *route = find_route (model, address);
  double us = CLAMP (work_us, HS_WORK_MIN_US, HS_WORK_MAX_US);
  size_t bucket = bucket_of (model, us);

  if (route == NULL)
    route = add_route (model, address);
  hs_list_remove (&route->lru_link);
  hs_list_append (&model->routes, &route->lru_link);
  add_to_histogram (&route->histogram, bucket, us);
  add_to_histogram (&model->all_routes, bucket, us);
}

uint32_t
hs_cost_model_expected_us (const struct hs_cost_model *model,
                           const struct hs_addr *address)
{
  return to_work_us (mean_of (histogram_of (model, address)));
}

uint32_t
hs_cost_model_remaining_us (const struct hs_cost_model *model,
                            const struct hs_addr *address, uint64_t elapsed_us)
{
  return to_work_us (remaining_of (model, histogram_of (model, address),
                                   MIN (elapsed_us, HS_WORK_MAX_US)));
}

/* Private definitions.  */

static bool
match_address (const struct hs_table_node *node, const void *key)
{
  return hs_addr_equal (&HS_LIST_ENTRY (node, struct route, node)->address,
                        key);
}

static struct route *
find_route (const struct hs_cost_model *model, const struct hs_addr *address)
{
  struct hs_table_node *node = hs_table_find (
      model->by_address, hs_addr_hash (address), match_address, address);

  return node != NULL ? HS_LIST_ENTRY (node, struct route, node) : NULL;
}

static struct route *
add_route (struct hs_cost_model *model, const struct hs_addr *address)
{
  struct route *route = talloc_zero (model, struct route);

  if (hs_table_len (model->by_address) == HS_COST_ROUTES_MAX)
    remove_route (model,
                  HS_LIST_ENTRY (model->routes.next, struct route, lru_link));
  route->address = *address;
  hs_table_insert (model->by_address, &route->node, hs_addr_hash (address));
  hs_list_append (&model->routes, &route->lru_link);
  return route;
}

static void
remove_route (struct hs_cost_model *model, struct route *route)
{
  hs_table_remove (model->by_address, &route->node);
  hs_list_remove (&route->lru_link);
  talloc_free (route);
}

/* Returns the histogram of a route, or that of all routes if it has none.  */
static const struct histogram *
histogram_of (const struct hs_cost_model *model, const struct hs_addr *address)
{
  const struct route *route = find_route (model, address);

  return route != NULL ? &route->histogram : &model->all_routes;
}

static size_t
bucket_of (const struct hs_cost_model *model, double us)
{
  size_t low = 0;
  size_t high = BUCKETS;

  while (high - low > 1)
    {
      size_t middle = (low + high) / 2;

      if (us >= model->bounds[middle])
        low = middle;
      else
        high = middle;
    }
  return low;
}

static void
add_to_histogram (struct histogram *histogram, size_t bucket, double us)
{
  double samples = MIN (histogram->weight_sums[0] + 1, RECENT_SAMPLES);

  histogram->recent_bucket
      += ((double)bucket - histogram->recent_bucket) / samples;
  limit_weight (histogram, has_changed (histogram) ? WEIGHT_AFTER_CHANGE
                                                   : WEIGHT_MAX - 1);
  histogram->weights[bucket] += 1;
  histogram->work[bucket] += us;
  update_sums (histogram);
}

/* Returns whether the recent samples differ clearly from the older ones.  */
static bool
has_changed (const struct histogram *histogram)
{
  double weight = histogram->weight_sums[0];
  double sum = 0;

  if (weight < RECENT_SAMPLES)
    return false;
  for (size_t i = 0; i < BUCKETS; i++)
    sum += (double)i * histogram->weights[i];
  return fabs (histogram->recent_bucket - sum / weight) > CHANGE_BUCKETS;
}

/* Scales the weights so that their sum is at most MAX.  */
static void
limit_weight (struct histogram *histogram, double max)
{
  double weight = histogram->weight_sums[0];

  if (weight <= max)
    return;
  for (size_t i = 0; i < BUCKETS; i++)
    {
      histogram->weights[i] *= max / weight;
      histogram->work[i] *= max / weight;
    }
}

static void
update_sums (struct histogram *histogram)
{
  for (size_t i = BUCKETS; i-- > 0;)
    {
      histogram->weight_sums[i]
          = histogram->weight_sums[i + 1] + histogram->weights[i];
      histogram->work_sums[i]
          = histogram->work_sums[i + 1] + histogram->work[i];
    }
}

static double
mean_of (const struct histogram *histogram)
{
  return histogram->weight_sums[0] > 0
             ? histogram->work_sums[0] / histogram->weight_sums[0]
             : HS_WORK_DEFAULT_US;
}

/* Returns the mean residual life at ELAPSED_US.  The samples of the bucket of
   ELAPSED_US count as evenly spread over it.  One virtual sample stands for
   what the histogram has not seen: its influence grows as fewer samples have
   lasted as long.  */
static double
remaining_of (const struct hs_cost_model *model,
              const struct histogram *histogram, double elapsed_us)
{
  size_t bucket = bucket_of (model, elapsed_us);
  double mean_us = mean_of (histogram);
  double low = model->bounds[bucket];
  double high = model->bounds[bucket + 1];
  double share_above = CLAMP ((high - elapsed_us) / (high - low), 0, 1);
  double weight = histogram->weights[bucket] * share_above;
  double left_us = weight * (high - MAX (elapsed_us, low)) / 2;
  double weight_above = histogram->weight_sums[bucket + 1];
  double virtual_us = MAX (mean_us, elapsed_us * OUTLIER_SHARE);

  left_us += histogram->work_sums[bucket + 1] - elapsed_us * weight_above;
  left_us = (left_us + virtual_us) / (weight + weight_above + 1);
  return MAX (left_us, mean_us * REMAINING_MIN_SHARE);
}

static uint32_t
to_work_us (double us)
{
  return (uint32_t)CLAMP (us, HS_WORK_MIN_US, HS_WORK_MAX_US);
}
