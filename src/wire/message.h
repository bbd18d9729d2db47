/* message.h -- encoding of the messages between nodes and control hosts, and
   of the records in the journal of hibiscusspan-control.

   A message is a MessagePack array of HS_MESSAGE_VERSION, the type and an
   array of the type's fields.  */

#ifndef HS_WIRE_MESSAGE_H
#define HS_WIRE_MESSAGE_H

#include "hibiscusspan.h"

#define HS_MESSAGE_VERSION 1
#define HS_MESSAGE_SIZE_MAX (256 * 1024) /* Bytes of an encoded message.  */
#define HS_VIEW_MEMBERS_MAX 4096         /* Members of one view.  */
#define HS_UPDATE_ITEMS_MAX 256 /* Services in an update; also views.  */

enum hs_message_type
{
  HS_MESSAGE_ANNOUNCE = 1, /* Node to control: an announcement.  */
  HS_MESSAGE_REJECT,       /* Control to node: why it is not a member.  */
  HS_MESSAGE_UPDATE,       /* Control to node: a catalog update.  */
  HS_MESSAGE_CHANGE,       /* Journal record: a change of a document.  */
  HS_MESSAGE_VIEW          /* Journal record: a view.  */
};

/* Services and views that changed after FROM_VERSION, up to TO_VERSION.  It
   applies only to a catalog of FROM_VERSION.  */
struct hs_catalog_update
{
  uint64_t from_version;
  uint64_t to_version;
  size_t services_len;
  struct hs_service *services;
  size_t views_len;
  struct hs_view *views;
};

/* Only the field of TYPE is encoded.  The pointers of a decoded message are
   talloc descendants of it.  */
struct hs_message
{
  enum hs_message_type type;
  struct hs_announcement announcement;   /* ANNOUNCE  */
  enum hs_announce_result reject_reason; /* REJECT  */
  struct hs_catalog_update update;       /* UPDATE  */
  struct hs_change change;               /* CHANGE  */
  struct hs_view view;                   /* VIEW  */
};

/* Encodes MESSAGE.  The returned bytes are a talloc child of PARENT; their
   length is stored in LEN.  */
uint8_t *hs_message_encode (void *parent, const struct hs_message *message,
                            size_t *len);

/* Decodes DATA.  The result is a talloc child of PARENT; NULL and
   HS_ERROR_MALFORMED if DATA is not exactly one valid message.  */
struct hs_message *hs_message_decode (void *parent, const uint8_t *data,
                                      size_t len, GError **error);

#endif /* HS_WIRE_MESSAGE_H */
