/* test_syn_queue.c -- the SYNs that an agent holds while its upstream has no
   room.

   Guards against callers that are refused until they give up though their
   upstream has time for them (after an outage), and against late requests that
   take room from those that could be in time (lasting overload).  */

#include "agent/held_syns.h"
#include "base/addr.h"
#include "base/auto.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define SERVICE "alpha"
#define SLOTS 2
#define QUEUE 8 /* Requests beyond the slots that the upstream takes.  */
#define WORK_MS 25
#define SLO_MS 200
#define LIMIT_MS 2000
#define RETRIES 2
#define RETRY_DELAY_MS 10
#define SYN_GIVE_UP_MS 1400
#define ROUND_TRIP_MS 3
#define CALLERS_MAX 4096
#define AGENT_TICK_MS 100
#define HEARTBEAT_MS 1000

enum caller_state
{
  CALLER_IDLE, /* The next attempt starts at NEXT_AT.  */
  CALLER_SYN_SENT,
  CALLER_ACCEPTED, /* The request is sent at NEXT_AT.  */
  CALLER_WAITING,  /* For the answer.  */
  CALLER_DONE
};

struct caller
{
  enum caller_state state;
  uint64_t started_at; /* ms, of the first attempt.  */
  uint64_t next_at;    /* ms  */
  uint64_t syn_at;     /* ms, of the latest attempt.  */
  unsigned int attempts;
  uint16_t port;
  uint64_t answered_at; /* ms; 0: not yet.  */
};

struct simulation
{
  struct hs_sidecar *sidecar;
  struct hs_held_syns *held;
  uint32_t hold_max_ms; /* 0: nothing is held.  */
  uint64_t now;
  uint16_t next_port;
  size_t callers_len;
  struct caller callers[CALLERS_MAX];
  size_t running_len; /* Callers at the upstream, those in slots first.  */
  struct caller *running[SLOTS + QUEUE];
  uint64_t ends_at[SLOTS + QUEUE]; /* ms, of those in slots.  */
  unsigned int expired;            /* SYNs that were held and refused.  */
};

struct outcome
{
  unsigned int requests;
  unsigned int answered; /* Within the limit.  */
  unsigned int in_time;
  unsigned int expired;
};

/* Private functions.  */

static void
ignore_lost (void *ctx, const struct hs_segment *segment)
{
  (void)ctx;
  (void)segment;
}

static struct hs_segment
make_segment (const struct caller *caller, unsigned int flags,
              uint16_t payload_len, bool from_caller)
{
  struct hs_addr address = hs_addr_from_ipv4 (0xc6120001, 80);
  struct hs_addr source = hs_addr_from_ipv4 (0x64400007, caller->port);

  return (struct hs_segment){ .from = from_caller ? source : address,
                              .to = from_caller ? address : source,
                              .flags = flags,
                              .seq = 100,
                              .ack = flags == HS_SEGMENT_SYN ? 0 : 101,
                              .payload_len = payload_len };
}

static struct caller *
find_caller (struct simulation *sim, uint16_t port)
{
  for (size_t i = 0; i < sim->callers_len; i++)
    if (sim->callers[i].port == port)
      return &sim->callers[i];
  return NULL;
}

/* The upstream accepts each SYN; the caller completes the handshake unless it
   has given up.  */
static void
accept_syn (struct simulation *sim, struct caller *caller)
{
  struct hs_segment answer
      = make_segment (caller, HS_SEGMENT_SYN | HS_SEGMENT_ACK, 0, false);

  answer.seq = 100;
  hs_sidecar_handle_upstream_segment (sim->sidecar, &answer, sim->now);
  if (caller->state != CALLER_SYN_SENT)
    return;
  caller->state = CALLER_ACCEPTED;
  caller->next_at = sim->now + ROUND_TRIP_MS;
}

static void
refuse_caller (struct simulation *sim, struct caller *caller)
{
  if (caller->state != CALLER_SYN_SENT)
    return;
  caller->state = caller->attempts <= RETRIES ? CALLER_IDLE : CALLER_DONE;
  caller->next_at = sim->now + RETRY_DELAY_MS;
}

static void
on_released (void *ctx, const struct hs_released_syn *syn,
             const struct hs_sidecar_decision *decision)
{
  struct simulation *sim = ctx;
  struct caller *caller = find_caller (sim, syn->segment.from.port);

  sim->expired += decision->action == HS_SIDECAR_REFUSE;
  if (caller == NULL)
    return;
  if (decision->action == HS_SIDECAR_TO_UPSTREAM)
    accept_syn (sim, caller);
  else
    refuse_caller (sim, caller);
}

