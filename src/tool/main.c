/* main.c -- the program hibiscusspan: the command-line tool of operators.  */

#include "base/auto.h"
#include "base/settings.h"
#include "tool/client.h"
#include "tool/coap_call.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

/* Exit statuses by verdict, for scripts.  */
#define EXIT_NOT_RUN 2
#define EXIT_MAY_HAVE_RUN 3
#define STATUS_OK 200     /* HTTP  */
#define BASE_IN_FORCE "-" /* --base: the revision in force.  */

/* All settings of the program.  */
struct program_settings
{
  struct hs_addr control;    /* HTTP API of a control host.  */
  const char *base_revision; /* A number, or BASE_IN_FORCE.  */
  const char *change_id;     /* "": a random one.  */
  const char *author;
  const char *method;
  const char *payload;
  uint64_t timeout_ms;
  bool json;
};

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
static int run_check (const struct program_settings *settings,
                      const struct hs_args *args);
static int run_call (const struct program_settings *settings,
                     const struct hs_args *args);
static int run_replace (const struct program_settings *settings,
                        const struct hs_args *args);
static int run_show (const struct program_settings *settings,
                     const struct hs_args *args);
static int run_cluster (const struct program_settings *settings,
                        const struct hs_args *args);
static bool check_configuration (const char *path, const char *json,
                                 size_t len, GError **error);
static void print_cluster (const json_t *json);
static struct hs_document *read_document (void *parent, const char *path,
                                          char **text, GError **error);
static bool find_base_revision (struct hs_client *client,
                                const struct program_settings *settings,
                                const char *service, uint64_t *base_revision,
                                GError **error);
static int print_resource (const struct program_settings *settings,
                           const char *path,
                           void (*print) (const json_t *json));
static void print_json (const json_t *json);
static void print_document (const json_t *json);
static void print_list (const json_t *json);
static void print_status (const json_t *json);
static void print_members (const char *kind, const json_t *members);
static const char *get_string (const json_t *json, const char *name);
static json_int_t get_integer (const json_t *json, const char *name);
static int exit_status (const char *outcome);
static int report_error (const GError *error);

#define OFFSET(field) offsetof (struct program_settings, field)

static const struct hs_setting settings_table[] = {
  { "control", HS_SETTING_ADDR, "127.0.0.1:7000", 0, 0, OFFSET (control),
    "IP:PORT of the HTTP API of a control host" },
  { "base", HS_SETTING_STRING, BASE_IN_FORCE, 0, 0, OFFSET (base_revision),
    "apply: revision to replace; default: the revision in force" },
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
  { "json", HS_SETTING_BOOL, "0", 0, 0, OFFSET (json),
    "print the response as JSON" },
};

static const struct hs_program program
    = { "hibiscusspan -- configures and inspects a load balancer\v"
        "Commands:\n"
        "  apply FILE         submit the service document in FILE\n"
        "  get SERVICE        print the document of SERVICE in force\n"
        "  list               print services and their revisions\n"
        "  status             print services, agents and entries with the\n"
        "                     catalog version of each\n"
        "  check FILE         check a service document offline\n"
        "  call IP:PORT PATH  send one CoAP request as a caller\n"
        "Commands for a control group:\n"
        "  replace FILE       replace the configuration with that in FILE\n"
        "  show               print the configuration in force\n"
        "  cluster            print control hosts, and nodes with the\n"
        "                     configuration version of each\n"
        "Exit status: 0 success, 2 not run, 3 may have run, 64 usage error.",
        "COMMAND [ARG...]", settings_table, G_N_ELEMENTS (settings_table) };

static const struct command commands[] = {
  { "apply", 1, 1, run_apply },     { "get", 1, 1, run_get },
  { "list", 0, 0, run_list },       { "status", 0, 0, run_status },
  { "check", 1, 1, run_check },     { "call", 2, 2, run_call },
  { "replace", 1, 1, run_replace }, { "show", 0, 0, run_show },
  { "cluster", 0, 0, run_cluster },
};

/* Public definitions.  */

int
main (int argc, char **argv)
{
  struct program_settings settings;
  struct hs_args args = { 0 };

  hs_settings_load_or_exit (&program, argc, argv, &settings, &args);
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
  struct hs_client *client = hs_client_create (root, &settings->control);
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

  document = read_document (root, args->values[1], &text, &error);
  if (document == NULL
      || !find_base_revision (client, settings, document->service_name,
                              &base_revision, &error))
    return report_error (error);
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
    print_json (response);
  else
    printf ("%s: %s: %s, revision %lld\n", document->service_name,
            get_string (response, "verdict"), get_string (response, "message"),
            (long long)get_integer (response, "revision"));
  return exit_status (get_string (response, "verdict"));
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
run_check (const struct program_settings *settings, const struct hs_args *args)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  g_autoptr (GError) error = NULL;
  char *text;
  const struct hs_document *document
      = read_document (root, args->values[1], &text, &error);

  (void)settings;
  if (document == NULL)
    return report_error (error);
  printf ("%s: valid document for service %s\n", args->values[1],
          document->service_name);
  return EXIT_SUCCESS;
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
  return exit_status (hs_outcome_name (verdict.outcome));
}

static int
run_replace (const struct program_settings *settings,
             const struct hs_args *args)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_client *client = hs_client_create (root, &settings->control);
  g_autoptr (GError) error = NULL;
  HS_AUTO_JSON json_t *response = NULL;
  g_autofree char *text = NULL;
  gsize len;
  long status;

  if (!g_file_get_contents (args->values[1], &text, &len, &error)
      || !check_configuration (args->values[1], text, len, &error))
    return report_error (error);
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
  printf ("%s: %s\n", get_string (response, "verdict"),
          get_string (response, "message"));
  return exit_status (get_string (response, "verdict"));
}

