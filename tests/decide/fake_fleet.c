#include "fake_fleet.h"

#include <stdlib.h>
#include <string.h>

enum
{
  FAILURE_DELAY_MS = 1000 /* tasks on a failing worker end after this time */
};

static bool
due_before (const void *arg, uint32_t a, uint32_t b)
{
  const struct ff_fleet *f = arg;

  if (f->job[a].due_ms != f->job[b].due_ms)
    return f->job[a].due_ms < f->job[b].due_ms;
  return a < b;
}

static void
due_moved (void *arg, uint32_t a, uint32_t position)
{
  ((struct ff_fleet *)arg)->job[a].position = position;
}

/* Sets when the next event of a job is due.  INT64_MAX means never.  */
static void
set_due (struct ff_fleet *f, uint32_t id, int64_t due_ms)
{
  struct hp_order order = { due_before, due_moved, f };
  struct ff_job *j = &f->job[id];

  if (j->due_ms != INT64_MAX)
    hp_remove (&f->due, &order, j->position);
  j->due_ms = due_ms;
  if (due_ms != INT64_MAX)
    hp_push (&f->due, &order, id);
}

void
ff_init (struct ff_fleet *f, const struct dc_config *config)
{
  memset (f, 0, sizeof *f);
  f->dc = malloc (dc_size ());
  f->job = calloc (FF_MAX_JOBS, sizeof *f->job);
  f->error = dc_init (f->dc, config);
}

void
ff_fini (struct ff_fleet *f)
{
  dc_fini (f->dc);
  free (f->dc);
  hp_fini (&f->due);
  free (f->job);
}

static void
start_job (struct ff_fleet *f, const struct dc_action *a)
{
  struct ff_job *j = &f->job[a->id];
  int64_t due_ms;

  j->state = FF_RUNNING;
  j->attempt = a->attempt;
  j->start_ms = f->now_ms;
  if (j->starts++ == 0)
    j->first_ms = f->now_ms;
  due_ms = f->now_ms + j->actual_ms - j->ran_ms;
  for (int i = 0; i < a->place_count && i < 64; i++)
    {
      j->place[i] = a->place[i];
      if (f->fails_all[a->place[i].worker])
        due_ms = f->now_ms + FAILURE_DELAY_MS;
    }
  set_due (f, a->id, due_ms);
}

static void
end_job (struct ff_fleet *f, uint32_t id, enum ff_state state)
{
  f->job[id].state = state;
  f->job[id].end_ms = f->now_ms;
  set_due (f, id, INT64_MAX);
}

static void
apply_action (struct ff_fleet *f, const struct dc_action *a)
{
  struct ff_job *j = &f->job[a->id];

  switch (a->kind)
    {
    case DC_ACT_START:
      start_job (f, a);
      break;
    case DC_ACT_PREEMPT:
      j->state = FF_CHECKPOINTING;
      j->ran_ms += f->now_ms - j->start_ms;
      set_due (f, a->id, f->now_ms + DC_CHECKPOINT_MS);
      j->preempted++;
      break;
    case DC_ACT_REQUEUE:
      end_job (f, a->id, FF_WAITING);
      break;
    case DC_ACT_DONE:
      end_job (f, a->id, FF_DONE);
      break;
    case DC_ACT_FAILED:
      end_job (f, a->id, FF_FAILED);
      break;
    case DC_ACT_CANCELLED:
      end_job (f, a->id, FF_CANCELLED);
      break;
    case DC_ACT_UNKNOWN:
      end_job (f, a->id, FF_UNKNOWN);
      break;
    case DC_ACT_REFUSED:
      end_job (f, a->id, FF_REFUSED);
      break;
    case DC_ACT_QUARANTINE:
      f->quarantined[a->id] = 1;
      f->quarantines++;
      break;
    case DC_ACT_READMIT:
      f->quarantined[a->id] = 0;
      break;
    case DC_ACT_PLAN_ACCEPTED:
      f->accepted++;
      break;
    case DC_ACT_PLAN_REFUSED:
      f->refused++;
      break;
    case DC_ACT_STOP:
      break;
    }
}

static void
take_all (struct ff_fleet *f)
{
  struct dc_action a;

  while (dc_take_action (f->dc, &a))
    apply_action (f, &a);
}

void
ff_apply (struct ff_fleet *f, struct dc_event *e)
{
  int error;

  e->at_ms = f->now_ms;
  error = dc_apply (f->dc, e);
  if (!f->error)
    f->error = error;
  take_all (f);
}

