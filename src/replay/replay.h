/* The replay of a trace or of random events: the decision core, fake
   workers that run what it starts, and the measures of the run.  */
#ifndef RP_REPLAY_H
#define RP_REPLAY_H

#include "skr/trace.h"

enum rp_error
{
  RP_OK = 0,
  RP_EBAD = -701,   /* bad line of a trace, already reported */
  RP_EBROKEN = -702 /* invariant or decision core failed, already reported */
};

enum
{
  RP_FAILING_MS = 1000 /* a worker that fails everything takes this long */
};

enum rp_state
{
  RP_QUEUED,
  RP_ACTIVE,
  RP_SAVING, /* its checkpoint is being taken */
  RP_ENDED
};

/* Where one task of a running attempt is; FREED once it ended.  */
struct rp_task
{
  uint32_t worker, boot;
  int doomed, freed;
};

struct rp_job
{
  struct tr_submit submit;
  enum rp_state state;
  uint32_t handle; /* in the decision core */
  int32_t attempt;
  int64_t submitted_ms, started_ms;
  int64_t rest_ms;  /* left to run, counted from the last checkpoint */
  int64_t saved_ms; /* REST_MS once the checkpoint has been taken */
  int within;       /* was submitted within its account's guarantee */
  int started;
  struct rp_task *task;
  uint64_t due[2]; /* sequence of its pending wake-ups, or 0 */
  int64_t due_ms[2];
};

/* A moment at which a job's tasks end, fail or have been saved.  */
enum rp_wake_kind
{
  RP_WAKE_END,
  RP_WAKE_FAIL,
  RP_WAKE_SAVED
};

struct rp_wake
{
  int64_t at_ms;
  uint64_t sequence;
  enum rp_wake_kind kind;
  uint32_t job;
};

struct rp_worker
{
  uint32_t boot; /* rises whenever it goes down */
  int known, up, leaving, quarantined, fails_all;
  int32_t accelerators;
};

struct rp_gen;

enum rp_source_kind
{
  RP_TRACE,
  RP_RANDOM
};

struct rp_source
{
  enum rp_source_kind kind;
  const char *path;
  struct tr_reader reader;
  struct rp_gen *gen;
  int64_t seed; /* of the random events */
  FILE *emit;   /* gets a copy of each random event, or NULL */
};

struct rp_run
{
  struct tr_tables tables;
  struct tr_measures measures;
  struct dc *dc;
  FILE *out;
  struct rp_source source;
  GArray *job;         /* struct rp_job, by handle of the trace */
  GArray *job_of;      /* uint32_t, by handle of the core */
  GArray *free_handle; /* uint32_t, handles of the core to use again */
  GArray *worker;      /* struct rp_worker */
  GTree *wake;         /* struct rp_wake *, by time and sequence */
  uint64_t sequence;
  int64_t now_ms;
  int64_t late_ms; /* when places freed after the decisions are given */
  int64_t events;  /* taken from the source */
  int64_t live;    /* jobs that have not ended */
  int open;        /* the decisions of NOW_MS are still to be made */
  const struct tr_plan *plan; /* now before the core, or NULL */
  struct rp_cost *cost;       /* or NULL */
};

/* Time that the decision core took, for each event and instant.  */
struct rp_cost
{
  GArray *micros; /* double */
  double started;
};

void rp_cost_init (struct rp_cost *cost);
void rp_cost_fini (struct rp_cost *cost);
/* Both do nothing when COST is NULL.  */
void rp_cost_start (struct rp_cost *cost);
void rp_cost_stop (struct rp_cost *cost);
void rp_cost_print (FILE *out, struct rp_cost *cost, const struct rp_run *run);

int rp_run_init (struct rp_run *run, const struct dc_config *config,
                 FILE *out);
void rp_run_fini (struct rp_run *run);
/* Runs the source to its end and writes the actions.  Returns 0 or an
   rp_error.  */
int rp_run_all (struct rp_run *run);

/* Fake workers.  */
struct rp_job *rp_job (const struct rp_run *run, uint32_t job);
struct rp_worker *rp_worker (struct rp_run *run, uint32_t worker);
void rp_agent_init (struct rp_run *run);
void rp_agent_fini (struct rp_run *run);
/* Puts a new job into the queue.  */
void rp_agent_submitted (struct rp_run *run, struct rp_job *job);
/* Carries out ACTION, whose id is a handle of the trace.  */
void rp_agent_act (struct rp_run *run, const struct dc_action *action);
/* Passes a worker's state on to the measures.  */
void rp_agent_worker_changed (struct rp_run *run, uint32_t worker);
/* The next moment at which a task ends or a checkpoint is done, or -1.  */
int64_t rp_agent_next_ms (const struct rp_run *run);
/* Reports all that is due at NOW_MS to the core.  */
int rp_agent_run (struct rp_run *run);

/* Gives EVENT to the core and carries out what follows from it.  Returns
   the core's error.  */
int rp_apply (struct rp_run *run, const struct dc_event *event);
/* The same for an event of the source.  */
int rp_take (struct rp_run *run, const struct tr_event *event);

/* Prints the broken invariant WHAT, the place in the run and its state.  */
void rp_report_broken (const struct rp_run *run, const char *what);

/* Random events.  */
enum rp_fault
{
  RP_FAULT_ESTIMATES, /* declared times ten times off either way */
  RP_FAULT_IMPOSSIBLE,
  RP_FAULT_JOB_FAILS,
  RP_FAULT_WORKER_FAILS,
  RP_FAULT_CANCEL_WAVE,
  RP_FAULT_DOWN,
  RP_FAULT_RACK_DOWN,
  RP_FAULT_DOMAIN_DOWN,
  RP_FAULT_LEAVING,
  RP_FAULT_PLAN_RACE,
  RP_FAULT_PLAN_MISFIT,
  RP_FAULT_BURST_SMALL,
  RP_FAULT_BURST_LARGE,
  RP_FAULTS
};

struct rp_gen_config
{
  int64_t seed, events, workers, accounts;
  int64_t equipped_percent; /* of the workers have 8 accelerators, the others
                               none; 0: mixed */
  int64_t load_percent;     /* steady load of the accelerators; 0: bursts */
  int64_t tasks;            /* submitted in a first rush */
  int large;                /* mostly large gangs rather than small ones */
  unsigned faults;          /* bits 1 << enum rp_fault */
};

/* Turns a list such as "down,leaving", "all" or "none" into bits.  Returns
   0 or RP_EBAD and puts the unknown name into BAD.  */
int rp_faults (const char *list, unsigned *faults, char *bad, size_t size);
struct rp_gen *rp_gen_new (const struct rp_gen_config *config,
                           struct tr_tables *tables);
void rp_gen_free (struct rp_gen *gen);
/* Makes the next event; the last one is `end`, then returns 0.  */
int rp_gen_next (struct rp_gen *gen, struct tr_event *event);

#endif
