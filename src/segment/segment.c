/* segment.c -- segments and the keys of their flows.  */

#include "hibiscusspan.h"

#include <string.h>
#include <xxhash.h>

/* Types.  */

/* Time by which a flow is kept longer than its idle timeout or lifetime: a
   host sees its last segment earlier than the ends do, and an entry sees only
   the segments of the caller.  */
#define FLOW_EXPIRY_MARGIN_MS 2000

/* Types.  */

/* Callers send copies of a SYN this long after the first, and number them.  */
static const uint64_t syn_ages_ms[] = { 0, 200, 600 };

/* Public definitions.  */

uint64_t
hs_segment_syn_age_ms (const struct hs_segment *syn)
{
  size_t last = G_N_ELEMENTS (syn_ages_ms) - 1;

  return syn_ages_ms[syn->ack < last ? syn->ack : last];
}

uint64_t
hs_segment_key_hash (const struct hs_segment_key *key)
{
  uint8_t bytes[2 * (sizeof key->caller.ip + sizeof key->caller.port)];
  uint8_t *end = bytes;

  memcpy (end, key->caller.ip, sizeof key->caller.ip);
  end += sizeof key->caller.ip;
  memcpy (end, &key->caller.port, sizeof key->caller.port);
  end += sizeof key->caller.port;
  memcpy (end, key->address.ip, sizeof key->address.ip);
  end += sizeof key->address.ip;
  memcpy (end, &key->address.port, sizeof key->address.port);
  return XXH3_64bits (bytes, sizeof bytes);
}

struct hs_segment_key
hs_segment_key (const struct hs_segment *segment, bool from_caller)
{
  if (from_caller)
    return (struct hs_segment_key){ segment->from, segment->to };
  return (struct hs_segment_key){ segment->to, segment->from };
}

bool
hs_segment_is_syn (const struct hs_segment *segment)
{
  return (segment->flags & HS_SEGMENT_SYN) != 0
         && (segment->flags & (HS_SEGMENT_ACK | HS_SEGMENT_RST)) == 0;
}

uint64_t
hs_flow_expiry_ms (uint32_t flow_idle_ms, uint64_t lifetime_ms)
{
  uint64_t idle_ms = flow_idle_ms != 0 && flow_idle_ms < lifetime_ms
                         ? flow_idle_ms
                         : lifetime_ms;

  return idle_ms + FLOW_EXPIRY_MARGIN_MS;
}
