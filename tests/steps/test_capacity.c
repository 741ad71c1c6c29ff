/* Workers whose capacity shrinks and grows while they run.  */
#include <stdio.h>

#include "steps/fake_cluster.h"
#include "suite.h"

static struct fa_cluster cluster;

static void
expect_no_violations (void)
{
  if (cluster.violations)
    printf ("\n%s\n", cluster.first_violation);
  CU_ASSERT_EQUAL (cluster.violations, 0);
}

/* Guards against LIMIT: the start was planned while the capacity was larger
   and is sent once its record is stored, seconds later.  */
static void
test_start_planned_before_capacity_shrank_is_not_sent (void)
{
  fa_init (&cluster, 1, 1, 1);
  fa_run_ms (&cluster, 500);
  cluster.commit_ms = 8000;
  fa_submit (&cluster, fa_new_job (1, 1, 1, 8, 1000));
  fa_run_ms (&cluster, 500);
  fa_set_capacity (&cluster, 0, 4);
  fa_run_ms (&cluster, 20000);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  cluster.commit_ms = 10;
  fa_set_capacity (&cluster, 0, 8);
  fa_run_ms (&cluster, 20000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* The same for a gang: no part of it starts.  */
static void
test_gang_planned_before_capacity_shrank_stays_whole (void)
{
  struct sj_job *gang = fa_new_job (1, 1, 3, 8, 1000);

  gang->step[0].gang = 1;
  fa_init (&cluster, 3, 3, 1);
  fa_run_ms (&cluster, 500);
  cluster.commit_ms = 8000;
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, 500);
  fa_set_capacity (&cluster, 1, 4);
  fa_run_ms (&cluster, 20000);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  CU_ASSERT_EQUAL (cluster.gang_timeouts, 0);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Runs go on while the worker is over its capacity, and nothing starts beside
   them, not even what requests no accelerator.  */
static void
test_nothing_starts_on_worker_over_capacity (void)
{
  fa_init (&cluster, 1, 1, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 6, 1, 20000));
  fa_run_ms (&cluster, 1000);
  fa_set_capacity (&cluster, 0, 4);
  fa_run_ms (&cluster, 5000);
  fa_submit (&cluster, fa_new_job (2, 1, 1, 0, 1000));
  fa_run_ms (&cluster, 5000);
  CU_ASSERT_EQUAL (cluster.starts, 6);
  CU_ASSERT_EQUAL (cluster.stopped, 0);
  fa_run_ms (&cluster, 30000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000002"), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Guards against LIMIT: a worker that has restarted under its id with less
   capacity got starts by the capacity of its previous incarnation.  */
static void
test_capacity_of_previous_incarnation_does_not_count (void)
{
  fa_init (&cluster, 1, 1, 1);
  fa_run_ms (&cluster, 500);
  fa_restart_with (&cluster, 0, 2);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 8, 1000));
  fa_submit (&cluster, fa_new_job (2, 1, 1, 2, 1000));
  fa_run_ms (&cluster, 10000);
  CU_ASSERT_EQUAL (cluster.starts, 1);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000002"), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* What is being stopped still counts on a worker that has shrunk.  */
static void
test_stopping_runs_count_on_shrunk_worker (void)
{
  struct sj_job *batch = fa_new_job (1, 2, 8, 1, 30000);

  batch->step[0].checkpoints = 1;
  fa_init (&cluster, 1, 1, 1);
  sj_set_guarantee (cluster.scheduler, "a", 8);
  fa_submit (&cluster, batch);
  fa_run_ms (&cluster, 1000);
  fa_set_capacity (&cluster, 0, 4);
  fa_run_ms (&cluster, 5000);
  fa_submit (&cluster, fa_new_job (2, 0, 1, 2, 1000));
  fa_run_ms (&cluster, 3000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000002"), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Guards against LIMIT: a worker whose reports do not arrive got starts by the
   capacity that it had before.  */
static void
test_worker_that_does_not_report_gets_no_starts (void)
{
  fa_init (&cluster, 1, 1, 1);
  fa_run_ms (&cluster, 10000);
  cluster.worker[0].mute = 1;
  fa_set_capacity (&cluster, 0, 4);
  fa_run_ms (&cluster, 5000);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 8, 1000));
  fa_run_ms (&cluster, 5000);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  cluster.worker[0].mute = 0;
  fa_set_capacity (&cluster, 0, 8);
  fa_run_ms (&cluster, 5000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Guards against a worker that was never used again: its entry had changed
   four times, and the platform writes only changes, of which there were no
   more.  */
static void
test_quiet_worker_is_used_again (void)
{
  fa_init (&cluster, 1, 1, 1);
  fa_run_ms (&cluster, 10000);
  cluster.worker[0].mute = 1;
  fa_run_ms (&cluster, 5000);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 8, 1000));
  fa_run_ms (&cluster, 15000);
  CU_ASSERT_EQUAL (fa_state (&cluster, "0000000000000001"), SJ_COMPLETED);
  expect_no_violations ();
  fa_fini (&cluster);
}

/* Guards against LIMIT: the time without a confirmed table of workers was
   taken for a silence in which the entry would have been removed.  */
static void
test_worker_that_does_not_report_after_outage_gets_no_starts (void)
{
  fa_init (&cluster, 1, 1, 1);
  fa_run_ms (&cluster, 10000);
  cluster.worker[0].mute = 1;
  fa_set_capacity (&cluster, 0, 4);
  sj_hold_starts (cluster.scheduler, 1);
  fa_run_ms (&cluster, 20000);
  sj_hold_starts (cluster.scheduler, 0);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 8, 1000));
  fa_run_ms (&cluster, 5000);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  expect_no_violations ();
  fa_fini (&cluster);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "planned before",
      test_start_planned_before_capacity_shrank_is_not_sent },
    { "gang planned before",
      test_gang_planned_before_capacity_shrank_stays_whole },
    { "over capacity", test_nothing_starts_on_worker_over_capacity },
    { "previous incarnation",
      test_capacity_of_previous_incarnation_does_not_count },
    { "stopping runs", test_stopping_runs_count_on_shrunk_worker },
    { "no reports", test_worker_that_does_not_report_gets_no_starts },
    { "quiet worker", test_quiet_worker_is_used_again },
    { "no reports after an outage",
      test_worker_that_does_not_report_after_outage_gets_no_starts },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("capacity", tests);
}
