#include <stdlib.h>

#include "skr/base.h"
#include "skr/ring.h"
#include "skr/timer.h"
#include "suite.h"

static void
test_ring_is_bounded (void)
{
  struct rg_ring ring;
  void *item;
  int x, y;

  CU_ASSERT_EQUAL (rg_init (&ring, 2), BS_OK);
  CU_ASSERT_EQUAL (rg_push (&ring, &x), BS_OK);
  CU_ASSERT_EQUAL (rg_push (&ring, &y), BS_OK);
  CU_ASSERT_EQUAL (rg_push (&ring, &y), BS_EFULL);
  CU_ASSERT_EQUAL (rg_pop (&ring, &item, 0), BS_OK);
  CU_ASSERT_PTR_EQUAL (item, &x);
  rg_close (&ring);
  CU_ASSERT_EQUAL (rg_push (&ring, &x), BS_ECLOSED);
  CU_ASSERT_EQUAL (rg_pop (&ring, &item, 0), BS_OK);
  CU_ASSERT_PTR_EQUAL (item, &y);
  CU_ASSERT_EQUAL (rg_pop (&ring, &item, 0), BS_ECLOSED);
  rg_fini (&ring);
}

static void
count_call (void *arg, int64_t now_ms)
{
  (void)now_ms;
  ++*(int *)arg;
}

static void
test_timer_runs_each_once_when_late (void)
{
  struct tm_service tm;
  int calls = 0;

  tm_init (&tm);
  CU_ASSERT (tm_subscribe (&tm, 100, 50, count_call, &calls) >= 0);
  CU_ASSERT_EQUAL (tm_run (&tm, 0), 100);
  CU_ASSERT_EQUAL (calls, 0);
  tm_run (&tm, 100);
  CU_ASSERT_EQUAL (calls, 1);
  CU_ASSERT_EQUAL (tm_run (&tm, 1000), 50);
  CU_ASSERT_EQUAL (calls, 2);
}

static void
test_digests_differ (void)
{
  char a[BS_DIGEST_SIZE], b[BS_DIGEST_SIZE];

  bs_digest (a, "key-one");
  bs_digest (b, "key-two");
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  CU_ASSERT_EQUAL (a[BS_DIGEST_SIZE - 1], '\0');
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "ring is bounded", test_ring_is_bounded },
    { "late timer runs once", test_timer_runs_each_once_when_late },
    { "digest", test_digests_differ },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("base", tests);
}
