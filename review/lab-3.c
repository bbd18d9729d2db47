/* lab-3.c -- see lab-3.h.  */

#define _GNU_SOURCE
#include "lab-3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD 32
#define F_SYN 64
#define F_ACK 1
#define F_FIN 16
#define F_RST 4
#define F_BOUNCED 2
#define SEGMENT_PORT 8172
#define INNER_PORT 7720
#define API_PORT 8166
#define READY_PORT 8167
#define CONTROL_PORT 8168
#define OUTBOUND_PORT 8169
#define APP_PORT 8170
#define CALLER_HOST 200
#define RESET_WINDOW 76800
#define HELD_MAX LAB_FLOWS_MAX

struct lab lab;

struct packet
{
  uint32_t src, dst, seq, ack, sum;
  uint16_t sport, dport, len;
  uint8_t flags;
  uint8_t bytes[1500];
  size_t size;
};

static uint64_t
mono (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

uint64_t
lab_wall (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

uint64_t
lab_now (void)
{
  return mono () - lab.start;
}

void
lab_note (const char *format, ...)
{
  va_list args;

  fprintf (lab.record, "%7.3f ", (double)lab_now () / 1000);
  va_start (args, format);
  vfprintf (lab.record, format, args);
  va_end (args);
  fputc ('\n', lab.record);
  fflush (lab.record);
}

static struct sockaddr_in
addr_of (int host, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((uint16_t)port) };

  a.sin_addr.s_addr = htonl (lab.net + (uint32_t)host);
  return a;
}

static const char *
ip_of (int host)
{
  static char text[8][INET_ADDRSTRLEN];
  static int next;
  struct sockaddr_in a = addr_of (host, 0);

  next = (next + 1) % 8;
  inet_ntop (AF_INET, &a.sin_addr, text[next], sizeof text[next]);
  return text[next];
}

static int
udp (int host, int port)
{
  struct sockaddr_in a = addr_of (host, port);
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0)
    {
      lab_note ("cannot bind %s:%d: %s", ip_of (host), port, strerror (errno));
      lab_end (2);
    }
  return fd;
}

void
lab_begin (const char *record, int cores, const char *zones)
{
  const char *trouble = getenv ("TROUBLE");

  lab.start = mono ();
  lab.record = fopen (record, "w");
  if (lab.record == NULL)
    exit (2);
  lab.trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  lab.programs = getenv ("PROGRAMS") != NULL ? getenv ("PROGRAMS") : "target";
  lab.cores = cores;
  lab.zones = zones;
  snprintf (lab.folder, sizeof lab.folder, "%s/lab-3-XXXXXX",
            getenv ("TMPDIR") != NULL ? getenv ("TMPDIR") : "/tmp");
  if (mkdtemp (lab.folder) == NULL)
    exit (2);
  srand ((unsigned)(mono () ^ (uint64_t)getpid ()));
  lab.net = 127u << 24 | (uint32_t)(64 + rand () % 64) << 16
            | (uint32_t)(rand () % 250 + 1) << 8;
  signal (SIGPIPE, SIG_IGN);
  lab.caller_fd = udp (CALLER_HOST, SEGMENT_PORT);
  lab_note ("trouble: %s", lab.trouble ? "yes" : "no");
}

void
lab_end (int status)
{
  char command[400];

  for (int i = 0; i < lab.processes_len; i++)
    if (lab.processes[i].pid > 0)
      {
        kill (lab.processes[i].pid, SIGKILL);
        waitpid (lab.processes[i].pid, NULL, 0);
      }
  lab_note ("exit status %d", status);
  fclose (lab.record);
  if (getenv ("KEEP") != NULL)
    fprintf (stderr, "logs are in %s\n", lab.folder);
  else
    {
      snprintf (command, sizeof command, "rm -rf '%s'", lab.folder);
      if (system (command) != 0)
        fprintf (stderr, "cannot remove %s\n", lab.folder);
    }
  exit (status);
}

