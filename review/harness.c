/* harness.c -- see harness.h.  */

#define _GNU_SOURCE
#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  PORT_SEGMENTS = 8172,
  PORT_INNER = 7720,
  PORT_CONTROL = 8166,
  PORT_READY = 8167,
  PORT_OUTBOUND = 8169,
  PORT_APP = 8165,
  PORT_ROUTE = 443,
  IP_ENTRY = 10,
  IP_SIDE = 20,
  IP_ROUTE = 100,
  IP_REQUESTER = 200,
  CALLS_MAX = 64,
  STEPS_MAX = 256,
  CALL_SIZE = 65536,
  WORK_MS = 47
};

struct process
{
  char name[32];
  pid_t pid; /* 0: not running.  */
};

/* A scheduled step.  */
struct step
{
  step_fn *fn; /* NULL: unused.  */
  void *arg;
  uint64_t at;
};

/* An HTTP call in progress.  */
struct call
{
  bool used;
  int fd;
  uint64_t give_up_at;
  char *out;
  size_t out_len, out_done;
  char *in;
  size_t in_len;
  void (*done) (struct call *call, int status, const char *reply);
  int number;
  int *status;
  bool finished;
};

struct probe
{
  bool in_rotation;
  unsigned int misses;
  uint64_t next_at;
  bool used;
};

struct target targets[TARGETS_MAX];
struct flow flows[FLOWS_MAX];
uint64_t pause_ms = 1700;
uint64_t idle_timeout_ms = 15000;
bool trouble = true;
int control_list[CONTROL_LIST_LEN] = { 1, 2, 3 };
unsigned int foreign_resets, answered_requests, failed_requests,
    sent_requests;

static struct process processes[PROCESSES_MAX];
static struct step steps[STEPS_MAX];
static struct call calls[CALLS_MAX];
static struct probe probes[ENTRIES_MAX + 1];
static uint32_t net; /* First three bytes of all addresses.  */
static char work[128];
static char bin[256] = "target";
static FILE *record;
static struct timespec origin;
static int requester_fd = -1;
static uint16_t next_port = 20000;
static char last_reply[CALL_SIZE];
static char last_location[256];

static void tick (void);
static void start_call (uint32_t ip, uint16_t port, const char *method,
                        const char *path, const char *body,
                        void (*done) (struct call *, int, const char *),
                        int number, int *status);

/* Time and records.  */

uint64_t
now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)((ts.tv_sec - origin.tv_sec) * 1000
                    + (ts.tv_nsec - origin.tv_nsec) / 1000000)
         + 1;
}

