/* bench.h -- output and measuring functions of the benchmark programs.  */

#ifndef HS_BENCH_BENCH_H
#define HS_BENCH_BENCH_H

#include "hibiscusspan.h"

/* Prints the line "NAME VALUE UNIT" to stdout and flushes it.  */
void bench_print_row (const char *name, double value, const char *unit);

/* Returns the time of CLOCK_MONOTONIC in ns.  */
uint64_t bench_now_ns (void);

/* Returns the CPU time in ns that the existing threads called NAME of this
   process have used in total, or 0 if there are none.  */
uint64_t bench_thread_cpu_ns (const char *name);

/* Returns the size in bytes of the heap memory in use, large mapped blocks
   included.  */
uint64_t bench_heap_bytes (void);

#endif /* HS_BENCH_BENCH_H */
