/* caller.c -- stand-in for the callers of one service.

   Sends requests over many flows, keeps observe streams open, and counts the
   outcomes.  Every response must name the service and the request that it
   belongs to; a response that does not is counted as misdelivered and printed
   as "astray".  Prints lines of the form "NAME VALUE" and exits with 0 only if
   every request has an outcome, no response was misdelivered and every stream
   still delivered notifications at the end.  */

#include "base/addr.h"
#include "base/settings.h"

#include <coap3/coap.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Types.  */

#define TEXT_SIZE 512
#define POLL_MS 5
#define MS_PER_S 1000
#define RESPONSE_WAIT_MS 15000 /* After the last request is due.  */
#define STREAM_SILENCE_MAX_MS 3000
#define STREAM_TOKEN_FLAG 0x80000000u /* Set in the tokens of streams.  */

enum outcome
{
  OUTCOME_NONE,
  OUTCOME_RAN,
  OUTCOME_NOT_RUN,      /* Response 5.03.  */
  OUTCOME_MAY_HAVE_RUN, /* Response 5.04.  */
  OUTCOME_LOST          /* Not sent, or no response.  */
};

struct caller_settings
{
  struct hs_addr target;
  const char *service;
  const char *kind;
  const char *prefix;
  uint64_t requests;
  uint64_t rate;
  uint64_t flows;
  uint64_t streams;
  uint64_t min_ms;
  uint64_t post_percent;
  uint64_t seed;
};

struct stream
{
  coap_session_t *session;
  uint64_t notifications;
  uint64_t last_heard_at_ms; /* Time of the last notification; at first, of the
                                opening.  */
  uint64_t silence_max_ms;   /* Longest time before a notification.  */
  char peer[HS_ADDR_TEXT_SIZE]; /* This caller's address at the upstream.  */
  bool moved; /* The upstream has seen more than one peer address.  */
};

struct caller
{
  struct caller_settings settings;
  GRand *rand;
  coap_context_t *context;
  coap_session_t **sessions;
  uint8_t *outcomes; /* enum outcome, by request.  */
  struct stream *streams;
  uint64_t sent;
  uint64_t outcomes_len; /* Requests that have an outcome.  */
  uint64_t misdelivered;
  uint64_t duplicates; /* Responses to requests that had an outcome.  */
};

/* Private functions.  */

static int run_coap (struct caller *caller);
static int run_udp (struct caller *caller);
static void send_due (struct caller *caller, uint64_t elapsed_ms);
static void send_request (struct caller *caller, uint64_t number);
static void open_streams (struct caller *caller);
static coap_response_t on_response (coap_session_t *session,
                                    const coap_pdu_t *sent,
                                    const coap_pdu_t *received,
                                    const coap_mid_t mid);
static void on_nack (coap_session_t *session, const coap_pdu_t *sent,
                     const coap_nack_reason_t reason, const coap_mid_t mid);
static void handle_notification (struct caller *caller, uint32_t number,
                                 const char *text);
static void record_outcome (struct caller *caller, uint64_t number,
                            enum outcome outcome);
static bool is_response_to (const struct caller *caller, const char *text,
                            const char *id);
static void format_id (const struct caller *caller, uint64_t number, char *id);
static uint32_t get_token (const coap_pdu_t *pdu);
static int print_report (struct caller *caller);
static uint64_t count_outcomes (const struct caller *caller,
                                enum outcome outcome);
static coap_session_t *open_session (struct caller *caller);
static uint64_t now_ms (void);

static const struct hs_setting settings_table[] = {
  { "target", HS_SETTING_ADDR, NULL, 0, 0,
    offsetof (struct caller_settings, target), "IP:PORT of the service" },
  { "service", HS_SETTING_NAME, NULL, 0, 0,
    offsetof (struct caller_settings, service), "service name in responses" },
  { "kind", HS_SETTING_NAME, "coap", 0, 0,
    offsetof (struct caller_settings, kind), "coap or udp" },
  { "prefix", HS_SETTING_NAME, "r", 0, 0,
    offsetof (struct caller_settings, prefix), "prefix of request ids" },
  { "requests", HS_SETTING_UINT, "100", 0, 10000000,
    offsetof (struct caller_settings, requests), "requests to send" },
  { "rate", HS_SETTING_UINT, "500", 1, 1000000,
    offsetof (struct caller_settings, rate), "requests per second" },
  { "flows", HS_SETTING_UINT, "50", 1, 50000,
    offsetof (struct caller_settings, flows), "flows to send requests on" },
  { "streams", HS_SETTING_UINT, "0", 0, 1000,
    offsetof (struct caller_settings, streams), "streams to keep open" },
  { "min-ms", HS_SETTING_UINT, "0", 0, 3600000,
    offsetof (struct caller_settings, min_ms), "minimum run time in ms" },
  { "post-percent", HS_SETTING_UINT, "30", 0, 100,
    offsetof (struct caller_settings, post_percent),
    "percentage of POST requests" },
  { "seed", HS_SETTING_UINT, "1", 0, UINT32_MAX,
    offsetof (struct caller_settings, seed),
    "seed of the random choice of methods" },
};

