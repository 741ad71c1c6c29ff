/* What the outcomes of starts and stops, and listings, prove.  */
#include <stdio.h>
#include <string.h>

#include "steps/fake_cluster.h"
#include "suite.h"

enum
{
  MAX_ORDERS = 64,
  FIRST_LIFE = 7
};

struct sent_order
{
  enum sj_order_kind kind;
  char worker[8];
  struct sj_run run;
};

static struct sj_cluster *cluster;
static int64_t now;
static struct sent_order order[MAX_ORDERS];
static int orders;
static enum sj_state stored_state; /* of the last record */

static void
note_order (void *arg, const struct sj_order *o)
{
  struct sent_order *s = &order[orders % MAX_ORDERS];

  (void)arg;
  orders++;
  s->kind = o->kind;
  s->run = o->run;
  g_strlcpy (s->worker, o->worker, sizeof s->worker);
}

/* The last order of KIND to WORKER, or NULL.  */
static const struct sent_order *
last_order (enum sj_order_kind kind, const char *worker)
{
  for (int i = MIN (orders, MAX_ORDERS); i-- > 0;)
    if (order[i].kind == kind && !strcmp (order[i].worker, worker))
      return &order[i];
  return NULL;
}

static int
count_orders (enum sj_order_kind kind)
{
  int n = 0;

  for (int i = 0; i < MIN (orders, MAX_ORDERS); i++)
    n += order[i].kind == kind;
  return n;
}

static void
set_worker (const char *id, int64_t life)
{
  struct sj_worker_info info = { .id = id,
                                 .incarnation = life,
                                 .service = "s",
                                 .kind = "a",
                                 .rack = "r",
                                 .capacity = { 8000, 16000, 2 },
                                 .version = 1 };

  sj_worker_set (cluster, &info, now);
}

/* WORKER lists RUN (NULL: nothing), as asked at REQUESTED_MS.  */
static void
list_at (const char *worker, const struct sj_run *run, int64_t requested_ms)
{
  struct sj_listed_run listed = { .checkpoint = "", .percent = 1 };
  struct sj_listing l = { .requested_ms = requested_ms, .runs = &listed };

  if (run)
    {
      listed.run = *run;
      l.run_count = 1;
    }
  CU_ASSERT_EQUAL (sj_listing_apply (cluster, worker, &l, now), SJ_OK);
}

static void
list (const char *worker, const struct sj_run *run)
{
  now += 10;
  list_at (worker, run, now - 1);
}

/* Decides and stores the records, which sends the starts.  */
static void
decide_after (int64_t ms)
{
  struct sj_dirty dirty[8];
  int n;

  now += ms;
  sj_decide (cluster, now, now);
  n = sj_dirty (cluster, dirty, 8);
  for (int i = 0; i < n; i++)
    {
      stored_state = dirty[i].state;
      json_decref (dirty[i].record);
    }
  sj_committed (cluster, 1, now);
}

/* Two workers, "a" and "b" (the second after add_second), and a job of COUNT
   tasks with two accelerators each.  */
static void
setup (int count, int gang)
{
  struct sj_settings set = { .off_rack_factor = 3, .silent_timeout_ms = 6000 };
  struct sj_job *job = fa_new_job (1, 0, count, 2, 1000);

  now = 100000;
  orders = 0;
  cluster = sj_new (&set, note_order, NULL);
  job->step[0].gang = gang;
  set_worker ("a", FIRST_LIFE);
  list ("a", NULL);
  if (gang)
    {
      set_worker ("b", FIRST_LIFE);
      list ("b", NULL);
    }
  sj_job_add (cluster, job, NULL, 0, now);
  decide_after (10);
  CU_ASSERT_EQUAL_FATAL (orders, count);
  for (int i = 0; i < count; i++)
    sj_start_sent (cluster, order[i].worker, &order[i].run);
}

/* Another worker that the task may start on.  */
static void
add_second (void)
{
  set_worker ("b", FIRST_LIFE);
  list ("b", NULL);
}

static void
teardown (void)
{
  sj_check (cluster);
  sj_free (cluster);
}

