/* Requests to evacuate a failure domain, from the row to the orders.  */
#include <stdlib.h>
#include <string.h>

#include "batch/fake_store.h"
#include "batch/holder.h"
#include "batch/worker_events.h"
#include "batch/workers.h"
#include "suite.h"

enum
{
  EVACUATION_MS = 5000,
  WORKER_CLOCK_MS = 100
};

static struct batch batch;
static struct ba_settings settings;

/* Starts that wait for an answer, and the deadline of the last one.  */
static GPtrArray *kept;
static int starts;
static int64_t last_until_ms;
static po_listing_done *hold_done;
static void *hold_arg;

int
po_start (struct po_port *port, const struct po_target *target,
          const struct sj_order *order, int64_t until_ms, int timeout_ms,
          po_order_done *done, void *arg)
{
  (void)port;
  (void)target;
  (void)order;
  (void)timeout_ms;
  (void)done;
  starts++;
  last_until_ms = until_ms;
  g_ptr_array_add (kept, arg);
  return 0;
}

int
po_stop (struct po_port *port, const struct po_target *target,
         const struct sj_run *run, int timeout_ms, po_order_done *done,
         void *arg)
{
  (void)port;
  (void)target;
  (void)run;
  (void)timeout_ms;
  (void)done;
  (void)arg;
  return PO_EFULL;
}

int
po_hold (struct po_port *port, const struct po_target *target, int64_t seen,
         int64_t until_ms, int wait_ms, int timeout_ms, po_listing_done *done,
         void *arg)
{
  (void)port;
  (void)target;
  (void)seen;
  (void)until_ms;
  (void)wait_ms;
  (void)timeout_ms;
  if (hold_arg)
    return PO_EFULL;
  hold_done = done;
  hold_arg = arg;
  return 0;
}

void
po_listing_free (struct po_listing *listing)
{
  g_free (listing);
}

static void
answer_hold (void)
{
  struct po_listing *l = g_new0 (struct po_listing, 1);

  wk_tick (&batch);
  l->answer = (struct po_order_answer){ .answer = SJ_EXECUTED,
                                        .clock_ms = WORKER_CLOCK_MS };
  hold_done (hold_arg, l);
  hold_arg = NULL;
  handle_worker_events (&batch);
}

static void
answer_starts (enum sj_answer answer)
{
  struct po_order_answer a = { .answer = answer };
  GPtrArray *now = kept;

  kept = g_ptr_array_new ();
  for (guint i = 0; i < now->len; i++)
    wk_on_order_reply (&batch, g_ptr_array_index (now, i), &a);
  g_ptr_array_free (now, TRUE);
  handle_worker_events (&batch);
}

static void
operator_row (const char *key, const char *value, int64_t version)
{
  struct po_row row = { .table = (char *)po_config_table (),
                        .key = (char *)key,
                        .value = (char *)(value ? value : ""),
                        .version = version,
                        .deleted = !value };

  batch.config_follower.on_row (&batch, &row,
                                batch.config_follower.generation);
}

/* Sends the next request for the operators' table, which is answered with
   RESULT and, if KEY is not NULL, a row.  */
static void
table_replies (enum po_result result, const char *key)
{
  struct po_row row = { .table = (char *)po_config_table (),
                        .key = (char *)key,
                        .value = (char *)"{}",
                        .version = 7 };
  struct po_rows rows
      = { .result = result, .version = 20, .count = key != NULL, .row = &row };
  struct ba_store_call *call;

  batch.config_follower.next_ms = batch.now_ms;
  fo_tick (&batch.config_follower);
  call = fs_take_call ();
  fo_on_reply (&batch.config_follower, call, &rows);
  g_free (call);
}

static void
add_worker (void)
{
  struct po_row row
      = { .table = (char *)"servers",
          .key = (char *)"i-1",
          .version = 3,
          .value = (char *)"{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
                           "\"zone\":\"z1\",\"state\":\"ready\",\"born\":7,"
                           "\"capacity\":{\"cpu\":1000,"
                           "\"memory_request_mb\":1000,\"gpu\":100},"
                           "\"labels\":[\"a\",\"r\"]}" };

  wk_on_row (&batch, &row, 1);
  answer_hold ();
}

/* A standby VM with a configuration; the operators' table was not read.  */
static void
setup_standby (int64_t evacuation_ms)
{
  struct le_settings le
      = { .valid_ms = 1000000, .takeover_ms = 2000000, .renew_ms = 500 };
  const char *reason;

  settings = (struct ba_settings){ .vm = "vm1",
                                   .hold_ms = 6000,
                                   .far_factor = 3,
                                   .take_ms = 1600,
                                   .processor = 1,
                                   .evacuation_ms = evacuation_ms };
  memset (&batch, 0, sizeof batch);
  fs_reset ();
  starts = 0;
  kept = g_ptr_array_new ();
  batch.settings = &settings;
  batch.now_ms = 100000;
  rg_init (&batch.events, 1024);
  co_init (&batch);
  vw_init (&batch.view);
  wk_init_orders (&batch);
  le_init (&batch.lease, &le, "vm1", "token");
  ta_init (&batch);
  batch.config = po_config_read (
      "{\"version\":1,\"routes\":[],\"tenants\":[]}", &reason);
  batch.job_follower.synced = 1;
}

