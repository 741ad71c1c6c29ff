/* Checks that jobs and configurations encoded by the fake platform are decoded
   to the same values.  */
#include <stdlib.h>

#include "platform/stand/fake_platform.h"
#include "suite.h"

static void
test_job (void)
{
  struct sj_step step[] = {
    { .count = 3,
      .need = { 500, 256, 2 },
      .estimate_ms = 900,
      .gang = 1,
      .one_rack = 1,
      .checkpoints = 1,
      .data_rack = "r1-3",
      .label = "k1" },
    { .count = 1,
      .need = { 1000, 64, 0 },
      .depends_on = 1,
      .max_per_worker = 2 },
  };
  struct sj_job job = {
    .id = "5c0e7a21d94b36f8", .payload = "text", .step_count = 2, .step = step
  };
  struct qu_queue queue = { "desk", "h", "/p/", "studio", 0, 3, 2, 500, 0, 0 };
  const char *reason = NULL;
  char *body = sf_encode_job (&job);
  struct sj_job *read = po_job_read (job.id, body, &queue, "a", &reason);

  CU_ASSERT_PTR_NOT_NULL_FATAL (read);
  CU_ASSERT_STRING_EQUAL (read->payload, "text");
  CU_ASSERT_EQUAL_FATAL (read->step_count, 2);
  CU_ASSERT_EQUAL (read->step[0].count, 3);
  CU_ASSERT_EQUAL (read->step[0].need.accelerators, 2);
  CU_ASSERT_EQUAL (read->step[0].need.cpu_milli, 500);
  CU_ASSERT_EQUAL (read->step[0].need.memory_mb, 256);
  CU_ASSERT_EQUAL (read->step[0].estimate_ms, 900);
  CU_ASSERT (read->step[0].gang && read->step[0].one_rack
             && read->step[0].checkpoints);
  CU_ASSERT_STRING_EQUAL (read->step[0].data_rack, "r1-3");
  CU_ASSERT_STRING_EQUAL (read->step[0].label, "k1");
  CU_ASSERT_EQUAL (read->step[1].depends_on, 1);
  CU_ASSERT_EQUAL (read->step[1].max_per_worker, 2);
  sj_job_free (read);
  free (body);
}

static void
test_config (void)
{
  char *keys[] = { "k1", "k2" };
  struct qu_queue queue = { "desk", "h", "/p/", "studio", 1, 3, 2, 500, 1, 0 };
  struct qu_account account = { "a", keys, 2, 4 };
  struct qu_config config = { 7, 1, 1, &queue, &account };
  const char *reason = NULL;
  char *body = sf_encode_config (&config);
  struct qu_config *read = po_config_read (body, &reason);

  CU_ASSERT_PTR_NOT_NULL_FATAL (read);
  if (!read)
    return;
  CU_ASSERT_EQUAL (read->version, 7);
  CU_ASSERT_EQUAL_FATAL (read->queue_count, 1);
  CU_ASSERT_STRING_EQUAL (read->queue[0].prefix, "/p/");
  CU_ASSERT_EQUAL (read->queue[0].priority, 1);
  CU_ASSERT_EQUAL (read->queue[0].max_attempts, 3);
  CU_ASSERT_EQUAL (read->queue[0].target_ms, 500);
  CU_ASSERT (read->queue[0].is_public);
  CU_ASSERT_EQUAL_FATAL (read->account_count, 1);
  CU_ASSERT_EQUAL (read->account[0].guaranteed_accelerators, 4);
  CU_ASSERT_STRING_EQUAL (read->account[0].key[1], "k2");
  qu_free (read);
  free (body);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "test_job", test_job },
    { "test_config", test_config },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("bodies", tests);
}
