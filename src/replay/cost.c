#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <inttypes.h>
#include <time.h>

#include "replay.h"

static double
now_micros (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

void
rp_cost_init (struct rp_cost *cost)
{
  cost->samples_us = g_array_new (FALSE, FALSE, sizeof (double));
  cost->started_us = 0;
}

void
rp_cost_fini (struct rp_cost *cost)
{
  g_array_free (cost->samples_us, TRUE);
}

void
rp_cost_start (struct rp_cost *cost)
{
  if (cost)
    cost->started_us = now_micros ();
}

void
rp_cost_stop (struct rp_cost *cost)
{
  double spent;

  if (!cost)
    return;
  spent = now_micros () - cost->started_us;
  g_array_append_val (cost->samples_us, spent);
}

void
rp_cost_print (FILE *out, struct rp_cost *cost, const struct rp_run *run)
{
  double *sample = (double *)(void *)cost->samples_us->data;
  size_t count = cost->samples_us->len;

  if (!count)
    return;
  gsl_sort (sample, 1, count);
  fprintf (out,
           "calls %zu median_us %.2f p99_us %.2f worst_us %.2f "
           "peak_bytes %zu\n",
           count, gsl_stats_quantile_from_sorted_data (sample, 1, count, 0.5),
           gsl_stats_quantile_from_sorted_data (sample, 1, count, 0.99),
           sample[count - 1], run->measures.peak_bytes);
}