uint64_t
wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void
note (const char *format, ...)
{
  va_list args;

  fprintf (record, "%9.3f ", (double)now_ms () / 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
}

void
finish (int status)
{
  note ("sent %u requests, answered %u, failed %u; resets by the system on "
        "open flows of live targets: %u; exit %d",
        sent_requests, answered_requests, failed_requests, foreign_resets,
        status);
  for (size_t i = 0; i < PROCESSES_MAX; i++)
    if (processes[i].pid > 0)
      {
        kill (processes[i].pid, SIGCONT);
        kill (processes[i].pid, SIGKILL);
        waitpid (processes[i].pid, NULL, 0);
      }
  exit (status);
}

uint32_t
address_of (int last)
{
  return net | (uint32_t)last;
}

static const char *
text_of (uint32_t ip)
{
  static char texts[8][16];
  static unsigned int next;
  struct in_addr addr = { htonl (ip) };
  char *text = texts[next++ % 8];

  inet_ntop (AF_INET, &addr, text, 16);
  return text;
}

static struct sockaddr_in
sockaddr_of (uint32_t ip, uint16_t port)
{
  struct sockaddr_in sin = { 0 };

  sin.sin_family = AF_INET;
  sin.sin_port = htons (port);
  sin.sin_addr.s_addr = htonl (ip);
  return sin;
}

static int
bind_udp (uint32_t ip, uint16_t port)
{
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct sockaddr_in sin = sockaddr_of (ip, port);

  if (bind (fd, (struct sockaddr *)&sin, sizeof sin) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
on_terminate (int signal_number)
{
  (void)signal_number;
  finish (2);
}

void
harness_init (const char *folder)
{
  char path[512];
  const char *text = getenv ("TROUBLE");
  const char *tmp = getenv ("REVIEW_WORK");
  const char *programs = getenv ("REVIEW_BIN");

  clock_gettime (CLOCK_MONOTONIC, &origin);
  srandom ((unsigned int)(getpid () ^ origin.tv_nsec));
  trouble = text == NULL || strcmp (text, "0") != 0;
  if (programs != NULL)
    snprintf (bin, sizeof bin, "%s", programs);
  snprintf (work, sizeof work, "%s", tmp != NULL ? tmp : "/tmp");
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record = fopen (path, "w");
  if (record == NULL)
    exit (2);
  for (int i = 0; i < 50 && requester_fd < 0; i++)
    {
      net = 127U << 24 | (uint32_t)(64 + random () % 128) << 16
            | (uint32_t)(1 + random () % 250) << 8;
      requester_fd = bind_udp (address_of (IP_REQUESTER), PORT_SEGMENTS);
    }
  if (requester_fd < 0)
    exit (2);
  signal (SIGTERM, on_terminate);
  signal (SIGINT, on_terminate);
  note ("TROUBLE=%d", trouble);
}

/* Steps.  */

void
after (uint64_t ms, step_fn *fn, void *arg)
{
  for (size_t i = 0; i < STEPS_MAX; i++)
    if (steps[i].fn == NULL)
      {
        steps[i] = (struct step){ fn, arg, now_ms () + ms };
        return;
      }
}

static void
run_steps (void)
{
  for (size_t i = 0; i < STEPS_MAX; i++)
    if (steps[i].fn != NULL && steps[i].at <= now_ms ())
      {
        step_fn *fn = steps[i].fn;

        steps[i].fn = NULL;
        fn (steps[i].arg);
      }
}

/* Processes.  */

static struct process *
find_process (const char *name, bool add)
{
  for (size_t i = 0; i < PROCESSES_MAX; i++)
    if (strcmp (processes[i].name, name) == 0)
      return &processes[i];
  for (size_t i = 0; add && i < PROCESSES_MAX; i++)
    if (processes[i].name[0] == '\0')
      {
        snprintf (processes[i].name, sizeof processes[i].name, "%s", name);
        return &processes[i];
      }
  return NULL;
}

/* Starts PROGRAM with SETTINGS in a file, as the deploy file does.  */
static void
spawn (const char *name, const char *program, const char *settings)
{
  struct process *process = find_process (name, true);
  char path[512], file[256], log[256];
  FILE *out;
  sigset_t signals;
  pid_t pid;

  snprintf (file, sizeof file, "%s/%s.env", work, name);
  snprintf (log, sizeof log, "%s/%s.log", work, name);
  snprintf (path, sizeof path, "%s/%s", bin, program);
  out = fopen (file, "w");
  fputs (settings, out);
  fclose (out);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigprocmask (SIG_BLOCK, &signals, NULL);
  pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      /* The handlers of this process must not run in the child.  */
      signal (SIGTERM, SIG_DFL);
      signal (SIGINT, SIG_DFL);
      sigprocmask (SIG_UNBLOCK, &signals, NULL);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (path, path, "--settings", file, (char *)NULL);
      _exit (127);
    }
  sigprocmask (SIG_UNBLOCK, &signals, NULL);
  process->pid = pid;
  note ("start %s", name);
}

static void
format_seeds (char *text, size_t size)
{
  size_t len = 0;

  for (size_t i = 0; i < CONTROL_LIST_LEN; i++)
    len += (size_t)snprintf (text + len, size - len, "%s%s:%d",
                             i > 0 ? "," : "",
                             text_of (address_of (control_list[i])),
                             PORT_CONTROL);
}

void
start_control (int n, bool bootstrap)
{
  char name[32], settings[2048], seeds[128], folder[256];
  const char *ip = text_of (address_of (n));

  snprintf (name, sizeof name, "control-%d", n);
  snprintf (folder, sizeof folder, "%s/data-%d", work, n);
  mkdir (folder, 0700);
  format_seeds (seeds, sizeof seeds);
  snprintf (settings, sizeof settings,
            "HIBISCUSSPAN_NAME=%s\nHIBISCUSSPAN_DATA=%s\n"
            "HIBISCUSSPAN_INNER=%s:%d\nHIBISCUSSPAN_API=%s:%d\n"
            "HIBISCUSSPAN_BOOTSTRAP=%d\nHIBISCUSSPAN_SEEDS=%s\n"
            "HIBISCUSSPAN_SEED_PORT=%d\n",
            name, folder, ip, PORT_INNER, ip, PORT_CONTROL, bootstrap, seeds,
            PORT_INNER);
  spawn (name, "hibiscusspan-control-group", settings);
}

void
start_entry (int n)
{
  char name[32], settings[2048], seeds[128];
  const char *ip = text_of (address_of (IP_ENTRY + n));

  snprintf (name, sizeof name, "entry-%d", n);
  format_seeds (seeds, sizeof seeds);
  snprintf (settings, sizeof settings,
            "HIBISCUSSPAN_NAME=%s\nHIBISCUSSPAN_ZONE=zone-a\n"
            "HIBISCUSSPAN_SEGMENTS=%s:%d\nHIBISCUSSPAN_INNER=%s:%d\n"
            "HIBISCUSSPAN_HEALTH=%s:%d\nHIBISCUSSPAN_SEEDS=%s\n"
            "HIBISCUSSPAN_SEED_PORT=%d\nHIBISCUSSPAN_LINK_MBPS=1000.0\n",
            name, ip, PORT_SEGMENTS, ip, PORT_INNER, ip, PORT_READY, seeds,
            PORT_INNER);
  probes[n].used = true;
  spawn (name, "hibiscusspan-segment-entry", settings);
}

void
start_agent (int n, const char *service)
{
  char name[32], settings[2048], seeds[128];
  const char *ip = text_of (address_of (IP_SIDE + n));

  snprintf (name, sizeof name, "agent-%d", n);
  format_seeds (seeds, sizeof seeds);
  snprintf (settings, sizeof settings,
            "HIBISCUSSPAN_NAME=%s\nHIBISCUSSPAN_ZONE=zone-a\n"
            "HIBISCUSSPAN_SERVICE=%s\nHIBISCUSSPAN_INNER=%s:%d\n"
            "HIBISCUSSPAN_UPSTREAM=%s:%d\nHIBISCUSSPAN_OUTBOUND=%s:%d\n"
            "HIBISCUSSPAN_HEARTBEATS=%s:%d\nHIBISCUSSPAN_HEALTH=%s:%d\n"
            "HIBISCUSSPAN_CALLER_AT=%s:%d\nHIBISCUSSPAN_HEARTBEAT_MS=%d\n"
            "HIBISCUSSPAN_SEEDS=%s\nHIBISCUSSPAN_SEED_PORT=%d\n",
            name, service, ip, PORT_INNER, ip, PORT_APP, ip, PORT_OUTBOUND, ip,
            PORT_CONTROL, ip, PORT_READY, ip, PORT_SEGMENTS, HEARTBEAT_MS,
            seeds, PORT_INNER);
  spawn (name, "hibiscusspan-segment-agent", settings);
}

static void
reap (void)
{
  pid_t pid;
  int status;

  while ((pid = waitpid (-1, &status, WNOHANG)) > 0)
    for (size_t i = 0; i < PROCESSES_MAX; i++)
      if (processes[i].pid == pid)
        {
          processes[i].pid = 0;
          if (WIFSIGNALED (status))
            note ("%s has ended by signal %d", processes[i].name,
                  WTERMSIG (status));
          else
            note ("%s has ended with status %d", processes[i].name,
                  WEXITSTATUS (status));
        }
}

bool
is_running (const char *name)
{
  struct process *process = find_process (name, false);

  return process != NULL && process->pid > 0;
}

void
signal_process (const char *name, int signal_number)
{
  struct process *process = find_process (name, false);

  if (process == NULL || process->pid <= 0)
    return;
  note ("signal %d to %s", signal_number, name);
  kill (process->pid, signal_number);
}

bool
wait_for_end (const char *name, uint64_t ms)
{
  uint64_t until = now_ms () + ms;

  while (is_running (name) && now_ms () < until)
    tick ();
  return !is_running (name);
}

/* Packets.  */

static void
put16 (uint8_t *bytes, uint16_t value)
{
  value = htons (value);
  memcpy (bytes, &value, sizeof value);
}

static void
put32 (uint8_t *bytes, uint32_t value)
{
  value = htonl (value);
  memcpy (bytes, &value, sizeof value);
}

static uint16_t
get16 (const uint8_t *bytes)
{
  uint16_t value;

  memcpy (&value, bytes, sizeof value);
  return ntohs (value);
}

static uint32_t
get32 (const uint8_t *bytes)
{
  uint32_t value;

  memcpy (&value, bytes, sizeof value);
  return ntohl (value);
}

/* The stand-ins' own sum; the system does not know it.  */
static uint16_t
sum_of (const uint8_t *bytes, size_t len)
{
  uint32_t sum = 0x1d0f;

  for (size_t i = 0; i < len; i++)
    {
      uint8_t byte = bytes[i];

      if (i == 2 || i == 3 || (i >= 18 && i < 22) || i == 23)
        continue;
      if (i == 22)
        byte &= (uint8_t)~FLAG_BOUNCED;
      sum = (sum << 5 | sum >> 27) ^ byte;
    }
  return (uint16_t)(sum ^ sum >> 16) | 1;
}

static size_t
encode (const struct packet *packet, uint8_t *bytes)
{
  size_t len = HEADER_SIZE + packet->len;

  memset (bytes, 0, HEADER_SIZE);
  put16 (bytes, packet->len);
  put16 (bytes + 6, packet->sport);
  put16 (bytes + 8, packet->dport);
  put32 (bytes + 10, packet->src);
  put32 (bytes + 14, packet->dst);
  bytes[22] = packet->flags;
  put32 (bytes + 24, packet->seq);
  put32 (bytes + 28, packet->ack);
  if (packet->len > 0)
    memcpy (bytes + HEADER_SIZE, packet->data, packet->len);
  put16 (bytes + 2, sum_of (bytes, len));
  return len;
}

static bool
decode (const uint8_t *bytes, size_t len, struct packet *packet)
{
  if (len < HEADER_SIZE || get16 (bytes) != len - HEADER_SIZE)
    return false;
  packet->len = get16 (bytes);
  packet->sport = get16 (bytes + 6);
  packet->dport = get16 (bytes + 8);
  packet->src = get32 (bytes + 10);
  packet->dst = get32 (bytes + 14);
  packet->flags = bytes[22];
  packet->seq = get32 (bytes + 24);
  packet->ack = get32 (bytes + 28);
  packet->data = (const char *)bytes + HEADER_SIZE;
  return true;
}

static void
send_bytes (int fd, uint32_t ip, uint16_t port, const uint8_t *bytes,
            size_t len)
{
  struct sockaddr_in sin = sockaddr_of (ip, port);

  sendto (fd, bytes, len, 0, (struct sockaddr *)&sin, sizeof sin);
}

/* Targets.  */

struct target *
start_target (int n, const char *id, const char *service)
{
  struct target *target = &targets[n];
  int fd = target->used ? target->fd : bind_udp (address_of (IP_SIDE + n),
                                                 PORT_APP);

  memset (target, 0, sizeof *target);
  if (fd < 0)
    finish (2);
  target->used = true;
  target->alive = true;
  snprintf (target->id, sizeof target->id, "%s", id);
  target->service = service;
  target->ip = address_of (IP_SIDE + n);
  target->fd = fd;
  target->born = wall_ms ();
  target->state = "ready";
  target->reports = true;
  target->report_at = now_ms ();
  note ("target %s of %s starts", id, service);
  return target;
}

void
stop_target (int n)
{
  targets[n].alive = false;
  targets[n].reports = false;
  note ("target %s crashes", targets[n].id);
}

static void
send_from_target (struct target *target, const struct held *held,
                  uint8_t flags, uint32_t seq, const char *data)
{
  uint8_t bytes[2048];
  struct packet packet = { .src = held->dst,
                           .dst = held->src,
                           .sport = held->dport,
                           .dport = held->sport,
                           .flags = flags,
                           .seq = seq,
                           .ack = held->next_in,
                           .len = (uint16_t)strlen (data),
                           .data = data };

  send_bytes (target->fd, target->ip, PORT_OUTBOUND, bytes,
              encode (&packet, bytes));
}

static struct held *
find_held (struct target *target, const struct packet *packet)
{
  for (size_t i = 0; i < FLOWS_MAX; i++)
    if (target->held[i].used && target->held[i].src == packet->src
        && target->held[i].sport == packet->sport
        && target->held[i].dst == packet->dst
        && target->held[i].dport == packet->dport)
      return &target->held[i];
  return NULL;
}

static void
bounce (struct target *target, uint8_t *bytes, size_t len)
{
  bytes[22] |= FLAG_BOUNCED;
  bytes[23] = 0;
  send_bytes (target->fd, target->ip, PORT_OUTBOUND, bytes, len);
}

static void
answer_syn (struct target *target, const struct packet *packet)
{
  struct held *held = find_held (target, packet);

  for (size_t i = 0; held == NULL && i < FLOWS_MAX; i++)
    if (!target->held[i].used)
      {
        held = &target->held[i];
        memset (held, 0, sizeof *held);
        held->used = true;
        held->src = packet->src;
        held->dst = packet->dst;
        held->sport = packet->sport;
        held->dport = packet->dport;
        held->taken_copy = (int)packet->ack;
        held->isn = (uint32_t)random () << 1 ^ (uint32_t)random ();
        held->next_in = packet->seq + 1;
        held->next_out = held->isn + 1;
      }
  if (held != NULL)
    send_from_target (target, held, FLAG_SYN | FLAG_ACK, held->isn, "");
}

static void
take_packet (struct target *target, uint8_t *bytes, size_t len)
{
  struct packet packet;
  struct held *held;
  char id[128] = "";

  if (!decode (bytes, len, &packet))
    return;
  if (get16 (bytes + 2) != sum_of (bytes, len))
    note ("target %s gets a packet with a wrong sum", target->id);
  target->packets++;
  held = find_held (target, &packet);
  if ((packet.flags & (FLAG_SYN | FLAG_ACK)) == FLAG_SYN)
    {
      answer_syn (target, &packet);
      return;
    }
  if (held == NULL || (!held->open && packet.ack != held->isn + 1))
    {
      bounce (target, bytes, len);
      return;
    }
  if ((packet.flags & FLAG_RST) != 0)
    {
      held->used = false;
      return;
    }
  if (!held->open)
    {
      held->open = true;
      for (size_t i = 0; i < FLOWS_MAX; i++)
        if (flows[i].state != FLOW_UNUSED && flows[i].port == packet.sport)
          {
            flows[i].target = (int)(target - targets);
            flows[i].taken_copy = held->taken_copy;
            flows[i].opened_to_target_at = now_ms ();
          }
    }
  if (held->reply_at != 0 && held->sent > 0
      && packet.ack == held->reply_seq + (uint32_t)strlen (held->reply))
    held->reply_at = 0;
  if ((packet.flags & FLAG_FIN) != 0)
    {
      send_from_target (target, held, FLAG_FIN | FLAG_ACK, held->next_out, "");
      held->used = false;
      return;
    }
  if (packet.len == 0)
    return;
  if (packet.seq != held->next_in)
    {
      /* A copy of the latest request: its response is sent again.  */
      if (held->sent > 0)
        send_from_target (target, held, FLAG_ACK, held->reply_seq,
                          held->reply);
      else
        send_from_target (target, held, FLAG_ACK, held->next_out, "");
      return;
    }
  held->next_in += packet.len;
  target->runs++;
  sscanf (packet.data, "GET / HTTP/1.1\r\nAttempt-Id: %127[0-9.]", id);
  note ("target %s runs request %s", target->id, id);
  snprintf (held->reply, sizeof held->reply,
            "HTTP/1.1 200 OK\r\nResponse-Stamp: %s\r\n"
            "Content-Length: 0\r\n\r\n",
            id);
  held->reply_seq = held->next_out;
  held->next_out += (uint32_t)strlen (held->reply);
  held->reply_at = now_ms () + WORK_MS;
  held->sent = 0;
}

static void
run_target (int n)
{
  struct target *target = &targets[n];
  uint8_t bytes[2048];
  ssize_t len;

  while ((len = recv (target->fd, bytes, sizeof bytes, 0)) > 0)
    if (target->alive)
      take_packet (target, bytes, (size_t)len);
  if (!target->alive)
    return;
  for (size_t i = 0; i < FLOWS_MAX; i++)
    {
      struct held *held = &target->held[i];
      uint64_t wait_ms;

      if (!held->used || held->reply_at == 0 || now_ms () < held->reply_at)
        continue;
      wait_ms = (uint64_t)RESEND_MIN_MS << held->sent;
      if (held->sent++ > TARGET_RESENDS_MAX)
        {
          held->reply_at = 0;
          continue;
        }
      send_from_target (target, held, FLAG_ACK, held->reply_seq, held->reply);
      held->reply_at
          = now_ms () + (wait_ms < RESEND_MAX_MS ? wait_ms : RESEND_MAX_MS);
    }
  if (target->reports && now_ms () >= target->report_at)
    {
      target->report_at = now_ms () + HEARTBEAT_MS;
      send_report (n, target->id, target->born, ++target->seq, target->state);
    }
}

static void
on_report_done (struct call *call, int status, const char *reply)
{
  (void)reply;
  if (status != 200)
    note ("status report to agent-%d: status %d", call->number, status);
}

void
send_report (int n, const char *id, uint64_t born, uint64_t seq,
             const char *state)
{
  char path[128], body[512];

  snprintf (path, sizeof path, "/hibiscusspan/instances/%s/heartbeat", id);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\","
            "\"version\":\"v1\",\"slots\":7,\"state\":\"%s\","
            "\"coldRemainingMs\":0,\"seq\":%llu,\"born\":%llu}",
            targets[n].service, text_of (address_of (IP_SIDE + n)), PORT_APP,
            state, (unsigned long long)seq, (unsigned long long)born);
  start_call (address_of (IP_SIDE + n), PORT_CONTROL, "POST", path, body,
              on_report_done, n, NULL);
}

/* Routers: a rendezvous hash over the entries in rotation, so that only the
   flows of an entry that leaves or joins move ("steady").  */

static void
on_probe_done (struct call *call, int status, const char *reply)
{
  struct probe *probe = &probes[call->number];

  (void)reply;
  if (status == 200)
    {
      if (!probe->in_rotation)
        note ("entry-%d is in rotation", call->number);
      probe->in_rotation = true;
      probe->misses = 0;
      return;
    }
  if (++probe->misses >= 2 && probe->in_rotation)
    {
      note ("entry-%d is out of rotation", call->number);
      probe->in_rotation = false;
    }
}

static void
run_probes (void)
{
  for (int n = 1; n <= ENTRIES_MAX; n++)
    if (probes[n].used && now_ms () >= probes[n].next_at)
      {
        probes[n].next_at = now_ms () + 500;
        start_call (address_of (IP_ENTRY + n), PORT_READY, "GET",
                    "/hibiscusspan/ready", "", on_probe_done, n, NULL);
      }
}

bool
entry_ready (int n)
{
  return probes[n].in_rotation;
}

static uint64_t
score_of (int n, uint16_t port, uint16_t route)
{
  uint64_t x = (uint64_t)n << 40 ^ (uint64_t)port << 16 ^ route;

  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9U;
  x = (x ^ x >> 27) * 0x94d049bb133111ebU;
  return x ^ x >> 31;
}

static int
entry_of (const struct flow *flow)
{
  int best = 0, in = 0, used = 0;

  for (int n = 1; n <= ENTRIES_MAX; n++)
    {
      used += probes[n].used;
      in += probes[n].in_rotation;
    }
  for (int n = 1; n <= ENTRIES_MAX; n++)
    if (probes[n].used && (probes[n].in_rotation || in * 2 < used)
        && (best == 0
            || score_of (n, flow->port, flow->route)
                   > score_of (best, flow->port, flow->route)))
      best = n;
  return best;
}

/* Requesters.  */

static void
mark_active (struct flow *flow)
{
  uint64_t now = now_ms ();

  if (flow->last_packet_at != 0
      && now - flow->last_packet_at > flow->longest_idle_ms)
    flow->longest_idle_ms = now - flow->last_packet_at;
  flow->last_packet_at = now;
}

static void
send_from_requester (struct flow *flow, uint8_t flags, uint32_t seq,
                     uint32_t ack, const char *data)
{
  uint8_t bytes[2048];
  struct packet packet = { .src = address_of (IP_REQUESTER),
                           .dst = address_of (flow->route),
                           .sport = flow->port,
                           .dport = PORT_ROUTE,
                           .flags = flags,
                           .seq = seq,
                           .ack = ack,
                           .len = (uint16_t)strlen (data),
                           .data = data };
  int entry = entry_of (flow);

  mark_active (flow);
  if (flags == FLAG_SYN)
    {
      flow->syn_sent_at[ack] = now_ms ();
      flow->syn_entry[ack] = entry;
    }
  if (entry != 0)
    send_bytes (requester_fd, address_of (IP_ENTRY + entry), PORT_SEGMENTS,
                bytes, encode (&packet, bytes));
}

struct flow *
open_flow (int route)
{
  for (size_t i = 0; i < FLOWS_MAX; i++)
    if (flows[i].state == FLOW_UNUSED)
      {
        struct flow *flow = &flows[i];

        memset (flow, 0, sizeof *flow);
        flow->state = FLOW_OPENING;
        flow->target = -1;
        flow->port = next_port++;
        flow->route = (uint16_t)(IP_ROUTE + route);
        flow->seq = (uint32_t)random ();
        flow->opened_at = now_ms ();
        flow->copies_at = now_ms () + SYN_COPY_1_MS;
        send_from_requester (flow, FLAG_SYN, flow->seq, 0, "");
        return flow;
      }
  return NULL;
}

void
send_request (struct flow *flow)
{
  flow->requests++;
  sent_requests++;
  snprintf (flow->request, sizeof flow->request,
            "GET / HTTP/1.1\r\nAttempt-Id: %u.%u\r\n\r\n", flow->port,
            flow->requests);
  flow->state = FLOW_WAITING;
  flow->request_at = now_ms ();
  flow->copies = 0;
  flow->copies_at = now_ms () + RESEND_MIN_MS;
  note ("flow %u sends request %u.%u through entry-%d", flow->port, flow->port,
        flow->requests, entry_of (flow));
  send_from_requester (flow, FLAG_ACK, flow->seq, flow->ack, flow->request);
}

void
hold_flow (struct flow *flow)
{
  flow->next_request_at = UINT64_MAX;
}

/* Whether the rule FLOW counts a reset of FLOW now.  */
static bool
is_counted (const struct flow *flow)
{
  const struct target *target
      = flow->target >= 0 ? &targets[flow->target] : NULL;

  return target != NULL && target->alive
         && now_ms () - flow->opened_at <= MAX_FLOW_MS
         && flow->longest_idle_ms <= idle_timeout_ms;
}

static void
take_reset (struct flow *flow, const struct packet *packet)
{
  int32_t distance = (int32_t)(packet->seq - flow->ack);
  bool open = flow->state == FLOW_IDLE || flow->state == FLOW_WAITING;

  if (open && (distance > RESET_WINDOW || distance < -RESET_WINDOW))
    return;
  if (open && is_counted (flow))
    {
      flow->was_reset = true;
      foreign_resets++;
      note ("flow %u, open at target %s, which lives, gets a reset that this "
            "target did not send; its age is %u ms, its longest pause %u ms",
            flow->port, targets[flow->target].id,
            (unsigned int)(now_ms () - flow->opened_at),
            (unsigned int)flow->longest_idle_ms);
    }
  else
    note ("flow %u is reset%s", flow->port,
          open ? ", which the rule does not count" : " before it is open");
  if (flow->state == FLOW_WAITING)
    failed_requests++;
  flow->state = FLOW_ENDED;
}

static void
take_answer (struct flow *flow, const struct packet *packet)
{
  char want[64];

  if ((packet->flags & FLAG_RST) != 0)
    {
      if (flow->state != FLOW_ENDED)
        take_reset (flow, packet);
      return;
    }
  if (flow->state == FLOW_OPENING
      && (packet->flags & (FLAG_SYN | FLAG_ACK)) == (FLAG_SYN | FLAG_ACK))
    {
      flow->ack = packet->seq + 1;
      flow->seq++;
      flow->state = FLOW_IDLE;
      flow->copies_at = 0;
      mark_active (flow);
      send_request (flow);
      return;
    }
  if (flow->state != FLOW_WAITING || packet->len == 0
      || packet->seq != flow->ack)
    {
      if (flow->state != FLOW_ENDED && packet->len > 0)
        send_from_requester (flow, FLAG_ACK, flow->seq, flow->ack, "");
      return;
    }
  snprintf (want, sizeof want, "Response-Stamp: %u.%u\r\n", flow->port,
            flow->requests);
  if (memmem (packet->data, packet->len, want, strlen (want)) == NULL)
    note ("flow %u gets the answer of another request", flow->port);
  flow->ack += packet->len;
  flow->seq += (uint32_t)strlen (flow->request);
  flow->answered++;
  answered_requests++;
  note ("flow %u gets the answer of request %u.%u after %u ms", flow->port,
        flow->port, flow->requests,
        (unsigned int)(now_ms () - flow->request_at));
  flow->state = FLOW_IDLE;
  flow->copies_at = 0;
  mark_active (flow);
  if (flow->next_request_at != UINT64_MAX)
    flow->next_request_at
        = now_ms () + pause_ms * 3 / 4 + (uint64_t)random () % (pause_ms / 2);
  send_from_requester (flow, FLAG_ACK, flow->seq, flow->ack, "");
}

static void
run_flow (struct flow *flow)
{
  uint64_t now = now_ms ();

  if (flow->state == FLOW_OPENING && now - flow->opened_at >= SYN_GIVE_UP_MS)
    {
      note ("flow %u does not open", flow->port);
      flow->state = FLOW_ENDED;
      return;
    }
  if (flow->state == FLOW_OPENING && flow->copies < 2
      && now >= flow->copies_at)
    {
      flow->copies++;
      flow->copies_at = flow->opened_at + SYN_COPY_2_MS;
      send_from_requester (flow, FLAG_SYN, flow->seq, flow->copies, "");
      return;
    }
  if (flow->state == FLOW_WAITING && now - flow->request_at >= TIME_LIMIT_MS)
    {
      note ("flow %u gives up request %u.%u", flow->port, flow->port,
            flow->requests);
      failed_requests++;
      send_from_requester (flow, FLAG_FIN | FLAG_ACK, flow->seq, flow->ack,
                           "");
      flow->state = FLOW_ENDED;
      return;
    }
  if (flow->state == FLOW_WAITING && now >= flow->copies_at)
    {
      uint64_t wait_ms = (uint64_t)RESEND_MIN_MS << ++flow->copies;

      flow->copies_at
          = now + (wait_ms < RESEND_MAX_MS ? wait_ms : RESEND_MAX_MS);
      send_from_requester (flow, FLAG_ACK, flow->seq, flow->ack,
                           flow->request);
      return;
    }
  if (flow->state == FLOW_IDLE && flow->next_request_at != 0
      && now >= flow->next_request_at)
    send_request (flow);
}

static void
run_requesters (void)
{
  uint8_t bytes[2048];
  struct packet packet;
  ssize_t len;

  while ((len = recv (requester_fd, bytes, sizeof bytes, 0)) > 0)
    if (decode (bytes, (size_t)len, &packet))
      for (size_t i = 0; i < FLOWS_MAX; i++)
        if (flows[i].state != FLOW_UNUSED && flows[i].port == packet.dport)
          take_answer (&flows[i], &packet);
  for (size_t i = 0; i < FLOWS_MAX; i++)
    if (flows[i].state != FLOW_UNUSED && flows[i].state != FLOW_ENDED)
      run_flow (&flows[i]);
}

/* HTTP calls.  */

static void
start_call (uint32_t ip, uint16_t port, const char *method, const char *path,
            const char *body,
            void (*done) (struct call *, int, const char *), int number,
            int *status)
{
  struct sockaddr_in sin = sockaddr_of (ip, port);

  for (size_t i = 0; i < CALLS_MAX; i++)
    {
      struct call *call = &calls[i];

      if (call->used)
        continue;
      memset (call, 0, sizeof *call);
      call->used = true;
      call->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                         0);
      call->give_up_at = now_ms () + 1000;
      call->done = done;
      call->number = number;
      call->status = status;
      call->in = calloc (1, CALL_SIZE);
      call->out_len = (size_t)asprintf (
          &call->out,
          "%s %s HTTP/1.1\r\nHost: %s:%d\r\nConnection: close\r\n"
          "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
          method, path, text_of (ip), port, strlen (body), body);
      connect (call->fd, (struct sockaddr *)&sin, sizeof sin);
      return;
    }
}

