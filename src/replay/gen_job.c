#include <gsl/gsl_randist.h>
#include <math.h>

#include "gen.h"

enum
{
  SHORT_MS = 1000,  /* median run time of urgent work */
  LONG_MS = 20000,  /* of bulk work under steady load */
  RANDOM_MS = 2500, /* of any work in a random run */
  MAX_MS = 600000,
  MAX_RANDOM_MS = 90000,
  WORKER_SIZE = 8 /* accelerators of a full worker */
};

static int32_t
pick (struct rp_gen *gen, const int32_t *value, const int *weight, int count)
{
  int sum = 0, at;

  for (int i = 0; i < count; i++)
    sum += weight[i];
  at = rp_gen_below (gen, sum);
  for (int i = 0; i < count; i++)
    if ((at -= weight[i]) < 0)
      return value[i];
  return value[count - 1];
}

static void
declare (struct rp_gen *gen, struct tr_submit *s)
{
  double factor = 1;

  if (rp_gen_has (gen, RP_FAULT_ESTIMATES))
    factor = pow (10, gsl_ran_flat (gen->rng, -1, 1));
  s->spec.declared_ms = (int64_t)ceil ((double)s->actual_ms * factor);
}

/* A gang of SIZE accelerators: in blocks as large as a worker allows, or
   cut into smaller tasks; one slot if SIZE is 0.  */
static void
shape (struct rp_gen *gen, struct tr_submit *s, int32_t size)
{
  int32_t each = MIN (size, WORKER_SIZE);

  while (each > 1 && rp_gen_chance (gen, 300))
    each /= 2;
  s->spec.per_task = each;
  s->spec.tasks = each ? size / each : 1;
}

static void
begin (struct rp_gen *gen, struct tr_submit *s, enum dc_class class)
{
  *s = (struct tr_submit){ 0 };
  s->spec.account = (uint32_t)rp_gen_below (gen, (int)gen->config.accounts);
  s->spec.class = class;
  s->spec.repeatable = class == DC_BULK || rp_gen_chance (gen, 800);
  s->spec.preemptible = class == DC_BULK;
}

/* The work of a steady load.  */
static void
steady_job (struct rp_gen *gen, struct tr_submit *s)
{
  static const int32_t urgent_size[] = { 0, 1, 2, 4 };
  static const int urgent_weight[] = { 30, 40, 20, 10 };
  static const int32_t size[] = { 1, 2, 4, 8, 16, 32 };
  static const int small_weight[] = { 40, 28, 18, 11, 2, 1 };
  static const int large_weight[] = { 20, 18, 20, 26, 11, 5 };
  int large = gen->config.large;
  int urgent = rp_gen_chance (gen, large ? 600 : 800);

  begin (gen, s, urgent ? DC_URGENT : DC_BULK);
  if (urgent)
    {
      shape (gen, s, pick (gen, urgent_size, urgent_weight, 4));
      s->actual_ms = rp_gen_time (gen, SHORT_MS, 1, MAX_MS);
    }
  else
    {
      shape (gen, s, pick (gen, size, large ? large_weight : small_weight, 6));
      s->actual_ms = rp_gen_time (gen, LONG_MS, 1, MAX_MS);
    }
  declare (gen, s);
}

static void
random_job (struct rp_gen *gen, struct tr_submit *s)
{
  static const int32_t tasks[] = { 1, 2, 3, 4, 8 };
  static const int tasks_weight[] = { 50, 20, 8, 12, 10 };
  static const int32_t per_task[] = { 0, 1, 2, 3, 4, 8 };
  static const int per_task_weight[] = { 25, 30, 15, 5, 15, 10 };

  begin (gen, s, rp_gen_chance (gen, 400) ? DC_URGENT : DC_BULK);
  s->spec.tasks = pick (gen, tasks, tasks_weight, 5);
  s->spec.per_task = pick (gen, per_task, per_task_weight, 6);
  s->spec.preemptible ^= rp_gen_chance (gen, 150);
  s->spec.repeatable ^= rp_gen_chance (gen, 150);
  s->actual_ms = rp_gen_time (gen, RANDOM_MS, 1.2, MAX_RANDOM_MS);
  if (rp_gen_has (gen, RP_FAULT_IMPOSSIBLE) && rp_gen_chance (gen, 10))
    s->spec.per_task = 9 + rp_gen_below (gen, 100);
  else if (rp_gen_has (gen, RP_FAULT_IMPOSSIBLE) && rp_gen_chance (gen, 5))
    s->spec.tasks = (int32_t)gen->slots + 1 + rp_gen_below (gen, 9000);
  if (rp_gen_has (gen, RP_FAULT_JOB_FAILS))
    s->fails = rp_gen_chance (gen, 20);
  declare (gen, s);
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
  begin (gen, submit, rp_gen_chance (gen, 500) ? DC_URGENT : DC_BULK);
  submit->spec.tasks = 1;
  submit->spec.per_task = rp_gen_below (gen, 2);
  submit->actual_ms = rp_gen_time (gen, SHORT_MS, 1, MAX_RANDOM_MS);
  declare (gen, submit);
}

void
rp_gen_large_job (struct rp_gen *gen, struct tr_submit *submit)
{
  begin (gen, submit, DC_BULK);
  submit->spec.tasks = 1 + rp_gen_below (gen, 4);
  submit->spec.per_task = WORKER_SIZE;
  submit->actual_ms = rp_gen_time (gen, RANDOM_MS, 1, MAX_RANDOM_MS);
  declare (gen, submit);
}
