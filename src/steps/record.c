/* The stored record of a job's progress: open occurrences, the units not yet
   done of each step, and the workers of each unit's current run.  That of a
   large job is in pieces: its head names the open occurrences, and each piece
   has the units not yet done of its tasks.  Of a piece without a row no task
   was started.  */
#include <stdio.h>
#include <string.h>

#include "steps/state.h"

/* Positions in the JSON array that describes a unit.  A unit that was never
   started has the first two only.  */
enum
{
  UNIT_STEP,
  UNIT_FIRST,
  UNIT_RUN,
  UNIT_FAILURES,
  UNIT_CHECKPOINT,
  UNIT_PLACEMENT,
  UNIT_LIFE_TAGS, /* of the workers' incarnations, 0 where unknown */
  /* Only if workers have crashed, or may have, under its tasks: */
  UNIT_CRASHES, /* for each of these tasks its index, number, certain ones */
  UNIT_LAST_RUN,
  UNIT_UNRESOLVED, /* losses that may have been crashes */
  /* Only if a member of the current run has failed: */
  UNIT_FAILED_RUN, /* its number; the fields before it may be null */
  UNIT_FIELDS
};

enum
{
  MAX_RECORDED_CRASHES = 16, /* of one task */
  MAX_RECORDED_LOSSES = 64,  /* unresolved ones of one job */
  /* With fewer bytes of checkpoints in all a record is not measured.  */
  FEW_CHECKPOINT_BYTES = 2000,
  /* Units of one job whose crashes are recorded.  What happened to more of
     them is not the doing of one task.  */
  MAX_RECORDED_SUSPECTS = 150
};

static int
never_started (const struct unit *u)
{
  return u->state == UN_READY && !u->run_number;
}

/* Tasks FROM to TO, excluded, of a step.  */
struct range
{
  int from, to;
};

static int
is_within (const struct range *r, int index)
{
  return index >= r->from && index < r->to;
}

/* The workers' ids, null for ended members; empty without a run.  */
static json_t *
write_placement (const struct unit *u, const struct range *r)
{
  json_t *placement = json_array ();

  if (u->members)
    for (int i = r->from - u->first; i < r->to - u->first; i++)
      json_array_append_new (placement,
                             u->members[i].state == MB_ENDED
                                 ? json_null ()
                                 : json_string (u->members[i].worker->id));
  return placement;
}

static json_t *
write_life_tags (const struct unit *u, const struct range *r)
{
  json_t *tags = json_array ();

  if (u->members)
    for (int i = r->from - u->first; i < r->to - u->first; i++)
      json_array_append_new (tags, json_integer (u->members[i].life_tag));
  return tags;
}

static json_t *
write_crashes (const struct unit *u, const struct range *r)
{
  json_t *list = json_array ();

  for (int i = r->from; u->crashes && i < r->to; i++)
    {
      int all = 0, certain = 0;

      for (guint k = 0; k < u->crashes->len; k++)
        {
          const struct crash *crash
              = &g_array_index (u->crashes, struct crash, k);

          all += crash->index == i;
          certain += crash->index == i && crash->is_certain;
        }
      if (all)
        json_array_append_new (list, json_pack ("[i,i,i]", i, all, certain));
    }
  return list;
}

/* An array for each loss.  */
static json_t *
write_unresolved (const struct unit *u, const struct range *r)
{
  json_t *losses = json_array ();

  for (guint i = 0; u->unresolved && i < u->unresolved->len; i++)
    {
      const struct unresolved_loss *l
          = &g_array_index (u->unresolved, struct unresolved_loss, i);

      if (is_within (r, l->index))
        json_array_append_new (losses,
                               json_pack ("[i,s,i,i]", l->index, l->worker,
                                          l->life_tag, l->is_certain));
    }
  return losses;
}

/* What is recorded of a job's units, so that its record stays small.  */
struct extent
{
  int least_crashes;     /* of units whose crashes are recorded */
  int with_unresolved;   /* unresolved losses are recorded */
  size_t max_checkpoint; /* bytes of a checkpoint that is recorded */
};

