/* link.h -- the control link: a thread that exchanges messages between a node
   and a control host over ZeroMQ.

   A node connects its link to one control host.  A control host binds its
   link and has many peers.  Messages cross rings in envelopes, which have no
   talloc parent.  A message may be lost, so senders repeat theirs.  */

#ifndef HS_DAEMON_LINK_H
#define HS_DAEMON_LINK_H

#include "base/metrics.h"
#include "base/ring.h"
#include "wire/message.h"

#define HS_PEER_ID_SIZE 32 /* Bytes of a ZeroMQ routing id, at most.  */

struct hs_envelope
{
  size_t peer_id_len; /* 0 on a connected link, which has one peer.  */
  uint8_t peer_id[HS_PEER_ID_SIZE];
  struct hs_message *message; /* A talloc child of the envelope.  */
};

struct hs_link;

/* Create a stopped link that connects to CONTROL, or one that is bound to
   ADDRESS.  The link pushes received envelopes to IN, which must outlive it;
   whoever pops an envelope frees it.  Both functions return NULL and set
   HS_ERROR_SYSTEM if the endpoint cannot be opened.  */
struct hs_link *hs_link_connect (const struct hs_addr *control,
                                 struct hs_ring *in,
                                 struct hs_metrics *metrics, GError **error);
struct hs_link *hs_link_bind (const struct hs_addr *address,
                              struct hs_ring *in, struct hs_metrics *metrics,
                              GError **error);

/* The link must be stopped, or never have been started.  */
void hs_link_destroy (struct hs_link *link);
void hs_link_start (struct hs_link *link);

/* Stops the thread and sends what is still queued.  */
void hs_link_stop (struct hs_link *link);

/* Returns an envelope with an empty message.  Free it with talloc_free, or
   pass it to hs_link_send.  */
struct hs_envelope *hs_envelope_create (void);

/* Queues ENVELOPE for sending and takes ownership of it.  A full queue drops
   and counts it.  Any thread may call it.  */
void hs_link_send (struct hs_link *link, struct hs_envelope *envelope);

#endif /* HS_DAEMON_LINK_H */