/* Begins a term with one worker in domain z1.  */
static void
begin_term (void)
{
  le_table_read (&batch.lease, batch.now_ms);
  free (le_acquire_value (&batch.lease, &(struct le_end){ 0 }));
  le_acquired (&batch.lease, 1, batch.now_ms, batch.now_ms);
  ho_begin_term (&batch);
  batch.phase = BA_ACTIVE;
  add_worker ();
}

static void
setup (void)
{
  setup_standby (EVACUATION_MS);
  table_replies (PO_DONE, NULL);
  begin_term ();
}

static void
teardown (void)
{
  answer_starts (SJ_REFUSED);
  ho_step_down (&batch, "test");
  answer_starts (SJ_REFUSED);
  g_ptr_array_free (kept, TRUE);
  dm_fini (&batch.domains);
  fs_reset ();
  vw_fini (&batch.view);
  qu_free (batch.config);
  rg_fini (&batch.events);
  st_fini (&batch.stats);
}

static void
add_job (int number, int tasks)
{
  struct sj_job *job = g_new0 (struct sj_job, 1);

  g_snprintf (job->id, sizeof job->id, "%016x", (unsigned)number);
  job->service = g_strdup ("s");
  job->payload = g_strdup ("");
  job->max_attempts = 1;
  job->step_count = 1;
  job->step = g_new0 (struct sj_step, 1);
  job->step[0].count = tasks;
  sj_job_add (batch.cluster, job, NULL, 0, batch.now_ms);
}

static void
decide (void)
{
  batch.worker_follower.fresh_ms = batch.now_ms;
  ta_check_starts (&batch);
  sj_decide (batch.cluster, batch.now_ms, batch.now_ms);
}

/* Stores all changed records, which sends the starts.  */
static void
commit (void)
{
  struct sj_dirty dirty[64];
  int n = sj_dirty (batch.cluster, dirty, 64);

  for (int i = 0; i < n; i++)
    json_decref (dirty[i].record);
  sj_committed (batch.cluster, 1, batch.now_ms);
  handle_worker_events (&batch);
}

/* The same worker starts tasks without a request.  */
static void
test_open_domain_gets_starts (void)
{
  setup ();
  operator_row ("evacuate/z2", "{}", 5);
  add_job (1, 1);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 1);
  teardown ();
}

static void
test_request_before_plan (void)
{
  setup ();
  operator_row ("evacuate/z1", "{}", 5);
  add_job (1, 1);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 0);
  operator_row ("evacuate/z1", NULL, 6);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 1);
  teardown ();
}

/* Guards against a planned run that starts once its record is stored.  */
static void
test_request_between_plan_and_store (void)
{
  setup ();
  add_job (1, 1);
  decide ();
  operator_row ("evacuate/z1", "{}", 5);
  commit ();
  CU_ASSERT_EQUAL (starts, 0);
  CU_ASSERT_FALSE (sj_worker_has_runs (batch.cluster, "i-1"));
  teardown ();
}

/* Guards against starts that wait in the order queue behind others.  */
static void
test_request_between_store_and_send (void)
{
  int sent;

  setup ();
  add_job (1, 300);
  decide ();
  commit ();
  sent = starts;
  CU_ASSERT (sent > 0 && sent < 300);
  operator_row ("evacuate/z1", "{}", 5);
  answer_starts (SJ_EXECUTED);
  CU_ASSERT_EQUAL (starts, sent);
  teardown ();
}

/* Guards against the repeat of a start that got no answer.  */
static void
test_request_between_send_and_repeat (void)
{
  setup ();
  add_job (1, 1);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 1);
  operator_row ("evacuate/z1", "{}", 5);
  answer_starts (SJ_UNANSWERED);
  CU_ASSERT_EQUAL (starts, 1);
  teardown ();
}

/* Guards against a start that a worker accepts late: its deadline lies before
   the bound of a request that was stored after the last confirmation.  */
static void
test_start_expires_before_the_bound (void)
{
  setup ();
  batch.now_ms += 2900;
  add_job (1, 1);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 1);
  CU_ASSERT (last_until_ms <= WORKER_CLOCK_MS + EVACUATION_MS);
  teardown ();
}

/* Guards against starts while a request may have been missed.  */
static void
test_starts_are_held_while_not_confirmed (void)
{
  setup ();
  add_job (1, 1);
  decide ();
  batch.now_ms += EVACUATION_MS - 2000 + 1;
  commit ();
  CU_ASSERT_EQUAL (starts, 0);
  decide ();
  CU_ASSERT_FALSE (sj_worker_has_runs (batch.cluster, "i-1"));
  commit ();
  CU_ASSERT_EQUAL (starts, 0);
  table_replies (PO_NOT_DONE, NULL);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 0);
  table_replies (PO_DONE, NULL);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 1);
  teardown ();
}

