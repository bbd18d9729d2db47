/* receiver.c -- the thread that reads datagrams, in batches.  */

#include "daemon/receiver.h"
#include "base/addr.h"
#include "base/auto.h"
#include "base/worker.h"

#include <errno.h>
#include <string.h>

/* Types.  */

#define COMMANDS_QUEUED 131072               /* Capacity of the ring.  */
#define SOCKET_BUFFER_SIZE (4 * 1024 * 1024) /* Bytes.  */

struct watched_socket
{
  struct hs_table_node node; /* In sockets, by descriptor.  */
  struct hs_receiver *receiver;
  int fd;
  uint64_t tag;
  struct tevent_fd *event;
};

/* Adds a socket, or closes one.  */
struct command
{
  bool close;
  int fd;
  uint64_t tag;
};

struct hs_receiver
{
  struct hs_worker *worker;
  struct hs_ring *batch_pool;
  struct hs_ring *out;
  struct hs_ring *commands;
  struct hs_sender *sender;
  struct hs_table *sockets; /* Table of struct watched_socket.  */
  struct hs_batch *batch;   /* Taken from the pool; NULL: none.  */
  struct hs_counter *received;
  struct hs_counter *oversized;
  /* Arguments of recvmmsg, allocated once.  */
  struct mmsghdr headers[HS_BATCH_SIZE];
  struct iovec iovecs[HS_BATCH_SIZE];
  struct sockaddr_storage addrs[HS_BATCH_SIZE];
};

/* Private functions.  */

static void on_command (void *ctx, void *item);
static void on_readable (struct tevent_context *events, struct tevent_fd *fde,
                         uint16_t flags, void *ctx);
static bool match_fd (const struct hs_table_node *node, const void *key);
static void acquire_batch (struct hs_receiver *receiver);
static int read_batch (struct hs_receiver *receiver, int fd);
static void finish_packets (struct hs_receiver *receiver, size_t count,
                            uint64_t tag);
static bool push_command (struct hs_receiver *receiver, bool close, int fd,
                          uint64_t tag);

/* Public definitions.  */

struct hs_receiver *
hs_receiver_create (struct hs_ring *batch_pool, struct hs_ring *out,
                    struct hs_sender *sender, struct hs_metrics *metrics)
{
  struct hs_receiver *receiver = talloc_zero (NULL, struct hs_receiver);

  receiver->worker = hs_worker_create ("receive");
  receiver->batch_pool = batch_pool;
  receiver->out = out;
  receiver->sender = sender;
  receiver->commands = hs_ring_create (receiver, COMMANDS_QUEUED);
  receiver->sockets = hs_table_create (receiver);
  receiver->received = hs_counter_create (metrics, "datagrams_received_total",
                                          "Datagrams read from sockets.");
  receiver->oversized = hs_counter_create (
      metrics, "datagrams_oversized_total",
      "Datagrams dropped because they exceed 1900 bytes.");
  hs_worker_watch_ring (receiver->worker, receiver->commands, on_command,
                        receiver);
  return receiver;
}

void
hs_receiver_destroy (struct hs_receiver *receiver)
{
  void *command;

  while ((command = hs_ring_pop (receiver->commands)) != NULL)
    talloc_free (command);
  hs_worker_destroy (receiver->worker);
  talloc_free (receiver);
}

void
hs_receiver_start (struct hs_receiver *receiver)
{
  hs_worker_start (receiver->worker);
}

void
hs_receiver_stop (struct hs_receiver *receiver)
{
  hs_worker_stop (receiver->worker);
}

bool
hs_receiver_watch (struct hs_receiver *receiver, int fd, uint64_t tag)
{
  return push_command (receiver, false, fd, tag);
}

void
hs_receiver_close (struct hs_receiver *receiver, int fd)
{
  push_command (receiver, true, fd, 0);
}

