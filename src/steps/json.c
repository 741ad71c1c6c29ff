/* Names of errors, causes, ends and states; validation of jobs and their
   stored form as JSON.  */
#include <stdlib.h>
#include <string.h>

#include "steps/state.h"

/* Bounds of a job's times, so that sums and products of them keep within
   their type.  */
static const int64_t max_time_ms = INT64_C (100) * 365 * 86400 * 1000,
                     max_due_ms = INT64_C (10000) * 365 * 86400 * 1000;

const char *
sj_strerror (int error)
{
  switch ((enum sj_error)error)
    {
    case SJ_OK:
      return "success";
    case SJ_EINVAL:
      return "invalid job or record";
    case SJ_EEXIST:
      return "job already exists";
    case SJ_EUNKNOWN:
      return "no such job or worker";
    }
  return "unknown error";
}

const char *
sj_cause_name (enum sj_cause cause)
{
  static const char *const names[]
      = { "",        "preempted", "still",     "slow",     "leaving",
          "partial", "unheard",   "job ended", "stranger", "done elsewhere" };

  return names[cause];
}

const char *
sj_end_name (enum sj_end end)
{
  static const char *const names[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

  return names[end];
}

static const char *const state_names[]
    = { "queued", "running", "completed", "failed", "cancelled" };

const char *
sj_state_name (enum sj_state state)
{
  return state_names[state];
}

int
sj_state_parse (const char *name)
{
  for (int i = 0; i <= SJ_CANCELLED; i++)
    if (name && !strcmp (name, state_names[i]))
      return i;
  return SJ_EINVAL;
}

void
sj_job_free (struct sj_job *job)
{
  if (!job)
    return;
  for (int i = 0; i < job->step_count; i++)
    {
      g_free (job->step[i].label);
      g_free (job->step[i].data_rack);
      g_free (job->step[i].image);
    }
  g_free (job->step);
  g_free (job->queue);
  g_free (job->account);
  g_free (job->service);
  g_free (job->payload);
  g_free (job);
}

static int
check_step (const struct sj_job *job, int n, const char **reason)
{
  const struct sj_step *s = &job->step[n];

  if (s->count < 1 || s->count > SJ_MAX_STEP_TASKS)
    *reason = "a step has no tasks or too many";
  else if (s->need.cpu_milli < 0 || s->need.memory_mb < 0
           || s->need.accelerators < 0)
    *reason = "a need is negative";
  else if (s->need.cpu_milli > SJ_MAX_NEED || s->need.memory_mb > SJ_MAX_NEED
           || s->need.accelerators > SJ_MAX_NEED)
    *reason = "a need is larger than any worker";
  else if (s->estimate_ms > max_time_ms || s->latency_target_ms > max_time_ms)
    *reason = "a time of a step is too long";
  else if (n < SJ_MAX_STEPS && s->depends_on >> n)
    *reason = "a step waits for itself or a later one";
  else if (s->max_per_worker < 0 || s->max_unavailable < 0
           || s->estimate_ms < 0)
    *reason = "a number of a step is negative";
  else
    return SJ_OK;
  return SJ_EINVAL;
}

static int
is_text (const char *text)
{
  return !text || g_utf8_validate (text, -1, NULL);
}

static size_t
text_size (const char *text)
{
  return text ? strlen (text) : 0;
}

/* Whether all texts of JOB can be stored as they are.  */
static int
check_texts (const struct sj_job *job, const char **reason)
{
  int are_text = is_text (job->queue) && is_text (job->account)
                 && is_text (job->service) && is_text (job->payload);
  size_t size = 0;

  for (int i = 0; i < job->step_count; i++)
    {
      const struct sj_step *s = &job->step[i];

      are_text = are_text && is_text (s->label) && is_text (s->data_rack)
                 && is_text (s->image);
      size += text_size (s->label) + text_size (s->data_rack)
              + text_size (s->image);
    }
  if (!are_text)
    *reason = "a text is not valid UTF-8";
  else if (text_size (job->payload) > SJ_MAX_PAYLOAD)
    *reason = "the payload is too long";
  else if (size > SJ_MAX_STEP_TEXTS)
    *reason = "the labels, racks and images are too long";
  return *reason ? SJ_EINVAL : SJ_OK;
}

int
sj_job_tasks (const struct sj_job *job)
{
  int tasks = 0;

  for (int i = 0; i < job->step_count; i++)
    tasks += job->step[i].count;
  return tasks;
}

int
sj_job_check (const struct sj_job *job, const char **reason)
{
  int error = SJ_OK;

  *reason = NULL;
  if (strspn (job->id, "0123456789abcdefABCDEF") != SJ_ID_SIZE - 1
      || job->id[SJ_ID_SIZE - 1])
    *reason = "the id is not 16 hexadecimal digits";
  else if (job->step_count < 1 || job->step_count > SJ_MAX_STEPS)
    *reason = "a job has no steps or too many";
  else if (job->occurrences < 0 || job->occurrences > SJ_MAX_OCCURRENCES
           || (job->occurrences > 1 && job->interval_ms < 1)
           || job->interval_ms > max_time_ms || job->first_due_ms > max_due_ms
           || job->first_due_ms < -max_due_ms)
    *reason = "the occurrences can't be planned";
  if (*reason || check_texts (job, reason))
    return SJ_EINVAL;
  for (int i = 0; i < job->step_count && !error; i++)
    error = check_step (job, i, reason);
  if (error || sj_job_tasks (job) <= SJ_MAX_TASKS)
    return error;
  *reason = "a job has too many tasks";
  return SJ_EINVAL;
}

int64_t
sj_job_critical_path_ms (const struct sj_job *job)
{
  int64_t end[SJ_MAX_STEPS], longest = 0;

  for (int i = 0; i < job->step_count; i++)
    {
      int64_t start = 0;

      for (int k = 0; k < i; k++)
        if (job->step[i].depends_on >> k & 1 && end[k] > start)
          start = end[k];
      end[i] = start + job->step[i].estimate_ms;
      if (end[i] > longest)
        longest = end[i];
    }
  return longest;
}

static void
set_int (json_t *o, const char *name, int64_t value)
{
  if (value)
    json_object_set_new (o, name, json_integer (value));
}

static void
set_text (json_t *o, const char *name, const char *value)
{
  if (value)
    json_object_set_new (o, name, json_string (value));
}

static json_t *
step_to_json (const struct sj_step *s)
{
  json_t *o = json_object ();

  set_int (o, "count", s->count);
  set_int (o, "cpu", s->need.cpu_milli);
  set_int (o, "memory", s->need.memory_mb);
  set_int (o, "accelerators", s->need.accelerators);
  set_int (o, "estimate", s->estimate_ms);
  set_int (o, "after", (int64_t)s->depends_on);
  set_text (o, "label", s->label);
  set_text (o, "data_rack", s->data_rack);
  set_text (o, "image", s->image);
  set_int (o, "max_per_worker", s->max_per_worker);
  set_int (o, "latency", s->latency_target_ms);
  set_int (o, "max_away", s->max_unavailable);
  set_int (o, "gang", s->gang);
  set_int (o, "one_rack", s->one_rack);
  set_int (o, "saves", s->checkpoints);
  set_int (o, "copies", s->allows_copies);
  set_int (o, "lasts", s->is_continuous);
  set_int (o, "filler", s->filler);
  return o;
}

json_t *
sj_job_to_json (const struct sj_job *job)
{
  json_t *o = json_object (), *steps = json_array ();

  set_text (o, "id", job->id);
  set_text (o, "queue", job->queue);
  set_text (o, "account", job->account);
  set_text (o, "service", job->service);
  set_text (o, "payload", job->payload);
  set_int (o, "priority", job->priority);
  set_int (o, "attempts", job->max_attempts);
  json_object_set_new (o, "stretch", json_real (job->stretch));
  set_int (o, "target", job->target_ms);
  set_int (o, "first_due", job->first_due_ms);
  set_int (o, "interval", job->interval_ms);
  set_int (o, "times", job->occurrences);
  for (int i = 0; i < job->step_count; i++)
    json_array_append_new (steps, step_to_json (&job->step[i]));
  json_object_set_new (o, "steps", steps);
  return o;
}

static int64_t
get_int (const json_t *o, const char *name)
{
  return json_integer_value (json_object_get (o, name));
}

static char *
get_text (const json_t *o, const char *name)
{
  return g_strdup (json_string_value (json_object_get (o, name)));
}

static void
step_from_json (struct sj_step *s, const json_t *o)
{
  s->count = (int)get_int (o, "count");
  s->need.cpu_milli = get_int (o, "cpu");
  s->need.memory_mb = get_int (o, "memory");
  s->need.accelerators = get_int (o, "accelerators");
  s->estimate_ms = get_int (o, "estimate");
  s->depends_on = (uint64_t)get_int (o, "after");
  s->label = get_text (o, "label");
  s->data_rack = get_text (o, "data_rack");
  s->image = get_text (o, "image");
  s->max_per_worker = (int)get_int (o, "max_per_worker");
  s->latency_target_ms = get_int (o, "latency");
  s->max_unavailable = (int)get_int (o, "max_away");
  s->gang = get_int (o, "gang") != 0;
  s->one_rack = get_int (o, "one_rack") != 0;
  s->checkpoints = get_int (o, "saves") != 0;
  s->allows_copies = get_int (o, "copies") != 0;
  s->is_continuous = get_int (o, "lasts") != 0;
  s->filler = get_int (o, "filler") != 0;
}

struct sj_job *
sj_job_from_json (const json_t *value)
{
  struct sj_job *job = g_new0 (struct sj_job, 1);
  const json_t *steps = json_object_get (value, "steps");
  const char *id = json_string_value (json_object_get (value, "id"));
  const char *reason;

  if (id && strlen (id) < sizeof job->id)
    memcpy (job->id, id, strlen (id));
  job->queue = get_text (value, "queue");
  job->account = get_text (value, "account");
  job->service = get_text (value, "service");
  job->payload = get_text (value, "payload");
  job->priority = (int)get_int (value, "priority");
  job->max_attempts = (int)get_int (value, "attempts");
  job->stretch = json_number_value (json_object_get (value, "stretch"));
  job->target_ms = get_int (value, "target");
  job->first_due_ms = get_int (value, "first_due");
  job->interval_ms = get_int (value, "interval");
  job->occurrences = (int)get_int (value, "times");
  job->step_count = (int)json_array_size (steps);
  if (job->step_count > SJ_MAX_STEPS)
    job->step_count = 0;
  job->step = g_new0 (struct sj_step, job->step_count + 1);
  for (int i = 0; i < job->step_count; i++)
    step_from_json (&job->step[i], json_array_get (steps, (size_t)i));
  if (!sj_job_check (job, &reason) && job->service && job->payload)
    return job;
  sj_job_free (job);
  return NULL;
}
