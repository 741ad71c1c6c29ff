/* Tasks that crash the workers that start them, beside tasks that do not.  */
#include <stdio.h>
#include <string.h>

#include "steps/fake_cluster.h"
#include "steps/fake_settings.h"
#include "suite.h"

#define DEADLY "0000000000000001"

static struct fa_cluster cluster;

static void
expect_no_violations (void)
{
  if (cluster.violations)
    printf ("\n%s\n", cluster.first_violation);
  CU_ASSERT_EQUAL (cluster.violations, 0);
}

/* A deadly job of COUNT tasks, of which task INDEX (-1: all) is deadly, on 8
   workers.  */
static struct sj_job *
begin (int count, int gpus, int index)
{
  fa_init (&cluster, 8, 4, 1);
  fa_set_deadly (&cluster, DEADLY, index);
  return fa_new_job (1, 1, count, gpus, 4000);
}

static void
expect_given_up (int64_t within_ms)
{
  fa_run_ms (&cluster, within_ms);
  CU_ASSERT_EQUAL (fa_state (&cluster, DEADLY), SJ_FAILED);
  expect_no_violations ();
}

/* Guards against BUDGET: a task crashed worker after worker, for ever.  */
static void
test_task_that_crashes_workers_is_given_up (void)
{
  struct sj_job *job = begin (1, 8, 0);

  fa_submit (&cluster, job);
  expect_given_up (60000);
  CU_ASSERT (fa_crashes_under (&cluster, DEADLY) >= 2);
  fa_fini (&cluster);
}

/* The same with workers that come back under a new id.  */
static void
test_workers_that_return_under_new_ids_count (void)
{
  struct sj_job *job = begin (1, 8, 0);

  cluster.crash_mode.new_id = 1;
  fa_submit (&cluster, job);
  expect_given_up (60000);
  fa_fini (&cluster);
}

/* The workers come back after the leases of their runs have ended.  */
static void
test_late_return_counts (void)
{
  for (int new_id = 0; new_id < 2; new_id++)
    {
      struct sj_job *job = begin (1, 8, 0);

      cluster.crash_mode.new_id = new_id;
      cluster.crash_mode.down_ms = 9000;
      fa_submit (&cluster, job);
      expect_given_up (120000);
      fa_fini (&cluster);
    }
}

/* Counts that a holder has in memory only begin anew with each take-over.  */
static void
test_crashes_count_across_take_overs (void)
{
  for (int64_t gap_ms = 700; gap_ms < 6000; gap_ms += 1300)
    for (int new_id = 0; new_id < 2; new_id++)
      {
        struct sj_job *job = begin (1, 8, 0);

        cluster.crash_mode.new_id = new_id;
        fa_submit (&cluster, job);
        for (int64_t t = 0; t < 30000; t += gap_ms)
          {
            fa_run_ms (&cluster, gap_ms);
            fa_take_over (&cluster);
          }
        expect_given_up (60000);
        fa_fini (&cluster);
      }
}

static void
test_gang_with_deadly_task_is_given_up (void)
{
  for (int index = -1; index < 2; index++)
    {
      struct sj_job *job = begin (4, 8, index);

      job->step[0].gang = 1;
      cluster.crash_mode.new_id = index < 0;
      fa_submit (&cluster, job);
      expect_given_up (90000);
      fa_fini (&cluster);
    }
}

static void
test_task_that_resumes_and_crashes_is_given_up (void)
{
  struct sj_job *job = begin (1, 4, 0);

  job->step[0].checkpoints = 1;
  job->step[0].estimate_ms = 9000;
  cluster.crash_mode.work_ms = 2500;
  fa_submit (&cluster, job);
  expect_given_up (90000);
  fa_fini (&cluster);
}

static void
test_lost_answers_hide_no_crash (void)
{
  for (int new_id = 0; new_id < 2; new_id++)
    {
      struct sj_job *job = begin (1, 8, 0);

      cluster.crash_mode.new_id = new_id;
      cluster.faults.answer_lost = .5;
      cluster.faults.delayed = .2;
      fa_submit (&cluster, job);
      expect_given_up (240000);
      fa_fini (&cluster);
    }
}

