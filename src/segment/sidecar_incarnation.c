/* sidecar_incarnation.c -- which incarnation of the upstream a sidecar
   follows.

   A heartbeat of another incarnation says that the upstream has restarted, so
   that all of its flows are gone.  It may also come from another writer, or
   late.  What the upstream itself shows goes first: as long as the incarnation
   that is followed still sends heartbeats or answers its flows, the other one
   is only claimed.  A claim of a later incarnation is believed once the
   heartbeat of the present one is overdue, or the upstream has left or returns
   segments of flows that it owned.  An earlier incarnation is one that was
   superseded wrongly, or one that started after the clock was set back: it is
   followed once the present one is silent and it keeps reporting.  */

#include "segment/sidecar_state.h"

#include <string.h>

/* Types.  */

/* Time by which the flow recovery is longer than the longest lifetime of a
   flow.  */
#define FLOW_RECOVERY_MARGIN_MS 15000

/* If the upstream started less than this before its agent, both started
   together and there is nothing to recover: in so short a time an earlier
   agent process cannot have received a heartbeat, opened a flow, ended and
   been restarted.  The processes of a host start within 130 ms.  */
#define SIMULTANEOUS_START_MS 250

/* Percentage of the heartbeat interval after which a heartbeat is overdue.  */
#define OVERDUE_PERCENT 150

/* Time after the end of an evacuation in which a heartbeat may still have been
   sent before it, by an upstream that did not know of the end.  */
#define EVACUATION_END_MARGIN_MS 100

/* Private functions.  */

static bool is_of_present (const struct hs_sidecar *sidecar,
                           const struct hs_heartbeat *heartbeat);
static bool is_believed (const struct hs_sidecar *sidecar,
                         const struct hs_heartbeat *heartbeat, uint64_t now);
static bool has_ended (const struct hs_sidecar *sidecar, uint64_t now);
static bool keeps_reporting (const struct hs_sidecar *sidecar,
                             const struct hs_heartbeat *heartbeat,
                             uint64_t now);
static void record_claim (struct hs_sidecar *sidecar,
                          const struct hs_heartbeat *heartbeat, uint64_t now);
static void follow (struct hs_sidecar *sidecar,
                    const struct hs_heartbeat *heartbeat, uint64_t heard_at);
static void begin_incarnation (struct hs_sidecar *sidecar,
                               const struct hs_heartbeat *heartbeat,
                               uint64_t now);
static void recover_flows (struct hs_sidecar *sidecar, uint64_t now);
static void discard_flows (struct hs_sidecar *sidecar);
static void report_lost_flow (void *ctx, struct hs_segment_flow *base);

/* Public definitions.  */

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
  if (!is_of_present (sidecar, heartbeat))
    {
      if (is_believed (sidecar, heartbeat, now))
        follow (sidecar, heartbeat, now);
      else
        record_claim (sidecar, heartbeat, now);
    }
  else if (heartbeat->seq > sidecar->last_heartbeat.seq)
    follow (sidecar, heartbeat, now);
  return true;
}

bool
hs_sidecar_has_claim (const struct hs_sidecar *sidecar)
{
  return sidecar->claim.started_at != 0;
}

void
hs_sidecar_handle_upstream_leave (struct hs_sidecar *sidecar, const char *id,
                                  uint64_t started_at)
{
  if (strcmp (sidecar->last_heartbeat.id, id) == 0
      && (started_at == 0 || started_at == sidecar->last_heartbeat.started_at))
    sidecar->state = HS_UPSTREAM_LEFT;
}

void
hs_sidecar_check_claim (struct hs_sidecar *sidecar, uint64_t now)
{
  struct hs_heartbeat claim = sidecar->claim;

  if (claim.started_at > sidecar->last_heartbeat.started_at
      && has_ended (sidecar, now))
    follow (sidecar, &claim, sidecar->claim_heard_at);
}

void
hs_sidecar_note_lost_flow (struct hs_sidecar *sidecar)
{
  sidecar->lost_flow = true;
}

/* A flow that was open when the present incarnation reported is its own.  */
void
hs_sidecar_note_answer (struct hs_sidecar *sidecar,
                        const struct hs_sidecar_flow *flow, uint64_t now)
{
  if (flow->opened_at >= sidecar->last_heard_at)
    return;
  sidecar->last_answer_at = now;
  sidecar->claim.started_at = 0;
}

/* Private definitions.  */

static bool
is_of_present (const struct hs_sidecar *sidecar,
               const struct hs_heartbeat *heartbeat)
{
  return heartbeat->started_at == sidecar->last_heartbeat.started_at;
}

