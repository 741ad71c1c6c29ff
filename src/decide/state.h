/* State of the decide layer and the functions that its files share.  A cell
   here is a guaranteed group of adjacent accelerators, not the part of the
   fleet that one scheduler process decides for.  */
#ifndef DECIDE_STATE_H
#define DECIDE_STATE_H

#include <stdbool.h>

#include "heap.h"
#include "pool.h"
#include "skr/decide.h"

#define DC_NONE UINT32_MAX
#define DC_SPARE_ACCOUNT (UINT32_MAX - 1) /* owns the spare cells */

enum
{
  DC_SIZES = DC_MAX_ACCELERATORS + 1,
  DC_RACK_BUCKETS = 256,     /* buckets of the rack index */
  DC_MAX_HANDLE = 1 << 26,   /* rejects corrupt handles */
  DC_MAX_FAILED_WORKERS = 3, /* a job that failed on this many is ended */
  DC_MAX_FAILED_STARTS = 12, /* a job with this many failed starts is ended */
  DC_MAX_FAILED_JOBS = 12    /* failed jobs recorded for one worker */
};

enum dc_level
{
  DC_LEVEL_WORKER,
  DC_LEVEL_RACK,
  DC_LEVEL_DOMAIN,
  DC_LEVEL_NONE /* larger than the fleet */
};

enum dc_health
{
  DC_HEALTHY,
  DC_QUARANTINED,
  DC_PROBATION /* readmitted; runs one repeatable job at a time */
};

/* Which capacity of a worker a placement may use.  */
enum dc_capacity
{
  DC_CAP_IDLE,               /* free and not reserved for pending gangs */
  DC_CAP_IDLE_OUTSIDE_CELLS, /* idle and outside all cells */
  DC_CAP_OUTSIDE_CELLS,      /* outside cells; includes preemptible work */
  DC_CAPS
};

/* Accelerators and slots of a worker, a task or a cell.  */
struct dc_amount
{
  int32_t accelerators, slots;
};

/* A job that failed on a worker.  */
struct dc_failed_job
{
  uint32_t job;
  bool succeeds_elsewhere;
  int64_t start_ms, ran_ms; /* of the failed attempt */
};

struct dc_worker
{
  uint64_t free_mask;
  uint32_t rack, next_in_rack;
  uint32_t tasks; /* head of the list of tasks placed on it */
  uint32_t parts; /* head of the list of cell parts on it */
  bool joined, up, leaving;
  uint8_t health; /* enum dc_health */
  struct dc_amount total;
  struct dc_amount free;
  struct dc_amount in_cells;       /* guaranteed, used or not */
  struct dc_amount nonpreemptible; /* beyond a guarantee, not preemptible; used
                                      by running work or meant for pending
                                      work */
  struct dc_amount preemptible;    /* used beyond a guarantee by running
                                      preemptible work */
  struct dc_amount checkpointing;  /* used by work that writes its
                                      checkpoint */
  struct dc_amount reserved;       /* for pending gangs, guaranteed or not
                                      preemptible */
  struct dc_amount tentative;      /* for pending gangs beyond a guarantee;
                                      others may still take it */
  struct dc_amount older_needs;    /* of older pending gangs, valid if
                                      OLDER_NEEDS_WALK is the latest walk */
  uint32_t older_needs_walk;
  struct dc_amount available[DC_CAPS]; /* as listed in the index */
  uint32_t bucket[DC_CAPS], next[DC_CAPS], prev[DC_CAPS];
  /* Health.  */
  struct dc_failed_job failed_job[DC_MAX_FAILED_JOBS];
  uint8_t failed_jobs;          /* in FAILED_JOB; removed by later successes */
  uint8_t consecutive_failures; /* distinct jobs that failed in a row */
  uint8_t quarantines;     /* number so far; each doubles the next delay */
  bool restricted;         /* accepts only guaranteed work */
  bool watched;            /* listed in dc->watched */
  bool probing;            /* on probation and running its one job */
  int64_t next_check_ms;   /* time of the next check */
  int64_t status_since_ms; /* start of restriction or probation */
  int64_t last_failure_start_ms; /* latest start of an attempt that failed
                                    here */
};

