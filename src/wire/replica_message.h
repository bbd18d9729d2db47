/* replica_message.h -- messages between control hosts, and what they keep on
   disk, as MessagePack.  */

#ifndef HS_WIRE_REPLICA_MESSAGE_H
#define HS_WIRE_REPLICA_MESSAGE_H

#include "hibiscusspan.h"

#define HS_REPLICA_MESSAGE_SIZE_MAX                                           \
  65000 /* Bytes; a datagram's limit is 65507.                                \
         */

uint8_t *hs_replica_message_encode (void *parent,
                                    const struct hs_replica_message *message,
                                    size_t *len);
struct hs_replica_message *
hs_replica_message_decode (void *parent, const uint8_t *data, size_t len,
                           GError **error); /* HS_ERROR_MALFORMED  */
uint8_t *hs_replica_record_encode (void *parent,
                                   const struct hs_replica_record *record,
                                   size_t *len);
struct hs_replica_record *
hs_replica_record_decode (void *parent, const uint8_t *data, size_t len,
                          GError **error); /* HS_ERROR_MALFORMED  */

/* A command of the log: the configuration as it was sent, compressed, and as
   hs_configuration_encode makes it.  */
struct hs_stored_configuration
{
  uint64_t version;
  size_t source_len;
  const uint8_t *source;
  size_t encoded_len;
  const uint8_t *encoded;
};

uint8_t *hs_stored_configuration_encode (
    void *parent, const struct hs_stored_configuration *stored, size_t *len);
struct hs_stored_configuration *
hs_stored_configuration_decode (void *parent, const uint8_t *data, size_t len,
                                GError **error); /* HS_ERROR_MALFORMED  */

#endif /* HS_WIRE_REPLICA_MESSAGE_H */
