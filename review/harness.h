/* harness.h -- stand-ins for the platform around a small deployment, and the
   start and stop of the deployment's processes.

   One process plays the requesters, the targets, the platform's routers and
   the operator.  The programs of the deploy file run as child processes, each
   on loopback addresses of its own.  */

#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Limits and times of the pages, in ms.  */
#define HEARTBEAT_MS 1200
#define CONTACT_WINDOW_MS 4000
#define MAX_FLOW_MS 60000
#define SYN_COPY_1_MS 200
#define SYN_COPY_2_MS 600
#define SYN_GIVE_UP_MS 1400
#define RESEND_MIN_MS 200
#define RESEND_MAX_MS 1600
#define TARGET_RESENDS_MAX 8
#define TIME_LIMIT_MS 2500
#define RESET_WINDOW 76800

#define PROCESSES_MAX 32
#define TARGETS_MAX 16
#define ENTRIES_MAX 4
#define CONTROLS_MAX 5
#define FLOWS_MAX 512
#define CONTROL_LIST_LEN 3

typedef void step_fn (void *arg);

/* Bytes and fields of the header of a packet.  */
#define HEADER_SIZE 32
enum
{
  FLAG_ACK = 1,
  FLAG_BOUNCED = 2,
  FLAG_RST = 4,
  FLAG_FIN = 16,
  FLAG_SYN = 64
};

struct packet
{
  uint32_t src, dst; /* Host byte order.  */
  uint16_t sport, dport;
  uint8_t flags;
  uint32_t seq, ack;
  uint16_t len;
  const char *data;
};

/* A flow as its target holds it.  */
struct held
{
  bool used;
  bool open; /* The end of the handshake has arrived.  */
  uint32_t src, dst;
  uint16_t sport, dport;
  uint32_t isn;      /* Sequence number of its SYN+ACK.  */
  int taken_copy;    /* Number of the SYN that was answered first.  */
  uint32_t next_in;  /* Next byte expected from the requester.  */
  uint32_t next_out; /* Next byte to be sent.  */
  char reply[256];   /* Latest response; empty: none.  */
  uint32_t reply_seq;
  uint64_t reply_at; /* When it is to be sent (again); 0: not at all.  */
  unsigned int sent; /* How often it was sent.  */
};

struct target
{
  bool used;
  bool alive;
  char id[32];
  const char *service;
  uint32_t ip;
  int fd;
  uint64_t born; /* Wall clock, ms.  */
  uint64_t seq;
  const char *state; /* In its status reports.  */
  bool reports;      /* It sends status reports.  */
  uint64_t report_at;
  uint64_t handshake_ms; /* Delay of its SYN+ACK.  */
  unsigned int runs;
  unsigned int packets; /* That have reached it since it was started.  */
  struct held held[FLOWS_MAX];
};

enum flow_state
{
  FLOW_UNUSED,
  FLOW_OPENING,
  FLOW_IDLE,    /* Open, no request in progress.  */
  FLOW_WAITING, /* Open, waits for a response.  */
  FLOW_ENDED
};

struct flow
{
  enum flow_state state;
  uint16_t port;
  uint16_t route; /* Last byte of the route's address.  */
  uint32_t seq, ack;
  uint64_t opened_at; /* First SYN.  */
  uint64_t copies_at; /* Next copy of the SYN or request; 0: none.  */
  unsigned int copies;
  uint64_t request_at; /* Start of the current request.  */
  uint64_t next_request_at;
  uint64_t last_packet_at; /* Sent or received.  */
  uint64_t longest_idle_ms;
  unsigned int requests, answered;
  char request[128];
  int target;    /* Where it is open; -1: not yet.  */
  uint64_t syn_sent_at[3]; /* First SYN and its copies; 0: not sent.  */
  int syn_entry[3];        /* Through which entry.  */
  int taken_copy;          /* The SYN that its target took.  */
  uint64_t opened_to_target_at; /* When the flow was open there.  */
  bool was_reset; /* By a reset that its target did not send, while that
                     target lived.  */
};

extern struct target targets[TARGETS_MAX];
extern struct flow flows[FLOWS_MAX];
extern uint64_t pause_ms;        /* Between the requests of a flow.  */
extern uint64_t idle_timeout_ms; /* In the configuration in force.  */
extern bool trouble;             /* TROUBLE is not 0.  */
/* The control machines in the operator's list, which processes that start get
   as their seeds.  */
extern int control_list[CONTROL_LIST_LEN];
extern unsigned int foreign_resets, answered_requests, failed_requests,
    sent_requests;

/* Set up.  */
void harness_init (const char *folder);
uint64_t now_ms (void); /* Since harness_init.  */
uint64_t wall_ms (void);
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void after (uint64_t ms, step_fn *fn, void *arg);
void run_for (uint64_t ms);
bool run_until (bool (*done) (void), uint64_t ms);
void finish (int status) __attribute__ ((noreturn));

/* Processes.  */
void start_control (int n, bool bootstrap);
void start_entry (int n);
void start_agent (int n, const char *service);
bool is_running (const char *name);
void signal_process (const char *name, int signal_number);
/* Waits until the process has ended.  */
bool wait_for_end (const char *name, uint64_t ms);

/* Targets; target N runs beside agent N.  */
struct target *start_target (int n, const char *id, const char *service);
void stop_target (int n); /* Crashes it.  */
void send_report (int n, const char *id, uint64_t born, uint64_t seq,
                  const char *state);

/* Requesters.  */
struct flow *open_flow (int route);
void send_request (struct flow *flow);
void hold_flow (struct flow *flow); /* No further request is sent on it.  */

/* Operator: sends BODY until it is acknowledged or refused; returns the
   status, 0 if there was no clear response.  */
int order (const char *body, uint64_t ms);
/* Reads the configuration; returns the status and its version.  */
int read_configuration (int control, long *version);

/* True once the entry has answered its probe with 200.  */
bool entry_ready (int n);
uint32_t address_of (int last);

#endif
