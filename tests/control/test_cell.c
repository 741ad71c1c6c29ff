#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "fake_cluster.h"
#include "suite.h"

enum
{
  WORKERS = 4,
  STARTUP_MS = 1000, /* time from the start until a VM serves the cell */
  LONG_MS = 20000,
  SEED = 7
};

#define JOB "d1~0000000000000001"
#define JOB2 "d1~0000000000000002"

static void
start (struct fw_cluster *w, unsigned long seed)
{
  fw_init (w, WORKERS, seed);
  fw_start_vm (w, 0);
  fw_run (w, STARTUP_MS);
  CU_ASSERT_EQUAL (fw_holder (w), 0);
}

static int
count_starts (struct fw_cluster *w, const char *job, int attempt)
{
  int n = 0;

  for (guint i = 0; i < w->starts->len; i++)
    {
      const struct fw_task_start *s
          = &g_array_index (w->starts, struct fw_task_start, i);

      n += !strcmp (s->job, job) && s->attempt == attempt;
    }
  return n;
}

static int
has_ended (struct fw_cluster *w, const char *job)
{
  const char *s = fw_job_state (w, job);

  return strcmp (s, "queued") != 0 && strcmp (s, "running") != 0;
}

static void
check_rows_written_first (struct fw_cluster *w)
{
  for (guint i = 0; i < w->starts->len; i++)
    CU_ASSERT (
        g_array_index (w->starts, struct fw_task_start, i).row_was_running);
}

static void
test_gang_runs_and_ends (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  fw_put_job (&w, JOB, 4, 8, 1, 0);
  fw_run (&w, 4000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (count_starts (&w, JOB, 1), 4);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (
                       fw_row (&w, "jobs.d1", JOB), "results")),
                   4);
  check_rows_written_first (&w);
  for (int i = 0; i < WORKERS; i++)
    /* All parts were acknowledged.  */
    CU_ASSERT_EQUAL (w.worker[i].gangs->len, 0);
  fw_fini (&w);
}

/* While one worker refuses its part as busy, no part of the gang may run.  */
static void
test_one_refusal_holds_back_the_gang (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.worker[2].mode = FW_WORKER_BUSY;
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_run (&w, 6000);
  CU_ASSERT_EQUAL (w.starts->len, 0);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "queued");
  w.worker[2].mode = FW_WORKER_OK;
  fw_run (&w, 8000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 1);
  fw_fini (&w);
}

static void
test_cancelled_job_stops (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = LONG_MS;
  fw_put_job (&w, JOB, 2, 8, 1, 0);
  fw_run (&w, 1000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "running");
  fw_cancel (&w, JOB);
  fw_run (&w, 1500);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "cancelled");
  for (int i = 0; i < WORKERS; i++)
    CU_ASSERT_EQUAL (w.worker[i].gangs->len, 0);
  fw_fini (&w);
}

/* Cancels the job at every step between its submission and its run.  */
static void
test_cancelled_at_every_step (void)
{
  for (int at = 0; at <= 400; at += FW_STEP_MS)
    {
      struct fw_cluster w;

      start (&w, SEED);
      w.run_ms = LONG_MS;
      fw_put_job (&w, JOB, 2, 8, 0, 0);
      fw_run (&w, at);
      fw_cancel (&w, JOB);
      fw_run (&w, 3000);
      CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "cancelled");
      for (int i = 0; i < WORKERS; i++)
        CU_ASSERT_EQUAL (w.worker[i].gangs->len, 0);
      fw_fini (&w);
    }
}

static void
test_failing_job_ends (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = 100;
  fw_put_job (&w, JOB, 1, 8, 1, 1);
  fw_put_job (&w, JOB2, 1, 8, 0, 1);
  fw_run (&w, LONG_MS);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "failed");
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "failed");
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB2), 1);
  fw_fini (&w);
}

static void
test_lost_worker (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = 6000;
  fw_put_job (&w, JOB, 4, 8, 1, 0);
  fw_run (&w, 1000);
  w.worker[1].mode = FW_WORKER_DEAD;
  fw_run (&w, 5000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "queued");
  w.worker[1].mode = FW_WORKER_OK;
  fw_run (&w, 10000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 2);
  fw_fini (&w);
}

/* A running job that must not be repeated ends as unknown when its worker is
   lost.  */
static void
test_lost_worker_ends_unknown_what_may_not_repeat (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = 6000;
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_run (&w, 1000);
  w.worker[1].mode = FW_WORKER_SILENT;
  fw_run (&w, LONG_MS);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "unknown");
  w.worker[1].mode = FW_WORKER_OK;
  fw_run (&w, 3000);
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 1);
  fw_fini (&w);
}

/* A worker that is lost while a gang is only held does not end the gang: not
   even a job that must not be repeated counts as started.  */
static void
test_worker_lost_while_held (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.worker[2].mode = FW_WORKER_SILENT;
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_run (&w, 4500);
  CU_ASSERT_EQUAL (w.starts->len, 0);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "queued");
  w.worker[2].mode = FW_WORKER_OK;
  fw_run (&w, 6000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 1);
  fw_fini (&w);
}

/* Writes the row of a cell that another VM holds, with COUNT workers and FREE
   free accelerators.  */
