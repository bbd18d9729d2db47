/* agent_metrics.c -- the metrics of an agent of UDP and CoAP services.  */

#include "agent/state.h"

/* Public definitions.  */

void
hs_agent_create_metrics (struct hs_agent *agent)
{
  struct hs_metrics *set = hs_metrics_create (agent, "hibiscusspan_agent");
  struct hs_agent_metrics *metrics = &agent->metrics;

  agent->metric_set = set;
  metrics->malformed = hs_counter_create (
      set, "malformed_total", "Datagrams dropped because they do not decode.");
  metrics->wrong_service = hs_counter_create (
      set, "wrong_service_total",
      "Packets refused because they are addressed to another service.");
  metrics->misdelivered = hs_counter_create (
      set, "wrong_host_total",
      "Packets refused because they are addressed to another incarnation.");
  metrics->forwarded = hs_counter_create (
      set, "passed_total", "Packets forwarded to another agent.");
  metrics->refused = hs_counter_create (set, "refused_total",
                                        "Packets refused for any reason.");
  metrics->delivered = hs_counter_create (set, "delivered_total",
                                          "Datagrams sent to the upstream.");
  metrics->returned = hs_counter_create (
      set, "answered_total", "Datagrams sent to entries for callers.");
  metrics->unmatched_responses = hs_counter_create (
      set, "strays_total",
      "Responses of the upstream dropped because no request matches.");
  metrics->no_entry = hs_counter_create (
      set, "no_entry_total",
      "Datagrams for callers dropped because no entry is known.");
  metrics->flows_opened = hs_counter_create (set, "flows_opened_total",
                                             "Flows opened by this agent.");
  metrics->flows
      = hs_gauge_create (set, "flows", "Flows owned by this agent.");
  metrics->flows_recovered = hs_counter_create (
      set, "flows_adopted_total", "Flows recovered from an earlier process.");
  metrics->records = hs_gauge_create (
      set, "records", "Ownership records of flows of other agents.");
  metrics->flows_uncertain
      = hs_gauge_create (set, "flows_uncertain",
                         "Flows opened though another agent may own "
                         "them, since the start.");
  metrics->flows_released
      = hs_gauge_create (set, "flows_released",
                         "Flows released to another owner, since the "
                         "start.");
  metrics->queries_sent = hs_gauge_create (
      set, "questions", "Owner queries to other agents, since the start.");
  metrics->transfers_complete = hs_gauge_create (
      set, "settled", "1 if the state transfer of every member is complete.");
  metrics->pending_dropped
      = hs_counter_create (set, "unparked_total",
                           "Datagrams dropped while the owner of their "
                           "flow was unknown.");
  metrics->flow_messages = hs_counter_create (
      set, "flow_messages_total", "Ownership messages sent to other agents.");
  metrics->flow_message_bytes = hs_counter_create (
      set, "flow_message_bytes_total", "Bytes of ownership messages sent.");
  metrics->catalog_version
      = hs_gauge_create (set, "catalog_version", "Catalog version in force.");
  metrics->requests_received = hs_gauge_create (
      set, "requests_received", "Requests received, without duplicates.");
  metrics->requests_ran = hs_gauge_create (
      set, "requests_ran", "Requests answered by the upstream.");
  metrics->requests_not_run = hs_gauge_create (
      set, "requests_not_run", "Requests refused without being run.");
  metrics->requests_may_have_run = hs_gauge_create (
      set, "requests_may_have_run",
      "Requests sent to the upstream but not answered by their deadline.");
  metrics->requests_in_progress = hs_gauge_create (
      set, "requests_in_progress", "Requests without a result so far.");
  metrics->duplicates = hs_gauge_create (
      set, "requests_repeats", "Duplicate requests, not counted as received.");
  metrics->streams = hs_gauge_create (set, "streams", "Open streams.");
}

void
hs_agent_update_gauges (struct hs_agent *agent)
{
  struct hs_request_totals totals = hs_tracker_totals (agent->tracker);
  struct hs_ownership_stats stats = hs_ownership_stats (agent->ownership);
  struct hs_agent_metrics *metrics = &agent->metrics;

  hs_counter_set (metrics->requests_received, totals.received);
  hs_counter_set (metrics->requests_ran, totals.ran);
  hs_counter_set (metrics->requests_not_run, totals.not_run);
  hs_counter_set (metrics->requests_may_have_run, totals.may_have_run);
  hs_counter_set (metrics->requests_in_progress, totals.in_progress);
  hs_counter_set (metrics->duplicates, totals.duplicates);
  hs_counter_set (metrics->streams, totals.streams);
  hs_counter_set (metrics->flows, stats.flows);
  hs_counter_set (metrics->records, stats.records);
  hs_counter_set (metrics->flows_uncertain, stats.uncertain);
  hs_counter_set (metrics->flows_released, stats.released);
  hs_counter_set (metrics->queries_sent, stats.queries_sent);
  hs_counter_set (metrics->transfers_complete, stats.transfers_complete);
}
