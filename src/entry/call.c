#include <string.h>

#include "entry/entry.h"
#include "skr/log.h"

static const char *
string_of (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "";
}

static json_t *
answer_body (const char *key, const char *state, json_t *answer)
{
  json_t *o = json_pack ("{s:s,s:s}", "request", key, "state", state);

  if (answer)
    json_object_set (o, "answer", answer);
  return o;
}

static void
refuse (struct en_core *core, struct en_request *req)
{
  const struct fl_call *m = &req->u.call.m;

  switch (m->why)
    {
    case FL_WHY_TABLE:
      en_refuse (core, req, FL_PROBLEM_TABLE_DOWN,
                 "this attempt was not run: the table that makes it safe "
                 "does not answer");
      break;
    case FL_WHY_UPSTREAMS:
      en_refuse (core, req, FL_PROBLEM_NO_UPSTREAM,
                 "this attempt was not run: no upstream could take it");
      break;
    case FL_WHY_ROW:
      en_refuse (core, req, FL_PROBLEM_NOT_RUN,
                 "this attempt was not run; come back with the same key and a "
                 "higher Idempotency-Attempt");
      break;
    default:
      en_refuse (
          core, req, FL_PROBLEM_NOT_RUN,
          "its deadline passed before it could be dispatched; come back "
          "with the same key");
      break;
    }
}

static void
tell_unknown (struct en_core *core, struct en_request *req)
{
  const struct fl_call *m = &req->u.call.m;

  lg_log (LG_REQUEST_UNKNOWN, 2,
          (struct lg_field[]){
              lg_str ("account", core->env.account[req->fr.account].name),
              lg_str ("request", req->key) });
  en_refuse (core, req, FL_PROBLEM_UNKNOWN,
             m->why == FL_WHY_ELSEWHERE
                 ? "another attempt with this key has no end yet; ask again "
                   "by the same key"
                 : "it was dispatched and its answer is missing; ask again "
                   "by the same key");
}

static void
answer (struct en_core *core, struct en_request *req)
{
  struct en_call *c = &req->u.call;

  if (en_fault_here (core, req, EN_FAULT_BEFORE_ANSWER))
    return;
  en_observe_part (core, req, "queue", c->wait_us);
  en_observe_part (core, req, "store", c->table_us);
  en_observe_part (core, req, "upstream", c->upstream_us);
  switch (c->m.end)
    {
    case FL_END_DONE:
      en_answer_json (core, req, 200,
                      answer_body (req->key, "done", c->answer), NULL, NULL);
      break;
    case FL_END_FAILED:
      en_refuse (core, req, FL_PROBLEM_FAILED,
                 "the upstream ran it and reports that it failed");
      break;
    case FL_END_NOT_RUN:
      refuse (core, req);
      break;
    case FL_END_OTHER_BODY:
      en_refuse (core, req, FL_PROBLEM_OTHER_BODY,
                 "this key was used for another body");
      break;
    case FL_END_NONE:
    case FL_END_UNKNOWN:
      tell_unknown (core, req);
      break;
    }
}

/* In this order: a slot is left before another is asked for, and the caller
   hears nothing before what must stand in the table was sent.  */
static void
act (struct en_core *core, struct en_request *req, unsigned what)
{
  if (what & FL_DO_UNWANT)
    en_unwant (core, req);
  if (what & FL_DO_RELEASE)
    fl_pool_give (&core->pool, req->u.call.slot, FL_OUTCOME_BUSY,
                  core->now_ms);
  if (what & FL_DO_CLAIM)
    en_claim (core, req);
  if (what & FL_DO_READ)
    en_get (core, req, EN_TAG_STEP, EN_REQUESTS, req->fr.row_key);
  if (what & FL_DO_MARK_UNKNOWN)
    en_mark_unknown (core, req);
  if (what & FL_DO_RECORD)
    en_record (core, req);
  if (what & FL_DO_RECORD_READ)
    en_get (core, req, EN_TAG_RECORD, EN_REQUESTS, req->fr.row_key);
  if (what & FL_DO_ANSWER)
    answer (core, req);
  if ((what & FL_DO_WANT) && !en_fault_here (core, req, EN_FAULT_AFTER_CLAIM))
    en_want (core, req);
  if (what & FL_DO_DISPATCH)
    en_dispatch (core, req);
}

