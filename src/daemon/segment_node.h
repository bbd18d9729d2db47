/* segment_node.h -- what the daemons of segment flows have in common: the
   inner socket's messages, the tie to the control group, and readiness over
   HTTP.  */

#ifndef HS_DAEMON_SEGMENT_NODE_H
#define HS_DAEMON_SEGMENT_NODE_H

#include "adapter/adapter.h"
#include "base/log.h"
#include "daemon/datapath.h"
#include "daemon/follower.h"
#include "daemon/outbox.h"

struct hs_segment_node_settings
{
  const char *name;
  const char *zone;
  enum hs_role role;
  struct hs_addr inner_address;
  struct hs_addr health_address;
  struct hs_addrs seeds;
  uint64_t seed_port;
  size_t batches;
  const struct hs_adapter *adapter;
};

/* Called by the decide thread.  */
struct hs_segment_node_ops
{
  void (*handle_packet) (void *ctx, struct hs_packet *packet,
                         uint64_t now); /* Of a socket of the owner's.  */
  void (*handle_message) (
      void *ctx, struct hs_packet *packet, const struct hs_inner *inner,
      uint64_t now); /* What stands behind it is in PACKET.  */
  bool (*apply_configuration) (void *ctx, uint64_t base, const uint8_t *bytes,
                               size_t len); /* As for the follower.  */
  void (*entries_added) (void *ctx); /* One is new in the follower's list.  */
  void (*tick) (void *ctx, uint64_t now);
  void (*drain) (void *ctx,
                 uint64_t now); /* hs_segment_node_finish_drain ends it.  */
};

#define HS_SEGMENT_NODE_TICK_MS 100

struct hs_segment_node
{
  struct hs_segment_node_settings settings;
  struct hs_segment_node_ops ops;
  void *ctx;
  struct hs_log *log;
  struct hs_counters *counters;
  struct hs_datapath *datapath;
  struct hs_outbox *outbox;
  struct hs_http *http;
  struct hs_ring *seeds; /* Of struct hs_addrs, changed settings.  */
  uint64_t node_id;
  uint64_t incarnation;
  struct hs_counter *malformed;
  struct hs_counter *log_dropped;

  /* Of the decide thread alone.  */
  struct hs_timers *timers;
  struct hs_timer tick;

  struct hs_follower *follower;
};

struct hs_segment_node *hs_segment_node_create (
    void *parent, const struct hs_segment_node_settings *settings,
    const struct hs_segment_node_ops *ops, void *ctx,
    struct hs_counters *counters, struct hs_log *log, GError **error);
void hs_segment_node_destroy (struct hs_segment_node *front); /* Unless
                                                   started, or once stopped. */
void hs_segment_node_start (struct hs_segment_node *front);
void hs_segment_node_stop (struct hs_segment_node *front);
void
hs_segment_node_set_seeds (struct hs_segment_node *front,
                           const struct hs_addrs *seeds);   /* Any thread.  */
void hs_segment_node_drain (struct hs_segment_node *front); /* Sleeps.  */
void hs_segment_node_finish_drain (struct hs_segment_node *front);
void hs_segment_node_set_readiness (struct hs_segment_node *front,
                                    const char *reason); /* NULL: ready.  */

/* By the decide thread.  */
void hs_segment_node_send (struct hs_segment_node *front,
                           const struct hs_addr *to,
                           const struct hs_inner *inner);
void
hs_segment_node_encapsulate (struct hs_segment_node *front,
                             struct hs_packet *packet,
                             const struct hs_inner *inner,
                             const struct hs_addr *to); /* Puts it in front. */
void hs_segment_node_send_copy (struct hs_segment_node *front,
                                const struct hs_packet *packet);
void hs_segment_node_address_to_caller (
    struct hs_segment_node *front, struct hs_packet *packet, int fd,
    const struct hs_addr *caller,
    uint16_t port); /* To the caller, at that port.  */

#endif /* HS_DAEMON_SEGMENT_NODE_H */
