/* Table operations whose results come back as events of the core.  */
#include <string.h>

#include "entry/entry.h"

struct table_op
{
  struct en_core *core;
  struct en_request *req;
  enum en_table_purpose purpose;
  int is_commit;
  int64_t began_us;
};

/* Runs on the HTTP client's thread.  */
static void
on_done (void *arg, int error, json_t *data)
{
  struct table_op *op = arg;
  struct en_event *ev = g_new0 (struct en_event, 1);

  ev->kind = EN_EV_TABLE;
  ev->req = op->req;
  ev->u.table.purpose = op->purpose;
  ev->u.table.error = error;
  ev->u.table.is_commit = op->is_commit;
  ev->u.table.data = json_incref (data);
  ev->u.table.took_us = en_now_us () - op->began_us;
  en_push_event (op->core, ev);
  g_free (op);
}

static struct table_op *
begin_op (struct en_core *core, struct en_request *req,
          enum en_table_purpose purpose, int is_commit)
{
  struct table_op *op = g_new (struct table_op, 1);

  *op = (struct table_op){ core, req, purpose, is_commit, en_now_us () };
  if (req)
    req->pending_results++;
  return op;
}

/* An operation that could not be submitted had no effect; its failure is
   reported at once.  */
static void
fail_if_not_submitted (struct table_op *op, int error)
{
  if (error)
    on_done (op, error, NULL);
}

void
en_table_commit (struct en_core *core, struct en_request *req,
                 enum en_table_purpose purpose, const struct tb_txn *txn)
{
  struct table_op *op = begin_op (core, req, purpose, 1);

  fail_if_not_submitted (op, tb_commit (core->table, txn, on_done, op));
}

void
en_table_get (struct en_core *core, struct en_request *req,
              enum en_table_purpose purpose, const char *table,
              const char *key)
{
  struct table_op *op = begin_op (core, req, purpose, 0);

  fail_if_not_submitted (op, tb_get (core->table, table, key, on_done, op));
}

void
en_table_scan (struct en_core *core, struct en_request *req,
               enum en_table_purpose purpose, const struct tb_scan *scan)
{
  struct table_op *op = begin_op (core, req, purpose, 0);

  fail_if_not_submitted (op, tb_scan (core->table, scan, on_done, op));
}

void
en_table_get_vms (struct en_core *core)
{
  struct table_op *op = begin_op (core, NULL, EN_TABLE_POLL_VMS, 0);

  fail_if_not_submitted (op, tb_vms (core->table, on_done, op));
}

void
en_update_table_health (struct en_core *core, int error)
{
  int failed = error == TB_EDOWN || error == TB_EUNKNOWN;

  core->table_failures = failed ? core->table_failures + 1 : 0;
  core->env.table_down = core->table_failures >= EN_MAX_TABLE_FAILURES;
}

enum fl_reply
en_classify_reply (int error, int is_commit)
{
  switch ((enum tb_error)error)
    {
    case TB_OK:
      return is_commit ? FL_REPLY_OK : FL_REPLY_ROW;
    case TB_ECONFLICT:
    case TB_ENOENT:
      return FL_REPLY_ROW;
    case TB_EUNKNOWN:
      return is_commit ? FL_REPLY_LOST : FL_REPLY_REFUSED;
    case TB_EINVAL:
    case TB_ENOMEM:
    case TB_EDOWN:
    case TB_EBUSY:
      break;
    }
  return FL_REPLY_REFUSED;
}

json_t *
en_find_row (json_t *data, const char *key)
{
  json_t *conflicts = json_object_get (data, "conflicts"), *row;
  size_t i;

  if (!conflicts)
    return json_object_get (data, "value") ? data : NULL;
  json_array_foreach (conflicts, i, row)
  {
    const char *name = json_string_value (json_object_get (row, "key"));

    if (name && !strcmp (name, key) && json_object_get (row, "value"))
      return row;
  }
  return NULL;
}
