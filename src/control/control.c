/* control.c -- the daemon hibiscusspan-control: stores service documents and
   membership views, and sends them to entries and agents.

   Threads: link, decision worker (named "decide"; this file), disk, the HTTP
   server, log.  A change or a view is written to disk first, and applied once
   the disk thread returns its record.  */

#include "control/control.h"
#include "base/auto.h"
#include "base/worker.h"
#include "control/api.h"
#include "control/disk_writer.h"
#include "control/link_nodes.h"
#include "daemon/link.h"

#include <string.h>

/* Types.  */

/* Capacities of the rings.  */
#define MESSAGES_QUEUED 65536
#define CALLS_QUEUED 256
#define WRITTEN_RECORDS_QUEUED 8192

#define TICK_MS 500
#define STOP_WAITS_MAX 20       /* Calls of hs_api_wait_idle, 2 s in all.  */
#define ENTRIES_PER_AGENT_MAX 8 /* Entries sent to one agent.  */

/* Services, and likewise views, in one update: half of what a node accepts of
   each.  */
#define SENT_ITEMS_MAX (HS_UPDATE_ITEMS_MAX / 2)

/* A change or a view whose record the disk thread has not returned yet.  */
struct pending_write
{
  struct hs_list link;
  struct hs_api_call *call;   /* NULL: the record is a view.  */
  struct hs_message *message; /* A talloc child.  */
};

struct hs_control
{
  struct hs_control_settings settings;
  struct hs_log *log;
  struct hs_metrics *metric_set;
  struct hs_counter *changes_accepted;
  struct hs_counter *changes_refused;
  struct hs_counter *announcements;
  struct hs_counter *updates;
  struct hs_counter *version_gauge;

  /* Rings to the decision worker.  */
  struct hs_ring *messages; /* struct hs_envelope, from the link thread  */
  struct hs_ring *calls;    /* struct hs_api_call, from the HTTP thread  */
  struct hs_ring *written_records; /* struct hs_disk_record, from the disk
                                      thread  */

  struct hs_link *link;
  struct hs_api *api;
  struct hs_disk_writer *disk_writer;
  struct hs_journal *journal;
  struct hs_audit *audit;
  struct hs_worker *decision_worker;

  /* Used by the decision worker only.  */
  struct hs_timers *timers;
  struct hs_catalog *catalog;
  struct hs_admission *admission;
  struct hs_registry *registry;
  struct hs_link_nodes *nodes;
  struct hs_timer tick;
  struct hs_list pending_writes;
  uint64_t version;          /* Number of records applied.  */
  uint64_t notified_version; /* Newest version that nodes were notified of.  */
};

/* Private functions.  */

static void create_metrics (struct hs_control *control);
static void create_decision_worker (struct hs_control *control);
static bool open_files (struct hs_control *control, GError **error);
static bool open_servers (struct hs_control *control, GError **error);
static bool on_replay (void *ctx, const uint8_t *data, size_t len,
                       GError **error);
static bool push_call (void *ctx, struct hs_api_call *call);
static void on_call (void *ctx, void *item);
static void on_record_written (void *ctx, void *item);
static void after_items (void *ctx);
static void notify_node (void *ctx, const struct hs_envelope *last);
static void on_message (void *ctx, void *item);
static void on_view_proposed (void *ctx, const struct hs_view *view);
static void on_tick (void *ctx, uint64_t now);
static void start_change (struct hs_control *control,
                          struct hs_api_call *call);
static bool queue_record (struct hs_control *control,
                          struct hs_message *message,
                          struct hs_api_call *call);
static void finish_change (struct hs_control *control,
                           struct pending_write *pending,
                           struct hs_verdict verdict);
static void finish_view (struct hs_control *control,
                         const struct pending_write *pending,
                         struct hs_verdict verdict);
static void apply_record (struct hs_control *control,
                          const struct hs_message *message,
                          struct hs_change_result *result);
static void answer_change (struct hs_control *control,
                           struct hs_api_call *call,
                           const struct hs_document *before,
                           const struct hs_change_result *result);
static void queue_audit_line (struct hs_control *control, char *line);
static void send_update (struct hs_control *control,
                         const struct hs_envelope *to);
static void send_reject (struct hs_control *control,
                         const struct hs_envelope *to,
                         enum hs_announce_result reason);
static struct hs_envelope *create_reply (const struct hs_envelope *to,
                                         enum hs_message_type type);
