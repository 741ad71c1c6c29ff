/* A caller cancels a job that no VM knows and is told that there is none.
   Guards against a submission of that job that is stored later, and then run
   (UNASKED).  */
#include <stdio.h>
#include <string.h>

#include "suite.h"
#include "withdrawal/fake_rows.h"

#define ID "00000000000000a1"
#define JOB "/p/" ID
#define PUBLIC_JOB "/o/" ID
#define KEY "Bearer k"
#define OTHER_KEY "Bearer l"

static struct fw_world *w;
static struct hs_exchange submit, cancel, other;

/* The caller with KEY cancels the job at the second VM, and is told that there
   is none.  */
static void
cancel_unknown (const char *path, const char *key)
{
  fw_call (w, 1, &cancel, "DELETE", path, key);
  fw_run (w);
  CU_ASSERT_EQUAL (cancel.answers, 1);
  CU_ASSERT_EQUAL (cancel.status, 410);
}

/* Lets everything that waits happen; no job is stored, and the submission was
   not accepted.  */
static void
check_job_is_not_stored (void)
{
  for (int i = 0; i < 5; i++)
    {
      fw_run (w);
      fw_wait (w, 1000);
    }
  CU_ASSERT_FALSE (fw_has_row (w, ID));
  CU_ASSERT_EQUAL (submit.answers, 1);
  CU_ASSERT_NOT_EQUAL (submit.status, 200);
  fw_call (w, 0, &other, "GET", JOB, KEY);
  fw_run (w);
  CU_ASSERT_EQUAL (other.status, 410);
}

/* The submission is on its way to the store.  */
static void
test_submission_in_flight (void)
{
  struct fw_call *late;

  w = fw_init ();
  fw_call (w, 0, &submit, "POST", JOB, KEY);
  late = fw_take (w);
  cancel_unknown (JOB, KEY);
  fw_execute_late (w, late);
  check_job_is_not_stored ();
  fw_fini (w);
}

/* It waits at another VM, which the store refuses for now.  */
static void
test_submission_waits_at_another_vm (void)
{
  w = fw_init ();
  w->refuses_writes = 1;
  fw_call (w, 0, &submit, "POST", JOB, KEY);
  fw_run (w);
  CU_ASSERT_EQUAL (submit.answers, 0);
  w->refuses_writes = 0;
  cancel_unknown (JOB, KEY);
  fw_wait (w, 100);
  check_job_is_not_stored ();
  CU_ASSERT_EQUAL (submit.status, 410);
  fw_fini (w);
}

/* The caller's repetition arrives seconds later, at a VM that has heard of the
   cancellation or has not.  */
static void
test_submission_arrives_later (void)
{
  for (int has_heard = 0; has_heard < 2; has_heard++)
    {
      w = fw_init ();
      cancel_unknown (JOB, KEY);
      fw_wait (w, 20000);
      if (has_heard)
        fw_follow (w, 0);
      fw_call (w, 0, &submit, "POST", JOB, KEY);
      CU_ASSERT_EQUAL (submit.answers, has_heard);
      check_job_is_not_stored ();
      CU_ASSERT_EQUAL (submit.status, 410);
      fw_fini (w);
    }
}

/* The job has ended and its rows were removed, as a cancellation is on its
   way.  A repeated submission must not run it again.  */
static void
test_rows_removed_before_cancellation (void)
{
  w = fw_init ();
  fw_call (w, 1, &other, "POST", JOB, KEY);
  fw_run (w);
  CU_ASSERT_EQUAL (other.status, 200);
  fw_remove_row (w, ID);
  cancel_unknown (JOB, KEY);
  fw_call (w, 0, &submit, "POST", JOB, KEY);
  check_job_is_not_stored ();
  fw_fini (w);
}

/* The submission is stored between the look-up and the withdrawal.  */
static void
test_submission_stored_meanwhile (void)
{
  struct fw_call *late;

  w = fw_init ();
  fw_call (w, 0, &submit, "POST", JOB, KEY);
  late = fw_take (w);
  fw_call (w, 1, &cancel, "DELETE", JOB, KEY);
  fw_run (w);
  CU_ASSERT_EQUAL (cancel.status, 410);
  fw_execute_late (w, late);
  CU_ASSERT_FALSE (fw_has_row (w, ID));
  fw_fini (w);

  w = fw_init ();
  fw_call (w, 1, &cancel, "DELETE", JOB, KEY);
  late = fw_take (w); /* a look-up is repeated */
  fw_call (w, 0, &submit, "POST", JOB, KEY);
  fw_run (w);
  CU_ASSERT_EQUAL (submit.status, 200);
  fw_wait (w, 100);
  fw_run (w);
  CU_ASSERT_EQUAL (cancel.status, 200);
  CU_ASSERT (fw_has_row (w, ID ".x"));
  fw_execute_late (w, late);
  fw_fini (w);
}

