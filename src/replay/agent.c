#include <stdlib.h>
#include <string.h>

#include "replay.h"

struct rp_job *
rp_job (const struct rp_run *run, uint32_t job)
{
  return &g_array_index (run->job, struct rp_job, job);
}

struct rp_worker *
rp_worker (struct rp_run *run, uint32_t worker)
{
  if (run->worker->len <= worker)
    g_array_set_size (run->worker, worker + 1);
  return &g_array_index (run->worker, struct rp_worker, worker);
}

static gint
compare_wakes (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct rp_wake *x = a, *y = b;

  (void)data;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

void
rp_agent_init (struct rp_run *run)
{
  run->wake = g_tree_new_full (compare_wakes, NULL, g_free, NULL);
}

void
rp_agent_fini (struct rp_run *run)
{
  g_tree_unref (run->wake);
}

static int32_t
size_of (const struct rp_job *job)
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
count (struct rp_run *run, const struct rp_job *job, enum rp_state state,
       int change)
{
  struct tr_measures *m = &run->measures;

  if (state == RP_ENDED)
    return;
  if (state == RP_QUEUED)
    tr_measures_queue (m, size_of (job), change);
  tr_measures_live (m, job->submit.spec.account,
                    state == RP_QUEUED ? queue_stage (job) : TR_RUNNING,
                    size_of (job), change);
}

static void
set_state (struct rp_run *run, struct rp_job *job, enum rp_state state)
{
  count (run, job, job->state, -1);
  job->state = state;
  count (run, job, state, 1);
}

void
rp_agent_submitted (struct rp_run *run, struct rp_job *job)
{
  job->state = RP_QUEUED;
  count (run, job, RP_QUEUED, 1);
}

static void
wake_at (struct rp_run *run, struct rp_job *job, int which, int64_t at_ms,
         enum rp_wake_kind kind)
{
  struct rp_wake *wake = g_new (struct rp_wake, 1);

  wake->at_ms = at_ms;
  wake->sequence = ++run->sequence;
  wake->kind = kind;
  wake->job = job->submit.job;
  job->due[which] = wake->sequence;
  job->due_ms[which] = at_ms;
  g_tree_insert (run->wake, wake, wake);
}

static void
forget_wakes (struct rp_run *run, struct rp_job *job)
{
  for (int i = 0; i < 2; i++)
    {
      struct rp_wake key = { job->due_ms[i], job->due[i], 0, 0 };

      if (job->due[i])
        g_tree_remove (run->wake, &key);
      job->due[i] = 0;
    }
}

static void
release_task (struct rp_run *run, struct rp_job *job, int task)
{
  struct rp_task *t = &job->task[task];

  if (!t->freed && rp_worker (run, t->worker)->boot == t->boot)
    tr_measures_hold (&run->measures, t->worker, -job->submit.spec.per_task);
  t->freed = 1;
}

/* Ends the attempt, if there is one, and frees its places.  */
static void
drop_attempt (struct rp_run *run, struct rp_job *job)
{
  forget_wakes (run, job);
  for (int i = 0; job->task && i < job->submit.spec.tasks; i++)
    release_task (run, job, i);
  free (job->task);
  job->task = NULL;
}

/* Some task of the attempt runs on a worker that fails everything (DOOMED
   is 1) or on one that does not (0).  */
static int
has_tasks (const struct rp_job *job, int doomed)
{
  for (int i = 0; i < job->submit.spec.tasks; i++)
    if (job->task[i].doomed == doomed)
      return 1;
  return 0;
}

static void
start (struct rp_run *run, struct rp_job *job, const struct dc_action *action)
{
  const struct dc_job_spec *spec = &job->submit.spec;

  job->task = calloc ((size_t)spec->tasks, sizeof *job->task);
  if (!job->task)
    abort ();
  for (int i = 0; i < spec->tasks; i++)
    {
      const struct rp_worker *w = rp_worker (run, action->place[i].worker);

      job->task[i].worker = action->place[i].worker;
      job->task[i].boot = w->boot;
      job->task[i].doomed = w->fails_all;
      tr_measures_hold (&run->measures, action->place[i].worker,
                        spec->per_task);
    }
  job->attempt = action->attempt;
  job->started_ms = run->now_ms;
  set_state (run, job, RP_ACTIVE);
  run->measures.starts++;
  if (!job->started)
    tr_measures_started (&run->measures, spec->class,
                         run->now_ms - job->submitted_ms, job->within);
  job->started = 1;
  if (has_tasks (job, 0))
    wake_at (run, job, 0, run->now_ms + job->rest_ms, RP_WAKE_END);
  if (has_tasks (job, 1))
    wake_at (run, job, 1, run->now_ms + RP_FAILING_MS, RP_WAKE_FAIL);
}

static void
preempt (struct rp_run *run, struct rp_job *job)
{
  int64_t ran_ms = run->now_ms - job->started_ms;

  forget_wakes (run, job);
  job->saved_ms = MAX (job->rest_ms - ran_ms, 0);
  set_state (run, job, RP_SAVING);
  run->measures.preemptions++;
  wake_at (run, job, 0, run->now_ms + DC_CHECKPOINT_MS, RP_WAKE_SAVED);
}

static void
end_job (struct rp_run *run, struct rp_job *job)
{
  drop_attempt (run, job);
  set_state (run, job, RP_ENDED);
  g_array_append_val (run->free_handle, job->handle);
  run->live--;
}

void
rp_agent_act (struct rp_run *run, const struct dc_action *action)
{
  struct rp_job *job;

  switch (action->kind)
    {
    case DC_ACT_PLAN_ACCEPTED:
    case DC_ACT_PLAN_REFUSED:
      return;
    case DC_ACT_QUARANTINE:
    case DC_ACT_READMIT:
      rp_worker (run, action->id)->quarantined
          = action->kind == DC_ACT_QUARANTINE;
      rp_agent_worker_changed (run, action->id);
      return;
    default:
      break;
    }
  job = rp_job (run, action->id);
  switch (action->kind)
    {
    case DC_ACT_START:
      start (run, job, action);
      return;
    case DC_ACT_PREEMPT:
      preempt (run, job);
      return;
    case DC_ACT_STOP:
      drop_attempt (run, job);
      return;
    case DC_ACT_REQUEUE:
      drop_attempt (run, job);
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
rp_agent_worker_changed (struct rp_run *run, uint32_t worker)
{
  const struct rp_worker *w = rp_worker (run, worker);
  struct tr_worker_use use = *tr_measures_use (&run->measures, worker);

  use.accelerators = w->accelerators;
  use.up = w->up;
  use.leaving = w->leaving;
  use.quarantined = w->quarantined;
  tr_measures_worker (&run->measures, worker, &use);
}

int64_t
rp_agent_next_ms (const struct rp_run *run)
{
  GTreeNode *node = g_tree_node_first (run->wake);

  return node ? ((struct rp_wake *)g_tree_node_key (node))->at_ms : -1;
}

static int
report_saved (struct rp_run *run, struct rp_job *job)
{
  struct dc_event event = { DC_EV_CHECKPOINTED, run->now_ms };

  event.u.task.job = job->handle;
  event.u.task.attempt = job->attempt;
  job->rest_ms = job->saved_ms;
  drop_attempt (run, job);
  set_state (run, job, RP_QUEUED);
  return rp_apply (run, &event);
}

/* Reports each task of the healthy or the doomed part of a gang, until an
   answer of the core ends the attempt.  */
static int
report_tasks (struct rp_run *run, uint32_t id, int doomed)
{
  struct rp_job *job = rp_job (run, id);
  int failed = doomed || job->submit.fails;
  struct dc_event event
      = { failed ? DC_EV_TASK_FAILED : DC_EV_TASK_DONE, run->now_ms };
  int32_t tasks = job->submit.spec.tasks;
  int rc;

  event.u.task.job = job->handle;
  event.u.task.attempt = job->attempt;
  for (int i = 0; i < tasks && job->task; i++)
    {
      if (job->task[i].doomed != doomed || job->task[i].freed)
        continue;
      release_task (run, job, i);
      event.u.task.task = (uint32_t)i;
      if ((rc = rp_apply (run, &event)))
        return rc;
      job = rp_job (run, id);
    }
  return 0;
}

static int
report (struct rp_run *run, const struct rp_wake *wake)
{
  switch (wake->kind)
    {
    case RP_WAKE_END:
      return report_tasks (run, wake->job, 0);
    case RP_WAKE_FAIL:
      return report_tasks (run, wake->job, 1);
    case RP_WAKE_SAVED:
      return report_saved (run, rp_job (run, wake->job));
    }
  return 0;
}

int
rp_agent_run (struct rp_run *run)
{
  GTreeNode *node;
  int rc = 0;

  while (!rc && (node = g_tree_node_first (run->wake)))
    {
      struct rp_wake wake = *(struct rp_wake *)g_tree_node_key (node);
      struct rp_job *job = rp_job (run, wake.job);

      if (wake.at_ms > run->now_ms)
        break;
      job->due[wake.kind == RP_WAKE_FAIL] = 0;
      g_tree_remove (run->wake, &wake);
      rc = report (run, &wake);
    }
  return rc;
}
