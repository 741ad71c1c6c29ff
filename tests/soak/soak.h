/* Randomized fault soak: real skr-batch processes between clients and a
   stand-in of the platform, with faults from outside.  */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <sys/types.h>

#include "tests/soak/job_model.h"
#include "tests/soak/proxy.h"

#define SO_HOST "soak.example"
#define SO_KEY "steady" /* in every version of the configuration */

enum
{
  SO_CALLERS_NET = 60, /* 127.60.0.N: callers to VM N */
  SO_STORE_NET = 1,    /* 127.X.1.1: the store */
  SO_VM_NET = 1,       /* 127.0.1.N: where VM N listens */
  SO_READY_NET = 2,
  SO_METRICS_NET = 3,
  SO_MAX_CLIENTS = 64,
  SO_GRACE_MS = 6000,     /* from SIGTERM to SIGKILL */
  SO_TOUCH_MS = 3000,     /* after a fault a VM is in touch again */
  SO_ROLLBACK_MS = 250,   /* a question sent this long after a VM showed a
                             version is not answered by an older one */
  SO_CONFIG_MS = 2000,    /* a change is in force everywhere */
  SO_REVOKE_MS = 5000,    /* no VM takes a removed key */
  SO_LOSS_SLACK_MS = 200, /* a connection that ends sooner than this after
                             the request was not cut */
  SO_URL = 128
};

struct so_vm
{
  pid_t pid;
  int up, frozen, stopping;
  int ready;             /* takes new connections */
  int missed;            /* questions of readiness in a row */
  int has_begun;         /* was ready in this incarnation */
  int64_t stop_ms;       /* SIGTERM was sent then */
  int64_t trouble_ms;    /* an unplanned fault holds until then */
  int64_t shown_version; /* of the configuration, in this incarnation */
  int64_t shown_ms;      /* and when it was shown first */
  int incarnation;
};

/* The operator's changes: each version has a queue and a key of its own.  */
struct so_config
{
  int64_t version, changed_ms, previous;
  int changing;
};

struct soak
{
  uint64_t seed;
  int64_t vms, workers, clients, seconds, settle_s;
  const char *program, *dir;
  struct sf_farm farm;
  struct px_proxy proxy;
  struct bk_book book;
  pthread_mutex_t lock; /* of what follows */
  struct so_vm vm[SF_MAX_VMS];
  int64_t store_trouble_ms; /* an unplanned fault of the store */
  struct so_config config;
  int vm_port;
  atomic_int quiet; /* no new work */
  atomic_int stopping;
  atomic_long calls, answered, refused, lost, faults;
};

void so_lock (struct soak *s);
void so_unlock (struct soak *s);

/* VMs.  */
int so_vm_port (void);
void so_vm_start (struct soak *s, int n);
/* Notes ends; a process that ends by itself is a breach.  */
void so_vm_watch (struct soak *s);
void so_vm_signal (struct soak *s, int n, int signal);
/* An unplanned fault of VM N, or of the store, holds until then.  */
void so_vm_trouble (struct soak *s, int n, int64_t until_ms);
void so_store_trouble (struct soak *s, int64_t until_ms);
/* Whether VM N and the store have been free of unplanned faults from FROM_MS
   on, SO_TOUCH_MS before included.  Under the lock.  */
int so_in_touch (const struct soak *s, int n, int64_t from_ms);

/* One exchange over a connection that is kept.  */
enum so_end
{
  SO_ANSWERED,
  SO_NOT_SENT,
  SO_LOST,  /* no answer in time */
  SO_BROKEN /* the connection ended without one */
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
void so_hang_up (struct so_connection *c);

/* Threads.  */
struct so_client
{
  struct soak *soak;
  pthread_t thread;
  uint32_t seed;
};

void *so_client_run (void *arg);
void *so_ready_run (void *arg);
/* A client asks for the configuration that a VM has.  */
void so_probe (struct soak *s, struct so_connection *c, GRand *rand);
void so_configure (struct soak *s);

/* Injects faults for SECONDS, then heals all.  */
void so_plan_run (struct soak *s);

#endif
