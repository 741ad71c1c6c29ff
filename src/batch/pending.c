/* Requests that wait for the store: to write a job or a cancellation, or to
   look up a job.  Each is answered with what is known: done, not done, or
   unknown.  */
#include <stdlib.h>
#include <string.h>

#include "batch/batch.h"

#define NO_SUCH_JOB "{\"error\":\"no such job\"}"

enum
{
  ATTEMPT_TIMEOUT_MS = 1000, /* longest wait for the reply to one attempt */
  /* Delay before a request that the store refused is sent again.  */
  RETRY_MS = 80,
  /* Once the store has refused for this long, the request is refused.  */
  REFUSED_GIVE_UP_MS = 700,
  /* A cancellation of an unknown job that is younger need not be stored
     again.  */
  RENEW_AGE_MS = WD_KEEP_MS / 2,
  OK = 200,
  BAD_REQUEST = 400,
  GONE = 410,
  TOO_MANY = 429,
  UNAVAILABLE = 503,
  OUTCOME_UNKNOWN = 504
};

static const char *
call_name (const struct ba_pending *p)
{
  if (p->purpose == BA_SUBMIT)
    return "submit";
  return p->purpose != BA_LOOKUP || p->cancel_after_lookup ? "cancel"
                                                           : "state";
}

void
pe_free (void *pending)
{
  struct ba_pending *p = pending;

  g_free (p->value);
  g_free (p->queue);
  g_free (p->account);
  g_free (p);
}

static void
finish (struct ba_pending *p, int status, const char *body, const char *reason)
{
  struct batch *b = p->b;

  st_observe_us (&b->stats, b->counters.shard, b->counters.store_wait,
                 (b->now_ms - p->began_ms) * 1000);
  fr_answer (b, p->ex, p->id, call_name (p), status, body, reason);
  g_ptr_array_remove_fast (b->pending, p);
}

/* Relays P, for which nothing was done, if another VM may serve it.  Returns 1
   if P was passed on.  */
static int
relay (struct ba_pending *p)
{
  struct batch *b = p->b;
  int wanted
      = p->purpose == BA_LOOKUP ? ba_relays_reads (b) : ba_relays_writes (b);

  if (!wanted || !rl_request (b, p->ex, p->id, call_name (p), p->deadline_ms))
    return 0;
  /* The reply to a lookup in flight is then ignored.  */
  if (p->call)
    p->call->pending = NULL;
  g_ptr_array_remove_fast (b->pending, p);
  return 1;
}

static const char *
refusal_reason (const struct ba_pending *p)
{
  if (p->purpose != BA_LOOKUP && ba_refuses_writes (p->b))
    return "not run: the store answers no writes";
  return "not run: the store refuses";
}

static void
give_up (struct ba_pending *p)
{
  /* The reply to an attempt in flight is then ignored.  */
  if (p->call)
    p->call->pending = NULL;
  if (p->may_be_done)
    {
      co_add (p->b, p->b->counters.unknown, 1);
      finish (p, OUTCOME_UNKNOWN, NULL, "unknown: the store did not answer");
    }
  else if (!relay (p))
    finish (p, UNAVAILABLE, NULL, refusal_reason (p));
}

static struct ba_pending *
begin (struct batch *b, enum ba_purpose purpose, struct hs_exchange *ex,
       const char *id, int wait_ms)
{
  struct ba_pending *p = g_new0 (struct ba_pending, 1);

  p->b = b;
  p->purpose = purpose;
  p->ex = ex;
  p->began_ms = p->next_ms = b->now_ms;
  p->deadline_ms = b->now_ms + wait_ms;
  g_strlcpy (p->id, id, sizeof p->id);
  g_ptr_array_add (b->pending, p);
  return p;
}

static struct po_entry
expect (const char *key, int64_t version)
{
  return (struct po_entry){
    .kind = PO_EXPECT, .table = "jobs", .key = key, .version = version
  };
}

static struct po_entry
put (const char *key, const char *value)
{
  return (struct po_entry){
    .kind = PO_PUT, .table = "jobs", .key = key, .value = value
  };
}

static int
has_public_queue (const struct qu_config *config)
{
  for (int i = 0; config && i < config->queue_count; i++)
    if (config->queue[i].is_public)
      return 1;
  return 0;
}

/* Writes the withdrawal of P's id if no job of its account has it.  A caller
   with a key may cancel jobs that were submitted without one, too.  */
