/* Measures the time of a decision round of the step scheduler by the number of
   workers.  Before each round one job arrives and a few runs end.  In the
   second table the fleet is full and jobs of the kinds of a busy morning
   wait: urgent gangs, wide gangs and many single tasks.  The later tables are
   the same with the scheduler's options for hard load.  */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "skr/base.h"
#include "skr/steps.h"
#include "steps/state.h"

enum
{
  ROUNDS = 400,
  LARGE_CLUSTER_ROUNDS = 60, /* for large clusters, whose rounds are slow */
  ROUND_MS = 20,             /* simulated time per round */
  MAX_ENDS = 4,              /* runs that end before a round */
  MAX_DIRTY = 64,
  WORKERS_PER_RACK = 8,
  CALM_JOBS_PER_100_WORKERS = 80,
  OVERLOAD_JOBS_PER_100_WORKERS = 60, /* a third to a half of them wait */
  OVERLOAD_ROUNDS = 200,
  ACCOUNTS = 10, /* with fair shares */
  /* Capacity of a worker.  */
  CPU_MILLI = 128000,
  MEMORY_MB = 262144,
  ACCELERATORS = 8
};

struct bench
{
  struct sj_cluster *c;
  GRand *rand;
  int64_t now;
  int workers, jobs;
  int is_overloaded, many_accounts;
  GArray *running; /* struct running_task */
};

struct running_task
{
  char worker[16];
  struct sj_run run;
};

static void
on_order (void *arg, const struct sj_order *order)
{
  struct bench *b = arg;
  struct running_task p = { .run = order->run };

  if (order->kind != SJ_START)
    return;
  g_strlcpy (p.worker, order->worker, sizeof p.worker);
  g_array_append_val (b->running, p);
}

static void
add_worker (struct bench *b, int n)
{
  char id[16], rack[16];
  struct sj_worker_info info
      = { .id = id,
          .incarnation = 1,
          .service = "s",
          .kind = "k",
          .rack = rack,
          .capacity = { CPU_MILLI, MEMORY_MB, ACCELERATORS } };
  struct sj_listing empty = { .requested_ms = b->now };

  snprintf (id, sizeof id, "w%d", n);
  snprintf (rack, sizeof rack, "r%d", n / WORKERS_PER_RACK);
  sj_worker_set (b->c, &info, b->now);
  sj_worker_set_reachable (b->c, id, 1);
  sj_listing_apply (b->c, id, &empty, b->now);
}

/* Tasks and needs of the jobs of a busy morning, by priority.  */
static void
fill_overload_step (struct bench *b, struct sj_job *j, struct sj_step *s)
{
  static const int accelerators[] = { 1, 2, 4, 8, 8 };
  int kind = g_rand_int_range (b->rand, 0, 25);

  j->priority = kind < 20 ? 0 : kind < 22 ? 1 : 2;
  s->gang = j->priority < 2;
  s->one_rack = s->gang && g_rand_int_range (b->rand, 0, 10) < 7;
  s->checkpoints = j->priority > 0 && g_rand_int_range (b->rand, 0, 2);
  s->need.accelerators
      = j->priority < 2 ? accelerators[g_rand_int_range (b->rand, 0, 5)] : 1;
  switch (j->priority)
    {
    case 0:
      s->count = g_rand_int_range (b->rand, 2, 15);
      s->need.cpu_milli = 15000;
      s->need.memory_mb = 22000;
      break;
    case 1:
      s->count = g_rand_int_range (b->rand, 6, 47);
      s->need.cpu_milli = 52000;
      s->need.memory_mb = 140000;
      break;
    default:
      s->count = g_rand_int_range (b->rand, 16, 141);
      s->need.cpu_milli = 11000;
      s->need.memory_mb = 16000;
    }
}

