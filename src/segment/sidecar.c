/* sidecar.c -- decides what an agent does with the segments of its upstream's
   flows.

   Only the upstream knows for certain which flows it owns: it returns the
   segments of all others.  An agent that starts later than its upstream has no
   record of the flows that the upstream already owns.  During the flow
   recovery, which lasts as long as any of these flows may still be open, the
   agent delivers segments of flows that it does not know and records a flow
   when the upstream answers.

   A request is in progress from the first payload of the caller until the
   first payload of the upstream; the payload itself is not parsed.  */

#include "segment/segment_flow_table.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Time by which the flow recovery is longer than the longest lifetime of a
   flow.  */
#define FLOW_RECOVERY_MARGIN_MS 15000

/* If the upstream started less than this before its agent, both started
   together and there is nothing to recover: in so short a time an earlier
   agent process cannot have received a heartbeat, opened a flow, ended and
   been restarted.  The processes of a host start within 130 ms.  */
#define SIMULTANEOUS_START_MS 250

/* Time for which a flow counts as not owned after the upstream has returned or
   reset a segment of it; no segment is delivered to probe it again until
   then.  */
#define NOT_OWNED_TTL_MS 1500

/* Heartbeat intervals without a heartbeat after which the upstream counts as
   silent.  */
#define HEARTBEATS_MISSED_MAX 3

/* Heartbeat intervals after the agent's first tick within which a heartbeat
   should come.  If none does, the agent assumes that it has no upstream whose
   flows could be recovered.  */
#define FIRST_HEARTBEAT_INTERVALS 2

/* If the upstream's address answers with this many resets and nothing else,
   no upstream is there.  */
#define RESETS_NO_UPSTREAM 3

/* Time after a SYN without any segment of the upstream after which the
   upstream counts as silent.  The handshake takes less than 10 ms.  */
#define SYN_TIMEOUT_MS 150

/* Time after a SYN within which its request counts as about to come: between
   these, by the handshakes seen.  It takes a round trip to the caller, and
   longer if the entry has it queued.  */
#define SYN_PENDING_MIN_MS 20
#define SYN_PENDING_MS 100

/* A request that finds all slots busy and is answered this soon has been
   rejected by the upstream, whose queue is full.  */
#define REJECTION_MS 2

/* Time for which a request counts as in progress without an answer, and the
   same for one that may be a copy of an answered request: its flow was open
   before this agent started.  */
#define REQUEST_TIMEOUT_MS 10000
#define UNCERTAIN_REQUEST_TIMEOUT_MS 300

/* Interval at which the number of requests that the upstream is known to take
   is raised by one again.  */
#define CAPACITY_PROBE_MS 500

/* Time after the end of an evacuation in which a heartbeat may still have been
   sent before it, by an upstream that did not know of the end.  */
#define EVACUATION_END_MARGIN_MS 100

/* Weight of the latest request in the moving average of the time that a
   request occupies a slot.  */
#define WORK_EWMA_PERCENT 5

/* Slots of an upstream up to which its agent estimates when each of them gets
   free.  At an upstream with more, one long request matters little.  */
#define SLOTS_ESTIMATED_MAX 16

/* A request comes within this many times the mean after its SYN, or its caller
   has given up or opened the flow at another upstream.  */
#define HANDSHAKE_MAX_FACTOR 3

/* Weight of the latest handshake in the mean, and the mean before the first.
 */
#define HANDSHAKE_EWMA 0.1
#define HANDSHAKE_DEFAULT_MS 10

enum flow_state
{
  FLOW_SYN_SENT,        /* The SYN was delivered to the upstream.  */
  FLOW_SYN_ANSWERED,    /* The upstream has sent a SYN+ACK; the caller may
                           still complete the handshake of another upstream
                           that got a copy of the SYN.  */
  FLOW_OPEN,            /* The handshake is complete.  */
  FLOW_PRESUMED_CLOSED, /* Not recorded, but an entry knows this agent as
                           the owner: most likely both ends have closed
                           it.  */
  FLOW_PROBING,         /* Not recorded; a segment was delivered to find out
                           whether the upstream owns the flow.  */
  FLOW_NOT_OWNED        /* The upstream has returned or reset a segment.  */
};

struct flow
{
  struct hs_segment_flow base;
  enum flow_state state;
  struct hs_addr entry; /* Entry that sent the latest segment.  */
  uint32_t syn_seq;
  uint32_t upstream_isn; /* Sequence number of the SYN+ACK.  */
  bool has_upstream_isn;
  uint32_t last_caller_ack;
  bool owes_lookup_answer;     /* FLOW_PROBING: the entry waits for one.  */
  bool is_recovered;           /* Was open before this agent started.  */
  bool has_caller_end;         /* CALLER_END is set.  */
  uint32_t caller_end;         /* Sequence number after the caller's payload
                                  so far.  */
  bool request_active;         /* A request is in progress.  */
  struct hs_list request_link; /* In active_requests, if REQUEST_ACTIVE.  */
  bool is_uncertain_request;   /* It may be a copy of an answered one.  */
  uint64_t request_started_at; /* ms  */
  uint32_t requests_at_start;  /* Requests in progress when it started,
                                  including it.  */
  bool has_slot;               /* The request occupies a slot.  */
  uint64_t slot_since;         /* ms, if HAS_SLOT.  */
  struct hs_list wait_link;    /* In waiting_requests, if REQUEST_ACTIVE and
                                  not HAS_SLOT.  */
  bool is_open;                /* Counted in open_flows of the sidecar.  */
  struct hs_list pending_link; /* In pending_syns of the sidecar.  */
  bool is_pending;             /* PENDING_LINK is in that list.  */
  uint64_t syn_at;             /* ms, if IS_PENDING.  */
  bool caller_closed;
  bool upstream_closed;
};

/* Expected time until each slot of the upstream is free, us.  */
struct slot_times
{
  uint32_t len;
  uint64_t until_free_us[SLOTS_ESTIMATED_MAX];
};

struct hs_sidecar
{
  char service_name[HS_NAME_SIZE];
  uint64_t service_id;
  struct hs_addr upstream;
  uint64_t heartbeat_ms;      /* Interval of the heartbeats.  */
  uint64_t started_at;        /* Wall clock of the agent's start, ms.  */
  uint64_t first_tick_at;     /* ms; 0: not yet.  */
  uint64_t flow_lifetime_ms;  /* Longest lifetime of a flow.  */
  uint64_t flow_idle_version; /* Version of the configuration that FLOW_IDLE_MS
                                 is from; 0: none yet.  */
  uint32_t flow_idle_ms;
  struct hs_sidecar_ops ops;
  void *ctx;
  struct hs_segment_flow_table *flows;
  bool is_draining; /* The agent stops.  */
  bool is_evacuated;
  struct hs_warm_up *warm_up; /* Counts the new flows.  */
  uint32_t cold_flow_rate;    /* Of the latest SYN.  */

