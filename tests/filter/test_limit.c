/* Limits of one account over several entry VMs.  */
#include <gsl/gsl_rng.h>
#include <stdlib.h>

#include "filter/limit.h"
#include "suite.h"

enum
{
  VMS = 9,
  LIMIT = 900,
  PERIODS = 400,
  SEEDS = 20
};

/* Guards against a limit of 0 that still allows requests.  */
static void
test_nothing_is_allowed_of_nothing (void)
{
  CU_ASSERT_EQUAL (fl_limit_allowed (0, 1, 0, 0, 1), 0);
}

/* Guards against a single entry VM that may not use the whole limit.  */
static void
test_one_vm_has_it_all (void)
{
  CU_ASSERT_EQUAL (fl_limit_allowed (LIMIT, 1, 0, 0, 1), LIMIT);
}

/* Guards against a VM that stays below the limit although the other VMs use
   nothing.  */
static void
test_one_busy_vm_comes_to_the_whole_limit (void)
{
  int32_t own = LIMIT / VMS;

  for (int i = 0; i < 6; i++)
    own = fl_limit_allowed (LIMIT, VMS, own, 0, 1);
  CU_ASSERT_EQUAL (own, LIMIT);
}

/* Guards against a VM that uses more than its equal share of the limit while
   it does not know what the others use.  */
static void
test_cut_off_vm_keeps_to_its_share (void)
{
  CU_ASSERT_EQUAL (fl_limit_allowed (LIMIT, VMS, LIMIT, 0, 0), LIMIT / VMS);
}

/* Runs periods in which each VM's demand is at random 0 or twice the limit and
   each VM knows what the others used in the period before.  Returns the
   largest sum of all VMs' use in one period.  */
static int
largest_sum (unsigned long seed)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  int32_t used[VMS] = { 0 }, next[VMS];
  int worst = 0;

  gsl_rng_set (rng, seed);
  for (int p = 0; p < PERIODS; p++)
    {
      int sum = 0;

      for (int v = 0; v < VMS; v++)
        {
          int32_t peers = 0, demand;

          for (int o = 0; o < VMS; o++)
            peers += o == v ? 0 : used[o];
          demand = gsl_rng_uniform_int (rng, 3) ? 0 : 2 * LIMIT;
          next[v] = fl_limit_allowed (LIMIT, VMS, used[v], peers, 1);
          if (demand < next[v])
            next[v] = demand;
          sum += next[v];
        }
      for (int v = 0; v < VMS; v++)
        used[v] = next[v];
      if (sum > worst)
        worst = sum;
    }
  gsl_rng_free (rng);
  return worst;
}

static void
test_sum_stays_within_the_stated_bound (void)
{
  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    CU_ASSERT (largest_sum (seed) < 3 * LIMIT);
}

static void
test_steady_demand_of_all_stays_at_the_limit (void)
{
  int32_t used[VMS] = { 0 };
  int sum = 0;

  for (int p = 0; p < 10; p++)
    {
      int32_t next[VMS];

      sum = 0;
      for (int v = 0; v < VMS; v++)
        {
          int32_t peers = 0;

          for (int o = 0; o < VMS; o++)
            peers += o == v ? 0 : used[o];
          next[v] = fl_limit_allowed (LIMIT, VMS, used[v], peers, 1);
          sum += next[v];
        }
      for (int v = 0; v < VMS; v++)
        used[v] = next[v];
    }
  CU_ASSERT (sum <= LIMIT);
}

static struct fl_limit
make_limit (int32_t rate, int32_t concurrent)
{
  struct fl_limit l;

  fl_limit_init (&l, 0);
  l.calls_per_second = rate;
  l.concurrent_calls = concurrent;
  fl_limit_end_period (&l, 1, 0, 0, 1);
  return l;
}

/* Guards against a burst of more requests than one period allows, and against
   a bucket that does not refill.  */
static void
test_rate_is_a_bucket_of_one_period (void)
{
  struct fl_limit l = make_limit (10, 1000);
  int passed = 0;

  for (int i = 0; i < 50; i++)
    passed += fl_limit_acquire (&l, 5 * FL_LIMIT_PERIOD_MS) == FL_LIMIT_PASS;
  CU_ASSERT_EQUAL (passed, 10);
  CU_ASSERT_EQUAL (fl_limit_acquire (&l, 5 * FL_LIMIT_PERIOD_MS),
                   FL_LIMIT_RATE);
  CU_ASSERT_EQUAL (fl_limit_acquire (&l, 5 * FL_LIMIT_PERIOD_MS + 100),
                   FL_LIMIT_PASS);
}

static void
test_first_call_of_a_new_account_passes (void)
{
  struct fl_limit l = make_limit (10, 2), none = make_limit (0, 2);

  CU_ASSERT_EQUAL (fl_limit_acquire (&l, 0), FL_LIMIT_PASS);
  CU_ASSERT_EQUAL (fl_limit_acquire (&l, 0), FL_LIMIT_RATE);
  CU_ASSERT_EQUAL (fl_limit_acquire (&none, 0), FL_LIMIT_RATE);
}

/* Guards against a request that still counts as in progress after its release.
 */
static void
test_concurrency_is_freed_by_leaving (void)
{
  struct fl_limit l = make_limit (1000, 2);

  CU_ASSERT_EQUAL (fl_limit_acquire (&l, 1000), FL_LIMIT_PASS);
  CU_ASSERT_EQUAL (fl_limit_acquire (&l, 1000), FL_LIMIT_PASS);
  CU_ASSERT_EQUAL (fl_limit_acquire (&l, 1000), FL_LIMIT_CONCURRENCY);
  fl_limit_release (&l);
  CU_ASSERT_EQUAL (fl_limit_acquire (&l, 1000), FL_LIMIT_PASS);
}

#define TEST(name)                                                            \
  {                                                                           \
#name, name                                                               \
  }

int
main (void)
{
  static const CU_TestInfo tests[] = {
    TEST (test_nothing_is_allowed_of_nothing),
    TEST (test_one_vm_has_it_all),
    TEST (test_one_busy_vm_comes_to_the_whole_limit),
    TEST (test_cut_off_vm_keeps_to_its_share),
    TEST (test_sum_stays_within_the_stated_bound),
    TEST (test_steady_demand_of_all_stays_at_the_limit),
    TEST (test_rate_is_a_bucket_of_one_period),
    TEST (test_first_call_of_a_new_account_passes),
    TEST (test_concurrency_is_freed_by_leaving),
    CU_TEST_INFO_NULL,
  };

  return run_suite ("limit", tests);
}
