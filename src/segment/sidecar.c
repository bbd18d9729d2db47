/* sidecar.c -- what an agent does with the segments of its upstream's flows.

   The upstream is the last witness of a flow: it gives back what it does not
   hold.  An agent that starts beside an upstream that was there before has
   no record of its flows; for as long as one may be left, it passes on
   segments of flows it does not know and learns from the answers.

   A request is in progress from the first payload of the caller until the
   first payload of the upstream; the bytes themselves are not read.  */

#include "segment/flow_table.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Silence after which a flow is forgotten: twice the idle time of flows.  */
#define FLOW_IDLE_MS 30000

/* How long flows of before may be left: the longest life of a flow and its
   idle time.  */
#define FLOW_RECOVERY_MS 75000

/* An upstream that is older than its agent by less has started with it: no
   earlier process could have taken its heartbeat, opened a flow, ended and
   been started again since.  A host's processes start within 130 ms.  */
#define SIMULTANEOUS_START_MS 250

/* How long the upstream's word that it does not hold a flow is taken.  */
#define NOT_OWNED_TTL_MS 1500

/* Heartbeats that are missed until the upstream counts as silent.  */
#define HEARTBEATS_MISSED_MAX 3

/* Heartbeats that are missed from the agent's start on until there is no
   upstream here whose flows could be learned.  */
#define FIRST_HEARTBEAT_INTERVALS 2

/* Segments that are reset, with none that is answered otherwise, from which
   on there is no upstream at the address.  */
#define RESETS_NO_UPSTREAM 3

/* Time without any sign of the upstream after a SYN, whose handshake takes
   less than 10 ms, until it counts as silent.  */
#define SYN_TIMEOUT_MS 150

/* Weight of the latest request in the mean of their work.  */
#define WORK_EWMA_PERCENT 5

/* Bytes of a flow; a sequence number further away is of another one.  */
#define SEQUENCE_WINDOW (1U << 24)

enum flow_state
{
  FLOW_SYN_SENT,     /* Its SYN went to the upstream.  */
  FLOW_SYN_ANSWERED, /* The upstream has answered it; the caller may take the
                    handshake of another one.  */
  FLOW_OPEN,         /* The upstream has the end of the handshake.  */
  FLOW_PRESUMED_CLOSED, /* Not known, but an entry holds it to be here: most
                likely both ends have closed it.  */
  FLOW_PROBING,         /* Not known; a segment went to the upstream.  */
  FLOW_NOT_OWNED        /* The upstream gave it back.  */
};

struct flow
{
  struct hs_segment_flow base;
  enum flow_state state;
  struct hs_addr entry; /* By which it was last heard.  */
  uint32_t syn_seq;
  uint32_t upstream_seq; /* Of the SYN+ACK.  */
  bool has_upstream_seq;
  uint32_t caller_ack; /* The latest of the caller.  */
  bool asked;          /* PROBED: an entry wants to know.  */
  bool busy;           /* A request is in progress.  */
  uint64_t busy_since; /* ms  */
  uint32_t busy_rank;  /* Requests in progress then, with this one.  */
  bool is_open;        /* Counted as an open flow.  */
  bool caller_closed;
  bool upstream_closed;
};

struct hs_sidecar
{
  char service_name[HS_NAME_SIZE];
  uint64_t service;
  struct hs_addr upstream;
  uint64_t heartbeat_ms;
  uint64_t started_at;    /* ms  */
  uint64_t first_tick_at; /* ms; 0: not yet.  */
  struct hs_sidecar_ops ops;
  void *ctx;
  struct hs_flow_table *flows;
  bool is_draining;

  /* Of the upstream's present start.  */
  enum hs_upstream_state state;
  struct hs_heartbeat last_heartbeat;
  uint64_t last_heard_at;        /* ms of the last heartbeat.  */
  uint64_t cold_until;           /* ms  */
  uint64_t recovery_until;       /* ms; 0: every flow is known.  */
  uint64_t last_segment_at;      /* ms of its last segment.  */
  uint32_t initial_resets;       /* Of it, while it has sent nothing else.  */
  bool sent_non_reset;           /* It has sent something else.  */
  uint64_t syn_unanswered_since; /* ms of the first SYN since then; 0: none. */
  bool rejects_syns; /* The latest SYN came back, and nothing else has
                        been heard of the upstream since.  */
  uint32_t requests_in_progress; /* Requests in progress.  */
  uint32_t open_flows;           /* Flows.  */
  uint32_t mean_work_us;         /* Mean time of a request in a slot.  */
};

