#include <stdio.h>
#include <string.h>

#include "burn/burn.h"

const char *const bn_time_part_names[BN_TIME_PARTS]
    = { "queue", "store", "upstream", "reclaim" };

static void
free_sample (gpointer sample)
{
  json_decref (sample);
}

static int64_t
sample_time_ms (const json_t *sample)
{
  return json_integer_value (json_object_get (sample, "at_ms"));
}

static gint
compare_samples (gconstpointer a, gconstpointer b)
{
  int64_t x = sample_time_ms (*(json_t *const *)a),
          y = sample_time_ms (*(json_t *const *)b);

  return (x > y) - (x < y);
}

int
bn_read_samples (const char *path, GPtrArray **samples, char *reason)
{
  FILE *f = strcmp (path, "-") != 0 ? fopen (path, "r") : stdin;
  json_error_t error;
  json_t *line;
  int code = BN_OK;

  if (!f)
    {
      snprintf (reason, BN_REASON, "%s: cannot open for reading", path);
      return BN_EIO;
    }
  *samples = g_ptr_array_new_with_free_func (free_sample);
  while ((line = json_loadf (f, JSON_DISABLE_EOF_CHECK, &error)))
    g_ptr_array_add (*samples, line);
  if (!feof (f))
    {
      snprintf (reason, BN_REASON, "%s: sample %u: %s", path,
                (*samples)->len + 1, error.text);
      code = BN_EINVAL;
    }
  if (f != stdin)
    fclose (f);
  g_ptr_array_sort (*samples, compare_samples);
  return code;
}

static const char *
label (const json_t *series, const char *name)
{
  const char *s = json_string_value (
      json_object_get (json_object_get (series, "labels"), name));

  return s ? s : "";
}

static int
matches_pattern (const char *pattern, const char *text)
{
  return *pattern == BN_ANY || !strcmp (pattern, text);
}

static int
is_named (const json_t *series, const char *name)
{
  const char *s = json_string_value (json_object_get (series, "name"));

  return s && !strcmp (s, name);
}

/* Adds a counter of finished requests or jobs: those whose label "end" is
   BAD_OUTCOME are bad, all others good.  */
static void
add_outcomes (struct bn_step *c, const json_t *series, const char *bad_outcome)
{
  double n = json_number_value (json_object_get (series, "value"));

  if (!strcmp (label (series, "end"), bad_outcome))
    c->bad += n;
  else
    c->good += n;
}

/* Adds a latency histogram.  A bucket is good only when its upper bound is
   within WITHIN_MS.  */
static void
add_histogram (struct bn_step *c, const json_t *series, int64_t within_ms)
{
  double total = json_number_value (json_object_get (series, "count"));
  double good = 0;
  size_t i;
  json_t *b;

  json_array_foreach (json_object_get (series, "buckets"), i, b)
  {
    if (json_integer_value (json_array_get (b, 0)) <= within_ms * 1000)
      good += json_number_value (json_array_get (b, 1));
  }
  c->good += good;
  c->bad += total - good;
}

static void
add_series (struct bn_step *c, const struct bn_objective *o,
            const json_t *series)
{
  switch (o->measure)
    {
    case BN_KNOWN_OUTCOME:
      if (is_named (series, "skr_requests_total")
          || is_named (series, "skr_jobs_total"))
        add_outcomes (c, series, "unknown");
      break;
    case BN_NOT_REFUSED:
      if (is_named (series, "skr_requests_total"))
        add_outcomes (c, series, "not_run");
      break;
    case BN_ANSWER_TIME:
      if (is_named (series, "skr_request_seconds"))
        add_histogram (c, series, o->within_ms);
      break;
    case BN_START_TIME:
      if (is_named (series, "skr_job_start_seconds"))
        add_histogram (c, series, o->within_ms);
      break;
    case BN_COMPLETION_TIME:
      if (is_named (series, "skr_job_completion_seconds"))
        add_histogram (c, series, o->within_ms);
      break;
    }
  if (!is_named (series, "skr_part_seconds"))
    return;
  for (int p = 0; p < BN_TIME_PARTS; p++)
    if (!strcmp (label (series, "part"), bn_time_part_names[p]))
      c->part_us[p] += json_number_value (json_object_get (series, "sum_us"));
}

