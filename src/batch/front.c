/* Handles client requests: finds the account and the call, and answers from
   memory what needs no access to the store.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/batch.h"

enum
{
  BODY_SIZE = 256, /* bytes of an answer */
  /* Values in the body of a request.  A job has 64 steps at most, each with
     some 20 fields and 63 steps before it: 7,000 tokens.  */
  MAX_JSON_TOKENS = 32768,
  /* A state that was last confirmed longer ago is not returned.  */
  STALE_MS = 3000,
  /* Wait for the store when the client sends no deadline.  */
  DEFAULT_WAIT_MS = 2500,
  MAX_WAIT_MS = 4000,    /* longest wait for the store */
  ANSWER_SLACK_MS = 300, /* part of the client's deadline that is reserved to
                            send the answer */
  OK = 200,
  BAD_REQUEST = 400,
  UNAUTHORIZED = 401,
  NOT_FOUND = 404,
  METHOD_NOT_ALLOWED = 405,
  GONE = 410,
  PAYLOAD_TOO_LARGE = 413,
  UNPROCESSABLE = 422,
  UNAVAILABLE = 503
};

static int
sends_retry_after (int status)
{
  return status == UNAVAILABLE || status == 429;
}

void
fr_answer (struct batch *b, struct hs_exchange *ex, const char *id,
           const char *call, int status, const char *body, const char *reason)
{
  fr_answer_after (b, ex, id, call, status, body, reason, 0);
}

void
fr_answer_after (struct batch *b, struct hs_exchange *ex, const char *id,
                 const char *call, int status, const char *body,
                 const char *reason, int retry_after_s)
{
  char text[BODY_SIZE], retry_after[16];
  struct hs_answer a
      = { .status = status, .content_type = "application/json", .body = body };
  struct lg_field f[]
      = { lg_str ("id", id),
          lg_str ("call", call),
          lg_int ("status", status),
          lg_str ("reason", reason),
          lg_int ("version", b->config ? b->config->version : 0),
          lg_int ("config_age_ms", b->now_ms - b->config_follower.fresh_ms),
          lg_int ("jobs_age_ms", b->now_ms - b->job_follower.fresh_ms) };

  if (!body)
    {
      snprintf (text, sizeof text, "{\"error\":\"%s\"}", reason);
      a.body = text;
    }
  if (sends_retry_after (status))
    {
      snprintf (retry_after, sizeof retry_after, "%d",
                retry_after_s ? retry_after_s
                              : ba_retry_after_s (b, id, call));
      a.header[0] = (struct hs_header){ "Retry-After", retry_after };
    }
  lg_log (status >= UNAVAILABLE ? LG_REQUEST_GIVEN_UP : LG_REQUEST_ANSWERED, 7,
          f);
  co_add (b, b->counters.answers, 1);
  if (sends_retry_after (status))
    co_add (b, b->counters.refused, 1);
  hs_answer (ex, &a);
}

void
fr_refuse (struct hs_exchange *ex, int status, const char *body)
{
  struct hs_answer a = { .status = status,
                         .body = body,
                         .content_type = "application/json",
                         .header = { { "Retry-After", "1" } } };

  hs_answer (ex, &a);
}

static int
store_wait_ms (struct hs_exchange *ex)
{
  const char *text = hs_header (ex, po_deadline_header ());
  long ms = text ? strtol (text, NULL, 10) : 0;

  if (ms <= 0)
    return DEFAULT_WAIT_MS;
  ms -= ANSWER_SLACK_MS;
  if (ms < ANSWER_SLACK_MS)
    ms = ANSWER_SLACK_MS;
  return ms < MAX_WAIT_MS ? (int)ms : MAX_WAIT_MS;
}

/* Relays EX if another VM may serve it.  */
static int
is_relayed_away (struct batch *b, struct hs_exchange *ex, const char *id,
                 const char *call)
{
  int wanted = !strcmp (call, "submit") || !strcmp (call, "cancel")
                   ? ba_relays_writes (b)
                   : ba_relays_reads (b);

  return wanted
         && rl_request (b, ex, id, call, b->now_ms + store_wait_ms (ex));
}

static void
refuse_stalled (struct batch *b, struct hs_exchange *ex, const char *id,
                const char *call)
{
  co_add (b, b->counters.stalled_refusals, 1);
  fr_answer (b, ex, id, call, UNAVAILABLE, NULL,
             "not run: the store answers no writes");
}

