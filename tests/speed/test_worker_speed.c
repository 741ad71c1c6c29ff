/* Estimates of worker speeds from simulated runs with noise.  */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "skr/speed.h"
#include "suite.h"

enum
{
  WORKERS = 60,
  GANG = 5,
  ROUND_MS = 200,
  LONG_RUN_FACTOR = 7
};

static const double long_run_share = 0.03;

struct fleet
{
  struct sp_fleet fleet;
  struct sp_worker worker[WORKERS];
  struct sp_worker *list[WORKERS];
  double speed[WORKERS]; /* the true one */
  double noise;          /* of a run, logarithmic */
  GRand *rand;
  uint32_t runs;
  int64_t now;
};

static void
init_fleet (struct fleet *f, double noise, unsigned seed)
{
  memset (f, 0, sizeof *f);
  f->noise = noise;
  f->rand = g_rand_new_with_seed (seed);
  f->now = 1000;
  for (int i = 0; i < WORKERS; i++)
    {
      f->list[i] = &f->worker[i];
      f->worker[i].speed = 1;
      f->speed[i] = 1;
    }
}

static double
normal_deviate (GRand *rand)
{
  double sum = -6;

  for (int i = 0; i < 12; i++)
    sum += g_rand_double (rand);
  return sum;
}

/* Runs a gang, whose declared run time is wrong by up to 1.9, on the GANG
   workers of the list WORKER.  */
static void
run_gang (struct fleet *f, const int *worker)
{
  double error = exp (g_rand_double_range (f->rand, -0.64, 0.64));
  struct sp_sibling member[GANG], others[GANG];

  for (int i = 0; i < GANG; i++)
    {
      member[i].worker = &f->worker[worker[i]];
      member[i].pace = f->speed[worker[i]] * error
                       * exp (f->noise * normal_deviate (f->rand));
      if (g_rand_double (f->rand) < long_run_share)
        member[i].pace /= LONG_RUN_FACTOR;
    }
  for (int i = 0; i < GANG; i++)
    {
      int n = 0;

      for (int k = 0; k < GANG; k++)
        if (worker[k] != worker[i])
          others[n++] = member[k];
      sp_observe (&f->worker[worker[i]], ++f->runs, member[i].pace, others, n,
                  f->now);
    }
}

/* Lets each worker run one task a round, in random gangs.  */
static void
run_rounds (struct fleet *f, int rounds)
{
  int worker[WORKERS];

  for (int i = 0; i < WORKERS; i++)
    worker[i] = i;
  for (int r = 0; r < rounds; r++)
    {
      for (int i = WORKERS - 1; i > 0; i--)
        {
          int k = g_rand_int_range (f->rand, 0, i + 1), other = worker[k];

          worker[k] = worker[i];
          worker[i] = other;
        }
      for (int g = 0; g < WORKERS / GANG; g++)
        run_gang (f, &worker[g * GANG]);
      f->now += ROUND_MS;
      sp_update (&f->fleet, f->list, WORKERS, f->now);
    }
}

/* Workers whose class is that of their true speed.  */
static int
correctly_classed (const struct fleet *f, double slow)
{
  int n = 0;

  for (int i = 0; i < WORKERS; i++)
    n += f->worker[i].class == (f->speed[i] <= slow ? SP_SLOW : SP_FAST);
  return n;
}

static void
make_quarter_slow (struct fleet *f)
{
  for (int i = 0; i < WORKERS; i++)
    f->speed[i] = i % 4 ? 1.2 : 0.55;
}

/* Guards against a model that needs long to learn: after six runs a worker,
   90 % of the workers must have their class.  */
static void
test_two_speeds_are_learned_from_few_runs (void)
{
  static struct fleet f;

  for (unsigned seed = 1; seed <= 10; seed++)
    {
      init_fleet (&f, 0.25, seed);
      make_quarter_slow (&f);
      run_rounds (&f, 6);
      CU_ASSERT (f.fleet.is_uneven);
      CU_ASSERT (correctly_classed (&f, 0.55) * 10 >= WORKERS * 9);
      run_rounds (&f, 24);
      CU_ASSERT (correctly_classed (&f, 0.55) * 100 >= WORKERS * 97);
      g_rand_free (f.rand);
    }
}

/* Guards against noise and long runs that make an even fleet look uneven.  */
static void
test_even_fleet_has_no_classes (void)
{
  static const double noise[] = { 0.15, 0.3 };
  static struct fleet f;

  for (unsigned seed = 1; seed <= 20; seed++)
    {
      int uneven = 0;

      init_fleet (&f, noise[seed % 2], seed);
      for (int i = 0; i < WORKERS; i++)
        f.speed[i] = g_rand_double_range (f.rand, 1, 1.25);
      for (int r = 0; r < 300; r++)
        {
          run_rounds (&f, 1);
          uneven += f.fleet.is_uneven;
          for (int i = 0; i < WORKERS; i++)
            uneven += f.worker[i].speed < 1 || f.worker[i].class;
        }
      CU_ASSERT_EQUAL (uneven, 0);
      g_rand_free (f.rand);
    }
}

