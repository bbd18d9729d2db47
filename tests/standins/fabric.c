/* fabric.c -- stand-in for the platform's network fabric.

   Listens on the addresses of the services and forwards each packet to a
   random entry, on the port of the service.  The packets of each caller of a
   service reach the entries from a source address of their own.  An entry
   whose /healthz does not answer 200 gets no packets.  */

#include "base/addr.h"
#include "base/settings.h"
#include "daemon/process.h"
#include "daemon/receiver.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

/* Types.  */

#define ENTRIES_MAX 16
#define DATAGRAM_MAX 2048
#define PROBE_PERIOD_US 250000
#define PROBE_TIMEOUT_US 100000
#define PICK_ATTEMPTS 16 /* Random picks of an entry for a packet.  */

struct fabric_settings
{
  const char *services;
  const char *entries;
  struct hs_addr local;
  uint64_t seed;
  uint64_t loss_percent;
  uint64_t health_port;
};

struct fabric
{
  struct fabric_settings settings;
  struct tevent_context *events;
  GRand *rand;
  size_t entries_len;
  struct hs_addr entries[ENTRIES_MAX];
  bool unhealthy[ENTRIES_MAX];
  struct hs_table *sessions;
};

/* The socket on the address of one service.  */
struct listener
{
  struct fabric *fabric;
  struct hs_addr address;
  int fd;
};

/* One caller of a service, and the socket that exchanges its packets with the
   entries.  */
struct session
{
  struct hs_table_node node;
  struct listener *listener;
  struct hs_addr caller;
  int fd;
};

/* Private functions.  */

static void open_listeners (struct fabric *fabric);
static void parse_entries (struct fabric *fabric);
static void on_caller_readable (struct tevent_context *events,
                                struct tevent_fd *fde, uint16_t flags,
                                void *ctx);
static void on_entry_readable (struct tevent_context *events,
                               struct tevent_fd *fde, uint16_t flags,
                               void *ctx);
static struct session *get_session (struct listener *listener,
                                    const struct hs_addr *caller);
static bool is_session_of (const struct hs_table_node *node, const void *key);
static void forward_to_random_entry (struct session *session,
                                     const uint8_t *data, size_t len);
static ssize_t receive_datagram (int fd, uint8_t *data, struct hs_addr *peer);
static void send_datagram (int fd, const uint8_t *data, size_t len,
                           const struct hs_addr *peer);
static void on_probe_timer (struct tevent_context *events,
                            struct tevent_timer *timer, struct timeval now,
                            void *ctx);
static bool is_healthy (const struct fabric *fabric, struct hs_addr entry);
static void exit_with_error (const char *message);

static const struct hs_setting settings_table[] = {
  { "services", HS_SETTING_STRING, NULL, 0, 0,
    offsetof (struct fabric_settings, services),
    "IP:PORT,... of the services" },
  { "entries", HS_SETTING_STRING, NULL, 0, 0,
    offsetof (struct fabric_settings, entries), "IP:0,... of the entries" },
  { "local", HS_SETTING_ADDR, "127.0.3.1:0", 0, 0,
    offsetof (struct fabric_settings, local),
    "IP:0 from which packets are sent to the entries" },
  { "seed", HS_SETTING_UINT, "1", 0, UINT32_MAX,
    offsetof (struct fabric_settings, seed), "seed of random choices" },
  { "loss-percent", HS_SETTING_UINT, "0", 0, 100,
    offsetof (struct fabric_settings, loss_percent),
    "percentage of the callers' packets to drop" },
  { "health-port", HS_SETTING_UINT, "7101", 1, 65535,
    offsetof (struct fabric_settings, health_port),
    "port of the entries' /healthz" },
};

static const struct hs_program program
    = { "fabric -- stand-in that sends each packet to a random entry", NULL,
        settings_table, G_N_ELEMENTS (settings_table) };

/* Public definitions.  */

