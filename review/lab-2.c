/* lab-2.c -- see lab-2.h.  */

#define _GNU_SOURCE
#include "lab-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
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

/* Ports, the same on all hosts.  */
#define INNER_PORT 7720
#define CONTROL_PORT 8166 /* Operators' API; status reports of targets.  */
#define READY_PORT 8167
#define DATAGRAM_PORT 8172
#define OUTBOUND_PORT 8173
#define APP_PORT 8180

/* Last byte of the addresses.  */
#define CONTROL_HOST 1
#define ENTRY_HOST 11
#define AGENT_HOST 21
#define CALLER_HOST 101

/* The route's address: a number in packets only, no socket is bound to it. */
#define ROUTE_IP 0x7f6f6f01u /* 127.111.111.1  */
#define ROUTE_PORT 443

/* Packets.  */
#define HEADER 32
#define DATA_MAX 1200
#define WINDOW 16
#define SYN 64
#define ACK 1
#define FIN 16
#define RST 4
#define BOUNCED 2
#define RESET_WINDOW 76800
#define FLOWS_PER_TARGET 2000
#define RESENDS_MAX 8
#define ACK_DELAY_MS 10
#define PROBE_MS 500 /* Between two probes of an entry.  */
#define RUN_MS_MAX 120000

struct lab lab;

struct packet
{
  uint16_t len, sum, sport, dport;
  uint32_t src, dst;
  uint8_t flags;
  uint32_t seq, ack;
  const uint8_t *data;
};

static char folder[200];
static FILE *record;
static uint8_t net_a, net_b;
static int caller_fd[8];
static uint16_t next_port = 20000;
static uint64_t next_request = 1;
static uint64_t next_probe_at;
static int misses[LAB_ENTRIES_MAX];
static int entry_probe_turn;

/* Ended flows of targets.  */
struct ended
{
  int target;
  uint32_t src;
  uint16_t sport;
  uint32_t snd_nxt, rcv_nxt;
};
static struct ended ended[LAB_FLOWS_MAX];
static size_t ended_len;

uint64_t
lab_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
lab_wall (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint32_t
lab_ip (int host)
{
  return 0x7f000000u | (uint32_t)net_a << 16 | (uint32_t)net_b << 8
         | (uint32_t)host;
}

static const char *
ip_text (uint32_t ip)
{
  static char text[4][16];
  static int turn;
  char *t = text[turn++ % 4];

  snprintf (t, 16, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255,
            ip & 255);
  return t;
}

void
lab_note (const char *format, ...)
{
  va_list args;
  uint64_t ms = lab_now () - lab.started_at;

  fprintf (record, "%6llu.%03llu ", (unsigned long long)ms / 1000,
           (unsigned long long)ms % 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
}

static void
kill_all (void)
{
  struct lab_process *groups[] = { lab.control, lab.entry, lab.agent };
  int lens[] = { LAB_CONTROLS_MAX, LAB_ENTRIES_MAX, LAB_AGENTS_MAX };

  for (int g = 0; g < 3; g++)
    for (int i = 0; i < lens[g]; i++)
      if (groups[g][i].pid > 0)
        {
          kill (groups[g][i].pid, SIGKILL);
          waitpid (groups[g][i].pid, NULL, 0);
          groups[g][i].pid = 0;
        }
}

static void
on_signal (int number)
{
  (void)number;
  kill_all ();
  _exit (LAB_CANNOT_RUN);
}

void
lab_cannot_run (const char *reason)
{
  if (record != NULL)
    lab_note ("the case cannot run: %s", reason);
  fprintf (stderr, "the case cannot run: %s\n", reason);
  kill_all ();
  if (record != NULL)
    fclose (record);
  exit (LAB_CANNOT_RUN);
}

int
lab_finish (bool broken, const char *rule)
{
  kill_all ();
  lab_note ("%s: %s", rule, broken ? "BROKEN" : "held");
  printf ("%s: %s\n", rule, broken ? "BROKEN" : "held");
  fclose (record);
  return broken ? LAB_BROKEN : LAB_HELD;
}

static int
bind_socket (int type, uint32_t ip, int port)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons ((uint16_t)port),
                             .sin_addr.s_addr = htonl (ip) };
  int fd = socket (AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int size = 4 << 20;

  if (fd < 0 || bind (fd, (struct sockaddr *)&sin, sizeof sin) != 0)
    {
      if (fd >= 0)
        close (fd);
      return -1;
    }
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  return fd;
}

void
lab_init (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");

  if (argc < 3)
    {
      fprintf (stderr, "usage: %s FOLDER RECORD\n", argv[0]);
      exit (LAB_CANNOT_RUN);
    }
  snprintf (folder, sizeof folder, "%s", argv[1]);
  record = fopen (argv[2], "w");
  lab.started_at = lab_now ();
  if (record == NULL)
    lab_cannot_run ("no record can be written");
  lab.trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGALRM, on_signal);
  signal (SIGPIPE, SIG_IGN);
  alarm (RUN_MS_MAX / 1000 - 2);
  srandom ((unsigned int)(getpid () ^ lab_now ()));
  /* A network whose addresses nobody uses.  */
  for (int tries = 0;; tries++)
    {
      int fd;

      net_a = (uint8_t)(10 + random () % 90);
      net_b = (uint8_t)(1 + random () % 250);
      fd = bind_socket (SOCK_DGRAM, lab_ip (ENTRY_HOST), DATAGRAM_PORT);
      if (fd >= 0)
        {
          close (fd);
          break;
        }
      if (tries == 50)
        lab_cannot_run ("no loopback network is free");
    }
  lab_note ("trouble %s, network %s", lab.trouble ? "on" : "off",
            ip_text (lab_ip (0)));
}

