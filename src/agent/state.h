/* state.h -- the state of an agent, for the files of this package.  */

#ifndef HS_AGENT_STATE_H
#define HS_AGENT_STATE_H

#include "agent/agent.h"
#include "agent/pending_packets.h"
#include "agent/upstream_socket.h"
#include "coap/coap_message.h"
#include "daemon/datapath_link.h"
#include "daemon/node.h"
#include "daemon/outbox.h"

/* A request that is not idempotent, until the witnesses of its flow agree.
 */
struct held
{
  struct hs_list link;
  uint64_t id;
  struct hs_flow_key flow;
  struct hs_coap_message message;
  size_t len;
  uint8_t *data; /* A child.  */
};

struct agent_counters
{
  struct hs_counter *malformed;
  struct hs_counter *wrong_service;
  struct hs_counter *wrong_host;
  struct hs_counter *passed;
  struct hs_counter *refused;
  struct hs_counter *delivered;
  struct hs_counter *answered;
  struct hs_counter *strays;
  struct hs_counter *no_entry;
  struct hs_counter *flows_opened;
  struct hs_counter *flows;
  struct hs_counter *flows_adopted;
  struct hs_counter *records;
  struct hs_counter *uncertain;
  struct hs_counter *released;
  struct hs_counter *asked;
  struct hs_counter *settled;
  struct hs_counter *unparked;
  struct hs_counter *flow_messages;
  struct hs_counter *flow_message_bytes;
  struct hs_counter *version;
  struct hs_counter *received;
  struct hs_counter *ran;
  struct hs_counter *not_run;
  struct hs_counter *may_have_run;
  struct hs_counter *in_progress;
  struct hs_counter *repeats;
  struct hs_counter *streams;
};

struct hs_agent
{
  struct hs_agent_settings settings;
  struct hs_log *log;
  struct hs_counters *counters;
  struct agent_counters counts;
  struct hs_datapath *datapath;

  /* Of the decide thread alone.  */
  struct hs_timers *timers;
  struct hs_catalog *catalog;
  struct hs_ownership *ownership;
  struct hs_tracker *tracker;
  struct hs_upstream_sockets *upstream_sockets;
  struct hs_node *node;
  struct hs_outbox *outbox;
  struct hs_pending_packets *pending_packets;
  struct hs_list pending_requests; /* struct held, oldest first.  */
  struct hs_timer tick;
  struct hs_timer drain_check;
  uint32_t service_id;
  uint64_t entry_turn; /* Of the entries, in answering.  */
  uint64_t agent_id;
  uint64_t incarnation;
  uint64_t draining_since; /* ms; 0: not draining  */
  bool routing_due;        /* What is parked can be routed.  */
  bool handing_over;
  bool superseded;
};

/* agent.c  */

const struct hs_catalog_item *hs_agent_catalog_item (struct hs_agent *agent);
bool hs_agent_is_coap (struct hs_agent *agent);

/* route.c: packets of entries, agents and the upstream  */

void hs_agent_on_batch (void *ctx, void *item);
void hs_agent_route_pending (struct hs_agent *agent, uint64_t now);
bool hs_agent_open_upstream_socket (struct hs_agent *agent,
                                    struct hs_flow *flow);
void hs_agent_send_to_upstream (struct hs_agent *agent,
                                struct hs_packet *packet,
                                const struct hs_flow *flow);
void hs_agent_send_to_caller (struct hs_agent *agent, struct hs_packet *packet,
                              const struct hs_flow *flow);

/* coap_service.c: requests and answers  */

void hs_agent_handle_caller_coap (struct hs_agent *agent,
                                  struct hs_packet *packet,
                                  struct hs_flow *flow, uint64_t now);
bool hs_agent_handle_upstream_coap (struct hs_agent *agent,
                                    const struct hs_packet *packet,
                                    const struct hs_flow *flow, uint64_t now);
void hs_agent_on_flow_confirmed (void *ctx, uint64_t id, bool may_run);
void hs_agent_on_request_expired (void *ctx,
                                  const struct hs_request_info *request,
                                  struct hs_verdict verdict);

/* agent_counters.c  */

void hs_agent_create_counters (struct hs_agent *agent);
void hs_agent_update_gauges (struct hs_agent *agent);

#endif /* HS_AGENT_STATE_H */
