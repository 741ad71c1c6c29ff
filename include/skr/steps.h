/* Scheduling of jobs that consist of steps.  The caller feeds in events and
   receives orders for workers and records to store.  The scheduler does no
   I/O, starts no thread and reads no clock: NOW and every other time are
   milliseconds of the caller's monotonic clock unless noted otherwise.  Calls
   that return int return 0 or an sj_error unless noted otherwise.  */
#ifndef SKR_STEPS_H
#define SKR_STEPS_H

#include <jansson.h>
#include <stdint.h>

#include "skr/domains.h"

enum sj_error
{
  SJ_OK = 0,
  SJ_EINVAL = -221,  /* invalid job or record */
  SJ_EEXIST = -222,  /* duplicate job */
  SJ_EUNKNOWN = -223 /* no such job or worker */
};

/* Describes an sj_error; a static string.  */
const char *sj_strerror (int error);

enum
{
  SJ_ID_SIZE = 17,   /* size of a job's id with its NUL, bytes */
  SJ_KEY_SIZE = 48,  /* size of the key of a record's row with its NUL */
  SJ_ROW_TASKS = 32, /* open tasks of a job whose record is a single row */
  SJ_MAX_STEPS = 64, /* of a job; a dependency mask has a bit for each */
  SJ_MAX_STEP_TASKS = 4096, /* tasks of a step */
  SJ_MAX_TASKS = 10000, /* of all steps: each decision looks at all of them */
  /* The same if a record is a single row, and of all open occurrences but the
     first: then a row stays under 64 KB.  */
  SJ_MAX_ROW_TASKS = 1000,
  SJ_MAX_OCCURRENCES = 10000, /* of a job */
  SJ_MAX_NEED = 1000000000,   /* of one resource, by one task */
  /* Bytes of a checkpoint in UTF-8.  Escaped for a record it takes six times
     as many at most, which is less than half of a row.  */
  SJ_MAX_CHECKPOINT = 4000,
  SJ_MAX_PAYLOAD = 4000,   /* bytes, as the users' pages say */
  SJ_MAX_STEP_TEXTS = 8000 /* bytes of all labels, racks and images of a job */
};

/* Resources that a task requests or a worker has.  */
struct sj_resources
{
  int64_t cpu_milli; /* thousandths of a core */
  int64_t memory_mb;
  int64_t accelerators;
};

/* A step of COUNT equal tasks.  */
struct sj_step
{
  int count;
  struct sj_resources need;  /* of each task */
  int64_t estimate_ms;       /* declared run time; may be wrong */
  uint64_t depends_on;       /* bit N: depends on step N */
  char *label;               /* required label of the worker, or NULL */
  char *data_rack;           /* tasks run slowly in other racks; or NULL */
  char *image;               /* image that the tasks run, or NULL */
  int max_per_worker;        /* per occurrence; 0: no limit */
  int64_t latency_target_ms; /* target of tasks that serve users; 0: none */
  int max_unavailable; /* tasks that the scheduler's stops may make unavailable
                        */
  unsigned gang : 1;   /* all tasks run at the same time or none */
  unsigned one_rack : 1;      /* tasks run slowly when spread over racks */
  unsigned checkpoints : 1;   /* writes checkpoints and resumes from them */
  unsigned allows_copies : 1; /* tasks may run in copies; none are made here */
  unsigned is_continuous : 1; /* runs until the job is cancelled */
  unsigned filler : 1;        /* uses only idle processor time */
};

/* A job.  Its strings and its array of steps belong to it.  */
struct sj_job
{
  char id[SJ_ID_SIZE];
  char *queue, *account, *service, *payload;
  int priority;     /* 0 is the highest */
  int max_attempts; /* limit on the failed runs of a task or gang */
  double stretch;   /* objective: stretch * critical path + target_ms */
  int64_t target_ms;
  int64_t first_due_ms, interval_ms; /* first_due_ms: since 1970 */
  int occurrences;                   /* occurrences; 0: one, immediately */
  int step_count;
  struct sj_step *step; /* one entry for each step */
};

