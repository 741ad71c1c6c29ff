/* Jobs: opens due occurrences, creates the units of steps whose dependencies
   are done, and ends jobs.  */
#include <stdlib.h>
#include <string.h>

#include "skr/crash.h"
#include "steps/state.h"

const struct sj_step *
un_step (const struct unit *u)
{
  return &u->job->spec->step[u->step];
}

void
un_set_subject (const struct unit *u, int index)
{
  cr_set_task (u->job->spec->id, u->occurrence, u->step, index);
#ifdef SKR_ABORT_PAYLOAD /* only for tests/soak/check_abort.sh */
  if (!strcmp (u->job->spec->payload, SKR_ABORT_PAYLOAD))
    abort ();
#endif
}

const struct member *
un_first_member (const struct unit *u)
{
  for (int i = 0; u->members && i < u->count; i++)
    if (u->members[i].state != MB_ENDED)
      return &u->members[i];
  return NULL;
}

int
un_same_step (const struct unit *a, const struct unit *b)
{
  return a->job == b->job && a->step == b->step
         && a->occurrence == b->occurrence;
}

struct job *
jb_find (struct sj_cluster *c, const char *id)
{
  return g_hash_table_lookup (c->jobs, id);
}

static void
free_unit (void *unit)
{
  struct unit *u = unit;

  pc_remove_unit (u);
  if (u->members)
    for (int i = 0; i < u->count; i++)
      if (u->members[i].state != MB_ENDED)
        wo_remove_member (&u->members[i]);
  g_free (u->members);
  g_free (u->checkpoint);
  lo_free (u);
  if (u->avoided_workers)
    g_ptr_array_free (u->avoided_workers, TRUE);
  g_free (u);
}

static void
free_occurrence (void *occurrence)
{
  struct occurrence *o = occurrence;

  g_free (o->units_not_done);
  g_free (o);
}

void
jb_free (void *job)
{
  struct job *j = job;

  if (j->dirty)
    g_queue_remove (&j->cluster->dirty_jobs, j);
  if (j->in_commit)
    g_ptr_array_remove (j->cluster->committing, j);
  ad_remove (j);
  g_ptr_array_free (j->units, TRUE);
  pc_fini (j);
  free (j->stored_head);
  free (j->sent_head);
  g_ptr_array_free (j->open_occurrences, TRUE);
  sj_job_free (j->spec);
  g_free (j);
}

struct unit *
jb_unit (const struct job *j, guint i)
{
  return g_ptr_array_index (j->units, i);
}

int
jb_ended (const struct job *j)
{
  return j->state >= SJ_COMPLETED;
}

void
jb_mark_dirty (struct job *j)
{
  struct sj_cluster *c = j->cluster;

  j->changed_serial = ++c->change_serial;
  if (j->dirty)
    return;
  j->dirty = 1;
  j->dirty_since = c->change_serial;
  g_queue_push_tail (&c->dirty_jobs, j);
}

static int
occurrence_count (const struct job *j)
{
  return j->spec->occurrences > 0 ? j->spec->occurrences : 1;
}

static struct occurrence *
find_occurrence (const struct job *j, int number)
{
  for (guint i = 0; i < j->open_occurrences->len; i++)
    {
      struct occurrence *o = g_ptr_array_index (j->open_occurrences, i);

      if (o->number == number)
        return o;
    }
  return NULL;
}

int
jb_is_open (const struct job *j, int occurrence)
{
  return find_occurrence (j, occurrence) != NULL;
}

struct unit *
jb_new_unit (struct job *j, int occurrence, int step, int first, int64_t now)
{
  struct unit *u = g_new0 (struct unit, 1);
  const struct sj_step *s = &j->spec->step[step];

  u->job = j;
  u->occurrence = occurrence;
  u->step = step;
  u->first = first;
  u->count = s->gang ? s->count : 1;
  u->ready_ms = now;
  g_ptr_array_add (j->units, u);
  pc_add_unit (u);
  return u;
}

static void
create_step_units (struct job *j, struct occurrence *o, int step, int64_t now)
{
  const struct sj_step *s = &j->spec->step[step];

  o->units_not_done[step] = s->gang ? 1 : s->count;
  for (int i = 0; i < o->units_not_done[step]; i++)
    jb_new_unit (j, o->number, step, i, now);
}

int
jb_step_is_ready (const struct job *j, const struct occurrence *o, int step)
{
  for (int k = 0; k < step; k++)
    if (j->spec->step[step].depends_on >> k & 1 && o->units_not_done[k] != 0)
      return 0;
  return 1;
}

/* Creates the units of steps whose dependencies are done.  */
static void
expand_ready_steps (struct sj_cluster *c, struct job *j, struct occurrence *o,
                    int64_t now)
{
  for (int i = 0; i < j->spec->step_count; i++)
    if (o->units_not_done[i] < 0 && jb_step_is_ready (j, o, i))
      {
        create_step_units (j, o, i, now);
        c->changed = 1;
      }
}

struct occurrence *
jb_open_occurrence (struct job *j, int number)
{
  struct occurrence *o = g_new0 (struct occurrence, 1);

  o->number = number;
  o->steps_not_done = j->spec->step_count;
  o->units_not_done = g_new (int, j->spec->step_count);
  for (int i = 0; i < j->spec->step_count; i++)
    o->units_not_done[i] = -1;
  g_ptr_array_add (j->open_occurrences, o);
  return o;
}

static int
is_due (const struct job *j, int64_t wall_ms)
{
  return j->next_occurrence < occurrence_count (j)
         && (!j->spec->occurrences
             || wall_ms >= j->spec->first_due_ms
                               + j->next_occurrence * j->spec->interval_ms);
}

