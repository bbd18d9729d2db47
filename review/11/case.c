/* A late status report of an earlier lifetime is the first that a restarted
   agent hears.  See claim.txt.  */

#include "../lab-3.h"

#include <signal.h>
#include <string.h>

#define CORES 5
#define PORT 443
#define FLOWS 24

static struct lab_process *entries[2], *agents[3];

static bool
all_ready (void)
{
  return lab_ready (11) && lab_ready (12);
}

static bool
is_at (int flow, int target)
{
  const struct lab_flow *f = &lab.flows[flow];

  return f->target == target
         && f->lifetime == lab.targets[target].lifetime && f->answers > 0;
}

/* Whether the target still holds FLOW, open.  */
static bool
is_held (const struct lab_flow *f)
{
  for (int i = 0; i < LAB_FLOWS_MAX; i++)
    {
      const struct lab_held *h = &lab.held[f->target][i];

      if (h->used && h->open && h->sport == f->port
          && h->lifetime == lab.targets[f->target].lifetime
          && f->lifetime == h->lifetime)
        return true;
    }
  return false;
}

int
main (int argc, char **argv)
{
  struct lab_target *t;
  char late_id[32];
  uint64_t late_born, late_seq, late_since, disrupted_at, acked;
  int busy = -1, quiet = -1, breaks = 0, cut = 0, mine = 0;

  lab_begin (argc > 1 ? argv[1] : "record.txt", CORES, "a:r");
  for (int i = 1; i <= CORES; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "core-%d", i);
      lab_start (LAB_CORE, name, i, "a", NULL, true);
    }
  for (int i = 0; i < 3; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "agent-%d", i + 1);
      lab_add_target (21 + i, "a", "registro");
      agents[i] = lab_start (LAB_AGENT, name, 21 + i, "a", "registro", false);
      lab_start_target (i, 0);
    }
  for (int i = 0; i < 2; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "entry-%d", i + 1);
      entries[i] = lab_start (LAB_ENTRY, name, 11 + i, "a", NULL, false);
    }
  (void)entries;
  lab_run (1500, NULL);
  if (!lab_configure (
          "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":"
          "\"127.198.18.1\",\"pathPrefix\":\"/443/\",\"routeType\":"
          "\"non_idempotent\",\"timeoutMs\":3000,\"aimMs\":300,\"priority\":1,"
          "\"service\":\"registro\",\"maxAttempts\":2}],\"services\":[{"
          "\"name\":\"registro\",\"healthPath\":\"/health\",\"maxConns\":2000,"
          "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
          "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
          "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
          8000))
    lab_end (2);
  if (!lab_run (8000, all_ready))
    lab_end (2);
  lab_run (3000, NULL);
  t = &lab.targets[0];

  /* The first target is cut off.  The report that it sends then is delayed.
     It crashes behind the cut.  */
  t->next_beat = lab_now () + LAB_BEAT_MS;
  lab_run (200, NULL);
  lab_note ("target 21 is cut off");
  t->is_cut = true;
  t->seq++;
  snprintf (late_id, sizeof late_id, "%s", t->id);
  late_born = t->born;
  late_seq = t->seq;
  late_since = lab_now ();
  lab_note ("report %s seq %llu is delayed", late_id,
            (unsigned long long)late_seq);
  lab_run (500, NULL);
  lab_crash_target (0);
  lab_run (1300, NULL);

  /* A new lifetime at the same address; the cut has ended.  */
  t->is_cut = false;
  lab_note ("the cut ends");
  lab_start_target (0, 0);
  lab_run (400, NULL);
  for (int i = 0; i < FLOWS; i++)
    {
      lab_open (11, PORT);
      lab_run (20, NULL);
    }
  lab_run (300, NULL);
  for (int i = 0; i < lab.flows_len; i++)
    if (is_at (i, 0))
      {
        mine++;
        if (busy < 0)
          busy = i;
        else if (quiet < 0)
          quiet = i;
      }
  lab_note ("%d flows are open at the new lifetime", mine);
  if (quiet < 0)
    lab_end (2);

  /* Planned work: the agent is stopped and started, right after a report.  */
  acked = t->last_acked;
  while (t->last_acked == acked)
    lab_run (5, NULL);
  lab_signal (agents[0], SIGTERM);
  lab_wait_exit (agents[0], 3000);
  lab_restart (agents[0]);
  lab_run (150, NULL);
  for (int i = 0; i < lab.flows_len; i++)
    if (is_at (i, 0))
      lab_request (i);
  lab_run (100, NULL);
  if (lab.trouble)
    {
      lab_note ("report %s seq %llu arrives, %llu ms late", late_id,
                (unsigned long long)late_seq,
                (unsigned long long)(lab_now () - late_since));
      lab_send_report (0, late_id, late_born, late_seq, "ready");
    }
  disrupted_at = lab_now ();

  /* One of these flows is busy for a while; the others are used now and then.
     Flows that are opened after the late report are busy all the time.  */
  for (int step = 0; step < 220; step++)
    {
      if (step % 8 == 0 && step < 130)
        lab_request (busy);
      if (step < 40 && step % 2 == 0)
        lab_open (11, PORT);
      for (int i = FLOWS + step % 2; i < lab.flows_len; i += 2)
        lab_request (i);
      lab_run (50, NULL);
    }
  for (int i = 0; i < lab.flows_len; i++)
    lab_request (i);
  lab_run (4000, NULL);

  for (int i = 0; i < lab.flows_len; i++)
    {
      const struct lab_flow *f = &lab.flows[i];

      if (f->reset_at == 0 || f->target < 0)
        continue;
      lab_note ("flow %u at target %d: reset %llu ms after the last "
                "disruption; its target runs and %s",
                f->port, lab.targets[f->target].host,
                (unsigned long long)(f->reset_at - disrupted_at),
                is_held (f) ? "holds it" : "does not hold it");
      if (is_held (f) && f->reset_at > disrupted_at + 4000)
        {
          breaks++;
          cut += f->was_waiting;
        }
    }
  lab_note ("open flows reset, which their living targets did not reset: %d, "
            "%d of them with a request at work that may run once at most; "
            "packets that nobody wrote so: %llu",
            breaks, cut, (unsigned long long)lab.foreign);
  lab_end (breaks > 0 || lab.foreign > 0 ? 1 : 0);
}
