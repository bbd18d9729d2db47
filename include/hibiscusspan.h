/* hibiscusspan.h -- the whole interface of libhibiscusspan.

   The library holds the decisions of a layer-4 load balancer.  It calls no
   clock, socket, thread or unseeded random source and knows no wire format:
   each part is fed events and the present time, and answers by return value
   or through callbacks that take a context pointer.

   Times are milliseconds on any steady clock.  Objects made by a function
   named "create" are children of the talloc context given as PARENT and are
   released by the "destroy" of the same name or with their parent.  */

#ifndef HIBISCUSSPAN_H
#define HIBISCUSSPAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Verdicts: whether a request may have run.  */

enum hs_outcome
{
  HS_OUTCOME_NOT_RUN, /* The request provably never reached an upstream.  */
  HS_OUTCOME_MAY_HAVE_RUN, /* The request was sent and its fate is unknown.  */
  HS_OUTCOME_RAN           /* The upstream answered the request.  */
};

enum hs_reason
{
  HS_REASON_NONE,          /* Nothing to explain.  */
  HS_REASON_MALFORMED,     /* The bytes are not a valid message.  */
  HS_REASON_WRONG_SERVICE, /* Meant for another service.  */
  HS_REASON_WRONG_HOST,    /* Meant for another incarnation.  */
  HS_REASON_NO_SERVICE,    /* No service has that name or address.  */
  HS_REASON_NO_UPSTREAM,   /* The service has no upstream to serve it.  */
  HS_REASON_OWNER_UNKNOWN, /* The view is newer than what is known here.  */
  HS_REASON_DRAINING,      /* The agent is draining.  */
  HS_REASON_OVERLOADED,    /* A table or queue is full.  */
  HS_REASON_TIMEOUT,       /* The deadline passed without an answer.  */
  HS_REASON_SHED,          /* The upstream refused the request.  */
  HS_REASON_CANCELLED,     /* The caller gave the request up.  */
  HS_REASON_CONFLICT,      /* Another change was accepted first.  */
  HS_REASON_INVALID,       /* The document breaks a rule.  */
  HS_REASON_STORAGE,       /* The disk failed or is full.  */
  HS_REASON_COUNT
};

struct hs_verdict
{
  enum hs_outcome outcome;
  enum hs_reason reason;
};

const char *hs_outcome_name (enum hs_outcome outcome); /* "not-run", ...  */
const char *hs_reason_name (enum hs_reason reason);    /* "timeout", ...  */

/* Errors: the GError domain of the library.  */

#define HS_ERROR (hs_error_quark ())

enum hs_error
{
  HS_ERROR_MALFORMED, /* Bytes that do not decode.  */
  HS_ERROR_INVALID,   /* A value out of range or an unknown field.  */
  HS_ERROR_CONFLICT,  /* A change based on an older revision.  */
  HS_ERROR_NOT_FOUND, /* No such item.  */
  HS_ERROR_LIMIT,     /* A size limit was reached.  */
  HS_ERROR_SYSTEM     /* An operating system call failed.  */
};

GQuark hs_error_quark (void); /* The domain of the codes above.  */

/* Addresses: an IP number and a port, IPv4 kept as ::ffff:a.b.c.d.  */

#define HS_ADDR_TEXT_SIZE 56 /* Bytes of a formatted address, with NUL.  */

struct hs_addr
{
  uint8_t ip[16];
  uint16_t port; /* Host byte order.  */
};

bool hs_addr_parse (const char *text, struct hs_addr *addr);  /* "IP:PORT"  */
void hs_addr_format (const struct hs_addr *addr, char *text); /* Inverse.  */
bool hs_addr_equal (const struct hs_addr *a, const struct hs_addr *b);

/* Names of services, members, changes and operators.  */

#define HS_NAME_SIZE 64 /* Bytes of a name, with NUL.  */

bool hs_name_is_valid (const char *name); /* 1 to 63 letters, digits, '-', '_'
                                             or '.'.  */

/* Intrusive lists: the node lives inside the element.  */

struct hs_list
{
  struct hs_list *prev;
  struct hs_list *next;
};

#define HS_LIST_ENTRY(node, type, field)                                      \
  ((type *)(void *)((char *)(node)-offsetof (type, field)))

