/* front.h -- what the daemons of segment flows have in common: the inner
   socket's messages, the tie to the control group, and readiness over
   HTTP.  */

#ifndef HS_DAEMON_FRONT_H
#define HS_DAEMON_FRONT_H

#include "adapter/adapter.h"
#include "base/log.h"
#include "daemon/datapath.h"
#include "daemon/follower.h"
#include "daemon/outbox.h"

struct hs_front_settings
{
  const char *name;
  const char *zone;
  enum hs_role role;
  struct hs_addr inner;
  struct hs_addr health;
  struct hs_addrs seeds;
  uint64_t seed_port;
  size_t batches;
  const struct hs_adapter *dialect;
};

/* Called by the decide thread.  */
struct hs_front_ops
{
  void (*packet) (void *ctx, struct hs_packet *packet,
                  uint64_t now); /* Of a socket of the owner's.  */
  void (*inner) (void *ctx, struct hs_packet *packet,
                 const struct hs_inner *inner,
                 uint64_t now); /* What stands behind it is in PACKET.  */
  bool (*configuration) (void *ctx, uint64_t base, const uint8_t *bytes,
                         size_t len); /* As for the follower.  */
  void (*entries) (void *ctx);        /* One is new in the follower's list.  */
  void (*tick) (void *ctx, uint64_t now);
  void (*drain) (void *ctx, uint64_t now); /* hs_front_drained ends it.  */
};

#define HS_FRONT_TICK_MS 100

struct hs_front
{
  struct hs_front_settings settings;
  struct hs_front_ops ops;
  void *ctx;
  struct hs_log *log;
  struct hs_counters *counters;
  struct hs_datapath *path;
  struct hs_outbox *outbox;
  struct hs_http *http;
  struct hs_ring *seeds; /* Of struct hs_addrs, changed settings.  */
  uint64_t slot;
  uint64_t incarnation;
  struct hs_counter *malformed;
  struct hs_counter *log_dropped;

  /* Of the decide thread alone.  */
  struct hs_timers *timers;
  struct hs_timer tick;

  struct hs_follower *follower;
};

struct hs_front *hs_front_create (void *parent,
                                  const struct hs_front_settings *settings,
                                  const struct hs_front_ops *ops, void *ctx,
                                  struct hs_counters *counters,
                                  struct hs_log *log, GError **error);
void hs_front_destroy (struct hs_front *front); /* Unless started, or once
                                                   stopped.  */
void hs_front_start (struct hs_front *front);
void hs_front_stop (struct hs_front *front);
void hs_front_set_seeds (struct hs_front *front,
                         const struct hs_addrs *seeds); /* Any thread.  */
void hs_front_drain (struct hs_front *front);           /* Sleeps.  */
void hs_front_drained (struct hs_front *front);
void hs_front_set_ready (struct hs_front *front,
                         const char *reason); /* NULL: ready.  */

/* By the decide thread.  */
void hs_front_send (struct hs_front *front, const struct hs_addr *to,
                    const struct hs_inner *inner);
void hs_front_wrap (struct hs_front *front, struct hs_packet *packet,
                    const struct hs_inner *inner,
                    const struct hs_addr *to); /* Puts it in front.  */
void hs_front_copy (struct hs_front *front, const struct hs_packet *packet);
void hs_front_answer (struct hs_front *front, struct hs_packet *packet, int fd,
                      const struct hs_addr *caller,
                      uint16_t port); /* To the caller, at that port.  */

#endif /* HS_DAEMON_FRONT_H */
