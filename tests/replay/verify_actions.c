#include <stdlib.h>
#include <string.h>

#include "verify.h"

static const char *
text (json_t *object, const char *field)
{
  const char *value = json_string_value (json_object_get (object, field));

  return value ? value : "";
}

static void
free_task (struct check *c, struct place *p)
{
  struct worker *w = worker_at (c, p->worker);

  if (p->released)
    return;
  p->released = 1;
  w->held &= ~p->mask;
  w->slots_held--;
}

static void
free_gang (struct check *c, struct job *j)
{
  for (int t = 0; j->place && t < j->tasks; t++)
    free_task (c, &j->place[t]);
  free (j->place);
  j->place = NULL;
  g_ptr_array_remove_fast (c->active_jobs, j);
}

static void
return_to_queue (struct check *c, struct job *j)
{
  free_gang (c, j);
  j->state = QUEUED;
  j->expect_done = j->expect_failed = j->has_lost_task = 0;
}

static void
record_failed_worker (struct job *j, uint32_t worker)
{
  for (int i = 0; i < j->failed_worker_count; i++)
    if (j->failed_worker[i] == worker)
      return;
  if (j->failed_worker_count < MAX_FAILED_WORKERS)
    j->failed_worker[j->failed_worker_count++] = worker;
}

static void
update_running (struct check *c, struct job *j)
{
  int64_t end_ms = j->started_ms + j->remaining_ms;
  int64_t fail_ms = j->started_ms + FAILING_TASK_MS;
  int healthy = 1;

  for (int t = 0; t < j->tasks; t++)
    {
      struct place *p = &j->place[t];

      healthy &= !p->on_failing_worker;
      if (c->now_ms < (p->on_failing_worker ? fail_ms : end_ms)
          || j->expect_failed)
        continue;
      if (p->on_failing_worker)
        {
          worker_at (c, p->worker)->failures += !p->released;
          record_failed_worker (j, p->worker);
        }
      free_task (c, p);
      j->expect_failed |= p->on_failing_worker || j->fails;
      if (j->expect_failed)
        worker_at (c, p->worker)->probation_since_ms = c->now_ms;
    }
  if (!j->has_lost_task && !j->expect_failed && healthy && c->now_ms >= end_ms)
    j->expect_done = 1;
}

void
release_ended_tasks (struct check *c)
{
  for (guint i = c->active_jobs->len; i-- > 0;)
    {
      struct job *j = g_ptr_array_index (c->active_jobs, i);

      if (j->state == RUNNING)
        update_running (c, j);
      else if (c->now_ms >= j->started_ms + CHECKPOINT_MS && !j->has_lost_task)
        {
          j->remaining_ms = j->checkpoint_remaining_ms;
          return_to_queue (c, j);
        }
    }
}

static void
check_gang (struct check *c, const struct job *j)
{
  int level = gang_level (c, j->tasks, j->per_task);
  const struct worker *first = worker_at (c, j->place[0].worker);

  for (int t = 1; t < j->tasks; t++)
    {
      const struct worker *w = worker_at (c, j->place[t].worker);

      if ((level == 0 && w != first) || (level == 1 && w->rack != first->rack)
          || (level == 2 && w->domain != first->domain))
        {
          report_violation (c, "gang of job %s is not adjacent", j->name);
          return;
        }
    }
  if (level > 2)
    report_violation (c, "job %s was started but fits nowhere", j->name);
}

static void
apply_placement (struct check *c, struct job *j, json_t *entry, int t)
{
  struct place *p = &j->place[t];
  int64_t id = handle_of (c, T_WORKER, entry, "worker", 0);
  json_t *list = json_object_get (entry, "accelerators"), *bit;
  struct worker *w;
  size_t i;

  if (id < 0)
    {
      report_violation (c, "job %s starts on an unknown worker", j->name);
      p->released = 1;
      return;
    }
  p->worker = (uint32_t)id;
  w = worker_at (c, p->worker);
  json_array_foreach (list, i, bit)
  {
    int64_t n = json_integer_value (bit);

    if (n < 0 || n >= w->accelerators || p->mask >> n & 1)
      report_violation (c, "job %s holds accelerator %lld of %s", j->name,
                        (long long)n, text (entry, "worker"));
    else
      p->mask |= UINT64_C (1) << n;
  }
  if ((int)json_array_size (list) != j->per_task)
    report_violation (
        c, "task %d of job %s has a wrong number of accelerators", t, j->name);
  if (!is_usable (w))
    report_violation (c, "job %s starts on %s, which is %s", j->name,
                      text (entry, "worker"),
                      !w->up       ? "down"
                      : w->leaving ? "leaving"
                                   : "quarantined");
  if (w->held & p->mask)
    report_violation (c, "accelerator of %s is held twice",
                      text (entry, "worker"));
  if (++w->slots_held > w->slots)
    report_violation (c, "more slots of %s are held than it has",
                      text (entry, "worker"));
  w->held |= p->mask;
  p->on_failing_worker = w->fails_all;
}