static void add_item_copy (struct hs_catalog_update *update,
                           const struct hs_catalog_item *item,
                           const struct hs_announcement *announcement);
static bool node_needs_item (const struct hs_catalog_item *item,
                             const struct hs_announcement *announcement);

/* Public definitions.  */

struct hs_control *
hs_control_create (const struct hs_control_settings *settings,
                   struct hs_log *log, GError **error)
{
  struct hs_control *control = talloc_zero (NULL, struct hs_control);

  control->settings = *settings;
  control->log = log;
  control->messages = hs_ring_create (control, MESSAGES_QUEUED);
  control->calls = hs_ring_create (control, CALLS_QUEUED);
  control->written_records = hs_ring_create (control, WRITTEN_RECORDS_QUEUED);
  hs_list_init (&control->pending_writes);
  create_metrics (control);
  create_decision_worker (control);
  if (open_files (control, error) && open_servers (control, error))
    return control;
  hs_worker_destroy (control->decision_worker);
  talloc_free (control);
  return NULL;
}

void
hs_control_destroy (struct hs_control *control)
{
  void *item;
  unsigned int waits = 0;

  hs_api_stop_accepting (control->api);
  hs_link_stop (control->link);
  hs_worker_stop (control->decision_worker);
  hs_disk_writer_stop (control->disk_writer);
  /* The threads have stopped, so this one finishes the calls and the writes
     until every open request has been answered.  */
  do
    {
      while ((item = hs_ring_pop (control->calls)) != NULL)
        on_call (control, item);
      hs_disk_writer_flush (control->disk_writer);
      while ((item = hs_ring_pop (control->written_records)) != NULL)
        on_record_written (control, item);
      hs_disk_writer_flush (control->disk_writer);
    }
  while (!hs_api_wait_idle (control->api) && ++waits < STOP_WAITS_MAX);
  hs_api_destroy (control->api);
  while ((item = hs_ring_pop (control->messages)) != NULL)
    talloc_free (item);
  hs_link_destroy (control->link);
  hs_worker_destroy (control->decision_worker);
  hs_disk_writer_destroy (control->disk_writer);
  talloc_free (control);
}

void
hs_control_start (struct hs_control *control)
{
  hs_disk_writer_start (control->disk_writer);
  hs_worker_start (control->decision_worker);
  hs_link_start (control->link);
  hs_api_set_unhealthy (control->api, NULL);
}

/* Private definitions.  */

static void
create_metrics (struct hs_control *control)
{
  struct hs_metrics *set = hs_metrics_create (control, "hibiscusspan_control");

  control->metric_set = set;
  control->changes_accepted = hs_counter_create (set, "changes_accepted_total",
                                                 "Document changes accepted.");
  control->changes_refused
      = hs_counter_create (set, "changes_refused_total",
                           "Document changes refused or not confirmed.");
  control->announcements = hs_counter_create (
      set, "announcements_total", "Announcements received from nodes.");
  control->updates
      = hs_counter_create (set, "updates_total", "Updates sent to nodes.");
  control->version_gauge = hs_gauge_create (
      set, "catalog_version", "Version of the catalog: records applied.");
}

static void
create_decision_worker (struct hs_control *control)
{
  struct hs_registry_ops ops = { on_view_proposed };
  void *root;

  control->decision_worker = hs_worker_create ("decide");
  root = control->decision_worker;
  control->timers = hs_timers_create (root, hs_clock_monotonic ());
  control->catalog = hs_catalog_create (root);
  control->admission = hs_admission_create (root, control->catalog);
  control->nodes = hs_link_nodes_create (root);
  control->registry
      = hs_registry_create (root, control->catalog, &ops, control);
  hs_timer_init (&control->tick, on_tick, control);
  hs_timer_start (control->timers, &control->tick, hs_clock_monotonic ());
  hs_worker_watch_ring (control->decision_worker, control->messages,
                        on_message, control);
  hs_worker_watch_ring (control->decision_worker, control->calls, on_call,
                        control);
  hs_worker_watch_ring (control->decision_worker, control->written_records,
                        on_record_written, control);
  hs_worker_set_after_items (control->decision_worker, after_items, control);
  hs_worker_set_timers (control->decision_worker, control->timers);
}

