/* sidecar.c -- decides what an agent does with the segments of its upstream's
   flows.

   Only the upstream knows for certain which flows it owns: it returns the
   segments of all others.  An agent that starts later than its upstream has no
   record of the flows that the upstream already owns.  During the flow
   recovery, which lasts as long as any of these flows may still be open, the
   agent delivers segments of flows that it does not know and records a flow
   when the upstream answers.

   An agent learns the idle timeout from entries, and may learn it late or from
   an entry with an older configuration.  A flow that is silent for longer is
   therefore dormant, not removed: it no longer counts as load, and its next
   segment is still delivered.  Flows are removed after their longest lifetime,
   which no configuration changes.

   A request is in progress from the first payload of the caller until the
   first payload of the upstream; the payload itself is not parsed.  */

#include "segment/sidecar_state.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Time for which a flow counts as not owned after the upstream has returned or
   reset a segment of it; no segment is delivered to probe it again until
   then.  */
#define NOT_OWNED_TTL_MS 1500

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

/* Private functions.  */

static bool has_no_upstream (const struct hs_sidecar *sidecar);
static struct hs_sidecar_decision
handle_syn (struct hs_sidecar *sidecar, const struct hs_segment *segment,
            const struct hs_addr *entry, uint32_t wait_max_ms,
            uint32_t cold_flow_rate, uint64_t now);
static bool is_copy_of_syn (const struct hs_sidecar_flow *flow,
                            const struct hs_segment *segment);
static enum hs_reason check_syn (struct hs_sidecar *sidecar, bool is_copy,
                                 uint32_t wait_max_ms, uint32_t cold_flow_rate,
                                 uint64_t now);
static struct hs_sidecar_decision
refuse_evacuated (const struct hs_sidecar_flow *flow, bool is_copy);
static void begin_flow (struct hs_sidecar *sidecar,
                        struct hs_sidecar_flow *flow);
static struct hs_sidecar_decision handle_unknown_flow (
    struct hs_sidecar *sidecar, const struct hs_segment *segment,
    const struct hs_addr *entry, bool owner_only, uint64_t now);
static struct hs_sidecar_decision
handle_known_flow (struct hs_sidecar *sidecar, struct hs_sidecar_flow *flow,
                   const struct hs_segment *segment,
                   const struct hs_addr *entry, bool owner_only, uint64_t now);
static struct hs_sidecar_decision
handle_returned_segment (struct hs_sidecar *sidecar,
                         const struct hs_segment *segment, uint64_t now);
static struct hs_sidecar_decision mark_not_owned (struct hs_sidecar *sidecar,
                                                  struct hs_sidecar_flow *flow,
                                                  uint64_t now);
static struct hs_sidecar_decision
answer_not_owned (const struct hs_addr *entry);
static bool confirms_ownership (struct hs_sidecar_flow *flow,
                                const struct hs_segment *segment);
static struct hs_sidecar_decision decide (enum hs_sidecar_action action,
                                          enum hs_reason reason);
static void track_upstream_segment (struct hs_sidecar *sidecar,
                                    struct hs_sidecar_flow *flow,
                                    const struct hs_segment *segment,
                                    uint64_t now);
static void track_upstream_sequence (struct hs_sidecar_flow *flow,
                                     const struct hs_segment *segment);
static void set_flow_open (struct hs_sidecar *sidecar,
                           struct hs_sidecar_flow *flow, bool open);
static void set_flow_dormant (struct hs_sidecar *sidecar,
                              struct hs_sidecar_flow *flow, bool dormant);
static void mark_dormant (void *ctx, struct hs_segment_flow *base);
static void touch_flow (struct hs_sidecar *sidecar,
                        struct hs_sidecar_flow *flow, uint64_t now);
static bool acks_other_handshake (const struct hs_sidecar_flow *flow,
                                  const struct hs_segment *segment);
static void track_close (struct hs_sidecar *sidecar,
                         struct hs_sidecar_flow *flow,
                         const struct hs_segment *segment);
