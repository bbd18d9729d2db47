/* main.c -- the program hibiscusspan: the command-line tool of operators.  */

#include "base/auto.h"
#include "tool/check.h"
#include "tool/client.h"
#include "tool/coap_call.h"
#include "tool/evacuate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

#define VERSION_TEXT_SIZE 24 /* Of a version as text, or "none".  */

struct command
{
  const char *name;
  size_t args_min; /* Number of arguments after the name.  */
  size_t args_max;
  int (*run) (const struct program_settings *settings,
              const struct hs_args *args);
};

/* Private functions.  */

static int run_apply (const struct program_settings *settings,
                      const struct hs_args *args);
static int run_get (const struct program_settings *settings,
                    const struct hs_args *args);
static int run_list (const struct program_settings *settings,
                     const struct hs_args *args);
static int run_status (const struct program_settings *settings,
                       const struct hs_args *args);
static int run_call (const struct program_settings *settings,
                     const struct hs_args *args);
static int run_replace (const struct program_settings *settings,
                        const struct hs_args *args);
static int run_show (const struct program_settings *settings,
                     const struct hs_args *args);
static int run_cluster (const struct program_settings *settings,
                        const struct hs_args *args);
static void print_cluster (const json_t *json);
static const char *format_version (const json_t *object, const char *key,
                                   char *text);
static bool find_base_revision (struct hs_client *client,
                                const struct program_settings *settings,
                                const char *service, uint64_t *base_revision,
                                GError **error);
static int print_resource (const struct program_settings *settings,
                           const char *path,
                           void (*print) (const json_t *json));
static void print_document (const json_t *json);
static void print_list (const json_t *json);
static void print_status (const json_t *json);
static void print_members (const char *kind, const json_t *members);

#define OFFSET(field) offsetof (struct program_settings, field)

static const struct hs_setting settings_table[] = {
  { "control", HS_SETTING_ADDRS, "127.0.0.1:7000", 0, 0, OFFSET (controls),
    "IP:PORT,... of the HTTP API of control hosts; only evacuate uses the "
    "hosts after the first" },
  { "base", HS_SETTING_STRING, BASE_IN_FORCE, 0, 0, OFFSET (base_revision),
    "apply, evacuate: revision to replace; default: that in force" },
  { "change", HS_SETTING_STRING, "", 0, 0, OFFSET (change_id),
    "apply: id of the change; use the same id to resend it" },
  { "author", HS_SETTING_NAME, "operator", 0, 0, OFFSET (author),
    "apply: operator who submits the change" },
  { "method", HS_SETTING_NAME, "GET", 0, 0, OFFSET (method),
    "call: GET, POST, ..." },
  { "payload", HS_SETTING_STRING, "", 0, 0, OFFSET (payload),
    "call: payload of the request" },
  { "timeout-ms", HS_SETTING_UINT, "30000", 1, 600000, OFFSET (timeout_ms),
    "call: longest wait for the response, ms" },
  { "against", HS_SETTING_STRING, "", 0, 0, OFFSET (against),
    "check: configuration to compare with: a file, or \"current\" for the "
    "version in force" },
  { "zones", HS_SETTING_STRING, "", 0, 0, OFFSET (zones),
    "check: ZONE:REGION,... of all availability zones" },
  { "strict", HS_SETTING_BOOL, "0", 0, 0, OFFSET (strict),
    "check: warnings count as errors" },
  { "json", HS_SETTING_BOOL, "0", 0, 0, OFFSET (json),
    "print the response or the findings as JSON" },
};

