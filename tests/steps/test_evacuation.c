/* Nothing starts in a closed failure domain, at whatever stage a start is when
   the domain is closed, and what runs there goes on.  */
#include <stdio.h>

#include "steps/fake_cluster.h"
#include "suite.h"

#define JOB1 "0000000000000001"
#define JOB2 "0000000000000002"

static struct fa_cluster cluster;

static void
finish (void)
{
  if (cluster.violations)
    printf ("\n%s\n", cluster.first_violation);
  CU_ASSERT_EQUAL (cluster.violations, 0);
  fa_fini (&cluster);
}

/* Guards against a start that was planned before the request and is sent once
   its record is stored, seconds later.  */
static void
test_start_planned_before_request_is_not_sent (void)
{
  fa_init (&cluster, 1, 1, 1);
  fa_run_ms (&cluster, 500);
  cluster.commit_ms = 8000;
  fa_submit (&cluster, fa_new_job (1, 1, 1, 1, 1000));
  fa_run_ms (&cluster, 500);
  fa_close_domain (&cluster, "z0");
  fa_run_ms (&cluster, 20000);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  cluster.commit_ms = 10;
  fa_reopen_domain (&cluster, "z0");
  fa_run_ms (&cluster, 20000);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB1), SJ_COMPLETED);
  finish ();
}

/* Guards against a gang of which only the tasks outside the domain start.  */
static void
test_gang_across_closed_domain_stays_whole (void)
{
  struct sj_job *gang = fa_new_job (1, 1, 4, 8, 1000);

  gang->step[0].gang = 1;
  fa_init (&cluster, 8, 1, 1);
  fa_run_ms (&cluster, 500);
  cluster.commit_ms = 8000;
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, 500);
  fa_close_domain (&cluster, "z0");
  fa_close_domain (&cluster, "z1");
  fa_run_ms (&cluster, 60000);
  CU_ASSERT_EQUAL (cluster.starts, 4);
  CU_ASSERT_EQUAL (cluster.gang_timeouts, 0);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB1), SJ_COMPLETED);
  finish ();
}

/* Tasks that run in the domain finish there, also those that never end.  */
static void
test_running_tasks_stay (void)
{
  struct sj_job *service = fa_new_job (2, 1, 2, 1, 60000);

  service->step[0].is_continuous = 1;
  fa_init (&cluster, 2, 1, 1);
  fa_submit (&cluster, fa_new_job (1, 1, 4, 1, 12000));
  fa_submit (&cluster, service);
  fa_run_ms (&cluster, 500);
  CU_ASSERT_EQUAL (fa_runs_in (&cluster, "z0"), 6);
  fa_close_domain (&cluster, "z0");
  fa_run_ms (&cluster, 5000);
  CU_ASSERT_EQUAL (fa_runs_in (&cluster, "z0"), 6);
  fa_run_ms (&cluster, 10000);
  CU_ASSERT_EQUAL (cluster.stopped, 0);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB1), SJ_COMPLETED);
  finish ();
}

/* A run that failed in the domain restarts elsewhere.  */
static void
test_failed_run_restarts_elsewhere (void)
{
  fa_init (&cluster, 4, 1, 1);
  cluster.worker[0].fails_all = cluster.worker[1].fails_all = 1;
  for (int i = 0; i < 2; i++)
    fa_set_capacity (&cluster, i + 2, 1);
  fa_run_ms (&cluster, 3000);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 2, 4000));
  fa_run_ms (&cluster, 500);
  CU_ASSERT_EQUAL (fa_runs_in (&cluster, "z0"), 1);
  for (int i = 0; i < 2; i++)
    fa_set_capacity (&cluster, i + 2, 8);
  fa_close_domain (&cluster, "z0");
  fa_run_ms (&cluster, 10000);
  CU_ASSERT_EQUAL (cluster.starts, 2);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB1), SJ_COMPLETED);
  finish ();
}

