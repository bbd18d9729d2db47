/* tracker.c -- the requests of an agent, each counted under one outcome.

   A request is recorded before it is delivered, so that a duplicate is not
   delivered again as long as the record exists.  Records of non-idempotent
   requests are kept for HS_REQUEST_RECORD_LIFETIME_MS.  Those of idempotent
   requests may be evicted earlier, when the table is full.  */

#include "hibiscusspan.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/* Types.  */

enum record_state
{
  STATE_IN_PROGRESS,
  STATE_STREAM, /* Responded to; notifications follow.  */
  STATE_DONE,   /* Responded to.  */
  STATE_EXPIRED /* Given up without a response.  */
};

struct record
{
  struct hs_table_node by_id;    /* Key: flow and message id.  */
  struct hs_table_node by_token; /* Key: flow and token.  */
  struct hs_list age_link;       /* In records_by_age.  */
  struct hs_timer timer;
  struct hs_tracker *tracker;
  struct hs_request_info request;
  enum record_state state;
  uint64_t received_at;      /* ms  */
  uint16_t last_response_id; /* Message id of the last response.  */
  uint8_t *response;         /* Copy for duplicates, or NULL.  */
  size_t response_len;
};

struct id_key
{
  const struct hs_flow_key *flow_key;
  uint16_t message_id;
};

struct token_key
{
  const struct hs_flow_key *flow_key;
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
  struct hs_list records_by_age; /* Oldest first.  */
  struct hs_request_totals totals;
};

/* Private functions.  */

static uint64_t hash_id (const struct hs_flow_key *flow, uint16_t message_id);
static uint64_t hash_token (const struct hs_flow_key *flow,
                            const uint8_t *token, uint8_t token_len);
static bool match_id (const struct hs_table_node *node, const void *key);
static bool match_live_token (const struct hs_table_node *node,
                              const void *key);
static struct record *find_by_id (struct hs_tracker *tracker,
                                  const struct hs_flow_key *flow,
                                  uint16_t message_id);
static struct record *find_live_by_token (struct hs_tracker *tracker,
                                          const struct hs_flow_key *flow,
                                          const uint8_t *token,
                                          uint8_t token_len);
static bool is_retransmission (struct hs_tracker *tracker,
                               const struct hs_response_info *response);
static bool match_retransmission (const struct hs_table_node *node,
                                  const void *key);
static struct hs_request_decision decide_duplicate (struct hs_tracker *tracker,
                                                    struct record *record);
static struct hs_request_decision refuse (struct hs_verdict verdict);
static bool evict_records (struct hs_tracker *tracker, uint64_t now);
static struct record *create_record (struct hs_tracker *tracker,
                                     const struct hs_request_info *request,
                                     uint64_t now);
static void remove_record (struct record *record);
static void end_stream (struct record *record);
static void complete (struct record *record,
                      const struct hs_response_info *response,
                      const uint8_t *bytes, size_t len);
static void store_response (struct record *record, const uint8_t *bytes,
                            size_t len);
static void on_deadline (void *ctx, uint64_t now);
static void mark_expired (struct record *record);

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
  /* Freeing the records alone would leave their timers in TIMERS.  */
  HS_LIST_FOREACH (link, &tracker->records_by_age)
    remove_record (HS_LIST_ENTRY (link, struct record, age_link));
  talloc_free (tracker);
}

