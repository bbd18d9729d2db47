/* fabric.c -- a stand-in for the platform's fabric.

   Listens on the services' addresses and hands every single packet to an
   entry picked at random, on the service's port.  Each caller of a service
   is shown to the entries under an address of its own.  An entry whose
   /healthz does not answer 200 is left out.  */

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
#define TRIES 16

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
  bool down[ENTRIES_MAX];
  struct hs_table *sessions;
};

struct listener
{
  struct fabric *fabric;
  struct hs_addr address;
  int fd;
};

struct session
{
  struct hs_table_node node;
  struct listener *listener;
  struct hs_addr caller;
  int fd;
};

/* Private functions.  */

static void open_listeners (struct fabric *fabric);
static void read_entries (struct fabric *fabric);
static void on_caller (struct tevent_context *events, struct tevent_fd *fde,
                       uint16_t flags, void *ctx);
static void on_entry (struct tevent_context *events, struct tevent_fd *fde,
                      uint16_t flags, void *ctx);
static struct session *get_session (struct listener *listener,
                                    const struct hs_addr *caller);
static bool match_session (const struct hs_table_node *node, const void *key);
static void spray (struct session *session, const uint8_t *data, size_t len);
static ssize_t receive (int fd, uint8_t *data, struct hs_addr *peer);
static void send_to (int fd, const uint8_t *data, size_t len,
                     const struct hs_addr *peer);
static void on_probe (struct tevent_context *events,
                      struct tevent_timer *timer, struct timeval now,
                      void *ctx);
static bool is_healthy (const struct fabric *fabric, struct hs_addr entry);
static void die (const char *what);

static const struct hs_setting settings_table[] = {
  { "services", HS_SETTING_STRING, NULL, 0, 0,
    offsetof (struct fabric_settings, services),
    "IP:PORT,... of the services" },
  { "entries", HS_SETTING_STRING, NULL, 0, 0,
    offsetof (struct fabric_settings, entries), "IP:0,... of the entries" },
  { "local", HS_SETTING_ADDR, "127.0.3.1:0", 0, 0,
    offsetof (struct fabric_settings, local), "IP:0 shown to entries" },
  { "seed", HS_SETTING_UINT, "1", 0, UINT32_MAX,
    offsetof (struct fabric_settings, seed), "seed" },
  { "loss-percent", HS_SETTING_UINT, "0", 0, 100,
    offsetof (struct fabric_settings, loss_percent), "packets dropped" },
  { "health-port", HS_SETTING_UINT, "7101", 1, 65535,
    offsetof (struct fabric_settings, health_port),
    "port of the entries' /healthz" },
};

static const struct hs_program program
    = { "fabric -- stand-in that sprays packets over entries", NULL,
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
  read_entries (fabric);
  open_listeners (fabric);
  on_probe (fabric->events, NULL, tevent_timeval_zero (), fabric);
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
        die ("--services takes IP:PORT,...");
      listener->fd = hs_socket_bind (&listener->address, &error);
      if (listener->fd < 0)
        die (error->message);
      tevent_add_fd (fabric->events, listener, listener->fd, TEVENT_FD_READ,
                     on_caller, listener);
    }
}

static void
read_entries (struct fabric *fabric)
{
  g_auto (GStrv) texts = g_strsplit (fabric->settings.entries, ",", -1);

  for (char **text = texts; *text != NULL; text++)
    if (fabric->entries_len == ENTRIES_MAX
        || !hs_addr_parse (*text, &fabric->entries[fabric->entries_len++]))
      die ("--entries takes up to 16 IP:0,...");
}

static void
on_caller (struct tevent_context *events, struct tevent_fd *fde,
           uint16_t flags, void *ctx)
{
  struct listener *listener = ctx;
  uint8_t data[DATAGRAM_MAX];
  struct hs_addr caller;
  ssize_t len;

  (void)events;
  (void)fde;
  (void)flags;
  while ((len = receive (listener->fd, data, &caller)) >= 0)
    spray (get_session (listener, &caller), data, (size_t)len);
}

