/* held_syns.h -- the SYNs that an agent holds, with their bytes, until its
   upstream has room.  */

#ifndef HS_AGENT_HELD_SYNS_H
#define HS_AGENT_HELD_SYNS_H

#include "hibiscusspan.h"

#define HS_HELD_SYN_SIZE_MAX                                                  \
  128 /* Bytes of a SYN; longer ones are not held.  */

struct hs_held_syns;

/* What an entry says about a SYN.  */
struct hs_syn_terms
{
  struct hs_addr entry;
  uint64_t service_id;
  uint32_t wait_max_ms; /* As in struct hs_inner_segment_header.  */
  uint32_t hold_max_ms;
  uint32_t priority;
  uint32_t cold_flow_rate;
};

/* A SYN that is no longer held.  */
struct hs_released_syn
{
  struct hs_segment segment;
  struct hs_syn_terms terms;
  const uint8_t *bytes; /* Valid during the call only.  */
  size_t len;
  uint64_t held_ms;
};

struct hs_held_syns_ops
{
  /* DECISION: TO_UPSTREAM, or REFUSE with its entry set.  */
  void (*released) (void *ctx, const struct hs_released_syn *syn,
                    const struct hs_sidecar_decision *decision);
};

/* SIDECAR is borrowed and must outlive the result, a talloc child of PARENT.
   OPS is copied, and CTX is passed to its callbacks.  */
struct hs_held_syns *hs_held_syns_create (void *parent,
                                          struct hs_sidecar *sidecar,
                                          const struct hs_held_syns_ops *ops,
                                          void *ctx);
void hs_held_syns_destroy (struct hs_held_syns *held);

/* Call this for each SYN with the sidecar's DECISION on it.  Returns whether
   the SYN, LEN bytes at BYTES, is held, so that DECISION is not to be carried
   out.  */
bool hs_held_syns_filter (struct hs_held_syns *held,
                          const struct hs_segment *segment,
                          const uint8_t *bytes, size_t len,
                          const struct hs_syn_terms *terms,
                          const struct hs_sidecar_decision *decision,
                          uint64_t now);

/* Releases what the upstream has room for.  Call it when a response has freed
   a slot.  */
void hs_held_syns_release (struct hs_held_syns *held, uint64_t now);

/* The same, and refuses the SYNs that have been held for long enough, or all
   if the upstream accepts none.  */
void hs_held_syns_tick (struct hs_held_syns *held, uint64_t now);

size_t hs_held_syns_len (const struct hs_held_syns *held);

/* Returns how many more SYNs would be held.  */
uint32_t hs_held_syns_room (struct hs_held_syns *held, uint64_t now);

#endif /* HS_AGENT_HELD_SYNS_H */
