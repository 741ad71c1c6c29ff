#include <inttypes.h>

#include "replay.h"

static void
print_workers (const struct rp_run *run)
{
  for (guint i = 0; i < run->workers->len; i++)
    {
      const struct rp_worker *w
          = &g_array_index (run->workers, struct rp_worker, i);
      const struct tr_worker_state *use
          = &g_array_index (run->measures.worker, struct tr_worker_state, i);

      if (!w->is_known)
        continue;
      fprintf (stderr, "  worker %s: %s%s%s%s, %d of %d accelerators held\n",
               json_string_value (tr_name_value (&run->tables.worker, i)),
               w->up ? "up" : "down", w->leaving ? ", leaving" : "",
               w->quarantined ? ", quarantined" : "",
               w->fails_all ? ", fails every task" : "", use->held,
               use->accelerators);
    }
}

static void
print_job (const struct rp_run *run, const struct rp_job *job)
{
  static const char *const state[] = { [RP_QUEUED] = "queued",
                                       [RP_RUNNING] = "running",
                                       [RP_CHECKPOINTING] = "saving",
                                       [RP_ENDED] = "ended" };
  const struct dc_job_spec *spec = &job->submit.spec;

  fprintf (
      stderr,
      "  job %s: %s, account %u, %s, %d x %d, attempt %d, "
      "submitted at %" PRId64 "%s%s",
      json_string_value (tr_name_value (&run->tables.job, job->submit.job)),
      state[job->state], spec->account,
      spec->class == DC_URGENT ? "urgent" : "bulk", spec->tasks,
      spec->per_task, job->attempt, job->submitted_ms,
      spec->preemptible ? "" : ", not preemptible",
      spec->repeatable ? "" : ", not repeatable");
  for (int i = 0; job->tasks && i < spec->tasks; i++)
    if (!job->tasks[i].released)
      fprintf (stderr, "%s%s", i ? " " : ", on ",
               json_string_value (
                   tr_name_value (&run->tables.worker, job->tasks[i].worker)));
  fprintf (stderr, "\n");
}

void
rp_report_violation (const struct rp_run *run, const char *what)
{
  fprintf (stderr, "skr-replay: run failed: %s\n", what);
  if (run->source.kind == RP_SOURCE_RANDOM)
    fprintf (stderr, "  seed %" PRId64 ", ", run->source.seed);
  else
    fprintf (stderr, "  %s, ", run->source.path);
  fprintf (stderr, "event %" PRId64 ", at %" PRId64 " ms\n", run->events,
           run->now_ms);
  print_workers (run);
  for (guint i = 0; i < run->jobs->len; i++)
    if (rp_get_job (run, i)->state != RP_ENDED)
      print_job (run, rp_get_job (run, i));
}