int
main (int argc, char **argv)
{
  struct fabric *fabric = talloc_zero (NULL, struct fabric);

  hs_settings_load_or_exit (&program, argc, argv, &fabric->settings, NULL);
  fabric->events = tevent_context_init (fabric);
  fabric->rand = g_rand_new_with_seed ((guint32)fabric->settings.seed);
  fabric->sessions = hs_table_create (fabric);
  parse_entries (fabric);
  open_listeners (fabric);
  on_probe_timer (fabric->events, NULL, tevent_timeval_zero (), fabric);
  return tevent_loop_wait (fabric->events);
}

/* Private definitions.  */

static void
open_listeners (struct fabric *fabric)
{
  g_auto (GStrv) texts = g_strsplit (fabric->settings.services, ",", -1);
  g_autoptr (GError) error = NULL;

  for (char **text = texts; *text != NULL; text++)
    {
      struct listener *listener = talloc_zero (fabric, struct listener);

      listener->fabric = fabric;
      if (!hs_addr_parse (*text, &listener->address))
        exit_with_error ("--services: expected IP:PORT,...");
      listener->fd = hs_socket_bind (&listener->address, &error);
      if (listener->fd < 0)
        exit_with_error (error->message);
      tevent_add_fd (fabric->events, listener, listener->fd, TEVENT_FD_READ,
                     on_caller_readable, listener);
    }
}

static void
parse_entries (struct fabric *fabric)
{
  g_auto (GStrv) texts = g_strsplit (fabric->settings.entries, ",", -1);

  for (char **text = texts; *text != NULL; text++)
    if (fabric->entries_len == ENTRIES_MAX
        || !hs_addr_parse (*text, &fabric->entries[fabric->entries_len++]))
      exit_with_error (
          "--entries: expected 1 to 16 addresses IP:0, separated by commas");
}

static void
on_caller_readable (struct tevent_context *events, struct tevent_fd *fde,
                    uint16_t flags, void *ctx)
{
  struct listener *listener = ctx;
  uint8_t data[DATAGRAM_MAX];
  struct hs_addr caller;
  ssize_t len;

  (void)events;
  (void)fde;
  (void)flags;
  while ((len = receive_datagram (listener->fd, data, &caller)) >= 0)
    forward_to_random_entry (get_session (listener, &caller), data,
                             (size_t)len);
}

static void
on_entry_readable (struct tevent_context *events, struct tevent_fd *fde,
                   uint16_t flags, void *ctx)
{
  struct session *session = ctx;
  uint8_t data[DATAGRAM_MAX];
  struct hs_addr entry;
  ssize_t len;

  (void)events;
  (void)fde;
  (void)flags;
  while ((len = receive_datagram (session->fd, data, &entry)) >= 0)
    send_datagram (session->listener->fd, data, (size_t)len, &session->caller);
}

/* Returns the session of CALLER at LISTENER, which is created if there is
   none.  */
static struct session *
get_session (struct listener *listener, const struct hs_addr *caller)
{
  struct fabric *fabric = listener->fabric;
  /* The listener's descriptor serves as the service id.  */
  struct hs_flow_key key
      = { .service_id = (uint32_t)listener->fd, .caller = *caller };
  uint64_t hash = hs_flow_key_hash (&key);
  struct hs_table_node *node
      = hs_table_find (fabric->sessions, hash, is_session_of, &key);
  struct session *session;
  g_autoptr (GError) error = NULL;

  if (node != NULL)
    return HS_LIST_ENTRY (node, struct session, node);
  session = talloc_zero (fabric, struct session);
  session->listener = listener;
  session->caller = *caller;
  session->fd = hs_socket_bind (&fabric->settings.local, &error);
  if (session->fd < 0)
    exit_with_error (error->message);
  hs_table_insert (fabric->sessions, &session->node, hash);
  tevent_add_fd (fabric->events, session, session->fd, TEVENT_FD_READ,
                 on_entry_readable, session);
  return session;
}

