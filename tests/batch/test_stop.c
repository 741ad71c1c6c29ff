/* A planned stop cuts no request.  */
#include <stdlib.h>

#include "batch/batch.h"
#include "suite.h"

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
  static const CU_TestInfo tests[] = {
    { "serves on", test_serves_until_the_balancer_noticed },
    { "drains", test_open_connections_end_with_an_answer },
    { "lease", test_lease_is_handed_over_first },
    { "grace", test_ends_within_the_grace_time },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("stop", tests);
}
