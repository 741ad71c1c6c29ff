/* The load.  */
#include <math.h>
#include <stdio.h>

#include "steps/fake_load.h"

enum
{
  PERIOD_MS = 15000, /* of the oscillation */
  FLEETS = 5
};

const struct fl_kind fl_urgent
    = { 0, 5, 3700, 9800, 1, 8, 2100, 7.73 / 5, 0.55 };
const struct fl_kind fl_batch_wide
    = { 1, 13, 13000, 26000, 1, 8, 7200, 1.82 / 5, 0 };
const struct fl_kind fl_batch_narrow
    = { 2, 39, 2800, 5700, 1, 1, 8100, 1.43 / 5, 0 };

void
fl_format_id (char id[SJ_ID_SIZE], int number)
{
  snprintf (id, SJ_ID_SIZE, "%016x", (unsigned)number);
}

void
fl_submit (struct fl_load *l, const struct fl_kind *k)
{
  int gpus = k->least_gpus;
  struct sj_job *job;
  struct sj_step *s;

  if (l->jobs + 1 >= FL_MAX_JOBS)
    return;
  if (k->most_gpus > k->least_gpus)
    gpus = 1 << g_rand_int_range (l->rand, 0, 4);
  job = fa_new_job ((unsigned)++l->jobs, k->priority, k->tasks, gpus,
                    k->run_ms);
  s = &job->step[0];
  s->need = (struct sj_resources){ k->cpu_milli, k->memory_mb, gpus };
  s->gang = k->priority == 0;
  s->checkpoints
      = k->priority > 0 && g_rand_double (l->rand) < l->checkpointing;
  g_free (job->account);
  job->account = g_strdup (l->account);
  job->stretch = k->priority ? 3 : 1.5;
  job->target_ms = k->priority ? 1000 * k->priority : 250;
  l->is_urgent[l->jobs] = k->priority == 0 && !strcmp (l->account, "a");
  l->urgent_jobs += l->is_urgent[l->jobs];
  fa_submit (l->cluster, job);
}

/* Submits what arrives in one tick.  */
static void
arrive (struct fl_load *l, const struct fl_kind *k, double factor)
{
  double phase = 2 * G_PI * (double)(l->cluster->now % PERIOD_MS) / PERIOD_MS;
  double rate = k->per_s * factor * (1 + k->swing * sin (phase));

  if (g_rand_double (l->rand) < rate * FL_TICK_MS / 1000)
    fl_submit (l, k);
}

void
fl_set (struct sj_settings *settings)
{
  settings->headroom_forecast = 1;
  settings->reclaim_ms = FL_RECLAIM_MS;
  settings->stop_ms = FL_STOP_MS;
  settings->checkpoint_interval_ms = FL_CHECKPOINT_MS;
}

static void
count_preempted (void *arg, const struct sj_note *note)
{
  struct fl_load *l = arg;

  if (note->kind == SJ_NOTE_STOPPED && note->u.stopped.cause == SJ_PREEMPTED)
    l->preempted += note->u.stopped.runs;
}

void
fl_init (struct fl_load *l, struct fa_cluster *f, unsigned seed,
         double checkpointing)
{
  *l = (struct fl_load){ .cluster = f,
                         .checkpointing = checkpointing,
                         .rand = g_rand_new_with_seed (seed),
                         .account = "a" };
  fa_init (f, FL_WORKERS, FL_PER_RACK, seed);
  for (int i = 0; i < FL_WORKERS; i++)
    f->worker[i].capacity = (struct sj_resources){ 32000, 65536, 8 };
  f->checkpoint_interval_ms = FL_CHECKPOINT_MS;
  f->run_scatter = 0.25;
  fl_set (&f->settings);
  fa_take_over (f);
  sj_set_note_fn (f->scheduler, count_preempted, l);
  sj_set_guarantee (f->scheduler, "a", FL_GUARANTEED);
}

void
fl_fini (struct fl_load *l)
{
  g_rand_free (l->rand);
  fa_fini (l->cluster);
}

static int
count_late (const struct fl_load *l)
{
  int late = 0;

  for (int i = 1; i <= l->jobs; i++)
    {
      char id[SJ_ID_SIZE];
      int64_t took;

      fl_format_id (id, i);
      if (!l->is_urgent[i])
        continue;
      took = fa_completion_ms (l->cluster, id);
      late += took < 0 || took > fl_urgent.run_ms * 3 / 2 + 250;
    }
  return late;
}

void
fl_run (struct fl_load *l, int64_t ms, double urgent_factor,
        double batch_factor)
{
  for (int64_t until = l->cluster->now + ms; l->cluster->now < until;)
    {
      arrive (l, &fl_urgent, urgent_factor);
      arrive (l, &fl_batch_wide, batch_factor);
      arrive (l, &fl_batch_narrow, batch_factor);
      fa_run_ms (l->cluster, FL_TICK_MS);
    }
}

static void
add_day (struct fl_total *t, const struct fl_load *l)
{
  const struct fa_cluster *f = l->cluster;

  t->starts += f->starts;
  t->stopped += f->stopped_runs;
  t->preempted += l->preempted;
  t->late += count_late (l);
  t->urgent_jobs += l->urgent_jobs;
  t->lost_core_s += f->lost_core_s;
  t->done_core_s += f->done_core_s;
}

void
fl_play_oscillation (struct fl_total *t, struct fa_cluster *f)
{
  static struct fl_load l;

  *t = (struct fl_total){ 0 };
  for (unsigned seed = 1; seed <= FLEETS; seed++)
    {
      fl_init (&l, f, seed, 0.45);
      fl_run (&l, 60000, 2.5, 2.2);
      fa_run_ms (f, 5000);
      add_day (t, &l);
      fl_fini (&l);
    }
}

void
fl_play_bursts (struct fl_total *t, struct fa_cluster *f)
{
  static struct fl_load l;

  *t = (struct fl_total){ 0 };
  for (unsigned seed = 1; seed <= FLEETS; seed++)
    {
      fl_init (&l, f, seed, 0.45);
      fl_run (&l, 20000, 1, 2.2);
      fl_run (&l, 4000, 3, 2.2);
      fl_run (&l, 20000, 1, 2.2);
      fa_run_ms (f, 5000);
      add_day (t, &l);
      fl_fini (&l);
    }
}

void
fl_print (const struct fl_total *t)
{
  printf ("\n%d starts, %d stopped, %d of them preempted, lost %.0f of %.0f "
          "core s, late %d of %d ",
          t->starts, t->stopped, t->preempted, t->lost_core_s,
          t->lost_core_s + t->done_core_s, t->late, t->urgent_jobs);
}