/* Processes.  */

static void
write_settings (struct lab_process *process, const char *format, ...)
{
  va_list args;
  FILE *file;

  snprintf (process->settings, sizeof process->settings, "%s/%s.env", folder,
            process->name);
  file = fopen (process->settings, "w");
  if (file == NULL)
    lab_cannot_run ("no settings can be written");
  fprintf (file, "HIBISCUSSPAN_NAME=%s\n", process->name);
  fprintf (file, "HIBISCUSSPAN_SEEDS=%s:%d,%s:%d,%s:%d\n",
           ip_text (lab_ip (CONTROL_HOST)), CONTROL_PORT,
           ip_text (lab_ip (CONTROL_HOST + 1)), CONTROL_PORT,
           ip_text (lab_ip (CONTROL_HOST + 2)), CONTROL_PORT);
  fprintf (file, "HIBISCUSSPAN_SEED_PORT=%d\n", INNER_PORT);
  va_start (args, format);
  vfprintf (file, format, args);
  va_end (args);
  fclose (file);
}

void
lab_restart (struct lab_process *process)
{
  char log[300];

  snprintf (log, sizeof log, "%s/%s.log", folder, process->name);
  process->pid = fork ();
  if (process->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl (process->program, process->program, "--settings",
             process->settings, (char *)NULL);
      _exit (127);
    }
  lab_note ("start %s", process->name);
}

void
lab_signal (struct lab_process *process, int number, bool wait)
{
  lab_note ("%s gets signal %d", process->name, number);
  if (process->pid <= 0)
    return;
  kill (process->pid, number);
  if (!wait)
    return;
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
}

bool
lab_has_ended (struct lab_process *process)
{
  if (process->pid > 0 && waitpid (process->pid, NULL, WNOHANG) > 0)
    {
      lab_note ("%s has ended", process->name);
      process->pid = 0;
    }
  return process->pid == 0;
}

void
lab_start_controls (int count)
{
  for (int i = 0; i < count; i++)
    {
      struct lab_process *process = &lab.control[i];
      char data[256];
      const char *ip = ip_text (lab_ip (CONTROL_HOST + i));

      snprintf (process->name, sizeof process->name, "core-%d", i + 1);
      process->program = "target/hibiscusspan-control-group";
      snprintf (data, sizeof data, "%s/data-%d", folder, i + 1);
      mkdir (data, 0700);
      write_settings (process,
                      "HIBISCUSSPAN_DATA=%s\nHIBISCUSSPAN_INNER=%s:%d\n"
                      "HIBISCUSSPAN_API=%s:%d\n"
                      "HIBISCUSSPAN_ZONES=zone-a:region-a\n"
                      "HIBISCUSSPAN_BOOTSTRAP=1\n"
                      "HIBISCUSSPAN_TOLERATED_LOSSES=1\n",
                      data, ip, INNER_PORT, ip, CONTROL_PORT);
      lab_restart (process);
    }
  lab.controls_len = count;
}

void
lab_start_entry (int i)
{
  struct lab_process *process = &lab.entry[i];
  const char *ip = ip_text (lab_ip (ENTRY_HOST + i));

  snprintf (process->name, sizeof process->name, "front-%d", i + 1);
  process->program = "target/hibiscusspan-segment-entry";
  write_settings (process,
                  "HIBISCUSSPAN_ZONE=zone-a\n"
                  "HIBISCUSSPAN_ZONES=zone-a:region-a\n"
                  "HIBISCUSSPAN_SEGMENTS=%s:%d\nHIBISCUSSPAN_INNER=%s:%d\n"
                  "HIBISCUSSPAN_HEALTH=%s:%d\nHIBISCUSSPAN_LINK_MBPS=1000\n"
                  "HIBISCUSSPAN_MAX_FLOW_S=%d\n",
                  ip, DATAGRAM_PORT, ip, INNER_PORT, ip, READY_PORT,
                  LAB_MAX_FLOW_S);
  lab_restart (process);
  if (lab.entries_len <= i)
    lab.entries_len = i + 1;
}

