/* peer.h -- one other agent of the service, as a holder sees it.

   Records go to a peer as a stream of numbered pushes within a view, one at
   a time, each sent again until it is acknowledged.  The peer is settled
   with once its own stream has been received up to its settled mark.  */

#ifndef HS_FLOW_PEER_H
#define HS_FLOW_PEER_H

#include "hibiscusspan.h"

struct hs_peer
{
  struct hs_list link;
  struct hs_member member; /* As in the view.  */
  uint64_t last_heard_at;  /* ms of its last message; 0: never.  */
  uint64_t queried_at;     /* ms of the first question it has not answered;
                            0: none.  */

  /* What it sends.  */
  uint64_t received_seq;
  bool transfer_complete;
  struct hs_view *transfer_view; /* The latest it was settled in, a child;
                                   NULL: none.  */

  /* What is sent to it.  */
  struct hs_list queue;
  bool needs_first_transfer; /* Its incarnation has not been told all yet.  */
  bool transfer_interrupted; /* It had not been told all when the view ended.
                              */
  bool transfer_acked;       /* And acknowledged.  */
  uint64_t seq;
  uint64_t sent_at;            /* ms  */
  uint64_t resend_ms;          /* Until the next resend.  */
  struct hs_flow_message push; /* Outstanding if its type is set.  */
};

struct hs_peer *hs_peer_create (void *parent, const struct hs_member *member);
void hs_peer_begin_view (struct hs_peer *peer,
                         const struct hs_member *member); /* Streams start
                                                             anew.  */
void hs_peer_queue_record (struct hs_peer *peer,
                           const struct hs_ownership_record *record);
bool hs_peer_is_idle (const struct hs_peer *peer); /* Nothing to push.  */

/* Fills PUSH with the next records, up to HS_MESSAGE_RECORDS_MAX.  */
void hs_peer_next_push (struct hs_peer *peer, uint64_t now);

/* Whether SEQ acknowledges the outstanding push, which is then done.  */
bool hs_peer_acknowledge (struct hs_peer *peer, uint64_t seq);

/* A question was not answered for HS_QUERY_TIMEOUT_MS.  */
#define HS_QUERY_TIMEOUT_MS 500
bool hs_peer_is_unresponsive (const struct hs_peer *peer, uint64_t now);
void hs_peer_mark_queried (struct hs_peer *peer, uint64_t now);
void hs_peer_mark_heard (struct hs_peer *peer, uint64_t now);

#endif /* HS_FLOW_PEER_H */