static const char *
recorded_checkpoint (const struct unit *u, const struct extent *extent)
{
  const char *checkpoint = un_checkpoint (u);

  return strlen (checkpoint) <= extent->max_checkpoint ? checkpoint : "";
}

/* Writes the tasks of U that are in R.  */
static json_t *
write_unit (const struct unit *u, const struct range *r,
            const struct extent *extent)
{
  json_t *value;

  if (never_started (u))
    return json_pack ("[i,i]", u->step, r->from);
  value = json_pack ("[i,i,I,i,s,o,o]", u->step, r->from,
                     (json_int_t)u->run_number, u->failures,
                     recorded_checkpoint (u, extent), write_placement (u, r),
                     write_life_tags (u, r));
  if (lo_possible_crashes (u) >= extent->least_crashes)
    {
      json_array_append_new (value, write_crashes (u, r));
      json_array_append_new (value, json_integer (u->last_run));
      if (extent->with_unresolved)
        json_array_append_new (value, write_unresolved (u, r));
    }
  if (!u->members || u->failed_run != u->run_number)
    return value;
  while (json_array_size (value) < UNIT_FAILED_RUN)
    json_array_append_new (value, json_null ());
  json_array_append_new (value, json_integer (u->failed_run));
  return value;
}

static int
count_suspects (const GPtrArray *units, int least_crashes)
{
  int n = 0;

  for (guint i = 0; i < units->len; i++)
    n += lo_possible_crashes (g_ptr_array_index (units, i)) >= least_crashes;
  return n;
}

static struct extent
choose_extent (const GPtrArray *units)
{
  struct extent extent
      = { .least_crashes = 1, .max_checkpoint = SJ_MAX_CHECKPOINT };
  guint losses = 0;

  while (count_suspects (units, extent.least_crashes) > MAX_RECORDED_SUSPECTS)
    extent.least_crashes++;
  for (guint i = 0; i < units->len; i++)
    {
      const struct unit *u = g_ptr_array_index (units, i);

      losses += u->unresolved ? u->unresolved->len : 0;
    }
  extent.with_unresolved = losses <= MAX_RECORDED_LOSSES;
  return extent;
}

static json_t *
write_occurrence (const struct job *j, const struct occurrence *o,
                  const struct extent *extent)
{
  json_t *units_left = json_array (), *units = json_array ();

  for (int i = 0; i < j->spec->step_count; i++)
    json_array_append_new (units_left, json_integer (o->units_not_done[i]));
  for (guint i = 0; i < j->units->len; i++)
    {
      const struct unit *u = g_ptr_array_index (j->units, i);
      struct range all = { u->first, u->first + u->count };

      if (u->occurrence == o->number && u->state != UN_DONE)
        json_array_append_new (units, write_unit (u, &all, extent));
    }
  return json_pack ("{s:i,s:o,s:o}", "n", o->number, "left", units_left,
                    "units", units);
}

static int
by_index (gconstpointer a, gconstpointer b)
{
  const struct unit *x = *(struct unit *const *)a,
                    *y = *(struct unit *const *)b;

  return (x->first > y->first) - (x->first < y->first);
}

static json_t *
write_piece (const struct piece *p, const struct extent *extent)
{
  json_t *units = json_array ();
  int begin = p->chunk * PC_TASKS;

  for (guint i = 0; i < p->units->len; i++)
    {
      const struct unit *u = g_ptr_array_index (p->units, i);
      struct range r = { MAX (u->first, begin),
                         MIN (u->first + u->count, begin + PC_TASKS) };

      if (u->state != UN_DONE)
        json_array_append_new (units, write_unit (u, &r, extent));
    }
  return units;
}

