/* journal_writer.h -- the thread that writes the records of a replica to its
   journal.

   Jobs are written in order.  Those that are queued together are appended
   with one write and one sync.  */

#ifndef HS_CONTROL_JOURNAL_WRITER_H
#define HS_CONTROL_JOURNAL_WRITER_H

#include "base/ring.h"
#include "consensus/journal.h"

/* Records that are written together.  A job is passed between threads through
   rings, and so has no talloc parent.  */
struct hs_journal_job
{
  uint64_t sync_seq;  /* Passed to hs_replica_synced once on disk.  */
  uint64_t queued_at; /* ms, monotonic clock  */
  bool is_rewrite;    /* The items replace the whole journal.  */
  size_t items_len;
  size_t items_size;             /* Allocated items.  */
  struct hs_journal_item *items; /* Talloc child, as are the items' data.  */

  /* Set when the job is returned.  */
  bool synced;         /* The items are on stable storage.  */
  size_t journal_size; /* Bytes.  */
  char *error;         /* Message, a talloc child; NULL if synced.  */
};

struct hs_journal_writer;

/* Finished jobs are pushed to FINISHED_JOBS, or freed if it is full.  JOURNAL
   belongs to the thread while it runs.  Free the result with
   hs_journal_writer_destroy.  */
struct hs_journal_writer *
hs_journal_writer_create (struct hs_journal *journal,
                          struct hs_ring *finished_jobs);

/* The thread must have been stopped.  Jobs that are still queued are freed
   without being written.  */
void hs_journal_writer_destroy (struct hs_journal_writer *writer);

void hs_journal_writer_start (struct hs_journal_writer *writer);
void hs_journal_writer_stop (struct hs_journal_writer *writer);

/* Queues JOB and takes ownership of it.  If the queue is full, returns false
   without taking ownership.  */
bool hs_journal_writer_push (struct hs_journal_writer *writer,
                             struct hs_journal_job *job);

/* Returns an empty job without a talloc parent.  */
struct hs_journal_job *hs_journal_job_create (void);

/* Appends a record of LEN bytes to JOB, which becomes the talloc parent of
   DATA.  */
void hs_journal_job_add (struct hs_journal_job *job, uint8_t *data,
                         size_t len);

#endif /* HS_CONTROL_JOURNAL_WRITER_H */