void
en_call_event (struct en_core *core, struct en_request *req,
               struct fl_call_event *ev)
{
  if (req->paused)
    return;
  ev->at = en_moment (core);
  act (core, req, fl_call_step (&req->u.call.m, ev));
}

/* The p95 as known now, and half of the deadline when that comes first or no
   p95 is known yet.  */
static int64_t
hedge_after (const struct en_core *core, const struct en_request *req)
{
  int64_t half = req->fr.u.call.deadline_ms / 2;

  if (core->set->no_hedge)
    return 0;
  return core->hedge_ms ? MIN (core->hedge_ms, half) : half;
}

void
en_call_begin (struct en_core *core, struct en_request *req)
{
  struct en_call *c = &req->u.call;
  struct fl_call_event ev = { .kind = FL_EV_START };
  int repeatable = req->fr.u.call.repeatable;

  c->slot = c->avoid = FL_POOL_NONE;
  fl_call_init (&c->m,
                &(struct fl_call_spec){
                    .repeatable = repeatable,
                    .deadline_ms = core->now_ms + req->fr.u.call.deadline_ms,
                    .hedge_after_ms = hedge_after (core, req),
                    .budget = &core->budget });
  en_call_event (core, req, &ev);
}

void
en_call_table (struct en_core *core, struct en_request *req,
               const struct en_event *in)
{
  struct fl_call_event ev
      = { .reply = en_reply_of (in->u.table.error, in->u.table.is_commit) };

  req->u.call.table_us += in->u.table.took_us;
  switch (in->u.table.tag)
    {
    case EN_TAG_STEP:
      ev.kind = FL_EV_TABLE;
      en_read_claim (core, req, in, &ev);
      break;
    case EN_TAG_RECORD:
      ev.kind = FL_EV_RECORD;
      en_read_record (req, in, &ev);
      break;
    default:
      return;
    }
  en_call_event (core, req, &ev);
}

void
en_call_tick (struct en_core *core, struct en_request *req)
{
  struct fl_call_event ev = { .kind = FL_EV_TICK };
  struct fl_call *m = &req->u.call.m;

  if (m->hedge_after_ms)
    m->hedge_after_ms = hedge_after (core, req);

  if (core->now_ms >= fl_call_due_ms (m))
    en_call_event (core, req, &ev);
}

void
en_call_fini (struct en_request *req)
{
  json_decref (req->u.call.answer);
  json_decref (req->u.call.others);
}

void
en_call_get (struct en_core *core, struct en_request *req)
{
  g_strlcpy (req->key, req->fr.id, sizeof req->key);
  en_get (core, req, EN_TAG_STEP, EN_REQUESTS, req->fr.row_key);
}

static const char *
shown_state (struct en_core *core, const json_t *value)
{
  const char *state = string_of (value, "state");

  if (json_is_true (json_object_get (value, "failed")))
    return "failed";
  if (!strcmp (state, "claimed")
      && en_is_dead (core, string_of (value, "entry"),
                     string_of (value, "token")))
    return "unknown";
  return state;
}

void
en_call_got (struct en_core *core, struct en_request *req,
             const struct en_event *in)
{
  json_t *row = en_row (in->u.table.data, req->fr.row_key);
  json_t *value = json_object_get (row, "value");

  if (en_reply_of (in->u.table.error, 0) != FL_REPLY_ROW)
    en_refuse (core, req, FL_PROBLEM_UNREADABLE,
               "the state of the call can't be read now");
  else if (!value || strcmp (string_of (value, "kind"), "call") != 0)
    en_refuse (core, req, FL_PROBLEM_NOT_FOUND,
               "no call that may not be repeated has this key");
  else
    en_answer_json (core, req, 200,
                    answer_body (req->key, shown_state (core, value),
                                 json_object_get (value, "answer")),
                    NULL, NULL);
}
