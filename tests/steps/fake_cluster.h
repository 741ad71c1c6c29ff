/* Simulation of workers and a table, on a simulated clock, to test the step
   scheduler.  Violations of the users' rules are detected independently of the
   scheduler, from what the workers execute.  */
#ifndef FAKE_CLUSTER_H
#define FAKE_CLUSTER_H

#include <glib.h>

#include "skr/steps.h"

enum
{
  FA_TICK_MS = 10,
  FA_MAX_WORKERS = 512
};

/* A run on a simulated worker.  */
struct fa_run
{
  struct sj_run run;
  int gang, saves, fails, deadly;
  int is_long; /* it takes much longer than others of its step */
  int64_t started_ms, work_ms, done_ms; /* done_ms: work done */
  int64_t stop_at_ms;                   /* 0: no stop ordered */
  struct sj_resources need;
  int64_t saved_ms; /* work done before this run and saved */
};

/* An order in flight.  */
struct fa_pending_order
{
  int64_t deliver_at_ms;
  struct sj_order order; /* its incarnation is an ANSWER_ mark */
  char *worker, *payload, *checkpoint;
  int64_t token, sent_ms, incarnation; /* incarnation it is meant for */
};

/* A simulated worker.  */
struct fa_worker
{
  char id[24], rack[16], domain[16];
  const char *service;
  int64_t cold_until_ms; /* its reports say that it is slow until then */
  struct sj_resources capacity;
  struct sj_resources larger_capacity; /* before it shrank at SHRUNK_MS */
  int64_t shrunk_ms;                   /* 0: never */
  int64_t report_ms;                   /* of the next report */
  int64_t back_ms;                     /* end of its outage; 0: none */
  char old_id[24];   /* the id whose entry is removed at UNLIST_MS */
  int64_t unlist_ms; /* 0: none */
  int64_t old_token; /* of the holder that knew that id */
  int renames;
  int64_t incarnation, highest_token, lease_end_ms, ends_total, acked_ends;
  GArray *runs;            /* struct fa_run */
  GArray *unacked_ends;    /* struct sj_listed_run, not acknowledged */
  GHashTable *closed_runs; /* task name -> highest run number stopped or
                              ended, which can't start any more */
  int is_up, partitioned, listed, draining;
  int refuses; /* every start */
  int ignores_stops;
  int fails_all, stalled, mute; /* mute: its reports do not arrive */
  int64_t polled_ms;            /* last listing; 0: list at once */
  double speed;                 /* 1: runs take their declared time */
};

/* Injected faults, each with its probability.  */
struct fa_faults
{
  double answer_lost;  /* share of orders executed whose answer is lost */
  double delayed;      /* share without an answer, executed seconds later */
  double commit_fails; /* share of commits that fail */
  double task_fails;   /* share of runs that fail */
};

/* How the run times of tasks differ from the declared ones.  */
struct fa_run_times
{
  double noise;      /* of each run, logarithmic standard deviation */
  double long_share; /* share of runs that take LONG_FACTOR times as long */
  double declared_error; /* greatest factor by which a job's is wrong; 0: 1 */
  int gang_waits; /* a gang ends with its slowest task, not its fastest */
};

/* How the workers come back that a deadly task has crashed.  */
struct fa_crash_mode
{
  int64_t work_ms; /* from the start of a deadly task to the crash */
  int64_t down_ms;
  int new_id; /* under a new id at the same address */
};