/* A job without a key may be cancelled with one, or without.  */
static void
test_submission_without_key (void)
{
  static const char *const keys[] = { NULL, KEY };

  for (int i = 0; i < 2; i++)
    {
      w = fw_init ();
      cancel_unknown (PUBLIC_JOB, keys[i]);
      fw_call (w, 0, &submit, "POST", PUBLIC_JOB, NULL);
      check_job_is_not_stored ();
      fw_fini (w);
    }
}

/* Guards against a caller that keeps another account's id from being used, or
   learns whether it is.  */
static void
test_other_account (void)
{
  int calls;

  w = fw_init ();
  cancel_unknown (JOB, OTHER_KEY);
  calls = w->reads + w->writes;
  fw_follow (w, 0);
  fw_call (w, 0, &submit, "POST", JOB, KEY);
  fw_run (w);
  CU_ASSERT_EQUAL (submit.status, 200);
  fw_fini (w);

  for (int has_heard = 0; has_heard < 2; has_heard++)
    {
      w = fw_init ();
      fw_call (w, 0, &submit, "POST", JOB, KEY);
      fw_run (w);
      if (has_heard)
        fw_follow (w, 1);
      w->reads = w->writes = 0;
      cancel_unknown (JOB, OTHER_KEY);
      CU_ASSERT_EQUAL (w->reads + w->writes, calls);
      CU_ASSERT_FALSE (fw_has_row (w, ID ".x"));
      fw_call (w, 0, &other, "GET", JOB, KEY);
      CU_ASSERT_EQUAL (other.status, 200);
      fw_fini (w);
    }
}

/* Guards against an answer 410 that nothing stored keeps.  */
static void
test_store_takes_no_writes (void)
{
  w = fw_init ();
  w->refuses_writes = 1;
  fw_call (w, 1, &cancel, "DELETE", JOB, KEY);
  for (int i = 0; i < 5; i++)
    {
      fw_run (w);
      fw_wait (w, 1000);
    }
  CU_ASSERT_EQUAL (cancel.status, 503);
  w->refuses_writes = 0;
  fw_call (w, 1, &cancel, "DELETE", JOB, KEY);
  fw_run (w);
  CU_ASSERT_EQUAL (cancel.status, 410);
  fw_fini (w);
}

/* A withdrawal without an answer is not known to hold.  */
static void
test_withdrawal_without_answer (void)
{
  struct fw_call *late[8];
  int n = 0;

  w = fw_init ();
  fw_call (w, 1, &cancel, "DELETE", JOB, KEY);
  fw_run_oldest (w);
  for (; n < 8 && !cancel.answers; n++)
    {
      if (w->calls->len)
        late[n] = fw_take (w);
      else
        late[n] = NULL;
      fw_wait (w, 700);
    }
  CU_ASSERT_EQUAL (cancel.status, 504);
  for (int i = 0; i < n; i++)
    if (late[i])
      fw_execute_late (w, late[i]);
  fw_fini (w);
}

/* A repeated cancellation costs one write in a while.  */
static void
test_repeated_cancellation (void)
{
  w = fw_init ();
  for (int i = 0; i < 20; i++)
    cancel_unknown (JOB, KEY);
  CU_ASSERT_EQUAL (w->writes, 1);
  fw_wait (w, WD_KEEP_MS - 1000);
  cancel_unknown (JOB, KEY);
  CU_ASSERT_EQUAL (w->writes, 2);
  fw_fini (w);
}

static void
cancel_many (const char *key, int count)
{
  for (int i = 0; i < count; i++)
    {
      char path[40];

      snprintf (path, sizeof path, "/p/%016x", (unsigned)i);
      fw_call (w, 1, &cancel, "DELETE", path, key);
      fw_run (w);
    }
}

