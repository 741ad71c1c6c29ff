/* The attempts of a cell's jobs: from held to running to their ends.  */
#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"

enum
{
  RETRY_START_MS = 200 /* after an attempt that could not be held */
};

void
cl_free_gang (void *gang)
{
  wk_fini (gang);
  free (gang);
}

void
cl_free_list (void *list)
{
  g_ptr_array_free (list, TRUE);
}

GPtrArray *
cl_gangs_on (struct cl_cell *c, uint32_t worker)
{
  while (c->gangs_on->len <= worker)
    g_ptr_array_add (c->gangs_on, g_ptr_array_new ());
  return g_ptr_array_index (c->gangs_on, worker);
}

struct wk_gang *
cl_find_gang (struct cl_cell *c, const char *job, int32_t attempt,
              uint32_t worker)
{
  struct wk_gang *g = g_hash_table_lookup (c->gangs_of, job);

  while (g && (g->attempt != attempt || !wk_find_part (g, worker)))
    g = g->next;
  return g;
}

struct wk_gang *
cl_add_gang (struct cl_cell *c, const char *job, int32_t attempt, int tasks,
             const struct dc_place *place)
{
  struct wk_gang *g = calloc (1, sizeof *g);

  if (!g || wk_init (g, job, attempt, tasks, place, c->now_ms))
    {
      free (g);
      return NULL;
    }
  g->owner = cl_find_job (c, job);
  g->next = g_hash_table_lookup (c->gangs_of, job);
  g_hash_table_replace (c->gangs_of, g->job, g);
  g_ptr_array_add (c->gangs, g);
  for (int i = 0; i < g->parts; i++)
    g_ptr_array_add (cl_gangs_on (c, g->part[i].worker), g);
  return g;
}

void
cl_own_gangs (struct cl_cell *c, const char *job, struct jb_job *owner)
{
  struct wk_gang *g = g_hash_table_lookup (c->gangs_of, job);

  for (; g; g = g->next)
    g->owner = owner;
}

static void
remove_gang (struct cl_cell *c, guint index)
{
  struct wk_gang *g = g_ptr_array_index (c->gangs, index);
  struct wk_gang *first = g_hash_table_lookup (c->gangs_of, g->job);

  g_hash_table_remove (c->gangs_of, g->job);
  if (first == g)
    first = g->next;
  else
    for (struct wk_gang *p = first; p; p = p->next)
      if (p->next == g)
        p->next = g->next;
  if (first)
    g_hash_table_insert (c->gangs_of, first->job, first);
  for (int i = 0; i < g->parts; i++)
    g_ptr_array_remove_fast (cl_gangs_on (c, g->part[i].worker), g);
  g_ptr_array_remove_index_fast (c->gangs, index);
}

void
cl_stop_gang (struct cl_cell *c, struct jb_job *job)
{
  if (job->gang)
    wk_set_phase (job->gang, WK_STOP, c->now_ms);
  job->gang = NULL;
}

/* All parts are held: the row says so before any part runs.  */
static void
write_running (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  if (job->state == JB_RUNNING && job->attempt == g->attempt)
    return;
  jb_set_placement (job, g, cl_worker_name, c);
  cl_set_state (c, job, JB_RUNNING, NULL);
}

static void
lose_part (struct cl_cell *c, struct jb_job *job, struct wk_gang *g,
           const struct wk_part *p)
{
  for (int i = p->first; i < p->first + p->tasks && job->gang == g; i++)
    if (g->told[g->task[i]] != WK_TOLD)
      {
        g->told[g->task[i]] = WK_TOLD;
        cl_task_event (c, DC_EV_LOST, job, g->task[i]);
      }
}

static void
watch_running (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  for (int i = 0; i < g->parts && job->gang == g; i++)
    switch (g->part[i].state)
      {
      case WK_GONE:
      case WK_STOPPED:
        lose_part (c, job, g, &g->part[i]);
        break;
      case WK_CHECKPOINTED: /* its lease had lapsed */
        if (g->phase == WK_RUN)
          wk_set_phase (g, WK_CHECKPOINT, c->now_ms);
        break;
      case WK_NEW:
      case WK_HELD:
      case WK_RUNNING:
      case WK_DONE:
      case WK_FAILED:
        break;
      }
}

static int64_t
least_progress (const struct wk_gang *g)
{
  int64_t least = g->part[0].progress_ms;

  for (int i = 1; i < g->parts; i++)
    if (g->part[i].progress_ms < least)
      least = g->part[i].progress_ms;
  return least;
}

/* Every part has its checkpoint: the job goes on from there later.  */
static void
end_checkpoint (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  struct dc_event e = { .kind = DC_EV_CHECKPOINTED };

  if (least_progress (g) > job->progress_ms)
    job->progress_ms = least_progress (g);
  if (!g->preempted)
    {
      cl_resubmit (c, job, 0);
      return;
    }
  e.u.task.job = job->handle;
  e.u.task.attempt = job->decided;
  cl_stop_gang (c, job);
  cl_set_state (c, job, JB_QUEUED, "preempted");
  cl_apply (c, &e);
}

/* Some tasks were done as the rest was checkpointed: the rest is lost.  */
static void
lose_rest (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  for (int i = 0; i < g->parts && job->gang == g; i++)
    if (g->part[i].state == WK_CHECKPOINTED)
      lose_part (c, job, g, &g->part[i]);
}

static void
watch_checkpoint (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  int busy = wk_any (g, WK_HELD) || wk_any (g, WK_RUNNING);

  watch_running (c, job, g);
  if (job->gang != g || busy || !wk_any (g, WK_CHECKPOINTED))
    return;
  if (wk_all (g, WK_CHECKPOINTED))
    end_checkpoint (c, job, g);
  else
    lose_rest (c, job, g);
}

static void
step_current (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  if (jb_has_ended (job))
    return; /* only its row is still to be written */
  switch (g->phase)
    {
    case WK_HOLD:
      if (wk_hold_failed (g, c->now_ms))
        cl_resubmit (c, job, RETRY_START_MS);
      else if (wk_all (g, WK_HELD))
        write_running (c, job, g);
      return;
    case WK_RUN:
      watch_running (c, job, g);
      return;
    case WK_CHECKPOINT:
      watch_checkpoint (c, job, g);
      return;
    case WK_STOP:
      return;
    }
}

void
cl_gangs_step (struct cl_cell *c)
{
  for (guint i = 0; i < c->gangs->len;)
    {
      struct wk_gang *g = g_ptr_array_index (c->gangs, i);
      struct jb_job *job = g->owner;

      if (job && job->gang == g)
        step_current (c, job, g);
      if (!job || job->gang != g)
        {
          g->may_ack = !job || (!job->dirty && !job->writing);
          if (wk_all (g, WK_GONE))
            {
              remove_gang (c, i);
              continue;
            }
        }
      cl_send_orders (c, g, job);
      i++;
    }
}