static void
answer_start (const char *worker, enum sj_answer answer)
{
  const struct sent_order *o = last_order (SJ_START, worker);

  CU_ASSERT_PTR_NOT_NULL_FATAL (o);
  sj_start_answered (cluster, worker, &o->run, answer, now);
}

static void
answer_stop (const char *worker, enum sj_answer answer)
{
  const struct sent_order *o = last_order (SJ_STOP, worker);

  CU_ASSERT_PTR_NOT_NULL_FATAL (o);
  sj_stop_answered (cluster, worker, &o->run, answer, now);
}

/* The task occupies worker "a" still and is not started on "b".  */
static void
expect_still_on_a (void)
{
  decide_after (10);
  CU_ASSERT (sj_worker_has_runs (cluster, "a"));
  CU_ASSERT_EQUAL (count_orders (SJ_START), 1);
}

/* The task is planned anew, on either worker.  */
static void
expect_started_again (void)
{
  decide_after (10);
  CU_ASSERT_EQUAL (count_orders (SJ_START), 2);
}

/* Guards against true refusals that cost more than a new plan.  */
static void
test_refused_start_is_planned_at_once (void)
{
  setup (1, 0);
  add_second ();
  answer_start ("a", SJ_REFUSED);
  expect_started_again ();
  CU_ASSERT_EQUAL (count_orders (SJ_STOP), 0);
  teardown ();
}

/* Guards against TWICE: an unanswered start was taken for one that was not
   carried out, as a listing or the acknowledged stop came before.  */
static void
test_unanswered_start_needs_stop_and_listing (void)
{
  setup (1, 0);
  add_second ();
  list ("a", NULL);
  expect_still_on_a ();
  answer_start ("a", SJ_UNANSWERED);
  list ("a", NULL);
  expect_still_on_a ();
  answer_stop ("a", SJ_REFUSED);
  list ("a", NULL);
  expect_still_on_a ();
  decide_after (600);
  CU_ASSERT_EQUAL (count_orders (SJ_STOP), 2);
  answer_stop ("a", SJ_EXECUTED);
  expect_still_on_a ();
  list ("a", NULL);
  expect_started_again ();
  teardown ();
}

/* Guards against TWICE: a listing that was written before the start, or before
   the stop, and read after it was taken for one that shows its outcome.  */
static void
test_listing_from_before_proves_nothing (void)
{
  setup (1, 0);
  add_second ();
  answer_start ("a", SJ_EXECUTED);
  list_at ("a", NULL, now - 100);
  list_at ("a", NULL, now);
  expect_still_on_a ();
  list ("a", NULL);
  expect_started_again ();
  teardown ();
  setup (1, 0);
  add_second ();
  answer_start ("a", SJ_UNANSWERED);
  answer_stop ("a", SJ_EXECUTED);
  list_at ("a", NULL, now - 100);
  list_at ("a", NULL, now);
  expect_still_on_a ();
  teardown ();
}

/* Guards against TWICE: a stop that an earlier incarnation accepted was taken
   for one that keeps the present one from carrying the start out.  */
static void
test_stop_of_earlier_incarnation_proves_nothing (void)
{
  setup (1, 0);
  add_second ();
  answer_start ("a", SJ_UNANSWERED);
  answer_stop ("a", SJ_EXECUTED);
  set_worker ("a", FIRST_LIFE + 1);
  list ("a", NULL);
  expect_still_on_a ();
  decide_after (600);
  CU_ASSERT_EQUAL (count_orders (SJ_STOP), 2);
  answer_stop ("a", SJ_EXECUTED);
  list ("a", NULL);
  expect_started_again ();
  teardown ();
}

/* Guards against TWICE: a later try of the start was answered and ended with
   its incarnation, and the first one is carried out by the next incarnation
   after that has listed its runs.  */
static void
test_earlier_try_may_reach_next_incarnation (void)
{
  setup (1, 0);
  add_second ();
  sj_start_sent (cluster, order[0].worker, &order[0].run);
  answer_start ("a", SJ_EXECUTED);
  list ("a", &order[0].run);
  set_worker ("a", FIRST_LIFE + 1);
  list ("a", NULL);
  expect_still_on_a ();
  CU_ASSERT_EQUAL (count_orders (SJ_STOP), 1);
  answer_stop ("a", SJ_EXECUTED);
  list ("a", NULL);
  expect_started_again ();
  teardown ();
}

