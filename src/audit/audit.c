/* audit.c -- the audit log, a file of JSON lines.  */

#include "audit/audit.h"
#include "base/auto.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

struct hs_audit
{
  char *path;
  int fd;
};

/* Private functions.  */

static int destructor (struct hs_audit *audit);
static bool set_errno_error (const struct hs_audit *audit, GError **error);
static char *format_json (void *parent, json_t *json);
static json_t *changed_fields (const struct hs_document *before,
                               const struct hs_document *after);
static json_t *document_to_json (const struct hs_document *document);

/* Public definitions.  */

struct hs_audit *
hs_audit_open (void *parent, const char *folder, GError **error)
{
  struct hs_audit *audit = talloc_zero (parent, struct hs_audit);

  audit->path = talloc_asprintf (audit, "%s/audit.jsonl", folder);
  audit->fd
      = open (audit->path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  talloc_set_destructor (audit, destructor);
  if (audit->fd >= 0)
    return audit;
  set_errno_error (audit, error);
  talloc_free (audit);
  return NULL;
}

void
hs_audit_close (struct hs_audit *audit)
{
  talloc_free (audit);
}

char *
hs_audit_format_change (void *parent, uint64_t wall_ms,
                        const struct hs_change *change,
                        const struct hs_document *before,
                        const struct hs_change_result *result)
{
  json_t *json = json_pack (
      "{s:I, s:s, s:s, s:s, s:s, s:I, s:s, s:s, s:I, s:s, s:o}", "time_ms",
      (json_int_t)wall_ms, "kind", "document", "service",
      change->document->service_name, "author", change->author, "change",
      change->id, "base", (json_int_t)change->base_revision, "verdict",
      hs_outcome_name (result->verdict.outcome), "reason",
      hs_reason_name (result->verdict.reason), "revision",
      (json_int_t)result->revision, "message", result->message, "differs",
      changed_fields (before, change->document));

  return format_json (parent, json);
}

char *
hs_audit_format_view (void *parent, uint64_t wall_ms, const char *service,
                      const struct hs_view *view)
{
  json_t *members = json_array ();

  for (size_t i = 0; i < view->members_len; i++)
    json_array_append_new (
        members,
        json_pack ("{s:s, s:s, s:I}", "name", view->members[i].name, "state",
                   hs_member_state_name (view->members[i].state),
                   "incarnation", (json_int_t)view->members[i].incarnation));
  return format_json (parent, json_pack ("{s:I, s:s, s:s, s:I, s:o}",
                                         "time_ms", (json_int_t)wall_ms,
                                         "kind", "view", "service", service,
                                         "view", (json_int_t)view->number,
                                         "members", members));
}

bool
hs_audit_append (struct hs_audit *audit, const char *line, GError **error)
{
  HS_AUTO_TALLOC char *text = talloc_asprintf (NULL, "%s\n", line);
  size_t len = strlen (text);

  if (write (audit->fd, text, len) == (ssize_t)len)
    return true;
  return set_errno_error (audit, error);
}

bool
hs_audit_sync (struct hs_audit *audit, GError **error)
{
  if (fdatasync (audit->fd) == 0)
    return true;
  return set_errno_error (audit, error);
}

/* Private definitions.  */

static int
destructor (struct hs_audit *audit)
{
  if (audit->fd >= 0)
    close (audit->fd);
  return 0;
}

/* Sets ERROR from errno and the path of the file.  Always returns false.  */
static bool
set_errno_error (const struct hs_audit *audit, GError **error)
{
  g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM, "%s: %s", audit->path,
               strerror (errno));
  return false;
}

/* Returns the text of JSON as a talloc child of PARENT.  Consumes the
   reference to JSON.  */
static char *
format_json (void *parent, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  char *copy = talloc_strdup (parent, text);

  free (text);
  json_decref (json);
  return copy;
}

/* Returns the fields of AFTER that differ from BEFORE, each as [before, after]
   with null for a field that BEFORE lacks.  BEFORE may be NULL.  */
static json_t *
changed_fields (const struct hs_document *before,
                const struct hs_document *after)
{
  HS_AUTO_JSON json_t *old
      = before != NULL ? document_to_json (before) : json_object ();
  HS_AUTO_JSON json_t *new = document_to_json (after);
  json_t *fields = json_object ();
  const char *name;
  json_t *new_value;

  json_object_foreach (new, name, new_value)
  {
    json_t *old_value = json_object_get (old, name);

    if (old_value != NULL && json_equal (old_value, new_value))
      continue;
    json_object_set_new (fields, name,
                         json_pack ("[O?, O]", old_value, new_value));
  }
  return fields;
}

static json_t *
document_to_json (const struct hs_document *document)
{
  HS_AUTO_TALLOC char *text = hs_document_format (NULL, document);

  return json_loads (text, 0, NULL);
}
