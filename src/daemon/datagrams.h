/* datagrams.h -- datagrams of any size between control hosts and nodes.

   A thread that receives and one that sends.  Datagrams cross rings and have
   no talloc parent.  */

#ifndef HS_DAEMON_DATAGRAMS_H
#define HS_DAEMON_DATAGRAMS_H

#include "base/counter.h"
#include "base/ring.h"
#include "hibiscusspan.h"

struct hs_datagram
{
  struct hs_addr peer; /* Sender, or receiver.  */
  size_t len;
  uint8_t data[];
};

struct hs_datagrams;

/* What is received goes to IN.  NULL and HS_ERROR_SYSTEM if ADDRESS cannot
   be had.  */
struct hs_datagrams *hs_datagrams_create (const struct hs_addr *address,
                                          struct hs_ring *in,
                                          struct hs_counters *counters,
                                          GError **error);
void hs_datagrams_destroy (struct hs_datagrams *datagrams);
void hs_datagrams_start (struct hs_datagrams *datagrams);
void hs_datagrams_stop (struct hs_datagrams *datagrams); /* Sends what is
                                                            queued.  */
struct hs_datagram *hs_datagram_create (const struct hs_addr *peer,
                                        const uint8_t *data, size_t len);
void hs_datagrams_send (struct hs_datagrams *datagrams,
                        struct hs_datagram *datagram); /* Takes it over.  */

#endif /* HS_DAEMON_DATAGRAMS_H */
