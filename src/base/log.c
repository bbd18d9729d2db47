/* log.c -- a logger that writes JSON lines from a thread of its own.  */

#include "base/log.h"
#include "base/auto.h"
#include "base/worker.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Types.  */

#define QUEUE_LEN_MAX 1024 /* Lines that wait for the log thread.  */
#define TIME_SIZE 32       /* Bytes of a formatted time, with NUL.  */
#define OUTPUT_SIZE 16384  /* Bytes of output collected before a write.  */

struct hs_log
{
  const char *program;
  int fd;
  enum hs_log_level level;
  struct hs_ring *ring; /* Queue of char *, allocated with malloc.  */
  struct hs_worker *worker;
  _Atomic uint64_t rate_limit;       /* Lines per second; 0: no limit.  */
  _Atomic uint64_t current_second;   /* Second of the monotonic clock.  */
  _Atomic uint64_t lines_in_second;  /* Less severe than HS_LOG_ERROR.  */
  _Atomic uint64_t errors_in_second; /* At HS_LOG_ERROR.  */
  _Atomic uint64_t dropped_by_rate;  /* Lines since the start.  */

  /* Used by the log thread only.  */
  size_t output_len;
  char output[OUTPUT_SIZE];
};

static const char *const level_names[] = { [HS_LOG_ERROR] = "error",
                                           [HS_LOG_WARNING] = "warning",
                                           [HS_LOG_INFO] = "info",
                                           [HS_LOG_DEBUG] = "debug" };

/* Private functions.  */

static bool is_within_rate (struct hs_log *log, enum hs_log_level level);
static void on_line (void *ctx, void *item);
static void write_output (void *ctx);
static json_t *create_line (struct hs_log *log, enum hs_log_level level,
                            const char *event);
static void format_time (char *text);

/* Public definitions.  */

struct hs_log *
hs_log_create (const char *program, int fd, enum hs_log_level level)
{
  struct hs_log *log = talloc_zero (NULL, struct hs_log);

  log->program = program;
  log->fd = fd;
  log->level = level;
  log->ring = hs_ring_create (log, QUEUE_LEN_MAX);
  log->worker = hs_worker_create ("log");
  hs_worker_watch_ring (log->worker, log->ring, on_line, log);
  hs_worker_set_after_items (log->worker, write_output, log);
  hs_worker_start (log->worker);
  return log;
}

void
hs_log_destroy (struct hs_log *log)
{
  void *line;

  hs_worker_stop (log->worker);
  while ((line = hs_ring_pop (log->ring)) != NULL)
    on_line (log, line);
  write_output (log);
  hs_worker_destroy (log->worker);
  talloc_free (log);
}

void
hs_log_write (struct hs_log *log, enum hs_log_level level, const char *event,
              const char *format, ...)
{
  HS_AUTO_JSON json_t *line = NULL;
  char *text;
  va_list args;

  if (level > log->level || !is_within_rate (log, level))
    return;
  line = create_line (log, level, event);
  if (format != NULL)
    {
      HS_AUTO_JSON json_t *fields = NULL;

      va_start (args, format);
      fields = json_vpack_ex (NULL, 0, format, args);
      va_end (args);
      if (fields != NULL)
        json_object_update (line, fields);
    }
  text = json_dumps (line, JSON_COMPACT);
  if (!hs_ring_push (log->ring, text))
    free (text);
}

uint64_t
hs_log_dropped (struct hs_log *log)
{
  return hs_ring_rejected (log->ring) + atomic_load (&log->dropped_by_rate);
}

void
hs_log_set_rate_limit (struct hs_log *log, uint64_t lines_per_s)
{
  atomic_store (&log->rate_limit, lines_per_s);
}

/* Private definitions.  */

/* Counts a line and returns whether it is within the rate limit.  Errors have
   a limit of their own, so that a flood of lines about requests does not
   suppress them.  Threads that run at the start of a second may reset the
   counts more than once, or after other lines were counted; a few more lines
   then pass.  */
static bool
is_within_rate (struct hs_log *log, enum hs_log_level level)
{
  uint64_t rate_limit = atomic_load (&log->rate_limit);
  uint64_t current_second = hs_clock_monotonic () / 1000;

  if (rate_limit == 0)
    return true;
  if (atomic_exchange (&log->current_second, current_second) != current_second)
    {
      atomic_store (&log->lines_in_second, 0);
      atomic_store (&log->errors_in_second, 0);
    }
  if (atomic_fetch_add (level == HS_LOG_ERROR ? &log->errors_in_second
                                              : &log->lines_in_second,
                        1)
      < rate_limit)
    return true;
  atomic_fetch_add (&log->dropped_by_rate, 1);
  return false;
}

/* Appends the text ITEM as a line to the output buffer and frees ITEM.  A line
   longer than the buffer is dropped and not counted.  */
static void
on_line (void *ctx, void *item)
{
  struct hs_log *log = ctx;
  char *text = item;
  size_t len = strlen (text);

  if (log->output_len + len + 1 > OUTPUT_SIZE)
    write_output (log);
  if (len + 1 <= OUTPUT_SIZE)
    {
      memcpy (log->output + log->output_len, text, len);
      log->output[log->output_len + len] = '\n';
      log->output_len += len + 1;
    }
  free (text);
}

/* Writes and empties the output buffer.  If a write fails, as on a closed
   pipe, the rest of the buffer is lost.  */
static void
write_output (void *ctx)
{
  struct hs_log *log = ctx;
  size_t written = 0;

  while (written < log->output_len)
    {
      ssize_t count
          = write (log->fd, log->output + written, log->output_len - written);

      if (count <= 0)
        break;
      written += (size_t)count;
    }
  log->output_len = 0;
}

/* Returns a new object with the fields that all lines have.  */
static json_t *
create_line (struct hs_log *log, enum hs_log_level level, const char *event)
{
  char time_text[TIME_SIZE];

  format_time (time_text);
  return json_pack ("{s:s, s:s, s:s, s:s}", "time", time_text, "level",
                    level_names[level], "program", log->program, "event",
                    event);
}

/* Writes the wall clock in UTC, such as 2026-01-31T12:00:00.123Z, to TEXT,
   which has room for TIME_SIZE bytes.  */
static void
format_time (char *text)
{
  uint64_t ms = hs_clock_wall ();
  time_t seconds = (time_t)(ms / 1000);
  struct tm tm;
  size_t len;

  gmtime_r (&seconds, &tm);
  len = strftime (text, TIME_SIZE, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (text + len, TIME_SIZE - len, ".%03uZ", (unsigned)(ms % 1000));
}
