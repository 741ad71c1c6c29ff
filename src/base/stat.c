#include <gsl/gsl_histogram.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/stat.h"
#include "skr/base.h"

struct st_cell
{
  int64_t value;    /* counter, gauge, or number of observations */
  int64_t sum_us;   /* sum of a histogram's observations */
  gsl_histogram *h; /* created by the first observation */
};

double
st_bucket_end (int i)
{
  return ST_FIRST_BUCKET_END_US
         * pow (2.0, (double)i / ST_BUCKETS_PER_DOUBLING);
}

static gsl_histogram *
new_histogram (void)
{
  double range[ST_BUCKETS + 1];
  gsl_histogram *h = gsl_histogram_alloc (ST_BUCKETS);

  if (!h)
    return NULL;
  range[0] = 0;
  for (int i = 0; i < ST_BUCKETS; i++)
    range[i + 1] = st_bucket_end (i);
  gsl_histogram_set_ranges (h, range, ST_BUCKETS + 1);
  return h;
}

void
st_init (struct st_registry *reg)
{
  memset (reg, 0, sizeof *reg);
  pthread_mutex_init (&reg->lock, NULL);
}

void
st_fini (struct st_registry *reg)
{
  for (int s = 0; s < reg->shards; s++)
    {
      for (int i = 0; i < ST_MAX_SERIES; i++)
        if (reg->shard[s].cell[i].h)
          gsl_histogram_free (reg->shard[s].cell[i].h);
      free (reg->shard[s].cell);
      pthread_mutex_destroy (&reg->shard[s].lock);
    }
  pthread_mutex_destroy (&reg->lock);
}

int
st_attach (struct st_registry *reg)
{
  struct st_cell *cell = calloc (ST_MAX_SERIES, sizeof *cell);
  int handle = BS_EFULL;

  if (!cell)
    return BS_ENOMEM;
  pthread_mutex_lock (&reg->lock);
  if (reg->shards < ST_MAX_THREADS)
    {
      handle = reg->shards;
      reg->shard[handle].cell = cell;
      pthread_mutex_init (&reg->shard[handle].lock, NULL);
      reg->shards++;
    }
  pthread_mutex_unlock (&reg->lock);
  if (handle < 0)
    free (cell);
  return handle;
}

static int
find_series (const struct st_registry *reg, const char *name,
             const char *labels)
{
  for (int i = 0; i < reg->count; i++)
    if (!strcmp (reg->series[i].name, name)
        && !strcmp (reg->series[i].labels, labels))
      return i;
  return BS_EFULL;
}

int
st_series (struct st_registry *reg, enum st_kind kind, const char *name,
           const char *labels)
{
  int i;

  pthread_mutex_lock (&reg->lock);
  i = find_series (reg, name, labels);
  if (i < 0 && reg->count < ST_MAX_SERIES)
    {
      struct st_series *s = &reg->series[reg->count];

      i = reg->count;
      s->kind = kind;
      snprintf (s->name, sizeof s->name, "%s", name);
      snprintf (s->labels, sizeof s->labels, "%s", labels);
      reg->count++;
    }
  pthread_mutex_unlock (&reg->lock);
  return i;
}

static struct st_cell *
lock_cell (struct st_registry *reg, int shard, int series)
{
  if (shard < 0 || shard >= ST_MAX_THREADS || series < 0
      || series >= ST_MAX_SERIES || !reg->shard[shard].cell)
    return NULL;
  pthread_mutex_lock (&reg->shard[shard].lock);
  return &reg->shard[shard].cell[series];
}

void
st_add (struct st_registry *reg, int shard, int series, int64_t n)
{
  struct st_cell *c = lock_cell (reg, shard, series);

  if (!c)
    return;
  c->value += n;
  pthread_mutex_unlock (&reg->shard[shard].lock);
}

void
st_set (struct st_registry *reg, int shard, int series, int64_t value)
{
  struct st_cell *c = lock_cell (reg, shard, series);

  if (!c)
    return;
  c->value = value;
  pthread_mutex_unlock (&reg->shard[shard].lock);
}

void
st_observe_us (struct st_registry *reg, int shard, int series, int64_t us)
{
  struct st_cell *c = lock_cell (reg, shard, series);

  if (!c)
    return;
  if (!c->h)
    c->h = new_histogram ();
  if (us < 0)
    us = 0;
  c->value++;
  c->sum_us += us;
  if (c->h && (double)us < c->h->range[ST_BUCKETS])
    gsl_histogram_increment (c->h, (double)us);
  pthread_mutex_unlock (&reg->shard[shard].lock);
}

void
st_merge (struct st_registry *reg, int series, struct st_merged *out)
{
  memset (out, 0, sizeof *out);
  for (int s = 0; s < ST_MAX_THREADS; s++)
    {
      struct st_cell *c = lock_cell (reg, s, series);

      if (!c)
        continue;
      out->value += c->value;
      out->sum_us += c->sum_us;
      for (size_t i = 0; c->h && i < ST_BUCKETS; i++)
        out->bucket[i] += gsl_histogram_get (c->h, i);
      pthread_mutex_unlock (&reg->shard[s].lock);
    }
}

int64_t
st_value (struct st_registry *reg, int series)
{
  struct st_merged m;

  st_merge (reg, series, &m);
  return m.value;
}

int64_t
st_quantile_us (struct st_registry *reg, int series, double q)
{
  struct st_merged m;
  double cumulative = 0;

  st_merge (reg, series, &m);
  if (!m.value)
    return -1;
  for (int i = 0; i < ST_BUCKETS; i++)
    {
      cumulative += m.bucket[i];
      if (cumulative >= q * (double)m.value)
        return (int64_t)ceil (st_bucket_end (i));
    }
  return (int64_t)ceil (st_bucket_end (ST_BUCKETS));
}
