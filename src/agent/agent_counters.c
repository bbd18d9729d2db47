/* agent_counters.c -- the metrics of an agent of UDP and CoAP services.  */

#include "agent/state.h"

/* Public definitions.  */

void
hs_agent_create_counters (struct hs_agent *agent)
{
  struct hs_metrics *metrics = hs_metrics_create (agent, "hibiscusspan_agent");
  struct agent_counters *counts = &agent->counts;

  agent->metrics = metrics;
  counts->malformed
      = hs_counter_create (metrics, "malformed_total",
                           "Datagrams dropped because they do not decode.");
  counts->wrong_service = hs_counter_create (
      metrics, "wrong_service_total",
      "Packets refused because they are addressed to another service.");
  counts->misdelivered = hs_counter_create (
      metrics, "wrong_host_total",
      "Packets refused because they are addressed to another incarnation.");
  counts->forwarded = hs_counter_create (
      metrics, "passed_total", "Packets forwarded to another agent.");
  counts->refused = hs_counter_create (metrics, "refused_total",
                                       "Packets refused for any reason.");
  counts->delivered = hs_counter_create (metrics, "delivered_total",
                                         "Datagrams sent to the upstream.");
  counts->returned = hs_counter_create (
      metrics, "answered_total", "Datagrams sent to entries for callers.");
  counts->unmatched_responses = hs_counter_create (
      metrics, "strays_total",
      "Responses of the upstream dropped because no request matches.");
  counts->no_entry = hs_counter_create (
      metrics, "no_entry_total",
      "Datagrams for callers dropped because no entry is known.");
  counts->flows_opened = hs_counter_create (metrics, "flows_opened_total",
                                            "Flows opened by this agent.");
  counts->flows
      = hs_gauge_create (metrics, "flows", "Flows owned by this agent.");
  counts->flows_recovered
      = hs_counter_create (metrics, "flows_adopted_total",
                           "Flows recovered from an earlier process.");
  counts->records = hs_gauge_create (
      metrics, "records", "Ownership records of flows of other agents.");
  counts->flows_uncertain
      = hs_gauge_create (metrics, "flows_uncertain",
                         "Flows opened though another agent may own "
                         "them, since the start.");
  counts->flows_released
      = hs_gauge_create (metrics, "flows_released",
                         "Flows released to another owner, since the "
                         "start.");
  counts->queries_sent = hs_gauge_create (
      metrics, "questions", "Owner queries to other agents, since the start.");
  counts->transfers_complete = hs_gauge_create (
      metrics, "settled",
      "1 if the state transfer of every member is complete.");
  counts->pending_dropped
      = hs_counter_create (metrics, "unparked_total",
                           "Datagrams dropped while the owner of their "
                           "flow was unknown.");
  counts->flow_messages
      = hs_counter_create (metrics, "flow_messages_total",
                           "Ownership messages sent to other agents.");
  counts->flow_message_bytes
      = hs_counter_create (metrics, "flow_message_bytes_total",
                           "Bytes of ownership messages sent.");
  counts->catalog_version = hs_gauge_create (metrics, "catalog_version",
                                             "Catalog version in force.");
  counts->requests_received = hs_gauge_create (
      metrics, "requests_received", "Requests received, without duplicates.");
  counts->requests_ran = hs_gauge_create (
      metrics, "requests_ran", "Requests answered by the upstream.");
  counts->requests_not_run = hs_gauge_create (
      metrics, "requests_not_run", "Requests refused without being run.");
  counts->requests_may_have_run = hs_gauge_create (
      metrics, "requests_may_have_run",
      "Requests sent to the upstream but not answered by their deadline.");
  counts->requests_in_progress = hs_gauge_create (
      metrics, "requests_in_progress", "Requests without a result so far.");
  counts->duplicates
      = hs_gauge_create (metrics, "requests_repeats",
                         "Duplicate requests, not counted as received.");
  counts->streams = hs_gauge_create (metrics, "streams", "Open streams.");
}

void
hs_agent_update_gauges (struct hs_agent *agent)
{
  struct hs_request_totals totals = hs_tracker_totals (agent->tracker);
  struct hs_ownership_stats stats = hs_ownership_stats (agent->ownership);
  struct agent_counters *counts = &agent->counts;

  hs_counter_set (counts->requests_received, totals.received);
  hs_counter_set (counts->requests_ran, totals.ran);
  hs_counter_set (counts->requests_not_run, totals.not_run);
  hs_counter_set (counts->requests_may_have_run, totals.may_have_run);
  hs_counter_set (counts->requests_in_progress, totals.in_progress);
  hs_counter_set (counts->duplicates, totals.duplicates);
  hs_counter_set (counts->streams, totals.streams);
  hs_counter_set (counts->flows, stats.flows);
  hs_counter_set (counts->records, stats.records);
  hs_counter_set (counts->flows_uncertain, stats.uncertain);
  hs_counter_set (counts->flows_released, stats.released);
  hs_counter_set (counts->queries_sent, stats.queries_sent);
  hs_counter_set (counts->transfers_complete, stats.transfers_complete);
}
