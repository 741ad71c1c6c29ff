/* Distinguishes workers that fail every job from jobs that fail on every
   worker.  A job that failed here and succeeds elsewhere is evidence against
   the worker; one that also fails elsewhere clears the worker.  */
#include <math.h>

#include "state.h"

enum
{
  /* Failed jobs recorded for a worker that restrict it to guaranteed work.  */
  RESTRICT_FAILED_JOBS = 2,
  RESTRICTED_CHECK_MS = 500,
  /* A restriction ends after this time if it has not led to a quarantine.  */
  RESTRICTED_MAX_MS = 30000,

  /* Any of these puts a worker in quarantine: this many recorded failed jobs
     that succeed elsewhere; this many failures in a row, of several accounts;
     fewer failures in a row if at least one job succeeds elsewhere.  */
  QUARANTINE_SUCCESSES_ELSEWHERE = 2,
  QUARANTINE_CONSECUTIVE = 8,
  QUARANTINE_FEWER_CONSECUTIVE = 4,
  /* Recorded failed jobs needed to compare with MIN_PROBABILITY, which puts a
     worker in quarantine before any job was retried elsewhere.  */
  PROBABILITY_MIN_JOBS = 5,

  /* The delay before probation doubles with each quarantine.  */
  READMIT_FIRST_MS = 60000,
  READMIT_MAX_MS = 600000,
  /* Probation ends after this time unless the result of a probe job has ended
     it before.  */
  PROBATION_MS = 120000,
  PROBATION_CHECK_MS = 5000
};

/* Recorded failures that are less probable than this by chance are taken for
   the fault of the worker.  */
static const double min_probability = 1e-7;

static void
watch_worker (struct dc *dc, uint32_t id, int64_t at_ms)
{
  struct dc_worker *w = &dc->workers.v[id];

  w->next_check_ms = at_ms;
  if (w->watched || DC_GROW (dc, dc->watched, dc->watched.n))
    return;
  dc->watched.v[dc->watched.n - 1] = id;
  w->watched = true;
}

/* Handles the return of a worker that was down or leaving.  A worker in
   quarantine stays there.  */
void
dc_health_worker_returned (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];

  w->probing = false;
  if (w->health == DC_HEALTHY)
    w->restricted = false;
  else
    watch_worker (dc, id, w->next_check_ms);
}

static struct dc_failed_job *
find_failed_job (struct dc_worker *w, uint32_t job)
{
  for (int i = 0; i < w->failed_jobs; i++)
    if (w->failed_job[i].job == job)
      return &w->failed_job[i];
  return NULL;
}

static void
remove_failed_job (struct dc_worker *w, uint32_t job)
{
  struct dc_failed_job *failed = find_failed_job (w, job);

  if (failed)
    *failed = w->failed_job[--w->failed_jobs];
}

/* Removes all records of JOB.  Must be called before its handle is reused.  */
void
dc_health_forget_job (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];

  for (int i = 0; i < job->failures; i++)
    remove_failed_job (&dc->workers.v[job->failed_on[i]], id);
}

static void
lift_restriction (struct dc *dc, uint32_t id)
{
  dc->workers.v[id].restricted = false;
  dc->capacity_freed = true;
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

  for (int i = 0; i < w->failed_jobs; i++)
    forget_failure (&dc->jobs.v[w->failed_job[i].job], id);
  w->failed_jobs = 0;
  w->restricted = w->probing = false;
  w->consecutive_failures = 0;
  w->health = DC_QUARANTINED;
  if (delay < READMIT_MAX_MS)
    w->quarantines++;
  else
    delay = READMIT_MAX_MS;
  watch_worker (dc, id, dc->now_ms + delay);
  dc_add_action (dc, DC_ACT_QUARANTINE, id, 0, NULL);
  dc_worker_cordon (dc, id);
}

/* Returns whether a job that failed on worker ID runs elsewhere for longer
   than it ran there.  */
static bool
runs_longer_elsewhere (const struct dc *dc, uint32_t id,
                       const struct dc_failed_job *failed)
{
  const struct dc_job *job = &dc->jobs.v[failed->job];
  const struct dc_task *t;

  if (job->state != DC_RUNNING)
    return false;
  t = dc_gang_task (dc, job, 0);
  return t->worker != id
         && dc->now_ms - job->start_ms
                > failed->ran_ms * 3 / 2 + RESTRICTED_CHECK_MS;
}