static const struct hs_program program
    = { "hibiscusspan -- configures and inspects a load balancer\v"
        "Commands:\n"
        "  apply FILE         submit the service document in FILE\n"
        "  get SERVICE        print the document of SERVICE in force\n"
        "  list               print services and their revisions\n"
        "  status             print services, agents and entries with the\n"
        "                     catalog version of each\n"
        "  check FILE         check a service document or a configuration\n"
        "  call IP:PORT PATH  send one CoAP request as a caller\n"
        "Commands for a control group:\n"
        "  replace FILE       replace the configuration with that in FILE\n"
        "  show               print the configuration in force\n"
        "  cluster            print control hosts, and nodes with the\n"
        "                     configuration version of each\n"
        "  evacuate start ZONE   send no new flows to the zone\n"
        "  evacuate finish ZONE  send new flows to the zone again\n"
        "  evacuate list         print the evacuated zones\n"
        "Exit status: 0 success, 2 not run or invalid, 3 may have run, 64 "
        "usage error.",
        "COMMAND [ARG...]", settings_table, G_N_ELEMENTS (settings_table) };

static const struct command commands[] = {
  { "apply", 1, 1, run_apply },     { "get", 1, 1, run_get },
  { "list", 0, 0, run_list },       { "status", 0, 0, run_status },
  { "check", 1, 1, hs_check_run },  { "call", 2, 2, run_call },
  { "replace", 1, 1, run_replace }, { "show", 0, 0, run_show },
  { "cluster", 0, 0, run_cluster }, { "evacuate", 1, 2, hs_evacuate_run },
};

/* Public definitions.  */

int
main (int argc, char **argv)
{
  struct program_settings settings;
  struct hs_args args = { 0 };

  hs_settings_load_or_exit (&program, argc, argv, &settings, &args);
  if (settings.controls.len == 0)
    {
      fprintf (stderr,
               "hibiscusspan: control: expected IP:PORT,..., got ''\n");
      return HS_EXIT_USAGE;
    }
  for (size_t i = 0; args.len > 0 && i < G_N_ELEMENTS (commands); i++)
    {
      const struct command *command = &commands[i];

      if (strcmp (command->name, args.values[0]) == 0
          && args.len - 1 >= command->args_min
          && args.len - 1 <= command->args_max)
        return command->run (&settings, &args);
    }
  fprintf (stderr, "hibiscusspan: unknown command or wrong number of "
                   "arguments, see --help\n");
  return HS_EXIT_USAGE;
}

/* Private definitions.  */

static int
run_apply (const struct program_settings *settings, const struct hs_args *args)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_client *client = hs_client_create (root, &settings->controls);
  g_autoptr (GError) error = NULL;
  HS_AUTO_JSON json_t *response = NULL;
  g_autofree char *uuid = g_uuid_string_random ();
  const char *change_id
      = settings->change_id[0] != '\0' ? settings->change_id : uuid;
  struct hs_document *document;
  uint64_t base_revision;
  char *text;
  char *path;
  long status;

  document = hs_check_read_document (root, args->values[1], &text, &error);
  if (document == NULL
      || !find_base_revision (client, settings, document->service_name,
                              &base_revision, &error))
    return hs_tool_report_error (error);
  path = talloc_asprintf (
      root, "/v1/services/%s?base=%llu&change=%s&author=%s",
      document->service_name, (unsigned long long)base_revision, change_id,
      settings->author);
  response = hs_client_call (client, "PUT", path, text, &status, &error);
  if (response == NULL)
    {
      fprintf (stderr,
               "hibiscusspan: %s\nhibiscusspan: may-have-run: resend with "
               "--base=%llu --change=%s\n",
               error->message, (unsigned long long)base_revision, change_id);
      return EXIT_MAY_HAVE_RUN;
    }
  if (settings->json)
    hs_tool_print_json (response);
  else
    printf ("%s: %s: %s, revision %lld\n", document->service_name,
            hs_tool_string (response, "verdict"),
            hs_tool_string (response, "message"),
            (long long)hs_tool_integer (response, "revision"));
  return hs_tool_exit_status (hs_tool_string (response, "verdict"));
}

static int
run_get (const struct program_settings *settings, const struct hs_args *args)
{
  HS_AUTO_TALLOC char *path
      = talloc_asprintf (NULL, "/v1/services/%s", args->values[1]);

  return print_resource (settings, path, print_document);
}

