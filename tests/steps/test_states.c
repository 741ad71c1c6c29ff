/* Runs that must be stopped, or must go on, by the state of their task and
   worker.  */
#include "steps/fake_cluster.h"
#include "suite.h"

enum
{
  GPUS = 8,
  LONG_MS = 20000,
  SHORT_MS = 1500 /* less than a leaving worker reports as left */
};

#define JOB "0000000000000001"

static struct fa_cluster cluster;

static struct sj_job *
urgent_job (int64_t run_ms)
{
  struct sj_job *job = fa_new_job (1, 0, 1, GPUS, run_ms);

  job->step[0].checkpoints = 1;
  return job;
}

static struct fa_worker *
worker_with_run (void)
{
  for (int i = 0; i < cluster.worker_count; i++)
    if (cluster.worker[i].runs->len)
      return &cluster.worker[i];
  CU_FAIL_FATAL ("nothing runs");
  return NULL;
}

/* Guards against a run that is lost with its worker, which has said that it
   leaves, though it could have resumed elsewhere from its checkpoint.  */
static void
test_long_run_leaves_draining_worker (void)
{
  fa_init (&cluster, 2, 2, 1);
  fa_submit (&cluster, urgent_job (LONG_MS));
  fa_run_ms (&cluster, 3000);
  worker_with_run ()->draining = 1;
  fa_run_ms (&cluster, 3000);
  CU_ASSERT_EQUAL (cluster.stopped, 1);
  CU_ASSERT_EQUAL (cluster.starts, 2);
  CU_ASSERT (!worker_with_run ()->draining);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

/* Guards against a stop of a run that ends before its worker leaves.  */
static void
test_short_run_ends_on_draining_worker (void)
{
  fa_init (&cluster, 2, 2, 1);
  fa_submit (&cluster, urgent_job (SHORT_MS));
  fa_run_ms (&cluster, 100);
  worker_with_run ()->draining = 1;
  worker_with_run ()->report_ms = cluster.now;
  fa_run_ms (&cluster, 3000);
  CU_ASSERT_EQUAL (cluster.stopped, 0);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

/* Guards against a run that goes on after an earlier one of its task was found
   to be done: its worker was cut off when it ended.  */
static void
test_late_end_stops_the_next_run (void)
{
  struct fa_worker *first;

  fa_init (&cluster, 2, 2, 1);
  fa_submit (&cluster, urgent_job (3000));
  fa_run_ms (&cluster, 1000);
  first = worker_with_run ();
  first->partitioned = 1;
  fa_run_ms (&cluster, 7500);
  CU_ASSERT_EQUAL (cluster.done_runs, 1);
  CU_ASSERT_EQUAL (cluster.starts, 2);
  first->partitioned = 0;
  fa_run_ms (&cluster, 1500);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.stopped, 1);
  CU_ASSERT_EQUAL (cluster.done_runs, 1);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "long run, draining", test_long_run_leaves_draining_worker },
    { "short run, draining", test_short_run_ends_on_draining_worker },
    { "late end", test_late_end_stops_the_next_run },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("states", tests);
}
