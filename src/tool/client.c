/* client.c -- client of the operators' HTTP API, on libcurl.  */

#include "tool/client.h"
#include "base/auto.h"

#include <curl/curl.h>
#include <string.h>

/* Types.  */

#define REDIRECT_LIMIT 2
#define DEFAULT_TIMEOUT_MS 10000

struct hs_client
{
  CURL *curl;
  struct hs_addrs controls;
  size_t current; /* Index of the control host that calls go to.  */
  unsigned int timeout_ms;
};

/* Private functions.  */

static int destructor (struct hs_client *client);
static void set_options (struct hs_client *client, const char *method,
                         const char *url, const char *body, GString *response);
static enum hs_error classify_failure (CURL *curl, CURLcode code);
static size_t on_body_data (char *data, size_t size, size_t count, void *ctx);

/* Public definitions.  */

struct hs_client *
hs_client_create (void *parent, const struct hs_addrs *controls)
{
  struct hs_client *client = talloc_zero (parent, struct hs_client);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  client->curl = curl_easy_init ();
  client->controls = *controls;
  client->timeout_ms = DEFAULT_TIMEOUT_MS;
  talloc_set_destructor (client, destructor);
  return client;
}

void
hs_client_destroy (struct hs_client *client)
{
  talloc_free (client);
}

void
hs_client_next_host (struct hs_client *client)
{
  client->current = (client->current + 1) % client->controls.len;
}

void
hs_client_set_timeout (struct hs_client *client, unsigned int ms)
{
  client->timeout_ms = ms;
}

json_t *
hs_client_call (struct hs_client *client, const char *method, const char *path,
                const char *body, long *status, GError **error)
{
  char host[HS_ADDR_TEXT_SIZE];
  g_autofree char *url = NULL;
  g_autoptr (GString) text = g_string_new (NULL);
  CURLcode code;
  json_t *json;

  hs_addr_format (&client->controls.values[client->current], host);
  url = g_strdup_printf ("http://%s%s", host, path);
  set_options (client, method, url, body, text);
  code = curl_easy_perform (client->curl);
  if (code != CURLE_OK)
    {
      g_set_error (error, HS_ERROR, classify_failure (client->curl, code),
                   "%s: %s", url, curl_easy_strerror (code));
      return NULL;
    }
  curl_easy_getinfo (client->curl, CURLINFO_RESPONSE_CODE, status);
  json = json_loads (text->str, 0, NULL);
  if (json == NULL)
    g_set_error (error, HS_ERROR, HS_ERROR_MALFORMED,
                 "%s: status %ld with a body that is not JSON", url, *status);
  return json;
}

/* Private definitions.  */

static int
destructor (struct hs_client *client)
{
  curl_easy_cleanup (client->curl);
  return 0;
}

static void
set_options (struct hs_client *client, const char *method, const char *url,
             const char *body, GString *response)
{
  CURL *curl = client->curl;

  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)client->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body_data);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, response);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  /* Control hosts that are not the leader of their group redirect to it.  */
  curl_easy_setopt (curl, CURLOPT_FOLLOWLOCATION, 1L);
  curl_easy_setopt (curl, CURLOPT_MAXREDIRS, (long)REDIRECT_LIMIT);
  if (body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
    }
}

/* A control host that redirects a request does not carry it out.  */
static enum hs_error
classify_failure (CURL *curl, CURLcode code)
{
  long sent = 0; /* Bytes of all requests, with those that were redirected.  */

  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &sent);
  if (code == CURLE_COULDNT_CONNECT || code == CURLE_TOO_MANY_REDIRECTS
      || sent == 0)
    return HS_ERROR_NOT_FOUND;
  return HS_ERROR_SYSTEM;
}

/* Appends a part of the body to CTX, a GString.  */
static size_t
on_body_data (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}