static void
put_cell_row (struct fw_cluster *w, const char *cell, int count, int free)
{
  fw_write (w, CL_TABLE, cell,
            json_pack ("{s:s, s:i, s:i, s:i, s:i, s:[[i, i, i]]}", "holder",
                       "vm-9", "epoch", 1, "lease_ms", 1000, "free", free,
                       "workers", count, "shapes", 8, 8, count));
}

static const char *
row_field (struct fw_cluster *w, const char *table, const char *field)
{
  const char *s
      = json_string_value (json_object_get (fw_row (w, table, JOB), field));

  return s ? s : "";
}

/* Two of the four workers are lost: a gang of three tasks must move once, to
   the cell that fits it and has the most free accelerators.  */
static void
lose_two_workers (struct fw_cluster *w)
{
  start (w, SEED);
  w->run_ms = 1000;
  put_cell_row (w, "d2", 2, 16);
  put_cell_row (w, "d3", 4, 8);
  put_cell_row (w, "d4", 4, 16);
  w->worker[0].mode = w->worker[1].mode = FW_WORKER_DEAD;
  fw_put_job (w, JOB, 3, 8, 0, 0);
  fw_put_job (w, JOB2, 2, 8, 0, 0);
}

static void
test_gang_goes_to_a_cell_that_holds_it (void)
{
  struct fw_cluster w;
  json_t *row;

  lose_two_workers (&w);
  fw_run (&w, LONG_MS);
  CU_ASSERT_STRING_EQUAL (row_field (&w, "jobs.d1", "moved_to"), "d4");
  CU_ASSERT_STRING_EQUAL (row_field (&w, "jobs.d1", "state"), "");
  CU_ASSERT_STRING_EQUAL (row_field (&w, "jobs.d1", "account"), "a");
  CU_ASSERT_STRING_EQUAL (row_field (&w, "jobs.d4", "state"), "queued");
  row = fw_row (&w, "jobs.d4", JOB);
  CU_ASSERT_PTR_NOT_NULL (json_object_get (row, "payload"));
  CU_ASSERT_PTR_NULL (fw_row (&w, "jobs.d2", JOB));
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 0);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "done");
  /* When all workers are back, the job stays in the other cell.  */
  w.worker[0].mode = w.worker[1].mode = FW_WORKER_OK;
  fw_run (&w, LONG_MS);
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 0);
  CU_ASSERT_EQUAL (g_hash_table_size (w.vm[0].cell.jobs), 0);
  fw_fini (&w);
}

/* Kills the holder at every step of a move; the job must be in exactly one
   cell.  */
static void
test_moved_once_at_every_step (void)
{
  for (int at = 0; at <= 8000; at += 50)
    {
      struct fw_cluster w;

      lose_two_workers (&w);
      fw_start_vm (&w, 1);
      fw_run (&w, at);
      w.table = at / 50 % 3 == 0 ? FW_TABLE_LOSSY : FW_TABLE_OK;
      fw_run (&w, 500);
      fw_kill_vm (&w, 0);
      w.table = FW_TABLE_OK;
      w.worker[0].mode = w.worker[1].mode = FW_WORKER_OK;
      fw_run (&w, LONG_MS);
      CU_ASSERT_EQUAL (
          fw_attempts_run (&w, JOB)
              + !strcmp (row_field (&w, "jobs.d4", "state"), "queued"),
          1);
      check_rows_written_first (&w);
      fw_fini (&w);
    }
}

/* A move overwrites the row that an earlier move left in the target cell, but
   not the job itself.  */
static void
test_goes_where_it_was_before (void)
{
  struct fw_cluster w;

  lose_two_workers (&w);
  fw_write (&w, "jobs.d4", JOB,
            json_pack ("{s:s, s:s}", "account", "a", "moved_to", "d1"));
  fw_run (&w, LONG_MS);
  CU_ASSERT_STRING_EQUAL (row_field (&w, "jobs.d1", "moved_to"), "d4");
  CU_ASSERT_STRING_EQUAL (row_field (&w, "jobs.d4", "state"), "queued");
  fw_fini (&w);

  lose_two_workers (&w);
  fw_write (&w, "jobs.d4", JOB,
            json_pack ("{s:s, s:s}", "account", "a", "state", "done"));
  fw_run (&w, LONG_MS);
  CU_ASSERT_STRING_EQUAL (row_field (&w, "jobs.d1", "moved_to"), "d4");
  CU_ASSERT_STRING_EQUAL (row_field (&w, "jobs.d4", "state"), "done");
  fw_fini (&w);
}

/* A gang that fits no cell is refused if it never ran and fails otherwise; the
   caller gets a retry time.  A cell of unknown capacity prevents that.  */
static void
test_gang_that_no_cell_holds_ends (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = 10000;
  fw_put_job (&w, JOB2, 4, 8, 1, 0);
  fw_run (&w, 1000);
  w.worker[0].mode = FW_WORKER_DEAD;
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_write (&w, CL_TABLE, "d2", json_pack ("{s:s}", "holder", ""));
  fw_run (&w, 2 * HM_END_AFTER_MS);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "queued");
  put_cell_row (&w, "d2", 3, 24);
  fw_run (&w, HM_END_AFTER_MS);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "refused");
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "failed");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (
                       fw_row (&w, "jobs.d1", JOB), "retry_after_s")),
                   HM_RETRY_AFTER_S);
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 0);
  fw_fini (&w);
}

/* A scan that was in flight while the job's end was written returns the job as
   still running.  It must not be loaded again.  */
