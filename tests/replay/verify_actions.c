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

  if (p->freed)
    return;
  p->freed = 1;
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
  g_ptr_array_remove_fast (c->active, j);
}

static void
back_to_queue (struct check *c, struct job *j)
{
  free_gang (c, j);
  j->state = QUEUED;
  j->due_done = j->due_failed = j->lost = 0;
}

static void
blame (struct job *j, uint32_t worker)
{
  for (int i = 0; i < j->blamed; i++)
    if (j->blame[i] == worker)
      return;
  if (j->blamed < MAX_BLAMED)
    j->blame[j->blamed++] = worker;
}

static void
settle_running (struct check *c, struct job *j)
{
  int64_t end_ms = j->started_ms + j->rest_ms;
  int64_t fail_ms = j->started_ms + FAILING_MS;
  int healthy = 1;

  for (int t = 0; t < j->tasks; t++)
    {
      struct place *p = &j->place[t];

      healthy &= !p->doomed;
      if (c->now_ms < (p->doomed ? fail_ms : end_ms) || j->due_failed)
        continue;
      if (p->doomed)
        {
          worker_at (c, p->worker)->spoiled += !p->freed;
          blame (j, p->worker);
        }
      free_task (c, p);
      j->due_failed |= p->doomed || j->fails;
      if (j->due_failed)
        worker_at (c, p->worker)->doubted_ms = c->now_ms;
    }
  if (!j->lost && !j->due_failed && healthy && c->now_ms >= end_ms)
    j->due_done = 1;
}

void
settle (struct check *c)
{
  for (guint i = c->active->len; i-- > 0;)
    {
      struct job *j = g_ptr_array_index (c->active, i);

      if (j->state == RUNNING)
        settle_running (c, j);
      else if (c->now_ms >= j->started_ms + CHECKPOINT_MS && !j->lost)
        {
          j->rest_ms = j->saved_ms;
          back_to_queue (c, j);
        }
    }
}

static void
check_gang (struct check *c, const struct job *j)
{
  int level = level_of (c, j->tasks, j->per_task);
  const struct worker *first = worker_at (c, j->place[0].worker);

  for (int t = 1; t < j->tasks; t++)
    {
      const struct worker *w = worker_at (c, j->place[t].worker);

      if ((level == 0 && w != first) || (level == 1 && w->rack != first->rack)
          || (level == 2 && w->domain != first->domain))
        {
          violate (c, "gang of job %s is not adjacent", j->name);
          return;
        }
    }
  if (level > 2)
    violate (c, "job %s was started but fits nowhere", j->name);
}

static void
take_place (struct check *c, struct job *j, json_t *entry, int t)
{
  struct place *p = &j->place[t];
  int64_t id = name_of (c, T_WORKER, entry, "worker", 0);
  json_t *list = json_object_get (entry, "accelerators"), *bit;
  struct worker *w;
  size_t i;

  if (id < 0)
    {
      violate (c, "job %s starts on an unknown worker", j->name);
      p->freed = 1;
      return;
    }
  p->worker = (uint32_t)id;
  w = worker_at (c, p->worker);
  json_array_foreach (list, i, bit)
  {
    int64_t n = json_integer_value (bit);

    if (n < 0 || n >= w->accelerators || p->mask >> n & 1)
      violate (c, "job %s holds accelerator %lld of %s", j->name, (long long)n,
               text (entry, "worker"));
    else
      p->mask |= UINT64_C (1) << n;
  }
  if ((int)json_array_size (list) != j->per_task)
    violate (c, "task %d of job %s has a wrong number of accelerators", t,
             j->name);
  if (!usable (w))
    violate (c, "job %s starts on %s, which is %s", j->name,
             text (entry, "worker"),
             !w->up       ? "down"
             : w->leaving ? "leaving"
                          : "quarantined");
  if (w->held & p->mask)
    violate (c, "accelerator of %s is held twice", text (entry, "worker"));
  if (++w->slots_held > w->slots)
    violate (c, "more slots of %s are held than it has",
             text (entry, "worker"));
  w->held |= p->mask;
  p->doomed = w->fails_all;
}

