#include <string.h>

#include "verify.h"

static int64_t
number (json_t *object, const char *field)
{
  return json_integer_value (json_object_get (object, field));
}

static int
flag (json_t *object, const char *field, int absent)
{
  json_t *value = json_object_get (object, field);

  return value ? json_is_true (value) : absent;
}

static void
apply_join (struct check *c, json_t *e)
{
  struct worker *w
      = worker_at (c, (uint32_t)handle_of (c, T_WORKER, e, "id", 1));

  w->rack = (uint32_t)handle_of (c, T_RACK, e, "rack", 1);
  w->domain = (uint32_t)handle_of (c, T_DOMAIN, e, "domain", 1);
  w->accelerators = (int)number (e, "accelerators");
  w->slots = (int)number (e, "slots");
  w->joined = w->up = 1;
  w->leaving = 0;
  c->capacity_changed_ms = c->now_ms;
}

static void
mark_tasks_lost (struct check *c, uint32_t worker)
{
  for (guint i = 0; i < c->active_jobs->len; i++)
    {
      struct job *j = g_ptr_array_index (c->active_jobs, i);

      for (int t = 0; t < j->tasks; t++)
        if (j->place[t].worker == worker && !j->place[t].released)
          j->has_lost_task = j->place[t].released = 1;
    }
}

static void
change_worker_state (struct check *c, const char *ev, json_t *e)
{
  uint32_t id = (uint32_t)handle_of (c, T_WORKER, e, "id", 1);
  struct worker *w = worker_at (c, id);

  if (strcmp (ev, "worker_fails_all") == 0)
    {
      w->fails_all = w->was_failing = 1;
      w->failures = 0;
      return;
    }
  if (strcmp (ev, "worker_heals") == 0)
    {
      w->fails_all = 0;
      return;
    }
  c->capacity_changed_ms = c->now_ms;
  w->leaving = 1;
  if (strcmp (ev, "worker_down") != 0 || !w->up)
    return;
  w->up = 0;
  w->held = 0;
  w->slots_held = 0;
  mark_tasks_lost (c, id);
}

static void
add_pending_plan (struct check *c, json_t *e)
{
  json_t *list = json_object_get (e, "guarantee"), *entry;
  struct pending_plan plan = { 0 };
  size_t i;

  plan.account = (uint32_t)handle_of (c, T_ACCOUNT, e, "account", 1);
  plan.version = number (e, "version");
  json_array_foreach (list, i, entry)
  {
    for (int k = 0; k < SIZE_CLASSES; k++)
      if (number (entry, "size") >> k & 1)
        plan.group_count[k] += (int)number (entry, "count");
  }
  account_at (c, plan.account);
  g_array_append_val (c->pending_plans, plan);
}

static void
submit (struct check *c, json_t *e)
{
  uint32_t id = (uint32_t)handle_of (c, T_JOB, e, "job", 1);
  struct job *j = job_at (c, id);

  j->name = json_dumps (json_object_get (e, "job"), JSON_ENCODE_ANY);
  j->account = (uint32_t)handle_of (c, T_ACCOUNT, e, "account", 1);
  account_at (c, j->account);
  j->urgent
      = strcmp (json_string_value (json_object_get (e, "class")), "urgent")
        == 0;
  j->tasks = (int)number (e, "tasks");
  j->per_task = (int)number (e, "per_task");
  j->actual_ms = j->remaining_ms = number (e, "actual_ms");
  j->repeatable = flag (e, "repeatable", 1);
  j->preemptible = flag (e, "preemptible", !j->urgent);
  j->fails = flag (e, "fails", 0);
  j->submitted_ms = j->guarantee_since_ms = c->now_ms;
  j->state = QUEUED;
  j->fits_nowhere = gang_level (c, j->tasks, j->per_task) > 2;
  j->first_start_ms = -1;
  g_ptr_array_add (c->new_jobs, j);
  g_hash_table_add (c->unfinished_jobs, j);
}

void
apply_event (struct check *c, json_t *e)
{
  const char *ev = json_string_value (json_object_get (e, "ev"));

  if (strcmp (ev, "worker") == 0)
    apply_join (c, e);
  else if (strncmp (ev, "worker_", 7) == 0)
    change_worker_state (c, ev, e);
  else if (strcmp (ev, "plan") == 0)
    add_pending_plan (c, e);
  else if (strcmp (ev, "submit") == 0)
    submit (c, e);
  else if (strcmp (ev, "cancel") == 0)
    job_at (c, (uint32_t)handle_of (c, T_JOB, e, "job", 1))->cancel_requested
        = 1;
}
