/* message.c -- encoding of the messages between nodes and control hosts, and
   of the records in the journal of hibiscusspan-control.  */

#include "wire/message.h"
#include "wire/pack.h"
#include "wire/unpack.h"

#include <msgpack.h>
#include <string.h>
#include <talloc.h>

/* Types.  */

#define FIELDS_MAX 16 /* Elements of the array of one struct.  */
#define AUTO_SBUFFER __attribute__ ((cleanup (msgpack_sbuffer_destroy)))

/* Private functions.  */

static void pack_announcement (msgpack_packer *out,
                               const struct hs_announcement *announcement);
static void pack_update (msgpack_packer *out,
                         const struct hs_catalog_update *update);
static void pack_change (msgpack_packer *out, const struct hs_change *change);
static void pack_service (msgpack_packer *out,
                          const struct hs_service *service);
static void pack_document (msgpack_packer *out,
                           const struct hs_document *document);
static void pack_view (msgpack_packer *out, const struct hs_view *view);
static bool unpack_body (struct hs_unpacker *in, struct hs_message *message);
static void unpack_announcement (struct hs_unpacker *in,
                                 struct hs_announcement *announcement);
static void unpack_update (struct hs_unpacker *in, void *parent,
                           struct hs_catalog_update *update);
static void unpack_change (struct hs_unpacker *in, void *parent,
                           struct hs_change *change);
static void unpack_service (struct hs_unpacker *in, void *parent,
                            struct hs_service *service);
static struct hs_document *unpack_document (struct hs_unpacker *in,
                                            void *parent);
static void unpack_view (struct hs_unpacker *in, void *parent,
                         struct hs_view *view);
static void unpack_member (struct hs_unpacker *in, struct hs_member *member);
static struct hs_unpacker begin_struct (struct hs_unpacker *outer);
static void merge_failure (struct hs_unpacker *outer,
                           const struct hs_unpacker *inner);

/* Public definitions.  */

uint8_t *
hs_message_encode (void *parent, const struct hs_message *message, size_t *len)
{
  AUTO_SBUFFER msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, 3);
  msgpack_pack_uint8 (&out, HS_MESSAGE_VERSION);
  msgpack_pack_uint8 (&out, (uint8_t)message->type);
  switch (message->type)
    {
    case HS_MESSAGE_ANNOUNCE:
      pack_announcement (&out, &message->announcement);
      break;
    case HS_MESSAGE_REJECT:
      msgpack_pack_array (&out, 1);
      msgpack_pack_uint8 (&out, (uint8_t)message->reject_reason);
      break;
    case HS_MESSAGE_UPDATE:
      pack_update (&out, &message->update);
      break;
    case HS_MESSAGE_CHANGE:
      pack_change (&out, &message->change);
      break;
    case HS_MESSAGE_VIEW:
      pack_view (&out, &message->view);
      break;
    }
  *len = buffer.size;
  return talloc_memdup (parent, buffer.data, buffer.size);
}

struct hs_message *
hs_message_decode (void *parent, const uint8_t *data, size_t len,
                   GError **error)
{
  HS_AUTO_UNPACKED msgpack_unpacked unpacked;
  struct hs_message *message = talloc_zero (parent, struct hs_message);
  struct hs_unpacker in = { &unpacked.data.via.array, 0, true };
  size_t used = 0;
  uint32_t body_len;

  msgpack_unpacked_init (&unpacked);
  if (len <= HS_MESSAGE_SIZE_MAX && hs_unpack_object_len (data, len) == len
      && msgpack_unpack_next (&unpacked, (const char *)data, len, &used)
             == MSGPACK_UNPACK_SUCCESS
      && used == len && unpacked.data.type == MSGPACK_OBJECT_ARRAY
      && hs_unpack_uint (&in, UINT8_MAX) == HS_MESSAGE_VERSION)
    {
      struct hs_unpacker body;

      message->type
          = (enum hs_message_type)hs_unpack_uint (&in, HS_MESSAGE_VIEW);
      body = hs_unpack_array (&in, &body_len, FIELDS_MAX);
      if (in.ok && unpack_body (&body, message))
        return message;
    }
  talloc_free (message);
  g_set_error (error, HS_ERROR, HS_ERROR_MALFORMED,
               "%zu bytes do not form a valid message of version %d", len,
               HS_MESSAGE_VERSION);
  return NULL;
}

/* Private definitions.  */

static void
pack_announcement (msgpack_packer *out,
                   const struct hs_announcement *announcement)
{
  msgpack_pack_array (out, 10); /* The address is two elements.  */
  msgpack_pack_uint8 (out, (uint8_t)announcement->role);
  msgpack_pack_uint64 (out, announcement->incarnation);
  hs_pack_addr (out, &announcement->address);
  msgpack_pack_uint8 (out, announcement->draining);
  msgpack_pack_uint8 (out, announcement->exiting);
  msgpack_pack_uint64 (out, announcement->catalog_version);
  hs_pack_text (out, announcement->service_name);
  hs_pack_text (out, announcement->name);
  hs_pack_text (out, announcement->zone);
}

