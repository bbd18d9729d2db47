/* upstream_socket.h -- the sockets by which an agent speaks to its upstream.

   Each flow has one, bound to a loopback address and port worked out from
   the flow's key, so that the upstream sees the same peer for a flow also
   after the agent was restarted.  */

#ifndef HS_AGENT_UPSTREAM_SOCKET_H
#define HS_AGENT_UPSTREAM_SOCKET_H

#include "hibiscusspan.h"

struct hs_upstream_socket
{
  struct hs_table_node node; /* By tag.  */
  uint64_t tag;
  int fd;
  struct hs_flow *flow;
};

struct hs_upstream_sockets;

struct hs_upstream_sockets *
hs_upstream_sockets_create (void *parent, const struct hs_addr *upstream);
void hs_upstream_sockets_destroy (
    struct hs_upstream_sockets *locals); /* Sockets stay open.  */
struct hs_upstream_socket *
hs_upstream_sockets_open (struct hs_upstream_sockets *locals,
                          struct hs_flow *flow, GError **error);
void hs_upstream_sockets_remove (struct hs_upstream_sockets *locals,
                                 struct hs_upstream_socket *local);
struct hs_upstream_socket *
hs_upstream_sockets_find (struct hs_upstream_sockets *locals,
                          uint64_t tag); /* NULL: closed.  */

/* The Nth address to try for a flow.  */
struct hs_addr hs_upstream_socket_address (uint64_t flow_hash, unsigned int n);

#endif /* HS_AGENT_UPSTREAM_SOCKET_H */