void sj_job_free (struct sj_job *job);
/* Returns 0, or SJ_EINVAL with *REASON set to a static description.  */
int sj_job_check (const struct sj_job *job, const char **reason);
/* Number of tasks of all its steps, in one occurrence.  */
int sj_job_tasks (const struct sj_job *job);
/* The stored form of JOB; a new reference.  */
json_t *sj_job_to_json (const struct sj_job *job);
/* Parses the stored form.  Returns a job that the caller frees, or NULL if
   VALUE is not a valid job.  */
struct sj_job *sj_job_from_json (const json_t *value);
/* Declared run time of the longest chain of dependent steps, in
   milliseconds.  */
int64_t sj_job_critical_path_ms (const struct sj_job *job);

enum sj_state
{
  SJ_QUEUED,
  SJ_RUNNING,
  SJ_COMPLETED,
  SJ_FAILED,
  SJ_CANCELLED
};

const char *sj_state_name (enum sj_state state);
/* Returns an sj_state, or SJ_EINVAL for an unknown name or NULL.  */
int sj_state_parse (const char *name);

/* A worker as the platform's list of workers describes it.  Strings are
   copied.  */
struct sj_worker_info
{
  const char *id;
  int64_t incarnation; /* start time of the incarnation; 0: unknown */
  const char *service, *kind, *rack;
  const char *domain; /* failure domain; NULL: as known before, or unknown */
  struct sj_resources capacity;
  int draining;
  int64_t remaining_ms;      /* while draining: minimum time left */
  int64_t cold_remaining_ms; /* it is slow for so long after the report */
  int64_t version;           /* another one with each report of the worker */
};

/* Identifies one run of one task.  */
struct sj_run
{
  char job[SJ_ID_SIZE];
  int occurrence, step, index;
  int64_t number; /* increases with each start of the task */
};

enum sj_order_kind
{
  SJ_START,
  SJ_STOP
};

/* Why a run is stopped.  */
enum sj_cause
{
  SJ_NO_CAUSE,
  SJ_PREEMPTED,        /* in favour of work of higher rank */
  SJ_STALLED,          /* no progress */
  SJ_SLOW,             /* expected to finish sooner elsewhere */
  SJ_DRAINING,         /* its worker is removed before it can finish */
  SJ_GANG_INCOMPLETE,  /* a task of its gang was refused, lost or ended */
  SJ_START_UNANSWERED, /* the start was not answered */
  SJ_JOB_ENDED,        /* the job was cancelled or failed */
  SJ_UNKNOWN_RUN,      /* listed by the worker, but no job has it */
  SJ_DONE_ELSEWHERE,   /* an earlier run of the task is done */
  SJ_CAUSES            /* their number */
};

const char *sj_cause_name (enum sj_cause cause);

/* An order to start or stop a run.  Its strings are valid during the call
   only.  */
struct sj_order
{
  enum sj_order_kind kind;
  const char *worker;
  int64_t
      incarnation; /* incarnation of the worker that is meant; 0: unknown */
  struct sj_run run;
  const char *payload, *checkpoint; /* for a start; checkpoint may be "" */
  int priority;                     /* of the job; for a start */
  enum sj_cause cause;              /* for a stop */
};

/* Outcome of an order.  */
enum sj_answer
{
  SJ_EXECUTED,  /* executed */
  SJ_REFUSED,   /* not executed, and never will be */
  SJ_UNANSWERED /* no answer: may have been or may yet be executed */
};

/* How a run ended.  */
enum sj_end
{
  SJ_END_DONE,
  SJ_END_FAILED,
  SJ_END_STOPPED,
  SJ_END_LEASE_EXPIRED, /* the worker's lease expired */
  SJ_END_GANG_BROKEN,   /* another task of the gang ended */
  SJ_END_GANG_TIMEOUT   /* timed out waiting for the gang's other tasks */
};

const char *sj_end_name (enum sj_end end);

/* A running or ended run as a worker lists it.  */
struct sj_listed_run
{
  const char *checkpoint; /* or ""; NULL: not readable as text */
  struct sj_run run;
  enum sj_end end; /* for an ended run */
  int percent;     /* progress of a running one; -1: unknown */
};

/* A worker's list of all its running runs and of those that ended and are
   not acknowledged.  */
struct sj_listing
{
  int64_t requested_ms; /* when it was requested */
  int run_count, end_count;
  int is_incomplete; /* it has entries that can't be read */
  const struct sj_listed_run *runs, *ends;
};

