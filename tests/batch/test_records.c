/* Records that the store refuses for good, of a lease holder against a fake
   store and a fake worker.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/fake_store.h"
#include "batch/worker_events.h"
#include "suite.h"

#define BAD "00000000000000b0"
#define UNKNOWN_PIECE "00000000000000ff.0.0.0"

enum
{
  ROW_BYTES = 65536,
  MAX_RUNS = 16384
};

static struct batch batch;
static struct ba_settings settings = { .vm = "vm1",
                                       .hold_ms = 6000,
                                       .far_factor = 3,
                                       .take_ms = 1600,
                                       .keep_s = 240,
                                       .processor = 1 };

/* The store refuses transactions with the record of this job; "": none.  */
static const char *refused_job;
static int refuses_all;
static int refused_writes;
static GHashTable *rows; /* key of a stored record's row to its value */
static GHashTable *jobs; /* id of a job to the value of its row */
static int64_t version;

/* The worker.  */
static struct sj_listed_run ended[MAX_RUNS];
static int ends, starts, starts_of_bad;
static int64_t hold_seen;
static po_listing_done *hold_done;
static void *hold_arg;

int
po_hold (struct po_port *port, const struct po_target *target, int64_t seen,
         int64_t until_ms, int wait_ms, int timeout_ms, po_listing_done *done,
         void *arg)
{
  (void)port;
  (void)target;
  (void)until_ms;
  (void)wait_ms;
  (void)timeout_ms;
  hold_seen = MAX (hold_seen, seen);
  hold_done = done;
  hold_arg = arg;
  return 0;
}

/* A run ends as soon as it starts, but is listed only once the test counts it
   in ENDS.  */
int
po_start (struct po_port *port, const struct po_target *target,
          const struct sj_order *order, int64_t until_ms, int timeout_ms,
          po_order_done *done, void *arg)
{
  struct po_order_answer taken = { .answer = SJ_EXECUTED, .clock_ms = 100 };

  (void)port;
  (void)target;
  (void)until_ms;
  (void)timeout_ms;
  if (starts < MAX_RUNS)
    ended[starts] = (struct sj_listed_run){ .run = order->run,
                                            .checkpoint = "",
                                            .end = SJ_END_DONE };
  starts++;
  starts_of_bad += !strcmp (order->run.job, BAD);
  done (arg, &taken);
  return 0;
}

int
po_stop (struct po_port *port, const struct po_target *target,
         const struct sj_run *run, int timeout_ms, po_order_done *done,
         void *arg)
{
  struct po_order_answer taken = { .answer = SJ_EXECUTED, .clock_ms = 100 };

  (void)port;
  (void)target;
  (void)run;
  (void)timeout_ms;
  done (arg, &taken);
  return 0;
}

void
po_listing_free (struct po_listing *listing)
{
  g_free (listing);
}

/* Replies to CALL, which reads a whole table at the start of a term.  */
static void
reply_with_table (struct ba_store_call *call, struct po_rows *reply)
{
  int is_records = call->purpose == BA_LOAD_RECORDS;
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, is_records ? rows : jobs);
  reply->row = g_new0 (struct po_row, g_hash_table_size (rows)
                                          + g_hash_table_size (jobs) + 1);
  while (g_hash_table_iter_next (&iter, &key, &value))
    reply->row[reply->count++]
        = (struct po_row){ .table = (char *)(is_records ? "runs" : "jobs"),
                           .key = key,
                           .value = value,
                           .version = 1 };
  ho_on_load_reply (&batch, call, reply);
  g_free (reply->row);
}

static void
store_replies (enum po_result result)
{
  struct po_rows reply
      = { .result = result, .version = ++version, .status = 400 };
  struct ba_store_call *call = fs_take_call ();

  if (call->purpose == BA_COMMIT)
    ho_on_commit_reply (&batch, call, &reply);
  else
    reply_with_table (call, &reply);
  g_free (call);
}

/* Whether the store refuses the last write: a row is too large, or of the job
   that it refuses.  */
static int
is_refused (void)
{
  for (guint i = 0; i < fs_store.entries->len; i++)
    {
      const struct fs_entry *e = g_ptr_array_index (fs_store.entries, i);

      if (e->value && strlen (e->value) > ROW_BYTES)
        return 1;
    }
  return refuses_all || fs_find_put ("runs", refused_job) != NULL;
}

