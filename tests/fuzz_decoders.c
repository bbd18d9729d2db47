/* fuzz_decoders.c -- libFuzzer target for the decoders of packets, messages,
   documents and configurations.

   Build it with clang and -DHS_FUZZ=ON.  The first byte of an input selects
   the decoder.  */

#include "base/auto.h"
#include "coap/coap_message.h"
#include "platform/platform.h"
#include "wire/configuration_message.h"
#include "wire/flow_message.h"
#include "wire/inner.h"
#include "wire/message.h"
#include "wire/packet.h"
#include "wire/replica_message.h"

/* Types.  */

enum target
{
  TARGET_PACKET,
  TARGET_FLOW_MESSAGE,
  TARGET_MESSAGE,
  TARGET_COAP,
  TARGET_DOCUMENT,
  TARGET_INNER,
  TARGET_REPLICA,
  TARGET_CONFIGURATION,
  TARGET_SEGMENT,
  TARGET_JSON_BODIES,
  TARGET_COUNT
};

/* Public definitions.  */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  struct hs_packet_header header;
  struct hs_flow_message flow_message;
  struct hs_coap_message coap;
  struct hs_inner inner;
  struct hs_segment segment;
  struct hs_heartbeat heartbeat;

  if (len == 0)
    return 0;
  switch ((enum target) (data[0] % TARGET_COUNT))
    {
    case TARGET_PACKET:
      hs_packet_decode (data + 1, len - 1, &header);
      break;
    case TARGET_FLOW_MESSAGE:
      hs_flow_message_decode (data + 1, len - 1, &flow_message);
      break;
    case TARGET_MESSAGE:
      hs_message_decode (root, data + 1, len - 1, NULL);
      break;
    case TARGET_COAP:
      hs_coap_parse (data + 1, len - 1, &coap);
      break;
    case TARGET_DOCUMENT:
      hs_document_parse (root, (const char *)data + 1, len - 1, NULL);
      break;
    case TARGET_INNER:
      hs_inner_decode (data + 1, len - 1, &inner);
      break;
    case TARGET_REPLICA:
      hs_replica_message_decode (root, data + 1, len - 1, NULL);
      hs_replica_record_decode (root, data + 1, len - 1, NULL);
      break;
    case TARGET_CONFIGURATION:
      hs_configuration_decode (root, data + 1, len - 1, NULL);
      hs_configuration_parse (root, (const char *)data + 1, len - 1, NULL);
      break;
    case TARGET_SEGMENT:
      hs_platform_decode_segment (NULL, data + 1, len - 1, &segment);
      break;
    case TARGET_JSON_BODIES:
      hs_platform_decode_heartbeat (NULL, "i", (const char *)data + 1, len - 1,
                                    &heartbeat, NULL);
      hs_platform_decode_configuration (NULL, root, (const char *)data + 1,
                                        len - 1, NULL);
      break;
    case TARGET_COUNT:
      break;
    }
  return 0;
}
