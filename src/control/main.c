/* main.c -- the program hibiscusspan-control: settings and start.  */

#include "base/settings.h"
#include "control/control.h"
#include "daemon/process.h"

#include <stdlib.h>
#include <unistd.h>

/* Types.  */

#define OFFSET(field) offsetof (struct hs_control_settings, field)

static const struct hs_setting settings_table[] = {
  { "name", HS_SETTING_NAME, NULL, 0, 0, OFFSET (name),
    "name of this control host" },
  { "data", HS_SETTING_STRING, NULL, 0, 0, OFFSET (data_folder),
    "existing folder for the journal and the audit log" },
  { "link", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (link_address),
    "IP:PORT that entries and agents connect to (TCP)" },
  { "api", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (api_address),
    "IP:PORT that serves the operators' API, /healthz and /metrics (HTTP)" },
  { "debug", HS_SETTING_BOOL, "0", 0, 0, OFFSET (debug),
    "log debug messages too" },
};

static const struct hs_program program = {
  "hibiscusspan-control -- stores service documents and membership views",
  NULL, settings_table, G_N_ELEMENTS (settings_table)
};

/* Public definitions.  */

int
main (int argc, char **argv)
{
  struct hs_control_settings settings;
  g_autoptr (GError) error = NULL;
  struct hs_log *log;
  struct hs_control *control;

  hs_process_init ();
  hs_settings_load_or_exit (&program, argc, argv, &settings, NULL);
  log = hs_log_create ("hibiscusspan-control", STDERR_FILENO,
                       settings.debug ? HS_LOG_DEBUG : HS_LOG_INFO);
  control = hs_control_create (&settings, log, &error);
  if (control == NULL)
    {
      hs_log_write (log, HS_LOG_ERROR, "cannot-start", "{s:s}", "error",
                    error->message);
      hs_log_destroy (log);
      return EXIT_FAILURE;
    }
  hs_control_start (control);
  hs_log_write (log, HS_LOG_INFO, "started", "{s:s}", "name", settings.name);
  hs_process_wait_signal ();
  hs_control_destroy (control);
  hs_log_destroy (log);
  return EXIT_SUCCESS;
}
