/* The scheduler's turn: the lease is taken, jobs are loaded, decisions are
   stored before they are ordered, and the turn ends.  */
#include <stdlib.h>
#include <string.h>

#include "batch/batch.h"

enum
{
  WRITE_TIMEOUT_MS = 800,
  READ_TIMEOUT_MS = 1500,
  AGAIN_MIN_MS = 40, /* after a failed write; doubles */
  AGAIN_MAX_MS = 400,
  JITTER_MS = 120,        /* so that VMs do not try to take a lease as one */
  SMALLNESS_MS = 2500,    /* a VM waits before it takes a lease, times the
                             square of the cores that it lacks */
  CLOCK_JUMP_MS = 400,    /* beyond it the time of day was set */
  CLOCK_BELIEF_MS = 20000 /* a set time of day is believed after this */
};

static void
log_turn (struct batch *b, enum lg_event event, const char *reason)
{
  struct lg_field f[]
      = { lg_int ("epoch", b->lease.epoch), lg_int ("turn", b->turn),
          lg_int ("version", b->lease.version),
          lg_int ("unchanged_ms", b->now - b->lease.changed_ms),
          lg_str ("reason", reason) };

  lg_log (event, 5, f);
}

static void
log_state (struct batch *b, const char *id, enum sj_state state)
{
  struct lg_field f[]
      = { lg_str ("id", id), lg_str ("state", sj_state_name (state)),
          lg_int ("epoch", b->lease.epoch) };

  lg_log (LG_STEP_JOB_STATE, 3, f);
}

/* The time of day without its jumps.  */
static int64_t
wall_ms (struct batch *b)
{
  int64_t offset = bs_wall_ms () - b->now;
  int64_t jump = offset - b->wall_offset;

  if (!b->wall_offset || (jump < CLOCK_JUMP_MS && jump > -CLOCK_JUMP_MS))
    {
      b->wall_offset = offset;
      b->wall_seen_ms = b->now;
    }
  else if (b->now - b->wall_seen_ms > CLOCK_BELIEF_MS)
    b->wall_offset = offset;
  return b->now + b->wall_offset;
}

/* Commits.  */

static void commit_done (struct batch *b, int64_t version);

static void
end_commit (struct batch *b)
{
  struct ba_commit *c = &b->commit;

  c->open = c->in_flight = c->entries = c->tries = 0;
  if (c->text)
    g_ptr_array_set_size (c->text, 0);
}

static const char *
keep (struct ba_commit *c, char *text)
{
  g_ptr_array_add (c->text, text);
  return text;
}

static void
add (struct ba_commit *c, enum po_entry_kind kind, const char *table,
     char *key, char *value)
{
  struct po_entry *e = &c->entry[c->entries++];

  *e = (struct po_entry){ .kind = kind,
                          .table = table,
                          .key = keep (c, key),
                          .value = value ? keep (c, value) : NULL };
}

static void
begin_commit (struct batch *b, enum ba_commit_kind kind, char *lease_value)
{
  struct ba_commit *c = &b->commit;

  if (!c->text)
    c->text = g_ptr_array_new_with_free_func (free);
  end_commit (b);
  c->open = 1;
  c->kind = kind;
  c->first_sent_ms = 0;
  c->next_ms = b->now;
  add (c, PO_EXPECT, "jobs", strdup (vw_lease_key ()), NULL);
  add (c, PO_PUT, "jobs", strdup (vw_lease_key ()), lease_value);
}

/* The row may have changed while a take waited to be sent again.  */
static int
take_is_open (struct batch *b)
{
  switch (le_take_state (&b->lease))
    {
    case LE_TAKE_OPEN:
      return 1;
    case LE_TAKE_DONE:
      commit_done (b, b->lease.version);
      return 0;
    case LE_TAKE_STALE:
      break;
    }
  end_commit (b);
  b->take_at_ms = 0;
  return 0;
}

static void
send_commit (struct batch *b)
{
  struct ba_commit *c = &b->commit;
  struct ba_ask *ask;

  if (!c->open || c->in_flight || b->now < c->next_ms)
    return;
  if (c->kind == BA_TAKE && !take_is_open (b))
    return;
  ask = ba_new_ask (b, BA_COMMIT);
  if (!c->first_sent_ms)
    c->first_sent_ms = b->now;
  c->entry[0].version = b->lease.version;
  c->in_flight = 1;
  if (!po_write (&b->port, c->entry, c->entries, WRITE_TIMEOUT_MS, ba_on_rows,
                 ask))
    return;
  g_free (ask);
  c->in_flight = 0;
  c->next_ms = b->now + AGAIN_MAX_MS;
}

