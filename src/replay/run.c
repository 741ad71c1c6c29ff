#include <stdlib.h>
#include <string.h>

#include "replay.h"

enum
{
  IDLE_LIMIT_MS = 3600000 /* a trace without `end` stops after this time
                             without an end of a task or checkpoint */
};

int
rp_run_init (struct rp_run *run, const struct dc_config *config, FILE *out)
{
  memset (run, 0, sizeof *run);
  run->out = out;
  run->dc = calloc (1, dc_size ());
  if (!run->dc || tr_tables_init (&run->tables)
      || dc_init (run->dc, config) != DC_OK)
    {
      fprintf (stderr, "skr-replay: out of memory\n");
      free (run->dc);
      return RP_EINVARIANT;
    }
  tr_measures_init (&run->measures);
  run->jobs = g_array_new (FALSE, TRUE, sizeof (struct rp_job));
  run->job_by_handle = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  run->free_handles = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  run->workers = g_array_new (FALSE, TRUE, sizeof (struct rp_worker));
  rp_agent_init (run);
  return RP_OK;
}

void
rp_run_fini (struct rp_run *run)
{
  for (guint i = 0; i < run->jobs->len; i++)
    free (rp_get_job (run, i)->tasks);
  rp_agent_fini (run);
  g_array_free (run->jobs, TRUE);
  g_array_free (run->job_by_handle, TRUE);
  g_array_free (run->free_handles, TRUE);
  g_array_free (run->workers, TRUE);
  tr_measures_fini (&run->measures);
  dc_fini (run->dc);
  free (run->dc);
  tr_tables_fini (&run->tables);
}

static int
refers_to_job (enum dc_action_kind kind)
{
  switch (kind)
    {
    case DC_ACT_PLAN_ACCEPTED:
    case DC_ACT_PLAN_REFUSED:
    case DC_ACT_QUARANTINE:
    case DC_ACT_READMIT:
      return 0;
    default:
      return 1;
    }
}

static void
execute_actions (struct rp_run *run)
{
  struct dc_action action;

  while (dc_take_action (run->dc, &action))
    {
      if (refers_to_job (action.kind))
        action.id = g_array_index (run->job_by_handle, uint32_t, action.id);
      if (action.kind == DC_ACT_PLAN_ACCEPTED && run->current_plan)
        tr_measures_plan (&run->measures, run->current_plan);
      tr_write_action (run->out, &run->tables, &action);
      rp_agent_execute (run, &action);
    }
}

static void
update_peak_bytes (struct rp_run *run)
{
  size_t bytes = dc_state_bytes (run->dc);

  if (bytes > run->measures.peak_bytes)
    run->measures.peak_bytes = bytes;
}

int
rp_apply_event (struct rp_run *run, const struct dc_event *event)
{
  int rc;

  rp_cost_start (run->cost);
  rc = dc_apply (run->dc, event);
  rp_cost_stop (run->cost);
  execute_actions (run);
  update_peak_bytes (run);
  return rc;
}

static int
decide (struct rp_run *run)
{
  int rc;

  rp_cost_start (run->cost);
  rc = dc_decide (run->dc, run->now_ms);
  rp_cost_stop (run->cost);
  execute_actions (run);
  update_peak_bytes (run);
  return rc;
}

/* Makes the decisions of the current instant.  A job with no remaining run
   time ends in the same instant.  Its resources are reassigned one millisecond
   later, so that each instant has one round of decisions.  */
static int
finish_instant (struct rp_run *run)
{
  int rc = decide (run);

  while (!rc && rp_agent_next_ms (run) == run->now_ms)
    {
      run->deferred_ms = run->now_ms + 1;
      rc = rp_agent_run_due (run);
    }
  run->instant_open = 0;
  return rc;
}

static int
begin_instant (struct rp_run *run, int64_t at_ms)
{
  tr_measures_advance (&run->measures, at_ms);
  run->now_ms = at_ms;
  run->instant_open = 1;
  return rp_agent_run_due (run);
}

/* Returns the time of the next timer or decision, or -1.  */
static int64_t
next_internal_ms (const struct rp_run *run)
{
  int64_t agent_ms = rp_agent_next_ms (run);
  int64_t core_ms = dc_next_decision_ms (run->dc);

  if (run->deferred_ms > run->now_ms)
    return run->deferred_ms;
  if (core_ms >= 0 && core_ms <= run->now_ms)
    core_ms = run->now_ms + 1;
  if (core_ms < 0 || (agent_ms >= 0 && agent_ms < core_ms))
    return agent_ms;
  return core_ms;
}

