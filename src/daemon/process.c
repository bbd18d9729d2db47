/* process.c -- signals of a daemon process: stop, restart and reload.  */

#include "daemon/process.h"

#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/stat.h>
#include <unistd.h>

/* Types.  */

/* Interval between checks of the settings file, which may change without a
   signal.  */
#define FILE_POLL_S 2

/* Private functions.  */

static void fill_handled_signals (sigset_t *set);
static bool has_changed (const char *path, struct stat *last);

/* Public definitions.  */

void
hs_process_init (void)
{
  sigset_t set;

  fill_handled_signals (&set);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

enum hs_process_request
hs_process_wait_signal (void)
{
  sigset_t set;
  int signal_number;

  fill_handled_signals (&set);
  sigwait (&set, &signal_number);
  return signal_number == SIGHUP ? HS_PROCESS_RESTART : HS_PROCESS_TERMINATE;
}

void
hs_process_run (const char *path, hs_process_reload_fn *reload, void *ctx)
{
  struct timespec poll_period = { .tv_sec = FILE_POLL_S };
  struct stat last = { 0 };
  sigset_t set;

  fill_handled_signals (&set);
  has_changed (path, &last);
  for (;;)
    {
      int signal_number = sigtimedwait (&set, NULL, &poll_period);

      if (signal_number == SIGTERM || signal_number == SIGINT)
        return;
      if (has_changed (path, &last) || signal_number == SIGHUP)
        reload (ctx);
    }
}

void
hs_process_stop (void)
{
  kill (getpid (), SIGTERM);
}

/* Private definitions.  */

static void
fill_handled_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGHUP);
}

/* Returns whether the file at PATH differs from LAST, and updates LAST.  A
   file that does not exist counts as unchanged.  */
static bool
has_changed (const char *path, struct stat *last)
{
  struct stat now;
  bool changed;

  if (path[0] == '\0' || stat (path, &now) != 0)
    return false;
  changed = now.st_ino != last->st_ino || now.st_size != last->st_size
            || now.st_mtim.tv_sec != last->st_mtim.tv_sec
            || now.st_mtim.tv_nsec != last->st_mtim.tv_nsec;
  *last = now;
  return changed;
}
