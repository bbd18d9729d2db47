/* hibiscusspan.h -- public interface of libhibiscusspan.

   The library contains the decision logic of a layer-4 load balancer.  It
   reads no clock, opens no socket, starts no thread, uses no unseeded random
   numbers and knows no wire format.  The program passes events and the current
   time to each module, and the module replies with return values or through
   callbacks that take a context pointer.

   Times are in milliseconds on any monotonic clock unless stated otherwise.
   An object returned by a *_create function is a talloc child of PARENT.  It
   is released by the matching *_destroy function or together with PARENT.  */

#ifndef HIBISCUSSPAN_H
#define HIBISCUSSPAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Verdicts: whether a request may have been executed, and why it failed.  */

enum hs_outcome
{
  HS_OUTCOME_NOT_RUN,      /* The request certainly was not executed.  */
  HS_OUTCOME_MAY_HAVE_RUN, /* It was sent; whether it ran is unknown.  */
  HS_OUTCOME_RAN           /* The upstream responded to the request.  */
};

enum hs_reason
{
  HS_REASON_NONE,          /* No failure.  */
  HS_REASON_MALFORMED,     /* The message could not be decoded.  */
  HS_REASON_WRONG_SERVICE, /* Addressed to an agent of another service.  */
  HS_REASON_WRONG_HOST,    /* Addressed to another incarnation, or to an agent
                              that does not own the flow.  */
  HS_REASON_NO_SERVICE,    /* No service has that name or address.  */
  HS_REASON_NO_UPSTREAM,   /* The service has no available upstream.  */
  HS_REASON_OWNER_UNKNOWN, /* The owner of the flow is not known yet: the view
                              is newer than the ownership records here.  */
  HS_REASON_DRAINING,      /* The agent is draining.  */
  HS_REASON_OVERLOADED,    /* A table or queue is full.  */
  HS_REASON_TIMEOUT,       /* The deadline passed without a response.  */
  HS_REASON_SHED,          /* The upstream rejected the request or flow.  */
  HS_REASON_CANCELLED,     /* The caller cancelled the request.  */
  HS_REASON_CONFLICT,      /* A concurrent change was accepted first.  */
  HS_REASON_INVALID,       /* The service document failed validation.  */
  HS_REASON_STORAGE,       /* The disk failed or is full.  */
  HS_REASON_EVACUATED,  /* The upstream's availability zone is evacuated.  */
  HS_REASON_WARMING_UP, /* The upstream is cold and bears no more new flows
                           at present.  */
  HS_REASON_REGION,     /* No upstream is in a region that the route
                           allows.  */
  HS_REASON_COUNT
};

struct hs_verdict
{
  enum hs_outcome outcome;
  enum hs_reason reason;
};

/* Return a static string such as "not-run" or "timeout".  OUTCOME must be a
   valid enumerator; an out-of-range REASON yields "unknown".  */
const char *hs_outcome_name (enum hs_outcome outcome);
const char *hs_reason_name (enum hs_reason reason);

/* Errors: the GError domain of the library.  */

#define HS_ERROR (hs_error_quark ())

enum hs_error
{
  HS_ERROR_MALFORMED, /* The input could not be decoded.  */
  HS_ERROR_INVALID,   /* A value is out of range or a field is unknown.  */
  HS_ERROR_CONFLICT,  /* The change is based on an outdated revision.  */
  HS_ERROR_NOT_FOUND, /* The requested item does not exist.  */
  HS_ERROR_LIMIT,     /* A size limit was exceeded.  */
  HS_ERROR_SYSTEM     /* A system call failed.  */
};

GQuark hs_error_quark (void);

/* Addresses: an IP address and a port.  IPv4 addresses are stored as
   IPv4-mapped IPv6 addresses (::ffff:a.b.c.d).  */

#define HS_ADDR_TEXT_SIZE 56 /* Bytes of a formatted address, with NUL.  */

struct hs_addr
{
  uint8_t ip[16];
  uint16_t port; /* Host byte order.  */
};

/* Parses "IP:PORT" or "[IP]:PORT".  Returns false if TEXT is neither; *ADDR
   may then be partly written.  */
bool hs_addr_parse (const char *text, struct hs_addr *addr);

/* Writes "IP:PORT" for IPv4 or "[IP]:PORT" for IPv6 to TEXT, which must have
   room for HS_ADDR_TEXT_SIZE bytes.  */
void hs_addr_format (const struct hs_addr *addr, char *text);
bool hs_addr_equal (const struct hs_addr *a, const struct hs_addr *b);

/* Returns a hash that is the same in every process.  */
uint64_t hs_addr_hash (const struct hs_addr *addr);

/* Names of services, members, changes and operators.  */

#define HS_NAME_SIZE 64 /* Bytes of a name, with NUL.  */

/* Returns whether NAME has 1 to 63 characters, each of them a letter, a digit,
   '-', '_' or '.'.  */
bool hs_name_is_valid (const char *name);

/* Intrusive doubly linked lists: the node is a field of the element.  A list
   head is itself a struct hs_list.  */

struct hs_list
{
  struct hs_list *prev;
  struct hs_list *next;
};

/* Returns the element of TYPE whose member FIELD is NODE.  */
#define HS_LIST_ENTRY(node, type, field)                                      \
  ((type *)(void *)((char *)(node)-offsetof (type, field)))

/* Iterates over LIST.  The body may remove or free the current element,
   but no other one.  */
#define HS_LIST_FOREACH(node, list)                                           \
  for (struct hs_list *node = (list)->next, *node##_next = node->next;        \
       node != (list); node = node##_next, node##_next = node->next)

/* Initializes a list head, or a node that is in no list.  */
void hs_list_init (struct hs_list *list);
bool hs_list_is_empty (const struct hs_list *list);
void hs_list_append (struct hs_list *list, struct hs_list *node);

/* Removes NODE, which must be initialized, from its list.  Does nothing if
   NODE is in no list.  */
void hs_list_remove (struct hs_list *node);

/* Removes and returns the first node, or returns NULL if LIST is empty.  */
struct hs_list *hs_list_pop (struct hs_list *list);

/* Hash tables with intrusive nodes.  The code that uses a table computes the
   hashes and owns the elements; the table never frees them.  */

struct hs_table;

struct hs_table_node
{
  struct hs_list link; /* In the bucket of HASH.  */
  uint64_t hash;
};

/* Returns whether the element of NODE has KEY.  */
typedef bool hs_table_match_fn (const struct hs_table_node *node,
                                const void *key);

struct hs_table *hs_table_create (void *parent);
void hs_table_destroy (struct hs_table *table);
void hs_table_insert (struct hs_table *table, struct hs_table_node *node,
                      uint64_t hash);

/* Removes NODE, which must be in TABLE.  */
void hs_table_remove (struct hs_table *table, struct hs_table_node *node);

/* Returns a node with HASH that MATCH accepts for KEY, or NULL.  */
struct hs_table_node *hs_table_find (const struct hs_table *table,
                                     uint64_t hash, hs_table_match_fn *match,
                                     const void *key);

/* Returns the number of elements.  */
size_t hs_table_len (const struct hs_table *table);

/* Timers: modules start timers, and the owner of the struct hs_timers advances
   the time.  */

struct hs_timers;

typedef void hs_timer_fn (void *ctx, uint64_t now);

struct hs_timer
{
  struct hs_list link;
  uint64_t due; /* Time at which FN is to be called, in ms.  */
  hs_timer_fn *fn;
  void *ctx;
};

struct hs_timers *hs_timers_create (void *parent, uint64_t now);
void hs_timers_destroy (struct hs_timers *timers);
void hs_timer_init (struct hs_timer *timer, hs_timer_fn *fn, void *ctx);

/* Starts TIMER, or restarts it if it is already running.  TIMER must stay
   valid until it is stopped or its callback runs.  */
void hs_timer_start (struct hs_timers *timers, struct hs_timer *timer,
                     uint64_t due);

/* Stops TIMER.  Does nothing if TIMER is not running.  */
void hs_timer_stop (struct hs_timer *timer);

/* Calls the callbacks of all timers that are due at NOW.  Returns the number
   of milliseconds after which to call this function again.  */
uint64_t hs_timers_advance (struct hs_timers *timers, uint64_t now);

/* Returns a time in ms before which no timer is due.  */
uint64_t hs_timers_next_due (const struct hs_timers *timers);

/* Flow keys and rendezvous ranking.  */

/* Identifies a flow: all packets of one caller to one service.  */
struct hs_flow_key
{
  uint32_t service_id;
  struct hs_addr caller;
};

uint64_t hs_flow_key_hash (const struct hs_flow_key *key);
bool hs_flow_key_equal (const struct hs_flow_key *a,
                        const struct hs_flow_key *b);

/* Returns the score of an agent for a flow: the agent with the highest score
   ranks first.  */
uint64_t hs_rendezvous_score (uint64_t flow_hash, uint64_t agent_id);

/* Members and views: a view is the numbered list of the agents of a service,
   or of the entries.  For each flow, rendezvous hashing ranks the members of a
   view.  */

#define HS_ENTRY_SERVICE_ID 0 /* Service id whose view lists the entries.  */

enum hs_member_state
{
  HS_MEMBER_READY,   /* Accepts new flows.  */
  HS_MEMBER_SUSPECT, /* Its lease expired: no new flows.  */
  HS_MEMBER_DRAINING /* Finishes its open flows: no new flows.  */
};

struct hs_member
{
  uint64_t id;            /* hs_id_from_name of NAME.  */
  uint64_t incarnation;   /* Increases with each start of the process.  */
  struct hs_addr address; /* Endpoint of the inner protocol.  */
  enum hs_member_state state;
  char name[HS_NAME_SIZE];
  char zone[HS_NAME_SIZE]; /* Availability zone.  */
};

struct hs_view
{
  uint32_t service_id;
  uint64_t number; /* Starts at 1 and increases by 1 with each change.  */
  size_t members_len;
  struct hs_member *members;
};

/* Returns a static string such as "ready".  */
const char *hs_member_state_name (enum hs_member_state state);

/* Returns a 64-bit hash of NAME.  Never returns 0, which marks an unset
   id.  */
uint64_t hs_id_from_name (const char *name);

/* Returns a deep copy of VIEW, a talloc child of PARENT.  */
struct hs_view *hs_view_copy (void *parent, const struct hs_view *view);

/* Returns the member with MEMBER_ID, or NULL.  */
const struct hs_member *hs_view_find (const struct hs_view *view,
                                      uint64_t member_id);

/* Returns a copy of VIEW, a talloc child of PARENT, that contains only the
   members that hs_view_top_ranked selects.  */
struct hs_view *hs_view_subset (void *parent, const struct hs_view *view,
                                uint64_t flow_hash, size_t max);

/* Stores up to MAX (at least 1) members that are not suspect in TOP, highest
   rank for FLOW_HASH first.  If all members are suspect, stores only the
   highest-ranked one.  Returns the number of members stored.  */
size_t hs_view_top_ranked (const struct hs_view *view, uint64_t flow_hash,
                           const struct hs_member **top, size_t max);

/* Returns the directory agent of a flow, which is the first member that
   hs_view_top_ranked selects, or NULL if VIEW has no members.  */
const struct hs_member *hs_view_directory (const struct hs_view *view,
                                           uint64_t flow_hash);

/* Returns the highest-ranked member in state HS_MEMBER_READY, or NULL.  */
const struct hs_member *hs_view_first_ready (const struct hs_view *view,
                                             uint64_t flow_hash);

/* Documents: the JSON with which an operator defines a service.  */

#define HS_DOCUMENT_SIZE_MAX 65536 /* Bytes of JSON.  */
#define HS_PATH_SIZE 128           /* Bytes of a path, with NUL.  */
#define HS_REQUEST_RULES_MAX 64    /* Request rules per document.  */

enum hs_service_kind
{
  HS_SERVICE_KIND_UDP, /* Opaque datagrams: all packets of a flow go to its
                          owner, and requests are not tracked.  */
  HS_SERVICE_KIND_COAP /* CoAP (RFC 7252): each request is tracked.  */
};

struct hs_request_rule
{
  char method[8];
  char path[HS_PATH_SIZE]; /* Matched exactly.  */
  bool idempotent;
  uint32_t deadline_ms; /* Time until a request counts as timed out.  */
};

struct hs_document
{
  char service_name[HS_NAME_SIZE];
  enum hs_service_kind kind;
  struct hs_addr address; /* Destination of callers' packets.  */
  uint32_t grace_ms;      /* Time for which streams stay open in a drain.  */
  uint32_t deadline_ms;   /* Deadline of requests that match no rule.  */
  size_t rules_len;
  struct hs_request_rule *rules;
};

/* Parses LEN bytes of JSON.  Returns a talloc child of PARENT, or NULL with
   ERROR set: HS_ERROR_LIMIT if the text is longer than HS_DOCUMENT_SIZE_MAX,
   HS_ERROR_MALFORMED if it is not JSON, HS_ERROR_INVALID with the line and the
   field if a value is not allowed.  */
struct hs_document *hs_document_parse (void *parent, const char *json,
                                       size_t len, GError **error);

/* Returns DOCUMENT as JSON text, a talloc child of PARENT.  */
char *hs_document_format (void *parent, const struct hs_document *document);

/* Returns the rule for METHOD and PATH, or NULL.  */
const struct hs_request_rule *
hs_document_find_rule (const struct hs_document *document, const char *method,
                       const char *path);

/* Returns whether METHOD is idempotent when no rule says otherwise.  */
bool hs_method_is_idempotent (const char *method);

/* Services: an accepted document with its id and revision.  */

struct hs_service
{
  uint32_t id;       /* Never reused for another service.  */
  uint64_t revision; /* Starts at 1, increases by 1 per accepted change.  */
  struct hs_document *document;
};

/* Returns a deep copy of SERVICE, a talloc child of PARENT.  */
struct hs_service *hs_service_copy (void *parent,
                                    const struct hs_service *service);

/* Catalog: the current services and views, ordered by the version of their
   last change.  */

struct hs_catalog;

struct hs_catalog_item
{
  struct hs_list link; /* In the catalog's list, ordered by version.  */
  uint64_t version;    /* Catalog version of the item's last change.  */
  uint32_t service_id;
  struct hs_service *service; /* NULL until one is put.  */
  struct hs_view *view;       /* NULL until one is put.  */
};

struct hs_catalog *hs_catalog_create (void *parent);
void hs_catalog_destroy (struct hs_catalog *catalog);

/* Returns the highest version put so far, or 0.  */
uint64_t hs_catalog_version (const struct hs_catalog *catalog);

/* Store a copy of SERVICE or VIEW under VERSION.  Return false and change
   nothing if the stored revision or view number is the same or newer.  */
bool hs_catalog_put_service (struct hs_catalog *catalog, uint64_t version,
                             const struct hs_service *service);
bool hs_catalog_put_view (struct hs_catalog *catalog, uint64_t version,
                          const struct hs_view *view);

/* Return an item owned by CATALOG, or NULL.  Its service and view are valid
   until the next put for the same service.  */
const struct hs_catalog_item *
hs_catalog_find (const struct hs_catalog *catalog, uint32_t service_id);
const struct hs_catalog_item *
hs_catalog_find_name (const struct hs_catalog *catalog, const char *name);
const struct hs_catalog_item *
hs_catalog_find_address (const struct hs_catalog *catalog,
                         const struct hs_addr *address);

/* Iterate in order of version over the items changed after version AFTER.
   Return NULL at the end.  */
const struct hs_catalog_item *
hs_catalog_first_after (const struct hs_catalog *catalog, uint64_t after);
const struct hs_catalog_item *
hs_catalog_next (const struct hs_catalog *catalog,
                 const struct hs_catalog_item *item);

/* Admission: decides which changes of service documents are accepted.  */

struct hs_change
{
  char id[HS_NAME_SIZE];     /* Unique, chosen by the operator.  A change that
                                is sent again under its id is not applied
                                again.  */
  char author[HS_NAME_SIZE]; /* Operator who submitted the change.  */
  uint64_t base_revision;    /* Revision to replace; 0: create a service.  */
  struct hs_document *document;
};

struct hs_change_result
{
  struct hs_verdict verdict;
  uint32_t service_id; /* 0: the service does not exist.  */
  uint64_t revision;   /* Current revision; after an accepted change, the new
                          one.  0: the service does not exist.  */
  char message[192];   /* Shown to the operator.  */
};

struct hs_admission;

/* CATALOG must outlive the returned object.  */
struct hs_admission *hs_admission_create (void *parent,
                                          struct hs_catalog *catalog);
void hs_admission_destroy (struct hs_admission *admission);

/* Returns true if CHANGE may be proposed to the replicated log.  Returns false
   with the final result in RESULT if CHANGE is rejected or was decided
   before.  */
bool hs_admission_check (struct hs_admission *admission,
                         const struct hs_change *change,
                         struct hs_change_result *result);

/* Decides a committed CHANGE and, if it is accepted, puts the service in the
   catalog under VERSION.  */
void hs_admission_apply (struct hs_admission *admission, uint64_t version,
                         const struct hs_change *change,
                         struct hs_change_result *result);

/* Registry: turns the announcements of agents and entries into views.  */

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
  struct hs_addr address;          /* Endpoint of the inner protocol.  */
  bool draining;                   /* Accepts no new flows.  */
  bool exiting;                    /* The process is about to exit.  */
  uint64_t catalog_version;        /* Version that the sender has applied.  */
  char service_name[HS_NAME_SIZE]; /* AGENT: service of its upstream.  */
  char name[HS_NAME_SIZE];
  char zone[HS_NAME_SIZE]; /* Availability zone.  */
};

