/* agent.h -- the agent daemon, one beside each upstream.  */

#ifndef HS_AGENT_AGENT_H
#define HS_AGENT_AGENT_H

#include "base/log.h"
#include "hibiscusspan.h"

struct hs_agent_settings
{
  const char *name;
  const char *zone;
  const char *service_name;
  struct hs_addr inner_address; /* Where entries and agents send packets.  */
  struct hs_addr upstream_address;
  struct hs_addr control_address;
  struct hs_addr admin_address;
  bool debug;
};

struct hs_agent;

struct hs_agent *hs_agent_create (const struct hs_agent_settings *settings,
                                  struct hs_log *log, GError **error);
void hs_agent_destroy (struct hs_agent *agent); /* Stops its threads.  */
void hs_agent_start (struct hs_agent *agent);

/* Each sleeps until it is done; false: superseded.  To drain is to leave for
   good.  To hand over is to end the requests in progress and keep the name,
   so that a new process takes the flows back.  */
bool hs_agent_drain (struct hs_agent *agent);
bool hs_agent_hand_over (struct hs_agent *agent);

#endif /* HS_AGENT_AGENT_H */
