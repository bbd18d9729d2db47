/* disk_writer.h -- the thread that writes a control host's files.

   Records are written and synced in groups; each is then handed back, in
   order, on the ring of written records.  */

#ifndef HS_CONTROL_DISK_WRITER_H
#define HS_CONTROL_DISK_WRITER_H

#include "audit/audit.h"
#include "base/log.h"
#include "base/ring.h"
#include "consensus/journal.h"

/* Crosses rings; no talloc parent.  */
struct hs_disk_record
{
  uint8_t *data; /* A child of the record.  */
  size_t len;
  char *audit_line;          /* Instead of DATA: a line of the audit trail.  */
  struct hs_verdict verdict; /* RAN: it lasts.  Else whether it may.  */
};

struct hs_disk_writer;

struct hs_disk_writer *hs_disk_writer_create (struct hs_journal *journal,
                                              struct hs_audit *audit,
                                              struct hs_ring *written,
                                              struct hs_log *log);
void hs_disk_writer_destroy (struct hs_disk_writer *disk); /* Once stopped.  */
void hs_disk_writer_start (struct hs_disk_writer *disk);
void hs_disk_writer_stop (struct hs_disk_writer *disk);
void hs_disk_writer_flush (struct hs_disk_writer *disk); /* Once stopped:
                                              writes what is queued.  */
bool hs_disk_writer_push (struct hs_disk_writer *disk,
                          struct hs_disk_record *record);
/* Takes it over; false: full.  */

#endif /* HS_CONTROL_DISK_WRITER_H */