/* The scheduler under test with its workers and its stored records.  */
struct fa_cluster
{
  struct sj_cluster *scheduler;
  struct sj_settings settings;
  struct dm_domains domains; /* closed ones */
  GRand *rand;
  int64_t now, token, commit_end_ms; /* token: fencing token of the holder */
  int64_t reports;                   /* of all workers */
  int worker_count;
  struct fa_worker worker[FA_MAX_WORKERS];
  GHashTable *records;     /* key -> stored row of a record as JSON text */
  GHashTable *jobs;        /* id -> struct sj_job */
  GHashTable *states;      /* id -> stored state + 1 */
  GHashTable *acked_done;  /* task names: a done run was acknowledged */
  GHashTable *completed;   /* task names: a run ended as done */
  GHashTable *cancelled;   /* id -> ms */
  GHashTable *deadly;      /* id -> index + 1 of the task that crashes its
                              worker; 0: all do */
  GHashTable *stalling;    /* ids of jobs whose tasks never advance */
  GHashTable *crashes;     /* task name -> workers that crashed under it */
  GHashTable *late_starts; /* task name -> starts after three crashes */
  struct fa_crash_mode crash_mode;
  struct fa_run_times run_times;
  int64_t commit_ms;              /* duration of a commit */
  int64_t stop_ms;                /* time that a run takes to stop */
  int64_t checkpoint_interval_ms; /* 0: runs begin anew after a stop */
  double run_scatter;      /* of run times, as a share; 3 % take 7 times */
  GHashTable *saved_ms;    /* task name -> work saved in checkpoints */
  GHashTable *unstarted;   /* id -> tasks of its first step not started yet */
  GHashTable *begun_tasks; /* names of those */
  GHashTable *all_started_ms;                      /* id -> ms + 1 */
  GHashTable *accepted_ms, *started_ms, *ended_ms; /* id -> ms + 1 */
  GArray *pending_orders; /* struct fa_pending_order */
  struct fa_faults faults;
  int fails_together; /* all tasks of a gang that are to fail do so at once */
  GPtrArray *commit_ids, *commit_records;
  GArray *commit_states;
  const char *left_alone; /* id of a job that new holders leave alone */
  int commits;            /* that were stored */
  int commit_rows;        /* most rows of a commit; 0: as many as fit */
  /* Ends of each worker that were listed, those that wait for their records,
     and the scheduler's change serials after each.  */
  int64_t listed_ends[FA_MAX_WORKERS], committing_ends[FA_MAX_WORKERS];
  int64_t listed_serial[FA_MAX_WORKERS], committing_serial[FA_MAX_WORKERS];
  int commit_pending;
  /* Counted events.  */
  int refusals, starts, done_runs, stopped, gang_timeouts, violations;
  /* Stops for slowness of units of which no run is a long one, so that only
     their workers or noise were slow.  */
  int needless_moves;
  double wasted_core_s; /* of stopped runs without checkpoints */
  int stopped_runs;     /* with those whose gang another stop ended first */
  /* Work that ended runs did and that stopped ones threw away; an accelerator
     counts as eight cores.  */
  double done_core_s, lost_core_s;
  char first_violation[200];
};

/* Creates WORKERS workers in racks of PER_RACK.  */
void fa_init (struct fa_cluster *f, int workers, int per_rack, unsigned seed);
void fa_fini (struct fa_cluster *f);
/* The same; returns the number of violations and prints the first.  */
int fa_finish (struct fa_cluster *f);
/* The number in environment variable NAME, or FALLBACK.  */
unsigned fa_env (const char *name, unsigned fallback);
/* Advances the clock by MS milliseconds.  */
void fa_run_ms (struct fa_cluster *f, int64_t ms);
/* Submits JOB and takes ownership of it.  */
void fa_submit (struct fa_cluster *f, struct sj_job *job);
void fa_cancel (struct fa_cluster *f, const char *id);
/* Another holder takes over: it knows the stored records only.  */
void fa_take_over (struct fa_cluster *f);
/* Restarts WORKER as a new incarnation without its runs.  */
void fa_crash (struct fa_cluster *f, int worker);
/* Ends WORKER with its runs; it comes back as crash_mode says.  */
void fa_lose (struct fa_cluster *f, int worker);
/* Task INDEX of each step of the job, or any task if it is -1, crashes the
   worker that runs it.  */
void fa_set_deadly (struct fa_cluster *f, const char *id, int index);
/* Changes WORKER's capacity; the scheduler learns of it a beat later.  */
void fa_set_capacity (struct fa_cluster *f, int worker, int accelerators);
/* Restarts WORKER under its id with that capacity.  The incarnation is known
   at once, the capacity a beat later.  */
void fa_restart_with (struct fa_cluster *f, int worker, int accelerators);
/* Closes or reopens failure domain NAME.  Racks 2 * N and 2 * N + 1 are in
   domain zN.  A start that a worker accepts EVACUATION_MS after its domain was
   closed is a violation.  */
void fa_close_domain (struct fa_cluster *f, const char *name);
void fa_reopen_domain (struct fa_cluster *f, const char *name);
/* Runs on the workers of domain NAME.  */
int fa_runs_in (const struct fa_cluster *f, const char *name);
/* Most workers that crashed under one task of the job.  */
int fa_crashes_under (const struct fa_cluster *f, const char *id);
/* The stored state of the job, or SJ_QUEUED without one.  */
enum sj_state fa_state (const struct fa_cluster *f, const char *id);
/* Milliseconds from acceptance to the first start, and to the end; -1: not
   yet.  */
int64_t fa_start_delay_ms (const struct fa_cluster *f, const char *id);
/* The same to the first start of the last task of the first step.  */
int64_t fa_whole_start_delay_ms (const struct fa_cluster *f, const char *id);
int64_t fa_completion_ms (const struct fa_cluster *f, const char *id);

/* Creates a job with one step of COUNT tasks, each with GPUS accelerators.  */
struct sj_job *fa_new_job (unsigned number, int priority, int count, int gpus,
                           int64_t run_ms);

#endif
