/* tracker.c -- the requests of an agent, each counted under one outcome.

   A request is recorded before it is delivered, so a repeat is never
   delivered again while its record lives.  Records of non-idempotent
   requests live for HS_REQUEST_RECORD_LIFETIME_MS; those of idempotent ones
   give way when the table is full.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/* Types.  */

enum state
{
  STATE_IN_PROGRESS,
  STATE_STREAM, /* Answered, and notifications follow.  */
  STATE_DONE,   /* Answered.  */
  STATE_EXPIRED /* Its deadline passed without an answer.  */
};

struct record
{
  struct hs_table_node by_id;
  struct hs_table_node by_token;
  struct hs_list age; /* Oldest first.  */
  struct hs_timer timer;
  struct hs_tracker *tracker;
  struct hs_request_info request;
  enum state state;
  uint64_t received_at;     /* ms  */
  uint16_t notification_id; /* Message id of the last answer.  */
  uint8_t *answer;          /* NULL: none kept.  */
  size_t answer_len;
};

struct id_key
{
  const struct hs_flow_key *flow;
  uint16_t message_id;
};

struct token_key
{
  const struct hs_flow_key *flow;
  const uint8_t *token;
  uint8_t token_len;
};

struct hs_tracker
{
  struct hs_timers *timers;
  struct hs_tracker_ops ops;
  void *ctx;
  struct hs_table *records_by_id;
  struct hs_table *records_by_token;
  struct hs_list records_by_age;
  struct hs_request_totals totals;
};

/* Private functions.  */

static uint64_t id_hash (const struct hs_flow_key *flow, uint16_t message_id);
static uint64_t token_hash (const struct hs_flow_key *flow,
                            const uint8_t *token, uint8_t token_len);
static bool match_id (const struct hs_table_node *node, const void *key);
static bool match_live_token (const struct hs_table_node *node,
                              const void *key);
static struct record *find_by_id (struct hs_tracker *tracker,
                                  const struct hs_flow_key *flow,
                                  uint16_t message_id);
static struct record *find_live (struct hs_tracker *tracker,
                                 const struct hs_flow_key *flow,
                                 const uint8_t *token, uint8_t token_len);
static bool is_resent (struct hs_tracker *tracker,
                       const struct hs_response_info *answer);
static bool match_answered (const struct hs_table_node *node, const void *key);
static struct hs_request_decision decide_repeat (struct hs_tracker *tracker,
                                                 struct record *record);
static struct hs_request_decision refuse (struct hs_verdict verdict);
static bool make_room (struct hs_tracker *tracker, uint64_t now);
static struct record *create_record (struct hs_tracker *tracker,
                                     const struct hs_request_info *request,
                                     uint64_t now);
static void forget (struct record *record);
static void end_stream (struct record *record);
static void finish (struct record *record,
                    const struct hs_response_info *answer,
                    const uint8_t *bytes, size_t len);
static void keep_answer (struct record *record, const uint8_t *bytes,
                         size_t len);
static void on_deadline (void *ctx, uint64_t now);
static void expire (struct record *record);

/* Public definitions.  */

struct hs_tracker *
hs_tracker_create (void *parent, struct hs_timers *timers,
                   const struct hs_tracker_ops *ops, void *ctx)
{
  struct hs_tracker *tracker = talloc_zero (parent, struct hs_tracker);

  tracker->timers = timers;
  tracker->ops = *ops;
  tracker->ctx = ctx;
  tracker->records_by_id = hs_table_create (tracker);
  tracker->records_by_token = hs_table_create (tracker);
  hs_list_init (&tracker->records_by_age);
  return tracker;
}

void
hs_tracker_destroy (struct hs_tracker *tracker)
{
  HS_LIST_FOREACH (link, &tracker->records_by_age)
    forget (HS_LIST_ENTRY (link, struct record, age));
  talloc_free (tracker);
}

struct hs_request_decision
hs_tracker_request (struct hs_tracker *tracker,
                    const struct hs_request_info *request, uint64_t now)
{
  struct record *record
      = find_by_id (tracker, &request->flow, request->message_id);

  if (record != NULL
      && now - record->received_at < HS_REQUEST_RECORD_LIFETIME_MS)
    return decide_repeat (tracker, record);
  if (record != NULL && record->state == STATE_STREAM)
    end_stream (record);
  if (record != NULL && record->state != STATE_IN_PROGRESS)
    forget (record);
  if (!make_room (tracker, now))
    {
      hs_tracker_refuse (tracker);
      return refuse (
          (struct hs_verdict){ HS_OUTCOME_NOT_RUN, HS_REASON_OVERLOADED });
    }
  if (request->cancels_stream || request->opens_stream)
    {
      struct record *stream = find_live (tracker, &request->flow,
                                         request->token, request->token_len);

      if (stream != NULL && stream->state == STATE_STREAM)
        end_stream (stream);
    }
  record = create_record (tracker, request, now);
  tracker->totals.received++;
  tracker->totals.in_progress++;
  if (request->may_be_duplicate && !request->idempotent)
    {
      expire (record);
      return refuse ((struct hs_verdict){ HS_OUTCOME_MAY_HAVE_RUN,
                                          HS_REASON_OWNER_UNKNOWN });
    }
  return (struct hs_request_decision){ .action = HS_REQUEST_DELIVER };
}