struct hs_registry;

struct hs_registry_ops
{
  /* Proposes VIEW to the replicated log.  VIEW is valid during the call.  */
  void (*propose) (void *ctx, const struct hs_view *view);
};

enum hs_announce_result
{
  HS_ANNOUNCE_OK,
  HS_ANNOUNCE_UNKNOWN_SERVICE,
  HS_ANNOUNCE_SUPERSEDED /* A later incarnation has announced itself.  */
};

/* CATALOG must outlive the returned object; OPS is copied.  */
struct hs_registry *hs_registry_create (void *parent,
                                        const struct hs_catalog *catalog,
                                        const struct hs_registry_ops *ops,
                                        void *ctx);
void hs_registry_destroy (struct hs_registry *registry);

/* Renews the sender's lease and proposes a view if the members changed.  */
enum hs_announce_result
hs_registry_announce (struct hs_registry *registry,
                      const struct hs_announcement *announcement,
                      uint64_t now);

/* Proposes the views that changed because leases expired.  Call this
   periodically.  */
void hs_registry_tick (struct hs_registry *registry, uint64_t now);

/* Allows the next view of SERVICE_ID to be proposed.  Call this after a view
   of the service was put in the catalog.  */
void hs_registry_apply_view (struct hs_registry *registry, uint32_t service_id,
                             uint64_t now);

/* Returns the catalog version that the member announced last, or 0.  */
uint64_t hs_registry_catalog_version (const struct hs_registry *registry,
                                      uint32_t service_id, uint64_t member_id);

/* Placer: chooses the agent to which an entry sends a packet of a flow.  */

#define HS_ROUTE_CACHE_LEN 8192 /* Flows.  */

struct hs_placer;

struct hs_placement
{
  const struct hs_member *target; /* Owned by the catalog; NULL: the service
                                     has no agents.  */
  uint64_t view_number;           /* Number of the view used; 0: none.  */
};

/* The placer reads CATALOG, which must outlive it.  */
struct hs_placer *hs_placer_create (void *parent,
                                    const struct hs_catalog *catalog);
void hs_placer_destroy (struct hs_placer *placer);

/* Returns the agent of the flow's cached route or, if there is none or that
   agent is suspect or not in the view, the flow's directory agent.  */
struct hs_placement hs_placer_place (struct hs_placer *placer,
                                     const struct hs_flow_key *key);

/* Caches that AGENT_ID owns the flow; may evict the route of another flow.  */
void hs_placer_cache_route (struct hs_placer *placer,
                            const struct hs_flow_key *key, uint64_t agent_id);

/* Removes the cached route of the flow, if there is one.  */
void hs_placer_evict_route (struct hs_placer *placer,
                            const struct hs_flow_key *key);

/* Returns the number of cached routes.  */
size_t hs_placer_cached_routes (const struct hs_placer *placer);

/* Ownership: which flows an agent owns, and where a packet of any other flow
   goes.  */

#define HS_FLOWS_MAX 65536 /* Flows that one agent owns, at most.  */
#define HS_HOPS_MAX 3      /* Agents that a packet passes, at most.  */
#define HS_OWNERSHIP_TICK_MS 100
#define HS_ENTRY_PATH_MAX_AGE_MS 1000
#define HS_FLOW_UNCERTAIN_MS 247000   /* RFC 7252 EXCHANGE_LIFETIME.  */
#define HS_FLOW_IDLE_MS (3600 * 1000) /* Longest idle time of a flow.  */

/* The entry through which packets arrived.  */
struct hs_entry_path
{
  struct hs_addr address;
  uint64_t incarnation;   /* Incarnation of the entry.  */
  uint64_t last_heard_at; /* ms; 0: never.  */
};

/* Chooses the entry that sends an answer to the caller of a flow: the last
   entry of the flow, FLOW, if it was heard from within
   HS_ENTRY_PATH_MAX_AGE_MS; or else the last entry of any flow, ANY, if that
   is recent enough; or else the first entry in the view from position TURN on,
   modulo the number of entries, preferably a ready one; or else ANY, however
   old.  A failed entry thus cuts off callers only for a short time.  A TURN
   that increases with each call spreads the answers over the entries.  Stores
   the choice in PATH.  Returns false if no entry is known.  */
bool hs_entry_path_choose (const struct hs_catalog *catalog,
                           const struct hs_entry_path *flow,
                           const struct hs_entry_path *any, uint64_t turn,
                           uint64_t now, struct hs_entry_path *path);

#define HS_BACKUPS_MAX 4 /* Backups of one flow.  */

/* An agent that keeps a copy of the ownership record of a flow.  */
struct hs_backup
{
  uint64_t id; /* 0: none.  */
  uint64_t incarnation;
};

/* A flow that this agent owns.  */
struct hs_flow
{
  struct hs_table_node node;
  struct hs_list lru_link; /* Least recently active first.  */
  struct hs_flow_key key;
  uint64_t hash;            /* Hash of KEY.  */
  uint64_t last_active_at;  /* ms of the last packet.  */
  uint64_t opened_view;     /* Number of the view it was opened in.  */
  uint64_t uncertain_until; /* ms; until then another agent may have run a
                               request that a caller repeats here; 0: the flow
                               is certain.  */
  struct hs_entry_path last_path; /* Path of the last packet that came directly
                                     from an entry.  */
  struct hs_backup backups[HS_BACKUPS_MAX]; /* Most recent first.  */
  void *user_data; /* Data of the user of this interface, who releases it in
                      the "closed" callback.  */
};

/* The routing information of a packet that an agent has received from an entry
   or another agent.  */
struct hs_hop
{
  uint32_t service_id;
  uint64_t view_number;        /* Number of the sender's view.  */
  uint64_t to_incarnation;     /* Incarnation of the intended receiver.  */
  uint64_t entry_incarnation;  /* Incarnation of the entry that received the
                                  packet.  */
  struct hs_addr from_address; /* Address of the sender, set by the receiver's
                                  transport.  */
  struct hs_addr caller;
  uint64_t assigned_view; /* Number of the view in which the directory assigned
                             the flow to this agent; 0: not assigned.  */
  bool uncertain;         /* If assigned: the directory could not rule out
                             another owner.  */
  uint8_t hops;           /* Agents passed so far.  */
};

enum hs_route_kind
{
  HS_ROUTE_SERVE,   /* This agent owns the flow.  */
  HS_ROUTE_FORWARD, /* Send the packet to NEXT_AGENT.  */
  HS_ROUTE_WAIT,    /* The owner is not known yet: keep the packet and route it
                       again after the "resolved" callback.  */
  HS_ROUTE_REFUSE   /* See REASON; no request of the packet has run.  */
};