struct hs_request_decision
hs_tracker_request (struct hs_tracker *tracker,
                    const struct hs_request_info *request, uint64_t now)
{
  struct record *record
      = find_by_id (tracker, &request->flow_key, request->message_id);

  if (record != NULL
      && now - record->received_at < HS_REQUEST_RECORD_LIFETIME_MS)
    return decide_duplicate (tracker, record);
  /* The caller may reuse a message id after the lifetime of its record.  */
  if (record != NULL && record->state == STATE_STREAM)
    end_stream (record);
  if (record != NULL && record->state != STATE_IN_PROGRESS)
    remove_record (record);
  if (!evict_records (tracker, now))
    {
      hs_tracker_refuse (tracker);
      return refuse (
          (struct hs_verdict){ HS_OUTCOME_NOT_RUN, HS_REASON_OVERLOADED });
    }
  if (request->cancels_stream || request->opens_stream)
    {
      struct record *stream = find_live_by_token (
          tracker, &request->flow_key, request->token, request->token_len);

      if (stream != NULL && stream->state == STATE_STREAM)
        end_stream (stream);
    }
  record = create_record (tracker, request, now);
  tracker->totals.received++;
  tracker->totals.in_progress++;
  if (request->may_be_duplicate && !request->idempotent)
    {
      mark_expired (record);
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
                            const struct hs_response_info *response,
                            const uint8_t *bytes, size_t len, uint64_t now)
{
  struct record *record = find_live_by_token (
      tracker, &response->flow_key, response->token, response->token_len);

  (void)now;
  if (record == NULL)
    return is_retransmission (tracker, response);
  record->last_response_id = response->message_id;
  if (record->state == STATE_IN_PROGRESS)
    complete (record, response, bytes, len);
  else if (!response->more_follow)
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
      struct record *record = HS_LIST_ENTRY (link, struct record, age_link);

      if (record->state == STATE_STREAM
          && record->last_response_id == message_id
          && hs_flow_key_equal (&record->request.flow_key, flow))
        end_stream (record);
    }
}

void
hs_tracker_close_flow (struct hs_tracker *tracker,
                       const struct hs_flow_key *flow, uint64_t now)
{
  (void)now;
  HS_LIST_FOREACH (link, &tracker->records_by_age)
    {
      struct record *record = HS_LIST_ENTRY (link, struct record, age_link);

      if (!hs_flow_key_equal (&record->request.flow_key, flow))
        continue;
      if (record->state == STATE_STREAM)
        end_stream (record);
      else if (record->state == STATE_IN_PROGRESS)
        mark_expired (record);
    }
}

struct hs_request_totals
hs_tracker_totals (const struct hs_tracker *tracker)
{
  return tracker->totals;
}

/* Private definitions.  */

static uint64_t
hash_id (const struct hs_flow_key *flow, uint16_t message_id)
{
  return XXH3_64bits_withSeed (&message_id, sizeof message_id,
                               hs_flow_key_hash (flow));
}

static uint64_t
hash_token (const struct hs_flow_key *flow, const uint8_t *token,
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
         && hs_flow_key_equal (&record->request.flow_key, id->flow_key);
}

/* Matches the records that a response may belong to: requests in progress and
   open streams.  */
static bool
match_live_token (const struct hs_table_node *node, const void *key)
{
  const struct record *record = HS_LIST_ENTRY (node, struct record, by_token);
  const struct token_key *token = key;

  return (record->state == STATE_IN_PROGRESS || record->state == STATE_STREAM)
         && record->request.token_len == token->token_len
         && memcmp (record->request.token, token->token, token->token_len) == 0
         && hs_flow_key_equal (&record->request.flow_key, token->flow_key);
}

static struct record *
find_by_id (struct hs_tracker *tracker, const struct hs_flow_key *flow,
            uint16_t message_id)
{
  struct id_key key = { flow, message_id };
  struct hs_table_node *node = hs_table_find (
      tracker->records_by_id, hash_id (flow, message_id), match_id, &key);

  return node != NULL ? HS_LIST_ENTRY (node, struct record, by_id) : NULL;
}

static struct record *
find_live_by_token (struct hs_tracker *tracker, const struct hs_flow_key *flow,
                    const uint8_t *token, uint8_t token_len)
{
  struct token_key key = { flow, token, token_len };
  struct hs_table_node *node = hs_table_find (
      tracker->records_by_token, hash_token (flow, token, token_len),
      match_live_token, &key);

  return node != NULL ? HS_LIST_ENTRY (node, struct record, by_token) : NULL;
}

/* Returns whether RESPONSE is a retransmission of one that was handled before.
   If a response or its acknowledgement is lost between this agent and the
   caller, the upstream sends the response again with the same message id.  */
static bool
is_retransmission (struct hs_tracker *tracker,
                   const struct hs_response_info *response)
{
  uint64_t hash
      = hash_token (&response->flow_key, response->token, response->token_len);

  return hs_table_find (tracker->records_by_token, hash, match_retransmission,
                        response)
         != NULL;
}

static bool
match_retransmission (const struct hs_table_node *node, const void *key)
{
  const struct record *record = HS_LIST_ENTRY (node, struct record, by_token);
  const struct hs_response_info *response = key;

  return record->state == STATE_DONE && record->response != NULL
         && record->last_response_id == response->message_id
         && record->request.token_len == response->token_len
         && memcmp (record->request.token, response->token,
                    response->token_len)
                == 0
         && hs_flow_key_equal (&record->request.flow_key, &response->flow_key);
}

