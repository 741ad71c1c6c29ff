/* Jobs whose records can't be stored.  They are set aside, so that the records
   of the other jobs are stored.  */
#include "steps/state.h"

enum
{
  RETRY_MS = 1000,     /* after which a changed record is tried again */
  MAX_RETRY_MS = 60000 /* the same if the store refuses it again and again */
};

const char *
sj_aside_reason_name (enum sj_aside_reason reason)
{
  switch (reason)
    {
    case SJ_TOO_LARGE:
      return "too large";
    case SJ_REFUSED_RECORD:
      return "refused";
    }
  return "unknown";
}

int
ad_may_plan (const struct job *j)
{
  return !j->aside && (!j->plan_limit || j->planned_tasks < j->plan_limit);
}

void
ad_remove (struct job *j)
{
  if (j->aside)
    g_ptr_array_remove_fast (j->cluster->aside_jobs, j);
  j->aside = 0;
}

void
ad_stored (struct job *j)
{
  ad_remove (j);
  j->aside_ms = 0;
  j->plan_limit = j->plan_limit > SJ_MAX_ROW_TASKS / 2 ? 0 : j->plan_limit * 2;
}

/* Withdraws J's plans that are in no stored record, so that they occupy no
   capacity, and returns their number of tasks.  */
static int
withdraw_plans (struct sj_cluster *c, struct job *j, int64_t now)
{
  int tasks = 0;

  for (guint i = 0; i < j->units->len; i++)
    {
      struct unit *u = jb_unit (j, i);

      if (u->run_commit == RUN_IN_COMMIT)
        u->run_commit = RUN_NOT_STORED;
      if (u->state != UN_ACTIVE || u->run_commit != RUN_NOT_STORED)
        continue;
      tasks += u->count;
      ru_abort (c, u, SJ_GANG_INCOMPLETE, now);
    }
  return tasks;
}

/* A record that is too large may be stored as soon as tasks have ended.  One
   that the store refuses is tried more and more rarely.  */
static int64_t
next_wait_ms (const struct job *j, enum sj_aside_reason reason)
{
  if (reason == SJ_TOO_LARGE || !j->aside_ms)
    return RETRY_MS;
  return MIN (j->aside_ms * 2, MAX_RETRY_MS);
}

int
sj_set_aside (struct sj_cluster *c, const char *id,
              enum sj_aside_reason reason, int64_t now)
{
  struct job *j = jb_find (c, id);
  int is_new = j && !j->aside, tasks;

  if (!j)
    return 0;
  c->now = now;
  if (!j->in_commit && !j->dirty)
    j->dirty_since = c->change_serial;
  ch_cancel (c, j);
  if (j->dirty)
    g_queue_remove (&c->dirty_jobs, j);
  j->dirty = j->aside = j->parked = 1;
  if (is_new)
    g_ptr_array_add (c->aside_jobs, j);
  j->aside_reason = reason;
  j->aside_ms = next_wait_ms (j, reason);
  j->retry_ms = now + j->aside_ms;
  tasks = withdraw_plans (c, j, now);
  j->planned_tasks = 0;
  if (tasks)
    j->plan_limit = MAX (tasks / 2, 1);
  /* The withdrawal may have made the record small enough.  */
  j->aside_serial = tasks ? j->changed_serial - 1 : j->changed_serial;
  return is_new;
}

/* A record that is too large stays so until it changes.  A refusal may have
   had another cause.  */
static int
retry_is_due (const struct job *j, int64_t now)
{
  return j->parked && now >= j->retry_ms
         && (j->aside_reason == SJ_REFUSED_RECORD
             || j->changed_serial > j->aside_serial);
}

void
sj_retry_aside (struct sj_cluster *c, int64_t now)
{
  for (guint i = 0; i < c->aside_jobs->len; i++)
    {
      struct job *j = g_ptr_array_index (c->aside_jobs, i);

      if (!retry_is_due (j, now))
        continue;
      j->parked = 0;
      /* The earliest change is that of this job, or comes close to it.  */
      g_queue_push_head (&c->dirty_jobs, j);
    }
}

int
sj_is_aside (struct sj_cluster *c, const char *id)
{
  const struct job *j = jb_find (c, id);

  return j && j->aside;
}
