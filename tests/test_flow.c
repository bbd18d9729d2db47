/* test_flow.c -- the ownership of flows under planned changes and under
   faults.

   The fault matrix runs one scenario of planned changes many times, each time
   with one fault at one step.  Further cases have two faults at two steps.  A
   step is a message or a packet that an agent sends to another agent.  With
   SAMPLE=N in the environment, only every Nth case runs, for slow builds.  */

#include "fakes/simulation.h"

#include <stdio.h>
#include <stdlib.h>

/* Types.  */

#define END_MS 60000
#define FAULT_PAIRS 300       /* Cases with two faults.  */
#define FAULT_PAIRS_WIDE 6000 /* The same, for /flow/pairs-wide.  */
#define BASE_SEED 11

/* Private functions.  */

/* Agents join, restart and drain; an entry stops and restarts.  */
static void
run_scenario (struct simulation *sim)
{
  for (size_t i = 0; i < 3; i++)
    sim_start_agent (sim, i, SIM_SERVICE_A);
  sim_start_agent (sim, 7, SIM_SERVICE_B);
  for (size_t i = 0; i < SIM_ENTRIES; i++)
    sim_start_entry (sim, i);
  sim_run (sim, 8000);
  sim_start_agent (sim, 3, SIM_SERVICE_A);
  sim_run (sim, 11000);
  sim_stop_agent (sim, 1);
  sim_run (sim, 11500);
  sim_start_agent (sim, 1, SIM_SERVICE_A);
  sim_run (sim, 15000);
  sim_stop_entry (sim, 0);
  sim_run (sim, 15500);
  sim_start_entry (sim, 0);
  sim_drain_agent (sim, 2);
  sim_run (sim, 17000);
  sim_start_agent (sim, 4, SIM_SERVICE_A);
  sim_run (sim, END_MS);
  sim_run (sim, sim_recovery_end (sim));
}

/* Whether the run violated no invariant: packets reach their service and are
   all accounted for, owners change only by a fault, no flow has two owners, no
   two agents run non-idempotent work of one flow, draining agents open no
   flow, and all flows are served at the end.  */
static bool
case_passes (const struct sim_report *report)
{
  return report->wrong_service == 0 && report->moved == 0
         && report->duplicate_owners == 0 && report->duplicate_owners_end == 0
         && report->duplicate_work == 0 && report->opened_draining == 0
         && report->unserved_end == 0
         && report->sent
                == report->served + report->refused + report->lost
                       + report->waiting;
}

static void
print_report (const struct sim_report *report)
{
  fprintf (
      stderr,
      "sent %llu served %llu refused %llu lost %llu waiting %llu "
      "wrong_service %llu moved %llu moved_by_fault %llu "
      "duplicate_owners %llu duplicate_owners_end %llu duplicate_work %llu "
      "opened_draining %llu unserved_end %llu work_run %llu\n",
      (unsigned long long)report->sent, (unsigned long long)report->served,
      (unsigned long long)report->refused, (unsigned long long)report->lost,
      (unsigned long long)report->waiting,
      (unsigned long long)report->wrong_service,
      (unsigned long long)report->moved,
      (unsigned long long)report->moved_by_fault,
      (unsigned long long)report->duplicate_owners,
      (unsigned long long)report->duplicate_owners_end,
      (unsigned long long)report->duplicate_work,
      (unsigned long long)report->opened_draining,
      (unsigned long long)report->unserved_end,
      (unsigned long long)report->work_run);
}

/* Runs the scenario with up to two faults; SIM_FAULT_NONE stands for no fault.
   A failure prints the seed and the faults, and with TRACE in the environment
   the events as well.  */
static bool
run_case (uint64_t seed, enum sim_fault first, uint64_t first_step,
          enum sim_fault second, uint64_t second_step)
{
  struct simulation *sim = sim_create (seed);
  struct sim_report report;
  bool passes;

  sim_inject (sim, first, first_step);
  if (second != SIM_FAULT_NONE)
    sim_inject (sim, second, second_step);
  run_scenario (sim);
  report = sim_report (sim);
  passes = case_passes (&report);
  if (!passes)
    {
      fprintf (stderr, "failed: seed %llu %s@%llu %s@%llu\n",
               (unsigned long long)seed, sim_fault_name (first),
               (unsigned long long)first_step, sim_fault_name (second),
               (unsigned long long)second_step);
      print_report (&report);
      if (g_getenv ("TRACE") != NULL)
        sim_print_trace (sim);
    }
  sim_destroy (sim);
  return passes;
}

