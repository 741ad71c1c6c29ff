#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake_fleet.h"
#include "suite.h"

static const struct dc_config checked_config = { .check = 1 };

static struct dc_job_spec
urgent (uint32_t account, int tasks, int per_task)
{
  return (struct dc_job_spec){ .account = account,
                               .class = DC_URGENT,
                               .tasks = tasks,
                               .per_task = per_task,
                               .declared_ms = 1000,
                               .repeatable = 1 };
}

static struct dc_job_spec
bulk (uint32_t account, int tasks, int per_task)
{
  struct dc_job_spec spec = urgent (account, tasks, per_task);

  spec.class = DC_BULK;
  spec.preemptible = 1;
  return spec;
}

static void
test_guarantee_is_reclaimed (void)
{
  struct ff_fleet f;
  uint32_t job;

  ff_init (&f, &checked_config);
  ff_worker (&f, 0, 0, 0, 8, 8);
  ff_plan (&f, 1, 8, 1);
  CU_ASSERT_EQUAL (f.accepted, 1);
  for (int i = 0; i < 8; i++)
    ff_submit (&f, bulk (0, 1, 1), 100000);
  ff_run (&f, 500);
  job = ff_submit (&f, urgent (1, 2, 4), 1000);
  ff_run (&f, 60000);
  CU_ASSERT_EQUAL (f.error, 0);
  CU_ASSERT_EQUAL (f.job[job].state, FF_DONE);
  CU_ASSERT_EQUAL (f.job[job].first_ms - f.job[job].submit_ms, 2000);
  ff_run (&f, 300000);
  for (uint32_t i = 0; i < 8; i++)
    CU_ASSERT_EQUAL (f.job[i].state, FF_DONE);
  ff_fini (&f);
}

static void
two_racks (struct ff_fleet *f, const struct dc_config *config)
{
  ff_init (f, config);
  for (uint32_t w = 0; w < 4; w++)
    ff_worker (f, w, w / 2, 0, 8, 8);
}

