/* The attempts of a cell's jobs, from reservation to their end.  */
#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"

enum
{
  RETRY_HOLD_MS = 200 /* delay after an attempt that could not be reserved */
};

void
cl_free_gang (void *gang)
{
  wk_fini (gang);
  free (gang);
}

void
cl_free_array (void *list)
{
  g_ptr_array_free (list, TRUE);
}

GPtrArray *
cl_worker_gangs (struct cl_cell *c, uint32_t worker)
{
  while (c->gangs_by_worker->len <= worker)
    g_ptr_array_add (c->gangs_by_worker, g_ptr_array_new ());
  return g_ptr_array_index (c->gangs_by_worker, worker);
}

struct wk_gang *
cl_find_gang (struct cl_cell *c, const char *job, int32_t attempt,
              uint32_t worker)
{
  struct wk_gang *g = g_hash_table_lookup (c->gangs_by_job, job);

  while (g && (g->attempt != attempt || !wk_find_part (g, worker)))
    g = g->next_of_job;
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
  g->next_of_job = g_hash_table_lookup (c->gangs_by_job, job);
  g_hash_table_replace (c->gangs_by_job, g->job, g);
  g_ptr_array_add (c->gangs, g);
  for (int i = 0; i < g->parts; i++)
    g_ptr_array_add (cl_worker_gangs (c, g->part[i].worker), g);
  return g;
}

void
cl_set_gang_owner (struct cl_cell *c, const char *job, struct jb_job *owner)
{
  struct wk_gang *g = g_hash_table_lookup (c->gangs_by_job, job);

  for (; g; g = g->next_of_job)
    g->owner = owner;
}

static void
remove_gang (struct cl_cell *c, guint index)
{
  struct wk_gang *g = g_ptr_array_index (c->gangs, index);
  struct wk_gang *first = g_hash_table_lookup (c->gangs_by_job, g->job);

  g_hash_table_remove (c->gangs_by_job, g->job);
  if (first == g)
    first = g->next_of_job;
  else
    for (struct wk_gang *p = first; p; p = p->next_of_job)
      if (p->next_of_job == g)
        p->next_of_job = g->next_of_job;
  if (first)
    g_hash_table_insert (c->gangs_by_job, first->job, first);
  for (int i = 0; i < g->parts; i++)
    g_ptr_array_remove_fast (cl_worker_gangs (c, g->part[i].worker), g);
  g_ptr_array_remove_index_fast (c->gangs, index);
}

void
cl_stop_gang (struct cl_cell *c, struct jb_job *job)
{
  if (job->gang)
    wk_set_phase (job->gang, WK_STOP, c->now_ms);
  job->gang = NULL;
}

/* All parts are held: writes the row as running before any part runs.  */
static void
mark_running (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  if (job->state == JB_RUNNING && job->attempt == g->attempt)
    return;
  jb_set_placement (job, g, cl_worker_name, c);
  cl_set_state (c, job, JB_RUNNING, NULL);
}

static void
report_part_lost (struct cl_cell *c, struct jb_job *job, struct wk_gang *g,
                  const struct wk_part *p)
{
  cl_note_gangs_lost (c, p->worker, 0);
  for (int i = p->first_task; i < p->first_task + p->tasks && job->gang == g;
       i++)
    if (g->end_report[g->tasks_by_part[i]] != WK_END_REPORTED)
      {
        g->end_report[g->tasks_by_part[i]] = WK_END_REPORTED;
        cl_task_event (c, DC_EV_TASK_LOST, job, g->tasks_by_part[i]);
      }
}

static void
check_running (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  for (int i = 0; i < g->parts && job->gang == g; i++)
    switch (g->part[i].state)
      {
      case WK_GONE:
      case WK_STOPPED:
        report_part_lost (c, job, g, &g->part[i]);
        break;
      case WK_CHECKPOINTED: /* the worker checkpointed the tasks because their
                               lease expired */
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
min_progress_ms (const struct wk_gang *g)
{
  int64_t least = g->part[0].progress_ms;

  for (int i = 1; i < g->parts; i++)
    if (g->part[i].progress_ms < least)
      least = g->part[i].progress_ms;
  return least;
}

/* All parts have a checkpoint: the job is requeued and resumes from it.  */
static void
finish_checkpoint (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  struct dc_event e = { .kind = DC_EV_CHECKPOINTED };

  if (min_progress_ms (g) > job->progress_ms)
    job->progress_ms = min_progress_ms (g);
  if (!g->preempted)
    {
      cl_resubmit (c, job, 0);
      return;
    }
  e.u.task.job = job->handle;
  e.u.task.attempt = job->decide_attempt;
  cl_stop_gang (c, job);
  cl_set_state (c, job, JB_QUEUED, "preempted");
  cl_apply_event (c, &e);
}

/* Some parts ended while others were checkpointed: the checkpointed ones are
   reported as lost.  */
static void
report_checkpointed_lost (struct cl_cell *c, struct jb_job *job,
                          struct wk_gang *g)
{
  for (int i = 0; i < g->parts && job->gang == g; i++)
    if (g->part[i].state == WK_CHECKPOINTED)
      report_part_lost (c, job, g, &g->part[i]);
}

static void
check_checkpoint (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  int busy = wk_any_in_state (g, WK_HELD) || wk_any_in_state (g, WK_RUNNING);

  check_running (c, job, g);
  if (job->gang != g || busy || !wk_any_in_state (g, WK_CHECKPOINTED))
    return;
  if (wk_all_in_state (g, WK_CHECKPOINTED))
    finish_checkpoint (c, job, g);
  else
    report_checkpointed_lost (c, job, g);
}

static void
step_gang (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  if (jb_has_ended (job))
    return; /* nothing to do until the job's row is written */
  switch (g->phase)
    {
    case WK_HOLD:
      if (wk_hold_failed (g, c->now_ms))
        cl_resubmit (c, job, RETRY_HOLD_MS);
      else if (wk_all_in_state (g, WK_HELD))
        mark_running (c, job, g);
      return;
    case WK_RUN:
      check_running (c, job, g);
      return;
    case WK_CHECKPOINT:
      check_checkpoint (c, job, g);
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
        step_gang (c, job, g);
      if (!job || job->gang != g)
        {
          g->may_ack = !job || (!job->dirty && !job->writing);
          if (wk_all_in_state (g, WK_GONE))
            {
              remove_gang (c, i);
              continue;
            }
        }
      cl_send_orders (c, g, job);
      i++;
    }
}
