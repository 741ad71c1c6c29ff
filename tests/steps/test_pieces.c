/* Records in pieces: a holder is replaced after each prefix of the
   transactions that store the changes of a large job.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "steps/fake_cluster.h"
#include "suite.h"

#define JOB "0000000000000001"

enum
{
  WORKERS = 12,
  TASKS = 40, /* more than a single row has, and no multiple of a piece */
  END_MS = 60000,
  MAX_COMMITS = 4000
};

static struct fa_cluster cluster;

static void
expect_no_violations (void)
{
  if (cluster.violations)
    printf ("\n%s\n", cluster.first_violation);
  CU_ASSERT_EQUAL (cluster.violations, 0);
}

/* Adds to JOB a step of COUNT tasks after its first.  */
static void
add_step (struct sj_job *job, int count, int is_gang)
{
  job->step = g_renew (struct sj_step, job->step, 2);
  job->step[1] = job->step[0];
  job->step[1].count = count;
  job->step[1].depends_on = 1;
  job->step[1].gang = is_gang != 0;
  job->step_count = 2;
}

static struct sj_job *
single_tasks (void)
{
  struct sj_job *job = fa_new_job (1, 1, TASKS, 1, 400);

  add_step (job, TASKS, 0);
  job->step[0].checkpoints = 1;
  return job;
}

static struct sj_job *
gang (void)
{
  struct sj_job *job = fa_new_job (1, 1, 20, 1, 300);

  add_step (job, TASKS, 1);
  job->step[1].checkpoints = 1;
  return job;
}

static struct sj_job *
occurrences (void)
{
  struct sj_job *job = fa_new_job (1, 1, 20, 1, 500);

  add_step (job, 3, 0);
  job->occurrences = 4;
  job->interval_ms = 200;
  return job;
}

static void
run_until_commits (int commits)
{
  for (int ms = 0; ms < END_MS && cluster.commits < commits; ms += 10)
    fa_run_ms (&cluster, 10);
}

static void
run_to_end (void)
{
  for (int ms = 0; ms < END_MS && fa_state (&cluster, JOB) < SJ_COMPLETED;
       ms += 100)
    fa_run_ms (&cluster, 100);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB), SJ_COMPLETED);
  fa_run_ms (&cluster, 3000);
  expect_no_violations ();
  /* No piece is left.  */
  CU_ASSERT_EQUAL (g_hash_table_size (cluster.records), 1);
}

static void
begin (struct sj_job *job, int rows)
{
  fa_init (&cluster, WORKERS, 6, 1);
  cluster.commit_rows = rows;
  cluster.settings.record_pieces = 1;
  fa_take_over (&cluster);
  fa_run_ms (&cluster, 300);
  fa_submit (&cluster, job);
}

/* Returns the number of transactions until the job has ended.  */
static int
count_commits (struct sj_job *job, int rows)
{
  int commits;

  begin (job, rows);
  while (fa_state (&cluster, JOB) < SJ_COMPLETED
         && cluster.commits < MAX_COMMITS)
    fa_run_ms (&cluster, 10);
  commits = cluster.commits;
  CU_ASSERT (commits < MAX_COMMITS);
  fa_fini (&cluster);
  return commits;
}

/* Another holder takes over after each transaction, and a third one some
   transactions later, in the midst of what the second one writes.  */
static void
cut_after_each_transaction (struct sj_job *(*new_job) (void), int rows)
{
  int commits = count_commits (new_job (), rows);

  for (int n = 0; n <= commits + 2; n++)
    for (int again = 0; again < 6; again += 2)
      {
        begin (new_job (), rows);
        run_until_commits (n);
        fa_take_over (&cluster);
        if (again)
          {
            run_until_commits (n + again - 1);
            fa_take_over (&cluster);
          }
        run_to_end ();
        fa_fini (&cluster);
      }
}

static void
test_single_tasks (void)
{
  cut_after_each_transaction (single_tasks, 1);
  cut_after_each_transaction (single_tasks, 3);
}

static void
test_gang (void)
{
  cut_after_each_transaction (gang, 1);
  cut_after_each_transaction (gang, 2);
}

static void
test_occurrences (void)
{
  cut_after_each_transaction (occurrences, 1);
  cut_after_each_transaction (occurrences, 3);
}

