/* Jobs made of steps, and the decisions about them: events in, orders and
   records out.  No I/O, no thread and no clock of its own; every time is in
   milliseconds of the caller's steady clock unless it says otherwise.  */
#ifndef SKR_STEPS_H
#define SKR_STEPS_H

#include <jansson.h>
#include <stdint.h>

enum sj_error
{
  SJ_OK = 0,
  SJ_EINVAL = -221,  /* a job or record that breaks the model */
  SJ_EEXIST = -222,  /* the job is known already */
  SJ_EUNKNOWN = -223 /* no such job or worker */
};

const char *sj_strerror (int error);

enum
{
  SJ_ID = 17,           /* bytes of a job's id with its NUL */
  SJ_MAX_STEPS = 64,    /* of a job; a bit each in sj_step.after */
  SJ_MAX_COUNT = 4096,  /* tasks of a step */
  SJ_MAX_TASKS = 1000,  /* of all steps; a record stays under 64 KB */
  SJ_MAX_TIMES = 10000, /* occurrences of a job */
  SJ_CHECKPOINT = 64    /* bytes of a checkpoint's name with its NUL */
};

struct sj_need
{
  int64_t cpu_milli; /* thousandths of a core */
  int64_t memory_mb;
  int64_t accelerators;
};

/* A step of COUNT equal tasks.  */
struct sj_step
{
  int count;
  struct sj_need need;   /* of each task */
  int64_t estimate_ms;   /* declared run time, a hint */
  uint64_t after;        /* bit N: step N must be done first */
  char *label;           /* that the worker must carry, or NULL */
  char *data_rack;       /* tasks are slow on any other rack; or NULL */
  char *image;           /* what the tasks run; or NULL */
  int max_per_worker;    /* tasks of one occurrence; 0: no limit */
  int64_t latency_ms;    /* target of tasks that serve users; 0: none */
  int max_away;          /* tasks that may be away by our own orders */
  unsigned gang : 1;     /* all tasks run together or none */
  unsigned one_rack : 1; /* tasks are slow when spread over racks */
  unsigned saves : 1;    /* writes checkpoints and resumes from them */
  unsigned copies : 1;   /* copies may run side by side; never made here */
  unsigned lasts : 1;    /* runs until the job is cancelled */
  unsigned filler : 1;   /* takes processor time that others leave */
};

struct sj_job
{
  char id[SJ_ID];
  char *queue, *account, *service, *payload;
  int priority;     /* 0 comes first */
  int max_attempts; /* failed runs of a task, or of a gang */
  double stretch;   /* objective: stretch * longest chain + target_ms */
  int64_t target_ms;
  int64_t first_due_ms, interval_ms; /* of the time of day, since 1970 */
  int times;                         /* occurrences; 0: one, at once */
  int steps;
  struct sj_step *step; /* STEPS of them */
};

void sj_job_free (struct sj_job *job);
/* Returns 0 or SJ_EINVAL; *REASON then names what is wrong.  */
int sj_job_check (const struct sj_job *job, const char **reason);
/* The stored form; a new reference.  */
json_t *sj_job_to_json (const struct sj_job *job);
/* NULL when the value is no job.  */
struct sj_job *sj_job_from_json (const json_t *value);
/* Milliseconds of the longest chain of declared run times.  */
int64_t sj_job_chain_ms (const struct sj_job *job);

enum sj_state
{
  SJ_QUEUED,
  SJ_RUNNING,
  SJ_COMPLETED,
  SJ_FAILED,
  SJ_CANCELLED
};

const char *sj_state_name (enum sj_state state);
/* Returns an sj_state, or SJ_EINVAL.  */
int sj_state_parse (const char *name);

/* What the list of workers tells of one.  Texts are copied.  */
struct sj_worker_info
{
  const char *id;
  int64_t life; /* when this incarnation began; 0 unknown */
  const char *service, *kind, *rack;
  struct sj_need capacity;
  int draining;
  int64_t remaining_ms; /* while draining: least time left */
};

/* Names one run of one task.  */
struct sj_run
{
  char job[SJ_ID];
  int occurrence, step, index;
  int64_t number; /* rises with each start of the task */
};

enum sj_order_kind
{
  SJ_START,
  SJ_STOP
};

/* Why a run is given up.  */
enum sj_cause
{
  SJ_NO_CAUSE,
  SJ_PREEMPTED, /* for work of higher rank */
  SJ_STILL,     /* it made no progress */
  SJ_SLOW,      /* it would end sooner elsewhere */
  SJ_LEAVING,   /* its worker leaves before it can end */
  SJ_PARTIAL,   /* another member was refused, lost or ended */
  SJ_UNHEARD,   /* its start was not answered */
  SJ_JOB_ENDED, /* the job was cancelled or failed */
  SJ_STRANGER,  /* the worker runs it, and nothing is known of it */
  SJ_DONE_ELSEWHERE
};

const char *sj_cause_name (enum sj_cause cause);

struct sj_order
{
  enum sj_order_kind kind;
  const char *worker;
  int64_t life;
  struct sj_run run;
  const char *payload, *checkpoint; /* of a start; checkpoint or "" */
  enum sj_cause cause;              /* of a stop */
};

