#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  SLOW_FACTOR = 4 /* times the p95: an attempt that takes longer is lost */
};

struct attempt
{
  struct en_core *core;
  struct en_request *req;
  int handle;
  char id[EN_TOKEN_SIZE + 8];
  int64_t began_us;
};

/* The whole answer to this very request, or NULL.  */
static json_t *
whole_answer (const struct attempt *a, const struct hc_answer *in)
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
judge_status (const struct attempt *a, const struct hc_answer *in,
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
      ev->u.upstream.answer = whole_answer (a, in);
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
  switch (in->end)
    {
    case HC_ANSWERED:
      judge_status (a, in, ev);
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
  en_push (a->core, ev);
  g_free (a);
}

static char *
call_body (struct en_core *core, const struct en_request *req)
{
  json_t *o = json_pack (
      "{s:s,s:s,s:O}", "account", core->env.account[req->fr.account].name,
      "kind", req->fr.u.call.kind, "payload", req->fr.u.call.payload);
  char *text = json_dumps (o, JSON_COMPACT);

  json_decref (o);
  return text;
}

/* A call that may not be repeated is heard beyond its deadline, so that a
   late answer can be kept; and it gets a connection of its own, because an
   idle one may have gone silent unseen.  */
static int
timeout_of (struct en_core *core, const struct en_request *req, int64_t left)
{
  int64_t most = core->set->attempt_timeout_ms;

  if (!req->u.call.m.repeatable)
    return (int)(left + core->set->late_ms);
  /* Where answers come much faster than that, half of the time is enough
     for one attempt, and the other half is for a second one.  */
  if (core->hedge_ms && core->hedge_ms * SLOW_FACTOR <= left / 2)
    most = MIN (most, left / 2);
  return (int)MIN (left, most);
}

void
en_dispatch (struct en_core *core, struct en_request *req)
{
  struct en_call *c = &req->u.call;
  struct attempt *a = g_new0 (struct attempt, 1);
  int64_t left = c->m.deadline_ms - core->now_ms;
  char url[PR_ADDRESS + 32], id[EN_TOKEN_SIZE + 32], deadline[48];
  char *body = call_body (core, req);
  struct hc_request r = { .method = "POST",
                          .url = url,
                          .body = body,
                          .header = { id, deadline },
                          .fresh = !c->m.repeatable,
                          .timeout_ms = timeout_of (core, req, left),
                          .done = on_done,
                          .arg = a };

  *a = (struct attempt){
    .core = core, .req = req, .handle = c->slot, .began_us = en_now_us ()
  };
  snprintf (a->id, sizeof a->id, "%s.%d", req->token, c->m.attempts);
  snprintf (url, sizeof url, "http://%s/v1/calls",
            core->pool.up[c->slot].address);
  snprintf (id, sizeof id, "X-Request-Id: %s", a->id);
  snprintf (deadline, sizeof deadline, "X-Deadline-Ms: %lld", (long long)left);
  c->avoid = c->slot;
  c->slot = FL_POOL_NONE;
  req->refs++;
  if (hc_submit (core->hc_up, &r))
    on_done (a, &(struct hc_answer){ .end = HC_NOT_SENT });
  free (body);
  en_fault_here (core, req, EN_FAULT_AFTER_DISPATCH);
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

  fl_pool_give (&core->pool, in->u.upstream.handle, in->u.upstream.outcome,
                core->now_ms);
  st_observe_us (&core->stat, core->shard,
                 st_series (&core->stat, ST_HISTOGRAM, "skr_attempt_seconds",
                            end_label (in->u.upstream.end)),
                 in->u.upstream.took_us);
  req->refs--;
  if (!req->paused)
    {
      req->u.call.upstream_us += in->u.upstream.took_us;
      if (in->u.upstream.answer && !req->u.call.answer)
        req->u.call.answer = json_incref (in->u.upstream.answer);
      en_call_event (core, req, &ev);
      en_settle (core, req);
    }
  en_feed (core);
}

static void
give_slot (struct en_core *core, struct en_request *req, int handle)
{
  struct fl_call_event ev = { .kind = FL_EV_SLOT };

  req->u.call.slot = handle;
  req->u.call.wait_us += en_now_us () - req->u.call.wanted_us;
  en_call_event (core, req, &ev);
}

static void
no_slot (struct en_core *core, struct en_request *req)
{
  struct fl_call_event ev = { .kind = FL_EV_NO_SLOT };

  en_call_event (core, req, &ev);
}

void
en_want (struct en_core *core, struct en_request *req)
{
  int handle = FL_EBUSY;

  req->u.call.wanted_us = en_now_us ();
  if (g_queue_is_empty (&core->wanting))
    handle = fl_pool_take (&core->pool, core->now_ms, req->u.call.avoid,
                           core->rng);
  if (handle == FL_EBUSY)
    g_queue_push_tail (&core->wanting, req);
  else if (handle < 0)
    no_slot (core, req);
  else
    give_slot (core, req, handle);
}

void
en_unwant (struct en_core *core, struct en_request *req)
{
  g_queue_remove (&core->wanting, req);
}

static int
busy_of (const struct en_core *core, const struct en_request *req)
{
  return core->env.account[req->fr.account].limit.in_progress;
}

/* The account with the fewest calls in progress goes first, so that one
   account's burst does not block the others; first come within it.  */
static GList *
next_wanting (struct en_core *core)
{
  GList *best = core->wanting.head;

  for (GList *l = best; l; l = l->next)
    if (busy_of (core, l->data) < busy_of (core, best->data))
      best = l;
  return best;
}

void
en_feed (struct en_core *core)
{
  while (!g_queue_is_empty (&core->wanting))
    {
      GList *l = next_wanting (core);
      struct en_request *req = l->data;
      int handle = fl_pool_take (&core->pool, core->now_ms, req->u.call.avoid,
                                 core->rng);

      if (handle == FL_EBUSY)
        return;
      g_queue_delete_link (&core->wanting, l);
      if (handle < 0)
        no_slot (core, req);
      else
        give_slot (core, req, handle);
      en_settle (core, req);
    }
}
