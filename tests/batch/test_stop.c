/* A planned stop cuts no request.  */
#include <CUnit/Basic.h>
#include <stdlib.h>

#include "batch/batch.h"

enum
{
  GRACE_MS = 6000,
  NOTICED_MS = 2000 /* the balancer asks once a second and misses twice */
};

static void
test_serves_until_the_balancer_noticed (void)
{
  for (int64_t ms = 0; ms <= NOTICED_MS; ms += 10)
    CU_ASSERT_EQUAL (ba_stop_stage (ms, GRACE_MS, 0, 0), BA_SERVE);
}

static void
test_open_connections_end_with_an_answer (void)
{
  CU_ASSERT_EQUAL (ba_stop_stage (3000, GRACE_MS, 1, 0), BA_DRAIN);
  CU_ASSERT_EQUAL (ba_stop_stage (3000, GRACE_MS, 0, 0), BA_END);
}

static void
test_lease_is_handed_over_first (void)
{
  CU_ASSERT_EQUAL (ba_stop_stage (3000, GRACE_MS, 0, 1), BA_DRAIN);
}

static void
test_ends_within_the_grace_time (void)
{
  for (int64_t grace = 4000; grace <= 60000; grace += 1000)
    {
      CU_ASSERT_EQUAL (ba_stop_stage (grace - 1, grace, 5, 1), BA_END);
      CU_ASSERT_EQUAL (ba_stop_stage (grace / 4, grace, 5, 1),
                       grace / 4 > 2300 ? BA_DRAIN : BA_SERVE);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("stop", NULL, NULL);
  CU_add_test (suite, "serves on", test_serves_until_the_balancer_noticed);
  CU_add_test (suite, "drains", test_open_connections_end_with_an_answer);
  CU_add_test (suite, "lease", test_lease_is_handed_over_first);
  CU_add_test (suite, "grace", test_ends_within_the_grace_time);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