void
ff_decide (struct ff_fleet *f)
{
  int error = dc_decide (f->dc, f->now_ms);

  if (!f->error)
    f->error = error;
  take_all (f);
}

void
ff_worker (struct ff_fleet *f, uint32_t id, uint32_t rack, uint32_t domain,
           int accelerators, int slots)
{
  struct dc_event e = { .kind = DC_EV_WORKER };

  e.u.worker.id = id;
  e.u.worker.rack = rack;
  e.u.worker.domain = domain;
  e.u.worker.accelerators = accelerators;
  e.u.worker.slots = slots;
  ff_apply (f, &e);
}

void
ff_worker_event (struct ff_fleet *f, enum dc_event_kind kind, uint32_t id)
{
  struct dc_event e = { .kind = kind, .u.worker_id = id };

  ff_apply (f, &e);
}

static void
apply_plan (struct ff_fleet *f, uint32_t account, struct dc_shape shape,
            int accepted)
{
  struct dc_event e = { .kind = DC_EV_PLAN };

  e.u.plan.account = account;
  e.u.plan.version = ++f->version;
  e.u.plan.shapes = 1;
  e.u.plan.shape[0] = shape;
  e.u.plan.accepted = accepted;
  ff_apply (f, &e);
}

void
ff_plan (struct ff_fleet *f, uint32_t account, int32_t size, int32_t count)
{
  apply_plan (f, account, (struct dc_shape){ size, count }, 0);
}

void
ff_stored_plan (struct ff_fleet *f, uint32_t account, int32_t size,
                int32_t count)
{
  apply_plan (f, account, (struct dc_shape){ size, count }, 1);
}

uint32_t
ff_submit (struct ff_fleet *f, struct dc_job_spec spec, int64_t actual_ms)
{
  struct dc_event e = { .kind = DC_EV_SUBMIT };
  uint32_t id = f->jobs++;

  f->job[id] = (struct ff_job){ .state = FF_WAITING,
                                .spec = spec,
                                .actual_ms = actual_ms,
                                .submit_ms = f->now_ms,
                                .due_ms = INT64_MAX };
  e.u.submit.id = id;
  e.u.submit.spec = spec;
  ff_apply (f, &e);
  return id;
}

void
ff_cancel (struct ff_fleet *f, uint32_t job)
{
  struct dc_event e = { .kind = DC_EV_CANCEL, .u.job = job };

  ff_apply (f, &e);
}

static int
task_fails (const struct ff_fleet *f, const struct ff_job *j, int32_t task)
{
  return j->fails || (task < 64 && f->fails_all[j->place[task].worker]);
}

static void
end_tasks (struct ff_fleet *f, uint32_t id)
{
  struct ff_job *j = &f->job[id];
  struct dc_event e = { .kind = DC_EV_TASK_DONE };

  e.u.task.job = id;
  e.u.task.attempt = j->attempt;
  for (int32_t t = 0; t < j->spec.tasks; t++)
    {
      e.u.task.task = (uint32_t)t;
      e.kind = task_fails (f, j, t) ? DC_EV_TASK_FAILED : DC_EV_TASK_DONE;
      ff_apply (f, &e);
      if (j->state != FF_RUNNING)
        return;
    }
}

static void
end_due (struct ff_fleet *f, uint32_t id)
{
  struct ff_job *j = &f->job[id];
  struct dc_event e = { .kind = DC_EV_CHECKPOINTED };

  set_due (f, id, INT64_MAX);
  if (j->state == FF_RUNNING)
    {
      end_tasks (f, id);
      return;
    }
  e.u.task.job = id;
  e.u.task.attempt = j->attempt;
  j->state = FF_WAITING;
  ff_apply (f, &e);
}

static int64_t
next_due (const struct ff_fleet *f)
{
  int64_t next = dc_next_decision_ms (f->dc);

  if (next < 0)
    next = INT64_MAX;
  if (f->due.n > 0 && f->job[f->due.v[0]].due_ms < next)
    next = f->job[f->due.v[0]].due_ms;
  return next;
}

void
ff_run (struct ff_fleet *f, int64_t at_ms)
{
  ff_decide (f);
  for (int64_t next = next_due (f); next <= at_ms && !f->error;
       next = next_due (f))
    {
      if (next > f->now_ms)
        {
          if (f->before_advance)
            f->before_advance (f, next);
          f->now_ms = next;
        }
      while (f->due.n > 0 && f->job[f->due.v[0]].due_ms <= f->now_ms)
        end_due (f, f->due.v[0]);
      ff_decide (f);
    }
  if (f->before_advance)
    f->before_advance (f, at_ms);
  f->now_ms = at_ms;
}
