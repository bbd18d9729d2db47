/* link.c -- the thread of the control link, on ZeroMQ.  */

#include "daemon/link.h"
#include "base/auto.h"
#include "base/worker.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

/* Types.  */

#define MESSAGES_QUEUED 65536   /* Capacity of the ring of envelopes.  */
#define CONNECTED_SEND_QUEUE 16 /* Messages queued in a node's socket.  */
#define LINGER_MS 200
#define ENDPOINT_SIZE (HS_ADDR_TEXT_SIZE + 8)

struct hs_link
{
  struct hs_worker *worker;
  void *context;
  void *socket;
  bool is_router; /* Bound: messages carry their peer's id.  */
  struct hs_ring *in;
  struct hs_ring *out;
  struct hs_counter *received;
  struct hs_counter *received_bytes;
  struct hs_counter *sent;
  struct hs_counter *sent_bytes;
  struct hs_counter *malformed;
  struct hs_counter *dropped;
};

/* Private functions.  */

static struct hs_link *create_link (int type, struct hs_ring *in,
                                    struct hs_metrics *metrics);
static bool open_endpoint (struct hs_link *link, const struct hs_addr *address,
                           bool binds, GError **error);
static void on_readable (struct tevent_context *events, struct tevent_fd *fde,
                         uint16_t flags, void *ctx);
static void on_envelope (void *ctx, void *item);
static void receive_all (void *ctx);
static bool receive_one (struct hs_link *link);
static void handle_frame (struct hs_link *link, struct hs_envelope *envelope,
                          zmq_msg_t *frame);
static void send_envelope (struct hs_link *link,
                           const struct hs_envelope *envelope);

/* Public definitions.  */

struct hs_link *
hs_link_connect (const struct hs_addr *control, struct hs_ring *in,
                 struct hs_metrics *metrics, GError **error)
{
  struct hs_link *link = create_link (ZMQ_DEALER, in, metrics);
  int queue = CONNECTED_SEND_QUEUE;
  int immediate = 1;

  /* Messages are repeated, so those queued while disconnected would be stale
     on reconnection: keep the queue short and queue only when connected.  */
  zmq_setsockopt (link->socket, ZMQ_SNDHWM, &queue, sizeof queue);
  zmq_setsockopt (link->socket, ZMQ_IMMEDIATE, &immediate, sizeof immediate);
  return open_endpoint (link, control, false, error) ? link : NULL;
}

struct hs_link *
hs_link_bind (const struct hs_addr *address, struct hs_ring *in,
              struct hs_metrics *metrics, GError **error)
{
  struct hs_link *link = create_link (ZMQ_ROUTER, in, metrics);

  link->is_router = true;
  return open_endpoint (link, address, true, error) ? link : NULL;
}

void
hs_link_destroy (struct hs_link *link)
{
  void *item;

  while ((item = hs_ring_pop (link->out)) != NULL)
    talloc_free (item);
  hs_worker_destroy (link->worker);
  zmq_close (link->socket);
  zmq_ctx_term (link->context);
  talloc_free (link);
}

void
hs_link_start (struct hs_link *link)
{
  hs_worker_start (link->worker);
}

void
hs_link_stop (struct hs_link *link)
{
  void *item;

  hs_worker_stop (link->worker);
  while ((item = hs_ring_pop (link->out)) != NULL)
    on_envelope (link, item);
}

struct hs_envelope *
hs_envelope_create (void)
{
  struct hs_envelope *envelope = talloc_zero (NULL, struct hs_envelope);

  envelope->message = talloc_zero (envelope, struct hs_message);
  return envelope;
}

void
hs_link_send (struct hs_link *link, struct hs_envelope *envelope)
{
  if (hs_ring_push (link->out, envelope))
    return;
  hs_counter_add (link->dropped, 1);
  talloc_free (envelope);
}

/* Private definitions.  */

