/* Passes events to the decision layer and carries out the actions it
   returns.  */
#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "skr/log.h"

static void
log_failure (struct cl_cell *c, int event, int error)
{
  const char *broken
      = error == DC_EINVARIANT ? dc_broken_invariant (c->dc) : "";
  struct lg_field field[]
      = { lg_str ("cell", c->name), lg_int ("event", event),
          lg_str ("error", dc_strerror (error)), lg_str ("broken", broken) };

  lg_log (LG_DECIDE_FAILED, 4, field);
  /* The decision layer's state is inconsistent: release the cell so that the
     next holder rebuilds it.  */
  if (error == DC_EINVARIANT)
    c->releasing = 1;
}

static void
start_gang (struct cl_cell *c, const struct dc_action *act, struct jb_job *job)
{
  struct wk_gang *g;

  cl_stop_gang (c, job);
  job->decide_attempt = act->attempt;
  g = cl_add_gang (c, job->id, job->attempt_base + act->attempt,
                   act->place_count, act->place);
  if (!g)
    abort ();
  job->gang = g;
}

/* A gang that does not run yet is stopped without a checkpoint.  */
static void
preempt_job (struct cl_cell *c, struct jb_job *job)
{
  struct dc_event e = { .kind = DC_EV_CHECKPOINTED };

  if (job->gang && job->gang->phase != WK_HOLD)
    {
      job->gang->preempted = 1;
      wk_set_phase (job->gang, WK_CHECKPOINT, c->now_ms);
      return;
    }
  cl_stop_gang (c, job);
  if (job->state == JB_RUNNING)
    cl_set_state (c, job, JB_QUEUED, "preempted");
  e.u.task.job = job->handle;
  e.u.task.attempt = job->decide_attempt;
  cl_apply_event (c, &e);
}

/* Ends a job.  A completed gang stays attached until the job's row is written,
   because its workers keep the results until they are acknowledged.  */
static void
end_job (struct cl_cell *c, struct jb_job *job, enum jb_state state,
         const char *reason)
{
  cl_drop_handle (c, job);
  if (state != JB_DONE)
    cl_stop_gang (c, job);
  cl_set_state (c, job, state, reason);
}

static void
requeue_job (struct cl_cell *c, struct jb_job *job, const char *reason)
{
  cl_stop_gang (c, job);
  cl_set_state (c, job, JB_QUEUED, reason);
}

static void
log_worker (struct cl_cell *c, enum lg_event event, uint32_t worker,
            const char *reason)
{
  struct lg_field field[] = { lg_str ("cell", c->name),
                              lg_str ("worker", cl_worker_name (c, worker)),
                              lg_str ("reason", reason) };

  lg_log (event, 3, field);
}

static void
log_plan (struct cl_cell *c, enum lg_event event, const struct dc_action *act)
{
  struct lg_field field[]
      = { lg_str ("cell", c->name),
          lg_str ("account", g_ptr_array_index (c->accounts, act->id)),
          lg_str ("reason", act->reason) };

  lg_log (event, 3, field);
}

static void
carry_out_for_job (struct cl_cell *c, const struct dc_action *act,
                   struct jb_job *job)
{
  switch (act->kind)
    {
    case DC_ACT_START:
      start_gang (c, act, job);
      break;
    case DC_ACT_PREEMPT:
      preempt_job (c, job);
      break;
    case DC_ACT_STOP:
      cl_stop_gang (c, job);
      break;
    case DC_ACT_REQUEUE:
      requeue_job (c, job, act->reason);
      break;
    case DC_ACT_DONE:
      end_job (c, job, JB_DONE, NULL);
      break;
    case DC_ACT_FAILED:
      end_job (c, job, JB_FAILED, act->reason);
      break;
    case DC_ACT_CANCELLED:
      end_job (c, job, JB_CANCELLED, act->reason);
      break;
    case DC_ACT_UNKNOWN:
      end_job (c, job, JB_UNKNOWN, act->reason);
      break;
    case DC_ACT_REFUSED:
      end_job (c, job, JB_REFUSED, act->reason);
      break;
    case DC_ACT_PLAN_ACCEPTED:
    case DC_ACT_PLAN_REFUSED:
    case DC_ACT_QUARANTINE:
    case DC_ACT_READMIT:
      break;
    }
}

