#include <gsl/gsl_sort.h>
#include <math.h>

#include "skr/trace.h"

enum
{
  ROUNDING_STEPS = 1000, /* fractions are rounded to thousandths */
  REAL_DIGITS = 15
};

static gint
compare_numbers (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* Returns the index of the smallest sample that at least PERCENT percent of
   all samples do not exceed.  */
static guint
rank_of (guint count, guint percent)
{
  guint64 rank = ((guint64)count * percent + 99) / 100;

  return (guint)(rank ? rank - 1 : 0);
}

static json_t *
rounded_real (double value, double step)
{
  return json_real (round (value * step) / step);
}

/* Returns a percentile of the sorted SAMPLES, or null if there are none.  */
static json_t *
integer_percentile (const GArray *samples, guint percent)
{
  if (!samples->len)
    return json_null ();
  return json_integer (
      g_array_index (samples, int64_t, rank_of (samples->len, percent)));
}

static json_t *
real_percentile (const GArray *samples, guint percent)
{
  if (!samples->len)
    return json_null ();
  return rounded_real (
      g_array_index (samples, double, rank_of (samples->len, percent)),
      ROUNDING_STEPS);
}

static json_t *
completion (struct tr_measures *m, int class)
{
  GArray *samples = m->class[class].completion_ms;

  g_array_sort (samples, compare_numbers);
  return json_pack ("{s:o,s:o}", "p50", integer_percentile (samples, 50),
                    "p99", integer_percentile (samples, 99));
}

static json_t *
slowdown (struct tr_measures *m, int class)
{
  GArray *samples = m->class[class].slowdown;

  gsl_sort ((double *)(void *)samples->data, 1, samples->len);
  return json_pack ("{s:o,s:o}", "p50", real_percentile (samples, 50), "p99",
                    real_percentile (samples, 99));
}

static json_t *
median_and_max (GArray *samples)
{
  json_t *max;

  g_array_sort (samples, compare_numbers);
  max = samples->len ? integer_percentile (samples, 100) : json_integer (0);
  return json_pack ("{s:o,s:o}", "p50", integer_percentile (samples, 50),
                    "max", max);
}

static json_t *
by_class (struct tr_measures *m, json_t *(*of) (struct tr_measures *, int))
{
  return json_pack ("{s:o,s:o}", "urgent", of (m, DC_URGENT), "bulk",
                    of (m, DC_BULK));
}

static json_t *
wait_time (struct tr_measures *m, int class)
{
  return median_and_max (m->class[class].wait_ms);
}

/* Returns PART over WHOLE, rounded to a millionth.  */
static json_t *
share (double part, double whole)
{
  return rounded_real (whole > 0 ? part / whole : 0,
                       ROUNDING_STEPS * ROUNDING_STEPS);
}

void
tr_write_summary (FILE *out, struct tr_measures *m, int64_t at_ms)
{
  json_t *o = json_pack (
      "{s:I,s:s,s:o,s:o,s:o,s:o,s:o,s:o,s:I,s:I,s:I}", "at", (json_int_t)at_ms,
      "act", "summary", "completion_ms", by_class (m, completion), "slowdown",
      by_class (m, slowdown), "fragmentation",
      share (m->fragmented_ms, m->up_ms), "utilization",
      share (m->held_ms, m->up_ms), "reclaim_ms",
      median_and_max (m->reclaim_ms), "wait_ms", by_class (m, wait_time),
      "starts", (json_int_t)m->starts, "preemptions",
      (json_int_t)m->preemptions, "peak_state_bytes",
      (json_int_t)m->peak_bytes);

  json_dumpf (o, out, JSON_COMPACT | JSON_REAL_PRECISION (REAL_DIGITS));
  putc ('\n', out);
  json_decref (o);
}
