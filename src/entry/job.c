#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  JOB_DIGITS = 16,       /* of an id */
  MAX_WAIT_MS = 30000,   /* of a status request */
  STATUS_POLL_MS = 500,  /* reads of a job that is waited for */
  MAX_HOPS = 64,         /* cells that one job is looked for in */
  TABLE_NAME = PR_ID + 8 /* bytes of "jobs.CELL" */
};

static void
table_of (char out[TABLE_NAME], const char *cell)
{
  snprintf (out, TABLE_NAME, "jobs.%s", cell);
}

/* Splits an id into its cell; returns 0 when it is none.  */
static int
parse_id (const char *id, char cell[PR_ID])
{
  const char *tilde = strrchr (id, '~');
  size_t n = tilde ? (size_t)(tilde - id) : 0;

  if (!n || n >= PR_ID || strlen (id) >= PR_ID
      || strlen (tilde + 1) != JOB_DIGITS
      || strspn (tilde + 1, "0123456789abcdef") != JOB_DIGITS
      || strspn (id, "abcdefghijklmnopqrstuvwxyz0123456789-_.") != n)
    return 0;
  memcpy (cell, id, n);
  cell[n] = '\0';
  return 1;
}

static json_t *
job_value (struct en_core *core, const struct en_request *req)
{
  const struct fl_job_body *b = &req->fr.u.job;

  return json_pack ("{s:s,s:s,s:s,s:i,s:i,s:I,s:b,s:b,s:O,s:s,s:i,s:b,s:I}",
                    "account", core->env.account[req->fr.account].name, "key",
                    req->key, "class", b->urgent ? "urgent" : "bulk", "tasks",
                    (int)b->tasks, "per_task", (int)b->per_task, "declared_ms",
                    (json_int_t)b->declared_ms, "repeatable", b->repeatable,
                    "preemptible", b->preemptible, "payload", b->payload,
                    "state", "queued", "attempt", 0, "cancel", 0,
                    "submitted_at", (json_int_t)bs_wall_ms ());
}

/* The request's row and the job's in one transaction: both or neither.  */
static void
commit_job (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  char table[TABLE_NAME];
  struct tb_txn txn;

  table_of (table, j->cell);
  tb_txn_init (&txn);
  tb_txn_check (&txn, "requests", req->fr.row_key, 0);
  tb_txn_check (&txn, table, j->id, 0);
  tb_txn_put (&txn, "requests", req->fr.row_key,
              json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:I}", "kind", "job",
                         "body_digest", req->fr.digest, "token", req->token,
                         "state", "done", "job", j->id, "entry", core->set->vm,
                         "at", (json_int_t)bs_wall_ms ()));
  tb_txn_put (&txn, table, j->id, job_value (core, req));
  en_commit (core, req, EN_TAG_STEP, &txn);
  tb_txn_fini (&txn);
}

static void
commit_cancel (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  json_t *value = json_deep_copy (j->value);
  char table[TABLE_NAME];
  struct tb_txn txn;

  table_of (table, j->cell);
  json_object_set_new (value, "cancel", json_true ());
  tb_txn_init (&txn);
  tb_txn_check (&txn, table, j->id, j->row_version);
  tb_txn_put (&txn, table, j->id, value);
  en_commit (core, req, EN_TAG_STEP, &txn);
  tb_txn_fini (&txn);
}

static void
read_job (struct en_core *core, struct en_request *req)
{
  char table[TABLE_NAME];

  table_of (table, req->u.job.cell);
  req->u.job.reading = 1;
  en_get (core, req, EN_TAG_STEP, table, req->u.job.id);
}

/* A row that was left behind names the cell that has the job now.  Returns 1
   when the job is being read there.  */
static int
follow (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  const char *cell
      = json_string_value (json_object_get (j->value, "moved_to"));

  if (!cell || strlen (cell) >= PR_ID || j->hops++ >= MAX_HOPS)
    return 0;
  g_strlcpy (j->cell, cell, sizeof j->cell);
  j->writing = 0;
  read_job (core, req);
  return 1;
}

static void
act (struct en_core *core, struct en_request *req, enum fl_write_do what)
{
  switch (what)
    {
    case FL_WRITE_DO_COMMIT:
      if (req->fr.op == FL_OP_JOB)
        commit_job (core, req);
      else
        commit_cancel (core, req);
      break;
    case FL_WRITE_DO_READ:
      if (req->fr.op == FL_OP_JOB)
        en_get (core, req, EN_TAG_STEP, "requests", req->fr.row_key);
      else
        read_job (core, req);
      break;
    case FL_WRITE_NOTHING:
      break;
    }
}

static void
start_write (struct en_core *core, struct en_request *req)
{
  req->u.job.writing = 1;
  act (core, req,
       fl_write_start (&req->u.job.w,
                       core->now_ms + core->set->submit_timeout_ms, 0));
}

