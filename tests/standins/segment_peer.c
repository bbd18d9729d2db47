/* segment_peer.c -- stand-ins for both ends of segment flows, in the
   platform's packets.

   "upstream": answers requests on the flows it holds with its name, and gives
   back what it does not hold.  "caller": opens flows and sends requests on
   them, each packet by an entry drawn at random; prints what became of them.
 */

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

#define HEAD_SIZE 32
#define PACKET_SIZE 1500
#define FLOWS_MAX 4096
#define POLL_MS 5
#define SYN_COPY_1_MS 200
#define SYN_COPY_2_MS 600
#define SYN_END_MS 1400
#define RESEND_MS 200
#define RESEND_MAX_MS 1600
#define RESENDS_MAX 8
#define RETRIES_MAX 2
#define FIRST_PORT 2000

struct peer_settings
{
  struct hs_addr listen;
  struct hs_addr outbound; /* upstream  */
  struct hs_addrs entries; /* caller  */
  struct hs_addr address;  /* caller: of the service.  */
  const char *name;        /* upstream  */
  uint64_t flows;
  uint64_t requests; /* On each flow.  */
  uint64_t pause_ms; /* Between them.  */
  uint64_t seed;
};

enum caller_state
{
  CALLER_OPENING,
  CALLER_WAITING, /* For an answer.  */
  CALLER_PAUSING,
  CALLER_DONE
};

struct caller_flow
{
  enum caller_state state;
  uint16_t port;
  uint32_t seq;
  uint32_t ack;
  uint64_t since; /* ms of the SYN, the request or the pause.  */
  uint64_t due;   /* ms of the next copy.  */
  unsigned int sent;
  unsigned int tries; /* Of the present request.  */
  uint64_t answered;  /* Requests.  */
  char holder[32];    /* Who answered last on this flow; "": nobody.  */
};

struct totals
{
  uint64_t answered;
  uint64_t failed;
  uint64_t resets;
  uint64_t moved; /* Flows answered by two upstreams.  */
  uint64_t retried;
};

struct peer
{
  struct peer_settings settings;
  int fd;
  uint64_t random;
  uint16_t next_port;
  struct caller_flow flows[FLOWS_MAX];
  struct totals totals;
  size_t held_len;
  struct hs_segment_key held[FLOWS_MAX]; /* By the upstream.  */
};

static struct peer peer;

static const struct hs_setting settings_table[] = {
  { "listen", HS_SETTING_ADDR, NULL, 0, 0,
    offsetof (struct peer_settings, listen), "IP:PORT of this end" },
  { "outbound", HS_SETTING_ADDR, "127.0.0.1:1", 0, 0,
    offsetof (struct peer_settings, outbound), "upstream: of its agent" },
  { "entries", HS_SETTING_ADDRS, "", 0, 0,
    offsetof (struct peer_settings, entries), "caller: of the entries" },
  { "address", HS_SETTING_ADDR, "127.0.0.1:1", 0, 0,
    offsetof (struct peer_settings, address), "caller: of the service" },
  { "name", HS_SETTING_NAME, "peer", 0, 0,
    offsetof (struct peer_settings, name), "upstream: its name" },
  { "flows", HS_SETTING_UINT, "10", 1, FLOWS_MAX,
    offsetof (struct peer_settings, flows), "caller: flows" },
  { "requests", HS_SETTING_UINT, "10", 1, 100000,
    offsetof (struct peer_settings, requests), "caller: requests a flow" },
  { "pause-ms", HS_SETTING_UINT, "50", 0, 60000,
    offsetof (struct peer_settings, pause_ms), "caller: between requests" },
  { "seed", HS_SETTING_UINT, "1", 1, UINT32_MAX,
    offsetof (struct peer_settings, seed), "of what is drawn" },
};

static const struct hs_program program
    = { "segment_peer -- an end of segment flows", "upstream|caller",
        settings_table, G_N_ELEMENTS (settings_table) };

/* Private functions.  */

static uint64_t
draw (void)
{
  peer.random ^= peer.random << 13;
  peer.random ^= peer.random >> 7;
  peer.random ^= peer.random << 17;
  return peer.random;
}

static void
send_packet (const struct hs_addr *to, const struct hs_segment *segment,
             const char *payload)
{
  uint8_t bytes[PACKET_SIZE] = { 0 };
  struct sockaddr_storage name;
  socklen_t name_len = hs_addr_to_sockaddr (to, &name);
  size_t len = hs_platform_encode_segment_header (segment, bytes);

  memcpy (bytes + len, payload, segment->payload_len);
  if (sendto (peer.fd, bytes, len + segment->payload_len, 0,
              (struct sockaddr *)&name, name_len)
      < 0)
    perror ("sendto");
}

