/* lab-3.h -- stand-ins for the platform around the segment programs: targets,
   callers, the operator and the start of processes, all on loopback.

   The header of a packet, the flow rules and the calls are those of the
   platform's page PROTOCOL.md.  Everything runs in one thread: lab_run drives
   packets, retransmissions, status reports and HTTP calls.  */

#ifndef LAB_3_H
#define LAB_3_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define LAB_TARGETS_MAX 12
#define LAB_FLOWS_MAX 512
#define LAB_PROCESSES_MAX 32
#define LAB_CALLS_MAX 64
#define LAB_BEAT_MS 1200

enum lab_role
{
  LAB_CORE,
  LAB_ENTRY,
  LAB_AGENT
};

/* A process of the system under test.  */
struct lab_process
{
  char name[32];
  enum lab_role role;
  int host; /* Last byte of its address.  */
  pid_t pid;
  const char *service;
  const char *zone;
  bool bootstrap;
};

/* A target: one lifetime at a time at the address of its machine.  */
struct lab_target
{
  int host;
  const char *service;
  const char *zone;
  int fd; /* Bound to the app address; -1: it does not run.  */
  char id[32];
  uint64_t born;
  uint64_t seq;
  int slots;
  bool draining;
  bool beats;           /* Sends status reports by itself.  */
  uint64_t next_beat;   /* ms  */
  uint64_t last_acked;  /* ms, when the latest report was acknowledged.  */
  int lifetime;         /* Counts the starts.  */
  bool is_cut;          /* Its packets and reports are lost.  */
  int lose_syns;        /* SYNs that are lost on their way to it.  */
  uint64_t drain_acked; /* ms, when "draining" was first acknowledged; 0:
                           never.  */
  uint64_t last_syn;    /* ms, when its latest new flow began.  */
  int syns;             /* New flows of this lifetime.  */
  uint64_t work_ms;     /* Time that a request takes.  */
};

enum lab_flow_state
{
  FLOW_NONE,
  FLOW_OPENING,
  FLOW_IDLE,    /* Open, no request in progress.  */
  FLOW_WAITING, /* Open, waits for an answer.  */
  FLOW_RESET,   /* Reset while it was open.  */
  FLOW_REFUSED, /* Reset or given up before it was open.  */
  FLOW_FAILED,  /* No answer within the time limit.  */
  FLOW_CLOSED   /* Both ends have sent a FIN.  */
};

/* A flow, with what both of its ends know.  */
struct lab_flow
{
  enum lab_flow_state state;
  uint16_t port;
  uint32_t dst; /* Route, host byte order.  */
  uint16_t dport;
  int entry; /* Host that the router picks now.  */
  uint32_t seq;
  uint32_t ack;
  uint32_t isn;
  uint64_t sent_at; /* ms, first copy of the SYN or request.  */
  uint64_t resend_at;
  unsigned copies;
  unsigned requests;
  unsigned answers;
  uint64_t opened_at;
  uint64_t reset_at;
  uint32_t reset_seq;
  bool was_waiting; /* It was reset while it waited for an answer.  */
  int target;   /* Index of the target that holds it; -1: none yet.  */
  int lifetime; /* Of that target.  */
  char who[32]; /* Target named by the last answer.  */
  uint64_t limit_ms;
  bool is_single; /* Closed after its first answer.  */
};

/* What a target holds.  */
struct lab_held
{
  bool used;
  bool open;
  bool ended; /* Both ends have sent a FIN.  */
  int lifetime;
  uint32_t src;
  uint16_t sport;
  uint32_t dst;
  uint16_t dport;
  uint32_t isn;
  uint32_t rcv; /* Next seq expected of the caller.  */
  uint32_t snd; /* Next seq of its own.  */
  uint64_t opened_at;
  uint64_t due;      /* ms, end of the work on a request; 0: none.  */
  char answer[200];  /* The latest.  */
};

/* An HTTP call in progress.  */
struct lab_call
{
  bool used;
  int fd;
  uint64_t since;
  uint64_t limit_ms;
  char request[70000];
  size_t len, sent;
  char reply[8192];
  size_t got;
  int status; /* Set at the end; 0: no answer.  */
  bool done;
  bool is_beat;
  int target;
  int lifetime;
  char what[64];
};

struct lab
{
  bool trouble;
  FILE *record;
  char folder[256]; /* Temporary.  */
  const char *programs;
  uint32_t net; /* 127.x.y.0  */
  uint64_t start;
  struct lab_process processes[LAB_PROCESSES_MAX];
  int processes_len;
  struct lab_target targets[LAB_TARGETS_MAX];
  int targets_len;
  struct lab_held held[LAB_TARGETS_MAX][LAB_FLOWS_MAX];
  struct lab_flow flows[LAB_FLOWS_MAX];
  int flows_len;
  struct lab_call calls[LAB_CALLS_MAX];
  int caller_fd;
  int cores;
  const char *zones;
  uint64_t foreign; /* Packets to a caller that no target wrote so.  */
  uint64_t returned; /* Packets that targets returned.  */
  uint64_t lost_syns;
};

extern struct lab lab;

uint64_t lab_now (void); /* ms since the start of the case.  */
void lab_note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Starts the case; ends with status 2 if it cannot run.  */
void lab_begin (const char *record, int cores, const char *zones);

/* Ends all processes and the case with STATUS.  */
void lab_end (int status) __attribute__ ((noreturn));

struct lab_process *lab_start (enum lab_role role, const char *name, int host,
                               const char *zone, const char *service,
                               bool bootstrap);
void lab_signal (struct lab_process *process, int signal_number);
void lab_wait_exit (struct lab_process *process, uint64_t limit_ms);
void lab_restart (struct lab_process *process);

/* Runs the stand-ins for MS, or until DONE returns true.  Returns whether DONE
   did.  */
bool lab_run (uint64_t ms, bool (*done) (void));

/* Starts a lifetime of a target; BORN_OFFSET is added to its start time.  */
int lab_add_target (int host, const char *zone, const char *service);
void lab_start_target (int target, int64_t born_offset);
void lab_crash_target (int target);

/* Sends the status report of TARGET now.  */
void lab_beat (int target);

/* Sends a status report with these contents to the control address of
   TARGET's machine, whoever runs there now.  */
void lab_send_report (int target, const char *id, uint64_t born, uint64_t seq,
                      const char *state);

/* Makes a call and returns its status; follows redirects twice.  */
int lab_http (int host, int port, const char *method, const char *path,
              const char *body, char *reply, size_t reply_size);

/* Sends CONFIGURATION to the core until it is acknowledged.  */
bool lab_configure (const char *configuration, uint64_t limit_ms);
bool lab_ready (int host);

/* Opens a flow through ENTRY to 127.198.18.1:PORT.  Returns its index.  */
int lab_open (int entry, uint16_t port);
void lab_request (int flow);
uint64_t lab_wall (void);

#endif /* LAB_3_H */
