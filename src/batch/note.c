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
    }
}
