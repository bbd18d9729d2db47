/* segment_main.c -- hibiscusspan-segment-entry.  */

#include "daemon/daemon.h"
#include "entry/segment_entry.h"
#include "platform/platform.h"

#include <stdlib.h>

/* Types.  */

#define DRAIN_MAX_LIMIT_MS 3600000
#define UPLINK_MAX_MBPS 1000000

struct fields
{
  struct hs_daemon_settings common;
  struct hs_segment_entry_settings entry;
};

#define AT(field) offsetof (struct fields, field)

static const struct hs_setting settings_table[] = {
  HS_DAEMON_SETTINGS,
  { "zone", HS_SETTING_NAME, NULL, 0, 0, AT (entry.zone),
    "availability zone of this host" },
  { "segments", HS_SETTING_ADDR, NULL, 0, 0, AT (entry.segments_address),
    "IP:PORT that callers' segments come to (UDP)" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, AT (entry.inner_address),
    "IP:PORT of agents and control hosts (UDP)" },
  { "health", HS_SETTING_ADDR, NULL, 0, 0, AT (entry.health_address),
    "IP:PORT of readiness and metrics (HTTP)" },
  { "link-mbps", HS_SETTING_DECIMAL, "0", 0, UPLINK_MAX_MBPS,
    AT (entry.uplink_mbps),
    "rate of this host's link, Mbit/s; 0: not a bound" },
  { "drain-max-ms", HS_SETTING_UINT, "5000", 0, DRAIN_MAX_LIMIT_MS,
    AT (entry.drain_max_ms),
    "longest time a stop waits for callers' segments to cease, ms" },
};

static const struct hs_program program
    = { "hibiscusspan-segment-entry -- passes callers' segments to agents",
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

  all->entry.name = all->common.name;
  all->entry.seeds = all->common.seeds;
  all->entry.seed_port = all->common.seed_port;
  all->entry.adapter = hs_platform_adapter ();
  return hs_segment_entry_create (&all->entry, log, error);
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