struct dc_rack
{
  uint32_t domain, next_in_domain, workers;
  int32_t task_capacity[DC_SIZES]; /* tasks of each size that all its workers
                                      ever joined could hold */
  struct dc_amount available[DC_CAPS];
  uint32_t bucket[DC_CAPS], next[DC_CAPS], prev[DC_CAPS];
};

struct dc_domain
{
  uint32_t racks;
  int32_t task_capacity[DC_SIZES];
  struct dc_amount available[DC_CAPS];
};

/* The part of a cell that lies on one worker.  */
struct dc_part
{
  uint32_t worker, cell, next, prev;
  struct dc_amount size, used;
  struct dc_amount fixed; /* of USED, by work other than preemptible bulk */
};

/* One guaranteed group of adjacent accelerators.  */
struct dc_cell
{
  uint32_t account, next; /* next cell of the account */
  uint32_t part;          /* first of PARTS contiguous parts */
  int32_t parts;          /* 0: not bound to any worker */
  int32_t size;
  uint32_t jobs;       /* gangs charged to it */
  uint32_t fixed_jobs; /* of these, other than preemptible bulk */
  uint8_t level;
  bool live, in_unbound; /* not deleted; listed in dc->unbound */
  bool kept, added;      /* scratch of a plan change */
  bool suspended;        /* its unused part is temporarily not counted */
};

struct dc_account
{
  int64_t version;
  int shapes;
  struct dc_shape shape[DC_MAX_SHAPES];
  uint32_t cells;            /* first of its cells */
  uint32_t queues;           /* first of its account queues */
  uint32_t preemptible_jobs; /* first running preemptible gang outside cells */
  bool has_plan, dirty;
  double run_ms;                  /* learned run time; 0: none yet */
  double run_ratio;               /* learned ratio of run time to declared; 0:
                                     none yet */
  double ended_jobs, failed_jobs; /* totals for the failure rate */
};

struct dc_task
{
  uint64_t mask;
  uint32_t worker, job, next, prev;
  bool active; /* placed and not ended yet; counted on its worker */
};

/* How the capacity that a gang uses is accounted on its workers.  */
enum dc_usage
{
  DC_USAGE_PREEMPTIBLE,    /* beyond the guarantee and preemptible; also gangs
                              that drain a place and all gangs of the baseline
                              policies */
  DC_USAGE_NONPREEMPTIBLE, /* beyond the guarantee, not preemptible */
  DC_USAGE_GUARANTEED      /* in a cell of its account */
};

enum dc_state
{
  DC_UNUSED,
  DC_QUEUED,
  DC_PENDING, /* has places that are not free yet */
  DC_RUNNING,
  DC_CHECKPOINTING,
  DC_ENDED
};

struct dc_job
{
  int64_t submit_ms, queued_ms, start_ms, sort_key;
  int64_t pending_ms; /* start of the pending state */
  int64_t ran_ms;     /* total run time of the checkpointed attempts */
  struct dc_job_spec spec;
  uint32_t seq;
  uint32_t task; /* first of spec.tasks contiguous tasks */
  uint32_t cell; /* cell that it is charged to, or DC_NONE */
  uint32_t queue, account_queue, position[2]; /* position: in the heap of QUEUE
                                                 and of ACCOUNT_QUEUE */
  uint32_t pending_next;
  uint32_t preemptible_next, preemptible_prev; /* in the account's list */
  int32_t attempt, tasks_remaining;            /* remaining: not ended yet */
  uint32_t failed_on[DC_MAX_FAILED_WORKERS];
  uint8_t failures; /* distinct workers in FAILED_ON */
  uint8_t failed_starts;
  uint8_t state;
  uint8_t level; /* enum dc_level of its places, when it was placed */
  bool adopted;
  bool draining; /* pending until the work at its places ends; preempts
                    nothing */
  bool yielding; /* pending until urgent gangs have started */
  uint8_t usage; /* enum dc_usage; while pending, running or checkpointing */
};