/* Within one account urgent work goes first: bulk work that waits for the
   same guarantee has its clock set anew, or is no longer within it.  */
static void
pass_bulk (struct check *c, const struct job *urgent)
{
  for (guint i = c->promised->len; i-- > 0;)
    {
      struct job *j = g_ptr_array_index (c->promised, i);

      if (j->urgent || j->account != urgent->account)
        continue;
      j->base_ms = c->now_ms;
      if (!within_guarantee (c, j))
        g_ptr_array_remove_index_fast (c->promised, i);
    }
}

static void
start (struct check *c, struct job *j, json_t *a)
{
  json_t *list = json_object_get (a, "placement"), *entry;
  size_t i;

  if (j->state != QUEUED)
    {
      violate (c, "job %s was started but is not queued", j->name);
      return;
    }
  if ((int)json_array_size (list) != j->tasks)
    {
      violate (c, "job %s was not started whole", j->name);
      return;
    }
  if (!j->repeatable && j->stained)
    violate (c, "job %s may not be repeated but was", j->name);
  if (json_integer_value (json_object_get (a, "attempt")) != ++j->attempt)
    violate (c, "job %s: attempt is not %d", j->name, j->attempt);
  j->place = calloc ((size_t)j->tasks, sizeof *j->place);
  json_array_foreach (list, i, entry)
  {
    if (json_integer_value (json_object_get (entry, "task")) != (int)i)
      violate (c, "job %s: tasks are not in order", j->name);
    take_place (c, j, entry, (int)i);
  }
  check_gang (c, j);
  j->state = RUNNING;
  j->started_ms = c->now_ms;
  if (j->first_start_ms < 0)
    j->first_start_ms = c->now_ms;
  g_ptr_array_add (c->active, j);
  g_ptr_array_remove_fast (c->promised, j);
  if (j->urgent)
    pass_bulk (c, j);
  else
    g_ptr_array_add (c->started_bulk, j);
}

static void
preempt (struct check *c, struct job *j)
{
  if (j->state != RUNNING || j->due_done || j->due_failed || j->lost)
    {
      violate (c, "job %s was preempted but is not running", j->name);
      return;
    }
  if (!j->preemptible)
    violate (c, "job %s may not be preempted", j->name);
  j->saved_ms = MAX (j->rest_ms - (c->now_ms - j->started_ms), 0);
  j->started_ms = c->now_ms;
  j->state = SAVING;
}

static void
requeue (struct check *c, struct job *j, json_t *a)
{
  if (j->state != RUNNING && j->state != SAVING)
    {
      violate (c, "job %s was requeued but is not running", j->name);
      return;
    }
  if (j->state == RUNNING)
    settle_running (c, j);
  if (!j->lost && !j->due_failed)
    violate (c, "job %s was requeued but lost nothing", j->name);
  if (!j->repeatable)
    violate (c, "job %s may not be repeated but was requeued", j->name);
  if (json_integer_value (json_object_get (a, "attempt")) != j->attempt)
    violate (c, "requeue of job %s names a wrong attempt", j->name);
  j->failures += j->due_failed;
  if (j->failures > MAX_FAILURES)
    violate (c, "job %s failed too often to be queued again", j->name);
  j->stained = 1;
  back_to_queue (c, j);
}

static void
check_ending (struct check *c, const struct job *j, const char *act)
{
  if (strcmp (act, "done") == 0
      && (!j->due_done || c->now_ms != j->started_ms + j->rest_ms))
    violate (c, "job %s is not done", j->name);
  if (strcmp (act, "cancelled") == 0 && !j->cancel)
    violate (c, "job %s was cancelled by nobody", j->name);
  if (strcmp (act, "unknown") == 0 && (!j->lost || j->repeatable))
    violate (c, "job %s is not unknown", j->name);
  if (strcmp (act, "failed") == 0
      && (!j->due_failed
          || (j->repeatable && !j->fails
              && j->blamed < MIN (MIN_BLAMED, workers_for (c, j)))))
    violate (c, "job %s has not failed for good", j->name);
  if (strcmp (act, "refused") != 0)
    return;
  if (j->attempt)
    violate (c, "job %s was refused but had been started", j->name);
  if (!j->fits_nowhere)
    violate (c, "job %s was refused but the fleet can hold it", j->name);
}

