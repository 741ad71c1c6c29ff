/* The pieces in which the record of a large job is stored: each has a row for
   the tasks of one chunk of a step.  */
#include <stdio.h>

#include "steps/state.h"

enum
{
  STEP_BITS = 8, /* SJ_MAX_STEPS and SJ_MAX_STEP_TASKS fit */
  CHUNK_BITS = 24
};

int
pc_count (const struct job *j, int step)
{
  return (j->spec->step[step].count + PC_TASKS - 1) / PC_TASKS;
}

static gint64
make_key (int occurrence, int step, int chunk)
{
  return ((((gint64)occurrence << STEP_BITS) | step) << CHUNK_BITS) | chunk;
}

static void
free_piece (void *piece)
{
  struct piece *p = piece;

  g_ptr_array_free (p->units, TRUE);
  g_free (p);
}

void
pc_init (struct job *j)
{
  j->pieces
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_piece);
  j->dirty_pieces = g_ptr_array_new ();
  j->commit_pieces = g_ptr_array_new ();
  j->closed_pieces = g_ptr_array_new ();
  j->dropped_pieces = g_ptr_array_new ();
}

void
pc_fini (struct job *j)
{
  g_ptr_array_free (j->dirty_pieces, TRUE);
  g_ptr_array_free (j->commit_pieces, TRUE);
  g_ptr_array_free (j->closed_pieces, TRUE);
  g_ptr_array_free (j->dropped_pieces, TRUE);
  g_hash_table_destroy (j->pieces);
}

struct piece *
pc_find (const struct job *j, int occurrence, int step, int chunk)
{
  gint64 key = make_key (occurrence, step, chunk);

  return g_hash_table_lookup (j->pieces, &key);
}

struct piece *
pc_find_or_add (struct job *j, int occurrence, int step, int chunk)
{
  struct piece *p = pc_find (j, occurrence, step, chunk);

  if (p)
    return p;
  p = g_new0 (struct piece, 1);
  p->job = j;
  p->occurrence = occurrence;
  p->step = step;
  p->chunk = chunk;
  p->key = make_key (occurrence, step, chunk);
  p->units = g_ptr_array_new ();
  g_hash_table_insert (j->pieces, &p->key, p);
  return p;
}

void
pc_row_key (char out[SJ_KEY_SIZE], const struct piece *p)
{
  snprintf (out, SJ_KEY_SIZE, "%s.%d.%d.%d", p->job->spec->id, p->occurrence,
            p->step, p->chunk);
}

void
pc_mark (struct piece *p)
{
  if (p->dirty || p->closed)
    return;
  p->dirty = 1;
  g_ptr_array_add (p->job->dirty_pieces, p);
}

static int
last_chunk (const struct unit *u)
{
  return (u->first + u->count - 1) / PC_TASKS;
}

void
pc_add_unit (struct unit *u)
{
  for (int i = u->first / PC_TASKS; i <= last_chunk (u); i++)
    {
      struct piece *p = pc_find_or_add (u->job, u->occurrence, u->step, i);

      g_ptr_array_add (p->units, u);
      if (p->stale)
        pc_mark (p);
      p->stale = 0;
    }
}

void
pc_remove_unit (struct unit *u)
{
  for (int i = u->first / PC_TASKS; i <= last_chunk (u); i++)
    {
      struct piece *p = pc_find (u->job, u->occurrence, u->step, i);

      if (p)
        g_ptr_array_remove_fast (p->units, u);
    }
}

void
pc_mark_unit (struct unit *u)
{
  for (int i = u->first / PC_TASKS; i <= last_chunk (u); i++)
    {
      struct piece *p = pc_find (u->job, u->occurrence, u->step, i);

      if (p)
        pc_mark (p);
    }
  jb_mark_dirty (u->job);
}

void
pc_close (struct job *j, int occurrence)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, j->pieces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct piece *p = value;

      if (p->closed || (occurrence >= 0 && p->occurrence != occurrence))
        continue;
      p->closed = 1;
      g_ptr_array_add (j->closed_pieces, p);
    }
}

/* Without a stored record, a piece without a row tells the same as its row
   would: none of its tasks was started.  */
void
pc_begin (struct job *j)
{
  if (j->in_pieces)
    return;
  j->in_pieces = 1;
  if (!j->has_record)
    return;
  for (guint i = 0; i < j->open_occurrences->len; i++)
    {
      const struct occurrence *o = g_ptr_array_index (j->open_occurrences, i);

      for (int step = 0; step < j->spec->step_count; step++)
        for (int k = 0; o->units_not_done[step] >= 0 && k < pc_count (j, step);
             k++)
          pc_mark (pc_find_or_add (j, o->number, step, k));
    }
}

void
pc_drop_closed (struct sj_cluster *c, struct job *j)
{
  char key[SJ_KEY_SIZE];

  for (guint i = 0; i < j->dropped_pieces->len; i++)
    {
      struct piece *p = g_ptr_array_index (j->dropped_pieces, i);

      if (p->has_row)
        {
          pc_row_key (key, p);
          sj_drop_row (c, key);
        }
      if (p->dirty)
        g_ptr_array_remove_fast (j->dirty_pieces, p);
      g_hash_table_remove (j->pieces, &p->key);
    }
  g_ptr_array_set_size (j->dropped_pieces, 0);
}
