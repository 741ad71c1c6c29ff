/* Ratios of run times to the declared ones.  */
#include "skr/speed.h"
#include "suite.h"

/* Guards against a ratio that few runs or a single long one decide.  */
static void
test_median_ignores_long_runs (void)
{
  struct rt_ratio r = { .count = 0 };

  for (int i = 0; i < RT_MIN_SAMPLES - 1; i++)
    rt_observe (&r, 1.8, 1000);
  CU_ASSERT_EQUAL (rt_median (&r, 1000), 1);
  for (int i = 0; i < 20; i++)
    rt_observe (&r, i == 10 ? 12.6 : 1.8, 1000);
  CU_ASSERT_DOUBLE_EQUAL (rt_median (&r, 1000), 1.8, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (rt_tail (&r, 1000), 1.8, 0.001);
}

static void
test_ratio_follows_a_change (void)
{
  struct rt_ratio r = { .count = 0 };

  for (int i = 0; i < RT_SAMPLES; i++)
    rt_observe (&r, 0.6, 1000);
  for (int i = 0; i < RT_SAMPLES / 2 + 1; i++)
    rt_observe (&r, 1.2, 2000);
  CU_ASSERT_DOUBLE_EQUAL (rt_median (&r, 2000), 1.2, 0.001);
}

/* Guards against values that no run can have, and against old ones.  */
static void
test_bad_and_old_values_do_not_count (void)
{
  struct rt_ratio r = { .count = 0 };

  for (int i = 0; i < RT_SAMPLES; i++)
    {
      rt_observe (&r, 0, 1000);
      rt_observe (&r, 1e9, 1000);
    }
  CU_ASSERT_EQUAL (r.count, 0);
  for (int i = 0; i < RT_SAMPLES; i++)
    rt_observe (&r, 1.5, 1000);
  CU_ASSERT_DOUBLE_EQUAL (rt_median (&r, 1000), 1.5, 0.001);
  CU_ASSERT_EQUAL (rt_median (&r, 1000 + 3600000), 1);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "long runs", test_median_ignores_long_runs },
    { "change", test_ratio_follows_a_change },
    { "bad and old values", test_bad_and_old_values_do_not_count },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("run times", tests);
}
