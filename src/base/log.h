/* log.h -- a logger that writes JSON lines from a thread of its own.

   A thread that logs never waits for the output.  A line is dropped and
   counted if the queue is full or the rate limit is exceeded.  */

#ifndef HS_BASE_LOG_H
#define HS_BASE_LOG_H

#include <stdint.h>

enum hs_log_level
{
  HS_LOG_ERROR,
  HS_LOG_WARNING,
  HS_LOG_INFO,
  HS_LOG_DEBUG
};

struct hs_log;

/* Starts a logger that writes the lines at LEVEL and at more severe levels to
   FD.  PROGRAM appears in each line.  FD, which is not closed, and PROGRAM,
   which is not copied, must outlive the logger.  Release it with
   hs_log_destroy.  */
struct hs_log *hs_log_create (const char *program, int fd,
                              enum hs_log_level level);

/* Stops the thread, writes the queued lines and frees LOG.  */
void hs_log_destroy (struct hs_log *log);

/* Queues one line.  EVENT names what happened.  FORMAT and the arguments that
   follow are passed to json_pack and must make an object, whose fields are
   added to the line; NULL adds none.  Any thread may call this function.  */
void hs_log_write (struct hs_log *log, enum hs_log_level level,
                   const char *event, const char *format, ...);

/* Returns the number of lines dropped because the queue was full or the rate
   limit was exceeded.  */
uint64_t hs_log_dropped (struct hs_log *log);

/* Limits the output to LINES_PER_S lines at HS_LOG_ERROR and LINES_PER_S lines
   at other levels per second.  0, the default, means no limit.  */
void hs_log_set_rate_limit (struct hs_log *log, uint64_t lines_per_s);

#endif /* HS_BASE_LOG_H */
