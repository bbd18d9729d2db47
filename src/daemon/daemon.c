/* daemon.c -- the main loop of a process that follows the control group.  */

#include "daemon/daemon.h"
#include "base/auto.h"
#include "daemon/process.h"

#include <stdlib.h>
#include <talloc.h>
#include <unistd.h>

/* Types.  */

/* Arguments of on_reload.  */
struct reload_context
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
  struct reload_context context
      = { .daemon = daemon, .argc = argc, .argv = argv };
  g_autoptr (GError) error = NULL;

  hs_process_init ();
  hs_settings_load_or_exit (daemon->program, argc, argv, fields, NULL);
  context.log = hs_log_create (daemon->name, STDOUT_FILENO,
                               settings->debug ? HS_LOG_DEBUG : HS_LOG_INFO);
  hs_log_set_rate_limit (context.log, settings->log_rate);
  context.ctx = daemon->create (fields, context.log, &error);
  if (context.ctx == NULL)
    {
      hs_log_write (context.log, HS_LOG_ERROR, "cannot-start", "{s:s}",
                    "error", error->message);
      hs_log_destroy (context.log);
      return g_error_matches (error, HS_ERROR, HS_ERROR_INVALID)
                 ? HS_EXIT_USAGE
                 : EXIT_FAILURE;
    }
  daemon->start (context.ctx);
  hs_log_write (context.log, HS_LOG_INFO, "started", "{s:s}", "name",
                settings->name);
  hs_process_run (settings->settings_file, on_reload, &context);
  daemon->drain (context.ctx);
  daemon->destroy (context.ctx);
  hs_log_write (context.log, HS_LOG_INFO, "stopped", NULL);
  hs_log_destroy (context.log);
  return EXIT_SUCCESS;
}

/* Private definitions.  */

/* Applies only the seeds and the log rate: the other settings take effect at
   the next start.  */
static void
on_reload (void *ctx)
{
  struct reload_context *context = ctx;
  const struct hs_daemon *daemon = context->daemon;
  HS_AUTO_TALLOC void *fields = talloc_zero_size (NULL, daemon->fields_size);
  const struct hs_daemon_settings *settings = fields;
  g_autoptr (GError) error = NULL;

  if (!hs_settings_load (daemon->program, context->argc, context->argv, fields,
                         NULL, &error))
    {
      hs_log_write (context->log, HS_LOG_ERROR, "reload-refused", "{s:s}",
                    "error", error->message);
      return;
    }
  hs_log_set_rate_limit (context->log, settings->log_rate);
  daemon->set_seeds (context->ctx, &settings->seeds);
  hs_log_write (context->log, HS_LOG_INFO, "reloaded", "{s:i}", "seeds",
                (int)settings->seeds.len);
}