static void
store_write (void)
{
  if (is_refused ())
    {
      refused_writes++;
      store_replies (PO_REFUSED);
      return;
    }
  for (guint i = 0; i < fs_store.entries->len; i++)
    {
      const struct fs_entry *e = g_ptr_array_index (fs_store.entries, i);

      if (e->kind == PO_PUT && !strcmp (e->table, "runs"))
        g_hash_table_replace (rows, g_strdup (e->key), g_strdup (e->value));
      else if (e->kind == PO_DELETE && !strcmp (e->table, "runs"))
        g_hash_table_remove (rows, e->key);
    }
  store_replies (PO_DONE);
}

/* The worker lists all ends that the holder has not acknowledged.  */
static void
answer_hold (void)
{
  struct po_listing *l = g_new0 (struct po_listing, 1);
  int first = (int)hold_seen;

  l->answer = (struct po_order_answer){ .answer = SJ_EXECUTED,
                                        .clock_ms = 100 + batch.now_ms };
  l->list.ends = ended + first;
  l->list.end_count = ends - first;
  for (int i = ends; i < starts; i++)
    l->list.run_count++;
  l->list.runs = ended + ends;
  l->last_end = ends > first ? ends : 0;
  hold_done (hold_arg, l);
  hold_arg = NULL;
}

static void
advance (int64_t ms)
{
  batch.now_ms += ms;
  batch.worker_follower.fresh_ms = batch.now_ms;
  batch.job_follower.fresh_ms = batch.now_ms;
  ho_tick (&batch);
  if (fs_store.last_call)
    store_write ();
  if (hold_arg)
    answer_hold ();
  handle_worker_events (&batch);
}

static void
run_ms (int64_t ms)
{
  for (int64_t i = 0; i < ms; i += 20)
    advance (20);
}

static void
submit (const char *id, int tasks, int times)
{
  struct sj_job *job = g_new0 (struct sj_job, 1);

  g_strlcpy (job->id, id, sizeof job->id);
  job->service = g_strdup ("s");
  job->payload = g_strdup ("");
  job->max_attempts = 1;
  job->occurrences = times;
  job->interval_ms = times ? 1 : 0;
  job->step_count = 1;
  job->step = g_new0 (struct sj_step, 1);
  job->step[0].count = tasks;
  job->step[0].need.cpu_milli = 1;
  g_hash_table_replace (jobs, g_strdup (id), vw_job_value (job, 1));
  CU_ASSERT_EQUAL (sj_job_add (batch.cluster, job, NULL, 0, batch.now_ms), 0);
}

static void
submit_small_jobs (int count)
{
  char id[SJ_ID_SIZE];

  for (int i = 0; i < count; i++)
    {
      snprintf (id, sizeof id, "%016x", 0x100 + i);
      submit (id, 1, 0);
    }
}

/* Waits until this VM holds the lease and knows the worker.  */
static void
begin_term (void)
{
  static struct po_row worker
      = { .table = (char *)"servers",
          .key = (char *)"0123456789ab", /* as long as those of workers */
          .value = (char *)"{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
                           "\"state\":\"ready\",\"born\":7,\"capacity\":"
                           "{\"cpu\":5000,\"memory_request_mb\":1000,"
                           "\"gpu\":1},\"labels\":[\"a\",\"r\"]}" };

  while (batch.phase == BA_STANDBY)
    advance (50);
  while (batch.records)
    advance (1);
  batch.worker_follower.synced = 1;
  wk_on_row (&batch, &worker, 1);
  run_ms (100);
  CU_ASSERT_EQUAL_FATAL (batch.phase, BA_ACTIVE);
}

/* A holder with one worker, and an empty store.  */
static void
setup (void)
{
  const char *reason;
  struct le_settings le
      = { .valid_ms = 1200, .takeover_ms = 1600, .renew_ms = 400 };

  memset (&batch, 0, sizeof batch);
  fs_reset ();
  rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free);
  refused_job = "";
  refused_writes = refuses_all = ends = starts = starts_of_bad = 0;
  version = hold_seen = 0;
  batch.settings = &settings;
  batch.clock = bs_clock_system ();
  batch.now_ms = 100000;
  co_init (&batch);
  vw_init (&batch.view);
  rg_init (&batch.events, 16384);
  wk_init_orders (&batch);
  le_init (&batch.lease, &le, "vm1", "token");
  le_table_read (&batch.lease, batch.now_ms);
  ta_init (&batch);
  batch.config = po_config_read (
      "{\"version\":1,\"routes\":[],\"tenants\":[]}", &reason);
  batch.job_follower.synced = 1;
  batch.job_follower.fresh_ms = batch.now_ms;
  g_random_set_seed (1);
  advance (0);
  begin_term ();
}