static void
send_syn (struct simulation *sim, struct caller *caller)
{
  struct hs_addr entry = hs_addr_from_ipv4 (0x0a000009, 7000);
  struct hs_segment syn;
  struct hs_sidecar_decision decision;
  struct hs_syn_terms terms
      = { .entry = entry,
          .service_id = hs_id_from_name (SERVICE),
          .wait_max_ms = hs_overload_wait_max_ms (SLO_MS, 2, WORK_MS * 1000),
          .hold_max_ms = sim->hold_max_ms,
          .priority = 2 };

  caller->attempts++;
  caller->port = ++sim->next_port;
  caller->state = CALLER_SYN_SENT;
  caller->syn_at = sim->now;
  syn = make_segment (caller, HS_SEGMENT_SYN, 0, true);
  decision = hs_sidecar_handle_entry_segment (
      sim->sidecar, &syn, &entry, terms.service_id, terms.wait_max_ms, 0,
      false, sim->now);
  if (hs_held_syns_filter (sim->held, &syn, (const uint8_t *)"syn", 3, &terms,
                           &decision, sim->now))
    return;
  if (decision.action == HS_SIDECAR_TO_UPSTREAM)
    accept_syn (sim, caller);
  else
    refuse_caller (sim, caller);
}

/* Full queues cannot arise: the agent refuses or holds SYNs before.  */
static void
send_request (struct simulation *sim, struct caller *caller)
{
  struct hs_addr entry = hs_addr_from_ipv4 (0x0a000009, 7000);
  struct hs_segment request = make_segment (caller, HS_SEGMENT_ACK, 20, true);

  request.seq = 101;
  hs_sidecar_handle_entry_segment (sim->sidecar, &request, &entry,
                                   hs_id_from_name (SERVICE), 0, 0, false,
                                   sim->now);
  g_assert_cmpuint (sim->running_len, <, SLOTS + QUEUE);
  if (sim->running_len < SLOTS)
    sim->ends_at[sim->running_len] = sim->now + WORK_MS;
  sim->running[sim->running_len++] = caller;
  caller->state = CALLER_WAITING;
}

/* Answers the request in slot INDEX; the next queued one takes its place.  */
static void
answer_request (struct simulation *sim, size_t index)
{
  struct caller *caller = sim->running[index];
  struct hs_segment response
      = make_segment (caller, HS_SEGMENT_ACK, 50, false);
  struct hs_segment reset = make_segment (caller, HS_SEGMENT_RST, 0, true);
  struct hs_addr entry = hs_addr_from_ipv4 (0x0a000009, 7000);

  caller->state = CALLER_DONE;
  caller->answered_at = sim->now;
  sim->running_len--;
  if (sim->running_len >= SLOTS)
    {
      sim->running[index] = sim->running[SLOTS];
      sim->ends_at[index] = sim->now + WORK_MS;
      memmove (&sim->running[SLOTS], &sim->running[SLOTS + 1],
               (sim->running_len - SLOTS) * sizeof sim->running[0]);
    }
  else
    {
      sim->running[index] = sim->running[sim->running_len];
      sim->ends_at[index] = sim->ends_at[sim->running_len];
    }
  hs_sidecar_handle_upstream_segment (sim->sidecar, &response, sim->now);
  hs_sidecar_handle_entry_segment (sim->sidecar, &reset, &entry,
                                   hs_id_from_name (SERVICE), 0, 0, false,
                                   sim->now);
  hs_held_syns_release (sim->held, sim->now);
}

static void
advance_caller (struct simulation *sim, struct caller *caller)
{
  if (caller->state == CALLER_IDLE && sim->now >= caller->next_at)
    send_syn (sim, caller);
  else if (caller->state == CALLER_ACCEPTED && sim->now >= caller->next_at)
    send_request (sim, caller);
  else if (caller->state == CALLER_SYN_SENT
           && sim->now >= caller->started_at + LIMIT_MS)
    caller->state = CALLER_DONE;
  else if (caller->state == CALLER_SYN_SENT
           && sim->now >= caller->syn_at + SYN_GIVE_UP_MS)
    refuse_caller (sim, caller);
}