void
hs_tracker_refuse (struct hs_tracker *tracker)
{
  tracker->totals.received++;
  tracker->totals.not_run++;
}

bool
hs_tracker_handle_response (struct hs_tracker *tracker,
                            const struct hs_response_info *answer,
                            const uint8_t *bytes, size_t len, uint64_t now)
{
  struct record *record
      = find_live (tracker, &answer->flow, answer->token, answer->token_len);

  (void)now;
  if (record == NULL)
    return is_resent (tracker, answer);
  record->notification_id = answer->message_id;
  if (record->state == STATE_IN_PROGRESS)
    finish (record, answer, bytes, len);
  else if (!answer->more_follow)
    end_stream (record);
  return true;
}

bool
hs_tracker_handle_upstream_ack (struct hs_tracker *tracker,
                                const struct hs_flow_key *flow,
                                uint16_t message_id)
{
  struct record *record = find_by_id (tracker, flow, message_id);

  if (record == NULL || record->state != STATE_IN_PROGRESS)
    return false;
  record->request.needs_ack = false;
  return true;
}

void
hs_tracker_handle_caller_reset (struct hs_tracker *tracker,
                                const struct hs_flow_key *flow,
                                uint16_t message_id)
{
  HS_LIST_FOREACH (link, &tracker->records_by_age)
    {
      struct record *record = HS_LIST_ENTRY (link, struct record, age);

      if (record->state == STATE_STREAM
          && record->notification_id == message_id
          && hs_flow_key_equal (&record->request.flow, flow))
        end_stream (record);
    }
}

void
hs_tracker_flow_closed (struct hs_tracker *tracker,
                        const struct hs_flow_key *flow, uint64_t now)
{
  (void)now;
  HS_LIST_FOREACH (link, &tracker->records_by_age)
    {
      struct record *record = HS_LIST_ENTRY (link, struct record, age);

      if (!hs_flow_key_equal (&record->request.flow, flow))
        continue;
      if (record->state == STATE_STREAM)
        end_stream (record);
      else if (record->state == STATE_IN_PROGRESS)
        expire (record);
    }
}

struct hs_request_totals
hs_tracker_totals (const struct hs_tracker *tracker)
{
  return tracker->totals;
}

/* Private definitions.  */

static uint64_t
id_hash (const struct hs_flow_key *flow, uint16_t message_id)
{
  return XXH3_64bits_withSeed (&message_id, sizeof message_id,
                               hs_flow_key_hash (flow));
}

static uint64_t
token_hash (const struct hs_flow_key *flow, const uint8_t *token,
            uint8_t token_len)
{
  return XXH3_64bits_withSeed (token, token_len, hs_flow_key_hash (flow));
}

static bool
match_id (const struct hs_table_node *node, const void *key)
{
  const struct record *record = HS_LIST_ENTRY (node, struct record, by_id);
  const struct id_key *id = key;

  return record->request.message_id == id->message_id
         && hs_flow_key_equal (&record->request.flow, id->flow);
}

/* Records that an answer may belong to: in progress, or a stream.  */
static bool
match_live_token (const struct hs_table_node *node, const void *key)
{
  const struct record *record = HS_LIST_ENTRY (node, struct record, by_token);
  const struct token_key *token = key;

  return (record->state == STATE_IN_PROGRESS || record->state == STATE_STREAM)
         && record->request.token_len == token->token_len
         && memcmp (record->request.token, token->token, token->token_len) == 0
         && hs_flow_key_equal (&record->request.flow, token->flow);
}

static struct record *
find_by_id (struct hs_tracker *tracker, const struct hs_flow_key *flow,
            uint16_t message_id)
{
  struct id_key key = { flow, message_id };
  struct hs_table_node *node = hs_table_find (
      tracker->records_by_id, id_hash (flow, message_id), match_id, &key);

  return node != NULL ? HS_LIST_ENTRY (node, struct record, by_id) : NULL;
}

static struct record *
find_live (struct hs_tracker *tracker, const struct hs_flow_key *flow,
           const uint8_t *token, uint8_t token_len)
{
  struct token_key key = { flow, token, token_len };
  struct hs_table_node *node = hs_table_find (
      tracker->records_by_token, token_hash (flow, token, token_len),
      match_live_token, &key);

  return node != NULL ? HS_LIST_ENTRY (node, struct record, by_token) : NULL;
}

/* An answer that was lost behind this agent is sent again by the upstream,
   with the same message id.  */
static bool
is_resent (struct hs_tracker *tracker, const struct hs_response_info *answer)
{
  uint64_t hash = token_hash (&answer->flow, answer->token, answer->token_len);

  return hs_table_find (tracker->records_by_token, hash, match_answered,
                        answer)
         != NULL;
}