static void
seeds (char *text, size_t size)
{
  size_t used = 0;

  text[0] = '\0';
  for (int i = 1; i <= 3 && i <= lab.cores; i++)
    used += (size_t)snprintf (text + used, size - used, "%s%s:%d",
                              i > 1 ? "," : "", ip_of (i), API_PORT);
}

static void
write_settings (const struct lab_process *p, const char *path)
{
  FILE *f = fopen (path, "w");
  char text[200];

  if (f == NULL)
    lab_end (2);
  seeds (text, sizeof text);
  fprintf (f, "HIBISCUSSPAN_NAME=%s\n", p->name);
  fprintf (f, "HIBISCUSSPAN_INNER=%s:%d\n", ip_of (p->host), INNER_PORT);
  fprintf (f, "HIBISCUSSPAN_SEEDS=%s\nHIBISCUSSPAN_SEED_PORT=%d\n", text,
           INNER_PORT);
  if (p->role == LAB_CORE)
    fprintf (f,
             "HIBISCUSSPAN_DATA=%s/%s\nHIBISCUSSPAN_API=%s:%d\n"
             "HIBISCUSSPAN_ZONES=%s\nHIBISCUSSPAN_BOOTSTRAP=%d\n"
             "HIBISCUSSPAN_TOLERATED_LOSSES=1\n",
             lab.folder, p->name, ip_of (p->host), API_PORT, lab.zones,
             p->bootstrap);
  if (p->role == LAB_ENTRY)
    fprintf (f,
             "HIBISCUSSPAN_ZONE=%s\nHIBISCUSSPAN_ZONES=%s\n"
             "HIBISCUSSPAN_SEGMENTS=%s:%d\nHIBISCUSSPAN_HEALTH=%s:%d\n"
             "HIBISCUSSPAN_LINK_MBPS=1000.0\nHIBISCUSSPAN_MAX_FLOW_S=60\n",
             p->zone, lab.zones, ip_of (p->host), SEGMENT_PORT,
             ip_of (p->host), READY_PORT);
  if (p->role == LAB_AGENT)
    fprintf (f,
             "HIBISCUSSPAN_ZONE=%s\nHIBISCUSSPAN_SERVICE=%s\n"
             "HIBISCUSSPAN_UPSTREAM=%s:%d\nHIBISCUSSPAN_OUTBOUND=%s:%d\n"
             "HIBISCUSSPAN_HEARTBEATS=%s:%d\nHIBISCUSSPAN_HEALTH=%s:%d\n"
             "HIBISCUSSPAN_CALLER_AT=%s:%d\nHIBISCUSSPAN_HEARTBEAT_MS=%d\n"
             "HIBISCUSSPAN_MAX_FLOW_S=60\n",
             p->zone, p->service, ip_of (p->host), APP_PORT, ip_of (p->host),
             OUTBOUND_PORT, ip_of (p->host), CONTROL_PORT, ip_of (p->host),
             READY_PORT, ip_of (p->host), SEGMENT_PORT, LAB_BEAT_MS);
  fclose (f);
}

/* Starts the program of P with the command of the deploy file.  */
static void
launch (struct lab_process *p)
{
  static const char *const programs[]
      = { [LAB_CORE] = "hibiscusspan-control-group",
          [LAB_ENTRY] = "hibiscusspan-segment-entry",
          [LAB_AGENT] = "hibiscusspan-segment-agent" };
  char path[512], settings[512], log[512];

  snprintf (path, sizeof path, "%s/%s", lab.programs, programs[p->role]);
  snprintf (settings, sizeof settings, "%s/%s.env", lab.folder, p->name);
  snprintf (log, sizeof log, "%s/%s.log", lab.folder, p->name);
  write_settings (p, settings);
  p->pid = fork ();
  if (p->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (path, path, "--settings", settings, (char *)NULL);
      _exit (127);
    }
  if (p->pid < 0)
    lab_end (2);
}