/* Why a run ended without its worker having listed an end.  */
enum sj_loss
{
  SJ_LOSS_CRASH,   /* another incarnation of the worker is running */
  SJ_LOSS_EXPIRED, /* the worker was silent until its lease had expired */
  SJ_LOSS_LEFT     /* the same, after the worker had begun to drain */
};

const char *sj_loss_name (enum sj_loss loss);

enum sj_note_kind
{
  SJ_NOTE_RUN_LOST,
  SJ_NOTE_TASK_GIVEN_UP, /* too many workers crashed under it */
  SJ_NOTE_CAPACITY,      /* a worker's capacity has changed */
  SJ_NOTE_SPEED,         /* a worker's speed class has changed */
  SJ_NOTE_FLEET,         /* the workers' speeds have become uneven or even */
  SJ_NOTE_SLOW_KEPT,     /* a slow run is not moved */
  SJ_NOTE_FAST_WAIT,     /* a unit waits for a fast worker */
  SJ_NOTE_PREEMPTED,     /* runs were stopped so that others fit */
  SJ_NOTE_WAITS,         /* work waits for capacity instead */
  SJ_NOTE_HEADROOM,      /* the capacity kept for urgent work has changed */
  SJ_NOTE_STOP_OVERDUE,  /* a stopped run still occupies its worker */
  SJ_NOTE_STOPPED,       /* runs were stopped, for any cause */
  SJ_NOTE_PASSED_OVER,   /* a step was moved behind another account's */
  SJ_NOTE_ACCOUNT_SHARE, /* an account is above its share, or no more */
  SJ_NOTE_WEIGHT,        /* a weight below 1 was configured; 1 is used */
  SJ_NOTE_SCARCE,        /* units wait that do not fit, or no more */
  SJ_NOTE_CHECKPOINT     /* a checkpoint can't be kept */
};

/* An account's part of the fleet.  Its share is the largest of its fractions
   of cores, memory and accelerators.  */
struct sj_account_share
{
  const char *name;
  int64_t weight;
  int64_t running, waiting; /* tasks */
  int share_permille;
  int entitled_permille; /* part that is due to it */
  int is_over;           /* above its share */
};

/* Something that the scheduler learned, for the log.  Its strings are valid
   during the call only.  */
struct sj_note
{
  enum sj_note_kind kind;
  const char *worker;
  union
  {
    struct
    {
      struct sj_run run;
      enum sj_loss loss;
      int neighbours; /* runs of other units on the worker at the time */
      int crashes;    /* workers that have crashed under the task */
      int unresolved; /* lost runs of it that may have been crashes */
    } lost;
    struct
    {
      struct sj_run run; /* the last one */
      int crashes;
    } given_up;
    struct
    {
      struct sj_resources capacity, used;
    } capacity;
    struct
    {
      const char *was, *is; /* names of speed classes */
      int percent;          /* of the speed of the fast workers */
      int samples;
    } speed;
    struct
    {
      int is_uneven, classes;
      int spread_percent, noise_percent; /* standard deviations */
      int fast, medium, slow, unknown;   /* workers */
    } fleet;
    struct
    {
      struct sj_run run;
      int pace_percent;   /* of the fast siblings' */
      int worker_percent; /* speed of its worker, as in speed */
    } slow_kept;
    struct
    {
      struct sj_run run;   /* of the unit's first task */
      int64_t expected_ms; /* until a fast worker is free */
    } fast_wait;
    struct
    {
      const char *job; /* that is to start */
      int tasks;
      int victims, runs;    /* units and runs that were stopped */
      int64_t lost_core_ms; /* work thrown away */
      int64_t waited_ms;
      const char *reason; /* why the stops were not avoided */
    } preempted;
    struct
    {
      const char *job;
      int tasks;
      int64_t until_ms; /* latest time from now until runs are stopped */
    } waits;
    struct
    {
      struct sj_run run;
      int64_t bytes; /* -1: not readable as text */
    } checkpoint;
    struct
    {
      int64_t kept, used, idle; /* accelerators */
      int is_forecast;
      double jobs_per_s, peak_per_s; /* of urgent arrivals */
    } headroom;
    struct
    {
      struct sj_run run;
      int64_t since_ms;
    } overdue;
    struct
    {
      enum sj_cause cause;
      int runs;
      int64_t lost_core_ms;
    } stopped;
    struct
    {
      char job[SJ_ID_SIZE], ahead_job[SJ_ID_SIZE];
      int step;
      struct sj_account_share account, ahead;
      int64_t waited_ms;      /* of the step that was passed over */
      int64_t ahead_slack_ms; /* until the latest start of the other one */
      int64_t ahead_wait_ms;  /* its wait, were it not ahead */
    } passed_over;
    struct sj_account_share account; /* SJ_NOTE_ACCOUNT_SHARE */
    struct
    {
      const char *account;
      int64_t weight; /* as configured */
    } weight;
    struct
    {
      int is_scarce, waiting; /* waiting: steps */
    } scarce;
  } u;
};

