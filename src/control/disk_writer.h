/* disk_writer.h -- the thread that writes the journal and the audit log of
   hibiscusspan-control.

   Records are appended to the journal and synced in batches.  Each record is
   then returned, in order, on a ring of written records.  */

#ifndef HS_CONTROL_DISK_WRITER_H
#define HS_CONTROL_DISK_WRITER_H

#include "audit/audit.h"
#include "base/log.h"
#include "base/ring.h"
#include "consensus/journal.h"

/* Either a journal record (data) or a line of the audit log (audit_line).
   It is passed between threads through rings, and so has no talloc parent.
   Lines of the audit log are freed once written, not returned.  */
struct hs_disk_record
{
  uint8_t *data;    /* Talloc child of the record.  */
  size_t len;       /* Bytes of data.  */
  char *audit_line; /* Talloc child of the record; NULL: a journal record.  */
  struct hs_verdict verdict; /* Set on return.  RAN: on stable storage.
                                NOT_RUN: not written.  MAY_HAVE_RUN: written,
                                but the sync failed.  */
};

struct hs_disk_writer;

/* JOURNAL and AUDIT belong to the thread while it runs.  Journal records are
   pushed to WRITTEN_RECORDS, with their verdict, once they have been
   processed.  Free the result with hs_disk_writer_destroy.  */
struct hs_disk_writer *hs_disk_writer_create (struct hs_journal *journal,
                                              struct hs_audit *audit,
                                              struct hs_ring *written_records,
                                              struct hs_log *log);

/* The thread must have been stopped.  Records that are still queued are not
   freed: call hs_disk_writer_flush first.  */
void hs_disk_writer_destroy (struct hs_disk_writer *writer);

void hs_disk_writer_start (struct hs_disk_writer *writer);
void hs_disk_writer_stop (struct hs_disk_writer *writer);

/* Writes all queued records from the calling thread.  The writer's own
   thread must have been stopped.  */
void hs_disk_writer_flush (struct hs_disk_writer *writer);

/* Queues RECORD and takes ownership of it.  If the queue is full, returns
   false without taking ownership.  */
bool hs_disk_writer_push (struct hs_disk_writer *writer,
                          struct hs_disk_record *record);

#endif /* HS_CONTROL_DISK_WRITER_H */
