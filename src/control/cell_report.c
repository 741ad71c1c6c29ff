/* Processing of the task list that a worker reports.  */
#include <string.h>

#include "control/cell_impl.h"

/* Tracks an attempt that no job of this cell refers to, so that it is
   stopped.  */
static struct wk_gang *
track_unknown_attempt (struct cl_cell *c, const char *job, int32_t attempt,
                       uint32_t worker)
{
  struct dc_place place = { .worker = worker };
  struct wk_gang *g = cl_add_gang (c, job, attempt, 1, &place);

  if (g)
    wk_set_phase (g, WK_STOP, c->now_ms);
  return g;
}

static void
note_task_end (struct cl_cell *c, struct jb_job *job, struct wk_gang *g,
               int task, enum wk_state state, json_t *result)
{
  int serving = c->phase == CL_SERVING;

  if (g->end_report[task] == WK_END_REPORTED
      || (state != WK_DONE && state != WK_FAILED))
    return;
  if (state == WK_DONE)
    jb_set_result (job, task, result);
  g->end_report[task] = state == WK_DONE ? WK_DONE_PENDING : WK_FAILED_PENDING;
  if (!serving)
    return;
  g->end_report[task] = WK_END_REPORTED;
  cl_task_event (c, state == WK_DONE ? DC_EV_TASK_DONE : DC_EV_TASK_FAILED,
                 job, task);
}

static void
note_listed_task (struct wk_part *p, enum wk_state state, int64_t progress_ms)
{
  if (!p->listed_tasks || state < p->listed_state)
    p->listed_state = state;
  if (!p->listed_tasks || progress_ms < p->progress_ms)
    p->progress_ms = progress_ms;
  p->listed_tasks++;
}

static void
read_task (struct cl_cell *c, uint32_t worker, const json_t *o)
{
  const char *id, *text;
  json_int_t attempt, task, progress_ms = 0;
  json_t *result = NULL;
  enum wk_state state;
  struct wk_gang *g;
  struct jb_job *job;

  if (json_unpack ((json_t *)o, "{s:s, s:I, s:I, s:s, s?I, s?o}", "job", &id,
                   "attempt", &attempt, "task", &task, "state", &text,
                   "progress_ms", &progress_ms, "result", &result)
      || strlen (id) >= CT_NAME)
    return;
  state = wk_parse_state (text);
  job = cl_find_job (c, id);
  if (job && attempt > job->max_reported_attempt)
    job->max_reported_attempt = (int32_t)attempt;
  g = cl_find_gang (c, id, (int32_t)attempt, worker);
  if (!g && c->phase == CL_SERVING)
    g = track_unknown_attempt (c, id, (int32_t)attempt, worker);
  if (!g)
    return;
  note_listed_task (wk_find_part (g, worker), state, progress_ms);
  if (job && job->gang == g && task >= 0 && task < g->tasks)
    note_task_end (c, job, g, (int)task, state, result);
}

static void
note_task_started (struct cl_cell *c, uint32_t worker, const json_t *o)
{
  const char *id = json_string_value (json_object_get (o, "job"));
  json_int_t attempt = json_integer_value (json_object_get (o, "attempt"));
  struct jb_job *job = id ? cl_find_job (c, id) : NULL;

  if (job && attempt <= INT32_MAX)
    cl_note_task_started (c, job, worker, (int32_t)attempt, o);
}

void
cl_read_task_list (struct cl_cell *c, uint32_t worker, int64_t requested_ms,
                   const json_t *tasks)
{
  GPtrArray *gangs;
  const json_t *o;
  size_t i;

  /* A serving cell started all attempts itself or adopted them.  */
  if (c->phase != CL_SERVING)
    json_array_foreach (tasks, i, o) { note_task_started (c, worker, o); }
  json_array_foreach (tasks, i, o) { read_task (c, worker, o); }
  gangs = cl_worker_gangs (c, worker);
  for (guint n = 0; n < gangs->len; n++)
    {
      struct wk_part *p = wk_find_part (g_ptr_array_index (gangs, n), worker);

      if (p->listed_tasks)
        wk_part_listed (p, p->listed_state, c->now_ms);
      else
        wk_part_not_listed (p, requested_ms);
      p->listed_tasks = 0;
    }
}
