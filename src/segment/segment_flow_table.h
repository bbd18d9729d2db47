/* segment_flow_table.h -- a bounded table of segment flows in the order of
   their last activity.

   The user embeds struct hs_segment_flow as the first field of a struct of its
   own; the table allocates and releases these structs.  */

#ifndef HS_SEGMENT_FLOW_TABLE_H
#define HS_SEGMENT_FLOW_TABLE_H

#include "hibiscusspan.h"

struct hs_segment_flow
{
  struct hs_table_node node;
  struct hs_list lru_link;
  struct hs_segment_key key;
  uint64_t last_active_at; /* ms  */
};

struct hs_segment_flow_table;

typedef void hs_segment_flow_callback (void *ctx,
                                       struct hs_segment_flow *flow);

/* FLOW_SIZE: bytes of the user's struct.  ON_REMOVE, which may be NULL, is
   called with CTX before a flow is released; it is not called by
   hs_segment_flow_table_destroy.  */
struct hs_segment_flow_table *
hs_segment_flow_table_create (void *parent, size_t flow_size, size_t flows_max,
                              hs_segment_flow_callback *on_remove, void *ctx);
void hs_segment_flow_table_destroy (struct hs_segment_flow_table *table);

/* Returns the user's struct, owned by the table, or NULL.  */
void *hs_segment_flow_table_find (const struct hs_segment_flow_table *table,
                                  const struct hs_segment_key *key);

/* Adds a flow, which must not be in the table, and returns the user's struct,
   which the table owns and which is zeroed except for the key and
   last_active_at.  A full table removes the flow that has been idle
   longest.  */
void *hs_segment_flow_table_add (struct hs_segment_flow_table *table,
                                 const struct hs_segment_key *key,
                                 uint64_t now);

/* Marks FLOW as active at NOW.  */
void hs_segment_flow_table_touch (struct hs_segment_flow_table *table,
                                  struct hs_segment_flow *flow, uint64_t now);
void hs_segment_flow_table_remove (struct hs_segment_flow_table *table,
                                   struct hs_segment_flow *flow);

/* Removes the flows that have been idle for longer than IDLE_MS.  */
void hs_segment_flow_table_expire (struct hs_segment_flow_table *table,
                                   uint64_t idle_ms, uint64_t now);

/* Calls CALLBACK for each flow that has been idle for longer than IDLE_MS, the
   one that has been idle longest first.  CALLBACK must not remove or touch
   flows.  */
void hs_segment_flow_table_foreach_idle (struct hs_segment_flow_table *table,
                                         uint64_t idle_ms, uint64_t now,
                                         hs_segment_flow_callback *callback,
                                         void *ctx);

/* Calls CALLBACK for each flow, the one that has been idle longest first.
   CALLBACK must not remove flows.  */
void hs_segment_flow_table_foreach (struct hs_segment_flow_table *table,
                                    hs_segment_flow_callback *callback,
                                    void *ctx);
void hs_segment_flow_table_clear (struct hs_segment_flow_table *table);
size_t hs_segment_flow_table_len (const struct hs_segment_flow_table *table);

#endif /* HS_SEGMENT_FLOW_TABLE_H */
