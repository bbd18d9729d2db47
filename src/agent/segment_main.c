/* segment_main.c -- the program hibiscusspan-segment-agent: the agent of
   segment flows.  */

#include "agent/segment_agent.h"
#include "daemon/daemon.h"
#include "platform/platform.h"

#include <stdlib.h>

/* Types.  */

#define HEARTBEAT_INTERVAL_MAX_MS 60000
#define FLOW_LIFETIME_MAX_S 86400

struct program_settings
{
  struct hs_daemon_settings common;
  struct hs_segment_agent_settings agent;
};

#define OFFSET(field) offsetof (struct program_settings, field)

static const struct hs_setting settings_table[] = {
  HS_DAEMON_SETTINGS,
  { "zone", HS_SETTING_NAME, NULL, 0, 0, OFFSET (agent.zone),
    "availability zone of this host" },
  { "service", HS_SETTING_NAME, NULL, 0, 0, OFFSET (agent.service_name),
    "service of the upstream" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (agent.inner_address),
    "IP:PORT to listen on for entries and control hosts (UDP)" },
  { "inner-bind", HS_SETTING_ADDR, "0.0.0.0:0", 0, 0,
    OFFSET (agent.inner_bind_address),
    "IP:PORT to bind in place of \"inner\", if that is translated to it; port "
    "0: the same" },
  { "upstream", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (agent.upstream_address),
    "IP:PORT where the upstream receives segments (UDP)" },
  { "outbound", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (agent.outbound_address),
    "IP:PORT to listen on for segments of the upstream (UDP)" },
  { "heartbeats", HS_SETTING_ADDR, NULL, 0, 0,
    OFFSET (agent.heartbeats_address),
    "IP:PORT to listen on for heartbeats of the upstream (HTTP)" },
  { "health", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (agent.health_address),
    "IP:PORT to serve readiness and metrics on (HTTP)" },
  { "caller-at", HS_SETTING_ADDR, NULL, 0, 0,
    OFFSET (agent.caller_receive_address),
    "IP:PORT of which only the port is used: callers receive segments on it" },
  { "max-flow-s", HS_SETTING_DECIMAL, "60", 1, FLOW_LIFETIME_MAX_S,
    OFFSET (agent.flow_lifetime_s),
    "longest lifetime of a flow, s; bounds the flows that are kept" },
  { "heartbeat-ms", HS_SETTING_UINT, "1000", 10, HEARTBEAT_INTERVAL_MAX_MS,
    OFFSET (agent.heartbeat_ms), "heartbeat period of the upstream, ms" },
};

static const struct hs_program program = {
  "hibiscusspan-segment-agent -- forwards the segment flows of one upstream",
  NULL, settings_table, G_N_ELEMENTS (settings_table)
};

/* Private functions.  */

static void *on_create (void *fields, struct hs_log *log, GError **error);
static void on_start (void *ctx);
static void on_seeds (void *ctx, const struct hs_addrs *seeds);
static void on_drain (void *ctx);
static void on_destroy (void *ctx);

/* Public definitions.  */

int
main (int argc, char **argv)
{
  const struct hs_daemon daemon = { "hibiscusspan-segment-agent",
                                    &program,
                                    sizeof (struct program_settings),
                                    on_create,
                                    on_start,
                                    on_seeds,
                                    on_drain,
                                    on_destroy };

  return hs_daemon_run (&daemon, argc, argv);
}

/* Private definitions.  */

static void *
on_create (void *fields, struct hs_log *log, GError **error)
{
  struct program_settings *settings = fields;

  settings->agent.name = settings->common.name;
  settings->agent.seeds = settings->common.seeds;
  settings->agent.seed_port = settings->common.seed_port;
  settings->agent.adapter = hs_platform_adapter ();
  return hs_segment_agent_create (&settings->agent, log, error);
}

static void
on_start (void *ctx)
{
  hs_segment_agent_start (ctx);
}

static void
on_seeds (void *ctx, const struct hs_addrs *seeds)
{
  hs_segment_agent_set_seeds (ctx, seeds);
}

static void
on_drain (void *ctx)
{
  hs_segment_agent_drain (ctx);
}

static void
on_destroy (void *ctx)
{
  hs_segment_agent_destroy (ctx);
}