struct lab_process *
lab_start (enum lab_role role, const char *name, int host, const char *zone,
           const char *service, bool bootstrap)
{
  struct lab_process *p = &lab.processes[lab.processes_len++];
  char folder[512];

  snprintf (p->name, sizeof p->name, "%s", name);
  p->role = role;
  p->host = host;
  p->zone = zone;
  p->service = service;
  p->bootstrap = bootstrap;
  snprintf (folder, sizeof folder, "%s/%s", lab.folder, name);
  mkdir (folder, 0700);
  launch (p);
  return p;
}

void
lab_signal (struct lab_process *p, int signal_number)
{
  lab_note ("%s to %s", strsignal (signal_number), p->name);
  if (p->pid > 0)
    kill (p->pid, signal_number);
}

static struct lab_process *exiting;

static bool
has_exited (void)
{
  int status;

  if (exiting->pid > 0 && waitpid (exiting->pid, &status, WNOHANG) != exiting->pid)
    return false;
  exiting->pid = 0;
  return true;
}

void
lab_wait_exit (struct lab_process *p, uint64_t limit_ms)
{
  exiting = p;
  if (!lab_run (limit_ms, has_exited))
    {
      lab_note ("%s has not ended", p->name);
      kill (p->pid, SIGKILL);
      waitpid (p->pid, NULL, 0);
      p->pid = 0;
    }
  else
    lab_note ("%s has ended", p->name);
}

void
lab_restart (struct lab_process *p)
{
  lab_note ("%s is started again", p->name);
  p->bootstrap = false;
  launch (p);
}

/* Packets.  */

static void
put16 (uint8_t *b, uint32_t v)
{
  b[0] = (uint8_t)(v >> 8);
  b[1] = (uint8_t)v;
}

