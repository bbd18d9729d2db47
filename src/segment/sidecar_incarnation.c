/* sidecar_incarnation.c -- which incarnation of the upstream a sidecar
   follows.

   A heartbeat of another incarnation than the present one, which is followed,
   says that the upstream has restarted.  It may also be late, of an
   incarnation that has ended, or come from another writer.  So it is only
   recorded as a claim until what is known of the present one decides:

   what is known of the present one         claim that is believed
   ---------------------------------------  --------------------------------
   left, rejects SYNs, returns segments of  a later one's
     flows that it owned
   for 1.5 intervals, it sent no heartbeat  a later one's
     and answered on no flow that it owns
   for 3 intervals, no heartbeat came       one that is made again
   the agent still recovers flows           a later one's that is made again,
                                            or whose incarnation has left

   A heartbeat shows that its incarnation ran when it was sent, not when it
   arrives.  That was no more than 1.5 intervals after the one before was sent
   or, for the first one, the incarnation started by the clock.  One of the
   incarnation that was followed before shows nothing if it was sent earlier
   than 1.5 intervals ago.

   A heartbeat of the present one or of an earlier one drops a claim whose next
   heartbeat is overdue.

   An earlier incarnation runs if it was superseded wrongly, or started after
   the clock was set back.

   The first heartbeat that an agent gets may be late, so the flows that it
   holds may be a later incarnation's.  When that is believed, it keeps the
   flows that the upstream has answered since it may have started, and the
   others are lost.  An earlier incarnation that is believed keeps all
   flows.  */

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

/* Percentage of the heartbeat interval after which a heartbeat is overdue, and
   within which the next one is sent.  */
#define OVERDUE_PERCENT 150

/* Time after the end of an evacuation in which a heartbeat may still have been
   sent before it, by an upstream that did not know of the end.  */
#define EVACUATION_END_MARGIN_MS 100

/* Private functions.  */

static bool is_named (const struct hs_heartbeat *heartbeat, const char *id,
                      uint64_t started_at);
static bool is_of_present (const struct hs_sidecar *sidecar,
                           const struct hs_heartbeat *heartbeat);
static uint64_t overdue_ms (const struct hs_sidecar *sidecar);
static bool is_believed (const struct hs_sidecar *sidecar,
                         const struct hs_heartbeat *heartbeat, uint64_t now);
static bool has_ended (const struct hs_sidecar *sidecar, uint64_t now);
static bool reports_again (const struct hs_sidecar *sidecar,
                           const struct hs_heartbeat *heartbeat, uint64_t now);
static bool has_later_claim (const struct hs_sidecar *sidecar,
                             uint64_t started_at, uint64_t now);
static void record_claim (struct hs_sidecar *sidecar,
                          const struct hs_heartbeat *heartbeat, uint64_t now);
static void follow (struct hs_sidecar *sidecar,
                    const struct hs_heartbeat *heartbeat, uint64_t heard_at);
static uint64_t latest_sending (const struct hs_sidecar *sidecar,
                                const struct hs_heartbeat *last,
                                uint64_t sent_at,
                                const struct hs_heartbeat *heartbeat,
                                uint64_t heard_at);
static uint64_t first_sending (const struct hs_sidecar *sidecar,
                               const struct hs_heartbeat *heartbeat,
                               uint64_t heard_at);
static bool is_late_previous (struct hs_sidecar *sidecar,
                              const struct hs_heartbeat *heartbeat,
                              uint64_t now);
static void begin_incarnation (struct hs_sidecar *sidecar,
                               const struct hs_heartbeat *heartbeat,
                               uint64_t now);
static bool precedes_agent (const struct hs_sidecar *sidecar,
                            const struct hs_heartbeat *heartbeat,
                            uint64_t now);
static uint64_t age_by_reports (const struct hs_sidecar *sidecar,
                                const struct hs_heartbeat *heartbeat,
                                uint64_t now);
static uint64_t earliest_start (const struct hs_sidecar *sidecar,
                                const struct hs_heartbeat *heartbeat,
                                uint64_t now);