static void
add_job (struct bench *b)
{
  struct sj_job *j = g_new0 (struct sj_job, 1);
  struct sj_step *s = g_new0 (struct sj_step, 1);

  snprintf (j->id, sizeof j->id, "%016x", (unsigned)++b->jobs);
  j->queue = g_strdup ("q");
  j->account = b->many_accounts ? g_strdup_printf ("a%d", b->jobs % ACCOUNTS)
                                : g_strdup ("a");
  j->service = g_strdup ("s");
  j->payload = g_strdup ("payload");
  j->priority = g_rand_int_range (b->rand, 0, 3);
  j->max_attempts = 3;
  j->stretch = 2;
  j->target_ms = 1000;
  j->step_count = 1;
  j->step = s;
  s->count = g_rand_int_range (b->rand, 4, 17);
  s->need = (struct sj_resources){ g_rand_int_range (b->rand, 2, 40) * 1000,
                                   g_rand_int_range (b->rand, 1, 32) * 1024,
                                   g_rand_int_range (b->rand, 1, 3) };
  s->estimate_ms = 10000;
  s->gang = g_rand_int_range (b->rand, 0, 3) == 0;
  if (b->is_overloaded)
    fill_overload_step (b, j, s);
  sj_job_add (b->c, j, NULL, 0, b->now);
}

/* Ends a random run as done.  Its worker lists that end and its other
   runs.  */
static void
end_random_run (struct bench *b)
{
  guint i = (guint)g_rand_int_range (b->rand, 0, (gint32)b->running->len);
  struct running_task p = g_array_index (b->running, struct running_task, i);
  struct sj_listed_run end
      = { .run = p.run, .end = SJ_END_DONE, .checkpoint = "" };
  GArray *remaining = g_array_new (FALSE, TRUE, sizeof (struct sj_listed_run));
  struct sj_listing list
      = { .requested_ms = b->now, .end_count = 1, .ends = &end };

  g_array_remove_index_fast (b->running, i);
  for (guint k = 0; k < b->running->len; k++)
    {
      const struct running_task *q
          = &g_array_index (b->running, struct running_task, k);
      struct sj_listed_run run
          = { .run = q->run, .percent = 10, .checkpoint = "" };

      if (!strcmp (q->worker, p.worker))
        g_array_append_val (remaining, run);
    }
  list.run_count = (int)remaining->len;
  list.runs = (struct sj_listed_run *)(void *)remaining->data;
  sj_listing_apply (b->c, p.worker, &list, b->now);
  g_array_free (remaining, TRUE);
}

static void
commit_records (struct bench *b)
{
  struct sj_dirty dirty[MAX_DIRTY];
  guint before = b->running->len;
  int n;

  while ((n = sj_dirty (b->c, dirty, MAX_DIRTY)) > 0)
    {
      for (int i = 0; i < n; i++)
        json_decref (dirty[i].record);
      sj_committed (b->c, 1, b->now);
    }
  for (guint i = before; i < b->running->len; i++)
    {
      const struct running_task *p
          = &g_array_index (b->running, struct running_task, i);

      sj_start_answered (b->c, p->worker, &p->run, SJ_EXECUTED, b->now);
    }
}

/* Teaches the scheduler that a quarter of the workers is slow.  */
static void
teach_speeds (struct bench *b)
{
  const struct sp_worker centre = { .samples = 0 };
  const struct sp_worker other = { .samples = 0 };
  const struct sp_sibling sibling[] = { { 1, &centre }, { 1, &other } };

  for (guint i = 0; i < b->c->worker_list->len; i++)
    {
      struct worker *w = g_ptr_array_index (b->c->worker_list, i);

      w->speed_incarnation = w->incarnation;
      for (uint32_t k = 0; k < SP_SAMPLES; k++)
        sp_observe (&w->speed, k,
                    (i % 4 ? 1 : 0.46)
                        * g_rand_double_range (b->rand, 0.8, 1.2),
                    sibling, 2, b->now);
    }
}

