/* Workers and a store on a fake clock, around the decisions about jobs of
   steps.  What the users' rules forbid is asserted from outside, by what the
   workers see.  */
#ifndef FAKE_FARM_H
#define FAKE_FARM_H

#include <glib.h>

#include "skr/steps.h"

enum
{
  FA_STEP_MS = 10,
  FA_MAX_WORKERS = 512
};

struct fa_run
{
  struct sj_run run;
  int gang, saves, fails;
  int64_t began_ms, work_ms, done_ms; /* done_ms: work done so far */
  int64_t stop_at_ms;                 /* 0: not told to stop */
  struct sj_need need;
};

struct fa_late
{
  int64_t at_ms;
  struct sj_order order;
  char *worker, *payload, *checkpoint;
  int64_t token, sent_ms, life;
};

struct fa_worker
{
  char id[16], rack[16];
  struct sj_need capacity;
  int64_t life, token, lease_ms, end_number, seen;
  GArray *run;        /* struct fa_run */
  GArray *ended;      /* struct sj_listed, numbers from SEEN + 1 */
  GHashTable *closed; /* task name -> highest run stopped or ended */
  int up, cut, listed, draining;
  int fails_all, stands_still;
  int64_t listed_at_ms;
  double speed;
};

struct fa_faults
{
  double lost;       /* share of orders without an answer, carried out */
  double late;       /* share without an answer, carried out seconds later */
  double store;      /* share of commits that fail */
  double task_fails; /* share of runs that fail by themselves */
};

struct fa_farm
{
  struct sj_cluster *cluster;
  struct sj_settings set;
  GRand *rand;
  int64_t now, token, commit_ms;
  int workers;
  struct fa_worker worker[FA_MAX_WORKERS];
  GHashTable *record; /* id -> json text, as stored */
  GHashTable *job;    /* id -> json text of the job */
  GHashTable *state;  /* id -> state + 1, as stored */
  GHashTable *done;   /* task name -> 1: an end as done was let go */
  GHashTable *well;   /* task name -> 1: a run ended as done */
  GHashTable *cancelled;
  GHashTable *accepted, *begun, *ended; /* id -> ms */
  GArray *late;                         /* struct fa_late */
  struct fa_faults faults;
  GPtrArray *commit_id, *commit_record;
  GArray *commit_state;
  int64_t taken[FA_MAX_WORKERS], committing[FA_MAX_WORKERS];
  int committing_now;
  /* What was seen.  */
  int starts, done_runs, stopped, alone, broken_rules;
  double wasted; /* core-seconds that were stopped and not saved */
  char first_broken[200];
};

void fa_init (struct fa_farm *f, int workers, int per_rack, unsigned seed);
void fa_fini (struct fa_farm *f);
/* Runs the clock for MS.  */
void fa_run_ms (struct fa_farm *f, int64_t ms);
/* The job that is handed in is the caller's no more.  */
void fa_submit (struct fa_farm *f, struct sj_job *job);
void fa_cancel (struct fa_farm *f, const char *id);
/* Another holder takes over: all but the records is forgotten.  */
void fa_take_over (struct fa_farm *f);
void fa_crash (struct fa_farm *f, int worker);
/* The stored state, or SJ_QUEUED.  */
enum sj_state fa_state (const struct fa_farm *f, const char *id);
/* Milliseconds from acceptance to the first start or the end; -1: none.  */
int64_t fa_waited (const struct fa_farm *f, const char *id);
int64_t fa_took (const struct fa_farm *f, const char *id);

/* A job of one step of COUNT tasks.  */
struct sj_job *fa_job (unsigned number, int priority, int count, int gpus,
                       int64_t run_ms);

#endif
