/* test_request.c -- tests of the request tracker.  */

#include "base/auto.h"
#include "hibiscusspan.h"

#include <string.h>

/* Types.  */

#define DEADLINE_MS 1000
#define STEPS 50000
#define CALLERS 20

struct fixture
{
  void *root;
  struct hs_timers *timers;
  struct hs_tracker *tracker;
  unsigned int expired_count;
};

/* Private functions.  */

static void
on_expired (void *ctx, const struct hs_request_info *request,
            struct hs_verdict verdict)
{
  struct fixture *fixture = ctx;

  (void)request;
  g_assert_cmpint (verdict.outcome, ==, HS_OUTCOME_MAY_HAVE_RUN);
  fixture->expired_count++;
}

static void
fixture_init (struct fixture *fixture)
{
  struct hs_tracker_ops ops = { on_expired };

  memset (fixture, 0, sizeof *fixture);
  fixture->root = talloc_new (NULL);
  fixture->timers = hs_timers_create (fixture->root, 0);
  fixture->tracker
      = hs_tracker_create (fixture->root, fixture->timers, &ops, fixture);
}

static struct hs_request_info
make_request (uint16_t caller, uint16_t message_id, uint8_t token)
{
  return (struct hs_request_info){ .flow_key = { 1, { .port = caller } },
                                   .message_id = message_id,
                                   .token_len = 1,
                                   .token = { token },
                                   .idempotent = true,
                                   .needs_ack = true,
                                   .deadline_ms = DEADLINE_MS };
}

static struct hs_response_info
make_response (uint16_t caller, uint8_t token)
{
  return (struct hs_response_info){ .flow_key = { 1, { .port = caller } },
                                    .token_len = 1,
                                    .token = { token } };
}

/* Every received request must be counted under exactly one outcome.  */
static void
check_totals (const struct fixture *fixture)
{
  struct hs_request_totals totals = hs_tracker_totals (fixture->tracker);

  g_assert_cmpuint (totals.received, ==,
                    totals.ran + totals.not_run + totals.may_have_run
                        + totals.in_progress);
}

static enum hs_request_action
submit (struct fixture *fixture, const struct hs_request_info *request,
        uint64_t now)
{
  return hs_tracker_request (fixture->tracker, request, now).action;
}

/* A duplicate is dropped while the request is in progress; afterwards the
   recorded response is replayed.  */
static void
test_duplicates (void)
{
  struct fixture fixture;
  struct hs_request_info request = make_request (1, 10, 5);
  struct hs_response_info response = make_response (1, 5);
  struct hs_request_decision decision;

  fixture_init (&fixture);
  g_assert_cmpint (submit (&fixture, &request, 0), ==, HS_REQUEST_DELIVER);
  g_assert_cmpint (submit (&fixture, &request, 1), ==, HS_REQUEST_DROP);
  g_assert_true (hs_tracker_handle_response (fixture.tracker, &response,
                                             (const uint8_t *)"done", 4, 2));
  decision = hs_tracker_request (fixture.tracker, &request, 3);
  g_assert_cmpint (decision.action, ==, HS_REQUEST_REPLAY);
  g_assert_cmpmem (decision.response, decision.response_len, "done", 4);
  /* A retransmission is accepted; a response with another message id belongs
     to no request.  */
  g_assert_true (hs_tracker_handle_response (fixture.tracker, &response,
                                             (const uint8_t *)"done", 4, 4));
  response.message_id++;
  g_assert_false (hs_tracker_handle_response (fixture.tracker, &response,
                                              (const uint8_t *)"again", 5, 4));
  g_assert_cmpuint (hs_tracker_totals (fixture.tracker).received, ==, 1);
  g_assert_cmpuint (hs_tracker_totals (fixture.tracker).duplicates, ==, 2);
  check_totals (&fixture);
  talloc_free (fixture.root);
}

/* Two callers use the same message id and token: a response completes only the
   request of its own flow.  */
static void
test_response_matches_flow (void)
{
  struct fixture fixture;
  struct hs_request_info first = make_request (1, 10, 5);
  struct hs_request_info second = make_request (2, 10, 5);
  struct hs_response_info response = make_response (2, 5);

  fixture_init (&fixture);
  submit (&fixture, &first, 0);
  submit (&fixture, &second, 0);
  hs_tracker_handle_response (fixture.tracker, &response, (const uint8_t *)"2",
                              1, 1);
  g_assert_cmpint (submit (&fixture, &first, 2), ==, HS_REQUEST_DROP);
  g_assert_cmpint (submit (&fixture, &second, 2), ==, HS_REQUEST_REPLAY);
  talloc_free (fixture.root);
}

/* After its deadline a request is not delivered again, and a late response is
   rejected.  */
static void
test_expiry (void)
{
  struct fixture fixture;
  struct hs_request_info request = make_request (1, 10, 5);
  struct hs_response_info response = make_response (1, 5);
  struct hs_request_decision decision;

  fixture_init (&fixture);
  submit (&fixture, &request, 0);
  hs_timers_advance (fixture.timers, DEADLINE_MS - 10);
  g_assert_cmpuint (fixture.expired_count, ==, 0);
  hs_timers_advance (fixture.timers, DEADLINE_MS + 10);
  g_assert_cmpuint (fixture.expired_count, ==, 1);
  decision = hs_tracker_request (fixture.tracker, &request, DEADLINE_MS + 20);
  g_assert_cmpint (decision.action, ==, HS_REQUEST_REFUSE);
  g_assert_cmpint (decision.verdict.outcome, ==, HS_OUTCOME_MAY_HAVE_RUN);
  g_assert_false (hs_tracker_handle_response (
      fixture.tracker, &response, (const uint8_t *)"late", 4, 2000));
  g_assert_cmpuint (hs_tracker_totals (fixture.tracker).may_have_run, ==, 1);
  check_totals (&fixture);
  talloc_free (fixture.root);
}