void
lab_start_agent (int i, const char *service)
{
  struct lab_process *process = &lab.agent[i];
  const char *ip = ip_text (lab_ip (AGENT_HOST + i));

  snprintf (process->name, sizeof process->name, "side-%d", i + 1);
  process->program = "target/hibiscusspan-segment-agent";
  write_settings (process,
                  "HIBISCUSSPAN_ZONE=zone-a\nHIBISCUSSPAN_SERVICE=%s\n"
                  "HIBISCUSSPAN_INNER=%s:%d\nHIBISCUSSPAN_UPSTREAM=%s:%d\n"
                  "HIBISCUSSPAN_OUTBOUND=%s:%d\n"
                  "HIBISCUSSPAN_HEARTBEATS=%s:%d\n"
                  "HIBISCUSSPAN_HEALTH=%s:%d\nHIBISCUSSPAN_CALLER_AT=%s:%d\n"
                  "HIBISCUSSPAN_HEARTBEAT_MS=%d\n"
                  "HIBISCUSSPAN_MAX_FLOW_S=%d\n",
                  service, ip, INNER_PORT, ip, APP_PORT, ip, OUTBOUND_PORT, ip,
                  CONTROL_PORT, ip, READY_PORT, ip, DATAGRAM_PORT,
                  LAB_HEARTBEAT_MS, LAB_MAX_FLOW_S);
  lab_restart (process);
  if (lab.agents_len <= i)
    lab.agents_len = i + 1;
}

void
lab_start_target (int i, const char *service, unsigned int work_ms)
{
  struct lab_target *target = &lab.target[i];

  target->ip = lab_ip (AGENT_HOST + i);
  target->fd = bind_socket (SOCK_DGRAM, target->ip, APP_PORT);
  if (target->fd < 0)
    lab_cannot_run ("a target's address is in use");
  snprintf (target->id, sizeof target->id, "i-%08lx", random ());
  snprintf (target->service, sizeof target->service, "%s", service);
  target->born = lab_wall ();
  target->seq = 0;
  target->state = "ready";
  target->next_beat_at = lab_now ();
  target->work_ms = work_ms;
  lab_note ("target %d starts as %s", i + 1, target->id);
}

void
lab_add_callers (int count)
{
  for (int i = 0; i < count; i++)
    caller_fd[i] = bind_socket (SOCK_DGRAM, lab_ip (CALLER_HOST + i),
                                DATAGRAM_PORT);
  lab.callers_len = count;
}

/* HTTP.  */

int
lab_http (uint32_t ip, int port, const char *method, const char *path,
          const char *body, int ms, char *answer, size_t size)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons ((uint16_t)port),
                             .sin_addr.s_addr = htonl (ip) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  uint64_t until = lab_now () + (uint64_t)ms;
  size_t body_len = body != NULL ? strlen (body) : 0;
  size_t len = 0, sent = 0;
  char *request = malloc (body_len + 512);
  static char reply[65536];
  int status = 0;

  if (connect (fd, (struct sockaddr *)&sin, sizeof sin) != 0
      && errno != EINPROGRESS)
    goto done;
  len = (size_t)sprintf (request,
                         "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                         "application/json\r\nContent-Length: %zu\r\n"
                         "Connection: close\r\n\r\n%s",
                         method, path, ip_text (ip), body_len,
                         body != NULL ? body : "");
  while (sent < len)
    {
      struct pollfd p = { fd, POLLOUT, 0 };
      ssize_t count;

      if (lab_now () >= until || poll (&p, 1, (int)(until - lab_now ())) <= 0)
        goto done;
      count = send (fd, request + sent, len - sent, MSG_NOSIGNAL);
      if (count <= 0)
        goto done;
      sent += (size_t)count;
    }
  len = 0;
  for (;;)
    {
      struct pollfd p = { fd, POLLIN, 0 };
      ssize_t count;

      if (lab_now () >= until || poll (&p, 1, (int)(until - lab_now ())) <= 0)
        break;
      count = recv (fd, reply + len, sizeof reply - 1 - len, 0);
      if (count <= 0)
        break;
      len += (size_t)count;
    }
  reply[len] = '\0';
  if (len > 12 && strncmp (reply, "HTTP/1.1 ", 9) == 0)
    status = atoi (reply + 9);
  if (answer != NULL)
    snprintf (answer, size, "%s", reply);
done:
  free (request);
  close (fd);
  return status;
}

bool
lab_configure (int version, const char *service, const char *kind)
{
  char body[1024];
  char answer[2048];

  snprintf (body, sizeof body,
            "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
            "\"pathPrefix\":\"/%d/\",\"routeType\":\"%s\",\"timeoutMs\":3000,"
            "\"aimMs\":500,\"priority\":1,\"service\":\"%s\","
            "\"maxAttempts\":2}],\"services\":[{\"name\":\"%s\","
            "\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\","
            "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
            "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
            "\"idleTimeoutMs\":%d}}",
            version, ip_text (ROUTE_IP), ROUTE_PORT, kind, service, service,
            LAB_IDLE_TIMEOUT_MS);
  for (int i = 0; i < 60; i++)
    {
      uint32_t ip = lab_ip (CONTROL_HOST + i % lab.controls_len);
      int status = lab_http (ip, CONTROL_PORT, "POST",
                             "/hibiscusspan/config/replace", body, 1000,
                             answer, sizeof answer);
      char *location = status == 307 ? strstr (answer, "Location: http://")
                                     : NULL;
      unsigned int a, b, c, d;

      if (location != NULL
          && sscanf (location, "Location: http://%u.%u.%u.%u", &a, &b, &c, &d)
                 == 4)
        status = lab_http (a << 24 | b << 16 | c << 8 | d, CONTROL_PORT,
                           "POST", "/hibiscusspan/config/replace", body, 1000,
                           answer, sizeof answer);
      if (status == 200)
        {
          lab_note ("configuration %d is acknowledged", version);
          return true;
        }
      lab_run (200);
    }
  return false;
}

