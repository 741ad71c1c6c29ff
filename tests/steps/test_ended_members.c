/* Guards against reads of the worker of a gang's task that has ended, while
   other tasks of the gang are still being stopped.  */
#include <stdio.h>
#include <stdlib.h>

#include "steps/fake_cluster.h"
#include "suite.h"

enum
{
  WORKERS = 5, /* one is kept free as headroom */
  GANG = 3,
  GPUS = 8, /* of a worker and of each task */
  RUN_MS = 20000,
  SHORT_MS = 8000,
  AT_WORK_MS = 4000,
  STOP_MS = 200,
  RECLAIM_MS = 2700
};

#define GANG_ID "0000000000000001"
#define FILLER_ID "0000000000000002"
#define URGENT_ID "0000000000000003"

static struct fa_cluster cluster;
static int64_t lost_core_ms; /* of the runs that were stopped last */

static void
on_note (void *arg, const struct sj_note *note)
{
  (void)arg;
  if (note->kind == SJ_NOTE_STOPPED)
    lost_core_ms = note->u.stopped.lost_core_ms;
}

/* A gang on three workers and a job that ends soon on a fourth, scheduled with
   learned speeds, which too few runs have shown so far, and with waits for
   capacity.  */
static void
begin (void)
{
  struct sj_job *gang = fa_new_job (1, 1, GANG, GPUS, RUN_MS);
  struct sj_job *filler = fa_new_job (2, 2, 1, GPUS, SHORT_MS);

  fa_init (&cluster, WORKERS, WORKERS, 1);
  cluster.settings.speed_aware = 1;
  cluster.settings.reclaim_ms = RECLAIM_MS;
  cluster.settings.stop_ms = STOP_MS;
  cluster.stop_ms = STOP_MS;
  fa_take_over (&cluster);
  sj_set_note_fn (cluster.scheduler, on_note, NULL);
  gang->step[0].gang = 1;
  filler->step[0].checkpoints = 1;
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, AT_WORK_MS / 2);
  fa_submit (&cluster, filler);
  fa_run_ms (&cluster, AT_WORK_MS / 2);
  CU_ASSERT_EQUAL_FATAL (cluster.starts, GANG + 1);
}

static void
submit_urgent (int tasks)
{
  struct sj_job *urgent = fa_new_job (3, 0, tasks, GPUS, RUN_MS);

  urgent->step[0].gang = 1;
  fa_submit (&cluster, urgent);
}

/* Index of the worker that runs task INDEX of the gang.  */
static int
worker_of_task (int index)
{
  for (int i = 0; i < WORKERS; i++)
    for (guint k = 0; k < cluster.worker[i].runs->len; k++)
      {
        const struct sj_run *r
            = &g_array_index (cluster.worker[i].runs, struct fa_run, k).run;

        if (!g_strcmp0 (r->job, GANG_ID) && r->index == index)
          return i;
      }
  CU_FAIL_FATAL ("the task does not run");
  return 0;
}

static int
gang_has_runs (void)
{
  for (int i = 0; i < WORKERS; i++)
    for (guint k = 0; k < cluster.worker[i].runs->len; k++)
      if (!g_strcmp0 (
              g_array_index (cluster.worker[i].runs, struct fa_run, k).run.job,
              GANG_ID))
        return 1;
  return 0;
}

/* The worker of task INDEX crashes, and another VM takes over while the other
   tasks are being stopped.  An urgent gang needs all workers: it must wait for
   the stops and for the other job, which ends soon, and not have that one
   stopped.  */
