/* check.c -- the command "check".

   A JSON object with a list "routes" or "services" is a configuration, any
   other file a service document.  The findings on a configuration come from
   hs_configuration_review and hs_configuration_compare.  */

#include "tool/check.h"
#include "base/auto.h"
#include "base/json.h"
#include "platform/platform.h"
#include "tool/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

#define AGAINST_IN_FORCE "current" /* --against: the version in force.  */

/* The findings so far.  */
struct report
{
  const char *path;
  json_t *findings;                         /* NULL: print them as text.  */
  size_t counts[HS_FINDING_DIFFERENCE + 1]; /* By severity.  */
};

/* Private functions.  */

static bool is_configuration (const char *text, size_t len);
static int check_document (const struct program_settings *settings,
                           const char *path);
static int check_file (const struct program_settings *settings,
                       const char *path, const char *text, size_t len);
static struct hs_configuration *
load_previous (void *parent, const struct program_settings *settings,
               GError **error);
static char *fetch_in_force (const struct program_settings *settings,
                             gsize *len, GError **error);
static struct hs_configuration *parse_any (void *parent, const char *text,
                                           size_t len, GError **error);
static int finish_report (struct report *report,
                          const struct program_settings *settings,
                          const struct hs_configuration *configuration);
static void report_malformed (struct report *report, const GError *error);
static void on_finding (void *ctx, const struct hs_finding *finding);
static void print_finding (const char *path, const struct hs_finding *finding);
static json_t *format_finding (const struct hs_finding *finding);

/* Public definitions.  */

int
hs_check_run (const struct program_settings *settings,
              const struct hs_args *args)
{
  const char *path = args->values[1];
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  gsize len;

  if (!g_file_get_contents (path, &text, &len, &error))
    return hs_tool_report_error (error);
  if (is_configuration (text, len))
    return check_file (settings, path, text, len);
  if (settings->against[0] == '\0')
    return check_document (settings, path);
  fprintf (stderr, "hibiscusspan: %s: --against applies to configurations\n",
           path);
  return HS_EXIT_USAGE;
}

bool
hs_check_configuration (const char *path, const char *json, size_t len,
                        GError **error)
{
  HS_AUTO_TALLOC struct hs_configuration *configuration
      = hs_configuration_parse (NULL, json, len, error);

  if (configuration != NULL && hs_configuration_check (configuration, error))
    return true;
  g_prefix_error (error, "%s: ", path);
  return false;
}

struct hs_document *
hs_check_read_document (void *parent, const char *path, char **text,
                        GError **error)
{
  g_autofree char *bytes = NULL;
  gsize len;
  struct hs_document *document;

  if (!g_file_get_contents (path, &bytes, &len, error))
    return NULL;
  document = hs_document_parse (parent, bytes, len, error);
  if (document == NULL)
    g_prefix_error (error, "%s: ", path);
  else
    *text = talloc_strndup (parent, bytes, len);
  return document;
}

/* Private definitions.  */

static bool
is_configuration (const char *text, size_t len)
{
  HS_AUTO_JSON json_t *json = hs_json_load (text, len, NULL);

  return json_is_array (json_object_get (json, "routes"))
         || json_is_array (json_object_get (json, "services"));
}

static int
check_document (const struct program_settings *settings, const char *path)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  g_autoptr (GError) error = NULL;
  struct report report = { .path = path };
  char *text;
  const struct hs_document *document
      = hs_check_read_document (root, path, &text, &error);

  if (settings->json)
    {
      report.findings = json_array ();
      if (document == NULL)
        report_malformed (&report, error);
      return finish_report (&report, settings, NULL);
    }
  if (document == NULL)
    return hs_tool_report_error (error);
  printf ("%s: valid document for service %s\n", path, document->service_name);
  return EXIT_SUCCESS;
}

static int
check_file (const struct program_settings *settings, const char *path,
            const char *text, size_t len)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  g_autoptr (GError) error = NULL;
  struct report report = { .path = path };
  const struct hs_configuration *configuration;
  const struct hs_configuration *previous = NULL;
  const struct hs_region_map *zones
      = hs_region_map_create (root, settings->zones, &error);

  if (zones == NULL)
    {
      hs_tool_report_error (error);
      return HS_EXIT_USAGE;
    }
  if (settings->against[0] != '\0')
    {
      previous = load_previous (root, settings, &error);
      if (previous == NULL)
        return hs_tool_report_error (error);
    }
  report.findings = settings->json ? json_array () : NULL;
  configuration = hs_configuration_parse (root, text, len, &error);
  if (configuration == NULL)
    report_malformed (&report, error);
  else
    hs_configuration_review (configuration,
                             hs_region_map_regions (zones, root),
                             hs_region_map_len (zones), on_finding, &report);
  if (configuration != NULL && previous != NULL)
    hs_configuration_compare (configuration, previous, on_finding, &report);
  return finish_report (&report, settings, configuration);
}

