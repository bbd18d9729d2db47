/* group_main.c -- hibiscusspan-control-group.  */

#include "control/group.h"
#include "daemon/daemon.h"
#include "platform/platform.h"

#include <stdlib.h>

/* Types.  */

struct fields
{
  struct hs_daemon_settings common;
  struct hs_group_settings group;
};

#define AT(field) offsetof (struct fields, field)

static const struct hs_setting settings_table[] = {
  HS_DAEMON_SETTINGS,
  { "data", HS_SETTING_STRING, NULL, 0, 0, AT (group.data_folder),
    "folder of the journal; it must exist" },
  { "inner", HS_SETTING_ADDR, NULL, 0, 0, AT (group.inner_address),
    "IP:PORT of control hosts, entries and agents (UDP)" },
  { "api", HS_SETTING_ADDR, NULL, 0, 0, AT (group.api_address),
    "IP:PORT of operators, /healthz and /metrics (HTTP)" },
  { "bootstrap", HS_SETTING_FLAG, "0", 0, 0, AT (group.bootstrap),
    "1: the seeds are the first group of a new system" },
};

static const struct hs_program program
    = { "hibiscusspan-control-group -- keeps the configuration with other "
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

  all->group.name = all->common.name;
  all->group.seeds = all->common.seeds;
  all->group.seed_port = all->common.seed_port;
  all->group.adapter = hs_platform_adapter ();
  return hs_group_create (&all->group, log, error);
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