/* Urgent jobs precede bulk jobs of the same account.  A start of an urgent job
   restarts the wait of the account's bulk jobs or removes them from the
   guarantee.  */
static void
restart_bulk_guarantees (struct check *c, const struct job *urgent)
{
  for (guint i = c->guaranteed_jobs->len; i-- > 0;)
    {
      struct job *j = g_ptr_array_index (c->guaranteed_jobs, i);

      if (j->urgent || j->account != urgent->account)
        continue;
      j->guarantee_since_ms = c->now_ms;
      if (!within_guarantee (c, j))
        g_ptr_array_remove_index_fast (c->guaranteed_jobs, i);
    }
}

static void
start (struct check *c, struct job *j, json_t *a)
{
  json_t *list = json_object_get (a, "placement"), *entry;
  size_t i;

  if (j->state != QUEUED)
    {
      report_violation (c, "job %s was started but is not queued", j->name);
      return;
    }
  if ((int)json_array_size (list) != j->tasks)
    {
      report_violation (c, "job %s was not started whole", j->name);
      return;
    }
  if (!j->repeatable && j->had_failed_attempt)
    report_violation (c, "job %s may not be repeated but was", j->name);
  if (json_integer_value (json_object_get (a, "attempt")) != ++j->attempt)
    report_violation (c, "job %s: attempt is not %d", j->name, j->attempt);
  j->place = calloc ((size_t)j->tasks, sizeof *j->place);
  json_array_foreach (list, i, entry)
  {
    if (json_integer_value (json_object_get (entry, "task")) != (int)i)
      report_violation (c, "job %s: tasks are not in order", j->name);
    apply_placement (c, j, entry, (int)i);
  }
  check_gang (c, j);
  j->state = RUNNING;
  j->started_ms = c->now_ms;
  if (j->first_start_ms < 0)
    j->first_start_ms = c->now_ms;
  g_ptr_array_add (c->active_jobs, j);
  g_ptr_array_remove_fast (c->guaranteed_jobs, j);
  if (j->urgent)
    restart_bulk_guarantees (c, j);
  else
    g_ptr_array_add (c->started_bulk, j);
}

static void
preempt (struct check *c, struct job *j)
{
  if (j->state != RUNNING || j->expect_done || j->expect_failed
      || j->has_lost_task)
    {
      report_violation (c, "job %s was preempted but is not running", j->name);
      return;
    }
  if (!j->preemptible)
    report_violation (c, "job %s may not be preempted", j->name);
  j->checkpoint_remaining_ms
      = MAX (j->remaining_ms - (c->now_ms - j->started_ms), 0);
  j->started_ms = c->now_ms;
  j->state = CHECKPOINTING;
}

static void
requeue (struct check *c, struct job *j, json_t *a)
{
  if (j->state != RUNNING && j->state != CHECKPOINTING)
    {
      report_violation (c, "job %s was requeued but is not running", j->name);
      return;
    }
  if (j->state == RUNNING)
    update_running (c, j);
  if (!j->has_lost_task && !j->expect_failed)
    report_violation (c, "job %s was requeued but lost nothing", j->name);
  if (!j->repeatable)
    report_violation (c, "job %s may not be repeated but was requeued",
                      j->name);
  if (json_integer_value (json_object_get (a, "attempt")) != j->attempt)
    report_violation (c, "requeue of job %s names a wrong attempt", j->name);
  j->failures += j->expect_failed;
  if (j->failures > MAX_FAILURES)
    report_violation (c, "job %s failed too often to be queued again",
                      j->name);
  j->had_failed_attempt = 1;
  return_to_queue (c, j);
}

static void
check_ending (struct check *c, const struct job *j, const char *act)
{
  if (strcmp (act, "done") == 0
      && (!j->expect_done || c->now_ms != j->started_ms + j->remaining_ms))
    report_violation (c, "job %s is not done", j->name);
  if (strcmp (act, "cancelled") == 0 && !j->cancel_requested)
    report_violation (c, "job %s was cancelled by nobody", j->name);
  if (strcmp (act, "unknown") == 0 && (!j->has_lost_task || j->repeatable))
    report_violation (c, "job %s is not unknown", j->name);
  if (strcmp (act, "failed") == 0
      && (!j->expect_failed
          || (j->repeatable && !j->fails
              && j->failed_worker_count
                     < MIN (MIN_FAILED_WORKERS, count_workers_for (c, j)))))
    report_violation (c, "job %s has not failed for good", j->name);
  if (strcmp (act, "refused") != 0)
    return;
  if (j->attempt)
    report_violation (c, "job %s was refused but had been started", j->name);
  if (!j->fits_nowhere)
    report_violation (c, "job %s was refused but the fleet can hold it",
                      j->name);
}

