/* flow_table.h -- a bounded table of segment flows, oldest activity first.

   A flow is the first field of a larger struct of the user's.  */

#ifndef HS_SEGMENT_FLOW_TABLE_H
#define HS_SEGMENT_FLOW_TABLE_H

#include "hibiscusspan.h"

struct hs_segment_flow
{
  struct hs_table_node node;
  struct hs_list lru_link; /* Oldest activity first.  */
  struct hs_segment_key key;
  uint64_t last_active_at; /* ms of the last segment.  */
};

struct hs_flow_table;

typedef void hs_flow_callback (void *ctx, struct hs_segment_flow *flow);

/* SIZE: bytes of the user's struct.  GONE, which may be NULL, is called
   before a flow is released.  */
struct hs_flow_table *hs_flow_table_create (void *parent, size_t size,
                                            size_t max, hs_flow_callback *gone,
                                            void *ctx);
void hs_flow_table_destroy (struct hs_flow_table *table);
void *hs_flow_table_find (const struct hs_flow_table *table,
                          const struct hs_segment_key *key); /* Or NULL.  */
void *hs_flow_table_add (struct hs_flow_table *table,
                         const struct hs_segment_key *key,
                         uint64_t now); /* A full table gives up the flow that
                                           has been idle longest.  */
void hs_flow_table_touch (struct hs_flow_table *table,
                          struct hs_segment_flow *flow, uint64_t now);
void hs_flow_table_remove (struct hs_flow_table *table,
                           struct hs_segment_flow *flow);
void hs_flow_table_expire (struct hs_flow_table *table, uint64_t idle_ms,
                           uint64_t now);
void hs_flow_table_each (struct hs_flow_table *table, hs_flow_callback *fn,
                         void *ctx); /* FN removes none.  */
void hs_flow_table_clear (struct hs_flow_table *table);
size_t hs_flow_table_len (const struct hs_flow_table *table);

#endif /* HS_SEGMENT_FLOW_TABLE_H */