struct hs_route_decision
{
  enum hs_route_kind kind;
  enum hs_reason reason;              /* REFUSE, WAIT  */
  bool opened;                        /* SERVE: the flow is new.  */
  struct hs_flow *flow;               /* SERVE  */
  const struct hs_member *next_agent; /* FORWARD: valid until the next view is
                                         applied.  */
  uint64_t next_assigned_view;        /* FORWARD: see struct hs_hop.  */
  bool next_uncertain;                /* FORWARD: see struct hs_hop.  */
};

/* Messages between the agents of a service about the ownership of flows.  Each
   carries the number of the sender's view.  */

#define HS_FLOW_MESSAGE_RECORDS_MAX 32 /* Records in one message.  */

enum hs_flow_message_type
{
  HS_FLOW_PUSH = 1,    /* Ownership records; TRANSFER_COMPLETE is set in the
                          last push of a state transfer.  */
  HS_FLOW_ACK,         /* Acknowledges the push with the same SEQ.  */
  HS_FLOW_QUERY,       /* Asks for the owner of the flow of records[0]; its
                          OWNER_ID may name a member to be ruled out.  */
  HS_FLOW_REPLY,       /* Answers a query.  OWNER_ID 0: the sender does not own
                          the flow, and in this view opens it only if the
                          directory assigns it.  */
  HS_FLOW_RELEASE,     /* The receiver must give up the flow of records[0] to
                          the owner named there.  */
  HS_FLOW_RETRY_LATER, /* Answers a query: the sender does not know yet.  */
  HS_FLOW_CONFIRM,     /* Asks a backup whether work that is not idempotent may
                          run on the flow of records[0].  */
  HS_FLOW_CONFIRMED    /* Allows the work of the CONFIRM with the same SEQ.  */
};

struct hs_ownership_record
{
  struct hs_addr caller; /* Identifies the flow within the service.  */
  uint64_t owner_id;     /* 0: the sender no longer owns the flow.  */
  uint64_t opened_view;  /* Number of the view it was opened in.  */
};

struct hs_flow_message
{
  enum hs_flow_message_type type;
  uint32_t service_id;
  uint64_t view_number;        /* Number of the sender's view.  */
  uint64_t from_id;            /* Agent id of the sender.  */
  struct hs_addr from_address; /* Set by the receiver's transport.  */
  uint64_t from_incarnation;
  uint64_t to_incarnation; /* Incarnation of the intended receiver.  */
  uint64_t seq; /* PUSH, ACK: number of the push.  CONFIRM, CONFIRMED: id of
                   the confirmation.  */
  bool transfer_complete; /* PUSH: no record is left to send in this view.  */
  bool rules_out_missing; /* REPLY: the sender is a backup of the flow for the
                             member named in the query, and would have a
                             record if that member owned it.  */
  size_t records_len;     /* Number of records.  */
  struct hs_ownership_record records[HS_FLOW_MESSAGE_RECORDS_MAX];
};

struct hs_ownership;

/* Callbacks, which are called from within the functions below.  */
struct hs_ownership_ops
{
  /* Sends MESSAGE, which is valid only during the call.  It may be lost.  */
  void (*send) (void *ctx, const struct hs_member *to,
                const struct hs_flow_message *message);

  /* FLOW, which an earlier process of this agent owned, is owned again.  */
  void (*recovered) (void *ctx, struct hs_flow *flow);

  /* FLOW is freed after the call: release its user_data.  */
  void (*closed) (void *ctx, struct hs_flow *flow);

  /* Packets that got HS_ROUTE_WAIT may be routed again.  */
  void (*resolved) (void *ctx);

  /* The result of hs_ownership_confirm, which returned ID.  MAY_RUN: whether
     the work may run.  */
  void (*confirmed) (void *ctx, uint64_t id, bool may_run);
};

struct hs_ownership_stats
{
  size_t flows;            /* Owned here.  */
  size_t records;          /* Records of flows that other agents own.  */
  uint64_t uncertain;      /* Flows opened as uncertain since the start.  */
  uint64_t released;       /* Flows given up to another owner since the
                              start.  */
  uint64_t queries_sent;   /* Queries for new owner lookups since the
                              start.  */
  bool transfers_complete; /* Every member of the view has completed its state
                              transfer to this agent.  */
};

/* Copies OPS.  CATALOG must outlive the result.  */
struct hs_ownership *
hs_ownership_create (void *parent, const struct hs_catalog *catalog,
                     uint64_t agent_id, uint64_t incarnation,
                     const struct hs_ownership_ops *ops, void *ctx);

/* Frees all flows without calling "closed".  */
void hs_ownership_destroy (struct hs_ownership *ownership);

/* Sets the service of this agent.  Until then, every packet is refused.  */
void hs_ownership_set_service (struct hs_ownership *ownership,
                               uint32_t service_id);

/* From now on new flows are assigned to other agents.  */
void hs_ownership_set_draining (struct hs_ownership *ownership);

/* Puts a newer view of the service in force.  Call this after each change of
   the catalog.  */
void hs_ownership_apply_view (struct hs_ownership *ownership, uint64_t now);

/* Decides on a packet and, if the flow is new and belongs here, opens it.  */
struct hs_route_decision hs_ownership_route (struct hs_ownership *ownership,
                                             const struct hs_hop *hop,
                                             uint64_t now);

/* Handles a message of another agent.  One that is meant for another service
   or incarnation is ignored.  */
void hs_ownership_receive (struct hs_ownership *ownership,
                           const struct hs_flow_message *message,
                           uint64_t now);

/* Call this every HS_OWNERSHIP_TICK_MS.  */
void hs_ownership_tick (struct hs_ownership *ownership, uint64_t now);

/* Has the backups of FLOW confirm, in the view in force, that no other agent
   owns it.  Call this before work that is not idempotent runs on FLOW.
   Returns 0 if the work may run at once, or else an id that is passed to the
   "confirmed" callback.  */
uint64_t hs_ownership_confirm (struct hs_ownership *ownership,
                               const struct hs_flow *flow, uint64_t now);

/* Returns a flow that is owned by OWNERSHIP and valid until "closed", or NULL
   if this agent does not own the flow.  */
struct hs_flow *hs_ownership_find_flow (struct hs_ownership *ownership,
                                        const struct hs_flow_key *key);
struct hs_ownership_stats
hs_ownership_stats (const struct hs_ownership *ownership);

/* Returns the entry of the last packet, of any flow, that came directly from
   an entry.  */
const struct hs_entry_path *
hs_ownership_last_path (const struct hs_ownership *ownership);

/* Tracker: the requests that an agent received.  Each request is counted under
   exactly one outcome.  */

#define HS_REQUEST_RECORDS_MAX 16384

/* Time in ms for which duplicates are recognized: EXCHANGE_LIFETIME of
   RFC 7252.  */
#define HS_REQUEST_RECORD_LIFETIME_MS 247000
#define HS_TOKEN_SIZE 8 /* Maximum length of a CoAP token, in bytes.  */

enum hs_request_action
{
  HS_REQUEST_DELIVER, /* Forward the request to the upstream.  */
  HS_REQUEST_DROP,    /* Duplicate of a request in progress.  */
  HS_REQUEST_REPLAY,  /* Duplicate: send the recorded response.  */
  HS_REQUEST_REFUSE   /* Respond with the verdict.  */
};

struct hs_request_info
{
  struct hs_flow_key flow_key;
  uint16_t message_id;
  uint8_t token_len;
  uint8_t token[HS_TOKEN_SIZE];
  bool idempotent;
  bool opens_stream;     /* Registers for notifications.  */
  bool cancels_stream;   /* Ends the stream with the same token.  */
  bool needs_ack;        /* Confirmable and not acknowledged yet.  */
  bool may_be_duplicate; /* Another agent may have executed it.  It is then
                            delivered only if it is idempotent.  */
  uint32_t deadline_ms;  /* Time limit, counted from its arrival.  */
};

struct hs_response_info
{
  struct hs_flow_key flow_key;
  uint16_t message_id;
  uint8_t token_len;
  uint8_t token[HS_TOKEN_SIZE];
  bool refused;     /* The upstream did not execute the request.  */
  bool more_follow; /* A notification of a stream that stays open.  */
};

struct hs_request_decision
{
  enum hs_request_action action;
  struct hs_verdict verdict; /* REFUSE  */
  const uint8_t *response;   /* REPLAY: owned by the tracker, valid until the
                                next call.  */
  size_t response_len;       /* Bytes.  */
};

/* RECEIVED equals the sum of RAN, NOT_RUN, MAY_HAVE_RUN and IN_PROGRESS.  */
struct hs_request_totals
{
  uint64_t received;
  uint64_t ran;
  uint64_t not_run;
  uint64_t may_have_run;
  uint64_t in_progress;
  uint64_t duplicates; /* Not included in RECEIVED.  */
  uint64_t streams;    /* Currently open.  */
};

struct hs_tracker;

struct hs_tracker_ops
{
  /* The deadline of REQUEST passed: VERDICT is to be sent to its caller.  */
  void (*request_expired) (void *ctx, const struct hs_request_info *request,
                           struct hs_verdict verdict);
};

/* TIMERS must outlive the returned object; OPS is copied.  */
struct hs_tracker *hs_tracker_create (void *parent, struct hs_timers *timers,
                                      const struct hs_tracker_ops *ops,
                                      void *ctx);
void hs_tracker_destroy (struct hs_tracker *tracker);

/* Records REQUEST and decides what to do with it.  */
struct hs_request_decision
hs_tracker_request (struct hs_tracker *tracker,
                    const struct hs_request_info *request, uint64_t now);

/* Counts, as NOT_RUN, a request that was refused without being recorded.  */
void hs_tracker_refuse (struct hs_tracker *tracker);

/* Records a response of the upstream.  The LEN bytes at BYTES are copied if it
   is the first response to its request, to be replayed to duplicates.  Returns
   false if the response belongs to no recorded request.  */
bool hs_tracker_handle_response (struct hs_tracker *tracker,
                                 const struct hs_response_info *response,
                                 const uint8_t *bytes, size_t len,
                                 uint64_t now);

/* Handles an empty acknowledgement of the upstream, which will respond later.
   Returns false if no request in progress has MESSAGE_ID.  */
bool hs_tracker_handle_upstream_ack (struct hs_tracker *tracker,
                                     const struct hs_flow_key *flow,
                                     uint16_t message_id);

/* Handles a reset by which the caller rejects the notification with
   MESSAGE_ID: its stream ends.  */
void hs_tracker_handle_caller_reset (struct hs_tracker *tracker,
                                     const struct hs_flow_key *flow,
                                     uint16_t message_id);

/* Ends the streams of FLOW and counts its requests in progress as
   MAY_HAVE_RUN.  Does not call request_expired.  */
void hs_tracker_close_flow (struct hs_tracker *tracker,
                            const struct hs_flow_key *flow, uint64_t now);
struct hs_request_totals hs_tracker_totals (const struct hs_tracker *tracker);

/* Evacuations: the availability zones whose upstreams are to get no new
   flows.  */

#define HS_EVACUATED_ZONES_MAX 16 /* At once.  */

struct hs_evacuations
{
  uint64_t revision; /* Log index of the order that last changed the zones; 0:
                        none yet.  */
  size_t len;
  char zones[HS_EVACUATED_ZONES_MAX][HS_NAME_SIZE];
};

/* An order of an operator.  */
struct hs_evacuation_order
{
  bool start; /* Evacuate the zone, else end its evacuation.  */
  char zone[HS_NAME_SIZE];
  bool is_conditional;    /* It takes effect only if BASE_REVISION is still the
                             revision.  */
  uint64_t base_revision; /* If IS_CONDITIONAL.  */
};

bool hs_evacuations_contain (const struct hs_evacuations *evacuations,
                             const char *zone);

/* Carries out ORDER; REVISION is the log index of its entry.  An order for a
   state that the zone is in already succeeds and changes nothing, so that an
   order that is sent again has no second effect.  Returns false and sets
   HS_ERROR_CONFLICT if a conditional order is based on another revision, or
   HS_ERROR_LIMIT if HS_EVACUATED_ZONES_MAX zones are evacuated already.  */
bool hs_evacuations_apply (struct hs_evacuations *evacuations,
                           const struct hs_evacuation_order *order,
                           uint64_t revision, GError **error);