static void
put32 (uint8_t *b, uint32_t v)
{
  put16 (b, v >> 16);
  put16 (b + 2, v & 0xffff);
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

/* A sum over all but echo, pad and BOUNCED; never 0.  */
static uint32_t
sum_of (const uint8_t *b, size_t size)
{
  uint32_t h = 2166136261u;

  for (size_t i = 0; i < size; i++)
    {
      uint8_t v = b[i];

      if ((i >= 2 && i < 6) || (i >= 18 && i < 22) || i == 23)
        continue;
      if (i == 22)
        v &= (uint8_t)~F_BOUNCED;
      h = (h ^ v) * 16777619u;
    }
  return h | 1;
}

static size_t
encode (uint8_t *b, uint32_t src, uint16_t sport, uint32_t dst, uint16_t dport,
        uint8_t flags, uint32_t seq, uint32_t ack, const char *data)
{
  size_t len = data != NULL ? strlen (data) : 0;

  memset (b, 0, HEAD);
  put16 (b, (uint32_t)len);
  put16 (b + 6, sport);
  put16 (b + 8, dport);
  put32 (b + 10, src);
  put32 (b + 14, dst);
  b[22] = flags;
  put32 (b + 24, seq);
  put32 (b + 28, ack);
  if (len > 0)
    memcpy (b + HEAD, data, len);
  put32 (b + 2, sum_of (b, HEAD + len));
  return HEAD + len;
}

static bool
receive (int fd, struct packet *p)
{
  ssize_t n = recv (fd, p->bytes, sizeof p->bytes - 1, MSG_DONTWAIT);

  if (n < HEAD)
    return false;
  p->size = (size_t)n;
  p->bytes[n] = '\0';
  p->len = get16 (p->bytes);
  p->sum = get32 (p->bytes + 2);
  p->sport = get16 (p->bytes + 6);
  p->dport = get16 (p->bytes + 8);
  p->src = get32 (p->bytes + 10);
  p->dst = get32 (p->bytes + 14);
  p->flags = p->bytes[22];
  p->seq = get32 (p->bytes + 24);
  p->ack = get32 (p->bytes + 28);
  return true;
}

static void
send_to (int fd, int host, int port, const uint8_t *b, size_t size)
{
  struct sockaddr_in a = addr_of (host, port);

  sendto (fd, b, size, MSG_DONTWAIT, (struct sockaddr *)&a, sizeof a);
}

/* Targets.  */

int
lab_add_target (int host, const char *zone, const char *service)
{
  struct lab_target *t = &lab.targets[lab.targets_len];

  t->host = host;
  t->zone = zone;
  t->service = service;
  t->fd = -1;
  t->slots = 7;
  t->work_ms = 50;
  return lab.targets_len++;
}

void
lab_start_target (int target, int64_t born_offset)
{
  struct lab_target *t = &lab.targets[target];

  t->fd = udp (t->host, APP_PORT);
  t->lifetime++;
  t->born = lab_wall () + (uint64_t)born_offset;
  t->seq = 0;
  t->draining = false;
  t->beats = true;
  t->next_beat = lab_now ();
  t->last_acked = 0;
  t->drain_acked = 0;
  t->syns = 0;
  snprintf (t->id, sizeof t->id, "i-%d-%d", t->host, t->lifetime);
  lab_note ("target %d starts: lifetime %s", t->host, t->id);
}

void
lab_crash_target (int target)
{
  struct lab_target *t = &lab.targets[target];

  lab_note ("target %d crashes: lifetime %s", t->host, t->id);
  close (t->fd);
  t->fd = -1;
  t->beats = false;
  memset (lab.held[target], 0, sizeof lab.held[target]);
}

static struct lab_held *
find_held (int target, const struct packet *p)
{
  for (int i = 0; i < HELD_MAX; i++)
    {
      struct lab_held *h = &lab.held[target][i];

      if (h->used && h->src == p->src && h->sport == p->sport
          && h->dst == p->dst && h->dport == p->dport)
        return h;
    }
  return NULL;
}

static void
answer (const struct lab_target *t, const struct lab_held *h, uint8_t flags,
        uint32_t seq, const char *data)
{
  uint8_t b[1500];
  size_t size = encode (b, h->dst, h->dport, h->src, h->sport, flags, seq,
                        h->rcv, data);

  send_to (t->fd, t->host, OUTBOUND_PORT, b, size);
}

static void
bounce (const struct lab_target *t, struct packet *p)
{
  p->bytes[22] |= F_BOUNCED;
  p->bytes[23] = 0;
  lab.returned++;
  send_to (t->fd, t->host, OUTBOUND_PORT, p->bytes, p->size);
}

static void
on_target_packet (int target, struct packet *p)
{
  struct lab_target *t = &lab.targets[target];
  struct lab_held *h = find_held (target, p);
  if (p->sum != sum_of (p->bytes, p->size))
    {
      lab_note ("UNASKED: target %d got a packet that its sender did not "
                "write so",
                t->host);
      lab.foreign++;
      return;
    }
  if (p->flags == F_SYN)
    {
      if (t->lose_syns > 0)
        {
          t->lose_syns--;
          lab.lost_syns++;
          lab_note ("a SYN to target %d is lost", t->host);
          return;
        }
      for (int i = 0; h == NULL && i < HELD_MAX; i++)
        if (!lab.held[target][i].used)
          {
            h = &lab.held[target][i];
            *h = (struct lab_held){ .used = true,
                                    .lifetime = t->lifetime,
                                    .src = p->src,
                                    .sport = p->sport,
                                    .dst = p->dst,
                                    .dport = p->dport,
                                    .isn = (uint32_t)rand (),
                                    .rcv = p->seq + 1 };
            h->snd = h->isn + 1;
            t->syns++;
            t->last_syn = lab_now ();
          }
      if (h == NULL)
        {
          bounce (t, p);
          return;
        }
      if (!h->open)
        answer (t, h, F_SYN | F_ACK, h->isn, NULL);
      return;
    }
  if (h != NULL && h->ended)
    {
      if ((p->flags & F_FIN) != 0)
        answer (t, h, F_ACK, h->snd, NULL);
      else if (p->len > 0)
        answer (t, h, F_RST, h->snd, NULL);
      return;
    }
  if (h == NULL || (!h->open && p->ack != h->isn + 1))
    {
      bounce (t, p);
      return;
    }
  if (!h->open)
    {
      h->open = true;
      h->opened_at = lab_now ();
      for (int i = 0; i < lab.flows_len; i++)
        if (lab.flows[i].port == p->sport)
          {
            lab.flows[i].target = target;
            lab.flows[i].lifetime = t->lifetime;
          }
    }
  if (p->len > 0 && p->seq == h->rcv && h->due == 0)
    {
      h->rcv += p->len;
      snprintf (h->answer, sizeof h->answer, "%s answers %.100s", t->id,
                p->bytes + HEAD);
      h->due = lab_now () + t->work_ms;
    }
  else if (p->len > 0 && (int32_t)(p->seq - h->rcv) < 0 && h->due == 0)
    /* A copy of a request that has run: the answer was lost.  */
    answer (t, h, F_ACK, h->snd - (uint32_t)strlen (h->answer), h->answer);
  if ((p->flags & F_FIN) != 0)
    {
      h->rcv = p->seq + p->len + 1;
      answer (t, h, F_ACK | F_FIN, h->snd, NULL);
      h->snd++;
      h->ended = true;
      h->open = false;
    }
}

/* Answers the requests of TARGET whose work has ended.  */
static void
drive_target (int target)
{
  const struct lab_target *t = &lab.targets[target];

  for (int i = 0; i < HELD_MAX; i++)
    {
      struct lab_held *h = &lab.held[target][i];

      if (!h->used || h->due == 0 || lab_now () < h->due)
        continue;
      h->due = 0;
      answer (t, h, F_ACK, h->snd, h->answer);
      h->snd += (uint32_t)strlen (h->answer);
    }
}

/* HTTP calls.  */

static struct lab_call *
start_call (int host, int port, const char *method, const char *path,
            const char *body, uint64_t limit_ms)
{
  struct lab_call *c = NULL;
  struct sockaddr_in a = addr_of (host, port);

  for (int i = 0; i < LAB_CALLS_MAX && c == NULL; i++)
    if (!lab.calls[i].used)
      c = &lab.calls[i];
  if (c == NULL)
    return NULL;
  memset (c, 0, sizeof *c);
  c->used = true;
  c->since = lab_now ();
  c->limit_ms = limit_ms;
  c->len = (size_t)snprintf (
      c->request, sizeof c->request,
      "%s %s HTTP/1.1\r\nHost: %s:%d\r\nConnection: close\r\n"
      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
      method, path, ip_of (host), port, strlen (body), body);
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connect (c->fd, (struct sockaddr *)&a, sizeof a) != 0
      && errno != EINPROGRESS)
    c->done = true;
  return c;
}

