/* segment_main.c -- hibiscusspan-segment-entry.  */

#include "daemon/process.h"
#include "entry/segment_entry.h"
#include "platform/platform.h"

#include <stdlib.h>
#include <unistd.h>

/* Types.  */

#define PORT_MAX 65535
#define LOG_RATE_MAX 1000000
#define DRAIN_MAX_LIMIT_MS 3600000

struct fields
{
  struct hs_segment_entry_settings entry;
  const char *settings; /* File; "": none.  */
  uint64_t log_rate;    /* Lines a second.  */
  bool debug;
};

#define AT(field) offsetof (struct fields, field)

static const struct hs_setting settings_table[] = {
  { "settings", HS_SETTING_STRING, "", 0, 0, AT (settings),
    "file of settings, lines of VARIABLE=value; read again on SIGHUP and when "
    "it changes" },
  { "name", HS_SETTING_NAME, NULL, 0, 0, AT (entry.name),
    "name of this host's process, unique in the system" },
  { "zone", HS_SETTING_NAME, NULL, 0, 0, AT (entry.zone),
    "availability zone of this host" },
  { "segments", HS_SETTING_ADDR, NULL, 0, 0, AT (entry.segments),
    "IP:PORT that callers' segments come to (UDP)" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, AT (entry.inner),
    "IP:PORT of agents and control hosts (UDP)" },
  { "health", HS_SETTING_ADDR, NULL, 0, 0, AT (entry.health),
    "IP:PORT of readiness and metrics (HTTP)" },
  { "drain-max-ms", HS_SETTING_UINT, "5000", 0, DRAIN_MAX_LIMIT_MS,
    AT (entry.drain_max_ms),
    "longest time a stop waits for callers' segments to cease, ms" },
  { "seeds", HS_SETTING_ADDRS, NULL, 0, 0, AT (entry.seeds),
    "API addresses of some control hosts, IP:PORT with commas" },
  { "seed-port", HS_SETTING_UINT, NULL, 1, PORT_MAX, AT (entry.seed_port),
    "port of the control hosts' inner addresses" },
  { "log-rate", HS_SETTING_UINT, "200", 0, LOG_RATE_MAX, AT (log_rate),
    "lines of the log a second at most, and as many errors; 0: no bound" },
  { "debug", HS_SETTING_FLAG, "0", 0, 0, AT (debug), "log more" },
};

static const struct hs_program program
    = { "hibiscusspan-segment-entry -- passes callers' segments to agents",
        NULL, settings_table, G_N_ELEMENTS (settings_table) };

/* What a reload needs.  */
struct reload
{
  int argc;
  char **argv;
  struct hs_log *log;
  struct hs_segment_entry *entry;
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
  fields.entry.dialect = hs_platform_dialect ();
  reload.log = hs_log_create ("hibiscusspan-segment-entry", STDOUT_FILENO,
                              fields.debug ? HS_LOG_DEBUG : HS_LOG_INFO);
  hs_log_set_rate (reload.log, fields.log_rate);
  reload.entry = hs_segment_entry_create (&fields.entry, reload.log, &error);
  if (reload.entry == NULL)
    {
      hs_log_write (reload.log, HS_LOG_ERROR, "cannot-start", "{s:s}", "error",
                    error->message);
      hs_log_destroy (reload.log);
      return EXIT_FAILURE;
    }
  hs_segment_entry_start (reload.entry);
  hs_log_write (reload.log, HS_LOG_INFO, "started", "{s:s, s:s}", "name",
                fields.entry.name, "zone", fields.entry.zone);
  hs_process_run (fields.settings, on_reload, &reload);
  hs_segment_entry_drain (reload.entry);
  hs_segment_entry_destroy (reload.entry);
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
  hs_segment_entry_set_seeds (reload->entry, &fields.entry.seeds);
  hs_log_write (reload->log, HS_LOG_INFO, "reloaded", "{s:i}", "seeds",
                (int)fields.entry.seeds.len);
}