/* Sums the counters of one sample by account.  Returns a table from the name
   to the sums, a struct bn_step.  */
static GHashTable *
sum_sample (const json_t *sample, const struct bn_objective *o)
{
  GHashTable *accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  size_t i;
  json_t *series;

  json_array_foreach (json_object_get (sample, "series"), i, series)
  {
    const char *account = label (series, "account");
    struct bn_step *c;

    if (!*account || !matches_pattern (o->account, account)
        || !matches_pattern (o->class, label (series, "class")))
      continue;
    c = g_hash_table_lookup (accounts, account);
    if (!c)
      {
        c = g_new0 (struct bn_step, 1);
        c->at_ms = sample_time_ms (sample);
        snprintf (c->account, BN_NAME, "%s", account);
        g_hash_table_insert (accounts, c->account, c);
      }
    add_series (c, o, series);
  }
  return accounts;
}

static int
has_fallen (const struct bn_step *now, const struct bn_step *before)
{
  int fell = now->good < before->good || now->bad < before->bad;

  for (int p = 0; p < BN_TIME_PARTS; p++)
    fell |= now->part_us[p] < before->part_us[p];
  return fell;
}

/* Returns 1 when a counter fell or an account is missing.  A restart resets
   all counters of a VM at once, but some may have risen above their old
   values since, so one that fell is evidence for all.  */
static int
was_restarted (GHashTable *now, GHashTable *before)
{
  GHashTableIter it;
  gpointer key, value;

  g_hash_table_iter_init (&it, before);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const struct bn_step *n = g_hash_table_lookup (now, key);

      if (!n || has_fallen (n, value))
        return 1;
    }
  return 0;
}

/* Appends the increase from BEFORE to NOW of each account.  The first sample
   of a VM (BEFORE is NULL) adds no step, since nothing is known of the time
   before it.  */
static void
add_steps (GArray *steps, GHashTable *now, GHashTable *before)
{
  int restarted = before && was_restarted (now, before);
  GHashTableIter it;
  gpointer key, value;

  g_hash_table_iter_init (&it, now);
  while (before && g_hash_table_iter_next (&it, &key, &value))
    {
      struct bn_step zero = { 0 }, step = *(const struct bn_step *)value;
      const struct bn_step *b
          = restarted ? NULL : g_hash_table_lookup (before, key);

      b = b ? b : &zero;
      step.good -= b->good;
      step.bad -= b->bad;
      for (int p = 0; p < BN_TIME_PARTS; p++)
        step.part_us[p] -= b->part_us[p];
      g_array_append_val (steps, step);
    }
}

GArray *
bn_steps (const GPtrArray *samples, const struct bn_objective *o)
{
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct bn_step));
  GHashTable *last = g_hash_table_new_full (
      g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_hash_table_destroy);

  for (guint i = 0; i < samples->len; i++)
    {
      const json_t *sample = g_ptr_array_index (samples, i);
      const char *vm = json_string_value (json_object_get (sample, "vm"));
      GHashTable *now = sum_sample (sample, o);

      vm = vm ? vm : "";
      add_steps (steps, now, g_hash_table_lookup (last, vm));
      g_hash_table_replace (last, (gpointer)vm, now);
    }
  g_hash_table_destroy (last);
  return steps;
}

struct bn_sum
bn_sum_steps (const GArray *steps, int64_t from_ms, int64_t to_ms)
{
  struct bn_sum sum = { 0 };

  for (guint i = 0; i < steps->len; i++)
    {
      const struct bn_step *s = &g_array_index (steps, struct bn_step, i);

      if (s->at_ms <= from_ms || s->at_ms > to_ms)
        continue;
      sum.good += s->good;
      sum.bad += s->bad;
      for (int p = 0; p < BN_TIME_PARTS; p++)
        sum.part_us[p] += s->part_us[p];
    }
  return sum;
}

double
bn_rate (const struct bn_sum *sum, double target)
{
  double total = sum->good + sum->bad;

  return total > 0 ? sum->bad / total / (1 - target) : 0;
}
