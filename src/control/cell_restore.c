/* Handling of a table that was restored to an earlier state: workers and this
   process may know more than the rows say.  */
#include <string.h>

#include "control/cell_impl.h"
#include "skr/log.h"

/* A held task has not started.  A stopped task has if it made progress.  */
static int
has_started (const struct jb_job *job, const json_t *task)
{
  const char *text = json_string_value (json_object_get (task, "state"));

  switch (wk_parse_state (text))
    {
    case WK_RUNNING:
    case WK_DONE:
    case WK_FAILED:
    case WK_CHECKPOINTED:
      return 1;
    case WK_STOPPED:
      return json_integer_value (json_object_get (task, "progress_ms"))
             > job->progress_ms;
    case WK_NEW:
    case WK_HELD:
    case WK_GONE:
      break;
    }
  return 0;
}

static void
log_restored (struct cl_cell *c)
{
  struct lg_field field[]
      = { lg_str ("cell", c->name), lg_int ("epoch", c->lease.row.epoch) };

  lg_log (LG_TABLE_PUT_BACK, 2, field);
}

/* All tasks of the attempt were reported: marks the job as running again and
   polls its workers once more for the states of the parts.  */
static void
adopt_reported_attempt (struct cl_cell *c, struct jb_job *job)
{
  job->gang = cl_add_gang (c, job->id, job->reported_attempt, job->spec.tasks,
                           job->reported->place);
  if (!job->gang)
    return;
  jb_set_placement (job, job->gang, cl_worker_name, c);
  cl_set_state (c, job, JB_RUNNING, NULL);
  for (int i = 0; i < job->gang->parts; i++)
    {
      struct mb_worker *w = cl_worker (c, job->gang->part[i].worker);

      w->surveyed = 0;
      w->next_poll_ms = c->now_ms;
    }
}

void
cl_note_task_started (struct cl_cell *c, struct jb_job *job, uint32_t worker,
                      int32_t attempt, const json_t *task)
{
  struct dc_place place = { .worker = worker };
  const json_t *o;
  size_t i;

  if (attempt <= job->attempt || !has_started (job, task))
    return;
  /* The job's row is written before its tasks start, so the table must have
     contained the newer row.  */
  if (!c->restored_rev)
    {
      log_restored (c);
      c->lease.doubt = 1;
      c->restored_rev = c->lease.row.version;
    }
  if (job->state != JB_QUEUED || job->gang)
    return;
  json_array_foreach (json_object_get (task, "accelerators"), i, o)
  {
    json_int_t bit = json_integer_value (o);

    if (bit >= 0 && bit < DC_MAX_ACCELERATORS)
      place.accelerators |= 1ULL << bit;
  }
  if (jb_note_task_started (
          job, attempt,
          (int)json_integer_value (json_object_get (task, "task")), &place))
    adopt_reported_attempt (c, job);
}

int
cl_may_have_run (const struct cl_cell *c, const struct jb_job *job)
{
  return !job->spec.repeatable
         && (job->reported_attempt > job->attempt
             || job->version <= c->restored_rev);
}

/* This process knows its jobs better than the restored table does: it keeps
   them and writes their rows again after a full scan.  */
static void
start_restore (struct cl_cell *c)
{
  GHashTableIter it;
  gpointer job;

  log_restored (c);
  c->restored_rev = INT64_MAX;
  c->scan_rev = c->scan_first_rev = 0;
  c->scan_after[0] = '\0';
  c->scanning = 0;
  c->scan_serial = 0;
  c->scan_soon = 1;
  g_hash_table_remove_all (c->dropped);
  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    ((struct jb_job *)job)->restored = 1;
}

void
cl_restore_step (struct cl_cell *c)
{
  if (!c->lease.doubt || c->phase == CL_WATCHING)
    return;
  if (!c->restored_rev)
    start_restore (c);
  else if (c->phase == CL_SERVING && c->restored_rev < INT64_MAX
           && !cl_next_dirty_queue (c) && !c->batch->len)
    {
      ce_clear_doubt (&c->lease);
      c->restored_rev = 0;
    }
}

int
cl_restore_row (struct cl_cell *c, struct jb_job *job, int64_t version)
{
  if (!job->restored || job->writing)
    return 0;
  job->restored = 0;
  job->version = version;
  cl_mark_dirty (c, job);
  return 1;
}

/* Rows missing from the restored table are written again.  */
void
cl_restore_scanned (struct cl_cell *c)
{
  GHashTableIter it;
  gpointer value;

  if (c->restored_rev != INT64_MAX)
    return;
  c->restored_rev = c->scan_rev;
  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct jb_job *job = value;

      if (!job->restored || job->writing)
        continue;
      job->restored = 0;
      job->version = 0;
      cl_mark_dirty (c, job);
    }
}