static void
end_call (struct lab_call *c)
{
  c->done = true;
  close (c->fd);
  if (c->got > 12 && strncmp (c->reply, "HTTP/1.1 ", 9) == 0)
    c->status = atoi (c->reply + 9);
  if (!c->is_beat)
    return;
  if (c->status >= 200 && c->status < 300
      && lab.targets[c->target].lifetime == c->lifetime)
    {
      struct lab_target *t = &lab.targets[c->target];

      t->last_acked = lab_now ();
      if (strstr (c->request, "\"state\":\"draining\"") != NULL
          && t->drain_acked == 0)
        t->drain_acked = lab_now ();
    }
  lab_note ("report %s: %d", c->what, c->status);
  c->used = false;
}

static void
drive_call (struct lab_call *c)
{
  ssize_t n;

  if (c->done)
    return;
  if (c->sent < c->len)
    {
      n = send (c->fd, c->request + c->sent, c->len - c->sent, MSG_DONTWAIT);
      if (n > 0)
        c->sent += (size_t)n;
      else if (errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS)
        {
          end_call (c);
          return;
        }
    }
  n = recv (c->fd, c->reply + c->got, sizeof c->reply - 1 - c->got,
            MSG_DONTWAIT);
  if (n > 0)
    c->got += (size_t)n;
  if (c->got >= sizeof c->reply - 1 || n == 0
      || (n < 0 && errno != EAGAIN && errno != ENOTCONN)
      || lab_now () - c->since > c->limit_ms)
    {
      /* The whole reply may be long: only its start is read.  */
      end_call (c);
    }
}

