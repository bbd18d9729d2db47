/* test_wire.c -- the codecs of packets, flow messages, messages between nodes
   and control hosts, and CoAP: round trips, truncated and malformed input.  */

#include "base/auto.h"
#include "coap/coap_message.h"
#include "wire/flow_message.h"
#include "wire/message.h"
#include "wire/packet.h"
#include "wire/unpack.h"

#include <string.h>

/* Types.  */

#define MUTATIONS 200000
#define DATA_SIZE 2048

static const struct hs_packet_header sample_header
    = { .type = HS_PACKET_FORWARD,
        .service_id = UINT32_MAX,
        .view_number = UINT64_MAX,
        .to_incarnation = UINT64_MAX - 1,
        .entry_incarnation = UINT64_MAX - 2,
        .owner_id = UINT64_MAX - 3,
        .caller = { .ip = { 1, 2, 3 }, .port = 65535 },
        .assigned_view = UINT64_MAX - 4,
        .uncertain = true,
        .hops = 255,
        .reason = HS_REASON_COUNT - 1 };

static const struct hs_flow_message sample_flow_message
    = { .type = HS_FLOW_CONFIRMED,
        .service_id = 7,
        .view_number = UINT64_MAX,
        .from_id = 1,
        .from_incarnation = UINT64_MAX - 1,
        .to_incarnation = 5,
        .seq = 9,
        .transfer_complete = true,
        .rules_out_missing = true,
        .records_len = 2,
        .records = { { { .ip = { 1, 2 }, .port = 3 }, 4, 5 },
                     { { .ip = { 9 }, .port = 8 }, UINT64_MAX, 6 } } };

/* A CoAP POST of /confirm with a token, an Observe option and a payload.  */
static const uint8_t sample_coap[]
    = { 0x44, 0x02, 0x12, 0x34, 0xde, 0xad, 0xbe, 0xef, 0x60, 0x57,
        'c',  'o',  'n',  'f',  'i',  'r',  'm',  0xff, 'h',  'i' };

/* Private functions.  */

static struct hs_message *
sample_message (void *parent, enum hs_message_type type)
{
  static struct hs_request_rule rules[]
      = { { "POST", "/confirm", false, 3000 }, { "GET", "/", true, 10 } };
  static struct hs_document document = { .service_name = "registro",
                                         .kind = HS_SERVICE_KIND_COAP,
                                         .address = { .port = 5683 },
                                         .grace_ms = 5000,
                                         .deadline_ms = 1000,
                                         .rules_len = 2,
                                         .rules = rules };
  static struct hs_service service = { 7, 12, &document };
  static struct hs_member members[2];
  struct hs_message *message = talloc_zero (parent, struct hs_message);

  for (size_t i = 0; i < 2; i++)
    {
      g_snprintf (members[i].name, HS_NAME_SIZE, "agent-%zu", i);
      strcpy (members[i].zone, "sic-ragusa");
      members[i].id = hs_id_from_name (members[i].name);
      members[i].incarnation = 1000 + i;
      members[i].state = HS_MEMBER_DRAINING;
    }
  message->type = type;
  message->announcement = (struct hs_announcement){ .role = HS_ROLE_ENTRY,
                                                    .incarnation = 5,
                                                    .draining = true,
                                                    .catalog_version = 99,
                                                    .name = "entry-1",
                                                    .zone = "a" };
  message->reject_reason = HS_ANNOUNCE_SUPERSEDED;
  message->view = (struct hs_view){ 7, 3, 2, members };
  message->update
      = (struct hs_catalog_update){ 1, 2, 1, &service, 1, &message->view };
  message->change = (struct hs_change){ "id-1", "me", 4, &document };
  return message;
}

static void
test_packet_round_trip (void)
{
  uint8_t data[HS_PACKET_HEADER_MAX];
  struct hs_packet_header header;
  size_t len = hs_packet_encode (&sample_header, data);

  g_assert_cmpuint (len, <=, HS_PACKET_HEADER_MAX);
  g_assert_cmpuint (hs_packet_decode (data, len, &header), ==, len);
  g_assert_cmpuint (header.type, ==, sample_header.type);
  g_assert_cmpuint (header.service_id, ==, sample_header.service_id);
  g_assert_cmpuint (header.view_number, ==, sample_header.view_number);
  g_assert_cmpuint (header.to_incarnation, ==, sample_header.to_incarnation);
  g_assert_cmpuint (header.entry_incarnation, ==,
                    sample_header.entry_incarnation);
  g_assert_cmpuint (header.owner_id, ==, sample_header.owner_id);
  g_assert_true (hs_addr_equal (&header.caller, &sample_header.caller));
  g_assert_cmpuint (header.assigned_view, ==, sample_header.assigned_view);
  g_assert_true (header.uncertain);
  g_assert_cmpuint (header.hops, ==, sample_header.hops);
  g_assert_cmpuint (header.reason, ==, sample_header.reason);
  for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
    g_assert_cmpuint (hs_packet_decode (data, truncated_len, &header), ==, 0);
}