/* Workers are lost and holders replaced at random, and commits fail.  */
static void
test_random_faults (void)
{
  for (unsigned seed = 1; seed <= 60; seed++)
    {
      static struct sj_job *(*const kinds[]) (void)
          = { single_tasks, gang, occurrences };
      struct sj_job *job = kinds[seed % 3]();
      GRand *r = g_rand_new_with_seed (seed);

      job->max_attempts = 50;
      begin (job, g_rand_int_range (r, 1, 8));
      cluster.faults.commit_fails = 0.2;
      for (int i = 0; i < 8; i++)
        {
          fa_run_ms (&cluster, g_rand_int_range (r, 1, 60) * 10);
          if (g_rand_boolean (r))
            fa_crash (&cluster, g_rand_int_range (r, 0, WORKERS));
          else
            fa_take_over (&cluster);
        }
      run_to_end ();
      g_rand_free (r);
      fa_fini (&cluster);
    }
}

/* The store has RECORD of a job, of whose first step the first DONE tasks are
   done.  */
static void
begin_from (const char *record, int done, int rows)
{
  begin (single_tasks (), rows);
  g_hash_table_replace (cluster.records, g_strdup (JOB), g_strdup (record));
  g_hash_table_insert (cluster.started_ms, g_strdup (JOB),
                       GINT_TO_POINTER (1));
  for (int i = 0; i < done; i++)
    g_hash_table_add (cluster.completed, g_strdup_printf (JOB ".0.0.%d", i));
  fa_take_over (&cluster);
}

/* The record of an earlier release: one row, whatever the size.  A quarter of
   the first step is done.  */
static void
test_earlier_format_is_read (void)
{
  GString *record = g_string_new (
      "{\"state\":\"running\",\"next\":1,\"done\":0,\"begun\":true,\"open\":"
      "[{\"n\":0,\"left\":[30,-1],\"units\":[[0,10,1,0,\"\",[],[]]");

  for (int i = 11; i < TASKS; i++)
    g_string_append_printf (record, ",[0,%d]", i);
  g_string_append (record, "]}]}");
  for (int commits = 0; commits < 40; commits++)
    {
      begin_from (record->str, 10, 1);
      run_until_commits (cluster.commits + commits);
      fa_take_over (&cluster);
      run_to_end ();
      fa_fini (&cluster);
    }
  begin_from (record->str, 10, 0);
  run_to_end ();
  CU_ASSERT_EQUAL (cluster.starts, 30 + TASKS);
  fa_fini (&cluster);
  g_string_free (record, TRUE);
}

/* A job whose tasks fit a single row has no other.  */
static void
test_small_job_has_one_row (void)
{
  begin (fa_new_job (1, 1, SJ_ROW_TASKS, 1, 500), 0);
  while (fa_state (&cluster, JOB) < SJ_COMPLETED)
    {
      fa_run_ms (&cluster, 10);
      CU_ASSERT (g_hash_table_size (cluster.records) <= 1);
    }
  fa_fini (&cluster);
}

/* An end of one task of a large job changes one row of a bounded size.  */
static void
test_end_changes_one_row (void)
{
  enum
  {
    MAX_ROW_BYTES = 4096
  };
  struct sj_dirty dirty[64];
  size_t bytes = 0;
  int n;

  begin (fa_new_job (1, 1, 90, 1, 60000), 0);
  fa_run_ms (&cluster, 2000);
  n = sj_dirty (cluster.scheduler, dirty, 64);
  CU_ASSERT_EQUAL (n, 0);
  sj_committed (cluster.scheduler, 1, cluster.now);
  CU_ASSERT (cluster.worker[0].runs->len > 0);
  {
    struct fa_run *run
        = &g_array_index (cluster.worker[0].runs, struct fa_run, 0);
    struct sj_listed_run end
        = { .run = run->run, .end = SJ_END_DONE, .checkpoint = "" };
    struct sj_listing l = { .requested_ms = 0, .end_count = 1, .ends = &end };

    sj_listing_apply (cluster.scheduler, cluster.worker[0].id, &l,
                      cluster.now);
  }
  n = sj_dirty (cluster.scheduler, dirty, 64);
  CU_ASSERT_EQUAL (n, 1);
  for (int i = 0; i < n; i++)
    {
      char *text = json_dumps (dirty[i].record, JSON_COMPACT);

      bytes += strlen (text);
      free (text);
      json_decref (dirty[i].record);
    }
  CU_ASSERT (bytes < MAX_ROW_BYTES);
  sj_committed (cluster.scheduler, 1, cluster.now);
  fa_fini (&cluster);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "single tasks", test_single_tasks },
    { "gang", test_gang },
    { "occurrences", test_occurrences },
    { "random faults", test_random_faults },
    { "earlier format", test_earlier_format_is_read },
    { "small job", test_small_job_has_one_row },
    { "one end", test_end_changes_one_row },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("pieces", tests);
}
