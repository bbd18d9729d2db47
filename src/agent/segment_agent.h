/* segment_agent.h -- the agent daemon of segment flows.  */

#ifndef HS_AGENT_SEGMENT_AGENT_H
#define HS_AGENT_SEGMENT_AGENT_H

#include "adapter/adapter.h"
#include "base/log.h"
#include "base/settings.h"

struct hs_segment_agent_settings
{
  const char *name;
  const char *zone;
  const char *service_name;
  struct hs_addr inner_address;    /* Of entries and control hosts, UDP.  */
  struct hs_addr upstream_address; /* Takes segments, UDP.  */
  struct hs_addr outbound_address; /* Where the upstream sends its own, UDP. */
  struct hs_addr heartbeats_address;     /* Where it reports, HTTP.  */
  struct hs_addr health_address;         /* Of readiness and metrics, HTTP.  */
  struct hs_addrs seeds;                 /* API addresses of control hosts.  */
  uint64_t seed_port;                    /* Of their inner addresses.  */
  struct hs_addr caller_receive_address; /* Its port is that where callers take
                                            answers. */
  uint64_t heartbeat_ms;                 /* Between two of the upstream.  */
  const struct hs_adapter *adapter;
};

struct hs_segment_agent;

struct hs_segment_agent *
hs_segment_agent_create (const struct hs_segment_agent_settings *settings,
                         struct hs_log *log, GError **error);
void hs_segment_agent_destroy (struct hs_segment_agent *agent);
void hs_segment_agent_start (struct hs_segment_agent *agent);
void hs_segment_agent_set_seeds (struct hs_segment_agent *agent,
                                 const struct hs_addrs *seeds); /* Any
                                                                   thread. */
void hs_segment_agent_drain (struct hs_segment_agent *agent);   /* Sleeps.  */

#endif /* HS_AGENT_SEGMENT_AGENT_H */
