/* process.c -- start and stop of a daemon's process.  */

#include "daemon/process.h"

#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/stat.h>
#include <unistd.h>

/* Types.  */

/* Between two looks at the file of settings, which may change without a
   signal.  */
#define LOOK_S 2

/* Private functions.  */

static void fill_stop_signals (sigset_t *set);
static bool has_changed (const char *path, struct stat *last);

/* Public definitions.  */

void
hs_process_init (void)
{
  sigset_t set;

  fill_stop_signals (&set);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

enum hs_process_stop
hs_process_wait_signal (void)
{
  sigset_t set;
  int number;

  fill_stop_signals (&set);
  sigwait (&set, &number);
  return number == SIGHUP ? HS_PROCESS_RESTART : HS_PROCESS_TERMINATE;
}

void
hs_process_run (const char *path, hs_process_reload_fn *reload, void *ctx)
{
  struct timespec look = { .tv_sec = LOOK_S };
  struct stat last = { 0 };
  sigset_t set;

  fill_stop_signals (&set);
  has_changed (path, &last);
  for (;;)
    {
      int number = sigtimedwait (&set, NULL, &look);

      if (number == SIGTERM || number == SIGINT)
        return;
      if (has_changed (path, &last) || number == SIGHUP)
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
fill_stop_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGHUP);
}

/* Keeps in LAST what was seen.  A file that is gone has not changed.  */
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
