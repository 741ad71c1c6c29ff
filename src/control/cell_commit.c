/* Commits of a cell.  At most one transaction is in flight.  It renews the
   lease, checks that the lease is still held, and writes pending job rows.  */
#include <string.h>

#include "control/cell_impl.h"

enum
{
  RENEWALS_PER_LEASE = 3, /* renewals within one lease duration */
  /* Unused tokens are capped at a second's rate divided by this.  */
  BURST_DIVISOR = 4,
  BACKOFF_MS = 100,
  MAX_BACKOFF_STEPS = 4,
  REREAD_INTERVAL_MS = 100
};

static void
send_txn (struct cl_cell *c, const struct ce_row *row, int with_rows)
{
  struct cl_effect e = { .kind = CL_COMMIT, .cell = c };
  json_t *value = ce_print (row), *summary;
  struct tb_txn txn;

  if (c->phase == CL_SERVING)
    {
      summary = cl_summary (c);
      json_object_update (value, summary);
      json_decref (summary);
    }
  tb_txn_init (&txn);
  tb_txn_check (&txn, CL_TABLE, c->name, c->lease.row.version);
  tb_txn_put (&txn, CL_TABLE, c->name, value);
  c->row_tokens--;
  if (with_rows)
    cl_add_rows (c, &txn);
  /* Deletions share the renewal's transaction, because one of their own would
     cost another renewal.  */
  if (c->phase == CL_SERVING && cl_may_act (c) && c->row_tokens >= 0)
    cl_add_deletes (c, &txn);
  e.u.commit = &txn;
  e.serial = c->commit_serial = ++c->serial;
  c->emit (c->arg, &e);
  tb_txn_fini (&txn);
}

static void
refill_tokens (struct cl_cell *c)
{
  double rate = c->settings->rows_per_second;

  c->row_tokens += rate * (double)(c->now_ms - c->row_tokens_ms) / 1000;
  if (c->row_tokens > rate / BURST_DIVISOR + 1)
    c->row_tokens = rate / BURST_DIVISOR + 1;
  c->row_tokens_ms = c->now_ms;
}

/* While the lease may have expired, only its renewal is sent.  */
static void
renew_or_write (struct cl_cell *c)
{
  int64_t renew_at = c->lease.sent_ms + c->lease.lease_ms / RENEWALS_PER_LEASE;
  int rows = cl_may_act (c) && cl_next_dirty_queue (c) != NULL;
  struct ce_row row;

  refill_tokens (c);
  if (c->now_ms < renew_at && !(rows && c->row_tokens >= 2) && !c->releasing)
    return;
  if (c->releasing && !rows)
    ce_release (&c->lease, c->now_ms, &row);
  else
    ce_renew (&c->lease, c->now_ms, &row);
  send_txn (c, &row, rows);
}

static void
reread_row (struct cl_cell *c)
{
  struct cl_effect e = { .kind = CL_READ, .cell = c };

  if (c->reading || c->now_ms < c->read_at_ms)
    return;
  c->reading = 1;
  e.serial = c->read_serial = ++c->serial;
  c->emit (c->arg, &e);
}

void
cl_commit_step (struct cl_cell *c, int64_t take_delay_ms)
{
  struct ce_row row;

  if (c->lease.unresolved)
    reread_row (c);
  if (c->lease.in_flight || c->now_ms < c->commit_at_ms)
    return;
  if (ce_is_holder (&c->lease))
    renew_or_write (c);
  else if (take_delay_ms >= 0
           && ce_may_take_over (&c->lease, c->now_ms, take_delay_ms))
    {
      ce_take_over (&c->lease, c->now_ms, &row);
      send_txn (c, &row, 0);
    }
}

static void
back_off (struct cl_cell *c)
{
  int64_t wait = (int64_t)BACKOFF_MS << c->backoff_steps;

  if (c->backoff_steps < MAX_BACKOFF_STEPS)
    c->backoff_steps++;
  c->commit_at_ms = c->now_ms + wait / 2 + (int64_t)(cl_random (c) * wait);
}

static void
handle_write_result (struct cl_cell *c, enum ce_result result)
{
  int was_held = c->phase != CL_WATCHING;

  switch (result)
    {
    case CE_WRITTEN:
      c->backoff_steps = 0;
      cl_rows_written (c, c->lease.row.version);
      if (c->lease.state == CE_WATCHING)
        cl_lease_lost (c); /* this transaction has released the lease */
      else if (!was_held)
        cl_start_tenure (c);
      return;
    case CE_NOT_WRITTEN:
      cl_rows_write_failed (c);
      back_off (c);
      return;
    case CE_CONFLICT:
      cl_lease_lost (c);
      back_off (c);
      return;
    case CE_UNKNOWN:
      c->read_at_ms = c->now_ms;
      return;
    }
}

/* Merges the newer rows reported by a conflict.  Returns 1 and fills FOUND if
   the cell's own row is among them.  */
static int
merge_conflicts (struct cl_cell *c, const json_t *data, struct ce_row *found)
{
  const json_t *list = json_object_get (data, "conflicts"), *o;
  int cell = 0;
  size_t i;

  json_array_foreach (list, i, o)
  {
    const char *table = json_string_value (json_object_get (o, "table"));
    const char *key = json_string_value (json_object_get (o, "key"));
    int64_t version = json_integer_value (json_object_get (o, "version"));
    const json_t *value = json_object_get (o, "value");
    struct jb_job *job;

    if (!table || !key)
      continue;
    if (!strcmp (table, CL_TABLE))
      cell = ce_parse (found, version ? value : NULL, version) == CT_OK;
    else if ((job = cl_find_job (c, key)))
      cl_merge_conflict (c, table, job, version, value);
  }
  return cell;
}

void
cl_commit_done (struct cl_cell *c, int64_t now_ms, int64_t serial, int error,
                const json_t *data)
{
  struct ce_row found;
  int64_t rev = json_integer_value (json_object_get (data, "rev"));

  c->now_ms = now_ms;
  if (!c->lease.in_flight || serial != c->commit_serial)
    return;
  switch (error)
    {
    case TB_OK:
      handle_write_result (
          c, ce_result (&c->lease, now_ms, CE_WRITTEN, rev, NULL));
      return;
    case TB_ECONFLICT:
      if (merge_conflicts (c, data, &found))
        handle_write_result (
            c, ce_result (&c->lease, now_ms, CE_CONFLICT, 0, &found));
      else
        handle_write_result (
            c, ce_result (&c->lease, now_ms, CE_NOT_WRITTEN, 0, NULL));
      return;
    case TB_EUNKNOWN:
      handle_write_result (c,
                           ce_result (&c->lease, now_ms, CE_UNKNOWN, 0, NULL));
      return;
    default:
      handle_write_result (
          c, ce_result (&c->lease, now_ms, CE_NOT_WRITTEN, 0, NULL));
      return;
    }
}

void
cl_read_done (struct cl_cell *c, int64_t now_ms, int64_t serial, int error,
              const json_t *data)
{
  const json_t *value = json_object_get (data, "value");
  int64_t version = json_integer_value (json_object_get (data, "version"));
  struct ce_row found;

  c->now_ms = now_ms;
  if (serial != c->read_serial)
    return;
  c->reading = 0;
  c->read_at_ms = now_ms + REREAD_INTERVAL_MS;
  if (!c->lease.unresolved || (error && error != TB_ENOENT))
    return;
  if (ce_parse (&found, error ? NULL : value, error ? 0 : version))
    return;
  handle_write_result (c, ce_resolve (&c->lease, now_ms, &found));
}
