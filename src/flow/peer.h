/* peer.h -- the state transfer between this agent and one other member.

   Ownership records go to a peer as a stream of numbered pushes within a
   view.  One push is outstanding at a time and is resent until the peer
   acknowledges it.  The transfer from the peer is complete once its own
   stream has been received up to a push that is marked as the last.  */

#ifndef HS_FLOW_PEER_H
#define HS_FLOW_PEER_H

#include "hibiscusspan.h"

struct hs_peer
{
  struct hs_list link;
  struct hs_member member; /* As in the view.  */
  uint64_t last_heard_at;  /* ms; 0: never.  */
  uint64_t queried_at;     /* ms of the first query since the peer was last
                              heard; 0: none.  */

  /* Records from the peer.  */
  uint64_t received_seq;  /* Number of the last push received in this view.  */
  bool transfer_complete; /* All of its records for this view are here.  */
  struct hs_view *transfer_view; /* Copy of the latest view in which it was
                                    complete, freed with the peer; NULL:
                                    none.  */

  /* Records to the peer.  */
  struct hs_list queue;
  bool needs_first_transfer; /* Its incarnation has never acknowledged a
                                complete transfer.  */
  bool transfer_interrupted; /* The previous view ended before it acknowledged
                                the transfer.  */
  bool transfer_acked;       /* It has acknowledged the transfer for this
                                view.  */
  uint64_t seq;              /* Number of the last push.  */
  uint64_t sent_at;          /* ms of the last send or resend.  */
  uint64_t resend_ms;        /* Time until the next resend.  */
  struct hs_flow_message push; /* Outstanding if its type is set.  */
};

/* The peer belongs to PARENT.  */
struct hs_peer *hs_peer_create (void *parent, const struct hs_member *member);

/* Restarts both streams for a new view, with MEMBER from that view.  */
void hs_peer_begin_view (struct hs_peer *peer, const struct hs_member *member);
void hs_peer_queue_record (struct hs_peer *peer,
                           const struct hs_ownership_record *record);

/* Whether there is nothing to push: the transfer is acknowledged and the queue
   is empty.  A transfer without records still needs one push.  */
bool hs_peer_is_idle (const struct hs_peer *peer);

/* Moves up to HS_FLOW_MESSAGE_RECORDS_MAX records from the queue to a new
   outstanding push.  */
void hs_peer_next_push (struct hs_peer *peer, uint64_t now);

/* Clears the outstanding push if its number is SEQ.  Returns false if there is
   no such push.  */
bool hs_peer_acknowledge (struct hs_peer *peer, uint64_t seq);

/* Whether PEER has left a query unanswered for HS_QUERY_TIMEOUT_MS.  */
#define HS_QUERY_TIMEOUT_MS 500
bool hs_peer_is_unresponsive (const struct hs_peer *peer, uint64_t now);
void hs_peer_mark_queried (struct hs_peer *peer, uint64_t now);
void hs_peer_mark_heard (struct hs_peer *peer, uint64_t now);

#endif /* HS_FLOW_PEER_H */
