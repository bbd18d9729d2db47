/* log_disk.h -- the thread that keeps a replica's records on disk.

   Jobs are written in order; those that wait together share one write and
   one sync.  */

#ifndef HS_CONTROL_LOG_DISK_H
#define HS_CONTROL_LOG_DISK_H

#include "base/ring.h"
#include "consensus/journal.h"

struct hs_log_job
{
  uint64_t seq;
  uint64_t asked_at; /* ms  */
  bool replaces;     /* All that is on disk.  */
  size_t len;
  size_t size;
  struct hs_journal_item *items; /* Children, and so are their data.  */

  /* When it comes back.  */
  bool synced;
  size_t journal_size; /* Bytes.  */
  char *problem;       /* A child; NULL: none.  */
};

struct hs_log_disk;

/* Finished jobs go to DONE.  The journal is the thread's from the start
   on.  */
struct hs_log_disk *hs_log_disk_create (struct hs_journal *journal,
                                        struct hs_ring *done);
void hs_log_disk_destroy (struct hs_log_disk *disk);
void hs_log_disk_start (struct hs_log_disk *disk);
void hs_log_disk_stop (struct hs_log_disk *disk);
bool hs_log_disk_push (struct hs_log_disk *disk,
                       struct hs_log_job *job); /* False: full.  */
struct hs_log_job *hs_log_job_create (void);
void hs_log_job_add (struct hs_log_job *job, uint8_t *data,
                     size_t len); /* Takes DATA over.  */

#endif /* HS_CONTROL_LOG_DISK_H */
