#include <CUnit/Basic.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake_fleet.h"

static const struct dc_config checked = { .check = 1 };

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

  ff_init (&f, &checked);
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
random_event (struct ff_fleet *f, gsl_rng *r, int workers, int accounts)
{
  uint32_t w = (uint32_t)gsl_rng_uniform_int (r, workers);
  uint32_t a = (uint32_t)gsl_rng_uniform_int (r, accounts);
  struct dc_job_spec spec
      = gsl_rng_uniform (r) < 0.4 ? urgent (a, 1, 1) : bulk (a, 1, 1);
  int kind = (int)gsl_rng_uniform_int (r, 40);

  if (kind == 0)
    ff_worker_event (f, DC_EV_DOWN, w);
  else if (kind == 1)
    ff_worker_event (f, DC_EV_LEAVING, w);
  else if (kind < 6)
    ff_worker (f, w, w / 4, w / 8, w % 5 == 4 ? 0 : 8, 8);
  else if (kind == 6)
    ff_plan (f, a, 1 << gsl_rng_uniform_int (r, 5),
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
            (long long)f.now_ms, dc_broken (f.dc));
  CU_ASSERT_EQUAL (f.error, 0);
  ff_fini (&f);
  gsl_rng_free (r);
}

static void
test_random_runs_break_nothing (void)
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
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("decide", NULL, NULL);
  CU_add_test (suite, "guarantee is reclaimed", test_guarantee_is_reclaimed);
  CU_add_test (suite, "random runs", test_random_runs_break_nothing);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