static int
run_list (const struct program_settings *settings, const struct hs_args *args)
{
  (void)args;
  return print_resource (settings, "/v1/services", print_list);
}

static int
run_status (const struct program_settings *settings,
            const struct hs_args *args)
{
  (void)args;
  return print_resource (settings, "/v1/status", print_status);
}

static int
run_call (const struct program_settings *settings, const struct hs_args *args)
{
  struct hs_addr service;
  struct hs_verdict verdict;

  if (!hs_addr_parse (args->values[1], &service))
    {
      fprintf (stderr, "hibiscusspan: call: expected IP:PORT, got '%s'\n",
               args->values[1]);
      return HS_EXIT_USAGE;
    }
  verdict = hs_coap_call (&service, settings->method, args->values[2],
                          settings->payload, settings->timeout_ms);
  printf ("%s: %s\n", hs_outcome_name (verdict.outcome),
          hs_reason_name (verdict.reason));
  return hs_tool_exit_status (hs_outcome_name (verdict.outcome));
}

static int
run_replace (const struct program_settings *settings,
             const struct hs_args *args)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_client *client = hs_client_create (root, &settings->controls);
  g_autoptr (GError) error = NULL;
  HS_AUTO_JSON json_t *response = NULL;
  g_autofree char *text = NULL;
  gsize len;
  long status;

  if (!g_file_get_contents (args->values[1], &text, &len, &error)
      || !hs_check_configuration (args->values[1], text, len, &error))
    return hs_tool_report_error (error);
  response = hs_client_call (client, "PUT", "/v1/configuration", text, &status,
                             &error);
  if (response == NULL)
    {
      fprintf (stderr,
               "hibiscusspan: %s\nhibiscusspan: may-have-run: it is safe "
               "to resend the same file\n",
               error->message);
      return EXIT_MAY_HAVE_RUN;
    }
  printf ("%s: %s\n", hs_tool_string (response, "verdict"),
          hs_tool_string (response, "message"));
  return hs_tool_exit_status (hs_tool_string (response, "verdict"));
}

static int
run_show (const struct program_settings *settings, const struct hs_args *args)
{
  (void)args;
  return print_resource (settings, "/v1/configuration", hs_tool_print_json);
}

static int
run_cluster (const struct program_settings *settings,
             const struct hs_args *args)
{
  (void)args;
  return print_resource (settings, "/v1/cluster", print_cluster);
}

static void
print_cluster (const json_t *json)
{
  char version[VERSION_TEXT_SIZE];
  size_t i;
  json_t *item;

  printf (
      "%s: term %lld, applied %lld, configuration %s%s\n",
      hs_tool_string (json, "name"), (long long)hs_tool_integer (json, "term"),
      (long long)hs_tool_integer (json, "applied"),
      format_version (json, "version", version),
      json_is_true (json_object_get (json, "disk_works")) ? ""
                                                          : ", disk unusable");
  json_array_foreach (json_object_get (json, "hosts"), i, item)
  {
    printf ("  control %-24s %s%s\n", hs_tool_string (item, "inner"),
            json_is_true (json_object_get (item, "votes")) ? "votes"
                                                           : "follows",
            json_is_true (json_object_get (item, "leads")) ? ", leads" : "");
  }
  json_array_foreach (json_object_get (json, "nodes"), i, item)
  {
    printf ("  %-7s %-24s %s, %s, configuration %s\n",
            hs_tool_string (item, "role"), hs_tool_string (item, "address"),
            hs_tool_string (item, "name"), hs_tool_string (item, "zone"),
            format_version (item, "version_in_force", version));
  }
}

/* Writes the version in the field KEY to TEXT, of VERSION_TEXT_SIZE bytes, and
   returns TEXT.  The field is null where no configuration is in force.  */
static const char *
format_version (const json_t *object, const char *key, char *text)
{
  if (json_is_null (json_object_get (object, key)))
    g_strlcpy (text, "none", VERSION_TEXT_SIZE);
  else
    g_snprintf (text, VERSION_TEXT_SIZE, "%lld",
                (long long)hs_tool_integer (object, key));
  return text;
}