static void
test_old_read_brings_no_job_back (void)
{
  struct fw_cluster w;
  struct cl_cell *c = &w.vm[0].cell;
  json_t *old, *data;

  start (&w, SEED);
  fw_put_job (&w, JOB, 2, 8, 0, 0);
  fw_run (&w, 500);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "running");
  old = json_deep_copy (fw_row (&w, "jobs.d1", JOB));
  data = json_pack ("{s:I, s:[{s:s, s:I, s:o}], s:b}", "rev",
                    (json_int_t)w.rev, "rows", "key", JOB, "version",
                    (json_int_t)w.rev, "value", old, "more", 0);
  while (g_hash_table_size (c->jobs))
    fw_run (&w, FW_STEP_MS);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  cl_scan_done (c, w.now_ms, c->scan_serial, 0, data);
  CU_ASSERT_EQUAL (g_hash_table_size (c->jobs), 0);
  json_decref (data);
  fw_run (&w, 3000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (g_hash_table_size (c->dropped), 0);
  fw_fini (&w);
}

static int
gangs_at_workers (struct fw_cluster *w)
{
  int n = 0;

  for (int i = 0; i < WORKERS; i++)
    n += (int)w->worker[i].gangs->len;
  return n;
}

/* During a table outage task leases outlive the cell's lease: running tasks
   continue, nothing new starts, not even on accelerators that become free, and
   ends are written when the table is back.  */
static void
run_outage (enum fw_table_mode mode)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = 4000;
  fw_put_job (&w, JOB, 2, 8, 0, 0);
  fw_run (&w, 500);
  fw_put_job (&w, JOB2, 4, 8, 0, 0);
  fw_run (&w, 500);
  w.table = mode;
  fw_run (&w, 10000);
  CU_ASSERT_EQUAL (gangs_at_workers (&w), 2);
  CU_ASSERT_EQUAL (fw_holder (&w), -1);
  w.table = FW_TABLE_OK;
  fw_run (&w, 8000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "done");
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 1);
  CU_ASSERT_EQUAL (w.vm[0].cell.lease.row.epoch, 1);
  fw_fini (&w);
}

static void
test_table_down (void)
{
  run_outage (FW_TABLE_DOWN);
}

static void
test_table_silent (void)
{
  run_outage (FW_TABLE_SILENT);
}

/* Many rows to be written at once must stay within the rate limit.  */
static void
test_catch_up_is_grouped (void)
{
  struct fw_cluster w;
  int before, most = 0;

  start (&w, SEED);
  w.run_ms = 100;
  for (int i = 0; i < 300; i++)
    {
      char id[CT_NAME];

      snprintf (id, sizeof id, "d1~%016x", i + 1);
      fw_put_job (&w, id, 1, 1, 1, 0);
    }
  for (int s = 0; s < 60; s++)
    {
      before = w.rows_written;
      fw_run (&w, 1000);
      if (w.rows_written - before > most)
        most = w.rows_written - before;
    }
  /* 50 rows a second, a burst of a quarter of that, and the renewals.  */
  CU_ASSERT (most <= 50 * 5 / 4 + 5);
  for (int i = 0; i < 300; i++)
    {
      char id[CT_NAME];

      snprintf (id, sizeof id, "d1~%016x", i + 1);
      CU_ASSERT_STRING_EQUAL (fw_job_state (&w, id), "done");
    }
  fw_fini (&w);
}

/* Work on borrowed accelerators is preempted for a guarantee within the time
   of a checkpoint and resumes later from there.  */
static void
test_guarantee_is_reclaimed (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = 5000;
  fw_guarantee (&w, 1, "b", 8, 2);
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_run (&w, 1500);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "running");
  fw_put_job_of (&w, JOB2, "b", 0, 1, 8, 0, 0);
  fw_run (&w, 2000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "running");
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "queued");
  CU_ASSERT (json_integer_value (
                 json_object_get (fw_row (&w, "jobs.d1", JOB), "progress_ms"))
             > 500);
  fw_run (&w, 12000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "done");
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 2);
  fw_fini (&w);
}

/* Rows are written so slowly that those of bulk jobs queue up.  */
static void
test_urgent_rows_go_first (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = LONG_MS;
  w.vm[0].settings.rows_per_second = 5;
  for (int i = 0; i < 24; i++)
    {
      char id[CT_NAME];

      snprintf (id, sizeof id, "d1~%016x", i + 16);
      fw_put_job (&w, id, 1, 1, 1, 0);
    }
  fw_run (&w, 500);
  fw_put_job_of (&w, JOB, "b", 1, 1, 1, 1, 0);
  fw_run (&w, 1500);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "running");
  fw_fini (&w);
}

/* A guarantee received while the cell is held takes effect, and an older list
   does not revoke it.  */
static void
test_older_lists_change_nothing (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = LONG_MS;
  fw_guarantee (&w, 2, "b", 8, 2);
  fw_run (&w, 100);
  fw_guarantee (&w, 1, "b", 8, 0);
  fw_run (&w, 100);
  CU_ASSERT_EQUAL (w.vm[0].cell.config_version, 2);
  fw_put_job (&w, JOB, 4, 8, 1, 0);
  fw_run (&w, 500);
  fw_put_job_of (&w, JOB2, "b", 0, 1, 8, 1, 0);
  fw_run (&w, 2000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "running");
  fw_fini (&w);
}

