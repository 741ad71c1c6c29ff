/* Hands out the rows of changed jobs and takes note when they are stored.  The
   rows of one change of a job may need several transactions: first its pieces,
   then its head.  Its starts are sent, and its ends are acknowledged, once all
   of them are stored.  */
#include <stdlib.h>
#include <string.h>

#include "steps/state.h"

enum
{
  MAX_JOB_ROWS = 32,    /* of one job in a transaction */
  MAX_FURTHER_ROWS = 48 /* of changes that earlier ones began to store */
};

/* The state that callers see: a queued job that was started is running.  */
static enum sj_state
reported_state (const struct job *j)
{
  return j->state == SJ_QUEUED && j->started ? SJ_RUNNING : j->state;
}

static int
is_large (const struct job *j)
{
  int tasks = 0;

  if (!j->cluster->settings.record_pieces)
    return 0;
  for (guint i = 0; i < j->units->len && tasks <= SJ_ROW_TASKS; i++)
    if (jb_unit (j, i)->state != UN_DONE)
      tasks += jb_unit (j, i)->count;
  return tasks > SJ_ROW_TASKS;
}

/* Begins to store the changes of J.  */
static void
begin_change (struct sj_cluster *c, struct job *j)
{
  GPtrArray *pieces;

  j->dirty = 0;
  j->in_commit = 1;
  j->commit_since = j->dirty_since;
  j->planned_tasks = 0;
  j->head = HEAD_UNSENT;
  g_ptr_array_add (c->committing, j);
  if (!j->in_pieces && !jb_ended (j) && is_large (j))
    pc_begin (j);
  pieces = j->commit_pieces;
  j->commit_pieces = j->dirty_pieces;
  j->dirty_pieces = pieces;
  j->next_piece = 0;
  for (guint i = 0; i < j->commit_pieces->len; i++)
    {
      struct piece *p = g_ptr_array_index (j->commit_pieces, i);

      p->dirty = 0;
      p->in_commit = j->in_pieces;
      for (guint k = 0; k < p->units->len; k++)
        {
          struct unit *u = g_ptr_array_index (p->units, k);

          if (u->state != UN_ACTIVE)
            continue;
          if (!u->run_commit)
            u->run_commit = RUN_IN_COMMIT;
        }
    }
}

static struct piece *
next_piece (struct job *j)
{
  for (; j->next_piece < j->commit_pieces->len; j->next_piece++)
    {
      struct piece *p = g_ptr_array_index (j->commit_pieces, j->next_piece);

      /* The head tells that all tasks of a closed one are done.  */
      if (p->closed)
        p->in_commit = 0;
      if (p->in_commit && !p->sent)
        return p;
    }
  return NULL;
}

static void
fill_piece_row (struct sj_dirty *out, struct piece *p)
{
  p->sent = 1;
  p->has_row = 1;
  pc_row_key (out->key, p);
  out->record = rc_write_piece (p);
}

/* Returns 0 if the store has the same head already.  */
static int
fill_head_row (struct sj_dirty *out, struct job *j)
{
  json_t *head = rc_write (j);
  char *text = j->in_pieces ? json_dumps (head, JSON_COMPACT) : NULL;

  if (text && !g_strcmp0 (text, j->stored_head))
    {
      json_decref (head);
      free (text);
      j->head = HEAD_STORED;
      return 0;
    }
  free (j->sent_head);
  j->sent_head = text;
  j->head = HEAD_SENT;
  j->has_record = 1;
  j->commit_state = reported_state (j);
  for (guint i = 0; i < j->closed_pieces->len; i++)
    g_ptr_array_add (j->dropped_pieces,
                     g_ptr_array_index (j->closed_pieces, i));
  g_ptr_array_set_size (j->closed_pieces, 0);
  memcpy (out->key, j->spec->id, SJ_ID_SIZE);
  out->record = head;
  out->state = j->commit_state;
  out->state_changed = j->commit_state != j->stored_state;
  return 1;
}

