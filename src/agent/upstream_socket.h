/* upstream_socket.h -- the sockets through which an agent exchanges packets
   with its upstream.

   Each flow has a socket of its own.  If the upstream is on loopback, the
   socket is bound to a loopback address and port derived from the flow's key,
   so that the upstream still sees the same source address for the flow after a
   restart of the agent.  */

#ifndef HS_AGENT_UPSTREAM_SOCKET_H
#define HS_AGENT_UPSTREAM_SOCKET_H

#include "hibiscusspan.h"

struct hs_upstream_socket
{
  struct hs_table_node node; /* Node in the table by tag.  */
  uint64_t tag; /* Tag of its packets at the receiver, never reused.  */
  int fd;
  struct hs_flow *flow;
};

struct hs_upstream_sockets;

/* Returns a talloc child of PARENT.  */
struct hs_upstream_sockets *
hs_upstream_sockets_create (void *parent, const struct hs_addr *upstream);

/* Frees SOCKETS without closing the file descriptors.  */
void hs_upstream_sockets_destroy (struct hs_upstream_sockets *sockets);

/* Opens the socket of FLOW, connects it to the upstream and stores it in
   FLOW->user_data.  Returns NULL and sets HS_ERROR_SYSTEM on failure.  The
   result is owned by SOCKETS.  */
struct hs_upstream_socket *
hs_upstream_sockets_open (struct hs_upstream_sockets *sockets,
                          struct hs_flow *flow, GError **error);

/* Frees UPSTREAM_SOCKET without closing its file descriptor.  */
void hs_upstream_sockets_remove (struct hs_upstream_sockets *sockets,
                                 struct hs_upstream_socket *upstream_socket);

/* Returns NULL if the socket with TAG has been removed.  */
struct hs_upstream_socket *
hs_upstream_sockets_find (struct hs_upstream_sockets *sockets, uint64_t tag);

/* Returns the source address of attempt N, from 0, for a flow: an address from
   127.64.0.0 to 127.191.255.255 and a port from 1024 up.  */
struct hs_addr hs_upstream_socket_address (uint64_t flow_hash, unsigned int n);

#endif /* HS_AGENT_UPSTREAM_SOCKET_H */
