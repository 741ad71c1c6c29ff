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
    }
}
