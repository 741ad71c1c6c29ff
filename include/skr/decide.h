/* Scheduling decisions for one cell, the part of the fleet that one scheduler
   process decides for: events in, actions out.  The layer does no I/O, starts
   no threads and reads no clock.  Workers, accounts and jobs are dense handles
   from 0 that the caller assigns; their names stay with the caller.  All times
   are in milliseconds.  */
#ifndef SKR_DECIDE_H
#define SKR_DECIDE_H

#include <stddef.h>
#include <stdint.h>

enum dc_error
{
  DC_OK = 0,
  DC_EINVAL = -201, /* invalid field in an event */
  DC_ENOMEM = -202, /* allocation failed */
  DC_EORDER = -203, /* event or decision time before the previous one */
  DC_EEXIST = -204, /* handle already in use */
  DC_ENOENT = -205, /* unknown handle */
  DC_EINVARIANT
  = -206 /* an invariant does not hold; see dc_broken_invariant */
};

enum
{
  DC_MAX_ACCELERATORS = 64, /* of one worker */
  DC_MAX_TASKS = 4096,      /* of one job */
  DC_MAX_SHAPES = 16,       /* of one guarantee */
  DC_CHECKPOINT_MS = 2000
};

enum dc_class
{
  DC_URGENT,
  DC_BULK
};

enum dc_event_kind
{
  DC_EV_WORKER,         /* joins, or returns */
  DC_EV_WORKER_LEAVING, /* present tasks finish, nothing new starts */
  DC_EV_WORKER_DOWN,    /* its tasks are lost at once */
  DC_EV_PLAN,           /* replaces an account's guarantee */
  DC_EV_SUBMIT,
  DC_EV_CANCEL,
  DC_EV_TASK_DONE,    /* one task of a running attempt succeeded */
  DC_EV_TASK_FAILED,  /* one task reported failure */
  DC_EV_CHECKPOINTED, /* a preempted gang has freed its places */
  DC_EV_ADOPT,        /* recovery: a gang already runs at these places */
  DC_EV_TASK_LOST     /* one task of an attempt is lost, its worker is up */
};

struct dc_shape
{
  int32_t size, count; /* COUNT groups of SIZE adjacent accelerators */
};

struct dc_place
{
  uint32_t worker;
  uint64_t accelerators; /* bit i: accelerator i */
};

struct dc_job_spec
{
  uint32_t account;
  enum dc_class class;
  int32_t tasks;
  int32_t per_task;    /* accelerators of one task; 0: a slot only */
  int64_t declared_ms; /* expected run time; may be far off */
  int repeatable, preemptible;
};

struct dc_event
{
  enum dc_event_kind kind;
  int64_t at_ms;
  union
  {
    struct
    {
      uint32_t id, rack, domain;
      int32_t accelerators, slots;
    } worker;
    uint32_t worker_id; /* leaving, down */
    struct
    {
      uint32_t account;
      int64_t version;
      int shapes;
      struct dc_shape shape[DC_MAX_SHAPES];
      int accepted; /* nonzero: accepted in the past, so not refused; what does
                       not fit the present fleet is bound later */
    } plan;
    struct
    {
      uint32_t id;
      struct dc_job_spec spec;
    } submit;
    uint32_t job; /* cancel */
    struct
    {
      uint32_t job, task;
      int32_t attempt;
    } task; /* done, failed, lost; checkpointed ignores TASK */
    struct
    {
      uint32_t job;
      int32_t attempt;              /* of the running gang */
      const struct dc_place *place; /* one for each task, in order */
    } adopt;                        /* after the submit event of the same
                                       job */
  } u;
};

enum dc_action_kind
{
  DC_ACT_PLAN_ACCEPTED,
  DC_ACT_PLAN_REFUSED,
  DC_ACT_START,
  DC_ACT_PREEMPT, /* write a checkpoint now; answered by DC_EV_CHECKPOINTED */
  DC_ACT_STOP,    /* end the attempt's remaining tasks now without a
                     checkpoint; the decision state counts their places as free
                     at once */
  DC_ACT_REQUEUE,
  DC_ACT_DONE,
  DC_ACT_FAILED,
  DC_ACT_CANCELLED,
  DC_ACT_UNKNOWN,
  DC_ACT_REFUSED, /* the job was never started */
  DC_ACT_QUARANTINE,
  DC_ACT_READMIT
};

struct dc_action
{
  enum dc_action_kind kind;
  int64_t at_ms;
  uint32_t id; /* account, job or worker, by KIND */
  int32_t attempt;
  int64_t version;              /* of a plan */
  const char *reason;           /* static text, or NULL; for a plan accepted in
                                   the past, what does not fit now */
  const struct dc_place *place; /* start: one for each task */
  int32_t place_count;
};

enum dc_policy
{
  DC_POLICY_DEFAULT,
  DC_POLICY_FIFO_FIRST_FIT,
  DC_POLICY_BEST_FIT
};

struct dc_config
{
  enum dc_policy policy;
  double weight_completion, weight_fragmentation;
  int32_t spare_workers; /* worker failures that all guarantees survive */
  int check;             /* nonzero: check all invariants after each event and
                            decision */
};

struct dc; /* opaque; dc_size gives its size */

/* Returns the bytes that the caller must provide for dc_init, aligned as by
   malloc.  */
size_t dc_size (void);
/* Initializes DC with a copy of CONFIG.  Returns 0 or DC_ENOMEM; after an
   error nothing needs to be freed.  */
int dc_init (struct dc *dc, const struct dc_config *config);
/* Frees what DC holds, but not DC itself.  */
void dc_fini (struct dc *dc);

/* Applies one event.  Actions that follow from it without a decision (ends,
   refusals, requeues) are queued for dc_take_action, like those of dc_decide.
   Returns 0 or an error of enum dc_error.  */
int dc_apply (struct dc *dc, const struct dc_event *event);
/* Makes every decision that is possible at NOW_MS.  Call it once after all
   events of one instant.  Returns 0 or an error of enum dc_error.  */
int dc_decide (struct dc *dc, int64_t now_ms);
/* Returns the next time at which dc_decide has something to do without an
   event (probes, age limits), or -1.  */
int64_t dc_next_decision_ms (const struct dc *dc);
/* Takes the next action.  Returns 1, or 0 if there is none.  Pointers in
   ACTION are valid until the next dc_apply.  */
int dc_take_action (struct dc *dc, struct dc_action *action);

/* Checks whether all guarantees in a list fit a fleet at once with
   SPARE_WORKERS lost, without a decision state.  Returns 0, DC_EINVAL or
   DC_ENOMEM, and sets REASON to a static text or NULL.  */
struct dc_fleet_worker
{
  uint32_t rack, domain;
  int32_t accelerators, slots;
};
struct dc_guarantee
{
  uint32_t account;
  int shapes;
  struct dc_shape shape[DC_MAX_SHAPES];
};
int dc_plans_fit (const struct dc_fleet_worker *worker, int workers,
                  const struct dc_guarantee *guarantee, int guarantees,
                  int32_t spare_workers, const char **reason);

/* Returns the name of the invariant that dc_apply or dc_decide found broken,
   or NULL.  */
const char *dc_broken_invariant (const struct dc *dc);
/* Returns the bytes of state in use.  */
size_t dc_state_bytes (const struct dc *dc);
/* Returns a static text for an error of enum dc_error.  */
const char *dc_strerror (int error);

#endif
