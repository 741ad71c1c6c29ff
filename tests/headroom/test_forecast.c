/* The forecast of urgent demand: an even load, an oscillating one, a burst,
   and what a new holder knows.  */
#include <math.h>
#include <stdio.h>

#include "skr/headroom.h"
#include "suite.h"

enum
{
  TICK_MS = 10,
  RUN_MS = 2100,
  BATCH_RUN_MS = 8000,
  TASKS = 5,
  GUARANTEED = 700,
  PERIOD_MS = 15000 /* of the oscillation */
};

static const struct hr_need need = { 3700, 9800, 2 };
static const double pi = 3.14159265358979;

/* A load without scatter.  */
struct load
{
  struct hr_forecast f;
  int64_t now;
  double due; /* jobs that are to arrive */
};

static void
begin (struct load *l)
{
  *l = (struct load){ .now = 50000 };
  hr_init (&l->f, l->now);
  hr_add_batch (&l->f, BATCH_RUN_MS);
}

static void
run (struct load *l, int64_t ms, double per_s, double swing)
{
  for (int64_t until = l->now + ms; l->now < until; l->now += TICK_MS)
    {
      double phase = 2 * pi * (double)(l->now % PERIOD_MS) / PERIOD_MS;

      l->due += per_s * (1 + swing * sin (phase)) * TICK_MS / 1000;
      for (; l->due >= 1; l->due--)
        hr_add_urgent (&l->f, &need, TASKS, RUN_MS, l->now, l->now);
    }
}

static struct hr_keep
get_keep (struct load *l)
{
  struct hr_keep k;

  hr_get_keep (&l->f, 3, GUARANTEED, l->now, &k);
  return k;
}

/* Guards against a forecast from the first arrivals alone.  */
static void
test_no_forecast_without_history (void)
{
  static struct load l;

  begin (&l);
  CU_ASSERT_FALSE (hr_has_history (&l.f, 1, l.now));
  run (&l, HR_MIN_HISTORY_MS - 500, 8, 0);
  CU_ASSERT_FALSE (hr_has_history (&l.f, 1, l.now));
  run (&l, 500, 8, 0);
  CU_ASSERT (hr_has_history (&l.f, 1, l.now));
  CU_ASSERT_FALSE (hr_has_history (&l.f, 1, l.now + 60000));
}

/* Guards against a forecast from a trend that few arrivals do not show.  */
static void
test_no_forecast_of_rare_arrivals (void)
{
  static struct load l;

  begin (&l);
  run (&l, 10000, 2, 0);
  CU_ASSERT (hr_has_history (&l.f, 1, l.now));
  CU_ASSERT_FALSE (hr_has_history (&l.f, 4, l.now));
  run (&l, 16000, 8, 0);
  CU_ASSERT (hr_has_history (&l.f, 4, l.now));
}

/* Guards against headroom that grows with an even load: what runs ends as fast
   as others arrive.  */
static void
test_even_load (void)
{
  static struct load l;
  struct hr_keep k;

  begin (&l);
  run (&l, 20000, 8, 0);
  k = get_keep (&l);
  CU_ASSERT_DOUBLE_EQUAL (k.jobs_per_s, 8, 0.5);
  CU_ASSERT_DOUBLE_EQUAL (k.peak_per_s, 8, 1);
  /* 3 deviations of 17 jobs of 10 accelerators each.  */
  CU_ASSERT (k.accelerators >= TASKS * 2 && k.accelerators < 150);
  CU_ASSERT (k.tasks[2] >= TASKS);
  CU_ASSERT_EQUAL (k.need[2].accelerators, 2);
}

/* Guards against headroom that comes after the rise of an oscillating load. */
static void
test_oscillating_load (void)
{
  static struct load l;
  struct hr_keep rising, high;

  begin (&l);
  run (&l, 45000 - l.now % PERIOD_MS, 8, 0.55);
  rising = get_keep (&l);
  CU_ASSERT (rising.peak_per_s > rising.jobs_per_s * 1.3);
  CU_ASSERT (rising.peak_per_s < 8 * 1.7);
  run (&l, PERIOD_MS * 3 / 8, 8, 0.55);
  high = get_keep (&l);
  CU_ASSERT (high.peak_per_s < high.jobs_per_s * 1.1);
  CU_ASSERT (rising.accelerators > high.accelerators);
}

/* Guards against a burst that is seen too late, or remembered too long.  */
static void
test_burst (void)
{
  static struct load l;
  int64_t before, during;

  begin (&l);
  run (&l, 10000, 4, 0);
  before = get_keep (&l).accelerators;
  run (&l, 1000, 20, 0);
  during = get_keep (&l).accelerators;
  CU_ASSERT (during > before * 2);
  run (&l, 20000, 4, 0);
  CU_ASSERT (get_keep (&l).accelerators <= before * 5 / 4);
}

/* Guards against more than the guarantees, and less than one job.  */
static void
test_bounds (void)
{
  static struct load l;
  struct hr_keep k;

  begin (&l);
  run (&l, 4000, 1, 0);
  run (&l, 1000, 500, 0);
  CU_ASSERT_EQUAL (get_keep (&l).accelerators, GUARANTEED);
  begin (&l);
  run (&l, 4000, 0.3, 0);
  hr_get_keep (&l.f, 0, GUARANTEED, l.now, &k);
  CU_ASSERT (k.accelerators >= TASKS * 2 && k.tasks[2] >= TASKS);
}

/* Guards against a new holder that counts the jobs which it loads as a burst,
   or those of long ago.  */
static void
test_arrivals_before_take_over (void)
{
  static struct load l;

  begin (&l);
  for (int i = 0; i < 32; i++)
    hr_add_urgent (&l.f, &need, TASKS, RUN_MS, l.now - i * 125, l.now);
  hr_add_urgent (&l.f, &need, TASKS, RUN_MS, l.now - 60000, l.now);
  hr_add_urgent (&l.f, &need, TASKS, RUN_MS, -5, l.now);
  CU_ASSERT (hr_has_history (&l.f, 1, l.now));
  CU_ASSERT_DOUBLE_EQUAL (get_keep (&l).jobs_per_s, 8, 1.5);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "no history", test_no_forecast_without_history },
    { "rare arrivals", test_no_forecast_of_rare_arrivals },
    { "even load", test_even_load },
    { "oscillating load", test_oscillating_load },
    { "burst", test_burst },
    { "bounds", test_bounds },
    { "before a take-over", test_arrivals_before_take_over },
    CU_TEST_INFO_NULL,
  };

  printf ("state: %zu bytes\n", sizeof (struct hr_forecast));
  return run_suite ("headroom", tests);
}
