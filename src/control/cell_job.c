/* The jobs of a cell: loading of rows, submission to the decision layer and
   changes of state.  */
#include <string.h>

#include "control/cell_impl.h"
#include "skr/log.h"

uint32_t
cl_account_handle (struct cl_cell *c, const char *name)
{
  for (guint i = 0; i < c->accounts->len; i++)
    if (!strcmp (g_ptr_array_index (c->accounts, i), name))
      return i;
  g_ptr_array_add (c->accounts, g_strdup (name));
  return c->accounts->len - 1;
}

struct jb_job *
cl_job_by_handle (struct cl_cell *c, uint32_t handle)
{
  return handle < c->jobs_by_handle->len
             ? g_ptr_array_index (c->jobs_by_handle, handle)
             : NULL;
}

struct jb_job *
cl_find_job (struct cl_cell *c, const char *id)
{
  return g_hash_table_lookup (c->jobs, id);
}

static uint32_t
new_handle (struct cl_cell *c, struct jb_job *job)
{
  guint left = c->free_handles->len;
  uint32_t handle;

  if (!left)
    {
      g_ptr_array_add (c->jobs_by_handle, job);
      return c->jobs_by_handle->len - 1;
    }
  handle = g_array_index (c->free_handles, uint32_t, left - 1);
  g_array_set_size (c->free_handles, left - 1);
  g_ptr_array_index (c->jobs_by_handle, handle) = job;
  return handle;
}

void
cl_drop_handle (struct cl_cell *c, struct jb_job *job)
{
  if (job->handle == JB_NO_HANDLE)
    return;
  g_ptr_array_index (c->jobs_by_handle, job->handle) = NULL;
  g_array_append_val (c->free_handles, job->handle);
  job->handle = JB_NO_HANDLE;
}

void
cl_set_state (struct cl_cell *c, struct jb_job *job, enum jb_state state,
              const char *reason)
{
  jb_set_state (job, state, reason);
  cl_mark_dirty (c, job);
}

void
cl_submit (struct cl_cell *c, struct jb_job *job)
{
  struct dc_event e = { .kind = DC_EV_SUBMIT };

  job->handle = new_handle (c, job);
  job->decide_attempt = 0;
  e.u.submit.id = job->handle;
  e.u.submit.spec = job->spec;
  e.u.submit.spec.account = cl_account_handle (c, job->account);
  cl_apply_event (c, &e);
}

void
cl_withdraw_job (struct cl_cell *c, struct jb_job *job)
{
  struct dc_event e = { .kind = DC_EV_CANCEL };

  e.u.job = job->handle;
  if (job->handle != JB_NO_HANDLE)
    {
      cl_drop_handle (c, job);
      cl_apply_event (c, &e);
    }
  g_queue_remove (&c->waiting, job);
}

/* A scan in flight may still return the job's old row.  */
void
cl_drop_job (struct cl_cell *c, struct jb_job *job, int64_t version)
{
  cl_stop_gang (c, job);
  cl_withdraw_job (c, job);
  g_hash_table_replace (c->dropped, g_strdup (job->id),
                        g_memdup2 (&version, sizeof version));
  cl_set_gang_owner (c, job->id, NULL);
  g_hash_table_remove (c->jobs, job->id);
}

void
cl_queue_job (struct cl_cell *c, struct jb_job *job, int64_t delay_ms)
{
  job->submit_at_ms = c->now_ms + delay_ms;
  g_queue_push_tail (&c->waiting, job);
}

void
cl_resubmit (struct cl_cell *c, struct jb_job *job, int64_t delay_ms)
{
  if (job->gang && job->gang->attempt > job->attempt)
    job->attempt = job->gang->attempt;
  cl_stop_gang (c, job);
  cl_withdraw_job (c, job);
  if (job->state == JB_RUNNING)
    cl_set_state (c, job, JB_QUEUED, NULL);
  cl_queue_job (c, job, delay_ms);
}

void
cl_check_cancel (struct cl_cell *c, struct jb_job *job)
{
  struct dc_event e = { .kind = DC_EV_CANCEL };

  if (!job->cancel || jb_has_ended (job) || c->phase != CL_SERVING
      || job->handle == JB_NO_HANDLE)
    return;
  e.u.job = job->handle;
  cl_apply_event (c, &e);
}

static void
submit_queued (struct cl_cell *c, struct jb_job *job)
{
  if (job->cancel)
    {
      cl_set_state (c, job, JB_CANCELLED, "cancelled by the caller");
      return;
    }
  /* An earlier holder may have reserved parts of an attempt that no row
     mentions, so that attempt's number is not reused.  */
  job->attempt_base = job->attempt > job->max_reported_attempt
                          ? job->attempt
                          : job->max_reported_attempt;
  cl_submit (c, job);
}