int
hs_socket_bind (const struct hs_addr *addr, GError **error)
{
  struct sockaddr_storage ss;
  socklen_t len = hs_addr_to_sockaddr (addr, &ss);
  int fd = socket (ss.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int size = SOCKET_BUFFER_SIZE;
  char text[HS_ADDR_TEXT_SIZE];

  if (fd >= 0 && bind (fd, (struct sockaddr *)&ss, len) == 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
      setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
      return fd;
    }
  hs_addr_format (addr, text);
  g_set_error (error, HS_ERROR, HS_ERROR_SYSTEM, "cannot bind %s: %s", text,
               strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

/* Private definitions.  */

static void
on_command (void *ctx, void *item)
{
  struct hs_receiver *receiver = ctx;
  HS_AUTO_TALLOC struct command *command = item;
  struct watched_socket *watched;

  if (command->close)
    {
      struct hs_table_node *node = hs_table_find (
          receiver->sockets, (uint64_t)command->fd, match_fd, &command->fd);

      if (node != NULL)
        {
          watched = HS_LIST_ENTRY (node, struct watched_socket, node);
          hs_table_remove (receiver->sockets, node);
          talloc_free (watched);
        }
      hs_sender_close (receiver->sender, command->fd);
      return;
    }
  watched = talloc_zero (receiver->worker, struct watched_socket);
  watched->receiver = receiver;
  watched->fd = command->fd;
  watched->tag = command->tag;
  watched->event
      = tevent_add_fd (hs_worker_event_context (receiver->worker), watched,
                       watched->fd, TEVENT_FD_READ, on_readable, watched);
  hs_table_insert (receiver->sockets, &watched->node, (uint64_t)watched->fd);
}

static void
on_readable (struct tevent_context *events, struct tevent_fd *fde,
             uint16_t flags, void *ctx)
{
  struct watched_socket *watched = ctx;
  struct hs_receiver *receiver = watched->receiver;
  int count;

  (void)events;
  (void)fde;
  (void)flags;
  acquire_batch (receiver);
  count = read_batch (receiver, watched->fd);
  if (count <= 0)
    return;
  finish_packets (receiver, (size_t)count, watched->tag);
  if (receiver->batch->len == 0)
    return;
  hs_ring_push (receiver->out, receiver->batch);
  receiver->batch = NULL;
}

static bool
match_fd (const struct hs_table_node *node, const void *key)
{
  const int *fd = key;

  return HS_LIST_ENTRY (node, struct watched_socket, node)->fd == *fd;
}

/* Sleeps while no batch is free: the socket buffers then fill, and the kernel
   drops what does not fit.  */
static void
acquire_batch (struct hs_receiver *receiver)
{
  while (receiver->batch == NULL)
    {
      receiver->batch = hs_ring_pop (receiver->batch_pool);
      if (receiver->batch == NULL)
        hs_ring_wait (receiver->batch_pool);
    }
  receiver->batch->len = 0;
}

static int
read_batch (struct hs_receiver *receiver, int fd)
{
  for (size_t i = 0; i < HS_BATCH_SIZE; i++)
    {
      struct hs_packet *packet = &receiver->batch->packets[i];
      struct msghdr *header = &receiver->headers[i].msg_hdr;

      receiver->iovecs[i].iov_base = packet->data + HS_PACKET_HEADROOM;
      receiver->iovecs[i].iov_len = HS_DATAGRAM_MAX;
      header->msg_name = &receiver->addrs[i];
      header->msg_namelen = sizeof receiver->addrs[i];
      header->msg_iov = &receiver->iovecs[i];
      header->msg_iovlen = 1;
      header->msg_flags = 0;
    }
  return recvmmsg (fd, receiver->headers, HS_BATCH_SIZE, MSG_DONTWAIT, NULL);
}

/* Fills in the packets that recvmmsg has read.  A packet that was truncated
   or has no IP source address gets length 0.  */
static void
finish_packets (struct hs_receiver *receiver, size_t count, uint64_t tag)
{
  struct hs_batch *batch = receiver->batch;

  for (size_t i = 0; i < count; i++)
    {
      struct hs_packet *packet = &batch->packets[i];
      const struct mmsghdr *header = &receiver->headers[i];

      packet->tag = tag;
      packet->fd = -1;
      packet->connected = false;
      packet->start = HS_PACKET_HEADROOM;
      packet->len = (uint16_t)header->msg_len;
      if ((header->msg_hdr.msg_flags & MSG_TRUNC) != 0
          || !hs_addr_from_sockaddr (&receiver->addrs[i], &packet->peer))
        {
          packet->len = 0;
          hs_counter_add (receiver->oversized, 1);
        }
    }
  batch->len = count;
  hs_counter_add (receiver->received, count);
}

static bool
push_command (struct hs_receiver *receiver, bool close, int fd, uint64_t tag)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->close = close;
  command->fd = fd;
  command->tag = tag;
  if (hs_ring_push (receiver->commands, command))
    return true;
  talloc_free (command);
  return false;
}
