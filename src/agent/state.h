/* state.h -- the state of an agent of UDP and CoAP services, shared by the
   files that implement it.  */

#ifndef HS_AGENT_STATE_H
#define HS_AGENT_STATE_H

#include "agent/agent.h"
#include "agent/pending_packets.h"
#include "agent/upstream_socket.h"
#include "coap/coap_message.h"
#include "daemon/control_client.h"
#include "daemon/datapath_link.h"
#include "daemon/outbox.h"

/* A non-idempotent request that waits for the backups of its flow to confirm
   that no other agent owns the flow.  */
struct pending_request
{
  struct hs_list link;
  uint64_t id; /* Id of the confirmation; see hs_ownership_confirm.  */
  struct hs_flow_key flow_key;
  struct hs_coap_message message;
  size_t len;    /* Bytes of DATA.  */
  uint8_t *data; /* The whole message, a talloc child.  */
};

/* Described by the help texts in agent_metrics.c.  */
struct hs_agent_metrics
{
  struct hs_counter *malformed;
  struct hs_counter *wrong_service;
  struct hs_counter *misdelivered;
  struct hs_counter *forwarded;
  struct hs_counter *refused;
  struct hs_counter *delivered;
  struct hs_counter *returned;
  struct hs_counter *unmatched_responses;
  struct hs_counter *no_entry;
  struct hs_counter *flows_opened;
  struct hs_counter *flows;
  struct hs_counter *flows_recovered;
  struct hs_counter *records;
  struct hs_counter *flows_uncertain;
  struct hs_counter *flows_released;
  struct hs_counter *queries_sent;
  struct hs_counter *transfers_complete;
  struct hs_counter *pending_dropped;
  struct hs_counter *flow_messages;
  struct hs_counter *flow_message_bytes;
  struct hs_counter *catalog_version;
  struct hs_counter *requests_received;
  struct hs_counter *requests_ran;
  struct hs_counter *requests_not_run;
  struct hs_counter *requests_may_have_run;
  struct hs_counter *requests_in_progress;
  struct hs_counter *duplicates;
  struct hs_counter *streams;
};

struct hs_agent
{
  struct hs_agent_settings settings;
  struct hs_log *log;
  struct hs_metrics *metric_set;
  struct hs_agent_metrics metrics;
  struct hs_datapath *datapath;

  /* Used by the decision worker only.  */
  struct hs_timers *timers;
  struct hs_catalog *catalog;
  struct hs_ownership *ownership;
  struct hs_tracker *tracker;
  struct hs_upstream_sockets *upstream_sockets;
  struct hs_control_client *control_client;
  struct hs_outbox *outbox;
  struct hs_pending_packets *pending_packets;
  struct hs_list pending_requests; /* Oldest first.  */
  struct hs_timer tick;
  struct hs_timer drain_check;
  uint32_t service_id; /* 0 until the catalog has the service.  */
  uint64_t entry_turn; /* Selects the next entry for packets to callers.  */
  uint64_t agent_id;
  uint64_t incarnation;
  uint64_t draining_since; /* ms; 0: neither draining nor handing over.  */
  bool routing_due;        /* Pending packets may be routed again.  */
  bool handing_over;       /* No request is accepted any more.  */
  bool superseded;         /* A later process has this agent's name.  */
};

/* agent.c  */

/* Returns the catalog item of the agent's service.  While the service is not
   in the catalog, this is NULL or the item of the entries, whose service is
   NULL.  */
const struct hs_catalog_item *hs_agent_catalog_item (struct hs_agent *agent);

/* Returns whether the service is of kind coap.  It must be in the catalog.  */
bool hs_agent_is_coap (struct hs_agent *agent);

/* route.c: packets of entries, agents and the upstream.  */

/* Handles ITEM, a struct hs_batch of the receiver, and passes it on to the
   sender.  */
void hs_agent_on_batch (void *ctx, void *item);

/* Routes all pending packets again.  Those whose owner is still not known
   become pending once more.  */
void hs_agent_route_pending (struct hs_agent *agent, uint64_t now);

/* Opens the socket of FLOW to the upstream, unless it is open already.  Logs
   the error and returns false on failure.  */
bool hs_agent_open_upstream_socket (struct hs_agent *agent,
                                    struct hs_flow *flow);

/* Addresses PACKET to the upstream.  The socket of FLOW must be open.  */
void hs_agent_send_to_upstream (struct hs_agent *agent,
                                struct hs_packet *packet,
                                const struct hs_flow *flow);

/* Addresses PACKET, a datagram for the caller of FLOW, to an entry.  It is
   dropped if no entry is known.  */
void hs_agent_send_to_caller (struct hs_agent *agent, struct hs_packet *packet,
                              const struct hs_flow *flow);

/* coap_service.c: CoAP requests and responses.  */

/* Handles PACKET, received from the caller of FLOW.  */
void hs_agent_handle_caller_coap (struct hs_agent *agent,
                                  struct hs_packet *packet,
                                  struct hs_flow *flow, uint64_t now);

/* Handles PACKET, received from the upstream on the socket of FLOW.  Returns
   whether it is to be sent to the caller.  */
bool hs_agent_handle_upstream_coap (struct hs_agent *agent,
                                    const struct hs_packet *packet,
                                    const struct hs_flow *flow, uint64_t now);

/* Callbacks in struct hs_ownership_ops and struct hs_tracker_ops.  */
void hs_agent_on_flow_confirmed (void *ctx, uint64_t id, bool may_run);
void hs_agent_on_request_expired (void *ctx,
                                  const struct hs_request_info *request,
                                  struct hs_verdict verdict);

/* agent_metrics.c: metrics.  */

void hs_agent_create_metrics (struct hs_agent *agent);

/* Sets the gauges to the totals of the request tracker and of the
   ownership.  */
void hs_agent_update_gauges (struct hs_agent *agent);

#endif /* HS_AGENT_STATE_H */