/* Sets BASE_REVISION to the revision in the settings or, by default, to the
   revision in force, or to 0 if the control host returns no document, as for a
   service that does not exist.  */
static bool
find_base_revision (struct hs_client *client,
                    const struct program_settings *settings,
                    const char *service, uint64_t *base_revision,
                    GError **error)
{
  HS_AUTO_TALLOC char *path
      = talloc_asprintf (NULL, "/v1/services/%s", service);
  HS_AUTO_JSON json_t *response = NULL;
  long status;

  if (strcmp (settings->base_revision, BASE_IN_FORCE) != 0)
    return g_ascii_string_to_unsigned (settings->base_revision, 10, 0,
                                       G_MAXINT64, base_revision, error);
  response = hs_client_call (client, "GET", path, NULL, &status, error);
  if (response == NULL)
    return false;
  *base_revision = status == STATUS_OK
                       ? (uint64_t)hs_tool_integer (response, "revision")
                       : 0;
  return true;
}

/* Fetches PATH and prints the response with PRINT, or as JSON if the settings
   request it.  Returns the exit status.  */
static int
print_resource (const struct program_settings *settings, const char *path,
                void (*print) (const json_t *json))
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_client *client = hs_client_create (root, &settings->controls);
  g_autoptr (GError) error = NULL;
  HS_AUTO_JSON json_t *response = NULL;
  long status;

  response = hs_client_call (client, "GET", path, NULL, &status, &error);
  if (response == NULL)
    return hs_tool_report_error (error);
  if (status != STATUS_OK)
    {
      fprintf (stderr, "hibiscusspan: %s\n",
               hs_tool_string (response, "message"));
      return EXIT_NOT_RUN;
    }
  if (settings->json)
    hs_tool_print_json (response);
  else
    print (response);
  return EXIT_SUCCESS;
}

static void
print_document (const json_t *json)
{
  fprintf (stderr, "revision %lld\n",
           (long long)hs_tool_integer (json, "revision"));
  hs_tool_print_json (json_object_get (json, "document"));
}

static void
print_list (const json_t *json)
{
  size_t i;
  json_t *service;

  printf ("%-24s %-8s %-6s %s\n", "SERVICE", "REVISION", "KIND", "ADDRESS");
  json_array_foreach (json_object_get (json, "services"), i, service)
  {
    const json_t *document = json_object_get (service, "document");

    printf ("%-24s %-8lld %-6s %s\n", hs_tool_string (document, "service"),
            (long long)hs_tool_integer (service, "revision"),
            hs_tool_string (document, "kind"),
            hs_tool_string (document, "address"));
  }
}

static void
print_status (const json_t *json)
{
  size_t i;
  json_t *service;

  printf ("catalog version %lld\n",
          (long long)hs_tool_integer (json, "version"));
  json_array_foreach (json_object_get (json, "services"), i, service)
  {
    printf ("service %s (%s) at %s: revision %lld, view %lld, version %lld\n",
            hs_tool_string (service, "service"),
            hs_tool_string (service, "kind"),
            hs_tool_string (service, "address"),
            (long long)hs_tool_integer (service, "revision"),
            (long long)hs_tool_integer (service, "view"),
            (long long)hs_tool_integer (service, "version"));
    print_members ("agent", json_object_get (service, "agents"));
  }
  print_members ("entry", json_object_get (json, "entries"));
}

static void
print_members (const char *kind, const json_t *members)
{
  size_t i;
  json_t *member;

  json_array_foreach ((json_t *)members, i, member)
  {
    printf ("  %s %s at %s in %s: %s, version in force %lld\n", kind,
            hs_tool_string (member, "name"),
            hs_tool_string (member, "address"),
            hs_tool_string (member, "zone"), hs_tool_string (member, "state"),
            (long long)hs_tool_integer (member, "version_in_force"));
  }
}
