/* Compares the policies on the same random load: 50 workers of 8 accelerators
   and 8 slots, 8 to a rack, in 3 failure domains.  */
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_fleet.h"
#include "fake_idle_causes.h"

enum
{
  WORKERS = 50,
  ACCOUNTS = 4,
  RUN_MS = 7200000,
  MAX_GROUPS = 64
};

struct group
{
  int32_t size, unused;
};

struct run
{
  struct ff_fleet f;
  struct group group[ACCOUNTS][MAX_GROUPS];
  int groups[ACCOUNTS];
  double fragmented, used, total;  /* accelerator-ms */
  double idle_by_cause[FS_CAUSES]; /* of FRAGMENTED */
  int8_t *within;                  /* urgent jobs: 1 + index of the guaranteed
                                      group that holds the job; -1 once it has
                                      ended, 0 if beyond the guarantee */
};

static int32_t
accelerators_of (const struct ff_job *j)
{
  return j->spec.tasks * j->spec.per_task;
}

/* Adds the time up to AT_MS to the sums.  */
static void
accumulate (struct ff_fleet *f, int64_t at_ms)
{
  struct run *r = f->arg;
  double dt = (double)(at_ms - f->now_ms);
  int32_t used = 0;
  int fragmented_now = 0;

  for (uint32_t i = 0; i < f->jobs; i++)
    if (f->job[i].state == FF_RUNNING || f->job[i].state == FF_CHECKPOINTING)
      used += accelerators_of (&f->job[i]);
  for (uint32_t i = 0; i < f->jobs && !fragmented_now; i++)
    fragmented_now = f->job[i].state == FF_WAITING
                     && accelerators_of (&f->job[i]) > 0
                     && accelerators_of (&f->job[i]) <= WORKERS * 8 - used;
  r->used += used * dt;
  r->total += WORKERS * 8 * dt;
  if (!fragmented_now)
    return;
  r->fragmented += (WORKERS * 8 - used) * dt;
  fs_add_idle (f->dc, dt, r->idle_by_cause);
}

static void
release_groups (struct run *r)
{
  for (uint32_t i = 0; i < r->f.jobs; i++)
    if (r->within[i] > 0 && r->f.job[i].state == FF_DONE)
      {
        r->group[r->f.job[i].spec.account][r->within[i] - 1].unused
            += accelerators_of (&r->f.job[i]);
        r->within[i] = -1;
      }
}

static void
assign_group (struct run *r, uint32_t id)
{
  const struct ff_job *j = &r->f.job[id];
  struct group *g = r->group[j->spec.account];
  int best = -1;

  release_groups (r);
  for (int i = 0; i < r->groups[j->spec.account]; i++)
    if (g[i].unused >= accelerators_of (j)
        && (best < 0 || g[i].unused < g[best].unused))
      best = i;
  if (best < 0)
    return;
  g[best].unused -= accelerators_of (j);
  r->within[id] = (int8_t)(best + 1);
}

static void
set_up (struct run *r, const struct dc_config *config)
{
  static const struct dc_shape shape[ACCOUNTS]
      = { { 8, 10 }, { 4, 12 }, { 16, 2 }, { 2, 16 } };

  memset (r, 0, sizeof *r);
  ff_init (&r->f, config);
  r->f.arg = r;
  r->within = calloc (FF_MAX_JOBS, 1);
  for (uint32_t w = 0; w < WORKERS; w++)
    ff_worker (&r->f, w, w / 8, w / 8 / 3, 8, 8);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    {
      ff_plan (&r->f, a, shape[a].size, shape[a].count);
      for (int i = 0; i < shape[a].count; i++)
        r->group[a][i] = (struct group){ shape[a].size, shape[a].size };
      r->groups[a] = shape[a].count;
    }
  r->f.before_advance = accumulate;
}

static struct dc_job_spec
random_job (gsl_rng *g, int urgent, int64_t *actual_ms)
{
  static const int urgent_n[] = { 1, 1, 2, 2, 4, 8 };
  static const int bulk_n[] = { 1, 1, 2, 4, 4, 8, 8, 16, 32 };
  struct dc_job_spec spec = { .repeatable = 1 };
  int n;

  spec.class = urgent ? DC_URGENT : DC_BULK;
  spec.preemptible = !urgent;
  spec.account = (uint32_t)gsl_rng_uniform_int (g, ACCOUNTS);
  n = urgent ? urgent_n[gsl_rng_uniform_int (g, 6)]
             : bulk_n[gsl_rng_uniform_int (g, 9)];
  spec.per_task = n >= 16 ? 8 : 1 << gsl_rng_uniform_int (g, 3);
  if (spec.per_task > n)
    spec.per_task = n;
  spec.tasks = n / spec.per_task;
  *actual_ms = 1
               + (int64_t)(urgent ? gsl_ran_exponential (g, 10000)
                                  : gsl_ran_lognormal (g, 11.2, 1.0));
  spec.declared_ms
      = 1 + (int64_t)((double)*actual_ms * gsl_ran_lognormal (g, 0, 1.0));
  return spec;
}