int
lab_report (int i, const char *id, const char *call, const char *body)
{
  char path[128];

  snprintf (path, sizeof path, "/hibiscusspan/instances/%s/%s", id, call);
  return lab_http (lab_ip (AGENT_HOST + i), CONTROL_PORT, "POST", path, body,
                   1000, NULL, 0);
}

int
lab_beat (int i)
{
  struct lab_target *target = &lab.target[i];
  char body[512];
  int status;

  target->seq++;
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\","
            "\"version\":\"v1\",\"slots\":7,\"state\":\"%s\","
            "\"coldRemainingMs\":0,\"seq\":%u,\"born\":%llu}",
            target->service, ip_text (target->ip), APP_PORT, target->state,
            target->seq, (unsigned long long)target->born);
  status = lab_report (i, target->id, "heartbeat", body);
  if (status / 100 == 2 && strcmp (target->state, "draining") == 0
      && target->drain_acked_at == 0)
    {
      target->drain_acked_at = lab_now ();
      lab_note ("target %d: its agent has acknowledged that it is draining",
                i + 1);
    }
  target->next_beat_at = lab_now () + LAB_HEARTBEAT_MS;
  return status;
}

static void
probe_entries (void)
{
  uint64_t now = lab_now ();
  int i = entry_probe_turn;
  int status;

  if (lab.entries_len == 0 || now < next_probe_at)
    return;
  next_probe_at = now + (uint64_t)(PROBE_MS / lab.entries_len);
  entry_probe_turn = (i + 1) % lab.entries_len;
  status = lab_http (lab_ip (ENTRY_HOST + i), READY_PORT, "GET",
                     "/hibiscusspan/ready", NULL, 100, NULL, 0);
  misses[i] = status == 200 ? 0 : misses[i] + 1;
  if (status == 200 && !lab.in_rotation[i])
    lab_note ("router: front-%d in rotation", i + 1);
  if (misses[i] >= 2 && lab.in_rotation[i])
    lab_note ("router: front-%d out of rotation", i + 1);
  if (status == 200)
    lab.in_rotation[i] = true;
  else if (misses[i] >= 2)
    lab.in_rotation[i] = false;
}

bool
lab_wait_ready (int ms)
{
  uint64_t until = lab_now () + (uint64_t)ms;

  while (lab_now () < until)
    {
      int ready = 0;

      lab_run (50);
      for (int i = 0; i < lab.entries_len; i++)
        ready += lab.in_rotation[i];
      if (ready == lab.entries_len)
        return true;
    }
  return false;
}

/* Packets.  */

static void
put16 (uint8_t *b, uint16_t v)
{
  b[0] = (uint8_t)(v >> 8);
  b[1] = (uint8_t)v;
}

static void
put32 (uint8_t *b, uint32_t v)
{
  put16 (b, (uint16_t)(v >> 16));
  put16 (b + 2, (uint16_t)v);
}

static uint16_t
get16 (const uint8_t *b)
{
  return (uint16_t)(b[0] << 8 | b[1]);
}

static uint32_t
get32 (const uint8_t *b)
{
  return (uint32_t)get16 (b) << 16 | get16 (b + 2);
}

/* The sum of the ends: over all fields but echo, pad and BOUNCED.  */
static uint16_t
sum_of (const uint8_t *bytes, size_t len)
{
  uint32_t hash = 2166136261u;

  for (size_t i = 0; i < len; i++)
    {
      uint8_t byte = bytes[i];

      if (i == 2 || i == 3 || (i >= 18 && i < 22) || i == 23)
        continue;
      if (i == 22)
        byte &= (uint8_t)~BOUNCED;
      hash = (hash ^ byte) * 16777619u;
    }
  hash ^= hash >> 16;
  return (uint16_t)(hash & 0xffff) != 0 ? (uint16_t)(hash & 0xffff) : 1;
}

static bool
decode (const uint8_t *bytes, size_t len, struct packet *p)
{
  if (len < HEADER || get16 (bytes) != len - HEADER)
    return false;
  p->len = get16 (bytes);
  p->sum = get16 (bytes + 2);
  p->sport = get16 (bytes + 6);
  p->dport = get16 (bytes + 8);
  p->src = get32 (bytes + 10);
  p->dst = get32 (bytes + 14);
  p->flags = bytes[22];
  p->seq = get32 (bytes + 24);
  p->ack = get32 (bytes + 28);
  p->data = bytes + HEADER;
  return true;
}

static void
send_to (int fd, uint32_t ip, int port, const uint8_t *bytes, size_t len)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons ((uint16_t)port),
                             .sin_addr.s_addr = htonl (ip) };

  sendto (fd, bytes, len, 0, (struct sockaddr *)&sin, sizeof sin);
}

