/* evacuate.c -- the command "evacuate".

   An order is based on the revision of the evacuations that the operator could
   see, and is resent unchanged until there is a clear answer.  A copy that
   arrives after another operator's order is then refused and cannot reverse
   it.  */

#include "tool/evacuate.h"
#include "base/auto.h"
#include "base/worker.h"
#include "tool/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

#define EVACUATIONS_PATH "/v1/evacuations"

/* A control group acknowledges an order within 6 s, also if its leader is
   lost. The limit leaves time for three such failures in a row.  */
#define ORDER_LIMIT_MS 20000

/* Nodes that have contact act on an order within 5 s.  */
#define PROPAGATION_LIMIT_MS 10000

/* A control host answers within 2 s.  */
#define CALL_TIMEOUT_MS 3000
#define RETRY_INTERVAL_MS 200

enum order_outcome
{
  ORDER_IN_FORCE,
  ORDER_ACCEPTED,   /* Not known to be in force on all nodes.  */
  ORDER_SUPERSEDED, /* A later order has reversed it.  */
  ORDER_REFUSED,
  ORDER_NOT_RUN, /* No control host could decide on it in time.  */
  ORDER_UNCLEAR  /* It may have been accepted.  */
};

static const char *const outcome_names[]
    = { [ORDER_IN_FORCE] = "in-force",     [ORDER_ACCEPTED] = "accepted",
        [ORDER_SUPERSEDED] = "superseded", [ORDER_REFUSED] = "refused",
        [ORDER_NOT_RUN] = "not-run",       [ORDER_UNCLEAR] = "may-have-run" };

struct order
{
  struct hs_client *client;
  bool start; /* Evacuate the zone, else end its evacuation.  */
  const char *zone;
  uint64_t base_revision;
  uint64_t deadline; /* For a clear answer.  */
  bool is_unclear;   /* A copy that was sent may have been accepted.  */
  enum order_outcome outcome;
  char *message; /* Why, if it is refused or unclear.  */
  json_t *state; /* Latest known; NULL if it was not read.  */
};

/* Private functions.  */

static int run_list (const struct program_settings *settings);
static int run_order (const struct program_settings *settings, bool start,
                      const char *zone);
static bool find_base (const struct program_settings *settings,
                       struct order *order, GError **error);
static void send_order (struct order *order);
static bool send_copy (struct order *order, const char *path);
static void settle (struct order *order, enum order_outcome outcome);
static void await_in_force (struct order *order);
static bool is_reversed (const struct order *order);
static json_t *fetch_state (struct hs_client *client, uint64_t deadline,
                            GError **error);
static json_t *fetch_state_once (struct hs_client *client, bool *is_final,
                                 GError **error);
static bool pause_until (uint64_t deadline);
static int report_order (const struct order *order, bool as_json);
static void print_order_json (const struct order *order);
static void print_accepted (const struct order *order);
static void print_failed (const struct order *order);
static void print_state (const json_t *state);
static void print_behind (FILE *file, const json_t *state);
static int order_exit_status (enum order_outcome outcome);
static const char *order_verdict (enum order_outcome outcome);

/* Public definitions.  */

int
hs_evacuate_run (const struct program_settings *settings,
                 const struct hs_args *args)
{
  const char *action = args->values[1];
  bool start = strcmp (action, "start") == 0;

  if (args->len == 2 && strcmp (action, "list") == 0)
    return run_list (settings);
  if (args->len == 3 && (start || strcmp (action, "finish") == 0)
      && hs_name_is_valid (args->values[2]))
    return run_order (settings, start, args->values[2]);
  fprintf (stderr, "hibiscusspan: evacuate: expected start ZONE, finish ZONE "
                   "or list\n");
  return HS_EXIT_USAGE;
}

/* Private definitions.  */

static int
run_list (const struct program_settings *settings)
{
  HS_AUTO_TALLOC struct hs_client *client
      = hs_client_create (NULL, &settings->controls);
  g_autoptr (GError) error = NULL;
  HS_AUTO_JSON json_t *state = NULL;

  hs_client_set_timeout (client, CALL_TIMEOUT_MS);
  state = fetch_state (client, hs_clock_monotonic () + ORDER_LIMIT_MS, &error);
  if (state == NULL)
    return hs_tool_report_error (error);
  if (settings->json)
    hs_tool_print_json (state);
  else
    print_state (state);
  return EXIT_SUCCESS;
}

