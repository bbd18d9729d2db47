/* admission.c -- which changes of documents are accepted.

   A change passes twice: hs_admission_check before it is written to the log,
   so that what cannot be accepted is not written, and hs_admission_apply
   when it comes out of the log.  Only the second decides, from the log alone,
   so every host and every restart decides alike.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

#define RESULTS_MAX 65536 /* Answers kept for resent changes.  */

struct kept
{
  struct hs_table_node node;
  struct hs_list age; /* Oldest first.  */
  char id[HS_NAME_SIZE];
  struct hs_change_result result;
};

struct hs_admission
{
  struct hs_catalog *catalog;
  uint32_t next_service_id;
  struct hs_table *results_by_id;
  struct hs_list results_by_age;
};

/* Private functions.  */

static bool match_kept (const struct hs_table_node *node, const void *key);
static const struct kept *find_kept (const struct hs_admission *admission,
                                     const char *id);
static bool judge (const struct hs_admission *admission,
                   const struct hs_change *change,
                   struct hs_change_result *result);
static void keep (struct hs_admission *admission, const char *id,
                  const struct hs_change_result *result);
static void accept (struct hs_admission *admission, uint64_t version,
                    const struct hs_change *change,
                    struct hs_change_result *result);
static bool refuse (struct hs_change_result *result, enum hs_reason reason,
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
  const struct kept *kept = find_kept (admission, change->id);

  if (kept != NULL)
    {
      *result = kept->result;
      return false;
    }
  return judge (admission, change, result);
}

void
hs_admission_apply (struct hs_admission *admission, uint64_t version,
                    const struct hs_change *change,
                    struct hs_change_result *result)
{
  const struct kept *kept = find_kept (admission, change->id);

  if (kept != NULL)
    {
      *result = kept->result;
      return;
    }
  if (judge (admission, change, result))
    accept (admission, version, change, result);
  keep (admission, change->id, result);
}

/* Private definitions.  */

static bool
match_kept (const struct hs_table_node *node, const void *key)
{
  return strcmp (HS_LIST_ENTRY (node, struct kept, node)->id, key) == 0;
}

static const struct kept *
find_kept (const struct hs_admission *admission, const char *id)
{
  struct hs_table_node *node = hs_table_find (
      admission->results_by_id, hs_id_from_name (id), match_kept, id);

  return node != NULL ? HS_LIST_ENTRY (node, struct kept, node) : NULL;
}

/* Whether CHANGE may be accepted now; RESULT says why not.  */
static bool
judge (const struct hs_admission *admission, const struct hs_change *change,
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
    return refuse (result, HS_REASON_CONFLICT, revision,
                   "based on another revision than the one in force");
  if (other != NULL && other != item)
    return refuse (result, HS_REASON_INVALID, revision,
                   "address: taken by another service");
  if (item != NULL && item->service->document->kind != document->kind)
    return refuse (result, HS_REASON_INVALID, revision,
                   "kind: cannot change while the service exists");
  return true;
}

static void
keep (struct hs_admission *admission, const char *id,
      const struct hs_change_result *result)
{
  struct kept *kept;

  if (hs_table_len (admission->results_by_id) == RESULTS_MAX)
    {
      struct kept *oldest = HS_LIST_ENTRY (
          hs_list_pop (&admission->results_by_age), struct kept, age);

      hs_table_remove (admission->results_by_id, &oldest->node);
      talloc_free (oldest);
    }
  kept = talloc_zero (admission, struct kept);
  g_strlcpy (kept->id, id, sizeof kept->id);
  kept->result = *result;
  hs_table_insert (admission->results_by_id, &kept->node,
                   hs_id_from_name (id));
  hs_list_append (&admission->results_by_age, &kept->age);
}

static void
accept (struct hs_admission *admission, uint64_t version,
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

static bool
refuse (struct hs_change_result *result, enum hs_reason reason,
        uint64_t revision, const char *message)
{
  result->verdict.outcome = HS_OUTCOME_NOT_RUN;
  result->verdict.reason = reason;
  result->revision = revision;
  g_strlcpy (result->message, message, sizeof result->message);
  return false;
}
