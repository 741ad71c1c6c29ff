#include <string.h>

#include "batch/batch.h"

enum
{
  CONFIG_WAIT_MS = 1500, /* half of what a revoked key may still pass */
  JOB_WAIT_MS = 800,     /* with the gap, how often the store is heard */
  WORKER_WAIT_MS = 2000,
  WORKER_GAP_MS = 200,  /* workers report all the time; a tenth of the 2 s
                           after which one that leaves gets no new work */
  JOB_GAP_MS = 250,     /* a follower shows a new state within this time */
  FRESH_SLACK_MS = 1000 /* for a request on its way to the store */
};

static void
log_config (const struct qu_config *c, const char *reason)
{
  struct lg_field f[] = { lg_int ("version", c ? c->version : 0),
                          lg_int ("queues", c ? c->queues : 0),
                          lg_int ("accounts", c ? c->accounts : 0),
                          lg_str ("reason", reason) };

  lg_log (c ? LG_QUEUES_APPLIED : LG_QUEUES_REFUSED, 4, f);
}

void
ba_apply_guarantees (struct batch *b)
{
  if (!b->cluster || !b->config)
    return;
  for (int i = 0; i < b->config->accounts; i++)
    sj_set_guarantee (b->cluster, b->config->account[i].name,
                      b->config->account[i].guaranteed);
}

static void
config_row (struct batch *b, const struct po_row *row, int generation)
{
  const char *reason = "";
  struct qu_config *c;

  (void)generation;
  if (row->deleted)
    return;
  if (!po_is_config (row))
    {
      struct lg_field f[]
          = { lg_str ("table", row->table), lg_str ("key", row->key) };

      lg_log (LG_NOT_SERVED, 2, f);
      return;
    }
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
lease_row (struct batch *b, const struct po_row *row)
{
  if (le_seen (&b->lease, row->version, row->deleted ? "" : row->value,
               b->now))
    ho_step_down (b, "the lease row names another holder");
}

static void
job_row (struct batch *b, const struct po_row *row, int generation)
{
  char id[SJ_ID];

  if (vw_kind (row->key, id) == VW_LEASE)
    {
      lease_row (b, row);
      return;
    }
  vw_take (&b->view, row->key, row->value, row->version, row->deleted,
           generation);
  if (b->phase != BA_FOLLOWS)
    ho_job_row (b, row);
}

static void
job_whole (struct batch *b, int generation)
{
  vw_sweep (&b->view, generation);
  le_read (&b->lease, b->now);
}

int
ba_is_fresh (const struct batch *b)
{
  return b->config_follow.whole
         && b->now - b->config_follow.fresh_ms
                < b->set->revoke_ms - FRESH_SLACK_MS;
}

void
ta_init (struct batch *b)
{
  fo_init (b, &b->config_follow, po_config_table (), CONFIG_WAIT_MS, 0);
  b->config_follow.row = config_row;
  fo_init (b, &b->job_follow, "jobs", JOB_WAIT_MS, JOB_GAP_MS);
  b->job_follow.row = job_row;
  b->job_follow.read_whole = job_whole;
  b->job_follow.told = ho_jobs_told;
  fo_init (b, &b->worker_follow, po_worker_table (), WORKER_WAIT_MS,
           WORKER_GAP_MS);
  b->worker_follow.row = wk_row;
  b->worker_follow.read_whole = wk_whole;
  fo_start (&b->config_follow);
  fo_start (&b->job_follow);
}

/* The holder hears of new jobs at once.  */
void
ta_set_pace (struct batch *b)
{
  b->job_follow.gap_ms = b->phase == BA_FOLLOWS ? JOB_GAP_MS : 0;
  if (b->phase != BA_FOLLOWS && b->job_follow.next_ms > b->now)
    b->job_follow.next_ms = b->now;
}
