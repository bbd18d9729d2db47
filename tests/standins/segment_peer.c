/* segment_peer.c -- stand-in for either end of segment flows, in the packet
   format of the platform.

   "upstream": answers each request on a flow that it owns with its name and
   the payload.  Sends segments of other flows, and SYNs beyond FLOWS_MAX
   flows, back to its agent, marked HS_SEGMENT_RETURNED.
   "caller": opens flows and sends requests on them, each packet to a random
   entry, and prints the outcomes as one line of NAME=VALUE.  */

#include "base/addr.h"
#include "base/settings.h"
#include "base/worker.h"
#include "daemon/receiver.h"
#include "platform/platform.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Types.  */

#define HEADER_SIZE 32
#define PACKET_SIZE 1500
#define FLOWS_MAX 4096
#define POLL_MS 5
#define SYN_COPY_2_AT_MS 200 /* After the first SYN.  */
#define SYN_COPY_3_AT_MS 600 /* After the first SYN.  */
#define SYN_TIMEOUT_MS 1400  /* After the first SYN.  */
#define RESEND_DELAY_MS 200  /* Doubled with each copy of a request.  */
#define RESEND_DELAY_MAX_MS 1600
#define RESENDS_MAX 8
#define RETRIES_MAX 2
#define FIRST_PORT 2000

struct peer_settings
{
  struct hs_addr listen;
  struct hs_addr outbound; /* upstream: its agent's address for segments.  */
  struct hs_addrs entries; /* caller: one is picked for each packet.  */
  struct hs_addr address;  /* caller: of the service.  */
  const char *name;        /* upstream: put into responses.  */
  uint64_t flows;          /* caller: number of flows.  */
  uint64_t requests;       /* caller: on each flow.  */
  uint64_t pause_ms;       /* caller: between the requests of a flow.  */
  uint64_t seed;
};

enum flow_state
{
  FLOW_OPENING,
  FLOW_WAITING, /* Waits for a response.  */
  FLOW_PAUSING,
  FLOW_DONE
};

struct caller_flow
{
  enum flow_state state;
  uint16_t port;
  uint32_t seq;
  uint32_t ack;
  uint64_t started_at_ms;       /* Time of the first SYN or of the request.  */
  uint64_t next_action_at_ms;   /* Next copy, or end of the pause.  */
  unsigned int copies_sent;     /* Copies of the SYN or of the request.  */
  unsigned int failed_attempts; /* Failed attempts of the current request.  */
  uint64_t finished;            /* Requests, answered or failed.  */
  char upstream_name[32]; /* Upstream of the last response; "": none yet.  */
};

struct counts
{
  uint64_t answered;
  uint64_t failed;
  uint64_t resets;
  uint64_t moved;   /* Changes of the upstream that answers on a flow.  */
  uint64_t retried; /* Attempts after the first one of a request.  */
};

struct peer
{
  struct peer_settings settings;
  int fd;
  uint64_t random_state;
  uint16_t next_port;
  struct caller_flow flows[FLOWS_MAX];
  struct counts counts;
  size_t owned_len;
  struct hs_segment_key owned[FLOWS_MAX]; /* Open flows of the upstream.  */
};

static struct peer peer;

static const struct hs_setting settings_table[] = {
  { "listen", HS_SETTING_ADDR, NULL, 0, 0,
    offsetof (struct peer_settings, listen), "IP:PORT to listen on" },
  { "outbound", HS_SETTING_ADDR, "127.0.0.1:1", 0, 0,
    offsetof (struct peer_settings, outbound),
    "upstream: IP:PORT of its agent" },
  { "entries", HS_SETTING_ADDRS, "", 0, 0,
    offsetof (struct peer_settings, entries),
    "caller: IP:PORT,... of the entries" },
  { "address", HS_SETTING_ADDR, "127.0.0.1:1", 0, 0,
    offsetof (struct peer_settings, address),
    "caller: IP:PORT of the service" },
  { "name", HS_SETTING_NAME, "peer", 0, 0,
    offsetof (struct peer_settings, name), "upstream: name in responses" },
  { "flows", HS_SETTING_UINT, "10", 1, FLOWS_MAX,
    offsetof (struct peer_settings, flows), "caller: number of flows" },
  { "requests", HS_SETTING_UINT, "10", 1, 100000,
    offsetof (struct peer_settings, requests),
    "caller: requests on each flow" },
  { "pause-ms", HS_SETTING_UINT, "50", 0, 60000,
    offsetof (struct peer_settings, pause_ms),
    "caller: ms between the requests of a flow" },
  { "seed", HS_SETTING_UINT, "1", 1, UINT32_MAX,
    offsetof (struct peer_settings, seed), "seed of random numbers" },
};

