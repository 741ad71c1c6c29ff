/* Tasks that last start again as soon as there is room, whatever is kept for
   other work (docs/design/reserves.md).  */
#include <stdio.h>
#include <string.h>

#include "steps/fake_cluster.h"
#include "suite.h"

enum
{
  GPUS = 8, /* of a worker */
  LONG_MS = 600000,
  /* From a decision to the start, and from an end until it is listed.  */
  ORDER_MS = 1000,
  /* Longest waits, of docs/design/reserves.md.  */
  HEADROOM_BOUND_MS = 0,
  SEPARATION_BOUND_MS = 2500,
  AVOIDANCE_BOUND_MS = 3000,
  RESERVATION_BOUND_MS = 2000,
  RACK_BOUND_MS = 1500,
  REFUSAL_BOUND_MS = 2000,
  SUSPECT_BOUND_MS = 3000,
  UNSETTLED_BOUND_MS = 10000
};

static struct fa_cluster cluster;

static struct sj_job *
new_lasting_job (unsigned number, int count, int gpus)
{
  struct sj_job *job = fa_new_job (number, 1, count, gpus, LONG_MS);

  job->step[0].is_continuous = 1;
  return job;
}

static int
count_runs (const char *job)
{
  int n = 0;

  for (int i = 0; i < cluster.worker_count; i++)
    for (guint k = 0; k < cluster.worker[i].runs->len; k++)
      n += !strcmp (
          g_array_index (cluster.worker[i].runs, struct fa_run, k).run.job,
          job);
  return n;
}

/* Milliseconds until COUNT tasks of JOB run, at most LIMIT_MS.  */
static int64_t
ms_until_running (const char *job, int count, int64_t limit_ms)
{
  int64_t begin = cluster.now;

  while (count_runs (job) < count && cluster.now - begin < limit_ms)
    fa_run_ms (&cluster, FA_TICK_MS);
  return cluster.now - begin;
}

static void
end_test (void)
{
  if (cluster.violations)
    printf ("\n%s\n", cluster.first_violation);
  CU_ASSERT_EQUAL (cluster.violations, 0);
  fa_fini (&cluster);
}

/* Guards against tasks that wait for the headroom after a crash of their
   worker, with room for each of them.  */
static void
test_headroom_delays_no_lasting_task (void)
{
  fa_init (&cluster, 8, 4, 1);
  fa_submit (&cluster, new_lasting_job (1, 50, 1));
  CU_ASSERT (ms_until_running ("0000000000000001", 50, LONG_MS)
             <= HEADROOM_BOUND_MS + ORDER_MS);
  for (int i = 0; i < 8; i++)
    {
      fa_crash (&cluster, i);
      CU_ASSERT (ms_until_running ("0000000000000001", 50, LONG_MS)
                 <= SEPARATION_BOUND_MS + ORDER_MS);
    }
  end_test ();
}

/* Guards against a task that lasts and avoids the only worker with room, since
   it has failed there.  */
static void
test_avoidance_delays_lasting_task_for_seconds (void)
{
  struct sj_job *job = new_lasting_job (2, 1, 1);
  int i = 0;

  fa_init (&cluster, 4, 4, 1);
  fa_submit (&cluster, new_lasting_job (1, 3, GPUS));
  fa_run_ms (&cluster, 1000);
  while (cluster.worker[i].runs->len)
    i++;
  cluster.worker[i].fails_all = 1;
  job->step[0].estimate_ms = 4000;
  fa_submit (&cluster, job);
  ms_until_running ("0000000000000002", 1, LONG_MS);
  cluster.worker[i].fails_all = 0;
  while (count_runs ("0000000000000002"))
    fa_run_ms (&cluster, FA_TICK_MS);
  CU_ASSERT (ms_until_running ("0000000000000002", 1, LONG_MS)
             <= AVOIDANCE_BOUND_MS + ORDER_MS);
  end_test ();
}

/* Guards against a task that lasts and waits behind another one of its step
   that avoids the only worker with room.  */
static void
test_avoidance_delays_no_task_beside_it (void)
{
  struct sj_job *job = new_lasting_job (2, 2, 1);
  int i = 0;

  fa_init (&cluster, 4, 4, 1);
  fa_submit (&cluster, new_lasting_job (1, 3, GPUS));
  fa_run_ms (&cluster, 1000);
  while (cluster.worker[i].runs->len)
    i++;
  cluster.worker[i].fails_all = 1;
  job->step[0].estimate_ms = 4000;
  job->step[0].max_per_worker = 1;
  fa_submit (&cluster, job);
  ms_until_running ("0000000000000002", 1, LONG_MS);
  cluster.worker[i].fails_all = 0;
  while (count_runs ("0000000000000002"))
    fa_run_ms (&cluster, FA_TICK_MS);
  CU_ASSERT (ms_until_running ("0000000000000002", 1, LONG_MS) <= ORDER_MS);
  end_test ();
}