  /* State of the upstream's present incarnation.  */
  enum hs_upstream_state state;
  struct hs_heartbeat last_heartbeat;
  uint64_t last_heard_at;   /* Time of last_heartbeat, ms.  */
  uint64_t cold_until;      /* End of the slow phase after a start, ms.  */
  bool is_assumed_cold;     /* An evacuation has ended, and no heartbeat has
                               told since whether the upstream is cold.  */
  uint64_t evacuated_until; /* ms, if IS_ASSUMED_COLD.  */
  uint64_t recovery_until;  /* End of the flow recovery, ms; 0: ended.  */
  uint64_t last_segment_at; /* Time of the upstream's last segment, ms.  */
  uint32_t initial_resets;  /* Resets before any other segment.  */
  bool sent_non_reset;      /* Some segment was not a reset.  */
  uint64_t syn_unanswered_since; /* First SYN after the upstream's last
                                    segment, ms; 0: none.  */
  bool rejects_syns;             /* The upstream has returned the latest SYN
                                    and sent no other segment or heartbeat
                                    since.  */
  uint32_t requests_in_progress;
  struct hs_list active_requests;  /* Flows with a request in progress, oldest
                                      request first.  */
  struct hs_list waiting_requests; /* Those of them whose request waits for a
                                      slot, oldest first.  */
  uint32_t slots_taken;            /* By the other ones.  */
  struct hs_list pending_syns; /* Flows whose first request is about to come,
                                  oldest first.  */
  uint32_t pending_syns_len;
  double abandoned_share; /* Of the SYNs, those whose request never came.  */
  double handshake_ms; /* Mean time from a SYN to its request; 0: not known. */
  uint32_t capacity; /* Requests that the upstream takes, queued ones included;
                        0: not known.  */
  uint64_t capacity_changed_at; /* ms  */
  uint32_t open_flows;
  uint32_t mean_work_us; /* Mean time that a request occupies a slot.  */
  struct hs_cost_model *costs;
};

/* Private functions.  */

static bool has_no_upstream (const struct hs_sidecar *sidecar);
static struct hs_sidecar_decision
handle_syn (struct hs_sidecar *sidecar, const struct hs_segment *segment,
            const struct hs_addr *entry, uint32_t wait_max_ms,
            uint32_t cold_flow_rate, uint64_t now);
static bool is_copy_of_syn (const struct flow *flow,
                            const struct hs_segment *segment);
static enum hs_reason check_syn (struct hs_sidecar *sidecar, bool is_copy,
                                 uint32_t wait_max_ms, uint32_t cold_flow_rate,
                                 uint64_t now);
static struct hs_sidecar_decision refuse_evacuated (const struct flow *flow,
                                                    bool is_copy);
static void begin_flow (struct hs_sidecar *sidecar, struct flow *flow);
static uint32_t cold_ms (const struct hs_sidecar *sidecar, uint64_t now);
static void expire_pending_syns (struct hs_sidecar *sidecar, uint64_t now);
static void learn_handshake (struct hs_sidecar *sidecar, uint64_t ms);
static void learn_abandoned (struct hs_sidecar *sidecar, bool abandoned);
static uint64_t pending_timeout_ms (const struct hs_sidecar *sidecar);
static uint64_t expected_requests (const struct hs_sidecar *sidecar);
static bool would_wait_too_long (struct hs_sidecar *sidecar,
                                 uint32_t wait_max_ms, uint64_t now);
static void set_syn_pending (struct hs_sidecar *sidecar, struct flow *flow,
                             bool pending, uint64_t now);
static bool is_rejection (const struct hs_sidecar *sidecar,
                          const struct flow *flow, uint64_t now);
static void lower_capacity (struct hs_sidecar *sidecar,
                            const struct flow *flow, uint64_t now);
static void raise_capacity (struct hs_sidecar *sidecar, uint64_t now);
static struct hs_sidecar_decision handle_unknown_flow (
    struct hs_sidecar *sidecar, const struct hs_segment *segment,
    const struct hs_addr *entry, bool owner_only, uint64_t now);
static struct hs_sidecar_decision
handle_known_flow (struct hs_sidecar *sidecar, struct flow *flow,
                   const struct hs_segment *segment,
                   const struct hs_addr *entry, bool owner_only, uint64_t now);
static struct hs_sidecar_decision
handle_returned_segment (struct hs_sidecar *sidecar,
                         const struct hs_segment *segment, uint64_t now);
static struct hs_sidecar_decision
mark_not_owned (struct hs_sidecar *sidecar, struct flow *flow, uint64_t now);
static struct hs_sidecar_decision
answer_not_owned (const struct hs_addr *entry);
static bool confirms_ownership (struct flow *flow,
                                const struct hs_segment *segment);
static struct hs_sidecar_decision decide (enum hs_sidecar_action action,
                                          enum hs_reason reason);
static void discard_flows (struct hs_sidecar *sidecar);
static void report_lost_flow (void *ctx, struct hs_segment_flow *base);
static void begin_incarnation (struct hs_sidecar *sidecar,
                               const struct hs_heartbeat *heartbeat,
                               uint64_t now);
static void track_upstream_segment (struct hs_sidecar *sidecar,
                                    struct flow *flow,
                                    const struct hs_segment *segment,
                                    uint64_t now);
static void update_mean_work (struct hs_sidecar *sidecar,
                              const struct flow *flow, uint64_t now);
static void add_cost_sample (struct hs_sidecar *sidecar,
                             const struct flow *flow, uint64_t now);
static uint64_t work_us_by_share (const struct hs_sidecar *sidecar,
                                  const struct flow *flow, uint64_t now);
static uint32_t slots_of (const struct hs_sidecar *sidecar);
static void assign_slots (struct hs_sidecar *sidecar, uint64_t now);
static uint32_t work_left_us (const struct hs_sidecar *sidecar, uint64_t now);
static uint64_t request_work_us (const struct hs_sidecar *sidecar,
                                 const struct flow *flow, uint64_t now);
static void add_pending_work (struct slot_times *times,
                              const struct hs_sidecar *sidecar, uint64_t now);
static uint64_t *first_free (struct slot_times *times);
static void add_to_first_free (struct slot_times *times, uint64_t work_us);
static uint32_t known_work_us (const struct hs_sidecar *sidecar);
static uint32_t expected_work_us (const struct hs_sidecar *sidecar,
                                  uint64_t now);
static void set_request_active (struct hs_sidecar *sidecar, struct flow *flow,
                                bool active);
static void begin_request (struct hs_sidecar *sidecar, struct flow *flow,
                           const struct hs_segment *segment, uint64_t now);
