/* main.c -- hibiscusspan-entry.  */

#include "base/settings.h"
#include "daemon/process.h"
#include "entry/entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Types.  */

#define DRAIN_MAX_LIMIT_MS 3600000

static const struct hs_setting settings_table[] = {
  { "name", HS_SETTING_NAME, NULL, 0, 0,
    offsetof (struct hs_entry_settings, name),
    "name of this entry, unique among entries" },
  { "zone", HS_SETTING_NAME, NULL, 0, 0,
    offsetof (struct hs_entry_settings, zone),
    "availability zone of this host" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0,
    offsetof (struct hs_entry_settings, inner_address),
    "IP:PORT where agents reach this entry (UDP)" },
  { "control", HS_SETTING_ADDR, NULL, 0, 0,
    offsetof (struct hs_entry_settings, control_address),
    "IP:PORT of the control host's link (TCP)" },
  { "admin", HS_SETTING_ADDR, NULL, 0, 0,
    offsetof (struct hs_entry_settings, admin_address),
    "IP:PORT of /healthz and /metrics (HTTP)" },
  { "bind", HS_SETTING_STRING, "", 0, 0,
    offsetof (struct hs_entry_settings, bind_address),
    "IP:0 to bind instead of the services' own IP, where the fabric rewrites "
    "destinations; the services' ports stay" },
  { "drain-max-ms", HS_SETTING_UINT, "30000", 0, DRAIN_MAX_LIMIT_MS,
    offsetof (struct hs_entry_settings, drain_max_ms),
    "longest time a stop waits for callers' packets to cease, ms" },
  { "debug", HS_SETTING_FLAG, "0", 0, 0,
    offsetof (struct hs_entry_settings, debug), "log more" },
};

static const struct hs_program program
    = { "hibiscusspan-entry -- passes callers' packets to agents and back",
        NULL, settings_table, G_N_ELEMENTS (settings_table) };

/* Private functions.  */

static void check_bind (const char *bind);

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
  fprintf (stderr, "hibiscusspan-entry: --bind: got '%s', takes IP:0\n", bind);
  exit (HS_EXIT_USAGE);
}