typedef void sj_note_fn (void *arg, const struct sj_note *note);

struct sj_settings
{
  int64_t off_rack_factor; /* factor on the run time off the preferred rack */
  /* Least time from when a silent worker became known until its runs count
     as ended.  */
  int64_t silent_timeout_ms;
  /* Closed failure domains, where nothing starts.  NULL: requests to close
     domains are not served, and cold workers are treated as others.  Must
     outlive the scheduler.  */
  const struct dm_domains *domains;
  int speed_aware; /* learn and use the workers' speeds and the run times */
  /* Keep capacity free by the forecast of demand while at least so many urgent
     jobs a second arrive; 0: never.  */
  int headroom_forecast;
  /* Time within which guaranteed work must start; 0: unknown, and work is
     stopped for other work as soon as that does not fit.  */
  int64_t reclaim_ms;
  int64_t stop_ms;                /* longest time a stop takes; 0: unknown */
  int64_t checkpoint_interval_ms; /* between two checkpoints; 0: unknown */
  /* 1: while capacity is scarce, accounts above their share give way to units
     of others that would be late; 0: order by rank and latest start alone.  */
  int64_t fair_share;
  int64_t max_record_bytes; /* of a row of a record as JSON; 0: no limit */
  /* 1: the records of large jobs are stored in pieces, so that a change writes
     only what it changes; 0: in one row each, unless they are in pieces
     already.  */
  int record_pieces;
};

struct sj_cluster; /* opaque */

/* Sends ORDER.  Called inside sj_committed, sj_decide and the other functions
   that take events or jobs.  */
typedef void sj_order_fn (void *arg, const struct sj_order *order);

struct sj_cluster *sj_new (const struct sj_settings *settings,
                           sj_order_fn *on_order, void *arg);
void sj_free (struct sj_cluster *c);
/* Calls ON_NOTE with ARG for each note from now on.  It must not call back
   into the scheduler.  */
void sj_set_note_fn (struct sj_cluster *c, sj_note_fn *on_note, void *arg);

/* Parts of the decisions that can be turned off: what is promised holds
   without them, with longer waits and more work lost.  Those that look at few
   things come first.  */
enum sj_part
{
  SJ_PART_MOVES,        /* of slow and stalled runs to other workers */
  SJ_PART_RESERVATIONS, /* of capacity for wide units */
  SJ_PART_SHARES,       /* of accounts while capacity is scarce */
  SJ_PART_HEADROOM,     /* for urgent work yet to come */
  SJ_PART_SPEEDS,       /* of workers, as learned */
  SJ_PART_WAITS,        /* for capacity that becomes free by itself */
  SJ_PARTS
};
enum
{
  SJ_ALL_PARTS = (1 << SJ_PARTS) - 1
};
/* Turns the parts on whose bits (1 << enum sj_part) are in PARTS, and the
   others off.  All are on at first; some need a setting besides.  */
void sj_set_parts (struct sj_cluster *c, unsigned parts);

/* Job ID, which was not added, is left alone: its runs are neither stopped nor
   accounted, and a worker that lists one gets no starts.  The ends of its
   tasks must not be acknowledged.  */
void sj_leave_alone (struct sj_cluster *c, const char *id);
int sj_is_left_alone (const struct sj_cluster *c, const char *id);

/* Guarantees ACCOUNT's jobs of priority 0 that many accelerators.  */
void sj_set_guarantee (struct sj_cluster *c, const char *account,
                       int64_t accelerators);

/* Adds or updates a worker of the list.  An older incarnation than the known
   one is ignored.  */
void sj_worker_set (struct sj_cluster *c, const struct sj_worker_info *info,
                    int64_t now);