static void
teardown (void)
{
  ho_step_down (&batch, "test");
  if (hold_arg)
    wk_free_order (hold_arg);
  hold_arg = NULL;
  fs_reset ();
  g_hash_table_destroy (rows);
  g_hash_table_destroy (jobs);
  vw_fini (&batch.view);
  qu_free (batch.config);
  rg_fini (&batch.events);
  st_fini (&batch.stats);
  if (batch.commit.strings)
    g_ptr_array_free (batch.commit.strings, TRUE);
}

static int
count_stored_small_jobs (int count)
{
  char id[SJ_ID_SIZE];
  int n = 0;

  for (int i = 0; i < count; i++)
    {
      snprintf (id, sizeof id, "%016x", 0x100 + i);
      n += g_hash_table_contains (rows, id);
    }
  return n;
}

static int
aside_jobs (void)
{
  struct sj_counts counts;

  sj_count (batch.cluster, &counts);
  return counts.aside_jobs;
}

/* The store refuses one record among many.  The others are stored, the lease
   is kept, and the refused one is tried rarely and alone.  */
static void
test_refused_record_stops_no_other (void)
{
  setup ();
  refused_job = BAD;
  submit (BAD, 1, 0);
  submit_small_jobs (30);
  run_ms (3000);
  CU_ASSERT_EQUAL (batch.phase, BA_ACTIVE);
  CU_ASSERT_EQUAL (batch.term, 1);
  CU_ASSERT_EQUAL (count_stored_small_jobs (30), 30);
  CU_ASSERT_EQUAL (starts, 30);
  CU_ASSERT_EQUAL (starts_of_bad, 0);
  CU_ASSERT_EQUAL (aside_jobs (), 1);
  refused_writes = 0;
  run_ms (600000);
  /* One in 60 s, after some that follow sooner.  */
  CU_ASSERT (refused_writes <= 16);
  CU_ASSERT (refused_writes >= 9);
  CU_ASSERT_EQUAL (batch.phase, BA_ACTIVE);
  CU_ASSERT_EQUAL (batch.term, 1);
  teardown ();
}

/* The record is taken later: the job goes on.  */
static void
test_job_goes_on_when_record_is_taken (void)
{
  setup ();
  refused_job = BAD;
  submit (BAD, 1, 0);
  run_ms (1000);
  CU_ASSERT_EQUAL (aside_jobs (), 1);
  refused_job = "";
  run_ms (60000);
  CU_ASSERT_EQUAL (aside_jobs (), 0);
  CU_ASSERT_EQUAL (starts_of_bad, 1);
  ends = starts;
  run_ms (3000);
  CU_ASSERT_EQUAL (hold_seen, 1);
  CU_ASSERT_FALSE (sj_has_job (batch.cluster, BAD));
  teardown ();
}

/* Ends of a job that is set aside are not acknowledged before its record is
   stored.  */
static void
test_ends_wait_for_record (void)
{
  setup ();
  submit (BAD, 2, 0);
  run_ms (500);
  CU_ASSERT_EQUAL (starts, 2);
  refused_job = BAD;
  ends = 1;
  run_ms (5000);
  CU_ASSERT_EQUAL (aside_jobs (), 1);
  CU_ASSERT_EQUAL (hold_seen, 0);
  /* Others that end there are applied, if not acknowledged.  */
  submit_small_jobs (1);
  run_ms (500);
  ends = 3;
  run_ms (5000);
  CU_ASSERT_EQUAL (hold_seen, 0);
  CU_ASSERT_EQUAL (count_stored_small_jobs (1), 1);
  CU_ASSERT_FALSE (sj_has_job (batch.cluster, "0000000000000100"));
  refused_job = "";
  run_ms (70000);
  CU_ASSERT_EQUAL (hold_seen, 3);
  CU_ASSERT_EQUAL (starts, 3);
  teardown ();
}

/* Another term loads the pieces of a large job: what runs is not started
   again, and the pieces are deleted when it has ended.  Those of a job that is
   not known to have ended stay.  */