/* Private functions.  */

static bool is_vacant (const struct hs_sidecar *sidecar);
static struct hs_sidecar_decision take_syn (struct hs_sidecar *sidecar,
                                            const struct hs_segment *segment,
                                            const struct hs_addr *entry,
                                            uint64_t now);
static struct hs_sidecar_decision
take_unknown (struct hs_sidecar *sidecar, const struct hs_segment *segment,
              const struct hs_addr *entry, bool ask, uint64_t now);
static struct hs_sidecar_decision take_known (struct hs_sidecar *sidecar,
                                              struct flow *flow,
                                              const struct hs_segment *segment,
                                              const struct hs_addr *entry,
                                              bool ask, uint64_t now);
static struct hs_sidecar_decision
take_returned (struct hs_sidecar *sidecar, const struct hs_segment *segment,
               uint64_t now);
static struct hs_sidecar_decision disown (struct hs_sidecar *sidecar,
                                          struct flow *flow, uint64_t now);
static struct hs_sidecar_decision deny (const struct hs_addr *entry);
static bool is_opened_by (struct flow *flow, const struct hs_segment *segment);
static struct hs_sidecar_decision step (enum hs_sidecar_action action,
                                        enum hs_reason reason);
static void lose_flows (struct hs_sidecar *sidecar);
static void lose_flow (void *ctx, struct hs_segment_flow *base);
static void begin_start (struct hs_sidecar *sidecar,
                         const struct hs_heartbeat *heartbeat, uint64_t now);
static void note_upstream (struct hs_sidecar *sidecar, struct flow *flow,
                           const struct hs_segment *segment, uint64_t now);
static void note_work (struct hs_sidecar *sidecar, const struct flow *flow,
                       uint64_t now);
static void set_busy (struct hs_sidecar *sidecar, struct flow *flow,
                      bool busy);
static void begin_request (struct hs_sidecar *sidecar, struct flow *flow,
                           uint64_t now);
static void set_open (struct hs_sidecar *sidecar, struct flow *flow,
                      bool open);
static bool is_of_another (const struct flow *flow,
                           const struct hs_segment *segment);
static void note_end (struct hs_sidecar *sidecar, struct flow *flow,
                      const struct hs_segment *segment);
static void on_flow_gone (void *ctx, struct hs_segment_flow *base);
static bool is_unanswered (const struct hs_sidecar *sidecar, uint64_t now);
static struct flow *get_flow (struct hs_sidecar *sidecar,
                              const struct hs_segment_key *key, uint64_t now);

/* Public definitions.  */

struct hs_sidecar *
hs_sidecar_create (void *parent, const char *service,
                   const struct hs_addr *upstream, uint64_t heartbeat_ms,
                   uint64_t wall_ms, const struct hs_sidecar_ops *ops,
                   void *ctx)
{
  struct hs_sidecar *sidecar = talloc_zero (parent, struct hs_sidecar);

  g_strlcpy (sidecar->service_name, service, HS_NAME_SIZE);
  sidecar->service = hs_id_from_name (service);
  sidecar->upstream = *upstream;
  sidecar->heartbeat_ms = heartbeat_ms;
  sidecar->started_at = wall_ms;
  sidecar->recovery_until = UINT64_MAX;
  sidecar->ops = *ops;
  sidecar->ctx = ctx;
  sidecar->flows
      = hs_flow_table_create (sidecar, sizeof (struct flow),
                              HS_SIDECAR_FLOWS_MAX, on_flow_gone, sidecar);
  return sidecar;
}

void
hs_sidecar_destroy (struct hs_sidecar *sidecar)
{
  hs_flow_table_clear (sidecar->flows);
  talloc_free (sidecar);
}

bool
hs_sidecar_handle_heartbeat (struct hs_sidecar *sidecar,
                             const struct hs_heartbeat *heartbeat,
                             uint64_t now, GError **error)
{
  if (strcmp (heartbeat->service, sidecar->service_name) != 0
      || !hs_addr_equal (&heartbeat->address, &sidecar->upstream)
      || (heartbeat->state != HS_UPSTREAM_READY
          && heartbeat->state != HS_UPSTREAM_DRAINING))
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "heartbeat of %s names another service, address or state",
                   heartbeat->id);
      return false;
    }
  if (sidecar->last_heartbeat.started_at > heartbeat->started_at)
    return true;
  if (sidecar->last_heartbeat.started_at < heartbeat->started_at)
    begin_start (sidecar, heartbeat, now);
  else if (sidecar->last_heartbeat.seq >= heartbeat->seq)
    return true;
  sidecar->last_heartbeat = *heartbeat;
  sidecar->last_heard_at = now;
  sidecar->rejects_syns = false;
  sidecar->cold_until = now + heartbeat->cold_ms;
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

