/* test_request.c -- the tracker of requests.  */

#include "base/auto.h"
#include "hibiscusspan.h"

#include <string.h>

/* Types.  */

#define DEADLINE_MS 1000
#define STEPS 50000
#define CALLERS 20

struct agent
{
  void *root;
  struct hs_timers *timers;
  struct hs_tracker *tracker;
  unsigned int expired;
};

/* Private functions.  */

static void
on_expired (void *ctx, const struct hs_request_info *request,
            struct hs_verdict verdict)
{
  struct agent *agent = ctx;

  (void)request;
  g_assert_cmpint (verdict.outcome, ==, HS_OUTCOME_MAY_HAVE_RUN);
  agent->expired++;
}

static void
agent_init (struct agent *agent)
{
  struct hs_tracker_ops ops = { on_expired };

  memset (agent, 0, sizeof *agent);
  agent->root = talloc_new (NULL);
  agent->timers = hs_timers_create (agent->root, 0);
  agent->tracker = hs_tracker_create (agent->root, agent->timers, &ops, agent);
}

static struct hs_request_info
request (uint16_t caller, uint16_t message_id, uint8_t token)
{
  return (struct hs_request_info){ .flow = { 1, { .port = caller } },
                                   .message_id = message_id,
                                   .token_len = 1,
                                   .token = { token },
                                   .idempotent = true,
                                   .needs_ack = true,
                                   .deadline_ms = DEADLINE_MS };
}

static struct hs_response_info
answer (uint16_t caller, uint8_t token)
{
  return (struct hs_response_info){ .flow = { 1, { .port = caller } },
                                    .token_len = 1,
                                    .token = { token } };
}

static void
check_balance (const struct agent *agent)
{
  struct hs_request_totals totals = hs_tracker_totals (agent->tracker);

  g_assert_cmpuint (totals.received, ==,
                    totals.ran + totals.not_run + totals.may_have_run
                        + totals.in_progress);
}

static enum hs_request_action
offer (struct agent *agent, const struct hs_request_info *info, uint64_t now)
{
  return hs_tracker_request (agent->tracker, info, now).action;
}

static void
test_repeats (void)
{
  struct agent agent;
  struct hs_request_info info = request (1, 10, 5);
  struct hs_response_info back = answer (1, 5);
  struct hs_request_decision decision;

  agent_init (&agent);
  g_assert_cmpint (offer (&agent, &info, 0), ==, HS_REQUEST_DELIVER);
  g_assert_cmpint (offer (&agent, &info, 1), ==, HS_REQUEST_DROP);
  g_assert_true (hs_tracker_handle_response (agent.tracker, &back,
                                             (const uint8_t *)"done", 4, 2));
  decision = hs_tracker_request (agent.tracker, &info, 3);
  g_assert_cmpint (decision.action, ==, HS_REQUEST_REPLAY);
  g_assert_cmpmem (decision.response, decision.response_len, "done", 4);
  /* The upstream may send it again; another answer belongs to nobody.  */
  g_assert_true (hs_tracker_handle_response (agent.tracker, &back,
                                             (const uint8_t *)"done", 4, 4));
  back.message_id++;
  g_assert_false (hs_tracker_handle_response (agent.tracker, &back,
                                              (const uint8_t *)"again", 5, 4));
  g_assert_cmpuint (hs_tracker_totals (agent.tracker).received, ==, 1);
  g_assert_cmpuint (hs_tracker_totals (agent.tracker).duplicates, ==, 2);
  check_balance (&agent);
  talloc_free (agent.root);
}

static void
test_answers_find_their_own (void)
{
  struct agent agent;
  struct hs_request_info mine = request (1, 10, 5);
  struct hs_request_info theirs = request (2, 10, 5);
  struct hs_response_info back = answer (2, 5);

  agent_init (&agent);
  offer (&agent, &mine, 0);
  offer (&agent, &theirs, 0);
  hs_tracker_handle_response (agent.tracker, &back, (const uint8_t *)"2", 1,
                              1);
  g_assert_cmpint (offer (&agent, &mine, 2), ==, HS_REQUEST_DROP);
  g_assert_cmpint (offer (&agent, &theirs, 2), ==, HS_REQUEST_REPLAY);
  talloc_free (agent.root);
}

/* After the deadline a repeat is never delivered, and the late answer goes
   to no one.  */
static void
test_expiry (void)
{
  struct agent agent;
  struct hs_request_info info = request (1, 10, 5);
  struct hs_response_info back = answer (1, 5);
  struct hs_request_decision decision;

  agent_init (&agent);
  offer (&agent, &info, 0);
  hs_timers_advance (agent.timers, DEADLINE_MS - 10);
  g_assert_cmpuint (agent.expired, ==, 0);
  hs_timers_advance (agent.timers, DEADLINE_MS + 10);
  g_assert_cmpuint (agent.expired, ==, 1);
  decision = hs_tracker_request (agent.tracker, &info, DEADLINE_MS + 20);
  g_assert_cmpint (decision.action, ==, HS_REQUEST_REFUSE);
  g_assert_cmpint (decision.verdict.outcome, ==, HS_OUTCOME_MAY_HAVE_RUN);
  g_assert_false (hs_tracker_handle_response (
      agent.tracker, &back, (const uint8_t *)"late", 4, 2000));
  g_assert_cmpuint (hs_tracker_totals (agent.tracker).may_have_run, ==, 1);
  check_balance (&agent);
  talloc_free (agent.root);
}

