#include <stdlib.h>
#include <string.h>

#include "batch/view.h"
#include "suite.h"

#define ID "00000000000000a1"

static struct vw_view view;

static void
apply_row (const char *key, const char *value, int64_t version, int generation)
{
  vw_apply_row (&view, key, value, version, 0, generation);
}

static void
apply_job_row (int generation)
{
  apply_row (ID,
             "{\"accepted\":5,\"job\":{\"queue\":\"q\",\"account\":\"a\"}}", 3,
             generation);
}

static void
test_key_determines_row_kind (void)
{
  char id[SJ_ID_SIZE], key[VW_KEY_SIZE];

  CU_ASSERT_EQUAL (vw_parse_key (ID, id), VW_JOB);
  CU_ASSERT_STRING_EQUAL (id, ID);
  CU_ASSERT_EQUAL (vw_parse_key (ID ".s", id), VW_STATE);
  CU_ASSERT_EQUAL (vw_parse_key (ID ".x", id), VW_CANCEL);
  CU_ASSERT_EQUAL (vw_parse_key (ID ".y", id), VW_OTHER);
  CU_ASSERT_EQUAL (vw_parse_key (vw_lease_key (), id), VW_LEASE);
  CU_ASSERT_EQUAL (vw_parse_key ("short", id), VW_OTHER);
  vw_make_key (key, ID, VW_CANCEL);
  CU_ASSERT_STRING_EQUAL (key, ID ".x");
}

static void
test_only_queued_jobs_are_waiting (void)
{
  vw_init (&view);
  apply_job_row (1);
  CU_ASSERT_EQUAL (vw_count_waiting (&view, "q"), 1);
  CU_ASSERT_EQUAL (vw_count_waiting (&view, "other"), 0);
  apply_row (ID ".s", "{\"state\":\"running\",\"at\":9}", 4, 1);
  CU_ASSERT_EQUAL (vw_count_waiting (&view, "q"), 0);
  vw_fini (&view);
}

static void
test_final_state_never_changes (void)
{
  char expired[2][SJ_ID_SIZE];

  vw_init (&view);
  apply_job_row (1);
  apply_row (ID ".s", "{\"state\":\"completed\",\"at\":9}", 4, 1);
  apply_row (ID ".s", "{\"state\":\"running\",\"at\":12}", 5, 1);
  apply_row (ID ".s", "not JSON", 6, 1);
  CU_ASSERT_EQUAL (vw_find (&view, ID)->state, SJ_COMPLETED);
  CU_ASSERT_EQUAL (vw_expired_jobs (&view, 9, expired, 2), 0);
  CU_ASSERT_EQUAL (vw_expired_jobs (&view, 10, expired, 2), 1);
  CU_ASSERT_STRING_EQUAL (expired[0], ID);
  vw_fini (&view);
}

static void
test_full_scan_removes_unseen_jobs (void)
{
  vw_init (&view);
  apply_job_row (1);
  vw_remove_unseen (&view, 1);
  CU_ASSERT_PTR_NOT_NULL (vw_find (&view, ID));
  vw_remove_unseen (&view, 2);
  CU_ASSERT_PTR_NULL (vw_find (&view, ID));
  vw_fini (&view);
}

static void
test_deleted_job_is_removed (void)
{
  vw_init (&view);
  apply_job_row (1);
  vw_apply_row (&view, ID ".s", "", 7, 1, 1);
  CU_ASSERT_PTR_NOT_NULL (vw_find (&view, ID));
  vw_apply_row (&view, ID, "", 7, 1, 1);
  CU_ASSERT_PTR_NULL (vw_find (&view, ID));
  vw_fini (&view);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "keys", test_key_determines_row_kind },
    { "waiting", test_only_queued_jobs_are_waiting },
    { "ends", test_final_state_never_changes },
    { "sweep", test_full_scan_removes_unseen_jobs },
    { "deleted", test_deleted_job_is_removed },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("view", tests);
}
