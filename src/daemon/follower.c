/* follower.c -- how an entry or an agent keeps up with the control group.  */

#include "daemon/follower.h"

#include <string.h>
#include <talloc.h>

/* Types.  */

/* Control hosts told in a round, at least, and rounds in which all are told:
   1.5 s, less than entries wait until they take their agents for known.  */
#define ASKED_A_ROUND 2
#define ROUNDS 3
#define ROUND_MS 500

/* The same, until what is needed to serve is known.  */
#define ASKED_AT_FIRST 3
#define FIRST_ROUND_MS 100

/* Parts asked for before the first of them has come.  */
#define FETCH_AHEAD 8

/* Life of an entry that no host lists any more: longer than a control host
   needs to hear of all entries after a start.  */
#define ENTRY_LIFE_MS 12000

/* Silence of the whole group that is told of.  */
#define LOST_MS 3000

#define CONTACTS_MAX (HS_SETTINGS_ADDRS_MAX + HS_INNER_ADDRS_MAX)
#define CONFIGURATION_BYTES_MAX 1048576 /* Of its encoded form.  */

struct entry_record
{
  struct hs_addr address;
  uint64_t last_listed_at; /* ms  */
  uint64_t entries_digest; /* Digest of the list that had it last.  */
};

/* A configuration on its way.  */
struct fetch
{
  struct hs_addr from;
  uint64_t version;        /* 0: none.  */
  uint64_t base_version;   /* Version whose changes come; 0: the whole.  */
  uint32_t total_len;      /* Bytes; 0: not known yet.  */
  uint32_t requested_len;  /* Up to that offset.  */
  uint32_t missing_chunks; /* Parts.  */
  uint8_t *bytes;
  bool *chunk_received; /* By part.  */
};

struct hs_follower
{
  struct hs_inner_heartbeat self;
  struct hs_follower_ops ops;
  void *ctx;
  size_t seeds_len;
  struct hs_addr seeds[HS_SETTINGS_ADDRS_MAX];
  struct hs_inner_addrs control_hosts; /* Learned.  */
  size_t next_contact;
  uint64_t next_round_at; /* ms  */
  uint64_t last_heard_at; /* ms of an answer; 0: never.  */
  bool group_lost;
  size_t entry_records_len;
  struct entry_record entry_records[HS_FOLLOWER_ENTRIES_MAX];
  struct hs_follower_entries entry_addrs; /* The same, as others want it.  */
  struct fetch fetch;
  bool needs_full; /* Changes were of no use.  */
};

/* Private functions.  */

static bool is_starting (const struct hs_follower *follower);
static size_t count_asked (const struct hs_follower *follower);
static void ask_next (struct hs_follower *follower);
static size_t collect_contacts (const struct hs_follower *follower,
                                struct hs_addr *contacts);
static void take_status (struct hs_follower *follower,
                         const struct hs_addr *from,
                         const struct hs_inner_status *status, uint64_t now);
static void take_entries (struct hs_follower *follower,
                          const struct hs_inner_status *status, uint64_t now);
static bool note_entry (struct hs_follower *follower,
                        const struct hs_addr *address, uint64_t roster,
                        uint64_t now);
static size_t count_listed (const struct hs_follower *follower,
                            uint64_t roster);
static void expire_entries (struct hs_follower *follower, uint64_t now);
static void begin_fetch (struct hs_follower *follower,
                         const struct hs_addr *from, uint64_t version);
static void ask_parts (struct hs_follower *follower);
static void ask_part (struct hs_follower *follower, uint32_t offset);
static void ask_missing (struct hs_follower *follower);
static void take_part (struct hs_follower *follower,
                       const struct hs_addr *from,
                       const struct hs_inner_chunk *part);
static void end_fetch (struct hs_follower *follower);
static uint32_t parts_of (uint32_t total);

/* Public definitions.  */

struct hs_follower *
hs_follower_create (void *parent, const struct hs_inner_heartbeat *self,
                    const struct hs_follower_ops *ops, void *ctx)
{
  struct hs_follower *follower = talloc_zero (parent, struct hs_follower);

  follower->self = *self;
  follower->ops = *ops;
  follower->ctx = ctx;
  return follower;
}

void
hs_follower_destroy (struct hs_follower *follower)
{
  talloc_free (follower);
}

void
hs_follower_set_seeds (struct hs_follower *follower,
                       const struct hs_addrs *seeds, uint16_t port)
{
  follower->seeds_len = seeds->len;
  for (size_t i = 0; i < seeds->len; i++)
    {
      follower->seeds[i] = seeds->values[i];
      follower->seeds[i].port = port;
    }
}

void
hs_follower_receive (struct hs_follower *follower, const struct hs_addr *from,
                     const struct hs_inner *inner, uint64_t now)
{
  if (inner->type == HS_INNER_STATUS)
    take_status (follower, from, &inner->status, now);
  else if (inner->type == HS_INNER_CHUNK)
    take_part (follower, from, &inner->chunk);
}

