/* segment_main.c -- hibiscusspan-segment-agent.  */

#include "agent/segment_agent.h"
#include "daemon/process.h"
#include "platform/platform.h"

#include <stdlib.h>
#include <unistd.h>

/* Types.  */

#define PORT_MAX 65535
#define LOG_RATE_MAX 1000000
#define HEARTBEAT_LIMIT_MS 60000

struct fields
{
  struct hs_segment_agent_settings agent;
  const char *settings; /* File; "": none.  */
  uint64_t log_rate;    /* Lines a second.  */
  bool debug;
};

#define AT(field) offsetof (struct fields, field)

static const struct hs_setting settings_table[] = {
  { "settings", HS_SETTING_STRING, "", 0, 0, AT (settings),
    "file of settings, lines of VARIABLE=value; read again on SIGHUP and when "
    "it changes" },
  { "name", HS_SETTING_NAME, NULL, 0, 0, AT (agent.name),
    "name of this host's process, unique in the system" },
  { "zone", HS_SETTING_NAME, NULL, 0, 0, AT (agent.zone),
    "availability zone of this host" },
  { "service", HS_SETTING_NAME, NULL, 0, 0, AT (agent.service),
    "service of the upstream" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.inner),
    "IP:PORT of entries and control hosts (UDP)" },
  { "upstream", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.upstream),
    "IP:PORT where the upstream takes segments (UDP)" },
  { "outbound", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.outbound),
    "IP:PORT where the upstream sends its segments (UDP)" },
  { "heartbeats", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.heartbeats),
    "IP:PORT where the upstream reports (HTTP)" },
  { "health", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.health),
    "IP:PORT of readiness and metrics (HTTP)" },
  { "caller-at", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.caller_at),
    "IP:PORT whose port is that where callers take answers" },
  { "heartbeat-ms", HS_SETTING_UINT, "1000", 10, HEARTBEAT_LIMIT_MS,
    AT (agent.heartbeat_ms),
    "time between two heartbeats of the upstream, ms" },
  { "seeds", HS_SETTING_ADDRS, NULL, 0, 0, AT (agent.seeds),
    "API addresses of some control hosts, IP:PORT with commas" },
  { "seed-port", HS_SETTING_UINT, NULL, 1, PORT_MAX, AT (agent.seed_port),
    "port of the control hosts' inner addresses" },
  { "log-rate", HS_SETTING_UINT, "200", 0, LOG_RATE_MAX, AT (log_rate),
    "lines of the log a second at most, and as many errors; 0: no bound" },
  { "debug", HS_SETTING_FLAG, "0", 0, 0, AT (debug), "log more" },
};

static const struct hs_program program = {
  "hibiscusspan-segment-agent -- serves segment flows beside one upstream",
  NULL, settings_table, G_N_ELEMENTS (settings_table)
};

/* What a reload needs.  */
struct reload
{
  int argc;
  char **argv;
  struct hs_log *log;
  struct hs_segment_agent *agent;
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
  fields.agent.dialect = hs_platform_dialect ();
  reload.log = hs_log_create ("hibiscusspan-segment-agent", STDOUT_FILENO,
                              fields.debug ? HS_LOG_DEBUG : HS_LOG_INFO);
  hs_log_set_rate (reload.log, fields.log_rate);
  reload.agent = hs_segment_agent_create (&fields.agent, reload.log, &error);
  if (reload.agent == NULL)
    {
      hs_log_write (reload.log, HS_LOG_ERROR, "cannot-start", "{s:s}", "error",
                    error->message);
      hs_log_destroy (reload.log);
      return EXIT_FAILURE;
    }
  hs_segment_agent_start (reload.agent);
  hs_log_write (reload.log, HS_LOG_INFO, "started", "{s:s, s:s}", "name",
                fields.agent.name, "service", fields.agent.service);
  hs_process_run (fields.settings, on_reload, &reload);
  hs_segment_agent_drain (reload.agent);
  hs_segment_agent_destroy (reload.agent);
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
  hs_segment_agent_set_seeds (reload->agent, &fields.agent.seeds);
  hs_log_write (reload->log, HS_LOG_INFO, "reloaded", "{s:i}", "seeds",
                (int)fields.agent.seeds.len);
}
