/* journal.h -- the records of a control host, on disk.

   One file of records, each with its length and CRC.  A record counts once
   hs_journal_sync has returned.  On opening, a torn record at the end is cut
   off; damage anywhere else is refused.  */

#ifndef HS_CONSENSUS_JOURNAL_H
#define HS_CONSENSUS_JOURNAL_H

#include "hibiscusspan.h"

#define HS_JOURNAL_RECORD_SIZE_MAX (1024 * 1024) /* Bytes.  */

struct hs_journal;

typedef bool hs_journal_replay_fn (void *ctx, const uint8_t *data, size_t len,
                                   GError **error); /* False: stop.  */

/* Opens FOLDER/journal, or creates it, and calls FN for each record.
   HS_ERROR_SYSTEM, or HS_ERROR_MALFORMED with file and offset.  */
struct hs_journal *hs_journal_open (void *parent, const char *folder,
                                    hs_journal_replay_fn *fn, void *ctx,
                                    GError **error);
void hs_journal_close (struct hs_journal *journal);

/* Appends without syncing.  On HS_ERROR_SYSTEM nothing was appended.  */
bool hs_journal_append (struct hs_journal *journal, const uint8_t *data,
                        size_t len, GError **error);

/* Records of which all or none count, if they are synced together.  */
struct hs_journal_item
{
  const uint8_t *data;
  size_t len;
};

bool hs_journal_append_batch (struct hs_journal *journal,
                              const struct hs_journal_item *items, size_t len,
                              GError **error); /* As hs_journal_append.  */

/* Puts ITEMS in place of all records, synced; the journal works again after
   a failure.  On HS_ERROR_SYSTEM the old records stay.  */
bool hs_journal_replace (struct hs_journal *journal,
                         const struct hs_journal_item *items, size_t len,
                         GError **error);
size_t hs_journal_size (const struct hs_journal *journal); /* Bytes.  */

/* After HS_ERROR_SYSTEM what is on disk is unknown: the journal takes no
   more records.  */
bool hs_journal_sync (struct hs_journal *journal, GError **error);

#endif /* HS_CONSENSUS_JOURNAL_H */
