/* The scheduler with learned worker speeds, on workers of two speeds, with
   noise, with declared run times that are wrong, and with some runs that take
   seven times as long.  */
#include <stdio.h>
#include <string.h>

#include "steps/fake_cluster.h"
#include "steps/state.h"
#include "suite.h"

enum
{
  WORKERS = 64,
  PER_RACK = 16,
  SETTLE_MS = 2000,    /* until the capacities are known */
  LEARN_MS = 15000,    /* of load before a check */
  MEASURED_MS = 40000, /* of load that is compared */
  RELEARN_MS = 10000,  /* after a take-over, under load */
  STEP_MS = 100
};

static struct fa_cluster cluster;
static unsigned jobs;

static void
expect_no_violations (const struct fa_cluster *f)
{
  if (f->violations)
    printf ("\n%s\n", f->first_violation);
  CU_ASSERT_EQUAL (f->violations, 0);
}

/* A cluster of workers of 32 cores, a quarter of them at SLOW of the declared
   speed and the others at 1.2.  */
static void
set_up (unsigned seed, int aware, double slow)
{
  fa_init (&cluster, WORKERS, PER_RACK, seed);
  cluster.run_times = (struct fa_run_times){ 0.2, 0.03, 1.9, 1 };
  jobs = 0;
  for (int i = 0; i < WORKERS; i++)
    {
      cluster.worker[i].speed = i % 4 ? 1.2 : slow;
      cluster.worker[i].capacity = (struct sj_resources){ 32000, 64000, 8 };
    }
  sj_free (cluster.scheduler);
  cluster.settings.speed_aware = aware;
  cluster.scheduler = NULL;
  fa_take_over (&cluster);
  sj_set_guarantee (cluster.scheduler, "a", 200);
  fa_run_ms (&cluster, SETTLE_MS);
}

static unsigned
submit (int priority, int count, int accelerators, int64_t cpu_milli,
        int64_t memory_mb, int64_t run_ms)
{
  struct sj_job *job
      = fa_new_job (++jobs, priority, count, accelerators, run_ms);

  job->step[0].need
      = (struct sj_resources){ cpu_milli, memory_mb, accelerators };
  job->step[0].gang = priority == 0;
  job->step[0].checkpoints = priority && jobs % 2;
  job->target_ms = priority == 0 ? 250 : priority == 1 ? 1000 : 3000;
  fa_submit (&cluster, job);
  return jobs;
}

/* Adds the jobs of STEP_MS of a load of 64 workers in the proportions of a
   busy deployment.  */
static void
add_load (GRand *rand)
{
  if (g_rand_double (rand) < 0.14)
    submit (0, 5, g_rand_int_range (rand, 1, 5), 3700, 9800, 2100);
  if (g_rand_double (rand) < 0.026)
    submit (1, 13, g_rand_int_range (rand, 1, 5), 13000, 26000, 7200);
  if (g_rand_double (rand) < 0.02)
    submit (2, 39, 1, 2800, 5700, 8100);
}

static void
run_load (GRand *rand, int64_t ms)
{
  for (int64_t t = 0; t < ms; t += STEP_MS)
    {
      add_load (rand);
      fa_run_ms (&cluster, STEP_MS);
    }
}

/* What the scheduler knows of the workers.  */
struct knowledge
{
  int seen; /* have shown a run */
  int classed, right;
};

static struct knowledge
check_classes (void)
{
  struct knowledge n = { 0, 0, 0 };

  for (int i = 0; i < WORKERS; i++)
    {
      const struct worker *w
          = wo_find (cluster.scheduler, cluster.worker[i].id);
      enum sp_class class = sd_class (cluster.scheduler, w);

      n.seen += w->speed.samples > 0;
      n.classed += class != SP_UNKNOWN;
      n.right += class == (cluster.worker[i].speed < 1 ? SP_SLOW : SP_FAST);
    }
  return n;
}

/* Urgent jobs submitted so far that ended late or not at all.  Those of the
   last seconds may still run.  */
static int
late_urgent_jobs (int *all)
{
  int late = 0;

  *all = 0;
  for (unsigned i = 1; i <= jobs; i++)
    {
      char id[SJ_ID_SIZE];
      const struct sj_job *job;
      int64_t took;

      snprintf (id, sizeof id, "%016x", i);
      job = g_hash_table_lookup (cluster.jobs, id);
      took = fa_completion_ms (&cluster, id);
      if (job->priority)
        continue;
      ++*all;
      late += took < 0
              || took > job->stretch * job->step[0].estimate_ms
                            + job->target_ms;
    }
  return late;
}