static void recover_flows (struct hs_sidecar *sidecar, uint64_t now);
static void discard_if_answered_before (void *ctx,
                                        struct hs_segment_flow *base);

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
      if (is_late_previous (sidecar, heartbeat, now))
        return true;
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
hs_sidecar_has_claim (const struct hs_sidecar *sidecar, uint64_t started_at)
{
  return started_at != 0 && sidecar->claim.started_at == started_at;
}

void
hs_sidecar_handle_upstream_leave (struct hs_sidecar *sidecar, const char *id,
                                  uint64_t started_at)
{
  if (is_named (&sidecar->last_heartbeat, id, started_at))
    sidecar->state = HS_UPSTREAM_LEFT;
  else if (is_named (&sidecar->claim, id, started_at))
    sidecar->claim.state = HS_UPSTREAM_LEFT;
}

void
hs_sidecar_check_claim (struct hs_sidecar *sidecar, uint64_t now)
{
  struct hs_heartbeat claim = sidecar->claim;
  bool has_left
      = claim.state == HS_UPSTREAM_LEFT && sidecar->recovery_until != 0;

  if (claim.started_at > sidecar->last_heartbeat.started_at
      && (has_ended (sidecar, now) || has_left))
    follow (sidecar, &claim, sidecar->claim_heard_at);
}

void
hs_sidecar_note_lost_flow (struct hs_sidecar *sidecar)
{
  sidecar->lost_flow = true;
}

/* A flow that was open when the present incarnation sent its report is its
   own.  */
void
hs_sidecar_note_answer (struct hs_sidecar *sidecar,
                        struct hs_sidecar_flow *flow, uint64_t now)
{
  flow->answered_at = now;
  if (flow->state == FLOW_OPEN && flow->opened_at < sidecar->last_sent_at)
    sidecar->last_answer_at = now;
}

/* Private definitions.  */

/* Returns whether a leave message of ID and STARTED_AT, 0 if it does not say,
   is of the incarnation of HEARTBEAT.  */
static bool
is_named (const struct hs_heartbeat *heartbeat, const char *id,
          uint64_t started_at)
{
  return strcmp (heartbeat->id, id) == 0
         && (started_at == 0 || started_at == heartbeat->started_at);
}

static bool
is_of_present (const struct hs_sidecar *sidecar,
               const struct hs_heartbeat *heartbeat)
{
  return heartbeat->started_at == sidecar->last_heartbeat.started_at;
}

/* Returns the time after which the next heartbeat is overdue.  */
static uint64_t
overdue_ms (const struct hs_sidecar *sidecar)
{
  return OVERDUE_PERCENT * sidecar->heartbeat_ms / 100;
}

/* Returns whether HEARTBEAT, of another incarnation than the present one,
   shows that the upstream runs as that one.  */
static bool
is_believed (const struct hs_sidecar *sidecar,
             const struct hs_heartbeat *heartbeat, uint64_t now)
{
  uint64_t present = sidecar->last_heartbeat.started_at;
  bool is_later = heartbeat->started_at > present;
  bool is_silent = now - sidecar->last_heard_at
                   > HS_HEARTBEATS_MISSED_MAX * sidecar->heartbeat_ms;

  if (present == 0 || (is_later && has_ended (sidecar, now)))
    return true;
  return (is_silent || (is_later && sidecar->recovery_until != 0))
         && reports_again (sidecar, heartbeat, now);
}

/* Returns whether HEARTBEAT is of the incarnation that was followed before the
   present one, and was sent too long ago to show that it runs.  */
static bool
is_late_previous (struct hs_sidecar *sidecar,
                  const struct hs_heartbeat *heartbeat, uint64_t now)
{
  struct hs_heartbeat *previous = &sidecar->previous_heartbeat;

  if (heartbeat->started_at != previous->started_at)
    return false;
  if (heartbeat->seq > previous->seq)
    {
      sidecar->previous_sent_at = latest_sending (
          sidecar, previous, sidecar->previous_sent_at, heartbeat, now);
      *previous = *heartbeat;
    }
  return now - sidecar->previous_sent_at > overdue_ms (sidecar);
}