static bool
is_session_of (const struct hs_table_node *node, const void *key)
{
  const struct session *session = HS_LIST_ENTRY (node, struct session, node);
  const struct hs_flow_key *expected = key;

  return (uint32_t)session->listener->fd == expected->service_id
         && hs_addr_equal (&session->caller, &expected->caller);
}

/* Sends a packet of a caller to a random healthy entry.  Drops --loss-percent
   of the packets, and those for which PICK_ATTEMPTS picks find no healthy
   entry.  */
static void
forward_to_random_entry (struct session *session, const uint8_t *data,
                         size_t len)
{
  struct fabric *fabric = session->listener->fabric;

  if ((uint64_t)g_rand_int_range (fabric->rand, 0, 100)
      < fabric->settings.loss_percent)
    return;
  for (unsigned int i = 0; i < PICK_ATTEMPTS; i++)
    {
      size_t index = (size_t)g_rand_int_range (fabric->rand, 0,
                                               (gint32)fabric->entries_len);
      struct hs_addr entry = fabric->entries[index];

      if (fabric->unhealthy[index])
        continue;
      entry.port = session->listener->address.port;
      send_datagram (session->fd, data, len, &entry);
      return;
    }
}

static ssize_t
receive_datagram (int fd, uint8_t *data, struct hs_addr *peer)
{
  struct sockaddr_storage ss;
  socklen_t ss_len = sizeof ss;
  ssize_t len = recvfrom (fd, data, DATAGRAM_MAX, MSG_DONTWAIT,
                          (struct sockaddr *)&ss, &ss_len);

  if (len >= 0)
    hs_addr_from_sockaddr (&ss, peer);
  return len;
}

static void
send_datagram (int fd, const uint8_t *data, size_t len,
               const struct hs_addr *peer)
{
  struct sockaddr_storage ss;
  socklen_t ss_len = hs_addr_to_sockaddr (peer, &ss);

  if (sendto (fd, data, len, MSG_DONTWAIT, (struct sockaddr *)&ss, ss_len) < 0)
    perror ("fabric: sendto");
}

static void
on_probe_timer (struct tevent_context *events, struct tevent_timer *timer,
                struct timeval now, void *ctx)
{
  struct fabric *fabric = ctx;

  (void)timer;
  (void)now;
  for (size_t i = 0; i < fabric->entries_len; i++)
    fabric->unhealthy[i] = !is_healthy (fabric, fabric->entries[i]);
  tevent_add_timer (events, fabric,
                    tevent_timeval_current_ofs (0, PROBE_PERIOD_US),
                    on_probe_timer, fabric);
}

/* Returns whether /healthz of ENTRY answers 200.  Only the status code is
   compared, which follows 9 characters: the HTTP version and a space.  */
static bool
is_healthy (const struct fabric *fabric, struct hs_addr entry)
{
  static const char request[] = "GET /healthz HTTP/1.0\r\n\r\n";
  static const char expected[] = "HTTP/1.0 200";
  char response[sizeof expected] = "";
  struct timeval timeout = { .tv_usec = PROBE_TIMEOUT_US };
  struct sockaddr_storage ss;
  socklen_t len;
  int fd;
  bool healthy;

  entry.port = (uint16_t)fabric->settings.health_port;
  len = hs_addr_to_sockaddr (&entry, &ss);
  fd = socket (ss.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  healthy = connect (fd, (struct sockaddr *)&ss, len) == 0
            && write (fd, request, sizeof request - 1) > 0
            && read (fd, response, sizeof response - 1) > 0
            && strcmp (response + 9, expected + 9) == 0;
  close (fd);
  return healthy;
}

static void
exit_with_error (const char *message)
{
  fprintf (stderr, "fabric: %s\n", message);
  exit (HS_EXIT_USAGE);
}
