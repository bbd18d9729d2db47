/* process.h -- signals of a daemon process: stop, restart and reload.  */

#ifndef HS_DAEMON_PROCESS_H
#define HS_DAEMON_PROCESS_H

/* Blocks the handled signals and ignores SIGPIPE.  Call it first in main:
   threads inherit the signal mask.  */
void hs_process_init (void);

enum hs_process_request
{
  HS_PROCESS_TERMINATE, /* SIGTERM or SIGINT: the process ends for good.  */
  HS_PROCESS_RESTART    /* SIGHUP: a new process takes its place.  */
};

/* Sleeps until one of these signals arrives.  Returns what it requests.  */
enum hs_process_request hs_process_wait_signal (void);

typedef void hs_process_reload_fn (void *ctx);

/* Sleeps until SIGTERM or SIGINT.  Calls RELOAD on SIGHUP and when the file at
   PATH has changed; a PATH of "" means no file.  */
void hs_process_run (const char *path, hs_process_reload_fn *reload,
                     void *ctx);

/* Sends SIGTERM to this process.  Any thread may call it.  */
void hs_process_stop (void);

#endif /* HS_DAEMON_PROCESS_H */