/* Returns how many of the failed jobs recorded for W belong to ACCOUNT.  */
static int
count_from_account (const struct dc *dc, const struct dc_worker *w,
                    uint32_t account)
{
  int n = 0;

  for (int i = 0; i < w->failed_jobs; i++)
    n += dc->jobs.v[w->failed_job[i].job].spec.account == account;
  return n;
}

/* Estimates the probability that a job of JOB's account fails.  The failures
   recorded for W count against the account too.  */
static double
job_failure_probability (const struct dc *dc, const struct dc_worker *w,
                         const struct dc_job *job)
{
  const struct dc_account *account = &dc->accounts.v[job->spec.account];
  int also = count_from_account (dc, w, job->spec.account);

  return (account->failed_jobs + also + 0.5)
         / (account->ended_jobs + also + 10);
}

/* Returns whether the failures recorded for W are too improbable to be the
   fault of the jobs.  */
static bool
is_beyond_chance (const struct dc *dc, const struct dc_worker *w)
{
  double probability = 1;

  if (w->failed_jobs < PROBABILITY_MIN_JOBS)
    return false;
  for (int i = 0; i < w->failed_jobs; i++)
    probability *= fmin (
        1, job_failure_probability (dc, w, &dc->jobs.v[w->failed_job[i].job]));
  return probability < min_probability;
}

static bool
is_faulty (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];
  int successes = 0;

  for (int i = 0; i < w->failed_jobs; i++)
    {
      struct dc_failed_job *failed = &w->failed_job[i];

      failed->succeeds_elsewhere = failed->succeeds_elsewhere
                                   || runs_longer_elsewhere (dc, id, failed);
      successes += failed->succeeds_elsewhere;
    }
  if (w->health == DC_PROBATION)
    return successes > 0;
  if (w->consecutive_failures >= QUARANTINE_CONSECUTIVE
      && w->failed_jobs >= RESTRICT_FAILED_JOBS
      && count_from_account (dc, w,
                             dc->jobs.v[w->failed_job[0].job].spec.account)
             < w->failed_jobs)
    return true;
  if (successes > 0 && w->consecutive_failures >= QUARANTINE_FEWER_CONSECUTIVE)
    return true;
  return successes >= QUARANTINE_SUCCESSES_ELSEWHERE
         || is_beyond_chance (dc, w);
}

/* Moves unused cells off a restricted worker if they fit elsewhere.  */
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
      if (!dc_cell_bind (dc, cell, DC_CAP_OUTSIDE_CELLS))
        dc_cell_bind_at (dc, cell, id);
    }
}

static void
evaluate_worker (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];

  if (w->health == DC_QUARANTINED || !w->up)
    return;
  if (is_faulty (dc, id))
    {
      quarantine (dc, id);
      return;
    }
  if (w->failed_jobs < RESTRICT_FAILED_JOBS || w->restricted
      || w->health != DC_HEALTHY)
    return;
  w->restricted = true;
  w->status_since_ms = dc->now_ms;
  watch_worker (dc, id, dc->now_ms + RESTRICTED_CHECK_MS);
  dc_fleet_refresh (dc, id);
  move_cells (dc, id);
}

bool
dc_health_has_failed_on (const struct dc_job *job, uint32_t worker)
{
  for (int i = 0; i < job->failures; i++)
    if (job->failed_on[i] == worker)
      return true;
  return false;
}

static void
record_failed_worker (struct dc_job *job, uint32_t worker)
{
  if (!dc_health_has_failed_on (job, worker)
      && job->failures < DC_MAX_FAILED_WORKERS)
    job->failed_on[job->failures++] = worker;
}

/* Records that JOB failed on WORKER.  Returns whether the job has failed too
   often to be retried.  Failures on workers that are then quarantined do not
   count.  */
bool
dc_health_task_failed (struct dc *dc, uint32_t id, uint32_t worker)
{
  struct dc_job *job = &dc->jobs.v[id];
  struct dc_worker *w = &dc->workers.v[worker];

  job->failed_starts++;
  if (w->consecutive_failures < UINT8_MAX && !find_failed_job (w, id))
    w->consecutive_failures++;
  record_failed_worker (job, worker);
  if (job->failures > 1 && w->failed_jobs == 0 && w->health == DC_HEALTHY)
    {
      for (int i = 0; i < job->failures; i++)
        remove_failed_job (&dc->workers.v[job->failed_on[i]], id);
    }
  else if (!find_failed_job (w, id) && w->failed_jobs < DC_MAX_FAILED_JOBS)
    w->failed_job[w->failed_jobs++]
        = (struct dc_failed_job){ .job = id,
                                  .start_ms = job->start_ms,
                                  .ran_ms = dc->now_ms - job->start_ms };
  w->last_failure_start_ms = job->start_ms;
  w->probing = false;
  evaluate_worker (dc, worker);
  return job->failures >= DC_MAX_FAILED_WORKERS
         || job->failed_starts >= DC_MAX_FAILED_STARTS;
}

