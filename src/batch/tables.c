/* Handles the rows of the tables of configuration, jobs and workers.  */
#include <string.h>

#include "batch/batch.h"
#include "batch/end_report.h"

enum
{
  CONFIG_WAIT_MS = 1500, /* below half of the default time after which a
                            revoked key must be refused */
  /* The same while requests to evacuate a domain are served.  A poll that
     returns a change confirms the table as of its sending only, so that a
     confirmation may be two polls old: starts are held after 3 s.  */
  REQUEST_WAIT_MS = 1000,
  /* Duration of a long poll for jobs.  Its reply also shows that the store is
     available, so JOB_WAIT_MS + JOB_GAP_MS must stay below the store's
     timeout.  */
  JOB_WAIT_MS = 800,
  WORKER_WAIT_MS = 1500,
  WORKER_GAP_MS = 200, /* workers report all the time; a tenth of the 2 s after
                          which a leaving worker gets no new tasks */
  JOB_GAP_MS = 250,    /* a standby VM shows a new state within this time */
  /* Starts are held while the worker table was not confirmed for so long: the
     workers may have shrunk or begun to leave.  */
  WORKER_TABLE_MAX_AGE_MS = 3000,
  /* Allowance for the transmission of a request to the store.  */
  FRESH_SLACK_MS = 1000
};

static void
log_config (const struct qu_config *c, const char *reason)
{
  struct lg_field f[] = { lg_int ("version", c ? c->version : 0),
                          lg_int ("queues", c ? c->queue_count : 0),
                          lg_int ("accounts", c ? c->account_count : 0),
                          lg_str ("reason", reason) };

  lg_log (c ? LG_QUEUES_APPLIED : LG_QUEUES_REFUSED, 4, f);
}

void
ba_apply_guarantees (struct batch *b)
{
  if (!b->cluster || !b->config)
    return;
  for (int i = 0; i < b->config->account_count; i++)
    sj_set_guarantee (b->cluster, b->config->account[i].name,
                      b->config->account[i].guaranteed_accelerators);
}

static void
log_not_served (const struct po_row *row)
{
  struct lg_field f[]
      = { lg_str ("table", row->table), lg_str ("key", row->key) };

  if (!row->deleted)
    lg_log (LG_NOT_SERVED, 2, f);
}

static void
apply_config_row (struct batch *b, const struct po_row *row)
{
  const char *reason = "";
  struct qu_config *c;

  if (row->deleted)
    return;
  c = po_config_read (row->value, &reason);
  if (c && b->config && c->version <= b->config->version)
    {
      qu_free (c);
      return;
    }
  log_config (c, reason);
  if (!c)
    return;
  qu_free (b->config);
  b->config = c;
  ba_apply_guarantees (b);
}

static void
apply_operator_row (struct batch *b, const struct po_row *row, int generation)
{
  struct po_operator_row op = po_operator_read (row);

  switch (op.kind)
    {
    case PO_OPERATOR_CONFIG:
      apply_config_row (b, row);
      break;
    case PO_OPERATOR_EVACUATE:
      if (ev_is_served (b))
        ev_on_row (b, row, &op, generation);
      else
        log_not_served (row);
      break;
    case PO_OPERATOR_OTHER:
      log_not_served (row);
      break;
    }
}

static void
apply_lease_row (struct batch *b, const struct po_row *row)
{
  if (le_row_seen (&b->lease, row->version, row->deleted ? "" : row->value,
                   b->now_ms))
    ho_step_down (b, "the lease row names another holder");
}

static void
apply_job_row (struct batch *b, const struct po_row *row, int generation)
{
  char id[SJ_ID_SIZE];

  /* A scan also returns rows that were written long ago.  */
  if (b->job_follower.synced)
    ba_note_write_seen (b);
  switch (vw_parse_key (row->key, id))
    {
    case VW_LEASE:
      apply_lease_row (b, row);
      return;
    case VW_END:
      er_read (&b->last_end, row->deleted ? "" : row->value);
      return;
    default:
      break;
    }
  vw_apply_row (&b->view, row->key, row->value, row->version, row->deleted,
                generation);
  if (b->phase != BA_STANDBY)
    ho_on_job_row (b, row);
}

static void
on_jobs_synced (struct batch *b, int generation)
{
  vw_remove_unseen (&b->view, generation);
  le_table_read (&b->lease, b->now_ms);
}

int
ba_config_is_fresh (const struct batch *b)
{
  return b->config_follower.synced
         && b->now_ms - b->config_follower.fresh_ms
                < b->settings->revoke_ms - FRESH_SLACK_MS;
}

void
ta_check_starts (struct batch *b)
{
  int64_t age_ms = b->now_ms - b->worker_follower.fresh_ms;
  int held = age_ms > WORKER_TABLE_MAX_AGE_MS;
  struct lg_field f[] = { lg_int ("held", held), lg_int ("age_ms", age_ms) };

  if (held != b->starts_held)
    lg_log (LG_STARTS_HELD, 2, f);
  b->starts_held = held;
  held |= ev_check_starts (b);
  sj_hold_starts (b->cluster, held);
}

void
ta_init (struct batch *b)
{
  fo_init (b, &b->config_follower, po_config_table (),
           ev_is_served (b) ? REQUEST_WAIT_MS : CONFIG_WAIT_MS, 0);
  b->config_follower.on_row = apply_operator_row;
  b->config_follower.on_synced = ev_on_synced;
  fo_init (b, &b->job_follower, "jobs", JOB_WAIT_MS, JOB_GAP_MS);
  b->job_follower.on_row = apply_job_row;
  b->job_follower.on_synced = on_jobs_synced;
  b->job_follower.on_progress = ho_on_job_progress;
  fo_init (b, &b->worker_follower, po_worker_table (), WORKER_WAIT_MS,
           WORKER_GAP_MS);
  b->worker_follower.on_row = wk_on_row;
  b->worker_follower.on_synced = wk_on_synced;
  fo_start (&b->config_follower);
  fo_start (&b->job_follower);
}

/* The holder polls for new jobs without a gap, a standby VM with
   JOB_GAP_MS.  */
void
ta_set_poll_gap (struct batch *b)
{
  b->job_follower.gap_ms = b->phase == BA_STANDBY ? JOB_GAP_MS : 0;
  if (b->phase != BA_STANDBY && b->job_follower.next_ms > b->now_ms)
    b->job_follower.next_ms = b->now_ms;
}
