/* test_flow.c -- open flows under planned changes and under faults.

   The fault matrix runs one scenario of planned changes again and again,
   each time with one fault at one step, a step being a message that a core
   emitted, or with two faults at two steps.  SAMPLE=N in the environment
   tries every Nth step only, for slow builds.  */

#include "fakes/simulation.h"

#include <stdio.h>
#include <stdlib.h>

/* Types.  */

#define END_MS 60000
#define PAIRS 300       /* Cells with two faults.  */
#define PAIRS_WIDE 6000 /* The same, many more.  */
#define BASE_SEED 11

/* Private functions.  */

/* Agents join, restart, drain and leave; entries die and join.  */
static void
run_scenario (struct world *world)
{
  for (size_t i = 0; i < 3; i++)
    world_start_agent (world, i, WORLD_SERVICE_A);
  world_start_agent (world, 7, WORLD_SERVICE_B);
  for (size_t i = 0; i < WORLD_ENTRIES; i++)
    world_start_entry (world, i);
  world_run (world, 8000);
  world_start_agent (world, 3, WORLD_SERVICE_A);
  world_run (world, 11000);
  world_stop_agent (world, 1);
  world_run (world, 11500);
  world_start_agent (world, 1, WORLD_SERVICE_A);
  world_run (world, 15000);
  world_stop_entry (world, 0);
  world_run (world, 15500);
  world_start_entry (world, 0);
  world_leave_agent (world, 2);
  world_run (world, 17000);
  world_start_agent (world, 4, WORLD_SERVICE_A);
  world_run (world, END_MS);
  world_run (world, world_faults_end (world));
}

/* True if the cell keeps every promise.  */
static bool
cell_holds (const struct world_report *report)
{
  return report->astray == 0 && report->moved == 0 && report->doubled == 0
         && report->doubled_end == 0 && report->both_delivered == 0
         && report->opened_leaving == 0 && report->unserved_end == 0
         && report->sent
                == report->served + report->refused + report->lost
                       + report->waiting;
}

static void
print_cell (const struct world_report *report)
{
  fprintf (
      stderr,
      "sent %llu served %llu refused %llu lost %llu waiting %llu "
      "astray %llu moved %llu moved_faulty %llu doubled %llu "
      "doubled_end %llu both_delivered %llu opened_leaving %llu "
      "unserved_end %llu delivered %llu\n",
      (unsigned long long)report->sent, (unsigned long long)report->served,
      (unsigned long long)report->refused, (unsigned long long)report->lost,
      (unsigned long long)report->waiting, (unsigned long long)report->astray,
      (unsigned long long)report->moved,
      (unsigned long long)report->moved_faulty,
      (unsigned long long)report->doubled,
      (unsigned long long)report->doubled_end,
      (unsigned long long)report->both_delivered,
      (unsigned long long)report->opened_leaving,
      (unsigned long long)report->unserved_end,
      (unsigned long long)report->delivered);
}

/* Runs one cell; a red one prints its seed and what was injected.  */
static bool
run_cell (uint64_t seed, enum world_fault first, uint64_t first_step,
          enum world_fault second, uint64_t second_step)
{
  struct world *world = world_create (seed);
  struct world_report report;
  bool holds;

  world_inject (world, first, first_step);
  if (second != WORLD_NONE)
    world_inject (world, second, second_step);
  run_scenario (world);
  report = world_report (world);
  holds = cell_holds (&report);
  if (!holds)
    {
      fprintf (stderr, "red: seed %llu %s@%llu %s@%llu\n",
               (unsigned long long)seed, world_fault_name (first),
               (unsigned long long)first_step, world_fault_name (second),
               (unsigned long long)second_step);
      print_cell (&report);
      if (g_getenv ("TRACE") != NULL)
        world_trace (world);
    }
  world_destroy (world);
  return holds;
}

static uint64_t
count_steps (uint64_t seed)
{
  struct world *world = world_create (seed);
  uint64_t steps;

  run_scenario (world);
  steps = world_report (world).steps;
  world_destroy (world);
  return steps;
}

/* A packet for another service, or for another start of the process, is
   refused, whatever address it came to.  */
static void
test_meant_for_another (void)
{
  struct world *world = world_create (BASE_SEED);
  struct hs_hop hop
      = { .service_id = WORLD_SERVICE_A, .caller = { .port = 9 } };
  struct hs_route_decision route;

  world_start_agent (world, 0, WORLD_SERVICE_A);
  world_set_callers (world, false);
  world_run (world, 5000);
  /* Agents of the world begin with incarnation 2.  */
  hop.to_incarnation = 1;
  route = hs_ownership_route (world_holder (world, 0), &hop, 5000);
  g_assert_cmpint (route.kind, ==, HS_ROUTE_REFUSE);
  g_assert_cmpint (route.reason, ==, HS_REASON_WRONG_HOST);
  hop.to_incarnation = 2;
  hop.service_id = WORLD_SERVICE_B;
  route = hs_ownership_route (world_holder (world, 0), &hop, 5000);
  g_assert_cmpint (route.kind, ==, HS_ROUTE_REFUSE);
  g_assert_cmpint (route.reason, ==, HS_REASON_WRONG_SERVICE);
  hop.service_id = WORLD_SERVICE_A;
  route = hs_ownership_route (world_holder (world, 0), &hop, 5000);
  g_assert_cmpint (route.kind, ==, HS_ROUTE_SERVE);
  world_destroy (world);
}

/* A home that leaves places a flow elsewhere as uncertain: so say all of its
   packets, as any of them may be the first to arrive.  */
