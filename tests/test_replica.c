/* test_replica.c -- the control group under faults.

   The matrix injects one fault per run, at every MATRIX_STRIDE-th step of a
   fixed seed.  The pairs test injects two, at random steps, with a different
   seed in each run.  Each run checks that no acknowledged write is lost, no
   read is stale, no term has two leaders, and no two hosts apply different
   entries at one index.

   SAMPLE=N in the environment runs every Nth case only.  CELL="SEED
   FAULT@STEP FAULT@STEP" repeats one case.  */

#include "fakes/group.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

#define MATRIX_SEED 7
#define MATRIX_STRIDE 5 /* Steps between two cases of the matrix.  */
#define MATRIX_STEPS 900
#define PAIR_CASES 400
#define PAIR_FIRST_SEED 1000
#define FIXED_SEEDS 20

/* Allowed time from the loss of a leader to the next acknowledgement: two
   seconds for the election, the rest for operators to find the new
   leader.  */
#define ACK_GAP_MAX_MS 3500

/* Allowed time for the acknowledgement of a change while hosts are replaced,
   as the deployments set it.  */
#define ACK_MAX_MS 5000

/* A host without a network whose records are loaded by another one, as after a
   restart.  */
struct lone_host
{
  struct hs_replica *replica;
  struct hs_replica *restarted;
  uint64_t sync_seq;           /* Of the latest request to sync.  */
  uint64_t acknowledged_index; /* Highest one, of a successful reply.  */
};

/* Private functions.  */

static unsigned int
sample_stride (void)
{
  const char *text = getenv ("SAMPLE");

  return text != NULL ? (unsigned int)strtoul (text, NULL, 10) : 1;
}

static bool
run_case (uint64_t seed, const struct group_scheduled_fault *faults,
          size_t len)
{
  struct group_report report = group_simulate (seed, faults, len);

  if (group_report_passed (&report))
    return true;
  printf ("# failed: CELL=\"%llu", (unsigned long long)seed);
  for (size_t i = 0; i < len; i++)
    printf (" %s@%u", group_fault_name (faults[i].fault), faults[i].step);
  printf ("\" two_leaders %u conflicting_entries %u lost_writes %u "
          "stale_reads %u state_regressions %u no_leader %u "
          "without_leader %u acknowledged %u\n",
          report.two_leaders, report.conflicting_entries, report.lost_writes,
          report.stale_reads, report.state_regressions, report.no_leader,
          report.without_leader, report.acknowledged);
  return false;
}

static void
test_no_faults (void)
{
  for (uint64_t seed = 1; seed <= FIXED_SEEDS; seed++)
    {
      struct group_report report = group_simulate (seed, NULL, 0);

      g_assert_true (group_report_passed (&report));
      g_assert_cmpuint (report.reads, >, 0);
    }
}

/* A host loses power at a step that differs by seed.  Even if it was the
   leader, changes must be acknowledged again within ACK_GAP_MAX_MS.  */
static void
test_leader_lost (void)
{
  for (uint64_t seed = 1; seed <= FIXED_SEEDS; seed++)
    {
      struct group_scheduled_fault fault
          = { GROUP_FAULT_POWER_LOSS, 300 + 7 * (unsigned int)seed };
      struct group_report report = group_simulate (seed, &fault, 1);

      g_assert_true (group_report_passed (&report));
      g_assert_cmpuint (report.longest_gap_ms, <=, ACK_GAP_MAX_MS);
    }
}

/* Runs one case for each sampled step: the fault DATA occurs at that step.  */
static void
test_fault_matrix (gconstpointer data)
{
  enum group_fault fault = (enum group_fault)GPOINTER_TO_INT (data);
  unsigned int failed = 0;

  for (unsigned int step = 0; step < MATRIX_STEPS;
       step += MATRIX_STRIDE * sample_stride ())
    {
      struct group_scheduled_fault at = { fault, step };

      failed += !run_case (MATRIX_SEED, &at, 1);
    }
  g_assert_cmpuint (failed, ==, 0);
}

/* The same for groups of three and of four, which have fewer hosts to spare:
   each tolerates one loss.  */
static void
test_small_groups (gconstpointer data)
{
  enum group_fault fault = (enum group_fault)GPOINTER_TO_INT (data);
  unsigned int failed = 0;

  for (size_t hosts = 3; hosts < GROUP_HOSTS; hosts++)
    for (unsigned int step = 0; step < MATRIX_STEPS;
         step += MATRIX_STRIDE * sample_stride ())
      {
        struct group_scheduled_fault at = { fault, step };
        struct group_report report = group_simulate_plan (
            MATRIX_SEED, &(struct group_plan){ .hosts = hosts,
                                               .end_ms = 16000,
                                               .faults = &at,
                                               .faults_len = 1 });

        if (group_report_passed (&report))
          continue;
        printf ("# failed: hosts %zu %s@%u two_leaders %u lost_writes %u "
                "stale_reads %u state_regressions %u no_leader %u "
                "without_leader %u acknowledged %u\n",
                hosts, group_fault_name (fault), step, report.two_leaders,
                report.lost_writes, report.stale_reads,
                report.state_regressions, report.no_leader,
                report.without_leader, report.acknowledged);
        failed++;
      }
  g_assert_cmpuint (failed, ==, 0);
}

