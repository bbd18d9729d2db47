/* finding.h -- delivers the findings of a review.  */

#ifndef HS_DOCUMENT_FINDING_H
#define HS_DOCUMENT_FINDING_H

#include "hibiscusspan.h"

struct hs_finding_sink
{
  hs_finding_fn *fn;
  void *ctx;
};

/* Calls the function of SINK with FINDING, whose message is set from FORMAT
   and its arguments.  */
void hs_finding_report (const struct hs_finding_sink *sink,
                        struct hs_finding finding, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#endif /* HS_DOCUMENT_FINDING_H */
