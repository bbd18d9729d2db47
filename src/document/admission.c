/* admission.c -- decides which changes of service documents are accepted.

   A change is checked twice.  hs_admission_check is called before the change
   is proposed and keeps changes that cannot be accepted out of the log.
   hs_admission_apply is called for the committed change and decides.  Its
   decision depends only on the log, so every host comes to the same result,
   also when the log is replayed after a restart.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define RESULTS_MAX 65536 /* Results kept for resent changes.  */

struct stored_result
{
  struct hs_table_node node;
  struct hs_list age_link; /* In results_by_age.  */
  char id[HS_NAME_SIZE];
  struct hs_change_result result;
};

struct hs_admission
{
  struct hs_catalog *catalog;
  uint32_t next_service_id;
  struct hs_table *results_by_id;
  struct hs_list results_by_age; /* Oldest first.  */
};

/* Private functions.  */

static bool match_change_id (const struct hs_table_node *node,
                             const void *key);
static const struct stored_result *
find_result (const struct hs_admission *admission, const char *id);
static bool validate_change (const struct hs_admission *admission,
                             const struct hs_change *change,
                             struct hs_change_result *result);
static void store_result (struct hs_admission *admission, const char *id,
                          const struct hs_change_result *result);
static void accept_change (struct hs_admission *admission, uint64_t version,
                           const struct hs_change *change,
                           struct hs_change_result *result);
static bool reject (struct hs_change_result *result, enum hs_reason reason,
                    uint64_t revision, const char *message);

/* Public definitions.  */

struct hs_admission *
hs_admission_create (void *parent, struct hs_catalog *catalog)
{
  struct hs_admission *admission = talloc_zero (parent, struct hs_admission);

  admission->catalog = catalog;
  admission->next_service_id = HS_ENTRY_SERVICE_ID + 1;
  admission->results_by_id = hs_table_create (admission);
  hs_list_init (&admission->results_by_age);
  return admission;
}

void
hs_admission_destroy (struct hs_admission *admission)
{
  talloc_free (admission);
}

bool
hs_admission_check (struct hs_admission *admission,
                    const struct hs_change *change,
                    struct hs_change_result *result)
{
  const struct stored_result *stored = find_result (admission, change->id);

  if (stored != NULL)
    {
      *result = stored->result;
      return false;
    }
  return validate_change (admission, change, result);
}

void
hs_admission_apply (struct hs_admission *admission, uint64_t version,
                    const struct hs_change *change,
                    struct hs_change_result *result)
{
  const struct stored_result *stored = find_result (admission, change->id);

  if (stored != NULL)
    {
      *result = stored->result;
      return;
    }
  if (validate_change (admission, change, result))
    accept_change (admission, version, change, result);
  store_result (admission, change->id, result);
}

/* Private definitions.  */

static bool
match_change_id (const struct hs_table_node *node, const void *key)
{
  return strcmp (HS_LIST_ENTRY (node, struct stored_result, node)->id, key)
         == 0;
}

static const struct stored_result *
find_result (const struct hs_admission *admission, const char *id)
{
  struct hs_table_node *node = hs_table_find (
      admission->results_by_id, hs_id_from_name (id), match_change_id, id);

  return node != NULL ? HS_LIST_ENTRY (node, struct stored_result, node)
                      : NULL;
}

/* Returns whether CHANGE may be applied to the current catalog.  If not,
   RESULT has the reason.  */
static bool
validate_change (const struct hs_admission *admission,
                 const struct hs_change *change,
                 struct hs_change_result *result)
{
  const struct hs_document *document = change->document;
  const struct hs_catalog_item *item
      = hs_catalog_find_name (admission->catalog, document->service_name);
  const struct hs_catalog_item *other
      = hs_catalog_find_address (admission->catalog, &document->address);
  uint64_t revision = item != NULL ? item->service->revision : 0;

  memset (result, 0, sizeof *result);
  result->service_id = item != NULL ? item->service_id : 0;
  if (change->base_revision != revision)
    return reject (result, HS_REASON_CONFLICT, revision,
                   "base revision differs from the current revision");
  if (other != NULL && other != item)
    return reject (result, HS_REASON_INVALID, revision,
                   "address: already used by another service");
  if (item != NULL && item->service->document->kind != document->kind)
    return reject (result, HS_REASON_INVALID, revision,
                   "kind: cannot be changed for an existing service");
  return true;
}

/* Stores the result of the change with ID, in place of the oldest one if there
   are RESULTS_MAX.  */
static void
store_result (struct hs_admission *admission, const char *id,
              const struct hs_change_result *result)
{
  struct stored_result *stored;

  if (hs_table_len (admission->results_by_id) == RESULTS_MAX)
    {
      struct stored_result *oldest
          = HS_LIST_ENTRY (hs_list_pop (&admission->results_by_age),
                           struct stored_result, age_link);

      hs_table_remove (admission->results_by_id, &oldest->node);
      talloc_free (oldest);
    }
  stored = talloc_zero (admission, struct stored_result);
  g_strlcpy (stored->id, id, sizeof stored->id);
  stored->result = *result;
  hs_table_insert (admission->results_by_id, &stored->node,
                   hs_id_from_name (id));
  hs_list_append (&admission->results_by_age, &stored->age_link);
}

static void
accept_change (struct hs_admission *admission, uint64_t version,
               const struct hs_change *change, struct hs_change_result *result)
{
  struct hs_service service
      = { .id = result->service_id, .revision = change->base_revision + 1 };

  service.document = change->document;
  if (service.id == 0)
    service.id = admission->next_service_id++;
  hs_catalog_put_service (admission->catalog, version, &service);
  result->verdict.outcome = HS_OUTCOME_RAN;
  result->verdict.reason = HS_REASON_NONE;
  result->service_id = service.id;
  result->revision = service.revision;
  g_strlcpy (result->message, "accepted", sizeof result->message);
}

/* Fills in RESULT for a rejected change.  Always returns false.  */
static bool
reject (struct hs_change_result *result, enum hs_reason reason,
        uint64_t revision, const char *message)
{
  result->verdict.outcome = HS_OUTCOME_NOT_RUN;
  result->verdict.reason = reason;
  result->revision = revision;
  g_strlcpy (result->message, message, sizeof result->message);
  return false;
}