static void
end_job (struct check *c, struct job *j, const char *act)
{
  if (j->state == ENDED)
    {
      violate (c, "job %s ends twice", j->name);
      return;
    }
  if (j->state == RUNNING)
    settle_running (c, j);
  check_ending (c, j, act);
  for (int t = 0; j->place && t < j->tasks && strcmp (act, "done") == 0; t++)
    worker_at (c, j->place[t].worker)->doubted = 0;
  free_gang (c, j);
  j->state = ENDED;
  j->due_done = j->due_failed = j->lost = 0;
  g_ptr_array_remove_fast (c->promised, j);
  g_hash_table_remove (c->live, j);
}

static void
answer_plan (struct check *c, json_t *a, int accepted)
{
  uint32_t id = (uint32_t)name_of (c, T_ACCOUNT, a, "account", 1);
  struct account *account = account_at (c, id);
  int64_t version = json_integer_value (json_object_get (a, "version"));
  int old[SIZES];

  for (guint i = 0; i < c->plan->len; i++)
    {
      struct pending_plan *p
          = &g_array_index (c->plan, struct pending_plan, i);

      if (p->account != id || p->version != version)
        continue;
      memcpy (old, account->group, sizeof old);
      memcpy (account->group, p->group, sizeof old);
      if (accepted && version <= account->version)
        violate (c, "a plan was replaced by version %lld, which is not newer",
                 (long long)version);
      if (accepted && !groups_could_fit (c))
        violate (c, "a plan was accepted that can't be met with the others");
      if (!accepted && !c->no_refusals && plans_do_fit (c))
        violate (c, "a plan was refused that can be met with the others");
      if (accepted)
        {
          account->version = version;
          c->changed_ms = c->now_ms;
        }
      else
        memcpy (account->group, old, sizeof old);
      g_array_remove_index (c->plan, i);
      return;
    }
  violate (c, "an answer to a plan that was not asked for");
}

static void
quarantine (struct check *c, json_t *a, int on)
{
  struct worker *w
      = worker_at (c, (uint32_t)name_of (c, T_WORKER, a, "worker", 1));

  if (on && !w->was_failing)
    violate (c, "healthy worker %s was quarantined", text (a, "worker"));
  if (w->quarantined == on)
    violate (c, "worker %s was %s already", text (a, "worker"),
             on ? "quarantined" : "in use");
  w->quarantined = on;
  w->doubted = !on;
  w->doubted_ms = c->now_ms;
  w->spoiled = 0;
  c->changed_ms = c->now_ms;
}

static void
apply_to_job (struct check *c, const char *act, json_t *a)
{
  int64_t id = name_of (c, T_JOB, a, "job", 0);
  struct job *j;

  if (id < 0 || !job_at (c, (uint32_t)id)->name)
    {
      violate (c, "%s of a job that was not submitted", act);
      return;
    }
  j = job_at (c, (uint32_t)id);
  if (strcmp (act, "start") == 0 || strcmp (act, "preempt") == 0)
    promise_fresh (c);
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
  static const char *const of_job[]
      = { "start",     "preempt", "requeue", "done", "failed",
          "cancelled", "unknown", "refused", NULL };
  const char *act = text (a, "act");

  if (c->summary)
    violate (c, "an action follows the summary");
  for (int i = 0; of_job[i]; i++)
    if (strcmp (act, of_job[i]) == 0)
      {
        apply_to_job (c, act, a);
        return;
      }
  if (strncmp (act, "plan_", 5) == 0)
    answer_plan (c, a, strcmp (act, "plan_accepted") == 0);
  else if (strcmp (act, "quarantine") == 0 || strcmp (act, "readmit") == 0)
    quarantine (c, a, *act == 'q');
  else if (strcmp (act, "summary") == 0)
    c->summary = 1;
  else
    violate (c, "unknown action %s", act);
}
