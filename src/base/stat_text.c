#include <stdio.h>
#include <string.h>

#include "base/stat.h"

static void
write_histogram (FILE *f, const struct st_series *s, const struct st_merged *m)
{
  const char *comma = *s->labels ? "," : "";
  double cumulative = 0;

  for (int i = 0; i < ST_BUCKETS; i++)
    {
      cumulative += m->bucket[i];
      if (m->bucket[i] > 0)
        fprintf (f, "%s_bucket{%s%sle=\"%.6f\"} %.0f\n", s->name, s->labels,
                 comma, st_bucket_end (i) / 1e6, cumulative);
    }
  fprintf (f, "%s_bucket{%s%sle=\"+Inf\"} %lld\n", s->name, s->labels, comma,
           (long long)m->value);
  fprintf (f, "%s_sum{%s} %.6f\n", s->name, s->labels,
           (double)m->sum_us / 1e6);
  fprintf (f, "%s_count{%s} %lld\n", s->name, s->labels, (long long)m->value);
}

const char *
st_kind_name (enum st_kind kind)
{
  switch (kind)
    {
    case ST_COUNTER:
      return "counter";
    case ST_GAUGE:
      return "gauge";
    case ST_HISTOGRAM:
      return "histogram";
    }
  return "untyped";
}

/* Writes the type line and all series with the name of series FIRST, which is
   the first of that name.  */
static void
write_family (FILE *f, struct st_registry *reg, int first, int count)
{
  const struct st_series *head = &reg->series[first];
  struct st_merged m;

  fprintf (f, "# TYPE %s %s\n", head->name, st_kind_name (head->kind));
  for (int i = first; i < count; i++)
    {
      const struct st_series *s = &reg->series[i];

      if (strcmp (s->name, head->name) != 0)
        continue;
      st_merge (reg, i, &m);
      if (s->kind == ST_HISTOGRAM)
        write_histogram (f, s, &m);
      else
        fprintf (f, "%s{%s} %lld\n", s->name, s->labels, (long long)m.value);
    }
}

static int
is_first (const struct st_registry *reg, int i)
{
  for (int j = 0; j < i; j++)
    if (!strcmp (reg->series[j].name, reg->series[i].name))
      return 0;
  return 1;
}

char *
st_text (struct st_registry *reg)
{
  char *text = NULL;
  size_t size;
  FILE *f = open_memstream (&text, &size);
  int count;

  if (!f)
    return NULL;
  pthread_mutex_lock (&reg->lock);
  count = reg->count;
  pthread_mutex_unlock (&reg->lock);
  for (int i = 0; i < count; i++)
    if (is_first (reg, i))
      write_family (f, reg, i, count);
  fclose (f);
  return text;
}