/* No VM holds the cell until the task leases of a gang have expired: the gang
   resumes from its checkpoint, which is no repeat.  */
static void
test_lapsed_gang_goes_on (void)
{
  struct fw_cluster w;
  int64_t progress;

  start (&w, SEED);
  w.run_ms = 4000;
  w.checkpoint_on_expiry = 1;
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_run (&w, 1000);
  fw_kill_vm (&w, 0);
  fw_run (&w, 4000);
  fw_start_vm (&w, 1);
  fw_run (&w, 2500);
  progress = json_integer_value (
      json_object_get (fw_row (&w, "jobs.d1", JOB), "progress_ms"));
  CU_ASSERT (progress > 1000 && progress < 4000);
  fw_run (&w, 6000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  fw_fini (&w);
}

/* Kills the holder at every step of a job; another VM takes over.  */
static void
test_holder_dies_at_every_step (void)
{
  for (int at = 0; at <= 2400; at += 2 * FW_STEP_MS)
    {
      struct fw_cluster w;

      start (&w, SEED);
      fw_start_vm (&w, 1);
      fw_put_job (&w, JOB, 4, 8, 0, 0);
      fw_put_job (&w, JOB2, 2, 8, 1, 0);
      fw_run (&w, at);
      fw_kill_vm (&w, 0);
      fw_run (&w, LONG_MS);
      CU_ASSERT_EQUAL (fw_holder (&w), 1);
      CU_ASSERT (has_ended (&w, JOB));
      CU_ASSERT (fw_attempts_run (&w, JOB) <= 1);
      CU_ASSERT (count_starts (&w, JOB, 1) <= 4);
      CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "done");
      check_rows_written_first (&w);
      fw_fini (&w);
    }
}

/* The new holder adopts running gangs: no task is started again.  */
static void
test_running_gang_is_adopted (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  fw_start_vm (&w, 1);
  w.run_ms = 5000;
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_run (&w, 1000);
  fw_kill_vm (&w, 0);
  fw_run (&w, 3000);
  CU_ASSERT_EQUAL (fw_holder (&w), 1);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "running");
  fw_run (&w, 4000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (w.starts->len, 4);
  fw_fini (&w);
}

/* A new holder waits for a worker that does not answer until its task leases
   have expired.  */
static void
test_survey_waits_for_leases (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  fw_start_vm (&w, 1);
  w.run_ms = LONG_MS;
  fw_put_job (&w, JOB, 4, 8, 1, 0);
  fw_run (&w, 1000);
  fw_kill_vm (&w, 0);
  w.worker[3].mode = FW_WORKER_SILENT;
  fw_run (&w, 2500);
  CU_ASSERT_EQUAL (w.vm[1].cell.phase, CL_SURVEY);
  fw_run (&w, 2500);
  CU_ASSERT_EQUAL (w.vm[1].cell.phase, CL_SERVING);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "queued");
  CU_ASSERT_EQUAL (w.worker[3].gangs->len, 1);
  CU_ASSERT (g_array_index (w.worker[3].gangs, struct fw_gang, 0).state
             == WK_STOPPED);
  fw_fini (&w);
}

/* A new holder that has not received the VM list yet must not load the job
   rows, because their placements name workers.  */
static void
test_rows_wait_for_the_list (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = 3000;
  fw_put_job (&w, JOB, 2, 8, 0, 0);
  fw_run (&w, 1000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "running");
  fw_start_vm (&w, 1);
  w.vm[1].vm_list_from_ms = w.now_ms + 900;
  w.vm[0].take_delay_ms = -1;
  cl_release (&w.vm[0].cell);
  fw_run (&w, 600);
  CU_ASSERT_NOT_EQUAL (w.vm[1].cell.phase, CL_WATCHING);
  fw_run (&w, 6000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 1);
  check_rows_written_first (&w);
  fw_fini (&w);
}

/* A holder that is paused past its lease must do no harm when it resumes.  */
static void
test_paused_holder (void)
{
  for (int at = 0; at <= 1500; at += 5 * FW_STEP_MS)
    {
      struct fw_cluster w;

      start (&w, SEED);
      fw_start_vm (&w, 1);
      fw_put_job (&w, JOB, 4, 8, 0, 0);
      fw_run (&w, at);
      w.vm[0].paused = 1;
      fw_run (&w, 5000);
      CU_ASSERT_EQUAL (fw_holder (&w), 1);
      w.vm[0].paused = 0;
      fw_put_job (&w, JOB2, 2, 8, 1, 0);
      fw_run (&w, LONG_MS);
      CU_ASSERT_EQUAL (w.vm[0].cell.phase, CL_WATCHING);
      CU_ASSERT (has_ended (&w, JOB));
      CU_ASSERT (fw_attempts_run (&w, JOB) <= 1);
      CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "done");
      CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB2), 1);
      fw_fini (&w);
    }
}