static void
pack_update (msgpack_packer *out, const struct hs_catalog_update *update)
{
  msgpack_pack_array (out, 4);
  msgpack_pack_uint64 (out, update->from_version);
  msgpack_pack_uint64 (out, update->to_version);
  msgpack_pack_array (out, update->services_len);
  for (size_t i = 0; i < update->services_len; i++)
    pack_service (out, &update->services[i]);
  msgpack_pack_array (out, update->views_len);
  for (size_t i = 0; i < update->views_len; i++)
    pack_view (out, &update->views[i]);
}

static void
pack_change (msgpack_packer *out, const struct hs_change *change)
{
  msgpack_pack_array (out, 4);
  hs_pack_text (out, change->id);
  hs_pack_text (out, change->author);
  msgpack_pack_uint64 (out, change->base_revision);
  pack_document (out, change->document);
}

static void
pack_service (msgpack_packer *out, const struct hs_service *service)
{
  msgpack_pack_array (out, 3);
  msgpack_pack_uint32 (out, service->id);
  msgpack_pack_uint64 (out, service->revision);
  pack_document (out, service->document);
}

static void
pack_document (msgpack_packer *out, const struct hs_document *document)
{
  msgpack_pack_array (out, 7); /* The address is two elements.  */
  hs_pack_text (out, document->service_name);
  msgpack_pack_uint8 (out, (uint8_t)document->kind);
  hs_pack_addr (out, &document->address);
  msgpack_pack_uint32 (out, document->grace_ms);
  msgpack_pack_uint32 (out, document->deadline_ms);
  msgpack_pack_array (out, document->rules_len);
  for (size_t i = 0; i < document->rules_len; i++)
    {
      const struct hs_request_rule *rule = &document->rules[i];

      msgpack_pack_array (out, 4);
      hs_pack_text (out, rule->method);
      hs_pack_text (out, rule->path);
      msgpack_pack_uint8 (out, rule->idempotent);
      msgpack_pack_uint32 (out, rule->deadline_ms);
    }
}

static void
pack_view (msgpack_packer *out, const struct hs_view *view)
{
  msgpack_pack_array (out, 3);
  msgpack_pack_uint32 (out, view->service_id);
  msgpack_pack_uint64 (out, view->number);
  msgpack_pack_array (out, view->members_len);
  for (size_t i = 0; i < view->members_len; i++)
    {
      const struct hs_member *member = &view->members[i];

      msgpack_pack_array (out, 6); /* The address is two elements.  */
      msgpack_pack_uint64 (out, member->incarnation);
      hs_pack_addr (out, &member->address);
      msgpack_pack_uint8 (out, (uint8_t)member->state);
      hs_pack_text (out, member->name);
      hs_pack_text (out, member->zone);
    }
}

static bool
unpack_body (struct hs_unpacker *in, struct hs_message *message)
{
  switch (message->type)
    {
    case HS_MESSAGE_ANNOUNCE:
      unpack_announcement (in, &message->announcement);
      return in->ok;
    case HS_MESSAGE_REJECT:
      message->reject_reason = (enum hs_announce_result)hs_unpack_uint (
          in, HS_ANNOUNCE_SUPERSEDED);
      return in->ok;
    case HS_MESSAGE_UPDATE:
      unpack_update (in, message, &message->update);
      return in->ok;
    case HS_MESSAGE_CHANGE:
      unpack_change (in, message, &message->change);
      return in->ok;
    case HS_MESSAGE_VIEW:
      unpack_view (in, message, &message->view);
      return in->ok;
    }
  return false;
}

static void
unpack_announcement (struct hs_unpacker *in,
                     struct hs_announcement *announcement)
{
  announcement->role = (enum hs_role)hs_unpack_uint (in, HS_ROLE_ENTRY);
  announcement->incarnation = hs_unpack_uint (in, UINT64_MAX);
  hs_unpack_addr (in, &announcement->address);
  announcement->draining = hs_unpack_uint (in, 1) != 0;
  announcement->exiting = hs_unpack_uint (in, 1) != 0;
  announcement->catalog_version = hs_unpack_uint (in, UINT64_MAX);
  hs_unpack_text (in, announcement->service_name,
                  sizeof announcement->service_name);
  hs_unpack_text (in, announcement->name, sizeof announcement->name);
  hs_unpack_text (in, announcement->zone, sizeof announcement->zone);
}

static void
unpack_update (struct hs_unpacker *in, void *parent,
               struct hs_catalog_update *update)
{
  struct hs_unpacker items;
  uint32_t len;