struct hs_sidecar_decision
hs_sidecar_handle_entry_segment (struct hs_sidecar *sidecar,
                                 const struct hs_segment *segment,
                                 const struct hs_addr *entry, uint64_t service,
                                 bool ask, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct flow *flow;

  if (hs_segment_is_syn (segment))
    {
      if (service == sidecar->service)
        return take_syn (sidecar, segment, entry, now);
      return step (HS_SIDECAR_REFUSE, HS_REASON_WRONG_SERVICE);
    }
  flow = hs_flow_table_find (sidecar->flows, &key);
  if (flow == NULL)
    return take_unknown (sidecar, segment, entry, ask, now);
  if (flow->state == FLOW_NOT_OWNED
      && now - flow->base.last_active_at <= NOT_OWNED_TTL_MS)
    return deny (entry);
  if ((flow->state == FLOW_PROBING || flow->state == FLOW_PRESUMED_CLOSED)
      && sidecar->recovery_until == 0 && ask)
    return deny (entry);
  hs_flow_table_touch (sidecar->flows, &flow->base, now);
  return take_known (sidecar, flow, segment, entry, ask, now);
}

/* Tells what hs_sidecar_handle_entry_segment would make of SEGMENT, and
   changes nothing.  */
enum hs_lookup_answer
hs_sidecar_lookup (const struct hs_sidecar *sidecar,
                   const struct hs_segment *segment, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  const struct flow *flow = hs_flow_table_find (sidecar->flows, &key);
  bool learns = sidecar->recovery_until != 0;

  if (flow == NULL)
    return learns ? HS_LOOKUP_UNKNOWN : HS_LOOKUP_NOT_OWNED;
  if (is_of_another (flow, segment))
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
  return learns ? HS_LOOKUP_UNKNOWN : HS_LOOKUP_NOT_OWNED;
}

struct hs_sidecar_decision
hs_sidecar_handle_upstream_segment (struct hs_sidecar *sidecar,
                                    const struct hs_segment *segment,
                                    uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, false);
  struct hs_sidecar_decision answer
      = step (HS_SIDECAR_TO_CALLER, HS_REASON_NONE);
  struct flow *flow;

  sidecar->last_segment_at = now;
  if ((segment->flags & HS_SEGMENT_RST) == 0)
    sidecar->sent_non_reset = true;
  else if (!sidecar->sent_non_reset)
    sidecar->initial_resets++;
  sidecar->syn_unanswered_since = 0;
  if ((segment->flags & HS_SEGMENT_RETURNED) != 0)
    return take_returned (sidecar, segment, now);
  if ((segment->flags & HS_SEGMENT_RST) == 0)
    sidecar->rejects_syns = false;
  flow = hs_flow_table_find (sidecar->flows, &key);
  if (flow == NULL && sidecar->recovery_until == 0)
    return answer;
  if (flow != NULL && (segment->flags & HS_SEGMENT_RST) != 0
      && (flow->state == FLOW_PROBING || flow->state == FLOW_NOT_OWNED))
    return disown (sidecar, flow, now);
  flow = get_flow (sidecar, &key, now);
  if (is_opened_by (flow, segment))
    {
      answer.is_new_flow = true;
      answer.lookup_answer = flow->asked ? HS_LOOKUP_OWNED : HS_LOOKUP_NONE;
      answer.entry = flow->entry;
      flow->asked = false;
      flow->state = FLOW_OPEN;
      set_open (sidecar, flow, true);
    }
  answer.starts_response = segment->payload_len > 0 && flow->busy;
  answer.response_ms = answer.starts_response ? now - flow->busy_since : 0;
  note_upstream (sidecar, flow, segment, now);
  note_end (sidecar, flow, segment);
  return answer;
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
  hs_flow_table_expire (sidecar->flows, FLOW_IDLE_MS, now);
  if (sidecar->recovery_until != 0 && now >= sidecar->recovery_until)
    sidecar->recovery_until = 0;
  if (sidecar->cold_until != 0 && now >= sidecar->cold_until)
    sidecar->cold_until = 0;
  sidecar->last_heartbeat.cold_ms
      = sidecar->cold_until > now ? (uint32_t)(sidecar->cold_until - now) : 0;
  if (sidecar->state != HS_UPSTREAM_READY)
    return;
  if (now - sidecar->last_heard_at > silence_ms
      || is_unanswered (sidecar, now))
    sidecar->state = HS_UPSTREAM_UNKNOWN;
}

