/* follower.h -- how an entry or an agent follows the control group.

   The follower sends heartbeats to the control hosts in turn.  Their status
   replies list the control hosts, and give the newest version of the
   configuration.  An entry fetches that version in chunks; it never applies
   one that is older than the version in force.  An entry also follows the list
   of agents: it is notified of new ones, and requests the whole list if the
   digest of its own differs from that of the control hosts.  No I/O is done
   here: messages leave by a callback.  Times are in ms on the monotonic
   clock.  */

#ifndef HS_DAEMON_FOLLOWER_H
#define HS_DAEMON_FOLLOWER_H

#include "base/settings.h"
#include "wire/inner.h"

#define HS_FOLLOWER_AGENTS_MAX 16384

struct hs_follower;

/* Inner addresses of the known agents.  */
struct hs_follower_agents
{
  size_t len;
  struct hs_addr *values;
};

struct hs_follower_ops
{
  void (*send) (void *ctx, const struct hs_addr *to,
                const struct hs_inner *inner);

  /* BYTES hold the encoded configuration or, if BASE_GENERATION is not 0, a
     patch for that generation.  Returns false if they cannot be applied: the
     whole configuration is then fetched.  */
  bool (*apply_configuration) (void *ctx, uint64_t base_generation,
                               const uint8_t *bytes, size_t len);

  /* Agents were added to or removed from hs_follower_agents.  */
  void (*agents_changed) (void *ctx);

  /* Other availability zones are evacuated than before.  */
  void (*evacuations_changed) (void *ctx,
                               const struct hs_evacuations *evacuations);

  /* LOST is true once no control host has replied for a while, and false once
     one has replied again.  */
  void (*group_lost_changed) (void *ctx, bool lost);
};

/* SELF describes this node and is copied; the follower updates its
   configuration_generation and wants_agents.  The result is a talloc child of
   PARENT.  */
struct hs_follower *hs_follower_create (void *parent,
                                        const struct hs_inner_heartbeat *self,
                                        const struct hs_follower_ops *ops,
                                        void *ctx);
void hs_follower_destroy (struct hs_follower *follower);

/* Replaces the seeds.  PORT replaces the ports of SEEDS, which are those of
   the control API.  */
void hs_follower_set_seeds (struct hs_follower *follower,
                            const struct hs_addrs *seeds, uint16_t port);

/* Handles a status, chunk or list of evacuations; ignores other messages.  */
void hs_follower_receive (struct hs_follower *follower,
                          const struct hs_addr *from,
                          const struct hs_inner *inner, uint64_t now);

/* Sends heartbeats, requests missing chunks again and expires agents.  Call
   it every 100 ms.  */
void hs_follower_tick (struct hs_follower *follower, uint64_t now);

/* GENERATION is that of the configuration now in force on this node.  */
void hs_follower_set_generation (struct hs_follower *follower,
                                 uint64_t generation);

/* The result belongs to FOLLOWER and changes with hs_follower_receive and
   hs_follower_tick.  Empty if this node is an agent.  */
const struct hs_follower_agents *
hs_follower_agents (const struct hs_follower *follower);

#endif /* HS_DAEMON_FOLLOWER_H */
