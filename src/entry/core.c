/* The event loop of the core thread and the life cycle of requests.  */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "entry/entry.h"
#include "skr/log.h"

enum
{
  MAX_EVENTS_PER_TURN = 256 /* between two looks at the timers */
};

int64_t
en_now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

double
en_jitter (struct en_core *core)
{
  return gsl_rng_uniform (core->rng);
}

struct fl_conditions
en_moment (struct en_core *core)
{
  return (struct fl_conditions){ core->now_ms, en_jitter (core),
                                 core->env.table_down };
}

/* The ring's capacity covers every event of the admitted requests, the queued
   messages of peers and the core's own operations.  A full ring is therefore
   a fault of the program.  */
void
en_push_event (struct en_core *core, struct en_event *ev)
{
  if (rg_push (&core->events, ev))
    abort ();
}

/* The filter chain has not parsed the request, so "not run" may be said of its
   key only when the caller declares that this is the first attempt.  */
static void
answer_overload (struct hs_exchange *ex)
{
  const struct hs_request *in = hs_get_request (ex);
  struct fl_request r = { .op = FL_OP_CALL };
  struct fl_problem p = { .kind = FL_PROBLEM_NONE };
  json_t *o;
  char *text;

  if (in->idempotency_attempt)
    fl_parse_attempt (in->idempotency_attempt, &r.attempt);
  fl_problem_set (&p, FL_PROBLEM_OVERLOAD, 0, "this attempt was not run");
  fl_mark_unproved (&r, &p, 0, 0);
  o = fl_problem_json (&p);
  if (strcmp (in->method, "POST") != 0)
    json_object_del (o, "state");
  text = json_dumps (o, JSON_COMPACT);
  hs_answer (ex, &(struct hs_answer){ fl_problem_status (p.kind),
                                      "application/problem+json",
                                      text,
                                      { { "Retry-After", "1" } } });
  free (text);
  json_decref (o);
}

/* Runs on a server thread.  */
void
en_on_http (void *arg, struct hs_exchange *ex)
{
  struct en_core *core = arg;
  struct en_event *ev;

  if (hs_get_request (ex)->dropped)
    {
      answer_overload (ex);
      return;
    }
  if (atomic_fetch_add (&core->admitted_requests, 1)
      >= core->settings->max_requests)
    {
      atomic_fetch_sub (&core->admitted_requests, 1);
      answer_overload (ex);
      return;
    }
  ev = g_new0 (struct en_event, 1);
  ev->kind = EN_EV_HTTP;
  ev->u.ex = ex;
  en_push_event (core, ev);
}

int
en_stop_at_fault_point (struct en_core *core, struct en_request *req,
                        enum en_fault_point point)
{
  if (core->fault_point != point || point == EN_FAULT_NONE
      || req->fr.u.call.repeatable || req->paused)
    return req->paused;
  req->paused = 1;
  lg_log (LG_FAULT_POINT, 2,
          (struct lg_field[]){ lg_str ("point", core->settings->fault_point),
                               lg_str ("request", req->key) });
  return 1;
}

static void
add_request (struct en_core *core, struct en_request *req)
{
  req->index = core->request_count;
  core->requests[core->request_count++] = req;
}

static void
free_request (struct en_core *core, struct en_request *req)
{
  struct en_request *last = core->requests[--core->request_count];

  core->requests[req->index] = last;
  last->index = req->index;
  if (req->fr.op == FL_OP_CALL)
    en_call_fini (req);
  if (req->fr.op == FL_OP_JOB_LIST)
    json_decref (req->u.page.jobs);
  if (req->fr.op >= FL_OP_JOB && req->fr.op <= FL_OP_JOB_CANCEL)
    json_decref (req->u.job.value);
  fl_request_fini (&core->env, &req->fr);
  g_free (req);
  atomic_fetch_sub (&core->admitted_requests, 1);
}

void
en_free_if_finished (struct en_core *core, struct en_request *req)
{
  if (req->ex || req->pending_results || req->paused)
    return;
  if (req->fr.op == FL_OP_CALL && req->fr.problem.kind == FL_PROBLEM_NONE
      && !fl_call_is_over (&req->u.call.machine))
    return;
  free_request (core, req);
}

static void
init_request (struct en_request *req, struct hs_exchange *ex)
{
  const struct hs_request *in = hs_get_request (ex);

  req->ex = ex;
  req->began_us = en_now_us ();
  req->fr.method = in->method;
  req->fr.path = in->path;
  req->fr.authorization = in->authorization;
  req->fr.key = in->idempotency_key;
  req->fr.attempt_text = in->idempotency_attempt;
  req->fr.if_match = in->if_match;
  req->fr.body = in->body;
  req->fr.body_size = in->body_size;
  req->fr.too_large = in->too_large;
  if (in->idempotency_key)
    g_strlcpy (req->key, in->idempotency_key, sizeof req->key);
}