/* Replaces HELD by RECEIVED if that has a higher revision.  Returns whether it
   has.  */
bool hs_evacuations_update (struct hs_evacuations *held,
                            const struct hs_evacuations *received);

/* Segments: the datagrams of segment flows between a caller's address and the
   address of a service.  struct hs_segment is the decoded form; the bytes are
   decoded once, by the code that knows the wire format.  */

enum hs_segment_flag
{
  HS_SEGMENT_SYN = 1,
  HS_SEGMENT_ACK = 2,
  HS_SEGMENT_FIN = 4,
  HS_SEGMENT_RST = 8,
  HS_SEGMENT_RETURNED = 16 /* Sent back by the upstream, which does not own the
                              flow or cannot accept the SYN.  */
};

/* Sequence numbers of one flow that are sent within seconds of each other
   differ by less than this.  It does not bound the bytes of a flow.  */
#define HS_SEQUENCE_WINDOW (1U << 24)

struct hs_segment
{
  struct hs_addr from;
  struct hs_addr to;
  unsigned int flags; /* Bits of enum hs_segment_flag.  */
  uint32_t seq;
  uint32_t ack;
  uint16_t payload_len; /* Bytes.  */
};

struct hs_segment_key
{
  struct hs_addr caller;
  struct hs_addr address; /* Address of the service.  */
};

/* Returns a hash that depends on the addresses and ports only: it is the same
   in every process.  */
uint64_t hs_segment_key_hash (const struct hs_segment_key *key);

/* Returns the key of SEGMENT's flow.  FROM_CALLER: SEGMENT comes from the
   caller; else it is on its way to the caller.  */
struct hs_segment_key hs_segment_key (const struct hs_segment *segment,
                                      bool from_caller);

/* Returns the time in ms between the first copy of SYN and this one.  */
uint64_t hs_segment_syn_age_ms (const struct hs_segment *syn);

/* Returns whether SEGMENT opens a flow: SYN is set, ACK and RST are not.  */
bool hs_segment_is_syn (const struct hs_segment *segment);

/* Configuration: the routes and services of segment flows, replaced as a whole
   under one version.  */

enum hs_request_class
{
  HS_REQUEST_CLASS_IDEMPOTENT,
  HS_REQUEST_CLASS_ONCE,    /* Not idempotent.  */
  HS_REQUEST_CLASS_UPLOAD,  /* Not idempotent, with a large body.  */
  HS_REQUEST_CLASS_DOWNLOAD /* Idempotent, with a large response.  */
};

struct hs_traffic_split
{
  const char *service_name;
  uint32_t weight; /* Share of new flows, relative to the route's others.  */
};

#define HS_ROUTE_REGIONS_MAX 8 /* Regions that a route allows.  */

struct hs_service_route
{
  const char *name;
  struct hs_addr address; /* Destination of callers' packets.  */
  enum hs_request_class request_class;
  uint32_t timeout_ms; /* Time limit of a request.  */
  uint32_t slo_ms;     /* Latency objective of a request.  */
  uint32_t priority;   /* 0 is the highest priority.  */
  size_t splits_len;
  struct hs_traffic_split *splits;
  size_t regions_len;   /* 0: flows may go to upstreams in any region.  */
  const char **regions; /* Names, at most HS_ROUTE_REGIONS_MAX.  */
};

struct hs_configured_service
{
  const char *name;
  uint32_t cold_flow_rate; /* New flows in 1,000 s that one of its upstreams
                              bears while it is cold; 0: not limited.  */
};

/* The object owns all strings and arrays that it points to.  */
struct hs_configuration
{
  uint64_t version; /* The highest version takes effect; 0 is a version.  */
  size_t routes_len;
  struct hs_service_route *routes;
  size_t services_len;
  struct hs_configured_service *services;
  uint32_t flow_idle_ms; /* Silence after which a flow may be removed; 0: no
                            limit.  */
};

/* Parses LEN bytes of JSON and checks their syntax and types only.  Returns a
   talloc child of PARENT, or NULL with HS_ERROR_MALFORMED, which names the
   field.  */
struct hs_configuration *hs_configuration_parse (void *parent,
                                                 const char *json, size_t len,
                                                 GError **error);

/* Returns the generation of the configuration with VERSION.  Generations are
   in the order of the versions and begin at 1, so that 0 stands for no
   configuration wherever a generation is kept or sent.  */
uint64_t hs_configuration_generation (uint64_t version);

/* Checks that the values are allowed and consistent with each other.  Returns
   false with HS_ERROR_INVALID, which names the route and the requirement that
   it does not meet.  */
bool hs_configuration_check (const struct hs_configuration *configuration,
                             GError **error);

/* Region map: the region of each availability zone.  */

struct hs_region_map;

/* Parses TEXT, "zone:region,zone:region"; empty parts are ignored.  Returns
   NULL with HS_ERROR_INVALID, which names the bad part, if a part has another
   form or a zone is listed twice.  */
struct hs_region_map *hs_region_map_create (void *parent, const char *text,
                                            GError **error);
void hs_region_map_destroy (struct hs_region_map *map);

/* Returns the name of ZONE's region, which is owned by MAP, or NULL if ZONE is
   not listed.  */
const char *hs_region_map_find (const struct hs_region_map *map,
                                const char *zone);

/* Returns the number of zones that are listed.  */
size_t hs_region_map_len (const struct hs_region_map *map);

/* Returns the regions of the zones in the order listed, hs_region_map_len of
   them, as a talloc child of PARENT.  The names are owned by MAP.  */
const char **hs_region_map_regions (const struct hs_region_map *map,
                                    void *parent);

/* The regions whose upstreams may get the flows of a route.  */
struct hs_region_set
{
  size_t len;                         /* 0: all regions.  */
  uint64_t ids[HS_ROUTE_REGIONS_MAX]; /* hs_id_from_name of their names.  */
};

/* SET: NULL for all regions.  REGION_ID: 0 if the region is not known, which
   only a set of all regions allows.  */
bool hs_region_set_allows (const struct hs_region_set *set,
                           uint64_t region_id);

/* Returns a static string such as "idempotent".  */
const char *hs_request_class_name (enum hs_request_class request_class);

/* Review of a configuration before it is submitted: what is invalid, what is
   valid but most likely a mistake, and what it would change.  */

/* A flow idle timeout below this is most likely given in the wrong unit:
   callers alone wait up to 1.4 s for the answer to a SYN.  */
#define HS_FLOW_IDLE_MIN_MS 1000

enum hs_finding_severity
{
  HS_FINDING_ERROR,     /* The control group refuses the configuration.  */
  HS_FINDING_WARNING,   /* Valid, but most likely a mistake.  */
  HS_FINDING_DIFFERENCE /* From another configuration.  */
};

enum hs_finding_kind
{
  HS_FINDING_INVALID,
  HS_FINDING_ADDRESS_UNREACHABLE,
  HS_FINDING_WEIGHT_ZERO,
  HS_FINDING_REGION_UNKNOWN,    /* No zone is in one of a route's regions.  */
  HS_FINDING_REGIONS_UNMATCHED, /* No zone is in any of a route's regions.  */
  HS_FINDING_LIMIT_BELOW_OBJECTIVE,
  HS_FINDING_OBJECTIVE_ZERO,
  HS_FINDING_IDLE_TIMEOUT_SHORT,
  HS_FINDING_SERVICE_UNUSED,
  HS_FINDING_VERSION_NOT_HIGHER,
  HS_FINDING_SETTING_CHANGED, /* A field of the configuration itself.  */
  HS_FINDING_ROUTE_ADDED,
  HS_FINDING_ROUTE_REMOVED,
  HS_FINDING_ROUTE_CHANGED,
  HS_FINDING_SERVICE_ADDED,
  HS_FINDING_SERVICE_REMOVED,
  HS_FINDING_SERVICE_CHANGED,
  HS_FINDING_KIND_COUNT
};

struct hs_finding
{
  enum hs_finding_severity severity;
  enum hs_finding_kind kind;
  const char *route;   /* Name, or NULL if it concerns no single route.  */
  const char *service; /* Name, or NULL if it concerns no single service.  */
  const char *field;   /* Name in the JSON, or NULL.  */
  const char *message; /* Does not repeat the place.  */
};

/* The strings in FINDING are valid during the call only.  */
typedef void hs_finding_fn (void *ctx, const struct hs_finding *finding);

/* Return static strings such as "warning" and "weight-zero".  */
const char *hs_finding_severity_name (enum hs_finding_severity severity);
const char *hs_finding_kind_name (enum hs_finding_kind kind);

/* Calls FN for each error that hs_configuration_check finds in a route on its
   own, or, if there is none, for the first that it finds between routes; then
   for each warning.  REGIONS are the regions of all availability zones; if
   there are none, the regions of routes are not checked.  */
void hs_configuration_review (const struct hs_configuration *configuration,
                              const char *const *regions, size_t regions_len,
                              hs_finding_fn *fn, void *ctx);

/* Calls FN for each difference of CONFIGURATION from PREVIOUS, and for a
   warning if CONFIGURATION would not replace it since its version is not
   higher.  Routes and services are paired by name, routes that share a name by
   address first.  The order of routes, services and regions does not
   matter.  */
void hs_configuration_compare (const struct hs_configuration *configuration,
                               const struct hs_configuration *previous,
                               hs_finding_fn *fn, void *ctx);

/* Routing: the routes of a configuration, indexed by address.  */

#define HS_SPLITS_MAX 8 /* Services of a route.  */

struct hs_routing;

struct hs_rule_split
{
  uint64_t service_id; /* hs_id_from_name of the service's name.  */
  uint32_t weight; /* Share of new flows, relative to the route's others.  */
};

/* A service that an earlier configuration named for the route.  */
struct hs_former_service
{
  uint64_t service_id;
  uint64_t until; /* ms, when the last flow opened there has ended.  */
};

struct hs_routing_rule
{
  struct hs_table_node node;
  struct hs_list link; /* In the rules of the routing.  */
  struct hs_addr address;
  enum hs_request_class request_class;
  uint32_t slo_ms;              /* Latency objective of a request; 0: none.  */
  uint32_t timeout_ms;          /* Time limit of a request.  */
  uint32_t priority;            /* 0 is the highest.  */
  uint32_t total_weight;        /* Sum of the weights in SPLITS; not 0.  */
  struct hs_region_set regions; /* Of the upstreams that may get its flows.  */
  size_t splits_len;
  struct hs_rule_split splits[HS_SPLITS_MAX];
  size_t former_len; /* Of the latest HS_SPLITS_MAX.  */
  struct hs_former_service former[HS_SPLITS_MAX];
};

/* CONFIGURATION must have passed hs_configuration_check; it is copied.  */
struct hs_routing *
hs_routing_create (void *parent, const struct hs_configuration *configuration);
void hs_routing_destroy (struct hs_routing *routing);

/* Adds to the rules of ROUTING, as former services, those that PREVIOUS has
   for the same addresses.  UNTIL: ms, when the last flow opened under PREVIOUS
   has ended.  */
void hs_routing_inherit (struct hs_routing *routing,
                         const struct hs_routing *previous, uint64_t now,
                         uint64_t until);
uint64_t hs_routing_version (const struct hs_routing *routing);

/* ROUTING: NULL if no configuration is in force.  */
uint64_t hs_routing_generation (const struct hs_routing *routing);
uint32_t hs_routing_flow_idle_ms (const struct hs_routing *routing);

/* Returns the new flows in 1,000 s that an upstream of the service bears while
   it is cold; 0: not limited, or an unknown service.  */
uint32_t hs_routing_cold_flow_rate (const struct hs_routing *routing,
                                    uint64_t service_id);

/* Lifetime after which callers and upstreams give up a flow, unless a setting
   says otherwise.  */
#define HS_FLOW_LIFETIME_DEFAULT_MS 60000

/* Returns the silence in ms after which a flow is over by the idle timeout
   FLOW_IDLE_MS, 0 for none, or by LIFETIME_MS, the longest lifetime of a
   flow.  */
uint64_t hs_flow_expiry_ms (uint32_t flow_idle_ms, uint64_t lifetime_ms);

