/* adapter.h -- how the surroundings of a deployment speak.

   A dialect translates bytes, names and paths to the project's types and
   back.  It decides nothing.  Entries, agents and control hosts are handed
   one.  */

#ifndef HS_ADAPTER_ADAPTER_H
#define HS_ADAPTER_ADAPTER_H

#include "hibiscusspan.h"

#define HS_RESET_SIZE_MAX 64 /* Bytes of an encoded reset.  */

enum hs_operation
{
  HS_OPERATION_UNKNOWN,
  HS_OPERATION_READINESS,             /* May this host be sent flows?  */
  HS_OPERATION_HEARTBEAT,             /* Of the upstream ID.  */
  HS_OPERATION_LEAVE,                 /* The same: it ends.  */
  HS_OPERATION_REPLACE_CONFIGURATION, /* A whole configuration.  */
  HS_OPERATION_GET_CONFIGURATION,     /* The configuration in force.  */
  HS_OPERATION_CLUSTER_STATUS /* The control group, as this host sees it.  */
};

struct hs_adapter
{
  /* False: the bytes are not a segment.  */
  bool (*decode_segment) (void *ctx, const uint8_t *bytes, size_t len,
                          struct hs_segment *segment);

  /* Makes a segment that an upstream gave back what its caller had sent.  */
  void (*restore_segment) (void *ctx, uint8_t *bytes);

  /* Tells the caller of SEGMENT that its flow is not open.  BYTES has room
     for HS_RESET_SIZE_MAX; returns the length.  */
  size_t (*encode_reset) (void *ctx, const struct hs_segment *segment,
                          uint8_t *bytes);

  /* ID takes HS_NAME_SIZE bytes, of operations that name an upstream.  */
  enum hs_operation (*decode_operation) (void *ctx, const char *method,
                                         const char *path, char *id);

  /* HS_ERROR_MALFORMED  */
  bool (*decode_heartbeat) (void *ctx, const char *id, const char *body,
                            size_t len, struct hs_heartbeat *heartbeat,
                            GError **error);

  /* HS_ERROR_MALFORMED; what it means is not checked.  */
  struct hs_configuration *(*decode_configuration) (void *ctx, void *parent,
                                                    const char *body,
                                                    size_t len,
                                                    GError **error);
  void *ctx;
};

#endif /* HS_ADAPTER_ADAPTER_H */