static void on_flow_removed (void *ctx, struct hs_segment_flow *base);
static bool is_syn_unanswered (const struct hs_sidecar *sidecar, uint64_t now);
static struct hs_sidecar_flow *
find_or_add_flow (struct hs_sidecar *sidecar, const struct hs_segment_key *key,
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
  sidecar->flows = hs_segment_flow_table_create (
      sidecar, sizeof (struct hs_sidecar_flow), HS_SIDECAR_FLOWS_MAX,
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
hs_sidecar_set_flow_idle (struct hs_sidecar *sidecar, uint64_t generation,
                          uint32_t flow_idle_ms)
{
  if (generation < sidecar->flow_idle_generation)
    return;
  sidecar->flow_idle_generation = generation;
  sidecar->flow_idle_ms = flow_idle_ms;
}

uint32_t
hs_sidecar_flow_idle_ms (const struct hs_sidecar *sidecar)
{
  return sidecar->flow_idle_ms;
}

uint32_t
hs_sidecar_dormant_flows (const struct hs_sidecar *sidecar)
{
  return sidecar->dormant_flows;
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
  struct hs_sidecar_flow *flow;

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
  touch_flow (sidecar, flow, now);
  return handle_known_flow (sidecar, flow, segment, entry, owner_only, now);
}

enum hs_lookup_answer
hs_sidecar_lookup (const struct hs_sidecar *sidecar,
                   const struct hs_segment *segment, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  const struct hs_sidecar_flow *flow
      = hs_segment_flow_table_find (sidecar->flows, &key);
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
  struct hs_sidecar_flow *flow;

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
  if ((segment->flags & HS_SEGMENT_RST) == 0)
    hs_sidecar_note_answer (sidecar, flow, now);
  if (confirms_ownership (flow, segment))
    {
      decision.is_new_flow = true;
      decision.lookup_answer
          = flow->owes_lookup_answer ? HS_LOOKUP_OWNED : HS_LOOKUP_NONE;
      decision.entry = flow->entry;
      flow->owes_lookup_answer = false;
      flow->state = FLOW_OPEN;
      set_flow_open (sidecar, flow, true);
      flow->opened_at = now;
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
  uint64_t silence_ms = HS_HEARTBEATS_MISSED_MAX * sidecar->heartbeat_ms;

  if (sidecar->first_tick_at == 0)
    sidecar->first_tick_at = now;
  if (sidecar->last_heartbeat.started_at == 0
      && now - sidecar->first_tick_at
             > FIRST_HEARTBEAT_INTERVALS * sidecar->heartbeat_ms)
    sidecar->recovery_until = 0;
  hs_segment_flow_table_expire (
      sidecar->flows, hs_flow_expiry_ms (0, sidecar->flow_lifetime_ms), now);
  hs_segment_flow_table_foreach_idle (
      sidecar->flows,
      hs_flow_expiry_ms (sidecar->flow_idle_ms, sidecar->flow_lifetime_ms),
      now, mark_dormant, sidecar);
  hs_sidecar_expire_requests (sidecar, now);
  hs_sidecar_raise_capacity (sidecar, now);
  if (sidecar->recovery_until != 0 && now >= sidecar->recovery_until)
    sidecar->recovery_until = 0;
  hs_sidecar_check_claim (sidecar, now);
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
  report->open_flows = sidecar->open_flows - sidecar->dormant_flows;
  report->cold_ms = hs_sidecar_cold_ms (sidecar, now);
  report->cold_room
      = report->cold_ms > 0
            ? hs_warm_up_room (sidecar->warm_up, sidecar->cold_flow_rate, now)
            : HS_COLD_ROOM_UNLIMITED;
  report->mean_work_us = sidecar->mean_work_us;
  report->work_left_us = hs_sidecar_work_left_us (sidecar, now);
  report->no_upstream = has_no_upstream (sidecar);
}

uint32_t
hs_sidecar_cold_ms (const struct hs_sidecar *sidecar, uint64_t now)
{
  if (sidecar->cold_until > now)
    return (uint32_t)(sidecar->cold_until - now);
  return sidecar->is_assumed_cold ? (uint32_t)sidecar->heartbeat_ms : 0;
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
  struct hs_sidecar_flow *flow
      = hs_segment_flow_table_find (sidecar->flows, &key);
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
      hs_sidecar_set_syn_pending (sidecar, flow, true, now);
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
is_copy_of_syn (const struct hs_sidecar_flow *flow,
                const struct hs_segment *segment)
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
  if (hs_sidecar_would_wait_too_long (sidecar, wait_max_ms, now))
    return HS_REASON_OVERLOADED;
  if (hs_sidecar_cold_ms (sidecar, now) > 0
      && hs_warm_up_room (sidecar->warm_up, cold_flow_rate, now) == 0)
    return HS_REASON_WARMING_UP;
  return HS_REASON_NONE;
}

/* Decides on a SYN during an evacuation.  FLOW may be NULL.  A handshake that
   the upstream has answered continues, so that a refusal, by which the entry
   would send the SYN to another agent, is not sent.  */
static struct hs_sidecar_decision
refuse_evacuated (const struct hs_sidecar_flow *flow, bool is_copy)
{
  bool continues = is_copy && flow->state != FLOW_SYN_SENT;

  return decide (continues ? HS_SIDECAR_DROP : HS_SIDECAR_REFUSE,
                 HS_REASON_EVACUATED);
}

/* Forgets an earlier flow of the same addresses.  */
static void
begin_flow (struct hs_sidecar *sidecar, struct hs_sidecar_flow *flow)
{
  hs_sidecar_set_request_active (sidecar, flow, false);
  set_flow_open (sidecar, flow, false);
  flow->state = FLOW_SYN_SENT;
  flow->has_upstream_isn = false;
  flow->is_recovered = false;
  flow->has_caller_end = false;
  flow->caller_closed = false;
  flow->upstream_closed = false;
}

static struct hs_sidecar_decision
handle_unknown_flow (struct hs_sidecar *sidecar,
                     const struct hs_segment *segment,
                     const struct hs_addr *entry, bool owner_only,
                     uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_sidecar_flow *flow;

  if (sidecar->recovery_until == 0 && owner_only)
    return answer_not_owned (entry);
  flow = find_or_add_flow (sidecar, &key, now);
  flow->state
      = sidecar->recovery_until == 0 ? FLOW_PRESUMED_CLOSED : FLOW_PROBING;
  flow->owes_lookup_answer = owner_only;
  flow->is_recovered = true;
  flow->entry = *entry;
  if (segment->payload_len > 0)
    hs_sidecar_begin_request (sidecar, flow, segment, now);
  return decide (HS_SIDECAR_TO_UPSTREAM, HS_REASON_NONE);
}

static struct hs_sidecar_decision
handle_known_flow (struct hs_sidecar *sidecar, struct hs_sidecar_flow *flow,
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
      flow->opened_at = now;
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
    hs_sidecar_begin_request (sidecar, flow, segment, now);
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
  struct hs_sidecar_flow *flow
      = hs_segment_flow_table_find (sidecar->flows, &key);
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
  if (was_open)
    hs_sidecar_note_lost_flow (sidecar);
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
mark_not_owned (struct hs_sidecar *sidecar, struct hs_sidecar_flow *flow,
                uint64_t now)
{
  struct hs_sidecar_decision decision = answer_not_owned (&flow->entry);

  flow->owes_lookup_answer = false;
  hs_sidecar_set_request_active (sidecar, flow, false);
  set_flow_open (sidecar, flow, false);
  touch_flow (sidecar, flow, now);
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

static void
track_upstream_segment (struct hs_sidecar *sidecar,
                        struct hs_sidecar_flow *flow,
                        const struct hs_segment *segment, uint64_t now)
{
  track_upstream_sequence (flow, segment);
  if (segment->payload_len > 0)
    hs_sidecar_end_request (sidecar, flow, now);
  hs_sidecar_assign_slots (sidecar, now);
}

static void
track_upstream_sequence (struct hs_sidecar_flow *flow,
                         const struct hs_segment *segment)
{
  unsigned int syn_ack = HS_SEGMENT_SYN | HS_SEGMENT_ACK;
  uint32_t end = segment->seq + segment->payload_len;

  if ((segment->flags & HS_SEGMENT_RST) != 0)
    return;
  end += (segment->flags & HS_SEGMENT_SYN) != 0;
  end += (segment->flags & HS_SEGMENT_FIN) != 0;
  if ((segment->flags & syn_ack) == syn_ack)
    {
      flow->upstream_isn = segment->seq;
      if (!flow->has_upstream_isn)
        flow->upstream_end = end;
      flow->has_upstream_isn = true;
    }
  /* A segment far away is a late one of an earlier flow.  */
  if (end - flow->upstream_end < HS_SEQUENCE_WINDOW)
    flow->upstream_end = end;
}

/* Returns whether SEGMENT of the upstream is the first that shows that the
   upstream owns FLOW.  A SYN+ACK alone does not: it moves the flow to
   FLOW_SYN_ANSWERED.  */
static bool
confirms_ownership (struct hs_sidecar_flow *flow,
                    const struct hs_segment *segment)
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
   of it.  Afterwards it acknowledges what the upstream has sent last, however
   much that is in all; anything else belongs to a later flow from the same
   port.  */
static bool
acks_other_handshake (const struct hs_sidecar_flow *flow,
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
         && segment->ack - flow->upstream_end + HS_SEQUENCE_WINDOW
                >= 2 * HS_SEQUENCE_WINDOW;
}

/* Removes a flow that was reset or that both ends have closed.  Segments that
   still come are delivered, and the upstream answers them.  */
static void
track_close (struct hs_sidecar *sidecar, struct hs_sidecar_flow *flow,
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
set_flow_open (struct hs_sidecar *sidecar, struct hs_sidecar_flow *flow,
               bool open)
{
  if (flow->is_open == open)
    return;
  set_flow_dormant (sidecar, flow, false);
  flow->is_open = open;
  sidecar->open_flows += open ? 1 : (uint32_t)-1;
}

static void
set_flow_dormant (struct hs_sidecar *sidecar, struct hs_sidecar_flow *flow,
                  bool dormant)
{
  if (flow->is_dormant == dormant)
    return;
  flow->is_dormant = dormant;
  sidecar->dormant_flows += dormant ? 1 : (uint32_t)-1;
}

static void
mark_dormant (void *ctx, struct hs_segment_flow *base)
{
  struct hs_sidecar_flow *flow = (struct hs_sidecar_flow *)base;

  if (flow->is_open)
    set_flow_dormant (ctx, flow, true);
}

static void
touch_flow (struct hs_sidecar *sidecar, struct hs_sidecar_flow *flow,
            uint64_t now)
{
  hs_segment_flow_table_touch (sidecar->flows, &flow->base, now);
  set_flow_dormant (sidecar, flow, false);
}

static void
on_flow_removed (void *ctx, struct hs_segment_flow *base)
{
  hs_sidecar_set_syn_pending (ctx, (struct hs_sidecar_flow *)base, false, 0);
  hs_sidecar_set_request_active (ctx, (struct hs_sidecar_flow *)base, false);
  set_flow_open (ctx, (struct hs_sidecar_flow *)base, false);
}

static bool
is_syn_unanswered (const struct hs_sidecar *sidecar, uint64_t now)
{
  return sidecar->syn_unanswered_since != 0
         && now - sidecar->syn_unanswered_since > SYN_TIMEOUT_MS;
}

static struct hs_sidecar_flow *
find_or_add_flow (struct hs_sidecar *sidecar, const struct hs_segment_key *key,
                  uint64_t now)
{
  struct hs_sidecar_flow *flow
      = hs_segment_flow_table_find (sidecar->flows, key);

  if (flow == NULL)
    return hs_segment_flow_table_add (sidecar->flows, key, now);
  touch_flow (sidecar, flow, now);
  return flow;
}