static const struct hs_program program
    = { "caller -- stand-in for the callers of a service", NULL,
        settings_table, G_N_ELEMENTS (settings_table) };

/* Public definitions.  */

int
main (int argc, char **argv)
{
  struct caller caller = { 0 };
  int status;

  hs_settings_load_or_exit (&program, argc, argv, &caller.settings, NULL);
  caller.rand = g_rand_new_with_seed ((guint32)caller.settings.seed);
  caller.outcomes = g_new0 (uint8_t, caller.settings.requests + 1);
  status = strcmp (caller.settings.kind, "udp") == 0 ? run_udp (&caller)
                                                     : run_coap (&caller);
  g_rand_free (caller.rand);
  g_free (caller.outcomes);
  g_free (caller.sessions);
  g_free (caller.streams);
  return status;
}

/* Private definitions.  */

static int
run_coap (struct caller *caller)
{
  const struct caller_settings *settings = &caller->settings;
  uint64_t start = now_ms ();
  uint64_t elapsed_ms = 0;
  int status;
  uint64_t sending_ms = settings->requests * MS_PER_S / settings->rate;

  coap_startup ();
  coap_set_log_level (LOG_EMERG);
  caller->context = coap_new_context (NULL);
  coap_set_app_data (caller->context, caller);
  coap_register_response_handler (caller->context, on_response);
  coap_register_nack_handler (caller->context, on_nack);
  caller->sessions = g_new0 (coap_session_t *, settings->flows);
  for (uint64_t i = 0; i < settings->flows; i++)
    caller->sessions[i] = open_session (caller);
  open_streams (caller);
  while (elapsed_ms < settings->min_ms
         || (caller->outcomes_len < settings->requests
             && elapsed_ms < sending_ms + settings->min_ms + RESPONSE_WAIT_MS))
    {
      send_due (caller, elapsed_ms);
      coap_io_process (caller->context, POLL_MS);
      elapsed_ms = now_ms () - start;
    }
  status = print_report (caller);
  coap_free_context (caller->context);
  coap_cleanup ();
  return status;
}

/* Sends the requests that are due by ELAPSED_MS at the set rate.  */
static void
send_due (struct caller *caller, uint64_t elapsed_ms)
{
  uint64_t due = elapsed_ms * caller->settings.rate / MS_PER_S + 1;

  if (due > caller->settings.requests)
    due = caller->settings.requests;
  while (caller->sent < due)
    send_request (caller, caller->sent++);
}

static void
send_request (struct caller *caller, uint64_t number)
{
  coap_session_t *session = caller->sessions[number % caller->settings.flows];
  bool post = (uint64_t)g_rand_int_range (caller->rand, 0, 100)
              < caller->settings.post_percent;
  coap_pdu_t *pdu = coap_new_pdu (
      COAP_MESSAGE_CON, post ? COAP_REQUEST_CODE_POST : COAP_REQUEST_CODE_GET,
      session);
  uint32_t token = (uint32_t)number;
  char id[TEXT_SIZE];

  format_id (caller, number, id);
  coap_add_token (pdu, sizeof token, (const uint8_t *)&token);
  coap_add_option (pdu, COAP_OPTION_URI_PATH, post ? 7 : strlen (id),
                   (const uint8_t *)(post ? "confirm" : id));
  if (post)
    coap_add_data (pdu, strlen (id), (const uint8_t *)id);
  if (coap_send (session, pdu) == COAP_INVALID_MID)
    record_outcome (caller, number, OUTCOME_LOST);
}

