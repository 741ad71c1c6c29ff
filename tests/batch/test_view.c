#include <stdlib.h>
#include <string.h>

#include "batch/view.h"
#include "suite.h"

#define ID "00000000000000a1"

static struct vw_view view;

static void
take (const char *key, const char *value, int64_t version, int generation)
{
  vw_apply_row (&view, key, value, version, 0, generation);
}

static void
take_job (int generation)
{
  take (ID, "{\"accepted\":5,\"job\":{\"queue\":\"q\",\"account\":\"a\"}}", 3,
        generation);
}

static void
test_keys_tell_kinds (void)
{
  char id[SJ_ID], key[VW_KEY_SIZE];

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
test_waiting_counts_what_has_not_begun (void)
{
  vw_init (&view);
  take_job (1);
  CU_ASSERT_EQUAL (vw_count_waiting (&view, "q"), 1);
  CU_ASSERT_EQUAL (vw_count_waiting (&view, "other"), 0);
  take (ID ".s", "{\"state\":\"running\",\"at\":9}", 4, 1);
  CU_ASSERT_EQUAL (vw_count_waiting (&view, "q"), 0);
  vw_fini (&view);
}

static void
test_an_end_stands (void)
{
  char old[2][SJ_ID];

  vw_init (&view);
  take_job (1);
  take (ID ".s", "{\"state\":\"completed\",\"at\":9}", 4, 1);
  take (ID ".s", "{\"state\":\"running\",\"at\":12}", 5, 1);
  take (ID ".s", "not JSON", 6, 1);
  CU_ASSERT_EQUAL (vw_find (&view, ID)->state, SJ_COMPLETED);
  CU_ASSERT_EQUAL (vw_expired_jobs (&view, 9, old, 2), 0);
  CU_ASSERT_EQUAL (vw_expired_jobs (&view, 10, old, 2), 1);
  CU_ASSERT_STRING_EQUAL (old[0], ID);
  vw_fini (&view);
}

static void
test_whole_reading_drops_what_is_gone (void)
{
  vw_init (&view);
  take_job (1);
  vw_remove_unseen (&view, 1);
  CU_ASSERT_PTR_NOT_NULL (vw_find (&view, ID));
  vw_remove_unseen (&view, 2);
  CU_ASSERT_PTR_NULL (vw_find (&view, ID));
  vw_fini (&view);
}

static void
test_deleted_job_is_forgotten (void)
{
  vw_init (&view);
  take_job (1);
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
    { "keys", test_keys_tell_kinds },
    { "waiting", test_waiting_counts_what_has_not_begun },
    { "ends", test_an_end_stands },
    { "sweep", test_whole_reading_drops_what_is_gone },
    { "deleted", test_deleted_job_is_forgotten },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("view", tests);
}
