/* agent.h -- the agent daemon of UDP and CoAP services.  One agent runs beside
   each upstream and forwards the packets of the flows that it owns.  */

#ifndef HS_AGENT_AGENT_H
#define HS_AGENT_AGENT_H

#include "base/log.h"
#include "hibiscusspan.h"

struct hs_agent_settings
{
  const char *name; /* Unique within the service.  */
  const char *zone; /* Availability zone.  */
  const char *service_name;
  struct hs_addr inner_address;    /* UDP, for entries and other agents.  */
  struct hs_addr upstream_address; /* Where the upstream listens, UDP.  */
  struct hs_addr control_address;  /* Where the control host listens, TCP.  */
  struct hs_addr admin_address;    /* HTTP, for /healthz and /metrics.  */
  bool debug;                      /* Log debug messages too.  */
};

struct hs_agent;

/* Creates an agent, whose sockets are open and whose admin server runs, but
   whose other threads have not been started.  SETTINGS is copied, but not its
   strings; they and LOG must outlive the agent.  Free it with
   hs_agent_destroy.  Returns NULL and sets HS_ERROR_SYSTEM if a socket or the
   admin server cannot be opened.  */
struct hs_agent *hs_agent_create (const struct hs_agent_settings *settings,
                                  struct hs_log *log, GError **error);

/* Stops the threads and frees AGENT.  */
void hs_agent_destroy (struct hs_agent *agent);
void hs_agent_start (struct hs_agent *agent);

/* Drains AGENT before it leaves its service for good.  Blocks until no
   request is in progress, and its streams or UDP flows have ended or their
   grace period has passed, but for at least 2 s.  Returns false if a later
   process has announced itself under AGENT's name.  */
bool hs_agent_drain (struct hs_agent *agent);

/* Prepares AGENT for a restart of the process.  Blocks until the requests in
   progress have finished.  The agent stays a member of the service under its
   name, so that the new process can recover its flows.  The return value is
   that of hs_agent_drain.  */
bool hs_agent_hand_over (struct hs_agent *agent);

#endif /* HS_AGENT_AGENT_H */