/* Returns the rule of the route to ADDRESS, which is owned by ROUTING, or NULL
   if there is no such route.  */
const struct hs_routing_rule *
hs_routing_find (const struct hs_routing *routing,
                 const struct hs_addr *address);

/* Returns the id of a service of RULE, chosen by weight.  The same HASH always
   chooses the same service.  */
uint64_t hs_routing_pick_service (const struct hs_routing_rule *rule,
                                  uint64_t hash);

/* Agent pool: the agents as an entry knows them by their load reports, and the
   placement of new flows on them.

   A pointer to a pool agent is owned by the pool and valid until the next call
   of hs_agent_pool_expire, hs_agent_pool_remove or hs_agent_pool_destroy.  */

/* Time without an answer to a load query after which an agent gets no new
   flows.  */
#define HS_ANSWER_TIMEOUT_MS 250

/* The same, after which an agent whose upstream was silent before no longer
   counts as a possible owner of a flow.  */
#define HS_REPORT_TIMEOUT_MS 700

/* The same, after which an agent is removed from the pool, and no longer
   counts as a possible owner of a flow: longer than an agent takes to restart.
 */
#define HS_POOL_AGENT_EXPIRY_MS 5500

enum hs_agent_state
{
  HS_AGENT_READY,
  HS_AGENT_DRAINING,       /* Accepts no new flows; open flows continue.  */
  HS_AGENT_UPSTREAM_SILENT /* Its upstream is silent, has left or rejects
                              SYNs.  */
};

/* Returns a static string such as "ready".  */
const char *hs_agent_state_name (enum hs_agent_state state);

#define HS_COLD_ROOM_UNLIMITED UINT32_MAX

struct hs_load_report
{
  uint64_t agent_id;
  uint64_t incarnation; /* Wall clock of the agent's start, ms.  */
  uint64_t seq;         /* Increases within the incarnation.  */
  uint64_t service_id;  /* hs_id_from_name of the service's name.  */
  struct hs_addr address;
  enum hs_agent_state state;
  uint32_t slots; /* Requests that the upstream runs at once; 0: not known.  */
  uint32_t requests_in_progress; /* Requests at the upstream, queued ones
                                    included.  */
  uint32_t open_flows;           /* Without dormant ones.  */
  uint32_t cold_ms; /* Time left until the upstream is warm; 0: it is warm.  */
  uint32_t mean_work_us; /* Mean time of a request in a slot; 0: not known.  */
  uint32_t work_left_us; /* Expected time in slots that the requests in
                            progress, queued ones and those about to come
                            included, still need and by which they delay a new
                            one; 0: none, or not known.  */
  uint32_t hold_room; /* SYNs that the agent would hold while its upstream has
                         no room.  */
  uint32_t cold_room; /* New flows that the upstream bears in the present
                         second; HS_COLD_ROOM_UNLIMITED: no limit.  */
  bool no_upstream; /* There is no upstream process that could own a flow.  */
  char zone[HS_NAME_SIZE];
};

struct hs_pool_agent
{
  struct hs_table_node node; /* Node in the table by agent id.  */
  struct hs_list lru_link;
  struct hs_load_report report; /* The latest.  */
  uint64_t last_heard_at;       /* ms, when the report came.  */
  uint64_t unanswered_since;    /* ms, of the first load query since then; 0:
                                   none.  */
  uint32_t placed_flows;        /* Flows placed here since the report.  */
  bool is_same_zone;            /* In the entry's availability zone.  */
  bool is_evacuated;            /* Its availability zone is evacuated.  */
  uint64_t region_id;           /* hs_id_from_name of its region's name; 0: not
                                   known.  */
};

#define HS_SYN_AGENTS_MAX 4 /* Agents that one SYN is sent to.  */

/* Agents that a SYN was sent to, and agents that refused it.  */
#define HS_FLOW_EXCLUDED_MAX (2 * HS_SYN_AGENTS_MAX)

/* What a new flow requires of the agent that it is placed on.  */
struct hs_flow_demand
{
  uint64_t service_id;
  const struct hs_region_set *regions; /* Allowed regions; NULL: all.  */
  size_t excluded_len;
  uint64_t excluded[HS_FLOW_EXCLUDED_MAX]; /* Ids of agents that are not to be
                                              chosen.  */
};

struct hs_agent_pool;

/* ZONE: the entry's availability zone.  */
struct hs_agent_pool *hs_agent_pool_create (void *parent, const char *zone);
void hs_agent_pool_destroy (struct hs_agent_pool *pool);

/* Sets the regions of the agents, which are not known otherwise.  Call it
   before the first hs_agent_pool_update.  MAP is borrowed and must outlive the
   pool.  */
void hs_agent_pool_set_region_map (struct hs_agent_pool *pool,
                                   const struct hs_region_map *map);

/* Stores a copy of REPORT if it is newer than the agent's latest report.
   Returns whether the agent is new, or its state or incarnation has
   changed.  */
bool hs_agent_pool_update (struct hs_agent_pool *pool,
                           const struct hs_load_report *report, uint64_t now);

/* EVACUATIONS are copied: agents in these zones accept no flows.  */
void hs_agent_pool_set_evacuations (struct hs_agent_pool *pool,
                                    const struct hs_evacuations *evacuations);

/* Records that the agent has been sent a load query.  An unknown agent is
   ignored.  */
void hs_agent_pool_mark_queried (struct hs_agent_pool *pool, uint64_t agent_id,
                                 uint64_t now);

/* Removes an agent that is known to be gone.  An unknown agent is ignored.  */
void hs_agent_pool_remove (struct hs_agent_pool *pool, uint64_t agent_id);

/* Overrides the state of an agent until its next report.  An unknown agent is
   ignored.  */
void hs_agent_pool_set_state (struct hs_agent_pool *pool, uint64_t agent_id,
                              enum hs_agent_state state);

/* Returns NULL if the agent is unknown.  */
const struct hs_pool_agent *
hs_agent_pool_find (const struct hs_agent_pool *pool, uint64_t agent_id);

/* Returns whether AGENT is ready, has left no load query unanswered for
   HS_ANSWER_TIMEOUT_MS, and is not in an evacuated zone.  */
bool hs_pool_agent_accepts_flows (const struct hs_pool_agent *agent,
                                  uint64_t now);

/* Chooses the agent that meets DEMAND and is expected to complete a new
   request first, and counts the flow there.  No more flows are placed on an
   agent with a cold upstream than its latest report has room for.  Returns
   NULL if no agent that meets DEMAND accepts flows and has room.  */
const struct hs_pool_agent *
hs_agent_pool_place_flow (struct hs_agent_pool *pool,
                          const struct hs_flow_demand *demand, uint64_t now);

/* Returns whether the agents of the service in allowed regions accept no flows
   only because their zones are evacuated.  The agents that DEMAND excludes
   count as well.  */
bool hs_agent_pool_is_evacuated (const struct hs_agent_pool *pool,
                                 const struct hs_flow_demand *demand,
                                 uint64_t now);

/* Returns whether agents of the service accept flows, but none of them is in a
   region that DEMAND allows.  The agents that DEMAND excludes count as
   well.  */
bool hs_agent_pool_lacks_region (const struct hs_agent_pool *pool,
                                 const struct hs_flow_demand *demand,
                                 uint64_t now);

/* Returns whether an agent of the service accepts flows, but has no room left
   since its upstream is cold.  */
bool hs_agent_pool_lacks_room (const struct hs_agent_pool *pool,
                               const struct hs_flow_demand *demand,
                               uint64_t now);

/* Returns the time in microseconds that a new request is expected to wait for
   a slot of the agent's upstream.  */
uint64_t hs_pool_agent_wait_us (const struct hs_pool_agent *agent);

/* Returns the agent of the service in an allowed region, in any availability
   zone, with the shortest expected wait, or NULL if none accepts flows.  The
   agents that DEMAND excludes count as well.  */
const struct hs_pool_agent *
hs_agent_pool_least_busy (const struct hs_agent_pool *pool,
                          const struct hs_flow_demand *demand, uint64_t now);

/* Returns whether an agent that meets DEMAND would hold a SYN until its
   upstream has room.  The agents that DEMAND excludes count as well.  */
bool hs_agent_pool_may_hold (const struct hs_agent_pool *pool,
                             const struct hs_flow_demand *demand,
                             uint64_t now);

/* Overload: how long a request may wait for a slot of an upstream, and how
   long it is expected to.  */

#define HS_LOW_PRIORITY_MIN 2 /* Priorities from this number on are low.  */

/* Slots of an upstream that has not reported any.  */
#define HS_SLOTS_DEFAULT 1

/* Documented work of a request at a cold upstream, as a share of its work at a
   warm one.  */
#define HS_COLD_WORK_PERCENT 160

/* Returns the time that REQUESTS at an upstream with SLOTS (0: not known)
   would make the last of them wait for a slot, in microseconds.  MEAN_WORK_US:
   mean time of a request in a slot; 0: not known.  */
uint64_t hs_overload_wait_us (uint64_t requests, uint32_t slots,
                              uint32_t mean_work_us);

/* Returns the time in ms that a request with the latency objective SLO_MS and
   PRIORITY (0: the highest) may wait for a slot, at least 1; 0: there is no
   limit, since SLO_MS is 0.  */
uint32_t hs_overload_wait_max_ms (uint32_t slo_ms, uint32_t priority,
                                  uint32_t mean_work_us);

/* Returns the time in ms for which the SYN of a request with the latency
   objective SLO_MS and the limit TIMEOUT_MS may be held; 0: not at all, as an
   answer after the objective would be too late.  WAITED_MS: time since its
   first copy.  */
uint32_t hs_overload_hold_max_ms (uint32_t slo_ms, uint32_t timeout_ms,
                                  uint64_t waited_ms);

/* Returns whether a new flow is to be refused, since even at the least busy
   agent, as of hs_agent_pool_least_busy, the wait for a slot would be too
   long.  False if SLO_MS is 0 or no agent accepts flows.  */
bool hs_agent_pool_is_overloaded (const struct hs_agent_pool *pool,
                                  const struct hs_flow_demand *demand,
                                  uint32_t slo_ms, uint32_t priority,
                                  uint64_t now);

/* Fills AGENTS, of MAX elements, with the agents of a service (0: of every
   service) that may own flows.  Returns their number, at most MAX.  */
size_t hs_agent_pool_possible_owners (const struct hs_agent_pool *pool,
                                      uint64_t service_id,
                                      const struct hs_pool_agent **agents,
                                      size_t max, uint64_t now);

/* Returns whether the pool has agents and all of them have started at WALL_MS
   of the wall clock or later.  */
bool hs_agent_pool_all_started_since (const struct hs_agent_pool *pool,
                                      uint64_t wall_ms);

/* Removes the agents that have left load queries unanswered for longer than
   HS_POOL_AGENT_EXPIRY_MS.  */
void hs_agent_pool_expire (struct hs_agent_pool *pool, uint64_t now);

/* Load poller: decides which agents an entry asks for their load, and when.
   The cost grows with the new flows of the entry, not with the number of
   agents.  */

#define HS_LOAD_POLLER_TICK_MS 50

struct hs_load_poller_ops
{
  /* Send a load query to the agent at ADDRESS.  */
  void (*query_load) (void *ctx, const struct hs_addr *address);
};

struct hs_load_poller;

/* ZONE: the entry's availability zone.  POOL is borrowed and must outlive the
   poller.  OPS is copied, and CTX is passed to its callbacks.  */
struct hs_load_poller *
hs_load_poller_create (void *parent, const char *zone,
                       struct hs_agent_pool *pool,
                       const struct hs_load_poller_ops *ops, void *ctx);
void hs_load_poller_destroy (struct hs_load_poller *poller);

/* Replaces the list of agents.  An agent that is no longer listed is removed
   from the pool as well.  */
void hs_load_poller_set_agents (struct hs_load_poller *poller,
                                const struct hs_addr *addresses, size_t len);

/* Call this for each load report, before hs_agent_pool_update.  Returns false
   if no agent is listed at its address: the report is to be ignored.  */
bool hs_load_poller_handle_report (struct hs_load_poller *poller,
                                   const struct hs_load_report *report);