static void
end_call (struct call *call, int status)
{
  const char *reply = strstr (call->in, "\r\n\r\n");

  close (call->fd);
  free (call->out);
  call->used = false;
  if (call->status != NULL)
    *call->status = status;
  if (call->done != NULL)
    call->done (call, status, reply != NULL ? reply + 4 : "");
  free (call->in);
}

static void
run_call (struct call *call)
{
  ssize_t len;

  while (call->out_done < call->out_len)
    {
      len = send (call->fd, call->out + call->out_done,
                  call->out_len - call->out_done, MSG_NOSIGNAL);
      if (len <= 0)
        break;
      call->out_done += (size_t)len;
    }
  if (call->out_done < call->out_len && errno != EAGAIN && errno != ENOTCONN
      && errno != EINPROGRESS)
    {
      end_call (call, 0);
      return;
    }
  while (call->out_done == call->out_len && call->in_len < CALL_SIZE - 1)
    {
      int status = 0;

      len = recv (call->fd, call->in + call->in_len,
                  CALL_SIZE - 1 - call->in_len, 0);
      if (len > 0)
        {
          call->in_len += (size_t)len;
          continue;
        }
      if (len < 0 && errno == EAGAIN)
        break;
      sscanf (call->in, "HTTP/1.1 %d", &status);
      end_call (call, status);
      return;
    }
  if (now_ms () >= call->give_up_at)
    end_call (call, 0);
}