static void
test_streams (void)
{
  struct agent agent;
  struct hs_request_info info = request (1, 10, 5);
  struct hs_response_info back = answer (1, 5);

  agent_init (&agent);
  info.opens_stream = true;
  back.more_follow = true;
  offer (&agent, &info, 0);
  for (uint16_t i = 0; i < 5; i++)
    {
      back.message_id = (uint16_t)(100 + i);
      g_assert_true (hs_tracker_handle_response (agent.tracker, &back,
                                                 (const uint8_t *)"n", 1, i));
    }
  g_assert_cmpuint (hs_tracker_totals (agent.tracker).streams, ==, 1);
  g_assert_cmpuint (hs_tracker_totals (agent.tracker).ran, ==, 1);
  hs_timers_advance (agent.timers, 10 * DEADLINE_MS);
  g_assert_cmpuint (agent.expired, ==, 0);
  hs_tracker_handle_caller_reset (agent.tracker, &info.flow, 103);
  g_assert_cmpuint (hs_tracker_totals (agent.tracker).streams, ==, 1);
  hs_tracker_handle_caller_reset (agent.tracker, &info.flow, 104);
  g_assert_cmpuint (hs_tracker_totals (agent.tracker).streams, ==, 0);
  check_balance (&agent);
  talloc_free (agent.root);
}

/* A full table gives up idempotent records, never the others.  */
static void
test_full (void)
{
  struct agent agent;
  struct hs_request_info info;
  struct hs_response_info back;
  struct hs_request_decision decision;

  agent_init (&agent);
  for (uint32_t i = 0; i < HS_REQUEST_RECORDS_MAX; i++)
    {
      info = request ((uint16_t)(i % 1000), (uint16_t)(i / 1000), 1);
      info.idempotent = i == 0;
      back = answer ((uint16_t)(i % 1000), 1);
      g_assert_cmpint (offer (&agent, &info, 0), ==, HS_REQUEST_DELIVER);
      hs_tracker_handle_response (agent.tracker, &back, (const uint8_t *)"a",
                                  1, 0);
    }
  info = request (2000, 1, 1);
  info.idempotent = false;
  g_assert_cmpint (offer (&agent, &info, 1), ==, HS_REQUEST_DELIVER);
  info = request (2001, 1, 1);
  decision = hs_tracker_request (agent.tracker, &info, 1);
  g_assert_cmpint (decision.action, ==, HS_REQUEST_REFUSE);
  g_assert_cmpint (decision.verdict.outcome, ==, HS_OUTCOME_NOT_RUN);
  info = request (1, 0, 1);
  g_assert_cmpint (offer (&agent, &info, 1), ==, HS_REQUEST_REPLAY);
  /* Their life over, they make room.  */
  info = request (2001, 1, 1);
  g_assert_cmpint (offer (&agent, &info, HS_REQUEST_RECORD_LIFETIME_MS + 1),
                   ==, HS_REQUEST_DELIVER);
  check_balance (&agent);
  talloc_free (agent.root);
}

/* Any order of events: the sums balance, and a message id is delivered once
   in the life of its record.  */
static void
test_random (void)
{
  struct agent agent;
  g_autoptr (GRand) rand = g_rand_new_with_seed (5);
  uint8_t delivered[CALLERS][256] = { 0 };
  uint64_t now = 0;

  agent_init (&agent);
  for (int i = 0; i < STEPS; i++)
    {
      uint16_t caller = (uint16_t)g_rand_int_range (rand, 0, CALLERS);
      uint16_t id = (uint16_t)g_rand_int_range (rand, 0, 256);
      struct hs_request_info info = request (caller, id, (uint8_t)(id % 7));
      struct hs_response_info back = answer (caller, (uint8_t)(id % 7));

      switch (g_rand_int_range (rand, 0, 6))
        {
        case 0:
        case 1:
          info.opens_stream = id % 5 == 0;
          if (offer (&agent, &info, now) == HS_REQUEST_DELIVER)
            g_assert_cmpuint (delivered[caller][id]++, ==, 0);
          break;
        case 2:
          back.more_follow = g_rand_boolean (rand);
          back.refused = g_rand_int_range (rand, 0, 4) == 0;
          hs_tracker_handle_response (agent.tracker, &back,
                                      (const uint8_t *)"x", 1, now);
          break;
        case 3:
          hs_tracker_handle_caller_reset (agent.tracker, &info.flow, id);
          break;
        case 4:
          if (g_rand_int_range (rand, 0, 50) == 0)
            hs_tracker_flow_closed (agent.tracker, &info.flow, now);
          break;
        case 5:
          now += 1;
          hs_timers_advance (agent.timers, now);
          break;
        }
      check_balance (&agent);
    }
  g_assert_cmpuint (now, <, HS_REQUEST_RECORD_LIFETIME_MS);
  talloc_free (agent.root);
}

/* Public definitions.  */

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request/repeats", test_repeats);
  g_test_add_func ("/request/answers-find-their-own",
                   test_answers_find_their_own);
  g_test_add_func ("/request/expiry", test_expiry);
  g_test_add_func ("/request/streams", test_streams);
  g_test_add_func ("/request/full", test_full);
  g_test_add_func ("/request/random", test_random);
  return g_test_run ();
}
