/* Tells a worker that fails everything from a job that does.  A job that
   failed here and does well elsewhere speaks against the worker; one that
   fails elsewhere too speaks for it.  */
#include <math.h>

#include "state.h"

enum
{
  FINE_TO_QUARANTINE = 2, /* jobs that do well elsewhere */
  HOLD_BACK_AT = 2,       /* jobs that failed since the last success */
  HOLD_BACK_MS = 30000,   /* longest wait for a verdict */
  WATCH_MS = 500,         /* between two looks at a worker held back */
  MOST_IN_ROW = 8,        /* failures of several accounts, no success */
  IN_ROW_WITH_FINE = 4,   /* as many, if one job does well elsewhere */
  DISTINCT_BY_CHANCE = 5, /* failures for the verdict without retries */
  PROBATION_MS = 120000,  /* without a job to probe with, or a verdict */
  LOOK_MS = 5000,         /* between two looks at one on probation */
  READMIT_FIRST_MS = 60000,
  READMIT_MOST_MS = 600000
};

static const double least_chance
    = 1e-7; /* below it, failures are the worker's */

static void
watch (struct dc *dc, uint32_t id, int64_t at_ms)
{
  struct dc_worker *w = &dc->workers.v[id];

  w->watch_ms = at_ms;
  if (w->sick || DC_GROW (dc, dc->sick, dc->sick.n))
    return;
  dc->sick.v[dc->sick.n - 1] = id;
  w->sick = true;
}

/* A worker that was down or leaving is back.  It stays in quarantine.  */
void
dc_health_back (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];

  w->probing = false;
  if (w->health == DC_HEALTHY)
    w->held_back = false;
  else
    watch (dc, id, w->watch_ms);
}

static struct dc_suspicion *
find_suspicion (struct dc_worker *w, uint32_t job)
{
  for (int i = 0; i < w->suspicions; i++)
    if (w->suspect[i].job == job)
      return &w->suspect[i];
  return NULL;
}

static void
clear_suspicion (struct dc_worker *w, uint32_t job)
{
  struct dc_suspicion *s = find_suspicion (w, job);

  if (s)
    *s = w->suspect[--w->suspicions];
}

/* The handle of JOB is about to name another job.  */
void
dc_health_forget (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];

  for (int i = 0; i < job->failures; i++)
    clear_suspicion (&dc->workers.v[job->failed_on[i]], id);
}

static void
release (struct dc *dc, uint32_t id)
{
  dc->workers.v[id].held_back = false;
  dc->freed = true;
  dc_fleet_refresh (dc, id);
}

static void
forget_failure (struct dc_job *job, uint32_t worker)
{
  for (int i = 0; i < job->failures; i++)
    if (job->failed_on[i] == worker)
      {
        job->failed_on[i] = job->failed_on[--job->failures];
        return;
      }
}

static void
quarantine (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];
  int64_t delay = (int64_t)READMIT_FIRST_MS << w->quarantines;

  for (int i = 0; i < w->suspicions; i++)
    forget_failure (&dc->jobs.v[w->suspect[i].job], id);
  w->suspicions = 0;
  w->held_back = w->probing = false;
  w->in_row = 0;
  w->health = DC_QUARANTINED;
  if (delay < READMIT_MOST_MS)
    w->quarantines++;
  else
    delay = READMIT_MOST_MS;
  watch (dc, id, dc->now_ms + delay);
  dc_act (dc, DC_ACT_QUARANTINE, id, 0, NULL);
  dc_worker_close (dc, id);
}

/* Whether a job that failed on worker ID now runs longer elsewhere than it
   lasted there.  */
static bool
outlives (const struct dc *dc, uint32_t id, const struct dc_suspicion *s)
{
  const struct dc_job *job = &dc->jobs.v[s->job];
  const struct dc_task *t;

  if (job->state != DC_RUNNING)
    return false;
  t = dc_gang_task (dc, job, 0);
  return t->worker != id
         && dc->now_ms - job->start_ms > s->lasted_ms * 3 / 2 + WATCH_MS;
}