static void expire_requests (struct hs_sidecar *sidecar, uint64_t now);
static void set_flow_open (struct hs_sidecar *sidecar, struct flow *flow,
                           bool open);
static bool acks_other_handshake (const struct flow *flow,
                                  const struct hs_segment *segment);
static void track_close (struct hs_sidecar *sidecar, struct flow *flow,
                         const struct hs_segment *segment);
static void on_flow_removed (void *ctx, struct hs_segment_flow *base);
static bool is_syn_unanswered (const struct hs_sidecar *sidecar, uint64_t now);
static struct flow *find_or_add_flow (struct hs_sidecar *sidecar,
                                      const struct hs_segment_key *key,
                                      uint64_t now);

/* Public definitions.  */

struct hs_sidecar *
hs_sidecar_create (void *parent, const char *service,
                   const struct hs_addr *upstream, uint64_t heartbeat_ms,
                   uint64_t started_at, const struct hs_sidecar_ops *ops,
                   void *ctx)
{
  struct hs_sidecar *sidecar = talloc_zero (parent, struct hs_sidecar);

  g_strlcpy (sidecar->service_name, service, HS_NAME_SIZE);
  sidecar->service_id = hs_id_from_name (service);
  sidecar->upstream = *upstream;
  sidecar->heartbeat_ms = heartbeat_ms;
  sidecar->started_at = started_at;
  sidecar->recovery_until = UINT64_MAX;
  sidecar->flow_lifetime_ms = HS_FLOW_LIFETIME_DEFAULT_MS;
  sidecar->ops = *ops;
  sidecar->ctx = ctx;
  sidecar->warm_up = hs_warm_up_create (sidecar);
  hs_list_init (&sidecar->active_requests);
  hs_list_init (&sidecar->waiting_requests);
  hs_list_init (&sidecar->pending_syns);
  sidecar->costs = hs_cost_model_create (sidecar);
  sidecar->flows = hs_segment_flow_table_create (sidecar, sizeof (struct flow),
                                                 HS_SIDECAR_FLOWS_MAX,
                                                 on_flow_removed, sidecar);
  return sidecar;
}

void
hs_sidecar_destroy (struct hs_sidecar *sidecar)
{
  hs_segment_flow_table_clear (sidecar->flows);
  talloc_free (sidecar);
}

void
hs_sidecar_set_flow_lifetime (struct hs_sidecar *sidecar, uint64_t lifetime_ms)
{
  sidecar->flow_lifetime_ms = lifetime_ms;
}

void
hs_sidecar_set_flow_idle (struct hs_sidecar *sidecar, uint64_t version,
                          uint32_t flow_idle_ms)
{
  if (version < sidecar->flow_idle_version)
    return;
  sidecar->flow_idle_version = version;
  sidecar->flow_idle_ms = flow_idle_ms;
}

bool
hs_sidecar_handle_heartbeat (struct hs_sidecar *sidecar,
                             const struct hs_heartbeat *heartbeat,
                             uint64_t now, GError **error)
{
  if (strcmp (heartbeat->service_name, sidecar->service_name) != 0
      || !hs_addr_equal (&heartbeat->address, &sidecar->upstream)
      || (heartbeat->state != HS_UPSTREAM_READY
          && heartbeat->state != HS_UPSTREAM_DRAINING))
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "heartbeat of %s: expected the service and address of this "
                   "agent's upstream, and the state ready or draining",
                   heartbeat->id);
      return false;
    }
  if (sidecar->last_heartbeat.started_at > heartbeat->started_at)
    return true;
  if (sidecar->last_heartbeat.started_at < heartbeat->started_at)
    begin_incarnation (sidecar, heartbeat, now);
  else if (sidecar->last_heartbeat.seq >= heartbeat->seq)
    return true;
  sidecar->last_heartbeat = *heartbeat;
  sidecar->last_heard_at = now;
  sidecar->rejects_syns = false;
  sidecar->cold_until = now + heartbeat->cold_ms;
  if (now >= sidecar->evacuated_until + EVACUATION_END_MARGIN_MS)
    sidecar->is_assumed_cold = false;
  if (sidecar->state != HS_UPSTREAM_LEFT)
    sidecar->state = heartbeat->state;
  return true;
}

void
hs_sidecar_handle_upstream_leave (struct hs_sidecar *sidecar, const char *id)
{
  if (strcmp (sidecar->last_heartbeat.id, id) == 0)
    sidecar->state = HS_UPSTREAM_LEFT;
}

void
hs_sidecar_drain (struct hs_sidecar *sidecar)
{
  sidecar->is_draining = true;
}

void
hs_sidecar_set_evacuated (struct hs_sidecar *sidecar, bool evacuated,
                          uint64_t now)
{
  if (sidecar->is_evacuated && !evacuated)
    {
      sidecar->is_assumed_cold = true;
      sidecar->evacuated_until = now;
    }
  sidecar->is_evacuated = evacuated;
}

struct hs_sidecar_decision
hs_sidecar_handle_entry_segment (struct hs_sidecar *sidecar,
                                 const struct hs_segment *segment,
                                 const struct hs_addr *entry,
                                 uint64_t service_id, uint32_t wait_max_ms,
                                 uint32_t cold_flow_rate, bool owner_only,
                                 uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct flow *flow;

  if (hs_segment_is_syn (segment))
    {
      if (service_id == sidecar->service_id)
        return handle_syn (sidecar, segment, entry, wait_max_ms,
                           cold_flow_rate, now);
      return decide (HS_SIDECAR_REFUSE, HS_REASON_WRONG_SERVICE);
    }
  flow = hs_segment_flow_table_find (sidecar->flows, &key);
  if (flow == NULL)
    return handle_unknown_flow (sidecar, segment, entry, owner_only, now);
  if (flow->state == FLOW_NOT_OWNED
      && now - flow->base.last_active_at <= NOT_OWNED_TTL_MS)
    return answer_not_owned (entry);
  if ((flow->state == FLOW_PROBING || flow->state == FLOW_PRESUMED_CLOSED)
      && sidecar->recovery_until == 0 && owner_only)
    return answer_not_owned (entry);
  hs_segment_flow_table_touch (sidecar->flows, &flow->base, now);
  return handle_known_flow (sidecar, flow, segment, entry, owner_only, now);
}