static uint64_t
count_steps (uint64_t seed)
{
  struct simulation *sim = sim_create (seed);
  uint64_t steps;

  run_scenario (sim);
  steps = sim_report (sim).steps;
  sim_destroy (sim);
  return steps;
}

/* A packet that is meant for another service, or for another incarnation of
   the agent, is refused.  Otherwise an agent that reuses an address would
   serve packets that are meant for the earlier agent at that address.  */
static void
test_wrong_receiver (void)
{
  struct simulation *sim = sim_create (BASE_SEED);
  struct hs_hop hop = { .service_id = SIM_SERVICE_A, .caller = { .port = 9 } };
  struct hs_route_decision route;

  sim_start_agent (sim, 0, SIM_SERVICE_A);
  sim_set_callers (sim, false);
  sim_run (sim, 5000);
  /* The first incarnation of an agent of the simulation is 2.  */
  hop.to_incarnation = 1;
  route = hs_ownership_route (sim_ownership (sim, 0), &hop, 5000);
  g_assert_cmpint (route.kind, ==, HS_ROUTE_REFUSE);
  g_assert_cmpint (route.reason, ==, HS_REASON_WRONG_HOST);
  hop.to_incarnation = 2;
  hop.service_id = SIM_SERVICE_B;
  route = hs_ownership_route (sim_ownership (sim, 0), &hop, 5000);
  g_assert_cmpint (route.kind, ==, HS_ROUTE_REFUSE);
  g_assert_cmpint (route.reason, ==, HS_REASON_WRONG_SERVICE);
  hop.service_id = SIM_SERVICE_A;
  route = hs_ownership_route (sim_ownership (sim, 0), &hop, 5000);
  g_assert_cmpint (route.kind, ==, HS_ROUTE_SERVE);
  sim_destroy (sim);
}

/* A draining directory that cannot query all members assigns a flow as
   uncertain.  Every packet must carry that flag, because the first to arrive
   at the new owner opens the flow; a packet without it would open the flow as
   certain.  */
static void
test_uncertain_on_every_packet (void)
{
  struct simulation *sim = sim_create (BASE_SEED);
  struct hs_hop hop = { .service_id = SIM_SERVICE_A, .to_incarnation = 2 };
  struct hs_ownership *directory;
  uint64_t forwarded_count = 0;

  sim_set_callers (sim, false);
  for (size_t i = 0; i < 4; i++)
    sim_start_agent (sim, i, SIM_SERVICE_A);
  sim_run (sim, 5000);
  sim_stop_agent (sim, 2);
  sim_stop_agent (sim, 3);
  sim_run (sim, 15000);
  sim_drain_agent (sim, 0);
  sim_run (sim, 15500);
  directory = sim_ownership (sim, 0);
  for (uint16_t port = 1; port <= 64; port++)
    {
      struct hs_route_decision route;

      hop.caller.port = port;
      if (hs_ownership_route (directory, &hop, 15500).kind != HS_ROUTE_WAIT)
        continue;
      /* The stopped members are queried first, and ignored after the
         timeout.  */
      hs_ownership_tick (directory, 16000);
      for (size_t i = 0; i < 2; i++)
        {
          route = hs_ownership_route (directory, &hop, 16000);
          g_assert_cmpint (route.kind, ==, HS_ROUTE_FORWARD);
          g_assert_true (route.next_uncertain);
        }
      forwarded_count++;
    }
  g_assert_cmpuint (forwarded_count, >, 0);
  sim_destroy (sim);
}

/* Flows stay open while hundreds of views follow each other.  */
static void
test_many_views (void)
{
  struct simulation *sim = sim_create (BASE_SEED);
  struct sim_report report;

  for (size_t i = 0; i < 4; i++)
    sim_start_agent (sim, i, SIM_SERVICE_A);
  for (size_t i = 0; i < SIM_ENTRIES; i++)
    sim_start_entry (sim, i);
  sim_run (sim, 10000);
  for (uint64_t i = 0; i < 100; i++)
    {
      size_t agent = 2 + i % 2;

      sim_stop_agent (sim, agent);
      sim_run (sim, 10000 + i * 3000 + 300);
      sim_start_agent (sim, agent, SIM_SERVICE_A);
      sim_run (sim, 10000 + i * 3000 + 3000);
    }
  report = sim_report (sim);
  if (!case_passes (&report))
    print_report (&report);
  g_assert_true (case_passes (&report));
  sim_destroy (sim);
}

