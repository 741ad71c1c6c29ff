/* Counters, gauges and latency histograms of the process.  */
#include <stdio.h>

#include "batch/batch.h"

/* The series of stopped runs, one for each cause.  */
static void
init_causes (struct batch *b)
{
  for (int i = 0; i < SJ_CAUSES; i++)
    {
      char labels[ST_LABELS_SIZE];

      snprintf (labels, sizeof labels, "cause=\"%s\"",
                sj_cause_name ((enum sj_cause)i));
      b->counters.stopped_runs[i] = st_series (
          &b->stats, ST_COUNTER, "skr_batch_stopped_runs_total", labels);
    }
}

/* The series of what waits.  */
static void
init_waiting (struct batch *b)
{
  struct ba_counters *c = &b->counters;
  struct st_registry *r = &b->stats;

  c->waiting_jobs = st_series (r, ST_GAUGE, "skr_batch_waiting_jobs", "");
  c->waiting_orders = st_series (r, ST_GAUGE, "skr_batch_waiting_orders", "");
  c->waiting_requests
      = st_series (r, ST_GAUGE, "skr_batch_waiting_requests", "");
}

/* The series of transactions and of records that can't be stored.  */
static void
init_commits (struct batch *b)
{
  struct ba_counters *c = &b->counters;
  struct st_registry *r = &b->stats;

  c->commits = st_series (r, ST_COUNTER, "skr_batch_commits_total", "");
  c->refused_commits
      = st_series (r, ST_COUNTER, "skr_batch_refused_commits_total", "");
  c->aside_records
      = st_series (r, ST_COUNTER, "skr_batch_aside_records_total", "");
  c->aside_jobs = st_series (r, ST_GAUGE, "skr_batch_aside_jobs", "");
  c->crashes_in_a_row
      = st_series (r, ST_GAUGE, "skr_batch_crashes_in_a_row", "");
  c->suspended_jobs = st_series (r, ST_GAUGE, "skr_batch_suspended_jobs", "");
}

int
co_init (struct batch *b)
{
  struct ba_counters *c = &b->counters;
  struct st_registry *r = &b->stats;

  st_init (r);
  c->shard = st_attach (r);
  c->answers = st_series (r, ST_COUNTER, "skr_batch_answers_total", "");
  c->submits = st_series (r, ST_COUNTER, "skr_batch_submits_total", "");
  c->accepted = st_series (r, ST_COUNTER, "skr_batch_accepted_total", "");
  c->refused = st_series (r, ST_COUNTER, "skr_batch_refused_total", "");
  c->withdrawals
      = st_series (r, ST_COUNTER, "skr_batch_withdrawals_total", "");
  c->unknown = st_series (r, ST_COUNTER, "skr_batch_unknown_total", "");
  c->starts = st_series (r, ST_COUNTER, "skr_batch_starts_total", "");
  c->stops = st_series (r, ST_COUNTER, "skr_batch_stops_total", "");
  c->ends = st_series (r, ST_COUNTER, "skr_batch_ends_total", "");
  c->lost_runs = st_series (r, ST_COUNTER, "skr_batch_lost_runs_total", "");
  c->given_up_tasks
      = st_series (r, ST_COUNTER, "skr_batch_given_up_tasks_total", "");
  c->passed_over_jobs
      = st_series (r, ST_COUNTER, "skr_batch_passed_over_jobs_total", "");
  c->accounts_over
      = st_series (r, ST_GAUGE, "skr_batch_accounts_over_share", "");
  c->accounts_waiting
      = st_series (r, ST_GAUGE, "skr_batch_accounts_waiting", "");
  init_commits (b);
  c->store_calls
      = st_series (r, ST_COUNTER, "skr_batch_store_calls_total", "");
  c->holds = st_series (r, ST_COUNTER, "skr_batch_holds_total", "");
  c->probes = st_series (r, ST_COUNTER, "skr_batch_store_probes_total", "");
  c->stalled_refusals
      = st_series (r, ST_COUNTER, "skr_batch_stalled_refusals_total", "");
  c->early_unknown
      = st_series (r, ST_COUNTER, "skr_batch_early_unknown_total", "");
  c->relayed = st_series (r, ST_COUNTER, "skr_batch_relayed_total", "");
  c->relay_unknown
      = st_series (r, ST_COUNTER, "skr_batch_relay_unknown_total", "");
  c->relay_not_run
      = st_series (r, ST_COUNTER, "skr_batch_relay_not_run_total", "");
  c->relay_received
      = st_series (r, ST_COUNTER, "skr_batch_relay_received_total", "");
  c->reads_state = st_series (r, ST_GAUGE, "skr_batch_store_reads_state", "");
  c->writes_state
      = st_series (r, ST_GAUGE, "skr_batch_store_writes_state", "");
  init_causes (b);
  c->lost_core_ms
      = st_series (r, ST_COUNTER, "skr_batch_lost_core_ms_total", "");
  c->preemptions
      = st_series (r, ST_COUNTER, "skr_batch_preemptions_total", "");
  c->preemptions_avoided
      = st_series (r, ST_COUNTER, "skr_batch_preemptions_avoided_total", "");
  c->headroom_kept
      = st_series (r, ST_GAUGE, "skr_batch_headroom_accelerators", "");
  c->headroom_used
      = st_series (r, ST_GAUGE, "skr_batch_headroom_used_accelerators", "");
  c->store_wait
      = st_series (r, ST_HISTOGRAM, "skr_batch_store_wait_seconds", "");
  c->commit_duration
      = st_series (r, ST_HISTOGRAM, "skr_batch_commit_seconds", "");
  init_waiting (b);
  c->runs = st_series (r, ST_GAUGE, "skr_batch_runs", "");
  c->accelerators_used
      = st_series (r, ST_GAUGE, "skr_batch_accelerators_used", "");
  c->usable_workers = st_series (r, ST_GAUGE, "skr_batch_usable_workers", "");
  c->slow_kept
      = st_series (r, ST_COUNTER, "skr_batch_slow_runs_kept_total", "");
  c->fast_waits = st_series (r, ST_COUNTER, "skr_batch_fast_waits_total", "");
  c->fast_workers
      = st_series (r, ST_GAUGE, "skr_batch_speed_workers", "class=\"fast\"");
  c->medium_workers
      = st_series (r, ST_GAUGE, "skr_batch_speed_workers", "class=\"medium\"");
  c->slow_workers
      = st_series (r, ST_GAUGE, "skr_batch_speed_workers", "class=\"slow\"");
  c->unknown_workers = st_series (r, ST_GAUGE, "skr_batch_speed_workers",
                                  "class=\"unknown\"");
  c->is_holder = st_series (r, ST_GAUGE, "skr_batch_holder", "");
  c->closed_domains = st_series (r, ST_GAUGE, "skr_batch_closed_domains", "");
  c->closed_workers = st_series (r, ST_GAUGE, "skr_batch_closed_workers", "");
  return c->shard < 0 ? BS_ENOMEM : BS_OK;
}