/* The worker that carried a later try out rejects the earlier one, so that no
   stop is needed.  */
static void
test_earlier_try_is_rejected_by_the_same_worker (void)
{
  setup (1, 0);
  add_second ();
  sj_start_sent (cluster, order[0].worker, &order[0].run);
  answer_start ("a", SJ_EXECUTED);
  list ("a", &order[0].run);
  list ("a", NULL);
  expect_started_again ();
  CU_ASSERT_EQUAL (count_orders (SJ_STOP), 0);
  teardown ();
}

/* The only try was answered, so that the next incarnation can't carry it
   out: the task is planned anew at once.  */
static void
test_only_try_ends_with_its_incarnation (void)
{
  setup (1, 0);
  add_second ();
  answer_start ("a", SJ_EXECUTED);
  list ("a", &order[0].run);
  set_worker ("a", FIRST_LIFE + 1);
  list ("a", NULL);
  expect_started_again ();
  CU_ASSERT_EQUAL (count_orders (SJ_STOP), 0);
  teardown ();
}

/* Guards against LIMIT: a start that waited to be sent went to a worker that
   listed a run of which the scheduler knows nothing, whose capacity is not
   counted.  */
static void
test_waiting_start_beside_unknown_run (void)
{
  struct sj_run stranger = { .job = "00000000000000ff", .number = 1 };

  setup (1, 0);
  CU_ASSERT (sj_may_send_start (cluster, "a", &order[0].run));
  list ("a", &stranger);
  CU_ASSERT_FALSE (sj_may_send_start (cluster, "a", &order[0].run));
  CU_ASSERT_EQUAL (count_orders (SJ_STOP), 1);
  list ("a", NULL);
  CU_ASSERT (sj_may_send_start (cluster, "a", &order[0].run));
  teardown ();
}

/* Guards against TWICE and LIMIT in a gang: the members that were not refused
   keep their capacity, and no member starts again, until all have ended.  */
static void
test_refused_member_stops_its_gang (void)
{
  setup (2, 1);
  set_worker ("c", FIRST_LIFE);
  list ("c", NULL);
  answer_start ("a", SJ_REFUSED);
  CU_ASSERT_FALSE (sj_worker_has_runs (cluster, "a"));
  CU_ASSERT (sj_worker_has_runs (cluster, "b"));
  CU_ASSERT_PTR_NOT_NULL (last_order (SJ_STOP, "b"));
  answer_start ("b", SJ_UNANSWERED);
  list ("b", NULL);
  decide_after (10);
  CU_ASSERT_EQUAL (count_orders (SJ_START), 2);
  answer_stop ("b", SJ_EXECUTED);
  decide_after (10);
  CU_ASSERT (sj_worker_has_runs (cluster, "b"));
  CU_ASSERT_EQUAL (count_orders (SJ_START), 2);
  list ("b", NULL);
  decide_after (10);
  decide_after (10);
  CU_ASSERT_EQUAL (count_orders (SJ_START), 4);
  teardown ();
}

/* Guards against TWICE: a member whose start was not answered keeps the whole
   gang from starting again.  */
static void
test_unanswered_member_stops_its_gang (void)
{
  setup (2, 1);
  answer_start ("b", SJ_EXECUTED);
  answer_start ("a", SJ_UNANSWERED);
  answer_stop ("b", SJ_EXECUTED);
  list ("b", NULL);
  list ("a", NULL);
  decide_after (10);
  CU_ASSERT (sj_worker_has_runs (cluster, "a"));
  CU_ASSERT_EQUAL (count_orders (SJ_START), 2);
  answer_stop ("a", SJ_EXECUTED);
  list ("a", NULL);
  decide_after (10);
  decide_after (10);
  CU_ASSERT_EQUAL (count_orders (SJ_START), 4);
  teardown ();
}