/* How many of the suspicions against W are from ACCOUNT.  */
static int
from_account (const struct dc *dc, const struct dc_worker *w, uint32_t account)
{
  int n = 0;

  for (int i = 0; i < w->suspicions; i++)
    n += dc->jobs.v[w->suspect[i].job].spec.account == account;
  return n;
}

/* How likely a job of the same account fails, with all the suspicions held
   against the account too.  */
static double
chance_of (const struct dc *dc, const struct dc_worker *w,
           const struct dc_job *job)
{
  const struct dc_account *account = &dc->accounts.v[job->spec.account];
  int also = from_account (dc, w, job->spec.account);

  return (account->failures + also + 0.5) / (account->jobs + also + 10);
}

/* Whether so many failures in a row are beyond chance.  */
static bool
beyond_chance (const struct dc *dc, const struct dc_worker *w)
{
  double chance = 1;

  if (w->suspicions < DISTINCT_BY_CHANCE)
    return false;
  for (int i = 0; i < w->suspicions; i++)
    chance *= fmin (1, chance_of (dc, w, &dc->jobs.v[w->suspect[i].job]));
  return chance < least_chance;
}

static bool
guilty (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];
  int fine = 0;

  for (int i = 0; i < w->suspicions; i++)
    {
      struct dc_suspicion *s = &w->suspect[i];

      s->fine_elsewhere = s->fine_elsewhere || outlives (dc, id, s);
      fine += s->fine_elsewhere;
    }
  if (w->health == DC_PROBATION)
    return fine > 0;
  if (w->in_row >= MOST_IN_ROW && w->suspicions >= HOLD_BACK_AT
      && from_account (dc, w, dc->jobs.v[w->suspect[0].job].spec.account)
             < w->suspicions)
    return true;
  if (fine > 0 && w->in_row >= IN_ROW_WITH_FINE)
    return true;
  return fine >= FINE_TO_QUARANTINE || beyond_chance (dc, w);
}

/* Moves unused cells off a worker that is held back, where they can be bound
   elsewhere.  */
static void
move_cells (struct dc *dc, uint32_t id)
{
  uint32_t p = dc->workers.v[id].parts;

  while (p != DC_NONE)
    {
      const struct dc_part *part = pl_at (&dc->parts, p);
      uint32_t cell = part->cell;

      p = part->next;
      if (dc->cells.v[cell].jobs || dc->cells.v[cell].parts != 1)
        continue;
      dc_cell_unbind (dc, cell);
      if (!dc_cell_bind (dc, cell, DC_CAP_UNRESERVED))
        dc_cell_bind_at (dc, cell, id);
    }
}

static void
judge (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];

  if (w->health == DC_QUARANTINED || !w->up)
    return;
  if (guilty (dc, id))
    {
      quarantine (dc, id);
      return;
    }
  if (w->suspicions < HOLD_BACK_AT || w->held_back || w->health != DC_HEALTHY)
    return;
  w->held_back = true;
  w->held_ms = dc->now_ms;
  watch (dc, id, dc->now_ms + WATCH_MS);
  dc_fleet_refresh (dc, id);
  move_cells (dc, id);
}

bool
dc_health_failed_on (const struct dc_job *job, uint32_t worker)
{
  for (int i = 0; i < job->failures; i++)
    if (job->failed_on[i] == worker)
      return true;
  return false;
}

static void
note_failed_on (struct dc_job *job, uint32_t worker)
{
  if (!dc_health_failed_on (job, worker)
      && job->failures < DC_MAX_FAILED_WORKERS)
    job->failed_on[job->failures++] = worker;
}

/* Notes that JOB failed on WORKER.  Returns whether JOB is to end: it failed
   on enough workers that do other work well.  */
