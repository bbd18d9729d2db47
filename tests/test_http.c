/* test_http.c -- the stop of an HTTP server whose requests are answered by
   another thread.  */

#include "base/addr.h"
#include "base/ring.h"
#include "daemon/http.h"

#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* Types.  */

#define ROUNDS 300
#define CLIENTS 4
#define QUEUE_LEN 64
#define PORT 18470

/* A server whose requests wait in a ring, as in the daemons.  */
struct server
{
  struct hs_http *http;
  struct hs_ring *requests;
};

/* Private functions.  */

/* Returns an address of this process only.  */
static struct hs_addr
server_address (void)
{
  return hs_addr_from_ipv4 (
      INADDR_LOOPBACK + (((uint32_t)getpid () & 0xffff) << 8), PORT);
}

static void
on_request (void *ctx, struct hs_http_request *request)
{
  struct server *server = ctx;

  if (!hs_ring_push (server->requests, request))
    hs_http_respond (request, 503, "text/plain", "full");
}

static void
answer_queued (struct server *server)
{
  void *item;

  while ((item = hs_ring_pop (server->requests)) != NULL)
    hs_http_respond (item, 503, "text/plain", "stopping");
}

/* Sends one request after the other until *CTX is set.  */
static void *
run_client (void *ctx)
{
  static const char text[] = "POST / HTTP/1.1\r\nHost: a\r\n"
                             "Content-Length: 2\r\n\r\n{}";
  atomic_bool *stopping = ctx;
  struct hs_addr address = server_address ();
  struct timeval timeout = { .tv_usec = 2000 };
  struct sockaddr_storage ss;
  socklen_t len = hs_addr_to_sockaddr (&address, &ss);

  while (!atomic_load (stopping))
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      char response[256];

      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
      if (connect (fd, (struct sockaddr *)&ss, len) == 0
          && send (fd, text, strlen (text), MSG_NOSIGNAL) > 0)
        recv (fd, response, sizeof response, 0);
      close (fd);
    }
  return NULL;
}

/* Guards against a server that ends its process when it is destroyed, since a
   request that arrived after the queue was emptied has no response.  */
static void
test_stop_under_requests (void)
{
  struct hs_addr address = server_address ();
  pthread_t clients[CLIENTS];
  atomic_bool stopping = false;

  for (size_t i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i], NULL, run_client, &stopping);
  for (unsigned int i = 0; i < ROUNDS; i++)
    {
      struct server server = { .requests = hs_ring_create (NULL, QUEUE_LEN) };

      server.http = hs_http_create (&address, on_request, &server, NULL);
      g_assert_nonnull (server.http);
      for (unsigned int k = 0; k < i % 5; k++)
        {
          answer_queued (&server);
          g_usleep (500);
        }
      hs_http_close (server.http);
      answer_queued (&server);
      g_usleep (200);
      hs_http_destroy (server.http);
      talloc_free (server.requests);
    }
  atomic_store (&stopping, true);
  for (size_t i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/stop-under-requests", test_stop_under_requests);
  return g_test_run ();
}