static void
carry_out (struct cl_cell *c, const struct dc_action *act)
{
  struct jb_job *job;

  switch (act->kind)
    {
    case DC_ACT_PLAN_ACCEPTED:
      if (act->reason)
        log_plan (c, LG_GUARANTEE_WAITS, act);
      return;
    case DC_ACT_PLAN_REFUSED:
      log_plan (c, LG_GUARANTEE_REFUSED, act);
      return;
    case DC_ACT_QUARANTINE:
      log_worker (c, LG_WORKER_QUARANTINED, act->id, act->reason);
      return;
    case DC_ACT_READMIT:
      log_worker (c, LG_WORKER_READMITTED, act->id, act->reason);
      return;
    default:
      job = cl_job_by_handle (c, act->id);
      if (job) /* NULL if cl_resubmit has withdrawn the job */
        carry_out_for_job (c, act, job);
      return;
    }
}

static void
carry_out_all (struct cl_cell *c)
{
  struct dc_action act;

  while (dc_take_action (c->dc, &act))
    carry_out (c, &act);
}

static void
push_event (struct cl_cell *c, const struct dc_event *event)
{
  struct dc_event *copy = g_memdup2 (event, sizeof *event);

  g_queue_push_tail (&c->events, copy);
}

static void
process_events (struct cl_cell *c)
{
  struct dc_event *e;

  c->applying = 1;
  carry_out_all (c);
  while ((e = g_queue_pop_head (&c->events)))
    {
      int error;

      e->at_ms = c->now_ms;
      error = dc_apply (c->dc, e);
      if (error)
        log_failure (c, (int)e->kind, error);
      carry_out_all (c);
      g_free (e);
    }
  c->applying = 0;
}

/* Events raised while actions are carried out are queued until that is
   finished.  */
void
cl_apply_event (struct cl_cell *c, const struct dc_event *event)
{
  push_event (c, event);
  if (!c->applying)
    process_events (c);
}

void
cl_task_event (struct cl_cell *c, enum dc_event_kind kind,
               const struct jb_job *job, int task)
{
  struct dc_event e = { .kind = kind };

  if (job->handle == JB_NO_HANDLE)
    return;
  e.u.task.job = job->handle;
  e.u.task.attempt = job->decide_attempt;
  e.u.task.task = (uint32_t)task;
  cl_apply_event (c, &e);
}

void
cl_decide (struct cl_cell *c)
{
  int error = dc_decide (c->dc, c->now_ms);

  if (error)
    log_failure (c, -1, error);
  process_events (c);
}

static void
collect_name (void *arg, const struct cf_account *account)
{
  g_ptr_array_add (arg, g_strdup (account->name));
}

static void
apply_plan (struct cl_cell *c, const char *account, int64_t version)
{
  struct dc_event e = { .kind = DC_EV_PLAN };

  e.u.plan.account = cl_account_handle (c, account);
  e.u.plan.version = version;
  e.u.plan.accepted = 1;
  e.u.plan.shapes = cf_guarantee (c->config, account, c->name, e.u.plan.shape);
  cl_apply_event (c, &e);
}

/* Plans in the list were accepted when the list was written, regardless of the
   work that now runs in this cell.  An account that is no longer listed gets
   an empty guarantee.  */
void
cl_apply_plans (struct cl_cell *c)
{
  int64_t version = cf_version (c->config, CF_SPLIT);
  GPtrArray *names;

  if (version <= c->config_version)
    return;
  c->config_version = version;
  names = g_ptr_array_new_with_free_func (g_free);
  cf_foreach_account (c->config, collect_name, names);
  for (guint i = 0; i < names->len; i++)
    cl_account_handle (c, g_ptr_array_index (names, i));
  for (guint i = 0; i < c->accounts->len; i++)
    apply_plan (c, g_ptr_array_index (c->accounts, i), version);
  g_ptr_array_free (names, TRUE);
}
