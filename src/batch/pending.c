/* Requests that wait for the store: to write a job or a cancellation, or to
   look up a job.  Each is answered with what is known: done, not done, or
   unknown.  */
#include <string.h>

#include "batch/batch.h"

enum
{
  ATTEMPT_TIMEOUT_MS = 1000, /* longest wait for the reply to one attempt */
  /* Delay before a request that the store refused is sent again.  */
  RETRY_MS = 80,
  /* Once the store has refused for this long, the request is refused.  */
  REFUSED_GIVE_UP_MS = 700,
  OK = 200,
  GONE = 410,
  UNAVAILABLE = 503,
  OUTCOME_UNKNOWN = 504
};

static const char *
call_name (const struct ba_pending *p)
{
  if (p->purpose == BA_SUBMIT)
    return "submit";
  return p->purpose == BA_CANCEL || p->cancel_after_lookup ? "cancel"
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

static int
send_write (struct ba_pending *p, struct ba_store_call *call, int timeout_ms)
{
  char job_key[VW_KEY_SIZE], key[VW_KEY_SIZE];
  struct po_entry e[2];

  vw_make_key (job_key, p->id, VW_JOB);
  vw_make_key (key, p->id, p->purpose == BA_SUBMIT ? VW_JOB : VW_CANCEL);
  e[0] = (struct po_entry){
    .kind = PO_EXPECT, .table = "jobs", .key = job_key, .version = p->version
  };
  e[1] = (struct po_entry){
    .kind = PO_PUT, .table = "jobs", .key = key, .value = p->value
  };
  return po_write (&p->b->entry_port, e, 2, timeout_ms, ba_on_store_reply,
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
           int wait_ms)
{
  struct ba_pending *p = begin (b, BA_CANCEL, ex, job->id, wait_ms);

  p->version = job->version;
  p->value = g_strdup ("{}");
  send (p);
}

/* A conflict means that an earlier attempt was committed and its answer
   lost, as the job's row then exists.  */
static void
on_submit_reply (struct ba_pending *p, const struct po_rows *rows)
{
  struct batch *b = p->b;

  if (rows->result == PO_DONE)
    {
      char key[VW_KEY_SIZE];

      vw_make_key (key, p->id, VW_JOB);
      vw_apply_row (&b->view, key, p->value, rows->version, 0,
                    b->job_follower.generation);
    }
  co_add (b, b->counters.accepted, 1);
  finish (p, OK, "{\"state\":\"queued\"}",
          rows->result == PO_DONE ? "stored" : "already stored");
}

static void
on_lookup_reply (struct ba_pending *p, const struct po_rows *rows)
{
  struct batch *b = p->b;
  const struct vw_job *j;

  for (int i = 0; i < rows->count; i++)
    vw_apply_row (&b->view, rows->row[i].key, rows->row[i].value,
                  rows->row[i].version, 0, b->job_follower.generation);
  j = vw_find (&b->view, p->id);
  if (!j || !j->version
      || (j->account && p->account && strcmp (j->account, p->account) != 0))
    finish (p, GONE, NULL, "no such job");
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
    {
      p->purpose = BA_CANCEL;
      p->version = j->version;
      p->value = g_strdup ("{}");
      send (p);
    }
}

/* The version of a job's row never changes.  Another version means that the
   known one was wrong; no row means that the job was deleted.  */
static void
on_cancel_conflict (struct ba_pending *p, const struct po_rows *rows)
{
  if (rows->count && rows->row[0].version)
    {
      p->version = rows->row[0].version;
      send (p);
    }
  else
    finish (p, GONE, NULL, "no such job");
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