void
hs_sidecar_fill_load_report (const struct hs_sidecar *sidecar,
                             struct hs_load_report *report)
{
  report->service_id = sidecar->service;
  report->state = HS_AGENT_UPSTREAM_SILENT;
  if (sidecar->state == HS_UPSTREAM_READY && !sidecar->rejects_syns)
    report->state = HS_AGENT_READY;
  if (sidecar->state == HS_UPSTREAM_DRAINING
      || (sidecar->is_draining && sidecar->state == HS_UPSTREAM_READY))
    report->state = HS_AGENT_DRAINING;
  report->slots = sidecar->last_heartbeat.slots;
  report->requests_in_progress = sidecar->requests_in_progress;
  report->open_flows = sidecar->open_flows;
  report->cold_ms = sidecar->last_heartbeat.cold_ms;
  report->mean_work_us = sidecar->mean_work_us;
  report->no_upstream = is_vacant (sidecar);
}

/* Private definitions.  */

/* Its flows, if it ever had any, are gone for sure.  */
static bool
is_vacant (const struct hs_sidecar *sidecar)
{
  if (sidecar->last_heartbeat.started_at != 0)
    return sidecar->state == HS_UPSTREAM_LEFT && sidecar->open_flows == 0;
  return sidecar->recovery_until == 0
         || sidecar->initial_resets >= RESETS_NO_UPSTREAM;
}

static struct hs_sidecar_decision
take_syn (struct hs_sidecar *sidecar, const struct hs_segment *segment,
          const struct hs_addr *entry, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct hs_sidecar_decision deliver
      = step (HS_SIDECAR_TO_UPSTREAM, HS_REASON_NONE);
  struct flow *flow;

  if (sidecar->is_draining || sidecar->state == HS_UPSTREAM_DRAINING
      || sidecar->state == HS_UPSTREAM_LEFT)
    return step (HS_SIDECAR_REFUSE, HS_REASON_DRAINING);
  if (sidecar->state == HS_UPSTREAM_UNKNOWN || sidecar->rejects_syns)
    return step (HS_SIDECAR_REFUSE, HS_REASON_NO_UPSTREAM);
  flow = get_flow (sidecar, &key, now);
  if (flow->syn_seq != segment->seq || flow->state != FLOW_OPEN)
    {
      set_busy (sidecar, flow, false);
      set_open (sidecar, flow, false);
      flow->state = FLOW_SYN_SENT;
      flow->has_upstream_seq = false;
      flow->caller_closed = false;
      flow->upstream_closed = false;
    }
  flow->syn_seq = segment->seq;
  flow->entry = *entry;
  if (sidecar->syn_unanswered_since == 0)
    sidecar->syn_unanswered_since = now;
  deliver.is_new_flow = true;
  return deliver;
}

static struct hs_sidecar_decision
take_unknown (struct hs_sidecar *sidecar, const struct hs_segment *segment,
              const struct hs_addr *entry, bool ask, uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct flow *flow;

  if (sidecar->recovery_until == 0 && ask)
    return deny (entry);
  flow = get_flow (sidecar, &key, now);
  flow->state
      = sidecar->recovery_until == 0 ? FLOW_PRESUMED_CLOSED : FLOW_PROBING;
  flow->asked = ask;
  flow->entry = *entry;
  if (segment->payload_len > 0)
    begin_request (sidecar, flow, now);
  return step (HS_SIDECAR_TO_UPSTREAM, HS_REASON_NONE);
}