static int
send_withdrawal (struct ba_pending *p, struct ba_store_call *call,
                 int timeout_ms)
{
  struct batch *b = p->b;
  char key[2][WD_KEY_SIZE];
  char *value = wd_value (p->account, ba_store_clock_now_ms (b));
  struct po_entry e[3] = { expect (p->id, p->version) };
  int n = 1, error;

  wd_make_key (key[0], p->id, p->account);
  e[n++] = put (key[0], value);
  if (p->account && has_public_queue (b->config))
    {
      wd_make_key (key[1], p->id, NULL);
      e[n++] = put (key[1], value);
    }
  error = po_write (&b->entry_port, e, n, timeout_ms, ba_on_store_reply, call);
  free (value);
  return error;
}

static int
send_write (struct ba_pending *p, struct ba_store_call *call, int timeout_ms)
{
  char cancel_key[VW_KEY_SIZE], withdrawal_key[WD_KEY_SIZE];
  struct po_entry e[3] = { expect (p->id, p->version) };
  int n = 1;

  switch (p->purpose)
    {
    case BA_SUBMIT:
      wd_make_key (withdrawal_key, p->id, p->account);
      e[n++] = expect (withdrawal_key, 0);
      e[n++] = put (p->id, p->value);
      break;
    case BA_CANCEL:
      vw_make_key (cancel_key, p->id, VW_CANCEL);
      e[n++] = put (cancel_key, p->value);
      break;
    default:
      return send_withdrawal (p, call, timeout_ms);
    }
  return po_write (&p->b->entry_port, e, n, timeout_ms, ba_on_store_reply,
                   call);
}

static int
send_lookup (struct ba_pending *p, struct ba_store_call *call, int timeout_ms)
{
  char to[VW_KEY_SIZE];

  g_strlcpy (to, p->id, sizeof to);
  g_strlcat (to, "~", sizeof to);
  return po_read (&p->b->entry_port, "jobs", p->id, to, timeout_ms,
                  ba_on_store_reply, call);
}

static void
send (struct ba_pending *p)
{
  struct ba_store_call *call = ba_new_store_call (p->b, p->purpose);
  int64_t remaining_ms = p->deadline_ms - p->b->now_ms;
  int timeout_ms = remaining_ms < ATTEMPT_TIMEOUT_MS ? (int)remaining_ms
                                                     : ATTEMPT_TIMEOUT_MS;
  int error;

  call->pending = p;
  p->call = call;
  p->in_flight = 1;
  if (p->purpose == BA_LOOKUP)
    error = send_lookup (p, call, timeout_ms);
  else
    error = send_write (p, call, timeout_ms);
  if (!error)
    return;
  g_free (call);
  p->call = NULL;
  p->in_flight = 0;
  p->next_ms = p->b->now_ms + RETRY_MS;
}

void
pe_submit (struct batch *b, struct hs_exchange *ex, struct sj_job *job,
           int wait_ms)
{
  struct ba_pending *p = begin (b, BA_SUBMIT, ex, job->id, wait_ms);

  p->value = vw_job_value (job, ba_store_clock_now_ms (b));
  p->queue = g_strdup (job->queue);
  p->account = g_strdup (job->account);
  sj_job_free (job);
  co_add (b, b->counters.submits, 1);
  send (p);
}

void
pe_lookup (struct batch *b, struct hs_exchange *ex, const char *id,
           const char *account, int cancel, int wait_ms)
{
  struct ba_pending *p = begin (b, BA_LOOKUP, ex, id, wait_ms);

  p->account = g_strdup (account);
  p->cancel_after_lookup = cancel;
  send (p);
}

void
pe_cancel (struct batch *b, struct hs_exchange *ex, const struct vw_job *job,
           const char *account, int wait_ms)
{
  struct ba_pending *p = begin (b, BA_CANCEL, ex, job->id, wait_ms);

  p->version = job->version;
  p->account = g_strdup (account);
  p->value = g_strdup ("{}");
  send (p);
}

int
pe_is_withdrawn (const struct batch *b, const char *id, const char *account)
{
  return wd_is_withdrawn (&b->view.withdrawals, id, account,
                          ba_store_clock_now_ms (b), WD_KEEP_MS);
}

/* Applies the rows of P's id that the store showed in a conflict.  Returns the
   job, or NULL without a row of it.  */
static const struct vw_job *
apply_conflict (struct ba_pending *p, const struct po_rows *rows)
{
  const struct vw_job *j = NULL;

  for (int i = 0; i < rows->count; i++)
    {
      const struct po_row *row = &rows->row[i];

      if (!row->version || strncmp (row->key, p->id, SJ_ID_SIZE - 1) != 0)
        continue;
      vw_apply_row (&p->b->view, row->key, row->value, row->version, 0,
                    p->b->job_follower.generation);
      if (!strcmp (row->key, p->id))
        j = vw_find (&p->b->view, p->id);
    }
  return j;
}

