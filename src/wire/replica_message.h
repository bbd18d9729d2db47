/* replica_message.h -- MessagePack encoding of the messages between control
   hosts, and of the records that they keep on disk.

   All functions return talloc children of PARENT.  The decoders return NULL
   and HS_ERROR_MALFORMED if DATA is not valid.  */

#ifndef HS_WIRE_REPLICA_MESSAGE_H
#define HS_WIRE_REPLICA_MESSAGE_H

#include "hibiscusspan.h"

/* Bytes.  A UDP datagram holds 65507 at most.  */
#define HS_REPLICA_MESSAGE_SIZE_MAX 65000

uint8_t *hs_replica_message_encode (void *parent,
                                    const struct hs_replica_message *message,
                                    size_t *len);
struct hs_replica_message *hs_replica_message_decode (void *parent,
                                                      const uint8_t *data,
                                                      size_t len,
                                                      GError **error);
uint8_t *hs_replica_record_encode (void *parent,
                                   const struct hs_replica_record *record,
                                   size_t *len);
struct hs_replica_record *hs_replica_record_decode (void *parent,
                                                    const uint8_t *data,
                                                    size_t len,
                                                    GError **error);

/* A command of the replicated log: a configuration in two forms.  The bytes of
   a decoded one are talloc children of it.  */
struct hs_stored_configuration
{
  uint64_t version;
  size_t source_len;
  const uint8_t *source; /* The operator's text, compressed by
                            hs_bytes_compress.  */
  size_t encoded_len;
  const uint8_t *encoded; /* Encoded by hs_configuration_encode.  */
};

uint8_t *hs_stored_configuration_encode (
    void *parent, const struct hs_stored_configuration *stored, size_t *len);
struct hs_stored_configuration *
hs_stored_configuration_decode (void *parent, const uint8_t *data, size_t len,
                                GError **error);

#endif /* HS_WIRE_REPLICA_MESSAGE_H */