void
co_add (struct batch *b, int series, int64_t n)
{
  st_add (&b->stats, b->counters.shard, series, n);
}

/* Gauges of the accounts' shares; 0 without fair shares.  */
static void
set_account_gauges (struct batch *b)
{
  struct ba_counters *c = &b->counters;
  struct sj_account_share account[BA_MAX_ACCOUNTS];
  int n = b->cluster ? sj_account_shares (b->cluster, account, BA_MAX_ACCOUNTS)
                     : 0;
  int over = 0, waiting = 0;

  for (int i = 0; i < n; i++)
    {
      over += account[i].is_over;
      waiting += account[i].waiting > 0;
    }
  st_set (&b->stats, c->shard, c->accounts_over, over);
  st_set (&b->stats, c->shard, c->accounts_waiting, waiting);
}

void
co_tick (struct batch *b, struct sj_counts *counts)
{
  struct ba_counters *c = &b->counters;

  *counts = (struct sj_counts){ 0 };
  if (b->cluster)
    sj_count (b->cluster, counts);
  b->busy_workers = counts->busy_workers;
  st_set (&b->stats, c->shard, c->waiting_jobs, counts->waiting);
  st_set (&b->stats, c->shard, c->aside_jobs, counts->aside_jobs);
  st_set (&b->stats, c->shard, c->crashes_in_a_row, b->lease.caution.ends);
  st_set (&b->stats, c->shard, c->suspended_jobs,
          b->lease.caution.count - b->lease.caution.tried);
  st_set (&b->stats, c->shard, c->waiting_orders, oq_waiting (&b->orders));
  st_set (&b->stats, c->shard, c->runs, counts->runs);
  st_set (&b->stats, c->shard, c->accelerators_used,
          counts->accelerators_used);
  st_set (&b->stats, c->shard, c->usable_workers, counts->usable_workers);
  st_set (&b->stats, c->shard, c->fast_workers, counts->fast_workers);
  st_set (&b->stats, c->shard, c->medium_workers, counts->medium_workers);
  st_set (&b->stats, c->shard, c->slow_workers, counts->slow_workers);
  st_set (&b->stats, c->shard, c->unknown_workers, counts->unknown_workers);
  st_set (&b->stats, c->shard, c->headroom_kept, counts->headroom_kept);
  st_set (&b->stats, c->shard, c->headroom_used, counts->headroom_used);
  st_set (&b->stats, c->shard, c->is_holder, b->phase == BA_ACTIVE);
  st_set (&b->stats, c->shard, c->reads_state, b->access.path[AC_READS].state);
  st_set (&b->stats, c->shard, c->writes_state,
          b->access.path[AC_WRITES].state);
  st_set (&b->stats, c->shard, c->closed_domains, b->domains.count);
  st_set (&b->stats, c->shard, c->closed_workers, counts->closed_workers);
  st_set (&b->stats, c->shard, c->waiting_requests, cq_count (&b->requests));
  set_account_gauges (b);
}