static void
advance (struct simulation *sim)
{
  if (sim->now % HEARTBEAT_MS == 0)
    {
      struct hs_heartbeat heartbeat = { .id = "i",
                                        .service_name = SERVICE,
                                        .state = HS_UPSTREAM_READY,
                                        .slots = SLOTS,
                                        .started_at = 1,
                                        .seq = sim->now / HEARTBEAT_MS + 1 };

      heartbeat.address = hs_addr_from_ipv4 (0x0a000001, 8080);
      g_assert_true (hs_sidecar_handle_heartbeat (sim->sidecar, &heartbeat,
                                                  sim->now, NULL));
    }
  for (size_t i = 0; i < SLOTS && i < sim->running_len; i++)
    while (i < sim->running_len && sim->now >= sim->ends_at[i])
      answer_request (sim, i);
  for (size_t i = 0; i < sim->callers_len; i++)
    advance_caller (sim, &sim->callers[i]);
  if (sim->now % AGENT_TICK_MS == 0)
    {
      hs_sidecar_tick (sim->sidecar, sim->now);
      hs_held_syns_tick (sim->held, sim->now);
    }
}

static void
add_caller (struct simulation *sim)
{
  struct caller *caller = &sim->callers[sim->callers_len++];

  g_assert_cmpuint (sim->callers_len, <=, CALLERS_MAX);
  caller->started_at = sim->now;
  caller->next_at = sim->now;
}

/* Plays a load: BACKLOG callers at once, and then PER_S callers a second for
   FOR_MS.  */
static struct outcome
play (uint32_t hold_max_ms, unsigned int backlog, unsigned int per_s,
      uint64_t for_ms)
{
  HS_AUTO_TALLOC struct simulation *sim
      = talloc_zero (NULL, struct simulation);
  struct hs_sidecar_ops sidecar_ops = { ignore_lost };
  struct hs_held_syns_ops ops = { on_released };
  struct hs_addr upstream = hs_addr_from_ipv4 (0x0a000001, 8080);
  struct outcome outcome = { 0 };
  uint64_t due = 0; /* Thousandths of a caller.  */

  sim->sidecar = hs_sidecar_create (sim, SERVICE, &upstream, HEARTBEAT_MS, 0,
                                    &sidecar_ops, sim);
  sim->held = hs_held_syns_create (sim, sim->sidecar, &ops, sim);
  sim->hold_max_ms = hold_max_ms;
  for (sim->now = 1000; sim->now < 1000 + for_ms + 2 * LIMIT_MS; sim->now++)
    {
      for (; sim->now == 1000 && sim->callers_len < backlog;)
        add_caller (sim);
      due += sim->now < 1000 + for_ms ? per_s : 0;
      for (; due >= 1000; due -= 1000)
        add_caller (sim);
      advance (sim);
    }
  for (size_t i = 0; i < sim->callers_len; i++)
    {
      const struct caller *caller = &sim->callers[i];
      uint64_t took = caller->answered_at - caller->started_at;

      outcome.answered += caller->answered_at != 0 && took <= LIMIT_MS;
      outcome.in_time += caller->answered_at != 0 && took <= SLO_MS;
    }
  outcome.requests = (unsigned int)sim->callers_len;
  outcome.expired = sim->expired;
  return outcome;
}

static uint32_t
hold_max_ms (void)
{
  return hs_overload_hold_max_ms (SLO_MS, LIMIT_MS, 0);
}

/* After an outage: the upstream runs 80 requests a second, 35 come, and those
   of the 1.5 s before come at once.  Nearly all can be answered in time for
   their limit, and are; without holding, many callers give up within 30 ms. */
static void
test_backlog_after_outage (void)
{
  struct outcome held = play (hold_max_ms (), 52, 35, 4000);
  struct outcome refused = play (0, 52, 35, 4000);

  g_test_message ("answered: held %u, refused %u of %u; in time %u, %u",
                  held.answered, refused.answered, held.requests, held.in_time,
                  refused.in_time);
  g_assert_cmpuint (held.answered * 100, >=, held.requests * 98);
  g_assert_cmpuint (refused.answered, <, held.answered);
  g_assert_cmpuint (held.in_time * 100, >=, refused.in_time * 95);
}

/* A lasting overload of 1.5 times: the slots are needed for what can be in
   time.  Late requests do not take them, and few callers are kept waiting in
   vain.  */