/* The list no longer names the worker.  Its runs may go on until its lease
   expires.  */
void sj_worker_unlisted (struct sj_cluster *c, const char *id);
/* A new incarnation answers under ID.  Runs that it does not list have
   ended.  */
void sj_worker_restarted (struct sj_cluster *c, const char *id, int64_t life,
                          int64_t now);
/* Another worker answers at the address of worker ID, so that ID's process and
   its runs have ended.  */
void sj_worker_replaced (struct sj_cluster *c, const char *id, int64_t now);
/* The worker was granted a lease that has expired by UNTIL_MS at the
   latest.  */
void sj_worker_set_lease (struct sj_cluster *c, const char *id,
                          int64_t until_ms);
/* Sets whether the worker answers orders.  */
void sj_worker_set_reachable (struct sj_cluster *c, const char *id, int yes);
/* Sets whether no further run is planned on the worker for now.  */
void sj_worker_set_paused (struct sj_cluster *c, const char *id, int yes);
/* Returns 1 while the worker may have runs that need its lease renewed, also
   such of jobs that are left alone.  */
int sj_worker_has_runs (struct sj_cluster *c, const char *id);
/* Returns 1 while the worker's runs should be polled more often, because some
   are urgent or their pace is not known yet.  */
int sj_poll_closely (struct sj_cluster *c, const char *worker);
/* Applies LISTING, which is not kept.  Returns 0 or SJ_EUNKNOWN.  */
int sj_listing_apply (struct sj_cluster *c, const char *worker,
                      const struct sj_listing *listing, int64_t now);

/* Adds the row KEY, stored from sj_dirty, to RECORD, an object that is empty
   at first.  Takes over the reference VALUE.  */
void sj_record_add (json_t *record, const char *key, json_t *value);
/* Adds JOB and takes ownership of it, also on an error.  RECORD has the rows
   stored from sj_dirty, or is NULL; it stays the caller's.  WAITED_MS is how
   long ago JOB was accepted.  Returns 0, SJ_EEXIST or SJ_EINVAL.  */
int sj_job_add (struct sj_cluster *c, struct sj_job *job, const json_t *record,
                int64_t waited_ms, int64_t now);
/* Ends the job as cancelled and stops its runs; no effect on an ended job.
   Returns 0 or SJ_EUNKNOWN.  */
int sj_job_cancel (struct sj_cluster *c, const char *id, int64_t now);
/* Returns 1 if the job is known, 0 otherwise.  */
int sj_has_job (struct sj_cluster *c, const char *id);

/* Reports that the start of RUN is being sent, for the first time or again, so
   that the worker may execute it from now on.  The earlier try, if there is
   one, was not answered.  */
void sj_start_sent (struct sj_cluster *c, const char *worker,
                    const struct sj_run *run);
/* Report the outcome of a start or stop.  */
void sj_start_answered (struct sj_cluster *c, const char *worker,
                        const struct sj_run *run, enum sj_answer answer,
                        int64_t now);
/* Returns 1 while the start of RUN may be sent, for the first time or again:
   it has no answer, no stop of it was ordered, the worker's last listing has
   no unknown run, and what is ordered and runs on the worker fits its capacity
   as it is known now.  */
int sj_may_send_start (struct sj_cluster *c, const char *worker,
                       const struct sj_run *run);
void sj_stop_answered (struct sj_cluster *c, const char *worker,
                       const struct sj_run *run, enum sj_answer answer,
                       int64_t now);

/* Applies a change of the closed domains.  */
void sj_domains_changed (struct sj_cluster *c);
/* Counts the workers of failure domain NAME and the runs on them.  */
void sj_count_domain (const struct sj_cluster *c, const char *name,
                      int *workers, int *runs);

/* While HELD, no start is decided or sent, as the workers' states are not
   known well enough.  */
void sj_hold_starts (struct sj_cluster *c, int held);

/* No further start is decided while MAX orders have no outcome yet, so that
   what can't be ordered soon occupies no capacity and waits in the order of
   its urgency.  Stops count for at most half of MAX.  0: no limit.  */
void sj_limit_orders (struct sj_cluster *c, int max);

/* Decides which runs start and stop.  WALL_MS is the time of day in
   milliseconds since 1970.  Stops are ordered immediately, starts once their
   records are stored.  Returns the milliseconds after which it must be called
   again at the latest.  */
