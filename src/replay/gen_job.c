#include <gsl/gsl_randist.h>
#include <math.h>

#include "gen.h"

enum
{
  MEDIAN_URGENT_MS = 1000, /* run time of urgent work */
  MEDIAN_BULK_MS = 20000,  /* run time of bulk work under steady load */
  MEDIAN_RANDOM_MS = 2500, /* run time of any work in a random run */
  MAX_STEADY_MS = 600000,
  MAX_RANDOM_MS = 90000,
  WORKER_SIZE = 8 /* accelerators of a full worker */
};

static int32_t
pick_weighted (struct rp_gen *gen, const int32_t *value, const int *weight,
               int count)
{
  int sum = 0, at;

  for (int i = 0; i < count; i++)
    sum += weight[i];
  at = rp_gen_uniform (gen, sum);
  for (int i = 0; i < count; i++)
    if ((at -= weight[i]) < 0)
      return value[i];
  return value[count - 1];
}

static void
set_declared_time (struct rp_gen *gen, struct tr_submit *s)
{
  double factor = 1;

  if (rp_gen_is_enabled (gen, RP_FAULT_ESTIMATES))
    factor = pow (10, gsl_ran_flat (gen->rng, -1, 1));
  s->spec.declared_ms = (int64_t)ceil ((double)s->actual_ms * factor);
}

/* Splits a gang of SIZE accelerators into tasks as large as a worker allows,
   or at random into smaller ones.  SIZE 0 is one task with a slot only.  */
static void
shape_gang (struct rp_gen *gen, struct tr_submit *s, int32_t size)
{
  int32_t each = MIN (size, WORKER_SIZE);

  while (each > 1 && rp_gen_chance_per_mille (gen, 300))
    each /= 2;
  s->spec.per_task = each;
  s->spec.tasks = each ? size / each : 1;
}

static void
init_job (struct rp_gen *gen, struct tr_submit *s, enum dc_class class)
{
  *s = (struct tr_submit){ 0 };
  s->spec.account = (uint32_t)rp_gen_uniform (gen, (int)gen->config.accounts);
  s->spec.class = class;
  s->spec.repeatable = class == DC_BULK || rp_gen_chance_per_mille (gen, 800);
  s->spec.preemptible = class == DC_BULK;
}

/* Fills S with a job of a steady load.  */
static void
steady_job (struct rp_gen *gen, struct tr_submit *s)
{
  static const int32_t urgent_size[] = { 0, 1, 2, 4 };
  static const int urgent_weight[] = { 30, 40, 20, 10 };
  static const int32_t size[] = { 1, 2, 4, 8, 16, 32 };
  static const int small_weight[] = { 40, 28, 18, 11, 2, 1 };
  static const int large_weight[] = { 20, 18, 20, 26, 11, 5 };
  int large = gen->config.large_gangs;
  int urgent = rp_gen_chance_per_mille (gen, large ? 600 : 800);

  init_job (gen, s, urgent ? DC_URGENT : DC_BULK);
  if (urgent)
    {
      shape_gang (gen, s, pick_weighted (gen, urgent_size, urgent_weight, 4));
      s->actual_ms
          = rp_gen_duration_ms (gen, MEDIAN_URGENT_MS, 1, MAX_STEADY_MS);
    }
  else
    {
      shape_gang (
          gen, s,
          pick_weighted (gen, size, large ? large_weight : small_weight, 6));
      s->actual_ms
          = rp_gen_duration_ms (gen, MEDIAN_BULK_MS, 1, MAX_STEADY_MS);
    }
  set_declared_time (gen, s);
}

static void
random_job (struct rp_gen *gen, struct tr_submit *s)
{
  static const int32_t tasks[] = { 1, 2, 3, 4, 8 };
  static const int tasks_weight[] = { 50, 20, 8, 12, 10 };
  static const int32_t per_task[] = { 0, 1, 2, 3, 4, 8 };
  static const int per_task_weight[] = { 25, 30, 15, 5, 15, 10 };

  init_job (gen, s, rp_gen_chance_per_mille (gen, 400) ? DC_URGENT : DC_BULK);
  s->spec.tasks = pick_weighted (gen, tasks, tasks_weight, 5);
  s->spec.per_task = pick_weighted (gen, per_task, per_task_weight, 6);
  s->spec.preemptible ^= rp_gen_chance_per_mille (gen, 150);
  s->spec.repeatable ^= rp_gen_chance_per_mille (gen, 150);
  s->actual_ms
      = rp_gen_duration_ms (gen, MEDIAN_RANDOM_MS, 1.2, MAX_RANDOM_MS);
  if (rp_gen_is_enabled (gen, RP_FAULT_IMPOSSIBLE)
      && rp_gen_chance_per_mille (gen, 10))
    s->spec.per_task = 9 + rp_gen_uniform (gen, 100);
  else if (rp_gen_is_enabled (gen, RP_FAULT_IMPOSSIBLE)
           && rp_gen_chance_per_mille (gen, 5))
    s->spec.tasks = (int32_t)gen->slots + 1 + rp_gen_uniform (gen, 9000);
  if (rp_gen_is_enabled (gen, RP_FAULT_JOB_FAILS))
    s->fails = rp_gen_chance_per_mille (gen, 20);
  set_declared_time (gen, s);
}

void
rp_gen_job (struct rp_gen *gen, struct tr_submit *submit)
{
  if (gen->config.load_percent)
    steady_job (gen, submit);
  else
    random_job (gen, submit);
}

void
rp_gen_small_job (struct rp_gen *gen, struct tr_submit *submit)
{
  init_job (gen, submit,
            rp_gen_chance_per_mille (gen, 500) ? DC_URGENT : DC_BULK);
  submit->spec.tasks = 1;
  submit->spec.per_task = rp_gen_uniform (gen, 2);
  submit->actual_ms
      = rp_gen_duration_ms (gen, MEDIAN_URGENT_MS, 1, MAX_RANDOM_MS);
  set_declared_time (gen, submit);
}

void
rp_gen_large_job (struct rp_gen *gen, struct tr_submit *submit)
{
  init_job (gen, submit, DC_BULK);
  submit->spec.tasks = 1 + rp_gen_uniform (gen, 4);
  submit->spec.per_task = WORKER_SIZE;
  submit->actual_ms
      = rp_gen_duration_ms (gen, MEDIAN_RANDOM_MS, 1, MAX_RANDOM_MS);
  set_declared_time (gen, submit);
}
