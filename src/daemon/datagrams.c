/* datagrams.c -- a UDP socket for datagrams of any size.  */

#include "daemon/datagrams.h"
#include "base/addr.h"
#include "base/worker.h"
#include "daemon/receiver.h"

#include <string.h>
#include <talloc.h>
#include <unistd.h>

/* Types.  */

#define DATAGRAM_SIZE_MAX 65536 /* Bytes.  */
#define SEND_QUEUE_LEN 1024     /* Datagrams.  */

struct hs_datagrams
{
  int fd;
  struct hs_worker *receive_worker;
  struct hs_worker *send_worker;
  struct hs_ring *in;
  struct hs_ring *out;
  struct hs_counter *received;
  struct hs_counter *sent;
  struct hs_counter *dropped;
  uint8_t buffer[DATAGRAM_SIZE_MAX]; /* Used by the receiving thread only.  */
};

/* Private functions.  */

static void on_readable (struct tevent_context *events, struct tevent_fd *fde,
                         uint16_t flags, void *ctx);
static void send_datagram (void *ctx, void *item);
static void free_all (struct hs_ring *ring);

/* Public definitions.  */

struct hs_datagrams *
hs_datagrams_create (const struct hs_addr *address, struct hs_ring *in,
                     struct hs_metrics *metrics, GError **error)
{
  int fd = hs_socket_bind (address, error);
  struct hs_datagrams *datagrams;

  if (fd < 0)
    return NULL;
  datagrams = talloc_zero (NULL, struct hs_datagrams);
  datagrams->fd = fd;
  datagrams->in = in;
  datagrams->out = hs_ring_create (datagrams, SEND_QUEUE_LEN);
  datagrams->receive_worker = hs_worker_create ("receive");
  datagrams->send_worker = hs_worker_create ("send");
  datagrams->received = hs_counter_create (metrics, "datagrams_received_total",
                                           "Datagrams received.");
  datagrams->sent = hs_counter_create (metrics, "datagrams_sent_total",
                                       "Datagrams passed to the kernel.");
  datagrams->dropped
      = hs_counter_create (metrics, "datagrams_dropped_total",
                           "Datagrams dropped because a queue was full or "
                           "sending failed.");
  tevent_add_fd (hs_worker_event_context (datagrams->receive_worker),
                 datagrams->receive_worker, fd, TEVENT_FD_READ, on_readable,
                 datagrams);
  hs_worker_watch_ring (datagrams->send_worker, datagrams->out, send_datagram,
                        datagrams);
  return datagrams;
}

void
hs_datagrams_destroy (struct hs_datagrams *datagrams)
{
  hs_worker_destroy (datagrams->receive_worker);
  hs_worker_destroy (datagrams->send_worker);
  free_all (datagrams->out);
  close (datagrams->fd);
  talloc_free (datagrams);
}

void
hs_datagrams_start (struct hs_datagrams *datagrams)
{
  hs_worker_start (datagrams->send_worker);
  hs_worker_start (datagrams->receive_worker);
}

void
hs_datagrams_stop (struct hs_datagrams *datagrams)
{
  void *item;

  hs_worker_stop (datagrams->receive_worker);
  hs_worker_stop (datagrams->send_worker);
  while ((item = hs_ring_pop (datagrams->out)) != NULL)
    send_datagram (datagrams, item);
}

struct hs_datagram *
hs_datagram_create (const struct hs_addr *peer, const uint8_t *data,
                    size_t len)
{
  struct hs_datagram *datagram
      = talloc_size (NULL, sizeof (struct hs_datagram) + len);

  datagram->peer = *peer;
  datagram->len = len;
  memcpy (datagram->data, data, len);
  return datagram;
}

void
hs_datagrams_send (struct hs_datagrams *datagrams,
                   struct hs_datagram *datagram)
{
  if (hs_ring_push (datagrams->out, datagram))
    return;
  hs_counter_add (datagrams->dropped, 1);
  talloc_free (datagram);
}

/* Private definitions.  */

static void
on_readable (struct tevent_context *events, struct tevent_fd *fde,
             uint16_t flags, void *ctx)
{
  struct hs_datagrams *datagrams = ctx;
  struct sockaddr_storage sockaddr;
  struct hs_addr peer;
  ssize_t len;

  (void)events;
  (void)fde;
  (void)flags;
  for (;;)
    {
      socklen_t sockaddr_len = sizeof sockaddr;
      struct hs_datagram *datagram;

      len = recvfrom (datagrams->fd, datagrams->buffer, DATAGRAM_SIZE_MAX,
                      MSG_DONTWAIT, (struct sockaddr *)&sockaddr,
                      &sockaddr_len);
      if (len < 0)
        return;
      if (!hs_addr_from_sockaddr (&sockaddr, &peer))
        continue;
      hs_counter_add (datagrams->received, 1);
      datagram = hs_datagram_create (&peer, datagrams->buffer, (size_t)len);
      if (hs_ring_push (datagrams->in, datagram))
        continue;
      hs_counter_add (datagrams->dropped, 1);
      talloc_free (datagram);
    }
}

static void
send_datagram (void *ctx, void *item)
{
  struct hs_datagrams *datagrams = ctx;
  struct hs_datagram *datagram = item;
  struct sockaddr_storage sockaddr;
  socklen_t sockaddr_len = hs_addr_to_sockaddr (&datagram->peer, &sockaddr);

  if (sendto (datagrams->fd, datagram->data, datagram->len, MSG_DONTWAIT,
              (struct sockaddr *)&sockaddr, sockaddr_len)
      >= 0)
    hs_counter_add (datagrams->sent, 1);
  else
    hs_counter_add (datagrams->dropped, 1);
  talloc_free (datagram);
}

static void
free_all (struct hs_ring *ring)
{
  void *item;

  while ((item = hs_ring_pop (ring)) != NULL)
    talloc_free (item);
}
