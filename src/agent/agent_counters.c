/* agent_counters.c -- what an agent counts.  */

#include "agent/state.h"

/* Public definitions.  */

void
hs_agent_create_counters (struct hs_agent *agent)
{
  struct hs_counters *all = hs_counters_create (agent, "hibiscusspan_agent");
  struct agent_counters *counts = &agent->counts;

  agent->counters = all;
  counts->malformed = hs_counter_create (
      all, "malformed_total", "Datagrams that do not decode, dropped.");
  counts->wrong_service
      = hs_counter_create (all, "wrong_service_total",
                           "Packets meant for another service, refused.");
  counts->wrong_host
      = hs_counter_create (all, "wrong_host_total",
                           "Packets meant for another incarnation, refused.");
  counts->passed = hs_counter_create (all, "passed_total",
                                      "Packets passed to another agent.");
  counts->refused = hs_counter_create (all, "refused_total",
                                       "Packets refused, all reasons.");
  counts->delivered = hs_counter_create (all, "delivered_total",
                                         "Datagrams passed to the upstream.");
  counts->answered = hs_counter_create (all, "answered_total",
                                        "Datagrams passed towards callers.");
  counts->strays = hs_counter_create (
      all, "strays_total", "Answers of the upstream to no request, dropped.");
  counts->no_entry = hs_counter_create (all, "no_entry_total",
                                        "Answers dropped: no entry is known.");
  counts->flows_opened
      = hs_counter_create (all, "flows_opened_total", "Flows opened here.");
  counts->flows = hs_gauge_create (all, "flows", "Flows held here.");
  counts->flows_adopted = hs_counter_create (
      all, "flows_adopted_total", "Flows taken back from an earlier process.");
  counts->records
      = hs_gauge_create (all, "records", "Flows known to be held elsewhere.");
  counts->uncertain
      = hs_gauge_create (all, "flows_uncertain",
                         "Flows opened though another agent may hold "
                         "them, since the start.");
  counts->released
      = hs_gauge_create (all, "flows_released",
                         "Flows given up to another holder, since the "
                         "start.");
  counts->asked = hs_gauge_create (
      all, "questions", "Questions to other agents, since the start.");
  counts->settled = hs_gauge_create (
      all, "settled", "1: every member has told what it holds.");
  counts->unparked
      = hs_counter_create (all, "unparked_total",
                           "Datagrams dropped: it was not known in time "
                           "who holds their flow.");
  counts->flow_messages = hs_counter_create (all, "flow_messages_total",
                                             "Messages sent to other agents.");
  counts->flow_message_bytes
      = hs_counter_create (all, "flow_message_bytes_total", "Bytes of them.");
  counts->version = hs_gauge_create (all, "catalog_version",
                                     "Version of the catalog in force.");
  counts->received = hs_gauge_create (all, "requests_received",
                                      "Requests, each counted once.");
  counts->ran
      = hs_gauge_create (all, "requests_ran", "Answered by the upstream.");
  counts->not_run
      = hs_gauge_create (all, "requests_not_run", "Refused, and never run.");
  counts->may_have_run = hs_gauge_create (all, "requests_may_have_run",
                                          "Sent and not answered in time.");
  counts->in_progress
      = hs_gauge_create (all, "requests_in_progress", "Not yet decided.");
  counts->repeats = hs_gauge_create (all, "requests_repeats",
                                     "Repeats, not counted as received.");
  counts->streams = hs_gauge_create (all, "streams", "Streams open now.");
}

void
hs_agent_update_gauges (struct hs_agent *agent)
{
  struct hs_request_totals totals = hs_tracker_totals (agent->tracker);
  struct hs_ownership_stats stats = hs_ownership_stats (agent->ownership);
  struct agent_counters *counts = &agent->counts;

  hs_counter_set (counts->received, totals.received);
  hs_counter_set (counts->ran, totals.ran);
  hs_counter_set (counts->not_run, totals.not_run);
  hs_counter_set (counts->may_have_run, totals.may_have_run);
  hs_counter_set (counts->in_progress, totals.in_progress);
  hs_counter_set (counts->repeats, totals.duplicates);
  hs_counter_set (counts->streams, totals.streams);
  hs_counter_set (counts->flows, stats.flows);
  hs_counter_set (counts->records, stats.records);
  hs_counter_set (counts->uncertain, stats.uncertain);
  hs_counter_set (counts->released, stats.released);
  hs_counter_set (counts->asked, stats.queries_sent);
  hs_counter_set (counts->settled, stats.transfers_complete);
}
