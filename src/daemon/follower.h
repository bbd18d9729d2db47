/* follower.h -- how an entry or an agent keeps up with the control group.

   It tells control hosts in turn that it is there, and learns from their
   answers which control hosts and entries there are and which configuration
   is the newest.  An older one is never taken.  Free of I/O.  */

#ifndef HS_DAEMON_FOLLOWER_H
#define HS_DAEMON_FOLLOWER_H

#include "base/settings.h"
#include "wire/inner.h"

#define HS_FOLLOWER_ENTRIES_MAX 2048

struct hs_follower;

struct hs_follower_entries
{
  size_t len;
  struct hs_addr values[HS_FOLLOWER_ENTRIES_MAX];
};

struct hs_follower_ops
{
  void (*send) (void *ctx, const struct hs_addr *to,
                const struct hs_inner *inner);
  /* BYTES: the whole, or the changes of the version BASE, if that is not
     0.  False: they are of no use, and the whole is wanted.  */
  bool (*apply_configuration) (void *ctx, uint64_t base, const uint8_t *bytes,
                               size_t len);
  void (*entries_added) (void *ctx); /* An entry is new in the list.  */
  void (*group_lost_changed) (void *ctx,
                              bool lost); /* The whole group is silent; or one
                               of it has answered again.  */
};

/* SELF says who this is; its version and roster are kept up here.  */
struct hs_follower *hs_follower_create (void *parent,
                                        const struct hs_inner_heartbeat *self,
                                        const struct hs_follower_ops *ops,
                                        void *ctx);
void hs_follower_destroy (struct hs_follower *follower);
void hs_follower_set_seeds (struct hs_follower *follower,
                            const struct hs_addrs *seeds, uint16_t port);
void hs_follower_receive (struct hs_follower *follower,
                          const struct hs_addr *from,
                          const struct hs_inner *inner, uint64_t now);
void hs_follower_tick (struct hs_follower *follower,
                       uint64_t now); /* Every 100 ms.  */
void hs_follower_set_version (struct hs_follower *follower,
                              uint64_t version); /* In force here.  */
const struct hs_follower_entries *
hs_follower_entries (const struct hs_follower *follower);

#endif /* HS_DAEMON_FOLLOWER_H */
