/* lab-2.h -- a small system of the project's own programs on loopback
   addresses, with stand-ins for callers, targets, routers and the operator.

   Everything but the programs under test runs in one thread: a case calls
   lab_run between its steps, and callbacks tell it what callers and targets
   have seen.  */

#ifndef LAB_2_H
#define LAB_2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LAB_CONTROLS_MAX 5
#define LAB_ENTRIES_MAX 4
#define LAB_AGENTS_MAX 8
#define LAB_FLOWS_MAX 4096

/* Bounds of the site file sites/rotapress.toml, ms.  */
#define LAB_DRAIN_MS 3000
#define LAB_CONFIG_APPLY_MS 3000
#define LAB_FLOW_MS 2000
#define LAB_MAX_FLOW_S 60
#define LAB_HEARTBEAT_MS 770
#define LAB_IDLE_TIMEOUT_MS 15000

/* Results of a case, as exit codes.  */
#define LAB_HELD 0
#define LAB_BROKEN 1
#define LAB_CANNOT_RUN 2

struct lab_process
{
  int pid; /* 0: not running.  */
  const char *program;
  char settings[256]; /* Path of the settings file.  */
  char name[32];
};

/* A target, on the host of an agent.  */
struct lab_target
{
  int fd; /* At the app address; -1: not running.  */
  uint32_t ip;
  char id[32];
  char service[32];
  uint64_t born;         /* Unix ms.  */
  unsigned int seq;      /* Of its status reports.  */
  const char *state;     /* "ready" or "draining".  */
  uint64_t next_beat_at; /* ms  */
  uint64_t drain_acked_at; /* ms; 0: not yet.  */
  unsigned int work_ms;
  unsigned int syns;     /* SYNs taken.  */
  unsigned int runs;     /* Requests run.  */
  unsigned int returned; /* Packets of flows that it does not hold.  */
};

enum lab_flow_state
{
  LAB_FLOW_FREE,
  LAB_FLOW_SYN_SENT, /* Caller.  */
  LAB_FLOW_SYN_TAKEN, /* Target.  */
  LAB_FLOW_OPEN,
  LAB_FLOW_ENDED
};

/* One end of a flow.  */
struct lab_flow
{
  enum lab_flow_state state;
  bool is_caller;
  int owner; /* Index of the caller or the target.  */
  uint32_t my_ip, peer_ip;
  uint16_t my_port, peer_port;
  uint32_t iss, irs;
  uint32_t snd_una, snd_nxt, rcv_nxt;
  uint8_t *out; /* Bytes from SND_UNA on.  */
  size_t out_len, out_size;
  uint8_t *in; /* Bytes received and not used yet.  */
  size_t in_len, in_size;
  uint64_t resend_at; /* ms; 0: nothing in flight.  */
  unsigned int resend_ms, resends;
  unsigned int unacked; /* Packets received since the last ack.  */
  uint64_t ack_at;      /* ms; 0: no ack owed.  */
  uint64_t syn_at;
  unsigned int syn_copies;
  uint64_t opened_at;
  uint32_t order; /* Of the entries, by the router's steady hash.  */

  /* Caller.  */
  uint64_t request; /* Attempt id; 0: none waits.  */
  uint64_t requested_at;
  size_t answer_len;   /* Body bytes of the latest answer.  */
  uint64_t bytes_read; /* Of answers, in all.  */
  unsigned int answered;
  bool was_reset;        /* By the system.  */
  bool reset_while_open; /* The same, on an open flow.  */
  bool refused;          /* Ended before it was open.  */
  int target;            /* That has the flow; -1: none.  */

  /* Target: a request is at work until WORK_UNTIL.  */
  uint64_t work_until;
  uint64_t work_request;
  size_t work_answer;

  /* Judgement of FLOW (b), kept at the caller's end.  */
  unsigned int other_packets;  /* At other targets, since the latest packet at
                                  the flow's own.  */
  unsigned int other_distinct; /* Of them, with different seq.  */
  uint32_t other_seqs[16];
  uint64_t other_since;         /* ms, the first of them.  */
  bool strayed; /* For LAB_FLOW_MS, three or more of its packets, all
                   different, reached other targets and none its own.  */
};

struct lab
{
  bool trouble; /* TROUBLE is not 0.  */
  uint64_t started_at;
  int controls_len, entries_len, agents_len, callers_len;
  struct lab_process control[LAB_CONTROLS_MAX];
  struct lab_process entry[LAB_ENTRIES_MAX];
  struct lab_process agent[LAB_AGENTS_MAX];
  struct lab_target target[LAB_AGENTS_MAX];
  bool in_rotation[LAB_ENTRIES_MAX];
  struct lab_flow flows[LAB_FLOWS_MAX];
  size_t flows_len;
  unsigned int system_resets_open; /* Resets of the system's own on flows that
                                      their target holds.  */
  unsigned int strayed; /* Flows with STRAYED.  */
  unsigned int damaged; /* Packets that their sender did not write so.  */
  void (*on_answer) (struct lab_flow *flow);
};

extern struct lab lab;

/* Reads TROUBLE and the arguments FOLDER RECORD; picks a loopback network.  */
void lab_init (int argc, char **argv);

/* Writes a line with the time to the record.  */
void lab_note (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
uint64_t lab_now (void);  /* ms, steady clock  */
uint64_t lab_wall (void); /* ms, Unix time  */
uint32_t lab_ip (int host);

void lab_start_controls (int count);
void lab_start_entry (int i);
void lab_start_agent (int i, const char *service);
void lab_start_target (int i, const char *service, unsigned int work_ms);
void lab_add_callers (int count);
void lab_restart (struct lab_process *process);
/* Sends SIGNAL; waits for the end if WAIT.  */
void lab_signal (struct lab_process *process, int signal, bool wait);
bool lab_has_ended (struct lab_process *process);

/* One call; returns the status, or 0 without an answer within MS.  */
int lab_http (uint32_t ip, int port, const char *method, const char *path,
              const char *body, int ms, char *answer, size_t size);

/* Sends a configuration with one route to SERVICE at the route's port 443,
   until it is acknowledged.  */
bool lab_configure (int version, const char *service, const char *kind);
bool lab_wait_ready (int ms);

/* Sends a status report of a target now; returns the status.  */
int lab_beat (int target);

/* Any status report to the control address of agent I.  */
int lab_report (int i, const char *id, const char *call, const char *body);

struct lab_flow *lab_open (int caller);
void lab_request (struct lab_flow *flow, size_t body_len, size_t answer_len);
void lab_close (struct lab_flow *flow); /* Sends a FIN and forgets the flow. */

void lab_run (int ms); /* Plays everything for MS.  */
int lab_finish (bool broken, const char *rule);
void lab_cannot_run (const char *reason) __attribute__ ((noreturn));

#endif /* LAB_2_H */
