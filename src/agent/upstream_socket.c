/* upstream_socket.c -- the sockets by which an agent speaks to its upstream.
 */

#include "agent/upstream_socket.h"
#include "base/addr.h"

#include <errno.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

/* Types.  */

#define TRIES 16 /* Addresses tried for a flow.  */
#define PORT_MIN 1024
#define PORTS 64512        /* From PORT_MIN to the last.  */
#define NETWORK 0x7f000000 /* 127.0.0.0/8  */
#define HOST_MIN 0x400000  /* 127.64.0.0: clear of addresses set by hand.  */
#define HOSTS 0x800000

struct hs_upstream_sockets
{
  struct hs_addr upstream;
  struct hs_table *by_tag;
  uint64_t last_tag;
};

/* Private functions.  */

static bool match_tag (const struct hs_table_node *node, const void *key);
static int open_socket (const struct hs_upstream_sockets *locals,
                        uint64_t flow_hash);
static bool bind_source_address (int fd,
                                 const struct hs_upstream_sockets *locals,
                                 uint64_t flow_hash);

/* Public definitions.  */

struct hs_upstream_sockets *
hs_upstream_sockets_create (void *parent, const struct hs_addr *upstream)
{
  struct hs_upstream_sockets *locals
      = talloc_zero (parent, struct hs_upstream_sockets);

  locals->upstream = *upstream;
  locals->by_tag = hs_table_create (locals);
  return locals;
}

void
hs_upstream_sockets_destroy (struct hs_upstream_sockets *locals)
{
  talloc_free (locals);
}

struct hs_upstream_socket *
hs_upstream_sockets_open (struct hs_upstream_sockets *locals,
                          struct hs_flow *flow, GError **error)
{
  int fd = open_socket (locals, flow->hash);
  struct hs_upstream_socket *local;

  if (fd < 0)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM,
                   "cannot open a socket to the upstream: %s",
                   strerror (errno));
      return NULL;
    }
  local = talloc_zero (locals, struct hs_upstream_socket);
  local->tag = ++locals->last_tag;
  local->fd = fd;
  local->flow = flow;
  flow->user_data = local;
  hs_table_insert (locals->by_tag, &local->node, local->tag);
  return local;
}

void
hs_upstream_sockets_remove (struct hs_upstream_sockets *locals,
                            struct hs_upstream_socket *local)
{
  hs_table_remove (locals->by_tag, &local->node);
  talloc_free (local);
}

struct hs_upstream_socket *
hs_upstream_sockets_find (struct hs_upstream_sockets *locals, uint64_t tag)
{
  struct hs_table_node *node
      = hs_table_find (locals->by_tag, tag, match_tag, &tag);

  return node != NULL ? HS_LIST_ENTRY (node, struct hs_upstream_socket, node)
                      : NULL;
}

struct hs_addr
hs_upstream_socket_address (uint64_t flow_hash, unsigned int n)
{
  uint64_t hash = hs_rendezvous_score (flow_hash, n);
  uint32_t host = HOST_MIN + (uint32_t)((hash >> 32) % HOSTS);
  uint16_t port = (uint16_t)(PORT_MIN + (hash & 0xffffffff) % PORTS);

  return hs_addr_from_ipv4 (NETWORK | host, port);
}

/* Private definitions.  */

static bool
match_tag (const struct hs_table_node *node, const void *key)
{
  const uint64_t *tag = key;

  return HS_LIST_ENTRY (node, struct hs_upstream_socket, node)->tag == *tag;
}

static int
open_socket (const struct hs_upstream_sockets *locals, uint64_t flow_hash)
{
  struct sockaddr_storage ss;
  socklen_t len = hs_addr_to_sockaddr (&locals->upstream, &ss);
  int fd = socket (ss.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  if (bind_source_address (fd, locals, flow_hash)
      && connect (fd, (struct sockaddr *)&ss, len) == 0)
    return fd;
  close (fd);
  return -1;
}

/* An upstream that is not on loopback sees this host's own address.  */
static bool
bind_source_address (int fd, const struct hs_upstream_sockets *locals,
                     uint64_t flow_hash)
{
  if (!hs_addr_is_loopback (&locals->upstream))
    return true;
  for (unsigned int n = 0; n < TRIES; n++)
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