/* How an order ended.  */
enum sj_answer
{
  SJ_TAKEN,   /* carried out */
  SJ_REFUSED, /* provably not carried out, and never will be */
  SJ_UNKNOWN  /* no answer: may have been, or may yet be */
};

enum sj_end
{
  SJ_END_DONE,
  SJ_END_FAILED,
  SJ_END_STOPPED,
  SJ_END_LAPSED,
  SJ_END_BROKEN, /* another member of the gang ended */
  SJ_END_ALONE   /* waited too long for the gang's other members */
};

const char *sj_end_name (enum sj_end end);

struct sj_listed
{
  const char *checkpoint; /* or "" */
  struct sj_run run;
  enum sj_end end; /* of an ended run */
  int percent;     /* of a running one; -1 unknown */
};

/* A worker's answer about all it runs and what ended there.  */
struct sj_listing
{
  int64_t sent_ms; /* when it was asked for */
  int running, ended;
  const struct sj_listed *run, *end;
};

struct sj_settings
{
  int64_t far_factor; /* run time away from the data or over racks */
  int64_t survey_ms;  /* after which a worker that never answered is empty */
};

struct sj_cluster; /* opaque */

/* DO_ORDER runs inside sj_committed and sj_decide.  */
typedef void sj_do_order (void *arg, const struct sj_order *order);

struct sj_cluster *sj_new (const struct sj_settings *settings,
                           sj_do_order *do_order, void *arg);
void sj_free (struct sj_cluster *c);

/* Accelerators that belong to ACCOUNT's jobs of priority 0.  */
void sj_set_guarantee (struct sj_cluster *c, const char *account,
                       int64_t accelerators);

void sj_worker_set (struct sj_cluster *c, const struct sj_worker_info *info,
                    int64_t now);
/* The list no longer names the worker.  It may run on until its lease
   ends.  */
void sj_worker_unlisted (struct sj_cluster *c, const char *id);
/* Another incarnation answers under the id.  What its lists lack is gone.  */
void sj_worker_reborn (struct sj_cluster *c, const char *id, int64_t life,
                       int64_t now);
/* The worker was told a lease that has surely ended at UNTIL_MS.  */
void sj_worker_leased (struct sj_cluster *c, const char *id, int64_t until_ms);
/* Whether orders to it are answered.  */
void sj_worker_reachable (struct sj_cluster *c, const char *id, int yes);
/* 1 while runs may be there that need their lease renewed.  */
int sj_worker_busy (struct sj_cluster *c, const char *id);
/* 1 while its runs should be listed more often: urgent ones, and those whose
   pace is not known yet.  */
int sj_watch_closely (struct sj_cluster *c, const char *worker);
int sj_listing_take (struct sj_cluster *c, const char *worker,
                     const struct sj_listing *listing, int64_t now);

/* Takes JOB over.  RECORD is what sj_dirty gave last, or NULL.  WAITED_MS
   is how long ago it was accepted.  Returns 0, SJ_EEXIST or SJ_EINVAL; on
   an error JOB is freed.  */
int sj_job_add (struct sj_cluster *c, struct sj_job *job, const json_t *record,
                int64_t waited_ms, int64_t now);
int sj_job_cancel (struct sj_cluster *c, const char *id, int64_t now);
int sj_has_job (struct sj_cluster *c, const char *id);

/* The answer to a start or stop.  */
void sj_start_answered (struct sj_cluster *c, const char *worker,
                        const struct sj_run *run, enum sj_answer answer,
                        int64_t now);
/* Whether the start has no answer yet, and no stop was ordered since.  */
int sj_start_wanted (struct sj_cluster *c, const char *worker,
                     const struct sj_run *run);
void sj_stop_answered (struct sj_cluster *c, const char *worker,
                       const struct sj_run *run, enum sj_answer answer,
                       int64_t now);

/* Chooses what starts and stops.  WALL_MS is the time of day.  Stops are
   ordered at once, starts once their records are stored.  Returns the
   milliseconds until it should run again at the latest.  */
int64_t sj_decide (struct sj_cluster *c, int64_t now, int64_t wall_ms);

/* A record that changed since it was last given out.  */
struct sj_dirty
{
  char id[SJ_ID];
  json_t *record; /* the caller's */
  enum sj_state state;
  int state_changed; /* since the last commit */
};

/* Fills up to MAX changed records and returns their number.  They count as
   being stored until sj_committed.  */
int sj_dirty (struct sj_cluster *c, struct sj_dirty *out, int max);
/* The records given out since the last call are stored (OK), or not.  Starts
   that they hold are ordered now.  */
void sj_committed (struct sj_cluster *c, int ok, int64_t now);
/* 1 while sj_dirty would give something out.  */
int sj_is_dirty (struct sj_cluster *c);

struct sj_counts
{
  int jobs, waiting, runs, workers, usable_workers, busy_workers;
  int64_t accelerators_used, accelerators;
};
void sj_count (struct sj_cluster *c, struct sj_counts *out);

/* Asserts that no worker is over its capacity, that no task runs twice and
   that no unit runs in part.  Aborts with a message otherwise.  */
void sj_check (struct sj_cluster *c);

#endif