/* Guards against tasks that last and wait for capacity that is free, but is
   reserved for a gang that fits in a minute.  */
static void
test_reservations_delay_lasting_tasks_for_seconds (void)
{
  struct sj_job *gang = fa_new_job (9, 1, 3, GPUS, 10000);

  gang->step[0].gang = 1;
  fa_init (&cluster, 4, 4, 1);
  cluster.crash_mode.down_ms = 45000;
  fa_submit (&cluster, new_lasting_job (1, GPUS, 1));
  fa_run_ms (&cluster, 1000);
  for (int i = 0; i < 3; i++)
    fa_submit (&cluster,
               fa_new_job ((unsigned)(2 + i), 0, 1, GPUS, i ? 55000 : 32000));
  fa_run_ms (&cluster, 1000);
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, 34000);
  CU_ASSERT_EQUAL (count_runs ("0000000000000009"), 0);
  for (int i = 0; i < 4; i++)
    if (cluster.worker[i].runs->len == GPUS)
      fa_lose (&cluster, i);
  CU_ASSERT_EQUAL (count_runs ("0000000000000001"), 0);
  /* Until its lease has expired.  */
  fa_run_ms (&cluster, 6500);
  CU_ASSERT (ms_until_running ("0000000000000001", 1, LONG_MS)
             <= RESERVATION_BOUND_MS + ORDER_MS);
  CU_ASSERT_EQUAL (count_runs ("0000000000000009"), 0);
  end_test ();
}

/* Guards against a task that lasts and waits for room in its rack as long as
   it would take longer outside of it, which says nothing about it.  */
static void
test_rack_delays_lasting_task_for_seconds (void)
{
  struct sj_job *job = new_lasting_job (2, 1, 1);
  struct sj_job *blocker = new_lasting_job (5, 1, GPUS);

  fa_init (&cluster, 4, 2, 1);
  job->step[0].data_rack = g_strdup ("r0");
  for (unsigned i = 0; i < 2; i++)
    {
      struct sj_job *other = new_lasting_job (3 + i, 1, GPUS);

      other->step[0].data_rack = g_strdup ("r0");
      other->step[0].need.cpu_milli = 128000;
      fa_submit (&cluster, other);
    }
  blocker->step[0].need.cpu_milli = 128000;
  fa_submit (&cluster, blocker);
  fa_run_ms (&cluster, 5000);
  fa_submit (&cluster, job);
  CU_ASSERT (ms_until_running ("0000000000000002", 1, 60000)
             <= RACK_BOUND_MS + ORDER_MS);
  end_test ();
}

/* Guards against tasks that last and wait as long as another account's late
   task waits for the headroom.  */
static void
test_shares_delay_no_lasting_task (void)
{
  struct sj_job *lasting = new_lasting_job (1, 48, 1);
  struct sj_job *late = fa_new_job (3, 1, 1, 1, 2000);

  lasting->stretch = 0;
  late->account[0] = 'b';
  late->stretch = 1;
  fa_init (&cluster, 8, 4, 1);
  cluster.settings.fair_share = 1;
  fa_take_over (&cluster);
  fa_submit (&cluster, fa_new_job (2, 1, 1, GPUS, 100000));
  fa_run_ms (&cluster, 1000);
  fa_submit (&cluster, lasting);
  fa_run_ms (&cluster, 45000);
  CU_ASSERT_EQUAL (count_runs ("0000000000000001"), 48);
  fa_submit (&cluster, late);
  fa_run_ms (&cluster, 1000);
  CU_ASSERT_EQUAL (count_runs ("0000000000000003"), 0);
  for (int i = 0; i < 8; i++)
    if (cluster.worker[i].runs->len == GPUS)
      {
        fa_crash (&cluster, i);
        break;
      }
  CU_ASSERT (count_runs ("0000000000000001") < 48);
  CU_ASSERT (ms_until_running ("0000000000000001", 48, 60000)
             <= SEPARATION_BOUND_MS + ORDER_MS);
  CU_ASSERT_EQUAL (count_runs ("0000000000000003"), 0);
  end_test ();
}

/* Guards against a task that lasts and waits as long as a task that may have
   crashed two workers has the only worker with room for itself.  */