static void
test_fault_pairs (void)
{
  unsigned int failed = 0;

  for (unsigned int i = 0; i < PAIR_CASES; i += sample_stride ())
    {
      GRand *rand = g_rand_new_with_seed (PAIR_FIRST_SEED + i);
      struct group_scheduled_fault faults[2];

      for (size_t k = 0; k < 2; k++)
        {
          faults[k].fault = (enum group_fault)g_rand_int_range (
              rand, GROUP_FAULT_KILL, GROUP_FAULT_COUNT);
          faults[k].step
              = (unsigned int)g_rand_int_range (rand, 0, MATRIX_STEPS);
        }
      g_rand_free (rand);
      /* The group need not survive the loss of two disks.  */
      if (faults[0].fault == GROUP_FAULT_WIPE_DISK
          || faults[0].fault == GROUP_FAULT_REPLACE_HOST)
        if (faults[1].fault == GROUP_FAULT_WIPE_DISK
            || faults[1].fault == GROUP_FAULT_REPLACE_HOST)
          faults[1].fault = GROUP_FAULT_POWER_LOSS_ALL;
      failed += !run_case (PAIR_FIRST_SEED + i, faults, 2);
    }
  g_assert_cmpuint (failed, ==, 0);
}

/* Runs PLAN with FIXED_SEEDS seeds.  Changes must be acknowledged all the
   time, with gaps of no more than ACK_MAX_MS.  */
static void
run_plan (const struct group_plan *plan)
{
  unsigned int failed = 0;

  for (uint64_t seed = 1; seed <= FIXED_SEEDS; seed++)
    {
      struct group_report report = group_simulate_plan (seed, plan);

      if (group_report_passed (&report) && report.longest_gap_ms <= ACK_MAX_MS)
        continue;
      printf ("# failed: seed %u hosts %zu changes %zu no_leader %u "
              "without_leader %u lost_writes %u longest_gap_ms %u\n",
              (unsigned int)seed, plan->hosts, plan->changes_len,
              report.no_leader, report.without_leader, report.lost_writes,
              (unsigned int)report.longest_gap_ms);
      failed++;
    }
  g_assert_cmpuint (failed, ==, 0);
}

/* Guards against a group that keeps members that are gone for good until it
   has no majority left: each host of a small group is replaced, one by
   one.  */
static void
test_replaced_in_turn (void)
{
  static const struct group_scheduled_change changes[]
      = { { .at = 3000, .kind = GROUP_CHANGE_REPLACE_FOLLOWER },
          { .at = 13000, .kind = GROUP_CHANGE_REPLACE_LEADER },
          { .at = 23000, .kind = GROUP_CHANGE_REPLACE_FOLLOWER },
          { .at = 33000, .kind = GROUP_CHANGE_REPLACE_LEADER } };

  for (size_t hosts = 3; hosts <= GROUP_HOSTS; hosts++)
    for (size_t len = 1; len <= G_N_ELEMENTS (changes); len++)
      run_plan (&(struct group_plan){ .hosts = hosts,
                                      .end_ms = changes[len - 1].at + 10000,
                                      .changes = changes,
                                      .changes_len = len });
}

/* Guards against the loss of the majority when a host is removed after its
   successor has joined: the group of three has four members for a while.  */
static void
test_successor_joins_first (void)
{
  static const struct group_scheduled_change changes[]
      = { { .at = 3000, .kind = GROUP_CHANGE_ADD },
          { .at = 8000, .kind = GROUP_CHANGE_REMOVE_FOLLOWER },
          { .at = 18000, .kind = GROUP_CHANGE_REMOVE_FOLLOWER } };

  run_plan (&(struct group_plan){ .hosts = 3,
                                  .end_ms = 28000,
                                  .changes = changes,
                                  .changes_len = G_N_ELEMENTS (changes) });
}

/* Guards against acknowledged entries on too few disks: the group does not
   shrink below what the losses to be tolerated ask for, but for the moment in
   which one host takes the place of another.  */