static void
test_lasting_overload (void)
{
  struct outcome held = play (hold_max_ms (), 0, 120, 8000);
  struct outcome refused = play (0, 0, 120, 8000);

  g_test_message ("in time: held %u, refused %u of %u; expired %u",
                  held.in_time, refused.in_time, held.requests, held.expired);
  g_assert_cmpuint (held.in_time * 100, >=, refused.in_time * 97);
  g_assert_cmpuint (held.expired * 10, <=, held.requests);
}

/* Nothing is held, and all is in time, at half of the capacity.  */
static void
test_half_load (void)
{
  struct outcome outcome = play (hold_max_ms (), 0, 40, 4000);

  g_assert_cmpuint (outcome.in_time, ==, outcome.requests);
  g_assert_cmpuint (outcome.expired, ==, 0);
}

/* What can be in time comes first, and late SYNs need an idle slot; a SYN is
   never released after its time.  */
static void
test_order (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_syn_queue *queue = hs_syn_queue_create (root);
  struct hs_held_syn late = { .priority = 0 };
  struct hs_held_syn low = { .priority = 2 };
  struct hs_held_syn high = { .priority = 1 };

  hs_syn_queue_hold (queue, &late, 10, 900, 0);
  hs_syn_queue_hold (queue, &low, 200, 1000, 20);
  hs_syn_queue_hold (queue, &high, 200, 1000, 30);
  g_assert_true (hs_syn_queue_next (queue, true, 50) == &high);
  hs_syn_queue_release (queue, &high, 50);
  g_assert_true (hs_syn_queue_next (queue, true, 50) == &low);
  g_assert_null (hs_syn_queue_next (queue, false, 500));
  g_assert_true (hs_syn_queue_next (queue, true, 500) == &late);
  g_assert_true (hs_syn_queue_next (queue, true, 950) == &low);
  g_assert_true (hs_syn_queue_take_expired (queue, 950) == &late);
  g_assert_null (hs_syn_queue_take_expired (queue, 950));
  g_assert_null (hs_syn_queue_next (queue, true, 1020));
  g_assert_true (hs_syn_queue_take_any (queue) == &low);
  g_assert_cmpuint (hs_syn_queue_len (queue), ==, 0);
}

/* The room shrinks while SYNs expire, and comes back with time.  */
static void
test_room (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_syn_queue *queue = hs_syn_queue_create (root);
  struct hs_held_syn syns[20] = { { .priority = 1 } };
  uint32_t before = hs_syn_queue_room (queue, SLOTS, 25000, 1000, 0);
  uint32_t after;

  g_assert_cmpuint (before, >, 20);
  g_assert_cmpuint (hs_syn_queue_room (queue, SLOTS, 1, 1000, 0), ==,
                    HS_HELD_SYNS_MAX);
  for (size_t i = 0; i < G_N_ELEMENTS (syns); i++)
    hs_syn_queue_hold (queue, &syns[i], 10, 1000, 0);
  g_assert_cmpuint (hs_syn_queue_room (queue, SLOTS, 25000, 1000, 0), ==,
                    before - 20);
  while (hs_syn_queue_take_expired (queue, 1000) != NULL)
    ;
  after = hs_syn_queue_room (queue, SLOTS, 25000, 1000, 1000);
  g_assert_cmpuint (after * 4, <, before);
  g_assert_cmpuint (hs_syn_queue_room (queue, SLOTS, 25000, 1000, 20000), ==,
                    before);
}

/* No answer after the objective is of use, or the caller has waited too long
   already.  */
static void
test_hold_terms (void)
{
  g_assert_cmpuint (hs_overload_hold_max_ms (200, 2000, 0), >, 1000);
  g_assert_cmpuint (hs_overload_hold_max_ms (200, 500, 0), ==, 500);
  g_assert_cmpuint (hs_overload_hold_max_ms (200, 500, 200), ==, 300);
  g_assert_cmpuint (hs_overload_hold_max_ms (200, 200, 0), ==, 0);
  g_assert_cmpuint (hs_overload_hold_max_ms (0, 2000, 0), ==, 0);
  g_assert_cmpuint (hs_overload_hold_max_ms (200, 2000, 1400), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/syn-queue/backlog", test_backlog_after_outage);
  g_test_add_func ("/syn-queue/lasting-overload", test_lasting_overload);
  g_test_add_func ("/syn-queue/half-load", test_half_load);
  g_test_add_func ("/syn-queue/order", test_order);
  g_test_add_func ("/syn-queue/room", test_room);
  g_test_add_func ("/syn-queue/hold-terms", test_hold_terms);
  return g_test_run ();
}