enum hs_lookup_answer
hs_sidecar_lookup (const struct hs_sidecar *sidecar,
                   const struct hs_segment *segment, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  const struct flow *flow = hs_segment_flow_table_find (sidecar->flows, &key);
  bool is_recovering = sidecar->recovery_until != 0;

  if (flow == NULL)
    return is_recovering ? HS_LOOKUP_UNKNOWN : HS_LOOKUP_NOT_OWNED;
  if (flow->state != FLOW_SYN_SENT && acks_other_handshake (flow, segment))
    return HS_LOOKUP_NOT_OWNED;
  switch (flow->state)
    {
    case FLOW_OPEN:
      return HS_LOOKUP_OWNED;
    case FLOW_SYN_SENT:
    case FLOW_SYN_ANSWERED:
      return HS_LOOKUP_UNKNOWN;
    case FLOW_NOT_OWNED:
      if (now - flow->base.last_active_at <= NOT_OWNED_TTL_MS)
        return HS_LOOKUP_NOT_OWNED;
      break;
    case FLOW_PROBING:
    case FLOW_PRESUMED_CLOSED:
      break;
    }
  return is_recovering ? HS_LOOKUP_UNKNOWN : HS_LOOKUP_NOT_OWNED;
}

struct hs_sidecar_decision
hs_sidecar_handle_upstream_segment (struct hs_sidecar *sidecar,
                                    const struct hs_segment *segment,
                                    uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, false);
  struct hs_sidecar_decision decision
      = decide (HS_SIDECAR_TO_CALLER, HS_REASON_NONE);
  struct flow *flow;

  sidecar->last_segment_at = now;
  if ((segment->flags & HS_SEGMENT_RST) == 0)
    sidecar->sent_non_reset = true;
  else if (!sidecar->sent_non_reset)
    sidecar->initial_resets++;
  sidecar->syn_unanswered_since = 0;
  if ((segment->flags & HS_SEGMENT_RETURNED) != 0)
    return handle_returned_segment (sidecar, segment, now);
  if ((segment->flags & HS_SEGMENT_RST) == 0)
    sidecar->rejects_syns = false;
  flow = hs_segment_flow_table_find (sidecar->flows, &key);
  if (flow == NULL && sidecar->recovery_until == 0)
    return decision;
  if (flow != NULL && (segment->flags & HS_SEGMENT_RST) != 0
      && (flow->state == FLOW_PROBING || flow->state == FLOW_NOT_OWNED))
    return mark_not_owned (sidecar, flow, now);
  flow = find_or_add_flow (sidecar, &key, now);
  if (confirms_ownership (flow, segment))
    {
      decision.is_new_flow = true;
      decision.lookup_answer
          = flow->owes_lookup_answer ? HS_LOOKUP_OWNED : HS_LOOKUP_NONE;
      decision.entry = flow->entry;
      flow->owes_lookup_answer = false;
      flow->state = FLOW_OPEN;
      set_flow_open (sidecar, flow, true);
    }
  decision.starts_response = segment->payload_len > 0 && flow->request_active;
  decision.response_ms
      = decision.starts_response ? now - flow->request_started_at : 0;
  track_upstream_segment (sidecar, flow, segment, now);
  track_close (sidecar, flow, segment);
  return decision;
}

void
hs_sidecar_tick (struct hs_sidecar *sidecar, uint64_t now)
{
  uint64_t silence_ms = HEARTBEATS_MISSED_MAX * sidecar->heartbeat_ms;

  if (sidecar->first_tick_at == 0)
    sidecar->first_tick_at = now;
  if (sidecar->last_heartbeat.started_at == 0
      && now - sidecar->first_tick_at
             > FIRST_HEARTBEAT_INTERVALS * sidecar->heartbeat_ms)
    sidecar->recovery_until = 0;
  hs_segment_flow_table_expire (
      sidecar->flows,
      hs_flow_expiry_ms (sidecar->flow_idle_ms, sidecar->flow_lifetime_ms),
      now);
  expire_requests (sidecar, now);
  raise_capacity (sidecar, now);
  if (sidecar->recovery_until != 0 && now >= sidecar->recovery_until)
    sidecar->recovery_until = 0;
  if (sidecar->state != HS_UPSTREAM_READY)
    return;
  if (now - sidecar->last_heard_at > silence_ms
      || is_syn_unanswered (sidecar, now))
    sidecar->state = HS_UPSTREAM_UNKNOWN;
}

bool
hs_sidecar_accepts_flows (const struct hs_sidecar *sidecar)
{
  return sidecar->state == HS_UPSTREAM_READY && !sidecar->rejects_syns
         && !sidecar->is_draining && !sidecar->is_evacuated;
}

bool
hs_sidecar_has_idle_slot (struct hs_sidecar *sidecar, uint64_t now)
{
  expire_pending_syns (sidecar, now);
  return expected_requests (sidecar) <= hs_sidecar_slots (sidecar);
}

uint32_t
hs_sidecar_slots (const struct hs_sidecar *sidecar)
{
  uint32_t slots = sidecar->last_heartbeat.slots;

  return slots != 0 ? slots : HS_SLOTS_DEFAULT;
}

uint32_t
hs_sidecar_learned_work_us (const struct hs_sidecar *sidecar)
{
  static const struct hs_addr any_route;

  return sidecar->mean_work_us != 0
             ? hs_cost_model_expected_us (sidecar->costs, &any_route)
             : 0;
}

void
hs_sidecar_fill_load_report (const struct hs_sidecar *sidecar,
                             struct hs_load_report *report, uint64_t now)
{
  report->service_id = sidecar->service_id;
  report->state = HS_AGENT_UPSTREAM_SILENT;
  if (sidecar->state == HS_UPSTREAM_READY && !sidecar->rejects_syns)
    report->state = HS_AGENT_READY;
  if (sidecar->state == HS_UPSTREAM_DRAINING
      || (sidecar->is_draining && sidecar->state == HS_UPSTREAM_READY))
    report->state = HS_AGENT_DRAINING;
  report->slots = sidecar->last_heartbeat.slots;
  report->requests_in_progress = sidecar->requests_in_progress;
  report->open_flows = sidecar->open_flows;
  report->cold_ms = cold_ms (sidecar, now);
  report->cold_room
      = report->cold_ms > 0
            ? hs_warm_up_room (sidecar->warm_up, sidecar->cold_flow_rate, now)
            : HS_COLD_ROOM_UNLIMITED;
  report->mean_work_us = sidecar->mean_work_us;
  report->work_left_us = work_left_us (sidecar, now);
  report->no_upstream = has_no_upstream (sidecar);
}

/* Private definitions.  */

/* Returns whether no upstream is there that could own a flow: it has left with
   no flow open, has sent no heartbeat in time, or resets everything.  */
static bool
has_no_upstream (const struct hs_sidecar *sidecar)
{
  if (sidecar->last_heartbeat.started_at != 0)
    return sidecar->state == HS_UPSTREAM_LEFT && sidecar->open_flows == 0;
  return sidecar->recovery_until == 0
         || sidecar->initial_resets >= RESETS_NO_UPSTREAM;
}