static int
run_order (const struct program_settings *settings, bool start,
           const char *zone)
{
  HS_AUTO_TALLOC struct hs_client *client
      = hs_client_create (NULL, &settings->controls);
  g_autoptr (GError) error = NULL;
  struct order order = { .client = client, .start = start, .zone = zone };
  int status;

  hs_client_set_timeout (client, CALL_TIMEOUT_MS);
  order.deadline = hs_clock_monotonic () + ORDER_LIMIT_MS;
  if (find_base (settings, &order, &error))
    send_order (&order);
  else
    {
      order.outcome = ORDER_NOT_RUN;
      order.message = g_strdup (error->message);
    }
  if (order.outcome == ORDER_ACCEPTED)
    await_in_force (&order);
  status = report_order (&order, settings->json);
  g_free (order.message);
  json_decref (order.state);
  return status;
}

/* Sets the revision that ORDER is based on: that in the settings or, by
   default, that in force.  */
static bool
find_base (const struct program_settings *settings, struct order *order,
           GError **error)
{
  if (strcmp (settings->base_revision, BASE_IN_FORCE) != 0)
    return g_ascii_string_to_unsigned (settings->base_revision, 10, 0,
                                       G_MAXINT64, &order->base_revision,
                                       error);
  order->state = fetch_state (order->client, order->deadline, error);
  if (order->state == NULL)
    return false;
  order->base_revision = (uint64_t)hs_tool_integer (order->state, "revision");
  return true;
}

/* Sends ORDER until it is accepted or refused, or the deadline has passed.  */
static void
send_order (struct order *order)
{
  g_autofree char *path
      = g_strdup_printf (EVACUATIONS_PATH "/%s?revision=%llu", order->zone,
                         (unsigned long long)order->base_revision);

  while (!send_copy (order, path))
    {
      hs_client_next_host (order->client);
      if (!pause_until (order->deadline))
        {
          settle (order, ORDER_NOT_RUN);
          return;
        }
    }
}

/* Sends ORDER once.  Returns whether it is settled; otherwise sets its message
   to what happened.  */
static bool
send_copy (struct order *order, const char *path)
{
  g_autoptr (GError) error = NULL;
  long status = 0;
  HS_AUTO_JSON json_t *response
      = hs_client_call (order->client, order->start ? "PUT" : "DELETE", path,
                        NULL, &status, &error);
  const char *not_run = hs_outcome_name (HS_OUTCOME_NOT_RUN);

  g_free (order->message);
  order->message
      = g_strdup (response != NULL ? hs_tool_string (response, "message")
                                   : error->message);
  if (status >= 200 && status < 300 && response != NULL)
    settle (order, ORDER_ACCEPTED);
  else if (status >= 400 && status < 500)
    settle (order, ORDER_REFUSED);
  else
    {
      if (response != NULL
              ? strcmp (hs_tool_string (response, "verdict"), not_run) != 0
              : !g_error_matches (error, HS_ERROR, HS_ERROR_NOT_FOUND))
        order->is_unclear = true;
      return false;
    }
  return true;
}

/* A refusal concerns one copy: an earlier one without a clear answer may have
   been accepted, and reversed since.  */
static void
settle (struct order *order, enum order_outcome outcome)
{
  order->outcome = outcome != ORDER_ACCEPTED && order->is_unclear
                       ? ORDER_UNCLEAR
                       : outcome;
}

/* Reads the state until no node is behind.  */
static void
await_in_force (struct order *order)
{
  uint64_t deadline = hs_clock_monotonic () + PROPAGATION_LIMIT_MS;

  json_decref (order->state);
  order->state = NULL;
  do
    {
      json_t *state = fetch_state (order->client, deadline, NULL);
      const json_t *behind = json_object_get (state, "behind");

      if (state == NULL)
        return;
      json_decref (order->state);
      order->state = state;
      if (is_reversed (order))
        order->outcome = ORDER_SUPERSEDED;
      else if (json_is_array (behind) && json_array_size (behind) == 0)
        order->outcome = ORDER_IN_FORCE;
    }
  while (order->outcome == ORDER_ACCEPTED && pause_until (deadline));
}

/* Returns whether the zone is not in the state that ORDER asked for.  */
static bool
is_reversed (const struct order *order)
{
  bool is_evacuated = false;
  size_t i;
  json_t *zone;

  json_array_foreach (json_object_get (order->state, "zones"), i, zone)
  {
    const char *name = json_string_value (zone);

    if (name != NULL && strcmp (name, order->zone) == 0)
      is_evacuated = true;
  }
  return is_evacuated != order->start;
}

/* Returns the state, or NULL with ERROR if no control host has returned it
   until DEADLINE or one refuses to.  */
static json_t *
fetch_state (struct hs_client *client, uint64_t deadline, GError **error)
{
  g_autoptr (GError) last = NULL;
  bool is_final = false;

  do
    {
      json_t *state;

      g_clear_error (&last);
      state = fetch_state_once (client, &is_final, &last);
      if (state != NULL)
        return state;
      hs_client_next_host (client);
    }
  while (!is_final && pause_until (deadline));
  g_propagate_error (error, g_steal_pointer (&last));
  return NULL;
}

