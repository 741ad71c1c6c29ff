/* Writes and reads the row of a call that may not be repeated.  */
#include <string.h>

#include "entry/entry.h"

static const char *
string_field (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "";
}

static int64_t
row_version_of (const json_t *row)
{
  return json_integer_value (json_object_get (row, "version"));
}

static int
is_ours (const struct en_request *req, const json_t *value)
{
  return !strcmp (string_field (value, "token"), req->token);
}

/* Returns the "state" that a row has for the call's end.  */
static const char *
end_name (const struct fl_call *m)
{
  switch (m->end)
    {
    case FL_END_DONE:
    case FL_END_FAILED:
      return "done";
    case FL_END_NOT_RUN:
      return "not_run";
    case FL_END_UNKNOWN:
      return "unknown";
    case FL_END_NONE:
    case FL_END_OTHER_BODY:
      break;
    }
  return "claimed";
}

static json_t *
new_row_value (struct en_core *core, struct en_request *req, const char *state)
{
  json_t *v
      = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:i,s:I}", "kind", "call",
                   "body_digest", req->fr.digest, "token", req->token, "state",
                   state, "entry", core->settings->vm, "attempt",
                   (int)req->fr.attempt, "at", (json_int_t)bs_wall_ms ());

  if (req->u.call.machine.end == FL_END_DONE)
    json_object_set (v, "answer", req->u.call.answer);
  if (req->u.call.machine.end == FL_END_FAILED)
    json_object_set_new (v, "failed", json_true ());
  return v;
}

static void
put_row (struct en_core *core, struct en_request *req,
         enum en_table_purpose purpose, json_t *value, int64_t version)
{
  struct tb_txn txn;

  tb_txn_init (&txn);
  tb_txn_check (&txn, EN_REQUESTS_TABLE, req->fr.row_key, version);
  tb_txn_put (&txn, EN_REQUESTS_TABLE, req->fr.row_key, value);
  en_table_commit (core, req, purpose, &txn);
  tb_txn_fini (&txn);
}

void
en_claim_call (struct en_core *core, struct en_request *req)
{
  if (en_stop_at_fault_point (core, req, EN_FAULT_BEFORE_CLAIM))
    return;
  put_row (core, req, EN_TABLE_REQUEST_STEP,
           new_row_value (core, req, "claimed"), req->u.call.row_version);
}

void
en_record_end (struct en_core *core, struct en_request *req)
{
  put_row (core, req, EN_TABLE_RECORD_END,
           new_row_value (core, req, end_name (&req->u.call.machine)),
           req->u.call.row_version);
}

/* Changes the claim of a VM that is gone to "unknown", so that the next repeat
   of the key need not detect this again.  A later write by that VM takes
   precedence: the commit checks the version that was read.  */
void
en_mark_unknown (struct en_core *core, struct en_request *req)
{
  json_t *row = req->u.call.other_row;
  json_t *value = json_deep_copy (json_object_get (row, "value"));

  json_object_set_new (value, "state", json_string ("unknown"));
  put_row (core, req, EN_TABLE_MARK_UNKNOWN, value, row_version_of (row));
}

static enum fl_row_state
other_row_state (struct en_core *core, struct en_request *req,
                 const json_t *value)
{
  const char *state = string_field (value, "state");

  if (!value)
    return FL_STATE_ABSENT;
  if (strcmp (string_field (value, "kind"), "call") != 0
      || strcmp (string_field (value, "body_digest"), req->fr.digest) != 0)
    return FL_STATE_OTHER_BODY;
  if (!strcmp (state, "done"))
    return json_is_true (json_object_get (value, "failed")) ? FL_STATE_FAILED
                                                            : FL_STATE_DONE;
  if (!strcmp (state, "not_run"))
    return FL_STATE_NOT_RUN;
  if (!strcmp (state, "claimed"))
    return en_is_incarnation_gone (core, string_field (value, "entry"),
                                   string_field (value, "token"))
               ? FL_STATE_CLAIM_ORPHANED
               : FL_STATE_CLAIMED;
  return FL_STATE_UNKNOWN;
}

static void
set_answer (struct en_call *c, json_t *answer)
{
  json_incref (answer);
  json_decref (c->answer);
  c->answer = answer;
}

static void
set_other_row (struct en_call *c, json_t *row)
{
  json_incref (row);
  json_decref (c->other_row);
  c->other_row = row;
}

/* A later attempt may replace the row of an earlier one that was not run.  The
   same attempt gets the same answer again.  */
static int
may_replace (const struct en_request *req, const json_t *value)
{
  json_int_t before = json_integer_value (json_object_get (value, "attempt"));

  return !is_ours (req, value)
         && !strcmp (string_field (value, "state"), "not_run")
         && !strcmp (string_field (value, "body_digest"), req->fr.digest)
         && (!req->fr.attempt || req->fr.attempt > before);
}

void
en_read_claim (struct en_core *core, struct en_request *req,
               const struct en_event *in, struct fl_call_event *ev)
{
  json_t *row = en_find_row (in->u.table.data, req->fr.row_key);
  json_t *value = json_object_get (row, "value");

  if (ev->reply == FL_REPLY_OK)
    req->u.call.row_version
        = json_integer_value (json_object_get (in->u.table.data, "rev"));
  if (ev->reply != FL_REPLY_ROW)
    return;
  if (!row || may_replace (req, value))
    {
      ev->row = FL_ROW_BEFORE;
      ev->row_state = row ? FL_STATE_NOT_RUN : FL_STATE_ABSENT;
      req->u.call.row_version = row ? row_version_of (row) : 0;
    }
  else if (is_ours (req, value))
    {
      ev->row = FL_ROW_OURS;
      req->u.call.row_version = row_version_of (row);
    }
  else
    {
      ev->row = FL_ROW_OTHER;
      ev->row_state = other_row_state (core, req, value);
      set_other_row (&req->u.call, row);
      set_answer (&req->u.call, json_object_get (value, "answer"));
    }
}

void
en_read_record (struct en_request *req, const struct en_event *in,
                struct fl_call_event *ev)
{
  struct en_call *c = &req->u.call;
  json_t *row = en_find_row (in->u.table.data, req->fr.row_key);
  json_t *value = json_object_get (row, "value");

  if (ev->reply == FL_REPLY_OK)
    c->row_version
        = json_integer_value (json_object_get (in->u.table.data, "rev"));
  if (ev->reply != FL_REPLY_ROW)
    return;
  ev->row = FL_ROW_BEFORE;
  c->row_version = row ? row_version_of (row) : 0;
  if (row && !is_ours (req, value))
    ev->row = FL_ROW_OTHER;
  else if (row
           && !strcmp (string_field (value, "state"), end_name (&c->machine)))
    ev->row = FL_ROW_OURS;
}
