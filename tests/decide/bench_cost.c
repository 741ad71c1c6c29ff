/* Measures the time of one event (apply and decide) and the bytes of state as
   the fleet doubles up to 26,000 workers with 58,000 accelerators, 330,000
   tasks and 490 accounts.  */
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "skr/decide.h"

enum
{
  EVENTS = 40000,
  FULL_WORKERS = 26000,
  FULL_ACCOUNTS = 490,
  FULL_TASKS = 330000,
  MAX_JOBS = 400000
};

struct job
{
  struct dc_job_spec spec;
  int32_t attempt;
  int running;
  uint32_t at; /* index in the list of running jobs */
};

struct bench
{
  struct dc *dc;
  gsl_rng *g;
  struct job *job;
  uint32_t *running;
  uint32_t jobs, runs, accounts;
  uint32_t *checkpointing, checkpoints, checkpoints_done; /* queue: jobs that
                                                             write a
                                                             checkpoint; added,
                                                             removed */
  int64_t *due_ms;
  int64_t now_ms;
  long tasks;
  int error;
};

static void
set_running (struct bench *b, uint32_t id, int run)
{
  struct job *j = &b->job[id];

  if (run == j->running)
    return;
  j->running = run;
  b->tasks += run ? j->spec.tasks : -j->spec.tasks;
  if (run)
    {
      j->at = b->runs;
      b->running[b->runs++] = id;
      return;
    }
  b->running[j->at] = b->running[--b->runs];
  b->job[b->running[j->at]].at = j->at;
}

static void
take_actions (struct bench *b)
{
  struct dc_action a;

  while (dc_take_action (b->dc, &a))
    if (a.kind == DC_ACT_START)
      {
        b->job[a.id].attempt = a.attempt;
        set_running (b, a.id, 1);
      }
    else if (a.kind == DC_ACT_PREEMPT)
      {
        set_running (b, a.id, 0);
        b->due_ms[b->checkpoints] = b->now_ms + DC_CHECKPOINT_MS;
        b->checkpointing[b->checkpoints++] = a.id;
      }
    else if (a.kind >= DC_ACT_REQUEUE && a.kind <= DC_ACT_REFUSED)
      set_running (b, a.id, 0);
}

static double
timed_event (struct bench *b, struct dc_event *e, int decide)
{
  struct timespec from, to;
  int error;

  e->at_ms = b->now_ms;
  clock_gettime (CLOCK_MONOTONIC, &from);
  error = dc_apply (b->dc, e);
  if (!error && decide)
    error = dc_decide (b->dc, b->now_ms);
  clock_gettime (CLOCK_MONOTONIC, &to);
  if (error)
    b->error = error;
  take_actions (b);
  return (double)(to.tv_sec - from.tv_sec) * 1e6
         + (double)(to.tv_nsec - from.tv_nsec) / 1e3;
}

static void
add_workers (struct bench *b, int workers)
{
  for (int i = 0; i < workers; i++)
    {
      struct dc_event e = { .kind = DC_EV_WORKER };
      int kind = i / 8 % 13;

      e.u.worker.id = (uint32_t)i;
      e.u.worker.rack = (uint32_t)i / 8;
      e.u.worker.domain = (uint32_t)(i / (workers / 11 / 8 * 8 + 8));
      e.u.worker.accelerators = kind < 2 ? 8 : kind < 8 ? 2 : 0;
      e.u.worker.slots = 16;
      timed_event (b, &e, 0);
    }
}

static double
submit (struct bench *b, int urgent)
{
  static const int n[] = { 1, 1, 1, 2, 2, 4, 8, 16, 32 };
  struct dc_event e = { .kind = DC_EV_SUBMIT };
  struct dc_job_spec *s = &e.u.submit.spec;
  int size = n[gsl_rng_uniform_int (b->g, urgent ? 7 : 9)];

  s->account = (uint32_t)gsl_rng_uniform_int (b->g, b->accounts);
  s->class = urgent ? DC_URGENT : DC_BULK;
  s->preemptible = !urgent;
  s->repeatable = 1;
  s->declared_ms = 3600000;
  s->per_task = gsl_rng_uniform (b->g) < 0.5 ? 0 : size >= 16 ? 8 : 1;
  s->tasks = s->per_task == 8 ? size / 8 : size;
  e.u.submit.id = b->jobs++;
  b->job[e.u.submit.id].spec = *s;
  return timed_event (b, &e, 1);
}

static double
finish_job (struct bench *b)
{
  uint32_t id = b->running[gsl_rng_uniform_int (b->g, b->runs)];
  struct dc_event e = { .kind = DC_EV_TASK_DONE };
  double us = 0;

  e.u.task.job = id;
  e.u.task.attempt = b->job[id].attempt;
  for (int32_t t = 0; t < b->job[id].spec.tasks; t++)
    {
      e.u.task.task = (uint32_t)t;
      us = timed_event (b, &e, t == b->job[id].spec.tasks - 1);
    }
  return us;
}

