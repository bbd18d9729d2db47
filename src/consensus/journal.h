/* journal.h -- an append-only file of records.

   A control host stores its records here.  Each record has a header with its
   length and checksums.  A record is durable once hs_journal_sync has
   returned.  On opening, an incomplete record at the end is cut off; damage
   anywhere else is an error.

   A journal is used by one thread at a time.  */

#ifndef HS_CONSENSUS_JOURNAL_H
#define HS_CONSENSUS_JOURNAL_H

#include "hibiscusspan.h"

/* Bytes of a record.  The journal does not enforce this limit.  */
#define HS_JOURNAL_RECORD_SIZE_MAX (1024 * 1024)

struct hs_journal;

/* Receives a record of LEN bytes; DATA is valid during the call only.
   Returns false, with ERROR set, to fail the opening.  */
typedef bool hs_journal_replay_fn (void *ctx, const uint8_t *data, size_t len,
                                   GError **error);

/* Opens the file "journal" in FOLDER, which must exist, or creates it, and
   calls FN for each record.  The journal is allocated under PARENT.  Returns
   NULL on HS_ERROR_SYSTEM, on HS_ERROR_MALFORMED, whose message has the file
   and the offset of the damage, or on an error of FN.  */
struct hs_journal *hs_journal_open (void *parent, const char *folder,
                                    hs_journal_replay_fn *fn, void *ctx,
                                    GError **error);
void hs_journal_close (struct hs_journal *journal);

/* Appends a record of LEN bytes without syncing.  False on HS_ERROR_SYSTEM:
   then nothing was appended.  */
bool hs_journal_append (struct hs_journal *journal, const uint8_t *data,
                        size_t len, GError **error);

/* A record to be written.  */
struct hs_journal_item
{
  const uint8_t *data; /* Not kept after the call.  */
  size_t len;          /* Bytes.  */
};

/* Appends LEN records, which the next sync makes durable together.  On
   HS_ERROR_SYSTEM none was appended; a crash before the sync may leave the
   first ones.  */
bool hs_journal_append_batch (struct hs_journal *journal,
                              const struct hs_journal_item *items, size_t len,
                              GError **error);

/* Replaces all records by ITEMS and syncs.  After a failed write or sync,
   success makes appends possible again.  On HS_ERROR_SYSTEM the old records
   stay, unless only the sync of the folder failed: then either set may be on
   disk, and appends fail until another replacement succeeds.  */
bool hs_journal_replace (struct hs_journal *journal,
                         const struct hs_journal_item *items, size_t len,
                         GError **error);
size_t hs_journal_size (const struct hs_journal *journal); /* Bytes.  */

/* Makes all appended records durable.  After HS_ERROR_SYSTEM it is unknown
   what is on disk: appends fail until hs_journal_replace succeeds.  */
bool hs_journal_sync (struct hs_journal *journal, GError **error);

#endif /* HS_CONSENSUS_JOURNAL_H */
