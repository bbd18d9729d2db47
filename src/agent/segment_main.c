/* segment_main.c -- hibiscusspan-segment-agent.  */

#include "agent/segment_agent.h"
#include "daemon/daemon.h"
#include "platform/platform.h"

#include <stdlib.h>

/* Types.  */

#define HEARTBEAT_PERIOD_MAX_MS 60000

struct fields
{
  struct hs_daemon_settings common;
  struct hs_segment_agent_settings agent;
};

#define AT(field) offsetof (struct fields, field)

static const struct hs_setting settings_table[] = {
  HS_DAEMON_SETTINGS,
  { "zone", HS_SETTING_NAME, NULL, 0, 0, AT (agent.zone),
    "availability zone of this host" },
  { "service", HS_SETTING_NAME, NULL, 0, 0, AT (agent.service_name),
    "service of the upstream" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.inner_address),
    "IP:PORT of entries and control hosts (UDP)" },
  { "upstream", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.upstream_address),
    "IP:PORT where the upstream takes segments (UDP)" },
  { "outbound", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.outbound_address),
    "IP:PORT where the upstream sends its segments (UDP)" },
  { "heartbeats", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.heartbeats_address),
    "IP:PORT where the upstream reports (HTTP)" },
  { "health", HS_SETTING_ADDR, NULL, 0, 0, AT (agent.health_address),
    "IP:PORT of readiness and metrics (HTTP)" },
  { "caller-at", HS_SETTING_ADDR, NULL, 0, 0,
    AT (agent.caller_receive_address),
    "IP:PORT whose port is that where callers take answers" },
  { "heartbeat-ms", HS_SETTING_UINT, "1000", 10, HEARTBEAT_PERIOD_MAX_MS,
    AT (agent.heartbeat_ms),
    "time between two heartbeats of the upstream, ms" },
};

static const struct hs_program program = {
  "hibiscusspan-segment-agent -- serves segment flows beside one upstream",
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
                                    sizeof (struct fields),
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
  struct fields *all = fields;

  all->agent.name = all->common.name;
  all->agent.seeds = all->common.seeds;
  all->agent.seed_port = all->common.seed_port;
  all->agent.adapter = hs_platform_adapter ();
  return hs_segment_agent_create (&all->agent, log, error);
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
