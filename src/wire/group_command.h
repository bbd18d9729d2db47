/* group_command.h -- MessagePack encoding of the commands in the replicated
   log of a control group, and of its snapshots.

   All functions return talloc children of PARENT.  The decoders return NULL
   and HS_ERROR_MALFORMED if DATA is not valid.  */

#ifndef HS_WIRE_GROUP_COMMAND_H
#define HS_WIRE_GROUP_COMMAND_H

#include "wire/replica_message.h"

/* A decoded command: a configuration or an evacuation order.  */
struct hs_group_command
{
  struct hs_stored_configuration *configuration; /* NULL: an order.  */
  struct hs_evacuation_order order;
};

/* The state after some commands.  */
struct hs_group_snapshot
{
  struct hs_stored_configuration *configuration; /* NULL: none yet.  */
  struct hs_evacuations evacuations;
};

/* A configuration is encoded by hs_stored_configuration_encode.  */
uint8_t *hs_evacuation_order_encode (void *parent,
                                     const struct hs_evacuation_order *order,
                                     size_t *len);
struct hs_group_command *hs_group_command_decode (void *parent,
                                                  const uint8_t *data,
                                                  size_t len, GError **error);

uint8_t *hs_group_snapshot_encode (void *parent,
                                   const struct hs_group_snapshot *snapshot,
                                   size_t *len);

/* Also decodes a snapshot that is a configuration alone, as hosts wrote it
   before there were evacuations.  */
struct hs_group_snapshot *hs_group_snapshot_decode (void *parent,
                                                    const uint8_t *data,
                                                    size_t len,
                                                    GError **error);

#endif /* HS_WIRE_GROUP_COMMAND_H */