/* Queued jobs of one shape, of all accounts.  */
struct dc_queue
{
  int32_t tasks, per_task;
  uint8_t class;
  bool nonpreemptible;
  bool blocked; /* its first job does not fit until capacity is freed */
  uint32_t position;
  struct hp_heap jobs;
};

/* Queued jobs of one shape and one account.  */
struct dc_account_queue
{
  uint32_t account, queue, next;
  struct hp_heap jobs;
};

/* Workers in buckets by available accelerators, then by available slots up to
   DC_SIZES - 1.  */
struct dc_index
{
  uint32_t head[DC_SIZES][DC_SIZES];
  uint64_t nonempty[DC_SIZES][2]; /* bitmap of the buckets that have workers */
};

/* Racks in buckets by available accelerators up to DC_RACK_BUCKETS - 1.  */
struct dc_rack_index
{
  uint32_t head[DC_RACK_BUCKETS];
  uint64_t nonempty[DC_RACK_BUCKETS / 64]; /* bitmap of the buckets that have
                                              racks */
};

/* What dc_search looks for.  */
struct dc_request
{
  int32_t tasks;
  struct dc_amount unit; /* needed by each task */
  enum dc_level level;
  const uint32_t *avoid; /* workers to leave out */
  int avoid_count;
};

/* Tasks of a gang, or blocks of a cell, on one worker.  */
struct dc_allocation
{
  uint32_t worker;
  int32_t tasks;
};

/* What a worker could give to a gang.  */
struct dc_offer
{
  uint32_t worker, last_job; /* last_job: scratch */
  int32_t tasks, cost;       /* cost: accelerators of the work to preempt, plus
                                one for each gang */
};

#define DC_VECTOR(type)                                                       \
  struct                                                                      \
  {                                                                           \
    type *v;                                                                  \
    uint32_t n, cap;                                                          \
  }

struct dc
{
  struct dc_config config;
  int64_t now_ms;
  const char *broken_invariant;

  DC_VECTOR (struct dc_worker) workers;
  DC_VECTOR (struct dc_rack) racks;
  DC_VECTOR (struct dc_domain) domains;
  DC_VECTOR (struct dc_account) accounts;
  DC_VECTOR (struct dc_job) jobs;
  DC_VECTOR (struct dc_cell) cells;
  DC_VECTOR (struct dc_queue) queues;
  DC_VECTOR (struct dc_account_queue) account_queues;
  DC_VECTOR (struct dc_action) actions;
  DC_VECTOR (struct dc_place) places;  /* of the actions */
  DC_VECTOR (uint32_t) dirty_accounts; /* to evaluate in the next run */
  DC_VECTOR (uint32_t) unbound;        /* cells */
  DC_VECTOR (uint32_t) blocked;        /* queues */
  DC_VECTOR (uint32_t) watched;        /* workers with health checks */
  DC_VECTOR (struct dc_allocation) allocations; /* result of the last search */
  DC_VECTOR (struct dc_offer) offers; /* scratch of dc_preempt_plan */
  uint32_t actions_taken;             /* number returned by dc_take_action */
  struct pl_pool tasks, parts;
  struct hp_heap queue_order; /* queues by their first job */
  struct dc_index *index[DC_CAPS];
  struct dc_rack_index rack_index[DC_CAPS];
  uint32_t free_cells;
  uint32_t spare_cells; /* list of cells that cover worker failures */

