/* Stand-ins of the platform's store and of its workers, and a client, for the
   cases of this review.  All of them listen on loopback addresses only.  They
   do what PROTOCOL.md says of a sound store and a sound worker, unless a case
   says otherwise.  */
#ifndef REVIEW_STAND_3_H
#define REVIEW_STAND_3_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdint.h>

#include "stand/common/serve.h"

enum
{
  RS_MAX_WORKERS = 16,
  RS_HEARTBEAT_MS = 1500,
  RS_HOLD_MAX_MS = 10000, /* hold_max_ms of the settings */
  RS_STOP_MS = 200,
  RS_GANG_MS = 3000
};

struct rs_run
{
  char task[96], spec[200];
  int64_t number, began_ms, stop_ms; /* stop_ms: when a stop takes effect */
  int64_t work_ms;                   /* 0: it lasts */
  int gang;           /* number of members; 0: none */
  int64_t working_ms; /* since when all members are there; 0: it waits */
};

struct rs_end
{
  int64_t serial, number;
  char task[96];
  const char *how;
};

struct rs_worker
{
  int index, up, cut; /* cut: no call reaches it, and no heartbeat leaves */
  char id[40], rack[16];
  struct sv_server server;
  int64_t born, started_ms, token, lease_ms; /* lease_ms: on its clock */
  int64_t last_end, heartbeat_ms, gpu, sequence;
  GArray *runs, *ends; /* of rs_run, rs_end */
  GHashTable *highest; /* task to highest ended or stopped run */
};

/* What becomes of a call to the store: 0 it is served, 1 it is not executed
   and not answered, 2 it is executed and not answered.  */
typedef int rs_store_fate (const struct sv_request *request);

/* Writes a line with the time to record.txt.  */
void rs_note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
int64_t rs_now_ms (void);
void rs_sleep (int ms);
/* What becomes of an order to a worker: 0 it is served; else it is not
   answered, and carried out so many ms later by the same life of the worker. */
typedef int rs_order_fate (int worker, const char *path, const char *task);
void rs_orders_set_fate (rs_order_fate *fate);
/* Orders that came so far, and those of them that were not answered.  */
void rs_count_orders (int *all, int *late);
/* Whether the worker that ran TASK (a prefix) has listed an end of it, and
   forgot it since, as last_seen has reached it.  */
int rs_end_was_taken (const char *task);
void rs_store_set_fate (rs_store_fate *fate);
/* Writes TABLE/KEY as the operator or a worker does.  VALUE is plain text.  */
void rs_store_put (const char *table, const char *key, const char *value);
/* Forgets the history of changes.  */
void rs_store_compact (void);
/* The plain value of a row, to be freed, or NULL.  */
char *rs_store_get (const char *table, const char *key);
/* Starts worker N, or a new life of it under the same id.  */
void rs_worker_start (int n, const char *rack, int64_t gpu);
/* The process of worker N ends at once with all that runs there.  */
void rs_worker_crash (int n);
/* Cuts worker N off, or ends that.  It runs on.  */
void rs_worker_cut (int n, int cut);
/* Index of the worker that runs TASK (a prefix), or -1.  */
int rs_where (const char *task);
/* Number of starts that workers have begun for tasks with this prefix.  */
int rs_starts (const char *task);
/* A call of a client.  Returns the status, 0 without an answer; BODY gets the
   answer.  */
int rs_call (const char *address, const char *method, const char *path,
             const char *key, const char *request, char body[400]);
/* Writes the configuration with one queue.  */
void rs_configure (int version, int priority, int max_attempts,
                   const char *keys_json);

struct rs_vm
{
  char address[64], ready[64];
  int pid;
};

struct rs_case
{
  const char *dir;
  int trouble, vms;
  struct rs_vm vm[4];
};

/* Begins a case: reads the arguments that vms.sh passes, and starts the
   store.  */
void rs_begin (struct rs_case *c, int argc, char **argv);
/* Passes the store's address and free ports to vms.sh, and waits until the VMs
   are ready.  Ends with 2 if they are not within 30 s.  */
void rs_wait_for_vms (struct rs_case *c);
/* The VM that the lease row names as its holder, or -1.  */
int rs_holder (const struct rs_case *c);
/* Sends SIGTERM to a VM, as a planned restart does.  */
void rs_vm_terminate (struct rs_case *c, int vm);
/* How often the process of VM has ended by itself with a signal.  */
int rs_vm_crashes (const struct rs_case *c, int vm);
/* The present process of VM.  */
int rs_vm_pid (struct rs_case *c, int vm);
/* Kills a VM with SIGKILL; vms.sh starts it again half a second later.  */
void rs_vm_kill (struct rs_case *c, int vm);
/* Ends the case.  Returns BROKEN, the exit status.  */
int rs_end (int broken, const char *verdict);

#endif