static bool
match_answered (const struct hs_table_node *node, const void *key)
{
  const struct record *record = HS_LIST_ENTRY (node, struct record, by_token);
  const struct hs_response_info *answer = key;

  return record->state == STATE_DONE && record->answer != NULL
         && record->notification_id == answer->message_id
         && record->request.token_len == answer->token_len
         && memcmp (record->request.token, answer->token, answer->token_len)
                == 0
         && hs_flow_key_equal (&record->request.flow, &answer->flow);
}

static struct hs_request_decision
decide_repeat (struct hs_tracker *tracker, struct record *record)
{
  struct hs_request_decision decision = { .action = HS_REQUEST_DROP };

  tracker->totals.duplicates++;
  if (record->state == STATE_IN_PROGRESS)
    return decision;
  if (record->answer == NULL)
    return refuse (
        (struct hs_verdict){ HS_OUTCOME_MAY_HAVE_RUN, HS_REASON_TIMEOUT });
  decision.action = HS_REQUEST_REPLAY;
  decision.response = record->answer;
  decision.response_len = record->answer_len;
  return decision;
}

static struct hs_request_decision
refuse (struct hs_verdict verdict)
{
  return (struct hs_request_decision){ .action = HS_REQUEST_REFUSE,
                                       .verdict = verdict };
}

/* Drops records that have lived their life, then, if the table is full, the
   oldest of an idempotent request.  */
static bool
make_room (struct hs_tracker *tracker, uint64_t now)
{
  HS_LIST_FOREACH (link, &tracker->records_by_age)
    {
      struct record *record = HS_LIST_ENTRY (link, struct record, age);

      if (now - record->received_at < HS_REQUEST_RECORD_LIFETIME_MS)
        break;
      if (record->state == STATE_DONE || record->state == STATE_EXPIRED)
        forget (record);
    }
  if (hs_table_len (tracker->records_by_id) < HS_REQUEST_RECORDS_MAX)
    return true;
  HS_LIST_FOREACH (link, &tracker->records_by_age)
    {
      struct record *record = HS_LIST_ENTRY (link, struct record, age);

      if (!record->request.idempotent || record->state == STATE_IN_PROGRESS
          || record->state == STATE_STREAM)
        continue;
      forget (record);
      return true;
    }
  return false;
}

static struct record *
create_record (struct hs_tracker *tracker,
               const struct hs_request_info *request, uint64_t now)
{
  struct record *record = talloc_zero (tracker, struct record);

  record->tracker = tracker;
  record->request = *request;
  record->received_at = now;
  hs_timer_init (&record->timer, on_deadline, record);
  hs_timer_start (tracker->timers, &record->timer, now + request->deadline_ms);
  hs_table_insert (tracker->records_by_id, &record->by_id,
                   id_hash (&request->flow, request->message_id));
  hs_table_insert (
      tracker->records_by_token, &record->by_token,
      token_hash (&request->flow, request->token, request->token_len));
  hs_list_append (&tracker->records_by_age, &record->age);
  return record;
}

static void
forget (struct record *record)
{
  struct hs_tracker *tracker = record->tracker;

  hs_timer_stop (&record->timer);
  hs_table_remove (tracker->records_by_id, &record->by_id);
  hs_table_remove (tracker->records_by_token, &record->by_token);
  hs_list_remove (&record->age);
  talloc_free (record);
}

static void
end_stream (struct record *record)
{
  record->state = STATE_DONE;
  record->tracker->totals.streams--;
}

static void
finish (struct record *record, const struct hs_response_info *answer,
        const uint8_t *bytes, size_t len)
{
  struct hs_request_totals *totals = &record->tracker->totals;

  hs_timer_stop (&record->timer);
  keep_answer (record, bytes, len);
  totals->in_progress--;
  if (answer->refused)
    totals->not_run++;
  else
    totals->ran++;
  record->state = STATE_DONE;
  if (answer->refused || !answer->more_follow || !record->request.opens_stream)
    return;
  record->state = STATE_STREAM;
  totals->streams++;
}

static void
keep_answer (struct record *record, const uint8_t *bytes, size_t len)
{
  record->answer = talloc_memdup (record, bytes, len);
  record->answer_len = len;
}

static void
on_deadline (void *ctx, uint64_t now)
{
  struct record *record = ctx;
  struct hs_verdict verdict = { HS_OUTCOME_MAY_HAVE_RUN, HS_REASON_TIMEOUT };
  struct hs_tracker *tracker = record->tracker;

  (void)now;
  expire (record);
  tracker->ops.request_expired (tracker->ctx, &record->request, verdict);
}

static void
expire (struct record *record)
{
  hs_timer_stop (&record->timer);
  record->state = STATE_EXPIRED;
  record->tracker->totals.in_progress--;
  record->tracker->totals.may_have_run++;
}
