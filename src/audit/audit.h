/* audit.h -- the audit log: JSON lines that record each change of a document,
   accepted or rejected, and each new membership view.  */

#ifndef HS_AUDIT_AUDIT_H
#define HS_AUDIT_AUDIT_H

#include "hibiscusspan.h"

struct hs_audit;

/* Opens FOLDER/audit.jsonl for appending and creates it if it does not
   exist.  Returns a talloc child of PARENT, or NULL and HS_ERROR_SYSTEM.  */
struct hs_audit *hs_audit_open (void *parent, const char *folder,
                                GError **error);
void hs_audit_close (struct hs_audit *audit);

/* Formats the line of a change that was accepted or rejected: its author, its
   time, the verdict with its reason, and the fields whose values the change
   replaces.  WALL_MS is the wall-clock time, ms since 1970.  BEFORE is the
   document in force, NULL for a new service.  Returns a talloc child of
   PARENT, without a newline.  */
char *hs_audit_format_change (void *parent, uint64_t wall_ms,
                              const struct hs_change *change,
                              const struct hs_document *before,
                              const struct hs_change_result *result);

/* Formats the line of a new view of SERVICE.  WALL_MS and the result are as
   for hs_audit_format_change.  */
char *hs_audit_format_view (void *parent, uint64_t wall_ms,
                            const char *service, const struct hs_view *view);

/* Appends LINE and a newline.  The line is durable only after hs_audit_sync.
   Returns false and sets HS_ERROR_SYSTEM on failure.  */
bool hs_audit_append (struct hs_audit *audit, const char *line,
                      GError **error);

/* Flushes all appended lines to disk.  Returns false and sets HS_ERROR_SYSTEM
   on failure.  */
bool hs_audit_sync (struct hs_audit *audit, GError **error);

#endif /* HS_AUDIT_AUDIT_H */
