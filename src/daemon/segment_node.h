/* segment_node.h -- what the segment entry and the segment agent share: the
   inner socket's messages, following the control group, and readiness over
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
  struct hs_addr inner_bind_address; /* Port 0: the inner address.  */
  struct hs_addr health_address;
  struct hs_addrs seeds;
  uint64_t seed_port;
  size_t batches; /* In the batch pool of the datapath.  */
  const struct hs_adapter *adapter;
};

/* Called by the decision worker.  NOW is the monotonic clock in ms.  */
struct hs_segment_node_ops
{
  /* A packet from a socket that the entry or agent added to the receiver.  It
     is sent after the call if its fd has been set.  */
  void (*handle_packet) (void *ctx, struct hs_packet *packet, uint64_t now);

  /* An inner message other than those for the follower.  PACKET holds the
     bytes after it, and is sent after the call if its fd has been set.  */
  void (*handle_message) (void *ctx, struct hs_packet *packet,
                          const struct hs_inner *inner, uint64_t now);

  /* As in struct hs_follower_ops.  */
  bool (*apply_configuration) (void *ctx, uint64_t base_generation,
                               const uint8_t *bytes, size_t len);
  void (*agents_changed) (void *ctx);
  void (*evacuations_changed) (void *ctx,
                               const struct hs_evacuations *evacuations);

  /* Called every HS_SEGMENT_NODE_TICK_MS.  */
  void (*tick) (void *ctx, uint64_t now);

  /* Starts to drain.  Call hs_segment_node_finish_drain once the drain is
     complete.  */
  void (*drain) (void *ctx, uint64_t now);
};

#define HS_SEGMENT_NODE_TICK_MS 100

struct hs_segment_node
{
  struct hs_segment_node_settings settings;
  struct hs_segment_node_ops ops;
  void *ctx;
  struct hs_log *log;
  struct hs_metrics *metric_set;
  struct hs_datapath *datapath;
  struct hs_outbox *outbox;
  struct hs_http *http;
  struct hs_ring *seeds; /* Queue of struct hs_addrs: seeds after a reload.  */
  uint64_t node_id;
  uint64_t incarnation; /* Wall clock at the start, ms.  */
  struct hs_counter *malformed;
  struct hs_counter *log_dropped;

  /* Used by the decision worker only.  */
  struct hs_timers *timers;
  struct hs_timer tick;
  struct hs_follower *follower;
};

/* Creates a stopped node, a talloc child of PARENT.  METRICS, LOG and the
   strings in SETTINGS must outlive it.  Returns NULL and sets HS_ERROR_SYSTEM
   if an address cannot be bound.  */
struct hs_segment_node *hs_segment_node_create (
    void *parent, const struct hs_segment_node_settings *settings,
    const struct hs_segment_node_ops *ops, void *ctx,
    struct hs_metrics *metrics, struct hs_log *log, GError **error);

/* The node must be stopped, or never have been started.  */
void hs_segment_node_destroy (struct hs_segment_node *node);
void hs_segment_node_start (struct hs_segment_node *node);
void hs_segment_node_stop (struct hs_segment_node *node);

/* Copies SEEDS.  Any thread may call it.  */
void hs_segment_node_set_seeds (struct hs_segment_node *node,
                                const struct hs_addrs *seeds);

/* Has the decision worker drain the node, and sleeps until the drain is
   complete.  Called by the main thread.  */
void hs_segment_node_drain (struct hs_segment_node *node);

/* Ends a drain.  Called by the decision worker.  */
void hs_segment_node_finish_drain (struct hs_segment_node *node);

/* REASON is as for hs_admin_set_unhealthy; NULL: ready.  */
void hs_segment_node_set_readiness (struct hs_segment_node *node,
                                    const char *reason);

/* The functions below are called by the decision worker.  */

/* Sends INNER to TO by the inner socket.  */
void hs_segment_node_send (struct hs_segment_node *node,
                           const struct hs_addr *to,
                           const struct hs_inner *inner);

/* Prepends INNER to PACKET and addresses PACKET to TO by the inner socket.  */
void hs_segment_node_encapsulate (struct hs_segment_node *node,
                                  struct hs_packet *packet,
                                  const struct hs_inner *inner,
                                  const struct hs_addr *to);

/* Sends a copy of PACKET by the same socket to the same peer.  */
void hs_segment_node_send_copy (struct hs_segment_node *node,
                                const struct hs_packet *packet);

/* Addresses PACKET to the IP address of CALLER and to PORT, by the socket
   FD.  */
void hs_segment_node_address_to_caller (struct hs_segment_node *node,
                                        struct hs_packet *packet, int fd,
                                        const struct hs_addr *caller,
                                        uint16_t port);

#endif /* HS_DAEMON_SEGMENT_NODE_H */
