/* message.h -- messages between nodes and control hosts, and log records.

   A message is a MessagePack array; its first elements are
   HS_MESSAGE_VERSION and the type.  */

#ifndef HS_WIRE_MESSAGE_H
#define HS_WIRE_MESSAGE_H

#include "hibiscusspan.h"

#define HS_MESSAGE_VERSION 1
#define HS_MESSAGE_SIZE_MAX (256 * 1024) /* Bytes.  */
#define HS_VIEW_MEMBERS_MAX 4096         /* Members of one view.  */
#define HS_UPDATE_ITEMS_MAX 256          /* Items of one update.  */

enum hs_message_type
{
  HS_MESSAGE_ANNOUNCE = 1, /* Node to control: a heartbeat.  */
  HS_MESSAGE_REJECT,       /* Control to node: why it is no member.  */
  HS_MESSAGE_UPDATE,       /* Control to node: what has changed.  */
  HS_MESSAGE_CHANGE,       /* Log record: a document.  */
  HS_MESSAGE_VIEW          /* Log record: a view.  */
};

/* Items that changed after version FROM, up to version TO.  It counts only
   where FROM is the version in force.  */
struct hs_catalog_update
{
  uint64_t from_version;
  uint64_t to_version;
  size_t services_len;
  struct hs_service *services;
  size_t views_len;
  struct hs_view *views;
};

/* What is not of TYPE is not used.  Pointers are children of the message. */
struct hs_message
{
  enum hs_message_type type;
  struct hs_announcement announcement;   /* ANNOUNCE  */
  enum hs_announce_result reject_reason; /* REJECT  */
  struct hs_catalog_update update;       /* UPDATE  */
  struct hs_change change;               /* CHANGE  */
  struct hs_view view;                   /* VIEW  */
};

/* Bytes of MESSAGE, a child of PARENT; LEN is set.  */
uint8_t *hs_message_encode (void *parent, const struct hs_message *message,
                            size_t *len);

/* The message in DATA, a child of PARENT, or NULL and
   HS_ERROR_MALFORMED.  */
struct hs_message *hs_message_decode (void *parent, const uint8_t *data,
                                      size_t len, GError **error);

#endif /* HS_WIRE_MESSAGE_H */
