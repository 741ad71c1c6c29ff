/* Violates each guarantee once and checks that the model reports it.  */
#include <stdio.h>
#include <string.h>

#include "suite.h"
#include "tests/soak/job_model.h"

static struct bk_model model;
static struct sf_observer watch;
static struct bk_job *job;
static struct sj_order order;

/* Adds an accepted job that has one step with one task.  */
static void
set_up (void)
{
  GRand *rand = g_rand_new_with_seed (1);

  bk_init (&model, 1);
  bk_init_observer (&model, &watch);
  job = bk_add_random_job (&model, rand);
  g_rand_free (rand);
  job->job->step_count = 1;
  job->job->step[0].count = 1;
  job->job->step[0].gang = 0;
  job->job->step[0].checkpoints = 1;
  job->accepted_submits = job->submit_finished = 1;
  order = (struct sj_order){ .kind = SJ_START,
                             .payload = job->job->payload,
                             .checkpoint = "" };
  memcpy (order.run.job, job->job->id, sizeof order.run.job);
  order.run.number = 1;
}

static void
start (void)
{
  struct sf_work work = { 0 };

  watch.on_start (watch.arg, &order, 0, &work);
}

static void
end (enum sj_end how)
{
  watch.on_end (watch.arg, &order.run, 0, how);
}

/* Returns the number of violations since set_up.  */
static int
tear_down (void)
{
  int n = model.violations;

  bk_fini (&model);
  return n;
}

static void
test_plain (void)
{
  set_up ();
  start ();
  end (SJ_END_DONE);
  watch.on_acknowledged (watch.arg, &order.run, SJ_END_DONE, 0);
  bk_check_state (&model, job, SJ_COMPLETED);
  bk_check_end (&model);
  CU_ASSERT_EQUAL (tear_down (), 0);
}

static void
test_runs_twice (void)
{
  set_up ();
  start ();
  order.run.number = 2;
  start ();
  CU_ASSERT_EQUAL (tear_down (), 1);
}

static void
test_started_after_end (void)
{
  set_up ();
  start ();
  end (SJ_END_DONE);
  watch.on_acknowledged (watch.arg, &order.run, SJ_END_DONE, 0);
  order.run.number = 2;
  start ();
  CU_ASSERT_EQUAL (tear_down (), 1);
}

static void
test_end_let_go_late (void)
{
  struct sj_run first;

  set_up ();
  start ();
  first = order.run;
  end (SJ_END_DONE);
  order.run.number = 2;
  start ();
  watch.on_acknowledged (watch.arg, &first, SJ_END_DONE, 0);
  CU_ASSERT_EQUAL (tear_down (), 1);
}

/* The run may be repeated because its lease had expired.  */
static void
test_end_after_lapse (void)
{
  struct sj_run first;

  set_up ();
  start ();
  first = order.run;
  end (SJ_END_DONE);
  order.run.number = 2;
  start ();
  watch.on_acknowledged (watch.arg, &first, SJ_END_DONE, 1);
  CU_ASSERT_EQUAL (tear_down (), 0);
}

static void
test_other_payload (void)
{
  set_up ();
  order.payload = "another";
  start ();
  CU_ASSERT_EQUAL (tear_down (), 1);
}

static void
test_other_checkpoint (void)
{
  set_up ();
  order.checkpoint = "0123456789abcdef.0.0.0=10";
  start ();
  CU_ASSERT_EQUAL (tear_down (), 1);
}

static void
test_unknown_job (void)
{
  set_up ();
  memcpy (order.run.job, "0123456789abcdef", sizeof order.run.job);
  start ();
  CU_ASSERT_EQUAL (tear_down (), 1);
}

static void
test_refused_job_runs (void)
{
  set_up ();
  job->accepted_submits = 0;
  start ();
  CU_ASSERT_EQUAL (tear_down (), 1);
}

static void
test_too_many_attempts (void)
{
  set_up ();
  for (int i = 0; i < job->job->max_attempts; i++)
    {
      start ();
      end (SJ_END_FAILED);
      watch.on_acknowledged (watch.arg, &order.run, SJ_END_FAILED, 0);
      order.run.number++;
    }
  CU_ASSERT_EQUAL (model.violations, 0);
  start ();
  CU_ASSERT_EQUAL (tear_down (), 1);
}

static void
test_shown_too_soon (void)
{
  set_up ();
  start ();
  bk_check_state (&model, job, SJ_COMPLETED);
  CU_ASSERT_EQUAL (tear_down (), 1);
}

static void
test_shown_without_cause (void)
{
  set_up ();
  bk_check_state (&model, job, SJ_FAILED);
  bk_check_state (&model, job, SJ_CANCELLED);
  CU_ASSERT_EQUAL (tear_down (), 2);
}

static void
test_lost (void)
{
  set_up ();
  bk_check_not_found (&model, job, job->accepted_ms + BK_VISIBILITY_MS, "vm0");
  CU_ASSERT_EQUAL (model.violations, 0);
  bk_check_not_found (&model, job, job->accepted_ms + BK_VISIBILITY_MS + 1,
                      "vm0");
  bk_check_end (&model);
  CU_ASSERT_EQUAL (tear_down (), 2);
}

static void
lose_worker (int times)
{
  for (int i = 0; i < times; i++)
    {
      start ();
      watch.on_lost (watch.arg, &order.run, 0);
      order.run.number++;
    }
}

static void
test_deadly_task_started_again (void)
{
  set_up ();
  job->is_deadly = 1;
  lose_worker (5);
  CU_ASSERT_EQUAL (model.violations, 0);
  lose_worker (1);
  CU_ASSERT_EQUAL (tear_down (), 1);
}

/* The task does not crash its workers; they crash by themselves.  */
static void
test_other_task_started_again (void)
{
  set_up ();
  job->is_deadly = 0;
  lose_worker (6);
  CU_ASSERT_EQUAL (tear_down (), 0);
}

static void
test_given_up_too_soon (void)
{
  set_up ();
  lose_worker (1);
  bk_check_state (&model, job, SJ_FAILED);
  CU_ASSERT_EQUAL (model.violations, 1);
  lose_worker (1);
  bk_check_state (&model, job, SJ_FAILED);
  CU_ASSERT_EQUAL (tear_down (), 1);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "test_plain", test_plain },
    { "test_runs_twice", test_runs_twice },
    { "test_started_after_end", test_started_after_end },
    { "test_end_let_go_late", test_end_let_go_late },
    { "test_end_after_lapse", test_end_after_lapse },
    { "test_other_payload", test_other_payload },
    { "test_other_checkpoint", test_other_checkpoint },
    { "test_unknown_job", test_unknown_job },
    { "test_refused_job_runs", test_refused_job_runs },
    { "test_too_many_attempts", test_too_many_attempts },
    { "test_shown_too_soon", test_shown_too_soon },
    { "test_shown_without_cause", test_shown_without_cause },
    { "test_lost", test_lost },
    { "test_deadly_task_started_again", test_deadly_task_started_again },
    { "test_other_task_started_again", test_other_task_started_again },
    { "test_given_up_too_soon", test_given_up_too_soon },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("book", tests);
}
