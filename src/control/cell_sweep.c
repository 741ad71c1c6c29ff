/* Deletion of the rows of jobs that ended longer ago than the retention time.
   A continuous pass over the cell's table deletes a few rows at a time.  */
#include <string.h>

#include "control/cell_impl.h"

struct expired_row
{
  char id[CT_NAME];
  int64_t version;
};

/* The start is randomized, because several cells may be taken over
   together.  */
void
cl_sweep_begin (struct cl_cell *c)
{
  g_ptr_array_set_size (c->expired_rows, 0);
  c->sweeping = 0;
  c->sweep_serial = 0;
  c->sweep_after[0] = '\0';
  c->sweep_at_ms = c->now_ms + CL_SWEEP_INTERVAL_MS
                   + (int64_t)(cl_random (c) * CL_SWEEP_INTERVAL_MS);
}

void
cl_sweep_step (struct cl_cell *c)
{
  struct cl_effect e = { .kind = CL_SWEEP, .cell = c };

  if (c->sweeping || c->expired_rows->len || c->now_ms < c->sweep_at_ms)
    return;
  c->sweeping = 1;
  e.serial = c->sweep_serial = ++c->serial;
  e.u.scan.after = *c->sweep_after ? c->sweep_after : NULL;
  e.u.scan.limit = CL_SWEEP_READ_ROWS;
  c->emit (c->arg, &e);
}

static void
add_expired (struct cl_cell *c, const char *id, int64_t version)
{
  struct expired_row *row = g_new0 (struct expired_row, 1);

  g_strlcpy (row->id, id, sizeof row->id);
  row->version = version;
  g_ptr_array_add (c->expired_rows, row);
}

/* Collects expired rows.  Returns 0 if the limit was reached before the end of
   ROWS.  */
static int
collect_expired (struct cl_cell *c, const json_t *rows)
{
  int64_t wall_ms = c->settings->wall_ms ();
  const json_t *o;
  size_t i;

  json_array_foreach (rows, i, o)
  {
    const char *key = json_string_value (json_object_get (o, "key"));

    if (!key || strlen (key) >= CT_NAME)
      continue;
    if (c->expired_rows->len == CL_SWEEP_DELETE_ROWS)
      return 0;
    if (jb_is_expired (json_object_get (o, "value"), wall_ms,
                       c->settings->retention_ms)
        && !cl_find_job (c, key))
      add_expired (c, key,
                   json_integer_value (json_object_get (o, "version")));
    g_strlcpy (c->sweep_after, key, sizeof c->sweep_after);
  }
  return 1;
}

void
cl_sweep_done (struct cl_cell *c, int64_t now_ms, int64_t serial, int error,
               const json_t *data)
{
  c->now_ms = now_ms;
  if (c->phase == CL_WATCHING || serial != c->sweep_serial)
    return;
  c->sweeping = 0;
  c->sweep_at_ms = now_ms + CL_SWEEP_INTERVAL_MS;
  if (!error && collect_expired (c, json_object_get (data, "rows"))
      && !json_is_true (json_object_get (data, "more")))
    c->sweep_after[0] = '\0';
}

void
cl_add_deletes (struct cl_cell *c, struct tb_txn *txn)
{
  for (guint i = 0; i < c->expired_rows->len; i++)
    {
      const struct expired_row *row = g_ptr_array_index (c->expired_rows, i);

      tb_txn_check (txn, c->table, row->id, row->version);
      tb_txn_delete (txn, c->table, row->id);
      c->row_tokens--;
    }
  g_ptr_array_set_size (c->expired_rows, 0);
}