static void
take_over_after_end (int index)
{
  struct sj_counts counts;

  begin ();
  fa_crash (&cluster, worker_of_task (index));
  /* The end is listed, then stored.  */
  fa_run_ms (&cluster, 30);
  fa_take_over (&cluster);
  CU_ASSERT (gang_has_runs ());
  submit_urgent (WORKERS);
  fa_run_ms (&cluster, SHORT_MS);
  sj_count (cluster.scheduler, &counts);
  CU_ASSERT_EQUAL (counts.preemptions, 0);
  CU_ASSERT (fa_start_delay_ms (&cluster, URGENT_ID) >= 0);
  fa_run_ms (&cluster, 4 * RUN_MS);
  CU_ASSERT_EQUAL (fa_state (&cluster, GANG_ID), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_state (&cluster, FILLER_ID), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_state (&cluster, URGENT_ID), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

static void
test_take_over_after_first_task_ended (void)
{
  take_over_after_end (0);
}

static void
test_take_over_after_last_task_ended (void)
{
  take_over_after_end (GANG - 1);
}

/* The same without a take-over: the worker of the ended task leaves, and is
   removed from the table while another task ignores its stop.  */
static void
test_worker_of_ended_task_is_removed (void)
{
  struct sj_counts counts;
  int first, last;

  begin ();
  first = worker_of_task (0);
  last = worker_of_task (GANG - 1);
  cluster.worker[last].ignores_stops = 1;
  fa_crash (&cluster, first);
  fa_run_ms (&cluster, 30);
  cluster.worker[first].mute = cluster.worker[first].partitioned = 1;
  sj_worker_unlisted (cluster.scheduler, cluster.worker[first].id);
  fa_run_ms (&cluster, 20);
  sj_count (cluster.scheduler, &counts);
  CU_ASSERT_EQUAL (counts.workers, WORKERS - 1);
  CU_ASSERT (gang_has_runs ());
  submit_urgent (WORKERS - 1);
  fa_run_ms (&cluster, 1500);
  cluster.worker[last].ignores_stops = 0;
  fa_run_ms (&cluster, 4 * RUN_MS);
  CU_ASSERT_EQUAL (fa_state (&cluster, GANG_ID), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_state (&cluster, FILLER_ID), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_state (&cluster, URGENT_ID), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

/* The record of a gang's run may say that all tasks have ended: a change in
   pieces can be cut after that of the last task's piece and before those that
   say that the run is over.  The gang must run again.  */
static void
test_record_of_ended_gang (void)
{
  static const char text[]
      = "{\"state\":\"queued\",\"next\":1,\"done\":0,\"begun\":false,"
        "\"open\":[{\"n\":0,\"left\":[1],\"units\":"
        "[[0,0,1,0,\"\",[null,null,null],[7,7,7]]]}]}";
  struct sj_job *gang = fa_new_job (1, 1, GANG, GPUS, RUN_MS);

  fa_init (&cluster, WORKERS, WORKERS, 1);
  gang->step[0].gang = 1;
  fa_submit (&cluster, gang);
  g_hash_table_insert (cluster.records, g_strdup (GANG_ID), g_strdup (text));
  fa_take_over (&cluster);
  fa_run_ms (&cluster, 2 * RUN_MS);
  CU_ASSERT_EQUAL (fa_state (&cluster, GANG_ID), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

/* What a stop loses is known from the tasks that it ends, not from one that
   has ended before.  */
static void
test_lost_work_of_remaining_tasks (void)
{
  /* 32 cores and 8 accelerators, each counted as 8 cores, for 2 to 6 s in each
     of the gang's tasks.  */
  const int64_t least = 2000 * 96 * GANG, most = 6000 * 96 * GANG;

  begin ();
  lost_core_ms = 0;
  fa_crash (&cluster, worker_of_task (0));
  fa_run_ms (&cluster, 30);
  CU_ASSERT (lost_core_ms >= least && lost_core_ms <= most);
  if (lost_core_ms < least || lost_core_ms > most)
    printf ("\n%lld core ms\n", (long long)lost_core_ms);
  CU_ASSERT_EQUAL (fa_finish (&cluster), 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "take-over, first task ended", test_take_over_after_first_task_ended },
    { "take-over, last task ended", test_take_over_after_last_task_ended },
    { "removed worker", test_worker_of_ended_task_is_removed },
    { "record of an ended gang", test_record_of_ended_gang },
    { "lost work", test_lost_work_of_remaining_tasks },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("ended_members", tests);
}