static void
begin_read (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  const char *wait = hs_query (req->ex, "wait_ms");
  long wait_ms = wait ? strtol (wait, NULL, 10) : 0;

  if (!parse_id (req->fr.id, j->cell))
    {
      en_refuse (core, req, FL_PROBLEM_NOT_FOUND, "there is no such job");
      return;
    }
  g_strlcpy (j->id, req->fr.id, sizeof j->id);
  j->wait_until_ms = core->now_ms + CLAMP (wait_ms, 0, (long)MAX_WAIT_MS);
  j->poll_due_ms = INT64_MAX;
  read_job (core, req);
}

void
en_job_begin (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;

  if (req->fr.op != FL_OP_JOB)
    {
      begin_read (core, req);
      return;
    }
  g_strlcpy (j->cell, req->fr.cell, sizeof j->cell);
  snprintf (j->id, sizeof j->id, "%.*s~%s", PR_ID - JOB_DIGITS - 2, j->cell,
            req->token + EN_INCARNATION);
  start_write (core, req);
}

static const char *
string_of (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "";
}

static int
has_ended (const json_t *job)
{
  const char *state = string_of (job, "state");

  return strcmp (state, "queued") != 0 && strcmp (state, "running") != 0;
}

static void
accepted (struct en_core *core, struct en_request *req, const char *id,
          const char *state)
{
  char location[PR_ID + 16];

  snprintf (location, sizeof location, "/v1/jobs/%s", id);
  en_answer_json (core, req, 202,
                  json_pack ("{s:s,s:s}", "job", id, "state", state),
                  "Location", location);
}

/* The key was used before: the job of then as it is now, or another
   body.  */
static void
answer_by_row (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  const json_t *value = j->value;
  const char *job = string_of (value, "job");

  if (strcmp (string_of (value, "kind"), "job") != 0
      || strcmp (string_of (value, "body_digest"), req->fr.digest) != 0)
    en_refuse (core, req, FL_PROBLEM_OTHER_BODY,
               "this key was used for another body");
  else if (parse_id (job, j->cell))
    {
      g_strlcpy (j->id, job, sizeof j->id);
      j->writing = 0;
      read_job (core, req);
    }
  else
    en_refuse (core, req, FL_PROBLEM_UNKNOWN, "the key's row is damaged");
}

static void
end_submit (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;

  switch (j->w.end)
    {
    case FL_WRITTEN:
      en_tell_job (core, j->cell, j->id);
      en_queued_add (core, j->id, req->fr.account);
      accepted (core, req, j->id, "queued");
      break;
    case FL_WRITE_CONFLICT:
      answer_by_row (core, req);
      break;
    case FL_WRITE_REFUSED:
      en_refuse (core, req, FL_PROBLEM_TABLE_DOWN,
                 "nothing was accepted: the table does not answer");
      break;
    case FL_WRITE_UNKNOWN:
      en_refuse (core, req, FL_PROBLEM_UNKNOWN,
                 "the table's answer is lost; ask again by the same key");
      break;
    }
}

static void
end_cancel (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;

  switch (j->w.end)
    {
    case FL_WRITTEN:
      en_tell_job (core, j->cell, j->id);
      accepted (core, req, j->id, string_of (j->value, "state"));
      break;
    case FL_WRITE_CONFLICT:
      if (!follow (core, req))
        accepted (core, req, j->id, string_of (j->value, "state"));
      break;
    case FL_WRITE_REFUSED:
      en_refuse (core, req, FL_PROBLEM_UNREADABLE,
                 "the job was not cancelled: the table does not answer");
      break;
    case FL_WRITE_UNKNOWN:
      en_refuse (core, req, FL_PROBLEM_UNKNOWN,
                 "the table's answer is lost; cancel it again");
      break;
    }
}

static void
keep_value (struct en_job *j, const json_t *row)
{
  json_decref (j->value);
  j->value = json_incref (json_object_get (row, "value"));
  j->row_version = json_integer_value (json_object_get (row, "version"));
}

static enum fl_row
judge_submit (struct en_request *req, json_t *row)
{
  if (!row)
    return FL_ROW_BEFORE;
  keep_value (&req->u.job, row);
  return strcmp (string_of (req->u.job.value, "token"), req->token)
             ? FL_ROW_OTHER
             : FL_ROW_OURS;
}

static enum fl_row
judge_cancel (struct en_request *req, json_t *row)
{
  struct en_job *j = &req->u.job;

  if (!row)
    return FL_ROW_OTHER;
  keep_value (j, row);
  if (has_ended (j->value))
    return FL_ROW_OTHER;
  return json_is_true (json_object_get (j->value, "cancel")) ? FL_ROW_OURS
                                                             : FL_ROW_BEFORE;
}

