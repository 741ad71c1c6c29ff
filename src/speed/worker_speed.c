/* Speeds of workers.  The pace of a run depends on its worker, on how wrong
   the declared run time of its step is, and on noise.  The error of the
   declaration is common to the tasks of a step, so that a run is compared with
   its siblings on other workers, whose own speeds are taken into account.  */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "skr/speed.h"

enum
{
  HALF_WEIGHT_MS = 60000,  /* age at which a sample has half its weight */
  SAMPLE_LIFE_MS = 600000, /* older samples are dropped */
  FULL_SIBLINGS = 4,       /* from here, a sample has its full weight */
  CHANGE_SAMPLES = 4,      /* that must agree to show that a speed changed */
  /* Runs of a worker without outliers from which on its class is the nearest
     one.  Among fewer runs an outlier can't be told.  */
  MIN_SAMPLES = 3,
  MIN_MEASURED = 4,          /* comparable workers that make a fleet */
  TRIM_DIVISOR = 40,         /* share of workers that trimming drops */
  MIN_DEGREES_OF_FREEDOM = 8 /* to estimate the noise */
};

/* Samples farther from the median are outliers: 3 % of the runs take seven
   times as long, which is 1.95.  */
static const double outlier_distance = 1.0;
/* Two samples of a worker that are closer than this are no outliers.  */
static const double agreeing_distance = 0.8;
/* Probability from which on a worker with few samples has a class.  */
static const double min_probability = 0.9;
/* Density of outliers among the samples: 3 % of them, over a range of 3.  */
static const double outlier_density = 0.01;
/* Distance from the mean of each of the CHANGE_SAMPLES latest samples.  Noise
   of 30 % puts four in a row there once in some 10,000 runs.  */
static const double change_distance = 0.45;
/* Noise between siblings that is assumed until it is measured, and the least
   assumed then.  A sample also contains the noise of its siblings' median.  */
static const double default_noise = 0.35, min_noise = 0.1;
/* Standard deviation between workers above which a fleet is uneven, and below
   which it is even again.  Speeds within a factor of 1.25 have at most
   log (1.25) / 2 = 0.112.  */
static const double uneven_above = 0.15, even_below = 0.12;
/* The same for the workers of one half of an uneven fleet, which is then
   divided again.  */
static const double divide_above = 0.095, join_below = 0.085;
/* Variances between workers count beyond this many of their own standard
   errors.  */
static const double significance = 3;
/* Levels of neighbouring classes differ at least by this, and a slow class by
   this from the fast one if there is no third.  */
static const double min_step = 0.18, slow_distance = 0.335;
/* A worker changes its class only when it is farther beyond the boundary.  */
static const double class_margin = 0.04;

const char *sp_class_name (enum sp_class class)
{
  switch (class)
    {
    case SP_FAST:
      return "fast";
    case SP_MEDIUM:
      return "medium";
    case SP_SLOW:
      return "slow";
    case SP_UNKNOWN:
    case SP_CLASSES:
      break;
    }
  return "unknown";
}