static void
test_flow_message_round_trip (void)
{
  uint8_t data[HS_FLOW_MESSAGE_SIZE_MAX];
  struct hs_flow_message decoded;
  size_t len = hs_flow_message_encode (&sample_flow_message, data);

  g_assert_true (hs_flow_message_decode (data, len, &decoded));
  g_assert_cmpmem (&decoded, sizeof decoded, &sample_flow_message,
                   sizeof sample_flow_message);
  for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
    g_assert_false (hs_flow_message_decode (data, truncated_len, &decoded));
}

/* A message with the maximum number of records fits in
   HS_FLOW_MESSAGE_SIZE_MAX bytes.  */
static void
test_flow_message_largest (void)
{
  uint8_t data[HS_FLOW_MESSAGE_SIZE_MAX];
  struct hs_flow_message message = sample_flow_message;
  struct hs_flow_message decoded;
  size_t len;

  message.records_len = HS_FLOW_MESSAGE_RECORDS_MAX;
  for (size_t i = 0; i < HS_FLOW_MESSAGE_RECORDS_MAX; i++)
    message.records[i]
        = (struct hs_ownership_record){ .caller = { .port = 65535 },
                                        .owner_id = UINT64_MAX,
                                        .opened_view = UINT64_MAX };
  len = hs_flow_message_encode (&message, data);
  g_assert_true (hs_flow_message_decode (data, len, &decoded));
  g_assert_cmpuint (decoded.records_len, ==, HS_FLOW_MESSAGE_RECORDS_MAX);
}

static void
test_message_round_trip (void)
{
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  g_autoptr (GError) error = NULL;

  for (enum hs_message_type type = HS_MESSAGE_ANNOUNCE;
       type <= HS_MESSAGE_VIEW; type++)
    {
      struct hs_message *message = sample_message (root, type);
      size_t len;
      size_t reencoded_len;
      uint8_t *data = hs_message_encode (root, message, &len);
      struct hs_message *decoded = hs_message_decode (root, data, len, &error);
      uint8_t *reencoded;

      g_assert_no_error (error);
      reencoded = hs_message_encode (root, decoded, &reencoded_len);
      g_assert_cmpmem (data, len, reencoded, reencoded_len);
      for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
        g_assert_null (hs_message_decode (root, data, truncated_len, NULL));
    }
}

static void
test_coap_parse (void)
{
  struct hs_coap_message message;

  g_assert_true (hs_coap_parse (sample_coap, sizeof sample_coap, &message));
  g_assert_true (hs_coap_is_request (&message));
  g_assert_cmpstr (message.method, ==, "POST");
  g_assert_cmpstr (message.path, ==, "/confirm");
  g_assert_cmpuint (message.message_id, ==, 0x1234);
  g_assert_cmpuint (message.token_len, ==, 4);
  g_assert_true (message.has_observe);
  g_assert_cmpuint (message.observe, ==, 0);
}

/* An error response has the message id and the token of its request; its code
   and payload show whether the request may have run.  */
static void
test_coap_error_response (void)
{
  struct hs_coap_message request;
  struct hs_coap_message response;
  uint8_t data[HS_COAP_BUILT_SIZE_MAX];
  struct hs_verdict not_run = { HS_OUTCOME_NOT_RUN, HS_REASON_OVERLOADED };
  struct hs_verdict may_have_run
      = { HS_OUTCOME_MAY_HAVE_RUN, HS_REASON_TIMEOUT };
  size_t len;

  hs_coap_parse (sample_coap, sizeof sample_coap, &request);
  len = hs_coap_build_error_response (&request, not_run, data, sizeof data);
  g_assert_true (hs_coap_parse (data, len, &response));
  g_assert_cmpuint (response.code, ==, HS_COAP_SERVICE_UNAVAILABLE);
  g_assert_cmpuint (response.type, ==, HS_COAP_ACK);
  g_assert_cmpuint (response.message_id, ==, request.message_id);
  g_assert_cmpmem (response.token, response.token_len, request.token,
                   request.token_len);
  g_assert_nonnull (memmem (data, len, "not-run: overloaded", 19));
  request.type = HS_COAP_NON;
  len = hs_coap_build_error_response (&request, may_have_run, data,
                                      sizeof data);
  g_assert_true (hs_coap_parse (data, len, &response));
  g_assert_cmpuint (response.code, ==, HS_COAP_GATEWAY_TIMEOUT);
  g_assert_cmpuint (response.type, ==, HS_COAP_NON);
}

/* An input of a few bytes that declares a huge length is rejected before the
   msgpack library allocates gigabytes for it.  */