static int
by_value (const void *a, const void *b)
{
  const gint64 *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

/* Prints the round times for WORKERS workers that begin with INITIAL_JOBS
   jobs.  */

/* A load and the scheduler's options.  */
struct scenario
{
  const char *title;
  int is_overloaded, many_accounts;
  struct sj_settings settings;
};

static void
measure_rounds (const struct scenario *sc, int workers, int initial_jobs)
{
  struct bench b
      = { .rand = g_rand_new_with_seed (1),
          .now = 1000,
          .workers = workers,
          .is_overloaded = sc->is_overloaded,
          .many_accounts = sc->many_accounts,
          .running = g_array_new (FALSE, TRUE, sizeof (struct running_task)) };
  int rounds = workers > 1000 ? LARGE_CLUSTER_ROUNDS : ROUNDS;
  gint64 *us = g_new (gint64, MAX (rounds, OVERLOAD_ROUNDS)), median;

  if (sc->is_overloaded)
    rounds = OVERLOAD_ROUNDS;
  b.c = sj_new (&sc->settings, on_order, &b);
  sj_set_guarantee (b.c, "a", workers);
  for (int i = 0; i < ACCOUNTS && sc->many_accounts; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "a%d", i);
      sj_set_guarantee (b.c, name, workers / ACCOUNTS);
    }
  for (int i = 0; i < workers; i++)
    add_worker (&b, i);
  if (sc->settings.speed_aware)
    teach_speeds (&b);
  for (int i = 0; i < initial_jobs; i++)
    add_job (&b);
  sj_decide (b.c, b.now, b.now);
  commit_records (&b);
  for (int r = 0; r < rounds; r++)
    {
      gint64 begin;

      b.now += ROUND_MS;
      add_job (&b);
      for (int e = 0; e < MAX_ENDS && b.running->len > 0; e++)
        end_random_run (&b);
      begin = g_get_monotonic_time ();
      sj_decide (b.c, b.now, b.now);
      us[r] = g_get_monotonic_time () - begin;
      commit_records (&b);
    }
  qsort (us, (size_t)rounds, sizeof *us, by_value);
  median = us[rounds / 2];
  printf ("%8d %8d %8u %10.3f %10.3f\n", workers, b.jobs, b.running->len,
          (double)median / 1000, (double)us[rounds - 1] / 1000);
  sj_free (b.c);
  g_rand_free (b.rand);
  g_array_free (b.running, TRUE);
  g_free (us);
}

static const struct scenario overloads[] = {
  { "full fleet, a busy morning", 1, 0, { .off_rack_factor = 3 } },
  { "ten accounts", 1, 1, { .off_rack_factor = 3 } },
  { "ten accounts, fair shares",
    1,
    1,
    { .off_rack_factor = 3, .fair_share = 1 } },
  { "learned speeds, a quarter of the workers slow",
    1,
    0,
    { .off_rack_factor = 3, .speed_aware = 1 } },
  { "few stops and forecast headroom",
    1,
    0,
    { .off_rack_factor = 3,
      .headroom_forecast = 1,
      .reclaim_ms = 2700,
      .stop_ms = 200,
      .checkpoint_interval_ms = 1000 } },
  { "all of these",
    1,
    1,
    { .off_rack_factor = 3,
      .fair_share = 1,
      .speed_aware = 1,
      .headroom_forecast = 1,
      .reclaim_ms = 2700,
      .stop_ms = 200,
      .checkpoint_interval_ms = 1000 } },
};

int
main (void)
{
  static const struct scenario calm
      = { .title = "", .settings = { .off_rack_factor = 3 } };
  static const int calm_workers[] = { 48, 350, 3000, 26000 };
  static const int workers[] = { 48, 350, 1100, 3000 };

  printf ("%8s %8s %8s %10s %10s\n", "workers", "jobs", "runs", "median ms",
          "worst ms");
  for (gsize i = 0; i < G_N_ELEMENTS (calm_workers); i++)
    measure_rounds (&calm, calm_workers[i],
                    calm_workers[i] * CALM_JOBS_PER_100_WORKERS / 100);
  for (gsize k = 0; k < G_N_ELEMENTS (overloads); k++)
    {
      printf ("%s\n", overloads[k].title);
      for (gsize i = 0; i < G_N_ELEMENTS (workers); i++)
        measure_rounds (&overloads[k], workers[i],
                        workers[i] * OVERLOAD_JOBS_PER_100_WORKERS / 100);
    }
  return 0;
}