static void
add_records (struct batch *b)
{
  struct ba_commit *c = &b->commit;
  struct sj_dirty dirty[BA_COMMIT_JOBS];
  int n = sj_dirty (b->cluster, dirty, BA_COMMIT_JOBS);
  int64_t at = ba_store_clock (b);

  for (int i = 0; i < n; i++)
    {
      char key[VW_KEY];

      add (c, PO_PUT, "runs", strdup (dirty[i].id),
           json_dumps (dirty[i].record, JSON_COMPACT));
      json_decref (dirty[i].record);
      if (!dirty[i].state_changed)
        continue;
      vw_key (key, dirty[i].id, VW_STATE);
      add (c, PO_PUT, "jobs", strdup (key),
           vw_state_value (dirty[i].state, at));
      log_state (b, dirty[i].id, dirty[i].state);
    }
}

static void
add_drops (struct batch *b)
{
  char old[BA_COMMIT_OLD][SJ_ID], key[VW_KEY];
  int64_t before = ba_store_clock (b) - b->set->keep_s * 1000;
  int n = vw_old (&b->view, before, old, BA_COMMIT_OLD);

  for (int i = 0; i < n; i++)
    {
      add (&b->commit, PO_DROP, "runs", strdup (old[i]), NULL);
      for (enum vw_row kind = VW_JOB; kind <= VW_CANCEL; kind++)
        {
          vw_key (key, old[i], kind);
          add (&b->commit, PO_DROP, "jobs", strdup (key), NULL);
        }
    }
}

static void
begin_records (struct batch *b)
{
  char *value = le_renew_value (&b->lease, &b->commit.serial);

  begin_commit (b, BA_RECORDS, value);
  add_records (b);
  add_drops (b);
  wk_commit_begins (b);
  co_add (b, b->count.commits, 1);
}

/* Turns.  */

static void
begin_turn (struct batch *b)
{
  struct sj_settings set = { .hold_ms = b->set->hold_ms,
                             .far_factor = b->set->far_factor,
                             .survey_ms = b->set->hold_ms * 51 / 50 + 200 };

  b->turn++;
  b->phase = BA_LOADING;
  b->jobs_up_to = b->lease.version;
  b->cluster = sj_new (&set, wk_do_order, b);
  b->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, wk_free);
  b->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)json_decref);
  b->loaded = g_ptr_array_new_with_free_func ((GDestroyNotify)sj_job_free);
  b->load_from[0] = '\0';
  b->load_next = BA_LOAD_RECORDS;
  b->load_in_flight = 0;
  b->load_at_ms = b->now;
  ba_apply_guarantees (b);
  ta_set_pace (b);
  log_turn (b, LG_LEASE_TAKEN, "");
}

static void
end_load (struct batch *b)
{
  if (b->records)
    g_hash_table_destroy (b->records);
  if (b->loaded)
    g_ptr_array_free (b->loaded, TRUE);
  b->records = NULL;
  b->loaded = NULL;
}

static void
end_turn (struct batch *b)
{
  end_load (b);
  end_commit (b);
  le_drop (&b->lease);
  fo_stop (&b->worker_follow);
  sj_free (b->cluster);
  b->cluster = NULL;
  if (b->workers)
    g_hash_table_destroy (b->workers);
  b->workers = NULL;
  b->phase = BA_FOLLOWS;
  b->turn++;
  b->take_at_ms = 0;
  ta_set_pace (b);
}

void
ho_step_down (struct batch *b, const char *reason)
{
  if (b->phase == BA_FOLLOWS)
    return;
  /* The feed may show the freed row before its write is answered.  */
  if (b->commit.open && b->commit.kind == BA_FREE)
    log_turn (b, LG_LEASE_RELEASED, "stopping");
  else
    log_turn (b, LG_LEASE_LOST, reason);
  end_turn (b);
}

/* Loading.  */

static void
send_load (struct batch *b)
{
  const char *table = b->load_next == BA_LOAD_RECORDS ? "runs" : "jobs";
  struct ba_ask *ask;

  if (b->load_in_flight || b->now < b->load_at_ms || !b->records)
    return;
  ask = ba_new_ask (b, b->load_next);
  b->load_in_flight = 1;
  if (!po_read (&b->port, table, b->load_from, "", READ_TIMEOUT_MS, ba_on_rows,
                ask))
    return;
  g_free (ask);
  b->load_in_flight = 0;
  b->load_at_ms = b->now + AGAIN_MAX_MS;
}