static struct hs_sidecar_decision
handle_syn (struct hs_sidecar *sidecar, const struct hs_segment *segment,
            const struct hs_addr *entry, uint32_t wait_max_ms,
            uint32_t cold_flow_rate, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_sidecar_decision decision
      = decide (HS_SIDECAR_TO_UPSTREAM, HS_REASON_NONE);
  struct flow *flow = hs_segment_flow_table_find (sidecar->flows, &key);
  bool is_copy = flow != NULL && is_copy_of_syn (flow, segment);
  enum hs_reason reason;

  sidecar->cold_flow_rate = cold_flow_rate;
  if (sidecar->is_evacuated)
    return refuse_evacuated (flow, is_copy);
  reason = check_syn (sidecar, is_copy, wait_max_ms, cold_flow_rate, now);
  if (reason != HS_REASON_NONE)
    return decide (HS_SIDECAR_REFUSE, reason);
  flow = find_or_add_flow (sidecar, &key, now);
  if (flow->syn_seq != segment->seq || flow->state != FLOW_OPEN)
    begin_flow (sidecar, flow);
  if (!is_copy)
    {
      set_syn_pending (sidecar, flow, true, now);
      hs_warm_up_count_flow (sidecar->warm_up, now);
    }
  flow->syn_seq = segment->seq;
  flow->entry = *entry;
  if (sidecar->syn_unanswered_since == 0)
    sidecar->syn_unanswered_since = now;
  decision.is_new_flow = true;
  return decision;
}

/* Returns whether SEGMENT is a copy of the SYN of FLOW, which was accepted. */
static bool
is_copy_of_syn (const struct flow *flow, const struct hs_segment *segment)
{
  return flow->syn_seq == segment->seq
         && (flow->state == FLOW_SYN_SENT || flow->state == FLOW_SYN_ANSWERED
             || flow->state == FLOW_OPEN);
}

/* Returns the reason to refuse a SYN, or HS_REASON_NONE.  IS_COPY: of one that
   was accepted.  */
static enum hs_reason
check_syn (struct hs_sidecar *sidecar, bool is_copy, uint32_t wait_max_ms,
           uint32_t cold_flow_rate, uint64_t now)
{
  if (sidecar->is_draining || sidecar->state == HS_UPSTREAM_DRAINING
      || sidecar->state == HS_UPSTREAM_LEFT)
    return HS_REASON_DRAINING;
  if (sidecar->state == HS_UPSTREAM_UNKNOWN || sidecar->rejects_syns)
    return HS_REASON_NO_UPSTREAM;
  if (is_copy)
    return HS_REASON_NONE;
  if (would_wait_too_long (sidecar, wait_max_ms, now))
    return HS_REASON_OVERLOADED;
  if (cold_ms (sidecar, now) > 0
      && hs_warm_up_room (sidecar->warm_up, cold_flow_rate, now) == 0)
    return HS_REASON_WARMING_UP;
  return HS_REASON_NONE;
}

/* Decides on a SYN during an evacuation.  FLOW may be NULL.  A handshake that
   the upstream has answered continues, so that a refusal, by which the entry
   would send the SYN to another agent, is not sent.  */
static struct hs_sidecar_decision
refuse_evacuated (const struct flow *flow, bool is_copy)
{
  bool continues = is_copy && flow->state != FLOW_SYN_SENT;

  return decide (continues ? HS_SIDECAR_DROP : HS_SIDECAR_REFUSE,
                 HS_REASON_EVACUATED);
}

/* Forgets an earlier flow of the same addresses.  */
static void
begin_flow (struct hs_sidecar *sidecar, struct flow *flow)
{
  set_request_active (sidecar, flow, false);
  set_flow_open (sidecar, flow, false);
  flow->state = FLOW_SYN_SENT;
  flow->has_upstream_isn = false;
  flow->is_recovered = false;
  flow->has_caller_end = false;
  flow->caller_closed = false;
  flow->upstream_closed = false;
}

/* Returns the time left until the upstream is warm, 0 if it is.  As long as it
   is assumed to be cold, the next heartbeat is expected to tell.  */
static uint32_t
cold_ms (const struct hs_sidecar *sidecar, uint64_t now)
{
  if (sidecar->cold_until > now)
    return (uint32_t)(sidecar->cold_until - now);
  return sidecar->is_assumed_cold ? (uint32_t)sidecar->heartbeat_ms : 0;
}

static void
expire_pending_syns (struct hs_sidecar *sidecar, uint64_t now)
{
  HS_LIST_FOREACH (link, &sidecar->pending_syns)
    {
      struct flow *flow = HS_LIST_ENTRY (link, struct flow, pending_link);

      if (now - flow->syn_at <= pending_timeout_ms (sidecar))
        break;
      set_syn_pending (sidecar, flow, false, now);
      learn_abandoned (sidecar, true);
    }
}

static void
learn_handshake (struct hs_sidecar *sidecar, uint64_t ms)
{
  if (sidecar->handshake_ms <= 0)
    sidecar->handshake_ms = HANDSHAKE_DEFAULT_MS;
  sidecar->handshake_ms
      += HANDSHAKE_EWMA * ((double)ms - sidecar->handshake_ms);
}

static void
learn_abandoned (struct hs_sidecar *sidecar, bool abandoned)
{
  sidecar->abandoned_share
      += HANDSHAKE_EWMA * ((abandoned ? 1.0 : 0.0) - sidecar->abandoned_share);
}

/* Returns the time after a SYN within which its request counts as about to
   come.  */
static uint64_t
pending_timeout_ms (const struct hs_sidecar *sidecar)
{
  double mean_ms = sidecar->handshake_ms > 0 ? sidecar->handshake_ms
                                             : HANDSHAKE_DEFAULT_MS;
  uint64_t timeout_ms = (uint64_t)(HANDSHAKE_MAX_FACTOR * mean_ms);

  return CLAMP (timeout_ms, SYN_PENDING_MIN_MS, SYN_PENDING_MS);
}

/* Returns the requests in progress and those that are expected of the SYNs
   whose request has not come yet.  After an outage, many of these callers have
   given up.  */
static uint64_t
expected_requests (const struct hs_sidecar *sidecar)
{
  double about_to_come
      = sidecar->pending_syns_len * (1 - sidecar->abandoned_share);

  return sidecar->requests_in_progress + (uint64_t)(about_to_come + 0.5);
}

/* Returns whether the request of a new flow would wait for a slot for longer
   than WAIT_MAX_MS (0: no limit).  */
static bool
would_wait_too_long (struct hs_sidecar *sidecar, uint32_t wait_max_ms,
                     uint64_t now)
{
  uint32_t work_us = expected_work_us (sidecar, now);
  uint64_t requests;

  expire_pending_syns (sidecar, now);
  requests = expected_requests (sidecar) + 1;
  if (wait_max_ms == 0)
    return false;
  return (sidecar->capacity != 0 && requests > sidecar->capacity)
         || hs_overload_wait_us (requests, sidecar->last_heartbeat.slots,
                                 work_us)
                > (uint64_t)wait_max_ms * 1000;
}

