/* Sends attempts of calls to upstreams, and assigns the slots for them.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  /* An attempt that takes longer than this many times the p95 is presumed
     lost.  */
  MAX_P95_FACTOR = 4
};

/* An attempt of a call that an upstream has not answered yet.  */
struct attempt
{
  struct en_core *core;
  struct en_request *req;
  int handle; /* of the upstream in the pool */
  char id[EN_TOKEN_SIZE + 8];
  int64_t began_us;
};

/* Returns the answer in a response that is complete and has the id of this
   attempt; otherwise NULL.  Owned by the caller.  */
static json_t *
parse_answer (const struct attempt *a, const struct hc_answer *in)
{
  json_t *o = json_loadb (in->body, in->body_size, 0, NULL);
  const char *id = json_string_value (json_object_get (o, "request"));
  json_t *answer = json_object_get (o, "answer");

  if (!id || strcmp (id, a->id) != 0)
    answer = NULL;
  json_incref (answer);
  json_decref (o);
  return answer;
}

static void
classify_status (const struct attempt *a, const struct hc_answer *in,
                 struct en_event *ev)
{
  enum
  {
    OK = 200,
    CLIENT_ERROR = 400,
    TOO_MANY = 429,
    SERVER_ERROR = 500,
    UNAVAILABLE = 503
  };

  ev->u.upstream.end = FL_UP_LOST;
  ev->u.upstream.outcome = FL_OUTCOME_FAILED;
  if (in->status == OK)
    {
      ev->u.upstream.answer = parse_answer (a, in);
      if (!ev->u.upstream.answer)
        return;
      ev->u.upstream.end = FL_UP_DONE;
      ev->u.upstream.outcome = FL_OUTCOME_OK;
    }
  else if (in->status == SERVER_ERROR)
    ev->u.upstream.end = FL_UP_FAILED;
  else if (in->status == UNAVAILABLE
           || (in->status >= CLIENT_ERROR && in->status < SERVER_ERROR))
    ev->u.upstream.end = FL_UP_NOT_RUN;
  if (in->status == TOO_MANY)
    {
      ev->u.upstream.end = FL_UP_BUSY;
      ev->u.upstream.outcome = FL_OUTCOME_BUSY;
    }
  if (in->status == UNAVAILABLE)
    ev->u.upstream.outcome = FL_OUTCOME_LEAVING;
}

/* Runs on the HTTP client's thread.  */
static void
on_done (void *arg, const struct hc_answer *in)
{
  struct attempt *a = arg;
  struct en_event *ev = g_new0 (struct en_event, 1);

  ev->kind = EN_EV_UPSTREAM;
  ev->req = a->req;
  ev->u.upstream.handle = a->handle;
  ev->u.upstream.took_us = en_now_us () - a->began_us;
  switch (in->outcome)
    {
    case HC_ANSWERED:
      classify_status (a, in, ev);
      break;
    case HC_NOT_SENT:
      ev->u.upstream.end = FL_UP_NOT_RUN;
      ev->u.upstream.outcome = FL_OUTCOME_UNREACHED;
      break;
    case HC_LOST:
      ev->u.upstream.end = FL_UP_LOST;
      ev->u.upstream.outcome = FL_OUTCOME_FAILED;
      break;
    }
  en_push_event (a->core, ev);
  g_free (a);
}

static char *
attempt_body (struct en_core *core, const struct en_request *req)
{
  json_t *o = json_pack (
      "{s:s,s:s,s:O}", "account", core->env.account[req->fr.account].name,
      "kind", req->fr.u.call.kind, "payload", req->fr.u.call.payload);
  char *text = json_dumps (o, JSON_COMPACT);

  json_decref (o);
  return text;
}

/* Returns the timeout of an attempt in ms; REMAINING_MS is the time until the
   call's deadline.  A call that may not be repeated waits late_ms beyond the
   deadline, so that a late answer can be recorded.  It also gets a new
   connection, because an idle one may have died unnoticed.  */
static int
choose_timeout_ms (struct en_core *core, const struct en_request *req,
                   int64_t remaining_ms)
{
  int64_t max_ms = core->settings->attempt_timeout_ms;

  if (!req->u.call.machine.repeatable)
    return (int)(remaining_ms + core->settings->late_ms);
  /* When answers are much faster than the deadline requires, one attempt gets
     half of the time and the other half is left for a second attempt.  */
  if (core->hedge_ms && core->hedge_ms * MAX_P95_FACTOR <= remaining_ms / 2)
    max_ms = MIN (max_ms, remaining_ms / 2);
  return (int)MIN (remaining_ms, max_ms);
}

