/* The set of closed failure domains, and how long starts may follow.  */
#include <glib.h>

#include "skr/domains.h"
#include "suite.h"

static void
test_request_closes_until_withdrawn (void)
{
  struct dm_domains d = { 0 };

  CU_ASSERT_EQUAL (dm_close (&d, "z1", 5, 1, 100), DM_CLOSED);
  CU_ASSERT_EQUAL (dm_close (&d, "z2", 6, 1, 200), DM_CLOSED);
  CU_ASSERT_PTR_NOT_NULL (dm_find (&d, "z1"));
  CU_ASSERT_EQUAL (dm_find (&d, "z2")->closed_ms, 200);
  CU_ASSERT_PTR_NULL (dm_find (&d, "z"));
  CU_ASSERT_PTR_NULL (dm_find (&d, NULL));
  CU_ASSERT_EQUAL (dm_reopen (&d, "z1", 7), DM_REOPENED);
  CU_ASSERT_PTR_NULL (dm_find (&d, "z1"));
  CU_ASSERT_PTR_NOT_NULL (dm_find (&d, "z2"));
  CU_ASSERT_EQUAL (dm_reopen (&d, "z1", 7), DM_NOT_FOUND);
  dm_fini (&d);
}

/* Guards against a domain that is closed twice and reopened once as if it were
   still closed, and against a second request that restarts the closing.  */
static void
test_repeated_request_is_one_request (void)
{
  struct dm_domains d = { 0 };

  dm_close (&d, "z", 5, 1, 100);
  CU_ASSERT_EQUAL (dm_close (&d, "z", 5, 2, 150), DM_LISTED);
  CU_ASSERT_EQUAL (dm_close (&d, "z", 8, 2, 200), DM_REPEATED);
  CU_ASSERT_EQUAL (d.count, 1);
  CU_ASSERT_EQUAL (dm_find (&d, "z")->closed_ms, 100);
  CU_ASSERT_EQUAL (dm_reopen (&d, "z", 9), DM_REOPENED);
  CU_ASSERT_EQUAL (d.count, 0);
  dm_fini (&d);
}

/* Guards against a reopened domain: after a scan, the changes made during it
   are delivered again, and the deletion of an earlier request is one.  */
static void
test_older_withdrawal_does_not_reopen (void)
{
  struct dm_domains d = { 0 };

  dm_close (&d, "z", 14, 1, 100);
  CU_ASSERT_EQUAL (dm_reopen (&d, "z", 11), DM_OUTDATED);
  CU_ASSERT_EQUAL (dm_close (&d, "z", 10, 1, 110), DM_OUTDATED);
  CU_ASSERT_EQUAL (dm_find (&d, "z")->version, 14);
  dm_fini (&d);
}

/* Guards against a domain that stays closed because its withdrawal was in the
   lost history.  */
static void
test_scan_reopens_what_it_does_not_list (void)
{
  struct dm_domains d = { 0 };
  struct dm_domain out;

  dm_close (&d, "z1", 5, 1, 100);
  dm_close (&d, "z2", 6, 1, 100);
  dm_close (&d, "z3", 7, 1, 100);
  dm_close (&d, "z2", 6, 2, 200);
  for (int i = 0; i < 2; i++)
    {
      CU_ASSERT (dm_reopen_unlisted (&d, 2, &out));
      g_free (out.name);
    }
  CU_ASSERT_FALSE (dm_reopen_unlisted (&d, 2, &out));
  CU_ASSERT_EQUAL (d.count, 1);
  CU_ASSERT_PTR_NOT_NULL (dm_find (&d, "z2"));
  dm_fini (&d);
}

static void
test_empty_name_closes_nothing (void)
{
  struct dm_domains d = { 0 };

  CU_ASSERT_EQUAL (dm_close (&d, "", 5, 1, 100), DM_NO_NAME);
  CU_ASSERT_EQUAL (dm_reopen (&d, "", 6), DM_NO_NAME);
  CU_ASSERT_EQUAL (d.count, 0);
  dm_fini (&d);
}

/* Guards against a start that follows a missed request by more than the
   bound: whatever is sent is executed before CONFIRMED_MS + the bound.  */
static void
test_starts_end_before_the_bound (void)
{
  CU_ASSERT_EQUAL (dm_start_limit_ms (0, 5000, 100), 0);
  CU_ASSERT_EQUAL (dm_start_limit_ms (1000, 5000, 1000), 4800);
  CU_ASSERT_EQUAL (dm_start_limit_ms (1000, 5000, 4000), 1800);
  CU_ASSERT_EQUAL (dm_start_limit_ms (1000, 5000, 4001), 0);
  CU_ASSERT_EQUAL (dm_start_limit_ms (1000, 5000, 9000), 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "close", test_request_closes_until_withdrawn },
    { "twice", test_repeated_request_is_one_request },
    { "outdated", test_older_withdrawal_does_not_reopen },
    { "sweep", test_scan_reopens_what_it_does_not_list },
    { "empty", test_empty_name_closes_nothing },
    { "limit", test_starts_end_before_the_bound },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("domains", tests);
}