/* Returns the tasks of J's open occurrences that are not done.  */
static int
count_open_tasks (const struct job *j)
{
  int n = 0;

  for (guint i = 0; i < j->open_occurrences->len; i++)
    {
      const struct occurrence *o = g_ptr_array_index (j->open_occurrences, i);

      for (int k = 0; k < j->spec->step_count; k++)
        {
          const struct sj_step *s = &j->spec->step[k];

          n += o->units_not_done[k] < 0 || s->gang
                   ? s->count * (o->units_not_done[k] != 0)
                   : o->units_not_done[k];
        }
    }
  return n;
}

/* Whether J's record has room for one more occurrence, with all of its tasks
   running: a record that is full of running tasks gets no smaller while it
   can't be stored, as ends that are not acknowledged hide later ones.  */
static int
has_room_for_occurrence (const struct job *j)
{
  return !j->open_occurrences->len
         || count_open_tasks (j) + sj_job_tasks (j->spec) <= SJ_MAX_ROW_TASKS;
}

void
jb_open_due_occurrences (struct sj_cluster *c, struct job *j, int64_t now,
                         int64_t wall_ms)
{
  while (is_due (j, wall_ms) && has_room_for_occurrence (j))
    {
      expand_ready_steps (c, j, jb_open_occurrence (j, j->next_occurrence),
                          now);
      j->next_occurrence++;
    }
}

static void
end_occurrence (struct sj_cluster *c, struct job *j, struct occurrence *o,
                int64_t now)
{
  pc_close (j, o->number);
  g_ptr_array_remove_fast (j->open_occurrences, o);
  j->occurrences_done++;
  if (j->occurrences_done == occurrence_count (j))
    jb_finish (c, j, SJ_COMPLETED, now);
}

void
jb_end_occurrences (struct sj_cluster *c, struct job *j, int64_t now)
{
  for (guint i = j->open_occurrences->len; i-- > 0 && !jb_ended (j);)
    {
      struct occurrence *o = g_ptr_array_index (j->open_occurrences, i);

      if (o->steps_not_done > 0)
        continue;
      jb_mark_dirty (j);
      end_occurrence (c, j, o, now);
    }
}

/* The unit is kept until its members have ended; sj_decide frees it.  */
void
jb_unit_done (struct sj_cluster *c, struct unit *u, int64_t now)
{
  struct job *j = u->job;
  struct occurrence *o = find_occurrence (j, u->occurrence);

  u->state = UN_DONE;
  pc_mark_unit (u);
  c->changed = 1;
  if (!o || jb_ended (j))
    return;
  if (--o->units_not_done[u->step] > 0)
    return;
  if (--o->steps_not_done == 0)
    end_occurrence (c, j, o, now);
  else
    expand_ready_steps (c, j, o, now);
}

void
jb_finish (struct sj_cluster *c, struct job *j, enum sj_state state,
           int64_t now)
{
  if (jb_ended (j))
    return;
  j->state = state;
  pc_close (j, -1);
  jb_mark_dirty (j);
  c->changed = 1;
  for (guint i = 0; i < j->units->len; i++)
    {
      struct unit *u = g_ptr_array_index (j->units, i);

      if (u->state == UN_ACTIVE)
        ru_abort (c, u, SJ_JOB_ENDED, now);
    }
}

/* Computes J's critical path and the accelerators of its widest step.  */
static void
summarize_steps (struct job *j)
{
  j->critical_path_ms = sj_job_critical_path_ms (j->spec);
  for (int i = 0; i < j->spec->step_count; i++)
    {
      const struct sj_step *s = &j->spec->step[i];
      int64_t n = s->need.accelerators * s->count;

      if (n > j->peak_accelerators)
        j->peak_accelerators = n;
    }
}

int
sj_job_add (struct sj_cluster *c, struct sj_job *spec, const json_t *record,
            int64_t waited_ms, int64_t now)
{
  const char *reason;
  struct job *j;

  if (sj_has_job (c, spec->id) || sj_job_check (spec, &reason))
    {
      int error = sj_has_job (c, spec->id) ? SJ_EEXIST : SJ_EINVAL;

      sj_job_free (spec);
      return error;
    }
  j = g_new0 (struct job, 1);
  j->cluster = c;
  j->spec = spec;
  j->service = g_intern_string (spec->service);
  j->accepted_ms = now - waited_ms;
  j->account = fs_find (&c->shares, spec->account ? spec->account : "");
  j->open_occurrences = g_ptr_array_new_with_free_func (free_occurrence);
  j->units = g_ptr_array_new_with_free_func (free_unit);
  pc_init (j);
  summarize_steps (j);
  c->changed = 1;
  cr_set_job (spec->id);
  if (record && rc_read (c, j, record, now))
    {
      cr_clear ();
      jb_free (j);
      return SJ_EINVAL;
    }
  cr_clear ();
  g_hash_table_insert (c->jobs, spec->id, j);
  g_ptr_array_add (c->job_list, j);
  hd_add_job (c, j, now);
  return SJ_OK;
}

int
sj_job_cancel (struct sj_cluster *c, const char *id, int64_t now)
{
  struct job *j = jb_find (c, id);

  g_hash_table_remove (c->left_alone, id);
  if (!j)
    return SJ_EUNKNOWN;
  jb_finish (c, j, SJ_CANCELLED, now);
  return SJ_OK;
}

int
sj_has_job (struct sj_cluster *c, const char *id)
{
  return jb_find (c, id) != NULL;
}
