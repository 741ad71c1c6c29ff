/* What acknowledgements cost the holder of a full fleet: polls and processor
   time for each run, how long starts wait once they are stored, and ends until
   they are acknowledged.  */
#include <stdio.h>
#include <string.h>

#include "acks/fake_fleet.h"

enum
{
  WARM_UP_MS = 15000,
  MEASURE_MS = 30000,
  JOB_TASKS = 100
};

/* Adds jobs so that all workers stay full.  */
static void
run_full (struct ff_fleet *f, int *jobs, int64_t ms)
{
  while (ms-- > 0)
    {
      while ((*jobs - 2) * JOB_TASKS < f->starts + f->workers)
        ff_add_job (f, ++*jobs, JOB_TASKS);
      ff_step (f);
    }
}

static void
measure (int workers, int run_ms)
{
  struct ff_fleet *f = ff_init (workers, 1);
  int jobs = 0, starts, ends, holds;
  int64_t us;

  f->conditions.is_random = 1;
  f->conditions.run_ms = run_ms;
  run_full (f, &jobs, WARM_UP_MS);
  f->sum_ack_ms = f->longest_ack_ms = 0;
  f->sum_start_ms = f->longest_start_ms = 0;
  starts = f->starts;
  ends = f->ends;
  holds = f->holds;
  us = f->holder_us;
  run_full (f, &jobs, MEASURE_MS);
  starts = MAX (f->starts - starts, 1);
  ends = MAX (f->ends - ends, 1);
  holds = f->holds - holds;
  us = f->holder_us - us;
  printf ("%d workers, runs of %d ms: %d starts/s, %d polls/s, %.2f polls "
          "and %.0f us a run; starts wait %.1f ms, at most %d; ends are "
          "acknowledged after %.0f ms, at most %d\n",
          workers, run_ms, starts * 1000 / MEASURE_MS,
          holds * 1000 / MEASURE_MS, (double)holds / starts,
          (double)us / starts, (double)f->sum_start_ms / starts,
          (int)f->longest_start_ms, (double)f->sum_ack_ms / ends,
          (int)f->longest_ack_ms);
  ff_fini (f);
}

int
main (void)
{
  bs_init ();
  lg_init ("bench", "plain", LG_ERROR);
  measure (48, 2500);
  measure (350, 2500);
  measure (1100, 2500);
  measure (1100, 10000);
  return 0;
}
