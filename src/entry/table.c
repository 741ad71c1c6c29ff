#include <string.h>

#include "entry/entry.h"

struct op
{
  struct en_core *core;
  struct en_request *req;
  enum en_tag tag;
  int is_commit;
  int64_t began_us;
};

/* Runs on the HTTP client's thread.  */
static void
on_done (void *arg, int error, json_t *data)
{
  struct op *op = arg;
  struct en_event *ev = g_new0 (struct en_event, 1);

  ev->kind = EN_EV_TABLE;
  ev->req = op->req;
  ev->u.table.tag = op->tag;
  ev->u.table.error = error;
  ev->u.table.is_commit = op->is_commit;
  ev->u.table.data = json_incref (data);
  ev->u.table.took_us = en_now_us () - op->began_us;
  en_push (op->core, ev);
  g_free (op);
}

static struct op *
begin (struct en_core *core, struct en_request *req, enum en_tag tag,
       int is_commit)
{
  struct op *op = g_new (struct op, 1);

  *op = (struct op){ core, req, tag, is_commit, en_now_us () };
  if (req)
    req->refs++;
  return op;
}

/* What could not be submitted had no effect.  */
static void
check (struct op *op, int error)
{
  if (error)
    on_done (op, error, NULL);
}

void
en_commit (struct en_core *core, struct en_request *req, enum en_tag tag,
           const struct tb_txn *txn)
{
  struct op *op = begin (core, req, tag, 1);

  check (op, tb_commit (core->tb, txn, on_done, op));
}

void
en_get (struct en_core *core, struct en_request *req, enum en_tag tag,
        const char *table, const char *key)
{
  struct op *op = begin (core, req, tag, 0);

  check (op, tb_get (core->tb, table, key, on_done, op));
}

void
en_scan (struct en_core *core, struct en_request *req, enum en_tag tag,
         const struct tb_scan *scan)
{
  struct op *op = begin (core, req, tag, 0);

  check (op, tb_scan (core->tb, scan, on_done, op));
}

void
en_get_vms (struct en_core *core)
{
  struct op *op = begin (core, NULL, EN_TAG_POLL_VMS, 0);

  check (op, tb_vms (core->tb, on_done, op));
}

void
en_note_table (struct en_core *core, int error)
{
  int failed = error == TB_EDOWN || error == TB_EUNKNOWN;

  core->table_failures = failed ? core->table_failures + 1 : 0;
  core->env.table_down = core->table_failures >= EN_TABLE_FAILURES;
}

enum fl_reply
en_reply_of (int error, int is_commit)
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
en_row (json_t *data, const char *key)
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