/* Result of the same load with and without the model.  */
struct outcome
{
  int late, urgent, needless_moves, stopped;
};

static struct outcome
measure (unsigned seed, int aware)
{
  GRand *rand = g_rand_new_with_seed (seed);
  struct outcome o;

  set_up (seed, aware, 0.5);
  run_load (rand, LEARN_MS + MEASURED_MS);
  fa_run_ms (&cluster, 6000);
  o.late = late_urgent_jobs (&o.urgent);
  o.needless_moves = cluster.needless_moves;
  o.stopped = cluster.stopped;
  printf ("\nseed %u aware %d: late %d of %d urgent, %d runs moved although "
          "only the worker was slow, %d runs stopped of %d",
          seed, aware, o.late, o.urgent, o.needless_moves, o.stopped,
          cluster.starts);
  if (aware)
    CU_ASSERT (check_classes ().right * 10 >= WORKERS * 9);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
  g_rand_free (rand);
  return o;
}

/* Guards against moves off workers that are merely of a slow class, and
   against urgent gangs that include one.  */
static void
test_load_on_two_speeds (void)
{
  for (unsigned seed = 1; seed <= 3; seed++)
    {
      struct outcome before = measure (seed, 0), after = measure (seed, 1);

      CU_ASSERT (before.needless_moves > 0);
      CU_ASSERT_EQUAL (after.needless_moves, 0);
      CU_ASSERT (after.late <= before.late);
      CU_ASSERT (after.stopped < before.stopped);
    }
}

/* Runs of job NUMBER on workers of the declared speed or more, and others.  */
static void
count_by_speed (unsigned number, int *fast, int *slow)
{
  char id[SJ_ID_SIZE];

  snprintf (id, sizeof id, "%016x", number);
  *fast = *slow = 0;
  for (int i = 0; i < WORKERS; i++)
    for (guint k = 0; k < cluster.worker[i].runs->len; k++)
      if (!strcmp (
              g_array_index (cluster.worker[i].runs, struct fa_run, k).run.job,
              id))
        ++*(cluster.worker[i].speed < 1 ? slow : fast);
}

/* Urgent gangs take fast workers, a batch gang as many slow ones as it
   needs.  */
static void
test_work_goes_to_its_class (void)
{
  GRand *rand = g_rand_new_with_seed (5);
  unsigned urgent, batch;
  int fast, slow;

  set_up (5, 1, 0.5);
  cluster.run_times = (struct fa_run_times){ 0.15, 0, 1, 1 };
  run_load (rand, LEARN_MS);
  fa_run_ms (&cluster, 60000);
  batch = submit (2, 20, 1, 2800, 5700, 20000);
  urgent = submit (0, 24, 8, 3700, 9800, 2100);
  fa_run_ms (&cluster, 500);
  count_by_speed (urgent, &fast, &slow);
  CU_ASSERT_EQUAL (fast, 24);
  CU_ASSERT_EQUAL (slow, 0);
  count_by_speed (batch, &fast, &slow);
  CU_ASSERT_EQUAL (fast, 0);
  CU_ASSERT_EQUAL (slow, 20);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
  g_rand_free (rand);
}

/* Speeds within a factor of 1.25 must have no effect.  */
static void
test_even_fleet_stays_even (void)
{
  GRand *rand = g_rand_new_with_seed (6);

  set_up (6, 1, 1.0);
  for (int t = 0; t < 60; t++)
    {
      run_load (rand, 1000);
      CU_ASSERT (!cluster.scheduler->fleet.is_uneven);
    }
  fa_fini (&cluster);
  g_rand_free (rand);
}

/* A worker that is slower than any usual class, and was not seen before, must
   still be left.  */
static void
test_sick_worker_is_left (void)
{
  GRand *rand = g_rand_new_with_seed (7);
  struct sj_job *gang = fa_new_job (1000, 0, 4, 8, 4000);
  int sick = 0;

  set_up (7, 1, 0.5);
  run_load (rand, LEARN_MS);
  fa_run_ms (&cluster, 60000);
  cluster.run_times = (struct fa_run_times){ 0.15, 0, 1, 1 };
  gang->step[0].gang = 1;
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, 200);
  for (int i = 0; i < WORKERS && !sick; i++)
    if (cluster.worker[i].runs->len)
      {
        cluster.worker[i].speed = 0.1;
        sick = 1;
      }
  CU_ASSERT (sick);
  fa_run_ms (&cluster, 10000);
  CU_ASSERT (cluster.needless_moves > 0);
  CU_ASSERT_EQUAL (fa_state (&cluster, "00000000000003e8"), SJ_COMPLETED);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
  g_rand_free (rand);
}

