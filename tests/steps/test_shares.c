/* Shares of the accounts in a full fleet: a burst of a large account against
   small ones that submit steadily.  An account is served by the share of its
   jobs that complete within three times their objective.  */
#include <stdio.h>
#include <string.h>

#include "steps/fake_cluster.h"
#include "suite.h"

enum
{
  WORKERS = 40, /* of 8 accelerators */
  PER_RACK = 8,
  SMALL = 6, /* small accounts; account 0 is the large one */
  ACCOUNTS = SMALL + 1,
  RUN_MS = 3000,
  INTERVAL_MS = 1000, /* between two jobs of a small account */
  PLAY_MS = 60000,
  BURST_MS = 5000,  /* when the large account submits its burst */
  BURST_JOBS = 150, /* each 40 tasks: a minute of the whole fleet */
  BURST_TASKS = 40,
  NOT_CONFIGURED = INT32_MIN, /* as a weight */
  GANG_TASKS = 13,            /* a worker each */
  GANG_INTERVAL_MS = 10000,
  MAX_JOBS = 4096
};

/* A submitted job.  */
struct sent
{
  int64_t objective_ms;
  int account;
  int is_large;
};

static struct fa_cluster cluster;
static struct sent sent[MAX_JOBS];
static int jobs, weight[ACCOUNTS], with_gangs;
static int passed_over, changes, weights_noted, scarce;
static char passed_account[8], ahead_account[8];

static void
on_note (void *arg, const struct sj_note *n)
{
  (void)arg;
  switch (n->kind)
    {
    case SJ_NOTE_PASSED_OVER:
      passed_over++;
      g_strlcpy (passed_account, n->u.passed_over.account.name,
                 sizeof passed_account);
      g_strlcpy (ahead_account, n->u.passed_over.ahead.name,
                 sizeof ahead_account);
      break;
    case SJ_NOTE_ACCOUNT_SHARE:
      changes++;
      break;
    case SJ_NOTE_WEIGHT:
      weights_noted++;
      break;
    case SJ_NOTE_SCARCE:
      scarce += n->u.scarce.is_scarce;
      break;
    default:
      break;
    }
}

/* Another holder, without what the last one knew but the stored records.  */
static void
take_over (void)
{
  char name[8];

  fa_take_over (&cluster);
  sj_set_note_fn (cluster.scheduler, on_note, NULL);
  for (int i = 0; i < ACCOUNTS; i++)
    {
      snprintf (name, sizeof name, "a%d", i);
      if (weight[i] != NOT_CONFIGURED)
        sj_set_guarantee (cluster.scheduler, name, weight[i]);
    }
}

static void
setup (int fair_share)
{
  fa_init (&cluster, WORKERS, PER_RACK, 1);
  cluster.settings.fair_share = fair_share;
  with_gangs = 0;
  jobs = passed_over = changes = weights_noted = scarce = 0;
  take_over ();
}

static void
set_weights (int large, int small)
{
  for (int i = 0; i < ACCOUNTS; i++)
    weight[i] = i ? small : large;
}

static struct sj_job *
new_job (int account, int priority, int tasks, int64_t run_ms)
{
  struct sj_job *j
      = fa_new_job ((unsigned)jobs + 1, priority, tasks, 1, run_ms);

  g_free (j->account);
  j->account = g_strdup_printf ("a%d", account);
  return j;
}

static void
submit (struct sj_job *j)
{
  struct sent *x = &sent[jobs++];

  x->account = j->account[1] - '0';
  x->objective_ms
      = (int64_t)(j->stretch * (double)j->step[0].estimate_ms) + j->target_ms;
  x->is_large = j->step[0].gang;
  fa_submit (&cluster, j);
}

static void
submit_burst (int account)
{
  for (int i = 0; i < BURST_JOBS; i++)
    submit (new_job (account, 1, BURST_TASKS, RUN_MS));
}

/* One job of 8 tasks from each small account.  */
static void
submit_small (void)
{
  for (int a = 1; a <= SMALL; a++)
    submit (new_job (a, 1, 8, RUN_MS));
}

/* Time from JOB's acceptance to its end; -1: not yet.  */
static int64_t
completion_ms (int job)
{
  char id[SJ_ID_SIZE];

  snprintf (id, sizeof id, "%016x", (unsigned)job + 1);
  return fa_completion_ms (&cluster, id);
}

