/* upstream_socket.c -- the sockets through which an agent exchanges packets
   with its upstream.  */

#include "agent/upstream_socket.h"
#include "base/addr.h"

#include <errno.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

/* Types.  */

#define ADDRESS_TRIES_MAX 16 /* Source addresses tried for a flow.  */
#define PORT_MIN 1024
#define PORT_COUNT 64512            /* Ports from PORT_MIN to 65535.  */
#define LOOPBACK_NETWORK 0x7f000000 /* 127.0.0.0/8  */
#define HOST_NUMBER_COUNT 0x800000  /* Up to 127.191.255.255.  */

/* 127.64.0.0, to avoid the loopback addresses that operators assign by hand.
 */
#define HOST_NUMBER_MIN 0x400000

struct hs_upstream_sockets
{
  struct hs_addr upstream;
  struct hs_table *by_tag;
  uint64_t last_tag;
};

/* Private functions.  */

static bool match_tag (const struct hs_table_node *node, const void *key);
static int open_socket (const struct hs_upstream_sockets *sockets,
                        uint64_t flow_hash);
static bool bind_source_address (int fd,
                                 const struct hs_upstream_sockets *sockets,
                                 uint64_t flow_hash);

/* Public definitions.  */

struct hs_upstream_sockets *
hs_upstream_sockets_create (void *parent, const struct hs_addr *upstream)
{
  struct hs_upstream_sockets *sockets
      = talloc_zero (parent, struct hs_upstream_sockets);

  sockets->upstream = *upstream;
  sockets->by_tag = hs_table_create (sockets);
  return sockets;
}

void
hs_upstream_sockets_destroy (struct hs_upstream_sockets *sockets)
{
  talloc_free (sockets);
}

struct hs_upstream_socket *
hs_upstream_sockets_open (struct hs_upstream_sockets *sockets,
                          struct hs_flow *flow, GError **error)
{
  int fd = open_socket (sockets, flow->hash);
  struct hs_upstream_socket *upstream_socket;

  if (fd < 0)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM,
                   "cannot open a socket to the upstream: %s",
                   strerror (errno));
      return NULL;
    }
  upstream_socket = talloc_zero (sockets, struct hs_upstream_socket);
  upstream_socket->tag = ++sockets->last_tag;
  upstream_socket->fd = fd;
  upstream_socket->flow = flow;
  flow->user_data = upstream_socket;
  hs_table_insert (sockets->by_tag, &upstream_socket->node,
                   upstream_socket->tag);
  return upstream_socket;
}

void
hs_upstream_sockets_remove (struct hs_upstream_sockets *sockets,
                            struct hs_upstream_socket *upstream_socket)
{
  hs_table_remove (sockets->by_tag, &upstream_socket->node);
  talloc_free (upstream_socket);
}

struct hs_upstream_socket *
hs_upstream_sockets_find (struct hs_upstream_sockets *sockets, uint64_t tag)
{
  struct hs_table_node *node
      = hs_table_find (sockets->by_tag, tag, match_tag, &tag);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_upstream_socket, node)
                      : NULL;
}

struct hs_addr
hs_upstream_socket_address (uint64_t flow_hash, unsigned int n)
{
  uint64_t hash = hs_rendezvous_score (flow_hash, n);
  uint32_t host
      = HOST_NUMBER_MIN + (uint32_t)((hash >> 32) % HOST_NUMBER_COUNT);
  uint16_t port = (uint16_t)(PORT_MIN + (hash & 0xffffffff) % PORT_COUNT);

  return hs_addr_from_ipv4 (LOOPBACK_NETWORK | host, port);
}

/* Private definitions.  */

static bool
match_tag (const struct hs_table_node *node, const void *key)
{
  const uint64_t *tag = key;

  return HS_LIST_ENTRY (node, struct hs_upstream_socket, node)->tag == *tag;
}

/* Returns the socket, or -1 with errno set.  */
static int
open_socket (const struct hs_upstream_sockets *sockets, uint64_t flow_hash)
{
  struct sockaddr_storage ss;
  socklen_t len = hs_addr_to_sockaddr (&sockets->upstream, &ss);
  int fd = socket (ss.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  if (bind_source_address (fd, sockets, flow_hash)
      && connect (fd, (struct sockaddr *)&ss, len) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Binds FD to the first free source address of the flow.  If the upstream is
   not on loopback, FD stays unbound and the upstream sees an address of this
   host.  Returns false, with errno set, on failure.  */
static bool
bind_source_address (int fd, const struct hs_upstream_sockets *sockets,
                     uint64_t flow_hash)
{
  if (!hs_addr_is_loopback (&sockets->upstream))
    return true;
  for (unsigned int n = 0; n < ADDRESS_TRIES_MAX; n++)
    {
      struct hs_addr address = hs_upstream_socket_address (flow_hash, n);
      struct sockaddr_storage ss;
      socklen_t len = hs_addr_to_sockaddr (&address, &ss);

      if (bind (fd, (struct sockaddr *)&ss, len) == 0)
        return true;
      if (errno != EADDRINUSE)
        return false;
    }
  return false;
}