/* A released cell is taken over without waiting for the lease to expire.  */
static void
test_release_is_taken_at_once (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  fw_start_vm (&w, 1);
  w.run_ms = 3000;
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_run (&w, 1000);
  w.vm[0].take_delay_ms = -1;
  cl_release (&w.vm[0].cell);
  fw_run (&w, 600);
  CU_ASSERT_EQUAL (w.vm[0].cell.phase, CL_WATCHING);
  CU_ASSERT_NOT_EQUAL (w.vm[1].cell.phase, CL_WATCHING);
  fw_kill_vm (&w, 0);
  fw_run (&w, 6000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (fw_attempts_run (&w, JOB), 1);
  fw_fini (&w);
}

static void
cancel_random_job (struct fw_cluster *w)
{
  char id[CT_NAME];

  snprintf (id, sizeof id, "d1~%016x",
            1 + (int)gsl_rng_uniform_int (w->rng, 20));
  if (fw_row (w, "jobs.d1", id) && !has_ended (w, id))
    fw_cancel (w, id);
}

static void
inject_random_fault (struct fw_cluster *w)
{
  int i = (int)gsl_rng_uniform_int (w->rng, FW_VMS);
  int k = (int)gsl_rng_uniform_int (w->rng, WORKERS);

  switch (gsl_rng_uniform_int (w->rng, 9))
    {
    case 0:
      fw_kill_vm (w, i);
      fw_start_vm (w, i);
      break;
    case 1:
      w->vm[i].paused = 1;
      break;
    case 2:
      for (int v = 0; v < FW_VMS; v++)
        w->vm[v].paused = 0;
      break;
    case 3:
      w->table = (enum fw_table_mode)gsl_rng_uniform_int (w->rng, 4);
      break;
    case 4:
      w->worker[k].mode = (enum fw_worker_mode)gsl_rng_uniform_int (w->rng, 4);
      break;
    case 5:
      w->worker[k].mode = FW_WORKER_OK;
      break;
    case 6:
      w->worker[k].leaving = !w->worker[k].leaving;
      break;
    case 7:
      cancel_random_job (w);
      break;
    default:
      w->table = FW_TABLE_OK;
      break;
    }
}

static void
clear_faults (struct fw_cluster *w)
{
  w->table = FW_TABLE_OK;
  for (int i = 0; i < FW_VMS; i++)
    w->vm[i].paused = 0;
  for (int k = 0; k < WORKERS; k++)
    {
      w->worker[k].mode = FW_WORKER_OK;
      w->worker[k].leaving = 0;
    }
}

/* Checks that the owners and the index of the gangs by worker agree with the
   tables of jobs and gangs.  */
static void
check_gang_index (const struct cl_cell *c)
{
  guint parts = 0;

  for (guint i = 0; i < c->gangs->len; i++)
    {
      const struct wk_gang *g = g_ptr_array_index (c->gangs, i);

      CU_ASSERT_PTR_EQUAL (g->owner, g_hash_table_lookup (c->jobs, g->job));
      for (int p = 0; p < g->parts; p++)
        CU_ASSERT (g_ptr_array_find (
            g_ptr_array_index (c->gangs_by_worker, g->part[p].worker), g,
            NULL));
      parts += (guint)g->parts;
    }
  for (guint i = 0; i < c->gangs_by_worker->len; i++)
    parts -= ((GPtrArray *)g_ptr_array_index (c->gangs_by_worker, i))->len;
  CU_ASSERT_EQUAL (parts, 0);
}

/* A gang of a stopped attempt is known before its job's row is loaded.  */
static void
test_job_comes_after_its_gang (void)
{
  struct dc_place place = { .worker = 0, .accelerators = 1 };
  struct fw_cluster w;
  struct wk_gang *g;

  start (&w, SEED);
  fw_run (&w, 500);
  g = cl_add_gang (&w.vm[0].cell, JOB, 7, 1, &place);
  g->phase = WK_STOP;
  /* While an order is in flight the gang is not removed.  */
  g->part[0].in_flight = 1;
  fw_put_job (&w, JOB, 1, 1, 1, 0);
  fw_run (&w, 500);
  CU_ASSERT_PTR_NOT_NULL (g->owner);
  check_gang_index (&w.vm[0].cell);
  g->part[0].in_flight = 0;
  fw_run (&w, 4000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_EQUAL (w.vm[0].cell.gangs->len, 0);
  fw_fini (&w);
}

/* Injects random faults of all kinds: every job must end, and one that must
   not be repeated runs at most once.  */
static void
random_run (unsigned long seed)
{
  enum
  {
    JOBS = 20,
    FAULTS = 40
  };
  struct fw_cluster w;
  char id[CT_NAME];

  start (&w, seed);
  w.checkpoint_on_expiry = seed % 2 == 0;
  fw_start_vm (&w, 1);
  fw_start_vm (&w, 2);
  for (int i = 0; i < FAULTS; i++)
    {
      if (i < JOBS)
        {
          snprintf (id, sizeof id, "d1~%016x", i + 1);
          fw_put_job (&w, id, 1 + i % 4, 1 << i % 4, i % 2, i % 7 == 6);
        }
      inject_random_fault (&w);
      fw_run (&w, 10 * (int64_t)gsl_rng_uniform_int (w.rng, 100));
      for (int v = 0; v < FW_VMS; v++)
        if (w.vm[v].alive)
          check_gang_index (&w.vm[v].cell);
    }
  clear_faults (&w);
  fw_run (&w, 60000);
  CU_ASSERT (fw_holder (&w) >= 0);
  check_rows_written_first (&w);
  for (int i = 0; i < JOBS; i++)
    {
      int ok;

      snprintf (id, sizeof id, "d1~%016x", i + 1);
      ok = has_ended (&w, id) && (i % 2 || !fw_repeated_attempts (&w, id));
      CU_ASSERT (ok);
      if (!ok)
        printf ("seed %lu job %d: %s, %d attempts ran\n", seed, i,
                fw_job_state (&w, id), fw_attempts_run (&w, id));
    }
  fw_fini (&w);
}

static void
test_random_faults (void)
{
  const char *only = getenv ("TEST_SEED"), *many = getenv ("TEST_SEEDS");
  unsigned long seeds = many ? strtoul (many, NULL, 10) : 60;

  if (only)
    random_run (strtoul (only, NULL, 10));
  for (unsigned long seed = 1; seed <= seeds && !only; seed++)
    random_run (seed);
}

/* Returns the number of task starts of JOB over all attempts.  */
static int
tasks_started (struct fw_cluster *w, const char *job)
{
  int n = 0;

  for (int attempt = 1; attempt < 10; attempt++)
    n += count_starts (w, job, attempt);
  return n;
}

/* Restores the table to a snapshot taken before the job started, 100 ms + AT
   after the snapshot: while the job runs, as it ends, or when its workers have
   forgotten it.  The holder survives, or with KILL_HOLDER another VM that
   watched the table takes over.  Returns whether the job ended in STATE.  */
static int
restore_at (int at, int kill_holder, int repeatable, const char *state)
{
  struct fw_cluster w;
  int is;

  start (&w, SEED);
  fw_start_vm (&w, 1);
  fw_put_job (&w, JOB, 4, 8, repeatable, 0);
  fw_snapshot (&w);
  fw_run (&w, 100 + at);
  if (kill_holder)
    fw_kill_vm (&w, 0);
  fw_restore (&w);
  fw_run (&w, LONG_MS);
  CU_ASSERT (has_ended (&w, JOB));
  CU_ASSERT (repeatable || tasks_started (&w, JOB) <= 4);
  CU_ASSERT (!repeatable || !strcmp (fw_job_state (&w, JOB), "done"));
  /* A job reported as done must have run.  */
  CU_ASSERT (strcmp (fw_job_state (&w, JOB), "done") != 0
             || tasks_started (&w, JOB) >= 4);
  fw_put_job (&w, JOB2, 4, 8, 0, 0);
  fw_run (&w, 4000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "done");
  CU_ASSERT_EQUAL (tasks_started (&w, JOB2), 4);
  is = !strcmp (fw_job_state (&w, JOB), state);
  fw_fini (&w);
  return is;
}

/* A job that must not be repeated runs at most once, whenever the table is
   restored.  */
static void
test_put_back_repeats_nothing (void)
{
  int done = 0, unknown = 0;

  for (int at = 0; at <= 2500; at += 50)
    {
      done += restore_at (at, 0, 0, "done");
      done += restore_at (at, 1, 0, "done");
      unknown += restore_at (at, 0, 0, "unknown");
      unknown += restore_at (at, 1, 0, "unknown");
    }
  CU_ASSERT (done >= 20);
  CU_ASSERT (unknown >= 20);
}

/* A repeatable job is done in the end, whenever the table is restored.  */
static void
test_put_back_runs_again_what_may (void)
{
  for (int at = 0; at <= 2500; at += 50)
    {
      restore_at (at, 0, 1, "done");
      restore_at (at, 1, 1, "done");
    }
}

/* Restores the table to the time of an earlier holder, which shows by the
   epoch.  */
static void
test_put_back_to_an_earlier_epoch (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_snapshot (&w);
  fw_kill_vm (&w, 0);
  fw_start_vm (&w, 1);
  fw_run (&w, 8000);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  fw_restore (&w);
  fw_kill_vm (&w, 1);
  fw_start_vm (&w, 2); /* a new process; only the workers know the epoch */
  fw_run (&w, LONG_MS);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "unknown");
  CU_ASSERT_EQUAL (tasks_started (&w, JOB), 4);
  CU_ASSERT_PTR_NULL (json_object_get (fw_row (&w, CL_TABLE, "d1"), "doubt"));
  fw_fini (&w);
}

/* Only the workers know of the running job: no live VM has seen the table
   before its restore.  */
static void
test_workers_are_witnesses (void)
{
  for (int lost = 0; lost < 2; lost++)
    {
      struct fw_cluster w;

      start (&w, SEED);
      w.run_ms = 6000;
      fw_put_job (&w, JOB, 4, 8, 0, 0);
      fw_snapshot (&w);
      fw_run (&w, 1000);
      CU_ASSERT_EQUAL (tasks_started (&w, JOB), 4);
      fw_kill_vm (&w, 0);
      fw_restore (&w);
      if (lost)
        w.worker[2].mode = FW_WORKER_DEAD;
      fw_start_vm (&w, 1);
      fw_run (&w, 4000);
      w.worker[2].mode = FW_WORKER_OK;
      fw_run (&w, LONG_MS);
      CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB),
                              lost ? "unknown" : "done");
      CU_ASSERT_EQUAL (tasks_started (&w, JOB), 4);
      fw_fini (&w);
    }
}