static int
shows_withdrawal (const struct ba_pending *p, const struct po_rows *rows)
{
  char key[WD_KEY_SIZE];

  wd_make_key (key, p->id, p->account);
  for (int i = 0; i < rows->count; i++)
    if (!strcmp (rows->row[i].key, key) && rows->row[i].version)
      return 1;
  return 0;
}

/* A conflict means that the job's row exists, as an earlier attempt was
   committed and its answer lost, or another account has used the id; or that
   the job was cancelled before.  */
static void
on_submit_reply (struct ba_pending *p, const struct po_rows *rows)
{
  struct batch *b = p->b;
  const struct vw_job *j
      = rows->result == PO_DONE ? NULL : apply_conflict (p, rows);
  char key[VW_KEY_SIZE];

  if (j && !vw_is_of_account (j, p->account))
    {
      finish (p, BAD_REQUEST, NULL, FR_ID_TAKEN);
      return;
    }
  if (!j && rows->result == PO_CONFLICT && shows_withdrawal (p, rows))
    {
      finish (p, GONE, NULL, FR_WITHDRAWN);
      return;
    }
  if (rows->result == PO_DONE)
    {
      vw_make_key (key, p->id, VW_JOB);
      vw_apply_row (&b->view, key, p->value, rows->version, 0,
                    b->job_follower.generation);
    }
  co_add (b, b->counters.accepted, 1);
  finish (p, OK, "{\"state\":\"queued\"}",
          rows->result == PO_DONE ? "stored" : "already stored");
}

/* P's caller cancels an id that no job of its account has.  The answer holds
   for submissions that arrive later, so that it must be stored.  VERSION is of
   another account's job, or 0.  */
static void
withdraw (struct ba_pending *p, int64_t version)
{
  struct batch *b = p->b;
  const struct wd_table *t = &b->view.withdrawals;

  if (wd_is_withdrawn (t, p->id, p->account, ba_store_clock_now_ms (b),
                       RENEW_AGE_MS))
    finish (p, GONE, NO_SUCH_JOB, "no such job, withdrawn before");
  else if (!wd_find (t, p->id, p->account) && wd_is_full (t, p->account))
    finish (p, TOO_MANY, NULL,
            "not cancelled: no such job, and too many such cancellations");
  else if (ba_refuses_writes (b))
    finish (p, UNAVAILABLE, NULL, "not run: the store answers no writes");
  else
    {
      p->purpose = BA_WITHDRAW;
      p->version = version;
      send (p);
    }
}

static void
begin_cancel (struct ba_pending *p, int64_t version)
{
  p->purpose = BA_CANCEL;
  p->version = version;
  if (!p->value)
    p->value = g_strdup ("{}");
  send (p);
}

static void
on_lookup_reply (struct ba_pending *p, const struct po_rows *rows)
{
  struct batch *b = p->b;
  const struct vw_job *j;
  int is_known;

  for (int i = 0; i < rows->count; i++)
    vw_apply_row (&b->view, rows->row[i].key, rows->row[i].value,
                  rows->row[i].version, 0, b->job_follower.generation);
  j = vw_find (&b->view, p->id);
  is_known = j && j->version && vw_belongs_to (j, p->account);
  if (!is_known && p->cancel_after_lookup)
    withdraw (p, j ? j->version : 0);
  else if (!is_known)
    finish (p, GONE, NO_SUCH_JOB, "no such job");
  else if (!p->cancel_after_lookup)
    {
      char body[64];

      po_state_body (body, sizeof body, j->state);
      finish (p, OK, body, sj_state_name (j->state));
    }
  else if (j->cancelled || j->state >= SJ_COMPLETED)
    finish (p, OK, "{}", "already stored");
  else if (ba_refuses_writes (b))
    finish (p, UNAVAILABLE, NULL, "not run: the store answers no writes");
  else
    begin_cancel (p, j->version);
}

/* The version of a job's row never changes.  Another version means that the
   known one was wrong, or that the job was stored meanwhile; no row means that
   it was deleted.  */
static void
on_cancel_conflict (struct ba_pending *p, const struct po_rows *rows)
{
  const struct vw_job *j = apply_conflict (p, rows);

  if (j && vw_belongs_to (j, p->account))
    begin_cancel (p, j->version);
  else
    withdraw (p, j ? j->version : 0);
}

