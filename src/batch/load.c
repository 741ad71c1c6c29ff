/* Loads all jobs and their records at the start of a term, then adds the
   jobs that the change feed delivers.  */
#include <stdio.h>
#include <string.h>

#include "batch/holder.h"
#include "batch/term.h"

enum
{
  READ_TIMEOUT_MS = 1500,
  RETRY_MIN_MS = 40, /* delay after a failed read */
  RETRY_MAX_MS = 400 /* delay after a read that could not be sent */
};

void
ld_send_read (struct batch *b)
{
  const char *table = b->load_purpose == BA_LOAD_RECORDS ? "runs" : "jobs";
  struct ba_store_call *call;

  if (b->load_in_flight || b->now_ms < b->next_load_ms || !b->records)
    return;
  call = ba_new_store_call (b, b->load_purpose);
  b->load_in_flight = 1;
  if (!po_read (&b->port, table, b->load_next_key, "", READ_TIMEOUT_MS,
                ba_on_store_reply, call))
    return;
  g_free (call);
  b->load_in_flight = 0;
  b->next_load_ms = b->now_ms + RETRY_MAX_MS;
}

static struct sj_job *
read_job_row (const struct po_row *row)
{
  json_t *o = json_loads (row->value, 0, NULL);
  struct sj_job *job = sj_job_from_json (json_object_get (o, "job"));

  json_decref (o);
  if (!job)
    ba_log_unreadable_row (row->table, row->key);
  return job;
}

static void
load_record (struct batch *b, const struct po_row *row)
{
  json_t *value = json_loads (row->value, 0, NULL), *record;
  char id[SJ_ID_SIZE];

  if (!value)
    {
      ba_log_unreadable_row (row->table, row->key);
      return;
    }
  g_strlcpy (id, row->key, sizeof id);
  te_note_version (b, id, row->version);
  record = g_hash_table_lookup (b->records, id);
  if (!record)
    {
      record = json_object ();
      g_hash_table_insert (b->records, g_strdup (id), record);
    }
  sj_record_add (record, row->key, value);
}

static void
load_job_row (struct batch *b, const struct po_row *row)
{
  char id[SJ_ID_SIZE];
  struct sj_job *job;

  if (vw_parse_key (row->key, id) == VW_LEASE
      || vw_parse_key (row->key, id) == VW_END)
    return;
  vw_apply_row (&b->view, row->key, row->value, row->version, 0,
                b->job_follower.generation);
  if (vw_parse_key (row->key, id) != VW_JOB)
    return;
  job = read_job_row (row);
  if (job)
    g_ptr_array_add (b->loaded, job);
}

static void
log_job (const struct sj_job *job, int64_t waited_ms, int recorded)
{
  int64_t tasks = 0, accelerators = 0;

  for (int i = 0; i < job->step_count; i++)
    {
      tasks += job->step[i].count;
      accelerators += job->step[i].count * job->step[i].need.accelerators;
    }
  struct lg_field f[] = { lg_str ("id", job->id),
                          lg_str ("queue", job->queue),
                          lg_str ("account", job->account),
                          lg_int ("priority", job->priority),
                          lg_int ("steps", job->step_count),
                          lg_int ("tasks", tasks),
                          lg_int ("accelerators", accelerators),
                          lg_int ("chain_ms", sj_job_critical_path_ms (job)),
                          lg_int ("waited_ms", waited_ms),
                          lg_int ("recorded", recorded) };

  lg_log (LG_JOB_KNOWN, 10, f);
}

