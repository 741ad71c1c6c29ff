/* Attempts that are lost with a worker.  A job that crashes the workers that
   run it would be started again for ever, so it is given up after some such
   attempts.  Of the gangs that are lost together one is taken for the cause:
   that which was lost most often, or else began to run last.  They start again
   one after the other, so that a later crash tells which of them it is.  */
#include "control/cell_impl.h"
#include "skr/log.h"

enum
{
  MAX_LOST_ATTEMPTS = 4, /* by its own doing, before a job is given up */
  /* An attempt that ran longer has nothing to do with those lost before.  */
  STABLE_RUN_MS = 300000,
  /* Gangs that began to run within this time began together.  */
  TOGETHER_MS = 200,
  STAGGER_MS = 2000 /* between the restarts of gangs that were lost together */
};

static int
is_running (const struct wk_gang *g)
{
  return g->owner && g->owner->gang == g && g->phase == WK_RUN;
}

/* Gangs with a part on WORKER that are lost with it and not accounted for;
   with ALL, also those whose part is not known to be gone.  */
static GPtrArray *
list_lost (struct cl_cell *c, uint32_t worker, int all)
{
  const GPtrArray *gangs = cl_worker_gangs (c, worker);
  GPtrArray *lost = g_ptr_array_new ();

  for (guint i = 0; i < gangs->len; i++)
    {
      struct wk_gang *g = g_ptr_array_index (gangs, i);

      if (is_running (g) && !g->loss_noted
          && (all || wk_find_part (g, worker)->state == WK_GONE))
        g_ptr_array_add (lost, g);
    }
  return lost;
}

/* Whether A rather than B is the cause of the loss of both: its job was lost
   more often before, or it began to run clearly later.  */
static int
is_more_suspect (const struct wk_gang *a, const struct wk_gang *b)
{
  if (a->owner->lost_attempts != b->owner->lost_attempts)
    return a->owner->lost_attempts > b->owner->lost_attempts;
  return a->phase_since_ms - b->phase_since_ms >= TOGETHER_MS;
}

/* The gang of LOST that is more suspect than all others, or NULL.  */
static const struct wk_gang *
find_cause (const GPtrArray *lost)
{
  for (guint i = 0; i < lost->len; i++)
    {
      const struct wk_gang *g = g_ptr_array_index (lost, i);
      guint k = 0;

      while (k < lost->len
             && (k == i || is_more_suspect (g, g_ptr_array_index (lost, k))))
        k++;
      if (k == lost->len)
        return g;
    }
  return NULL;
}

static void
log_loss (const struct cl_cell *c, const struct jb_job *job, int given_up)
{
  struct lg_field f[] = { lg_str ("cell", c->name), lg_str ("job", job->id),
                          lg_int ("attempt", job->attempt),
                          lg_int ("lost_attempts", job->lost_attempts),
                          lg_int ("given_up", given_up) };

  lg_log (LG_ATTEMPT_LOST, 5, f);
}

/* Counts a lost attempt of JOB that ran for RAN_MS.  Returns 1 if the job was
   given up.  */
static int
count_loss (struct cl_cell *c, struct jb_job *job, int64_t ran_ms)
{
  job->lost_attempts = ran_ms < STABLE_RUN_MS ? job->lost_attempts + 1 : 1;
  cl_mark_dirty (c, job);
  log_loss (c, job, job->lost_attempts >= MAX_LOST_ATTEMPTS);
  if (job->lost_attempts < MAX_LOST_ATTEMPTS)
    return 0;
  cl_stop_gang (c, job);
  cl_withdraw_job (c, job);
  cl_set_state (c, job, JB_FAILED, "lost with its workers again and again");
  return 1;
}

void
cl_note_gangs_lost (struct cl_cell *c, uint32_t worker, int all)
{
  GPtrArray *lost = list_lost (c, worker, all);
  const struct wk_gang *cause = find_cause (lost);
  int64_t delay_ms = 0;

  for (guint i = 0; i < lost->len; i++)
    {
      struct wk_gang *g = g_ptr_array_index (lost, i);
      struct jb_job *job = g->owner;

      g->loss_noted = 1;
      if (!job->spec.repeatable)
        continue;
      if (g == cause && count_loss (c, job, c->now_ms - g->phase_since_ms))
        continue;
      if (delay_ms)
        cl_resubmit (c, job, delay_ms);
      delay_ms += STAGGER_MS;
    }
  g_ptr_array_free (lost, TRUE);
}

int
cl_note_attempt_lost (struct cl_cell *c, struct jb_job *job)
{
  return count_loss (c, job, 0);
}
