#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak/job_model.h"

enum
{
  MAX_PRINTED = 30,
  LINE_SIZE = 400,
  MAX_ATTEMPTS = 3,
  DEADLY_ONE_IN = 40, /* jobs */
  CRASH_MS = 100,     /* work of a deadly task until its worker crashes */
  CRASHES_BEFORE_LIMIT = 3,
  STARTS_AFTER_LIMIT = 2, /* of a deadly task after so many crashes */
  CRASHES_TO_GIVE_UP = 2  /* with fewer, a task may not be given up */
};

void
bk_lock (struct bk_model *model)
{
  pthread_mutex_lock (&model->lock);
}

void
bk_unlock (struct bk_model *model)
{
  pthread_mutex_unlock (&model->lock);
}

void
bk_report_violation (struct bk_model *model, const char *format, ...)
{
  char line[LINE_SIZE];
  va_list args;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  if (__atomic_add_fetch (&model->violations, 1, __ATOMIC_RELAXED)
      > MAX_PRINTED)
    return;
  printf ("BREACH seed %llu at %lld ms: %s\n", (unsigned long long)model->seed,
          (long long)(sf_now_ms () - model->started_ms), line);
  fflush (stdout);
}

void
bk_init (struct bk_model *model, uint64_t seed)
{
  memset (model, 0, sizeof *model);
  pthread_mutex_init (&model->lock, NULL);
  model->jobs = g_ptr_array_new ();
  model->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  model->started_ms = sf_now_ms ();
  model->seed = seed;
  model->gangs = 1;
  /* Its own, so that a seed plays the same jobs without it.  */
  model->deadly_rand = g_rand_new_with_seed ((guint32)~seed);
}

void
bk_fini (struct bk_model *model)
{
  for (guint i = 0; i < model->jobs->len; i++)
    {
      struct bk_job *j = model->jobs->pdata[i];

      sj_job_free (j->job);
      free (j->body);
      g_free (j);
    }
  g_ptr_array_free (model->jobs, TRUE);
  g_hash_table_destroy (model->by_id);
  g_rand_free (model->deadly_rand);
}

static void
init_random_step (struct sj_step *s, GRand *rand, int i, int gangs)
{
  s->count = g_rand_int_range (rand, 1, BK_MAX_TASKS + 1);
  s->need.cpu_milli = g_rand_int_range (rand, 1, 8) * 1000;
  s->need.memory_mb = g_rand_int_range (rand, 1, 5) * 1024;
  s->need.accelerators = g_rand_int_range (rand, 0, 5);
  s->depends_on = i > 0 ? (uint64_t)1 << (i - 1) : 0;
  s->gang = g_rand_int_range (rand, 0, 4) < gangs;
  s->checkpoints = g_rand_int_range (rand, 0, 3) == 0;
}

struct bk_job *
bk_add_random_job (struct bk_model *model, GRand *rand)
{
  struct bk_job *j = g_new0 (struct bk_job, 1);
  struct sj_job *job = g_new0 (struct sj_job, 1);
  int urgent = g_rand_int_range (rand, 0, 2);

  j->job = job;
  bs_random_hex (job->id, 8);
  job->queue = g_strdup (urgent ? "desk" : "night");
  job->service = g_strdup ("studio");
  job->account = g_strdup ("a");
  job->payload = g_strdup_printf ("payload of %s", job->id);
  job->max_attempts = MAX_ATTEMPTS;
  job->step_count = g_rand_int_range (rand, 1, BK_MAX_STEPS + 1);
  job->step = g_new0 (struct sj_step, job->step_count);
  j->fails = g_rand_int_range (rand, 0, 30) == 0;
  for (int i = 0; i < job->step_count; i++)
    {
      init_random_step (&job->step[i], rand, i, model->gangs);
      j->work_ms[i] = g_rand_int_range (rand, 30, urgent ? 300 : 900);
      job->step[i].estimate_ms = j->work_ms[i];
    }
  j->body = sf_encode_job (job);
  bk_lock (model);
  j->is_deadly = g_rand_int_range (model->deadly_rand, 0, DEADLY_ONE_IN) == 0
                 && !model->none_deadly;
  g_ptr_array_add (model->jobs, j);
  g_hash_table_insert (model->by_id, job->id, j);
  bk_unlock (model);
  return j;
}

struct bk_job *
bk_add_aborting_job (struct bk_model *model)
{
  GRand *rand = g_rand_new_with_seed ((guint32)model->seed);
  struct bk_job *j = bk_add_random_job (model, rand);

  bk_lock (model);
  j->is_aborting = 1;
  j->is_deadly = 0;
  g_free (j->job->payload);
  j->job->payload = g_strdup ("abort");
  free (j->body);
  j->body = sf_encode_job (j->job);
  bk_unlock (model);
  g_rand_free (rand);
  return j;
}