static const struct hs_program program
    = { "segment_peer -- stand-in for an end of segment flows",
        "upstream|caller", settings_table, G_N_ELEMENTS (settings_table) };

/* Private functions.  */

/* Returns the next number of a xorshift64 generator.  */
static uint64_t
next_random (void)
{
  peer.random_state ^= peer.random_state << 13;
  peer.random_state ^= peer.random_state >> 7;
  peer.random_state ^= peer.random_state << 17;
  return peer.random_state;
}

static void
send_segment (const struct hs_addr *to, const struct hs_segment *segment,
              const char *payload)
{
  uint8_t bytes[PACKET_SIZE] = { 0 };
  struct sockaddr_storage destination;
  socklen_t destination_len = hs_addr_to_sockaddr (to, &destination);
  size_t len = hs_platform_encode_segment_header (segment, bytes);

  memcpy (bytes + len, payload, segment->payload_len);
  if (sendto (peer.fd, bytes, len + segment->payload_len, 0,
              (struct sockaddr *)&destination, destination_len)
      < 0)
    perror ("sendto");
}

/* Receives and decodes a packet without waiting.  PAYLOAD must have room for
   PACKET_SIZE + 1 bytes and is terminated by NUL.  Returns false if no valid
   packet has arrived.  */
static bool
receive_segment (struct hs_segment *segment, char *payload)
{
  uint8_t bytes[PACKET_SIZE];
  ssize_t len = recv (peer.fd, bytes, sizeof bytes, MSG_DONTWAIT);

  if (len < 0
      || !hs_platform_decode_segment (NULL, bytes, (size_t)len, segment))
    return false;
  memcpy (payload, bytes + HEADER_SIZE, segment->payload_len);
  payload[segment->payload_len] = '\0';
  return true;
}

/* Upstream.  */

/* Returns the index of KEY in peer.owned, or peer.owned_len if KEY is not
   there.  */
static size_t
find_owned (const struct hs_segment_key *key)
{
  size_t i = 0;

  while (i < peer.owned_len
         && !(hs_addr_equal (&peer.owned[i].caller, &key->caller)
              && hs_addr_equal (&peer.owned[i].address, &key->address)))
    i++;
  return i;
}

/* Sends the caller of SEGMENT a segment with FLAGS and PAYLOAD.  */
static void
respond (const struct hs_segment *segment, unsigned int flags,
         const char *payload)
{
  struct hs_segment reply = { .from = segment->to,
                              .to = segment->from,
                              .flags = flags,
                              .seq = (uint32_t)next_random (),
                              .ack = segment->seq + 1,
                              .payload_len = (uint16_t)strlen (payload) };

  send_segment (&peer.settings.outbound, &reply, payload);
}

static void
handle_request_segment (struct hs_segment *segment, const char *payload)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  size_t index = find_owned (&key);
  g_autofree char *text = NULL;

  if (hs_segment_is_syn (segment) && peer.owned_len < FLOWS_MAX)
    {
      if (index == peer.owned_len)
        peer.owned[peer.owned_len++] = key;
      respond (segment, HS_SEGMENT_SYN | HS_SEGMENT_ACK, "");
      return;
    }
  if (index == peer.owned_len)
    {
      segment->flags |= HS_SEGMENT_RETURNED;
      send_segment (&peer.settings.outbound, segment, payload);
      return;
    }
  if ((segment->flags & HS_SEGMENT_FIN) != 0)
    {
      respond (segment, HS_SEGMENT_FIN | HS_SEGMENT_ACK, "");
      peer.owned[index] = peer.owned[--peer.owned_len];
      return;
    }
  if (segment->payload_len == 0)
    return;
  text = g_strdup_printf ("%s %s", peer.settings.name, payload);
  respond (segment, HS_SEGMENT_ACK, text);
}

