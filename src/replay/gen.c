#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "gen.h"

enum
{
  MEAN_GAP_MS = 150,      /* between arrivals in a random run */
  MAX_BACKLOG_MS = 20000, /* above it arrivals are delayed */
  RUSH_GAP_MS = 1,        /* between the jobs of the initial rush */
  RUSH_EXTRA_MS = 300000, /* added run time of those jobs */
  DRAIN_MS = 300000,      /* from the last event to the end */
  SAMPLE_JOBS = 20000,    /* sample for the mean work of a job */
  FAULT_PER_MILLE = 60    /* share of arrivals that inject a fault */
};

struct pending
{
  int64_t at_ms;
  uint64_t sequence;
  struct tr_event event;
};

static gint
compare_pending (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct pending *x = a, *y = b;

  (void)data;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

int
rp_gen_is_enabled (const struct rp_gen *gen, enum rp_fault fault)
{
  return gen->config.faults >> fault & 1;
}

int
rp_gen_uniform (struct rp_gen *gen, int n)
{
  return (int)gsl_rng_uniform_int (gen->rng, (unsigned long)n);
}

int
rp_gen_chance_per_mille (struct rp_gen *gen, int count)
{
  return rp_gen_uniform (gen, 1000) < count;
}

int64_t
rp_gen_duration_ms (struct rp_gen *gen, double median_ms, double sigma,
                    int64_t max_ms)
{
  int64_t ms = (int64_t)(median_ms * exp (gsl_ran_gaussian (gen->rng, sigma)));

  return CLAMP (ms, 1, max_ms);
}

void
rp_gen_push (struct rp_gen *gen, const struct tr_event *event)
{
  struct pending *p = g_new (struct pending, 1);

  p->at_ms = event->at_ms;
  p->sequence = ++gen->sequence;
  p->event = *event;
  g_tree_insert (gen->pending, p, p);
}

/* Returns the work of a job in accelerator-milliseconds.  A slot counts as its
   share of the fleet's accelerators.  */
static double
job_work (const struct rp_gen *gen, const struct tr_submit *s)
{
  double slot = (double)gen->accelerators / (double)MAX (gen->slots, 1);
  double each = s->spec.per_task ? s->spec.per_task : slot;
  double task_ms = (double)MIN (s->spec.tasks, 512) * MIN (each, 64);

  return task_ms * (double)s->actual_ms;
}

void
rp_gen_push_job (struct rp_gen *gen, int64_t at_ms, struct tr_submit *submit)
{
  struct tr_event event = { TR_SUBMIT, at_ms };

  submit->job = tr_name_next (&gen->tables->job, "j");
  event.u.submit = *submit;
  gen->recent_jobs[gen->submitted_jobs++ % RP_RECENT_JOBS] = submit->job;
  gen->backlog_ms
      += job_work (gen, submit) / (double)MAX (gen->accelerators, 1);
  rp_gen_push (gen, &event);
}

static void
measure_mean_gap (struct rp_gen *gen)
{
  gsl_rng *rng = gsl_rng_clone (gen->rng);
  gsl_rng *original = gen->rng;
  struct tr_submit submit;
  double sum = 0;

  gen->rng = rng;
  for (int i = 0; i < SAMPLE_JOBS; i++)
    {
      rp_gen_job (gen, &submit);
      sum += job_work (gen, &submit);
    }
  gen->rng = original;
  gsl_rng_free (rng);
  gen->mean_gap_ms = sum / SAMPLE_JOBS / (double)MAX (gen->accelerators, 1)
                     * 100 / (double)gen->config.load_percent;
}

struct rp_gen *
rp_gen_new (const struct rp_gen_config *config, struct tr_tables *tables)
{
  struct rp_gen *gen = g_new0 (struct rp_gen, 1);

  gen->config = *config;
  gen->tables = tables;
  gen->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (gen->rng, (unsigned long)config->seed);
  gen->pending = g_tree_new_full (compare_pending, NULL, g_free, NULL);
  gen->workers = g_array_new (FALSE, TRUE, sizeof (struct rp_gen_worker));
  gen->plan_version = g_new0 (int64_t, config->accounts);
  gen->rush_tasks_left = config->rush_tasks;
  rp_gen_push_workers (gen);
  rp_gen_push_plans (gen);
  if (config->load_percent)
    measure_mean_gap (gen);
  return gen;
}

void
rp_gen_free (struct rp_gen *gen)
{
  g_tree_unref (gen->pending);
  g_array_free (gen->workers, TRUE);
  g_free (gen->plan_version);
  gsl_rng_free (gen->rng);
  g_free (gen);
}

static int64_t
next_gap_ms (struct rp_gen *gen)
{
  double gap_ms = gsl_ran_exponential (gen->rng, MEAN_GAP_MS);
  double over_ms = gen->backlog_ms - MAX_BACKLOG_MS;

  if (gen->rush_tasks_left > 0)
    return RUSH_GAP_MS;
  if (gen->config.load_percent)
    gap_ms = gsl_ran_exponential (gen->rng, gen->mean_gap_ms);
  else if (over_ms > 0)
    gap_ms += over_ms * gsl_ran_flat (gen->rng, 0.5, 1.5);
  return (int64_t)gap_ms;
}

static void
push_arrival (struct rp_gen *gen)
{
  struct tr_submit submit;

  if (rp_gen_chance_per_mille (gen, FAULT_PER_MILLE))
    rp_gen_push_fault (gen);
  rp_gen_job (gen, &submit);
  if (gen->rush_tasks_left > 0)
    {
      submit.actual_ms += RUSH_EXTRA_MS;
      gen->rush_tasks_left -= submit.spec.tasks;
    }
  rp_gen_push_job (gen, gen->next_ms, &submit);
  gen->next_ms += next_gap_ms (gen);
}

static struct rp_gen_worker *
get_worker (struct rp_gen *gen, uint32_t id)
{
  return &g_array_index (gen->workers, struct rp_gen_worker, id);
}

/* Applies EVENT to the state of its worker.  Returns 0 if the event conflicts
   with that state and must be dropped.  */
static int
update_worker (struct rp_gen *gen, const struct tr_event *event)
{
  struct rp_gen_worker *w;

  switch (event->kind)
    {
    case TR_WORKER:
      w = get_worker (gen, event->u.worker.id);
      if (w->up && !w->leaving)
        return 0;
      w->up = 1;
      w->leaving = 0;
      return 1;
    case TR_LEAVING:
      w = get_worker (gen, event->u.worker_id);
      if (!w->up || w->leaving)
        return 0;
      w->leaving = 1;
      return 1;
    case TR_DOWN:
      w = get_worker (gen, event->u.worker_id);
      if (!w->up)
        return 0;
      w->up = 0;
      return 1;
    default:
      return 1;
    }
}

static int
take_pending (struct rp_gen *gen, struct tr_event *event)
{
  GTreeNode *node = g_tree_node_first (gen->pending);
  struct pending *p = node ? g_tree_node_key (node) : NULL;

  if (!p || p->at_ms > gen->next_ms)
    return 0;
  *event = p->event;
  g_tree_remove (gen->pending, p);
  return 1;
}

int
rp_gen_next (struct rp_gen *gen, struct tr_event *event)
{
  if (gen->ended)
    return 0;
  if (gen->events_made >= gen->config.events)
    {
      memset (event, 0, sizeof *event);
      event->kind = TR_END;
      event->at_ms = gen->now_ms + DRAIN_MS;
      gen->ended = 1;
      return 1;
    }
  while (!take_pending (gen, event) || !update_worker (gen, event))
    if (!g_tree_node_first (gen->pending)
        || ((struct pending *)g_tree_node_key (
                g_tree_node_first (gen->pending)))
                   ->at_ms
               > gen->next_ms)
      push_arrival (gen);
  gen->backlog_ms
      = MAX (gen->backlog_ms - (double)(event->at_ms - gen->now_ms), 0);
  gen->now_ms = event->at_ms;
  gen->events_made++;
  return 1;
}