static void
test_excessive_lengths (void)
{
  static const uint8_t array32[] = { 0xdd, 0x0f, 0xff, 0xff, 0xff, 1, 2 };
  static const uint8_t map16[] = { 0xde, 0xff, 0xff, 1, 2 };
  static const uint8_t nested[] = { 0x92, 1, 0xdc, 0x00, 0x03, 1, 2 };
  static const uint8_t bin32[] = { 0xc6, 0xff, 0xff, 0xff, 0xff, 1 };
  static const uint8_t valid[] = { 0x92, 1, 0xdc, 0x00, 0x02, 1, 2, 99 };

  g_assert_cmpuint (hs_unpack_object_len (array32, sizeof array32), ==, 0);
  g_assert_cmpuint (hs_unpack_object_len (map16, sizeof map16), ==, 0);
  g_assert_cmpuint (hs_unpack_object_len (nested, sizeof nested), ==, 0);
  g_assert_cmpuint (hs_unpack_object_len (bin32, sizeof bin32), ==, 0);
  g_assert_cmpuint (hs_unpack_object_len (valid, sizeof valid), ==,
                    sizeof valid - 1);
}

static size_t
mutate (GRand *rand, uint8_t *data, size_t len)
{
  int edits = g_rand_int_range (rand, 1, 8);

  for (int i = 0; i < edits && len > 0; i++)
    {
      size_t offset = (size_t)g_rand_int_range (rand, 0, (gint32)len);

      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          data[offset] = (uint8_t)g_rand_int (rand);
          break;
        case 1:
          data[offset] ^= (uint8_t)(1u << g_rand_int_range (rand, 0, 8));
          break;
        case 2:
          len = offset;
          break;
        case 3:
          if (len < DATA_SIZE)
            {
              memmove (data + offset + 1, data + offset, len - offset);
              data[offset] = (uint8_t)g_rand_int (rand);
              len++;
            }
          break;
        }
    }
  return len;
}

/* The decoders return on any mutated input.  Only a build with sanitizers
   detects invalid memory accesses here.  */
static void
test_mutations (void)
{
  static const char document[]
      = "{\"service\": \"a\", \"kind\": \"coap\", \"address\": "
        "\"127.0.0.1:1\",\n \"requests\": [{\"method\": \"GET\", "
        "\"path\": \"/x\", \"deadline_ms\": 500}]}";
  HS_AUTO_TALLOC void *root = talloc_new (NULL);
  g_autoptr (GRand) rand = g_rand_new_with_seed (3);
  uint8_t *samples[9];
  size_t lens[9];
  size_t accepted = 0;

  samples[0] = talloc_array (root, uint8_t, HS_PACKET_HEADER_MAX);
  lens[0] = hs_packet_encode (&sample_header, samples[0]);
  samples[1] = talloc_memdup (root, sample_coap, sizeof sample_coap);
  lens[1] = sizeof sample_coap;
  samples[2] = talloc_memdup (root, document, sizeof document - 1);
  lens[2] = sizeof document - 1;
  samples[8] = talloc_array (root, uint8_t, HS_FLOW_MESSAGE_SIZE_MAX);
  lens[8] = hs_flow_message_encode (&sample_flow_message, samples[8]);
  for (size_t i = 3; i < 8; i++)
    samples[i] = hs_message_encode (
        root, sample_message (root, (enum hs_message_type) (i - 2)), &lens[i]);
  for (int i = 0; i < MUTATIONS; i++)
    {
      size_t sample = (size_t)g_rand_int_range (rand, 0, 9);
      uint8_t data[DATA_SIZE + 1];
      size_t len;
      void *scratch = talloc_new (root);
      struct hs_packet_header header;
      struct hs_coap_message coap;
      struct hs_flow_message flow_message;

      memcpy (data, samples[sample], lens[sample]);
      len = mutate (rand, data, lens[sample]);
      accepted += hs_packet_decode (data, len, &header) > 0;
      accepted += hs_flow_message_decode (data, len, &flow_message);
      accepted += hs_coap_parse (data, len, &coap);
      accepted += hs_message_decode (scratch, data, len, NULL) != NULL;
      accepted += hs_document_parse (scratch, (char *)data, len, NULL) != NULL;
      talloc_free (scratch);
    }
  /* With fewer valid mutants, only the first checks of the decoders would be
     tested.  */
  g_assert_cmpuint (accepted, >, MUTATIONS / 100);
}

/* Public definitions.  */

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  hs_coap_init ();
  g_test_add_func ("/wire/packet", test_packet_round_trip);
  g_test_add_func ("/wire/flow-message", test_flow_message_round_trip);
  g_test_add_func ("/wire/flow-message-full", test_flow_message_largest);
  g_test_add_func ("/wire/messages", test_message_round_trip);
  g_test_add_func ("/wire/coap", test_coap_parse);
  g_test_add_func ("/wire/coap-refusal", test_coap_error_response);
  g_test_add_func ("/wire/false-lengths", test_excessive_lengths);
  g_test_add_func ("/wire/mutations", test_mutations);
  return g_test_run ();
}