/* Operator.  */

static void
on_order_done (struct call *call, int status, const char *reply)
{
  const char *location = strstr (call->in, "Location: http://");

  last_location[0] = '\0';
  if (status == 307 && location != NULL)
    sscanf (location, "Location: http://%255[^\r\n]", last_location);
  snprintf (last_reply, sizeof last_reply, "%s", reply);
}

static int
call_control (uint32_t ip, const char *method, const char *path,
              const char *body)
{
  int status = -1;

  for (int hops = 0; hops < 3; hops++)
    {
      unsigned int a, b, c, d;

      status = -1;
      start_call (ip, PORT_CONTROL, method, path, body, on_order_done, 0,
                  &status);
      while (status < 0)
        tick ();
      if (status != 307
          || sscanf (last_location, "%u.%u.%u.%u", &a, &b, &c, &d) != 4)
        break;
      ip = a << 24 | b << 16 | c << 8 | d;
    }
  return status;
}

int
order (const char *body, uint64_t ms)
{
  uint64_t until = now_ms () + ms;
  uint64_t wait_ms = 50;
  size_t n = 0;
  long version = 0;

  sscanf (body, "{\"version\":%ld", &version);
  note ("operator sends configuration %ld", version);
  while (now_ms () < until)
    {
      int status = call_control (address_of (control_list[n]), "POST",
                                 "/hibiscusspan/config/replace", body);

      if (status == 200 || (status >= 400 && status < 500 && status != 408
                            && status != 429))
        {
          note ("configuration %ld: status %d", version, status);
          return status;
        }
      n = (n + 1) % CONTROL_LIST_LEN;
      run_for (wait_ms);
      wait_ms = wait_ms < 800 ? wait_ms * 2 : 800;
    }
  note ("configuration %ld: no clear response", version);
  return 0;
}