static struct sj_job *
read_job_row (const struct po_row *row)
{
  json_t *o = json_loads (row->value, 0, NULL);
  struct sj_job *job = sj_job_from_json (json_object_get (o, "job"));

  json_decref (o);
  if (!job)
    ba_log_bad_row (row->table, row->key);
  return job;
}

static void
take_record (struct batch *b, const struct po_row *row)
{
  json_t *o = json_loads (row->value, 0, NULL);

  if (o)
    g_hash_table_replace (b->records, g_strdup (row->key), o);
  else
    ba_log_bad_row (row->table, row->key);
}

static void
take_loaded_row (struct batch *b, const struct po_row *row)
{
  char id[SJ_ID];
  struct sj_job *job;

  if (vw_kind (row->key, id) == VW_LEASE)
    return;
  vw_take (&b->view, row->key, row->value, row->version, 0,
           b->job_follow.generation);
  if (vw_kind (row->key, id) != VW_JOB)
    return;
  job = read_job_row (row);
  if (job)
    g_ptr_array_add (b->loaded, job);
}

static void
log_known (const struct sj_job *job, int64_t waited_ms, int recorded)
{
  int64_t tasks = 0, accelerators = 0;

  for (int i = 0; i < job->steps; i++)
    {
      tasks += job->step[i].count;
      accelerators += job->step[i].count * job->step[i].need.accelerators;
    }
  struct lg_field f[] = { lg_str ("id", job->id),
                          lg_str ("queue", job->queue),
                          lg_str ("account", job->account),
                          lg_int ("priority", job->priority),
                          lg_int ("steps", job->steps),
                          lg_int ("tasks", tasks),
                          lg_int ("accelerators", accelerators),
                          lg_int ("chain_ms", sj_job_chain_ms (job)),
                          lg_int ("waited_ms", waited_ms),
                          lg_int ("recorded", recorded) };

  lg_log (LG_JOB_KNOWN, 10, f);
}

static void
add_job (struct batch *b, struct sj_job *job, const json_t *record)
{
  const struct vw_job *j = vw_find (&b->view, job->id);
  char id[SJ_ID];
  int64_t waited = j ? ba_store_clock (b) - j->accepted_ms : 0;
  int error;

  memcpy (id, job->id, sizeof id);
  if (j && j->state >= SJ_COMPLETED)
    {
      sj_job_free (job);
      return;
    }
  log_known (job, waited, record != NULL);
  error
      = sj_job_add (b->cluster, job, record, waited > 0 ? waited : 0, b->now);
  if (error && error != SJ_EEXIST)
    ba_log_bad_row ("runs", id);
  if (!error && j && j->cancelled)
    sj_job_cancel (b->cluster, id, b->now);
}

static void
finish_load (struct batch *b)
{
  for (guint i = 0; i < b->loaded->len; i++)
    {
      struct sj_job *job = g_ptr_array_index (b->loaded, i);

      b->loaded->pdata[i] = NULL;
      add_job (b, job, g_hash_table_lookup (b->records, job->id));
    }
  end_load (b);
  fo_start (&b->worker_follow);
}

void
ho_loaded (struct batch *b, struct ba_ask *ask, struct po_rows *rows)
{
  if (ask->serial != b->turn || b->phase != BA_LOADING)
    return;
  b->load_in_flight = 0;
  if (rows->result != PO_DONE)
    {
      b->load_at_ms = b->now + AGAIN_MIN_MS;
      return;
    }
  for (int i = 0; i < rows->count; i++)
    if (ask->purpose == BA_LOAD_RECORDS)
      take_record (b, &rows->row[i]);
    else
      take_loaded_row (b, &rows->row[i]);
  if (ba_next_key (b->load_from, rows))
    return;
  b->load_from[0] = '\0';
  if (ask->purpose == BA_LOAD_RECORDS)
    b->load_next = BA_LOAD_JOBS;
  else
    finish_load (b);
}

void
ho_jobs_told (struct batch *b, int64_t version)
{
  if (b->phase != BA_FOLLOWS && version > b->jobs_up_to)
    b->jobs_up_to = version;
}

void
ho_job_row (struct batch *b, const struct po_row *row)
{
  char id[SJ_ID];
  enum vw_row kind = vw_kind (row->key, id);
  struct sj_job *job;

  if (row->deleted)
    return;
  if (kind == VW_CANCEL)
    {
      sj_job_cancel (b->cluster, id, b->now);
      return;
    }
  if (kind != VW_JOB || sj_has_job (b->cluster, id))
    return;
  /* Older ones were loaded with their records, or have ended: a table that is
     read again shows them once more.  */
  if (row->version <= b->jobs_up_to)
    return;
  job = read_job_row (row);
  if (job)
    add_job (b, job, NULL);
}