void
lab_send_report (int target, const char *id, uint64_t born, uint64_t seq,
                 const char *state)
{
  struct lab_target *t = &lab.targets[target];
  char path[128], body[512];
  struct lab_call *c;

  snprintf (path, sizeof path, "/hibiscusspan/instances/%s/heartbeat", id);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
            "\"coldRemainingMs\":0,\"seq\":%llu,\"born\":%llu}",
            t->service, ip_of (t->host), APP_PORT, t->zone, t->slots, state,
            (unsigned long long)seq, (unsigned long long)born);
  c = start_call (t->host, CONTROL_PORT, "POST", path, body, 1000);
  if (c == NULL)
    return;
  c->is_beat = true;
  c->target = target;
  c->lifetime = t->lifetime;
  snprintf (c->what, sizeof c->what, "%s seq %llu %s", id,
            (unsigned long long)seq, state);
  if (c->done)
    end_call (c);
}

void
lab_beat (int target)
{
  struct lab_target *t = &lab.targets[target];

  t->next_beat = lab_now () + LAB_BEAT_MS;
  t->seq++;
  if (t->is_cut)
    lab_note ("report %s seq %llu does not get through", t->id,
              (unsigned long long)t->seq);
  else
    lab_send_report (target, t->id, t->born, t->seq,
                     t->draining ? "draining" : "ready");
}

static struct lab_call *awaited;

static bool
call_done (void)
{
  return awaited->done;
}

int
lab_http (int host, int port, const char *method, const char *path,
          const char *body, char *reply, size_t reply_size)
{
  int status = 0;
  char where[256];

  snprintf (where, sizeof where, "%s", path);
  for (int hops = 0; hops < 3; hops++)
    {
      char *location;
      unsigned a, b, c, d, p;
      int used = 0;

      awaited = start_call (host, port, method, where, body, 1000);
      if (awaited == NULL)
        return 0;
      lab_run (2000, call_done);
      status = awaited->status;
      location = strcasestr (awaited->reply, "\r\nLocation: http://");
      if (reply != NULL)
        {
          const char *start = strstr (awaited->reply, "\r\n\r\n");

          snprintf (reply, reply_size, "%s", start != NULL ? start + 4 : "");
        }
      awaited->used = false;
      if (status != 307 || location == NULL
          || sscanf (location + 19, "%u.%u.%u.%u:%u%n", &a, &b, &c, &d, &p,
                     &used)
                 != 5)
        return status;
      snprintf (where, sizeof where, "%.*s",
                (int)strcspn (location + 19 + used, "\r"),
                location + 19 + used);
      host = (int)d;
      port = (int)p;
    }
  return status;
}

bool
lab_configure (const char *configuration, uint64_t limit_ms)
{
  uint64_t until = lab_now () + limit_ms;

  for (int n = 0; lab_now () < until; n++)
    {
      int status = lab_http (1 + n % lab.cores, API_PORT, "POST",
                             "/hibiscusspan/config/replace", configuration,
                             NULL, 0);

      if (status == 200)
        {
          lab_note ("configuration acknowledged");
          return true;
        }
      lab_run (100, NULL);
    }
  lab_note ("configuration not acknowledged");
  return false;
}