static void
handle_submit (struct batch *b, struct hs_exchange *ex, const char *id,
               const struct qu_queue *q, const char *account)
{
  const struct vw_job *known = vw_find (&b->view, id);
  const char *reason;
  struct sj_job *job;

  if (known && known->version && !vw_is_of_account (known, account))
    {
      fr_answer (b, ex, id, "submit", BAD_REQUEST, NULL, FR_ID_TAKEN);
      return;
    }
  if (known && known->version)
    {
      fr_answer (b, ex, id, "submit", OK, "{\"state\":\"queued\"}",
                 "already stored");
      return;
    }
  if (pe_is_withdrawn (b, id, account))
    {
      fr_answer (b, ex, id, "submit", GONE, NULL, FR_WITHDRAWN);
      return;
    }
  if (q->needs_adviser)
    {
      fr_answer (b, ex, id, "submit", UNPROCESSABLE, NULL,
                 "queues with advice are not served");
      return;
    }
  job = po_job_read (id, hs_get_request (ex)->body, q, account, &reason);
  if (job && sj_job_tasks (job) > b->settings->max_tasks)
    {
      sj_job_free (job);
      job = NULL;
      reason = "a job has more tasks than this system accepts";
    }
  if (!job)
    {
      fr_answer (b, ex, id, "submit", BAD_REQUEST, NULL, reason);
      return;
    }
  if (is_relayed_away (b, ex, id, "submit"))
    {
      sj_job_free (job);
      return;
    }
  if (b->store_down)
    {
      sj_job_free (job);
      fr_answer (b, ex, id, "submit", UNAVAILABLE, NULL,
                 "not run: the store is away");
      return;
    }
  if (ba_refuses_writes (b))
    {
      sj_job_free (job);
      refuse_stalled (b, ex, id, "submit");
      return;
    }
  pe_submit (b, ex, job, store_wait_ms (ex));
}

static void
answer_state (struct batch *b, struct hs_exchange *ex, const struct vw_job *j)
{
  char body[BODY_SIZE];

  po_state_body (body, sizeof body, j->state);
  fr_answer (b, ex, j->id, "state", OK, body, sj_state_name (j->state));
}

static void
handle_state (struct batch *b, struct hs_exchange *ex, const char *id,
              const char *account)
{
  const struct vw_job *j = vw_find (&b->view, id);

  int is_stale = b->now_ms - b->job_follower.fresh_ms > STALE_MS;

  if ((!j || !j->version) && is_relayed_away (b, ex, id, "state"))
    return;
  if (!j || !j->version)
    pe_lookup (b, ex, id, account, 0, store_wait_ms (ex));
  else if (!vw_belongs_to (j, account))
    fr_answer (b, ex, id, "state", GONE, NULL, "no such job");
  else if (j->state < SJ_COMPLETED && is_stale
           && is_relayed_away (b, ex, id, "state"))
    return;
  else if (j->state < SJ_COMPLETED && is_stale)
    fr_answer (b, ex, id, "state", UNAVAILABLE, NULL,
               "the state is not known now");
  else
    answer_state (b, ex, j);
}

static void
handle_cancel (struct batch *b, struct hs_exchange *ex, const char *id,
               const char *account)
{
  const struct vw_job *j = vw_find (&b->view, id);
  int is_known = j && j->version && vw_belongs_to (j, account);

  /* A job of another account is handled as one that is not there.  */
  if (!is_known && is_relayed_away (b, ex, id, "cancel"))
    return;
  if (!is_known)
    pe_lookup (b, ex, id, account, 1, store_wait_ms (ex));
  else if (j->cancelled || j->state >= SJ_COMPLETED)
    fr_answer (b, ex, id, "cancel", OK, "{}", "already stored");
  else if (is_relayed_away (b, ex, id, "cancel"))
    return;
  else if (ba_refuses_writes (b))
    refuse_stalled (b, ex, id, "cancel");
  else
    pe_cancel (b, ex, j, account, store_wait_ms (ex));
}

static void
handle_count (struct batch *b, struct hs_exchange *ex,
              const struct qu_queue *q)
{
  char body[BODY_SIZE];

  if (b->now_ms - b->job_follower.fresh_ms > STALE_MS
      || !b->job_follower.synced)
    {
      if (is_relayed_away (b, ex, "", "count"))
        return;
      fr_answer (b, ex, "", "count", UNAVAILABLE, NULL,
                 "the count is not known now");
      return;
    }
  po_count_body (body, sizeof body, vw_count_waiting (&b->view, q->name));
  fr_answer (b, ex, "", "count", OK, body, "counted");
}

