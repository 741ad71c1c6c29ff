/* Logs what the scheduler notes.  */
#include "batch/batch.h"

static void
log_lost_run (struct batch *b, const struct sj_note *n)
{
  const struct sj_run *run = &n->u.lost.run;
  struct lg_field f[] = { lg_str ("id", run->job),
                          lg_int ("occurrence", run->occurrence),
                          lg_int ("step", run->step),
                          lg_int ("task", run->index),
                          lg_int ("run", run->number),
                          lg_str ("worker", n->worker),
                          lg_str ("cause", sj_loss_name (n->u.lost.loss)),
                          lg_int ("neighbours", n->u.lost.neighbours),
                          lg_int ("crashes", n->u.lost.crashes),
                          lg_int ("unresolved", n->u.lost.unresolved) };

  lg_log (LG_RUN_LOST, 10, f);
  co_add (b, b->counters.lost_runs, 1);
}

static void
log_given_up (struct batch *b, const struct sj_note *n)
{
  const struct sj_run *run = &n->u.given_up.run;
  struct lg_field f[] = {
    lg_str ("id", run->job),     lg_int ("occurrence", run->occurrence),
    lg_int ("step", run->step),  lg_int ("task", run->index),
    lg_int ("run", run->number), lg_int ("crashes", n->u.given_up.crashes)
  };

  lg_log (LG_TASK_GIVEN_UP, 6, f);
  co_add (b, b->counters.given_up_tasks, 1);
}

static void
log_capacity (const struct sj_note *n)
{
  const struct sj_resources *c = &n->u.capacity.capacity;
  const struct sj_resources *used = &n->u.capacity.used;
  struct lg_field f[] = { lg_str ("worker", n->worker),
                          lg_int ("cpu_milli", c->cpu_milli),
                          lg_int ("memory_mb", c->memory_mb),
                          lg_int ("accelerators", c->accelerators),
                          lg_int ("used_cpu_milli", used->cpu_milli),
                          lg_int ("used_memory_mb", used->memory_mb),
                          lg_int ("used_accelerators", used->accelerators) };

  lg_log (LG_WORKER_CAPACITY, 7, f);
}

static void
log_speed (const struct sj_note *n)
{
  struct lg_field f[]
      = { lg_str ("worker", n->worker), lg_str ("was", n->u.speed.was),
          lg_str ("class", n->u.speed.is),
          lg_int ("speed_percent", n->u.speed.percent),
          lg_int ("samples", n->u.speed.samples) };

  lg_log (LG_WORKER_SPEED, 5, f);
}

static void
log_fleet (const struct sj_note *n)
{
  struct lg_field f[] = { lg_int ("uneven", n->u.fleet.is_uneven),
                          lg_int ("classes", n->u.fleet.classes),
                          lg_int ("spread_percent", n->u.fleet.spread_percent),
                          lg_int ("noise_percent", n->u.fleet.noise_percent),
                          lg_int ("fast", n->u.fleet.fast),
                          lg_int ("medium", n->u.fleet.medium),
                          lg_int ("slow", n->u.fleet.slow),
                          lg_int ("unknown", n->u.fleet.unknown) };

  lg_log (LG_FLEET_SPEEDS, 8, f);
}

static void
log_slow_kept (struct batch *b, const struct sj_note *n)
{
  const struct sj_run *run = &n->u.slow_kept.run;
  struct lg_field f[]
      = { lg_str ("id", run->job),
          lg_int ("occurrence", run->occurrence),
          lg_int ("step", run->step),
          lg_int ("task", run->index),
          lg_int ("run", run->number),
          lg_str ("worker", n->worker),
          lg_int ("pace_percent", n->u.slow_kept.pace_percent),
          lg_int ("worker_percent", n->u.slow_kept.worker_percent) };

  lg_log (LG_SLOW_RUN_KEPT, 8, f);
  co_add (b, b->counters.slow_kept, 1);
}

static void
log_fast_wait (struct batch *b, const struct sj_note *n)
{
  const struct sj_run *run = &n->u.fast_wait.run;
  struct lg_field f[]
      = { lg_str ("id", run->job), lg_int ("occurrence", run->occurrence),
          lg_int ("step", run->step), lg_int ("task", run->index),
          lg_int ("expected_ms", n->u.fast_wait.expected_ms) };

  lg_log (LG_FAST_WAIT, 5, f);
  co_add (b, b->counters.fast_waits, 1);
}

void
ba_on_note (void *arg, const struct sj_note *note)
{
  switch (note->kind)
    {
    case SJ_NOTE_RUN_LOST:
      log_lost_run (arg, note);
      break;
    case SJ_NOTE_TASK_GIVEN_UP:
      log_given_up (arg, note);
      break;
    case SJ_NOTE_CAPACITY:
      log_capacity (note);
      break;
    case SJ_NOTE_SPEED:
      log_speed (note);
      break;
    case SJ_NOTE_FLEET:
      log_fleet (note);
      break;
    case SJ_NOTE_SLOW_KEPT:
      log_slow_kept (arg, note);
      break;
    case SJ_NOTE_FAST_WAIT:
      log_fast_wait (arg, note);
      break;
    }
}