/* Answers to commits.  */

static void
commit_done (struct batch *b, int64_t version)
{
  struct ba_commit *c = &b->commit;
  enum ba_commit_kind kind = c->kind;
  int64_t sent = c->first_sent_ms, serial = c->serial;

  st_observe_us (&b->stats, b->count.shard, b->count.commit_us,
                 (b->now - sent) * 1000);
  end_commit (b);
  switch (kind)
    {
    case BA_TAKE:
      le_taken (&b->lease, version, sent, b->now);
      begin_turn (b);
      break;
    case BA_RECORDS:
      le_renewed (&b->lease, version, serial, sent, b->now);
      wk_commit_ends (b, 1);
      sj_committed (b->cluster, 1, b->now);
      break;
    case BA_FREE:
      log_turn (b, LG_LEASE_RELEASED, "stopping");
      end_turn (b);
      break;
    }
}

static void
commit_conflict (struct batch *b, const struct po_rows *rows)
{
  const struct po_row *row = rows->count ? &rows->row[0] : NULL;
  int64_t serial;

  if (b->commit.kind == BA_TAKE)
    {
      if (row)
        le_seen (&b->lease, row->version, row->value, b->now);
      if (le_take_state (&b->lease) == LE_TAKE_DONE)
        {
          commit_done (b, b->lease.version);
          return;
        }
      end_commit (b);
      b->take_at_ms = 0;
      return;
    }
  if (!row
      || !le_conflict (&b->lease, row->version, row->value, b->now, &serial))
    {
      ho_step_down (b, "the lease row was taken");
      return;
    }
  if (b->commit.kind == BA_RECORDS && serial == b->commit.serial)
    commit_done (b, row->version);
  else
    b->commit.next_ms = b->now;
}

void
ho_committed (struct batch *b, struct ba_ask *ask, struct po_rows *rows)
{
  struct ba_commit *c = &b->commit;

  if (ask->serial != b->turn || !c->in_flight)
    return;
  c->in_flight = 0;
  switch (rows->result)
    {
    case PO_DONE:
      commit_done (b, rows->version);
      break;
    case PO_CONFLICT:
      commit_conflict (b, rows);
      break;
    case PO_FORGOTTEN:
    case PO_NOT_DONE:
    case PO_UNKNOWN:
      c->next_ms
          = b->now + (c->tries < 4 ? AGAIN_MIN_MS << c->tries : AGAIN_MAX_MS);
      c->tries++;
      /* A take that was refused is weighed anew.  */
      if (c->kind == BA_TAKE && rows->result == PO_NOT_DONE)
        end_commit (b);
      break;
    }
}

/* Ticks.  */

/* Enough to schedule some hundred workers.  */
static const double ample_cores = 0.5;

/* VMs with more processor time go first.  */
static int64_t
smallness_ms (const struct batch *b)
{
  double lacks = ample_cores - b->set->processor;

  return lacks > 0 ? (int64_t)(lacks * lacks * SMALLNESS_MS) : 0;
}

static int
may_take (struct batch *b)
{
  if (b->stopping_at_ms || b->commit.open || b->store_down
      || !b->job_follow.whole || !b->config || !le_may_take (&b->lease, b->now)
      || b->now - b->job_follow.fresh_ms > b->set->take_ms)
    {
      b->take_at_ms = 0;
      return 0;
    }
  if (!b->take_at_ms)
    b->take_at_ms
        = b->now + g_random_int_range (0, JITTER_MS) + smallness_ms (b);
  return b->now >= b->take_at_ms;
}

static void
tick_holder (struct batch *b)
{
  if (le_valid (&b->lease, b->now))
    {
      wk_tick (b);
      sj_decide (b->cluster, b->now, wall_ms (b));
    }
  if (b->commit.open)
    return;
  if (b->stopping_at_ms)
    begin_commit (b, BA_FREE, le_free_value (&b->lease));
  else if (sj_is_dirty (b->cluster) || b->now >= le_renew_at (&b->lease))
    begin_records (b);
}

void
ho_tick (struct batch *b)
{
  switch (b->phase)
    {
    case BA_FOLLOWS:
      wall_ms (b);
      if (may_take (b))
        begin_commit (b, BA_TAKE, le_take_value (&b->lease));
      break;
    case BA_LOADING:
      send_load (b);
      if (!b->records && b->worker_follow.whole)
        b->phase = BA_HOLDS;
      if (!b->commit.open && b->now >= le_renew_at (&b->lease))
        begin_records (b);
      break;
    case BA_HOLDS:
      tick_holder (b);
      break;
    }
  send_commit (b);
}