/* Guards against a new holder that starts what the last one had planned.  */
static void
test_take_over_starts_nothing_there (void)
{
  fa_init (&cluster, 2, 1, 1);
  fa_run_ms (&cluster, 500);
  fa_submit (&cluster, fa_new_job (1, 1, 4, 1, 3000));
  fa_run_ms (&cluster, 20);
  fa_close_domain (&cluster, "z0");
  fa_submit (&cluster, fa_new_job (2, 0, 4, 1, 3000));
  fa_run_ms (&cluster, 20);
  cluster.starts = 0;
  fa_take_over (&cluster);
  fa_run_ms (&cluster, 30000);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB2), SJ_QUEUED);
  fa_reopen_domain (&cluster, "z0");
  fa_run_ms (&cluster, 10000);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB2), SJ_COMPLETED);
  finish ();
}

/* While all domains are closed, jobs wait and none fails.  */
static void
test_jobs_wait_while_all_are_closed (void)
{
  fa_init (&cluster, 4, 1, 1);
  fa_run_ms (&cluster, 500);
  fa_close_domain (&cluster, "z0");
  fa_close_domain (&cluster, "z1");
  for (unsigned i = 1; i <= 2; i++)
    fa_submit (&cluster, fa_new_job (i, (int)i - 1, 3, 2, 1000));
  fa_run_ms (&cluster, 120000);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB1), SJ_QUEUED);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB2), SJ_QUEUED);
  fa_reopen_domain (&cluster, "z1");
  fa_run_ms (&cluster, 10000);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB1), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB2), SJ_COMPLETED);
  finish ();
}

/* Guards against tasks that wait for the rack of their data, or of tasks of
   their step, while that rack can't start any.  */
static void
test_nothing_waits_for_closed_racks (void)
{
  struct sj_job *data = fa_new_job (1, 1, 2, 1, 20000);
  struct sj_job *spread = fa_new_job (2, 1, 24, 1, 20000);

  data->step[0].data_rack = g_strdup ("r0");
  spread->step[0].one_rack = 1;
  fa_init (&cluster, 8, 2, 1);
  fa_run_ms (&cluster, 500);
  fa_submit (&cluster, spread);
  fa_run_ms (&cluster, 1000);
  CU_ASSERT (cluster.starts > 0 && cluster.starts < 24);
  fa_close_domain (&cluster, "z0");
  fa_submit (&cluster, data);
  fa_run_ms (&cluster, 300);
  CU_ASSERT_EQUAL (cluster.starts, 26);
  finish ();
}

/* Guards against a wide unit for which capacity of a closed domain is
   reserved, so that capacity elsewhere stays unused.  */
static void
test_closed_capacity_is_not_reserved (void)
{
  struct sj_job *gang = fa_new_job (2, 1, 6, 8, 1000);

  gang->step[0].gang = 1;
  fa_init (&cluster, 8, 1, 1);
  fa_run_ms (&cluster, 500);
  fa_close_domain (&cluster, "z0");
  fa_close_domain (&cluster, "z1");
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, 40000);
  fa_submit (&cluster, fa_new_job (1, 1, 2, 8, 5000));
  fa_run_ms (&cluster, 10000);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB1), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_state (&cluster, JOB2), SJ_QUEUED);
  finish ();
}

/* After the withdrawal, work goes to workers that are still slow only once the
   others are full.  */
static void
test_cold_workers_come_last (void)
{
  fa_init (&cluster, 4, 1, 1);
  for (int i = 0; i < 2; i++)
    cluster.worker[i].cold_until_ms = cluster.now + 60000;
  fa_run_ms (&cluster, 2000);
  fa_close_domain (&cluster, "z0");
  fa_reopen_domain (&cluster, "z0");
  fa_submit (&cluster, fa_new_job (1, 0, 16, 1, 30000));
  fa_run_ms (&cluster, 500);
  CU_ASSERT_EQUAL (fa_runs_in (&cluster, "z1"), 16);
  fa_submit (&cluster, fa_new_job (2, 0, 2, 1, 20000));
  fa_run_ms (&cluster, 500);
  CU_ASSERT_EQUAL (fa_runs_in (&cluster, "z0"), 2);
  finish ();
}

