/* main.c -- the program hibiscusspan-entry: the entry daemon of UDP and CoAP
   flows.  */

#include "base/settings.h"
#include "daemon/process.h"
#include "entry/entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Types.  */

#define DRAIN_MAX_LIMIT_MS 3600000 /* 1 h.  */

#define OFFSET(field) offsetof (struct hs_entry_settings, field)

static const struct hs_setting settings_table[] = {
  { "name", HS_SETTING_NAME, NULL, 0, 0, OFFSET (name),
    "name of this entry, unique among entries" },
  { "zone", HS_SETTING_NAME, NULL, 0, 0, OFFSET (zone),
    "availability zone of this host" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (inner_address),
    "IP:PORT to listen on for agents (UDP)" },
  { "control", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (control_address),
    "IP:PORT of the control host's link listener (TCP)" },
  { "admin", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (admin_address),
    "IP:PORT to serve /healthz and /metrics on (HTTP)" },
  { "bind", HS_SETTING_STRING, "", 0, 0, OFFSET (bind_address),
    "IP:0 to bind instead of each service's IP, for a network that rewrites "
    "destination addresses; the services' ports are kept" },
  { "drain-max-ms", HS_SETTING_UINT, "30000", 0, DRAIN_MAX_LIMIT_MS,
    OFFSET (drain_max_ms),
    "longest time that a stop waits for callers' packets to cease, ms" },
  { "debug", HS_SETTING_BOOL, "0", 0, 0, OFFSET (debug),
    "log debug messages too" },
};

static const struct hs_program program
    = { "hibiscusspan-entry -- forwards packets between callers and agents",
        NULL, settings_table, G_N_ELEMENTS (settings_table) };

/* Private functions.  */

static void check_bind (const char *bind); /* Exits if malformed.  */

/* Public definitions.  */

int
main (int argc, char **argv)
{
  struct hs_entry_settings settings;
  g_autoptr (GError) error = NULL;
  struct hs_log *log;
  struct hs_entry *entry;
  bool graceful;

  hs_process_init ();
  hs_settings_load_or_exit (&program, argc, argv, &settings, NULL);
  check_bind (settings.bind_address);
  log = hs_log_create ("hibiscusspan-entry", STDERR_FILENO,
                       settings.debug ? HS_LOG_DEBUG : HS_LOG_INFO);
  entry = hs_entry_create (&settings, log, &error);
  if (entry == NULL)
    {
      hs_log_write (log, HS_LOG_ERROR, "cannot-start", "{s:s}", "error",
                    error->message);
      hs_log_destroy (log);
      return EXIT_FAILURE;
    }
  hs_entry_start (entry);
  hs_log_write (log, HS_LOG_INFO, "started", "{s:s}", "name", settings.name);
  hs_process_wait_signal ();
  graceful = hs_entry_drain (entry);
  hs_entry_destroy (entry);
  hs_log_destroy (log);
  return graceful ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Private definitions.  */

static void
check_bind (const char *bind)
{
  struct hs_addr addr;

  if (bind[0] == '\0' || hs_addr_parse (bind, &addr))
    return;
  fprintf (stderr, "hibiscusspan-entry: --bind: got '%s', expected IP:0\n",
           bind);
  exit (HS_EXIT_USAGE);
}
