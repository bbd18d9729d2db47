/* test_evacuate.c -- tests of the command "evacuate" against a stand-in for a
   control host, which answers as it is told in advance.  */

#include "base/auto.h"
#include "daemon/http.h"
#include "tool/evacuate.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

/* Types.  */

#define ACCEPTED "{\"verdict\": \"ran\", \"message\": \"accepted\"}"
#define CONFLICT "{\"verdict\": \"not-run\", \"message\": \"other revision\"}"
#define NO_LEADER "{\"verdict\": \"not-run\", \"message\": \"no leader\"}"
#define NO_MAJORITY                                                           \
  "{\"verdict\": \"may-have-run\", \"message\": \"no majority\"}"
#define STATE_BEFORE "{\"revision\": 4, \"zones\": [], \"behind\": []}"
#define STATE_BEHIND                                                          \
  "{\"revision\": 5, \"zones\": [\"z\"], \"behind\": [{\"name\": \"e1\", "    \
  "\"role\": \"entry\", \"zone\": \"y\", \"revision\": 4}]}"
#define STATE_IN_FORCE "{\"revision\": 5, \"zones\": [\"z\"], \"behind\": []}"

struct answer
{
  const char *request; /* Method, path and revision that are expected.  */
  unsigned int status;
  const char *body;
};

/* The stand-in.  Answers the requests in turn and repeats the last answer.  */
struct control_host
{
  struct hs_http *http;
  struct hs_addr address;
  const struct answer *answers;
  size_t len;
  size_t requests; /* So far.  */
};

/* Private functions.  */

static void
on_request (void *ctx, struct hs_http_request *request)
{
  struct control_host *host = ctx;
  size_t index = MIN (host->requests, host->len - 1);
  const struct answer *answer = &host->answers[index];
  const char *revision = hs_http_query (request, "revision");
  g_autofree char *text = g_strdup_printf (
      "%s %s%s%s", hs_http_method (request), hs_http_path (request),
      revision != NULL ? " " : "", revision != NULL ? revision : "");

  g_assert_cmpstr (text, ==, answer->request);
  host->requests++;
  hs_http_respond (request, answer->status, "application/json", answer->body);
}

/* Returns an address whose port nothing listens on.  */
static struct hs_addr
find_free_address (void)
{
  struct sockaddr_in sin = { .sin_family = AF_INET };
  socklen_t len = sizeof sin;
  struct hs_addr address;
  HS_AUTO_FD int fd = socket (AF_INET, SOCK_STREAM, 0);

  sin.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&sin, sizeof sin), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&sin, &len), ==, 0);
  g_assert_true (hs_addr_parse ("127.0.0.1:1", &address));
  address.port = ntohs (sin.sin_port);
  return address;
}

/* Runs "evacuate ACTION z" against a stand-in with ANSWERS, with a control
   host before it that is down.  The exit status must be STATUS, and the last
   of the answers must have been given.  */
static void
assert_command (const char *action, const struct answer *answers, size_t len,
                int status)
{
  struct control_host host
      = { .address = find_free_address (), .answers = answers, .len = len };
  struct program_settings settings
      = { .base_revision = BASE_IN_FORCE,
          .controls = { 2, { host.address, host.address } } };
  struct hs_args args = { 3, { "evacuate", action, "z" } };
  g_autoptr (GError) error = NULL;
  int actual;

  host.http = hs_http_create (&host.address, on_request, &host, &error);
  g_assert_no_error (error);
  settings.controls.values[0] = find_free_address ();
  if (strcmp (action, "list") == 0)
    args.len = 2;
  actual = hs_evacuate_run (&settings, &args);
  hs_http_destroy (host.http);
  g_assert_cmpint (actual, ==, status);
  g_assert_cmpuint (host.requests, >=, len);
}

/* Guards against a command that ends before the order is in force, or that
   gives up since the first control host is down.  */
static void
test_in_force (void)
{
  static const struct answer answers[] = {
    { "GET /v1/evacuations", 200, STATE_BEFORE },
    { "PUT /v1/evacuations/z 4", 200, ACCEPTED },
    { "GET /v1/evacuations", 200, STATE_BEHIND },
    { "GET /v1/evacuations", 200, STATE_BEHIND },
    { "GET /v1/evacuations", 200, STATE_IN_FORCE },
  };

  assert_command ("start", answers, G_N_ELEMENTS (answers), 0);
}

