/* udp_proxy.c -- stand-in for the link in front of one process: forwards the
   datagrams that come to one address to another, and the replies back.

   A share of the datagrams in both directions is lost.  After SIGUSR1 all
   datagrams to the process are lost, after SIGUSR2 none but that share.  */

#include "base/addr.h"
#include "base/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

/* Types.  */

#define PACKET_SIZE 65536
#define PEERS_MAX 256 /* Sockets, one for each address that sends.  */

struct proxy_settings
{
  struct hs_addr listen;
  struct hs_addr to;
  double loss_percent;
  uint64_t seed;
};

struct proxy
{
  struct proxy_settings settings;
  uint64_t random;
  size_t peers_len;
  struct hs_addr peers[PEERS_MAX];
  struct pollfd fds[1 + PEERS_MAX]; /* The first is bound to LISTEN.  */
};

#define OFFSET(field) offsetof (struct proxy_settings, field)

static const struct hs_setting settings_table[]
    = { { "listen", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (listen),
          "IP:PORT that others send to" },
        { "to", HS_SETTING_ADDR, NULL, 0, 0, OFFSET (to),
          "IP:PORT that the process is bound to" },
        { "loss-percent", HS_SETTING_DECIMAL, "0", 0, 100,
          OFFSET (loss_percent), "share of the datagrams that is lost" },
        { "seed", HS_SETTING_UINT, "1", 1, UINT32_MAX, OFFSET (seed),
          "seed of the losses" } };

static const struct hs_program program
    = { "udp_proxy -- stand-in for the link in front of one process", NULL,
        settings_table, G_N_ELEMENTS (settings_table) };

static volatile sig_atomic_t is_blocked; /* Towards the process.  */

/* Private functions.  */

static void
on_signal (int number)
{
  is_blocked = number == SIGUSR1;
}

static int
open_socket (const struct hs_addr *address)
{
  struct sockaddr_storage ss;
  socklen_t len = hs_addr_to_sockaddr (address, &ss);
  int fd = socket (ss.ss_family, SOCK_DGRAM, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&ss, len) != 0)
    {
      perror ("udp_proxy: bind");
      exit (1);
    }
  return fd;
}

static bool
is_lost (struct proxy *proxy)
{
  proxy->random ^= proxy->random << 13;
  proxy->random ^= proxy->random >> 7;
  proxy->random ^= proxy->random << 17;
  return (double)(proxy->random % 10000) < proxy->settings.loss_percent * 100;
}

static void
send_to (int fd, const struct hs_addr *to, const char *data, size_t len)
{
  struct sockaddr_storage ss;
  socklen_t ss_len = hs_addr_to_sockaddr (to, &ss);

  /* A datagram that cannot be sent is lost, as on a real link.  */
  if (sendto (fd, data, len, 0, (struct sockaddr *)&ss, ss_len) < 0)
    return;
}

/* Returns the socket from which datagrams of PEER are sent on, or -1 if there
   are too many peers.  */
static int
socket_of (struct proxy *proxy, const struct hs_addr *peer)
{
  struct hs_addr any = proxy->settings.to;

  for (size_t i = 0; i < proxy->peers_len; i++)
    if (hs_addr_equal (&proxy->peers[i], peer))
      return proxy->fds[1 + i].fd;
  if (proxy->peers_len == PEERS_MAX)
    return -1;
  any.port = 0;
  proxy->peers[proxy->peers_len] = *peer;
  proxy->peers_len++;
  proxy->fds[proxy->peers_len].fd = open_socket (&any);
  proxy->fds[proxy->peers_len].events = POLLIN;
  return proxy->fds[proxy->peers_len].fd;
}

/* Forwards a datagram that has come to the socket INDEX.  */
static void
forward (struct proxy *proxy, size_t index)
{
  char data[PACKET_SIZE];
  struct sockaddr_storage ss;
  socklen_t ss_len = sizeof ss;
  struct hs_addr from;
  ssize_t len = recvfrom (proxy->fds[index].fd, data, sizeof data, 0,
                          (struct sockaddr *)&ss, &ss_len);
  int fd;

  if (len < 0 || !hs_addr_from_sockaddr (&ss, &from) || is_lost (proxy))
    return;
  if (index > 0)
    {
      send_to (proxy->fds[0].fd, &proxy->peers[index - 1], data, (size_t)len);
      return;
    }
  fd = socket_of (proxy, &from);
  if (fd >= 0 && !is_blocked)
    send_to (fd, &proxy->settings.to, data, (size_t)len);
}

int
main (int argc, char **argv)
{
  struct proxy *proxy = talloc_zero (NULL, struct proxy);
  struct sigaction action = { .sa_handler = on_signal };
  g_autoptr (GError) error = NULL;

  if (!hs_settings_load (&program, argc, argv, &proxy->settings, NULL, &error))
    {
      fprintf (stderr, "udp_proxy: %s\n", error->message);
      return HS_EXIT_USAGE;
    }
  sigaction (SIGUSR1, &action, NULL);
  sigaction (SIGUSR2, &action, NULL);
  proxy->random = proxy->settings.seed * 2654435761 + 1;
  proxy->fds[0].fd = open_socket (&proxy->settings.listen);
  proxy->fds[0].events = POLLIN;
  for (;;)
    {
      size_t len = 1 + proxy->peers_len;

      if (poll (proxy->fds, len, -1) < 0)
        {
          if (errno == EINTR)
            continue;
          return 1;
        }
      for (size_t i = 0; i < len; i++)
        if ((proxy->fds[i].revents & POLLIN) != 0)
          forward (proxy, i);
    }
}
