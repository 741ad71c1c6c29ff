/* The status for operators contains the age of the data.  */
#include <stdlib.h>
#include <string.h>

#include "batch/fake_store.h"
#include "suite.h"

#define ID "00000000000000a1"

static struct batch batch;
static struct ba_settings settings = { .vm = "vm1" };

static void
setup (void)
{
  memset (&batch, 0, sizeof batch);
  batch.settings = &settings;
  batch.now_ms = 50000;
  batch.pending = g_ptr_array_new ();
  batch.config_follower.fresh_ms = 49900;
  batch.store_heard_ms = 48000;
  vw_init (&batch.view);
}

static void
teardown (void)
{
  vw_fini (&batch.view);
  g_ptr_array_free (batch.pending, TRUE);
}

static const char *
text (const json_t *o, const char *name)
{
  const char *s = json_string_value (json_object_get (o, name));

  return s ? s : "";
}

static int64_t
number (const json_t *o, const char *name)
{
  return json_integer_value (json_object_get (o, name));
}

static void
test_status (void)
{
  json_t *o;

  setup ();
  batch.store_down = 1;
  strcpy (batch.lease.holder_vm, "vm2");
  o = sh_status (&batch);
  CU_ASSERT_STRING_EQUAL (text (o, "vm"), "vm1");
  CU_ASSERT_STRING_EQUAL (text (o, "phase"), "follows");
  CU_ASSERT_STRING_EQUAL (text (o, "scheduler"), "vm2");
  CU_ASSERT_STRING_EQUAL (text (o, "store"), "down");
  CU_ASSERT_EQUAL (number (o, "config_age_ms"), 100);
  CU_ASSERT_EQUAL (number (o, "jobs_age_ms"), -1);
  CU_ASSERT_EQUAL (number (o, "store_heard_ms"), 2000);
  CU_ASSERT_PTR_NULL (json_object_get (o, "runs"));
  json_decref (o);
  teardown ();
}

/* The scheduler's status shows the headroom and what was stopped.  */
static void
test_status_of_scheduler (void)
{
  struct sj_settings set = { .off_rack_factor = 3 };
  json_t *o;

  setup ();
  batch.phase = BA_ACTIVE;
  batch.cluster = sj_new (&set, NULL, NULL);
  o = sh_status (&batch);
  CU_ASSERT_PTR_NOT_NULL (json_object_get (o, "headroom"));
  CU_ASSERT_PTR_NOT_NULL (json_object_get (o, "headroom_used"));
  CU_ASSERT_EQUAL (number (o, "preemptions"), 0);
  CU_ASSERT_EQUAL (number (o, "stopped_runs"), 0);
  CU_ASSERT_EQUAL (number (o, "lost_core_ms"), 0);
  json_decref (o);
  sj_free (batch.cluster);
  teardown ();
}

static void
test_job (void)
{
  json_t *o;

  setup ();
  batch.job_follower.fresh_ms = 49000;
  CU_ASSERT_PTR_NULL (sh_job (&batch, ID));
  vw_apply_row (&batch.view, ID,
                "{\"accepted\":5,\"job\":{\"queue\":\"q\",\"account\":\"a\"}}",
                3, 0, 1);
  vw_apply_row (&batch.view, ID ".s", "{\"state\":\"running\",\"at\":9}", 4, 0,
                1);
  o = sh_job (&batch, ID);
  CU_ASSERT_STRING_EQUAL (text (o, "state"), "running");
  CU_ASSERT_STRING_EQUAL (text (o, "queue"), "q");
  CU_ASSERT_EQUAL (number (o, "row_version"), 3);
  CU_ASSERT_EQUAL (number (o, "jobs_age_ms"), 1000);
  json_decref (o);
  teardown ();
}

static void
ignore_order (void *arg, const struct sj_order *order)
{
  (void)arg;
  (void)order;
}

/* An operator must see which account waits, and what is due to it.  */
static void
test_accounts (void)
{
  struct sj_settings set = { .off_rack_factor = 3, .fair_share = 1 };
  struct ba_settings fair = { .vm = "vm1", .fair_share = 1 };
  struct sj_job *j = g_new0 (struct sj_job, 1);
  json_t *o, *a;

  setup ();
  strcpy (j->id, ID);
  j->queue = g_strdup ("q");
  j->account = g_strdup ("a");
  j->service = g_strdup ("s");
  j->payload = g_strdup ("");
  j->priority = j->max_attempts = j->step_count = 1;
  j->stretch = 3;
  j->step = g_new0 (struct sj_step, 1);
  j->step[0] = (struct sj_step){ .count = 3, .estimate_ms = 1000 };
  batch.settings = &fair;
  batch.phase = BA_ACTIVE;
  batch.cluster = sj_new (&set, ignore_order, NULL);
  sj_set_guarantee (batch.cluster, "a", 40);
  CU_ASSERT_EQUAL (sj_job_add (batch.cluster, j, NULL, 0, batch.now_ms), 0);
  sj_decide (batch.cluster, batch.now_ms, batch.now_ms);
  o = sh_status (&batch);
  a = json_array_get (json_object_get (o, "accounts"), 0);
  CU_ASSERT_STRING_EQUAL (text (a, "account"), "a");
  CU_ASSERT_EQUAL (number (a, "weight"), 40);
  CU_ASSERT_EQUAL (number (a, "waiting"), 3);
  CU_ASSERT_EQUAL (number (a, "running"), 0);
  json_decref (o);
  sj_free (batch.cluster);
  batch.cluster = NULL;
  batch.settings = &settings;
}

/* Guards against a VM whose refusals can't be explained by its status, and
   against a change where the access is not tracked.  */
static void
test_access (void)
{
  json_t *o;

  setup ();
  ac_init (&batch.access, batch.now_ms);
  o = sh_status (&batch);
  CU_ASSERT_PTR_NULL (json_object_get (o, "writes"));
  json_decref (o);
  settings.refuse_stalled_writes = 1;
  batch.access.path[AC_WRITES].state = AC_STALLED;
  o = sh_status (&batch);
  CU_ASSERT_STRING_EQUAL (text (o, "writes"), "stalled");
  CU_ASSERT_STRING_EQUAL (text (o, "reads"), "available");
  json_decref (o);
  settings.refuse_stalled_writes = 0;
  teardown ();
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "status", test_status },
    { "status of the scheduler", test_status_of_scheduler },
    { "job", test_job },
    { "accounts", test_accounts },
    { "access", test_access },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("show", tests);
}
