/* Requests that wait for the store: a job or a cancel to be written, a job
   to be looked up.  Each ends with the truth: done, not done, or unknown.  */
#include <string.h>

#include "batch/batch.h"

enum
{
  WRITE_TIMEOUT_MS = 1000, /* of one attempt */
  AGAIN_MS = 80,           /* after a refusal by the store */
  REFUSED_MS = 700,        /* the store refuses for so long: so do we */
  OK = 200,
  GONE = 410,
  UNAVAILABLE = 503,
  UNKNOWN_END = 504
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

  st_observe_us (&b->stats, b->count.shard, b->count.request_us,
                 (b->now - p->began_ms) * 1000);
  fr_answer (b, p->ex, p->id, call_name (p), status, body, reason);
  g_ptr_array_remove_fast (b->pending, p);
}

static void
give_up (struct ba_pending *p)
{
  if (p->maybe_done)
    {
      co_add (p->b, p->b->count.unknown, 1);
      finish (p, UNKNOWN_END, NULL, "unknown: the store did not answer");
    }
  else
    finish (p, UNAVAILABLE, NULL, "not run: the store refuses");
}

static struct ba_pending *
begin (struct batch *b, enum ba_purpose purpose, struct hs_exchange *ex,
       const char *id, int wait_ms)
{
  struct ba_pending *p = g_new0 (struct ba_pending, 1);

  p->b = b;
  p->purpose = purpose;
  p->ex = ex;
  p->began_ms = p->next_ms = b->now;
  p->deadline_ms = b->now + wait_ms;
  g_strlcpy (p->id, id, sizeof p->id);
  g_ptr_array_add (b->pending, p);
  return p;
}

static int
send_write (struct ba_pending *p, struct ba_ask *ask, int timeout_ms)
{
  char job_key[VW_KEY], key[VW_KEY];
  struct po_entry e[2];

  vw_key (job_key, p->id, VW_JOB);
  vw_key (key, p->id, p->purpose == BA_SUBMIT ? VW_JOB : VW_CANCEL);
  e[0] = (struct po_entry){
    .kind = PO_EXPECT, .table = "jobs", .key = job_key, .version = p->version
  };
  e[1] = (struct po_entry){
    .kind = PO_PUT, .table = "jobs", .key = key, .value = p->value
  };
  return po_write (&p->b->port, e, 2, timeout_ms, ba_on_rows, ask);
}

static int
send_lookup (struct ba_pending *p, struct ba_ask *ask, int timeout_ms)
{
  char to[VW_KEY];

  g_strlcpy (to, p->id, sizeof to);
  g_strlcat (to, "~", sizeof to);
  return po_read (&p->b->port, "jobs", p->id, to, timeout_ms, ba_on_rows, ask);
}

static void
send (struct ba_pending *p)
{
  struct ba_ask *ask = ba_new_ask (p->b, p->purpose);
  int64_t left = p->deadline_ms - p->b->now;
  int timeout_ms = left < WRITE_TIMEOUT_MS ? (int)left : WRITE_TIMEOUT_MS;
  int error;

  ask->pending = p;
  p->in_flight = 1;
  if (p->purpose == BA_LOOKUP)
    error = send_lookup (p, ask, timeout_ms);
  else
    error = send_write (p, ask, timeout_ms);
  if (!error)
    return;
  g_free (ask);
  p->in_flight = 0;
  p->next_ms = p->b->now + AGAIN_MS;
}

void
pe_submit (struct batch *b, struct hs_exchange *ex, struct sj_job *job,
           int wait_ms)
{
  struct ba_pending *p = begin (b, BA_SUBMIT, ex, job->id, wait_ms);

  p->value = vw_job_value (job, ba_store_clock (b));
  p->queue = g_strdup (job->queue);
  p->account = g_strdup (job->account);
  sj_job_free (job);
  co_add (b, b->count.submits, 1);
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

/* The transaction may have been done before its answer was lost: the row
   tells.  */
static void
submit_answered (struct ba_pending *p, const struct po_rows *rows)
{
  struct batch *b = p->b;

  if (rows->result == PO_DONE)
    {
      char key[VW_KEY];

      vw_key (key, p->id, VW_JOB);
      vw_take (&b->view, key, p->value, rows->version, 0,
               b->job_follow.generation);
    }
  co_add (b, b->count.accepted, 1);
  finish (p, OK, "{\"state\":\"queued\"}",
          rows->result == PO_DONE ? "stored" : "stored before");
}

static void
lookup_answered (struct ba_pending *p, const struct po_rows *rows)
{
  struct batch *b = p->b;
  const struct vw_job *j;

  for (int i = 0; i < rows->count; i++)
    vw_take (&b->view, rows->row[i].key, rows->row[i].value,
             rows->row[i].version, 0, b->job_follow.generation);
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
    finish (p, OK, "{}", "stored before");
  else
    {
      p->purpose = BA_CANCEL;
      p->version = j->version;
      p->value = g_strdup ("{}");
      send (p);
    }
}

/* The job's row never changes; another version means that the one known was
   a guess, and no row that the job is gone.  */
static void
cancel_conflict (struct ba_pending *p, const struct po_rows *rows)
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
cancel_answered (struct ba_pending *p)
{
  struct vw_job *j = vw_find (&p->b->view, p->id);

  if (j)
    j->cancelled = 1;
  finish (p, OK, "{}", "stored");
}

void
pe_answer (struct ba_pending *p, struct po_rows *rows)
{
  p->in_flight = 0;
  if (rows->result == PO_UNKNOWN && p->purpose != BA_LOOKUP)
    p->maybe_done = 1;
  if (rows->result == PO_NOT_DONE || rows->result == PO_UNKNOWN
      || rows->result == PO_FORGOTTEN)
    {
      p->next_ms = p->b->now + (rows->result == PO_UNKNOWN ? 0 : AGAIN_MS);
      return;
    }
  if (p->purpose == BA_SUBMIT)
    submit_answered (p, rows);
  else if (p->purpose == BA_LOOKUP)
    lookup_answered (p, rows);
  else if (rows->result == PO_CONFLICT)
    cancel_conflict (p, rows);
  else
    cancel_answered (p);
}

void
pe_tick (struct batch *b)
{
  for (guint i = b->pending->len; i-- > 0;)
    {
      struct ba_pending *p = g_ptr_array_index (b->pending, i);

      if (p->in_flight)
        continue;
      if (b->now >= p->deadline_ms
          || (!p->maybe_done
              && (b->store_down || b->now - p->began_ms > REFUSED_MS)))
        give_up (p);
      else if (b->now >= p->next_ms)
        send (p);
    }
}

void
pe_end (struct batch *b)
{
  while (b->pending->len > 0)
    {
      struct ba_pending *p
          = g_ptr_array_index (b->pending, b->pending->len - 1);

      /* What is on its way to the store may yet be done.  */
      p->maybe_done |= p->in_flight && p->purpose != BA_LOOKUP;
      give_up (p);
    }
}
