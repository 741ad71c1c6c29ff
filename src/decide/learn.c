/* Learns how long the jobs of an account run, beside what they declare.  */
#include <math.h>

#include "state.h"

static const double learn_rate = 0.1; /* weight of the newest run */
static const double most_ratio = 20;  /* learned over declared, either way */

static const double order_factor = 4;      /* delay over expected run time */
static const double window_ms = 60000;     /* of the urgent arrivals */
static const double idle_share = 1.0 / 16; /* most of the fleet kept idle */

/* Notes the submission of an urgent gang.  */
void
dc_learn_urgent (struct dc *dc, const struct dc_job *job)
{
  double passed = (double)(dc->now_ms - dc->urgent_ms);

  dc->urgent *= exp (-passed / window_ms);
  dc->urgent += job->spec.tasks * job->spec.per_task;
  dc->urgent_ms = dc->now_ms;
}

/* Accelerators to keep idle for urgent gangs: what arrives during one
   checkpoint.  */
int32_t
dc_learn_reserve (const struct dc *dc)
{
  double passed = (double)(dc->now_ms - dc->urgent_ms);
  double expected = dc->urgent * exp (-passed / window_ms) / window_ms;
  double completion = dc->config.weight_completion;
  double fragmentation = dc->config.weight_fragmentation;
  double share = completion + fragmentation > 0
                     ? 2 * completion / (completion + fragmentation)
                     : 1;

  return (int32_t)fmin (expected * DC_CHECKPOINT_MS * share,
                        idle_share * (double)dc->accelerators);
}

/* Expected run time of JOB in ms.  */
int64_t
dc_learn_predict (const struct dc *dc, const struct dc_job *job)
{
  const struct dc_account *account = &dc->accounts.v[job->spec.account];

  if (job->spec.declared_ms > 0 && account->ratio > 0)
    return (int64_t)((double)job->spec.declared_ms * account->ratio);
  if (job->spec.declared_ms > 0)
    return job->spec.declared_ms;
  return (int64_t)account->run_ms;
}

/* How much later than its submission JOB counts as queued, in ms: longer
   jobs give way to shorter ones, for a bounded time.  */
int64_t
dc_learn_delay (const struct dc *dc, const struct dc_job *job)
{
  double run = (double)dc_learn_predict (dc, job);

  return (int64_t)(dc->config.weight_completion * order_factor * run);
}

void
dc_learn_done (struct dc *dc, const struct dc_job *job)
{
  struct dc_account *account = &dc->accounts.v[job->spec.account];
  double run = (double)(job->served_ms + dc->now_ms - job->start_ms);
  double ratio;

  if (run < 1)
    run = 1;
  account->run_ms += learn_rate * (run - account->run_ms);
  if (job->spec.declared_ms <= 0)
    return;
  ratio = run / (double)job->spec.declared_ms;
  ratio = fmax (1 / most_ratio, fmin (most_ratio, ratio));
  if (account->ratio > 0)
    account->ratio *= pow (ratio / account->ratio, learn_rate);
  else
    account->ratio = ratio;
}