/* One running job that a worker reports proves the restore, so that no other
   job is run again either.  */
static void
test_one_witness_is_enough (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = 1500;
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_put_job (&w, JOB2, 4, 8, 0, 0);
  fw_snapshot (&w);
  fw_run (&w, 3000);
  CU_ASSERT_EQUAL (tasks_started (&w, JOB) + tasks_started (&w, JOB2), 8);
  fw_kill_vm (&w, 0);
  fw_restore (&w);
  fw_start_vm (&w, 1);
  fw_run (&w, LONG_MS);
  CU_ASSERT_EQUAL (tasks_started (&w, JOB) + tasks_started (&w, JOB2), 8);
  CU_ASSERT (has_ended (&w, JOB) && has_ended (&w, JOB2));
  fw_fini (&w);
}

/* Once a VM has taken over the cell after a restore, the doubt is stored in
   the cell's row and survives the loss of that VM.  */
static void
test_doubt_is_handed_on (void)
{
  int handed = 0;

  for (int at = 0; at <= 4000; at += 50)
    {
      struct fw_cluster w;
      int took;

      start (&w, SEED);
      fw_start_vm (&w, 1);
      fw_put_job (&w, JOB, 4, 8, 0, 0);
      fw_snapshot (&w);
      fw_run (&w, 4000);
      fw_kill_vm (&w, 0);
      fw_restore (&w);
      fw_run (&w, at);
      took = json_integer_value (
                 json_object_get (fw_row (&w, CL_TABLE, "d1"), "epoch"))
             > 1;
      handed += took;
      fw_start_vm (&w, 2);
      fw_kill_vm (&w, 1);
      fw_run (&w, LONG_MS);
      CU_ASSERT (!took || tasks_started (&w, JOB) <= 4);
      fw_fini (&w);
    }
  CU_ASSERT (handed > 20);
}

