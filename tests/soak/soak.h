/* Randomized fault soak test.  Real skr-batch processes run between clients
   and a fake platform while faults are injected.  */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <sys/types.h>

#include "tests/soak/job_model.h"
#include "tests/soak/proxy.h"

#define SO_HOST "soak.example"
#define SO_PERMANENT_KEY "steady" /* valid in every configuration version */

enum
{
  SO_CALLERS_NET = 60, /* 127.60.0.N: callers to VM N */
  SO_STORE_NET = 1,    /* 127.X.1.1: the store */
  SO_VM_NET = 1,       /* 127.0.1.N: where VM N listens */
  SO_READY_NET = 2,
  SO_METRICS_NET = 3,
  SO_RELAY_NET = 4, /* where VMs relay requests to each other */
  SO_MAX_CLIENTS = 64,
  SO_STOP_GRACE_MS = 6000, /* from SIGTERM to SIGKILL */
  SO_RECOVERY_MS = 3000,   /* a VM needs to recover from a fault */
  SO_ROLLBACK_MS = 250,    /* after a VM has answered with a version, requests
                             sent later than this get no older one */
  SO_CONFIG_LAG_MS = 2000, /* until a change applies on every VM */
  SO_REVOKE_MS = 5000,     /* until every VM rejects a removed key */
  SO_MIN_CUT_MS = 200,     /* a connection that ends sooner after the request
                             does not count as cut */
  /* The VMs' limit of connections, and a crowd that passes it.  */
  SO_CONNECTIONS = 200,
  SO_CROWD = 240,
  SO_URL_SIZE = 128
};

struct so_vm
{
  pid_t pid;
  int up, frozen, stopping;
  int aborted;             /* to be started again */
  int ready;               /* accepts new connections */
  int missed_probes;       /* consecutive failed readiness probes */
  int has_been_ready;      /* in this incarnation */
  int64_t stop_sent_ms;    /* time of SIGTERM */
  int64_t faulty_until_ms; /* end of its last unplanned fault */
  int64_t seen_version;    /* newest configuration seen in this incarnation */
  int64_t seen_ms;         /* when SEEN_VERSION was first seen */
  int incarnation;
};

/* The configuration.  Each version has its own queue and key.  */
struct so_config
{
  int64_t version, changed_ms, previous;
  int changing;
};

enum
{
  SO_MAX_ABORTS = 4 /* ends by one aborting job, docs/design/short-terms.md */
};

struct so_crowd
{
  int count, kind; /* count 0: there is none */
  int fd[SO_CROWD], sent[SO_CROWD];
  int64_t trickle_ms; /* when the next bytes are due */
};

struct soak
{
  uint64_t seed;
  int64_t vms, workers, clients, seconds, settle_s, gangs;
  int64_t aborting;  /* a job ends the processes that decide on it */
  int aborts;        /* of processes, so far */
  int64_t reaped_ms; /* last time */
  const char *program, *dir;
  const char *only; /* names of the faults to play; "": all */
  uint64_t kinds;   /* bit set of those faults */
  struct sf_platform platform;
  struct px_proxy proxy;
  struct bk_model model;
  pthread_mutex_t lock; /* protects the fields from VM to CONFIG */
  struct so_vm vm[SF_MAX_VMS];
  int64_t store_faulty_until_ms; /* end of its last unplanned fault */
  struct so_config config;
  struct so_crowd crowd[SF_MAX_VMS]; /* of the injector's thread */
  int vm_port;
  atomic_int no_new_work; /* clients submit and cancel nothing */
  atomic_int stopping;
  atomic_long calls, answered, refused, lost, faults;
};

void so_lock (struct soak *s);
void so_unlock (struct soak *s);

/* VMs.  */
int so_vm_port (void);
void so_vm_start (struct soak *s, int n);
/* Reaps VM processes.  An unexpected exit is a violation, as is a stop that
   takes longer than SO_STOP_GRACE_MS.  */
void so_vm_reap (struct soak *s);
void so_vm_signal (struct soak *s, int n, int signal);
/* Record an unplanned fault of VM N or of the store that ends at UNTIL_MS.  */
void so_vm_set_fault_until (struct soak *s, int n, int64_t until_ms);
void so_store_set_fault_until (struct soak *s, int64_t until_ms);
/* Returns whether VM N and the store have had no unplanned fault since
   SO_RECOVERY_MS before FROM_MS.  Call with the lock held.  */
int so_is_undisturbed (const struct soak *s, int n, int64_t from_ms);

/* Result of one HTTP exchange over a persistent connection.  */
enum so_end
{
  SO_ANSWERED,
  SO_NOT_SENT,
  SO_LOST, /* no answer in time */
  SO_CUT   /* the connection ended without an answer */
};

struct so_connection
{
  int fd, vm, incarnation;
};

struct so_exchange
{
  const char *method, *path, *key, *body;
  enum so_end end;
  int status, retry_after;
  int64_t sent_ms, ended_ms;
  char answer[4096];
};

void so_exchange (struct soak *s, struct so_connection *c,
                  struct so_exchange *x);
void so_disconnect (struct so_connection *c);

/* Threads.  */
struct so_client
{
  struct soak *soak;
  pthread_t thread;
  uint32_t seed;
};

void *so_client_run (void *arg);
/* Submits J until it is accepted.  */
void so_submit (struct soak *s, struct bk_job *j);
void *so_poll_readiness (void *arg);
/* Checks the configuration version of the VM behind C.  */
void so_check_config (struct soak *s, struct so_connection *c, GRand *rand);
void so_change_config (struct soak *s);

/* Brings a crowd to VM, unless one is there; what it sends follows KIND.  */
void so_crowd_come (struct so_crowd *c, const struct soak *s, int vm,
                    int kind);
/* Sends what is due, without blocking.  */
void so_crowd_tick (struct so_crowd *c);
void so_crowd_leave (struct so_crowd *c);

/* Sets the kinds of faults from the option.  Returns 0, or -1 if a name is
   unknown.  */
int so_choose_faults (struct soak *s);
/* Injects faults for the configured seconds, then ends all of them.  */
void so_run_faults (struct soak *s);

#endif
