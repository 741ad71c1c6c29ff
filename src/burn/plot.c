#include <stdio.h>

#include "burn/burn.h"

enum
{
  PLOT_INTERVALS = 200 /* intervals on the time axis */
};

static int64_t
sample_time_ms (const GPtrArray *samples, guint i)
{
  return json_integer_value (
      json_object_get (g_ptr_array_index (samples, i), "at_ms"));
}

static FILE *
open_file (const char *dir, const char *name, char *reason)
{
  char *path = g_build_filename (dir, name, NULL);
  FILE *f = fopen (path, "w");

  if (!f)
    snprintf (reason, BN_REASON, "%s: cannot open for writing", path);
  g_free (path);
  return f;
}

/* Writes one line per point in time: the seconds since the first sample, then
   for each objective the burn rate over the short time of the first window. */
static void
write_data (FILE *f, const struct bn_objectives *all, const GPtrArray *samples)
{
  int64_t start_ms = sample_time_ms (samples, 0);
  int64_t duration_ms = sample_time_ms (samples, samples->len - 1) - start_ms;
  GArray *steps[BN_MAX_OBJECTIVES];

  for (int i = 0; i < all->objective_count; i++)
    steps[i] = bn_steps (samples, &all->objective[i]);
  for (int p = 0; p <= PLOT_INTERVALS; p++)
    {
      int64_t at = start_ms + duration_ms * p / PLOT_INTERVALS;

      fprintf (f, "%.1f", (double)(at - start_ms) / 1000);
      for (int i = 0; i < all->objective_count; i++)
        {
          struct bn_sum sum
              = bn_sum_steps (steps[i], at - all->window[0].short_ms, at);

          fprintf (f, "\t%.3f", bn_rate (&sum, all->objective[i].target));
        }
      fputc ('\n', f);
    }
  for (int i = 0; i < all->objective_count; i++)
    g_array_free (steps[i], TRUE);
}

static void
write_script (FILE *f, const struct bn_objectives *all)
{
  fprintf (f,
           "set terminal pngcairo size 1000,600\n"
           "set output 'burn.png'\n"
           "set xlabel 'time (s)'\n"
           "set ylabel 'burn rate (1 uses the budget up)'\n"
           "set key outside below\n"
           "set yrange [0:*]\n"
           "plot %g title 'limit' with lines dashtype 2",
           all->window[0].limit);
  for (int i = 0; i < all->objective_count; i++)
    fprintf (f,
             ", \\\n  'burn.tsv' using 1:%d title '%s' with lines linewidth 2",
             i + 2, all->objective[i].name);
  fputc ('\n', f);
}

int
bn_write_plot (const struct bn_objectives *all, const GPtrArray *samples,
               const char *dir, char *reason)
{
  FILE *data, *script;

  if (!samples->len)
    {
      snprintf (reason, BN_REASON, "no samples to plot");
      return BN_EINVAL;
    }
  data = open_file (dir, "burn.tsv", reason);
  if (!data)
    return BN_EIO;
  write_data (data, all, samples);
  fclose (data);
  script = open_file (dir, "burn.gp", reason);
  if (!script)
    return BN_EIO;
  write_script (script, all);
  fclose (script);
  return BN_OK;
}
