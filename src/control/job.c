#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/job.h"
#include "skr/base.h"

static const char *const state_names[]
    = { "queued",    "running", "done",   "failed",
        "cancelled", "unknown", "refused" };

const char *
jb_state_name (enum jb_state state)
{
  return state_names[state];
}

enum jb_state
jb_parse_state (const char *text)
{
  for (int i = 0; text && i <= JB_REFUSED; i++)
    if (!strcmp (text, state_names[i]))
      return (enum jb_state)i;
  return JB_QUEUED;
}

int
jb_has_ended (const struct jb_job *job)
{
  return job->state >= JB_DONE;
}

static int
in_range (json_int_t n, json_int_t min, json_int_t max)
{
  return n >= min && n <= max;
}

static int
read_row (struct jb_job *job, json_t *value)
{
  const char *account, *class, *state;
  json_int_t tasks, per_task, declared_ms = 0, attempt = 0, progress = 0;
  json_int_t submitted = 0, lost = 0;
  int repeatable = 1, preemptible = 1, cancel = 0;

  if (json_unpack (value,
                   "{s:s, s:s, s:I, s:I, s?I, s?b, s?b, s:s, s?I, s?b, s?I, "
                   "s?I, s?I}",
                   "account", &account, "class", &class, "tasks", &tasks,
                   "per_task", &per_task, "declared_ms", &declared_ms,
                   "repeatable", &repeatable, "preemptible", &preemptible,
                   "state", &state, "attempt", &attempt, "cancel", &cancel,
                   "progress_ms", &progress, "submitted_at", &submitted,
                   "lost_attempts", &lost))
    return CT_EINVAL;
  if (!in_range (tasks, 1, DC_MAX_TASKS)
      || !in_range (per_task, 0, DC_MAX_ACCELERATORS)
      || !in_range (attempt, 0, INT32_MAX / 2)
      || !in_range (lost, 0, INT32_MAX / 2) || strlen (account) >= CT_NAME)
    return CT_EINVAL;
  snprintf (job->account, CT_NAME, "%s", account);
  job->state = jb_parse_state (state);
  job->spec = (struct dc_job_spec){
    .class = strcmp (class, "urgent") ? DC_BULK : DC_URGENT,
    .tasks = (int32_t)tasks,
    .per_task = (int32_t)per_task,
    .declared_ms = declared_ms,
    .repeatable = repeatable,
    .preemptible = preemptible,
  };
  job->attempt = job->attempt_base = (int32_t)attempt;
  job->cancel = cancel;
  job->progress_ms = progress;
  job->lost_attempts = (int32_t)lost;
  job->submitted_ms = submitted;
  return CT_OK;
}

struct jb_job *
jb_new (const char *id, json_t *value, int64_t version, int *error)
{
  struct jb_job *job;

  *error = CT_EINVAL;
  if (strlen (id) >= CT_NAME)
    return NULL;
  job = calloc (1, sizeof *job);
  if (!job)
    {
      *error = CT_ENOMEM;
      return NULL;
    }
  snprintf (job->id, CT_NAME, "%s", id);
  job->row_text = json_dumps (value, JSON_COMPACT);
  job->version = version;
  job->handle = JB_NO_HANDLE;
  *error = job->row_text ? read_row (job, value) : CT_ENOMEM;
  if (!*error)
    return job;
  jb_free (job);
  return NULL;
}

static void
free_reported (struct jb_reported *seen)
{
  if (!seen)
    return;
  free (seen->place);
  free (seen->has_place);
  free (seen);
}

void
jb_free (struct jb_job *job)
{
  if (!job)
    return;
  free (job->row_text);
  json_decref (job->results);
  free_reported (job->reported);
  free (job);
}

json_t *
jb_parse_row (const struct jb_job *job)
{
  json_t *row = json_loads (job->row_text, 0, NULL);

  if (!row)
    abort (); /* the text is valid JSON, so memory ran out */
  return row;
}

void
jb_update_row (struct jb_job *job, json_t *fields)
{
  json_t *row = jb_parse_row (job);
  char *text;

  json_object_update (row, fields);
  text = json_dumps (row, JSON_COMPACT);
  if (!text)
    abort ();
  free (job->row_text);
  job->row_text = text;
  json_decref (row);
  json_decref (fields);
}

