/* adapter.h -- the interface to the formats of a deployment's platform.

   An adapter translates the platform's segments, API paths and JSON bodies
   to the types of this project and back.  It makes no decisions.  Segment
   entries, segment agents and control hosts are created with one.  */

#ifndef HS_ADAPTER_ADAPTER_H
#define HS_ADAPTER_ADAPTER_H

#include "hibiscusspan.h"

#define HS_RESET_SIZE_MAX 64 /* Bytes of an encoded reset.  */

enum hs_operation
{
  HS_OPERATION_UNKNOWN,   /* Not an operation of the API.  */
  HS_OPERATION_READINESS, /* Reports whether this host accepts flows.  */
  HS_OPERATION_HEARTBEAT, /* An upstream reports its state.  */
  HS_OPERATION_LEAVE,     /* An upstream reports that it stops.  */
  HS_OPERATION_REPLACE_CONFIGURATION, /* Replaces the whole configuration.  */
  HS_OPERATION_GET_CONFIGURATION, /* Returns the configuration in force.  */
  HS_OPERATION_GROUP_STATUS,      /* Returns the state of the control group, as
                                       this host sees it.  */
  HS_OPERATION_START_EVACUATION,  /* No new flows to a zone's upstreams.  */
  HS_OPERATION_FINISH_EVACUATION, /* Ends that.  */
  HS_OPERATION_LIST_EVACUATIONS   /* Returns the evacuated zones.  */
};

struct hs_adapter
{
  /* Decodes LEN bytes at BYTES into SEGMENT.  Returns false if they are not
     a segment.  */
  bool (*decode_segment) (void *ctx, const uint8_t *bytes, size_t len,
                          struct hs_segment *segment);

  /* Undoes, in place, an upstream's changes to BYTES, a segment that it
     returned, so that BYTES are as the caller sent them.  */
  void (*restore_segment) (void *ctx, uint8_t *bytes);

  /* Encodes a reset to the caller that sent SEGMENT: its flow is not open.
     BYTES has room for HS_RESET_SIZE_MAX bytes.  Returns the number of bytes
     written.  */
  size_t (*encode_reset) (void *ctx, const struct hs_segment *segment,
                          uint8_t *bytes);

  /* Returns the operation that the HTTP request METHOD PATH calls.  For
     HS_OPERATION_HEARTBEAT and HS_OPERATION_LEAVE the upstream's id is
     copied to ID, for the evacuations the zone's name; ID has room for
     HS_NAME_SIZE bytes.  */
  enum hs_operation (*decode_operation) (void *ctx, const char *method,
                                         const char *path, char *id);

  /* Decodes the LEN bytes of BODY, a heartbeat of the upstream ID.  Returns
     false and sets HS_ERROR_MALFORMED if a field is missing or invalid.  */
  bool (*decode_heartbeat) (void *ctx, const char *id, const char *body,
                            size_t len, struct hs_heartbeat *heartbeat,
                            GError **error);

  /* Decodes the LEN bytes of BODY, with which an upstream says that it stops.
     STARTED_AT gets the wall clock of its start, ms, or 0 if BODY does not
     say. Returns false and sets HS_ERROR_MALFORMED if BODY is not empty and
     cannot be read.  */
  bool (*decode_leave) (void *ctx, const char *body, size_t len,
                        uint64_t *started_at, GError **error);

  /* Decodes the LEN bytes of BODY.  Returns a configuration owned by PARENT,
     or NULL and sets HS_ERROR_MALFORMED.  Checks the types of the fields only,
     not whether the configuration is valid.  */
  struct hs_configuration *(*decode_configuration) (void *ctx, void *parent,
                                                    const char *body,
                                                    size_t len,
                                                    GError **error);

  void *ctx; /* First argument of every function above.  */
};

#endif /* HS_ADAPTER_ADAPTER_H */