int64_t sj_decide (struct sj_cluster *c, int64_t now, int64_t wall_ms);

/* A row of a job's record that changed since sj_dirty last returned it.  The
   record of a small job is one row, whose key is the job's id.  That of a
   large one has more: a head with that key and pieces with longer ones, which
   are returned before the head.  */
struct sj_dirty
{
  char id[SJ_ID_SIZE];
  char key[SJ_KEY_SIZE];
  json_t *record; /* a reference that the caller owns; NULL: the row is to be
                     deleted */
  /* Of the job, with the row of its id: */
  enum sj_state state;
  int state_changed; /* since the last commit */
};

/* Fills OUT with up to MAX changed rows and returns their number.  They count
   as being stored until sj_committed is called.  There may be more than one
   transaction holds: the job's changes are stored when all of them are.  The
   rows of a job that was set aside are the only ones until then.  */
int sj_dirty (struct sj_cluster *c, struct sj_dirty *out, int max);
/* Reports that the rows returned since the last call are stored (OK) or not,
   all of them.  Those that are not are returned again.  Starts that stored
   records contain are ordered now.  */
void sj_committed (struct sj_cluster *c, int ok, int64_t now);
/* Has sj_dirty return the row KEY to be deleted.  */
void sj_drop_row (struct sj_cluster *c, const char *key);
/* Returns 1 if sj_dirty would return a row.  */
int sj_is_dirty (struct sj_cluster *c);
/* Changes of records are numbered.  Returns the serial of the latest one.  */
int64_t sj_change_serial (const struct sj_cluster *c);
/* Returns the highest serial up to which all changes are stored, but for those
   of jobs that are set aside.  */
int64_t sj_stored_serial (const struct sj_cluster *c);

/* Why a job's record can't be stored.  */
enum sj_aside_reason
{
  SJ_TOO_LARGE,     /* it exceeds a row */
  SJ_REFUSED_RECORD /* the store has refused it */
};

const char *sj_aside_reason_name (enum sj_aside_reason reason);

/* The record of job ID can't be stored as it is.  Nothing of the job starts
   until it is stored; what runs goes on.  sj_dirty does not return it until
   some time has passed and, if it was too large, it has changed.  It must not
   be among the records that are being stored, or be reported by this call
   instead of sj_committed. Returns 1 unless the job had been set aside before.
 */
int sj_set_aside (struct sj_cluster *c, const char *id,
                  enum sj_aside_reason reason, int64_t now);
/* Lets sj_dirty return the changed records of jobs that were set aside, when
   they are due.  */
void sj_retry_aside (struct sj_cluster *c, int64_t now);
/* Returns 1 while the job is set aside: its ends must not be acknowledged.  */
int sj_is_aside (struct sj_cluster *c, const char *id);

struct sj_counts
{
  int jobs, waiting, runs, workers, usable_workers, busy_workers;
  int aside_jobs;     /* that are set aside */
  int closed_workers; /* in closed failure domains */
  int64_t accelerators_used, accelerators;
  /* With speed_aware: workers by speed class, whether their speeds differ, and
     how often a slow run was not moved and a unit waited for a fast worker. */
  int fast_workers, medium_workers, slow_workers, unknown_workers;
  int speeds_uneven;
  int64_t slow_kept, fast_waits;
  /* Accelerators kept free for urgent work, and those of them in use.  */
  int64_t headroom_kept, headroom_used;
  /* Since the cluster was created: decisions to preempt, runs stopped for any
     cause, and the work that these threw away.  */
  int64_t preemptions, stopped_runs, lost_core_ms;
  int64_t rounds; /* decision rounds since then */
};
/* Fills OUT with the current counts.  */
void sj_count (struct sj_cluster *c, struct sj_counts *out);

/* Fills OUT with the shares of up to MAX accounts as of the last decision
   round and returns their number; 0 without fair shares.  The names are valid
   until the next call that adds a job or an account.  */
int sj_account_shares (const struct sj_cluster *c,
                       struct sj_account_share *out, int max);

/* Checks that no worker is over its capacity, that used capacity is counted
   correctly and that no unit runs in part.  Aborts with a message
   otherwise.  */
void sj_check (struct sj_cluster *c);

#endif