static bool
open_files (struct hs_control *control, GError **error)
{
  const char *folder = control->settings.data_folder;

  control->journal
      = hs_journal_open (control, folder, on_replay, control, error);
  if (control->journal == NULL)
    return false;
  control->audit = hs_audit_open (control, folder, error);
  if (control->audit == NULL)
    return false;
  control->disk_writer
      = hs_disk_writer_create (control->journal, control->audit,
                               control->written_records, control->log);
  hs_log_write (control->log, HS_LOG_INFO, "journal-read", "{s:I}", "version",
                (json_int_t)control->version);
  return true;
}

static bool
open_servers (struct hs_control *control, GError **error)
{
  control->link = hs_link_bind (&control->settings.link_address,
                                control->messages, control->metric_set, error);
  if (control->link == NULL)
    return false;
  control->api
      = hs_api_create (&control->settings.api_address, control->metric_set,
                       push_call, control, error);
  return control->api != NULL;
}

static bool
on_replay (void *ctx, const uint8_t *data, size_t len, GError **error)
{
  struct hs_control *control = ctx;
  HS_AUTO_TALLOC struct hs_message *message
      = hs_message_decode (NULL, data, len, error);
  struct hs_change_result result;

  if (message == NULL)
    return false;
  apply_record (control, message, &result);
  return true;
}

static bool
push_call (void *ctx, struct hs_api_call *call)
{
  struct hs_control *control = ctx;

  return hs_ring_push (control->calls, call);
}

static void
on_call (void *ctx, void *item)
{
  struct hs_control *control = ctx;
  struct hs_api_call *call = item;

  switch (call->kind)
    {
    case HS_API_CALL_PUT_SERVICE:
      start_change (control, call);
      break;
    case HS_API_CALL_GET_SERVICE:
      hs_api_answer_get (call, control->catalog);
      break;
    case HS_API_CALL_LIST_SERVICES:
      hs_api_answer_list (call, control->catalog);
      break;
    case HS_API_CALL_GET_STATUS:
      hs_api_answer_status (call, control->catalog, control->registry);
      break;
    }
}

/* Records come back in the order in which they were queued, so each belongs
   to the oldest pending write.  */
static void
on_record_written (void *ctx, void *item)
{
  struct hs_control *control = ctx;
  HS_AUTO_TALLOC struct hs_disk_record *record = item;
  HS_AUTO_TALLOC struct pending_write *pending = HS_LIST_ENTRY (
      hs_list_pop (&control->pending_writes), struct pending_write, link);

  if (pending->call != NULL)
    finish_change (control, pending, record->verdict);
  else
    finish_view (control, pending, record->verdict);
}

/* Notifies nodes as soon as a batch of ring items has been handled, with one
   update for all changes in it.  A lost update is sent again in reply to the
   node's next announcement.  */
static void
after_items (void *ctx)
{
  struct hs_control *control = ctx;

  if (control->notified_version == hs_catalog_version (control->catalog))
    return;
  hs_link_nodes_foreach (control->nodes, notify_node, control);
  control->notified_version = hs_catalog_version (control->catalog);
}

/* Sends an update to a node if an item that it needs has changed since the
   previous notification.  LAST is the node's latest announcement.  */
static void
notify_node (void *ctx, const struct hs_envelope *last)
{
  struct hs_control *control = ctx;
  const struct hs_announcement *announcement = &last->message->announcement;
  const struct hs_catalog_item *item
      = hs_catalog_first_after (control->catalog, control->notified_version);

  while (item != NULL && !node_needs_item (item, announcement))
    item = hs_catalog_next (control->catalog, item);
  if (item != NULL)
    send_update (control, last);
}

static void
on_message (void *ctx, void *item)
{
  struct hs_control *control = ctx;
  HS_AUTO_TALLOC struct hs_envelope *envelope = item;
  const struct hs_message *message = envelope->message;
  enum hs_announce_result result;

  if (message->type != HS_MESSAGE_ANNOUNCE)
    return;
  hs_counter_add (control->announcements, 1);
  result = hs_registry_announce (control->registry, &message->announcement,
                                 hs_clock_monotonic ());
  if (result != HS_ANNOUNCE_OK)
    {
      send_reject (control, envelope, result);
      return;
    }
  hs_link_nodes_update (control->nodes, envelope, hs_clock_monotonic ());
  if (message->announcement.catalog_version
      < hs_catalog_version (control->catalog))
    send_update (control, envelope);
}

static void
on_view_proposed (void *ctx, const struct hs_view *view)
{
  struct hs_control *control = ctx;
  struct hs_message *message = talloc_zero (NULL, struct hs_message);
  HS_AUTO_TALLOC struct hs_view *copy = hs_view_copy (NULL, view);

  message->type = HS_MESSAGE_VIEW;
  message->view = *copy;
  talloc_steal (message, copy->members);
  if (!queue_record (control, message, NULL))
    talloc_free (message);
}