/* Call this for each SYN of the service: its next flows need fresh loads.  */
void hs_load_poller_handle_syn (struct hs_load_poller *poller,
                                uint64_t service_id, uint64_t now);

/* Returns whether every agent that may own a flow is in the pool: each agent
   that is listed has reported or has left queries unanswered for
   HS_POOL_AGENT_EXPIRY_MS, and each one that runs had the time to be listed.
   UP_MS: time since the entry's start; STARTED_AT: wall clock of its start,
   ms.  */
bool hs_load_poller_is_complete (const struct hs_load_poller *poller,
                                 uint64_t up_ms, uint64_t started_at,
                                 uint64_t now);

/* Has all agents queried in the next ticks.  */
void hs_load_poller_query_all (struct hs_load_poller *poller);

/* Call this every HS_LOAD_POLLER_TICK_MS.  */
void hs_load_poller_tick (struct hs_load_poller *poller, uint64_t now);

/* Egress queue: the datagrams that wait at an entry until its uplink, the
   network link of its host, can carry them.  */

/* Datagrams of a class.  */
#define HS_EGRESS_QUEUE_MAX 256
#define HS_EGRESS_QUERY_QUEUE_MAX HS_LOOKUP_AGENTS_MAX

/* Datagrams of a class are sent in order, and before those of the classes
   after it.  */
enum hs_egress_class
{
  HS_EGRESS_SHORT, /* Segments of short requests, and the SYNs of all flows. */
  HS_EGRESS_QUERY, /* Queries to agents.  */
  HS_EGRESS_BULK,  /* Other segments of uploads.  */
  HS_EGRESS_CLASSES
};

struct hs_egress_ops
{
  /* Send a queued datagram, DATA, to TO.  */
  void (*send) (void *ctx, const struct hs_addr *to, const uint8_t *data,
                size_t len);
};

struct hs_egress;

/* MBIT_PER_S: rate of the uplink; 0: no limit, so that nothing is queued.  OPS
   is copied, and CTX is passed to its callbacks.  */
struct hs_egress *hs_egress_create (void *parent, double mbit_per_s,
                                    const struct hs_egress_ops *ops,
                                    void *ctx);
void hs_egress_destroy (struct hs_egress *egress);

/* Returns the class of SEGMENT, which a caller sent.  ROUTING may be NULL.  */
enum hs_egress_class hs_egress_class_of (const struct hs_routing *routing,
                                         const struct hs_segment *segment);

/* Returns a tag that SEGMENT shares with its retransmissions; 0: it has no
   payload.  */
uint64_t hs_egress_tag_of (const struct hs_segment *segment);

/* Counts a datagram with LEN bytes of UDP payload that is sent without
   waiting.  */
void hs_egress_count (struct hs_egress *egress, size_t len, uint64_t now);

/* Returns whether a datagram of LEN bytes may be sent at once, and if so,
   counts it.  Otherwise it is to be queued.  */
bool hs_egress_take (struct hs_egress *egress, enum hs_egress_class class,
                     size_t len, uint64_t now);

/* Queues a copy of DATA.  If a datagram to TO of the same TAG, other than 0,
   and length is queued, as when a caller has sent a segment again, the copy
   takes its place.  Returns false if the queue of the class is full.  */
bool hs_egress_queue (struct hs_egress *egress, enum hs_egress_class class,
                      uint64_t tag, const struct hs_addr *to,
                      const uint8_t *data, size_t len);

/* Sends the queued datagrams that the uplink can take by now.  */
void hs_egress_flush (struct hs_egress *egress, uint64_t now);

/* Returns when to call hs_egress_flush next, ms; UINT64_MAX: nothing is
   queued.  */
uint64_t hs_egress_flush_at (const struct hs_egress *egress);

/* Returns the time that a new datagram of CLASS would wait, ms.  */
uint64_t hs_egress_wait_ms (struct hs_egress *egress,
                            enum hs_egress_class class, uint64_t now);

/* Uplink: refuses new flows before the network link of an entry's host is
   full.  */

struct hs_uplink;

/* MBIT_PER_S: rate of the uplink in each direction; 0: no limit.  EGRESS is
   borrowed and must outlive the uplink.  */
struct hs_uplink *hs_uplink_create (void *parent, double mbit_per_s,
                                    struct hs_egress *egress);
void hs_uplink_destroy (struct hs_uplink *uplink);

/* Counts a datagram received with LEN bytes of UDP payload.  */
void hs_uplink_count_received (struct hs_uplink *uplink, size_t len,
                               uint64_t now);

/* Returns the time that a datagram of CLASS waits for the fuller direction,
   ms.  */
uint64_t hs_uplink_wait_ms (struct hs_uplink *uplink,
                            enum hs_egress_class class, uint64_t now);

/* Returns whether a new flow is to be refused, since the wait for the uplink
   is too long for its latency objective SLO_MS (0: none), its request class
   and its priority (0: the highest).  */
bool hs_uplink_refuses_flow (struct hs_uplink *uplink,
                             enum hs_request_class request_class,
                             uint32_t slo_ms, uint32_t priority, uint64_t now);

/* Takes LEN tokens, one for each lookup query.  If any token is left, all LEN
   are taken, and the number left may become negative.  IS_NARROW: the queries
   go to directory agents only, and may take some tokens on credit.  Returns
   false, and takes none, if no token is left: no query may be sent now.  */
bool hs_uplink_take_query_tokens (struct hs_uplink *uplink, size_t len,
                                  bool is_narrow, uint64_t now);

/* Forwarder: decides what an entry does with a segment of a caller.  */

#define HS_LOOKUP_AGENTS_MAX 1024    /* Agents queried for one flow.  */
#define HS_FORWARDER_FLOWS_MAX 65536 /* Flows in the table of an entry.  */

enum hs_forward_action
{
  HS_FORWARD_TO_AGENTS, /* Send the segment to the agents in AGENTS.  */
  HS_FORWARD_QUEUE,     /* Queue it until send_pending with the owner, or
                           reset_caller, is called for its flow.  */
  HS_FORWARD_RESET,     /* Answer the caller with a reset.  */
  HS_FORWARD_DROP
};

/* The pool agents in it are owned by the agent pool.  */
struct hs_forward_decision
{
  enum hs_forward_action action;
  enum hs_reason reason; /* RESET and DROP.  */
  bool is_placement;     /* TO_AGENTS: a SYN, to an agent just chosen.  */
  uint32_t wait_max_ms;  /* TO_AGENTS, a SYN: the agent refuses it if the wait
                            for a slot would be longer; 0: no limit.  */
  uint32_t hold_max_ms;  /* TO_AGENTS, a SYN: an agent without room may hold it
                            for so long; 0: it refuses it.  */
  uint32_t priority;     /* TO_AGENTS, a SYN: of its route.  */
  uint32_t cold_flow_rate; /* TO_AGENTS, a SYN: new flows in 1,000 s that the
                              upstream bears while it is cold; 0: no limit. */
  bool owner_only; /* TO_AGENTS: an agent drops the segment if its upstream is
                      known not to own the flow, and answers whether it owns
                      it.  */
  const struct hs_pool_agent *least_busy; /* RESET since the agents are
                                             overloaded or warming up: the one
                                             with the shortest expected wait.
                                             Else NULL.  */
  uint64_t uplink_wait_ms; /* RESET by overload of the uplink: the time that a
                              segment would wait for it.  Else 0.  */
  size_t queried_agents; /* QUEUE: agents in the first round of the lookup that
                            this segment started.  RESET after a lookup: agents
                            that do not own the flow.  Else 0.  */
  size_t agents_len;
  const struct hs_pool_agent *agents[HS_SYN_AGENTS_MAX];
};

struct hs_forwarder;

struct hs_forwarder_ops
{
  /* No agent owns the flow of SEGMENT, the caller's latest: answer the caller
     with a reset and drop the queued segments of the flow.  NON_OWNERS agents
     have answered that they do not own it.  */
  void (*reset_caller) (void *ctx, const struct hs_segment *segment,
                        size_t non_owners);

  /* Send AGENT a lookup query, which asks whether it owns the flow of SEGMENT,
     the caller's latest.  */
  void (*query_owner) (void *ctx, const struct hs_pool_agent *agent,
                       const struct hs_segment *segment);

  /* Send the queued segments of the flow to AGENT, those that have been queued
     for at most AGE_MAX_MS.  With OWNER_ONLY, AGENT may not be the owner: the
     segments are marked like those of a decision with owner_only and stay
     queued.  Else AGENT is the owner.  */
  void (*send_pending) (void *ctx, const struct hs_segment_key *key,
                        const struct hs_pool_agent *agent, bool owner_only,
                        uint64_t age_max_ms);

  /* Report to DIRECTORY, the flow's directory agent, that the agent OWNER_ID
     owns the flow.  */
  void (*record_owner) (void *ctx, const struct hs_pool_agent *directory,
                        const struct hs_segment_key *key, uint64_t owner_id);
};

/* POOL and UPLINK are borrowed and must outlive the forwarder.  OPS is copied,
   and CTX is passed to its callbacks.  */
struct hs_forwarder *hs_forwarder_create (void *parent,
                                          struct hs_agent_pool *pool,
                                          struct hs_uplink *uplink,
                                          const struct hs_forwarder_ops *ops,
                                          void *ctx);
void hs_forwarder_destroy (struct hs_forwarder *forwarder);

/* LIFETIME_MS: longest lifetime of a flow, HS_FLOW_LIFETIME_DEFAULT_MS before
   the first call.  */
void hs_forwarder_set_flow_lifetime (struct hs_forwarder *forwarder,
                                     uint64_t lifetime_ms);

/* COMPLETE: every running agent has reported, so that a flow is known to have
   no owner once all agents of the pool have answered that they do not own it.
   False at first.  */
void hs_forwarder_set_pool_complete (struct hs_forwarder *forwarder,
                                     bool complete, uint64_t now);

/* ROUTING is borrowed and must live until the next call.  SYNs are dropped
   until the first call.  */
void hs_forwarder_set_routing (struct hs_forwarder *forwarder,
                               const struct hs_routing *routing);

/* Decides on a segment of a caller.  */
struct hs_forward_decision
hs_forwarder_route (struct hs_forwarder *forwarder,
                    const struct hs_segment *segment, uint64_t now);

/* Decides on a SYN that the agent AGENT_ID has refused for REASON: another
   agent is tried, up to HS_SYN_AGENTS_MAX in all.  If none is left, the caller
   is reset where REASON is that this upstream takes no more at present
   (overloaded, warming up).  The caller is reset only if no other agent has
   the SYN.  */
struct hs_forward_decision hs_forwarder_handle_refused_syn (
    struct hs_forwarder *forwarder, const struct hs_segment *syn,
    uint64_t agent_id, enum hs_reason reason, uint64_t now);

/* Agent AGENT_ID holds the SYN of the flow until its upstream has room: copies
   of the SYN go to no other agent.  */
void hs_forwarder_handle_held_syn (struct hs_forwarder *forwarder,
                                   const struct hs_segment_key *key,
                                   uint64_t agent_id);

/* Handle the answers to a lookup query: see enum hs_lookup_answer.  */

/* Agent AGENT_ID owns the flow.  */
void hs_forwarder_handle_owned (struct hs_forwarder *forwarder,
                                const struct hs_segment_key *key,
                                uint64_t agent_id, uint64_t now);

/* Agent AGENT_ID does not own the flow.  */
void hs_forwarder_handle_not_owned (struct hs_forwarder *forwarder,
                                    const struct hs_segment_key *key,
                                    uint64_t agent_id, uint64_t now);

/* Agent AGENT_ID does not know whether its upstream owns the flow: the
   upstream's reaction to a segment of the flow will show.  */
void hs_forwarder_handle_unknown (struct hs_forwarder *forwarder,
                                  const struct hs_segment_key *key,
                                  uint64_t agent_id, uint64_t now);

/* The flow's directory has OWNER_ID recorded as the owner.  */
void hs_forwarder_handle_recorded (struct hs_forwarder *forwarder,
                                   const struct hs_segment_key *key,
                                   uint64_t owner_id, uint64_t now);

/* Retries lookup queries and removes idle flows.  */
void hs_forwarder_tick (struct hs_forwarder *forwarder, uint64_t now);
size_t hs_forwarder_flows_len (const struct hs_forwarder *forwarder);

