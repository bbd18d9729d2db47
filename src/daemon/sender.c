/* sender.c -- the thread that sends datagrams, in batches.  */

#include "daemon/sender.h"
#include "base/addr.h"
#include "base/worker.h"

#include <errno.h>
#include <talloc.h>
#include <unistd.h>

/* Types.  */

#define CLOSES_QUEUED 131072 /* Capacity of the ring.  */

struct hs_sender
{
  struct hs_worker *worker;
  struct hs_ring *in;             /* Queue of struct hs_batch.  */
  struct hs_ring *pending_closes; /* Queue of descriptors to close.  */
  struct hs_counter *sent;
  struct hs_counter *dropped;
  /* Arguments of sendmmsg, allocated once.  */
  struct mmsghdr headers[HS_BATCH_SIZE];
  struct iovec iovecs[HS_BATCH_SIZE];
  struct sockaddr_storage addrs[HS_BATCH_SIZE];
};

/* Private functions.  */

static void on_batch (void *ctx, void *item);
static void on_close (void *ctx, void *item);
static size_t prepare_run (struct hs_sender *sender, struct hs_batch *batch,
                           size_t first);
static void send_run (struct hs_sender *sender, int fd, size_t len);

/* Public definitions.  */

struct hs_sender *
hs_sender_create (struct hs_ring *in, struct hs_metrics *metrics)
{
  struct hs_sender *sender = talloc_zero (NULL, struct hs_sender);

  sender->worker = hs_worker_create ("send");
  sender->in = in;
  sender->pending_closes = hs_ring_create (sender, CLOSES_QUEUED);
  sender->sent = hs_counter_create (metrics, "datagrams_sent_total",
                                    "Datagrams passed to the kernel.");
  sender->dropped
      = hs_counter_create (metrics, "datagrams_unsent_total",
                           "Datagrams that the kernel refused to send.");
  hs_worker_watch_ring (sender->worker, in, on_batch, sender);
  hs_worker_watch_ring (sender->worker, sender->pending_closes, on_close,
                        sender);
  return sender;
}

void
hs_sender_destroy (struct hs_sender *sender)
{
  hs_worker_destroy (sender->worker);
  talloc_free (sender);
}

void
hs_sender_start (struct hs_sender *sender)
{
  hs_worker_start (sender->worker);
}

void
hs_sender_stop (struct hs_sender *sender)
{
  void *item;

  hs_worker_stop (sender->worker);
  while ((item = hs_ring_pop (sender->in)) != NULL)
    on_batch (sender, item);
}

void
hs_sender_close (struct hs_sender *sender, int fd)
{
  hs_ring_push (sender->pending_closes, GINT_TO_POINTER (fd));
}

/* Private definitions.  */

static void
on_batch (void *ctx, void *item)
{
  struct hs_sender *sender = ctx;
  struct hs_batch *batch = item;
  size_t first = 0;

  while (first < batch->len)
    {
      int fd = batch->packets[first].fd;
      size_t len = prepare_run (sender, batch, first);

      if (fd >= 0)
        send_run (sender, fd, len);
      first += len;
    }
  hs_batch_release (batch);
}

/* Batches that were queued before the close may hold packets for this socket:
   send them first.  */
static void
on_close (void *ctx, void *item)
{
  struct hs_sender *sender = ctx;
  void *batch;

  while ((batch = hs_ring_pop (sender->in)) != NULL)
    on_batch (sender, batch);
  close (GPOINTER_TO_INT (item));
}

/* Fills the arguments of sendmmsg with the consecutive packets from FIRST on
   that have the same socket.  Returns their number.  */
static size_t
prepare_run (struct hs_sender *sender, struct hs_batch *batch, size_t first)
{
  size_t len = 0;
  int fd = batch->packets[first].fd;

  while (first + len < batch->len && batch->packets[first + len].fd == fd)
    {
      struct hs_packet *packet = &batch->packets[first + len];
      struct msghdr *header = &sender->headers[len].msg_hdr;

      sender->iovecs[len].iov_base = hs_packet_bytes (packet);
      sender->iovecs[len].iov_len = packet->len;
      header->msg_iov = &sender->iovecs[len];
      header->msg_iovlen = 1;
      header->msg_name = packet->connected ? NULL : &sender->addrs[len];
      header->msg_namelen
          = packet->connected
                ? 0
                : hs_addr_to_sockaddr (&packet->peer, &sender->addrs[len]);
      len++;
    }
  return len;
}

static void
send_run (struct hs_sender *sender, int fd, size_t len)
{
  size_t done = 0;

  while (done < len)
    {
      int count = sendmmsg (fd, sender->headers + done,
                            (unsigned int)(len - done), MSG_DONTWAIT);

      if (count > 0)
        {
          hs_counter_add (sender->sent, (uint64_t)count);
          done += (size_t)count;
          continue;
        }
      if (errno == EINTR)
        continue;
      /* The kernel refused the first packet.  Drop it, as UDP may, and go on
         with the others.  */
      hs_counter_add (sender->dropped, 1);
      done++;
    }
}