static struct hs_sidecar_decision
take_known (struct hs_sidecar *sidecar, struct flow *flow,
            const struct hs_segment *segment, const struct hs_addr *entry,
            bool ask, uint64_t now)
{
  struct hs_sidecar_decision deliver
      = step (HS_SIDECAR_TO_UPSTREAM, HS_REASON_NONE);

  if (is_of_another (flow, segment))
    return deny (entry);
  if (flow->state == FLOW_NOT_OWNED)
    flow->state = FLOW_PROBING;
  if (flow->state == FLOW_SYN_ANSWERED)
    {
      flow->state = FLOW_OPEN;
      set_open (sidecar, flow, true);
    }
  flow->entry = *entry;
  if (flow->state == FLOW_PROBING)
    flow->asked = flow->asked || ask;
  else
    deliver.lookup_answer = ask ? HS_LOOKUP_OWNED : HS_LOOKUP_NONE;
  deliver.entry = *entry;
  if ((segment->flags & HS_SEGMENT_ACK) != 0)
    flow->caller_ack = segment->ack;
  if (segment->payload_len > 0)
    begin_request (sidecar, flow, now);
  note_end (sidecar, flow, segment);
  return deliver;
}

/* What a caller sent comes back: the upstream does not hold its flow, or
   cannot accept its SYN.  */
static struct hs_sidecar_decision
take_returned (struct hs_sidecar *sidecar, const struct hs_segment *segment,
               uint64_t now)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  struct flow *flow = hs_flow_table_find (sidecar->flows, &key);
  struct hs_sidecar_decision refuse = step (HS_SIDECAR_REFUSE, HS_REASON_SHED);
  struct hs_sidecar_decision gone;
  bool was_open;

  if (flow == NULL)
    return step (HS_SIDECAR_DROP, HS_REASON_WRONG_HOST);
  if (hs_segment_is_syn (segment))
    {
      /* One that holds as many flows as it can goes on to answer them.  */
      sidecar->rejects_syns = true;
      refuse.entry = flow->entry;
      hs_flow_table_remove (sidecar->flows, &flow->base);
      return refuse;
    }
  was_open = flow->state == FLOW_OPEN;
  gone = disown (sidecar, flow, now);
  /* It was open at this upstream and is there no more: only the caller does
     not know yet.  */
  if (was_open)
    gone.action = HS_SIDECAR_RESET;
  return gone;
}

/* The upstream does not hold FLOW.  A reset of an upstream that was only
   tried is none of the flow's: another one may hold it.  */
static struct hs_sidecar_decision
disown (struct hs_sidecar *sidecar, struct flow *flow, uint64_t now)
{
  struct hs_sidecar_decision gone = deny (&flow->entry);

  flow->asked = false;
  set_busy (sidecar, flow, false);
  set_open (sidecar, flow, false);
  hs_flow_table_touch (sidecar->flows, &flow->base, now);
  flow->state = FLOW_NOT_OWNED;
  return gone;
}

/* The entry that sends a flow here, or asks for it, must look elsewhere.  */
static struct hs_sidecar_decision
deny (const struct hs_addr *entry)
{
  struct hs_sidecar_decision drop
      = step (HS_SIDECAR_DROP, HS_REASON_WRONG_HOST);

  drop.lookup_answer = HS_LOOKUP_NOT_OWNED;
  drop.entry = *entry;
  return drop;
}

static struct hs_sidecar_decision
step (enum hs_sidecar_action action, enum hs_reason reason)
{
  return (struct hs_sidecar_decision){ .action = action, .reason = reason };
}

/* A later start of the upstream holds no flow of an earlier one.  */
static void
begin_start (struct hs_sidecar *sidecar, const struct hs_heartbeat *heartbeat,
             uint64_t now)
{
  bool is_first = sidecar->last_heartbeat.started_at == 0;

  sidecar->state = HS_UPSTREAM_UNKNOWN;
  sidecar->recovery_until = 0;
  if (!is_first)
    lose_flows (sidecar);
  else if (heartbeat->started_at + SIMULTANEOUS_START_MS < sidecar->started_at)
    sidecar->recovery_until = now + FLOW_RECOVERY_MS;
}

static void
lose_flows (struct hs_sidecar *sidecar)
{
  hs_flow_table_each (sidecar->flows, lose_flow, sidecar);
  hs_flow_table_clear (sidecar->flows);
}

static void
lose_flow (void *ctx, struct hs_segment_flow *base)
{
  struct hs_sidecar *sidecar = ctx;
  const struct flow *flow = (struct flow *)base;
  struct hs_segment segment = { .from = base->key.caller,
                                .to = base->key.address,
                                .flags = HS_SEGMENT_ACK,
                                .ack = flow->caller_ack };

  if (flow->is_open)
    sidecar->ops.flow_lost (sidecar->ctx, &segment);
}