/* Directory: records the owners of the flows of which this agent is the
   directory agent.  */

#define HS_DIRECTORY_ENTRIES_MAX 16384

struct hs_directory;

/* LIFETIME_MS: longest lifetime of a flow.  */
struct hs_directory *hs_directory_create (void *parent, uint64_t lifetime_ms);
void hs_directory_destroy (struct hs_directory *directory);

/* Records the agent OWNER_ID as the owner of a flow.  A full directory drops
   the entry that has gone longest without an update.  */
void hs_directory_put (struct hs_directory *directory,
                       const struct hs_segment_key *key, uint64_t owner_id,
                       uint64_t now);

/* Returns the id of the owner, or 0 if none is recorded.  */
uint64_t hs_directory_find (const struct hs_directory *directory,
                            const struct hs_segment_key *key);

/* Removes the entries that have gone without an update for longer than any
   flow lasts.  */
void hs_directory_expire (struct hs_directory *directory, uint64_t now);

/* Warm-up: limits the new flows of a cold upstream by a sliding window.  At a
   rate of one flow a second or more, no 1,050 ms have more flows than the rate
   has in a second, rounded down; at a lower rate, two flows are as much
   further apart.  Times are in ms of a monotonic clock.  */

struct hs_warm_up;

struct hs_warm_up *hs_warm_up_create (void *parent);
void hs_warm_up_destroy (struct hs_warm_up *warm_up);

/* Counts the window as full at NOW, whatever flows it had before.  */
void hs_warm_up_fill (struct hs_warm_up *warm_up, uint64_t now);

/* Counts a new flow, whether the limit applied to it or not.  */
void hs_warm_up_count_flow (struct hs_warm_up *warm_up, uint64_t now);

/* Returns the number of new flows that the window has room for at NOW, or
   HS_COLD_ROOM_UNLIMITED.  RATE: new flows in 1,000 s; 0: no limit.  */
uint32_t hs_warm_up_room (const struct hs_warm_up *warm_up, uint32_t rate,
                          uint64_t now);

/* SYN queue: which of the SYNs that an agent holds is released next, and how
   many are held.  */

#define HS_HELD_SYNS_MAX 128

/* A SYN that is held; embedded in the caller's own struct, which the caller
   owns.  KEY and PRIORITY are set by the caller.  */
struct hs_held_syn
{
  struct hs_list link;
  struct hs_segment_key key;
  uint32_t priority;      /* 0 is the highest.  */
  uint64_t held_since;    /* ms  */
  uint64_t in_time_until; /* ms, until when its request can meet its latency
                             objective.  */
  uint64_t hold_until;    /* ms  */
};

struct hs_syn_queue;

struct hs_syn_queue *hs_syn_queue_create (void *parent);

/* The held SYNs stay with their owner.  */
void hs_syn_queue_destroy (struct hs_syn_queue *queue);
size_t hs_syn_queue_len (const struct hs_syn_queue *queue);

/* Returns how many more SYNs are to be held at an upstream with SLOTS (0: not
   known), where a request takes WORK_US, if a SYN is held for HOLD_MAX_MS at
   most.  WORK_US: 0 if not known.  */
uint32_t hs_syn_queue_room (struct hs_syn_queue *queue, uint32_t slots,
                            uint32_t work_us, uint32_t hold_max_ms,
                            uint64_t now);

/* Adds SYN, whose request can meet its latency objective for WAIT_MAX_MS and
   is to be refused after HOLD_MAX_MS.  */
void hs_syn_queue_hold (struct hs_syn_queue *queue, struct hs_held_syn *syn,
                        uint32_t wait_max_ms, uint32_t hold_max_ms,
                        uint64_t now);

/* Returns the held SYN of a flow, or NULL.  */
struct hs_held_syn *hs_syn_queue_find (const struct hs_syn_queue *queue,
                                       const struct hs_segment_key *key);

/* Returns the SYN to be released next, which stays held, or NULL.  Only if
   HAS_IDLE_SLOT, it may be one whose request will be late.  */
struct hs_held_syn *hs_syn_queue_next (const struct hs_syn_queue *queue,
                                       bool has_idle_slot, uint64_t now);

/* Removes a SYN and returns it: one that is to be refused by now, or NULL; the
   oldest one, or NULL.  */
struct hs_held_syn *hs_syn_queue_take_expired (struct hs_syn_queue *queue,
                                               uint64_t now);
struct hs_held_syn *hs_syn_queue_take_any (struct hs_syn_queue *queue);

/* Removes SYN: it was offered to the upstream, or for another reason.  */
void hs_syn_queue_release (struct hs_syn_queue *queue, struct hs_held_syn *syn,
                           uint64_t now);
void hs_syn_queue_remove (struct hs_syn_queue *queue, struct hs_held_syn *syn);

/* Cost model: the time that the requests of a route occupy a slot of an
   upstream, learned by the agent beside that upstream.  A route is known by
   its service address.  Both queries take constant time.  */

/* Routes of a model; the one whose latest sample is oldest is evicted.  */
#define HS_COST_ROUTES_MAX 64

/* Bounds of a sample, and of the mean that a load report can claim, us.  */
#define HS_WORK_MIN_US 250
#define HS_WORK_MAX_US 30000000

/* Work of a request as long as none has been answered, us.  */
#define HS_WORK_DEFAULT_US 40000

struct hs_cost_model;

struct hs_cost_model *hs_cost_model_create (void *parent);
void hs_cost_model_destroy (struct hs_cost_model *model);

/* Records that a request of the route of ADDRESS has occupied a slot for
   WORK_US microseconds, which is brought within the bounds above.  */
void hs_cost_model_add_sample (struct hs_cost_model *model,
                               const struct hs_addr *address,
                               uint64_t work_us);

/* Returns the time in microseconds that a new request of the route of ADDRESS
   is expected to occupy a slot.  For a route without samples it is the mean
   over all routes, and HS_WORK_DEFAULT_US if there are no samples at all.  */
uint32_t hs_cost_model_expected_us (const struct hs_cost_model *model,
                                    const struct hs_addr *address);

/* Returns the further time in microseconds that a request of the route of
   ADDRESS is expected to occupy its slot if it has done so for ELAPSED_US
   microseconds.  */
uint32_t hs_cost_model_remaining_us (const struct hs_cost_model *model,
                                     const struct hs_addr *address,
                                     uint64_t elapsed_us);

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
  HS_UPSTREAM_LEFT /* It has announced that it stops.  */
};