/* Jobs that exceed the cell's capacity are not submitted to its decision
   layer.  */
void
cl_jobs_step (struct cl_cell *c)
{
  struct hm_capacity capacity = { .known = 0 };

  if (!g_queue_is_empty (&c->waiting))
    cl_capacity (c, &capacity);
  for (guint n = g_queue_get_length (&c->waiting); n > 0; n--)
    {
      struct jb_job *job = g_queue_pop_head (&c->waiting);

      if (c->now_ms >= job->submit_at_ms
          && (job->cancel || !capacity.known
              || hm_fits (&capacity, cl_demand (job))))
        submit_queued (c, job);
      else
        g_queue_push_tail (&c->waiting, job);
    }
}

static struct jb_job *
add_job (struct cl_cell *c, const char *id, json_t *value, int64_t version)
{
  int error;
  struct jb_job *job = jb_new (id, value, version, &error);

  if (!job)
    {
      struct lg_field field[]
          = { lg_str ("cell", c->name), lg_str ("job", id) };

      lg_log (LG_JOB_ROW_BAD, 2, field);
      return NULL;
    }
  g_hash_table_insert (c->jobs, job->id, job);
  cl_set_gang_owner (c, job->id, job);
  return job;
}

void
cl_load_row (struct cl_cell *c, const char *id, json_t *value, int64_t version)
{
  struct jb_job *job = cl_find_job (c, id);
  const int64_t *gone = g_hash_table_lookup (c->dropped, id);

  if (job)
    {
      if (cl_restore_row (c, job, version))
        return;
      if (version > job->version && !job->writing)
        {
          jb_merge_row (job, value, version);
          cl_check_cancel (c, job);
        }
      return;
    }
  if (!jb_is_live (value) || (gone && *gone >= version))
    return;
  job = add_job (c, id, value, version);
  if (!job)
    return;
  if (job->state == JB_RUNNING)
    cl_load_placement (c, job);
  if (c->phase == CL_SERVING)
    cl_recover_job (c, job);
}

void
cl_row_written (struct cl_cell *c, struct jb_job *job)
{
  struct cl_effect e = { .kind = CL_JOB_CHANGED, .cell = c };
  struct wk_gang *g = job->gang;
  json_t *row;

  e.u.ended.job = job->id;
  e.u.ended.is_end = jb_has_ended (job);
  row = e.u.ended.is_end ? jb_parse_row (job) : NULL;
  e.u.ended.row = row;
  c->emit (c->arg, &e);
  json_decref (row);
  if (jb_has_ended (job) || job->move_to)
    {
      cl_drop_job (c, job, job->version);
      return;
    }
  if (g && g->phase == WK_HOLD && job->state == JB_RUNNING
      && job->attempt == g->attempt && wk_all_in_state (g, WK_HELD))
    wk_set_phase (g, WK_RUN, c->now_ms);
}

/* Removes entries that the completed scan covers: no later scan returns an
   older row.  */
static void
prune_dropped (struct cl_cell *c)
{
  GHashTableIter it;
  gpointer version;

  g_hash_table_iter_init (&it, c->dropped);
  while (g_hash_table_iter_next (&it, NULL, &version))
    if (*(int64_t *)version <= c->scan_rev)
      g_hash_table_iter_remove (&it);
}

static void
load_page (struct cl_cell *c, const json_t *rows)
{
  const json_t *o;
  size_t i;

  json_array_foreach (rows, i, o)
  {
    const char *key = json_string_value (json_object_get (o, "key"));
    json_t *value = json_object_get (o, "value");

    if (key && value)
      cl_load_row (c, key, value,
                   json_integer_value (json_object_get (o, "version")));
    if (key && strlen (key) < CT_NAME)
      g_strlcpy (c->scan_after, key, sizeof c->scan_after);
  }
}

void
cl_scan_done (struct cl_cell *c, int64_t now_ms, int64_t serial, int error,
              const json_t *data)
{
  c->now_ms = now_ms;
  if (c->phase == CL_WATCHING || serial != c->scan_serial)
    return;
  c->scanning = 0;
  c->scan_at_ms = now_ms + c->settings->scan_ms;
  if (error)
    return;
  if (!*c->scan_after)
    c->scan_first_rev = json_integer_value (json_object_get (data, "rev"));
  load_page (c, json_object_get (data, "rows"));
  if (json_is_true (json_object_get (data, "more")))
    {
      c->scan_at_ms = now_ms;
      return;
    }
  c->scan_after[0] = '\0';
  c->scan_rev = c->scan_first_rev;
  cl_restore_scanned (c);
  prune_dropped (c);
  if (c->phase == CL_LOADING)
    cl_survey_begin (c);
}