/* Guards against an account whose cancellations fill the table, or keep others
   from cancelling.  A job that is there can be cancelled all the same.  */
static void
test_limit_of_an_account (void)
{
  w = fw_init ();
  fw_call (w, 0, &submit, "POST", "/p/00000000000000ff", KEY);
  fw_run (w);
  cancel_many (KEY, WD_MAX_ROWS + 2);
  CU_ASSERT_EQUAL (cancel.status, 429);
  CU_ASSERT (w->writes <= WD_MAX_ROWS + 3);
  cancel_unknown (JOB, OTHER_KEY);
  fw_call (w, 1, &cancel, "DELETE", "/p/00000000000000ff", KEY);
  fw_run (w);
  CU_ASSERT_EQUAL (cancel.status, 200);
  fw_fini (w);
}

static int
count_rows (void)
{
  return (int)g_tree_nnodes (w->rows);
}

/* The holder removes rows that are old, but none that was renewed.  */
static void
test_old_rows_are_removed (void)
{
  struct batch *holder;
  struct fw_call *late;

  w = fw_init ();
  holder = &w->vm[0];
  holder->phase = BA_ACTIVE;
  cancel_many (KEY, 100);
  /* One for requests with the key and one for those without.  */
  CU_ASSERT_EQUAL (count_rows (), 200);
  fw_follow (w, 0);
  wx_tick (holder);
  CU_ASSERT_EQUAL (w->calls->len, 0);
  fw_wait (w, WD_KEEP_MS + 1000);
  wx_tick (holder);
  late = g_ptr_array_steal_index (w->calls, 0);
  /* All are cancelled again, which the holder has not heard yet.  */
  cancel_many (KEY, 100);
  fw_execute_late (w, late);
  CU_ASSERT_EQUAL (count_rows (), 200);
  fw_wait (w, WD_KEEP_MS + 1000);
  for (int i = 0; i < 12; i++)
    {
      fw_follow (w, 0);
      wx_tick (holder);
      fw_run (w);
      fw_wait (w, 5000);
    }
  CU_ASSERT_EQUAL (count_rows (), 0);
  fw_follow (w, 1);
  CU_ASSERT_EQUAL (g_hash_table_size (w->vm[1].view.withdrawals.rows), 0);
  CU_ASSERT_EQUAL (g_hash_table_size (w->vm[1].view.withdrawals.counts), 0);
  fw_call (w, 0, &submit, "POST", JOB, KEY);
  fw_run (w);
  CU_ASSERT_EQUAL (submit.status, 200);
  fw_fini (w);
}

/* Guards against a VM that another writer's row takes down, or a row that
   stays for ever.  */
static void
test_odd_rows (void)
{
  static const char *const values[]
      = { "", "[]", "{\"at\":\"x\",\"by\":7}", "{\"at\":9e300}",
          "{\"by\":\"0123456789abcdef0123456789abcdef\"}" };
  struct wd_table t;
  struct wd_row out[8];
  char key[WD_KEY_SIZE];

  wd_init (&t);
  for (int i = 0; i < (int)G_N_ELEMENTS (values); i++)
    {
      char id[20];

      snprintf (id, sizeof id, "%016x", (unsigned)i);
      wd_make_key (key, id, "t");
      CU_ASSERT (wd_is_key (key));
      wd_apply_row (&t, key, values[i], 5 + i, 0, 1);
    }
  CU_ASSERT_EQUAL (wd_expired (&t, WD_KEEP_MS * 3, out, 8), 5);
  wd_remove_unseen (&t, 2);
  CU_ASSERT_EQUAL (g_hash_table_size (t.rows), 0);
  wd_fini (&t);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "in flight", test_submission_in_flight },
    { "waits at another VM", test_submission_waits_at_another_vm },
    { "arrives later", test_submission_arrives_later },
    { "rows removed", test_rows_removed_before_cancellation },
    { "stored meanwhile", test_submission_stored_meanwhile },
    { "without a key", test_submission_without_key },
    { "other account", test_other_account },
    { "no writes", test_store_takes_no_writes },
    { "without an answer", test_withdrawal_without_answer },
    { "repeated", test_repeated_cancellation },
    { "limit", test_limit_of_an_account },
    { "old rows", test_old_rows_are_removed },
    { "odd rows", test_odd_rows },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  lg_init ("test", "plain", LG_ERROR);
  return run_suite ("withdrawal", tests);
}