/* Jobs that were accepted after the restored snapshot are written again,
   because the holder knows them.  */
static void
test_put_back_loses_no_job_that_is_known (void)
{
  struct fw_cluster w;

  start (&w, SEED);
  w.run_ms = 3000;
  fw_snapshot (&w);
  fw_put_job (&w, JOB, 4, 8, 0, 0);
  fw_put_job (&w, JOB2, 4, 8, 0, 0);
  fw_run (&w, 1000);
  fw_restore (&w);
  CU_ASSERT_PTR_NULL (fw_row (&w, "jobs.d1", JOB));
  fw_run (&w, LONG_MS);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "done");
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "done");
  CU_ASSERT_EQUAL (tasks_started (&w, JOB), 4);
  CU_ASSERT_EQUAL (tasks_started (&w, JOB2), 4);
  fw_fini (&w);
}

static int
rows_left (struct fw_cluster *w, int jobs)
{
  char id[CT_NAME];
  int n = 0;

  for (int i = 0; i < jobs; i++)
    {
      snprintf (id, sizeof id, "d1~%016x", i + 1);
      n += fw_row (w, "jobs.d1", id) != NULL;
    }
  return n;
}

/* Rows of ended jobs are deleted after the retention time, a few at a time;
   other rows stay.  */
static void
test_old_rows_go (void)
{
  enum
  {
    JOBS = 100,
    GROUPS = JOBS / CL_SWEEP_DELETE_ROWS + 1
  };
  struct fw_cluster w;
  int64_t at = bs_wall_ms (); /* earlier than the ends of the jobs */
  char id[CT_NAME];
  int before, most = 0;

  start (&w, SEED);
  w.run_ms = 100;
  fw_set_wall (at);
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (id, sizeof id, "d1~%016x", i + 1);
      fw_put_job (&w, id, 1, 1, 1, 0);
    }
  fw_run (&w, 60000);
  CU_ASSERT_EQUAL (rows_left (&w, JOBS), JOBS);
  CU_ASSERT_EQUAL (g_hash_table_size (w.vm[0].cell.jobs), 0);
  CU_ASSERT_EQUAL (g_hash_table_size (w.vm[0].cell.dropped), 0);
  CU_ASSERT_EQUAL (w.vm[0].cell.gangs->len, 0);
  CU_ASSERT (w.vm[0].cell.jobs_by_handle->len <= JOBS);

  fw_set_wall (at + FW_RETENTION_MS - 1);
  fw_run (&w, 4 * CL_SWEEP_INTERVAL_MS);
  CU_ASSERT_EQUAL (rows_left (&w, JOBS), JOBS);

  w.run_ms = 100 * LONG_MS;
  fw_put_job (&w, "d1~ffffffffffffffff", 1, 1, 0, 0);
  fw_write (&w, "jobs.d1", "d1~eeeeeeeeeeeeeeee",
            json_pack ("{s:s, s:s}", "account", "a", "moved_to", "d2"));
  fw_run (&w, 1000);
  fw_set_wall (at + 60000 + FW_RETENTION_MS);
  for (int g = 0; g < GROUPS + 4; g++)
    {
      before = rows_left (&w, JOBS);
      fw_run (&w, CL_SWEEP_INTERVAL_MS);
      most = MAX (most, before - rows_left (&w, JOBS));
    }
  CU_ASSERT_EQUAL (rows_left (&w, JOBS), 0);
  CU_ASSERT (most <= CL_SWEEP_DELETE_ROWS);
  CU_ASSERT_STRING_EQUAL (fw_job_state (&w, "d1~ffffffffffffffff"), "running");
  CU_ASSERT_PTR_NOT_NULL (fw_row (&w, "jobs.d1", "d1~eeeeeeeeeeeeeeee"));
  CU_ASSERT_EQUAL (fw_holder (&w), 0);
  CU_ASSERT_EQUAL (w.vm[0].cell.lease.row.epoch, 1);
  fw_fini (&w);
}