/* Returns whether the present incarnation no longer shows that it runs.  */
static bool
has_ended (const struct hs_sidecar *sidecar, uint64_t now)
{
  uint64_t shown_at = MAX (sidecar->last_sent_at, sidecar->last_answer_at);

  return sidecar->state == HS_UPSTREAM_LEFT || sidecar->rejects_syns
         || sidecar->lost_flow || now - shown_at > overdue_ms (sidecar);
}

/* Returns whether the incarnation of HEARTBEAT has reported before, a while
   ago.  Late heartbeats may arrive several at once.  */
static bool
reports_again (const struct hs_sidecar *sidecar,
               const struct hs_heartbeat *heartbeat, uint64_t now)
{
  return sidecar->claim.started_at == heartbeat->started_at
         && heartbeat->started_at != 0 && heartbeat->seq > sidecar->claim.seq
         && now - sidecar->claimed_since >= sidecar->heartbeat_ms / 2;
}

/* Returns whether there is a claim of a later incarnation than the one that
   started at STARTED_AT, and its next heartbeat is not overdue.  */
static bool
has_later_claim (const struct hs_sidecar *sidecar, uint64_t started_at,
                 uint64_t now)
{
  return sidecar->claim.started_at > started_at
         && now - sidecar->claim_heard_at <= overdue_ms (sidecar);
}

static void
record_claim (struct hs_sidecar *sidecar, const struct hs_heartbeat *heartbeat,
              uint64_t now)
{
  bool is_same = sidecar->claim.started_at == heartbeat->started_at;
  uint64_t start = earliest_start (sidecar, heartbeat, now);

  if ((is_same && heartbeat->seq <= sidecar->claim.seq)
      || has_later_claim (sidecar, heartbeat->started_at, now))
    return;
  if (!is_same)
    sidecar->claimed_since = now;
  if (!is_same || start < sidecar->claim_start)
    sidecar->claim_start = start;
  sidecar->claim = *heartbeat;
  sidecar->claim_heard_at = now;
}

/* Follows the incarnation of HEARTBEAT, which arrived at HEARD_AT, from now
   on.  */