static void
test_next_term_reads_pieces (void)
{
  enum
  {
    TASKS = 200
  };
  const struct fs_entry *lease;

  settings.record_pieces = 1;
  setup ();
  settings.record_pieces = 0;
  submit (BAD, TASKS, 0);
  run_ms (5000);
  CU_ASSERT_EQUAL (starts, TASKS);
  CU_ASSERT (g_hash_table_size (rows) > 1);
  ends = TASKS / 2;
  run_ms (2000);
  lease = fs_find_put ("jobs", vw_lease_key ());
  CU_ASSERT_PTR_NOT_NULL_FATAL (lease);
  if (!lease)
    return;
  ho_step_down (&batch, "test");
  le_row_seen (&batch.lease, version, lease->value, batch.now_ms);
  g_hash_table_replace (rows, g_strdup (UNKNOWN_PIECE), g_strdup ("[]"));
  begin_term ();
  CU_ASSERT_EQUAL (batch.term, 3);
  run_ms (3000);
  CU_ASSERT (sj_has_job (batch.cluster, BAD));
  CU_ASSERT_EQUAL (starts, TASKS);
  ends = TASKS;
  run_ms (5000);
  CU_ASSERT_FALSE (sj_has_job (batch.cluster, BAD));
  CU_ASSERT_EQUAL (starts, TASKS);
  CU_ASSERT_EQUAL (g_hash_table_size (rows), 2);
  CU_ASSERT (g_hash_table_contains (rows, UNKNOWN_PIECE));
  teardown ();
}

/* A store that refuses all transactions for a while: no record is at fault. */
static void
test_no_record_is_blamed_for_store (void)
{
  setup ();
  refuses_all = 1;
  submit (BAD, 1, 0);
  submit_small_jobs (5);
  run_ms (1000);
  CU_ASSERT_EQUAL (aside_jobs (), 0);
  refuses_all = 0;
  run_ms (2000);
  CU_ASSERT_EQUAL (aside_jobs (), 0);
  CU_ASSERT_EQUAL (starts, 6);
  teardown ();
}

/* A wide job whose occurrences overlap, beside small ones: nothing is sent
   that the store must refuse, the small jobs are stored at once, and the wide
   one ends too.  */
static void
test_wide_job_stops_no_other (void)
{
  enum
  {
    TASKS = 1000,
    TIMES = 4
  };

  setup ();
  submit (BAD, TASKS, TIMES);
  run_ms (10000);
  CU_ASSERT (starts_of_bad >= TASKS);
  submit_small_jobs (20);
  run_ms (2000);
  CU_ASSERT_EQUAL (count_stored_small_jobs (20), 20);
  for (int i = 0; i < 600 && sj_has_job (batch.cluster, BAD); i++)
    {
      ends = starts;
      run_ms (1000);
    }
  CU_ASSERT_FALSE (sj_has_job (batch.cluster, BAD));
  CU_ASSERT_EQUAL (starts_of_bad, TASKS * TIMES);
  CU_ASSERT_EQUAL (refused_writes, 0);
  CU_ASSERT_EQUAL (batch.term, 1);
  teardown ();
}

/* Guards against LOST: all runs of a scheduled job were opened that had fallen
   due meanwhile, its record was too large for a row, and it was set aside for
   good.  */
static void
test_due_runs_are_opened_in_turn (void)
{
  enum
  {
    TASKS = 1000,
    TIMES = 10
  };

  setup ();
  submit (BAD, TASKS, TIMES);
  submit_small_jobs (20);
  run_ms (1000);
  CU_ASSERT_EQUAL (count_stored_small_jobs (20), 20);
  for (int i = 0; i < 100 && sj_has_job (batch.cluster, BAD); i++)
    {
      ends = starts;
      run_ms (1000);
      CU_ASSERT_EQUAL (aside_jobs (), 0);
    }
  CU_ASSERT_FALSE (sj_has_job (batch.cluster, BAD));
  CU_ASSERT_EQUAL (starts_of_bad, TASKS * TIMES);
  CU_ASSERT_EQUAL (refused_writes, 0);
  teardown ();
}

/* Guards against a holder without memory: 1,800 runs of 1,000 tasks that were
   due at once took 260 MB.  */
static void
test_many_due_runs_cost_little (void)
{
  const char *value;
  json_t *record;

  setup ();
  submit (BAD, 1000, 1800);
  run_ms (1000);
  CU_ASSERT (starts_of_bad > 0);
  value = g_hash_table_lookup (rows, BAD);
  record = value ? json_loads (value, 0, NULL) : NULL;
  CU_ASSERT_EQUAL (json_array_size (json_object_get (record, "open")), 1);
  json_decref (record);
  teardown ();
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "refused record", test_refused_record_stops_no_other },
    { "taken later", test_job_goes_on_when_record_is_taken },
    { "ends", test_ends_wait_for_record },
    { "wide job", test_wide_job_stops_no_other },
    { "next term", test_next_term_reads_pieces },
    { "store refuses all", test_no_record_is_blamed_for_store },
    { "due runs", test_due_runs_are_opened_in_turn },
    { "many due runs", test_many_due_runs_cost_little },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  lg_init ("test", "plain", LG_ERROR);
  return run_suite ("records", tests);
}
