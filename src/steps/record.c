/* The stored record of a job's progress: open occurrences, what is left of
   each step, and where the present run of each unit was ordered.  */
#include <string.h>

#include "steps/steps.h"

enum
{
  U_STEP,
  U_FIRST,
  U_RUN,
  U_FAILURES,
  U_CHECKPOINT,
  U_PLACE,
  U_FIELDS
};

static int
is_untouched (const struct unit *u)
{
  return u->state == UN_READY && !u->run;
}

static json_t *
write_place (const struct unit *u)
{
  json_t *place = json_array ();

  if (u->member)
    for (int i = 0; i < u->count; i++)
      json_array_append_new (place,
                             u->member[i].state == MB_ENDED
                                 ? json_null ()
                                 : json_string (u->member[i].worker->id));
  return place;
}

static json_t *
write_unit (const struct unit *u)
{
  return json_pack ("[i,i,I,i,s,o]", u->step, u->first, (json_int_t)u->run,
                    u->failures, u->checkpoint, write_place (u));
}

static json_t *
write_occurrence (const struct job *j, const struct occurrence *o)
{
  json_t *left = json_array (), *units = json_array ();

  for (int i = 0; i < j->spec->steps; i++)
    json_array_append_new (left, json_integer (o->step_left[i]));
  for (guint i = 0; i < j->unit->len; i++)
    {
      const struct unit *u = g_ptr_array_index (j->unit, i);

      if (u->occurrence == o->number && u->state != UN_DONE)
        json_array_append_new (
            units, is_untouched (u) ? json_pack ("[i,i]", u->step, u->first)
                                    : write_unit (u));
    }
  return json_pack ("{s:i,s:o,s:o}", "n", o->number, "left", left, "units",
                    units);
}

json_t *
rc_write (const struct job *j)
{
  json_t *open = json_array ();

  if (!jb_ended (j))
    for (guint i = 0; i < j->occurrence->len; i++)
      json_array_append_new (
          open, write_occurrence (j, g_ptr_array_index (j->occurrence, i)));
  return json_pack ("{s:s,s:i,s:i,s:b,s:o}", "state", sj_state_name (j->state),
                    "next", j->next_occurrence, "done", j->occurrences_done,
                    "begun", j->begun, "open", open);
}

/* A worker that only a record names: unlisted until the list shows it.  */
static struct worker *
recorded_worker (struct sj_cluster *c, const char *id, int64_t now)
{
  struct sj_worker_info info = { .id = id };
  struct worker *w = wo_find (c, id);

  if (w)
    return w;
  sj_worker_set (c, &info, now);
  sj_worker_unlisted (c, id);
  return wo_find (c, id);
}

static void
adopt (struct sj_cluster *c, struct unit *u, const json_t *place, int64_t now)
{
  u->state = UN_ACTIVE;
  u->stored_run = 2;
  u->member = g_new0 (struct member, u->count);
  for (int i = 0; i < u->count; i++)
    {
      struct member *m = &u->member[i];
      const char *id = json_string_value (json_array_get (place, (size_t)i));

      *m = (struct member){ .unit = u,
                            .index = u->first + i,
                            .state = id ? MB_ORDERED : MB_ENDED,
                            .adopted = 1,
                            .progress_ms = now,
                            .started_ms = now };
      if (!id)
        continue;
      m->worker = recorded_worker (c, id, now);
      wo_occupy (m);
    }
}

/* Members were gone already when the record was written: the rest is to be
   stopped.  */
static int
is_partial (const json_t *place)
{
  size_t i;
  json_t *id;

  json_array_foreach (place, i, id) if (json_is_null (id)) return 1;
  return 0;
}

static int
read_unit (struct sj_cluster *c, struct job *j, struct occurrence *o,
           const json_t *value, int64_t now)
{
  int step = (int)json_integer_value (json_array_get (value, U_STEP));
  int first = (int)json_integer_value (json_array_get (value, U_FIRST));
  const json_t *place = json_array_get (value, U_PLACE);
  struct unit *u;

  if (step < 0 || step >= j->spec->steps || first < 0
      || first >= j->spec->step[step].count)
    return SJ_EINVAL;
  u = jb_new_unit (j, o->number, step, first, now);
  u->run = json_integer_value (json_array_get (value, U_RUN));
  u->failures = (int)json_integer_value (json_array_get (value, U_FAILURES));
  if (json_array_get (value, U_CHECKPOINT))
    g_strlcpy (u->checkpoint,
               json_string_value (json_array_get (value, U_CHECKPOINT)),
               sizeof u->checkpoint);
  if (!json_array_size (place))
    return SJ_OK;
  if (json_array_size (place) != (size_t)u->count)
    return SJ_EINVAL;
  adopt (c, u, place, now);
  if (is_partial (place))
    u->state = UN_ENDING;
  return SJ_OK;
}

static int
read_occurrence (struct sj_cluster *c, struct job *j, const json_t *value,
                 int64_t now)
{
  const json_t *left = json_object_get (value, "left");
  struct occurrence *o;
  size_t i;
  json_t *unit;

  if (json_array_size (left) != (size_t)j->spec->steps)
    return SJ_EINVAL;
  o = jb_open (j, (int)json_integer_value (json_object_get (value, "n")));
  for (int k = 0; k < j->spec->steps; k++)
    {
      o->step_left[k]
          = (int)json_integer_value (json_array_get (left, (size_t)k));
      if (!o->step_left[k])
        o->steps_left--;
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
  j->begun = json_is_true (json_object_get (record, "begun"));
  json_array_foreach (json_object_get (record, "open"), i,
                      o) if (read_occurrence (c, j, o, now)) return SJ_EINVAL;
  return SJ_OK;
}
