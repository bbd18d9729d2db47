/* daemon.h -- the life of a process that follows the control hosts, from its
   settings to its last line of the log.  */

#ifndef HS_DAEMON_DAEMON_H
#define HS_DAEMON_DAEMON_H

#include "base/log.h"
#include "base/settings.h"

/* What every such process is told; the first field of its own struct.  */
struct hs_daemon_settings
{
  const char *name;      /* Of this process, unique in the system.  */
  const char *file;      /* Of settings; "": none.  */
  struct hs_addrs seeds; /* API addresses of control hosts.  */
  uint64_t seed_port;    /* Of their inner addresses.  */
  uint64_t log_rate;     /* Lines a second; 0: no bound.  */
  bool debug;
};

/* The rows of these settings, for the table of a program.  */
#define HS_DAEMON_PORT_MAX 65535
#define HS_DAEMON_LOG_RATE_MAX 1000000
#define HS_DAEMON_SETTING_OFFSET(field)                                       \
  offsetof (struct hs_daemon_settings, field)
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
        HS_DAEMON_SETTING_OFFSET (file),                                      \
        "file of settings, lines of VARIABLE=value; read again on SIGHUP "    \
        "and "                                                                \
        "when it changes" },                                                  \
      { "seeds",                                                              \
        HS_SETTING_ADDRS,                                                     \
        NULL,                                                                 \
        0,                                                                    \
        0,                                                                    \
        HS_DAEMON_SETTING_OFFSET (seeds),                                     \
        "API addresses of some control hosts, IP:PORT with commas" },         \
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
        "lines of the log a second at most, and as many errors; 0: no "       \
        "bound" },                                                            \
  {                                                                           \
    "debug", HS_SETTING_FLAG, "0", 0, 0, HS_DAEMON_SETTING_OFFSET (debug),    \
        "log more"                                                            \
  }

/* CTX is what CREATE returned; CREATE's FIELDS live as long as it.  */
struct hs_daemon
{
  const char *name; /* Of the program, in the log.  */
  const struct hs_program *program;
  size_t fields_size; /* Of what the settings fill, bytes.  */
  void *(*create) (void *fields, struct hs_log *log, GError **error);
  void (*start) (void *ctx);
  void (*set_seeds) (void *ctx, const struct hs_addrs *seeds);
  void (*drain) (void *ctx);
  void (*destroy) (void *ctx);
};

/* Runs until SIGTERM or SIGINT; the exit status of the process.  */
int hs_daemon_run (const struct hs_daemon *daemon, int argc, char **argv);

#endif /* HS_DAEMON_DAEMON_H */
