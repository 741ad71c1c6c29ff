/* Submits, reads and cancels jobs through their rows in the table.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  JOB_ID_DIGITS = 16,   /* at the end of a job id */
  MAX_WAIT_MS = 30000,  /* longest wait of a status request */
  STATUS_POLL_MS = 500, /* longest time between two reads during such a wait */
  MAX_MOVES = 64,       /* consecutive "moved_to" rows followed */
  TABLE_NAME_SIZE = PR_ID_SIZE + 8 /* bytes of "jobs.CELL" */
};

static void
jobs_table_name (char out[TABLE_NAME_SIZE], const char *cell)
{
  snprintf (out, TABLE_NAME_SIZE, "jobs.%s", cell);
}

/* Copies the cell part of a job id to CELL.  Returns 0 when ID is not a job
   id.  */
static int
parse_job_id (const char *id, char cell[PR_ID_SIZE])
{
  const char *tilde = strrchr (id, '~');
  size_t n = tilde ? (size_t)(tilde - id) : 0;

  if (!n || n >= PR_ID_SIZE || strlen (id) >= PR_ID_SIZE
      || strlen (tilde + 1) != JOB_ID_DIGITS
      || strspn (tilde + 1, "0123456789abcdef") != JOB_ID_DIGITS
      || strspn (id, "abcdefghijklmnopqrstuvwxyz0123456789-_.") != n)
    return 0;
  memcpy (cell, id, n);
  cell[n] = '\0';
  return 1;
}

static json_t *
new_job_value (struct en_core *core, const struct en_request *req)
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

/* Writes the request's row and the job's row in one transaction, so that
   either both exist or neither.  */
static void
commit_job (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  char table[TABLE_NAME_SIZE];
  struct tb_txn txn;

  jobs_table_name (table, j->cell);
  tb_txn_init (&txn);
  tb_txn_check (&txn, "requests", req->fr.row_key, 0);
  tb_txn_check (&txn, table, j->id, 0);
  tb_txn_put (&txn, "requests", req->fr.row_key,
              json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:I}", "kind", "job",
                         "body_digest", req->fr.digest, "token", req->token,
                         "state", "done", "job", j->id, "entry",
                         core->settings->vm, "at", (json_int_t)bs_wall_ms ()));
  tb_txn_put (&txn, table, j->id, new_job_value (core, req));
  en_table_commit (core, req, EN_TABLE_REQUEST_STEP, &txn);
  tb_txn_fini (&txn);
}

static void
commit_cancel (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  json_t *value = json_deep_copy (j->value);
  char table[TABLE_NAME_SIZE];
  struct tb_txn txn;

  jobs_table_name (table, j->cell);
  json_object_set_new (value, "cancel", json_true ());
  tb_txn_init (&txn);
  tb_txn_check (&txn, table, j->id, j->row_version);
  tb_txn_put (&txn, table, j->id, value);
  en_table_commit (core, req, EN_TABLE_REQUEST_STEP, &txn);
  tb_txn_fini (&txn);
}

static void
read_job (struct en_core *core, struct en_request *req)
{
  char table[TABLE_NAME_SIZE];

  jobs_table_name (table, req->u.job.cell);
  req->u.job.reading = 1;
  en_table_get (core, req, EN_TABLE_REQUEST_STEP, table, req->u.job.id);
}

/* The row of a job that was moved to another cell names that cell.  Returns 1
   when a read of the job's row there was started.  */
static int
follow_move (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  const char *cell
      = json_string_value (json_object_get (j->value, "moved_to"));

  if (!cell || strlen (cell) >= PR_ID_SIZE || j->moves_followed++ >= MAX_MOVES)
    return 0;
  g_strlcpy (j->cell, cell, sizeof j->cell);
  j->writing = 0;
  read_job (core, req);
  return 1;
}

