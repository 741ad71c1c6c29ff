#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "steps/fake_cluster.h"
#include "steps/fake_settings.h"
#include "suite.h"

static struct fa_cluster cluster;

static void
expect_no_violations (const struct fa_cluster *f)
{
  if (f->violations)
    printf ("\n%s\n", f->first_violation);
  CU_ASSERT_EQUAL (f->violations, 0);
}

static void
test_job_runs_and_completes (void)
{
  fa_init (&cluster, 4, 2, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 6, 2, 2000));
  fa_run_ms (&cluster, 4000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.done_runs, 6);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_gang_starts_as_a_whole (void)
{
  struct sj_job *gang = fa_new_job (2, 1, 3, 8, 2000);

  fa_init (&cluster, 3, 3, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 1, 3000));
  fa_run_ms (&cluster, 500);
  gang->step[0].gang = 1;
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, 1500);
  CU_ASSERT_EQUAL (cluster.starts, 1);
  fa_run_ms (&cluster, 5000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000002"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.gang_timeouts, 0);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_steps_wait_for_dependencies (void)
{
  struct sj_job *job = fa_new_job (1, 1, 4, 1, 1000);

  job->step_count = 2;
  job->step[1] = job->step[0];
  job->step[1].depends_on = 1;
  fa_init (&cluster, 2, 2, 1);
  fa_submit (&cluster, job);
  fa_run_ms (&cluster, 4000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.done_runs, 8);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_guaranteed_urgent_job_preempts (void)
{
  struct sj_job *batch = fa_new_job (1, 2, 32, 1, 60000);
  struct sj_job *urgent = fa_new_job (2, 0, 2, 8, 2000);

  batch->step[0].checkpoints = 1;
  urgent->step[0].gang = 1;
  fa_init (&cluster, 4, 4, 1);
  sj_set_guarantee (cluster.scheduler, "a", 16);
  fa_submit (&cluster, batch);
  fa_run_ms (&cluster, 3000);
  fa_submit (&cluster, urgent);
  fa_run_ms (&cluster, 3500);
  CU_ASSERT (fa_start_delay_ms (&cluster, "0000000000000002") < 1500);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000002"), SJ_COMPLETED);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_take_over_loses_and_repeats_no_run (void)
{
  fa_init (&cluster, 4, 2, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 20, 1, 3000));
  fa_submit (&cluster, fa_new_job (2, 1, 2, 8, 3000));
  fa_run_ms (&cluster, 1500);
  fa_take_over (&cluster);
  fa_run_ms (&cluster, 6000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000002"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.starts, 22);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_partitioned_worker_keeps_runs_until_lease_expires (void)
{
  fa_init (&cluster, 2, 2, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 2, 8, 20000));
  fa_run_ms (&cluster, 1000);
  cluster.worker[0].partitioned = 1;
  fa_run_ms (&cluster, 5000);
  CU_ASSERT_EQUAL (cluster.starts, 2);
  fa_run_ms (&cluster, 30000);
  CU_ASSERT_EQUAL (cluster.starts, 3);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_runs_of_crashed_worker_restart (void)
{
  fa_init (&cluster, 4, 2, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 2, 8, 5000));
  fa_run_ms (&cluster, 1000);
  fa_crash (&cluster, 0);
  fa_run_ms (&cluster, 8000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.starts, 3);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

/* Guards against a task that lasts and avoids all workers, since it has failed
   on each of them.  */
static void
test_task_that_avoids_all_workers_starts_again (void)
{
  struct sj_job *job = fa_new_job (1, 1, 1, 1, 1000);

  fa_init (&cluster, 2, 2, 1);
  job->step[0].is_continuous = 1;
  job->step[0].estimate_ms = 10000;
  cluster.worker[0].fails_all = cluster.worker[1].fails_all = 1;
  fa_submit (&cluster, job);
  fa_run_ms (&cluster, 6500);
  CU_ASSERT_EQUAL (cluster.starts, 2);
  cluster.worker[0].fails_all = cluster.worker[1].fails_all = 0;
  fa_run_ms (&cluster, 4000);
  CU_ASSERT_EQUAL (cluster.starts, 3);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

/* Guards against a task that waits 30 s after it has failed on each worker
   that has its label, as others without the label are counted.  */
static void
test_avoidance_counts_workers_with_the_label (void)
{
  struct sj_job *job = fa_new_job (1, 1, 1, 1, 1000);

  fa_init (&cluster, 8, 2, 1);
  job->step[0].label = g_strdup ("r0");
  cluster.worker[0].fails_all = cluster.worker[1].fails_all = 1;
  fa_submit (&cluster, job);
  fa_run_ms (&cluster, 1500);
  CU_ASSERT_EQUAL (cluster.starts, 2);
  cluster.worker[0].fails_all = cluster.worker[1].fails_all = 0;
  fa_run_ms (&cluster, 6000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.starts, 3);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

/* Guards against a task that waits for its rack in an idle service, since
   another service is busy.  */
static void
test_rack_wait_counts_own_service (void)
{
  struct sj_job *busy = fa_new_job (1, 1, 2, 8, 60000), *job;

  fa_init (&cluster, 16, 2, 1);
  for (int i = 8; i < 16; i++)
    cluster.worker[i].service = "t";
  fa_take_over (&cluster);
  busy->step[0].need.cpu_milli = 128000;
  busy->step[0].data_rack = g_strdup ("r0");
  fa_submit (&cluster, busy);
  busy = fa_new_job (2, 0, 8, 8, 60000);
  busy->step[0].need.cpu_milli = 128000;
  g_free (busy->service);
  busy->service = g_strdup ("t");
  fa_submit (&cluster, busy);
  fa_run_ms (&cluster, 1000);
  CU_ASSERT_EQUAL (cluster.starts, 10);
  job = fa_new_job (3, 1, 1, 1, 10000);
  job->step[0].data_rack = g_strdup ("r0");
  fa_submit (&cluster, job);
  fa_run_ms (&cluster, 2500);
  CU_ASSERT_EQUAL (cluster.starts, 11);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_job_fails_after_max_attempts (void)
{
  fa_init (&cluster, 8, 4, 1);
  cluster.faults.task_fails = 1;
  fa_submit (&cluster, fa_new_job (1, 1, 1, 1, 1000));
  fa_run_ms (&cluster, 6000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_FAILED);
  CU_ASSERT_EQUAL (cluster.starts, 3);
  fa_fini (&cluster);
}

static void
set_fails_all (int value)
{
  for (int i = 0; i < cluster.worker_count; i++)
    cluster.worker[i].fails_all = value;
}

/* Submits a gang of two tasks, each of which fills a worker, that may fail
   once and fails on both at the same moment in 500 ms.  */
static void
begin_failing_gang (void)
{
  struct sj_job *gang = fa_new_job (1, 1, 2, 8, 2000);

  gang->step[0].gang = 1;
  gang->max_attempts = 2;
  fa_init (&cluster, 4, 4, 1);
  cluster.fails_together = 1;
  set_fails_all (1);
  fa_submit (&cluster, gang);
}

/* Cuts a worker that runs a task, so that its listings arrive no more, and
   returns its index.  */
static int
cut_busy_worker (void)
{
  int i = 0;

  while (i + 1 < cluster.worker_count && !cluster.worker[i].runs->len)
    i++;
  CU_ASSERT_EQUAL (cluster.worker[i].runs->len, 1);
  cluster.worker[i].partitioned = 1;
  return i;
}

/* Lets the gang's next run succeed, and checks that it has one.  */
static void
expect_second_attempt (void)
{
  set_fails_all (0);
  fa_run_ms (&cluster, 8000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.starts, 4);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

/* Guards against a run of a gang that counts as one attempt for each task that
   fails in it.  */
static void
test_failed_run_of_gang_is_one_attempt (void)
{
  begin_failing_gang ();
  fa_run_ms (&cluster, 400);
  CU_ASSERT_EQUAL (cluster.starts, 2);
  expect_second_attempt ();
}

/* Guards against the same if the second end is listed to another holder, after
   the first one is stored.  */
static void
test_failed_run_is_one_attempt_over_take_over (void)
{
  int cut;

  begin_failing_gang ();
  fa_run_ms (&cluster, 300);
  cut = cut_busy_worker ();
  fa_run_ms (&cluster, 500);
  CU_ASSERT_EQUAL (cluster.worker[cut].unacked_ends->len, 1);
  fa_take_over (&cluster);
  cluster.worker[cut].partitioned = 0;
  expect_second_attempt ();
}

/* Guards against the same if the first end was counted and not stored.  */
static void
test_failed_run_is_one_attempt_if_not_stored (void)
{
  int cut;

  begin_failing_gang ();
  fa_run_ms (&cluster, 300);
  cut = cut_busy_worker ();
  cluster.faults.commit_fails = 1;
  fa_run_ms (&cluster, 500);
  fa_take_over (&cluster);
  cluster.faults.commit_fails = 0;
  cluster.worker[cut].partitioned = 0;
  expect_second_attempt ();
}

/* Guards against the same over two take-overs, if the first end was stored and
   if it was not.  */
static void
test_failed_run_is_one_attempt_over_two_take_overs (void)
{
  for (int stored = 0; stored < 2; stored++)
    {
      int cut;

      begin_failing_gang ();
      fa_run_ms (&cluster, 300);
      cut = cut_busy_worker ();
      cluster.faults.commit_fails = !stored;
      fa_run_ms (&cluster, 500);
      for (int i = 0; i < 2; i++)
        {
          fa_take_over (&cluster);
          cluster.faults.commit_fails = 0;
          fa_run_ms (&cluster, 700);
        }
      cluster.worker[cut].partitioned = 0;
      expect_second_attempt ();
    }
}

/* Guards against a gang that is run more often than it may fail, as a failed
   run does not count after a take-over.  */
static void
test_each_failed_run_of_gang_counts (void)
{
  begin_failing_gang ();
  fa_run_ms (&cluster, 700);
  fa_take_over (&cluster);
  fa_run_ms (&cluster, 8000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_FAILED);
  CU_ASSERT_EQUAL (cluster.starts, 4);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

/* A worker that fails every run must be excluded from starts before jobs use
   up their attempts on it.  */
static void
test_failing_worker_fails_no_job (void)
{
  char id[SJ_ID_SIZE];
  int failed = 0;

  fa_init (&cluster, 8, 4, 1);
  cluster.worker[0].fails_all = 1;
  for (unsigned i = 1; i <= 40; i++)
    {
      fa_submit (&cluster, fa_new_job (i, 1, 4, 1, 1000));
      fa_run_ms (&cluster, 200);
    }
  fa_run_ms (&cluster, 20000);
  for (unsigned i = 1; i <= 40; i++)
    {
      snprintf (id, sizeof id, "%016x", i);
      failed += fa_state (&cluster, id) != SJ_COMPLETED;
    }
  CU_ASSERT_EQUAL (failed, 0);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_stalled_run_moves (void)
{
  fa_init (&cluster, 2, 2, 1);
  cluster.worker[0].stalled = cluster.worker[1].stalled = 1;
  fa_submit (&cluster, fa_new_job (1, 1, 1, 1, 2000));
  fa_run_ms (&cluster, 300);
  cluster.worker[0].stalled = !cluster.worker[0].runs->len;
  cluster.worker[1].stalled = !cluster.worker[1].runs->len;
  cluster.worker[0].stalled = !cluster.worker[0].stalled;
  cluster.worker[1].stalled = !cluster.worker[1].stalled;
  fa_run_ms (&cluster, 9000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.starts, 2);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

/* Batch jobs without checkpoints fill the cluster, then urgent gangs arrive
   one after another.  Without headroom the gangs would wait, or preempt the
   batch runs and lose their work.  */
/* Guards against a task that stands still wherever it runs, and keeps each
   worker in turn from work that would advance.  */
static void
test_task_that_stalls_everywhere_moves_rarely (void)
{
  fa_init (&cluster, 4, 4, 1);
  g_hash_table_add (cluster.stalling, g_strdup ("0000000000000001"));
  fa_submit (&cluster, fa_new_job (1, 1, 1, 1, 1000));
  fa_run_ms (&cluster, 60000);
  CU_ASSERT (cluster.starts <= 10);
  for (unsigned i = 2; i < 10; i++)
    fa_submit (&cluster, fa_new_job (i, 1, 4, 1, 1000));
  fa_run_ms (&cluster, 3000);
  for (unsigned i = 2; i < 10; i++)
    {
      char id[SJ_ID_SIZE];

      snprintf (id, sizeof id, "%016x", i);
      CU_ASSERT_EQUAL (fa_state (&cluster, id), SJ_COMPLETED);
    }
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_headroom_for_urgent_gangs_beside_batch (void)
{
  struct sj_job *gang;
  char id[SJ_ID_SIZE];

  fa_init (&cluster, 16, 4, 1);
  sj_set_guarantee (cluster.scheduler, "a", 32);
  for (unsigned i = 1; i <= 20; i++)
    fa_submit (&cluster, fa_new_job (i, 2, 8, 1, 15000));
  fa_run_ms (&cluster, 1000);
  for (unsigned i = 101; i <= 105; i++)
    {
      gang = fa_new_job (i, 0, 2, 8, 1000);
      gang->step[0].gang = gang->step[0].one_rack = 1;
      fa_submit (&cluster, gang);
      fa_run_ms (&cluster, 1500);
      snprintf (id, sizeof id, "%016x", i);
      CU_ASSERT (fa_start_delay_ms (&cluster, id) < 200);
    }
  CU_ASSERT (cluster.wasted_core_s == 0);
  fa_run_ms (&cluster, 40000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000014"), SJ_COMPLETED);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

/* Small batch jobs arrive every 200 ms and nearly fill the cluster, then two
   wide gangs of the same rank follow.  Without reservations the small jobs
   would take every worker that becomes free, and could delay the gangs
   indefinitely.  */
static void
test_wide_gangs_start_under_stream_of_small_jobs (void)
{
  enum
  {
    SUBMIT_INTERVAL_MS = 200,
    WARM_UP_MS = 30000,
    LIMIT_MS = 300000 /* a gang that fits waits no longer */
  };
  struct sj_job *gang;

  fa_init (&cluster, 8, 4, 1);
  for (unsigned i = 1; cluster.now < WARM_UP_MS + LIMIT_MS; i++)
    {
      if (i == WARM_UP_MS / SUBMIT_INTERVAL_MS)
        {
          gang = fa_new_job (0xa1, 2, 32, 1, 8000);
          gang->step[0].gang = 1;
          fa_submit (&cluster, gang);
          gang = fa_new_job (0xa2, 2, 4, 8, 8000);
          gang->step[0].gang = 1;
          fa_submit (&cluster, gang);
        }
      fa_submit (&cluster,
                 fa_new_job (0x1000 + i, 2, 1, 1,
                             g_rand_int_range (cluster.rand, 5000, 20000)));
      fa_run_ms (&cluster, SUBMIT_INTERVAL_MS);
    }
  CU_ASSERT (fa_start_delay_ms (&cluster, "00000000000000a1") >= 0);
  CU_ASSERT (fa_start_delay_ms (&cluster, "00000000000000a2") >= 0);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

/* One worker under an urgent gang is slow.  It must be recognized by its
   tasks' pace relative to the gang's other tasks.  */
static void
test_gang_leaves_a_slow_worker (void)
{
  struct sj_job *gang = fa_new_job (1, 0, 4, 8, 2000);

  fa_init (&cluster, 8, 8, 1);
  cluster.worker[1].speed = 0.15;
  gang->step[0].gang = 1;
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, 5500);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.starts, 8);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

/* The declared run time is a quarter of the true one on all workers.  Such
   runs must not be mistaken for slow ones and moved.  */
static void
test_run_with_low_estimate_stays (void)
{
  fa_init (&cluster, 8, 8, 1);
  for (int i = 0; i < cluster.worker_count; i++)
    cluster.worker[i].speed = 0.25;
  fa_submit (&cluster, fa_new_job (1, 1, 8, 1, 2000));
  fa_run_ms (&cluster, 12000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.starts, 8);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_cancelled_job_stops (void)
{
  fa_init (&cluster, 2, 2, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 8, 1, 60000));
  fa_run_ms (&cluster, 1000);
  fa_cancel (&cluster, "0000000000000001");
  fa_run_ms (&cluster, 1000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_CANCELLED);
  CU_ASSERT_EQUAL (cluster.worker[0].runs->len + cluster.worker[1].runs->len,
                   0);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_occurrences_start_when_due (void)
{
  struct sj_job *job = fa_new_job (1, 1, 1, 1, 1500);

  fa_init (&cluster, 2, 2, 1);
  job->occurrences = 3;
  job->first_due_ms = cluster.now + 1000;
  job->interval_ms = 1000;
  fa_submit (&cluster, job);
  fa_run_ms (&cluster, 950);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  fa_run_ms (&cluster, 1900);
  CU_ASSERT_EQUAL (cluster.starts, 2);
  fa_run_ms (&cluster, 3000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  expect_no_violations (&cluster);
  fa_fini (&cluster);
}

static void
test_continuous_task_restarts (void)
{
  struct sj_job *job = fa_new_job (1, 1, 1, 1, 1000);

  job->step[0].is_continuous = 1;
  fa_init (&cluster, 2, 2, 1);
  fa_submit (&cluster, job);
  fa_run_ms (&cluster, 10000);
  CU_ASSERT (cluster.starts >= 5);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_RUNNING);
  fa_fini (&cluster);
}

static void
test_job_round_trips_through_json (void)
{
  struct sj_job *job = fa_new_job (7, 2, 5, 1, 1234);
  json_t *a, *b;
  struct sj_job *copy;

  job->step[0].label = g_strdup ("kind");
  job->step[0].checkpoints = 1;
  a = sj_job_to_json (job);
  copy = sj_job_from_json (a);
  CU_ASSERT_PTR_NOT_NULL_FATAL (copy);
  b = sj_job_to_json (copy);
  CU_ASSERT (json_equal (a, b));
  json_decref (a);
  json_decref (b);
  sj_job_free (job);
  sj_job_free (copy);
}

/* Guards against a stored job that is read as another one: with a part of its
   id, or without its payload.  */
static void
test_damaged_job_is_not_read (void)
{
  struct sj_job *job = fa_new_job (7, 2, 5, 1, 1234);
  json_t *o = sj_job_to_json (job);

  json_object_set_new (o, "id", json_string ("00000000000000070"));
  CU_ASSERT_PTR_NULL (sj_job_from_json (o));
  json_object_set_new (o, "id", json_string ("0000000000000007"));
  json_object_del (o, "payload");
  CU_ASSERT_PTR_NULL (sj_job_from_json (o));
  json_decref (o);
  sj_job_free (job);
}

static struct sj_job *
random_job (GRand *r, unsigned number)
{
  static const int gpus[] = { 1, 1, 2, 4, 8 };
  struct sj_job *job = fa_new_job (
      number, g_rand_int_range (r, 0, 3), g_rand_int_range (r, 1, 12),
      gpus[g_rand_int_range (r, 0, 5)], g_rand_int_range (r, 300, 4000));

  job->step[0].gang = g_rand_boolean (r);
  job->step[0].checkpoints = g_rand_boolean (r);
  job->step[0].one_rack = g_rand_boolean (r);
  if (g_rand_int_range (r, 0, 4) == 0)
    {
      job->step_count = 2;
      job->step[1] = job->step[0];
      job->step[1].depends_on = 1;
    }
  job->max_attempts = 6;
  return job;
}

static void
random_event (struct fa_cluster *f, unsigned jobs_submitted)
{
  int w = g_rand_int_range (f->rand, 0, f->worker_count);
  char id[SJ_ID_SIZE];

  switch (g_rand_int_range (f->rand, 0, 40))
    {
    case 0:
      fa_take_over (f);
      break;
    case 1:
      if (!f->worker[w].partitioned)
        fa_crash (f, w);
      break;
    case 2:
      f->worker[w].partitioned = 1;
      break;
    case 3:
      f->worker[w].partitioned = 0;
      break;
    case 4:
      f->worker[w].stalled = !f->worker[w].stalled;
      break;
    case 5:
      snprintf (
          id, sizeof id, "%016x",
          (unsigned)g_rand_int_range (f->rand, 1, (int)jobs_submitted + 1));
      fa_cancel (f, id);
      break;
    default:
      break;
    }
}

static void
run_random_events (unsigned seed, int variant, int fair_share)
{
  unsigned jobs_submitted = 0;
  char id[SJ_ID_SIZE];
  int open_jobs = 0;

  fa_init (&cluster, 16, 4, seed);
  fe_set (&cluster.settings, variant);
  cluster.settings.fair_share = fair_share;
  if (fair_share || variant != FE_DEFAULT)
    fa_take_over (&cluster);
  sj_set_guarantee (cluster.scheduler, "a", 40);
  cluster.faults = (struct fa_faults){
    .answer_lost = .03, .delayed = .03, .commit_fails = .05, .task_fails = .03
  };
  for (int i = 0; i < 150; i++)
    {
      struct sj_job *job = random_job (cluster.rand, ++jobs_submitted);

      /* One account submits as much as all others.  */
      if (fair_share && i % 2)
        job->account[0] = (char)('b' + i % 5);
      fa_submit (&cluster, job);
      fa_run_ms (&cluster, g_rand_int_range (cluster.rand, 20, 600));
      random_event (&cluster, jobs_submitted);
    }
  cluster.faults = (struct fa_faults){ 0 };
  for (int i = 0; i < cluster.worker_count; i++)
    cluster.worker[i].partitioned = cluster.worker[i].stalled = 0;
  fa_run_ms (&cluster, 240000);
  for (unsigned i = 1; i <= jobs_submitted; i++)
    {
      snprintf (id, sizeof id, "%016x", i);
      open_jobs += fa_state (&cluster, id) < SJ_COMPLETED;
    }
  if (cluster.violations || open_jobs)
    printf ("\nseed %u, settings %s, fair shares %d: %s, %d jobs open\n", seed,
            fe_name (variant), fair_share, cluster.first_violation, open_jobs);
  CU_ASSERT_EQUAL (cluster.violations, 0);
  CU_ASSERT_EQUAL (open_jobs, 0);
  fa_fini (&cluster);
}

static void
test_random_events_violate_no_rules (void)
{
  unsigned first = fa_env ("SEED", 1);
  unsigned count = fa_env ("COUNT", 12);

  for (unsigned seed = first; seed < first + count; seed++)
    for (int fair_share = 0; fair_share < 2; fair_share++)
      {
        run_random_events (seed, FE_DEFAULT, fair_share);
        run_random_events (seed, FE_DEPLOYED, fair_share);
      }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a job runs and completes", test_job_runs_and_completes },
    { "a gang starts whole", test_gang_starts_as_a_whole },
    { "step dependencies", test_steps_wait_for_dependencies },
    { "urgent job preempts", test_guaranteed_urgent_job_preempts },
    { "take-over", test_take_over_loses_and_repeats_no_run },
    { "partitioned worker",
      test_partitioned_worker_keeps_runs_until_lease_expires },
    { "crashed worker", test_runs_of_crashed_worker_restart },
    { "all workers avoided", test_task_that_avoids_all_workers_starts_again },
    { "avoided label", test_avoidance_counts_workers_with_the_label },
    { "rack and service", test_rack_wait_counts_own_service },
    { "attempts exhausted", test_job_fails_after_max_attempts },
    { "attempt of a gang", test_failed_run_of_gang_is_one_attempt },
    { "attempt and take-over", test_failed_run_is_one_attempt_over_take_over },
    { "attempt not stored", test_failed_run_is_one_attempt_if_not_stored },
    { "attempt and two take-overs",
      test_failed_run_is_one_attempt_over_two_take_overs },
    { "attempts of a gang", test_each_failed_run_of_gang_counts },
    { "failing worker", test_failing_worker_fails_no_job },
    { "stalled run", test_stalled_run_moves },
    { "stalls everywhere", test_task_that_stalls_everywhere_moves_rarely },
    { "headroom", test_headroom_for_urgent_gangs_beside_batch },
    { "wide gangs", test_wide_gangs_start_under_stream_of_small_jobs },
    { "slow worker", test_gang_leaves_a_slow_worker },
    { "low estimate", test_run_with_low_estimate_stays },
    { "cancel", test_cancelled_job_stops },
    { "occurrences", test_occurrences_start_when_due },
    { "continuous task", test_continuous_task_restarts },
    { "JSON round trip", test_job_round_trips_through_json },
    { "damaged job", test_damaged_job_is_not_read },
    { "random events", test_random_events_violate_no_rules },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("steps", tests);
}