/* False: nothing has come.  */
static bool
receive (struct hs_segment *segment, char *payload)
{
  uint8_t bytes[PACKET_SIZE];
  ssize_t len = recv (peer.fd, bytes, sizeof bytes, MSG_DONTWAIT);

  if (len < 0
      || !hs_platform_decode_segment (NULL, bytes, (size_t)len, segment))
    return false;
  memcpy (payload, bytes + HEAD_SIZE, segment->payload_len);
  payload[segment->payload_len] = '\0';
  return true;
}

/* The upstream.  */

static size_t
find_held (const struct hs_segment_key *key)
{
  size_t i = 0;

  while (i < peer.held_len
         && !(hs_addr_equal (&peer.held[i].caller, &key->caller)
              && hs_addr_equal (&peer.held[i].address, &key->address)))
    i++;
  return i;
}

static void
answer (const struct hs_segment *segment, unsigned int flags,
        const char *payload)
{
  struct hs_segment reply = { .from = segment->to,
                              .to = segment->from,
                              .flags = flags,
                              .seq = (uint32_t)draw (),
                              .ack = segment->seq + 1,
                              .payload_len = (uint16_t)strlen (payload) };

  send_packet (&peer.settings.outbound, &reply, payload);
}

static void
serve (struct hs_segment *segment, const char *payload)
{
  struct hs_segment_key key = hs_segment_key (segment, true);
  size_t at = find_held (&key);
  g_autofree char *text = NULL;

  if (hs_segment_is_syn (segment) && peer.held_len < FLOWS_MAX)
    {
      if (at == peer.held_len)
        peer.held[peer.held_len++] = key;
      answer (segment, HS_SEGMENT_SYN | HS_SEGMENT_ACK, "");
      return;
    }
  if (at == peer.held_len)
    {
      segment->flags |= HS_SEGMENT_RETURNED;
      send_packet (&peer.settings.outbound, segment, payload);
      return;
    }
  if ((segment->flags & HS_SEGMENT_FIN) != 0)
    {
      answer (segment, HS_SEGMENT_FIN | HS_SEGMENT_ACK, "");
      peer.held[at] = peer.held[--peer.held_len];
      return;
    }
  if (segment->payload_len == 0)
    return;
  text = g_strdup_printf ("%s %s", peer.settings.name, payload);
  answer (segment, HS_SEGMENT_ACK, text);
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
      while (receive (&segment, payload))
        serve (&segment, payload);
    }
}

/* The caller.  */

static void
send_flow (struct caller_flow *flow, unsigned int flags, const char *payload)
{
  struct hs_segment segment = { .from = peer.settings.listen,
                                .to = peer.settings.address,
                                .flags = flags,
                                .seq = flow->seq,
                                .ack = flow->ack,
                                .payload_len = (uint16_t)strlen (payload) };
  const struct hs_addrs *entries = &peer.settings.entries;

  segment.from.port = flow->port;
  if (flags == HS_SEGMENT_SYN)
    segment.ack = flow->sent;
  send_packet (&entries->values[draw () % entries->len], &segment, payload);
  flow->sent++;
}

static void
open_flow (struct caller_flow *flow, uint64_t now)
{
  flow->state = CALLER_OPENING;
  flow->port = peer.next_port++;
  flow->seq = (uint32_t)draw ();
  flow->holder[0] = '\0';
  flow->since = now;
  flow->sent = 0;
  flow->due = now + SYN_COPY_1_MS;
  send_flow (flow, HS_SEGMENT_SYN, "");
}

static void
send_request (struct caller_flow *flow, uint64_t now)
{
  g_autofree char *id = g_strdup_printf ("%u-%llu", flow->port,
                                         (unsigned long long)flow->answered);

  flow->state = CALLER_WAITING;
  flow->since = now;
  flow->sent = 0;
  flow->due = now + RESEND_MS;
  send_flow (flow, HS_SEGMENT_ACK, id);
}

static void
end_flow (struct caller_flow *flow)
{
  send_flow (flow, HS_SEGMENT_FIN | HS_SEGMENT_ACK, "");
  flow->state = CALLER_DONE;
}