static void
run_upstream (void)
{
  struct pollfd pollfd = { .fd = peer.fd, .events = POLLIN };
  struct hs_segment segment;
  char payload[PACKET_SIZE + 1];

  for (;;)
    {
      poll (&pollfd, 1, -1);
      while (receive_segment (&segment, payload))
        handle_request_segment (&segment, payload);
    }
}

/* Caller.  */

static void
send_flow_segment (struct caller_flow *flow, unsigned int flags,
                   const char *payload)
{
  struct hs_segment segment = { .from = peer.settings.listen,
                                .to = peer.settings.address,
                                .flags = flags,
                                .seq = flow->seq,
                                .ack = flow->ack,
                                .payload_len = (uint16_t)strlen (payload) };
  const struct hs_addrs *entries = &peer.settings.entries;

  segment.from.port = flow->port;
  /* The ACK field of a SYN holds the number of copies sent before.  */
  if (flags == HS_SEGMENT_SYN)
    segment.ack = flow->copies_sent;
  send_segment (&entries->values[next_random () % entries->len], &segment,
                payload);
  flow->copies_sent++;
}

static void
open_flow (struct caller_flow *flow, uint64_t now_ms)
{
  flow->state = FLOW_OPENING;
  flow->port = peer.next_port++;
  flow->seq = (uint32_t)next_random ();
  flow->upstream_name[0] = '\0';
  flow->started_at_ms = now_ms;
  flow->copies_sent = 0;
  flow->next_action_at_ms = now_ms + SYN_COPY_2_AT_MS;
  send_flow_segment (flow, HS_SEGMENT_SYN, "");
}

static void
send_request (struct caller_flow *flow, uint64_t now_ms)
{
  g_autofree char *id = g_strdup_printf ("%u-%llu", flow->port,
                                         (unsigned long long)flow->finished);

  flow->state = FLOW_WAITING;
  flow->started_at_ms = now_ms;
  flow->copies_sent = 0;
  flow->next_action_at_ms = now_ms + RESEND_DELAY_MS;
  send_flow_segment (flow, HS_SEGMENT_ACK, id);
}

static void
close_flow (struct caller_flow *flow)
{
  send_flow_segment (flow, HS_SEGMENT_FIN | HS_SEGMENT_ACK, "");
  flow->state = FLOW_DONE;
}

static void
finish_request (struct caller_flow *flow, uint64_t now_ms)
{
  flow->finished++;
  flow->failed_attempts = 0;
  if (flow->finished == peer.settings.requests)
    {
      close_flow (flow);
      return;
    }
  flow->state = FLOW_PAUSING;
  flow->next_action_at_ms = now_ms + peer.settings.pause_ms;
}

/* Call this after a failed attempt.  Tries the request again on a new flow,
   or after RETRIES_MAX retries counts it as failed and goes on with the next
   one.  */
static void
retry_request (struct caller_flow *flow, uint64_t now_ms)
{
  if (flow->failed_attempts++ < RETRIES_MAX)
    peer.counts.retried++;
  else
    {
      peer.counts.failed++;
      flow->finished++;
      flow->failed_attempts = 0;
    }
  if (flow->finished >= peer.settings.requests)
    flow->state = FLOW_DONE;
  else
    open_flow (flow, now_ms);
}

static void
handle_response (struct caller_flow *flow, const char *payload,
                 uint64_t now_ms)
{
  char upstream_name[sizeof flow->upstream_name] = "";
  unsigned int port = 0;
  unsigned long long number = 0;

  if (flow->state != FLOW_WAITING
      || sscanf (payload, "%31s %u-%llu", upstream_name, &port, &number) != 3
      || port != flow->port || number != flow->finished)
    return;
  if (flow->upstream_name[0] != '\0'
      && strcmp (flow->upstream_name, upstream_name) != 0)
    peer.counts.moved++;
  g_strlcpy (flow->upstream_name, upstream_name, sizeof flow->upstream_name);
  peer.counts.answered++;
  finish_request (flow, now_ms);
}