/* Guards against an order that is changed when it is sent again, and against
   one that is given up while its outcome is unknown.  */
static void
test_resent (void)
{
  static const struct answer answers[] = {
    { "GET /v1/evacuations", 503, NO_LEADER },
    { "GET /v1/evacuations", 200, STATE_IN_FORCE },
    { "DELETE /v1/evacuations/z 5", 503, NO_MAJORITY },
    { "DELETE /v1/evacuations/z 5", 503, NO_LEADER },
    { "DELETE /v1/evacuations/z 5", 200, ACCEPTED },
    { "GET /v1/evacuations", 200, STATE_BEFORE },
  };

  assert_command ("finish", answers, G_N_ELEMENTS (answers), 0);
}

/* Guards against a refused order being sent again.  */
static void
test_refused (void)
{
  static const struct answer answers[] = {
    { "GET /v1/evacuations", 200, STATE_BEFORE },
    { "PUT /v1/evacuations/z 4", 503, NO_LEADER },
    { "PUT /v1/evacuations/z 4", 409, CONFLICT },
  };

  assert_command ("start", answers, G_N_ELEMENTS (answers), EXIT_NOT_RUN);
}

/* Guards against the verdict not-run for an order of which an earlier copy may
   have been accepted, and reversed by another operator since.  */
static void
test_refused_after_unclear (void)
{
  static const struct answer answers[] = {
    { "GET /v1/evacuations", 200, STATE_BEFORE },
    { "PUT /v1/evacuations/z 4", 503, NO_MAJORITY },
    { "PUT /v1/evacuations/z 4", 409, CONFLICT },
  };

  assert_command ("start", answers, G_N_ELEMENTS (answers), EXIT_MAY_HAVE_RUN);
}

/* Guards against a failure status for an order that was accepted: nodes
   without contact stay behind, and a later order may reverse it.  */
static void
test_accepted (void)
{
  static const struct answer behind[] = {
    { "GET /v1/evacuations", 200, STATE_BEFORE },
    { "PUT /v1/evacuations/z 4", 200, ACCEPTED },
    { "GET /v1/evacuations", 200, STATE_BEHIND },
  };
  static const struct answer reversed[] = {
    { "GET /v1/evacuations", 200, STATE_BEFORE },
    { "PUT /v1/evacuations/z 4", 200, ACCEPTED },
    { "GET /v1/evacuations", 200, STATE_BEFORE },
  };
  int64_t started_at = g_get_monotonic_time ();
  int64_t took;

  assert_command ("start", reversed, G_N_ELEMENTS (reversed), 0);
  assert_command ("start", behind, G_N_ELEMENTS (behind), 0);
  took = g_get_monotonic_time () - started_at;
  g_assert_cmpint (took, >, 9 * G_USEC_PER_SEC);
  g_assert_cmpint (took, <, 15 * G_USEC_PER_SEC);
}

/* Guards against a list from a control host that does not know the calls.  */
static void
test_list (void)
{
  static const struct answer known[]
      = { { "GET /v1/evacuations", 200, STATE_BEHIND } };
  static const struct answer unknown[]
      = { { "GET /v1/evacuations", 404, CONFLICT } };

  assert_command ("list", known, 1, 0);
  assert_command ("list", unknown, 1, EXIT_NOT_RUN);
}

/* Guards against an order that is sent although its zone is not a name.  */
static void
test_usage (void)
{
  static const char *const zones[] = { "", "a/b", "a?revision=1" };
  struct program_settings settings = { .base_revision = BASE_IN_FORCE };

  for (size_t i = 0; i < G_N_ELEMENTS (zones); i++)
    {
      struct hs_args args = { 3, { "evacuate", "start", zones[i] } };

      g_assert_cmpint (hs_evacuate_run (&settings, &args), ==, HS_EXIT_USAGE);
    }
}

/* Public definitions.  */

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/evacuate/in-force", test_in_force);
  g_test_add_func ("/evacuate/resent", test_resent);
  g_test_add_func ("/evacuate/refused", test_refused);
  g_test_add_func ("/evacuate/refused-after-unclear",
                   test_refused_after_unclear);
  g_test_add_func ("/evacuate/accepted", test_accepted);
  g_test_add_func ("/evacuate/list", test_list);
  g_test_add_func ("/evacuate/usage", test_usage);
  return g_test_run ();
}
