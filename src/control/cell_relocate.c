/* Queued jobs that the workers of their cell can no longer run: they move to
   another cell or end.  */
#include <string.h>

#include "control/cell_impl.h"
#include "skr/log.h"

enum
{
  CHECK_INTERVAL_MS = 500 /* between two checks of all queued jobs */
};

struct hm_demand
cl_demand (const struct jb_job *job)
{
  return (struct hm_demand){ job->spec.tasks, job->spec.per_task };
}

void
cl_capacity (struct cl_cell *c, struct hm_capacity *capacity)
{
  memset (capacity, 0, sizeof *capacity);
  capacity->known = 1;
  for (uint32_t i = 0; i < c->workers->len; i++)
    {
      const struct mb_worker *w = cl_worker (c, i);
      int slots = w->slots - c->settings->reserve_slots;

      if (w->state == MB_UP)
        hm_add_worker (capacity, w->accelerators, slots > 0 ? slots : 0);
    }
}

/* Whether the job is queued and nothing but its row exists: no attempt,
   pending write, cancellation or move.  */
static int
is_idle (struct cl_cell *c, const struct jb_job *job)
{
  return job->state == JB_QUEUED && !job->gang && !job->dirty && !job->writing
         && !job->cancel && !job->move_to
         && !g_hash_table_contains (c->gangs_by_job, job->id);
}

static GArray *
parse_other_cells (const struct cl_cell *c)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct hm_capacity));
  const json_t *o;
  size_t i;

  json_array_foreach (c->cell_rows, i, o)
  {
    const char *key = json_string_value (json_object_get (o, "key"));
    struct hm_capacity capacity;

    if (!key || strcmp (key, c->name) == 0 || strlen (key) >= CT_NAME)
      continue;
    hm_parse (&capacity, key, json_object_get (o, "value"));
    g_array_append_val (list, capacity);
  }
  return list;
}

static void
log_job (struct cl_cell *c, enum lg_event event, const struct jb_job *job,
         const char *to)
{
  struct lg_field field[] = { lg_str ("cell", c->name),
                              lg_str ("job", job->id), lg_str ("to", to) };

  lg_log (event, to ? 3 : 2, field);
}

/* Attempt numbers that the workers of this cell have reported are not reused
   in the new cell.  */
static void
move_job (struct cl_cell *c, struct jb_job *job, const char *to)
{
  cl_withdraw_job (c, job);
  if (job->max_reported_attempt > job->attempt)
    job->attempt = job->max_reported_attempt;
  jb_set_state (job, JB_QUEUED, "its cell no longer holds it");
  job->move_to = g_intern_string (to);
  job->move_version = job->already_moved = 0;
  log_job (c, LG_JOB_MOVED, job, to);
  cl_mark_dirty (c, job);
}

static void
end_job (struct cl_cell *c, struct jb_job *job)
{
  json_t *row = jb_parse_row (job);
  int began = json_integer_value (json_object_get (row, "started_at")) != 0;

  cl_withdraw_job (c, job);
  json_decref (row);
  jb_update_row (job, json_pack ("{s:i}", "retry_after_s", HM_RETRY_AFTER_S));
  log_job (c, LG_JOB_NO_ROOM, job, NULL);
  cl_set_state (c, job, began ? JB_FAILED : JB_REFUSED,
                "no cell holds it any more");
}

void
cl_relocate_step (struct cl_cell *c)
{
  struct hm_capacity own;
  GArray *others;
  GHashTableIter it;
  gpointer value;

  if (c->now_ms < c->relocate_at_ms)
    return;
  c->relocate_at_ms = c->now_ms + CHECK_INTERVAL_MS;
  cl_capacity (c, &own);
  others = parse_other_cells (c);
  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct jb_job *job = value;
      const struct hm_capacity *to;

      if (!is_idle (c, job))
        {
          job->unfit_since_ms = 0;
          continue;
        }
      switch (hm_decide (&own,
                         (const struct hm_capacity *)(void *)others->data,
                         (int)others->len, cl_demand (job),
                         &job->unfit_since_ms, c->now_ms, &to))
        {
        case HM_STAY:
          break;
        case HM_MOVE:
          move_job (c, job, to->cell);
          break;
        case HM_END:
          end_job (c, job);
          break;
        }
    }
  g_array_free (others, TRUE);
}
