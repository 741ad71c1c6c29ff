#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "steps/fake_cluster.h"
#include "suite.h"

static struct fa_farm farm;

static void
expect_no_broken_rule (const struct fa_farm *f)
{
  if (f->broken_rules)
    printf ("\n%s\n", f->first_broken);
  CU_ASSERT_EQUAL (f->broken_rules, 0);
}

static void
test_job_runs_and_completes (void)
{
  fa_init (&farm, 4, 2, 1);
  fa_submit (&farm, fa_job (1, 1, 6, 2, 2000));
  fa_run_ms (&farm, 4000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (farm.done_runs, 6);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_gang_starts_whole_or_not_at_all (void)
{
  struct sj_job *gang = fa_job (2, 1, 3, 8, 2000);

  fa_init (&farm, 3, 3, 1);
  fa_submit (&farm, fa_job (1, 1, 1, 1, 3000));
  fa_run_ms (&farm, 500);
  gang->step[0].gang = 1;
  fa_submit (&farm, gang);
  fa_run_ms (&farm, 1500);
  CU_ASSERT_EQUAL (farm.starts, 1);
  fa_run_ms (&farm, 5000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000002"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (farm.alone, 0);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_steps_wait_for_one_another (void)
{
  struct sj_job *job = fa_job (1, 1, 4, 1, 1000);

  job->steps = 2;
  job->step[1] = job->step[0];
  job->step[1].after = 1;
  fa_init (&farm, 2, 2, 1);
  fa_submit (&farm, job);
  fa_run_ms (&farm, 4000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (farm.done_runs, 8);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_urgent_within_the_guarantee_preempts (void)
{
  struct sj_job *bulk = fa_job (1, 2, 32, 1, 60000);
  struct sj_job *urgent = fa_job (2, 0, 2, 8, 2000);

  bulk->step[0].saves = 1;
  urgent->step[0].gang = 1;
  fa_init (&farm, 4, 4, 1);
  sj_set_guarantee (farm.cluster, "a", 16);
  fa_submit (&farm, bulk);
  fa_run_ms (&farm, 3000);
  fa_submit (&farm, urgent);
  fa_run_ms (&farm, 3500);
  CU_ASSERT (fa_waited (&farm, "0000000000000002") < 1500);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000002"), SJ_COMPLETED);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_take_over_loses_and_repeats_nothing (void)
{
  fa_init (&farm, 4, 2, 1);
  fa_submit (&farm, fa_job (1, 1, 20, 1, 3000));
  fa_submit (&farm, fa_job (2, 1, 2, 8, 3000));
  fa_run_ms (&farm, 1500);
  fa_take_over (&farm);
  fa_run_ms (&farm, 6000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000002"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (farm.starts, 22);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_cut_worker_runs_on_until_its_lease_ends (void)
{
  fa_init (&farm, 2, 2, 1);
  fa_submit (&farm, fa_job (1, 1, 2, 8, 20000));
  fa_run_ms (&farm, 1000);
  farm.worker[0].cut = 1;
  fa_run_ms (&farm, 5000);
  CU_ASSERT_EQUAL (farm.starts, 2);
  fa_run_ms (&farm, 30000);
  CU_ASSERT_EQUAL (farm.starts, 3);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_crashed_worker_is_empty (void)
{
  fa_init (&farm, 4, 2, 1);
  fa_submit (&farm, fa_job (1, 1, 2, 8, 5000));
  fa_run_ms (&farm, 1000);
  fa_crash (&farm, 0);
  fa_run_ms (&farm, 8000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (farm.starts, 3);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_job_that_always_fails_ends (void)
{
  fa_init (&farm, 8, 4, 1);
  farm.faults.task_fails = 1;
  fa_submit (&farm, fa_job (1, 1, 1, 1, 1000));
  fa_run_ms (&farm, 6000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_FAILED);
  CU_ASSERT_EQUAL (farm.starts, 3);
  fa_fini (&farm);
}

/* A worker that fails all is left out before attempts run out.  */
static void
test_worker_that_fails_all_costs_no_job (void)
{
  char id[SJ_ID];
  int failed = 0;

  fa_init (&farm, 8, 4, 1);
  farm.worker[0].fails_all = 1;
  for (unsigned i = 1; i <= 40; i++)
    {
      fa_submit (&farm, fa_job (i, 1, 4, 1, 1000));
      fa_run_ms (&farm, 200);
    }
  fa_run_ms (&farm, 20000);
  for (unsigned i = 1; i <= 40; i++)
    {
      snprintf (id, sizeof id, "%016x", i);
      failed += fa_state (&farm, id) != SJ_COMPLETED;
    }
  CU_ASSERT_EQUAL (failed, 0);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_run_that_stands_still_moves (void)
{
  fa_init (&farm, 2, 2, 1);
  farm.worker[0].stands_still = farm.worker[1].stands_still = 1;
  fa_submit (&farm, fa_job (1, 1, 1, 1, 2000));
  fa_run_ms (&farm, 300);
  farm.worker[0].stands_still = !farm.worker[0].run->len;
  farm.worker[1].stands_still = !farm.worker[1].run->len;
  farm.worker[0].stands_still = !farm.worker[0].stands_still;
  farm.worker[1].stands_still = !farm.worker[1].stands_still;
  fa_run_ms (&farm, 9000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (farm.starts, 2);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

/* Load: bulk that saves nothing fills the farm, then urgent gangs come one
   after another.  Pattern: headroom.  */
static void
test_urgent_gangs_find_room_beside_bulk (void)
{
  struct sj_job *gang;
  char id[SJ_ID];

  fa_init (&farm, 16, 4, 1);
  sj_set_guarantee (farm.cluster, "a", 32);
  for (unsigned i = 1; i <= 20; i++)
    fa_submit (&farm, fa_job (i, 2, 8, 1, 15000));
  fa_run_ms (&farm, 1000);
  for (unsigned i = 101; i <= 105; i++)
    {
      gang = fa_job (i, 0, 2, 8, 1000);
      gang->step[0].gang = gang->step[0].one_rack = 1;
      fa_submit (&farm, gang);
      fa_run_ms (&farm, 1500);
      snprintf (id, sizeof id, "%016x", i);
      CU_ASSERT (fa_waited (&farm, id) < 200);
    }
  CU_ASSERT (farm.wasted == 0);
  fa_run_ms (&farm, 40000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000014"), SJ_COMPLETED);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

/* Load: a small bulk job each 200 ms without end, which alone nearly fill the
   farm; then two wide gangs of the same rank.  Pattern: reservation with
   backfill.  */
static void
test_wide_gangs_start_beside_endless_small_jobs (void)
{
  enum
  {
    EACH_MS = 200,
    BEFORE_MS = 30000,
    LIMIT_MS = 300000 /* a gang that fits waits no longer */
  };
  struct sj_job *gang;

  fa_init (&farm, 8, 4, 1);
  for (unsigned i = 1; farm.now < BEFORE_MS + LIMIT_MS; i++)
    {
      if (i == BEFORE_MS / EACH_MS)
        {
          gang = fa_job (0xa1, 2, 32, 1, 8000);
          gang->step[0].gang = 1;
          fa_submit (&farm, gang);
          gang = fa_job (0xa2, 2, 4, 8, 8000);
          gang->step[0].gang = 1;
          fa_submit (&farm, gang);
        }
      fa_submit (&farm, fa_job (0x1000 + i, 2, 1, 1,
                                g_rand_int_range (farm.rand, 5000, 20000)));
      fa_run_ms (&farm, EACH_MS);
    }
  CU_ASSERT (fa_waited (&farm, "00000000000000a1") >= 0);
  CU_ASSERT (fa_waited (&farm, "00000000000000a2") >= 0);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

/* Load: one worker turns slow under an urgent gang.  Pattern: the pace of a
   task against its siblings tells the worker.  */
static void
test_gang_leaves_a_slow_worker (void)
{
  struct sj_job *gang = fa_job (1, 0, 4, 8, 2000);

  fa_init (&farm, 8, 8, 1);
  farm.worker[1].speed = 0.15;
  gang->step[0].gang = 1;
  fa_submit (&farm, gang);
  fa_run_ms (&farm, 5500);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (farm.starts, 8);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

/* Load: a declared run time of a quarter of the true one.  Such runs stay
   where they are.  */
static void
test_run_that_is_long_by_itself_stays (void)
{
  fa_init (&farm, 8, 8, 1);
  for (int i = 0; i < farm.workers; i++)
    farm.worker[i].speed = 0.25;
  fa_submit (&farm, fa_job (1, 1, 8, 1, 2000));
  fa_run_ms (&farm, 12000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_COMPLETED);
  CU_ASSERT_EQUAL (farm.starts, 8);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_cancelled_job_stops (void)
{
  fa_init (&farm, 2, 2, 1);
  fa_submit (&farm, fa_job (1, 1, 8, 1, 60000));
  fa_run_ms (&farm, 1000);
  fa_cancel (&farm, "0000000000000001");
  fa_run_ms (&farm, 1000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_CANCELLED);
  CU_ASSERT_EQUAL (farm.worker[0].run->len + farm.worker[1].run->len, 0);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_occurrences_start_when_due (void)
{
  struct sj_job *job = fa_job (1, 1, 1, 1, 1500);

  fa_init (&farm, 2, 2, 1);
  job->times = 3;
  job->first_due_ms = farm.now + 1000;
  job->interval_ms = 1000;
  fa_submit (&farm, job);
  fa_run_ms (&farm, 950);
  CU_ASSERT_EQUAL (farm.starts, 0);
  fa_run_ms (&farm, 1900);
  CU_ASSERT_EQUAL (farm.starts, 2);
  fa_run_ms (&farm, 3000);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_COMPLETED);
  expect_no_broken_rule (&farm);
  fa_fini (&farm);
}

static void
test_lasting_task_starts_again (void)
{
  struct sj_job *job = fa_job (1, 1, 1, 1, 1000);

  job->step[0].lasts = 1;
  fa_init (&farm, 2, 2, 1);
  fa_submit (&farm, job);
  fa_run_ms (&farm, 10000);
  CU_ASSERT (farm.starts >= 5);
  CU_ASSERT_EQUAL (fa_state (&farm, "0000000000000001"), SJ_RUNNING);
  fa_fini (&farm);
}

static void
test_record_survives_text (void)
{
  struct sj_job *job = fa_job (7, 2, 5, 1, 1234);
  json_t *a, *b;
  struct sj_job *copy;

  job->step[0].label = g_strdup ("kind");
  job->step[0].saves = 1;
  a = sj_job_to_json (job);
  copy = sj_job_from_json (a);
  CU_ASSERT_PTR_NOT_NULL_FATAL (copy);
  b = sj_job_to_json (copy);
  CU_ASSERT (json_equal (a, b));
  json_decref (a);
  json_decref (b);
  sj_job_free (job);
  sj_job_free (copy);
}

static struct sj_job *
random_job (GRand *r, unsigned number)
{
  static const int gpus[] = { 1, 1, 2, 4, 8 };
  struct sj_job *job = fa_job (
      number, g_rand_int_range (r, 0, 3), g_rand_int_range (r, 1, 12),
      gpus[g_rand_int_range (r, 0, 5)], g_rand_int_range (r, 300, 4000));

  job->step[0].gang = g_rand_boolean (r);
  job->step[0].saves = g_rand_boolean (r);
  job->step[0].one_rack = g_rand_boolean (r);
  if (g_rand_int_range (r, 0, 4) == 0)
    {
      job->steps = 2;
      job->step[1] = job->step[0];
      job->step[1].after = 1;
    }
  job->max_attempts = 6;
  return job;
}

static void
random_event (struct fa_farm *f, unsigned submitted)
{
  int w = g_rand_int_range (f->rand, 0, f->workers);
  char id[SJ_ID];

  switch (g_rand_int_range (f->rand, 0, 40))
    {
    case 0:
      fa_take_over (f);
      break;
    case 1:
      if (!f->worker[w].cut)
        fa_crash (f, w);
      break;
    case 2:
      f->worker[w].cut = 1;
      break;
    case 3:
      f->worker[w].cut = 0;
      break;
    case 4:
      f->worker[w].stands_still = !f->worker[w].stands_still;
      break;
    case 5:
      snprintf (id, sizeof id, "%016x",
                (unsigned)g_rand_int_range (f->rand, 1, (int)submitted + 1));
      fa_cancel (f, id);
      break;
    default:
      break;
    }
}

static void
random_day (unsigned seed)
{
  unsigned submitted = 0;
  char id[SJ_ID];
  int open = 0;

  fa_init (&farm, 16, 4, seed);
  sj_set_guarantee (farm.cluster, "a", 40);
  farm.faults = (struct fa_faults){
    .lost = .03, .late = .03, .store = .05, .task_fails = .03
  };
  for (int i = 0; i < 150; i++)
    {
      fa_submit (&farm, random_job (farm.rand, ++submitted));
      fa_run_ms (&farm, g_rand_int_range (farm.rand, 20, 600));
      random_event (&farm, submitted);
    }
  farm.faults = (struct fa_faults){ 0 };
  for (int i = 0; i < farm.workers; i++)
    farm.worker[i].cut = farm.worker[i].stands_still = 0;
  fa_run_ms (&farm, 240000);
  for (unsigned i = 1; i <= submitted; i++)
    {
      snprintf (id, sizeof id, "%016x", i);
      open += fa_state (&farm, id) < SJ_COMPLETED;
    }
  if (farm.broken_rules || open)
    printf ("\nseed %u: %s, %d jobs open\n", seed, farm.first_broken, open);
  CU_ASSERT_EQUAL (farm.broken_rules, 0);
  CU_ASSERT_EQUAL (open, 0);
  fa_fini (&farm);
}

static unsigned
from_environment (const char *name, unsigned otherwise)
{
  const char *text = getenv (name);

  return text ? (unsigned)strtoul (text, NULL, 10) : otherwise;
}

static void
test_random_days_keep_the_rules (void)
{
  unsigned first = from_environment ("SEED", 1);
  unsigned count = from_environment ("COUNT", 12);

  for (unsigned seed = first; seed < first + count; seed++)
    random_day (seed);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a job runs and completes", test_job_runs_and_completes },
    { "a gang starts whole", test_gang_starts_whole_or_not_at_all },
    { "steps wait", test_steps_wait_for_one_another },
    { "urgent preempts", test_urgent_within_the_guarantee_preempts },
    { "take-over", test_take_over_loses_and_repeats_nothing },
    { "cut worker", test_cut_worker_runs_on_until_its_lease_ends },
    { "crashed worker", test_crashed_worker_is_empty },
    { "hopeless job", test_job_that_always_fails_ends },
    { "failing worker", test_worker_that_fails_all_costs_no_job },
    { "stuck run", test_run_that_stands_still_moves },
    { "headroom", test_urgent_gangs_find_room_beside_bulk },
    { "wide gangs", test_wide_gangs_start_beside_endless_small_jobs },
    { "slow worker", test_gang_leaves_a_slow_worker },
    { "long run", test_run_that_is_long_by_itself_stays },
    { "cancel", test_cancelled_job_stops },
    { "occurrences", test_occurrences_start_when_due },
    { "lasting task", test_lasting_task_starts_again },
    { "stored form", test_record_survives_text },
    { "random days", test_random_days_keep_the_rules },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("steps", tests);
}