static struct hs_request_decision
decide_duplicate (struct hs_tracker *tracker, struct record *record)
{
  struct hs_request_decision decision = { .action = HS_REQUEST_DROP };

  tracker->totals.duplicates++;
  if (record->state == STATE_IN_PROGRESS)
    return decision;
  if (record->response == NULL)
    return refuse (
        (struct hs_verdict){ HS_OUTCOME_MAY_HAVE_RUN, HS_REASON_TIMEOUT });
  decision.action = HS_REQUEST_REPLAY;
  decision.response = record->response;
  decision.response_len = record->response_len;
  return decision;
}

static struct hs_request_decision
refuse (struct hs_verdict verdict)
{
  return (struct hs_request_decision){ .action = HS_REQUEST_REFUSE,
                                       .verdict = verdict };
}

/* Removes records older than HS_REQUEST_RECORD_LIFETIME_MS and then, if the
   table is still full, the oldest completed one of an idempotent request.
   Returns false if there is none and the table stays full.  */
static bool
evict_records (struct hs_tracker *tracker, uint64_t now)
{
  HS_LIST_FOREACH (link, &tracker->records_by_age)
    {
      struct record *record = HS_LIST_ENTRY (link, struct record, age_link);

      if (now - record->received_at < HS_REQUEST_RECORD_LIFETIME_MS)
        break;
      if (record->state == STATE_DONE || record->state == STATE_EXPIRED)
        remove_record (record);
    }
  if (hs_table_len (tracker->records_by_id) < HS_REQUEST_RECORDS_MAX)
    return true;
  HS_LIST_FOREACH (link, &tracker->records_by_age)
    {
      struct record *record = HS_LIST_ENTRY (link, struct record, age_link);

      if (!record->request.idempotent || record->state == STATE_IN_PROGRESS
          || record->state == STATE_STREAM)
        continue;
      remove_record (record);
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
                   hash_id (&request->flow_key, request->message_id));
  hs_table_insert (
      tracker->records_by_token, &record->by_token,
      hash_token (&request->flow_key, request->token, request->token_len));
  hs_list_append (&tracker->records_by_age, &record->age_link);
  return record;
}

static void
remove_record (struct record *record)
{
  struct hs_tracker *tracker = record->tracker;

  hs_timer_stop (&record->timer);
  hs_table_remove (tracker->records_by_id, &record->by_id);
  hs_table_remove (tracker->records_by_token, &record->by_token);
  hs_list_remove (&record->age_link);
  talloc_free (record);
}

static void
end_stream (struct record *record)
{
  record->state = STATE_DONE;
  record->tracker->totals.streams--;
}

/* Handles the first response to a request in progress.  */
static void
complete (struct record *record, const struct hs_response_info *response,
          const uint8_t *bytes, size_t len)
{
  struct hs_request_totals *totals = &record->tracker->totals;

  hs_timer_stop (&record->timer);
  store_response (record, bytes, len);
  totals->in_progress--;
  if (response->refused)
    totals->not_run++;
  else
    totals->ran++;
  record->state = STATE_DONE;
  if (response->refused || !response->more_follow
      || !record->request.opens_stream)
    return;
  record->state = STATE_STREAM;
  totals->streams++;
}

static void
store_response (struct record *record, const uint8_t *bytes, size_t len)
{
  record->response = talloc_memdup (record, bytes, len);
  record->response_len = len;
}

static void
on_deadline (void *ctx, uint64_t now)
{
  struct record *record = ctx;
  struct hs_verdict verdict = { HS_OUTCOME_MAY_HAVE_RUN, HS_REASON_TIMEOUT };
  struct hs_tracker *tracker = record->tracker;

  (void)now;
  mark_expired (record);
  tracker->ops.request_expired (tracker->ctx, &record->request, verdict);
}

/* Gives up a request in progress and counts it as MAY_HAVE_RUN.  */
static void
mark_expired (struct record *record)
{
  hs_timer_stop (&record->timer);
  record->state = STATE_EXPIRED;
  record->tracker->totals.in_progress--;
  record->tracker->totals.may_have_run++;
}
