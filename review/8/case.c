/* The operator's first configuration has version 0; with TROUBLE=0 it has
   version 1.  Nothing is stopped, delayed or lost.  */

#include "../lab-2.h"

#include <stdio.h>
#include <string.h>

#define CONTROLS 3
#define CONTROL_HOST 1
#define CONTROL_PORT 8166
#define READ_MS 6000 /* At least contactWindowMs, 4000.  */
#define FLOWS 10

/* Reads the configuration at any control host; returns whether it came with
   VERSION.  */
static bool
read_back (int version)
{
  char answer[4096];
  char wanted[32];

  snprintf (wanted, sizeof wanted, "\"version\":%d,", version);
  for (int i = 0; i < CONTROLS; i++)
    {
      int status = lab_http (lab_ip (CONTROL_HOST + i), CONTROL_PORT, "GET",
                             "/hibiscusspan/config/get", NULL, 1000, answer,
                             sizeof answer);

      if (status == 200 && strstr (answer, wanted) != NULL)
        return true;
      /* The other hosts send the reader on to the one that answers.  */
      if (status != 307)
        lab_note ("core-%d answers the read with status %d", i + 1, status);
    }
  return false;
}

int
main (int argc, char **argv)
{
  int version;
  uint64_t start;
  bool came = false;
  unsigned int opened = 0;
  struct lab_flow *flows[FLOWS];

  lab_init (argc, argv);
  version = lab.trouble ? 0 : 1;
  lab_start_controls (CONTROLS);
  lab_start_entry (0);
  lab_start_entry (1);
  for (int i = 0; i < 2; i++)
    {
      lab_start_agent (i, "bookings");
      lab_start_target (i, "bookings", 5);
    }
  lab_add_callers (1);
  lab_run (2000);
  if (!lab_configure (version, "bookings", "idempotent"))
    lab_cannot_run ("no configuration is acknowledged");
  lab_run (LAB_CONFIG_APPLY_MS);
  start = lab_now ();
  while (lab_now () - start < READ_MS && !came)
    {
      came = read_back (version);
      lab_run (500);
    }
  lab_note ("the acknowledged configuration %d %s in %d ms of reading", version,
            came ? "came" : "did not come", READ_MS);
  for (int i = 0; i < FLOWS; i++)
    {
      flows[i] = lab_open (0);
      lab_run (50);
    }
  lab_run (2000);
  for (int i = 0; i < FLOWS; i++)
    opened += flows[i]->state == LAB_FLOW_OPEN;
  lab_note ("%u of %d flows to its route opened", opened, FLOWS);
  return lab_finish (!came, "CONFIG");
}