/* The router: by a steady hash over the entries in rotation.  */
static int
pick_entry (const struct lab_flow *flow)
{
  int best = -1;
  uint32_t best_score = 0;
  bool any = false;

  for (int i = 0; i < lab.entries_len; i++)
    any = any || lab.in_rotation[i];
  for (int i = 0; i < lab.entries_len; i++)
    {
      uint32_t score = (flow->order ^ (uint32_t)(i + 1) * 2654435761u)
                       * 2246822519u;

      if (any && !lab.in_rotation[i])
        continue;
      if (best < 0 || score > best_score)
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}

static void
send_packet (struct lab_flow *flow, uint8_t flags, uint32_t seq, uint32_t ack,
             const uint8_t *data, size_t len)
{
  uint8_t bytes[HEADER + DATA_MAX] = { 0 };

  put16 (bytes, (uint16_t)len);
  put16 (bytes + 6, flow->my_port);
  put16 (bytes + 8, flow->peer_port);
  put32 (bytes + 10, flow->my_ip);
  put32 (bytes + 14, flow->peer_ip);
  bytes[22] = flags;
  put32 (bytes + 24, seq);
  put32 (bytes + 28, ack);
  if (len > 0)
    memcpy (bytes + HEADER, data, len);
  put16 (bytes + 2, sum_of (bytes, HEADER + len));
  if (flow->is_caller)
    {
      int entry = pick_entry (flow);

      if (entry >= 0)
        send_to (caller_fd[flow->owner], lab_ip (ENTRY_HOST + entry),
                 DATAGRAM_PORT, bytes, HEADER + len);
    }
  else
    send_to (lab.target[flow->owner].fd, lab.target[flow->owner].ip,
             OUTBOUND_PORT, bytes, HEADER + len);
}

static void
send_ack (struct lab_flow *flow)
{
  flow->unacked = 0;
  flow->ack_at = 0;
  send_packet (flow, ACK, flow->snd_nxt, flow->rcv_nxt, NULL, 0);
}

/* Sends what the window allows.  */
static void
send_data (struct lab_flow *flow)
{
  for (;;)
    {
      size_t offset = flow->snd_nxt - flow->snd_una;
      size_t left = flow->out_len - offset;

      if (left == 0 || offset >= WINDOW * DATA_MAX)
        return;
      if (left > DATA_MAX)
        left = DATA_MAX;
      send_packet (flow, ACK, flow->snd_nxt, flow->rcv_nxt,
                   flow->out + offset, left);
      flow->snd_nxt += (uint32_t)left;
      flow->unacked = 0;
      flow->ack_at = 0;
      if (flow->resend_at == 0)
        {
          flow->resend_ms = 200;
          flow->resends = 0;
          flow->resend_at = lab_now () + flow->resend_ms;
        }
    }
}

static void
append (uint8_t **bytes, size_t *len, size_t *size, const void *data,
        size_t data_len)
{
  if (*len + data_len > *size)
    {
      *size = (*len + data_len) * 2;
      *bytes = realloc (*bytes, *size);
    }
  if (data != NULL)
    memcpy (*bytes + *len, data, data_len);
  else
    memset (*bytes + *len, 'x', data_len);
  *len += data_len;
}

static void
write_out (struct lab_flow *flow, const void *data, size_t len)
{
  append (&flow->out, &flow->out_len, &flow->out_size, data, len);
}

static struct lab_flow *
new_flow (void)
{
  for (size_t i = 0; i < lab.flows_len; i++)
    if (lab.flows[i].state == LAB_FLOW_FREE)
      {
        free (lab.flows[i].out);
        free (lab.flows[i].in);
        memset (&lab.flows[i], 0, sizeof lab.flows[i]);
        return &lab.flows[i];
      }
  if (lab.flows_len == LAB_FLOWS_MAX)
    lab_cannot_run ("too many flows");
  return &lab.flows[lab.flows_len++];
}

static struct lab_flow *
find_flow (bool is_caller, int owner, const struct packet *p)
{
  for (size_t i = 0; i < lab.flows_len; i++)
    {
      struct lab_flow *flow = &lab.flows[i];

      if (flow->state != LAB_FLOW_FREE && flow->is_caller == is_caller
          && (owner < 0 || flow->owner == owner) && flow->peer_ip == p->src
          && flow->peer_port == p->sport && flow->my_ip == p->dst
          && flow->my_port == p->dport)
        return flow;
    }
  return NULL;
}

/* The caller's end of the flow of a packet that a target got.  */
static struct lab_flow *
find_caller_end (const struct packet *p)
{
  for (size_t i = 0; i < lab.flows_len; i++)
    {
      struct lab_flow *flow = &lab.flows[i];

      if (flow->state != LAB_FLOW_FREE && flow->is_caller
          && flow->my_ip == p->src && flow->my_port == p->sport)
        return flow;
    }
  return NULL;
}

struct lab_flow *
lab_open (int caller)
{
  struct lab_flow *flow = new_flow ();

  flow->state = LAB_FLOW_SYN_SENT;
  flow->is_caller = true;
  flow->owner = caller;
  flow->my_ip = lab_ip (CALLER_HOST + caller);
  flow->my_port = next_port++;
  flow->peer_ip = ROUTE_IP;
  flow->peer_port = ROUTE_PORT;
  flow->iss = (uint32_t)random ();
  flow->snd_una = flow->snd_nxt = flow->iss + 1;
  flow->order = (uint32_t)random ();
  flow->target = -1;
  flow->syn_at = lab_now ();
  send_packet (flow, SYN, flow->iss, 0, NULL, 0);
  return flow;
}

void
lab_request (struct lab_flow *flow, size_t body_len, size_t answer_len)
{
  char head[256];
  int len;

  flow->request = next_request++;
  flow->requested_at = lab_now ();
  len = snprintf (head, sizeof head,
                  "POST /work?size=%zu HTTP/1.1\r\nAttempt-Id: %llu\r\n"
                  "Content-Length: %zu\r\n\r\n",
                  answer_len, (unsigned long long)flow->request, body_len);
  write_out (flow, head, (size_t)len);
  if (body_len > 0)
    write_out (flow, NULL, body_len);
  if (flow->state == LAB_FLOW_OPEN)
    send_data (flow);
}

static void
forget (struct lab_flow *flow)
{
  flow->state = LAB_FLOW_FREE;
}

void
lab_close (struct lab_flow *flow)
{
  if (flow->state == LAB_FLOW_OPEN)
    send_packet (flow, FIN | ACK, flow->snd_nxt, flow->rcv_nxt, NULL, 0);
  forget (flow);
}

/* Takes the ack and the data of P; returns whether there was new data.  */
static bool
take_segment (struct lab_flow *flow, const struct packet *p)
{
  uint32_t acked = p->ack - flow->snd_una;

  if ((p->flags & ACK) != 0 && acked > 0
      && acked <= flow->snd_nxt - flow->snd_una)
    {
      memmove (flow->out, flow->out + acked, flow->out_len - acked);
      flow->out_len -= acked;
      flow->snd_una = p->ack;
      flow->resends = 0;
      flow->resend_ms = 200;
      flow->resend_at
          = flow->snd_nxt != flow->snd_una ? lab_now () + 200 : 0;
      send_data (flow);
    }
  if (p->len == 0)
    return false;
  if (p->seq != flow->rcv_nxt)
    {
      send_ack (flow);
      return false;
    }
  append (&flow->in, &flow->in_len, &flow->in_size, p->data, p->len);
  flow->rcv_nxt += p->len;
  if (++flow->unacked >= 2)
    send_ack (flow);
  else if (flow->ack_at == 0)
    flow->ack_at = lab_now () + ACK_DELAY_MS;
  return true;
}

/* Returns the length of a complete message at the start of what was received,
   or 0.  */
static size_t
message_len (struct lab_flow *flow, size_t *body_len)
{
  uint8_t *end = flow->in_len > 0
                     ? memmem (flow->in, flow->in_len, "\r\n\r\n", 4)
                     : NULL;
  const char *field;

  if (end == NULL)
    return 0;
  field = memmem (flow->in, flow->in_len, "Content-Length: ", 16);
  *body_len = field != NULL ? strtoul (field + 16, NULL, 10) : 0;
  if (flow->in_len < (size_t)(end - flow->in) + 4 + *body_len)
    return 0;
  return (size_t)(end - flow->in) + 4 + *body_len;
}

static void
drop_in (struct lab_flow *flow, size_t len)
{
  memmove (flow->in, flow->in + len, flow->in_len - len);
  flow->in_len -= len;
}

static void
read_request (struct lab_flow *flow)
{
  size_t body_len;
  size_t len = message_len (flow, &body_len);
  const char *field;

  if (len == 0 || flow->work_request != 0)
    return;
  field = memmem (flow->in, len, "Attempt-Id: ", 12);
  flow->work_request = field != NULL ? strtoull (field + 12, NULL, 10) : 0;
  field = memmem (flow->in, len, "size=", 5);
  flow->work_answer = field != NULL ? strtoul (field + 5, NULL, 10) : 0;
  flow->work_until = lab_now () + lab.target[flow->owner].work_ms;
  lab.target[flow->owner].runs++;
  drop_in (flow, len);
}

static void
answer_request (struct lab_flow *flow)
{
  char head[256];
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 200 OK\r\nResponse-Stamp: %s-%llu\r\n"
                      "Content-Length: %zu\r\n\r\n",
                      lab.target[flow->owner].id,
                      (unsigned long long)flow->work_request,
                      flow->work_answer);

  write_out (flow, head, (size_t)len);
  write_out (flow, NULL, flow->work_answer);
  flow->work_request = 0;
  send_data (flow);
  read_request (flow);
}

