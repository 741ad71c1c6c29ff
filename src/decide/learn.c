/* Learns run times from ended jobs and the load of urgent arrivals.  */
#include <math.h>

#include "state.h"

/* Weight of the newest run in the averages.  */
static const double learn_rate = 0.1;
/* The ratio of run time to declared time is limited to this and its
   reciprocal.  */
static const double max_run_ratio = 20;

/* Delay in the queue order over expected run time.  */
static const double delay_factor = 4;
/* Time constant of the decay of urgent arrivals.  */
static const double arrival_window_ms = 60000;
/* Largest share of the fleet that is kept idle for urgent gangs.  */
static const double max_reserve_share = 1.0 / 16;

/* Records the submission of an urgent gang.  */
void
dc_learn_urgent_arrival (struct dc *dc, const struct dc_job *job)
{
  double elapsed_ms = (double)(dc->now_ms - dc->urgent_arrivals_ms);

  dc->urgent_arrivals *= exp (-elapsed_ms / arrival_window_ms);
  dc->urgent_arrivals += job->spec.tasks * job->spec.per_task;
  dc->urgent_arrivals_ms = dc->now_ms;
}

/* Returns the accelerators to keep idle for urgent gangs: the number expected
   to be requested during one checkpoint, weighted by the configuration.  */
int32_t
dc_learn_reserve (const struct dc *dc)
{
  double elapsed_ms = (double)(dc->now_ms - dc->urgent_arrivals_ms);
  double expected = dc->urgent_arrivals * exp (-elapsed_ms / arrival_window_ms)
                    / arrival_window_ms;
  double completion = dc->config.weight_completion;
  double fragmentation = dc->config.weight_fragmentation;
  double share = completion + fragmentation > 0
                     ? 2 * completion / (completion + fragmentation)
                     : 1;

  return (int32_t)fmin (expected * DC_CHECKPOINT_MS * share,
                        max_reserve_share * (double)dc->accelerators);
}

/* Returns the expected run time of JOB in ms, 0 if unknown.  */
int64_t
dc_learn_run_ms (const struct dc *dc, const struct dc_job *job)
{
  const struct dc_account *account = &dc->accounts.v[job->spec.account];

  if (job->spec.declared_ms > 0 && account->run_ratio > 0)
    return (int64_t)((double)job->spec.declared_ms * account->run_ratio);
  if (job->spec.declared_ms > 0)
    return job->spec.declared_ms;
  return (int64_t)account->run_ms;
}

/* Returns by how many ms after its submission JOB is ordered in the queue.
   Longer jobs are ordered behind shorter ones, but only for a bounded
   time.  */
int64_t
dc_learn_queue_delay_ms (const struct dc *dc, const struct dc_job *job)
{
  double run = (double)dc_learn_run_ms (dc, job);

  return (int64_t)(dc->config.weight_completion * delay_factor * run);
}

void
dc_learn_completed (struct dc *dc, const struct dc_job *job)
{
  struct dc_account *account = &dc->accounts.v[job->spec.account];
  double run = (double)(job->ran_ms + dc->now_ms - job->start_ms);
  double ratio;

  if (run < 1)
    run = 1;
  account->run_ms += learn_rate * (run - account->run_ms);
  if (job->spec.declared_ms <= 0)
    return;
  ratio = run / (double)job->spec.declared_ms;
  ratio = fmax (1 / max_run_ratio, fmin (max_run_ratio, ratio));
  if (account->run_ratio > 0)
    account->run_ratio *= pow (ratio / account->run_ratio, learn_rate);
  else
    account->run_ratio = ratio;
}
