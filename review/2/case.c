/* A route is switched from one service to another while flows are open on it,
   and an entry machine is then stopped and started as planned work.  The open
   flows of that entry have to stay at their targets.  With TROUBLE=0 the entry
   is not stopped.  */

#include "../harness.h"

#include <signal.h>
#include <stdio.h>

#define FLOWS 40
#define SWITCH_TO_STOP_MS 100
#define WATCH_MS 15000

static const char configuration[]
    = "{\"version\":%d,\"routes\":[{\"name\":\"r-desk\",\"host\":\"%u.%u.%u.%u"
      "\",\"pathPrefix\":\"/443/\",\"routeType\":\"idempotent\","
      "\"timeoutMs\":2500,\"aimMs\":250,\"priority\":1,\"service\":\"%s\","
      "\"maxAttempts\":2}],\"services\":[{\"name\":\"desk-blue\","
      "\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\","
      "\"tls\":false},{\"name\":\"desk-green\",\"healthPath\":\"/health\","
      "\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":"
      "3000,\"idleTimeoutMs\":15000}}";

static bool
send_configuration (int version, const char *service)
{
  char body[2048];
  uint32_t ip = address_of (101);

  snprintf (body, sizeof body, configuration, version, ip >> 24,
            ip >> 16 & 255, ip >> 8 & 255, ip & 255, service);
  return order (body, 20000) == 200;
}

static bool
entries_ready (void)
{
  return entry_ready (1) && entry_ready (2);
}

static void
start_entry_again (void *arg)
{
  (void)arg;
  start_entry (1);
}

int
main (int argc, char **argv)
{
  unsigned int answered = 0;

  harness_init (argc > 1 ? argv[1] : ".");
  for (int n = 1; n <= 3; n++)
    start_control (n, true);
  for (int n = 1; n <= 4; n++)
    {
      char id[16];

      snprintf (id, sizeof id, "i-%d", n);
      start_target (n, id, n <= 2 ? "desk-blue" : "desk-green");
      start_agent (n, n <= 2 ? "desk-blue" : "desk-green");
    }
  for (int n = 1; n <= 2; n++)
    start_entry (n);
  if (!send_configuration (5, "desk-blue")
      || !run_until (entries_ready, 15000))
    finish (2);
  run_for (5000);
  for (int i = 0; i < FLOWS; i++)
    {
      open_flow (1);
      run_for (50);
    }
  run_for (6000);
  for (int i = 0; i < FLOWS; i++)
    answered += flows[i].answered > 0 && flows[i].target >= 0;
  if (answered < FLOWS)
    finish (2);
  if (!send_configuration (6, "desk-green"))
    finish (2);
  if (trouble)
    {
      run_for (SWITCH_TO_STOP_MS);
      signal_process ("entry-1", SIGTERM);
      if (!wait_for_end ("entry-1", 6000))
        {
          signal_process ("entry-1", SIGKILL);
          wait_for_end ("entry-1", 1000);
        }
      after (500, start_entry_again, NULL);
    }
  run_for (WATCH_MS);
  finish (foreign_resets > 0 ? 1 : 0);
}