  int32_t max_slots[DC_SIZES]; /* index: accelerators; most slots of any worker
                                  with at least that many */
  int32_t max_rack_tasks[DC_SIZES], max_domain_tasks[DC_SIZES];
  int64_t accelerators;  /* of all workers that ever joined */
  uint32_t walk;         /* number of the latest walk over pending gangs */
  uint32_t seq;          /* of the next submitted job */
  uint32_t pending_head; /* oldest pending gang */
  uint32_t pending_tail;
  uint32_t draining;            /* pending gangs that drain their places */
  uint32_t preemptible_pending; /* pending gangs of DC_USAGE_PREEMPTIBLE,
                                   draining or not */
  bool capacity_freed, rebind_needed;
  double urgent_arrivals; /* accelerators that urgent gangs requested, decayed
                             exponentially */
  int64_t urgent_arrivals_ms; /* time of the last update */
  int64_t retry_ms;           /* when to search again for jobs that failed, or
                                 -1 */
  uint32_t running_jobs, queued_jobs;
};

/* Grows a vector so that index AT exists; new elements are zero.  Returns 0 or
   DC_ENOMEM.  */
#define DC_GROW(dc, vec, at)                                                  \
  dc_grow ((void **)&(vec).v, &(vec).n, &(vec).cap, at, sizeof *(vec).v)
int dc_grow (void **v, uint32_t *n, uint32_t *cap, uint32_t at, size_t size);

/* fleet.c */
int dc_fleet_join (struct dc *dc, const struct dc_event *event);
void dc_fleet_refresh (struct dc *dc, uint32_t worker);
bool dc_worker_schedulable (const struct dc_worker *w);
struct dc_amount dc_capacity (const struct dc *dc, const struct dc_worker *w,
                              enum dc_capacity cap);
/* rack.c */
void dc_rack_reindex (struct dc *dc, uint32_t rack, enum dc_capacity cap);
int dc_rack_next (const struct dc *dc, enum dc_capacity cap, int row);
int dc_rack_last (const struct dc *dc, enum dc_capacity cap, int row);

enum dc_level dc_level_of (const struct dc *dc, int32_t tasks,
                           int32_t per_task);
uint32_t dc_domain_of (const struct dc *dc, uint32_t worker);

/* search.c: finds capacity for a gang.  The result is in dc->allocations.  */
bool dc_search (struct dc *dc, const struct dc_request *request,
                enum dc_capacity cap);
bool dc_search_first (struct dc *dc, const struct dc_request *request);
int32_t dc_tasks_fitting (struct dc_amount capacity, struct dc_amount unit);
int dc_add_allocation (struct dc *dc, uint32_t worker, int32_t tasks);

/* cell.c */
int dc_cell_new (struct dc *dc, uint32_t account, int32_t size,
                 uint32_t *cell);
bool dc_cell_bind_allocation (struct dc *dc, uint32_t cell,
                              struct dc_amount unit);
void dc_cell_evict_excess (struct dc *dc, uint32_t worker);
void dc_cell_unbind (struct dc *dc, uint32_t cell);
void dc_cell_restore (struct dc *dc, uint32_t cell, uint8_t level,
                      const struct dc_part *copy, int32_t parts);
void dc_cell_delete (struct dc *dc, uint32_t cell);
void dc_cell_suspend (struct dc *dc, uint32_t cell, int sign);
void dc_cell_evict (struct dc *dc, uint32_t worker);
void dc_cell_add_unbound (struct dc *dc, uint32_t cell);
void dc_cell_rebind_all (struct dc *dc);
struct dc_part *dc_cell_part (const struct dc *dc, uint32_t cell,
                              uint32_t worker);
/* bind.c */
int32_t dc_cell_largest (const struct dc *dc);
struct dc_amount dc_cell_unit (const struct dc *dc, int32_t accelerators);
enum dc_level dc_cell_level (const struct dc *dc, int32_t size);
bool dc_cell_bind (struct dc *dc, uint32_t cell, enum dc_capacity cap);
bool dc_cell_bind_at (struct dc *dc, uint32_t cell, uint32_t worker);
/* repack.c */
bool dc_repack (struct dc *dc);
/* pack_apply.c */
bool dc_pack (struct dc *dc, bool include_spares);

