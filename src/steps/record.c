/* The stored record of a job's progress: open occurrences, the units not yet
   done of each step, and the workers of each unit's current run.  */
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

/* The workers' ids, null for ended members; empty without a run.  */
static json_t *
write_placement (const struct unit *u)
{
  json_t *placement = json_array ();

  if (u->members)
    for (int i = 0; i < u->count; i++)
      json_array_append_new (placement,
                             u->members[i].state == MB_ENDED
                                 ? json_null ()
                                 : json_string (u->members[i].worker->id));
  return placement;
}

static json_t *
write_life_tags (const struct unit *u)
{
  json_t *tags = json_array ();

  if (u->members)
    for (int i = 0; i < u->count; i++)
      json_array_append_new (tags, json_integer (u->members[i].life_tag));
  return tags;
}

static json_t *
write_crashes (const struct unit *u)
{
  json_t *list = json_array ();

  for (int i = u->first; u->crashes && i < u->first + u->count; i++)
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
write_unresolved (const struct unit *u)
{
  json_t *losses = json_array ();

  for (guint i = 0; u->unresolved && i < u->unresolved->len; i++)
    {
      const struct unresolved_loss *l
          = &g_array_index (u->unresolved, struct unresolved_loss, i);

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

static json_t *
write_unit (const struct unit *u, const struct extent *extent)
{
  json_t *value = json_pack ("[i,i,I,i,s,o,o]", u->step, u->first,
                             (json_int_t)u->run_number, u->failures,
                             recorded_checkpoint (u, extent),
                             write_placement (u), write_life_tags (u));

  if (lo_possible_crashes (u) >= extent->least_crashes)
    {
      json_array_append_new (value, write_crashes (u));
      json_array_append_new (value, json_integer (u->last_run));
      if (extent->with_unresolved)
        json_array_append_new (value, write_unresolved (u));
    }
  if (!u->members || u->failed_run != u->run_number)
    return value;
  while (json_array_size (value) < UNIT_FAILED_RUN)
    json_array_append_new (value, json_null ());
  json_array_append_new (value, json_integer (u->failed_run));
  return value;
}

static int
count_suspects (const struct job *j, int least_crashes)
{
  int n = 0;

  for (guint i = 0; i < j->units->len; i++)
    n += lo_possible_crashes (g_ptr_array_index (j->units, i))
         >= least_crashes;
  return n;
}

static struct extent
choose_extent (const struct job *j)
{
  struct extent extent
      = { .least_crashes = 1, .max_checkpoint = SJ_MAX_CHECKPOINT };
  guint losses = 0;

  while (count_suspects (j, extent.least_crashes) > MAX_RECORDED_SUSPECTS)
    extent.least_crashes++;
  for (guint i = 0; i < j->units->len; i++)
    {
      const struct unit *u = g_ptr_array_index (j->units, i);

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

      if (u->occurrence == o->number && u->state != UN_DONE)
        json_array_append_new (
            units, never_started (u) ? json_pack ("[i,i]", u->step, u->first)
                                     : write_unit (u, extent));
    }
  return json_pack ("{s:i,s:o,s:o}", "n", o->number, "left", units_left,
                    "units", units);
}

static json_t *
write_record (const struct job *j, const struct extent *extent)
{
  json_t *open = json_array ();

  if (!jb_ended (j))
    for (guint i = 0; i < j->open_occurrences->len; i++)
      json_array_append_new (
          open, write_occurrence (
                    j, g_ptr_array_index (j->open_occurrences, i), extent));
  return json_pack ("{s:s,s:i,s:i,s:b,s:o}", "state", sj_state_name (j->state),
                    "next", j->next_occurrence, "done", j->occurrences_done,
                    "begun", j->started, "open", open);
}

static int
has_long_checkpoints (const struct job *j)
{
  size_t bytes = 0;

  for (guint i = 0; i < j->units->len; i++)
    bytes += strlen (un_checkpoint (g_ptr_array_index (j->units, i)));
  return bytes >= FEW_CHECKPOINT_BYTES;
}

static int
is_too_large (const struct job *j, const json_t *record)
{
  int64_t limit = j->cluster->settings.max_record_bytes;

  return limit && json_dumpb (record, NULL, 0, JSON_COMPACT) > (size_t)limit;
}

/* The longest checkpoints are left out of a record that would be too large
   with them.  This holder still has them; the next one resumes the tasks from
   what their workers list, or from the beginning.  */
json_t *
rc_write (const struct job *j)
{
  struct extent extent = choose_extent (j);
  json_t *record = write_record (j, &extent);

  if (!has_long_checkpoints (j))
    return record;
  while (extent.max_checkpoint && is_too_large (j, record))
    {
      extent.max_checkpoint /= 2;
      json_decref (record);
      record = write_record (j, &extent);
    }
  return record;
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
                            .state = id ? MB_STARTING : MB_ENDED,
                            .from_record = 1,
                            .life_tag = (int)json_integer_value (
                                json_array_get (life_tags, (size_t)i)),
                            .last_progress_ms = now,
                            .started_ms = now };
      if (!id)
        continue;
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

static int
read_unit (struct sj_cluster *c, struct job *j, struct occurrence *o,
           const json_t *value, int64_t now)
{
  int step = (int)json_integer_value (json_array_get (value, UNIT_STEP));
  int first = (int)json_integer_value (json_array_get (value, UNIT_FIRST));
  const json_t *placement = json_array_get (value, UNIT_PLACEMENT);
  const char *checkpoint;
  struct unit *u;

  if (step < 0 || step >= j->spec->step_count || first < 0
      || first >= j->spec->step[step].count)
    return SJ_EINVAL;
  u = jb_new_unit (j, o->number, step, first, now);
  u->run_number = json_integer_value (json_array_get (value, UNIT_RUN));
  u->failures
      = (int)json_integer_value (json_array_get (value, UNIT_FAILURES));
  checkpoint = json_string_value (json_array_get (value, UNIT_CHECKPOINT));
  if (checkpoint && *checkpoint)
    u->checkpoint = g_strdup (checkpoint);
  restore_crashes (u, json_array_get (value, UNIT_CRASHES));
  u->last_run = json_integer_value (json_array_get (value, UNIT_LAST_RUN));
  restore_unresolved (c, u, json_array_get (value, UNIT_UNRESOLVED), now);
  u->failed_run = json_integer_value (json_array_get (value, UNIT_FAILED_RUN));
  if (!json_array_size (placement))
    return SJ_OK;
  if (json_array_size (placement) != (size_t)u->count)
    return SJ_EINVAL;
  restore_members (c, u, placement, json_array_get (value, UNIT_LIFE_TAGS),
                   now);
  if (has_ended_members (placement))
    u->state = UN_STOPPING;
  return SJ_OK;
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

int
rc_read (struct sj_cluster *c, struct job *j, const json_t *record,
         int64_t now)
{
  int state
      = sj_state_parse (json_string_value (json_object_get (record, "state")));
  size_t i;
  json_t *o;

  if (state < 0)
    return SJ_EINVAL;
  j->state = j->stored_state = (enum sj_state)state;
  j->next_occurrence
      = (int)json_integer_value (json_object_get (record, "next"));
  j->occurrences_done
      = (int)json_integer_value (json_object_get (record, "done"));
  j->started = json_is_true (json_object_get (record, "begun"));
  json_array_foreach (json_object_get (record, "open"), i,
                      o) if (read_occurrence (c, j, o, now)) return SJ_EINVAL;
  return SJ_OK;
}
