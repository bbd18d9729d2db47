/* warm_up.c -- limits the new flows of a cold upstream by a sliding window.

   A token bucket would not do: a burst that empties a full bucket and the
   tokens that come in the following second could both fall into one second.
   The window is somewhat longer than the second that the rate refers to, since
   the SYNs reach the upstream with varying delays.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

/* Length of the window at rates of one flow in it and more.  The margin of 50
   ms over a second is for the different delays of SYNs on their way from the
   agent to the upstream.  */
#define WINDOW_MS 1050

/* The rate is given in flows per this many windows.  */
#define RATE_WINDOWS 1000

/* New flows of one millisecond.  */
struct admission
{
  struct hs_list link;
  uint64_t at; /* ms  */
  uint32_t flows;
};

struct hs_warm_up
{
  struct hs_list admissions; /* Oldest first: those that were in the window of
                                the latest, which is always kept for the longer
                                windows of low rates.  At most one for each ms
                                of the window.  */
  bool is_filled;
  uint64_t filled_at; /* ms, if IS_FILLED.  */
};

/* Private functions.  */

static uint64_t window_ms (uint32_t rate);
static struct admission *latest_admission (const struct hs_warm_up *warm_up);
static void expire (struct hs_warm_up *warm_up, uint64_t now);

/* Public definitions.  */

struct hs_warm_up *
hs_warm_up_create (void *parent)
{
  struct hs_warm_up *warm_up = talloc_zero (parent, struct hs_warm_up);

  hs_list_init (&warm_up->admissions);
  return warm_up;
}

void
hs_warm_up_destroy (struct hs_warm_up *warm_up)
{
  talloc_free (warm_up);
}

void
hs_warm_up_fill (struct hs_warm_up *warm_up, uint64_t now)
{
  warm_up->is_filled = true;
  warm_up->filled_at = now;
}

void
hs_warm_up_count_flow (struct hs_warm_up *warm_up, uint64_t now)
{
  struct admission *latest = latest_admission (warm_up);

  if (latest == NULL || latest->at != now)
    {
      latest = talloc_zero (warm_up, struct admission);
      latest->at = now;
      hs_list_init (&latest->link);
      hs_list_append (&warm_up->admissions, &latest->link);
    }
  if (latest->flows < UINT32_MAX)
    latest->flows++;
  expire (warm_up, now);
}

uint32_t
hs_warm_up_room (const struct hs_warm_up *warm_up, uint32_t rate, uint64_t now)
{
  uint64_t limit = rate >= RATE_WINDOWS ? rate / RATE_WINDOWS : 1;
  uint64_t flows = 0;

  if (rate == 0)
    return HS_COLD_ROOM_UNLIMITED;
  if (warm_up->is_filled && now < warm_up->filled_at + window_ms (rate))
    return 0;
  HS_LIST_FOREACH (link, &warm_up->admissions)
    {
      const struct admission *admission
          = HS_LIST_ENTRY (link, struct admission, link);

      if (now < admission->at + window_ms (rate))
        flows += admission->flows;
    }
  return flows < limit ? (uint32_t)(limit - flows) : 0;
}

/* Private definitions.  */

/* A lower rate than one flow in the window makes the window longer.  */
static uint64_t
window_ms (uint32_t rate)
{
  return rate >= RATE_WINDOWS
             ? WINDOW_MS
             : ((uint64_t)WINDOW_MS * RATE_WINDOWS + rate - 1) / rate;
}

static struct admission *
latest_admission (const struct hs_warm_up *warm_up)
{
  return hs_list_is_empty (&warm_up->admissions)
             ? NULL
             : HS_LIST_ENTRY (warm_up->admissions.prev, struct admission,
                              link);
}

/* Keeps the flows of NOW, the latest.  */
static void
expire (struct hs_warm_up *warm_up, uint64_t now)
{
  HS_LIST_FOREACH (link, &warm_up->admissions)
    {
      struct admission *admission
          = HS_LIST_ENTRY (link, struct admission, link);

      if (now < admission->at + WINDOW_MS)
        break;
      hs_list_remove (link);
      talloc_free (admission);
    }
}