/* move.c */
enum
{
  DC_MAX_MOVED = 8 /* unused cells moved off one worker at once */
};
int dc_cells_unbind_unused (struct dc *dc, uint32_t worker,
                            struct dc_amount need,
                            uint32_t moved[DC_MAX_MOVED]);
bool dc_cell_move_to_idle (struct dc *dc, uint32_t cell);
bool dc_cell_exchange (struct dc *dc, uint32_t cell, uint32_t worker);
/* promote.c */
void dc_promote (struct dc *dc, uint32_t account);

/* charge.c */
uint32_t dc_charge_find (struct dc *dc, const struct dc_job *job,
                         enum dc_level level, bool over_bulk);
bool dc_charge_allocate (struct dc *dc, uint32_t cell,
                         const struct dc_job *job, enum dc_level level,
                         bool over_bulk);
void dc_charge_release (struct dc *dc, uint32_t cell, bool bulk_only);

/* plan.c */
int dc_plan_apply (struct dc *dc, const struct dc_event *event);
bool dc_plan_add_spares (struct dc *dc);

/* gang.c: places of gangs and the accounting on their workers */
int dc_gang_place (struct dc *dc, uint32_t job, enum dc_usage usage,
                   uint32_t cell);
void dc_gang_unplace (struct dc *dc, uint32_t job);
void dc_gang_set_state (struct dc *dc, uint32_t job, enum dc_state state,
                        enum dc_usage usage, uint32_t cell);
void dc_gang_swap (struct dc *dc, uint32_t a, uint32_t b);
void dc_gang_start (struct dc *dc, uint32_t job);
void dc_gang_adopt (struct dc *dc, uint32_t job, const struct dc_place *place);
void dc_gang_end_task (struct dc *dc, uint32_t job, int32_t task);
struct dc_task *dc_gang_task (const struct dc *dc, const struct dc_job *job,
                              int32_t task);

/* pending.c: gangs that wait until their places are free */
void dc_pending_add (struct dc *dc, uint32_t job);
void dc_pending_unlink (struct dc *dc, uint32_t job);
void dc_pending_requeue (struct dc *dc, uint32_t job);
void dc_pending_preempt (struct dc *dc, uint32_t job);
void dc_pending_start_reserved (struct dc *dc);
void dc_pending_start_tentative (struct dc *dc);
void dc_preempt (struct dc *dc, uint32_t job);

/* urgent.c: precedence of urgent gangs over pending bulk gangs */
bool dc_urgent_is_pending (const struct dc *dc, const struct dc_job *job);
uint32_t dc_urgent_same_shape (const struct dc *dc, const struct dc_job *job);
bool dc_pending_must_yield (const struct dc *dc, const struct dc_job *job);
bool dc_urgent_place_now (struct dc *dc, const struct dc_job *job,
                          uint32_t *cell);

/* job.c */
int dc_job_submit (struct dc *dc, const struct dc_event *event);
int dc_job_cancel (struct dc *dc, uint32_t job);
int dc_job_task_done (struct dc *dc, const struct dc_event *event);
int dc_job_task_failed (struct dc *dc, const struct dc_event *event);
int dc_job_task_lost (struct dc *dc, const struct dc_event *event);
int dc_job_checkpointed (struct dc *dc, const struct dc_event *event);
void dc_job_lost (struct dc *dc, uint32_t job, const char *reason);
void dc_worker_lost (struct dc *dc, uint32_t worker);
void dc_worker_requeue_pending (struct dc *dc, uint32_t worker);

/* adopt.c */
int dc_job_adopt (struct dc *dc, const struct dc_event *event);

/* preempt.c */
bool dc_preempt_allowed (const struct dc_job *other, const struct dc_job *job);
int32_t dc_preempt_plan (struct dc *dc, const struct dc_job *job,
                         enum dc_level level, bool drain);