/* Fills OUT with the next row of J's changes.  Returns 0 if there is none. */
static int
fill_row (struct sj_cluster *c, struct job *j, struct sj_dirty *out)
{
  struct piece *p = next_piece (j);

  if (!p && j->head != HEAD_UNSENT)
    return 0;
  *out = (struct sj_dirty){ .state = j->commit_state };
  memcpy (out->id, j->spec->id, SJ_ID_SIZE);
  if (p)
    fill_piece_row (out, p);
  else if (!fill_head_row (out, j))
    return 0;
  j->rows_out++;
  c->records_out++;
  if (j->aside)
    c->only_job = j;
  return 1;
}

/* Ends the change of J, all of which is stored, and sends the starts that it
   holds.  */
static void
end_change (struct sj_cluster *c, struct job *j, int64_t now)
{
  GPtrArray *starts = g_ptr_array_new ();

  j->in_commit = 0;
  g_ptr_array_remove (c->committing, j);
  ad_stored (j);
  for (guint i = 0; i < j->commit_pieces->len; i++)
    {
      const struct piece *p = g_ptr_array_index (j->commit_pieces, i);

      for (guint k = 0; k < p->units->len; k++)
        {
          struct unit *u = g_ptr_array_index (p->units, k);

          if (u->run_commit != RUN_IN_COMMIT)
            continue;
          u->run_commit = RUN_STORED;
          g_ptr_array_add (starts, u);
        }
    }
  g_ptr_array_set_size (j->commit_pieces, 0);
  pc_drop_closed (c, j);
  for (guint i = 0; i < starts->len; i++)
    {
      struct unit *u = g_ptr_array_index (starts, i);

      if (u->state == UN_ACTIVE && u->run_commit == RUN_STORED)
        ru_send_starts (c, u, now);
    }
  g_ptr_array_free (starts, TRUE);
}

static int
may_return (const struct sj_cluster *c, const struct job *j)
{
  if (j->rows_out >= MAX_JOB_ROWS)
    return 0;
  return c->only_job ? c->only_job == j : !j->aside || !c->records_out;
}

/* Whether a change that is being stored has rows that were not returned.  */
static int
has_further_rows (struct job *j)
{
  return next_piece (j) || j->head == HEAD_UNSENT;
}

static int
add_further_rows (struct sj_cluster *c, struct sj_dirty *out, int max)
{
  int n = 0;

  for (guint i = 0; i < c->committing->len;)
    {
      struct job *j = g_ptr_array_index (c->committing, i);

      while (n < max && c->further_rows < MAX_FURTHER_ROWS && may_return (c, j)
             && fill_row (c, j, &out[n]))
        {
          c->further_rows += !j->begun_now;
          n++;
        }
      if (j->rows_out || has_further_rows (j))
        i++;
      else
        end_change (c, j, c->now);
    }
  return n;
}

/* The rows of jobs that have ended are deleted last.  */
static int
add_dropped_rows (struct sj_cluster *c, struct sj_dirty *out, int max)
{
  int n = 0;

  while (n < max && !c->only_job && c->dropped_out < c->dropped_rows->len
         && c->dropped_out < MAX_FURTHER_ROWS)
    {
      out[n] = (struct sj_dirty){ .record = NULL };
      g_strlcpy (out[n].key,
                 g_ptr_array_index (c->dropped_rows, c->dropped_out++),
                 SJ_KEY_SIZE);
      memcpy (out[n].id, out[n].key, SJ_ID_SIZE - 1);
      n++;
    }
  return n;
}

/* Jobs whose records changed first come first, so that none waits long.  A job
   that was set aside is tried alone.  */
int
sj_dirty (struct sj_cluster *c, struct sj_dirty *out, int max)
{
  int n = add_further_rows (c, out, max);
  GList *next;

  for (GList *l = c->dirty_jobs.head; l && n < max; l = next)
    {
      struct job *j = l->data;

      next = l->next;
      if (j->in_commit || !may_return (c, j))
        continue;
      g_queue_delete_link (&c->dirty_jobs, l);
      begin_change (c, j);
      j->begun_now = 1;
      while (n < max && may_return (c, j) && fill_row (c, j, &out[n]))
        n++;
      /* All that has changed is of tasks that the head has as done.  */
      if (!j->rows_out)
        end_change (c, j, c->now);
    }
  return n + add_dropped_rows (c, out + n, max - n);
}