int
read_configuration (int control, long *version)
{
  int status = call_control (address_of (control), "GET",
                             "/hibiscusspan/config/get", "");

  *version = 0;
  sscanf (last_reply, "{\"version\":%ld", version);
  return status;
}

/* The loop.  */

static void
tick (void)
{
  struct pollfd fds[TARGETS_MAX + CALLS_MAX + 1];
  nfds_t len = 0;

  fds[len++] = (struct pollfd){ .fd = requester_fd, .events = POLLIN };
  for (size_t i = 0; i < TARGETS_MAX; i++)
    if (targets[i].used)
      fds[len++] = (struct pollfd){ .fd = targets[i].fd, .events = POLLIN };
  for (size_t i = 0; i < CALLS_MAX; i++)
    if (calls[i].used)
      fds[len++] = (struct pollfd){
        .fd = calls[i].fd,
        .events = calls[i].out_done < calls[i].out_len ? POLLOUT : POLLIN
      };
  poll (fds, len, 5);
  run_requesters ();
  for (int i = 0; i < TARGETS_MAX; i++)
    if (targets[i].used)
      run_target (i);
  for (size_t i = 0; i < CALLS_MAX; i++)
    if (calls[i].used)
      run_call (&calls[i]);
  run_probes ();
  reap ();
  run_steps ();
}

void
run_for (uint64_t ms)
{
  uint64_t until = now_ms () + ms;

  while (now_ms () < until)
    tick ();
}

bool
run_until (bool (*done) (void), uint64_t ms)
{
  uint64_t until = now_ms () + ms;

  while (!done () && now_ms () < until)
    tick ();
  return done ();
}