static int
is_completed (int job)
{
  return completion_ms (job) >= 0;
}

static int
is_served (int job, int times)
{
  int64_t ms = completion_ms (job);

  return ms >= 0 && ms <= sent[job].objective_ms * times;
}

/* Share of ACCOUNT's jobs that completed within TIMES times their
   objective.  */
static double
served (int account, int times)
{
  int n = 0, ok = 0;

  for (int i = 0; i < jobs; i++)
    if (sent[i].account == account)
      {
        n++;
        ok += is_served (i, times);
      }
  return n ? (double)ok / n : 1;
}

/* Share of the largest jobs, gangs, that completed within TIMES times their
   objective.  */
static double
large_served (int times)
{
  int n = 0, ok = 0;

  for (int i = 0; i < jobs; i++)
    if (sent[i].is_large)
      {
        n++;
        ok += is_served (i, times);
      }
  return n ? (double)ok / n : 1;
}

/* Each small account and the largest jobs are served at least half as well as
   the mean of the accounts.  */
static void
expect_fair (void)
{
  for (int times = 1; times <= 3; times += 2)
    {
      double mean = 0;

      for (int a = 0; a < ACCOUNTS; a++)
        mean += served (a, times) / ACCOUNTS;
      for (int a = 1; a < ACCOUNTS; a++)
        CU_ASSERT (served (a, times) >= mean / 2);
      CU_ASSERT (large_served (times) >= mean / 2);
    }
}

static void
finish (void)
{
  if (cluster.violations)
    printf ("\n%s\n", cluster.first_violation);
  CU_ASSERT_EQUAL (cluster.violations, 0);
  sj_check (cluster.scheduler);
  fa_fini (&cluster);
}

static void
print_served (const char *what)
{
  printf ("\n%s:", what);
  for (int a = 0; a < ACCOUNTS; a++)
    printf (" %.2f/%.2f", served (a, 1), served (a, 3));
  printf (" large %.2f/%.2f", large_served (1), large_served (3));
}

static void
burst_of_large (void)
{
  submit_burst (0);
}

/* The scheduler is lost right after the burst.  */
static void
burst_and_take_over (void)
{
  submit_burst (0);
  fa_run_ms (&cluster, 2000);
  take_over ();
}

/* The account that submitted the burst, and one with steady work, leave the
   configuration, and a new holder never knows them.  */
static void
burst_and_removal (void)
{
  submit_burst (0);
  weight[0] = weight[1] = NOT_CONFIGURED;
  fa_run_ms (&cluster, 2000);
  take_over ();
}

/* The same, and gangs of a third of the fleet from a small account.  */
static void
burst_and_gangs (void)
{
  submit_burst (0);
  with_gangs = 1;
}

static void
submit_gang (void)
{
  struct sj_job *j = new_job (1, 1, GANG_TASKS, RUN_MS);

  j->step[0].need = (struct sj_resources){ 64000, 64000, 8 };
  j->step[0].gang = 1;
  submit (j);
}

/* Steady small accounts, and BURST in the sixth second.  */
static void
play (void (*burst) (void))
{
  for (int64_t at = 0; at < PLAY_MS; at += INTERVAL_MS)
    {
      submit_small ();
      if (at == BURST_MS)
        burst ();
      if (with_gangs && at % GANG_INTERVAL_MS == 0)
        submit_gang ();
      fa_run_ms (&cluster, INTERVAL_MS);
    }
  fa_run_ms (&cluster, PLAY_MS);
}

/* A burst that fills the fleet for a minute made every job late that came
   after it.  */
static void
test_burst (void)
{
  set_weights (1, 1);
  setup (0);
  play (burst_of_large);
  print_served ("before");
  CU_ASSERT_EQUAL (passed_over, 0);
  CU_ASSERT_EQUAL (sj_account_shares (cluster.scheduler, NULL, 0), 0);
  finish ();
  setup (1);
  play (burst_of_large);
  print_served ("burst");
  for (int a = 1; a < ACCOUNTS; a++)
    CU_ASSERT (served (a, 1) >= 0.95);
  expect_fair ();
  /* At most one note every 5 s for a job.  */
  CU_ASSERT (passed_over > 0
             && passed_over <= BURST_JOBS * 2 * PLAY_MS / 5000);
  CU_ASSERT_STRING_EQUAL (passed_account, "a0");
  CU_ASSERT_STRING_NOT_EQUAL (ahead_account, "a0");
  CU_ASSERT (scarce > 0);
  CU_ASSERT (changes > 0);
  finish ();
}

