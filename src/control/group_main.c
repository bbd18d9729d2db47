/* group_main.c -- hibiscusspan-control-group.  */

#include "control/group.h"
#include "daemon/process.h"
#include "platform/platform.h"

#include <stdlib.h>
#include <unistd.h>

/* Types.  */

#define PORT_MAX 65535
#define LOG_RATE_MAX 1000000

struct fields
{
  struct hs_group_settings group;
  const char *settings; /* File; "": none.  */
  uint64_t log_rate;    /* Lines a second.  */
  bool debug;
};

#define AT(field) offsetof (struct fields, field)

static const struct hs_setting settings_table[] = {
  { "settings", HS_SETTING_STRING, "", 0, 0, AT (settings),
    "file of settings, lines of VARIABLE=value; read again on SIGHUP and when "
    "it changes" },
  { "name", HS_SETTING_NAME, NULL, 0, 0, AT (group.name),
    "name of this host's process, unique in the system" },
  { "data", HS_SETTING_STRING, NULL, 0, 0, AT (group.folder),
    "folder of the journal; it must exist" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, AT (group.inner),
    "IP:PORT of control hosts, entries and agents (UDP)" },
  { "api", HS_SETTING_ADDR, NULL, 0, 0, AT (group.api),
    "IP:PORT of operators, /healthz and /metrics (HTTP)" },
  { "bootstrap", HS_SETTING_FLAG, "0", 0, 0, AT (group.bootstrap),
    "1: the seeds are the first group of a new system" },
  { "seeds", HS_SETTING_ADDRS, NULL, 0, 0, AT (group.seeds),
    "API addresses of some control hosts, IP:PORT with commas" },
  { "seed-port", HS_SETTING_UINT, NULL, 1, PORT_MAX, AT (group.seed_port),
    "port of the control hosts' inner addresses" },
  { "log-rate", HS_SETTING_UINT, "200", 0, LOG_RATE_MAX, AT (log_rate),
    "lines of the log a second at most, and as many errors; 0: no bound" },
  { "debug", HS_SETTING_FLAG, "0", 0, 0, AT (debug), "log more" },
};

static const struct hs_program program
    = { "hibiscusspan-control-group -- keeps the configuration with other "
        "control hosts",
        NULL, settings_table, G_N_ELEMENTS (settings_table) };

/* What a reload needs.  */
struct reload
{
  int argc;
  char **argv;
  struct hs_log *log;
  struct hs_group *group;
};

/* Private functions.  */

static void on_reload (void *ctx);

/* Public definitions.  */

int
main (int argc, char **argv)
{
  struct fields fields;
  g_autoptr (GError) error = NULL;
  struct reload reload = { .argc = argc, .argv = argv };

  hs_process_init ();
  hs_settings_load_or_exit (&program, argc, argv, &fields, NULL);
  fields.group.dialect = hs_platform_dialect ();
  reload.log = hs_log_create ("hibiscusspan-control-group", STDOUT_FILENO,
                              fields.debug ? HS_LOG_DEBUG : HS_LOG_INFO);
  hs_log_set_rate (reload.log, fields.log_rate);
  reload.group = hs_group_create (&fields.group, reload.log, &error);
  if (reload.group == NULL)
    {
      hs_log_write (reload.log, HS_LOG_ERROR, "cannot-start", "{s:s}", "error",
                    error->message);
      hs_log_destroy (reload.log);
      return EXIT_FAILURE;
    }
  hs_group_start (reload.group);
  hs_log_write (reload.log, HS_LOG_INFO, "started", "{s:s}", "name",
                fields.group.name);
  hs_process_run (fields.settings, on_reload, &reload);
  hs_group_drain (reload.group);
  hs_group_destroy (reload.group);
  hs_log_write (reload.log, HS_LOG_INFO, "stopped", NULL);
  hs_log_destroy (reload.log);
  return EXIT_SUCCESS;
}

/* Private definitions.  */

/* Only the seeds and the log's rate change in a running process.  */
static void
on_reload (void *ctx)
{
  struct reload *reload = ctx;
  struct fields fields;
  g_autoptr (GError) error = NULL;

  if (!hs_settings_load (&program, reload->argc, reload->argv, &fields, NULL,
                         &error))
    {
      hs_log_write (reload->log, HS_LOG_ERROR, "reload-refused", "{s:s}",
                    "error", error->message);
      return;
    }
  hs_log_set_rate (reload->log, fields.log_rate);
  hs_group_set_seeds (reload->group, &fields.group.seeds);
  hs_log_write (reload->log, HS_LOG_INFO, "reloaded", "{s:i}", "seeds",
                (int)fields.group.seeds.len);
}
