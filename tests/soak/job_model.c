#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak/job_model.h"

enum
{
  MAX_PRINTED = 30,
  LINE_SIZE = 400,
  MAX_ATTEMPTS = 3
};

void
bk_lock (struct bk_book *book)
{
  pthread_mutex_lock (&book->lock);
}

void
bk_unlock (struct bk_book *book)
{
  pthread_mutex_unlock (&book->lock);
}

void
bk_breach (struct bk_book *book, const char *format, ...)
{
  char line[LINE_SIZE];
  va_list args;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  if (__atomic_add_fetch (&book->breaches, 1, __ATOMIC_RELAXED) > MAX_PRINTED)
    return;
  printf ("BREACH seed %llu at %lld ms: %s\n", (unsigned long long)book->seed,
          (long long)(sf_now () - book->begun_ms), line);
  fflush (stdout);
}

void
bk_init (struct bk_book *book, uint64_t seed)
{
  memset (book, 0, sizeof *book);
  pthread_mutex_init (&book->lock, NULL);
  book->jobs = g_ptr_array_new ();
  book->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  book->begun_ms = sf_now ();
  book->seed = seed;
}

void
bk_fini (struct bk_book *book)
{
  for (guint i = 0; i < book->jobs->len; i++)
    {
      struct bk_job *j = book->jobs->pdata[i];

      sj_job_free (j->job);
      free (j->body);
      g_free (j);
    }
  g_ptr_array_free (book->jobs, TRUE);
  g_hash_table_destroy (book->by_id);
}

static void
fill_step (struct sj_step *s, GRand *rand, int i)
{
  s->count = g_rand_int_range (rand, 1, BK_MAX_COUNT + 1);
  s->need.cpu_milli = g_rand_int_range (rand, 1, 8) * 1000;
  s->need.memory_mb = g_rand_int_range (rand, 1, 5) * 1024;
  s->need.accelerators = g_rand_int_range (rand, 0, 5);
  s->after = i > 0 ? (uint64_t)1 << (i - 1) : 0;
  s->gang = g_rand_int_range (rand, 0, 4) == 0;
  s->saves = g_rand_int_range (rand, 0, 3) == 0;
}

struct bk_job *
bk_new_job (struct bk_book *book, GRand *rand)
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
  job->steps = g_rand_int_range (rand, 1, BK_MAX_STEPS + 1);
  job->step = g_new0 (struct sj_step, job->steps);
  j->fails = g_rand_int_range (rand, 0, 30) == 0;
  for (int i = 0; i < job->steps; i++)
    {
      fill_step (&job->step[i], rand, i);
      j->work_ms[i] = g_rand_int_range (rand, 30, urgent ? 300 : 900);
      job->step[i].estimate_ms = j->work_ms[i];
    }
  j->body = sf_job_body (job);
  bk_lock (book);
  g_ptr_array_add (book->jobs, j);
  g_hash_table_insert (book->by_id, job->id, j);
  bk_unlock (book);
  return j;
}

struct bk_job *
bk_some_job (struct bk_book *book, GRand *rand)
{
  struct bk_job *j = NULL;
  guint n;

  bk_lock (book);
  n = book->jobs->len;
  if (n > 0)
    j = book->jobs->pdata[g_rand_int_range (rand, 0, (gint32)n)];
  bk_unlock (book);
  return j;
}

static struct bk_task *
task_of (struct bk_book *book, const struct sj_run *run, struct bk_job **job)
{
  struct bk_job *j = g_hash_table_lookup (book->by_id, run->job);

  *job = j;
  if (!j || run->occurrence != 0 || run->step < 0 || run->step >= j->job->steps
      || run->index < 0 || run->index >= j->job->step[run->step].count)
    return NULL;
  return &j->task[run->step][run->index];
}

static int
step_done (const struct bk_job *j, int step)
{
  for (int i = 0; i < j->job->step[step].count; i++)
    if (!j->task[step][i].done)
      return 0;
  return 1;
}

static int
checkpoint_is_its (const struct sj_order *o, const struct sj_step *step)
{
  char prefix[SJ_CHECKPOINT];
  size_t n;

  if (!*o->checkpoint)
    return 1;
  n = (size_t)snprintf (prefix, sizeof prefix, "%s.%d.%d.%d=", o->run.job,
                        o->run.occurrence, o->run.step,
                        step->gang ? 0 : o->run.index);
  return step->saves && !strncmp (o->checkpoint, prefix, n);
}

/* Every attempt to hand it in was answered by a refusal, and none follows.  */
static int
was_refused (const struct bk_job *j)
{
  return j->closed && !j->accepted && !j->unanswered;
}

/* The promise that a start breaks, or NULL.  */
static const char *
wrong_start (const struct bk_job *j, const struct bk_task *t,
             const struct sj_order *o)
{
  const struct sj_step *step = &j->job->step[o->run.step];

  if (strcmp (o->payload, j->job->payload) != 0)
    return "started with another payload";
  if (!checkpoint_is_its (o, step))
    return "started from a checkpoint that is not its own";
  if (t->noted)
    return "started again after its end was let go";
  if (t->runs > 0)
    return "runs twice";
  if (o->run.number <= t->last)
    return "started with a number that was used";
  if (t->failed_noted >= j->job->max_attempts)
    return "started after its last attempt";
  if (step->after && !step_done (j, o->run.step - 1))
    return "started before the step that it waits for was done";
  if (j->cancelled_ms && sf_now () - j->cancelled_ms > BK_CANCEL_MS)
    return "started long after its job was cancelled";
  if (was_refused (j))
    return "started, and its job was refused as not run";
  return NULL;
}

