/* group_api.h -- the operators' HTTP API of a control host of a group.

   The HTTP server's thread decodes each request, in the native format or
   that of the adapter, into a call and passes it to a callback.  The decision
   worker answers the call with one of the hs_group_call_... functions, each
   of which sends the response and frees the call.  */

#ifndef HS_CONTROL_GROUP_API_H
#define HS_CONTROL_GROUP_API_H

#include "adapter/adapter.h"
#include "daemon/admin.h"

/* A decoded request.  It is passed between threads through a ring, and so
   has no talloc parent.  */
struct hs_group_call
{
  struct hs_list link;
  struct hs_http_request *request;
  enum hs_operation operation;
  struct hs_configuration *configuration; /* REPLACE_CONFIGURATION: valid; a
                                             talloc child of the call.  */
  struct hs_evacuation_order order;       /* START_ and FINISH_EVACUATION  */
  unsigned int order_status; /* The same: HTTP status of its outcome; 0:
                                not applied yet.  */
  char *order_error;         /* The same: why it was refused, a talloc
                                child of the call.  */
  uint64_t received_at;      /* ms, monotonic clock  */
  uint64_t log_index;  /* Changes: index up to which the log must be applied
                          before the answer.  */
  uint64_t term;       /* Term in which this host, as the leader, received
                          the call.  */
  uint64_t read_round; /* Reads: read round that must be confirmed before the
                          answer.  */
};

/* Called on the HTTP server's thread.  Returns true if it took ownership of
   CALL.  If it returns false, the API answers CALL with status 503.  */
typedef bool hs_group_call_fn (void *ctx, struct hs_group_call *call);

struct hs_group_api;

/* Serves the API, /healthz and /metrics on ADDRESS.  /healthz reports the
   daemon as starting until hs_group_api_set_unhealthy is called.  Free the
   result with hs_group_api_destroy.  Returns NULL and sets HS_ERROR_SYSTEM if
   ADDRESS cannot be served.  */
struct hs_group_api *hs_group_api_create (const struct hs_addr *address,
                                          const struct hs_adapter *adapter,
                                          struct hs_metrics *metrics,
                                          hs_group_call_fn *fn, void *ctx,
                                          GError **error);

/* Returns once no call is being handed over; none follows.  */
void hs_group_api_close (struct hs_group_api *api);

/* Every call must have been answered.  */
void hs_group_api_destroy (struct hs_group_api *api);

/* Sets the reason that /healthz reports, a string literal.  NULL: the daemon
   is healthy.  */
void hs_group_api_set_unhealthy (struct hs_group_api *api, const char *reason);

/* As hs_admin_set_draining.  */
void hs_group_api_set_draining (struct hs_group_api *api);

/* Answers CALL with STATUS and a JSON body of MESSAGE and of OUTCOME, which
   says whether the change ran.  */
void hs_group_call_answer (struct hs_group_call *call, unsigned int status,
                           enum hs_outcome outcome, const char *message);

/* Answers CALL with status 200 and BODY, a JSON text.  */
void hs_group_call_answer_json (struct hs_group_call *call, const char *body);

/* Redirects CALL, with status 307, to the same path of the control host at
   the API address TO.  */
void hs_group_call_redirect (struct hs_group_call *call,
                             const struct hs_addr *to);

#endif /* HS_CONTROL_GROUP_API_H */