/* The same for gangs that stay in one rack.  */
static void
test_gang_avoids_cold_rack (void)
{
  struct sj_job *gang = fa_new_job (1, 0, 2, 8, 5000);

  gang->step[0].gang = gang->step[0].one_rack = 1;
  fa_init (&cluster, 5, 2, 1);
  for (int i = 0; i < 2; i++)
    cluster.worker[i].cold_until_ms = cluster.now + 60000;
  fa_run_ms (&cluster, 2000);
  fa_submit (&cluster, gang);
  fa_run_ms (&cluster, 500);
  CU_ASSERT_EQUAL (cluster.worker[2].runs->len, 1);
  CU_ASSERT_EQUAL (cluster.worker[3].runs->len, 1);
  finish ();
}

/* Guards against a worker that is taken for one outside the domain because a
   report does not name it.  */
static void
test_report_without_domain_keeps_it_closed (void)
{
  fa_init (&cluster, 1, 1, 1);
  fa_run_ms (&cluster, 500);
  fa_close_domain (&cluster, "z0");
  cluster.worker[0].domain[0] = '\0';
  fa_run_ms (&cluster, 3000);
  fa_submit (&cluster, fa_new_job (1, 1, 1, 1, 1000));
  fa_run_ms (&cluster, 3000);
  CU_ASSERT_EQUAL (cluster.starts, 0);
  finish ();
}

/* Domains are closed and reopened at random under lost orders and answers,
   failing commits and take-overs.  */
static void
test_random_evacuations (void)
{
  enum
  {
    RUNS = 12,
    ROUNDS = 12,
    LAST_WAIT_MS = 240000
  };

  for (unsigned seed = 1; seed <= RUNS; seed++)
    {
      char id[SJ_ID_SIZE];
      unsigned jobs = 0;

      fa_init (&cluster, 12, 2, seed);
      cluster.faults = (struct fa_faults){ .answer_lost = 0.05,
                                           .delayed = 0.05,
                                           .commit_fails = 0.05 };
      for (int round = 0; round < ROUNDS; round++)
        {
          char name[8];

          snprintf (name, sizeof name, "z%d",
                    g_rand_int_range (cluster.rand, 0, 3));
          if (dm_find (&cluster.domains, name))
            fa_reopen_domain (&cluster, name);
          else
            fa_close_domain (&cluster, name);
          for (int i = 0; i < 3; i++)
            {
              int gpus = g_rand_int_range (cluster.rand, 1, 5);
              struct sj_job *job
                  = fa_new_job (++jobs, i, 4, gpus, 1000 + 1000 * i);

              job->step[0].gang = i == 0;
              fa_submit (&cluster, job);
            }
          if (round % 4 == 3)
            fa_take_over (&cluster);
          fa_run_ms (&cluster, g_rand_int_range (cluster.rand, 500, 9000));
        }
      for (int i = 0; i < 3; i++)
        fa_reopen_domain (&cluster, (const char *[]){ "z0", "z1", "z2" }[i]);
      cluster.faults = (struct fa_faults){ 0 };
      fa_run_ms (&cluster, LAST_WAIT_MS);
      for (unsigned n = 1; n <= jobs; n++)
        {
          snprintf (id, sizeof id, "%016x", n);
          CU_ASSERT_EQUAL (fa_state (&cluster, id), SJ_COMPLETED);
        }
      finish ();
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "planned", test_start_planned_before_request_is_not_sent },
    { "gang", test_gang_across_closed_domain_stays_whole },
    { "running", test_running_tasks_stay },
    { "failed", test_failed_run_restarts_elsewhere },
    { "take-over", test_take_over_starts_nothing_there },
    { "all", test_jobs_wait_while_all_are_closed },
    { "racks", test_nothing_waits_for_closed_racks },
    { "reserved", test_closed_capacity_is_not_reserved },
    { "cold", test_cold_workers_come_last },
    { "cold rack", test_gang_avoids_cold_rack },
    { "no domain", test_report_without_domain_keeps_it_closed },
    { "random", test_random_evacuations },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("evacuation", tests);
}