/* Returns whether HEARTBEAT, of another incarnation than the present one,
   shows that the upstream runs as that one.  */
static bool
is_believed (const struct hs_sidecar *sidecar,
             const struct hs_heartbeat *heartbeat, uint64_t now)
{
  if (sidecar->last_heartbeat.started_at == 0)
    return true;
  if (heartbeat->started_at > sidecar->last_heartbeat.started_at)
    return has_ended (sidecar, now);
  return keeps_reporting (sidecar, heartbeat, now);
}

/* Returns whether the present incarnation no longer shows that it runs.  */
static bool
has_ended (const struct hs_sidecar *sidecar, uint64_t now)
{
  uint64_t shown_at = MAX (sidecar->last_heard_at, sidecar->last_answer_at);

  return sidecar->state == HS_UPSTREAM_LEFT || sidecar->rejects_syns
         || sidecar->lost_flow
         || now - shown_at > OVERDUE_PERCENT * sidecar->heartbeat_ms / 100;
}

/* Returns whether the incarnation of HEARTBEAT has reported before, a while
   ago, and the present one is silent.  Late heartbeats may arrive several at
   once.  */
static bool
keeps_reporting (const struct hs_sidecar *sidecar,
                 const struct hs_heartbeat *heartbeat, uint64_t now)
{
  return sidecar->claim.started_at == heartbeat->started_at
         && heartbeat->started_at != 0 && heartbeat->seq > sidecar->claim.seq
         && now - sidecar->claimed_since >= sidecar->heartbeat_ms / 2
         && now - sidecar->last_heard_at
                > HS_HEARTBEATS_MISSED_MAX * sidecar->heartbeat_ms;
}

static void
record_claim (struct hs_sidecar *sidecar, const struct hs_heartbeat *heartbeat,
              uint64_t now)
{
  bool is_same = sidecar->claim.started_at == heartbeat->started_at;

  if (is_same && heartbeat->seq <= sidecar->claim.seq)
    return;
  if (!is_same)
    sidecar->claimed_since = now;
  sidecar->claim = *heartbeat;
  sidecar->claim_heard_at = now;
}

/* Follows the incarnation of HEARTBEAT, which arrived at HEARD_AT, from now
   on.  */
static void
follow (struct hs_sidecar *sidecar, const struct hs_heartbeat *heartbeat,
        uint64_t heard_at)
{
  if (!is_of_present (sidecar, heartbeat))
    begin_incarnation (sidecar, heartbeat, heard_at);
  sidecar->claim.started_at = 0;
  sidecar->lost_flow = false;
  sidecar->last_heartbeat = *heartbeat;
  sidecar->last_heard_at = heard_at;
  sidecar->rejects_syns = false;
  sidecar->cold_until = heard_at + heartbeat->cold_ms;
  if (heard_at >= sidecar->evacuated_until + EVACUATION_END_MARGIN_MS)
    sidecar->is_assumed_cold = false;
  if (sidecar->state != HS_UPSTREAM_LEFT)
    sidecar->state = heartbeat->state;
}

/* The flows of the upstream's earlier incarnation ended with it.  An earlier
   incarnation than the present one may own flows that were opened since.  */
static void
begin_incarnation (struct hs_sidecar *sidecar,
                   const struct hs_heartbeat *heartbeat, uint64_t now)
{
  uint64_t present = sidecar->last_heartbeat.started_at;
  uint64_t start = sidecar->first_tick_at != 0 ? sidecar->first_tick_at : now;

  sidecar->state = HS_UPSTREAM_UNKNOWN;
  sidecar->recovery_until = 0;
  sidecar->capacity = 0;
  if (heartbeat->started_at < present)
    recover_flows (sidecar, now);
  else if (present != 0)
    discard_flows (sidecar);
  else if (heartbeat->started_at + SIMULTANEOUS_START_MS < sidecar->started_at)
    {
      recover_flows (sidecar, now);
      /* An earlier process of the agent may have filled it just before.  */
      hs_warm_up_fill (sidecar->warm_up, start);
    }
}

static void
recover_flows (struct hs_sidecar *sidecar, uint64_t now)
{
  sidecar->recovery_until
      = now + sidecar->flow_lifetime_ms + FLOW_RECOVERY_MARGIN_MS;
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
  const struct hs_sidecar_flow *flow = (struct hs_sidecar_flow *)base;
  struct hs_segment segment = { .from = base->key.caller,
                                .to = base->key.address,
                                .flags = HS_SEGMENT_ACK,
                                .ack = flow->last_caller_ack };

  if (flow->is_open)
    sidecar->ops.flow_lost (sidecar->ctx, &segment);
}
