#include <stdlib.h>
#include <string.h>

#include "load.h"

enum
{
  OCTAVES = 20,         /* 1 ms to about 17 minutes */
  BINS_PER_OCTAVE = 16, /* of equal width, at most 6 percent of a value */
  BINS = OCTAVES * BINS_PER_OCTAVE
};

static const char *const end_name[LD_END_COUNT]
    = { "lost", "lost", "done", "failed", "not_run", "unsent", "unknown" };
static const char *const digest_name[] = { "none", "ok", "bad" };

/* Creates a histogram whose bins have equal width within each octave.  */
static gsl_histogram *
new_histogram (void)
{
  gsl_histogram *h = gsl_histogram_alloc (BINS);
  double range[BINS + 1];
  double base = 1;

  for (int i = 0; i <= BINS; i++)
    {
      range[i] = base * (1 + (double)(i % BINS_PER_OCTAVE) / BINS_PER_OCTAVE);
      if (i % BINS_PER_OCTAVE == BINS_PER_OCTAVE - 1)
        base *= 2;
    }
  range[0] = 0;
  gsl_histogram_set_ranges (h, range, BINS + 1);
  return h;
}

/* Returns the upper bound of the bin that contains quantile Q.  */
static double
quantile (const gsl_histogram *h, double q)
{
  double target = gsl_histogram_sum (h) * q, sum = 0, lower, upper = 0;

  for (size_t i = 0; i < gsl_histogram_bins (h) && sum < target; i++)
    {
      sum += gsl_histogram_get (h, i);
      gsl_histogram_get_range (h, i, &lower, &upper);
    }
  return upper;
}

static json_t *
latency_summary (const struct ld *ld, int is_job)
{
  gsl_histogram *h = new_histogram ();
  json_t *o;

  for (int i = 0; i < ld->request_count; i++)
    {
      const struct ld_request *r = &ld->requests[i];

      if (r->is_job == is_job && r->end == LD_DONE)
        gsl_histogram_increment (h, (double)(r->ended_ms - r->scheduled_ms));
    }
  o = json_pack ("{s:I, s:f, s:f, s:f}", "done",
                 (json_int_t)gsl_histogram_sum (h), "p50_ms",
                 quantile (h, 0.5), "p99_ms", quantile (h, 0.99), "max_ms",
                 quantile (h, 1));
  gsl_histogram_free (h);
  return o;
}

static void
write_request (FILE *file, const struct ld *ld, const struct ld_request *r)
{
  json_t *o = json_pack (
      "{s:s, s:s, s:s, s:b, s:I, s:I, s:s, s:I, s:s, s:i, s:i}", "key", r->key,
      "account", ld->accounts[r->account].name, "kind",
      r->is_job ? "job" : "call", "repeatable", r->repeatable, "sent_ms",
      (json_int_t)(r->scheduled_ms - ld->started_ms), "ended_ms",
      (json_int_t)(r->ended_ms - ld->started_ms), "end", end_name[r->end],
      "status", (json_int_t)r->status, "digest", digest_name[r->digest_check],
      "attempts", r->attempts, "starts", r->starts);
  char *line = json_dumps (o, JSON_COMPACT);

  if (*r->job_id)
    {
      json_object_set_new (o, "job", json_string (r->job_id));
      free (line);
      line = json_dumps (o, JSON_COMPACT);
    }
  fprintf (file, "%s\n", line);
  free (line);
  json_decref (o);
}

int
ld_write_record (const struct ld *ld)
{
  FILE *file;

  if (!*ld->settings.record)
    return LD_OK;
  file = fopen (ld->settings.record, "w");
  if (!file)
    return LD_EFILE;
  for (int i = 0; i < ld->request_count; i++)
    write_request (file, ld, &ld->requests[i]);
  return fclose (file) ? LD_EFILE : LD_OK;
}

static void
print_latency (const char *name, json_t *o)
{
  if (json_integer_value (json_object_get (o, "done")))
    printf ("%s: p50 %.0f ms, p99 %.0f ms, max %.0f ms\n", name,
            json_real_value (json_object_get (o, "p50_ms")),
            json_real_value (json_object_get (o, "p99_ms")),
            json_real_value (json_object_get (o, "max_ms")));
}

static void
print_text (const struct ld_counters *c, json_t *calls, json_t *jobs)
{
  printf ("sent %d done %d failed %d not_run %d unsent %d unknown %d "
          "unknown_ran %d lost %d doubled %d crossed %d false_refusals %d\n",
          c->sent, c->ends[LD_DONE], c->ends[LD_FAILED], c->ends[LD_NOT_RUN],
          c->ends[LD_UNSENT], c->ends[LD_UNKNOWN], c->unknown_ran, c->lost,
          c->duplicated, c->wrong_answers, c->false_refusals);
  print_latency ("calls", calls);
  print_latency ("jobs", jobs);
}

static void
print_json (const struct ld_counters *c, json_t *calls, json_t *jobs)
{
  json_t *o = json_pack (
      "{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i}", "sent",
      c->sent, "done", c->ends[LD_DONE], "failed", c->ends[LD_FAILED],
      "not_run", c->ends[LD_NOT_RUN], "unsent", c->ends[LD_UNSENT], "unknown",
      c->ends[LD_UNKNOWN], "unknown_ran", c->unknown_ran, "lost", c->lost,
      "doubled", c->duplicated, "crossed", c->wrong_answers, "false_refusals",
      c->false_refusals, "journals", c->journals);
  char *text;

  json_object_set (o, "calls", calls);
  json_object_set (o, "jobs", jobs);
  text = json_dumps (o, JSON_COMPACT);
  puts (text);
  free (text);
  json_decref (o);
}

void
ld_report (const struct ld *ld, const struct ld_counters *count)
{
  json_t *calls = latency_summary (ld, 0), *jobs = latency_summary (ld, 1);

  if (ld->settings.json)
    print_json (count, calls, jobs);
  else
    print_text (count, calls, jobs);
  json_decref (calls);
  json_decref (jobs);
}
