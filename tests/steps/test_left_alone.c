/* Jobs that a holder leaves alone, and decisions without their optional
   parts.  */
#include "steps/fake_cluster.h"
#include "suite.h"

enum
{
  WORKERS = 2,
  GPUS = 8,
  RUN_MS = 3000
};

#define ALONE "0000000000000001"
#define OTHER "0000000000000002"

static struct fa_cluster cluster;

/* A job that uses all workers is left alone by the next holder.  */
static void
begin (void)
{
  fa_init (&cluster, WORKERS, WORKERS, 1);
  fa_submit (&cluster, fa_new_job (1, 0, WORKERS, GPUS, RUN_MS));
  fa_run_ms (&cluster, RUN_MS / 2);
  CU_ASSERT_EQUAL_FATAL (cluster.starts, WORKERS);
  cluster.left_alone = ALONE;
  fa_take_over (&cluster);
}

/* Guards against stops of its runs, against starts beside them, against ends
   that are acknowledged and lost, and against tasks that run twice.  */
static void
test_runs_go_on_and_ends_are_kept (void)
{
  begin ();
  fa_submit (&cluster, fa_new_job (2, 0, WORKERS, GPUS, RUN_MS));
  fa_run_ms (&cluster, RUN_MS / 3);
  CU_ASSERT_EQUAL (cluster.starts, WORKERS);
  fa_run_ms (&cluster, 2 * RUN_MS + 1000);
  CU_ASSERT_EQUAL (cluster.stopped, 0);
  CU_ASSERT_EQUAL (fa_state (&cluster, OTHER), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_state (&cluster, ALONE), SJ_RUNNING);
  cluster.left_alone = NULL;
  fa_take_over (&cluster);
  fa_run_ms (&cluster, RUN_MS);
  CU_ASSERT_EQUAL (fa_state (&cluster, ALONE), SJ_COMPLETED);
  CU_ASSERT_EQUAL (cluster.starts, 2 * WORKERS);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

/* Guards against runs that lapse, as a worker with nothing else gets no
   renewals of its lease.  */
static void
test_lease_is_renewed (void)
{
  fa_init (&cluster, WORKERS, WORKERS, 1);
  fa_submit (&cluster, fa_new_job (1, 0, WORKERS, GPUS, 10 * RUN_MS));
  fa_run_ms (&cluster, RUN_MS);
  cluster.left_alone = ALONE;
  fa_take_over (&cluster);
  fa_run_ms (&cluster, 10 * RUN_MS);
  CU_ASSERT_EQUAL (cluster.done_runs, WORKERS);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

/* Guards against runs of a cancelled job that go on.  */
static void
test_cancelled_job_is_stopped (void)
{
  begin ();
  fa_cancel (&cluster, ALONE);
  fa_run_ms (&cluster, 1000);
  CU_ASSERT_EQUAL (cluster.stopped, WORKERS);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

/* Guards against a guarantee that needs an optional part.  */
static void
test_guarantee_holds_without_parts (void)
{
  struct sj_job *batch = fa_new_job (1, 2, WORKERS * GPUS, 1, 20 * RUN_MS);
  struct sj_job *urgent = fa_new_job (2, 0, WORKERS, GPUS, RUN_MS);

  fa_init (&cluster, WORKERS, WORKERS, 1);
  cluster.settings.speed_aware = 1;
  cluster.settings.headroom_forecast = 1;
  cluster.settings.reclaim_ms = 2700;
  fa_take_over (&cluster);
  sj_set_parts (cluster.scheduler, 0);
  sj_set_guarantee (cluster.scheduler, "a", WORKERS * GPUS);
  urgent->step[0].gang = 1;
  fa_submit (&cluster, batch);
  fa_run_ms (&cluster, RUN_MS);
  CU_ASSERT_EQUAL (cluster.starts, WORKERS * GPUS);
  fa_submit (&cluster, urgent);
  fa_run_ms (&cluster, RUN_MS);
  CU_ASSERT (fa_whole_start_delay_ms (&cluster, OTHER) >= 0);
  CU_ASSERT (fa_whole_start_delay_ms (&cluster, OTHER) < 1500);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "runs go on", test_runs_go_on_and_ends_are_kept },
    { "lease", test_lease_is_renewed },
    { "cancelled job", test_cancelled_job_is_stopped },
    { "guarantee without parts", test_guarantee_holds_without_parts },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("left_alone", tests);
}