  update->from_version = hs_unpack_uint (in, UINT64_MAX);
  update->to_version = hs_unpack_uint (in, UINT64_MAX);
  items = hs_unpack_array (in, &len, HS_UPDATE_ITEMS_MAX);
  update->services = talloc_zero_array (parent, struct hs_service, len);
  update->services_len = len;
  for (uint32_t i = 0; i < len; i++)
    {
      struct hs_unpacker fields = begin_struct (&items);

      unpack_service (&fields, update->services, &update->services[i]);
      merge_failure (&items, &fields);
    }
  merge_failure (in, &items);
  items = hs_unpack_array (in, &len, HS_UPDATE_ITEMS_MAX);
  update->views = talloc_zero_array (parent, struct hs_view, len);
  update->views_len = len;
  for (uint32_t i = 0; i < len; i++)
    {
      struct hs_unpacker fields = begin_struct (&items);

      unpack_view (&fields, update->views, &update->views[i]);
      merge_failure (&items, &fields);
    }
  merge_failure (in, &items);
}

static void
unpack_change (struct hs_unpacker *in, void *parent, struct hs_change *change)
{
  struct hs_unpacker fields;

  hs_unpack_text (in, change->id, sizeof change->id);
  hs_unpack_text (in, change->author, sizeof change->author);
  change->base_revision = hs_unpack_uint (in, UINT64_MAX);
  fields = begin_struct (in);
  change->document = unpack_document (&fields, parent);
  merge_failure (in, &fields);
}

static void
unpack_service (struct hs_unpacker *in, void *parent,
                struct hs_service *service)
{
  struct hs_unpacker fields;

  service->id = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  service->revision = hs_unpack_uint (in, UINT64_MAX);
  fields = begin_struct (in);
  service->document = unpack_document (&fields, parent);
  merge_failure (in, &fields);
}

static struct hs_document *
unpack_document (struct hs_unpacker *in, void *parent)
{
  struct hs_document *document = talloc_zero (parent, struct hs_document);
  struct hs_unpacker rules;
  uint32_t len;

  hs_unpack_text (in, document->service_name, sizeof document->service_name);
  document->kind
      = (enum hs_service_kind)hs_unpack_uint (in, HS_SERVICE_KIND_COAP);
  hs_unpack_addr (in, &document->address);
  document->grace_ms = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  document->deadline_ms = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  rules = hs_unpack_array (in, &len, HS_REQUEST_RULES_MAX);
  document->rules = talloc_zero_array (document, struct hs_request_rule, len);
  document->rules_len = len;
  for (uint32_t i = 0; i < len; i++)
    {
      struct hs_request_rule *rule = &document->rules[i];
      struct hs_unpacker fields = begin_struct (&rules);

      hs_unpack_text (&fields, rule->method, sizeof rule->method);
      hs_unpack_text (&fields, rule->path, sizeof rule->path);
      rule->idempotent = hs_unpack_uint (&fields, 1) != 0;
      rule->deadline_ms = (uint32_t)hs_unpack_uint (&fields, UINT32_MAX);
      merge_failure (&rules, &fields);
    }
  merge_failure (in, &rules);
  return document;
}

static void
unpack_view (struct hs_unpacker *in, void *parent, struct hs_view *view)
{
  struct hs_unpacker members;
  uint32_t len;

  view->service_id = (uint32_t)hs_unpack_uint (in, UINT32_MAX);
  view->number = hs_unpack_uint (in, UINT64_MAX);
  members = hs_unpack_array (in, &len, HS_VIEW_MEMBERS_MAX);
  view->members = talloc_zero_array (parent, struct hs_member, len);
  view->members_len = len;
  for (uint32_t i = 0; i < len; i++)
    {
      struct hs_unpacker fields = begin_struct (&members);

      unpack_member (&fields, &view->members[i]);
      merge_failure (&members, &fields);
    }
  merge_failure (in, &members);
}

static void
unpack_member (struct hs_unpacker *in, struct hs_member *member)
{
  member->incarnation = hs_unpack_uint (in, UINT64_MAX);
  hs_unpack_addr (in, &member->address);
  member->state
      = (enum hs_member_state)hs_unpack_uint (in, HS_MEMBER_DRAINING);
  hs_unpack_text (in, member->name, sizeof member->name);
  hs_unpack_text (in, member->zone, sizeof member->zone);
  member->id = hs_id_from_name (member->name);
}

/* Returns an unpacker of the struct that is the next element of OUTER.  */
static struct hs_unpacker
begin_struct (struct hs_unpacker *outer)
{
  uint32_t len;

  return hs_unpack_array (outer, &len, FIELDS_MAX);
}

/* Makes OUTER fail if INNER has failed.  */
static void
merge_failure (struct hs_unpacker *outer, const struct hs_unpacker *inner)
{
  outer->ok = outer->ok && inner->ok;
}