/* Declares a worker on probation healthy.  */
static void
end_probation (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];

  w->health = DC_HEALTHY;
  w->probing = false;
  dc->capacity_freed = dc->rebind_needed = true;
  dc_fleet_refresh (dc, id);
}

/* Removes the recorded failures of attempts that started no later than
   START_MS.  */
static void
remove_failed_until (struct dc_worker *w, int64_t start_ms)
{
  for (int i = w->failed_jobs; i-- > 0;)
    if (w->failed_job[i].start_ms <= start_ms)
      w->failed_job[i] = w->failed_job[--w->failed_jobs];
}

/* Records that a task of JOB succeeded on WORKER.  This clears only failures
   of attempts that started no later: a worker that has begun to fail
   everything still completes tasks that it started before.  */
void
dc_health_task_succeeded (struct dc *dc, uint32_t id, uint32_t worker)
{
  struct dc_worker *w = &dc->workers.v[worker];
  int64_t start_ms = dc->jobs.v[id].start_ms;

  if (start_ms >= w->last_failure_start_ms)
    w->consecutive_failures = 0;
  remove_failed_until (w, start_ms);
  if (w->failed_jobs > 0 || w->health == DC_QUARANTINED)
    return;
  if (w->restricted)
    lift_restriction (dc, worker);
  if (w->health != DC_PROBATION || start_ms < w->status_since_ms)
    return;
  w->quarantines = 0;
  end_probation (dc, worker);
}

/* Records that JOB succeeded, which is evidence against the workers where it
   failed before.  */
void
dc_health_job_succeeded (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];

  for (int i = 0; i < job->failures; i++)
    {
      struct dc_failed_job *failed
          = find_failed_job (&dc->workers.v[job->failed_on[i]], id);

      if (!failed)
        continue;
      failed->succeeds_elsewhere = true;
      evaluate_worker (dc, job->failed_on[i]);
    }
}

/* Checks one worker if its check is due.  Returns whether it stays in the list
   of watched workers.  */
static bool
check_watched (struct dc *dc, uint32_t id)
{
  struct dc_worker *w = &dc->workers.v[id];

  if (!w->up || (w->health == DC_HEALTHY && !w->restricted))
    return false;
  if (w->next_check_ms > dc->now_ms)
    return true;
  if (w->health == DC_QUARANTINED)
    {
      w->health = DC_PROBATION;
      w->status_since_ms = dc->now_ms;
      dc_add_action (dc, DC_ACT_READMIT, id, 0, NULL);
    }
  else
    evaluate_worker (dc, id);
  if (w->health == DC_QUARANTINED)
    return true;
  if (w->restricted && dc->now_ms - w->status_since_ms > RESTRICTED_MAX_MS)
    {
      lift_restriction (dc, id);
      return false;
    }
  if (w->health == DC_PROBATION
      && dc->now_ms - w->status_since_ms >= PROBATION_MS && !w->probing)
    {
      if (w->failed_jobs == 0)
        {
          end_probation (dc, id);
          return false;
        }
      w->failed_jobs = 0;
      w->status_since_ms = dc->now_ms;
    }
  w->next_check_ms
      = dc->now_ms
        + (w->restricted ? RESTRICTED_CHECK_MS : PROBATION_CHECK_MS);
  return true;
}

void
dc_health_tick (struct dc *dc)
{
  uint32_t still_watched = 0;

  for (uint32_t i = 0; i < dc->watched.n; i++)
    {
      uint32_t id = dc->watched.v[i];

      if (check_watched (dc, id))
        dc->watched.v[still_watched++] = id;
      else
        dc->workers.v[id].watched = false;
    }
  dc->watched.n = still_watched;
}

/* Returns the time of the next health check, or -1.  */
int64_t
dc_health_next_ms (const struct dc *dc)
{
  int64_t next = -1;

  for (uint32_t i = 0; i < dc->watched.n; i++)
    {
      const struct dc_worker *w = &dc->workers.v[dc->watched.v[i]];

      if (!w->up)
        continue;
      if (next < 0 || w->next_check_ms < next)
        next = w->next_check_ms;
    }
  return next;
}