/* Returns whether the upstream has answered the request of FLOW at NOW without
   running it, since its queue is full.  */
static bool
is_rejection (const struct hs_sidecar *sidecar, const struct flow *flow,
              uint64_t now)
{
  return sidecar->last_heartbeat.slots != 0 && !flow->is_uncertain_request
         && flow->requests_at_start > sidecar->last_heartbeat.slots + 1
         && now - flow->request_started_at <= REJECTION_MS;
}

static void
lower_capacity (struct hs_sidecar *sidecar, const struct flow *flow,
                uint64_t now)
{
  uint32_t taken = flow->requests_at_start - 1;

  if (sidecar->capacity == 0 || taken < sidecar->capacity)
    sidecar->capacity = taken;
  sidecar->capacity_changed_at = now;
}

/* The rejection may have had another cause, and the upstream may take more by
   now: it is tried out, one request more at a time.  */
static void
raise_capacity (struct hs_sidecar *sidecar, uint64_t now)
{
  if (sidecar->capacity == 0
      || now - sidecar->capacity_changed_at < CAPACITY_PROBE_MS)
    return;
  sidecar->capacity++;
  sidecar->capacity_changed_at = now;
}

static void
set_syn_pending (struct hs_sidecar *sidecar, struct flow *flow, bool pending,
                 uint64_t now)
{
  if (flow->is_pending)
    {
      hs_list_remove (&flow->pending_link);
      sidecar->pending_syns_len--;
    }
  flow->is_pending = pending;
  if (!pending)
    return;
  flow->syn_at = now;
  hs_list_append (&sidecar->pending_syns, &flow->pending_link);
  sidecar->pending_syns_len++;
}

static struct hs_sidecar_decision
handle_unknown_flow (struct hs_sidecar *sidecar,
                     const struct hs_segment *segment,
                     const struct hs_addr *entry, bool owner_only,
                     uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct flow *flow;

  if (sidecar->recovery_until == 0 && owner_only)
    return answer_not_owned (entry);
  flow = find_or_add_flow (sidecar, &key, now);
  flow->state
      = sidecar->recovery_until == 0 ? FLOW_PRESUMED_CLOSED : FLOW_PROBING;
  flow->owes_lookup_answer = owner_only;
  flow->is_recovered = true;
  flow->entry = *entry;
  if (segment->payload_len > 0)
    begin_request (sidecar, flow, segment, now);
  return decide (HS_SIDECAR_TO_UPSTREAM, HS_REASON_NONE);
}

static struct hs_sidecar_decision
handle_known_flow (struct hs_sidecar *sidecar, struct flow *flow,
                   const struct hs_segment *segment,
                   const struct hs_addr *entry, bool owner_only, uint64_t now)
{
  struct hs_sidecar_decision decision
      = decide (HS_SIDECAR_TO_UPSTREAM, HS_REASON_NONE);

  if (acks_other_handshake (flow, segment))
    return answer_not_owned (entry);
  if (flow->state == FLOW_NOT_OWNED)
    flow->state = FLOW_PROBING;
  if (flow->state == FLOW_SYN_ANSWERED)
    {
      flow->state = FLOW_OPEN;
      set_flow_open (sidecar, flow, true);
    }
  flow->entry = *entry;
  if (flow->state == FLOW_PROBING)
    flow->owes_lookup_answer = flow->owes_lookup_answer || owner_only;
  else
    decision.lookup_answer = owner_only ? HS_LOOKUP_OWNED : HS_LOOKUP_NONE;
  decision.entry = *entry;
  if ((segment->flags & HS_SEGMENT_ACK) != 0)
    flow->last_caller_ack = segment->ack;
  if (segment->payload_len > 0)
    begin_request (sidecar, flow, segment, now);
  track_close (sidecar, flow, segment);
  return decision;
}

/* Handles a caller's segment that the upstream returns: it does not own the
   flow, or cannot accept the SYN.  */
static struct hs_sidecar_decision
handle_returned_segment (struct hs_sidecar *sidecar,
                         const struct hs_segment *segment, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct flow *flow = hs_segment_flow_table_find (sidecar->flows, &key);
  struct hs_sidecar_decision refusal
      = decide (HS_SIDECAR_REFUSE, HS_REASON_SHED);
  struct hs_sidecar_decision decision;
  bool was_open;

  if (flow == NULL)
    return decide (HS_SIDECAR_DROP, HS_REASON_WRONG_HOST);
  if (hs_segment_is_syn (segment))
    {
      /* An upstream that is only full still answers on its open flows, which
         clears rejects_syns again; a crashed one answers nothing.  */
      sidecar->rejects_syns = true;
      refusal.entry = flow->entry;
      hs_segment_flow_table_remove (sidecar->flows, &flow->base);
      return refusal;
    }
  was_open = flow->state == FLOW_OPEN;
  decision = mark_not_owned (sidecar, flow, now);
  /* The upstream owned the flow and no longer does.  Only the caller does not
     know that yet, so it is reset.  */
  if (was_open)
    decision.action = HS_SIDECAR_RESET;
  return decision;
}

/* Records that the upstream does not own FLOW.  When the upstream was only
   probed, its reset must not reach the caller: another upstream may own the
   flow.  */
static struct hs_sidecar_decision
mark_not_owned (struct hs_sidecar *sidecar, struct flow *flow, uint64_t now)
{
  struct hs_sidecar_decision decision = answer_not_owned (&flow->entry);

  flow->owes_lookup_answer = false;
  set_request_active (sidecar, flow, false);
  set_flow_open (sidecar, flow, false);
  hs_segment_flow_table_touch (sidecar->flows, &flow->base, now);
  flow->state = FLOW_NOT_OWNED;
  return decision;
}

/* Returns the decision to drop the segment and to answer ENTRY that the flow
   is not owned here, so that it looks for the owner elsewhere.  */
static struct hs_sidecar_decision
answer_not_owned (const struct hs_addr *entry)
{
  struct hs_sidecar_decision decision
      = decide (HS_SIDECAR_DROP, HS_REASON_WRONG_HOST);

  decision.lookup_answer = HS_LOOKUP_NOT_OWNED;
  decision.entry = *entry;
  return decision;
}

static struct hs_sidecar_decision
decide (enum hs_sidecar_action action, enum hs_reason reason)
{
  return (struct hs_sidecar_decision){ .action = action, .reason = reason };
}