static void
test_isolation_delays_lasting_task_for_seconds (void)
{
  static const char suspect[] = "0000000000000009";

  fa_init (&cluster, 4, 4, 1);
  fa_set_deadly (&cluster, suspect, 0);
  fa_submit (&cluster, fa_new_job (9, 1, 1, 1, LONG_MS));
  while (fa_crashes_under (&cluster, suspect) < 2)
    fa_run_ms (&cluster, FA_TICK_MS);
  g_hash_table_remove (cluster.deadly, suspect);
  ms_until_running (suspect, 1, LONG_MS);
  fa_submit (&cluster, new_lasting_job (1, 3, GPUS));
  ms_until_running ("0000000000000001", 3, LONG_MS);
  CU_ASSERT_EQUAL (count_runs (suspect), 1);
  fa_submit (&cluster, new_lasting_job (2, 1, 1));
  CU_ASSERT (ms_until_running ("0000000000000002", 1, LONG_MS)
             <= SEPARATION_BOUND_MS + ORDER_MS);
  end_test ();
}

/* Guards against a task that lasts and, refused again and again, waits longer
   and longer for a worker with room that would take it.  */
static void
test_refusals_delay_lasting_task_for_seconds (void)
{
  fa_init (&cluster, 6, 4, 1);
  for (int i = 0; i < 6; i++)
    cluster.worker[i].refuses = 1;
  fa_submit (&cluster, new_lasting_job (1, 1, GPUS));
  fa_run_ms (&cluster, 20000);
  CU_ASSERT (cluster.refusals > 6);
  for (int i = 0; i < 6; i++)
    cluster.worker[i].refuses = 0;
  /* It avoids those that have refused it.  */
  CU_ASSERT (ms_until_running ("0000000000000001", 1, LONG_MS)
             <= MAX (REFUSAL_BOUND_MS, AVOIDANCE_BOUND_MS) + ORDER_MS);
  end_test ();
}

/* Guards against a task that lasts and waits for long as the only worker with
   room has failed two jobs.  */
static void
test_suspect_worker_delays_lasting_task_for_seconds (void)
{
  fa_init (&cluster, 1, 1, 1);
  cluster.worker[0].fails_all = 1;
  for (unsigned i = 2; i < 4; i++)
    {
      struct sj_job *job = fa_new_job (i, 1, 1, 1, 400);

      job->max_attempts = 1;
      fa_submit (&cluster, job);
    }
  while (fa_state (&cluster, "0000000000000002") != SJ_FAILED
         || fa_state (&cluster, "0000000000000003") != SJ_FAILED)
    fa_run_ms (&cluster, FA_TICK_MS);
  cluster.worker[0].fails_all = 0;
  fa_submit (&cluster, new_lasting_job (1, 1, 1));
  CU_ASSERT (ms_until_running ("0000000000000001", 1, LONG_MS)
             <= SUSPECT_BOUND_MS + ORDER_MS);
  end_test ();
}

/* Guards against a task that lasts and waits for ever to learn whether the
   workers that it was lost with have crashed.  */
static void
test_unsettled_losses_delay_lasting_task_for_seconds (void)
{
  fa_init (&cluster, 4, 4, 1);
  fa_submit (&cluster, new_lasting_job (1, 1, GPUS));
  for (int i = 0; i < 3; i++)
    {
      ms_until_running ("0000000000000001", 1, LONG_MS);
      fa_run_ms (&cluster, 1000);
      for (int w = 0; w < cluster.worker_count; w++)
        cluster.worker[w].partitioned |= cluster.worker[w].runs->len > 0;
      /* Until its lease has expired.  */
      fa_run_ms (&cluster, 6500);
    }
  CU_ASSERT (ms_until_running ("0000000000000001", 1, LONG_MS)
             <= UNSETTLED_BOUND_MS + ORDER_MS);
  end_test ();
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "headroom", test_headroom_delays_no_lasting_task },
    { "avoidance", test_avoidance_delays_lasting_task_for_seconds },
    { "avoidance by another", test_avoidance_delays_no_task_beside_it },
    { "reservations", test_reservations_delay_lasting_tasks_for_seconds },
    { "rack", test_rack_delays_lasting_task_for_seconds },
    { "shares", test_shares_delay_no_lasting_task },
    { "isolation", test_isolation_delays_lasting_task_for_seconds },
    { "refusals", test_refusals_delay_lasting_task_for_seconds },
    { "suspect worker", test_suspect_worker_delays_lasting_task_for_seconds },
    { "unsettled losses",
      test_unsettled_losses_delay_lasting_task_for_seconds },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("lasting", tests);
}