void
hs_follower_tick (struct hs_follower *follower, uint64_t now)
{
  bool lost = follower->last_heard_at != 0
              && now - follower->last_heard_at > LOST_MS;

  if (now < follower->next_round_at)
    return;
  follower->next_round_at
      = now + (is_starting (follower) ? FIRST_ROUND_MS : ROUND_MS);
  for (size_t i = count_asked (follower); i > 0; i--)
    ask_next (follower);
  if (follower->fetch.version != 0)
    ask_missing (follower);
  /* While nobody answers, nobody can list an entry.  */
  if (!lost)
    expire_entries (follower, now);
  if (lost != follower->group_lost)
    {
      follower->group_lost = lost;
      follower->ops.group_lost_changed (follower->ctx, lost);
    }
}

void
hs_follower_set_version (struct hs_follower *follower, uint64_t version)
{
  follower->self.configuration_version = version;
}

const struct hs_follower_entries *
hs_follower_entries (const struct hs_follower *follower)
{
  return &follower->entry_addrs;
}

/* Private definitions.  */

static bool
is_starting (const struct hs_follower *follower)
{
  return follower->self.role == HS_ROLE_ENTRY
             ? follower->self.configuration_version == 0
             : follower->entry_records_len == 0;
}

static size_t
count_asked (const struct hs_follower *follower)
{
  size_t part = (follower->control_hosts.len + ROUNDS - 1) / ROUNDS;

  if (is_starting (follower))
    return ASKED_AT_FIRST;
  return part > ASKED_A_ROUND ? part : ASKED_A_ROUND;
}

static void
ask_next (struct hs_follower *follower)
{
  struct hs_addr contacts[CONTACTS_MAX];
  size_t len = collect_contacts (follower, contacts);
  struct hs_inner sync
      = { .type = HS_INNER_HEARTBEAT, .heartbeat = follower->self };

  if (len > 0)
    follower->ops.send (follower->ctx,
                        &contacts[follower->next_contact++ % len], &sync);
}

/* Those that were learned, and the seeds that are not among them.  */
static size_t
collect_contacts (const struct hs_follower *follower, struct hs_addr *contacts)
{
  size_t len = follower->control_hosts.len;

  memcpy (contacts, follower->control_hosts.values, len * sizeof *contacts);
  for (size_t i = 0; i < follower->seeds_len; i++)
    {
      bool known = false;

      for (size_t k = 0; k < follower->control_hosts.len; k++)
        known = known || hs_addr_equal (&contacts[k], &follower->seeds[i]);
      if (!known)
        contacts[len++] = follower->seeds[i];
    }
  return len;
}

static void
take_status (struct hs_follower *follower, const struct hs_addr *from,
             const struct hs_inner_status *status, uint64_t now)
{
  follower->last_heard_at = now;
  if (status->controls.len > 0)
    follower->control_hosts = status->controls;
  if (status->has_entries)
    take_entries (follower, status, now);
  else if (status->entries_digest == follower->self.entries_digest)
    for (size_t i = 0; i < follower->entry_records_len; i++)
      follower->entry_records[i].last_listed_at = now;
  /* Agents have no use for it.  */
  if (follower->self.role == HS_ROLE_ENTRY
      && status->configuration_version > follower->self.configuration_version
      && status->configuration_version > follower->fetch.version)
    begin_fetch (follower, from, status->configuration_version);
}

/* The list is known once each message of it has come; until then it is asked
   for again.  */
static void
take_entries (struct hs_follower *follower,
              const struct hs_inner_status *status, uint64_t now)
{
  const struct hs_inner_addrs *entries = &status->entries;
  bool added = false;

  for (size_t i = 0; i < entries->len; i++)
    added |= note_entry (follower, &entries->values[i], status->entries_digest,
                         now);
  if (count_listed (follower, status->entries_digest) >= status->entries_total)
    follower->self.entries_digest = status->entries_digest;
  expire_entries (follower, now);
  if (added)
    follower->ops.entries_added (follower->ctx);
}

/* Whether it is new.  */
static bool
note_entry (struct hs_follower *follower, const struct hs_addr *address,
            uint64_t roster, uint64_t now)
{
  struct entry_record listed = { *address, now, roster };

  for (size_t i = 0; i < follower->entry_records_len; i++)
    if (hs_addr_equal (&follower->entry_records[i].address, address))
      {
        follower->entry_records[i] = listed;
        return false;
      }
  if (follower->entry_records_len == HS_FOLLOWER_ENTRIES_MAX)
    return false;
  follower->entry_records[follower->entry_records_len++] = listed;
  return true;
}

static size_t
count_listed (const struct hs_follower *follower, uint64_t roster)
{
  size_t count = 0;

  for (size_t i = 0; i < follower->entry_records_len; i++)
    count += follower->entry_records[i].entries_digest == roster;
  return count;
}