static void
begin_operation (struct en_core *core, struct en_request *req)
{
  switch (req->fr.op)
    {
    case FL_OP_CALL:
      en_call_begin (core, req);
      break;
    case FL_OP_CALL_GET:
      en_call_get (core, req);
      break;
    case FL_OP_JOB:
    case FL_OP_JOB_GET:
    case FL_OP_JOB_CANCEL:
      en_job_begin (core, req);
      break;
    case FL_OP_JOB_LIST:
      en_job_list_begin (core, req);
      break;
    case FL_OP_LIST_GET:
      en_list_get (core, req);
      break;
    case FL_OP_LIST_PUT:
      en_list_put (core, req);
      break;
    case FL_OP_NONE:
    case FL_OP_HEALTH:
    case FL_OP_VMS:
    case FL_OP_CELLS:
    case FL_OP_STATUS:
    case FL_OP_METRICS:
    case FL_OP_COUNTERS:
      en_status_begin (core, req);
      break;
    }
}

static void
on_http (struct en_core *core, struct hs_exchange *ex)
{
  struct en_request *req = g_new0 (struct en_request, 1);

  init_request (req, ex);
  add_request (core, req);
  memcpy (req->token, core->incarnation, EN_INCARNATION_DIGITS);
  bs_random_hex (req->token + EN_INCARNATION_DIGITS,
                 EN_INCARNATION_DIGITS / 2);
  core->env.now_ms = core->now_ms;
  core->env.jitter = en_jitter (core);
  core->env.in_progress = core->request_count - 1;
  if (fl_chain_run (&core->env, &req->fr) != FL_PROBLEM_NONE)
    {
      if (req->fr.problem.kind == FL_PROBLEM_UNAUTHORIZED)
        lg_log (
            LG_BAD_KEY, 1,
            (struct lg_field[]){ lg_str ("peer", hs_get_request (ex)->peer) });
      en_answer_problem (core, req, &req->fr.problem, NULL);
    }
  else
    begin_operation (core, req);
  en_free_if_finished (core, req);
}

static void
on_table_result (struct en_core *core, struct en_event *ev)
{
  struct en_request *req = ev->req;

  en_update_table_health (core, ev->u.table.error);
  if (!req)
    {
      en_on_poll_result (core, ev);
      return;
    }
  req->pending_results--;
  if (req->paused)
    return;
  switch (req->fr.op)
    {
    case FL_OP_CALL:
      en_call_on_table (core, req, ev);
      break;
    case FL_OP_CALL_GET:
      en_call_get_result (core, req, ev);
      break;
    case FL_OP_JOB:
    case FL_OP_JOB_GET:
    case FL_OP_JOB_CANCEL:
      en_job_on_table (core, req, ev);
      break;
    case FL_OP_JOB_LIST:
      en_job_list_on_table (core, req, ev);
      break;
    case FL_OP_LIST_PUT:
      en_list_on_table (core, req, ev);
      break;
    default:
      break;
    }
  en_free_if_finished (core, req);
}

static void
handle_event (struct en_core *core, struct en_event *ev)
{
  switch (ev->kind)
    {
    case EN_EV_HTTP:
      on_http (core, ev->u.ex);
      break;
    case EN_EV_TABLE:
      on_table_result (core, ev);
      json_decref (ev->u.table.data);
      break;
    case EN_EV_UPSTREAM:
      en_on_upstream (core, ev);
      json_decref (ev->u.upstream.answer);
      break;
    case EN_EV_PEER:
      atomic_fetch_sub (&core->queued_peer_messages, 1);
      en_on_peer (core, ev->u.peer);
      g_free (ev->u.peer);
      break;
    }
  g_free (ev);
}

static void
tick_request (struct en_core *core, struct en_request *req)
{
  if (req->paused)
    return;
  if (req->fr.op == FL_OP_CALL)
    en_call_tick (core, req);
  else if (req->fr.op >= FL_OP_JOB && req->fr.op <= FL_OP_JOB_CANCEL)
    en_job_tick (core, req);
}

/* Goes backwards, because freeing a request moves the last one to its
   index.  */
void
en_tick (void *arg, int64_t now_ms)
{
  struct en_core *core = arg;

  (void)now_ms;
  for (int i = core->request_count - 1; i >= 0; i--)
    if (i < core->request_count)
      {
        struct en_request *req = core->requests[i];

        tick_request (core, req);
        en_free_if_finished (core, req);
      }
  en_assign_slots (core);
}

void
en_core_run (struct en_core *core)
{
  int64_t stop_ms = 0;

  core->stat_shard = st_attach (&core->stat);
  for (;;)
    {
      int wait = tm_run (&core->timers, core->now_ms);
      void *item;

      /* A flood of events must not keep the timers from running.  */
      for (int n = 0;
           n < MAX_EVENTS_PER_TURN
           && rg_pop (&core->events, &item, n || wait < 0 ? 0 : wait) == BS_OK;
           n++)
        {
          core->now_ms = bs_now_ms (&core->clock);
          handle_event (core, item);
        }
      core->now_ms = bs_now_ms (&core->clock);
      if (!atomic_load (&core->stop))
        continue;
      if (!stop_ms)
        stop_ms = core->now_ms;
      if (!core->request_count
          || core->now_ms - stop_ms >= core->settings->finish_ms)
        return;
    }
}
