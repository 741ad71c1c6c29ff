#include <stdlib.h>
#include <string.h>

#include "replay.h"

enum
{
  IDLE_LIMIT_MS = 3600000 /* a trace without `end` stops once nothing has
                             ended or been saved for so long */
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
      return RP_EBROKEN;
    }
  tr_measures_init (&run->measures);
  run->job = g_array_new (FALSE, TRUE, sizeof (struct rp_job));
  run->job_of = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  run->free_handle = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  run->worker = g_array_new (FALSE, TRUE, sizeof (struct rp_worker));
  rp_agent_init (run);
  return RP_OK;
}

void
rp_run_fini (struct rp_run *run)
{
  for (guint i = 0; i < run->job->len; i++)
    free (rp_job (run, i)->task);
  rp_agent_fini (run);
  g_array_free (run->job, TRUE);
  g_array_free (run->job_of, TRUE);
  g_array_free (run->free_handle, TRUE);
  g_array_free (run->worker, TRUE);
  tr_measures_fini (&run->measures);
  dc_fini (run->dc);
  free (run->dc);
  tr_tables_fini (&run->tables);
}

static int
names_a_job (enum dc_action_kind kind)
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
take_actions (struct rp_run *run)
{
  struct dc_action action;

  while (dc_take (run->dc, &action))
    {
      if (names_a_job (action.kind))
        action.id = g_array_index (run->job_of, uint32_t, action.id);
      if (action.kind == DC_ACT_PLAN_ACCEPTED && run->plan)
        tr_measures_plan (&run->measures, run->plan);
      tr_write_action (run->out, &run->tables, &action);
      rp_agent_act (run, &action);
    }
}

static void
note_size (struct rp_run *run)
{
  size_t bytes = dc_bytes (run->dc);

  if (bytes > run->measures.peak_bytes)
    run->measures.peak_bytes = bytes;
}

int
rp_apply (struct rp_run *run, const struct dc_event *event)
{
  int rc;

  rp_cost_start (run->cost);
  rc = dc_apply (run->dc, event);
  rp_cost_stop (run->cost);
  take_actions (run);
  note_size (run);
  return rc;
}

static int
decide (struct rp_run *run)
{
  int rc;

  rp_cost_start (run->cost);
  rc = dc_decide (run->dc, run->now_ms);
  rp_cost_stop (run->cost);
  take_actions (run);
  note_size (run);
  return rc;
}

/* Makes the decisions of the present moment.  A job with nothing left to run
   ends at once; its places are given to others from the next moment on, so
   that one moment has one round of decisions.  */
static int
close_instant (struct rp_run *run)
{
  int rc = decide (run);

  while (!rc && rp_agent_next_ms (run) == run->now_ms)
    {
      run->late_ms = run->now_ms + 1;
      rc = rp_agent_run (run);
    }
  run->open = 0;
  return rc;
}

static int
open_instant (struct rp_run *run, int64_t at_ms)
{
  tr_measures_advance (&run->measures, at_ms);
  run->now_ms = at_ms;
  run->open = 1;
  return rp_agent_run (run);
}

/* The next moment without an event of the source, or -1.  */
static int64_t
next_ms (const struct rp_run *run)
{
  int64_t agent_ms = rp_agent_next_ms (run);
  int64_t core_ms = dc_next_ms (run->dc);

  if (run->late_ms > run->now_ms)
    return run->late_ms;
  if (core_ms >= 0 && core_ms <= run->now_ms)
    core_ms = run->now_ms + 1;
  if (core_ms < 0 || (agent_ms >= 0 && agent_ms < core_ms))
    return agent_ms;
  return core_ms;
}

/* Finishes the present moment and runs those before LIMIT_MS.  */
static int
run_before (struct rp_run *run, int64_t limit_ms)
{
  int64_t at_ms;
  int rc = run->open ? close_instant (run) : 0;

  while (!rc && (at_ms = next_ms (run)) >= 0 && at_ms < limit_ms)
    if (!(rc = open_instant (run, at_ms)))
      rc = close_instant (run);
  return rc;
}

static int
advance (struct rp_run *run, int64_t at_ms)
{
  int rc;

  if (run->open && at_ms == run->now_ms)
    return 0;
  rc = run_before (run, at_ms);
  return rc ? rc : open_instant (run, at_ms);
}

/* Without an `end` the run lasts until nothing more can happen.  */
static int
run_out (struct rp_run *run)
{
  int rc = run->open ? close_instant (run) : 0;
  int64_t limit_ms = run->now_ms + IDLE_LIMIT_MS;
  int64_t at_ms;

  while (!rc && run->live > 0 && (at_ms = next_ms (run)) >= 0
         && at_ms < limit_ms)
    {
      if (rp_agent_next_ms (run) >= 0)
        limit_ms = rp_agent_next_ms (run) + IDLE_LIMIT_MS;
      if (!(rc = open_instant (run, at_ms)))
        rc = close_instant (run);
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
    case RP_TRACE:
      return tr_read (&source->reader, event);
    case RP_RANDOM:
      rc = rp_gen_next (source->gen, event);
      if (rc > 0 && source->emit)
        tr_write_event (source->emit, &run->tables, event);
      return rc;
    }
  return rc;
}

static int
broken (struct rp_run *run, int rc)
{
  const char *what = rc == DC_EBROKEN ? dc_broken (run->dc) : dc_strerror (rc);

  fflush (run->out);
  rp_report_broken (run, what ? what : "unnamed invariant");
  return RP_EBROKEN;
}

/* A bad line that states its time still lets all before that time happen;
   without one, the decisions of the last moment stay open.  */
static int
bad_line (struct rp_run *run, const char *reason)
{
  struct tr_reader *r = &run->source.reader;
  int rc = 0;

  if (r->bad_at_ms > run->now_ms)
    rc = run_before (run, r->bad_at_ms);
  if (rc)
    return broken (run, rc);
  fflush (run->out);
  fprintf (stderr, "%s:%lld: %s\n", run->source.path, (long long)r->number,
           reason);
  return RP_EBAD;
}

static int
is_up_already (struct rp_run *run, const struct tr_event *event)
{
  const struct rp_worker *w;

  if (event->kind != TR_WORKER)
    return 0;
  w = rp_worker (run, event->u.worker.id);
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
      if (is_up_already (run, &event))
        return bad_line (run, "worker is up already");
      if ((rc = advance (run, event.at_ms)))
        return broken (run, rc);
      *ended = event.kind == TR_END;
      if (*ended)
        return RP_OK;
      rc = rp_take (run, &event);
      if (rc && rc != DC_EBROKEN && run->source.kind == RP_TRACE)
        return bad_line (run, dc_strerror (rc));
      if (rc)
        return broken (run, rc);
    }
  if (rc == TR_EIO)
    {
      fprintf (stderr, "%s: cannot be read\n", run->source.path);
      return RP_EBAD;
    }
  return rc < 0 ? bad_line (run, run->source.reader.reason) : RP_OK;
}

int
rp_run_all (struct rp_run *run)
{
  int ended = 0;
  int rc = run_source (run, &ended);

  if (rc)
    return rc;
  rc = ended ? close_instant (run) : run_out (run);
  if (rc)
    return broken (run, rc);
  tr_write_summary (run->out, &run->measures, run->now_ms);
  return RP_OK;
}
