/* group_main.c -- the program hibiscusspan-control-group: settings and
   start.  */

#include "control/group.h"
#include "daemon/daemon.h"
#include "platform/platform.h"

#include <stdlib.h>

/* Types.  */

/* All settings of the program.  */
struct program_settings
{
  struct hs_daemon_settings common;
  struct hs_group_settings group;
};

/* The group has at most 15 voting hosts, and tolerates fewer losses.  */
#define TOLERATED_LOSSES_MAX 1000

#define OFFSET(field) offsetof (struct program_settings, field)

static const struct hs_setting settings_table[] = {
  HS_DAEMON_SETTINGS,
  { "data", HS_SETTING_STRING, NULL, 0, 0, OFFSET (group.data_folder),
    "existing folder for the journal" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (group.inner_address),
    "IP:PORT that control hosts, entries and agents send to (UDP)" },
  { "inner-bind", HS_SETTING_ADDR, "0.0.0.0:0", 0, 0,
    OFFSET (group.inner_bind_address),
    "IP:PORT to bind in place of \"inner\", if that is translated to it; port "
    "0: the same" },
  { "api", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (group.api_address),
    "IP:PORT that serves the operators' API, /healthz and /metrics (HTTP)" },
  { "tolerated-losses", HS_SETTING_UINT, "1", 0, TOLERATED_LOSSES_MAX,
    OFFSET (group.tolerated_losses),
    "control hosts that may be lost at once, with their disks" },
  { "zones", HS_SETTING_STRING, "", 0, 0, OFFSET (group.zones),
    "region of each availability zone: ZONE:REGION,ZONE:REGION" },
  { "bootstrap", HS_SETTING_BOOL, "0", 0, 0, OFFSET (group.bootstrap),
    "1: an empty data folder starts a new group of the seeds" },
};

static const struct hs_program program
    = { "hibiscusspan-control-group -- replicates the configuration among "
        "control hosts",
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
  const struct hs_daemon daemon = { "hibiscusspan-control-group",
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

  settings->group.name = settings->common.name;
  settings->group.seeds = settings->common.seeds;
  settings->group.seed_port = settings->common.seed_port;
  settings->group.adapter = hs_platform_adapter ();
  return hs_group_create (&settings->group, log, error);
}

static void
on_start (void *ctx)
{
  hs_group_start (ctx);
}

static void
on_seeds (void *ctx, const struct hs_addrs *seeds)
{
  hs_group_set_seeds (ctx, seeds);
}

static void
on_drain (void *ctx)
{
  hs_group_drain (ctx);
}

static void
on_destroy (void *ctx)
{
  hs_group_destroy (ctx);
}
