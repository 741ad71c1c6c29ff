/* The targets of docs/design/hard-load.md for the heaviest day, for stops of
   any cause.  */
#include "steps/fake_load.h"
#include "suite.h"

static struct fa_cluster cluster;

/* At most 8 % of the runs stopped, at most 0.04 of the work thrown away, and
   at most 15 of 296 urgent jobs late.  */
static void
check_targets (const struct fl_total *t)
{
  fl_print (t);
  CU_ASSERT (t->stopped * 100 <= t->starts * 8);
  CU_ASSERT (t->lost_core_s <= 0.04 * (t->lost_core_s + t->done_core_s));
  CU_ASSERT (t->late * 296 <= t->urgent_jobs * 15);
}

/* Guards against urgent gangs that stop batch work at every rise of their
   rate, and moves of runs that only take long.  */
static void
test_oscillating_urgent_load (void)
{
  struct fl_total t;

  fl_play_oscillation (&t, &cluster);
  check_targets (&t);
}

/* Guards against the same in bursts.  */
static void
test_bursts_of_urgent_load (void)
{
  struct fl_total t;

  fl_play_bursts (&t, &cluster);
  check_targets (&t);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "oscillating urgent load", test_oscillating_urgent_load },
    { "bursts of urgent load", test_bursts_of_urgent_load },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("stop_targets", tests);
}