/* queue.c */
int dc_queue_add (struct dc *dc, uint32_t job);
void dc_queue_remove (struct dc *dc, uint32_t job);
bool dc_queue_defer (struct dc *dc, uint32_t job);
void dc_queue_block (struct dc *dc, uint32_t queue);
void dc_queue_unblock_all (struct dc *dc);
void dc_account_mark_dirty (struct dc *dc, uint32_t account);
int64_t dc_queue_sort_key (const struct dc *dc, const struct dc_job *job);

/* health.c */
bool dc_health_task_failed (struct dc *dc, uint32_t job, uint32_t worker);
void dc_health_task_succeeded (struct dc *dc, uint32_t job, uint32_t worker);
bool dc_health_has_failed_on (const struct dc_job *job, uint32_t worker);
void dc_health_job_succeeded (struct dc *dc, uint32_t job);
void dc_health_tick (struct dc *dc);
int64_t dc_health_next_ms (const struct dc *dc);
void dc_health_forget_job (struct dc *dc, uint32_t job);
void dc_health_worker_returned (struct dc *dc, uint32_t worker);
void dc_worker_cordon (struct dc *dc, uint32_t worker);

/* place.c */
int dc_place_start (struct dc *dc, uint32_t job, enum dc_usage usage,
                    uint32_t cell);
int dc_place_in_cell (struct dc *dc, uint32_t job, uint32_t cell);
int dc_place_by_preemption (struct dc *dc, uint32_t job, bool *done);
int dc_place_default (struct dc *dc, uint32_t job, bool *done);
int dc_place_baseline (struct dc *dc, uint32_t job, bool *done);
int dc_place_pending (struct dc *dc);
bool dc_allocation_is_idle (const struct dc *dc, const struct dc_job *job);
bool dc_place_leaves_reserve (const struct dc *dc, int32_t accelerators);
int64_t dc_retry_delay (const struct dc_job *job);
bool dc_retry_must_wait (struct dc *dc, const struct dc_job *job);

/* run.c */
int dc_run (struct dc *dc);
int64_t dc_run_next_ms (const struct dc *dc);

/* check.c */
int dc_check (struct dc *dc);

/* learn.c */
int64_t dc_learn_run_ms (const struct dc *dc, const struct dc_job *job);
int64_t dc_learn_queue_delay_ms (const struct dc *dc,
                                 const struct dc_job *job);
void dc_learn_urgent_arrival (struct dc *dc, const struct dc_job *job);
int32_t dc_learn_reserve (const struct dc *dc);
void dc_learn_completed (struct dc *dc, const struct dc_job *job);

/* state.c */
int dc_account_grow (struct dc *dc, uint32_t account);
void dc_add_action (struct dc *dc, enum dc_action_kind kind, uint32_t id,
                    int32_t attempt, const char *reason);

static inline struct dc_amount
dc_plus (struct dc_amount a, struct dc_amount b, int sign)
{
  a.accelerators += sign * b.accelerators;
  a.slots += sign * b.slots;
  return a;
}

static inline struct dc_amount
dc_min (struct dc_amount a, struct dc_amount b)
{
  if (b.accelerators < a.accelerators)
    a.accelerators = b.accelerators;
  if (b.slots < a.slots)
    a.slots = b.slots;
  return a;
}

static inline bool
dc_covers (struct dc_amount a, struct dc_amount b)
{
  return a.accelerators >= b.accelerators && a.slots >= b.slots;
}

/* Preemptible bulk work is preempted for urgent work of its own account.  */
static inline bool
dc_is_preemptible_bulk (const struct dc_job *job)
{
  return job->spec.class == DC_BULK && job->spec.preemptible;
}

static inline struct dc_amount
dc_need (const struct dc_job *job, int32_t tasks)
{
  return (struct dc_amount){ tasks * job->spec.per_task, tasks };
}

#endif