int
sj_is_dirty (struct sj_cluster *c)
{
  for (const GList *l = c->dirty_jobs.head; l; l = l->next)
    if (!((const struct job *)l->data)->in_commit)
      return 1;
  for (guint i = 0; i < c->committing->len; i++)
    if (has_further_rows (g_ptr_array_index (c->committing, i)))
      return 1;
  return c->dropped_out < c->dropped_rows->len;
}

int64_t
sj_change_serial (const struct sj_cluster *c)
{
  return c->change_serial;
}

int64_t
sj_stored_serial (const struct sj_cluster *c)
{
  int64_t serial = c->change_serial;

  for (const GList *l = c->dirty_jobs.head; l; l = l->next)
    {
      const struct job *j = l->data;

      if (j->aside)
        continue;
      serial = j->dirty_since - 1;
      break;
    }
  for (guint i = 0; i < c->committing->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->committing, i);

      if (!j->aside && j->commit_since <= serial)
        serial = j->commit_since - 1;
    }
  return serial;
}

/* Takes note whether the rows of J that were returned are stored.  */
static void
note_rows (struct job *j, int ok)
{
  for (guint i = 0; i < j->commit_pieces->len; i++)
    {
      struct piece *p = g_ptr_array_index (j->commit_pieces, i);

      if (p->sent && ok)
        p->in_commit = 0;
      p->sent = 0;
    }
  j->next_piece = 0;
  j->rows_out = j->begun_now = 0;
  if (j->head != HEAD_SENT)
    return;
  j->head = ok ? HEAD_STORED : HEAD_UNSENT;
  if (!ok)
    return;
  j->stored_state = j->commit_state;
  free (j->stored_head);
  j->stored_head = j->sent_head;
  j->sent_head = NULL;
}

void
sj_committed (struct sj_cluster *c, int ok, int64_t now)
{
  GPtrArray *stored = g_ptr_array_new ();

  c->now = now;
  c->records_out = c->further_rows = 0;
  c->only_job = NULL;
  if (ok && c->dropped_out)
    g_ptr_array_remove_range (c->dropped_rows, 0, c->dropped_out);
  c->dropped_out = 0;
  for (guint i = 0; i < c->committing->len; i++)
    {
      struct job *j = g_ptr_array_index (c->committing, i);

      note_rows (j, ok);
      if (!has_further_rows (j))
        g_ptr_array_add (stored, j);
    }
  for (guint i = 0; i < stored->len; i++)
    end_change (c, g_ptr_array_index (stored, i), now);
  g_ptr_array_free (stored, TRUE);
  c->changed = 1;
}

void
sj_drop_row (struct sj_cluster *c, const char *key)
{
  g_ptr_array_add (c->dropped_rows, g_strdup (key));
}

/* Gives up to store the changes of J for now; they count from the first one
   again.  */
void
ch_cancel (struct sj_cluster *c, struct job *j)
{
  if (!j->in_commit)
    return;
  j->in_commit = 0;
  j->dirty_since = j->commit_since;
  g_ptr_array_remove (c->committing, j);
  c->records_out -= j->rows_out;
  if (c->only_job == j)
    c->only_job = NULL;
  for (guint i = 0; i < j->commit_pieces->len; i++)
    {
      struct piece *p = g_ptr_array_index (j->commit_pieces, i);

      p->in_commit = p->sent = 0;
      pc_mark (p);
    }
  g_ptr_array_set_size (j->commit_pieces, 0);
  for (guint i = 0; i < j->dropped_pieces->len; i++)
    g_ptr_array_add (j->closed_pieces,
                     g_ptr_array_index (j->dropped_pieces, i));
  g_ptr_array_set_size (j->dropped_pieces, 0);
  j->rows_out = j->begun_now = 0;
}