struct bk_job *
bk_pick_job (struct bk_model *model, GRand *rand)
{
  struct bk_job *j = NULL;
  guint n;

  bk_lock (model);
  n = model->jobs->len;
  if (n > 0)
    j = model->jobs->pdata[g_rand_int_range (rand, 0, (gint32)n)];
  bk_unlock (model);
  return j;
}

static struct bk_task *
find_task (struct bk_model *model, const struct sj_run *run,
           struct bk_job **job)
{
  struct bk_job *j = g_hash_table_lookup (model->by_id, run->job);

  *job = j;
  if (!j || run->occurrence != 0 || run->step < 0
      || run->step >= j->job->step_count || run->index < 0
      || run->index >= j->job->step[run->step].count)
    return NULL;
  return &j->task[run->step][run->index];
}

static int
step_is_done (const struct bk_job *j, int step)
{
  for (int i = 0; i < j->job->step[step].count; i++)
    if (!j->task[step][i].done)
      return 0;
  return 1;
}

static int
is_own_checkpoint (const struct sj_order *o, const struct sj_step *step)
{
  char prefix[SF_CHECKPOINT_SIZE];
  size_t n;

  if (!*o->checkpoint)
    return 1;
  n = (size_t)snprintf (prefix, sizeof prefix, "%s.%d.%d.%d=", o->run.job,
                        o->run.occurrence, o->run.step,
                        step->gang ? 0 : o->run.index);
  return step->checkpoints && !strncmp (o->checkpoint, prefix, n);
}

/* Returns whether every submit attempt was refused and none follows.  */
static int
was_refused (const struct bk_job *j)
{
  return j->submit_finished && !j->accepted_submits && !j->unanswered_submits;
}

static int
is_deadly_task (const struct bk_job *j, const struct sj_run *run)
{
  return j->is_deadly && run->step == 0 && run->index == 0;
}

/* Returns the guarantee that a start violates, or NULL.  */
static const char *
check_start (const struct bk_job *j, const struct bk_task *t,
             const struct sj_order *o)
{
  const struct sj_step *step = &j->job->step[o->run.step];

  if (strcmp (o->payload, j->job->payload) != 0)
    return "started with another payload";
  if (!is_own_checkpoint (o, step))
    return "started from a checkpoint that is not its own";
  if (t->done_acknowledged)
    return "started again after its end was acknowledged";
  if (t->runs > 0)
    return "runs twice";
  if (o->run.number <= t->last_number)
    return "started with a number that was used";
  if (t->failed_acknowledged >= j->job->max_attempts)
    return "started after its last attempt";
  if (step->depends_on && !step_is_done (j, o->run.step - 1))
    return "started before the step that it waits for was done";
  if (j->cancelled_ms && sf_now_ms () - j->cancelled_ms > BK_CANCEL_GRACE_MS)
    return "started long after its job was cancelled";
  if (is_deadly_task (j, &o->run) && t->late_starts >= STARTS_AFTER_LIMIT)
    return "started again after it has crashed three workers";
  if (was_refused (j))
    return "started, and its job was refused as not run";
  return NULL;
}

static void
on_start (void *arg, const struct sj_order *o, int worker,
          struct sf_work *work)
{
  struct bk_model *model = arg;
  struct bk_job *j;
  struct bk_task *t;
  const char *violation;

  bk_lock (model);
  t = find_task (model, &o->run, &j);
  violation = t ? check_start (j, t, o) : "belongs to no submitted job";
  if (violation)
    bk_report_violation (model, "task %s.%d.%d%s run %lld on worker %d %s",
                         o->run.job, o->run.step, o->run.index,
                         t && j->job->step[o->run.step].gang ? " of a gang"
                                                             : "",
                         (long long)o->run.number, worker, violation);
  if (t)
    {
      const struct sj_step *step = &j->job->step[o->run.step];

      *work = (struct sf_work){ .known = 1,
                                .work_ms = j->work_ms[o->run.step],
                                .members = step->gang ? step->count : 0,
                                .fails = j->fails,
                                .crash_ms
                                = is_deadly_task (j, &o->run) ? CRASH_MS : 0,
                                .checkpoints = step->checkpoints,
                                .need = step->need };
      model->twice += t->runs > 0;
      t->runs++;
      t->late_starts += t->crashes >= CRASHES_BEFORE_LIMIT;
      t->last_number = MAX (t->last_number, o->run.number);
      j->starts++;
    }
  bk_unlock (model);
}

static void
on_end (void *arg, const struct sj_run *run, int worker, enum sj_end how)
{
  struct bk_model *model = arg;
  struct bk_job *j;
  struct bk_task *t;

  (void)worker;
  bk_lock (model);
  t = find_task (model, run, &j);
  if (t)
    {
      t->runs--;
      t->done += how == SJ_END_DONE;
      t->failed += how == SJ_END_FAILED;
    }
  bk_unlock (model);
}