/* The flows of the upstream's earlier incarnation ended with it.  */
static void
begin_incarnation (struct hs_sidecar *sidecar,
                   const struct hs_heartbeat *heartbeat, uint64_t now)
{
  bool is_first = sidecar->last_heartbeat.started_at == 0;
  uint64_t start = sidecar->first_tick_at != 0 ? sidecar->first_tick_at : now;

  sidecar->state = HS_UPSTREAM_UNKNOWN;
  sidecar->recovery_until = 0;
  sidecar->capacity = 0;
  if (!is_first)
    discard_flows (sidecar);
  else if (heartbeat->started_at + SIMULTANEOUS_START_MS < sidecar->started_at)
    {
      sidecar->recovery_until
          = now + sidecar->flow_lifetime_ms + FLOW_RECOVERY_MARGIN_MS;
      /* An earlier process of the agent may have filled it just before.  */
      hs_warm_up_fill (sidecar->warm_up, start);
    }
}

static void
discard_flows (struct hs_sidecar *sidecar)
{
  hs_segment_flow_table_foreach (sidecar->flows, report_lost_flow, sidecar);
  hs_segment_flow_table_clear (sidecar->flows);
}

static void
report_lost_flow (void *ctx, struct hs_segment_flow *base)
{
  struct hs_sidecar *sidecar = ctx;
  const struct flow *flow = (struct flow *)base;
  struct hs_segment segment = { .from = base->key.caller,
                                .to = base->key.address,
                                .flags = HS_SEGMENT_ACK,
                                .ack = flow->last_caller_ack };

  if (flow->is_open)
    sidecar->ops.flow_lost (sidecar->ctx, &segment);
}

static void
track_upstream_segment (struct hs_sidecar *sidecar, struct flow *flow,
                        const struct hs_segment *segment, uint64_t now)
{
  unsigned int syn_ack = HS_SEGMENT_SYN | HS_SEGMENT_ACK;

  if ((segment->flags & syn_ack) == syn_ack)
    {
      flow->upstream_isn = segment->seq;
      flow->has_upstream_isn = true;
    }
  if (segment->payload_len > 0 && flow->request_active)
    {
      if (is_rejection (sidecar, flow, now))
        lower_capacity (sidecar, flow, now);
      else if (!flow->is_uncertain_request)
        {
          update_mean_work (sidecar, flow, now);
          add_cost_sample (sidecar, flow, now);
        }
    }
  if (segment->payload_len > 0)
    set_request_active (sidecar, flow, false);
  assign_slots (sidecar, now);
}

/* Updates the moving average.  */
static void
update_mean_work (struct hs_sidecar *sidecar, const struct flow *flow,
                  uint64_t now)
{
  uint64_t work_us = work_us_by_share (sidecar, flow, now);

  if (sidecar->mean_work_us == 0)
    sidecar->mean_work_us = (uint32_t)work_us;
  sidecar->mean_work_us
      = (uint32_t)(((100 - WORK_EWMA_PERCENT) * (uint64_t)sidecar->mean_work_us
                    + WORK_EWMA_PERCENT * work_us)
                   / 100);
}

/* A request that is answered while it counts as waiting has shown that the
   upstream does not serve its queue in order, or has more slots than is
   known.  */
static void
add_cost_sample (struct hs_sidecar *sidecar, const struct flow *flow,
                 uint64_t now)
{
  uint64_t work_us = flow->has_slot ? (now - flow->slot_since) * 1000
                                    : work_us_by_share (sidecar, flow, now);

  hs_cost_model_add_sample (sidecar->costs, &flow->base.key.address, work_us);
}

/* Returns the time that the request of FLOW has had of a slot.  A request that
   started when more requests than slots were in progress had only a share of a
   slot, so its duration is scaled by slots / requests.  */
static uint64_t
work_us_by_share (const struct hs_sidecar *sidecar, const struct flow *flow,
                  uint64_t now)
{
  uint32_t slots = slots_of (sidecar);
  uint32_t requests
      = flow->requests_at_start > slots ? flow->requests_at_start : slots;

  return (now - flow->request_started_at) * 1000 * slots / requests;
}

static uint32_t
slots_of (const struct hs_sidecar *sidecar)
{
  return sidecar->last_heartbeat.slots != 0 ? sidecar->last_heartbeat.slots
                                            : HS_SLOTS_DEFAULT;
}

/* Gives free slots to the requests that have waited longest, as the upstream
   does.  */
static void
assign_slots (struct hs_sidecar *sidecar, uint64_t now)
{
  while (sidecar->slots_taken < slots_of (sidecar)
         && !hs_list_is_empty (&sidecar->waiting_requests))
    {
      struct flow *flow = HS_LIST_ENTRY (
          hs_list_pop (&sidecar->waiting_requests), struct flow, wait_link);

      flow->has_slot = true;
      flow->slot_since = now;
      sidecar->slots_taken++;
    }
}

/* Returns the expected time in slots that the upstream still needs for the
   requests in progress and those about to come.  A slot that one long request
   keeps busy while others get free delays a new request only by what it could
   take over from them: it counts no longer than until a new request would have
   ended in another slot.  */
static uint32_t
work_left_us (const struct hs_sidecar *sidecar, uint64_t now)
{
  uint32_t slots = slots_of (sidecar);
  struct slot_times times
      = { .len = slots <= SLOTS_ESTIMATED_MAX ? slots : 1 };
  uint64_t limit_us, sum_us = 0;

  HS_LIST_FOREACH (link, &sidecar->active_requests)
    add_to_first_free (
        &times,
        request_work_us (
            sidecar, HS_LIST_ENTRY (link, struct flow, request_link), now));
  add_pending_work (&times, sidecar, now);
  limit_us = *first_free (&times) + known_work_us (sidecar);
  for (uint32_t i = 0; i < times.len; i++)
    sum_us += MIN (times.until_free_us[i], limit_us);
  return (uint32_t)MIN (sum_us, UINT32_MAX);
}

static uint64_t *
first_free (struct slot_times *times)
{
  uint64_t *first = &times->until_free_us[0];

  for (uint32_t i = 1; i < times->len; i++)
    if (times->until_free_us[i] < *first)
      first = &times->until_free_us[i];
  return first;
}

static void
add_to_first_free (struct slot_times *times, uint64_t work_us)
{
  *first_free (times) += work_us;
}

/* Returns the expected time of a request in a slot, in microseconds.  */
static uint32_t
expected_work_us (const struct hs_sidecar *sidecar, uint64_t now)
{
  uint32_t work_us = known_work_us (sidecar);

  return cold_ms (sidecar, now) > 0 ? work_us * HS_COLD_WORK_PERCENT / 100
                                    : work_us;
}

static uint32_t
known_work_us (const struct hs_sidecar *sidecar)
{
  return sidecar->mean_work_us != 0 ? sidecar->mean_work_us
                                    : HS_WORK_DEFAULT_US;
}

static uint64_t
request_work_us (const struct hs_sidecar *sidecar, const struct flow *flow,
                 uint64_t now)
{
  const struct hs_addr *address = &flow->base.key.address;

  if (!flow->has_slot)
    return hs_cost_model_expected_us (sidecar->costs, address);
  return hs_cost_model_remaining_us (
      sidecar->costs, address,
      now > flow->slot_since ? (now - flow->slot_since) * 1000 : 0);
}