static void
add_job (struct batch *b, struct sj_job *job, const json_t *record)
{
  const struct vw_job *j = vw_find (&b->view, job->id);
  char id[SJ_ID_SIZE];
  int64_t waited_ms = j ? ba_store_clock_now_ms (b) - j->accepted_ms : 0;
  int error;

  memcpy (id, job->id, sizeof id);
  if (j && j->state >= SJ_COMPLETED)
    {
      sj_job_free (job);
      return;
    }
  if (ca_is_suspended (&b->lease.caution, id))
    {
      if (!j || !j->cancelled)
        {
          sj_leave_alone (b->cluster, id);
          sj_job_free (job);
          return;
        }
      /* Its runs are stopped as those of no job.  */
      ca_resume (&b->lease.caution, id);
      record = NULL;
    }
  log_job (job, waited_ms, record != NULL);
  error = sj_job_add (b->cluster, job, record, waited_ms > 0 ? waited_ms : 0,
                      b->now_ms);
  if (error && error != SJ_EEXIST)
    ba_log_unreadable_row ("runs", id);
  if (!error && j && j->cancelled)
    sj_job_cancel (b->cluster, id, b->now_ms);
}

void
ld_free (struct batch *b)
{
  if (b->records)
    g_hash_table_destroy (b->records);
  if (b->loaded)
    g_ptr_array_free (b->loaded, TRUE);
  if (b->versions)
    g_hash_table_destroy (b->versions);
  b->records = b->versions = NULL;
  b->loaded = NULL;
}

/* Has the pieces deleted that are left of jobs that are known to have ended:
   without its pieces, a job would start again.  */
static void
drop_pieces_of_ended_jobs (struct batch *b)
{
  GHashTableIter iter;
  gpointer id, record;
  const char *name;
  json_t *value;

  g_hash_table_iter_init (&iter, b->records);
  while (g_hash_table_iter_next (&iter, &id, &record))
    {
      const struct vw_job *j = vw_find (&b->view, id);

      if (!j || j->state < SJ_COMPLETED)
        continue;
      json_object_foreach (json_object_get (record, "rows"), name, value)
      {
        char key[SJ_KEY_SIZE];

        snprintf (key, sizeof key, "%s.%s", (const char *)id, name);
        sj_drop_row (b->cluster, key);
      }
    }
}

static void
finish_load (struct batch *b)
{
  te_suspend_latest (b);
  for (guint i = 0; i < b->loaded->len; i++)
    {
      struct sj_job *job = g_ptr_array_index (b->loaded, i);

      b->loaded->pdata[i] = NULL;
      add_job (b, job, g_hash_table_lookup (b->records, job->id));
    }
  drop_pieces_of_ended_jobs (b);
  ld_free (b);
  fo_start (&b->worker_follower);
}

void
ho_on_load_reply (struct batch *b, struct ba_store_call *call,
                  struct po_rows *rows)
{
  if (call->serial != b->term || b->phase != BA_LOADING)
    return;
  b->load_in_flight = 0;
  if (rows->result != PO_DONE)
    {
      b->next_load_ms = b->now_ms + RETRY_MIN_MS;
      return;
    }
  for (int i = 0; i < rows->count; i++)
    if (call->purpose == BA_LOAD_RECORDS)
      load_record (b, &rows->row[i]);
    else
      load_job_row (b, &rows->row[i]);
  if (ba_next_key (b->load_next_key, rows))
    return;
  b->load_next_key[0] = '\0';
  if (call->purpose == BA_LOAD_RECORDS)
    b->load_purpose = BA_LOAD_JOBS;
  else
    finish_load (b);
}

void
ho_on_job_progress (struct batch *b, int64_t version)
{
  if (b->phase != BA_STANDBY && version > b->jobs_seen_version)
    b->jobs_seen_version = version;
}

void
ho_on_job_row (struct batch *b, const struct po_row *row)
{
  char id[SJ_ID_SIZE];
  enum vw_row kind = vw_parse_key (row->key, id);
  struct sj_job *job;

  if (row->deleted)
    return;
  if (kind == VW_CANCEL)
    {
      sj_job_cancel (b->cluster, id, b->now_ms);
      if (ca_is_suspended (&b->lease.caution, id))
        te_reload (b);
      return;
    }
  if (kind != VW_JOB || sj_has_job (b->cluster, id))
    return;
  /* Jobs up to this version were loaded with their records or have ended.  A
     repeated scan of the table delivers their rows again.  */
  if (row->version <= b->jobs_seen_version)
    return;
  job = read_job_row (row);
  if (job)
    add_job (b, job, NULL);
}