/* The burst's many single tasks took each place that became free, and a gang
   found none.  */
static void
test_largest_jobs (void)
{
  set_weights (1, 1);
  setup (0);
  play (burst_and_gangs);
  print_served ("before");
  finish ();
  setup (1);
  play (burst_and_gangs);
  print_served ("largest");
  expect_fair ();
  finish ();
}

static void
play_fairly (const char *what, int large_weight, int small_weight,
             void (*burst) (void))
{
  set_weights (large_weight, small_weight);
  setup (1);
  play (burst);
  print_served (what);
  expect_fair ();
  CU_ASSERT (passed_over > 0);
}

/* A new holder has no past use, only what runs.  It must not take the large
   account for one that has used nothing.  */
static void
test_take_over (void)
{
  play_fairly ("take-over", 1, 1, burst_and_take_over);
  finish ();
}

/* Work of accounts that are not configured any more keeps a share, and does
   not keep others from theirs.  */
static void
test_removed_account (void)
{
  play_fairly ("removed", 10, 10, burst_and_removal);
  finish ();
}

/* Weights of 0 and below count as 1 and are noted.  */
static void
test_bad_weights (void)
{
  play_fairly ("bad weights", 0, -5, burst_of_large);
  CU_ASSERT_EQUAL (weights_noted, ACCOUNTS);
  finish ();
}

/* Beside an account with nearly all guarantees the others would be entitled to
   less than one task each.  */
static void
test_unequal_weights (void)
{
  play_fairly ("unequal", 300, 1, burst_of_large);
  for (int a = 1; a < ACCOUNTS; a++)
    CU_ASSERT (served (a, 3) >= 0.5);
  finish ();
}

/* A burst that the fleet can serve in time, in the order by latest start.  */
static void
small_burst (void)
{
  for (int i = 0; i < 6; i++)
    submit (new_job (0, 1, BURST_TASKS, RUN_MS));
}

/* While capacity suffices for all objectives, fairness makes no job late that
   is on time without it.  */
static void
test_sufficient_capacity (void)
{
  for (int fair_share = 0; fair_share < 2; fair_share++)
    {
      set_weights (1, 1);
      setup (fair_share);
      play (small_burst);
      print_served (fair_share ? "with" : "without");
      for (int a = 0; a < ACCOUNTS; a++)
        CU_ASSERT_EQUAL (served (a, 1), 1);
      finish ();
    }
}

/* All small accounts together ask for more than the fleet for a minute, after
   a burst of account 0.  Account 0 still gets at least half of an equal part,
   and its last job ends once the others need less.  */
static void
test_no_starvation (void)
{
  const double equal_part = 1.0 / ACCOUNTS, fleet = WORKERS * 8;
  const double job_work = BURST_TASKS * (double)RUN_MS;
  int completed = 0, last;

  set_weights (1, 1);
  setup (1);
  submit_burst (0);
  last = jobs - 1;
  for (int64_t at = 0; at < PLAY_MS; at += INTERVAL_MS)
    {
      for (int a = 1; a <= SMALL; a++)
        submit (new_job (a, 1, 24, RUN_MS));
      fa_run_ms (&cluster, INTERVAL_MS);
    }
  for (int i = 0; i < BURST_JOBS; i++)
    completed += is_completed (i);
  CU_ASSERT (completed * job_work >= fleet * PLAY_MS * equal_part / 2);
  fa_run_ms (&cluster, 3 * PLAY_MS);
  CU_ASSERT (is_completed (last));
  finish ();
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "burst", test_burst },
    { "largest jobs", test_largest_jobs },
    { "take-over", test_take_over },
    { "removed account", test_removed_account },
    { "bad weights", test_bad_weights },
    { "unequal weights", test_unequal_weights },
    { "sufficient capacity", test_sufficient_capacity },
    { "no starvation", test_no_starvation },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("shares", tests);
}
