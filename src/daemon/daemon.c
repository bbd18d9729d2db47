/* daemon.c -- the life of a process that follows the control hosts.  */

#include "daemon/daemon.h"
#include "base/auto.h"
#include "daemon/process.h"

#include <stdlib.h>
#include <talloc.h>
#include <unistd.h>

/* Types.  */

/* What a reload needs.  */
struct life
{
  const struct hs_daemon *daemon;
  int argc;
  char **argv;
  struct hs_log *log;
  void *ctx;
};

/* Private functions.  */

static void on_reload (void *ctx);

/* Public definitions.  */

int
hs_daemon_run (const struct hs_daemon *daemon, int argc, char **argv)
{
  HS_AUTO_TALLOC void *fields = talloc_zero_size (NULL, daemon->fields_size);
  const struct hs_daemon_settings *settings = fields;
  struct life life = { .daemon = daemon, .argc = argc, .argv = argv };
  g_autoptr (GError) error = NULL;

  hs_process_init ();
  hs_settings_load_or_exit (daemon->program, argc, argv, fields, NULL);
  life.log = hs_log_create (daemon->name, STDOUT_FILENO,
                            settings->debug ? HS_LOG_DEBUG : HS_LOG_INFO);
  hs_log_set_rate (life.log, settings->log_rate);
  life.ctx = daemon->create (fields, life.log, &error);
  if (life.ctx == NULL)
    {
      hs_log_write (life.log, HS_LOG_ERROR, "cannot-start", "{s:s}", "error",
                    error->message);
      hs_log_destroy (life.log);
      return EXIT_FAILURE;
    }
  daemon->start (life.ctx);
  hs_log_write (life.log, HS_LOG_INFO, "started", "{s:s}", "name",
                settings->name);
  hs_process_run (settings->file, on_reload, &life);
  daemon->drain (life.ctx);
  daemon->destroy (life.ctx);
  hs_log_write (life.log, HS_LOG_INFO, "stopped", NULL);
  hs_log_destroy (life.log);
  return EXIT_SUCCESS;
}

/* Private definitions.  */

/* Only the seeds and the log's rate change in a running process.  */
static void
on_reload (void *ctx)
{
  struct life *life = ctx;
  const struct hs_daemon *daemon = life->daemon;
  HS_AUTO_TALLOC void *fields = talloc_zero_size (NULL, daemon->fields_size);
  const struct hs_daemon_settings *settings = fields;
  g_autoptr (GError) error = NULL;

  if (!hs_settings_load (daemon->program, life->argc, life->argv, fields, NULL,
                         &error))
    {
      hs_log_write (life->log, HS_LOG_ERROR, "reload-refused", "{s:s}",
                    "error", error->message);
      return;
    }
  hs_log_set_rate (life->log, settings->log_rate);
  daemon->set_seeds (life->ctx, &settings->seeds);
  hs_log_write (life->log, HS_LOG_INFO, "reloaded", "{s:i}", "seeds",
                (int)settings->seeds.len);
}