/* Guards against a closed domain that reopens as its rows can't be read.  */
static void
test_silence_reopens_nothing (void)
{
  setup ();
  operator_row ("evacuate/z1", "{}", 5);
  for (int i = 0; i < 10; i++)
    {
      batch.now_ms += 10000;
      table_replies (PO_UNKNOWN, NULL);
    }
  CU_ASSERT_EQUAL (batch.domains.count, 1);
  teardown ();
}

/* The history was lost: what is known holds until the scan has ended, which
   tells of a withdrawal as well as of a further request.  */
static void
test_history_lost (void)
{
  setup ();
  operator_row ("evacuate/z1", "{}", 5);
  table_replies (PO_HISTORY_GONE, NULL);
  CU_ASSERT_PTR_NOT_NULL (dm_find (&batch.domains, "z1"));
  table_replies (PO_DONE, "evacuate/z2");
  CU_ASSERT_PTR_NULL (dm_find (&batch.domains, "z1"));
  CU_ASSERT_PTR_NOT_NULL (dm_find (&batch.domains, "z2"));
  add_job (1, 1);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 1);
  table_replies (PO_HISTORY_GONE, NULL);
  table_replies (PO_DONE, "evacuate/z2");
  CU_ASSERT_PTR_NOT_NULL (dm_find (&batch.domains, "z2"));
  teardown ();
}

/* Guards against a VM that acquires the lease before it knows the requests,
   and against a new holder that does not apply them.  */
static void
test_take_over (void)
{
  setup_standby (EVACUATION_MS);
  le_table_read (&batch.lease, batch.now_ms);
  for (int i = 0; i < 10; i++)
    {
      batch.now_ms += 100;
      batch.job_follower.fresh_ms = batch.now_ms;
      ho_tick (&batch);
    }
  CU_ASSERT_EQUAL (fs_store.writes, 0);
  fo_start (&batch.config_follower);
  table_replies (PO_DONE, "evacuate/z1");
  for (int i = 0; i < 10 && !fs_store.writes; i++)
    {
      batch.now_ms += 100;
      batch.job_follower.fresh_ms = batch.now_ms;
      ho_tick (&batch);
    }
  CU_ASSERT_EQUAL (fs_store.writes, 1);
  cm_reset (&batch);
  begin_term ();
  add_job (1, 1);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 0);
  teardown ();
}

/* An unknown or empty domain, a repeated request and unreadable bytes lose
   nothing: the row's presence is the request.  */
static void
test_unusual_requests (void)
{
  static const char *const values[] = { "", "{", "7", "\x01\xff" };

  setup ();
  operator_row ("evacuate/", "{}", 5);
  CU_ASSERT_EQUAL (batch.domains.count, 0);
  operator_row ("evacuate/nowhere", "{}", 6);
  operator_row ("evacuate", "{}", 7);
  operator_row ("evacuate/z1", "{}", 8);
  operator_row ("evacuate/z1", "{}", 9);
  for (int i = 0; i < 4; i++)
    operator_row ("evacuate/z1", values[i], 10 + i);
  CU_ASSERT_EQUAL (batch.domains.count, 2);
  add_job (1, 1);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 0);
  operator_row ("evacuate/z1", NULL, 20);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (starts, 1);
  teardown ();
}

/* By default, requests are not served, and nothing else changes.  */
static void
test_setting_off (void)
{
  setup_standby (0);
  begin_term ();
  operator_row ("evacuate/z1", "{}", 5);
  batch.now_ms += EVACUATION_MS;
  add_job (1, 1);
  decide ();
  commit ();
  CU_ASSERT_EQUAL (batch.domains.count, 0);
  CU_ASSERT_EQUAL (starts, 1);
  /* The worker's clock may have run 2 % slow since it was heard.  */
  CU_ASSERT_EQUAL (last_until_ms,
                   WORKER_CLOCK_MS + EVACUATION_MS * 98 / 100 + 2500);
  teardown ();
}

/* The status for operators lists the closed domains.  */
static void
test_status (void)
{
  json_t *o;
  const json_t *d;

  setup ();
  batch.pending = g_ptr_array_new ();
  operator_row ("evacuate/z1", "{}", 5);
  batch.now_ms += 300;
  o = sh_status (&batch);
  d = json_array_get (json_object_get (o, "closed_domains"), 0);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (d, "domain")),
                          "z1");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (d, "workers")), 1);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (d, "closed_ms")), 300);
  json_decref (o);
  g_ptr_array_free (batch.pending, TRUE);
  teardown ();
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "open", test_open_domain_gets_starts },
    { "plan", test_request_before_plan },
    { "store", test_request_between_plan_and_store },
    { "send", test_request_between_store_and_send },
    { "repeat", test_request_between_send_and_repeat },
    { "deadline", test_start_expires_before_the_bound },
    { "not confirmed", test_starts_are_held_while_not_confirmed },
    { "silence", test_silence_reopens_nothing },
    { "history lost", test_history_lost },
    { "take-over", test_take_over },
    { "unusual", test_unusual_requests },
    { "off", test_setting_off },
    { "status", test_status },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  lg_init ("test", "plain", LG_ERROR);
  return run_suite ("evacuation", tests);
}