static double
finish_checkpoint (struct bench *b)
{
  uint32_t id = b->checkpointing[b->checkpoints_done++];
  struct dc_event e = { .kind = DC_EV_CHECKPOINTED };

  e.u.task.job = id;
  e.u.task.attempt = b->job[id].attempt;
  return timed_event (b, &e, 1);
}

static double
worker_event (struct bench *b, int workers)
{
  struct dc_event e = { .kind = DC_EV_WORKER_DOWN };
  uint32_t id = (uint32_t)gsl_rng_uniform_int (b->g, workers);
  int kind = (int)(id / 8 % 13);
  double us;

  e.u.worker_id = id;
  us = timed_event (b, &e, 1);
  e = (struct dc_event){ .kind = DC_EV_WORKER };
  e.u.worker.id = id;
  e.u.worker.rack = id / 8;
  e.u.worker.domain = id / ((uint32_t)workers / 11 / 8 * 8 + 8);
  e.u.worker.accelerators = kind < 2 ? 8 : kind < 8 ? 2 : 0;
  e.u.worker.slots = 16;
  timed_event (b, &e, 1);
  return us;
}

static int
checkpoint_due (const struct bench *b)
{
  return b->checkpoints_done < b->checkpoints
         && b->due_ms[b->checkpoints_done] <= b->now_ms;
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
add_plans (struct bench *b)
{
  for (uint32_t a = 0; a < b->accounts; a++)
    {
      struct dc_event e = { .kind = DC_EV_PLAN };

      e.u.plan.account = a;
      e.u.plan.version = 1;
      e.u.plan.shapes = 3;
      e.u.plan.shape[0] = (struct dc_shape){ 16, 1 };
      e.u.plan.shape[1] = (struct dc_shape){ 4, 3 };
      e.u.plan.shape[2] = (struct dc_shape){ 1, 20 };
      timed_event (b, &e, 0);
    }
}

static int
measure (int part)
{
  int workers = FULL_WORKERS / part;
  struct dc_config config
      = { .weight_completion = 1, .weight_fragmentation = 1 };
  struct bench b = { .g = gsl_rng_alloc (gsl_rng_mt19937) };
  double *us = malloc (EVENTS * sizeof *us), sum = 0;
  size_t idle_bytes;

  gsl_rng_set (b.g, 1);
  b.accounts = (uint32_t)(FULL_ACCOUNTS / part);
  b.job = calloc (MAX_JOBS, sizeof *b.job);
  b.running = malloc (MAX_JOBS * sizeof *b.running);
  b.checkpointing = malloc (MAX_JOBS * sizeof *b.checkpointing);
  b.due_ms = malloc (MAX_JOBS * sizeof *b.due_ms);
  b.dc = malloc (dc_size ());
  dc_init (b.dc, &config);
  add_workers (&b, workers);
  idle_bytes = dc_state_bytes (b.dc);
  add_plans (&b);
  while (b.tasks < FULL_TASKS / part && b.jobs < MAX_JOBS - EVENTS)
    {
      b.now_ms += 10;
      submit (&b, gsl_rng_uniform (b.g) < 0.1);
      while (checkpoint_due (&b))
        finish_checkpoint (&b);
    }
  for (int i = 0; i < EVENTS; i++)
    {
      double u = gsl_rng_uniform (b.g);

      b.now_ms += 20;
      us[i] = checkpoint_due (&b) ? finish_checkpoint (&b)
              : u < 0.45          ? finish_job (&b)
              : u < 0.999         ? submit (&b, u < 0.55)
                                  : worker_event (&b, workers);
      sum += us[i];
    }
  qsort (us, EVENTS, sizeof *us, by_value);
  printf ("%7d %8ld %7u %7u | %8.2f %8.2f %8.2f %9.2f | %9zu %6zu %6.1f | "
          "%d\n",
          workers, b.tasks, b.runs, b.jobs, us[EVENTS / 2], sum / EVENTS,
          us[EVENTS / 100 * 99], us[EVENTS - 1], dc_state_bytes (b.dc),
          idle_bytes / (size_t)workers,
          (double)(dc_state_bytes (b.dc) - idle_bytes) / b.jobs, b.error);
  dc_fini (b.dc);
  free (b.dc);
  free (b.job);
  free (b.running);
  free (b.checkpointing);
  free (b.due_ms);
  free (us);
  gsl_rng_free (b.g);
  return b.error;
}

int
main (void)
{
  int error = 0;

  printf ("workers    tasks running    jobs | us an event: p50 mean p99 max | "
          "bytes, of a worker, of a job | error\n");
  for (int part = 16; part >= 1; part /= 2)
    error |= measure (part);
  return error ? EXIT_FAILURE : EXIT_SUCCESS;
}