static GLogWriterOutput
drop_log (GLogLevelFlags level, const GLogField *fields, gsize count,
          gpointer arg)
{
  (void)level;
  (void)fields;
  (void)count;
  (void)arg;
  return G_LOG_WRITER_HANDLED;
}

/* Ends each worker that runs a task of JOB; it is back two steps later.  */
static void
crash_workers_of (struct fw_cluster *w, const char *job)
{
  for (int i = 0; i < w->workers; i++)
    {
      struct fw_worker *x = &w->worker[i];
      int runs = 0;

      for (guint k = 0; k < x->gangs->len; k++)
        {
          const struct fw_gang *g
              = &g_array_index (x->gangs, struct fw_gang, k);

          runs |= g->state == WK_RUNNING && !strcmp (g->job, job);
        }
      x->mode = runs ? FW_WORKER_DEAD : FW_WORKER_OK;
    }
}

/* Runs for MS, or until both jobs have ended.  */
static void
run_with_crashes (struct fw_cluster *w, int64_t ms, int take_overs)
{
  int64_t until = w->now_ms + ms;

  for (int n = 1;
       w->now_ms < until && !(has_ended (w, JOB) && has_ended (w, JOB2)); n++)
    {
      crash_workers_of (w, JOB);
      fw_run (w, 2 * FW_STEP_MS);
      if (take_overs && n % 100 == 0)
        {
          fw_kill_vm (w, 0);
          fw_start_vm (w, 0);
        }
    }
}

/* Guards against a job that crashes its workers for ever.  A job beside it is
   not given up.  */
static void
test_job_that_crashes_workers_is_given_up (void)
{
  for (int take_overs = 0; take_overs < 2; take_overs++)
    {
      struct fw_cluster w;

      start (&w, SEED);
      fw_put_job (&w, JOB, 1, 1, 1, 0);
      fw_put_job (&w, JOB2, 4, 1, 1, 0);
      run_with_crashes (&w, 30000, take_overs);
      CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB), "failed");
      CU_ASSERT_STRING_EQUAL (fw_job_state (&w, JOB2), "done");
      CU_ASSERT (fw_attempts_run (&w, JOB) <= 5);
      fw_fini (&w);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "test_gang_runs_and_ends", test_gang_runs_and_ends },
    { "test_one_refusal_holds_back_the_gang",
      test_one_refusal_holds_back_the_gang },
    { "test_cancelled_job_stops", test_cancelled_job_stops },
    { "test_cancelled_at_every_step", test_cancelled_at_every_step },
    { "test_failing_job_ends", test_failing_job_ends },
    { "test_lost_worker", test_lost_worker },
    { "test_lost_worker_ends_unknown_what_may_not_repeat",
      test_lost_worker_ends_unknown_what_may_not_repeat },
    { "test_worker_lost_while_held", test_worker_lost_while_held },
    { "test_gang_goes_to_a_cell_that_holds_it",
      test_gang_goes_to_a_cell_that_holds_it },
    { "test_moved_once_at_every_step", test_moved_once_at_every_step },
    { "test_goes_where_it_was_before", test_goes_where_it_was_before },
    { "test_gang_that_no_cell_holds_ends", test_gang_that_no_cell_holds_ends },
    { "test_old_read_brings_no_job_back", test_old_read_brings_no_job_back },
    { "test_table_down", test_table_down },
    { "test_table_silent", test_table_silent },
    { "test_catch_up_is_grouped", test_catch_up_is_grouped },
    { "test_guarantee_is_reclaimed", test_guarantee_is_reclaimed },
    { "test_urgent_rows_go_first", test_urgent_rows_go_first },
    { "test_older_lists_change_nothing", test_older_lists_change_nothing },
    { "test_lapsed_gang_goes_on", test_lapsed_gang_goes_on },
    { "test_holder_dies_at_every_step", test_holder_dies_at_every_step },
    { "test_running_gang_is_adopted", test_running_gang_is_adopted },
    { "test_survey_waits_for_leases", test_survey_waits_for_leases },
    { "test_rows_wait_for_the_list", test_rows_wait_for_the_list },
    { "test_paused_holder", test_paused_holder },
    { "test_release_is_taken_at_once", test_release_is_taken_at_once },
    { "test_put_back_repeats_nothing", test_put_back_repeats_nothing },
    { "test_put_back_runs_again_what_may", test_put_back_runs_again_what_may },
    { "test_put_back_to_an_earlier_epoch", test_put_back_to_an_earlier_epoch },
    { "test_workers_are_witnesses", test_workers_are_witnesses },
    { "test_one_witness_is_enough", test_one_witness_is_enough },
    { "test_doubt_is_handed_on", test_doubt_is_handed_on },
    { "test_put_back_loses_no_job_that_is_known",
      test_put_back_loses_no_job_that_is_known },
    { "test_old_rows_go", test_old_rows_go },
    { "test_job_comes_after_its_gang", test_job_comes_after_its_gang },
    { "test_random_faults", test_random_faults },
    { "deadly job", test_job_that_crashes_workers_is_given_up },
    CU_TEST_INFO_NULL,
  };

  if (!getenv ("TEST_LOG"))
    g_log_set_writer_func (drop_log, NULL, NULL);
  bs_init ();
  return run_suite ("cell", tests);
}