static void
dispatch (struct batch *b, struct hs_exchange *ex, const struct qu_queue *q,
          const char *account, const char *subpath)
{
  switch (po_parse_call (hs_get_request (ex)->method, subpath))
    {
    case PO_SUBMIT:
      handle_submit (b, ex, subpath, q, account);
      break;
    case PO_STATE:
      handle_state (b, ex, subpath, account);
      break;
    case PO_CANCEL:
      handle_cancel (b, ex, subpath, account);
      break;
    case PO_COUNT_WAITING:
      handle_count (b, ex, q);
      break;
    case PO_NO_METHOD:
      fr_answer (b, ex, subpath, "?", METHOD_NOT_ALLOWED, NULL,
                 "no such method");
      break;
    case PO_NO_PATH:
      fr_answer (b, ex, "", "?", NOT_FOUND, NULL, "no such path");
      break;
    }
}

static const char *
relay_call_name (const char *method)
{
  if (!strcmp (method, "GET"))
    return "state";
  return !strcmp (method, "DELETE") ? "cancel" : "submit";
}

void
fr_request (struct batch *b, struct hs_exchange *ex)
{
  const struct hs_request *r = hs_get_request (ex);
  const char *key = po_parse_bearer_key (r->authorization), *subpath = "";
  const struct qu_account *account;
  const struct qu_queue *q;

  if (rl_is_relayed (ex))
    co_add (b, b->counters.relay_received, 1);
  if (!b->config)
    {
      fr_answer (b, ex, "", "?", UNAVAILABLE, NULL,
                 "not run: no configuration yet");
      return;
    }
  q = qu_find_queue (b->config, hs_header (ex, "Host"), r->path, &subpath);
  /* A key that was revoked may still be in an old configuration.  */
  if (!ba_config_is_fresh (b) && !(q && q->is_public && !key))
    {
      /* The VM that receives the request checks its key.  */
      if (q && is_relayed_away (b, ex, subpath, relay_call_name (r->method)))
        return;
      fr_answer (b, ex, subpath, "?", UNAVAILABLE, NULL,
                 "not run: the configuration may be old");
      return;
    }
  if (!q)
    {
      fr_answer (b, ex, "", "?", NOT_FOUND, NULL, "no such queue");
      return;
    }
  account = qu_find_account (b->config, key);
  if (!account && (key || !q->is_public))
    {
      fr_answer (b, ex, subpath, "?", UNAUTHORIZED, NULL, "no such key");
      return;
    }
  dispatch (b, ex, q, account ? account->name : NULL, subpath);
}

/* Refuses EX on the HTTP server's thread.  */
static void
refuse_before_loop (struct hs_exchange *ex, int status, const char *reason)
{
  const struct hs_request *r = hs_get_request (ex);
  char body[BODY_SIZE];
  struct lg_field f[] = { lg_str ("peer", r->peer), lg_str ("path", r->path),
                          lg_int ("status", status), lg_str ("reason", reason),
                          lg_int ("bytes", (int64_t)r->body_size) };

  lg_log (LG_REQUEST_NOT_TAKEN, 5, f);
  snprintf (body, sizeof body, "{\"error\":\"not run: %s\"}", reason);
  fr_refuse (ex, status, body);
}

void
fr_enqueue (struct batch *b, struct hs_server *server, struct hs_exchange *ex)
{
  const struct hs_request *r = hs_get_request (ex);
  struct ba_event *e;

  if (r->too_large)
    {
      refuse_before_loop (ex, PAYLOAD_TOO_LARGE, "too large");
      return;
    }
  /* The loop must not spend its time on them.  */
  if (bs_json_tokens (r->body) > MAX_JSON_TOKENS)
    {
      refuse_before_loop (ex, BAD_REQUEST, "more values than a job has");
      return;
    }
  if (r->dropped)
    {
      refuse_before_loop (ex, UNAVAILABLE,
                          "too much memory in use for request bodies");
      return;
    }
  if (hs_in_progress (server) > b->settings->max_requests)
    {
      refuse_before_loop (ex, UNAVAILABLE, "too much at once");
      return;
    }
  e = g_new (struct ba_event, 1);
  e->kind = BA_CLIENT_REQUEST;
  e->u.request = ex;
  ba_push (b, e);
}

/* Runs on the HTTP server's thread.  */
void
fr_handle (void *arg, struct hs_exchange *ex)
{
  struct batch *b = arg;

  fr_enqueue (b, b->caller_server, ex);
}

void
fr_ready (void *arg, struct hs_exchange *ex)
{
  struct batch *b = arg;
  int ready = atomic_load (&b->ready)
              && po_is_ready_path (hs_get_request (ex)->path);
  struct hs_answer a = { .status = ready ? OK : UNAVAILABLE, .body = "" };

  hs_answer (ex, &a);
}

void
fr_metrics (void *arg, struct hs_exchange *ex)
{
  struct batch *b = arg;
  char *text = st_text (&b->stats);
  struct hs_answer a = { .status = text ? OK : UNAVAILABLE,
                         .content_type = "text/plain; version=0.0.4",
                         .body = text };

  hs_answer (ex, &a);
  free (text);
}