static json_t *
write_head (const struct job *j, const struct extent *extent)
{
  json_t *open = json_array ();

  for (guint i = 0; !jb_ended (j) && i < j->open_occurrences->len; i++)
    {
      const struct occurrence *o = g_ptr_array_index (j->open_occurrences, i);

      json_array_append_new (open, j->in_pieces
                                       ? json_integer (o->number)
                                       : write_occurrence (j, o, extent));
    }
  return json_pack ("{s:s,s:i,s:i,s:b,s:o}", "state", sj_state_name (j->state),
                    "next", j->next_occurrence, "done", j->occurrences_done,
                    "begun", j->started, j->in_pieces ? "pieces" : "open",
                    open);
}

void
sj_record_add (json_t *record, const char *key, json_t *value)
{
  json_t *rows = json_object_get (record, "rows");

  if (strlen (key) < SJ_ID_SIZE)
    {
      json_object_update (record, value);
      json_decref (value);
      return;
    }
  if (!rows)
    {
      rows = json_object ();
      json_object_set_new (record, "rows", rows);
    }
  json_object_set_new (rows, key + SJ_ID_SIZE, value);
}

static int
has_long_checkpoints (const GPtrArray *units)
{
  size_t bytes = 0;

  for (guint i = 0; i < units->len; i++)
    bytes += strlen (un_checkpoint (g_ptr_array_index (units, i)));
  return bytes >= FEW_CHECKPOINT_BYTES;
}

static int
is_too_large (const struct job *j, const json_t *record)
{
  int64_t limit = j->cluster->settings.max_record_bytes;

  return limit && json_dumpb (record, NULL, 0, JSON_COMPACT) > (size_t)limit;
}

/* Writes piece P, or the row of J's id if P is NULL, whose units are UNITS.
   The longest checkpoints are left out of a row that would be too large with
   them.  This holder still has them; the next one resumes the tasks from what
   their workers list, or from the beginning.  */
static json_t *
write_row (const struct job *j, const struct piece *p, const GPtrArray *units)
{
  struct extent extent = choose_extent (units);
  json_t *row = p ? write_piece (p, &extent) : write_head (j, &extent);

  if (!has_long_checkpoints (units))
    return row;
  while (extent.max_checkpoint && is_too_large (j, row))
    {
      extent.max_checkpoint /= 2;
      json_decref (row);
      row = p ? write_piece (p, &extent) : write_head (j, &extent);
    }
  return row;
}

json_t *
rc_write (const struct job *j)
{
  if (j->in_pieces)
    return write_head (j, NULL);
  return write_row (j, NULL, j->units);
}

json_t *
rc_write_piece (const struct piece *p)
{
  g_ptr_array_sort (p->units, by_index);
  return write_row (p->job, p, p->units);
}

/* Returns worker ID.  A worker that only a record names is added as
   unlisted.  */
static struct worker *
find_or_add_worker (struct sj_cluster *c, const char *id, int64_t now)
{
  struct sj_worker_info info = { .id = id };
  struct worker *w = wo_find (c, id);

  if (w)
    return w;
  sj_worker_set (c, &info, now);
  sj_worker_unlisted (c, id);
  return wo_find (c, id);
}

/* Restores U's run on the workers that PLACEMENT names.  Whether each start
   was sent is unknown until the worker lists its runs.  */
static void
restore_members (struct sj_cluster *c, struct unit *u, const json_t *placement,
                 const json_t *life_tags, int64_t now)
{
  u->state = UN_ACTIVE;
  u->run_commit = RUN_STORED;
  u->members = g_new0 (struct member, u->count);
  for (int i = 0; i < u->count; i++)
    {
      struct member *m = &u->members[i];
      const char *id
          = json_string_value (json_array_get (placement, (size_t)i));

      *m = (struct member){ .unit = u,
                            .index = u->first + i,
                            .state = MB_STARTING,
                            .from_record = 1,
                            .life_tag = (int)json_integer_value (
                                json_array_get (life_tags, (size_t)i)),
                            .last_progress_ms = now,
                            .started_ms = now };
      if (!id)
        {
          ru_end_member (m);
          continue;
        }
      m->worker = find_or_add_worker (c, id, now);
      wo_add_member (m);
    }
}

/* Whether members had ended when the record was written; the remaining ones
   are to be stopped.  */
