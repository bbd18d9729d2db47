/* bench.c -- output and measuring functions of the benchmark programs.  */

#include "bench.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Constants.  */

#define PATH_SIZE 64 /* Bytes, with NUL.  */
#define TASK_DIR "/proc/self/task"
#define NS_PER_S 1000000000ull

/* Private functions.  */

static uint64_t thread_cpu_ns (const char *task_id, const char *name);

/* Public definitions.  */

void
bench_print_row (const char *name, double value, const char *unit)
{
  printf ("%s %.6g %s\n", name, value, unit);
  fflush (stdout);
}

uint64_t
bench_now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)ts.tv_sec * NS_PER_S + (uint64_t)ts.tv_nsec;
}

uint64_t
bench_thread_cpu_ns (const char *name)
{
  g_autoptr (GDir) dir = g_dir_open (TASK_DIR, 0, NULL);
  const char *task_id;
  uint64_t total = 0;

  while ((task_id = g_dir_read_name (dir)) != NULL)
    total += thread_cpu_ns (task_id, name);
  return total;
}

uint64_t
bench_heap_bytes (void)
{
  return mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
}

/* Private definitions.  */

/* Returns the CPU time in ns that the thread TASK_ID has used, or 0 if it is
   not called NAME or has ended.  */
static uint64_t
thread_cpu_ns (const char *task_id, const char *name)
{
  char path[PATH_SIZE];
  g_autofree char *comm = NULL;
  g_autofree char *stat = NULL;

  g_snprintf (path, sizeof path, TASK_DIR "/%s/comm", task_id);
  if (!g_file_get_contents (path, &comm, NULL, NULL))
    return 0;
  if (strcmp (g_strchomp (comm), name) != 0)
    return 0;
  g_snprintf (path, sizeof path, TASK_DIR "/%s/schedstat", task_id);
  if (!g_file_get_contents (path, &stat, NULL, NULL))
    return 0;
  return g_ascii_strtoull (stat, NULL, 10);
}
