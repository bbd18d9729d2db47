/* test_document.c -- tests of documents and the admission of changes.  */

#include "base/auto.h"
#include "hibiscusspan.h"

#include <string.h>

/* Types.  */

struct invalid_document
{
  const char *json;
  const char *message;
};

/* Private functions.  */

static struct hs_document *
make_document (void *parent, const char *service, const char *address)
{
  g_autofree char *json = g_strdup_printf (
      "{\"service\": \"%s\", \"kind\": \"coap\", \"address\": \"%s\"}",
      service, address);
  g_autoptr (GError) error = NULL;
  struct hs_document *parsed
      = hs_document_parse (parent, json, strlen (json), &error);

  g_assert_no_error (error);
  return parsed;
}

/* Rules inherit defaults, and a formatted document parses to the same one.  */
static void
test_parse (void)
{
  static const char json[]
      = "{\"service\": \"ordini-fusione\", \"kind\": \"coap\",\n"
        " \"address\": \"[::1]:5683\", \"grace_s\": 30,\n"
        " \"deadline_ms\": 2000, \"requests\": [\n"
        "  {\"method\": \"POST\", \"path\": \"/orders\"},\n"
        "  {\"method\": \"PUT\", \"path\": \"/drawing\",\n"
        "   \"idempotent\": false, \"deadline_ms\": 9000}]}";
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  g_autoptr (GError) error = NULL;
  struct hs_document *parsed
      = hs_document_parse (root, json, strlen (json), &error);
  struct hs_document *reparsed;
  char *text;

  g_assert_no_error (error);
  g_assert_cmpuint (parsed->grace_ms, ==, 30000);
  g_assert_false (parsed->rules[0].idempotent);
  g_assert_cmpuint (parsed->rules[0].deadline_ms, ==, 2000);
  g_assert_false (parsed->rules[1].idempotent);
  g_assert_true (hs_document_find_rule (parsed, "PUT", "/drawing")
                 == &parsed->rules[1]);
  g_assert_null (hs_document_find_rule (parsed, "GET", "/drawing"));
  text = hs_document_format (root, parsed);
  reparsed = hs_document_parse (root, text, strlen (text), &error);
  g_assert_no_error (error);
  g_assert_cmpstr (hs_document_format (root, reparsed), ==, text);
}

/* An error message gives the line, and for a wrong or missing value the field
   and the values that are allowed.  */
