/* link.h -- the thread of the control link, on ZeroMQ.

   A node's link is connected to a control host, a control host's link is
   bound and has many peers.  Messages cross rings as envelopes, which have
   no talloc parent.  Messages may be lost: every sender repeats.  */

#ifndef HS_DAEMON_LINK_H
#define HS_DAEMON_LINK_H

#include "base/counter.h"
#include "base/ring.h"
#include "wire/message.h"

#define HS_PEER_ID_SIZE 32 /* Bytes of a peer's routing id, at most.  */

struct hs_envelope
{
  size_t peer_id_len; /* 0: the one peer of a connected link.  */
  uint8_t peer_id[HS_PEER_ID_SIZE];
  struct hs_message *message; /* A child of the envelope.  */
};

struct hs_link;

struct hs_link *hs_link_connect (const struct hs_addr *control,
                                 struct hs_ring *in,
                                 struct hs_counters *counters, GError **error);
struct hs_link *hs_link_bind (const struct hs_addr *address,
                              struct hs_ring *in, struct hs_counters *counters,
                              GError **error);
void hs_link_destroy (struct hs_link *link); /* Once stopped.  */
void hs_link_start (struct hs_link *link);
void hs_link_stop (struct hs_link *link); /* Sends what is queued first.  */
struct hs_envelope *hs_envelope_create (void); /* With an empty message.  */
void hs_link_send (struct hs_link *link,
                   struct hs_envelope *envelope); /* Takes it over.  */

#endif /* HS_DAEMON_LINK_H */
