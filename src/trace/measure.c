#include <string.h>

#include "skr/trace.h"

static GArray *
new_array (size_t size)
{
  return g_array_new (FALSE, TRUE, (guint)size);
}

void
tr_measures_init (struct tr_measures *m)
{
  memset (m, 0, sizeof *m);
  m->worker = new_array (sizeof (struct tr_worker_state));
  m->usage = new_array (sizeof (struct tr_usage));
  m->queued = new_array (sizeof (int32_t));
  m->reclaim_ms = new_array (sizeof (int64_t));
  for (int c = 0; c < 2; c++)
    {
      m->class[c].completion_ms = new_array (sizeof (int64_t));
      m->class[c].wait_ms = new_array (sizeof (int64_t));
      m->class[c].slowdown = new_array (sizeof (double));
    }
}

void
tr_measures_fini (struct tr_measures *m)
{
  g_array_free (m->worker, TRUE);
  g_array_free (m->usage, TRUE);
  g_array_free (m->queued, TRUE);
  g_array_free (m->reclaim_ms, TRUE);
  for (int c = 0; c < 2; c++)
    {
      g_array_free (m->class[c].completion_ms, TRUE);
      g_array_free (m->class[c].wait_ms, TRUE);
      g_array_free (m->class[c].slowdown, TRUE);
    }
}

void
tr_measures_advance (struct tr_measures *m, int64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - m->last_ms);

  m->last_ms = now_ms;
  m->up_ms += elapsed_ms * (double)m->up;
  m->held_ms += elapsed_ms * (double)m->held;
  if (m->min_queued && m->min_queued <= m->usable_free)
    m->fragmented_ms += elapsed_ms * (double)m->usable_free;
}

static void
grow (GArray *array, uint32_t index)
{
  if (array->len <= index)
    g_array_set_size (array, index + 1);
}

struct tr_worker_state *
tr_measures_worker_state (struct tr_measures *m, uint32_t worker)
{
  grow (m->worker, worker);
  return &g_array_index (m->worker, struct tr_worker_state, worker);
}

/* Adds a worker's part to the totals (SIGN is 1) or subtracts it (-1).  */
static void
count_worker (struct tr_measures *m, const struct tr_worker_state *use,
              int sign)
{
  if (!use->up)
    return;
  m->up += (int64_t)sign * use->accelerators;
  m->held += (int64_t)sign * use->held;
  if (!use->leaving && !use->quarantined)
    m->usable_free += (int64_t)sign * (use->accelerators - use->held);
}

void
tr_measures_worker (struct tr_measures *m, uint32_t worker,
                    const struct tr_worker_state *use)
{
  struct tr_worker_state *old = tr_measures_worker_state (m, worker);

  count_worker (m, old, -1);
  *old = *use;
  if (!old->up)
    old->held = 0;
  count_worker (m, old, 1);
}

void
tr_measures_hold (struct tr_measures *m, uint32_t worker, int32_t count)
{
  struct tr_worker_state *use = tr_measures_worker_state (m, worker);

  count_worker (m, use, -1);
  use->held += count;
  count_worker (m, use, 1);
}

void
tr_measures_queue (struct tr_measures *m, int32_t accelerators, int change)
{
  int32_t *count;

  if (accelerators <= 0)
    return;
  grow (m->queued, (uint32_t)accelerators);
  count = &g_array_index (m->queued, int32_t, accelerators);
  *count += change;
  if (change > 0 && (!m->min_queued || accelerators < m->min_queued))
    m->min_queued = accelerators;
  if (*count || accelerators != m->min_queued)
    return;
  for (guint i = (guint)accelerators; i < m->queued->len; i++)
    if (g_array_index (m->queued, int32_t, i))
      {
        m->min_queued = (int32_t)i;
        return;
      }
  m->min_queued = 0;
}

static int
size_class (int32_t accelerators)
{
  int k = 0;

  while (k < TR_SIZE_CLASSES - 1 && (1 << k) < accelerators)
    k++;
  return k;
}

void
tr_measures_plan (struct tr_measures *m, const struct tr_plan *plan)
{
  struct tr_usage *usage;

  grow (m->usage, plan->account);
  usage = &g_array_index (m->usage, struct tr_usage, plan->account);
  memset (usage->blocks, 0, sizeof usage->blocks);
  for (int i = 0; i < plan->shapes; i++)
    for (int k = 0; k < TR_SIZE_CLASSES; k++)
      if (plan->shape[i].size >> k & 1)
        usage->blocks[k] += plan->shape[i].count;
}

void
tr_measures_count_job (struct tr_measures *m, uint32_t account,
                       enum tr_stage stage, int32_t accelerators, int change)
{
  if (accelerators <= 0)
    return;
  grow (m->usage, account);
  g_array_index (m->usage, struct tr_usage, account)
      .jobs[stage][size_class (accelerators)]
      += change;
}

/* Packs from the largest class down.  Blocks left over in a class are split in
   two for the next smaller class.  */
int
tr_measures_fits_guarantee (const struct tr_measures *m,
                            const struct dc_job_spec *spec)
{
  int64_t accelerators = (int64_t)spec->tasks * spec->per_task;
  const struct tr_usage *usage;
  int64_t remaining = 0;
  int job_class;

  if (accelerators <= 0 || accelerators > 1 << (TR_SIZE_CLASSES - 1)
      || spec->account >= m->usage->len)
    return 0;
  usage = &g_array_index (m->usage, struct tr_usage, spec->account);
  job_class = size_class ((int32_t)accelerators);
  for (int k = TR_SIZE_CLASSES - 1; k >= 0; k--)
    {
      remaining = remaining * 2 + usage->blocks[k] - usage->jobs[TR_RUNNING][k]
                  - usage->jobs[TR_QUEUED_URGENT][k] - (k == job_class);
      if (spec->class == DC_BULK)
        remaining -= usage->jobs[TR_QUEUED_BULK][k];
      if (remaining < 0)
        return 0;
    }
  return 1;
}

void
tr_measures_started (struct tr_measures *m, enum dc_class class,
                     int64_t wait_ms, int within)
{
  g_array_append_val (m->class[class].wait_ms, wait_ms);
  if (within)
    g_array_append_val (m->reclaim_ms, wait_ms);
}

void
tr_measures_done (struct tr_measures *m, enum dc_class class,
                  int64_t completion_ms, int64_t actual_ms)
{
  double slowdown = (double)completion_ms / (double)MAX (actual_ms, 1);

  g_array_append_val (m->class[class].completion_ms, completion_ms);
  g_array_append_val (m->class[class].slowdown, slowdown);
}