static void
test_errors (void)
{
#define HEAD                                                                  \
  "{\"service\": \"a\", \"kind\": \"coap\",\n\"address\": \"1.2.3.4:5\""
  static const struct invalid_document invalid[] = {
    { "{", "line 1: string or '}' expected near end of file" },
    { "[]", "line 1: document: must be an object" },
    { "{\"service\": \"a\",\n\"kind\": \"tcp\"}",
      "line 2: kind: must be \"coap\" or \"udp\"" },
    { "{\"service\": \"a b\"}",
      "line 1: service: must be 1 to 63 letters, digits, '-', '_' or '.'" },
    { "{\"service\": \"a\", \"kind\": \"udp\", \"address\": \"1.2.3.4:0\"}",
      "line 1: address: must be \"IP:PORT\" or \"[IP]:PORT\"" },
    { HEAD ",\n\n\"grace_s\": -1}",
      "line 4: grace_s: must be an integer from 0 to 86400" },
    { HEAD ", \"deadline_ms\": 10}",
      "line 2: deadline_ms: must be an integer from 100 to 600000" },
    { HEAD ",\n\"colour\": 1}", "line 3: colour: unknown field" },
    { HEAD ",\n\"requests\": [{\"method\": \"GET\", \"path\": \"/\"},\n"
           "{\"method\": \"GET\",\n \"path\": \"x\"}]}",
      "line 5: requests[1].path: must be a path of at most 127 bytes that "
      "starts with '/'" },
    { HEAD ",\n\"requests\": [{\"method\": \"GET\", \"path\": \"/\"},\n"
           "{\"path\": \"/\"}]}",
      "line 4: requests[1].method: must be GET, POST, PUT, DELETE, FETCH, "
      "PATCH or IPATCH" },
    { HEAD ",\n\"requests\": [{\"method\": \"GET\", \"path\": \"/\"},\n"
           "{\"method\": \"GET\", \"path\": \"/\"}]}",
      "line 4: requests[1].path: duplicates the method and path of an earlier "
      "rule" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_autoptr (GError) error = NULL;

      g_assert_null (hs_document_parse (NULL, invalid[i].json,
                                        strlen (invalid[i].json), &error));
      g_assert_nonnull (error);
      g_assert_cmpstr (error->message, ==, invalid[i].message);
    }
}

static struct hs_change_result
submit_change (struct hs_admission *admission, uint64_t version,
               const char *id, uint64_t base, struct hs_document *document)
{
  struct hs_change change = { .base_revision = base, .document = document };
  struct hs_change_result result;

  g_strlcpy (change.id, id, sizeof change.id);
  if (hs_admission_check (admission, &change, &result))
    hs_admission_apply (admission, version, &change, &result);
  return result;
}

static void
test_admission (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_catalog *catalog = hs_catalog_create (root);
  struct hs_admission *admission = hs_admission_create (root, catalog);
  struct hs_document *a = make_document (root, "a", "10.0.0.1:1");
  struct hs_document *a2 = make_document (root, "a", "10.0.0.1:2");
  struct hs_document *b = make_document (root, "b", "10.0.0.1:2");
  struct hs_change_result first = submit_change (admission, 1, "c1", 0, a);
  struct hs_change_result result;

  g_assert_cmpint (first.verdict.outcome, ==, HS_OUTCOME_RAN);
  g_assert_cmpuint (first.revision, ==, 1);
  /* A resent change returns the first result and is not applied again.  */
  result = submit_change (admission, 2, "c1", 0, a2);
  g_assert_cmpmem (&first, sizeof first, &result, sizeof result);
  g_assert_cmpuint (hs_catalog_find_name (catalog, "a")->service->revision, ==,
                    1);
  /* Of two changes to the same revision, the first one is accepted.  */
  result = submit_change (admission, 3, "c2", 1, a2);
  g_assert_cmpint (result.verdict.outcome, ==, HS_OUTCOME_RAN);
  result = submit_change (admission, 4, "c3", 1, a);
  g_assert_cmpint (result.verdict.outcome, ==, HS_OUTCOME_NOT_RUN);
  g_assert_cmpint (result.verdict.reason, ==, HS_REASON_CONFLICT);
  g_assert_cmpuint (result.revision, ==, 2);
  /* Two services cannot use the same address, but an address that a service
     no longer uses is free.  */
  result = submit_change (admission, 5, "c4", 0, b);
  g_assert_cmpint (result.verdict.reason, ==, HS_REASON_INVALID);
  g_assert_null (hs_catalog_find_name (catalog, "b"));
  result = submit_change (admission, 6, "c5", 0,
                          make_document (root, "b", "10.0.0.1:1"));
  g_assert_cmpint (result.verdict.outcome, ==, HS_OUTCOME_RAN);
  g_assert_cmpuint (result.service_id, !=, first.service_id);
}

/* Two conflicting changes can both pass hs_admission_check.  The change
   that is committed first is accepted and the other rejected.  */
static void
test_admission_race (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_catalog *catalog = hs_catalog_create (root);
  struct hs_admission *admission = hs_admission_create (root, catalog);
  struct hs_change first
      = { .id = "c1", .document = make_document (root, "a", "10.0.0.1:1") };
  struct hs_change second
      = { .id = "c2", .document = make_document (root, "a", "10.0.0.1:2") };
  struct hs_change_result result;

  g_assert_true (hs_admission_check (admission, &first, &result));
  g_assert_true (hs_admission_check (admission, &second, &result));
  hs_admission_apply (admission, 1, &second, &result);
  g_assert_cmpint (result.verdict.outcome, ==, HS_OUTCOME_RAN);
  hs_admission_apply (admission, 2, &first, &result);
  g_assert_cmpint (result.verdict.reason, ==, HS_REASON_CONFLICT);
  g_assert_false (hs_admission_check (admission, &first, &result));
  g_assert_cmpint (result.verdict.reason, ==, HS_REASON_CONFLICT);
}

/* Public definitions.  */

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/document/parse", test_parse);
  g_test_add_func ("/document/errors", test_errors);
  g_test_add_func ("/document/admission", test_admission);
  g_test_add_func ("/document/admission-race", test_admission_race);
  return g_test_run ();
}