static int
by_value (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

static int64_t
quantile (int64_t *v, size_t n, double q)
{
  if (n == 0)
    return -1;
  qsort (v, n, sizeof *v, by_value);
  return v[(size_t)((double)(n - 1) * q)];
}

enum
{
  WITHIN,
  BEYOND,
  BULK
};

static int
report_group (const struct run *r, uint32_t i)
{
  if (r->f.job[i].spec.class == DC_BULK)
    return BULK;
  return r->within[i] ? WITHIN : BEYOND;
}

/* Stores waits of urgent jobs or completion times of bulk jobs in V and
   returns their number.  A job that has not started or ended counts with the
   time until now.  */
static size_t
collect_times (const struct run *r, int kind, int64_t *v)
{
  size_t n = 0;

  for (uint32_t i = 0; i < r->f.jobs; i++)
    {
      const struct ff_job *j = &r->f.job[i];

      if (report_group (r, i) != kind)
        continue;
      if (kind == BULK)
        v[n++]
            = (j->state == FF_DONE ? j->end_ms : r->f.now_ms) - j->submit_ms;
      else
        v[n++] = (j->starts ? j->first_ms : r->f.now_ms) - j->submit_ms;
    }
  return n;
}

static void
report (struct run *r, const char *name, double load)
{
  int64_t *v = malloc (r->f.jobs * sizeof *v);
  size_t n;
  long preempted = 0, starts = 0;

  for (uint32_t i = 0; i < r->f.jobs; i++)
    {
      preempted += r->f.job[i].preempted;
      starts += r->f.job[i].starts;
    }
  printf ("%-10s %3.0f%%", name, load * 100);
  n = collect_times (r, WITHIN, v);
  printf (" | %7lld %7lld", (long long)quantile (v, n, 0.5),
          (long long)quantile (v, n, 1));
  printf (" %7lld", (long long)quantile (v, n, 0.9));
  n = collect_times (r, BEYOND, v);
  printf (" | %7lld %7lld", (long long)quantile (v, n, 0.5),
          (long long)quantile (v, n, 1));
  n = collect_times (r, BULK, v);
  printf (" | %8lld %8lld", (long long)quantile (v, n, 0.5),
          (long long)quantile (v, n, 0.99));
  printf (" | %5.2f%% %5.1f%% | %ld %ld\n", 100 * r->fragmented / r->total,
          100 * r->used / r->total, preempted, starts);
  for (int i = 0; i < FS_CAUSES; i++)
    printf ("%s%s %.2f%%", i ? ", " : "    ", fs_name[i],
            100 * r->idle_by_cause[i] / r->total);
  printf ("\n");
  free (v);
}

static int
run_policy (const char *name, struct dc_config config, double load,
            unsigned long seed)
{
  gsl_rng *g = gsl_rng_alloc (gsl_rng_mt19937);
  struct run *r = malloc (sizeof *r);
  double urgent_work = 3.0 * 10000, bulk_work = 8.44 * 120600;
  double urgent_rate = 0.1 * load * WORKERS * 8 / urgent_work;
  double bulk_rate = 0.9 * load * WORKERS * 8 / bulk_work;
  int64_t next[2] = { 0, 0 };
  int error;

  gsl_rng_set (g, seed);
  set_up (r, &config);
  while (r->f.now_ms < RUN_MS && !r->f.error)
    {
      int urgent = next[0] < next[1];
      int64_t at = next[!urgent], actual;
      struct dc_job_spec spec = random_job (g, urgent, &actual);
      uint32_t id;

      ff_run (&r->f, at);
      id = ff_submit (&r->f, spec, actual);
      if (urgent)
        assign_group (r, id);
      next[!urgent] += 1
                       + (int64_t)gsl_ran_exponential (
                           g, 1 / (urgent ? urgent_rate : bulk_rate));
    }
  error = r->f.error;
  if (error)
    printf ("%s: error %d %s\n", name, error, dc_broken_invariant (r->f.dc));
  report (r, name, load);
  ff_fini (&r->f);
  free (r->within);
  free (r);
  gsl_rng_free (g);
  return error;
}

int
main (int argc, char **argv)
{
  unsigned long seed = argc > 1 ? strtoul (argv[1], NULL, 10) : 1;
  double wc = argc > 2 ? atof (argv[2]) : 0;
  double wf = argc > 3 ? atof (argv[3]) : 0;
  int error = 0;

  printf ("%15s | urgent within (p50 max p90) | beyond (p50 max) | bulk "
          "completion (p50 p99) | frag, used | preempted, starts\n",
          "policy, load");
  for (int percent = 85; percent <= 95; percent += 5)
    {
      double load = percent / 100.0;

      error |= run_policy ("fifo", (struct dc_config){ .policy = 1 }, load,
                           seed);
      error |= run_policy ("best-fit", (struct dc_config){ .policy = 2 }, load,
                           seed);
      error |= run_policy ("default",
                           (struct dc_config){ .weight_completion = wc,
                                               .weight_fragmentation = wf },
                           load, seed);
    }
  return error ? EXIT_FAILURE : EXIT_SUCCESS;
}
