/* The job rows written by a cell's transactions.  */
#include <stdio.h>
#include <string.h>

#include "control/cell_impl.h"

enum
{
  MAX_TXN_BYTES = 512 << 10 /* limit of the row values in one transaction */
};

void
cl_mark_dirty (struct cl_cell *c, struct jb_job *job)
{
  job->dirty = 1;
  if (job->writing)
    job->changed_in_flight = 1;
  else if (!job->in_queue)
    {
      job->in_queue = 1;
      g_queue_push_tail (&c->dirty[job->spec.class], job);
    }
}

/* Rows of urgent jobs are written first, so that they never wait for bulk
   rows.  */
GQueue *
cl_next_dirty_queue (struct cl_cell *c)
{
  for (int i = 0; i <= DC_BULK; i++)
    if (!g_queue_is_empty (&c->dirty[i]))
      return &c->dirty[i];
  return NULL;
}

/* Moves a job to another cell.  Both rows change in the same transaction, so
   that the job is never in two cells.  */
static void
add_moved_rows (struct cl_cell *c, struct tb_txn *txn, struct jb_job *job)
{
  char table[CT_NAME + 8];

  snprintf (table, sizeof table, "jobs.%s", job->move_to);
  tb_txn_check (txn, table, job->id, job->move_version);
  if (!job->already_moved)
    tb_txn_put (txn, table, job->id, jb_parse_row (job));
  tb_txn_put (txn, c->table, job->id, jb_moved_row (job));
  c->row_tokens--;
}

void
cl_add_rows (struct cl_cell *c, struct tb_txn *txn)
{
  size_t bytes = 0;
  GQueue *queue;

  while ((queue = cl_next_dirty_queue (c)) && c->row_tokens >= 1
         && (int)c->batch->len < c->settings->commit_rows
         && bytes < MAX_TXN_BYTES)
    {
      struct jb_job *job = g_queue_pop_head (queue);

      job->in_queue = 0;
      bytes += strlen (job->row_text);
      tb_txn_check (txn, c->table, job->id, job->version);
      if (job->move_to)
        add_moved_rows (c, txn, job);
      else
        tb_txn_put (txn, c->table, job->id, jb_parse_row (job));
      job->dirty = job->changed_in_flight = 0;
      job->writing = 1;
      c->row_tokens--;
      g_ptr_array_add (c->batch, job);
    }
}

void
cl_rows_written (struct cl_cell *c, int64_t rev)
{
  for (guint i = 0; i < c->batch->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (c->batch, i);

      job->writing = 0;
      job->version = rev;
      if (job->changed_in_flight)
        cl_mark_dirty (c, job);
    }
  for (guint i = 0; i < c->batch->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (c->batch, i);

      if (!job->dirty)
        cl_row_written (c, job);
    }
  g_ptr_array_set_size (c->batch, 0);
}

/* Drops jobs whose row in the table has ended or moved to another cell; the
   copy in memory came from an older read.  */
static void
drop_stale (struct cl_cell *c)
{
  GPtrArray *stale = g_ptr_array_new ();

  for (guint i = c->batch->len; i > 0; i--)
    {
      struct jb_job *job = g_ptr_array_index (c->batch, i - 1);

      if (!job->stale)
        continue;
      job->writing = job->dirty = job->changed_in_flight = 0;
      g_ptr_array_add (stale, job);
      g_ptr_array_remove_index (c->batch, i - 1);
    }
  for (guint i = 0; i < stale->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (stale, i);

      cl_drop_job (c, job, job->version);
    }
  g_ptr_array_free (stale, TRUE);
}

void
cl_rows_write_failed (struct cl_cell *c)
{
  drop_stale (c);
  for (guint i = c->batch->len; i > 0; i--)
    {
      struct jb_job *job = g_ptr_array_index (c->batch, i - 1);

      job->writing = job->changed_in_flight = 0;
      job->dirty = job->in_queue = 1;
      g_queue_push_head (&c->dirty[job->spec.class], job);
    }
  g_ptr_array_set_size (c->batch, 0);
}

void
cl_merge_conflict (struct cl_cell *c, const char *table, struct jb_job *job,
                   int64_t version, const json_t *value)
{
  if (strcmp (table, c->table) != 0)
    {
      /* The row in the target cell is the remainder of an earlier move, which
         is overwritten, or the job itself, which is kept.  */
      job->move_version = version;
      job->already_moved = version && json_object_get (value, "state");
      return;
    }
  jb_merge_row (job, value, version);
  job->stale = version && !jb_is_live (value);
  cl_check_cancel (c, job);
}