void
jb_set_state (struct jb_job *job, enum jb_state state, const char *reason)
{
  json_t *f = json_pack ("{s:s, s:i}", "state", jb_state_name (state),
                         "attempt", job->attempt);

  job->state = state;
  if (job->progress_ms)
    json_object_set_new (f, "progress_ms", json_integer (job->progress_ms));
  if (job->lost_attempts)
    json_object_set_new (f, "lost_attempts",
                         json_integer (job->lost_attempts));
  if (reason)
    json_object_set_new (f, "reason", json_string (reason));
  if (state == JB_QUEUED)
    json_object_set_new (f, "placement", json_array ());
  if (state == JB_DONE && job->results)
    json_object_set (f, "results", job->results);
  if (state >= JB_DONE)
    json_object_set_new (f, "ended_at", json_integer (bs_wall_ms ()));
  jb_update_row (job, f);
  job->dirty = 1;
}

static json_t *
print_accelerators (uint64_t mask)
{
  json_t *list = json_array ();

  for (int i = 0; i < DC_MAX_ACCELERATORS; i++)
    if (mask >> i & 1)
      json_array_append_new (list, json_integer (i));
  return list;
}

void
jb_set_placement (struct jb_job *job, const struct wk_gang *gang,
                  const char *(*worker_name) (void *arg, uint32_t), void *arg)
{
  json_t *list = json_array (), *row, *fields;

  for (int t = 0; t < gang->tasks; t++)
    json_array_append_new (
        list,
        json_pack ("{s:i, s:s, s:o}", "task", t, "worker",
                   worker_name (arg, gang->place[t].worker), "accelerators",
                   print_accelerators (gang->place[t].accelerators)));
  job->attempt = gang->attempt;
  row = jb_parse_row (job);
  fields = json_pack ("{s:o}", "placement", list);
  if (!json_integer_value (json_object_get (row, "started_at")))
    json_object_set_new (fields, "started_at", json_integer (bs_wall_ms ()));
  json_decref (row);
  jb_update_row (job, fields);
}

void
jb_set_result (struct jb_job *job, int task, json_t *result)
{
  if (!job->results)
    {
      job->results = json_array ();
      for (int t = 0; t < job->spec.tasks; t++)
        json_array_append_new (job->results, json_null ());
    }
  if (result)
    json_array_set (job->results, (size_t)task, result);
}

json_t *
jb_moved_row (const struct jb_job *job)
{
  json_t *row = json_pack ("{s:s, s:s, s:i}", "account", job->account,
                           "moved_to", job->move_to, "attempt", job->attempt);
  json_t *was = jb_parse_row (job), *key = json_object_get (was, "key");

  if (key)
    json_object_set (row, "key", key);
  json_decref (was);
  return row;
}

int
jb_is_live (const json_t *value)
{
  const char *state = json_string_value (json_object_get (value, "state"));

  return state && jb_parse_state (state) < JB_DONE;
}

int
jb_is_expired (const json_t *value, int64_t wall_ms, int64_t keep_ms)
{
  const char *state = json_string_value (json_object_get (value, "state"));
  int64_t ended = json_integer_value (json_object_get (value, "ended_at"));

  return state && jb_parse_state (state) >= JB_DONE && ended > 0
         && wall_ms - ended >= keep_ms;
}

static struct jb_reported *
new_reported (size_t tasks)
{
  struct jb_reported *seen = calloc (1, sizeof *seen);

  if (!seen)
    return NULL;
  seen->place = calloc (tasks, sizeof *seen->place);
  seen->has_place = calloc (tasks, 1);
  if (seen->place && seen->has_place)
    return seen;
  free_reported (seen);
  return NULL;
}

int
jb_note_task_started (struct jb_job *job, int32_t attempt, int task,
                      const struct dc_place *place)
{
  if (attempt < job->reported_attempt)
    return 0;
  if (attempt > job->reported_attempt)
    {
      free_reported (job->reported);
      job->reported = new_reported ((size_t)job->spec.tasks);
    }
  job->reported_attempt = attempt;
  if (!job->reported || task < 0 || task >= job->spec.tasks
      || job->reported->has_place[task])
    return 0;
  job->reported->has_place[task] = 1;
  job->reported->place[task] = *place;
  return ++job->reported->tasks_found == job->spec.tasks;
}

void
jb_merge_row (struct jb_job *job, const json_t *value, int64_t version)
{
  job->version = version;
  if (json_is_true (json_object_get (value, "cancel")))
    {
      job->cancel = 1;
      jb_update_row (job, json_pack ("{s:b}", "cancel", 1));
    }
}