struct hs_heartbeat
{
  char id[HS_NAME_SIZE]; /* Id of the upstream's process.  */
  char service_name[HS_NAME_SIZE];
  struct hs_addr address;
  enum hs_upstream_state state;
  uint32_t slots;   /* Requests that the upstream runs at once.  */
  uint32_t cold_ms; /* Time left until the upstream is warm; 0: it is warm.  */
  uint64_t started_at; /* Wall clock of its start, ms; a later value is a
                          later incarnation.  */
  int64_t age_ms;      /* Time from its start to the arrival of the heartbeat,
                          by the clock of the host; below 0: the clock was set
                          back.  */
  uint64_t seq;        /* Increases within the incarnation.  */
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
  bool is_new_flow; /* TO_UPSTREAM: the segment is a SYN.  TO_CALLER: it is the
                       first that shows that the upstream owns the flow.  */
  enum hs_lookup_answer lookup_answer; /* Answer to send to ENTRY.  */
  struct hs_addr entry; /* REFUSE, if the upstream returned the SYN: the entry
                           that sent it; not set in other refusals.  Else the
                           receiver of the lookup answer.  */
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
   copied; CTX is passed to the callbacks and not released.  */
struct hs_sidecar *hs_sidecar_create (void *parent, const char *service,
                                      const struct hs_addr *upstream,
                                      uint64_t heartbeat_ms,
                                      uint64_t started_at,
                                      const struct hs_sidecar_ops *ops,
                                      void *ctx);
void hs_sidecar_destroy (struct hs_sidecar *sidecar);

/* LIFETIME_MS: longest lifetime of a flow, HS_FLOW_LIFETIME_DEFAULT_MS before
   the first call.  */
void hs_sidecar_set_flow_lifetime (struct hs_sidecar *sidecar,
                                   uint64_t lifetime_ms);

/* FLOW_IDLE_MS is that of the configuration of GENERATION; 0: no limit.
   Earlier generations than that of the previous call are ignored.  A flow that
   is silent for longer becomes dormant: it is not counted as load, and stays
   open until its longest lifetime has passed.  */
void hs_sidecar_set_flow_idle (struct hs_sidecar *sidecar, uint64_t generation,
                               uint32_t flow_idle_ms);

/* Returns the idle timeout in force here; 0: none, or not known yet.  */
uint32_t hs_sidecar_flow_idle_ms (const struct hs_sidecar *sidecar);
uint32_t hs_sidecar_dormant_flows (const struct hs_sidecar *sidecar);

/* Returns false and sets HS_ERROR_INVALID if HEARTBEAT has another service or
   address than this upstream, or a state other than ready and draining.  One
   that is not newer than the latest is ignored, and true is returned.  One of
   another incarnation is recorded as a claim, which takes effect once the
   present incarnation no longer shows that it runs.  Then the open flows that
   cannot be of that incarnation are lost.  */
bool hs_sidecar_handle_heartbeat (struct hs_sidecar *sidecar,
                                  const struct hs_heartbeat *heartbeat,
                                  uint64_t now, GError **error);

/* Returns whether the incarnation that started at STARTED_AT is claimed and
   not confirmed.  */
bool hs_sidecar_has_claim (const struct hs_sidecar *sidecar,
                           uint64_t started_at);

/* Records that the upstream stops.  Ignored if ID is not that of the last
   heartbeat, or STARTED_AT, unless 0, is another start of the upstream.  */
void hs_sidecar_handle_upstream_leave (struct hs_sidecar *sidecar,
                                       const char *id, uint64_t started_at);

/* Refuses new flows from now on, since the agent stops.  Open flows
   continue.  */
void hs_sidecar_drain (struct hs_sidecar *sidecar);

/* EVACUATED: the availability zone of the upstream is being evacuated, and
   every new flow is refused.  Open flows continue.  After the end of an
   evacuation the upstream counts as cold until a heartbeat that arrives 100 ms
   later or more says whether it is.  A call that changes nothing is
   ignored.  */
void hs_sidecar_set_evacuated (struct hs_sidecar *sidecar, bool evacuated,
                               uint64_t now);

/* Decides on SEGMENT of a caller, which ENTRY has sent.  SERVICE_ID: the
   service that the entry names; a SYN for another service is refused.
   WAIT_MAX_MS: a SYN is refused if its request would wait longer for a slot;
   0: no limit.  COLD_FLOW_RATE: while the upstream is cold, a SYN beyond this
   number of new flows in 1,000 s is refused; 0: no limit.  OWNER_ONLY: ENTRY
   looks for the owner of the flow, and the segment is dropped if this upstream
   is known not to own it.  The lookup answer is set in this decision or, if
   only the upstream's reply can show whether it owns the flow, in the decision
   on that reply.  */
struct hs_sidecar_decision hs_sidecar_handle_entry_segment (
    struct hs_sidecar *sidecar, const struct hs_segment *segment,
    const struct hs_addr *entry, uint64_t service_id, uint32_t wait_max_ms,
    uint32_t cold_flow_rate, bool owner_only, uint64_t now);

/* Returns whether the upstream owns the flow of SEGMENT, which a caller sent,
   without delivering the segment or changing any state.  HS_LOOKUP_UNKNOWN:
   only the upstream's reply to a segment of the flow can show it.  */
enum hs_lookup_answer hs_sidecar_lookup (const struct hs_sidecar *sidecar,
                                         const struct hs_segment *segment,
                                         uint64_t now);

/* Decides on SEGMENT of the upstream: its own or, with HS_SEGMENT_RETURNED,
   one of a caller that it returns.  */
struct hs_sidecar_decision
hs_sidecar_handle_upstream_segment (struct hs_sidecar *sidecar,
                                    const struct hs_segment *segment,
                                    uint64_t now);

/* Removes flows that have outlived their lifetime, and applies the idle
   timeout and the timeouts of the upstream.  */
void hs_sidecar_tick (struct hs_sidecar *sidecar, uint64_t now);

/* Returns whether new flows are accepted if there is room.  */
bool hs_sidecar_accepts_flows (const struct hs_sidecar *sidecar);

/* Returns whether the upstream has a slot that neither a request nor one that
   is about to come takes, or no more than one request in front of it: else the
   slot would be idle while the caller completes its handshake.  */
bool hs_sidecar_has_idle_slot (struct hs_sidecar *sidecar, uint64_t now);
uint32_t hs_sidecar_slots (const struct hs_sidecar *sidecar);

/* Returns the mean time of a request of any route in a slot, in microseconds,
   0 before the first has been answered.  */
uint32_t hs_sidecar_learned_work_us (const struct hs_sidecar *sidecar);

/* Sets the fields of REPORT that describe the upstream and its service.  The
   agent's id, incarnation, address, zone and the sequence number are left to
   the agent.  The room of a cold upstream is that by the rate of the latest
   SYN, and not limited before the first one.  */
void hs_sidecar_fill_load_report (const struct hs_sidecar *sidecar,
                                  struct hs_load_report *report, uint64_t now);

/* Replica: one host of a control group.  The group replicates a log of
   commands by the Raft protocol: an entry is committed once a majority has it
   on disk.  Candidates hold a pre-vote before an election, a leader that has
   lost contact with a majority steps down, members are added and removed one
   at a time, and a read is confirmed by a round of messages to a majority, so
   that it does not depend on clocks.

   A replica does no input or output and starts no thread: it is driven by
   calls, and acts through the callbacks of struct hs_replica_ops.  All calls
   on one replica must come from the same thread.  Times are in ms, of a
   monotonic clock.  */

#define HS_CONTROL_MEMBERS_MAX 15 /* Voting hosts.  */
#define HS_COMMAND_SIZE_MAX 56000 /* Bytes: an entry fits in a datagram.  */
#define HS_APPEND_ENTRIES_MAX 16  /* Entries in one message.  */
#define HS_REPLICA_TICK_MS 50

struct hs_control_host
{
  uint64_t id; /* Stored on the host's disk; a host whose disk is empty gets a
                  new one.  */
  struct hs_addr inner_address; /* Address for messages between hosts.  */
  struct hs_addr api_address;   /* Address for operators.  */
};

/* The voting hosts of a control group.  */
struct hs_control_members
{
  size_t len;
  struct hs_control_host hosts[HS_CONTROL_MEMBERS_MAX];
};

enum hs_replica_entry_kind
{
  HS_REPLICA_ENTRY_NOOP,    /* Appended by each new leader.  */
  HS_REPLICA_ENTRY_COMMAND, /* Passed to hs_replica_propose.  */
  HS_REPLICA_ENTRY_MEMBERS  /* The members from this entry on.  */
};

struct hs_replica_log_entry
{
  struct hs_list link;
  uint64_t index; /* From 1.  */
  uint64_t term;
  enum hs_replica_entry_kind kind;
  struct hs_control_members members; /* MEMBERS  */
  size_t len;                        /* COMMAND: bytes of data.  */
  uint8_t *data;                     /* COMMAND  */
};

/* The state after all log entries up to INDEX; replaces these entries.  */
struct hs_replica_snapshot
{
  uint64_t index;
  uint64_t term; /* Term of the entry at INDEX.  */
  struct hs_control_members members;
  size_t len;    /* Bytes of data.  */
  uint8_t *data; /* As hs_replica_ops.save_snapshot returned it.  */
};

enum hs_replica_message_type
{
  HS_REPLICA_REQUEST_VOTE = 1,
  HS_REPLICA_VOTE_REPLY,
  HS_REPLICA_APPEND,           /* New entries, or a heartbeat without any.  */
  HS_REPLICA_APPEND_REPLY,     /* To APPEND and INSTALL_SNAPSHOT.  */
  HS_REPLICA_INSTALL_SNAPSHOT, /* To a host that needs entries which the
                                  leader has compacted.  */
  HS_REPLICA_JOIN,             /* From a host that is not a member.  */
  HS_REPLICA_START_ELECTION    /* From a leader that transfers leadership.  */
};

struct hs_replica_message
{
  enum hs_replica_message_type type;
  uint64_t to; /* Host id; 0: any host at the address.  */
  struct hs_control_host from;
  uint64_t term;
  uint64_t index;        /* REQUEST_VOTE: of the last entry in the sender's
                            log.  APPEND: of the entry before the first one
                            sent.  APPEND_REPLY: of the last entry on which the
                            logs are known to agree; if success is false, of
                            the entry after which the leader is to resume.  */
  uint64_t log_term;     /* REQUEST_VOTE, APPEND: of the entry at index.  */
  uint64_t commit_index; /* APPEND, INSTALL_SNAPSHOT  */
  uint64_t request_tag;  /* Matches a reply to its request.  APPEND,
                            INSTALL_SNAPSHOT and their APPEND_REPLY: the read
                            round.  VOTE_REPLY: the requested term.  */
  bool pre_vote;         /* REQUEST_VOTE, VOTE_REPLY: a vote without effect
                            on the term, before the real one.  */
  bool success; /* VOTE_REPLY: the vote is granted.  APPEND_REPLY: the logs
                   agree up to index.  */
  size_t entries_len; /* APPEND  */
  const struct hs_replica_log_entry *entries[HS_APPEND_ENTRIES_MAX];
  const struct hs_replica_snapshot *snapshot; /* INSTALL_SNAPSHOT  */
};

/* Records that a replica writes to disk; to restore it, they are loaded in
   the order in which they were written.  */
enum hs_replica_record_type
{
  HS_REPLICA_RECORD_HOST_ID = 1,
  HS_REPLICA_RECORD_TERM,     /* Current term, and the vote in it.  */
  HS_REPLICA_RECORD_ENTRY,    /* Replaces all entries from its index on.  */
  HS_REPLICA_RECORD_SNAPSHOT, /* Replaces the whole log.  */
  HS_REPLICA_RECORD_COMMIT    /* Commit index at the time of writing.  */
};

struct hs_replica_record
{
  enum hs_replica_record_type type;
  uint64_t value;     /* HOST_ID: the id.  COMMIT: the index.  */
  uint64_t term;      /* TERM  */
  uint64_t voted_for; /* TERM: host id; 0: none.  */
  const struct hs_replica_log_entry *entry;   /* ENTRY  */
  const struct hs_replica_snapshot *snapshot; /* SNAPSHOT  */
};

struct hs_replica;

/* Callbacks of a replica, all with the context pointer of hs_replica_create.
   What they are passed is valid during the call only.  */
struct hs_replica_ops
{
  /* Sends MESSAGE to TO.  It may be lost, delayed or duplicated.  */
  void (*send) (void *ctx, const struct hs_addr *to,
                const struct hs_replica_message *message);

  /* Adds RECORD to the records that the next call of sync writes.  */
  void (*write_record) (void *ctx, const struct hs_replica_record *record);

  /* Starts to write all records added since the last call to disk, without
     waiting.  When they are durable, hs_replica_synced must be called with
     SEQ.  */
  void (*sync) (void *ctx, uint64_t seq);

  /* Applies the committed ENTRY, which is of kind COMMAND, to the state.  */
  void (*apply) (void *ctx, const struct hs_replica_log_entry *entry);

  /* Replaces the state by a snapshot's data.  */
  void (*restore_snapshot) (void *ctx, const uint8_t *data, size_t len);

  /* Returns the state as data for restore_snapshot, *LEN bytes, allocated
     under PARENT; the replica owns it.  */
  uint8_t *(*save_snapshot) (void *ctx, void *parent, size_t *len);

  /* The role, the known leader or the members may have changed.  */
  void (*state_changed) (void *ctx);
};

/* SELF and OPS are copied.  SEED spreads the election timeouts: it should
   differ between hosts.  */
struct hs_replica *
hs_replica_create (void *parent, const struct hs_control_host *self,
                   uint64_t seed, const struct hs_replica_ops *ops, void *ctx);
void hs_replica_destroy (struct hs_replica *replica);

/* Loads a record from disk; it is copied.  Before hs_replica_start, either all
   records on disk must be loaded, or hs_replica_bootstrap be called to make
   the host a member of a new group.  If neither is done, the host asks its
   seeds to let it join their group.  */
void hs_replica_load_record (struct hs_replica *replica,
                             const struct hs_replica_record *record);

/* ID becomes the id of this host.  Every first member is to be bootstrapped
   with the same MEMBERS.  */
void hs_replica_bootstrap (struct hs_replica *replica, uint64_t id,
                           const struct hs_control_members *members);

/* Restores the state from the loaded records: calls restore_snapshot for the
   snapshot, if it has data, and apply for each later command that is known to
   be committed.  */
void hs_replica_start (struct hs_replica *replica, uint64_t now);

/* Call this every HS_REPLICA_TICK_MS.  */
void hs_replica_tick (struct hs_replica *replica, uint64_t now);

/* Handles MESSAGE of another host, which is not kept after the call.  */
void hs_replica_receive (struct hs_replica *replica,
                         const struct hs_replica_message *message,
                         uint64_t now);

/* Notifies the replica that all records added before the call of sync with
   SEQ are durable.  */
void hs_replica_synced (struct hs_replica *replica, uint64_t seq,
                        uint64_t now);

/* While the disk is not usable, the replica is a follower that ignores ticks
   and messages, because its votes and entries would not be durable.  */
void hs_replica_set_disk_usable (struct hs_replica *replica, bool usable);

/* Writes the whole state as new records, to replace all records on disk, and
   calls sync.  hs_replica_start does so if no record was loaded.  */
void hs_replica_rewrite (struct hs_replica *replica);

/* Sets the addresses of the hosts that a host without a group asks to let it
   join; addresses beyond HS_CONTROL_MEMBERS_MAX are ignored.  */
void hs_replica_set_seeds (struct hs_replica *replica,
                           const struct hs_addr *seeds, size_t len);

/* LOSSES: hosts that may be lost at once, with their disks, without the loss
   of a committed entry; 1 before the first call.  The group aims at a size
   that tolerates them, up to HS_CONTROL_MEMBERS_MAX hosts.  */
void hs_replica_set_tolerated_losses (struct hs_replica *replica,
                                      size_t losses);

/* Appends a command of LEN bytes, which is copied.  Returns the index of its
   entry, or 0 if this host is not the leader or LEN is above
   HS_COMMAND_SIZE_MAX.  The command is committed when the applied index
   reaches that index while this host is the leader of the same term.  */
uint64_t hs_replica_propose (struct hs_replica *replica, const uint8_t *data,
                             size_t len, uint64_t now);

/* Begins a read round and returns its number, or 0 if this host is not the
   leader.  */
uint64_t hs_replica_begin_read (struct hs_replica *replica, uint64_t now);

/* Returns the latest read round that a majority has answered; 0: none.  A
   read of that round or an earlier one sees all that was committed before it
   began.  */
uint64_t hs_replica_confirmed_round (const struct hs_replica *replica);

/* If this host is the leader, asks the member whose log is the most up to
   date to start an election at once.  */
void hs_replica_transfer_leadership (struct hs_replica *replica, uint64_t now);
bool hs_replica_is_leader (const struct hs_replica *replica);

/* Stores the known leader in LEADER.  Returns false, and leaves LEADER as it
   is, if none is known.  */
bool hs_replica_leader (const struct hs_replica *replica,
                        struct hs_control_host *leader);
uint64_t hs_replica_term (const struct hs_replica *replica);
uint64_t hs_replica_last_index (const struct hs_replica *replica);
uint64_t hs_replica_applied_index (const struct hs_replica *replica);

/* Returns the members according to the latest MEMBERS entry in the log,
   committed or not.  Owned by the replica, and valid until the next call that
   changes it.  */
const struct hs_control_members *
hs_replica_members (const struct hs_replica *replica);

/* Fills HOSTS with the members, and on the leader with the hosts that follow
   its log without a vote.  Returns how many there are, at most MAX.  */
size_t hs_replica_list_hosts (const struct hs_replica *replica,
                              struct hs_control_host *hosts, size_t max);

#endif /* HIBISCUSSPAN_H */
