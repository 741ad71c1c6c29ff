/* Stand-ins for a case of the review: the platform's store, the workers, the
   operator and a client, on loopback addresses and the real clock.  The
   processes under test are started with the command and the settings template
   of the deploy file.  All that is seen goes into a record.  */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdint.h>
#include <sys/types.h>

#include "skr/http.h"
#include "stand/common/serve.h"

enum
{
  WD_MAX_VMS = 8,
  WD_MAX_WORKERS = 160,
  WD_ANSWER_SIZE = 4096,
  WD_ROW_BYTES = 65536, /* platform.row_bytes */
  WD_BEAT_MS = 1500     /* heartbeat_ms */
};

/* Values of the settings, and of the stand-ins that they describe.  */
struct wd_settings
{
  int vms, workers;
  int hold_max_ms, stop_ms;
  double checkpoint_interval_s;
  int reclaim_ms;
  int64_t cpu, memory_mb, gpu; /* capacity of a worker */
};

/* A run at a worker.  Times are those of wd_now_ms.  */
struct wd_run
{
  char task[80];
  int64_t number, started_ms, stop_at_ms, work_ms;
  char resumed[512]; /* checkpoint that the start carried */
  int checkpoints, lasts, fails;
  int gang;               /* members of its gang; 0: none */
  int64_t work_from_ms;   /* 0: it waits for its gang */
  int64_t broken_from_ms; /* when it hears that another member ended */
};

struct wd_end
{
  int64_t number, run;
  char task[80], how[12], saved[512];
};

struct wd_worker
{
  struct wd_world *world;
  struct sv_server server;
  int n, up, draining, drained_ms;
  char id[32], rack[16];
  int64_t born, started_ms, token, until_ms, last_end, sequence, beat_ms;
  double rate; /* of its clock */
  GArray *runs, *ends;
  GHashTable *highest; /* task -> highest run stopped or ended */
  /* While the worker is unhealthy: of the starts, so many are answered with
     503, and so many are executed without an answer.  */
  int refused_percent, unanswered_percent;
  int fail_after_ms; /* fails all that it starts after so long; 0: sound */
};

/* What the client handed in.  */
struct wd_work
{
  int64_t work_ms;
  int checkpoints, lasts, fails;
  const char *checkpoint_prefix;
};

struct wd_row
{
  char *table, *key, *value;
  int64_t version;
  int deleted;
};

struct wd_vm
{
  pid_t pid;
  char ip[32], front[48], ready[48], settings[300], log[300];
};

struct wd_world
{
  struct wd_settings set;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  pthread_t ticker;
  int stopping;
  int64_t began_ms;
  FILE *record;
  char dir[200];
  struct sv_server store;
  GHashTable *rows; /* "table/key" -> wd_row */
  GPtrArray *history;
  int64_t version;
  int64_t refused_rows; /* transactions refused for the size of a row */
  struct wd_worker worker[WD_MAX_WORKERS];
  struct wd_vm vm[WD_MAX_VMS];
  struct hc_client *client;
  /* Called with the lock held.  */
  void (*on_start) (struct wd_world *w, struct wd_worker *k,
                    struct wd_run *run);
  void (*on_end) (struct wd_world *w, struct wd_worker *k,
                  const struct wd_run *run, const char *how);
  void *arg;
};

/* Starts the store and the workers.  Exits with 2 if that fails.  */
void wd_init (struct wd_world *w, const struct wd_settings *set);
/* Starts VM N as the deploy file says.  */
void wd_start_vm (struct wd_world *w, int n);
void wd_signal_vm (struct wd_world *w, int n, int signal);
/* Waits until all VMs are ready.  Exits with 2 if they are not after 10 s.  */
void wd_wait_ready (struct wd_world *w);
/* Ends all processes and stand-ins.  */
void wd_fini (struct wd_world *w);

int64_t wd_now_ms (void);
void wd_lock (struct wd_world *w);
void wd_unlock (struct wd_world *w);
/* The VM that the lease row names, or -1.  What the system writes there is its
   own; only the choice of the process to kill depends on it.  */
int wd_holder (struct wd_world *w);
/* Adds a line to the record.  */
void wd_note (struct wd_world *w, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Puts a row as its owner does; TEXT is the value before base64.  */
void wd_put (struct wd_world *w, const char *table, const char *key,
             const char *text);
void wd_delete (struct wd_world *w, const char *table, const char *key);
/* Calls VM N as a client.  Returns the status, or 0 without an answer.  */
int wd_call (struct wd_world *w, int n, const char *method, const char *path,
             const char *key, const char *body, char answer[WD_ANSWER_SIZE]);
/* The same, with up to four tries at other VMs as a client makes them.  */
int wd_submit (struct wd_world *w, int n, const char *path, const char *key,
               const char *body);

/* With the lock held.  A worker that crashes loses its runs; started again it
   is another incarnation under the same id.  */
void wd_crash (struct wd_world *w, int n);
void wd_restart (struct wd_world *w, int n);
/* The worker reports that it is draining, with REMAINING_MS left.  */
void wd_drain (struct wd_world *w, int n, int remaining_ms);
struct wd_worker *wd_find_run (struct wd_world *w, const char *task_prefix);
int wd_running (struct wd_world *w, const char *task_prefix);

#endif