static void
on_tick (void *ctx, uint64_t now)
{
  struct hs_control *control = ctx;

  hs_registry_tick (control->registry, now);
  hs_link_nodes_expire (control->nodes, now);
  hs_timer_start (control->timers, &control->tick, now + TICK_MS);
}

static void
start_change (struct hs_control *control, struct hs_api_call *call)
{
  struct hs_change_result result;
  struct hs_message *message;
  const struct hs_catalog_item *item;

  if (!hs_admission_check (control->admission, &call->change, &result))
    {
      item = hs_catalog_find_name (control->catalog,
                                   call->change.document->service_name);
      answer_change (control, call,
                     item != NULL ? item->service->document : NULL, &result);
      return;
    }
  message = talloc_zero (NULL, struct hs_message);
  message->type = HS_MESSAGE_CHANGE;
  message->change = call->change;
  if (queue_record (control, message, call))
    return;
  talloc_free (message);
  result.verdict
      = (struct hs_verdict){ HS_OUTCOME_NOT_RUN, HS_REASON_OVERLOADED };
  g_strlcpy (result.message, "disk queue is full", sizeof result.message);
  answer_change (control, call, NULL, &result);
}

/* Queues MESSAGE for the disk thread.  CALL, which may be NULL, is answered
   once MESSAGE has been written.  Takes ownership of both.  If the queue is
   full, returns false and leaves their ownership unchanged.  */
static bool
queue_record (struct hs_control *control, struct hs_message *message,
              struct hs_api_call *call)
{
  struct hs_disk_record *record = talloc_zero (NULL, struct hs_disk_record);
  struct pending_write *pending;

  record->data = hs_message_encode (record, message, &record->len);
  if (!hs_disk_writer_push (control->disk_writer, record))
    {
      talloc_free (record);
      return false;
    }
  pending = talloc_zero (NULL, struct pending_write);
  pending->call = call;
  pending->message = talloc_steal (pending, message);
  hs_list_append (&control->pending_writes, &pending->link);
  return true;
}

static void
finish_change (struct hs_control *control, struct pending_write *pending,
               struct hs_verdict verdict)
{
  struct hs_change_result result = { .verdict = verdict };
  const struct hs_change *change = &pending->message->change;
  const struct hs_catalog_item *item = hs_catalog_find_name (
      control->catalog, change->document->service_name);
  HS_AUTO_TALLOC struct hs_service *before
      = item != NULL ? hs_service_copy (NULL, item->service) : NULL;

  if (verdict.outcome == HS_OUTCOME_RAN)
    apply_record (control, pending->message, &result);
  else
    g_strlcpy (result.message, "writing the change to disk failed",
               sizeof result.message);
  answer_change (control, pending->call,
                 before != NULL ? before->document : NULL, &result);
}

static void
finish_view (struct hs_control *control, const struct pending_write *pending,
             struct hs_verdict verdict)
{
  const struct hs_view *view = &pending->message->view;
  const struct hs_catalog_item *item;
  struct hs_change_result unused;

  if (verdict.outcome != HS_OUTCOME_RAN)
    return;
  apply_record (control, pending->message, &unused);
  hs_registry_apply_view (control->registry, view->service_id,
                          hs_clock_monotonic ());
  item = hs_catalog_find (control->catalog, view->service_id);
  queue_audit_line (control, hs_audit_format_view (
                                 NULL, hs_clock_wall (),
                                 item->service != NULL
                                     ? item->service->document->service_name
                                     : "entries",
                                 view));
}

/* Applies a record that is on stable storage, and gives it the next
   version.  */
static void
apply_record (struct hs_control *control, const struct hs_message *message,
              struct hs_change_result *result)
{
  control->version++;
  if (message->type == HS_MESSAGE_CHANGE)
    hs_admission_apply (control->admission, control->version, &message->change,
                        result);
  else if (message->type == HS_MESSAGE_VIEW)
    hs_catalog_put_view (control->catalog, control->version, &message->view);
  hs_counter_set (control->version_gauge, control->version);
}

/* Logs and audits the result of a change, sends it to the operator and frees
   CALL.  BEFORE is the document that was in force; NULL: none.  */