/* A stream counts as one executed request.  It outlives the deadline and ends
   when the caller rejects its latest notification.  */
static void
test_streams (void)
{
  struct fixture fixture;
  struct hs_request_info request = make_request (1, 10, 5);
  struct hs_response_info response = make_response (1, 5);

  fixture_init (&fixture);
  request.opens_stream = true;
  response.more_follow = true;
  submit (&fixture, &request, 0);
  for (uint16_t i = 0; i < 5; i++)
    {
      response.message_id = (uint16_t)(100 + i);
      g_assert_true (hs_tracker_handle_response (fixture.tracker, &response,
                                                 (const uint8_t *)"n", 1, i));
    }
  g_assert_cmpuint (hs_tracker_totals (fixture.tracker).streams, ==, 1);
  g_assert_cmpuint (hs_tracker_totals (fixture.tracker).ran, ==, 1);
  hs_timers_advance (fixture.timers, 10 * DEADLINE_MS);
  g_assert_cmpuint (fixture.expired_count, ==, 0);
  hs_tracker_handle_caller_reset (fixture.tracker, &request.flow_key, 103);
  g_assert_cmpuint (hs_tracker_totals (fixture.tracker).streams, ==, 1);
  hs_tracker_handle_caller_reset (fixture.tracker, &request.flow_key, 104);
  g_assert_cmpuint (hs_tracker_totals (fixture.tracker).streams, ==, 0);
  check_totals (&fixture);
  talloc_free (fixture.root);
}

/* A full table evicts records of idempotent requests only.  */
static void
test_full_table (void)
{
  struct fixture fixture;
  struct hs_request_info request;
  struct hs_response_info response;
  struct hs_request_decision decision;

  fixture_init (&fixture);
  for (uint32_t i = 0; i < HS_REQUEST_RECORDS_MAX; i++)
    {
      request = make_request ((uint16_t)(i % 1000), (uint16_t)(i / 1000), 1);
      request.idempotent = i == 0;
      response = make_response ((uint16_t)(i % 1000), 1);
      g_assert_cmpint (submit (&fixture, &request, 0), ==, HS_REQUEST_DELIVER);
      hs_tracker_handle_response (fixture.tracker, &response,
                                  (const uint8_t *)"a", 1, 0);
    }
  request = make_request (2000, 1, 1);
  request.idempotent = false;
  g_assert_cmpint (submit (&fixture, &request, 1), ==, HS_REQUEST_DELIVER);
  request = make_request (2001, 1, 1);
  decision = hs_tracker_request (fixture.tracker, &request, 1);
  g_assert_cmpint (decision.action, ==, HS_REQUEST_REFUSE);
  g_assert_cmpint (decision.verdict.outcome, ==, HS_OUTCOME_NOT_RUN);
  request = make_request (1, 0, 1);
  g_assert_cmpint (submit (&fixture, &request, 1), ==, HS_REQUEST_REPLAY);
  /* Expired records are removed, which makes room.  */
  request = make_request (2001, 1, 1);
  g_assert_cmpint (
      submit (&fixture, &request, HS_REQUEST_RECORD_LIFETIME_MS + 1), ==,
      HS_REQUEST_DELIVER);
  check_totals (&fixture);
  talloc_free (fixture.root);
}

/* In any order of events, the totals add up and a message id is delivered only
   once in the lifetime of its record.  */
static void
test_random (void)
{
  struct fixture fixture;
  g_autoptr (GRand) rand = g_rand_new_with_seed (5);
  uint8_t delivered[CALLERS][256] = { 0 };
  uint64_t now = 0;

  fixture_init (&fixture);
  for (int i = 0; i < STEPS; i++)
    {
      uint16_t caller = (uint16_t)g_rand_int_range (rand, 0, CALLERS);
      uint16_t id = (uint16_t)g_rand_int_range (rand, 0, 256);
      struct hs_request_info request
          = make_request (caller, id, (uint8_t)(id % 7));
      struct hs_response_info response
          = make_response (caller, (uint8_t)(id % 7));

      switch (g_rand_int_range (rand, 0, 6))
        {
        case 0:
        case 1:
          request.opens_stream = id % 5 == 0;
          if (submit (&fixture, &request, now) == HS_REQUEST_DELIVER)
            g_assert_cmpuint (delivered[caller][id]++, ==, 0);
          break;
        case 2:
          response.more_follow = g_rand_boolean (rand);
          response.refused = g_rand_int_range (rand, 0, 4) == 0;
          hs_tracker_handle_response (fixture.tracker, &response,
                                      (const uint8_t *)"x", 1, now);
          break;
        case 3:
          hs_tracker_handle_caller_reset (fixture.tracker, &request.flow_key,
                                          id);
          break;
        case 4:
          if (g_rand_int_range (rand, 0, 50) == 0)
            hs_tracker_close_flow (fixture.tracker, &request.flow_key, now);
          break;
        case 5:
          now += 1;
          hs_timers_advance (fixture.timers, now);
          break;
        }
      check_totals (&fixture);
    }
  g_assert_cmpuint (now, <, HS_REQUEST_RECORD_LIFETIME_MS);
  talloc_free (fixture.root);
}

/* Public definitions.  */

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request/duplicates", test_duplicates);
  g_test_add_func ("/request/response-matches-flow",
                   test_response_matches_flow);
  g_test_add_func ("/request/expiry", test_expiry);
  g_test_add_func ("/request/streams", test_streams);
  g_test_add_func ("/request/full-table", test_full_table);
  g_test_add_func ("/request/random", test_random);
  return g_test_run ();
}