static void
check_write_end (struct en_core *core, struct en_request *req)
{
  if (req->u.job.w.state != FL_WRITE_ENDED)
    return;
  if (req->fr.op == FL_OP_JOB)
    end_submit (core, req);
  else
    end_cancel (core, req);
}

static void
on_write (struct en_core *core, struct en_request *req,
          const struct en_event *ev)
{
  struct fl_moment at = en_moment (core);
  enum fl_reply reply = en_reply_of (ev->u.table.error, ev->u.table.is_commit);
  enum fl_row row = FL_ROW_BEFORE;

  if (reply == FL_REPLY_ROW)
    row = req->fr.op == FL_OP_JOB
              ? judge_submit (req, en_row (ev->u.table.data, req->fr.row_key))
              : judge_cancel (req, en_row (ev->u.table.data, req->u.job.id));
  act (core, req, fl_write_reply (&req->u.job.w, &at, reply, row));
  check_write_end (core, req);
}

static json_t *
public_job (const struct en_job *j)
{
  json_t *o = json_copy (j->value);

  json_object_del (o, "account");
  json_object_del (o, "retry_after_s");
  json_object_set_new (o, "job", json_string (j->id));
  return o;
}

static void
show (struct en_core *core, struct en_request *req)
{
  const json_t *retry = json_object_get (req->u.job.value, "retry_after_s");
  char seconds[24];

  snprintf (seconds, sizeof seconds, "%lld",
            (long long)json_integer_value (retry));
  en_answer_json (core, req, 200, public_job (&req->u.job),
                  retry ? "Retry-After" : NULL, retry ? seconds : NULL);
}

static void
show_or_wait (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;

  if (has_ended (j->value) || core->now_ms >= j->wait_until_ms
      || atomic_load (&core->leaving))
    show (core, req);
  else
    j->poll_due_ms = core->now_ms + STATUS_POLL_MS / 2
                     + (int64_t)(en_jitter (core) * STATUS_POLL_MS / 2);
}

static int
is_owner (struct en_core *core, const struct en_request *req)
{
  return !strcmp (string_of (req->u.job.value, "account"),
                  core->env.account[req->fr.account].name);
}

static void
on_read (struct en_core *core, struct en_request *req,
         const struct en_event *ev)
{
  struct en_job *j = &req->u.job;
  json_t *row = en_row (ev->u.table.data, j->id);

  j->reading = 0;
  if (!req->ex)
    return;
  if (en_reply_of (ev->u.table.error, 0) != FL_REPLY_ROW)
    {
      en_refuse (core, req, FL_PROBLEM_UNREADABLE,
                 "the job can't be read now");
      return;
    }
  if (row)
    keep_value (j, row);
  if (row && json_object_get (j->value, "state"))
    j->hops = 0;
  if (!row && req->fr.op == FL_OP_JOB)
    en_refuse (core, req, FL_PROBLEM_NOT_FOUND,
               "this key's job has ended; its row is no longer kept");
  else if (!row || !is_owner (core, req))
    en_refuse (core, req, FL_PROBLEM_NOT_FOUND, "there is no such job");
  else if (json_object_get (j->value, "moved_to"))
    {
      if (!follow (core, req))
        en_refuse (core, req, FL_PROBLEM_UNREADABLE,
                   "the job can't be read now");
      return;
    }
  else if (req->fr.op == FL_OP_JOB_GET)
    show_or_wait (core, req);
  else if (req->fr.op == FL_OP_JOB || has_ended (j->value))
    accepted (core, req, j->id, string_of (j->value, "state"));
  else
    start_write (core, req);
}

void
en_job_table (struct en_core *core, struct en_request *req,
              const struct en_event *ev)
{
  if (req->u.job.writing)
    on_write (core, req, ev);
  else
    on_read (core, req, ev);
}

void
en_job_tick (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  struct fl_moment at = en_moment (core);

  if (!req->ex)
    return;
  if (j->writing)
    {
      if (j->w.state != FL_WRITE_WAIT)
        return;
      act (core, req, fl_write_tick (&j->w, &at));
      check_write_end (core, req);
    }
  else if (!j->reading
           && core->now_ms >= MIN (j->poll_due_ms, j->wait_until_ms))
    {
      j->poll_due_ms = INT64_MAX;
      read_job (core, req);
    }
}

void
en_job_ended (struct en_core *core, const char *job)
{
  for (int i = 0; i < core->live_count; i++)
    {
      struct en_request *req = core->live[i];

      if (req->fr.op == FL_OP_JOB_GET && req->ex
          && !strcmp (req->u.job.id, job))
        req->u.job.poll_due_ms = core->now_ms;
    }
}