static void
answer_change (struct hs_control *control, struct hs_api_call *call,
               const struct hs_document *before,
               const struct hs_change_result *result)
{
  bool accepted = result->verdict.outcome == HS_OUTCOME_RAN;

  hs_counter_add (
      accepted ? control->changes_accepted : control->changes_refused, 1);
  hs_log_write (control->log, HS_LOG_INFO, "change", "{s:s, s:s, s:s, s:I}",
                "service", call->change.document->service_name, "change",
                call->change.id, "verdict",
                hs_outcome_name (result->verdict.outcome), "revision",
                (json_int_t)result->revision);
  queue_audit_line (control,
                    hs_audit_format_change (NULL, hs_clock_wall (),
                                            &call->change, before, result));
  hs_api_answer_change (call, result);
}

/* Queues LINE for the audit log and takes ownership of it.  */
static void
queue_audit_line (struct hs_control *control, char *line)
{
  struct hs_disk_record *record = talloc_zero (NULL, struct hs_disk_record);

  record->audit_line = talloc_steal (record, line);
  if (hs_disk_writer_push (control->disk_writer, record))
    return;
  hs_log_write (control->log, HS_LOG_ERROR, "audit-line-lost", "{s:s}", "line",
                line);
  talloc_free (record);
}

static void
send_update (struct hs_control *control, const struct hs_envelope *to)
{
  const struct hs_announcement *announcement = &to->message->announcement;
  struct hs_envelope *envelope = create_reply (to, HS_MESSAGE_UPDATE);
  struct hs_catalog_update *update = &envelope->message->update;
  const struct hs_catalog_item *item = hs_catalog_first_after (
      control->catalog, announcement->catalog_version);

  update->from_version = announcement->catalog_version;
  update->to_version = announcement->catalog_version;
  update->services
      = talloc_array (envelope, struct hs_service, SENT_ITEMS_MAX);
  update->views = talloc_array (envelope, struct hs_view, SENT_ITEMS_MAX);
  for (; item != NULL; item = hs_catalog_next (control->catalog, item))
    {
      if (update->services_len == SENT_ITEMS_MAX
          || update->views_len == SENT_ITEMS_MAX)
        break;
      if (node_needs_item (item, announcement))
        add_item_copy (update, item, announcement);
      update->to_version = item->version;
    }
  if (item == NULL)
    update->to_version = hs_catalog_version (control->catalog);
  hs_counter_add (control->updates, 1);
  hs_link_send (control->link, envelope);
}

static void
send_reject (struct hs_control *control, const struct hs_envelope *to,
             enum hs_announce_result reason)
{
  struct hs_envelope *envelope = create_reply (to, HS_MESSAGE_REJECT);

  envelope->message->reject_reason = reason;
  hs_link_send (control->link, envelope);
}

static struct hs_envelope *
create_reply (const struct hs_envelope *to, enum hs_message_type type)
{
  struct hs_envelope *envelope = hs_envelope_create ();

  envelope->peer_id_len = to->peer_id_len;
  memcpy (envelope->peer_id, to->peer_id, to->peer_id_len);
  envelope->message->type = type;
  return envelope;
}

/* Adds copies of ITEM's service and view to UPDATE: the link thread encodes
   the update later, when the catalog may have changed.  */
static void
add_item_copy (struct hs_catalog_update *update,
               const struct hs_catalog_item *item,
               const struct hs_announcement *announcement)
{
  const struct hs_view *view = item->view;

  if (item->service != NULL)
    {
      const struct hs_service *copy
          = hs_service_copy (update->services, item->service);

      update->services[update->services_len++] = *copy;
    }
  if (view == NULL)
    return;
  view = item->service_id == HS_ENTRY_SERVICE_ID
             ? hs_view_subset (update->views, view,
                               hs_id_from_name (announcement->name),
                               ENTRIES_PER_AGENT_MAX)
             : hs_view_copy (update->views, view);
  update->views[update->views_len++] = *view;
}

/* Returns whether a node needs ITEM: entries need every service, agents need
   their own service and the view of the entries.  */
static bool
node_needs_item (const struct hs_catalog_item *item,
                 const struct hs_announcement *announcement)
{
  if (announcement->role == HS_ROLE_ENTRY)
    return item->service_id != HS_ENTRY_SERVICE_ID;
  if (item->service_id == HS_ENTRY_SERVICE_ID)
    return true;
  return item->service != NULL
         && strcmp (item->service->document->service_name,
                    announcement->service_name)
                == 0;
}