static int
has_ended_members (const json_t *placement)
{
  size_t i;
  json_t *id;

  json_array_foreach (placement, i, id) if (json_is_null (id)) return 1;
  return 0;
}

static int
is_task_of (const struct unit *u, int index)
{
  return index >= u->first && index < u->first + u->count;
}

static void
restore_crashes (struct unit *u, json_t *list)
{
  size_t i;
  json_t *value;

  json_array_foreach (list, i, value)
  {
    int index, all, certain;

    if (json_unpack (value, "[i,i,i]", &index, &all, &certain)
        || !is_task_of (u, index))
      continue;
    for (int k = 0; k < all && k < MAX_RECORDED_CRASHES; k++)
      lo_add_crash (
          u, &(struct crash){ .index = index, .is_certain = k < certain });
  }
}

static void
restore_unresolved (struct sj_cluster *c, struct unit *u, json_t *losses,
                    int64_t now)
{
  size_t i;
  json_t *value;

  json_array_foreach (losses, i, value)
  {
    struct unresolved_loss l = { .lost_ms = now };
    const char *worker;

    if (json_unpack (value, "[i,s,i,i]", &l.index, &worker, &l.life_tag,
                     &l.is_certain)
        || !is_task_of (u, l.index))
      continue;
    l.worker = (char *)worker;
    lo_add_loss (c, u, &l);
  }
}

/* Restores what VALUE tells of U's past runs.  */
static void
read_history (struct sj_cluster *c, struct unit *u, const json_t *value,
              int64_t now)
{
  const char *checkpoint
      = json_string_value (json_array_get (value, UNIT_CHECKPOINT));
  int64_t last_run
      = json_integer_value (json_array_get (value, UNIT_LAST_RUN));
  int failures
      = (int)json_integer_value (json_array_get (value, UNIT_FAILURES));
  int64_t failed_run
      = json_integer_value (json_array_get (value, UNIT_FAILED_RUN));

  u->failed_run = MAX (u->failed_run, failed_run);
  u->run_number = MAX (u->run_number,
                       json_integer_value (json_array_get (value, UNIT_RUN)));
  u->failures = MAX (u->failures, failures);
  u->last_run = MAX (u->last_run, last_run);
  if (checkpoint && *checkpoint && !u->checkpoint)
    u->checkpoint = g_strdup (checkpoint);
  restore_crashes (u, json_array_get (value, UNIT_CRASHES));
  restore_unresolved (c, u, json_array_get (value, UNIT_UNRESOLVED), now);
}

/* Whether PLACEMENT names a worker.  In pieces, the changes that end a gang's
   last task and its run may be cut between them, so that all tasks have
   ended.  */
static int
has_open_members (const json_t *placement)
{
  size_t i;
  json_t *id;

  json_array_foreach (placement, i, id) if (json_is_string (id)) return 1;
  return 0;
}

/* Restores U's current run, if PLACEMENT has one that is not over.  */
static int
read_run (struct sj_cluster *c, struct unit *u, const json_t *placement,
          const json_t *life_tags, int64_t now)
{
  if (json_array_size (placement)
      && json_array_size (placement) != (size_t)u->count)
    return SJ_EINVAL;
  if (!has_open_members (placement))
    return SJ_OK;
  restore_members (c, u, placement, life_tags, now);
  if (has_ended_members (placement))
    u->state = UN_STOPPING;
  return SJ_OK;
}

static int
read_unit (struct sj_cluster *c, struct job *j, struct occurrence *o,
           const json_t *value, int64_t now)
{
  int step = (int)json_integer_value (json_array_get (value, UNIT_STEP));
  int first = (int)json_integer_value (json_array_get (value, UNIT_FIRST));
  struct unit *u;

  if (step < 0 || step >= j->spec->step_count || first < 0
      || first >= j->spec->step[step].count)
    return SJ_EINVAL;
  u = jb_new_unit (j, o->number, step, first, now);
  read_history (c, u, value, now);
  return read_run (c, u, json_array_get (value, UNIT_PLACEMENT),
                   json_array_get (value, UNIT_LIFE_TAGS), now);
}