static void
perform_action (struct en_core *core, struct en_request *req,
                enum fl_write_do action)
{
  switch (action)
    {
    case FL_WRITE_DO_COMMIT:
      if (req->fr.op == FL_OP_JOB)
        commit_job (core, req);
      else
        commit_cancel (core, req);
      break;
    case FL_WRITE_DO_READ:
      if (req->fr.op == FL_OP_JOB)
        en_table_get (core, req, EN_TABLE_REQUEST_STEP, "requests",
                      req->fr.row_key);
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
  perform_action (
      core, req,
      fl_write_start (&req->u.job.write,
                      core->now_ms + core->settings->submit_timeout_ms, 0));
}

static void
begin_job_read (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  const char *wait = hs_query (req->ex, "wait_ms");
  long wait_ms = wait ? strtol (wait, NULL, 10) : 0;

  if (!parse_job_id (req->fr.id, j->cell))
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
      begin_job_read (core, req);
      return;
    }
  g_strlcpy (j->cell, req->fr.cell, sizeof j->cell);
  snprintf (j->id, sizeof j->id, "%.*s~%s", PR_ID_SIZE - JOB_ID_DIGITS - 2,
            j->cell, req->token + EN_INCARNATION_DIGITS);
  start_write (core, req);
}

static const char *
string_field (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "";
}

static int
has_ended (const json_t *job)
{
  const char *state = string_field (job, "state");

  return strcmp (state, "queued") != 0 && strcmp (state, "running") != 0;
}

static void
answer_accepted (struct en_core *core, struct en_request *req, const char *id,
                 const char *state)
{
  char location[PR_ID_SIZE + 16];

  snprintf (location, sizeof location, "/v1/jobs/%s", id);
  en_answer_json (core, req, 202,
                  json_pack ("{s:s,s:s}", "job", id, "state", state),
                  "Location", location);
}

/* The key was used before.  With the same body the job that it submitted is
   read and answered in its current state; another body is refused.  */
static void
answer_from_key_row (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  const json_t *value = j->value;
  const char *job = string_field (value, "job");

  if (strcmp (string_field (value, "kind"), "job") != 0
      || strcmp (string_field (value, "body_digest"), req->fr.digest) != 0)
    en_refuse (core, req, FL_PROBLEM_OTHER_BODY,
               "this key was used for another body");
  else if (parse_job_id (job, j->cell))
    {
      g_strlcpy (j->id, job, sizeof j->id);
      j->writing = 0;
      read_job (core, req);
    }
  else
    en_refuse (core, req, FL_PROBLEM_UNKNOWN, "the key's row is damaged");
}