/* Sets IS_FINAL if another attempt would fail too.  */
static json_t *
fetch_state_once (struct hs_client *client, bool *is_final, GError **error)
{
  long status;
  json_t *response
      = hs_client_call (client, "GET", EVACUATIONS_PATH, NULL, &status, error);

  if (response == NULL || status == STATUS_OK)
    return response;
  *is_final = status < 500;
  g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM, "%s: %s", EVACUATIONS_PATH,
               hs_tool_string (response, "message"));
  json_decref (response);
  return NULL;
}

/* Sleeps before another attempt.  Returns false, at once, if that would start
   after DEADLINE.  */
static bool
pause_until (uint64_t deadline)
{
  if (hs_clock_monotonic () + RETRY_INTERVAL_MS >= deadline)
    return false;
  g_usleep (RETRY_INTERVAL_MS * 1000);
  return true;
}

static int
report_order (const struct order *order, bool as_json)
{
  bool is_accepted = order_exit_status (order->outcome) == EXIT_SUCCESS;

  if (as_json)
    print_order_json (order);
  else if (is_accepted)
    print_accepted (order);
  if (!is_accepted)
    print_failed (order);
  else if (order->outcome == ORDER_SUPERSEDED)
    fprintf (stderr, "hibiscusspan: %s: a later order has reversed this one\n",
             order->zone);
  else if (order->outcome == ORDER_ACCEPTED && order->state == NULL)
    fprintf (stderr,
             "hibiscusspan: %s: accepted, but no control host returned the "
             "nodes that are behind\n",
             order->zone);
  else if (order->outcome == ORDER_ACCEPTED)
    {
      fprintf (stderr, "hibiscusspan: %s: not yet in force at %zu nodes:\n",
               order->zone,
               json_array_size (json_object_get (order->state, "behind")));
      print_behind (stderr, order->state);
    }
  return order_exit_status (order->outcome);
}

static void
print_order_json (const struct order *order)
{
  bool is_accepted = order_exit_status (order->outcome) == EXIT_SUCCESS;
  HS_AUTO_JSON json_t *json = json_pack (
      "{s:s, s:s, s:s, s:s, s:I, s:s*}", "zone", order->zone, "order",
      order->start ? "start" : "finish", "outcome",
      outcome_names[order->outcome], "verdict", order_verdict (order->outcome),
      "base", (json_int_t)order->base_revision, "message", order->message);

  /* The state that was read before an order failed may be outdated.  */
  if (is_accepted && order->state != NULL)
    json_object_update_missing (json, order->state);
  hs_tool_print_json (json);
}

static void
print_accepted (const struct order *order)
{
  const char *subject = order->start ? "evacuation" : "end of the evacuation";

  printf ("%s: %s %s", order->zone, subject,
          order->outcome == ORDER_IN_FORCE ? "in force" : "accepted");
  if (order->state != NULL)
    printf (", revision %lld",
            (long long)hs_tool_integer (order->state, "revision"));
  putchar ('\n');
}

static void
print_failed (const struct order *order)
{
  fprintf (stderr, "hibiscusspan: %s: %s%s: %s\n", order->zone,
           order->outcome == ORDER_REFUSED ? "refused: " : "",
           order_verdict (order->outcome), order->message);
  if (order->outcome == ORDER_UNCLEAR)
    fprintf (
        stderr,
        "hibiscusspan: %s: see \"evacuate list\"; it is safe to resend the "
        "order with --base=%llu\n",
        order->zone, (unsigned long long)order->base_revision);
}

static void
print_state (const json_t *state)
{
  size_t i;
  json_t *zone;

  printf ("revision %lld\n", (long long)hs_tool_integer (state, "revision"));
  json_array_foreach (json_object_get (state, "zones"), i, zone)
  {
    printf ("evacuated %s\n", json_string_value (zone));
  }
  print_behind (stdout, state);
}

static void
print_behind (FILE *file, const json_t *state)
{
  size_t i;
  json_t *node;

  json_array_foreach (json_object_get (state, "behind"), i, node)
  {
    fprintf (file, "  behind: %s %s in %s, revision %lld\n",
             hs_tool_string (node, "role"), hs_tool_string (node, "name"),
             hs_tool_string (node, "zone"),
             (long long)hs_tool_integer (node, "revision"));
  }
}

static int
order_exit_status (enum order_outcome outcome)
{
  return hs_tool_exit_status (order_verdict (outcome));
}

static const char *
order_verdict (enum order_outcome outcome)
{
  if (outcome == ORDER_REFUSED || outcome == ORDER_NOT_RUN)
    return hs_outcome_name (HS_OUTCOME_NOT_RUN);
  return hs_outcome_name (outcome == ORDER_UNCLEAR ? HS_OUTCOME_MAY_HAVE_RUN
                                                   : HS_OUTCOME_RAN);
}