static void
read_answer (struct lab_flow *flow)
{
  size_t body_len;
  size_t len = message_len (flow, &body_len);

  if (len == 0)
    return;
  flow->bytes_read += len;
  flow->answer_len = body_len;
  flow->answered++;
  flow->request = 0;
  drop_in (flow, len);
  if (lab.on_answer != NULL)
    lab.on_answer (flow);
}

/* FLOW (b): a packet of FLOW, whose target holds it, has reached another
   target.  The time counts from the first such packet since the latest one at
   its own target to this one.  */
static void
count_other (struct lab_flow *flow, const struct packet *p)
{
  bool seen = false;
  uint64_t now = lab_now ();

  if (flow->other_packets++ == 0)
    flow->other_since = now;
  for (unsigned int i = 0; i < flow->other_distinct && i < 16; i++)
    seen = seen || flow->other_seqs[i] == p->seq;
  if (!seen && flow->other_distinct < 16)
    flow->other_seqs[flow->other_distinct++] = p->seq;
  if (flow->strayed || flow->other_distinct < 3
      || now - flow->other_since < LAB_FLOW_MS)
    return;
  flow->strayed = true;
  lab.strayed++;
  lab_note ("flow %u: for %llu ms, %u of its packets, %u of them different, "
            "have reached other targets, and none its own, %d; its request "
            "has waited for %llu ms",
            flow->my_port, (unsigned long long)(now - flow->other_since),
            flow->other_packets, flow->other_distinct, flow->target + 1,
            (unsigned long long)(flow->request != 0 ? now - flow->requested_at
                                                    : 0));
}

