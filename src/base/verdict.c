/* verdict.c -- the names of outcomes and reasons, and the error domain.  */

#include "hibiscusspan.h"

/* Types.  */

/* These names appear in logs, in the audit log and in the responses of the API
   and of CoAP.  Tools match them, so they must not change, even where the
   enumerator has another name.  */
static const char *const outcome_names[]
    = { [HS_OUTCOME_NOT_RUN] = "not-run",
        [HS_OUTCOME_MAY_HAVE_RUN] = "may-have-run",
        [HS_OUTCOME_RAN] = "ran" };

static const char *const reason_names[HS_REASON_COUNT]
    = { [HS_REASON_NONE] = "none",
        [HS_REASON_MALFORMED] = "malformed",
        [HS_REASON_WRONG_SERVICE] = "wrong-service",
        [HS_REASON_WRONG_HOST] = "wrong-host",
        [HS_REASON_NO_SERVICE] = "no-service",
        [HS_REASON_NO_UPSTREAM] = "no-upstream",
        [HS_REASON_OWNER_UNKNOWN] = "not-settled",
        [HS_REASON_DRAINING] = "leaving",
        [HS_REASON_OVERLOADED] = "overloaded",
        [HS_REASON_TIMEOUT] = "timeout",
        [HS_REASON_SHED] = "shed",
        [HS_REASON_CANCELLED] = "cancelled",
        [HS_REASON_CONFLICT] = "conflict",
        [HS_REASON_INVALID] = "invalid",
        [HS_REASON_STORAGE] = "storage",
        [HS_REASON_EVACUATED] = "evacuated",
        [HS_REASON_WARMING_UP] = "warming-up",
        [HS_REASON_REGION] = "region" };

/* Public definitions.  */

const char *
hs_outcome_name (enum hs_outcome outcome)
{
  return outcome_names[outcome];
}

const char *
hs_reason_name (enum hs_reason reason)
{
  return reason < HS_REASON_COUNT ? reason_names[reason] : "unknown";
}

GQuark
hs_error_quark (void)
{
  return g_quark_from_static_string ("hibiscusspan");
}
