/* group_api.h -- the operators' calls to a control host of a group.  */

#ifndef HS_CONTROL_GROUP_API_H
#define HS_CONTROL_GROUP_API_H

#include "adapter/adapter.h"
#include "daemon/admin.h"

/* A call to be decided on; answered once, which releases it.  */
struct hs_group_call
{
  struct hs_list link;
  struct hs_http_request *request;
  enum hs_operation operation;            /* REPLACE, SHOW or CLUSTER  */
  struct hs_configuration *configuration; /* REPLACE: valid; a child.  */
  uint64_t received_at;                   /* ms  */
  uint64_t log_index;  /* REPLACE: of the log, to be applied.  */
  uint64_t term;       /* Of the leader that took it.  */
  uint64_t read_round; /* SHOW: to be confirmed.  */
};

/* Called by the server's thread.  False: too many calls wait.  */
typedef bool hs_group_call_fn (void *ctx, struct hs_group_call *call);

struct hs_group_api;

struct hs_group_api *hs_group_api_create (const struct hs_addr *address,
                                          const struct hs_adapter *dialect,
                                          struct hs_counters *counters,
                                          hs_group_call_fn *fn, void *ctx,
                                          GError **error);
void hs_group_api_destroy (struct hs_group_api *api);
void hs_group_api_set_unhealthy (struct hs_group_api *api, const char *reason);
void hs_group_call_answer (struct hs_group_call *call, unsigned int status,
                           enum hs_outcome outcome,
                           const char *message); /* Whether a change runs.  */
void hs_group_call_answer_json (struct hs_group_call *call, const char *body);
void
hs_group_call_redirect (struct hs_group_call *call,
                        const struct hs_addr *to); /* The same call there.  */

#endif /* HS_CONTROL_GROUP_API_H */