/* Speeds of 0.8, 1.0 and 1.25: the slowest third must not be taken for the
   fastest, nor the other way round.  */
static void
test_three_speeds_are_ordered (void)
{
  static struct fleet f;

  for (unsigned seed = 1; seed <= 10; seed++)
    {
      int confused = 0;

      init_fleet (&f, 0.25, seed);
      for (int i = 0; i < WORKERS; i++)
        f.speed[i] = i % 3 == 0 ? 0.8 : i % 3 == 1 ? 1.0 : 1.25;
      run_rounds (&f, 20);
      for (int i = 0; i < WORKERS; i++)
        confused += (i % 3 == 0 && f.worker[i].class == SP_FAST)
                    || (i % 3 == 2 && f.worker[i].class == SP_SLOW);
      CU_ASSERT (f.fleet.is_uneven);
      CU_ASSERT (confused * 100 <= WORKERS * 5);
      g_rand_free (f.rand);
    }
}

/* A worker that turns slow, recovers or is replaced.  */
static void
test_changes_of_speed_are_followed (void)
{
  static struct fleet f;

  init_fleet (&f, 0.2, 3);
  make_quarter_slow (&f);
  run_rounds (&f, 25);
  CU_ASSERT_EQUAL (f.worker[1].class, SP_FAST);
  CU_ASSERT_EQUAL (f.worker[4].class, SP_SLOW);
  f.speed[1] = 0.55;
  f.speed[4] = 1.2;
  run_rounds (&f, 12);
  CU_ASSERT_EQUAL (f.worker[1].class, SP_SLOW);
  CU_ASSERT_EQUAL (f.worker[4].class, SP_FAST);
  f.worker[1] = (struct sp_worker){ .speed = 1 };
  sp_update (&f.fleet, f.list, WORKERS, f.now);
  CU_ASSERT_EQUAL (f.worker[1].class, SP_UNKNOWN);
  g_rand_free (f.rand);
}

/* A worker with one sample must not have a class: the sample may be one of a
   run that takes seven times as long.  */
static void
test_one_sample_decides_little (void)
{
  static struct fleet f;
  struct sp_sibling others[GANG];

  init_fleet (&f, 0.2, 5);
  make_quarter_slow (&f);
  run_rounds (&f, 25);
  f.worker[1] = (struct sp_worker){ .speed = 1 };
  for (int i = 0; i < GANG; i++)
    others[i] = (struct sp_sibling){ 100, &f.worker[5 + 4 * i] };
  sp_observe (&f.worker[1], ++f.runs, 14, others, GANG, f.now);
  f.now += ROUND_MS;
  sp_update (&f.fleet, f.list, WORKERS, f.now);
  CU_ASSERT_EQUAL (f.worker[1].class, SP_UNKNOWN);
  CU_ASSERT (sp_confidence (&f.fleet, &f.worker[1])
             < sp_confidence (&f.fleet, &f.worker[2]));
  CU_ASSERT_EQUAL (sp_age_ms (&f.worker[1], f.now), ROUND_MS);
  /* The same run again is no further sample.  */
  sp_observe (&f.worker[1], f.runs, 14, others, GANG, f.now);
  CU_ASSERT_EQUAL (f.worker[1].samples, 1);
  g_rand_free (f.rand);
}

/* Without new runs an estimate loses its weight and ends.  */
static void
test_old_estimates_expire (void)
{
  static struct fleet f;
  double confidence;

  init_fleet (&f, 0.2, 7);
  make_quarter_slow (&f);
  run_rounds (&f, 25);
  confidence = sp_confidence (&f.fleet, &f.worker[4]);
  f.now += 120000;
  sp_update (&f.fleet, f.list, WORKERS, f.now);
  CU_ASSERT (sp_confidence (&f.fleet, &f.worker[4]) < confidence);
  f.now += 600000;
  sp_update (&f.fleet, f.list, WORKERS, f.now);
  CU_ASSERT_EQUAL (f.worker[4].class, SP_UNKNOWN);
  CU_ASSERT (!f.fleet.is_uneven);
  g_rand_free (f.rand);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "two speeds", test_two_speeds_are_learned_from_few_runs },
    { "even fleet", test_even_fleet_has_no_classes },
    { "three speeds", test_three_speeds_are_ordered },
    { "changes", test_changes_of_speed_are_followed },
    { "one sample", test_one_sample_decides_little },
    { "expiry", test_old_estimates_expire },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("worker speeds", tests);
}