static void
on_entry (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags,
          void *ctx)
{
  struct session *session = ctx;
  uint8_t data[DATAGRAM_MAX];
  struct hs_addr entry;
  ssize_t len;

  (void)events;
  (void)fde;
  (void)flags;
  while ((len = receive (session->fd, data, &entry)) >= 0)
    send_to (session->listener->fd, data, (size_t)len, &session->caller);
}

static struct session *
get_session (struct listener *listener, const struct hs_addr *caller)
{
  struct fabric *fabric = listener->fabric;
  struct hs_flow_key key
      = { .service_id = (uint32_t)listener->fd, .caller = *caller };
  uint64_t hash = hs_flow_key_hash (&key);
  struct hs_table_node *node
      = hs_table_find (fabric->sessions, hash, match_session, &key);
  struct session *session;
  g_autoptr (GError) error = NULL;

  if (node != NULL)
    return HS_LIST_ENTRY (node, struct session, node);
  session = talloc_zero (fabric, struct session);
  session->listener = listener;
  session->caller = *caller;
  session->fd = hs_socket_bind (&fabric->settings.local, &error);
  if (session->fd < 0)
    die (error->message);
  hs_table_insert (fabric->sessions, &session->node, hash);
  tevent_add_fd (fabric->events, session, session->fd, TEVENT_FD_READ,
                 on_entry, session);
  return session;
}

static bool
match_session (const struct hs_table_node *node, const void *key)
{
  const struct session *session = HS_LIST_ENTRY (node, struct session, node);
  const struct hs_flow_key *wanted = key;

  return (uint32_t)session->listener->fd == wanted->service_id
         && hs_addr_equal (&session->caller, &wanted->caller);
}

static void
spray (struct session *session, const uint8_t *data, size_t len)
{
  struct fabric *fabric = session->listener->fabric;

  if ((uint64_t)g_rand_int_range (fabric->rand, 0, 100)
      < fabric->settings.loss_percent)
    return;
  for (unsigned int i = 0; i < TRIES; i++)
    {
      size_t pick = (size_t)g_rand_int_range (fabric->rand, 0,
                                              (gint32)fabric->entries_len);
      struct hs_addr entry = fabric->entries[pick];

      if (fabric->down[pick])
        continue;
      entry.port = session->listener->address.port;
      send_to (session->fd, data, len, &entry);
      return;
    }
}

static ssize_t
receive (int fd, uint8_t *data, struct hs_addr *peer)
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
send_to (int fd, const uint8_t *data, size_t len, const struct hs_addr *peer)
{
  struct sockaddr_storage ss;
  socklen_t ss_len = hs_addr_to_sockaddr (peer, &ss);

  if (sendto (fd, data, len, MSG_DONTWAIT, (struct sockaddr *)&ss, ss_len) < 0)
    perror ("fabric: sendto");
}

static void
on_probe (struct tevent_context *events, struct tevent_timer *timer,
          struct timeval now, void *ctx)
{
  struct fabric *fabric = ctx;

  (void)timer;
  (void)now;
  for (size_t i = 0; i < fabric->entries_len; i++)
    fabric->down[i] = !is_healthy (fabric, fabric->entries[i]);
  tevent_add_timer (events, fabric,
                    tevent_timeval_current_ofs (0, PROBE_PERIOD_US), on_probe,
                    fabric);
}

static bool
is_healthy (const struct fabric *fabric, struct hs_addr entry)
{
  static const char request[] = "GET /healthz HTTP/1.0\r\n\r\n";
  static const char wanted[] = "HTTP/1.0 200";
  char answer[sizeof wanted] = "";
  struct timeval patience = { .tv_usec = PROBE_TIMEOUT_US };
  struct sockaddr_storage ss;
  socklen_t len;
  int fd;
  bool healthy;

  entry.port = (uint16_t)fabric->settings.health_port;
  len = hs_addr_to_sockaddr (&entry, &ss);
  fd = socket (ss.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
  healthy = connect (fd, (struct sockaddr *)&ss, len) == 0
            && write (fd, request, sizeof request - 1) > 0
            && read (fd, answer, sizeof answer - 1) > 0
            && strcmp (answer + 9, wanted + 9) == 0;
  close (fd);
  return healthy;
}

static void
die (const char *what)
{
  fprintf (stderr, "fabric: %s\n", what);
  exit (HS_EXIT_USAGE);
}