static int
by_value (const void *a, const void *b)
{
  const double *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

/* Sorts the N values, N > 0, and returns their median.  */
static double
median (double *value, int n)
{
  qsort (value, (size_t)n, sizeof *value, by_value);
  return n % 2 ? value[n / 2] : (value[n / 2 - 1] + value[n / 2]) / 2;
}

static int
by_worker (const void *a, const void *b)
{
  const struct sp_sibling *x = a, *y = b;

  return (x->worker > y->worker) - (x->worker < y->worker);
}

/* Fills OUT with one sibling for each worker, of the median pace there: runs
   on the same worker share its speed.  Returns their number.  */
static int
merge_by_worker (const struct sp_sibling *sibling, int n,
                 struct sp_sibling *out)
{
  struct sp_sibling sorted[SP_MAX_SIBLINGS];
  double pace[SP_MAX_SIBLINGS];
  int workers = 0, end;

  n = MIN (n, SP_MAX_SIBLINGS);
  memcpy (sorted, sibling, (size_t)n * sizeof *sibling);
  qsort (sorted, (size_t)n, sizeof *sorted, by_worker);
  for (int i = 0; i < n; i = end)
    {
      for (end = i; end < n && sorted[end].worker == sorted[i].worker; end++)
        pace[end - i] = sorted[end].pace;
      out[workers++]
          = (struct sp_sibling){ median (pace, end - i), sorted[i].worker };
    }
  return workers;
}

/* Logarithm of the pace of a worker of the fleet's centre that N siblings on
   different workers show.  */
static double
centre_pace (const struct sp_sibling *sibling, int n)
{
  double value[SP_MAX_SIBLINGS];

  for (int i = 0; i < n; i++)
    value[i] = log (sibling[i].pace) - sibling[i].worker->log_speed;
  return median (value, n);
}

double
sp_fast_pace (const struct sp_sibling *sibling, int n)
{
  struct sp_sibling other[SP_MAX_SIBLINGS];
  double value[SP_MAX_SIBLINGS];

  n = merge_by_worker (sibling, n, other);
  if (!n)
    return 0;
  for (int i = 0; i < n; i++)
    {
      double speed = other[i].worker->speed;

      value[i] = other[i].pace / (speed > 0 ? speed : 1);
    }
  return median (value, n);
}

/* Drops all samples but the latest COUNT.  */
static void
keep_latest (struct sp_worker *w, int count)
{
  memmove (w->sample, &w->sample[w->samples - count],
           (size_t)count * sizeof w->sample[0]);
  w->samples = count;
}

/* Whether the latest samples all lie far on one side of the mean of those
   before.  */
static int
has_changed (const struct sp_worker *w)
{
  int above = 0, below = 0;

  if (w->samples <= CHANGE_SAMPLES || w->inliers <= CHANGE_SAMPLES)
    return 0;
  for (int i = w->samples - CHANGE_SAMPLES; i < w->samples; i++)
    {
      above += w->sample[i].value > w->mean + change_distance;
      below += w->sample[i].value < w->mean - change_distance;
    }
  return above == CHANGE_SAMPLES || below == CHANGE_SAMPLES;
}

static struct sp_sample *
find_sample (struct sp_worker *w, uint32_t step)
{
  for (int i = 0; i < w->samples; i++)
    if (w->sample[i].step == step)
      return &w->sample[i];
  return NULL;
}

int
sp_observe (struct sp_worker *w, uint32_t step, double pace,
            const struct sp_sibling *sibling, int n, int64_t now)
{
  struct sp_sibling other[SP_MAX_SIBLINGS];
  struct sp_sample *s = find_sample (w, step);

  n = merge_by_worker (sibling, n, other);
  if (n < SP_MIN_SIBLINGS || pace <= 0)
    return 0;
  if (s && s->count > n)
    return 1;
  if (!s)
    {
      if (w->samples == SP_SAMPLES)
        keep_latest (w, SP_SAMPLES - 1);
      s = &w->sample[w->samples++];
    }
  *s = (struct sp_sample){ .at_ms = now,
                           .step = step,
                           .count = (uint16_t)MIN (n, UINT16_MAX),
                           .value
                           = (float)(log (pace) - centre_pace (other, n)) };
  return 1;
}

static double
sample_weight (const struct sp_sample *s, int64_t now)
{
  double quality = (double)MIN (s->count, FULL_SIBLINGS) / FULL_SIBLINGS;

  return quality * HALF_WEIGHT_MS
         / (double)(HALF_WEIGHT_MS + MAX (now - s->at_ms, 0));
}

static void
drop_old_samples (struct sp_worker *w, int64_t now)
{
  int old = 0;

  while (old < w->samples && now - w->sample[old].at_ms > SAMPLE_LIFE_MS)
    old++;
  if (old)
    keep_latest (w, w->samples - old);
}

/* Computes the mean of W's samples without outliers, and their weight.  */
static void
average_samples (struct sp_worker *w, int64_t now)
{
  double value[SP_SAMPLES], middle, sum = 0, weight = 0, squares = 0;

  w->mean = w->weight = w->deviation = 0;
  w->inliers = 0;
  if (!w->samples)
    return;
  for (int i = 0; i < w->samples; i++)
    value[i] = w->sample[i].value;
  middle = median (value, w->samples);
  for (int i = 0; i < w->samples; i++)
    {
      const struct sp_sample *s = &w->sample[i];
      double share = sample_weight (s, now);

      if (fabs (s->value - middle) > outlier_distance)
        continue;
      sum += share * s->value;
      weight += share;
      squares += (s->value - middle) * (s->value - middle);
      w->inliers++;
    }
  if (!w->inliers)
    return;
  w->mean = (float)(sum / weight);
  w->weight = (float)weight;
  w->deviation = (float)squares;
}

/* Squared standard error of W's mean.  */
static double
error_of (const struct sp_fleet *f, const struct sp_worker *w)
{
  return (double)f->noise * f->noise / w->weight;
}

/* Estimates the noise between runs from how the samples of each worker
   vary.  */
static void
estimate_noise (struct sp_fleet *f, struct sp_worker *const *workers, int n)
{
  double squares = 0;
  int freedom = 0;

  for (int i = 0; i < n; i++)
    if (workers[i]->inliers > 1)
      {
        squares += workers[i]->deviation;
        freedom += workers[i]->inliers - 1;
      }
  f->noise = (float)default_noise;
  if (freedom >= MIN_DEGREES_OF_FREEDOM)
    f->noise = (float)MAX (sqrt (squares / freedom), min_noise);
}

/* Whether W's mean is certain enough to estimate the fleet from it.  */
static int
is_comparable (const struct sp_worker *w)
{
  return w->inliers >= MIN_SAMPLES
         || (w->inliers == 2
             && fabs (w->sample[0].value - w->sample[1].value)
                    < agreeing_distance);
}

/* Means of comparable workers, the slowest first.  */
struct group
{
  double *mean;
  int count;
  double error; /* mean squared error of a mean */
};

static double
mean_of (const double *value, int n)
{
  double sum = 0;

  for (int i = 0; i < n; i++)
    sum += value[i];
  return n ? sum / n : 0;
}

/* Variance between the workers of G that the errors do not explain.  It is
 *CERTAIN if it exceeds what the errors of its estimate explain.  */
static double
spread_variance (const struct group *g, int *certain)
{
  double mean = mean_of (g->mean, g->count), squares = 0, variance;

  *certain = 0;
  if (g->count < MIN_MEASURED)
    return 0;
  for (int i = 0; i < g->count; i++)
    squares += (g->mean[i] - mean) * (g->mean[i] - mean);
  variance = squares / (g->count - 1);
  *certain = variance > g->error * (1 + significance * sqrt (2.0 / g->count));
  return MAX (variance - g->error, 0);
}

/* Divides G where the two parts differ most.  Returns the size of the slower
   part, or 0 if they do not differ enough.  */
static int
divide (const struct group *g)
{
  double sum = 0, all = mean_of (g->mean, g->count) * g->count, most = 0;
  int best = 0;

  for (int i = 1; i < g->count; i++)
    {
      double step, gain;

      sum += g->mean[i - 1];
      step = (all - sum) / (g->count - i) - sum / i;
      gain = step * step * i * (g->count - i);
      if (step < min_step || gain <= most)
        continue;
      most = gain;
      best = i;
    }
  return best;
}

/* Sets the level and share of class K from the workers BEGIN to END of G; none
   has that class if there are none.  */
static void
set_level (struct sp_fleet *f, enum sp_class k, const struct group *g,
           int begin, int end)
{
  f->level[k] = end > begin ? (float)mean_of (g->mean + begin, end - begin)
                            : -INFINITY;
  f->share[k] = (float)(end - begin) / (float)g->count;
}

/* Sets the levels of up to three classes from G, all workers.  */
static void
set_levels (struct sp_fleet *f, const struct group *g)
{
  double limit = f->classes == 3 ? join_below : divide_above, step;
  int cut = divide (g), again = 0, certain;
  struct group slower = { g->mean, cut, g->error };
  struct group faster = { g->mean + cut, g->count - cut, g->error };

  f->classes = cut ? 2 : 1;
  if (!cut)
    return;
  if (spread_variance (&slower, &certain) > limit * limit && certain)
    again = divide (&slower);
  if (!again && spread_variance (&faster, &certain) > limit * limit && certain
      && (again = divide (&faster)))
    again += cut;
  f->classes = again ? 3 : 2;
  if (again)
    {
      set_level (f, SP_SLOW, g, 0, MIN (cut, again));
      set_level (f, SP_MEDIUM, g, MIN (cut, again), MAX (cut, again));
      set_level (f, SP_FAST, g, MAX (cut, again), g->count);
      return;
    }
  set_level (f, SP_FAST, g, cut, g->count);
  step = f->level[SP_FAST] - mean_of (g->mean, cut);
  set_level (f, SP_SLOW, g, 0, step < slow_distance ? 0 : cut);
  set_level (f, SP_MEDIUM, g, 0, step < slow_distance ? cut : 0);
}

/* G without the few slowest and fastest workers: a single one whose runs
   happened to take long does not make a fleet uneven.  */
static struct group
trim (const struct group *g)
{
  int drop = g->count / TRIM_DIVISOR + 1;

  if (g->count < 2 * drop)
    return *g;
  return (struct group){ g->mean + drop, g->count - 2 * drop, g->error };
}

/* Estimates the fleet's centre, its spread and its classes.  */
static void
estimate_fleet (struct sp_fleet *f, struct sp_worker *const *workers, int n)
{
  struct group g = { .mean = g_new (double, n + 1) }, trimmed;
  double limit = f->is_uneven ? even_below : uneven_above;
  int certain;

  for (int i = 0; i < n; i++)
    if (is_comparable (workers[i]))
      {
        g.mean[g.count++] = workers[i]->mean;
        g.error += error_of (f, workers[i]);
      }
  g.error /= MAX (g.count, 1);
  f->measured = g.count;
  f->centre = g.count ? (float)median (g.mean, g.count) : 0;
  trimmed = trim (&g);
  f->spread = (float)sqrt (spread_variance (&trimmed, &certain));
  f->is_uneven = f->spread > limit && certain;
  if (f->is_uneven)
    set_levels (f, &trimmed);
  f->is_uneven &= f->classes > 1;
  if (!f->is_uneven)
    f->classes = 1;
  g_free (g.mean);
}

/* The class whose level is the nearest to W's mean.  Another one than its
   current class must be nearer by the margin.  */
static enum sp_class
nearest_class (const struct sp_fleet *f, const struct sp_worker *w)
{
  enum sp_class best = SP_FAST;
  double least = INFINITY;

  for (enum sp_class k = SP_FAST; k <= SP_SLOW; k++)
    {
      double distance = fabs (w->mean - f->level[k]);

      if (k == w->class)
        distance -= 2 * class_margin;
      if (distance >= least)
        continue;
      best = k;
      least = distance;
    }
  return best;
}

/* The class to which W belongs with MIN_PROBABILITY by its few samples, or
   SP_UNKNOWN.  */
static enum sp_class
probable_class (const struct sp_fleet *f, const struct sp_worker *w)
{
  double sum = outlier_density, best = 0, error = error_of (f, w);
  enum sp_class class = SP_UNKNOWN;

  for (enum sp_class k = SP_FAST; k <= SP_SLOW; k++)
    {
      double distance = w->mean - f->level[k], density;

      if (isinf (distance))
        continue;
      density = f->share[k] / sqrt (2 * G_PI * error)
                * exp (-distance * distance / (2 * error));
      sum += density;
      if (density <= best)
        continue;
      best = density;
      class = k;
    }
  return best > sum * min_probability ? class : SP_UNKNOWN;
}

static enum sp_class
class_of (const struct sp_fleet *f, const struct sp_worker *w)
{
  if (!f->is_uneven || !w->inliers)
    return SP_UNKNOWN;
  return w->inliers < MIN_SAMPLES ? probable_class (f, w)
                                  : nearest_class (f, w);
}

/* Sets W's class, its speed, and the speed for the comparison of siblings,
   which is drawn towards the centre by its uncertainty until it has a
   class.  */
static void
classify (struct sp_fleet *f, struct sp_worker *w)
{
  w->speed = 1;
  w->log_speed = 0;
  w->class = class_of (f, w);
  if (w->class != SP_UNKNOWN)
    {
      w->log_speed = f->level[w->class] - f->centre;
      w->speed = (float)exp (f->level[w->class] - f->level[SP_FAST]);
    }
  else if (w->inliers)
    w->log_speed = (float)((w->mean - f->centre) * sp_confidence (f, w));
  f->workers[w->class]++;
}

void
sp_update (struct sp_fleet *f, struct sp_worker *const *workers, int n,
           int64_t now)
{
  for (int i = 0; i < n; i++)
    {
      drop_old_samples (workers[i], now);
      if (has_changed (workers[i]))
        keep_latest (workers[i], CHANGE_SAMPLES);
      average_samples (workers[i], now);
    }
  estimate_noise (f, workers, n);
  estimate_fleet (f, workers, n);
  memset (f->workers, 0, sizeof f->workers);
  for (int i = 0; i < n; i++)
    classify (f, workers[i]);
}

double
sp_confidence (const struct sp_fleet *f, const struct sp_worker *w)
{
  double variance = f->spread * f->spread;

  if (!w->inliers || variance <= 0)
    return 0;
  return variance / (variance + error_of (f, w));
}

int64_t
sp_age_ms (const struct sp_worker *w, int64_t now)
{
  return w->samples ? now - w->sample[w->samples - 1].at_ms : -1;
}