static void
finish_submit (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;

  switch (j->write.end)
    {
    case FL_WRITTEN:
      en_notify_job (core, j->cell, j->id);
      en_queued_jobs_add (core, j->id, req->fr.account);
      answer_accepted (core, req, j->id, "queued");
      break;
    case FL_WRITE_CONFLICT:
      answer_from_key_row (core, req);
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
finish_cancel (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;

  switch (j->write.end)
    {
    case FL_WRITTEN:
      en_notify_job (core, j->cell, j->id);
      answer_accepted (core, req, j->id, string_field (j->value, "state"));
      break;
    case FL_WRITE_CONFLICT:
      if (!follow_move (core, req))
        answer_accepted (core, req, j->id, string_field (j->value, "state"));
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
set_job_row (struct en_job *j, const json_t *row)
{
  json_decref (j->value);
  j->value = json_incref (json_object_get (row, "value"));
  j->row_version = json_integer_value (json_object_get (row, "version"));
}

/* Determines by the row of the key whether it has this request's write, an
   earlier request's or none.  */
static enum fl_row
evaluate_submit_row (struct en_request *req, json_t *row)
{
  if (!row)
    return FL_ROW_BEFORE;
  set_job_row (&req->u.job, row);
  return strcmp (string_field (req->u.job.value, "token"), req->token)
             ? FL_ROW_OTHER
             : FL_ROW_OURS;
}

/* Determines by the job's row whether the cancellation was written, has yet to
   be written, or is void because the job has ended or has no row.  */
static enum fl_row
evaluate_cancel_row (struct en_request *req, json_t *row)
{
  struct en_job *j = &req->u.job;

  if (!row)
    return FL_ROW_OTHER;
  set_job_row (j, row);
  if (has_ended (j->value))
    return FL_ROW_OTHER;
  return json_is_true (json_object_get (j->value, "cancel")) ? FL_ROW_OURS
                                                             : FL_ROW_BEFORE;
}

static void
finish_if_write_ended (struct en_core *core, struct en_request *req)
{
  if (req->u.job.write.state != FL_WRITE_ENDED)
    return;
  if (req->fr.op == FL_OP_JOB)
    finish_submit (core, req);
  else
    finish_cancel (core, req);
}

static void
on_write_reply (struct en_core *core, struct en_request *req,
                const struct en_event *ev)
{
  struct fl_conditions at = en_moment (core);
  enum fl_reply reply
      = en_classify_reply (ev->u.table.error, ev->u.table.is_commit);
  enum fl_row row = FL_ROW_BEFORE;

  if (reply == FL_REPLY_ROW)
    row = req->fr.op == FL_OP_JOB
              ? evaluate_submit_row (
                  req, en_find_row (ev->u.table.data, req->fr.row_key))
              : evaluate_cancel_row (
                  req, en_find_row (ev->u.table.data, req->u.job.id));
  perform_action (core, req,
                  fl_write_reply (&req->u.job.write, &at, reply, row));
  finish_if_write_ended (core, req);
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
answer_status (struct en_core *core, struct en_request *req)
{
  const json_t *retry = json_object_get (req->u.job.value, "retry_after_s");
  char seconds[24];

  snprintf (seconds, sizeof seconds, "%lld",
            (long long)json_integer_value (retry));
  en_answer_json (core, req, 200, public_job (&req->u.job),
                  retry ? "Retry-After" : NULL, retry ? seconds : NULL);
}

static void
answer_or_wait (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;

  if (has_ended (j->value) || core->now_ms >= j->wait_until_ms
      || atomic_load (&core->leaving))
    answer_status (core, req);
  else
    j->poll_due_ms = core->now_ms + STATUS_POLL_MS / 2
                     + (int64_t)(en_jitter (core) * STATUS_POLL_MS / 2);
}

static int
is_owner (struct en_core *core, const struct en_request *req)
{
  return !strcmp (string_field (req->u.job.value, "account"),
                  core->env.account[req->fr.account].name);
}

static void
on_job_read (struct en_core *core, struct en_request *req,
             const struct en_event *ev)
{
  struct en_job *j = &req->u.job;
  json_t *row = en_find_row (ev->u.table.data, j->id);

  j->reading = 0;
  if (!req->ex)
    return;
  if (en_classify_reply (ev->u.table.error, 0) != FL_REPLY_ROW)
    {
      en_refuse (core, req, FL_PROBLEM_UNREADABLE,
                 "the job can't be read now");
      return;
    }
  if (row)
    set_job_row (j, row);
  if (row && json_object_get (j->value, "state"))
    j->moves_followed = 0;
  if (!row && req->fr.op == FL_OP_JOB)
    en_refuse (core, req, FL_PROBLEM_NOT_FOUND,
               "this key's job has ended; its row is no longer kept");
  else if (!row || !is_owner (core, req))
    en_refuse (core, req, FL_PROBLEM_NOT_FOUND, "there is no such job");
  else if (json_object_get (j->value, "moved_to"))
    {
      if (!follow_move (core, req))
        en_refuse (core, req, FL_PROBLEM_UNREADABLE,
                   "the job can't be read now");
      return;
    }
  else if (req->fr.op == FL_OP_JOB_GET)
    answer_or_wait (core, req);
  else if (req->fr.op == FL_OP_JOB || has_ended (j->value))
    answer_accepted (core, req, j->id, string_field (j->value, "state"));
  else
    start_write (core, req);
}

void
en_job_on_table (struct en_core *core, struct en_request *req,
                 const struct en_event *ev)
{
  if (req->u.job.writing)
    on_write_reply (core, req, ev);
  else
    on_job_read (core, req, ev);
}

void
en_job_tick (struct en_core *core, struct en_request *req)
{
  struct en_job *j = &req->u.job;
  struct fl_conditions at = en_moment (core);

  if (!req->ex)
    return;
  if (j->writing)
    {
      if (j->write.state != FL_WRITE_WAIT)
        return;
      perform_action (core, req, fl_write_tick (&j->write, &at));
      finish_if_write_ended (core, req);
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
  for (int i = 0; i < core->request_count; i++)
    {
      struct en_request *req = core->requests[i];

      if (req->fr.op == FL_OP_JOB_GET && req->ex
          && !strcmp (req->u.job.id, job))
        req->u.job.poll_due_ms = core->now_ms;
    }
}