static void
note_upstream (struct hs_sidecar *sidecar, struct flow *flow,
               const struct hs_segment *segment, uint64_t now)
{
  unsigned int opening = HS_SEGMENT_SYN | HS_SEGMENT_ACK;

  if ((segment->flags & opening) == opening)
    {
      flow->upstream_seq = segment->seq;
      flow->has_upstream_seq = true;
    }
  if (segment->payload_len > 0 && flow->busy)
    note_work (sidecar, flow, now);
  if (segment->payload_len > 0)
    set_busy (sidecar, flow, false);
}

/* A request that came to a full upstream shared its slots.  */
static void
note_work (struct hs_sidecar *sidecar, const struct flow *flow, uint64_t now)
{
  uint32_t slots
      = sidecar->last_heartbeat.slots != 0 ? sidecar->last_heartbeat.slots : 1;
  uint32_t rank = flow->busy_rank > slots ? flow->busy_rank : slots;
  uint64_t work_us = (now - flow->busy_since) * 1000 * slots / rank;

  if (sidecar->mean_work_us == 0)
    sidecar->mean_work_us = (uint32_t)work_us;
  sidecar->mean_work_us
      = (uint32_t)(((100 - WORK_EWMA_PERCENT) * (uint64_t)sidecar->mean_work_us
                    + WORK_EWMA_PERCENT * work_us)
                   / 100);
}

/* Whether SEGMENT of the upstream shows that it holds FLOW, which was not
   known before.  */
static bool
is_opened_by (struct flow *flow, const struct hs_segment *segment)
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

/* A copy of the SYN may have been answered by another upstream, whose
   handshake the caller has taken.  */
static bool
is_of_another (const struct flow *flow, const struct hs_segment *segment)
{
  return flow->has_upstream_seq && (segment->flags & HS_SEGMENT_ACK) != 0
         && segment->ack - flow->upstream_seq >= SEQUENCE_WINDOW;
}

/* A flow that both ends have closed needs no record: the upstream answers
   what may still come.  */
static void
note_end (struct hs_sidecar *sidecar, struct flow *flow,
          const struct hs_segment *segment)
{
  bool from_caller = hs_addr_equal (&segment->from, &flow->base.key.caller);

  if ((segment->flags & HS_SEGMENT_FIN) != 0 && from_caller)
    flow->caller_closed = true;
  if ((segment->flags & HS_SEGMENT_FIN) != 0 && !from_caller)
    flow->upstream_closed = true;
  if ((segment->flags & HS_SEGMENT_RST) != 0
      || (flow->caller_closed && flow->upstream_closed))
    hs_flow_table_remove (sidecar->flows, &flow->base);
}

static void
set_busy (struct hs_sidecar *sidecar, struct flow *flow, bool busy)
{
  if (flow->busy == busy)
    return;
  flow->busy = busy;
  sidecar->requests_in_progress += busy ? 1 : (uint32_t)-1;
}

static void
begin_request (struct hs_sidecar *sidecar, struct flow *flow, uint64_t now)
{
  if (flow->busy)
    return;
  set_busy (sidecar, flow, true);
  flow->busy_since = now;
  flow->busy_rank = sidecar->requests_in_progress;
}

static void
set_open (struct hs_sidecar *sidecar, struct flow *flow, bool open)
{
  if (flow->is_open == open)
    return;
  flow->is_open = open;
  sidecar->open_flows += open ? 1 : (uint32_t)-1;
}

static void
on_flow_gone (void *ctx, struct hs_segment_flow *base)
{
  set_busy (ctx, (struct flow *)base, false);
  set_open (ctx, (struct flow *)base, false);
}

static bool
is_unanswered (const struct hs_sidecar *sidecar, uint64_t now)
{
  return sidecar->syn_unanswered_since != 0
         && now - sidecar->syn_unanswered_since > SYN_TIMEOUT_MS;
}

static struct flow *
get_flow (struct hs_sidecar *sidecar, const struct hs_segment_key *key,
          uint64_t now)
{
  struct flow *flow = hs_flow_table_find (sidecar->flows, key);

  if (flow == NULL)
    return hs_flow_table_add (sidecar->flows, key, now);
  hs_flow_table_touch (sidecar->flows, &flow->base, now);
  return flow;
}