static void
test_uncertain_on_every_packet (void)
{
  struct world *world = world_create (BASE_SEED);
  struct hs_hop hop = { .service_id = WORLD_SERVICE_A, .to_incarnation = 2 };
  struct hs_ownership *home;
  uint64_t passed = 0;

  world_set_callers (world, false);
  for (size_t i = 0; i < 4; i++)
    world_start_agent (world, i, WORLD_SERVICE_A);
  world_run (world, 5000);
  world_stop_agent (world, 2);
  world_stop_agent (world, 3);
  world_run (world, 15000);
  world_leave_agent (world, 0);
  world_run (world, 15500);
  home = world_holder (world, 0);
  for (uint16_t port = 1; port <= 64; port++)
    {
      struct hs_route_decision route;

      hop.caller.port = port;
      if (hs_ownership_route (home, &hop, 15500).kind != HS_ROUTE_WAIT)
        continue;
      /* The members that are gone are asked, and then done without.  */
      hs_ownership_tick (home, 16000);
      for (size_t i = 0; i < 2; i++)
        {
          route = hs_ownership_route (home, &hop, 16000);
          g_assert_cmpint (route.kind, ==, HS_ROUTE_FORWARD);
          g_assert_true (route.next_uncertain);
        }
      passed++;
    }
  g_assert_cmpuint (passed, >, 0);
  world_destroy (world);
}

/* Hundreds of views pass under open flows.  */
static void
test_hundreds_of_views (void)
{
  struct world *world = world_create (BASE_SEED);
  struct world_report report;

  for (size_t i = 0; i < 4; i++)
    world_start_agent (world, i, WORLD_SERVICE_A);
  for (size_t i = 0; i < WORLD_ENTRIES; i++)
    world_start_entry (world, i);
  world_run (world, 10000);
  for (uint64_t i = 0; i < 100; i++)
    {
      size_t agent = 2 + i % 2;

      world_stop_agent (world, agent);
      world_run (world, 10000 + i * 3000 + 300);
      world_start_agent (world, agent, WORLD_SERVICE_A);
      world_run (world, 10000 + i * 3000 + 3000);
    }
  report = world_report (world);
  if (!cell_holds (&report))
    print_cell (&report);
  g_assert_true (cell_holds (&report));
  world_destroy (world);
}

static void
test_planned_changes (void)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    g_assert_true (run_cell (seed, WORLD_NONE, 0, WORLD_NONE, 0));
}

static uint64_t
sample (void)
{
  const char *text = g_getenv ("SAMPLE");

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 1;
}

static void
test_matrix (gconstpointer data)
{
  enum world_fault fault = (enum world_fault)GPOINTER_TO_INT (data);
  uint64_t steps = count_steps (BASE_SEED);
  uint64_t stride = sample ();
  uint64_t red = 0;

  for (uint64_t at = 1; at <= steps; at += stride)
    red += !run_cell (BASE_SEED, fault, at, WORLD_NONE, 0);
  if (red > 0)
    fprintf (stderr, "%s: %llu of %llu cells are red\n",
             world_fault_name (fault), (unsigned long long)red,
             (unsigned long long)(steps / stride));
  g_assert_cmpuint (red, ==, 0);
}

static void
test_pairs (gconstpointer data)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (BASE_SEED);
  uint64_t steps = count_steps (BASE_SEED);
  int cells = GPOINTER_TO_INT (data) / (int)sample ();
  uint64_t red = 0;

  for (int i = 0; i < cells; i++)
    {
      uint64_t seed = (uint64_t)g_rand_int_range (rand, 1, 1000);
      enum world_fault first
          = (enum world_fault)g_rand_int_range (rand, 1, WORLD_FAULTS);
      enum world_fault second
          = (enum world_fault)g_rand_int_range (rand, 1, WORLD_FAULTS);
      uint64_t first_step
          = (uint64_t)g_rand_int_range (rand, 1, (gint32)steps);
      uint64_t second_step
          = (uint64_t)g_rand_int_range (rand, 1, (gint32)steps);

      red += !run_cell (seed, first, first_step, second, second_step);
    }
  fprintf (stderr, "pairs: %llu of %d cells are red\n",
           (unsigned long long)red, cells);
  g_assert_cmpuint (red, ==, 0);
}

/* Public definitions.  */

/* With CELL="seed first step second step" in the environment, only that cell
   runs.  */
int
main (int argc, char **argv)
{
  const char *cell = g_getenv ("CELL");

  g_test_init (&argc, &argv, NULL);
  if (cell != NULL)
    {
      unsigned long long seed;
      unsigned long long steps[2];
      int faults[2];

      if (sscanf (cell, "%llu %d %llu %d %llu", &seed, &faults[0], &steps[0],
                  &faults[1], &steps[1])
          != 5)
        return EXIT_FAILURE;
      return run_cell (seed, (enum world_fault)faults[0], steps[0],
                       (enum world_fault)faults[1], steps[1])
                 ? EXIT_SUCCESS
                 : EXIT_FAILURE;
    }
  g_test_add_func ("/flow/meant-for-another", test_meant_for_another);
  g_test_add_func ("/flow/uncertain-on-every-packet",
                   test_uncertain_on_every_packet);
  g_test_add_func ("/flow/hundreds-of-views", test_hundreds_of_views);
  g_test_add_func ("/flow/planned-changes", test_planned_changes);
  for (int fault = WORLD_LOSE; fault < WORLD_FAULTS; fault++)
    {
      g_autofree char *path = g_strdup_printf (
          "/flow/matrix/%s", world_fault_name ((enum world_fault)fault));

      g_test_add_data_func (path, GINT_TO_POINTER (fault), test_matrix);
    }
  g_test_add_data_func ("/flow/pairs", GINT_TO_POINTER (PAIRS), test_pairs);
  g_test_add_data_func ("/flow/pairs-wide", GINT_TO_POINTER (PAIRS_WIDE),
                        test_pairs);
  return g_test_run ();
}
