/* Two of three core machines are replaced by empty ones at other addresses,
   one long after the other has had its time to catch up.  Afterwards three core
   machines run, none is lost, and configurations have to be accepted and read
   back.  With TROUBLE=0 no machine is replaced.  */

#include "../harness.h"

#include <signal.h>
#include <stdio.h>

#define REPLACE_DELAY_MS 2000
#define CATCH_UP_MS 4000
#define SETTLE_MS 12000
#define GRACE_MS 6000
#define ACK_MS 5000
#define ORDER_MS 30000
#define READ_BACK_MS 12000

static const char configuration[]
    = "{\"version\":%d,\"routes\":[{\"name\":\"r-desk\",\"host\":\"%u.%u.%u.%u"
      "\",\"pathPrefix\":\"/443/\",\"routeType\":\"idempotent\","
      "\"timeoutMs\":%d,\"aimMs\":250,\"priority\":1,\"service\":\"desk\","
      "\"maxAttempts\":2}],\"services\":[{\"name\":\"desk\","
      "\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\","
      "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000}}";

static int
send_configuration (int version, uint64_t ms)
{
  char body[2048];
  uint32_t ip = address_of (101);

  snprintf (body, sizeof body, configuration, version, ip >> 24,
            ip >> 16 & 255, ip >> 8 & 255, ip & 255, 2000 + version);
  return order (body, ms);
}

/* Asks the machines of the operator's list in turn; returns the version, 0 if
   none has answered with one.  */
static long
read_back (uint64_t ms)
{
  uint64_t until = now_ms () + ms;
  long version = 0;

  for (size_t i = 0; now_ms () < until; i++)
    {
      int status = read_configuration (control_list[i % CONTROL_LIST_LEN],
                                       &version);

      if (status == 200)
        return version;
      run_for (300);
    }
  return 0;
}

/* Stops core machine OLD for good and starts the empty machine NEW.  */
static void
replace (int old, int new)
{
  char name[32];

  snprintf (name, sizeof name, "control-%d", old);
  signal_process (name, SIGTERM);
  if (!wait_for_end (name, GRACE_MS))
    finish (2);
  run_for (REPLACE_DELAY_MS);
  for (size_t i = 0; i < CONTROL_LIST_LEN; i++)
    if (control_list[i] == old)
      control_list[i] = new;
  start_control (new, false);
}

int
main (int argc, char **argv)
{
  uint64_t sent_at;
  long version;
  int status;

  harness_init (argc > 1 ? argv[1] : ".");
  for (int n = 1; n <= 3; n++)
    start_control (n, true);
  start_target (1, "i-1", "desk");
  start_agent (1, "desk");
  start_entry (1);
  if (send_configuration (5, 20000) != 200)
    finish (2);
  run_for (5000);
  if (trouble)
    replace (3, 4);
  run_for (CATCH_UP_MS + SETTLE_MS);
  status = send_configuration (6, 20000);
  version = read_back (READ_BACK_MS);
  note ("read back: version %ld", version);
  if (status != 200 || version != 6)
    finish (2);
  if (trouble)
    replace (2, 5);
  run_for (CATCH_UP_MS + SETTLE_MS);
  note ("core machines that run: %d", is_running ("control-1")
                                          + is_running ("control-2")
                                          + is_running ("control-3")
                                          + is_running ("control-4")
                                          + is_running ("control-5"));
  sent_at = now_ms ();
  status = send_configuration (7, ORDER_MS);
  note ("configuration 7 has %s after %u ms; ackMs is %d",
        status == 200 ? "its ack" : "no ack",
        (unsigned int)(now_ms () - sent_at), ACK_MS);
  version = read_back (READ_BACK_MS);
  note ("read back at the end: version %ld%s", version,
        version == 0 ? ", it doesn't come" : "");
  finish (version >= (status == 200 ? 7 : 6) ? 0 : 1);
}
