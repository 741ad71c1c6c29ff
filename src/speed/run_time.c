/* Run times relative to the declared ones.  */
#include <stdlib.h>
#include <string.h>

#include "skr/speed.h"

enum
{
  LIFE_MS = 600000, /* a ratio without newer runs is not used any more */
  TAIL_PERCENT = 90
};

/* Limits of one run's ratio, against progress that is listed wrongly.  */
static const double min_ratio = 0.05, max_ratio = 20;

static int
by_value (const void *a, const void *b)
{
  const float *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

void
rt_observe (struct rt_ratio *r, double ratio, int64_t now)
{
  float sorted[RT_SAMPLES];

  if (ratio < min_ratio || ratio > max_ratio)
    return;
  r->value[r->next] = (float)ratio;
  r->next = (r->next + 1) % RT_SAMPLES;
  r->count += r->count < RT_SAMPLES;
  r->at_ms = now;
  memcpy (sorted, r->value, sizeof sorted);
  qsort (sorted, (size_t)r->count, sizeof *sorted, by_value);
  r->median = sorted[r->count / 2];
  r->tail = sorted[(r->count - 1) * TAIL_PERCENT / 100];
}

static int
is_usable (const struct rt_ratio *r, int64_t now)
{
  return r->count >= RT_MIN_SAMPLES && now - r->at_ms < LIFE_MS;
}

double
rt_median (const struct rt_ratio *r, int64_t now)
{
  return is_usable (r, now) ? r->median : 1;
}

double
rt_tail (const struct rt_ratio *r, int64_t now)
{
  return is_usable (r, now) ? r->tail : 1;
}
