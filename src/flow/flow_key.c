/* flow_key.c -- hashes of flow keys and rendezvous scores of agents.  */

#include "hibiscusspan.h"

#include <string.h>

/* These functions run for every packet, so xxHash is inlined from its
   header.  */
#define XXH_INLINE_ALL
#include <xxhash.h>

/* Types.  */

#define KEY_BYTES (sizeof (uint32_t) + 16 + sizeof (uint16_t))

/* Public definitions.  */

uint64_t
hs_flow_key_hash (const struct hs_flow_key *key)
{
  uint8_t bytes[KEY_BYTES];

  memcpy (bytes, &key->service_id, sizeof key->service_id);
  memcpy (bytes + sizeof key->service_id, key->caller.ip, 16);
  memcpy (bytes + sizeof key->service_id + 16, &key->caller.port,
          sizeof key->caller.port);
  return XXH3_64bits (bytes, sizeof bytes);
}

bool
hs_flow_key_equal (const struct hs_flow_key *a, const struct hs_flow_key *b)
{
  return a->service_id == b->service_id
         && hs_addr_equal (&a->caller, &b->caller);
}

uint64_t
hs_rendezvous_score (uint64_t flow_hash, uint64_t agent_id)
{
  return XXH3_64bits_withSeed (&agent_id, sizeof agent_id, flow_hash);
}
