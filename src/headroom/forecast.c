/* Forecast of urgent demand from the arrivals of the last seconds.  */
#include <math.h>
#include <string.h>

#include "skr/headroom.h"

enum
{
  SECOND_MS = 1000,
  MAX_KNOWN = HR_BUCKETS - 1, /* full buckets */
  /* Recent arrivals that the trend is fitted to.  On a load of eight jobs a
     second 4 s hold about 30 jobs, so that the rate is known to a fifth.  */
  TREND_BUCKETS = 16,
  RATE_BUCKETS = 8, /* of a rate; shorter ones are mostly noise */
  FAST_BUCKETS = 4, /* of the rate that shows a burst */
  /* Limits on the time for which the trend is extrapolated, by the usual run
     time of other work.  A place that such work takes is free again after half
     of its run time on average.  */
  MIN_HORIZON_MS = 1000,
  MAX_HORIZON_MS = 4000
};

static const double mean_weight = 0.1; /* of the latest job in the means */

void
hr_init (struct hr_forecast *f, int64_t now)
{
  memset (f, 0, sizeof *f);
  f->began_ms = now;
  f->newest = now / HR_BUCKET_MS;
}

/* Opens the buckets up to NOW.  */
static void
advance (struct hr_forecast *f, int64_t now)
{
  int64_t bucket = now / HR_BUCKET_MS;

  if (bucket - f->newest >= HR_BUCKETS)
    f->newest = bucket - HR_BUCKETS;
  while (f->newest < bucket)
    {
      f->newest++;
      for (int i = 0; i < HR_SHAPES; i++)
        f->shape[i].jobs[f->newest % HR_BUCKETS] = 0;
    }
}

static void
update_mean (double *mean, double value, int is_first)
{
  *mean += (value - *mean) * (is_first ? 1 : mean_weight);
}

void
hr_add_urgent (struct hr_forecast *f, const struct hr_need *need, int tasks,
               int64_t run_ms, int64_t at_ms, int64_t now)
{
  int64_t bucket = at_ms / HR_BUCKET_MS;
  int64_t index
      = need->accelerators < HR_SHAPES ? need->accelerators : HR_SHAPES - 1;
  struct hr_shape *s = &f->shape[index];
  int is_first = s->tasks == 0;

  advance (f, now);
  if (bucket > f->newest || bucket <= f->newest - HR_BUCKETS || bucket < 0)
    return;
  if (at_ms < f->began_ms)
    f->began_ms = at_ms;
  s->jobs[bucket % HR_BUCKETS]++;
  update_mean (&s->cpu_milli, (double)need->cpu_milli, is_first);
  update_mean (&s->memory_mb, (double)need->memory_mb, is_first);
  update_mean (&s->accelerators, (double)need->accelerators, is_first);
  update_mean (&s->tasks, tasks, is_first);
  update_mean (&s->run_ms, (double)run_ms, is_first);
}

void
hr_add_batch (struct hr_forecast *f, int64_t run_ms)
{
  update_mean (&f->batch_run_ms, (double)run_ms, f->batch_run_ms == 0);
}

/* Jobs of S in N buckets, the last of which ends AGE buckets before the newest
   begins.  The newest is not full yet and would pass for a fall.  */
static double
count_jobs (const struct hr_forecast *f, const struct hr_shape *s, int age,
            int n)
{
  double jobs = 0;

  for (int64_t b = f->newest - age - n; b < f->newest - age; b++)
    if (b >= 0)
      jobs += s->jobs[b % HR_BUCKETS];
  return jobs;
}

static double
count_all (const struct hr_forecast *f, int age, int n)
{
  double jobs = 0;

  for (int i = 0; i < HR_SHAPES; i++)
    jobs += count_jobs (f, &f->shape[i], age, n);
  return jobs;
}

/* Buckets that lie within the history, at most MAX.  */
static int
known_buckets (const struct hr_forecast *f, int max)
{
  int64_t n = f->newest - f->began_ms / HR_BUCKET_MS;

  return n < max ? (int)n : max;
}

int
hr_has_history (struct hr_forecast *f, int min_per_s, int64_t now)
{
  double jobs;

  advance (f, now);
  jobs = count_all (f, 0, MAX_KNOWN);
  return now - f->began_ms >= HR_MIN_HISTORY_MS && jobs > 0
         && jobs * SECOND_MS >= (double)min_per_s
                                    * known_buckets (f, MAX_KNOWN)
                                    * HR_BUCKET_MS;
}

static double
rate_per_s (const struct hr_forecast *f, int age, int buckets)
{
  return count_all (f, age, buckets) * SECOND_MS / (buckets * HR_BUCKET_MS);
}

