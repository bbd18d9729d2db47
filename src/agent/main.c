/* main.c -- the program hibiscusspan-agent: the agent of UDP and CoAP
   services.  */

#include "agent/agent.h"
#include "base/settings.h"
#include "daemon/process.h"

#include <stdlib.h>
#include <unistd.h>

/* Types.  */

#define OFFSET(field) offsetof (struct hs_agent_settings, field)

static const struct hs_setting settings_table[] = {
  { "name", HS_SETTING_NAME, NULL, 0, 0, OFFSET (name),
    "name of this agent, unique in its service" },
  { "zone", HS_SETTING_NAME, NULL, 0, 0, OFFSET (zone),
    "availability zone of this host" },
  { "service", HS_SETTING_NAME, NULL, 0, 0, OFFSET (service_name),
    "service of the upstream" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (inner_address),
    "IP:PORT to listen on for entries and agents (UDP)" },
  { "upstream", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (upstream_address),
    "IP:PORT of the upstream (UDP)" },
  { "control", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (control_address),
    "IP:PORT of the control host's link listener (TCP)" },
  { "admin", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (admin_address),
    "IP:PORT to serve /healthz and /metrics on (HTTP)" },
  { "debug", HS_SETTING_BOOL, "0", 0, 0, OFFSET (debug),
    "log debug messages too" },
};

static const struct hs_program program
    = { "hibiscusspan-agent -- forwards the flows of one upstream", NULL,
        settings_table, G_N_ELEMENTS (settings_table) };

/* Public definitions.  */

int
main (int argc, char **argv)
{
  struct hs_agent_settings settings;
  g_autoptr (GError) error = NULL;
  struct hs_log *log;
  struct hs_agent *agent;
  bool graceful;

  hs_process_init ();
  hs_settings_load_or_exit (&program, argc, argv, &settings, NULL);
  log = hs_log_create ("hibiscusspan-agent", STDERR_FILENO,
                       settings.debug ? HS_LOG_DEBUG : HS_LOG_INFO);
  agent = hs_agent_create (&settings, log, &error);
  if (agent == NULL)
    {
      hs_log_write (log, HS_LOG_ERROR, "cannot-start", "{s:s}", "error",
                    error->message);
      hs_log_destroy (log);
      return EXIT_FAILURE;
    }
  hs_agent_start (agent);
  hs_log_write (log, HS_LOG_INFO, "started", "{s:s, s:s}", "name",
                settings.name, "service", settings.service_name);
  if (hs_process_wait_signal () == HS_PROCESS_RESTART)
    graceful = hs_agent_hand_over (agent);
  else
    graceful = hs_agent_drain (agent);
  hs_agent_destroy (agent);
  hs_log_destroy (log);
  return graceful ? EXIT_SUCCESS : EXIT_FAILURE;
}