bool
lab_ready (int host)
{
  return lab_http (host, READY_PORT, "GET", "/hibiscusspan/ready", "", NULL, 0)
         == 200;
}

/* Callers.  */

static void
caller_send (struct lab_flow *f, uint8_t flags, uint32_t seq, uint32_t ack,
             const char *data)
{
  uint8_t b[1500];
  size_t size = encode (b, lab.net + CALLER_HOST, f->port, f->dst, f->dport,
                        flags, seq, ack, data);

  send_to (lab.caller_fd, f->entry, SEGMENT_PORT, b, size);
}

int
lab_open (int entry, uint16_t port)
{
  struct lab_flow *f = &lab.flows[lab.flows_len];

  *f = (struct lab_flow){ .state = FLOW_OPENING,
                          .port = (uint16_t)(20000 + lab.flows_len),
                          .dst = 127u << 24 | 198u << 16 | 18u << 8 | 1,
                          .dport = port,
                          .entry = entry,
                          .seq = (uint32_t)rand (),
                          .sent_at = lab_now (),
                          .resend_at = lab_now () + 200,
                          .target = -1,
                          .limit_ms = 3000 };
  caller_send (f, F_SYN, f->seq, 0, NULL);
  f->copies = 1;
  return lab.flows_len++;
}

static void
request_text (const struct lab_flow *f, char *text, size_t size)
{
  snprintf (text, size, "request %u of flow %u.", f->requests, f->port);
}

void
lab_request (int flow)
{
  struct lab_flow *f = &lab.flows[flow];
  char text[64];

  if (f->state != FLOW_IDLE)
    return;
  f->requests++;
  f->state = FLOW_WAITING;
  f->sent_at = lab_now ();
  f->resend_at = f->sent_at + 200;
  f->copies = 1;
  request_text (f, text, sizeof text);
  caller_send (f, F_ACK, f->seq, f->ack, text);
}

static void
drive_flow (struct lab_flow *f)
{
  uint64_t now = lab_now ();
  char text[64];

  if (f->state == FLOW_OPENING && now - f->sent_at >= 1400)
    f->state = FLOW_REFUSED;
  if (f->state == FLOW_WAITING && now - f->sent_at >= f->limit_ms)
    {
      f->state = FLOW_FAILED;
      lab_note ("flow %u: no answer to request %u", f->port, f->requests);
    }
  if (now < f->resend_at)
    return;
  if (f->state == FLOW_OPENING && f->copies < 3)
    {
      caller_send (f, F_SYN, f->seq, f->copies, NULL);
      f->copies++;
      f->resend_at = f->sent_at + 600;
    }
  else if (f->state == FLOW_WAITING && f->copies <= 8)
    {
      request_text (f, text, sizeof text);
      caller_send (f, F_ACK, f->seq, f->ack, text);
      f->resend_at
          = now + (200u << f->copies < 1600 ? 200u << f->copies : 1600);
      f->copies++;
    }
}

