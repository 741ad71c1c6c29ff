/* Versions of the configuration may arrive in any order; the newest is kept.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/fake_store.h"
#include "suite.h"

enum
{
  VALUE_SIZE = 400
};

static struct batch batch;
static struct ba_settings settings = { .vm = "vm1", .revoke_ms = 5000 };

static void
setup (void)
{
  memset (&batch, 0, sizeof batch);
  fs_reset ();
  batch.settings = &settings;
  vw_init (&batch.view);
  ta_init (&batch);
}

static void
teardown (void)
{
  qu_free (batch.config);
  vw_fini (&batch.view);
  fs_reset ();
}

static void
apply_row (const char *value, int deleted)
{
  struct po_row row = { .table = (char *)po_config_table (),
                        .key = (char *)"config",
                        .value = (char *)value,
                        .version = 5,
                        .deleted = deleted };

  batch.config_follower.on_row (&batch, &row, 1);
}

static void
apply_version (int version)
{
  char value[VALUE_SIZE];

  snprintf (value, sizeof value,
            "{\"version\":%d,\"routes\":[{\"name\":\"q%d\","
            "\"host\":\"h\",\"prefix\":\"/p/\",\"service\":\"s\"}],"
            "\"tenants\":[]}",
            version, version);
  apply_row (value, 0);
}

static void
test_newest_version_is_kept (void)
{
  static const int order[] = { 3, 1, 7, 7, 5, 6 };
  int64_t highest = 0;

  setup ();
  for (size_t i = 0; i < sizeof order / sizeof *order; i++)
    {
      apply_version (order[i]);
      highest = order[i] > highest ? order[i] : highest;
      CU_ASSERT_EQUAL (batch.config->version, highest);
    }
  CU_ASSERT_STRING_EQUAL (batch.config->queue[0].name, "q7");
  teardown ();
}

static void
test_invalid_version_is_ignored (void)
{
  setup ();
  apply_version (3);
  apply_row ("{\"version\":\"9\"}", 0);
  apply_row ("no JSON", 0);
  apply_row ("", 1);
  CU_ASSERT_EQUAL (batch.config->version, 3);
  teardown ();
}

/* Many workers report twice a second each.  Their changes are read in
   batches, with a few polls a second.  */
static void
test_worker_polls_are_rate_limited (void)
{
  enum
  {
    SECOND_MS = 1000,
    STEP_MS = 10,
    MAX_POLLS = 5 /* per second */
  };
  struct po_rows rows = { .result = PO_DONE };

  setup ();
  batch.now_ms = 1;
  fo_start (&batch.worker_follower);
  for (int ms = 0; ms < SECOND_MS; ms += STEP_MS)
    {
      struct ba_store_call *call;

      fo_tick (&batch.worker_follower);
      call = fs_take_call ();
      rows.version++;
      if (call)
        fo_on_reply (&batch.worker_follower, call, &rows);
      g_free (call);
      batch.now_ms += STEP_MS;
    }
  CU_ASSERT_EQUAL (fs_store.reads, 1);
  CU_ASSERT (fs_store.follows <= MAX_POLLS);
  CU_ASSERT (fs_store.follows >= MAX_POLLS - 1);
  teardown ();
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "newest", test_newest_version_is_kept },
    { "bad", test_invalid_version_is_ignored },
    { "reports", test_worker_polls_are_rate_limited },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  lg_init ("test", "plain", LG_ERROR);
  return run_suite ("config", tests);
}