static void
test_too_large_is_refused (void)
{
  struct ff_fleet f;

  two_racks (&f, &checked_config);
  ff_submit (&f, bulk (0, 1, 9), 1000);
  ff_submit (&f, bulk (0, 5, 8), 1000);
  ff_submit (&f, bulk (0, 33, 0), 1000);
  ff_submit (&f, bulk (0, 4, 8), 1000);
  ff_run (&f, 10000);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (f.job[i].state, FF_REFUSED);
  CU_ASSERT_EQUAL (f.job[3].state, FF_DONE);
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

static void
test_gang_is_adjacent (void)
{
  struct ff_fleet f;
  uint32_t small, large;

  two_racks (&f, &checked_config);
  small = ff_submit (&f, bulk (0, 4, 2), 5000);
  large = ff_submit (&f, bulk (0, 2, 8), 5000);
  ff_run (&f, 100);
  for (int t = 1; t < 4; t++)
    CU_ASSERT_EQUAL (f.job[small].place[t].worker,
                     f.job[small].place[0].worker);
  CU_ASSERT_EQUAL (f.job[large].place[0].worker / 2,
                   f.job[large].place[1].worker / 2);
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

static void
test_plans_fit_together_or_not (void)
{
  static const struct dc_fleet_worker fleet[]
      = { { 0, 0, 8, 8 }, { 0, 0, 8, 8 }, { 1, 0, 8, 8 } };
  struct dc_guarantee g[]
      = { { 0, 1, { { 16, 1 } } }, { 1, 1, { { 4, 2 } } } };
  const char *reason;

  CU_ASSERT_EQUAL (dc_plans_fit (fleet, 3, g, 2, 0, &reason), DC_OK);
  CU_ASSERT_EQUAL (dc_plans_fit (fleet, 3, g, 2, 1, &reason), DC_EINVAL);
  CU_ASSERT_PTR_NOT_NULL (reason);
  g[1].shape[0].count = 3;
  CU_ASSERT_EQUAL (dc_plans_fit (fleet, 3, g, 2, 0, &reason), DC_EINVAL);
}

static void
test_plan_event_is_accepted_or_refused (void)
{
  struct ff_fleet f;

  two_racks (&f, &checked_config);
  ff_plan (&f, 0, 8, 3);
  ff_plan (&f, 1, 4, 3);
  ff_plan (&f, 1, 4, 2);
  CU_ASSERT_EQUAL (f.accepted, 2);
  CU_ASSERT_EQUAL (f.refused, 1);
  f.version = 0;
  ff_plan (&f, 0, 1, 1);
  CU_ASSERT_EQUAL (f.accepted, 2);
  ff_fini (&f);
}

static void
test_slot_only_tasks_do_not_block_a_guarantee (void)
{
  struct ff_fleet f;
  struct dc_job_spec spec = urgent (0, 1, 0);
  uint32_t job;

  ff_init (&f, &checked_config);
  ff_worker (&f, 0, 0, 0, 8, 8);
  ff_plan (&f, 1, 8, 1);
  for (int i = 0; i < 4; i++)
    ff_submit (&f, spec, 100000);
  ff_run (&f, 100);
  CU_ASSERT_EQUAL (f.job[0].state, FF_WAITING);
  job = ff_submit (&f, urgent (1, 8, 1), 1000);
  ff_run (&f, 200);
  CU_ASSERT_EQUAL (f.job[job].state, FF_RUNNING);
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

static void
test_nonpreemptible_work_stays_out_of_cells (void)
{
  struct ff_fleet f;
  struct dc_job_spec spec = bulk (0, 1, 8);

  ff_init (&f, &checked_config);
  ff_worker (&f, 0, 0, 0, 8, 8);
  ff_worker (&f, 1, 0, 0, 8, 8);
  ff_plan (&f, 1, 8, 1);
  spec.preemptible = 0;
  ff_submit (&f, spec, 100000);
  ff_submit (&f, spec, 100000);
  ff_run (&f, 100);
  CU_ASSERT_EQUAL (f.job[0].state, FF_RUNNING);
  CU_ASSERT_EQUAL (f.job[1].state, FF_WAITING);
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

static void
test_lost_tasks_end_or_requeue_the_job (void)
{
  struct ff_fleet f;
  struct dc_job_spec once = bulk (0, 1, 8);

  ff_init (&f, &checked_config);
  ff_worker (&f, 0, 0, 0, 8, 8);
  ff_worker (&f, 1, 0, 0, 8, 8);
  once.repeatable = 0;
  ff_submit (&f, once, 10000);
  ff_submit (&f, bulk (0, 1, 8), 10000);
  ff_run (&f, 100);
  ff_worker_event (&f, DC_EV_WORKER_DOWN, 0);
  ff_worker_event (&f, DC_EV_WORKER_DOWN, 1);
  CU_ASSERT_EQUAL (f.job[0].state, FF_UNKNOWN);
  CU_ASSERT_EQUAL (f.job[1].state, FF_WAITING);
  ff_worker (&f, 1, 0, 0, 8, 8);
  ff_run (&f, 60000);
  CU_ASSERT_EQUAL (f.job[0].starts, 1);
  CU_ASSERT_EQUAL (f.job[1].state, FF_DONE);
  CU_ASSERT_EQUAL (f.job[1].attempt, 2);
  ff_fini (&f);
}

static void
test_leaving_worker_ends_its_work (void)
{
  struct ff_fleet f;

  ff_init (&f, &checked_config);
  ff_worker (&f, 0, 0, 0, 8, 8);
  ff_submit (&f, bulk (0, 1, 4), 5000);
  ff_run (&f, 100);
  ff_worker_event (&f, DC_EV_WORKER_LEAVING, 0);
  ff_submit (&f, bulk (0, 1, 4), 5000);
  ff_run (&f, 20000);
  CU_ASSERT_EQUAL (f.job[0].state, FF_DONE);
  CU_ASSERT_EQUAL (f.job[1].state, FF_WAITING);
  ff_fini (&f);
}

static void
test_cancel_in_every_state (void)
{
  struct ff_fleet f;

  ff_init (&f, &checked_config);
  ff_worker (&f, 0, 0, 0, 8, 8);
  ff_plan (&f, 1, 8, 1);
  ff_submit (&f, bulk (0, 1, 8), 50000);
  ff_submit (&f, bulk (0, 1, 8), 50000);
  ff_run (&f, 100);
  ff_submit (&f, urgent (1, 1, 8), 1000);
  ff_run (&f, 200);
  for (uint32_t i = 0; i < 3; i++)
    ff_cancel (&f, i);
  ff_run (&f, 9000);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (f.job[i].state, FF_CANCELLED);
  ff_submit (&f, urgent (1, 1, 8), 1000);
  ff_run (&f, 9001);
  CU_ASSERT_EQUAL (f.job[3].state, FF_RUNNING);
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

static void
test_job_failing_everywhere_ends_without_quarantine (void)
{
  struct ff_fleet f;

  two_racks (&f, &checked_config);
  for (int i = 0; i < 6; i++)
    f.job[ff_submit (&f, bulk (0, 1, 1), 1500)].fails = 1;
  ff_run (&f, 200000);
  for (int i = 0; i < 6; i++)
    {
      CU_ASSERT_EQUAL (f.job[i].state, FF_FAILED);
      CU_ASSERT (f.job[i].starts <= 12);
    }
  CU_ASSERT_EQUAL (f.quarantines, 0);
  ff_fini (&f);
}

static void
test_bad_worker_is_quarantined_and_readmitted (void)
{
  struct ff_fleet f;

  two_racks (&f, &checked_config);
  f.fails_all[2] = 1;
  for (int i = 0; i < 40; i++)
    ff_submit (&f, bulk (0, 1, 2), 8000);
  ff_run (&f, 50000);
  CU_ASSERT_EQUAL (f.quarantined[2], 1);
  CU_ASSERT_EQUAL (f.quarantines, 1);
  for (int i = 0; i < 40; i++)
    CU_ASSERT_EQUAL (f.job[i].state, FF_DONE);
  f.fails_all[2] = 0;
  ff_run (&f, 100000);
  CU_ASSERT_EQUAL (f.quarantined[2], 0);
  for (int i = 0; i < 20; i++)
    ff_submit (&f, bulk (0, 1, 8), 3000);
  ff_run (&f, 200000);
  CU_ASSERT_EQUAL (f.quarantines, 1);
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

static void
test_large_gang_starts_among_small_jobs (void)
{
  struct ff_fleet f;
  uint32_t gang;

  two_racks (&f, &checked_config);
  gang = 0;
  for (int i = 0; i < 3000 && !f.error; i++)
    {
      struct dc_job_spec spec = bulk (0, 1, 2);

      spec.preemptible = 0;
      ff_submit (&f, spec, 9000);
      if (i == 100)
        gang = ff_submit (&f, bulk (1, 2, 8), 1000);
      ff_run (&f, f.now_ms + 500);
    }
  CU_ASSERT (f.job[gang].starts > 0);
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

static void
test_adopt (void)
{
  struct ff_fleet f;
  struct dc_place place[] = { { 1, 0x0f }, { 1, 0xf0 } };
  struct dc_event e = { .kind = DC_EV_ADOPT };

  two_racks (&f, &checked_config);
  ff_plan (&f, 0, 8, 1);
  e.u.adopt.job = ff_submit (&f, urgent (0, 2, 4), 1000);
  e.u.adopt.attempt = 3;
  e.u.adopt.place = place;
  ff_apply (&f, &e);
  e.u.adopt.job = ff_submit (&f, urgent (1, 2, 4), 1000);
  e.at_ms = f.now_ms;
  CU_ASSERT_EQUAL (dc_apply (f.dc, &e), DC_EINVAL);
  ff_run (&f, 100);
  CU_ASSERT (f.job[1].place[0].worker != 1);
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

static uint32_t
urgent_starts_within (struct ff_fleet *f, uint32_t account, int64_t within_ms)
{
  uint32_t job = ff_submit (f, urgent (account, 1, 8), 1000);

  ff_run (f, f->now_ms + within_ms + 1);
  return f->job[job].first_ms >= 0 && f->job[job].starts > 0;
}

/* A restart finds less capacity than there was when the plan was accepted.
   The stored plan must still be accepted, and its cells bound once they
   fit.  */
static void
test_stored_plan_is_never_refused (void)
{
  struct ff_fleet f;
  uint32_t fixed;

  ff_init (&f, &checked_config);
  ff_stored_plan (&f, 0, 8, 2);
  CU_ASSERT_EQUAL (f.accepted, 1);
  ff_worker (&f, 0, 0, 0, 8, 8);
  fixed = ff_submit (&f, urgent (2, 1, 8), 50000);
  ff_run (&f, 1000);
  CU_ASSERT (f.job[fixed].starts == 0);
  ff_worker (&f, 1, 0, 0, 8, 8);
  ff_run (&f, 2000);
  CU_ASSERT (f.job[fixed].starts == 0);
  ff_worker (&f, 2, 0, 0, 8, 8);
  ff_run (&f, 3000);
  CU_ASSERT (f.job[fixed].starts == 1);
  ff_plan (&f, 1, 8, 1);
  CU_ASSERT_EQUAL (f.refused, 1);
  ff_stored_plan (&f, 1, 8, 1);
  CU_ASSERT_EQUAL (f.accepted, 2);
  CU_ASSERT_EQUAL (f.refused, 1);
  CU_ASSERT (urgent_starts_within (&f, 0, 0));
  CU_ASSERT (!urgent_starts_within (&f, 1, 2000));
  ff_run (&f, 60000);
  fixed = ff_submit (&f, urgent (2, 1, 8), 50000);
  for (int i = 0; i < 8; i++)
    ff_submit (&f, bulk (2, 1, 3), 100000);
  ff_run (&f, 61000);
  CU_ASSERT (f.job[fixed].starts == 0);
  CU_ASSERT (urgent_starts_within (&f, 1, 2000));
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

/* A cell that lost its worker fits again only if a cell in use moves.  */
static void
test_lost_cell_moves_used_ones (void)
{
  struct ff_fleet f;
  uint32_t lost = 0;

  ff_init (&f, &checked_config);
  ff_worker (&f, 0, 0, 0, 8, 8);
  ff_worker (&f, 1, 0, 0, 8, 8);
  ff_submit (&f, urgent (3, 1, 6), 1000);
  ff_run (&f, 100);
  ff_plan (&f, 0, 4, 1);
  ff_submit (&f, urgent (2, 1, 2), 100000);
  ff_submit (&f, bulk (0, 1, 4), 100000);
  ff_run (&f, 2000);
  CU_ASSERT_EQUAL (f.job[0].place[0].worker, f.job[1].place[0].worker);
  CU_ASSERT_NOT_EQUAL (f.job[1].place[0].worker, f.job[2].place[0].worker);
  ff_worker (&f, 2, 0, 0, 8, 8);
  ff_plan (&f, 1, 8, 1);
  CU_ASSERT_EQUAL (f.accepted, 2);
  ff_run (&f, 3000);
  ff_worker_event (&f, DC_EV_WORKER_DOWN, 2);
  ff_run (&f, 4000);
  lost = ff_submit (&f, urgent (1, 2, 4), 1000);
  ff_run (&f, 4000 + DC_CHECKPOINT_MS + 1);
  CU_ASSERT_EQUAL (f.job[lost].starts, 1);
  ff_run (&f, 20000);
  CU_ASSERT_EQUAL (f.job[2].state, FF_RUNNING);
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
}

static void
random_event (struct ff_fleet *f, gsl_rng *r, int workers, int accounts)
{
  uint32_t w = (uint32_t)gsl_rng_uniform_int (r, workers);
  uint32_t a = (uint32_t)gsl_rng_uniform_int (r, accounts);
  struct dc_job_spec spec
      = gsl_rng_uniform (r) < 0.4 ? urgent (a, 1, 1) : bulk (a, 1, 1);
  int kind = (int)gsl_rng_uniform_int (r, 40);

  if (kind == 0)
    ff_worker_event (f, DC_EV_WORKER_DOWN, w);
  else if (kind == 1)
    ff_worker_event (f, DC_EV_WORKER_LEAVING, w);
  else if (kind < 6)
    ff_worker (f, w, w / 4, w / 8, w % 5 == 4 ? 0 : 8, 8);
  else if (kind == 6)
    (gsl_rng_uniform (r) < 0.8 ? ff_plan : ff_stored_plan) (
        f, a, 1 << gsl_rng_uniform_int (r, 5),
        (int)gsl_rng_uniform_int (r, 4));
  else if (kind == 7)
    f->fails_all[w] = gsl_rng_uniform (r) < 0.2;
  else if (kind < 10 && f->jobs)
    ff_cancel (f, (uint32_t)gsl_rng_uniform_int (r, f->jobs));
  else
    {
      spec.tasks = 1 << gsl_rng_uniform_int (r, 6);
      spec.per_task = (int)gsl_rng_uniform_int (r, 9);
      if (spec.tasks > 8 && spec.per_task > 2)
        spec.per_task = 1;
      spec.repeatable = gsl_rng_uniform (r) < 0.8;
      spec.preemptible = gsl_rng_uniform (r) < 0.6;
      ff_submit (f, spec, (int64_t)gsl_rng_uniform_int (r, 20000) + 1);
      f->job[f->jobs - 1].fails = gsl_rng_uniform (r) < 0.03;
    }
}

static void
run_random (unsigned long seed, int events, struct dc_config config)
{
  gsl_rng *r = gsl_rng_alloc (gsl_rng_mt19937);
  struct ff_fleet f;

  gsl_rng_set (r, seed);
  ff_init (&f, &config);
  for (uint32_t w = 0; w < 16; w++)
    ff_worker (&f, w, w / 4, w / 8, w % 5 == 4 ? 0 : 8, 8);
  for (int i = 0; i < events && !f.error; i++)
    {
      random_event (&f, r, 16, 5);
      if (gsl_rng_uniform (r) < 0.8)
        ff_run (&f, f.now_ms + (int64_t)gsl_rng_uniform_int (r, 4000));
    }
  if (f.error)
    printf ("\nseed %lu: error %d at %lld: %s\n", seed, f.error,
            (long long)f.now_ms, dc_broken_invariant (f.dc));
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
  gsl_rng_free (r);
}

static void
test_random_events_keep_invariants (void)
{
  for (unsigned long seed = 1; seed <= 20; seed++)
    for (int policy = 0; policy < 3; policy++)
      run_random (seed, 1500,
                  (struct dc_config){ .check = 1,
                                      .policy = (enum dc_policy)policy,
                                      .spare_workers = (int)(seed % 3 == 0) });
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "guarantee is reclaimed", test_guarantee_is_reclaimed },
    { "too large is refused", test_too_large_is_refused },
    { "gang is adjacent", test_gang_is_adjacent },
    { "plans fit", test_plans_fit_together_or_not },
    { "plan event", test_plan_event_is_accepted_or_refused },
    { "slots", test_slot_only_tasks_do_not_block_a_guarantee },
    { "nonpreemptible work", test_nonpreemptible_work_stays_out_of_cells },
    { "lost work", test_lost_tasks_end_or_requeue_the_job },
    { "leaving", test_leaving_worker_ends_its_work },
    { "cancel", test_cancel_in_every_state },
    { "job failing everywhere",
      test_job_failing_everywhere_ends_without_quarantine },
    { "failing worker", test_bad_worker_is_quarantined_and_readmitted },
    { "large gang", test_large_gang_starts_among_small_jobs },
    { "adopt", test_adopt },
    { "stored plan", test_stored_plan_is_never_refused },
    { "lost cell", test_lost_cell_moves_used_ones },
    { "random runs", test_random_events_keep_invariants },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("decide", tests);
}
