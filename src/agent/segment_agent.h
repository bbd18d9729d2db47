/* segment_agent.h -- the agent daemon of segment flows.  One agent runs beside
   each upstream.  */

#ifndef HS_AGENT_SEGMENT_AGENT_H
#define HS_AGENT_SEGMENT_AGENT_H

#include "adapter/adapter.h"
#include "base/log.h"
#include "base/settings.h"

struct hs_segment_agent_settings
{
  const char *name;
  const char *zone; /* Availability zone.  */
  const char *service_name;
  struct hs_addr inner_address;      /* UDP, for entries and control hosts.  */
  struct hs_addr inner_bind_address; /* Port 0: the inner address.  */
  struct hs_addr upstream_address;   /* Where the upstream listens, UDP.  */
  struct hs_addr outbound_address;   /* UDP, for the upstream's segments.  */
  struct hs_addr heartbeats_address; /* HTTP, for its heartbeats.  */
  struct hs_addr health_address;     /* HTTP, for readiness and metrics.  */
  struct hs_addrs seeds;             /* API addresses of control hosts.  */
  uint64_t seed_port;                /* Port of their inner addresses.  */

  /* Only the port is used: callers receive segments on it.  */
  struct hs_addr caller_receive_address;
  uint64_t heartbeat_ms;  /* Heartbeat period of the upstream, ms.  */
  double flow_lifetime_s; /* Longest lifetime of a flow.  */
  const struct hs_adapter *adapter;
};

struct hs_segment_agent;

/* Creates an agent, whose sockets are open and whose HTTP servers run, but
   whose other threads have not been started.  SETTINGS is copied, but not its
   strings and its adapter; they and LOG must outlive the agent.  Free it with
   hs_segment_agent_destroy.  Returns NULL and sets HS_ERROR_SYSTEM if a socket
   or a server cannot be opened.  */
struct hs_segment_agent *
hs_segment_agent_create (const struct hs_segment_agent_settings *settings,
                         struct hs_log *log, GError **error);

/* Stops the threads and frees AGENT.  */
void hs_segment_agent_destroy (struct hs_segment_agent *agent);
void hs_segment_agent_start (struct hs_segment_agent *agent);

/* Replaces the seeds by a copy of SEEDS.  Any thread may call it.  */
void hs_segment_agent_set_seeds (struct hs_segment_agent *agent,
                                 const struct hs_addrs *seeds);

/* Stops accepting new flows and blocks until the entries have had time to
   learn of it.  Open flows are not waited for.  */
void hs_segment_agent_drain (struct hs_segment_agent *agent);

#endif /* HS_AGENT_SEGMENT_AGENT_H */