static void
note_own (struct lab_flow *flow)
{
  flow->other_packets = 0;
  flow->other_distinct = 0;
}

static void
target_packet (int t, uint8_t *bytes, size_t len)
{
  struct lab_target *target = &lab.target[t];
  struct packet p;
  struct lab_flow *flow, *caller;

  if (!decode (bytes, len, &p))
    return;
  if (p.sum != sum_of (bytes, len) || (p.flags & BOUNCED) != 0)
    {
      lab.damaged++;
      lab_note ("target %d: a packet that its sender did not write so", t + 1);
      return;
    }
  flow = find_flow (false, t, &p);
  caller = find_caller_end (&p);
  if ((p.flags & (SYN | ACK)) == SYN)
    {
      if (flow == NULL)
        {
          flow = new_flow ();
          flow->state = LAB_FLOW_SYN_TAKEN;
          flow->owner = t;
          flow->my_ip = p.dst;
          flow->my_port = p.dport;
          flow->peer_ip = p.src;
          flow->peer_port = p.sport;
          flow->iss = (uint32_t)random ();
          flow->snd_una = flow->snd_nxt = flow->iss + 1;
          flow->irs = p.seq;
          flow->rcv_nxt = p.seq + 1;
          target->syns++;
          if (target->drain_acked_at != 0)
            lab_note ("target %d: takes a SYN of port %u, %llu ms after the "
                      "ack of its draining",
                      t + 1, p.sport,
                      (unsigned long long)(lab_now ()
                                           - target->drain_acked_at));
        }
      send_packet (flow, SYN | ACK, flow->iss, flow->rcv_nxt, NULL, 0);
      return;
    }
  if (flow != NULL && flow->state == LAB_FLOW_SYN_TAKEN
      && (p.flags & ACK) != 0 && p.ack == flow->iss + 1)
    {
      flow->state = LAB_FLOW_OPEN;
      flow->opened_at = lab_now ();
      if (caller != NULL)
        caller->target = t;
    }
  if (flow == NULL || flow->state != LAB_FLOW_OPEN)
    {
      for (size_t i = 0; i < ended_len; i++)
        if (ended[i].target == t && ended[i].src == p.src
            && ended[i].sport == p.sport)
          {
            struct lab_flow end = { .owner = t,
                                    .my_ip = p.dst,
                                    .my_port = p.dport,
                                    .peer_ip = p.src,
                                    .peer_port = p.sport };

            if ((p.flags & FIN) != 0)
              send_packet (&end, ACK, ended[i].snd_nxt, p.seq + p.len + 1,
                           NULL, 0);
            else if (p.len > 0)
              send_packet (&end, RST, p.ack, 0, NULL, 0);
            return;
          }
      target->returned++;
      if (caller != NULL && caller->state == LAB_FLOW_OPEN
          && caller->target >= 0 && caller->target != t)
        count_other (caller, &p);
      bytes[22] |= BOUNCED;
      bytes[23] = 0;
      send_to (target->fd, target->ip, OUTBOUND_PORT, bytes, len);
      return;
    }
  if (caller != NULL && caller->target == t)
    note_own (caller);
  if ((p.flags & RST) != 0)
    {
      forget (flow);
      return;
    }
  if (take_segment (flow, &p))
    read_request (flow);
  if ((p.flags & FIN) != 0 && p.seq + p.len == flow->rcv_nxt)
    {
      struct ended *e = &ended[ended_len++ % LAB_FLOWS_MAX];

      send_packet (flow, FIN | ACK, flow->snd_nxt, flow->rcv_nxt + 1, NULL, 0);
      *e = (struct ended){ t, p.src, p.sport, flow->snd_nxt + 1,
                           flow->rcv_nxt + 1 };
      if (ended_len > LAB_FLOWS_MAX)
        ended_len = LAB_FLOWS_MAX;
      forget (flow);
    }
}

/* Whether the target of the caller's end FLOW still holds the flow.  */
static bool
is_held (const struct lab_flow *flow)
{
  for (size_t i = 0; i < lab.flows_len; i++)
    {
      const struct lab_flow *other = &lab.flows[i];

      if (other->state == LAB_FLOW_OPEN && !other->is_caller
          && other->owner == flow->target && other->peer_ip == flow->my_ip
          && other->peer_port == flow->my_port)
        return true;
    }
  return false;
}

