/* Replays a trace or randomly generated events.  A run consists of the
   decision core, simulated workers that execute its actions, and the measures
   of the run.  Times are in milliseconds of simulated time.  */
#ifndef RP_REPLAY_H
#define RP_REPLAY_H

#include "skr/trace.h"

enum rp_error
{
  RP_OK = 0,
  RP_EINPUT = -701,    /* invalid input, already reported */
  RP_EINVARIANT = -702 /* violated invariant or error of the decision core,
                                           already reported */
};

enum
{
  RP_FAILING_TASK_MS = 1000 /* run time of a task on a worker that fails every
                                                   task */
};

enum rp_state
{
  RP_QUEUED,
  RP_RUNNING,
  RP_CHECKPOINTING, /* preempted, writes its checkpoint */
  RP_ENDED
};

/* Placement of one task of the current attempt.  ON_FAILING_WORKER is the
   state of the worker at the start.  RELEASED is set once the task has
   ended.  */
struct rp_task
{
  uint32_t worker, incarnation;
  int on_failing_worker, released;
};

struct rp_job
{
  struct tr_submit submit;
  enum rp_state state;
  uint32_t handle; /* of the job in the decision core */
  int32_t attempt;
  int64_t submitted_ms, started_ms;
  int64_t remaining_ms;            /* run time left at the last checkpoint */
  int64_t checkpoint_remaining_ms; /* REMAINING_MS after the pending
                                           checkpoint */
  int within_guarantee; /* fitted its account's guarantee when submitted */
  int has_started;
  struct rp_task *tasks;
  uint64_t timer_sequence[2]; /* of its pending timers, or 0; index 1 is for
                                 RP_TIMER_FAIL */
  int64_t timer_ms[2];
};

/* What happens to a job when its timer expires.  */
enum rp_timer_kind
{
  RP_TIMER_END,
  RP_TIMER_FAIL,
  RP_TIMER_CHECKPOINT
};

struct rp_timer
{
  int64_t at_ms;
  uint64_t sequence;
  enum rp_timer_kind kind;
  uint32_t job;
};

struct rp_worker
{
  uint32_t incarnation; /* incremented whenever the worker goes down */
  int is_known, up, leaving, quarantined, fails_all;
  int32_t accelerators;
};

struct rp_gen;

enum rp_source_kind
{
  RP_SOURCE_TRACE,
  RP_SOURCE_RANDOM
};

struct rp_source
{
  enum rp_source_kind kind;
  const char *path;
  struct tr_reader reader;
  struct rp_gen *gen;
  int64_t seed; /* of the random generator */
  FILE *emit;   /* receives each random event as a trace, or NULL */
};

struct rp_run
{
  struct tr_tables tables;
  struct tr_measures measures;
  struct dc *dc;
  FILE *out;
  struct rp_source source;
  GArray *jobs;          /* struct rp_job, indexed by trace handle */
  GArray *job_by_handle; /* uint32_t trace handle, indexed by core handle */
  GArray *free_handles;  /* uint32_t, core handles of ended jobs */
  GArray *workers;       /* struct rp_worker */
  GTree *timers;         /* struct rp_timer *, ordered by time and sequence */
  uint64_t sequence;
  int64_t now_ms;
  int64_t deferred_ms; /* next decision if tasks ended after those of NOW_MS */
  int64_t events;      /* number read from the source */
  int64_t unfinished_jobs; /* number of jobs that have not ended */
  int instant_open;        /* the decisions of NOW_MS are pending */
  const struct tr_plan
      *current_plan;    /* plan that the core is evaluating, or NULL */
  struct rp_cost *cost; /* or NULL */
};

/* Durations of the calls into the decision core, in microseconds.  */
struct rp_cost
{
  GArray *samples_us; /* double */
  double started_us;
};

void rp_cost_init (struct rp_cost *cost);
void rp_cost_fini (struct rp_cost *cost);
/* Start and end one measurement.  Both do nothing when COST is NULL.  */
void rp_cost_start (struct rp_cost *cost);
void rp_cost_stop (struct rp_cost *cost);
/* Prints the number of calls, quantiles of their duration and the peak size
   of the core's state.  Sorts the samples of COST.  */
void rp_cost_print (FILE *out, struct rp_cost *cost, const struct rp_run *run);