static void
open_streams (struct caller *caller)
{
  caller->streams = g_new0 (struct stream, caller->settings.streams + 1);
  for (uint32_t i = 0; i < caller->settings.streams; i++)
    {
      struct stream *stream = &caller->streams[i];
      uint32_t token = STREAM_TOKEN_FLAG | i;
      coap_pdu_t *pdu;

      stream->session = open_session (caller);
      stream->last_heard_at_ms = now_ms ();
      pdu = coap_new_pdu (COAP_MESSAGE_CON, COAP_REQUEST_CODE_GET,
                          stream->session);
      coap_add_token (pdu, sizeof token, (const uint8_t *)&token);
      coap_add_option (pdu, COAP_OPTION_OBSERVE, 0, NULL);
      coap_add_option (pdu, COAP_OPTION_URI_PATH, 6,
                       (const uint8_t *)"stream");
      coap_send (stream->session, pdu);
    }
}

static coap_response_t
on_response (coap_session_t *session, const coap_pdu_t *sent,
             const coap_pdu_t *received, const coap_mid_t mid)
{
  struct caller *caller
      = coap_get_app_data (coap_session_get_context (session));
  coap_pdu_code_t code = coap_pdu_get_code (received);
  uint32_t token = get_token (received);
  char text[TEXT_SIZE] = "";
  char id[TEXT_SIZE];
  const uint8_t *data;
  size_t len;

  (void)sent;
  (void)mid;
  if (coap_get_data (received, &len, &data) && len < sizeof text)
    memcpy (text, data, len);
  if ((token & STREAM_TOKEN_FLAG) != 0)
    {
      handle_notification (caller, token & ~STREAM_TOKEN_FLAG, text);
      return COAP_RESPONSE_OK;
    }
  format_id (caller, token, id);
  if (code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE)
    record_outcome (caller, token, OUTCOME_NOT_RUN);
  else if (code == COAP_RESPONSE_CODE_GATEWAY_TIMEOUT)
    fprintf (stderr, "caller: request %u: %s\n", token, text);
  if (code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE)
    return COAP_RESPONSE_OK;
  if (code == COAP_RESPONSE_CODE_GATEWAY_TIMEOUT)
    record_outcome (caller, token, OUTCOME_MAY_HAVE_RUN);
  else if (is_response_to (caller, text, id))
    record_outcome (caller, token, OUTCOME_RAN);
  else
    caller->misdelivered++;
  return COAP_RESPONSE_OK;
}

static void
on_nack (coap_session_t *session, const coap_pdu_t *sent,
         const coap_nack_reason_t reason, const coap_mid_t mid)
{
  struct caller *caller
      = coap_get_app_data (coap_session_get_context (session));

  (void)mid;
  (void)reason;
  if (sent != NULL && (get_token (sent) & STREAM_TOKEN_FLAG) == 0)
    record_outcome (caller, get_token (sent), OUTCOME_LOST);
}

static void
handle_notification (struct caller *caller, uint32_t number, const char *text)
{
  struct stream *stream = &caller->streams[number];
  uint64_t now = now_ms ();
  uint64_t silence_ms = now - stream->last_heard_at_ms;
  const char *peer = strstr (text, "peer=");

  if (number >= caller->settings.streams
      || !is_response_to (caller, text, "stream") || peer == NULL)
    {
      caller->misdelivered++;
      return;
    }
  if (stream->notifications > 0
      && strncmp (peer, stream->peer, strlen (stream->peer)) != 0)
    stream->moved = true;
  g_strlcpy (stream->peer, peer, sizeof stream->peer);
  if (strchr (stream->peer, ' ') != NULL)
    *strchr (stream->peer, ' ') = '\0';
  if (silence_ms > stream->silence_max_ms)
    stream->silence_max_ms = silence_ms;
  stream->last_heard_at_ms = now;
  stream->notifications++;
}

static void
record_outcome (struct caller *caller, uint64_t number, enum outcome outcome)
{
  if (number >= caller->settings.requests)
    {
      caller->misdelivered++;
      return;
    }
  if (caller->outcomes[number] != OUTCOME_NONE)
    {
      caller->duplicates++;
      return;
    }
  caller->outcomes[number] = (uint8_t)outcome;
  caller->outcomes_len++;
}

/* Returns whether TEXT begins with the name of the service and the request
   ID.  */
static bool
is_response_to (const struct caller *caller, const char *text, const char *id)
{
  char expected[TEXT_SIZE * 2];
  int len = snprintf (expected, sizeof expected, "service=%s id=%s",
                      caller->settings.service, id);

  return strncmp (text, expected, (size_t)len) == 0
         && (text[len] == ' ' || text[len] == '\0');
}

static void
format_id (const struct caller *caller, uint64_t number, char *id)
{
  snprintf (id, TEXT_SIZE, "%s-%llu", caller->settings.prefix,
            (unsigned long long)number);
}

/* Returns the token of PDU, or a number that no request has if the token does
   not have the length of this program's tokens.  */
