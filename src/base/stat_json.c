#include <glib.h>
#include <jansson.h>
#include <math.h>

#include "base/stat.h"

/* Converts labels of the form a="b",c="d".  Values contain neither quotes nor
   commas.  */
static json_t *
labels_to_json (const char *labels)
{
  json_t *o = json_object ();
  char **pair = g_strsplit (labels, ",", -1);

  for (int i = 0; pair[i]; i++)
    {
      char **part = g_strsplit_set (pair[i], "=\"", -1);

      if (g_strv_length (part) >= 3)
        json_object_set_new (o, part[0], json_string (part[2]));
      g_strfreev (part);
    }
  g_strfreev (pair);
  return o;
}

static json_t *
buckets_to_json (const struct st_merged *m)
{
  json_t *list = json_array ();

  for (int i = 0; i < ST_BUCKETS; i++)
    if (m->bucket[i] > 0)
      json_array_append_new (
          list, json_pack ("[I,I]", (json_int_t)ceil (st_bucket_end (i)),
                           (json_int_t)m->bucket[i]));
  return list;
}

static json_t *
series_to_json (const struct st_series *s, const struct st_merged *m)
{
  json_t *o
      = json_pack ("{s:s,s:o,s:s}", "name", s->name, "labels",
                   labels_to_json (s->labels), "kind", st_kind_name (s->kind));

  if (s->kind != ST_HISTOGRAM)
    {
      json_object_set_new (o, "value", json_integer (m->value));
      return o;
    }
  json_object_set_new (o, "count", json_integer (m->value));
  json_object_set_new (o, "sum_us", json_integer (m->sum_us));
  json_object_set_new (o, "buckets", buckets_to_json (m));
  return o;
}

json_t *
st_json (struct st_registry *reg)
{
  json_t *list = json_array ();
  struct st_merged m;
  int count;

  pthread_mutex_lock (&reg->lock);
  count = reg->count;
  pthread_mutex_unlock (&reg->lock);
  for (int i = 0; i < count; i++)
    {
      st_merge (reg, i, &m);
      json_array_append_new (list, series_to_json (&reg->series[i], &m));
    }
  return list;
}