/* The highest rate within the history.  A rate above it is not expected.  */
static double
highest_rate (const struct hr_forecast *f)
{
  int known = known_buckets (f, MAX_KNOWN);
  double highest = rate_per_s (f, 0, FAST_BUCKETS);

  for (int age = 0; age + RATE_BUCKETS <= known; age++)
    highest = fmax (highest, rate_per_s (f, age, RATE_BUCKETS));
  return highest;
}

/* Fits a line to the recent arrivals.  Sets *LEVEL to the rate now and returns
   its change per second.  */
static double
fit_trend (const struct hr_forecast *f, double *level)
{
  int n = known_buckets (f, TREND_BUCKETS);
  double mean = 0, covariance = 0, variance = 0, middle = (n - 1) / 2.0;
  double seconds = (double)HR_BUCKET_MS / SECOND_MS;

  for (int age = 0; age < n; age++)
    mean += count_all (f, age, 1) / n;
  for (int age = 0; age < n; age++)
    {
      covariance += (middle - age) * (count_all (f, age, 1) - mean);
      variance += (middle - age) * (middle - age);
    }
  *level = mean / seconds;
  if (variance <= 0)
    return 0;
  *level = fmax (0, (mean + middle * covariance / variance) / seconds);
  return covariance / variance / (seconds * seconds);
}

static double
clamp (double x, double least, double most)
{
  return fmin (fmax (x, least), most);
}

/* Totals over the shapes, weighted by the share of jobs.  */
struct mix
{
  double jobs;         /* in the history */
  double accelerators; /* mean of a job */
  double square;       /* mean of their square */
  double run_ms;       /* mean */
};

static struct mix
get_mix (const struct hr_forecast *f)
{
  struct mix m = { .jobs = count_all (f, 0, MAX_KNOWN) };

  for (int i = 0; i < HR_SHAPES && m.jobs > 0; i++)
    {
      const struct hr_shape *s = &f->shape[i];
      double share = count_jobs (f, s, 0, MAX_KNOWN) / m.jobs;
      double need = s->tasks * s->accelerators;

      m.accelerators += share * need;
      m.square += share * need * need;
      m.run_ms += share * s->run_ms;
    }
  return m;
}

/* Fills in what must fit of each shape: the expected growth, and one job if
   one is expected within the run time of another.  */
static void
set_shapes (const struct hr_forecast *f, const struct mix *m,
            struct hr_keep *out)
{
  double growth = fmax (0, out->peak_per_s - out->jobs_per_s);
  int usual = 0;

  for (int i = 0; i < HR_SHAPES; i++)
    {
      const struct hr_shape *s = &f->shape[i];
      double jobs = count_jobs (f, s, 0, MAX_KNOWN);
      double per_s = jobs / m->jobs * s->run_ms / SECOND_MS;

      out->need[i]
          = (struct hr_need){ (int64_t)s->cpu_milli, (int64_t)s->memory_mb,
                              (int64_t)ceil (s->accelerators) };
      out->tasks[i] = (int)ceil (
          s->tasks
          * (per_s * growth + (per_s * out->peak_per_s >= 1 ? 1 : 0)));
      if (jobs > count_jobs (f, &f->shape[usual], 0, MAX_KNOWN))
        usual = i;
    }
  if (!out->tasks[usual])
    out->tasks[usual] = (int)ceil (f->shape[usual].tasks);
}

/* In a steady state urgent jobs end as fast as others arrive.  So the capacity
   kept covers the growth of the rate over the time until other work would free
   its place, and the scatter of the number that runs at the same time.  */
void
hr_get_keep (struct hr_forecast *f, double deviations, int64_t guaranteed,
             int64_t now, struct hr_keep *out)
{
  struct mix m;
  double level, slope, least, horizon_s, run_s, growth, keep;

  advance (f, now);
  *out = (struct hr_keep){ 0 };
  m = get_mix (f);
  if (m.jobs <= 0)
    return;
  slope = fit_trend (f, &level);
  horizon_s = clamp (f->batch_run_ms / 2, MIN_HORIZON_MS, MAX_HORIZON_MS)
              / SECOND_MS;
  run_s = m.run_ms / SECOND_MS;
  out->jobs_per_s = level;
  /* A place that other work takes while the rate is low is still taken when
     the rate is back at its mean.  */
  least = fmax (level, rate_per_s (f, 0, known_buckets (f, MAX_KNOWN)));
  out->peak_per_s = clamp (level + slope * horizon_s, least,
                           fmax (least, highest_rate (f)));
  growth = (out->peak_per_s - level) * run_s * m.accelerators;
  keep = growth + deviations * sqrt (out->peak_per_s * run_s * m.square);
  if (guaranteed > 0)
    keep = fmin (keep, (double)guaranteed);
  out->accelerators = (int64_t)ceil (fmax (keep, m.accelerators));
  out->growth = (int64_t)fmin (growth, (double)out->accelerators);
  set_shapes (f, &m, out);
}