static int
read_occurrence (struct sj_cluster *c, struct job *j, const json_t *value,
                 int64_t now)
{
  const json_t *units_left = json_object_get (value, "left");
  struct occurrence *o;
  size_t i;
  json_t *unit;

  if (json_array_size (units_left) != (size_t)j->spec->step_count)
    return SJ_EINVAL;
  o = jb_open_occurrence (
      j, (int)json_integer_value (json_object_get (value, "n")));
  for (int k = 0; k < j->spec->step_count; k++)
    {
      o->units_not_done[k]
          = (int)json_integer_value (json_array_get (units_left, (size_t)k));
      if (!o->units_not_done[k])
        o->steps_not_done--;
    }
  json_array_foreach (
      json_object_get (value, "units"), i,
      unit) if (read_unit (c, j, o, unit, now)) return SJ_EINVAL;
  return SJ_OK;
}

/* The row of piece CHUNK, or NULL.  */
static const json_t *
find_row (const json_t *rows, const struct occurrence *o, int step, int chunk)
{
  char key[SJ_KEY_SIZE];

  snprintf (key, sizeof key, "%d.%d.%d", o->number, step, chunk);
  return json_object_get (rows, key);
}

static const json_t *
find_task (const json_t *row, int index)
{
  size_t i;
  json_t *value;

  json_array_foreach (row, i, value) if (json_integer_value (json_array_get (
                                             value, UNIT_FIRST))
                                         == index) return value;
  return NULL;
}

/* Restores the tasks of a piece, each a unit.  */
static int
read_single_tasks (struct sj_cluster *c, struct job *j, struct occurrence *o,
                   int step, int chunk, const json_t *row, int64_t now)
{
  int end = MIN (j->spec->step[step].count, (chunk + 1) * PC_TASKS);

  for (int i = chunk * PC_TASKS; i < end; i++)
    {
      const json_t *value = find_task (row, i);
      struct unit *u;

      if (row && !value)
        continue;
      u = jb_new_unit (j, o->number, step, i, now);
      o->units_not_done[step]++;
      if (!value)
        continue;
      read_history (c, u, value, now);
      if (read_run (c, u, json_array_get (value, UNIT_PLACEMENT),
                    json_array_get (value, UNIT_LIFE_TAGS), now))
        return SJ_EINVAL;
    }
  return SJ_OK;
}

/* Adds the part of a gang's list that a piece with TASKS tasks has, PART, to
   ALL.  */
static void
join_part (json_t *all, const json_t *part, int tasks)
{
  for (int i = 0; i < tasks; i++)
    {
      json_t *value = json_array_get (part, (size_t)i);

      json_array_append_new (all, value ? json_incref (value) : json_null ());
    }
}

/* Restores a gang from the rows of its pieces.  They may be of different runs,
   if the last change was not completed: then the start of the last run was not
   sent, and the one before had ended.  */
static int
read_gang (struct sj_cluster *c, struct job *j, struct occurrence *o, int step,
           const json_t *rows, int64_t now)
{
  int pieces = pc_count (j, step), is_complete = 1, has_members = 0, error = 0;
  json_t *placement, *life_tags;
  struct unit *u;

  for (int i = 0; i < pieces; i++)
    {
      const json_t *row = find_row (rows, o, step, i);

      if (row && !json_array_size (row))
        return SJ_OK;
    }
  u = jb_new_unit (j, o->number, step, 0, now);
  o->units_not_done[step]++;
  for (int i = 0; i < pieces; i++)
    read_history (c, u, json_array_get (find_row (rows, o, step, i), 0), now);
  placement = json_array ();
  life_tags = json_array ();
  for (int i = 0; i < pieces; i++)
    {
      const json_t *value = json_array_get (find_row (rows, o, step, i), 0);
      const json_t *part = json_array_get (value, UNIT_PLACEMENT);
      int tasks = MIN (u->count - i * PC_TASKS, PC_TASKS);

      is_complete &= json_integer_value (json_array_get (value, UNIT_RUN))
                     == u->run_number;
      has_members |= json_array_size (part) > 0;
      join_part (placement, part, tasks);
      join_part (life_tags, json_array_get (value, UNIT_LIFE_TAGS), tasks);
    }
  if (is_complete && has_members)
    error = read_run (c, u, placement, life_tags, now);
  json_decref (placement);
  json_decref (life_tags);
  return error;
}