/* While the fast workers are expected to be free soon, an urgent gang that
   would miss its objective on slow ones must wait for them, but no longer than
   a guaranteed job may.  */
static void
test_urgent_gang_waits_for_fast_workers (void)
{
  GRand *rand = g_rand_new_with_seed (9);
  unsigned urgent;
  int fast, slow;

  set_up (9, 1, 0.5);
  cluster.run_times = (struct fa_run_times){ .gang_waits = 1 };
  run_load (rand, 2 * LEARN_MS);
  fa_run_ms (&cluster, 30000);
  submit (0, WORKERS * 3 / 4, 8, 3700, 9800, 2100);
  fa_run_ms (&cluster, 1300);
  urgent = submit (0, 5, 8, 3700, 9800, 2100);
  fa_run_ms (&cluster, 900);
  count_by_speed (urgent, &fast, &slow);
  CU_ASSERT_EQUAL (fast, 5);
  CU_ASSERT_EQUAL (slow, 0);
  CU_ASSERT (cluster.scheduler->fast_waits > 0);
  /* Without a fast worker in time, it starts on slow ones at once.  */
  submit (0, WORKERS * 3 / 4 - 5, 8, 3700, 9800, 8000);
  fa_run_ms (&cluster, 3000);
  urgent = submit (0, 5, 8, 3700, 9800, 2100);
  fa_run_ms (&cluster, 300);
  count_by_speed (urgent, &fast, &slow);
  CU_ASSERT_EQUAL (fast + slow, 5);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
  g_rand_free (rand);
}

/* A new holder knows no speeds.  Within a few seconds it must know half of the
   workers that have shown a run, and nine in ten of these correctly.  */
static void
test_take_over_learns_again (void)
{
  GRand *rand = g_rand_new_with_seed (8);
  int64_t took = 0, all_ms = 0;
  struct knowledge k;

  set_up (8, 1, 0.5);
  run_load (rand, LEARN_MS + MEASURED_MS);
  fa_take_over (&cluster);
  sj_set_guarantee (cluster.scheduler, "a", 200);
  CU_ASSERT_EQUAL (check_classes ().classed, 0);
  for (; took < 4 * RELEARN_MS && !all_ms; took += 500)
    {
      k = check_classes ();
      if (took == RELEARN_MS)
        {
          CU_ASSERT (k.classed * 2 >= k.seen);
          CU_ASSERT (k.right * 10 >= k.classed * 9);
          printf ("\n%d ms after the take-over: %d workers seen, %d classed, "
                  "%d correctly",
                  (int)took, k.seen, k.classed, k.right);
        }
      if (k.seen * 2 > WORKERS && k.right * 10 >= k.seen * 9)
        all_ms = took;
      run_load (rand, 500);
    }
  printf ("\nnine in ten of those seen classed correctly after %d ms",
          (int)all_ms);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
  g_rand_free (rand);
}

/* Workers that crash, stop answering and change their speed, answers that are
   lost, and take-overs.  */
static void
test_faults_break_no_rule (void)
{
  for (unsigned seed = 1; seed <= 3; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);

      set_up (seed, 1, 0.5);
      cluster.faults = (struct fa_faults){ 0.01, 0.01, 0.02, 0.01 };
      for (int t = 0; t < 40; t++)
        {
          int i = g_rand_int_range (rand, 0, WORKERS);

          run_load (rand, 500);
          cluster.worker[i].speed = t % 3 ? 1.2 : 0.5;
          if (t % 4 == 0)
            fa_crash (&cluster, i);
          cluster.worker[i].partitioned = t % 5 == 0;
          if (t % 15 == 14)
            {
              fa_take_over (&cluster);
              sj_set_guarantee (cluster.scheduler, "a", 200);
            }
        }
      expect_no_violations (&cluster);
      fa_fini (&cluster);
      g_rand_free (rand);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "two speeds", test_load_on_two_speeds },
    { "classes", test_work_goes_to_its_class },
    { "even fleet", test_even_fleet_stays_even },
    { "sick worker", test_sick_worker_is_left },
    { "wait for fast workers", test_urgent_gang_waits_for_fast_workers },
    { "take-over", test_take_over_learns_again },
    { "faults", test_faults_break_no_rule },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("speeds of workers", tests);
}
