/* process.h -- start and stop of a daemon's process.  */

#ifndef HS_DAEMON_PROCESS_H
#define HS_DAEMON_PROCESS_H

void hs_process_init (void); /* First in main, before any thread.  */
enum hs_process_stop
{
  HS_PROCESS_TERMINATE, /* SIGTERM or SIGINT: it ends for good.  */
  HS_PROCESS_RESTART    /* SIGHUP: a new process takes its place.  */
};

enum hs_process_stop hs_process_wait_signal (void); /* Sleeps.  */

typedef void hs_process_reload_fn (void *ctx);

/* Sleeps until SIGTERM or SIGINT.  RELOAD is called on SIGHUP, and when the
   file at PATH has changed; PATH "": no file.  */
void hs_process_run (const char *path, hs_process_reload_fn *reload,
                     void *ctx);
void hs_process_stop (void); /* As if by SIGTERM; any thread.  */

#endif /* HS_DAEMON_PROCESS_H */
