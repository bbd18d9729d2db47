/* log.h -- the logger: JSON lines, written by a thread of its own.  */

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

struct hs_log *hs_log_create (const char *program, int fd,
                              enum hs_log_level level); /* Starts.  */
void hs_log_destroy (struct hs_log *log); /* Writes what is queued, stops.  */

/* Queues one line.  FORMAT and what follows are those of json_pack and make
   an object; NULL adds no field.  A full queue drops the line and counts
   it.  Any thread may call.  */
void hs_log_write (struct hs_log *log, enum hs_log_level level,
                   const char *event, const char *format, ...);
uint64_t hs_log_dropped (struct hs_log *log); /* Lines.  */

/* At most that many lines a second, and as many again of errors; the others
   are dropped and counted.  0: no bound.  */
void hs_log_set_rate (struct hs_log *log, uint64_t lines_per_s);

#endif /* HS_BASE_LOG_H */