void
en_dispatch (struct en_core *core, struct en_request *req)
{
  struct en_call *c = &req->u.call;
  struct attempt *a = g_new0 (struct attempt, 1);
  int64_t remaining_ms = c->machine.deadline_ms - core->now_ms;
  char url[PR_ADDRESS_SIZE + 32], id[EN_TOKEN_SIZE + 32], deadline[48];
  char *body = attempt_body (core, req);
  struct hc_request r
      = { .method = "POST",
          .url = url,
          .body = body,
          .header = { id, deadline },
          .new_connection = !c->machine.repeatable,
          .timeout_ms = choose_timeout_ms (core, req, remaining_ms),
          .done = on_done,
          .arg = a };

  *a = (struct attempt){ .core = core,
                         .req = req,
                         .handle = c->slot_upstream,
                         .began_us = en_now_us () };
  snprintf (a->id, sizeof a->id, "%s.%d", req->token, c->machine.attempts);
  snprintf (url, sizeof url, "http://%s/v1/calls",
            core->pool.up[c->slot_upstream].address);
  snprintf (id, sizeof id, "X-Request-Id: %s", a->id);
  snprintf (deadline, sizeof deadline, "X-Deadline-Ms: %lld",
            (long long)remaining_ms);
  c->avoid_upstream = c->slot_upstream;
  c->slot_upstream = FL_POOL_NONE;
  req->pending_results++;
  if (hc_submit (core->upstream_http, &r))
    on_done (a, &(struct hc_answer){ .outcome = HC_NOT_SENT });
  free (body);
  en_stop_at_fault_point (core, req, EN_FAULT_AFTER_DISPATCH);
}

static const char *
end_label (enum fl_upstream_end end)
{
  switch (end)
    {
    case FL_UP_DONE:
      return "end=\"done\"";
    case FL_UP_FAILED:
      return "end=\"failed\"";
    case FL_UP_NOT_RUN:
      return "end=\"not_run\"";
    case FL_UP_BUSY:
      return "end=\"busy\"";
    case FL_UP_LOST:
      break;
    }
  return "end=\"lost\"";
}

void
en_on_upstream (struct en_core *core, struct en_event *in)
{
  struct en_request *req = in->req;
  struct fl_call_event ev
      = { .kind = FL_EV_UPSTREAM, .upstream = in->u.upstream.end };

  fl_pool_release (&core->pool, in->u.upstream.handle, in->u.upstream.outcome,
                   core->now_ms);
  st_observe_us (&core->stat, core->stat_shard,
                 st_series (&core->stat, ST_HISTOGRAM, "skr_attempt_seconds",
                            end_label (in->u.upstream.end)),
                 in->u.upstream.took_us);
  req->pending_results--;
  if (!req->paused)
    {
      req->u.call.upstream_us += in->u.upstream.took_us;
      if (in->u.upstream.answer && !req->u.call.answer)
        req->u.call.answer = json_incref (in->u.upstream.answer);
      en_call_step (core, req, &ev);
      en_free_if_finished (core, req);
    }
  en_assign_slots (core);
}

static void
give_slot (struct en_core *core, struct en_request *req, int handle)
{
  struct fl_call_event ev = { .kind = FL_EV_SLOT };

  req->u.call.slot_upstream = handle;
  req->u.call.slot_wait_us += en_now_us () - req->u.call.slot_wait_began_us;
  en_call_step (core, req, &ev);
}

static void
report_no_slot (struct en_core *core, struct en_request *req)
{
  struct fl_call_event ev = { .kind = FL_EV_NO_SLOT };

  en_call_step (core, req, &ev);
}

void
en_request_slot (struct en_core *core, struct en_request *req)
{
  int handle = FL_EBUSY;

  req->u.call.slot_wait_began_us = en_now_us ();
  if (g_queue_is_empty (&core->slot_waiters))
    handle = fl_pool_acquire (&core->pool, core->now_ms,
                              req->u.call.avoid_upstream, core->rng);
  if (handle == FL_EBUSY)
    g_queue_push_tail (&core->slot_waiters, req);
  else if (handle < 0)
    report_no_slot (core, req);
  else
    give_slot (core, req, handle);
}

void
en_cancel_slot_request (struct en_core *core, struct en_request *req)
{
  g_queue_remove (&core->slot_waiters, req);
}

static int
calls_in_progress (const struct en_core *core, const struct en_request *req)
{
  return core->env.account[req->fr.account].limit.in_progress;
}

/* Returns the first waiter of the account with the fewest calls in progress,
   so that a burst of one account does not block the others.  */
static GList *
next_slot_waiter (struct en_core *core)
{
  GList *best = core->slot_waiters.head;

  for (GList *l = best; l; l = l->next)
    if (calls_in_progress (core, l->data)
        < calls_in_progress (core, best->data))
      best = l;
  return best;
}

void
en_assign_slots (struct en_core *core)
{
  while (!g_queue_is_empty (&core->slot_waiters))
    {
      GList *l = next_slot_waiter (core);
      struct en_request *req = l->data;
      int handle = fl_pool_acquire (&core->pool, core->now_ms,
                                    req->u.call.avoid_upstream, core->rng);

      if (handle == FL_EBUSY)
        return;
      g_queue_delete_link (&core->slot_waiters, l);
      if (handle < 0)
        report_no_slot (core, req);
      else
        give_slot (core, req, handle);
      en_free_if_finished (core, req);
    }
}