static void
finish_request (struct caller_flow *flow, uint64_t now)
{
  flow->answered++;
  flow->tries = 0;
  if (flow->answered == peer.settings.requests)
    {
      end_flow (flow);
      return;
    }
  flow->state = CALLER_PAUSING;
  flow->due = now + peer.settings.pause_ms;
}

/* The try has failed: another one on a flow of its own.  */
static void
retry (struct caller_flow *flow, uint64_t now)
{
  if (flow->tries++ < RETRIES_MAX)
    peer.totals.retried++;
  else
    {
      peer.totals.failed++;
      flow->answered++;
      flow->tries = 0;
    }
  if (flow->answered >= peer.settings.requests)
    flow->state = CALLER_DONE;
  else
    open_flow (flow, now);
}

static void
take_answer (struct caller_flow *flow, const char *payload, uint64_t now)
{
  char holder[sizeof flow->holder] = "";
  unsigned int port = 0;
  unsigned long long number = 0;

  if (flow->state != CALLER_WAITING
      || sscanf (payload, "%31s %u-%llu", holder, &port, &number) != 3
      || port != flow->port || number != flow->answered)
    return;
  if (flow->holder[0] != '\0' && strcmp (flow->holder, holder) != 0)
    peer.totals.moved++;
  g_strlcpy (flow->holder, holder, sizeof flow->holder);
  peer.totals.answered++;
  finish_request (flow, now);
}

static void
take (const struct hs_segment *segment, const char *payload, uint64_t now)
{
  for (size_t i = 0; i < peer.settings.flows; i++)
    {
      struct caller_flow *flow = &peer.flows[i];

      if (flow->port != segment->to.port || flow->state == CALLER_DONE)
        continue;
      if ((segment->flags & HS_SEGMENT_RST) != 0)
        {
          peer.totals.resets++;
          retry (flow, now);
          return;
        }
      if (flow->state == CALLER_OPENING
          && (segment->flags & HS_SEGMENT_SYN) != 0)
        {
          flow->ack = segment->seq + 1;
          flow->seq++;
          send_request (flow, now);
          return;
        }
      take_answer (flow, payload, now);
      return;
    }
}

static void
tick (struct caller_flow *flow, uint64_t now)
{
  if (flow->state == CALLER_DONE || now < flow->due)
    return;
  if (flow->state == CALLER_PAUSING)
    {
      send_request (flow, now);
      return;
    }
  if (flow->state == CALLER_OPENING && now - flow->since >= SYN_END_MS)
    {
      retry (flow, now);
      return;
    }
  if (flow->state == CALLER_OPENING)
    {
      flow->due = flow->since + (flow->sent == 1 ? SYN_COPY_2_MS : SYN_END_MS);
      send_flow (flow, HS_SEGMENT_SYN, "");
      return;
    }
  if (flow->sent > RESENDS_MAX)
    {
      retry (flow, now);
      return;
    }
  {
    g_autofree char *id = g_strdup_printf ("%u-%llu", flow->port,
                                           (unsigned long long)flow->answered);
    uint64_t wait = RESEND_MS << (flow->sent < 4 ? flow->sent : 4);

    flow->due = now + (wait < RESEND_MAX_MS ? wait : RESEND_MAX_MS);
    send_flow (flow, HS_SEGMENT_ACK, id);
  }
}

static bool
is_done (void)
{
  for (size_t i = 0; i < peer.settings.flows; i++)
    if (peer.flows[i].state != CALLER_DONE)
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
    open_flow (&peer.flows[i], hs_clock_now ());
  while (!is_done ())
    {
      poll (&pollfd, 1, POLL_MS);
      while (receive (&segment, payload))
        take (&segment, payload, hs_clock_now ());
      for (size_t i = 0; i < peer.settings.flows; i++)
        tick (&peer.flows[i], hs_clock_now ());
    }
  printf ("answered=%llu failed=%llu resets=%llu moved=%llu retried=%llu\n",
          (unsigned long long)peer.totals.answered,
          (unsigned long long)peer.totals.failed,
          (unsigned long long)peer.totals.resets,
          (unsigned long long)peer.totals.moved,
          (unsigned long long)peer.totals.retried);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct hs_args args = { 0 };
  g_autoptr (GError) error = NULL;

  hs_settings_load_or_exit (&program, argc, argv, &peer.settings, &args);
  peer.random = peer.settings.seed;
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
  fprintf (stderr, "segment_peer: takes upstream, or caller with --entries\n");
  return HS_EXIT_USAGE;
}