static void
handle_response_segment (const struct hs_segment *segment, const char *payload,
                         uint64_t now_ms)
{
  for (size_t i = 0; i < peer.settings.flows; i++)
    {
      struct caller_flow *flow = &peer.flows[i];

      if (flow->port != segment->to.port || flow->state == FLOW_DONE)
        continue;
      if ((segment->flags & HS_SEGMENT_RST) != 0)
        {
          peer.counts.resets++;
          retry_request (flow, now_ms);
          return;
        }
      if (flow->state == FLOW_OPENING
          && (segment->flags & HS_SEGMENT_SYN) != 0)
        {
          flow->ack = segment->seq + 1;
          flow->seq++;
          send_request (flow, now_ms);
          return;
        }
      handle_response (flow, payload, now_ms);
      return;
    }
}

/* Handles the due action of FLOW: sends the next request after a pause, sends
   another copy of a SYN or of a request, or gives up the attempt after
   the last copy.  */
static void
run_timer (struct caller_flow *flow, uint64_t now_ms)
{
  if (flow->state == FLOW_DONE || now_ms < flow->next_action_at_ms)
    return;
  if (flow->state == FLOW_PAUSING)
    {
      send_request (flow, now_ms);
      return;
    }
  if (flow->state == FLOW_OPENING
      && now_ms - flow->started_at_ms >= SYN_TIMEOUT_MS)
    {
      retry_request (flow, now_ms);
      return;
    }
  if (flow->state == FLOW_OPENING)
    {
      flow->next_action_at_ms
          = flow->started_at_ms
            + (flow->copies_sent == 1 ? SYN_COPY_3_AT_MS : SYN_TIMEOUT_MS);
      send_flow_segment (flow, HS_SEGMENT_SYN, "");
      return;
    }
  if (flow->copies_sent > RESENDS_MAX)
    {
      retry_request (flow, now_ms);
      return;
    }
  {
    g_autofree char *id = g_strdup_printf ("%u-%llu", flow->port,
                                           (unsigned long long)flow->finished);
    uint64_t delay_ms = RESEND_DELAY_MS
                        << (flow->copies_sent < 4 ? flow->copies_sent : 4);

    flow->next_action_at_ms
        = now_ms
          + (delay_ms < RESEND_DELAY_MAX_MS ? delay_ms : RESEND_DELAY_MAX_MS);
    send_flow_segment (flow, HS_SEGMENT_ACK, id);
  }
}

static bool
all_flows_done (void)
{
  for (size_t i = 0; i < peer.settings.flows; i++)
    if (peer.flows[i].state != FLOW_DONE)
      return false;
  return true;
}

static int
run_caller (void)
{
  struct pollfd pollfd = { .fd = peer.fd, .events = POLLIN };
  struct hs_segment segment;
  char payload[PACKET_SIZE + 1];

  peer.next_port = FIRST_PORT;
  for (size_t i = 0; i < peer.settings.flows; i++)
    open_flow (&peer.flows[i], hs_clock_monotonic ());
  while (!all_flows_done ())
    {
      poll (&pollfd, 1, POLL_MS);
      while (receive_segment (&segment, payload))
        handle_response_segment (&segment, payload, hs_clock_monotonic ());
      for (size_t i = 0; i < peer.settings.flows; i++)
        run_timer (&peer.flows[i], hs_clock_monotonic ());
    }
  printf ("answered=%llu failed=%llu resets=%llu moved=%llu retried=%llu\n",
          (unsigned long long)peer.counts.answered,
          (unsigned long long)peer.counts.failed,
          (unsigned long long)peer.counts.resets,
          (unsigned long long)peer.counts.moved,
          (unsigned long long)peer.counts.retried);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct hs_args args = { 0 };
  g_autoptr (GError) error = NULL;

  hs_settings_load_or_exit (&program, argc, argv, &peer.settings, &args);
  peer.random_state = peer.settings.seed;
  peer.fd = hs_socket_bind (&peer.settings.listen, &error);
  if (peer.fd < 0)
    {
      fprintf (stderr, "segment_peer: %s\n", error->message);
      return EXIT_FAILURE;
    }
  if (args.len == 1 && strcmp (args.values[0], "upstream") == 0)
    run_upstream ();
  if (args.len == 1 && strcmp (args.values[0], "caller") == 0
      && peer.settings.entries.len > 0)
    return run_caller ();
  fprintf (stderr, "segment_peer: needs upstream, or caller with --entries\n");
  return HS_EXIT_USAGE;
}