static void
follow (struct hs_sidecar *sidecar, const struct hs_heartbeat *heartbeat,
        uint64_t heard_at)
{
  if (is_of_present (sidecar, heartbeat))
    sidecar->last_sent_at
        = latest_sending (sidecar, &sidecar->last_heartbeat,
                          sidecar->last_sent_at, heartbeat, heard_at);
  else
    {
      begin_incarnation (sidecar, heartbeat, heard_at);
      sidecar->previous_heartbeat = sidecar->last_heartbeat;
      sidecar->previous_sent_at = sidecar->last_sent_at;
      sidecar->last_sent_at = first_sending (sidecar, heartbeat, heard_at);
    }
  if (!has_later_claim (sidecar, heartbeat->started_at, heard_at))
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

/* Returns the latest time at which HEARTBEAT, which arrived at HEARD_AT, was
   sent: so long after LAST, sent at SENT_AT, as their numbers tell.  */
static uint64_t
latest_sending (const struct hs_sidecar *sidecar,
                const struct hs_heartbeat *last, uint64_t sent_at,
                const struct hs_heartbeat *heartbeat, uint64_t heard_at)
{
  uint64_t reports = MIN (heartbeat->seq - last->seq, heard_at);

  return MIN (heard_at, sent_at + reports * overdue_ms (sidecar));
}

/* Returns the latest time at which HEARTBEAT, the first of its incarnation,
   was sent: so long after the start by the clock, as its number tells.  */
static uint64_t
first_sending (const struct hs_sidecar *sidecar,
               const struct hs_heartbeat *heartbeat, uint64_t heard_at)
{
  uint64_t start
      = heard_at - MIN ((uint64_t)MAX (heartbeat->age_ms, 0), heard_at);
  struct hs_heartbeat first = { .seq = MIN (heartbeat->seq, 1) };

  return latest_sending (sidecar, &first, start, heartbeat, heard_at);
}

/* The flows of an earlier incarnation ended with it.  An earlier incarnation
   than the present one may own flows that were opened since.  */
static void
begin_incarnation (struct hs_sidecar *sidecar,
                   const struct hs_heartbeat *heartbeat, uint64_t now)
{
  uint64_t present = sidecar->last_heartbeat.started_at;
  uint64_t start = sidecar->first_tick_at != 0 ? sidecar->first_tick_at : now;
  bool is_later = heartbeat->started_at > present;
  bool is_older_than_agent = precedes_agent (sidecar, heartbeat, now);

  if (present != 0 && is_later)
    {
      record_claim (sidecar, heartbeat, now);
      hs_segment_flow_table_foreach (sidecar->flows,
                                     discard_if_answered_before, sidecar);
    }
  sidecar->state = HS_UPSTREAM_UNKNOWN;
  sidecar->recovery_until = 0;
  sidecar->capacity = 0;
  sidecar->syn_unanswered_since = 0;
  sidecar->began_here = is_later && !is_older_than_agent;
  if (!sidecar->began_here)
    recover_flows (sidecar, now);
  /* An earlier process of the agent may have filled it just before.  */
  if (present == 0 && is_older_than_agent)
    hs_warm_up_fill (sidecar->warm_up, start);
}

/* Returns whether the incarnation of HEARTBEAT, which arrived at NOW, may own
   flows that were opened before this agent started: by the clock, or by the
   number of its reports, if the clock was set in between.  */
static bool
precedes_agent (const struct hs_sidecar *sidecar,
                const struct hs_heartbeat *heartbeat, uint64_t now)
{
  uint64_t start = sidecar->first_tick_at != 0 ? sidecar->first_tick_at : now;

  if (sidecar->began_here)
    return false;
  return heartbeat->started_at + SIMULTANEOUS_START_MS < sidecar->started_at
         || age_by_reports (sidecar, heartbeat, now)
                > now - MIN (start, now) + SIMULTANEOUS_START_MS;
}

/* Returns about the time from the start of the incarnation to its HEARTBEAT,
   as the number of its reports tells.  */
static uint64_t
age_by_reports (const struct hs_sidecar *sidecar,
                const struct hs_heartbeat *heartbeat, uint64_t now)
{
  if (heartbeat->seq <= 1)
    return 0;
  return MIN (heartbeat->seq - 1, now) * sidecar->heartbeat_ms;
}

/* Returns the earliest time at which the incarnation of HEARTBEAT, which
   arrived at NOW, may have started: by the clock, or by the number of its
   reports, if the clock was set since.  The number counts only if the agent
   does not know the upstream from a start on: otherwise a foreign heartbeat
   could keep the flows of an upstream that has restarted.  */
static uint64_t
earliest_start (const struct hs_sidecar *sidecar,
                const struct hs_heartbeat *heartbeat, uint64_t now)
{
  uint64_t age = (uint64_t)MAX (heartbeat->age_ms, 0);

  if (!sidecar->began_here)
    age = MAX (age, age_by_reports (sidecar, heartbeat, now));
  return now > age ? now - age : 0;
}

static void
recover_flows (struct hs_sidecar *sidecar, uint64_t now)
{
  sidecar->recovery_until
      = now + sidecar->flow_lifetime_ms + FLOW_RECOVERY_MARGIN_MS;
}

/* Discards the flow if it ended before the claimed incarnation started.  The
   upstream returns the next segment of a flow that is kept wrongly.  */
static void
discard_if_answered_before (void *ctx, struct hs_segment_flow *base)
{
  struct hs_sidecar *sidecar = ctx;
  const struct hs_sidecar_flow *flow = (struct hs_sidecar_flow *)base;
  struct hs_segment segment = { .from = base->key.caller,
                                .to = base->key.address,
                                .flags = HS_SEGMENT_ACK,
                                .ack = flow->last_caller_ack };
  uint64_t used_at = flow->is_open ? flow->answered_at : base->last_active_at;

  if (used_at >= sidecar->claim_start)
    return;
  if (flow->is_open)
    sidecar->ops.flow_lost (sidecar->ctx, &segment);
  hs_segment_flow_table_remove (sidecar->flows, base);
}
