/* Each promise of the book is broken once, and the book must say so.  */
#include <stdio.h>
#include <string.h>

#include "suite.h"
#include "tests/soak/job_model.h"

static struct bk_book book;
static struct sf_watch watch;
static struct bk_job *job;
static struct sj_order order;

/* A job of one step of one task that was accepted.  */
static void
begin (void)
{
  GRand *rand = g_rand_new_with_seed (1);

  bk_init (&book, 1);
  bk_watch (&book, &watch);
  job = bk_new_job (&book, rand);
  g_rand_free (rand);
  job->job->steps = 1;
  job->job->step[0].count = 1;
  job->job->step[0].gang = 0;
  job->job->step[0].saves = 1;
  job->accepted = job->closed = 1;
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

  watch.starts (watch.arg, &order, 0, &work);
}

static void
end (enum sj_end how)
{
  watch.ends (watch.arg, &order.run, 0, how);
}

/* Breaches since begin.  */
static int
finish (void)
{
  int n = book.breaches;

  bk_fini (&book);
  return n;
}

static void
test_plain (void)
{
  begin ();
  start ();
  end (SJ_END_DONE);
  watch.noted (watch.arg, &order.run, SJ_END_DONE, 0);
  bk_shown (&book, job, SJ_COMPLETED);
  bk_check_end (&book);
  CU_ASSERT_EQUAL (finish (), 0);
}

static void
test_runs_twice (void)
{
  begin ();
  start ();
  order.run.number = 2;
  start ();
  CU_ASSERT_EQUAL (finish (), 1);
}

static void
test_started_after_end (void)
{
  begin ();
  start ();
  end (SJ_END_DONE);
  watch.noted (watch.arg, &order.run, SJ_END_DONE, 0);
  order.run.number = 2;
  start ();
  CU_ASSERT_EQUAL (finish (), 1);
}

static void
test_end_let_go_late (void)
{
  struct sj_run first;

  begin ();
  start ();
  first = order.run;
  end (SJ_END_DONE);
  order.run.number = 2;
  start ();
  watch.noted (watch.arg, &first, SJ_END_DONE, 0);
  CU_ASSERT_EQUAL (finish (), 1);
}

/* The lease ran out between: the run may be repeated.  */
static void
test_end_after_lapse (void)
{
  struct sj_run first;

  begin ();
  start ();
  first = order.run;
  end (SJ_END_DONE);
  order.run.number = 2;
  start ();
  watch.noted (watch.arg, &first, SJ_END_DONE, 1);
  CU_ASSERT_EQUAL (finish (), 0);
}

static void
test_other_payload (void)
{
  begin ();
  order.payload = "another";
  start ();
  CU_ASSERT_EQUAL (finish (), 1);
}

static void
test_other_checkpoint (void)
{
  begin ();
  order.checkpoint = "0123456789abcdef.0.0.0=10";
  start ();
  CU_ASSERT_EQUAL (finish (), 1);
}

static void
test_unknown_job (void)
{
  begin ();
  memcpy (order.run.job, "0123456789abcdef", sizeof order.run.job);
  start ();
  CU_ASSERT_EQUAL (finish (), 1);
}

static void
test_refused_job_runs (void)
{
  begin ();
  job->accepted = 0;
  start ();
  CU_ASSERT_EQUAL (finish (), 1);
}

static void
test_too_many_attempts (void)
{
  begin ();
  for (int i = 0; i < job->job->max_attempts; i++)
    {
      start ();
      end (SJ_END_FAILED);
      watch.noted (watch.arg, &order.run, SJ_END_FAILED, 0);
      order.run.number++;
    }
  CU_ASSERT_EQUAL (book.breaches, 0);
  start ();
  CU_ASSERT_EQUAL (finish (), 1);
}

static void
test_shown_too_soon (void)
{
  begin ();
  start ();
  bk_shown (&book, job, SJ_COMPLETED);
  CU_ASSERT_EQUAL (finish (), 1);
}

static void
test_shown_without_cause (void)
{
  begin ();
  bk_shown (&book, job, SJ_FAILED);
  bk_shown (&book, job, SJ_CANCELLED);
  CU_ASSERT_EQUAL (finish (), 2);
}

static void
test_lost (void)
{
  begin ();
  bk_denied (&book, job, job->accepted_ms + BK_VISIBLE_MS, "vm0");
  CU_ASSERT_EQUAL (book.breaches, 0);
  bk_denied (&book, job, job->accepted_ms + BK_VISIBLE_MS + 1, "vm0");
  bk_check_end (&book);
  CU_ASSERT_EQUAL (finish (), 2);
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
    CU_TEST_INFO_NULL,
  };

  return run_suite ("book", tests);
}