static void
caller_packet (int c, const uint8_t *bytes, size_t len)
{
  struct packet p;
  struct lab_flow *flow;

  if (!decode (bytes, len, &p))
    return;
  flow = find_flow (true, c, &p);
  if (flow == NULL)
    return;
  if ((p.flags & RST) != 0)
    {
      bool own = p.sum == 0 && p.len == 0; /* The system's own reset.  */
      uint32_t distance = p.seq - flow->rcv_nxt + RESET_WINDOW;

      if (flow->state == LAB_FLOW_OPEN && own
          && distance > 2 * RESET_WINDOW)
        return;
      flow->was_reset = own;
      flow->refused = flow->state == LAB_FLOW_SYN_SENT;
      if (flow->state == LAB_FLOW_OPEN && own && is_held (flow))
        {
          flow->reset_while_open = true;
          lab.system_resets_open++;
          lab_note ("flow %u: reset by the system, though target %d is alive "
                    "and holds it; request %llu waits",
                    flow->my_port, flow->target + 1,
                    (unsigned long long)flow->request);
        }
      flow->state = LAB_FLOW_ENDED;
      return;
    }
  if (p.sum != sum_of (bytes, len))
    {
      lab.damaged++;
      lab_note ("caller: a packet that its sender did not write so");
      return;
    }
  if (flow->state == LAB_FLOW_SYN_SENT
      && (p.flags & (SYN | ACK)) == (SYN | ACK))
    {
      flow->irs = p.seq;
      flow->rcv_nxt = p.seq + 1;
      flow->state = LAB_FLOW_OPEN;
      flow->opened_at = lab_now ();
      if (flow->out_len > 0)
        send_data (flow);
      else
        send_ack (flow);
      return;
    }
  if (flow->state != LAB_FLOW_OPEN || (p.flags & SYN) != 0)
    return;
  if (take_segment (flow, &p))
    read_answer (flow);
}

static void
run_timers (uint64_t now)
{
  static const unsigned int copies_ms[] = { 200, 600 };

  for (size_t i = 0; i < lab.flows_len; i++)
    {
      struct lab_flow *flow = &lab.flows[i];

      if (flow->state == LAB_FLOW_SYN_SENT)
        {
          if (now - flow->syn_at >= 1400)
            {
              flow->refused = true;
              flow->state = LAB_FLOW_ENDED;
            }
          else if (flow->syn_copies < 2
                   && now - flow->syn_at >= copies_ms[flow->syn_copies])
            {
              flow->syn_copies++;
              send_packet (flow, SYN, flow->iss, flow->syn_copies, NULL, 0);
            }
          continue;
        }
      if (flow->state != LAB_FLOW_OPEN)
        continue;
      if (flow->ack_at != 0 && now >= flow->ack_at)
        send_ack (flow);
      if (flow->work_request != 0 && now >= flow->work_until)
        answer_request (flow);
      if (flow->resend_at == 0 || now < flow->resend_at)
        continue;
      if (!flow->is_caller && ++flow->resends > RESENDS_MAX)
        {
          lab_note ("target %d: gives up flow of port %u", flow->owner + 1,
                    flow->peer_port);
          forget (flow);
          continue;
        }
      flow->resend_ms
          = flow->resend_ms * 2 > 1600 ? 1600 : flow->resend_ms * 2;
      flow->snd_nxt = flow->snd_una;
      flow->resend_at = now + flow->resend_ms;
      send_data (flow);
    }
}

void
lab_run (int ms)
{
  uint64_t until = lab_now () + (uint64_t)ms;

  do
    {
      struct pollfd fds[LAB_AGENTS_MAX + 8];
      int owner[LAB_AGENTS_MAX + 8];
      nfds_t len = 0;

      for (int i = 0; i < LAB_AGENTS_MAX; i++)
        if (lab.target[i].fd > 0)
          {
            owner[len] = i;
            fds[len++] = (struct pollfd){ lab.target[i].fd, POLLIN, 0 };
          }
      for (int i = 0; i < lab.callers_len; i++)
        {
          owner[len] = 100 + i;
          fds[len++] = (struct pollfd){ caller_fd[i], POLLIN, 0 };
        }
      poll (fds, len, 1);
      for (nfds_t i = 0; i < len; i++)
        for (int k = 0; k < 64 && (fds[i].revents & POLLIN) != 0; k++)
          {
            uint8_t bytes[2048];
            ssize_t count = recv (fds[i].fd, bytes, sizeof bytes, 0);

            if (count <= 0)
              break;
            if (owner[i] >= 100)
              caller_packet (owner[i] - 100, bytes, (size_t)count);
            else
              target_packet (owner[i], bytes, (size_t)count);
          }
      run_timers (lab_now ());
      for (int i = 0; i < LAB_AGENTS_MAX; i++)
        if (lab.target[i].fd > 0 && lab_now () >= lab.target[i].next_beat_at)
          lab_beat (i);
      probe_entries ();
    }
  while (lab_now () < until);
}