/* Finishes the current instant and runs all instants before LIMIT_MS.  */
static int
run_before (struct rp_run *run, int64_t limit_ms)
{
  int64_t at_ms;
  int rc = run->instant_open ? finish_instant (run) : 0;

  while (!rc && (at_ms = next_internal_ms (run)) >= 0 && at_ms < limit_ms)
    if (!(rc = begin_instant (run, at_ms)))
      rc = finish_instant (run);
  return rc;
}

static int
advance_to (struct rp_run *run, int64_t at_ms)
{
  int rc;

  if (run->instant_open && at_ms == run->now_ms)
    return 0;
  rc = run_before (run, at_ms);
  return rc ? rc : begin_instant (run, at_ms);
}

/* Runs a trace without `end` until no job, timer or decision remains, or until
   IDLE_LIMIT_MS have passed without an end of a task or checkpoint.  */
static int
run_until_idle (struct rp_run *run)
{
  int rc = run->instant_open ? finish_instant (run) : 0;
  int64_t limit_ms = run->now_ms + IDLE_LIMIT_MS;
  int64_t at_ms;

  while (!rc && run->unfinished_jobs > 0
         && (at_ms = next_internal_ms (run)) >= 0 && at_ms < limit_ms)
    {
      if (rp_agent_next_ms (run) >= 0)
        limit_ms = rp_agent_next_ms (run) + IDLE_LIMIT_MS;
      if (!(rc = begin_instant (run, at_ms)))
        rc = finish_instant (run);
    }
  return rc;
}

static int
next_event (struct rp_run *run, struct tr_event *event)
{
  struct rp_source *source = &run->source;
  int rc = 0;

  switch (source->kind)
    {
    case RP_SOURCE_TRACE:
      return tr_read (&source->reader, event);
    case RP_SOURCE_RANDOM:
      rc = rp_gen_next (source->gen, event);
      if (rc > 0 && source->emit)
        tr_write_event (source->emit, &run->tables, event);
      return rc;
    }
  return rc;
}

static int
report_failure (struct rp_run *run, int rc)
{
  const char *what
      = rc == DC_EINVARIANT ? dc_broken_invariant (run->dc) : dc_strerror (rc);

  fflush (run->out);
  rp_report_violation (run, what ? what : "unnamed invariant");
  return RP_EINVARIANT;
}

/* Reports an invalid trace line.  If the line has a valid time, the run first
   advances to it; otherwise the decisions of the current instant are not
   made.  */
static int
report_bad_line (struct rp_run *run, const char *reason)
{
  struct tr_reader *r = &run->source.reader;
  int rc = 0;

  if (r->invalid_at_ms > run->now_ms)
    rc = run_before (run, r->invalid_at_ms);
  if (rc)
    return report_failure (run, rc);
  fflush (run->out);
  fprintf (stderr, "%s:%lld: %s\n", run->source.path, (long long)r->number,
           reason);
  return RP_EINPUT;
}

static int
is_already_up (struct rp_run *run, const struct tr_event *event)
{
  const struct rp_worker *w;

  if (event->kind != TR_WORKER)
    return 0;
  w = rp_get_worker (run, event->u.worker.id);
  return w->up && !w->leaving;
}

static int
run_source (struct rp_run *run, int *ended)
{
  struct tr_event event;
  int rc;

  while ((rc = next_event (run, &event)) > 0)
    {
      run->events++;
      if (is_already_up (run, &event))
        return report_bad_line (run, "worker is up already");
      if ((rc = advance_to (run, event.at_ms)))
        return report_failure (run, rc);
      *ended = event.kind == TR_END;
      if (*ended)
        return RP_OK;
      rc = rp_apply_source_event (run, &event);
      if (rc && rc != DC_EINVARIANT && run->source.kind == RP_SOURCE_TRACE)
        return report_bad_line (run, dc_strerror (rc));
      if (rc)
        return report_failure (run, rc);
    }
  if (rc == TR_EIO)
    {
      fprintf (stderr, "%s: cannot be read\n", run->source.path);
      return RP_EINPUT;
    }
  return rc < 0 ? report_bad_line (run, run->source.reader.reason) : RP_OK;
}

int
rp_run_all (struct rp_run *run)
{
  int ended = 0;
  int rc = run_source (run, &ended);

  if (rc)
    return rc;
  rc = ended ? finish_instant (run) : run_until_idle (run);
  if (rc)
    return report_failure (run, rc);
  tr_write_summary (run->out, &run->measures, run->now_ms);
  return RP_OK;
}
