/* A planned stop interrupts no request.  */
#include <stdlib.h>

#include "batch/batch.h"
#include "suite.h"

enum
{
  GRACE_MS = 6000,
  /* The balancer polls once a second and reacts to two failed polls.  */
  BALANCER_NOTICE_MS = 2000
};

static void
test_serves_until_balancer_notices (void)
{
  for (int64_t ms = 0; ms <= BALANCER_NOTICE_MS; ms += 10)
    CU_ASSERT_EQUAL (ba_stop_stage (ms, GRACE_MS, 0, 0), BA_SERVE);
}

static void
test_drains_while_connections_are_open (void)
{
  CU_ASSERT_EQUAL (ba_stop_stage (3000, GRACE_MS, 1, 0), BA_DRAIN);
  CU_ASSERT_EQUAL (ba_stop_stage (3000, GRACE_MS, 0, 0), BA_END);
}

static void
test_drains_while_holding_lease (void)
{
  CU_ASSERT_EQUAL (ba_stop_stage (3000, GRACE_MS, 0, 1), BA_DRAIN);
}

static void
test_ends_within_grace_time (void)
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
    { "serves on", test_serves_until_balancer_notices },
    { "drains", test_drains_while_connections_are_open },
    { "lease", test_drains_while_holding_lease },
    { "grace", test_ends_within_grace_time },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("stop", tests);
}