static void
test_keeps_disks (void)
{
  static const struct group_scheduled_change removed[]
      = { { .at = 3000, .kind = GROUP_CHANGE_REMOVE_FOLLOWER } };
  static const struct group_scheduled_change replaced[] = {
    { .at = 3000, .kind = GROUP_CHANGE_ISOLATE_FOLLOWER, .for_ms = 9000 },
    { .at = 3500, .kind = GROUP_CHANGE_REMOVE_FOLLOWER },
    { .at = 8000, .kind = GROUP_CHANGE_ADD }
  };
  static const struct
  {
    struct group_plan plan;
    size_t min_members;
  } cases[] = { { { .hosts = 4, .changes = removed, .changes_len = 1 }, 3 },
                { { .hosts = 4,
                    .tolerated_losses = 2,
                    .changes = removed,
                    .changes_len = 1 },
                  4 },
                { { .hosts = 5,
                    .tolerated_losses = 2,
                    .changes = replaced,
                    .changes_len = 3 },
                  4 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (uint64_t seed = 1; seed <= FIXED_SEEDS; seed++)
      {
        struct group_plan plan = cases[i].plan;
        struct group_report report;

        plan.end_ms = 20000;
        report = group_simulate_plan (seed, &plan);
        g_assert_true (group_report_passed (&report));
        g_assert_cmpuint (report.min_members, ==, cases[i].min_members);
      }
}

/* Guards against a host that stays outside of the group for ever: it is cut
   off until another one has taken its place, and must follow the group again
   afterwards.  */
static void
test_replaced_while_isolated (void)
{
  static const struct group_scheduled_change changes[] = {
    { .at = 3000, .kind = GROUP_CHANGE_ISOLATE_FOLLOWER, .for_ms = 8000 },
    { .at = 5000, .kind = GROUP_CHANGE_ADD }
  };

  for (size_t hosts = 3; hosts <= GROUP_HOSTS; hosts++)
    run_plan (&(struct group_plan){ .hosts = hosts,
                                    .end_ms = 20000,
                                    .changes = changes,
                                    .changes_len = G_N_ELEMENTS (changes) });
}

/* Guards against a group that acknowledges nothing any more after the disks of
   its hosts were full for a few seconds each, one after another.  Hosts that
   are no members take the place of members meanwhile.  */
static void
test_disks_full_in_turn (void)
{
  for (uint64_t full_ms = 1000; full_ms <= 7000; full_ms += 1500)
    {
      struct group_scheduled_change changes[4 + 9];
      size_t len = 0;
      uint64_t at = 1000;

      for (; len < 4; at += 100)
        changes[len++]
            = (struct group_scheduled_change){ .at = at,
                                               .kind = GROUP_CHANGE_ADD };
      at = 6000;
      for (size_t host = 0; host < 9; host++, at += full_ms + 500)
        changes[len++]
            = (struct group_scheduled_change){ .at = at,
                                               .kind = GROUP_CHANGE_FILL_DISK,
                                               .for_ms = full_ms,
                                               .host = host };
      run_plan (&(struct group_plan){ .hosts = GROUP_HOSTS,
                                      .end_ms = at + 15000,
                                      .changes = changes,
                                      .changes_len = len });
    }
}

/* Runs the case in CELL, if there is one.  */
static void
test_single_case (void)
{
  const char *text = getenv ("CELL");
  g_auto (GStrv) tokens = g_strsplit (text != NULL ? text : "", " ", -1);
  struct group_scheduled_fault faults[4];
  size_t len = 0;

  if (tokens[0] == NULL)
    return;
  for (size_t i = 1; tokens[i] != NULL && len < G_N_ELEMENTS (faults); i++)
    {
      const char *at = strchr (tokens[i], '@');

      g_assert_nonnull (at);
      for (int fault = 0; fault < GROUP_FAULT_COUNT; fault++)
        if (strncmp (tokens[i], group_fault_name ((enum group_fault)fault),
                     (size_t)(at - tokens[i]))
                == 0
            && strlen (group_fault_name ((enum group_fault)fault))
                   == (size_t)(at - tokens[i]))
          faults[len].fault = (enum group_fault)fault;
      faults[len++].step = (unsigned int)strtoul (at + 1, NULL, 10);
    }
  g_assert_true (run_case (strtoull (tokens[0], NULL, 10), faults, len));
}

static void
on_lone_send (void *ctx, const struct hs_addr *to,
              const struct hs_replica_message *message)
{
  struct lone_host *host = ctx;

  (void)to;
  if (message->type == HS_REPLICA_APPEND_REPLY && message->success)
    host->acknowledged_index = MAX (host->acknowledged_index, message->index);
}

static void
on_lone_record (void *ctx, const struct hs_replica_record *record)
{
  struct lone_host *host = ctx;

  hs_replica_load_record (host->restarted, record);
}

static void
on_lone_sync (void *ctx, uint64_t seq)
{
  struct lone_host *host = ctx;

  host->sync_seq = seq;
}

static void
ignore_entry (void *ctx, const struct hs_replica_log_entry *entry)
{
  (void)ctx;
  (void)entry;
}

static void
ignore_snapshot (void *ctx, const uint8_t *data, size_t len)
{
  (void)ctx;
  (void)data;
  (void)len;
}

static uint8_t *
save_nothing (void *ctx, void *parent, size_t *len)
{
  (void)ctx;
  (void)parent;
  *len = 0;
  return NULL;
}

static void
ignore_state (void *ctx)
{
  (void)ctx;
}

/* Makes HOST receive the entries 1 to LEN of TERM from the leader, host 1.  */
static void
receive_entries (struct lone_host *host, const struct hs_control_host *leader,
                 uint64_t term, size_t len)
{
  struct hs_replica_log_entry entries[HS_APPEND_ENTRIES_MAX] = { 0 };
  struct hs_replica_message append = { .type = HS_REPLICA_APPEND,
                                       .to = 2,
                                       .from = *leader,
                                       .term = term,
                                       .entries_len = len };

  for (size_t i = 0; i < len; i++)
    {
      entries[i]
          = (struct hs_replica_log_entry){ .index = i + 1, .term = term };
      append.entries[i] = &entries[i];
    }
  hs_replica_receive (host->replica, &append, 10);
}

/* Guards against entries that a host has acknowledged, or is about to, and
   drops when it is sent a snapshot that ends before them: they may be
   committed by its acknowledgement.  Entries of another term than the
   snapshot's are not, and go.  */
static void
test_snapshot_keeps_entries (void)
{
  struct hs_replica_ops ops
      = { on_lone_send,    on_lone_record, on_lone_sync, ignore_entry,
          ignore_snapshot, save_nothing,   ignore_state };
  struct hs_control_members members
      = { .len = 3, .hosts = { { .id = 1 }, { .id = 2 }, { .id = 3 } } };

  for (uint64_t snapshot_term = 5; snapshot_term <= 6; snapshot_term++)
    {
      struct lone_host host = { .sync_seq = 0 };
      struct hs_replica_snapshot snapshot
          = { .index = 3, .term = snapshot_term, .members = members };
      struct hs_replica_message install
          = { .type = HS_REPLICA_INSTALL_SNAPSHOT,
              .to = 2,
              .from = members.hosts[0],
              .term = snapshot_term,
              .commit_index = 3,
              .snapshot = &snapshot };
      uint64_t last_index = snapshot_term == 5 ? 5 : 3;

      host.replica
          = hs_replica_create (NULL, &members.hosts[1], 1, &ops, &host);
      host.restarted
          = hs_replica_create (NULL, &members.hosts[1], 1, &ops, &host);
      hs_replica_bootstrap (host.replica, 2, &members);
      hs_replica_start (host.replica, 0);
      receive_entries (&host, &members.hosts[0], 5, 5);
      hs_replica_receive (host.replica, &install, 20);
      g_assert_cmpuint (hs_replica_last_index (host.replica), ==, last_index);
      g_assert_cmpuint (hs_replica_applied_index (host.replica), ==, 3);
      hs_replica_synced (host.replica, host.sync_seq, 30);
      g_assert_cmpuint (host.acknowledged_index, <=,
                        hs_replica_last_index (host.replica));
      g_assert_cmpuint (hs_replica_last_index (host.restarted), ==,
                        last_index);
      hs_replica_destroy (host.restarted);
      hs_replica_destroy (host.replica);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/replica/calm", test_no_faults);
  g_test_add_func ("/replica/leader-lost", test_leader_lost);
  for (int fault = GROUP_FAULT_KILL; fault < GROUP_FAULT_COUNT; fault++)
    {
      g_autofree char *path = g_strdup_printf (
          "/replica/matrix/%s", group_fault_name ((enum group_fault)fault));

      g_autofree char *small_path
          = g_strdup_printf ("/replica/small-groups/%s",
                             group_fault_name ((enum group_fault)fault));

      g_test_add_data_func (path, GINT_TO_POINTER (fault), test_fault_matrix);
      g_test_add_data_func (small_path, GINT_TO_POINTER (fault),
                            test_small_groups);
    }
  g_test_add_func ("/replica/snapshot-keeps-entries",
                   test_snapshot_keeps_entries);
  g_test_add_func ("/replica/pairs", test_fault_pairs);
  g_test_add_func ("/replica/replaced-in-turn", test_replaced_in_turn);
  g_test_add_func ("/replica/successor-joins-first",
                   test_successor_joins_first);
  g_test_add_func ("/replica/replaced-while-isolated",
                   test_replaced_while_isolated);
  g_test_add_func ("/replica/disks-full-in-turn", test_disks_full_in_turn);
  g_test_add_func ("/replica/keeps-disks", test_keeps_disks);
  g_test_add_func ("/replica/cell", test_single_case);
  return g_test_run ();
}