static uint32_t
get_token (const coap_pdu_t *pdu)
{
  coap_bin_const_t token = coap_pdu_get_token (pdu);
  uint32_t value = UINT32_MAX & ~STREAM_TOKEN_FLAG;

  if (token.length == sizeof value)
    memcpy (&value, token.s, sizeof value);
  return value;
}

/* Prints the counts and returns the exit status.  */
static int
print_report (struct caller *caller)
{
  uint64_t ran = count_outcomes (caller, OUTCOME_RAN);
  uint64_t not_run = count_outcomes (caller, OUTCOME_NOT_RUN);
  uint64_t may_have_run = count_outcomes (caller, OUTCOME_MAY_HAVE_RUN);
  uint64_t lost = count_outcomes (caller, OUTCOME_LOST);
  uint64_t requests = caller->settings.requests;
  uint64_t broken = 0;
  uint64_t moved = 0;
  uint64_t longest_ms = 0;
  uint64_t notifications = 0;
  bool balanced = ran + not_run + may_have_run + lost == requests;

  for (uint64_t i = 0; i < caller->settings.streams; i++)
    {
      const struct stream *stream = &caller->streams[i];

      notifications += stream->notifications;
      moved += stream->moved;
      if (stream->notifications == 0
          || now_ms () - stream->last_heard_at_ms > STREAM_SILENCE_MAX_MS)
        broken++;
      if (stream->silence_max_ms > longest_ms)
        longest_ms = stream->silence_max_ms;
    }
  printf ("service %s\nrequests %llu\nran %llu\nnot_run %llu\n"
          "may_have_run %llu\nlost %llu\nastray %llu\nstreams %llu\n"
          "notifications %llu\nstreams_broken %llu\nstreams_moved %llu\n"
          "stream_silence_max_ms %llu\nbalanced %s\n",
          caller->settings.service, (unsigned long long)requests,
          (unsigned long long)ran, (unsigned long long)not_run,
          (unsigned long long)may_have_run, (unsigned long long)lost,
          (unsigned long long)caller->misdelivered,
          (unsigned long long)caller->settings.streams,
          (unsigned long long)notifications, (unsigned long long)broken,
          (unsigned long long)moved, (unsigned long long)longest_ms,
          balanced ? "yes" : "no");
  return balanced && caller->misdelivered == 0 && broken == 0 ? EXIT_SUCCESS
                                                              : EXIT_FAILURE;
}

static uint64_t
count_outcomes (const struct caller *caller, enum outcome outcome)
{
  uint64_t total = 0;

  for (uint64_t i = 0; i < caller->settings.requests; i++)
    total += caller->outcomes[i] == outcome;
  return total;
}

static coap_session_t *
open_session (struct caller *caller)
{
  struct sockaddr_storage ss;
  coap_address_t address;

  coap_address_init (&address);
  address.size = hs_addr_to_sockaddr (&caller->settings.target, &ss);
  memcpy (&address.addr, &ss, address.size);
  return coap_new_client_session (caller->context, NULL, &address,
                                  COAP_PROTO_UDP);
}

/* Sends one request at a time, each on a new flow, and sends it up to 5 times
   until a response arrives.  */
static int
run_udp (struct caller *caller)
{
  struct sockaddr_storage ss;
  socklen_t ss_len = hs_addr_to_sockaddr (&caller->settings.target, &ss);

  for (uint64_t number = 0; number < caller->settings.requests; number++)
    {
      int fd = socket (ss.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      struct pollfd pfd = { .fd = fd, .events = POLLIN };
      char id[TEXT_SIZE];
      char text[TEXT_SIZE] = "";

      format_id (caller, number, id);
      if (connect (fd, (struct sockaddr *)&ss, ss_len) != 0)
        perror ("caller: connect");
      for (int tries = 0; tries < 5; tries++)
        {
          if (send (fd, id, strlen (id), 0) < 0)
            perror ("caller: send");
          if (poll (&pfd, 1, MS_PER_S) <= 0)
            continue;
          if (recv (fd, text, sizeof text - 1, 0) >= 0)
            break;
        }
      if (text[0] == '\0')
        record_outcome (caller, number, OUTCOME_LOST);
      else if (is_response_to (caller, text, id))
        record_outcome (caller, number, OUTCOME_RAN);
      else
        caller->misdelivered++;
      close (fd);
    }
  return print_report (caller);
}

static uint64_t
now_ms (void)
{
  return (uint64_t)g_get_monotonic_time () / MS_PER_S;
}