static void
test_planned_changes (void)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    g_assert_true (run_case (seed, SIM_FAULT_NONE, 0, SIM_FAULT_NONE, 0));
}

static uint64_t
sample_stride (void)
{
  const char *text = g_getenv ("SAMPLE");

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 1;
}

static void
test_matrix (gconstpointer data)
{
  enum sim_fault fault = (enum sim_fault)GPOINTER_TO_INT (data);
  uint64_t steps = count_steps (BASE_SEED);
  uint64_t stride = sample_stride ();
  uint64_t failed = 0;

  for (uint64_t step = 1; step <= steps; step += stride)
    failed += !run_case (BASE_SEED, fault, step, SIM_FAULT_NONE, 0);
  if (failed > 0)
    fprintf (stderr, "%s: %llu of %llu cases failed\n", sim_fault_name (fault),
             (unsigned long long)failed, (unsigned long long)(steps / stride));
  g_assert_cmpuint (failed, ==, 0);
}

static void
test_pairs (gconstpointer data)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (BASE_SEED);
  uint64_t steps = count_steps (BASE_SEED);
  int cases = GPOINTER_TO_INT (data) / (int)sample_stride ();
  uint64_t failed = 0;

  for (int i = 0; i < cases; i++)
    {
      uint64_t seed = (uint64_t)g_rand_int_range (rand, 1, 1000);
      enum sim_fault first
          = (enum sim_fault)g_rand_int_range (rand, 1, SIM_FAULT_COUNT);
      enum sim_fault second
          = (enum sim_fault)g_rand_int_range (rand, 1, SIM_FAULT_COUNT);
      uint64_t first_step
          = (uint64_t)g_rand_int_range (rand, 1, (gint32)steps);
      uint64_t second_step
          = (uint64_t)g_rand_int_range (rand, 1, (gint32)steps);

      failed += !run_case (seed, first, first_step, second, second_step);
    }
  fprintf (stderr, "pairs: %llu of %d cases failed\n",
           (unsigned long long)failed, cases);
  g_assert_cmpuint (failed, ==, 0);
}

/* Public definitions.  */

/* With CELL="seed fault step fault step" in the environment, only that case
   runs; faults are given by their number in enum sim_fault.  */
int
main (int argc, char **argv)
{
  const char *case_text = g_getenv ("CELL");

  g_test_init (&argc, &argv, NULL);
  if (case_text != NULL)
    {
      unsigned long long seed;
      unsigned long long steps[2];
      int faults[2];

      if (sscanf (case_text, "%llu %d %llu %d %llu", &seed, &faults[0],
                  &steps[0], &faults[1], &steps[1])
          != 5)
        return EXIT_FAILURE;
      return run_case (seed, (enum sim_fault)faults[0], steps[0],
                       (enum sim_fault)faults[1], steps[1])
                 ? EXIT_SUCCESS
                 : EXIT_FAILURE;
    }
  g_test_add_func ("/flow/meant-for-another", test_wrong_receiver);
  g_test_add_func ("/flow/uncertain-on-every-packet",
                   test_uncertain_on_every_packet);
  g_test_add_func ("/flow/hundreds-of-views", test_many_views);
  g_test_add_func ("/flow/planned-changes", test_planned_changes);
  for (int fault = SIM_FAULT_PACKET_LOSS; fault < SIM_FAULT_COUNT; fault++)
    {
      g_autofree char *path = g_strdup_printf (
          "/flow/matrix/%s", sim_fault_name ((enum sim_fault)fault));

      g_test_add_data_func (path, GINT_TO_POINTER (fault), test_matrix);
    }
  g_test_add_data_func ("/flow/pairs", GINT_TO_POINTER (FAULT_PAIRS),
                        test_pairs);
  g_test_add_data_func ("/flow/pairs-wide", GINT_TO_POINTER (FAULT_PAIRS_WIDE),
                        test_pairs);
  return g_test_run ();
}
