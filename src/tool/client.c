/* client.c -- client of the operators' HTTP API, on libcurl.  */

#include "tool/client.h"
#include "base/auto.h"

#include <curl/curl.h>
#include <string.h>

/* Types.  */

#define REDIRECT_LIMIT 2
#define REQUEST_TIMEOUT_S 10
#define METHOD_PUT "PUT"

struct hs_client
{
  CURL *curl;
  char control[HS_ADDR_TEXT_SIZE]; /* "IP:PORT"  */
};

/* Private functions.  */

static int destructor (struct hs_client *client);
static size_t on_body_data (char *data, size_t size, size_t count, void *ctx);

/* Public definitions.  */

struct hs_client *
hs_client_create (void *parent, const struct hs_addr *control)
{
  struct hs_client *client = talloc_zero (parent, struct hs_client);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  client->curl = curl_easy_init ();
  hs_addr_format (control, client->control);
  talloc_set_destructor (client, destructor);
  return client;
}

void
hs_client_destroy (struct hs_client *client)
{
  talloc_free (client);
}

json_t *
hs_client_call (struct hs_client *client, const char *method, const char *path,
                const char *body, long *status, GError **error)
{
  HS_AUTO_TALLOC char *url
      = talloc_asprintf (NULL, "http://%s%s", client->control, path);
  g_autoptr (GString) text = g_string_new (NULL);
  CURL *curl = client->curl;
  CURLcode code;
  json_t *json;

  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, (long)REQUEST_TIMEOUT_S);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body_data);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  /* Control hosts that are not the leader of their group redirect to it.  */
  curl_easy_setopt (curl, CURLOPT_FOLLOWLOCATION, 1L);
  curl_easy_setopt (curl, CURLOPT_MAXREDIRS, (long)REDIRECT_LIMIT);
  if (body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
    }
  code = curl_easy_perform (curl);
  if (code != CURLE_OK)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM, "%s: %s", url,
                   curl_easy_strerror (code));
      return NULL;
    }
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, status);
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

/* Appends a part of the body to CTX, a GString.  */
static size_t
on_body_data (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}