bool
dc_health_failed (struct dc *dc, uint32_t id, uint32_t worker)
{
  struct dc_job *job = &dc->jobs.v[id];
  struct dc_worker *w = &dc->workers.v[worker];

  job->failed_starts++;
  if (w->in_row < UINT8_MAX && !find_suspicion (w, id))
    w->in_row++;
  note_failed_on (job, worker);
  if (job->failures > 1 && w->suspicions == 0 && w->health == DC_HEALTHY)
    {
      for (int i = 0; i < job->failures; i++)
        clear_suspicion (&dc->workers.v[job->failed_on[i]], id);
    }
  else if (!find_suspicion (w, id) && w->suspicions < DC_MAX_SUSPICIONS)
    w->suspect[w->suspicions++]
        = (struct dc_suspicion){ .job = id,
                                 .start_ms = job->start_ms,
                                 .lasted_ms = dc->now_ms - job->start_ms };
  w->bad_ms = job->start_ms;
  w->probing = false;
  judge (dc, worker);
  return job->failures >= DC_MAX_FAILED_WORKERS
         || job->failed_starts >= DC_MAX_FAILED_STARTS;
}

/* Ends the probation of a worker.  */
static void
trust (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];

  w->health = DC_HEALTHY;
  w->probing = false;
  dc->freed = dc->rebind = true;
  dc_fleet_refresh (dc, id);
}

/* Drops the suspicions of work that started no later than START_MS.  */
static void
clear_until (struct dc_worker *w, int64_t start_ms)
{
  for (int i = w->suspicions; i-- > 0;)
    if (w->suspect[i].start_ms <= start_ms)
      w->suspect[i] = w->suspect[--w->suspicions];
}

/* Notes that a task of JOB ended well on WORKER.  That speaks for the worker
   as it was when the task started: one that fails everything since then ends
   what it ran before.  */
void
dc_health_worked (struct dc *dc, uint32_t id, uint32_t worker)
{
  struct dc_worker *w = &dc->workers.v[worker];
  int64_t start_ms = dc->jobs.v[id].start_ms;

  if (start_ms >= w->bad_ms)
    w->in_row = 0;
  clear_until (w, start_ms);
  if (w->suspicions > 0 || w->health == DC_QUARANTINED)
    return;
  if (w->held_back)
    release (dc, worker);
  if (w->health != DC_PROBATION || start_ms < w->held_ms)
    return;
  w->quarantines = 0;
  trust (dc, worker);
}

/* Notes that JOB ended well: where it failed before was to blame.  */
void
dc_health_done (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];

  for (int i = 0; i < job->failures; i++)
    {
      struct dc_suspicion *s
          = find_suspicion (&dc->workers.v[job->failed_on[i]], id);

      if (!s)
        continue;
      s->fine_elsewhere = true;
      judge (dc, job->failed_on[i]);
    }
}

/* Looks at one worker whose time has come; returns whether to keep it in
   the list.  */
static bool
look (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];

  if (!w->up || (w->health == DC_HEALTHY && !w->held_back))
    return false;
  if (w->watch_ms > dc->now_ms)
    return true;
  if (w->health == DC_QUARANTINED)
    {
      w->health = DC_PROBATION;
      w->held_ms = dc->now_ms;
      dc_act (dc, DC_ACT_READMIT, id, 0, NULL);
    }
  else
    judge (dc, id);
  if (w->health == DC_QUARANTINED)
    return true;
  if (w->held_back && dc->now_ms - w->held_ms > HOLD_BACK_MS)
    {
      release (dc, id);
      return false;
    }
  if (w->health == DC_PROBATION && dc->now_ms - w->held_ms >= PROBATION_MS
      && !w->probing)
    {
      if (w->suspicions == 0)
        {
          trust (dc, id);
          return false;
        }
      w->suspicions = 0;
      w->held_ms = dc->now_ms;
    }
  w->watch_ms = dc->now_ms + (w->held_back ? WATCH_MS : LOOK_MS);
  return true;
}

void
dc_health_tick (struct dc *dc)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < dc->sick.n; i++)
    {
      uint32_t id = dc->sick.v[i];

      if (look (dc, id))
        dc->sick.v[kept++] = id;
      else
        dc->workers.v[id].sick = false;
    }
  dc->sick.n = kept;
}

/* When dc_health_tick has something to do next, or -1.  */
int64_t
dc_health_next (const struct dc *dc)
{
  int64_t next = -1;

  for (uint32_t i = 0; i < dc->sick.n; i++)
    {
      const struct dc_worker *w = &dc->workers.v[dc->sick.v[i]];

      if (!w->up)
        continue;
      if (next < 0 || w->watch_ms < next)
        next = w->watch_ms;
    }
  return next;
}
