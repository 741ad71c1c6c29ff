/* Charges running gangs to cells of their account that became free, so that
   work within a guarantee is not preempted for other accounts.  */
#include "state.h"

enum
{
  MAX_JOBS_TRIED = 16 /* gangs considered for one cell */
};

/* Returns the running gang outside cells that uses most of a cell of SIZE,
   among those tried, or DC_NONE.  */
static uint32_t
best_job_for (const struct dc *dc, uint32_t account, int32_t size)
{
  uint32_t best = DC_NONE, id = dc->accounts.v[account].preemptible_jobs;
  int32_t most = 0;

  for (int i = 0; i < MAX_JOBS_TRIED && id != DC_NONE; i++)
    {
      const struct dc_job *job = &dc->jobs.v[id];
      int32_t n = job->spec.tasks * job->spec.per_task;

      if (job->level == DC_LEVEL_WORKER
          && job->tasks_remaining == job->spec.tasks && n <= size && n > most
          && dc_worker_schedulable (
              &dc->workers.v[dc_gang_task (dc, job, 0)->worker]))
        {
          best = id;
          most = n;
        }
      id = job->preemptible_next;
    }
  return best;
}

/* Charges running gangs to the unused one-worker cells of ACCOUNT.  */
void
dc_promote (struct dc *dc, uint32_t account)
{
  uint32_t c = dc->accounts.v[account].cells;

  for (; c != DC_NONE && dc->accounts.v[account].preemptible_jobs != DC_NONE;
       c = dc->cells.v[c].next)
    {
      const struct dc_cell *cell = &dc->cells.v[c];
      const struct dc_job *job;
      uint32_t id;

      if (cell->jobs || cell->parts != 1)
        continue;
      id = best_job_for (dc, account, cell->size);
      if (id == DC_NONE)
        continue;
      job = &dc->jobs.v[id];
      if (dc_cell_exchange (dc, c, dc_gang_task (dc, job, 0)->worker)
          && dc_charge_allocate (dc, c, job, DC_LEVEL_WORKER, false))
        dc_gang_set_state (dc, id, DC_RUNNING, DC_USAGE_GUARANTEED, c);
    }
}