static void
on_acknowledged (void *arg, const struct sj_run *run, enum sj_end how,
                 int lapsed)
{
  struct bk_model *model = arg;
  struct bk_job *j;
  struct bk_task *t;

  bk_lock (model);
  t = find_task (model, run, &j);
  if (t && how == SJ_END_FAILED)
    t->failed_acknowledged++;
  if (t && how == SJ_END_DONE && !lapsed)
    {
      if (t->last_number > run->number)
        bk_report_violation (
            model,
            "task %s.%d.%d was started as run %lld, and the end of "
            "run %lld was acknowledged later",
            run->job, run->step, run->index, (long long)t->last_number,
            (long long)run->number);
      t->done_acknowledged = 1;
    }
  bk_unlock (model);
}

static void
on_lost (void *arg, const struct sj_run *run, int worker)
{
  struct bk_model *model = arg;
  struct bk_job *j;
  struct bk_task *t;

  (void)worker;
  bk_lock (model);
  t = find_task (model, run, &j);
  if (t)
    {
      t->runs--;
      t->crashes++;
    }
  bk_unlock (model);
}

static void
on_violation (void *arg, const char *text)
{
  bk_report_violation (arg, "%s", text);
}

void
bk_init_observer (struct bk_model *model, struct sf_observer *out)
{
  *out = (struct sf_observer){ model,           on_start, on_end,
                               on_acknowledged, on_lost,  on_violation };
}

static int
is_done (const struct bk_job *j)
{
  for (int s = 0; s < j->job->step_count; s++)
    if (!step_is_done (j, s))
      return 0;
  return 1;
}

/* Returns whether a step has used all its attempts.  The attempts of a gang
   are counted over all its members.  */
static int
step_is_exhausted (const struct bk_job *j, int step)
{
  int most = 0, sum = 0;

  for (int i = 0; i < j->job->step[step].count; i++)
    {
      most = MAX (most, j->task[step][i].failed);
      sum += j->task[step][i].failed;
    }
  return (j->job->step[step].gang ? sum : most) >= j->job->max_attempts;
}

/* Returns whether workers have crashed under a task, so that it may be given
   up.  */
static int
step_has_crashes (const struct bk_job *j, int step)
{
  for (int i = 0; i < j->job->step[step].count; i++)
    if (j->task[step][i].crashes >= CRASHES_TO_GIVE_UP)
      return 1;
  return 0;
}

static int
is_exhausted (const struct bk_job *j)
{
  for (int s = 0; s < j->job->step_count; s++)
    if (step_is_exhausted (j, s) || step_has_crashes (j, s))
      return 1;
  return 0;
}

void
bk_check_state (struct bk_model *model, struct bk_job *j, enum sj_state state)
{
  bk_lock (model);
  if (state == SJ_COMPLETED && !is_done (j))
    bk_report_violation (
        model, "job %s is shown as completed before all of it is done",
        j->job->id);
  if (state == SJ_FAILED && !is_exhausted (j))
    bk_report_violation (model, "job %s is shown as failed without a cause",
                         j->job->id);
  if (state == SJ_CANCELLED && !j->cancel_sent_ms)
    bk_report_violation (
        model, "job %s is shown as cancelled, but no client requested it",
        j->job->id);
  if (was_refused (j))
    bk_report_violation (model, "job %s is shown, and was refused",
                         j->job->id);
  if (state >= SJ_COMPLETED)
    j->ended = 1;
  bk_unlock (model);
}

void
bk_check_not_found (struct bk_model *model, struct bk_job *j, int64_t sent_ms,
                    const char *vm)
{
  bk_lock (model);
  if (j->accepted_submits && sent_ms - j->accepted_ms > BK_VISIBILITY_MS)
    bk_report_violation (model, "job %s was accepted, and %s does not know it",
                         j->job->id, vm);
  bk_unlock (model);
}

static int
must_end (const struct bk_job *j)
{
  return j->accepted_submits && !j->ended && !j->is_aborting;
}

int
bk_count_open (struct bk_model *model)
{
  int open = 0;

  bk_lock (model);
  for (guint i = 0; i < model->jobs->len; i++)
    open += must_end (model->jobs->pdata[i]);
  bk_unlock (model);
  return open;
}

void
bk_check_end (struct bk_model *model)
{
  bk_lock (model);
  for (guint i = 0; i < model->jobs->len; i++)
    {
      const struct bk_job *j = model->jobs->pdata[i];

      if (must_end (j))
        bk_report_violation (
            model,
            "job %s was accepted and has not ended (%d starts, "
            "all done: %d)",
            j->job->id, j->starts, is_done (j));
      if (was_refused (j) && j->starts)
        bk_report_violation (model, "job %s was refused as not run, and ran",
                             j->job->id);
    }
  bk_unlock (model);
}