static void
add_pending_work (struct slot_times *times, const struct hs_sidecar *sidecar,
                  uint64_t now)
{
  HS_LIST_FOREACH (link, &sidecar->pending_syns)
    {
      const struct flow *flow
          = HS_LIST_ENTRY (link, struct flow, pending_link);

      if (now <= flow->syn_at + pending_timeout_ms (sidecar))
        add_to_first_free (
            times, hs_cost_model_expected_us (sidecar->costs,
                                              &flow->base.key.address));
    }
}

/* Returns whether SEGMENT of the upstream is the first that shows that the
   upstream owns FLOW.  A SYN+ACK alone does not: it moves the flow to
   FLOW_SYN_ANSWERED.  */
static bool
confirms_ownership (struct flow *flow, const struct hs_segment *segment)
{
  bool answers_syn = (segment->flags & HS_SEGMENT_SYN) != 0;

  switch (flow->state)
    {
    case FLOW_SYN_SENT:
      if (answers_syn)
        flow->state = FLOW_SYN_ANSWERED;
      return !answers_syn;
    case FLOW_SYN_ANSWERED:
      return !answers_syn;
    case FLOW_PRESUMED_CLOSED:
      return segment->payload_len > 0;
    case FLOW_OPEN:
      return false;
    case FLOW_PROBING:
    case FLOW_NOT_OWNED:
      return true;
    }
  return false;
}

/* Returns whether SEGMENT of the caller acknowledges the handshake of another
   upstream.  Two upstreams may answer copies of one SYN, and the caller
   completes one handshake only.  Until it has completed that of this upstream,
   which then has sent nothing but its SYN+ACK, it can acknowledge nothing else
   of it.  */
static bool
acks_other_handshake (const struct flow *flow,
                      const struct hs_segment *segment)
{
  if ((segment->flags & HS_SEGMENT_ACK) == 0)
    return false;
  switch (flow->state)
    {
    case FLOW_SYN_SENT:
      return true;
    case FLOW_SYN_ANSWERED:
      return segment->ack != flow->upstream_isn + 1;
    case FLOW_OPEN:
    case FLOW_PRESUMED_CLOSED:
    case FLOW_PROBING:
    case FLOW_NOT_OWNED:
      break;
    }
  return flow->has_upstream_isn
         && segment->ack - flow->upstream_isn >= HS_SEQUENCE_WINDOW;
}

/* Removes a flow that was reset or that both ends have closed.  Segments that
   still come are delivered, and the upstream answers them.  */
static void
track_close (struct hs_sidecar *sidecar, struct flow *flow,
             const struct hs_segment *segment)
{
  bool from_caller = hs_addr_equal (&segment->from, &flow->base.key.caller);

  if ((segment->flags & HS_SEGMENT_FIN) != 0 && from_caller)
    flow->caller_closed = true;
  if ((segment->flags & HS_SEGMENT_FIN) != 0 && !from_caller)
    flow->upstream_closed = true;
  if ((segment->flags & HS_SEGMENT_RST) != 0
      || (flow->caller_closed && flow->upstream_closed))
    hs_segment_flow_table_remove (sidecar->flows, &flow->base);
}

static void
set_request_active (struct hs_sidecar *sidecar, struct flow *flow, bool active)
{
  if (flow->request_active == active)
    return;
  flow->request_active = active;
  sidecar->requests_in_progress += active ? 1 : (uint32_t)-1;
  if (active)
    {
      hs_list_append (&sidecar->active_requests, &flow->request_link);
      hs_list_append (&sidecar->waiting_requests, &flow->wait_link);
      return;
    }
  hs_list_remove (&flow->request_link);
  if (flow->has_slot)
    sidecar->slots_taken--;
  else
    hs_list_remove (&flow->wait_link);
  flow->has_slot = false;
}

/* SEGMENT of the caller has payload.  It begins a request unless one is in
   progress or all of its payload was seen before.  */
static void
begin_request (struct hs_sidecar *sidecar, struct flow *flow,
               const struct hs_segment *segment, uint64_t now)
{
  uint32_t end = segment->seq + segment->payload_len;
  bool is_copy
      = flow->has_caller_end && (int32_t)(end - flow->caller_end) <= 0;
  bool is_uncertain = flow->is_recovered && !flow->has_caller_end;

  if (is_copy)
    return;
  flow->has_caller_end = true;
  flow->caller_end = end;
  if (flow->request_active)
    return;
  if (flow->is_pending)
    {
      learn_handshake (sidecar, now - flow->syn_at);
      learn_abandoned (sidecar, false);
    }
  set_syn_pending (sidecar, flow, false, now);
  set_request_active (sidecar, flow, true);
  flow->is_uncertain_request = is_uncertain;
  flow->request_started_at = now;
  flow->requests_at_start = sidecar->requests_in_progress;
  assign_slots (sidecar, now);
}

static void
expire_requests (struct hs_sidecar *sidecar, uint64_t now)
{
  HS_LIST_FOREACH (link, &sidecar->active_requests)
    {
      struct flow *flow = HS_LIST_ENTRY (link, struct flow, request_link);
      uint64_t timeout_ms = flow->is_uncertain_request
                                ? UNCERTAIN_REQUEST_TIMEOUT_MS
                                : REQUEST_TIMEOUT_MS;

      if (now - flow->request_started_at > timeout_ms)
        set_request_active (sidecar, flow, false);
    }
  assign_slots (sidecar, now);
}

static void
set_flow_open (struct hs_sidecar *sidecar, struct flow *flow, bool open)
{
  if (flow->is_open == open)
    return;
  flow->is_open = open;
  sidecar->open_flows += open ? 1 : (uint32_t)-1;
}

static void
on_flow_removed (void *ctx, struct hs_segment_flow *base)
{
  set_syn_pending (ctx, (struct flow *)base, false, 0);
  set_request_active (ctx, (struct flow *)base, false);
  set_flow_open (ctx, (struct flow *)base, false);
}

static bool
is_syn_unanswered (const struct hs_sidecar *sidecar, uint64_t now)
{
  return sidecar->syn_unanswered_since != 0
         && now - sidecar->syn_unanswered_since > SYN_TIMEOUT_MS;
}

static struct flow *
find_or_add_flow (struct hs_sidecar *sidecar, const struct hs_segment_key *key,
                  uint64_t now)
{
  struct flow *flow = hs_segment_flow_table_find (sidecar->flows, key);

  if (flow == NULL)
    return hs_segment_flow_table_add (sidecar->flows, key, now);
  hs_segment_flow_table_touch (sidecar->flows, &flow->base, now);
  return flow;
}