static void
on_start (void *arg, const struct sj_order *o, int worker,
          struct sf_work *work)
{
  struct bk_book *book = arg;
  struct bk_job *j;
  struct bk_task *t;
  const char *wrong;

  bk_lock (book);
  t = task_of (book, &o->run, &j);
  wrong = t ? wrong_start (j, t, o) : "is of no job that was handed in";
  if (wrong)
    bk_breach (book, "task %s.%d.%d run %lld on worker %d %s", o->run.job,
               o->run.step, o->run.index, (long long)o->run.number, worker,
               wrong);
  if (t)
    {
      const struct sj_step *step = &j->job->step[o->run.step];

      *work = (struct sf_work){ .known = 1,
                                .work_ms = j->work_ms[o->run.step],
                                .members = step->gang ? step->count : 0,
                                .fails = j->fails,
                                .saves = step->saves,
                                .need = step->need };
      t->runs++;
      t->last = MAX (t->last, o->run.number);
      j->starts++;
    }
  bk_unlock (book);
}

static void
on_end (void *arg, const struct sj_run *run, int worker, enum sj_end how)
{
  struct bk_book *book = arg;
  struct bk_job *j;
  struct bk_task *t;

  (void)worker;
  bk_lock (book);
  t = task_of (book, run, &j);
  if (t)
    {
      t->runs--;
      t->done += how == SJ_END_DONE;
      t->failed += how == SJ_END_FAILED;
    }
  bk_unlock (book);
}

static void
on_noted (void *arg, const struct sj_run *run, enum sj_end how, int lapsed)
{
  struct bk_book *book = arg;
  struct bk_job *j;
  struct bk_task *t;

  bk_lock (book);
  t = task_of (book, run, &j);
  if (t && how == SJ_END_FAILED)
    t->failed_noted++;
  if (t && how == SJ_END_DONE && !lapsed)
    {
      if (t->last > run->number)
        bk_breach (book,
                   "task %s.%d.%d was started as run %lld, and the end of "
                   "run %lld was let go later",
                   run->job, run->step, run->index, (long long)t->last,
                   (long long)run->number);
      t->noted = 1;
    }
  bk_unlock (book);
}

static void
on_gone (void *arg, const struct sj_run *run, int worker)
{
  struct bk_book *book = arg;
  struct bk_job *j;
  struct bk_task *t;

  (void)worker;
  bk_lock (book);
  t = task_of (book, run, &j);
  if (t)
    t->runs--;
  bk_unlock (book);
}

static void
on_breach (void *arg, const char *text)
{
  bk_breach (arg, "%s", text);
}

void
bk_watch (struct bk_book *book, struct sf_watch *out)
{
  *out = (struct sf_watch){ book,     on_start, on_end,
                            on_noted, on_gone,  on_breach };
}

static int
all_done (const struct bk_job *j)
{
  for (int s = 0; s < j->job->steps; s++)
    if (!step_done (j, s))
      return 0;
  return 1;
}

/* A gang's attempts are counted for all its members together.  */
static int
step_ran_out (const struct bk_job *j, int step)
{
  int most = 0, sum = 0;

  for (int i = 0; i < j->job->step[step].count; i++)
    {
      most = MAX (most, j->task[step][i].failed);
      sum += j->task[step][i].failed;
    }
  return (j->job->step[step].gang ? sum : most) >= j->job->max_attempts;
}

static int
ran_out (const struct bk_job *j)
{
  for (int s = 0; s < j->job->steps; s++)
    if (step_ran_out (j, s))
      return 1;
  return 0;
}

void
bk_shown (struct bk_book *book, struct bk_job *j, enum sj_state state)
{
  bk_lock (book);
  if (state == SJ_COMPLETED && !all_done (j))
    bk_breach (book, "job %s is shown as completed before all of it is done",
               j->job->id);
  if (state == SJ_FAILED && !ran_out (j))
    bk_breach (book, "job %s is shown as failed without a cause", j->job->id);
  if (state == SJ_CANCELLED && !j->cancel_sent_ms)
    bk_breach (book, "job %s is shown as cancelled, and nobody asked for it",
               j->job->id);
  if (was_refused (j))
    bk_breach (book, "job %s is shown, and was refused", j->job->id);
  if (state >= SJ_COMPLETED)
    j->ended = 1;
  bk_unlock (book);
}

void
bk_denied (struct bk_book *book, struct bk_job *j, int64_t sent_ms,
           const char *vm)
{
  bk_lock (book);
  if (j->accepted && sent_ms - j->accepted_ms > BK_VISIBLE_MS)
    bk_breach (book, "job %s was accepted, and %s does not know it",
               j->job->id, vm);
  bk_unlock (book);
}

static int
must_end (const struct bk_job *j)
{
  return j->accepted && !j->ended;
}

int
bk_open (struct bk_book *book)
{
  int open = 0;

  bk_lock (book);
  for (guint i = 0; i < book->jobs->len; i++)
    open += must_end (book->jobs->pdata[i]);
  bk_unlock (book);
  return open;
}

void
bk_check_end (struct bk_book *book)
{
  bk_lock (book);
  for (guint i = 0; i < book->jobs->len; i++)
    {
      const struct bk_job *j = book->jobs->pdata[i];

      if (must_end (j))
        bk_breach (book,
                   "job %s was accepted and has not ended (%d starts, "
                   "all done: %d)",
                   j->job->id, j->starts, all_done (j));
      if (was_refused (j) && j->starts)
        bk_breach (book, "job %s was refused as not run, and ran", j->job->id);
    }
  bk_unlock (book);
}