static int
run_show (const struct program_settings *settings, const struct hs_args *args)
{
  (void)args;
  return print_resource (settings, "/v1/configuration", print_json);
}

static int
run_cluster (const struct program_settings *settings,
             const struct hs_args *args)
{
  (void)args;
  return print_resource (settings, "/v1/cluster", print_cluster);
}

/* Checks the configuration before it is sent, so that an error names the file.
 */
static bool
check_configuration (const char *path, const char *json, size_t len,
                     GError **error)
{
  HS_AUTO_TALLOC struct hs_configuration *configuration
      = hs_configuration_parse (NULL, json, len, error);

  if (configuration != NULL && hs_configuration_check (configuration, error))
    return true;
  g_prefix_error (error, "%s: ", path);
  return false;
}

static void
print_cluster (const json_t *json)
{
  size_t i;
  json_t *item;

  printf ("%s: term %lld, applied %lld, configuration %lld%s\n",
          get_string (json, "name"), (long long)get_integer (json, "term"),
          (long long)get_integer (json, "applied"),
          (long long)get_integer (json, "version"),
          json_is_true (json_object_get (json, "disk_works"))
              ? ""
              : ", disk unusable");
  json_array_foreach (json_object_get (json, "hosts"), i, item)
  {
    printf ("  control %-24s %s%s\n", get_string (item, "inner"),
            json_is_true (json_object_get (item, "votes")) ? "votes"
                                                           : "follows",
            json_is_true (json_object_get (item, "leads")) ? ", leads" : "");
  }
  json_array_foreach (json_object_get (json, "nodes"), i, item)
  {
    printf ("  %-7s %-24s %s, %s, configuration %lld\n",
            get_string (item, "role"), get_string (item, "address"),
            get_string (item, "name"), get_string (item, "zone"),
            (long long)get_integer (item, "version_in_force"));
  }
}

/* Reads and parses the document at PATH.  Sets TEXT to its JSON; both are
   talloc children of PARENT.  Errors name the file.  */
static struct hs_document *
read_document (void *parent, const char *path, char **text, GError **error)
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
  *base_revision
      = status == STATUS_OK ? (uint64_t)get_integer (response, "revision") : 0;
  return true;
}

/* Fetches PATH and prints the response with PRINT, or as JSON if the settings
   request it.  Returns the exit status.  */
static int
print_resource (const struct program_settings *settings, const char *path,
                void (*print) (const json_t *json))
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_client *client = hs_client_create (root, &settings->control);
  g_autoptr (GError) error = NULL;
  HS_AUTO_JSON json_t *response = NULL;
  long status;

  response = hs_client_call (client, "GET", path, NULL, &status, &error);
  if (response == NULL)
    return report_error (error);
  if (status != STATUS_OK)
    {
      fprintf (stderr, "hibiscusspan: %s\n", get_string (response, "message"));
      return EXIT_NOT_RUN;
    }
  if (settings->json)
    print_json (response);
  else
    print (response);
  return EXIT_SUCCESS;
}

static void
print_json (const json_t *json)
{
  json_dumpf (json, stdout, JSON_INDENT (2));
  putchar ('\n');
}

static void
print_document (const json_t *json)
{
  fprintf (stderr, "revision %lld\n",
           (long long)get_integer (json, "revision"));
  print_json (json_object_get (json, "document"));
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

    printf ("%-24s %-8lld %-6s %s\n", get_string (document, "service"),
            (long long)get_integer (service, "revision"),
            get_string (document, "kind"), get_string (document, "address"));
  }
}

static void
print_status (const json_t *json)
{
  size_t i;
  json_t *service;

  printf ("catalog version %lld\n", (long long)get_integer (json, "version"));
  json_array_foreach (json_object_get (json, "services"), i, service)
  {
    printf ("service %s (%s) at %s: revision %lld, view %lld, version %lld\n",
            get_string (service, "service"), get_string (service, "kind"),
            get_string (service, "address"),
            (long long)get_integer (service, "revision"),
            (long long)get_integer (service, "view"),
            (long long)get_integer (service, "version"));
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
            get_string (member, "name"), get_string (member, "address"),
            get_string (member, "zone"), get_string (member, "state"),
            (long long)get_integer (member, "version_in_force"));
  }
}

/* Returns the string in the field NAME of JSON, or "?" if there is none.  */
static const char *
get_string (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text != NULL ? text : "?";
}

/* Returns the integer in the field NAME of JSON, or 0 if there is none.  */
static json_int_t
get_integer (const json_t *json, const char *name)
{
  return json_integer_value (json_object_get (json, name));
}

static int
exit_status (const char *outcome)
{
  if (strcmp (outcome, hs_outcome_name (HS_OUTCOME_RAN)) == 0)
    return EXIT_SUCCESS;
  if (strcmp (outcome, hs_outcome_name (HS_OUTCOME_NOT_RUN)) == 0)
    return EXIT_NOT_RUN;
  return EXIT_MAY_HAVE_RUN;
}

/* Prints ERROR to standard error.  Returns the exit status.  */
static int
report_error (const GError *error)
{
  fprintf (stderr, "hibiscusspan: %s\n", error->message);
  return EXIT_NOT_RUN;
}
