/* test_link.c -- what callers get when uploads are more than the links of the
   entries carry.

   The load: three entries on links of 6.9 Mbit/s that queue for half a second
   and then drop; short requests of three segments, and uploads of 40 KB that
   keep up to 16 segments in flight.  What is lost is sent again after 200 ms,
   and later each time.  Whoever is refused tries twice more, at once, at any
   entry.  The real link count decides, in virtual time and from a seed.  */

#include "hibiscusspan.h"

#include <talloc.h>

/* Types.  */

#define ENTRIES 3
#define LINK_MBPS 6.9
#define LINK_BYTES_MS (LINK_MBPS * 1000 / 8)
#define LINK_QUEUE_MS 500
#define HEADERS_SIZE 28
#define ROUND_TRIP_MS 8
#define RESEND_MIN_MS 200
#define RESEND_MAX_MS 1600
#define PLAY_MS 20000
#define FLOWS_MAX 40000
#define TRIES 3

struct load
{
  double per_ms;
  enum hs_request_class work;
  uint32_t priority;
  unsigned int segments;
  unsigned int window;
  size_t segment_size; /* Bytes.  */
  uint64_t slo_ms;
  uint64_t deadline_ms;
};

struct flow
{
  const struct load *load;
  size_t entry;
  uint64_t asked_at; /* ms  */
  uint64_t due;      /* ms of its next segments, or of its end.  */
  uint64_t resend_ms;
  unsigned int left; /* Segments.  */
};

struct result
{
  unsigned int asked;
  unsigned int in_time;
  unsigned int refused;
};

struct play
{
  GRand *rand;
  bool refuses;
  struct hs_uplink *links[ENTRIES];
  double queued[ENTRIES]; /* Bytes, in the real links.  */
  size_t flows_len;
  struct flow flows[FLOWS_MAX];
  struct result results[2];
};

enum
{
  SHORT,
  UPLOAD
};

/* Private functions.  */

static void
ask (struct play *play, size_t kind, const struct load *load, uint64_t now)
{
  struct flow flow = { .load = load,
                       .asked_at = now,
                       .due = now,
                       .resend_ms = RESEND_MIN_MS,
                       .left = load->segments };

  play->results[kind].asked++;
  for (unsigned int tries = 0; tries < TRIES; tries++)
    {
      flow.entry = (size_t)g_rand_int_range (play->rand, 0, ENTRIES);
      if (!play->refuses
          || !hs_uplink_refuses_flow (play->links[flow.entry], load->work,
                                      load->priority, now))
        {
          g_assert_cmpuint (play->flows_len, <, FLOWS_MAX);
          play->flows[play->flows_len++] = flow;
          return;
        }
      play->results[kind].refused++;
    }
}

/* Sends what FLOW may have in flight.  */
static void
send_window (struct play *play, struct flow *flow, uint64_t now)
{
  const struct load *load = flow->load;
  unsigned int len = flow->left < load->window ? flow->left : load->window;
  double *queued = &play->queued[flow->entry];
  unsigned int lost = 0;

  for (unsigned int i = 0; i < len; i++)
    {
      hs_uplink_count (play->links[flow->entry], HS_UPLINK_OUT,
                       load->segment_size, now);
      if (*queued > LINK_QUEUE_MS * LINK_BYTES_MS)
        {
          lost++;
          continue;
        }
      *queued += (double)(load->segment_size + HEADERS_SIZE);
      flow->left--;
    }
  flow->due = now + ROUND_TRIP_MS + (uint64_t)(*queued / LINK_BYTES_MS);
  if (lost == 0)
    {
      flow->resend_ms = RESEND_MIN_MS;
      return;
    }
  flow->due = now + flow->resend_ms;
  if (flow->resend_ms < RESEND_MAX_MS)
    flow->resend_ms *= 2;
}

static void
advance (struct play *play, uint64_t now)
{
  for (size_t i = 0; i < ENTRIES; i++)
    play->queued[i] = MAX (play->queued[i] - LINK_BYTES_MS, 0);
  for (size_t i = 0; i < play->flows_len; i++)
    {
      struct flow *flow = &play->flows[i];
      size_t kind
          = flow->load->work == HS_REQUEST_CLASS_UPLOAD ? UPLOAD : SHORT;

      if (flow->due > now)
        continue;
      if (flow->left > 0 && now - flow->asked_at < flow->load->deadline_ms)
        {
          send_window (play, flow, now);
          continue;
        }
      if (flow->left == 0 && now - flow->asked_at <= flow->load->slo_ms)
        play->results[kind].in_time++;
      *flow = play->flows[--play->flows_len];
      i--;
    }
}

/* USE: of what the links carry, that is asked for.  */
static struct play *
play_create (uint64_t seed, double use, bool refuses)
{
  double rate = use * ENTRIES * LINK_BYTES_MS;
  struct load loads[2] = { { 0.1 * rate / (3 * 300), HS_REQUEST_CLASS_ONCE, 1,
                             3, 1, 272, 300, 3000 },
                           { 0.9 * rate / (34 * 1254), HS_REQUEST_CLASS_UPLOAD,
                             2, 34, 16, 1226, 800, 6000 } };
  double due[2] = { 0, 0 };
  struct play *play = talloc_zero (NULL, struct play);

  play->rand = g_rand_new_with_seed ((guint32)seed);
  play->refuses = refuses;
  for (size_t i = 0; i < ENTRIES; i++)
    play->links[i] = hs_uplink_create (play, LINK_MBPS);
  for (uint64_t now = 0; now < PLAY_MS; now++)
    {
      for (size_t kind = 0; kind < 2; kind++)
        {
          due[kind]
              += loads[kind].per_ms * g_rand_double_range (play->rand, 0, 2);
          for (; due[kind] >= 1; due[kind] -= 1)
            ask (play, kind, &loads[kind], now);
        }
      advance (play, now);
    }
  g_rand_free (play->rand);
  return play;
}

static double
share_in_time (const struct play *play, size_t kind)
{
  return (double)play->results[kind].in_time / play->results[kind].asked;
}

/* A tenth more than the links carry: where nothing is refused, they are full
   of what is sent again and late.  */
static void
test_refusing_serves_more (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct play *with = play_create (seed, 1.1, true);
      struct play *without = play_create (seed, 1.1, false);

      g_test_message ("seed %llu: short %.3f and %.3f, uploads %.3f and %.3f",
                      (unsigned long long)seed, share_in_time (with, SHORT),
                      share_in_time (without, SHORT),
                      share_in_time (with, UPLOAD),
                      share_in_time (without, UPLOAD));
      g_assert_cmpfloat (share_in_time (with, SHORT), >, 0.99);
      g_assert_cmpfloat (share_in_time (with, SHORT), >,
                         share_in_time (without, SHORT) + 0.1);
      g_assert_cmpfloat (share_in_time (with, UPLOAD), >,
                         share_in_time (without, UPLOAD));
      talloc_free (with);
      talloc_free (without);
    }
}

/* At half of what the links carry nothing is refused but what comes together
   at one of them.  */
static void
test_little_refused_below (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct play *play = play_create (seed, 0.5, true);

      g_assert_cmpuint (play->results[SHORT].refused, ==, 0);
      g_assert_cmpuint (play->results[UPLOAD].refused * 10, <,
                        play->results[UPLOAD].asked);
      g_assert_cmpfloat (share_in_time (play, UPLOAD), >, 0.98);
      talloc_free (play);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link/refusing-serves-more", test_refusing_serves_more);
  g_test_add_func ("/link/little-refused-below", test_little_refused_below);
  return g_test_run ();
}