/* Prepares a run that writes its actions to OUT; the caller sets SOURCE.
   Returns RP_OK or RP_EINVARIANT.  */
int rp_run_init (struct rp_run *run, const struct dc_config *config,
                 FILE *out);
void rp_run_fini (struct rp_run *run);
/* Runs the source to its end and writes the actions and the summary.  Returns
   an rp_error.  */
int rp_run_all (struct rp_run *run);

/* Simulated workers.  */

/* Returns the job with the trace handle JOB, which must exist.  The pointer is
   valid until a job is added.  */
struct rp_job *rp_get_job (const struct rp_run *run, uint32_t job);
/* Returns WORKER's record and adds an empty one if it is missing.  The pointer
   is valid until a record is added.  */
struct rp_worker *rp_get_worker (struct rp_run *run, uint32_t worker);
void rp_agent_init (struct rp_run *run);
void rp_agent_fini (struct rp_run *run);
/* Marks a new job as queued and counts it in the measures.  */
void rp_agent_enqueue (struct rp_run *run, struct rp_job *job);
/* Executes ACTION, whose id is a trace handle.  */
void rp_agent_execute (struct rp_run *run, const struct dc_action *action);
/* Copies the state of WORKER into the measures.  */
void rp_agent_update_measures (struct rp_run *run, uint32_t worker);
/* Returns the expiry time of the next timer, or -1.  */
int64_t rp_agent_next_ms (const struct rp_run *run);
/* Handles all timers that expire by NOW_MS and reports the results to the
   core.  Returns the core's error.  */
int rp_agent_run_due (struct rp_run *run);

/* Passes EVENT to the core and executes the resulting actions.  Returns the
   core's error.  */
int rp_apply_event (struct rp_run *run, const struct dc_event *event);
/* Updates jobs and workers for an event of the source and passes it to the
   core.  Returns the core's error.  */
int rp_apply_source_event (struct rp_run *run, const struct tr_event *event);

/* Prints the violated invariant WHAT, the position in the run, and the state
   of all workers and unfinished jobs to standard error.  */
void rp_report_violation (const struct rp_run *run, const char *what);

/* Faults that the random generator can inject.  */
enum rp_fault
{
  RP_FAULT_ESTIMATES,  /* declared times wrong by a factor of up to ten */
  RP_FAULT_IMPOSSIBLE, /* jobs that no fleet can hold */
  RP_FAULT_JOB_FAILS,
  RP_FAULT_WORKER_FAILS, /* a worker fails every task for a while */
  RP_FAULT_CANCEL_WAVE,
  RP_FAULT_DOWN,
  RP_FAULT_RACK_DOWN,
  RP_FAULT_DOMAIN_DOWN,
  RP_FAULT_LEAVING,
  RP_FAULT_PLAN_RACE,   /* two plans of similar version for one account */
  RP_FAULT_PLAN_MISFIT, /* a plan that exceeds the fleet */
  RP_FAULT_BURST_SMALL,
  RP_FAULT_BURST_LARGE,
  RP_FAULT_COUNT
};

struct rp_gen_config
{
  int64_t seed, events, workers, accounts;
  int64_t equipped_percent; /* share of workers with 8 accelerators, the others
                               have none; 0: mixed shapes */
  int64_t load_percent; /* steady load of the accelerators; 0: random run */
  int64_t rush_tasks;   /* submitted in the initial rush */
  int large_gangs;      /* a steady load of mostly large gangs */
  unsigned faults;      /* bits 1 << enum rp_fault */
};

/* Parses a list such as "down,leaving", "all" or "none" into FAULTS.  Returns
   RP_OK, or RP_EINPUT with the unknown name in BAD of SIZE bytes.  */
int rp_parse_faults (const char *list, unsigned *faults, char *bad,
                     size_t size);
/* Creates a generator whose names are added to TABLES, which must outlive it.
   Free it with rp_gen_free.  */
struct rp_gen *rp_gen_new (const struct rp_gen_config *config,
                           struct tr_tables *tables);
void rp_gen_free (struct rp_gen *gen);
/* Generates the next event and returns 1.  The last event is `end`; returns 0
   after it.  */
int rp_gen_next (struct rp_gen *gen, struct tr_event *event);

#endif
