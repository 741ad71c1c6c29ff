#include <stdlib.h>
#include <string.h>

#include "replay.h"

struct rp_job *
rp_get_job (const struct rp_run *run, uint32_t job)
{
  return &g_array_index (run->jobs, struct rp_job, job);
}

struct rp_worker *
rp_get_worker (struct rp_run *run, uint32_t worker)
{
  if (run->workers->len <= worker)
    g_array_set_size (run->workers, worker + 1);
  return &g_array_index (run->workers, struct rp_worker, worker);
}

static gint
compare_timers (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct rp_timer *x = a, *y = b;

  (void)data;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

void
rp_agent_init (struct rp_run *run)
{
  run->timers = g_tree_new_full (compare_timers, NULL, g_free, NULL);
}

void
rp_agent_fini (struct rp_run *run)
{
  g_tree_unref (run->timers);
}

static int32_t
job_accelerators (const struct rp_job *job)
{
  return job->submit.spec.tasks * job->submit.spec.per_task;
}

static enum tr_stage
queue_stage (const struct rp_job *job)
{
  return job->submit.spec.class == DC_URGENT ? TR_QUEUED_URGENT
                                             : TR_QUEUED_BULK;
}

static void
count_job (struct rp_run *run, const struct rp_job *job, enum rp_state state,
           int change)
{
  struct tr_measures *m = &run->measures;

  if (state == RP_ENDED)
    return;
  if (state == RP_QUEUED)
    tr_measures_queue (m, job_accelerators (job), change);
  tr_measures_count_job (m, job->submit.spec.account,
                         state == RP_QUEUED ? queue_stage (job) : TR_RUNNING,
                         job_accelerators (job), change);
}

static void
set_state (struct rp_run *run, struct rp_job *job, enum rp_state state)
{
  count_job (run, job, job->state, -1);
  job->state = state;
  count_job (run, job, state, 1);
}

void
rp_agent_enqueue (struct rp_run *run, struct rp_job *job)
{
  job->state = RP_QUEUED;
  count_job (run, job, RP_QUEUED, 1);
}

static void
set_timer (struct rp_run *run, struct rp_job *job, int which, int64_t at_ms,
           enum rp_timer_kind kind)
{
  struct rp_timer *timer = g_new (struct rp_timer, 1);

  timer->at_ms = at_ms;
  timer->sequence = ++run->sequence;
  timer->kind = kind;
  timer->job = job->submit.job;
  job->timer_sequence[which] = timer->sequence;
  job->timer_ms[which] = at_ms;
  g_tree_insert (run->timers, timer, timer);
}

static void
cancel_timers (struct rp_run *run, struct rp_job *job)
{
  for (int i = 0; i < 2; i++)
    {
      struct rp_timer key = { job->timer_ms[i], job->timer_sequence[i], 0, 0 };

      if (job->timer_sequence[i])
        g_tree_remove (run->timers, &key);
      job->timer_sequence[i] = 0;
    }
}

static void
release_task (struct rp_run *run, struct rp_job *job, int task)
{
  struct rp_task *t = &job->tasks[task];

  if (!t->released
      && rp_get_worker (run, t->worker)->incarnation == t->incarnation)
    tr_measures_hold (&run->measures, t->worker, -job->submit.spec.per_task);
  t->released = 1;
}

/* Ends the current attempt, if any, and releases its tasks.  */
static void
release_attempt (struct rp_run *run, struct rp_job *job)
{
  cancel_timers (run, job);
  for (int i = 0; job->tasks && i < job->submit.spec.tasks; i++)
    release_task (run, job, i);
  free (job->tasks);
  job->tasks = NULL;
}

/* Returns whether a task of the attempt runs on a worker that fails every task
   (ON_FAILING_WORKER is 1) or on a healthy worker (0).  */
static int
has_tasks_with_outcome (const struct rp_job *job, int on_failing_worker)
{
  for (int i = 0; i < job->submit.spec.tasks; i++)
    if (job->tasks[i].on_failing_worker == on_failing_worker)
      return 1;
  return 0;
}

static void
start (struct rp_run *run, struct rp_job *job, const struct dc_action *action)
{
  const struct dc_job_spec *spec = &job->submit.spec;

  job->tasks = calloc ((size_t)spec->tasks, sizeof *job->tasks);
  if (!job->tasks)
    abort ();
  for (int i = 0; i < spec->tasks; i++)
    {
      const struct rp_worker *w = rp_get_worker (run, action->place[i].worker);

      job->tasks[i].worker = action->place[i].worker;
      job->tasks[i].incarnation = w->incarnation;
      job->tasks[i].on_failing_worker = w->fails_all;
      tr_measures_hold (&run->measures, action->place[i].worker,
                        spec->per_task);
    }
  job->attempt = action->attempt;
  job->started_ms = run->now_ms;
  set_state (run, job, RP_RUNNING);
  run->measures.starts++;
  if (!job->has_started)
    tr_measures_started (&run->measures, spec->class,
                         run->now_ms - job->submitted_ms,
                         job->within_guarantee);
  job->has_started = 1;
  if (has_tasks_with_outcome (job, 0))
    set_timer (run, job, 0, run->now_ms + job->remaining_ms, RP_TIMER_END);
  if (has_tasks_with_outcome (job, 1))
    set_timer (run, job, 1, run->now_ms + RP_FAILING_TASK_MS, RP_TIMER_FAIL);
}

static void
preempt (struct rp_run *run, struct rp_job *job)
{
  int64_t ran_ms = run->now_ms - job->started_ms;

  cancel_timers (run, job);
  job->checkpoint_remaining_ms = MAX (job->remaining_ms - ran_ms, 0);
  set_state (run, job, RP_CHECKPOINTING);
  run->measures.preemptions++;
  set_timer (run, job, 0, run->now_ms + DC_CHECKPOINT_MS, RP_TIMER_CHECKPOINT);
}

static void
end_job (struct rp_run *run, struct rp_job *job)
{
  release_attempt (run, job);
  set_state (run, job, RP_ENDED);
  g_array_append_val (run->free_handles, job->handle);
  run->unfinished_jobs--;
}

void
rp_agent_execute (struct rp_run *run, const struct dc_action *action)
{
  struct rp_job *job;

  switch (action->kind)
    {
    case DC_ACT_PLAN_ACCEPTED:
    case DC_ACT_PLAN_REFUSED:
      return;
    case DC_ACT_QUARANTINE:
    case DC_ACT_READMIT:
      rp_get_worker (run, action->id)->quarantined
          = action->kind == DC_ACT_QUARANTINE;
      rp_agent_update_measures (run, action->id);
      return;
    default:
      break;
    }
  job = rp_get_job (run, action->id);
  switch (action->kind)
    {
    case DC_ACT_START:
      start (run, job, action);
      return;
    case DC_ACT_PREEMPT:
      preempt (run, job);
      return;
    case DC_ACT_STOP:
      release_attempt (run, job);
      return;
    case DC_ACT_REQUEUE:
      release_attempt (run, job);
      set_state (run, job, RP_QUEUED);
      return;
    case DC_ACT_DONE:
      tr_measures_done (&run->measures, job->submit.spec.class,
                        run->now_ms - job->submitted_ms,
                        job->submit.actual_ms);
      end_job (run, job);
      return;
    default:
      end_job (run, job);
    }
}

void
rp_agent_update_measures (struct rp_run *run, uint32_t worker)
{
  const struct rp_worker *w = rp_get_worker (run, worker);
  struct tr_worker_state use
      = *tr_measures_worker_state (&run->measures, worker);

  use.accelerators = w->accelerators;
  use.up = w->up;
  use.leaving = w->leaving;
  use.quarantined = w->quarantined;
  tr_measures_worker (&run->measures, worker, &use);
}

int64_t
rp_agent_next_ms (const struct rp_run *run)
{
  GTreeNode *node = g_tree_node_first (run->timers);

  return node ? ((struct rp_timer *)g_tree_node_key (node))->at_ms : -1;
}

static int
report_checkpoint (struct rp_run *run, struct rp_job *job)
{
  struct dc_event event = { DC_EV_CHECKPOINTED, run->now_ms };

  event.u.task.job = job->handle;
  event.u.task.attempt = job->attempt;
  job->remaining_ms = job->checkpoint_remaining_ms;
  release_attempt (run, job);
  set_state (run, job, RP_QUEUED);
  return rp_apply_event (run, &event);
}

/* Reports the end of each task on a healthy worker or on a failing one, as
   ON_FAILING_WORKER says, until an action of the core ends the attempt.  */
static int
report_tasks (struct rp_run *run, uint32_t id, int on_failing_worker)
{
  struct rp_job *job = rp_get_job (run, id);
  int failed = on_failing_worker || job->submit.fails;
  struct dc_event event
      = { failed ? DC_EV_TASK_FAILED : DC_EV_TASK_DONE, run->now_ms };
  int32_t tasks = job->submit.spec.tasks;
  int rc;

  event.u.task.job = job->handle;
  event.u.task.attempt = job->attempt;
  for (int i = 0; i < tasks && job->tasks; i++)
    {
      if (job->tasks[i].on_failing_worker != on_failing_worker
          || job->tasks[i].released)
        continue;
      release_task (run, job, i);
      event.u.task.task = (uint32_t)i;
      if ((rc = rp_apply_event (run, &event)))
        return rc;
      job = rp_get_job (run, id);
    }
  return 0;
}

static int
fire_timer (struct rp_run *run, const struct rp_timer *timer)
{
  switch (timer->kind)
    {
    case RP_TIMER_END:
      return report_tasks (run, timer->job, 0);
    case RP_TIMER_FAIL:
      return report_tasks (run, timer->job, 1);
    case RP_TIMER_CHECKPOINT:
      return report_checkpoint (run, rp_get_job (run, timer->job));
    }
  return 0;
}

int
rp_agent_run_due (struct rp_run *run)
{
  GTreeNode *node;
  int rc = 0;

  while (!rc && (node = g_tree_node_first (run->timers)))
    {
      struct rp_timer timer = *(struct rp_timer *)g_tree_node_key (node);
      struct rp_job *job = rp_get_job (run, timer.job);

      if (timer.at_ms > run->now_ms)
        break;
      job->timer_sequence[timer.kind == RP_TIMER_FAIL] = 0;
      g_tree_remove (run->timers, &timer);
      rc = fire_timer (run, &timer);
    }
  return rc;
}