/* The job that P withdraws can't be stored any more.  */
static void
on_withdrawal_reply (struct ba_pending *p)
{
  struct batch *b = p->b;
  char key[WD_KEY_SIZE];
  char *value = wd_value (p->account, ba_store_clock_now_ms (b));

  wd_make_key (key, p->id, p->account);
  wd_apply_row (&b->view.withdrawals, key, value, 0, 0,
                b->job_follower.generation);
  free (value);
  co_add (b, b->counters.withdrawals, 1);
  finish (p, GONE, NO_SUCH_JOB, "no such job, withdrawn");
}

static void
on_cancel_reply (struct ba_pending *p)
{
  struct vw_job *j = vw_find (&p->b->view, p->id);

  if (j)
    j->cancelled = 1;
  finish (p, OK, "{}", "stored");
}

void
pe_on_reply (struct ba_pending *p, struct po_rows *rows)
{
  p->in_flight = 0;
  p->call = NULL;
  if (rows->result == PO_UNKNOWN && p->purpose != BA_LOOKUP)
    p->may_be_done = 1;
  if (rows->result == PO_NOT_DONE || rows->result == PO_REFUSED
      || rows->result == PO_UNKNOWN || rows->result == PO_HISTORY_GONE)
    {
      p->next_ms = p->b->now_ms + (rows->result == PO_UNKNOWN ? 0 : RETRY_MS);
      return;
    }
  if (p->purpose == BA_SUBMIT)
    on_submit_reply (p, rows);
  else if (p->purpose == BA_LOOKUP)
    on_lookup_reply (p, rows);
  else if (rows->result == PO_CONFLICT)
    on_cancel_conflict (p, rows);
  else if (p->purpose == BA_WITHDRAW)
    on_withdrawal_reply (p);
  else
    on_cancel_reply (p);
}

static enum ac_path_name
path_of (const struct ba_pending *p)
{
  return p->purpose == BA_LOOKUP ? AC_READS : AC_WRITES;
}

/* Gives P up if no success can be expected before its deadline.  An attempt in
   flight may still be executed.  Returns 1 if P was answered.  */
static int
give_up_if_outlasted (struct ba_pending *p)
{
  struct batch *b = p->b;

  if (!b->settings->refuse_stalled_writes
      || !ac_outlasts (&b->access, path_of (p), p->deadline_ms - b->now_ms,
                       b->now_ms))
    return 0;
  p->may_be_done |= p->in_flight && p->purpose != BA_LOOKUP;
  if (p->may_be_done)
    co_add (b, b->counters.early_unknown, 1);
  give_up (p);
  return 1;
}

/* Nothing was done for P, and the store does not serve such requests now.  */
static int
is_refused (const struct ba_pending *p)
{
  const struct batch *b = p->b;

  if (p->may_be_done)
    return 0;
  return b->store_down || b->now_ms - p->began_ms > REFUSED_GIVE_UP_MS
         || (ba_tracks_access (b)
             && b->access.path[path_of (p)].state != AC_AVAILABLE);
}

/* Ignores the attempt in flight of P if it was sent in a stall that is over,
   as it may never be answered.  It may still be executed; the next attempt
   then finds the row.  */
static void
drop_stalled_attempt (struct ba_pending *p)
{
  const struct ac_path *path = &p->b->access.path[path_of (p)];

  if (!ba_tracks_access (p->b) || p->purpose == BA_LOOKUP || !p->call
      || path->state != AC_AVAILABLE || path->since_ms <= p->call->sent_ms)
    return;
  p->call->pending = NULL;
  p->call = NULL;
  p->in_flight = 0;
  p->may_be_done = 1;
  p->next_ms = p->b->now_ms;
}

/* While the store answers no writes, only the probes of access.c are sent.  */
static int
may_send (const struct ba_pending *p)
{
  return p->b->now_ms >= p->next_ms
         && (p->purpose == BA_LOOKUP || !ba_refuses_writes (p->b));
}

void
pe_tick (struct batch *b)
{
  for (guint i = b->pending->len; i-- > 0;)
    {
      struct ba_pending *p = g_ptr_array_index (b->pending, i);

      if ((p->purpose == BA_LOOKUP && relay (p)) || give_up_if_outlasted (p))
        continue;
      drop_stalled_attempt (p);
      if (p->in_flight)
        continue;
      if (b->now_ms >= p->deadline_ms || is_refused (p))
        give_up (p);
      else if (may_send (p))
        send (p);
    }
}

void
pe_fail_all (struct batch *b)
{
  while (b->pending->len > 0)
    {
      struct ba_pending *p
          = g_ptr_array_index (b->pending, b->pending->len - 1);

      /* A write in flight may still be committed.  */
      p->may_be_done |= p->in_flight && p->purpose != BA_LOOKUP;
      give_up (p);
    }
}
