/* daemon.h -- the main loop of a process that follows the control group: it
   loads the settings, runs until a stop signal, drains and exits.  */

#ifndef HS_DAEMON_DAEMON_H
#define HS_DAEMON_DAEMON_H

#include "base/log.h"
#include "base/settings.h"

/* The settings that all these daemons share: the first field of the settings
   struct of each program.  */
struct hs_daemon_settings
{
  const char *name;          /* Name of this process, unique in the system.  */
  const char *settings_file; /* Path of the settings file; "": none.  */
  struct hs_addrs seeds;     /* API addresses of control hosts.  */
  uint64_t seed_port;        /* Port of the control hosts' inner addresses.  */
  uint64_t log_rate;         /* Lines a second; 0: unlimited.  */
  bool debug;
};

#define HS_DAEMON_PORT_MAX 65535
#define HS_DAEMON_LOG_RATE_MAX 1000000 /* Lines a second.  */
#define HS_DAEMON_SETTING_OFFSET(field)                                       \
  offsetof (struct hs_daemon_settings, field)

/* The rows of the shared settings, for the settings table of a program.  */
#define HS_DAEMON_SETTINGS                                                    \
  { "name",                                                                   \
    HS_SETTING_NAME,                                                          \
    NULL,                                                                     \
    0,                                                                        \
    0,                                                                        \
    HS_DAEMON_SETTING_OFFSET (name),                                          \
    "name of this host's process, unique in the system" },                    \
      { "settings",                                                           \
        HS_SETTING_STRING,                                                    \
        "",                                                                   \
        0,                                                                    \
        0,                                                                    \
        HS_DAEMON_SETTING_OFFSET (settings_file),                             \
        "settings file, one VARIABLE=value a line; reloaded on SIGHUP and "   \
        "when it changes" },                                                  \
      { "seeds",                                                              \
        HS_SETTING_ADDRS,                                                     \
        NULL,                                                                 \
        0,                                                                    \
        0,                                                                    \
        HS_DAEMON_SETTING_OFFSET (seeds),                                     \
        "API addresses of some control hosts, IP:PORT, comma-separated" },    \
      { "seed-port",                                                          \
        HS_SETTING_UINT,                                                      \
        NULL,                                                                 \
        1,                                                                    \
        HS_DAEMON_PORT_MAX,                                                   \
        HS_DAEMON_SETTING_OFFSET (seed_port),                                 \
        "port of the control hosts' inner addresses" },                       \
      { "log-rate",                                                           \
        HS_SETTING_UINT,                                                      \
        "200",                                                                \
        0,                                                                    \
        HS_DAEMON_LOG_RATE_MAX,                                               \
        HS_DAEMON_SETTING_OFFSET (log_rate),                                  \
        "log lines allowed per second, counted separately for errors; 0: "    \
        "unlimited" },                                                        \
  {                                                                           \
    "debug", HS_SETTING_BOOL, "0", 0, 0, HS_DAEMON_SETTING_OFFSET (debug),    \
        "log debug messages too"                                              \
  }

/* A program that hs_daemon_run runs.  CREATE receives the settings struct as
   FIELDS, which outlives its result, and returns the CTX of the other
   callbacks, or NULL with ERROR set.  SET_SEEDS is called after the settings
   have been reloaded.  */
struct hs_daemon
{
  const char *name; /* Name of the program in the log.  */
  const struct hs_program *program;
  size_t fields_size; /* Bytes of the settings struct.  */
  void *(*create) (void *fields, struct hs_log *log, GError **error);
  void (*start) (void *ctx);
  void (*set_seeds) (void *ctx, const struct hs_addrs *seeds);
  void (*drain) (void *ctx); /* Returns once the drain is complete.  */
  void (*destroy) (void *ctx);
};

/* Runs DAEMON until SIGTERM or SIGINT.  Returns the exit status of the
   process.  */
int hs_daemon_run (const struct hs_daemon *daemon, int argc, char **argv);

#endif /* HS_DAEMON_DAEMON_H */
