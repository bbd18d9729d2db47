/* log.c -- the logger: JSON lines, written by a thread of its own.  */

#include "base/log.h"
#include "base/auto.h"
#include "base/worker.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Types.  */

#define LINES_QUEUED 1024
#define TIME_SIZE 32
#define OUTPUT_SIZE 16384 /* Bytes written at once.  */

struct hs_log
{
  const char *program;
  int fd;
  enum hs_log_level level;
  struct hs_ring *ring; /* Of char *, released with free.  */
  struct hs_worker *duty;
  _Atomic uint64_t rate;   /* Lines a second; 0: no bound.  */
  _Atomic uint64_t second; /* That the next two belong to.  */
  _Atomic uint64_t lines;
  _Atomic uint64_t errors;
  _Atomic uint64_t over_rate; /* Lines dropped, ever.  */

  /* Of the log thread alone.  */
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
  log->ring = hs_ring_create (log, LINES_QUEUED);
  log->duty = hs_worker_create ("log");
  hs_worker_watch_ring (log->duty, log->ring, on_line, log);
  hs_worker_after_items (log->duty, write_output, log);
  hs_worker_start (log->duty);
  return log;
}

void
hs_log_destroy (struct hs_log *log)
{
  void *line;

  hs_worker_stop (log->duty);
  while ((line = hs_ring_pop (log->ring)) != NULL)
    on_line (log, line);
  write_output (log);
  hs_worker_destroy (log->duty);
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
  return hs_ring_refused (log->ring) + atomic_load (&log->over_rate);
}

void
hs_log_set_rate (struct hs_log *log, uint64_t lines_per_s)
{
  atomic_store (&log->rate, lines_per_s);
}

/* Private definitions.  */

/* Errors have a share of their own, so that a flood of lines about requests
   hides none.  Two threads may both begin a second: a few lines more then
   pass.  */
static bool
is_within_rate (struct hs_log *log, enum hs_log_level level)
{
  uint64_t rate = atomic_load (&log->rate);
  uint64_t second = hs_clock_now () / 1000;

  if (rate == 0)
    return true;
  if (atomic_exchange (&log->second, second) != second)
    {
      atomic_store (&log->lines, 0);
      atomic_store (&log->errors, 0);
    }
  if (atomic_fetch_add (level == HS_LOG_ERROR ? &log->errors : &log->lines, 1)
      < rate)
    return true;
  atomic_fetch_add (&log->over_rate, 1);
  return false;
}

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

/* What a closed output does not take is lost.  */
static void
write_output (void *ctx)
{
  struct hs_log *log = ctx;
  size_t done = 0;

  while (done < log->output_len)
    {
      ssize_t count
          = write (log->fd, log->output + done, log->output_len - done);

      if (count <= 0)
        break;
      done += (size_t)count;
    }
  log->output_len = 0;
}

static json_t *
create_line (struct hs_log *log, enum hs_log_level level, const char *event)
{
  char time_text[TIME_SIZE];

  format_time (time_text);
  return json_pack ("{s:s, s:s, s:s, s:s}", "time", time_text, "level",
                    level_names[level], "program", log->program, "event",
                    event);
}

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
