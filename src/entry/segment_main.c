/* segment_main.c -- the program hibiscusspan-segment-entry: the entry daemon
   of segment flows.  */

#include "daemon/daemon.h"
#include "entry/segment_entry.h"
#include "platform/platform.h"

#include <stdlib.h>

/* Types.  */

#define DRAIN_MAX_LIMIT_MS 3600000 /* 1 h.  */
#define UPLINK_MAX_MBPS 1000000

#define FLOW_LIFETIME_MAX_S 86400

struct program_settings
{
  struct hs_daemon_settings common;
  struct hs_segment_entry_settings entry;
};

#define OFFSET(field) offsetof (struct program_settings, field)

static const struct hs_setting settings_table[] = {
  HS_DAEMON_SETTINGS,
  { "zone", HS_SETTING_NAME, NULL, 0, 0, OFFSET (entry.zone),
    "availability zone of this host" },
  { "zones", HS_SETTING_STRING, "", 0, 0, OFFSET (entry.zones),
    "region of each availability zone: ZONE:REGION,ZONE:REGION" },
  { "segments", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (entry.segments_address),
    "IP:PORT to listen on for callers' segments (UDP)" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (entry.inner_address),
    "IP:PORT to listen on for agents and control hosts (UDP)" },
  { "inner-bind", HS_SETTING_ADDR, "0.0.0.0:0", 0, 0,
    OFFSET (entry.inner_bind_address),
    "IP:PORT to bind in place of \"inner\", if that is translated to it; port "
    "0: the same" },
  { "health", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (entry.health_address),
    "IP:PORT to serve readiness and metrics on (HTTP)" },
  { "link-mbps", HS_SETTING_DECIMAL, "0", 0, UPLINK_MAX_MBPS,
    OFFSET (entry.uplink_mbps),
    "rate of this host's uplink, Mbit/s; 0: unlimited" },
  { "max-flow-s", HS_SETTING_DECIMAL, "60", 1, FLOW_LIFETIME_MAX_S,
    OFFSET (entry.flow_lifetime_s),
    "longest lifetime of a flow, s; bounds the flows that are kept" },
  { "drain-max-ms", HS_SETTING_UINT, "5000", 0, DRAIN_MAX_LIMIT_MS,
    OFFSET (entry.drain_max_ms),
    "longest time that a stop waits for callers' segments to cease, ms" },
};

static const struct hs_program program
    = { "hibiscusspan-segment-entry -- forwards callers' segments to agents",
        NULL, settings_table, G_N_ELEMENTS (settings_table) };

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
  const struct hs_daemon daemon = { "hibiscusspan-segment-entry",
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

  settings->entry.name = settings->common.name;
  settings->entry.seeds = settings->common.seeds;
  settings->entry.seed_port = settings->common.seed_port;
  settings->entry.adapter = hs_platform_adapter ();
  return hs_segment_entry_create (&settings->entry, log, error);
}

static void
on_start (void *ctx)
{
  hs_segment_entry_start (ctx);
}

static void
on_seeds (void *ctx, const struct hs_addrs *seeds)
{
  hs_segment_entry_set_seeds (ctx, seeds);
}

static void
on_drain (void *ctx)
{
  hs_segment_entry_drain (ctx);
}

static void
on_destroy (void *ctx)
{
  hs_segment_entry_destroy (ctx);
}
