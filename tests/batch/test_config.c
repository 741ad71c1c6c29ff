/* Versions of the configuration come in any order; the newest stands.  */
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
begin (void)
{
  memset (&batch, 0, sizeof batch);
  fs_reset ();
  batch.settings = &settings;
  vw_init (&batch.view);
  ta_init (&batch);
}

static void
end (void)
{
  qu_free (batch.config);
  vw_fini (&batch.view);
  fs_reset ();
}

static void
take (const char *value, int deleted)
{
  struct po_row row = { .table = (char *)po_config_table (),
                        .key = (char *)"config",
                        .value = (char *)value,
                        .version = 5,
                        .deleted = deleted };

  batch.config_follower.on_row (&batch, &row, 1);
}

static void
take_version (int version)
{
  char value[VALUE_SIZE];

  snprintf (value, sizeof value,
            "{\"version\":%d,\"routes\":[{\"name\":\"q%d\","
            "\"host\":\"h\",\"prefix\":\"/p/\",\"service\":\"s\"}],"
            "\"tenants\":[]}",
            version, version);
  take (value, 0);
}

static void
test_newest_stands (void)
{
  static const int order[] = { 3, 1, 7, 7, 5, 6 };
  int64_t highest = 0;

  begin ();
  for (size_t i = 0; i < sizeof order / sizeof *order; i++)
    {
      take_version (order[i]);
      highest = order[i] > highest ? order[i] : highest;
      CU_ASSERT_EQUAL (batch.config->version, highest);
    }
  CU_ASSERT_STRING_EQUAL (batch.config->queue[0].name, "q7");
  end ();
}

static void
test_bad_one_leaves_the_old (void)
{
  begin ();
  take_version (3);
  take ("{\"version\":\"9\"}", 0);
  take ("no JSON", 0);
  take ("", 1);
  CU_ASSERT_EQUAL (batch.config->version, 3);
  end ();
}

/* Load: each of many workers reports twice a second.  Pattern: changes are
   gathered, and asked for a few times a second.  */
static void
test_reports_are_gathered (void)
{
  enum
  {
    SECOND_MS = 1000,
    EACH_MS = 10,
    MOST = 5 /* questions a second */
  };
  struct po_rows rows = { .result = PO_DONE };

  begin ();
  batch.now_ms = 1;
  fo_start (&batch.worker_follower);
  for (int ms = 0; ms < SECOND_MS; ms += EACH_MS)
    {
      struct ba_store_call *ask;

      fo_tick (&batch.worker_follower);
      ask = fs_take ();
      rows.version++;
      if (ask)
        fo_on_reply (&batch.worker_follower, ask, &rows);
      g_free (ask);
      batch.now_ms += EACH_MS;
    }
  CU_ASSERT_EQUAL (fs_store.reads, 1);
  CU_ASSERT (fs_store.follows <= MOST);
  CU_ASSERT (fs_store.follows >= MOST - 1);
  end ();
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "newest", test_newest_stands },
    { "bad", test_bad_one_leaves_the_old },
    { "reports", test_reports_are_gathered },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  lg_init ("test", "plain", LG_ERROR);
  return run_suite ("config", tests);
}
