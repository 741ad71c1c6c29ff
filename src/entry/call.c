/* Calls: performs the actions of the call state machine.  */
#include <string.h>

#include "entry/entry.h"
#include "skr/log.h"

static const char *
string_field (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "";
}

static json_t *
response_body (const char *key, const char *state, json_t *answer)
{
  json_t *o = json_pack ("{s:s,s:s}", "request", key, "state", state);

  if (answer)
    json_object_set (o, "answer", answer);
  return o;
}

static void
answer_not_run (struct en_core *core, struct en_request *req)
{
  const struct fl_call *m = &req->u.call.machine;

  switch (m->reason)
    {
    case FL_REASON_TABLE_DOWN:
      en_refuse (core, req, FL_PROBLEM_TABLE_DOWN,
                 "this attempt was not run: the table that makes it safe "
                 "does not answer");
      break;
    case FL_REASON_NO_UPSTREAM:
      en_refuse (core, req, FL_PROBLEM_NO_UPSTREAM,
                 "this attempt was not run: no upstream could take it");
      break;
    case FL_REASON_STORED_END:
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
answer_unknown (struct en_core *core, struct en_request *req)
{
  const struct fl_call *m = &req->u.call.machine;

  lg_log (LG_REQUEST_UNKNOWN, 2,
          (struct lg_field[]){
              lg_str ("account", core->env.account[req->fr.account].name),
              lg_str ("request", req->key) });
  en_refuse (core, req, FL_PROBLEM_UNKNOWN,
             m->reason == FL_REASON_CLAIMED_ELSEWHERE
                 ? "another attempt with this key has no end yet; ask again "
                   "by the same key"
                 : "it was dispatched and its answer is missing; ask again "
                   "by the same key");
}

static void
answer_end (struct en_core *core, struct en_request *req)
{
  struct en_call *c = &req->u.call;

  if (en_stop_at_fault_point (core, req, EN_FAULT_BEFORE_ANSWER))
    return;
  en_observe_phase (core, req, "queue", c->slot_wait_us);
  en_observe_phase (core, req, "store", c->table_us);
  en_observe_phase (core, req, "upstream", c->upstream_us);
  switch (c->machine.end)
    {
    case FL_END_DONE:
      en_answer_json (core, req, 200,
                      response_body (req->key, "done", c->answer), NULL, NULL);
      break;
    case FL_END_FAILED:
      en_refuse (core, req, FL_PROBLEM_FAILED,
                 "the upstream ran it and reports that it failed");
      break;
    case FL_END_NOT_RUN:
      answer_not_run (core, req);
      break;
    case FL_END_OTHER_BODY:
      en_refuse (core, req, FL_PROBLEM_OTHER_BODY,
                 "this key was used for another body");
      break;
    case FL_END_NONE:
    case FL_END_UNKNOWN:
      answer_unknown (core, req);
      break;
    }
}

/* The order matters: a slot is released before another is requested, and the
   writes to the table are sent before the caller is answered.  */
static void
perform_actions (struct en_core *core, struct en_request *req,
                 unsigned actions)
{
  if (actions & FL_DO_CANCEL_SLOT)
    en_cancel_slot_request (core, req);
  if (actions & FL_DO_RELEASE_SLOT)
    fl_pool_release (&core->pool, req->u.call.slot_upstream, FL_OUTCOME_BUSY,
                     core->now_ms);
  if (actions & FL_DO_CLAIM)
    en_claim_call (core, req);
  if (actions & FL_DO_READ)
    en_table_get (core, req, EN_TABLE_REQUEST_STEP, EN_REQUESTS_TABLE,
                  req->fr.row_key);
  if (actions & FL_DO_MARK_UNKNOWN)
    en_mark_unknown (core, req);
  if (actions & FL_DO_RECORD)
    en_record_end (core, req);
  if (actions & FL_DO_RECORD_READ)
    en_table_get (core, req, EN_TABLE_RECORD_END, EN_REQUESTS_TABLE,
                  req->fr.row_key);
  if (actions & FL_DO_ANSWER)
    answer_end (core, req);
  if ((actions & FL_DO_REQUEST_SLOT)
      && !en_stop_at_fault_point (core, req, EN_FAULT_AFTER_CLAIM))
    en_request_slot (core, req);
  if (actions & FL_DO_DISPATCH)
    en_dispatch (core, req);
}

void
en_call_step (struct en_core *core, struct en_request *req,
              struct fl_call_event *ev)
{
  if (req->paused)
    return;
  ev->at = en_moment (core);
  perform_actions (core, req, fl_call_step (&req->u.call.machine, ev));
}

/* Returns the current p95 of answered attempts, but at most half of the
   deadline, which also serves while no p95 is known.  0: no hedge.  */
static int64_t
hedge_delay_ms (const struct en_core *core, const struct en_request *req)
{
  int64_t half = req->fr.u.call.deadline_ms / 2;

  if (core->settings->no_hedge)
    return 0;
  return core->hedge_ms ? MIN (core->hedge_ms, half) : half;
}

void
en_call_begin (struct en_core *core, struct en_request *req)
{
  struct en_call *c = &req->u.call;
  struct fl_call_event ev = { .kind = FL_EV_START };
  int repeatable = req->fr.u.call.repeatable;

  c->slot_upstream = c->avoid_upstream = FL_POOL_NONE;
  fl_call_init (&c->machine,
                &(struct fl_call_spec){
                    .repeatable = repeatable,
                    .deadline_ms = core->now_ms + req->fr.u.call.deadline_ms,
                    .hedge_after_ms = hedge_delay_ms (core, req),
                    .budget = &core->retry_budget });
  en_call_step (core, req, &ev);
}

void
en_call_on_table (struct en_core *core, struct en_request *req,
                  const struct en_event *in)
{
  struct fl_call_event ev = { .reply = en_classify_reply (
                                  in->u.table.error, in->u.table.is_commit) };

  req->u.call.table_us += in->u.table.took_us;
  switch (in->u.table.purpose)
    {
    case EN_TABLE_REQUEST_STEP:
      ev.kind = FL_EV_TABLE;
      en_read_claim (core, req, in, &ev);
      break;
    case EN_TABLE_RECORD_END:
      ev.kind = FL_EV_RECORD;
      en_read_record (req, in, &ev);
      break;
    default:
      return;
    }
  en_call_step (core, req, &ev);
}

void
en_call_tick (struct en_core *core, struct en_request *req)
{
  struct fl_call_event ev = { .kind = FL_EV_TICK };
  struct fl_call *m = &req->u.call.machine;

  if (m->hedge_after_ms)
    m->hedge_after_ms = hedge_delay_ms (core, req);

  if (core->now_ms >= fl_call_due_ms (m))
    en_call_step (core, req, &ev);
}

void
en_call_fini (struct en_request *req)
{
  json_decref (req->u.call.answer);
  json_decref (req->u.call.other_row);
}

void
en_call_get (struct en_core *core, struct en_request *req)
{
  g_strlcpy (req->key, req->fr.id, sizeof req->key);
  en_table_get (core, req, EN_TABLE_REQUEST_STEP, EN_REQUESTS_TABLE,
                req->fr.row_key);
}

/* Returns the state of a call as a caller sees it.  */
static const char *
public_state (struct en_core *core, const json_t *value)
{
  const char *state = string_field (value, "state");

  if (json_is_true (json_object_get (value, "failed")))
    return "failed";
  if (!strcmp (state, "claimed")
      && en_is_incarnation_gone (core, string_field (value, "entry"),
                                 string_field (value, "token")))
    return "unknown";
  return state;
}

void
en_call_get_result (struct en_core *core, struct en_request *req,
                    const struct en_event *in)
{
  json_t *row = en_find_row (in->u.table.data, req->fr.row_key);
  json_t *value = json_object_get (row, "value");

  if (en_classify_reply (in->u.table.error, 0) != FL_REPLY_ROW)
    en_refuse (core, req, FL_PROBLEM_UNREADABLE,
               "the state of the call can't be read now");
  else if (!value || strcmp (string_field (value, "kind"), "call") != 0)
    en_refuse (core, req, FL_PROBLEM_NOT_FOUND,
               "no call that may not be repeated has this key");
  else
    en_answer_json (core, req, 200,
                    response_body (req->key, public_state (core, value),
                                   json_object_get (value, "answer")),
                    NULL, NULL);
}