#define HS_LIST_FOREACH(node, list)                                           \
  for (struct hs_list *node = (list)->next, *node##_next = node->next;        \
       node != (list); node = node##_next, node##_next = node->next)

void hs_list_init (struct hs_list *list);           /* Make it empty.  */
bool hs_list_is_empty (const struct hs_list *list); /* No element.  */
void hs_list_append (struct hs_list *list, struct hs_list *node);
void hs_list_remove (struct hs_list *node);         /* Idempotent.  */
struct hs_list *hs_list_pop (struct hs_list *list); /* NULL if empty.  */

/* Hash tables of intrusive lists; the caller keeps the hash.  */

struct hs_table;

struct hs_table_node
{
  struct hs_list link;
  uint64_t hash;
};

typedef bool hs_table_match_fn (const struct hs_table_node *node,
                                const void *key);

struct hs_table *hs_table_create (void *parent);
void hs_table_destroy (struct hs_table *table); /* Elements stay.  */
void hs_table_insert (struct hs_table *table, struct hs_table_node *node,
                      uint64_t hash);
void hs_table_remove (struct hs_table *table, struct hs_table_node *node);
struct hs_table_node *hs_table_find (const struct hs_table *table,
                                     uint64_t hash, hs_table_match_fn *match,
                                     const void *key); /* NULL: none.  */
size_t hs_table_len (const struct hs_table *table);    /* Elements.  */

/* Timer service: parts subscribe, one owner advances the time.  */

struct hs_timers;

typedef void hs_timer_fn (void *ctx, uint64_t now);

struct hs_timer
{
  struct hs_list link;
  uint64_t due; /* ms  */
  hs_timer_fn *fn;
  void *ctx;
};

struct hs_timers *hs_timers_create (void *parent, uint64_t now);
void hs_timers_destroy (struct hs_timers *timers);
void hs_timer_init (struct hs_timer *timer, hs_timer_fn *fn, void *ctx);
void hs_timer_start (struct hs_timers *timers, struct hs_timer *timer,
                     uint64_t due);          /* Restarts if running.  */
void hs_timer_stop (struct hs_timer *timer); /* Idempotent.  */
uint64_t hs_timers_advance (struct hs_timers *timers,
                            uint64_t now); /* Runs what is due; ms
                                              until the next call.  */
uint64_t hs_timers_next_due (const struct hs_timers *timers); /* ms: not before
                                                            that is any due. */

/* Flow keys and rendezvous ranking.  */

struct hs_flow_key
{
  uint32_t service_id;
  struct hs_addr caller;
};

uint64_t hs_flow_key_hash (const struct hs_flow_key *key);
bool hs_flow_key_equal (const struct hs_flow_key *a,
                        const struct hs_flow_key *b);
uint64_t hs_rendezvous_score (uint64_t flow_hash, uint64_t slot);

/* Members and views: the agents of a service, in a total order.  */

#define HS_ENTRY_SERVICE_ID 0 /* Service id whose view lists the entries.  */

enum hs_member_state
{
  HS_MEMBER_READY,   /* Takes new flows.  */
  HS_MEMBER_SUSPECT, /* Its lease lapsed: no new flows.  */
  HS_MEMBER_DRAINING /* Draining: no new flows.  */
};

struct hs_member
{
  uint64_t id;          /* Stable identity, from the name.  */
  uint64_t incarnation; /* Grows with each start of the process.  */
  struct hs_addr address;
  enum hs_member_state state;
  char name[HS_NAME_SIZE];
  char zone[HS_NAME_SIZE];
};

struct hs_view
{
  uint32_t service_id;
  uint64_t number; /* Grows by one a change, from 1.  */
  size_t members_len;
  struct hs_member *members;
};

const char *hs_member_state_name (enum hs_member_state state);
uint64_t hs_id_from_name (const char *name); /* Never 0.  */
struct hs_view *hs_view_copy (void *parent, const struct hs_view *view);
const struct hs_member *hs_view_find (const struct hs_view *view,
                                      uint64_t slot); /* NULL: absent.  */
struct hs_view *hs_view_subset (void *parent, const struct hs_view *view,
                                uint64_t hash, size_t max); /* The first MAX
                                    by rank that are not suspect.  */
size_t
hs_view_top_ranked (const struct hs_view *view, uint64_t flow_hash,
                    const struct hs_member **top,
                    size_t max); /* The same, by pointer; if all are suspect,
                                    the first of them.  Returns how many.  */
const struct hs_member *
hs_view_directory (const struct hs_view *view,
                   uint64_t flow_hash); /* First of them;
                                  NULL: empty view.  */
const struct hs_member *hs_view_first_ready (const struct hs_view *view,
                                             uint64_t flow_hash);

/* Documents: what operators write about a service.  */

#define HS_DOCUMENT_SIZE_MAX 65536 /* Bytes of JSON.  */
#define HS_PATH_SIZE 128           /* Bytes of a path, with NUL.  */
#define HS_REQUEST_RULES_MAX 64    /* Request rules a document.  */

enum hs_service_kind
{
  HS_SERVICE_KIND_UDP, /* Datagrams, flow guarantees only.  */
  HS_SERVICE_KIND_COAP /* RFC 7252: requests are seen and accounted for.  */
};

struct hs_request_rule
{
  char method[8];
  char path[HS_PATH_SIZE];
  bool idempotent;
  uint32_t deadline_ms;
};

struct hs_document
{
  char service_name[HS_NAME_SIZE];
  enum hs_service_kind kind;
  struct hs_addr address;
  uint32_t grace_ms;    /* How long streams outlive a drain.  */
  uint32_t deadline_ms; /* For requests without a rule.  */
  size_t rules_len;
  struct hs_request_rule *rules;
};

struct hs_document *hs_document_parse (void *parent, const char *json,
                                       size_t len, GError **error);
char *hs_document_format (void *parent, const struct hs_document *document);
const struct hs_request_rule *
hs_document_find_rule (const struct hs_document *document, const char *method,
                       const char *path);          /* NULL: none.  */
bool hs_method_is_idempotent (const char *method); /* Without a rule.  */

/* Services: an accepted document with its identity.  */

struct hs_service
{
  uint32_t id;       /* Never used again for another service.  */
  uint64_t revision; /* Grows by one an accepted change, from 1.  */
  struct hs_document *document;
};

struct hs_service *hs_service_copy (void *parent,
                                    const struct hs_service *service);

/* Catalog: services and views in the order they were accepted.  */

struct hs_catalog;

struct hs_catalog_item
{
  struct hs_list link;        /* In order of version.  */
  uint64_t version;           /* Of the last change.  */
  uint32_t service_id;        /* Service id.  */
  struct hs_service *service; /* NULL: none yet.  */
  struct hs_view *view;       /* NULL: none yet.  */
};

struct hs_catalog *hs_catalog_create (void *parent);
void hs_catalog_destroy (struct hs_catalog *catalog);
uint64_t hs_catalog_version (const struct hs_catalog *catalog);
bool hs_catalog_put_service (struct hs_catalog *catalog, uint64_t version,
                             const struct hs_service *service);
bool hs_catalog_put_view (struct hs_catalog *catalog, uint64_t version,
                          const struct hs_view *view); /* False: older.  */
const struct hs_catalog_item *
hs_catalog_find (const struct hs_catalog *catalog, uint32_t id);
const struct hs_catalog_item *
hs_catalog_find_name (const struct hs_catalog *catalog, const char *name);
const struct hs_catalog_item *
hs_catalog_find_address (const struct hs_catalog *catalog,
                         const struct hs_addr *address);
const struct hs_catalog_item *
hs_catalog_first_after (const struct hs_catalog *catalog,
                        uint64_t after); /* By version.  */
const struct hs_catalog_item *
hs_catalog_next (const struct hs_catalog *catalog,
                 const struct hs_catalog_item *item);

/* Admission: which changes of documents are accepted.  */

struct hs_change
{
  char id[HS_NAME_SIZE];     /* Chosen by the operator, unique.  */
  char author[HS_NAME_SIZE]; /* Who asked.  */
  uint64_t base_revision;    /* Revision it is based on; 0: a new one.  */
  struct hs_document *document;
};

struct hs_change_result
{
  struct hs_verdict verdict;
  uint32_t service_id; /* Of the service.  */
  uint64_t revision;   /* In force after the change, or the one in its way.  */
  char message[192];   /* For the operator.  */
};

struct hs_admission;

struct hs_admission *hs_admission_create (void *parent,
                                          struct hs_catalog *catalog);
void hs_admission_destroy (struct hs_admission *admission);
bool hs_admission_check (struct hs_admission *admission,
                         const struct hs_change *change,
                         struct hs_change_result *result); /* To be kept?  */
void hs_admission_apply (struct hs_admission *admission, uint64_t version,
                         const struct hs_change *change,
                         struct hs_change_result *result);

/* Registry: announcements become views.  */

#define HS_LEASE_MS 5000 /* Silence after which a member is suspect.  */

enum hs_role
{
  HS_ROLE_AGENT,
  HS_ROLE_ENTRY
};

struct hs_announcement
{
  enum hs_role role;
  uint64_t incarnation;
  struct hs_addr address;   /* Where packets of the inner protocol go.  */
  bool draining;            /* Takes no new flows.  */
  bool exiting;             /* The process ends.  */
  uint64_t catalog_version; /* Of the catalog in force there.  */
  char service_name[HS_NAME_SIZE]; /* Agents: the service of the upstream.  */
  char name[HS_NAME_SIZE];
  char zone[HS_NAME_SIZE];
};

struct hs_registry;

struct hs_registry_ops
{
  void (*propose) (void *ctx, const struct hs_view *view); /* To the log.  */
};

enum hs_announce_result
{
  HS_ANNOUNCE_OK,
  HS_ANNOUNCE_UNKNOWN_SERVICE,
  HS_ANNOUNCE_SUPERSEDED /* A later incarnation of the name is known.  */
};

struct hs_registry *hs_registry_create (void *parent,
                                        const struct hs_catalog *catalog,
                                        const struct hs_registry_ops *ops,
                                        void *ctx);
void hs_registry_destroy (struct hs_registry *registry);
enum hs_announce_result
hs_registry_announce (struct hs_registry *registry,
                      const struct hs_announcement *announcement,
                      uint64_t now);
void hs_registry_tick (struct hs_registry *registry, uint64_t now);
void hs_registry_apply_view (struct hs_registry *registry, uint32_t service,
                             uint64_t now); /* A view was accepted.  */
uint64_t hs_registry_catalog_version (const struct hs_registry *registry,
                                      uint32_t service, uint64_t slot);

/* Placer: where an entry sends a packet of a flow.  */

#define HS_ROUTE_CACHE_LEN 8192 /* Size of the hint cache, flows.  */

struct hs_placer;

struct hs_placement
{
  const struct hs_member *target; /* NULL: no upstream.  */
  uint64_t view_number;
};

struct hs_placer *hs_placer_create (void *parent,
                                    const struct hs_catalog *catalog);
void hs_placer_destroy (struct hs_placer *placer);
struct hs_placement hs_placer_place (struct hs_placer *placer,
                                     const struct hs_flow_key *key);
void hs_placer_cache_route (struct hs_placer *placer,
                            const struct hs_flow_key *key,
                            uint64_t slot); /* The flow is held there.  */
void hs_placer_evict_route (struct hs_placer *placer,
                            const struct hs_flow_key *key); /* Its hint.  */
size_t hs_placer_cached_routes (const struct hs_placer *placer); /* In use.  */

/* Holder: what an agent does with a packet of a flow.  */

#define HS_FLOWS_MAX 65536 /* Flows an agent holds.  */
#define HS_HOPS_MAX 3      /* Agents a packet may pass.  */
#define HS_OWNERSHIP_TICK_MS 100
#define HS_ENTRY_PATH_MAX_AGE_MS 1000
#define HS_FLOW_UNCERTAIN_MS 247000   /* RFC 7252 EXCHANGE_LIFETIME.  */
#define HS_FLOW_IDLE_MS (3600 * 1000) /* Silence that ends a flow.  */

struct hs_entry_path
{
  struct hs_addr address;
  uint64_t incarnation;   /* Of the entry.  */
  uint64_t last_heard_at; /* ms; 0: never.  */
};

/* By which entry to answer a flow last heard by FLOW: that one, if it was
   heard from within HS_ENTRY_PATH_MAX_AGE_MS, or else the one that this agent
   heard from last on any flow, ANY, if that is fresh, or else the entries of
   the view in turn.  So an entry that has died silences nobody for long.
   False: none is known.  */
bool hs_entry_path_choose (const struct hs_catalog *catalog,
                           const struct hs_entry_path *flow,
                           const struct hs_entry_path *any, uint64_t turn,
                           uint64_t now, struct hs_entry_path *path);

#define HS_BACKUPS_MAX 4 /* Agents that know who holds a flow, at most.  */

struct hs_backup
{
  uint64_t id; /* 0: none.  */
  uint64_t incarnation;
};

struct hs_flow
{
  struct hs_table_node node;
  struct hs_list lru_link; /* Oldest activity first.  */
  struct hs_flow_key key;
  uint64_t hash;
  uint64_t last_active_at;        /* ms of the last packet.  */
  uint64_t opened_view;           /* When it was opened here.  */
  uint64_t uncertain_until;       /* ms; before it, another agent may have run
                                     what a caller repeats here.  */
  struct hs_entry_path last_path; /* By which it was last heard.  */
  struct hs_backup backups[HS_BACKUPS_MAX];
  void *user_data; /* The daemon's: its socket to the upstream.  */
};

struct hs_hop
{
  uint32_t service_id;
  uint64_t view_number;        /* The sender's.  */
  uint64_t to_incarnation;     /* The receiver it is meant for.  */
  uint64_t entry_incarnation;  /* Incarnation of the entry it came by.  */
  struct hs_addr from_address; /* Sender of the packet.  */
  struct hs_addr caller;
  uint64_t assigned_view; /* In which the home chose this agent to hold the
                             flow; 0: it did not.  */
  bool uncertain;         /* Then: and could not rule out another holder.  */
  uint8_t hops;           /* Agents passed so far.  */
};

enum hs_route_kind
{
  HS_ROUTE_SERVE,   /* The flow is held here.  */
  HS_ROUTE_FORWARD, /* To the agent at NEXT.  */
  HS_ROUTE_WAIT,    /* Not known yet: route it again when told to.  */
  HS_ROUTE_REFUSE   /* See the reason; nothing has run.  */
};

struct hs_route_decision
{
  enum hs_route_kind kind;
  enum hs_reason reason;
  bool opened;                        /* SERVE: the flow is new.  */
  struct hs_flow *flow;               /* SERVE  */
  const struct hs_member *next_agent; /* PASS  */
  uint64_t next_assigned_view;        /* PASS: see struct hs_hop.  */
  bool next_uncertain;                /* PASS: see struct hs_hop.  */
};

/* Messages between the agents of a service about who holds which flow.
   Each is stamped with the sender's view.  */

#define HS_MESSAGE_RECORDS_MAX 32 /* Of one message.  */

enum hs_flow_message_type
{
  HS_FLOW_PUSH = 1,    /* Records; SETTLED once all of the view were sent.  */
  HS_FLOW_ACK,         /* Of the push of that SEQ.  */
  HS_FLOW_QUERY,       /* Who holds the flow of records[0]?  */
  HS_FLOW_REPLY,       /* The answer; holder 0: not the sender, and it will not
                         open the flow of its own accord in that view.  */
  HS_FLOW_RELEASE,     /* The holder of records[0] is the one named there.  */
  HS_FLOW_RETRY_LATER, /* To a question: the sender does not know yet.  */
  HS_FLOW_CONFIRM,  /* May work that is not idempotent run on records[0]?  */
  HS_FLOW_CONFIRMED /* The answer to the one of that SEQ: it may.  */
};

struct hs_ownership_record
{
  struct hs_addr caller;
  uint64_t owner_id; /* Slot; 0: no longer held by the sender.  */
  uint64_t opened_view;
};

struct hs_flow_message
{
  enum hs_flow_message_type type;
  uint32_t service_id;
  uint64_t view_number;
  uint64_t from_id;            /* Slot of the sender.  */
  struct hs_addr from_address; /* Set by the receiver's transport.  */
  uint64_t from_incarnation;
  uint64_t to_incarnation;
  uint64_t seq;
  bool transfer_complete;
  bool rules_out_missing; /* TELL: the sender would know if a member that it is
                   not settled with held the flow.  */
  size_t len;
  struct hs_ownership_record records[HS_MESSAGE_RECORDS_MAX];
};

struct hs_ownership;

struct hs_ownership_ops
{
  void (*send) (void *ctx, const struct hs_member *to,
                const struct hs_flow_message *message);
  void (*recovered) (void *ctx, struct hs_flow *flow); /* Taken back after a
                                                        restart.  */
  void (*closed) (void *ctx, struct hs_flow *flow);    /* Release LOCAL.  */
  void (*resolved) (void *ctx); /* Route again what waits.  */
  void (*confirmed) (void *ctx, uint64_t id,
                     bool may_run); /* See hs_ownership_confirm.  */
};

struct hs_ownership_stats
{
  size_t flows;
  size_t records;          /* Flows that others hold.  */
  uint64_t uncertain;      /* Flows opened so, ever.  */
  uint64_t released;       /* Flows given up to another holder, ever.  */
  uint64_t queries_sent;   /* Questions to other agents, ever.  */
  bool transfers_complete; /* With every member of the view.  */
};

struct hs_ownership *hs_ownership_create (void *parent,
                                          const struct hs_catalog *catalog,
                                          uint64_t slot, uint64_t incarnation,
                                          const struct hs_ownership_ops *ops,
                                          void *ctx);
void hs_ownership_destroy (struct hs_ownership *holder); /* "closed" is not
                                                      called for its flows.  */
void hs_ownership_set_service (struct hs_ownership *holder, uint32_t service);
void hs_ownership_set_draining (struct hs_ownership *holder);
void hs_ownership_apply_view (struct hs_ownership *holder,
                              uint64_t now); /* The catalog has changed.  */
struct hs_route_decision hs_ownership_route (struct hs_ownership *holder,
                                             const struct hs_hop *hop,
                                             uint64_t now);
void hs_ownership_receive (struct hs_ownership *holder,
                           const struct hs_flow_message *message,
                           uint64_t now);
void hs_ownership_tick (struct hs_ownership *holder,
                        uint64_t now); /* Every HS_OWNERSHIP_TICK_MS.  */

/* Before work that is not idempotent is run on FLOW: has its witnesses say,
   in the view in force here, that no one else holds it.  Returns 0 if it may
   run at once, or else an id that the callback "confirmed" will name.  */
uint64_t hs_ownership_confirm (struct hs_ownership *holder,
                               const struct hs_flow *flow, uint64_t now);
struct hs_flow *hs_ownership_find_flow (struct hs_ownership *holder,
                                        const struct hs_flow_key *key);
struct hs_ownership_stats
hs_ownership_stats (const struct hs_ownership *holder);
const struct hs_entry_path *hs_ownership_last_path (
    const struct hs_ownership *holder); /* Last, on any flow.  */

/* Tracker: the requests of an agent, each counted under one outcome.  */

#define HS_REQUEST_RECORDS_MAX 16384 /* Records kept.  */
#define HS_REQUEST_RECORD_LIFETIME_MS                                         \
  247000                /* RFC 7252 EXCHANGE_LIFETIME.                        \
                         */
#define HS_TOKEN_SIZE 8 /* Bytes of a token, at most.  */

enum hs_request_action
{
  HS_REQUEST_DELIVER, /* Pass it on to the upstream.  */
  HS_REQUEST_DROP,    /* A repeat of what is in progress.  */
  HS_REQUEST_REPLAY,  /* Send the recorded answer.  */
  HS_REQUEST_REFUSE   /* Answer with the verdict.  */
};

struct hs_request_info
{
  struct hs_flow_key flow;
  uint16_t message_id;
  uint8_t token_len;
  uint8_t token[HS_TOKEN_SIZE];
  bool idempotent;
  bool opens_stream;     /* Asks for notifications.  */
  bool cancels_stream;   /* Ends the stream of the same token.  */
  bool needs_ack;        /* Confirmable, and not acknowledged yet.  */
  bool may_be_duplicate; /* May have run elsewhere; not delivered then,
                    unless idempotent.  */
  uint32_t deadline_ms;  /* From now.  */
};

struct hs_response_info
{
  struct hs_flow_key flow;
  uint16_t message_id;
  uint8_t token_len;
  uint8_t token[HS_TOKEN_SIZE];
  bool refused;     /* The upstream did not run it.  */
  bool more_follow; /* More answers follow.  */
};

struct hs_request_decision
{
  enum hs_request_action action;
  struct hs_verdict verdict; /* REFUSE  */
  const uint8_t *response;   /* REPLAY  */
  size_t response_len;
};

struct hs_request_totals
{
  uint64_t received;
  uint64_t ran;
  uint64_t not_run;
  uint64_t may_have_run;
  uint64_t in_progress;
  uint64_t duplicates; /* Not counted as received.  */
  uint64_t streams;    /* Open now.  */
};

struct hs_tracker;

struct hs_tracker_ops
{
  /* The deadline of REQUEST passed: tell its caller.  */
  void (*request_expired) (void *ctx, const struct hs_request_info *request,
                           struct hs_verdict verdict);
};

struct hs_tracker *hs_tracker_create (void *parent, struct hs_timers *timers,
                                      const struct hs_tracker_ops *ops,
                                      void *ctx);
void hs_tracker_destroy (struct hs_tracker *tracker);
struct hs_request_decision
hs_tracker_request (struct hs_tracker *tracker,
                    const struct hs_request_info *request, uint64_t now);
void hs_tracker_refuse (struct hs_tracker *tracker); /* Counted NOT_RUN.  */
bool hs_tracker_handle_response (
    struct hs_tracker *tracker, const struct hs_response_info *answer,
    const uint8_t *bytes, size_t len,
    uint64_t now); /* False: it belongs to no request.  */
bool
hs_tracker_handle_upstream_ack (struct hs_tracker *tracker,
                                const struct hs_flow_key *flow,
                                uint16_t message_id); /* The answer follows
                                                         later; false: no such
                                                         request.  */
void
hs_tracker_handle_caller_reset (struct hs_tracker *tracker,
                                const struct hs_flow_key *flow,
                                uint16_t message_id); /* The caller rejected a
                                                         notification.  */
void hs_tracker_flow_closed (struct hs_tracker *tracker,
                             const struct hs_flow_key *flow,
                             uint64_t now); /* Its streams end.  */
struct hs_request_totals hs_tracker_totals (const struct hs_tracker *tracker);

/* Segments: the datagrams of transport flows between a caller's address and
   an address of a service.  Whoever knows their bytes decodes them once.  */

enum hs_segment_flag
{
  HS_SEGMENT_SYN = 1,
  HS_SEGMENT_ACK = 2,
  HS_SEGMENT_FIN = 4,
  HS_SEGMENT_RST = 8,
  HS_SEGMENT_RETURNED = 16 /* The upstream gave it back: it does not hold the
                              flow, or cannot accept the SYN.  */
};

struct hs_segment
{
  struct hs_addr from;
  struct hs_addr to;
  unsigned int flags; /* Of enum hs_segment_flag.  */
  uint32_t seq;
  uint32_t ack;
  uint16_t payload_len; /* Bytes of payload.  */
};

struct hs_segment_key
{
  struct hs_addr caller;
  struct hs_addr address; /* Of the service.  */
};

uint64_t hs_segment_key_hash (const struct hs_segment_key *key);
struct hs_segment_key hs_segment_key (const struct hs_segment *segment,
                                      bool from_caller);
bool hs_segment_is_syn (const struct hs_segment *segment); /* A plain SYN.  */

/* Configuration: all routes of a system under one version.  */

enum hs_request_class
{
  HS_REQUEST_CLASS_IDEMPOTENT,
  HS_REQUEST_CLASS_ONCE,  /* Not idempotent.  */
  HS_REQUEST_CLASS_UPLOAD /* Not idempotent, with a large body.  */
};

struct hs_traffic_split
{
  const char *service_name;
  uint32_t weight; /* Share of new flows, relative.  */
};

struct hs_service_route
{
  const char *name;
  struct hs_addr address; /* Callers send there.  */
  enum hs_request_class request_class;
  uint32_t timeout_ms; /* Of a request.  */
  uint32_t slo_ms;     /* Latency objective of a request.  */
  uint32_t priority;   /* 0 is the highest.  */
  size_t splits_len;
  struct hs_traffic_split *splits;
};

struct hs_configuration
{
  uint64_t version; /* The highest is in force.  */
  size_t routes_len;
  struct hs_service_route *routes;
  size_t services_len;
  const char **service_names;
  uint32_t flow_idle_ms; /* Silence after which a flow may be given up.  */
};

struct hs_configuration *
hs_configuration_parse (void *parent, const char *json, size_t len,
                        GError **error); /* HS_ERROR_MALFORMED names the field;
                                            what it means is not checked.  */
bool hs_configuration_check (const struct hs_configuration *configuration,
                             GError **error); /* HS_ERROR_INVALID names the
                                                 route and the field.  */

/* Routing: a configuration made ready for look-ups.  */

#define HS_SPLITS_MAX 8 /* Services of a route.  */

struct hs_routing;

struct hs_rule_split
{
  uint64_t service_id; /* hs_id_from_name of its name.  */
  uint32_t weight;
};

struct hs_routing_rule
{
  struct hs_table_node node;
  struct hs_addr address;
  enum hs_request_class request_class;
  uint32_t timeout_ms;
  uint32_t slo_ms;
  uint32_t priority;
  uint32_t total_weight; /* Sum of the splits'.  */
  size_t splits_len;
  struct hs_rule_split splits[HS_SPLITS_MAX];
};

struct hs_routing *
hs_routing_create (void *parent, const struct hs_configuration *configuration);
void hs_routing_destroy (struct hs_routing *routing);
uint64_t hs_routing_version (const struct hs_routing *routing);
uint32_t hs_routing_flow_idle_ms (const struct hs_routing *routing);
const struct hs_routing_rule *
hs_routing_find (const struct hs_routing *routing,
                 const struct hs_addr *address); /* NULL: no route.  */
uint64_t hs_routing_pick_service (const struct hs_routing_rule *rule,
                                  uint64_t hash); /* Service, by weight.  */

/* Fleet: the agents that an entry places new flows on, by their load.  */

#define HS_REPORT_INTERVAL_MS 200 /* Between two reports of an agent.  */

/* Silence after which an agent gets no new flows: three reports lost.  */
#define HS_REPORT_TIMEOUT_MS 700

/* Silence after which an agent is forgotten, and flows that it may hold are no
   longer waited for: longer than a restart.  */
#define HS_POOL_AGENT_EXPIRY_MS 5500

enum hs_agent_state
{
  HS_AGENT_READY,
  HS_AGENT_DRAINING,       /* Draining: its flows go on.  */
  HS_AGENT_UPSTREAM_SILENT /* Its upstream is not heard of, or silent.  */
};

const char *hs_agent_state_name (enum hs_agent_state state);

struct hs_load_report
{
  uint64_t agent_id; /* Of the agent.  */
  uint64_t incarnation;
  uint64_t seq;        /* Grows within the incarnation.  */
  uint64_t service_id; /* hs_id_from_name of its name.  */
  struct hs_addr address;
  enum hs_agent_state state;
  uint32_t slots;                /* Requests the upstream runs at once.  */
  uint32_t requests_in_progress; /* Requests in progress or queued there.  */
  uint32_t open_flows;           /* Open.  */
  uint32_t cold_ms;              /* How much longer the upstream is slow.  */
  uint32_t mean_work_us; /* Mean time in a slot of a request; 0: not known.  */
  bool no_upstream;      /* No upstream is there that could hold a flow.  */
  char zone[HS_NAME_SIZE];
};

struct hs_pool_agent
{
  struct hs_table_node node; /* By slot.  */
  struct hs_list lru_link;
  struct hs_load_report report;
  uint64_t last_heard_at; /* ms  */
  uint32_t placed_flows;  /* Flows placed here since the report.  */
  bool is_same_zone;      /* Of the entry.  */
};

struct hs_agent_pool;

struct hs_agent_pool *hs_agent_pool_create (void *parent, const char *zone);
void hs_agent_pool_destroy (struct hs_agent_pool *fleet);
bool hs_agent_pool_update (struct hs_agent_pool *fleet,
                           const struct hs_load_report *report,
                           uint64_t now); /* True: its state has changed.  */
void hs_agent_pool_set_state (struct hs_agent_pool *fleet, uint64_t slot,
                              enum hs_agent_state state); /* Until the next
                                                               report.  */
const struct hs_pool_agent *
hs_agent_pool_find (const struct hs_agent_pool *fleet,
                    uint64_t slot); /* NULL: unknown.  */
bool hs_pool_agent_accepts_flows (const struct hs_pool_agent *backend,
                                  uint64_t now);
const struct hs_pool_agent *
hs_agent_pool_place_flow (struct hs_agent_pool *fleet, uint64_t service,
                          const uint64_t *excluded, size_t excluded_len,
                          uint64_t now); /* For a new flow, which is counted;
                                            NULL: none takes it.  */
uint64_t
hs_pool_agent_wait_us (const struct hs_pool_agent *backend); /* Expected,
                                    of a new request for a slot.  */
const struct hs_pool_agent *
hs_agent_pool_least_busy (const struct hs_agent_pool *fleet, uint64_t service,
                          uint64_t now); /* Of any availability zone.  */
bool hs_agent_pool_is_overloaded (const struct hs_agent_pool *fleet,
                                  uint64_t service, uint32_t slo_ms,
                                  uint32_t priority,
                                  uint64_t now); /* Refuse a new flow?  */
size_t hs_agent_pool_possible_owners (
    const struct hs_agent_pool *fleet, uint64_t service,
    const struct hs_pool_agent **backends, size_t max,
    uint64_t now); /* Those that may hold a flow; 0: of
                      every service.  */
bool
hs_agent_pool_all_started_since (const struct hs_agent_pool *fleet,
                                 uint64_t wall_ms); /* All agents, of which
                                                       there are some.  */
void hs_agent_pool_expire (struct hs_agent_pool *fleet, uint64_t now);

/* Link: how full the link of an entry's host is, by its own count.  */

enum hs_uplink_direction
{
  HS_UPLINK_IN,
  HS_UPLINK_OUT,
  HS_UPLINK_DIRECTIONS
};

struct hs_uplink;

struct hs_uplink *hs_uplink_create (void *parent,
                                    double mbit_per_s); /* 0: without bound. */
void hs_uplink_destroy (struct hs_uplink *link);
void hs_uplink_count (struct hs_uplink *link,
                      enum hs_uplink_direction direction, size_t len,
                      uint64_t now); /* A datagram of LEN bytes.  */
uint64_t hs_uplink_queue_ms (struct hs_uplink *link,
                             uint64_t now); /* Of the fuller direction.  */
bool hs_uplink_refuses_flow (struct hs_uplink *link,
                             enum hs_request_class work, uint32_t priority,
                             uint64_t now); /* A new flow?  */
bool hs_uplink_take_query_tokens (struct hs_uplink *link, size_t len,
                                  uint64_t now); /* False: not now.  */

/* Steering: what an entry does with a segment of a caller.  */

#define HS_LOOKUP_AGENTS_MAX 256     /* Agents asked for a flow.  */
#define HS_SYN_AGENTS_MAX 4          /* Agents a SYN is offered to.  */
#define HS_FORWARDER_FLOWS_MAX 65536 /* Flows an entry knows.  */

enum hs_forward_action
{
  HS_FORWARD_TO_AGENTS, /* To the agents of TO.  */
  HS_FORWARD_QUEUE,     /* Keep it until its flow is released.  */
  HS_FORWARD_RESET,     /* Tell the caller that the flow is not open.  */
  HS_FORWARD_DROP
};

struct hs_forward_decision
{
  enum hs_forward_action action;
  enum hs_reason reason;
  bool is_placement; /* FORWARD: the flow is new.  */
  bool owner_only; /* FORWARD: only the agent that holds the flow takes it, and
               says so.  */
  const struct hs_pool_agent *least_busy; /* RESET as overloaded: by whose
                                          load.  */
  uint64_t
      uplink_queue_ms;   /* RESET as overloaded: queue of this host's link.  */
  size_t queried_agents; /* HOLD: agents that were asked just now.  */
  size_t agents_len;
  const struct hs_pool_agent *agents[HS_SYN_AGENTS_MAX];
};

struct hs_forwarder;

struct hs_forwarder_ops
{
  /* Nobody holds the flow; SEGMENT is one of its caller, to be answered by a
     reset.  What is kept of the flow goes.  */
  void (*reset_caller) (void *ctx, const struct hs_segment *segment);

  /* To be asked whether it holds the flow of SEGMENT, the latest of its
     caller.  */
  void (*query_owner) (void *ctx, const struct hs_pool_agent *backend,
                       const struct hs_segment *segment);

  /* What is kept of the flow goes to BACKEND, which holds it or, IF_HELD,
     finds out by it.  */
  void (*send_pending) (void *ctx, const struct hs_segment_key *key,
                        const struct hs_pool_agent *backend, bool if_held);

  /* HOME is to note that the agent of SLOT holds the flow.  */
  void (*record_owner) (void *ctx, const struct hs_pool_agent *home,
                        const struct hs_segment_key *key, uint64_t slot);
};

struct hs_forwarder *hs_forwarder_create (void *parent,
                                          struct hs_agent_pool *fleet,
                                          struct hs_uplink *link,
                                          const struct hs_forwarder_ops *ops,
                                          void *ctx);
void hs_forwarder_destroy (struct hs_forwarder *steering);
void
hs_forwarder_set_pool_complete (struct hs_forwarder *steering, bool complete,
                                uint64_t now); /* Every agent that lives has
                                                  reported: false at first.  */
void hs_forwarder_set_routing (struct hs_forwarder *steering,
                               const struct hs_routing *routing); /* Kept by
                                                          the caller.  */
struct hs_forward_decision
hs_forwarder_route (struct hs_forwarder *steering,
                    const struct hs_segment *segment, uint64_t now);
struct hs_forward_decision hs_forwarder_handle_refused_syn (
    struct hs_forwarder *steering, const struct hs_segment *syn, uint64_t slot,
    enum hs_reason reason, uint64_t now); /* By that agent.  */
void hs_forwarder_handle_owned (struct hs_forwarder *steering,
                                const struct hs_segment_key *key,
                                uint64_t slot, uint64_t now);

void hs_forwarder_handle_not_owned (
    struct hs_forwarder *steering, const struct hs_segment_key *key,
    uint64_t slot, uint64_t now); /* That agent does not hold it.  */
void
hs_forwarder_handle_unknown (struct hs_forwarder *steering,
                             const struct hs_segment_key *key, uint64_t slot,
                             uint64_t now); /* Only a segment of it tells.  */
void hs_forwarder_handle_recorded (struct hs_forwarder *steering,
                                   const struct hs_segment_key *key,
                                   uint64_t slot,
                                   uint64_t now); /* Says its home.  */
void hs_forwarder_tick (struct hs_forwarder *steering,
                        uint64_t now); /* Asks again, and forgets.  */
size_t hs_forwarder_flows_len (const struct hs_forwarder *steering);

/* Notes: the flows of others that an agent is home for, and who holds them. */

#define HS_DIRECTORY_ENTRIES_MAX 16384

struct hs_directory;

struct hs_directory *hs_directory_create (void *parent);
void hs_directory_destroy (struct hs_directory *notes);
void hs_directory_put (struct hs_directory *notes,
                       const struct hs_segment_key *key, uint64_t slot,
                       uint64_t now); /* Of the holder.  */
uint64_t hs_directory_find (const struct hs_directory *notes,
                            const struct hs_segment_key *key); /* 0: none.  */
void hs_directory_expire (struct hs_directory *notes, uint64_t now);

/* Sidecar: decides what an agent does with the segments of its upstream's
   flows, and tracks the upstream's state by its heartbeats.  NOW is in ms of a
   monotonic clock.  */

#define HS_SIDECAR_FLOWS_MAX 16384 /* Flows of one upstream.  */
#define HS_SIDECAR_TICK_MS 100     /* Between two calls of hs_sidecar_tick.  */

enum hs_upstream_state
{
  HS_UPSTREAM_UNKNOWN, /* No heartbeat yet, or silent.  */
  HS_UPSTREAM_READY,
  HS_UPSTREAM_DRAINING,
  HS_UPSTREAM_LEFT /* It has said that it stops.  */
};

struct hs_heartbeat
{
  char id[HS_NAME_SIZE]; /* Of the upstream's process.  */
  char service[HS_NAME_SIZE];
  struct hs_addr address;
  enum hs_upstream_state state;
  uint32_t slots;      /* Requests the upstream runs at once.  */
  uint32_t cold_ms;    /* Rest of the slow phase after a start.  */
  uint64_t started_at; /* Wall clock of its start, ms; a later value is a
                          later incarnation.  */
  uint64_t seq;        /* Grows within one incarnation.  */
};

enum hs_sidecar_action
{
  HS_SIDECAR_TO_UPSTREAM, /* Deliver the segment to the upstream.  */
  HS_SIDECAR_TO_CALLER,   /* Send the segment to the caller.  */
  HS_SIDECAR_REFUSE,      /* Return the SYN to the entry: no request of the
                             flow has run.  */
  HS_SIDECAR_RESET,       /* Reset the flow at the caller.  */
  HS_SIDECAR_DROP
};

/* Answer to an entry that looks for the owner of a flow.  */
enum hs_lookup_answer
{
  HS_LOOKUP_NONE, /* No answer is to be sent.  */
  HS_LOOKUP_OWNED,
  HS_LOOKUP_NOT_OWNED,
  HS_LOOKUP_UNKNOWN,           /* The upstream may own it: deliver a segment of
                                  the flow to find out.  */
  HS_LOOKUP_RECORDED_ELSEWHERE /* The directory names another agent as the
                                  owner.  */
};

struct hs_sidecar_decision
{
  enum hs_sidecar_action action;
  enum hs_reason reason;
  bool is_new_flow;                    /* The flow is new to this agent.  */
  enum hs_lookup_answer lookup_answer; /* To be sent to ENTRY.  */
  struct hs_addr entry; /* REFUSE: the entry that sent the SYN; else receiver
                           of the lookup answer.  */
  bool starts_response; /* TO_CALLER: the segment is the first of the response
                           to a request.  */
  uint64_t response_ms; /* Time from that request to its response.  */
};

struct hs_sidecar_ops
{
  /* An open flow was lost by a restart of the upstream.  SEGMENT has the
     addresses and the last ACK of its caller, to build a reset; it is valid
     during the call only.  */
  void (*flow_lost) (void *ctx, const struct hs_segment *segment);
};

struct hs_sidecar;

/* Returns a sidecar that is a talloc child of PARENT, to be released by
   hs_sidecar_destroy.  STARTED_AT: wall clock of the agent's start, ms.
   HEARTBEAT_MS: interval of the upstream's heartbeats.  UPSTREAM and OPS are
   copied; CTX is handed to OPS and not released.  */
struct hs_sidecar *hs_sidecar_create (void *parent, const char *service,
                                      const struct hs_addr *upstream,
                                      uint64_t heartbeat_ms,
                                      uint64_t started_at,
                                      const struct hs_sidecar_ops *ops,
                                      void *ctx);
void hs_sidecar_destroy (struct hs_sidecar *sidecar);

/* Returns false and sets HS_ERROR_INVALID if HEARTBEAT has another service or
   address than this upstream, or a state other than ready and draining.  One
   that is older than the latest is ignored, and true is returned.  */
bool hs_sidecar_handle_heartbeat (struct hs_sidecar *sidecar,
                                  const struct hs_heartbeat *heartbeat,
                                  uint64_t now, GError **error);

/* The upstream stops.  Ignored if ID isn't that of the last heartbeat.  */
void hs_sidecar_handle_upstream_leave (struct hs_sidecar *sidecar,
                                       const char *id);

/* The agent stops: refuses new flows from now on, open ones go on.  */
void hs_sidecar_drain (struct hs_sidecar *sidecar);

/* Decides about SEGMENT of a caller, which ENTRY has sent.  SERVICE_ID: the
   service that the entry names; a SYN for another service is refused.
   OWNER_ONLY: ENTRY looks for the owner of the flow, and the segment is
   dropped if this upstream is known not to own it.  The lookup answer is set
   in this decision, or in that about the upstream's reply if only the upstream
   can tell.  */
struct hs_sidecar_decision hs_sidecar_handle_entry_segment (
    struct hs_sidecar *sidecar, const struct hs_segment *segment,
    const struct hs_addr *entry, uint64_t service_id, bool owner_only,
    uint64_t now);

/* Returns whether the upstream owns the flow of SEGMENT, a caller's, without
   delivering the segment or changing any state.  HS_LOOKUP_UNKNOWN: only
   the upstream's reply to a segment of the flow can tell.  */
enum hs_lookup_answer hs_sidecar_lookup (const struct hs_sidecar *sidecar,
                                         const struct hs_segment *segment,
                                         uint64_t now);

/* Decides about SEGMENT of the upstream: its own, or with
   HS_SEGMENT_RETURNED a caller's that it returns.  */
struct hs_sidecar_decision
hs_sidecar_handle_upstream_segment (struct hs_sidecar *sidecar,
                                    const struct hs_segment *segment,
                                    uint64_t now);

/* Removes idle flows and applies the timeouts of the upstream.  */
void hs_sidecar_tick (struct hs_sidecar *sidecar, uint64_t now);

/* Sets the fields of REPORT that describe the upstream and its service.  The
   agent's id, incarnation, address, zone and the sequence number are left to
   the agent.  */
void hs_sidecar_fill_load_report (const struct hs_sidecar *sidecar,
                                  struct hs_load_report *report);

/* Replica: one host of a control group, which keeps a log of commands that a
   majority has on disk.  Elections have a round of pre-votes, a leader that
   hears no majority steps down, the group changes one host at a time, and
   reads are proved by a round of the majority, not by a clock.  */

#define HS_CONTROL_MEMBERS_MAX 15 /* Voting hosts.  */
#define HS_COMMAND_SIZE_MAX 56000 /* Bytes: an entry fits a datagram.  */
#define HS_APPEND_ENTRIES_MAX 16  /* Entries of a message.  */
#define HS_REPLICA_TICK_MS 50

struct hs_control_host
{
  uint64_t id; /* Of the host's disk: an empty one gets a new id.  */
  struct hs_addr inner;
  struct hs_addr api; /* Where operators reach it.  */
};

struct hs_control_members
{
  size_t len;
  struct hs_control_host hosts[HS_CONTROL_MEMBERS_MAX];
};

enum hs_replica_entry_kind
{
  HS_REPLICA_ENTRY_NOOP,    /* The first of a leader's term.  */
  HS_REPLICA_ENTRY_COMMAND, /* Of the user's.  */
  HS_REPLICA_ENTRY_MEMBERS  /* The group from here on.  */
};

struct hs_replica_log_entry
{
  struct hs_list link;
  uint64_t index; /* From 1.  */
  uint64_t term;
  enum hs_replica_entry_kind kind;
  struct hs_control_members members; /* MEMBERS  */
  size_t len;                        /* COMMAND  */
  uint8_t *data;
};

/* Everything up to INDEX, in place of its entries.  */
struct hs_replica_snapshot
{
  uint64_t index;
  uint64_t term;
  struct hs_control_members members;
  size_t len;
  uint8_t *data;
};

enum hs_replica_message_type
{
  HS_REPLICA_REQUEST_VOTE = 1,
  HS_REPLICA_VOTE_REPLY,
  HS_REPLICA_APPEND,
  HS_REPLICA_APPEND_REPLY,
  HS_REPLICA_INSTALL_SNAPSHOT, /* For a log that is too far behind.  */
  HS_REPLICA_JOIN,             /* From a host outside the group.  */
  HS_REPLICA_START_ELECTION    /* From a leader that stops.  */
};

struct hs_replica_message
{
  enum hs_replica_message_type type;
  uint64_t to; /* Id; 0: whoever is there.  */
  struct hs_control_host from;
  uint64_t term;
  uint64_t index;        /* ASK_VOTE: last of the log; APPEND: that before the
                            entries; APPENDED: up to which the logs agree.  */
  uint64_t log_term;     /* ASK_VOTE, APPEND: of that entry.  */
  uint64_t commit_index; /* APPEND, BASE  */
  uint64_t request_tag;  /* APPEND, APPENDED: see hs_replica_begin_read.  */
  bool pre_vote;         /* ASK_VOTE, VOTE: nothing is promised yet.  */
  bool success;          /* VOTE, APPENDED  */
  size_t entries_len;
  const struct hs_replica_log_entry *entries[HS_APPEND_ENTRIES_MAX];
  const struct hs_replica_snapshot *snapshot;
};

/* What must be on disk, in this order.  */
enum hs_replica_record_type
{
  HS_REPLICA_RECORD_HOST_ID = 1, /* The id of this disk.  */
  HS_REPLICA_RECORD_TERM,        /* Term and vote.  */
  HS_REPLICA_RECORD_ENTRY,    /* Takes the place of those from its index on. */
  HS_REPLICA_RECORD_SNAPSHOT, /* Takes the place of the whole log.  */
  HS_REPLICA_RECORD_COMMIT    /* What was committed when it was written.  */
};

struct hs_replica_record
{
  enum hs_replica_record_type type;
  uint64_t value;     /* HOST; COMMIT: index.  */
  uint64_t term;      /* TERM  */
  uint64_t voted_for; /* TERM: id; 0: none.  */
  const struct hs_replica_log_entry *entry;
  const struct hs_replica_snapshot *snapshot;
};

struct hs_replica;

struct hs_replica_ops
{
  void (*send) (void *ctx, const struct hs_addr *to,
                const struct hs_replica_message *message);

  /* Of records since the last call of "sync".  */
  void (*write_record) (void *ctx, const struct hs_replica_record *record);

  /* All written so far is to be synced; hs_replica_synced (SEQ) follows.  */
  void (*sync) (void *ctx, uint64_t seq);
  void (*apply) (void *ctx,
                 const struct hs_replica_log_entry *entry); /* COMMAND  */
  void (*restore_snapshot) (void *ctx, const uint8_t *data, size_t len);
  uint8_t *(*save_snapshot) (void *ctx, void *parent,
                             size_t *len); /* For restore.  */
  void (*state_changed) (void *ctx);       /* Role, leader or group.  */
};

struct hs_replica *
hs_replica_create (void *parent, const struct hs_control_host *self,
                   uint64_t seed, const struct hs_replica_ops *ops, void *ctx);
void hs_replica_destroy (struct hs_replica *replica);

/* Before the start: what is on disk, or else a first group, or else nothing,
   to join a group later.  */
void hs_replica_load_record (struct hs_replica *replica,
                             const struct hs_replica_record *record);
void hs_replica_bootstrap (struct hs_replica *replica, uint64_t id,
                           const struct hs_control_members *members); /* ID: of
                                                                 this host.  */
void hs_replica_start (struct hs_replica *replica, uint64_t now);

void hs_replica_tick (struct hs_replica *replica,
                      uint64_t now); /* Every HS_REPLICA_TICK_MS.  */
void hs_replica_receive (struct hs_replica *replica,
                         const struct hs_replica_message *message,
                         uint64_t now);
void hs_replica_synced (struct hs_replica *replica, uint64_t seq,
                        uint64_t now);
void hs_replica_set_disk_usable (struct hs_replica *replica,
                                 bool works); /* False: it promises nothing. */
void hs_replica_rewrite (struct hs_replica *replica); /* Writes all that must
                                             be on disk anew, and syncs it.  */
void hs_replica_set_seeds (struct hs_replica *replica,
                           const struct hs_addr *contacts,
                           size_t len); /* Hosts to ask to join.  */
uint64_t hs_replica_propose (struct hs_replica *replica, const uint8_t *data,
                             size_t len, uint64_t now); /* Its index; 0: not
                                                           the leader.  */
uint64_t
hs_replica_begin_read (struct hs_replica *replica,
                       uint64_t now); /* Its round; 0: not the leader.  */
uint64_t hs_replica_confirmed_round (
    const struct hs_replica *replica); /* Reads up to that round see all that
                                          was committed before them.  */
void
hs_replica_transfer_leadership (struct hs_replica *replica,
                                uint64_t now); /* Of the lead, if it leads.  */
bool hs_replica_is_leader (const struct hs_replica *replica);
bool hs_replica_leader (const struct hs_replica *replica,
                        struct hs_control_host *leader); /* False: none.  */
uint64_t hs_replica_term (const struct hs_replica *replica);
uint64_t hs_replica_last_index (const struct hs_replica *replica); /* Index. */
uint64_t
hs_replica_applied_index (const struct hs_replica *replica); /* Index.  */
const struct hs_control_members *
hs_replica_members (const struct hs_replica *replica);
size_t
hs_replica_list_hosts (const struct hs_replica *replica,
                       struct hs_control_host *hosts,
                       size_t max); /* Members, and those that follow.  */

#endif /* HIBISCUSSPAN_H */