/* A control host that has just started lists few: an entry stays for a while
   after the last host has listed it.  */
static void
expire_entries (struct hs_follower *follower, uint64_t now)
{
  size_t len = 0;

  for (size_t i = 0; i < follower->entry_records_len; i++)
    if (now - follower->entry_records[i].last_listed_at <= ENTRY_LIFE_MS)
      follower->entry_records[len++] = follower->entry_records[i];
  follower->entry_records_len = len;
  follower->entry_addrs.len = len;
  for (size_t i = 0; i < len; i++)
    follower->entry_addrs.values[i] = follower->entry_records[i].address;
}

static void
begin_fetch (struct hs_follower *follower, const struct hs_addr *from,
             uint64_t version)
{
  end_fetch (follower);
  follower->fetch.from = *from;
  follower->fetch.version = version;
  ask_part (follower, 0);
  follower->fetch.requested_len = HS_INNER_CHUNK_SIZE_MAX;
}

static void
ask_parts (struct hs_follower *follower)
{
  struct fetch *fetch = &follower->fetch;
  uint32_t ahead = 0;

  while (fetch->requested_len < fetch->total_len && ahead++ < FETCH_AHEAD)
    {
      ask_part (follower, fetch->requested_len);
      fetch->requested_len += HS_INNER_CHUNK_SIZE_MAX;
    }
}

static void
ask_part (struct hs_follower *follower, uint32_t offset)
{
  struct hs_inner fetch = { .type = HS_INNER_FETCH };

  fetch.chunk.version = follower->fetch.version;
  fetch.chunk.base_version
      = follower->needs_full ? 0 : follower->self.configuration_version;
  fetch.chunk.offset = offset;
  follower->ops.send (follower->ctx, &follower->fetch.from, &fetch);
}

/* Parts may be lost, and so may the host that has them: the next answer of
   another one then begins anew.  */
static void
ask_missing (struct hs_follower *follower)
{
  struct fetch *fetch = &follower->fetch;
  uint32_t ahead = 0;

  if (fetch->total_len == 0)
    {
      end_fetch (follower);
      return;
    }
  for (uint32_t i = 0; i < parts_of (fetch->total_len); i++)
    if (!fetch->chunk_received[i] && ahead++ < FETCH_AHEAD)
      ask_part (follower, i * HS_INNER_CHUNK_SIZE_MAX);
  /* If nothing comes until the next tick, the host is given up.  */
  fetch->requested_len = fetch->total_len;
  if (fetch->missing_chunks == parts_of (fetch->total_len))
    end_fetch (follower);
}

static void
take_part (struct hs_follower *follower, const struct hs_addr *from,
           const struct hs_inner_chunk *part)
{
  struct fetch *fetch = &follower->fetch;
  uint32_t number = part->offset / HS_INNER_CHUNK_SIZE_MAX;

  if (fetch->version == 0 || !hs_addr_equal (from, &fetch->from)
      || part->version < fetch->version
      || part->total_len > CONFIGURATION_BYTES_MAX)
    return;
  if (part->total_len == 0)
    {
      end_fetch (follower);
      return;
    }
  /* It has a later one by now, or the changes of the one here no longer.  */
  if (fetch->total_len != 0
      && (part->version > fetch->version
          || part->base_version != fetch->base_version))
    {
      begin_fetch (follower, from, part->version);
      return;
    }
  if (fetch->total_len == 0)
    {
      fetch->version = part->version;
      fetch->base_version = part->base_version;
      fetch->total_len = part->total_len;
      fetch->missing_chunks = parts_of (part->total_len);
      fetch->bytes = talloc_array (follower, uint8_t, part->total_len);
      fetch->chunk_received
          = talloc_zero_array (follower, bool, fetch->missing_chunks);
    }
  if (part->total_len != fetch->total_len
      || part->offset % HS_INNER_CHUNK_SIZE_MAX != 0
      || part->offset + part->len > fetch->total_len
      || fetch->chunk_received[number])
    return;
  memcpy (fetch->bytes + part->offset, part->bytes, part->len);
  fetch->chunk_received[number] = true;
  fetch->missing_chunks--;
  if (fetch->missing_chunks > 0)
    {
      ask_parts (follower);
      return;
    }
  follower->needs_full = !follower->ops.apply_configuration (
      follower->ctx, fetch->base_version, fetch->bytes, fetch->total_len);
  end_fetch (follower);
}

static void
end_fetch (struct hs_follower *follower)
{
  talloc_free (follower->fetch.bytes);
  talloc_free (follower->fetch.chunk_received);
  follower->fetch = (struct fetch){ .version = 0 };
}

static uint32_t
parts_of (uint32_t total)
{
  return (total + HS_INNER_CHUNK_SIZE_MAX - 1) / HS_INNER_CHUNK_SIZE_MAX;
}