static void
test_continuous_task_that_crashes_is_given_up (void)
{
  struct sj_job *job = begin (1, 4, 0);

  job->step[0].is_continuous = 1;
  fa_submit (&cluster, job);
  expect_given_up (90000);
  fa_fini (&cluster);
}

/* A task that runs for days survives crashes of its workers.  */
static void
test_continuous_task_survives_rare_crashes (void)
{
  struct sj_job *job = fa_new_job (1, 1, 1, 8, 36000000);

  fa_init (&cluster, 8, 4, 1);
  job->step[0].is_continuous = 1;
  fa_submit (&cluster, job);
  for (int i = 0; i < 6; i++)
    {
      fa_run_ms (&cluster, 400000);
      for (int w = 0; w < cluster.worker_count; w++)
        if (cluster.worker[w].runs->len)
          fa_lose (&cluster, w);
    }
  fa_run_ms (&cluster, 10000);
  CU_ASSERT_EQUAL (fa_state (&cluster, DEADLY), SJ_RUNNING);
  CU_ASSERT_EQUAL (cluster.starts, 7);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Small tasks share the workers that a deadly one crashes again and again.  */
static void
test_neighbours_of_deadly_task_complete (void)
{
  for (int new_id = 0; new_id < 2; new_id++)
    {
      struct sj_job *job = begin (1, 1, 0);

      cluster.crash_mode.new_id = new_id;
      cluster.crash_mode.work_ms = 300;
      for (unsigned i = 2; i < 6; i++)
        fa_submit (&cluster, fa_new_job (i, 2, 14, 1, 6000));
      fa_submit (&cluster, job);
      fa_run_ms (&cluster, 120000);
      for (unsigned i = 2; i < 6; i++)
        {
          char id[SJ_ID_SIZE];

          snprintf (id, sizeof id, "%016x", i);
          CU_ASSERT_EQUAL (fa_state (&cluster, id), SJ_COMPLETED);
        }
      expect_given_up (0);
      fa_fini (&cluster);
    }
}

/* Three partitions are no crashes: the worker runs on and comes back.  */
static void
test_task_under_partitions_completes (void)
{
  fa_init (&cluster, 8, 4, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 8, 5000));
  for (int i = 0; i < 4; i++)
    {
      fa_run_ms (&cluster, 1500);
      for (int w = 0; w < cluster.worker_count; w++)
        cluster.worker[w].partitioned = cluster.worker[w].runs->len > 0;
      fa_run_ms (&cluster, 9000);
      for (int w = 0; w < cluster.worker_count; w++)
        cluster.worker[w].partitioned = 0;
    }
  fa_run_ms (&cluster, 20000);
  CU_ASSERT_EQUAL (fa_state (&cluster, DEADLY), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Workers that drain and leave have not crashed.  */
static void
test_task_on_leaving_workers_completes (void)
{
  fa_init (&cluster, 8, 4, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 8, 20000));
  for (int i = 0; i < 4; i++)
    {
      fa_run_ms (&cluster, 2000);
      for (int w = 0; w < cluster.worker_count; w++)
        if (cluster.worker[w].runs->len)
          {
            cluster.worker[w].draining = 1;
            cluster.worker[w].report_ms = cluster.now;
            fa_run_ms (&cluster, 20);
            fa_lose (&cluster, w);
            cluster.worker[w].draining = 0;
          }
      fa_run_ms (&cluster, 7000);
    }
  fa_run_ms (&cluster, 40000);
  CU_ASSERT_EQUAL (fa_state (&cluster, DEADLY), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Two crashes that are not the task's doing.  */
static void
test_task_under_two_crashes_completes (void)
{
  fa_init (&cluster, 8, 4, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 8, 5000));
  for (int i = 0; i < 2; i++)
    {
      fa_run_ms (&cluster, 1500);
      for (int w = 0; w < cluster.worker_count; w++)
        if (cluster.worker[w].runs->len)
          fa_lose (&cluster, w);
      fa_run_ms (&cluster, 6500);
    }
  fa_run_ms (&cluster, 20000);
  CU_ASSERT_EQUAL (fa_state (&cluster, DEADLY), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.starts, 3);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Runs until a worker has a run.  Returns the worker.  */
static int
run_until_start (void)
{
  for (int tick = 0; tick < 3000; tick++)
    {
      fa_run_ms (&cluster, FA_TICK_MS);
      for (int w = 0; w < cluster.worker_count; w++)
        if (cluster.worker[w].runs->len)
          return w;
    }
  CU_FAIL_FATAL ("nothing was started");
  return -1;
}

/* Loses worker W once it has run its task to an end that it has not listed. */
static void
lose_after_the_end (int w)
{
  cluster.worker[w].partitioned = 1;
  fa_run_ms (&cluster, 500);
  CU_ASSERT_EQUAL (cluster.worker[w].runs->len, 0);
  fa_lose (&cluster, w);
  cluster.worker[w].partitioned = 0;
}

/* Guards against LOST: a job was shown as failed after one crash under its
   task.  Two other workers had crashed once they had run it to its end, which
   they had not listed yet.  */
static void
test_crash_after_the_end_of_a_run_is_not_certain (void)
{
  fa_init (&cluster, 8, 4, 1);
  fa_submit (&cluster, fa_new_job (1, 0, 1, 8, 300));
  for (int i = 0; i < 2; i++)
    lose_after_the_end (run_until_start ());
  CU_ASSERT_EQUAL (fa_crashes_under (&cluster, DEADLY), 0);
  fa_lose (&cluster, run_until_start ());
  CU_ASSERT_EQUAL (fa_crashes_under (&cluster, DEADLY), 1);
  fa_run_ms (&cluster, 30000);
  CU_ASSERT_EQUAL (fa_state (&cluster, DEADLY), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Guards against LOST: a task was given up although the starts after its
   possible crashes were refused, so that no worker executed them.  */
static void
test_refused_starts_do_not_give_up_a_task (void)
{
  fa_init (&cluster, 8, 4, 1);
  fa_submit (&cluster, fa_new_job (1, 0, 1, 8, 300));
  for (int i = 0; i < 3; i++)
    lose_after_the_end (run_until_start ());
  for (int w = 0; w < cluster.worker_count; w++)
    cluster.worker[w].refuses = 1;
  fa_run_ms (&cluster, 8000);
  CU_ASSERT (cluster.refusals > 2);
  for (int w = 0; w < cluster.worker_count; w++)
    cluster.worker[w].refuses = 0;
  fa_run_ms (&cluster, 30000);
  CU_ASSERT_EQUAL (fa_state (&cluster, DEADLY), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Has W drain from the start of a run until it has crashed.  */
static void
drain_with_run (struct fa_worker *w)
{
  int draining = w->is_up && (w->draining || w->runs->len);

  if (draining && !w->draining)
    w->report_ms = cluster.now;
  w->draining = draining;
}

/* Guards against BUDGET: a task was started for ever, as the workers that it
   crashed were draining and were taken to have left, long before the time that
   they still had.  */
static void
test_crashes_of_draining_workers_count (void)
{
  for (int new_id = 0; new_id < 2; new_id++)
    {
      struct sj_job *job = begin (1, 8, 0);

      job->step[0].estimate_ms = 1000;
      cluster.crash_mode = (struct fa_crash_mode){ .work_ms = 300,
                                                   .down_ms = 200,
                                                   .new_id = new_id };
      fa_submit (&cluster, job);
      for (int tick = 0; tick < 6000; tick++)
        {
          for (int i = 0; i < cluster.worker_count; i++)
            drain_with_run (&cluster.worker[i]);
          fa_run_ms (&cluster, FA_TICK_MS);
        }
      expect_given_up (0);
      fa_fini (&cluster);
    }
}

/* Guards against starts of a job that a decision has just given up.  */
static void
test_given_up_job_starts_nothing (void)
{
  static const char spent[]
      = "{\"state\":\"queued\",\"next\":1,\"done\":0,\"begun\":true,"
        "\"open\":[{\"n\":0,\"left\":[3],\"units\":["
        "[0,0,5,0,\"\",[],[],[[0,3,1]],5,[]],[0,1],[0,2]]}]}";

  fa_init (&cluster, 8, 4, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 3, 1, 4000));
  g_hash_table_replace (cluster.records, g_strdup (DEADLY), g_strdup (spent));
  fa_take_over (&cluster);
  fa_run_ms (&cluster, 3000);
  CU_ASSERT_EQUAL (fa_state (&cluster, DEADLY), SJ_FAILED);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  fa_fini (&cluster);
}

/* The tasks of a planned gang leave its worker together, when that has ended
   before their record is stored.  */
static void
test_planned_gang_leaves_lost_worker (void)
{
  struct sj_job *gang = fa_new_job (1, 1, 3, 1, 1000);

  gang->step[0].gang = 1;
  fa_init (&cluster, 1, 1, 1);
  fa_run_ms (&cluster, 500);
  cluster.commit_ms = 4000;
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, 500);
  sj_worker_replaced (cluster.scheduler, "w000", cluster.now);
  CU_ASSERT_FALSE (sj_worker_has_runs (cluster.scheduler, "w000"));
  fa_run_ms (&cluster, 5000);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* A job of many tasks, under whose tasks all workers crash: each row of
   its record must fit into 64 KB, with the ids and checkpoints of the users'
   platform, which are longer than the fake ones.  */
static void
test_record_of_largest_job_stays_small (void)
{
  enum
  {
    ROW_BYTES = 65536,
    TASKS = 1000,
    LONGER_ID = 8,          /* bytes of a task's record */
    LONGER_CHECKPOINT = 11, /* likewise */
    LONGER_LIFE_TAG = 4     /* likewise */
  };
  size_t longest = 0;
  struct sj_job *job = fa_new_job (1, 1, TASKS, 1, 60000);

  fa_init (&cluster, TASKS / 8, 25, 1);
  job->step[0].checkpoints = 1;
  fa_submit (&cluster, job);
  for (int i = 0; i < 3; i++)
    {
      fa_run_ms (&cluster, 4000);
      for (int w = 0; w < cluster.worker_count; w++)
        if (cluster.worker[w].is_up)
          fa_lose (&cluster, w);
      for (int t = 0; t < 100; t++)
        {
          GHashTableIter iter;
          gpointer row;

          fa_run_ms (&cluster, 100);
          CU_ASSERT (g_hash_table_contains (cluster.records, DEADLY));
          g_hash_table_iter_init (&iter, cluster.records);
          while (g_hash_table_iter_next (&iter, NULL, &row))
            longest = MAX (longest, strlen (row));
        }
    }
  longest += TASKS * (LONGER_ID + LONGER_CHECKPOINT + LONGER_LIFE_TAG);
  CU_ASSERT (longest < ROW_BYTES);
  if (longest >= ROW_BYTES)
    printf ("\n%zu bytes\n", longest);
  fa_fini (&cluster);
}

static struct sj_job *
random_job (GRand *r, unsigned number)
{
  static const int gpus[] = { 1, 1, 2, 4, 8 };
  struct sj_job *job = fa_new_job (
      number, g_rand_int_range (r, 0, 3), g_rand_int_range (r, 1, 8),
      gpus[g_rand_int_range (r, 0, 5)], g_rand_int_range (r, 300, 4000));

  job->step[0].gang = g_rand_int_range (r, 0, 3) == 0;
  job->step[0].checkpoints = g_rand_boolean (r);
  return job;
}

static void
random_event (void)
{
  int w = g_rand_int_range (cluster.rand, 0, cluster.worker_count);

  switch (g_rand_int_range (cluster.rand, 0, 16))
    {
    case 0:
      fa_take_over (&cluster);
      break;
    case 1:
      if (cluster.worker[w].is_up && !cluster.worker[w].partitioned)
        fa_lose (&cluster, w);
      break;
    case 2:
      cluster.worker[w].partitioned = cluster.worker[w].is_up;
      break;
    case 3:
      for (int i = 0; i < cluster.worker_count; i++)
        cluster.worker[i].partitioned = 0;
      break;
    default:
      break;
    }
}

/* A job may fail if it is deadly, or if two workers crashed under one of its
   tasks.  */
static void
check_ends (unsigned seed, unsigned jobs)
{
  int open = 0, unjust = 0;

  for (unsigned i = 1; i <= jobs; i++)
    {
      char id[SJ_ID_SIZE];

      snprintf (id, sizeof id, "%016x", i);
      open += fa_state (&cluster, id) < SJ_COMPLETED;
      if (fa_state (&cluster, id) != SJ_FAILED
          || g_hash_table_contains (cluster.deadly, id)
          || fa_crashes_under (&cluster, id) >= 2)
        continue;
      printf ("\njob %s failed without cause\n", id);
      unjust++;
    }
  if (cluster.violations || open || unjust)
    printf ("\nseed %u: %s, %d jobs open, %d failed without cause\n", seed,
            cluster.first_violation, open, unjust);
  CU_ASSERT_EQUAL (cluster.violations, 0);
  CU_ASSERT_EQUAL (open, 0);
  CU_ASSERT_EQUAL (unjust, 0);
}

static void
run_random_events (unsigned seed, int variant)
{
  enum
  {
    JOBS = 100,
    DEADLY_ONE_IN = 12
  };

  fa_init (&cluster, 16, 4, seed);
  fe_set (&cluster.settings, variant);
  if (variant != FE_DEFAULT)
    fa_take_over (&cluster);
  sj_set_guarantee (cluster.scheduler, "a", 40);
  cluster.crash_mode.new_id = (int)(seed % 2);
  cluster.crash_mode.down_ms = g_rand_int_range (cluster.rand, 500, 9000);
  cluster.crash_mode.work_ms = g_rand_int_range (cluster.rand, 10, 1500);
  cluster.faults.answer_lost = cluster.faults.delayed = .03;
  cluster.faults.commit_fails = .05;
  for (unsigned i = 1; i <= JOBS; i++)
    {
      struct sj_job *job = random_job (cluster.rand, i);

      if (g_rand_int_range (cluster.rand, 0, DEADLY_ONE_IN) == 0)
        fa_set_deadly (
            &cluster, job->id,
            g_rand_int_range (cluster.rand, -1, job->step[0].count));
      fa_submit (&cluster, job);
      fa_run_ms (&cluster, g_rand_int_range (cluster.rand, 20, 800));
      random_event ();
    }
  for (int i = 0; i < cluster.worker_count; i++)
    cluster.worker[i].partitioned = 0;
  fa_run_ms (&cluster, 400000);
  check_ends (seed, JOBS);
  fa_fini (&cluster);
}

static void
test_random_crashes (void)
{
  unsigned first = fa_env ("SEED", 1);
  unsigned count = fa_env ("COUNT", 12);

  for (unsigned seed = first; seed < first + count; seed++)
    {
      run_random_events (seed, FE_DEFAULT);
      run_random_events (seed, FE_DEPLOYED);
    }
  /* A gang was given up for crashes of workers on which it had ended.  */
  run_random_events (40021, FE_DEFAULT);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "deadly task", test_task_that_crashes_workers_is_given_up },
    { "new ids", test_workers_that_return_under_new_ids_count },
    { "late return", test_late_return_counts },
    { "take-overs", test_crashes_count_across_take_overs },
    { "gang", test_gang_with_deadly_task_is_given_up },
    { "checkpoints", test_task_that_resumes_and_crashes_is_given_up },
    { "lost answers", test_lost_answers_hide_no_crash },
    { "continuous task", test_continuous_task_that_crashes_is_given_up },
    { "rare crashes", test_continuous_task_survives_rare_crashes },
    { "neighbours", test_neighbours_of_deadly_task_complete },
    { "partitions", test_task_under_partitions_completes },
    { "leaving workers", test_task_on_leaving_workers_completes },
    { "two crashes", test_task_under_two_crashes_completes },
    { "crash after the end",
      test_crash_after_the_end_of_a_run_is_not_certain },
    { "refused starts", test_refused_starts_do_not_give_up_a_task },
    { "draining workers", test_crashes_of_draining_workers_count },
    { "job given up", test_given_up_job_starts_nothing },
    { "planned gang", test_planned_gang_leaves_lost_worker },
    { "largest job", test_record_of_largest_job_stays_small },
    { "random events", test_random_crashes },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("crashes", tests);
}