/* Loads the configuration that the setting "against" names.  */
static struct hs_configuration *
load_previous (void *parent, const struct program_settings *settings,
               GError **error)
{
  const char *path = settings->against;
  g_autofree char *text = NULL;
  gsize len;
  struct hs_configuration *previous;

  if (strcmp (path, AGAINST_IN_FORCE) == 0)
    text = fetch_in_force (settings, &len, error);
  else if (!g_file_get_contents (path, &text, &len, error))
    return NULL;
  if (text == NULL)
    return NULL;
  previous = parse_any (parent, text, len, error);
  if (previous == NULL)
    g_prefix_error (error, "%s: ", path);
  return previous;
}

/* Returns the text of the configuration in force, to be released by g_free, or
   NULL with ERROR.  */
static char *
fetch_in_force (const struct program_settings *settings, gsize *len,
                GError **error)
{
  HS_AUTO_TALLOC struct hs_client *client
      = hs_client_create (NULL, &settings->controls);
  HS_AUTO_JSON json_t *response = NULL;
  char *dump;
  char *text;
  long status;

  response = hs_client_call (client, "GET", "/v1/configuration", NULL, &status,
                             error);
  if (response == NULL)
    return NULL;
  if (status != STATUS_OK)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM, "%s: %s",
                   AGAINST_IN_FORCE, hs_tool_string (response, "message"));
      return NULL;
    }
  dump = json_dumps (response, JSON_COMPACT);
  text = g_strdup (dump);
  *len = strlen (text);
  free (dump);
  return text;
}

/* The configuration in force is shown as it was submitted, natively or by the
   platform.  */
static struct hs_configuration *
parse_any (void *parent, const char *text, size_t len, GError **error)
{
  const struct hs_adapter *adapter = hs_platform_adapter ();
  struct hs_configuration *configuration
      = hs_configuration_parse (parent, text, len, error);

  if (configuration != NULL)
    return configuration;
  configuration
      = adapter->decode_configuration (adapter->ctx, parent, text, len, NULL);
  if (configuration != NULL)
    g_clear_error (error);
  return configuration;
}

/* Prints what remains to be printed of REPORT and releases it.  CONFIGURATION
   is NULL if it could not be parsed.  Returns the exit status.  */
static int
finish_report (struct report *report, const struct program_settings *settings,
               const struct hs_configuration *configuration)
{
  size_t errors = report->counts[HS_FINDING_ERROR];
  size_t warnings = report->counts[HS_FINDING_WARNING];

  if (report->findings != NULL)
    hs_tool_print_json (report->findings);
  else if (configuration != NULL)
    printf ("%s: configuration, version %llu: %zu errors, %zu warnings, %zu "
            "differences\n",
            report->path, (unsigned long long)configuration->version, errors,
            warnings, report->counts[HS_FINDING_DIFFERENCE]);
  json_decref (report->findings);
  return errors > 0 || (settings->strict && warnings > 0) ? EXIT_NOT_RUN
                                                          : EXIT_SUCCESS;
}

static void
report_malformed (struct report *report, const GError *error)
{
  const struct hs_finding finding = { .severity = HS_FINDING_ERROR,
                                      .kind = HS_FINDING_INVALID,
                                      .message = error->message };

  on_finding (report, &finding);
}

static void
on_finding (void *ctx, const struct hs_finding *finding)
{
  struct report *report = ctx;

  report->counts[finding->severity]++;
  if (report->findings != NULL)
    json_array_append_new (report->findings, format_finding (finding));
  else
    print_finding (report->path, finding);
}

static void
print_finding (const char *path, const struct hs_finding *finding)
{
  printf ("%s: %s: ", path, hs_finding_severity_name (finding->severity));
  if (finding->route != NULL)
    printf ("route %s: ", finding->route);
  if (finding->service != NULL)
    printf ("service %s: ", finding->service);
  if (finding->field != NULL)
    printf ("%s: ", finding->field);
  printf ("%s\n", finding->message);
}

static json_t *
format_finding (const struct hs_finding *finding)
{
  return json_pack ("{s:s, s:s, s:s*, s:s*, s:s*, s:s}", "severity",
                    hs_finding_severity_name (finding->severity), "code",
                    hs_finding_kind_name (finding->kind), "route",
                    finding->route, "service", finding->service, "field",
                    finding->field, "message", finding->message);
}