static void
end_job (struct check *c, struct job *j, const char *act)
{
  if (j->state == ENDED)
    {
      report_violation (c, "job %s ends twice", j->name);
      return;
    }
  if (j->state == RUNNING)
    update_running (c, j);
  check_ending (c, j, act);
  for (int t = 0; j->place && t < j->tasks && strcmp (act, "done") == 0; t++)
    worker_at (c, j->place[t].worker)->on_probation = 0;
  free_gang (c, j);
  j->state = ENDED;
  j->expect_done = j->expect_failed = j->has_lost_task = 0;
  g_ptr_array_remove_fast (c->guaranteed_jobs, j);
  g_hash_table_remove (c->unfinished_jobs, j);
}

static void
answer_plan (struct check *c, json_t *a, int accepted)
{
  uint32_t id = (uint32_t)handle_of (c, T_ACCOUNT, a, "account", 1);
  struct account *account = account_at (c, id);
  int64_t version = json_integer_value (json_object_get (a, "version"));
  int old[SIZE_CLASSES];

  for (guint i = 0; i < c->pending_plans->len; i++)
    {
      struct pending_plan *p
          = &g_array_index (c->pending_plans, struct pending_plan, i);

      if (p->account != id || p->version != version)
        continue;
      memcpy (old, account->group_count, sizeof old);
      memcpy (account->group_count, p->group_count, sizeof old);
      if (accepted && version <= account->version)
        report_violation (
            c, "a plan was replaced by version %lld, which is not newer",
            (long long)version);
      if (accepted && !groups_could_fit (c))
        report_violation (
            c, "a plan was accepted that can't be met with the others");
      if (!accepted && !c->ignore_refusals && plans_fit (c))
        report_violation (
            c, "a plan was refused that can be met with the others");
      if (accepted)
        {
          account->version = version;
          c->capacity_changed_ms = c->now_ms;
        }
      else
        memcpy (account->group_count, old, sizeof old);
      g_array_remove_index (c->pending_plans, i);
      return;
    }
  report_violation (c, "an answer to a plan that was not asked for");
}

static void
quarantine (struct check *c, json_t *a, int on)
{
  struct worker *w
      = worker_at (c, (uint32_t)handle_of (c, T_WORKER, a, "worker", 1));

  if (on && !w->was_failing)
    report_violation (c, "healthy worker %s was quarantined",
                      text (a, "worker"));
  if (w->quarantined == on)
    report_violation (c, "worker %s was %s already", text (a, "worker"),
                      on ? "quarantined" : "in use");
  w->quarantined = on;
  w->on_probation = !on;
  w->probation_since_ms = c->now_ms;
  w->failures = 0;
  c->capacity_changed_ms = c->now_ms;
}

static void
apply_to_job (struct check *c, const char *act, json_t *a)
{
  int64_t id = handle_of (c, T_JOB, a, "job", 0);
  struct job *j;

  if (id < 0 || !job_at (c, (uint32_t)id)->name)
    {
      report_violation (c, "%s of a job that was not submitted", act);
      return;
    }
  j = job_at (c, (uint32_t)id);
  if (strcmp (act, "start") == 0 || strcmp (act, "preempt") == 0)
    classify_new_jobs (c);
  if (strcmp (act, "start") == 0)
    start (c, j, a);
  else if (strcmp (act, "preempt") == 0)
    preempt (c, j);
  else if (strcmp (act, "requeue") == 0)
    requeue (c, j, a);
  else
    end_job (c, j, act);
}

void
apply_action (struct check *c, json_t *a)
{
  static const char *const job_actions[]
      = { "start",     "preempt", "requeue", "done", "failed",
          "cancelled", "unknown", "refused", NULL };
  const char *act = text (a, "act");

  if (c->has_summary)
    report_violation (c, "an action follows the summary");
  for (int i = 0; job_actions[i]; i++)
    if (strcmp (act, job_actions[i]) == 0)
      {
        apply_to_job (c, act, a);
        return;
      }
  if (strncmp (act, "plan_", 5) == 0)
    answer_plan (c, a, strcmp (act, "plan_accepted") == 0);
  else if (strcmp (act, "quarantine") == 0 || strcmp (act, "readmit") == 0)
    quarantine (c, a, *act == 'q');
  else if (strcmp (act, "summary") == 0)
    c->has_summary = 1;
  else
    report_violation (c, "unknown action %s", act);
}