static int
read_step (struct sj_cluster *c, struct job *j, struct occurrence *o, int step,
           const json_t *rows, int64_t now)
{
  int error = SJ_OK;

  o->units_not_done[step] = 0;
  for (int i = 0; i < pc_count (j, step); i++)
    {
      const json_t *row = find_row (rows, o, step, i);

      pc_find_or_add (j, o->number, step, i)->has_row = row != NULL;
      if (!j->spec->step[step].gang && !error)
        error = read_single_tasks (c, j, o, step, i, row, now);
    }
  if (j->spec->step[step].gang)
    error = read_gang (c, j, o, step, rows, now);
  if (!o->units_not_done[step])
    o->steps_not_done--;
  return error;
}

static int
read_pieces (struct sj_cluster *c, struct job *j, const json_t *open,
             const json_t *rows, int64_t now)
{
  size_t i;
  json_t *number;

  j->in_pieces = 1;
  json_array_foreach (open, i, number)
  {
    struct occurrence *o
        = jb_open_occurrence (j, (int)json_integer_value (number));

    for (int step = 0; step < j->spec->step_count; step++)
      if (jb_step_is_ready (j, o, step)
          && read_step (c, j, o, step, rows, now))
        return SJ_EINVAL;
  }
  return SJ_OK;
}

/* Rows that tell nothing: of an occurrence that has ended, which are deleted,
   or of a change that was not completed.  The start of a task in those was not
   sent.  They are written again before one is.  */
static void
note_other_rows (struct job *j, json_t *rows)
{
  const char *name;
  json_t *value;

  json_object_foreach (rows, name, value)
  {
    int occurrence, step, chunk;
    struct piece *p;

    if (sscanf (name, "%d.%d.%d", &occurrence, &step, &chunk) != 3
        || occurrence < 0 || step < 0 || step >= j->spec->step_count
        || chunk < 0 || chunk >= pc_count (j, step))
      continue;
    p = pc_find (j, occurrence, step, chunk);
    if (!p)
      {
        p = pc_find_or_add (j, occurrence, step, chunk);
        p->stale = 1;
      }
    p->has_row = 1;
    if (occurrence < j->next_occurrence && !jb_is_open (j, occurrence))
      {
        p->closed = 1;
        g_ptr_array_add (j->closed_pieces, p);
      }
  }
}

int
rc_read (struct sj_cluster *c, struct job *j, const json_t *record,
         int64_t now)
{
  const json_t *open = json_object_get (record, "open"),
               *pieces = json_object_get (record, "pieces");
  json_t *rows = json_object_get (record, "rows");
  const char *name = json_string_value (json_object_get (record, "state"));
  int state = sj_state_parse (name);
  size_t i;
  json_t *o;

  if (!name && rows)
    state = SJ_QUEUED; /* its first change was not completed */
  if (state < 0)
    return SJ_EINVAL;
  j->has_record = name != NULL;
  j->state = j->stored_state = (enum sj_state)state;
  j->next_occurrence
      = (int)json_integer_value (json_object_get (record, "next"));
  j->occurrences_done
      = (int)json_integer_value (json_object_get (record, "done"));
  j->started = json_is_true (json_object_get (record, "begun"));
  json_array_foreach (open, i,
                      o) if (read_occurrence (c, j, o, now)) return SJ_EINVAL;
  if (pieces && read_pieces (c, j, pieces, rows, now))
    return SJ_EINVAL;
  if (rows && !pieces)
    pc_begin (j);
  note_other_rows (j, rows);
  jb_end_occurrences (c, j, now);
  return SJ_OK;
}