/* The next holder adds the job from its record, in which its task runs on
   "a".  */
static void
take_over (void)
{
  struct sj_settings set = { .off_rack_factor = 3, .silent_timeout_ms = 6000 };
  struct sj_job *job = fa_new_job (1, 0, 1, 2, 1000);
  json_t *record = json_loads (
      "{\"state\":\"running\",\"next\":1,\"done\":0,\"begun\":true,"
      "\"open\":[{\"n\":0,\"left\":[1],\"units\":"
      "[[0,0,1,0,\"\",[\"a\"],[8]]]}]}",
      0, NULL);

  now = 100000;
  orders = 0;
  cluster = sj_new (&set, note_order, NULL);
  CU_ASSERT_EQUAL_FATAL (sj_job_add (cluster, job, record, 0, now), SJ_OK);
  json_decref (record);
  set_worker ("a", FIRST_LIFE);
  add_second ();
}

/* Guards against TWICE: the start of an earlier holder was taken for one that
   was not carried out before its worker had seen the next holder's token, or
   before the lease that it may have given had ended.  */
static void
test_start_of_earlier_holder (void)
{
  take_over ();
  for (int i = 0; i < 59; i++)
    {
      sj_worker_set_reachable (cluster, "a", 0);
      decide_after (100);
      CU_ASSERT_EQUAL (orders, 0);
    }
  list ("a", NULL);
  decide_after (10);
  CU_ASSERT_FALSE (sj_worker_has_runs (cluster, "a")
                   && sj_worker_has_runs (cluster, "b"));
  CU_ASSERT_EQUAL (count_orders (SJ_START), 1);
  CU_ASSERT_EQUAL (order[0].run.number, 2);
  teardown ();
}

static int
waiting_jobs (void)
{
  struct sj_counts counts;

  sj_count (cluster, &counts);
  return counts.waiting;
}

/* Guards against MIXED: a job counted as begun, and was shown as running, from
   its first plan on, though no worker had taken a start of it.  */
static void
test_refused_job_is_waiting (void)
{
  setup (1, 0);
  CU_ASSERT_EQUAL (waiting_jobs (), 1);
  add_second ();
  answer_start ("a", SJ_REFUSED);
  decide_after (200);
  CU_ASSERT_EQUAL (waiting_jobs (), 1);
  CU_ASSERT_EQUAL (stored_state, SJ_QUEUED);
  answer_start ("b", SJ_EXECUTED);
  decide_after (10);
  CU_ASSERT_EQUAL (waiting_jobs (), 0);
  CU_ASSERT_EQUAL (stored_state, SJ_RUNNING);
  teardown ();
}

/* The same for a start without an answer, which the worker's list shows.  */
static void
test_job_runs_once_a_listing_has_it (void)
{
  struct sj_run run;

  setup (1, 0);
  run = last_order (SJ_START, "a")->run;
  decide_after (100);
  CU_ASSERT_EQUAL (stored_state, SJ_QUEUED);
  list ("a", &run);
  decide_after (10);
  CU_ASSERT_EQUAL (waiting_jobs (), 0);
  CU_ASSERT_EQUAL (stored_state, SJ_RUNNING);
  teardown ();
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "waiting, refused", test_refused_job_is_waiting },
    { "waiting, listed", test_job_runs_once_a_listing_has_it },
    { "refused", test_refused_start_is_planned_at_once },
    { "unanswered", test_unanswered_start_needs_stop_and_listing },
    { "earlier listing", test_listing_from_before_proves_nothing },
    { "earlier stop", test_stop_of_earlier_incarnation_proves_nothing },
    { "earlier try", test_earlier_try_may_reach_next_incarnation },
    { "earlier try, same worker",
      test_earlier_try_is_rejected_by_the_same_worker },
    { "only try", test_only_try_ends_with_its_incarnation },
    { "beside unknown run", test_waiting_start_beside_unknown_run },
    { "gang, refused", test_refused_member_stops_its_gang },
    { "gang, unanswered", test_unanswered_member_stops_its_gang },
    { "earlier holder", test_start_of_earlier_holder },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("outcomes", tests);
}