static struct hs_link *
create_link (int type, struct hs_ring *in, struct hs_metrics *metrics)
{
  struct hs_link *link = talloc_zero (NULL, struct hs_link);
  int linger = LINGER_MS;
  int ipv6 = 1;
  int64_t size = HS_MESSAGE_SIZE_MAX;

  link->worker = hs_worker_create ("link");
  link->context = zmq_ctx_new ();
  link->socket = zmq_socket (link->context, type);
  link->in = in;
  link->out = hs_ring_create (link, MESSAGES_QUEUED);
  link->received = hs_counter_create (metrics, "link_received_total",
                                      "Control messages received.");
  link->received_bytes = hs_counter_create (
      metrics, "link_received_bytes_total", "Bytes of control messages.");
  link->sent = hs_counter_create (metrics, "link_sent_total",
                                  "Control messages sent.");
  link->sent_bytes = hs_counter_create (metrics, "link_sent_bytes_total",
                                        "Bytes of control messages.");
  link->malformed = hs_counter_create (metrics, "link_malformed_total",
                                       "Control messages dropped because "
                                       "they do not decode.");
  link->dropped
      = hs_counter_create (metrics, "link_dropped_total",
                           "Control messages dropped because there was no "
                           "connection or a queue was full.");
  zmq_setsockopt (link->socket, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (link->socket, ZMQ_IPV6, &ipv6, sizeof ipv6);
  zmq_setsockopt (link->socket, ZMQ_MAXMSGSIZE, &size, sizeof size);
  return link;
}

/* Binds or connects the socket to ADDRESS and registers the event handlers.
   Destroys LINK and returns false on failure.  */
static bool
open_endpoint (struct hs_link *link, const struct hs_addr *address, bool binds,
               GError **error)
{
  char text[HS_ADDR_TEXT_SIZE];
  char endpoint[ENDPOINT_SIZE];
  int fd;
  size_t fd_size = sizeof fd;

  hs_addr_format (address, text);
  g_snprintf (endpoint, sizeof endpoint, "tcp://%s", text);
  if ((binds ? zmq_bind (link->socket, endpoint)
             : zmq_connect (link->socket, endpoint))
      != 0)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM, "%s %s: %s",
                   binds ? "cannot bind" : "cannot connect to", endpoint,
                   zmq_strerror (errno));
      hs_link_destroy (link);
      return false;
    }
  zmq_getsockopt (link->socket, ZMQ_FD, &fd, &fd_size);
  tevent_add_fd (hs_worker_event_context (link->worker), link->worker, fd,
                 TEVENT_FD_READ, on_readable, link);
  hs_worker_watch_ring (link->worker, link->out, on_envelope, link);
  /* The descriptor of ZeroMQ is edge-triggered, and sending may consume the
     edge: receive after every run of sent envelopes as well.  */
  hs_worker_set_after_items (link->worker, receive_all, link);
  return true;
}

static void
on_readable (struct tevent_context *events, struct tevent_fd *fde,
             uint16_t flags, void *ctx)
{
  (void)events;
  (void)fde;
  (void)flags;
  receive_all (ctx);
}

static void
on_envelope (void *ctx, void *item)
{
  HS_AUTO_TALLOC struct hs_envelope *envelope = item;

  send_envelope (ctx, envelope);
}

static void
receive_all (void *ctx)
{
  struct hs_link *link = ctx;

  while (receive_one (link))
    continue;
}

static bool
receive_one (struct hs_link *link)
{
  HS_AUTO_TALLOC struct hs_envelope *envelope
      = talloc_zero (NULL, struct hs_envelope);
  zmq_msg_t frame;
  int more = 1;

  if (link->is_router)
    {
      int len = zmq_recv (link->socket, envelope->peer_id, HS_PEER_ID_SIZE,
                          ZMQ_DONTWAIT);

      if (len < 0)
        return false;
      envelope->peer_id_len
          = (size_t)len < HS_PEER_ID_SIZE ? (size_t)len : HS_PEER_ID_SIZE;
    }
  while (more)
    {
      zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, link->socket, ZMQ_DONTWAIT) < 0)
        return false;
      more = zmq_msg_more (&frame);
      if (!more)
        {
          handle_frame (link, envelope, &frame);
          envelope = NULL;
        }
      zmq_msg_close (&frame);
    }
  return true;
}

/* Decodes FRAME into ENVELOPE, takes ownership of it and pushes it to
   link->in.  */
static void
handle_frame (struct hs_link *link, struct hs_envelope *envelope,
              zmq_msg_t *frame)
{
  size_t len = zmq_msg_size (frame);

  hs_counter_add (link->received, 1);
  hs_counter_add (link->received_bytes, len);
  envelope->message
      = hs_message_decode (envelope, zmq_msg_data (frame), len, NULL);
  if (envelope->message == NULL)
    hs_counter_add (link->malformed, 1);
  if (envelope->message == NULL || !hs_ring_push (link->in, envelope))
    talloc_free (envelope);
}

static void
send_envelope (struct hs_link *link, const struct hs_envelope *envelope)
{
  size_t len;
  HS_AUTO_TALLOC uint8_t *bytes
      = hs_message_encode (NULL, envelope->message, &len);

  if (link->is_router
      && zmq_send (link->socket, envelope->peer_id, envelope->peer_id_len,
                   ZMQ_SNDMORE | ZMQ_DONTWAIT)
             < 0)
    {
      hs_counter_add (link->dropped, 1);
      return;
    }
  if (zmq_send (link->socket, bytes, len, ZMQ_DONTWAIT) < 0)
    {
      hs_counter_add (link->dropped, 1);
      return;
    }
  hs_counter_add (link->sent, 1);
  hs_counter_add (link->sent_bytes, len);
}
