/* Recovery of a cell by a new holder from the job rows and from the tasks that
   its workers report.  */
#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "skr/log.h"

/* Jobs found by a recovery, and what became of them.  */
struct recovery_counts
{
  int jobs, adopted, requeued, unknown;
};

/* Reports received before the rows were read could not be matched, so all
   workers are polled again.  */
void
cl_survey_begin (struct cl_cell *c)
{
  c->phase = CL_SURVEY;
  for (guint i = 0; i < c->workers->len; i++)
    {
      cl_worker (c, i)->surveyed = 0;
      cl_worker (c, i)->next_poll_ms = c->now_ms;
    }
}

/* Whether every worker has reported its tasks or all task leases have expired.
   A cell without listed workers is served as well, so that its jobs can move
   to other cells.  */
int
cl_survey_is_complete (struct cl_cell *c)
{
  int64_t expired_ms = c->taken_ms + c->worker_times.lease_ms
                       + c->worker_times.max_request_ms;

  if ((!c->workers->len && c->now_ms <= expired_ms) || !c->lists_received
      || c->now_ms - c->workers_changed_ms < c->settings->settle_ms)
    return 0;
  for (guint i = 0; i < c->workers->len; i++)
    if (!cl_worker (c, i)->surveyed && c->now_ms <= expired_ms)
      return 0;
  return 1;
}

/* Parses the placement of a row into PLACE.  Returns CT_OK, or CT_EINVAL if it
   is incomplete or names an unknown worker.  */
static int
read_placement (struct cl_cell *c, const struct jb_job *job,
                const json_t *list, struct dc_place *place)
{
  const json_t *o, *a;
  size_t i, k;

  if (json_array_size (list) != (size_t)job->spec.tasks)
    return CT_EINVAL;
  json_array_foreach (list, i, o)
  {
    const char *worker = json_string_value (json_object_get (o, "worker"));
    uint32_t w = worker ? cl_find_worker (c, worker) : c->workers->len;

    if (w == c->workers->len
        || json_integer_value (json_object_get (o, "task")) != (json_int_t)i)
      return CT_EINVAL;
    place[i] = (struct dc_place){ .worker = w };
    json_array_foreach (json_object_get (o, "accelerators"), k, a)
    {
      json_int_t bit = json_integer_value (a);

      if (bit < 0 || bit >= DC_MAX_ACCELERATORS)
        return CT_EINVAL;
      place[i].accelerators |= 1ULL << bit;
    }
  }
  return CT_OK;
}

void
cl_load_placement (struct cl_cell *c, struct jb_job *job)
{
  struct dc_place *place = calloc ((size_t)job->spec.tasks, sizeof *place);
  json_t *row = jb_parse_row (job);

  if (place
      && !read_placement (c, job, json_object_get (row, "placement"), place))
    job->gang = cl_add_gang (c, job->id, job->attempt, job->spec.tasks, place);
  json_decref (row);
  free (place);
}

enum gang_status
{
  GANG_COMPLETE,     /* every part is held, running or ended */
  GANG_CHECKPOINTED, /* every part has a checkpoint */
  GANG_INCOMPLETE
};

static enum gang_status
classify_gang (const struct wk_gang *g)
{
  if (!g || wk_any_in_state (g, WK_NEW) || wk_any_in_state (g, WK_GONE)
      || wk_any_in_state (g, WK_STOPPED))
    return GANG_INCOMPLETE;
  if (wk_all_in_state (g, WK_CHECKPOINTED))
    return GANG_CHECKPOINTED;
  return wk_any_in_state (g, WK_CHECKPOINTED) ? GANG_INCOMPLETE
                                              : GANG_COMPLETE;
}

static void
report_ends (struct cl_cell *c, struct jb_job *job, struct wk_gang *g)
{
  for (int t = 0; t < g->tasks && job->gang == g; t++)
    {
      enum wk_end_report report = g->end_report[t];

      if (report != WK_DONE_PENDING && report != WK_FAILED_PENDING)
        continue;
      g->end_report[t] = WK_END_REPORTED;
      cl_task_event (
          c, report == WK_DONE_PENDING ? DC_EV_TASK_DONE : DC_EV_TASK_FAILED,
          job, t);
    }
}

/* Adopts a running attempt.  Fails if the decision layer finds that its places
   conflict.  */