static void
on_caller_packet (const struct packet *p)
{
  struct lab_flow *f = NULL;
  char text[64];

  for (int i = 0; i < lab.flows_len; i++)
    if (lab.flows[i].port == p->dport)
      f = &lab.flows[i];
  if (f == NULL || p->src != f->dst || p->sport != f->dport)
    {
      lab_note ("MIXED: the caller gets a packet of no flow of its own");
      lab.foreign++;
      return;
    }
  if (p->flags == F_RST && p->sum == 0 && p->len == 0)
    {
      uint32_t distance = p->seq - f->ack + RESET_WINDOW;
      bool is_open = f->state == FLOW_IDLE || f->state == FLOW_WAITING;

      if (f->state == FLOW_OPENING)
        {
          f->state = FLOW_REFUSED;
          return;
        }
      if (!is_open)
        return;
      f->reset_at = lab_now ();
      f->reset_seq = p->seq;
      f->was_waiting = f->state == FLOW_WAITING;
      lab_note ("flow %u: reset by the system while it is open%s", f->port,
                distance <= 2 * RESET_WINDOW
                    ? ""
                    : "; its seq is not near the caller's last ack");
      if (distance <= 2 * RESET_WINDOW)
        f->state = FLOW_RESET;
      else
        lab.foreign++;
      return;
    }
  if (p->sum != sum_of (p->bytes, p->size))
    {
      lab_note ("MIXED: flow %u gets a packet that its sender did not write "
                "so",
                f->port);
      lab.foreign++;
      return;
    }
  if ((p->flags & F_RST) != 0)
    {
      lab_note ("flow %u: reset by its target", f->port);
      f->state = FLOW_FAILED;
      return;
    }
  if ((p->flags & F_FIN) != 0)
    {
      caller_send (f, F_ACK, f->seq + 1, p->seq + p->len + 1, NULL);
      return;
    }
  if ((p->flags & F_SYN) != 0)
    {
      if (f->state != FLOW_OPENING)
        return;
      f->isn = p->seq;
      f->ack = p->seq + 1;
      f->seq++;
      f->state = FLOW_IDLE;
      f->opened_at = lab_now ();
      lab_request ((int)(f - lab.flows));
      return;
    }
  if (f->state == FLOW_WAITING && p->seq == f->ack && p->len > 0)
    {
      request_text (f, text, sizeof text);
      if (strstr ((const char *)p->bytes + HEAD, text) == NULL)
        {
          lab_note ("MIXED: flow %u gets the answer of another request",
                    f->port);
          lab.foreign++;
          return;
        }
      sscanf ((const char *)p->bytes + HEAD, "%31s", f->who);
      f->seq += (uint32_t)strlen (text);
      f->ack += p->len;
      f->answers++;
      f->state = FLOW_IDLE;
      if (f->is_single)
        f->state = FLOW_CLOSED;
      caller_send (f, f->is_single ? F_ACK | F_FIN : F_ACK, f->seq, f->ack,
                   NULL);
    }
}

bool
lab_run (uint64_t ms, bool (*done) (void))
{
  uint64_t until = mono () + ms;

  for (;;)
    {
      struct pollfd fds[LAB_TARGETS_MAX + LAB_CALLS_MAX + 1];
      nfds_t len = 0;
      struct packet p;

      if (done != NULL && done ())
        return true;
      if (mono () >= until)
        return false;
      fds[len++] = (struct pollfd){ lab.caller_fd, POLLIN, 0 };
      for (int i = 0; i < lab.targets_len; i++)
        if (lab.targets[i].fd >= 0)
          fds[len++] = (struct pollfd){ lab.targets[i].fd, POLLIN, 0 };
      for (int i = 0; i < LAB_CALLS_MAX; i++)
        if (lab.calls[i].used && !lab.calls[i].done)
          fds[len++] = (struct pollfd){ lab.calls[i].fd,
                                        lab.calls[i].sent < lab.calls[i].len
                                            ? POLLIN | POLLOUT
                                            : POLLIN,
                                        0 };
      poll (fds, len, 2);
      while (receive (lab.caller_fd, &p))
        on_caller_packet (&p);
      for (int i = 0; i < lab.targets_len; i++)
        {
          struct lab_target *t = &lab.targets[i];

          while (t->fd >= 0 && receive (t->fd, &p))
            if (!t->is_cut)
              on_target_packet (i, &p);
          if (t->fd >= 0)
            drive_target (i);
          if (t->fd >= 0 && t->beats && lab_now () >= t->next_beat)
            lab_beat (i);
        }
      for (int i = 0; i < LAB_CALLS_MAX; i++)
        if (lab.calls[i].used)
          drive_call (&lab.calls[i]);
      for (int i = 0; i < lab.flows_len; i++)
        drive_flow (&lab.flows[i]);
    }
}
