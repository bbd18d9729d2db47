/* journal_writer.h -- the thread that keeps a replica's records on disk.

   Jobs are written in order; those that wait together share one write and
   one sync.  */

#ifndef HS_CONTROL_JOURNAL_WRITER_H
#define HS_CONTROL_JOURNAL_WRITER_H

#include "base/ring.h"
#include "consensus/journal.h"

struct hs_journal_job
{
  uint64_t sync_seq;
  uint64_t queued_at; /* ms  */
  bool is_rewrite;    /* All that is on disk.  */
  size_t items_len;
  size_t items_size;
  struct hs_journal_item *items; /* Children, and so are their data.  */

  /* When it comes back.  */
  bool synced;
  size_t journal_size; /* Bytes.  */
  char *error;         /* A child; NULL: none.  */
};

struct hs_journal_writer;

/* Finished jobs go to DONE.  The journal is the thread's from the start
   on.  */
struct hs_journal_writer *hs_journal_writer_create (struct hs_journal *journal,
                                                    struct hs_ring *done);
void hs_journal_writer_destroy (struct hs_journal_writer *disk);
void hs_journal_writer_start (struct hs_journal_writer *disk);
void hs_journal_writer_stop (struct hs_journal_writer *disk);
bool hs_journal_writer_push (struct hs_journal_writer *disk,
                             struct hs_journal_job *job); /* False: full.  */
struct hs_journal_job *hs_journal_job_create (void);
void hs_journal_job_add (struct hs_journal_job *job, uint8_t *data,
                         size_t len); /* Takes DATA over.  */

#endif /* HS_CONTROL_JOURNAL_WRITER_H */