static int
adopt_gang (struct cl_cell *c, struct jb_job *job, struct recovery_counts *n)
{
  struct wk_gang *g = job->gang;
  struct dc_event e = { .kind = DC_EV_ADOPT };

  job->attempt_base = 0;
  cl_submit (c, job);
  if (job->handle == JB_NO_HANDLE)
    return CT_OK; /* refused or ended at once by the decision layer */
  e.at_ms = c->now_ms;
  e.u.adopt.job = job->handle;
  e.u.adopt.attempt = job->decide_attempt = g->attempt;
  e.u.adopt.place = g->place;
  if (dc_apply (c->dc, &e))
    return CT_EDECIDE;
  n->adopted++;
  g->phase = WK_RUN;
  report_ends (c, job, g);
  cl_check_cancel (c, job);
  return CT_OK;
}

/* Gives up an incomplete gang: a repeatable job is requeued, any other ends as
   unknown.  */
static void
abandon_gang (struct cl_cell *c, struct jb_job *job, struct recovery_counts *n)
{
  int lost = !job->spec.repeatable;

  if (lost && job->handle != JB_NO_HANDLE)
    cl_resubmit (c, job, 0);
  if (lost)
    {
      g_queue_remove (&c->waiting, job);
      cl_stop_gang (c, job);
      cl_set_state (c, job, JB_UNKNOWN,
                    "the cell's holder and a worker were lost");
      n->unknown++;
      return;
    }
  if (cl_note_attempt_lost (c, job))
    return;
  cl_resubmit (c, job, 0);
  n->requeued++;
}

static void
resume_job (struct cl_cell *c, struct jb_job *job, struct recovery_counts *n)
{
  for (int i = 0; i < job->gang->parts; i++)
    if (!i || job->gang->part[i].progress_ms < job->progress_ms)
      job->progress_ms = job->gang->part[i].progress_ms;
  cl_resubmit (c, job, 0);
  n->requeued++;
}

static void
recover_job (struct cl_cell *c, struct jb_job *job, struct recovery_counts *n)
{
  n->jobs++;
  if (job->state == JB_QUEUED && cl_may_have_run (c, job))
    {
      cl_set_state (c, job, JB_UNKNOWN,
                    "the table was put back; it may have run");
      n->unknown++;
      return;
    }
  if (job->state == JB_QUEUED)
    {
      cl_queue_job (c, job, 0);
      return;
    }
  switch (classify_gang (job->gang))
    {
    case GANG_COMPLETE:
      if (adopt_gang (c, job, n))
        abandon_gang (c, job, n);
      return;
    case GANG_CHECKPOINTED:
      if (cl_may_have_run (c, job))
        abandon_gang (c, job, n);
      else
        resume_job (c, job, n);
      return;
    case GANG_INCOMPLETE:
      abandon_gang (c, job, n);
      return;
    }
}

void
cl_recover_job (struct cl_cell *c, struct jb_job *job)
{
  struct recovery_counts n = { 0 };

  recover_job (c, job, &n);
}

static int
compare_submission (gconstpointer a, gconstpointer b)
{
  const struct jb_job *x = *(struct jb_job *const *)a;
  const struct jb_job *y = *(struct jb_job *const *)b;

  if (x->submitted_ms != y->submitted_ms)
    return x->submitted_ms < y->submitted_ms ? -1 : 1;
  return strcmp (x->id, y->id);
}

/* Announces all workers.  Those that do not answer are included, because they
   count for the largest shapes of the cell.  */
static void
announce_workers (struct cl_cell *c)
{
  for (uint32_t i = 0; i < c->workers->len; i++)
    {
      const struct mb_worker *w = cl_worker (c, i);

      if (!w->listed && w->state == MB_NEW)
        continue;
      cl_announce_worker (c, i);
      if (w->state == MB_LEAVING)
        cl_announce_worker_state (c, DC_EV_WORKER_LEAVING, i);
      else if (w->state != MB_UP)
        cl_announce_worker_state (c, DC_EV_WORKER_DOWN, i);
    }
}

static void
log_recovered (struct cl_cell *c, const struct recovery_counts *n)
{
  struct lg_field field[] = { lg_str ("cell", c->name),
                              lg_int ("epoch", c->lease.row.epoch),
                              lg_int ("jobs", n->jobs),
                              lg_int ("adopted", n->adopted),
                              lg_int ("requeued", n->requeued),
                              lg_int ("unknown", n->unknown),
                              lg_int ("took_ms", c->now_ms - c->taken_ms) };

  lg_log (LG_CELL_RECOVERED, 7, field);
}

void
cl_recover (struct cl_cell *c)
{
  struct recovery_counts n = { 0 };
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter it;
  gpointer job;

  c->phase = CL_SERVING;
  announce_workers (c);
  cl_apply_plans (c);
  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    g_ptr_array_add (jobs, job);
  g_ptr_array_sort (jobs, compare_submission);
  for (guint i = 0; i < jobs->len; i++)
    recover_job (c, g_ptr_array_index (jobs, i), &n);
  g_ptr_array_free (jobs, TRUE);
  log_recovered (c, &n);
}
