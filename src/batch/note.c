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

static void
log_preempted (struct batch *b, const struct sj_note *n)
{
  struct lg_field f[] = { lg_str ("id", n->u.preempted.job),
                          lg_int ("tasks", n->u.preempted.tasks),
                          lg_int ("victims", n->u.preempted.victims),
                          lg_int ("runs", n->u.preempted.runs),
                          lg_int ("lost_core_ms", n->u.preempted.lost_core_ms),
                          lg_int ("waited_ms", n->u.preempted.waited_ms),
                          lg_str ("reason", n->u.preempted.reason) };

  lg_log (LG_PREEMPTED, 7, f);
  co_add (b, b->counters.preemptions, 1);
}

static void
log_wait (struct batch *b, const struct sj_note *n)
{
  struct lg_field f[]
      = { lg_str ("id", n->u.waits.job), lg_int ("tasks", n->u.waits.tasks),
          lg_int ("until_ms", n->u.waits.until_ms) };

  lg_log (LG_PREEMPTION_AVOIDED, 3, f);
  co_add (b, b->counters.preemptions_avoided, 1);
}

static void
log_headroom (const struct sj_note *n)
{
  struct lg_field f[]
      = { lg_int ("kept", n->u.headroom.kept),
          lg_int ("used", n->u.headroom.used),
          lg_int ("idle", n->u.headroom.idle),
          lg_int ("forecast", n->u.headroom.is_forecast),
          lg_int ("jobs_per_10s", (int64_t)(n->u.headroom.jobs_per_s * 10)),
          lg_int ("peak_per_10s", (int64_t)(n->u.headroom.peak_per_s * 10)) };

  lg_log (LG_HEADROOM, 6, f);
}

static void
log_overdue_stop (const struct sj_note *n)
{
  const struct sj_run *run = &n->u.overdue.run;
  struct lg_field f[] = { lg_str ("id", run->job),
                          lg_int ("occurrence", run->occurrence),
                          lg_int ("step", run->step),
                          lg_int ("task", run->index),
                          lg_int ("run", run->number),
                          lg_str ("worker", n->worker),
                          lg_int ("since_ms", n->u.overdue.since_ms) };

  lg_log (LG_STOP_OVERDUE, 7, f);
}

static void
count_stopped (struct batch *b, const struct sj_note *n)
{
  co_add (b, b->counters.stopped_runs[n->u.stopped.cause], n->u.stopped.runs);
  co_add (b, b->counters.lost_core_ms, n->u.stopped.lost_core_ms);
}

static void
log_passed_over (struct batch *b, const struct sj_note *n)
{
  const struct sj_account_share *a = &n->u.passed_over.account;
  const struct sj_account_share *h = &n->u.passed_over.ahead;
  struct lg_field f[]
      = { lg_str ("id", n->u.passed_over.job),
          lg_int ("step", n->u.passed_over.step),
          lg_str ("account", a->name),
          lg_int ("share_permille", a->share_permille),
          lg_int ("entitled_permille", a->entitled_permille),
          lg_int ("waited_ms", n->u.passed_over.waited_ms),
          lg_str ("ahead", n->u.passed_over.ahead_job),
          lg_str ("ahead_account", h->name),
          lg_int ("ahead_share_permille", h->share_permille),
          lg_int ("ahead_entitled_permille", h->entitled_permille),
          lg_int ("ahead_slack_ms", n->u.passed_over.ahead_slack_ms),
          lg_int ("ahead_wait_ms", n->u.passed_over.ahead_wait_ms) };

  lg_log (LG_PASSED_OVER, 12, f);
  co_add (b, b->counters.passed_over_jobs, 1);
}

static void
log_account_share (const struct sj_note *n)
{
  const struct sj_account_share *a = &n->u.account;
  struct lg_field f[] = { lg_str ("account", a->name),
                          lg_int ("over", a->is_over),
                          lg_int ("share_permille", a->share_permille),
                          lg_int ("entitled_permille", a->entitled_permille),
                          lg_int ("weight", a->weight),
                          lg_int ("running", a->running),
                          lg_int ("waiting", a->waiting) };

  lg_log (LG_ACCOUNT_SHARE, 7, f);
}

static void
log_weight (const struct sj_note *n)
{
  struct lg_field f[] = { lg_str ("account", n->u.weight.account),
                          lg_int ("weight", n->u.weight.weight) };

  lg_log (LG_ACCOUNT_WEIGHT, 2, f);
}

static void
log_scarcity (const struct sj_note *n)
{
  struct lg_field f[] = { lg_int ("scarce", n->u.scarce.is_scarce),
                          lg_int ("waiting", n->u.scarce.waiting) };

  lg_log (LG_CAPACITY_SCARCE, 2, f);
}

static void
log_checkpoint (const struct sj_note *n)
{
  const struct sj_run *run = &n->u.checkpoint.run;
  struct lg_field f[] = { lg_str ("id", run->job),
                          lg_int ("occurrence", run->occurrence),
                          lg_int ("step", run->step),
                          lg_int ("task", run->index),
                          lg_int ("run", run->number),
                          lg_int ("bytes", n->u.checkpoint.bytes),
                          lg_int ("limit", SJ_MAX_CHECKPOINT) };

  lg_log (LG_CHECKPOINT_NOT_KEPT, 7, f);
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
    case SJ_NOTE_PREEMPTED:
      log_preempted (arg, note);
      break;
    case SJ_NOTE_WAITS:
      log_wait (arg, note);
      break;
    case SJ_NOTE_HEADROOM:
      log_headroom (note);
      break;
    case SJ_NOTE_STOP_OVERDUE:
      log_overdue_stop (note);
      break;
    case SJ_NOTE_STOPPED:
      count_stopped (arg, note);
      break;
    case SJ_NOTE_PASSED_OVER:
      log_passed_over (arg, note);
      break;
    case SJ_NOTE_ACCOUNT_SHARE:
      log_account_share (note);
      break;
    case SJ_NOTE_WEIGHT:
      log_weight (note);
      break;
    case SJ_NOTE_SCARCE:
      log_scarcity (note);
      break;
    case SJ_NOTE_CHECKPOINT:
      log_checkpoint (note);
      break;
    }
}
